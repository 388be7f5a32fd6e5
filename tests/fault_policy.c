/*
 * Policy with real processes: slots used by other dispatchers, errors that
 * count against the error budget, failing backend servers, and a data centre
 * that is disabled and enabled again.
 */
#include "support/cluster.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

/* ---- Constants ---- */

#define WAIT_MS 20000
#define LONG_RUN_MS 8000

/* ---- Helpers ---- */

static struct cluster *create(int agents)
{
	const struct cluster_options options = { .coordinators = 3,
						 .dispatchers = 2,
						 .agents = agents };

	return cluster_create(&options);
}

/* A request that waits for its answer on a separate thread. */
struct pending {
	const char *address;
	char key[CF_KEY_TEXT_SIZE];
	char *body;
	uint32_t status;
	GThread *thread;
};

static gpointer send_pending(gpointer arg)
{
	struct pending *p = arg;
	char *answer = NULL;

	p->status = cluster_http(p->address, "POST", "/v1/jobs", p->key,
				 p->body, &answer, WAIT_MS);
	g_free(answer);
	return NULL;
}

static void submit_async(struct cluster *c, struct pending *p,
			 const char *dispatcher, int tasks)
{
	struct cf_key key;

	cluster_key(&key, p->key);
	p->address = cluster_address(c, dispatcher, "http");
	p->body = cluster_job_body("default", tasks, LONG_RUN_MS, WAIT_MS);
	p->thread = g_thread_new("pending", send_pending, p);
}

static void cancel_and_join(struct pending *p)
{
	char *path = g_strdup_printf("/v1/jobs/%s", p->key);
	char *answer = NULL;

	cluster_http(p->address, "DELETE", path, NULL, NULL, &answer, WAIT_MS);
	g_thread_join(p->thread);
	g_free(answer);
	g_free(path);
	g_free(p->body);
}

static uint32_t submit(struct cluster *c, const char *dispatcher,
		       const char *body)
{
	struct cf_key key;
	char text[CF_KEY_TEXT_SIZE], *answer = NULL;
	uint32_t status;

	cluster_key(&key, text);
	status = cluster_http(cluster_address(c, dispatcher, "http"), "POST",
			      "/v1/jobs", text, body, &answer, WAIT_MS);
	g_free(answer);
	return status;
}

static void check(struct cluster *c)
{
	struct cf_trace_summary summary;

	assert_int_equal(cluster_check(c, &summary), 0);
	assert_true(summary.starts > 0);
	assert_int_equal(summary.double_starts, 0);
}

static int64_t running(struct cluster *c)
{
	return cluster_metric(c, "a1", "chervilferry_agent_tasks_running");
}

static bool runs_four(struct cluster *c, void *arg)
{
	(void)arg;
	return running(c) == 4;
}

/* ---- Capacity ---- */

static bool has_slots(struct cluster *c, void *arg)
{
	char *body = cluster_job_body("default", 1, 1, WAIT_MS);
	int64_t slots;

	/* The agent's results carry its newest load. */
	submit(c, "d2", body);
	g_free(body);
	slots = cluster_metric(c, "d2", "chervilferry_slots_usable");
	return slots == *(int64_t *)arg;
}

static void test_slots_of_other_dispatchers(void **state)
{
	struct cluster *c = create(1);
	struct pending p = { 0 };
	int64_t all = 8, rest = 4;

	(void)state;
	cluster_start(c);
	assert_true(cluster_wait(c, has_slots, &all, WAIT_MS));
	submit_async(c, &p, "d1", 4);
	assert_true(cluster_wait(c, runs_four, NULL, WAIT_MS));
	assert_true(cluster_wait(c, has_slots, &rest, WAIT_MS));
	cancel_and_join(&p);
	check(c);
	cluster_destroy(c);
}

/* ---- Error budget ---- */

static int64_t burn_total(struct cluster *c)
{
	char *answer = NULL;
	json_t *root, *class;
	int64_t total = -1;
	size_t i;

	assert_int_equal(cluster_http(cluster_address(c, "d1", "admin"), "GET",
				      "/v1/burn", NULL, NULL, &answer, WAIT_MS),
			 200);
	root = json_loads(answer, 0, NULL);
	json_array_foreach(json_object_get(root, "classes"), i, class)
	{
		if (!strcmp(json_string_value(json_object_get(class, "class")),
			    "default"))
			total = json_integer_value(
				json_object_get(class, "total"));
	}
	json_decref(root);
	g_free(answer);
	return total;
}

static void test_caller_errors_spend_no_budget(void **state)
{
	static const char never_fits[] =
		"{\"class\":\"default\",\"tasks\":[{\"payload\":{},"
		"\"accelerators\":5}]}";
	struct cluster *c = create(1);
	struct pending p = { 0 };
	char *body;

	(void)state;
	cluster_start(c);
	assert_int_equal(submit(c, "d1", never_fits), 400);
	submit_async(c, &p, "d1", 4);
	assert_true(cluster_wait(c, runs_four, NULL, WAIT_MS));
	cancel_and_join(&p);
	assert_int_equal(p.status, 409);
	assert_int_equal(burn_total(c), 0);
	body = cluster_job_body("default", 1, 1, WAIT_MS);
	assert_int_equal(submit(c, "d1", body), 200);
	assert_int_equal(burn_total(c), 1);
	g_free(body);
	check(c);
	cluster_destroy(c);
}

/* ---- Failing backend servers ---- */

static void test_black_hole(void **state)
{
	static const char *const args[] = {
		"--rate",   "40", "--duration-s", "8",        "--tasks", "2",
		"--run-ms", "40", "--seed",       "20261205", NULL
	};
	struct cluster *c = create(5);
	struct proc *load;
	int64_t jobs, failed;

	(void)state;
	proc_set(cluster_proc(c, "b2"), "--behaviour", "fail");
	cluster_start(c);
	load = cluster_load(c, args);
	proc_wait(load, 60000);
	jobs = cluster_load_field(load, "jobs");
	failed = cluster_load_field(load, "may_have_run");
	fprintf(stderr, "count: jobs=%d failed=%d\n", (int)jobs, (int)failed);
	assert_true(jobs > 200);
	/* Without ejection about a third of the jobs would fail. */
	assert_true(failed * 8 < jobs);
	check(c);
	cluster_destroy(c);
}

/* ---- Data centre disabled and enabled ---- */

static int64_t starts(struct cluster *c)
{
	return cluster_metric(c, "a1",
			      "chervilferry_agent_tasks_started_total");
}

static bool has_started(struct cluster *c, void *arg)
{
	return starts(c) > *(int64_t *)arg;
}

static bool runs_none(struct cluster *c, void *arg)
{
	(void)arg;
	return running(c) == 0;
}

static void test_data_centre_returns(void **state)
{
	static const char *const args[] = {
		"--rate",   "8",   "--duration-s", "12",       "--tasks", "2",
		"--run-ms", "900", "--seed",       "20261206", NULL
	};
	struct cluster *c = create(3);
	struct proc *load;
	int64_t before = 0;

	(void)state;
	/* Tasks end after the agent has learned that its data centre is
	 * disabled. Their results report that it accepts no work, which must
	 * not last after the data centre is enabled again. */
	cluster_start(c);
	load = cluster_load(c, args);
	before = 5;
	assert_true(cluster_wait(c, has_started, &before, WAIT_MS));
	assert_true(cluster_data_centre(c, "dc1", false));
	assert_true(cluster_wait(c, runs_none, NULL, WAIT_MS));
	before = starts(c);
	assert_true(cluster_data_centre(c, "dc1", true));
	assert_true(cluster_wait(c, has_started, &before, WAIT_MS));
	assert_int_equal(proc_wait(load, 60000), 0);
	fprintf(stderr, "count: jobs=%d complete=%d starts after enabling=%d\n",
		(int)cluster_load_field(load, "jobs"),
		(int)cluster_load_field(load, "complete"),
		(int)(starts(c) - before));
	assert_int_equal(cluster_load_field(load, "may_have_run"), 0);
	check(c);
	cluster_destroy(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_slots_of_other_dispatchers,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_caller_errors_spend_no_budget,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_black_hole, cluster_teardown),
		cmocka_unit_test_teardown(test_data_centre_returns,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
