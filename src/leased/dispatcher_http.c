/*
 * dispatcher_http: the HTTP requests of callers. HTTP threads parse them and
 * the loop thread handles them. Each request gets exactly one answer.
 */
#include "leased/dispatcher_internal.h"

#include "base/clock.h"
#include "base/logger.h"

#include <stdlib.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_GONE 410
#define STATUS_TOO_MANY 429
#define STATUS_NOT_IMPLEMENTED 501
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504
/* Held jobs are served once 1 / this of the agents have a usable server. */
#define USABLE_DIVISOR 2
#define JSON_TYPE "application/json"
#define DEADLINE_DEFAULT_MS 30000
#define DEADLINE_MAX_MS 86400000

/* ---- Types ---------------------------------------------------------- */

/* One request, from its arrival to its answer. */
struct caller {
	struct leased_dispatcher *dispatcher;
	struct http_request *request;
	char *host;
	char id[LEASED_JOB_SIZE];
	struct job_spec spec; /* submissions only */
	int64_t arrived_ms, deadline_ms;
	/* Atomic; held by the loop and by the watch for a closed connection. */
	gint ref_count;
	bool watched; /* a closed connection is reported */
	gint gone; /* atomic; the watch has reported it */
};

/* ---- Lifecycle ------------------------------------------------------ */

/* Without routes, the start of the id in the path is unknown. The last path
 * segment is used, so that operators can find a refused request in the log. */
static void guess_job_id(struct caller *c)
{
	const char *slash = strrchr(http_path(c->request), '/');
	const char *id = slash ? slash + 1 : "";

	if (wire_is_job_id(id))
		g_strlcpy(c->id, id, sizeof(c->id));
}

static struct caller *create_caller(struct leased_dispatcher *d,
				    struct http_request *request)
{
	struct caller *c = g_new0(struct caller, 1);
	const char *host = http_header(request, "Host");
	const char *deadline =
		http_header(request, d->formats->deadline_header);
	gint64 remaining_ms = 0;

	c->dispatcher = d;
	c->request = request;
	c->host = g_strdup(host ? host : "");
	c->arrived_ms = clock_now_ms();
	guess_job_id(c);
	if (!deadline ||
	    !g_ascii_string_to_signed(deadline, 10, 1, DEADLINE_MAX_MS,
				      &remaining_ms, NULL))
		remaining_ms = DEADLINE_DEFAULT_MS;
	c->deadline_ms = c->arrived_ms + remaining_ms;
	c->ref_count = 1;
	return c;
}

static void unref_caller(struct caller *c, gint n)
{
	if (g_atomic_int_add(&c->ref_count, -n) > n)
		return;
	if (c->spec.spec)
		g_bytes_unref(c->spec.spec);
	g_free(c->host);
	g_free(c);
}

/* Releases an answered caller. After the answer, the watch reports nothing
 * more, so its reference ends as well. */
static void finish_caller(struct caller *c)
{
	unref_caller(c, c->watched && !g_atomic_int_get(&c->gone) ? 2 : 1);
}

static void reply(struct caller *c, uint32_t status, const char *body,
		  uint32_t retry_after_s)
{
	g_autofree char *retry_header =
		g_strdup_printf("Retry-After: %u", retry_after_s);
	const char *headers[] = { retry_header, NULL };

	http_reply(c->request, status, JSON_TYPE, body, strlen(body),
		   retry_after_s ? headers : NULL);
	c->request = NULL;
}

static void reply_error(struct caller *c, uint32_t status, const char *reason,
			const char *message, uint32_t retry_after_s)
{
	g_autofree char *body = g_strdup_printf(
		"{\"reason\":\"%s\",\"message\":\"%s\"}", reason, message);

	log_event(LOG_WARN, "request_refused",
		  "job=%s status=%u reason=%s why=\"%s\"", c->id, status,
		  reason, message);
	reply(c, status, body, retry_after_s);
}

/* ---- Job answers ---------------------------------------------------- */

static void count_answer(struct leased_dispatcher *d, enum job_verdict verdict,
			 int64_t elapsed_ms)
{
	size_t bucket = 0;

	for (int64_t bound_ms = 10;
	     bucket + 1 < ANSWER_BUCKETS && elapsed_ms > bound_ms;
	     bound_ms *= 2)
		bucket++;
	counter_add(d->verdicts[verdict], 1);
	counter_add(d->answer_buckets[verdict][bucket], 1);
	counter_add(d->answer_sum_ms[verdict], elapsed_ms);
}

void dispatcher_send_answer(struct dispatch_sink *sink, void *data,
			    const struct job_answer *answer)
{
	struct leased_dispatcher *d = (struct leased_dispatcher *)sink;
	struct caller *c = data;
	int64_t elapsed_ms = clock_now_ms() - c->arrived_ms;
	g_autofree char *state = NULL;

	count_answer(d, answer->verdict, elapsed_ms);
	log_event(answer->verdict == JOB_VERDICT_COMPLETED ? LOG_INFO
							   : LOG_WARN,
		  "answered",
		  "job=%s verdict=%d reason=\"%s\" took_ms=%" G_GINT64_FORMAT,
		  c->id, answer->verdict, answer->reason, elapsed_ms);
	switch (answer->verdict) {
	case JOB_VERDICT_COMPLETED:
		state = d->formats->write_job_state(JOB_COMPLETED);
		reply(c, STATUS_OK, state, 0);
		break;
	case JOB_VERDICT_FAILED:
		state = d->formats->write_job_state(JOB_FAILED);
		reply(c, STATUS_OK, state, 0);
		break;
	case JOB_VERDICT_REFUSED:
		reply_error(c, STATUS_TOO_MANY, "not_run", answer->reason,
			    answer->retry_after_s);
		break;
	default:
		reply_error(c, STATUS_TIMEOUT, "given_up", answer->reason, 0);
		break;
	}
	finish_caller(c);
}

/* ---- Loop thread ---------------------------------------------------- */

static void reply_not_run(struct caller *c, const char *reason)
{
	reply_error(c, STATUS_TOO_MANY, "not_run", reason, 1);
}

static void abandon_job(void *arg)
{
	struct caller *c = arg;

	if (c->request && start_hold_abandon(c->dispatcher->start_hold, c)) {
		reply_not_run(c, "the caller left");
		unref_caller(c, 2);
		return;
	}
	if (c->request)
		dispatch_abandon(c->dispatcher->dispatch, c->id, c,
				 loop_now_ms(c->dispatcher->loop));
	unref_caller(c, 1);
}

/* Runs on the thread that watches for closed connections. */
static void on_caller_gone(void *arg)
{
	struct caller *c = arg;

	g_atomic_int_set(&c->gone, 1);
	loop_post(c->dispatcher->loop, abandon_job, c);
}

static void watch_caller(struct caller *c)
{
	if (c->watched)
		return;
	c->watched = true;
	g_atomic_int_inc(&c->ref_count);
	http_on_disconnect(c->request, on_caller_gone, c);
}

static const struct route *find_route(struct caller *c)
{
	struct leased_dispatcher *d = c->dispatcher;
	const char *unready_reason =
		dispatcher_unready_reason(d, loop_now_ms(d->loop));
	const struct route *route;

	if (unready_reason) {
		counter_add(d->unready, 1);
		reply_error(c, STATUS_UNAVAILABLE, "unready", unready_reason,
			    1);
		return NULL;
	}
	route = routes_find(d->routes, c->host, http_path(c->request));
	if (!route) {
		counter_add(d->no_route, 1);
		reply_error(c, STATUS_NOT_FOUND, "no_route",
			    "no route has this host and path", 0);
	}
	return route;
}

static void submit(struct caller *c, const struct route *route)
{
	struct job_request submission = { .route = *route,
					  .spec = c->spec,
					  .arrived_ms = c->arrived_ms,
					  .deadline_ms = c->deadline_ms,
					  .caller = c };

	g_strlcpy(submission.id, c->id, sizeof(submission.id));
	log_event(LOG_INFO, "job_arrived",
		  "job=%s route=%s routes_version=%" G_GUINT64_FORMAT
		  " tasks=%u cpu_milli=%u estimate_ms=%u "
		  "left_ms=%" G_GINT64_FORMAT,
		  c->id, route->name, routes_version(c->dispatcher->routes),
		  c->spec.n_tasks, c->spec.cpu_milli, c->spec.estimate_ms,
		  c->deadline_ms - c->arrived_ms);
	watch_caller(c);
	dispatch_submit(c->dispatcher->dispatch, &submission,
			loop_now_ms(c->dispatcher->loop));
}

static bool parse_job_id(struct caller *c, const struct route *route)
{
	const char *id = http_path(c->request) + strlen(route->prefix);

	if (!wire_is_job_id(id))
		return false;
	g_strlcpy(c->id, id, sizeof(c->id));
	return true;
}

/* Without an id, the path names the route's queue. */
static bool names_a_job(const struct caller *c, const struct route *route)
{
	return http_path(c->request)[strlen(route->prefix)];
}

static void refuse_job_id(struct caller *c)
{
	counter_add(c->dispatcher->malformed, 1);
	reply_error(c, STATUS_BAD_REQUEST, "invalid", JOB_ID_RULE, 0);
}

/* True if the process stops before the job could end. */
static bool is_too_late(const struct caller *c, const struct route *route)
{
	struct leased_dispatcher *d = c->dispatcher;

	return d->draining &&
	       !drain_can_run(&d->drain,
			      dispatch_predict_ms(d->dispatch, route->name,
						  c->spec.estimate_ms),
			      loop_now_ms(d->loop));
}

/* A job that is in progress here is joined, or its end told, whether or not
 * this process could serve a new one: "not run" would be untrue of it. */
static bool join_job(struct caller *c)
{
	struct leased_dispatcher *d = c->dispatcher;
	const struct route *route =
		d->routes
			? routes_find(d->routes, c->host, http_path(c->request))
			: NULL;

	if (!route || !parse_job_id(c, route) ||
	    !dispatch_has_job(d->dispatch, c->id))
		return false;
	submit(c, route);
	return true;
}

static void serve_submission(struct caller *c)
{
	const struct route *route = find_route(c);

	if (route && is_too_late(c, route)) {
		counter_add(c->dispatcher->too_late, 1);
		reply_error(c, STATUS_UNAVAILABLE, "unready",
			    "this process is stopping", 1);
		finish_caller(c);
		return;
	}
	if (route && parse_job_id(c, route)) {
		submit(c, route);
		return;
	}
	if (route)
		refuse_job_id(c);
	finish_caller(c);
}

/* ---- Start of the process ------------------------------------------- */

static bool can_serve_some(const struct leased_dispatcher *d)
{
	return !dispatcher_unready_reason(d, loop_now_ms(d->loop)) &&
	       dispatch_can_serve(d->dispatch);
}

/* With the first few servers of many, admission would refuse most of the jobs
 * that were held for all of them. */
static bool can_serve(const struct leased_dispatcher *d)
{
	struct dispatch_load load;

	if (!can_serve_some(d))
		return false;
	dispatch_get_load(d->dispatch, &load);
	return load.usable_servers * USABLE_DIVISOR >=
	       dispatcher_count_selected(d);
}

static void refuse_unready(struct caller *c)
{
	struct leased_dispatcher *d = c->dispatcher;
	const char *reason = dispatcher_unready_reason(d, loop_now_ms(d->loop));

	counter_add(d->unready, 1);
	reply_error(c, STATUS_UNAVAILABLE, "unready",
		    reason ? reason : "no backend server can be reached", 1);
	finish_caller(c);
}

/* Without a route, a job can't be served however long it waits. */
static bool may_have_route(const struct caller *c)
{
	const struct routes *routes = c->dispatcher->routes;

	return !routes || routes_find(routes, c->host, http_path(c->request));
}

static void handle_submission(void *arg)
{
	struct caller *c = arg;
	struct leased_dispatcher *d = c->dispatcher;
	struct start_job job = { .id = c->id,
				 .arrived_ms = c->arrived_ms,
				 .deadline_ms = c->deadline_ms,
				 .caller = c };
	enum start_verdict verdict = START_PASS;

	if (join_job(c))
		return;
	if (start_hold_is_open(d->start_hold, loop_now_ms(d->loop)) &&
	    may_have_route(c))
		verdict = start_hold_arrive(d->start_hold, &job, can_serve(d),
					    loop_now_ms(d->loop));
	if (verdict == START_PASS) {
		serve_submission(c);
	} else if (verdict == START_REFUSED) {
		refuse_unready(c);
	} else {
		counter_add(d->held_total, 1);
		watch_caller(c);
	}
}

void dispatcher_release_held(struct leased_dispatcher *d)
{
	bool ready = start_hold_count(d->start_hold) && can_serve(d);
	uint32_t served = 0, refused = 0;
	enum start_verdict verdict;
	struct caller *c;

	while ((c = start_hold_next(d->start_hold, ready, loop_now_ms(d->loop),
				    &verdict))) {
		if (join_job(c)) {
			served++;
		} else if (verdict == START_PASS || can_serve_some(d)) {
			served++;
			serve_submission(c);
		} else {
			refused++;
			refuse_unready(c);
		}
	}
	gauge_set(d->held, start_hold_count(d->start_hold));
	if (served || refused)
		log_event(LOG_INFO, "held_released", "served=%u refused=%u",
			  served, refused);
}

bool dispatcher_cancel_here(struct leased_dispatcher *d, const char *id,
			    int64_t asked_ms)
{
	struct caller *held = start_hold_cancel(d->start_hold, id);
	bool found = held != NULL;

	for (; held; held = start_hold_cancel(d->start_hold, id)) {
		reply_not_run(held, "it was cancelled");
		finish_caller(held);
	}
	return dispatch_cancel(d->dispatch, id, asked_ms,
			       loop_now_ms(d->loop)) ||
	       found;
}

/* ---- Queries and cancellations -------------------------------------- */

static void handle_query(void *arg)
{
	struct caller *c = arg;
	const struct route *route = find_route(c);
	struct leased_dispatcher *d = c->dispatcher;
	g_autofree char *pending = NULL;

	if (route && parse_job_id(c, route)) {
		reply_error(c, STATUS_GONE, "unknown",
			    "no stored job has this id", 0);
	} else if (route && names_a_job(c, route)) {
		refuse_job_id(c);
	} else if (route) {
		pending = d->formats->write_pending(
			dispatch_count_unsent_jobs(d->dispatch, route->name));
		reply(c, STATUS_OK, pending, 0);
	}
	finish_caller(c);
}

static void handle_cancel(void *arg)
{
	struct caller *c = arg;
	const struct route *route = find_route(c);

	if (route && parse_job_id(c, route)) {
		dispatcher_cancels_request(c->dispatcher->cancels, c->id, c,
					   c->deadline_ms);
		return;
	}
	if (route)
		refuse_job_id(c);
	finish_caller(c);
}

void dispatcher_answer_cancel(void *caller, enum cancel_verdict verdict)
{
	struct caller *c = caller;

	if (verdict == CANCEL_STOPPED)
		reply(c, STATUS_OK, "{}", 0);
	else if (verdict == CANCEL_NOWHERE)
		reply_error(c, STATUS_GONE, "unknown", "no job has this id", 0);
	else
		reply_error(c, STATUS_UNAVAILABLE, "unconfirmed",
			    "a dispatcher that may have it hasn't answered", 1);
	finish_caller(c);
}

/* There is no room for the request. A job that is in progress is joined, as
 * "never runs" would be untrue of it. */
static void handle_overload(void *arg)
{
	struct caller *c = arg;

	if (!strcmp(http_method(c->request), "POST") && join_job(c))
		return;
	reply_error(c, STATUS_UNAVAILABLE, HTTP_OVERLOADED,
		    HTTP_OVERLOADED_TEXT, 1);
	finish_caller(c);
}

/* ---- HTTP threads --------------------------------------------------- */

static void read_submission(struct caller *c)
{
	char error_text[128] = "";
	size_t size;
	const void *body = http_body(c->request, &size);
	enum job_refusal refusal = c->dispatcher->formats->read_job(
		body, size, &c->spec, error_text);

	http_free_body(c->request);

	if (refusal == JOB_ACCEPTED) {
		loop_post(c->dispatcher->loop, handle_submission, c);
		return;
	}
	counter_add(c->dispatcher->malformed, 1);
	if (refusal == JOB_MALFORMED)
		reply_error(c, STATUS_BAD_REQUEST, "invalid", error_text, 0);
	else
		reply_error(c, STATUS_NOT_IMPLEMENTED, "unsupported",
			    error_text, 0);
	finish_caller(c);
}

static void handle(void *arg, struct http_request *request)
{
	struct leased_dispatcher *d = arg;
	struct caller *c = create_caller(d, request);
	const char *method = http_method(request);

	if (!strcmp(method, "POST"))
		read_submission(c);
	else if (!strcmp(method, "DELETE"))
		loop_post(d->loop, handle_cancel, c);
	else
		loop_post(d->loop, handle_query, c);
}

static void refuse(void *arg, struct http_request *request)
{
	struct leased_dispatcher *d = arg;

	loop_post(d->loop, handle_overload, create_caller(d, request));
}

bool dispatcher_start_http(struct leased_dispatcher *d,
			   const struct door_limits *limits, GError **error)
{
	struct http_server_options options = {
		.address = settings_text(d->settings, "http"),
		.threads =
			(uint32_t)settings_number(d->settings, "http-threads"),
		.connections_max = MIN((uint32_t)settings_number(
					       d->settings, "http-connections"),
				       limits->connections_max),
		.body_max_bytes =
			(uint32_t)settings_number(d->settings, "job-max-bytes"),
		.held_max_bytes = limits->held_max_bytes,
		.parsed_max_bytes = limits->parsed_max_bytes,
		.door = "callers",
		.refuse = refuse,
	};

	d->http = http_server_create(&options, handle, d, error);
	return d->http != NULL;
}
