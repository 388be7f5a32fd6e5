#!/usr/bin/env bash
# Builds the stand-ins of all scripts, into target/review/. Needs what
# deploy/system.toml names, and its build for target/chervilferry.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.c; do
	n=$(basename "$(dirname "$case")")
	# shellcheck disable=SC2046
	cc -std=gnu11 -O1 -g -Wall -Wextra -Ireview/common \
		-o "target/review/case$n" "$case" review/common/rig.c \
		$(pkg-config --cflags --libs libmicrohttpd jansson) -pthread
done
