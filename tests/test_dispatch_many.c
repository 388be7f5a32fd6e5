/*
 * test_dispatch_many: simulates several dispatchers that share backend servers
 * when capacity is scarce. They must complete nearly as many jobs in time as
 * one dispatcher that has all the servers to itself.
 */
#include "support/many_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#define ARRIVALS_MS 8000
#define CPU_MILLI 72000
/* Of the jobs that one dispatcher completes in time. */
#define SERVED_FRACTION_MIN 0.9
/* Fraction of all jobs, in cases with spare capacity. */
#define REFUSED_MAX 0.01

struct many_case {
	const char *name;
	uint32_t dispatchers, servers;
	double factor; /* of the arrival rates; 1 needs 490 processors */
	uint32_t refusing;
	double refused_fraction;
	uint32_t first_load_factor; /* see many_load */
	bool spare_capacity; /* few jobs may be refused */
};

static const struct many_case cases[] = {
	{ "9 dispatchers at two thirds of the capacity", 9, 36, 3.5, 0, 0, 0,
	  true },
	{ "9 dispatchers at nearly the full capacity", 9, 36, 4.8, 0, 0, 0,
	  false },
	{ "9 dispatchers at a fifth above the capacity", 9, 36, 6.3, 0, 0, 0,
	  false },
	{ "9 dispatchers, a sixth of the servers refuses a third of the starts",
	  9, 36, 4.2, 6, 0.31, 0, false },
	{ "3 dispatchers at two thirds of the capacity", 3, 11, 1.07, 0, 0, 0,
	  true },
	{ "3 dispatchers at four fifths of the capacity", 3, 11, 1.3, 0, 0, 0,
	  false },
	{ "3 dispatchers at nearly the full capacity", 3, 11, 1.47, 0, 0, 0,
	  false },
	{ "3 dispatchers at a fifth above the capacity", 3, 11, 1.93, 0, 0, 0,
	  false },
	{ "9 dispatchers at two thirds, one has four times as many callers", 9,
	  36, 3.5, 0, 0, 4, true },
	{ "9 dispatchers at nearly all, one has four times as many callers", 9,
	  36, 4.8, 0, 0, 4, false },
	{ "9 dispatchers at a fifth above, one has four times as many callers",
	  9, 36, 6.3, 0, 0, 4, false },
	{ "14 dispatchers at two thirds of the capacity", 14, 64, 6.2, 0, 0, 0,
	  true },
	{ "14 dispatchers at nearly the full capacity", 14, 64, 8.5, 0, 0, 0,
	  false },
	{ "14 dispatchers at a fifth above the capacity", 14, 64, 11.2, 0, 0, 0,
	  false },
};

static uint32_t simulate(const struct many_case *c, uint32_t dispatchers,
			 struct world_result *result)
{
	struct many_load load = { .classes = world_order_desk,
				  .factor = c->factor,
				  .arrivals_ms = ARRIVALS_MS,
				  .dispatchers = dispatchers,
				  .servers = c->servers,
				  .cpu_milli = CPU_MILLI,
				  .refusing = c->refusing,
				  .refused_fraction = c->refused_fraction,
				  .first_load_factor = c->first_load_factor,
				  .seed = 20261204 };
	uint32_t in_target = 0;

	many_simulate(&load, result);
	for (size_t i = 0; i < WORLD_CLASSES; i++) {
		const struct world_tally *t = &result->classes[i];

		fprintf(stderr,
			"count: %s, %u dispatchers: %s asked=%u in_aim=%u "
			"late=%u refused=%u refused_late=%u given_up=%u "
			"large=%u/%u\n",
			c->name, dispatchers, world_order_desk[i].name,
			t->asked, t->in_target, t->late, t->refused,
			t->refused_late, t->given_up, t->large_served,
			t->large_asked);
		in_target += t->in_target;
	}
	fprintf(stderr, "count: runs=%u stopped=%u states=%u\n", result->runs,
		result->stopped_runs, result->states);
	assert_int_equal(result->overlapping_runs, 0);
	assert_int_equal(result->false_refusals, 0);
	return in_target;
}

static void check_few_refused(const struct world_result *result)
{
	uint32_t asked = 0, refused = 0;

	for (size_t i = 0; i < WORLD_CLASSES; i++) {
		asked += result->classes[i].asked;
		refused += result->classes[i].refused;
	}
	assert_true(refused <= REFUSED_MAX * asked);
}

static void test_several_serve_nearly_as_many_as_one(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct world_result one, several;
		uint32_t alone = simulate(&cases[i], 1, &one);
		uint32_t together =
			simulate(&cases[i], cases[i].dispatchers, &several);

		fprintf(stderr, "count: %s: %u alone, %u together\n",
			cases[i].name, alone, together);
		assert_true(together >= SERVED_FRACTION_MIN * alone);
		if (cases[i].spare_capacity)
			check_few_refused(&several);
	}
}

/* Servers that fail all their tasks have free capacity sooner than others. They
 * must not attract, and so fail, more than their share of the jobs. */
static void test_failing_servers_fail_only_their_share(void **state)
{
	static const struct {
		uint32_t dispatchers, servers, failing;
		double factor;
	} scenarios[] = {
		{ 3, 11, 1, 1.07 },
		{ 9, 36, 3, 3.5 },
		{ 14, 64, 4, 6.2 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		struct many_load load = { .classes = world_order_desk,
					  .factor = scenarios[i].factor,
					  .arrivals_ms = ARRIVALS_MS,
					  .dispatchers =
						  scenarios[i].dispatchers,
					  .servers = scenarios[i].servers,
					  .cpu_milli = CPU_MILLI,
					  .failing = scenarios[i].failing,
					  .seed = 20261204 };
		struct world_result result;
		uint32_t asked = 0, failed = 0;

		many_simulate(&load, &result);
		for (size_t k = 0; k < WORLD_CLASSES; k++) {
			asked += result.classes[k].asked;
			failed += result.classes[k].failed;
		}
		fprintf(stderr, "count: %u of %u servers fail: %u of %u jobs\n",
			load.failing, load.servers, failed, asked);
		assert_true(failed * load.servers <= load.failing * asked);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_several_serve_nearly_as_many_as_one),
		cmocka_unit_test(test_failing_servers_fail_only_their_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
