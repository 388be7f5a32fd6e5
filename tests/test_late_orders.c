/*
 * test_late_orders: orders that a backend server carries out late, after the
 * server or its agent was restarted or the server's lease has ended. Agents
 * run in this process, against a stand-in that holds calls back.
 */
#include "base/clock.h"
#include "base/counters.h"
#include "leased/leases.h"
#include "leased/server.h"
#include "platform/platform.h"
#include "platform/standin.h"
#include "support/leased_standin.h"
#include "support/loop_until.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define CONNECTIONS_MAX 24
#define UNANSWERED_CALLS_MAX 4
#define RUN_MS 2000
#define DRAIN_MS 400 /* longer than the timeout of any call */
#define NAME "i-1"
#define STARTS (1U << STANDIN_START)
#define STOPS (1U << STANDIN_STOP)
#define POLLS (1U << STANDIN_POLL)
#define HELD_MS 200
#define LIVED_US 500000

struct agent {
	struct loop *loop;
	struct http_client *client;
	struct server *server;
	int64_t drained_ms, held_until_ms;
	uint32_t runs_before; /* the last order */
	int64_t fence_before; /* the restart of the server */
};

static struct standin_record *record;
static struct standin *standin;

/* ---- Set-up ---- */

static int set_up(void **state)
{
	(void)state;
	record = standin_record_create();
	/* Nothing listens at port 1: the tests apply the reports. */
	standin = standin_create(record, NAME, "127.0.0.1:0", "127.0.0.1:1",
				 "127.0.0.1:1");
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	standin_destroy(standin);
	standin_record_destroy(record);
	return 0;
}

static void ignore_change(void *arg, struct server *server)
{
	(void)arg;
	(void)server;
}

static void read_report(struct server_report *report)
{
	g_autofree char *body = standin_report(standin);
	char error_text[128];

	assert_true(platform_read_server_report(NAME, body, strlen(body),
						report, error_text));
	g_snprintf(report->address, sizeof(report->address), "127.0.0.1:%u",
		   standin_port(standin));
}

static bool apply_report(struct agent *a)
{
	struct server_report report;

	read_report(&report);
	return server_apply_report(a->server, &report, clock_now_ms());
}

/* runs_end_ms: when the runs of an earlier agent process have ended. */
static struct agent *agent_begin(int64_t fence_token, int64_t runs_end_ms)
{
	struct agent *a = g_new0(struct agent, 1);
	struct server_options options = { .formats = &platform_formats,
					  .changed = ignore_change,
					  .previous_runs_end_ms = runs_end_ms,
					  .fence_token = fence_token };
	struct server_report report;

	a->loop = loop_create(NULL);
	a->client = http_client_create(a->loop, CONNECTIONS_MAX, NULL);
	http_client_set_timeouts_max(a->client, UNANSWERED_CALLS_MAX);
	options.loop = a->loop;
	options.client = a->client;
	read_report(&report);
	a->server = server_create(&options, &report, clock_now_ms());
	return a;
}

/* ---- Conditions; each check also does the agent's periodic work ---- */

static struct run_table *process(struct agent *a)
{
	server_process(a->server, clock_now_ms());
	return server_runs(a->server);
}

static bool is_accepting(void *arg)
{
	process(arg);
	return server_accepting(((struct agent *)arg)->server, clock_now_ms());
}

static bool is_idle(void *arg)
{
	return run_table_is_idle(process(arg));
}

static bool start_is_held(void *arg)
{
	process(arg);
	return standin_held(standin) > 0;
}

static bool is_running(void *arg)
{
	process(arg);
	return standin_runs(record) > ((struct agent *)arg)->runs_before;
}

static bool is_fenced(void *arg)
{
	process(arg);
	return standin_fence(standin) > ((struct agent *)arg)->fence_before;
}

static bool is_reported(void *arg)
{
	process(arg);
	return apply_report(arg);
}

static bool is_time_over(void *arg)
{
	process(arg);
	return clock_now_ms() >= ((struct agent *)arg)->held_until_ms;
}

static bool is_drained(void *arg)
{
	struct agent *a = arg;

	return is_idle(a) && clock_now_ms() >= a->drained_ms;
}

static void wait_until(struct agent *a, bool (*condition)(void *arg))
{
	assert_true(loop_until(a->loop, condition, a));
}

/* No call may be in flight when a server is destroyed. */
static void agent_end(struct agent *a)
{
	run_table_stop_others(server_runs(a->server), 0, NULL, 0);
	wait_until(a, is_idle);
	server_mark_left(a->server);
	a->drained_ms = clock_now_ms() + DRAIN_MS;
	wait_until(a, is_drained);
	http_client_destroy(a->client);
	server_destroy(a->server);
	loop_destroy(a->loop);
	g_free(a);
}

static void order(struct agent *a, const char *job)
{
	g_autofree char *text = g_strdup_printf("%d", RUN_MS);
	struct run_request run = { .cpu_milli = 100,
				   .memory_mb = 1,
				   .target_start_ms = clock_now_ms(),
				   .deadline_ms = clock_now_ms() + 10000,
				   .lease_end_ms = clock_now_ms() + 10000 };

	a->runs_before = standin_runs(record);
	g_strlcpy(run.name.job, job, sizeof(run.name.job));
	run.name.number = 1;
	run.spec = g_bytes_new(text, strlen(text));
	run_table_enqueue(server_runs(a->server), &run, clock_now_ms());
	g_bytes_unref(run.spec);
}

/* ---- Orders carried out late ---- */

/* The agent gives a run up, so that it may be started elsewhere, and then the
 * server begins anew: the old start must not run in the new incarnation. */
static void test_start_outlives_server_incarnation(void **state)
{
	static const struct {
		bool is_reported;
		int64_t clock_step_ms; /* of the start time */
	} cases[] = {
		{ true, 5000 }, { false, 5000 }, { true, -5000 }, { true, 0 }
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct agent *a = agent_begin(1000 * ((int64_t)i + 1), 0);

		wait_until(a, is_accepting);
		standin_hold(standin, STARTS);
		order(a, "00000000000000a0");
		wait_until(a, start_is_held);
		wait_until(a, is_idle);
		a->fence_before = standin_fence(standin);
		standin_restart_born(standin, standin_born_ms(standin) +
						      cases[i].clock_step_ms);
		if (cases[i].is_reported)
			apply_report(a);
		wait_until(a, is_fenced);
		standin_release(standin);
		assert_int_equal(standin_runs(record), 0);
		agent_end(a);
	}
}

/* The restarted agent doesn't know the orders of the process before it. Its
 * clock may have been set back in between. */
static void test_start_outlives_agent_process(void **state)
{
	static const int64_t clock_steps_ms[] = { 500, -5000, -86400000 };
	int64_t started_ms = clock_wall_ms();

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(clock_steps_ms); i++) {
		struct agent *before = agent_begin(started_ms, 0), *after;

		wait_until(before, is_accepting);
		standin_hold(standin, STARTS);
		order(before, "00000000000000b0");
		wait_until(before, start_is_held);
		after = agent_begin(started_ms + clock_steps_ms[i],
				    clock_now_ms() + SERVER_LEASE_MS);
		wait_until(after, is_accepting);
		standin_release(standin);
		assert_int_equal(standin_runs(record), 0);
		agent_end(after);
		agent_end(before);
		standin_restart(standin);
	}
}

/* A server may judge a late start by the lease that was renewed meanwhile. */
static void test_start_outlives_server_lease(void **state)
{
	struct agent *a = agent_begin(1000, 0);

	(void)state;
	standin_use_renewed_lease(standin);
	wait_until(a, is_accepting);
	standin_hold(standin, STARTS | STOPS);
	order(a, "00000000000000c0");
	wait_until(a, is_idle);
	assert_true(standin_held(standin) > 1);
	standin_hold(standin, 0);
	wait_until(a, is_accepting);
	order(a, "00000000000000c1");
	wait_until(a, is_running);
	standin_release(standin);
	assert_int_equal(standin_runs_of(record, "00000000000000c0"), 0);
	run_table_stop(
		server_runs(a->server), 0,
		&(struct run_name){ .job = "00000000000000c1", .number = 1 });
	agent_end(a);
}

/* If a start went out before the server has accepted the new token, earlier
 * ones could still be carried out after it. */
static void test_no_start_before_the_token_is_accepted(void **state)
{
	struct agent *a = agent_begin(1000, 0);

	(void)state;
	wait_until(a, is_accepting);
	standin_hold(standin, POLLS);
	standin_restart(standin);
	apply_report(a);
	a->held_until_ms = clock_now_ms() + HELD_MS;
	order(a, "00000000000000f0");
	wait_until(a, is_time_over);
	assert_int_equal(standin_runs(record), 0);
	standin_release(standin);
	wait_until(a, is_accepting);
	order(a, "00000000000000f1");
	wait_until(a, is_running);
	agent_end(a);
}

/* What an earlier agent process has left running must be stopped and counted;
 * the later process has never known it. */
static void test_unknown_runs_are_stopped(void **state)
{
	struct counter *stopped =
		counter_get("unknown_runs_stopped_total", NULL, NULL);
	struct agent *before = agent_begin(1000, 0), *after;
	int64_t stopped_before = counter_value(stopped);

	(void)state;
	wait_until(before, is_accepting);
	order(before, "00000000000000e0");
	wait_until(before, is_running);
	after = agent_begin(2000, clock_now_ms() + 10000);
	wait_until(after, is_accepting);
	assert_true(counter_value(stopped) > stopped_before);
	agent_end(after);
	agent_end(before);
}

/* ---- Incarnations --------------------------------------------------- */

/* If the host's clock was set back before the server began anew, the agent
 * ignored all that the new incarnation reported, and its runs never ended. */
static void test_incarnation_with_another_start_time(void **state)
{
	static const int64_t clock_steps_ms[] = { -5000, 5000, 0, -100 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(clock_steps_ms); i++) {
		struct agent *a = agent_begin(1000 + 100000 * (int64_t)i, 0);
		int64_t born_ms = standin_born_ms(standin) + clock_steps_ms[i];
		g_autofree char *job = g_strdup_printf("%016zx", i);
		struct server_report late;

		wait_until(a, is_accepting);
		order(a, job);
		wait_until(a, is_running);
		assert_true(apply_report(a));
		read_report(&late);
		standin_restart_born(standin, born_ms);
		wait_until(a, is_reported);
		wait_until(a, is_idle);
		wait_until(a, is_accepting);
		for (int n = 0; n < 3; n++) {
			assert_false(server_apply_report(a->server, &late,
							 clock_now_ms()));
			wait_until(a, is_accepting);
		}
		assert_int_equal(server_last_report(a->server)->start_time_ms,
				 born_ms);
		agent_end(a);
	}
}

/* A renewal that is computed from the clock of the incarnation before gives the
 * new one a lease far longer than its agent knows. */
static void test_renewal_reaches_the_next_incarnation(void **state)
{
	struct agent *a = agent_begin(1000, 0);

	(void)state;
	g_usleep(LIVED_US);
	wait_until(a, is_accepting);
	order(a, "00000000000000ab");
	wait_until(a, is_running);
	standin_hold(standin, POLLS);
	a->held_until_ms = clock_now_ms() + HELD_MS;
	wait_until(a, is_time_over);
	a->fence_before = standin_fence(standin);
	standin_restart(standin);
	standin_hold(standin, 0);
	wait_until(a, is_fenced);
	assert_true(standin_lease_end_ms(standin) <=
		    clock_now_ms() + SERVER_LEASE_MS);
	agent_end(a);
}

/* Polls of the old address can't show an incarnation that listens elsewhere. */
static void test_incarnation_at_another_address(void **state)
{
	struct agent *a = agent_begin(1000, 0);
	int64_t born_ms = standin_born_ms(standin) - 5000;

	(void)state;
	wait_until(a, is_accepting);
	standin_destroy(standin);
	standin = standin_create(record, NAME, "127.0.0.1:0", "127.0.0.1:1",
				 "127.0.0.1:1");
	standin_restart_born(standin, born_ms);
	wait_until(a, is_reported);
	wait_until(a, is_accepting);
	assert_int_equal(server_last_report(a->server)->start_time_ms, born_ms);
	agent_end(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_start_outlives_server_incarnation, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_start_outlives_agent_process, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_start_outlives_server_lease, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_no_start_before_the_token_is_accepted, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(test_unknown_runs_are_stopped,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_incarnation_with_another_start_time, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_incarnation_at_another_address, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_renewal_reaches_the_next_incarnation, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
