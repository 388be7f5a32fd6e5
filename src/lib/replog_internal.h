/*
 * replog_internal: the replicated log's state, shared by its sources:
 * replog.c (life, dispatch), replog_election.c, replog_append.c,
 * replog_members.c and replog_ready.c (work for the embedder).
 */
#ifndef LIB_REPLOG_INTERNAL_H
#define LIB_REPLOG_INTERNAL_H

#include "chervilferry.h"

#define REPLOG_PEERS_MAX (2 * CF_MEMBERS_MAX)

enum replog_role {
	REPLOG_FOLLOWER,
	REPLOG_PRE_CANDIDATE,
	REPLOG_CANDIDATE,
	REPLOG_LEADER,
};

enum peer_state {
	PEER_PROBE, /* next is a guess: one append at a time */
	PEER_REPLICATE, /* next runs ahead of the acknowledgements */
	PEER_SNAPSHOT, /* waits for the reply to a snapshot */
};

/* What is known of one member, also of this one. */
struct replog_peer {
	uint32_t id;
	bool voter;
	bool granted; /* its vote in the current (pre-)election */
	bool reported_no_leader; /* it has told this life that it knows no
				    leader */
	enum peer_state state;
	bool probe_sent;
	uint64_t match; /* holds the log up to here, synced */
	uint64_t next; /* next entry to send */
	int64_t last_contact_ms; /* last reply in this term */
	int64_t acked_ms; /* newest sent_ms that it echoed */
	int64_t snapshot_ms; /* when the last snapshot was sent */
};

struct cf_replog {
	uint32_t id;
	int64_t heartbeat_ms, election_ms;
	size_t batch_bytes;
	uint64_t seed, draws; /* election jitter */

	enum replog_role role;
	struct cf_hard_state state;
	uint32_t leader;
	int64_t now_ms; /* newest time told */
	int64_t last_contact_ms; /* follower: from the leader */
	int64_t election_at_ms, heartbeat_at_ms;
	int64_t incarnation; /* told in questions, to know the replies to this
				life */
	int64_t query_sent_ms; /* who leads; when last */
	bool no_leader_since_start; /* it has heard of no leader since it
				       started */
	uint64_t term_start_index; /* leader: its first entry */

	struct cf_snapshot snapshot; /* the log begins after its index */
	GArray *entries; /* struct cf_entry */
	uint64_t stable; /* persisted up to here */
	uint64_t delivered; /* handed out to apply up to here */
	uint64_t applied; /* applied up to here */

	struct cf_members members; /* of the newest entry that has them */
	uint64_t members_index;
	struct replog_peer peers[REPLOG_PEERS_MAX];
	size_t n_peers;

	GArray *messages; /* struct cf_replog_message, not handed out yet */
	bool send_pending; /* leader: entries or a commit index to send */
	bool snapshot_pending; /* received, not handed out yet */
	struct cf_hard_state reported_state; /* last handed out */

	bool ready_outstanding; /* handed out, not advanced */
	uint64_t ready_last; /* its entries still valid up to here */
	uint64_t ready_applied;
	GArray *ready_entries, *ready_committed, *ready_messages;
	struct cf_snapshot ready_snapshot;
};

/* Entries; ranges are checked by the callers. */
void replog_clear_entry(gpointer entry);
void replog_clear_message(gpointer message);
void replog_clear_snapshot(struct cf_snapshot *snapshot);
void replog_copy_snapshot(struct cf_snapshot *to,
			  const struct cf_snapshot *from);
const struct cf_entry *replog_entry_at(const struct cf_replog *log,
				       uint64_t index);
bool replog_term_at(const struct cf_replog *log, uint64_t index,
		    uint64_t *term); /* false: not held */
uint64_t replog_last_term(const struct cf_replog *log);
void replog_append_entry(struct cf_replog *log, const struct cf_entry *entry);
void replog_truncate(struct cf_replog *log, uint64_t from_index);
void replog_copy_entries(const struct cf_replog *log, uint64_t from,
			 uint64_t to, GArray *out); /* both inclusive */

/* Sends from this member in its current term; the caller fills the rest. */
struct cf_replog_message *replog_message(struct cf_replog *log,
					 enum cf_replog_kind kind, uint32_t to);

/* Elections. */
void replog_reset_election(struct cf_replog *log);
void replog_become_follower(struct cf_replog *log, uint64_t term,
			    uint32_t leader);
void replog_campaign(struct cf_replog *log, bool pre_vote);
bool replog_may_campaign(const struct cf_replog *log);
void replog_election_tick(struct cf_replog *log);
bool replog_ignores_votes(const struct cf_replog *log, uint32_t candidate);
void replog_on_handover(struct cf_replog *log,
			const struct cf_replog_message *m);
void replog_on_vote_request(struct cf_replog *log,
			    const struct cf_replog_message *message);
void replog_on_vote_reply(struct cf_replog *log,
			  const struct cf_replog_message *message);

/* After a start (replog_start.c). */
void replog_send_leader_queries(struct cf_replog *log);
void replog_on_leader_query(struct cf_replog *log,
			    const struct cf_replog_message *message);
void replog_on_no_leader_reply(struct cf_replog *log,
			       const struct cf_replog_message *message);

/* Replication. */
void replog_become_leader(struct cf_replog *log);
void replog_leader_tick(struct cf_replog *log);
void replog_send_all(struct cf_replog *log, bool heartbeat);
void replog_update_commit(struct cf_replog *log);
void replog_on_append(struct cf_replog *log,
		      const struct cf_replog_message *message);
void replog_on_append_reply(struct cf_replog *log,
			    const struct cf_replog_message *message);
void replog_on_snapshot(struct cf_replog *log,
			const struct cf_replog_message *message);

/* Members. */
bool replog_members_valid(const struct cf_members *members);
void replog_use_members(struct cf_replog *log, const struct cf_members *members,
			uint64_t index);
void replog_reload_members(struct cf_replog *log); /* after a truncation */
struct cf_members replog_members_at(const struct cf_replog *log,
				    uint64_t index);
struct replog_peer *replog_peer(struct cf_replog *log, uint32_t id);
const struct replog_peer *replog_self(const struct cf_replog *log);
size_t replog_quorum(const struct cf_replog *log);

#endif
