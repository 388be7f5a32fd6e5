#!/usr/bin/env bash
# Fuzzes each decoder (fuzz/fuzz_*.c) with libFuzzer and sanitizers for
# FUZZ_SECONDS (default 60), starting from a copy of its corpus.
#   tools/fuzz.sh [NAME...]
# Inputs that cause a failure are kept in build-fuzz/found. Exits 1 if any
# decoder failed.
set -eu
cd "$(dirname "$0")/.."
seconds=${FUZZ_SECONDS:-60}
build=build-fuzz
mkdir -p "$build/found"
[ $# -gt 0 ] || set -- $(basename -s .c fuzz/fuzz_*.c)

packages="apr-1 glib-2.0 libmicrohttpd libcurl jansson libxxhash liburcu
libprotobuf-c"
flags="-std=gnu11 -O1 -g -Iinclude -Isrc -I. -pthread -DCF_VERSION=\"fuzz\"
-fsanitize=fuzzer-no-link,address,undefined -fno-omit-frame-pointer
-fno-sanitize-recover=undefined"
# shellcheck disable=SC2086
flags="$flags $(pkg-config --cflags $packages)"
# shellcheck disable=SC2086
libs="$(pkg-config --libs $packages) -largtable2 -lm"
export build flags

compile() {
	object=$build/${1%.c}.o
	mkdir -p "$(dirname "$object")"
	# shellcheck disable=SC2086
	clang $flags -w -c "$1" -o "$object"
}
export -f compile

shopt -s nullglob
sources=$(printf '%s\n' src/lib/*.c src/base/*.c src/net/*.c src/store/*.c \
	src/proto/*.c src/verbs/command_json.c src/leased/formats.c \
	src/leased/wire_check.c platform/*.c)
fuzzers=$(printf 'fuzz/%s.c\n' "$@")
printf '%s\n' $sources $fuzzers |
	xargs -P "$(nproc)" -I{} bash -c 'compile {}'
objects=$(printf "$build/%s\n" $sources | sed 's/\.c$/.o/')

status=0
for name in "$@"; do
	# shellcheck disable=SC2086
	clang -fsanitize=fuzzer,address,undefined -pthread -o "$build/$name" \
		"$build/fuzz/$name.o" $objects $libs
	rm -rf "$build/corpus/$name"
	mkdir -p "$build/corpus/$name"
	cp fuzz/corpus/"$name"/* "$build/corpus/$name"/ 2>/dev/null || true
	echo "== $name, $seconds s"
	"$build/$name" -max_total_time="$seconds" -timeout=10 \
		-rss_limit_mb=1024 -print_final_stats=1 \
		-artifact_prefix="$build/found/$name-" \
		"$build/corpus/$name" 2>"$build/$name.log" || {
		status=1
		echo "FOUND by $name:"
		tail -n 40 "$build/$name.log"
	}
	grep -E 'stat::(number_of_executed|average_exec|new_units)|DONE' \
		"$build/$name.log" || true
done
exit $status
