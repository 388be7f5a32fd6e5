/*
 * trace_file: the event trace of this process (--trace FILE), with one line
 * per event. A thread of its own writes buffered events to the file. Any
 * thread may add events; without a file the calls do nothing. The gauge
 * trace_unwritten_events is 0 when all events are in the file.
 *
 * Format of a line: "t=<monotonic us> w=<wall us> p=<process name>
 * i=<incarnation, hexadecimal> n=<event number> e=<event> <fields>". Fields
 * are key=value without spaces. Monotonic times can be compared only on the
 * same machine.
 */
#ifndef BASE_TRACE_FILE_H
#define BASE_TRACE_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Opens the file for appending. Only one file may be open at a time. */
bool trace_open(const char *path, const char *name, uint64_t incarnation,
		GError **error);
void trace_event(const char *event, const char *fields, ...)
	__attribute__((format(printf, 2, 3)));
bool trace_enabled(void);
void trace_close(void); /* writes the buffered events first */

#endif
