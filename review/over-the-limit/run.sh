#!/usr/bin/env bash
# Not one of the counted cases: it takes 11 minutes, more than a script may.
# Starts 3 coordinators, 2 dispatchers and 2 agents with the commands of the
# deploy file on loopback addresses, kills the three coordinators together and
# starts them again after 4 s, and then does nothing for 620 s. Exits with 1 if a
# dispatcher or an agent ended by itself, 0 if all went on, 2 if it couldn't run.
# TROUBLE=0: the coordinators aren't killed. NET: second and third byte of the
# loopback addresses.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
binary=target/chervilferry
[ -x "$binary" ] || exit 2
net=127.${NET:-41.7}
trouble=${TROUBLE:-1}
work=$(mktemp -d)
record=$here/record${TROUBLE:+-trouble-$TROUBLE}.txt
seeds=$net.11:8166,$net.12:8166,$net.13:8166
echo "coordinators=$seeds" >"$work/settings"
declare -A pids
: >"$record"
note() { echo "$(date -u +%H:%M:%S) $*" >>"$record"; }
finish() {
	kill "${pids[@]}" 2>/dev/null
	wait 2>/dev/null
	rm -rf "$work"
}
trap finish EXIT
coordinator() { # number, first start
	"$binary" coordinator --name "c$1" --heartbeat-ms 300 \
		--data-centre "dc$1" --listen "$net.1$1:7720" \
		--admin "$net.1$1:7735" --control "$net.1$1:8166" \
		--data "$work/c$1" --seeds "$seeds" --seeds-port 7720 \
		--first-start "$2" --losses-borne 1 --snapshot-every 300 \
		--election-ms 300 >>"$work/c$1.log" 2>&1 &
	pids[c$1]=$!
}
dispatcher() {
	"$binary" leased-dispatcher --name "d$1" --heartbeat-ms 300 \
		--data-centre "dc$1" --listen "$net.2$1:7720" \
		--http "$net.2$1:8161" --admin "$net.2$1:8167" \
		--coordinators "$seeds" --coordinators-port 7720 \
		--stop-wait-ms 5000 --reload-file "$work/settings" \
		>>"$work/d$1.log" 2>&1 &
	pids[d$1]=$!
}
agent() {
	"$binary" leased-agent --name "a$1" --heartbeat-ms 300 \
		--data-centre "dc$1" --listen "$net.3$1:7720" \
		--admin "$net.3$1:7735" --control "$net.3$1:8166" \
		--coordinators "$seeds" --coordinators-port 7720 \
		--stop-wait-ms 4500 --reload-file "$work/settings" \
		>>"$work/a$1.log" 2>&1 &
	pids[a$1]=$!
}
for i in 1 2 3; do coordinator $i true; done
for i in 1 2; do
	dispatcher $i
	agent $i
done
sleep 5
for p in d1 d2 a1 a2; do
	grep -q event=lease_won "$work/$p.log" || exit 2
done
if [ "$trouble" != 0 ]; then
	note "the three coordinators are killed"
	kill -9 "${pids[c1]}" "${pids[c2]}" "${pids[c3]}"
	wait "${pids[c1]}" "${pids[c2]}" "${pids[c3]}" 2>/dev/null
	sleep 4
	for i in 1 2 3; do coordinator $i false; done
	note "the three coordinators are started again"
fi
begin=$SECONDS
ended=0
while [ $((SECONDS - begin)) -lt 620 ]; do
	sleep 1
	for p in d1 d2 a1 a2; do
		[ -n "${pids[$p]:-}" ] || continue
		kill -0 "${pids[$p]}" 2>/dev/null && continue
		wait "${pids[$p]}"
		note "$p ended by itself with status $?"
		ended=$((ended + 1))
		unset "pids[$p]"
	done
done
for p in d1 d2 a1 a2; do
	grep -hE "event=(lease_lost|lease_won|fenced|stopping|stopped)" \
		"$work/$p.log" >>"$record"
done
note "$ended of 4 dispatchers and agents ended by themselves"
[ "$ended" = 0 ]
