/*
 * A coordinator that was replaced while it was frozen. The tests use the real
 * processes of a leased system and one more coordinator, which follows the
 * log and takes the place of the frozen one.
 */
#include "support/members.h"

#include "base/clock.h"
#include "platform/standin.h"
#include "store/group.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define SPARE (SYSTEM_COORDINATORS + 1)
#define STATUS_TEMPORARY_REDIRECT 307

/* ---- Tests ------------------------------------------------------------ */

/* Sends operators' requests to the woken coordinator until it is a member
 * again. Each must be answered: with the routes in force or by a redirect or
 * 503, never with the routes from before it was frozen. */
static void call_until_member(struct leased_system *s, int woken, int observer,
			      uint32_t version)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;
	int answered = 0;

	while (members_find(s, observer, woken, NULL) == MEMBER_NOT_LISTED) {
		g_autofree char *answer = NULL;
		uint32_t status = leased_system_call(s, woken, "control", "GET",
						     standin_get_routes_path,
						     NULL, &answer);

		if (status == 200)
			assert_true(standin_has_version(answer, version));
		else if (status != STATUS_TEMPORARY_REDIRECT)
			assert_int_equal(status, 503);
		answered++;
		assert_true(clock_now_ms() < end_ms);
	}
	fprintf(stderr, "count: answered=%d\n", answered);
}

/* A coordinator that is woken after it was replaced joins again as a new
 * member in the same process. Then two others are lost one after the other, so
 * that a change needs the vote of the one that was woken. */
static void check_rejoin(bool freeze_leader)
{
	struct leased_system *s = leased_system_begin(false);
	struct proc *spare = leased_system_add_coordinator(s, SPARE);
	int leader, frozen, others[2], n = 0;
	struct proc *p;
	char name[16];

	proc_start(s->cluster, spare);
	members_wait(s, members_wait_leader(s), SPARE, MEMBER_LEARNER);
	leader = members_wait_leader(s);
	frozen = freeze_leader ? leader : leader % SYSTEM_COORDINATORS + 1;
	for (int i = 1; i <= SYSTEM_COORDINATORS; i++)
		if (i != frozen)
			others[n++] = i;
	snprintf(name, sizeof(name), "c%d", frozen);
	p = cluster_proc(s->cluster, name);
	proc_freeze(p);
	members_wait(s, others[0], frozen, MEMBER_NOT_LISTED);
	members_wait(s, others[0], SPARE, MEMBER_VOTER);
	leased_system_set_routes(s, 7);
	proc_thaw(p);
	call_until_member(s, frozen, others[0], 7);
	members_wait(s, others[0], frozen, MEMBER_LEARNER);
	proc_kill(spare);
	members_wait(s, others[0], frozen, MEMBER_VOTER);
	members_wait(s, others[0], SPARE, MEMBER_NOT_LISTED);
	snprintf(name, sizeof(name), "c%d", others[1]);
	proc_kill(cluster_proc(s->cluster, name));
	leased_system_set_routes(s, 9);
	leased_system_expect_routes(s, 9);
	assert_true(proc_running(p));
	assert_int_equal(p->starts, 1);
	leased_system_finish(s);
}

static void test_replaced_while_frozen(void **state)
{
	static const bool leaders[] = { false, true };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(leaders); i++)
		check_rejoin(leaders[i]);
}

/* A process that ends while it empties its folder leaves the mark "rejoin".
 * The next process must not go on under the old id, whose votes and log may be
 * lost, also if its settings still say that the group starts for the first
 * time. */
static void test_interrupted_rejoin(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	struct proc *p = cluster_proc(s->cluster, "c3");
	g_autofree char *folder = g_strdup_printf("%s/c3", s->cluster->folder);
	g_autofree char *answer = NULL;
	GBytes *mark = g_bytes_new_static("3", 1);

	(void)state;
	proc_kill(p);
	assert_true(store_put_file(folder, "rejoin", mark, NULL));
	assert_true(store_remove_file(folder, "members", NULL));
	g_bytes_unref(mark);
	proc_start(s->cluster, p);
	cluster_wait_ready(s->cluster, "c3", SYSTEM_WAIT_MS);
	members_wait(s, 1, 3, MEMBER_VOTER);
	leased_system_call(s, 1, "admin", "GET", "/v1/status", NULL, &answer);
	assert_null(strstr(answer, "\"id\":3,"));
	assert_null(store_get_file(folder, "rejoin", NULL));
	leased_system_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_replaced_while_frozen,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_interrupted_rejoin,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
