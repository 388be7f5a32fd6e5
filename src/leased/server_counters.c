/*
 * server_counters: the counters of the client of a backend server.
 */
#include "leased/server_internal.h"

void server_get_counters(struct server *s)
{
	s->starts = counter_get("run_starts_total", NULL,
				"starts sent to backend servers");
	s->unanswered =
		counter_get("run_calls_unanswered_total", NULL,
			    "calls of backend servers without an answer");
	s->expirations = counter_get("server_leases_ended_total", NULL,
				     "leases of backend servers let end");
	s->fence_refusals =
		counter_get("server_fences_refused_total", NULL,
			    "fencing tokens that a backend server refused");
	s->unknown_runs_stopped =
		counter_get("unknown_runs_stopped_total", NULL,
			    "stops of runs that the agent did not expect");
	s->runs_in_stale_lists = counter_get(
		"runs_in_stale_lists_total", NULL,
		"runs in lists of backend servers that were overtaken");
}
