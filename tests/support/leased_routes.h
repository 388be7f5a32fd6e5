/*
 * leased_routes: a leased system with one named route, for tests of single jobs
 * of one task.
 */
#ifndef SUPPORT_LEASED_ROUTES_H
#define SUPPORT_LEASED_ROUTES_H

#include "support/leased_system.h"

/* With relays. Each dispatcher has served a job of the route and knows all
 * servers. */
struct leased_system *leased_routes_begin(const char *route);
/* Stops everything, after starting the servers that have crashed. */
void leased_routes_finish(struct leased_system *s);
/* Fails if the metric doesn't get that value within SYSTEM_WAIT_MS. */
void leased_routes_wait_metric(struct leased_system *s, const char *process,
			       const char *metric, int64_t value);

#endif
