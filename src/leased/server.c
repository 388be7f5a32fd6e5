/*
 * server: see server.h. At most one long poll is in flight. The server holds
 * it until a run ends or the wait time is over. While anything runs, the next
 * long poll follows at once.
 */
#include "leased/server_internal.h"

#include "base/clock.h"
#include "base/logger.h"
#include "leased/leases.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* How long the server may hold a long poll while waiting for a run to end. */
#define POLL_WAIT_MS 80
/* Added to the wait time to get the timeout of a poll. */
#define POLL_TIMEOUT_MARGIN_MS 60
/* Between polls that the server answers at once. */
#define POLL_NOW_INTERVAL_MS 15
/* Timeout of a start or stop call. */
#define CALL_TIMEOUT_MS 60
/* A server that neither answers nor reports for this long is removed. */
#define SERVER_EXPIRY_MS 10000

/* ---- State ---------------------------------------------------------- */

bool server_accepting(const struct server *s, int64_t now_ms)
{
	return !s->report.draining && !s->has_left && !s->lease.expiring &&
	       s->fence.accepted &&
	       server_previous_runs_have_ended(&s->previous_runs, now_ms) &&
	       !server_lease_is_unresponsive(&s->lease, now_ms) &&
	       !server_crash_get(&s->crash) &&
	       server_backoff_has_elapsed(&s->backoff, now_ms) &&
	       server_lease_allows_start(
		       &s->lease, run_table_renew_until_ms(s->runs), now_ms);
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
	server_incarnation_begin(&s->incarnation, start_time_ms);
	s->last_end_position = 0;
	s->has_left = false;
	s->restarts++;
	run_table_server_restarted(s->runs, now_ms);
	server_lease_server_restarted(&s->lease);
	server_raise_token(s, "restart");
}

static void verify_incarnation(struct server *s,
			       const struct server_report *report,
			       int64_t now_ms);

bool server_apply_report(struct server *s, const struct server_report *report,
			 int64_t now_ms)
{
	enum server_message message = server_incarnation_check_report(
		&s->incarnation, report->start_time_ms, report->seq,
		report->clock_ms, now_ms);
	bool was_draining = s->report.draining;

	if (message == SERVER_MESSAGE_UNPROVEN) {
		verify_incarnation(s, report, now_ms);
		return false;
	}
	if (message == SERVER_MESSAGE_NEW)
		begin_incarnation(s, report->start_time_ms, now_ms);
	server_incarnation_reported(&s->incarnation, report->seq,
				    report->clock_ms);
	s->report = *report;
	s->last_report_ms = now_ms;
	server_set_address(s);
	run_table_set_capacity(s->runs, &report->capacity);
	if (s->lease.clock_read_ms == INT64_MIN ||
	    now_ms - s->lease.clock_read_ms > SERVER_IDLE_POLL_INTERVAL_MS)
		server_lease_answered(&s->lease, report->clock_ms,
				      clock_now_ms());
	if (report->draining && !was_draining) {
		run_table_not_crashed(s->runs);
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
	run_table_not_crashed(s->runs);
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
	/* The loop's time may be earlier than the answer. */
	server_lease_answered(&s->lease, clock_ms, clock_now_ms());
	if (s->crash.refused && !s->crash.replaced_ms)
		run_table_not_crashed(s->runs);
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
	if (refusal == RUN_FENCED)
		server_token_refused(s, call);
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

	if (call->restarts != s->restarts)
		return;
	if (refusal == RUN_FENCED)
		server_token_refused(s, call);
	if (refusal != RUN_ACCEPTED)
		return;
	if (clock_ms >= 0)
		record_contact(s, clock_ms, now_ms);
	run_table_stop_acked(s->runs, &call->name, now_ms);
}

static void handle_poll_answer(struct server *s, const struct call *call,
			       const struct http_answer *answer, int64_t now_ms)
{
	g_autoptr(GArray) unknown_runs =
		g_array_new(FALSE, FALSE, sizeof(struct run_name));
	enum server_message message;
	struct run_lists lists;

	if (call->restarts != s->restarts)
		return;
	server_token_polled(s, call, answer);
	s->poll_refused = answer->status != HTTP_STATUS_OK;
	if (answer->status != HTTP_STATUS_OK ||
	    !s->options.formats->read_lists(answer->body, answer->size_bytes,
					    &lists)) {
		if (call->kind != CALL_VERIFY)
			server_lease_unanswered(&s->lease, call->sent_ms);
		return;
	}
	server_count_unreadable(s, lists.n_unreadable);
	message = server_incarnation_check_lists(&s->incarnation,
						 lists.start_time_ms,
						 lists.clock_ms, call->sent_ms);
	if (message == SERVER_MESSAGE_NEW) {
		if (call->kind == CALL_VERIFY)
			g_strlcpy(s->report.address, s->unproven_address,
				  sizeof(s->report.address));
		begin_incarnation(s,
				  lists.start_time_ms ? lists.start_time_ms
						      : s->report.start_time_ms,
				  now_ms);
		server_set_address(s);
		run_lists_clear(&lists);
		return;
	}
	if (message == SERVER_MESSAGE_UNPROVEN)
		verify_incarnation(s, &s->report, now_ms);
	server_incarnation_listed(&s->incarnation, lists.clock_ms,
				  call->sent_ms, now_ms);
	server_lease_poll_answered(&s->lease, call->sent_ms);
	record_contact(s, lists.clock_ms, now_ms);
	run_table_apply_lists(s->runs, &lists, call->sent_ms, now_ms,
			      unknown_runs);
	run_lists_raise_position(&lists, &s->last_end_position);
	server_previous_runs_listed(
		&s->previous_runs,
		server_stop_unknown_runs(s, unknown_runs, now_ms));
	run_lists_clear(&lists);
}

static void handle_no_answer(struct server *s, const struct call *call,
			     const struct http_answer *answer, int64_t now_ms)
{
	counter_add(s->unanswered, 1);
	if (call->restarts != s->restarts || call->kind == CALL_VERIFY)
		return;
	server_crash_call_failed(&s->crash, answer, now_ms);
	server_lease_unanswered(&s->lease, call->sent_ms);
	server_lease_call_failed(&s->lease, now_ms);
	if (call->kind == CALL_START && server_crash_never_sent(answer))
		run_table_start_not_sent(s->runs, &call->name, now_ms);
	else if (call->kind == CALL_START)
		run_table_start_unanswered(s->runs, &call->name);
	server_crash_lose_runs(&s->crash, server_crash_get(&s->crash),
			       &s->report, s->runs, now_ms);
}

static void on_answer(void *arg, const struct http_answer *answer)
{
	struct call *call = arg;
	struct server *s = call->server;
	int64_t now_ms = loop_now_ms(s->options.loop);

	s->open_calls--;
	if (http_client_is_ending(s->options.client)) {
		g_free(call);
		return;
	}
	if (call->kind == CALL_POLL)
		s->poll_open = false;
	if (call->kind == CALL_VERIFY)
		s->verify_open = false;
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
	g_autofree char *url =
		kind == CALL_VERIFY
			? g_strconcat("http://", s->unproven_address,
				      encoded->path, NULL)
			: g_strconcat(s->url, encoded->path, NULL);
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
	call->fence = s->fence.token;
	call->restarts = s->restarts;
	if (name)
		call->name = *name;
	s->open_calls++;
	http_client_call(s->options.client, &http, on_answer, call);
	run_call_clear(encoded);
}

static void count_unwritable(struct server *s, const struct run_name *name,
			     const char *call)
{
	counter_add(s->calls_unwritable, 1);
	log_event(LOG_ERROR, "run_call_unwritable",
		  "server=%s call=%s job=%s index=%u number=%u", s->report.name,
		  call, name->job, name->index, name->number);
}

static void send_start(struct server *s, const struct run_request *run,
		       int64_t now_ms)
{
	struct run_name name = run->name;
	struct run_call encoded;

	if (!s->options.formats->write_start(
		    &name, run->spec,
		    server_lease_for_start(&s->lease,
					   run_table_renew_until_ms(s->runs),
					   now_ms),
		    s->fence.token, &encoded)) {
		count_unwritable(s, &name, "start");
		run_table_start_answered(s->runs, &name, RUN_MALFORMED, now_ms);
		return;
	}
	counter_add(s->starts, 1);
	send_call(s, CALL_START, &name, &encoded, CALL_TIMEOUT_MS, now_ms);
}

void server_send_stop(struct server *s, const struct run_name *name,
		      int64_t now_ms)
{
	struct run_call encoded;

	if (!s->options.formats->write_stop(name, s->fence.token, &encoded)) {
		/* No start can have been written under this name either. */
		count_unwritable(s, name, "stop");
		run_table_stop_acked(s->runs, name, now_ms);
		return;
	}
	send_call(s, CALL_STOP, name, &encoded, CALL_TIMEOUT_MS, now_ms);
}

static void send_poll(struct server *s, enum call_kind kind,
		      int64_t lease_end_ms, int64_t now_ms)
{
	/* A new incarnation may get this poll: the next renewal waits for the
	 * answer, and ends of the earlier one must not hide those of the new
	 * one. */
	bool unproven = kind == CALL_VERIFY ||
			!server_lease_may_renew(&s->lease);
	bool waits = kind == CALL_POLL && !run_table_is_idle(s->runs) &&
		     !unproven;
	uint32_t wait_ms = waits ? POLL_WAIT_MS : 0;
	struct run_call encoded;

	s->options.formats->write_poll(lease_end_ms, s->fence.token,
				       unproven ? 0 : s->last_end_position,
				       wait_ms, &encoded);
	send_call(s, kind, NULL, &encoded, wait_ms + POLL_TIMEOUT_MARGIN_MS,
		  now_ms);
}

/* A poll that is sent now is answered by the incarnation that exists now. The
 * report may come from another address than the known one. */
static void verify_incarnation(struct server *s,
			       const struct server_report *report,
			       int64_t now_ms)
{
	if (s->verify_open)
		return;
	s->verify_open = true;
	g_strlcpy(s->unproven_address, report->address,
		  sizeof(s->unproven_address));
	send_poll(s, CALL_VERIFY, 0, now_ms);
}

/* ---- Periodic work -------------------------------------------------- */

/* Stops renewing the lease if a stop is not acknowledged or the server does
 * not answer or has crashed: when the lease ends, so does every run on the
 * server. */
static void expire_lease(struct server *s, int64_t now_ms)
{
	int64_t stop_age_ms = run_table_stop_age_ms(s->runs, now_ms);

	s->lease.crashed = server_crash_get(&s->crash) != SERVER_CRASH_NONE;
	if (server_lease_begin_expiry(&s->lease, stop_age_ms,
				      run_table_is_idle(s->runs), now_ms)) {
		counter_add(s->expirations, 1);
		log_event(LOG_WARN, "server_lease_let_end",
			  "server=%s silent=%d ends_in_ms=%" PRId64,
			  s->report.name,
			  server_lease_is_unresponsive(&s->lease, now_ms),
			  s->lease.expires_ms - now_ms);
		run_table_return_queued(s->runs);
	}
	if (server_lease_end_expiry(&s->lease, stop_age_ms, now_ms)) {
		server_crash_lose_runs(&s->crash, server_crash_get(&s->crash),
				       &s->report, s->runs, now_ms);
		run_table_lease_expired(s->runs, now_ms);
		server_raise_token(s, "lease_expired");
	}
}

static void send_due_starts(struct server *s, int64_t now_ms)
{
	const struct run_request *run;

	while (server_accepting(s, now_ms) &&
	       (run = run_table_next_start(s->runs, now_ms)))
		send_start(s, run, now_ms);
}

static void send_due_stops(struct server *s, int64_t now_ms)
{
	struct run_name name;

	while (run_table_next_stop(s->runs, now_ms, &name))
		server_send_stop(s, &name, now_ms);
}

/* Starts or renewals wait for the answer to a poll. */
static bool awaits_poll(const struct server *s, int64_t now_ms)
{
	return s->poll_refused || !server_lease_may_renew(&s->lease) ||
	       run_table_has_unknown_runs(s->runs) ||
	       !server_previous_runs_have_ended(&s->previous_runs, now_ms);
}

static void poll_if_due(struct server *s, int64_t now_ms)
{
	bool unresponsive = server_lease_is_unresponsive(&s->lease, now_ms);
	bool idle = run_table_is_idle(s->runs);
	int64_t interval_ms =
		server_lease_poll_interval_ms(&s->lease, idle, now_ms);

	if (!unresponsive && awaits_poll(s, now_ms))
		interval_ms = POLL_NOW_INTERVAL_MS;
	if (s->poll_open || s->has_left || s->crash.replaced_ms ||
	    now_ms < s->poll_sent_ms + interval_ms)
		return;
	s->poll_open = true;
	s->poll_sent_ms = now_ms;
	send_poll(s, CALL_POLL,
		  server_lease_for_poll(&s->lease, idle,
					run_table_renew_until_ms(s->runs),
					now_ms),
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
	send_poll(s, CALL_POLL_NOW, 0, now_ms);
}

/* No start is sent before the server has accepted the fencing token. While
 * the server does not answer, the regular polls carry the token. */
static void announce_token_if_due(struct server *s, int64_t now_ms)
{
	if (s->has_left || s->crash.replaced_ms ||
	    server_lease_is_unresponsive(&s->lease, now_ms) ||
	    !server_fence_is_announcement_due(&s->fence, now_ms))
		return;
	server_fence_announced(&s->fence, now_ms);
	send_poll(s, CALL_POLL_NOW, 0, now_ms);
}

void server_process(struct server *s, int64_t now_ms)
{
	expire_lease(s, now_ms);
	announce_token_if_due(s, now_ms);
	send_due_starts(s, now_ms);
	send_due_stops(s, now_ms);
	poll_if_due(s, now_ms);
	poll_now_if_due(s, now_ms);
}
