/*
 * speed_observer: finds out how soon a dispatcher of many_world knows which
 * servers are slow. It combines the states sent to that dispatcher as the
 * dispatcher does.
 */
#ifndef SUPPORT_SPEED_OBSERVER_H
#define SUPPORT_SPEED_OBSERVER_H

#include "support/many_world.h"

struct speed_observer;

/* Factor on run times at this server. */
double many_server_factor(const struct many_load *load, uint32_t server,
			  int64_t now_ms);

struct speed_observer *speed_observer_create(const struct many_load *load);
void speed_observer_destroy(struct speed_observer *o);
void speed_observer_update(struct speed_observer *o, uint32_t server,
			   const struct server_state *state, int64_t now_ms);
/* Sets jobs_until_known and ms_until_known when the servers are known. */
void speed_observer_check(struct speed_observer *o, struct world_result *result,
			  uint32_t jobs, int64_t now_ms);

#endif
