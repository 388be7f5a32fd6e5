/*
 * Invalid input at every open port of running processes. The sender gets an
 * error that names the field, or its connection is closed and counted.
 * Other callers are still served, and no process ends.
 */
#include "support/cluster.h"

#include "base/clock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define WAIT_MS 10000
#define PARTIAL_REQUESTS 40 /* connections with an incomplete request */
#define FRAME_TOO_LARGE 0x7fffffff
#define TASK "{\"payload\":{\"run_ms\":1}}"
#define KEY_GENERATED "fresh" /* replaced by a new valid key */

/* ---- Types ---- */

struct bad_request {
	const char *name;
	const char *process, *interface;
	const char *method, *path;
	const char *key; /* NULL: none */
	const char *body; /* NULL: none */
	uint32_t status;
	const char *names; /* expected in the answer */
};

#define JOB(name, key, body, status, names)                                    \
	{                                                                      \
		name, "d1", "http", "POST", "/v1/jobs", key, body, status,     \
			names                                                  \
	}
#define ANNOUNCE(name, body, names)                                            \
	{                                                                      \
		name, "a1", "backend-listen", "POST", "/v1/announce", NULL,    \
			body, 400, names                                       \
	}
#define COMMAND(name, body, names)                                             \
	{                                                                      \
		name, "c1", "admin", "POST", "/v1/commands", NULL, body, 400,  \
			names                                                  \
	}

static const struct bad_request requests[] = {
	JOB("no key", NULL, "{\"class\":\"default\",\"tasks\":[" TASK "]}", 400,
	    "Idempotency-Key"),
	JOB("bad key", "not-a-uuid",
	    "{\"class\":\"default\",\"tasks\":[" TASK "]}", 400,
	    "Idempotency-Key"),
	JOB("key of another version", "6ba7b810-9dad-11d1-80b4-00c04fd430c8",
	    "{\"class\":\"default\",\"tasks\":[" TASK "]}", 400,
	    "Idempotency-Key"),
	JOB("no body", KEY_GENERATED, NULL, 400, "body"),
	JOB("malformed", KEY_GENERATED, "{\"class\":", 400, "body"),
	JOB("invalid UTF-8", KEY_GENERATED, "{\"class\":\"\xff\xfe\"}", 400,
	    "body"),
	JOB("an array", KEY_GENERATED, "[]", 400, "body"),
	JOB("unknown class", KEY_GENERATED,
	    "{\"class\":\"nobody\",\"tasks\":[" TASK "]}", 400, "class"),
	JOB("unknown field", KEY_GENERATED,
	    "{\"class\":\"default\",\"colour\":1,\"tasks\":[" TASK "]}", 400,
	    "colour"),
	JOB("duplicate field", KEY_GENERATED,
	    "{\"class\":\"default\",\"class\":\"default\",\"tasks\":[" TASK
	    "]}",
	    400, "class"),
	JOB("no tasks", KEY_GENERATED, "{\"class\":\"default\"}", 400, "tasks"),
	JOB("0 tasks", KEY_GENERATED, "{\"class\":\"default\",\"tasks\":[]}",
	    400, "tasks"),
	JOB("negative deadline", KEY_GENERATED,
	    "{\"class\":\"default\",\"deadline_ms\":-1,\"tasks\":[" TASK "]}",
	    400, "deadline_ms"),
	JOB("deadline beyond 64 bits", KEY_GENERATED,
	    "{\"class\":\"default\",\"deadline_ms\":99999999999999999999999,"
	    "\"tasks\":[" TASK "]}",
	    400, ""),
	JOB("negative cpu_milli", KEY_GENERATED,
	    "{\"class\":\"default\",\"tasks\":[{\"payload\":1,"
	    "\"cpu_milli\":-5}]}",
	    400, "cpu_milli"),
	JOB("unknown field of a task", KEY_GENERATED,
	    "{\"class\":\"default\",\"tasks\":[{\"payload\":1,\"size\":1}]}",
	    400, "size"),
	JOB("task without payload", KEY_GENERATED,
	    "{\"class\":\"default\",\"tasks\":[{}]}", 400, "payload"),
	{ "unknown path", "d1", "http", "POST", "/v1/nothing", NULL, "{}", 404,
	  "path" },
	{ "wrong method", "d1", "http", "PUT", "/v1/jobs", NULL, "{}", 405,
	  "" },
	{ "cancel of a bad key", "d1", "http", "DELETE", "/v1/jobs/x", NULL,
	  NULL, 400, "UUIDv7" },
	ANNOUNCE("announce: malformed", "{", "body"),
	ANNOUNCE("announce: no url", "{\"slots\":1}", "url"),
	ANNOUNCE("announce: url", "{\"url\":\"ftp://x\",\"slots\":1}", "url"),
	ANNOUNCE("announce: no address in the url",
		 "{\"url\":\"http://no such host\",\"slots\":1}", "url"),
	ANNOUNCE("announce: 0 slots",
		 "{\"url\":\"http://127.0.0.1:1\",\"slots\":0}", "slots"),
	ANNOUNCE("announce: negative",
		 "{\"url\":\"http://127.0.0.1:1\",\"slots\":1,"
		 "\"memory_mb\":-1}",
		 "memory_mb"),
	ANNOUNCE("announce: unknown field",
		 "{\"url\":\"http://127.0.0.1:1\",\"slots\":1,\"colour\":2}",
		 "colour"),
	ANNOUNCE("announce: duplicate field",
		 "{\"url\":\"http://127.0.0.1:1\",\"slots\":1,\"slots\":2}",
		 "slots"),
	COMMAND("command: malformed", "{", "body"),
	COMMAND("command: no id", "{\"base_revision\":0,\"change\":{}}",
		"command_id"),
	COMMAND("command: unknown change",
		"{\"command_id\":\"00000000000000010000000000000001\","
		"\"base_revision\":0,\"change\":{\"nothing\":{}}}",
		"nothing"),
	COMMAND("command: negative revision",
		"{\"command_id\":\"00000000000000010000000000000001\","
		"\"base_revision\":-1,\"change\":{\"class_remove\":"
		"{\"name\":\"x\"}}}",
		"base_revision"),
};

/* ---- Helpers ---- */

static struct cluster *start(void)
{
	static const struct cluster_options options = { .coordinators = 1,
							.dispatchers = 1,
							.agents = 1 };
	struct cluster *c = cluster_create(&options);

	cluster_start(c);
	return c;
}

static uint32_t submit(struct cluster *c, int tasks)
{
	char *body = cluster_job_body("default", tasks, 1, 5000);
	char text[CF_KEY_TEXT_SIZE];
	struct cf_key key;
	uint32_t status;

	cluster_key(&key, text);
	status = cluster_http(cluster_address(c, "d1", "http"), "POST",
			      "/v1/jobs", text, body, NULL, WAIT_MS);
	g_free(body);
	return status;
}

static void check_all_running(struct cluster *c)
{
	int i;

	for (i = 0; i < c->n_procs; i++)
		if (!proc_running(&c->procs[i]))
			fail_msg("process %s has exited", c->procs[i].name);
	assert_int_equal(submit(c, 4), 200);
}

static int connect_to(const char *address)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	struct timeval limit = { WAIT_MS / 1000, 0 };
	const char *colon = strrchr(address, ':');
	char ip[20];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_strlcpy(ip, address, MIN(sizeof(ip), (size_t)(colon - address) + 1));
	assert_int_equal(inet_pton(AF_INET, ip, &to.sin_addr), 1);
	to.sin_port = htons((uint16_t)atoi(colon + 1));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

/* Returns true if the peer closed the connection within WAIT_MS. */
static bool is_closed(int fd)
{
	char buffer[4096];
	ssize_t n;

	while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		;
	return n == 0 || errno == ECONNRESET;
}

/* ---- Requests ---- */

static size_t check_request(struct cluster *c, const struct bad_request *r)
{
	const char *address = cluster_address(c, r->process, r->interface);
	char text[CF_KEY_TEXT_SIZE], *answer = NULL;
	const char *key = r->key;
	struct cf_key generated;
	uint32_t status;
	bool ok;

	if (key && !strcmp(key, KEY_GENERATED)) {
		cluster_key(&generated, text);
		key = text;
	}
	status = cluster_http(address, r->method, r->path, key, r->body,
			      &answer, WAIT_MS);
	ok = status == r->status && answer && strstr(answer, r->names) &&
	     strstr(answer, "reason") && strstr(answer, "message");
	if (!ok)
		fprintf(stderr, "%s: %u %s\n", r->name, status, answer);
	g_free(answer);
	return !ok;
}

static void test_requests(void **state)
{
	struct cluster *c = start();
	size_t i, wrong = 0;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(requests); i++)
		wrong += check_request(c, &requests[i]);
	fprintf(stderr, "count: bad requests=%d wrong answers=%d\n",
		(int)G_N_ELEMENTS(requests), (int)wrong);
	assert_int_equal(wrong, 0);
	check_all_running(c);
	assert_int_equal(cluster_check(c, NULL), 0);
	cluster_destroy(c);
}

/* ---- Sizes and connections ---- */

static void test_sizes(void **state)
{
	struct cluster *c = start();
	char *large = g_strnfill(5 << 20, ' ');
	char text[CF_KEY_TEXT_SIZE], *answer = NULL;
	int fds[PARTIAL_REQUESTS], i;
	struct cf_key key;

	(void)state;
	assert_int_equal(submit(c, 120), 200);
	assert_int_equal(submit(c, 121), 400);
	cluster_key(&key, text);
	assert_int_equal(cluster_http(cluster_address(c, "d1", "http"), "POST",
				      "/v1/jobs", text, large, &answer,
				      WAIT_MS),
			 413);
	g_free(answer);
	large[8192] = '\0';
	assert_int_equal(
		cluster_http(cluster_address(c, "a1", "backend-listen"), "POST",
			     "/v1/announce", NULL, large, NULL, WAIT_MS),
		413);
	g_free(large);
	/* Incomplete requests do not block other callers. */
	for (i = 0; i < PARTIAL_REQUESTS; i++) {
		static const char partial_request[] =
			"POST /v1/jobs HTTP/1.1\r\n"
			"Content-Length: 1000\r\n\r\n{";

		fds[i] = connect_to(cluster_address(c, "d1", "http"));
		assert_true(send(fds[i], partial_request,
				 sizeof(partial_request) - 1,
				 MSG_NOSIGNAL) > 0);
	}
	check_all_running(c);
	for (i = 0; i < PARTIAL_REQUESTS; i++)
		close(fds[i]);
	check_all_running(c);
	assert_int_equal(cluster_check(c, NULL), 0);
	cluster_destroy(c);
}

/* ---- Frames on ports between processes ---- */

struct bad_frame {
	const char *reason; /* label of the counter */
	uint32_t length; /* sent as the frame header */
	const char *bytes;
	size_t size;
};

static void check_frame(struct cluster *c, const char *name,
			const struct bad_frame *f)
{
	char metric[80];
	uint32_t head = htonl(f->length);
	int64_t before;
	int fd;

	snprintf(metric, sizeof(metric),
		 "chervilferry_link_closed_total{reason=\"%s\"}", f->reason);
	before = cluster_metric(c, name, metric);
	fd = connect_to(cluster_address(c, name, "listen"));
	assert_true(send(fd, &head, sizeof(head), MSG_NOSIGNAL) > 0);
	if (f->size)
		send(fd, f->bytes, f->size, MSG_NOSIGNAL);
	if (!is_closed(fd))
		fail_msg(
			"%s did not close a connection with a frame of kind %s",
			name, f->reason);
	close(fd);
	if (cluster_metric(c, name, metric) <= before)
		fail_msg("%s did not count a closed connection with reason %s",
			 name, f->reason);
}

static void test_frames(void **state)
{
	static const struct bad_frame frames[] = {
		{ "too_large", FRAME_TOO_LARGE, "", 0 },
		{ "garbage", 6, "\xff\xff\xff\xff\xff\xff", 6 },
		{ "garbage", 0, "", 0 },
		/* A heartbeat before the Hello message. */
		{ "protocol", 2, "\x12\x00", 2 },
	};
	static const char *const names[] = { "c1", "d1", "a1" };
	struct cluster *c = start();
	size_t i, k;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		for (k = 0; k < G_N_ELEMENTS(frames); k++)
			check_frame(c, names[i], &frames[k]);
	fprintf(stderr, "count: bad frames=%d, all closed and counted\n",
		(int)(G_N_ELEMENTS(names) * G_N_ELEMENTS(frames)));
	check_all_running(c);
	assert_int_equal(cluster_check(c, NULL), 0);
	cluster_destroy(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_requests, cluster_teardown),
		cmocka_unit_test_teardown(test_sizes, cluster_teardown),
		cmocka_unit_test_teardown(test_frames, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
