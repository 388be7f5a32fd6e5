/*
 * explore_gate: seeded random runs over dispatchers' jobs and agents'
 * gates. Messages are lost, doubled, late and crossed; jobs are
 * cancelled; agents restart; dispatchers die, or freeze and wake after
 * their keys were adopted. No (key, index) may start twice, "not run"
 * must be true and a complete answer whole.
 */
#include "chervilferry.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define SEEDS 10000
#define STEPS 300
#define AGENTS 3
#define AGENT_LIVES 32
#define DISPATCHERS 12 /* incarnations */
#define KEYS 10
#define TASKS_MAX 3
#define JOBS 40
#define MESSAGES 512
#define START_MS 1000000
#define REMEMBER_MS 20000
#define CLAIM_HORIZON_MS 18000 /* REMEMBER_MS less the clock skew */

/* ---- Types ---- */

enum kind {
	OFFER,
	OPEN,
	CANCEL,
	QUERY, /* with fence */
	ADOPT,
	REPLY, /* what happened to a task */
	ADOPTED, /* what happened to each task of the key */
};

struct message {
	enum kind kind;
	size_t job;
	uint64_t agent; /* life */
	uint32_t index;
	bool held;
	/* Of the index, or of each when adopted. */
	enum cf_job_event events[TASKS_MAX];
	GBytes *results[TASKS_MAX];
	int64_t due_ms;
};

struct agent {
	struct cf_gate *gate;
	uint64_t life;
	int64_t joined_ms;
	size_t fences_known;
};

struct key_state {
	struct cf_key key;
	uint32_t n_tasks, epoch;
	uint64_t owner;
	int64_t made_ms;
	size_t job; /* the owner's newest */
	uint32_t starts[TASKS_MAX];
};

struct job_state {
	struct cf_job *job;
	size_t key;
	uint64_t dispatcher;
	uint32_t epoch;
	bool waits_for[AGENT_LIVES]; /* adoption replies */
	bool adopting;
	bool incomplete; /* an agent that is gone can't be asked */
	bool found[TASKS_MAX]; /* by the adoption */
	bool started, answered;
};

struct rates {
	uint32_t drop, twice, late, held, cancel, restart, fence, dead, permit;
};

struct world {
	GRand *random;
	struct rates rates;
	int64_t now_ms;
	struct agent agents[AGENTS];
	uint64_t n_lives;
	bool fenced[DISPATCHERS + 1], dead[DISPATCHERS + 1];
	uint64_t fences[DISPATCHERS];
	size_t n_fences;
	uint64_t n_dispatchers;
	struct key_state keys[KEYS];
	size_t n_keys;
	struct job_state jobs[JOBS + 1]; /* from 1 */
	size_t n_jobs;
	struct message messages[MESSAGES];
	size_t n_messages;
	const char *broken;
};

static uint64_t answers_seen[CF_ANSWER_UNKNOWN + 1];
static uint64_t adoptions_complete, starts_seen, steps_done;

/* ---- Chance ---- */

static uint32_t below(struct world *world, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(world->random, 0, (gint32)limit);
}

static bool chance(struct world *world, uint32_t percent)
{
	return below(world, 100) < percent;
}

/* ---- Messages ---- */

static void post(struct world *world, struct message message)
{
	uint32_t copies = chance(world, world->rates.drop)
				  ? 0
				  : 1 + chance(world, world->rates.twice);

	while (copies-- > 0 && world->n_messages < MESSAGES) {
		bool late = chance(world, world->rates.late);

		message.due_ms = world->now_ms + below(world, 50);
		if (late)
			message.due_ms += below(world, 2 * REMEMBER_MS);
		for (size_t i = 0; i < TASKS_MAX; i++) {
			if (message.results[i])
				g_bytes_ref(message.results[i]);
		}
		world->messages[world->n_messages++] = message;
	}
}

static GBytes *result_of(const struct key_state *key, uint32_t index)
{
	char text[CF_KEY_TEXT_SIZE + 8] = { 0 };
	char name[CF_KEY_TEXT_SIZE];

	cf_key_format(&key->key, name);
	g_snprintf(text, sizeof(text), "%s %u", name, index);
	return g_bytes_new(text, sizeof(text));
}

/* ---- Agents ---- */

static void boot_agent(struct world *world, struct agent *agent)
{
	const struct cf_capacity capacity = { .slots = 2 };

	agent->gate = cf_gate_create(&capacity, REMEMBER_MS);
	agent->life = world->n_lives++;
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
		[CF_TASK_HELD] = CF_EVENT_FENCED, /* after an adoption */
		[CF_TASK_QUEUED] = CF_EVENT_FENCED,
		[CF_TASK_RUNNING] = CF_EVENT_RUNNING,
		[CF_TASK_DONE] = CF_EVENT_DONE,
		[CF_TASK_FAILED] = CF_EVENT_FAILED,
		[CF_TASK_FENCED] = CF_EVENT_FENCED,
		[CF_TASK_FORGOTTEN] = CF_EVENT_LOST,
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
	post(world, reply);
}

static void take_offer(struct world *world, struct agent *agent,
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

	if (cf_gate_offer(agent->gate, &task, message->held, false,
			  world->now_ms))
		return;
	seen = cf_gate_task(agent->gate, key, message->index);
	state = cf_gate_query(agent->gate, key, message->index, false, &result,
			      world->now_ms);
	if (seen && seen->dispatcher == job->dispatcher &&
	    seen->job == message->job) {
		if (state != CF_TASK_HELD && state != CF_TASK_QUEUED)
			reply_task(world, message, state, result);
	} else if (state == CF_TASK_FORGOTTEN) {
		reply_task(world, message, state, NULL);
	} else {
		reply_task(world, message, CF_TASK_FENCED, NULL);
	}
}

static void take_adopt(struct world *world, struct agent *agent,
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
	post(world, reply);
}

static void at_agent(struct world *world, const struct message *message)
{
	const struct job_state *job = &world->jobs[message->job];
	const struct cf_key *key = &world->keys[job->key].key;
	struct agent *agent = NULL;
	enum cf_task_state state;
	uint32_t indexes[TASKS_MAX];
	GBytes *result;

	for (size_t i = 0; i < AGENTS; i++) {
		if (world->agents[i].life == message->agent)
			agent = &world->agents[i];
	}
	if (!agent)
		return;
	if (message->kind == OFFER) {
		take_offer(world, agent, message);
	} else if (message->kind == OPEN) {
		cf_gate_open(agent->gate, key, job->dispatcher, message->job);
	} else if (message->kind == ADOPT) {
		take_adopt(world, agent, message);
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

static void note_start(struct world *world, const struct cf_task *task)
{
	struct job_state *job = &world->jobs[task->job];

	starts_seen++;
	job->started = true;
	if (++world->keys[job->key].starts[task->index] > 1)
		world->broken = "second start";
	if (cf_job_answer(job->job, NULL) == CF_ANSWER_NOT_RUN)
		world->broken = "start after the answer not run";
}

static void run_agent(struct world *world, struct agent *agent)
{
	struct cf_gate_permit permit = {
		.lease_held = chance(world, world->rates.permit),
		.in_service = chance(world, world->rates.permit),
	};
	const struct cf_task *task;

	if (chance(world, 20))
		learn_fences(world, agent);
	if (chance(world, 10))
		cf_gate_expire(agent->gate, world->now_ms);
	task = cf_gate_start(agent->gate, &permit, world->now_ms);
	if (task)
		note_start(world, task);
	task = chance(world, 20) ? cf_gate_take_unstartable(
					   agent->gate, &permit, world->now_ms)
				 : NULL;
	if (task) {
		struct message about = { .job = task->job,
					 .agent = agent->life,
					 .index = task->index };

		reply_task(world, &about, CF_TASK_FENCED, NULL);
	}
}

/* Ends a random task, if that one runs here. */
static void finish_any(struct world *world, struct agent *agent)
{
	struct key_state *key;
	struct message about = { .agent = agent->life };
	GBytes *result;
	bool ok = chance(world, 95);

	if (!world->n_keys)
		return;
	key = &world->keys[below(world, (uint32_t)world->n_keys)];
	about.index = below(world, key->n_tasks);
	result = result_of(key, about.index);
	if (cf_gate_finish(agent->gate, &key->key, about.index, ok, result,
			   world->now_ms)) {
		about.job =
			cf_gate_task(agent->gate, &key->key, about.index)->job;
		reply_task(world, &about, ok ? CF_TASK_DONE : CF_TASK_FAILED,
			   result);
	}
	g_bytes_unref(result);
}

static void restart_agent(struct world *world, struct agent *agent)
{
	if (world->n_lives == AGENT_LIVES)
		return;
	cf_gate_destroy(agent->gate);
	boot_agent(world, agent);
	/* Its first lease tells it every fence. */
	learn_fences(world, agent);
}

static bool is_live(const struct world *world, uint64_t life)
{
	for (size_t i = 0; i < AGENTS; i++) {
		if (world->agents[i].life == life)
			return true;
	}
	return false;
}

/* ---- Dispatchers ---- */

static void check_answer(struct world *world, struct job_state *job)
{
	const struct key_state *key = &world->keys[job->key];
	enum cf_job_answer answer = cf_job_answer(job->job, NULL);

	if (job->answered || answer == CF_ANSWER_NONE)
		return;
	job->answered = true;
	answers_seen[answer]++;
	if (answer == CF_ANSWER_NOT_RUN && job->started)
		world->broken = "answer not run after a start";
	if (answer != CF_ANSWER_COMPLETE)
		return;
	adoptions_complete += job->epoch > 0;
	for (uint32_t i = 0; i < key->n_tasks; i++) {
		GBytes *expected = result_of(key, i);
		GBytes *result = cf_job_result(job->job, i);

		if (!result || !g_bytes_equal(result, expected))
			world->broken = "complete answer that is not whole";
		g_bytes_unref(expected);
	}
}

static void place_found(struct job_state *job, const struct message *message,
			uint32_t index)
{
	enum cf_job_event event = message->events[index];

	if (event == CF_EVENT_FENCED || job->found[index] ||
	    !cf_job_send(job->job, index, message->agent))
		return;
	job->found[index] = true;
	if (event != CF_EVENT_RUNNING)
		cf_job_event(job->job, index, message->agent, event,
			     message->results[index], "");
}

/* What could not be accounted for may have run. */
static void finish_adoption(struct world *world, struct job_state *job)
{
	uint64_t life = world->agents[0].life;

	for (uint64_t waited = 0; waited < world->n_lives; waited++) {
		if (!job->waits_for[waited])
			continue;
		if (is_live(world, waited))
			return;
		job->incomplete = true;
	}
	job->adopting = false;
	for (uint32_t i = 0; i < world->keys[job->key].n_tasks; i++) {
		if (job->incomplete && !job->found[i] &&
		    cf_job_send(job->job, i, life))
			cf_job_event(job->job, i, life, CF_EVENT_LOST, NULL,
				     "");
	}
}

static void at_dispatcher(struct world *world, const struct message *message)
{
	struct job_state *job = &world->jobs[message->job];

	if (world->dead[job->dispatcher])
		return;
	if (message->kind == REPLY) {
		if (cf_job_event(job->job, message->index,
				 message->agent + AGENT_LIVES,
				 message->events[0], message->results[0], ""))
			world->broken = "took an event of another agent";
		cf_job_event(job->job, message->index, message->agent,
			     message->events[0], message->results[0], "");
	} else if (job->adopting && job->waits_for[message->agent]) {
		job->waits_for[message->agent] = false;
		for (uint32_t i = 0; i < world->keys[job->key].n_tasks; i++)
			place_found(job, message, i);
		finish_adoption(world, job);
	}
	check_answer(world, job);
}

static struct job_state *add_job(struct world *world, size_t at,
				 uint64_t dispatcher)
{
	struct key_state *key = &world->keys[at];
	struct job_state *job = &world->jobs[++world->n_jobs];

	key->owner = dispatcher;
	key->job = world->n_jobs;
	job->key = at;
	job->dispatcher = dispatcher;
	job->epoch = key->epoch;
	job->job = cf_job_create(&key->key, world->n_jobs, key->n_tasks);
	return job;
}

/* Also for another job of an adopter: the first may have ended before
 * every agent was asked. */
static void adopt(struct world *world, size_t at, uint64_t dispatcher)
{
	struct job_state *job;

	job = add_job(world, at, dispatcher);
	job->adopting = true;
	for (size_t i = 0; i < AGENTS; i++) {
		const struct agent *agent = &world->agents[i];

		job->waits_for[agent->life] = true;
		if (agent->joined_ms >= world->keys[at].made_ms)
			job->incomplete = true;
	}
}

/* Claims are taken as agreed here; explore_claim is about those. */
static void submit_any(struct world *world)
{
	uint64_t id = 1 + below(world, (uint32_t)world->n_dispatchers);
	struct key_state *key;
	size_t at;

	if (world->fenced[id] || world->n_jobs == JOBS)
		return;
	if (world->n_keys < KEYS && (!world->n_keys || chance(world, 25))) {
		key = &world->keys[world->n_keys];
		key->made_ms = world->now_ms;
		key->n_tasks = 1 + below(world, TASKS_MAX);
		cf_key_make(&key->key, world->now_ms, 0, world->n_keys);
		add_job(world, world->n_keys++, id);
		return;
	}
	at = below(world, (uint32_t)world->n_keys);
	key = &world->keys[at];
	if (world->now_ms - key->made_ms >= CLAIM_HORIZON_MS)
		return;
	if (key->owner != id && world->fenced[key->owner]) {
		key->epoch++;
		adopt(world, at, id);
	} else if (key->owner == id &&
		   cf_job_answer(world->jobs[key->job].job, NULL) ==
			   CF_ANSWER_NOT_RUN) {
		if (key->epoch > 0)
			adopt(world, at, id);
		else
			add_job(world, at, id);
	}
}

static void fence_any(struct world *world)
{
	uint64_t id = 1 + below(world, (uint32_t)world->n_dispatchers);

	if (world->fenced[id] || world->n_dispatchers == DISPATCHERS)
		return;
	world->fenced[id] = true;
	world->dead[id] = chance(world, world->rates.dead);
	world->fences[world->n_fences++] = id;
	world->n_dispatchers++;
}

static void dispatch(struct world *world, struct message message)
{
	struct job_state *job = &world->jobs[message.job];

	if (!cf_job_unplaced(job->job, &message.index, 1) ||
	    !cf_job_send(job->job, message.index, message.agent))
		return;
	message.kind = OFFER;
	message.held = chance(world, world->rates.held);
	post(world, message);
	message.kind = OPEN;
	if (message.held)
		post(world, message);
}

static void drive_job(struct world *world, size_t number)
{
	struct job_state *job = &world->jobs[number];
	struct message message = { .job = number };
	uint64_t pending;

	message.agent = world->agents[below(world, AGENTS)].life;
	if (world->dead[job->dispatcher])
		return;
	if (chance(world, world->rates.cancel)) {
		cf_job_stop(job->job, "cancelled");
		message.kind = CANCEL;
		post(world, message);
	} else if (job->adopting) {
		message.kind = ADOPT;
		if (job->waits_for[message.agent])
			post(world, message);
		finish_adoption(world, job);
	} else if (chance(world, 60)) {
		dispatch(world, message);
	} else if (cf_job_agents(job->job, &pending, 1)) {
		message.kind = QUERY;
		message.agent = pending;
		cf_job_pending_at(job->job, pending, &message.index, 1);
		if (is_live(world, pending))
			post(world, message);
		else
			cf_job_lose_agent(job->job, pending);
	}
	check_answer(world, job);
}

/* ---- Runs ---- */

static void drop_message(struct message *message)
{
	for (size_t i = 0; i < TASKS_MAX; i++) {
		if (message->results[i])
			g_bytes_unref(message->results[i]);
	}
}

static void deliver(struct world *world)
{
	for (size_t i = 0; i < world->n_messages;) {
		struct message message = world->messages[i];

		if (message.due_ms > world->now_ms) {
			i++;
			continue;
		}
		world->messages[i] = world->messages[--world->n_messages];
		if (message.kind == REPLY || message.kind == ADOPTED)
			at_dispatcher(world, &message);
		else
			at_agent(world, &message);
		drop_message(&message);
	}
}

static void step(struct world *world)
{
	world->now_ms += below(world, chance(world, 1) ? REMEMBER_MS : 60);
	if (chance(world, 15))
		submit_any(world);
	if (chance(world, world->rates.fence))
		fence_any(world);
	for (size_t i = 0; i < AGENTS; i++) {
		if (chance(world, world->rates.restart))
			restart_agent(world, &world->agents[i]);
		run_agent(world, &world->agents[i]);
		finish_any(world, &world->agents[i]);
	}
	for (size_t i = 1; i <= world->n_jobs; i++) {
		if (chance(world, 20))
			drive_job(world, i);
	}
	deliver(world);
	steps_done++;
}

static void begin(struct world *world, uint32_t seed)
{
	struct rates *rates = &world->rates;

	*world = (struct world){ .random = g_rand_new_with_seed(seed),
				 .now_ms = START_MS,
				 .n_dispatchers = 2 };
	rates->drop = below(world, 30);
	rates->twice = below(world, 40);
	rates->late = below(world, 30);
	rates->held = below(world, 100);
	rates->cancel = below(world, 10);
	rates->restart = chance(world, 30) ? below(world, 3) : 0;
	rates->fence = below(world, 6);
	rates->dead = below(world, 100);
	rates->permit = 50 + below(world, 51);
	for (size_t i = 0; i < AGENTS; i++)
		boot_agent(world, &world->agents[i]);
	world->now_ms++;
}

static void end(struct world *world)
{
	for (size_t i = 0; i < world->n_messages; i++)
		drop_message(&world->messages[i]);
	for (size_t i = 1; i <= world->n_jobs; i++)
		cf_job_destroy(world->jobs[i].job);
	for (size_t i = 0; i < AGENTS; i++)
		cf_gate_destroy(world->agents[i].gate);
	g_rand_free(world->random);
}

static void test_starts_and_answers(void **state)
{
	static struct world world;
	int64_t begin_us = g_get_monotonic_time();

	(void)state;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		begin(&world, seed);
		for (size_t i = 0; i < STEPS && !world.broken; i++)
			step(&world);
		if (world.broken)
			fail_msg("seed %u: %s", seed, world.broken);
		end(&world);
	}
	fprintf(stderr,
		"count: %d seeds, %" PRIu64 " steps, %" PRId64
		" steps/s; starts %" PRIu64 " complete %" PRIu64
		" (adopted %" PRIu64 ") failed %" PRIu64 " not run %" PRIu64
		" unknown %" PRIu64 "\n",
		SEEDS, steps_done,
		(int64_t)steps_done * G_USEC_PER_SEC /
			MAX(g_get_monotonic_time() - begin_us, 1),
		starts_seen, answers_seen[CF_ANSWER_COMPLETE],
		adoptions_complete, answers_seen[CF_ANSWER_FAILED],
		answers_seen[CF_ANSWER_NOT_RUN],
		answers_seen[CF_ANSWER_UNKNOWN]);
	for (size_t i = CF_ANSWER_COMPLETE; i < G_N_ELEMENTS(answers_seen); i++)
		assert_true(answers_seen[i] > 0);
	assert_true(adoptions_complete > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_starts_and_answers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
