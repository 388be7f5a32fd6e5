/*
 * A data centre is disabled and enabled again under load, also with one
 * of its agents cut off or frozen, or with the leader killed during the
 * change. No task may start there later than 3 s after the answer, no
 * request may be aborted, and tasks must start there again within 3 s
 * after it is enabled.
 */
#include "support/cluster.h"
#include "support/cutoff.h"
#include "support/observe.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define WAIT_MS 60000
#define WARMUP_STARTS 100
/* The data centre stays disabled until this many more tasks have started. */
#define STARTS_WHILE_DISABLED 560
#define EFFECT_MAX_US 3000000 /* specified limit for either change */
#define DISABLE_DC1                                                            \
	"{\"data_centre_set\":{\"name\":\"dc1\",\"in_service\":false}}"
#define ENABLE_DC1                                                             \
	"{\"data_centre_set\":{\"name\":\"dc1\",\"in_service\":true}}"

/* ---- Helpers ---- */

static const char *const load_args[] = { "--rate",   "40",      "--duration-s",
					 "12",       "--tasks", "4",
					 "--run-ms", "30",      "--seed",
					 "20261204", NULL };

/* The agents in dc1. */
static const char *const agents[] = { "a1", "a4" };

/* Jobs with so many tasks that tasks queue at the agents. */
static const char *const wide_args[] = { "--rate",   "3",       "--duration-s",
					 "14",       "--tasks", "30",
					 "--run-ms", "100",     "--seed",
					 "20261204", NULL };

struct world {
	struct cluster *c;
	struct cutoff *cutoff;
	struct proc *load;
};

static bool has_started(struct cluster *c, void *arg)
{
	return observe_task_starts(c) >= *(int64_t *)arg;
}

static void wait_for_starts(struct world *w, int64_t more)
{
	int64_t until = observe_task_starts(w->c) + more;

	if (!cluster_wait(w->c, has_started, &until, WAIT_MS))
		fail_msg("no progress after %d task starts",
			 (int)observe_task_starts(w->c));
}

static void start(struct world *w, bool wide)
{
	static const char *const placer[] = { "--placer", "round-robin", NULL };
	const struct cluster_options options = {
		.coordinators = 3,
		.dispatchers = 2,
		.agents = 6,
		.slots = wide ? 2 : 8,
		.dispatcher_args = wide ? placer : NULL,
	};

	w->c = cluster_create(&options);
	w->cutoff = cutoff_create(w->c);
	cluster_start(w->c);
	w->load = cluster_load(w->c, wide ? wide_args : load_args);
	wait_for_starts(w, WARMUP_STARTS);
}

static uint64_t change(struct world *w, const char *text)
{
	char id[OBSERVE_ID_SIZE];
	uint64_t revision = 0;

	observe_make_id(id);
	assert_int_equal(observe_command_anywhere(w->c, id, 0, text, &revision),
			 200);
	return revision;
}

/* Counts task starts in dc1 after a time; stores the times of the first
 * and the last one. */
static int starts_in_dc1(struct cluster *c, int64_t after_us, int64_t *first_us,
			 int64_t *last_us)
{
	int i, n = 0;

	*first_us = INT64_MAX;
	*last_us = after_us;
	for (i = 0; i < 2; i++) {
		int64_t first = INT64_MAX, last = after_us;

		n += observe_count(c, agents[i], "start", after_us, &first,
				   &last);
		*first_us = MIN(*first_us, first);
		*last_us = MAX(*last_us, last);
	}
	return n;
}

static void check_disabled(struct world *w, int64_t answered_us,
			   const char *what)
{
	int64_t first_us, last_us;
	int n = starts_in_dc1(w->c, answered_us, &first_us, &last_us);

	fprintf(stderr, "count: %s: starts after the answer=%d last_ms=%d\n",
		what, n, (int)((last_us - answered_us) / 1000));
	assert_true(last_us - answered_us < EFFECT_MAX_US);
}

static void check_load(struct world *w, bool all_complete)
{
	struct cf_trace_summary summary;
	struct proc *load = w->load;
	int64_t jobs;

	proc_wait(load, WAIT_MS);
	jobs = cluster_load_field(load, "jobs");
	fprintf(stderr,
		"count: jobs=%d complete=%d not_run=%d may_have_run=%d "
		"lost=%d partial=%d crossed=%d\n",
		(int)jobs, (int)cluster_load_field(load, "complete"),
		(int)cluster_load_field(load, "not_run"),
		(int)cluster_load_field(load, "may_have_run"),
		(int)cluster_load_field(load, "lost"),
		(int)cluster_load_field(load, "partial"),
		(int)cluster_load_field(load, "crossed"));
	assert_true(jobs > 30);
	assert_int_equal(cluster_load_field(load, "lost"), 0);
	assert_int_equal(cluster_load_field(load, "partial"), 0);
	assert_int_equal(cluster_load_field(load, "crossed"), 0);
	if (all_complete)
		assert_int_equal(cluster_load_field(load, "complete"), jobs);
	cutoff_destroy(w->cutoff);
	assert_int_equal(cluster_check(w->c, &summary), 0);
	assert_int_equal(summary.double_starts, 0);
	cluster_destroy(w->c);
}

/* ---- Disable and enable ---- */

static bool starts_again(struct cluster *c, void *arg)
{
	int64_t first_us, last_us;

	return starts_in_dc1(c, *(int64_t *)arg, &first_us, &last_us) > 0;
}

static void check_enabled(struct world *w)
{
	int64_t answered_us, first_us, last_us;

	change(w, ENABLE_DC1);
	answered_us = clock_now_us();
	assert_true(cluster_wait(w->c, starts_again, &answered_us, WAIT_MS));
	starts_in_dc1(w->c, answered_us, &first_us, &last_us);
	fprintf(stderr, "count: in again: first start after %d ms\n",
		(int)((first_us - answered_us) / 1000));
	assert_true(first_us - answered_us < EFFECT_MAX_US);
}

static void test_disable_enable(void **state)
{
	int64_t answered_us;
	struct world w;

	(void)state;
	start(&w, false);
	change(&w, DISABLE_DC1);
	answered_us = clock_now_us();
	wait_for_starts(&w, STARTS_WHILE_DISABLED);
	check_disabled(&w, answered_us, "out");
	check_enabled(&w);
	/* A planned change must not abort any job. */
	check_load(&w, true);
}

/* ---- The leader is killed during the change ---- */

struct operator
{
	struct world *w;
	char id[OBSERVE_ID_SIZE];
	int64_t answered_us;
	uint32_t status;
};

static gpointer run_operator(gpointer data)
{
	struct operator* o = data;

	o->status =
		observe_command_anywhere(o->w->c, o->id, 0, DISABLE_DC1, NULL);
	o->answered_us = clock_now_us();
	return NULL;
}

static void test_leader_killed(void **state)
{
	struct operator o = { 0 };
	struct world w;
	struct proc *leader;
	GThread *thread;

	(void)state;
	start(&w, false);
	o.w = &w;
	observe_make_id(o.id);
	leader = cluster_proc(w.c, observe_wait_leader(w.c, WAIT_MS));
	observe_command(w.c, leader->name, o.id, 0, DISABLE_DC1, NULL, 2);
	proc_kill(leader);
	thread = g_thread_new("operator", run_operator, &o);
	g_thread_join(thread);
	assert_int_equal(o.status, 200);
	wait_for_starts(&w, STARTS_WHILE_DISABLED);
	check_disabled(&w, o.answered_us, "leader killed");
	proc_start(w.c, leader);
	check_enabled(&w);
	check_load(&w, true);
}

/* ---- An agent that does not get the change ---- */

static bool is_off_roster(struct cluster *c, void *name)
{
	return !observe_on_roster(c, name);
}

static void test_cut_off(void **state)
{
	int64_t answered_us;
	struct world w;

	(void)state;
	start(&w, false);
	cutoff_caller(w.cutoff, "a1", NULL, true);
	change(&w, DISABLE_DC1);
	answered_us = clock_now_us();
	wait_for_starts(&w, STARTS_WHILE_DISABLED);
	check_disabled(&w, answered_us, "agent cut off");
	/* Once its lease has expired, the agent may start tasks again only
	 * after it has applied the current revision. */
	assert_true(cluster_wait(w.c, is_off_roster, (void *)"a1", WAIT_MS));
	cutoff_caller(w.cutoff, "a1", NULL, false);
	check_enabled(&w);
	check_load(&w, false);
}

static int queued(struct cluster *c, const char *name)
{
	return observe_count(c, name, "offer", 0, NULL, NULL) -
	       observe_count(c, name, "start", 0, NULL, NULL) -
	       observe_count(c, name, "fence", 0, NULL, NULL);
}

/* Freezes the agent at a moment when tasks are queued there. */
static bool freeze_with_queue(struct cluster *c, void *name)
{
	struct proc *p = cluster_proc(c, name);

	if (cluster_metric(c, name, "chervilferry_agent_tasks_queued") < 2)
		return false;
	proc_freeze(p);
	if (queued(c, name) > 0)
		return true;
	proc_thaw(p);
	return false;
}

static void test_frozen(void **state)
{
	int64_t thawed_us, answered_us;
	int ran, started, waiting;
	struct world w;

	(void)state;
	start(&w, true);
	assert_true(
		cluster_wait(w.c, freeze_with_queue, (void *)"a1", WAIT_MS));
	waiting = queued(w.c, "a1");
	change(&w, DISABLE_DC1);
	answered_us = clock_now_us();
	assert_true(cluster_wait(w.c, is_off_roster, (void *)"a1", WAIT_MS));
	wait_for_starts(&w, WARMUP_STARTS);
	thawed_us = clock_now_us();
	proc_thaw(cluster_proc(w.c, "a1"));
	cluster_wait_ready(w.c, "a1", WAIT_MS);
	wait_for_starts(&w, WARMUP_STARTS);
	started = observe_count(w.c, "a1", "start", thawed_us, NULL, NULL);
	ran = observe_count(w.c, "b1", "run", thawed_us, NULL, NULL);
	/* Queued tasks are fenced by the agent or by a dispatcher's query. */
	fprintf(stderr,
		"count: frozen: queued=%d fenced=%d queried=%d started=%d "
		"ran=%d\n",
		waiting,
		observe_count(w.c, "a1", "fence", thawed_us, NULL, NULL),
		observe_count(w.c, "a1", "query", thawed_us, NULL, NULL),
		started, ran);
	assert_int_equal(started, 0);
	assert_int_equal(ran, 0);
	check_disabled(&w, answered_us, "agent frozen");
	check_enabled(&w);
	check_load(&w, false);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_disable_enable,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_leader_killed, cluster_teardown),
		cmocka_unit_test_teardown(test_cut_off, cluster_teardown),
		cmocka_unit_test_teardown(test_frozen, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
