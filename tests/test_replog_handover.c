/*
 * test_replog_handover: elections that do not wait for the election timeout,
 * in a simulated network without faults: after a planned stop of the leader,
 * and after a restart of all members.
 */
#include "support/lognet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#define ELECTION_MS 600
#define SETTLE_MS 20000
/* An election that waits for the timeout takes at least twice as long. */
#define FAST_ELECTION_MS (ELECTION_MS / 2)
#define VOTERS_MAX 5
/* The timeout of the member that completes the quorum, and some rounds. */
#define STAGGERED_MAX_MS (ELECTION_MS + ELECTION_MS / 2)

/* ---- Support ---- */

static struct lognet *make_net(uint32_t n_voters)
{
	const struct lognet_options options = { .seed = 20261204,
						.n_voters = n_voters,
						.delay_ms = 10,
						.disk_ms = 10 };
	struct lognet *net = lognet_create(&options);

	while (!lognet_leader(net)) {
		assert_true(net->now_ms < SETTLE_MS);
		lognet_step(net);
	}
	/* Until all members have received a message from the leader. */
	for (int i = 0; i < ELECTION_MS / LOGNET_STEP_MS / 2; i++)
		lognet_step(net);
	assert_non_null(lognet_leader(net));
	return net;
}

/* Time until a member other than old_leader leads. */
static int64_t time_until_new_leader(struct lognet *net, uint32_t old_leader)
{
	int64_t from_ms = net->now_ms;

	for (;;) {
		const struct lognet_node *leader = lognet_leader(net);

		if (leader && leader->id != old_leader)
			return net->now_ms - from_ms;
		assert_true(net->now_ms - from_ms < SETTLE_MS);
		lognet_step(net);
	}
}

/* ---- Tests ---- */

static void test_others_elect_at_once(void **state)
{
	(void)state;
	for (uint32_t n = 3; n <= VOTERS_MAX; n += 2) {
		struct lognet *net = make_net(n);
		struct lognet_node *leader = lognet_leader(net);

		cf_replog_hand_over(leader->log, net->now_ms);
		assert_int_equal(cf_replog_leader(leader->log), 0);
		assert_true(time_until_new_leader(net, leader->id) <=
			    FAST_ELECTION_MS);
		assert_string_equal(net->fault, "");
		lognet_destroy(net);
	}
}

/* Without a handover, the members wait out the election timeout. */
static void test_crash_waits_for_election_timeout(void **state)
{
	struct lognet *net = make_net(3);
	struct lognet_node *leader = lognet_leader(net);

	(void)state;
	lognet_crash(net, leader);
	assert_true(time_until_new_leader(net, leader->id) > FAST_ELECTION_MS);
	assert_string_equal(net->fault, "");
	lognet_destroy(net);
}

static void test_only_the_leader_hands_over(void **state)
{
	struct lognet *net = make_net(3);
	struct lognet_node *leader = lognet_leader(net);
	uint64_t term = cf_replog_term(leader->log);

	(void)state;
	for (uint32_t i = 0; i < net->n_nodes; i++) {
		struct lognet_node *node = &net->nodes[i];
		struct cf_replog_message message = { .kind = CF_REPLOG_HANDOVER,
						     .to = node->id,
						     .term = term };

		if (node == leader)
			continue;
		/* A handover from the other follower, then one of its own. */
		message.from = 6 - node->id - leader->id;
		cf_replog_step(node->log, &message, net->now_ms);
		cf_replog_hand_over(node->log, net->now_ms);
		assert_int_equal(cf_replog_leader(node->log), leader->id);
	}
	for (int i = 0; i < FAST_ELECTION_MS / LOGNET_STEP_MS; i++)
		lognet_step(net);
	assert_ptr_equal(lognet_leader(net), leader);
	assert_int_equal(cf_replog_term(leader->log), term);
	lognet_destroy(net);
}

/* ---- After a start --------------------------------------------------- */

static void test_full_restart_elects_at_once(void **state)
{
	(void)state;
	for (uint32_t n = 3; n <= VOTERS_MAX; n += 2) {
		struct lognet *net = make_net(n);

		for (uint32_t i = 0; i < n; i++)
			lognet_crash(net, &net->nodes[i]);
		for (uint32_t i = 0; i < n; i++)
			lognet_restart(net, &net->nodes[i]);
		assert_true(time_until_new_leader(net, 0) <= FAST_ELECTION_MS);
		assert_string_equal(net->fault, "");
		lognet_destroy(net);
	}
}

/* A voter that does not reply may be the leader, so the others wait. */
static void test_missing_voter_delays_election(void **state)
{
	struct lognet *net = make_net(3);
	struct lognet_node *leader = lognet_leader(net);

	(void)state;
	for (uint32_t i = 0; i < net->n_nodes; i++)
		lognet_crash(net, &net->nodes[i]);
	for (uint32_t i = 0; i < net->n_nodes; i++)
		if (&net->nodes[i] != leader)
			lognet_restart(net, &net->nodes[i]);
	assert_true(time_until_new_leader(net, leader->id) > FAST_ELECTION_MS);
	assert_string_equal(net->fault, "");
	lognet_destroy(net);
}

/*
 * Members that start one after the other must not wait for the random part of
 * the election timeout, nor for a new timeout after a pre-vote that a member
 * ignored because it had only just started.
 */
static void test_staggered_restart(void **state)
{
	static const int64_t gaps_ms[] = { 50, 150, 300, 450, 700 };
	static const uint32_t orders[][3] = { { 0, 1, 2 }, { 0, 2, 1 },
					      { 1, 0, 2 }, { 1, 2, 0 },
					      { 2, 0, 1 }, { 2, 1, 0 } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(gaps_ms) * 6; i++) {
		const uint32_t *order = orders[i % 6];
		struct lognet *net = make_net(3);
		int64_t quorum_ms = 0;

		for (uint32_t k = 0; k < 3; k++)
			lognet_crash(net, &net->nodes[k]);
		for (uint32_t k = 0; k < 3; k++) {
			int64_t until_ms = net->now_ms + gaps_ms[i / 6];

			lognet_restart(net, &net->nodes[order[k]]);
			if (k == 1)
				quorum_ms = net->now_ms;
			while (k < 2 && net->now_ms < until_ms)
				lognet_step(net);
		}
		if (!lognet_leader(net))
			time_until_new_leader(net, 0);
		assert_in_range(net->now_ms - quorum_ms, 0, STAGGERED_MAX_MS);
		assert_string_equal(net->fault, "");
		lognet_destroy(net);
	}
}

/*
 * Replies to queries of an earlier incarnation are ignored: the member still
 * ignores vote requests after its start and then follows the leader.
 */
static void test_replies_to_earlier_incarnation(void **state)
{
	struct lognet *net = make_net(3);
	struct lognet_node *leader = lognet_leader(net);
	uint64_t term = cf_replog_term(leader->log);
	struct lognet_node *node = &net->nodes[leader->id % net->n_nodes];
	struct cf_replog_message vote = { .kind = CF_REPLOG_VOTE,
					  .from = 6 - node->id - leader->id,
					  .to = node->id,
					  .term = term + 1,
					  .index = 1000,
					  .log_term = term };

	(void)state;
	lognet_crash(net, node);
	lognet_restart(net, node);
	for (uint32_t id = 1; id <= net->n_nodes; id++) {
		struct cf_replog_message message = {
			.kind = CF_REPLOG_NO_LEADER_REPLY,
			.from = id,
			.to = node->id,
			.term = term,
			.sent_ms = 1
		};

		cf_replog_step(node->log, &message, net->now_ms);
	}
	cf_replog_step(node->log, &vote, net->now_ms);
	assert_int_equal(cf_replog_term(node->log), term);
	for (int i = 0; i < ELECTION_MS / LOGNET_STEP_MS; i++)
		lognet_step(net);
	assert_ptr_equal(lognet_leader(net), leader);
	assert_int_equal(cf_replog_term(leader->log), term);
	lognet_destroy(net);
}

/* A single voter has no other voter to hand over to and keeps leading. */
static void test_single_voter_keeps_leading(void **state)
{
	struct lognet *net = make_net(1);
	struct lognet_node *leader = lognet_leader(net);

	(void)state;
	cf_replog_hand_over(leader->log, net->now_ms);
	assert_ptr_equal(lognet_leader(net), leader);
	lognet_destroy(net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_others_elect_at_once),
		cmocka_unit_test(test_crash_waits_for_election_timeout),
		cmocka_unit_test(test_only_the_leader_hands_over),
		cmocka_unit_test(test_full_restart_elects_at_once),
		cmocka_unit_test(test_missing_voter_delays_election),
		cmocka_unit_test(test_staggered_restart),
		cmocka_unit_test(test_replies_to_earlier_incarnation),
		cmocka_unit_test(test_single_voter_keeps_leading),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
