/*
 * http_transfer: one HTTP call on a libcurl easy handle. It keeps libcurl
 * from sending the request twice. Its result states whether the server may
 * have received the request.
 */
#ifndef NET_HTTP_TRANSFER_H
#define NET_HTTP_TRANSFER_H

#include "net/http_client.h"

#include <curl/curl.h>
#include <glib.h>

struct http_transfer {
	char *method;
	char *url;
	GBytes *body; /* NULL: none */
	struct curl_slist *headers;
	int64_t timeout_ms, connect_ms;
	unsigned int sends; /* times libcurl was about to send the request */
	GByteArray *answer;
};

void http_transfer_init(struct http_transfer *transfer,
			const struct http_call *call);
void http_transfer_clear(struct http_transfer *transfer);
/* Sets the call's options on a new or reset handle. */
void http_transfer_prepare(struct http_transfer *transfer, CURL *easy);
/* Fills answer. Its body belongs to the transfer. */
void http_transfer_finish(struct http_transfer *transfer, CURL *easy,
			  CURLcode code, struct http_answer *answer);

#endif
