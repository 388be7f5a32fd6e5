/*
 * test_join_versions: coordinators of this version among ones of an earlier
 * version, which neither forward a request to join nor ask for the leader. The
 * earlier ones are links of this test.
 */
#include "base/clock.h"
#include "base/counters.h"
#include "base/logger.h"
#include "support/coordinators.h"
#include "support/loop_until.h"
#include "verbs/operator.h"

#include <apr_general.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#define JOINER_ID 77
#define BURST 50
#define COMMAND_ID "00000000000000000000000000000001"
#define FORWARD_INTERVAL_MS 200 /* as in coordinator_joiners.c */

static struct loop *loop;

/* ---- Coordinators of an earlier version -------------------------------- */

struct peer {
	struct link_hub *hub;
	struct link *link;
	char address[CF_NAME_SIZE];
	const char *leader; /* named when asked for a lease; NULL: not asked */
	uint32_t joins; /* requests to join */
};

static void ignore(void *arg, struct link *link)
{
	(void)arg;
	(void)link;
}

static void answer(void *arg, struct link *link, const Cfw__Envelope *envelope)
{
	struct peer *peer = arg;
	Cfw__Envelope reply = CFW__ENVELOPE__INIT;
	Cfw__LeaseGrant grant = CFW__LEASE_GRANT__INIT;

	if (envelope->body_case == CFW__ENVELOPE__BODY_JOIN)
		peer->joins++;
	if (envelope->body_case != CFW__ENVELOPE__BODY_LEASE_REQUEST ||
	    !peer->leader)
		return;
	grant.seq = envelope->lease_request->seq;
	grant.verdict = CFW__LEASE_VERDICT__LEASE_NOT_LEADER;
	grant.leader_address = (char *)peer->leader;
	reply.body_case = CFW__ENVELOPE__BODY_LEASE_GRANT;
	reply.lease_grant = &grant;
	link_send(link, &reply);
}

static void open_peer(struct peer *peer, uint32_t id)
{
	static const struct link_handlers handlers = { .up = ignore,
						       .message = answer,
						       .down = ignore };
	struct link_options options = {
		.self = { .role = CFW__ROLE__ROLE_COORDINATOR,
			  .name = "earlier",
			  .incarnation = id,
			  .member_id = id,
			  .data_centre = "dc" }
	};
	uint16_t port;

	memset(peer, 0, sizeof(*peer));
	peer->hub = link_hub_create(loop, &options, &handlers, peer);
	assert_true(link_hub_listen(peer->hub, "127.0.0.1:0", &port, NULL));
	g_snprintf(peer->address, sizeof(peer->address), "127.0.0.1:%u", port);
}

static bool is_asked(void *arg)
{
	return ((struct peer *)arg)->joins > 0;
}

static bool is_up(void *arg)
{
	return link_is_up(((struct peer *)arg)->link);
}

static void dial(struct peer *peer, const struct group_fixture *c, size_t node)
{
	g_autofree char *address =
		g_strdup_printf("127.0.0.1:%u", c->nodes[node].port);

	peer->link = link_dial(peer->hub, address);
	assert_true(loop_until(loop, is_up, peer));
}

static void request_join(struct peer *peer, uint32_t id)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__JoinRequest request = CFW__JOIN_REQUEST__INIT;

	request.member_id = id;
	request.address = peer->address;
	request.admin_address = peer->address;
	envelope.body_case = CFW__ENVELOPE__BODY_JOIN;
	envelope.join = &request;
	assert_true(link_send(peer->link, &envelope));
}

/* ---- Tests ------------------------------------------------------------- */

/* A new joiner reaches the leader through a follower that only drops its
 * request. */
static void test_new_joiner_with_old_members(void **state)
{
	struct peer follower, leader;
	g_autofree char *folder = g_dir_make_tmp("cf-test-XXXXXX", NULL);
	g_autoptr(GString) errors = g_string_new(NULL);
	struct settings *settings;
	struct coordinator *joiner;

	(void)state;
	open_peer(&follower, 1);
	open_peer(&leader, 2);
	follower.leader = leader.address;
	{
		char *argv[] = { "coordinator",
				 "--data",
				 folder,
				 "--listen",
				 "127.0.0.1:0",
				 "--admin",
				 "127.0.0.1:0",
				 "--seeds",
				 "127.0.0.1:1",
				 "--seeds-port",
				 strrchr(follower.address, ':') + 1,
				 NULL };

		settings = settings_parse(FOR_COORDINATOR,
					  G_N_ELEMENTS(argv) - 1, argv, errors);
	}
	if (!settings)
		fail_msg("%s", errors->str);
	joiner = coordinator_start(settings, NULL);
	assert_non_null(joiner);
	assert_true(loop_until(loop, is_asked, &leader));
	coordinator_stop(joiner);
	settings_destroy(settings);
	link_hub_destroy(follower.hub);
	link_hub_destroy(leader.hub);
	fixture_empty_folder(folder);
	rmdir(folder);
}

/* An old joiner that reaches only a new follower is added. Its requests are
 * forwarded at a bounded rate, and those that aren't its own never are. */
static void test_old_joiner_with_new_members(void **state)
{
	const struct counter *forwarded =
		counter_get("joins_forwarded_total", NULL, NULL);
	struct group_fixture c;
	struct peer joiner;
	int64_t before, began_ms;
	size_t follower;

	(void)state;
	fixture_prepare(&c, 3);
	for (size_t i = 0; i < 3; i++)
		fixture_start(&c, i, false);
	for (json_int_t id = 1; id <= 3; id++)
		fixture_wait_voter(&c, id, 1);
	follower = (fixture_leader(&c) + 1) % 3;
	open_peer(&joiner, JOINER_ID);
	dial(&joiner, &c, follower);
	before = counter_value(forwarded);
	request_join(&joiner, JOINER_ID + 1);
	began_ms = clock_now_ms();
	for (int i = 0; i < BURST; i++)
		request_join(&joiner, JOINER_ID);
	assert_true(link_flush(joiner.hub, FIXTURE_WAIT_MS));
	fixture_wait_voter(&c, JOINER_ID, 0);
	assert_in_range(counter_value(forwarded) - before, 1,
			1 + (clock_now_ms() - began_ms) / FORWARD_INTERVAL_MS);
	fixture_wait_voter(&c, JOINER_ID + 1, -1);
	link_hub_destroy(joiner.hub);
	fixture_clear(&c);
}

/* A joiner whose id was retired, and a member that was away while all members
 * that it knew were replaced, were never told and waited for good. */
static void test_retired_id_is_told(void **state)
{
	struct operator_request r = { .verb = VERB_MEMBER_REMOVE,
				      .member_id = JOINER_ID };
	g_autofree char *body = operator_command_body(&r, COMMAND_ID);
	struct group_fixture c;
	struct peer away;

	(void)state;
	fixture_prepare(&c, 1);
	fixture_start(&c, 0, false);
	open_peer(&away, JOINER_ID);
	dial(&away, &c, 0);
	fixture_leader(&c);
	request_join(&away, JOINER_ID);
	assert_true(link_flush(away.hub, FIXTURE_WAIT_MS));
	fixture_wait_voter(&c, JOINER_ID, 0);
	json_decref(fixture_request(&c, "POST", "/v1/commands", body, 200));
	fixture_wait_voter(&c, JOINER_ID, -1);
	away.joins = 0;
	request_join(&away, JOINER_ID);
	assert_true(loop_until(loop, is_asked, &away));
	away.joins = 0;
	link_close(away.link);
	assert_true(loop_until(loop, is_asked, &away));
	link_hub_destroy(away.hub);
	fixture_clear(&c);
}

/* A joiner that drew the id of a member made that member leave the group. */
static void test_taken_id_is_told(void **state)
{
	struct group_fixture c;
	struct peer joiner;

	(void)state;
	fixture_prepare(&c, 1);
	fixture_start(&c, 0, false);
	fixture_wait_voter(&c, 1, 1);
	open_peer(&joiner, 1);
	dial(&joiner, &c, 0);
	request_join(&joiner, 1);
	assert_true(loop_until(loop, is_asked, &joiner));
	assert_false(c.nodes[0].coordinator->exit_removed);
	link_hub_destroy(joiner.hub);
	fixture_clear(&c);
}

static int setup(void **state)
{
	(void)state;
	apr_initialize();
	log_configure("test", "test", LOG_ERROR, LOG_FORMAT_TEXT);
	loop = loop_create(NULL);
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	loop_destroy(loop);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_joiner_with_old_members),
		cmocka_unit_test(test_old_joiner_with_new_members),
		cmocka_unit_test(test_retired_id_is_told),
		cmocka_unit_test(test_taken_id_is_told),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
