#!/usr/bin/env bash
# Checks that names of the platform's protocol occur only in platform/ and in
# the test of the platform adapter.
set -u
names='pathPrefix|targetLatencyMs|maxAttempts|timeoutMs|untilMs|lastSeen'
names="$names|waitMs|clockMs|estimateMs|bestEffort|longRunning|memMb"
names="$names|heartbeatAddr|coldLeftMs|retransmitMs|configApplyMs|seedLagS"
names="$names|run-start|run-stop|Expect-Instance|Deadline-Ms|Duty-Holder"
names="$names|Config\.Replace|Config\.Read|Evacuation\.|Instances\."
found=$(grep -rnE "$names" src include examples fuzz bench tests \
	--include='*.c' --include='*.h' |
	grep -vE 'wire.pb-c|^tests/test_platform.c:')
if [ -n "$found" ]; then
	echo "names of the platform outside platform/:" >&2
	echo "$found" >&2
	exit 1
fi
lines=$(cat platform/*.[ch] | wc -l)
all=$(git ls-files 'src/*.c' 'src/*.h' 'include/*.h' 'platform/*.[ch]' |
	grep -v 'pb-c' | xargs cat | wc -l)
echo "platform/: $lines of $all lines"
