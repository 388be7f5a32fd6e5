/*
 * agent_interference: feeds the runs of each backend server to its estimate of
 * interference, and adds that to the reports to dispatchers while a pair of
 * classes is suspected. Otherwise reports don't grow.
 */
#include "leased/agent_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* ---- Constants ------------------------------------------------------ */

/* Slowdowns are sent when they have changed, but not more often than this, and
 * at least this often, as dispatchers forget what isn't renewed. */
#define SEND_INTERVAL_MS 1000
#define RENEW_INTERVAL_MS 5000
/* A class that has come or gone is reported after this time even if nothing
 * else is to be sent: while capacity is ample, states hardly change otherwise.
 */
#define CLASSES_INTERVAL_MS 100
#define MILLI 1000.0
/* Changes of less than this don't count. */
#define LOG_STEP 0.05

/* ---- Types ---------------------------------------------------------- */

struct server_interference {
	struct interference *interference;
	int64_t start_time_ms; /* identifies the incarnation of the server */
};

struct sent_slowdowns {
	uint64_t digest; /* of those last sent; 0: none */
	int64_t sent_ms;
	uint64_t due_digest; /* of those in the report that is being filled */
	bool due;
	/* The same for the set of classes that run. */
	uint64_t classes_digest, due_classes_digest;
	int64_t classes_sent_ms;
};

static void free_interference(gpointer data)
{
	struct server_interference *s = data;

	interference_destroy(s->interference);
	g_free(s);
}

GHashTable *agent_create_interferences(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_interference);
}

/* ---- Runs ----------------------------------------------------------- */

/* A new incarnation of a server may run on another machine, so that its
 * estimates begin anew. */
static struct interference *interference_of(struct leased_agent *a,
					    const struct server *server)
{
	const struct server_report *report = server_last_report(server);
	struct server_interference *s =
		g_hash_table_lookup(a->interferences, report->name);

	if (s && s->start_time_ms == report->start_time_ms)
		return s->interference;
	s = g_new0(struct server_interference, 1);
	s->interference = interference_create();
	s->start_time_ms = report->start_time_ms;
	g_hash_table_insert(a->interferences, g_strdup(report->name), s);
	return s->interference;
}

void agent_count_result(struct leased_agent *a, struct server *server,
			const struct run_result *result, int64_t now_ms)
{
	struct interference *interference = interference_of(a, server);
	struct run_result alone = *result;
	struct speed speed;

	/* The speed estimate leaves out the slowdown by pairs that are certain,
	 * and the interference fit leaves out the speed, so that neither counts
	 * the other. The speed is read before this run is added to it, as it
	 * would contain part of the run's error. */
	agent_get_speed(a, server_last_report(server)->name, now_ms, &speed);
	alone.run_ms = interference_alone_ms(interference, result, now_ms);
	interference_add_result(interference, result, speed.log, now_ms);
	agent_count_speed(a, server, &alone, now_ms);
}

void agent_track_runs(struct leased_agent *a, struct server *server,
		      int64_t now_ms)
{
	g_autoptr(GPtrArray) running = g_ptr_array_new();

	run_table_list_running(server_runs(server), running);
	interference_set_running(interference_of(a, server), running,
				 server_last_report(server)->capacity.cpu_milli,
				 now_ms);
}

/* ---- Reports -------------------------------------------------------- */

static uint64_t slowdowns_digest(const GArray *slowdowns)
{
	XXH64_hash_t sum = 1;

	for (guint i = 0; i < slowdowns->len; i++) {
		const struct class_slowdown *slowdown =
			&g_array_index(slowdowns, struct class_slowdown, i);
		const int64_t values[] = { lround(slowdown->log / LOG_STEP),
					   g_bit_storage(slowdown->samples) };

		sum = XXH64(slowdown->class_name, strlen(slowdown->class_name),
			    sum);
		sum = XXH64(slowdown->beside, strlen(slowdown->beside), sum);
		sum = XXH64(values, sizeof(values), sum);
	}
	return slowdowns->len ? sum | 1 : 0;
}

static bool is_due(struct peer *p, const char *server, uint64_t digest,
		   int64_t now_ms)
{
	struct sent_slowdowns *sent =
		g_hash_table_lookup(p->sent_slowdowns, server);

	if (!sent && !digest)
		return false;
	if (!sent) {
		sent = g_new0(struct sent_slowdowns, 1);
		g_hash_table_insert(p->sent_slowdowns, g_strdup(server), sent);
	}
	sent->due_digest = digest;
	sent->due = digest != sent->digest
			    ? now_ms - sent->sent_ms >= SEND_INTERVAL_MS
			    : digest && now_ms - sent->sent_ms >=
						RENEW_INTERVAL_MS;
	return sent->due;
}

/* Several entries are allocated as one block, to which the first points. */
static void fill_slowdowns(Cfw__ServerState *state, const GArray *slowdowns)
{
	size_t n = MAX(slowdowns->len, 1); /* one without samples ends them */
	Cfw__ClassSlowdown *entries = g_new(Cfw__ClassSlowdown, n);

	state->slowdowns = g_new(Cfw__ClassSlowdown *, n);
	state->n_slowdowns = n;
	for (size_t i = 0; i < n; i++) {
		cfw__class_slowdown__init(&entries[i]);
		state->slowdowns[i] = &entries[i];
	}
	for (guint i = 0; i < slowdowns->len; i++) {
		struct class_slowdown *slowdown =
			&g_array_index(slowdowns, struct class_slowdown, i);

		entries[i].class_name = slowdown->class_name;
		entries[i].beside = slowdown->beside;
		entries[i].log_milli = (int32_t)lround(slowdown->log * MILLI);
		entries[i].samples = slowdown->samples;
	}
}

static bool classes_are_due(struct peer *p, const Cfw__ServerState *state,
			    int64_t now_ms)
{
	struct sent_slowdowns *sent =
		g_hash_table_lookup(p->sent_slowdowns, state->name);
	XXH64_hash_t sum = 1;

	if (!sent)
		return false;
	for (size_t i = 0; i < state->n_classes; i++)
		sum = XXH64(state->classes[i]->class_name,
			    strlen(state->classes[i]->class_name), sum);
	sent->due_classes_digest = sum;
	return sum != sent->classes_digest &&
	       now_ms - sent->classes_sent_ms >= CLASSES_INTERVAL_MS;
}

static void fill_classes(Cfw__ServerState *state,
			 const struct interference *interference)
{
	g_autoptr(GArray)
		classes = g_array_new(FALSE, FALSE, sizeof(struct class_runs));
	Cfw__ClassRuns *entries;

	interference_list_classes(interference, classes);
	if (!classes->len)
		return;
	entries = g_new(Cfw__ClassRuns, classes->len);
	state->classes = g_new(Cfw__ClassRuns *, classes->len);
	state->n_classes = classes->len;
	for (guint i = 0; i < classes->len; i++) {
		const struct class_runs *class =
			&g_array_index(classes, struct class_runs, i);

		cfw__class_runs__init(&entries[i]);
		entries[i].class_name = g_strdup(class->class_name);
		entries[i].running = class->running;
		state->classes[i] = &entries[i];
	}
}

void agent_fill_interference(const struct leased_agent *a, struct peer *p,
			     int64_t now_ms, Cfw__ServerState *state)
{
	const struct server_interference *s =
		g_hash_table_lookup(a->interferences, state->name);
	const GArray *slowdowns;

	if (!s)
		return;
	slowdowns = interference_list_slowdowns(s->interference, now_ms);
	if (is_due(p, state->name, slowdowns_digest(slowdowns), now_ms)) {
		p->slowdowns_due = true;
		fill_slowdowns(state, slowdowns);
	}
	if (!slowdowns->len)
		return;
	fill_classes(state, s->interference);
	p->slowdowns_due |= classes_are_due(p, state, now_ms);
}

void agent_slowdowns_sent(struct peer *p, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->sent_slowdowns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sent_slowdowns *sent = value;

		if (sent->classes_digest != sent->due_classes_digest)
			sent->classes_sent_ms = now_ms;
		sent->classes_digest = sent->due_classes_digest;
		if (!sent->due)
			continue;
		sent->due = false;
		sent->digest = sent->due_digest;
		sent->sent_ms = now_ms;
		if (!sent->digest)
			g_hash_table_iter_remove(&iter);
	}
}

void agent_clear_interference(Cfw__ServerState *state)
{
	for (size_t i = 0; i < state->n_classes; i++)
		g_free(state->classes[i]->class_name);
	if (state->n_classes)
		g_free(state->classes[0]);
	if (state->n_slowdowns)
		g_free(state->slowdowns[0]);
	g_free(state->classes);
	g_free(state->slowdowns);
}
