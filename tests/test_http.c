/*
 * test_http: tests the HTTP server and client against each other, and
 * each against a raw socket that violates the protocol.
 */
#include "base/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "support/loop_until.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#define BODY_MAX_BYTES 20000
#define CONNECTIONS_MAX 20
#define CALLS 200

static struct loop *loop;
static struct http_server *server;
static struct http_client *client;
static char url[64];
static GAsyncQueue *held; /* requests to /hold, not answered yet */
static atomic_int handled, gone;

/* ---- The server's handler ---- */

static void on_disconnect(void *arg)
{
	(void)arg;
	atomic_fetch_add(&gone, 1);
}

static void handle(void *arg, struct http_request *request)
{
	static const char *const headers[] = { "Retry-After: 3", NULL };
	size_t size;
	const void *body = http_body(request, &size);

	(void)arg;
	atomic_fetch_add(&handled, 1);
	if (!strcmp(http_path(request), "/hold")) {
		http_on_disconnect(request, on_disconnect, NULL);
		g_async_queue_push(held, request);
	} else if (!strcmp(http_path(request), "/later")) {
		http_reply(request, 429, "text/plain", "wait", 4, headers);
	} else {
		http_reply(request, 200, "text/plain", body, size, NULL);
	}
}

/* ---- Set-up ---- */

static int set_up(void **state)
{
	struct http_server_options options = {
		.address = "127.0.0.1:0",
		.body_max_bytes = BODY_MAX_BYTES,
		.connections_max = CONNECTIONS_MAX,
		.timeout_s = 1,
	};

	(void)state;
	loop = loop_create(NULL);
	held = g_async_queue_new();
	atomic_store(&handled, 0);
	atomic_store(&gone, 0);
	server = http_server_create(&options, handle, NULL, NULL);
	client = http_client_create(loop, 8, NULL);
	if (!server || !client)
		return -1;
	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u",
		   http_server_port(server));
	return 0;
}

static int tear_down(void **state)
{
	struct http_request *request;

	(void)state;
	http_client_destroy(client);
	http_server_destroy(server);
	while ((request = g_async_queue_try_pop(held)))
		http_reply(request, 200, NULL, "late", 4, NULL);
	g_async_queue_unref(held);
	loop_destroy(loop);
	return 0;
}

/* ---- Calls ---- */

struct outcome {
	int n;
	enum http_result result;
	bool refused;
	uint32_t status, retry_after_s;
	GString *body;
};

static void on_answer(void *arg, const struct http_answer *answer)
{
	struct outcome *outcome = arg;

	outcome->n++;
	outcome->result = answer->result;
	outcome->refused = answer->refused;
	outcome->status = answer->status;
	outcome->retry_after_s = answer->retry_after_s;
	outcome->body =
		g_string_new_len(answer->body, (gssize)answer->size_bytes);
}

static bool answered(void *arg)
{
	return ((struct outcome *)arg)->n > 0;
}

static void start_call(struct outcome *outcome, const char *base,
		       const char *path, const char *body, int64_t timeout_ms)
{
	char *full = g_strconcat(base, path, NULL);
	struct http_call call = {
		.method = "POST",
		.url = full,
		.body = body,
		.size_bytes = body ? strlen(body) : 0,
		.timeout_ms = timeout_ms,
	};

	memset(outcome, 0, sizeof(*outcome));
	http_client_call(client, &call, on_answer, outcome);
	g_free(full);
}

static void wait_answer(struct outcome *outcome)
{
	assert_true(loop_until(loop, answered, outcome));
	assert_int_equal(outcome->n, 1);
}

static void call_and_wait(struct outcome *outcome, const char *base,
			  const char *path, const char *body)
{
	start_call(outcome, base, path, body, 20000);
	wait_answer(outcome);
}

static void free_outcome(struct outcome *outcome)
{
	g_string_free(outcome->body, TRUE);
}

/* ---- Raw sockets ---- */

static int raw_connect(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int s = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(s, (struct sockaddr *)&address, sizeof(address))) {
		close(s);
		return -1;
	}
	return s;
}

static GString *read_to_end(int s)
{
	GString *all = g_string_new(NULL);
	char buffer[4096];
	ssize_t n;

	while ((n = recv(s, buffer, sizeof(buffer), 0)) > 0)
		g_string_append_len(all, buffer, n);
	return all;
}

static int raw_listen(char base[64])
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int s = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(s, (struct sockaddr *)&address, sizeof(address)),
			 0);
	assert_int_equal(listen(s, 8), 0);
	getsockname(s, (struct sockaddr *)&address, &size);
	g_snprintf(base, 64, "http://127.0.0.1:%u", ntohs(address.sin_port));
	return s;
}

/* ---- Server and client ---- */

static void test_answers_by_status(void **state)
{
	char *limit = g_strnfill(BODY_MAX_BYTES, 'x');
	char *above = g_strnfill(BODY_MAX_BYTES + 1, 'x');
	char *far_above = g_strnfill(BODY_MAX_BYTES * 5L, 'x');
	const struct {
		const char *path, *body;
		uint32_t status, retry_after_s;
		const char *answer;
	} cases[] = {
		{ "/echo", "hello", 200, 0, "hello" },
		{ "/echo?a=1", "", 200, 0, "" },
		{ "/echo", limit, 200, 0, limit },
		{ "/echo", above, 413, 0, NULL },
		{ "/echo", far_above, 413, 0, NULL },
		{ "/later", "x", 429, 3, "wait" },
		{ "/%6Cat%65r?a=%zz%4", "x", 429, 3, "wait" },
		{ "/echo", "again", 200, 0, "again" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct outcome outcome;

		call_and_wait(&outcome, url, cases[i].path, cases[i].body);
		assert_int_equal(outcome.result, HTTP_OK);
		assert_int_equal(outcome.status, cases[i].status);
		assert_int_equal(outcome.retry_after_s, cases[i].retry_after_s);
		if (cases[i].answer)
			assert_string_equal(outcome.body->str, cases[i].answer);
		else
			assert_non_null(strstr(outcome.body->str, "too_large"));
		free_outcome(&outcome);
	}
	g_free(limit);
	g_free(above);
	g_free(far_above);
}

static void test_each_call_gets_its_own_answer(void **state)
{
	struct outcome outcomes[CALLS];
	char body[32];

	(void)state;
	for (int i = 0; i < CALLS; i++) {
		g_snprintf(body, sizeof(body), "call %d", i);
		start_call(&outcomes[i], url, i % 3 ? "/echo" : "/hold", body,
			   20000);
	}
	for (int i = 0; i < CALLS; i += 3) {
		struct http_request *request = g_async_queue_pop(held);
		size_t size;
		const void *data = http_body(request, &size);

		http_reply(request, 200, NULL, data, size, NULL);
	}
	for (int i = 0; i < CALLS; i++) {
		wait_answer(&outcomes[i]);
		g_snprintf(body, sizeof(body), "call %d", i);
		assert_int_equal(outcomes[i].status, 200);
		assert_string_equal(outcomes[i].body->str, body);
		free_outcome(&outcomes[i]);
	}
	assert_int_equal(atomic_load(&gone), 0);
}

static void test_caller_disconnect_is_reported(void **state)
{
	static const char text[] = "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n";
	int s = raw_connect(http_server_port(server));
	struct http_request *request;
	int64_t end_ms = clock_now_ms() + 30000;

	(void)state;
	send(s, text, sizeof(text) - 1, MSG_NOSIGNAL);
	request = g_async_queue_pop(held);
	assert_int_equal(atomic_load(&gone), 0);
	assert_int_equal(http_server_open_requests(server), 1);
	close(s);
	while (!atomic_load(&gone) && clock_now_ms() < end_ms)
		g_usleep(1000);
	assert_int_equal(atomic_load(&gone), 1);
	http_reply(request, 200, NULL, "late", 4, NULL);
	while (http_server_open_requests(server) && clock_now_ms() < end_ms)
		g_usleep(1000);
	assert_int_equal(http_server_open_requests(server), 0);
}

static void test_bad_requests_end_without_the_handler(void **state)
{
	static const struct {
		const char *text, *answer; /* "": closed without a response */
	} cases[] = {
		{ "garbage\r\n\r\n", "" },
		{ "GET / HTTP/1.1\r\n\r\n", "400" }, /* no Host */
		/* Two paths would be one, cut off at the NUL. */
		{ "GET /a%00b HTTP/1.1\r\nHost: x\r\n\r\n", "path: " },
		{ "GET /%00 HTTP/1.1\r\nHost: x\r\n\r\n", "path: " },
		{ "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n",
		  "400" },
		{ "POST / HTTP/1.1\r\nHost: x\r\n"
		  "Content-Length: 99999999999\r\n\r\n",
		  "413" },
		{ "POST / HT", "" }, /* incomplete, then no more data */
		{ "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf",
		  "" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int s = raw_connect(http_server_port(server));
		GString *answer;

		send(s, cases[i].text, strlen(cases[i].text), MSG_NOSIGNAL);
		answer = read_to_end(s);
		if (!strstr(answer->str, cases[i].answer))
			fail_msg("case %zu: %s", i, answer->str);
		if (!*cases[i].answer && strstr(answer->str, " 200 "))
			fail_msg("case %zu: %s", i, answer->str);
		g_string_free(answer, TRUE);
		close(s);
	}
	assert_int_equal(atomic_load(&handled), 0);
}

static void test_connections_above_the_limit_get_503(void **state)
{
	static const char text[] =
		"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
	int idle[CONNECTIONS_MAX];
	int s;
	GString *answer;

	(void)state;
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		static const char hold[] =
			"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n";

		idle[i] = raw_connect(http_server_port(server));
		send(idle[i], hold, sizeof(hold) - 1, MSG_NOSIGNAL);
	}
	while (atomic_load(&handled) < CONNECTIONS_MAX)
		g_usleep(1000);
	s = raw_connect(http_server_port(server));
	send(s, text, sizeof(text) - 1, MSG_NOSIGNAL);
	answer = read_to_end(s);
	assert_non_null(strstr(answer->str, "503"));
	assert_non_null(strstr(answer->str, "too_many_connections"));
	g_string_free(answer, TRUE);
	close(s);
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		close(idle[i]);
}

static void test_quiesce_finishes_open_requests(void **state)
{
	struct outcome first, late;
	struct http_request *request;

	(void)state;
	start_call(&first, url, "/hold", "x", 20000);
	request = g_async_queue_pop(held);
	http_server_quiesce(server);
	assert_int_equal(raw_connect(http_server_port(server)), -1);
	call_and_wait(&late, url, "/echo", "y");
	assert_int_equal(late.result, HTTP_NOT_CONNECTED);
	assert_int_equal(http_server_open_requests(server), 1);
	http_reply(request, 200, NULL, "whole", 5, NULL);
	wait_answer(&first);
	assert_int_equal(first.result, HTTP_OK);
	assert_string_equal(first.body->str, "whole");
	free_outcome(&first);
	free_outcome(&late);
}

/* Guards against "never runs" (503) for what a handler may have begun: the
 * server doesn't know what it has done (review/11). */
static void test_destroy_answers_open_requests(void **state)
{
	struct outcome outcome;

	(void)state;
	start_call(&outcome, url, "/hold", "x", 20000);
	g_async_queue_push_front(held, g_async_queue_pop(held));
	http_server_destroy(server);
	server = NULL;
	wait_answer(&outcome);
	assert_int_equal(outcome.status, 504);
	assert_non_null(strstr(outcome.body->str, "\"ran\":\"unknown\""));
	free_outcome(&outcome);
}

/* ---- Client against a failing server ---- */

struct peer {
	int listener;
	const char *answer; /* to the first request; NULL: closes instead */
	bool hangs; /* never answers and never closes */
	bool closes; /* after the first response, not the second request */
	bool dies; /* at the second request: stops listening, then closes */
	atomic_int requests;
};

/* Reads one request: headers, an empty line and a body that contains "end". */
static bool read_request(int s)
{
	char buffer[4096];
	GString *text = g_string_new(NULL);
	bool whole = false;
	ssize_t n = 1;

	while (!whole && n > 0) {
		const char *body;

		n = recv(s, buffer, sizeof(buffer), 0);
		if (n > 0)
			g_string_append_len(text, buffer, n);
		body = strstr(text->str, "\r\n\r\n");
		whole = body && strstr(body, "end");
	}
	g_string_free(text, TRUE);
	return whole;
}

static gpointer run_peer(gpointer arg)
{
	struct peer *peer = arg;
	int s;

	while ((s = accept(peer->listener, NULL, NULL)) >= 0) {
		bool first = true;

		while (read_request(s)) {
			atomic_fetch_add(&peer->requests, 1);
			if (peer->hangs)
				continue;
			if (!first && peer->dies)
				shutdown(peer->listener, SHUT_RDWR);
			if (!first || !peer->answer)
				break;
			send(s, peer->answer, strlen(peer->answer),
			     MSG_NOSIGNAL);
			first = false;
			if (peer->closes)
				break;
		}
		close(s);
	}
	return NULL;
}

static GThread *start_peer(struct peer *peer, char base[64])
{
	peer->listener = raw_listen(base);
	return g_thread_new("peer", run_peer, peer);
}

static void stop_peer(struct peer *peer, GThread *thread)
{
	shutdown(peer->listener, SHUT_RDWR);
	g_thread_join(thread);
	close(peer->listener);
}

/* Guards against a request that runs twice: the server closes a reused
 * connection after the second request, and libcurl would resend that request
 * on a new connection. */
static void test_reused_connection_closed_after_the_request(void **state)
{
	static const char *const bodies[] = { "body end", "end" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		struct peer peer = {
			.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				  "\r\nok",
		};
		char base[64];
		GThread *thread = start_peer(&peer, base);
		struct outcome first, second;

		call_and_wait(&first, base, "/", bodies[i]);
		assert_int_equal(first.result, HTTP_OK);
		call_and_wait(&second, base, "/", bodies[i]);
		assert_int_equal(second.result, HTTP_BROKEN);
		free_outcome(&first);
		free_outcome(&second);
		stop_peer(&peer, thread);
		assert_int_equal(atomic_load(&peer.requests), 2);
	}
}

/* Guards against a run taken for never started: its request was sent on a
 * reused connection, and only libcurl's second try was refused. */
static void test_refused_after_the_request_was_sent(void **state)
{
	struct peer peer = { .answer = "HTTP/1.1 200 OK\r\n"
				       "Content-Length: 2\r\n\r\nok",
			     .dies = true };
	char base[64];
	GThread *thread = start_peer(&peer, base);
	struct outcome first, second;

	(void)state;
	call_and_wait(&first, base, "/", "end");
	assert_int_equal(first.result, HTTP_OK);
	call_and_wait(&second, base, "/", "end");
	assert_int_equal(second.result, HTTP_BROKEN);
	assert_true(second.refused);
	free_outcome(&first);
	free_outcome(&second);
	stop_peer(&peer, thread);
	assert_int_equal(atomic_load(&peer.requests), 2);
}

/* Guards against a connect timeout taken for a crash: the queue of connections
 * is full, so that further ones get no answer. */
static void test_connect_timeout_is_not_refused(void **state)
{
	char base[64];
	int listener = raw_listen(base);
	int waiting[4];
	struct sockaddr_in address;
	socklen_t size = sizeof(address);
	struct outcome outcome;

	(void)state;
	assert_int_equal(listen(listener, 0), 0);
	getsockname(listener, (struct sockaddr *)&address, &size);
	for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
		waiting[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(waiting[i], (struct sockaddr *)&address, size);
	}
	start_call(&outcome, base, "/", "end", 300);
	wait_answer(&outcome);
	assert_int_equal(outcome.result, HTTP_NOT_CONNECTED);
	assert_false(outcome.refused);
	free_outcome(&outcome);
	for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++)
		close(waiting[i]);
	close(listener);
}

static void test_results_of_failed_calls(void **state)
{
	static const struct {
		const char *answer;
		bool hangs, refuses;
		int64_t timeout_ms;
		enum http_result result;
	} cases[] = {
		{ NULL, false, true, 20000, HTTP_NOT_CONNECTED },
		{ NULL, false, false, 20000, HTTP_BROKEN },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false,
		  false, 20000, HTTP_BROKEN },
		{ "nonsense\r\n\r\n", false, false, 20000, HTTP_BROKEN },
		{ NULL, true, false, 200, HTTP_TIMED_OUT },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct peer peer = { .answer = cases[i].answer,
				     .hangs = cases[i].hangs,
				     .closes = true };
		char base[64];
		GThread *thread = start_peer(&peer, base);
		struct outcome outcome;

		if (cases[i].refuses)
			stop_peer(&peer, thread);
		start_call(&outcome, base, "/", "end", cases[i].timeout_ms);
		wait_answer(&outcome);
		if (outcome.result != cases[i].result ||
		    outcome.refused != cases[i].refuses)
			fail_msg("case %zu: %d, refused %d", i, outcome.result,
				 outcome.refused);
		free_outcome(&outcome);
		if (!cases[i].refuses)
			stop_peer(&peer, thread);
	}
}

static void test_destroying_the_client_ends_each_call_once(void **state)
{
	struct outcome outcomes[20];

	(void)state;
	for (int i = 0; i < 20; i++)
		start_call(&outcomes[i], url, "/hold", "x", 20000);
	for (int i = 0; i < 8; i++)
		g_async_queue_push_front(held, g_async_queue_pop(held));
	http_client_destroy(client);
	client = NULL;
	for (int i = 0; i < 20; i++) {
		assert_int_equal(outcomes[i].n, 1);
		assert_true(outcomes[i].result == HTTP_BROKEN ||
			    outcomes[i].result == HTTP_NOT_CONNECTED);
		free_outcome(&outcomes[i]);
	}
}

static void test_call_now(void **state)
{
	struct http_call call = { .method = "GET", .url = url };
	struct http_answer answer;

	(void)state;
	http_call_now(&call, &answer);
	assert_int_equal(answer.result, HTTP_OK);
	assert_int_equal(answer.status, 200);
	g_free((void *)answer.body);
	call.url = "http://127.0.0.1:1";
	http_call_now(&call, &answer);
	assert_int_equal(answer.result, HTTP_NOT_CONNECTED);
}

#define HTTP_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		HTTP_TEST(test_answers_by_status),
		HTTP_TEST(test_each_call_gets_its_own_answer),
		HTTP_TEST(test_caller_disconnect_is_reported),
		HTTP_TEST(test_bad_requests_end_without_the_handler),
		HTTP_TEST(test_connections_above_the_limit_get_503),
		HTTP_TEST(test_quiesce_finishes_open_requests),
		HTTP_TEST(test_destroy_answers_open_requests),
		HTTP_TEST(test_reused_connection_closed_after_the_request),
		HTTP_TEST(test_refused_after_the_request_was_sent),
		HTTP_TEST(test_connect_timeout_is_not_refused),
		HTTP_TEST(test_results_of_failed_calls),
		HTTP_TEST(test_destroying_the_client_ends_each_call_once),
		HTTP_TEST(test_call_now),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
