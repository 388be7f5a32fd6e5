/*
 * Tests of placement: which agent gets which task.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "chervilferry.h"

#define AGENTS 3
#define ROW(slots_used, waiting, work_ms, away_us, milli, slow)                \
	{                                                                      \
		.used = (slots_used), .queued = (waiting),                     \
		.backlog_ms = (work_ms), .distance_us = (away_us),             \
		.weight = (milli), .slowness = (slow)                          \
	}
#define FREE(slots_used) ROW(slots_used, 0, 0, 0, 1000, 1)

struct agent_row {
	uint32_t used, queued, backlog_ms, distance_us, weight;
	double slowness;
	/* Capacity; 0: CPU not limited, no accelerator. */
	uint32_t cpu_milli, accelerators;
	uint32_t connections_used;
	bool unusable;
};

static struct cf_place_agent make_agent(const struct agent_row *row)
{
	struct cf_place_agent agent = {
		.capacity = { .slots = 8,
			      .connections = 64,
			      .cpu_milli = row->cpu_milli,
			      .accelerators = row->accelerators },
		.used = { .slots = row->used,
			  .connections = row->connections_used },
		.queued = row->queued,
		.backlog_ms = row->backlog_ms,
		.distance_us = row->distance_us,
		.weight_milli = row->weight,
		.slowness = row->slowness,
		.usable = !row->unusable,
	};

	return agent;
}

struct choice_case {
	const char *name;
	struct agent_row agents[AGENTS];
	struct cf_place_task task;
	uint32_t expected; /* position, or CF_PLACE_NONE */
};

static const struct choice_case choice_cases[] = {
	{ "the agent with a free slot",
	  { ROW(8, 0, 1600, 0, 1000, 1), ROW(7, 0, 1400, 0, 1000, 1),
	    ROW(8, 2, 2000, 0, 1000, 1) },
	  { .predicted_ms = 200 },
	  1 },
	{ "the agent with the least network delay",
	  { ROW(0, 0, 0, 9000, 1000, 1), ROW(0, 0, 0, 8000, 1000, 1),
	    ROW(0, 0, 0, 50, 1000, 1) },
	  { .predicted_ms = 100 },
	  2 },
	{ "the fastest agent",
	  { ROW(0, 0, 0, 0, 1000, 5), ROW(0, 0, 0, 0, 1000, 1.5),
	    ROW(0, 0, 0, 0, 1000, 1) },
	  { .predicted_ms = 100 },
	  2 },
	{ "none: all queues are long",
	  { ROW(8, 0, 1600, 0, 1000, 1), ROW(8, 0, 1600, 0, 1000, 1),
	    ROW(8, 0, 1600, 0, 1000, 1) },
	  { .predicted_ms = 100 },
	  CF_PLACE_NONE },
	{ "a short queue is joined",
	  { ROW(8, 0, 1600, 0, 1000, 1), ROW(8, 0, 160, 0, 1000, 1),
	    ROW(8, 0, 1600, 0, 1000, 1) },
	  { .predicted_ms = 100 },
	  1 },
	{ "none: waiting is better than a straggler's free slot",
	  { ROW(0, 0, 0, 0, 1000, 5), ROW(8, 0, 800, 0, 1000, 1),
	    ROW(8, 0, 800, 0, 1000, 1) },
	  { .predicted_ms = 200 },
	  CF_PLACE_NONE },
	{ "a slightly slow agent is better than waiting",
	  { ROW(3, 0, 0, 0, 1000, 1.4), ROW(8, 0, 480, 0, 1000, 1),
	    ROW(8, 0, 800, 0, 1000, 1) },
	  { .predicted_ms = 200 },
	  0 },
	{ "no ejected or unusable agent",
	  { ROW(0, 0, 0, 0, 0, 1),
	    { .weight = 1000, .slowness = 1, .unusable = true },
	    ROW(3, 0, 600, 900, 1000, 1) },
	  { .predicted_ms = 200 },
	  2 },
	{ "on probation: one slot",
	  { ROW(1, 0, 100, 0, 100, 1), ROW(0, 0, 0, 0, 100, 1),
	    ROW(1, 0, 100, 0, 100, 1) },
	  { .predicted_ms = 100 },
	  1 },
	{ "connections are respected",
	  { { .weight = 1000, .slowness = 1, .connections_used = 64 },
	    { .weight = 1000, .slowness = 1, .connections_used = 63 },
	    { .weight = 1000, .slowness = 1, .connections_used = 64 } },
	  { .predicted_ms = 100 },
	  1 },
	{ "processors are respected",
	  { { .weight = 1000, .slowness = 1, .cpu_milli = 1000 },
	    { .weight = 1000, .slowness = 1, .cpu_milli = 4000 },
	    { .weight = 1000, .slowness = 1, .cpu_milli = 2000 } },
	  { .predicted_ms = 100, .cpu_milli = 3000 },
	  1 },
	{ "the agent with an accelerator",
	  { { .weight = 1000, .slowness = 1 },
	    { .weight = 1000, .slowness = 1 },
	    { .weight = 1000, .slowness = 1, .accelerators = 2 } },
	  { .predicted_ms = 100, .accelerators = 1 },
	  2 },
	{ "none: no accelerator anywhere",
	  { FREE(0), FREE(0), FREE(0) },
	  { .predicted_ms = 100, .accelerators = 1 },
	  CF_PLACE_NONE },
};

static void test_choices(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
		const struct choice_case *c = &choice_cases[i];

		for (uint64_t seed = 0; seed < 20; seed++) {
			struct cf_placer *placer =
				cf_placer_create("finish", seed);
			struct cf_place_agent agents[AGENTS];
			struct cf_place_task task = c->task;

			for (size_t a = 0; a < AGENTS; a++)
				agents[a] = make_agent(&c->agents[a]);
			cf_placer_place(placer, agents, AGENTS, &task, 1);
			if (task.agent != c->expected)
				fail_msg("%s: agent %u", c->name, task.agent);
			cf_placer_destroy(placer);
		}
	}
}

/* Of 30 tasks on 3 x 8 free slots, each slot must get one, with any seed. */
static void test_spreads_a_job(void **state)
{
	static const struct agent_row row = FREE(0);

	(void)state;
	for (uint64_t seed = 0; seed < 20; seed++) {
		struct cf_placer *placer = cf_placer_create("finish", seed);
		struct cf_place_agent agents[AGENTS];
		struct cf_place_task tasks[30] = { 0 };

		for (size_t a = 0; a < AGENTS; a++)
			agents[a] = make_agent(&row);
		for (size_t t = 0; t < 30; t++)
			tasks[t].predicted_ms = 100 + (uint32_t)t;
		assert_int_equal(
			cf_placer_place(placer, agents, AGENTS, tasks, 30), 24);
		for (size_t a = 0; a < AGENTS; a++)
			assert_int_equal(agents[a].used.slots, 8);
		/* The shortest tasks wait. */
		for (size_t t = 0; t < 6; t++)
			assert_int_equal(tasks[t].agent, CF_PLACE_NONE);
		cf_placer_destroy(placer);
	}
}

/* Dispatchers that see the same stale loads must not all choose the same
 * agent. */
static void test_does_not_herd(void **state)
{
	static const struct agent_row rows[AGENTS] = { FREE(2), FREE(3),
						       FREE(4) };
	uint32_t counts[AGENTS] = { 0 };

	(void)state;
	for (uint64_t seed = 0; seed < 300; seed++) {
		struct cf_placer *placer = cf_placer_create("finish", seed);
		struct cf_place_agent agents[AGENTS];
		struct cf_place_task task = { .predicted_ms = 100 };

		for (size_t a = 0; a < AGENTS; a++)
			agents[a] = make_agent(&rows[a]);
		cf_placer_place(placer, agents, AGENTS, &task, 1);
		counts[task.agent]++;
		cf_placer_destroy(placer);
	}
	for (size_t a = 0; a < AGENTS; a++)
		assert_in_range(counts[a], 50, 160);
}

/* With many agents only a sample is compared, but all agents are compared if
 * none in the sample can take the task. */
static void test_many_agents(void **state)
{
	static const struct agent_row full = ROW(8, 0, 8000, 0, 1000, 1);
	static const struct agent_row empty = FREE(0);
	struct cf_place_agent *agents = g_new(struct cf_place_agent, 790);
	struct cf_placer *placer = cf_placer_create("finish", 1);
	struct cf_place_task tasks[8] = { 0 };

	(void)state;
	for (size_t a = 0; a < 790; a++)
		agents[a] = make_agent(a == 700 ? &empty : &full);
	for (size_t t = 0; t < 8; t++)
		tasks[t].predicted_ms = 100;
	assert_int_equal(cf_placer_place(placer, agents, 790, tasks, 8), 8);
	for (size_t t = 0; t < 8; t++)
		assert_int_equal(tasks[t].agent, 700);
	cf_placer_destroy(placer);
	g_free(agents);
}

/* The baselines place tasks at once, whatever is queued, but only where a
 * task can run. */
static void test_baselines(void **state)
{
	static const char *const names[] = { "random", "round-robin", "least" };
	static const struct agent_row rows[AGENTS] = {
		ROW(8, 20, 9000, 0, 1000, 1),
		{ .weight = 1000, .slowness = 1, .unusable = true },
		ROW(8, 30, 9000, 0, 1000, 1),
	};

	(void)state;
	for (size_t n = 0; n < G_N_ELEMENTS(names); n++) {
		struct cf_placer *placer = cf_placer_create(names[n], 3);
		struct cf_place_agent agents[AGENTS];
		struct cf_place_task tasks[10] = { 0 };

		assert_string_equal(placer->ops->name, names[n]);
		for (size_t a = 0; a < AGENTS; a++)
			agents[a] = make_agent(&rows[a]);
		assert_int_equal(
			cf_placer_place(placer, agents, AGENTS, tasks, 10), 10);
		assert_int_equal(agents[1].queued, 0);
		assert_int_equal(agents[0].queued + agents[2].queued, 60);
		if (n == 2) /* least */
			assert_int_equal(agents[0].queued, 30);
		cf_placer_destroy(placer);
	}
	assert_null(cf_placer_create("best", 1));
}

static void test_ever_fits(void **state)
{
	static const struct agent_row row = { .cpu_milli = 4000 };
	struct cf_place_agent agent = make_agent(&row);
	struct cf_place_task fits = { .cpu_milli = 4000 };
	struct cf_place_task never = { .cpu_milli = 4001 };

	(void)state;
	agent.used.cpu_milli = 4000;
	assert_true(cf_place_ever_fits(&agent, 1, &fits));
	assert_false(cf_place_ever_fits(&agent, 1, &never));
	assert_false(cf_place_ever_fits(&agent, 0, &fits));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_choices),
		cmocka_unit_test(test_spreads_a_job),
		cmocka_unit_test(test_does_not_herd),
		cmocka_unit_test(test_many_agents),
		cmocka_unit_test(test_baselines),
		cmocka_unit_test(test_ever_fits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
