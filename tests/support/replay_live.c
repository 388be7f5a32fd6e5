/*
 * replay_live: see replay_live.h.
 */
#include "replay_live.h"

#include <string.h>

/* Run time of a task at a server that fails every task. */
static const uint32_t FAIL_RUN_MS = 1;
/* A task is overdue at this multiple of its prediction. */
static const int64_t OVERDUE_TIMES = 3;
/* Percentile of the run times that is used as the prediction. */
static const uint32_t PREDICT_MILLI = 50000;

/* ---- Jobs ----------------------------------------------------------- */

static guint class_of(const struct replay_run *run, const char *name)
{
	guint i = 0;

	while (i + 1 < run->replay->classes->len &&
	       strcmp(g_array_index(run->replay->classes, struct cf_admit_class,
				    i)
			      .name,
		      name) != 0)
		i++;
	return i;
}

static void make_tasks(struct replay_run *run, struct replay_active_job *job)
{
	const struct replay_job *recorded = job->recorded;

	job->tasks = g_new0(struct replay_task, recorded->n_tasks);
	for (uint32_t i = 0; i < recorded->n_tasks; i++) {
		struct replay_task *task = &job->tasks[i];

		task->job = job;
		task->index = i;
		task->run_ms = recorded->run_ms[i];
		if (recorded->declared_ms != NULL)
			task->declared_ms = recorded->declared_ms[i];
		task->predicted_ms =
			cf_predict_ms(run->predict, recorded->class_name,
				      task->declared_ms, PREDICT_MILLI);
		job->admitted.longest_ms =
			MAX(job->admitted.longest_ms,
			    cf_predict_ms(run->predict, recorded->class_name,
					  task->declared_ms, PREDICT_MILLI));
		job->admitted.work_ms += task->predicted_ms;
	}
}

void replay_arrive(struct replay_run *run, const struct replay_job *recorded)
{
	struct replay_active_job *job = g_new0(struct replay_active_job, 1);
	guint class = class_of(run, recorded->class_name);
	uint32_t retry_ms;

	job->recorded = recorded;
	job->admitted.class_name = recorded->class_name;
	job->admitted.team = "";
	job->admitted.n_tasks = recorded->n_tasks;
	job->admitted.deadline_ms = recorded->deadline_ms;
	make_tasks(run, job);
	g_ptr_array_add(run->jobs, job);
	run->class_asked[class]++;
	run->tasks += recorded->n_tasks;
	if (run->full_policy && cf_admitter_admit(run->admitter, &job->admitted,
						  run->now_ms, &retry_ms)) {
		run->refused++;
		run->class_refused[class]++;
		job->dropped = true;
		return;
	}
	job->n_waiting = recorded->n_tasks;
	g_ptr_array_add(run->waiting, job);
}

static void answer(struct replay_run *run, struct replay_active_job *job)
{
	const struct replay_job *recorded = job->recorded;
	guint class = class_of(run, recorded->class_name);
	uint32_t response_ms = (uint32_t)(run->now_ms - recorded->at_ms);
	uint32_t longest_ms = 0;
	double slowdown;

	if (run->full_policy)
		cf_admitter_ended(run->admitter, &job->admitted, job->started,
				  !job->failed, response_ms, run->now_ms);
	if (job->dropped) {
		run->dropped++;
		return;
	}
	if (job->failed) {
		run->failed++;
		return;
	}
	run->answered++;
	run->class_answered[class]++;
	for (uint32_t i = 0; i < recorded->n_tasks; i++)
		longest_ms = MAX(longest_ms, recorded->run_ms[i]);
	slowdown = (double)response_ms / (longest_ms + 2 * ONE_WAY_MS);
	g_array_append_val(run->slowdowns, slowdown);
	if (response_ms <=
	    g_array_index(run->replay->classes, struct cf_admit_class, class)
		    .target_ms) {
		run->within++;
		run->class_within[class]++;
	}
}

static void complete_task(struct replay_run *run, struct replay_task *task)
{
	struct replay_active_job *job = task->job;
	uint32_t run_ms = (uint32_t)(task->end_ms - task->started_ms);

	task->state = REPLAY_COMPLETED;
	if (run->full_policy)
		cf_admitter_task_ended(run->admitter, &job->admitted,
				       task->predicted_ms, run->now_ms);
	g_ptr_array_remove(run->servers[task->server].tasks, task);
	cf_health_result(run->health, task->server, task->ok, run_ms,
			 task->predicted_ms, run->now_ms);
	if (task->ok)
		cf_predict_learn(run->predict, job->recorded->class_name,
				 task->declared_ms, run_ms);
	else
		run->lost++;
	job->failed |= !task->ok;
	if (++job->n_completed == job->recorded->n_tasks)
		answer(run, job);
}

void replay_drop(struct replay_run *run, struct replay_active_job *job)
{
	job->n_completed += job->n_waiting;
	job->n_waiting = 0;
	g_ptr_array_remove(run->waiting, job);
	if (job->n_completed == job->recorded->n_tasks)
		answer(run, job);
}

/* Reports a task that runs far longer than predicted to cf_health. */
static void check_overdue(struct replay_run *run, struct replay_task *task)
{
	int64_t run_ms = run->now_ms - task->started_ms;

	if (task->overdue || !task->running ||
	    run_ms < (int64_t)task->predicted_ms * OVERDUE_TIMES)
		return;
	task->overdue = true;
	cf_health_overdue(run->health, task->server, (uint32_t)run_ms,
			  task->predicted_ms, run->now_ms);
}

/* ---- Servers -------------------------------------------------------- */

/* Returns the queued task with the least slack; for baselines, the task that
 * was sent first. */
static struct replay_task *next_queued(const struct replay_run *run,
				       const struct replay_server *server)
{
	struct replay_task *next = NULL;
	int64_t least = INT64_MAX;

	for (guint i = 0; i < server->tasks->len; i++) {
		struct replay_task *task = server->tasks->pdata[i];
		int64_t order;

		if (task->running || task->state != REPLAY_SENT ||
		    run->now_ms < task->sent_ms + ONE_WAY_MS)
			continue;
		order = run->full_policy
				? cf_admitter_order_key(
					  run->admitter, &task->job->admitted,
					  task->job->recorded->at_ms,
					  run->now_ms)
				: (int64_t)i;
		if (next == NULL || order < least) {
			next = task;
			least = order;
		}
	}
	return next;
}

static void start_tasks(struct replay_run *run, struct replay_server *server)
{
	while (server->running < run->replay->slots) {
		struct replay_task *task = next_queued(run, server);

		if (task == NULL)
			return;
		task->running = true;
		task->ok = !server->fails;
		task->started_ms = run->now_ms;
		task->end_ms = run->now_ms;
		if (server->fails)
			task->end_ms += FAIL_RUN_MS;
		else
			task->end_ms +=
				(int64_t)(task->run_ms * server->slowness);
		server->running++;
	}
}

void replay_step_server(struct replay_run *run, struct replay_server *server)
{
	for (guint i = server->tasks->len; i-- > 0;) {
		struct replay_task *task = server->tasks->pdata[i];

		check_overdue(run, task);
		if (task->running && run->now_ms >= task->end_ms) {
			task->running = false;
			task->state = REPLAY_ENDED;
			server->running--;
		}
		if (task->state == REPLAY_ENDED &&
		    run->now_ms >= task->end_ms + ONE_WAY_MS)
			complete_task(run, task);
	}
	start_tasks(run, server);
}

void replay_disable_server(struct replay_run *run, struct replay_server *server)
{
	server->disabled = true;
	for (guint i = server->tasks->len; i-- > 0;) {
		struct replay_task *task = server->tasks->pdata[i];

		if (task->running || task->state != REPLAY_SENT)
			continue;
		g_ptr_array_remove_index(server->tasks, i);
		task->state = REPLAY_WAITING;
		if (task->job->n_waiting++ == 0)
			g_ptr_array_add(run->waiting, task->job);
	}
}
