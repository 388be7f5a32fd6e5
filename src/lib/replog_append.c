/*
 * replog_append: replication, the commit index, snapshots to members
 * whose next entry is no longer in the log, and check-quorum.
 */
#include "lib/replog_internal.h"

#include <stdlib.h>

/* Election timeouts without a reply before a snapshot is sent again. */
#define SNAPSHOT_RESEND_TIMEOUTS 4

/* ---- Leader: sending ------------------------------------------------ */

static void fill_batch(struct cf_replog *log, struct cf_replog_message *m,
		       uint64_t from)
{
	uint64_t last = cf_replog_last_index(log), to = from;
	size_t bytes = 0;
	GArray *entries;

	while (to <= last) {
		GBytes *data = replog_entry_at(log, to)->data;

		bytes += data ? g_bytes_get_size(data) : 0;
		if (to > from && bytes > log->batch_bytes)
			break;
		to++;
	}
	entries = g_array_new(FALSE, FALSE, sizeof(struct cf_entry));
	replog_copy_entries(log, from, to - 1, entries);
	m->n_entries = entries->len;
	m->entries = (struct cf_entry *)g_array_free(entries, FALSE);
}

static void send_snapshot(struct cf_replog *log, struct replog_peer *peer)
{
	struct cf_replog_message *m =
		replog_message(log, CF_REPLOG_SNAPSHOT, peer->id);

	m->index = log->snapshot.index;
	m->log_term = log->snapshot.term;
	m->commit = log->state.commit;
	m->members = log->snapshot.members;
	m->sent_ms = log->now_ms;
	if (log->snapshot.data)
		m->snapshot = g_bytes_ref(log->snapshot.data);
	peer->state = PEER_SNAPSHOT;
	peer->snapshot_ms = log->now_ms;
}

/* Heartbeat for a member that is still receiving a snapshot. */
static void send_empty_append(struct cf_replog *log, struct replog_peer *peer)
{
	struct cf_replog_message *m =
		replog_message(log, CF_REPLOG_APPEND, peer->id);

	m->sent_ms = log->now_ms;
}

static void send_append(struct cf_replog *log, struct replog_peer *peer,
			bool heartbeat)
{
	uint64_t last = cf_replog_last_index(log), term = 0;
	struct cf_replog_message *m;
	bool entries;

	if (peer->state == PEER_SNAPSHOT) {
		if (log->now_ms - peer->snapshot_ms >=
		    SNAPSHOT_RESEND_TIMEOUTS * log->election_ms)
			send_snapshot(log, peer);
		else if (heartbeat)
			send_empty_append(log, peer);
		return;
	}
	if (!replog_term_at(log, peer->next_index - 1, &term)) {
		send_snapshot(log, peer);
		return;
	}
	entries = peer->next_index <= last;
	if (peer->state == PEER_PROBE && peer->probe_sent) {
		if (!heartbeat)
			return;
		entries = false;
	}
	m = replog_message(log, CF_REPLOG_APPEND, peer->id);
	m->index = peer->next_index - 1;
	m->log_term = term;
	m->commit = log->state.commit;
	m->sent_ms = log->now_ms;
	if (entries)
		fill_batch(log, m, peer->next_index);
	if (peer->state == PEER_PROBE)
		peer->probe_sent = true;
	else
		peer->next_index += m->n_entries;
}

void replog_send_all(struct cf_replog *log, bool heartbeat)
{
	for (size_t i = 0; i < log->n_peers; i++)
		if (log->peers[i].id != log->id)
			send_append(log, &log->peers[i], heartbeat);
	log->send_pending = false;
}

/* ---- Leader: start, check-quorum, commit index ---------------------- */

void replog_become_leader(struct cf_replog *log)
{
	uint64_t last = cf_replog_last_index(log);
	struct cf_entry noop = { .index = last + 1,
				 .term = log->state.term,
				 .kind = CF_ENTRY_NOOP };

	log->role = REPLOG_LEADER;
	log->leader = log->id;
	log->no_leader_since_start = false;
	log->term_start_index = noop.index;
	for (size_t i = 0; i < log->n_peers; i++) {
		struct replog_peer *peer = &log->peers[i];

		peer->state = PEER_PROBE;
		peer->probe_sent = false;
		peer->match_index = peer->id == log->id ? log->persisted_index
							: 0;
		peer->next_index = last + 1;
		peer->last_contact_ms = log->now_ms;
		peer->acked_ms = INT64_MIN;
	}
	replog_append_entry(log, &noop);
	log->heartbeat_at_ms = log->now_ms + log->heartbeat_ms;
	log->send_pending = true;
}

static bool is_quorum_active(const struct cf_replog *log)
{
	size_t n = 0;

	for (size_t i = 0; i < log->n_peers; i++) {
		const struct replog_peer *peer = &log->peers[i];

		if (!peer->voter)
			continue;
		n += peer->id == log->id ||
		     log->now_ms - peer->last_contact_ms < log->election_ms;
	}
	return n >= replog_quorum(log);
}

void replog_leader_tick(struct cf_replog *log)
{
	if (!is_quorum_active(log)) {
		replog_become_follower(log, log->state.term, 0);
		return;
	}
	if (log->now_ms < log->heartbeat_at_ms)
		return;
	log->heartbeat_at_ms = log->now_ms + log->heartbeat_ms;
	replog_send_all(log, true);
}

static int compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

/*
 * Entries of earlier terms are committed only together with an entry of
 * the current term (section 5.4.2 of the paper). A leader that is not a
 * voter of the committed members announces the commit and steps down.
 */
void replog_update_commit(struct cf_replog *log)
{
	uint64_t match_index[REPLOG_PEERS_MAX], term = 0, index;
	const struct replog_peer *self;
	size_t n = 0;

	for (size_t i = 0; i < log->n_peers; i++)
		if (log->peers[i].voter)
			match_index[n++] = log->peers[i].match_index;
	if (!n)
		return;
	qsort(match_index, n, sizeof(match_index[0]), compare_descending);
	index = match_index[replog_quorum(log) - 1];
	if (index <= log->state.commit || !replog_term_at(log, index, &term) ||
	    term != log->state.term)
		return;
	log->state.commit = index;
	log->send_pending = true;
	self = replog_self(log);
	if (log->members_index <= index && (!self || !self->voter)) {
		replog_send_all(log, true);
		replog_become_follower(log, log->state.term, 0);
	}
}

/* ---- Leader: replies ------------------------------------------------ */

static void on_rejected(struct cf_replog *log, struct replog_peer *peer,
			const struct cf_replog_message *m)
{
	if (m->index <= peer->match_index)
		return;
	if (peer->state == PEER_PROBE && m->index != peer->next_index - 1)
		return;
	if (peer->state == PEER_SNAPSHOT)
		return;
	peer->state = PEER_PROBE;
	peer->probe_sent = false;
	peer->next_index =
		MAX(peer->match_index + 1, MIN(m->index, m->hint + 1));
	log->send_pending = true;
}

static void on_accepted(struct cf_replog *log, struct replog_peer *peer,
			const struct cf_replog_message *m)
{
	bool behind;

	if (m->index > cf_replog_last_index(log))
		return;
	peer->match_index = MAX(peer->match_index, m->index);
	peer->next_index = MAX(peer->next_index, peer->match_index + 1);
	if (peer->state == PEER_SNAPSHOT) {
		if (peer->match_index < log->snapshot.index)
			return;
		peer->state = PEER_PROBE;
		peer->probe_sent = false;
		peer->next_index = peer->match_index + 1;
	}
	if (peer->state == PEER_PROBE && m->index + 1 >= peer->next_index) {
		peer->state = PEER_REPLICATE;
		peer->next_index = peer->match_index + 1;
	}
	behind = peer->next_index <= cf_replog_last_index(log);
	replog_update_commit(log);
	if (behind && log->role == REPLOG_LEADER)
		log->send_pending = true;
}

void replog_on_append_reply(struct cf_replog *log,
			    const struct cf_replog_message *m)
{
	struct replog_peer *peer = replog_peer(log, m->from);

	if (log->role != REPLOG_LEADER || !peer)
		return;
	peer->last_contact_ms = log->now_ms;
	if (m->sent_ms <= log->now_ms)
		peer->acked_ms = MAX(peer->acked_ms, m->sent_ms);
	if (m->reject)
		on_rejected(log, peer, m);
	else
		on_accepted(log, peer, m);
}

/* ---- Follower ------------------------------------------------------- */

static void record_leader_contact(struct cf_replog *log,
				  const struct cf_replog_message *m)
{
	if (log->role != REPLOG_FOLLOWER || log->leader != m->from)
		replog_become_follower(log, m->term, m->from);
	log->last_contact_ms = log->now_ms;
	log->no_leader_since_start = false;
	replog_reset_election(log);
}

static void reply_to(struct cf_replog *log, const struct cf_replog_message *m,
		     enum cf_replog_kind kind, uint64_t match_index)
{
	struct cf_replog_message *reply = replog_message(log, kind, m->from);

	reply->index = match_index;
	reply->sent_ms = m->sent_ms;
}

/*
 * The hint is the highest index that may match the leader's log: entries
 * above it have a newer term than the leader's entry, so they conflict.
 */
static void reject_append(struct cf_replog *log,
			  const struct cf_replog_message *m)
{
	uint64_t hint = MIN(cf_replog_last_index(log), m->index), term = 0;
	struct cf_replog_message *reply;

	while (hint > log->snapshot.index && replog_term_at(log, hint, &term) &&
	       term > m->log_term)
		hint--;
	reply = replog_message(log, CF_REPLOG_APPEND_REPLY, m->from);
	reply->reject = true;
	reply->index = m->index;
	reply->hint = hint;
	reply->sent_ms = m->sent_ms;
}

static bool is_contiguous(const struct cf_replog_message *m)
{
	for (size_t i = 0; i < m->n_entries; i++)
		if (m->entries[i].index != m->index + 1 + i)
			return false;
	return true;
}

static void append_new_entries(struct cf_replog *log,
			       const struct cf_replog_message *m)
{
	for (size_t i = 0; i < m->n_entries; i++) {
		const struct cf_entry *entry = &m->entries[i];
		uint64_t term = 0;

		if (entry->index <= log->state.commit)
			continue;
		if (replog_term_at(log, entry->index, &term)) {
			if (term == entry->term)
				continue;
			replog_truncate(log, entry->index);
		}
		replog_append_entry(log, entry);
	}
}

void replog_on_append(struct cf_replog *log, const struct cf_replog_message *m)
{
	uint64_t term = 0, end = m->index + m->n_entries;

	if (log->role == REPLOG_LEADER || !is_contiguous(m))
		return;
	record_leader_contact(log, m);
	/* Entries below the commit index match the log of any leader. */
	if (m->index >= log->state.commit &&
	    (!replog_term_at(log, m->index, &term) || term != m->log_term)) {
		reject_append(log, m);
		return;
	}
	end = MAX(end, log->state.commit);
	append_new_entries(log, m);
	log->state.commit = MAX(log->state.commit, MIN(m->commit, end));
	reply_to(log, m, CF_REPLOG_APPEND_REPLY, end);
}

static void install_snapshot(struct cf_replog *log,
			     const struct cf_replog_message *m)
{
	struct cf_snapshot snapshot = { .index = m->index,
					.term = m->log_term,
					.members = m->members,
					.data = m->snapshot };

	g_array_set_size(log->entries, 0);
	replog_copy_snapshot(&log->snapshot, &snapshot);
	replog_use_members(log, &m->members, m->index);
	log->state.commit = m->index;
	log->persisted_index = m->index;
	log->delivered_index = m->index;
	log->ready_last = 0;
	log->snapshot_pending = true;
}

void replog_on_snapshot(struct cf_replog *log,
			const struct cf_replog_message *m)
{
	uint64_t term = 0;

	if (log->role == REPLOG_LEADER || !replog_members_valid(&m->members))
		return;
	record_leader_contact(log, m);
	if (m->index > log->state.commit) {
		if (replog_term_at(log, m->index, &term) && term == m->log_term)
			log->state.commit = m->index;
		else
			install_snapshot(log, m);
	}
	reply_to(log, m, CF_REPLOG_SNAPSHOT_REPLY, log->state.commit);
}
