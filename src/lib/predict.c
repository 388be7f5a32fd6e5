/*
 * predict: predicts the run times of each class from tasks that ended.
 *
 * Quantiles come from bins with a bounded relative error (log_bins.h) whose
 * weights decay: a task that ended n tasks ago counts exp(-n /
 * WINDOW_TASKS). If callers declare a run time, the ratio of the real to the
 * declared time is learned, for the class and for each power of two of the
 * declared value, because the errors for short tasks often differ from those
 * for long ones. Three sources are mixed: the declared value itself, the
 * tasks of the class, and the tasks of the same size. The declared value has
 * the weight of a few tasks, so that it soon stops mattering. From the tasks
 * of the class the ratios are used, unless they scatter more than the run
 * times do. In that case the declared values carry no information and the
 * run times are used.
 *
 * Memory: at most 18 kB for each class.
 */
#include "chervilferry.h"

#include <math.h>

#include "lib/log_bins.h"

#define SIZE_CLASSES 24 /* powers of two of the declared time in ms */
static const double WINDOW_TASKS = 200;
/* Task weight at which the bins are rescaled. */
static const double RESCALE_AT = 1e9;
/* Weight of the declared value, in tasks. */
static const double DECLARED_TASKS = 2;
/* Weight of the class's ratios, in tasks. */
static const double CLASS_TASKS = 6;
static const double MIN_RUN_MS = 1;
static const double MIN_RATIO = 1e-3;
/* Prediction if nothing is declared or learned. */
static const uint32_t DEFAULT_RUN_MS = 200;

struct bins {
	double weights[LOG_BINS];
	double total;
	double step; /* weight of the next task */
};

struct class_times {
	struct bins run_ms;
	struct bins ratio;
	/* NULL until a task of the size ends. */
	struct bins *size_ratio[SIZE_CLASSES];
};

struct cf_predict {
	GHashTable *classes; /* name to struct class_times */
};

/* ---- Decaying bins -------------------------------------------------- */

static void rescale(struct bins *bins)
{
	for (size_t i = 0; i < LOG_BINS; i++)
		bins->weights[i] /= bins->step;
	bins->total /= bins->step;
	bins->step = 1;
}

/* Gives each task more weight than the one before. This ages the earlier
 * tasks without touching their bins. */
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

/* Total weight, as a number of recent tasks. */
static double bins_tasks(const struct bins *bins)
{
	return bins->step > 0 ? bins->total / bins->step : 0;
}

/* Adds the bins to a mixture with the weight of this many tasks. */
static void mix(double mixed[LOG_BINS], const struct bins *bins, double tasks)
{
	if (bins->total <= 0)
		return;
	for (size_t i = 0; i < LOG_BINS; i++)
		mixed[i] += bins->weights[i] * tasks / bins->total;
}

/* The same for bins of run times, which are converted to ratios to the
 * declared value. */
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

		/* Tasks of the same size replace those of the class. */
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
