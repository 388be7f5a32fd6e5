/*
 * doors: see doors.h.
 */
#include "net/doors.h"

#include <sys/resource.h>
#include <unistd.h>

/* ---- Constants ------------------------------------------------------ */

/* Of the memory, in sixteenths: for the buffers of connections, and for what is
 * held for them; the rest is for everything else. */
#define MEMORY_PARTS 16
#define CONNECTIONS_PARTS 7
#define HELD_PARTS 4
/* A connection's buffer here and what the kernel keeps unread for it. */
#define CONNECTION_BYTES (32768 + 32768)
/* Of the descriptors: some for files, then three quarters for the doors and a
 * quarter for connections that the process opens. */
#define FILE_DESCRIPTORS 200
#define FILE_DESCRIPTORS_DIVISOR 5 /* the most of a small limit */
#define DESCRIPTORS_PARTS 4
#define DESCRIPTORS_FOR_DOORS 3
#define PARTS 8 /* of connections, and of the bytes held */
#define MEMORY_DEFAULT_MAX_BYTES (1ULL << 30)

struct parts {
	uint32_t connections, held;
	uint32_t parsed_divisor; /* of the memory; 0: nothing is parsed */
};

static const struct parts divisions[][DOOR_COUNT] = {
	[DOORS_FOR_REQUESTS] = { { 5, 4, 16 }, { 2, 3, 0 }, { 1, 1, 32 } },
	[DOORS_FOR_LINKS] = { { 2, 4, 16 }, { 5, 3, 0 }, { 1, 1, 32 } },
};

/* ---- Functions ------------------------------------------------------ */

static uint32_t connections_of(const struct machine_limits *machine)
{
	uint32_t files = MIN(FILE_DESCRIPTORS,
			     machine->descriptors / FILE_DESCRIPTORS_DIVISOR);
	uint64_t by_descriptors = (uint64_t)(machine->descriptors - files) *
				  DESCRIPTORS_FOR_DOORS / DESCRIPTORS_PARTS;
	uint64_t by_memory = machine->memory_bytes / MEMORY_PARTS *
			     CONNECTIONS_PARTS / CONNECTION_BYTES;

	return (uint32_t)MIN(by_descriptors, by_memory);
}

void doors_divide(const struct machine_limits *machine,
		  enum door_division division,
		  struct door_limits doors[DOOR_COUNT])
{
	uint32_t connections = connections_of(machine);
	uint64_t held_bytes = machine->memory_bytes / MEMORY_PARTS * HELD_PARTS;

	for (int i = 0; i < DOOR_COUNT; i++) {
		const struct parts *parts = &divisions[division][i];

		doors[i].connections_max =
			MAX(1, connections * parts->connections / PARTS);
		doors[i].held_max_bytes = held_bytes * parts->held / PARTS;
		doors[i].parsed_max_bytes =
			parts->parsed_divisor
				? machine->memory_bytes / parts->parsed_divisor
				: 0;
	}
}

void doors_read_machine(struct machine_limits *machine)
{
	uint64_t page_bytes = (uint64_t)sysconf(_SC_PAGESIZE);
	uint64_t pages = (uint64_t)sysconf(_SC_PHYS_PAGES);
	struct rlimit descriptors = { 0 };

	getrlimit(RLIMIT_NOFILE, &descriptors);
	machine->memory_bytes =
		MIN(page_bytes * pages, MEMORY_DEFAULT_MAX_BYTES);
	machine->descriptors =
		(uint32_t)MIN(descriptors.rlim_cur, (rlim_t)G_MAXINT32);
}
