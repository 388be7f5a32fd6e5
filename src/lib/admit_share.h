/*
 * admit_share: computes each class's share of capacity from its missed
 * targets. An object is used by one thread at a time; no function reads a
 * clock.
 */
#ifndef LIB_ADMIT_SHARE_H
#define LIB_ADMIT_SHARE_H

#include <stdint.h>

struct admit_share {
	double error_budget; /* 1 - percentile, as a fraction */
	double answers; /* decaying count */
	double misses; /* late, failed or refused ones among them */
	double demand_slots; /* requested work in slots, decaying average */
	double requested_ms; /* work requested since the last step */
	double waiting_ms; /* queued work, set by the caller */
	double needed_slots; /* demand, plus draining the queue in time */
	double log_weight; /* log of the class's weight; 0: no misses */
	double share; /* fraction of capacity; all classes sum to 1 */
};

/* Initialises a class, or changes its percentile (1000..99999). */
void admit_share_set(struct admit_share *share, uint32_t percentile_milli);

/* Counts an answer or a refusal. */
void admit_share_count(struct admit_share *share, int missed);

/* Burn rate of the class's error budget; 1.0 uses it up exactly. */
double admit_share_burn(const struct admit_share *share);

/* Recomputes the shares of all classes after elapsed_ms. */
void admit_share_step(struct admit_share *shares[], uint32_t n, double slots,
		      int64_t elapsed_ms);

/* Overload of all classes together: 0 if they need no more than the slots, 1
 * if they need half as much again or more. */
double admit_share_overload(struct admit_share *const shares[], uint32_t n,
			    double slots);

/* Slots that a class can count on: its share, or what the needs of the other
 * classes leave free if that is more. */
double admit_share_slots(struct admit_share *const shares[], uint32_t n,
			 const struct admit_share *share, double slots);

#endif
