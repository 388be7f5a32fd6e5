/*
 * dispatch_order: which waiting job goes first. Each class has a lane. Lanes
 * are served in proportion to their shares (weighted fair queueing; Demers,
 * Keshav and Shenker, 1989). The share of a class grows with the work that
 * arrives for it and with its priority, so that in a shortage the most urgent
 * class comes first and no class starves. Within a lane the most urgent job
 * goes first. Jobs that can't meet their target any more share one lane, which
 * gets the capacity that no other job can use now. Jobs with contained tasks
 * have a lane of their own, which dispatch_place.c serves first.
 *
 * Answers load above what the servers can do: those jobs are in time that can
 * be, and the others are answered late rather than never.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <inttypes.h>

/* ---- Constants ------------------------------------------------------ */

/* Smallest share of any class, as a fraction. */
#define SHARE_MIN 0.02
/* For the same arriving work, a class gets this many times the share of one
 * whose priority number is one higher. The less urgent one keeps a fifth. */
#define PRIORITY_WEIGHT 4.0
/* Greater numbers count like this one, so that weights don't vanish. */
#define PRIORITY_MAX 8U
#define MILLI 1000

/* ---- Shares --------------------------------------------------------- */

static double demand_weight(const struct dispatch_class *class, int64_t now_ms)
{
	double rate = rate_now(&class->arrival_rate, ARRIVAL_PERIOD_MS, now_ms);

	return rate * pow(PRIORITY_WEIGHT,
			  -(double)MIN(class->priority, PRIORITY_MAX));
}

double dispatch_class_share(const struct dispatch *d,
			    const struct dispatch_class *class, int64_t now_ms)
{
	double own = demand_weight(class, now_ms);
	double all = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->classes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		all += demand_weight(value, now_ms);
	return all > 0 ? MAX(own / all, SHARE_MIN) : 1.0;
}

/* ---- Lanes ---------------------------------------------------------- */

void dispatch_lane_init(struct dispatch_lane *lane)
{
	lane->queue = g_sequence_new(NULL);
}

void dispatch_lane_clear(struct dispatch_lane *lane)
{
	g_sequence_free(lane->queue);
}

struct dispatch_lane *dispatch_job_lane(struct dispatch *d,
					const struct dispatch_job *job)
{
	if (job->is_contained)
		return &d->contained;
	return job->is_late ? &d->late : &job->class->lane;
}

static int64_t urgency(const struct dispatch_job *job)
{
	return job->is_late ? job->useful_start_ms : job->target_start_ms;
}

static gint compare_jobs(gconstpointer a, gconstpointer b, gpointer unused)
{
	int64_t x = urgency(a);
	int64_t y = urgency(b);

	(void)unused;
	return x < y ? -1 : x > y;
}

/* A lane whose queue was empty continues at the current virtual time, so that
 * it can't build up credit while it is idle. */
void dispatch_queue_job(struct dispatch *d, struct dispatch_job *job)
{
	struct dispatch_lane *lane = dispatch_job_lane(d, job);

	if (job->queue_entry)
		return;
	if (g_sequence_is_empty(lane->queue))
		lane->virtual_time = MAX(lane->virtual_time, d->virtual_time);
	job->queue_entry =
		g_sequence_insert_sorted(lane->queue, job, compare_jobs, NULL);
}

void dispatch_unqueue_job(struct dispatch_job *job)
{
	if (job->queue_entry)
		g_sequence_remove(job->queue_entry);
	job->queue_entry = NULL;
}

double dispatch_task_work(const struct dispatch_job *job)
{
	return job->spec.cpu_milli * job->predicted_ms * job->slowdown;
}

void dispatch_count_waiting(struct dispatch *d, struct dispatch_job *job,
			    int32_t tasks)
{
	job->n_waiting = (uint32_t)((int32_t)job->n_waiting + tasks);
	dispatch_job_lane(d, job)->queued_work +=
		tasks * dispatch_task_work(job);
}

void dispatch_make_late(struct dispatch *d, struct dispatch_job *job,
			int64_t now_ms)
{
	bool queued = job->queue_entry != NULL;
	int32_t waiting = (int32_t)job->n_waiting;

	log_event(LOG_INFO, "job_late",
		  "job=%s route=%s waited_ms=%" PRId64 " target_ms=%" PRId64
		  " useful_ms=%" PRId64 " late_work_ms=%d",
		  job->id, job->route.name, now_ms - job->arrived_ms,
		  job->target_start_ms - job->arrived_ms,
		  job->useful_start_ms - job->arrived_ms,
		  (int)(d->late.queued_work / MILLI));
	dispatch_unqueue_job(job);
	dispatch_count_waiting(d, job, -waiting);
	job->is_late = true;
	d->late_jobs++;
	dispatch_count_waiting(d, job, waiting);
	if (queued)
		dispatch_queue_job(d, job);
}

/* ---- Order ---------------------------------------------------------- */

static bool is_next(const struct dispatch_lane *lane,
		    const struct dispatch_lane *next, GPtrArray *tried)
{
	return !g_sequence_is_empty(lane->queue) &&
	       !g_ptr_array_find(tried, lane, NULL) &&
	       (!next || lane->virtual_time < next->virtual_time);
}

struct dispatch_lane *dispatch_next_lane(struct dispatch *d, GPtrArray *tried)
{
	struct dispatch_lane *next = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->classes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_class *class = value;

		if (is_next(&class->lane, next, tried))
			next = &class->lane;
	}
	if (!next && is_next(&d->late, next, tried))
		next = &d->late;
	return next;
}

void dispatch_charge_lane(struct dispatch *d, const struct dispatch_job *job,
			  int64_t now_ms)
{
	struct dispatch_lane *lane = dispatch_job_lane(d, job);

	if (job->is_late || job->is_contained)
		return;
	d->virtual_time = MAX(d->virtual_time, lane->virtual_time);
	lane->virtual_time += dispatch_task_work(job) /
			      dispatch_class_share(d, job->class, now_ms);
}
