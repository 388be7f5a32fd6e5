/*
 * speed_view: see speed_view.h.
 */
#include "leased/speed_view.h"

#include "leased/speed_estimate.h"

#include <math.h>

/* ---- Constants ------------------------------------------------------ */

/* Largest logarithm of a factor. A server beyond it is at fault rather than of
 * a slower kind, which cf_health detects. */
#define LOG_MAX 1.0
/* A speed counts from this many standard deviations from 1 on, and then until
 * it is nearer than the second value, so that it doesn't flap. */
#define COUNTS_FROM_SD 2.0
#define COUNTS_UNTIL_SD 1.0
/* While the servers scatter no more than their uncertainty explains, some
 * differ by two standard deviations by chance. Then a speed counts from this
 * value on. */
#define COUNTS_FROM_SD_EVEN 3.5
/* The servers scatter more if the mean square of their deviations exceeds 1 by
 * this many of its standard deviations (chi-square test of homogeneity). */
#define UNEVEN_FROM_SD 3.0
/* Beyond this standard deviation, which a single run gives, a server's estimate
 * is too uncertain to count. */
#define SD_MAX 0.5
/* An estimate of fewer runs gives way to the mean of the server's kind. */
#define RUNS_MIN 5
/* At least this many known servers make a kind known. */
#define KIND_SERVERS_MIN 3
/* The servers of a kind agree if their speeds have at most this standard
 * deviation, apart from errors of measurement. */
#define KIND_SPREAD_MAX 0.15

/* ---- Types ---------------------------------------------------------- */

struct kind {
	uint32_t n;
	double sum, sum_of_squares, variances;
};

struct entry {
	uint64_t id;
	struct speed_report report;
	int64_t reported_ms;
	double sd; /* at the last refresh; 0: not known */
	bool counts; /* its own estimate differs from 1 */
	double factor;
};

struct speed_view {
	GHashTable *entries; /* id -> struct entry */
	GHashTable *kinds; /* name -> struct kind, of the last refresh */
	double mean; /* of the known logarithms */
	double mean_variance; /* how uncertain the mean is */
	bool uneven; /* the servers differ by more than chance */
	uint32_t known;
};

/* ---- Lifecycle ------------------------------------------------------ */

struct speed_view *speed_view_create(void)
{
	struct speed_view *view = g_new0(struct speed_view, 1);

	view->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	view->kinds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return view;
}

void speed_view_destroy(struct speed_view *view)
{
	g_hash_table_destroy(view->entries);
	g_hash_table_destroy(view->kinds);
	g_free(view);
}

void speed_view_update(struct speed_view *view, uint64_t server,
		       const struct speed_report *report, int64_t now_ms)
{
	struct entry *entry = g_hash_table_lookup(view->entries, &server);

	if (!entry) {
		entry = g_new0(struct entry, 1);
		entry->id = server;
		entry->factor = 1;
		g_hash_table_insert(view->entries, &entry->id, entry);
	}
	entry->report = *report;
	entry->reported_ms = now_ms;
}

void speed_view_remove(struct speed_view *view, uint64_t server)
{
	g_hash_table_remove(view->entries, &server);
}

/* ---- Average -------------------------------------------------------- */

/* Uncertainty grows with the age of a report as it does at the agent. */
static double current_sd(const struct entry *entry, int64_t now_ms)
{
	double age_ms = (double)MAX(now_ms - entry->reported_ms, 0);
	double sd = entry->report.sd;

	if (sd <= 0)
		return 0;
	sd = sqrt(sd * sd + age_ms * SPEED_VARIANCE_PER_MS);
	return sd <= SD_MAX ? sd : 0;
}

static void average(struct speed_view *view, int64_t now_ms)
{
	double sum = 0, variances = 0;
	GHashTableIter iter;
	gpointer value;

	view->known = 0;
	g_hash_table_iter_init(&iter, view->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		entry->sd = current_sd(entry, now_ms);
		if (entry->sd <= 0)
			continue;
		view->known++;
		sum += CLAMP(entry->report.log, -LOG_MAX, LOG_MAX);
		variances += entry->sd * entry->sd;
	}
	view->mean = view->known ? sum / view->known : 0;
	view->mean_variance =
		view->known ? variances / view->known / view->known : 0;
}

static double relative_log(const struct speed_view *view,
			   const struct entry *entry)
{
	return CLAMP(entry->report.log - view->mean, -LOG_MAX, LOG_MAX);
}

static void compare_servers(struct speed_view *view)
{
	double sum = 0, freedom = MAX((double)view->known - 1, 1);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, view->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry *entry = value;
		double log = relative_log(view, entry);

		if (entry->sd > 0)
			sum += log * log / (entry->sd * entry->sd);
	}
	view->uneven = sum / freedom > 1 + UNEVEN_FROM_SD * sqrt(2 / freedom);
}

/* ---- Kinds ---------------------------------------------------------- */

static bool has_few_runs(const struct entry *entry)
{
	return entry->sd <= 0 ||
	       entry->sd * entry->sd > SPEED_RUN_VARIANCE / RUNS_MIN;
}

static void sum_kinds(struct speed_view *view)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(view->kinds);
	g_hash_table_iter_init(&iter, view->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry *entry = value;
		const char *name = entry->report.kind;
		double log = relative_log(view, entry);
		struct kind *kind;

		if (!*name || has_few_runs(entry))
			continue;
		kind = g_hash_table_lookup(view->kinds, name);
		if (!kind) {
			kind = g_new0(struct kind, 1);
			g_hash_table_insert(view->kinds, g_strdup(name), kind);
		}
		kind->n++;
		kind->sum += log;
		kind->sum_of_squares += log * log;
		kind->variances += entry->sd * entry->sd;
	}
}

/* Mean logarithm of the kind; 0 if it isn't known, the servers don't agree, or
 * it doesn't clearly differ from 0. */
static double kind_log(const struct speed_view *view, const char *name)
{
	const struct kind *kind = g_hash_table_lookup(view->kinds, name);
	double mean, variance, spread;

	if (!kind || kind->n < KIND_SERVERS_MIN)
		return 0;
	mean = kind->sum / kind->n;
	variance = (kind->sum_of_squares - mean * kind->sum) / (kind->n - 1);
	spread = variance - kind->variances / kind->n;
	if (spread > KIND_SPREAD_MAX * KIND_SPREAD_MAX)
		return 0;
	variance = MAX(variance, kind->variances / kind->n) / kind->n;
	return mean * mean > COUNTS_FROM_SD * COUNTS_FROM_SD * variance ? mean
									: 0;
}

/* ---- Factors -------------------------------------------------------- */

static bool counts(const struct speed_view *view, const struct entry *entry)
{
	double sd = sqrt(entry->sd * entry->sd + view->mean_variance);
	double from_sd = view->uneven ? COUNTS_FROM_SD : COUNTS_FROM_SD_EVEN;

	return entry->sd > 0 &&
	       fabs(relative_log(view, entry)) >
		       sd * (entry->counts ? COUNTS_UNTIL_SD : from_sd);
}

static double entry_log(const struct speed_view *view, struct entry *entry)
{
	double of_kind =
		has_few_runs(entry) ? kind_log(view, entry->report.kind) : 0;

	entry->counts = counts(view, entry);
	if (of_kind != 0)
		return of_kind;
	return entry->counts ? relative_log(view, entry) : 0;
}

void speed_view_refresh(struct speed_view *view, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	average(view, now_ms);
	compare_servers(view);
	sum_kinds(view);
	g_hash_table_iter_init(&iter, view->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		entry->factor = exp(entry_log(view, entry));
	}
}

double speed_view_factor(const struct speed_view *view, uint64_t server)
{
	const struct entry *entry = g_hash_table_lookup(view->entries, &server);

	return entry ? entry->factor : 1;
}

bool speed_view_is_known(const struct speed_view *view, uint64_t server)
{
	const struct entry *entry = g_hash_table_lookup(view->entries, &server);

	return entry && !has_few_runs(entry);
}

uint32_t speed_view_known(const struct speed_view *view)
{
	return view->known;
}
