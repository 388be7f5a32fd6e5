/*
 * interference_view: see interference_view.h.
 */
#include "leased/interference_view.h"

#include <math.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* A pair begins to interfere at this estimate, with this many standard errors
 * and reports of this many servers, and ends below LOG_END. */
#define LOG_BEGIN 0.14 /* 15 % */
#define LOG_END 0.077 /* 8 % */
#define ERRORS_BEGIN 3.5
#define SERVERS_BEGIN 2
/* A larger slowdown is taken for this one. */
#define LOG_MAX 1.1 /* 3 times */

/* ---- Types ---------------------------------------------------------- */

struct server_report_entry {
	uint64_t server;
	char service[CF_NAME_SIZE];
	int64_t reported_ms;
	struct class_slowdown slowdown;
};

struct interference_view {
	GArray *entries; /* struct server_report_entry */
	GArray *pairs; /* struct interfering_pair, those that interfere */
};

/* Sums over the reports about one pair, weighted with their precision. */
struct pair_sums {
	double weight, weighted_log;
	uint32_t servers;
	const char *service;
};

/* ---- Lifecycle ------------------------------------------------------ */

struct interference_view *interference_view_create(void)
{
	struct interference_view *view = g_new0(struct interference_view, 1);

	view->entries =
		g_array_new(FALSE, TRUE, sizeof(struct server_report_entry));
	view->pairs = g_array_new(FALSE, TRUE, sizeof(struct interfering_pair));
	return view;
}

void interference_view_destroy(struct interference_view *view)
{
	g_array_unref(view->entries);
	g_array_unref(view->pairs);
	g_free(view);
}

/* ---- Reports -------------------------------------------------------- */

void interference_view_report(struct interference_view *view, uint64_t server,
			      const char *service,
			      const struct class_slowdown *slowdowns, size_t n,
			      int64_t now_ms)
{
	for (guint i = view->entries->len; i-- > 0;)
		if (g_array_index(view->entries, struct server_report_entry, i)
			    .server == server)
			g_array_remove_index_fast(view->entries, i);
	for (size_t i = 0; i < n; i++) {
		struct server_report_entry entry = { .server = server,
						     .reported_ms = now_ms,
						     .slowdown = slowdowns[i] };

		if (!slowdowns[i].samples)
			continue;
		g_strlcpy(entry.service, service, sizeof(entry.service));
		g_array_append_val(view->entries, entry);
	}
}

static void drop_expired(struct interference_view *view, int64_t now_ms)
{
	for (guint i = view->entries->len; i-- > 0;)
		if (now_ms - g_array_index(view->entries,
					   struct server_report_entry, i)
				     .reported_ms >=
		    INTERFERENCE_EXPIRY_MS)
			g_array_remove_index_fast(view->entries, i);
}

/* ---- Pairs ---------------------------------------------------------- */

static struct interfering_pair *find_pair(const struct interference_view *view,
					  const char *class_name,
					  const char *beside)
{
	for (guint i = 0; i < view->pairs->len; i++) {
		struct interfering_pair *pair =
			&g_array_index(view->pairs, struct interfering_pair, i);

		if (!strcmp(pair->class_name, class_name) &&
		    !strcmp(pair->beside, beside))
			return pair;
	}
	return NULL;
}

static void sum_reports(const struct interference_view *view,
			const char *class_name, const char *beside,
			struct pair_sums *sums)
{
	memset(sums, 0, sizeof(*sums));
	for (guint i = 0; i < view->entries->len; i++) {
		const struct server_report_entry *entry = &g_array_index(
			view->entries, struct server_report_entry, i);
		double weight = entry->slowdown.samples;

		if (strcmp(entry->slowdown.class_name, class_name) != 0 ||
		    strcmp(entry->slowdown.beside, beside) != 0)
			continue;
		sums->weight += weight;
		sums->weighted_log += weight * entry->slowdown.log;
		sums->servers++;
		sums->service = entry->service;
	}
}

static void combine(const struct pair_sums *sums, double weight,
		    struct interfering_pair *pair)
{
	pair->servers = sums->servers;
	pair->log = weight > 0 ? sums->weighted_log / weight : 0;
	pair->error = weight > 0 ? INTERFERENCE_RUN_SD / sqrt(weight) : 0;
}

/* Only servers with a suspicion report. If the others were left out, chance
 * alone would make the combined estimate positive, so each of them counts as an
 * estimate of 0 that is as certain as an average report. */
static void judge_new_pair(struct interference_view *view,
			   const struct class_slowdown *slowdown,
			   uint32_t (*servers_of)(const void *arg,
						  const char *service),
			   const void *arg, GArray *changes)
{
	struct interfering_pair pair = { .interferes = true };
	struct pair_sums sums;
	uint32_t all;

	sum_reports(view, slowdown->class_name, slowdown->beside, &sums);
	if (sums.servers < SERVERS_BEGIN)
		return;
	all = MAX(servers_of(arg, sums.service), sums.servers);
	combine(&sums, sums.weight * all / sums.servers, &pair);
	if (pair.log < LOG_BEGIN || pair.log < ERRORS_BEGIN * pair.error)
		return;
	g_strlcpy(pair.class_name, slowdown->class_name,
		  sizeof(pair.class_name));
	g_strlcpy(pair.beside, slowdown->beside, sizeof(pair.beside));
	g_array_append_val(view->pairs, pair);
	g_array_append_val(changes, pair);
}

/* While a pair is kept apart, most servers know nothing about it, so that those
 * without a report don't count here. */
static void judge_known_pairs(struct interference_view *view, GArray *changes)
{
	for (guint i = view->pairs->len; i-- > 0;) {
		struct interfering_pair *pair =
			&g_array_index(view->pairs, struct interfering_pair, i);
		struct pair_sums sums;

		sum_reports(view, pair->class_name, pair->beside, &sums);
		combine(&sums, sums.weight, pair);
		if (pair->log >= LOG_END)
			continue;
		pair->interferes = false;
		g_array_append_val(changes, *pair);
		g_array_remove_index_fast(view->pairs, i);
	}
}

void interference_view_tick(struct interference_view *view,
			    uint32_t (*servers_of)(const void *arg,
						   const char *service),
			    const void *arg, int64_t now_ms, GArray *changes)
{
	drop_expired(view, now_ms);
	judge_known_pairs(view, changes);
	for (guint i = 0; i < view->entries->len; i++) {
		const struct class_slowdown *slowdown =
			&g_array_index(view->entries,
				       struct server_report_entry, i)
				 .slowdown;

		if (slowdown->log >= LOG_BEGIN &&
		    !find_pair(view, slowdown->class_name, slowdown->beside))
			judge_new_pair(view, slowdown, servers_of, arg,
				       changes);
	}
}

uint32_t interference_view_count(const struct interference_view *view)
{
	return view->pairs->len;
}

double interference_view_factor(const struct interference_view *view,
				const char *class_name, const char *beside)
{
	const struct interfering_pair *pair =
		find_pair(view, class_name, beside);

	return pair ? exp(MIN(pair->log, LOG_MAX)) : 1;
}
