/*
 * replog_election: pre-vote, vote and leadership handover.
 */
#include "lib/replog_internal.h"

#include <xxhash.h>

/* ---- Roles ---------------------------------------------------------- */

void replog_reset_election(struct cf_replog *log)
{
	uint64_t draw = XXH64(&log->draws, sizeof(log->draws), log->seed);

	log->draws++;
	log->election_at_ms = log->now_ms + log->election_ms +
			      (int64_t)(draw % (uint64_t)log->election_ms);
}

void replog_become_follower(struct cf_replog *log, uint64_t term,
			    uint32_t leader)
{
	if (term > log->state.term) {
		log->state.term = term;
		log->state.vote = 0;
	}
	log->role = REPLOG_FOLLOWER;
	log->leader = leader;
	log->send_pending = false;
	replog_reset_election(log);
}

static size_t count_granted(const struct cf_replog *log)
{
	size_t n = 0;

	for (size_t i = 0; i < log->n_peers; i++)
		n += log->peers[i].voter && log->peers[i].vote_granted;
	return n;
}

/* ---- Candidates ----------------------------------------------------- */

static void send_vote_requests(struct cf_replog *log, bool pre_vote)
{
	for (size_t i = 0; i < log->n_peers; i++) {
		const struct replog_peer *peer = &log->peers[i];
		struct cf_replog_message *m;

		if (!peer->voter || peer->id == log->id)
			continue;
		m = replog_message(
			log, pre_vote ? CF_REPLOG_PREVOTE : CF_REPLOG_VOTE,
			peer->id);
		m->term = log->state.term + (pre_vote ? 1 : 0);
		m->index = cf_replog_last_index(log);
		m->log_term = replog_last_term(log);
	}
}

void replog_campaign(struct cf_replog *log, bool pre_vote)
{
	log->leader = 0;
	replog_reset_election(log);
	for (size_t i = 0; i < log->n_peers; i++)
		log->peers[i].vote_granted = log->peers[i].id == log->id;
	if (pre_vote && count_granted(log) < replog_quorum(log)) {
		log->role = REPLOG_PRE_CANDIDATE;
		replog_schedule_next_pre_vote(log);
		send_vote_requests(log, true);
		return;
	}
	log->role = REPLOG_CANDIDATE;
	log->state.term++;
	log->state.vote = log->id;
	if (count_granted(log) >= replog_quorum(log))
		replog_become_leader(log);
	else
		send_vote_requests(log, false);
}

/*
 * A voter that a membership change removes may campaign until the change
 * is committed (section 4.2.2 of Ongaro's thesis). It may hold entries that
 * the others need, and they refuse to vote for each other's shorter logs.
 */
bool replog_may_campaign(const struct cf_replog *log)
{
	const struct replog_peer *self = replog_self(log);
	struct cf_members before;

	if (self && self->voter)
		return true;
	if (log->members_index <= log->state.commit)
		return false;
	before = replog_members_at(log, log->members_index - 1);
	for (uint32_t i = 0; i < before.n_voters; i++)
		if (before.voters[i] == log->id)
			return true;
	return false;
}

void replog_election_tick(struct cf_replog *log)
{
	bool single_voter = log->members.n_voters == 1 &&
			    log->members.voters[0] == log->id;

	if ((single_voter || log->now_ms >= log->election_at_ms) &&
	    replog_may_campaign(log))
		replog_campaign(log, true);
}

void replog_on_vote_reply(struct cf_replog *log,
			  const struct cf_replog_message *m)
{
	struct replog_peer *peer = replog_peer(log, m->from);
	bool pre_vote = m->kind == CF_REPLOG_PREVOTE_REPLY;
	enum replog_role role = pre_vote ? REPLOG_PRE_CANDIDATE
					 : REPLOG_CANDIDATE;
	uint64_t term = log->state.term + (pre_vote ? 1 : 0);

	if (log->role != role || m->term != term || m->reject || !peer)
		return;
	peer->vote_granted = true;
	if (count_granted(log) < replog_quorum(log))
		return;
	if (pre_vote)
		replog_campaign(log, false);
	else
		replog_become_leader(log);
}

/* ---- Handover ------------------------------------------------------- */

/*
 * After a handover, the followers campaign at random times within
 * election_ms / HANDOVER_JITTER_DIVISOR, to avoid a split vote.
 */
#define HANDOVER_JITTER_DIVISOR 8

/* Makes the next election start sooner. Any up-to-date voter may win it. */
void cf_replog_hand_over(struct cf_replog *log, int64_t now_ms)
{
	log->now_ms = MAX(log->now_ms, now_ms);
	if (log->role != REPLOG_LEADER || log->members.n_voters < 2)
		return;
	for (size_t i = 0; i < log->n_peers; i++) {
		const struct replog_peer *peer = &log->peers[i];

		if (!peer->voter || peer->id == log->id)
			continue;
		replog_message(log, CF_REPLOG_HANDOVER, peer->id)->commit =
			log->state.commit;
	}
	replog_become_follower(log, log->state.term, 0);
	log->last_contact_ms = log->now_ms - log->election_ms;
}

void replog_on_handover(struct cf_replog *log,
			const struct cf_replog_message *m)
{
	int64_t jitter_ms = MAX(log->election_ms / HANDOVER_JITTER_DIVISOR, 1);

	if (log->leader != m->from)
		return;
	replog_become_follower(log, m->term, 0);
	log->last_contact_ms = log->now_ms - log->election_ms;
	log->election_at_ms =
		log->now_ms + (log->election_at_ms - log->now_ms) % jitter_ms;
}

/* ---- Voters --------------------------------------------------------- */

/*
 * A member that has recently received a message from a leader ignores vote
 * requests, except those of that leader itself.
 */
bool replog_ignores_votes(const struct cf_replog *log, uint32_t candidate)
{
	if (log->role == REPLOG_LEADER)
		return true;
	if (log->leader && log->leader == candidate)
		return false;
	return log->now_ms - log->last_contact_ms < log->election_ms;
}

static bool is_up_to_date(const struct cf_replog *log,
			  const struct cf_replog_message *m)
{
	uint64_t term = replog_last_term(log);

	if (m->log_term != term)
		return m->log_term > term;
	return m->index >= cf_replog_last_index(log);
}

static void on_prevote(struct cf_replog *log, const struct cf_replog_message *m)
{
	struct cf_replog_message *reply;
	bool grant;

	if (replog_ignores_votes(log, m->from))
		return;
	grant = m->term > log->state.term && is_up_to_date(log, m);
	reply = replog_message(log, CF_REPLOG_PREVOTE_REPLY, m->from);
	reply->reject = !grant;
	if (grant) {
		reply->term = m->term;
		replog_yield_to_candidate(log);
	}
}

void replog_on_vote_request(struct cf_replog *log,
			    const struct cf_replog_message *m)
{
	struct cf_replog_message *reply;
	bool grant;

	if (m->kind == CF_REPLOG_PREVOTE) {
		on_prevote(log, m);
		return;
	}
	grant = (!log->state.vote || log->state.vote == m->from) &&
		is_up_to_date(log, m);
	if (grant) {
		replog_become_follower(log, m->term, log->leader);
		log->state.vote = m->from;
	}
	reply = replog_message(log, CF_REPLOG_VOTE_REPLY, m->from);
	reply->reject = !grant;
}
