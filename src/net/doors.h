/*
 * doors: divides the memory and descriptors of a process's machine among its
 * doors (listening addresses), so that all of them full at once stay within
 * both. The sum is in docs/design/clients.md.
 */
#ifndef NET_DOORS_H
#define NET_DOORS_H

#include <glib.h>
#include <stdint.h>

enum door {
	DOOR_MAIN, /* callers, backend servers or operators */
	DOOR_LINKS, /* other processes */
	DOOR_ADMIN,
	DOOR_COUNT,
};

struct door_limits {
	uint32_t connections_max;
	uint64_t held_max_bytes; /* for connections, see intake.h */
	uint64_t parsed_max_bytes; /* of JSON values, by all threads */
};

/* What a process may use. */
struct machine_limits {
	uint64_t memory_bytes;
	uint32_t descriptors;
};

/* The process that most others keep a connection to needs more links. */
enum door_division {
	DOORS_FOR_REQUESTS,
	DOORS_FOR_LINKS,
};

void doors_divide(const struct machine_limits *machine,
		  enum door_division division,
		  struct door_limits doors[DOOR_COUNT]);
/* The memory of this machine, at most 1 GiB, and the descriptors that the
 * kernel allows this process. Any thread. */
void doors_read_machine(struct machine_limits *machine);

#endif
