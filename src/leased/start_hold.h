/*
 * start_hold: decides whether a job that arrives while a dispatcher starts is
 * held until the dispatcher can serve it. After a power failure or a restart,
 * routes and the first agents are known within a second, and a job that is
 * refused in that time is lost to its caller.
 *
 * A job is held for at most START_HOLD_MS after the process started and for at
 * most half of the time that its caller waits. The number of held jobs is
 * limited. Once the dispatcher could serve, no job is held any more.
 *
 * The module does no I/O and reads no clock. It is not thread-safe.
 *
 *	struct start_hold *hold = start_hold_create(now_ms);
 *	start_hold_arrive(hold, &job, can_serve, now_ms);
 *	while ((caller = start_hold_next(hold, can_serve, now_ms, &verdict)))
 *		...
 */
#ifndef LEASED_START_HOLD_H
#define LEASED_START_HOLD_H

#include "leased/run_table.h"

#define START_HOLD_MS 1000
#define START_HOLD_JOBS_MAX 2000

struct start_hold;

enum start_verdict {
	START_PASS, /* handled at once */
	START_HELD,
	START_REFUSED, /* it can't be held, or was held for too long */
};

struct start_job {
	const char *id; /* copied */
	int64_t arrived_ms;
	int64_t deadline_ms; /* when the caller stops waiting */
	void *caller; /* identifies the job */
};

struct start_hold *start_hold_create(int64_t started_ms);
void start_hold_destroy(struct start_hold *hold); /* NULL is allowed */
/* False once the dispatcher could serve or the time for holding is over: then
 * jobs pass. */
bool start_hold_is_open(const struct start_hold *hold, int64_t now_ms);
/* Decides about a new job. can_serve: routes are known and enough backend
 * servers can be reached. */
enum start_verdict start_hold_arrive(struct start_hold *hold,
				     const struct start_job *job,
				     bool can_serve, int64_t now_ms);
/* Removes the next job whose wait is over and returns its caller, in the order
 * of arrival; NULL if there is none. The verdict is START_PASS if the
 * dispatcher can serve, else START_REFUSED. */
void *start_hold_next(struct start_hold *hold, bool can_serve, int64_t now_ms,
		      enum start_verdict *verdict);
/* The caller has left. Returns false if its job isn't held. */
bool start_hold_abandon(struct start_hold *hold, const void *caller);
/* Removes a job with this id and returns its caller; NULL if there is none. */
void *start_hold_cancel(struct start_hold *hold, const char *id);
uint32_t start_hold_count(const struct start_hold *hold);

#endif
