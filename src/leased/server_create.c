/*
 * server_create: creation and destruction of the client of a backend server.
 */
#include "leased/server_internal.h"

#include "base/clock.h"

static void get_counters(struct server *s)
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
	s->list_entries_unreadable =
		counter_get("list_entries_unreadable_total", NULL,
			    "entries in lists of backend servers that were "
			    "left out");
	s->calls_unwritable =
		counter_get("run_calls_unwritable_total", NULL,
			    "calls of backend servers that can't be encoded");
}

void server_set_address(struct server *s)
{
	g_free(s->url);
	g_free(s->incarnation_header);
	s->url = g_strdup_printf("http://%s", s->report.address);
	s->incarnation_header = s->options.formats->write_incarnation_header(
		s->report.name, s->report.start_time_ms);
}

struct server *server_create(const struct server_options *options,
			     const struct server_report *report, int64_t now_ms)
{
	struct server *s = g_new0(struct server, 1);

	s->options = *options;
	s->report = *report;
	s->runs = run_table_create();
	s->share = capacity_share_create(g_str_hash(report->name));
	s->last_report_ms = now_ms;
	s->previous_runs.ends_ms = options->previous_runs_end_ms;
	get_counters(s);
	run_table_set_capacity(s->runs, &report->capacity);
	server_lease_init(&s->lease, now_ms);
	server_lease_answered(&s->lease, report->clock_ms, clock_now_ms());
	server_fence_init(&s->fence, options->fence_token);
	server_incarnation_begin(&s->incarnation, report->start_time_ms);
	server_incarnation_reported(&s->incarnation, report->seq,
				    report->clock_ms);
	server_set_address(s);
	return s;
}

void server_destroy(struct server *s)
{
	if (!s)
		return;
	run_table_destroy(s->runs);
	capacity_share_destroy(s->share);
	g_free(s->url);
	g_free(s->incarnation_header);
	g_free(s);
}

const struct server_report *server_last_report(const struct server *s)
{
	return &s->report;
}

struct run_table *server_runs(struct server *s)
{
	return s->runs;
}

struct capacity_share *server_capacity_share(struct server *s)
{
	return s->share;
}
