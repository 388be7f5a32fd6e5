/*
 * test_server_lease: how long a run may outlive a failed dispatcher or agent,
 * an agent's view of a server's clock, and its backoff after refusals.
 */
#include "base/counters.h"
#include "leased/lease_overruns.h"
#include "leased/leases.h"
#include "leased/server_lease.h"

#include "chervilferry.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

/* A caller submits its job again after this time without an answer. */
#define CALLER_RETRY_MS 1300
#define SLOW_CLOCK_PERCENT 98

/* ---- Leases from dispatcher to run ---- */

/* Returns when the last run of a dispatcher that is lost at 0 has ended, in the
 * worst case: the agent requested its last lease at 0 and renewed the server's
 * lease as late as possible. */
static int64_t run_ends_ms(bool agent_survives, bool stop_received)
{
	struct server_lease server;
	struct cf_lease *dispatcher = cf_lease_create();
	uint64_t seq = cf_lease_request(dispatcher, 0);
	int64_t renewed_ms = 0;
	int64_t lost_ms = 0;

	assert_true(cf_lease_grant(dispatcher, seq, RUN_LEASE_MS, 0, 1));
	server_lease_init(&server, 0);
	server_lease_answered(&server, 1000, 0);
	server_lease_renew(&server, 0);
	while (agent_survives && cf_lease_held(dispatcher, lost_ms))
		lost_ms++;
	if (agent_survives)
		renewed_ms = lost_ms - 1;
	cf_lease_destroy(dispatcher);
	if (agent_survives && stop_received)
		return lost_ms + RUN_STOP_MAX_MS;
	server_lease_renew(&server, renewed_ms);
	return renewed_ms + SERVER_LEASE_MS * 100 / SLOW_CLOCK_PERCENT;
}

static void test_runs_end_before_caller_retries(void **state)
{
	static const struct {
		const char *lost;
		bool agent_survives, stop_received;
	} cases[] = {
		{ "dispatcher killed, agent stops the run", true, true },
		{ "dispatcher cut off, the stop gets no answer", true, false },
		{ "dispatcher and agent lost together", false, false },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int64_t ended_ms = run_ends_ms(cases[i].agent_survives,
					       cases[i].stop_received);

		assert_true(ended_ms < CALLER_RETRY_MS);
		assert_true(ended_ms <= RUN_END_MAX_MS);
	}
	assert_true(RUN_END_MAX_MS < CALLER_RETRY_MS);
}

/* A grant that waited in a socket while the process was suspended renews
 * nothing. */
static void test_a_late_grant_gives_no_lease(void **state)
{
	struct cf_lease *lease = cf_lease_create();
	uint64_t seq = cf_lease_request(lease, 100);

	(void)state;
	assert_false(cf_lease_grant(lease, seq, RUN_LEASE_MS, 0,
				    100 + RUN_LEASE_MS));
	assert_false(cf_lease_held(lease, 100 + RUN_LEASE_MS));
	cf_lease_destroy(lease);
}

/* ---- The server's clock ---- */

static void test_lease_end_follows_the_newest_clock(void **state)
{
	struct server_lease lease;

	(void)state;
	server_lease_init(&lease, 0);
	assert_int_equal(server_lease_renew(&lease, 10), 0);
	server_lease_answered(&lease, 5000, 100);
	assert_int_equal(server_lease_renew(&lease, 110),
			 5010 + SERVER_LEASE_MS);
	assert_false(server_lease_has_expired(&lease, 110 + SERVER_LEASE_MS));
	assert_true(server_lease_has_expired(
		&lease, 110 + SERVER_LEASE_MS + SERVER_CLOCK_SLACK_MS));
	/* With a slow server clock, the newest reading counts although it is
	 * lower than expected. */
	server_lease_answered(&lease, 5080, 200);
	assert_int_equal(server_lease_renew(&lease, 200),
			 5080 + SERVER_LEASE_MS);
	/* A server that was restarted, which isn't known yet: its clock is new.
	 */
	server_lease_answered(&lease, 30, 250);
	assert_int_equal(server_lease_renew(&lease, 250), 30 + SERVER_LEASE_MS);
	server_lease_server_restarted(&lease);
	assert_int_equal(server_lease_renew(&lease, 300), 0);
}

/* A run would go on after its agent reported that the lease ended it. */
static void test_old_clock_gives_no_longer_lease(void **state)
{
	static const int64_t ages_ms[] = { 0, 1, 80, 500, 1000, 1100 };

	(void)state;
	for (size_t i = 0; i < sizeof(ages_ms) / sizeof(ages_ms[0]); i++) {
		struct server_lease lease;
		int64_t clock_ms = 5000 + ages_ms[i] * SLOW_CLOCK_PERCENT / 100;
		int64_t left_ms;

		server_lease_init(&lease, 0);
		server_lease_answered(&lease, 5000, 0);
		left_ms = server_lease_renew(&lease, ages_ms[i]) - clock_ms;
		assert_true(left_ms * 100 / SLOW_CLOCK_PERCENT <=
			    SERVER_LEASE_MS + SERVER_CLOCK_SLACK_MS);
		assert_true(left_ms >= SERVER_LEASE_MS);
		assert_true(server_lease_has_expired(
			&lease,
			ages_ms[i] + SERVER_LEASE_MS + SERVER_CLOCK_SLACK_MS));
	}
}

static void test_unanswered_calls(void **state)
{
	struct server_lease lease;

	(void)state;
	server_lease_init(&lease, 0);
	server_lease_answered(&lease, 1, 1000);
	server_lease_unanswered(&lease, 900); /* sent before the last answer */
	assert_false(server_lease_is_unresponsive(&lease, 2000));
	server_lease_unanswered(&lease, 1100);
	server_lease_unanswered(&lease, 1300);
	assert_false(server_lease_is_unresponsive(&lease, 1399));
	assert_true(server_lease_is_unresponsive(&lease, 1400));
	server_lease_answered(&lease, 500, 1500);
	assert_false(server_lease_is_unresponsive(&lease, 3000));
}

/* ---- Runs that outlive their dispatcher's lease ---- */

/* Nobody would see that the chain of leases is longer than its bound. */
static void test_overruns_are_counted(void **state)
{
	static const struct {
		int64_t outlived_ms, now_ms;
		const char *bucket; /* NULL: not counted */
		bool logged;
		uint32_t n_unlogged;
	} cases[] = {
		{ 0, 0, NULL, false, 0 },
		{ 45, 0, "45", false, 0 },
		{ 46, 0, "90", false, 0 },
		{ RUN_OUTLIVE_MAX_MS, 0, "720", false, 0 },
		{ RUN_OUTLIVE_MAX_MS + 1, 0, "more", true, 0 },
		{ 800, 999, "more", false, 0 },
		{ 900, 1000, "more", true, 1 },
	};
	struct lease_overruns *overruns = lease_overruns_create();

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		g_autofree char *label = g_strdup_printf(
			"up_to_ms=\"%s\"",
			cases[i].bucket ? cases[i].bucket : "45");
		struct counter *bucket =
			counter_get("run_end_after_lease_ms", label, NULL);
		int64_t before = counter_value(bucket);
		uint32_t n_unlogged = 0;

		assert_int_equal(
			lease_overruns_add(overruns, cases[i].outlived_ms,
					   cases[i].now_ms, &n_unlogged),
			cases[i].logged);
		assert_int_equal(n_unlogged, cases[i].n_unlogged);
		assert_int_equal(counter_value(bucket) - before,
				 cases[i].bucket != NULL);
	}
	lease_overruns_destroy(overruns);
}

/* The server may have begun anew since the failed call. */
static void test_renewal_after_failed_calls(void **state)
{
	static const struct {
		int64_t failed_ms, poll_sent_ms;
		bool may_renew;
	} cases[] = {
		{ 0, 100, true },
		{ 200, 0, false },
		{ 200, 199, false },
		{ 200, 200, true },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct server_lease lease;

		server_lease_init(&lease, 0);
		if (cases[i].failed_ms)
			server_lease_call_failed(&lease, cases[i].failed_ms);
		if (cases[i].poll_sent_ms)
			server_lease_poll_answered(&lease,
						   cases[i].poll_sent_ms);
		assert_int_equal(server_lease_may_renew(&lease),
				 cases[i].may_renew);
	}
}

/* ---- After a restart of the agent ---- */

static void test_previous_runs_of_agent(void **state)
{
	struct server_previous_runs previous = { .ends_ms = 1000 };

	(void)state;
	assert_false(server_previous_runs_have_ended(&previous, 999));
	assert_true(server_previous_runs_have_ended(&previous, 1000));
	server_previous_runs_listed(&previous, 2);
	assert_false(server_previous_runs_have_ended(&previous, 500));
	server_previous_runs_listed(&previous, 0);
	assert_true(server_previous_runs_have_ended(&previous, 500));
	server_previous_runs_listed(&previous,
				    1); /* started late; it is stopped */
	assert_true(server_previous_runs_have_ended(&previous, 500));
}

/* ---- Polls ---- */

/* A server that is down refuses connections at once. Without a pause, its
 * agent would open connections without end until the server counts as
 * unresponsive. */
static void test_polls_pause_without_answers(void **state)
{
	static const struct {
		const char *what;
		bool idle;
		int64_t unanswered_ms; /* time of the first such call; 0: none
					*/
		int64_t now_ms, interval_ms;
	} cases[] = {
		{ "with runs", false, 0, 1000, 0 },
		{ "without runs", true, 0, 1000, 1000 },
		{ "one call unanswered", false, 990, 1000, 20 },
		{ "unresponsive", false, 500, 1000, 150 },
		{ "unresponsive without runs", true, 500, 1000, 150 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct server_lease lease;

		server_lease_init(&lease, 0);
		if (cases[i].unanswered_ms)
			server_lease_unanswered(&lease, cases[i].unanswered_ms);
		assert_int_equal(server_lease_poll_interval_ms(&lease,
							       cases[i].idle,
							       cases[i].now_ms),
				 cases[i].interval_ms);
	}
}

/* ---- Backoff after refused starts ---- */

static void test_backoff_after_refusals(void **state)
{
	static const struct {
		uint32_t consecutive;
		int64_t pause_ms;
	} cases[] = {
		{ 1, 10 }, { 2, 20 }, { 5, 160 }, { 6, 320 }, { 9, 320 }
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct server_backoff backoff = { 0 };

		assert_true(server_backoff_has_elapsed(&backoff, 0));
		for (uint32_t n = 0; n < cases[i].consecutive; n++)
			server_backoff_increase(&backoff, 100);
		assert_false(server_backoff_has_elapsed(
			&backoff, 99 + cases[i].pause_ms));
		assert_true(server_backoff_has_elapsed(
			&backoff, 100 + cases[i].pause_ms));
		server_backoff_reset(&backoff);
		assert_true(server_backoff_has_elapsed(&backoff, 100));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_runs_end_before_caller_retries),
		cmocka_unit_test(test_a_late_grant_gives_no_lease),
		cmocka_unit_test(test_lease_end_follows_the_newest_clock),
		cmocka_unit_test(test_old_clock_gives_no_longer_lease),
		cmocka_unit_test(test_unanswered_calls),
		cmocka_unit_test(test_overruns_are_counted),
		cmocka_unit_test(test_renewal_after_failed_calls),
		cmocka_unit_test(test_previous_runs_of_agent),
		cmocka_unit_test(test_polls_pause_without_answers),
		cmocka_unit_test(test_backoff_after_refusals),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
