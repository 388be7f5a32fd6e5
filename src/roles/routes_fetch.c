/*
 * routes_fetch: see routes_fetch.h.
 */
#include "roles/routes_fetch.h"

#include "base/logger.h"

#include <inttypes.h>

/* ---- Constants ------------------------------------------------------ */

#define ANSWER_TIMEOUT_MS 1000
/* Later ones needn't be known: the oldest tells how far behind the holder is.
 */
#define UNAPPLIED_MAX 64
/* Coordinators take operators' documents up to 8 MiB. */
#define IMAGE_MAX_BYTES (16U << 20)

/* ---- Types ---------------------------------------------------------- */

/* A version that was in force when a lease was granted. */
struct known_version {
	uint64_t version;
	int64_t since_ms;
};

struct routes_fetch {
	struct cf_config *config;
	uint64_t in_force; /* version, as of the newest lease */
	uint64_t goal; /* in force when the fetch began */
	uint64_t applied; /* the holder goes by it */
	GArray *unapplied; /* struct known_version, oldest first */
	uint64_t seq; /* of the newest request */
	bool requested; /* and not answered */
	int64_t requested_ms;
	bool change_failed; /* the document is needed */
	/* What is being fetched: a change or, if whole, a document. */
	uint64_t version; /* 0: nothing yet */
	bool whole;
	uint64_t total_bytes;
	GByteArray *image;
};

/* ---- Create and destroy --------------------------------------------- */

struct routes_fetch *routes_fetch_create(struct cf_config *config)
{
	struct routes_fetch *fetch = g_new0(struct routes_fetch, 1);

	fetch->config = config;
	fetch->image = g_byte_array_new();
	fetch->unapplied =
		g_array_new(FALSE, FALSE, sizeof(struct known_version));
	return fetch;
}

void routes_fetch_destroy(struct routes_fetch *fetch)
{
	if (!fetch)
		return;
	g_byte_array_unref(fetch->image);
	g_array_unref(fetch->unapplied);
	g_free(fetch);
}

/* ---- Versions -------------------------------------------------------- */

static uint64_t known_version(const struct routes_fetch *fetch)
{
	uint64_t version;

	cf_config_routes(fetch->config, &version);
	return version;
}

bool routes_fetch_is_behind(const struct routes_fetch *fetch)
{
	return fetch->in_force > known_version(fetch);
}

static void add_unapplied(struct routes_fetch *fetch, uint64_t version,
			  int64_t now_ms)
{
	struct known_version known = { version, now_ms };

	if (version > fetch->applied && fetch->unapplied->len < UNAPPLIED_MAX)
		g_array_append_val(fetch->unapplied, known);
}

void routes_fetch_set_in_force(struct routes_fetch *fetch, uint64_t version,
			       int64_t now_ms)
{
	bool was_behind = routes_fetch_is_behind(fetch);

	if (version <= fetch->in_force)
		return;
	fetch->in_force = version;
	add_unapplied(fetch, version, now_ms);
	if (!was_behind)
		fetch->goal = version;
}

void routes_fetch_set_applied(struct routes_fetch *fetch, uint64_t version)
{
	guint n = 0;

	fetch->applied = MAX(fetch->applied, version);
	while (n < fetch->unapplied->len &&
	       g_array_index(fetch->unapplied, struct known_version, n)
			       .version <= version)
		n++;
	if (n)
		g_array_remove_range(fetch->unapplied, 0, n);
}

int64_t routes_fetch_behind_ms(const struct routes_fetch *fetch, int64_t now_ms)
{
	if (!fetch->unapplied->len)
		return 0;
	return MAX(1, now_ms - g_array_index(fetch->unapplied,
					     struct known_version, 0)
				       .since_ms);
}

/* ---- Requests ------------------------------------------------------- */

bool routes_fetch_next(struct routes_fetch *fetch, int64_t now_ms,
		       Cfw__RoutesRequest *request)
{
	if (!routes_fetch_is_behind(fetch))
		return false;
	if (fetch->requested &&
	    now_ms - fetch->requested_ms < ANSWER_TIMEOUT_MS)
		return false;
	request->seq = ++fetch->seq;
	request->known_version = fetch->change_failed ? 0
						      : known_version(fetch);
	request->version = fetch->version;
	request->offset = fetch->image->len;
	request->whole = fetch->whole;
	fetch->requested = true;
	fetch->requested_ms = now_ms;
	return true;
}

void routes_fetch_forget_request(struct routes_fetch *fetch)
{
	fetch->requested = false;
}

/* ---- Parts ----------------------------------------------------------- */

static void clear_image(struct routes_fetch *fetch)
{
	fetch->version = 0;
	fetch->whole = false;
	fetch->total_bytes = 0;
	g_byte_array_unref(fetch->image);
	fetch->image = g_byte_array_new();
}

/* Returns false if the part doesn't continue what has come. */
static bool add_part(struct routes_fetch *fetch, const Cfw__RoutesPart *part)
{
	bool same = part->version == fetch->version &&
		    part->whole == fetch->whole &&
		    part->total_bytes == fetch->total_bytes;

	if (!same || !part->offset)
		clear_image(fetch);
	if (part->offset != fetch->image->len || !part->data.len ||
	    part->total_bytes > IMAGE_MAX_BYTES ||
	    part->data.len > part->total_bytes - part->offset)
		return false;
	fetch->version = part->version;
	fetch->whole = part->whole;
	fetch->total_bytes = part->total_bytes;
	g_byte_array_append(fetch->image, part->data.data,
			    (guint)part->data.len);
	return true;
}

static bool apply_image(struct routes_fetch *fetch, GBytes *image,
			GError **error)
{
	if (fetch->whole)
		return cf_config_set_routes(fetch->config, fetch->version,
					    image);
	return cf_config_change_routes(fetch->config, fetch->version, image,
				       error);
}

/* All parts have come. */
static void finish_image(struct routes_fetch *fetch, int64_t now_ms)
{
	g_autoptr(GBytes) image = g_byte_array_free_to_bytes(fetch->image);
	g_autoptr(GError) error = NULL;
	bool applied;

	fetch->image = g_byte_array_new();
	applied = apply_image(fetch, image, &error);
	log_event(applied ? LOG_INFO : LOG_WARN, "routes_fetched",
		  "version=%" PRIu64 " whole=%d bytes=%zu applied=%d "
		  "behind_ms=%" PRId64 " why=\"%s\"",
		  fetch->version, fetch->whole, g_bytes_get_size(image),
		  applied, routes_fetch_behind_ms(fetch, now_ms),
		  error ? error->message : "");
	fetch->change_failed = !applied && !fetch->whole;
	clear_image(fetch);
}

bool routes_fetch_take(struct routes_fetch *fetch, const Cfw__RoutesPart *part,
		       int64_t now_ms)
{
	/* A coordinator without newer routes is asked again after the timeout.
	 */
	if (!fetch->requested || part->seq != fetch->seq || !part->version)
		return false;
	fetch->requested = false;
	if (!add_part(fetch, part)) {
		clear_image(fetch);
		return false;
	}
	if (fetch->image->len < fetch->total_bytes)
		return false;
	finish_image(fetch, now_ms);
	if (known_version(fetch) < fetch->goal)
		return false;
	fetch->goal = fetch->in_force;
	return true;
}
