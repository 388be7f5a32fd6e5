/*
 * server_lists: what follows from a backend server's lists beyond the run
 * table: runs that this agent does not know.
 */
#include "leased/server_internal.h"

#include "base/logger.h"
#include "leased/ended_runs.h"

#include <inttypes.h>

void server_count_unreadable(struct server *s, uint32_t n)
{
	counter_add(s->list_entries_unreadable, n);
	if (n != s->n_unreadable)
		log_event(LOG_WARN, "list_entries_unreadable",
			  "server=%s entries=%u before=%u", s->report.name, n,
			  s->n_unreadable);
	s->n_unreadable = n;
}

static void log_stopped(const struct server *s, const struct run_name *name,
			const struct ended_run *ended, int64_t now_ms)
{
	if (ended)
		log_event(LOG_WARN, "stranger_stopped",
			  "server=%s job=%s index=%u number=%u known=1 "
			  "outcome=%d given_up_ms=%" PRId64,
			  s->report.name, name->job, name->index, name->number,
			  ended->outcome, now_ms - ended->ended_ms);
	else
		log_event(LOG_WARN, "stranger_stopped",
			  "server=%s job=%s index=%u number=%u known=0",
			  s->report.name, name->job, name->index, name->number);
}

uint32_t server_stop_unknown_runs(struct server *s, const GArray *unknown_runs,
				  int64_t now_ms)
{
	uint32_t n_stopped = 0;

	for (guint i = 0; i < unknown_runs->len; i++) {
		const struct run_name *name =
			&g_array_index(unknown_runs, struct run_name, i);
		const struct ended_run *ended =
			run_table_find_ended(s->runs, name, now_ms);

		if (ended && ended->end_listed) {
			counter_add(s->runs_in_stale_lists, 1);
			continue;
		}
		counter_add(s->unknown_runs_stopped, 1);
		log_stopped(s, name, ended, now_ms);
		server_send_stop(s, name, now_ms);
		n_stopped++;
	}
	return n_stopped;
}
