#!/usr/bin/env bash
# Starts a standalone process, submits a job of three tasks with curl,
# submits it again with the same key, prints the answers and the status, and
# stops. Exits 0 if the answer is complete.
set -eu
binary=$1
log=$(mktemp)
"$binary" standalone >"$log" 2>&1 &
pid=$!
trap 'kill $pid 2>/dev/null || true; wait $pid 2>/dev/null || true; rm -f "$log"' EXIT
for _ in $(seq 200); do
	grep -q "event=ready.*class=" "$log" && break
	kill -0 $pid 2>/dev/null || { cat "$log"; exit 1; }
	sleep 0.05
done
key=$("$binary" key)
body='{"class":"default","deadline_ms":5000,"tasks":[
 {"payload":{"run_ms":20,"echo":"first"}},
 {"payload":{"run_ms":30,"echo":"second"}},
 {"payload":{"run_ms":10,"echo":"third"}}]}'
echo "POST /v1/jobs, Idempotency-Key: $key"
answer=
for _ in $(seq 100); do
	answer=$(curl -s -H "Idempotency-Key: $key" -d "$body" \
		http://127.0.0.1:8200/v1/jobs)
	case $answer in *complete*) break ;; esac
	sleep 0.1
done
echo "$answer"
echo "resubmitted:"
curl -s -H "Idempotency-Key: $key" -d "$body" http://127.0.0.1:8200/v1/jobs
echo
"$binary" status --coordinators 127.0.0.1:8100
case $answer in
*'"outcome":"complete"'*) echo "demo: complete" ;;
*) cat "$log"; exit 1 ;;
esac
