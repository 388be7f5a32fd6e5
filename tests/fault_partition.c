/*
 * Network partitions that drop all messages of one coordinator without
 * closing connections, in one or both directions, for a follower and for
 * the leader, under load. Jobs must continue, a returning follower must
 * not disturb the group, and a cut-off leader must not grant leases.
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
/* The partition lasts until this many more tasks have started. */
#define STARTS_CUT_OFF 600
#define STARTS_AFTER 150

/* ---- Helpers ---- */

static const char *const load_args[] = { "--rate",   "40",      "--duration-s",
					 "11",       "--tasks", "4",
					 "--run-ms", "20",      "--seed",
					 "20261204", NULL };

struct world {
	struct cluster *c;
	struct cutoff *cutoff;
	struct proc *load;
	char leader[16], follower[16], other[16]; /* at the start */
	int64_t term, leader_id;
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

static void start(struct world *w)
{
	static const struct cluster_options options = { .coordinators = 3,
							.dispatchers = 2,
							.agents = 3 };
	int i;

	w->c = cluster_create(&options);
	w->cutoff = cutoff_create(w->c);
	cluster_start(w->c);
	g_strlcpy(w->leader, observe_wait_leader(w->c, WAIT_MS),
		  sizeof(w->leader));
	w->term = observe_status(w->c, w->leader, "term");
	w->leader_id = observe_status(w->c, w->leader, "id");
	/* The two coordinators after the leader. */
	i = (int)(cluster_proc(w->c, w->leader) - w->c->procs);
	g_strlcpy(w->follower, w->c->procs[(i + 1) % 3].name,
		  sizeof(w->follower));
	g_strlcpy(w->other, w->c->procs[(i + 2) % 3].name, sizeof(w->other));
	w->load = cluster_load(w->c, load_args);
	wait_for_starts(w, WARMUP_STARTS);
}

/* Every request got an answer, and none got a wrong one. */
static void finish(struct world *w)
{
	struct cf_trace_summary summary;
	struct proc *load = w->load;

	proc_wait(load, WAIT_MS);
	fprintf(stderr,
		"count: jobs=%d complete=%d not_run=%d may_have_run=%d "
		"lost=%d partial=%d crossed=%d\n",
		(int)cluster_load_field(load, "jobs"),
		(int)cluster_load_field(load, "complete"),
		(int)cluster_load_field(load, "not_run"),
		(int)cluster_load_field(load, "may_have_run"),
		(int)cluster_load_field(load, "lost"),
		(int)cluster_load_field(load, "partial"),
		(int)cluster_load_field(load, "crossed"));
	assert_true(cluster_load_field(load, "jobs") > 400);
	assert_int_equal(cluster_load_field(load, "lost"), 0);
	assert_int_equal(cluster_load_field(load, "partial"), 0);
	assert_int_equal(cluster_load_field(load, "crossed"), 0);
	/* No fault was injected into a process that runs tasks. */
	assert_int_equal(cluster_load_field(load, "may_have_run"), 0);
	cutoff_destroy(w->cutoff);
	assert_int_equal(cluster_check(w->c, &summary), 0);
	assert_int_equal(summary.double_starts, 0);
	cluster_destroy(w->c);
}

static bool follows(struct cluster *c, void *name)
{
	return observe_status(c, name, "leader") > 0 && cluster_ready(c, name);
}

static bool knows_no_leader(struct cluster *c, void *name)
{
	return observe_status(c, name, "leader") == 0;
}

/* ---- A follower ---- */

struct cut {
	bool block_incoming, block_outgoing, frozen;
};

static void check_undisturbed(struct world *w, const char *when)
{
	int64_t term = observe_status(w->c, w->leader, "term");

	fprintf(stderr, "count: %s term=%d, was %d\n", when, (int)term,
		(int)w->term);
	assert_string_equal(observe_wait_leader(w->c, WAIT_MS), w->leader);
	assert_int_equal(term, w->term);
}

static void test_follower(void **state)
{
	const struct cut *cut = *state;
	struct world w;
	struct proc *p;

	start(&w);
	p = cluster_proc(w.c, w.follower);
	if (cut->frozen)
		proc_freeze(p);
	else
		cutoff_peer(w.cutoff, w.follower, cut->block_incoming,
			    cut->block_outgoing);
	if (cut->block_incoming)
		assert_true(cluster_wait(w.c, knows_no_leader, w.follower,
					 WAIT_MS));
	wait_for_starts(&w, STARTS_CUT_OFF);
	/* By now it would have campaigned many times; its term must not have
	 * changed. */
	if (!cut->frozen)
		assert_int_equal(observe_status(w.c, w.follower, "term"),
				 w.term);
	assert_int_equal(observe_status(w.c, w.leader, "term"), w.term);
	proc_thaw(p);
	cutoff_peer(w.cutoff, w.follower, false, false);
	assert_true(cluster_wait(w.c, follows, w.follower, WAIT_MS));
	check_undisturbed(&w, "after its return");
	wait_for_starts(&w, STARTS_AFTER);
	check_undisturbed(&w, "later");
	finish(&w);
}

/* ---- The leader ---- */

static bool other_leads(struct cluster *c, void *arg)
{
	struct world *w = arg;
	int64_t id = observe_status(c, w->follower, "leader");

	return id > 0 && id == observe_status(c, w->other, "leader") &&
	       id != w->leader_id;
}

static bool has_settled(struct cluster *c, void *arg)
{
	struct world *w = arg;

	return observe_status(c, w->follower, "roster_settled") > 0 ||
	       observe_status(c, w->other, "roster_settled") > 0;
}

static void test_leader(void **state)
{
	const struct cut *cut = *state;
	int64_t cut_ms, granted;
	struct world w;

	start(&w);
	cut_ms = clock_now_ms();
	if (cut->frozen)
		proc_freeze(cluster_proc(w.c, w.leader));
	else
		cutoff_peer(w.cutoff, w.leader, cut->block_incoming,
			    cut->block_outgoing);
	assert_true(cluster_wait(w.c, other_leads, &w, WAIT_MS));
	fprintf(stderr, "count: another leads after %d ms\n",
		(int)(clock_now_ms() - cut_ms));
	/* All leases of the old leader have expired then. */
	assert_true(cluster_wait(w.c, has_settled, &w, WAIT_MS));
	proc_thaw(cluster_proc(w.c, w.leader));
	granted = cluster_metric(w.c, w.leader,
				 "chervilferry_lease_granted_total");
	assert_true(granted > 0);
	assert_true(observe_set_target(w.c, "meanwhile", 5) > 0);
	wait_for_starts(&w, STARTS_CUT_OFF / 2);
	assert_int_equal(cluster_metric(w.c, w.leader,
					"chervilferry_lease_granted_total"),
			 granted);
	cutoff_peer(w.cutoff, w.leader, false, false);
	assert_true(cluster_wait(w.c, follows, w.leader, WAIT_MS));
	assert_int_equal(observe_target(w.c, "meanwhile"), 5);
	finish(&w);
}

int main(void)
{
	static struct cut both = { .block_incoming = true,
				   .block_outgoing = true };
	static struct cut block_incoming = { .block_incoming = true };
	static struct cut block_outgoing = { .block_outgoing = true };
	static struct cut frozen = { .frozen = true };
#define CASE(name, function, cut)                                              \
	{                                                                      \
		name, function, NULL, cluster_teardown, &(cut)                 \
	}
	const struct CMUnitTest tests[] = {
		CASE("follower_silent", test_follower, both),
		CASE("follower_deaf", test_follower, block_incoming),
		CASE("follower_mute", test_follower, block_outgoing),
		CASE("follower_frozen", test_follower, frozen),
		CASE("leader_silent", test_leader, both),
		CASE("leader_deaf", test_leader, block_incoming),
		CASE("leader_mute", test_leader, block_outgoing),
		CASE("leader_frozen", test_leader, frozen),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
