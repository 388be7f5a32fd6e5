/*
 * burn: measures how fast each class uses up its error budget, over 5
 * minutes and an hour (Beyer et al., "The Site Reliability Workbook",
 * chapter 5). An answer later than the target, a failed job and a refusal
 * each use some of it. Each answer is compared with the target that is in
 * force at that time.
 *
 * Memory: about 90 kB for each class, whatever the load.
 */
#include "chervilferry.h"

#include <string.h>

#include "lib/burn_ring.h"

static const int BUCKETS_5MIN = 10;
static const uint32_t MEDIAN_MILLI = 50000;

/* ---- Classes -------------------------------------------------------- */

struct cf_burn *cf_burn_create(void)
{
	struct cf_burn *burn = g_new0(struct cf_burn, 1);

	burn->histories = g_ptr_array_new_with_free_func(g_free);
	return burn;
}

void cf_burn_destroy(struct cf_burn *burn)
{
	if (burn == NULL)
		return;
	g_ptr_array_free(burn->histories, TRUE);
	g_free(burn);
}

static struct burn_history *find(const struct cf_burn *burn, const char *name)
{
	for (guint i = 0; i < burn->histories->len; i++) {
		struct burn_history *history = burn->histories->pdata[i];

		if (strcmp(history->class.name, name) == 0)
			return history;
	}
	return NULL;
}

void cf_burn_set_classes(struct cf_burn *burn,
			 const struct cf_admit_class *classes, size_t n_classes)
{
	GPtrArray *kept = g_ptr_array_new_with_free_func(g_free);

	for (size_t i = 0; i < n_classes; i++) {
		struct burn_history *history = find(burn, classes[i].name);

		history = history != NULL ? g_memdup2(history, sizeof(*history))
					  : g_new0(struct burn_history, 1);
		history->class = classes[i];
		g_ptr_array_add(kept, history);
	}
	g_ptr_array_free(burn->histories, TRUE);
	burn->histories = kept;
}

/* ---- Counting ------------------------------------------------------- */

static struct burn_bucket *bucket_now(struct burn_history *history,
				      int64_t now_ms)
{
	int64_t number = MAX(now_ms, 0) / BURN_BUCKET_MS;
	struct burn_bucket *bucket = &history->buckets[number % BURN_BUCKETS];

	if (bucket->number != number) {
		memset(bucket, 0, sizeof(*bucket));
		bucket->number = number;
	}
	return bucket;
}

void cf_burn_record(struct cf_burn *burn, const char *class_name,
		    uint32_t response_ms, bool ok, int64_t now_ms)
{
	struct burn_history *history = find(burn, class_name);
	struct burn_bucket *bucket;

	if (history == NULL)
		return;
	bucket = bucket_now(history, now_ms);
	if (!ok) {
		bucket->failed++;
		return;
	}
	if (response_ms <= history->class.target_ms)
		bucket->within++;
	else
		bucket->late++;
	bucket->bins[log_bin_of(response_ms, 1)]++;
}

/* Returns the index of a reason, adding it if it is new. Reasons beyond the
 * last free index count as "other". */
static uint32_t reason_index(struct burn_history *history, const char *reason)
{
	for (uint32_t i = 0; i < history->n_reasons; i++) {
		if (strncmp(history->reasons[i], reason,
			    BURN_REASON_SIZE - 1) == 0)
			return i;
	}
	if (history->n_reasons == BURN_REASONS)
		return BURN_REASONS - 1;
	if (history->n_reasons == BURN_REASONS - 1)
		reason = "other";
	g_strlcpy(history->reasons[history->n_reasons], reason,
		  BURN_REASON_SIZE);
	return history->n_reasons++;
}

void cf_burn_refuse(struct cf_burn *burn, const char *class_name,
		    const char *reason, int64_t now_ms)
{
	struct burn_history *history = find(burn, class_name);

	if (history != NULL)
		bucket_now(history, now_ms)
			->refused[reason_index(history, reason)]++;
}

/* ---- Sums ----------------------------------------------------------- */

void burn_sum(const struct burn_history *history, int64_t now_ms, int first,
	      int last, struct burn_sum *sum)
{
	int64_t now = MAX(now_ms, 0) / BURN_BUCKET_MS;

	memset(sum, 0, sizeof(*sum));
	for (int buckets_ago = first; buckets_ago <= last && buckets_ago <= now;
	     buckets_ago++) {
		const struct burn_bucket *bucket =
			&history->buckets[(now - buckets_ago) % BURN_BUCKETS];

		if (bucket->number != now - buckets_ago)
			continue;
		sum->within += bucket->within;
		sum->late += bucket->late;
		sum->failed += bucket->failed;
		for (uint32_t i = 0; i < BURN_REASONS; i++) {
			sum->refused += bucket->refused[i];
			sum->by_reason[i] += bucket->refused[i];
		}
		for (size_t i = 0; i < LOG_BINS; i++)
			sum->bins[i] += bucket->bins[i];
	}
}

uint64_t burn_sum_total(const struct burn_sum *sum)
{
	return sum->within + sum->late + sum->failed + sum->refused;
}

double burn_sum_rate(const struct burn_history *history,
		     const struct burn_sum *sum)
{
	uint64_t total = burn_sum_total(sum);
	double missed = (double)(total - sum->within);
	uint32_t percentile_milli =
		MIN(history->class.percentile_milli, 99999U);

	if (total == 0)
		return 0;
	return missed / (double)total / (1 - percentile_milli / 100000.0);
}

uint32_t burn_sum_percentile(const struct burn_sum *sum,
			     uint32_t percentile_milli)
{
	if (sum->within + sum->late == 0)
		return 0;
	return (uint32_t)(log_bin_value(
				  log_bins_quantile(sum->bins,
						    percentile_milli / 1e5),
				  1) +
			  0.5);
}

void burn_class(const struct burn_history *history, int64_t now_ms,
		struct cf_burn_class *class)
{
	struct burn_sum hour;
	struct burn_sum recent;

	burn_sum(history, now_ms, 0, BURN_BUCKETS - 1, &hour);
	burn_sum(history, now_ms, 0, BUCKETS_5MIN, &recent);
	memset(class, 0, sizeof(*class));
	g_strlcpy(class->name, history->class.name, sizeof(class->name));
	class->target_ms = history->class.target_ms;
	class->percentile_milli = history->class.percentile_milli;
	class->total = burn_sum_total(&hour);
	class->within = hour.within;
	class->refused_not_run = hour.refused;
	class->failed = hour.failed;
	class->p50_ms = burn_sum_percentile(&hour, MEDIAN_MILLI);
	class->attained_ms =
		burn_sum_percentile(&hour, history->class.percentile_milli);
	class->burn_5min = burn_sum_rate(history, &recent);
	class->burn_1h = burn_sum_rate(history, &hour);
	class->budget_left = 1 - class->burn_1h;
}

size_t cf_burn_report(const struct cf_burn *burn, int64_t now_ms,
		      struct cf_burn_class *classes, size_t max)
{
	size_t n = MIN((size_t)burn->histories->len, max);

	for (size_t i = 0; i < n; i++)
		burn_class(burn->histories->pdata[i], now_ms, &classes[i]);
	return n;
}
