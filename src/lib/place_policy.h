/*
 * place_policy: what the placement policies share. Functions of one
 * agent and one task; any thread that owns the agent.
 */
#ifndef LIB_PLACE_POLICY_H
#define LIB_PLACE_POLICY_H

#include "chervilferry.h"

/* Could the task run there if nothing else did? */
bool place_fits_empty(const struct cf_place_agent *agent,
		      const struct cf_place_task *task);

/* Do the task's dimensions fit beside what is used there? */
bool place_fits_now(const struct cf_place_agent *agent,
		    const struct cf_place_task *task);

/* Counts a task that is sent there, and names the agent in the task. */
void place_assign(struct cf_place_agent *agents, uint32_t agent,
		  struct cf_place_task *task);

/* The policies. */
struct cf_placer *place_finish_create(uint64_t seed);
struct cf_placer *place_random_create(uint64_t seed);
struct cf_placer *place_round_robin_create(void);
struct cf_placer *place_least_create(uint64_t seed);

#endif
