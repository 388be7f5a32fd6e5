/*
 * agent_subset: size and selection of a dispatcher's agents; see
 * agent_subset.h.
 */
#include "leased/agent_subset.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* ---- Constants ------------------------------------------------------ */

#define GROW_AGENTS 16
/* Long enough for the agents added last to report their free capacity. */
#define GROW_INTERVAL_MS 200
#define SHRINK_AGENTS 8
#define SHRINK_INTERVAL_MS 2000
/* The subset shrinks only after this time without a shortage. */
#define SHRINK_DELAY_MS 5000

/* ---- Types ---------------------------------------------------------- */

struct agent_subset {
	char *data_centre;
	uint64_t seed; /* hash of the dispatcher's name; determines its order */
	uint32_t size, size_min, size_max;
	bool shortage_reported; /* since the last tick */
	int64_t last_shortage_ms;
	int64_t resized_ms;
};

/* ---- Lifecycle ------------------------------------------------------ */

struct agent_subset *
agent_subset_create(const struct agent_subset_options *options)
{
	struct agent_subset *subset = g_new0(struct agent_subset, 1);

	subset->data_centre = g_strdup(options->data_centre);
	subset->seed = XXH64(options->name, strlen(options->name), 0);
	subset->size_min = options->agents_min;
	subset->size_max = MAX(options->agents_max, options->agents_min);
	subset->size = subset->size_min;
	return subset;
}

void agent_subset_destroy(struct agent_subset *subset)
{
	if (!subset)
		return;
	g_free(subset->data_centre);
	g_free(subset);
}

/* ---- Size ----------------------------------------------------------- */

void agent_subset_report_shortage(struct agent_subset *subset, int64_t now_ms)
{
	subset->shortage_reported = true;
	subset->last_shortage_ms = now_ms;
}

static bool resize(struct agent_subset *subset, uint32_t size, int64_t now_ms)
{
	if (size == subset->size)
		return false;
	subset->size = size;
	subset->resized_ms = now_ms;
	return true;
}

bool agent_subset_tick(struct agent_subset *subset, int64_t now_ms)
{
	bool had_shortage = subset->shortage_reported;

	subset->shortage_reported = false;
	if (had_shortage && now_ms - subset->resized_ms >= GROW_INTERVAL_MS)
		return resize(subset,
			      MIN(subset->size + GROW_AGENTS, subset->size_max),
			      now_ms);
	if (now_ms - subset->last_shortage_ms < SHRINK_DELAY_MS ||
	    now_ms - subset->resized_ms < SHRINK_INTERVAL_MS)
		return false;
	return resize(subset,
		      MAX(subset->size, subset->size_min + SHRINK_AGENTS) -
			      SHRINK_AGENTS,
		      now_ms);
}

uint32_t agent_subset_size(const struct agent_subset *subset)
{
	return subset->size;
}

/* ---- Selection ------------------------------------------------------ */

static gint compare_preference(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct agent_subset *subset = arg;
	const struct subset_candidate *x = *(struct subset_candidate *const *)a;
	const struct subset_candidate *y = *(struct subset_candidate *const *)b;
	bool x_is_local = !strcmp(x->data_centre, subset->data_centre);
	bool y_is_local = !strcmp(y->data_centre, subset->data_centre);
	uint64_t x_rank, y_rank;

	if (x_is_local != y_is_local)
		return x_is_local ? -1 : 1;
	x_rank = XXH64(x->address, strlen(x->address), subset->seed);
	y_rank = XXH64(y->address, strlen(y->address), subset->seed);
	if (x_rank != y_rank)
		return x_rank < y_rank ? -1 : 1;
	return strcmp(x->address, y->address);
}

/* Returns the number of reachable agents that are still missing. */
static uint32_t select_by_service(struct subset_candidate **candidates,
				  size_t n, bool in_service, uint32_t remaining)
{
	for (size_t i = 0; i < n; i++) {
		struct subset_candidate *candidate = candidates[i];

		if (candidate->in_service != in_service)
			continue;
		candidate->selected = remaining > 0;
		if (remaining > 0 && !candidate->unreachable)
			remaining--;
	}
	return remaining;
}

void agent_subset_select(const struct agent_subset *subset,
			 struct subset_candidate **candidates, size_t n)
{
	uint32_t remaining = subset->size;

	g_qsort_with_data(candidates, (gint)n, sizeof(*candidates),
			  compare_preference, (gpointer)subset);
	remaining = select_by_service(candidates, n, true, remaining);
	select_by_service(candidates, n, false, remaining);
}
