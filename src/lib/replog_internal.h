/*
 * replog_internal: state of the replicated log, shared by its sources:
 * replog.c (construction, entries, message dispatch), replog_start.c
 * (leader queries after a start), replog_election.c, replog_append.c,
 * replog_members.c and replog_ready.c (proposals and output for the
 * embedder).
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
	PEER_PROBE, /* match index unknown: one append in flight */
	PEER_REPLICATE, /* appends are pipelined ahead of replies */
	PEER_SNAPSHOT, /* waiting for the reply to a snapshot */
};

/* Progress of one member. The local member has an entry too. */
struct replog_peer {
	uint32_t id;
	bool voter;
	bool vote_granted; /* voted for us in the current (pre-)election */
	bool reported_no_leader; /* in reply to this incarnation */
	enum peer_state state;
	bool probe_sent;
	uint64_t match_index; /* highest index known to be durable there */
	uint64_t next_index; /* index of the next entry to send */
	int64_t last_contact_ms; /* time of its last reply in this term */
	int64_t acked_ms; /* newest sent_ms echoed in a reply */
	int64_t snapshot_ms; /* time of the last snapshot sent */
};

struct cf_replog {
	uint32_t id;
	int64_t heartbeat_ms, election_ms;
	size_t batch_bytes;
	uint64_t seed, draws; /* of the random election timeouts */

	enum replog_role role;
	struct cf_hard_state state;
	uint32_t leader;
	int64_t now_ms; /* latest time passed in by the caller */
	int64_t last_contact_ms; /* follower: last message from the leader */
	int64_t election_at_ms, heartbeat_at_ms;
	int64_t incarnation; /* sent in leader queries, echoed by replies */
	int64_t query_sent_ms;
	bool no_leader_since_start;
	uint64_t term_start_index; /* leader: index of its first entry */

	struct cf_snapshot snapshot; /* entries start after its index */
	GArray *entries; /* struct cf_entry */
	uint64_t persisted_index;
	uint64_t delivered_index; /* highest index handed out to be applied */
	uint64_t applied_index;

	struct cf_members members; /* from the newest members entry */
	uint64_t members_index;
	struct replog_peer peers[REPLOG_PEERS_MAX];
	size_t n_peers;

	GArray *messages; /* struct cf_replog_message, for the next ready */
	bool send_pending; /* leader: new entries or commit index to send */
	bool snapshot_pending; /* received, for the next ready */
	struct cf_hard_state reported_state; /* as of the last ready */

	bool ready_outstanding; /* waiting for cf_replog_advance */
	uint64_t ready_last; /* highest entry of it not truncated since */
	uint64_t ready_applied;
	GArray *ready_entries, *ready_committed, *ready_messages;
	struct cf_snapshot ready_snapshot;
};

/* Entries. The callers check the ranges. */
void replog_clear_entry(gpointer entry);
void replog_clear_message(gpointer message);
void replog_clear_snapshot(struct cf_snapshot *snapshot);
void replog_copy_snapshot(struct cf_snapshot *to,
			  const struct cf_snapshot *from);
const struct cf_entry *replog_entry_at(const struct cf_replog *log,
				       uint64_t index);
bool replog_term_at(const struct cf_replog *log, uint64_t index,
		    uint64_t *term); /* false if the entry is not in the log */
uint64_t replog_last_term(const struct cf_replog *log);
void replog_append_entry(struct cf_replog *log, const struct cf_entry *entry);
void replog_truncate(struct cf_replog *log, uint64_t from_index);
void replog_copy_entries(const struct cf_replog *log, uint64_t from,
			 uint64_t to, GArray *out); /* both ends inclusive */

/*
 * Queues a message from this member in its current term. The caller fills
 * in the other fields; the pointer is valid until the next call.
 */
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

/* Leader queries after a start (replog_start.c). */
void replog_send_leader_queries(struct cf_replog *log);
void replog_schedule_first_campaign(struct cf_replog *log);
/* These two have an effect only until the first leader is known. */
void replog_schedule_next_pre_vote(struct cf_replog *log);
void replog_yield_to_candidate(struct cf_replog *log);
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
