/*
 * Planned stops of each role and of a backend server, under load. No
 * request may be aborted, and a stopping process must get no new work.
 */
#include "support/cluster.h"
#include "support/relay.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define LOAD_WAIT_MS 60000
#define RELAY_PORT 6001
#define RELAY_DELAY_MS 15 /* for each chunk of data */
#define STOPS 3
#define WARMUP_STARTS 40 /* task starts before the first stop */

/* ---- Helpers ---- */

static const char *const load_args[] = { "--rate",   "30",      "--duration-s",
					 "6",        "--tasks", "4",
					 "--run-ms", "30",      "--seed",
					 "20261204", NULL };

static struct cluster *start(void)
{
	static const struct cluster_options options = { .coordinators = 3,
							.dispatchers = 2,
							.agents = 4 };
	struct cluster *c = cluster_create(&options);

	cluster_start(c);
	return c;
}

static int64_t starts(struct cluster *c)
{
	char name[16];
	int64_t sum = 0;
	int i;

	for (i = 1; i <= c->n_agents; i++) {
		snprintf(name, sizeof(name), "a%d", i);
		if (cluster_proc(c, name)->pid)
			sum += cluster_metric(
				c, name,
				"chervilferry_agent_tasks_started_total");
	}
	return sum;
}

static bool load_is_running(struct cluster *c, void *arg)
{
	(void)arg;
	return starts(c) >= WARMUP_STARTS;
}

static bool has_leader(struct cluster *c, void *arg)
{
	(void)arg;
	return cluster_leader(c) != NULL;
}

static void check_load(struct cluster *c, struct proc *load)
{
	struct cf_trace_summary summary;
	int64_t jobs, whole;

	assert_int_equal(proc_wait(load, LOAD_WAIT_MS), 0);
	jobs = cluster_load_field(load, "jobs");
	whole = cluster_load_field(load, "complete");
	fprintf(stderr, "count: jobs=%d complete=%d\n", (int)jobs, (int)whole);
	assert_true(jobs > 100);
	if (whole != jobs)
		cluster_print_load_failures(c, load);
	assert_int_equal(whole, jobs);
	assert_int_equal(cluster_check(c, &summary), 0);
	assert_int_equal(summary.double_starts, 0);
}

/* ---- Cases ---- */

struct stop_case {
	const char *name;
	const char *stopped[2]; /* in this order; NULL: the leader */
	int n;
	bool restart;
};

static void test_planned_stop(void **state)
{
	const struct stop_case *s = *state;
	struct cluster *c = start();
	struct proc *load = cluster_load(c, load_args);
	int i;

	assert_true(cluster_wait(c, load_is_running, NULL, LOAD_WAIT_MS));
	for (i = 0; i < s->n; i++) {
		const char *name = s->stopped[i];
		struct proc *p =
			cluster_proc(c, name ? name : cluster_leader(c));
		int64_t begin_ms = clock_now_ms();

		assert_int_equal(proc_stop(p), 0);
		fprintf(stderr, "count: %s stopped in %d ms\n", p->name,
			(int)(clock_now_ms() - begin_ms));
		if (!s->restart)
			continue;
		proc_start(c, p);
		if (strcmp(p->role, "backend") != 0)
			cluster_wait_ready(c, p->name, LOAD_WAIT_MS);
		assert_true(cluster_wait(c, has_leader, NULL, LOAD_WAIT_MS));
	}
	check_load(c, load);
	cluster_destroy(c);
}

/* Tasks still in transit to an agent when it announces its stop must be
 * answered "not started" and placed on another agent. */
static void test_agent_behind_a_slow_connection(void **state)
{
	static const struct cluster_options options = { .coordinators = 3,
							.dispatchers = 2,
							.agents = 4 };
	struct cluster *c = cluster_create(&options);
	struct proc *agent = cluster_proc(c, "a1");
	struct relay *relay;
	struct proc *load;
	char address[40];

	(void)state;
	snprintf(address, sizeof(address), "%s:%d", c->ip, RELAY_PORT);
	relay = relay_create(address, cluster_address(c, "a1", "listen"));
	proc_set(agent, "--advertise", address);
	cluster_start(c);
	load = cluster_load(c, load_args);
	assert_true(cluster_wait(c, load_is_running, NULL, LOAD_WAIT_MS));
	relay_delay(relay, RELAY_DELAY_MS);
	for (int i = 0; i < STOPS; i++) {
		assert_int_equal(proc_stop(agent), 0);
		proc_start(c, agent);
		cluster_wait_ready(c, agent->name, LOAD_WAIT_MS);
	}
	relay_delay(relay, 0);
	check_load(c, load);
	cluster_destroy(c);
	relay_destroy(relay);
}

static void test_term_twice(void **state)
{
	struct cluster *c = start();
	struct proc *agent = cluster_proc(c, "a1");
	char *body = cluster_job_body("default", 30, 400, 10000);
	char key[CF_KEY_TEXT_SIZE], *answer = NULL;
	struct cf_key k;

	(void)state;
	cluster_key(&k, key);
	proc_terminate(agent);
	proc_terminate(agent);
	assert_int_equal(cluster_http(cluster_address(c, "d1", "http"), "POST",
				      "/v1/jobs", key, body, &answer, 20000),
			 200);
	assert_int_equal(proc_wait(agent, LOAD_WAIT_MS), 0);
	assert_int_equal(cluster_check(c, NULL), 0);
	g_free(answer);
	g_free(body);
	cluster_destroy(c);
}

int main(void)
{
	static const struct stop_case cases[] = {
		{ "dispatcher", { "d1" }, 1, true },
		{ "agents", { "a1", "a2" }, 2, true },
		{ "backend servers", { "b3", "b4" }, 2, true },
		{ "leader and the next", { NULL, NULL }, 2, true },
	};
	const struct CMUnitTest tests[] = {
		{ "stop_dispatcher", test_planned_stop, NULL, cluster_teardown,
		  (void *)&cases[0] },
		{ "stop_agents", test_planned_stop, NULL, cluster_teardown,
		  (void *)&cases[1] },
		{ "stop_backends", test_planned_stop, NULL, cluster_teardown,
		  (void *)&cases[2] },
		{ "stop_coordinators", test_planned_stop, NULL,
		  cluster_teardown, (void *)&cases[3] },
		cmocka_unit_test_teardown(test_agent_behind_a_slow_connection,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_term_twice, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
