/*
 * test_dispatch: simulates loads on healthy, slow, failing, hanging and lost
 * servers and counts, by class and job size, which jobs are completed in time
 * or late and which are refused early or late. Refusals must be true and
 * early, no class and no large job may starve, and a task must never have two
 * runs at a time. Further tests check the decisions about single jobs.
 */
#include "proto/wire.pb-c.h"
#include "support/dispatch_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define SERVERS 11
#define CPU_MILLI 64000
#define ARRIVALS_MS 20000

struct expected {
	double in_target; /* minimum fraction of all jobs */
	double served; /* minimum fraction of the jobs of each class */
	double refused_late; /* maximum fraction of the refused jobs */
};

struct scenario {
	const char *name;
	double factor;
	double poison;
	struct world_server faulty; /* used for the first n_faulty servers */
	size_t n_faulty;
	struct expected expected;
};

static const struct scenario scenarios[] = {
	{ "two thirds of the servers' capacity",
	  0.95,
	  0,
	  { 0 },
	  0,
	  { 0.95, 0.95, 0.2 } },
	{ "one and a half times the capacity",
	  2.1,
	  0,
	  { 0 },
	  0,
	  { 0.40, 0.30, 0.2 } },
	{ "two servers seven times slower for a while",
	  0.8,
	  0,
	  { .slowness = 7, .from_ms = 5000, .to_ms = 12000 },
	  2,
	  { 0.90, 0.90, 0.2 } },
	{ "two servers that hang for a while",
	  0.8,
	  0,
	  { .hangs = true, .from_ms = 5000, .to_ms = 12000 },
	  2,
	  { 0.90, 0.90, 0.2 } },
	{ "two servers that fail all tasks for a while",
	  0.8,
	  0,
	  { .fails = true, .from_ms = 5000, .to_ms = 12000 },
	  2,
	  { 0.90, 0.90, 0.2 } },
	{ "two agents disconnected for a while",
	  0.8,
	  0,
	  { .lost = true, .from_ms = 5000, .to_ms = 12000 },
	  2,
	  { 0.90, 0.90, 0.2 } },
	{ "a twentieth of the jobs always fails",
	  0.8,
	  0.05,
	  { 0 },
	  0,
	  { 0.85, 0.85, 0.2 } },
};

static struct world_load make_load(const struct scenario *scenario)
{
	struct world_load load = { .classes = world_order_desk,
				   .factor = scenario->factor,
				   .arrivals_ms = ARRIVALS_MS,
				   .n_servers = SERVERS,
				   .poison = scenario->poison,
				   .seed = 20261204 };

	for (size_t i = 0; i < SERVERS; i++) {
		if (i < scenario->n_faulty)
			load.servers[i] = scenario->faulty;
		load.servers[i].cpu_milli = CPU_MILLI;
	}
	return load;
}

static void print_tally(const char *name, const struct world_result *result)
{
	for (size_t i = 0; i < WORLD_CLASSES; i++) {
		const struct world_tally *t = &result->classes[i];

		fprintf(stderr,
			"count: %s: %s asked=%u in_aim=%u late=%u refused=%u "
			"refused_late=%u given_up=%u failed=%u large=%u/%u\n",
			name, world_order_desk[i].name, t->asked, t->in_target,
			t->late, t->refused, t->refused_late, t->given_up,
			t->failed, t->large_served, t->large_asked);
	}
}

static void check(const struct scenario *scenario,
		  const struct world_result *result)
{
	uint32_t asked = 0, in_target = 0, refused = 0, refused_late = 0;

	for (size_t i = 0; i < WORLD_CLASSES; i++) {
		const struct world_tally *t = &result->classes[i];
		uint32_t answered =
			world_served(t) + t->failed + t->refused + t->given_up;
		double served = (double)world_served(t) / t->asked;

		assert_int_equal(answered, t->asked);
		assert_true(served >= scenario->expected.served);
		/* The largest tenth of the jobs is served at least half as
		 * often as the whole class. */
		assert_true((double)t->large_served >=
			    served / 2 * t->large_asked);
		asked += t->asked;
		in_target += t->in_target;
		refused += t->refused;
		refused_late += t->refused_late;
	}
	assert_true(in_target >= scenario->expected.in_target * asked);
	assert_true(refused_late <=
		    scenario->expected.refused_late * refused + 5);
	assert_int_equal(result->overlapping_runs, 0);
	assert_int_equal(result->false_refusals, 0);
}

static void test_load_scenarios(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		struct world_load load = make_load(&scenarios[i]);
		struct world_result result;

		world_simulate(&load, &result);
		print_tally(scenarios[i].name, &result);
		check(&scenarios[i], &result);
	}
}

/* ---- Single jobs ---- */

struct recorder {
	struct dispatch_sink sink; /* first member */
	uint32_t starts, starts_at_a, stops, answers;
	bool has_demand;
	struct start_command last_start;
	struct job_answer answer;
};

static void record_start(struct dispatch_sink *sink, uint64_t agent,
			 const struct start_command *command)
{
	struct recorder *r = (struct recorder *)sink;

	(void)agent;
	r->starts++;
	r->starts_at_a += !strcmp(command->server, "a");
	r->last_start = *command;
}

static void record_stop(struct dispatch_sink *sink, uint64_t agent,
			const struct run_name *name)
{
	(void)agent;
	(void)name;
	((struct recorder *)sink)->stops++;
}

static void record_answer(struct dispatch_sink *sink, void *caller,
			  const struct job_answer *answer)
{
	struct recorder *r = (struct recorder *)sink;

	(void)caller;
	r->answers++;
	r->answer = *answer;
}

static void record_demand(struct dispatch_sink *sink, bool has_demand)
{
	((struct recorder *)sink)->has_demand = has_demand;
}

static struct dispatch *create_dispatch(struct recorder *r, bool accepting)
{
	static const struct dispatch_sink_ops ops = { record_start, record_stop,
						      record_answer,
						      record_demand };
	struct agent_identity agent = { .incarnation = 1, .data_centre = "dc" };
	struct server_state state = { .name = "s",
				      .service = "desk",
				      .capacity = { .cpu_milli = 1000,
						    .memory_mb = 10 },
				      .free_cpu_milli = 1000,
				      .offered_cpu_milli = 1000,
				      .free_memory_mb = 10,
				      .accepting = accepting };
	struct dispatch *d;

	memset(r, 0, sizeof(*r));
	r->sink.ops = &ops;
	d = dispatch_create(&r->sink, "dc");
	dispatch_agent_connected(d, &agent, 0);
	dispatch_update_server(d, 1, &state, 0);
	dispatch_finish_report(d, 1, 0);
	return d;
}

/* Creates a configuration with one data centre, in service or out of it. */
static struct cf_config *make_config(const char *data_centre, bool in_service)
{
	struct cf_config *config = cf_config_create();
	Cfw__Configuration message = CFW__CONFIGURATION__INIT;
	Cfw__DataCentre dc = CFW__DATA_CENTRE__INIT;
	Cfw__DataCentre *list[] = { &dc };
	uint8_t data[256];

	dc.name = (char *)(uintptr_t)data_centre;
	dc.in_service = in_service;
	message.revision = 1;
	message.n_data_centres = 1;
	message.data_centres = list;
	assert_true(cf_config_adopt(
		config, data, cfw__configuration__pack(&message, data), NULL));
	return config;
}

/* Reports that the server has no runs and has received this many starts. */
static void report_empty_server(struct dispatch *d, uint64_t received)
{
	struct server_state state = { .name = "s",
				      .service = "desk",
				      .capacity = { .cpu_milli = 1000,
						    .memory_mb = 10 },
				      .free_cpu_milli = 1000,
				      .offered_cpu_milli = 1000,
				      .free_memory_mb = 10,
				      .accepting = true,
				      .received = received };

	dispatch_update_server(d, 1, &state, 0);
}

static void submit_tasks_at(struct dispatch *d, const char *id, void *caller,
			    int64_t deadline_ms, uint32_t tasks,
			    uint32_t cpu_milli, int64_t now_ms)
{
	struct job_request request = { .route = { .name = "r",
						  .service = "desk",
						  .target_ms = 60,
						  .stretch_milli = 1600,
						  .attempts_max = 2 },
				       .spec = { .n_tasks = tasks,
						 .cpu_milli = cpu_milli,
						 .memory_mb = 1,
						 .estimate_ms = 100 },
				       .arrived_ms = now_ms,
				       .deadline_ms = deadline_ms,
				       .caller = caller };

	g_strlcpy(request.id, id, sizeof(request.id));
	request.spec.spec = g_bytes_new("x", 1);
	dispatch_submit(d, &request, now_ms);
	g_bytes_unref(request.spec.spec);
}

static void submit_tasks(struct dispatch *d, const char *id, void *caller,
			 int64_t deadline_ms, uint32_t tasks,
			 uint32_t cpu_milli)
{
	submit_tasks_at(d, id, caller, deadline_ms, tasks, cpu_milli, 0);
}

static void submit(struct dispatch *d, const char *id, void *caller,
		   int64_t deadline_ms)
{
	submit_tasks(d, id, caller, deadline_ms, 1, 1000);
}

static void end_task_run(struct dispatch *d, const char *id, uint32_t index,
			 uint32_t number, enum run_outcome outcome,
			 int64_t now_ms)
{
	struct run_result result = { .name = { .index = index,
					       .number = number },
				     .outcome = outcome,
				     .run_ms = (uint32_t)now_ms };

	g_strlcpy(result.name.job, id, sizeof(result.name.job));
	dispatch_handle_result(d, 1, &result, now_ms);
}

static void end_run(struct dispatch *d, const char *id, uint32_t number,
		    enum run_outcome outcome, int64_t now_ms)
{
	end_task_run(d, id, 0, number, outcome, now_ms);
}

/* The verdict that a caller gets depends on the outcomes of the job's runs. */
static void test_job_verdicts(void **state)
{
	static const struct {
		const char *name;
		bool accepting; /* whether the server accepts work */
		enum run_outcome outcomes[3]; /* of successive runs */
		size_t n_outcomes;
		enum job_verdict verdict;
	} cases[] = {
		{ "done",
		  true,
		  { RUN_OUTCOME_DONE },
		  1,
		  JOB_VERDICT_COMPLETED },
		{ "failed on all attempts",
		  true,
		  { RUN_OUTCOME_FAILED, RUN_OUTCOME_FAILED },
		  2,
		  JOB_VERDICT_FAILED },
		{ "failed once, then done",
		  true,
		  { RUN_OUTCOME_FAILED, RUN_OUTCOME_DONE },
		  2,
		  JOB_VERDICT_COMPLETED },
		{ "stopped, then done",
		  true,
		  { RUN_OUTCOME_STOPPED, RUN_OUTCOME_DONE },
		  2,
		  JOB_VERDICT_COMPLETED },
		{ "no server accepts work",
		  false,
		  { 0 },
		  0,
		  JOB_VERDICT_REFUSED },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct recorder r;
		struct dispatch *d = create_dispatch(&r, cases[i].accepting);

		submit(d, "j", &r, 5000);
		for (size_t n = 0; n < cases[i].n_outcomes; n++) {
			assert_int_equal(r.starts, n + 1);
			assert_int_equal(r.last_start.name.number, n + 1);
			report_empty_server(d, n + 1);
			end_run(d, "j", (uint32_t)n + 1, cases[i].outcomes[n],
				10);
		}
		assert_int_equal(r.answers, 1);
		assert_int_equal(r.answer.verdict, cases[i].verdict);
		if (cases[i].verdict == JOB_VERDICT_REFUSED)
			assert_true(r.answer.retry_after_s > 0);
		dispatch_destroy(d);
	}
}

/* A run is stopped, and its job answered at once, when the caller leaves, the
 * deadline passes, the process stops or the job is cancelled. */
static void test_runs_stop_without_callers(void **state)
{
	enum why { LEFT, DEADLINE, STOPPING, CANCELLED };

	(void)state;
	for (int why = LEFT; why <= CANCELLED; why++) {
		struct recorder r;
		struct dispatch *d = create_dispatch(&r, true);

		submit(d, "j", &r, 1000);
		assert_int_equal(r.starts, 1);
		if (why == LEFT)
			dispatch_abandon(d, "j", &r, 20);
		else if (why == STOPPING)
			dispatch_abort_all(d, 20);
		else if (why == CANCELLED)
			assert_true(dispatch_cancel(d, "j", 20, 20));
		else
			dispatch_tick(d, 1000);
		assert_int_equal(r.stops, 1);
		assert_int_equal(r.answers, 1);
		assert_int_equal(r.answer.verdict, JOB_VERDICT_GIVEN_UP);
		dispatch_destroy(d);
	}
}

/* Guards against a cancel that was passed on late and ends a try of the job
 * that came after it. */
static void test_a_cancel_leaves_later_tries_alone(void **state)
{
	struct recorder r;
	struct dispatch *d = create_dispatch(&r, true);

	(void)state;
	submit(d, "j", &r, 1000); /* at 0 */
	assert_false(dispatch_cancel(d, "j", -1, 20));
	assert_int_equal(r.answers, 0);
	assert_true(dispatch_cancel(d, "j", 0, 20));
	assert_int_equal(r.answers, 1);
	dispatch_destroy(d);
}

/* A job that is submitted again while it runs keeps its one run, which
 * continues until the last caller leaves. While a stopped run may still be
 * running, the new submission is answered "given up" at once; after the run has
 * ended, it starts a new run. */
static void test_resubmission(void **state)
{
	struct recorder r;
	struct dispatch *d = create_dispatch(&r, true);
	int second;

	(void)state;
	submit(d, "j", &r, 5000);
	submit(d, "j", &second, 5000);
	assert_int_equal(r.starts, 1);
	dispatch_abandon(d, "j", &r, 10);
	assert_int_equal(r.stops, 0);
	dispatch_abandon(d, "j", &second, 20);
	assert_int_equal(r.stops, 1);
	submit(d, "j", &r, 5000);
	assert_int_equal(r.starts, 1);
	assert_int_equal(r.answer.verdict, JOB_VERDICT_GIVEN_UP);
	end_run(d, "j", 1, RUN_OUTCOME_STOPPED, 30);
	report_empty_server(d, 1);
	submit(d, "j", &r, 5000);
	assert_int_equal(r.starts, 2);
	dispatch_destroy(d);
}

/* No task starts on a server of another service or in a data centre that is
 * out of service. */
static void test_ineligible_servers(void **state)
{
	static const struct {
		const char *service;
		bool out_of_service;
		uint32_t starts;
	} cases[] = {
		{ "desk", false, 1 },
		{ "other", false, 0 },
		{ "desk", true, 0 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct recorder r;
		struct dispatch *d = create_dispatch(&r, true);
		struct agent_identity agent = { .incarnation = 1,
						.data_centre = "dc" };
		struct server_state reported = {
			.name = "s",
			.capacity = { .cpu_milli = 1000, .memory_mb = 10 },
			.free_cpu_milli = 1000,
			.offered_cpu_milli = 1000,
			.free_memory_mb = 10,
			.accepting = true
		};
		struct cf_config *config =
			make_config("dc", !cases[i].out_of_service);

		g_strlcpy(reported.service, cases[i].service,
			  sizeof(reported.service));
		dispatch_agent_connected(d, &agent, 0);
		dispatch_update_server(d, 1, &reported, 0);
		dispatch_set_config(d, config);
		submit(d, "j", &r, 5000);
		assert_int_equal(r.starts, cases[i].starts);
		dispatch_destroy(d);
		cf_config_destroy(config);
	}
}

static void report_four_servers(struct dispatch *d, uint32_t failing,
				uint64_t received, int64_t now_ms)
{
	static const char *const names[] = { "a", "b", "c", "d" };

	for (uint32_t i = 0; i < G_N_ELEMENTS(names); i++) {
		struct server_state reported = {
			.service = "desk",
			.capacity = { .cpu_milli = 1000, .memory_mb = 10 },
			.free_cpu_milli = 1000,
			.offered_cpu_milli = 1000,
			.free_memory_mb = 10,
			.accepting = true,
			.fails_all = i < failing,
			.received = received
		};

		g_strlcpy(reported.name, names[i], sizeof(reported.name));
		dispatch_update_server(d, 1, &reported, now_ms);
	}
	dispatch_finish_report(d, 1, now_ms);
	dispatch_tick(d, now_ms);
}

/* A server that fails all jobs gets only an occasional task as a probe. It is
 * not avoided if so many servers fail that the fault is likely elsewhere. */
static void test_servers_that_fail_all(void **state)
{
	static const struct {
		uint32_t failing;
		int64_t second_job_ms; /* when the second job arrives */
		uint32_t starts_at_a; /* of the second job */
	} cases[] = {
		{ 0, 100, 1 },
		{ 1, 100, 0 },
		{ 1, 2100, 1 },
		{ 2, 100, 1 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct recorder r;
		struct dispatch *d = create_dispatch(&r, false);
		struct agent_identity agent = { .incarnation = 1,
						.data_centre = "dc" };

		dispatch_agent_connected(d, &agent, 0);
		report_four_servers(d, 0, 0, 0);
		submit(d, "j", &r, 9000);
		assert_int_equal(r.starts_at_a, 1);
		end_run(d, "j", 1, RUN_OUTCOME_DONE, 10);
		r.starts_at_a = 0;
		dispatch_agent_lease_granted(d, 1, cases[i].second_job_ms);
		report_four_servers(d, cases[i].failing, 1,
				    cases[i].second_job_ms);
		submit_tasks_at(d, "k", &r, 9000, 1, 1000,
				cases[i].second_job_ms);
		assert_int_equal(r.starts_at_a, cases[i].starts_at_a);
		dispatch_destroy(d);
	}
}

/* Demand begins with the first task that finds too little free capacity and
 * ends some time after the last one. */
static void test_demand_begins_and_ends(void **state)
{
	static const struct {
		int64_t at_ms;
		bool expected_demand;
	} checks[] = { { 10, true }, { 250, true }, { 1200, false } };
	struct recorder r;
	struct dispatch *d = create_dispatch(&r, true);

	(void)state;
	submit(d, "j", &r, 5000);
	assert_false(r.has_demand);
	submit(d, "k", &r, 200); /* the server is full until its deadline */
	for (size_t i = 0; i < G_N_ELEMENTS(checks); i++) {
		dispatch_agent_lease_granted(d, 1, checks[i].at_ms);
		dispatch_tick(d, checks[i].at_ms);
		assert_int_equal(r.has_demand, checks[i].expected_demand);
	}
	dispatch_destroy(d);
}

/* A run is stopped, to be started elsewhere, when it is late compared with the
 * job's other task, even if the estimate of both is wrong. While the other
 * task hasn't ended either, the run must be far beyond the estimate. */
static void test_late_runs_move(void **state)
{
	static const struct {
		const char *what;
		uint32_t sibling_ms; /* run time of the other task; 0: not ended
				      */
		int64_t now_ms;
		uint32_t stops;
	} cases[] = {
		{ "as long as the other task", 100, 200, 0 },
		{ "late compared with the other task", 100, 300, 1 },
		{ "both far above the estimate", 400, 800, 0 },
		{ "late compared with a long other task", 400, 1000, 1 },
		{ "none ended, at three times the estimate", 0, 300, 0 },
		{ "none ended, at four times the estimate", 0, 420, 2 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct recorder r;
		struct dispatch *d = create_dispatch(&r, true);
		int64_t now_ms;

		submit_tasks(d, "j", &r, 9000, 2, 500);
		assert_int_equal(r.starts, 2);
		for (now_ms = 10; now_ms < cases[i].now_ms; now_ms += 10) {
			dispatch_agent_lease_granted(d, 1, now_ms);
			if (now_ms == cases[i].sibling_ms)
				end_task_run(d, "j", 1, 1, RUN_OUTCOME_DONE,
					     now_ms);
			dispatch_tick(d, now_ms);
		}
		assert_int_equal(r.stops, cases[i].stops);
		/* The stopped task starts again under a new run number. */
		if (cases[i].sibling_ms && cases[i].stops) {
			report_empty_server(d, 2);
			end_task_run(d, "j", 0, 1, RUN_OUTCOME_STOPPED, now_ms);
			assert_int_equal(r.starts, 3);
			assert_int_equal(r.last_start.name.index, 0);
			assert_int_equal(r.last_start.name.number, 2);
		}
		dispatch_destroy(d);
	}
}

/* Guards against a division by zero: a task that needs no processors would go
 * to a server that has shrunk to none, in preference to all others. */
static void test_server_shrunk_to_nothing(void **state)
{
	struct recorder r;
	struct dispatch *d = create_dispatch(&r, true);
	struct server_state shrunk = { .name = "a",
				       .service = "desk",
				       .capacity = { .memory_mb = 10 },
				       .free_memory_mb = 10,
				       .accepting = true };

	(void)state;
	dispatch_update_server(d, 1, &shrunk, 0);
	submit_tasks(d, "j", &r, 5000, 1, 0);
	assert_int_equal(r.starts, 1);
	assert_int_equal(r.starts_at_a, 0);
	dispatch_destroy(d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_load_scenarios),
		cmocka_unit_test(test_job_verdicts),
		cmocka_unit_test(test_runs_stop_without_callers),
		cmocka_unit_test(test_a_cancel_leaves_later_tries_alone),
		cmocka_unit_test(test_resubmission),
		cmocka_unit_test(test_ineligible_servers),
		cmocka_unit_test(test_servers_that_fail_all),
		cmocka_unit_test(test_demand_begins_and_ends),
		cmocka_unit_test(test_late_runs_move),
		cmocka_unit_test(test_server_shrunk_to_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
