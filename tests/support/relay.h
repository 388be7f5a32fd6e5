/*
 * relay: a TCP relay between two processes of a test, on its own thread.
 * It can delay data and reset connections. It can also blackhole them:
 * it discards data but keeps the connections open, as a firewall or NAT does
 * that has lost its connection state.
 */
#ifndef SUPPORT_RELAY_H
#define SUPPORT_RELAY_H

#include <stdbool.h>
#include <stdint.h>

struct relay;

enum relay_direction {
	RELAY_NONE = 0,
	RELAY_TO_TARGET = 1, /* discard data from callers */
	RELAY_FROM_TARGET = 2, /* discard data from the target */
	RELAY_BOTH = 3,
};

struct relay *relay_create(const char *listen, const char *target);
/* Fails the test if the relay was disturbed but has not carried data in both
 * directions in its lifetime, and prints what it has carried. */
void relay_destroy(struct relay *relay);
/* Destroys the relays that a failed test left behind, without the check. */
void relay_destroy_all(void);
/* The same as relay_destroy(); the end of the relay counts as a disturbance. */
void relay_crash(struct relay *relay);
/* Blackholes the open connections permanently. */
void relay_blackhole_open(struct relay *relay, enum relay_direction direction);
/* Blackholes open and new connections until called with RELAY_NONE. */
void relay_blackhole_all(struct relay *relay, enum relay_direction direction);
/* Blackholes open and new connections of the process with this name, which
 * is read from its Hello. Must always be called from the same thread. */
void relay_blackhole_caller(struct relay *relay, const char *name,
			    enum relay_direction direction);
/* Resets the open connections. */
void relay_reset_open(struct relay *relay);
/* Delays each chunk of forwarded data, and with it all data behind it.
 * 0: no delay. */
void relay_delay(struct relay *relay, int32_t delay_ms);
/* Number of connections accepted so far. */
uint64_t relay_accepted(const struct relay *relay);

#endif
