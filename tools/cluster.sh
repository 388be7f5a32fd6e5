#!/usr/bin/env bash
# Runs a cluster of separate processes on loopback: 3 coordinators, 2
# dispatchers and 6 agents with stand-in backend servers, in three data
# centres.
#   tools/cluster.sh FOLDER [COMMAND...]
# Starts the processes, waits until they are ready, runs COMMAND (or waits
# for Ctrl-C) with DISPATCHERS, ADMINS and COORDINATORS set, and stops them.
# FOLDER receives the logs and the pid file NAME.pid of each process.
# Environment variables:
#   DISPATCHER_FLAGS, AGENT_FLAGS, BACKEND_FLAGS   extra flags of each role
#   FIRST_BACKEND_FLAGS       extra flags of the first backend server only
#   AGENTS=N                  number of agents
#   CENTRES="NAME NAME NAME"  names of the data centres
#   TRACE=1                   writes event traces into FOLDER
#   CLUSTER_IP=127.x.y.z      loopback address
set -eu
folder=$1
shift
binary=${CHERVILFERRY_BINARY:-build/chervilferry}
agents=${AGENTS:-6}
ip=${CLUSTER_IP:-127.0.0.1}
read -r -a centres <<<"${CENTRES:-dc1 dc2 dc3}"
mkdir -p "$folder"
pids=()
stop() {
	# Stops dispatchers first and coordinators last, so that work in
	# progress can finish.
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
		wait "$pid" 2>/dev/null || true
	done
}
trap stop EXIT
run() { # name, role, flags...
	name=$1
	role=$2
	shift 2
	[ -n "${TRACE:-}" ] && set -- "$@" --trace="$folder/$name.trace"
	"$binary" "$role" --name="$name" "$@" >>"$folder/$name.log" 2>&1 &
	pids=("$!" "${pids[@]}")
	echo "$!" >"$folder/$name.pid"
}
members=
COORDINATORS=
for i in 1 2 3; do
	members="$members${members:+,}$i=$ip:710$i/$ip:810$i"
	COORDINATORS="$COORDINATORS${COORDINATORS:+,}$ip:810$i"
done
links=$ip:7101,$ip:7102,$ip:7103
for i in 1 2 3; do
	run "c$i" coordinator --id="$i" --data="$folder/c$i" \
		--listen="$ip:710$i" --admin="$ip:810$i" \
		--data-centre="${centres[i - 1]}" --first-members="$members"
done
ADMINS=$COORDINATORS
for i in $(seq "$agents"); do
	dc=${centres[(i - 1) % 3]}
	own=
	[ "$i" = 1 ] && own=${FIRST_BACKEND_FLAGS:-}
	run "b$i" backend --agent="$ip:$((8700 + i))" \
		--serve="$ip:0" ${BACKEND_FLAGS:-} $own
	run "a$i" agent --coordinators="$links" --data-centre="$dc" \
		--rack="rack$(((i + 2) / 3))" --listen="$ip:$((7300 + i))" \
		--admin="$ip:$((8300 + i))" \
		--backend-listen="$ip:$((8700 + i))" ${AGENT_FLAGS:-}
	ADMINS="$ADMINS,$ip:$((8300 + i))"
done
DISPATCHERS=
for i in 1 2; do
	run "d$i" dispatcher --coordinators="$links" --data-centre="${centres[i - 1]}" \
		--listen="$ip:720$i" --admin="$ip:820$i" \
		--http="$ip:821$i" ${DISPATCHER_FLAGS:-}
	ADMINS="$ADMINS,$ip:820$i"
	DISPATCHERS="$DISPATCHERS${DISPATCHERS:+,}$ip:821$i"
done
export COORDINATORS DISPATCHERS ADMINS
# If another cluster uses this address, our processes can't bind to it and
# exit. Without this check, that cluster would receive our commands.
sleep 0.5
for pid in "${pids[@]}"; do
	kill -0 "$pid" 2>/dev/null || {
		echo "a process did not start; see $folder/*.log" >&2
		exit 1
	}
done
"$binary" class set default --target-ms 1000 --percentile 95 \
	--coordinators "$COORDINATORS" --timeout-ms 20000
for i in 1 2 3; do
	for _ in $(seq 400); do
		curl -sf -o /dev/null "http://$ip:810$i/readyz" && break
		sleep 0.05
	done
done
for i in 1 2; do
	for _ in $(seq 400); do
		curl -s "http://$ip:820$i/metrics" |
			grep -q "^chervilferry_agents_usable $agents\$" && break
		sleep 0.05
	done
done
if [ $# -gt 0 ]; then
	"$@"
else
	echo "dispatchers: $DISPATCHERS; operators: $COORDINATORS"
	wait
fi
