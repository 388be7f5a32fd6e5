#!/usr/bin/env bash
# Runs the unit tests under AddressSanitizer and UndefinedBehaviorSanitizer.
set -eu
make --no-print-directory -j"$(nproc)" BUILD=build-asan \
	SAN=address,undefined OPT="-O1 -g" check-unit
