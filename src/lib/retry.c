/*
 * retry: a budget that keeps retries to a part of the first tries, and
 * exponential backoff with full jitter.
 */
#include "chervilferry.h"

/* ---- Constants ---- */

#define RETRY_MILLI 1000 /* one retry, in the budget's unit */
#define SHIFT_MAX 31

/* ---- Types ---- */

struct cf_retry_budget {
	uint32_t ratio_milli;
	uint64_t limit_milli;
	uint64_t left_milli;
};

/* ---- Functions ---- */

struct cf_retry_budget *cf_retry_budget_create(uint32_t ratio_milli,
					       uint32_t burst)
{
	struct cf_retry_budget *budget = g_new0(struct cf_retry_budget, 1);

	budget->ratio_milli = ratio_milli;
	budget->limit_milli = (uint64_t)burst * RETRY_MILLI;
	budget->left_milli = budget->limit_milli;
	return budget;
}

void cf_retry_budget_destroy(struct cf_retry_budget *budget)
{
	g_free(budget);
}

void cf_retry_budget_earn(struct cf_retry_budget *budget)
{
	budget->left_milli = MIN(budget->left_milli + budget->ratio_milli,
				 budget->limit_milli);
}

bool cf_retry_budget_spend(struct cf_retry_budget *budget)
{
	if (budget->left_milli < RETRY_MILLI)
		return false;
	budget->left_milli -= RETRY_MILLI;
	return true;
}

uint32_t cf_retry_delay_ms(uint32_t attempt, uint32_t base_ms, uint32_t max_ms,
			   uint64_t random)
{
	uint64_t ceiling_ms = (uint64_t)base_ms << MIN(attempt, SHIFT_MAX);

	ceiling_ms = MIN(ceiling_ms, max_ms);
	return (uint32_t)(random % (ceiling_ms + 1));
}
