/*
 * drain: decides what a dispatcher does from SIGTERM to its exit, and which
 * jobs that arrive meanwhile it still runs.
 *
 * Load balancers send requests until they have seen that the process is not
 * ready. Then no connection is accepted any more and connections without a
 * request in progress are closed. Requests on the other ones are served if
 * they can end before the jobs that remain are aborted.
 *
 * The module does no I/O and reads no clock.
 */
#ifndef LEASED_DRAIN_H
#define LEASED_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

enum drain_phase {
	DRAIN_ACCEPTING, /* new connections are accepted */
	DRAIN_CLOSING, /* idle connections are closed */
	DRAIN_ABORTING, /* the remaining jobs are aborted and answered */
	DRAIN_ENDED, /* the process exits */
};

struct drain {
	enum drain_phase phase;
	int64_t close_ms; /* when it is to begin */
	int64_t abort_ms;
	int64_t end_ms; /* set when jobs are aborted */
};

/* wait_ms: time that requests in progress get to end. */
void drain_begin(struct drain *drain, int64_t wait_ms, int64_t now_ms);
/* Returns the phase that follows, at most one after the present one: a process
 * that didn't run for a while must not skip what a phase does. connections:
 * those that are open. Without any, the process exits as soon as load balancers
 * send no more. */
enum drain_phase drain_next(struct drain *drain, uint32_t connections,
			    int64_t now_ms);
/* True if a job with this predicted run time can end before it would be
 * aborted. */
bool drain_can_run(const struct drain *drain, uint32_t predicted_ms,
		   int64_t now_ms);

#endif
