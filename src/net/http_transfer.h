/*
 * http_transfer: one HTTP call as a libcurl easy handle, set up so that
 * libcurl can't send it twice, and its outcome told honestly.
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
	unsigned int sends; /* times that the request was about to go out */
	GByteArray *answer;
};

void http_transfer_init(struct http_transfer *transfer,
			const struct http_call *call);
void http_transfer_clear(struct http_transfer *transfer);
/* Gives the call to a fresh or reset handle. */
void http_transfer_prepare(struct http_transfer *transfer, CURL *easy);
/* The outcome; its body is borrowed from the transfer. */
void http_transfer_finish(struct http_transfer *transfer, CURL *easy,
			  CURLcode code, struct http_answer *answer);

#endif
