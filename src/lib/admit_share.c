/*
 * admit_share: see admit_share.h.
 *
 * Shares are weighted max-min fair (Bertsekas and Gallager, "Data Networks",
 * 6.5.2): a class that needs less than its fair share gets all that it
 * needs, and the other classes divide the rest, so that a burst of one class
 * slows down only that class. A class's weight follows its burn rate through
 * a first-order filter: it approaches 1 + burn exponentially and never
 * overshoots. Under a steady load the shares therefore settle without
 * oscillation and return to their earlier values afterwards. Weights are
 * bounded, which keeps any class from starving.
 *
 * Burn rates: Beyer et al., "The Site Reliability Workbook", chapter 5.
 */
#include "lib/admit_share.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

/* Time in which the weight of an answer falls to 1/e. */
static const double ANSWER_DECAY_MS = 1500;
/* Time in which the weight of requested work falls to 1/e. */
static const double DEMAND_DECAY_MS = 1000;
/* Time in which the queue should drain. */
static const double QUEUE_DRAIN_MS = 500;
/* Time constant of the weights' filter. */
static const double WEIGHT_FILTER_MS = 1000;
static const double LOG_WEIGHT_MAX = 2; /* A weight is at most e^2. */
static const double DEMAND_MIN_SLOTS = 0.01; /* Demand of an idle class. */
/* With fewer answers, misses count less. */
static const double ANSWERS_MIN = 20;

void admit_share_set(struct admit_share *share, uint32_t percentile_milli)
{
	share->error_budget =
		1 - CLAMP(percentile_milli, 1000U, 99999U) / 100000.0;
}

void admit_share_count(struct admit_share *share, int missed)
{
	share->answers++;
	if (missed)
		share->misses++;
}

double admit_share_burn(const struct admit_share *share)
{
	double answers = MAX(share->answers, ANSWERS_MIN);

	return share->misses / answers / share->error_budget;
}

static void update_demand_and_weight(struct admit_share *share,
				     double elapsed_ms)
{
	double keep = exp(-elapsed_ms / ANSWER_DECAY_MS);
	double keep_demand = exp(-elapsed_ms / DEMAND_DECAY_MS);
	double target_log_weight =
		MIN(log2(1 + admit_share_burn(share)), LOG_WEIGHT_MAX);
	double rate = share->requested_ms / elapsed_ms;

	share->demand_slots =
		share->demand_slots * keep_demand + rate * (1 - keep_demand);
	share->needed_slots =
		MAX(share->demand_slots + share->waiting_ms / QUEUE_DRAIN_MS,
		    DEMAND_MIN_SLOTS);
	share->requested_ms = 0;
	share->log_weight += (target_log_weight - share->log_weight) *
			     (1 - exp(-elapsed_ms / WEIGHT_FILTER_MS));
	share->answers *= keep;
	share->misses *= keep;
}

/* Weighted max-min fairness: in each round, classes that need no more than
 * their fair share get what they need and drop out; the classes left at the
 * end divide the remaining slots. */
static void distribute_slots(struct admit_share *shares[], uint32_t n,
			     double slots)
{
	bool *satisfied = g_new0(bool, n);
	double remaining_slots = slots;
	bool changed = true;

	while (changed) {
		double weights = 0;
		double round_slots = remaining_slots;

		changed = false;
		for (uint32_t i = 0; i < n; i++)
			weights += satisfied[i] ? 0
						: exp(shares[i]->log_weight);
		for (uint32_t i = 0; i < n; i++) {
			double fair = round_slots * exp(shares[i]->log_weight);

			if (satisfied[i])
				continue;
			shares[i]->share = fair / weights;
			if (shares[i]->needed_slots > shares[i]->share)
				continue;
			shares[i]->share = shares[i]->needed_slots;
			remaining_slots -= shares[i]->needed_slots;
			satisfied[i] = true;
			changed = true;
		}
	}
	g_free(satisfied);
}

void admit_share_step(struct admit_share *shares[], uint32_t n, double slots,
		      int64_t elapsed_ms)
{
	double total = 0;

	if (elapsed_ms <= 0 || n == 0)
		return;
	for (uint32_t i = 0; i < n; i++)
		update_demand_and_weight(shares[i], (double)elapsed_ms);
	distribute_slots(shares, n, slots);
	for (uint32_t i = 0; i < n; i++)
		total += shares[i]->share;
	for (uint32_t i = 0; i < n; i++)
		shares[i]->share = total > 0 ? shares[i]->share / total
					     : 1.0 / n;
}

double admit_share_overload(struct admit_share *const shares[], uint32_t n,
			    double slots)
{
	double needed_slots = 0;

	for (uint32_t i = 0; i < n; i++)
		needed_slots += shares[i]->needed_slots;
	return slots > 0 ? CLAMP((needed_slots / slots - 1) * 2, 0.0, 1.0) : 1;
}

double admit_share_slots(struct admit_share *const shares[], uint32_t n,
			 const struct admit_share *share, double slots)
{
	double others = 0;

	for (uint32_t i = 0; i < n; i++)
		others += shares[i] != share ? shares[i]->needed_slots : 0;
	return MAX(share->share * slots, slots - others);
}
