/*
 * capacity_share: decides how much of a backend server's free capacity is
 * reported to each dispatcher. Plentiful capacity is reported to all of
 * them. Scarce capacity is reported to a few dispatchers at a time, fewer
 * as less is free, so that they don't all send a task for the same
 * capacity. Dispatchers with demand take turns in a round robin; one that
 * doesn't use its turn is skipped for a while. Without demand the turns don't
 * rotate, so no update has to be sent. This reduces conflicts under
 * high load, when many dispatchers compete for the last free capacity.
 *
 * The module does no I/O and reads no clock. It is not thread-safe.
 *
 *	struct capacity_share *share = capacity_share_create(seed);
 *	capacity_share_join(share, dispatcher, has_demand);
 *	capacity_share_rotate(share, free_milli, capacity_milli, now_ms);
 *	n = capacity_share_reported(share, dispatcher, free_milli,
 *capacity_milli); capacity_share_mark_used(share, dispatcher); // it ordered a
 *start
 */
#ifndef LEASED_CAPACITY_SHARE_H
#define LEASED_CAPACITY_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct capacity_share;

/* The seed determines the order of the dispatchers. Each server uses its own
 * seed, so that the servers don't all prefer the same few dispatchers. */
struct capacity_share *capacity_share_create(uint64_t seed);
void capacity_share_destroy(struct capacity_share *share); /* NULL is allowed */
/* A dispatcher is identified by its incarnation. Joining twice has no effect,
 * and neither do calls for an unknown dispatcher. For has_demand see
 * capacity_share_set_demand(). */
void capacity_share_join(struct capacity_share *share, uint64_t dispatcher,
			 bool has_demand);
void capacity_share_leave(struct capacity_share *share, uint64_t dispatcher);
/* has_demand: the dispatcher has work that finds too little free capacity. */
void capacity_share_set_demand(struct capacity_share *share,
			       uint64_t dispatcher, bool has_demand);
/* Records that the dispatcher used its turn to start a task. */
void capacity_share_mark_used(struct capacity_share *share,
			      uint64_t dispatcher);
/* Moves the turn to the next dispatcher once the present turn is over. */
void capacity_share_rotate(struct capacity_share *share, int64_t free_milli,
			   int64_t capacity_milli, int64_t now_ms);
/* True while capacity is scarce and in demand, so that turns rotate. */
bool capacity_share_is_rotating(const struct capacity_share *share,
				int64_t free_milli, int64_t capacity_milli);
/* Returns the free processors, in thousandths, to report to this dispatcher.
 * Plentiful capacity is rounded down to a step, so that small changes need no
 * update. */
int64_t capacity_share_reported(const struct capacity_share *share,
				uint64_t dispatcher, int64_t free_milli,
				int64_t capacity_milli);

#endif
