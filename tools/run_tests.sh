#!/usr/bin/env bash
# Runs groups of tests and ends with "N passed, N failed".
#   tools/run_tests.sh BUILD unit|explore|fault|crowd|fuzz|examples ...
# A failure of a test that is listed in KNOWN-RED.txt ("test_name: ...") is
# printed but doesn't fail the run. The output of each program is kept in
# BUILD/logs.
set -u
build=$1
shift
logs=$build/logs
mkdir -p "$logs"
rm -f "$logs"/*.tap "$logs"/*.err
export CMOCKA_MESSAGE_OUTPUT=TAP
export CHERVILFERRY_BINARY=$build/chervilferry

# A program that exits with an error, for example by a crash or timeout, and
# reports no failed test counts as one failure.
run_one() {
	name=$(basename "$1")
	timeout "$2" "$1" >"$logs/$name.tap" 2>"$logs/$name.err"
	status=$?
	if [ $status -ne 0 ] && ! grep -q '^not ok' "$logs/$name.tap"; then
		echo "not ok - $name ended with $status" >>"$logs/$name.tap"
	fi
}
export -f run_one
export logs

run_programs() { # parallel programs, timeout in seconds, programs...
	at_once=$1
	limit=$2
	shift 2
	[ $# -eq 0 ] && return
	printf '%s\n' "$@" |
		xargs -P "$at_once" -I{} bash -c "run_one {} $limit"
}

shopt -s nullglob
is_program() { [ -x "$1" ] && [ -f "$1" ] && case $1 in *.[od]) false ;; esac; }
programs() {
	for f in "$build"/tests/$1_*; do is_program "$f" && echo "$f"; done
}
for group in "$@"; do
	case $group in
	unit) run_programs 6 300 $(programs test) ;;
	explore) run_programs 4 600 $(programs explore) ;;
	fault) run_programs "${FAULTS_AT_ONCE:-2}" 900 $(programs fault) ;;
	# Alone, because the crowds measure what a process holds.
	crowd) run_programs 1 1800 $(programs crowd) ;;
	fuzz)
		for f in "$build"/fuzz/fuzz_*; do
			is_program "$f" || continue
			n=$(basename "$f")
			if "$f" fuzz/corpus/"$n"/* >"$logs/$n.err" 2>&1; then
				echo "ok - corpus of $n"
			else
				echo "not ok - corpus of $n"
			fi >"$logs/$n.tap"
		done
		;;
	examples)
		tools/check_examples.sh "$build" >"$logs/examples.tap" \
			2>"$logs/examples.err"
		;;
	*)
		echo "unknown group $group" >&2
		exit 2
		;;
	esac
done

passed=0
failed=0
red=0
for f in "$logs"/*.tap; do
	p=$(basename "$f" .tap)
	while IFS= read -r line; do
		test=$(printf '%s' "${line#*- }" | awk '{print $1}')
		case $line in
		"ok "*) passed=$((passed + 1)) ;;
		"not ok "*)
			if [ -f KNOWN-RED.txt ] &&
				grep -q "^$test:" KNOWN-RED.txt; then
				red=$((red + 1))
				echo "known red: $p $test"
			else
				failed=$((failed + 1))
				echo "FAILED: $p: ${line#*- }"
				tail -n 40 "$logs/$p.err" | cut -c1-400
			fi
			;;
		esac
	done < <(grep -E '^(not )?ok ' "$f")
done
for f in "$logs"/fault_*.err "$logs"/crowd_*.err; do
	grep -h '^count: ' "$f" | cut -c1-300
done
[ $red -gt 0 ] && echo "$red known red (KNOWN-RED.txt)"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ] && [ $passed -gt 0 ]
