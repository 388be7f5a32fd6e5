/*
 * dispatch_runs: handles the outcome of each run. Its task is done, is
 * retried on another server, has used up its attempts, or is given up because
 * servers crashed under it.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* Added to a task's run number when an agent has seen a higher one, which an
 * earlier dispatcher of this job has used. */
#define NUMBER_STEP_STALE 16

/* ---- Outcomes of runs ----------------------------------------------- */

static void detach_from_server(struct dispatch_job *job,
			       struct dispatch_task *task)
{
	server_remove_run(task->server, job);
	task->server->suspects -= task->suspect;
	job->n_sent--;
}

/* The task's run has ended without success: queues the task again. A server
 * that had no free capacity isn't avoided. */
static void requeue_task(struct dispatch *d, struct dispatch_job *job,
			 struct dispatch_task *task, enum run_outcome outcome,
			 int64_t now_ms)
{
	detach_from_server(job, task);
	task->state = DISPATCH_TASK_WAITING;
	if (outcome != RUN_OUTCOME_NOT_STARTED)
		task->avoided_server = task->server->id;
	task->server = NULL;
	task->stopping = false;
	task->overdue_reported = false;
	if (job->ended) {
		dispatch_free_job_if_finished(d, job, now_ms);
		return;
	}
	dispatch_count_waiting(d, job, 1);
	if (now_ms + job->predicted_ms > job->deadline_ms) {
		dispatch_abort_job(
			d, job, "no time is left to run a task again", now_ms);
		dispatch_free_job_if_finished(d, job, now_ms);
		return;
	}
	dispatch_queue_job(d, job);
}

/* The task has succeeded, so its earlier failures were the servers' fault. */
static void record_failures(struct dispatch *d, const struct dispatch_job *job,
			    const struct dispatch_task *task, int64_t now_ms)
{
	for (guint i = 0; task->failed_on && i < task->failed_on->len; i++)
		cf_health_result(
			d->health, g_array_index(task->failed_on, uint64_t, i),
			false, job->predicted_ms, job->predicted_ms, now_ms);
}

static void task_done(struct dispatch *d, struct dispatch_job *job,
		      struct dispatch_task *task, uint32_t run_ms,
		      int64_t now_ms)
{
	double expected_ms = server_expected_ms(task->server, job);
	/* The run's time without the slowdown by runs beside it, which
	 * placement counts separately, and what that would have been at average
	 * speed. Predictions would otherwise grow with both. */
	double slowdown = run_interference(d, job, task);
	double alone_ms = run_ms / slowdown;
	uint32_t average_ms = (uint32_t)lround(alone_ms * job->predicted_ms /
					       MAX(expected_ms, 1));

	cf_health_result(d->health, task->server->id, true,
			 (uint32_t)lround(alone_ms),
			 (uint32_t)lround(expected_ms), now_ms);
	cf_predict_learn(d->predict, job->class->name,
			 MAX(job->spec.estimate_ms, 1), average_ms);
	class_add_slowdown(job->class, slowdown);
	record_failures(d, job, task, now_ms);
	task->server->last_success_ms = now_ms;
	job->slowest_ms = MAX(job->slowest_ms, average_ms);
	detach_from_server(job, task);
	task->state = DISPATCH_TASK_DONE;
	task->server = NULL;
	job->n_done++;
	if (job->n_done == job->spec.n_tasks)
		dispatch_end_job(d, job, JOB_VERDICT_COMPLETED,
				 "all ended well", 0);
	dispatch_free_job_if_finished(d, job, now_ms);
}

static void task_failed(struct dispatch *d, struct dispatch_job *job,
			struct dispatch_task *task, int64_t now_ms)
{
	uint64_t server = task->server->id;

	if (!task->failed_on)
		task->failed_on = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(task->failed_on, server);
	task->failures++;
	if (task->failures >= job->route.attempts_max && !job->ended)
		dispatch_end_job(d, job, JOB_VERDICT_FAILED,
				 "a task failed as often as it may", 0);
	requeue_task(d, job, task, RUN_OUTCOME_FAILED, now_ms);
}

/* The task's server can't read its start, so nothing ran and no attempt was
 * made. Other servers will hardly read it either. */
static void task_unreadable(struct dispatch *d, struct dispatch_job *job,
			    struct dispatch_task *task, int64_t now_ms)
{
	task->unreadable_starts++;
	if (task->unreadable_starts >= job->route.attempts_max)
		dispatch_abort_job(
			d, job,
			"backend servers can't read the start of a task",
			now_ms);
	requeue_task(d, job, task, RUN_OUTCOME_UNREADABLE, now_ms);
}

/* The task's server has crashed. That counts neither as an attempt of the task
 * nor against the health of the server. */
static void task_lost(struct dispatch *d, struct dispatch_job *job,
		      struct dispatch_task *task,
		      const struct run_result *result, int64_t now_ms)
{
	task->lost_on[task->n_lost_on++ % TASK_LOSSES_MAX] = task->server->id;
	d->lost_runs++;
	losses_add(d, result, now_ms);
	losses_end_job(d, job);
	contain_note_loss(d, job, task, result->run_ms);
	requeue_task(d, job, task, RUN_OUTCOME_LOST, now_ms);
}

static bool is_at_agent(const struct dispatch_task *task, uint64_t agent)
{
	return task->state == DISPATCH_TASK_SENT && task->server->agent &&
	       task->server->agent->identity.incarnation == agent;
}

/* Finds the task of a run. Returns false if the run is not the task's newest
 * one or is not at this agent. */
static bool find_run(struct dispatch *d, uint64_t agent,
		     const struct run_name *name, struct dispatch_job **job,
		     struct dispatch_task **task)
{
	*job = g_hash_table_lookup(d->jobs, name->job);
	if (!*job || name->index >= (*job)->spec.n_tasks)
		return false;
	*task = &(*job)->tasks[name->index];
	return (*task)->state == DISPATCH_TASK_SENT &&
	       (*task)->number == name->number && (*task)->server->agent &&
	       (*task)->server->agent->identity.incarnation == agent;
}

void dispatch_handle_result(struct dispatch *d, uint64_t agent,
			    const struct run_result *result, int64_t now_ms)
{
	struct dispatch_job *job;
	struct dispatch_task *task;

	if (!result->name.number && result->outcome == RUN_OUTCOME_LOST) {
		losses_add_foreign(d, result, now_ms);
		return;
	}
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
	case RUN_OUTCOME_LOST:
		task_lost(d, job, task, result, now_ms);
		break;
	case RUN_OUTCOME_UNREADABLE:
		task_unreadable(d, job, task, now_ms);
		break;
	case RUN_OUTCOME_STALE:
		task->number += NUMBER_STEP_STALE;
		requeue_task(d, job, task, result->outcome, now_ms);
		break;
	default:
		requeue_task(d, job, task, result->outcome, now_ms);
		break;
	}
	dispatch_place_tasks(d, now_ms);
}

GArray *dispatch_list_runs(const struct dispatch *d, uint64_t agent)
{
	GArray *runs = g_array_new(FALSE, TRUE, sizeof(struct sent_run));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_job *job = value;

		for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
			const struct dispatch_task *task = &job->tasks[i];
			struct sent_run run = { { .index = i,
						  .number = task->number },
						task->stopping };

			if (!is_at_agent(task, agent))
				continue;
			g_strlcpy(run.name.job, job->id, sizeof(run.name.job));
			g_array_append_val(runs, run);
		}
	}
	return runs;
}
