/*
 * http_server: an HTTP server over libmicrohttpd with a single handler.
 * The handler runs on the server's threads once the complete body has
 * arrived. It must reply exactly once, at once or later, from any thread.
 */
#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Reason and message of a refusal for want of room. */
#define HTTP_OVERLOADED "overloaded"
#define HTTP_OVERLOADED_TEXT "there is no room for this request now"

struct http_server;
struct http_request;

typedef void http_handler_fn(void *arg, struct http_request *request);

struct http_server_options {
	const char *address; /* ip:port, port 0 allowed */
	uint32_t threads; /* 0: 2 */
	uint32_t connections_max; /* 0: 4096 */
	/* 0: 8 MiB; larger bodies get a 413, as do those above a quarter of
	 * held_max_bytes. */
	uint32_t body_max_bytes;
	uint64_t held_max_bytes; /* of all connections together; 0: 64 MiB */
	/* Of JSON values that the threads together parse; 0: 64 MiB. */
	uint64_t parsed_max_bytes;
	const char *door; /* in counters and log lines; NULL: "http" */
	/* For idle connections and incomplete requests; 0: 30. */
	uint32_t timeout_s;
	/* Replies to a request that finds no room, in place of the handler; its
	 * body is gone. NULL: a 503 with a Retry-After. For handlers whose
	 * refusal promises something. */
	http_handler_fn *refuse;
};

struct http_server *http_server_create(const struct http_server_options *o,
				       http_handler_fn *handler, void *arg,
				       GError **error);
uint16_t http_server_port(const struct http_server *server);
/* Closes each connection after its next response. Still accepts requests. */
void http_server_close_after_answers(struct http_server *server);
/* Stops accepting connections. Those that wait to be accepted are served. Must
 * not be called from the handler. */
void http_server_quiesce(struct http_server *server);
/* From now on, closes connections without a request in progress. A request of
 * which a part has been read is served, and its response closes its
 * connection. */
void http_server_close_idle(struct http_server *server);
uint32_t http_server_open_requests(const struct http_server *server);
uint32_t http_server_connections(const struct http_server *server);
void http_server_destroy(struct http_server *server);

const char *http_method(const struct http_request *request);
/* The path without the query. */
const char *http_path(const struct http_request *request);
const char *http_query(const struct http_request *request, const char *name);
const char *http_header(const struct http_request *request, const char *name);
const void *http_body(const struct http_request *request, size_t *size_bytes);

/* Frees the body, which the handler no longer needs. It still counts as held
 * until the reply. Only in the handler. */
void http_free_body(struct http_request *request);

/* Replies and ends the request, which must not be used afterwards. The body
 * is copied. headers is a NULL-terminated array of lines such as
 * "Retry-After: 1", or NULL. */
void http_reply(struct http_request *request, uint32_t status,
		const char *content_type, const void *body, size_t size_bytes,
		const char *const *headers);
/* Registers a function that is called on a server thread if the client
 * disconnects before the reply. The handler must still reply; that reply is
 * dropped. */
void http_on_disconnect(struct http_request *request, void (*gone)(void *arg),
			void *arg);

#endif
