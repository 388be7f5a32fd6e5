/*
 * link: connections between processes. Frames of 4 bytes length and an
 * Envelope; Hello first each way; heartbeats both ways; a connection
 * with nothing inbound for three heartbeat intervals is closed, and a
 * dialled one is dialled again with a jittered delay. Loop thread only.
 *
 * Writes made in one turn of the loop go out together. A frame above
 * the limit, garbage, or a connection beyond the limit closes it and is
 * counted. Queued output above a bound closes a peer that does not read.
 */
#ifndef NET_LINK_H
#define NET_LINK_H

#include "net/loop.h"
#include "proto/wire.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct link; /* one connection, dialled or accepted */
struct link_hub; /* a process's listener and connections */

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
	uint64_t output_max_bytes; /* 0: 64 MiB queued */
};

struct link_handlers {
	void (*up)(void *arg, struct link *link); /* Hello arrived */
	void (*message)(
		void *arg, struct link *link,
		const Cfw__Envelope *envelope); /* no Hello, no heartbeat */
	/* Once after up, also from within link_close and link_drop; not
	 * from link_hub_destroy. */
	void (*down)(void *arg, struct link *link);
};

struct link_hub *link_hub_create(struct loop *loop,
				 const struct link_options *options,
				 const struct link_handlers *handlers,
				 void *arg);
void link_hub_destroy(struct link_hub *hub);
/* Listens; the port in use afterwards is in *port (address "ip:0"). */
bool link_hub_listen(struct link_hub *hub, const char *address, uint16_t *port,
		     GError **error);
void link_hub_stop_listening(struct link_hub *hub);

/* Dials now and again after each loss, until link_drop. The link object
 * stays the same over redials; link_is_up tells its state. */
struct link *link_dial(struct link_hub *hub, const char *address);
void link_drop(struct link *link); /* closes; dialled: also forgets */
void link_close(struct link *link); /* closes; dialled: dials again */
bool link_is_up(const struct link *link);
bool link_refused(
	const struct link *link); /* by the last dial: nobody listens */
bool link_send(struct link *link,
	       const Cfw__Envelope *envelope); /* false: down */
const struct link_identity *link_peer(const struct link *link); /* after up */
const char *link_address(const struct link *link); /* dialled, or the peer's */
void link_set_data(struct link *link, void *data);
void *link_data(const struct link *link);
bool link_flush(struct link_hub *hub,
		int64_t wait_ms); /* before exit: all out? */

#endif
