/*
 * test_interference: simulates backend servers on which some classes slow each
 * other down, and checks which pairs the estimates of the agents and the view
 * of a dispatcher find. A slow server, overload and chance must not be taken
 * for interference, and interference that ended must be forgotten.
 */
#include "leased/interference.h"
#include "leased/interference_view.h"

#include <glib.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define CLASSES 3
#define SERVERS_MAX 24
#define STEP_MS 4
#define TICK_MS 500
#define CPU_MILLI 1000 /* capacity of a server */
#define TASK_CPU_MILLI 100
#define TASKS_MAX 3 /* of one job at one server */
#define TASK_SPREAD 0.15
#define DURATION_MS 60000

struct slowdown {
	size_t class, beside;
	double factor;
};

struct interference_case {
	const char *name;
	uint32_t servers;
	double load; /* mean used part of a server, without slowdowns */
	uint32_t slow; /* servers that take 1.8 times as long */
	double overload; /* run time grows by this factor with the load */
	struct slowdown slowdowns[2];
	size_t n_slowdowns;
	int64_t ends_ms; /* the slowdowns end; 0: they don't */
	/* Pairs that must be known at the end. Others may be known only if they
	 * do slow down: a long run is beside short ones nearly always, so that
	 * there is little to compare it with. */
	struct slowdown expected[2];
	size_t n_expected;
	bool found_before; /* found and forgotten again */
};

static const struct interference_case cases[] = {
	{ "two classes slow each other down",
	  12,
	  0.4,
	  0,
	  0,
	  { { 0, 1, 1.6 }, { 1, 0, 1.6 } },
	  2,
	  0,
	  { { 0, 1, 1.6 } },
	  1,
	  false },
	{ "one class slows another one down",
	  12,
	  0.4,
	  0,
	  0,
	  { { 2, 1, 1.5 } },
	  1,
	  0,
	  { { 2, 1, 1.5 } },
	  1,
	  false },
	{ "a class slows itself down",
	  12,
	  0.4,
	  0,
	  0,
	  { { 0, 0, 1.7 } },
	  1,
	  0,
	  { { 0, 0, 1.7 } },
	  1,
	  false },
	{ "a third of the servers is slow",
	  12,
	  0.4,
	  4,
	  0,
	  { { 0 } },
	  0,
	  0,
	  { { 0 } },
	  0,
	  false },
	{ "all classes slow down with the load",
	  12,
	  0.6,
	  0,
	  1.2,
	  { { 0 } },
	  0,
	  0,
	  { { 0 } },
	  0,
	  false },
	{ "interference that ends",
	  12,
	  0.4,
	  0,
	  0,
	  { { 0, 1, 1.6 }, { 1, 0, 1.6 } },
	  2,
	  25000,
	  { { 0 } },
	  0,
	  true },
	{ "interference, slow servers and overload",
	  24,
	  0.45,
	  8,
	  0.8,
	  { { 0, 1, 1.7 } },
	  1,
	  0,
	  { { 0, 1, 1.7 } },
	  1,
	  false },
	{ "few servers",
	  3,
	  0.4,
	  0,
	  0,
	  { { 0, 1, 1.8 }, { 1, 0, 1.8 } },
	  2,
	  0,
	  { { 0, 1, 1.8 } },
	  1,
	  false },
};

static const uint32_t work_ms[CLASSES] = { 60, 850, 190 };
static const char *const names[CLASSES] = { "short", "long", "middle" };

/* ---- Simulation ----------------------------------------------------- */

struct sim_run {
	struct run_request request;
	size_t class;
	double left_ms;
	int64_t started_ms;
};

struct sim_server {
	struct interference *interference;
	GPtrArray *runs; /* struct sim_run; its request is the first member */
};

struct sim {
	const struct interference_case *c;
	struct sim_server servers[SERVERS_MAX];
	struct interference_view *view;
	GRand *random;
	uint32_t next_job;
	int64_t now_ms;
	uint32_t found, ended; /* changes seen */
	uint32_t reports; /* of servers with a suspicion */
};

static double normal(GRand *random)
{
	double sum = 0;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(random);
	return sum - 6;
}

static bool has_class(const struct sim_server *s, size_t class,
		      const struct sim_run *other_than)
{
	for (guint i = 0; i < s->runs->len; i++) {
		const struct sim_run *run = g_ptr_array_index(s->runs, i);

		if (run != other_than && run->class == class)
			return true;
	}
	return false;
}

static double run_time_factor(const struct sim *sim, uint32_t server,
			      const struct sim_run *run)
{
	const struct interference_case *c = sim->c;
	const struct sim_server *s = &sim->servers[server];
	double load = (double)s->runs->len * TASK_CPU_MILLI / CPU_MILLI;
	double factor =
		(server < c->slow ? 1.8 : 1) * (1 + c->overload * load * load);

	for (size_t i = 0; i < c->n_slowdowns; i++)
		if ((!c->ends_ms || sim->now_ms < c->ends_ms) &&
		    c->slowdowns[i].class == run->class &&
		    has_class(s, c->slowdowns[i].beside, run))
			factor *= c->slowdowns[i].factor;
	return factor;
}

static void start_job(struct sim *sim, struct sim_server *s, size_t class)
{
	double error = exp(INTERFERENCE_RUN_SD * normal(sim->random));
	double ms = work_ms[class] * exp(0.4 * normal(sim->random));
	uint32_t tasks =
		(uint32_t)g_rand_int_range(sim->random, 1, TASKS_MAX + 1);

	sim->next_job++;
	for (uint32_t i = 0;
	     i < tasks && s->runs->len * TASK_CPU_MILLI < CPU_MILLI; i++) {
		struct sim_run *run = g_new0(struct sim_run, 1);

		g_snprintf(run->request.name.job, LEASED_JOB_SIZE, "%u",
			   sim->next_job);
		run->request.name.index = i;
		run->request.cpu_milli = TASK_CPU_MILLI;
		run->request.expected_ms = (uint32_t)MAX(ms * error, 1);
		g_strlcpy(run->request.class_name, names[class], CF_NAME_SIZE);
		run->class = class;
		run->left_ms = ms * exp(TASK_SPREAD * normal(sim->random));
		run->started_ms = sim->now_ms;
		g_ptr_array_add(s->runs, run);
	}
}

/* Each class makes up a third of the load. */
static void start_jobs(struct sim *sim, struct sim_server *s)
{
	double tasks = (1 + TASKS_MAX) / 2.0;

	for (size_t class = 0; class < CLASSES; class ++) {
		double jobs = sim->c->load * CPU_MILLI / TASK_CPU_MILLI /
			      CLASSES / (work_ms[class] * 1.08 * tasks) *
			      STEP_MS;

		if (g_rand_double(sim->random) < jobs)
			start_job(sim, s, class);
	}
}

static void end_runs(struct sim *sim, uint32_t server)
{
	struct sim_server *s = &sim->servers[server];

	for (guint i = 0; i < s->runs->len; i++) {
		struct sim_run *run = g_ptr_array_index(s->runs, i);

		run->left_ms -= STEP_MS / run_time_factor(sim, server, run);
	}
	for (guint i = s->runs->len; i-- > 0;) {
		const struct sim_run *run = g_ptr_array_index(s->runs, i);
		struct run_result result = {
			.name = run->request.name,
			.outcome = RUN_OUTCOME_DONE,
			.run_ms = (uint32_t)(sim->now_ms - run->started_ms),
			.expected_ms = run->request.expected_ms
		};

		if (run->left_ms > 0)
			continue;
		interference_add_result(s->interference, &result, 0,
					sim->now_ms);
		g_ptr_array_remove_index_fast(s->runs, i);
	}
}

static uint32_t servers_of(const void *arg, const char *service)
{
	assert_string_equal(service, "desk");
	return ((const struct sim *)arg)->c->servers;
}

static void report(struct sim *sim)
{
	g_autoptr(GArray) changes =
		g_array_new(FALSE, FALSE, sizeof(struct interfering_pair));

	for (uint32_t i = 0; i < sim->c->servers; i++) {
		const GArray *slowdowns = interference_list_slowdowns(
			sim->servers[i].interference, sim->now_ms);

		interference_view_report(
			sim->view, i + 1, "desk",
			(const struct class_slowdown *)(void *)slowdowns->data,
			slowdowns->len, sim->now_ms);
		sim->reports += slowdowns->len > 0;
	}
	interference_view_tick(sim->view, servers_of, sim, sim->now_ms,
			       changes);
	for (guint i = 0; i < changes->len; i++) {
		const struct interfering_pair *pair =
			&g_array_index(changes, struct interfering_pair, i);

		sim->found += pair->interferes;
		sim->ended += !pair->interferes;
		if (getenv("INTERFERENCE_VERBOSE"))
			fprintf(stderr,
				"%s: %d ms: %s beside %s %s, log %.3f error "
				"%.3f servers %u\n",
				sim->c->name, (int)sim->now_ms,
				pair->class_name, pair->beside,
				pair->interferes ? "found" : "ended", pair->log,
				pair->error, pair->servers);
	}
}

static void simulate(const struct interference_case *c, uint32_t seed,
		     struct sim *sim)
{
	memset(sim, 0, sizeof(*sim));
	sim->c = c;
	sim->random = g_rand_new_with_seed(seed);
	sim->view = interference_view_create();
	for (uint32_t i = 0; i < c->servers; i++) {
		sim->servers[i].interference = interference_create();
		sim->servers[i].runs = g_ptr_array_new_with_free_func(g_free);
	}
	for (sim->now_ms = STEP_MS; sim->now_ms <= DURATION_MS;
	     sim->now_ms += STEP_MS) {
		for (uint32_t i = 0; i < c->servers; i++) {
			struct sim_server *s = &sim->servers[i];

			end_runs(sim, i);
			start_jobs(sim, s);
			interference_set_running(s->interference, s->runs,
						 CPU_MILLI, sim->now_ms);
		}
		if (sim->now_ms % TICK_MS == 0)
			report(sim);
	}
}

static void clear(struct sim *sim)
{
	for (uint32_t i = 0; i < sim->c->servers; i++) {
		interference_destroy(sim->servers[i].interference);
		g_ptr_array_unref(sim->servers[i].runs);
	}
	interference_view_destroy(sim->view);
	g_rand_free(sim->random);
}

/* ---- Tests ---------------------------------------------------------- */

static void check_pairs(const struct interference_case *c,
			const struct sim *sim)
{
	uint32_t known = 0;

	for (size_t i = 0; i < c->n_expected; i++) {
		const struct slowdown *pair = &c->expected[i];
		double factor = interference_view_factor(
			sim->view, names[pair->class], names[pair->beside]);

		fprintf(stderr, "count: %s: %s beside %s: %.2f, is %.2f\n",
			c->name, names[pair->class], names[pair->beside],
			factor, pair->factor);
		assert_true(fabs(factor - pair->factor) < 0.25 * pair->factor);
	}
	for (size_t i = 0; i < c->n_slowdowns; i++)
		known += interference_view_factor(
				 sim->view, names[c->slowdowns[i].class],
				 names[c->slowdowns[i].beside]) > 1;
	assert_int_equal(interference_view_count(sim->view), known);
	if (c->found_before)
		assert_true(sim->found > 0 && sim->found == sim->ended);
	else
		assert_int_equal(sim->found, known);
}

static void test_pairs_are_told_from_other_causes(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct sim sim;

		simulate(&cases[i], 20261204, &sim);
		check_pairs(&cases[i], &sim);
		clear(&sim);
	}
}

static uint32_t twelve_servers(const void *arg, const char *service)
{
	(void)arg;
	(void)service;
	return 12;
}

/* Reports of few servers are not enough, as those that report are the ones
 * where chance made runs slow; and what isn't renewed is forgotten. */
static void test_what_the_view_takes_for_interference(void **state)
{
	static const struct {
		const char *name;
		uint32_t servers; /* that report, of 12 */
		double log;
		uint32_t samples;
		int64_t age_ms; /* of the reports */
		uint32_t pairs;
	} reports[] = {
		{ "all servers", 12, 0.3, 40, 0, 1 },
		{ "one server", 1, 1.1, 1000, 0, 0 },
		{ "two of twelve servers", 2, 0.4, 40, 0, 0 },
		{ "a small slowdown", 12, 0.1, 1000, 0, 0 },
		{ "few samples", 12, 0.3, 2, 0, 0 },
		{ "no samples", 12, 0.3, 0, 0, 0 },
		{ "still known", 12, 0.3, 40, 29000, 1 },
		{ "forgotten", 12, 0.3, 40, 30000, 0 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(reports); i++) {
		struct interference_view *view = interference_view_create();
		const struct class_slowdown slowdown = { "a", "b",
							 reports[i].log,
							 reports[i].samples };
		g_autoptr(GArray) changes = g_array_new(
			FALSE, FALSE, sizeof(struct interfering_pair));

		for (uint32_t k = 1; k <= reports[i].servers; k++)
			interference_view_report(view, k, "desk", &slowdown, 1,
						 1000);
		interference_view_tick(view, twelve_servers, NULL, 1000,
				       changes);
		interference_view_tick(view, twelve_servers, NULL,
				       1000 + reports[i].age_ms, changes);
		fprintf(stderr, "count: view, %s: %u pairs\n", reports[i].name,
			interference_view_count(view));
		assert_int_equal(interference_view_count(view),
				 reports[i].pairs);
		assert_true(interference_view_factor(view, "b", "a") <= 1);
		interference_view_destroy(view);
	}
}

/* Declared run times have large errors, so that some runs beside a class are
 * slow by chance. */
static void test_chance_is_not_interference(void **state)
{
	static const struct interference_case chance[] = {
		{ .name = "2 servers", .servers = 2, .load = 0.4 },
		{ .name = "8 servers", .servers = 8, .load = 0.4 },
		{ .name = "24 servers", .servers = 24, .load = 0.6 },
	};
	const char *text = getenv("INTERFERENCE_SEEDS");
	uint32_t seeds = text ? (uint32_t)atoi(text) : 34;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(chance); i++) {
		uint32_t false_findings = 0, reports = 0;

		for (uint32_t seed = 1; seed <= seeds; seed++) {
			struct sim sim;

			simulate(&chance[i], seed, &sim);
			false_findings += sim.found > 0;
			reports += sim.reports;
			clear(&sim);
		}
		fprintf(stderr,
			"count: chance, %s: %u of %u runs with a false "
			"finding, %.1f %% of the states with a suspicion\n",
			chance[i].name, false_findings, seeds,
			100.0 * reports / seeds / chance[i].servers * TICK_MS /
				DURATION_MS);
		assert_true(false_findings * 100 <= seeds);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pairs_are_told_from_other_causes),
		cmocka_unit_test(test_what_the_view_takes_for_interference),
		cmocka_unit_test(test_chance_is_not_interference),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
