#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, beside the program
# that the deploy file builds: the stand-ins in review/common-3 with each case.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.c; do
	[ -f "$case" ] || continue
	number=$(basename "$(dirname "$case")")
	${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -pthread \
		-o "target/review-3/case$number" review/common-3/lab.c "$case"
done
