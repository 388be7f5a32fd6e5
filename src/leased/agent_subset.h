/*
 * agent_subset: selects the agents to which a dispatcher keeps connections.
 * If each dispatcher connected to all agents, the number of messages would
 * grow with dispatchers times agents; with a subset of bounded size it grows
 * with the number of hosts.
 *
 * Agents of the dispatcher's own data centre come first, then the others.
 * Both groups are ordered by rendezvous hashing with the dispatcher's name,
 * so that dispatchers spread over the agents and a lost agent changes one
 * place in each order. The subset grows during a shortage of free capacity
 * and shrinks afterwards. Unreachable agents don't count towards its size,
 * and agents in a data centre out of service come last, so that others
 * replace them.
 *
 * The module does no I/O and reads no clock. It is not thread-safe.
 *
 *	struct agent_subset *subset = agent_subset_create(&options);
 *	agent_subset_report_shortage(subset, now_ms); // no capacity for a task
 *	agent_subset_tick(subset, now_ms);
 *	agent_subset_select(subset, candidates, n);
 */
#ifndef LEASED_AGENT_SUBSET_H
#define LEASED_AGENT_SUBSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct agent_subset;

struct agent_subset_options {
	const char *name; /* of the dispatcher */
	const char *data_centre; /* of the dispatcher */
	uint32_t agents_min; /* size while there is free capacity */
	uint32_t agents_max; /* largest size; raised to agents_min if lower */
};

struct subset_candidate {
	const char *address, *data_centre;
	bool in_service; /* whether its data centre is in service */
	bool unreachable; /* connecting has failed for a while */
	bool selected; /* set by agent_subset_select() */
};

struct agent_subset *agent_subset_create(
	const struct agent_subset_options *options); /* strings are copied */
void agent_subset_destroy(struct agent_subset *subset); /* NULL is allowed */
/* Records that a task or a job found too little free capacity. */
void agent_subset_report_shortage(struct agent_subset *subset, int64_t now_ms);
/* Adjusts the target size; true if it has changed. */
bool agent_subset_tick(struct agent_subset *subset, int64_t now_ms);
uint32_t agent_subset_size(const struct agent_subset *subset); /* target */
/* Marks the agents to connect to and sorts the array by preference. */
void agent_subset_select(const struct agent_subset *subset,
			 struct subset_candidate **candidates, size_t n);

#endif
