/*
 * test_run_numbers: a job that is sent again gets run numbers that its earlier
 * tries haven't had, whatever became of those.
 */
#include "leased/run_numbers.h"

#include "base/logger.h"
#include "leased/dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define REMEMBERED_MS 60000
#define REMEMBERED_JOBS_MAX 60000
#define AGENT 1
#define TASK_CPU_MILLI 1000
#define DEADLINE_MS 9000

/* ---- Memory ---- */

static void test_numbers_are_remembered(void **state)
{
	static const struct {
		const char *what, *job;
		uint32_t number;
		int64_t at_ms;
		uint32_t expected;
	} steps[] = {
		{ "unknown", "a", 0, 0, 0 },
		{ "known", "a", 3, 10, 3 },
		{ "a lower number changes nothing", "a", 2, 20, 3 },
		{ "a higher one does", "a", 19, 30, 19 },
		{ "of another job", "b", 1, 40, 1 },
		{ "no runs", "a", 0, 50, 19 },
	};
	struct run_numbers *numbers = run_numbers_create();

	(void)state;
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		run_numbers_remember(numbers, steps[i].job, steps[i].number,
				     steps[i].at_ms);
		if (run_numbers_last(numbers, steps[i].job) !=
		    steps[i].expected)
			fail_msg("%s", steps[i].what);
	}
	assert_int_equal(run_numbers_count(numbers), 2);
	/* "a" was used last at 30 ms, "b" at 40 ms. */
	run_numbers_remember(numbers, "c", 1, 30 + REMEMBERED_MS);
	assert_int_equal(run_numbers_last(numbers, "a"), 0);
	assert_int_equal(run_numbers_last(numbers, "b"), 1);
	run_numbers_destroy(numbers);
}

static void test_memory_is_bounded(void **state)
{
	struct run_numbers *numbers = run_numbers_create();
	char job[24];

	(void)state;
	for (uint32_t i = 0; i < 2 * REMEMBERED_JOBS_MAX; i++) {
		snprintf(job, sizeof(job), "%016x", i);
		run_numbers_remember(numbers, job, 1, 0);
	}
	assert_int_equal(run_numbers_count(numbers), REMEMBERED_JOBS_MAX);
	assert_int_equal(run_numbers_last(numbers, job), 1);
	assert_int_equal(run_numbers_last(numbers, "0000000000000000"), 0);
	run_numbers_destroy(numbers);
}

/* ---- A dispatcher ---- */

struct recorded_starts {
	struct dispatch_sink sink; /* first member */
	uint32_t count;
	struct run_name last;
};

static void record_start(struct dispatch_sink *sink, uint64_t agent,
			 const struct start_command *command)
{
	struct recorded_starts *starts = (struct recorded_starts *)sink;

	(void)agent;
	starts->count++;
	starts->last = command->name;
}

static void ignore_stop(struct dispatch_sink *sink, uint64_t agent,
			const struct run_name *name)
{
	(void)sink;
	(void)agent;
	(void)name;
}

static void ignore_answer(struct dispatch_sink *sink, void *caller,
			  const struct job_answer *answer)
{
	(void)sink;
	(void)caller;
	(void)answer;
}

static void ignore_demand(struct dispatch_sink *sink, bool has_demand)
{
	(void)sink;
	(void)has_demand;
}

static void connect_agent(struct dispatch *d)
{
	struct agent_identity identity = { .incarnation = AGENT,
					   .data_centre = "dc" };
	struct server_state state = { .name = "s",
				      .service = "desk",
				      .capacity = { .cpu_milli =
							    4 * TASK_CPU_MILLI,
						    .memory_mb = 10 },
				      .free_cpu_milli = 4 * TASK_CPU_MILLI,
				      .offered_cpu_milli = 4 * TASK_CPU_MILLI,
				      .free_memory_mb = 10,
				      .accepting = true };

	dispatch_agent_connected(d, &identity, 0);
	dispatch_update_server(d, AGENT, &state, 0);
	dispatch_finish_report(d, AGENT, 0);
}

static void submit(struct dispatch *d, void *caller, int64_t now_ms)
{
	struct job_request request = { .id = "j",
				       .route = { .name = "r",
						  .service = "desk",
						  .target_ms = DEADLINE_MS,
						  .stretch_milli = 1600,
						  .attempts_max = 9 },
				       .spec = { .n_tasks = 1,
						 .cpu_milli = TASK_CPU_MILLI,
						 .memory_mb = 1,
						 .estimate_ms = 100 },
				       .caller = caller,
				       .arrived_ms = now_ms,
				       .deadline_ms = now_ms + DEADLINE_MS };

	request.spec.spec = g_bytes_new("x", 1);
	dispatch_submit(d, &request, now_ms);
	g_bytes_unref(request.spec.spec);
}

static void report(struct dispatch *d, const struct run_name *name,
		   enum run_outcome outcome, int64_t now_ms)
{
	struct run_result result = { .name = *name, .outcome = outcome };

	dispatch_handle_result(d, AGENT, &result, now_ms);
}

/* Guards against a result of an earlier try of a job being taken for that of a
 * run that goes on: their names must differ. */
static void test_a_retry_gets_new_numbers(void **state)
{
	static const struct dispatch_sink_ops ops = { record_start, ignore_stop,
						      ignore_answer,
						      ignore_demand };
	static const struct {
		const char *what;
		enum run_outcome first, last;
		bool abandoned;
	} cases[] = {
		{ "completed", RUN_OUTCOME_REFUSED, RUN_OUTCOME_DONE, false },
		{ "abandoned", RUN_OUTCOME_REFUSED, RUN_OUTCOME_STOPPED, true },
		{ "abandoned after stale numbers", RUN_OUTCOME_STALE,
		  RUN_OUTCOME_STOPPED, true },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct recorded_starts starts = { .sink.ops = &ops };
		struct dispatch *d = dispatch_create(&starts.sink, "dc");
		int caller = 0;
		struct run_name earlier;

		connect_agent(d);
		submit(d, &caller, 0);
		assert_int_equal(starts.last.number, 1);
		report(d, &starts.last, cases[i].first, 10);
		assert_int_equal(starts.count, 2);
		earlier = starts.last;
		if (cases[i].abandoned)
			dispatch_abandon(d, "j", &caller, 20);
		report(d, &earlier, cases[i].last, 30);
		submit(d, &caller, 1300);
		assert_int_equal(starts.count, 3);
		if (starts.last.number <= earlier.number)
			fail_msg("%s: number %u after %u", cases[i].what,
				 starts.last.number, earlier.number);
		/* The result of an earlier try ends no run of this one. */
		report(d, &earlier, RUN_OUTCOME_REFUSED, 1310);
		assert_int_equal(starts.count, 3);
		dispatch_destroy(d);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_numbers_are_remembered),
		cmocka_unit_test(test_memory_is_bounded),
		cmocka_unit_test(test_a_retry_gets_new_numbers),
	};

	log_configure("test", "test", LOG_ERROR, LOG_FORMAT_TEXT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
