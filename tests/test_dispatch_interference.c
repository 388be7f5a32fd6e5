/*
 * test_dispatch_interference: simulates classes that slow each other down when
 * they share a server. With the agents' estimates, dispatchers must keep such
 * classes apart, so that more jobs are in time than without the estimates.
 * Further tests check the choice for single jobs and what is learned.
 */
#include "support/many_world.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define ARRIVALS_MS 40000
#define CPU_MILLI 72000
#define SHORT 0
#define LONG 1
#define MIDDLE 2

struct interference_case {
	const char *name;
	uint32_t dispatchers, servers;
	double factor; /* of the arrival rates; 1 needs 490 processors */
	struct many_slowdown slowdowns[2];
	size_t n_slowdowns;
	double late_max; /* late jobs, as a fraction of those without */
};

static const struct interference_case cases[] = {
	{ "one dispatcher, short and long slow each other down",
	  1,
	  16,
	  1.0,
	  { { SHORT, LONG, 1.8 }, { LONG, SHORT, 1.8 } },
	  2,
	  0.5 },
	{ "3 dispatchers, short and long slow each other down",
	  3,
	  16,
	  1.0,
	  { { SHORT, LONG, 1.8 }, { LONG, SHORT, 1.8 } },
	  2,
	  0.5 },
	{ "3 dispatchers, short and long, nearly no spare capacity",
	  3,
	  16,
	  1.6,
	  { { SHORT, LONG, 1.8 }, { LONG, SHORT, 1.8 } },
	  2,
	  1 },
	{ "3 dispatchers, short and long, above the capacity",
	  3,
	  16,
	  2.6,
	  { { SHORT, LONG, 1.8 }, { LONG, SHORT, 1.8 } },
	  2,
	  1.05 },
	{ "3 dispatchers, nothing slows anything down",
	  3,
	  16,
	  1.0,
	  { { 0 } },
	  0,
	  1.1 },
};

static uint32_t simulate(const struct interference_case *c, bool ignores,
			 uint32_t *asked)
{
	struct many_load load = { .classes = world_order_desk,
				  .factor = c->factor,
				  .arrivals_ms = ARRIVALS_MS,
				  .dispatchers = c->dispatchers,
				  .servers = c->servers,
				  .cpu_milli = CPU_MILLI,
				  .slowdowns = c->slowdowns,
				  .n_slowdowns = c->n_slowdowns,
				  .ignores_interference = ignores,
				  .seed = 20261204 };
	struct world_result result;
	uint32_t not_in_time = 0;

	many_simulate(&load, &result);
	*asked = 0;
	for (size_t i = 0; i < WORLD_CLASSES; i++) {
		const struct world_tally *t = &result.classes[i];

		fprintf(stderr,
			"count: %s, %s: %s asked=%u in_time=%u late=%u "
			"refused=%u given_up=%u\n",
			c->name, ignores ? "without" : "with",
			world_order_desk[i].name, t->asked, t->in_target,
			t->late, t->refused, t->given_up);
		not_in_time += t->asked - t->in_target;
		*asked += t->asked;
	}
	fprintf(stderr, "count: runs=%u stopped=%u states=%u mean_run_ms=%u\n",
		result.runs, result.stopped_runs, result.states,
		result.runs ? (uint32_t)(result.run_ms / result.runs) : 0);
	assert_int_equal(result.overlapping_runs, 0);
	assert_int_equal(result.false_refusals, 0);
	return not_in_time;
}

static void test_classes_are_kept_apart(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint32_t asked;
		uint32_t without = simulate(&cases[i], true, &asked);
		uint32_t with = simulate(&cases[i], false, &asked);

		fprintf(stderr,
			"count: %s: of %u jobs not in time %u without, %u "
			"with\n",
			cases[i].name, asked, without, with);
		assert_true(with <= cases[i].late_max * without + 2);
	}
}

/* ---- Single jobs ---------------------------------------------------- */

#define RUN_MS 100
#define SERVERS 2

struct recorder {
	struct dispatch_sink sink; /* first member */
	uint32_t starts, answers;
	uint64_t agent; /* of the last start */
	struct start_command last;
};

static void record_start(struct dispatch_sink *sink, uint64_t agent,
			 const struct start_command *command)
{
	struct recorder *r = (struct recorder *)sink;

	r->starts++;
	r->agent = agent;
	r->last = *command;
}

static void record_stop(struct dispatch_sink *sink, uint64_t agent,
			const struct run_name *name)
{
	(void)sink;
	(void)agent;
	(void)name;
}

static void record_answer(struct dispatch_sink *sink, void *caller,
			  const struct job_answer *answer)
{
	(void)caller;
	(void)answer;
	((struct recorder *)sink)->answers++;
}

static void record_demand(struct dispatch_sink *sink, bool has_demand)
{
	(void)sink;
	(void)has_demand;
}

/* What runs at each server, NULL: nothing. */
static void report(struct dispatch *d, const char *const running[SERVERS],
		   bool interferes, uint64_t received, int64_t now_ms)
{
	const struct class_slowdown slowdown = { "a", "b", 0.5, 100 };

	for (uint64_t i = 0; i < SERVERS; i++) {
		struct server_state state = {
			.service = "desk",
			.capacity = { .cpu_milli = 1000, .memory_mb = 100 },
			.free_cpu_milli = running[i] ? 500 : 400,
			.offered_cpu_milli = running[i] ? 500 : 400,
			.free_memory_mb = 100,
			.accepting = true,
			.received = received
		};
		struct class_runs classes = { .running = 1 };
		struct interference_report from = { &classes,
						    running[i] != NULL,
						    &slowdown, interferes };

		if (running[i])
			g_strlcpy(classes.class_name, running[i], CF_NAME_SIZE);
		g_snprintf(state.name, sizeof(state.name), "s%u", (uint32_t)i);
		dispatch_agent_lease_granted(d, i + 1, now_ms);
		dispatch_update_server(d, i + 1, &state, now_ms);
		dispatch_update_interference(d, i + 1, state.name, &from,
					     now_ms);
		dispatch_finish_report(d, i + 1, now_ms);
	}
}

static struct dispatch *create_dispatch(struct recorder *r)
{
	static const struct dispatch_sink_ops ops = { record_start, record_stop,
						      record_answer,
						      record_demand };
	struct dispatch *d;

	memset(r, 0, sizeof(*r));
	r->sink.ops = &ops;
	d = dispatch_create(&r->sink, "dc");
	for (uint64_t i = 0; i < SERVERS; i++) {
		struct agent_identity agent = { .incarnation = i + 1,
						.data_centre = "dc" };

		dispatch_agent_connected(d, &agent, 0);
	}
	return d;
}

static void submit(struct dispatch *d, const char *class_name, uint32_t number,
		   int64_t now_ms)
{
	struct job_request request = { .arrived_ms = now_ms,
				       .deadline_ms = now_ms + 2000 };

	g_snprintf(request.id, sizeof(request.id), "%u", number);
	g_strlcpy(request.route.name, class_name, CF_NAME_SIZE);
	g_strlcpy(request.route.service, "desk", CF_NAME_SIZE);
	request.route.target_ms = 400;
	request.route.stretch_milli = 1600;
	request.route.attempts_max = 1;
	request.spec.spec = g_bytes_new("x", 1);
	request.spec.n_tasks = 1;
	request.spec.cpu_milli = 100;
	request.spec.memory_mb = 1;
	request.spec.estimate_ms = RUN_MS;
	dispatch_submit(d, &request, now_ms);
	g_bytes_unref(request.spec.spec);
}

/* Server 1 has more free capacity and is preferred unless the class that runs
 * there makes the other one better. */
static void test_choice_of_a_server(void **state)
{
	static const struct {
		const char *name, *running, *submitted;
		bool interferes;
		uint64_t agent;
	} choices[] = {
		{ "slowed class avoids", "b", "a", true, 2 },
		{ "slowing class avoids", "a", "b", true, 2 },
		{ "same class doesn't avoid", "a", "a", true, 1 },
		{ "other class doesn't avoid", "b", "c", true, 1 },
		{ "no known pair", "b", "a", false, 1 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(choices); i++) {
		const char *const running[SERVERS] = { choices[i].running,
						       NULL };
		struct recorder r;
		struct dispatch *d = create_dispatch(&r);

		/* The dispatcher knows how long runs of the class take that is
		 * at the server from a run of its own. */
		report(d, running, choices[i].interferes, 0, 1000);
		submit(d, choices[i].running, 1, 1000);
		report(d, running, choices[i].interferes, 1, 1000);
		dispatch_tick(d, 1010);
		submit(d, choices[i].submitted, 2, 1010);
		fprintf(stderr, "count: %s: agent %u\n", choices[i].name,
			(uint32_t)r.agent);
		assert_int_equal(r.starts, 2);
		assert_int_equal(r.agent, choices[i].agent);
		dispatch_destroy(d);
	}
}

/* Runs that were slowed down by a known pair must not raise the prediction,
 * which placement multiplies by the slowdown again. */
static void test_prediction_does_not_creep_up(void **state)
{
	static const char *const running[SERVERS] = { "b", "b" };
	struct recorder r;
	struct dispatch *d = create_dispatch(&r);
	int64_t now_ms = 1000;

	(void)state;
	report(d, running, true, 0, now_ms);
	dispatch_tick(d, now_ms);
	for (uint32_t i = 1; i <= 100; i++, now_ms += 500) {
		struct run_result result = { .outcome = RUN_OUTCOME_DONE };

		submit(d, "a", i, now_ms);
		assert_int_equal(r.starts, i);
		result.name = r.last.name;
		result.run_ms = (uint32_t)(RUN_MS * exp(0.5));
		dispatch_handle_result(d, r.agent, &result,
				       now_ms + result.run_ms);
		report(d, running, true, i, now_ms + result.run_ms);
		dispatch_tick(d, now_ms + result.run_ms);
	}
	fprintf(stderr, "count: predicted %u ms after 100 slowed runs\n",
		r.last.expected_ms);
	assert_true(r.last.expected_ms <= RUN_MS * 1.1);
	assert_true(r.last.expected_ms >= RUN_MS * 0.9);
	dispatch_destroy(d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_choice_of_a_server),
		cmocka_unit_test(test_prediction_does_not_creep_up),
		cmocka_unit_test(test_classes_are_kept_apart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
