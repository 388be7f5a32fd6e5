/*
 * Coordinators that join while a coordinator outside the seeds leads. The
 * tests use real processes.
 */
#include "support/members.h"

#include "base/clock.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define SPARE (SYSTEM_COORDINATORS + 1)
#define JOIN_BOUND_MS                                                          \
	15000 /* includes syncs of 3 s, as seen on a loaded disk */
#define POLL_US 20000
#define FULL_US 1000000 /* two requests to join */

/* ---- Steps ------------------------------------------------------------ */

/* Kills a voter and waits until the spare has taken its place. */
static void replace(struct leased_system *s, int number, int spare)
{
	int64_t killed_ms;
	int leader;

	proc_start(s->cluster, leased_system_add_coordinator(s, spare));
	members_wait(s, members_wait_leader(s), spare, MEMBER_LEARNER);
	killed_ms = clock_now_ms();
	proc_kill(members_proc(s, number));
	leader = members_wait_leader(s);
	members_wait(s, leader, spare, MEMBER_VOTER);
	fprintf(stderr, "count: c%d replaced_ms=%d\n", number,
		(int)(clock_now_ms() - killed_ms));
	members_wait(s, leader, number, MEMBER_NOT_LISTED);
}

/* Starts a coordinator whose old member id is given, and checks that it is
 * listed under a new one in time. */
static void check_joins(struct leased_system *s, int number, uint32_t old_id)
{
	int64_t started_ms = clock_now_ms(), waited_ms = 0;
	uint32_t id = old_id;

	proc_set(members_proc(s, number), "--first-start", "false");
	proc_start(s->cluster, members_proc(s, number));
	while (id == old_id) {
		int leader = members_wait_leader(s);

		if (!members_find(s, leader, number, &id))
			id = old_id;
		waited_ms = clock_now_ms() - started_ms;
		if (waited_ms > JOIN_BOUND_MS)
			fail_msg("c%d isn't a member after %d ms; c%d leads",
				 number, JOIN_BOUND_MS, leader);
		g_usleep(POLL_US);
	}
	fprintf(stderr, "count: c%d joined_ms=%d\n", number, (int)waited_ms);
}

/* ---- Tests ------------------------------------------------------------ */

/* A member that was replaced, and one that lost its disk, know only the seeds
 * and stayed out of the group for good while another coordinator led. */
static void test_joins_leader_outside_seeds(void **state)
{
	struct leased_system *s = leased_system_begin_group(1);
	uint32_t old_id = 0;

	(void)state;
	replace(s, 1, SPARE);
	members_make_lead(s, SPARE);
	check_joins(s, 1, 1);
	members_make_lead(s, SPARE);
	assert_int_equal(members_find(s, SPARE, 3, &old_id), MEMBER_VOTER);
	proc_kill(members_proc(s, 3));
	members_empty_disk(s, 3);
	check_joins(s, 3, old_id);
	members_wait_voters(s, SYSTEM_COORDINATORS);
	leased_system_finish(s);
}

/* With every seed replaced and down, neither a seed that comes back nor a
 * former member at another address has a seed to ask. */
static void test_joins_without_seeds(void **state)
{
	struct leased_system *s = leased_system_begin_group(1);

	(void)state;
	for (int seed = 1; seed <= SYSTEM_COORDINATORS; seed++)
		replace(s, seed, SYSTEM_COORDINATORS + seed);
	members_empty_disk(s, 1);
	check_joins(s, 1, 1);
	proc_kill(members_proc(s, SPARE));
	members_wait(s, members_wait_leader(s), 1, MEMBER_VOTER);
	members_wait(s, members_wait_leader(s), SPARE, MEMBER_NOT_LISTED);
	replace(s, 1, SYSTEM_COORDINATORS * 2 + 1);
	members_empty_disk(s, SPARE);
	check_joins(s, SPARE, 0);
	leased_system_finish(s);
}

/* A learner that is gone for good held one of the seven places, and nobody else
 * was added. */
static void test_lost_learner_in_full_group(void **state)
{
	struct leased_system *s = leased_system_begin_group(1);
	int waiting = CF_MEMBERS_MAX + 1;

	(void)state;
	for (int i = SPARE; i <= waiting; i++) {
		proc_start(s->cluster, leased_system_add_coordinator(s, i));
		if (i < waiting)
			members_wait(s, members_wait_leader(s), i,
				     MEMBER_LEARNER);
	}
	g_usleep(FULL_US);
	assert_int_equal(members_find(s, members_wait_leader(s), waiting, NULL),
			 MEMBER_NOT_LISTED);
	proc_kill(members_proc(s, SPARE));
	members_wait(s, members_wait_leader(s), waiting, MEMBER_LEARNER);
	members_wait(s, members_wait_leader(s), SPARE, MEMBER_NOT_LISTED);
	leased_system_finish(s);
}

static bool has_losses_borne(struct leased_system *s, int64_t losses)
{
	char name[16];

	snprintf(name, sizeof(name), "c%d", members_wait_leader(s));
	return cluster_metric(s->cluster, name, "chervilferry_losses_borne") ==
	       losses;
}

static void wait_losses_borne(struct leased_system *s, int64_t losses,
			      const char *event)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;
	bool logged = false;

	while (!logged || !has_losses_borne(s, losses)) {
		g_autofree char *log = NULL;

		g_file_get_contents(
			members_proc(s, members_wait_leader(s))->log, &log,
			NULL, NULL);
		logged = log && strstr(log, event);
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

/* A group that can't bear another loss served on and said nothing. */
static void test_lost_redundancy_is_silent(void **state)
{
	struct leased_system *s = leased_system_begin_group(1);
	struct proc *lost;

	(void)state;
	members_wait_voters(s, SYSTEM_COORDINATORS);
	lost = members_proc(s,
			    members_wait_leader(s) % SYSTEM_COORDINATORS + 1);
	proc_kill(lost);
	wait_losses_borne(s, 0, "event=voter_missing");
	proc_start(s->cluster, lost);
	wait_losses_borne(s, 1, "event=redundancy_whole");
	leased_system_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_joins_leader_outside_seeds,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_joins_without_seeds,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_lost_learner_in_full_group,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_lost_redundancy_is_silent,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
