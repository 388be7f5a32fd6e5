/*
 * dispatch_runs: what came of each run, and what that means for its task:
 * done, to be started again elsewhere, or failed as often as it may.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define NUMBER_STEP_OUTDATED 16 /* above what an earlier owner used */

/* ---- Ends of runs --------------------------------------------------- */

static void leave_server(struct djob *job, struct dtask *task)
{
	server_ended(task->server, job);
	job->n_sent--;
}

/* It is no longer at a server and has to be placed again. */
static void task_returned(struct dispatch *d, struct djob *job,
			  struct dtask *task, int64_t now_ms)
{
	leave_server(job, task);
	task->state = DTASK_WAITING;
	task->avoided = task->server->id;
	task->server = NULL;
	task->stopping = false;
	task->overdue_told = false;
	if (job->ended) {
		dispatch_free_job_if_over(d, job);
		return;
	}
	dispatch_count_waiting(job, 1);
	if (now_ms + job->predicted_ms > job->deadline_ms) {
		dispatch_give_up(d, job, "no time is left to run a task again",
				 now_ms);
		dispatch_free_job_if_over(d, job);
		return;
	}
	dispatch_queue_job(d, job);
}

static void blame_failures(struct dispatch *d, const struct djob *job,
			   const struct dtask *task, int64_t now_ms)
{
	for (guint i = 0; task->failed_on && i < task->failed_on->len; i++)
		cf_health_result(
			d->health, g_array_index(task->failed_on, uint64_t, i),
			false, job->predicted_ms, job->predicted_ms, now_ms);
}

static void task_done(struct dispatch *d, struct djob *job, struct dtask *task,
		      uint32_t run_ms, int64_t now_ms)
{
	uint64_t server = task->server->id;

	cf_health_result(d->health, server, true, run_ms, job->predicted_ms,
			 now_ms);
	cf_predict_learn(d->predict, job->class->name,
			 MAX(job->spec.estimate_ms, 1), run_ms);
	blame_failures(d, job, task, now_ms);
	task->server->done_ms = now_ms;
	job->slowest_ms = MAX(job->slowest_ms, run_ms);
	leave_server(job, task);
	task->state = DTASK_DONE;
	task->server = NULL;
	job->n_done++;
	if (job->n_done == job->spec.n_tasks)
		dispatch_end_job(d, job, JOB_VERDICT_COMPLETED,
				 "all ended well", 0);
	dispatch_free_job_if_over(d, job);
}

static void task_failed(struct dispatch *d, struct djob *job,
			struct dtask *task, int64_t now_ms)
{
	uint64_t server = task->server->id;

	if (!task->failed_on)
		task->failed_on = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(task->failed_on, server);
	task->failures++;
	if (task->failures >= job->route.attempts_max && !job->ended)
		dispatch_end_job(d, job, JOB_VERDICT_FAILED,
				 "a task failed as often as it may", 0);
	task_returned(d, job, task, now_ms);
}

static bool is_at(const struct dtask *task, uint64_t agent)
{
	return task->state == DTASK_SENT && task->server->agent &&
	       task->server->agent->identity.incarnation == agent;
}

/* False: the run isn't the newest one of a task that is at this agent. */
static bool find_run(struct dispatch *d, uint64_t agent,
		     const struct run_name *name, struct djob **job,
		     struct dtask **task)
{
	*job = g_hash_table_lookup(d->jobs, name->job);
	if (!*job || name->index >= (*job)->spec.n_tasks)
		return false;
	*task = &(*job)->tasks[name->index];
	return (*task)->state == DTASK_SENT &&
	       (*task)->number == name->number && (*task)->server->agent &&
	       (*task)->server->agent->identity.incarnation == agent;
}

void dispatch_take_end(struct dispatch *d, uint64_t agent,
		       const struct run_result *result, int64_t now_ms)
{
	struct djob *job;
	struct dtask *task;

	if (!find_run(d, agent, &result->name, &job, &task))
		return;
	log_event(LOG_INFO, "run_settled",
		  "job=%s index=%u number=%u agent=%s server=%s outcome=%d "
		  "run_ms=%u since_sent_ms=%" PRId64,
		  job->id, task->index, task->number,
		  task->server->agent->identity.name, task->server->state.name,
		  result->outcome, result->run_ms, now_ms - task->sent_ms);
	switch (result->outcome) {
	case RUN_OUTCOME_DONE:
		task_done(d, job, task, result->run_ms, now_ms);
		break;
	case RUN_OUTCOME_FAILED:
		task_failed(d, job, task, now_ms);
		break;
	case RUN_OUTCOME_STALE:
		task->number += NUMBER_STEP_OUTDATED;
		task_returned(d, job, task, now_ms);
		break;
	default:
		task_returned(d, job, task, now_ms);
		break;
	}
	dispatch_pump(d, now_ms);
}

GArray *dispatch_runs_at(const struct dispatch *d, uint64_t agent,
			 bool stopping)
{
	GArray *runs = g_array_new(FALSE, TRUE, sizeof(struct run_name));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct djob *job = value;

		for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
			const struct dtask *task = &job->tasks[i];
			struct run_name name = { .index = i,
						 .number = task->number };

			if (!is_at(task, agent) ||
			    (task->stopping && !stopping))
				continue;
			g_strlcpy(name.job, job->id, sizeof(name.job));
			g_array_append_val(runs, name);
		}
	}
	return runs;
}
