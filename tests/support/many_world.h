/*
 * many_world: several dispatchers that share backend servers, in
 * simulated time: agents with their real run tables, messages that take a
 * while, callers spread over the dispatchers. No network. Answers the
 * load at which the dispatchers compete for what little room there is.
 */
#ifndef SUPPORT_MANY_WORLD_H
#define SUPPORT_MANY_WORLD_H

#include "support/dispatch_world.h"

#define MANY_DISPATCHERS_MAX 16
#define MANY_SERVERS_MAX 80

struct many_load {
	const struct world_class *classes; /* WORLD_CLASSES of them */
	double factor; /* of the jobs a second */
	int64_t arrivals_ms;
	uint32_t dispatchers, servers;
	uint32_t cpu_milli; /* of each server */
	uint32_t first_load_factor; /* how many times more callers the first one
				       has; 0: 1 */
	uint32_t failing; /* servers on which each task soon fails */
	uint32_t refusing; /* servers that refuse a part of their starts */
	double refused_fraction; /* that part */
	uint32_t seed;
};

void many_simulate(const struct many_load *load, struct world_result *result);

#endif
