/*
 * replog_start: shortens the time without a leader after all members have
 * restarted together; until a leader is elected, nothing is served.
 *
 * A member that has just started takes part in no election for one election
 * timeout, because its previous incarnation may have acknowledged a leader
 * that relies on it. Meanwhile it queries the other voters. Once every one
 * of them has replied to this incarnation that it is no leader and knows
 * none, that earlier leader can no longer be leading, and the election
 * starts at once. If any voter does not reply, the member waits out the
 * timeout, and then campaigns without the random part of it.
 *
 * A pre-vote request is ignored by members that still wait, so it is repeated
 * at short intervals until the first leader is known. Members with a lower id
 * are first in each round, and a member that grants a pre-vote lets that
 * candidate go first; this makes a split vote unlikely.
 */
#include "lib/replog_internal.h"

/* ---- Constants ------------------------------------------------------ */

/* Leader queries are repeated this many times per election timeout. */
#define QUERIES_PER_TIMEOUT 15
/* Voters campaign election_ms / this apart, in the order of their ids. */
#define ELECTION_STAGGER_DIVISOR 8
/* Until the first leader is known, pre-votes are repeated this often. */
#define PRE_VOTES_PER_TIMEOUT 6

/* ---- Queries -------------------------------------------------------- */

static bool knows_no_leader(const struct cf_replog *log)
{
	return log->role != REPLOG_LEADER && !log->leader;
}

static bool is_startup_wait(const struct cf_replog *log)
{
	return log->no_leader_since_start && knows_no_leader(log) &&
	       log->now_ms - log->last_contact_ms < log->election_ms;
}

void replog_send_leader_queries(struct cf_replog *log)
{
	if (!is_startup_wait(log) || log->members.n_voters < 2 ||
	    log->now_ms - log->query_sent_ms <
		    log->election_ms / QUERIES_PER_TIMEOUT)
		return;
	log->query_sent_ms = log->now_ms;
	for (size_t i = 0; i < log->n_peers; i++) {
		const struct replog_peer *peer = &log->peers[i];

		if (peer->voter && peer->id != log->id)
			replog_message(log, CF_REPLOG_LEADER_QUERY, peer->id)
				->sent_ms = log->incarnation;
	}
}

void replog_on_leader_query(struct cf_replog *log,
			    const struct cf_replog_message *m)
{
	if (knows_no_leader(log))
		replog_message(log, CF_REPLOG_NO_LEADER_REPLY, m->from)
			->sent_ms = m->sent_ms;
}

/* ---- Replies -------------------------------------------------------- */

static bool all_voters_report_no_leader(const struct cf_replog *log)
{
	for (size_t i = 0; i < log->n_peers; i++) {
		const struct replog_peer *peer = &log->peers[i];

		if (peer->voter && peer->id != log->id &&
		    !peer->reported_no_leader)
			return false;
	}
	return true;
}

/* Number of voters with a lower id, which campaign earlier. */
static int64_t rank_among_voters(const struct cf_replog *log)
{
	int64_t n = 0;

	for (size_t i = 0; i < log->n_peers; i++)
		n += log->peers[i].voter && log->peers[i].id < log->id;
	return n;
}

static int64_t stagger_ms(const struct cf_replog *log)
{
	return rank_among_voters(log) * log->election_ms /
	       ELECTION_STAGGER_DIVISOR;
}

void replog_on_no_leader_reply(struct cf_replog *log,
			       const struct cf_replog_message *m)
{
	struct replog_peer *peer = replog_peer(log, m->from);

	if (!peer || m->sent_ms != log->incarnation || !is_startup_wait(log))
		return;
	peer->reported_no_leader = true;
	if (!all_voters_report_no_leader(log))
		return;
	log->last_contact_ms = log->now_ms - log->election_ms;
	log->election_at_ms = log->now_ms + stagger_ms(log);
}

/* ---- Campaigns before the first leader ------------------------------- */

void replog_schedule_first_campaign(struct cf_replog *log)
{
	log->election_at_ms = log->now_ms + log->election_ms + stagger_ms(log);
}

void replog_schedule_next_pre_vote(struct cf_replog *log)
{
	if (log->no_leader_since_start)
		log->election_at_ms = log->now_ms + stagger_ms(log) +
				      log->election_ms / PRE_VOTES_PER_TIMEOUT;
}

void replog_yield_to_candidate(struct cf_replog *log)
{
	int64_t after_ms = log->election_ms / PRE_VOTES_PER_TIMEOUT;

	if (log->no_leader_since_start)
		log->election_at_ms =
			MAX(log->election_at_ms,
			    log->now_ms + after_ms + stagger_ms(log));
}
