/*
 * predict: run times of each class, learned from tasks that ended.
 *
 * Quantiles come from bins with a bounded relative error (log_bins.h)
 * whose weights age: a task that ended n tasks ago counts
 * exp(-n / WINDOW_TASKS). Where callers declare a run time, the ratio
 * of real to declared is learned, for the class and for each power of
 * two of the declared value, as small tasks are often misjudged
 * otherwise than large ones. Three sources are mixed: the declared
 * value itself (weight of a few tasks, so it soon stops mattering),
 * the class's tasks, and those of the size. Of the class's tasks the
 * ratios count, or, where these scatter more than the run times do,
 * the run times: then what is declared tells nothing.
 *
 * Memory: at most 18 kB a class.
 */
#include "chervilferry.h"

#include <math.h>

#include "lib/log_bins.h"

#define SIZE_CLASSES 24 /* powers of two of a declared value in ms */
static const double WINDOW_TASKS = 200;
static const double RESCALE_AT = 1e9; /* weight of one task */
static const double DECLARED_TASKS = 2; /* weight of the declared value */
static const double CLASS_TASKS = 6; /* weight of the class's ratios */
static const double MIN_RUN_MS = 1;
static const double MIN_RATIO = 1e-3;
static const uint32_t DEFAULT_RUN_MS = 200; /* nothing declared or learned */

struct bins {
	double weights[LOG_BINS];
	double total;
	double step; /* weight of the next task */
};

struct class_times {
	struct bins run_ms;
	struct bins ratio;
	struct bins
		*size_ratio[SIZE_CLASSES]; /* NULL until a task has the size */
};

struct cf_predict {
	GHashTable *classes; /* name to struct class_times */
};

/* ---- Ageing bins ---------------------------------------------------- */

static void rescale(struct bins *bins)
{
	for (size_t i = 0; i < LOG_BINS; i++)
		bins->weights[i] /= bins->step;
	bins->total /= bins->step;
	bins->step = 1;
}

/* Later tasks weigh more, which ages the earlier ones at no cost. */
static void bins_add(struct bins *bins, size_t bin)
{
	if (bins->step <= 0)
		bins->step = 1;
	bins->weights[bin] += bins->step;
	bins->total += bins->step;
	bins->step *= 1 + 1 / WINDOW_TASKS;
	if (bins->step > RESCALE_AT)
		rescale(bins);
}

/* Weight as a number of recent tasks. */
static double bins_tasks(const struct bins *bins)
{
	return bins->step > 0 ? bins->total / bins->step : 0;
}

/* Adds bins to a mixture, as if they held this many tasks. */
static void mix(double mixed[LOG_BINS], const struct bins *bins, double tasks)
{
	if (bins->total <= 0)
		return;
	for (size_t i = 0; i < LOG_BINS; i++)
		mixed[i] += bins->weights[i] * tasks / bins->total;
}

/* The same for bins of run times, as ratios to a declared value. */
static void mix_ratios(double mixed[LOG_BINS], const struct bins *run_ms,
		       uint32_t declared_ms, double tasks)
{
	int shift = log_bins_between(MIN_RUN_MS / declared_ms, MIN_RATIO);

	for (int i = 0; i < LOG_BINS && run_ms->total > 0; i++) {
		int bin = CLAMP(i + shift, 0, LOG_BINS - 1);

		mixed[bin] += run_ms->weights[i] * tasks / run_ms->total;
	}
}

/* ---- Classes -------------------------------------------------------- */

static size_t size_class(uint32_t declared_ms)
{
	size_t size = g_bit_storage(declared_ms);

	return MIN(size, (size_t)SIZE_CLASSES) - 1;
}

static void class_free(gpointer data)
{
	struct class_times *times = data;

	for (size_t i = 0; i < SIZE_CLASSES; i++)
		g_free(times->size_ratio[i]);
	g_free(times);
}

static struct class_times *class_get(struct cf_predict *predict,
				     const char *class_name)
{
	struct class_times *times =
		g_hash_table_lookup(predict->classes, class_name);

	if (times == NULL) {
		times = g_new0(struct class_times, 1);
		g_hash_table_insert(predict->classes, g_strdup(class_name),
				    times);
	}
	return times;
}

struct cf_predict *cf_predict_create(void)
{
	struct cf_predict *predict = g_new0(struct cf_predict, 1);

	predict->classes = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, class_free);
	return predict;
}

void cf_predict_destroy(struct cf_predict *predict)
{
	if (predict == NULL)
		return;
	g_hash_table_destroy(predict->classes);
	g_free(predict);
}

void cf_predict_learn(struct cf_predict *predict, const char *class_name,
		      uint32_t declared_ms, uint32_t run_ms)
{
	struct class_times *times = class_get(predict, class_name);
	struct bins **size_bins;
	size_t bin;

	bins_add(&times->run_ms, log_bin_of(MAX(run_ms, 1U), MIN_RUN_MS));
	if (declared_ms == 0)
		return;
	bin = log_bin_of((double)MAX(run_ms, 1U) / declared_ms, MIN_RATIO);
	bins_add(&times->ratio, bin);
	size_bins = &times->size_ratio[size_class(declared_ms)];
	if (*size_bins == NULL)
		*size_bins = g_new0(struct bins, 1);
	bins_add(*size_bins, bin);
}

/* ---- Predictions ---------------------------------------------------- */

static double predict_ratio(const struct class_times *times,
			    uint32_t declared_ms, double quantile)
{
	const struct bins *size_bins =
		times->size_ratio[size_class(declared_ms)];
	double mixed[LOG_BINS] = { 0 };
	double class_tasks = MIN(CLASS_TASKS, bins_tasks(&times->ratio));
	double declared_tasks =
		MAX(0.0, DECLARED_TASKS - bins_tasks(&times->ratio) / 4);

	mixed[log_bin_of(1, MIN_RATIO)] += declared_tasks;
	if (size_bins != NULL) {
		double tasks = bins_tasks(size_bins);

		/* the size's own tasks take the place of the class's */
		class_tasks = MAX(0.0, class_tasks - tasks / 2);
		mix(mixed, size_bins, tasks);
	}
	if (log_bins_variance(times->ratio.weights) >
	    log_bins_variance(times->run_ms.weights))
		mix_ratios(mixed, &times->run_ms, declared_ms, class_tasks);
	else
		mix(mixed, &times->ratio, class_tasks);
	return log_bin_value(log_bins_quantile(mixed, quantile), MIN_RATIO);
}

uint32_t cf_predict_ms(const struct cf_predict *predict, const char *class_name,
		       uint32_t declared_ms, uint32_t percentile_milli)
{
	const struct class_times *times =
		g_hash_table_lookup(predict->classes, class_name);
	double quantile = MIN(percentile_milli, 100000U) / 100000.0;
	double ms;

	if (times == NULL)
		return declared_ms > 0 ? declared_ms : DEFAULT_RUN_MS;
	if (declared_ms > 0)
		ms = declared_ms * predict_ratio(times, declared_ms, quantile);
	else
		ms = log_bin_value(
			log_bins_quantile(times->run_ms.weights, quantile),
			MIN_RUN_MS);
	return (uint32_t)CLAMP(round(ms), 1.0, 3600000.0);
}
