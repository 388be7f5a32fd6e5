/*
 * ballot: a dispatcher's count of the votes for one claim, over the newest
 * view and every older view that still covers the time of the key.
 *
 * A voter whose vote is unknown (no reply, an abstention, or a reply from
 * another view) may have voted for any owner. An owner that could reach a
 * majority of the oldest of these views with the unknown votes may already
 * own the key.
 */
#include "chervilferry.h"

/* ---- Constants ---- */

#define VOTERS_MAX 64 /* distinct voters of all counted views */

/* ---- Types ---- */

struct ballot_voter {
	uint32_t member;
	bool answered;
	bool in_newest_view; /* replied from it; only then FOR is a vote */
	enum cf_vote vote;
	uint64_t owner;
};

struct cf_ballot {
	struct cf_claim claim;
	struct cf_view *views; /* the counted ones, newest last */
	size_t n_views;
	struct ballot_voter voters[VOTERS_MAX];
	size_t n_voters;
	enum cf_claim_state state;
	uint64_t owner;
};

/* ---- Construction ---- */

static struct ballot_voter *find_voter(struct cf_ballot *ballot,
				       uint32_t member)
{
	for (size_t i = 0; i < ballot->n_voters; i++) {
		if (ballot->voters[i].member == member)
			return &ballot->voters[i];
	}
	return NULL;
}

static void add_voters(struct cf_ballot *ballot, const struct cf_members *from)
{
	for (uint32_t i = 0; i < from->n_voters; i++) {
		if (!find_voter(ballot, from->voters[i]) &&
		    ballot->n_voters < VOTERS_MAX)
			ballot->voters[ballot->n_voters++].member =
				from->voters[i];
	}
}

struct cf_ballot *cf_ballot_create(const struct cf_claim *claim,
				   const struct cf_view *views, size_t n_views)
{
	struct cf_ballot *ballot = g_new0(struct cf_ballot, 1);
	int64_t time_ms = cf_key_time_ms(&claim->key);
	size_t oldest = n_views;

	ballot->claim = *claim;
	while (oldest > 0) {
		oldest--;
		add_voters(ballot, &views[oldest].members);
		if (time_ms > views[oldest].horizon_ms)
			break;
	}
	ballot->n_views = n_views - oldest;
	if (ballot->n_views)
		ballot->views = g_memdup2(views + oldest,
					  ballot->n_views * sizeof(*views));
	return ballot;
}

void cf_ballot_destroy(struct cf_ballot *ballot)
{
	if (!ballot)
		return;
	g_free(ballot->views);
	g_free(ballot);
}

/* ---- Counting ---- */

static bool has_vote(const struct ballot_voter *voter, uint64_t owner)
{
	return voter->answered && voter->in_newest_view &&
	       voter->vote == CF_VOTE_FOR && voter->owner == owner;
}

static bool is_unknown(const struct ballot_voter *voter)
{
	return !voter->answered || !voter->in_newest_view ||
	       (voter->vote != CF_VOTE_FOR && voter->vote != CF_VOTE_TOO_NEW);
}

static bool has_majority_in(struct cf_ballot *ballot,
			    const struct cf_members *members, uint64_t owner,
			    bool with_unknown)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < members->n_voters; i++) {
		const struct ballot_voter *voter =
			find_voter(ballot, members->voters[i]);

		if (has_vote(voter, owner) ||
		    (with_unknown && is_unknown(voter)))
			count++;
	}
	return count >= members->n_voters / 2 + 1;
}

static bool has_won(struct cf_ballot *ballot)
{
	for (size_t v = 0; v < ballot->n_views; v++) {
		if (!has_majority_in(ballot, &ballot->views[v].members,
				     ballot->claim.owner, false))
			return false;
	}
	return ballot->n_views > 0;
}

/*
 * Whether the owner has, or with the unknown votes could have, won the key.
 * Only the oldest counted view matters: an owner that had not received a newer
 * view needed a majority of that one only. Owner 0 is any owner that no voter
 * has named.
 */
static bool could_own(struct cf_ballot *ballot, uint64_t owner,
		      bool with_unknown)
{
	return ballot->n_views > 0 &&
	       has_majority_in(ballot, &ballot->views[0].members, owner,
			       with_unknown);
}

static uint32_t votes_for(const struct cf_ballot *ballot, uint64_t owner)
{
	uint32_t count = 0;

	for (size_t i = 0; i < ballot->n_voters; i++)
		count += has_vote(&ballot->voters[i], owner);
	return count;
}

/* The other named owner with the most votes that has, or could have, won. */
static uint64_t best_other_owner(struct cf_ballot *ballot, bool with_unknown)
{
	uint64_t best = 0;

	for (size_t i = 0; i < ballot->n_voters; i++) {
		uint64_t owner = ballot->voters[i].owner;

		if (!owner || owner == ballot->claim.owner ||
		    !could_own(ballot, owner, with_unknown))
			continue;
		if (!best || votes_for(ballot, owner) > votes_for(ballot, best))
			best = owner;
	}
	return best;
}

static bool any_vote(const struct cf_ballot *ballot, enum cf_vote vote)
{
	for (size_t i = 0; i < ballot->n_voters; i++) {
		if (ballot->voters[i].answered &&
		    ballot->voters[i].vote == vote)
			return true;
	}
	return false;
}

static bool all_answered(const struct cf_ballot *ballot)
{
	for (size_t i = 0; i < ballot->n_voters; i++) {
		if (!ballot->voters[i].answered)
			return false;
	}
	return true;
}

static void set_outcome(struct cf_ballot *ballot, enum cf_claim_state state,
			uint64_t owner)
{
	ballot->state = state;
	ballot->owner = owner;
}

/* ---- Outcome ---- */

enum cf_claim_state cf_ballot_add(struct cf_ballot *ballot, uint32_t member,
				  uint64_t view, enum cf_vote vote,
				  uint64_t owner)
{
	struct ballot_voter *voter = find_voter(ballot, member);
	uint64_t other;

	if (!voter || ballot->state != CF_CLAIM_OPEN)
		return ballot->state;
	/* A vote is final; later replies do not replace it. */
	if (voter->answered && voter->in_newest_view &&
	    voter->vote == CF_VOTE_FOR)
		return ballot->state;
	voter->answered = true;
	voter->in_newest_view = view ==
				ballot->views[ballot->n_views - 1].number;
	voter->vote = vote;
	voter->owner = owner;
	if (has_won(ballot)) {
		set_outcome(ballot, CF_CLAIM_WON, ballot->claim.owner);
		return ballot->state;
	}
	other = best_other_owner(ballot, false);
	if (other)
		set_outcome(ballot, CF_CLAIM_OWNED, other);
	else if (all_answered(ballot))
		cf_ballot_close(ballot);
	return ballot->state;
}

enum cf_claim_state cf_ballot_close(struct cf_ballot *ballot)
{
	uint64_t other;

	if (ballot->state != CF_CLAIM_OPEN)
		return ballot->state;
	other = best_other_owner(ballot, true);
	if (other)
		set_outcome(ballot, CF_CLAIM_OWNED, other);
	else if (!ballot->n_views || ballot->claim.epoch > 0 ||
		 any_vote(ballot, CF_VOTE_TOO_OLD) ||
		 could_own(ballot, 0, true))
		set_outcome(ballot, CF_CLAIM_UNSAFE, 0);
	else if (any_vote(ballot, CF_VOTE_TOO_NEW))
		set_outcome(ballot, CF_CLAIM_TOO_NEW, 0);
	else
		set_outcome(ballot, CF_CLAIM_LOST, 0);
	return ballot->state;
}

uint64_t cf_ballot_owner(const struct cf_ballot *ballot)
{
	return ballot->owner;
}
