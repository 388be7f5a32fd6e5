/*
 * A data centre taken out of service and brought back under load, also
 * with an agent of it cut off or frozen, or the leader killed in the
 * middle of the change: no start there from 3 s after the answer, no
 * request cut off, and starts again within 3 s of its return.
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
#define MIDDLE_STARTS 100
#define STARTS_OUT 560 /* how long it is out, told by the work done */
#define GRACE_US 3000000 /* the promise */
#define OUT "{\"data_centre_set\":{\"name\":\"dc1\",\"in_service\":false}}"
#define IN "{\"data_centre_set\":{\"name\":\"dc1\",\"in_service\":true}}"

/* ---- Helpers ---- */

static const char *const load_args[] = { "--rate",   "40",      "--duration-s",
					 "12",       "--tasks", "4",
					 "--run-ms", "30",      "--seed",
					 "20261204", NULL };

/* a1 and a4 stand in dc1. */
static const char *const agents[] = { "a1", "a4" };

/* Jobs so wide that tasks queue at agents. */
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
	return observe_starts(c) >= *(int64_t *)arg;
}

static void wait_starts(struct world *w, int64_t more)
{
	int64_t until = observe_starts(w->c) + more;

	if (!cluster_wait(w->c, has_started, &until, WAIT_MS))
		fail_msg("work stands still at %d starts",
			 (int)observe_starts(w->c));
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
	wait_starts(w, MIDDLE_STARTS);
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

/* Starts in dc1 after a time; its last one or its first one. */
static int starts_there(struct cluster *c, int64_t after_us, int64_t *first_us,
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

static void check_out(struct world *w, int64_t answered_us, const char *what)
{
	int64_t first_us, last_us;
	int n = starts_there(w->c, answered_us, &first_us, &last_us);

	fprintf(stderr, "count: %s: starts after the answer=%d last_ms=%d\n",
		what, n, (int)((last_us - answered_us) / 1000));
	assert_true(last_us - answered_us < GRACE_US);
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

/* ---- Out and in ---- */

static bool starts_again(struct cluster *c, void *arg)
{
	int64_t first_us, last_us;

	return starts_there(c, *(int64_t *)arg, &first_us, &last_us) > 0;
}

static void check_in(struct world *w)
{
	int64_t answered_us, first_us, last_us;

	change(w, IN);
	answered_us = clock_now_us();
	assert_true(cluster_wait(w->c, starts_again, &answered_us, WAIT_MS));
	starts_there(w->c, answered_us, &first_us, &last_us);
	fprintf(stderr, "count: in again: first start after %d ms\n",
		(int)((first_us - answered_us) / 1000));
	assert_true(first_us - answered_us < GRACE_US);
}

static void test_out_in(void **state)
{
	int64_t answered_us;
	struct world w;

	(void)state;
	start(&w, false);
	change(&w, OUT);
	answered_us = clock_now_us();
	wait_starts(&w, STARTS_OUT);
	check_out(&w, answered_us, "out");
	check_in(&w);
	/* A planned change cuts nothing off. */
	check_load(&w, true);
}

/* ---- The leader killed in the middle ---- */

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

	o->status = observe_command_anywhere(o->w->c, o->id, 0, OUT, NULL);
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
	observe_command(w.c, leader->name, o.id, 0, OUT, NULL, 2);
	proc_kill(leader);
	thread = g_thread_new("operator", run_operator, &o);
	g_thread_join(thread);
	assert_int_equal(o.status, 200);
	wait_starts(&w, STARTS_OUT);
	check_out(&w, o.answered_us, "leader killed");
	proc_start(w.c, leader);
	check_in(&w);
	check_load(&w, true);
}

/* ---- An agent that is not told ---- */

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
	change(&w, OUT);
	answered_us = clock_now_us();
	wait_starts(&w, STARTS_OUT);
	check_out(&w, answered_us, "agent cut off");
	/* Only its revision tells an agent that it may start again. */
	assert_true(cluster_wait(w.c, is_off_roster, (void *)"a1", WAIT_MS));
	cutoff_caller(w.cutoff, "a1", NULL, false);
	check_in(&w);
	check_load(&w, false);
}

static int queued(struct cluster *c, const char *name)
{
	return observe_count(c, name, "offer", 0, NULL, NULL) -
	       observe_count(c, name, "start", 0, NULL, NULL) -
	       observe_count(c, name, "fence", 0, NULL, NULL);
}

/* Stands still with tasks in its queue from here on. */
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
	change(&w, OUT);
	answered_us = clock_now_us();
	assert_true(cluster_wait(w.c, is_off_roster, (void *)"a1", WAIT_MS));
	wait_starts(&w, MIDDLE_STARTS);
	thawed_us = clock_now_us();
	proc_thaw(cluster_proc(w.c, "a1"));
	cluster_wait_ready(w.c, "a1", WAIT_MS);
	wait_starts(&w, MIDDLE_STARTS);
	started = observe_count(w.c, "a1", "start", thawed_us, NULL, NULL);
	ran = observe_count(w.c, "b1", "run", thawed_us, NULL, NULL);
	/* Fenced by itself, or by a dispatcher's query. */
	fprintf(stderr,
		"count: frozen: queued=%d fenced=%d queried=%d started=%d "
		"ran=%d\n",
		waiting,
		observe_count(w.c, "a1", "fence", thawed_us, NULL, NULL),
		observe_count(w.c, "a1", "query", thawed_us, NULL, NULL),
		started, ran);
	assert_int_equal(started, 0);
	assert_int_equal(ran, 0);
	check_out(&w, answered_us, "agent frozen");
	check_in(&w);
	check_load(&w, false);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_out_in, cluster_teardown),
		cmocka_unit_test_teardown(test_leader_killed, cluster_teardown),
		cmocka_unit_test_teardown(test_cut_off, cluster_teardown),
		cmocka_unit_test_teardown(test_frozen, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
