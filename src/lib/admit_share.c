/*
 * admit_share: see admit_share.h.
 *
 * Shares are weighted max-min fair (Bertsekas and Gallager, "Data
 * Networks", 6.5.2): a class that asks for less than its fair part gets
 * all that it asks for, and the others divide the rest, so that a burst
 * of one class costs it alone. A class's weight follows its burn
 * through a first-order filter: it nears 1 + burn exponentially and
 * never passes it, so that under a steady load the shares settle
 * without oscillation and return as they came. Weights are bounded,
 * which keeps any class from starving.
 *
 * Burn rates: Beyer et al., "The Site Reliability Workbook", chapter 5.
 */
#include "lib/admit_share.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

static const double WINDOW_MS = 1500; /* answers age by 1/e in this time */
static const double DEMAND_MS = 1000; /* demand likewise */
static const double DRAIN_MS = 500; /* what waits is to be gone by then */
static const double SETTLE_MS = 1000; /* time constant of the weights */
static const double PRESSURE_MAX = 2; /* a weight is at most e^2 */
static const double LEAST_DEMAND = 0.01; /* slots, of an idle class */
static const double CALM_ANSWERS = 20; /* fewer answers weigh less */

void admit_share_set(struct admit_share *share, uint32_t percentile_milli)
{
	share->allowed_miss =
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
	double answers = MAX(share->answers, CALM_ANSWERS);

	return share->misses / answers / share->allowed_miss;
}

static void age(struct admit_share *share, double elapsed_ms)
{
	double keep = exp(-elapsed_ms / WINDOW_MS);
	double keep_demand = exp(-elapsed_ms / DEMAND_MS);
	double goal = MIN(log2(1 + admit_share_burn(share)), PRESSURE_MAX);
	double rate = share->asked_ms / elapsed_ms;

	share->demand = share->demand * keep_demand + rate * (1 - keep_demand);
	share->wanted =
		MAX(share->demand + share->waiting_ms / DRAIN_MS, LEAST_DEMAND);
	share->asked_ms = 0;
	share->pressure +=
		(goal - share->pressure) * (1 - exp(-elapsed_ms / SETTLE_MS));
	share->answers *= keep;
	share->misses *= keep;
}

/* Weighted max-min: each round, classes that ask for no more than their
 * fair part get it and leave; the last ones divide what is left. */
static void fill(struct admit_share *shares[], uint32_t n, double slots)
{
	bool *filled = g_new0(bool, n);
	double left = slots;
	bool again = true;

	while (again) {
		double weights = 0;
		double round_left = left;

		again = false;
		for (uint32_t i = 0; i < n; i++)
			weights += filled[i] ? 0 : exp(shares[i]->pressure);
		for (uint32_t i = 0; i < n; i++) {
			double fair = round_left * exp(shares[i]->pressure);

			if (filled[i])
				continue;
			shares[i]->share = fair / weights;
			if (shares[i]->wanted > shares[i]->share)
				continue;
			shares[i]->share = shares[i]->wanted;
			left -= shares[i]->wanted;
			filled[i] = true;
			again = true;
		}
	}
	g_free(filled);
}

void admit_share_step(struct admit_share *shares[], uint32_t n, double slots,
		      int64_t elapsed_ms)
{
	double total = 0;

	if (elapsed_ms <= 0 || n == 0)
		return;
	for (uint32_t i = 0; i < n; i++)
		age(shares[i], (double)elapsed_ms);
	fill(shares, n, slots);
	for (uint32_t i = 0; i < n; i++)
		total += shares[i]->share;
	for (uint32_t i = 0; i < n; i++)
		shares[i]->share = total > 0 ? shares[i]->share / total
					     : 1.0 / n;
}

double admit_share_overload(struct admit_share *const shares[], uint32_t n,
			    double slots)
{
	double wanted = 0;

	for (uint32_t i = 0; i < n; i++)
		wanted += shares[i]->wanted;
	return slots > 0 ? CLAMP((wanted / slots - 1) * 2, 0.0, 1.0) : 1;
}

double admit_share_slots(struct admit_share *const shares[], uint32_t n,
			 const struct admit_share *share, double slots)
{
	double others = 0;

	for (uint32_t i = 0; i < n; i++)
		others += shares[i] != share ? shares[i]->wanted : 0;
	return MAX(share->share * slots, slots - others);
}
