/*
 * http_server: see http_server.h. Opens the listening socket and starts
 * the workers. Handles quiescing and shutdown.
 */
#include "net/http_private.h"

#include "base/address.h"
#include "base/json_budget.h"
#include "base/logger.h"

#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_THREADS 2
#define DEFAULT_CONNECTIONS_MAX 4096
#define DEFAULT_BODY_MAX_BYTES (8U << 20)
#define DEFAULT_HELD_MAX_BYTES (64U << 20)
#define DEFAULT_PARSED_MAX_BYTES (64U << 20)
#define DEFAULT_DOOR "http"
/* What the kernel keeps unread for a connection. */
#define RECEIVE_BUFFER_BYTES 32768
#define DEFAULT_TIMEOUT_S 30
/* Connections above the limit that are accepted to be answered with a 503. */
#define EXCESS_CONNECTIONS_MIN 8
/* Time for clients to read their last responses at shutdown. */
#define DRAIN_US 2000000

/* ---- References ---- */

struct http_server *http_server_ref(struct http_server *server)
{
	atomic_fetch_add(&server->ref_count, 1);
	return server;
}

void http_server_unref(struct http_server *server)
{
	if (atomic_fetch_sub(&server->ref_count, 1) > 1)
		return;
	http_gone_destroy(server->gone);
	intake_destroy(server->intake);
	g_hash_table_destroy(server->requests);
	g_ptr_array_unref(server->workers);
	g_mutex_clear(&server->lock);
	g_cond_clear(&server->completed);
	g_free(server);
}

/* ---- Create ---- */

static void create_counters(struct http_server *server)
{
	for (unsigned int i = 0; i < HTTP_STATUS_CLASSES; i++) {
		char labels[32];

		g_snprintf(labels, sizeof(labels), "status=\"%uxx\"", i);
		server->answers[i] = counter_get("http_answers_total", labels,
						 "HTTP answers given");
	}
	server->refused_connections =
		counter_get("http_connections_refused_total", NULL,
			    "HTTP connections above the limit");
}

/* SO_REUSEPORT lets a new process listen while the old one still drains. */
static int open_listener(const struct sockaddr_storage *address, socklen_t size)
{
	static const int on = 1;
	static const int receive_bytes = RECEIVE_BUFFER_BYTES;
	int listener = socket(address->ss_family,
			      SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (listener < 0)
		return -1;
	/* Accepted connections inherit it. */
	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
		   sizeof(receive_bytes));
	if (setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    setsockopt(listener, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) ||
	    (address->ss_family == AF_INET6 &&
	     setsockopt(listener, IPPROTO_IPV6, IPV6_V6ONLY, &on,
			sizeof(on))) ||
	    bind(listener, (const struct sockaddr *)address, size) ||
	    listen(listener, HTTP_LISTEN_BACKLOG)) {
		int saved_errno = errno;

		close(listener);
		errno = saved_errno;
		return -1;
	}
	return listener;
}

static uint16_t bound_port(int listener)
{
	union {
		struct sockaddr any;
		struct sockaddr_in v4;
		struct sockaddr_in6 v6;
	} address = { 0 };
	socklen_t size = sizeof(address);

	if (getsockname(listener, &address.any, &size))
		return 0;
	return ntohs(address.any.sa_family == AF_INET6 ? address.v6.sin6_port
						       : address.v4.sin_port);
}

static uint32_t or_default(uint32_t value, uint32_t default_value)
{
	return value ? value : default_value;
}

static bool start_workers(struct http_server *server, uint32_t n,
			  GError **error)
{
	for (uint32_t i = 0; i < n; i++) {
		struct http_worker *worker =
			http_worker_create(server, i, error);

		if (!worker)
			return false;
		g_ptr_array_add(server->workers, worker);
	}
	return true;
}

static void stop_workers(struct http_server *server)
{
	for (guint i = 0; i < server->workers->len; i++)
		http_worker_destroy(g_ptr_array_index(server->workers, i));
	g_ptr_array_set_size(server->workers, 0);
	if (server->listener >= 0)
		close(server->listener);
}

static void set_limits(struct http_server *server,
		       const struct http_server_options *o)
{
	struct intake_limits limits = {
		.connections_max =
			or_default(o->connections_max, DEFAULT_CONNECTIONS_MAX),
		.bytes_max = o->held_max_bytes ? o->held_max_bytes
					       : DEFAULT_HELD_MAX_BYTES,
	};
	uint32_t body_max_bytes =
		or_default(o->body_max_bytes, DEFAULT_BODY_MAX_BYTES);

	server->intake =
		intake_create(o->door ? o->door : DEFAULT_DOOR, &limits);
	server->accepted_max =
		limits.connections_max +
		MAX(EXCESS_CONNECTIONS_MIN, limits.connections_max / 8);
	server->body_max_bytes = (uint32_t)MIN(
		body_max_bytes, intake_request_max_bytes(server->intake));
	server->parsed_max_bytes = (o->parsed_max_bytes
					    ? o->parsed_max_bytes
					    : DEFAULT_PARSED_MAX_BYTES) /
				   or_default(o->threads, DEFAULT_THREADS);
	server->timeout_s = or_default(o->timeout_s, DEFAULT_TIMEOUT_S);
}

struct http_server *http_server_create(const struct http_server_options *o,
				       http_handler_fn *handler, void *arg,
				       GError **error)
{
	struct sockaddr_storage address;
	struct http_server *server;
	socklen_t size;

	if (!address_to_sockaddr(o->address, &address, &size)) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
			    "%s is not IP:PORT", o->address);
		return NULL;
	}
	json_budget_install();
	server = g_new0(struct http_server, 1);
	server->handler = handler;
	server->arg = arg;
	server->refuse = o->refuse;
	set_limits(server, o);
	server->listener = -1;
	server->workers = g_ptr_array_new();
	atomic_store(&server->ref_count, 1);
	g_mutex_init(&server->lock);
	g_cond_init(&server->completed);
	server->requests = g_hash_table_new(NULL, NULL);
	create_counters(server);
	server->gone = http_gone_create(error);
	if (!server->gone)
		goto fail;
	server->listener = open_listener(&address, size);
	if (server->listener < 0) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "HTTP on %s: %s", o->address, g_strerror(errno));
		goto fail;
	}
	server->port = bound_port(server->listener);
	if (start_workers(server, or_default(o->threads, DEFAULT_THREADS),
			  error))
		return server;
fail:
	stop_workers(server);
	http_server_unref(server);
	return NULL;
}

uint16_t http_server_port(const struct http_server *server)
{
	return server->port;
}

uint32_t http_server_open_requests(const struct http_server *server)
{
	return atomic_load(&((struct http_server *)server)->open_requests);
}

uint32_t http_server_connections(const struct http_server *server)
{
	return atomic_load(&((struct http_server *)server)->connections);
}

/* ---- Shutdown ---- */

static void wake_workers(struct http_server *server)
{
	for (guint i = 0; i < server->workers->len; i++)
		http_worker_wake(g_ptr_array_index(server->workers, i));
}

void http_server_close_after_answers(struct http_server *server)
{
	atomic_store(&server->closing, true);
}

void http_server_quiesce(struct http_server *server)
{
	if (atomic_exchange(&server->quiescing, true))
		return;
	wake_workers(server);
	g_mutex_lock(&server->lock);
	while (!server->quiesced)
		g_cond_wait(&server->completed, &server->lock);
	g_mutex_unlock(&server->lock);
}

void http_server_close_idle(struct http_server *server)
{
	atomic_store(&server->closing, true);
	atomic_store(&server->closing_idle, true);
	wake_workers(server);
}

/* Answers suspended requests, so that the daemon can stop. */
static void abandon_requests(struct http_server *server)
{
	GHashTableIter iter;
	gpointer key;
	uint32_t n = 0;

	g_mutex_lock(&server->lock);
	server->destroying = true;
	g_hash_table_iter_init(&iter, server->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct http_request *request = key;

		if (!request->suspended || request->response)
			continue;
		http_request_abandon(request);
		n++;
	}
	g_mutex_unlock(&server->lock);
	if (n)
		log_event(LOG_WARN, "requests_abandoned", "requests=%u", n);
}

/* Waits at most DRAIN_US until all responses are sent. When the daemon stops,
 * it drops responses that are not sent yet. */
static void wait_for_answers(struct http_server *server)
{
	gint64 end_us = g_get_monotonic_time() + DRAIN_US;

	g_mutex_lock(&server->lock);
	while (atomic_load(&server->open_requests) > 0)
		if (!g_cond_wait_until(&server->completed, &server->lock,
				       end_us))
			break;
	g_mutex_unlock(&server->lock);
}

void http_server_destroy(struct http_server *server)
{
	if (!server)
		return;
	http_server_quiesce(server);
	abandon_requests(server);
	wait_for_answers(server);
	stop_workers(server);
	http_server_unref(server);
}
