/*
 * http_server: see http_server.h. Runs the libmicrohttpd daemon with a
 * pool of epoll threads. Handles its limits, quiescing and shutdown.
 */
#include "net/http_private.h"

#include "base/address.h"

#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_THREADS 2
#define DEFAULT_CONNECTIONS_MAX 4096
#define DEFAULT_BODY_MAX_BYTES (8U << 20)
#define DEFAULT_TIMEOUT_S 30
#define CONNECTION_MEMORY_BYTES 32768
#define LISTEN_BACKLOG 1024
/* Connections above the limit that are accepted to be answered with a 503. */
#define EXCESS_CONNECTIONS_MIN 64
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
	g_hash_table_destroy(server->requests);
	g_mutex_clear(&server->lock);
	g_cond_clear(&server->completed);
	g_free(server);
}

/* ---- Create ---- */

static void on_connection(void *arg, struct MHD_Connection *connection,
			  void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct http_server *server = arg;

	(void)connection;
	(void)context;
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		atomic_fetch_add(&server->connections, 1);
	else
		atomic_fetch_sub(&server->connections, 1);
}

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

static void start_daemon(struct http_server *server, uint32_t threads,
			 const struct sockaddr_storage *address)
{
	uint32_t excess =
		MAX(EXCESS_CONNECTIONS_MIN, server->connections_max / 8);
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			     MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;

	if (address->ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	/* libmicrohttpd runs a single thread if the pool size is 0. */
	server->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, http_request_access, server,
		MHD_OPTION_SOCK_ADDR, (const struct sockaddr *)address,
		MHD_OPTION_THREAD_POOL_SIZE,
		(unsigned int)(threads > 1 ? threads : 0),
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)(server->connections_max + excess),
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)server->timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_LISTEN_BACKLOG_SIZE,
		(unsigned int)LISTEN_BACKLOG,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_NOTIFY_COMPLETED,
		http_request_completed, server, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, server, MHD_OPTION_END);
}

static uint16_t bound_port(struct http_server *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info ? info->port : 0;
}

static uint32_t or_default(uint32_t value, uint32_t default_value)
{
	return value ? value : default_value;
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
	server = g_new0(struct http_server, 1);
	server->handler = handler;
	server->arg = arg;
	server->body_max_bytes =
		or_default(o->body_max_bytes, DEFAULT_BODY_MAX_BYTES);
	server->connections_max =
		or_default(o->connections_max, DEFAULT_CONNECTIONS_MAX);
	server->timeout_s = or_default(o->timeout_s, DEFAULT_TIMEOUT_S);
	server->quiesced_listener = -1;
	atomic_store(&server->ref_count, 1);
	g_mutex_init(&server->lock);
	g_cond_init(&server->completed);
	server->requests = g_hash_table_new(NULL, NULL);
	create_counters(server);
	server->gone = http_gone_create(error);
	if (!server->gone) {
		http_server_unref(server);
		return NULL;
	}
	errno = 0;
	start_daemon(server, or_default(o->threads, DEFAULT_THREADS), &address);
	if (!server->daemon) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "HTTP on %s: %s", o->address, g_strerror(errno));
		http_server_unref(server);
		return NULL;
	}
	server->port = bound_port(server);
	return server;
}

uint16_t http_server_port(const struct http_server *server)
{
	return server->port;
}

uint32_t http_server_open_requests(const struct http_server *server)
{
	return atomic_load(&((struct http_server *)server)->open_requests);
}

/* ---- Shutdown ---- */

/* Serves connections already in the listen backlog. Closing the listener
 * would reset them. */
static void accept_backlog(struct http_server *server, int listener)
{
	struct sockaddr_storage address;
	socklen_t size = sizeof(address);
	int descriptor = accept4(listener, (struct sockaddr *)&address, &size,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

	while (descriptor >= 0) {
		if (MHD_add_connection(server->daemon, descriptor,
				       (struct sockaddr *)&address,
				       size) != MHD_YES)
			break; /* it closed the descriptor */
		size = sizeof(address);
		descriptor = accept4(listener, (struct sockaddr *)&address,
				     &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
	}
}

void http_server_close_after_answers(struct http_server *server)
{
	atomic_store(&server->closing, true);
}

void http_server_quiesce(struct http_server *server)
{
	int listener;

	if (atomic_exchange(&server->quiescing, true))
		return;
	listener = MHD_quiesce_daemon(server->daemon);
	if (listener < 0)
		return;
	accept_backlog(server, listener);
	/* New connections are refused from now on. libmicrohttpd's threads
	 * may still use the descriptor, so it is closed only at the end. */
	shutdown(listener, SHUT_RDWR);
	server->quiesced_listener = listener;
}

/* Answers suspended requests with 503, so that the daemon can stop. */
static void abandon_requests(struct http_server *server)
{
	GHashTableIter iter;
	gpointer key;

	g_mutex_lock(&server->lock);
	server->destroying = true;
	g_hash_table_iter_init(&iter, server->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct http_request *request = key;

		if (request->suspended && !request->response)
			http_request_abandon(request);
	}
	g_mutex_unlock(&server->lock);
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
	MHD_stop_daemon(server->daemon);
	if (server->quiesced_listener >= 0)
		close(server->quiesced_listener);
	http_server_unref(server);
}
