/*
 * burn_ring: the counts of one class over the last hour in a ring of
 * buckets. burn.c fills them; burn_report.c and burn_html.c print them. They
 * are used by one thread at a time; no function reads a clock.
 */
#ifndef LIB_BURN_RING_H
#define LIB_BURN_RING_H

#include "chervilferry.h"
#include "lib/log_bins.h"

#define BURN_BUCKET_MS 30000
#define BURN_BUCKETS 121 /* an hour and the bucket in progress */
#define BURN_REASONS 12 /* per class; further ones count as the last */
#define BURN_REASON_SIZE 32

struct burn_bucket {
	int64_t number; /* now_ms / BURN_BUCKET_MS of the counts */
	uint32_t within, late, failed;
	uint32_t refused[BURN_REASONS];
	uint32_t bins[LOG_BINS]; /* of response times, from 1 ms */
};

struct burn_history {
	struct cf_admit_class class;
	char reasons[BURN_REASONS][BURN_REASON_SIZE];
	uint32_t n_reasons;
	struct burn_bucket buckets[BURN_BUCKETS];
};

struct burn_sum {
	uint64_t within, late, failed, refused;
	uint64_t by_reason[BURN_REASONS];
	double bins[LOG_BINS];
};

struct cf_burn {
	GPtrArray *histories; /* struct burn_history, in the order set */
};

/* Adds up a range of buckets. first and last count back from the bucket in
 * progress, which is 0. */
void burn_sum(const struct burn_history *history, int64_t now_ms, int first,
	      int last, struct burn_sum *sum);

/* Number of answers and refusals. */
uint64_t burn_sum_total(const struct burn_sum *sum);

/* Burn rate of the error budget; 1.0 uses it up exactly. */
double burn_sum_rate(const struct burn_history *history,
		     const struct burn_sum *sum);

/* Response time at a percentile in ms; 0 without answers. */
uint32_t burn_sum_percentile(const struct burn_sum *sum,
			     uint32_t percentile_milli);

/* Fills the class's line of the report. */
void burn_class(const struct burn_history *history, int64_t now_ms,
		struct cf_burn_class *class);

#endif
