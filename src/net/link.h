/*
 * link: connections between processes. Each frame is a 4-byte length and
 * an Envelope. Both sides send Hello first and heartbeats afterwards. A
 * connection that receives nothing for three heartbeat intervals is closed.
 * The side that dialled it redials after a jittered delay. Loop thread only.
 *
 * Writes made in one iteration of the loop are sent together. A connection
 * is closed and counted if it sends an oversized or invalid frame, or if its
 * queued output exceeds a limit because the peer does not read. Accepted
 * connections are bounded together, in number and in the bytes of unfinished
 * frames and unread output (intake.h): those without a Hello and those that
 * wait for the rest of a frame make way first.
 */
#ifndef NET_LINK_H
#define NET_LINK_H

#include "net/loop.h"
#include "proto/wire.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct link; /* one connection, dialled or accepted */
struct link_hub; /* the listener and connections of a process */

struct link_identity {
	Cfw__Role role;
	const char *name;
	uint64_t incarnation;
	uint32_t member_id; /* coordinators only */
	const char *data_centre;
};

struct link_options {
	struct link_identity self;
	int64_t heartbeat_ms; /* 0: 500 */
	uint32_t frame_max_bytes; /* 0: 16 MiB */
	uint32_t connections_max; /* 0: 4096 accepted */
	uint64_t held_max_bytes; /* of those together; 0: 64 MiB */
	uint64_t output_max_bytes; /* 0: 64 MiB queued */
};

struct link_handlers {
	void (*up)(void *arg, struct link *link); /* Hello arrived */
	/* Called for every message except Hello and heartbeats. */
	void (*message)(void *arg, struct link *link,
			const Cfw__Envelope *envelope);
	/* Called once after up, also from within link_close and link_drop,
	 * but not from link_hub_destroy. */
	void (*down)(void *arg, struct link *link);
};

struct link_hub *link_hub_create(struct loop *loop,
				 const struct link_options *options,
				 const struct link_handlers *handlers,
				 void *arg);
void link_hub_destroy(struct link_hub *hub);
/* Listens on the address; stores the bound port in *port (for "ip:0"). */
bool link_hub_listen(struct link_hub *hub, const char *address, uint16_t *port,
		     GError **error);
void link_hub_stop_listening(struct link_hub *hub);

/* Dials now and redials after each lost connection until link_drop. The
 * link object is kept across redials; link_is_up returns its state. */
struct link *link_dial(struct link_hub *hub, const char *address);
/* Closes the link for good. A dialled link is not redialled. */
void link_drop(struct link *link);
/* Closes the connection. A dialled link is redialled. */
void link_close(struct link *link);
bool link_is_up(const struct link *link);
/* True if the last dial was refused because no process listens there. */
bool link_refused(const struct link *link);
/* Queues a message. Returns false if the link is down. */
bool link_send(struct link *link, const Cfw__Envelope *envelope);
/* Identity from the peer's last Hello, or NULL before the first one. */
const struct link_identity *link_peer(const struct link *link);
/* The dialled address, or the peer's address of an accepted connection. */
const char *link_address(const struct link *link);
void link_set_data(struct link *link, void *data);
void *link_data(const struct link *link);
/* Writes all queued output before exit, waiting at most wait_ms. Returns
 * false if some output was not sent. */
bool link_flush(struct link_hub *hub, int64_t wait_ms);

#endif
