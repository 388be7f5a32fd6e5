/*
 * routes: see routes.h. The routes of each host are kept in one list, sorted
 * by prefix length, the longest first.
 */
#include "leased/routes.h"

#include <string.h>

struct routes {
	uint64_t version;
	GArray *list; /* struct route, owned */
	GHashTable *hosts; /* host -> GPtrArray of struct route */
};

static gint compare_prefixes(gconstpointer a, gconstpointer b)
{
	const struct route *x = *(struct route *const *)a;
	const struct route *y = *(struct route *const *)b;
	size_t m = strlen(x->prefix);
	size_t n = strlen(y->prefix);

	return m < n ? 1 : m > n ? -1 : 0;
}

static void sort_prefixes(gpointer host, gpointer list, gpointer unused)
{
	(void)host;
	(void)unused;
	g_ptr_array_sort(list, compare_prefixes);
}

struct routes *routes_create(const GArray *list, uint64_t version)
{
	struct routes *routes = g_new0(struct routes, 1);

	routes->version = version;
	routes->list = g_array_new(FALSE, FALSE, sizeof(struct route));
	g_array_append_vals(routes->list, list->data, list->len);
	routes->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	for (guint i = 0; i < routes->list->len; i++) {
		struct route *route =
			&g_array_index(routes->list, struct route, i);
		GPtrArray *host_routes =
			g_hash_table_lookup(routes->hosts, route->host);

		if (!host_routes) {
			host_routes = g_ptr_array_new();
			g_hash_table_insert(routes->hosts, route->host,
					    host_routes);
		}
		g_ptr_array_add(host_routes, route);
	}
	g_hash_table_foreach(routes->hosts, sort_prefixes, NULL);
	return routes;
}

void routes_destroy(struct routes *routes)
{
	if (!routes)
		return;
	g_hash_table_destroy(routes->hosts);
	g_array_unref(routes->list);
	g_free(routes);
}

uint64_t routes_version(const struct routes *routes)
{
	return routes->version;
}

uint32_t routes_count(const struct routes *routes)
{
	return routes->list->len;
}

const struct route *routes_find(const struct routes *routes, const char *host,
				const char *path)
{
	g_autofree char *name = g_ascii_strdown(host, -1);
	GPtrArray *host_routes;

	name[strcspn(name, ":")] = '\0';
	host_routes = g_hash_table_lookup(routes->hosts, name);
	for (guint i = 0; host_routes && i < host_routes->len; i++) {
		const struct route *route = g_ptr_array_index(host_routes, i);

		if (g_str_has_prefix(path, route->prefix))
			return route;
	}
	return NULL;
}
