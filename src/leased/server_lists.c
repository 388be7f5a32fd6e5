/*
 * server_lists: what follows from a backend server's lists beyond the run
 * table: the newest end seen, and runs that this agent does not know.
 */
#include "leased/server_internal.h"

#include "base/logger.h"

void server_record_end_positions(struct server *s,
				 const struct run_lists *lists)
{
	for (guint i = 0; i < lists->ended->len; i++) {
		uint64_t position =
			g_array_index(lists->ended, struct listed_run_end, i)
				.position;

		s->last_end_position = MAX(s->last_end_position, position);
	}
}

void server_stop_unknown_runs(struct server *s, const GArray *unknown_runs,
			      int64_t now_ms)
{
	for (guint i = 0; i < unknown_runs->len; i++) {
		const struct run_name *name =
			&g_array_index(unknown_runs, struct run_name, i);

		log_event(LOG_WARN, "stranger_stopped",
			  "server=%s job=%s index=%u number=%u", s->report.name,
			  name->job, name->index, name->number);
		server_send_stop(s, name, now_ms);
	}
}
