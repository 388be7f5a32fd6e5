/*
 * test_replog: rules of the replicated log. Rules of one member are tested
 * message by message, those of several members in a simulated network
 * without faults.
 */
#include "chervilferry.h"
#include "support/lognet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <cmocka.h>

#define ELECTION_MS 600
#define LATE_MS (1000 + 2 * ELECTION_MS) /* past any election timeout */

/* ---- One log -------------------------------------------------------- */

/*
 * Makes member 1 of voters 1..n at 1000 ms, in the given term. The log has
 * one entry per digit of "entry_terms", which is its term.
 */
static struct cf_replog *make_log(uint32_t n_voters, uint64_t term,
				  const char *entry_terms)
{
	struct cf_replog_options options = { .id = 1, .seed = 1 };
	struct cf_hard_state state = { .term = term };
	struct cf_entry entries[16] = { 0 };
	size_t n = strlen(entry_terms);
	struct cf_replog *log;

	for (uint32_t i = 0; i < n_voters; i++)
		options.members.voters[options.members.n_voters++] = i + 1;
	for (size_t i = 0; i < n; i++) {
		entries[i].index = i + 1;
		entries[i].term = (uint64_t)(entry_terms[i] - '0');
		entries[i].kind = CF_ENTRY_COMMAND;
	}
	log = cf_replog_create(&options, 1000);
	cf_replog_restore(log, &state, NULL, entries, n);
	return log;
}

/*
 * Completes all pending work. Copies the first message to member 2,
 * without its entries and snapshot, and returns whether there was one.
 */
static bool flush(struct cf_replog *log, int64_t now_ms,
		  struct cf_replog_message *to_2)
{
	bool found = false;

	while (cf_replog_has_ready(log)) {
		struct cf_replog_ready ready;

		cf_replog_get_ready(log, &ready);
		for (size_t i = 0; i < ready.n_messages; i++) {
			if (found || !to_2 || ready.messages[i].to != 2)
				continue;
			*to_2 = ready.messages[i];
			to_2->entries = NULL;
			to_2->snapshot = NULL;
			found = true;
		}
		cf_replog_advance(log, now_ms);
	}
	return found;
}

static struct cf_replog_message from(uint32_t id, enum cf_replog_kind kind,
				     uint64_t term)
{
	return (struct cf_replog_message){
		.kind = kind, .from = id, .to = 1, .term = term
	};
}

/* Makes member 1 leader of the next term, with the votes of member 2. */
static void lead(struct cf_replog *log, int64_t now_ms)
{
	struct cf_replog_message m;

	cf_replog_tick(log, now_ms);
	m = from(2, CF_REPLOG_PREVOTE_REPLY, cf_replog_term(log) + 1);
	cf_replog_step(log, &m, now_ms);
	m = from(2, CF_REPLOG_VOTE_REPLY, cf_replog_term(log));
	cf_replog_step(log, &m, now_ms);
	assert_int_equal(cf_replog_leader(log), 1);
	flush(log, now_ms, NULL);
}

/* ---- Votes ---------------------------------------------------------- */

static void test_vote_grants(void **state)
{
	static const struct {
		const char *what;
		enum cf_replog_kind kind;
		uint64_t term, index, log_term;
		int64_t now_ms;
		bool answered, granted;
	} cases[] = {
		{ "equal log", CF_REPLOG_VOTE, 4, 3, 2, LATE_MS, true, true },
		{ "longer log", CF_REPLOG_VOTE, 4, 9, 2, LATE_MS, true, true },
		{ "shorter log", CF_REPLOG_VOTE, 4, 2, 2, LATE_MS, true,
		  false },
		{ "newer last term", CF_REPLOG_VOTE, 4, 1, 3, LATE_MS, true,
		  true },
		{ "older last term", CF_REPLOG_VOTE, 4, 9, 1, LATE_MS, true,
		  false },
		{ "older term", CF_REPLOG_VOTE, 2, 9, 2, LATE_MS, true, false },
		{ "just started", CF_REPLOG_VOTE, 4, 9, 2, 1100, false, false },
		{ "pre-vote", CF_REPLOG_PREVOTE, 4, 3, 2, LATE_MS, true, true },
		{ "pre-vote, shorter", CF_REPLOG_PREVOTE, 4, 2, 2, LATE_MS,
		  true, false },
		{ "pre-vote, same term", CF_REPLOG_PREVOTE, 3, 9, 2, LATE_MS,
		  true, false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_replog *log = make_log(3, 3, "112");
		struct cf_replog_message reply,
			m = from(2, cases[i].kind, cases[i].term);
		bool answered;

		m.index = cases[i].index;
		m.log_term = cases[i].log_term;
		cf_replog_step(log, &m, cases[i].now_ms);
		answered = flush(log, cases[i].now_ms, &reply);
		if (answered != cases[i].answered ||
		    (answered && reply.reject == cases[i].granted))
			fail_msg("%s", cases[i].what);
		/* A pre-vote does not change the term. */
		if (m.kind == CF_REPLOG_PREVOTE)
			assert_int_equal(cf_replog_term(log), 3);
		cf_replog_destroy(log);
	}
}

static void test_one_vote_a_term(void **state)
{
	struct cf_replog *log = make_log(3, 1, "1");
	struct cf_replog_message reply, m = from(3, CF_REPLOG_VOTE, 2);

	(void)state;
	m.index = 1;
	m.log_term = 1;
	cf_replog_step(log, &m, LATE_MS);
	m.from = 2;
	cf_replog_step(log, &m, LATE_MS);
	assert_true(flush(log, LATE_MS, &reply));
	assert_true(reply.reject);
	cf_replog_destroy(log);
}

static void test_vote_needs_sync(void **state)
{
	struct cf_replog *log = make_log(3, 1, "1");
	struct cf_replog_message m = from(2, CF_REPLOG_VOTE, 2);
	struct cf_replog_ready ready;

	(void)state;
	m.index = 1;
	m.log_term = 1;
	cf_replog_step(log, &m, LATE_MS);
	cf_replog_get_ready(log, &ready);
	assert_true(ready.must_sync);
	assert_int_equal(ready.hard_state.term, 2);
	assert_int_equal(ready.hard_state.vote, 2);
	assert_false(cf_replog_has_ready(log));
	cf_replog_advance(log, LATE_MS);
	cf_replog_destroy(log);
}

static void test_follower_ignores_votes(void **state)
{
	struct cf_replog *log = make_log(3, 2, "12");
	struct cf_replog_message m = from(2, CF_REPLOG_APPEND, 2);

	(void)state;
	cf_replog_step(log, &m, 5000);
	flush(log, 5000, NULL);
	m = from(3, CF_REPLOG_VOTE, 9);
	m.index = 9;
	m.log_term = 8;
	cf_replog_step(log, &m, 5000 + ELECTION_MS - 1);
	assert_int_equal(cf_replog_term(log), 2);
	assert_int_equal(cf_replog_leader(log), 2);
	cf_replog_step(log, &m, 5000 + ELECTION_MS);
	assert_int_equal(cf_replog_term(log), 9);
	cf_replog_destroy(log);
}

/* ---- Appends -------------------------------------------------------- */

static void test_append(void **state)
{
	static const struct {
		const char *what, *log;
		uint64_t index, log_term;
		const char *entries;
		bool reject;
		uint64_t match, hint;
		uint64_t last;
	} cases[] = {
		{ "heartbeat", "112", 3, 2, "", false, 3, 0, 3 },
		{ "next", "112", 3, 2, "33", false, 5, 0, 5 },
		{ "duplicate", "112", 1, 1, "12", false, 3, 0, 3 },
		{ "older duplicate", "112", 0, 0, "11", false, 2, 0, 3 },
		{ "conflict", "112", 2, 1, "3", false, 3, 0, 3 },
		{ "conflict truncates the rest", "1122", 2, 1, "3", false, 3, 0,
		  3 },
		{ "gap", "112", 5, 3, "3", true, 5, 3, 3 },
		{ "term mismatch", "112", 3, 3, "3", true, 3, 3, 3 },
		{ "hint skips newer terms", "1133", 4, 2, "", true, 4, 2, 4 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_replog *log = make_log(3, 4, cases[i].log);
		struct cf_replog_message reply,
			m = from(2, CF_REPLOG_APPEND, 4);
		struct cf_entry entries[8] = { 0 };

		m.index = cases[i].index;
		m.log_term = cases[i].log_term;
		m.sent_ms = 77;
		m.entries = entries;
		for (const char *t = cases[i].entries; *t; t++) {
			struct cf_entry *entry = &entries[m.n_entries++];

			entry->index = m.index + m.n_entries;
			entry->term = (uint64_t)(*t - '0');
			entry->kind = CF_ENTRY_COMMAND;
		}
		cf_replog_step(log, &m, LATE_MS);
		assert_true(flush(log, LATE_MS, &reply));
		if (reply.reject != cases[i].reject ||
		    reply.index != cases[i].match ||
		    reply.hint != cases[i].hint || reply.sent_ms != 77 ||
		    cf_replog_last_index(log) != cases[i].last)
			fail_msg("%s", cases[i].what);
		cf_replog_destroy(log);
	}
}

/*
 * Figure 8 of the Raft paper: an entry of an older term that a majority
 * holds is not committed until an entry of the current term is.
 */
static void test_older_term_is_not_counted(void **state)
{
	struct cf_replog *log = make_log(5, 2, "12");
	struct cf_replog_message m;

	(void)state;
	cf_replog_tick(log, LATE_MS);
	for (uint32_t id = 2; id <= 3; id++) {
		m = from(id, CF_REPLOG_PREVOTE_REPLY, 3);
		cf_replog_step(log, &m, LATE_MS);
	}
	for (uint32_t id = 2; id <= 3; id++) {
		m = from(id, CF_REPLOG_VOTE_REPLY, 3);
		cf_replog_step(log, &m, LATE_MS);
	}
	assert_int_equal(cf_replog_leader(log), 1);
	flush(log, LATE_MS, NULL);
	for (uint64_t index = 2; index <= 3; index++) {
		assert_int_equal(cf_replog_commit_index(log), 0);
		for (uint32_t id = 2; id <= 3; id++) {
			m = from(id, CF_REPLOG_APPEND_REPLY, 3);
			m.index = index;
			cf_replog_step(log, &m, LATE_MS);
		}
	}
	assert_int_equal(cf_replog_commit_index(log), 3);
	cf_replog_destroy(log);
}

/* The leader's own copy counts for the quorum only once it is persisted. */
static void test_own_copy_counts_when_synced(void **state)
{
	struct cf_replog *log = make_log(3, 1, "1");
	struct cf_replog_ready ready;
	struct cf_replog_message m;
	GBytes *data = g_bytes_new("x", 1);

	(void)state;
	lead(log, LATE_MS);
	assert_int_equal(cf_replog_propose(log, data, 0, LATE_MS), 3);
	cf_replog_get_ready(log, &ready);
	m = from(2, CF_REPLOG_APPEND_REPLY, 2);
	m.index = 3;
	cf_replog_step(log, &m, LATE_MS);
	assert_int_equal(cf_replog_commit_index(log), 2);
	/* An entry proposed after the ready is not persisted with it. */
	assert_int_equal(cf_replog_propose(log, data, 0, LATE_MS), 4);
	m.index = 4;
	cf_replog_advance(log, LATE_MS);
	cf_replog_step(log, &m, LATE_MS);
	assert_int_equal(cf_replog_commit_index(log), 3);
	g_bytes_unref(data);
	cf_replog_destroy(log);
}

/* ---- Leaders -------------------------------------------------------- */

static void test_quorum_time(void **state)
{
	static const struct {
		int64_t sent_ms;
		uint64_t term;
		int64_t quorum_ms;
	} replies[] = {
		{ 2210, 2, 2210 }, { 2230, 2, 2230 }, { 2220, 2, 2230 },
		{ 9999, 2, 2230 }, { 2240, 1, 2230 },
	};
	struct cf_replog *log = make_log(3, 1, "1");

	(void)state;
	assert_true(cf_replog_quorum_acked_ms(log) == INT64_MIN);
	lead(log, LATE_MS);
	assert_true(cf_replog_quorum_acked_ms(log) == INT64_MIN);
	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++) {
		struct cf_replog_message m =
			from(2, CF_REPLOG_APPEND_REPLY, replies[i].term);

		m.index = 1;
		m.sent_ms = replies[i].sent_ms;
		cf_replog_step(log, &m, LATE_MS + 50);
		assert_int_equal(cf_replog_quorum_acked_ms(log),
				 replies[i].quorum_ms);
	}
	cf_replog_destroy(log);
}

static void test_leader_without_quorum_steps_down(void **state)
{
	struct cf_replog *log = make_log(3, 1, "1");
	GBytes *data = g_bytes_new("x", 1);

	(void)state;
	lead(log, LATE_MS);
	cf_replog_tick(log, LATE_MS + ELECTION_MS - 1);
	assert_int_equal(cf_replog_leader(log), 1);
	cf_replog_tick(log, LATE_MS + ELECTION_MS);
	assert_int_equal(cf_replog_leader(log), 0);
	assert_true(cf_replog_quorum_acked_ms(log) == INT64_MIN);
	assert_int_equal(cf_replog_propose(log, data, 0, LATE_MS), 0);
	/* Its term does not grow while it is isolated. */
	for (int64_t now_ms = LATE_MS; now_ms < 100000; now_ms += 100)
		cf_replog_tick(log, now_ms);
	assert_int_equal(cf_replog_term(log), 2);
	g_bytes_unref(data);
	cf_replog_destroy(log);
}

static void test_single_voter(void **state)
{
	struct cf_replog *log = make_log(1, 0, "");

	(void)state;
	cf_replog_tick(log, 1000);
	assert_int_equal(cf_replog_leader(log), 1);
	assert_false(cf_replog_is_leader(log));
	flush(log, 1000, NULL);
	assert_true(cf_replog_is_leader(log));
	assert_int_equal(cf_replog_quorum_acked_ms(log), 1000);
	cf_replog_destroy(log);
}

/* ---- Members -------------------------------------------------------- */

static void test_member_changes(void **state)
{
	static const struct {
		const char *what;
		struct cf_members members;
		bool taken;
	} cases[] = {
		{ "voter added", { { 1, 2, 3, 4 }, 4, { 0 }, 0 }, true },
		{ "voter removed", { { 1, 3 }, 2, { 0 }, 0 }, true },
		{ "learner added", { { 1, 2, 3 }, 3, { 4 }, 1 }, true },
		{ "two added", { { 1, 2, 3, 4, 5 }, 5, { 0 }, 0 }, false },
		{ "voter replaced in one step",
		  { { 1, 2, 4 }, 3, { 0 }, 0 },
		  false },
		{ "two removed", { { 1 }, 1, { 0 }, 0 }, false },
		{ "duplicate id", { { 1, 2, 2 }, 3, { 0 }, 0 }, false },
		{ "voter and learner", { { 1, 2, 3 }, 3, { 3 }, 1 }, false },
		{ "no voters", { { 0 }, 0, { 0 }, 0 }, false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct cf_members *members = &cases[i].members;
		struct cf_replog *log = make_log(3, 1, "1");
		struct cf_replog_message m;

		lead(log, LATE_MS);
		/* Refused until an entry of its own term is committed. */
		assert_int_equal(
			cf_replog_propose_members(log, members, 0, LATE_MS), 0);
		m = from(2, CF_REPLOG_APPEND_REPLY, 2);
		m.index = 2;
		cf_replog_step(log, &m, LATE_MS);
		if ((cf_replog_propose_members(log, members, 0, LATE_MS) !=
		     0) != cases[i].taken)
			fail_msg("%s", cases[i].what);
		/* Refused while another change is pending. */
		if (cases[i].taken)
			assert_int_equal(cf_replog_propose_members(log, members,
								   0, LATE_MS),
					 0);
		cf_replog_destroy(log);
	}
}

/*
 * A leader that removes itself may be the only member with that entry, so
 * it still campaigns until the entry is committed.
 */
static void test_removed_voter_campaigns_until_commit(void **state)
{
	static const struct cf_members without_1 = { { 2, 3 }, 2, { 0 }, 0 };
	struct cf_replog *log = make_log(3, 1, "1");
	int64_t now_ms = LATE_MS + ELECTION_MS;
	struct cf_replog_message m;

	(void)state;
	lead(log, LATE_MS);
	m = from(2, CF_REPLOG_APPEND_REPLY, 2);
	m.index = 2;
	cf_replog_step(log, &m, LATE_MS);
	assert_int_equal(cf_replog_propose_members(log, &without_1, 0, LATE_MS),
			 3);
	flush(log, LATE_MS, NULL);
	cf_replog_tick(log, now_ms);
	assert_int_equal(cf_replog_leader(log), 0);
	flush(log, now_ms, NULL);
	cf_replog_tick(log, now_ms += 2 * ELECTION_MS);
	assert_true(flush(log, now_ms, &m));
	assert_int_equal(m.kind, CF_REPLOG_PREVOTE);
	/* Its own vote does not count, so it needs both others. */
	m = from(2, CF_REPLOG_PREVOTE_REPLY, 3);
	cf_replog_step(log, &m, now_ms);
	assert_int_equal(cf_replog_term(log), 2);
	m.from = 3;
	cf_replog_step(log, &m, now_ms);
	assert_int_equal(cf_replog_term(log), 3);
	for (uint32_t id = 2; id <= 3; id++) {
		m = from(id, CF_REPLOG_VOTE_REPLY, 3);
		cf_replog_step(log, &m, now_ms);
	}
	assert_int_equal(cf_replog_leader(log), 1);
	flush(log, now_ms, NULL);
	for (uint32_t id = 2; id <= 3; id++) {
		m = from(id, CF_REPLOG_APPEND_REPLY, 3);
		m.index = 4;
		cf_replog_step(log, &m, now_ms);
	}
	/* Once the removal is committed, it no longer campaigns. */
	assert_int_equal(cf_replog_commit_index(log), 4);
	flush(log, now_ms, NULL);
	cf_replog_tick(log, now_ms + 100000);
	assert_false(flush(log, now_ms + 100000, &m));
	cf_replog_destroy(log);
}

/* ---- Several members ------------------------------------------------ */

static struct lognet *make_net(uint32_t n_voters)
{
	struct lognet_options options = { .seed = 7,
					  .n_voters = n_voters,
					  .delay_ms = 5,
					  .snapshot_every = 50 };

	return lognet_create(&options);
}

static struct lognet_node *await_leader(struct lognet *net)
{
	for (int i = 0; i < 1000 && !lognet_leader(net); i++)
		lognet_step(net);
	assert_non_null(lognet_leader(net));
	return lognet_leader(net);
}

static void settle(struct lognet *net)
{
	for (int i = 0; i < 1000; i++) {
		lognet_step(net);
		if (i > 20 && lognet_settled(net))
			break;
	}
	assert_true(lognet_settled(net));
	assert_string_equal(net->fault, "");
}

static void steps(struct lognet *net, int n)
{
	for (int i = 0; i < n; i++)
		lognet_step(net);
	assert_string_equal(net->fault, "");
}

static void isolate(struct lognet *net, uint32_t id, bool in, bool out)
{
	for (uint32_t other = 1; other <= net->n_nodes; other++) {
		lognet_cut(net, id, other, out);
		lognet_cut(net, other, id, in);
	}
}

/* A member that missed hundreds of entries catches up by a snapshot. */
static void test_lagging_member_gets_snapshot(void **state)
{
	struct lognet *net = make_net(3);
	struct lognet_node *leader = await_leader(net);
	struct lognet_node *lagging = &net->nodes[leader->id % 3];

	(void)state;
	lognet_crash(net, lagging);
	for (int i = 0; i < 300; i++) {
		lognet_propose(net, leader);
		lognet_step(net);
	}
	settle(net);
	lognet_restart(net, lagging);
	settle(net);
	assert_true(net->snapshots > 0);
	assert_true(lagging->applied >= 300);
	lognet_destroy(net);
}

/*
 * One member is cut off for 30 s, in both directions or in one. Its return
 * causes no election.
 */
static void test_healed_member_causes_no_election(void **state)
{
	static const struct {
		bool in, out;
	} cases[] = { { true, true }, { true, false }, { false, true } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct lognet *net = make_net(3);
		struct lognet_node *leader = await_leader(net);
		uint32_t other = leader->id % 3 + 1;
		uint64_t term = cf_replog_term(leader->log);

		isolate(net, other, cases[i].in, cases[i].out);
		steps(net, 3000);
		isolate(net, other, false, false);
		settle(net);
		steps(net, 300);
		assert_ptr_equal(lognet_leader(net), leader);
		assert_int_equal(cf_replog_term(leader->log), term);
		lognet_destroy(net);
	}
}

/* A member that restarts with a higher term on disk rejoins the group. */
static void test_higher_term_rejoins(void **state)
{
	struct lognet *net = make_net(3);
	struct lognet_node *leader = await_leader(net);
	struct lognet_node *other = &net->nodes[leader->id % 3];
	uint64_t term = cf_replog_term(leader->log);

	(void)state;
	settle(net);
	lognet_crash(net, other);
	other->disk.state.term += 5;
	other->disk.state.vote = other->id;
	lognet_restart(net, other);
	/* The same member leads again within an election timeout. */
	steps(net, ELECTION_MS / LOGNET_STEP_MS - 10);
	assert_ptr_equal(lognet_leader(net), leader);
	assert_true(cf_replog_term(leader->log) > term + 5);
	lognet_propose(net, leader);
	settle(net);
	assert_int_equal(other->applied, lognet_leader(net)->applied);
	lognet_destroy(net);
}

/*
 * A learner catches up and is promoted to voter. A voter that is removed
 * and does not learn of it causes no election.
 */
static void test_replace_member(void **state)
{
	struct lognet *net = make_net(3);
	struct lognet_node *leader = await_leader(net), *added;
	uint32_t removed = leader->id % 3 + 1;
	uint64_t term = cf_replog_term(leader->log);
	struct cf_members m;

	(void)state;
	for (int i = 0; i < 100; i++)
		lognet_propose(net, leader);
	settle(net);
	added = lognet_add(net);
	cf_replog_get_members(leader->log, &m);
	m.learners[m.n_learners++] = added->id;
	assert_int_not_equal(
		cf_replog_propose_members(leader->log, &m, 0, net->now_ms), 0);
	assert_false(cf_replog_caught_up(leader->log, added->id));
	settle(net);
	assert_true(cf_replog_caught_up(leader->log, added->id));
	m.n_learners = 0;
	m.voters[m.n_voters++] = added->id;
	assert_int_not_equal(
		cf_replog_propose_members(leader->log, &m, 0, net->now_ms), 0);
	settle(net);
	for (uint32_t i = 0; i < m.n_voters; i++)
		if (m.voters[i] == removed)
			m.voters[i] = m.voters[--m.n_voters];
	assert_int_not_equal(
		cf_replog_propose_members(leader->log, &m, 0, net->now_ms), 0);
	steps(net, 1000);
	assert_int_equal(cf_replog_term(leader->log), term);
	assert_ptr_equal(lognet_leader(net), leader);
	/* The leader and the new voter form a quorum. */
	for (uint32_t id = 1; id <= 3; id++)
		if (id != leader->id)
			lognet_crash(net, &net->nodes[id - 1]);
	lognet_propose(net, leader);
	settle(net);
	lognet_destroy(net);
}

static void test_leader_removes_itself(void **state)
{
	struct lognet *net = make_net(3);
	struct lognet_node *leader = await_leader(net);
	struct cf_members m;
	uint64_t term;

	(void)state;
	cf_replog_get_members(leader->log, &m);
	for (uint32_t i = 0; i < m.n_voters; i++)
		if (m.voters[i] == leader->id)
			m.voters[i] = m.voters[--m.n_voters];
	cf_replog_propose_members(leader->log, &m, 0, net->now_ms);
	steps(net, 300);
	assert_ptr_not_equal(await_leader(net), leader);
	settle(net);
	term = cf_replog_term(lognet_leader(net)->log);
	steps(net, 500);
	assert_int_equal(cf_replog_term(lognet_leader(net)->log), term);
	lognet_destroy(net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_vote_grants),
		cmocka_unit_test(test_one_vote_a_term),
		cmocka_unit_test(test_vote_needs_sync),
		cmocka_unit_test(test_follower_ignores_votes),
		cmocka_unit_test(test_append),
		cmocka_unit_test(test_older_term_is_not_counted),
		cmocka_unit_test(test_own_copy_counts_when_synced),
		cmocka_unit_test(test_quorum_time),
		cmocka_unit_test(test_leader_without_quorum_steps_down),
		cmocka_unit_test(test_single_voter),
		cmocka_unit_test(test_member_changes),
		cmocka_unit_test(test_removed_voter_campaigns_until_commit),
		cmocka_unit_test(test_lagging_member_gets_snapshot),
		cmocka_unit_test(test_healed_member_causes_no_election),
		cmocka_unit_test(test_higher_term_rejoins),
		cmocka_unit_test(test_replace_member),
		cmocka_unit_test(test_leader_removes_itself),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
