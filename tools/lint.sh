#!/usr/bin/env bash
# Runs clang-tidy and cppcheck on the given source files. The Makefile leaves
# out generated files (*.pb-c.c).
#   tools/lint.sh "COMPILER FLAGS" FILE...
set -eu
flags=$1
shift
flags=$(printf '%s' "$flags" | sed "s/-DCF_VERSION='[^']*'/-DCF_VERSION=\"0\"/")
# Treats library headers as system headers, so that they give no warnings.
flags=${flags//-I\/usr/-isystem /usr}
export flags
printf '%s\n' "$@" | xargs -P "$(nproc)" -I{} bash -c \
	'out=$(clang-tidy --quiet {} -- $flags 2>/dev/null) ||
		{ printf "%s\n" "$out"; exit 1; }'
cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr -j "$(nproc)" \
	--enable=warning,performance,portability \
	--suppress=missingIncludeSystem --suppress=varFuncNullUB \
	-Iinclude -Isrc "$@"
echo "lint clean"
