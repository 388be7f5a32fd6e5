/*
 * fault_leased_cancel: a cancel that reaches another dispatcher than that of
 * the job. Guards against one that is acknowledged while the job goes on
 * (review/4): each dispatcher answered 410 for jobs that it didn't have itself.
 * The leased roles run as real processes.
 */
#include "support/leased_routes.h"

#include "base/clock.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define ROUTE "r"
#define JOB "00000000000000cd"
#define RUN_MS 6000
#define BLOCKER_MS 3000
#define BLOCKERS 11 /* fill one server */
/* Bounds of the callers: from the acknowledgement to the last start, and to
 * the end of all runs. */
#define CANCEL_MS 3000
#define STOP_MS 50
/* The job's caller is answered at once; without a cancel after RUN_MS. */
#define AT_ONCE_MS 3000
#define REPEATS 20
#define POLL_US 5000
#define USABLE "chervilferry_servers_usable"
#define SENT "chervilferry_tasks_sent"
#define WAITING "chervilferry_tasks_waiting"
#define PASSED_ON "chervilferry_cancels_passed_on_total"
#define RELAYED "chervilferry_cancels_relayed_total"
#define KNOWN "chervilferry_dispatchers_known"
#define NEW_PORT 28000
#define UNREACHABLE "127.0.0.1:1"
#define OPEN "chervilferry_cancels_open"

/* ---- The system ---- */

static bool is_running(struct leased_system *s)
{
	return standin_running(s->record, JOB, 0) != NULL;
}

static void wait_run(struct leased_system *s)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	while (!is_running(s)) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

/* Nothing of the job runs later than the callers allow, and nothing is started
 * from then on until its runs would have ended. */
static void expect_stopped(struct leased_system *s, int64_t acked_ms)
{
	uint32_t runs;

	while (is_running(s)) {
		assert_true(clock_now_ms() <= acked_ms + CANCEL_MS + STOP_MS);
		g_usleep(POLL_US);
	}
	while (clock_now_ms() < acked_ms + CANCEL_MS)
		g_usleep(POLL_US);
	runs = standin_runs_of(s->record, JOB);
	while (clock_now_ms() < acked_ms + RUN_MS) {
		assert_int_equal(standin_runs_of(s->record, JOB), runs);
		g_usleep(POLL_US);
	}
	assert_false(is_running(s));
}

/* ---- Callers ---- */

struct caller {
	struct leased_system *system;
	const char *id;
	uint32_t run_ms;
	GThread *thread;
	uint32_t status;
	int64_t answered_ms;
};

static gpointer run_caller(gpointer arg)
{
	struct caller *c = arg;

	c->status = leased_system_submit_named(c->system, 0, ROUTE, c->id,
					       c->run_ms);
	c->answered_ms = clock_now_ms();
	return NULL;
}

static void start_caller(struct caller *c, struct leased_system *s,
			 const char *id, uint32_t run_ms)
{
	*c = (struct caller){ .system = s, .id = id, .run_ms = run_ms };
	c->thread = g_thread_new("caller", run_caller, c);
}

static void expect_answer(struct caller *c, uint32_t status, int64_t acked_ms)
{
	g_thread_join(c->thread);
	assert_int_equal(c->status, status);
	assert_true(c->answered_ms <= acked_ms + AT_ONCE_MS);
}

static uint32_t cancel(struct leased_system *s, int dispatcher)
{
	return leased_system_cancel_named(s, dispatcher, ROUTE, JOB);
}

/* Sends it again until it is acknowledged, as callers do. */
static int64_t cancel_until_acked(struct leased_system *s, int dispatcher)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;
	uint32_t status = cancel(s, dispatcher);

	for (; status != 200 && status != 410; status = cancel(s, dispatcher)) {
		assert_int_equal(status, 503);
		assert_true(clock_now_ms() < end_ms);
	}
	return clock_now_ms();
}

/* ---- Tests ---- */

/* Guards against an acknowledged job that runs on and is started again. */
static void test_a_running_job(void **state)
{
	struct leased_system *s = leased_routes_begin(ROUTE);
	struct caller caller;
	int64_t acked_ms;

	(void)state;
	start_caller(&caller, s, JOB, RUN_MS);
	wait_run(s);
	assert_int_equal(cancel(s, 1), 200);
	acked_ms = clock_now_ms();
	expect_answer(&caller, 504, acked_ms);
	assert_int_equal(cancel(s, 1), 410);
	assert_int_equal(cancel(s, 0), 410);
	expect_stopped(s, acked_ms);
	assert_int_equal(standin_runs_of(s->record, JOB), 1);
	leased_routes_wait_metric(s, "d1", SENT, 0);
	leased_routes_finish(s);
}

/* Guards against an acknowledged job that is started once capacity comes free:
 * no agent has a run of it. */
static void test_a_job_that_waits(void **state)
{
	struct leased_system *s = leased_routes_begin(ROUTE);
	struct caller blockers[BLOCKERS], caller;
	int64_t acked_ms;

	(void)state;
	leased_system_crash_server(s, 1);
	leased_system_crash_server(s, 2);
	leased_routes_wait_metric(s, "d1", USABLE, 1);
	for (int i = 0; i < BLOCKERS; i++) {
		char *id = g_strdup_printf("0000000000000e%02d", i);

		start_caller(&blockers[i], s, id, BLOCKER_MS);
	}
	leased_routes_wait_metric(s, "d1", SENT, BLOCKERS);
	start_caller(&caller, s, JOB, 1);
	leased_routes_wait_metric(s, "d1", WAITING, 1);
	assert_int_equal(cancel(s, 1), 200);
	acked_ms = clock_now_ms();
	expect_answer(&caller, 429, acked_ms);
	for (int i = 0; i < BLOCKERS; i++) {
		g_thread_join(blockers[i].thread);
		assert_int_equal(blockers[i].status, 200);
		g_free((char *)(uintptr_t)blockers[i].id);
	}
	expect_stopped(s, acked_ms);
	assert_int_equal(standin_runs_of(s->record, JOB), 0);
	leased_routes_finish(s);
}

/* Guards against cancels that cost more with each repetition, and against a
 * job that is refused, or cancelled late, because it was cancelled before. */
static void test_a_job_that_nobody_has(void **state)
{
	struct leased_system *s = leased_routes_begin(ROUTE);

	(void)state;
	for (int i = 0; i < REPEATS; i++)
		assert_int_equal(cancel(s, i % SYSTEM_DISPATCHERS), 410);
	for (int i = 1; i <= SYSTEM_DISPATCHERS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "d%d", i);
		leased_routes_wait_metric(s, name, OPEN, 0);
		assert_int_equal(cluster_metric(s->cluster, name, PASSED_ON),
				 REPEATS / SYSTEM_DISPATCHERS);
	}
	assert_int_equal(leased_system_submit_named(s, 0, ROUTE, JOB, 1), 200);
	leased_routes_finish(s);
}

/* Guards against a job that goes on when its dispatcher is cut off from the
 * agents, over which it can't be stopped. */
static void test_connections_of_its_dispatcher_are_cut(void **state)
{
	struct leased_system *s = leased_routes_begin(ROUTE);
	struct caller caller;
	int64_t acked_ms;

	(void)state;
	start_caller(&caller, s, JOB, RUN_MS);
	wait_run(s);
	for (int i = 0; i < SYSTEM_AGENTS; i++)
		relay_blackhole_caller(s->agent_relays[i], "d1", RELAY_BOTH);
	assert_int_equal(cancel(s, 1), 200);
	acked_ms = clock_now_ms();
	expect_answer(&caller, 504, acked_ms);
	while (is_running(s))
		g_usleep(POLL_US);
	for (int i = 0; i < SYSTEM_AGENTS; i++) {
		relay_blackhole_caller(s->agent_relays[i], "d1", RELAY_NONE);
		relay_reset_open(s->agent_relays[i]);
	}
	expect_stopped(s, acked_ms);
	assert_int_equal(standin_runs_of(s->record, JOB), 1);
	leased_routes_wait_metric(s, "d1", SENT, 0);
	leased_routes_finish(s);
}

/* Guards against cancels that don't arrive where dispatchers reach agents but
 * not each other. */
static void test_dispatchers_cannot_reach_each_other(void **state)
{
	struct leased_system *s = leased_routes_begin(ROUTE);
	struct proc *d1 = cluster_proc(s->cluster, "d1");
	char address[40];
	struct caller caller;
	int64_t acked_ms;

	(void)state;
	proc_stop(d1);
	snprintf(address, sizeof(address), "%s:%d", s->cluster->ip, NEW_PORT);
	proc_set(d1, "--listen", address);
	proc_add(d1, "--advertise", UNREACHABLE);
	proc_start(s->cluster, d1);
	cluster_wait_ready(s->cluster, "d1", SYSTEM_WAIT_MS);
	leased_routes_wait_metric(s, "d1", USABLE, SYSTEM_AGENTS);
	/* The address of before is known for a while. */
	leased_routes_wait_metric(s, "d2", KNOWN, 2);
	start_caller(&caller, s, JOB, RUN_MS);
	wait_run(s);
	acked_ms = cancel_until_acked(s, 1);
	expect_answer(&caller, 504, acked_ms);
	expect_stopped(s, acked_ms);
	assert_int_equal(standin_runs_of(s->record, JOB), 1);
	assert_true(cluster_metric(s->cluster, "d2", RELAYED) > 0);
	leased_routes_finish(s);
}

/* Guards against an acknowledgement while a dispatcher that doesn't answer may
 * go on with the job. */
static void test_its_dispatcher_is_frozen(void **state)
{
	struct leased_system *s = leased_routes_begin(ROUTE);
	struct caller caller;
	int64_t thawed_ms;

	(void)state;
	start_caller(&caller, s, JOB, RUN_MS);
	wait_run(s);
	proc_freeze(cluster_proc(s->cluster, "d1"));
	cancel_until_acked(s, 1);
	while (is_running(s))
		g_usleep(POLL_US);
	proc_thaw(cluster_proc(s->cluster, "d1"));
	thawed_ms = clock_now_ms();
	expect_answer(&caller, 504, thawed_ms);
	expect_stopped(s, thawed_ms);
	leased_routes_wait_metric(s, "d2", OPEN, 0);
	leased_routes_finish(s);
}

/* Guards against cancels that are never acknowledged because a dispatcher was
 * lost. */
static void test_its_dispatcher_is_killed(void **state)
{
	struct leased_system *s = leased_routes_begin(ROUTE);
	struct caller caller;
	int64_t acked_ms;

	(void)state;
	start_caller(&caller, s, JOB, RUN_MS);
	wait_run(s);
	proc_kill(cluster_proc(s->cluster, "d1"));
	acked_ms = cancel_until_acked(s, 1);
	g_thread_join(caller.thread);
	expect_stopped(s, acked_ms);
	assert_int_equal(standin_runs_of(s->record, JOB), 1);
	proc_start(s->cluster, cluster_proc(s->cluster, "d1"));
	cluster_wait_ready(s->cluster, "d1", SYSTEM_WAIT_MS);
	leased_routes_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_a_running_job, cluster_teardown),
		cmocka_unit_test_teardown(test_a_job_that_waits,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_a_job_that_nobody_has,
					  cluster_teardown),
		cmocka_unit_test_teardown(
			test_connections_of_its_dispatcher_are_cut,
			cluster_teardown),
		cmocka_unit_test_teardown(
			test_dispatchers_cannot_reach_each_other,
			cluster_teardown),
		cmocka_unit_test_teardown(test_its_dispatcher_is_frozen,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_its_dispatcher_is_killed,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
