/*
 * test_run_table: an agent's bookkeeping of the runs of one backend server:
 * start order, free capacity, unanswered starts, stops, lists, expired leases
 * and server restarts.
 */
#include "leased/ended_runs.h"
#include "leased/run_table.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#define DISPATCHER 7
#define NONE (-1)

/* ---- Support ---- */

static struct run_table *make_table(uint32_t cpu_milli)
{
	struct run_table *table = run_table_create();
	struct cf_capacity capacity = { .cpu_milli = cpu_milli,
					.memory_mb = 1000 };

	run_table_set_capacity(table, &capacity);
	return table;
}

static struct run_name name_of(uint32_t index, uint32_t number)
{
	struct run_name name = { .index = index, .number = number };

	g_strlcpy(name.job, "a1", sizeof(name.job));
	return name;
}

static void enqueue(struct run_table *table, uint32_t index, uint32_t cpu_milli,
		    int64_t target_start_ms, int64_t now_ms)
{
	struct run_request run = { .name = name_of(index, 1),
				   .dispatcher = DISPATCHER,
				   .spec = g_bytes_new("x", 1),
				   .cpu_milli = cpu_milli,
				   .memory_mb = 1,
				   .target_start_ms = target_start_ms,
				   .deadline_ms = 10000,
				   .lease_end_ms = 10000 };

	run_table_enqueue(table, &run, now_ms);
	g_bytes_unref(run.spec);
}

/* Starts the next run and returns its index, or NONE. */
static int start_next(struct run_table *table, int64_t now_ms)
{
	const struct run_request *run = run_table_next_start(table, now_ms);

	return run ? (int)run->name.index : NONE;
}

static void apply_lists(struct run_table *table, const uint32_t *running,
			size_t n_running, const struct listed_run_end *ended,
			size_t n_ended, int64_t sent_ms, int64_t now_ms,
			guint *n_unknown_runs)
{
	struct run_lists lists = {
		.running = g_array_new(FALSE, TRUE, sizeof(struct run_name)),
		.ended = g_array_new(FALSE, TRUE, sizeof(struct listed_run_end))
	};
	GArray *unknown_runs =
		g_array_new(FALSE, FALSE, sizeof(struct run_name));

	for (size_t i = 0; i < n_running; i++) {
		struct run_name name = name_of(running[i], 1);

		g_array_append_val(lists.running, name);
	}
	if (n_ended)
		g_array_append_vals(lists.ended, ended, (guint)n_ended);
	run_table_apply_lists(table, &lists, sent_ms, now_ms, unknown_runs);
	if (n_unknown_runs)
		*n_unknown_runs = unknown_runs->len;
	g_array_unref(unknown_runs);
	run_lists_clear(&lists);
}

static void assert_result(struct run_table *table, uint32_t index,
			  enum run_outcome outcome)
{
	struct run_result result;

	assert_true(run_table_pop_result(table, &result));
	assert_int_equal(result.name.index, index);
	assert_int_equal(result.outcome, outcome);
	assert_int_equal(result.dispatcher, DISPATCHER);
}

static void assert_no_result(struct run_table *table)
{
	struct run_result result;

	assert_false(run_table_pop_result(table, &result));
}

/* ---- Start order and free capacity ---- */

static void test_starts_in_order_within_capacity(void **state)
{
	struct run_table *table = make_table(10000);
	struct run_load load;

	(void)state;
	enqueue(table, 0, 6000, 300, 0);
	enqueue(table, 1, 6000, 100, 0);
	enqueue(table, 2, 3000, 200, 0);
	assert_int_equal(start_next(table, 1), 1);
	assert_int_equal(start_next(table, 1), 2);
	assert_int_equal(start_next(table, 1), NONE);
	run_table_get_load(table, &load);
	assert_int_equal(load.running, 2);
	assert_int_equal(load.queued, 1);
	assert_int_equal(load.free_cpu_milli, -5000);
	run_table_destroy(table);
}

/* Guards against starts on a server whose capacity has shrunk below what runs
 * there, in any of its resources, until it fits again. */
static void test_shrunk_capacity(void **state)
{
	static const uint32_t shrunk[][3] = { { 0, 0, 0 },
					      { 1999, 1000, 2 },
					      { 4000, 1, 2 },
					      { 4000, 1000, 1 } };
	static const struct cf_capacity full = { .cpu_milli = 4000,
						 .memory_mb = 1000,
						 .accelerators = 2 };
	static const uint32_t accelerators[] = { 2, 0, 0 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(shrunk); i++) {
		struct run_table *table = run_table_create();
		struct cf_capacity less = { .cpu_milli = shrunk[i][0],
					    .memory_mb = shrunk[i][1],
					    .accelerators = shrunk[i][2] };
		struct run_load load;

		run_table_set_capacity(table, &full);
		for (uint32_t k = 0; k < 3; k++) {
			struct run_request run = {
				.name = name_of(k, 1),
				.dispatcher = DISPATCHER,
				.spec = g_bytes_new("x", 1),
				.cpu_milli = k < 2 ? 1000 : 0,
				.memory_mb = k < 2 ? 1 : 0,
				.accelerators = accelerators[k],
				.deadline_ms = 10000,
				.lease_end_ms = 10000
			};

			if (k == 2)
				run_table_set_capacity(table, &less);
			run_table_enqueue(table, &run, 1);
			g_bytes_unref(run.spec);
			assert_int_equal(start_next(table, 1),
					 k < 2 ? (int)k : NONE);
		}
		run_table_get_load(table, &load);
		assert_true(load.free_cpu_milli < 0);
		run_table_set_capacity(table, &full);
		run_table_get_load(table, &load);
		assert_int_equal(load.free_cpu_milli, 2000);
		assert_int_equal(start_next(table, 2), 2);
		run_table_destroy(table);
	}
}

static void test_duplicate_request_is_one_run(void **state)
{
	struct run_table *table = make_table(10000);

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	enqueue(table, 0, 1000, 0, 0);
	assert_int_equal(start_next(table, 1), 0);
	assert_int_equal(start_next(table, 1), NONE);
	run_table_destroy(table);
}

static void test_a_run_past_its_deadline_never_starts(void **state)
{
	struct run_table *table = make_table(10000);

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	assert_int_equal(start_next(table, 10000), NONE);
	assert_result(table, 0, RUN_OUTCOME_NOT_STARTED);
	run_table_destroy(table);
}

/* ---- Answers to a start ---- */

static void test_start_answers(void **state)
{
	static const struct {
		enum run_refusal refusal;
		bool retried;
		enum run_outcome outcome;
	} cases[] = {
		{ RUN_NO_CAPACITY, true, 0 },
		{ RUN_LEASE_EXPIRED, true, 0 },
		{ RUN_STALE, false, RUN_OUTCOME_STALE },
		{ RUN_FENCED, false, RUN_OUTCOME_STALE },
		{ RUN_UNHEALTHY, false, RUN_OUTCOME_REFUSED },
		{ RUN_MALFORMED, false, RUN_OUTCOME_UNREADABLE },
		{ RUN_OTHER_INCARNATION, false, RUN_OUTCOME_NOT_STARTED },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct run_table *table = make_table(10000);
		struct run_name name = name_of(0, 1);

		enqueue(table, 0, 1000, 0, 0);
		assert_int_equal(start_next(table, 1), 0);
		run_table_start_answered(table, &name, cases[i].refusal, 2);
		if (cases[i].retried) {
			assert_no_result(table);
			assert_int_equal(start_next(table, 100), 0);
		} else {
			assert_result(table, 0, cases[i].outcome);
			assert_true(run_table_is_idle(table));
		}
		run_table_destroy(table);
	}
}

/* ---- Unanswered starts and stops ---- */

/* An unanswered start may still be carried out at any moment until a stop is
 * acknowledged. The run keeps its capacity, and no result is sent, until a
 * later list shows whether it ran. */
static void test_unanswered_start(void **state)
{
	static const struct {
		bool listed_running, listed_done;
		enum run_outcome outcome;
	} cases[] = {
		{ false, false, RUN_OUTCOME_NOT_STARTED },
		{ false, true, RUN_OUTCOME_DONE },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct run_table *table = make_table(1000);
		struct run_name name = name_of(0, 1), stop;
		struct listed_run_end end = { 1, name, RUN_END_DONE };

		enqueue(table, 0, 1000, 0, 0);
		assert_int_equal(start_next(table, 1), 0);
		run_table_start_unanswered(table, &name);
		enqueue(table, 1, 1000, 0, 1);
		assert_int_equal(start_next(table, 2), NONE);
		assert_true(run_table_next_stop(table, 60, &stop));
		assert_false(run_table_next_stop(table, 61, &stop));
		/* A list older than the acknowledgement proves nothing. */
		apply_lists(table, NULL, 0, NULL, 0, 59, 61, NULL);
		assert_no_result(table);
		run_table_stop_acked(table, &name, 62);
		assert_true(run_table_awaits_list(table));
		apply_lists(table, NULL, 0, NULL, 0, 61, 63, NULL);
		assert_no_result(table);
		apply_lists(table, NULL, 0, cases[i].listed_done ? &end : NULL,
			    cases[i].listed_done, 62, 64, NULL);
		assert_result(table, 0, cases[i].outcome);
		assert_int_equal(start_next(table, 65), 1);
		run_table_destroy(table);
	}
}

static void test_stop_is_retried_until_acknowledged(void **state)
{
	struct run_table *table = make_table(1000);
	struct run_name name = name_of(0, 1), stop;

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	start_next(table, 1);
	run_table_start_answered(table, &name, RUN_ACCEPTED, 2);
	run_table_stop(table, DISPATCHER, &name);
	assert_true(run_table_next_stop(table, 3, &stop));
	assert_false(run_table_next_stop(table, 10, &stop));
	assert_true(run_table_next_stop(table, 200, &stop));
	assert_true(run_table_stop_age_ms(table, 200) > 150);
	run_table_stop_acked(table, &name, 201);
	assert_int_equal(run_table_stop_age_ms(table, 300), 0);
	run_table_destroy(table);
}

/* Consecutive failed jobs are counted, not their tasks. */
static void test_failures_in_a_row(void **state)
{
	static const struct {
		/* One letter per ended task: its job; upper case if it
		 * succeeded. */
		const char *ends;
		uint32_t in_a_row;
	} cases[] = {
		{ "a", 1 },    { "aaaaaa", 1 }, { "abc", 3 },
		{ "abcA", 0 }, { "abcdef", 4 }, { "abAcd", 2 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct run_table *table = make_table(100000);
		struct run_load load;

		for (uint32_t k = 0; cases[i].ends[k]; k++) {
			char letter = cases[i].ends[k];
			struct run_request run = { .name = { .index = k,
							     .number = 1 },
						   .spec = g_bytes_new("x", 1),
						   .cpu_milli = 1,
						   .deadline_ms = 1000,
						   .lease_end_ms = 1000 };
			struct listed_run_end end;

			run.name.job[0] = g_ascii_tolower(letter);
			run_table_enqueue(table, &run, 0);
			assert_non_null(run_table_next_start(table, 1));
			run_table_start_answered(table, &run.name, RUN_ACCEPTED,
						 2);
			end = (struct listed_run_end){
				k + 1, run.name,
				g_ascii_isupper(letter) ? RUN_END_DONE
							: RUN_END_FAILED
			};
			apply_lists(table, NULL, 0, &end, 1, 3, 4, NULL);
			g_bytes_unref(run.spec);
		}
		run_table_get_load(table, &load);
		assert_int_equal(load.failed_in_a_row, cases[i].in_a_row);
		run_table_destroy(table);
	}
}

/* A stop that arrives during the start call is sent after the call. */
static void test_stop_during_a_start(void **state)
{
	struct run_table *table = make_table(1000);
	struct run_name name = name_of(0, 1), stop;

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	start_next(table, 1);
	run_table_stop(table, DISPATCHER, &name);
	assert_false(run_table_next_stop(table, 2, &stop));
	run_table_start_answered(table, &name, RUN_ACCEPTED, 3);
	assert_true(run_table_next_stop(table, 4, &stop));
	run_table_destroy(table);
}

/* ---- Lists ---- */

static void test_ended_unknown_and_missing_runs(void **state)
{
	struct run_table *table = make_table(9000);
	struct run_name first = name_of(0, 1), second = name_of(1, 1);
	struct listed_run_end end = { 4, first, RUN_END_FAILED };
	uint32_t running[] = { 1, 9 };
	guint unknown_runs;

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	enqueue(table, 1, 1000, 0, 0);
	start_next(table, 1);
	start_next(table, 1);
	run_table_start_answered(table, &first, RUN_ACCEPTED, 2);
	run_table_start_answered(table, &second, RUN_ACCEPTED, 2);
	apply_lists(table, running, 2, &end, 1, 3, 20, &unknown_runs);
	assert_int_equal(unknown_runs, 1);
	assert_true(run_table_find_ended(table, &end.name, 21)->end_listed);
	assert_null(run_table_find_ended(table,
					 &(struct run_name){ "zz", 0, 1 }, 21));
	assert_result(table, 0, RUN_OUTCOME_FAILED);
	/* Two lists without the run: its lease expired and the server no longer
	 * lists its end. */
	apply_lists(table, NULL, 0, NULL, 0, 21, 22, NULL);
	assert_no_result(table);
	apply_lists(table, NULL, 0, NULL, 0, 23, 24, NULL);
	assert_result(table, 1, RUN_OUTCOME_STOPPED);
	run_table_destroy(table);
}

/* ---- Lease expiry, restart, lost dispatcher, drain ---- */

static void test_lease_expired(void **state)
{
	struct run_table *table = make_table(1000);
	struct run_name name = name_of(0, 1);

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	enqueue(table, 1, 1000, 1, 0);
	start_next(table, 1);
	run_table_start_unanswered(table, &name);
	run_table_lease_expired(table, 700);
	assert_result(table, 1, RUN_OUTCOME_NOT_STARTED);
	assert_result(table, 0, RUN_OUTCOME_STOPPED);
	assert_true(run_table_is_idle(table));
	run_table_destroy(table);
}

/* Runs of the previous incarnation have ended, but an unanswered start may
 * still be carried out by the new one. */
static void test_server_restart(void **state)
{
	struct run_table *table = make_table(9000);
	uint32_t running = 0;
	struct run_name first = name_of(0, 1), second = name_of(1, 1), stop;

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	enqueue(table, 1, 1000, 0, 0);
	start_next(table, 1);
	start_next(table, 1);
	run_table_start_answered(table, &first, RUN_ACCEPTED, 2);
	run_table_server_restarted(table, 10);
	/* The new incarnation may have started the first run too: the answer
	 * came before the restart was known. */
	assert_no_result(table);
	for (int n = 0; n < 2; n++) {
		assert_true(run_table_next_stop(table, 11, &stop));
		assert_true(run_name_equal(&stop, n ? &second : &first));
		run_table_stop_acked(table, &stop, 12);
	}
	assert_false(run_table_next_stop(table, 12, &stop));
	apply_lists(table, &running, 1, NULL, 0, 12, 13, NULL);
	assert_result(table, 1, RUN_OUTCOME_NOT_STARTED);
	assert_no_result(table);
	apply_lists(table, NULL, 0, NULL, 0, 60, 61, NULL);
	assert_result(table, 0, RUN_OUTCOME_STOPPED);
	assert_no_result(table);
	run_table_destroy(table);
}

/* A restarted server has forgotten the stops that it acknowledged before, and
 * may carry the start out late. */
static void test_server_restart_forgets_stops(void **state)
{
	struct run_table *table = make_table(9000);
	struct run_name name = name_of(0, 1), stop;
	uint32_t running = 0;

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	start_next(table, 1);
	run_table_start_unanswered(table, &name);
	assert_true(run_table_next_stop(table, 60, &stop));
	run_table_stop_acked(table, &name, 61);
	run_table_server_restarted(table, 500);
	assert_int_equal(run_table_stop_age_ms(table, 501), 1);
	apply_lists(table, &running, 1, NULL, 0, 500, 501, NULL);
	assert_true(run_table_next_stop(table, 502, &stop));
	run_table_stop_acked(table, &name, 503);
	apply_lists(table, NULL, 0, NULL, 0, 503, 504, NULL);
	assert_result(table, 0, RUN_OUTCOME_STOPPED);
	run_table_destroy(table);
}

static void test_runs_of_a_lost_dispatcher(void **state)
{
	struct run_table *table = make_table(1000);
	struct run_name name = name_of(0, 1), kept = name_of(1, 1), stop;

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	enqueue(table, 1, 1000, 1, 0);
	enqueue(table, 2, 1000, 2, 0);
	start_next(table, 1);
	run_table_start_answered(table, &name, RUN_ACCEPTED, 2);
	run_table_stop_others(table, DISPATCHER + 1, NULL, 0);
	assert_no_result(table);
	run_table_stop_others(table, DISPATCHER, &kept, 1);
	assert_result(table, 2, RUN_OUTCOME_NOT_STARTED);
	assert_true(run_table_next_stop(table, 3, &stop));
	assert_true(run_name_equal(&stop, &name));
	assert_true(run_table_has(table, DISPATCHER, &kept));
	run_table_destroy(table);
}

/* Guards against runs of two dispatchers being taken for one when their names
 * are the same: a job was sent to both. */
static void test_runs_of_two_dispatchers_under_one_name(void **state)
{
	struct run_table *table = make_table(4000);
	struct run_name name = name_of(0, 1), stop;
	struct run_request other = { .name = name,
				     .dispatcher = DISPATCHER + 1,
				     .spec = g_bytes_new("x", 1),
				     .cpu_milli = 1000,
				     .memory_mb = 1,
				     .deadline_ms = 10000,
				     .lease_end_ms = 10000 };
	struct run_result result;
	g_autoptr(GPtrArray) running = g_ptr_array_new();

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	start_next(table, 1);
	run_table_start_answered(table, &name, RUN_ACCEPTED, 2);
	assert_false(run_table_has(table, DISPATCHER + 1, &name));
	run_table_enqueue(table, &other, 3);
	assert_true(run_table_has(table, DISPATCHER + 1, &name));
	/* The second run waits until the first has ended, also with a target
	 * start before that of others. */
	assert_int_equal(start_next(table, 4), NONE);
	enqueue(table, 1, 1000, 5, 5);
	assert_int_equal(start_next(table, 6), 1);
	/* A listed run of that name is the first one. */
	apply_lists(table, (uint32_t[]){ 0, 1 }, 2, NULL, 0, 6, 6, NULL);
	run_table_list_running(table, running);
	assert_int_equal(running->len, 2);
	/* An order of one dispatcher doesn't stop the other one's run. */
	run_table_stop(table, DISPATCHER + 1, &name);
	assert_false(run_table_next_stop(table, 7, &stop));
	assert_true(run_table_pop_result(table, &result));
	assert_int_equal(result.dispatcher, DISPATCHER + 1);
	assert_int_equal(result.outcome, RUN_OUTCOME_NOT_STARTED);
	assert_true(run_table_has(table, DISPATCHER, &name));
	/* An end that the server lists is that of the started run. */
	run_table_enqueue(table, &other, 8);
	apply_lists(table, NULL, 0,
		    &(struct listed_run_end){ 1, name, RUN_END_DONE }, 1, 8, 9,
		    NULL);
	assert_result(table, 0, RUN_OUTCOME_DONE);
	assert_int_equal(start_next(table, 10), 0);
	g_bytes_unref(other.spec);
	run_table_destroy(table);
}

/* While a server drains, queued runs are returned and running ones go on. */
static void test_drain_returns_queued_runs(void **state)
{
	struct run_table *table = make_table(1000);
	struct run_name running = name_of(0, 1);

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	enqueue(table, 1, 1000, 1, 0);
	start_next(table, 1);
	run_table_start_answered(table, &running, RUN_ACCEPTED, 2);
	run_table_return_queued(table);
	assert_result(table, 1, RUN_OUTCOME_NOT_STARTED);
	assert_no_result(table);
	assert_true(run_table_has(table, DISPATCHER, &running));
	run_table_destroy(table);
}

/* A run that can't start goes back to its dispatcher in time to start at
 * another server. One that only waits for a pause after a refusal stays. */
static void test_blocked_runs_go_back(void **state)
{
	static const struct {
		const char *what;
		uint32_t running_cpu_milli;
		int64_t asked_ms;
		int expected_start; /* index, or NONE */
		bool expected_back;
	} cases[] = {
		{ "free capacity at once", 500, 1, 1, false },
		{ "no capacity for a short time", 600, 12, NONE, false },
		{ "no capacity for long", 600, 13, NONE, true },
		{ "free capacity after a long pause", 500, 40, 1, false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct run_table *table = make_table(1000);
		struct run_name running = name_of(0, 1);

		enqueue(table, 0, cases[i].running_cpu_milli, 0, 0);
		start_next(table, 0);
		run_table_start_answered(table, &running, RUN_ACCEPTED, 0);
		enqueue(table, 1, 500, 0, 0);
		assert_int_equal(start_next(table, cases[i].asked_ms),
				 cases[i].expected_start);
		if (cases[i].expected_back)
			assert_result(table, 1, RUN_OUTCOME_NOT_STARTED);
		assert_no_result(table);
		run_table_destroy(table);
	}
}

/* Guards against a run that is taken for lost, or started again, because its
 * entry in a list can't be read in full. */
static void test_listed_run_without_a_number(void **state)
{
	struct run_table *table = make_table(1000);
	struct run_name name = name_of(0, 1), unreadable = name_of(0, 0);
	struct run_lists lists = {
		.running = g_array_new(FALSE, TRUE, sizeof(struct run_name)),
		.ended = g_array_new(FALSE, TRUE, sizeof(struct listed_run_end))
	};
	GArray *unknown_runs =
		g_array_new(FALSE, FALSE, sizeof(struct run_name));

	(void)state;
	enqueue(table, 0, 1000, 0, 0);
	start_next(table, 1);
	run_table_start_answered(table, &name, RUN_ACCEPTED, 2);
	g_array_append_val(lists.running, unreadable);
	unreadable.index = 7;
	g_array_append_val(lists.running, unreadable);
	for (int64_t now_ms = 10; now_ms < 100; now_ms += 10)
		run_table_apply_lists(table, &lists, now_ms, now_ms + 1,
				      unknown_runs);
	assert_true(run_table_has(table, DISPATCHER, &name));
	assert_no_result(table);
	assert_int_equal(unknown_runs->len, 0);
	assert_false(run_table_has_unknown_runs(table));
	g_array_unref(unknown_runs);
	run_lists_clear(&lists);
	run_table_destroy(table);
}

/* Guards against ends that a server forgets before they were listed, because an
 * odd position was acknowledged. */
static void test_positions_far_ahead(void **state)
{
	static const struct {
		const char *what;
		uint64_t known, listed[3], expected;
	} cases[] = {
		{ "none listed", 7, { 0 }, 7 },
		{ "the next ones", 7, { 8, 9 }, 9 },
		{ "in any order", 7, { 9, 8 }, 9 },
		{ "an old list", 7, { 5, 6 }, 7 },
		{ "one far ahead", 7, { 8, 1000000, 9 }, 9 },
		{ "only one far ahead", 7, { 1000000 }, 7 },
		{ "the first list of an agent",
		  0,
		  { 5000000, 5000001 },
		  5000001 },
		{ "the first list, one far ahead", 0, { 58, 59, 1000000 }, 59 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct run_lists lists = {
			.running = g_array_new(FALSE, TRUE,
					       sizeof(struct run_name)),
			.ended = g_array_new(FALSE, TRUE,
					     sizeof(struct listed_run_end))
		};
		uint64_t position = cases[i].known;

		for (size_t k = 0; k < 3 && cases[i].listed[k]; k++) {
			struct listed_run_end end = {
				.position = cases[i].listed[k]
			};

			g_array_append_val(lists.ended, end);
		}
		run_lists_raise_position(&lists, &position);
		if (position != cases[i].expected)
			fail_msg("%s: %d", cases[i].what, (int)position);
		run_lists_clear(&lists);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_blocked_runs_go_back),
		cmocka_unit_test(test_starts_in_order_within_capacity),
		cmocka_unit_test(test_shrunk_capacity),
		cmocka_unit_test(test_duplicate_request_is_one_run),
		cmocka_unit_test(test_a_run_past_its_deadline_never_starts),
		cmocka_unit_test(test_start_answers),
		cmocka_unit_test(test_unanswered_start),
		cmocka_unit_test(test_stop_is_retried_until_acknowledged),
		cmocka_unit_test(test_failures_in_a_row),
		cmocka_unit_test(test_stop_during_a_start),
		cmocka_unit_test(test_ended_unknown_and_missing_runs),
		cmocka_unit_test(test_lease_expired),
		cmocka_unit_test(test_server_restart),
		cmocka_unit_test(test_server_restart_forgets_stops),
		cmocka_unit_test(test_runs_of_a_lost_dispatcher),
		cmocka_unit_test(test_listed_run_without_a_number),
		cmocka_unit_test(test_positions_far_ahead),
		cmocka_unit_test(test_runs_of_two_dispatchers_under_one_name),
		cmocka_unit_test(test_drain_returns_queued_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
