/*
 * relay: see relay.h.
 */
#include "relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define PAIRS_MAX 256
#define POLL_MS 10
#define BUFFER_BYTES 65536
/* Number of bytes kept from the start of a caller's data, its Hello. */
#define FIRST_BYTES_MAX 128
#define RULES_MAX 16
#define US_PER_MS 1000

/* ---- Types ---- */

struct pair {
	int caller, target; /* sockets, blocking writes; -1: closed */
	int blackhole; /* enum relay_direction, permanent */
	char first_bytes[FIRST_BYTES_MAX];
	size_t first_bytes_size;
};

/* A blackhole rule for callers with one name. */
struct rule {
	char pattern[40]; /* the name as encoded in the Hello */
	gint direction; /* atomic */
};

struct relay {
	struct relay *next; /* in the list of all relays */
	int listener;
	struct sockaddr_in target;
	GThread *thread;
	gint stop, blackhole_all, blackhole_open; /* atomic */
	gint accepted; /* atomic */
	char address[40]; /* of the listener */
	int disturbances; /* calls that disturb connections */
	/* Bytes received from callers and from the target, and those of them
	 * that were passed on. Written by the relay's thread only. */
	uint64_t from_callers, from_target, forwarded;
	gint reset_open, delay_ms; /* atomic */
	struct pair pairs[PAIRS_MAX];
	int n_pairs;
	struct rule rules[RULES_MAX];
	gint n_rules; /* atomic */
};

/* ---- Module state ---- */

static struct relay *all_relays; /* used by the test's own thread only */

/* ---- Sockets ---- */

static struct sockaddr_in read_address(const char *text)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	char ip[32];
	const char *colon = strrchr(text, ':');

	g_strlcpy(ip, text, MIN(sizeof(ip), (size_t)(colon - text) + 1));
	assert_int_equal(inet_pton(AF_INET, ip, &address.sin_addr), 1);
	address.sin_port = htons((uint16_t)atoi(colon + 1));
	return address;
}

static void set_no_delay(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static void accept_pair(struct relay *r)
{
	struct pair *p = &r->pairs[r->n_pairs];
	int fd = accept4(r->listener, NULL, NULL, SOCK_CLOEXEC);

	if (fd < 0)
		return;
	p->caller = fd;
	p->target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	p->blackhole = 0;
	p->first_bytes_size = 0;
	if (r->n_pairs == PAIRS_MAX ||
	    connect(p->target, (struct sockaddr *)&r->target,
		    sizeof(r->target))) {
		close(p->caller);
		close(p->target);
		return;
	}
	set_no_delay(p->caller);
	set_no_delay(p->target);
	r->n_pairs++;
	g_atomic_int_inc(&r->accepted);
}

static void close_pair(struct relay *r, int i)
{
	close(r->pairs[i].caller);
	close(r->pairs[i].target);
	r->pairs[i] = r->pairs[--r->n_pairs];
}

static void reset_pair(struct relay *r, int i)
{
	struct linger abort_on_close = { 1, 0 };

	setsockopt(r->pairs[i].caller, SOL_SOCKET, SO_LINGER, &abort_on_close,
		   sizeof(abort_on_close));
	setsockopt(r->pairs[i].target, SOL_SOCKET, SO_LINGER, &abort_on_close,
		   sizeof(abort_on_close));
	close_pair(r, i);
}

/* ---- Forwarding ---- */

static bool write_all(int fd, const char *data, ssize_t size)
{
	while (size > 0) {
		ssize_t n = send(fd, data, (size_t)size, MSG_NOSIGNAL);

		if (n < 0)
			return false;
		data += n;
		size -= n;
	}
	return true;
}

static void record_first_bytes(struct pair *p, const char *data, ssize_t size)
{
	size_t more = MIN((size_t)MAX(size, 0),
			  FIRST_BYTES_MAX - p->first_bytes_size);

	memcpy(p->first_bytes + p->first_bytes_size, data, more);
	p->first_bytes_size += more;
}

static int caller_blackhole(struct relay *r, const struct pair *p)
{
	int n = g_atomic_int_get(&r->n_rules), i, direction = 0;

	for (i = 0; i < n; i++) {
		const char *pattern = r->rules[i].pattern;

		if (memmem(p->first_bytes, p->first_bytes_size, pattern,
			   strlen(pattern)))
			direction |= g_atomic_int_get(&r->rules[i].direction);
	}
	return direction;
}

/* Returns false if the other socket of the pair is closed too. */
static bool close_socket(struct pair *p, int fd)
{
	if (p->caller == fd)
		p->caller = -1;
	else
		p->target = -1;
	close(fd);
	return p->caller >= 0 || p->target >= 0;
}

/* Returns false if the pair must be closed. */
static bool forward_data(struct relay *r, struct pair *p, int from, int to,
			 int direction)
{
	char buffer[BUFFER_BYTES];
	int blackhole = p->blackhole | g_atomic_int_get(&r->blackhole_all);
	ssize_t n = recv(from, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (direction == RELAY_TO_TARGET)
		record_first_bytes(p, buffer, n);
	if (n > 0 && direction == RELAY_TO_TARGET)
		r->from_callers += (uint64_t)n;
	else if (n > 0)
		r->from_target += (uint64_t)n;
	blackhole |= caller_blackhole(r, p);
	/* The end of a blackholed connection is not forwarded either. */
	if (blackhole & direction)
		return n > 0 || close_socket(p, from);
	if (n > 0 && g_atomic_int_get(&r->delay_ms))
		g_usleep((gulong)g_atomic_int_get(&r->delay_ms) * US_PER_MS);
	if (n <= 0 || !write_all(to, buffer, n))
		return false;
	r->forwarded += (uint64_t)n;
	return true;
}

static void forward_ready(struct relay *r, const struct pollfd *polls, int n)
{
	int i;

	for (i = n - 1; i >= 0; i--) {
		struct pair *p = &r->pairs[i];
		bool ok = true;

		if (polls[1 + 2 * i].revents)
			ok = forward_data(r, p, p->caller, p->target,
					  RELAY_TO_TARGET);
		if (ok && polls[2 + 2 * i].revents)
			ok = forward_data(r, p, p->target, p->caller,
					  RELAY_FROM_TARGET);
		if (!ok)
			close_pair(r, i);
	}
}

static gpointer run(gpointer data)
{
	struct relay *r = data;
	struct pollfd polls[1 + 2 * PAIRS_MAX];
	int i, n, direction;

	while (!g_atomic_int_get(&r->stop)) {
		if (g_atomic_int_and((guint *)&r->reset_open, 0))
			while (r->n_pairs)
				reset_pair(r, 0);
		direction = g_atomic_int_and((guint *)&r->blackhole_open, 0);
		n = r->n_pairs;
		polls[0] = (struct pollfd){ r->listener, POLLIN, 0 };
		for (i = 0; i < n; i++) {
			r->pairs[i].blackhole |= direction;
			polls[1 + 2 * i] = (struct pollfd){ r->pairs[i].caller,
							    POLLIN, 0 };
			polls[2 + 2 * i] = (struct pollfd){ r->pairs[i].target,
							    POLLIN, 0 };
		}
		if (poll(polls, 1 + 2 * (nfds_t)n, POLL_MS) <= 0)
			continue;
		forward_ready(r, polls, n);
		if (polls[0].revents)
			accept_pair(r);
	}
	return NULL;
}

/* ---- Public functions ---- */

struct relay *relay_create(const char *listen_at, const char *target)
{
	struct relay *r = g_new0(struct relay, 1);
	struct sockaddr_in own = read_address(listen_at);
	int on = 1;

	g_strlcpy(r->address, listen_at, sizeof(r->address));
	r->target = read_address(target);
	r->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(r->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(r->listener, (struct sockaddr *)&own, sizeof(own)) ||
	    listen(r->listener, 64))
		fail_msg("relay at %s: %s", listen_at, strerror(errno));
	fcntl(r->listener, F_SETFL, O_NONBLOCK);
	r->thread = g_thread_new("relay", run, r);
	r->next = all_relays;
	all_relays = r;
	return r;
}

/* A relay that the processes bypass disturbs nothing, and a test that takes
 * its faults for injected proves nothing. */
static void check_carried(const struct relay *r)
{
	if (!r->disturbances)
		return;
	fprintf(stderr,
		"count: relay %s: disturbances=%d connections=%d "
		"from_callers=%d from_target=%d forwarded=%d bytes\n",
		r->address, r->disturbances, (int)r->accepted,
		(int)r->from_callers, (int)r->from_target, (int)r->forwarded);
	if (!r->from_callers || !r->from_target || !r->forwarded)
		fail_msg("the disturbed relay at %s has carried nothing",
			 r->address);
}

static void end(struct relay *r)
{
	struct relay **link = &all_relays;

	g_atomic_int_set(&r->stop, 1);
	g_thread_join(r->thread);
	while (r->n_pairs)
		close_pair(r, 0);
	close(r->listener);
	while (*link != r)
		link = &(*link)->next;
	*link = r->next;
}

void relay_destroy(struct relay *r)
{
	end(r);
	check_carried(r);
	g_free(r);
}

void relay_destroy_all(void)
{
	while (all_relays) {
		struct relay *r = all_relays;

		end(r);
		g_free(r);
	}
}

void relay_crash(struct relay *r)
{
	r->disturbances++;
	relay_destroy(r);
}

void relay_blackhole_open(struct relay *r, enum relay_direction direction)
{
	r->disturbances += direction != RELAY_NONE;
	g_atomic_int_or((guint *)&r->blackhole_open, (guint)direction);
}

void relay_blackhole_all(struct relay *r, enum relay_direction direction)
{
	r->disturbances += direction != RELAY_NONE;
	g_atomic_int_set(&r->blackhole_all, (gint)direction);
}

void relay_blackhole_caller(struct relay *r, const char *name,
			    enum relay_direction direction)
{
	char pattern[40];
	int i;

	r->disturbances += direction != RELAY_NONE;
	/* Field 2 of the Hello: the tag, the length and the string. */
	snprintf(pattern, sizeof(pattern), "\x12%c%s", (int)strlen(name), name);
	for (i = 0; i < r->n_rules; i++)
		if (!strcmp(r->rules[i].pattern, pattern))
			break;
	assert_true(i < RULES_MAX);
	g_atomic_int_set(&r->rules[i].direction, (gint)direction);
	if (i < r->n_rules)
		return;
	g_strlcpy(r->rules[i].pattern, pattern, sizeof(r->rules[i].pattern));
	g_atomic_int_inc(&r->n_rules);
}

void relay_reset_open(struct relay *r)
{
	r->disturbances++;
	g_atomic_int_set(&r->reset_open, 1);
}

void relay_delay(struct relay *r, int32_t delay_ms)
{
	r->disturbances += delay_ms != 0;
	g_atomic_int_set(&r->delay_ms, delay_ms);
}

uint64_t relay_accepted(const struct relay *r)
{
	return (uint64_t)g_atomic_int_get(&r->accepted);
}
