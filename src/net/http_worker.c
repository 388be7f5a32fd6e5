/*
 * http_worker: see http_worker.h.
 */
#include "net/http_worker.h"

#include "base/clock.h"
#include "net/http_private.h"

#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* ---- Constants ------------------------------------------------------ */

#define CONNECTION_MEMORY_BYTES 32768
/* Connections accepted in a row before requests are handled again. */
#define ACCEPTS_PER_ROUND 64
/* Retry of accept() after the limit of connections or descriptors. */
#define ACCEPT_RETRY_MS 20
/* While idle connections are closed, the worker looks for them this often. */
#define IDLE_CHECK_MS 20
/* The first request of a new connection may still be on its way. */
#define IDLE_NEW_MS 200
/* Without a count of received bytes: time since the last request. */
#define IDLE_QUIET_MS 100

struct http_worker {
	struct http_server *server;
	struct MHD_Daemon *daemon;
	bool closes_listener; /* this one worker serves the backlog at the end
			       */
	bool accept_failed; /* no descriptor was free */
	int epoll; /* belongs to the daemon */
	int wake_event;
	GThread *thread;
	GHashTable *connections; /* struct http_connection, owned */
	atomic_bool has_given_up; /* connections that are to be closed */
	GMutex lock; /* guards the fields below */
	GPtrArray *resumed; /* struct MHD_Connection */
	bool stopping;
};

/* ---- Connections ---------------------------------------------------- */

static uint64_t give_up(struct intake_entry *entry)
{
	struct http_connection *c = (struct http_connection *)entry;

	if (c->request)
		http_hold_drop_body(c->request);
	atomic_store(&c->given_up, true);
	atomic_store(&c->worker->has_given_up, true);
	http_worker_wake(c->worker);
	/* An answer is freed once the connection is closed. */
	return c->request && c->in_answer ? entry->bytes : 0;
}

static const struct intake_ops connection_ops = { give_up };

struct http_connection *http_connection_of(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void on_connection(void *arg, struct MHD_Connection *connection,
			  void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct http_worker *worker = arg;
	struct intake *intake = worker->server->intake;
	struct http_connection *c = *context;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		atomic_fetch_sub(&worker->server->connections, 1);
		intake_lock(intake);
		intake_close(&c->entry);
		intake_unlock(intake);
		g_hash_table_remove(worker->connections, c);
		return;
	}
	atomic_fetch_add(&worker->server->connections, 1);
	c = g_new0(struct http_connection, 1);
	c->worker = worker;
	c->used_ms = clock_now_ms();
	c->descriptor = MHD_get_connection_info(
				connection, MHD_CONNECTION_INFO_CONNECTION_FD)
				->connect_fd;
	intake_lock(intake);
	c->excess =
		!intake_open(intake, &c->entry, &connection_ops, c->used_ms);
	intake_unlock(intake);
	g_hash_table_add(worker->connections, c);
	*context = c;
}

/* A request that was read in part is not visible in libmicrohttpd before its
 * headers are complete, but the kernel counts its bytes. After a request in
 * chunks, the bytes differ and the connection doesn't count as idle. Where the
 * kernel doesn't count, a connection is idle after a time without bytes. */
static bool has_partial_request(const struct http_connection *c, int64_t now_ms)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);
	int unread_bytes = 0;

	if (!getsockopt(c->descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) &&
	    info.tcpi_bytes_received)
		return info.tcpi_bytes_received != c->request_bytes;
	return now_ms - c->used_ms < IDLE_QUIET_MS ||
	       ioctl(c->descriptor, FIONREAD, &unread_bytes) || unread_bytes;
}

static bool is_idle(const struct http_connection *c, int64_t now_ms)
{
	if (c->in_request || has_partial_request(c, now_ms))
		return false;
	return c->request_bytes || now_ms - c->used_ms >= IDLE_NEW_MS;
}

/* The library closes a connection when it reads the end of the stream. */
static void close_given_up(struct http_worker *worker)
{
	GHashTableIter iter;
	gpointer key;

	if (!atomic_exchange(&worker->has_given_up, false))
		return;
	g_hash_table_iter_init(&iter, worker->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct http_connection *c = key;

		if (atomic_exchange(&c->given_up, false))
			shutdown(c->descriptor, SHUT_RDWR);
	}
}

static void close_idle(struct http_worker *worker)
{
	int64_t now_ms = clock_now_ms();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, worker->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct http_connection *c = key;

		if (is_idle(c, now_ms))
			shutdown(c->descriptor, SHUT_RDWR);
	}
}

/* ---- Accepting ------------------------------------------------------ */

/* Returns false if no connection is waiting. */
static bool accept_one(struct http_worker *worker)
{
	struct sockaddr_storage address;
	socklen_t size = sizeof(address);
	int descriptor = accept4(worker->server->listener,
				 (struct sockaddr *)&address, &size,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

	worker->accept_failed = descriptor < 0 &&
				(errno == EMFILE || errno == ENFILE ||
				 errno == ENOBUFS || errno == ENOMEM);
	if (descriptor < 0)
		return errno == ECONNABORTED || errno == EINTR;
	/* If it fails, it closes the descriptor. */
	MHD_add_connection(worker->daemon, descriptor,
			   (struct sockaddr *)&address, size);
	return true;
}

static bool is_full(const struct http_worker *worker)
{
	struct http_server *server = worker->server;

	return atomic_load(&server->connections) >= server->accepted_max;
}

static void accept_some(struct http_worker *worker)
{
	for (int i = 0; i < ACCEPTS_PER_ROUND && !is_full(worker); i++)
		if (!accept_one(worker))
			return;
}

/* Serves the connections in the listen backlog, because closing the listener
 * would reset them. New connections are refused from now on. Clients that go on
 * connecting meanwhile don't hold it up. */
static void close_listener(struct http_worker *worker)
{
	struct http_server *server = worker->server;

	for (int i = 0; i < HTTP_LISTEN_BACKLOG && accept_one(worker); i++)
		;
	shutdown(server->listener, SHUT_RDWR);
	g_mutex_lock(&server->lock);
	server->quiesced = true;
	g_cond_broadcast(&server->completed);
	g_mutex_unlock(&server->lock);
}

/* ---- Thread --------------------------------------------------------- */

static bool resume_connections(struct http_worker *worker)
{
	bool stopping;

	g_mutex_lock(&worker->lock);
	for (guint i = 0; i < worker->resumed->len; i++)
		MHD_resume_connection(g_ptr_array_index(worker->resumed, i));
	g_ptr_array_set_size(worker->resumed, 0);
	stopping = worker->stopping;
	g_mutex_unlock(&worker->lock);
	return stopping;
}

static int poll_timeout_ms(const struct http_worker *worker, bool accepting)
{
	MHD_UNSIGNED_LONG_LONG library_ms;
	int timeout_ms = -1;

	if (MHD_get_timeout(worker->daemon, &library_ms) == MHD_YES)
		timeout_ms = (int)MIN(library_ms, (unsigned long long)G_MAXINT);
	if (!accepting && (timeout_ms < 0 || timeout_ms > ACCEPT_RETRY_MS))
		timeout_ms = ACCEPT_RETRY_MS;
	if (atomic_load(&worker->server->closing_idle) &&
	    (timeout_ms < 0 || timeout_ms > IDLE_CHECK_MS))
		timeout_ms = IDLE_CHECK_MS;
	return timeout_ms;
}

/* Waits for events. Returns true if a connection may be accepted. */
static bool wait_for_events(struct http_worker *worker, bool quiescing)
{
	bool accepting = !quiescing && !worker->accept_failed &&
			 !is_full(worker);
	struct pollfd fds[] = {
		{ .fd = worker->epoll, .events = POLLIN },
		{ .fd = worker->wake_event, .events = POLLIN },
		{ .fd = accepting ? worker->server->listener : -1,
		  .events = POLLIN },
	};
	eventfd_t ignored;

	worker->accept_failed = false;
	if (poll(fds, G_N_ELEMENTS(fds),
		 poll_timeout_ms(worker, accepting || quiescing)) < 0)
		return false;
	if (fds[1].revents)
		eventfd_read(worker->wake_event, &ignored);
	return fds[2].revents != 0;
}

static gpointer run(gpointer arg)
{
	struct http_worker *worker = arg;
	struct http_server *server = worker->server;
	bool listener_closed = false;

	while (!resume_connections(worker)) {
		bool quiescing = atomic_load(&server->quiescing);

		if (quiescing && worker->closes_listener && !listener_closed) {
			close_listener(worker);
			listener_closed = true;
		}
		if (atomic_load(&server->closing_idle))
			close_idle(worker);
		close_given_up(worker);
		MHD_run(worker->daemon);
		if (wait_for_events(worker, quiescing))
			accept_some(worker);
	}
	return NULL;
}

/* ---- Lifecycle ------------------------------------------------------ */

static struct MHD_Daemon *start_daemon(struct http_worker *worker)
{
	struct http_server *server = worker->server;

	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_USE_NO_LISTEN_SOCKET |
			MHD_ALLOW_SUSPEND_RESUME,
		0, NULL, NULL, http_request_access, server,
		MHD_OPTION_CONNECTION_LIMIT,
		/* The listen backlog is served at the end, above the limit. */
		(unsigned int)(server->accepted_max + HTTP_LISTEN_BACKLOG),
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)server->timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_STRICT_FOR_CLIENT,
		1, MHD_OPTION_UNESCAPE_CALLBACK, http_request_unescape, NULL,
		MHD_OPTION_NOTIFY_COMPLETED, http_request_completed, server,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, worker,
		MHD_OPTION_END);
}

struct http_worker *http_worker_create(struct http_server *server,
				       uint32_t number, GError **error)
{
	struct http_worker *worker = g_new0(struct http_worker, 1);
	const union MHD_DaemonInfo *info;

	worker->server = server;
	worker->closes_listener = number == 0;
	worker->connections = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	worker->resumed = g_ptr_array_new();
	g_mutex_init(&worker->lock);
	errno = 0;
	worker->wake_event = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (worker->wake_event >= 0)
		worker->daemon = start_daemon(worker);
	if (!worker->daemon) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "HTTP server thread: %s", g_strerror(errno));
		http_worker_destroy(worker);
		return NULL;
	}
	info = MHD_get_daemon_info(worker->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	worker->epoll = info->epoll_fd;
	worker->thread = g_thread_new("http", run, worker);
	return worker;
}

void http_worker_destroy(struct http_worker *worker)
{
	if (!worker)
		return;
	if (worker->thread) {
		g_mutex_lock(&worker->lock);
		worker->stopping = true;
		g_mutex_unlock(&worker->lock);
		http_worker_wake(worker);
		g_thread_join(worker->thread);
		resume_connections(worker);
	}
	if (worker->daemon)
		MHD_stop_daemon(worker->daemon);
	if (worker->wake_event >= 0)
		close(worker->wake_event);
	g_mutex_clear(&worker->lock);
	g_ptr_array_unref(worker->resumed);
	g_hash_table_destroy(worker->connections);
	g_free(worker);
}

void http_worker_wake(struct http_worker *worker)
{
	eventfd_write(worker->wake_event, 1);
}

void http_worker_resume(struct http_worker *worker,
			struct MHD_Connection *connection)
{
	g_mutex_lock(&worker->lock);
	g_ptr_array_add(worker->resumed, connection);
	g_mutex_unlock(&worker->lock);
	http_worker_wake(worker);
}
