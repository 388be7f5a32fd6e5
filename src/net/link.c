/*
 * link: see link.h. Dialling, handshake, reading, writing and
 * closing of one connection.
 */
#include "net/link_private.h"

#include "base/address.h"
#include "base/logger.h"

#include <apr_portable.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* The connect timeout is a third of the heartbeat interval. It is short
 * because a SYN sent to a powered-off host is lost, and TCP repeats it only
 * after seconds, even if the host is back earlier. */
#define CONNECT_TIMEOUT_DIVISOR 3
#define CONNECT_TIMEOUT_MIN_MS 50
#define REDIAL_MIN_MS 20
#define REDIAL_MAX_MS 500
#define REDIAL_FIRST_BOUND_MS 100
#define REDIAL_SHIFT_MAX 3
#define READS_PER_ITERATION 8
/* An empty output buffer larger than this is freed. */
#define IDLE_OUTPUT_MAX_BYTES 262144
/* The first frame is a Hello, which is far smaller. */
#define HELLO_MAX_BYTES 4096

static void start_dial(struct link *link);

/* ---- Create and free ---- */

/* The timer limits the time to connect and sets the delay between dials. */
static void on_redial(void *arg, int64_t now_ms)
{
	struct link *link = arg;

	(void)now_ms;
	if (link->state == LINK_CONNECTING)
		link_disconnect(link, "connect_timeout");
	else
		start_dial(link);
}

struct link *link_create(struct link_hub *hub, bool dialled, char *address)
{
	struct link *link = g_new0(struct link, 1);

	link->hub = hub;
	link->dialled = dialled;
	link->address = address;
	link->output = g_byte_array_new();
	if (dialled)
		link->redial = loop_timer_create(hub->loop, on_redial, link);
	g_ptr_array_add(hub->links, link);
	return link;
}

static void clear_peer(struct link *link)
{
	g_free((char *)link->peer.name);
	g_free((char *)link->peer.data_centre);
	link->peer = (struct link_identity){ 0 };
	link->has_peer = false;
}

void link_free(struct link *link)
{
	clear_peer(link);
	loop_timer_destroy(link->redial);
	g_byte_array_unref(link->output);
	g_free(link->address);
	g_free(link);
}

static void close_entry(struct link *link)
{
	if (!link->entry.intake)
		return;
	intake_lock(link->entry.intake);
	intake_close(&link->entry);
	intake_unlock(link->entry.intake);
	link->entry.intake = NULL;
}

static void remove_link(struct link *link)
{
	if (link->dropped)
		return;
	link->dropped = true;
	close_entry(link);
	g_ptr_array_remove_fast(link->hub->links, link);
	g_ptr_array_add(link->hub->dropped, link);
	link_hub_schedule(link->hub);
}

/* ---- Closing ---- */

static void release_socket(struct link *link)
{
	loop_watch_destroy(link->watch);
	link->watch = NULL;
	if (link->pool)
		apr_pool_destroy(link->pool); /* closes the socket */
	link->pool = NULL;
	link->socket = NULL;
	g_clear_pointer(&link->decoder, frame_decoder_destroy);
	g_byte_array_set_size(link->output, 0);
	link->output_sent = 0;
	link->output_blocked = false;
	link->close_reason = NULL;
}

/* Full jitter: a random delay between the minimum and a doubling bound. */
static int64_t redial_wait_ms(struct link *link)
{
	uint32_t shift = MIN(link->failures, REDIAL_SHIFT_MAX);
	int32_t bound_ms = MIN(REDIAL_MAX_MS, REDIAL_FIRST_BOUND_MS << shift);

	return g_rand_int_range(link->hub->random, REDIAL_MIN_MS, bound_ms + 1);
}

static void count_closed(const char *reason)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	counter_add(counter_get("link_closed_total", labels,
				"Connections between processes closed"),
		    1);
}

static void disconnect_socket(struct link *link, const char *reason)
{
	bool was_up = link->state == LINK_UP;

	if (link->state == LINK_DOWN)
		return;
	count_closed(reason);
	release_socket(link);
	link->state = LINK_DOWN;
	if (was_up) {
		log_event(LOG_INFO, "link_down", "peer=%s address=%s reason=%s",
			  link->peer.name, link->address, reason);
		link->hub->handlers.down(link->hub->arg, link);
	}
}

void link_disconnect(struct link *link, const char *reason)
{
	if (link->state == LINK_DOWN)
		return;
	link->failures = link->state == LINK_UP ? 0 : link->failures + 1;
	disconnect_socket(link, reason);
	if (link->dropped)
		return; /* the down handler dropped it */
	if (!link->dialled)
		remove_link(link);
	else if (link->state == LINK_DOWN)
		loop_timer_start(link->redial, redial_wait_ms(link), 0);
}

void link_close(struct link *link)
{
	link_disconnect(link, "closed_here");
}

void link_drop(struct link *link)
{
	if (link->dropped)
		return;
	remove_link(link);
	if (link->redial)
		loop_timer_stop(link->redial);
	disconnect_socket(link, "dropped_here");
}

void link_close_later(struct link *link, const char *reason)
{
	link->close_reason = reason;
	if (!link->in_flush_list) {
		link->in_flush_list = true;
		g_ptr_array_add(link->hub->to_flush, link);
	}
	link_hub_schedule(link->hub);
}

/* ---- What is held for a peer ---- */

/* Counts unfinished frames and unsent output. A peer that holds neither is
 * waited for only until its Hello. One that has just sent a whole frame isn't
 * waited for since the one before. */
static void update_entry(struct link *link, bool whole_frame)
{
	struct intake_entry *entry = &link->entry;
	uint64_t bytes = link->output->len - link->output_sent;
	bool has_room;

	if (!entry->intake || !link->decoder)
		return;
	bytes += frame_decoder_pending(link->decoder);
	intake_lock(entry->intake);
	has_room = intake_resize(entry, bytes, loop_now_ms(link->hub->loop));
	if (link->state == LINK_UP && !bytes)
		intake_stop_waiting(entry);
	else if (!entry->waits || whole_frame)
		intake_wait(entry);
	intake_unlock(entry->intake);
	if (!has_room && !link->close_reason)
		link_close_later(link, "no_room");
}

/* ---- Reading ---- */

static void count_message(struct link *link, int direction,
			  const Cfw__Envelope *envelope)
{
	struct link_hub *hub = link->hub;

	if ((size_t)envelope->body_case < hub->n_kinds)
		counter_add(hub->messages[direction][envelope->body_case], 1);
}

static bool handle_hello(struct link *link, const Cfw__Envelope *envelope)
{
	const Cfw__Hello *hello;

	if (envelope->body_case != CFW__ENVELOPE__BODY_HELLO)
		return false;
	hello = envelope->hello;
	if (hello->protocol != LINK_PROTOCOL)
		return false;
	clear_peer(link);
	link->peer.role = hello->role;
	link->peer.name = g_strdup(hello->name);
	link->peer.incarnation = hello->incarnation;
	link->peer.member_id = hello->member_id;
	link->peer.data_centre = g_strdup(hello->data_centre);
	link->has_peer = true;
	link->failures = 0;
	link->state = LINK_UP;
	frame_decoder_set_max(link->decoder, link->hub->options.frame_max_bytes,
			      link->hub->options.held_max_bytes);
	log_event(LOG_INFO, "link_up", "peer=%s address=%s dialled=%s",
		  link->peer.name, link->address,
		  link->dialled ? "true" : "false");
	link->hub->handlers.up(link->hub->arg, link);
	return true;
}

/* Returns false if the peer violated the protocol. */
static bool handle_envelope(struct link *link, const Cfw__Envelope *envelope)
{
	count_message(link, LINK_IN, envelope);
	if (link->state == LINK_HANDSHAKE)
		return handle_hello(link, envelope);
	if (envelope->body_case == CFW__ENVELOPE__BODY_HELLO)
		return false;
	if (envelope->body_case != CFW__ENVELOPE__BODY_HEARTBEAT)
		link->hub->handlers.message(link->hub->arg, link, envelope);
	return true;
}

/* Handles every complete frame. Stops if a handler closes the link. Returns
 * true if there was one. */
static bool handle_frames(struct link *link)
{
	bool whole_frame = false;

	while (link->decoder && !link->close_reason) {
		struct frame_decoder *decoder = link->decoder;
		Cfw__Envelope *envelope;
		enum frame_status status =
			frame_decoder_next(decoder, &envelope);
		bool valid;

		if (status == FRAME_INCOMPLETE)
			return whole_frame;
		if (status != FRAME_OK) {
			link_disconnect(link, status == FRAME_TOO_LARGE
						      ? "too_large"
						      : "garbage");
			return false;
		}
		whole_frame = true;
		valid = handle_envelope(link, envelope);
		cfw__envelope__free_unpacked(envelope, NULL);
		if (!valid && link->decoder == decoder) {
			link_disconnect(link, "protocol");
			return false;
		}
	}
	return whole_frame;
}

static void read_socket(struct link *link)
{
	struct link_hub *hub = link->hub;

	for (int i = 0; i < READS_PER_ITERATION && link->socket; i++) {
		apr_socket_t *socket = link->socket;
		apr_size_t size = sizeof(hub->buffer);
		apr_status_t status =
			apr_socket_recv(socket, (char *)hub->buffer, &size);

		if (status != APR_SUCCESS || !size) {
			if (!APR_STATUS_IS_EAGAIN(status) &&
			    !APR_STATUS_IS_EINTR(status))
				link_disconnect(link, "closed_by_peer");
			return;
		}
		counter_add(hub->bytes[LINK_IN], (int64_t)size);
		link->received_ms = loop_now_ms(hub->loop);
		frame_decoder_feed(link->decoder, hub->buffer, size);
		update_entry(link, handle_frames(link));
		if (link->socket != socket || size < sizeof(hub->buffer))
			return;
	}
}

/* ---- Writing ---- */

bool link_has_output(const struct link *link)
{
	return link->output->len > link->output_sent;
}

static void release_output(struct link *link)
{
	if (link->output->len > IDLE_OUTPUT_MAX_BYTES) {
		g_byte_array_unref(link->output);
		link->output = g_byte_array_new();
	} else {
		g_byte_array_set_size(link->output, 0);
	}
	link->output_sent = 0;
}

/* Unlike apr_socket_send(), raises no SIGPIPE where the peer has closed. */
static apr_status_t send_output(struct link *link)
{
	apr_os_sock_t descriptor;
	apr_status_t status = apr_os_sock_get(&descriptor, link->socket);
	ssize_t size;

	if (status != APR_SUCCESS)
		return status;
	size = send(descriptor, link->output->data + link->output_sent,
		    link->output->len - link->output_sent, MSG_NOSIGNAL);
	if (size < 0)
		return APR_FROM_OS_ERROR(errno);
	link->output_sent += (gsize)size;
	counter_add(link->hub->bytes[LINK_OUT], size);
	return APR_SUCCESS;
}

void link_write(struct link *link)
{
	while (link->socket && link_has_output(link)) {
		apr_status_t status = send_output(link);

		if (status == APR_SUCCESS || APR_STATUS_IS_EINTR(status))
			continue;
		if (!APR_STATUS_IS_EAGAIN(status)) {
			link_disconnect(link, "closed_by_peer");
			return;
		}
		link->output_blocked = true;
		loop_watch_set(link->watch, true, true);
		update_entry(link, false);
		return;
	}
	if (!link->socket)
		return;
	release_output(link);
	link->output_blocked = false;
	loop_watch_set(link->watch, true, false);
	update_entry(link, false);
}

/* Removes sent bytes once they make up at least half of a large buffer. */
static void trim_output(struct link *link)
{
	if (link->output_sent <= IDLE_OUTPUT_MAX_BYTES ||
	    link->output_sent < link->output->len / 2)
		return;
	g_byte_array_remove_range(link->output, 0, (guint)link->output_sent);
	link->output_sent = 0;
}

bool link_queue(struct link *link, const Cfw__Envelope *envelope)
{
	struct link_hub *hub = link->hub;

	if (link->close_reason)
		return false;
	trim_output(link);
	frame_append(link->output, envelope);
	count_message(link, LINK_OUT, envelope);
	link->sent_ms = loop_now_ms(hub->loop);
	if (!link->in_flush_list) {
		link->in_flush_list = true;
		g_ptr_array_add(hub->to_flush, link);
	}
	if (link->output->len - link->output_sent >
	    hub->options.output_max_bytes)
		link->close_reason = "output_full";
	link_hub_schedule(hub);
	return !link->close_reason;
}

bool link_send(struct link *link, const Cfw__Envelope *envelope)
{
	return link->state == LINK_UP && link_queue(link, envelope);
}

/* ---- Opening ---- */

static void finish_dial(struct link *link);

static void on_socket(void *arg, bool readable, bool writable)
{
	struct link *link = arg;
	apr_socket_t *socket = link->socket;

	if (link->state == LINK_CONNECTING) {
		finish_dial(link);
		return;
	}
	if (writable)
		link_write(link);
	if (readable && link->socket == socket)
		read_socket(link);
}

static void start_handshake(struct link *link)
{
	struct link_hub *hub = link->hub;

	if (link->redial)
		loop_timer_stop(link->redial);
	link->state = LINK_HANDSHAKE;
	link->refused = false;
	link->opened_ms = loop_now_ms(hub->loop);
	link->received_ms = link->opened_ms;
	link->decoder = frame_decoder_create(HELLO_MAX_BYTES);
	loop_watch_set(link->watch, true, false);
	link_queue(link, &hub->hello);
}

void link_open(struct link *link, apr_pool_t *pool, apr_socket_t *socket)
{
	apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
	link->pool = pool;
	link->socket = socket;
	link->watch =
		loop_watch_create(link->hub->loop, socket, on_socket, link);
	start_handshake(link);
}

static void finish_dial(struct link *link)
{
	apr_os_sock_t descriptor;
	int fault = 0;
	socklen_t size = sizeof(fault);

	if (apr_os_sock_get(&descriptor, link->socket) != APR_SUCCESS ||
	    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &fault, &size) ||
	    fault) {
		link->refused = fault == ECONNREFUSED;
		link_disconnect(link, "connect_failed");
		return;
	}
	start_handshake(link);
}

static apr_status_t connect_socket(struct link *link)
{
	char host[ADDRESS_HOST_SIZE];
	apr_sockaddr_t *address;
	apr_status_t status;
	uint16_t port;

	if (!address_parse(link->address, host, &port))
		return APR_EINVAL;
	status = apr_sockaddr_info_get(&address, host, APR_UNSPEC, port, 0,
				       link->pool);
	if (status == APR_SUCCESS)
		status = apr_socket_create(&link->socket, address->family,
					   SOCK_STREAM, APR_PROTO_TCP,
					   link->pool);
	if (status != APR_SUCCESS)
		return status;
	apr_socket_opt_set(link->socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(link->socket, 0);
	apr_socket_opt_set(link->socket, APR_TCP_NODELAY, 1);
	return apr_socket_connect(link->socket, address);
}

static void start_dial(struct link *link)
{
	struct link_hub *hub = link->hub;
	apr_status_t status;

	link->state = LINK_CONNECTING;
	link->opened_ms = loop_now_ms(hub->loop);
	if (apr_pool_create(&link->pool, NULL) != APR_SUCCESS)
		g_error("out of memory for a connection");
	status = connect_socket(link);
	if (status != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(status)) {
		link->refused = APR_STATUS_IS_ECONNREFUSED(status);
		link_disconnect(link, "connect_failed");
		return;
	}
	link->watch =
		loop_watch_create(hub->loop, link->socket, on_socket, link);
	loop_watch_set(link->watch, false, true);
	loop_timer_start(
		link->redial,
		MAX(hub->options.heartbeat_ms / CONNECT_TIMEOUT_DIVISOR,
		    CONNECT_TIMEOUT_MIN_MS),
		0);
}

struct link *link_dial(struct link_hub *hub, const char *address)
{
	struct link *link = link_create(hub, true, g_strdup(address));

	loop_timer_start(link->redial, 0, 0);
	return link;
}

/* ---- Access ---- */

bool link_is_up(const struct link *link)
{
	return link->state == LINK_UP && !link->close_reason;
}

bool link_refused(const struct link *link)
{
	return link->refused;
}

const struct link_identity *link_peer(const struct link *link)
{
	return link->has_peer ? &link->peer : NULL;
}

const char *link_address(const struct link *link)
{
	return link->address;
}

void link_set_data(struct link *link, void *data)
{
	link->data = data;
}

void *link_data(const struct link *link)
{
	return link->data;
}
