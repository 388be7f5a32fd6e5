/*
 * explore_gate: random simulations, one per seed, of the jobs of
 * dispatchers and the start gates of agents. Messages are lost,
 * duplicated, delayed and reordered; jobs are cancelled; agents restart;
 * dispatchers die, or freeze and resume after their keys were adopted. No
 * (key, index) may start twice, the answer "not run" must be true, and a
 * complete answer must contain all results.
 */
#include "support/gate_world.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define SEEDS 10000
#define STEPS 300

/* ---- Counts ---- */

static uint64_t answers_seen[CF_ANSWER_UNKNOWN + 1];
static uint64_t adoptions_complete, starts_seen, steps_done;

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
		world->violation = "answer \"not run\" after a start";
	if (answer != CF_ANSWER_COMPLETE)
		return;
	adoptions_complete += job->epoch > 0;
	for (uint32_t i = 0; i < key->n_tasks; i++) {
		GBytes *expected = world_result_of(key, i);
		GBytes *result = cf_job_result(job->job, i);

		if (!result || !g_bytes_equal(result, expected))
			world->violation = "complete answer lacks results";
		g_bytes_unref(expected);
	}
}

static void apply_adoption_reply(struct job_state *job,
				 const struct message *message, uint32_t index)
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

/* Ends the adoption once every live agent has replied. If an agent is gone,
 * tasks that were not found may have run and are reported as lost. */
static void finish_adoption(struct world *world, struct job_state *job)
{
	uint64_t incarnation = world->agents[0].incarnation;

	for (uint64_t waited = 0; waited < world->n_incarnations; waited++) {
		if (!job->waits_for[waited])
			continue;
		if (world_is_live(world, waited))
			return;
		job->incomplete = true;
	}
	job->adopting = false;
	for (uint32_t i = 0; i < world->keys[job->key].n_tasks; i++) {
		if (job->incomplete && !job->found[i] &&
		    cf_job_send(job->job, i, incarnation))
			cf_job_event(job->job, i, incarnation, CF_EVENT_LOST,
				     NULL, "");
	}
}

static void deliver_to_dispatcher(struct world *world,
				  const struct message *message)
{
	struct job_state *job = &world->jobs[message->job];

	if (world->dead[job->dispatcher])
		return;
	if (message->kind == REPLY) {
		if (cf_job_event(job->job, message->index,
				 message->agent + AGENT_INCARNATIONS_MAX,
				 message->events[0], message->results[0], ""))
			world->violation =
				"accepted an event from the wrong agent";
		cf_job_event(job->job, message->index, message->agent,
			     message->events[0], message->results[0], "");
	} else if (job->adopting && job->waits_for[message->agent]) {
		job->waits_for[message->agent] = false;
		for (uint32_t i = 0; i < world->keys[job->key].n_tasks; i++)
			apply_adoption_reply(job, message, i);
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

/* Also used for a further job of an adopter, because its first job may have
 * ended before every agent had replied. */
static void adopt(struct world *world, size_t at, uint64_t dispatcher)
{
	struct job_state *job;

	job = add_job(world, at, dispatcher);
	job->adopting = true;
	for (size_t i = 0; i < AGENTS; i++) {
		const struct agent *agent = &world->agents[i];

		job->waits_for[agent->incarnation] = true;
		if (agent->joined_ms >= world->keys[at].made_ms)
			job->incomplete = true;
	}
}

/* Claims always succeed here; explore_claim tests them. */
static void submit_any(struct world *world)
{
	uint64_t id = 1 + world_below(world, (uint32_t)world->n_dispatchers);
	struct key_state *key;
	size_t at;

	if (world->fenced[id] || world->n_jobs == JOBS)
		return;
	if (world->n_keys < KEYS &&
	    (!world->n_keys || world_chance(world, 25))) {
		key = &world->keys[world->n_keys];
		key->made_ms = world->now_ms;
		key->n_tasks = 1 + world_below(world, TASKS_MAX);
		cf_key_make(&key->key, world->now_ms, 0, world->n_keys);
		add_job(world, world->n_keys++, id);
		return;
	}
	at = world_below(world, (uint32_t)world->n_keys);
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
	uint64_t id = 1 + world_below(world, (uint32_t)world->n_dispatchers);

	if (world->fenced[id] || world->n_dispatchers == DISPATCHERS)
		return;
	world->fenced[id] = true;
	world->dead[id] = world_chance(world, world->rates.dead);
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
	message.gated = world_chance(world, world->rates.gated);
	world_post(world, message);
	message.kind = OPEN;
	if (message.gated)
		world_post(world, message);
}

static void drive_job(struct world *world, size_t number)
{
	struct job_state *job = &world->jobs[number];
	struct message message = { .job = number };
	uint64_t pending;

	message.agent = world->agents[world_below(world, AGENTS)].incarnation;
	if (world->dead[job->dispatcher])
		return;
	if (world_chance(world, world->rates.cancel)) {
		cf_job_stop(job->job, "cancelled");
		message.kind = CANCEL;
		world_post(world, message);
	} else if (job->adopting) {
		message.kind = ADOPT;
		if (job->waits_for[message.agent])
			world_post(world, message);
		finish_adoption(world, job);
	} else if (world_chance(world, 60)) {
		dispatch(world, message);
	} else if (cf_job_agents(job->job, &pending, 1)) {
		message.kind = QUERY;
		message.agent = pending;
		cf_job_pending_at(job->job, pending, &message.index, 1);
		if (world_is_live(world, pending))
			world_post(world, message);
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
			deliver_to_dispatcher(world, &message);
		else
			world_deliver_to_agent(world, &message);
		drop_message(&message);
	}
}

static void step(struct world *world)
{
	world->now_ms +=
		world_below(world, world_chance(world, 1) ? REMEMBER_MS : 60);
	if (world_chance(world, 15))
		submit_any(world);
	if (world_chance(world, world->rates.fence))
		fence_any(world);
	for (size_t i = 0; i < AGENTS; i++) {
		if (world_chance(world, world->rates.restart))
			world_restart_agent(world, &world->agents[i]);
		world_run_agent(world, &world->agents[i]);
		world_finish_any(world, &world->agents[i]);
	}
	for (size_t i = 1; i <= world->n_jobs; i++) {
		if (world_chance(world, 20))
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
	rates->drop = world_below(world, 30);
	rates->duplicate = world_below(world, 40);
	rates->late = world_below(world, 30);
	rates->gated = world_below(world, 100);
	rates->cancel = world_below(world, 10);
	rates->restart = world_chance(world, 30) ? world_below(world, 3) : 0;
	rates->fence = world_below(world, 6);
	rates->dead = world_below(world, 100);
	rates->permit = 50 + world_below(world, 51);
	for (size_t i = 0; i < AGENTS; i++)
		world_boot_agent(world, &world->agents[i]);
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
		for (size_t i = 0; i < STEPS && !world.violation; i++)
			step(&world);
		if (world.violation)
			fail_msg("seed %u: %s", seed, world.violation);
		starts_seen += world.starts;
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
