/*
 * coordinator_claims: this member's votes on claims to job keys. Votes
 * are kept in memory. A clean stop saves them to a file; the next start
 * loads it, removes it and syncs the removal before it casts any vote.
 * After an unclean end, this member abstains on all keys that it may have
 * voted on before.
 */
#include "coordinator/coordinator.h"

#include "base/clock.h"
#include "base/logger.h"
#include "base/trace_file.h"

/* ---- Constants ----------------------------------------------------- */

#define CLAIMS_MAX 65536 /* per request */
#define HEX G_GINT64_MODIFIER "x"

/* ---- Ledger -------------------------------------------------------- */

bool coordinator_open_ledger(struct coordinator *c, int64_t wall_ms,
			     GError **error)
{
	g_autoptr(GError) load_error = NULL;
	g_autoptr(GBytes) saved =
		store_get_file(c->data_folder, LEDGER_FILE, &load_error);
	int64_t safe_after_ms = wall_ms + CF_CLOCK_SKEW_MS;

	if (saved) {
		c->ledger = cf_ledger_create(CF_LEDGER_HORIZON_MS, 0);
		if (cf_ledger_load(c->ledger, saved, &load_error)) {
			trace_event("ledger", "safe_after=0 loaded=1");
			return store_remove_file(c->data_folder, LEDGER_FILE,
						 error);
		}
		cf_ledger_destroy(c->ledger);
	}
	if (load_error)
		log_event(LOG_WARN, "ledger_lost", "why=\"%s\"",
			  load_error->message);
	c->ledger = cf_ledger_create(CF_LEDGER_HORIZON_MS, safe_after_ms);
	c->abstain_until_ms = safe_after_ms;
	trace_event("ledger", "safe_after=%" G_GINT64_FORMAT " loaded=0",
		    safe_after_ms);
	log_event(LOG_INFO, "ledger_empty",
		  "abstains_until_key_ms=%" G_GINT64_FORMAT, safe_after_ms);
	return !load_error ||
	       store_remove_file(c->data_folder, LEDGER_FILE, error);
}

void coordinator_save_ledger(struct coordinator *c)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) saved = cf_ledger_save(c->ledger);

	if (!store_put_file(c->data_folder, LEDGER_FILE, saved, &error))
		log_event(LOG_WARN, "ledger_not_saved", "why=\"%s\"",
			  error->message);
}

/* ---- Votes --------------------------------------------------------- */

static bool is_voter(const struct coordinator *c)
{
	const struct cf_member *self = cf_config_find_member(c->config, c->id);

	return self && self->voter;
}

/* A member that is cut off or removed stops voting when its lease ends.
 * A member that has not yet applied the revision confirmed by its lease
 * may hold a stale view, so it doesn't vote either. */
static bool may_vote(const struct coordinator *c, int64_t now_ms)
{
	if (c->stopping || !group_healthy(c->group) || !is_voter(c))
		return false;
	if (c->leadership)
		return coordinator_may_grant(c, now_ms) &&
		       coordinator_view_is_stable(c);
	return cf_lease_held(c->voter_lease, now_ms) &&
	       cf_config_revision(c->config) >=
		       cf_lease_revision(c->voter_lease);
}

static uint64_t newest_view(const struct coordinator *c)
{
	const struct cf_view *views;
	size_t n = cf_config_views(c->config, &views);

	return n ? views[n - 1].number : 0;
}

static const char *vote_name(enum cf_vote vote)
{
	static const char *const names[] = {
		[CF_VOTE_FOR] = "for",           [CF_VOTE_ABSTAIN] = "abstain",
		[CF_VOTE_TOO_OLD] = "too_old",   [CF_VOTE_TOO_NEW] = "too_new",
		[CF_VOTE_UNFENCED] = "unfenced",
	};

	return names[vote];
}

/* Records the inputs and the result of a vote; "trace replay" repeats the
 * decision and compares. */
static void trace_vote(const struct cf_claim *claim, bool can_vote, bool fenced,
		       int64_t wall_ms, uint64_t owner, enum cf_vote vote,
		       uint64_t view)
{
	char key[CF_KEY_TEXT_SIZE];

	if (!trace_enabled())
		return;
	cf_key_format(&claim->key, key);
	trace_event("vote",
		    "key=%s epoch=%u owner=%016" HEX
		    " verdict=%s view=%" G_GUINT64_FORMAT " asker=%016" HEX
		    " prior=%016" HEX " may=%d prior_fenced=%d"
		    " wall=%" G_GINT64_FORMAT,
		    key, claim->epoch, owner, vote_name(vote), view,
		    claim->owner, claim->prior_owner, can_vote, fenced,
		    wall_ms);
}

static bool vote(struct coordinator *c, const struct Cfw__Claim *request,
		 bool can_vote, struct Cfw__Vote *reply)
{
	struct cf_claim claim = { .epoch = request->epoch,
				  .owner = request->owner,
				  .prior_owner = request->prior_owner };
	uint64_t owner = 0;
	int64_t wall_ms = clock_wall_ms();
	enum cf_vote verdict;
	bool fenced;

	if (request->key.len != CF_KEY_SIZE || !request->owner)
		return false;
	memcpy(claim.key.bytes, request->key.data, CF_KEY_SIZE);
	fenced = cf_config_is_fenced(c->config, claim.prior_owner);
	verdict = cf_ledger_vote(c->ledger, &claim, can_vote, fenced, wall_ms,
				 &owner);
	trace_vote(&claim, can_vote, fenced, wall_ms, owner, verdict,
		   newest_view(c));
	counter_add(verdict == CF_VOTE_FOR ? c->counters.votes_for
					   : c->counters.votes_none,
		    1);
	cfw__vote__init(reply);
	reply->key = request->key;
	reply->epoch = request->epoch;
	reply->owner = owner;
	reply->verdict = verdict;
	return true;
}

static size_t cast_votes(struct coordinator *c, bool can_vote,
			 const struct Cfw__ClaimRequest *request,
			 struct Cfw__Vote *votes, struct Cfw__Vote **pointers)
{
	size_t n = 0;

	for (size_t i = 0; i < request->n_claims; i++) {
		if (vote(c, request->claims[i], can_vote, &votes[n])) {
			pointers[n] = &votes[n];
			n++;
		} else {
			counter_add(c->counters.dropped, 1);
		}
	}
	return n;
}

void coordinator_claim_request(struct coordinator *c, struct link *link,
			       const struct Cfw__ClaimRequest *request)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	struct Cfw__ClaimReply reply = CFW__CLAIM_REPLY__INIT;
	struct Cfw__Vote *votes;
	struct Cfw__Vote **pointers;
	bool can_vote = may_vote(c, loop_now_ms(c->loop));

	if (request->n_claims > CLAIMS_MAX) {
		counter_add(c->counters.dropped, 1);
		return;
	}
	votes = g_new(struct Cfw__Vote, request->n_claims);
	pointers = g_new(struct Cfw__Vote *, request->n_claims);
	reply.n_votes = cast_votes(c, can_vote, request, votes, pointers);
	reply.seq = request->seq;
	reply.member_id = c->id;
	reply.incarnation = c->incarnation;
	reply.view = newest_view(c);
	reply.not_voting = !can_vote;
	reply.votes = pointers;
	envelope.body_case = CFW__ENVELOPE__BODY_CLAIM_REPLY;
	envelope.claim_reply = &reply;
	link_send(link, &envelope);
	g_free(pointers);
	g_free(votes);
}
