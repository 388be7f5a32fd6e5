/*
 * dispatch_late: finds runs that take far longer than expected and moves them
 * to another server while there is time left for another run.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <inttypes.h>

/* ---- Constants ------------------------------------------------------ */

/* Most times that one task is moved. */
#define MOVES_MAX 2
/* A run is late if it takes this many times as long as the slowest successful
 * run of its job, at equal speed of their servers. Tasks of one job take
 * similar times, even if their common estimate is wrong. */
#define LATE_FACTOR_SIBLINGS 2.2
/* The same at a suspect server, which may be slow or hang. */
#define LATE_FACTOR_SIBLINGS_SUSPECT 1.6
/* While no task of the job has succeeded, the prediction is the reference. */
#define LATE_FACTOR_PREDICTION 3.5
#define LATE_FACTOR_PREDICTION_SUSPECT 2.0
/* Added to the limits above. */
#define LATE_MARGIN_MS 40
/* Another run has to begin this many times its predicted time before the
 * deadline: its stop, its start and its server may take longer. */
#define RERUN_MARGIN 1.5
/* A server is suspect if at least this many jobs, and at least half of the jobs
 * there, have late runs and no run has succeeded for SUSPECT_NO_SUCCESS_MS. */
#define SUSPECT_JOBS 2
#define SUSPECT_NO_SUCCESS_MS 250
/* A server is also suspect if its measured slowness reaches this factor. */
#define SUSPECT_SLOWNESS 2.0

/* ---- Late runs ------------------------------------------------------- */

/* Suspect is a server whose runs take far longer than was expected when this
 * run was sent, whether the shared speed shows it or the health record. */
static bool is_suspect(const struct dispatch *d, const struct dispatch_job *job,
		       const struct dispatch_task *task, int64_t now_ms)
{
	const struct dispatch_server *server = task->server;

	if (server_run_ms(d, server, job) >=
	    SUSPECT_SLOWNESS * task->expected_ms)
		return true;
	return server->late_jobs >= SUSPECT_JOBS &&
	       server->late_jobs * 2 >= server->jobs &&
	       now_ms - server->last_success_ms >= SUSPECT_NO_SUCCESS_MS;
}

/* The run time that was expected when the run was sent. If the speed of its
 * server wasn't known then, what other runs have shown since replaces it. If it
 * was known, the server has changed, and the run is better moved. While there
 * is just time left for another run, only the first value counts, as the server
 * may hang. A run that is slowed down by runs beside it isn't late because of
 * that. */
static double expected_ms(const struct dispatch *d,
			  const struct dispatch_job *job,
			  const struct dispatch_task *task, int64_t now_ms)
{
	double ms = task->expected_ms;

	if (!task->speed_was_known &&
	    task->server->speed_measured_ms > task->sent_ms &&
	    now_ms + (int64_t)(job->predicted_ms * RERUN_MARGIN) <
		    job->deadline_ms)
		ms = MAX(ms, server_expected_ms(task->server, job));
	return ms * run_interference(d, job, task);
}

static int64_t late_after_ms(const struct dispatch *d,
			     const struct dispatch_job *job,
			     const struct dispatch_task *task, bool suspect,
			     int64_t now_ms)
{
	double ms = expected_ms(d, job, task, now_ms);

	if (job->slowest_ms)
		ms *= (suspect ? LATE_FACTOR_SIBLINGS_SUSPECT
			       : LATE_FACTOR_SIBLINGS) *
		      job->slowest_ms / job->predicted_ms;
	else
		ms *= suspect ? LATE_FACTOR_PREDICTION_SUSPECT
			      : LATE_FACTOR_PREDICTION;
	return (int64_t)ms + LATE_MARGIN_MS;
}

static void count_run(struct dispatch_server *server,
		      const struct dispatch_job *job, bool late)
{
	server->jobs += server->last_counted_job != job;
	server->last_counted_job = job;
	if (!late)
		return;
	server->late_jobs += server->last_late_job != job;
	server->last_late_job = job;
}

static void count_late_runs(struct dispatch *d, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < d->servers->len; i++) {
		struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);

		server->jobs = 0;
		server->late_jobs = 0;
		server->last_counted_job = NULL;
		server->last_late_job = NULL;
	}
	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_job *job = value;

		for (uint32_t i = 0; job->n_sent && i < job->spec.n_tasks;
		     i++) {
			const struct dispatch_task *task = &job->tasks[i];

			if (task->state == DISPATCH_TASK_SENT)
				count_run(task->server, job,
					  now_ms - task->sent_ms >
						  late_after_ms(d, job, task,
								true, now_ms));
		}
	}
}

static void move_run(struct dispatch *d, struct dispatch_job *job,
		     struct dispatch_task *task, int64_t now_ms)
{
	struct run_name name = { .index = task->index, .number = task->number };

	task->stopping = true;
	task->moves++;
	g_strlcpy(name.job, job->id, sizeof(name.job));
	log_event(LOG_INFO, "run_moved",
		  "job=%s index=%u number=%u server=%s since_sent_ms=%" PRId64
		  " predicted_ms=%u expected_ms=%d late_jobs=%u jobs=%u",
		  job->id, task->index, task->number, task->server->state.name,
		  now_ms - task->sent_ms, job->predicted_ms,
		  (int)expected_ms(d, job, task, now_ms),
		  task->server->late_jobs, task->server->jobs);
	d->sink->ops->stop(d->sink, task->server->agent->identity.incarnation,
			   &name);
}

static void check_run(struct dispatch *d, struct dispatch_job *job,
		      struct dispatch_task *task, int64_t now_ms)
{
	int64_t ran_ms = now_ms - task->sent_ms;
	bool suspect = is_suspect(d, job, task, now_ms);

	if (task->stopping ||
	    ran_ms <= late_after_ms(d, job, task, suspect, now_ms))
		return;
	/* A server that accepts nothing may have crashed. If it hasn't, its
	 * runs are judged when it accepts work again. */
	if (!task->overdue_reported && task->server->state.accepting) {
		task->overdue_reported = true;
		cf_health_overdue(
			d->health, task->server->id, (uint32_t)ran_ms,
			(uint32_t)lround(expected_ms(d, job, task, now_ms)),
			now_ms);
	}
	/* Where other runs succeed meanwhile and no other task of the job shows
	 * how long it takes, the job is long and not the server slow. */
	if (!suspect && !job->slowest_ms &&
	    task->server->last_success_ms > task->sent_ms)
		return;
	if (task->moves < MOVES_MAX && task->server->agent->connected &&
	    now_ms + job->predicted_ms < job->deadline_ms)
		move_run(d, job, task, now_ms);
}

void dispatch_move_late_runs(struct dispatch *d, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	count_late_runs(d, now_ms);
	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_job *job = value;

		for (uint32_t i = 0; !job->ended && i < job->spec.n_tasks; i++)
			if (job->tasks[i].state == DISPATCH_TASK_SENT)
				check_run(d, job, &job->tasks[i], now_ms);
	}
}
