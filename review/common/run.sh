#!/usr/bin/env bash
# Runs one case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. The record goes into the case's folder.
cd "$(dirname "$0")/../.." || exit 2
RECORD=review/$1/record.txt
export RECORD
[ -x "target/review/case$1" ] && [ -x target/chervilferry ] || exit 2
exec "target/review/case$1"
