#!/usr/bin/env python3
"""Prints what one run of tools/bench.sh found: report.py TRACE FOLDER

slowdown   response time / longest task of the job, of complete answers
within     part of all jobs of a class answered within its target
wasted     messages beside Dispatch and Results that move a task, for
           each task: unasked Load, Query and its reply, Cancel, Open
lost       tasks that ran and failed, by the agents' event traces
window     work that the backend servers did from the change until 10 s
           after its end, beside what a single queue over the slots then
           in service would have done (refused jobs count as asked for)
share      of the returned servers beside the others, and when after
           their return it first was 0.9 over one second
goodput    of a burst: slots that were busy in it beside all slots
recovered  when after the burst's end the last job came that was refused
           or answered after its class's target
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
RISE_MS = 500  # until the slots are full
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
    """Begin, end and the servers (from 1) that are away between them."""
    begin = [event for event in events if event[1] in ("out", "leave")]
    if not begin:
        return None
    at_ms, what, which = begin[0]
    if what == "leave":
        return at_ms, at_ms + RESTART_MS, set(range(1, int(which) + 1))
    end = [event[0] for event in events if event[1] == "in"]
    return at_ms, end[0], set(range(1, n_servers + 1, 3))


def ideal_busy(jobs, change, n_servers, slots):
    """Intervals of one queue, first come first served, over all slots."""
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


def print_change(jobs, change, intervals, n_servers, slots):
    begin, end, away = change
    until = end + AFTER_MS
    ideal = list(ideal_busy(jobs, change, n_servers, slots))
    for name, b, e in (("away", begin, end), ("window", begin, until)):
        done = overlap(intervals, b, e)
        could = overlap(ideal, b, e)
        print(f"  {name}: done {done / could:.3f} of what was possible")
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
    """Arrival in us and whether the answer came complete and in time."""
    for job in jobs.values():
        if "answer" in job and "submit" in job:
            at_us, outcome = job["answer"]
            begin_us, name = job["submit"]
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
                at_us, e["class"])
        elif e["e"] == "answer":
            submitted.setdefault((e["p"], e["job"]), {})["answer"] = (
                at_us, e["outcome"])
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
        print_change(jobs, change, intervals, n_servers, slots)


main()
