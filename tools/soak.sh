#!/usr/bin/env bash
# Runs a rolling restart under steady load: repeatedly stops each process
# with SIGTERM and starts it again, one after the other.
#   tools/soak.sh [BUILD] [MINUTES]
# Prints the report of the load generator, the resident memory of each role
# every minute, the number of restarts, and the result of "trace check" over
# the traces of all processes.
set -eu
build=${1:-build}
minutes=${2:-10}
export CHERVILFERRY_BINARY=$build/chervilferry
export CLUSTER_IP=${CLUSTER_IP:-127.0.7.1}
if [ "${SOAK_INSIDE:-}" != 1 ]; then
	folder=$(mktemp -d)
	trap 'rm -rf "$folder"' EXIT
	SOAK_INSIDE=1 SOAK_FOLDER=$folder TRACE=1 \
		tools/cluster.sh "$folder" "$0" "$build" "$minutes"
	status=0
	"$CHERVILFERRY_BINARY" trace check "$folder"/*.trace || status=1
	exit $status
fi

folder=$SOAK_FOLDER
started=()
# cluster.sh stops only the processes that it started. Those started again
# here must be stopped here.
trap 'for p in "${started[@]}"; do kill "$p" 2>/dev/null || true; done
	for p in "${started[@]}"; do wait "$p" 2>/dev/null || true; done' EXIT
memory() {
	for role in c d a; do
		sum=0
		for file in "$folder"/$role[0-9]*.pid; do
			kb=$(awk '/^VmRSS/{print $2}' \
				"/proc/$(cat "$file")/status" 2>/dev/null || true)
			sum=$((sum + ${kb:-0}))
		done
		printf '%s=%s KB ' $role $sum
	done
	echo
}
admin_of() {
	tr '\0' '\n' <"/proc/$1/cmdline" | sed -n 's/^--admin=//p'
}
restart() { # process name
	pid=$(cat "$folder/$1.pid")
	mapfile -d '' -t argv <"/proc/$pid/cmdline"
	admin=$(admin_of "$pid")
	kill "$pid"
	# An exited process stays a zombie until cluster.sh waits for it, but its
	# command line is empty.
	while [ -n "$(tr -d '\0' <"/proc/$pid/cmdline" 2>/dev/null)" ]; do
		sleep 0.05
	done
	"${argv[@]}" >>"$folder/$1.log" 2>&1 &
	started+=("$!")
	echo $! >"$folder/$1.pid"
	[ -n "$admin" ] || { sleep 2; return; }
	for _ in $(seq 400); do
		curl -sf -o /dev/null "http://$admin/readyz" && return
		sleep 0.05
	done
	echo "$1 is not ready after 20 s"
}

"$CHERVILFERRY_BINARY" load --dispatchers "$DISPATCHERS" --rate 20 \
	--tasks 4 --run-ms 30 --seed 9 --duration-s $((minutes * 60)) \
	--resubmit-milli 20 >"$folder/load.out" 2>&1 &
load=$!
restarts=0
next=0
begin=$SECONDS
while kill -0 $load 2>/dev/null; do
	for name in b1 a1 b2 a2 b3 a3 b4 a4 b5 a5 b6 a6 d1 d2 c1 c2 c3; do
		kill -0 $load 2>/dev/null || break
		if [ $((SECONDS - begin)) -ge $next ]; then
			printf 'minute %s: ' $((next / 60))
			memory
			next=$((next + 60))
		fi
		restart $name
		restarts=$((restarts + 1))
		sleep 1
	done
done
echo "restarts $restarts"
cat "$folder/load.out"
wait $load
