/*
 * http_client: libcurl's multi interface on a thread of its own, with
 * connections kept for reuse. Calls may come from any thread; their
 * callbacks run on the loop's thread, exactly once each.
 */
#ifndef NET_HTTP_CLIENT_H
#define NET_HTTP_CLIENT_H

#include "net/loop.h"

#include <stdbool.h>
#include <stdint.h>

struct http_client;

enum http_result {
	HTTP_OK, /* an answer came, whatever its status */
	HTTP_NOT_CONNECTED, /* nothing was sent: connect failed */
	HTTP_BROKEN, /* it may have been carried out */
	HTTP_TIMED_OUT, /* it may have been carried out */
};

struct http_call {
	const char *method; /* "POST" */
	const char *url;
	const void *body; /* copied; NULL none */
	size_t size_bytes;
	const char *const *headers; /* NULL-ended "Name: value", or NULL */
	int64_t timeout_ms; /* whole call; 0: none */
	int64_t connect_ms; /* 0: 1000 */
	/* Without an answer for so long, later calls leave the connections
	 * there are, which may have gone silent; 0: only at its timeout. */
	int64_t suspect_ms;
};

struct http_answer {
	enum http_result result;
	uint32_t status; /* HTTP_OK only */
	const void *body; /* borrowed during the callback */
	size_t size_bytes;
	uint32_t retry_after_s; /* 0 none */
};

typedef void http_answer_fn(void *arg, const struct http_answer *answer);

struct http_client *
http_client_create(struct loop *loop, uint32_t connections_max, GError **error);
void http_client_destroy(struct http_client *client);
/* So many calls in a row may get no answer before later ones leave the
 * connections there are (1 at first). Before the first call. */
void http_client_set_timeouts_max(struct http_client *client, uint32_t calls);
void http_client_call(struct http_client *client, const struct http_call *call,
		      http_answer_fn *fn, void *arg);

/* One call on the calling thread, for command-line verbs: fills answer,
 * whose body the caller frees with g_free. */
void http_call_now(const struct http_call *call, struct http_answer *answer);

#endif
