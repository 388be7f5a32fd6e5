/*
 * retry: a budget that limits retries to a fraction of the first attempts,
 * and exponential backoff with full jitter.
 */
#include "chervilferry.h"

/* ---- Constants ---- */

#define RETRY_COST_MILLI 1000 /* Cost of one retry, in units of the budget. */
#define BACKOFF_SHIFT_MAX 31

/* ---- Types ---- */

struct cf_retry_budget {
	uint32_t ratio_milli;
	uint64_t limit_milli;
	uint64_t balance_milli;
};

/* ---- Functions ---- */

struct cf_retry_budget *cf_retry_budget_create(uint32_t ratio_milli,
					       uint32_t burst)
{
	struct cf_retry_budget *budget = g_new0(struct cf_retry_budget, 1);

	budget->ratio_milli = ratio_milli;
	budget->limit_milli = (uint64_t)burst * RETRY_COST_MILLI;
	budget->balance_milli = budget->limit_milli;
	return budget;
}

void cf_retry_budget_destroy(struct cf_retry_budget *budget)
{
	g_free(budget);
}

void cf_retry_budget_earn(struct cf_retry_budget *budget)
{
	budget->balance_milli = MIN(budget->balance_milli + budget->ratio_milli,
				    budget->limit_milli);
}

bool cf_retry_budget_spend(struct cf_retry_budget *budget)
{
	if (budget->balance_milli < RETRY_COST_MILLI)
		return false;
	budget->balance_milli -= RETRY_COST_MILLI;
	return true;
}

uint32_t cf_retry_delay_ms(uint32_t attempt, uint32_t base_ms, uint32_t max_ms,
			   uint64_t random)
{
	uint64_t ceiling_ms = (uint64_t)base_ms
			      << MIN(attempt, BACKOFF_SHIFT_MAX);

	ceiling_ms = MIN(ceiling_ms, max_ms);
	return (uint32_t)(random % (ceiling_ms + 1));
}
