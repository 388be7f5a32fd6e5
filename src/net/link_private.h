/*
 * link_private: declarations shared by link.c (connections) and
 * link_hub.c (listener, heartbeats, counters). Loop thread only.
 */
#ifndef NET_LINK_PRIVATE_H
#define NET_LINK_PRIVATE_H

#include "base/counters.h"
#include "net/frame.h"
#include "net/intake.h"
#include "net/link.h"

#define LINK_PROTOCOL 1
#define HEARTBEAT_TIMEOUT_INTERVALS 3
#define READ_BYTES 65536

enum link_state {
	LINK_DOWN, /* a dialled link waits for the redial timer */
	LINK_CONNECTING,
	LINK_HANDSHAKE, /* connected, no Hello received yet */
	LINK_UP,
};

struct link {
	struct intake_entry entry; /* accepted only */
	struct link_hub *hub;
	enum link_state state;
	bool dialled;
	bool refused; /* the last dial was refused */
	bool dropped; /* freed at the end of the iteration */
	/* If set, the link is closed with this reason at the end of the
	 * iteration. */
	const char *close_reason;
	char *address;
	apr_pool_t *pool; /* of the socket */
	apr_socket_t *socket;
	struct loop_watch *watch;
	struct frame_decoder *decoder;
	GByteArray *output;
	size_t output_sent; /* bytes at the front already sent */
	bool in_flush_list;
	bool output_blocked; /* waiting for the socket to become writable */
	int64_t opened_ms, received_ms, sent_ms;
	uint32_t failures; /* consecutive dials without a Hello */
	struct loop_timer *redial; /* dialled only */
	struct link_identity peer; /* strings are owned */
	bool has_peer;
	void *data;
};

enum { LINK_IN, LINK_OUT };

struct link_hub {
	struct loop *loop;
	struct link_options options;
	struct link_handlers handlers;
	void *arg;
	GRand *random; /* redial jitter */
	GPtrArray *links; /* all links that are not dropped */
	GPtrArray *dropped; /* freed at the end of the iteration */
	GPtrArray *to_flush; /* links with new output */
	bool iteration_end_scheduled;
	struct intake *intake; /* of accepted links */
	struct loop_timer *tick;
	int64_t tick_ms, ticked_ms; /* interval and time of the last tick */
	apr_pool_t *listen_pool;
	apr_socket_t *listener;
	struct loop_watch *listen_watch;
	Cfw__Envelope hello, heartbeat;
	Cfw__Hello hello_body;
	Cfw__Heartbeat heartbeat_body;
	struct counter **messages[2]; /* indexed by Envelope field number */
	size_t n_kinds;
	struct counter *bytes[2];
	uint8_t buffer[READ_BYTES];
};

/* ---- link.c ---- */

struct link *link_create(struct link_hub *hub, bool dialled, char *address);
/* Closes the link with this reason at the end of the iteration. */
void link_close_later(struct link *link, const char *reason);
void link_free(struct link *link);
/* Takes ownership of a connected socket, sends Hello and starts reading. */
void link_open(struct link *link, apr_pool_t *pool, apr_socket_t *socket);
/* Closes the connection and counts the reason. A dialled link redials. */
void link_disconnect(struct link *link, const char *reason);
/* Writes as much queued output as the socket accepts. */
void link_write(struct link *link);
bool link_queue(struct link *link, const Cfw__Envelope *envelope);
bool link_has_output(const struct link *link);

/* ---- link_hub.c ---- */

/* Schedules flushing and freeing of links at the end of the iteration. */
void link_hub_schedule(struct link_hub *hub);

#endif
