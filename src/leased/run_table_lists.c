/*
 * run_table_lists: applies a server's lists to the run table: ended runs,
 * unknown runs, which are not in the table, and runs that the server has lost.
 * It also lists the runs in progress.
 */
#include "leased/run_table_internal.h"

/* A run that this many consecutive polls don't list has ended. */
#define MISSING_POLLS_MAX 2

/* ---- Lists of the table --------------------------------------------- */

void run_table_list_running(const struct run_table *table, GPtrArray *requests)
{
	for (guint i = 0; i < table->runs->len; i++) {
		struct run *run = run_table_at(table, i);

		if (run->started_ms && run->state != RUN_STOPPED)
			g_ptr_array_add(requests, &run->request);
	}
}

/* ---- Lists of the server -------------------------------------------- */

static enum run_outcome outcome_from_end(enum run_end_status end_status)
{
	switch (end_status) {
	case RUN_END_DONE:
		return RUN_OUTCOME_DONE;
	case RUN_END_FAILED:
		return RUN_OUTCOME_FAILED;
	default:
		return RUN_OUTCOME_STOPPED;
	}
}

static void finish_ended_runs(struct run_table *table,
			      const struct run_lists *lists, int64_t now_ms)
{
	for (guint i = 0; i < lists->ended->len; i++) {
		const struct listed_run_end *end =
			&g_array_index(lists->ended, struct listed_run_end, i);
		enum run_outcome outcome = outcome_from_end(end->end_status);
		guint position;

		if (run_table_find(table, &end->name, &position))
			run_table_finish_at(table, position, outcome, now_ms);
		ended_runs_add_listed(&table->ended, &end->name, outcome,
				      now_ms);
	}
}

/* A listed run whose number can't be read may be any one of its task. */
static bool is_listed(const struct run_lists *lists,
		      const struct run_name *name)
{
	for (guint i = 0; i < lists->running->len; i++) {
		struct run_name listed =
			g_array_index(lists->running, struct run_name, i);

		if (!listed.number)
			listed.number = name->number;
		if (run_name_equal(&listed, name))
			return true;
	}
	return false;
}

/* Handles a run that the server lists neither as running nor as ended, in a
 * poll that was sent after its start or stop was acknowledged. A stopped run
 * that was never seen to start never ran; a running one is lost if further
 * polls don't list it either. A run that is still being stopped would be listed
 * as running. */
static void handle_missing_run(struct run_table *table, guint position,
			       int64_t sent_ms, int64_t now_ms)
{
	struct run *run = run_table_at(table, position);

	if (run->state == RUN_STOPPED && sent_ms >= run->stop_acked_ms)
		run_table_finish_at(table, position,
				    run->started_ms || run->lost_ms
					    ? run_table_cut_outcome(run)
					    : RUN_OUTCOME_NOT_STARTED,
				    now_ms);
	else if (run->state == RUN_RUNNING && sent_ms > run->started_ms &&
		 ++run->polls_missing >= MISSING_POLLS_MAX)
		run_table_finish_at(table, position, RUN_OUTCOME_STOPPED,
				    now_ms);
}

static void collect_unknown_runs(const struct run_table *table,
				 const struct run_lists *lists,
				 GArray *unknown_runs)
{
	for (guint i = 0; i < lists->running->len; i++) {
		const struct run_name *name =
			&g_array_index(lists->running, struct run_name, i);

		if (name->number && !run_table_find(table, name, NULL))
			g_array_append_val(unknown_runs, *name);
	}
}

/* True if one of these runs may be running: a list in which its end was shown
 * is newer than the one that lists it as running. */
static bool any_may_run(const struct run_table *table,
			const GArray *unknown_runs, int64_t now_ms)
{
	for (guint i = 0; i < unknown_runs->len; i++) {
		const struct ended_run *known = ended_runs_find(
			&table->ended,
			&g_array_index(unknown_runs, struct run_name, i),
			now_ms);

		if (!known || !known->end_listed)
			return true;
	}
	return false;
}

void run_table_apply_lists(struct run_table *table,
			   const struct run_lists *lists, int64_t sent_ms,
			   int64_t now_ms, GArray *unknown_runs)
{
	table->now_ms = now_ms;
	finish_ended_runs(table, lists, now_ms);
	for (guint i = table->runs->len; i-- > 0;) {
		struct run *run = run_table_at(table, i);

		if (!is_listed(lists, &run->request.name)) {
			handle_missing_run(table, i, sent_ms, now_ms);
			continue;
		}
		run->polls_missing = 0;
		run->listed = true;
		run->seen_ms = now_ms;
		run->lost_ms = 0;
		if (!run->started_ms && run->state != RUN_QUEUED)
			run->started_ms = now_ms;
	}
	collect_unknown_runs(table, lists, unknown_runs);
	table->unknown_listed = any_may_run(table, unknown_runs, now_ms);
}

/* ---- Runs in progress ----------------------------------------------- */

void run_table_list_progress(const struct run_table *table, int64_t now_ms,
			     GArray *progress)
{
	for (guint i = 0; i < table->runs->len; i++) {
		const struct run *run = run_table_at(table, i);
		struct run_progress p = { .expected_ms =
						  run->request.expected_ms };

		if (run->state != RUN_RUNNING)
			continue;
		g_strlcpy(p.job, run->request.name.job, sizeof(p.job));
		p.ran_ms = (uint32_t)MAX(now_ms - run->started_ms, 0);
		g_array_append_val(progress, p);
	}
}
