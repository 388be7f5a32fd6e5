/*
 * counters: named 64-bit counters and gauges of this process, printed in
 * the Prometheus text format. Any thread may change a value, which is one
 * atomic operation. Counters are never freed.
 */
#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

struct counter;

/* Returns the counter with this name ("dispatch_sent_total") and labels
 * ("kind=\"open\"" or NULL), and creates it if needed. The lookup takes a
 * lock, so callers should keep the pointer. help is needed in one call per
 * name only; it may be NULL in the others. */
struct counter *counter_get(const char *name, const char *labels,
			    const char *help);
struct counter *gauge_get(const char *name, const char *labels,
			  const char *help);
void counter_add(struct counter *counter, int64_t amount);
void gauge_set(struct counter *gauge, int64_t value);
int64_t counter_value(const struct counter *counter);
/* Prints all counters and gauges, as chervilferry_<name>. */
void counters_print(GString *out);

#endif
