/*
 * coordinator_routes: sends the operators' routes to the holders that ask for
 * them, in parts. A holder asks for one part at a time, so what is queued for
 * it stays small whatever the size of the routes, and its lease never waits
 * behind more than one part. A holder of a version whose change is still known
 * is sent the change, others the document.
 */
#include "coordinator/coordinator.h"

#include "base/logger.h"

/* ---- Constants ----------------------------------------------------- */

#define PART_MAX_BYTES (64U << 10)
/* Documents that were replaced while they were being fetched. */
#define DOCUMENTS_KEPT_MAX 2
#define DOCUMENT_KEEP_MS 5000

/* ---- Types ---------------------------------------------------------- */

struct kept_document {
	uint64_t version;
	GBytes *document;
	int64_t asked_ms; /* for the last part */
};

struct routes_sender {
	GArray *kept; /* struct kept_document, the newest last */
};

/* What a holder fetches. */
struct image {
	uint64_t version;
	bool whole;
	GBytes *bytes;
};

/* ---- Documents being fetched ----------------------------------------- */

static void clear_kept(void *element)
{
	g_bytes_unref(((struct kept_document *)element)->document);
}

struct routes_sender *routes_sender_create(void)
{
	struct routes_sender *sender = g_new0(struct routes_sender, 1);

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

static struct kept_document *find_kept(struct routes_sender *sender,
				       uint64_t version)
{
	for (guint i = 0; i < sender->kept->len; i++) {
		struct kept_document *kept =
			&g_array_index(sender->kept, struct kept_document, i);

		if (kept->version == version)
			return kept;
	}
	return NULL;
}

static void drop_unused(struct routes_sender *sender, int64_t now_ms)
{
	for (guint i = sender->kept->len; i-- > 0;)
		if (now_ms -
			    g_array_index(sender->kept, struct kept_document, i)
				    .asked_ms >
		    DOCUMENT_KEEP_MS)
			g_array_remove_index(sender->kept, i);
	/* The newest is the one in force. */
	if (sender->kept->len > DOCUMENTS_KEPT_MAX + 1)
		g_array_remove_index(sender->kept, 0);
}

static struct kept_document *keep(struct routes_sender *sender,
				  uint64_t version, GBytes *document)
{
	struct kept_document fresh = { .version = version,
				       .document = g_bytes_ref(document) };

	g_array_append_val(sender->kept, fresh);
	return &g_array_index(sender->kept, struct kept_document,
			      sender->kept->len - 1);
}

/* ---- Parts ----------------------------------------------------------- */

/* The document that is being fetched, also if a newer one has replaced it: a
 * fetch must end however often the routes change. */
static bool find_document(struct coordinator *c,
			  const struct Cfw__RoutesRequest *request,
			  struct image *image)
{
	int64_t now_ms = loop_now_ms(c->loop);
	uint64_t version;
	GBytes *routes = cf_config_routes(c->config, &version);
	struct kept_document *kept = NULL;

	if (request->whole)
		kept = find_kept(c->routes_sender, request->version);
	if (!kept && (!routes || version <= request->known_version))
		return false;
	if (!kept)
		kept = find_kept(c->routes_sender, version);
	if (!kept)
		kept = keep(c->routes_sender, version, routes);
	kept->asked_ms = now_ms;
	*image = (struct image){ kept->version, true, kept->document };
	drop_unused(c->routes_sender, now_ms);
	return true;
}

static bool find_image(struct coordinator *c,
		       const struct Cfw__RoutesRequest *request,
		       struct image *image)
{
	if (request->whole)
		return find_document(c, request, image);
	image->whole = false;
	image->bytes = cf_config_routes_change(
		c->config, request->known_version, &image->version);
	return image->bytes || find_document(c, request, image);
}

static void count_fetch(struct coordinator *c, const struct link *link,
			const struct Cfw__RoutesRequest *request,
			const struct image *image)
{
	size_t size = g_bytes_get_size(image->bytes);

	counter_add(image->whole ? c->counters.routes_documents
				 : c->counters.routes_changes,
		    1);
	log_event(LOG_INFO, "routes_sent",
		  "peer=%s known=%" G_GUINT64_FORMAT
		  " version=%" G_GUINT64_FORMAT " whole=%s bytes=%zu",
		  link_peer(link)->name, request->known_version, image->version,
		  image->whole ? "true" : "false", size);
}

static void fill_part(const struct Cfw__RoutesRequest *request,
		      const struct image *image, struct Cfw__RoutesPart *part)
{
	gsize size;
	const uint8_t *data = g_bytes_get_data(image->bytes, &size);

	part->version = image->version;
	part->whole = image->whole;
	part->total_bytes = size;
	if (request->version == image->version &&
	    request->whole == image->whole && request->offset < size)
		part->offset = request->offset;
	part->data.data = (uint8_t *)data + part->offset;
	part->data.len = MIN(PART_MAX_BYTES, size - part->offset);
}

void coordinator_routes_request(struct coordinator *c, struct link *link,
				const struct Cfw__RoutesRequest *request)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	struct Cfw__RoutesPart part = CFW__ROUTES_PART__INIT;
	struct image image;

	part.seq = request->seq;
	if (find_image(c, request, &image))
		fill_part(request, &image, &part);
	if (part.version && !part.offset)
		count_fetch(c, link, request, &image);
	counter_add(c->counters.routes_bytes, (int64_t)part.data.len);
	envelope.body_case = CFW__ENVELOPE__BODY_ROUTES_PART;
	envelope.routes_part = &part;
	link_send(link, &envelope);
}
