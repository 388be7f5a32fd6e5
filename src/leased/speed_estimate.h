/*
 * speed_estimate: how much longer or shorter runs take at one backend server
 * than expected, as its agent sees it over the runs of all dispatchers. The
 * estimate is the mean of log(run time / expected run time), tracked by a
 * one-dimensional Kalman filter. The module does no I/O and reads no clock: the
 * time is an argument. Not thread-safe.
 *
 *	struct speed_estimate *e = speed_estimate_create();
 *	speed_estimate_set_server(e, report.start_time_ms, report.kind);
 *	speed_estimate_add(e, &result, now_ms);
 *	speed_estimate_watch(e, progress, n);
 *	speed_estimate_get(e, now_ms, &speed);
 */
#ifndef LEASED_SPEED_ESTIMATE_H
#define LEASED_SPEED_ESTIMATE_H

#include "leased/run_table.h"

/* Variance of log(run time / expected run time) of a single run: predictions
 * have a standard deviation of 0.43 and tasks of one job differ by 0.15. */
#define SPEED_RUN_VARIANCE 0.25
/* By how much the variance of an estimate grows per millisecond. After 30 s
 * without a run, an estimate weighs no more than a single new run. */
#define SPEED_VARIANCE_PER_MS (SPEED_RUN_VARIANCE / 30000)

struct speed {
	double log; /* natural logarithm of run time / expected run time */
	double sd; /* its standard deviation; 0: nothing is known */
	int64_t age_ms; /* of the newest successful run counted */
};

struct speed_estimate;

struct speed_estimate *speed_estimate_create(void);
void speed_estimate_destroy(struct speed_estimate *e); /* may be NULL */
/* Identifies the server's incarnation and machine kind. If they have changed,
 * the estimate starts again from nothing. */
void speed_estimate_set_server(struct speed_estimate *e, int64_t start_time_ms,
			       const char *kind);
/* Counts a run that has ended. Failed runs don't count. A stopped one counts
 * only if it had taken far longer than expected, as at least that long. */
void speed_estimate_add(struct speed_estimate *e,
			const struct run_result *result, int64_t now_ms);
/* Replaces the list of runs in progress. Those that have taken far longer than
 * expected count as at least that long while they are listed. */
void speed_estimate_watch(struct speed_estimate *e,
			  const struct run_progress *runs, size_t n);
/* The logarithm in tenths, SPEED_STEP_UNKNOWN if nothing is known. It changes
 * only when the logarithm has clearly left the last step, so that an estimate
 * at the edge of two steps doesn't cause a report with each run. */
#define SPEED_STEP_UNKNOWN INT32_MIN
int32_t speed_estimate_step(struct speed_estimate *e, int64_t now_ms);
void speed_estimate_get(const struct speed_estimate *e, int64_t now_ms,
			struct speed *speed);

#endif
