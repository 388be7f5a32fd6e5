/*
 * admit_share: turns what each class misses into shares of capacity.
 * One thread at a time; no clock.
 */
#ifndef LIB_ADMIT_SHARE_H
#define LIB_ADMIT_SHARE_H

#include <stdint.h>

struct admit_share {
	double error_budget; /* 1 - percentile, as a part */
	double answers; /* in the window, ageing */
	double misses; /* of those: late, failed or refused */
	double demand_slots; /* slots' worth of work asked for, ageing */
	double requested_ms; /* work asked for since the last step */
	double waiting_ms; /* work admitted that waits, set by the caller */
	double needed_slots; /* slots: demand, and what waits drained in time */
	double log_weight; /* log of the class's weight, 0 when at ease */
	double share; /* of capacity, 0..1; all classes together 1 */
};

/* Starts a class, or gives it another percentile (1000..99999). */
void admit_share_set(struct admit_share *share, uint32_t percentile_milli);

/* An answer or refusal. */
void admit_share_count(struct admit_share *share, int missed);

/* How fast the class spends its error budget: 1.0 is just in time. */
double admit_share_burn(const struct admit_share *share);

/* Recomputes all shares of so many slots after elapsed_ms. */
void admit_share_step(struct admit_share *shares[], uint32_t n, double slots,
		      int64_t elapsed_ms);

/* How far the classes together ask for more than the slots: 0 not at
 * all, 1 for half as much again or more. */
double admit_share_overload(struct admit_share *const shares[], uint32_t n,
			    double slots);

/* Slots that a class can count on: its share, or what the demand of the
 * others leaves, if that is more. */
double admit_share_slots(struct admit_share *const shares[], uint32_t n,
			 const struct admit_share *share, double slots);

#endif
