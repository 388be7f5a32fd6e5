/*
 * trace_event appends to a buffer. As soon as it holds an event, the writer
 * thread swaps it for an empty one and writes it to the file.
 */
#include "base/trace_file.h"

#include "base/clock.h"
#include "base/counters.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <unistd.h>

static atomic_bool enabled;
static GMutex lock;
static GCond not_empty;
static GString *buffer; /* guarded by lock */
static bool closing; /* guarded by lock */
static uint64_t next_event_number; /* guarded by lock */
static int64_t buffered_events; /* guarded by lock */
static struct counter *unwritten; /* events not yet in the file */
static GThread *writer;
static int trace_fd = -1;
static char *process_name;
static uint64_t process_incarnation;

static void write_all(const GString *lines)
{
	size_t done = 0;

	while (done < lines->len) {
		ssize_t n =
			write(trace_fd, lines->str + done, lines->len - done);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		done += (size_t)n;
	}
}

static gpointer run_writer(gpointer unused)
{
	GString *spare = g_string_new(NULL);
	bool done = false;

	(void)unused;
	while (!done) {
		GString *lines;
		int64_t events;

		g_mutex_lock(&lock);
		while (!buffer->len && !closing)
			g_cond_wait(&not_empty, &lock);
		done = closing;
		lines = buffer;
		buffer = spare;
		events = buffered_events;
		buffered_events = 0;
		g_mutex_unlock(&lock);
		write_all(lines);
		counter_add(unwritten, -events);
		g_string_truncate(lines, 0);
		spare = lines;
	}
	g_string_free(spare, TRUE);
	return NULL;
}

/* Removes the incomplete last line that a killed process may have left, so
 * that the next event starts on a line of its own. */
static void truncate_partial_line(int fd)
{
	off_t size = lseek(fd, 0, SEEK_END);
	char byte = '\n';

	while (size > 0 && pread(fd, &byte, 1, size - 1) == 1 && byte != '\n')
		size--;
	if (ftruncate(fd, size))
		g_warning("trace file: %s", g_strerror(errno));
}

bool trace_open(const char *path, const char *name, uint64_t incarnation,
		GError **error)
{
	trace_fd = open(path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (trace_fd < 0) {
		g_set_error(error, G_FILE_ERROR,
			    (gint)g_file_error_from_errno(errno),
			    "trace file %s: %s", path, g_strerror(errno));
		return false;
	}
	truncate_partial_line(trace_fd);
	process_name = g_strdup(name);
	process_incarnation = incarnation;
	buffer = g_string_new(NULL);
	closing = false;
	next_event_number = 1;
	buffered_events = 0;
	unwritten = gauge_get("trace_unwritten_events", NULL,
			      "events that are not in the trace file yet");
	writer = g_thread_new("trace", run_writer, NULL);
	atomic_store(&enabled, true);
	return true;
}

bool trace_enabled(void)
{
	return atomic_load_explicit(&enabled, memory_order_relaxed);
}

void trace_event(const char *event, const char *fields, ...)
{
	va_list args;

	if (!trace_enabled())
		return;
	g_mutex_lock(&lock);
	if (buffer && !closing) {
		buffered_events++;
		counter_add(unwritten, 1);
		g_string_append_printf(
			buffer,
			"t=%" G_GINT64_FORMAT " w=%" G_GINT64_FORMAT
			" p=%s i=%016" G_GINT64_MODIFIER
			"x n=%" G_GUINT64_FORMAT " e=%s",
			clock_now_us(), g_get_real_time(), process_name,
			process_incarnation, next_event_number++, event);
		if (fields) {
			g_string_append_c(buffer, ' ');
			va_start(args, fields);
			g_string_append_vprintf(buffer, fields, args);
			va_end(args);
		}
		g_string_append_c(buffer, '\n');
		g_cond_signal(&not_empty);
	}
	g_mutex_unlock(&lock);
}

void trace_close(void)
{
	if (!atomic_exchange(&enabled, false))
		return;
	g_mutex_lock(&lock);
	closing = true;
	g_cond_signal(&not_empty);
	g_mutex_unlock(&lock);
	g_thread_join(writer);
	close(trace_fd);
	trace_fd = -1;
	g_mutex_lock(&lock);
	g_string_free(buffer, TRUE);
	buffer = NULL;
	g_mutex_unlock(&lock);
	g_clear_pointer(&process_name, g_free);
}
