/*
 * server: see server.h. At most one long poll is in flight. The server holds
 * it until a run ends or the wait time is over. While anything runs, the next
 * long poll follows at once.
 */
#include "leased/server.h"

#include "base/counters.h"
#include "base/logger.h"
#include "leased/leases.h"
#include "leased/server_crash.h"
#include "leased/server_lease.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define HTTP_STATUS_OK 200
/* How long the server may hold a long poll while waiting for a run to end. */
#define POLL_WAIT_MS 80
/* Added to the wait time to get the timeout of a poll. */
#define POLL_TIMEOUT_MARGIN_MS 60
/* Between polls that the server answers at once. */
#define POLL_NOW_INTERVAL_MS 15
/* Timeout of a start or stop call. */
#define CALL_TIMEOUT_MS 60
/* After a stop is unacknowledged for this long, the lease is left to expire. */
#define STOP_ACK_TIMEOUT_MS 150
/* A server that neither answers nor reports for this long is removed. */
#define SERVER_EXPIRY_MS 10000

/* ---- Types ---------------------------------------------------------- */

struct server {
	struct server_options options;
	struct server_report report;
	struct run_table *runs;
	struct capacity_share *share;
	struct server_lease lease;
	struct server_crash crash;
	char *url; /* "http://ip:port" */
	char *incarnation_header;
	uint64_t last_end_position; /* of the newest end that was processed */
	uint32_t open_calls; /* in flight */
	bool poll_open; /* a CALL_POLL is in flight */
	int64_t poll_now_sent_ms; /* last CALL_POLL_NOW */
	bool has_left; /* the server announced that it leaves */
	bool expiring_lease; /* not renewed until the lease has ended */
	int64_t last_report_ms;
	int64_t poll_sent_ms; /* last CALL_POLL */
	struct server_backoff backoff;
	struct server_previous_runs previous_runs;
	uint64_t restarts; /* of the server, as seen by this agent */
	struct counter *starts, *unanswered, *expirations;
};

enum call_kind {
	CALL_START,
	CALL_STOP,
	CALL_POLL, /* may wait at the server for a run to end */
	CALL_POLL_NOW, /* is answered at once */
};

struct call {
	struct server *server;
	enum call_kind kind;
	struct run_name name;
	int64_t sent_ms;
	uint64_t restarts; /* of the server when the call was sent */
};

/* ---- Lifecycle ------------------------------------------------------ */

static void set_address(struct server *s)
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
	s->starts = counter_get("run_starts_total", NULL,
				"starts sent to backend servers");
	s->unanswered =
		counter_get("run_calls_unanswered_total", NULL,
			    "calls of backend servers without an answer");
	s->expirations = counter_get("server_leases_ended_total", NULL,
				     "leases of backend servers let end");
	run_table_set_capacity(s->runs, &report->capacity);
	server_lease_init(&s->lease, now_ms);
	server_lease_answered(&s->lease, report->clock_ms, now_ms);
	set_address(s);
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

bool server_accepting(const struct server *s, int64_t now_ms)
{
	return !s->report.draining && !s->has_left && !s->expiring_lease &&
	       server_previous_runs_have_ended(&s->previous_runs, now_ms) &&
	       !server_lease_is_unresponsive(&s->lease, now_ms) &&
	       !server_crash_get(&s->crash) &&
	       server_backoff_has_elapsed(&s->backoff, now_ms);
}

bool server_is_expired(const struct server *s, int64_t now_ms)
{
	return !s->open_calls && run_table_is_idle(s->runs) &&
	       now_ms - s->last_report_ms >= SERVER_EXPIRY_MS &&
	       (s->has_left ||
		now_ms - s->lease.answered_ms >= SERVER_EXPIRY_MS);
}

/* ---- Reports -------------------------------------------------------- */

static void begin_incarnation(struct server *s, int64_t start_time_ms,
			      int64_t now_ms)
{
	log_event(LOG_WARN, "server_restarted",
		  "server=%s born_ms=%" PRId64 " before_ms=%" PRId64,
		  s->report.name, start_time_ms, s->report.start_time_ms);
	server_crash_lose_runs(&s->crash, SERVER_CRASH_RESTARTED, &s->report,
			       s->runs, now_ms);
	s->crash = (struct server_crash){ 0 };
	s->report.start_time_ms = start_time_ms;
	s->last_end_position = 0;
	s->has_left = false;
	s->restarts++;
	run_table_server_restarted(s->runs, now_ms);
	server_lease_server_restarted(&s->lease);
}

bool server_apply_report(struct server *s, const struct server_report *report,
			 int64_t now_ms)
{
	bool same_incarnation = report->start_time_ms ==
				s->report.start_time_ms;
	bool was_draining = s->report.draining;

	if (report->start_time_ms < s->report.start_time_ms ||
	    (same_incarnation && report->seq <= s->report.seq))
		return false;
	if (!same_incarnation)
		begin_incarnation(s, report->start_time_ms, now_ms);
	s->report = *report;
	s->last_report_ms = now_ms;
	set_address(s);
	run_table_set_capacity(s->runs, &report->capacity);
	if (s->lease.clock_read_ms == INT64_MIN ||
	    now_ms - s->lease.clock_read_ms > SERVER_IDLE_POLL_INTERVAL_MS)
		server_lease_answered(&s->lease, report->clock_ms, now_ms);
	if (report->draining && !was_draining) {
		log_event(LOG_INFO, "server_draining", "server=%s seq=%" PRIu64,
			  report->name, report->seq);
		run_table_return_queued(s->runs);
	}
	s->options.changed(s->options.arg, s);
	return true;
}

void server_check_replaced(struct server *s, const struct server_report *other,
			   int64_t now_ms)
{
	server_crash_check_report(&s->crash, &s->report, other, now_ms);
}

void server_mark_left(struct server *s)
{
	s->has_left = true;
	s->crash.has_left = true;
	log_event(LOG_INFO, "server_left", "server=%s", s->report.name);
	run_table_return_queued(s->runs);
	s->options.changed(s->options.arg, s);
}

/* ---- Answers -------------------------------------------------------- */

static void record_contact(struct server *s, int64_t clock_ms, int64_t now_ms)
{
	if (s->lease.unanswered_since_ms)
		log_event(LOG_INFO, "server_answers",
			  "server=%s silent_ms=%" PRId64, s->report.name,
			  now_ms - s->lease.unanswered_since_ms);
	server_lease_answered(&s->lease, clock_ms, now_ms);
	server_crash_answered(&s->crash);
}

static void handle_start_answer(struct server *s, const struct call *call,
				const struct http_answer *answer,
				int64_t now_ms)
{
	int64_t clock_ms = -1;
	enum run_refusal refusal = s->options.formats->read_start(
		answer->status, answer->body, answer->size_bytes, &clock_ms);

	if (call->restarts != s->restarts)
		return;
	/* Another server answers in place of one that was replaced. */
	if (clock_ms >= 0 && refusal != RUN_OTHER_INCARNATION)
		record_contact(s, clock_ms, now_ms);
	if (refusal != RUN_ACCEPTED)
		log_event(LOG_INFO, "start_refused",
			  "server=%s job=%s index=%u number=%u refusal=%d",
			  s->report.name, call->name.job, call->name.index,
			  call->name.number, refusal);
	if (refusal == RUN_UNHEALTHY)
		server_backoff_increase(&s->backoff, now_ms);
	else if (refusal == RUN_ACCEPTED)
		server_backoff_reset(&s->backoff);
	run_table_start_answered(s->runs, &call->name, refusal, now_ms);
}

static void handle_stop_answer(struct server *s, const struct call *call,
			       const struct http_answer *answer, int64_t now_ms)
{
	int64_t clock_ms = -1;
	enum run_refusal refusal = s->options.formats->read_start(
		answer->status, answer->body, answer->size_bytes, &clock_ms);

	if (call->restarts != s->restarts || refusal != RUN_ACCEPTED)
		return;
	if (clock_ms >= 0)
		record_contact(s, clock_ms, now_ms);
	run_table_stop_acked(s->runs, &call->name, now_ms);
}

static void send_stop(struct server *s, const struct run_name *name,
		      int64_t now_ms);

static void stop_unknown_runs(struct server *s, const GArray *unknown_runs,
			      int64_t now_ms)
{
	for (guint i = 0; i < unknown_runs->len; i++) {
		const struct run_name *name =
			&g_array_index(unknown_runs, struct run_name, i);

		log_event(LOG_WARN, "stranger_stopped",
			  "server=%s job=%s index=%u number=%u", s->report.name,
			  name->job, name->index, name->number);
		send_stop(s, name, now_ms);
	}
}

static void handle_poll_answer(struct server *s, const struct call *call,
			       const struct http_answer *answer, int64_t now_ms)
{
	g_autoptr(GArray) unknown_runs =
		g_array_new(FALSE, FALSE, sizeof(struct run_name));
	struct run_lists lists;

	if (call->restarts != s->restarts || answer->status != HTTP_STATUS_OK ||
	    !s->options.formats->read_lists(answer->body, answer->size_bytes,
					    &lists))
		return;
	if (lists.start_time_ms &&
	    lists.start_time_ms != s->report.start_time_ms) {
		if (lists.start_time_ms > s->report.start_time_ms)
			begin_incarnation(s, lists.start_time_ms, now_ms);
		run_lists_clear(&lists);
		return;
	}
	record_contact(s, lists.clock_ms, now_ms);
	run_table_apply_lists(s->runs, &lists, call->sent_ms, now_ms,
			      unknown_runs);
	run_lists_raise_position(&lists, &s->last_end_position);
	server_previous_runs_listed(&s->previous_runs, unknown_runs->len);
	stop_unknown_runs(s, unknown_runs, now_ms);
	run_lists_clear(&lists);
}

static void handle_no_answer(struct server *s, const struct call *call,
			     const struct http_answer *answer, int64_t now_ms)
{
	counter_add(s->unanswered, 1);
	if (call->restarts != s->restarts)
		return;
	server_crash_call_failed(&s->crash, answer, now_ms);
	server_crash_lose_runs(&s->crash, server_crash_get(&s->crash),
			       &s->report, s->runs, now_ms);
	server_lease_unanswered(&s->lease, call->sent_ms);
	if (call->kind == CALL_START && server_crash_never_sent(answer))
		run_table_start_not_sent(s->runs, &call->name, now_ms);
	else if (call->kind == CALL_START)
		run_table_start_unanswered(s->runs, &call->name);
}

static void on_answer(void *arg, const struct http_answer *answer)
{
	struct call *call = arg;
	struct server *s = call->server;
	int64_t now_ms = loop_now_ms(s->options.loop);

	s->open_calls--;
	if (call->kind == CALL_POLL)
		s->poll_open = false;
	if (answer->result != HTTP_OK)
		handle_no_answer(s, call, answer, now_ms);
	else if (call->kind == CALL_START)
		handle_start_answer(s, call, answer, now_ms);
	else if (call->kind == CALL_STOP)
		handle_stop_answer(s, call, answer, now_ms);
	else
		handle_poll_answer(s, call, answer, now_ms);
	g_free(call);
	server_process(s, now_ms);
	s->options.changed(s->options.arg, s);
}

/* ---- Calls ---------------------------------------------------------- */

static void send_call(struct server *s, enum call_kind kind,
		      const struct run_name *name, struct run_call *encoded,
		      int64_t timeout_ms, int64_t now_ms)
{
	g_autofree char *url = g_strconcat(s->url, encoded->path, NULL);
	const char *headers[] = { "Content-Type: application/json",
				  s->incarnation_header, NULL };
	struct http_call http = { .method = "POST",
				  .url = url,
				  .body = encoded->body,
				  .size_bytes = encoded->size_bytes,
				  .headers = headers,
				  .timeout_ms = timeout_ms,
				  .connect_ms = timeout_ms };
	struct call *call = g_new0(struct call, 1);

	call->server = s;
	call->kind = kind;
	call->sent_ms = now_ms;
	call->restarts = s->restarts;
	if (name)
		call->name = *name;
	s->open_calls++;
	http_client_call(s->options.client, &http, on_answer, call);
	run_call_clear(encoded);
}

static void send_start(struct server *s, const struct run_request *run,
		       int64_t now_ms)
{
	struct run_call encoded;

	counter_add(s->starts, 1);
	s->options.formats->write_start(&run->name, run->spec,
					server_lease_renew(&s->lease, now_ms),
					&encoded);
	send_call(s, CALL_START, &run->name, &encoded, CALL_TIMEOUT_MS, now_ms);
}

static void send_stop(struct server *s, const struct run_name *name,
		      int64_t now_ms)
{
	struct run_call encoded;

	s->options.formats->write_stop(name, &encoded);
	send_call(s, CALL_STOP, name, &encoded, CALL_TIMEOUT_MS, now_ms);
}

static void send_poll(struct server *s, enum call_kind kind, bool renew,
		      int64_t now_ms)
{
	bool waits = kind == CALL_POLL && !run_table_is_idle(s->runs);
	uint32_t wait_ms = waits ? POLL_WAIT_MS : 0;
	int64_t lease_end_ms = renew ? server_lease_renew(&s->lease, now_ms)
				     : 0;
	struct run_call encoded;

	s->options.formats->write_poll(lease_end_ms, s->last_end_position,
				       wait_ms, &encoded);
	send_call(s, kind, NULL, &encoded, wait_ms + POLL_TIMEOUT_MARGIN_MS,
		  now_ms);
}

/* ---- Periodic work -------------------------------------------------- */

/* Stops renewing the lease if a stop is not acknowledged or the server does
 * not answer or has crashed: when the lease ends, so does every run on the
 * server. */
static void expire_lease(struct server *s, int64_t now_ms)
{
	bool must_expire = server_lease_is_unresponsive(&s->lease, now_ms) ||
			   server_crash_get(&s->crash) ||
			   run_table_stop_age_ms(s->runs, now_ms) >
				   STOP_ACK_TIMEOUT_MS;

	if (must_expire && !s->expiring_lease && !run_table_is_idle(s->runs)) {
		s->expiring_lease = true;
		counter_add(s->expirations, 1);
		log_event(LOG_WARN, "server_lease_let_end",
			  "server=%s silent=%d ends_in_ms=%" PRId64,
			  s->report.name,
			  server_lease_is_unresponsive(&s->lease, now_ms),
			  s->lease.expires_ms - now_ms);
		run_table_return_queued(s->runs);
	}
	if (!s->expiring_lease)
		return;
	if (server_lease_has_expired(&s->lease, now_ms)) {
		server_crash_lose_runs(&s->crash, server_crash_get(&s->crash),
				       &s->report, s->runs, now_ms);
		run_table_lease_expired(s->runs, now_ms);
		s->expiring_lease = false;
	} else if (!must_expire && !run_table_stop_age_ms(s->runs, now_ms)) {
		s->expiring_lease = false;
	}
}

static void send_due_starts(struct server *s, int64_t now_ms)
{
	const struct run_request *run;

	while (server_accepting(s, now_ms) &&
	       s->lease.clock_read_ms != INT64_MIN &&
	       (run = run_table_next_start(s->runs, now_ms)))
		send_start(s, run, now_ms);
}

static void send_due_stops(struct server *s, int64_t now_ms)
{
	struct run_name name;

	while (run_table_next_stop(s->runs, now_ms, &name))
		send_stop(s, &name, now_ms);
}

static void poll_if_due(struct server *s, int64_t now_ms)
{
	bool unresponsive = server_lease_is_unresponsive(&s->lease, now_ms);
	bool idle = run_table_is_idle(s->runs);
	int64_t interval_ms = server_lease_poll_interval_ms(
		&s->lease, idle && !s->crash.refused, now_ms);

	if (!unresponsive &&
	    !server_previous_runs_have_ended(&s->previous_runs, now_ms))
		interval_ms = POLL_NOW_INTERVAL_MS;
	if (s->poll_open || s->has_left || s->crash.replaced_ms ||
	    now_ms < s->poll_sent_ms + interval_ms)
		return;
	s->poll_open = true;
	s->poll_sent_ms = now_ms;
	send_poll(s, CALL_POLL, !unresponsive && !s->expiring_lease && !idle,
		  now_ms);
}

/* Only a list made after a stop was acknowledged shows whether the stopped
 * run has ended or never began. */
static void poll_now_if_due(struct server *s, int64_t now_ms)
{
	if (!run_table_awaits_list(s->runs) ||
	    now_ms < s->poll_now_sent_ms + POLL_NOW_INTERVAL_MS)
		return;
	s->poll_now_sent_ms = now_ms;
	send_poll(s, CALL_POLL_NOW, false, now_ms);
}

void server_process(struct server *s, int64_t now_ms)
{
	expire_lease(s, now_ms);
	send_due_starts(s, now_ms);
	send_due_stops(s, now_ms);
	poll_if_due(s, now_ms);
	poll_now_if_due(s, now_ms);
}
