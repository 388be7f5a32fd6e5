/*
 * test_speed_estimate: an agent's estimate of the speed of its server. It must
 * be uncertain after few runs, ignore runs that say nothing about speed, follow
 * a change of speed after a few runs, not mistake several tasks of one job for
 * several runs, and forget a server that was replaced.
 */
#include "leased/speed_estimate.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#define EXPECTED_MS 100
#define STEPS_MAX 4
/* Between runs. */
#define INTERVAL_MS 50

/* Runs of the same length. */
struct runs {
	uint32_t n;
	uint32_t run_ms;
	enum run_outcome outcome;
	bool one_job; /* they are tasks of one job */
	bool expects_nothing; /* ordered by a dispatcher of an older version */
	int64_t pause_ms; /* before them */
};

struct range {
	double log_min, log_max;
	double sd_min, sd_max;
};

static const struct {
	const char *name;
	struct runs steps[STEPS_MAX];
	struct range expected;
} cases[] = {
	{ "nothing is known without runs", { { 0 } }, { 0, 0, 0, 0 } },
	{ "one run tells little",
	  { { .n = 1, .run_ms = 200, .outcome = RUN_OUTCOME_DONE } },
	  { 0.69, 0.70, 0.49, 0.51 } },
	{ "five runs tell more",
	  { { .n = 5, .run_ms = 200, .outcome = RUN_OUTCOME_DONE } },
	  { 0.69, 0.70, 0.21, 0.24 } },
	{ "many runs are certain",
	  { { .n = 100, .run_ms = 70, .outcome = RUN_OUTCOME_DONE } },
	  { -0.37, -0.35, 0.05, 0.12 } },
	{ "tasks of one job count little more than one run",
	  { { .n = 8,
	      .run_ms = 200,
	      .outcome = RUN_OUTCOME_DONE,
	      .one_job = true } },
	  { 0.69, 0.70, 0.39, 0.50 } },
	{ "failed runs don't count",
	  { { .n = 20, .run_ms = 5, .outcome = RUN_OUTCOME_FAILED } },
	  { 0, 0, 0, 0 } },
	{ "failed runs don't change what is known",
	  { { .n = 10, .run_ms = 100, .outcome = RUN_OUTCOME_DONE },
	    { .n = 10, .run_ms = 5, .outcome = RUN_OUTCOME_FAILED } },
	  { -0.01, 0.01, 0.1, 0.2 } },
	{ "runs stopped early don't count",
	  { { .n = 20, .run_ms = 20, .outcome = RUN_OUTCOME_STOPPED },
	    { .n = 20, .run_ms = 150, .outcome = RUN_OUTCOME_STOPPED } },
	  { 0, 0, 0, 0 } },
	{ "runs stopped after far too long count as at least that long",
	  { { .n = 10, .run_ms = 100, .outcome = RUN_OUTCOME_DONE },
	    { .n = 5, .run_ms = 400, .outcome = RUN_OUTCOME_STOPPED } },
	  { 0.4, 1.4, 0.05, 0.3 } },
	{ "runs without an expected time don't count",
	  { { .n = 20,
	      .run_ms = 200,
	      .outcome = RUN_OUTCOME_DONE,
	      .expects_nothing = true } },
	  { 0, 0, 0, 0 } },
	{ "one long run among many is chance",
	  { { .n = 50, .run_ms = 100, .outcome = RUN_OUTCOME_DONE },
	    { .n = 1, .run_ms = 1000, .outcome = RUN_OUTCOME_DONE } },
	  { -0.01, 0.2, 0.05, 0.15 } },
	{ "a server that turns seven times slower is found after three runs",
	  { { .n = 200, .run_ms = 100, .outcome = RUN_OUTCOME_DONE },
	    { .n = 3, .run_ms = 700, .outcome = RUN_OUTCOME_DONE } },
	  { 1.9, 2.0, 0.25, 0.3 } },
	{ "a server that turns 2.4 times slower is found after six runs",
	  { { .n = 200, .run_ms = 100, .outcome = RUN_OUTCOME_DONE },
	    { .n = 6, .run_ms = 243, .outcome = RUN_OUTCOME_DONE } },
	  { 0.8, 0.9, 0.1, 0.3 } },
	{ "a server that is fast again is found",
	  { { .n = 50, .run_ms = 700, .outcome = RUN_OUTCOME_DONE },
	    { .n = 4, .run_ms = 100, .outcome = RUN_OUTCOME_DONE } },
	  { -0.1, 0.1, 0.2, 0.3 } },
	{ "long tasks of one job are no change of the server",
	  { { .n = 200, .run_ms = 100, .outcome = RUN_OUTCOME_DONE },
	    { .n = 8,
	      .run_ms = 700,
	      .outcome = RUN_OUTCOME_DONE,
	      .one_job = true } },
	  { -0.01, 0.25, 0.05, 0.15 } },
	{ "after 30 s a certain estimate weighs no more than a run",
	  { { .n = 100, .run_ms = 70, .outcome = RUN_OUTCOME_DONE },
	    { .pause_ms = 30000 } },
	  { -0.37, -0.35, 0.5, 0.6 } },
	{ "old runs give way to new ones",
	  { { .n = 100, .run_ms = 70, .outcome = RUN_OUTCOME_DONE },
	    { .n = 5,
	      .run_ms = 170,
	      .outcome = RUN_OUTCOME_DONE,
	      .pause_ms = 60000 } },
	  { 0.4, 0.54, 0.15, 0.25 } },
};

static uint32_t next_job;

static void add_runs(struct speed_estimate *e, const struct runs *runs,
		     int64_t *now_ms)
{
	uint32_t first_job = ++next_job;

	*now_ms += runs->pause_ms;
	for (uint32_t i = 0; i < runs->n; i++) {
		struct run_result result = {
			.outcome = runs->outcome,
			.run_ms = runs->run_ms,
			.expected_ms = runs->expects_nothing ? 0 : EXPECTED_MS
		};

		g_snprintf(result.name.job, sizeof(result.name.job), "j%u",
			   runs->one_job ? first_job : ++next_job);
		*now_ms += runs->one_job ? 0 : INTERVAL_MS;
		speed_estimate_add(e, &result, *now_ms);
	}
}

static void test_runs(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct speed_estimate *e = speed_estimate_create();
		const struct range *r = &cases[i].expected;
		struct speed speed;
		int64_t now_ms = 1000;

		for (size_t k = 0; k < STEPS_MAX; k++)
			add_runs(e, &cases[i].steps[k], &now_ms);
		speed_estimate_get(e, now_ms, &speed);
		print_message("%s: log=%.3f sd=%.3f\n", cases[i].name,
			      speed.log, speed.sd);
		assert_true(speed.log >= r->log_min && speed.log <= r->log_max);
		assert_true(speed.sd >= r->sd_min && speed.sd <= r->sd_max);
		speed_estimate_destroy(e);
	}
}

/* Without this, a server that hangs would keep its good estimate, as no run
 * ends there. */
static void test_runs_in_progress(void **state)
{
	static const struct {
		uint32_t known_runs; /* of the expected length */
		uint32_t ran_ms, expected_ms;
		uint32_t jobs, tasks; /* in progress */
		double log_min, log_max;
	} scenarios[] = {
		{ 20, 150, 100, 4, 1, -0.01, 0.01 }, /* not far too long */
		{ 20, 1000, 100, 4, 1, 0.3, 2.31 },
		{ 0, 1000, 100, 1, 1, 2.3, 2.31 },
		{ 0, 150, 100, 1, 1, 0, 0 },
		{ 20, 1000, 100, 1, 8, 0.05, 0.3 }, /* one job, one run */
		{ 20, 1000, 0, 4, 1, -0.01, 0.01 }, /* older dispatcher */
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		struct speed_estimate *e = speed_estimate_create();
		struct runs known = { .n = scenarios[i].known_runs,
				      .run_ms = EXPECTED_MS,
				      .outcome = RUN_OUTCOME_DONE };
		struct run_progress progress[8] = { { .ran_ms = 0 } };
		uint32_t n = scenarios[i].jobs * scenarios[i].tasks;
		struct speed before, during, after;
		int64_t now_ms = 1000;

		add_runs(e, &known, &now_ms);
		speed_estimate_get(e, now_ms, &before);
		for (uint32_t k = 0; k < n; k++) {
			g_snprintf(progress[k].job, sizeof(progress[k].job),
				   "p%u", k / scenarios[i].tasks);
			progress[k].ran_ms = scenarios[i].ran_ms;
			progress[k].expected_ms = scenarios[i].expected_ms;
		}
		speed_estimate_watch(e, progress, n);
		speed_estimate_get(e, now_ms, &during);
		print_message("%zu: log=%.3f\n", i, during.log);
		assert_true(during.log >= scenarios[i].log_min);
		assert_true(during.log <= scenarios[i].log_max);
		speed_estimate_watch(e, progress, 0);
		speed_estimate_get(e, now_ms, &after);
		assert_true(after.log == before.log && after.sd == before.sd);
		speed_estimate_destroy(e);
	}
}

static void test_replaced_server(void **state)
{
	static const struct {
		int64_t start_time_ms;
		const char *kind;
		bool forgets;
	} scenarios[] = {
		{ 1, "small", false },
		{ 2, "small", true },
		{ 1, "large", true },
		{ 1, "", true },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		struct speed_estimate *e = speed_estimate_create();
		struct runs runs = { .n = 10,
				     .run_ms = 170,
				     .outcome = RUN_OUTCOME_DONE };
		struct speed speed;
		int64_t now_ms = 1000;

		speed_estimate_set_server(e, 1, "small");
		add_runs(e, &runs, &now_ms);
		speed_estimate_set_server(e, scenarios[i].start_time_ms,
					  scenarios[i].kind);
		speed_estimate_get(e, now_ms, &speed);
		assert_true((speed.sd <= 0) == scenarios[i].forgets);
		assert_true((speed_estimate_step(e, now_ms) ==
			     SPEED_STEP_UNKNOWN) == scenarios[i].forgets);
		speed_estimate_destroy(e);
	}
}

/* Each step is a report to each dispatcher, so an estimate that moves about the
 * edge of two steps must not change it. */
static void test_steps(void **state)
{
	struct speed_estimate *e = speed_estimate_create();
	struct runs runs = { .n = 100,
			     .run_ms = 116,
			     .outcome = RUN_OUTCOME_DONE };
	int64_t now_ms = 1000;
	uint32_t changes = 0;
	int32_t step;

	(void)state;
	add_runs(e, &runs, &now_ms);
	step = speed_estimate_step(e, now_ms);
	assert_int_equal(step, 1);
	for (uint32_t i = 0; i < 100; i++) {
		struct runs one = { .n = 1,
				    .run_ms = i % 2 ? 180 : 75,
				    .outcome = RUN_OUTCOME_DONE };
		int32_t next;

		add_runs(e, &one, &now_ms);
		next = speed_estimate_step(e, now_ms);
		changes += next != step;
		step = next;
	}
	assert_int_equal(changes, 0);
	runs.run_ms = 170;
	add_runs(e, &runs, &now_ms);
	assert_int_equal(speed_estimate_step(e, now_ms), 5);
	speed_estimate_destroy(e);
}

static void test_age(void **state)
{
	struct speed_estimate *e = speed_estimate_create();
	struct runs done = { .n = 3,
			     .run_ms = 100,
			     .outcome = RUN_OUTCOME_DONE };
	struct runs stopped = { .n = 3,
				.run_ms = 900,
				.outcome = RUN_OUTCOME_STOPPED };
	struct speed speed;
	int64_t now_ms = 1000;

	(void)state;
	add_runs(e, &done, &now_ms);
	speed_estimate_get(e, now_ms + 70, &speed);
	assert_int_equal(speed.age_ms, 70);
	/* Runs that didn't succeed don't show that the server makes progress.
	 */
	add_runs(e, &stopped, &now_ms);
	speed_estimate_get(e, now_ms, &speed);
	assert_int_equal(speed.age_ms, 3 * INTERVAL_MS);
	speed_estimate_destroy(e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_runs),
		cmocka_unit_test(test_runs_in_progress),
		cmocka_unit_test(test_replaced_server),
		cmocka_unit_test(test_steps),
		cmocka_unit_test(test_age),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
