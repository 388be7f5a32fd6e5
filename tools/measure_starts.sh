#!/usr/bin/env bash
# Measures starts per second and the processor time per start. It is run by
# tools/cluster.sh with AGENTS=1:
#   measure_starts.sh BUILD FOLDER [RATES]
# RATES are in jobs per second, each job with 20 tasks of run-ms 0 (default
# "10 25 50 100"). Prints a line for each rate, then the slopes of processor
# time and memory over the number of starts. The resolution of processor
# time is one clock tick (10 ms).
set -eu
build=$1
folder=$2
rates=${3:-10 25 50 100}
seconds=${MEASURE_SECONDS:-6}
dispatcher=${DISPATCHERS%%,*}
tick=$(getconf CLK_TCK)
cpu() { # processor time of a process, in clock ticks
	sed 's/.*) //' "/proc/$(cat "$folder/$1.pid")/stat" |
		awk '{ print $12 + $13 }'
}
rss() { # resident memory of a process, in KiB
	awk '/^VmRSS/ { print $2 }' "/proc/$(cat "$folder/$1.pid")/status"
}
roles="d1 a1 b1 c1"
total=0
for rate in $rates; do
	for role in $roles; do
		eval "before_$role=$(cpu $role)"
	done
	"$build/chervilferry" load --dispatchers "$dispatcher" \
		--rate "$rate" --duration-s "$seconds" --tasks 20 --run-ms 0 \
		--seed 7 >"$folder/load.txt"
	tasks=$(awk '/^tasks/ { print $2 }' "$folder/load.txt")
	complete=$(awk '/^complete/ { print $2 }' "$folder/load.txt")
	elapsed=$(awk '/^elapsed_us/ { print $2 }' "$folder/load.txt")
	over=$(awk '/^over longest/ { print $5, "p99", $9 }' "$folder/load.txt")
	total=$((total + tasks))
	line="point $tasks $total"
	for role in $roles; do
		eval "spent=\$(($(cpu $role) - before_$role))"
		line="$line $((spent * 1000000 / tick)) $(rss $role)"
	done
	echo "$line"
	echo "starts: offered/s=$((rate * 20)) tasks=$tasks" \
		"complete_jobs=$complete elapsed_us=$elapsed over_p50 $over ms" >&2
done | awk '
function fit(name, unit, x, y, n,   i, sx, sy, sxx, sxy, m, b, d, w, t) {
	for (i = 1; i <= n; i++) {
		sx += x[i]; sy += y[i]; sxx += x[i] * x[i]; sxy += x[i] * y[i]
	}
	m = (n * sxy - sx * sy) / (n * sxx - sx * sx)
	b = (sy - m * sx) / n
	for (i = 1; i <= n; i++) {
		d = y[i] - b - m * x[i]; if (d < 0) d = -d
		if (d > w) w = d
		if (y[i] > t) t = y[i]
	}
	printf "%-26s %12.3f %-22s base %10.2f residual %5.1f%%  at",
		name, m, unit, b, t ? 100 * w / t : 0
	for (i = 1; i <= n; i++)
		printf " %d:%.4g", x[i], y[i]
	print ""
}
$1 == "point" {
	n++; started[n] = $2; total[n] = $3
	for (r = 0; r < 4; r++) {
		cpu[r, n] = $(4 + 2 * r); rss[r, n] = $(5 + 2 * r) * 1024
	}
}
END {
	split("dispatcher agent backend coordinator", name, " ")
	for (r = 0; r < 4; r++) {
		for (i = 1; i <= n; i++) {
			c[i] = cpu[r, i]; m[i] = rss[r, i]
		}
		fit("start_" name[r + 1] "_cpu", "us/start", started, c, n)
		if (r < 2)
			fit("start_" name[r + 1] "_rss", "B/start kept",
				total, m, n)
	}
}'
