#!/usr/bin/env bash
# Unit tests under AddressSanitizer and UndefinedBehaviorSanitizer, then
# under ThreadSanitizer the parts whose libraries it understands.
set -eu
make --no-print-directory -j"$(nproc)" BUILD=build-asan \
	SAN=address,undefined OPT="-O1 -g" check-unit
