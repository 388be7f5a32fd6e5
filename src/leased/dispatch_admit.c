/*
 * dispatch_admit: admission control. When more work arrives than the servers
 * can do, a job whose last task is predicted to start too late for its target
 * becomes a late job, so that the other admitted jobs still meet their targets.
 * It is refused at once if late jobs can't be served so soon that its answer is
 * of use: its caller learns this without delay.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <inttypes.h>

/* ---- Constants ------------------------------------------------------ */

/* Fraction of the free processors to count on: other dispatchers use them
 * too. */
#define FREE_CPU_FRACTION 0.7
/* Factor on predicted waits: run time predictions are inexact, and work
 * arrives in bursts. */
#define WORK_MARGIN 1.8
#define CPU_MIN_MILLI 1000.0
#define MS_PER_S 1000
#define PERCENT 100
#define MILLI 1000
/* Spreads out the retries of callers that are refused at the same time. */
#define RETRY_JITTER_S 3

/* ---- Predicted wait ------------------------------------------------- */

/* A contained class can count only on the servers for contained tasks. */
static double free_cpu_milli(const struct dispatch *d, bool contained,
			     int64_t now_ms)
{
	double sum = 0;

	for (guint i = 0; i < d->servers->len; i++) {
		const struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);

		if (server_is_usable(d, server) &&
		    !server_is_avoided(d, server, now_ms) &&
		    (!contained || server->agent->runs_contained))
			sum += (double)MAX(server_offered_cpu_milli(server), 0);
	}
	return sum;
}

/* The values behind an admission decision, which a refusal logs. */
struct estimate {
	double share; /* the class's share of the starts */
	double free_milli; /* processors currently free for the class */
	double cpu_milli; /* processors that the class uses or can get */
	double work; /* queued ahead of the job, less what can start now */
	double wait_ms; /* predicted time until its last task starts */
	double late_wait_ms; /* the same for a late job */
};

/* A contained class has the servers for contained tasks to itself, apart from
 * other jobs with contained tasks. */
static void sum_contained(const struct dispatch *d,
			  const struct dispatch_class *class,
			  double *running_milli, double *queued_work)
{
	*running_milli = (double)class->running_cpu_milli;
	*queued_work = d->contained.queued_work;
}

static void sum_classes(const struct dispatch *d, double *running_milli,
			double *queued_work)
{
	GHashTableIter iter;
	gpointer value;

	*running_milli = 0;
	*queued_work = 0;
	g_hash_table_iter_init(&iter, d->classes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_class *class = value;

		*running_milli += (double)class->running_cpu_milli;
		*queued_work += class->lane.queued_work;
	}
}

/* Late jobs get what the jobs in time leave of this dispatcher's processors:
 * those that wait now, and as many as were admitted lately. */
static double late_wait_ms(const struct dispatch *d,
			   const struct dispatch_job *job, double all_milli,
			   double queued_work, int64_t now_ms)
{
	double own = dispatch_task_work(job) * job->spec.n_tasks;
	double in_time_milli =
		rate_now(&d->in_time_rate, ARRIVAL_PERIOD_MS, now_ms);
	double spare_milli = MAX(all_milli - in_time_milli, CPU_MIN_MILLI);

	return (queued_work - own) / MAX(all_milli, CPU_MIN_MILLI) +
	       (d->late.queued_work + own) / spare_milli;
}

/* Work queued ahead of the job in its class runs on the class's share of this
 * dispatcher's processors, or on what the other classes leave of them if that
 * is more. The job's own tasks may use all of the processors, so that jobs
 * with many tasks are admitted as often as jobs with few. */
static void estimate(const struct dispatch *d, const struct dispatch_job *job,
		     int64_t now_ms, struct estimate *e)
{
	const struct dispatch_class *class = job->class;
	double own = dispatch_task_work(job) * job->spec.n_tasks;
	const struct dispatch_lane *lane = class->contained ? &d->contained
							    : &class->lane;
	double ahead = lane->queued_work - own;
	double running_milli, queued_work, all_milli, left_milli, free_work;

	if (class->contained)
		sum_contained(d, class, &running_milli, &queued_work);
	else
		sum_classes(d, &running_milli, &queued_work);
	e->share = dispatch_class_share(d, class, now_ms);
	e->free_milli = free_cpu_milli(d, class->contained, now_ms);
	all_milli = running_milli + e->free_milli * FREE_CPU_FRACTION;
	left_milli =
		all_milli - (running_milli - (double)class->running_cpu_milli);
	e->cpu_milli =
		MAX(MAX(all_milli * e->share, left_milli), CPU_MIN_MILLI);
	if (queued_work > lane->queued_work)
		e->free_milli *= e->share;
	free_work = e->free_milli * FREE_CPU_FRACTION * job->predicted_ms;
	e->work = MAX(ahead - free_work, 0);
	own = MAX(own - MAX(free_work - ahead, 0), 0);
	e->wait_ms = WORK_MARGIN * (e->work / e->cpu_milli +
				    own / MAX(all_milli, CPU_MIN_MILLI));
	if (ahead <= 0 && queued_work <= lane->queued_work &&
	    (double)job->spec.cpu_milli * job->spec.n_tasks <= e->free_milli)
		e->wait_ms = 0;
	e->late_wait_ms = late_wait_ms(d, job, all_milli, queued_work, now_ms);
}

/* ---- Verdict -------------------------------------------------------- */

uint32_t admit_retry_after_s(const struct dispatch *d,
			     const struct dispatch_job *job, int64_t now_ms)
{
	guint spread = g_str_hash(job->id) % RETRY_JITTER_S;
	struct estimate e;

	estimate(d, job, now_ms, &e);
	return 1 + spread +
	       (uint32_t)(contain_wait_ms(d, job, (int64_t)e.wait_ms, now_ms) /
			  MS_PER_S);
}

static void log_refusal(const struct dispatch_job *job,
			const struct estimate *e, int64_t now_ms)
{
	log_event(LOG_WARN, "job_refused",
		  "job=%s route=%s wait_ms=%d slack_ms=%" PRId64
		  " late_wait_ms=%d late_slack_ms=%" PRId64
		  " work_ms=%d cpu_milli=%d free_cpu_milli=%d "
		  "share_percent=%d predicted_ms=%u",
		  job->id, job->route.name, (int)e->wait_ms,
		  job->target_start_ms - now_ms, (int)e->late_wait_ms,
		  job->useful_start_ms - now_ms, (int)(e->work / MILLI),
		  (int)e->cpu_milli, (int)e->free_milli,
		  (int)(e->share * PERCENT), job->predicted_ms);
}

static const char *find_refusal(struct dispatch *d, struct dispatch_job *job,
				int64_t now_ms)
{
	struct estimate e;

	if (!dispatch_can_serve(d))
		return "no backend server can be reached";
	if (now_ms + job->predicted_ms > job->deadline_ms)
		return "it can't end before its deadline";
	if (contain_refuses(d, job, now_ms))
		return CONTAINED_REFUSAL;
	estimate(d, job, now_ms, &e);
	if (now_ms + (int64_t)e.wait_ms <= job->target_start_ms) {
		rate_add(&d->in_time_rate,
			 dispatch_task_work(job) * job->spec.n_tasks,
			 ARRIVAL_PERIOD_MS, now_ms);
		return NULL;
	}
	dispatch_note_demand(d, now_ms);
	if (now_ms + (int64_t)e.late_wait_ms <= job->useful_start_ms) {
		dispatch_make_late(d, job, now_ms);
		return NULL;
	}
	log_refusal(job, &e, now_ms);
	return "the queue is too long for its target";
}

bool admit_job(struct dispatch *d, struct dispatch_job *job, int64_t now_ms,
	       const char **reason, uint32_t *retry_after_s)
{
	*reason = find_refusal(d, job, now_ms);
	if (*reason)
		*retry_after_s = admit_retry_after_s(d, job, now_ms);
	return !*reason;
}
