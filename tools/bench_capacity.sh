#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md cites:
#   tools/bench_capacity.sh [BUILD]
# Each line contains name, slope, unit, base (the intercept), residual (the
# largest distance of a point from the line) and the points. Takes under 5
# minutes.
set -eu
build=${1:-build}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export CHERVILFERRY_BINARY=$build/chervilferry CLUSTER_IP=127.0.9.1
links=$CLUSTER_IP:7101,$CLUSTER_IP:7102,$CLUSTER_IP:7103
echo "# memory and snapshots, in one process"
"$build/bench/bench_memory"
echo "# stand-in holders (10, 50, 100, 200) against three coordinators"
AGENTS=1 tools/cluster.sh "$folder/holders" bash -c \
	"\"$build/bench/bench_capacity\" \"$folder/holders\" $links \
	\"\$COORDINATORS\""
echo "# starts: one dispatcher, one agent, one stand-in backend server"
AGENTS=1 BACKEND_FLAGS="--slots=64 --connections=64" \
	tools/cluster.sh "$folder/starts" \
	tools/measure_starts.sh "$build" "$folder/starts"
