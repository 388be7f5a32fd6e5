/*
 * dispatch_admit: whether a job is taken. It answers the load at which
 * more work arrives than the servers can do: a job whose last task would
 * start too late for its target is refused at once, so that its caller
 * knows, and those that are taken end in time.
 *
 * Each class gets a part of the starts in proportion to the processors
 * that its jobs ask for, so that none starves beside another whose
 * target leaves it more time.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <inttypes.h>

/* ---- Constants ------------------------------------------------------ */

#define RATE_PERIOD_MS 400 /* over which starts are measured */
#define OFFERED_PERIOD_MS 1000
#define RATE_LEAST_MILLI_PER_MS 100.0 /* of processors; before any start */
#define SHARE_LEAST 0.05 /* of the starts, for any class */
#define MS_PER_S 1000
#define PERCENT 100
#define RETRY_SPREAD_S 3 /* callers that are refused together return apart */

/* ---- Predicted wait ------------------------------------------------- */

static double class_share(const struct dispatch *d, const struct dclass *class,
			  int64_t now_ms)
{
	double own = rate_now(&class->offered, OFFERED_PERIOD_MS, now_ms);
	double all = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->classes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dclass *other = value;

		all += rate_now(&other->offered, OFFERED_PERIOD_MS, now_ms);
	}
	return all > 0 ? MAX(own / all, SHARE_LEAST) : 1.0;
}

static double free_cpu_milli(const struct dispatch *d)
{
	double sum = 0;

	for (guint i = 0; i < d->servers->len; i++) {
		const struct dserver *server = g_ptr_array_index(d->servers, i);

		if (server_is_usable(d, server))
			sum += (double)MAX(server_free_cpu_milli(server), 0);
	}
	return sum;
}

static double queued_cpu_milli(const struct dispatch *d)
{
	double sum = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->classes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sum += (double)((const struct dclass *)value)->queued_cpu_milli;
	return sum;
}

/* What decides: kept together so that a refusal can tell it. */
struct estimate {
	double share; /* of the starts, for this class */
	double free_milli; /* processors free for it */
	double queued_milli; /* of the class, with the job itself */
	double rate; /* processors a ms that come free for this dispatcher */
	double wait_ms;
};

static void estimate(const struct dispatch *d, const struct dclass *class,
		     int64_t now_ms, struct estimate *e)
{
	double all = queued_cpu_milli(d);
	double free_milli = free_cpu_milli(d);
	double started = rate_now(&d->started, RATE_PERIOD_MS, now_ms);

	e->queued_milli = (double)class->queued_cpu_milli;
	e->share = class_share(d, class, now_ms);
	if (all > 0)
		e->share = MAX(e->share, e->queued_milli / all);
	e->free_milli = MAX(free_milli * e->share,
			    free_milli - (all - e->queued_milli));
	e->rate = MAX(MAX(started, d->freeing_milli_per_ms),
		      RATE_LEAST_MILLI_PER_MS);
	e->wait_ms = MAX(e->queued_milli - e->free_milli, 0) /
		     (e->rate * e->share);
}

/* ---- Verdict -------------------------------------------------------- */

uint32_t admit_retry_after_s(const struct dispatch *d, const struct djob *job,
			     int64_t now_ms)
{
	guint spread = g_str_hash(job->id) % RETRY_SPREAD_S;
	struct estimate e;

	estimate(d, job->class, now_ms, &e);
	return 1 + (uint32_t)(e.wait_ms / MS_PER_S) + spread;
}

static void tell_refusal(const struct djob *job, const struct estimate *e,
			 int64_t now_ms)
{
	log_event(LOG_WARN, "job_refused",
		  "job=%s route=%s wait_ms=%d slack_ms=%" PRId64
		  " queued_cpu_milli=%d free_cpu_milli=%d rate_milli=%d "
		  "share_percent=%d predicted_ms=%u",
		  job->id, job->route.name, (int)e->wait_ms,
		  job->good_start_ms - now_ms, (int)e->queued_milli,
		  (int)e->free_milli, (int)e->rate, (int)(e->share * PERCENT),
		  job->predicted_ms);
}

bool admit_job(const struct dispatch *d, const struct djob *job, int64_t now_ms,
	       const char **reason, uint32_t *retry_after_s)
{
	struct estimate e;

	*retry_after_s = admit_retry_after_s(d, job, now_ms);
	if (!dispatch_can_serve(d)) {
		*reason = "no backend server can be reached";
		return false;
	}
	if (now_ms + job->predicted_ms > job->deadline_ms) {
		*reason = "it can't end before its deadline";
		return false;
	}
	/* Its own tasks are among the class's queued ones already. */
	estimate(d, job->class, now_ms, &e);
	if (now_ms + (int64_t)e.wait_ms <= job->good_start_ms)
		return true;
	*reason = "the queue is too long for its target";
	tell_refusal(job, &e, now_ms);
	return false;
}
