/*
 * The counters are in a sorted table that is protected by a lock. Their
 * values are atomic, so changing a value takes no lock.
 */
#include "base/counters.h"

#include <stdatomic.h>
#include <stdbool.h>

struct counter {
	char *name;
	char *labels; /* "" if there are none */
	char *help; /* NULL if counter_get passed none with these labels */
	bool gauge;
	_Atomic int64_t value;
};

static GMutex lock;
static GTree *table; /* struct counter, ordered by name and labels */

static gint compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct counter *x = a;
	const struct counter *y = b;
	int order = g_strcmp0(x->name, y->name);

	(void)unused;
	return order ? order : g_strcmp0(x->labels, y->labels);
}

static struct counter *find_or_add(const char *name, const char *labels,
				   const char *help, bool gauge)
{
	struct counter lookup_key = {
		.name = (char *)name,
		.labels = (char *)(labels ? labels : ""),
	};
	struct counter *counter;

	g_mutex_lock(&lock);
	if (!table)
		table = g_tree_new_full(compare, NULL, NULL, NULL);
	counter = g_tree_lookup(table, &lookup_key);
	if (!counter) {
		counter = g_new0(struct counter, 1);
		counter->name = g_strdup(name);
		counter->labels = g_strdup(lookup_key.labels);
		counter->gauge = gauge;
		g_tree_insert(table, counter, counter);
	}
	if (help && !counter->help)
		counter->help = g_strdup(help);
	g_mutex_unlock(&lock);
	return counter;
}

struct counter *counter_get(const char *name, const char *labels,
			    const char *help)
{
	return find_or_add(name, labels, help, false);
}

struct counter *gauge_get(const char *name, const char *labels,
			  const char *help)
{
	return find_or_add(name, labels, help, true);
}

void counter_add(struct counter *counter, int64_t amount)
{
	atomic_fetch_add_explicit(&counter->value, amount,
				  memory_order_relaxed);
}

void gauge_set(struct counter *gauge, int64_t value)
{
	atomic_store_explicit(&gauge->value, value, memory_order_relaxed);
}

int64_t counter_value(const struct counter *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

/* ---- Printing ---- */

struct print_state {
	GString *out;
	const char *family; /* metric name of the last header printed */
	GHashTable *help; /* metric name to help text */
};

static gboolean collect_help(gpointer key, gpointer value, gpointer data)
{
	struct print_state *print_state = data;
	struct counter *counter = value;

	(void)key;
	if (counter->help)
		g_hash_table_insert(print_state->help, counter->name,
				    counter->help);
	return FALSE;
}

static gboolean print_counter(gpointer key, gpointer value, gpointer data)
{
	struct print_state *print_state = data;
	struct counter *counter = value;
	bool labels = counter->labels[0] != '\0';

	(void)key;
	if (g_strcmp0(print_state->family, counter->name) != 0) {
		const char *help =
			g_hash_table_lookup(print_state->help, counter->name);

		if (help)
			g_string_append_printf(print_state->out,
					       "# HELP chervilferry_%s %s\n",
					       counter->name, help);
		g_string_append_printf(
			print_state->out, "# TYPE chervilferry_%s %s\n",
			counter->name, counter->gauge ? "gauge" : "counter");
		print_state->family = counter->name;
	}
	g_string_append_printf(print_state->out,
			       "chervilferry_%s%s%s%s %" G_GINT64_FORMAT "\n",
			       counter->name, labels ? "{" : "",
			       counter->labels, labels ? "}" : "",
			       counter_value(counter));
	return FALSE;
}

void counters_print(GString *out)
{
	struct print_state print_state = { .out = out };

	g_mutex_lock(&lock);
	if (table) {
		print_state.help = g_hash_table_new(g_str_hash, g_str_equal);
		g_tree_foreach(table, collect_help, &print_state);
		g_tree_foreach(table, print_counter, &print_state);
		g_hash_table_destroy(print_state.help);
	}
	g_mutex_unlock(&lock);
}
