/*
 * http_server: libmicrohttpd behind one handler. Requests arrive on
 * the server's own threads with the whole body; an answer may be given
 * at once or later from any thread, once.
 */
#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct http_server;
struct http_request;

struct http_server_options {
	const char *address; /* ip:port, port 0 allowed */
	uint32_t threads; /* 0: 2 */
	uint32_t connections_max; /* 0: 4096 */
	uint32_t body_max_bytes; /* 0: 8 MiB; more is a 413 */
	uint32_t timeout_s; /* 0: 30, idle or half-sent requests */
};

typedef void http_handler_fn(void *arg, struct http_request *request);

struct http_server *http_server_create(const struct http_server_options *o,
				       http_handler_fn *handler, void *arg,
				       GError **error);
uint16_t http_server_port(const struct http_server *server);
/* From here on each answer ends its connection; requests are still taken. */
void http_server_close_after_answers(struct http_server *server);
void http_server_quiesce(struct http_server *server); /* accepts no more */
uint32_t http_server_open_requests(const struct http_server *server);
void http_server_destroy(struct http_server *server);

const char *http_method(const struct http_request *request);
const char *http_path(const struct http_request *request); /* no query */
const char *http_query(const struct http_request *request, const char *name);
const char *http_header(const struct http_request *request, const char *name);
const void *http_body(const struct http_request *request, size_t *size_bytes);

/* Header lines for an answer: "Retry-After: 1", NULL-ended array, or
 * NULL. The body is copied. The request must not be used afterwards. */
void http_reply(struct http_request *request, uint32_t status,
		const char *content_type, const void *body, size_t size_bytes,
		const char *const *headers);
/* Tells (from a server thread) that the caller went away unanswered;
 * the answer must still be given and is dropped. */
void http_on_disconnect(struct http_request *request, void (*gone)(void *arg),
			void *arg);

#endif
