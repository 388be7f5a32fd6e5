/*
 * link_hub: see link.h. The listener, the heartbeats and timeouts of
 * all connections, and the work at the end of each loop iteration.
 */
#include "net/link_private.h"

#include "base/address.h"
#include "base/clock.h"
#include "base/logger.h"

#define DEFAULT_HEARTBEAT_MS 500
#define DEFAULT_FRAME_MAX_BYTES (16U << 20)
#define DEFAULT_CONNECTIONS_MAX 4096
#define DEFAULT_OUTPUT_MAX_BYTES (64ULL << 20)
#define DEFAULT_HELD_MAX_BYTES (64ULL << 20)
#define DOOR "links"
#define LISTEN_BACKLOG 1024
#define ACCEPTS_PER_ITERATION 64
#define US_PER_MS 1000
/* A frame of largest size is one part in so many of what may be held. */
#define FRAME_PART_OF_HELD 2

/* ---- End of an iteration ---- */

static void on_iteration_end(void *arg)
{
	struct link_hub *hub = arg;

	hub->iteration_end_scheduled = false;
	for (guint i = 0; i < hub->to_flush->len; i++) {
		struct link *link = g_ptr_array_index(hub->to_flush, i);

		link->in_flush_list = false;
		if (link->close_reason)
			link_disconnect(link, link->close_reason);
		else if (!link->output_blocked)
			link_write(link);
	}
	g_ptr_array_set_size(hub->to_flush, 0);
	for (guint i = 0; i < hub->dropped->len; i++)
		link_free(g_ptr_array_index(hub->dropped, i));
	g_ptr_array_set_size(hub->dropped, 0);
}

void link_hub_schedule(struct link_hub *hub)
{
	if (hub->iteration_end_scheduled)
		return;
	hub->iteration_end_scheduled = true;
	loop_defer(hub->loop, on_iteration_end, hub);
}

/* ---- Heartbeats and timeouts ---- */

static void check_link(struct link *link, int64_t now_ms)
{
	int64_t heartbeat_ms = link->hub->options.heartbeat_ms;
	int64_t limit_ms = HEARTBEAT_TIMEOUT_INTERVALS * heartbeat_ms;

	switch (link->state) {
	case LINK_DOWN:
	case LINK_CONNECTING:
		return;
	case LINK_HANDSHAKE:
		if (now_ms - link->opened_ms >= limit_ms)
			link_disconnect(link, "no_hello");
		return;
	case LINK_UP:
		if (now_ms - link->received_ms >= limit_ms)
			link_disconnect(link, "silent");
		else if (now_ms - link->sent_ms >=
			 heartbeat_ms - link->hub->tick_ms / 2)
			link_queue(link, &link->hub->heartbeat);
		return;
	}
}

/* Time during which this process did not run must not count towards the
 * heartbeat timeout of its peers. */
static void exclude_stall(struct link_hub *hub, int64_t late_ms)
{
	for (guint i = 0; i < hub->links->len; i++) {
		struct link *link = g_ptr_array_index(hub->links, i);

		link->received_ms += late_ms;
		link->opened_ms += late_ms;
	}
}

/* Runs twice per heartbeat interval. Iterates over a copy because handlers
 * may close any link. */
static void on_tick(void *arg, int64_t now_ms)
{
	struct link_hub *hub = arg;
	int64_t late_ms = now_ms - hub->ticked_ms - hub->tick_ms;
	GPtrArray *links = g_ptr_array_copy(hub->links, NULL, NULL);

	hub->ticked_ms = now_ms;
	if (late_ms > hub->tick_ms)
		exclude_stall(hub, late_ms);
	for (guint i = 0; i < links->len; i++)
		check_link(g_ptr_array_index(links, i), now_ms);
	g_ptr_array_unref(links);
	if (hub->listen_watch)
		loop_watch_set(hub->listen_watch, true, false);
}

/* ---- Create and destroy ---- */

static void create_counters(struct link_hub *hub)
{
	static const char *const directions[] = { "in", "out" };
	const ProtobufCMessageDescriptor *kinds = &cfw__envelope__descriptor;

	hub->n_kinds = kinds->fields[kinds->n_fields - 1].id + 1;
	for (int d = LINK_IN; d <= LINK_OUT; d++) {
		char labels[96];

		hub->messages[d] = g_new0(struct counter *, hub->n_kinds);
		for (size_t k = 1; k < hub->n_kinds; k++) {
			const ProtobufCFieldDescriptor *field =
				protobuf_c_message_descriptor_get_field(
					kinds, (unsigned int)k);

			g_snprintf(labels, sizeof(labels),
				   "dir=\"%s\",kind=\"%s\"", directions[d],
				   field ? field->name : "unknown");
			hub->messages[d][k] = counter_get(
				"link_messages_total", labels,
				"Messages between processes by kind");
		}
		g_snprintf(labels, sizeof(labels), "dir=\"%s\"", directions[d]);
		hub->bytes[d] = counter_get("link_bytes_total", labels,
					    "Bytes between processes");
	}
}

static void create_messages(struct link_hub *hub)
{
	const struct link_identity *self = &hub->options.self;

	cfw__hello__init(&hub->hello_body);
	hub->hello_body.role = self->role;
	hub->hello_body.name = (char *)self->name;
	hub->hello_body.incarnation = self->incarnation;
	hub->hello_body.member_id = self->member_id;
	hub->hello_body.data_centre = (char *)self->data_centre;
	hub->hello_body.protocol = LINK_PROTOCOL;
	cfw__envelope__init(&hub->hello);
	hub->hello.body_case = CFW__ENVELOPE__BODY_HELLO;
	hub->hello.hello = &hub->hello_body;
	cfw__heartbeat__init(&hub->heartbeat_body);
	cfw__envelope__init(&hub->heartbeat);
	hub->heartbeat.body_case = CFW__ENVELOPE__BODY_HEARTBEAT;
	hub->heartbeat.heartbeat = &hub->heartbeat_body;
}

static void fill_defaults(struct link_options *options)
{
	if (!options->heartbeat_ms)
		options->heartbeat_ms = DEFAULT_HEARTBEAT_MS;
	if (!options->frame_max_bytes)
		options->frame_max_bytes = DEFAULT_FRAME_MAX_BYTES;
	if (!options->connections_max)
		options->connections_max = DEFAULT_CONNECTIONS_MAX;
	if (!options->held_max_bytes)
		options->held_max_bytes = DEFAULT_HELD_MAX_BYTES;
	options->frame_max_bytes =
		(uint32_t)MIN(options->frame_max_bytes,
			      options->held_max_bytes / FRAME_PART_OF_HELD);
	if (!options->output_max_bytes)
		options->output_max_bytes = DEFAULT_OUTPUT_MAX_BYTES;
	options->self.name =
		g_strdup(options->self.name ? options->self.name : "");
	options->self.data_centre = g_strdup(
		options->self.data_centre ? options->self.data_centre : "");
}

struct link_hub *link_hub_create(struct loop *loop,
				 const struct link_options *options,
				 const struct link_handlers *handlers,
				 void *arg)
{
	struct link_hub *hub = g_new0(struct link_hub, 1);

	hub->loop = loop;
	hub->options = *options;
	fill_defaults(&hub->options);
	hub->handlers = *handlers;
	hub->arg = arg;
	hub->random = g_rand_new_with_seed((guint32)clock_random());
	hub->links = g_ptr_array_new();
	hub->dropped = g_ptr_array_new();
	hub->to_flush = g_ptr_array_new();
	hub->intake = intake_create(
		DOOR, &(struct intake_limits){
			      .connections_max = hub->options.connections_max,
			      .bytes_max = hub->options.held_max_bytes });
	create_counters(hub);
	create_messages(hub);
	hub->tick_ms = MAX(1, hub->options.heartbeat_ms / 2);
	hub->ticked_ms = clock_now_ms();
	hub->tick = loop_timer_create(loop, on_tick, hub);
	loop_timer_start(hub->tick, hub->tick_ms, hub->tick_ms);
	return hub;
}

static void ignore_down(void *arg, struct link *link)
{
	(void)arg;
	(void)link;
}

void link_hub_destroy(struct link_hub *hub)
{
	if (!hub)
		return;
	hub->handlers.down = ignore_down;
	link_hub_stop_listening(hub);
	while (hub->links->len)
		link_drop(g_ptr_array_index(hub->links, 0));
	loop_cancel(hub->loop, hub);
	g_ptr_array_set_size(hub->to_flush, 0);
	on_iteration_end(hub);
	intake_destroy(hub->intake);
	loop_timer_destroy(hub->tick);
	g_ptr_array_free(hub->links, TRUE);
	g_ptr_array_free(hub->dropped, TRUE);
	g_ptr_array_free(hub->to_flush, TRUE);
	g_rand_free(hub->random);
	g_free(hub->messages[LINK_IN]);
	g_free(hub->messages[LINK_OUT]);
	g_free((char *)hub->options.self.name);
	g_free((char *)hub->options.self.data_centre);
	g_free(hub);
}

/* ---- Listening ---- */

static char *peer_address(apr_socket_t *socket)
{
	apr_sockaddr_t *address;
	char *ip;

	if (apr_socket_addr_get(&address, APR_REMOTE, socket) != APR_SUCCESS ||
	    apr_sockaddr_ip_get(&ip, address) != APR_SUCCESS)
		return g_strdup("unknown");
	return g_strdup_printf(strchr(ip, ':') ? "[%s]:%u" : "%s:%u", ip,
			       (unsigned int)address->port);
}

/* Closed at the end of the iteration, as a handler may be using it. */
static uint64_t give_up(struct intake_entry *entry)
{
	struct link *link = (struct link *)entry;

	if (link->decoder)
		frame_decoder_clear(link->decoder);
	link_close_later(link, "given_up");
	return 0;
}

static void add_accepted_link(struct link_hub *hub, apr_pool_t *pool,
			      apr_socket_t *socket)
{
	static const struct intake_ops ops = { give_up };
	struct link *link = link_create(hub, false, peer_address(socket));
	bool has_room;

	apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(socket, 0);
	intake_lock(hub->intake);
	has_room = intake_open(hub->intake, &link->entry, &ops,
			       loop_now_ms(hub->loop));
	intake_unlock(hub->intake);
	link_open(link, pool, socket);
	if (!has_room)
		link_close_later(link, "limit");
}

static void on_listener(void *arg, bool readable, bool writable)
{
	struct link_hub *hub = arg;

	(void)readable;
	(void)writable;
	for (int i = 0; i < ACCEPTS_PER_ITERATION; i++) {
		apr_socket_t *socket;
		apr_pool_t *pool;
		apr_status_t status;

		if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
			g_error("out of memory for a connection");
		status = apr_socket_accept(&socket, hub->listener, pool);
		if (status == APR_SUCCESS) {
			add_accepted_link(hub, pool, socket);
			continue;
		}
		apr_pool_destroy(pool);
		/* Out of descriptors: accepting resumes at the next tick. */
		if (status == EMFILE || status == ENFILE)
			loop_watch_set(hub->listen_watch, false, false);
		return;
	}
}

static apr_status_t open_listener(struct link_hub *hub, const char *address,
				  uint16_t *port)
{
	apr_sockaddr_t *requested, *bound;
	char host[ADDRESS_HOST_SIZE];
	apr_status_t status;

	if (!address_parse(address, host, port))
		return APR_EINVAL;
	status = apr_sockaddr_info_get(&requested, host, APR_UNSPEC, *port, 0,
				       hub->listen_pool);
	if (status == APR_SUCCESS)
		status = apr_socket_create(&hub->listener, requested->family,
					   SOCK_STREAM, APR_PROTO_TCP,
					   hub->listen_pool);
	if (status != APR_SUCCESS)
		return status;
	apr_socket_opt_set(hub->listener, APR_SO_REUSEADDR, 1);
	apr_socket_opt_set(hub->listener, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(hub->listener, 0);
	status = apr_socket_bind(hub->listener, requested);
	if (status == APR_SUCCESS)
		status = apr_socket_listen(hub->listener, LISTEN_BACKLOG);
	if (status == APR_SUCCESS)
		status = apr_socket_addr_get(&bound, APR_LOCAL, hub->listener);
	if (status == APR_SUCCESS)
		*port = bound->port;
	return status;
}

bool link_hub_listen(struct link_hub *hub, const char *address, uint16_t *port,
		     GError **error)
{
	apr_status_t status = apr_pool_create(&hub->listen_pool, NULL);
	uint16_t in_use = 0;
	char text[128];

	if (status == APR_SUCCESS)
		status = open_listener(hub, address, &in_use);
	if (status != APR_SUCCESS) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "listen on %s: %s", address,
			    apr_strerror(status, text, sizeof(text)));
		g_clear_pointer(&hub->listen_pool, apr_pool_destroy);
		return false;
	}
	if (port)
		*port = in_use;
	hub->listen_watch =
		loop_watch_create(hub->loop, hub->listener, on_listener, hub);
	loop_watch_set(hub->listen_watch, true, false);
	return true;
}

void link_hub_stop_listening(struct link_hub *hub)
{
	loop_watch_destroy(hub->listen_watch);
	hub->listen_watch = NULL;
	g_clear_pointer(&hub->listen_pool, apr_pool_destroy);
	hub->listener = NULL;
}

/* ---- Flushing ---- */

static void wait_writable(struct link *link, int64_t left_ms)
{
	apr_pollfd_t descriptor = {
		.desc_type = APR_POLL_SOCKET,
		.reqevents = APR_POLLOUT,
		.desc.s = link->socket,
	};
	apr_int32_t n;

	apr_poll(&descriptor, 1, &n, left_ms * US_PER_MS);
}

bool link_flush(struct link_hub *hub, int64_t wait_ms)
{
	int64_t end_ms = clock_now_ms() + wait_ms;
	GPtrArray *links = g_ptr_array_copy(hub->links, NULL, NULL);
	bool all_out = true;

	for (guint i = 0; i < links->len; i++) {
		struct link *link = g_ptr_array_index(links, i);
		int64_t left_ms = wait_ms;

		if (link->dropped || !link->socket ||
		    link->state < LINK_HANDSHAKE)
			continue;
		link_write(link);
		while (link->socket && link_has_output(link) && left_ms > 0) {
			wait_writable(link, left_ms);
			link_write(link);
			left_ms = end_ms - clock_now_ms();
		}
		all_out = all_out && link->socket && !link_has_output(link);
	}
	g_ptr_array_unref(links);
	return all_out;
}
