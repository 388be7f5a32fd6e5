/*
 * fault_untrue_refusals: a job that runs is sent again to its dispatcher, which
 * is stopping. Real processes.
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
#define POLL_US 1000
#define STATUS_NOT_RUN 429
#define STATUS_UNREADY 503

/* ---- Callers ---- */

struct caller {
	struct leased_system *system;
	GThread *thread;
	uint32_t status;
	char *answer;
};

static const char job_id[] = "00000000000000dd";

static gpointer submit(gpointer arg)
{
	struct caller *c = arg;

	c->status = leased_system_submit_one(c->system, 0, job_id, RUN_MS,
					     SYSTEM_DEADLINE_MS, &c->answer);
	return NULL;
}

static void caller_begin(struct caller *c, struct leased_system *s)
{
	*c = (struct caller){ .system = s };
	c->thread = g_thread_new("caller", submit, c);
}

/* Submits the job and waits until a server runs it. */
static void begin_running(struct caller *c, struct leased_system *s)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	caller_begin(c, s);
	while (!standin_runs(s->record)) {
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
	begin_running(&first, s);
	proc_terminate(cluster_proc(s->cluster, "d1"));
	g_usleep(100 * POLL_US);
	caller_begin(&again, s);
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(
			test_a_running_job_is_not_refused_by_a_stopping_dispatcher,
			cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
