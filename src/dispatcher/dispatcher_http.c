/*
 * dispatcher_http: HTTP interface for callers, answers in JSON, and the burn
 * rate report on the admin port.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"

#include <jansson.h>
#include <string.h>

/* ---- Constants ---- */

#define JOBS_PATH "/v1/jobs"
#define JSON_TYPE "application/json"
#define STATUS_UNAVAILABLE 503

/* ---- Types ---- */

/* A request that a thread of the HTTP server posts to the loop. */
struct posted_request {
	struct dispatcher *d;
	struct http_request *http;
	struct job_request *job; /* submissions only */
	struct cf_key key;
	bool cancel;
};

/* ---- Answers ---- */

static void add_text(GString *out, const char *name, const char *text)
{
	json_t *string = json_string(text);
	char *quoted;

	if (!string)
		string = json_string("(not UTF-8)");
	quoted = json_dumps(string, JSON_ENCODE_ANY);
	g_string_append_printf(out, ",\"%s\":%s", name, quoted);
	free(quoted);
	json_decref(string);
}

static GBytes *complete_body(struct dispatcher_job *j)
{
	GString *out = g_string_new("{\"outcome\":\"complete\",\"results\":[");
	uint32_t i;

	for (i = 0; i < j->request->tasks->len; i++) {
		gsize size;
		const char *text =
			g_bytes_get_data(cf_job_result(j->job, i), &size);

		g_string_append_printf(
			out, "%s{\"index\":%u,\"result\":", i ? "," : "", i);
		g_string_append_len(out, text, (gssize)size);
		g_string_append_c(out, '}');
	}
	g_string_append(out, "]}");
	return g_string_free_to_bytes(out);
}

GBytes *answer_body(struct dispatcher_job *j, enum cf_job_answer outcome,
		    const char *reason, const char *message,
		    uint32_t retry_after_ms)
{
	GString *out;

	if (j && outcome == CF_ANSWER_COMPLETE)
		return complete_body(j);
	out = g_string_new("{\"outcome\":\"failed\"");
	g_string_append_printf(out, ",\"ran\":\"%s\"",
			       outcome == CF_ANSWER_NOT_RUN ? "none"
							    : "unknown");
	add_text(out, "reason", reason);
	add_text(out, "message", message ? message : reason);
	if (retry_after_ms)
		g_string_append_printf(out, ",\"retry_after_ms\":%u",
				       retry_after_ms);
	g_string_append_c(out, '}');
	return g_string_free_to_bytes(out);
}

static void send_http(struct http_request *request, const struct answer *answer)
{
	char retry[48];
	const char *headers[] = { retry, NULL };
	gsize size;
	const void *body = g_bytes_get_data(answer->body, &size);

	g_snprintf(retry, sizeof(retry), "Retry-After: %u",
		   (answer->retry_after_ms + 999) / 1000);
	http_reply(request, answer->status, JSON_TYPE, body, size,
		   answer->retry_after_ms ? headers : NULL);
}

static void send_peer(struct dispatcher *d, const struct waiter *waiter,
		      const struct answer *answer)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__ForwardReply reply = CFW__FORWARD_REPLY__INIT;
	struct link *link = peer_any_link(d, waiter->peer);
	gsize size;

	reply.seq = waiter->seq;
	reply.status = answer->status;
	reply.retry_after_ms = answer->retry_after_ms;
	reply.body.data = (uint8_t *)g_bytes_get_data(answer->body, &size);
	reply.body.len = size;
	envelope.body_case = CFW__ENVELOPE__BODY_FORWARD_REPLY;
	envelope.forward_reply = &reply;
	if (link)
		link_send(link, &envelope);
}

void answer_send(struct dispatcher *d, const struct waiter *waiter,
		 const struct answer *answer)
{
	if (waiter->request) {
		send_http(waiter->request, answer);
		g_atomic_int_add(&d->unanswered, -1);
	} else if (waiter->peer) {
		send_peer(d, waiter, answer);
	}
}

void answer_failed(struct dispatcher *d, const struct waiter *waiter,
		   uint32_t status, enum cf_job_answer outcome,
		   const char *reason, const char *message,
		   uint32_t retry_after_ms)
{
	struct answer answer = { .status = status,
				 .retry_after_ms = retry_after_ms };

	answer.body =
		answer_body(NULL, outcome, reason, message, retry_after_ms);
	answer_send(d, waiter, &answer);
	g_bytes_unref(answer.body);
}

/* ---- Requests from callers ---- */

static void handle_posted(void *arg)
{
	struct posted_request *p = arg;
	struct waiter waiter = { .request = p->http };

	if (p->job)
		jobs_submit(p->d, p->job, &waiter);
	else if (p->cancel)
		jobs_cancel(p->d, &p->key, &waiter);
	else
		jobs_look_up(p->d, &p->key, &waiter);
	g_free(p);
}

static void post(struct dispatcher *d, struct posted_request *p)
{
	p->d = d;
	g_atomic_int_add(&d->unanswered, 1);
	loop_post(d->loop, handle_posted, p);
}

/* Refuses a request before it reaches the loop thread. */
static void reply_refused(struct http_request *http,
			  const struct request_error *error)
{
	struct answer answer = { .status = error->status };

	if (error->status >= 429)
		answer.retry_after_ms = 1000;
	/* An invalid request never ran. Otherwise the key was not looked up,
	 * and another dispatcher may have run it. */
	answer.body = answer_body(
		NULL,
		error->status == 400 ? CF_ANSWER_NOT_RUN : CF_ANSWER_UNKNOWN,
		error->reason, error->message, answer.retry_after_ms);
	send_http(http, &answer);
	g_bytes_unref(answer.body);
}

static void handle_submit(struct dispatcher *d, struct http_request *http)
{
	struct posted_request *p;
	struct request_error error;
	struct job_request *job;
	size_t size;
	const void *body = http_body(http, &size);

	job = request_parse(&d->request_config,
			    http_header(http, "Idempotency-Key"), body, size,
			    &error);
	if (!job) {
		reply_refused(http, &error);
		return;
	}
	p = g_new0(struct posted_request, 1);
	p->http = http;
	p->job = job;
	post(d, p);
}

static void handle_key_request(struct dispatcher *d, struct http_request *http,
			       const char *key, bool cancel)
{
	struct posted_request *p = g_new0(struct posted_request, 1);

	if (!cf_key_parse(key, &p->key)) {
		http_reply_error(http, 400, "invalid",
				 "the path must end in a UUIDv7");
		g_free(p);
		return;
	}
	p->http = http;
	p->cancel = cancel;
	post(d, p);
}

static void handle_request(void *arg, struct http_request *http)
{
	struct dispatcher *d = arg;
	const char *path = http_path(http), *method = http_method(http);

	if (!strcmp(path, JOBS_PATH) && !strcmp(method, "POST"))
		handle_submit(d, http);
	else if (!strcmp(path, JOBS_PATH))
		http_reply_error(http, 405, "method", "POST only");
	else if (strncmp(path, JOBS_PATH "/", strlen(JOBS_PATH "/")) != 0)
		http_reply_error(http, 404, "path", "no such path");
	else if (!strcmp(method, "DELETE") || !strcmp(method, "GET"))
		handle_key_request(d, http, path + strlen(JOBS_PATH "/"),
				   *method == 'D');
	else
		http_reply_error(http, 405, "method", "GET or DELETE only");
}

/* There is no room for the request. Its key isn't looked up: another caller's
 * job of this key may be in progress. */
static void refuse(void *arg, struct http_request *http)
{
	static const struct request_error error = {
		.status = STATUS_UNAVAILABLE,
		.reason = HTTP_OVERLOADED,
		.message = HTTP_OVERLOADED_TEXT,
	};

	(void)arg;
	reply_refused(http, &error);
}

bool dispatcher_open_http(struct dispatcher *d, GError **error)
{
	const struct settings *s = d->settings;
	struct http_server_options options = {
		.address = settings_text(s, "http"),
		.threads = (uint32_t)settings_number(s, "http-threads"),
		.connections_max =
			MIN((uint32_t)settings_number(s, "http-connections"),
			    d->doors[DOOR_MAIN].connections_max),
		.body_max_bytes =
			(uint32_t)settings_number(s, "body-max-bytes"),
		.held_max_bytes = d->doors[DOOR_MAIN].held_max_bytes,
		.parsed_max_bytes = d->doors[DOOR_MAIN].parsed_max_bytes,
		.door = "callers",
		.refuse = refuse,
	};

	d->http = http_server_create(&options, handle_request, d, error);
	return d->http != NULL;
}

/* ---- Burn report ---- */

static void reply_text(struct http_request *http, const char *type, char *text)
{
	http_reply(http, 200, type, text, strlen(text), NULL);
	g_free(text);
}

static void handle_burn(void *arg)
{
	struct posted_request *p = arg;
	const char *format = http_query(p->http, "format");
	int64_t now_ms = clock_now_ms();

	if (format && !strcmp(format, "html"))
		reply_text(p->http, "text/html; charset=utf-8",
			   cf_burn_html(p->d->burn, now_ms));
	else if (format && !strcmp(format, "text"))
		reply_text(p->http, "text/plain; charset=utf-8",
			   cf_burn_text(p->d->burn, now_ms));
	else
		reply_text(p->http, JSON_TYPE,
			   cf_burn_json(p->d->burn, now_ms));
	g_atomic_int_add(&p->d->unanswered, -1);
	g_free(p);
}

static void burn_route(void *arg, struct http_request *http)
{
	struct dispatcher *d = arg;
	struct posted_request *p = g_new0(struct posted_request, 1);

	p->d = d;
	p->http = http;
	g_atomic_int_add(&d->unanswered, 1);
	loop_post(d->loop, handle_burn, p);
}

void dispatcher_add_routes(struct dispatcher *d)
{
	admin_route(d->admin, "GET", "/v1/burn", burn_route, d);
}
