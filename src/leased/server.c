/*
 * server: see server.h. At most one look is under way; it waits at the
 * server for an end, and is followed by the next one while anything runs.
 */
#include "leased/server.h"

#include "base/counters.h"
#include "base/logger.h"
#include "leased/leases.h"
#include "leased/server_lease.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define LOOK_OK 200 /* HTTP */
#define LOOK_WAIT_MS 80 /* at the server, for an end */
#define LOOK_MARGIN_MS 60 /* more, until the answer has to be here */
#define CHECK_PAUSE_MS 15 /* between looks that don't wait */
#define LOOK_IDLE_MS 1000 /* between looks while nothing runs */
#define LOOK_SILENT_MS 150 /* between looks at one that doesn't answer */
#define CALL_TIMEOUT_MS 60 /* of a start or stop */
#define STOP_AGE_MAX_MS 150 /* unacknowledged: the lease is let go */
#define FORGET_MS 10000 /* without an answer and a report */

/* ---- Types ---------------------------------------------------------- */

struct server {
	struct server_options options;
	struct server_report report;
	struct run_table *runs;
	struct room_share *room;
	struct server_lease lease;
	char *url; /* "http://ip:port" */
	char *life_header;
	uint64_t seen; /* position of the last end taken note of */
	uint32_t calls; /* under way */
	bool looking; /* a look that waits is under way */
	int64_t checked_ms; /* when the last look that doesn't wait was sent */
	bool left; /* it said that it leaves */
	bool letting_go; /* the lease is not renewed until it has ended */
	int64_t reported_ms;
	int64_t looked_ms; /* when the last look was sent */
	struct server_backoff refusals;
	struct server_previous_runs past;
	uint64_t life; /* counts its lives here */
	struct counter *starts, *unanswered, *lapses;
};

enum call_kind {
	CALL_START,
	CALL_STOP,
	CALL_LOOK,
	CALL_CHECK, /* a look that doesn't wait */
};

struct call {
	struct server *server;
	enum call_kind kind;
	struct run_name name;
	int64_t sent_ms;
	uint64_t life;
};

/* ---- Life ----------------------------------------------------------- */

static void set_address(struct server *s)
{
	g_free(s->url);
	g_free(s->life_header);
	s->url = g_strdup_printf("http://%s", s->report.address);
	s->life_header = s->options.formats->write_incarnation_header(
		s->report.name, s->report.start_time_ms);
}

struct server *server_create(const struct server_options *options,
			     const struct server_report *report, int64_t now_ms)
{
	struct server *s = g_new0(struct server, 1);

	s->options = *options;
	s->report = *report;
	s->runs = run_table_create();
	s->room = room_share_create(g_str_hash(report->name));
	s->reported_ms = now_ms;
	s->past.ends_ms = options->past_ends_ms;
	s->starts = counter_get("run_starts_total", NULL,
				"starts sent to backend servers");
	s->unanswered =
		counter_get("run_calls_unanswered_total", NULL,
			    "calls of backend servers without an answer");
	s->lapses = counter_get("server_leases_ended_total", NULL,
				"leases of backend servers let end");
	run_table_set_capacity(s->runs, &report->capacity);
	server_lease_init(&s->lease, now_ms);
	server_lease_answered(&s->lease, report->clock_ms, now_ms);
	set_address(s);
	log_event(
		LOG_INFO, "server_joined",
		"server=%s service=%s address=%s cpu_milli=%u born_ms=%" PRId64,
		report->name, report->service, report->address,
		report->capacity.cpu_milli, report->start_time_ms);
	return s;
}

void server_destroy(struct server *s)
{
	if (!s)
		return;
	run_table_destroy(s->runs);
	room_share_destroy(s->room);
	g_free(s->url);
	g_free(s->life_header);
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

struct room_share *server_room(struct server *s)
{
	return s->room;
}

bool server_accepting(const struct server *s, int64_t now_ms)
{
	return !s->report.draining && !s->left && !s->letting_go &&
	       server_previous_runs_have_ended(&s->past, now_ms) &&
	       !server_lease_is_unresponsive(&s->lease, now_ms) &&
	       server_backoff_has_elapsed(&s->refusals, now_ms);
}

bool server_is_gone(const struct server *s, int64_t now_ms)
{
	return !s->calls && run_table_is_idle(s->runs) &&
	       now_ms - s->reported_ms >= FORGET_MS &&
	       (s->left || now_ms - s->lease.answered_ms >= FORGET_MS);
}

/* ---- Reports -------------------------------------------------------- */

static void begin_life(struct server *s, int64_t start_time_ms, int64_t now_ms)
{
	log_event(LOG_WARN, "server_restarted",
		  "server=%s born_ms=%" PRId64 " before_ms=%" PRId64,
		  s->report.name, start_time_ms, s->report.start_time_ms);
	s->report.start_time_ms = start_time_ms;
	s->seen = 0;
	s->left = false;
	s->life++;
	run_table_server_restarted(s->runs, now_ms);
	server_lease_server_restarted(&s->lease);
}

bool server_take_report(struct server *s, const struct server_report *report,
			int64_t now_ms)
{
	bool same_life = report->start_time_ms == s->report.start_time_ms;
	bool was_draining = s->report.draining;

	if (report->start_time_ms < s->report.start_time_ms ||
	    (same_life && report->seq <= s->report.seq))
		return false;
	if (!same_life)
		begin_life(s, report->start_time_ms, now_ms);
	s->report = *report;
	s->reported_ms = now_ms;
	set_address(s);
	run_table_set_capacity(s->runs, &report->capacity);
	if (s->lease.clock_read_ms == INT64_MIN ||
	    now_ms - s->lease.clock_read_ms > LOOK_IDLE_MS)
		server_lease_answered(&s->lease, report->clock_ms, now_ms);
	if (report->draining && !was_draining) {
		log_event(LOG_INFO, "server_draining", "server=%s seq=%" PRIu64,
			  report->name, report->seq);
		run_table_return_queued(s->runs);
	}
	s->options.changed(s->options.arg, s);
	return true;
}

void server_leave(struct server *s, int64_t now_ms)
{
	(void)now_ms;
	s->left = true;
	log_event(LOG_INFO, "server_left", "server=%s", s->report.name);
	run_table_return_queued(s->runs);
	s->options.changed(s->options.arg, s);
}

/* ---- Answers -------------------------------------------------------- */

static void hear(struct server *s, int64_t clock_ms, int64_t now_ms)
{
	if (s->lease.unanswered_since_ms)
		log_event(LOG_INFO, "server_answers",
			  "server=%s silent_ms=%" PRId64, s->report.name,
			  now_ms - s->lease.unanswered_since_ms);
	server_lease_answered(&s->lease, clock_ms, now_ms);
}

static void take_start(struct server *s, const struct call *call,
		       const struct http_answer *answer, int64_t now_ms)
{
	int64_t clock_ms = -1;
	enum run_refusal refusal = s->options.formats->read_start(
		answer->status, answer->body, answer->size_bytes, &clock_ms);

	if (call->life != s->life)
		return;
	if (clock_ms >= 0)
		hear(s, clock_ms, now_ms);
	if (refusal != RUN_ACCEPTED)
		log_event(LOG_INFO, "start_refused",
			  "server=%s job=%s index=%u number=%u refusal=%d",
			  s->report.name, call->name.job, call->name.index,
			  call->name.number, refusal);
	if (refusal == RUN_UNHEALTHY)
		server_backoff_increase(&s->refusals, now_ms);
	else if (refusal == RUN_ACCEPTED)
		server_backoff_reset(&s->refusals);
	run_table_start_answered(s->runs, &call->name, refusal, now_ms);
}

static void take_stop(struct server *s, const struct call *call,
		      const struct http_answer *answer, int64_t now_ms)
{
	int64_t clock_ms = -1;
	enum run_refusal refusal = s->options.formats->read_start(
		answer->status, answer->body, answer->size_bytes, &clock_ms);

	if (call->life != s->life || refusal != RUN_ACCEPTED)
		return;
	if (clock_ms >= 0)
		hear(s, clock_ms, now_ms);
	run_table_stop_acked(s->runs, &call->name, now_ms);
}

static void send_stop(struct server *s, const struct run_name *name,
		      int64_t now_ms);

static void stop_strangers(struct server *s, const GArray *strangers,
			   int64_t now_ms)
{
	for (guint i = 0; i < strangers->len; i++) {
		const struct run_name *name =
			&g_array_index(strangers, struct run_name, i);

		log_event(LOG_WARN, "stranger_stopped",
			  "server=%s job=%s index=%u number=%u", s->report.name,
			  name->job, name->index, name->number);
		send_stop(s, name, now_ms);
	}
}

static void note_ends(struct server *s, const struct run_lists *lists)
{
	for (guint i = 0; i < lists->ended->len; i++) {
		uint64_t position =
			g_array_index(lists->ended, struct listed_run_end, i)
				.position;

		s->seen = MAX(s->seen, position);
	}
}

static void take_look(struct server *s, const struct call *call,
		      const struct http_answer *answer, int64_t now_ms)
{
	g_autoptr(GArray)
		strangers = g_array_new(FALSE, FALSE, sizeof(struct run_name));
	struct run_lists lists;

	if (call->life != s->life || answer->status != LOOK_OK ||
	    !s->options.formats->read_lists(answer->body, answer->size_bytes,
					    &lists))
		return;
	if (lists.start_time_ms &&
	    lists.start_time_ms != s->report.start_time_ms) {
		if (lists.start_time_ms > s->report.start_time_ms)
			begin_life(s, lists.start_time_ms, now_ms);
		run_lists_clear(&lists);
		return;
	}
	hear(s, lists.clock_ms, now_ms);
	run_table_apply_lists(s->runs, &lists, call->sent_ms, now_ms,
			      strangers);
	note_ends(s, &lists);
	server_previous_runs_listed(&s->past, strangers->len);
	stop_strangers(s, strangers, now_ms);
	run_lists_clear(&lists);
}

static void take_silence(struct server *s, const struct call *call)
{
	counter_add(s->unanswered, 1);
	if (call->life != s->life)
		return;
	server_lease_unanswered(&s->lease, call->sent_ms);
	if (call->kind == CALL_START)
		run_table_start_unanswered(s->runs, &call->name);
}

static void answered(void *arg, const struct http_answer *answer)
{
	struct call *call = arg;
	struct server *s = call->server;
	int64_t now_ms = loop_now_ms(s->options.loop);

	s->calls--;
	if (call->kind == CALL_LOOK)
		s->looking = false;
	if (answer->result != HTTP_OK)
		take_silence(s, call);
	else if (call->kind == CALL_START)
		take_start(s, call, answer, now_ms);
	else if (call->kind == CALL_STOP)
		take_stop(s, call, answer, now_ms);
	else
		take_look(s, call, answer, now_ms);
	g_free(call);
	server_work(s, now_ms);
	s->options.changed(s->options.arg, s);
}

/* ---- Calls ---------------------------------------------------------- */

static void send_call(struct server *s, enum call_kind kind,
		      const struct run_name *name, struct run_call *text,
		      int64_t timeout_ms, int64_t now_ms)
{
	g_autofree char *url = g_strconcat(s->url, text->path, NULL);
	const char *headers[] = { "Content-Type: application/json",
				  s->life_header, NULL };
	struct http_call http = { .method = "POST",
				  .url = url,
				  .body = text->body,
				  .size_bytes = text->size_bytes,
				  .headers = headers,
				  .timeout_ms = timeout_ms,
				  .connect_ms = timeout_ms };
	struct call *call = g_new0(struct call, 1);

	call->server = s;
	call->kind = kind;
	call->sent_ms = now_ms;
	call->life = s->life;
	if (name)
		call->name = *name;
	s->calls++;
	http_client_call(s->options.client, &http, answered, call);
	run_call_clear(text);
}

static void send_start(struct server *s, const struct run_request *run,
		       int64_t now_ms)
{
	struct run_call text;

	counter_add(s->starts, 1);
	s->options.formats->write_start(&run->name, run->spec,
					server_lease_renew(&s->lease, now_ms),
					&text);
	send_call(s, CALL_START, &run->name, &text, CALL_TIMEOUT_MS, now_ms);
}

static void send_stop(struct server *s, const struct run_name *name,
		      int64_t now_ms)
{
	struct run_call text;

	s->options.formats->write_stop(name, &text);
	send_call(s, CALL_STOP, name, &text, CALL_TIMEOUT_MS, now_ms);
}

static void send_look(struct server *s, enum call_kind kind, bool renew,
		      int64_t now_ms)
{
	bool waits = kind == CALL_LOOK && !run_table_is_idle(s->runs);
	uint32_t wait_ms = waits ? LOOK_WAIT_MS : 0;
	int64_t end_ms = renew ? server_lease_renew(&s->lease, now_ms) : 0;
	struct run_call text;

	s->options.formats->write_poll(end_ms, s->seen, wait_ms, &text);
	send_call(s, kind, NULL, &text, wait_ms + LOOK_MARGIN_MS, now_ms);
}

/* ---- Work ----------------------------------------------------------- */

/* A stop that isn't acknowledged, or silence: everything there ends with
 * its lease. */
static void let_go(struct server *s, int64_t now_ms)
{
	bool wanted = server_lease_is_unresponsive(&s->lease, now_ms) ||
		      run_table_stop_age_ms(s->runs, now_ms) > STOP_AGE_MAX_MS;

	if (wanted && !s->letting_go && !run_table_is_idle(s->runs)) {
		s->letting_go = true;
		counter_add(s->lapses, 1);
		log_event(LOG_WARN, "server_lease_let_end",
			  "server=%s silent=%d ends_in_ms=%" PRId64,
			  s->report.name,
			  server_lease_is_unresponsive(&s->lease, now_ms),
			  s->lease.expires_ms - now_ms);
		run_table_return_queued(s->runs);
	}
	if (!s->letting_go)
		return;
	if (server_lease_has_expired(&s->lease, now_ms)) {
		run_table_lease_expired(s->runs, now_ms);
		s->letting_go = false;
	} else if (!wanted && !run_table_stop_age_ms(s->runs, now_ms)) {
		s->letting_go = false;
	}
}

static void do_starts(struct server *s, int64_t now_ms)
{
	const struct run_request *run;

	while (server_accepting(s, now_ms) &&
	       s->lease.clock_read_ms != INT64_MIN &&
	       (run = run_table_next_start(s->runs, now_ms)))
		send_start(s, run, now_ms);
}

static void do_stops(struct server *s, int64_t now_ms)
{
	struct run_name name;

	while (run_table_next_stop(s->runs, now_ms, &name))
		send_stop(s, &name, now_ms);
}

static void do_look(struct server *s, int64_t now_ms)
{
	bool silent = server_lease_is_unresponsive(&s->lease, now_ms);
	bool idle = run_table_is_idle(s->runs);
	int64_t pause_ms = silent ? LOOK_SILENT_MS : idle ? LOOK_IDLE_MS : 0;

	if (!silent && !server_previous_runs_have_ended(&s->past, now_ms))
		pause_ms = CHECK_PAUSE_MS;

	if (s->looking || s->left || now_ms < s->looked_ms + pause_ms)
		return;
	s->looking = true;
	s->looked_ms = now_ms;
	send_look(s, CALL_LOOK, !silent && !s->letting_go && !idle, now_ms);
}

/* Whether a run that was stopped has ended, or never began, shows in a
 * list made after the stop was acknowledged. */
static void do_check(struct server *s, int64_t now_ms)
{
	if (!run_table_awaits_list(s->runs) ||
	    now_ms < s->checked_ms + CHECK_PAUSE_MS)
		return;
	s->checked_ms = now_ms;
	send_look(s, CALL_CHECK, false, now_ms);
}

void server_work(struct server *s, int64_t now_ms)
{
	let_go(s, now_ms);
	do_starts(s, now_ms);
	do_stops(s, now_ms);
	do_look(s, now_ms);
	do_check(s, now_ms);
}
