/*
 * http_request: one request of http_server, from its first byte to its
 * response. If there is no response when the handler returns, the
 * connection is suspended until http_reply resumes it.
 *
 * libmicrohttpd and the handler each hold a reference to a request. The
 * handler releases its reference when it replies. A reply is therefore
 * allowed after the client has disconnected or the server is destroyed.
 */
#include "net/http_private.h"

#include "base/clock.h"
#include "base/json_budget.h"

#include <string.h>

/* A body larger than this multiple of the limit aborts the connection. */
#define OVERSIZE_FACTOR 4
/* A request may take this multiple of the timeout to arrive. */
#define SLOW_FACTOR 4
#define MS_PER_S 1000
#define ESCAPED_NUL "%00"
#define ESCAPE_SIZE 3 /* of an escaped byte */
#define HEX_BASE 16
#define RETRY_AFTER "Retry-After: 1"

/* ---- Create and release ---- */

static void request_unref(struct http_request *request)
{
	struct http_server *server = request->server;

	if (atomic_fetch_sub(&request->ref_count, 1) > 1)
		return;
	if (request->response)
		MHD_destroy_response(request->response);
	http_hold_drop_body(request);
	g_free(request->method);
	g_free(request->path);
	g_free(request);
	http_server_unref(server);
}

static struct http_request *request_create(struct http_server *server,
					   struct MHD_Connection *connection,
					   const char *method, const char *path)
{
	struct http_request *request = g_new0(struct http_request, 1);

	request->server = http_server_ref(server);
	request->connection = connection;
	request->owner = http_connection_of(connection);
	request->worker = request->owner->worker;
	request->method = g_strdup(method);
	request->path = g_strdup(path);
	request->refused = request->owner->excess;
	request->began_ms = clock_now_ms();
	atomic_store(&request->ref_count, 1);
	http_hold_begin(request);
	return request;
}

/* ---- Request data for the handler ---- */

const char *http_method(const struct http_request *request)
{
	return request->method;
}

const char *http_path(const struct http_request *request)
{
	return request->path;
}

const char *http_query(const struct http_request *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

const char *http_header(const struct http_request *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
					   name);
}

const void *http_body(const struct http_request *request, size_t *size_bytes)
{
	*size_bytes = request->body ? request->body->len : 0;
	return request->body ? (const void *)request->body->data : "";
}

/* ---- Responses ---- */

static void add_header(struct MHD_Response *response, const char *line)
{
	const char *colon = strchr(line, ':');
	char *name;

	if (!colon)
		return;
	name = g_strndup(line, (gsize)(colon - line));
	colon++;
	MHD_add_response_header(response, name, colon + strspn(colon, " "));
	g_free(name);
}

static struct MHD_Response *make_response(const char *content_type,
					  const void *body, size_t size_bytes,
					  const char *const *headers)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		size_bytes, (void *)(size_bytes ? body : ""),
		MHD_RESPMEM_MUST_COPY);

	if (!response)
		g_error("out of memory for a response");
	if (content_type)
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
					content_type);
	for (size_t i = 0; headers && headers[i]; i++)
		add_header(response, headers[i]);
	return response;
}

static enum MHD_Result queue_response(struct http_server *server,
				      struct MHD_Connection *connection,
				      unsigned int status,
				      struct MHD_Response *response)
{
	enum MHD_Result result;

	if (atomic_load(&server->quiescing) || atomic_load(&server->closing) ||
	    http_connection_of(connection)->excess)
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION,
					"close");
	counter_add(server->answers[MIN(status / 100, HTTP_STATUS_CLASSES - 1)],
		    1);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result refuse(struct http_server *server,
			      struct MHD_Connection *connection,
			      unsigned int status, const char *reason,
			      const char *message)
{
	/* Only what finds no room now may find some later. */
	const char *headers[] = { "Connection: close",
				  status == MHD_HTTP_SERVICE_UNAVAILABLE
					  ? RETRY_AFTER
					  : NULL,
				  NULL };
	char *body = g_strdup_printf("{\"reason\":\"%s\",\"message\":\"%s\"}\n",
				     reason, message);
	struct MHD_Response *response =
		make_response("application/json", body, strlen(body), headers);

	g_free(body);
	return queue_response(server, connection, status, response);
}

/* Sets the response and resumes a suspended connection. Requires the server's
 * lock. */
void http_request_answer(struct http_request *request, unsigned int status,
			 struct MHD_Response *response)
{
	request->status = status;
	request->response = response;
	if (!request->suspended)
		return;
	request->suspended = false;
	http_worker_resume(request->worker, request->connection);
}

/* Nobody knows here what the handler has done, so the answer must not promise
 * that nothing was: 503 would. */
void http_request_abandon(struct http_request *request)
{
	static const char body[] =
		"{\"outcome\":\"failed\",\"ran\":\"unknown\","
		"\"reason\":\"stopped\",\"message\":\"the process ended "
		"before the answer; it may have been done\"}\n";

	http_request_answer(request, MHD_HTTP_GATEWAY_TIMEOUT,
			    make_response("application/json", body,
					  sizeof(body) - 1, NULL));
}

static struct MHD_Response *make_overloaded(void)
{
	static const char *const headers[] = { RETRY_AFTER, NULL };
	static const char body[] = "{\"reason\":\"" HTTP_OVERLOADED
				   "\",\"message\":"
				   "\"" HTTP_OVERLOADED_TEXT "\"}\n";

	return make_response("application/json", body, sizeof(body) - 1,
			     headers);
}

/* Requires the server's lock. Only the answer to a read may be left out: any
 * other tells what was done. */
static void answer_within_bounds(struct http_request *request, uint32_t status,
				 struct MHD_Response *response,
				 size_t size_bytes)
{
	bool is_read = !strcmp(request->method, MHD_HTTP_METHOD_GET);

	if (http_hold_answer(request, size_bytes) || !is_read) {
		http_request_answer(request, status, response);
		return;
	}
	MHD_destroy_response(response);
	http_request_answer(request, MHD_HTTP_SERVICE_UNAVAILABLE,
			    make_overloaded());
}

void http_reply(struct http_request *request, uint32_t status,
		const char *content_type, const void *body, size_t size_bytes,
		const char *const *headers)
{
	struct http_server *server = request->server;
	struct MHD_Response *response =
		make_response(content_type, body, size_bytes, headers);

	g_mutex_lock(&server->lock);
	g_hash_table_remove(server->requests, request);
	http_gone_remove(server->gone, request->gone_id);
	request->gone_id = 0;
	if (!request->detached && !request->response) {
		answer_within_bounds(request, status, response, size_bytes);
		response = NULL;
	}
	g_mutex_unlock(&server->lock);
	if (response)
		MHD_destroy_response(response);
	request_unref(request);
}

void http_on_disconnect(struct http_request *request, void (*gone)(void *arg),
			void *arg)
{
	struct http_server *server = request->server;
	const union MHD_ConnectionInfo *info;

	g_mutex_lock(&server->lock);
	if (!request->detached && !request->gone_id) {
		info = MHD_get_connection_info(
			request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		if (info)
			request->gone_id = http_gone_add(
				server->gone, info->connect_fd, gone, arg);
	}
	g_mutex_unlock(&server->lock);
}

/* ---- libmicrohttpd callbacks ---- */

/* Leaves an escaped NUL as it is, as all behind it would be cut off. */
size_t http_request_unescape(void *arg, struct MHD_Connection *connection,
			     char *text)
{
	const char *from = text;
	char *to = text;

	(void)arg;
	(void)connection;
	while (*from) {
		int high = *from == '%' ? g_ascii_xdigit_value(from[1]) : -1;
		int low = high >= 0 ? g_ascii_xdigit_value(from[2]) : -1;

		if (low < 0 || !(high || low)) {
			*to++ = *from++;
			continue;
		}
		*to++ = (char)(high * HEX_BASE + low);
		from += ESCAPE_SIZE;
	}
	*to = 0;
	return (size_t)(to - text);
}

static void count_header(struct MHD_Connection *connection)
{
	struct http_connection *c = http_connection_of(connection);
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

	c->in_request = true;
	c->request_bytes += info ? info->header_size : 0;
}

static enum MHD_Result append_body(struct http_request *request,
				   const char *data, size_t size_bytes)
{
	struct http_server *server = request->server;
	size_t limit_bytes = server->body_max_bytes;
	int64_t limit_ms = (int64_t)server->timeout_s * MS_PER_S * SLOW_FACTOR;

	request->received_bytes += size_bytes;
	http_connection_of(request->connection)->request_bytes += size_bytes;
	if (clock_now_ms() - request->began_ms > limit_ms ||
	    request->received_bytes > OVERSIZE_FACTOR * limit_bytes)
		return MHD_NO;
	http_hold_body(request, data, size_bytes);
	return MHD_YES;
}

static enum MHD_Result send_answer(struct http_request *request)
{
	struct MHD_Response *response = request->response;

	request->response = NULL;
	request->answered = true;
	return queue_response(request->server, request->connection,
			      request->status, response);
}

/* Suspends the connection if the handler has not replied yet. */
static enum MHD_Result run_handler(struct http_request *request,
				   http_handler_fn *handler)
{
	struct http_server *server = request->server;
	bool answered;

	request->handed_over = true;
	atomic_fetch_add(&request->ref_count, 1);
	atomic_fetch_add(&server->open_requests, 1);
	g_mutex_lock(&server->lock);
	g_hash_table_add(server->requests, request);
	g_mutex_unlock(&server->lock);
	json_budget_begin(server->parsed_max_bytes);
	handler(server->arg, request);
	if (json_budget_end())
		intake_count_refused(server->intake, "values", clock_now_ms());
	g_mutex_lock(&server->lock);
	if (server->destroying && !request->response)
		http_request_abandon(request);
	answered = request->response != NULL;
	if (!answered) {
		request->suspended = true;
		MHD_suspend_connection(request->connection);
	}
	g_mutex_unlock(&server->lock);
	return answered ? send_answer(request) : MHD_YES;
}

static enum MHD_Result serve_request(struct http_request *request)
{
	struct http_server *server = request->server;

	if (http_hold_is_too_large(request))
		return refuse(server, request->connection,
			      MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large",
			      "the body is above the limit");
	if (!http_hold_whole(request))
		return MHD_NO;
	if (!request->refused)
		return run_handler(request, server->handler);
	if (server->refuse)
		return run_handler(request, server->refuse);
	return refuse(server, request->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
		      HTTP_OVERLOADED, HTTP_OVERLOADED_TEXT);
}

static enum MHD_Result begin_request(struct http_server *server,
				     struct MHD_Connection *connection,
				     const char *path, const char *method,
				     void **context)
{
	const char *length = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);

	count_header(connection);
	if (http_connection_of(connection)->excess)
		counter_add(server->refused_connections, 1);
	if (http_connection_of(connection)->excess && !server->refuse)
		return refuse(server, connection, MHD_HTTP_SERVICE_UNAVAILABLE,
			      "too_many_connections",
			      "the limit of connections is reached");
	if (length && g_ascii_strtoull(length, NULL, 10) >
			      (guint64)OVERSIZE_FACTOR * server->body_max_bytes)
		return refuse(server, connection, MHD_HTTP_CONTENT_TOO_LARGE,
			      "body_too_large", "the body is above the limit");
	if (strstr(path, ESCAPED_NUL))
		return refuse(server, connection, MHD_HTTP_BAD_REQUEST,
			      "invalid", "path: must not contain a NUL");
	*context = request_create(server, connection, method, path);
	return MHD_YES;
}

enum MHD_Result http_request_access(void *arg,
				    struct MHD_Connection *connection,
				    const char *path, const char *method,
				    const char *version, const char *data,
				    size_t *size_bytes, void **context)
{
	struct http_server *server = arg;
	struct http_request *request = *context;

	(void)version;
	if (!request)
		return begin_request(server, connection, path, method, context);
	if (*size_bytes) {
		size_t size = *size_bytes;

		*size_bytes = 0;
		return append_body(request, data, size);
	}
	if (request->handed_over)
		return request->response ? send_answer(request) : MHD_YES;
	return serve_request(request);
}

void http_request_completed(void *arg, struct MHD_Connection *connection,
			    void **context,
			    enum MHD_RequestTerminationCode code)
{
	struct http_request *request = *context;
	struct http_server *server = arg;

	(void)code;
	http_connection_of(connection)->in_request = false;
	http_connection_of(connection)->used_ms = clock_now_ms();
	*context = NULL;
	if (!request)
		return;
	g_mutex_lock(&server->lock);
	if (request->handed_over)
		atomic_fetch_sub(&server->open_requests, 1);
	g_cond_signal(&server->completed);
	request->detached = true;
	http_hold_release(request);
	http_gone_remove(server->gone, request->gone_id);
	request->gone_id = 0;
	g_mutex_unlock(&server->lock);
	request_unref(request);
}
