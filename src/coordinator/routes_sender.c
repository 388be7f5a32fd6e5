/*
 * routes_sender: see routes_sender.h.
 */
#include "coordinator/routes_sender.h"

/* ---- Constants ------------------------------------------------------ */

/* Documents that are being fetched. */
#define DOCUMENTS_MAX 3
#define DOCUMENT_KEEP_MS 5000

/* ---- Types ---------------------------------------------------------- */

struct kept_document {
	uint64_t version;
	GBytes *document;
	int64_t asked_ms; /* for the last part */
};

struct routes_sender {
	uint32_t part_max_bytes;
	GArray *kept; /* struct kept_document, the newest version last */
};

/* What a holder fetches. */
struct image {
	uint64_t version;
	bool whole;
	GBytes *bytes;
};

/* ---- Create and destroy --------------------------------------------- */

static void clear_kept(void *element)
{
	g_bytes_unref(((struct kept_document *)element)->document);
}

struct routes_sender *routes_sender_create(uint32_t part_max_bytes)
{
	struct routes_sender *sender = g_new0(struct routes_sender, 1);

	sender->part_max_bytes = part_max_bytes;
	sender->kept = g_array_new(FALSE, FALSE, sizeof(struct kept_document));
	g_array_set_clear_func(sender->kept, clear_kept);
	return sender;
}

void routes_sender_destroy(struct routes_sender *sender)
{
	if (!sender)
		return;
	g_array_unref(sender->kept);
	g_free(sender);
}

/* ---- Documents that are being fetched ------------------------------- */

static struct kept_document *kept_at(struct routes_sender *sender, guint i)
{
	return &g_array_index(sender->kept, struct kept_document, i);
}

static void drop_unused(struct routes_sender *sender, int64_t now_ms)
{
	for (guint i = sender->kept->len; i-- > 0;)
		if (now_ms - kept_at(sender, i)->asked_ms > DOCUMENT_KEEP_MS)
			g_array_remove_index(sender->kept, i);
}

static struct kept_document *find_version(struct routes_sender *sender,
					  uint64_t version)
{
	for (guint i = 0; i < sender->kept->len; i++)
		if (kept_at(sender, i)->version == version)
			return kept_at(sender, i);
	return NULL;
}

/* One that others fetch serves a new fetch too, if the changes since are known:
 * so few are kept however fast routes change. */
static struct kept_document *find_useful(struct routes_sender *sender,
					 const struct cf_config *config,
					 uint64_t newest)
{
	struct kept_document *last;
	uint64_t next;

	if (!sender->kept->len)
		return NULL;
	last = kept_at(sender, sender->kept->len - 1);
	return last->version == newest || cf_config_routes_change(
						  config, last->version, &next)
		       ? last
		       : NULL;
}

static struct kept_document *keep(struct routes_sender *sender,
				  uint64_t version, GBytes *document)
{
	struct kept_document fresh = { .version = version,
				       .document = g_bytes_ref(document) };

	if (sender->kept->len == DOCUMENTS_MAX)
		g_array_remove_index(sender->kept, 0);
	g_array_append_val(sender->kept, fresh);
	return kept_at(sender, sender->kept->len - 1);
}

/* ---- Parts ----------------------------------------------------------- */

/* A document that is being fetched is sent to its end, also if a newer one has
 * replaced it: a fetch must end however often the routes change. */
static bool find_document(struct routes_sender *sender,
			  const struct cf_config *config,
			  const Cfw__RoutesRequest *request, int64_t now_ms,
			  struct image *image)
{
	uint64_t newest;
	GBytes *routes = cf_config_routes(config, &newest);
	struct kept_document *kept = NULL;

	drop_unused(sender, now_ms);
	if (request->whole)
		kept = find_version(sender, request->version);
	if (!kept && (!routes || newest <= request->known_version))
		return false;
	if (!kept)
		kept = find_useful(sender, config, newest);
	if (!kept || kept->version <= request->known_version)
		kept = keep(sender, newest, routes);
	kept->asked_ms = now_ms;
	*image = (struct image){ kept->version, true, kept->document };
	return true;
}

static bool find_change(const struct cf_config *config,
			const Cfw__RoutesRequest *request, struct image *image)
{
	image->whole = false;
	image->bytes = cf_config_routes_change(config, request->known_version,
					       &image->version);
	return image->bytes;
}

void routes_sender_answer(struct routes_sender *sender,
			  const struct cf_config *config,
			  const Cfw__RoutesRequest *request, int64_t now_ms,
			  Cfw__RoutesPart *part)
{
	struct image image;
	const uint8_t *data;
	gsize size;

	part->seq = request->seq;
	if ((request->whole || !find_change(config, request, &image)) &&
	    !find_document(sender, config, request, now_ms, &image))
		return;
	data = g_bytes_get_data(image.bytes, &size);
	part->version = image.version;
	part->whole = image.whole;
	part->total_bytes = size;
	if (request->version == image.version &&
	    request->whole == image.whole && request->offset < size)
		part->offset = request->offset;
	part->data.data = (uint8_t *)data + part->offset;
	part->data.len = MIN(sender->part_max_bytes, size - part->offset);
}
