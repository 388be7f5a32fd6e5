/*
 * agent_subset: which agents a dispatcher keeps connections to. With all
 * of them, messages would grow with dispatchers times agents; with a
 * subset of bounded size they grow with hosts. Agents of the dispatcher's
 * own data centre come first, then the others in an order of its own
 * (rendezvous hashing), so that dispatchers spread over the agents and a
 * lost agent changes one place in each order. The subset grows while room
 * is short and shrinks when it no longer is. Agents that can't be reached
 * don't count and those in a data centre out of service come last, so that
 * others take their places. Pure; one thread at a time.
 *
 *	struct agent_subset *subset = agent_subset_create(&options);
 *	agent_subset_report_shortage(subset, now_ms); // a task found no room
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
	uint32_t agents_min; /* while there is room */
	uint32_t agents_max; /* while it is short; at least agents_min */
};

struct subset_candidate {
	const char *address, *data_centre;
	bool in_service; /* its data centre */
	bool unreachable; /* dialled for a while without success */
	bool selected; /* filled in */
};

struct agent_subset *agent_subset_create(
	const struct agent_subset_options *options); /* texts are copied */
void agent_subset_destroy(struct agent_subset *subset); /* NULL is allowed */
/* A task or a job found too little room. */
void agent_subset_report_shortage(struct agent_subset *subset, int64_t now_ms);
/* True: the wanted size has changed. */
bool agent_subset_tick(struct agent_subset *subset, int64_t now_ms);
uint32_t agent_subset_size(const struct agent_subset *subset); /* wanted */
/* Marks those to be connected to; reorders the array by preference. */
void agent_subset_select(const struct agent_subset *subset,
			 struct subset_candidate **candidates, size_t n);

#endif
