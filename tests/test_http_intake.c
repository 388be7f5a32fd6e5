/*
 * test_http_intake: what connections of an HTTP server hold together: what is
 * given up or refused at the bounds, and that ordinary requests are answered
 * then.
 */
#include "base/clock.h"
#include "base/counters.h"
#include "net/http_server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define HELD_MAX_BYTES 64000 /* a request may have a quarter */
#define CONNECTIONS_MAX 8
#define PART_BYTES 12000 /* of a body: six are more than may be held */
#define PARTS 6
#define ANSWER_BYTES 30000 /* three are more than may be held */
#define WAIT_MS 10000
#define SMALL "GET /small HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

/* ---- Server ---- */

static struct http_server *server;
static GAsyncQueue *held; /* requests to /hold */
static gint refused;

static void handle(void *arg, struct http_request *request)
{
	static const char large[ANSWER_BYTES];

	(void)arg;
	if (!strcmp(http_path(request), "/hold"))
		g_async_queue_push(held, request);
	else if (!strcmp(http_path(request), "/large"))
		http_reply(request, 200, NULL, large, sizeof(large), NULL);
	else
		http_reply(request, 200, NULL, "small", 5, NULL);
}

static void refuse(void *arg, struct http_request *request)
{
	size_t size;

	(void)arg;
	http_body(request, &size);
	g_atomic_int_add(&refused, size ? 1000 : 1);
	http_reply(request, 503, NULL, "own", 3, NULL);
}

static int start(http_handler_fn *refuse_fn)
{
	struct http_server_options options = {
		.address = "127.0.0.1:0",
		.connections_max = CONNECTIONS_MAX,
		.held_max_bytes = HELD_MAX_BYTES,
		.threads = 1,
		.refuse = refuse_fn,
	};

	held = g_async_queue_new();
	refused = 0;
	server = http_server_create(&options, handle, NULL, NULL);
	return server ? 0 : -1;
}

static int set_up(void **state)
{
	(void)state;
	return start(NULL);
}

static int set_up_own_refusal(void **state)
{
	(void)state;
	return start(refuse);
}

static int tear_down(void **state)
{
	struct http_request *request;

	(void)state;
	while ((request = g_async_queue_try_pop(held)))
		http_reply(request, 200, NULL, "late", 4, NULL);
	http_server_destroy(server);
	g_async_queue_unref(held);
	return 0;
}

/* ---- Clients ---- */

static int open_client(const char *text)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int s = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons(http_server_port(server));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
		connect(s, (struct sockaddr *)&address, sizeof(address)), 0);
	if (*text)
		send(s, text, strlen(text), MSG_NOSIGNAL);
	return s;
}

/* Sends a part of the announced body. */
static int open_post(const char *path, size_t announced, size_t sent)
{
	g_autofree char *body = g_strnfill(sent, ' ');
	g_autofree char *text =
		g_strdup_printf("POST %s HTTP/1.1\r\nHost: x\r\n"
				"Content-Length: %zu\r\n\r\n%s",
				path, announced, body);

	return open_client(text);
}

static bool is_closed(int s)
{
	struct pollfd closed = { .fd = s, .events = POLLRDHUP };

	return poll(&closed, 1, WAIT_MS) == 1;
}

/* Reads until the text comes, or to the end. */
static bool reads(int s, const char *text)
{
	GString *all = g_string_new(NULL);
	char buffer[4096];
	ssize_t n = 1;
	bool found = false;

	while (!found && n > 0) {
		n = recv(s, buffer, sizeof(buffer), 0);
		g_string_append_len(all, buffer, MAX(n, 0));
		found = strstr(all->str, text);
	}
	if (!found)
		fprintf(stderr, "not \"%s\" but: %s\n", text, all->str);
	g_string_free(all, TRUE);
	return found;
}

static bool is_served(void)
{
	int s = open_client(SMALL);
	bool served = reads(s, "small");

	close(s);
	return served;
}

static void close_all(const int *clients, int n)
{
	for (int i = 0; i < n; i++)
		close(clients[i]);
}

/* ---- Tests ---- */

static void test_the_longest_waiting_connection_makes_way(void **state)
{
	int silent[CONNECTIONS_MAX];

	(void)state;
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		silent[i] = open_client("");
	assert_true(is_served());
	assert_true(is_closed(silent[0]));
	close_all(silent, CONNECTIONS_MAX);
}

static void test_unfinished_bodies_make_way(void **state)
{
	int begun[PARTS];

	(void)state;
	for (int i = 0; i < PARTS; i++)
		begun[i] = open_post("/begun", PART_BYTES + 1, PART_BYTES);
	assert_true(is_closed(begun[0]));
	assert_true(is_served());
	/* The last one can still be ended. */
	send(begun[PARTS - 1], " ", 1, MSG_NOSIGNAL);
	assert_true(reads(begun[PARTS - 1], "small"));
	close_all(begun, PARTS);
}

/* 16,000 of 64,000 bytes; 48,000 are left, so the next may have 12,000. */
static void test_large_requests_are_refused_first(void **state)
{
	int first = open_post("/hold", 16000, 16000), second;
	struct http_request *request = g_async_queue_pop(held);

	(void)state;
	second = open_post("/hold", 12001, 12001);
	assert_true(reads(second, "Retry-After: 1"));
	close(second);
	second = open_post("/other", 12000, 12000);
	assert_true(reads(second, "small"));
	close(second);
	assert_true(is_served());
	http_reply(request, 200, NULL, "held", 4, NULL);
	assert_true(reads(first, "held"));
	close(first);
	second = open_post("/other", 16000, 16000);
	assert_true(reads(second, "small"));
	close(second);
}

/* A request that could never find room is too large, not refused for now. */
static void test_the_largest_body_finds_room_in_calm(void **state)
{
	int s = open_post("/other", 16001, 16001);

	(void)state;
	assert_true(reads(s, " 413 "));
	close(s);
	s = open_post("/other", 16000, 16000);
	assert_true(reads(s, " 200 "));
	close(s);
}

static void test_unread_answers_make_way(void **state)
{
	static const char large[] = "GET /large HTTP/1.1\r\nHost: x\r\n\r\n";
	const struct counter *given_up =
		counter_get("door_given_up_total", "door=\"http\"", NULL);
	int64_t before = counter_value(given_up);
	int64_t end_ms = clock_now_ms() + WAIT_MS;
	int clients[CONNECTIONS_MAX];

	(void)state;
	/* More than the kernel takes, so that an answer stays in the server. */
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		clients[i] = open_client(large);
		for (int k = 0; k < 1000; k++)
			send(clients[i], large, sizeof(large) - 1,
			     MSG_NOSIGNAL | MSG_DONTWAIT);
	}
	while (counter_value(given_up) == before && clock_now_ms() < end_ms)
		g_thread_yield();
	assert_true(counter_value(given_up) > before);
	assert_true(is_served());
	close_all(clients, CONNECTIONS_MAX);
}

/* Guards against "never ran" for a request that only its handler may refuse,
 * both for want of room and above the limit of connections. */
static void test_a_handler_may_refuse_by_itself(void **state)
{
	int clients[CONNECTIONS_MAX], large, excess;

	(void)state;
	clients[0] = open_post("/hold", 16000, 16000);
	for (int i = 1; i < CONNECTIONS_MAX - 1; i++)
		clients[i] = open_post("/hold", 0, 0);
	large = open_post("/other", 12001, 12001);
	assert_true(reads(large, "own"));
	assert_int_equal(g_atomic_int_get(&refused), 1);
	close(large);
	clients[CONNECTIONS_MAX - 1] = open_post("/hold", 0, 0);
	while (g_async_queue_length(held) < CONNECTIONS_MAX)
		g_thread_yield();
	excess = open_post("/other", 10, 10);
	assert_true(reads(excess, "own"));
	assert_true(is_closed(excess));
	assert_int_equal(g_atomic_int_get(&refused), 2);
	close(excess);
	close_all(clients, CONNECTIONS_MAX);
}

#define INTAKE_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		INTAKE_TEST(test_the_longest_waiting_connection_makes_way),
		INTAKE_TEST(test_unfinished_bodies_make_way),
		INTAKE_TEST(test_large_requests_are_refused_first),
		INTAKE_TEST(test_the_largest_body_finds_room_in_calm),
		INTAKE_TEST(test_unread_answers_make_way),
		cmocka_unit_test_setup_teardown(
			test_a_handler_may_refuse_by_itself, set_up_own_refusal,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
