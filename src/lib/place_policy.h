/*
 * place_policy: functions that the placement policies share. They may be
 * called on any thread that owns the agent.
 */
#ifndef LIB_PLACE_POLICY_H
#define LIB_PLACE_POLICY_H

#include "chervilferry.h"

/* Tells whether the task fits on the agent when nothing else runs there. */
bool place_fits_empty(const struct cf_place_agent *agent,
		      const struct cf_place_task *task);

/* Tells whether the task fits beside the resources in use there. */
bool place_fits_now(const struct cf_place_agent *agent,
		    const struct cf_place_task *task);

/* Counts a task as sent to the agent and stores the agent in the task. */
void place_assign(struct cf_place_agent *agents, uint32_t agent,
		  struct cf_place_task *task);

/* Constructors of the policies. */
struct cf_placer *place_finish_create(uint64_t seed);
struct cf_placer *place_random_create(uint64_t seed);
struct cf_placer *place_round_robin_create(void);
struct cf_placer *place_least_create(uint64_t seed);

#endif
