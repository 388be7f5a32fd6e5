/*
 * trace_file: the event trace of this process (--trace FILE), one line
 * an event, buffered and written by its own thread. Any thread may
 * write; without a file every call returns at once. The gauge
 * trace_unwritten_events is 0 once the file holds every event.
 *
 * Line: "t=<monotonic us> w=<wall us> p=<name> i=<incarnation hex>
 * n=<number in file> e=<event> <fields>". Fields are key=value without
 * spaces. Monotonic time is comparable on one machine only.
 */
#ifndef BASE_TRACE_FILE_H
#define BASE_TRACE_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

bool trace_open(const char *path, const char *name, uint64_t incarnation,
		GError **error); /* once; appends */
void trace_event(const char *event, const char *fields, ...)
	__attribute__((format(printf, 2, 3)));
bool trace_enabled(void);
void trace_close(void); /* writes what is buffered */

#endif
