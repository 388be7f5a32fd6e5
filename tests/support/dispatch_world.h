/*
 * dispatch_world: plays a load against a dispatcher's decisions in
 * simulated time: backend servers with exact room, callers, and what
 * goes wrong at servers. No network. It checks by itself that no task
 * has two runs at the same time and that a refusal is true.
 */
#ifndef SUPPORT_DISPATCH_WORLD_H
#define SUPPORT_DISPATCH_WORLD_H

#include "leased/dispatch.h"

#define WORLD_CLASSES 3

struct world_class {
	const char *name;
	double jobs_per_s;
	uint32_t tasks, work_ms, cpu_milli; /* means */
};

struct world_server {
	uint32_t cpu_milli;
	double slowness; /* 0: 1 */
	int64_t from_ms, to_ms; /* when it is slow, fails or hangs */
	bool fails, hangs;
	bool lost; /* its agent's connection, from from_ms on */
};

struct world_load {
	const struct world_class *classes; /* WORLD_CLASSES of them */
	double factor; /* of the jobs a second */
	int64_t arrivals_ms;
	struct world_server servers[12];
	size_t n_servers;
	double poison; /* part of the jobs whose tasks always fail */
	uint32_t seed;
};

struct world_tally {
	uint32_t asked, in_target, late, failed, given_up;
	uint32_t refused, refused_late; /* later than a quarter of the aim */
	uint32_t large_asked, large_served; /* the widest tenth */
};

struct world_result {
	struct world_tally classes[WORLD_CLASSES];
	uint32_t runs, stopped_runs, overlapping_runs, false_refusals;
	uint32_t states; /* told to dispatchers, many_world only */
};

extern const struct world_class world_order_desk[WORLD_CLASSES];

void world_simulate(const struct world_load *load, struct world_result *result);
uint32_t world_served(const struct world_tally *tally); /* in aim and late */

#endif
