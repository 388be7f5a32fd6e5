/*
 * intake: bounds what all connections of a door (a listening address) hold
 * together: their number, and the bytes kept for them, such as unfinished
 * requests, frames and answers that wait to be read.
 *
 * A connection waits while its next step is its peer's. At a bound, the
 * connection that has waited longest is given up: a sound peer takes its next
 * step within moments, so a crowd that only holds connections or memory makes
 * way for it. What the process itself works on is never given up; if nothing
 * waits, what comes is refused.
 *
 * Functions whose comment doesn't say otherwise need the lock. All threads.
 */
#ifndef NET_INTAKE_H
#define NET_INTAKE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct intake;
struct intake_entry;

struct intake_ops {
	/* Frees what the entry's connection holds, and has the connection
	 * closed soon. Returns the bytes that stay until then. Called with the
	 * lock held; must not call the intake. */
	uint64_t (*give_up)(struct intake_entry *entry);
};

/* One connection; embedded in its owner. */
struct intake_entry {
	const struct intake_ops *ops;
	struct intake *intake;
	uint64_t bytes; /* kept for the connection */
	bool waits; /* for its peer */
	bool kept; /* the bytes are a whole request in progress */
	bool given_up;
	GList link; /* of the waiting ones */
};

struct intake_limits {
	uint32_t connections_max; /* at least 1 */
	uint64_t bytes_max;
};

/* The door's name labels counters and log lines. Any thread, no lock. */
struct intake *intake_create(const char *door,
			     const struct intake_limits *limits);
/* All entries must be closed. No lock. */
void intake_destroy(struct intake *intake);
void intake_lock(struct intake *intake);
void intake_unlock(struct intake *intake);

/* Counts what the door's owner has refused for want of room. No lock. */
void intake_count_refused(struct intake *intake, const char *what,
			  int64_t now_ms);
/* The largest whole request that finds room if no other is in progress. No
 * lock. */
uint64_t intake_request_max_bytes(const struct intake *intake);

/* Counts a new connection, which waits. Returns false if the door is full and
 * none waits; the connection is counted nevertheless, until it is closed. */
bool intake_open(struct intake *intake, struct intake_entry *entry,
		 const struct intake_ops *ops, int64_t now_ms);
void intake_close(struct intake_entry *entry);

/* From now on the next step is the peer's. */
void intake_wait(struct intake_entry *entry);
/* The next step is that of this process. */
void intake_stop_waiting(struct intake_entry *entry);

/* Sets the bytes kept for a connection. Returns false if there is no room or
 * the connection was given up; its bytes are then as they were, or freed. */
bool intake_resize(struct intake_entry *entry, uint64_t bytes, int64_t now_ms);

/* Takes the connection's bytes for a whole request in progress, until
 * intake_resize(). A request finds room if it is at most a quarter of what the
 * requests in progress leave, so that small ones still find room where large
 * ones don't. Returns false if it must be refused. */
bool intake_keep(struct intake_entry *entry, int64_t now_ms);

#endif
