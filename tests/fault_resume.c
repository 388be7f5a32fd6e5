/*
 * fault_resume: what a dispatcher and an agent take for granted about their
 * runs after a connection between them was lost, or when a job is sent again
 * under its id. The leased roles run as real processes, with relays between
 * dispatchers and agents.
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
#define JOB "00000000000000ab"
#define RUN_MS 2500
#define ABANDON_MS 400 /* a caller breaks its connection off */
#define POLL_US 5000
#define USABLE "chervilferry_servers_usable"
#define SENT "chervilferry_tasks_sent"

/* ---- The system ---- */

/* Returns the number of the stand-in where the job's task runs. */
static int wait_run(struct leased_system *s)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	for (;;) {
		const struct standin *at = standin_running(s->record, JOB, 0);

		for (int i = 0; at && i < SYSTEM_AGENTS; i++)
			if (s->standins[i] == at)
				return i;
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

static void wait_log(struct leased_system *s, const char *process,
		     const char *text)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	for (;;) {
		g_autofree char *log = NULL;

		assert_true(g_file_get_contents(
			cluster_proc(s->cluster, process)->log, &log, NULL,
			NULL));
		if (strstr(log, text))
			return;
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

/* ---- Callers ---- */

struct caller {
	struct leased_system *system;
	int dispatcher;
	int64_t wait_ms;
	GThread *thread;
	uint32_t status;
};

static gpointer run_caller(gpointer arg)
{
	struct caller *c = arg;

	c->status = leased_system_submit_within(c->system, c->dispatcher, ROUTE,
						JOB, RUN_MS, c->wait_ms);
	return NULL;
}

static void start_caller(struct caller *c, struct leased_system *s,
			 int dispatcher, int64_t wait_ms)
{
	*c = (struct caller){ .system = s,
			      .dispatcher = dispatcher,
			      .wait_ms = wait_ms };
	c->thread = g_thread_new("caller", run_caller, c);
}

static uint32_t join_caller(struct caller *c)
{
	g_thread_join(c->thread);
	return c->status;
}

/* ---- Tests ---- */

/* Guards against two runs of a task at a time: after a reconnect, an agent
 * reported the result of an earlier try of the job for a run that went on. */
static void test_a_retry_gets_no_result_of_an_earlier_try(void **state)
{
	struct leased_system *s = leased_routes_begin(ROUTE);
	struct caller first, second;
	int refusing, other;

	(void)state;
	leased_system_crash_server(s, 2);
	leased_routes_wait_metric(s, "d1", USABLE, 2);
	standin_refuse_starts(s->record, 1);
	start_caller(&first, s, 0, ABANDON_MS);
	other = wait_run(s);
	refusing = 1 - other;
	assert_int_equal(join_caller(&first), SYSTEM_NO_ANSWER);
	wait_log(s, "d1", "event=run_settled job=" JOB " index=0 number=2");
	leased_system_crash_server(s, other);
	leased_routes_wait_metric(s, "d1", USABLE, 1);
	start_caller(&second, s, 0, SYSTEM_DEADLINE_MS);
	assert_int_equal(wait_run(s), refusing);
	leased_system_start_server(s, 2);
	leased_routes_wait_metric(s, "d1", USABLE, 2);
	relay_reset_open(s->agent_relays[refusing]);
	assert_int_equal(join_caller(&second), 200);
	assert_int_equal(standin_overlapping_runs(s->record), 0);
	assert_int_equal(standin_runs_of(s->record, JOB), 2);
	leased_routes_finish(s);
}

/* Guards against a dispatcher that counts a run for good, and against the end
 * of another one's run: an agent took the runs of two dispatchers for one,
 * because the job and the number were the same. */
static void test_two_dispatchers_submit_one_job(void **state)
{
	struct leased_system *s = leased_routes_begin(ROUTE);
	struct caller first, second;

	(void)state;
	leased_system_crash_server(s, 1);
	leased_system_crash_server(s, 2);
	leased_routes_wait_metric(s, "d1", USABLE, 1);
	leased_routes_wait_metric(s, "d2", USABLE, 1);
	start_caller(&first, s, 0, SYSTEM_DEADLINE_MS);
	wait_run(s);
	start_caller(&second, s, 1, 2 * ABANDON_MS);
	leased_routes_wait_metric(s, "d2", SENT, 1);
	assert_int_equal(join_caller(&second), SYSTEM_NO_ANSWER);
	leased_routes_wait_metric(s, "d2", SENT, 0);
	assert_int_equal(join_caller(&first), 200);
	assert_int_equal(standin_runs_of(s->record, JOB), 1);
	leased_routes_finish(s);
}

/* Guards against runs that a dispatcher counts for good: the result of a run
 * that was being stopped was lost with the connection. */
static void test_a_stopped_run_is_settled_after_a_reconnect(void **state)
{
	struct leased_system *s = leased_routes_begin(ROUTE);
	struct caller caller;
	char agent[16];
	int at;

	(void)state;
	start_caller(&caller, s, 0, 2 * ABANDON_MS);
	at = wait_run(s);
	leased_routes_wait_metric(s, "d1", SENT, 1);
	snprintf(agent, sizeof(agent), "a%d", at + 1);
	relay_blackhole_all(s->agent_relays[at], RELAY_FROM_TARGET);
	assert_int_equal(join_caller(&caller), SYSTEM_NO_ANSWER);
	wait_log(s, agent, "event=run_ended job=" JOB);
	relay_blackhole_all(s->agent_relays[at], RELAY_NONE);
	relay_reset_open(s->agent_relays[at]);
	leased_routes_wait_metric(s, "d1", SENT, 0);
	leased_routes_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(
			test_a_retry_gets_no_result_of_an_earlier_try,
			cluster_teardown),
		cmocka_unit_test_teardown(test_two_dispatchers_submit_one_job,
					  cluster_teardown),
		cmocka_unit_test_teardown(
			test_a_stopped_run_is_settled_after_a_reconnect,
			cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
