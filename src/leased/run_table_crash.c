/*
 * run_table_crash: the runs that are lost with a crash of their server.
 */
#include "leased/run_table_internal.h"

/* A run whose stop was acknowledged had ended, and a start that was sent later
 * can't have arrived. */
static bool may_be_lost(const struct run *run, int64_t crashed_ms)
{
	return run->may_have_started && run->state != RUN_STOPPED &&
	       !run->lost_ms && run->start_sent_ms <= crashed_ms;
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

void run_table_server_crashed(struct run_table *table, int64_t crashed_ms,
			      GArray *losses)
{
	for (guint i = 0; i < table->runs->len; i++) {
		struct run *run = run_table_at(table, i);
		struct run_loss loss = { .losses = run->request.losses };

		if (!may_be_lost(run, crashed_ms))
			continue;
		run->lost_ms = crashed_ms;
		loss.ran_ms = run_table_lost_after_ms(run);
		g_strlcpy(loss.class_name, run->request.class_name,
			  sizeof(loss.class_name));
		g_array_append_val(losses, loss);
		note_lost(table, run);
	}
	g_array_sort(losses, compare_ages);
}
