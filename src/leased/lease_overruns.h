/*
 * lease_overruns: how long runs outlive the end of their dispatcher's lease, as
 * a histogram of counters. The present time is an argument; the module does no
 * I/O. It is not thread-safe.
 */
#ifndef LEASED_LEASE_OVERRUNS_H
#define LEASED_LEASE_OVERRUNS_H

#include <stdbool.h>
#include <stdint.h>

struct lease_overruns;

struct lease_overruns *lease_overruns_create(void);
void lease_overruns_destroy(struct lease_overruns *overruns);
/* Counts a run that has ended. Returns true if it outlived the lease by more
 * than RUN_OUTLIVE_MAX_MS and is to be logged, together with n_unlogged others
 * since the last one that was. */
bool lease_overruns_add(struct lease_overruns *overruns, int64_t outlived_ms,
			int64_t now_ms, uint32_t *n_unlogged);

#endif
