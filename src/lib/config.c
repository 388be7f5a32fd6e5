/*
 * config: creates the configuration and answers lookups in it. Log
 * entries change it in config_apply.c, config_write.c serialises it and
 * config_read.c parses it.
 */
#include "lib/config_state.h"

#include <string.h>

/* ---- Creation ------------------------------------------------------ */

struct cf_config *cf_config_create(void)
{
	struct cf_config *config = g_new0(struct cf_config, 1);

	config->classes = g_array_new(FALSE, TRUE, sizeof(struct cf_class));
	config->data_centres =
		g_array_new(FALSE, TRUE, sizeof(struct cf_data_centre));
	config->teams = g_array_new(FALSE, TRUE, sizeof(struct cf_team));
	config->members = g_array_new(FALSE, TRUE, sizeof(struct cf_member));
	config->views = g_array_new(FALSE, TRUE, sizeof(struct cf_view));
	config->fences = g_array_new(FALSE, TRUE, sizeof(struct config_fence));
	config->subjects =
		g_array_new(FALSE, TRUE, sizeof(struct config_subject));
	config->retired = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	config->outcome_by_id =
		g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
				      (GDestroyNotify)g_bytes_unref, NULL);
	g_queue_init(&config->outcomes);
	g_queue_init(&config->routes_changes);
	return config;
}

void cf_config_destroy(struct cf_config *config)
{
	if (!config)
		return;
	g_array_unref(config->classes);
	g_array_unref(config->data_centres);
	g_array_unref(config->teams);
	g_array_unref(config->members);
	g_array_unref(config->views);
	g_array_unref(config->fences);
	g_array_unref(config->subjects);
	g_array_unref(config->retired);
	g_hash_table_destroy(config->outcome_by_id);
	g_queue_clear_full(&config->outcomes, g_free);
	config_forget_routes_changes(config);
	g_clear_pointer(&config->routes, g_bytes_unref);
	g_free(config);
}

/* ---- Lookup -------------------------------------------------------- */

bool config_find_name(const GArray *array, const char *name, guint *position)
{
	guint size = g_array_get_element_size((GArray *)array);
	guint low = 0;
	guint high = array->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		int order = strcmp(array->data + (size_t)middle * size, name);

		if (!order) {
			*position = middle;
			return true;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	*position = low;
	return false;
}

bool config_find_member(const GArray *members, uint32_t id, guint *position)
{
	guint i = 0;

	while (i < members->len &&
	       g_array_index(members, struct cf_member, i).id < id)
		i++;
	*position = i;
	return i < members->len &&
	       g_array_index(members, struct cf_member, i).id == id;
}

uint64_t cf_config_revision(const struct cf_config *config)
{
	return config->revision;
}

const struct cf_class *cf_config_find_class(const struct cf_config *config,
					    const char *name)
{
	guint at;

	if (!config_find_name(config->classes, name, &at))
		return NULL;
	return &g_array_index(config->classes, struct cf_class, at);
}

size_t cf_config_classes(const struct cf_config *config,
			 const struct cf_class **classes)
{
	*classes = (const struct cf_class *)(void *)config->classes->data;
	return config->classes->len;
}

size_t cf_config_data_centres(const struct cf_config *config,
			      const struct cf_data_centre **data_centres)
{
	*data_centres = (const struct cf_data_centre *)(void *)
				config->data_centres->data;
	return config->data_centres->len;
}

bool cf_config_in_service(const struct cf_config *config,
			  const char *data_centre)
{
	guint at;

	if (!config_find_name(config->data_centres, data_centre, &at))
		return true;
	return g_array_index(config->data_centres, struct cf_data_centre, at)
		.in_service;
}

size_t cf_config_teams(const struct cf_config *config,
		       const struct cf_team **teams)
{
	*teams = (const struct cf_team *)(void *)config->teams->data;
	return config->teams->len;
}

size_t cf_config_views(const struct cf_config *config,
		       const struct cf_view **views)
{
	*views = (const struct cf_view *)(void *)config->views->data;
	return config->views->len;
}

size_t cf_config_members(const struct cf_config *config,
			 const struct cf_member **members)
{
	*members = (const struct cf_member *)(void *)config->members->data;
	return config->members->len;
}

const struct cf_member *cf_config_find_member(const struct cf_config *config,
					      uint32_t id)
{
	guint at;

	if (!config_find_member(config->members, id, &at))
		return NULL;
	return &g_array_index(config->members, struct cf_member, at);
}

bool cf_config_is_retired(const struct cf_config *config, uint32_t id)
{
	for (guint i = 0; i < config->retired->len; i++) {
		if (g_array_index(config->retired, uint32_t, i) == id)
			return true;
	}
	return false;
}

bool cf_config_is_fenced(const struct cf_config *config, uint64_t incarnation)
{
	for (guint i = 0; i < config->fences->len; i++) {
		const struct config_fence *fence =
			&g_array_index(config->fences, struct config_fence, i);

		if (fence->incarnation == incarnation)
			return true;
	}
	return false;
}
