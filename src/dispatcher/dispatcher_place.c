/*
 * dispatcher_place: puts the tasks of waiting jobs onto agents, the most
 * urgent job first, and sends one Dispatch to each agent. Loop thread
 * only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/trace_file.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

#define JOBS_TRIED_MAX 64 /* that find no room, in one pump */
#define PREDICT_PERCENTILE 50000
#define DEFAULT_TARGET_MS 1000

/* ---- Waiting jobs ---- */

static void fill_admit(struct djob *j)
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

void place_predict(struct dispatcher *d, struct djob *j)
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
	fill_admit(j);
}

void place_add(struct dispatcher *d, struct djob *j)
{
	if (j->owned)
		j->phase = DJOB_PLACING;
	if (!g_ptr_array_find(d->waiting, j, NULL))
		g_ptr_array_add(d->waiting, j);
	place_wake(d);
}

void place_remove(struct dispatcher *d, struct djob *j)
{
	g_ptr_array_remove_fast(d->waiting, j);
}

static void pump_posted(void *arg)
{
	struct dispatcher *d = arg;

	d->pump_posted = false;
	place_pump(d);
}

void place_wake(struct dispatcher *d)
{
	if (d->pump_posted || !d->waiting->len)
		return;
	d->pump_posted = true;
	loop_post(d->loop, pump_posted, d);
}

bool place_ever_fits(struct dispatcher *d, const struct djob *j)
{
	GArray *tasks = j->request->tasks;
	guint i;

	/* With nobody on the roster yet it may fit those to come. */
	if (!d->places->len)
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

		if (!cf_place_ever_fits((void *)d->places->data, d->places->len,
					&task))
			return false;
	}
	return true;
}

/* ---- Dispatch ---- */

static uint32_t target_ms(struct dispatcher *d, const struct djob *j)
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

static void fill_dispatch(struct dispatcher *d, struct djob *j,
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

static void note_sent(struct dispatcher *d, struct djob *j, struct dagent *a,
		      uint32_t index)
{
	char key[CF_KEY_TEXT_SIZE];

	cf_job_send(j->job, index, a->incarnation);
	agents_sent(d, a, j,
		    &g_array_index(j->request->tasks, struct task_spec, index));
	if (!trace_enabled())
		return;
	cf_key_format(&j->key, key);
	trace_event("send",
		    "key=%s job=%" PRIu64 " agent=%016" PRIx64 " index=%u", key,
		    j->number, a->incarnation, index);
}

/* One message for all tasks that were placed on one agent. */
static void send_to(struct dispatcher *d, struct djob *j, uint32_t position,
		    struct cf_place_task *placed, size_t n, int64_t now_ms)
{
	struct dagent *a = d->place_agents->pdata[position];
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
			note_sent(d, j, a, tasks[i].index);
	}
	g_free(tasks);
	g_free(pointers);
	agents_refresh(d, a);
}

static void send_all(struct dispatcher *d, struct djob *j,
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

/* ---- The pump ---- */

static bool refused(const struct djob *j, uint64_t agent, uint32_t index)
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

static void forget_refusals(struct djob *j, int64_t now_ms)
{
	guint i = j->refusals->len;

	while (i--)
		if (now_ms >=
		    g_array_index(j->refusals, struct refusal, i).end_ms)
			g_array_remove_index_fast(j->refusals, i);
}

/* Whether the same agents refuse both. */
static bool refused_alike(const struct djob *j, uint32_t a, uint32_t b)
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

/* Hides the agents that refused the task, or shows all again. */
static void hide_refusers(struct dispatcher *d, struct djob *j, uint32_t index,
			  bool hide)
{
	guint i;

	for (i = 0; i < j->refusals->len; i++) {
		uint64_t agent =
			g_array_index(j->refusals, struct refusal, i).agent;
		struct dagent *a = agents_find(d, agent);

		if (!a)
			continue;
		if (!hide)
			agents_refresh(d, a);
		else if (refused(j, agent, index))
			g_array_index(d->places, struct cf_place_agent,
				      a->position)
				.usable = false;
	}
}

static size_t gather(struct djob *j, struct cf_place_task *tasks)
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

static void note_started(struct dispatcher *d, struct djob *j, int64_t now_ms)
{
	if (j->started || !j->admitted)
		return;
	j->started = true;
	cf_admitter_started(d->admitter, &j->admit, now_ms);
}

/* Moves the tasks that the same agents refuse as the first to the front. */
static size_t group_alike(struct djob *j, struct cf_place_task *tasks, size_t n)
{
	size_t count = 1, i;

	if (!j->refusals->len)
		return n;
	for (i = 1; i < n; i++) {
		struct cf_place_task task = tasks[i];

		if (!refused_alike(j, tasks[0].index, task.index))
			continue;
		tasks[i] = tasks[count];
		tasks[count++] = task;
	}
	return count;
}

/* Returns true when all of the job's tasks are placed. */
static bool place_job(struct dispatcher *d, struct djob *j, int64_t now_ms)
{
	struct cf_place_task *tasks;
	size_t n, i, count;

	tasks = g_new(struct cf_place_task, j->request->tasks->len);
	n = gather(j, tasks);
	forget_refusals(j, now_ms);
	for (i = 0; i < n; i += count) {
		count = group_alike(j, &tasks[i], n - i);
		hide_refusers(d, j, tasks[i].index, true);
		cf_placer_place(d->placer, (void *)d->places->data,
				d->places->len, &tasks[i], count);
		send_all(d, j, &tasks[i], count, now_ms);
		hide_refusers(d, j, tasks[i].index, false);
	}
	g_free(tasks);
	if (cf_job_unplaced(j->job, &(uint32_t){ 0 }, 1))
		return false;
	note_started(d, j, now_ms);
	if (j->owned)
		j->phase = DJOB_RUNNING;
	return true;
}

struct urgent {
	int64_t urgency;
	uint64_t number;
	struct djob *job;
};

static int compare_urgent(const void *a, const void *b)
{
	const struct urgent *x = a, *y = b;

	if (x->urgency != y->urgency)
		return x->urgency < y->urgency ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

static guint sort_waiting(struct dispatcher *d, struct urgent *order,
			  int64_t now_ms)
{
	guint i, n = 0;

	for (i = 0; i < d->waiting->len; i++) {
		struct djob *j = d->waiting->pdata[i];

		if (now_ms < j->retry_ms)
			continue;
		order[n].job = j;
		order[n].number = j->number;
		order[n++].urgency =
			d->fifo ? 0
				: cf_admitter_urgency(d->admitter, &j->admit,
						      j->arrived_ms, now_ms);
	}
	qsort(order, n, sizeof(*order), compare_urgent);
	return n;
}

void place_pump(struct dispatcher *d)
{
	int64_t now_ms = clock_now_ms();
	struct urgent *order;
	guint i, n, without_room = 0;

	if (!d->waiting->len || d->fenced ||
	    !session_lease_held(d->session, now_ms))
		return;
	order = g_new(struct urgent, d->waiting->len);
	n = sort_waiting(d, order, now_ms);
	for (i = 0; i < n && without_room < JOBS_TRIED_MAX; i++) {
		if (place_job(d, order[i].job, now_ms))
			place_remove(d, order[i].job);
		else
			without_room++;
	}
	g_free(order);
}
