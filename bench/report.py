#!/usr/bin/env python3
"""Prints the results of one run of tools/bench.sh: report.py TRACE FOLDER

slowdown   response time divided by the run time of the job's longest
           task, over complete answers
within     fraction of all jobs of a class that were answered within its
           target
wasted     messages per task other than the Dispatch and Results that
           carry it: unsolicited Load, Query and its reply, Cancel, Open
lost       tasks that ran and failed, from the agents' event traces
away       work done by the backend servers from the start of the change
           to its end, divided by the work that a single queue over the
           slots then in service would have done for all jobs, including
           refused ones
window     the same until 10 s after the end of the change; after the end,
           the ideal queue excludes jobs that were refused before it,
           because their callers gave up
share      time after their return until the returned servers had at least
           0.9 of the work per server of the others, over one second
goodput    fraction of all slots that were busy during a burst, from RISE_MS
           after its start
recovered  arrival time, after the end of the burst, of the last job that
           was refused, incomplete or answered after its class's target
cut off    requests in progress when a process stopped
"""

import glob
import heapq
import json
import os
import sys

RESTART_MS = 10000  # as in tools/bench.sh
AFTER_MS = 10000
BURST_MS = (10000, 15000)  # as in bench/make_traces.py
RISE_MS = 500  # time from the start of a burst until the slots are full
WASTED = ("load", "query", "query_reply", "cancel", "open")


def read_trace(path):
    jobs, events = [], []
    for line in open(path, encoding="ascii"):
        words = line.split()
        if line.startswith("# event "):
            events.append((int(words[2]), words[3], words[4].split("=")[1]))
        elif not line.startswith("#"):
            runs = [int(run) for run in words[3].split(",")]
            jobs.append((int(words[0]), words[1], runs))
    return jobs, events


def read_events(folder):
    for path in glob.glob(os.path.join(folder, "*.trace")):
        for line in open(path, encoding="ascii"):
            yield dict(word.split("=", 1) for word in line.split())


def change_of(events, n_servers):
    """Returns begin, end and the servers (numbered from 1) away in between."""
    begin = [event for event in events if event[1] in ("out", "leave")]
    if not begin:
        return None
    at_ms, what, which = begin[0]
    if what == "leave":
        return at_ms, at_ms + RESTART_MS, set(range(1, int(which) + 1))
    end = [event[0] for event in events if event[1] == "in"]
    return at_ms, end[0], set(range(1, n_servers + 1, 3))


def ideal_busy(jobs, change, n_servers, slots):
    """Yields the run intervals of an ideal FIFO queue over all slots."""
    begin, end, away = change
    free = [
        (0, server) for server in range(1, n_servers + 1) for _ in range(slots)
    ]
    heapq.heapify(free)
    for at_ms, _, runs in jobs:
        for run_ms in runs:
            while True:
                free_ms, server = heapq.heappop(free)
                start = max(free_ms, at_ms)
                if server in away and begin <= start < end:
                    heapq.heappush(free, (end, server))
                    continue
                break
            heapq.heappush(free, (start + run_ms, server))
            yield start, start + run_ms, server


def overlap(intervals, begin, end):
    return sum(
        max(0, min(e, end) - max(b, begin)) for b, e, _ in intervals
    )


def not_refused_before(jobs, submitted, end_us):
    """Returns the jobs of the trace that were not refused before end_us.

    Jobs of one class and size were submitted in the trace's order, so
    their submit events match them in that order.
    """
    groups = {}
    for job in jobs:
        groups.setdefault((job[1], len(job[2])), []).append(job)
    events = sorted(
        (job for job in submitted.values() if "submit" in job),
        key=lambda job: job["submit"][0],
    )
    kept = []
    for event in events:
        at_us, name, tasks = event["submit"]
        group = groups.get((name, tasks))
        if not group:
            continue
        job = group.pop(0)
        refused = event.get("answer", (0, "", ""))[2] == "none"
        if not (refused and at_us < end_us):
            kept.append(job)
    return sorted(kept)


def print_change(jobs, staying, change, intervals, n_servers, slots):
    begin, end, away = change
    until = end + AFTER_MS
    done_away = overlap(intervals, begin, end)
    could_away = overlap(
        ideal_busy(jobs, change, n_servers, slots), begin, end)
    done = done_away + overlap(intervals, end, until)
    could = could_away + overlap(
        ideal_busy(staying, change, n_servers, slots), end, until)
    print(f"  away: done {done_away / could_away:.3f} of what was possible")
    print(f"  window: done {done / could:.3f} of what was possible")
    share_ms = None
    for at in range(end, until, 250):
        there = [i for i in intervals if i[2] in away]
        others = [i for i in intervals if i[2] not in away]
        own = overlap(there, at, at + 1000) / len(away)
        usual = overlap(others, at, at + 1000) / (n_servers - len(away))
        if own >= 0.9 * usual:
            share_ms = at + 1000 - end
            break
    print(f"  full share after return: {share_ms} ms")


def print_burst(answers, intervals, n_servers, slots):
    begin, end = BURST_MS
    busy = overlap(intervals, begin + RISE_MS, end)
    goodput = busy / (n_servers * slots * (end - begin - RISE_MS))
    missed = [a for a, ok in answers if not ok and a >= end]
    last = max(missed, default=end) - end
    print(f"  goodput {goodput:.3f} recovered after {last:.0f} ms")


def within_target(jobs, targets):
    """Yields arrival in us and whether the answer was complete and in time."""
    for job in jobs.values():
        if "answer" in job and "submit" in job:
            at_us, outcome, _ = job["answer"]
            begin_us, name, _ = job["submit"]
            in_time = at_us - begin_us <= targets[name] * 1000
            yield begin_us, outcome == "complete" and in_time


def main():
    trace, folder = sys.argv[1:3]
    jobs, events = read_trace(trace)
    n_servers, slots = 10, 8
    print(os.path.basename(folder), flush=True)
    with open(os.path.join(folder, "load.json"), encoding="ascii") as file:
        report = json.load(file)
    runs, intervals, failed, cut_off, first = {}, [], 0, 0, None
    submitted = {}
    for e in read_events(folder):
        at_us = int(e["t"])
        if e["e"] == "submit":
            first = min(first or at_us, at_us)
            submitted.setdefault((e["p"], e["job"]), {})["submit"] = (
                at_us, e["class"], int(e["tasks"]))
        elif e["e"] == "answer":
            submitted.setdefault((e["p"], e["job"]), {})["answer"] = (
                at_us, e["outcome"], e["ran"])
        elif e["e"] == "stop_end":
            cut_off += int(e["in_progress"])
        elif e["e"] == "end":
            failed += e["ok"] == "0"
        elif e["e"] in ("run", "ran"):
            pair = runs.setdefault((e["key"], e["index"], e["p"]), {})
            pair[e["e"]] = at_us
    origin_us = first - jobs[0][0] * 1000
    for (_, _, name), pair in runs.items():
        if len(pair) == 2:
            b, e = (pair[x] / 1000 - origin_us / 1000 for x in ("run", "ran"))
            intervals.append((b, e, int(name[1:].split("-")[0])))
    tasks = report["tasks"]
    print(
        f"  slowdown p50 {report['slowdown_p50_milli'] / 1000:.3f}"
        f" p90 {report['slowdown_p90_milli'] / 1000:.3f}"
        f" p99 {report['slowdown_p99_milli'] / 1000:.3f}"
        f"  complete {report['complete']} of {report['jobs']}"
        f"  not run {report['not_run']}"
        f" may have run {report['may_have_run']} no answer {report['lost']}"
        f" {report['refusals'] or ''}"
    )
    counts = {}
    for _, name, _ in jobs:
        counts[name] = counts.get(name, 0) + 1
    within = {c["class"]: c["within_target"] for c in report["classes"]}
    print(
        "  within",
        " ".join(f"{n} {within.get(n, 0) / k:.3f}" for n, k in counts.items()),
    )
    sent = {k: v["sent"] / tasks for k, v in report["messages"].items()}
    print(
        f"  wasted {sum(sent.get(k, 0) for k in WASTED):.3f} a task  sent",
        " ".join(f"{k} {v:.3f}" for k, v in sorted(sent.items()) if v > 0.001),
    )
    print(
        f"  tasks {tasks} lost {failed} ({100 * failed / tasks:.2f} %)"
        f"  cut off {cut_off}  sent late at most"
        f" {report['late_max_us'] / 1000:.0f} ms"
    )
    if "-burst" in trace:
        targets = {c["class"]: c["target_ms"] for c in report["classes"]}
        answers = [
            ((at_us - origin_us) / 1000, ok)
            for at_us, ok in within_target(submitted, targets)
        ]
        print_burst(answers, intervals, n_servers, slots)
    change = change_of(events, n_servers)
    if change and not folder.endswith(".plain"):
        staying = not_refused_before(
            jobs, submitted, origin_us + change[1] * 1000)
        print_change(jobs, staying, change, intervals, n_servers, slots)


main()
