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
	uint32_t body_max_bytes;
	uint32_t connections_max;
	/* Above connections_max, connections are accepted up to this number to
	 * be answered with a 503. */
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
	struct http_worker *worker;
	char *method;
	char *path;
	GByteArray *body;
	size_t received_bytes; /* including bytes above the limit */
	int64_t began_ms;
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
/* Answers with 503 because the server ends. Requires the server's lock. */
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

#endif
