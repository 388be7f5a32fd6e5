/*
 * trace_centres: the data centres out of service, as the "accept" events of
 * the coordinators tell. Every coordinator writes one when it applies a
 * change, and again when it reads its log after a restart, so that a change
 * whose leader was lost is recorded too. An event of an older revision than the
 * newest of its data centre changes nothing.
 *
 * A data centre is out from the time at which the leader applied the change.
 * Followers may apply it before a leader whose disk is slow, which grants
 * leases under the former revision until then. So if only followers have
 * applied it, the data centre is out from the end of such a lease.
 */
#ifndef LIB_TRACE_CENTRES_H
#define LIB_TRACE_CENTRES_H

#include "lib/trace_parse.h"

struct trace_centres;

struct trace_centres *trace_centres_create(void);
void trace_centres_destroy(struct trace_centres *centres);
/* Call in the order of time. The record must outlive the centres. */
void trace_centres_accept(struct trace_centres *centres,
			  const struct trace_record *record);
/* Sets *since_us and returns true if the data centre is out of service. */
bool trace_centres_is_out(const struct trace_centres *centres, const char *name,
			  int64_t *since_us);

#endif
