/*
 * routes_reader: see routes_reader.h.
 */
#include "leased/routes_reader.h"

/* ---- Types ---------------------------------------------------------- */

struct routes_reader {
	struct loop *loop;
	const struct formats *formats;
	routes_read_fn *fn;
	void *arg;
	GThread *thread;
	GMutex lock; /* guards the fields below */
	GCond changed;
	GBytes *waiting; /* document to read next, or NULL */
	bool stopping;
};

struct result {
	struct routes_reader *reader;
	struct routes *routes;
	GError *error;
};

/* ---- Loop thread ----------------------------------------------------- */

static void deliver(void *arg)
{
	struct result *result = arg;
	struct routes_reader *reader = result->reader;

	reader->fn(reader->arg, result->routes, result->error);
	g_clear_error(&result->error);
	g_free(result);
}

void routes_reader_read(struct routes_reader *reader, GBytes *document)
{
	g_mutex_lock(&reader->lock);
	if (reader->waiting)
		g_bytes_unref(reader->waiting);
	reader->waiting = g_bytes_ref(document);
	g_cond_signal(&reader->changed);
	g_mutex_unlock(&reader->lock);
}

/* ---- Reading thread --------------------------------------------------- */

/* Returns NULL when the reader is to stop. */
static GBytes *wait_for_document(struct routes_reader *reader)
{
	GBytes *document;

	g_mutex_lock(&reader->lock);
	while (!reader->waiting && !reader->stopping)
		g_cond_wait(&reader->changed, &reader->lock);
	document = reader->stopping ? NULL : g_steal_pointer(&reader->waiting);
	g_mutex_unlock(&reader->lock);
	return document;
}

static void read_document(struct routes_reader *reader, GBytes *document)
{
	struct result *result = g_new0(struct result, 1);
	gsize size;
	const void *data = g_bytes_get_data(document, &size);
	uint64_t version = 0;
	GArray *list = reader->formats->read_routes(data, size, &version,
						    &result->error);

	result->reader = reader;
	if (list) {
		result->routes = routes_create(list, version);
		g_array_unref(list);
	}
	loop_post(reader->loop, deliver, result);
}

static gpointer run(gpointer arg)
{
	struct routes_reader *reader = arg;
	GBytes *document;

	while ((document = wait_for_document(reader))) {
		read_document(reader, document);
		g_bytes_unref(document);
	}
	return NULL;
}

/* ---- Create and destroy --------------------------------------------- */

struct routes_reader *routes_reader_create(struct loop *loop,
					   const struct formats *formats,
					   routes_read_fn *fn, void *arg)
{
	struct routes_reader *reader = g_new0(struct routes_reader, 1);

	reader->loop = loop;
	reader->formats = formats;
	reader->fn = fn;
	reader->arg = arg;
	g_mutex_init(&reader->lock);
	g_cond_init(&reader->changed);
	reader->thread = g_thread_new("routes", run, reader);
	return reader;
}

void routes_reader_destroy(struct routes_reader *reader)
{
	if (!reader)
		return;
	g_mutex_lock(&reader->lock);
	reader->stopping = true;
	g_cond_signal(&reader->changed);
	g_mutex_unlock(&reader->lock);
	g_thread_join(reader->thread);
	if (reader->waiting)
		g_bytes_unref(reader->waiting);
	g_cond_clear(&reader->changed);
	g_mutex_clear(&reader->lock);
	g_free(reader);
}
