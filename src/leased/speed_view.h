/*
 * speed_view: the speeds of all backend servers as a dispatcher sees them,
 * combined from the agents' estimates. Speeds are factors on the run time at a
 * server of average speed: 1.5 means that runs take half as long again. The
 * module does no I/O and reads no clock. Not thread-safe.
 *
 *	speed_view_update(view, id, &report, now_ms); // with each state
 *	speed_view_refresh(view, now_ms);             // with each tick
 *	run_ms = average_ms * speed_view_factor(view, id);
 */
#ifndef LEASED_SPEED_VIEW_H
#define LEASED_SPEED_VIEW_H

#include "chervilferry.h"

struct speed_view;

struct speed_report {
	char kind[CF_NAME_SIZE]; /* machine type; empty: not reported */
	double log, sd; /* as in struct speed; sd 0: not known */
};

struct speed_view *speed_view_create(void);
void speed_view_destroy(struct speed_view *view);
/* Adds a server, or replaces what is known about it. */
void speed_view_update(struct speed_view *view, uint64_t server,
		       const struct speed_report *report, int64_t now_ms);
void speed_view_remove(struct speed_view *view, uint64_t server);
/* Computes the factors from the reports and their age. */
void speed_view_refresh(struct speed_view *view, int64_t now_ms);
/* 1 for a server that isn't known, or whose speed isn't. */
double speed_view_factor(const struct speed_view *view, uint64_t server);
/* Whether enough runs were measured there lately. */
bool speed_view_is_known(const struct speed_view *view, uint64_t server);
/* Number of servers whose speed was measured. */
uint32_t speed_view_known(const struct speed_view *view);

#endif
