/*
 * dispatcher_place: assigns the tasks of waiting jobs to agents, the most
 * urgent job first, and sends one Dispatch message per job and agent. Loop
 * thread only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/trace_file.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

/* Placement stops after this many jobs that could not be placed completely. */
#define UNPLACED_JOBS_MAX 64
#define PREDICT_PERCENTILE 50000
#define DEFAULT_TARGET_MS 1000

/* ---- Waiting jobs ---- */

static void fill_admit_job(struct dispatcher_job *j)
{
	struct cf_admit_job *admit = &j->admit;
	GArray *tasks = j->request->tasks;
	guint i;

	admit->class_name = j->request->class_name;
	admit->team = j->request->team;
	admit->n_tasks = tasks->len;
	admit->longest_ms = 0;
	admit->work_ms = 0;
	for (i = 0; i < tasks->len; i++) {
		uint32_t ms =
			g_array_index(tasks, struct task_spec, i).predicted_ms;

		admit->longest_ms = MAX(admit->longest_ms, ms);
		admit->work_ms += ms;
	}
	admit->deadline_ms = (uint32_t)(j->deadline_ms - j->arrived_ms);
}

void place_predict(struct dispatcher *d, struct dispatcher_job *j)
{
	GArray *tasks = j->request->tasks;
	guint i;

	for (i = 0; i < tasks->len; i++) {
		struct task_spec *t =
			&g_array_index(tasks, struct task_spec, i);

		t->predicted_ms =
			cf_predict_ms(d->predict, j->request->class_name,
				      t->declared_ms, PREDICT_PERCENTILE);
	}
	fill_admit_job(j);
}

void place_add(struct dispatcher *d, struct dispatcher_job *j)
{
	if (j->owned)
		j->phase = JOB_PHASE_PLACING;
	if (!g_ptr_array_find(d->waiting, j, NULL))
		g_ptr_array_add(d->waiting, j);
	place_schedule(d);
}

void place_remove(struct dispatcher *d, struct dispatcher_job *j)
{
	g_ptr_array_remove_fast(d->waiting, j);
}

static void placement_posted(void *arg)
{
	struct dispatcher *d = arg;

	d->placement_posted = false;
	place_waiting_jobs(d);
}

void place_schedule(struct dispatcher *d)
{
	if (d->placement_posted || !d->waiting->len)
		return;
	d->placement_posted = true;
	loop_post(d->loop, placement_posted, d);
}

bool place_ever_fits(struct dispatcher *d, const struct dispatcher_job *j)
{
	GArray *tasks = j->request->tasks;
	guint i;

	/* Without known agents, the task may fit one that joins later. */
	if (!d->placement_agents->len)
		return true;
	for (i = 0; i < tasks->len; i++) {
		const struct task_spec *t =
			&g_array_index(tasks, struct task_spec, i);
		struct cf_place_task task = { i,
					      t->predicted_ms,
					      t->cpu_milli,
					      t->memory_mb,
					      t->accelerators,
					      CF_PLACE_NONE };

		if (!cf_place_ever_fits((void *)d->placement_agents->data,
					d->placement_agents->len, &task))
			return false;
	}
	return true;
}

/* ---- Dispatch ---- */

static uint32_t target_ms(struct dispatcher *d, const struct dispatcher_job *j)
{
	const struct cf_class *class = cf_config_find_class(
		session_config(d->session), j->request->class_name);

	return class ? class->target_ms : DEFAULT_TARGET_MS;
}

static void fill_task(const struct task_spec *from, uint32_t index,
		      Cfw__Task *task)
{
	gsize size;

	cfw__task__init(task);
	task->index = index;
	task->payload.data = (uint8_t *)g_bytes_get_data(from->payload, &size);
	task->payload.len = size;
	task->cpu_milli = from->cpu_milli;
	task->memory_mb = from->memory_mb;
	task->accelerators = from->accelerators;
	task->predicted_ms = from->predicted_ms;
}

static void fill_dispatch(struct dispatcher *d, struct dispatcher_job *j,
			  Cfw__Dispatch *dispatch, int64_t now_ms)
{
	int64_t waited_ms = now_ms - j->arrived_ms;
	int64_t slack_ms = (int64_t)target_ms(d, j) - waited_ms -
			   (int64_t)j->admit.longest_ms;

	dispatch->dispatcher = d->incarnation;
	dispatch->job = j->number;
	dispatch->key.data = j->key.bytes;
	dispatch->key.len = CF_KEY_SIZE;
	dispatch->class_name = j->request->class_name;
	dispatch->gated = !j->owned;
	dispatch->slack_ms = (uint32_t)MAX(slack_ms, 0);
	dispatch->deadline_ms = (uint32_t)MAX(j->deadline_ms - now_ms, 0);
	dispatch->revision = cf_config_revision(session_config(d->session));
	dispatch->fifo = d->fifo;
}

static void record_sent(struct dispatcher *d, struct dispatcher_job *j,
			struct dispatcher_agent *a, uint32_t index)
{
	char key[CF_KEY_TEXT_SIZE];

	cf_job_send(j->job, index, a->incarnation);
	agents_task_sent(
		d, a, j,
		&g_array_index(j->request->tasks, struct task_spec, index));
	if (!trace_enabled())
		return;
	cf_key_format(&j->key, key);
	trace_event("send",
		    "key=%s job=%" PRIu64 " agent=%016" PRIx64 " index=%u", key,
		    j->number, a->incarnation, index);
}

/* Sends all tasks that were placed on one agent in one message. */
static void send_to(struct dispatcher *d, struct dispatcher_job *j,
		    uint32_t position, struct cf_place_task *placed, size_t n,
		    int64_t now_ms)
{
	struct dispatcher_agent *a = d->agents_by_position->pdata[position];
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Dispatch dispatch = CFW__DISPATCH__INIT;
	Cfw__Task *tasks = g_new(Cfw__Task, n);
	Cfw__Task **pointers = g_new(Cfw__Task *, n);
	size_t i;

	fill_dispatch(d, j, &dispatch, now_ms);
	dispatch.tasks = pointers;
	for (i = 0; i < n; i++) {
		uint32_t index = placed[i].index;

		if (placed[i].agent != position)
			continue;
		fill_task(&g_array_index(j->request->tasks, struct task_spec,
					 index),
			  index, &tasks[dispatch.n_tasks]);
		pointers[dispatch.n_tasks] = &tasks[dispatch.n_tasks];
		dispatch.n_tasks++;
	}
	envelope.body_case = CFW__ENVELOPE__BODY_DISPATCH;
	envelope.dispatch = &dispatch;
	if (link_send(a->link, &envelope)) {
		counter_add(d->counters.tasks_sent, (int64_t)dispatch.n_tasks);
		cf_health_sent(d->health, a->incarnation, dispatch.n_tasks,
			       now_ms);
		for (i = 0; i < dispatch.n_tasks; i++)
			record_sent(d, j, a, tasks[i].index);
	}
	g_free(tasks);
	g_free(pointers);
	agents_refresh(d, a);
}

static void send_all(struct dispatcher *d, struct dispatcher_job *j,
		     struct cf_place_task *tasks, size_t n, int64_t now_ms)
{
	size_t i, k;

	for (i = 0; i < n; i++) {
		uint32_t position = tasks[i].agent;

		if (position == CF_PLACE_NONE)
			continue;
		for (k = 0; k < i && tasks[k].agent != position; k++)
			;
		if (k == i)
			send_to(d, j, position, tasks, n, now_ms);
	}
}

/* ---- Placement of waiting jobs ---- */

static bool refused(const struct dispatcher_job *j, uint64_t agent,
		    uint32_t index)
{
	guint i;

	for (i = 0; i < j->refusals->len; i++) {
		const struct refusal *r =
			&g_array_index(j->refusals, struct refusal, i);

		if (r->agent == agent && r->index == index)
			return true;
	}
	return false;
}

static void forget_refusals(struct dispatcher_job *j, int64_t now_ms)
{
	guint i = j->refusals->len;

	while (i--)
		if (now_ms >=
		    g_array_index(j->refusals, struct refusal, i).end_ms)
			g_array_remove_index_fast(j->refusals, i);
}

/* Returns true if the same agents refused both tasks. */
static bool same_refusals(const struct dispatcher_job *j, uint32_t a,
			  uint32_t b)
{
	guint i;

	for (i = 0; i < j->refusals->len; i++) {
		uint64_t agent =
			g_array_index(j->refusals, struct refusal, i).agent;

		if (refused(j, agent, a) != refused(j, agent, b))
			return false;
	}
	return true;
}

/* Makes agents that refused the task unusable, or restores their state. */
static void set_refusers_hidden(struct dispatcher *d, struct dispatcher_job *j,
				uint32_t index, bool hide)
{
	guint i;

	for (i = 0; i < j->refusals->len; i++) {
		uint64_t agent =
			g_array_index(j->refusals, struct refusal, i).agent;
		struct dispatcher_agent *a = agents_find(d, agent);

		if (!a)
			continue;
		if (!hide)
			agents_refresh(d, a);
		else if (refused(j, agent, index))
			g_array_index(d->placement_agents,
				      struct cf_place_agent, a->position)
				.usable = false;
	}
}

static size_t list_unplaced(struct dispatcher_job *j,
			    struct cf_place_task *tasks)
{
	uint32_t indexes[CF_JOB_TASKS_MAX];
	size_t n = cf_job_unplaced(j->job, indexes, CF_JOB_TASKS_MAX), i;

	for (i = 0; i < n; i++) {
		const struct task_spec *t = &g_array_index(
			j->request->tasks, struct task_spec, indexes[i]);

		tasks[i].index = indexes[i];
		tasks[i].predicted_ms = t->predicted_ms;
		tasks[i].cpu_milli = t->cpu_milli;
		tasks[i].memory_mb = t->memory_mb;
		tasks[i].accelerators = t->accelerators;
		tasks[i].agent = CF_PLACE_NONE;
	}
	return n;
}

static void record_started(struct dispatcher *d, struct dispatcher_job *j,
			   int64_t now_ms)
{
	if (j->started || !j->admitted)
		return;
	j->started = true;
	cf_admitter_started(d->admitter, &j->admit, now_ms);
}

/* Moves tasks refused by the same agents as the first task to the front.
 * Returns their number, including the first. */
static size_t group_same_refusals(struct dispatcher_job *j,
				  struct cf_place_task *tasks, size_t n)
{
	size_t count = 1, i;

	if (!j->refusals->len)
		return n;
	for (i = 1; i < n; i++) {
		struct cf_place_task task = tasks[i];

		if (!same_refusals(j, tasks[0].index, task.index))
			continue;
		tasks[i] = tasks[count];
		tasks[count++] = task;
	}
	return count;
}

/* Returns true if all tasks of the job are placed. */
static bool place_job(struct dispatcher *d, struct dispatcher_job *j,
		      int64_t now_ms)
{
	struct cf_place_task *tasks;
	size_t n, i, count;

	tasks = g_new(struct cf_place_task, j->request->tasks->len);
	n = list_unplaced(j, tasks);
	forget_refusals(j, now_ms);
	for (i = 0; i < n; i += count) {
		count = group_same_refusals(j, &tasks[i], n - i);
		set_refusers_hidden(d, j, tasks[i].index, true);
		cf_placer_place(d->placer, (void *)d->placement_agents->data,
				d->placement_agents->len, &tasks[i], count);
		send_all(d, j, &tasks[i], count, now_ms);
		set_refusers_hidden(d, j, tasks[i].index, false);
	}
	g_free(tasks);
	if (cf_job_unplaced(j->job, &(uint32_t){ 0 }, 1))
		return false;
	record_started(d, j, now_ms);
	if (j->owned)
		j->phase = JOB_PHASE_RUNNING;
	return true;
}

struct waiting_job {
	int64_t urgency;
	uint64_t number;
	struct dispatcher_job *job;
};

static int compare_waiting_jobs(const void *a, const void *b)
{
	const struct waiting_job *x = a, *y = b;

	if (x->urgency != y->urgency)
		return x->urgency < y->urgency ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

static guint sort_waiting(struct dispatcher *d, struct waiting_job *order,
			  int64_t now_ms)
{
	guint i, n = 0;

	for (i = 0; i < d->waiting->len; i++) {
		struct dispatcher_job *j = d->waiting->pdata[i];

		if (now_ms < j->retry_ms)
			continue;
		order[n].job = j;
		order[n].number = j->number;
		order[n++].urgency =
			d->fifo ? 0
				: cf_admitter_order_key(d->admitter, &j->admit,
							j->arrived_ms, now_ms);
	}
	qsort(order, n, sizeof(*order), compare_waiting_jobs);
	return n;
}

void place_waiting_jobs(struct dispatcher *d)
{
	int64_t now_ms = clock_now_ms();
	struct waiting_job *order;
	guint i, n, unplaced_jobs = 0;

	if (!d->waiting->len || d->fenced ||
	    !session_lease_held(d->session, now_ms))
		return;
	order = g_new(struct waiting_job, d->waiting->len);
	n = sort_waiting(d, order, now_ms);
	for (i = 0; i < n && unplaced_jobs < UNPLACED_JOBS_MAX; i++) {
		if (place_job(d, order[i].job, now_ms))
			place_remove(d, order[i].job);
		else
			unplaced_jobs++;
	}
	g_free(order);
}
