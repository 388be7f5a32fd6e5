/*
 * dispatch_world: simulates callers, backend servers and server faults around
 * the decisions of one dispatcher. It uses simulated time and no network, and
 * the servers' free capacity is exact. It counts tasks with two runs at a time
 * and refusals of jobs that have started.
 */
#ifndef SUPPORT_DISPATCH_WORLD_H
#define SUPPORT_DISPATCH_WORLD_H

#include "leased/dispatch.h"

#define WORLD_CLASSES 3

struct world_class {
	const char *name;
	double jobs_per_s;
	uint32_t tasks, work_ms, cpu_milli; /* typical values */
};

struct world_server {
	uint32_t cpu_milli;
	double slowness; /* factor on run times; 0 means 1 */
	int64_t from_ms, to_ms; /* when the fault is present */
	bool fails, hangs;
	bool lost; /* its agent is disconnected */
};

struct world_load {
	const struct world_class *classes; /* WORLD_CLASSES of them */
	double factor; /* on the arrival rates */
	int64_t arrivals_ms;
	struct world_server servers[12];
	size_t n_servers;
	double poison; /* fraction of the jobs whose tasks always fail */
	/* Fraction of the jobs whose first task crashes its server soon after
	 * its start. The server is back after some seconds. */
	double crashing;
	uint32_t seed;
};

struct world_tally {
	uint32_t asked, in_target, late, failed, given_up;
	uint32_t refused, refused_late; /* after a quarter of the target */
	uint32_t retry_after_max_s;
	uint32_t large_asked, large_served; /* jobs with the most tasks */
};

struct world_result {
	struct world_tally classes[WORLD_CLASSES];
	uint32_t runs, stopped_runs, overlapping_runs, false_refusals;
	uint32_t crashing_jobs, crashes;
	uint32_t crashes_of_job_max; /* under one task */
	uint32_t crash_given_up; /* jobs under which servers crashed */
	uint32_t crash_given_up_innocent; /* of these, that crash none */
	/* many_world only: */
	uint64_t run_ms; /* sum over ended runs */
	uint32_t states; /* reported to dispatchers */
	uint32_t server_crashes; /* many_world only */
	/* In the time of many_load.counted_from_ms to counted_to_ms. */
	struct world_tally counted[WORLD_CLASSES];
	uint64_t contained_ms; /* classes x time, at the first dispatcher */
	/* Jobs submitted, and time, until the first dispatcher knew nine in ten
	 * of the slow servers and took no more than one in ten of the others
	 * for slow; 0: never. */
	uint32_t jobs_until_known;
	int64_t ms_until_known;
};

extern const struct world_class world_order_desk[WORLD_CLASSES];

void world_simulate(const struct world_load *load, struct world_result *result);
/* Jobs completed in time or late. */
uint32_t world_served(const struct world_tally *tally);

#endif
