/*
 * speed_estimate: see speed_estimate.h.
 */
#include "leased/speed_estimate.h"

#include <math.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* Later tasks of a job repeat the error of the job's prediction, so that they
 * tell little that is new: their variance is this many times greater. */
#define SAME_JOB_FACTOR 16.0
/* Jobs remembered to recognize later tasks of the same job. */
#define JOBS_REMEMBERED 32
/* Largest logarithm of a ratio that is counted. */
#define LOG_MAX 3.0
/* A run that exceeds the estimate by more than this (two standard deviations of
 * a single run) has taken far longer than expected. */
#define FAR_LONGER_LOG 1.0
/* Change detection by cumulative sums (Page, 1954) of the deviations in
 * standard deviations. The slack keeps chance out. With the cap, at least three
 * runs are needed, and three that deviate by three standard deviations
 * suffice. */
#define CHANGE_SLACK 0.5
#define CHANGE_CAP 2.4
#define CHANGE_LIMIT 5.0
/* Runs in progress that count at the same time. */
#define WATCHED_MAX 8
/* Steps of the logarithm, and how far from the middle of a step the logarithm
 * has to be, in steps, to leave it. */
#define STEPS_PER_LOG 10
#define LEAVE_STEP 0.75
#define KIND_SIZE CF_NAME_SIZE

/* ---- Types ---------------------------------------------------------- */

/* Deviations to one side since the cumulative sum was last 0. */
struct excursion {
	double cumulated;
	double log_sum;
	uint32_t runs;
};

struct speed_estimate {
	double mean, variance; /* variance 0: nothing is known */
	int64_t updated_ms; /* when the variance was computed */
	int64_t newest_ms; /* end of the newest successful run */
	struct excursion slower, faster;
	guint jobs[JOBS_REMEMBERED]; /* hashes of job ids; 0: unused */
	size_t next_job;
	double watched[WATCHED_MAX]; /* logarithms, from speed_estimate_watch */
	size_t n_watched;
	int32_t step; /* last returned; see speed_estimate_step */
	int64_t start_time_ms; /* of the server */
	char kind[KIND_SIZE];
};

/* ---- Lifecycle ------------------------------------------------------ */

struct speed_estimate *speed_estimate_create(void)
{
	struct speed_estimate *e = g_new0(struct speed_estimate, 1);

	e->step = SPEED_STEP_UNKNOWN;
	return e;
}

void speed_estimate_destroy(struct speed_estimate *e)
{
	g_free(e);
}

void speed_estimate_set_server(struct speed_estimate *e, int64_t start_time_ms,
			       const char *kind)
{
	if (e->start_time_ms == start_time_ms && !strcmp(e->kind, kind))
		return;
	memset(e, 0, sizeof(*e));
	e->step = SPEED_STEP_UNKNOWN;
	e->start_time_ms = start_time_ms;
	g_strlcpy(e->kind, kind, sizeof(e->kind));
}

/* ---- Changes of speed ----------------------------------------------- */

static void extend(struct excursion *x, double deviation, double log_ratio)
{
	x->cumulated += MIN(deviation - CHANGE_SLACK, CHANGE_CAP);
	if (x->cumulated <= 0) {
		memset(x, 0, sizeof(*x));
		return;
	}
	x->log_sum += log_ratio;
	x->runs++;
}

/* Starts again from the runs since the change. */
static void restart_from(struct speed_estimate *e, const struct excursion *x)
{
	e->mean = x->log_sum / x->runs;
	e->variance = SPEED_RUN_VARIANCE / x->runs;
	memset(&e->slower, 0, sizeof(e->slower));
	memset(&e->faster, 0, sizeof(e->faster));
}

static bool detect_change(struct speed_estimate *e, double deviation,
			  double log_ratio)
{
	extend(&e->slower, deviation, log_ratio);
	extend(&e->faster, -deviation, log_ratio);
	if (e->slower.cumulated > CHANGE_LIMIT)
		restart_from(e, &e->slower);
	else if (e->faster.cumulated > CHANGE_LIMIT)
		restart_from(e, &e->faster);
	else
		return false;
	return true;
}

/* ---- Filter --------------------------------------------------------- */

static double variance_now(const struct speed_estimate *e, int64_t now_ms)
{
	return e->variance +
	       (double)MAX(now_ms - e->updated_ms, 0) * SPEED_VARIANCE_PER_MS;
}

static void combine(double *mean, double *variance, double log_ratio,
		    double run_variance)
{
	double gain;

	if (*variance <= 0) {
		*mean = log_ratio;
		*variance = run_variance;
		return;
	}
	gain = *variance / (*variance + run_variance);
	*mean += gain * (log_ratio - *mean);
	*variance *= 1 - gain;
}

static void count(struct speed_estimate *e, double log_ratio, bool same_job,
		  int64_t now_ms)
{
	double run_variance = SPEED_RUN_VARIANCE;

	if (e->variance > 0)
		e->variance = variance_now(e, now_ms);
	e->updated_ms = now_ms;
	if (same_job)
		run_variance *= SAME_JOB_FACTOR;
	else if (e->variance > 0 &&
		 detect_change(e,
			       (log_ratio - e->mean) /
				       sqrt(e->variance + run_variance),
			       log_ratio))
		return;
	combine(&e->mean, &e->variance, log_ratio, run_variance);
}

static double log_of(uint32_t run_ms, uint32_t expected_ms)
{
	return CLAMP(log(MAX(run_ms, 1U) / (double)expected_ms), -LOG_MAX,
		     LOG_MAX);
}

static bool is_far_longer(const struct speed_estimate *e, double log_ratio)
{
	return log_ratio > (e->variance > 0 ? e->mean : 0) + FAR_LONGER_LOG;
}

/* ---- Runs that ended ------------------------------------------------ */

/* Returns whether a task of the job was counted before, and remembers it. */
static bool has_counted(struct speed_estimate *e, const char *job)
{
	guint hash = MAX(g_str_hash(job), 1U);

	for (size_t i = 0; i < JOBS_REMEMBERED; i++)
		if (e->jobs[i] == hash)
			return true;
	e->jobs[e->next_job] = hash;
	e->next_job = (e->next_job + 1) % JOBS_REMEMBERED;
	return false;
}

void speed_estimate_add(struct speed_estimate *e,
			const struct run_result *result, int64_t now_ms)
{
	double log_ratio;

	if (!result->expected_ms || !result->run_ms)
		return;
	log_ratio = log_of(result->run_ms, result->expected_ms);
	if (result->outcome == RUN_OUTCOME_DONE)
		e->newest_ms = now_ms;
	else if (result->outcome != RUN_OUTCOME_STOPPED ||
		 !is_far_longer(e, log_ratio))
		return;
	count(e, log_ratio, has_counted(e, result->name.job), now_ms);
}

/* ---- Runs in progress ----------------------------------------------- */

static bool is_listed_before(const struct run_progress *runs, size_t i)
{
	for (size_t k = 0; k < i; k++)
		if (!strcmp(runs[k].job, runs[i].job))
			return true;
	return false;
}

void speed_estimate_watch(struct speed_estimate *e,
			  const struct run_progress *runs, size_t n)
{
	e->n_watched = 0;
	for (size_t i = 0; i < n && e->n_watched < WATCHED_MAX; i++) {
		double log_ratio;

		if (!runs[i].expected_ms)
			continue;
		log_ratio = log_of(runs[i].ran_ms, runs[i].expected_ms);
		if (is_far_longer(e, log_ratio) && !is_listed_before(runs, i))
			e->watched[e->n_watched++] = log_ratio;
	}
}

/* ---- Result --------------------------------------------------------- */

void speed_estimate_get(const struct speed_estimate *e, int64_t now_ms,
			struct speed *speed)
{
	double mean = e->mean;
	double variance = e->variance > 0 ? variance_now(e, now_ms) : 0;

	for (size_t i = 0; i < e->n_watched; i++)
		if (e->watched[i] > mean)
			combine(&mean, &variance, e->watched[i],
				SPEED_RUN_VARIANCE);
	speed->log = mean;
	speed->sd = sqrt(variance);
	speed->age_ms = e->newest_ms ? now_ms - e->newest_ms : 0;
}

int32_t speed_estimate_step(struct speed_estimate *e, int64_t now_ms)
{
	struct speed speed;
	double steps;

	speed_estimate_get(e, now_ms, &speed);
	steps = speed.log * STEPS_PER_LOG;
	if (speed.sd <= 0)
		e->step = SPEED_STEP_UNKNOWN;
	else if (e->step == SPEED_STEP_UNKNOWN ||
		 fabs(steps - e->step) > LEAVE_STEP)
		e->step = (int32_t)lround(steps);
	return e->step;
}
