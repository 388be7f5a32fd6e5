/*
 * test_dispatch_contain: where a dispatcher sends single jobs while a class is
 * contained, and which it refuses.
 */
#include "leased/dispatch.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#define SERVERS 4 /* so that the contained set is one host */
#define NOW_MS 10000
#define RETURN_S 3 /* a crashed server is back by then */
#define JITTER_S 3

struct recorder {
	struct dispatch_sink sink; /* first member */
	uint64_t agent; /* of the last start; 0: none */
	struct job_answer answer; /* the last one; without a reason: none */
};

static void record_start(struct dispatch_sink *sink, uint64_t agent,
			 const struct start_command *command)
{
	(void)command;
	((struct recorder *)sink)->agent = agent;
}

static void ignore_stop(struct dispatch_sink *sink, uint64_t agent,
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
	((struct recorder *)sink)->answer = *answer;
}

static void ignore_demand(struct dispatch_sink *sink, bool has_demand)
{
	(void)sink;
	(void)has_demand;
}

/* The host of the contained set has more free processors than the others. */
static void report(struct dispatch *d, bool set_up, uint32_t set_milli,
		   uint32_t others_milli, uint64_t set, int64_t now_ms)
{
	for (uint64_t i = 1; i <= SERVERS; i++) {
		uint32_t free_milli = i == set ? set_milli : others_milli;
		struct server_state state = { .name = "s",
					      .service = "desk",
					      .capacity = { .cpu_milli = 10000,
							    .memory_mb = 100 },
					      .free_cpu_milli = free_milli,
					      .offered_cpu_milli = free_milli,
					      .free_memory_mb = 100,
					      .accepting = set_up || i != set,
					      .received = 100 };

		dispatch_agent_lease_granted(d, i, now_ms);
		dispatch_update_server(d, i, &state, now_ms);
		dispatch_finish_report(d, i, now_ms);
	}
}

static void submit(struct dispatch *d, const char *id, const char *class_name,
		   int64_t now_ms)
{
	struct job_request request = { .arrived_ms = now_ms,
				       .deadline_ms = now_ms + 2000 };

	g_strlcpy(request.id, id, sizeof(request.id));
	g_strlcpy(request.route.name, class_name, CF_NAME_SIZE);
	g_strlcpy(request.route.service, "desk", CF_NAME_SIZE);
	request.route.target_ms = 400;
	request.route.stretch_milli = 1600;
	request.route.attempts_max = 1;
	request.spec.spec = g_bytes_new("x", 1);
	request.spec.n_tasks = 1;
	request.spec.cpu_milli = 1000;
	request.spec.memory_mb = 1;
	request.spec.estimate_ms = 100;
	dispatch_submit(d, &request, now_ms);
	g_bytes_unref(request.spec.spec);
}

/* Class "a" is contained; returns the only host of the contained set. */
static uint64_t contain(struct dispatch *d, struct recorder *r)
{
	const struct class_loss loss = { .class_name = "a", .ran_ms = 11 };
	uint64_t set;

	for (uint64_t i = 1; i <= SERVERS; i++) {
		struct agent_identity agent = { .incarnation = i,
						.data_centre = "dc" };

		g_snprintf(agent.name, sizeof(agent.name), "host-%u",
			   (uint32_t)i);
		dispatch_agent_connected(d, &agent, NOW_MS);
	}
	report(d, true, 10000, 10000, 0, NOW_MS);
	submit(d, "first-a", "a", NOW_MS);
	submit(d, "first-b", "b", NOW_MS);
	for (uint64_t i = 1; i <= SERVERS; i++)
		dispatch_update_losses(d, i, &loss, 1, (int64_t)i * 100,
				       NOW_MS);
	dispatch_tick(d, NOW_MS);
	submit(d, "probe", "a", NOW_MS);
	set = r->agent;
	r->agent = 0;
	memset(&r->answer, 0, sizeof(r->answer));
	return set;
}

struct place_case {
	const char *name, *class_name;
	uint32_t set_milli, others_milli;
	bool set_up;
	bool goes_to_set, goes_elsewhere, refused;
};

/* clang-format off */
static const struct place_case place_cases[] = {
	{ "contained class keeps to the set", "a", 2000, 9000, true, true, false, false },
	{ "other class spares the set", "b", 9000, 2000, true, false, true, false },
	{ "other class uses the set in a shortage", "b", 9000, 500, true, true, false, false },
	{ "contained class waits for the set", "a", 500, 9000, true, false, false, false },
	{ "contained class is refused without the set", "a", 9000, 9000, false, false, false, true },
	{ "other class needs no set", "b", 9000, 9000, false, false, true, false },
};
/* clang-format on */

static struct dispatch *create(struct recorder *r)
{
	static const struct dispatch_sink_ops ops = { record_start, ignore_stop,
						      record_answer,
						      ignore_demand };

	memset(r, 0, sizeof(*r));
	r->sink.ops = &ops;
	return dispatch_create(&r->sink, "dc");
}

static void assert_refused(const struct recorder *r)
{
	assert_non_null(r->answer.reason);
	assert_int_equal(r->answer.verdict, JOB_VERDICT_REFUSED);
	assert_in_range(r->answer.retry_after_s, RETURN_S, RETURN_S + JITTER_S);
}

static void test_place_while_a_class_is_contained(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(place_cases); i++) {
		const struct place_case *c = &place_cases[i];
		struct recorder r;
		struct dispatch *d = create(&r);
		uint64_t set = contain(d, &r);

		print_message("%s\n", c->name);
		report(d, c->set_up, c->set_milli, c->others_milli, set,
		       NOW_MS + 10);
		submit(d, "job", c->class_name, NOW_MS + 10);
		assert_int_equal(r.agent == set, c->goes_to_set);
		assert_int_equal(r.agent && r.agent != set, c->goes_elsewhere);
		if (c->refused)
			assert_refused(&r);
		else
			assert_null(r.answer.reason);
		dispatch_destroy(d);
	}
}

static void test_waiting_job_is_refused_when_the_set_crashes(void **state)
{
	struct recorder r;
	struct dispatch *d = create(&r);
	uint64_t set = contain(d, &r);

	(void)state;
	report(d, true, 500, 9000, set, NOW_MS + 10);
	submit(d, "job", "a", NOW_MS + 10);
	assert_null(r.answer.reason);
	dispatch_tick(d, NOW_MS + 20);
	report(d, false, 500, 9000, set, NOW_MS + 30);
	dispatch_tick(d, NOW_MS + 30);
	assert_int_equal(r.agent, 0);
	assert_refused(&r);
	dispatch_destroy(d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_place_while_a_class_is_contained),
		cmocka_unit_test(
			test_waiting_job_is_refused_when_the_set_crashes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
