/*
 * test_speed_place: where a dispatcher starts a task on three fast servers and
 * a slow one. Long jobs must not start where they can't be in time while a fast
 * server may still come free, short ones must leave scarce fast servers to
 * them, and without known speeds no task may wait for a faster server.
 */
#include "leased/dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define SERVERS 4
#define SLOW 4 /* the others are fast */
#define CAPACITY_MILLI 10000
#define TASK_MILLI 1000
#define DEADLINE_MS 10000
/* Run times on a fast server are 0.8 times the average, on the slow one 1.95
 * times. The target is 1.6 times the average and 60 ms. */
#define FAST_LOG (-0.36)
#define SLOW_LOG 0.53

enum place {
	PLACE_FAST,
	PLACE_SLOW,
	PLACE_NONE, /* it waits */
};

static const struct {
	const char *name;
	int64_t fast_free, slow_free; /* of each server; -1: it takes no work */
	bool hides_speed;
	uint32_t estimate_ms;
	int64_t waited_ms;
	enum place place;
} cases[] = {
	{ "short, room everywhere", 10000, 10000, false, 50, 0, PLACE_FAST },
	{ "long, room everywhere", 10000, 10000, false, 1000, 0, PLACE_FAST },
	{ "short, fast ones full", 0, 10000, false, 50, 0, PLACE_SLOW },
	{ "just in time, fast ones full", 0, 10000, false, 100, 0, PLACE_SLOW },
	{ "long, fast ones full", 0, 10000, false, 1000, 0, PLACE_NONE },
	{ "long, before its target start", 0, 10000, false, 1000, 600,
	  PLACE_NONE },
	{ "long and late", 0, 10000, false, 1000, 700, PLACE_SLOW },
	{ "long, no fast one takes work", -1, 10000, false, 1000, 0,
	  PLACE_SLOW },
	{ "short, fast ones scarce", 1000, 10000, false, 50, 0, PLACE_SLOW },
	{ "little slack, fast ones scarce", 1000, 10000, false, 100, 0,
	  PLACE_FAST },
	{ "long, fast ones scarce", 1000, 10000, false, 1000, 0, PLACE_FAST },
	{ "short, slow one half full too", 1000, 4000, false, 50, 0,
	  PLACE_FAST },
	{ "long, fast ones full, speeds unknown", 0, 10000, true, 1000, 0,
	  PLACE_SLOW },
	{ "short, fast ones scarce, speeds unknown", 1000, 10000, true, 50, 0,
	  PLACE_SLOW }, /* it is the emptiest */
};

struct recorder {
	struct dispatch_sink sink; /* first member */
	uint64_t started_at; /* agent; 0: nowhere */
	uint32_t answers;
};

static void record_start(struct dispatch_sink *sink, uint64_t agent,
			 const struct start_command *command)
{
	(void)command;
	((struct recorder *)sink)->started_at = agent;
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

static void report(struct dispatch *d, uint64_t agent, int64_t free_milli,
		   bool hides_speed)
{
	struct server_state state = { .name = "s",
				      .service = "desk",
				      .capacity = { .cpu_milli = CAPACITY_MILLI,
						    .memory_mb = 100 },
				      .free_cpu_milli = MAX(free_milli, 0),
				      .offered_cpu_milli = MAX(free_milli, 0),
				      .free_memory_mb = 100,
				      .accepting = free_milli >= 0 };

	if (!hides_speed) {
		state.speed_log = agent == SLOW ? SLOW_LOG : FAST_LOG;
		state.speed_sd = 0.05;
	}
	dispatch_update_server(d, agent, &state, 0);
	dispatch_finish_report(d, agent, 0);
}

static void submit(struct dispatch *d, uint32_t estimate_ms)
{
	struct job_request request = { .id = "j",
				       .route = { .name = "r",
						  .service = "desk",
						  .target_ms = 60,
						  .stretch_milli = 1600,
						  .attempts_max = 2 },
				       .spec = { .n_tasks = 1,
						 .cpu_milli = TASK_MILLI,
						 .memory_mb = 1,
						 .estimate_ms = estimate_ms },
				       .arrived_ms = 10,
				       .deadline_ms = DEADLINE_MS };

	request.caller = &request;
	request.spec.spec = g_bytes_new("x", 1);
	dispatch_submit(d, &request, 10);
	g_bytes_unref(request.spec.spec);
}

static enum place place_of(const struct recorder *r)
{
	if (!r->started_at)
		return PLACE_NONE;
	return r->started_at == SLOW ? PLACE_SLOW : PLACE_FAST;
}

static void test_places(void **state)
{
	static const struct dispatch_sink_ops ops = { record_start, record_stop,
						      record_answer,
						      record_demand };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct recorder r = { .sink = { &ops } };
		struct dispatch *d = dispatch_create(&r.sink, "dc");

		for (uint64_t a = 1; a <= SERVERS; a++) {
			struct agent_identity agent = { .incarnation = a,
							.data_centre = "dc" };

			dispatch_agent_connected(d, &agent, 0);
			report(d, a,
			       a == SLOW ? cases[i].slow_free
					 : cases[i].fast_free,
			       cases[i].hides_speed);
		}
		dispatch_tick(d, 0);
		submit(d, cases[i].estimate_ms);
		for (int64_t now_ms = 20; now_ms <= 10 + cases[i].waited_ms;
		     now_ms += 10) {
			for (uint64_t a = 1; a <= SERVERS; a++)
				dispatch_agent_lease_granted(d, a, now_ms);
			dispatch_tick(d, now_ms);
		}
		print_message("%s: started at %u\n", cases[i].name,
			      (unsigned)r.started_at);
		assert_int_equal(place_of(&r), cases[i].place);
		assert_int_equal(r.answers, 0);
		dispatch_destroy(d);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_places),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
