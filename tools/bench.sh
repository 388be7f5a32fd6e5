#!/usr/bin/env bash
# Replays recorded traces against real processes on loopback and prints
# the results of each placement policy. bench/report.py explains how each
# column is measured.
#   tools/bench.sh BUILD          takes about 8 minutes; with BENCH=all it
#                                 runs every trace with every policy, which
#                                 takes about an hour
#   RUNS="TRACE:POLICY[:FLAGS] ..." runs only the named combinations
# FLAGS: "plain" skips the events of the trace that affect servers.
# BENCH_FOLDER is a folder in which logs and event traces are kept;
# BENCH_IP is the loopback address.
set -eu
cd "$(dirname "$0")/.."
AGENTS=10
RESTART_MS=10000 # backend servers that left start again after this time

# Prints "at_ms words..." of each "# event" line whose first word matches.
events() { sed -n 's/^# event //p' "$1" | grep -E "^[0-9]+ ($2) " || true; }

centres() {
	case $1 in
	*gestellwerk*) echo olten aarau langenthal ;;
	*) echo perth-a perth-b perth-c ;;
	esac
}

# ---- Inside the cluster ----

wait_until_ms() { # milliseconds since the start
	now=$(($(date +%s%3N) - start_ms))
	[ "$now" -ge "$1" ] || sleep "$((($1 - now) / 1000)).$(printf %03d \
		$((($1 - now) % 1000)))"
}

leave() { # number of servers
	for i in $(seq "$1"); do kill "$(cat "$folder/b$i.pid")"; done
	wait_until_ms $((at + RESTART_MS))
	for i in $(seq "$1"); do
		"$CHERVILFERRY_BINARY" backend --name="b$i" \
			--agent="$CLUSTER_IP:$((8700 + i))" --serve="$CLUSTER_IP:0" \
			--trace="$folder/b$i-again.trace" \
			>>"$folder/b$i.log" 2>&1 &
		again+=("$!")
	done
}

play_events() {
	while read -r at what argument; do
		wait_until_ms "$at"
		case $what in
		out | in)
			"$CHERVILFERRY_BINARY" data-centre "$what" \
				"${argument#data_centre=}" \
				--coordinators "$COORDINATORS"
			;;
		leave) leave "${argument#servers=}" ;;
		esac >>"$folder/events.log" 2>&1
	done < <(events "$trace" "out|in|leave")
}

play() { # trace, folder
	trace=$1
	folder=$2
	again=()
	while read -r _ _ name target percentile; do
		"$CHERVILFERRY_BINARY" class set "$name" \
			--target-ms="$target" --percentile="$percentile" \
			--coordinators "$COORDINATORS" >>"$folder/events.log"
	done < <(grep '^# class ' "$trace")
	sleep 1 # a change reaches every dispatcher within this time
	start_ms=$(date +%s%3N)
	"$CHERVILFERRY_BINARY" load --play="$trace" --seed=1 --json \
		--dispatchers="$DISPATCHERS" --admins="$ADMINS" \
		>"$folder/load.json" 2>"$folder/load.log" &
	load=$!
	[ -n "${PLAIN:-}" ] || play_events
	wait "$load" || echo "load: exit $?" >>"$folder/events.log"
	for admin in ${ADMINS//,/ }; do
		curl -s "http://$admin/metrics" >"$folder/$admin.metrics"
	done
	for pid in "${again[@]}"; do
		kill "$pid" && wait "$pid" || true
	done
}

if [ "${1:-}" = play ]; then
	play "$2" "$3"
	exit 0
fi

# ---- Runs ----

build=$1
export CHERVILFERRY_BINARY=$build/chervilferry AGENTS TRACE=1
export CLUSTER_IP=${BENCH_IP:-127.0.0.1}
keep=${BENCH_FOLDER:-}
out=${keep:-$(mktemp -d)}
mkdir -p "$out"
[ -n "$keep" ] || trap 'rm -rf "$out"' EXIT
policies="finish random round-robin least"

list_runs() {
	if [ "${BENCH:-}" = all ]; then
		for trace in bench/traces/*.txt; do
			for policy in $policies; do
				echo "$(basename "$trace" .txt):$policy"
			done
		done
		echo gestellwerk-straggler:finish:plain
		echo pathology-straggler:finish:plain
		return
	fi
	for policy in $policies; do echo "gestellwerk-steady:$policy"; done
	for scene in burst straggler black-hole data-centre half-leaves; do
		echo "gestellwerk-$scene:finish"
	done
	echo gestellwerk-straggler:finish:plain
	echo pathology-data-centre:finish
}

flags_of() { # trace; prints the flags of its slow or failing server
	case $(events "$1" "slow|fail") in
	*slow*) echo "--slowness-milli=5000" ;;
	*fail*) echo "--behaviour=fail" ;;
	esac
}

for run in ${RUNS:-$(list_runs)}; do
	IFS=: read -r scene policy plain <<<"$run"
	trace=bench/traces/$scene.txt
	folder=$out/$scene.$policy${plain:+.$plain}
	rm -rf "$folder"
	own=
	[ -n "$plain" ] || own=$(flags_of "$trace")
	mkdir -p "$folder"
	PLAIN=$plain FIRST_BACKEND_FLAGS=$own CENTRES=$(centres "$scene") \
		DISPATCHER_FLAGS="--placer=$policy --seed=1" \
		tools/cluster.sh "$folder" "$0" play "$trace" "$folder" \
		>"$folder/cluster.log" 2>&1 ||
		echo "cluster: exit $?" >>"$folder/events.log"
	python3 bench/report.py "$trace" "$folder"
done
