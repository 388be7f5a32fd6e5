#!/usr/bin/env bash
# Checks that the repository contains no build products and no files larger
# than 400000 bytes.
set -eu
bad=$(git ls-files | grep -E '\.(o|a|so|d|tap)$|^build' || true)
large=$(git ls-files -z | xargs -0 -r stat -c '%s %n' | awk '$1 > 400000')
if [ -n "$bad$large" ]; then
	echo "not for the repository: $bad $large" >&2
	exit 1
fi
