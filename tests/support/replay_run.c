/*
 * replay_run: simulates a recorded trace on a virtual clock with the real
 * admission, placement and health code. One dispatcher is ONE_WAY_MS away
 * from each simulated server, which runs a task on a free slot or queues it.
 */
#include "replay_run.h"

#include <stdlib.h>
#include <string.h>

#include "replay_live.h"

/* The simulation continues this long after the last job arrived. */
static const int64_t DRAIN_MS = 20000;

/* ---- Placement ------------------------------------------------------ */

static void describe_agent(const struct replay_run *run, uint32_t i,
			   struct cf_place_agent *agent)
{
	const struct replay_server *server = &run->servers[i];
	uint32_t sent = server->tasks->len;

	*agent = (struct cf_place_agent){
		.incarnation = i,
		.capacity = { .slots = run->replay->slots, .connections = 64 },
		.distance_us = 1000 * ONE_WAY_MS,
		.weight_milli =
			cf_health_weight_milli(run->health, i, run->now_ms),
		.slowness = cf_health_slowness(run->health, i),
		.usable = !server->disabled,
	};
	agent->used.slots = MIN(sent, run->replay->slots);
	agent->used.connections = agent->used.slots;
	agent->queued = sent - agent->used.slots;
	for (guint t = 0; t < sent; t++) {
		const struct replay_task *task = server->tasks->pdata[t];
		double left = task->predicted_ms * agent->slowness;

		if (t < run->replay->slots)
			left -= (double)(run->now_ms - task->sent_ms);
		agent->backlog_ms += (uint32_t)MAX(left, 0.0);
	}
}

/* Places as many tasks of a job as possible. Returns whether all are placed. */
static bool place_job(struct replay_run *run, struct replay_active_job *job,
		      struct cf_place_agent *agents)
{
	struct cf_place_task *places =
		g_new0(struct cf_place_task, job->n_waiting);
	uint32_t n = 0;

	for (uint32_t i = 0; i < job->recorded->n_tasks; i++) {
		if (job->tasks[i].state != REPLAY_WAITING)
			continue;
		places[n].index = i;
		places[n++].predicted_ms = job->tasks[i].predicted_ms;
	}
	cf_placer_place(run->placer, agents, run->replay->servers, places, n);
	for (uint32_t i = 0; i < n; i++) {
		struct replay_task *task = &job->tasks[places[i].index];

		if (places[i].agent == CF_PLACE_NONE)
			continue;
		task->server = places[i].agent;
		task->state = REPLAY_SENT;
		task->sent_ms = run->now_ms;
		g_ptr_array_add(run->servers[task->server].tasks, task);
		cf_health_sent(run->health, task->server, 1, run->now_ms);
		if (run->full_policy)
			cf_admitter_placed(run->admitter, &job->admitted,
					   task->predicted_ms, run->now_ms);
		job->n_waiting--;
	}
	g_free(places);
	return job->n_waiting == 0;
}

struct ordered {
	struct replay_active_job *job;
	int64_t urgency;
};

static int by_urgency(const void *a, const void *b)
{
	const struct ordered *left = a;
	const struct ordered *right = b;

	if (left->urgency != right->urgency)
		return left->urgency < right->urgency ? -1 : 1;
	return left->job->recorded->at_ms < right->job->recorded->at_ms ? -1
									: 1;
}

static void place_all(struct replay_run *run)
{
	struct cf_place_agent agents[REPLAY_SERVERS_MAX];
	guint n = run->waiting->len;
	struct ordered *order = g_new(struct ordered, n + 1);

	for (guint i = 0; i < n; i++) {
		struct replay_active_job *job = run->waiting->pdata[i];

		order[i].job = job;
		order[i].urgency = cf_admitter_order_key(
			run->admitter, &job->admitted, job->recorded->at_ms,
			run->now_ms);
	}
	qsort(order, n, sizeof(*order), by_urgency);
	for (uint32_t i = 0; n > 0 && i < run->replay->servers; i++)
		describe_agent(run, i, &agents[i]);
	for (guint i = 0; i < n; i++) {
		struct replay_active_job *job = order[i].job;

		if (job->failed || job->dropped) {
			replay_drop(run, job);
			continue;
		}
		if (!place_job(run, job, agents))
			continue;
		g_ptr_array_remove(run->waiting, job);
		if (run->full_policy && !job->started)
			cf_admitter_started(run->admitter, &job->admitted,
					    run->now_ms);
		job->started = true;
	}
	g_free(order);
}

/* ---- Events --------------------------------------------------------- */

/* Number of servers in the first data centre: 40 %, rounded up. */
static uint32_t first_centre(const struct replay_run *run)
{
	return (run->replay->servers * 4 + 9) / 10;
}

static void cancel_class(struct replay_run *run, const char *class_name)
{
	for (guint i = run->jobs->len; i-- > 0;) {
		struct replay_active_job *job = run->jobs->pdata[i];

		if (strcmp(job->recorded->class_name, class_name) == 0 &&
		    job->n_completed < job->recorded->n_tasks)
			job->dropped = true;
	}
}

static void apply_event(struct replay_run *run,
			const struct replay_event *event)
{
	const char *value = strchr(event->detail, '=');
	uint32_t n = 0;

	if (strcmp(event->what, "slow") == 0)
		run->servers[0].slowness = 5;
	if (strcmp(event->what, "fail") == 0)
		run->servers[0].fails = true;
	if (strcmp(event->what, "cancel") == 0)
		cancel_class(run, value + 1);
	if (strcmp(event->what, "leave") == 0)
		n = (uint32_t)strtoul(value + 1, NULL, 10);
	if (strcmp(event->what, "out") == 0)
		n = first_centre(run);
	for (uint32_t i = 0; i < n; i++)
		replay_disable_server(run, &run->servers[i]);
	if (strcmp(event->what, "in") != 0)
		return;
	for (uint32_t i = 0; i < first_centre(run); i++) {
		run->servers[i].disabled = false;
		cf_health_join(run->health, i, run->now_ms);
	}
}

/* ---- Simulation ------------------------------------------------------ */

static void step(struct replay_run *run, bool measured)
{
	uint32_t usable = 0;
	uint32_t running = 0;

	for (uint32_t i = 0; i < run->replay->servers; i++) {
		replay_step_server(run, &run->servers[i]);
		usable += run->servers[i].disabled ? 0 : run->replay->slots;
		running += run->servers[i].running;
	}
	if (run->now_ms % 50 == 0) {
		cf_health_tick(run->health, run->now_ms);
		cf_admitter_set_capacity(run->admitter, usable, run->now_ms);
	}
	place_all(run);
	if (!measured)
		return;
	run->busy_ms += running;
	run->usable_ms += usable;
}

static void simulate_all(struct replay_run *run)
{
	const struct replay *replay = run->replay;
	guint n = replay->jobs->len;
	int64_t end_ms =
		g_array_index(replay->jobs, struct replay_job, n - 1).at_ms;
	guint job = 0;
	guint event = 0;

	for (; run->now_ms < end_ms + DRAIN_MS; run->now_ms++) {
		for (; event < replay->events->len &&
		       g_array_index(replay->events, struct replay_event, event)
				       .at_ms <= run->now_ms;
		     event++)
			apply_event(run,
				    &g_array_index(replay->events,
						   struct replay_event, event));
		for (; job < n &&
		       g_array_index(replay->jobs, struct replay_job, job)
				       .at_ms <= run->now_ms;
		     job++)
			replay_arrive(run,
				      &g_array_index(replay->jobs,
						     struct replay_job, job));
		step(run, run->now_ms <= end_ms);
	}
}

static struct replay_run *run_create(const struct replay *replay,
				     const char *policy)
{
	struct replay_run *run = g_new0(struct replay_run, 1);
	guint n_classes = replay->classes->len;

	run->replay = replay;
	run->predict = cf_predict_create();
	run->admitter = cf_admitter_create(1);
	run->health = cf_health_create(300);
	run->placer = cf_placer_create(policy, 1);
	run->full_policy = strcmp(policy, "finish") == 0;
	run->waiting = g_ptr_array_new();
	run->jobs = g_ptr_array_new();
	run->slowdowns = g_array_new(FALSE, FALSE, sizeof(double));
	run->class_asked = g_new0(uint32_t, n_classes);
	run->class_answered = g_new0(uint32_t, n_classes);
	run->class_within = g_new0(uint32_t, n_classes);
	run->class_refused = g_new0(uint32_t, n_classes);
	cf_admitter_set_classes(
		run->admitter,
		(const struct cf_admit_class *)(void *)replay->classes->data,
		n_classes, NULL, 0);
	for (uint32_t i = 0; i < replay->servers; i++) {
		run->servers[i].tasks = g_ptr_array_new();
		run->servers[i].slowness = 1;
		cf_health_join(run->health, i, 0);
	}
	return run;
}

static void run_destroy(struct replay_run *run)
{
	cf_predict_destroy(run->predict);
	cf_admitter_destroy(run->admitter);
	cf_health_destroy(run->health);
	cf_placer_destroy(run->placer);
	for (uint32_t i = 0; i < run->replay->servers; i++)
		g_ptr_array_free(run->servers[i].tasks, TRUE);
	for (guint i = 0; i < run->jobs->len; i++) {
		struct replay_active_job *job = run->jobs->pdata[i];

		g_free(job->tasks);
		g_free(job);
	}
	g_ptr_array_free(run->waiting, TRUE);
	g_ptr_array_free(run->jobs, TRUE);
	g_array_free(run->slowdowns, TRUE);
	g_free(run->class_asked);
	g_free(run->class_answered);
	g_free(run->class_within);
	g_free(run->class_refused);
	g_free(run);
}

/* ---- Outcome -------------------------------------------------------- */

static int by_value(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double quantile(GArray *values, double share)
{
	guint at = (guint)(share * values->len);

	if (values->len == 0)
		return 0;
	return g_array_index(values, double, MIN(at, values->len - 1));
}

void replay_simulate(const struct replay *replay, const char *policy,
		     struct replay_outcome *outcome)
{
	struct replay_run *run = run_create(replay, policy);

	simulate_all(run);
	qsort(run->slowdowns->data, run->slowdowns->len, sizeof(double),
	      by_value);
	memset(outcome, 0, sizeof(*outcome));
	outcome->p50 = quantile(run->slowdowns, 0.5);
	outcome->p99 = quantile(run->slowdowns, 0.99);
	outcome->jobs = run->jobs->len;
	outcome->within = run->within;
	outcome->answered = run->answered;
	outcome->refused = run->refused;
	outcome->failed = run->failed;
	outcome->dropped = run->dropped;
	outcome->tasks = run->tasks;
	outcome->tasks_lost = run->lost;
	outcome->busy = (double)run->busy_ms / (double)run->usable_ms;
	outcome->n_classes = MIN(replay->classes->len, REPLAY_CLASSES_MAX);
	for (guint i = 0; i < outcome->n_classes; i++) {
		outcome->classes[i].asked = run->class_asked[i];
		outcome->classes[i].answered = run->class_answered[i];
		outcome->classes[i].within = run->class_within[i];
		outcome->classes[i].refused = run->class_refused[i];
	}
	run_destroy(run);
}
