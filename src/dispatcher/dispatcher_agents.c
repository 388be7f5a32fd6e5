/*
 * dispatcher_agents: agents on the roster, connections to them and their state
 * for placement. Loop thread only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/logger.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

/* An agent that is disconnected for this long counts as lost. */
#define RECONNECT_TIMEOUT_MS 2000
#define FULL_MILLI 1000
/* A task is overdue at this multiple of its predicted run time. */
#define OVERDUE_FACTOR 3
#define OVERDUE_MIN_MS 100
/* Interval of checks of a job for overdue tasks. */
#define OVERDUE_INTERVAL_MS 100
/* One-way network latency within a data centre. */
#define DISTANCE_NEAR_US 250
/* One-way network latency between data centres. */
#define DISTANCE_FAR_US 1250

/* ---- State for placement ---- */

static struct cf_place_agent *placement_of(struct dispatcher *d,
					   const struct dispatcher_agent *a)
{
	return &g_array_index(d->placement_agents, struct cf_place_agent,
			      a->position);
}

struct dispatcher_agent *agents_find(struct dispatcher *d, uint64_t incarnation)
{
	return g_hash_table_lookup(d->agents, &incarnation);
}

/* Tasks at the agent: those in its newest load and those sent since. */
static uint32_t tasks_at_agent(const struct dispatcher_agent *a)
{
	uint64_t unseen =
		a->sent > a->load.received ? a->sent - a->load.received : 0;

	return a->load.running + a->load.queued + (uint32_t)unseen;
}

void agents_refresh(struct dispatcher *d, struct dispatcher_agent *a)
{
	struct cf_place_agent *p = placement_of(d, a);
	uint32_t agent_tasks = tasks_at_agent(a);
	int64_t now_ms = loop_now_ms(d->loop);

	p->used = a->own_usage;
	p->used.slots = MIN(agent_tasks, p->capacity.slots);
	p->used.connections = p->used.slots;
	p->queued = agent_tasks - p->used.slots;
	p->backlog_ms = a->load.backlog_ms + a->unreported_ms;
	p->weight_milli =
		cf_health_weight_milli(d->health, a->incarnation, now_ms);
	p->slowness = cf_health_slowness(d->health, a->incarnation);
	p->usable = a->listed && !a->draining && link_is_up(a->link) &&
		    !a->disconnected_since_ms && a->load.accepting &&
		    cf_config_in_service(session_config(d->session),
					 p->data_centre);
}

/* Slots of the agent that this dispatcher uses or could use: its slots, reduced
 * by its health weight and by the tasks of other dispatchers. */
static uint32_t usable_slots(struct dispatcher *d,
			     const struct dispatcher_agent *a)
{
	const struct cf_place_agent *p = placement_of(d, a);
	uint64_t allowed = ((uint64_t)p->capacity.slots * p->weight_milli +
			    FULL_MILLI - 1) /
			   FULL_MILLI;
	uint32_t agent_tasks = tasks_at_agent(a);
	uint32_t others = agent_tasks - MIN(agent_tasks, a->own_tasks);

	return (uint32_t)(allowed - MIN(allowed, others));
}

void agents_refresh_all(struct dispatcher *d)
{
	uint32_t slots = 0, usable = 0;
	guint i;

	for (i = 0; i < d->agents_by_position->len; i++) {
		struct dispatcher_agent *a = d->agents_by_position->pdata[i];

		agents_refresh(d, a);
		if (!placement_of(d, a)->usable)
			continue;
		usable++;
		slots += usable_slots(d, a);
	}
	gauge_set(d->counters.usable, usable);
	gauge_set(d->counters.slots, slots);
	/* A capacity of 0 would tell the admitter that nothing can run. */
	if (usable)
		slots = MAX(slots, 1);
	cf_admitter_set_capacity(d->admitter, slots, loop_now_ms(d->loop));
}

void agents_apply_load(struct dispatcher *d, struct dispatcher_agent *a,
		       const Cfw__Load *load)
{
	if (!load)
		return;
	a->load = *load;
	if (a->sent <= load->received)
		a->unreported_ms = 0;
	agents_refresh(d, a);
	place_schedule(d);
}

/* ---- Tasks at an agent ---- */

void agents_count_placed(struct dispatcher *d, struct dispatcher_job *j,
			 struct task_spec *task)
{
	/* A task that is placed again has been counted before. */
	if (!j->admitted || task->placement_counted)
		return;
	task->placement_counted = true;
	cf_admitter_placed(d->admitter, &j->admit, task->predicted_ms,
			   loop_now_ms(d->loop));
}

void agents_task_sent(struct dispatcher *d, struct dispatcher_agent *a,
		      struct dispatcher_job *j, struct task_spec *task)
{
	task->agent = a->incarnation;
	task->sent_ms = loop_now_ms(d->loop);
	task->overdue_reported = false;
	agents_count_placed(d, j, task);
	a->own_tasks++;
	a->sent++;
	a->unreported_ms += task->predicted_ms;
	a->own_usage.cpu_milli += task->cpu_milli;
	a->own_usage.memory_mb += task->memory_mb;
	a->own_usage.accelerators += task->accelerators;
	g_hash_table_add(a->jobs, j);
}

void agents_task_settled(struct dispatcher *d, struct dispatcher_agent *a,
			 struct dispatcher_job *j, uint32_t index)
{
	struct task_spec *task;
	uint32_t pending;

	(void)d;
	if (!j->request)
		return;
	task = &g_array_index(j->request->tasks, struct task_spec, index);
	task->sent_ms = 0;
	a->own_tasks -= MIN(a->own_tasks, 1U);
	a->own_usage.cpu_milli -= MIN(a->own_usage.cpu_milli, task->cpu_milli);
	a->own_usage.memory_mb -= MIN(a->own_usage.memory_mb, task->memory_mb);
	a->own_usage.accelerators -=
		MIN(a->own_usage.accelerators, task->accelerators);
	if (!cf_job_pending_at(j->job, a->incarnation, &pending, 1))
		g_hash_table_remove(a->jobs, j);
}

/* Subtracts a job's unfinished tasks at the agent from own_usage. */
static void release_at(struct dispatcher *d, struct dispatcher_agent *a,
		       struct dispatcher_job *j)
{
	uint32_t indexes[CF_JOB_TASKS_MAX];
	size_t n = cf_job_pending_at(j->job, a->incarnation, indexes,
				     CF_JOB_TASKS_MAX);

	while (n)
		agents_task_settled(d, a, j, indexes[--n]);
	g_hash_table_remove(a->jobs, j);
}

void agents_release_job(struct dispatcher *d, struct dispatcher_job *j)
{
	guint i;

	for (i = 0; i < d->agents_by_position->len; i++) {
		struct dispatcher_agent *a = d->agents_by_position->pdata[i];

		if (g_hash_table_contains(a->jobs, j))
			release_at(d, a, j);
	}
}

void agents_count_ended(struct dispatcher *d, struct dispatcher_job *j,
			uint32_t index)
{
	struct task_spec *task =
		&g_array_index(j->request->tasks, struct task_spec, index);

	if (!j->admitted || !task->placement_counted)
		return;
	task->placement_counted = false;
	cf_admitter_task_ended(d->admitter, &j->admit, task->predicted_ms,
			       loop_now_ms(d->loop));
}

/* Reports overdue tasks, so that a slow agent is detected before its tasks end.
 * Does nothing with FIFO placement, where agents have long queues and the time
 * since the send is mostly waiting time and doesn't show the run time. */
void agents_report_overdue(struct dispatcher *d, struct dispatcher_job *j,
			   int64_t now_ms)
{
	GArray *tasks = j->request->tasks;
	guint i;

	if (d->fifo || !j->owned ||
	    now_ms - j->overdue_check_ms < OVERDUE_INTERVAL_MS)
		return;
	j->overdue_check_ms = now_ms;
	for (i = 0; i < tasks->len; i++) {
		struct task_spec *t =
			&g_array_index(tasks, struct task_spec, i);
		int64_t run_ms = now_ms - t->sent_ms;

		if (!t->sent_ms || t->overdue_reported ||
		    run_ms < OVERDUE_MIN_MS ||
		    run_ms < (int64_t)t->predicted_ms * OVERDUE_FACTOR)
			continue;
		t->overdue_reported = true;
		cf_health_overdue(d->health, t->agent, (uint32_t)run_ms,
				  t->predicted_ms, now_ms);
	}
}

/* ---- Agents that join and leave ---- */

static void add_agent(struct dispatcher *d, const Cfw__RosterEntry *entry)
{
	struct dispatcher_agent *a = g_new0(struct dispatcher_agent, 1);
	struct cf_place_agent place = { 0 };

	a->incarnation = entry->incarnation;
	a->name = g_strdup(entry->name);
	a->address = g_strdup(entry->address);
	cfw__load__init(&a->load);
	a->load.accepting = true;
	a->jobs = g_hash_table_new(NULL, NULL);
	a->disconnected_since_ms = clock_now_ms();
	a->link = link_dial(d->hub, entry->address);
	link_set_data(a->link, a);
	place.incarnation = a->incarnation;
	g_strlcpy(place.data_centre, entry->data_centre, CF_NAME_SIZE);
	g_strlcpy(place.rack, entry->rack, CF_NAME_SIZE);
	place.distance_us = strcmp(entry->data_centre,
				   settings_text(d->settings, "data-centre"))
				    ? DISTANCE_FAR_US
				    : DISTANCE_NEAR_US;
	a->position = d->agents_by_position->len;
	g_array_append_val(d->placement_agents, place);
	g_ptr_array_add(d->agents_by_position, a);
	g_hash_table_insert(d->agents, &a->incarnation, a);
	cf_health_join(d->health, a->incarnation, clock_now_ms());
	log_event(LOG_INFO, "agent_joined",
		  "agent=%s incarnation=%016" PRIx64 " address=%s", a->name,
		  a->incarnation, a->address);
}

void agents_free(gpointer data)
{
	struct dispatcher_agent *a = data;

	g_hash_table_destroy(a->jobs);
	g_free(a->name);
	g_free(a->address);
	g_free(a);
}

/* Removes an agent for good. The outcome of its tasks stays unknown. */
static void remove_agent(struct dispatcher *d, struct dispatcher_agent *a,
			 const char *why)
{
	struct dispatcher_agent *last;

	log_event(LOG_INFO, "agent_gone",
		  "agent=%s incarnation=%016" PRIx64 " why=\"%s\" jobs=%u",
		  a->name, a->incarnation, why, g_hash_table_size(a->jobs));
	settle_agent_lost(d, a);
	cf_health_leave(d->health, a->incarnation);
	link_set_data(a->link, NULL);
	link_drop(a->link);
	last = d->agents_by_position->pdata[d->agents_by_position->len - 1];
	last->position = a->position;
	g_ptr_array_remove_index_fast(d->agents_by_position, a->position);
	g_array_remove_index_fast(d->placement_agents, a->position);
	g_hash_table_remove(d->agents, &a->incarnation);
}

static void update_agent(struct dispatcher *d, struct dispatcher_agent *a,
			 const Cfw__RosterEntry *entry)
{
	struct cf_place_agent *p = placement_of(d, a);
	const Cfw__Capacity *c = entry->capacity;

	a->listed = true;
	a->draining = entry->draining;
	if (!c)
		return;
	p->capacity.slots = c->slots;
	p->capacity.connections = c->connections;
	p->capacity.cpu_milli = c->cpu_milli;
	p->capacity.memory_mb = c->memory_mb;
	p->capacity.accelerators = c->accelerators;
}

void agents_apply_roster(struct dispatcher *d, const Cfw__Roster *roster)
{
	size_t i;
	guint k;

	/* A roster that is not settled may lack agents that hold a lease. */
	for (k = 0; roster->settled && k < d->agents_by_position->len; k++)
		((struct dispatcher_agent *)d->agents_by_position->pdata[k])
			->listed = false;
	for (i = 0; i < roster->n_entries; i++) {
		const Cfw__RosterEntry *entry = roster->entries[i];

		if (entry->role != CFW__ROLE__ROLE_AGENT)
			continue;
		if (!agents_find(d, entry->incarnation))
			add_agent(d, entry);
		update_agent(d, agents_find(d, entry->incarnation), entry);
	}
	gauge_set(d->counters.agents, d->agents_by_position->len);
	agents_refresh_all(d);
	place_schedule(d);
}

/* ---- Connections ---- */

static struct dispatcher_agent *agent_of_link(struct dispatcher *d,
					      struct link *link)
{
	guint i;

	for (i = 0; i < d->agents_by_position->len; i++) {
		struct dispatcher_agent *a = d->agents_by_position->pdata[i];

		if (a->link == link)
			return a;
	}
	return NULL;
}

bool agents_link_up(struct dispatcher *d, struct link *link)
{
	struct dispatcher_agent *a = agent_of_link(d, link);
	GHashTableIter iter;
	gpointer job;

	if (!a)
		return false;
	if (link_peer(link)->incarnation != a->incarnation) {
		remove_agent(d, a, "another process has its address");
		return true;
	}
	a->disconnected_since_ms = 0;
	/* Messages on the previous connection may be lost. */
	g_hash_table_iter_init(&iter, a->jobs);
	while (g_hash_table_iter_next(&iter, &job, NULL))
		settle_send_query(d, a, job);
	/* Both sides restart their counts on each connection. */
	a->sent = 0;
	a->load.received = 0;
	a->unreported_ms = 0;
	agents_refresh(d, a);
	place_schedule(d);
	return true;
}

bool agents_link_down(struct dispatcher *d, struct link *link)
{
	struct dispatcher_agent *a = agent_of_link(d, link);

	if (!a)
		return false;
	a->disconnected_since_ms = clock_now_ms();
	agents_refresh(d, a);
	return true;
}

bool agents_all_up(struct dispatcher *d)
{
	guint i;

	for (i = 0; i < d->agents_by_position->len; i++)
		if (((struct dispatcher_agent *)d->agents_by_position->pdata[i])
			    ->disconnected_since_ms)
			return false;
	return d->agents_by_position->len > 0;
}

void agents_tick(struct dispatcher *d, int64_t now_ms)
{
	guint i = d->agents_by_position->len;

	if (cf_health_tick(d->health, now_ms))
		place_schedule(d);
	while (i--) {
		struct dispatcher_agent *a = d->agents_by_position->pdata[i];
		bool disconnected = a->disconnected_since_ms != 0;

		if (disconnected && !a->listed)
			remove_agent(d, a, "off the roster");
		else if (disconnected && (link_refused(a->link) ||
					  now_ms - a->disconnected_since_ms >=
						  RECONNECT_TIMEOUT_MS))
			settle_agent_lost(d, a);
	}
	agents_refresh_all(d);
}
