/*
 * test_dispatch_speed: simulates several dispatchers on servers of which some
 * are slower than the others. All start without knowing so. The test fails if
 * the dispatchers don't share what the agents measure: then more jobs are late
 * and more runs are stopped because they look late on a slow server.
 */
#include "support/many_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#define SERVERS 69
#define DISPATCHERS 8
/* A task takes a tenth of a server. */
#define CPU_MILLI 62000
/* Without shared speeds, at least this many times as many jobs are late and
 * runs stopped. */
#define LESS 1.5
/* Fraction of the jobs by which results with even servers may differ. */
#define EVEN_MARGIN 0.002
/* The same for jobs without an answer. A single task on a server that hangs
 * stays there while runs that began earlier still succeed, with and without
 * shared speeds. */
#define GIVEN_UP_MARGIN 0.0005

static const struct world_class classes[WORLD_CLASSES] = {
	{ "short", 34.4, 8, 55, 6200 },
	{ "long", 6.25, 4, 830, 6200 },
	{ "middle", 100.0, 2, 185, 6200 },
};

#define LONG 1 /* its position in classes */

struct totals {
	uint32_t asked, in_target, late, refused, given_up;
};

static void simulate(const char *name, const struct many_load *load,
		     struct world_result *result, struct totals *totals)
{
	many_simulate(load, result);
	*totals = (struct totals){ 0 };
	for (size_t i = 0; i < WORLD_CLASSES; i++) {
		const struct world_tally *t = &result->classes[i];

		fprintf(stderr,
			"count: %s: %s asked=%u in_target=%u late=%u "
			"refused=%u given_up=%u\n",
			name, classes[i].name, t->asked, t->in_target, t->late,
			t->refused, t->given_up);
		totals->asked += t->asked;
		totals->in_target += t->in_target;
		totals->late += t->late;
		totals->refused += t->refused;
		totals->given_up += t->given_up;
	}
	fprintf(stderr,
		"count: %s: asked=%u in_target=%u late=%u refused=%u "
		"given_up=%u runs=%u stopped=%u states=%u known after %u jobs, "
		"%d ms\n",
		name, totals->asked, totals->in_target, totals->late,
		totals->refused, totals->given_up, result->runs,
		result->stopped_runs, result->states, result->jobs_until_known,
		(int)result->ms_until_known);
	assert_int_equal(result->overlapping_runs, 0);
	assert_int_equal(result->false_refusals, 0);
}

struct speed_case {
	const char *name;
	double factor; /* of the arrival rates */
	int64_t arrivals_ms;
	/* Fraction of the long jobs, which can't be in time on slow servers. */
	double long_in_target_min;
	/* Jobs until the slow servers are known. Each needs some five runs, of
	 * which each job brings four; 0: not checked. */
	uint32_t known_jobs_max;
};

static const struct speed_case cases[] = {
	{ "the first 4 s", 3.5, 4000, 0.95, 0 },
	{ "at half of the capacity", 4.5, 12000, 0.99, 600 },
	{ "at three quarters of the capacity", 6.5, 12000, 0.99, 600 },
	{ "at nearly the full capacity", 8, 12000, 0.97, 600 },
	{ "at a fifth above the capacity", 10.5, 12000, 0, 600 },
};

static void test_uneven_servers(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct many_load load = { .classes = classes,
					  .factor = cases[i].factor,
					  .arrivals_ms = cases[i].arrivals_ms,
					  .dispatchers = DISPATCHERS,
					  .servers = SERVERS,
					  .cpu_milli = CPU_MILLI,
					  .slow_every = 3,
					  .slow_factor = 1.7,
					  .fast_factor = 0.7,
					  .seed = 20261204 };
		struct world_result result;
		struct totals with, without;
		uint32_t stopped;

		fprintf(stderr, "count: -- %s\n", cases[i].name);
		simulate("shared", &load, &result, &with);
		load.hides_speed = true;
		assert_true(result.classes[LONG].in_target >=
			    cases[i].long_in_target_min *
				    result.classes[LONG].asked);
		if (cases[i].known_jobs_max)
			assert_in_range(result.jobs_until_known, 1,
					cases[i].known_jobs_max);
		stopped = result.stopped_runs;
		simulate("hidden", &load, &result, &without);
		assert_true(with.in_target > without.in_target);
		assert_true(with.late * LESS <= without.late);
		assert_true(with.refused <= without.refused);
		assert_true(stopped * LESS <= result.stopped_runs);
	}
}

/* Where all servers are even, sharing what is measured must not make callers
 * fare worse. */
static void test_even_servers(void **state)
{
	static const double factors[] = { 6.2, 8, 10.5 };

	(void)state;
	for (size_t i = 0; i < sizeof(factors) / sizeof(factors[0]); i++) {
		struct many_load load = { .classes = classes,
					  .factor = factors[i],
					  .arrivals_ms = 8000,
					  .dispatchers = DISPATCHERS,
					  .servers = SERVERS,
					  .cpu_milli = CPU_MILLI,
					  .seed = 20261204 };
		struct world_result result;
		struct totals with, without;

		simulate("even, shared", &load, &result, &with);
		load.hides_speed = true;
		simulate("even, hidden", &load, &result, &without);
		assert_true(with.in_target >=
			    without.in_target - EVEN_MARGIN * without.asked);
	}
}

/* Servers that turn slow or hang must be found as soon as without shared
 * speeds. A run that was sent before must not be left there because the server
 * is now known to be slow. */
static void test_servers_turn_slow(void **state)
{
	static const struct {
		const char *name;
		double turned_factor;
		uint32_t slow_every;
	} scenarios[] = {
		{ "even, three turn slow", 7, 0 },
		{ "even, three hang", 10000, 0 },
		{ "uneven, three turn slow", 7, 3 },
		{ "uneven, three hang", 10000, 3 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		struct many_load load = { .classes = classes,
					  .factor = 5,
					  .arrivals_ms = 10000,
					  .dispatchers = DISPATCHERS,
					  .servers = SERVERS,
					  .cpu_milli = CPU_MILLI,
					  .slow_every = scenarios[i].slow_every,
					  .slow_factor = 1.7,
					  .fast_factor = 0.7,
					  .turned_from_ms = 4000,
					  .turned = 3,
					  .turned_factor =
						  scenarios[i].turned_factor,
					  .seed = 20261204 };
		struct world_result result;
		struct totals with, without;

		fprintf(stderr, "count: -- %s\n", scenarios[i].name);
		simulate("shared", &load, &result, &with);
		load.hides_speed = true;
		simulate("hidden", &load, &result, &without);
		assert_true(with.in_target >=
			    without.in_target - EVEN_MARGIN * without.asked);
		assert_true(with.given_up <=
			    without.given_up + GIVEN_UP_MARGIN * with.asked);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_uneven_servers),
		cmocka_unit_test(test_even_servers),
		cmocka_unit_test(test_servers_turn_slow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
