/*
 * Tests of run-time prediction from declared values and ended tasks.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "chervilferry.h"

struct convergence_case {
	const char *name;
	uint32_t declared_ms; /* 0: none */
	uint32_t run_ms;
	uint32_t tasks; /* ended before the prediction */
	uint32_t min_ms, max_ms; /* of the predicted median */
};

static const struct convergence_case convergence_cases[] = {
	{ "nothing known", 0, 0, 0, 1, 1000 },
	{ "only declared", 300, 0, 0, 300, 300 },
	{ "declared correctly", 300, 300, 30, 280, 320 },
	{ "declared 10x too small", 50, 500, 30, 450, 550 },
	{ "declared 10x too large", 2000, 200, 30, 180, 220 },
	{ "a few tasks are enough", 50, 500, 10, 450, 550 },
	{ "none declared", 0, 120, 30, 110, 130 },
	{ "zero run time counts as 1 ms", 0, 0, 30, 1, 1 },
	{ "run time beyond all bins", 0, UINT32_MAX, 30, 3000000, 3600000 },
};

static void test_converges(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(convergence_cases); i++) {
		const struct convergence_case *c = &convergence_cases[i];
		struct cf_predict *predict = cf_predict_create();
		uint32_t ms;

		for (uint32_t n = 0; n < c->tasks; n++)
			cf_predict_learn(predict, "scan", c->declared_ms,
					 c->run_ms);
		ms = cf_predict_ms(predict, "scan", c->declared_ms, 50000);
		if (ms < c->min_ms || ms > c->max_ms)
			fail_msg("%s: %u ms", c->name, ms);
		cf_predict_destroy(predict);
	}
}

static void test_quantiles(void **state)
{
	static const struct {
		uint32_t percentile_milli, min_ms, max_ms;
	} cases[] = {
		{ 10000, 90, 125 },
		{ 50000, 450, 560 },
		{ 90000, 820, 990 },
		{ 99000, 900, 1100 },
	};
	struct cf_predict *predict = cf_predict_create();
	GRand *random = g_rand_new_with_seed(7);

	(void)state;
	for (int i = 0; i < 4000; i++)
		cf_predict_learn(predict, "price", 0,
				 (uint32_t)g_rand_int_range(random, 1, 1001));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t ms = cf_predict_ms(predict, "price", 0,
					    cases[i].percentile_milli);

		/* The window is 200 tasks, so the bounds are wide at the low
		 * end. */
		if (ms + 40 < cases[i].min_ms || ms > cases[i].max_ms + 40)
			fail_msg("p%u: %u ms", cases[i].percentile_milli, ms);
	}
	g_rand_free(random);
	cf_predict_destroy(predict);
}

/* In one class, short tasks are declared 10 times too short and long ones
 * correctly. Both must be predicted well. */
static void test_sizes_apart(void **state)
{
	struct cf_predict *predict = cf_predict_create();

	(void)state;
	for (int i = 0; i < 60; i++) {
		cf_predict_learn(predict, "mixed", 20, 200);
		cf_predict_learn(predict, "mixed", 1000, 1000);
	}
	assert_in_range(cf_predict_ms(predict, "mixed", 20, 50000), 180, 220);
	assert_in_range(cf_predict_ms(predict, "mixed", 1000, 50000), 900,
			1100);
	cf_predict_destroy(predict);
}

static void test_follows_change(void **state)
{
	struct cf_predict *predict = cf_predict_create();

	(void)state;
	for (int i = 0; i < 5000; i++)
		cf_predict_learn(predict, "scan", 100, 100);
	for (int i = 0; i < 200; i++)
		cf_predict_learn(predict, "scan", 100, 1000);
	assert_in_range(cf_predict_ms(predict, "scan", 100, 50000), 900, 1100);
	cf_predict_destroy(predict);
}

/* If declared values carry no information, the run times must be used. */
static void test_declared_at_random(void **state)
{
	struct cf_predict *predict = cf_predict_create();
	GRand *random = g_rand_new_with_seed(3);

	(void)state;
	for (int i = 0; i < 100; i++)
		cf_predict_learn(predict, "scan",
				 (uint32_t)g_rand_int_range(random, 20, 400),
				 (uint32_t)g_rand_int_range(random, 180, 220));
	/* Sizes never seen before, declared far too large or too small. */
	assert_in_range(cf_predict_ms(predict, "scan", 4000, 50000), 160, 240);
	assert_in_range(cf_predict_ms(predict, "scan", 3, 50000), 160, 240);
	g_rand_free(random);
	cf_predict_destroy(predict);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_converges),
		cmocka_unit_test(test_quantiles),
		cmocka_unit_test(test_sizes_apart),
		cmocka_unit_test(test_follows_change),
		cmocka_unit_test(test_declared_at_random),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
