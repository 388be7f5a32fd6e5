/*
 * log_writer: writes log lines, usually to standard output, from a thread
 * of its own, so that the threads that log never block. The buffer for a
 * slow reader and the number of lines per second are bounded. Lines over a
 * bound are dropped and counted; the count is logged with the next lines
 * that are written. Any thread may add lines.
 */
#ifndef BASE_LOG_WRITER_H
#define BASE_LOG_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Most bytes of lines that are not written yet. */
#define LOG_BUFFER_MAX_BYTES (1U << 20)
/* Most unimportant lines per second. */
#define LOG_MAX_LINES_PER_S 4000

struct log_writer;

struct log_writer *log_writer_create(int descriptor);
/* Adds a line that ends with a newline. An important line is dropped only if
 * the buffer is full, any other also above LOG_MAX_LINES_PER_S. Returns
 * false if the line was dropped. */
bool log_writer_add(struct log_writer *writer, const char *line, bool important,
		    int64_t now_ms);
uint64_t log_writer_dropped_lines(struct log_writer *writer);
/* Waits until all lines are written, at most wait_ms. */
void log_writer_flush(struct log_writer *writer, int64_t wait_ms);
/* Flushes first, but does not wait long for a reader that is stuck. */
void log_writer_destroy(struct log_writer *writer);

#endif
