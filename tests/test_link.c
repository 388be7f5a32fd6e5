/*
 * test_link: tests connections between two hubs in one loop, and between
 * a hub and a raw socket that violates the protocol.
 */
#include "base/counters.h"
#include "net/frame.h"
#include "net/link.h"
#include "support/loop_until.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#define HEARTBEAT_MS 60
#define FRAME_MAX_BYTES 65536
#define HELD_MAX_BYTES 131072
#define FRAME_PART_BYTES 60000 /* three are more than may be held */
#define CLOSE_WAIT_MS 10000
#define QUEUE_FILLERS 4
/* Shorter than the 1 s after which TCP repeats a lost SYN. */
#define SLOW_HEARTBEAT_MS 900

struct side {
	struct link_hub *hub;
	struct link *last; /* the link that came up last */
	int ups, downs, messages, out_of_order;
	uint64_t last_seq;
};

static struct loop *loop;
static struct side server, client;
static uint16_t port;

/* ---- Handlers ---- */

static void on_up(void *arg, struct link *link)
{
	struct side *side = arg;

	side->ups++;
	side->last = link;
}

static void on_message(void *arg, struct link *link,
		       const Cfw__Envelope *envelope)
{
	struct side *side = arg;

	(void)link;
	side->messages++;
	if (envelope->body_case != CFW__ENVELOPE__BODY_QUERY)
		return;
	if (envelope->query->seq != side->last_seq + 1)
		side->out_of_order++;
	side->last_seq = envelope->query->seq;
}

static void on_down(void *arg, struct link *link)
{
	struct side *side = arg;

	(void)link;
	side->downs++;
}

static const struct link_handlers handlers = { on_up, on_message, on_down };

/* ---- Set-up ---- */

static struct link_hub *create_hub(struct side *side, const char *name,
				   uint32_t connections_max)
{
	struct link_options options = {
		.self = { CFW__ROLE__ROLE_AGENT, name, 7, 3, "olten" },
		.heartbeat_ms = HEARTBEAT_MS,
		.frame_max_bytes = FRAME_MAX_BYTES,
		.connections_max = connections_max,
		.held_max_bytes = HELD_MAX_BYTES,
		.output_max_bytes = 1 << 20,
	};

	memset(side, 0, sizeof(*side));
	return link_hub_create(loop, &options, &handlers, side);
}

static int set_up(void **state)
{
	(void)state;
	loop = loop_create(NULL);
	server.hub = create_hub(&server, "server", 3);
	client.hub = create_hub(&client, "client", 3);
	server.hub = server.hub ? server.hub : NULL;
	return link_hub_listen(server.hub, "127.0.0.1:0", &port, NULL) ? 0 : -1;
}

static int tear_down(void **state)
{
	(void)state;
	link_hub_destroy(client.hub);
	link_hub_destroy(server.hub);
	loop_destroy(loop);
	return 0;
}

static struct link *dial(void)
{
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	return link_dial(client.hub, address);
}

static int64_t closed(const char *reason)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	return counter_value(counter_get("link_closed_total", labels, NULL));
}

static bool send_query(struct link *link, uint64_t seq, size_t size_bytes)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Query query = CFW__QUERY__INIT;
	uint8_t *key = g_malloc0(size_bytes + 1);
	bool sent;

	query.seq = seq;
	query.key.data = key;
	query.key.len = size_bytes;
	envelope.body_case = CFW__ENVELOPE__BODY_QUERY;
	envelope.query = &query;
	sent = link_send(link, &envelope);
	g_free(key);
	return sent;
}

/* ---- Conditions ---- */

static bool both_up(void *arg)
{
	(void)arg;
	return server.ups && client.ups;
}

struct count {
	const int *value;
	int wanted;
};

static bool reached(void *arg)
{
	const struct count *count = arg;

	return *count->value >= count->wanted;
}

static bool wait_count(const int *value, int wanted)
{
	struct count count = { value, wanted };

	return loop_until(loop, reached, &count);
}

struct reason {
	const char *name;
	int64_t wanted;
};

static bool reason_counted(void *arg)
{
	const struct reason *reason = arg;

	return closed(reason->name) >= reason->wanted;
}

/* ---- Raw socket ---- */

static int raw_connect(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int s = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
		connect(s, (struct sockaddr *)&address, sizeof(address)), 0);
	return s;
}

static GByteArray *make_hello(uint32_t protocol)
{
	GByteArray *out = g_byte_array_new();
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Hello hello = CFW__HELLO__INIT;

	hello.name = "raw";
	hello.protocol = protocol;
	envelope.body_case = CFW__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	frame_append(out, &envelope);
	return out;
}

static void raw_send(int s, const void *data, size_t size)
{
	assert_int_equal(send(s, data, size, MSG_NOSIGNAL), size);
}

static void raw_hello(int s)
{
	GByteArray *hello = make_hello(1);

	raw_send(s, hello->data, hello->len);
	g_byte_array_unref(hello);
}

/* ---- Tests ---- */

static void test_hello_identifies_the_peer(void **state)
{
	struct link *link = dial();
	const struct link_identity *peer;

	(void)state;
	assert_false(link_is_up(link));
	assert_null(link_peer(link));
	assert_false(send_query(link, 1, 0));
	assert_true(loop_until(loop, both_up, NULL));
	peer = link_peer(link);
	assert_string_equal(peer->name, "server");
	assert_string_equal(peer->data_centre, "olten");
	assert_int_equal(peer->incarnation, 7);
	assert_int_equal(peer->member_id, 3);
	assert_string_equal(link_peer(server.last)->name, "client");
}

static void test_many_writes_arrive_complete_and_in_order(void **state)
{
	static const size_t sizes[] = { 0, 1, 300, 5000, 60000 };
	struct link *link = dial();
	uint64_t sent = 0;

	(void)state;
	assert_true(loop_until(loop, both_up, NULL));
	while (sent < 4000) {
		for (int i = 0; i < 40; i++) {
			size_t size = sizes[sent % 97 == 0 ? 4 : sent % 4];

			sent++;
			assert_true(send_query(link, sent, size));
		}
		assert_true(wait_count(&server.messages, (int)sent - 20));
	}
	assert_true(wait_count(&server.messages, (int)sent));
	assert_int_equal(server.out_of_order, 0);
	assert_int_equal(server.downs, 0);
}

static void test_heartbeats_keep_an_idle_link_up(void **state)
{
	struct counter *beats = counter_get(
		"link_messages_total", "dir=\"in\",kind=\"heartbeat\"", NULL);
	int64_t before = counter_value(beats);

	(void)state;
	dial();
	assert_true(loop_until(loop, both_up, NULL));
	while (counter_value(beats) < before + 40) {
		int ups = client.ups;

		assert_true(wait_count(&ups, 1));
		assert_int_equal(client.downs, 0);
		assert_int_equal(server.downs, 0);
	}
}

static void test_redials_after_a_loss_and_after_a_restart(void **state)
{
	struct link *link = dial();
	char address[32];
	uint16_t again;

	(void)state;
	assert_true(loop_until(loop, both_up, NULL));
	link_close(server.last);
	assert_true(wait_count(&client.ups, 2));
	assert_int_equal(client.downs, 1);
	link_hub_destroy(server.hub);
	assert_true(wait_count(&client.downs, 2));
	assert_false(link_is_up(link));
	assert_false(send_query(link, 1, 0));
	server.hub = create_hub(&server, "server2", 3);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	assert_true(link_hub_listen(server.hub, address, &again, NULL));
	assert_true(wait_count(&client.ups, 3));
	assert_string_equal(link_peer(link)->name, "server2");
}

/* Each case is the input of a raw peer and the expected close reason. */
static void test_bad_peers_are_closed_with_a_reason(void **state)
{
	static const struct {
		const char *name;
		const char *data;
		size_t size;
		const char *reason;
		bool hello_first;
	} cases[] = {
		{ "nothing", "", 0, "no_hello", false },
		{ "half a header", "\0\0", 2, "no_hello", false },
		{ "half a frame", "\0\0\0\x20\x0a", 5, "no_hello", false },
		{ "garbage", "\0\0\0\4\xff\xff\xff\xff", 8, "garbage", false },
		{ "http", "GET / HTTP/1.1\r\n\r\n", 18, "too_large", false },
		{ "empty frame", "\0\0\0\0", 4, "garbage", false },
		{ "no body", "\0\0\0\2\xf8\x06", 6, "garbage", false },
		{ "heartbeat first", "\0\0\0\2\x12\0", 6, "protocol", false },
		{ "too large", "\0\1\0\1", 4, "too_large", true },
		{ "second hello", "\0\0\0\2\x0a\0", 6, "protocol", true },
		{ "silence after hello", "", 0, "silent", true },
		{ "half a frame, then silence", "\0\0\0\x20\x0a", 5, "silent",
		  true },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct reason reason = { cases[i].reason,
					 closed(cases[i].reason) + 1 };
		int s = raw_connect();

		if (cases[i].hello_first)
			raw_hello(s);
		if (cases[i].size)
			raw_send(s, cases[i].data, cases[i].size);
		if (!loop_until(loop, reason_counted, &reason))
			fail_msg("%s: not closed as %s", cases[i].name,
				 cases[i].reason);
		close(s);
	}
	assert_int_equal(server.ups, 4);
	assert_int_equal(server.downs, 4);
}

static void test_other_protocol_is_refused(void **state)
{
	GByteArray *hello = make_hello(99);
	struct reason reason = { "protocol", closed("protocol") + 1 };
	int s = raw_connect();

	(void)state;
	raw_send(s, hello->data, hello->len);
	assert_true(loop_until(loop, reason_counted, &reason));
	g_byte_array_unref(hello);
	close(s);
}

static void record_interval(void *arg, int64_t now_ms)
{
	(void)now_ms;
	*(bool *)arg = true;
}

/* A dial to a powered-off host must time out before TCP repeats the SYN.
 * A listener with a full backlog drops SYN packets in the same way. */
static void test_hanging_dial_times_out(void **state)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct reason reason = { "connect_timeout",
				 closed("connect_timeout") + 1 };
	const struct link_options options = {
		.self = { .role = CFW__ROLE__ROLE_AGENT, .name = "slow" },
		.heartbeat_ms = SLOW_HEARTBEAT_MS
	};
	struct link_hub *hub =
		link_hub_create(loop, &options, &handlers, &client);
	bool interval_over = false;
	struct loop_timer *interval =
		loop_timer_create(loop, record_interval, &interval_over);
	int fillers[QUEUE_FILLERS];
	char text[32];

	(void)state;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
		bind(listener, (struct sockaddr *)&address, sizeof(address)),
		0);
	assert_int_equal(listen(listener, 0), 0);
	getsockname(listener, (struct sockaddr *)&address, &size);
	for (int i = 0; i < QUEUE_FILLERS; i++) {
		fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		if (connect(fillers[i], (struct sockaddr *)&address,
			    sizeof(address)))
			assert_int_equal(errno, EINPROGRESS);
	}
	g_snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(address.sin_port));
	link_dial(hub, text);
	loop_timer_start(interval, SLOW_HEARTBEAT_MS, 0);
	assert_true(loop_until(loop, reason_counted, &reason));
	assert_false(
		interval_over); /* timers fire in order of their due time */
	loop_timer_destroy(interval);
	link_hub_destroy(hub);
	for (int i = 0; i < QUEUE_FILLERS; i++)
		close(fillers[i]);
	close(listener);
}

static void test_unresponsive_dialled_peer_is_closed(void **state)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	char text[32];
	int s;

	(void)state;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
		bind(listener, (struct sockaddr *)&address, sizeof(address)),
		0);
	assert_int_equal(listen(listener, 8), 0);
	getsockname(listener, (struct sockaddr *)&address, &size);
	g_snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(address.sin_port));
	link_dial(client.hub, text);
	/* One loop iteration dials; the kernel completes the connection. */
	assert_true(wait_count(&(int){ 1 }, 1));
	s = accept(listener, NULL, NULL);
	raw_hello(s);
	assert_true(wait_count(&client.ups, 1));
	assert_true(wait_count(&client.downs, 1));
	assert_true(closed("silent") > 0);
	close(s);
	close(listener);
}

static void test_connections_above_the_limit_are_closed(void **state)
{
	struct reason reason = { "limit", closed("limit") + 2 };
	int64_t given_up = closed("given_up");
	int sockets[5];

	(void)state;
	for (int i = 0; i < 5; i++) {
		sockets[i] = raw_connect();
		raw_hello(sockets[i]);
		/* One that is up makes no way for others. */
		assert_true(wait_count(&server.ups, MIN(i + 1, 3)));
	}
	assert_true(loop_until(loop, reason_counted, &reason));
	assert_int_equal(closed("given_up"), given_up);
	for (int i = 0; i < 5; i++)
		close(sockets[i]);
	assert_true(wait_count(&server.downs, 3));
	assert_int_equal(server.ups, 3);
}

/* Guards against strangers that shut out the other processes by connections
 * without a Hello. */
static void test_connections_without_a_hello_make_way(void **state)
{
	struct reason reason = { "given_up", closed("given_up") + 2 };
	int sockets[5];

	(void)state;
	for (int i = 0; i < 3; i++)
		sockets[i] = raw_connect();
	for (int i = 3; i < 5; i++) {
		sockets[i] = raw_connect();
		raw_hello(sockets[i]);
	}
	assert_true(loop_until(loop, reason_counted, &reason));
	assert_true(wait_count(&server.ups, 2));
	for (int i = 0; i < 5; i++)
		close(sockets[i]);
	assert_true(wait_count(&server.downs, 2));
}

static GByteArray *make_large_frame(void)
{
	GByteArray *out = g_byte_array_new();
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Query query = CFW__QUERY__INIT;
	g_autofree uint8_t *key = g_malloc0(FRAME_PART_BYTES);

	query.seq = 1;
	query.key.data = key;
	query.key.len = FRAME_PART_BYTES;
	envelope.body_case = CFW__ENVELOPE__BODY_QUERY;
	envelope.query = &query;
	frame_append(out, &envelope);
	return out;
}

/* Three links have sent a part of a frame, together more than may be held; the
 * first has sent a whole one before if it goes on. Returns which was closed. */
static int find_given_up(bool first_goes_on)
{
	GByteArray *frame = make_large_frame();
	struct reason reason = { "given_up", closed("given_up") + 1 };
	struct pollfd polled[3];
	int given_up = -1;

	for (int i = 0; i < 3; i++) {
		polled[i] = (struct pollfd){ raw_connect(), POLLRDHUP, 0 };
		raw_hello(polled[i].fd);
		assert_true(wait_count(&server.ups, i + 1));
		raw_send(polled[i].fd, frame->data, FRAME_PART_BYTES);
		if (i != 1 || !first_goes_on)
			continue;
		raw_send(polled[0].fd, frame->data + FRAME_PART_BYTES,
			 frame->len - FRAME_PART_BYTES);
		raw_send(polled[0].fd, frame->data, FRAME_PART_BYTES);
		assert_true(wait_count(&server.messages, 1));
	}
	assert_true(loop_until(loop, reason_counted, &reason));
	assert_true(poll(polled, 3, CLOSE_WAIT_MS) > 0);
	for (int i = 2; i >= 0; i--) {
		if (polled[i].revents)
			given_up = i;
		close(polled[i].fd);
	}
	assert_true(wait_count(&server.downs, 3));
	assert_int_equal(closed("given_up"), reason.wanted);
	g_byte_array_unref(frame);
	return given_up;
}

/* Guards against links that together hold more of unfinished frames than their
 * process may: the one that has waited longest makes way. */
static void test_unfinished_frames_are_bounded_together(void **state)
{
	(void)state;
	assert_int_equal(find_given_up(false), 0);
}

/* Guards against a busy link that makes way because it always has a part of a
 * frame unread. */
static void test_a_link_that_goes_on_makes_no_way(void **state)
{
	(void)state;
	assert_int_equal(find_given_up(true), 1);
}

static void test_peer_that_does_not_read_is_closed(void **state)
{
	int s = raw_connect();
	uint64_t sent = 0;

	(void)state;
	raw_hello(s);
	assert_true(wait_count(&server.ups, 1));
	while (link_is_up(server.last) && sent < 2000)
		send_query(server.last, ++sent, 60000);
	assert_true(sent < 2000);
	assert_true(wait_count(&server.downs, 1));
	assert_true(closed("output_full") > 0);
	close(s);
}

/* Guards against a process that ends by SIGPIPE, which only its roles ignore,
 * because a peer has closed and then reset the connection. */
static void test_write_after_a_reset_ends_only_the_link(void **state)
{
	int s = raw_connect();
	struct linger linger = { .l_onoff = 1 };
	int64_t closed_before = closed("closed_by_peer");

	(void)state;
	raw_hello(s);
	assert_true(wait_count(&server.ups, 1));
	assert_int_equal(shutdown(s, SHUT_WR), 0);
	assert_int_equal(
		setsockopt(s, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger)),
		0);
	close(s);
	assert_true(send_query(server.last, 1, 10));
	assert_false(link_flush(server.hub, 10));
	assert_true(closed("closed_by_peer") > closed_before);
	assert_int_equal(server.downs, 1);
}

static void test_dropping_within_a_handler_is_safe(void **state)
{
	struct link *link = dial();

	(void)state;
	assert_true(loop_until(loop, both_up, NULL));
	for (uint64_t i = 1; i <= 10; i++)
		send_query(link, i, 10);
	link_drop(link);
	link_drop(link);
	assert_int_equal(client.downs, 1);
	assert_true(wait_count(&server.downs, 1));
}

static void test_flush_sends_queued_output(void **state)
{
	struct link *link = dial();

	(void)state;
	assert_true(loop_until(loop, both_up, NULL));
	for (uint64_t i = 1; i <= 10; i++)
		assert_true(send_query(link, i, 1000));
	assert_true(link_flush(client.hub, 1000));
	link_hub_destroy(client.hub);
	client.hub = NULL;
	assert_true(wait_count(&server.messages, 10));
}

#define LINK_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		LINK_TEST(test_hello_identifies_the_peer),
		LINK_TEST(test_many_writes_arrive_complete_and_in_order),
		LINK_TEST(test_heartbeats_keep_an_idle_link_up),
		LINK_TEST(test_redials_after_a_loss_and_after_a_restart),
		LINK_TEST(test_bad_peers_are_closed_with_a_reason),
		LINK_TEST(test_other_protocol_is_refused),
		LINK_TEST(test_hanging_dial_times_out),
		LINK_TEST(test_unresponsive_dialled_peer_is_closed),
		LINK_TEST(test_connections_above_the_limit_are_closed),
		LINK_TEST(test_connections_without_a_hello_make_way),
		LINK_TEST(test_unfinished_frames_are_bounded_together),
		LINK_TEST(test_a_link_that_goes_on_makes_no_way),
		LINK_TEST(test_peer_that_does_not_read_is_closed),
		LINK_TEST(test_write_after_a_reset_ends_only_the_link),
		LINK_TEST(test_dropping_within_a_handler_is_safe),
		LINK_TEST(test_flush_sends_queued_output),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
