/*
 * test_claim: tables of cases for a voter's ledger and a dispatcher's
 * ballot.
 */
#include "chervilferry.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define WALL_MS 1000000
#define HORIZON_MS 100000
#define SAFE_AFTER_MS 990000
#define A 0xa
#define B 0xb
#define C 0xc

/* ---- Ledger ---- */

static struct cf_key key_at(int64_t time_ms, uint64_t random)
{
	struct cf_key key;

	cf_key_make(&key, time_ms, 0, random);
	return key;
}

struct ledger_case {
	const char *name;
	int64_t key_ms;
	uint32_t epoch;
	uint64_t owner, prior_owner;
	int64_t wall_ms;
	bool may_vote, prior_fenced;
	enum cf_vote vote;
	uint64_t named;
};

static void run_ledger(struct cf_ledger *ledger,
		       const struct ledger_case *cases, size_t n_cases)
{
	for (size_t i = 0; i < n_cases; i++) {
		const struct ledger_case *each = &cases[i];
		struct cf_claim claim = { .key = key_at(each->key_ms, 1),
					  .epoch = each->epoch,
					  .owner = each->owner,
					  .prior_owner = each->prior_owner };
		uint64_t named = 99;
		enum cf_vote vote = cf_ledger_vote(
			ledger, &claim, each->may_vote, each->prior_fenced,
			each->wall_ms, &named);

		if (vote != each->vote || named != each->named)
			fail_msg("%s: vote %d for %x", each->name, vote,
				 (unsigned int)named);
	}
}

static void test_ledger(void **state)
{
	static const struct ledger_case cases[] = {
		{ "first", 999000, 0, A, 0, WALL_MS, true, false, CF_VOTE_FOR,
		  A },
		{ "repeated claim", 999000, 0, A, 0, WALL_MS, true, false,
		  CF_VOTE_FOR, A },
		{ "second owner", 999000, 0, B, 0, WALL_MS, true, false,
		  CF_VOTE_FOR, A },
		{ "no lease, has a vote", 999000, 0, B, 0, WALL_MS, false,
		  false, CF_VOTE_ABSTAIN, A },
		{ "no lease", 999001, 0, B, 0, WALL_MS, false, false,
		  CF_VOTE_ABSTAIN, 0 },
		{ "lease regained", 999001, 0, B, 0, WALL_MS, true, false,
		  CF_VOTE_FOR, B },
		{ "vote may be lost", SAFE_AFTER_MS, 0, A, 0, WALL_MS, true,
		  false, CF_VOTE_ABSTAIN, 0 },
		{ "vote cannot be lost", SAFE_AFTER_MS + 1, 0, A, 0, WALL_MS,
		  true, false, CF_VOTE_FOR, A },
		{ "too old", WALL_MS - HORIZON_MS, 0, A, 0, WALL_MS, true,
		  false, CF_VOTE_TOO_OLD, 0 },
		{ "newest allowed", WALL_MS + CF_CLOCK_SKEW_MS, 0, A, 0,
		  WALL_MS, true, false, CF_VOTE_FOR, A },
		{ "too new", WALL_MS + CF_CLOCK_SKEW_MS + 1, 0, A, 0, WALL_MS,
		  true, false, CF_VOTE_TOO_NEW, 0 },
		{ "owner is not fenced", 999000, 1, B, A, WALL_MS, true, false,
		  CF_VOTE_UNFENCED, A },
		{ "prior owner differs", 999000, 1, B, C, WALL_MS, true, true,
		  CF_VOTE_UNFENCED, A },
		{ "epoch skipped", 999000, 2, B, A, WALL_MS, true, true,
		  CF_VOTE_UNFENCED, A },
		{ "adopted", 999000, 1, B, A, WALL_MS, true, true, CF_VOTE_FOR,
		  B },
		{ "the same adopter", 999000, 1, B, A, WALL_MS, true, true,
		  CF_VOTE_FOR, B },
		{ "another adopter", 999000, 1, C, A, WALL_MS, true, true,
		  CF_VOTE_FOR, B },
		{ "lower epoch", 999000, 0, A, 0, WALL_MS, true, false,
		  CF_VOTE_ABSTAIN, B },
		{ "no vote, not fenced", 999002, 1, B, A, WALL_MS, true, false,
		  CF_VOTE_UNFENCED, 0 },
		{ "no vote, fenced", 999002, 1, B, A, WALL_MS, true, true,
		  CF_VOTE_FOR, B },
		{ "lower epoch, other owner", 999002, 0, C, 0, WALL_MS, true,
		  false, CF_VOTE_ABSTAIN, B },
		{ "epoch out of range", 999003, 65536, B, A, WALL_MS, true,
		  true, CF_VOTE_ABSTAIN, 0 },
	};
	struct cf_ledger *ledger = cf_ledger_create(HORIZON_MS, SAFE_AFTER_MS);

	(void)state;
	run_ledger(ledger, cases, G_N_ELEMENTS(cases));
	cf_ledger_destroy(ledger);
}

static void test_expire_and_save(void **state)
{
	static const struct ledger_case before[] = {
		{ "old", 991000, 0, A, 0, WALL_MS, true, false, CF_VOTE_FOR,
		  A },
		{ "young", 1001000, 0, B, 0, WALL_MS, true, false, CF_VOTE_FOR,
		  B },
	};
	static const struct ledger_case after[] = {
		/* Even though the clock was set back. */
		{ "expired", 991000, 0, B, 0, WALL_MS, true, false,
		  CF_VOTE_TOO_OLD, 0 },
		{ "kept", 1001000, 0, A, 0, WALL_MS, true, false, CF_VOTE_FOR,
		  B },
		{ "new", 1001001, 0, C, 0, WALL_MS, true, false, CF_VOTE_FOR,
		  C },
	};
	struct cf_ledger *first = cf_ledger_create(HORIZON_MS, SAFE_AFTER_MS);
	struct cf_ledger *second = cf_ledger_create(HORIZON_MS, 2000000);
	GBytes *saved, *cut;
	GError *error = NULL;

	(void)state;
	run_ledger(first, before, G_N_ELEMENTS(before));
	cf_ledger_expire(first, 999999 + HORIZON_MS);
	assert_int_equal(cf_ledger_size(first), 1);
	saved = cf_ledger_save(first);
	cut = g_bytes_new_from_bytes(saved, 0, g_bytes_get_size(saved) - 1);
	assert_false(cf_ledger_load(second, cut, &error));
	assert_non_null(error);
	g_clear_error(&error);
	assert_true(cf_ledger_load(second, saved, NULL));
	run_ledger(second, after, G_N_ELEMENTS(after));
	assert_int_equal(cf_ledger_size(second), 2);
	g_bytes_unref(cut);
	g_bytes_unref(saved);
	cf_ledger_destroy(first);
	cf_ledger_destroy(second);
}

/* ---- Ballot ---- */

/* Keys up to 5000 ms need a majority of the first view too. */
static const struct cf_view views[] = {
	{ 10, { { 1, 2, 3 }, 3, { 0 }, 0 }, INT64_MIN },
	{ 20, { { 3, 4, 5 }, 3, { 0 }, 0 }, 5000 },
};

#define VOTES_MAX 6

struct ballot_case {
	const char *name;
	size_t n_views;
	int64_t key_ms;
	uint32_t epoch;
	struct {
		uint32_t member;
		uint64_t view;
		enum cf_vote vote;
		uint64_t owner;
	} votes[VOTES_MAX];
	enum cf_claim_state before_close, closed;
	uint64_t owner;
};

#define FOR CF_VOTE_FOR
#define ABSTAIN CF_VOTE_ABSTAIN
#define OLD CF_VOTE_TOO_OLD
#define NEW CF_VOTE_TOO_NEW

static const struct ballot_case ballot_cases[] = {
	{ "majority",
	  1,
	  9000,
	  0,
	  { { 1, 10, FOR, A }, { 2, 10, FOR, A } },
	  CF_CLAIM_WON,
	  CF_CLAIM_WON,
	  A },
	{ "same voter twice",
	  1,
	  9000,
	  0,
	  { { 1, 10, FOR, A }, { 1, 10, FOR, A } },
	  CF_CLAIM_OPEN,
	  CF_CLAIM_UNSAFE,
	  0 },
	{ "not a voter",
	  1,
	  9000,
	  0,
	  { { 1, 10, FOR, A }, { 7, 10, FOR, A } },
	  CF_CLAIM_OPEN,
	  CF_CLAIM_UNSAFE,
	  0 },
	{ "owned by another",
	  1,
	  9000,
	  0,
	  { { 1, 10, FOR, B }, { 2, 10, FOR, B } },
	  CF_CLAIM_OWNED,
	  CF_CLAIM_OWNED,
	  B },
	{ "may be owned by another",
	  1,
	  9000,
	  0,
	  { { 1, 10, FOR, B } },
	  CF_CLAIM_OPEN,
	  CF_CLAIM_OWNED,
	  B },
	{ "split three ways",
	  1,
	  9000,
	  0,
	  { { 1, 10, FOR, A }, { 2, 10, FOR, B }, { 3, 10, FOR, C } },
	  CF_CLAIM_LOST,
	  CF_CLAIM_LOST,
	  0 },
	{ "split, one missing",
	  1,
	  9000,
	  0,
	  { { 1, 10, FOR, A }, { 2, 10, FOR, B } },
	  CF_CLAIM_OPEN,
	  CF_CLAIM_OWNED,
	  B },
	{ "two abstain",
	  1,
	  9000,
	  0,
	  { { 1, 10, FOR, A }, { 2, 10, ABSTAIN, 0 }, { 3, 10, ABSTAIN, 0 } },
	  CF_CLAIM_UNSAFE,
	  CF_CLAIM_UNSAFE,
	  0 },
	{ "abstains, but names an owner",
	  1,
	  9000,
	  0,
	  { { 1, 10, FOR, A }, { 2, 10, ABSTAIN, B }, { 3, 10, ABSTAIN, 0 } },
	  CF_CLAIM_OWNED,
	  CF_CLAIM_OWNED,
	  B },
	{ "too old",
	  1,
	  9000,
	  0,
	  { { 1, 10, OLD, 0 }, { 2, 10, OLD, 0 }, { 3, 10, OLD, 0 } },
	  CF_CLAIM_UNSAFE,
	  CF_CLAIM_UNSAFE,
	  0 },
	{ "too new",
	  1,
	  9000,
	  0,
	  { { 1, 10, NEW, 0 }, { 2, 10, NEW, 0 }, { 3, 10, NEW, 0 } },
	  CF_CLAIM_TOO_NEW,
	  CF_CLAIM_TOO_NEW,
	  0 },
	{ "nobody answered",
	  1,
	  9000,
	  0,
	  { { 0 } },
	  CF_CLAIM_OPEN,
	  CF_CLAIM_UNSAFE,
	  0 },
	{ "no view", 0, 9000, 0, { { 0 } }, CF_CLAIM_OPEN, CF_CLAIM_UNSAFE, 0 },
	{ "votes of another view",
	  1,
	  9000,
	  0,
	  { { 1, 9, FOR, A }, { 2, 9, FOR, A }, { 3, 10, FOR, A } },
	  CF_CLAIM_UNSAFE,
	  CF_CLAIM_UNSAFE,
	  0 },
	{ "adoption not won",
	  1,
	  9000,
	  1,
	  { { 1, 10, FOR, A }, { 2, 10, FOR, B }, { 3, 10, FOR, C } },
	  CF_CLAIM_UNSAFE,
	  CF_CLAIM_UNSAFE,
	  0 },
	{ "newest view is enough",
	  2,
	  5001,
	  0,
	  { { 4, 20, FOR, A }, { 5, 20, FOR, A } },
	  CF_CLAIM_WON,
	  CF_CLAIM_WON,
	  A },
	{ "older view too",
	  2,
	  5000,
	  0,
	  { { 4, 20, FOR, A }, { 5, 20, FOR, A } },
	  CF_CLAIM_OPEN,
	  CF_CLAIM_UNSAFE,
	  0 },
	{ "both views",
	  2,
	  5000,
	  0,
	  { { 4, 20, FOR, A }, { 3, 20, FOR, A }, { 2, 20, FOR, A } },
	  CF_CLAIM_WON,
	  CF_CLAIM_WON,
	  A },
	/* B may have won while 1 and 2 knew only the first view. */
	{ "won in the older view",
	  2,
	  5000,
	  0,
	  { { 3, 20, FOR, A },
	    { 4, 20, FOR, A },
	    { 5, 20, FOR, A },
	    { 1, 10, FOR, B },
	    { 2, 10, FOR, B } },
	  CF_CLAIM_OWNED,
	  CF_CLAIM_OWNED,
	  B },
};

static void test_ballot(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(ballot_cases); i++) {
		const struct ballot_case *each = &ballot_cases[i];
		struct cf_claim claim = { .key = key_at(each->key_ms, 1),
					  .epoch = each->epoch,
					  .owner = A };
		struct cf_ballot *ballot =
			cf_ballot_create(&claim, views, each->n_views);
		enum cf_claim_state before = CF_CLAIM_OPEN, closed;

		for (size_t v = 0; v < VOTES_MAX && each->votes[v].member; v++)
			before = cf_ballot_add(ballot, each->votes[v].member,
					       each->votes[v].view,
					       each->votes[v].vote,
					       each->votes[v].owner);
		closed = cf_ballot_close(ballot);
		if (before != each->before_close || closed != each->closed ||
		    cf_ballot_owner(ballot) != each->owner)
			fail_msg("%s: %d, closed %d", each->name, before,
				 closed);
		assert_int_equal(cf_ballot_add(ballot, 1, 10, FOR, C), closed);
		cf_ballot_destroy(ballot);
	}
}

/*
 * A voter accepts keys up to one clock skew ahead of its clock, which may be
 * one skew ahead of the leader's clock. So the horizon of a view must include
 * the skew twice. Here voters 1 and 2, with clocks ahead, vote for A in the
 * first view just before their leases end; B then claims the key in the view
 * that replaced voter 2. With one skew, both win.
 */
static void test_view_horizon(void **state)
{
	static const struct {
		const char *name;
		int64_t skews_ms;
		bool both_win;
	} cases[] = {
		{ "one skew", CF_CLOCK_SKEW_MS, true },
		{ "two skews", INT64_C(2) * CF_CLOCK_SKEW_MS, false },
	};
	const int64_t lease_ms = 2500, change_ms = WALL_MS;
	const int64_t vote_ms = change_ms + lease_ms;
	struct cf_claim a = { .owner = A }, b = { .owner = B };

	(void)state;
	a.key = key_at(vote_ms + CF_CLOCK_SKEW_MS + CF_CLOCK_SKEW_MS - 1, 1);
	b.key = a.key;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_view two[] = {
			{ 10, { { 1, 2, 3 }, 3, { 0 }, 0 }, INT64_MIN },
			{ 20,
			  { { 1, 3, 4 }, 3, { 0 }, 0 },
			  change_ms + lease_ms + cases[i].skews_ms },
		};
		struct cf_ballot *older = cf_ballot_create(&a, two, 1);
		struct cf_ballot *newer = cf_ballot_create(&b, two, 2);
		bool both;

		for (uint32_t id = 1; id <= 4; id++) {
			struct cf_ledger *ledger =
				cf_ledger_create(HORIZON_MS, WALL_MS);
			uint64_t owner;
			enum cf_vote vote;

			if (id <= 2) {
				vote = cf_ledger_vote(
					ledger, &a, true, false,
					vote_ms + CF_CLOCK_SKEW_MS - 1, &owner);
				cf_ballot_add(older, id, 10, vote, owner);
			} else {
				vote = cf_ledger_vote(ledger, &b, true, false,
						      cf_key_time_ms(&b.key),
						      &owner);
				cf_ballot_add(newer, id, 20, vote, owner);
			}
			cf_ledger_destroy(ledger);
		}
		assert_int_equal(cf_ballot_close(older), CF_CLAIM_WON);
		both = cf_ballot_close(newer) == CF_CLAIM_WON;
		if (both != cases[i].both_win)
			fail_msg("%s", cases[i].name);
		cf_ballot_destroy(older);
		cf_ballot_destroy(newer);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ledger),
		cmocka_unit_test(test_expire_and_save),
		cmocka_unit_test(test_ballot),
		cmocka_unit_test(test_view_horizon),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
