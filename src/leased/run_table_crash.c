/*
 * run_table_crash: the runs that are lost with a crash of their server.
 */
#include "leased/run_table_internal.h"

/* ---- Constants ------------------------------------------------------ */

/* While a server answers, it lists each run in intervals shorter than this, and
 * a refused connection shows its crash soon after. */
#define SEEN_MAX_MS 140

/* ---- Certainty ------------------------------------------------------ */

const char *loss_doubt_name(enum loss_doubt doubt)
{
	static const char *const names[] = {
		[LOSS_UNTOLD] = "untold",
		[LOSS_CONFIRMED] = "none",
		[LOSS_START_UNANSWERED] = "start_unanswered",
		[LOSS_STOP_SENT] = "stop_sent",
		[LOSS_NOT_SEEN] = "not_seen",
		[LOSS_CALLS_UNANSWERED] = "calls_unanswered",
		[LOSS_NOT_LISTED] = "not_listed",
	};

	return doubt < LOSS_DOUBTS ? names[doubt] : names[LOSS_UNTOLD];
}

static enum loss_doubt find_doubt(const struct run *run,
				  const struct crash_sign *sign, int64_t now_ms)
{
	if (!run->started_ms)
		return LOSS_START_UNANSWERED;
	if (run->state != RUN_RUNNING)
		return LOSS_STOP_SENT;
	if (sign->by_next_incarnation && !run->listed)
		return LOSS_NOT_LISTED;
	if (sign->calls_unanswered)
		return LOSS_CALLS_UNANSWERED;
	return now_ms - run->seen_ms > SEEN_MAX_MS ? LOSS_NOT_SEEN
						   : LOSS_CONFIRMED;
}

/* ---- Lost runs ------------------------------------------------------ */

uint32_t run_table_lost_after_ms(const struct run *run)
{
	int64_t began_ms = run->started_ms ? run->started_ms
					   : run->start_sent_ms;

	return (uint32_t)MAX(run->lost_ms - began_ms, 0);
}

enum run_outcome run_table_cut_outcome(const struct run *run)
{
	return run->lost_ms ? RUN_OUTCOME_LOST : RUN_OUTCOME_STOPPED;
}

/* A run whose stop was acknowledged had ended, and a start that was sent later
 * can't have arrived. A start call that is still open may turn out not to have
 * been sent. */
static bool may_be_lost(const struct run *run, int64_t crashed_ms)
{
	return run->may_have_started && run->state != RUN_STOPPED &&
	       run->state != RUN_STARTING && !run->lost_ms &&
	       run->start_sent_ms <= crashed_ms;
}

static int compare_ages(const void *a, const void *b)
{
	const struct run_loss *left = a, *right = b;

	return (left->ran_ms > right->ran_ms) - (left->ran_ms < right->ran_ms);
}

static void note_lost(struct run_table *table, const struct run *run)
{
	struct lost_run lost = { .ran_ms = run_table_lost_after_ms(run),
				 .losses = run->request.losses,
				 .lost_after_ms = run->request.lost_after_ms };

	g_strlcpy(lost.class_name, run->request.class_name,
		  sizeof(lost.class_name));
	g_array_append_val(table->lost, lost);
}

void run_table_server_crashed(struct run_table *table,
			      const struct crash_sign *sign, int64_t now_ms,
			      GArray *losses)
{
	for (guint i = 0; i < table->runs->len; i++) {
		struct run *run = run_table_at(table, i);
		struct run_loss loss = { .losses = run->request.losses };

		if (!may_be_lost(run, sign->crashed_ms))
			continue;
		run->lost_ms = sign->crashed_ms;
		run->loss_doubt = find_doubt(run, sign, now_ms);
		loss.ran_ms = run_table_lost_after_ms(run);
		loss.doubt = run->loss_doubt;
		g_strlcpy(loss.class_name, run->request.class_name,
			  sizeof(loss.class_name));
		g_array_append_val(losses, loss);
		note_lost(table, run);
	}
	g_array_sort(losses, compare_ages);
}

void run_table_server_answered(struct run_table *table)
{
	for (guint i = 0; i < table->runs->len; i++)
		run_table_at(table, i)->lost_ms = 0;
}
