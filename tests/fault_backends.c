/*
 * Backend servers and agents that crash, freeze or misbehave. Callers get a
 * correct answer soon, tasks that provably did not start are placed
 * elsewhere, and a process that comes back gets work again.
 */
#include "support/cluster.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define WAIT_MS 20000
#define LOAD_WAIT_MS 60000
#define HTTP_WAIT_MS 20000
#define STARTS_BEFORE_KILL 60
#define AGENTS 3
/* A frozen process is detected after the lease (2 s) and one period of the
 * leader's timer. */
#define FROZEN_ANSWER_MS 6000
/* The port of a killed process refuses connections at once. */
#define KILLED_ANSWER_MS 1500
#define REFUSED_ANSWER_MS 1500

/* ---- Helpers ---- */

static struct cluster *start(int agents, const char *const *backend_args)
{
	struct cluster_options options = { .coordinators = 3,
					   .dispatchers = 2,
					   .agents = agents,
					   .backend_args = backend_args };
	struct cluster *c = cluster_create(&options);

	cluster_start(c);
	return c;
}

/* A caller that sends one job from its own thread. */
struct caller {
	struct cluster *c;
	const char *dispatcher;
	char key[CF_KEY_TEXT_SIZE];
	char *body, *answer;
	uint32_t status;
	int64_t ended_ms;
	GThread *thread;
};

static gpointer run_caller(gpointer data)
{
	struct caller *caller = data;

	caller->status = cluster_http(
		cluster_address(caller->c, caller->dispatcher, "http"), "POST",
		"/v1/jobs", caller->key, caller->body, &caller->answer,
		HTTP_WAIT_MS);
	caller->ended_ms = clock_now_ms();
	return NULL;
}

static void call(struct caller *caller, struct cluster *c,
		 const char *dispatcher, int tasks, int run_ms, int deadline_ms)
{
	struct cf_key key;

	memset(caller, 0, sizeof(*caller));
	caller->c = c;
	caller->dispatcher = dispatcher;
	caller->body = cluster_job_body("default", tasks, run_ms, deadline_ms);
	cluster_key(&key, caller->key);
	caller->thread = g_thread_new("caller", run_caller, caller);
}

static void finish_call(struct caller *caller)
{
	g_thread_join(caller->thread);
	assert_non_null(caller->answer);
}

static void free_call(struct caller *caller)
{
	g_free(caller->body);
	g_free(caller->answer);
}

static int64_t tasks_started(struct cluster *c, const char *agent)
{
	return cluster_metric(c, agent,
			      "chervilferry_agent_tasks_started_total");
}

static bool starts_reached(struct cluster *c, void *arg)
{
	int64_t sum = 0;
	char name[16];
	int i;

	for (i = 1; i <= c->n_agents; i++) {
		snprintf(name, sizeof(name), "a%d", i);
		if (cluster_proc(c, name)->pid)
			sum += tasks_started(c, name);
	}
	return sum >= *(int *)arg;
}

static bool agents_usable(struct cluster *c, void *arg)
{
	(void)arg;
	return cluster_metric(c, "d1", "chervilferry_agents_usable") ==
		       c->n_agents &&
	       cluster_metric(c, "d2", "chervilferry_agents_usable") ==
		       c->n_agents;
}

static void expect_complete(struct cluster *c, const char *dispatcher,
			    int tasks)
{
	struct caller caller;

	call(&caller, c, dispatcher, tasks, 10, 10000);
	finish_call(&caller);
	if (caller.status != 200)
		fail_msg("%u: %s", caller.status, caller.answer);
	free_call(&caller);
}

static void check_trace_and_destroy(struct cluster *c)
{
	struct cf_trace_summary summary;

	assert_int_equal(cluster_check(c, &summary), 0);
	assert_int_equal(summary.double_starts, 0);
	cluster_destroy(c);
}

/* ---- Killed and restarted ---- */

/* Only jobs with a task that ran on the killed server may fail. */
static void test_backend_killed_under_load(void **state)
{
	static const char *const args[] = {
		"--rate",   "40", "--duration-s", "6", "--tasks", "4",
		"--run-ms", "20", "--seed",       "7", NULL
	};
	int min_starts = STARTS_BEFORE_KILL;
	struct cluster *c = start(AGENTS, NULL);
	struct proc *load = cluster_load(c, args);
	struct proc *backend = cluster_proc(c, "b1");
	int64_t jobs, complete, unknown, unstarted;

	(void)state;
	assert_true(cluster_wait(c, starts_reached, &min_starts, WAIT_MS));
	proc_kill(backend);
	assert_int_equal(proc_wait(load, LOAD_WAIT_MS), 0);
	jobs = cluster_load_field(load, "jobs");
	complete = cluster_load_field(load, "complete");
	unknown = cluster_load_field(load, "may_have_run");
	unstarted = cluster_metric(c, "a1",
				   "chervilferry_agent_tasks_unstarted_total");
	fprintf(stderr, "count: jobs=%d complete=%d unknown=%d unstarted=%d\n",
		(int)jobs, (int)complete, (int)unknown, (int)unstarted);
	assert_int_equal(complete + unknown, jobs);
	/* At most as many tasks ran there as the server has slots. */
	assert_true(unknown <= 8);
	proc_start(c, backend);
	assert_true(cluster_wait(c, agents_usable, NULL, WAIT_MS));
	check_trace_and_destroy(c);
}

/* After it has reported that it accepts no work, the agent reports without
 * a request that it accepts work again. */
static void test_restarted_backend_gets_work(void **state)
{
	struct cluster *c = start(1, NULL);
	struct proc *backend = cluster_proc(c, "b1");
	struct caller caller;

	(void)state;
	proc_kill(backend);
	call(&caller, c, "d1", 1, 10, 1000);
	finish_call(&caller);
	assert_int_not_equal(caller.status, 200);
	assert_non_null(strstr(caller.answer, "\"ran\":\"none\""));
	free_call(&caller);
	proc_start(c, backend);
	assert_true(cluster_wait(c, agents_usable, NULL, WAIT_MS));
	expect_complete(c, "d1", 4);
	check_trace_and_destroy(c);
}

static void test_agent_killed(void **state)
{
	int all = 8;
	struct cluster *c = start(1, NULL);
	struct proc *agent = cluster_proc(c, "a1");
	struct caller caller;
	int64_t killed_ms;

	(void)state;
	call(&caller, c, "d1", 8, 3000, 15000);
	assert_true(cluster_wait(c, starts_reached, &all, WAIT_MS));
	killed_ms = clock_now_ms();
	proc_kill(agent);
	finish_call(&caller);
	fprintf(stderr, "count: killed agent's job answered after %d ms: %u\n",
		(int)(caller.ended_ms - killed_ms), caller.status);
	assert_non_null(strstr(caller.answer, "\"ran\":\"unknown\""));
	assert_true(caller.ended_ms - killed_ms < KILLED_ANSWER_MS);
	free_call(&caller);
	proc_start(c, agent);
	assert_true(cluster_wait(c, agents_usable, NULL, WAIT_MS));
	expect_complete(c, "d1", 4);
	check_trace_and_destroy(c);
}

static void test_agent_frozen(void **state)
{
	int all = 4;
	struct cluster *c = start(1, NULL);
	struct proc *agent = cluster_proc(c, "a1");
	struct caller caller;
	int64_t frozen_ms;

	(void)state;
	call(&caller, c, "d1", 4, 8000, 18000);
	assert_true(cluster_wait(c, starts_reached, &all, WAIT_MS));
	frozen_ms = clock_now_ms();
	proc_freeze(agent);
	finish_call(&caller);
	proc_thaw(agent);
	fprintf(stderr, "count: frozen agent's job answered after %d ms: %u\n",
		(int)(caller.ended_ms - frozen_ms), caller.status);
	assert_non_null(strstr(caller.answer, "\"ran\":\"unknown\""));
	assert_true(caller.ended_ms - frozen_ms < FROZEN_ANSWER_MS);
	free_call(&caller);
	assert_true(cluster_wait(c, agents_usable, NULL, WAIT_MS));
	expect_complete(c, "d1", 4);
	check_trace_and_destroy(c);
}

/* ---- Behaviours ---- */

struct behaviour_case {
	const char *name;
	int run_ms, deadline_ms;
	uint32_t status;
	const char *text; /* expected in the answer */
};

static void check_behaviour(struct cluster *c, const struct behaviour_case *b)
{
	struct caller caller;
	int64_t begin_ms = clock_now_ms();

	call(&caller, c, "d1", 3, b->run_ms, b->deadline_ms);
	finish_call(&caller);
	fprintf(stderr, "count: %s: %u after %d ms\n", b->name, caller.status,
		(int)(caller.ended_ms - begin_ms));
	if (caller.status != b->status || !strstr(caller.answer, b->text))
		fail_msg("%s: %u %s", b->name, caller.status, caller.answer);
	/* The answer comes by REFUSED_ANSWER_MS after the deadline. */
	assert_true(caller.ended_ms - begin_ms <
		    b->deadline_ms + REFUSED_ANSWER_MS);
	free_call(&caller);
}

static void test_behaviours(void **state)
{
	static const struct behaviour_case cases[] = {
		{ "echo", 10, 5000, 200, "\"complete\"" },
		{ "fail", 10, 5000, 502, "\"ran\":\"unknown\"" },
		{ "slow", 100, 5000, 200, "\"complete\"" },
		{ "garbage", 10, 5000, 502, "no result" },
		{ "never", 10, 1500, 504, "\"ran\":\"unknown\"" },
		{ "crossed", 10, 5000, 502, "\"ran\":\"unknown\"" },
		{ "late", 10, 1500, 504, "\"ran\":\"unknown\"" },
	};
	struct cluster *c = start(1, NULL);
	struct proc *backend = cluster_proc(c, "b1");
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		proc_kill(backend);
		proc_set(backend, "--behaviour", cases[i].name);
		proc_start(c, backend);
		/* Then its old connections are closed and the agent has its
		 * announcement. */
		assert_true(cluster_wait(c, agents_usable, NULL, WAIT_MS));
		check_behaviour(c, &cases[i]);
	}
	check_trace_and_destroy(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_backend_killed_under_load,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_restarted_backend_gets_work,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_agent_killed, cluster_teardown),
		cmocka_unit_test_teardown(test_agent_frozen, cluster_teardown),
		cmocka_unit_test_teardown(test_behaviours, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
