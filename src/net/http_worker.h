/*
 * http_worker: one thread of an HTTP server. It accepts connections from the
 * listening socket that it shares with the other workers, and runs a
 * libmicrohttpd daemon of its own without a thread of the library.
 *
 * All calls of the library for a connection are thus made on one thread,
 * between which that thread can stop accepting and close idle connections.
 * With the library's own threads, both would race with them:
 * MHD_quiesce_daemon() and the polling thread may both remove the listening
 * socket from the epoll set, and the second one aborts the process.
 */
#ifndef NET_HTTP_WORKER_H
#define NET_HTTP_WORKER_H

#include "net/intake.h"

#include <glib.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

struct http_server;
struct http_worker;

/* A connection of a worker. Used on the worker's thread only, but for the
 * fields that say otherwise. */
struct http_connection {
	struct intake_entry entry; /* guarded by the lock of the intake */
	struct http_request *request; /* in progress; guarded in the same way */
	atomic_bool given_up; /* to be closed; any thread */
	/* The answer is kept for the client; guarded in the same way. */
	bool in_answer;
	bool excess; /* above the limit, while no other could be given up */
	struct http_worker *worker;
	int descriptor;
	int64_t used_ms; /* when it was opened or its last request ended */
	uint64_t request_bytes; /* of the requests that were read */
	bool in_request;
};

struct http_worker *http_worker_create(struct http_server *server,
				       uint32_t number, GError **error);
/* Ends the thread and closes all connections. NULL is allowed. */
void http_worker_destroy(struct http_worker *worker);
/* Makes the worker look at the server's state. Any thread. */
void http_worker_wake(struct http_worker *worker);
/* Resumes a suspended connection on the worker's thread. Any thread. */
void http_worker_resume(struct http_worker *worker,
			struct MHD_Connection *connection);
struct http_connection *http_connection_of(struct MHD_Connection *connection);

#endif
