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

/* ---- Constants ------------------------------------------------------ */

#define RATE_PERIOD_MS 400 /* over which starts are measured */
#define OFFERED_PERIOD_MS 1000
#define RATE_LEAST_MILLI_PER_MS 100.0 /* of processors; before any start */
#define SHARE_LEAST 0.05 /* of the starts, for any class */
#define MS_PER_S 1000
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

double admit_wait_ms(const struct dispatch *d, const struct dclass *class,
		     int64_t cpu_milli, int64_t now_ms)
{
	double share = class_share(d, class, now_ms);
	double free_milli = free_cpu_milli(d);
	double rate = MAX(rate_now(&d->started, RATE_PERIOD_MS, now_ms),
			  RATE_LEAST_MILLI_PER_MS);
	double ahead = (double)class->queued_cpu_milli + (double)cpu_milli;

	if (queued_cpu_milli(d) + (double)cpu_milli <= free_milli)
		return 0;
	return MAX(ahead - free_milli * share, 0) / (rate * share);
}

/* ---- Verdict -------------------------------------------------------- */

uint32_t admit_retry_after_s(const struct dispatch *d, const struct djob *job,
			     int64_t now_ms)
{
	double wait_ms = admit_wait_ms(d, job->class, 0, now_ms);
	guint spread = g_str_hash(job->id) % RETRY_SPREAD_S;

	return 1 + (uint32_t)(wait_ms / MS_PER_S) + spread;
}

bool admit_job(const struct dispatch *d, const struct djob *job, int64_t now_ms,
	       const char **reason, uint32_t *retry_after_s)
{
	int64_t cpu_milli = (int64_t)job->spec.cpu_milli * job->spec.n_tasks;
	double wait_ms;

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
	wait_ms = admit_wait_ms(d, job->class, 0, now_ms);
	(void)cpu_milli;
	if (now_ms + (int64_t)wait_ms > job->good_start_ms) {
		*reason = "the queue is too long for its target";
		return false;
	}
	return true;
}
