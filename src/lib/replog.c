/*
 * replog: Raft as described in D. Ongaro and J. Ousterhout, "In Search of
 * an Understandable Consensus Algorithm" (2014), with pre-vote and
 * check-quorum as in Ongaro's thesis (sections 9.6 and 6.2).
 *
 * This file holds construction, the entry array, message dispatch and the
 * accessors.
 */
#include "lib/replog_internal.h"

#include <xxhash.h>

#define REPLOG_HEARTBEAT_MS 100
#define REPLOG_ELECTION_MS 600
#define REPLOG_BATCH_BYTES ((size_t)256 << 10)
#define REPLOG_CAUGHT_UP_ENTRIES 64

/* ---- Entries -------------------------------------------------------- */

void replog_clear_entry(gpointer entry)
{
	struct cf_entry *e = entry;

	g_bytes_unref(e->data);
}

void replog_clear_message(gpointer message)
{
	struct cf_replog_message *m = message;

	for (size_t i = 0; i < m->n_entries; i++)
		replog_clear_entry(&m->entries[i]);
	g_free(m->entries);
	g_bytes_unref(m->snapshot);
}

void replog_clear_snapshot(struct cf_snapshot *snapshot)
{
	g_bytes_unref(snapshot->data);
	*snapshot = (struct cf_snapshot){ 0 };
}

void replog_copy_snapshot(struct cf_snapshot *to,
			  const struct cf_snapshot *from)
{
	struct cf_snapshot copy = *from;

	if (copy.data)
		g_bytes_ref(copy.data);
	replog_clear_snapshot(to);
	*to = copy;
}

const struct cf_entry *replog_entry_at(const struct cf_replog *log,
				       uint64_t index)
{
	uint64_t at = index - log->snapshot.index - 1;

	return &g_array_index(log->entries, struct cf_entry, at);
}

uint64_t cf_replog_last_index(const struct cf_replog *log)
{
	return log->snapshot.index + log->entries->len;
}

bool replog_term_at(const struct cf_replog *log, uint64_t index, uint64_t *term)
{
	if (index < log->snapshot.index || index > cf_replog_last_index(log))
		return false;
	*term = index == log->snapshot.index
			? log->snapshot.term
			: replog_entry_at(log, index)->term;
	return true;
}

uint64_t replog_last_term(const struct cf_replog *log)
{
	uint64_t term = 0;

	replog_term_at(log, cf_replog_last_index(log), &term);
	return term;
}

void replog_append_entry(struct cf_replog *log, const struct cf_entry *entry)
{
	struct cf_entry copy = *entry;
	struct cf_members members;

	if (copy.data)
		g_bytes_ref(copy.data);
	g_array_append_val(log->entries, copy);
	if (copy.kind == CF_ENTRY_MEMBERS &&
	    cf_members_unpack(copy.data, &members))
		replog_use_members(log, &members, copy.index);
}

void replog_truncate(struct cf_replog *log, uint64_t from_index)
{
	if (from_index <= log->state.commit)
		g_error("replicated log: entry %" G_GUINT64_FORMAT
			" is committed and conflicts",
			from_index);
	g_array_set_size(log->entries, from_index - log->snapshot.index - 1);
	log->persisted_index = MIN(log->persisted_index, from_index - 1);
	log->ready_last = MIN(log->ready_last, from_index - 1);
	if (log->members_index >= from_index)
		replog_reload_members(log);
}

void replog_copy_entries(const struct cf_replog *log, uint64_t from,
			 uint64_t to, GArray *out)
{
	for (uint64_t i = from; i <= to; i++) {
		struct cf_entry copy = *replog_entry_at(log, i);

		if (copy.data)
			g_bytes_ref(copy.data);
		g_array_append_val(out, copy);
	}
}

struct cf_replog_message *replog_message(struct cf_replog *log,
					 enum cf_replog_kind kind, uint32_t to)
{
	struct cf_replog_message message = {
		.kind = kind, .from = log->id, .to = to, .term = log->state.term
	};

	g_array_append_val(log->messages, message);
	return &g_array_index(log->messages, struct cf_replog_message,
			      log->messages->len - 1);
}

/* ---- Construction --------------------------------------------------- */

static GArray *new_entries(void)
{
	GArray *array = g_array_new(FALSE, FALSE, sizeof(struct cf_entry));

	g_array_set_clear_func(array, replog_clear_entry);
	return array;
}

static GArray *new_messages(void)
{
	GArray *array =
		g_array_new(FALSE, FALSE, sizeof(struct cf_replog_message));

	g_array_set_clear_func(array, replog_clear_message);
	return array;
}

struct cf_replog *cf_replog_create(const struct cf_replog_options *options,
				   int64_t now_ms)
{
	struct cf_replog *log = g_new0(struct cf_replog, 1);

	log->id = options->id;
	log->heartbeat_ms = options->heartbeat_ms ? options->heartbeat_ms
						  : REPLOG_HEARTBEAT_MS;
	log->election_ms = options->election_ms ? options->election_ms
						: REPLOG_ELECTION_MS;
	log->batch_bytes = options->batch_bytes ? options->batch_bytes
						: REPLOG_BATCH_BYTES;
	log->seed = options->seed;
	log->now_ms = now_ms;
	/* The previous incarnation may have just acknowledged a leader. */
	log->last_contact_ms = now_ms;
	log->no_leader_since_start = true;
	log->query_sent_ms = INT64_MIN / 2;
	log->incarnation = (int64_t)XXH64(&now_ms, sizeof(now_ms), log->seed);
	log->entries = new_entries();
	log->messages = new_messages();
	log->ready_entries = new_entries();
	log->ready_committed = new_entries();
	log->ready_messages = new_messages();
	log->snapshot.members = options->members;
	replog_use_members(log, &options->members, 0);
	replog_schedule_first_campaign(log);
	return log;
}

void cf_replog_destroy(struct cf_replog *log)
{
	if (!log)
		return;
	g_array_unref(log->entries);
	g_array_unref(log->messages);
	g_array_unref(log->ready_entries);
	g_array_unref(log->ready_committed);
	g_array_unref(log->ready_messages);
	replog_clear_snapshot(&log->snapshot);
	replog_clear_snapshot(&log->ready_snapshot);
	g_free(log);
}

void cf_replog_restore(struct cf_replog *log, const struct cf_hard_state *state,
		       const struct cf_snapshot *snapshot,
		       const struct cf_entry *entries, size_t n_entries)
{
	log->state = *state;
	if (snapshot && snapshot->index) {
		replog_copy_snapshot(&log->snapshot, snapshot);
		replog_use_members(log, &snapshot->members, snapshot->index);
	}
	for (size_t i = 0; i < n_entries; i++)
		replog_append_entry(log, &entries[i]);
	log->persisted_index = cf_replog_last_index(log);
	log->delivered_index = log->snapshot.index;
	log->applied_index = log->snapshot.index;
	log->state.commit = CLAMP(log->state.commit, log->snapshot.index,
				  cf_replog_last_index(log));
	log->reported_state = log->state;
	replog_schedule_first_campaign(log);
}

/* ---- Time and messages ---------------------------------------------- */

void cf_replog_tick(struct cf_replog *log, int64_t now_ms)
{
	log->now_ms = MAX(log->now_ms, now_ms);
	if (log->role == REPLOG_LEADER)
		replog_leader_tick(log);
	else {
		replog_send_leader_queries(log);
		replog_election_tick(log);
	}
}

/* Rejects a request from an older term, so that its sender learns ours. */
static void reply_to_older_term(struct cf_replog *log,
				const struct cf_replog_message *m)
{
	enum cf_replog_kind kind;
	struct cf_replog_message *reply;

	switch (m->kind) {
	case CF_REPLOG_PREVOTE:
		kind = CF_REPLOG_PREVOTE_REPLY;
		break;
	case CF_REPLOG_VOTE:
		kind = CF_REPLOG_VOTE_REPLY;
		break;
	case CF_REPLOG_APPEND:
	case CF_REPLOG_SNAPSHOT:
		kind = CF_REPLOG_APPEND_REPLY;
		break;
	default:
		return;
	}
	reply = replog_message(log, kind, m->from);
	reply->reject = true;
	reply->index = m->index;
	reply->hint = cf_replog_last_index(log);
	reply->sent_ms = INT64_MIN;
}

/*
 * A member with a newer term cannot follow this leader. To bring it back
 * into the group, the leader steps down and campaigns again in a term above
 * that of the member. Members that still follow it grant the pre-vote; if
 * there is another leader by now, they don't.
 */
static void on_newer_term_reply(struct cf_replog *log,
				const struct cf_replog_message *m)
{
	bool led = log->role == REPLOG_LEADER;

	if (!replog_peer(log, m->from))
		return;
	replog_become_follower(log, m->term, 0);
	if (led && replog_may_campaign(log))
		replog_campaign(log, true);
}

/* Returns false if the message needs no further handling. */
static bool on_newer_term(struct cf_replog *log,
			  const struct cf_replog_message *m)
{
	switch (m->kind) {
	case CF_REPLOG_PREVOTE:
		return true;
	case CF_REPLOG_PREVOTE_REPLY:
		if (!m->reject)
			return true;
		on_newer_term_reply(log, m);
		return false;
	case CF_REPLOG_VOTE:
		if (replog_ignores_votes(log, m->from))
			return false;
		replog_become_follower(log, m->term, 0);
		return true;
	case CF_REPLOG_APPEND:
	case CF_REPLOG_SNAPSHOT:
		replog_become_follower(log, m->term, m->from);
		return true;
	default:
		on_newer_term_reply(log, m);
		return false;
	}
}

void cf_replog_step(struct cf_replog *log,
		    const struct cf_replog_message *message, int64_t now_ms)
{
	const struct cf_replog_message *m = message;

	log->now_ms = MAX(log->now_ms, now_ms);
	if (m->to != log->id || m->from == log->id)
		return;
	/* These concern an incarnation, so their term is not checked. */
	if (m->kind == CF_REPLOG_LEADER_QUERY) {
		replog_on_leader_query(log, m);
		return;
	}
	if (m->kind == CF_REPLOG_NO_LEADER_REPLY) {
		replog_on_no_leader_reply(log, m);
		return;
	}
	if (m->term > log->state.term && !on_newer_term(log, m))
		return;
	if (m->term < log->state.term) {
		reply_to_older_term(log, m);
		return;
	}
	switch (m->kind) {
	case CF_REPLOG_PREVOTE:
	case CF_REPLOG_VOTE:
		replog_on_vote_request(log, m);
		break;
	case CF_REPLOG_PREVOTE_REPLY:
	case CF_REPLOG_VOTE_REPLY:
		replog_on_vote_reply(log, m);
		break;
	case CF_REPLOG_APPEND:
		replog_on_append(log, m);
		break;
	case CF_REPLOG_SNAPSHOT:
		replog_on_snapshot(log, m);
		break;
	case CF_REPLOG_APPEND_REPLY:
	case CF_REPLOG_SNAPSHOT_REPLY:
		replog_on_append_reply(log, m);
		break;
	case CF_REPLOG_HANDOVER:
		replog_on_handover(log, m);
		break;
	case CF_REPLOG_LEADER_QUERY:
	case CF_REPLOG_NO_LEADER_REPLY:
		break;
	}
}

/* ---- Accessors ------------------------------------------------------ */

bool cf_replog_is_leader(const struct cf_replog *log)
{
	return log->role == REPLOG_LEADER &&
	       log->applied_index >= log->term_start_index;
}

uint32_t cf_replog_leader(const struct cf_replog *log)
{
	return log->leader;
}

uint64_t cf_replog_term(const struct cf_replog *log)
{
	return log->state.term;
}

uint64_t cf_replog_commit_index(const struct cf_replog *log)
{
	return log->state.commit;
}

static int compare_descending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

int64_t cf_replog_quorum_acked_ms(const struct cf_replog *log)
{
	int64_t acked_ms[REPLOG_PEERS_MAX];
	size_t n = 0;

	if (log->role != REPLOG_LEADER)
		return INT64_MIN;
	for (size_t i = 0; i < log->n_peers; i++) {
		const struct replog_peer *peer = &log->peers[i];

		if (peer->voter)
			acked_ms[n++] = peer->id == log->id ? log->now_ms
							    : peer->acked_ms;
	}
	if (!n)
		return INT64_MIN;
	qsort(acked_ms, n, sizeof(acked_ms[0]), compare_descending);
	return acked_ms[replog_quorum(log) - 1];
}

bool cf_replog_caught_up(const struct cf_replog *log, uint32_t member)
{
	if (log->role != REPLOG_LEADER)
		return false;
	for (size_t i = 0; i < log->n_peers; i++) {
		const struct replog_peer *peer = &log->peers[i];

		if (peer->id == member)
			return peer->match_index &&
			       peer->match_index + REPLOG_CAUGHT_UP_ENTRIES >=
				       cf_replog_last_index(log);
	}
	return false;
}

void cf_replog_get_members(const struct cf_replog *log,
			   struct cf_members *members)
{
	*members = log->members;
}
