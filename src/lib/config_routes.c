/*
 * config_routes: the operators' routes, a document that is replaced as a whole.
 * The state machine of the log keeps how the last versions changed, so that a
 * receiver that has one of them need not be sent the document again.
 */
#include "lib/config_state.h"
#include "lib/document_change.h"

/* ---- Constants ------------------------------------------------------ */

/* A receiver that is further behind is sent the document. */
#define ROUTES_CHANGES_MAX 64

/* ---- Changes -------------------------------------------------------- */

static void forget_oldest_change(struct cf_config *config)
{
	struct config_routes_change *change =
		g_queue_pop_head(&config->routes_changes);

	config->routes_changes_bytes -= g_bytes_get_size(change->change);
	g_bytes_unref(change->change);
	g_free(change);
}

void config_forget_routes_changes(struct cf_config *config)
{
	while (config->routes_changes.length)
		forget_oldest_change(config);
}

/* All changes together cost a receiver no more than the document, nor does it
 * cost more memory to keep them. */
static void bound_changes(struct cf_config *config)
{
	while (config->routes_changes.length > ROUTES_CHANGES_MAX ||
	       (config->routes_changes.length &&
		config->routes_changes_bytes >
			g_bytes_get_size(config->routes)))
		forget_oldest_change(config);
}

static void record_change(struct cf_config *config, uint64_t version,
			  GBytes *document)
{
	struct config_routes_change *change =
		g_new0(struct config_routes_change, 1);

	change->from_version = config->routes_version;
	change->to_version = version;
	change->change = document_change_find(config->routes, document);
	config->routes_changes_bytes += g_bytes_get_size(change->change);
	g_queue_push_tail(&config->routes_changes, change);
}

void config_replace_routes(struct cf_config *config, uint64_t version,
			   GBytes *document, bool record)
{
	GBytes *before = config->routes;

	if (record && before)
		record_change(config, version, document);
	config->routes = g_bytes_ref(document);
	config->routes_version = version;
	bound_changes(config);
	if (before)
		g_bytes_unref(before);
}

/* ---- Public functions ----------------------------------------------- */

GBytes *cf_config_routes(const struct cf_config *config, uint64_t *version)
{
	*version = config->routes_version;
	return config->routes;
}

GBytes *cf_config_routes_change(const struct cf_config *config,
				uint64_t known_version, uint64_t *version)
{
	for (GList *l = config->routes_changes.tail; l; l = l->prev) {
		const struct config_routes_change *change = l->data;

		if (change->from_version != known_version)
			continue;
		*version = change->to_version;
		return change->change;
	}
	return NULL;
}

bool cf_config_set_routes(struct cf_config *config, uint64_t version,
			  GBytes *document)
{
	if (version <= config->routes_version)
		return false;
	config_replace_routes(config, version, document, false);
	return true;
}

bool cf_config_change_routes(struct cf_config *config, uint64_t version,
			     GBytes *change, GError **error)
{
	g_autoptr(GBytes) nothing = g_bytes_new_static("", 0);
	g_autoptr(GBytes) document = document_change_apply(
		config->routes ? config->routes : nothing, change, error);

	return document && cf_config_set_routes(config, version, document);
}
