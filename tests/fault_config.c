/*
 * Configuration changes under failure: operators that race or retry,
 * members that were down or lost their disk, and processes that restart
 * while they reach only a coordinator that is cut off. An accepted change
 * must take effect in every process and must never be reverted.
 */
#include "support/cluster.h"
#include "support/cutoff.h"
#include "support/observe.h"

#include "base/clock.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define WAIT_MS 30000
#define RACES 20
#define MISSED_CHANGES 300
#define MEASURED_CHANGES 20
#define APPLY_MAX_US 11000000 /* specified limit */
#define ELECTION_WAIT_MS 4000 /* longer than an election takes */

/* ---- Helpers ---- */

static struct cluster *start(const char *const *coordinator_args)
{
	const struct cluster_options options = {
		.coordinators = 3,
		.dispatchers = 2,
		.agents = 3,
		.coordinator_args = coordinator_args,
	};
	struct cluster *c = cluster_create(&options);

	cluster_start(c);
	return c;
}

static void check_end(struct cluster *c)
{
	int i, reverts = 0;

	for (i = 0; i < c->n_procs; i++)
		if (!strcmp(c->procs[i].role, "agent") ||
		    !strcmp(c->procs[i].role, "dispatcher"))
			reverts += observe_reverts(c, c->procs[i].name);
	fprintf(stderr, "count: reverts=%d\n", reverts);
	assert_int_equal(reverts, 0);
	assert_int_equal(cluster_check(c, NULL), 0);
	cluster_destroy(c);
}

static void format_target(char change[200], const char *name, int target_ms)
{
	snprintf(change, 200,
		 "{\"class_set\":{\"name\":\"%s\",\"target_ms\":%d,"
		 "\"percentile_milli\":95000}}",
		 name, target_ms);
}

/* ---- Racing operators ---- */

struct operator
{
	struct cluster *cluster;
	uint64_t base;
	int target_ms;
	uint32_t status;
	uint64_t revision;
};

static gpointer run_operator(gpointer data)
{
	struct operator* o = data;
	char id[OBSERVE_ID_SIZE], change[200];

	observe_make_id(id);
	format_target(change, "raced", o->target_ms);
	o->status = observe_command_anywhere(o->cluster, id, o->base, change,
					     &o->revision);
	return NULL;
}

static void test_race(void **state)
{
	struct cluster *c = start(NULL);
	uint64_t base = observe_set_target(c, "raced", 1);
	int i, k, done = 0, conflicts = 0;

	(void)state;
	for (i = 0; i < RACES; i++) {
		struct operator o[2] = { { c, base, 100 + i, 0, 0 },
					 { c, base, 200 + i, 0, 0 } };
		GThread *threads[2];

		for (k = 0; k < 2; k++)
			threads[k] =
				g_thread_new("operator", run_operator, &o[k]);
		for (k = 0; k < 2; k++)
			g_thread_join(threads[k]);
		for (k = 0; k < 2; k++) {
			done += o[k].status == 200;
			conflicts += o[k].status == 409;
			if (o[k].status != 200)
				continue;
			base = o[k].revision;
			assert_int_equal(observe_target(c, "raced"),
					 o[k].target_ms);
		}
	}
	fprintf(stderr, "count: races=%d done=%d conflicts=%d\n", RACES, done,
		conflicts);
	assert_int_equal(done, RACES);
	assert_int_equal(conflicts, RACES);
	check_end(c);
}

/* ---- Retries ---- */

static void test_resend(void **state)
{
	struct cluster *c = start(NULL);
	struct proc *killed;
	char id[OBSERVE_ID_SIZE], change[200];
	uint64_t first, again, later;

	(void)state;
	/* The answer is lost, then the leader fails. */
	observe_make_id(id);
	format_target(change, "resent", 111);
	killed = cluster_proc(c, observe_wait_leader(c, WAIT_MS));
	observe_command(c, killed->name, id, 0, change, NULL, 2);
	proc_kill(killed);
	assert_int_equal(observe_command_anywhere(c, id, 0, change, &first),
			 200);
	/* Another operator changes the target; the first one retries. */
	later = observe_set_target(c, "resent", 222);
	assert_true(later > first);
	assert_int_equal(observe_command_anywhere(c, id, 0, change, &again),
			 200);
	assert_int_equal(again, first);
	assert_int_equal(observe_target(c, "resent"), 222);
	/* Retries once more across a change of leader, with all members up. */
	proc_start(c, killed);
	cluster_wait_ready(c, killed->name, WAIT_MS);
	killed = cluster_proc(c, observe_wait_leader(c, WAIT_MS));
	proc_kill(killed);
	assert_int_equal(observe_command_anywhere(c, id, 0, change, &again),
			 200);
	assert_int_equal(again, first);
	assert_int_equal(observe_target(c, "resent"), 222);
	fprintf(stderr, "count: resends=3 same_answer=3 applied_twice=0\n");
	check_end(c);
}

/* ---- A member that was down ---- */

static bool has_revision(struct cluster *c, void *arg)
{
	const uint64_t *revision = arg;

	return observe_status(c, "c3", "revision") >= (int64_t)*revision;
}

static void test_catch_up_by_snapshot(void **state)
{
	static const char *const args[] = { "--snapshot-every", "50", NULL };
	struct cluster *c = start(args);
	uint64_t revision = 0;
	int64_t back_us;
	int i, taken;

	(void)state;
	proc_kill(cluster_proc(c, "c3"));
	for (i = 1; i <= MISSED_CHANGES; i++)
		revision = observe_set_target(c, "missed", i);
	back_us = clock_now_us();
	proc_start(c, cluster_proc(c, "c3"));
	assert_true(cluster_wait(c, has_revision, &revision, WAIT_MS));
	taken = observe_count(c, "c3", "config", back_us, NULL, NULL);
	fprintf(stderr, "count: missed=%d steps=%d caught_up_ms=%d\n",
		MISSED_CHANGES, taken,
		(int)((observe_applied_us(c, "c3", revision) - back_us) /
		      1000));
	/* It must catch up by a snapshot, not change by change. */
	assert_true(taken < MISSED_CHANGES / 2);
	/* From now on, the quorum needs it. */
	cluster_wait_ready(c, "c3", WAIT_MS);
	proc_kill(cluster_proc(c, "c1"));
	assert_int_equal(observe_target(c, "missed"), MISSED_CHANGES);
	assert_true(observe_set_target(c, "missed", 1000) > revision);
	check_end(c);
}

/* ---- Restarts that reach only a cut-off coordinator ---- */

static bool has_been_refused(struct cluster *c, void *name)
{
	return cluster_metric(c, name, "chervilferry_lease_not_leader_total") >=
	       5;
}

static void test_restart_cut_off(void **state)
{
	static const char *const restarted[] = { "a1", "d1" };
	const struct cluster_options options = { .coordinators = 3,
						 .dispatchers = 2,
						 .agents = 3 };
	struct cluster *c = cluster_create(&options);
	struct cutoff *cutoff = cutoff_create(c);
	char old[16];
	uint64_t revision;
	int i, k;

	(void)state;
	cluster_start(c);
	/* The leader is cut off from its group, but a1 and d1 reach only it. */
	g_strlcpy(old, observe_wait_leader(c, WAIT_MS), sizeof(old));
	cutoff_peer(cutoff, old, true, true);
	for (i = 0; i < 2; i++)
		for (k = 0; k < c->n_coordinators; k++)
			if (strcmp(c->procs[k].name, old) != 0)
				cutoff_caller(cutoff, restarted[i],
					      c->procs[k].name, true);
	revision = observe_set_target(c, "changed", 77);
	for (i = 0; i < 2; i++) {
		struct proc *p = cluster_proc(c, restarted[i]);

		proc_kill(p);
		proc_start(c, p);
		assert_true(
			cluster_wait(c, has_been_refused, p->name, WAIT_MS));
		assert_false(cluster_ready(c, p->name));
	}
	cutoff_peer(cutoff, old, false, false);
	for (i = 0; i < 2; i++) {
		cutoff_caller(cutoff, restarted[i], NULL, false);
		cluster_wait_ready(c, restarted[i], WAIT_MS);
		assert_true(observe_applied_us(c, restarted[i], revision) > 0);
	}
	fprintf(stderr, "count: restarted=2 older_taken=%d\n",
		observe_reverts(c, "a1") + observe_reverts(c, "d1"));
	cutoff_destroy(cutoff);
	check_end(c);
}

/* ---- Time until a change takes effect ---- */

static bool all_have_applied(struct cluster *c, void *arg)
{
	const uint64_t *revision = arg;
	int i;

	for (i = 0; i < c->n_procs; i++) {
		const char *role = c->procs[i].role;

		if ((!strcmp(role, "agent") || !strcmp(role, "dispatcher")) &&
		    observe_applied_us(c, c->procs[i].name, *revision) < 0)
			return false;
	}
	return true;
}

static int64_t last_applied_us(struct cluster *c, uint64_t revision)
{
	int64_t last_us = 0;
	int i;

	for (i = 0; i < c->n_procs; i++) {
		const char *role = c->procs[i].role;

		if (!strcmp(role, "agent") || !strcmp(role, "dispatcher"))
			last_us = MAX(last_us,
				      observe_applied_us(c, c->procs[i].name,
							 revision));
	}
	return last_us;
}

static void test_in_force(void **state)
{
	static const char *const args[] = {
		"--rate",   "30", "--duration-s", "12", "--tasks", "4",
		"--run-ms", "20", "--seed",       "41", NULL
	};
	struct cluster *c = start(NULL);
	struct proc *load = cluster_load(c, args);
	int64_t sum_us = 0, max_us = 0;
	int i;

	(void)state;
	for (i = 1; i <= MEASURED_CHANGES; i++) {
		uint64_t revision = observe_set_target(c, "measured", i);
		int64_t answered_us = clock_now_us(), lag_us;

		assert_true(
			cluster_wait(c, all_have_applied, &revision, WAIT_MS));
		lag_us = MAX(0, last_applied_us(c, revision) - answered_us);
		sum_us += lag_us;
		max_us = MAX(max_us, lag_us);
	}
	fprintf(stderr,
		"count: changes=%d answer_to_last_process_ms mean=%d max=%d\n",
		MEASURED_CHANGES, (int)(sum_us / MEASURED_CHANGES / 1000),
		(int)(max_us / 1000));
	assert_true(max_us < APPLY_MAX_US);
	assert_int_equal(proc_wait(load, WAIT_MS), 0);
	assert_int_equal(cluster_load_field(load, "complete"),
			 cluster_load_field(load, "jobs"));
	check_end(c);
}

/* ---- Lost disks ---- */

static void delete_data_files(struct cluster *c, struct proc *p)
{
	char path[300];
	const char *name;
	GDir *dir;

	snprintf(path, sizeof(path), "%s/%s", c->folder, p->name);
	dir = g_dir_open(path, 0, NULL);
	while ((name = g_dir_read_name(dir))) {
		char *inner = g_build_filename(path, name, NULL);

		assert_int_equal(g_remove(inner), 0);
		g_free(inner);
	}
	g_dir_close(dir);
}

static bool has_leader(struct cluster *c, void *arg)
{
	(void)arg;
	return cluster_leader(c) != NULL;
}

static bool is_voter(struct cluster *c, void *id)
{
	return observe_is_voter(c, GPOINTER_TO_INT(id));
}

static bool is_gone(struct cluster *c, void *id)
{
	return cluster_leader(c) && !observe_is_member(c, GPOINTER_TO_INT(id));
}

static void add_member(struct cluster *c, int id)
{
	char text[300], name[16], address[2][40];
	struct proc *p;
	int i;

	snprintf(name, sizeof(name), "c%d", id);
	p = cluster_add(c, "coordinator", name);
	snprintf(text, sizeof(text), "%d", id);
	proc_add(p, "--id", text);
	snprintf(text, sizeof(text), "%s/%s", c->folder, name);
	proc_add(p, "--data", text);
	for (i = 0; i < 2; i++)
		snprintf(address[i], sizeof(address[i]), "%s:%d", c->ip,
			 7001 + 1000 * i + (int)(p - c->procs));
	proc_add(p, "--listen", address[0]);
	proc_add(p, "--admin", address[1]);
	proc_add(p, "--data-centre", "dc2");
	snprintf(text, sizeof(text), "%s,%s",
		 cluster_address(c, "c1", "listen"),
		 cluster_address(c, "c3", "listen"));
	proc_add(p, "--join", text);
	proc_start(c, p);
	snprintf(text, sizeof(text),
		 "{\"member_add\":{\"id\":%d,\"address\":\"%s\","
		 "\"admin_address\":\"%s\"}}",
		 id, address[0], address[1]);
	assert_true(cluster_command(c, text, NULL));
}

static void test_lost_disk(void **state)
{
	struct cluster *c = start(NULL);
	struct proc *emptied = cluster_proc(c, "c2");
	uint64_t revision;

	(void)state;
	revision = observe_set_target(c, "kept", 10);
	proc_kill(emptied);
	delete_data_files(c, emptied);
	proc_start(c, emptied);
	assert_true(observe_set_target(c, "kept", 20) > revision);
	/* The member with the empty disk must not form a quorum without c1. */
	proc_kill(cluster_proc(c, "c1"));
	assert_false(cluster_wait(c, has_leader, NULL, ELECTION_WAIT_MS) &&
		     cluster_command(c,
				     "{\"team_set\":{\"name\":\"x\","
				     "\"share_milli\":1}}",
				     NULL));
	proc_start(c, cluster_proc(c, "c1"));
	observe_wait_leader(c, WAIT_MS);
	assert_int_equal(observe_target(c, "kept"), 20);
	/* It is replaced; right after that, another host fails. */
	proc_kill(emptied);
	add_member(c, 4);
	assert_true(cluster_wait(c, is_voter, GINT_TO_POINTER(4), WAIT_MS));
	revision = observe_set_target(c, "kept", 30);
	assert_true(cluster_command(c, "{\"member_remove\":2}", NULL));
	assert_true(cluster_wait(c, is_gone, GINT_TO_POINTER(2), WAIT_MS));
	proc_kill(cluster_proc(c, "c1"));
	assert_int_equal(observe_target(c, "kept"), 30);
	assert_true(observe_set_target(c, "kept", 40) > revision);
	assert_int_equal(observe_target(c, "kept"), 40);
	fprintf(stderr, "count: disks_lost=1 replaced=1 hosts_lost=1 "
			"changes_lost=0\n");
	check_end(c);
}

/* A change whose leader is lost before it applies it must still be recorded, or
 * the trace check takes a data centre for out of service that is back. So each
 * coordinator records each change. */
static bool is_recorded_by_all(struct cluster *c, void *arg)
{
	for (int i = 0; i < c->n_coordinators; i++)
		if (observe_count(c, c->procs[i].name, "accept",
				  *(int64_t *)arg, NULL, NULL) < 2)
			return false;
	return true;
}

static void test_all_record_changes(void **state)
{
	struct cluster *c = start(NULL);
	int64_t before_us = clock_now_us();

	(void)state;
	assert_true(cluster_data_centre(c, "dc2", false));
	assert_true(cluster_data_centre(c, "dc2", true));
	assert_true(cluster_wait(c, is_recorded_by_all, &before_us, WAIT_MS));
	check_end(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_race, cluster_teardown),
		cmocka_unit_test_teardown(test_resend, cluster_teardown),
		cmocka_unit_test_teardown(test_catch_up_by_snapshot,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_restart_cut_off,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_in_force, cluster_teardown),
		cmocka_unit_test_teardown(test_lost_disk, cluster_teardown),
		cmocka_unit_test_teardown(test_all_record_changes,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
