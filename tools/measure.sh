#!/usr/bin/env bash
# Measures the complete path through separate processes:
#   tools/measure.sh [BUILD [PART...]]
# Parts (all by default):
#   load      30 s of load on tools/cluster.sh: partial, crossed and lost
#             answers
#   overhead  overhead at low load, compared with direct calls to a stand-in
#             backend server of the same kind
#   messages  messages of jobs of 20 tasks over 6 agents, with --claim=first
#             and --claim=along
#   starts    starts per second of one dispatcher and one agent, and the
#             processor time per start
set -eu
build=${1:-build}
shift || true
parts=${*:-load overhead messages starts}
folder=$(mktemp -d)
pid=
# Stops the stand-in backend server also if a part fails. Otherwise it would
# keep running and hold the locks that it inherited.
trap '[ -z "$pid" ] || kill "$pid" 2>/dev/null; rm -rf "$folder"' EXIT
export CHERVILFERRY_BINARY=$build/chervilferry
export CLUSTER_IP=${CLUSTER_IP:-127.0.9.2}
load="$CHERVILFERRY_BINARY load --seed 3"
direct=$CLUSTER_IP:8777

on_cluster() { # flags of load...
	tools/cluster.sh "$folder/run" bash -c \
		"$load --dispatchers \$DISPATCHERS --admins \$ADMINS $*"
	rm -rf "$folder/run"
}
with_direct() { # like on_cluster, plus a stand-in server without an agent
	"$CHERVILFERRY_BINARY" backend --name=direct --serve="$direct" \
		--slots=64 --connections=64 >"$folder/direct.log" 2>&1 &
	pid=$!
	on_cluster "$* --direct $direct"
	kill "$pid"
	wait "$pid" || true
	pid=
}
for part in $parts; do
	case $part in
	load)
		echo "# load for 30 s: 40 jobs/s of 5 tasks, 20 ms, spread"
		on_cluster --rate 40 --duration-s 30 --tasks 5 --run-ms 20 \
			--run-spread=true --resubmit-milli 50
		;;
	overhead)
		for claim in first along; do
			echo "# overhead at 20 jobs/s of 1 task, claim $claim"
			DISPATCHER_FLAGS="--claim=$claim" with_direct \
				--rate 20 --duration-s 15 --tasks 1 --run-ms 20
		done
		;;
	messages)
		for claim in first along; do
			echo "# 10 jobs/s of 20 tasks, claim $claim"
			DISPATCHER_FLAGS="--claim=$claim" on_cluster \
				--rate 10 --duration-s 10 --tasks 20 --run-ms 20
		done
		;;
	starts)
		echo "# starts of one dispatcher and one agent"
		AGENTS=1 BACKEND_FLAGS="--slots=256 --connections=256" \
			AGENT_FLAGS="--queue-max=10000" \
			MEASURE_SECONDS=5 tools/cluster.sh "$folder/run" \
			tools/measure_starts.sh "$build" "$folder/run" \
			"100 200 400 800"
		;;
	esac
done
