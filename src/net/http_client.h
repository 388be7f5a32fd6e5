/*
 * http_client: an HTTP client that runs libcurl's multi interface on its
 * own thread and reuses connections. Calls may be made from any thread.
 * Each callback runs exactly once, on the loop's thread.
 */
#ifndef NET_HTTP_CLIENT_H
#define NET_HTTP_CLIENT_H

#include "net/loop.h"

#include <stdbool.h>
#include <stdint.h>

struct http_client;

enum http_result {
	HTTP_OK, /* a response arrived, with any status */
	HTTP_NOT_CONNECTED, /* connecting failed, so nothing was sent */
	HTTP_BROKEN, /* connection failed; the server may have run the call */
	HTTP_TIMED_OUT, /* timed out; the server may have run the call */
};

struct http_call {
	const char *method; /* "POST" */
	const char *url;
	const void *body; /* copied; NULL: none */
	size_t size_bytes;
	const char *const *headers; /* NULL-terminated "Name: value", or NULL */
	int64_t timeout_ms; /* for the whole call; 0: none */
	int64_t connect_ms; /* connect timeout; 0: 1000 */
	/* If the call gets no response for this long, later calls avoid the
	 * existing connections, which may be dead. 0: only when it times out.
	 */
	int64_t suspect_ms;
};

struct http_answer {
	enum http_result result;
	/* The call ended because the server's host refused a connection: no
	 * process listens there. It was also sent before, on a reused
	 * connection that broke, unless the result is HTTP_NOT_CONNECTED. */
	bool refused;
	uint32_t status; /* HTTP_OK only */
	const void *body; /* valid during the callback only */
	size_t size_bytes;
	uint32_t retry_after_s; /* 0: none */
};

typedef void http_answer_fn(void *arg, const struct http_answer *answer);

struct http_client *
http_client_create(struct loop *loop, uint32_t connections_max, GError **error);
/* Calls the answer functions of all calls, which must make no further ones. */
void http_client_destroy(struct http_client *client);
/* True in the answer functions that http_client_destroy() calls. */
bool http_client_is_ending(const struct http_client *client);
/* Sets the number of consecutive timeouts after which later calls avoid the
 * existing connections (default 1). Must precede the first call. */
void http_client_set_timeouts_max(struct http_client *client, uint32_t calls);
void http_client_call(struct http_client *client, const struct http_call *call,
		      http_answer_fn *fn, void *arg);

/* Makes one blocking call on the calling thread, for command-line verbs.
 * The caller frees the body of the answer with g_free. */
void http_call_now(const struct http_call *call, struct http_answer *answer);

#endif
