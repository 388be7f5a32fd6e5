/*
 * test_http_idle: closing the connections of an HTTP server that have no
 * request in progress. Guards against a request that is cut off after a part
 * of it was read, against idle connections that stay open, and against a reset
 * in place of an orderly end of a connection.
 */
#include "net/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#define HEADER "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\n"
#define CHUNKED                                                                \
	"POST /echo HTTP/1.1\r\nHost: x\r\n"                                   \
	"Transfer-Encoding: chunked\r\n\r\n"                                   \
	"3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"
#define POLL_US 1000
#define RECEIVE_TIMEOUT_S 20

static GAsyncQueue *held; /* requests to /hold, not answered yet */

static void handle(void *arg, struct http_request *request)
{
	size_t size;
	const void *body = http_body(request, &size);

	(void)arg;
	if (!strcmp(http_path(request), "/hold"))
		g_async_queue_push(held, request);
	else
		http_reply(request, 200, "text/plain", body, size, NULL);
}

static int open_connection(const struct http_server *server)
{
	struct timeval timeout = { .tv_sec = RECEIVE_TIMEOUT_S };
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(http_server_port(server)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int s = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(
		connect(s, (struct sockaddr *)&address, sizeof(address)), 0);
	setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	return s;
}

static void send_text(int s, const char *text)
{
	assert_int_equal(send(s, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

/* Reads until the text is found. Returns false at the end of the stream. A
 * reset connection fails the test. */
static bool receive_until(int s, const char *text)
{
	g_autoptr(GString) received = g_string_new(NULL);
	char buffer[512];

	while (!strstr(received->str, text)) {
		ssize_t n = recv(s, buffer, sizeof(buffer), 0);

		assert_true(n >= 0);
		if (!n)
			return false;
		g_string_append_len(received, buffer, n);
	}
	return true;
}

static void assert_closed(int s)
{
	char byte;

	assert_int_equal(recv(s, &byte, 1, 0), 0);
	close(s);
}

struct idle_case {
	const char *name;
	const char *before; /* a whole request that is answered before; NULL */
	const char *part; /* sent before idle connections are closed */
	const char *rest; /* sent afterwards; NULL: the connection is idle */
	bool is_held; /* the handler has the request */
};

static void run_case(const struct idle_case *c)
{
	const struct http_server_options options = { .address = "127.0.0.1:0" };
	struct http_server *server =
		http_server_create(&options, handle, NULL, NULL);
	int s = open_connection(server), idle = open_connection(server);
	struct http_request *request = NULL;

	print_message("%s\n", c->name);
	if (c->before) {
		send_text(s, c->before);
		assert_true(receive_until(s, "abcdef"));
	}
	send_text(s, c->part);
	if (c->is_held)
		request = g_async_queue_pop(held);
	while (http_server_connections(server) < 2)
		g_usleep(POLL_US);
	http_server_close_idle(server);
	assert_closed(idle);
	if (c->rest) {
		send_text(s, c->rest);
		if (request)
			http_reply(request, 200, NULL, "abcdef", 6, NULL);
		assert_true(receive_until(s, "abcdef"));
	}
	assert_closed(s);
	while (http_server_connections(server))
		g_usleep(POLL_US);
	http_server_destroy(server);
}

static void test_close_idle(void **state)
{
	static const struct idle_case cases[] = {
		{ "never used", NULL, "", NULL, false },
		{ "used before", HEADER "abcdef", "", NULL, false },
		{ "one byte of a request", NULL, "P",
		  "OST /echo HTTP/1.1\r\nHost: x\r\n"
		  "Content-Length: 6\r\n\r\nabcdef",
		  false },
		{ "half of the headers", NULL, "POST /echo HTTP/1.1\r\nHost: ",
		  "x\r\nContent-Length: 6\r\n\r\nabcdef", false },
		{ "used before, half of the headers", HEADER "abcdef",
		  "POST /echo HTTP/1.1\r\nHost: ",
		  "x\r\nContent-Length: 6\r\n\r\nabcdef", false },
		{ "no byte of the body", NULL, HEADER, "abcdef", false },
		{ "half of the body", NULL, HEADER "abc", "def", false },
		{ "the handler has the request", NULL,
		  "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n", "", true },
		{ "after a request in chunks", CHUNKED, "", HEADER "abcdef",
		  false },
	};

	(void)state;
	held = g_async_queue_new();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case(&cases[i]);
	g_async_queue_unref(held);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_close_idle),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
