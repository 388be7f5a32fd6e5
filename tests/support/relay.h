/*
 * relay: a TCP relay between two processes of a test, on a thread of
 * its own, that can delay, break connections and go silent: it then swallows
 * what comes and keeps the connections open, as equipment does that has lost
 * track of them.
 */
#ifndef SUPPORT_RELAY_H
#define SUPPORT_RELAY_H

#include <stdbool.h>
#include <stdint.h>

struct relay;

enum relay_direction {
	RELAY_NONE = 0,
	RELAY_TO_TARGET = 1, /* swallow what callers send */
	RELAY_FROM_TARGET = 2, /* swallow what the target sends */
	RELAY_BOTH = 3,
};

struct relay *relay_create(const char *listen, const char *target);
void relay_destroy(struct relay *relay);
void relay_blackhole_open(
	struct relay *relay,
	enum relay_direction direction); /* those there are, for good */
void relay_blackhole_all(
	struct relay *relay,
	enum relay_direction direction); /* these and new ones, until NONE */
/* Connections of the process of this name, told by its Hello, those
 * there are and new ones; to be called by one thread. */
void relay_blackhole_caller(struct relay *relay, const char *name,
			    enum relay_direction direction);
/* Breaks the connections that there are, as by a reset. */
void relay_reset_open(struct relay *relay);
/* Each piece passed on waits so long, and what is behind it; 0: none. */
void relay_delay(struct relay *relay, int32_t delay_ms);
uint64_t relay_accepted(const struct relay *relay); /* connections so far */

#endif
