/*
 * many_world: simulates several dispatchers that share backend servers and
 * compete for scarce capacity. It uses simulated time and no network. The
 * agents use the real run tables, messages are delayed, and the callers are
 * spread over the dispatchers.
 */
#ifndef SUPPORT_MANY_WORLD_H
#define SUPPORT_MANY_WORLD_H

#include "support/dispatch_world.h"

#define MANY_DISPATCHERS_MAX 16
#define MANY_SERVERS_MAX 80

/* Runs of one class take factor times as long beside another one. */
struct many_slowdown {
	size_t class, beside;
	double factor;
};

struct many_load {
	const struct world_class *classes; /* WORLD_CLASSES of them */
	double factor; /* on the arrival rates */
	int64_t arrivals_ms;
	uint32_t dispatchers, servers;
	uint32_t cpu_milli; /* of each server */
	/* How many times as many callers the first dispatcher has as each of
	 * the others; 0 means 1. */
	uint32_t first_load_factor;
	uint32_t failing; /* number of servers that fail all tasks */
	uint32_t refusing; /* number of servers that refuse some starts */
	double refused_fraction; /* of the starts at those servers */
	/* Of every slow_every servers, one takes slow_factor times as long as
	 * a server of average speed, and the others fast_factor times; 0: all
	 * take 1. */
	uint32_t slow_every;
	double slow_factor, fast_factor;
	/* From this time on, runs that start on this many of the servers take
	 * turned_factor times as long; 0: never. */
	int64_t turned_from_ms;
	uint32_t turned;
	double turned_factor;
	bool hides_speed; /* agents report no speeds, as older versions do */
	const struct many_slowdown *slowdowns;
	size_t n_slowdowns;
	bool ignores_interference; /* agents report no slowdowns */
	/* In this time, this part of the jobs of a class hold a task that
	 * crashes its server. */
	size_t crash_class;
	double crash_fraction;
	int64_t crash_from_ms, crash_to_ms;
	double random_crashes_per_s; /* of all servers together */
	/* At this time, servers from 0 to below rack crash together; 0: never.
	 * Their agents go on. */
	int64_t rack_crashes_ms;
	uint32_t rack;
	/* Jobs that arrive in this time are counted separately. */
	int64_t counted_from_ms, counted_to_ms;
	bool contains; /* dispatchers contain classes that crash servers */
	uint32_t seed;
};

void many_simulate(const struct many_load *load, struct world_result *result);

#endif
