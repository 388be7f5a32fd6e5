/*
 * lease_overruns: see lease_overruns.h.
 */
#include "leased/lease_overruns.h"

#include "base/counters.h"
#include "leased/leases.h"

/* The upper limits double up to RUN_OUTLIVE_MAX_MS; the last bucket has none.
 */
#define BUCKETS 6
#define FIRST_BUCKET_MS (RUN_OUTLIVE_MAX_MS >> (BUCKETS - 2))
/* Not more than one line is logged in this time. */
#define LOG_INTERVAL_MS 1000

struct lease_overruns {
	struct counter *buckets[BUCKETS];
	struct counter *longest;
	uint32_t n_unlogged;
	int64_t next_log_ms;
};

struct lease_overruns *lease_overruns_create(void)
{
	struct lease_overruns *o = g_new0(struct lease_overruns, 1);

	for (int b = 0; b < BUCKETS; b++) {
		g_autofree char *label =
			b + 1 < BUCKETS ? g_strdup_printf("up_to_ms=\"%d\"",
							  FIRST_BUCKET_MS << b)
					: g_strdup("up_to_ms=\"more\"");

		o->buckets[b] = counter_get(
			"run_end_after_lease_ms", label,
			"runs that outlived their dispatcher's lease, by time");
	}
	o->longest = gauge_get("run_end_after_lease_max_ms", NULL,
			       "longest time that a run outlived its "
			       "dispatcher's lease");
	return o;
}

void lease_overruns_destroy(struct lease_overruns *o)
{
	g_free(o);
}

bool lease_overruns_add(struct lease_overruns *o, int64_t outlived_ms,
			int64_t now_ms, uint32_t *n_unlogged)
{
	int b = 0;

	if (outlived_ms <= 0)
		return false;
	while (b + 1 < BUCKETS && outlived_ms > FIRST_BUCKET_MS << b)
		b++;
	counter_add(o->buckets[b], 1);
	gauge_set(o->longest, MAX(counter_value(o->longest), outlived_ms));
	if (outlived_ms <= RUN_OUTLIVE_MAX_MS)
		return false;
	if (now_ms < o->next_log_ms) {
		o->n_unlogged++;
		return false;
	}
	*n_unlogged = o->n_unlogged;
	o->n_unlogged = 0;
	o->next_log_ms = now_ms + LOG_INTERVAL_MS;
	return true;
}
