#!/usr/bin/env python3
"""Generates the job traces under bench/traces/.

    bench/make_traces.py [FOLDER]

The same seeds give the same files.

Each line is a job: "at_ms class tasks run_ms,run_ms,... deadline_ms". If
the caller declares run times, a sixth field lists them. A deadline of 0
means no deadline. Lines that begin with "#" are comments. Some comments
are directives for the program that replays the trace:

    # class NAME TARGET_MS PERCENTILE   class to configure before the replay
    # servers N SLOTS                   backend servers the trace is made for
    # event AT_MS WHAT...               event that affects servers or jobs
"""

import os
import random
import sys

SERVERS = 10
SLOTS = 8
FILE_BYTES_MAX = 100_000

# name: target_ms, percentile, share of the work, tasks per job (minimum,
# maximum), median run_ms, maximum run_ms, deadline_ms
GESTELLWERK = {
    "price-check": (700, 99, 0.20, (1, 4), 200, 500, 3000),
    "stock-check": (900, 99, 0.15, (2, 8), 200, 700, 5000),
    "rack-design": (3000, 95, 0.45, (6, 20), 450, 1200, 0),
    "delivery-slot": (2500, 99, 0.10, (1, 1), 400, 1000, 10000),
    "truck-plan": (9000, 95, 0.10, (1, 3), 2200, 4000, 0),
}

PATHOLOGY = {
    "slide-check": (600, 99, 0.10, (1, 3), 150, 400, 3000),
    "frozen-section": (900, 99.5, 0.15, (2, 6), 250, 600, 4000),
    "thumbnail": (1500, 99, 0.20, (1, 6), 250, 800, 0),
    "whole-scan": (4000, 95, 0.45, (6, 24), 500, 1500, 0),
    "registry": (10000, 95, 0.10, (1, 2), 2500, 5000, 0),
}

FIRMS = {
    "gestellwerk": (GESTELLWERK, ("olten", "aarau", "langenthal")),
    "pathology": (PATHOLOGY, ("perth-a", "perth-b", "perth-c")),
}


def run_time(rng, median_ms, most_ms):
    """Log-normal: half of the tasks are within a factor 1.4 of the median."""
    run_ms = median_ms * rng.lognormvariate(0, 0.5)
    return int(min(max(run_ms, 20), most_ms))


def declare(rng, run_ms, wrong):
    """Returns run_ms with an error of a fifth, or up to ten times if wrong."""
    factor = rng.uniform(0.8, 1.25)
    if wrong:
        factor *= rng.choice((0.1, 0.3, 1, 3, 10))
    return max(1, int(run_ms * factor))


def make_job(rng, at_ms, name, row, declared):
    tasks = rng.randint(*row[3])
    runs = [run_time(rng, row[4], row[5]) for _ in range(tasks)]
    fields = [at_ms, name, tasks, ",".join(map(str, runs)), row[6]]
    if declared:
        wrong = declared == "wrong"
        told = [declare(rng, run_ms, wrong) for run_ms in runs]
        fields.append(",".join(map(str, told)))
    return sum(runs), " ".join(map(str, fields))


def make_class(rng, name, row, load_at, seconds, declared):
    """Draws jobs at random times whose expected work is the class's share."""
    sample = [
        make_job(random.Random(i), 0, name, row, None)[0] for i in range(500)
    ]
    work_ms = sum(sample) / len(sample)
    jobs = []
    for at_ms in range(0, seconds * 1000, 10):
        slots = load_at(at_ms, name) * SERVERS * SLOTS * row[2]
        if rng.random() < slots * 10 / work_ms:
            jobs.append((at_ms + rng.randrange(10), name))
    return [
        (at_ms, make_job(rng, at_ms, name, row, declared)[1])
        for at_ms, name in jobs
    ]


def intended_work_ms(classes, load_at, seconds):
    share = sum(
        load_at(at_ms, name) * row[2]
        for at_ms in range(0, seconds * 1000, 10)
        for name, row in classes.items()
    )
    return share * SERVERS * SLOTS * 10


def make_jobs(classes, name, load_at, seconds, declared):
    """Returns the first draw whose work is within 2 % of the intended load."""
    intended = intended_work_ms(classes, load_at, seconds)
    for attempt in range(1000):
        rng = random.Random(f"{name} {attempt}")
        jobs = []
        for class_name, row in classes.items():
            jobs += make_class(rng, class_name, row, load_at, seconds, declared)
        work_ms = sum(
            sum(map(int, line.split()[3].split(","))) for _, line in jobs
        )
        if abs(work_ms / intended - 1) < 0.02:
            return [line for _, line in sorted(jobs)]
    raise ValueError(f"{name}: no draw has the load intended")


def write(folder, firm, scene, seed, load_at, seconds, events=(), declared=None):
    classes, _ = FIRMS[firm]
    name = f"{firm} {scene} {seed}"
    lines = [f"# {firm}, {scene}: made by bench/make_traces.py, seed {seed}"]
    lines += [f"# servers {SERVERS} {SLOTS}"]
    lines += [f"# class {n} {r[0]} {r[1]}" for n, r in classes.items()]
    lines += [f"# event {event}" for event in events]
    lines += make_jobs(classes, name, load_at, seconds, declared)
    text = "\n".join(lines) + "\n"
    assert len(text) < FILE_BYTES_MAX, (firm, scene, len(text))
    path = os.path.join(folder, f"{firm}-{scene}.txt")
    with open(path, "w", encoding="ascii") as file:
        file.write(text)


def steady(load):
    return lambda at_ms, name: load


def burst(load, times, begin_ms, end_ms):
    def load_at(at_ms, name):
        return load * (times if begin_ms <= at_ms < end_ms else 1)

    return load_at


def wave(load, name_of_wave, at, length_ms, wave_load):
    """Adds a short peak of one class, whose jobs are cancelled by an event."""

    def load_at(at_ms, name):
        more = at <= at_ms < at + length_ms and name == name_of_wave
        return load + (wave_load if more else 0)

    return load_at


def main():
    folder = sys.argv[1] if len(sys.argv) > 1 else "bench/traces"
    for firm, (classes, centres) in FIRMS.items():
        large = max(classes, key=lambda name: classes[name][2])
        write(folder, firm, "steady", 1, steady(0.8), 30)
        write(folder, firm, "burst", 2, burst(0.4, 5, 10000, 15000), 30)
        write(folder, firm, "sizes-wrong", 3, steady(0.8), 20, declared="wrong")
        write(folder, firm, "straggler", 4, steady(0.7), 30,
              ["5000 slow server=0 slowness_milli=5000"])
        write(folder, firm, "black-hole", 5, steady(0.5), 60,
              ["5000 fail server=0"])
        write(folder, firm, "cancellations", 6,
              wave(0.5, large, 10000, 2000, 6), 25,
              [f"12500 cancel class={large}"])
        write(folder, firm, "data-centre", 7, steady(0.8), 35,
              [f"8000 out data_centre={centres[0]}",
               f"20000 in data_centre={centres[0]}"])
        write(folder, firm, "half-leaves", 8, steady(0.7), 30,
              ["10000 leave servers=5"])


if __name__ == "__main__":
    main()
