/*
 * log_writer: see log_writer.h. Lines gather in one buffer; the thread
 * takes it whole and writes it while the next one fills.
 */
#include "base/log_writer.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* ---- Constants ------------------------------------------------------ */

#define GATHER_US 50000 /* lines that come together are written together */
#define WRITE_MAX_BYTES 4096 /* a pipe that polls writable takes so much */
#define POLL_MS 100
#define DESTROY_WAIT_MS 200
#define MS_PER_S 1000

/* ---- Types ---------------------------------------------------------- */

struct log_writer {
	int descriptor;
	GThread *thread;
	GMutex lock;
	GCond filled, written;
	GString *kept; /* under the lock, as all that follows */
	size_t writing_bytes; /* taken by the thread, not yet out */
	int64_t second; /* that lines are counted in */
	uint32_t lines;
	uint64_t left_out, told_left_out;
	bool stopping;
};

/* ---- Writing -------------------------------------------------------- */

static bool is_stopping(struct log_writer *w)
{
	bool stopping;

	g_mutex_lock(&w->lock);
	stopping = w->stopping;
	g_mutex_unlock(&w->lock);
	return stopping;
}

/* Gives up on a closed descriptor, and on a stuck one when stopping. */
static void write_all(struct log_writer *w, const char *text, size_t left)
{
	while (left) {
		struct pollfd fd = { .fd = w->descriptor, .events = POLLOUT };
		ssize_t n;

		if (poll(&fd, 1, POLL_MS) <= 0) {
			if (is_stopping(w))
				return;
			continue;
		}
		n = write(w->descriptor, text, MIN(left, WRITE_MAX_BYTES));
		if (n < 0 && errno != EINTR && errno != EAGAIN)
			return;
		if (n <= 0)
			continue;
		text += n;
		left -= (size_t)n;
	}
}

static void add_left_out(struct log_writer *w)
{
	uint64_t n = w->left_out - w->told_left_out;

	if (!n)
		return;
	g_string_append_printf(
		w->kept,
		"event=log_lines_left_out lines=%" G_GUINT64_FORMAT "\n", n);
	w->told_left_out = w->left_out;
}

static GString *take(struct log_writer *w)
{
	GString *taken = NULL;

	g_mutex_lock(&w->lock);
	while (!w->kept->len && !w->stopping)
		g_cond_wait(&w->filled, &w->lock);
	add_left_out(w);
	if (w->kept->len) {
		taken = w->kept;
		w->kept = g_string_new(NULL);
		w->writing_bytes = taken->len;
	}
	g_mutex_unlock(&w->lock);
	return taken;
}

static gpointer run(gpointer arg)
{
	struct log_writer *w = arg;
	GString *taken;

	while ((taken = take(w))) {
		write_all(w, taken->str, taken->len);
		g_string_free(taken, TRUE);
		g_mutex_lock(&w->lock);
		w->writing_bytes = 0;
		g_cond_broadcast(&w->written);
		g_mutex_unlock(&w->lock);
		if (!is_stopping(w))
			g_usleep(GATHER_US);
	}
	return NULL;
}

/* ---- Public functions ----------------------------------------------- */

struct log_writer *log_writer_create(int descriptor)
{
	struct log_writer *w = g_new0(struct log_writer, 1);

	w->descriptor = descriptor;
	w->kept = g_string_new(NULL);
	g_mutex_init(&w->lock);
	g_cond_init(&w->filled);
	g_cond_init(&w->written);
	w->thread = g_thread_new("log", run, w);
	return w;
}

static bool may_add(struct log_writer *w, size_t size_bytes, bool important,
		    int64_t now_ms)
{
	if (w->second != now_ms / MS_PER_S) {
		w->second = now_ms / MS_PER_S;
		w->lines = 0;
	}
	if (w->kept->len + w->writing_bytes + size_bytes > LOG_KEPT_MAX_BYTES)
		return false;
	return important || w->lines++ < LOG_LINES_PER_S;
}

bool log_writer_add(struct log_writer *w, const char *line, bool important,
		    int64_t now_ms)
{
	size_t size_bytes = strlen(line);
	bool taken;

	g_mutex_lock(&w->lock);
	taken = may_add(w, size_bytes, important, now_ms);
	if (taken) {
		g_string_append_len(w->kept, line, (gssize)size_bytes);
		if (w->kept->len == size_bytes)
			g_cond_signal(&w->filled);
	} else {
		w->left_out++;
	}
	g_mutex_unlock(&w->lock);
	return taken;
}

uint64_t log_writer_left_out(struct log_writer *w)
{
	uint64_t left_out;

	g_mutex_lock(&w->lock);
	left_out = w->left_out;
	g_mutex_unlock(&w->lock);
	return left_out;
}

void log_writer_flush(struct log_writer *w, int64_t wait_ms)
{
	gint64 end_us = g_get_monotonic_time() + wait_ms * MS_PER_S;

	g_mutex_lock(&w->lock);
	while (w->kept->len || w->writing_bytes)
		if (!g_cond_wait_until(&w->written, &w->lock, end_us))
			break;
	g_mutex_unlock(&w->lock);
}

void log_writer_destroy(struct log_writer *w)
{
	if (!w)
		return;
	log_writer_flush(w, DESTROY_WAIT_MS);
	g_mutex_lock(&w->lock);
	w->stopping = true;
	g_cond_signal(&w->filled);
	g_mutex_unlock(&w->lock);
	g_thread_join(w->thread);
	g_string_free(w->kept, TRUE);
	g_mutex_clear(&w->lock);
	g_cond_clear(&w->filled);
	g_cond_clear(&w->written);
	g_free(w);
}
