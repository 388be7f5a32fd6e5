#!/usr/bin/env bash
# Installs into a temporary folder, builds each example there with
# pkg-config against the shared and the static library, and runs it. Runs
# the shared build under valgrind as well. Prints TAP.
set -u
build=$(cd "$1" && pwd)
make=${MAKE:-make}
stage=$(mktemp -d)
trap 'rm -rf "$stage"' EXIT
if ! "$make" --no-print-directory -s BUILD="$1" PREFIX="$stage" install; then
	echo "not ok - install"
	exit 0
fi
echo "ok - install"
cp examples/*.c "$stage"/
cd "$stage" || exit 1
export PKG_CONFIG_PATH=$stage/lib/pkgconfig
export LD_LIBRARY_PATH=$stage/lib
verdict() {
	if [ "$2" -eq 0 ]; then echo "ok - $1"; else echo "not ok - $1"; fi
}
for source in *.c; do
	name=${source%.c}
	# shellcheck disable=SC2046
	cc -std=gnu11 -Wall -Wextra -Werror "$source" -o "$name" \
		$(pkg-config --cflags --libs chervilferry) >&2 && ./"$name" >&2
	verdict "$name-shared" $?
	# shellcheck disable=SC2046
	cc -std=gnu11 -Wall -Wextra -Werror "$source" -o "$name-static" \
		$(pkg-config --cflags chervilferry) lib/libchervilferry.a \
		$(pkg-config --libs glib-2.0 libxxhash libprotobuf-c) -lm >&2 &&
		./"$name-static" >&2
	verdict "$name-static" $?
	G_SLICE=always-malloc valgrind -q --error-exitcode=9 --leak-check=full \
		--errors-for-leak-kinds=definite ./"$name" >/dev/null 2>"$name.vg"
	status=$?
	cat "$name.vg" >&2
	verdict "$name-valgrind" $status
done
extra=$(nm -D --defined-only lib/libchervilferry.so.0 |
	awk '$2 ~ /[TDBR]/ && $3 !~ /^cf_/{print $3}')
echo "exported beside cf_: $extra" >&2
[ -z "$extra" ]
verdict "symbols-prefixed" $?
