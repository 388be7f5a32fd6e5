/*
 * test_server_crash: which signs show that a backend server has crashed, which
 * runs are lost with it, and what an agent does until then. The last tests run
 * a server client against a simulated backend server on a socket.
 */
#include "base/clock.h"
#include "leased/server.h"
#include "leased/server_crash.h"
#include "platform/platform.h"
#include "support/leased_standin.h"
#include "support/loop_until.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#define CRASHED_MS 50
#define SHOWN_MS 60

/* ---- Evidence ------------------------------------------------------- */

/* Guards against silence, late reports or an answer since taken for a crash. */
static void test_evidence(void **state)
{
	static const struct http_answer refused = {
		.result = HTTP_NOT_CONNECTED, .refused = true
	};
	static const struct http_answer not_connected = {
		.result = HTTP_NOT_CONNECTED
	};
	static const struct http_answer timed_out = { .result =
							      HTTP_TIMED_OUT };
	static const struct http_answer broken = { .result = HTTP_BROKEN };
	static const struct http_answer ok = { .result = HTTP_OK };
	static const struct {
		const struct http_answer *calls[4]; /* at 10, 20, ... ms */
		enum server_crash_evidence evidence;
		int64_t failed_ms;
		int64_t timed_out_ms;
	} cases[] = {
		{ { &timed_out, &not_connected, &timed_out },
		  SERVER_CRASH_NONE,
		  10,
		  30 },
		{ { &not_connected, &ok }, SERVER_CRASH_NONE, 0, 10 },
		{ { &broken, &broken }, SERVER_CRASH_NONE, 10, 0 },
		{ { &refused, &refused }, SERVER_CRASH_REFUSED, 10, 0 },
		{ { &broken, &refused }, SERVER_CRASH_REFUSED, 10, 0 },
		{ { &timed_out, &broken, &refused },
		  SERVER_CRASH_REFUSED,
		  20,
		  10 },
		{ { &refused, &ok, &timed_out }, SERVER_CRASH_NONE, 30, 30 },
		{ { &refused, &ok }, SERVER_CRASH_NONE, 0, 0 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct server_crash crash = { 0 };

		for (int k = 0; k < 4 && cases[i].calls[k]; k++)
			if (cases[i].calls[k] == &ok)
				server_crash_answered(&crash);
			else
				server_crash_call_failed(
					&crash, cases[i].calls[k], 10 + k * 10);
		if (server_crash_get(&crash) != cases[i].evidence ||
		    crash.failed_ms != cases[i].failed_ms ||
		    crash.timed_out_ms != cases[i].timed_out_ms)
			fail_msg("case %zu: evidence %d, failed at %d, timed "
				 "out at %d",
				 i, server_crash_get(&crash),
				 (int)crash.failed_ms, (int)crash.timed_out_ms);
	}
}

/* Guards against a late report of a predecessor taken for a replacement. */
static void test_replacement(void **state)
{
	static const struct server_report server = { .name = "s2",
						     .address = "h:1",
						     .start_time_ms = 100 };
	static const struct {
		struct server_report other;
		bool replaces;
	} cases[] = {
		{ { .name = "s3", .address = "h:1", .start_time_ms = 200 },
		  true },
		{ { .name = "s1", .address = "h:1", .start_time_ms = 50 },
		  false },
		{ { .name = "s3", .address = "h:2", .start_time_ms = 200 },
		  false },
		{ { .name = "s2", .address = "h:1", .start_time_ms = 200 },
		  false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct server_crash crash = { 0 };

		server_crash_check_report(&crash, &server, &cases[i].other, 9);
		if (server_crash_get(&crash) != (cases[i].replaces
							 ? SERVER_CRASH_REPLACED
							 : SERVER_CRASH_NONE))
			fail_msg("case %zu", i);
	}
}

/* ---- Runs ----------------------------------------------------------- */

struct run_case {
	const char *name;
	bool queued; /* no start was sent */
	bool start_open; /* its call may turn out not to have been sent */
	int64_t sent_ms, accepted_ms; /* accepted_ms 0: no answer */
	bool stop_acked; /* before the crash */
	bool ordered_stop; /* without an answer */
	bool draining, has_left, no_evidence;
	bool answers; /* after the refused connection */
	int64_t listed_ms; /* as running; 0: never */
	int64_t timed_out_ms; /* a call of before; 0: none */
	bool restarted; /* the evidence: a new incarnation reports */
	int64_t shown_ms; /* when the crash showed; 0: SHOWN_MS */
	enum run_outcome outcome;
	uint32_t run_ms;
	enum loss_doubt doubt;
};

static const struct run_case run_cases[] = {
	{ "running", .sent_ms = 2, .accepted_ms = 20,
	  .outcome = RUN_OUTCOME_LOST, .run_ms = CRASHED_MS - 20,
	  .doubt = LOSS_CONFIRMED },
	{ "running, and listed", .sent_ms = 2, .accepted_ms = 20,
	  .listed_ms = 40, .shown_ms = 240, .outcome = RUN_OUTCOME_LOST,
	  .run_ms = CRASHED_MS - 20, .doubt = LOSS_CONFIRMED },
	{ "not seen in the last moments", .sent_ms = 2, .accepted_ms = 20,
	  .listed_ms = 40, .shown_ms = 241, .outcome = RUN_OUTCOME_LOST,
	  .run_ms = CRASHED_MS - 20, .doubt = LOSS_NOT_SEEN },
	{ "calls were not answered lately", .sent_ms = 2, .accepted_ms = 20,
	  .timed_out_ms = 5, .outcome = RUN_OUTCOME_LOST,
	  .run_ms = CRASHED_MS - 20, .doubt = LOSS_CALLS_UNANSWERED },
	{ "the next incarnation may have answered its start", .sent_ms = 2,
	  .accepted_ms = 20, .restarted = true, .outcome = RUN_OUTCOME_LOST,
	  .run_ms = CRASHED_MS - 20, .doubt = LOSS_NOT_LISTED },
	{ "listed before the next incarnation came", .sent_ms = 2,
	  .accepted_ms = 20, .listed_ms = 40, .restarted = true,
	  .outcome = RUN_OUTCOME_LOST, .run_ms = CRASHED_MS - 20,
	  .doubt = LOSS_CONFIRMED },
	{ "no answer to its start", .sent_ms = 2, .outcome = RUN_OUTCOME_LOST,
	  .run_ms = CRASHED_MS - 2, .doubt = LOSS_START_UNANSWERED },
	{ "its start call is open", .start_open = true, .sent_ms = 2,
	  .outcome = RUN_OUTCOME_STOPPED },
	{ "ordered to stop, which the server did not hear", .sent_ms = 2,
	  .accepted_ms = 20, .ordered_stop = true, .outcome = RUN_OUTCOME_LOST,
	  .run_ms = CRASHED_MS - 20, .doubt = LOSS_STOP_SENT },
	{ "stopped before", .sent_ms = 2, .accepted_ms = 20, .stop_acked = true,
	  .outcome = RUN_OUTCOME_STOPPED, .run_ms = 700 - 20 },
	{ "sent after the crash", .sent_ms = CRASHED_MS + 1,
	  .outcome = RUN_OUTCOME_STOPPED },
	{ "queued", .queued = true, .outcome = RUN_OUTCOME_NOT_STARTED },
	{ "the server drains", .sent_ms = 2, .accepted_ms = 20,
	  .draining = true, .outcome = RUN_OUTCOME_STOPPED,
	  .run_ms = 700 - 20 },
	{ "the server left", .sent_ms = 2, .accepted_ms = 20, .has_left = true,
	  .outcome = RUN_OUTCOME_STOPPED, .run_ms = 700 - 20 },
	{ "the server answers again", .sent_ms = 2, .accepted_ms = 20,
	  .answers = true, .outcome = RUN_OUTCOME_STOPPED, .run_ms = 700 - 20 },
	{ "the server is only silent", .sent_ms = 2, .accepted_ms = 20,
	  .no_evidence = true, .outcome = RUN_OUTCOME_STOPPED,
	  .run_ms = 700 - 20 },
};

static void list_running(struct run_table *table, const struct run_name *name,
			 int64_t sent_ms, int64_t now_ms)
{
	struct run_lists lists = {
		.running = g_array_new(FALSE, TRUE, sizeof(struct run_name)),
		.ended = g_array_new(FALSE, TRUE, sizeof(struct listed_run_end))
	};
	g_autoptr(GArray)
		unknown_runs = g_array_new(FALSE, FALSE, sizeof(*name));

	g_array_append_val(lists.running, *name);
	run_table_apply_lists(table, &lists, sent_ms, now_ms, unknown_runs);
	run_lists_clear(&lists);
}

static void prepare_run(struct run_table *table, const struct run_name *name,
			const struct run_case *c)
{
	struct run_request request = { .name = *name,
				       .spec = g_bytes_new("x", 1),
				       .cpu_milli = 1,
				       .memory_mb = 1,
				       .deadline_ms = 1000,
				       .lease_end_ms = 1000 };
	struct run_name stop;

	run_table_enqueue(table, &request, 1);
	g_bytes_unref(request.spec);
	if (!c->queued)
		assert_non_null(run_table_next_start(table, c->sent_ms));
	if (!c->queued && !c->accepted_ms && !c->start_open)
		run_table_start_unanswered(table, name);
	if (c->accepted_ms)
		run_table_start_answered(table, name, RUN_ACCEPTED,
					 c->accepted_ms);
	if (c->listed_ms)
		list_running(table, name, c->listed_ms, c->listed_ms);
	if (c->stop_acked || c->ordered_stop) {
		run_table_stop(table, 0, name);
		assert_true(run_table_next_stop(table, 30, &stop));
	}
	if (c->stop_acked)
		run_table_stop_acked(table, name, 31);
}

/* Returns a table whose only run was there when its server crashed. */
static struct run_table *lose_run(const struct run_case *c)
{
	struct cf_capacity capacity = { .cpu_milli = 9, .memory_mb = 9 };
	struct run_name name = { .job = "a1", .number = 1 };
	struct run_table *table = run_table_create();
	struct server_crash crash = { .failed_ms = CRASHED_MS,
				      .timed_out_ms = c->timed_out_ms,
				      .has_left = c->has_left,
				      .refused = !c->no_evidence };
	struct server_report report = { .draining = c->draining };

	run_table_set_capacity(table, &capacity);
	prepare_run(table, &name, c);
	server_crash_lose_runs(&crash,
			       c->restarted ? SERVER_CRASH_RESTARTED
					    : server_crash_get(&crash),
			       &report, table,
			       c->shown_ms ? c->shown_ms : SHOWN_MS);
	return table;
}

/* Guards against a crash told as a stop, and a stop told as a crash. */
static void test_runs_lost_with_the_lease(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(run_cases); i++) {
		const struct run_case *c = &run_cases[i];
		struct run_table *table = lose_run(c);
		struct run_result result;

		if (c->answers)
			run_table_not_crashed(table);
		assert_false(run_table_pop_result(table, &result));
		run_table_lease_expired(table, 700);
		assert_true(run_table_pop_result(table, &result));
		if (result.outcome != c->outcome ||
		    result.run_ms != c->run_ms || result.doubt != c->doubt)
			fail_msg("%s: outcome %d after %u ms, doubt %s",
				 c->name, result.outcome, result.run_ms,
				 loss_doubt_name(result.doubt));
		run_table_destroy(table);
	}
}

/* Guards against a class that is contained, and whose jobs are refused, for
 * crashes under runs that may not have begun or had ended. */
static void test_unconfirmed_losses_are_no_evidence(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(run_cases); i++) {
		const struct run_case *c = &run_cases[i];
		struct run_table *table = lose_run(c);
		g_autoptr(GArray) lost = NULL;

		lost = run_table_take_lost(table);
		if (lost->len && c->doubt != LOSS_CONFIRMED && !c->answers)
			fail_msg("%s: %u losses told", c->name, lost->len);
		if (!lost->len && c->doubt == LOSS_CONFIRMED)
			fail_msg("%s: no loss told", c->name);
		run_table_destroy(table);
	}
}

/* Guards against "failed" for a run that had ended after the server made the
 * list that was read last: the list may be as old as its poll. */
static void test_a_list_that_is_read_late_confirms_no_loss(void **state)
{
	const struct run_case late = { .sent_ms = 2, .accepted_ms = 20 };
	const int64_t polled_ms = 30, read_ms = 165, crashed_ms = 300;
	struct cf_capacity capacity = { .cpu_milli = 1000, .memory_mb = 10 };
	struct run_name name = { .job = "j", .number = 1 };
	struct server_crash crash = { .failed_ms = crashed_ms,
				      .refused = true };
	struct server_report report = { .name = "s" };
	struct run_table *table = run_table_create();
	struct run_result result;

	(void)state;
	run_table_set_capacity(table, &capacity);
	prepare_run(table, &name, &late);
	list_running(table, &name, polled_ms, read_ms);
	server_crash_lose_runs(&crash, SERVER_CRASH_REFUSED, &report, table,
			       crashed_ms);
	run_table_lease_expired(table, 900);
	assert_true(run_table_pop_result(table, &result));
	run_table_destroy(table);
	assert_int_equal(result.outcome, RUN_OUTCOME_LOST);
	assert_string_equal(loss_doubt_name(result.doubt),
			    loss_doubt_name(LOSS_NOT_SEEN));
}

/* ---- A server on a socket ------------------------------------------- */

struct client {
	struct loop *loop;
	struct server *server;
	struct http_client *http;
	struct standin_record *record;
	struct standin *standin;
	struct server_report report;
	struct loop_timer *timer;
	struct run_result results[4];
	size_t n_results, wanted;
	int64_t until_ms;
};

static void changed(void *arg, struct server *server)
{
	(void)arg;
	(void)server;
}

static void tick(void *arg, int64_t now_ms)
{
	struct client *c = arg;

	server_process(c->server, now_ms);
}

static bool start_time_is_known(void *arg)
{
	const struct client *c = arg;

	return server_last_report(c->server)->start_time_ms > 1;
}

static void read_report(struct client *c)
{
	g_autofree char *body = standin_report(c->standin);
	char error_text[128];

	assert_true(platform_formats.read_server_report(
		"s1", body, strlen(body), &c->report, error_text));
}

static bool accepts(void *arg)
{
	const struct client *c = arg;

	return server_accepting(c->server, loop_now_ms(c->loop));
}

static void begin(struct client *c)
{
	int id = getpid();
	g_autofree char *address =
		g_strdup_printf("127.%d.%d.%d:7000", 1 + (id >> 16) % 200,
				(id >> 8) & 255, 1 + (id & 255) % 254);
	struct server_options options = { .formats = &platform_formats,
					  .changed = changed };

	memset(c, 0, sizeof(*c));
	c->loop = loop_create(NULL);
	c->http = http_client_create(c->loop, 8, NULL);
	c->record = standin_record_create();
	c->standin = standin_create(c->record, "s1", address, address,
				    "127.0.0.1:1");
	read_report(c);
	options.client = c->http;
	options.loop = c->loop;
	c->server = server_create(&options, &c->report, loop_now_ms(c->loop));
	c->timer = loop_timer_create(c->loop, tick, c);
	loop_timer_start(c->timer, 1, 5);
	assert_true(loop_until(c->loop, start_time_is_known, c));
	assert_true(loop_until(c->loop, accepts, c));
}

static void end(struct client *c)
{
	loop_timer_destroy(c->timer);
	http_client_destroy(c->http);
	server_destroy(c->server);
	standin_record_destroy(c->record);
	loop_destroy(c->loop);
}

static void start(struct client *c, uint32_t index)
{
	int64_t now_ms = loop_now_ms(c->loop);
	struct run_request run = {
		.name = { .job = "a1", .index = index, .number = 1 },
		.spec = g_bytes_new("5000", 4),
		.cpu_milli = 1000,
		.memory_mb = 1,
		.deadline_ms = now_ms + 9000,
		.lease_end_ms = now_ms + 9000
	};

	run_table_enqueue(server_runs(c->server), &run, now_ms);
	g_bytes_unref(run.spec);
	server_process(c->server, now_ms);
}

static bool runs(void *arg)
{
	struct client *c = arg;
	g_autoptr(GArray) progress =
		g_array_new(FALSE, FALSE, sizeof(struct run_progress));

	run_table_list_progress(server_runs(c->server), clock_now_ms(),
				progress);
	return progress->len > 0;
}

static bool is_idle(void *arg)
{
	return run_table_is_idle(server_runs(((struct client *)arg)->server));
}

/* Guards against a crash told as a stop, and against runs that are told as
 * ended before their lease has. */
static void test_server_process_ends(void **state)
{
	struct client c;
	struct run_result result;
	int64_t ended_ms;

	(void)state;
	begin(&c);
	start(&c, 0);
	assert_true(loop_until(c.loop, runs, &c));
	standin_destroy(c.standin);
	ended_ms = clock_now_ms();
	assert_true(loop_until(c.loop, is_idle, &c));
	assert_true(run_table_pop_result(server_runs(c.server), &result));
	assert_int_equal(result.outcome, RUN_OUTCOME_LOST);
	assert_in_range(result.run_ms, 0, 500);
	assert_in_range(clock_now_ms() - ended_ms, 400, 1500);
	end(&c);
}

static bool has_result(void *arg)
{
	struct client *c = arg;

	c->n_results += run_table_pop_result(server_runs(c->server),
					     &c->results[c->n_results]);
	return c->n_results == c->wanted;
}

static void wait_results(struct client *c, size_t n)
{
	c->wanted = n;
	assert_true(loop_until(c->loop, has_result, c));
}

/* Guards against calls that are made while their client ends, which it neither
 * sends nor releases. */
static void test_client_ends_beside_a_run(void **state)
{
	struct client c;

	(void)state;
	begin(&c);
	start(&c, 0);
	assert_true(loop_until(c.loop, runs, &c));
	standin_destroy(c.standin);
	end(&c);
}

/* Guards against starts on a server that refuses connections, and against runs
 * that wait for the end of a lease though their start was never sent. */
static void test_refused_starts(void **state)
{
	struct client c;
	int64_t crashed_ms;

	(void)state;
	begin(&c);
	start(&c, 0);
	assert_true(loop_until(c.loop, runs, &c));
	standin_destroy(c.standin);
	crashed_ms = clock_now_ms();
	start(&c, 1);
	start(&c, 2);
	wait_results(&c, 2);
	assert_true(clock_now_ms() - crashed_ms < 150);
	for (int i = 0; i < 2; i++)
		assert_int_equal(c.results[i].outcome, RUN_OUTCOME_NOT_STARTED);
	assert_false(accepts(&c));
	wait_results(&c, 3);
	assert_int_equal(c.results[2].outcome, RUN_OUTCOME_LOST);
	assert_in_range(clock_now_ms() - crashed_ms, 400, 850);
	assert_false(accepts(&c));
	c.standin = standin_create(c.record, "s1", c.report.address,
				   c.report.address, "127.0.0.1:1");
	crashed_ms = clock_now_ms();
	assert_true(loop_until(c.loop, accepts, &c));
	assert_true(clock_now_ms() - crashed_ms < 500);
	standin_destroy(c.standin);
	end(&c);
}

/* Guards against runs that never end because another server answers in place of
 * theirs, which renews the lease, and against calls to that server. */
static void test_server_replaced(void **state)
{
	struct client c;
	struct server_report other;
	int64_t replaced_ms;

	(void)state;
	begin(&c);
	start(&c, 0);
	assert_true(loop_until(c.loop, runs, &c));
	other = *server_last_report(c.server);
	g_strlcpy(other.name, "s2", sizeof(other.name));
	other.start_time_ms++;
	replaced_ms = clock_now_ms();
	server_check_replaced(c.server, &other, replaced_ms);
	assert_false(accepts(&c));
	wait_results(&c, 1);
	assert_int_equal(c.results[0].outcome, RUN_OUTCOME_LOST);
	assert_in_range(c.results[0].run_ms, 0, 300);
	assert_in_range(clock_now_ms() - replaced_ms, 400, 850);
	standin_destroy(c.standin);
	end(&c);
}

/* Guards against a run of the previous incarnation told as stopped. */
static void test_server_restarts(void **state)
{
	struct client c;
	struct run_result result;
	int64_t ended_ms;

	(void)state;
	begin(&c);
	start(&c, 0);
	assert_true(loop_until(c.loop, runs, &c));
	ended_ms = clock_now_ms();
	standin_restart(c.standin);
	assert_true(loop_until(c.loop, is_idle, &c));
	assert_true(run_table_pop_result(server_runs(c.server), &result));
	assert_int_equal(result.outcome, RUN_OUTCOME_LOST);
	assert_true(clock_now_ms() - ended_ms < 600);
	standin_destroy(c.standin);
	end(&c);
}

/* Guards against a run told as lost with the previous incarnation though it
 * began on the next one, which answered its start before the agent knew. */
static void test_next_incarnation_answers_a_start(void **state)
{
	struct client c;

	(void)state;
	begin(&c);
	standin_restart(c.standin);
	start(&c, 0);
	wait_results(&c, 1);
	assert_int_equal(standin_runs(c.record), 1);
	assert_int_equal(c.results[0].outcome, RUN_OUTCOME_STOPPED);
	standin_destroy(c.standin);
	end(&c);
}

static bool is_over(void *arg)
{
	return clock_now_ms() >= ((struct client *)arg)->until_ms;
}

/* Guards against a crash told of a server that has left or drained: its report
 * comes after its process has ended. */
static void test_leaving_is_told_after_the_end(void **state)
{
	(void)state;
	for (int drains = 0; drains < 2; drains++) {
		struct client c;
		const struct run_result *result = &c.results[0];
		struct server_report report;

		begin(&c);
		start(&c, 0);
		assert_true(loop_until(c.loop, runs, &c));
		report = *server_last_report(c.server);
		standin_destroy(c.standin);
		c.until_ms = clock_now_ms() + 100;
		assert_true(loop_until(c.loop, is_over, &c));
		assert_false(accepts(&c));
		report.draining = true;
		report.seq++;
		report.clock_ms++;
		if (!drains)
			server_mark_left(c.server);
		else
			assert_true(server_apply_report(c.server, &report,
							clock_now_ms()));
		wait_results(&c, 1);
		if (result->outcome != RUN_OUTCOME_STOPPED)
			fail_msg("drains=%d: outcome %d, doubt %s", drains,
				 result->outcome,
				 loss_doubt_name(result->doubt));
		end(&c);
	}
}

/* Guards against polls without a pause at a server that refuses them. */
static void test_refused_polls_are_paced(void **state)
{
	struct client c;
	uint32_t before;

	(void)state;
	begin(&c);
	start(&c, 0);
	assert_true(loop_until(c.loop, runs, &c));
	standin_refuse_polls(c.record);
	before = standin_polls(c.record);
	c.until_ms = clock_now_ms() + 300;
	assert_true(loop_until(c.loop, is_over, &c));
	assert_in_range(standin_polls(c.record) - before, 2, 60);
	standin_destroy(c.standin);
	assert_true(loop_until(c.loop, is_idle, &c));
	end(&c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_evidence),
		cmocka_unit_test(test_replacement),
		cmocka_unit_test(test_runs_lost_with_the_lease),
		cmocka_unit_test(test_unconfirmed_losses_are_no_evidence),
		cmocka_unit_test(
			test_a_list_that_is_read_late_confirms_no_loss),
		cmocka_unit_test(test_server_process_ends),
		cmocka_unit_test(test_client_ends_beside_a_run),
		cmocka_unit_test(test_refused_starts),
		cmocka_unit_test(test_server_replaced),
		cmocka_unit_test(test_server_restarts),
		cmocka_unit_test(test_next_incarnation_answers_a_start),
		cmocka_unit_test(test_leaving_is_told_after_the_end),
		cmocka_unit_test(test_refused_polls_are_paced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
