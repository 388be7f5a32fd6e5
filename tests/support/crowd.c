/*
 * crowd: see crowd.h. One poll() over all connections. A crowd whose
 * connections are opened again goes on in a thread of its own.
 */
#include "support/crowd.h"

#include "base/address.h"
#include "base/clock.h"
#include "net/frame.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* ---- Constants ---- */

/* Without progress for so long, the server reads no further. */
#define STALLED_MS 1500
#define POLL_MS 100
/* For the server to read what has arrived; it needn't read all. */
#define READ_WAIT_MS 5000
#define READ_POLL_US 20000
#define EMPTY_ENTRY_BYTES 2 /* its tag and its length */
#define ESTABLISHED "01" /* in /proc/net/tcp */
/* Sent by one connection before the next one's turn. */
#define TURN_BYTES 65536
#define HEADER_LINE "X-Filler: 0123456789012345678901234567890123456789\r\n"
#define ONE_BYTE_CHUNK "1\r\n \r\n"

/* ---- Types ---- */

struct client {
	int fd; /* -1: closed */
	GByteArray *head; /* sent first */
	uint64_t sent; /* of head and what follows */
	uint64_t size; /* of both */
};

struct crowd {
	struct crowd_plan plan;
	struct client *clients;
	struct pollfd *polled;
	GByteArray *filler; /* sent again and again behind the head */
	GThread *thread; /* NULL: the crowd's connections stay as they are */
	struct sockaddr_storage address;
	socklen_t address_size;
	atomic_bool ending;
	atomic_uint closed;
	atomic_uint_least64_t sent_bytes;
};

/* ---- What is sent ---- */

static void append_text(GByteArray *to, const char *text)
{
	g_byte_array_append(to, (const guint8 *)text, (guint)strlen(text));
}

static void append_request(const struct crowd_plan *plan, uint32_t number,
			   const char *length_line, GByteArray *to)
{
	g_autofree char *id = g_strdup_printf("%08x%08x", 0xc0adU, number);
	g_auto(GStrv) parts = g_strsplit(plan->path, "%d", 2);
	g_autofree char *path = g_strjoinv(id, parts);
	g_autofree char *text =
		g_strdup_printf("%s %s HTTP/1.1\r\n%s%s", plan->method, path,
				plan->lines ? plan->lines : "", length_line);

	append_text(to, text);
}

/* Each client says that it is a process of its own. */
static void append_hello(uint32_t number, GByteArray *to)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Hello hello = CFW__HELLO__INIT;

	hello.role = CFW__ROLE__ROLE_DISPATCHER;
	hello.name = "crowd";
	hello.data_centre = "dc1";
	hello.incarnation = number + 1;
	hello.protocol = 1;
	envelope.body_case = CFW__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	frame_append(to, &envelope);
}

/* Orders with so many starts without content that they have the announced
 * size. */
static void append_entries(const struct crowd_plan *plan, uint32_t number,
			   GByteArray *to)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__RunOrders orders = CFW__RUN_ORDERS__INIT;
	Cfw__RunStart empty = CFW__RUN_START__INIT;

	orders.n_starts = plan->announced_bytes / EMPTY_ENTRY_BYTES;
	orders.starts = g_new(Cfw__RunStart *, orders.n_starts);
	for (size_t i = 0; i < orders.n_starts; i++)
		orders.starts[i] = &empty;
	envelope.body_case = CFW__ENVELOPE__BODY_RUN_ORDERS;
	envelope.run_orders = &orders;
	append_hello(number, to);
	frame_append(to, &envelope);
	g_free(orders.starts);
}

static void append_frame_start(const struct crowd_plan *plan, uint32_t number,
			       GByteArray *to)
{
	uint32_t size = htonl((uint32_t)plan->announced_bytes);

	if (plan->form == CROWD_FRAME_AFTER_HELLO)
		append_hello(number, to);
	g_byte_array_append(to, (const guint8 *)&size, sizeof(size));
}

static GByteArray *make_head(const struct crowd_plan *plan, uint32_t number)
{
	GByteArray *head = g_byte_array_new();
	g_autofree char *length =
		g_strdup_printf("Content-Length: %" G_GUINT64_FORMAT "\r\n\r\n",
				plan->announced_bytes);

	switch (plan->form) {
	case CROWD_SILENT:
		break;
	case CROWD_HEADERS:
		append_request(plan, number, "", head);
		break;
	case CROWD_LENGTH:
		append_request(plan, number, length, head);
		break;
	case CROWD_CHUNKS:
		append_request(plan, number,
			       "Transfer-Encoding: chunked\r\n\r\n", head);
		break;
	case CROWD_WHOLE:
		append_request(plan, number, length, head);
		if (plan->body)
			append_text(head, plan->body);
		break;
	case CROWD_UNREAD:
		break; /* the requests are the filler */
	case CROWD_FRAME:
	case CROWD_FRAME_AFTER_HELLO:
		append_frame_start(plan, number, head);
		break;
	case CROWD_ENTRIES:
		append_entries(plan, number, head);
		break;
	}
	return head;
}

static GByteArray *make_filler(const struct crowd_plan *plan)
{
	GByteArray *filler = g_byte_array_new();
	guint unit_bytes;

	if (plan->form == CROWD_UNREAD) {
		append_request(plan, 0, "\r\n", filler);
	} else if (plan->form == CROWD_HEADERS) {
		append_text(filler, HEADER_LINE);
	} else if (plan->form == CROWD_CHUNKS && plan->chunk_bytes > 1) {
		g_autofree char *size = g_strdup_printf(
			"%" G_GINT64_MODIFIER "x\r\n", plan->chunk_bytes);

		append_text(filler, size);
		g_byte_array_set_size(filler,
				      filler->len + (guint)plan->chunk_bytes);
		memset(filler->data + strlen(size), ' ',
		       (size_t)plan->chunk_bytes);
		append_text(filler, "\r\n");
	} else if (plan->unit) {
		append_text(filler, plan->unit);
	} else {
		append_text(filler,
			    plan->form == CROWD_CHUNKS ? ONE_BYTE_CHUNK : " ");
	}
	/* Large pieces cost fewer calls. */
	unit_bytes = filler->len;
	g_byte_array_set_size(filler,
			      unit_bytes * (1 + TURN_BYTES / unit_bytes));
	for (guint at = unit_bytes; at < filler->len; at += unit_bytes)
		memcpy(filler->data + at, filler->data, unit_bytes);
	return filler;
}

/* Bytes behind the head. */
static uint64_t filler_bytes(const struct crowd_plan *plan)
{
	static const uint64_t one_byte_chunk = sizeof(ONE_BYTE_CHUNK) - 1;

	if (plan->form == CROWD_CHUNKS && plan->chunk_bytes == 1)
		return plan->send_bytes * one_byte_chunk;
	if (plan->form == CROWD_WHOLE && plan->body)
		return plan->send_bytes - strlen(plan->body);
	return plan->send_bytes;
}

/* ---- Connections ---- */

static void open_client(struct crowd *crowd, struct client *client)
{
	int fd = socket(crowd->address.ss_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		g_error("socket: %s", g_strerror(errno));
	if (connect(fd, (struct sockaddr *)&crowd->address,
		    crowd->address_size) &&
	    errno != EINPROGRESS) {
		close(fd);
		return;
	}
	client->fd = fd;
	client->sent = 0;
}

static void close_client(struct crowd *crowd, struct client *client)
{
	close(client->fd);
	client->fd = -1;
	atomic_fetch_add(&crowd->closed, 1);
}

/* What comes next: at most one turn. */
static size_t next_piece(const struct crowd *crowd, const struct client *client,
			 const uint8_t **piece)
{
	const GByteArray *head = client->head, *filler = crowd->filler;
	uint64_t left = client->size - client->sent;
	size_t at;

	if (client->sent < head->len) {
		*piece = head->data + client->sent;
		return head->len - (size_t)client->sent;
	}
	at = (size_t)((client->sent - head->len) % filler->len);
	*piece = filler->data + at;
	return (size_t)MIN(left, MIN(filler->len - at, TURN_BYTES));
}

/* True if something was sent. */
static bool send_some(struct crowd *crowd, struct client *client)
{
	const uint8_t *piece;
	size_t size = next_piece(crowd, client, &piece);
	ssize_t sent = send(client->fd, piece, size, MSG_NOSIGNAL);

	if (sent < 0) {
		if (errno != EAGAIN && errno != EINTR)
			close_client(crowd, client);
		return false;
	}
	client->sent += (uint64_t)sent;
	atomic_fetch_add(&crowd->sent_bytes, (uint64_t)sent);
	return true;
}

/* Reads answers, and notices a closed connection. */
static void read_some(struct crowd *crowd, struct client *client)
{
	char buffer[4096];
	int flags = crowd->plan.form == CROWD_UNREAD ? MSG_PEEK : 0;
	ssize_t size = recv(client->fd, buffer, sizeof(buffer), flags);

	if (size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR)))
		return;
	close_client(crowd, client);
}

static short wanted_events(const struct crowd *crowd,
			   const struct client *client)
{
	short events = client->sent < client->size ? POLLOUT : 0;

	/* What is peeked at would be ready again at once. */
	return crowd->plan.form == CROWD_UNREAD ? (short)(events | POLLRDHUP)
						: (short)(events | POLLIN);
}

/* True if some client sent something; *unfinished: some has more to send. */
static bool take_turns(struct crowd *crowd, bool *unfinished)
{
	uint32_t n = crowd->plan.connections;
	bool progress = false;

	*unfinished = false;
	for (uint32_t i = 0; i < n; i++)
		crowd->polled[i] = (struct pollfd){
			.fd = crowd->clients[i].fd,
			.events = wanted_events(crowd, &crowd->clients[i]),
		};
	poll(crowd->polled, n, POLL_MS);
	for (uint32_t i = 0; i < n; i++) {
		struct client *client = &crowd->clients[i];
		short events = client->fd < 0 ? 0 : crowd->polled[i].revents;

		if (events & (POLLIN | POLLERR | POLLHUP | POLLRDHUP))
			read_some(crowd, client);
		if (client->fd >= 0 && (events & POLLOUT))
			progress = send_some(crowd, client) || progress;
		*unfinished = *unfinished ||
			      (client->fd >= 0 && client->sent < client->size);
	}
	return progress;
}

/* ---- Reading by the server ---- */

/* Bytes that wait unread in the sockets of one address, from the kernel's table
 * of connections. */
static uint64_t unread_bytes(const char *address)
{
	struct sockaddr_storage to;
	const struct sockaddr_in *ip = (const struct sockaddr_in *)&to;
	g_autofree char *local = NULL;
	g_autofree char *table = NULL;
	g_auto(GStrv) lines = NULL;
	uint64_t unread = 0;
	socklen_t size;

	assert_true(address_to_sockaddr(address, &to, &size));
	local = g_strdup_printf("%08X:%04X", ip->sin_addr.s_addr,
				ntohs(ip->sin_port));
	assert_true(g_file_get_contents("/proc/net/tcp", &table, NULL, NULL));
	lines = g_strsplit(table, "\n", -1);
	for (size_t i = 0; lines[i]; i++) {
		char from[32], state[8];
		unsigned int sent, received;

		if (sscanf(lines[i], "%*s %31s %*s %7s %x:%x", from, state,
			   &sent, &received) == 4 &&
		    !strcmp(from, local) && !strcmp(state, ESTABLISHED))
			unread += received;
	}
	return unread;
}

static void wait_until_read(const char *address)
{
	int64_t end_ms = clock_now_ms() + READ_WAIT_MS;

	while (unread_bytes(address) > 0 && clock_now_ms() < end_ms)
		g_usleep(READ_POLL_US);
}

static gpointer stay(gpointer arg)
{
	struct crowd *crowd = arg;
	bool unfinished;

	while (!atomic_load(&crowd->ending)) {
		for (uint32_t i = 0; i < crowd->plan.connections; i++)
			if (crowd->clients[i].fd < 0)
				open_client(crowd, &crowd->clients[i]);
		take_turns(crowd, &unfinished);
	}
	return NULL;
}

struct crowd *crowd_begin(const char *address, const struct crowd_plan *plan)
{
	struct crowd *crowd = g_new0(struct crowd, 1);
	int64_t progress_ms = clock_now_ms();
	bool unfinished = true;

	crowd->plan = *plan;
	crowd->clients = g_new0(struct client, plan->connections);
	crowd->polled = g_new0(struct pollfd, plan->connections);
	crowd->filler = make_filler(plan);
	assert_true(address_to_sockaddr(address, &crowd->address,
					&crowd->address_size));
	for (uint32_t i = 0; i < plan->connections; i++) {
		struct client *client = &crowd->clients[i];

		client->fd = -1;
		open_client(crowd, client);
		client->head = make_head(plan, i);
		client->size = client->head->len + filler_bytes(plan);
	}
	while (unfinished && clock_now_ms() - progress_ms < STALLED_MS)
		if (take_turns(crowd, &unfinished))
			progress_ms = clock_now_ms();
	wait_until_read(address);
	if (plan->reopens)
		crowd->thread = g_thread_new("crowd", stay, crowd);
	return crowd;
}

void crowd_end(struct crowd *crowd)
{
	atomic_store(&crowd->ending, true);
	if (crowd->thread)
		g_thread_join(crowd->thread);
	for (uint32_t i = 0; i < crowd->plan.connections; i++) {
		if (crowd->clients[i].fd >= 0)
			close(crowd->clients[i].fd);
		g_byte_array_unref(crowd->clients[i].head);
	}
	g_byte_array_unref(crowd->filler);
	g_free(crowd->polled);
	g_free(crowd->clients);
	g_free(crowd);
}

uint32_t crowd_closed(const struct crowd *crowd)
{
	return atomic_load(&((struct crowd *)crowd)->closed);
}

uint64_t crowd_sent_bytes(const struct crowd *crowd)
{
	return atomic_load(&((struct crowd *)crowd)->sent_bytes);
}

/* ---- What the process holds ---- */

int64_t crowd_peak_kib(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return -1;
	line = strstr(text, "VmHWM:");
	return line ? g_ascii_strtoll(line + strlen("VmHWM:"), NULL, 10) : -1;
}

int64_t crowd_open_descriptors(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	int64_t n = 0;

	while (dir && g_dir_read_name(dir))
		n++;
	if (dir)
		g_dir_close(dir);
	return n;
}
