/*
 * dispatch_jobs: the lifecycle of a job, from its arrival to its answer.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define MILLI 1000
/* Percentile of the predicted run times, in thousandths of a percent. */
#define MEDIAN_MILLI 50000
/* Largest part of the servers that may be ejected as unhealthy. */
#define EJECT_MAX_MILLI 400
/* The answer is sent this long before the caller's deadline. */
#define ANSWER_MARGIN_MS 15
/* A job that would take more than this many times its target latency is
 * aborted, because its result is of no use to the caller any more. */
#define TARGET_FACTOR_MAX 3
/* A job of which nothing was started is refused by this fraction of the time
 * that its caller waits, so that the caller has time left to act. */
#define LATE_WAIT_MAX_FRACTION 0.45

/* ---- Creation and destruction --------------------------------------- */

static void free_job(gpointer data)
{
	struct dispatch_job *job = data;

	for (uint32_t i = 0; i < job->spec.n_tasks; i++)
		if (job->tasks[i].failed_on)
			g_array_unref(job->tasks[i].failed_on);
	g_bytes_unref(job->spec.spec);
	g_ptr_array_unref(job->callers);
	g_free(job->tasks);
	g_free(job);
}

static void free_class(gpointer data)
{
	struct dispatch_class *class = data;

	dispatch_lane_clear(&class->lane);
	g_free(class);
}

static void free_agent(gpointer data)
{
	struct dispatch_agent *agent = data;

	g_ptr_array_unref(agent->servers);
	g_queue_free_full(agent->pending_starts, g_free);
	g_free(agent);
}

struct dispatch *dispatch_create(struct dispatch_sink *sink,
				 const char *data_centre)
{
	struct dispatch *d = g_new0(struct dispatch, 1);

	d->sink = sink;
	g_strlcpy(d->data_centre, data_centre, sizeof(d->data_centre));
	d->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
	d->classes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_class);
	d->agents = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  free_agent);
	d->losses = losses_create();
	d->numbers = run_numbers_create();
	d->servers = g_ptr_array_new_with_free_func(g_free);
	dispatch_lane_init(&d->late);
	dispatch_lane_init(&d->contained);
	d->containment = containment_create();
	d->predict = cf_predict_create();
	d->health = cf_health_create(EJECT_MAX_MILLI);
	d->speeds = speed_view_create();
	d->interference = interference_view_create();
	return d;
}

void dispatch_destroy(struct dispatch *d)
{
	if (!d)
		return;
	g_hash_table_destroy(d->jobs);
	g_hash_table_destroy(d->classes);
	g_hash_table_destroy(d->agents);
	g_hash_table_destroy(d->losses);
	run_numbers_destroy(d->numbers);
	dispatch_lane_clear(&d->late);
	dispatch_lane_clear(&d->contained);
	containment_destroy(d->containment);
	g_ptr_array_unref(d->servers);
	cf_predict_destroy(d->predict);
	cf_health_destroy(d->health);
	speed_view_destroy(d->speeds);
	interference_view_destroy(d->interference);
	g_free(d);
}

/* ---- Answers -------------------------------------------------------- */

static void answer_callers(struct dispatch *d, struct dispatch_job *job,
			   const struct job_answer *answer)
{
	for (guint i = 0; i < job->callers->len; i++)
		d->sink->ops->answer(
			d->sink, g_ptr_array_index(job->callers, i), answer);
	g_ptr_array_set_size(job->callers, 0);
}

static void stop_runs(struct dispatch *d, struct dispatch_job *job)
{
	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		struct dispatch_task *task = &job->tasks[i];
		struct run_name name = { .index = i, .number = task->number };

		if (task->state != DISPATCH_TASK_SENT || task->stopping)
			continue;
		task->stopping = true;
		g_strlcpy(name.job, job->id, sizeof(name.job));
		if (task->server->agent && task->server->agent->connected)
			d->sink->ops->stop(
				d->sink,
				task->server->agent->identity.incarnation,
				&name);
	}
}

static uint32_t highest_number(const struct dispatch_job *job)
{
	uint32_t highest = 0;

	for (uint32_t i = 0; i < job->spec.n_tasks; i++)
		highest = MAX(highest, job->tasks[i].number);
	return highest;
}

void dispatch_free_job_if_finished(struct dispatch *d, struct dispatch_job *job,
				   int64_t now_ms)
{
	if (!job->ended || job->n_sent)
		return;
	run_numbers_remember(d->numbers, job->id, highest_number(job), now_ms);
	g_hash_table_remove(d->jobs, job->id);
}

void dispatch_end_job(struct dispatch *d, struct dispatch_job *job,
		      enum job_verdict verdict, const char *reason,
		      uint32_t retry_after_s)
{
	struct job_answer answer = { verdict, reason, retry_after_s };

	if (job->ended)
		return;
	job->ended = true;
	if (!job->ever_sent)
		job->class->unsent_jobs--;
	log_event(verdict == JOB_VERDICT_COMPLETED ? LOG_INFO : LOG_WARN,
		  "job_ended",
		  "job=%s route=%s verdict=%d reason=\"%s\" tasks=%u done=%u "
		  "sent=%u waiting=%u retry_after_s=%u",
		  job->id, job->route.name, verdict, reason, job->spec.n_tasks,
		  job->n_done, job->n_sent, job->n_waiting, retry_after_s);
	dispatch_count_waiting(d, job, -(int32_t)job->n_waiting);
	dispatch_unqueue_job(job);
	stop_runs(d, job);
	answer_callers(d, job, &answer);
}

/* Ends a job that won't be completed. The verdict is "refused" only if none of
 * its tasks can have run. */
void dispatch_abort_job(struct dispatch *d, struct dispatch_job *job,
			const char *reason, int64_t now_ms)
{
	bool ran = job->ever_sent;

	dispatch_end_job(d, job,
			 ran ? JOB_VERDICT_GIVEN_UP : JOB_VERDICT_REFUSED,
			 reason, ran ? 0 : admit_retry_after_s(d, job, now_ms));
}

/* ---- Arrival -------------------------------------------------------- */

static struct dispatch_class *find_class(struct dispatch *d, const char *name)
{
	struct dispatch_class *class = g_hash_table_lookup(d->classes, name);

	if (class)
		return class;
	class = g_new0(struct dispatch_class, 1);
	dispatch_lane_init(&class->lane);
	g_strlcpy(class->name, name, sizeof(class->name));
	class->contained = containment_has(d->containment, name);
	g_hash_table_insert(d->classes, class->name, class);
	return class;
}

uint32_t dispatch_predict_ms(const struct dispatch *d, const char *route,
			     uint32_t estimate_ms)
{
	return cf_predict_ms(d->predict, route, MAX(estimate_ms, 1),
			     MEDIAN_MILLI);
}

static void set_times(const struct dispatch *d, struct dispatch_job *job)
{
	int64_t target_latency_ms, run_ms;

	job->predicted_ms =
		dispatch_predict_ms(d, job->class->name, job->spec.estimate_ms);
	job->slowdown = class_slowdown(job->class);
	run_ms = (int64_t)(job->predicted_ms * job->slowdown);
	target_latency_ms =
		(int64_t)job->predicted_ms * job->route.stretch_milli / MILLI +
		job->route.target_ms;
	job->target_start_ms =
		job->arrived_ms + MAX(target_latency_ms - run_ms, 0);
	job->deadline_ms -= ANSWER_MARGIN_MS;
	job->useful_end_ms =
		MIN(job->arrived_ms + TARGET_FACTOR_MAX * target_latency_ms,
		    job->deadline_ms);
	job->useful_start_ms = job->useful_end_ms - run_ms;
	job->useful_start_ms =
		MIN(job->useful_start_ms,
		    job->arrived_ms + (int64_t)(LATE_WAIT_MAX_FRACTION *
						(double)(job->deadline_ms -
							 job->arrived_ms)));
}

static struct dispatch_job *create_job(struct dispatch *d,
				       const struct job_request *request)
{
	struct dispatch_job *job = g_new0(struct dispatch_job, 1);

	g_strlcpy(job->id, request->id, sizeof(job->id));
	job->route = request->route;
	job->spec = request->spec;
	g_bytes_ref(job->spec.spec);
	job->class = find_class(d, request->route.name);
	job->class->priority = request->route.priority;
	job->is_contained = job->class->contained;
	job->callers = g_ptr_array_new();
	g_ptr_array_add(job->callers, request->caller);
	job->arrived_ms = request->arrived_ms;
	job->deadline_ms = request->deadline_ms;
	job->tasks = g_new0(struct dispatch_task, job->spec.n_tasks);
	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		job->tasks[i].index = i;
		job->tasks[i].number = run_numbers_last(d->numbers, job->id);
	}
	set_times(d, job);
	return job;
}

/* A job with a known id is a retry after a lost connection. Its caller waits
 * for the job that is in progress. If that job has ended but its runs are still
 * being stopped, the retry is answered at once. */
static bool join_existing_job(struct dispatch *d,
			      const struct job_request *request)
{
	struct dispatch_job *job = g_hash_table_lookup(d->jobs, request->id);
	struct job_answer busy = { JOB_VERDICT_GIVEN_UP,
				   "runs of an earlier try are being stopped",
				   0 };

	if (!job)
		return false;
	if (job->ended) {
		d->sink->ops->answer(d->sink, request->caller, &busy);
		return true;
	}
	g_ptr_array_add(job->callers, request->caller);
	job->route.attempts_max =
		MAX(job->route.attempts_max, request->route.attempts_max);
	return true;
}

void dispatch_submit(struct dispatch *d, const struct job_request *request,
		     int64_t now_ms)
{
	struct dispatch_job *job;
	const char *reason = "";
	uint32_t retry_after_s = 0;

	if (join_existing_job(d, request))
		return;
	job = create_job(d, request);
	g_hash_table_insert(d->jobs, job->id, job);
	rate_add(&job->class->arrival_rate,
		 dispatch_task_work(job) * job->spec.n_tasks, ARRIVAL_PERIOD_MS,
		 now_ms);
	job->class->unsent_jobs++;
	dispatch_count_waiting(d, job, (int32_t)job->spec.n_tasks);
	losses_restore(d, job, now_ms);
	if (losses_end_job(d, job)) {
		dispatch_free_job_if_finished(d, job, now_ms);
		return;
	}
	if (!admit_job(d, job, now_ms, &reason, &retry_after_s)) {
		dispatch_end_job(d, job, JOB_VERDICT_REFUSED, reason,
				 retry_after_s);
		dispatch_free_job_if_finished(d, job, now_ms);
		return;
	}
	dispatch_queue_job(d, job);
	dispatch_place_tasks(d, now_ms);
}

void dispatch_abandon(struct dispatch *d, const char *id, void *caller,
		      int64_t now_ms)
{
	struct dispatch_job *job = g_hash_table_lookup(d->jobs, id);
	struct job_answer answer = { JOB_VERDICT_GIVEN_UP, "the caller left",
				     0 };

	if (!job || !g_ptr_array_remove(job->callers, caller))
		return;
	d->sink->ops->answer(d->sink, caller, &answer);
	if (job->callers->len)
		return;
	dispatch_abort_job(d, job, "the caller left", now_ms);
	dispatch_free_job_if_finished(d, job, now_ms);
}

bool dispatch_cancel(struct dispatch *d, const char *id, int64_t asked_ms,
		     int64_t now_ms)
{
	struct dispatch_job *job = g_hash_table_lookup(d->jobs, id);

	if (!job || job->ended || job->arrived_ms > asked_ms)
		return false;
	dispatch_abort_job(d, job, "it was cancelled", now_ms);
	dispatch_free_job_if_finished(d, job, now_ms);
	return true;
}

void dispatch_abort_all(struct dispatch *d, int64_t now_ms)
{
	g_autoptr(GPtrArray) unfinished = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct dispatch_job *)value)->ended)
			g_ptr_array_add(unfinished, value);
	for (guint i = 0; i < unfinished->len; i++) {
		struct dispatch_job *job = g_ptr_array_index(unfinished, i);

		dispatch_abort_job(d, job, "the process stops", now_ms);
		dispatch_free_job_if_finished(d, job, now_ms);
	}
}

bool dispatch_has_job(const struct dispatch *d, const char *id)
{
	return g_hash_table_contains(d->jobs, id);
}

uint32_t dispatch_count_unsent_jobs(const struct dispatch *d, const char *route)
{
	const struct dispatch_class *class =
		g_hash_table_lookup(d->classes, route);

	return class ? class->unsent_jobs : 0;
}

/* ---- Periodic work -------------------------------------------------- */

/* Jobs that can't start in time for their target any more wait in the lane of
 * late jobs. A job whose first tasks have started stays where it is. */
static void find_late_jobs(struct dispatch *d, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_job *job = value;

		if (!job->ended && !job->ever_sent && !job->is_late &&
		    now_ms > job->target_start_ms)
			dispatch_make_late(d, job, now_ms);
	}
}

/* Returns why a job can't be completed usefully any more, or NULL if it can. */
static const char *find_end_reason(const struct dispatch_job *job,
				   int64_t now_ms)
{
	int64_t late_ms =
		job->arrived_ms +
		TARGET_FACTOR_MAX * (job->target_start_ms + job->predicted_ms -
				     job->arrived_ms);

	if (now_ms >= job->deadline_ms)
		return "its deadline has passed";
	if (!job->n_waiting)
		return NULL;
	if (now_ms + job->predicted_ms > job->deadline_ms)
		return "it can't end before its deadline";
	if (!job->ever_sent && now_ms > job->useful_start_ms)
		return "no capacity came free in time";
	if (now_ms + job->predicted_ms > late_ms)
		return "it would be of no use so late";
	return NULL;
}

static void end_unservable_jobs(struct dispatch *d, int64_t now_ms)
{
	g_autoptr(GPtrArray) unservable = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_job *job = value;

		if (!job->ended && find_end_reason(job, now_ms))
			g_ptr_array_add(unservable, value);
	}
	for (guint i = 0; i < unservable->len; i++) {
		struct dispatch_job *job = g_ptr_array_index(unservable, i);

		dispatch_abort_job(d, job, find_end_reason(job, now_ms),
				   now_ms);
		dispatch_free_job_if_finished(d, job, now_ms);
	}
}

void dispatch_tick(struct dispatch *d, int64_t now_ms)
{
	servers_tick(d, now_ms);
	contain_tick(d, now_ms);
	end_unservable_jobs(d, now_ms);
	find_late_jobs(d, now_ms);
	dispatch_move_late_runs(d, now_ms);
	dispatch_place_tasks(d, now_ms);
	dispatch_expire_demand(d, now_ms);
}

void dispatch_get_load(const struct dispatch *d, struct dispatch_load *load)
{
	GHashTableIter iter;
	gpointer value;

	memset(load, 0, sizeof(*load));
	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_job *job = value;

		load->jobs += !job->ended;
		load->waiting_tasks += job->ended ? 0 : job->n_waiting;
		load->late_waiting_tasks +=
			job->is_late && !job->ended ? job->n_waiting : 0;
		load->sent_tasks += job->n_sent;
	}
	load->late_jobs = d->late_jobs;
	load->lost_runs = d->lost_runs;
	load->crashing_jobs = d->crashing_jobs;
	load->doubtful_jobs = d->doubtful_jobs;
	load->servers = d->servers->len;
	load->remembered_jobs = run_numbers_count(d->numbers);
	load->speeds_known = speed_view_known(d->speeds);
	load->interfering_pairs = interference_view_count(d->interference);
	load->contained_classes = containment_count(d->containment);
	load->suspect_tasks = d->suspects;
	load->crashes_explained = containment_proofs(d->containment);
	for (guint i = 0; i < d->servers->len; i++) {
		const struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);

		if (!server_is_usable(d, server))
			continue;
		load->usable_servers++;
		load->capacity_milli += server->state.capacity.cpu_milli;
		load->free_milli +=
			(uint64_t)MAX(server_free_cpu_milli(server), 0);
	}
}

bool dispatch_can_serve(const struct dispatch *d)
{
	for (guint i = 0; i < d->servers->len; i++)
		if (server_is_usable(d, g_ptr_array_index(d->servers, i)))
			return true;
	return false;
}
