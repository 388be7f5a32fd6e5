/*
 * test_dispatch_interference: simulates classes that slow each other down when
 * they share a server. With the agents' estimates, dispatchers must keep such
 * classes apart, so that more jobs are in time than without the estimates.
 */
#include "support/many_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#define ARRIVALS_MS 40000
#define CPU_MILLI 72000
#define SHORT 0
#define LONG 1
#define MIDDLE 2

struct interference_case {
	const char *name;
	uint32_t dispatchers, servers;
	double factor; /* of the arrival rates; 1 needs 490 processors */
	struct many_slowdown slowdowns[2];
	size_t n_slowdowns;
	double late_max; /* late jobs, as a fraction of those without */
};

static const struct interference_case cases[] = {
	{ "one dispatcher, short and long slow each other down",
	  1,
	  16,
	  1.0,
	  { { SHORT, LONG, 1.8 }, { LONG, SHORT, 1.8 } },
	  2,
	  0.5 },
	{ "3 dispatchers, short and long slow each other down",
	  3,
	  16,
	  1.0,
	  { { SHORT, LONG, 1.8 }, { LONG, SHORT, 1.8 } },
	  2,
	  0.5 },
	{ "3 dispatchers, nothing slows anything down",
	  3,
	  16,
	  1.0,
	  { { 0 } },
	  0,
	  1.1 },
};

static uint32_t simulate(const struct interference_case *c, bool ignores,
			 uint32_t *asked)
{
	struct many_load load = { .classes = world_order_desk,
				  .factor = c->factor,
				  .arrivals_ms = ARRIVALS_MS,
				  .dispatchers = c->dispatchers,
				  .servers = c->servers,
				  .cpu_milli = CPU_MILLI,
				  .slowdowns = c->slowdowns,
				  .n_slowdowns = c->n_slowdowns,
				  .ignores_interference = ignores,
				  .seed = 20261204 };
	struct world_result result;
	uint32_t not_in_time = 0;

	many_simulate(&load, &result);
	*asked = 0;
	for (size_t i = 0; i < WORLD_CLASSES; i++) {
		const struct world_tally *t = &result.classes[i];

		fprintf(stderr,
			"count: %s, %s: %s asked=%u in_time=%u late=%u "
			"refused=%u given_up=%u\n",
			c->name, ignores ? "without" : "with",
			world_order_desk[i].name, t->asked, t->in_target,
			t->late, t->refused, t->given_up);
		not_in_time += t->asked - t->in_target;
		*asked += t->asked;
	}
	fprintf(stderr, "count: runs=%u stopped=%u states=%u mean_run_ms=%u\n",
		result.runs, result.stopped_runs, result.states,
		result.runs ? (uint32_t)(result.run_ms / result.runs) : 0);
	assert_int_equal(result.overlapping_runs, 0);
	assert_int_equal(result.false_refusals, 0);
	return not_in_time;
}

static void test_classes_are_kept_apart(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint32_t asked;
		uint32_t without = simulate(&cases[i], true, &asked);
		uint32_t with = simulate(&cases[i], false, &asked);

		fprintf(stderr,
			"count: %s: of %u jobs not in time %u without, %u "
			"with\n",
			cases[i].name, asked, without, with);
		assert_true(with <= cases[i].late_max * without + 2);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_classes_are_kept_apart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
