/*
 * Lines are collected in one buffer. The writer thread takes the whole
 * buffer and writes it while new lines go into the next one.
 */
#include "base/log_writer.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* ---- Constants ------------------------------------------------------ */

/* Pause after a write, so that lines that arrive together are written
 * together. */
#define BATCH_DELAY_US 50000
/* A pipe that polls as writable accepts this much without blocking. */
#define WRITE_CHUNK_BYTES 4096
#define POLL_TIMEOUT_MS 100
#define DESTROY_FLUSH_MS 200
#define MS_PER_S 1000

/* ---- Types ---------------------------------------------------------- */

struct log_writer {
	int descriptor;
	GThread *thread;
	GMutex lock;
	GCond not_empty, flushed;
	GString *buffer; /* guarded by lock, as all fields below */
	size_t in_flight_bytes; /* taken by the thread, not yet written */
	int64_t current_second; /* of the rate limit */
	uint32_t lines_this_second;
	uint64_t dropped_lines, reported_dropped_lines;
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

/* Discards the rest if the descriptor is closed, or if it is not writable while
 * the writer is stopping. */
static void write_all(struct log_writer *w, const char *text, size_t left)
{
	while (left) {
		struct pollfd fd = { .fd = w->descriptor, .events = POLLOUT };
		ssize_t n;

		if (poll(&fd, 1, POLL_TIMEOUT_MS) <= 0) {
			if (is_stopping(w))
				return;
			continue;
		}
		n = write(w->descriptor, text, MIN(left, WRITE_CHUNK_BYTES));
		if (n < 0 && errno != EINTR && errno != EAGAIN)
			return;
		if (n <= 0)
			continue;
		text += n;
		left -= (size_t)n;
	}
}

static void append_dropped_notice(struct log_writer *w)
{
	uint64_t n = w->dropped_lines - w->reported_dropped_lines;

	if (!n)
		return;
	g_string_append_printf(
		w->buffer,
		"event=log_lines_left_out lines=%" G_GUINT64_FORMAT "\n", n);
	w->reported_dropped_lines = w->dropped_lines;
}

static GString *take_buffer(struct log_writer *w)
{
	GString *taken = NULL;

	g_mutex_lock(&w->lock);
	while (!w->buffer->len && !w->stopping)
		g_cond_wait(&w->not_empty, &w->lock);
	append_dropped_notice(w);
	if (w->buffer->len) {
		taken = w->buffer;
		w->buffer = g_string_new(NULL);
		w->in_flight_bytes = taken->len;
	}
	g_mutex_unlock(&w->lock);
	return taken;
}

static gpointer writer_thread(gpointer arg)
{
	struct log_writer *w = arg;
	GString *taken;

	while ((taken = take_buffer(w))) {
		write_all(w, taken->str, taken->len);
		g_string_free(taken, TRUE);
		g_mutex_lock(&w->lock);
		w->in_flight_bytes = 0;
		g_cond_broadcast(&w->flushed);
		g_mutex_unlock(&w->lock);
		if (!is_stopping(w))
			g_usleep(BATCH_DELAY_US);
	}
	return NULL;
}

/* ---- Public functions ----------------------------------------------- */

struct log_writer *log_writer_create(int descriptor)
{
	struct log_writer *w = g_new0(struct log_writer, 1);

	w->descriptor = descriptor;
	w->buffer = g_string_new(NULL);
	g_mutex_init(&w->lock);
	g_cond_init(&w->not_empty);
	g_cond_init(&w->flushed);
	w->thread = g_thread_new("log", writer_thread, w);
	return w;
}

static bool is_within_limits(struct log_writer *w, size_t size_bytes,
			     bool important, int64_t now_ms)
{
	if (w->current_second != now_ms / MS_PER_S) {
		w->current_second = now_ms / MS_PER_S;
		w->lines_this_second = 0;
	}
	if (w->buffer->len + w->in_flight_bytes + size_bytes >
	    LOG_BUFFER_MAX_BYTES)
		return false;
	return important || w->lines_this_second++ < LOG_MAX_LINES_PER_S;
}

bool log_writer_add(struct log_writer *w, const char *line, bool important,
		    int64_t now_ms)
{
	size_t size_bytes = strlen(line);
	bool taken;

	g_mutex_lock(&w->lock);
	taken = is_within_limits(w, size_bytes, important, now_ms);
	if (taken) {
		g_string_append_len(w->buffer, line, (gssize)size_bytes);
		if (w->buffer->len == size_bytes)
			g_cond_signal(&w->not_empty);
	} else {
		w->dropped_lines++;
	}
	g_mutex_unlock(&w->lock);
	return taken;
}

uint64_t log_writer_dropped_lines(struct log_writer *w)
{
	uint64_t dropped_lines;

	g_mutex_lock(&w->lock);
	dropped_lines = w->dropped_lines;
	g_mutex_unlock(&w->lock);
	return dropped_lines;
}

void log_writer_flush(struct log_writer *w, int64_t wait_ms)
{
	gint64 end_us = g_get_monotonic_time() + wait_ms * MS_PER_S;

	g_mutex_lock(&w->lock);
	while (w->buffer->len || w->in_flight_bytes)
		if (!g_cond_wait_until(&w->flushed, &w->lock, end_us))
			break;
	g_mutex_unlock(&w->lock);
}

void log_writer_destroy(struct log_writer *w)
{
	if (!w)
		return;
	log_writer_flush(w, DESTROY_FLUSH_MS);
	g_mutex_lock(&w->lock);
	w->stopping = true;
	g_cond_signal(&w->not_empty);
	g_mutex_unlock(&w->lock);
	g_thread_join(w->thread);
	g_string_free(w->buffer, TRUE);
	g_mutex_clear(&w->lock);
	g_cond_clear(&w->not_empty);
	g_cond_clear(&w->flushed);
	g_free(w);
}
