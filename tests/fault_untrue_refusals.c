/*
 * fault_untrue_refusals: jobs run at a dispatcher that is stopping. They are
 * sent again, or it is frozen meanwhile. Real processes.
 */
#include "support/leased_system.h"

#include "base/clock.h"
#include "platform/standin.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define RUN_MS 3500
#define LONG_RUN_MS 7000 /* it goes on when jobs are aborted */
#define DEADLINE_MS 30000 /* a stopped task could run again */
#define POLL_US 1000
#define STATUS_NOT_RUN 429
#define STATUS_UNREADY 503

/* ---- Callers ---- */

struct caller {
	struct leased_system *system;
	char job_id[20];
	uint32_t run_ms;
	GThread *thread;
	uint32_t status;
	char *answer;
};

static gpointer submit(gpointer arg)
{
	struct caller *c = arg;

	c->status = leased_system_submit_one(c->system, 0, c->job_id, c->run_ms,
					     DEADLINE_MS, &c->answer);
	return NULL;
}

static void caller_begin(struct caller *c, struct leased_system *s, int job,
			 uint32_t run_ms)
{
	*c = (struct caller){ .system = s, .run_ms = run_ms };
	snprintf(c->job_id, sizeof(c->job_id), "%016x", job);
	c->thread = g_thread_new("caller", submit, c);
}

/* Submits the job and waits until a server runs it. */
static void begin_running(struct caller *c, struct leased_system *s, int job,
			  uint32_t run_ms)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	caller_begin(c, s, job, run_ms);
	while (!standin_runs_of(s->record, c->job_id)) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

/* ---- Tests ---- */

/* Guards against "never runs" (503, 429) for a job that runs at the dispatcher
 * that says so, when that is stopping. */
static void
test_a_running_job_is_not_refused_by_a_stopping_dispatcher(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	struct caller first, again;

	(void)state;
	begin_running(&first, s, 1, RUN_MS);
	proc_terminate(cluster_proc(s->cluster, "d1"));
	g_usleep(100 * POLL_US);
	caller_begin(&again, s, 1, RUN_MS);
	g_thread_join(again.thread);
	g_thread_join(first.thread);
	fprintf(stderr, "count: again=%u %.120s; first=%u %.80s; runs=%u\n",
		again.status, again.answer, first.status, first.answer,
		standin_runs(s->record));
	assert_int_not_equal(again.status, STATUS_UNREADY);
	assert_int_not_equal(again.status, STATUS_NOT_RUN);
	g_free(first.answer);
	g_free(again.answer);
	leased_system_finish(s);
}

static void wait_until(int64_t at_ms)
{
	while (clock_now_ms() < at_ms)
		g_usleep(POLL_US);
}

/* When the dispatcher doesn't run, in ms since it was told to stop, which takes
 * from 5,000 to 5,300 ms to abort its jobs. */
static const struct freeze {
	const char *when;
	int64_t from_ms, to_ms;
} freezes[] = {
	{ "while it accepts connections", 1400, 5450 },
	{ "while it closes them", 2700, 5450 },
	{ "just before it aborts jobs", 4900, 5450 },
};

/* Guards against "never runs" (503, 429) for a job that runs, because the
 * dispatcher was frozen when it should have aborted it (review/11). */
static void test_frozen_while_it_stops(void **state)
{
	struct leased_system *s = leased_system_begin(false);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(freezes); i++) {
		struct proc *d1 = cluster_proc(s->cluster, "d1");
		struct caller caller;
		int64_t told_ms;

		begin_running(&caller, s, (int)i + 1, LONG_RUN_MS);
		told_ms = clock_now_ms();
		proc_terminate(d1);
		wait_until(told_ms + freezes[i].from_ms);
		proc_freeze(d1);
		wait_until(told_ms + freezes[i].to_ms);
		proc_thaw(d1);
		g_thread_join(caller.thread);
		print_message("case: frozen %s: %u %.120s\n", freezes[i].when,
			      caller.status, caller.answer);
		assert_int_not_equal(caller.status, STATUS_UNREADY);
		assert_int_not_equal(caller.status, STATUS_NOT_RUN);
		g_free(caller.answer);
		assert_int_equal(proc_wait(d1, SYSTEM_WAIT_MS), 0);
		proc_start(s->cluster, d1);
		cluster_wait_ready(s->cluster, "d1", SYSTEM_WAIT_MS);
	}
	leased_system_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_frozen_while_it_stops,
					  cluster_teardown),
		cmocka_unit_test_teardown(
			test_a_running_job_is_not_refused_by_a_stopping_dispatcher,
			cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
