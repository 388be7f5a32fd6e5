/*
 * trace_centres: see trace_centres.h.
 */
#include "lib/trace_centres.h"

#define US_PER_MS 1000

struct centre {
	uint64_t revision; /* newest change */
	bool out;
	int64_t since_us; /* when it went out of service */
	uint64_t since_revision; /* the change that took it out */
	bool since_led; /* since_us is when the leader applied it */
};

struct trace_centres {
	GHashTable *centres; /* name -> struct centre */
};

struct trace_centres *trace_centres_create(void)
{
	struct trace_centres *centres = g_new0(struct trace_centres, 1);

	centres->centres =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return centres;
}

void trace_centres_destroy(struct trace_centres *centres)
{
	g_hash_table_destroy(centres->centres);
	g_free(centres);
}

static void take_out(struct centre *centre, const struct trace_record *record)
{
	centre->since_us = record->time_us;
	centre->since_revision = record->revision;
	centre->since_led = record->led;
	if (!record->led)
		centre->since_us += (int64_t)CF_LEASE_MS * US_PER_MS;
}

void trace_centres_accept(struct trace_centres *centres,
			  const struct trace_record *record)
{
	struct centre *centre;

	if (!record->changes_data_centre)
		return;
	centre = g_hash_table_lookup(centres->centres, record->name);
	if (!centre) {
		centre = g_new0(struct centre, 1);
		g_hash_table_insert(centres->centres, (gpointer)record->name,
				    centre);
	}
	if (record->revision == centre->since_revision && record->led &&
	    !centre->since_led) {
		centre->since_us = record->time_us;
		centre->since_led = true;
	}
	if (record->revision <= centre->revision)
		return;
	centre->revision = record->revision;
	if (!record->in_service && !centre->out)
		take_out(centre, record);
	centre->out = !record->in_service;
}

bool trace_centres_is_out(const struct trace_centres *centres, const char *name,
			  int64_t *since_us)
{
	const struct centre *centre =
		name ? g_hash_table_lookup(centres->centres, name) : NULL;

	if (!centre || !centre->out)
		return false;
	*since_us = centre->since_us;
	return true;
}
