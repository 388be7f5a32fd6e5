/*
 * http_private: declarations shared by http_server.c, http_worker.c (one
 * thread of a server) and http_request.c (one request).
 */
#ifndef NET_HTTP_PRIVATE_H
#define NET_HTTP_PRIVATE_H

#include "base/counters.h"
#include "net/http_gone.h"
#include "net/http_server.h"
#include "net/http_worker.h"

#include <microhttpd.h>
#include <stdatomic.h>

#define HTTP_STATUS_CLASSES 6 /* status / 100; class 0 is unused */
#define HTTP_LISTEN_BACKLOG 1024

struct http_server {
	GPtrArray *workers; /* struct http_worker */
	int listener;
	http_handler_fn *handler;
	void *arg;
	http_handler_fn *refuse;
	struct intake *intake;
	uint32_t body_max_bytes;
	uint64_t parsed_max_bytes; /* by one thread */
	/* Above the intake's limit, connections are accepted up to this number
	 * to be answered with a 503. */
	uint32_t accepted_max;
	uint32_t timeout_s;
	uint16_t port;
	atomic_int ref_count; /* one for the owner and one per request */
	atomic_bool quiescing;
	atomic_bool closing; /* each response closes its connection */
	atomic_bool closing_idle;
	atomic_uint connections;
	atomic_uint open_requests;
	struct counter *answers[HTTP_STATUS_CLASSES];
	struct counter *refused_connections;
	struct http_gone *gone;
	GMutex lock; /* guards the fields below and the state of requests */
	GHashTable *requests; /* passed to the handler, not yet answered */
	bool destroying;
	bool quiesced; /* the listen backlog has been served */
	GCond completed; /* when a request ends or the server is quiesced */
};

struct http_request {
	struct http_server *server;
	struct MHD_Connection *connection;
	/* Valid until the request is detached. */
	struct http_connection *owner;
	struct http_worker *worker;
	char *method;
	char *path;
	/* NULL: empty, too large, given up or freed. Until the request is
	 * complete, guarded by the lock of the intake. */
	GByteArray *body;
	size_t received_bytes; /* including bytes above the limit */
	int64_t began_ms;
	bool refused; /* found no room */
	bool handed_over; /* passed to the handler */
	bool answered;
	atomic_int ref_count;
	/* The fields below are guarded by the server's lock. */
	uint64_t gone_id;
	bool suspended;
	bool detached; /* libmicrohttpd released the request */
	struct MHD_Response *response; /* NULL: no response yet */
	unsigned int status;
};

struct http_server *http_server_ref(struct http_server *server);
void http_server_unref(struct http_server *server);

void http_request_answer(struct http_request *request, unsigned int status,
			 struct MHD_Response *response);
/* Answers with 504 because the server ends. Requires the server's lock. */
void http_request_abandon(struct http_request *request);
size_t http_request_unescape(void *arg, struct MHD_Connection *connection,
			     char *text);
enum MHD_Result http_request_access(void *arg,
				    struct MHD_Connection *connection,
				    const char *path, const char *method,
				    const char *version, const char *data,
				    size_t *size_bytes, void **context);
void http_request_completed(void *arg, struct MHD_Connection *connection,
			    void **context,
			    enum MHD_RequestTerminationCode code);

/* ---- http_hold.c: from its first byte to the end of its answer ---- */

/* A request begins on its connection, which waits for the rest. */
void http_hold_begin(struct http_request *request);
/* Keeps a part of the body, unless the body is too large or finds no room. */
void http_hold_body(struct http_request *request, const char *data,
		    size_t size_bytes);
bool http_hold_is_too_large(const struct http_request *request);
/* Takes a whole request for the handler; request->refused is set if it finds no
 * room. Returns false if its connection was given up. */
bool http_hold_whole(struct http_request *request);
/* Counts an answer in place of its request, until the client has read it.
 * Returns false if there is no room. Requires the server's lock. */
bool http_hold_answer(struct http_request *request, size_t size_bytes);
/* The connection holds nothing more for this request, and waits for the next
 * one. Requires the server's lock. */
void http_hold_release(struct http_request *request);
/* Frees the body. Requires the intake's lock, unless nobody else has the
 * request. */
void http_hold_drop_body(struct http_request *request);

#endif
