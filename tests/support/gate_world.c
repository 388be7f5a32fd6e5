/*
 * gate_world: simulates the agents. A second start of a task, and a start
 * after its job was answered "not run", are reported as violations.
 */
#include "gate_world.h"

/* ---- Random choices ---- */

uint32_t world_below(struct world *world, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(world->random, 0, (gint32)limit);
}

bool world_chance(struct world *world, uint32_t percent)
{
	return world_below(world, 100) < percent;
}

/* ---- Messages ---- */

void world_post(struct world *world, struct message message)
{
	uint32_t copies =
		world_chance(world, world->rates.drop)
			? 0
			: 1 + world_chance(world, world->rates.duplicate);

	while (copies-- > 0 && world->n_messages < MESSAGES) {
		bool late = world_chance(world, world->rates.late);

		message.due_ms = world->now_ms + world_below(world, 50);
		if (late)
			message.due_ms += world_below(world, 2 * REMEMBER_MS);
		for (size_t i = 0; i < TASKS_MAX; i++) {
			if (message.results[i])
				g_bytes_ref(message.results[i]);
		}
		world->messages[world->n_messages++] = message;
	}
}

GBytes *world_result_of(const struct key_state *key, uint32_t index)
{
	char text[CF_KEY_TEXT_SIZE + 8] = { 0 };
	char name[CF_KEY_TEXT_SIZE];

	cf_key_format(&key->key, name);
	g_snprintf(text, sizeof(text), "%s %u", name, index);
	return g_bytes_new(text, sizeof(text));
}

/* ---- Agents ---- */

void world_boot_agent(struct world *world, struct agent *agent)
{
	const struct cf_capacity capacity = { .slots = 2 };

	agent->gate = cf_gate_create(&capacity, REMEMBER_MS);
	agent->incarnation = world->n_incarnations++;
	agent->joined_ms = world->now_ms;
	agent->fences_known = 0;
}

static void learn_fences(struct world *world, struct agent *agent)
{
	while (agent->fences_known < world->n_fences)
		cf_gate_fence_dispatcher(agent->gate,
					 world->fences[agent->fences_known++],
					 world->now_ms);
}

static enum cf_job_event event_of(enum cf_task_state state)
{
	static const enum cf_job_event events[] = {
		[CF_TASK_GATED] = CF_EVENT_FENCED, /* after an adoption */
		[CF_TASK_QUEUED] = CF_EVENT_FENCED,
		[CF_TASK_RUNNING] = CF_EVENT_RUNNING,
		[CF_TASK_DONE] = CF_EVENT_DONE,
		[CF_TASK_FAILED] = CF_EVENT_FAILED,
		[CF_TASK_FENCED] = CF_EVENT_FENCED,
		[CF_TASK_DROPPED] = CF_EVENT_LOST,
	};

	return events[state];
}

static void reply_task(struct world *world, const struct message *about,
		       enum cf_task_state state, GBytes *result)
{
	struct message reply = *about;

	reply.kind = REPLY;
	reply.events[0] = event_of(state);
	reply.results[0] = result;
	world_post(world, reply);
}

static void receive_offer(struct world *world, struct agent *agent,
			  const struct message *message)
{
	const struct job_state *job = &world->jobs[message->job];
	const struct cf_key *key = &world->keys[job->key].key;
	struct cf_task task = { .key = *key,
				.index = message->index,
				.dispatcher = job->dispatcher,
				.job = message->job,
				.predicted_ms = 20,
				.slack_end_ms = world->now_ms + 100,
				.deadline_ms = world->now_ms + 3000 };
	const struct cf_task *seen;
	enum cf_task_state state;
	GBytes *result;

	if (cf_gate_offer(agent->gate, &task, message->gated, false,
			  world->now_ms))
		return;
	seen = cf_gate_find_task(agent->gate, key, message->index);
	state = cf_gate_query(agent->gate, key, message->index, false, &result,
			      world->now_ms);
	if (seen && seen->dispatcher == job->dispatcher &&
	    seen->job == message->job) {
		if (state != CF_TASK_GATED && state != CF_TASK_QUEUED)
			reply_task(world, message, state, result);
	} else if (state == CF_TASK_DROPPED) {
		reply_task(world, message, state, NULL);
	} else {
		reply_task(world, message, CF_TASK_FENCED, NULL);
	}
}

static void receive_adopt(struct world *world, struct agent *agent,
			  const struct message *message)
{
	const struct job_state *job = &world->jobs[message->job];
	const struct key_state *key = &world->keys[job->key];
	struct message reply = *message;

	if (!cf_gate_adopt(agent->gate, &key->key, job->dispatcher, job->epoch,
			   world->now_ms))
		return;
	reply.kind = ADOPTED;
	for (uint32_t i = 0; i < key->n_tasks; i++)
		reply.events[i] = event_of(
			cf_gate_query(agent->gate, &key->key, i, false,
				      &reply.results[i], world->now_ms));
	world_post(world, reply);
}

void world_deliver_to_agent(struct world *world, const struct message *message)
{
	const struct job_state *job = &world->jobs[message->job];
	const struct cf_key *key = &world->keys[job->key].key;
	struct agent *agent = NULL;
	enum cf_task_state state;
	uint32_t indexes[TASKS_MAX];
	GBytes *result;

	for (size_t i = 0; i < AGENTS; i++) {
		if (world->agents[i].incarnation == message->agent)
			agent = &world->agents[i];
	}
	if (!agent)
		return;
	if (message->kind == OFFER) {
		receive_offer(world, agent, message);
	} else if (message->kind == OPEN) {
		cf_gate_open(agent->gate, key, job->dispatcher, message->job);
	} else if (message->kind == ADOPT) {
		receive_adopt(world, agent, message);
	} else if (message->kind == QUERY) {
		state = cf_gate_query(agent->gate, key, message->index, true,
				      &result, world->now_ms);
		reply_task(world, message, state, result);
	} else {
		struct message fenced = *message;
		size_t count = cf_gate_fence_job(
			agent->gate, key, job->dispatcher, message->job,
			world->now_ms, indexes, TASKS_MAX);

		while (count > 0) {
			fenced.index = indexes[--count];
			reply_task(world, &fenced, CF_TASK_FENCED, NULL);
		}
	}
}

static void record_start(struct world *world, const struct cf_task *task)
{
	struct job_state *job = &world->jobs[task->job];

	world->starts++;
	job->started = true;
	if (++world->keys[job->key].starts[task->index] > 1)
		world->violation = "second start of a task";
	if (cf_job_answer(job->job, NULL) == CF_ANSWER_NOT_RUN)
		world->violation = "start after the answer \"not run\"";
}

void world_run_agent(struct world *world, struct agent *agent)
{
	struct cf_gate_permit permit = {
		.lease_held = world_chance(world, world->rates.permit),
		.in_service = world_chance(world, world->rates.permit),
	};
	const struct cf_task *task;

	if (world_chance(world, 20))
		learn_fences(world, agent);
	if (world_chance(world, 10))
		cf_gate_expire(agent->gate, world->now_ms);
	task = cf_gate_start(agent->gate, &permit, world->now_ms);
	if (task)
		record_start(world, task);
	task = world_chance(world, 20)
		       ? cf_gate_fence_unstartable(agent->gate, &permit,
						   world->now_ms)
		       : NULL;
	if (task) {
		struct message about = { .job = task->job,
					 .agent = agent->incarnation,
					 .index = task->index };

		reply_task(world, &about, CF_TASK_FENCED, NULL);
	}
}

/* Picks a random task and ends it if it is running at this agent. */
void world_finish_any(struct world *world, struct agent *agent)
{
	struct key_state *key;
	struct message about = { .agent = agent->incarnation };
	GBytes *result;
	bool ok = world_chance(world, 95);

	if (!world->n_keys)
		return;
	key = &world->keys[world_below(world, (uint32_t)world->n_keys)];
	about.index = world_below(world, key->n_tasks);
	result = world_result_of(key, about.index);
	if (cf_gate_finish(agent->gate, &key->key, about.index, ok, result,
			   world->now_ms)) {
		about.job =
			cf_gate_find_task(agent->gate, &key->key, about.index)
				->job;
		reply_task(world, &about, ok ? CF_TASK_DONE : CF_TASK_FAILED,
			   result);
	}
	g_bytes_unref(result);
}

void world_restart_agent(struct world *world, struct agent *agent)
{
	if (world->n_incarnations == AGENT_INCARNATIONS_MAX)
		return;
	cf_gate_destroy(agent->gate);
	world_boot_agent(world, agent);
	/* An agent learns all fences with its first lease. */
	learn_fences(world, agent);
}

bool world_is_live(const struct world *world, uint64_t incarnation)
{
	for (size_t i = 0; i < AGENTS; i++) {
		if (world->agents[i].incarnation == incarnation)
			return true;
	}
	return false;
}
