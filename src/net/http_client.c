/*
 * http_client: see http_client.h. Calls reach the client's thread through a
 * lock-free queue. Completed calls return through another such queue, and
 * one call posted to the loop delivers all that are queued.
 */
#include "net/http_client.h"

#include "base/mpsc.h"
#include "net/http_transfer.h"

#include <stdatomic.h>
#include <string.h>

#define POLL_MS 1000
/* Interval between checks for unanswered calls. */
#define CHECK_INTERVAL_MS 100
#define SPARE_HANDLES_MAX 256
/* libcurl does not reuse a connection that was idle for longer. */
#define IDLE_REUSE_MAX_S 118

struct call {
	struct mpsc_node node; /* in waiting, later in ended */
	struct http_transfer transfer;
	CURL *easy; /* NULL unless the call is in progress */
	int64_t suspect_ms; /* 0: never */
	gint64 started_us;
	struct http_answer answer;
	http_answer_fn *fn;
	void *arg;
};

struct http_client {
	struct loop *loop;
	CURLM *multi;
	GThread *thread;
	atomic_bool stopping;
	struct mpsc waiting; /* calls for the client's thread */
	struct mpsc ended; /* completed calls for the loop */
	/* The fields below are used by the client's thread only. */
	GPtrArray *spare; /* unused easy handles */
	GHashTable *active; /* calls in progress */
	/* Time when a call last got no response in time. Connections that are
	 * older may be dead. */
	gint64 last_unanswered_us;
	gint64 checked_us; /* last check for unanswered calls */
	uint32_t consecutive_timeouts;
	uint32_t timeouts_max; /* set before the first call */
};

/* ---- Responses, on the loop's thread ---- */

static void deliver_answers(void *arg)
{
	struct http_client *client = arg;
	struct mpsc_node *node = mpsc_take_all(&client->ended);

	while (node) {
		struct call *call = (struct call *)node;

		node = node->next;
		call->fn(call->arg, &call->answer);
		http_transfer_clear(&call->transfer);
		g_free(call);
	}
}

/* ---- The client's thread ---- */

static void queue_ended_call(struct http_client *client, struct call *call)
{
	if (mpsc_push(&client->ended, &call->node))
		loop_post(client->loop, deliver_answers, client);
}

static CURL *get_handle(struct http_client *client)
{
	CURL *easy;

	if (client->spare->len)
		return g_ptr_array_steal_index_fast(client->spare,
						    client->spare->len - 1);
	easy = curl_easy_init();
	if (!easy)
		g_error("out of memory for an HTTP call");
	return easy;
}

/* libcurl limits the age of a connection in whole seconds only. During the
 * first second after a missing response, no connection is reused. */
static void avoid_old_connections(struct http_client *client, CURL *easy)
{
	gint64 since_s;

	if (!client->last_unanswered_us)
		return;
	since_s = (g_get_monotonic_time() - client->last_unanswered_us) /
		  G_USEC_PER_SEC;
	if (since_s < 1)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	else if (since_s < IDLE_REUSE_MAX_S)
		curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, (long)since_s);
	else
		client->last_unanswered_us = 0;
}

static void start_call(struct http_client *client, struct call *call)
{
	call->easy = get_handle(client);
	http_transfer_prepare(&call->transfer, call->easy);
	avoid_old_connections(client, call->easy);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	call->started_us = g_get_monotonic_time();
	g_hash_table_add(client->active, call);
	curl_multi_add_handle(client->multi, call->easy);
}

/* Existing connections are avoided after timeouts_max consecutive timeouts. */
static void count_timeout(struct http_client *client, enum http_result result)
{
	if (result != HTTP_TIMED_OUT) {
		client->consecutive_timeouts = 0;
		return;
	}
	if (++client->consecutive_timeouts >= client->timeouts_max)
		client->last_unanswered_us = g_get_monotonic_time();
}

static void finish_call(struct http_client *client, struct call *call,
			CURLcode code)
{
	CURL *easy = call->easy;

	http_transfer_finish(&call->transfer, easy, code, &call->answer);
	curl_multi_remove_handle(client->multi, easy);
	count_timeout(client, call->answer.result);
	g_hash_table_remove(client->active, call);
	call->easy = NULL;
	if (client->spare->len < SPARE_HANDLES_MAX) {
		curl_easy_reset(easy);
		g_ptr_array_add(client->spare, easy);
	} else {
		curl_easy_cleanup(easy);
	}
	queue_ended_call(client, call);
}

static void start_waiting(struct http_client *client)
{
	struct mpsc_node *node = mpsc_take_all(&client->waiting);

	while (node) {
		struct call *call = (struct call *)node;

		node = node->next;
		start_call(client, call);
	}
}

static void finish_completed(struct http_client *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left))) {
		char *call = NULL;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &call);
		finish_call(client, (struct call *)(void *)call, code);
	}
}

/* Aborts all calls. Sent calls end as HTTP_BROKEN, others as
 * HTTP_NOT_CONNECTED. */
static void finish_all(struct http_client *client)
{
	GHashTableIter iter;
	gpointer key;

	start_waiting(client);
	g_hash_table_iter_init(&iter, client->active);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		finish_call(client, key, CURLE_ABORTED_BY_CALLBACK);
		g_hash_table_iter_init(&iter, client->active);
	}
}

static void check_unanswered_calls(struct http_client *client)
{
	gint64 now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer key;

	if (now_us - client->checked_us <
	    CHECK_INTERVAL_MS * G_TIME_SPAN_MILLISECOND)
		return;
	client->checked_us = now_us;
	g_hash_table_iter_init(&iter, client->active);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct call *call = key;
		gint64 waited_us = now_us - call->started_us;

		if (call->suspect_ms &&
		    waited_us >= call->suspect_ms * G_TIME_SPAN_MILLISECOND)
			client->last_unanswered_us = now_us;
	}
}

static gpointer run(gpointer data)
{
	struct http_client *client = data;
	int running;

	while (!atomic_load(&client->stopping)) {
		start_waiting(client);
		curl_multi_perform(client->multi, &running);
		finish_completed(client);
		check_unanswered_calls(client);
		curl_multi_poll(client->multi, NULL, 0,
				g_hash_table_size(client->active)
					? CHECK_INTERVAL_MS
					: POLL_MS,
				NULL);
	}
	finish_all(client);
	return NULL;
}

/* ---- Create and destroy ---- */

static gpointer initialize_curl(gpointer unused)
{
	(void)unused;
	return GINT_TO_POINTER(curl_global_init(CURL_GLOBAL_DEFAULT) ==
			       CURLE_OK);
}

static bool ensure_curl(void)
{
	static GOnce once = G_ONCE_INIT;

	return g_once(&once, initialize_curl, NULL) != NULL;
}

struct http_client *http_client_create(struct loop *loop,
				       uint32_t connections_max, GError **error)
{
	struct http_client *client;
	CURLM *multi = ensure_curl() ? curl_multi_init() : NULL;

	if (!multi) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "libcurl cannot be initialized");
		return NULL;
	}
	client = g_new0(struct http_client, 1);
	client->loop = loop;
	client->timeouts_max = 1;
	client->multi = multi;
	client->spare = g_ptr_array_new();
	client->active = g_hash_table_new(NULL, NULL);
	if (connections_max) {
		curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
				  (long)connections_max);
		curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
				  (long)connections_max);
	}
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	client->thread = g_thread_new("http-client", run, client);
	return client;
}

void http_client_destroy(struct http_client *client)
{
	if (!client)
		return;
	atomic_store(&client->stopping, true);
	curl_multi_wakeup(client->multi);
	g_thread_join(client->thread);
	loop_cancel(client->loop, client);
	deliver_answers(client);
	for (guint i = 0; i < client->spare->len; i++)
		curl_easy_cleanup(g_ptr_array_index(client->spare, i));
	g_ptr_array_unref(client->spare);
	g_hash_table_destroy(client->active);
	curl_multi_cleanup(client->multi);
	g_free(client);
}

bool http_client_is_ending(const struct http_client *client)
{
	return atomic_load(&client->stopping);
}

void http_client_set_timeouts_max(struct http_client *client, uint32_t calls)
{
	client->timeouts_max = MAX(calls, 1);
}

void http_client_call(struct http_client *client, const struct http_call *call,
		      http_answer_fn *fn, void *arg)
{
	struct call *c = g_new0(struct call, 1);

	http_transfer_init(&c->transfer, call);
	c->suspect_ms = call->suspect_ms;
	c->fn = fn;
	c->arg = arg;
	if (mpsc_push(&client->waiting, &c->node))
		curl_multi_wakeup(client->multi);
}

void http_call_now(const struct http_call *call, struct http_answer *answer)
{
	struct http_transfer transfer;
	CURL *easy = ensure_curl() ? curl_easy_init() : NULL;

	if (!easy) {
		*answer = (struct http_answer){ .result = HTTP_NOT_CONNECTED };
		return;
	}
	http_transfer_init(&transfer, call);
	http_transfer_prepare(&transfer, easy);
	http_transfer_finish(&transfer, easy, curl_easy_perform(easy), answer);
	if (answer->body)
		answer->body = g_memdup2(answer->body, answer->size_bytes);
	curl_easy_cleanup(easy);
	http_transfer_clear(&transfer);
}
