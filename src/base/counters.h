/*
 * counters: named 64-bit counters and gauges of this process, printed
 * in the Prometheus text format. Adding is one atomic operation, from
 * any thread; a counter lives as long as the process.
 */
#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

struct counter;

/* The counter of a name ("dispatch_sent_total") and labels
 * ("kind=\"open\"" or NULL); the same arguments give the same one.
 * Takes a lock: keep the pointer. help may be NULL after the first. */
struct counter *counter_get(const char *name, const char *labels,
			    const char *help);
struct counter *gauge_get(const char *name, const char *labels,
			  const char *help);
void counter_add(struct counter *counter, int64_t amount);
void gauge_set(struct counter *gauge, int64_t value);
int64_t counter_value(const struct counter *counter);
void counters_print(GString *out); /* all, as chervilferry_<name> */

#endif
