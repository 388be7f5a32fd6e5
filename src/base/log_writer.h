/*
 * log_writer: lines to standard output from a thread of its own, so that
 * whoever logs never waits. What is kept for a reader that doesn't read
 * is bounded, and so are the lines a second; what is left out is counted
 * and said once there is room. Any thread may add.
 */
#ifndef BASE_LOG_WRITER_H
#define BASE_LOG_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOG_BUFFER_MAX_BYTES (1U << 20) /* not yet written */
#define LOG_MAX_LINES_PER_S 4000 /* of those that repeat */

struct log_writer;

struct log_writer *log_writer_create(int descriptor);
/* A whole line. An important one is left out only when no bytes are left,
 * another one also above the lines a second. False: it was left out. */
bool log_writer_add(struct log_writer *writer, const char *line, bool important,
		    int64_t now_ms);
uint64_t log_writer_dropped_lines(struct log_writer *writer);
/* Writes what is kept, waiting no longer than this for the reader. */
void log_writer_flush(struct log_writer *writer, int64_t wait_ms);
void log_writer_destroy(struct log_writer *writer); /* flushes for a while */

#endif
