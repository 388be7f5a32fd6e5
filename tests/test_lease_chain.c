/*
 * test_lease_chain: the leases from a dispatcher to its runs, simulated by the
 * millisecond with the code that decides: an agent's run table and its view of
 * the server's lease. The server's clock is 2 % slow.
 */
#include "leased/leases.h"
#include "leased/run_table.h"
#include "leased/server_lease.h"

#include "chervilferry.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define SLOW_CLOCK_PERCENT 98
#define LOST 1 /* dispatcher that is lost after its request at 0 */
#define OTHER 2
#define TICK_MS 20
#define CALL_TIMEOUT_MS 60
#define LATE_START_MS 55
#define POLL_ANSWER_MS 1
#define SERVER_CLOCK_BASE_MS 5000
#define OTHER_RUNS_EVERY_MS 5

/* ---- Support ---- */

enum event_kind { START_ANSWER, START_TIMEOUT, START_LATE, STOP, POLL, GRANT };

struct event {
	enum event_kind kind;
	int64_t due_ms, sent_ms, lease_end_ms;
	struct run_name name;
	uint64_t seq;
};

struct sim_run {
	struct run_name name;
	int64_t ends_ms;
};

struct sim {
	/* What the server does; 0: the call gets no answer. */
	int64_t stop_ms, slow_stop_ms; /* one stop in 20 is slow */
	bool start_unanswered; /* that of the lost dispatcher's run */
	int64_t tick_ms; /* of the agent's first tick */
	struct cf_lease *lost, *other;
	struct run_table *table;
	struct server_lease lease;
	GArray *events; /* struct event */
	GArray *runs; /* struct sim_run, at the server */
	GArray *ends; /* struct listed_run_end */
	int64_t now_ms, server_end_ms;
	bool poll_open;
	uint32_t orders, stops, done, lapses, expiries;
	int64_t ended_ms, reported_ms; /* the lost dispatcher's run; 0: not */
	int64_t outlived_ms; /* the same run's */
	int64_t left_min_ms; /* of the server's lease */
};

static int64_t server_clock_ms(const struct sim *s)
{
	return SERVER_CLOCK_BASE_MS + s->now_ms * SLOW_CLOCK_PERCENT / 100;
}

static struct run_name name_of(const char *job, uint32_t number)
{
	struct run_name name = { .number = number };

	g_strlcpy(name.job, job, sizeof(name.job));
	return name;
}

static void post(struct sim *s, enum event_kind kind, int64_t after_ms,
		 const struct run_name *name)
{
	struct event e = { .kind = kind,
			   .due_ms = s->now_ms + after_ms,
			   .sent_ms = s->now_ms,
			   .lease_end_ms = s->server_end_ms };

	if (name)
		e.name = *name;
	g_array_append_val(s->events, e);
}

static void end_run(struct sim *s, guint i, enum run_end_status status)
{
	struct listed_run_end end = {
		.name = g_array_index(s->runs, struct sim_run, i).name,
		.end_status = status
	};

	if (end.name.job[0] == 'l')
		s->ended_ms = s->now_ms;
	g_array_append_val(s->ends, end);
	g_array_remove_index(s->runs, i);
}

static void run_server(struct sim *s)
{
	bool lapsed = server_clock_ms(s) >= s->server_end_ms;

	if (s->runs->len)
		s->left_min_ms = MIN(s->left_min_ms,
				     s->server_end_ms - server_clock_ms(s));
	s->lapses += lapsed && s->runs->len;
	for (guint i = s->runs->len; i-- > 0;)
		if (lapsed)
			end_run(s, i, RUN_END_LEASE_EXPIRED);
		else if (g_array_index(s->runs, struct sim_run, i).ends_ms <=
			 s->now_ms)
			end_run(s, i, RUN_END_DONE);
}

static void stop_at_server(struct sim *s, const struct run_name *name)
{
	for (guint i = s->runs->len; i-- > 0;)
		if (run_name_equal(
			    &g_array_index(s->runs, struct sim_run, i).name,
			    name))
			end_run(s, i, RUN_END_STOPPED);
	run_table_stop_acked(s->table, name, s->now_ms);
}

static void start_at_server(struct sim *s, const struct event *e)
{
	struct sim_run run = { e->name, s->now_ms + 10 };

	if (e->name.job[0] != 'o')
		run.ends_ms = INT64_MAX;
	if (server_clock_ms(s) < e->lease_end_ms)
		g_array_append_val(s->runs, run);
}

static void answer_poll(struct sim *s, int64_t sent_ms)
{
	struct run_lists lists = {
		.running = g_array_new(FALSE, TRUE, sizeof(struct run_name)),
		.ended = s->ends
	};
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(struct run_name));

	for (guint i = 0; i < s->runs->len; i++)
		g_array_append_val(
			lists.running,
			g_array_index(s->runs, struct sim_run, i).name);
	run_table_apply_lists(s->table, &lists, sent_ms, s->now_ms, unknown);
	s->ends = g_array_new(FALSE, TRUE, sizeof(struct listed_run_end));
	s->poll_open = false;
	run_lists_clear(&lists);
	g_array_unref(unknown);
}

static void handle_event(struct sim *s, const struct event *e)
{
	if (e->kind == START_TIMEOUT)
		run_table_start_unanswered(s->table, &e->name);
	else if (e->kind == START_ANSWER)
		run_table_start_answered(s->table, &e->name, RUN_ACCEPTED,
					 s->now_ms);
	if (e->kind == START_ANSWER || e->kind == START_LATE)
		start_at_server(s, e);
	else if (e->kind == STOP)
		stop_at_server(s, &e->name);
	else if (e->kind == POLL)
		answer_poll(s, e->sent_ms);
	else if (e->kind == GRANT &&
		 cf_lease_grant(s->other, e->seq, RUN_LEASE_MS, 0, s->now_ms))
		run_table_extend_lease(s->table, OTHER,
				       cf_lease_end_ms(s->other));
	if (e->kind == START_ANSWER || e->kind == STOP || e->kind == POLL)
		server_lease_answered(&s->lease, server_clock_ms(s), s->now_ms);
}

static void handle_events(struct sim *s)
{
	for (guint i = 0; i < s->events->len; i++) {
		struct event e = g_array_index(s->events, struct event, i);

		if (e.due_ms > s->now_ms)
			continue;
		g_array_remove_index(s->events, i--);
		handle_event(s, &e);
	}
}

static void order(struct sim *s, uint64_t dispatcher,
		  const struct cf_lease *lease, const struct run_name *name)
{
	struct run_request run = { .name = *name,
				   .dispatcher = dispatcher,
				   .spec = g_bytes_new("x", 1),
				   .cpu_milli = 1,
				   .deadline_ms = INT64_MAX,
				   .lease_end_ms = cf_lease_end_ms(lease) };

	if (cf_lease_held(lease, s->now_ms))
		run_table_enqueue(s->table, &run, s->now_ms);
	g_bytes_unref(run.spec);
}

static void tick(struct sim *s)
{
	if (!cf_lease_held(s->lost, s->now_ms))
		run_table_stop_others(s->table, LOST, NULL, 0);
	if (s->now_ms % RUN_LEASE_RENEW_MS < TICK_MS) {
		post(s, GRANT, 2, NULL);
		g_array_index(s->events, struct event, s->events->len - 1).seq =
			cf_lease_request(s->other, s->now_ms);
	}
}

static void send_starts(struct sim *s)
{
	const struct run_request *run;

	while (!s->lease.expiring &&
	       server_lease_allows_start(&s->lease,
					 run_table_renew_until_ms(s->table),
					 s->now_ms) &&
	       (run = run_table_next_start(s->table, s->now_ms))) {
		bool unanswered = s->start_unanswered &&
				  run->dispatcher == LOST;

		int64_t end_ms = server_lease_for_start(
			&s->lease, run_table_renew_until_ms(s->table),
			s->now_ms);

		s->server_end_ms = MAX(s->server_end_ms, end_ms);
		post(s, unanswered ? START_LATE : START_ANSWER,
		     unanswered ? LATE_START_MS : 1, &run->name);
		if (unanswered)
			post(s, START_TIMEOUT, CALL_TIMEOUT_MS, &run->name);
	}
}

/* As server_process. An answer arrives every millisecond. */
static void process(struct sim *s)
{
	int64_t stop_age_ms = run_table_stop_age_ms(s->table, s->now_ms);
	struct run_name name;

	if (server_lease_begin_expiry(&s->lease, stop_age_ms, false,
				      s->now_ms)) {
		s->expiries++;
		run_table_return_queued(s->table);
	}
	if (server_lease_end_expiry(&s->lease, stop_age_ms, s->now_ms))
		run_table_lease_expired(s->table, s->now_ms);
	send_starts(s);
	while (run_table_next_stop(s->table, s->now_ms, &name)) {
		int64_t ms = ++s->stops % 20 ? s->stop_ms : s->slow_stop_ms;

		if (ms)
			post(s, STOP, ms, &name);
	}
	if (!s->poll_open) {
		int64_t end_ms = server_lease_for_poll(
			&s->lease, run_table_is_idle(s->table),
			run_table_renew_until_ms(s->table), s->now_ms);

		s->server_end_ms = MAX(s->server_end_ms, end_ms);
		s->poll_open = true;
		post(s, POLL, POLL_ANSWER_MS, NULL);
	}
}

static void collect_results(struct sim *s)
{
	struct run_result result;

	while (run_table_pop_result(s->table, &result)) {
		s->done += result.outcome == RUN_OUTCOME_DONE;
		if (result.name.job[0] != 'l')
			continue;
		s->reported_ms = s->now_ms;
		s->outlived_ms = result.outlived_ms;
	}
}

static void sim_init(struct sim *s)
{
	struct cf_capacity capacity = { .cpu_milli = 1000, .memory_mb = 1000 };

	s->lost = cf_lease_create();
	s->other = cf_lease_create();
	cf_lease_grant(s->lost, cf_lease_request(s->lost, 0), RUN_LEASE_MS, 0,
		       0);
	cf_lease_grant(s->other, cf_lease_request(s->other, 0), RUN_LEASE_MS, 0,
		       0);
	s->table = run_table_create();
	run_table_set_capacity(s->table, &capacity);
	s->events = g_array_new(FALSE, TRUE, sizeof(struct event));
	s->runs = g_array_new(FALSE, TRUE, sizeof(struct sim_run));
	s->ends = g_array_new(FALSE, TRUE, sizeof(struct listed_run_end));
	s->left_min_ms = INT64_MAX;
	server_lease_init(&s->lease, 0);
	server_lease_answered(&s->lease, SERVER_CLOCK_BASE_MS, 0);
}

static void sim_clear(struct sim *s)
{
	cf_lease_destroy(s->lost);
	cf_lease_destroy(s->other);
	run_table_destroy(s->table);
	g_array_unref(s->events);
	g_array_unref(s->runs);
	g_array_unref(s->ends);
}

/* One millisecond, after the orders that arrived in it. */
static void sim_step(struct sim *s)
{
	run_server(s);
	handle_events(s);
	if (s->now_ms % TICK_MS == s->tick_ms)
		tick(s);
	process(s);
	collect_results(s);
	s->now_ms++;
}

/* ---- Tests ---- */

/* stop_ms: a dispatcher that isn't lost orders the stop then; 0: it is lost. */
static void run_lost_case(struct sim *s, bool others, int64_t order_ms,
			  int64_t stop_ms)
{
	struct run_name lost = name_of("lost", 1);

	sim_init(s);
	while (!s->reported_ms && s->now_ms < 3000) {
		struct run_name other = name_of("other", ++s->orders);

		if (s->now_ms == order_ms)
			order(s, stop_ms ? OTHER : LOST,
			      stop_ms ? s->other : s->lost, &lost);
		if (stop_ms && s->now_ms == stop_ms)
			run_table_stop(s->table, OTHER, &lost);
		if (others && s->now_ms % OTHER_RUNS_EVERY_MS == 0)
			order(s, OTHER, s->other, &other);
		sim_step(s);
	}
	sim_clear(s);
}

/* Two runs of a task overlap if the first is kept alive for other runs' sake
 * after its dispatcher was lost. */
static void test_no_run_outlives_its_bound(void **state)
{
	static const struct {
		const char *what;
		bool start_unanswered, others;
		int64_t order_ms, stop_order_ms, stop_ms;
	} cases[] = {
		{ "stops get no answer", false, false, 1, 0, 0 },
		{ "and other runs start", false, true, 1, 0, 0 },
		{ "the start gets no answer either", true, false, 499, 0, 0 },
		{ "no answers, and other runs start", true, true, 499, 0, 0 },
		{ "a stop that is ordered", false, true, 600, 700, 0 },
		{ "the stop is acknowledged late", false, true, 1, 0, 70 },
	};
	uint32_t n_late = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t last_ms = 0;

		for (int64_t t = 0; t < TICK_MS; t++) {
			struct sim s = { .tick_ms = t,
					 .stop_ms = cases[i].stop_ms,
					 .slow_stop_ms = cases[i].stop_ms };

			s.start_unanswered = cases[i].start_unanswered;
			run_lost_case(&s, cases[i].others, cases[i].order_ms,
				      cases[i].stop_order_ms);
			assert_true(s.ended_ms > 0);
			assert_true(s.reported_ms >= s.ended_ms);
			assert_true(s.outlived_ms <= RUN_OUTLIVE_MAX_MS);
			if (!cases[i].stop_order_ms)
				assert_true(s.outlived_ms >=
					    s.ended_ms - RUN_LEASE_MS);
			if (cases[i].stop_ms)
				assert_int_equal(s.lapses, 0);
			last_ms = MAX(last_ms,
				      s.ended_ms - cases[i].stop_order_ms);
		}
		print_message("%s: ended after %d ms\n", cases[i].what,
			      (int)last_ms);
		/* A server may take as long to end a run as for a stop. */
		n_late += last_ms + RUN_STOP_MAX_MS > RUN_END_MAX_MS;
	}
	assert_int_equal(n_late, 0);
}

/* What nobody here ordered may be another's run of the same task. */
static void test_unknown_runs_are_not_kept_alive(void **state)
{
	struct sim s = { .stop_ms = 3, .slow_stop_ms = 3 };
	struct run_name name = name_of("other", 1);
	struct sim_run unknown = { name_of("unknown", 1), INT64_MAX };

	(void)state;
	sim_init(&s);
	order(&s, OTHER, s.other, &name);
	sim_step(&s);
	g_array_append_val(s.runs, unknown);
	sim_step(&s);
	sim_step(&s);
	assert_true(run_table_has_unknown_runs(s.table));
	assert_int_equal(server_lease_for_poll(
				 &s.lease, false,
				 run_table_renew_until_ms(s.table), s.now_ms),
			 0);
	g_array_set_size(s.runs, 0);
	sim_step(&s);
	sim_step(&s);
	assert_false(run_table_has_unknown_runs(s.table));
	assert_true(run_table_renew_until_ms(s.table) > s.now_ms);
	sim_clear(&s);
}

/* Renewals that pause for each stop would end all runs of a busy server. */
static void test_frequent_stops_keep_the_lease(void **state)
{
	static const int64_t slow_stops_ms[] = { 3, 70 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(slow_stops_ms); i++) {
		struct sim s = { .stop_ms = 3,
				 .slow_stop_ms = slow_stops_ms[i] };

		sim_init(&s);
		while (s.now_ms < 20000) {
			struct run_name name = name_of("other", ++s.orders);
			struct run_name stopped = name_of("stopped", s.orders);

			if (s.now_ms % OTHER_RUNS_EVERY_MS == 0) {
				order(&s, OTHER, s.other, &name);
				order(&s, OTHER, s.other, &stopped);
				stopped.number -= 10;
				run_table_stop(s.table, OTHER, &stopped);
			}
			sim_step(&s);
		}
		print_message("slow stops %d ms: %u stops, %u done, at least "
			      "%d ms left of the lease\n",
			      (int)slow_stops_ms[i], s.stops, s.done,
			      (int)s.left_min_ms);
		assert_int_equal(s.lapses, 0);
		assert_int_equal(s.expiries, 0);
		assert_true(s.stops > 3900);
		assert_true(s.done > 3900);
		assert_true(s.left_min_ms > SERVER_LEASE_MS / 2);
		sim_clear(&s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_run_outlives_its_bound),
		cmocka_unit_test(test_unknown_runs_are_not_kept_alive),
		cmocka_unit_test(test_frequent_stops_keep_the_lease),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
