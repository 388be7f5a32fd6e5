/*
 * http_transfer: see http_transfer.h.
 *
 * libcurl resends a request on its own if a reused connection ends before
 * the first byte of the response. The server may have received the first
 * request, so resending would break at-most-once delivery. libcurl calls
 * the CURLOPT_PREREQFUNCTION callback before each send, and the second call
 * aborts the transfer. If the callback never ran, the server cannot have
 * run the request; otherwise it may have.
 */
#include "net/http_transfer.h"

#include <errno.h>
#include <string.h>

#define DEFAULT_CONNECT_MS 1000
#define ANSWER_MAX_BYTES (64U << 20)

/* ---- libcurl callbacks ---- */

static int before_send(void *arg, char *ip, char *local_ip, int port,
		       int local_port)
{
	struct http_transfer *transfer = arg;

	(void)ip;
	(void)local_ip;
	(void)port;
	(void)local_port;
	transfer->sends++;
	return transfer->sends == 1 ? CURL_PREREQFUNC_OK
				    : CURL_PREREQFUNC_ABORT;
}

static size_t on_data(char *data, size_t unit, size_t n, void *arg)
{
	struct http_transfer *transfer = arg;
	size_t size = unit * n;

	if (size > ANSWER_MAX_BYTES - transfer->answer->len)
		return 0;
	g_byte_array_append(transfer->answer, (const guint8 *)data,
			    (guint)size);
	return size;
}

/* ---- Set-up ---- */

static struct curl_slist *append_header(struct curl_slist *list,
					const char *line)
{
	struct curl_slist *longer = curl_slist_append(list, line);

	if (!longer)
		g_error("out of memory for a header");
	return longer;
}

void http_transfer_init(struct http_transfer *transfer,
			const struct http_call *call)
{
	memset(transfer, 0, sizeof(*transfer));
	transfer->method = g_strdup(call->method);
	transfer->url = g_strdup(call->url);
	if (call->body)
		transfer->body = g_bytes_new(call->body, call->size_bytes);
	transfer->headers = append_header(NULL, "Expect:");
	for (size_t i = 0; call->headers && call->headers[i]; i++)
		transfer->headers =
			append_header(transfer->headers, call->headers[i]);
	transfer->timeout_ms = call->timeout_ms;
	transfer->connect_ms = call->connect_ms ? call->connect_ms
						: DEFAULT_CONNECT_MS;
	transfer->answer = g_byte_array_new();
}

void http_transfer_clear(struct http_transfer *transfer)
{
	g_free(transfer->method);
	g_free(transfer->url);
	g_clear_pointer(&transfer->body, g_bytes_unref);
	curl_slist_free_all(transfer->headers);
	g_byte_array_unref(transfer->answer);
}

static void prepare_body(struct http_transfer *transfer, CURL *easy)
{
	gsize size = 0;
	const void *data =
		transfer->body ? g_bytes_get_data(transfer->body, &size) : "";

	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, data ? data : "");
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)size);
}

void http_transfer_prepare(struct http_transfer *transfer, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_URL, transfer->url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)transfer->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)transfer->connect_ms);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	if (transfer->body || !strcmp(transfer->method, "POST"))
		prepare_body(transfer, easy);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, transfer->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
}

/* ---- Result ---- */

static enum http_result classify_result(const struct http_transfer *transfer,
					CURLcode code)
{
	if (code == CURLE_OK)
		return HTTP_OK;
	if (!transfer->sends)
		return HTTP_NOT_CONNECTED;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return HTTP_TIMED_OUT;
	return HTTP_BROKEN;
}

static bool was_refused(CURL *easy, CURLcode code)
{
	long error = 0;

	if (code != CURLE_COULDNT_CONNECT)
		return false;
	curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
	return error == ECONNREFUSED;
}

void http_transfer_finish(struct http_transfer *transfer, CURL *easy,
			  CURLcode code, struct http_answer *answer)
{
	curl_off_t retry_after_s = 0;
	long status = 0;

	memset(answer, 0, sizeof(*answer));
	answer->result = classify_result(transfer, code);
	answer->refused = was_refused(easy, code);
	if (answer->result != HTTP_OK)
		return;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(easy, CURLINFO_RETRY_AFTER, &retry_after_s);
	answer->status = (uint32_t)status;
	answer->retry_after_s =
		(uint32_t)CLAMP(retry_after_s, 0, (curl_off_t)UINT32_MAX);
	answer->body = transfer->answer->data;
	answer->size_bytes = transfer->answer->len;
}
