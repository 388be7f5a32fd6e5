/*
 * test_coordinator: coordinators on loopback, in the test process. Checks
 * that accepted changes survive restarts and changes of leader, that the
 * leader is found, and that members are added and removed. All waits are
 * for conditions, not for fixed times.
 */
#include "base/logger.h"
#include "verbs/operator.h"
#include "support/coordinators.h"

#include <apr_general.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <cmocka.h>

#define ID_1 "00000000000000000000000000000001"
#define ID_2 "00000000000000000000000000000002"
#define ID_3 "00000000000000000000000000000003"
#define ID_4 "00000000000000000000000000000004"

/* ---- Tests --------------------------------------------------------- */

static void test_one_member_keeps_what_it_accepted(void **state)
{
	struct group_fixture c;
	json_int_t revision;

	(void)state;
	fixture_prepare(&c, 1);
	fixture_start(&c, 0, false);
	revision = fixture_set_class(&c, ID_1, 100, 0, 200);
	assert_int_equal(fixture_set_class(&c, ID_1, 100, 0, 200), revision);
	fixture_set_class(&c, ID_2, 200, 0, 200);
	fixture_set_class(&c, ID_3, 300, (uint64_t)revision, 409);
	fixture_set_class(&c, ID_4, 0, 0, 400);
	fixture_stop(&c, 0);
	fixture_start(&c, 0, false);
	assert_int_equal(fixture_class_target(&c), 200);
	assert_int_equal(fixture_set_class(&c, ID_1, 100, 0, 200), revision);
	assert_int_equal(fixture_class_target(&c), 200);
	fixture_clear(&c);
}

static void test_leader_is_replaced(void **state)
{
	struct group_fixture c;
	json_int_t revision;
	size_t leader;

	(void)state;
	fixture_prepare(&c, 3);
	for (size_t i = 0; i < 3; i++)
		fixture_start(&c, i, false);
	revision = fixture_set_class(&c, ID_1, 100, 0, 200);
	leader = fixture_leader(&c);
	fixture_stop(&c, leader);
	/* The answer was lost: the retry reaches another leader. */
	assert_int_equal(fixture_set_class(&c, ID_1, 100, 0, 200), revision);
	revision = fixture_set_class(&c, ID_2, 200, 0, 200);
	fixture_start(&c, leader, false);
	fixture_wait_revision(&c, leader, revision);
	assert_int_equal(fixture_class_target(&c), 200);
	fixture_clear(&c);
}

static void change_member(struct group_fixture *c, enum operator_verb verb,
			  size_t i, const char *id)
{
	struct operator_request r = { .verb = verb,
				      .member_id = (uint32_t)i + 1 };
	g_autofree char *body = NULL;

	g_snprintf(r.address, sizeof(r.address), "127.0.0.1:%u",
		   c->nodes[i].port);
	g_strlcpy(r.admin_address, c->nodes[i].admin, sizeof(r.admin_address));
	body = operator_command_body(&r, id);
	json_decref(fixture_request(c, "POST", "/v1/commands", body, 200));
}

static void test_member_is_replaced(void **state)
{
	struct group_fixture c;
	json_int_t revision;

	(void)state;
	fixture_prepare(&c, 3);
	for (size_t i = 0; i < 3; i++)
		fixture_start(&c, i, false);
	fixture_wait_voter(&c, 3,
			   1); /* until the first members are registered */
	revision = fixture_set_class(&c, ID_1, 100, 0, 200);
	fixture_stop(&c, 2);
	change_member(&c, VERB_MEMBER_REMOVE, 2, ID_2);
	fixture_wait_voter(&c, 3, -1);
	fixture_start(&c, 3, true);
	change_member(&c, VERB_MEMBER_ADD, 3, ID_3);
	fixture_wait_voter(&c, 4, 1);
	fixture_wait_revision(&c, 3, revision);
	/* A second member fails right after the replacement. */
	fixture_stop(&c, 0);
	c.servers[0] = c.nodes[3].admin;
	assert_int_equal(fixture_class_target(&c), 100);
	fixture_set_class(&c, ID_4, 400, 0, 200);
	assert_int_equal(fixture_class_target(&c), 400);
	fixture_clear(&c);
}

static void test_leader_is_removed(void **state)
{
	struct group_fixture c;
	size_t leader;

	(void)state;
	fixture_prepare(&c, 3);
	for (size_t i = 0; i < 3; i++)
		fixture_start(&c, i, false);
	for (json_int_t id = 1; id <= 3; id++)
		fixture_wait_voter(&c, id, 1);
	leader = fixture_leader(&c);
	change_member(&c, VERB_MEMBER_REMOVE, leader, ID_1);
	/* The removed member keeps running and must not disturb the others. */
	fixture_wait_voter(&c, (json_int_t)leader + 1, -1);
	fixture_set_class(&c, ID_2, 200, 0, 200);
	assert_int_equal(fixture_class_target(&c), 200);
	fixture_clear(&c);
}

/* A member that restarts with an empty disk has lost the entries that it
 * acknowledged, so it must not count towards a quorum. */
static void test_empty_disk_is_no_voter(void **state)
{
	struct operator_request r = { .verb = VERB_CLASS_SET,
				      .name = "a",
				      .target_ms = 900,
				      .percentile_milli = 99000,
				      .timeout_ms = 3000 };
	g_autofree char *body = operator_command_body(&r, ID_2);
	struct group_fixture c;
	json_t *answer = NULL;
	const char *why;
	json_int_t revision;

	(void)state;
	fixture_prepare(&c, 3);
	for (size_t i = 0; i < 3; i++)
		fixture_start(&c, i, false);
	fixture_wait_voter(&c, 3, 1);
	revision = fixture_set_class(&c, ID_1, 100, 0, 200);
	for (size_t i = 0; i < 3; i++)
		fixture_wait_revision(&c, i, revision);
	fixture_wait_identities(&c);
	fixture_stop(&c, 2);
	fixture_empty_folder(c.nodes[2].folder);
	fixture_start(&c, 2, false);
	fixture_stop(&c, 1);
	r.servers = c.servers;
	assert_int_equal(operator_send_request(&r, "POST", "/v1/commands", body,
					       &answer, &why),
			 0);
	/* The second member, with its disk intact, restores the quorum. */
	fixture_start(&c, 1, false);
	fixture_set_class(&c, ID_2, 900, 0, 200);
	fixture_clear(&c);
}

static int setup(void **state)
{
	(void)state;
	apr_initialize();
	log_configure("test", "test", LOG_INFO, LOG_FORMAT_TEXT);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_member_keeps_what_it_accepted),
		cmocka_unit_test(test_leader_is_replaced),
		cmocka_unit_test(test_member_is_replaced),
		cmocka_unit_test(test_leader_is_removed),
		cmocka_unit_test(test_empty_disk_is_no_voter),
	};

	return cmocka_run_group_tests(tests, setup, NULL);
}
