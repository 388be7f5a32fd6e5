/*
 * chervilferry: coordination components for dispatching sub-second tasks.
 *
 * The components do no input or output, start no threads and read no
 * clock. They take messages and the present time as arguments and return
 * decisions. All times are in milliseconds; "now_ms" is a time of the
 * monotonic clock, "wall_ms" is Unix time. An object may be used by one
 * thread at a time unless its comment says otherwise; different objects
 * are independent.
 *
 * Memory is allocated by GLib, which aborts the process if it runs out.
 * Compile and link with: pkg-config --cflags --libs chervilferry
 */
#ifndef CHERVILFERRY_H
#define CHERVILFERRY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CF_API __attribute__((visibility("default")))

/* Each function is declared on one line, which clang-format would wrap. */
/* clang-format off */

/* ---- Limits and defaults ------------------------------------------- */

/* Size of a name in bytes, with the terminating NUL. */
#define CF_NAME_SIZE 64
/* Size of a job key in bytes. */
#define CF_KEY_SIZE 16
/* Size of a UUID as text in bytes, with the terminating NUL. */
#define CF_KEY_TEXT_SIZE 37
/* Maximum number of coordinators in a group. */
#define CF_MEMBERS_MAX 7
/* Upper bound of the setting for the tasks of a job. */
#define CF_JOB_TASKS_MAX 4096
/* Duration of a lease. */
#define CF_LEASE_MS 2000
/* Wall clocks of different hosts differ by less than this. */
#define CF_CLOCK_SKEW_MS 2000
/* How long vote ledgers keep votes. */
#define CF_LEDGER_HORIZON_MS 600000

/* ---- Job keys (src/lib/key.c), UUIDv7 of RFC 9562 ------------------- */

struct cf_key {
	uint8_t bytes[CF_KEY_SIZE];
};

CF_API bool cf_key_parse(const char *text, struct cf_key *key); /* false if not a UUIDv7 */
CF_API void cf_key_format(const struct cf_key *key, char text[CF_KEY_TEXT_SIZE]); /* lower-case text form */
CF_API void cf_key_make(struct cf_key *key, int64_t wall_ms, uint64_t random_a, uint64_t random_b); /* new key from a time and random bits */
CF_API int64_t cf_key_time_ms(const struct cf_key *key); /* Unix time in the key */
CF_API bool cf_key_equal(const struct cf_key *a, const struct cf_key *b); /* same bytes */
CF_API guint cf_key_hash(gconstpointer key); /* for GHashTable */
CF_API gboolean cf_key_hash_equal(gconstpointer a, gconstpointer b); /* for GHashTable */

/* ---- Replicated log (src/lib/replog.c) ------------------------------ */
/* Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum,
 * learners and single-server membership changes. */

enum cf_entry_kind {
	CF_ENTRY_NOOP, /* first entry of each leader's term */
	CF_ENTRY_COMMAND, /* data of the embedder, opaque to the log */
	CF_ENTRY_MEMBERS, /* data is a packed struct cf_members */
};

struct cf_entry {
	uint64_t index; /* from 1 */
	uint64_t term;
	enum cf_entry_kind kind;
	int64_t wall_ms; /* clock of the leader that proposed it */
	GBytes *data; /* may be NULL; entries hold a reference */
};

struct cf_members {
	uint32_t voters[CF_MEMBERS_MAX];
	uint32_t n_voters;
	uint32_t learners[CF_MEMBERS_MAX];
	uint32_t n_learners;
};

enum cf_replog_kind {
	CF_REPLOG_PREVOTE,
	CF_REPLOG_PREVOTE_REPLY,
	CF_REPLOG_VOTE,
	CF_REPLOG_VOTE_REPLY,
	CF_REPLOG_APPEND,
	CF_REPLOG_APPEND_REPLY,
	CF_REPLOG_SNAPSHOT,
	CF_REPLOG_SNAPSHOT_REPLY,
	CF_REPLOG_HANDOVER, /* the leader is stopping: elect at once */
	CF_REPLOG_LEADER_QUERY, /* from a member that has just started */
	CF_REPLOG_NO_LEADER_REPLY, /* reply of a member without a leader; echoes sent_ms */
};

struct cf_replog_message {
	enum cf_replog_kind kind;
	uint32_t from, to; /* member ids, from 1 */
	uint64_t term;
	uint64_t index; /* append: previous entry; replies: match; votes: last */
	uint64_t log_term; /* term of that entry */
	uint64_t commit;
	bool reject;
	uint64_t hint; /* rejected append: highest index that may match */
	int64_t sent_ms; /* leader's now_ms, echoed in the reply; leader query: its incarnation */
	struct cf_entry *entries;
	size_t n_entries;
	struct cf_members members; /* snapshot only */
	GBytes *snapshot; /* snapshot only */
};

/* Must be on disk before the messages of the same ready are sent. */
struct cf_hard_state {
	uint64_t term;
	uint32_t vote; /* member voted for in this term, 0: none */
	uint64_t commit;
};

struct cf_snapshot {
	uint64_t index, term;
	struct cf_members members;
	GBytes *data;
};

struct cf_replog_options {
	uint32_t id; /* of this member, from 1 */
	struct cf_members members; /* for the very first start, else empty */
	int64_t heartbeat_ms; /* 0: 100 ms */
	int64_t election_ms; /* 0: 600 ms; the timeout is random, from this up to twice this */
	uint64_t seed; /* for the random election timeouts */
	size_t batch_bytes; /* entry data per append; 0: 256 KiB */
};

/* Work for the embedder, in this order: persist, send, apply, advance. */
struct cf_replog_ready {
	bool hard_state_changed;
	struct cf_hard_state hard_state;
	const struct cf_entry
		*entries; /* to persist, replacing stored ones from entries[0].index */
	size_t n_entries;
	const struct cf_snapshot
		*snapshot; /* received one to persist and load, or NULL */
	const struct cf_replog_message *messages;
	size_t n_messages;
	const struct cf_entry *committed; /* to apply, in order */
	size_t n_committed;
	bool must_sync; /* entries or the hard state's term or vote changed */
};

struct cf_replog;

CF_API struct cf_replog * cf_replog_create(const struct cf_replog_options *options, int64_t now_ms); /* starts as a follower */
CF_API void cf_replog_destroy(struct cf_replog *log); /* NULL is allowed */
CF_API void cf_replog_restore(struct cf_replog *log, const struct cf_hard_state *state, const struct cf_snapshot *snapshot, const struct cf_entry *entries, size_t n_entries); /* once, before the first step */
CF_API void cf_replog_tick(struct cf_replog *log, int64_t now_ms); /* every 20 ms or so */
CF_API void cf_replog_step(struct cf_replog *log, const struct cf_replog_message *message, int64_t now_ms); /* handles a received message */
CF_API uint64_t cf_replog_propose(struct cf_replog *log, GBytes *data, int64_t wall_ms, int64_t now_ms); /* index of the entry, or 0 if not the leader */
CF_API uint64_t cf_replog_propose_members(struct cf_replog *log, const struct cf_members *members, int64_t wall_ms, int64_t now_ms); /* index, or 0 if not the leader, a change is pending, or it changes more than one voter */
CF_API void cf_replog_hand_over(struct cf_replog *log, int64_t now_ms); /* before a planned stop: a leader steps down, and the others elect at once */
CF_API bool cf_replog_has_ready(const struct cf_replog *log); /* true if there is work for the embedder */
CF_API void cf_replog_get_ready(struct cf_replog *log, struct cf_replog_ready *ready); /* valid until cf_replog_advance */
CF_API void cf_replog_advance(struct cf_replog *log, int64_t now_ms); /* the work of the last ready is done */
CF_API void cf_replog_compact(struct cf_replog *log, uint64_t index, GBytes *snapshot); /* drops entries up to an applied index; snapshot is the state there */
CF_API bool cf_replog_is_leader(const struct cf_replog *log); /* true once the first entry of its term is applied */
CF_API uint32_t cf_replog_leader(const struct cf_replog *log); /* member id, 0: unknown */
CF_API uint64_t cf_replog_term(const struct cf_replog *log);
CF_API uint64_t cf_replog_commit_index(const struct cf_replog *log); /* highest committed index */
CF_API uint64_t cf_replog_last_index(const struct cf_replog *log); /* highest index in the log */
CF_API int64_t cf_replog_quorum_acked_ms(const struct cf_replog *log); /* leader: newest now_ms such that a quorum has acknowledged messages sent then or later; else INT64_MIN */
CF_API bool cf_replog_caught_up(const struct cf_replog *log, uint32_t member); /* leader: the member is within 64 entries of the end of the log */
CF_API void cf_replog_get_members(const struct cf_replog *log, struct cf_members *members); /* newest members in the log, committed or not */
CF_API GBytes *cf_members_pack(const struct cf_members *members); /* data of a CF_ENTRY_MEMBERS entry */
CF_API bool cf_members_unpack(GBytes *data, struct cf_members *members); /* false if malformed, without voters or with duplicate ids */

/* ---- Configuration (src/lib/config.c) ------------------------------- */
/* The state machine of the replicated log. A revision is the index of a
 * log entry. */

struct cf_class {
	char name[CF_NAME_SIZE];
	uint32_t target_ms; /* 1..3600000 */
	uint32_t percentile_milli; /* 1000..99999; 99500 is 99.5 % */
	bool idempotent;
};

struct cf_data_centre {
	char name[CF_NAME_SIZE];
	bool in_service;
};

struct cf_team {
	char name[CF_NAME_SIZE];
	uint32_t share_milli; /* share of the capacity, 1..1000 */
};

struct cf_member {
	uint32_t id;
	char address[CF_NAME_SIZE]; /* ip:port for other processes */
	char admin_address[CF_NAME_SIZE]; /* ip:port for operators */
	uint8_t identity[16]; /* of its disk; valid if has_identity */
	bool has_identity;
	bool voter; /* votes in the newest view */
	bool leaving; /* its removal is in progress */
};

struct cf_view {
	uint64_t number; /* revision that created it */
	struct cf_members members;
	int64_t horizon_ms; /* claims of keys up to this time also need a majority of the previous view */
};

enum cf_command_status {
	CF_COMMAND_DONE,
	CF_COMMAND_CONFLICT, /* the subject was changed after the base revision */
	CF_COMMAND_INVALID, /* the message names the field */
	CF_COMMAND_NOT_FOUND,
};

struct cf_command_result {
	enum cf_command_status status;
	uint64_t revision; /* created by the change; if there was none, the current one */
	char message[160];
};

struct cf_config;

CF_API struct cf_config *cf_config_create(void); /* empty, revision 0 */
CF_API void cf_config_destroy(struct cf_config *config); /* NULL is allowed */
CF_API void cf_config_apply(struct cf_config *config, const struct cf_entry *entry, struct cf_command_result *result); /* entries in log order; result may be NULL */
CF_API GBytes *cf_config_save(const struct cf_config *config); /* snapshot, including the command outcomes */
CF_API bool cf_config_load(struct cf_config *config, GBytes *snapshot, GError **error); /* unchanged on error */
CF_API GBytes *cf_config_pack(const struct cf_config *config); /* the form that agents and dispatchers receive */
CF_API GBytes *cf_config_pack_settings(const struct cf_config *config); /* the same without routes, which are sent apart */
CF_API bool cf_config_adopt(struct cf_config *config, const void *data, size_t size_bytes, GError **error); /* false: malformed, or the revision is not greater; unchanged then; keeps the routes if it has no newer ones */
CF_API uint64_t cf_config_revision(const struct cf_config *config); /* 0 when empty */
CF_API const struct cf_class * cf_config_find_class(const struct cf_config *config, const char *name); /* NULL: not found */
CF_API size_t cf_config_classes(const struct cf_config *config, const struct cf_class **classes); /* returns the count */
CF_API size_t cf_config_data_centres(const struct cf_config *config, const struct cf_data_centre **data_centres); /* returns the count */
CF_API bool cf_config_in_service(const struct cf_config *config, const char *data_centre); /* true for unknown data centres */
CF_API size_t cf_config_teams(const struct cf_config *config, const struct cf_team **teams); /* returns the count */
CF_API size_t cf_config_views(const struct cf_config *config, const struct cf_view **views); /* returns the count; newest last */
CF_API size_t cf_config_members(const struct cf_config *config, const struct cf_member **members); /* returns the count; sorted by id */
CF_API const struct cf_member *cf_config_find_member(const struct cf_config *config, uint32_t id); /* NULL: not found */
CF_API bool cf_config_is_retired(const struct cf_config *config, uint32_t id); /* whether it was removed; only in the log's state machine */
CF_API GBytes *cf_config_routes(const struct cf_config *config, uint64_t *version); /* route document as the operator sent it; borrowed; NULL: none yet */
CF_API GBytes *cf_config_routes_change(const struct cf_config *config, uint64_t known_version, uint64_t *version); /* how the routes of a version became the next one; borrowed; NULL: no longer or not known here */
CF_API bool cf_config_set_routes(struct cf_config *config, uint64_t version, GBytes *document); /* false: the version is not greater; unchanged then */
CF_API bool cf_config_change_routes(struct cf_config *config, uint64_t version, GBytes *change, GError **error); /* by what cf_config_routes_change() told for the present version; unchanged on error */
CF_API bool cf_config_is_fenced(const struct cf_config *config, uint64_t incarnation); /* a fenced process must not act any more */

/* ---- Leases (src/lib/lease.c) --------------------------------------- */
/* Gray and Cheriton, 1989. A lease starts when the holder sends the
 * request that is granted, measured on the holder's monotonic clock. */

struct cf_lease;

CF_API struct cf_lease *cf_lease_create(void); /* not held */
CF_API void cf_lease_destroy(struct cf_lease *lease); /* NULL is allowed */
CF_API uint64_t cf_lease_request(struct cf_lease *lease, int64_t now_ms); /* sequence number to send in the request */
CF_API bool cf_lease_grant(struct cf_lease *lease, uint64_t seq, uint32_t duration_ms, uint64_t revision, int64_t now_ms); /* false if seq is unknown or old, the lease is revoked or expired, or the revision is older */
CF_API void cf_lease_revoke(struct cf_lease *lease); /* after fencing or release: never held again */
CF_API bool cf_lease_held(const struct cf_lease *lease, int64_t now_ms); /* true until its end, exclusive */
CF_API int64_t cf_lease_end_ms(const struct cf_lease *lease); /* INT64_MIN if never granted or revoked */
CF_API uint64_t cf_lease_revision(const struct cf_lease *lease); /* from the newest grant */

enum cf_holder_state {
	CF_HOLDER_NONE,
	CF_HOLDER_ACTIVE,
	CF_HOLDER_ENDED, /* released or expired */
};

/* The leader's table of lease holders, rebuilt after each election. */
struct cf_lease_table;

CF_API struct cf_lease_table * cf_lease_table_create(uint32_t duration_ms, int64_t now_ms); /* now_ms: start of this leader's term */
CF_API void cf_lease_table_destroy(struct cf_lease_table *table); /* NULL is allowed */
CF_API bool cf_lease_table_renew(struct cf_lease_table *table, uint64_t incarnation, int64_t now_ms); /* false if its lease has expired or was released */
CF_API void cf_lease_table_release(struct cf_lease_table *table, uint64_t incarnation); /* ends the lease at the holder's request */
CF_API void cf_lease_table_remove(struct cf_lease_table *table, uint64_t incarnation); /* removes an ended holder, which may then be granted a lease again */
CF_API enum cf_holder_state cf_lease_table_state(const struct cf_lease_table *table, uint64_t incarnation, int64_t now_ms);
CF_API bool cf_lease_table_settled(const struct cf_lease_table *table, int64_t now_ms); /* leases granted by earlier leaders have expired */
CF_API size_t cf_lease_table_expire(struct cf_lease_table *table, int64_t now_ms, uint64_t *incarnations, size_t max); /* holders that have ended; each is returned once */

/* ---- Claims (src/lib/claim.c) --------------------------------------- */
/* A claim gives a job key to one dispatcher. It needs a majority of the
 * newest view for the same owner and, for keys up to a view's horizon, a
 * majority of the view before it too. A voter votes once per key and
 * epoch. */

enum cf_vote {
	CF_VOTE_FOR, /* this voter's vote is for the owner returned */
	CF_VOTE_ABSTAIN, /* restarted or without a lease: earlier votes may be lost */
	CF_VOTE_TOO_OLD, /* key time is at or before the horizon of the ledger */
	CF_VOTE_TOO_NEW, /* key time is ahead of the voter's clock by more than the skew */
	CF_VOTE_UNFENCED, /* epoch above 0, and the prior owner is not fenced */
};

struct cf_claim {
	struct cf_key key;
	uint32_t epoch;
	uint64_t owner; /* incarnation of a dispatcher */
	uint64_t prior_owner; /* owner in the previous epoch */
};

struct cf_ledger;

CF_API struct cf_ledger * cf_ledger_create(int64_t horizon_ms, int64_t safe_after_ms); /* abstains on keys up to safe_after_ms (wall clock) */
CF_API void cf_ledger_destroy(struct cf_ledger *ledger); /* NULL is allowed */
CF_API enum cf_vote cf_ledger_vote(struct cf_ledger *ledger, const struct cf_claim *claim, bool may_vote, bool prior_fenced, int64_t wall_ms, uint64_t *owner); /* owner: the one that the vote on this key is for; 0: none */
CF_API void cf_ledger_expire(struct cf_ledger *ledger, int64_t wall_ms); /* drops votes older than the horizon */
CF_API size_t cf_ledger_size(const struct cf_ledger *ledger); /* number of votes */
CF_API GBytes * cf_ledger_save(const struct cf_ledger *ledger); /* at a clean stop */
CF_API bool cf_ledger_load(struct cf_ledger *ledger, GBytes *saved, GError **error); /* restores a ledger saved at a clean stop */

enum cf_claim_state {
	CF_CLAIM_OPEN, /* waiting for votes */
	CF_CLAIM_WON, /* a repeated claim wins too: the owner must keep a record of its keys for the horizon */
	CF_CLAIM_OWNED, /* another owner has won it or may win it: ask that owner */
	CF_CLAIM_LOST, /* no owner can win with these votes */
	CF_CLAIM_UNSAFE, /* too old, or votes are lost: the job may have run before */
	CF_CLAIM_TOO_NEW, /* key time is ahead of the voters' clocks */
};

/* The dispatcher's count of the votes for one claim. */
struct cf_ballot;

CF_API struct cf_ballot * cf_ballot_create(const struct cf_claim *claim, const struct cf_view *views, size_t n_views); /* views newest last */
CF_API void cf_ballot_destroy(struct cf_ballot *ballot); /* NULL is allowed */
CF_API enum cf_claim_state cf_ballot_add(struct cf_ballot *ballot, uint32_t member, uint64_t view, enum cf_vote vote, uint64_t owner); /* a vote from another view is not counted */
CF_API enum cf_claim_state cf_ballot_close(struct cf_ballot *ballot); /* no more votes are expected; never returns CF_CLAIM_OPEN */
CF_API uint64_t cf_ballot_owner(const struct cf_ballot *ballot); /* owner if WON or OWNED, else 0 */

/* ---- Start gate (src/lib/gate.c) ------------------------------------ */
/* Queues and starts the tasks of an agent. Each (key, index) starts at
 * most once at this agent. */

enum cf_task_state {
	CF_TASK_GATED, /* waits for cf_gate_open */
	CF_TASK_QUEUED,
	CF_TASK_RUNNING,
	CF_TASK_DONE,
	CF_TASK_FAILED, /* ran and failed */
	CF_TASK_FENCED, /* never started and never will */
	CF_TASK_DROPPED, /* may have run; its record was dropped */
};

struct cf_task {
	struct cf_key key;
	uint32_t index;
	uint64_t dispatcher; /* incarnation */
	uint64_t job; /* number of the job at that dispatcher */
	char class_name[CF_NAME_SIZE];
	GBytes *payload; /* the gate holds a reference */
	uint32_t cpu_milli, memory_mb, accelerators;
	uint32_t predicted_ms;
	int64_t slack_end_ms; /* latest start that still meets the target, now_ms clock; orders the queue */
	int64_t deadline_ms; /* no start after this time, now_ms clock */
	int64_t queued_ms; /* set by the gate */
	int64_t started_ms; /* set by the gate */
};

struct cf_capacity {
	uint32_t slots; /* number of tasks that may run at once */
	uint32_t connections;
	uint32_t cpu_milli, memory_mb, accelerators; /* 0: unlimited */
};

struct cf_gate_permit {
	bool lease_held;
	bool in_service; /* whether the data centre is, at the revision of the lease */
	bool draining;
};

struct cf_gate_load {
	uint32_t slots, running, queued;
	uint32_t backlog_ms; /* predicted run time left of queued and running tasks */
};

struct cf_gate;

CF_API struct cf_gate * cf_gate_create(const struct cf_capacity *capacity, int64_t outcome_retention_ms); /* outcome_retention_ms: how long outcomes are kept */
CF_API void cf_gate_destroy(struct cf_gate *gate); /* NULL is allowed */
CF_API void cf_gate_set_capacity(struct cf_gate *gate, const struct cf_capacity *capacity); /* running tasks continue */
CF_API bool cf_gate_offer(struct cf_gate *gate, const struct cf_task *task, bool gated, bool fifo, int64_t now_ms); /* false: seen before, or fenced */
CF_API size_t cf_gate_open(struct cf_gate *gate, const struct cf_key *key, uint64_t dispatcher, uint64_t job); /* returns the number of gated tasks that became queued */
CF_API const struct cf_task *cf_gate_start(struct cf_gate *gate, const struct cf_gate_permit *permit, int64_t now_ms); /* starts the next task and returns it; NULL: none may start */
CF_API bool cf_gate_finish(struct cf_gate *gate, const struct cf_key *key, uint32_t index, bool ok, GBytes *result, int64_t now_ms); /* false: the task was not running */
/* Undoes the start of a task that provably never ran: it is then as if it
 * had never been offered. Returns false if the task was not running. */
CF_API bool cf_gate_revert_start(struct cf_gate *gate, const struct cf_key *key, uint32_t index, int64_t now_ms);
/* Returns the state of a task. With fence, a task that is unknown or still
 * waiting is fenced first. Without it, an unknown task is reported as GATED.
 * The result is borrowed, and NULL if it was dropped. */
CF_API enum cf_task_state cf_gate_query(struct cf_gate *gate, const struct cf_key *key, uint32_t index, bool fence, GBytes **result, int64_t now_ms);
CF_API const struct cf_task *cf_gate_find_task(const struct cf_gate *gate, const struct cf_key *key, uint32_t index); /* the offered task; NULL: none was offered */
/* Fences the unstarted tasks of the key. After this, only this dispatcher
 * may offer tasks of the key. Returns false if a later epoch was seen or the
 * record of the key was dropped. */
CF_API bool cf_gate_adopt(struct cf_gate *gate, const struct cf_key *key, uint64_t dispatcher, uint32_t epoch, int64_t now_ms);
CF_API size_t cf_gate_known_indexes(const struct cf_gate *gate, const struct cf_key *key, uint32_t *indexes, size_t max); /* indexes of the key that the gate has seen; returns their number */
CF_API void cf_gate_seal(struct cf_gate *gate, const struct cf_key *key, int64_t now_ms); /* no index of the key may start after this */
/* Cancels a job: fences its unstarted tasks, also those that arrive later.
 * Returns the number of indexes written. */
CF_API size_t cf_gate_fence_job(struct cf_gate *gate, const struct cf_key *key, uint64_t dispatcher, uint64_t job, int64_t now_ms, uint32_t *indexes, size_t max);
/* Fences all unstarted tasks of a dispatcher incarnation, also those that
 * arrive later. Returns their number. */
CF_API size_t cf_gate_fence_dispatcher(struct cf_gate *gate, uint64_t dispatcher, int64_t now_ms);
/* Fences the next waiting task that can't start because of a drain, its data
 * centre, its deadline or its size, and returns it. Returns NULL if there is
 * none. */
CF_API const struct cf_task *cf_gate_fence_unstartable(struct cf_gate *gate, const struct cf_gate_permit *permit, int64_t now_ms);
CF_API void cf_gate_expire(struct cf_gate *gate, int64_t now_ms); /* drops old outcomes */
CF_API void cf_gate_get_load(const struct cf_gate *gate, int64_t now_ms, struct cf_gate_load *load); /* load to report in replies */

/* ---- Jobs (src/lib/job.c) ------------------------------------------- */
/* The state of one job at its dispatcher: where its tasks are, and its
 * answer. */

enum cf_job_answer {
	CF_ANSWER_NONE, /* not yet */
	CF_ANSWER_COMPLETE, /* the results of all tasks */
	CF_ANSWER_FAILED, /* a task ran and failed */
	CF_ANSWER_NOT_RUN, /* no task ran, and none will */
	CF_ANSWER_UNKNOWN, /* a task ran or may have run */
};

enum cf_job_event {
	CF_EVENT_DONE, /* the result arrived */
	CF_EVENT_FAILED, /* ran and failed */
	CF_EVENT_FENCED, /* the agent did not start it and never will */
	CF_EVENT_RUNNING, /* the agent reports it as running */
	CF_EVENT_LOST, /* the incarnation of the agent is gone */
};

struct cf_job;

CF_API struct cf_job *cf_job_create(const struct cf_key *key, uint64_t number, uint32_t n_tasks); /* no task is placed */
CF_API void cf_job_destroy(struct cf_job *job); /* NULL is allowed */
CF_API bool cf_job_send(struct cf_job *job, uint32_t index, uint64_t agent); /* false: the task is placed already, or the job is ending */
CF_API bool cf_job_event(struct cf_job *job, uint32_t index, uint64_t agent, enum cf_job_event event, GBytes *result, const char *message); /* false: not expected from this agent; nothing changes */
CF_API void cf_job_lose_agent(struct cf_job *job, uint64_t agent); /* its pending tasks may have run */
CF_API void cf_job_stop(struct cf_job *job, const char *reason); /* cancelled, refused or out of time: no task is sent any more */
CF_API enum cf_job_answer cf_job_answer(const struct cf_job *job, const char **message); /* final once it is not CF_ANSWER_NONE */
CF_API GBytes * cf_job_result(const struct cf_job *job, uint32_t index); /* borrowed; NULL unless the answer is CF_ANSWER_COMPLETE */
CF_API size_t cf_job_unplaced(const struct cf_job *job, uint32_t *indexes, size_t max); /* tasks to be placed; returns their number */
CF_API size_t cf_job_agents(const struct cf_job *job, uint64_t *agents, size_t max); /* agents with pending tasks; returns their number */
CF_API size_t cf_job_pending_at(const struct cf_job *job, uint64_t agent, uint32_t *indexes, size_t max); /* pending tasks at the agent; returns their number */
CF_API uint32_t cf_job_pending_count(const struct cf_job *job); /* tasks that were sent and have not ended or been fenced */

/* ---- Run-time prediction (src/lib/predict.c) ------------------------ */

struct cf_predict;

CF_API struct cf_predict *cf_predict_create(void); /* without any samples */
CF_API void cf_predict_destroy(struct cf_predict *predict); /* NULL is allowed */
CF_API void cf_predict_learn(struct cf_predict *predict, const char *class_name, uint32_t declared_ms, uint32_t run_ms); /* declared_ms 0: none */
CF_API uint32_t cf_predict_ms(const struct cf_predict *predict, const char *class_name, uint32_t declared_ms, uint32_t percentile_milli); /* 1 or more */

/* ---- Placement (src/lib/place.c) ------------------------------------ */

struct cf_place_agent {
	uint64_t incarnation;
	char data_centre[CF_NAME_SIZE];
	char rack[CF_NAME_SIZE];
	struct cf_capacity capacity;
	struct cf_capacity used; /* by the tasks in this dispatcher's records */
	uint32_t queued; /* queued there, by its last report and sends since */
	uint32_t backlog_ms; /* predicted work there, for all slots together */
	uint32_t distance_us; /* network delay, one way */
	uint32_t weight_milli; /* 1000 healthy, less on probation, 0 ejected */
	/* Run times relative to the other agents; 1.0 is usual. */
	double slowness;
	bool usable; /* connected, accepting tasks and in service */
};

struct cf_place_task {
	uint32_t index;
	uint32_t predicted_ms;
	uint32_t cpu_milli, memory_mb, accelerators;
	uint32_t agent; /* out: position in agents, or CF_PLACE_NONE */
};

#define CF_PLACE_NONE UINT32_MAX

struct cf_placer_ops;

struct cf_placer {
	const struct cf_placer_ops *ops; /* first member: the policy */
};

struct cf_placer_ops {
	const char *name;
	size_t (*place)(struct cf_placer *placer, struct cf_place_agent *agents,
			size_t n_agents, struct cf_place_task *tasks,
			size_t n_tasks);
	void (*destroy)(struct cf_placer *placer);
};

CF_API struct cf_placer * cf_placer_create(const char *policy, uint64_t seed); /* "finish", "random", "round-robin" or "least"; NULL if unknown */
CF_API void cf_placer_destroy(struct cf_placer *placer); /* NULL is allowed */
CF_API size_t cf_placer_place(struct cf_placer *placer, struct cf_place_agent *agents, size_t n_agents, struct cf_place_task *tasks, size_t n_tasks); /* number of tasks placed; raises used, queued and backlog_ms of their agents */
CF_API bool cf_place_ever_fits(const struct cf_place_agent *agents, size_t n_agents, const struct cf_place_task *task); /* on any of the agents if it were empty */

/* ---- Admission and shares (src/lib/admit.c) ------------------------- */

enum cf_admit {
	CF_ADMIT_ACCEPTED, /* place its tasks as capacity allows */
	CF_ADMIT_OVERLOADED, /* 429: its class or team is over its share */
	CF_ADMIT_PAST_DEADLINE, /* 503: it can't meet its deadline */
};

struct cf_admit_class {
	char name[CF_NAME_SIZE];
	uint32_t target_ms;
	uint32_t percentile_milli;
};

struct cf_admit_job {
	const char *class_name;
	const char *team; /* "": none */
	uint32_t n_tasks;
	uint32_t longest_ms; /* predicted, of its longest task */
	uint32_t work_ms; /* predicted, of all tasks together */
	uint32_t deadline_ms; /* from now; 0: none */
	/* Kept by cf_admitter_placed; initially 0. */
	uint32_t placed_tasks, placed_ms;
	/* Kept by cf_admitter_task_ended; initially 0. */
	uint32_t ended_tasks, ended_ms;
};

struct cf_admitter;

CF_API struct cf_admitter *cf_admitter_create(uint64_t seed); /* without classes */
CF_API void cf_admitter_destroy(struct cf_admitter *admitter); /* NULL is allowed */
CF_API void cf_admitter_set_classes(struct cf_admitter *admitter, const struct cf_admit_class *classes, size_t n_classes, const struct cf_team *teams, size_t n_teams); /* classes and teams that remain keep their state */
CF_API void cf_admitter_set_capacity(struct cf_admitter *admitter, uint32_t slots, int64_t now_ms); /* usable slots at present, less those taken by other dispatchers' tasks; 0 only if no server is usable, and then all jobs are refused */
CF_API enum cf_admit cf_admitter_admit(struct cf_admitter *admitter, const struct cf_admit_job *job, int64_t now_ms, uint32_t *retry_after_ms); /* an accepted job is counted as waiting work */
CF_API void cf_admitter_placed(struct cf_admitter *admitter, struct cf_admit_job *job, uint32_t work_ms, int64_t now_ms); /* optional, for more exact accounting: one of the job's tasks, with predicted work_ms, is placed */
CF_API void cf_admitter_task_ended(struct cf_admitter *admitter, struct cf_admit_job *job, uint32_t work_ms, int64_t now_ms); /* optional: a task that was counted as placed ended or was fenced */
CF_API void cf_admitter_started(struct cf_admitter *admitter, const struct cf_admit_job *job, int64_t now_ms); /* all its tasks are placed */
CF_API void cf_admitter_ended(struct cf_admitter *admitter, const struct cf_admit_job *job, bool was_started, bool ok, uint32_t response_ms, int64_t now_ms); /* once for each accepted job */
CF_API uint32_t cf_admitter_share_milli(const struct cf_admitter *admitter, const char *class_name); /* present share of capacity */
CF_API int64_t cf_admitter_order_key(const struct cf_admitter *admitter, const struct cf_admit_job *job, int64_t arrived_ms, int64_t now_ms); /* waiting jobs run in ascending order of this key */

/* ---- Retry budget (src/lib/retry.c) --------------------------------- */

struct cf_retry_budget;

CF_API struct cf_retry_budget *cf_retry_budget_create(uint32_t ratio_milli, uint32_t burst); /* ratio_milli: retries earned by 1000 requests; burst: most retries at once */
CF_API void cf_retry_budget_destroy(struct cf_retry_budget *budget); /* NULL is allowed */
CF_API void cf_retry_budget_earn(struct cf_retry_budget *budget); /* called for each first attempt */
CF_API bool cf_retry_budget_spend(struct cf_retry_budget *budget); /* false: no retry at present */
CF_API uint32_t cf_retry_delay_ms(uint32_t attempt, uint32_t base_ms, uint32_t max_ms, uint64_t random); /* full jitter; attempt counts from 0 */

/* ---- Health of backend servers (src/lib/health.c) ------------------- */

enum cf_health_state {
	CF_HEALTH_HEALTHY,
	CF_HEALTH_PROBATION, /* gets few tasks */
	CF_HEALTH_EJECTED,
	CF_HEALTH_SLOW_START, /* slow start */
};

struct cf_health;

CF_API struct cf_health * cf_health_create(uint32_t eject_max_milli); /* eject_max_milli: greatest fraction of servers ejected at once */
CF_API void cf_health_destroy(struct cf_health *health); /* NULL is allowed */
CF_API void cf_health_join(struct cf_health *health, uint64_t agent, int64_t now_ms); /* slow start */
CF_API void cf_health_add(struct cf_health *health, uint64_t agent, int64_t now_ms); /* in use for a while: no slow start */
CF_API void cf_health_leave(struct cf_health *health, uint64_t agent); /* removes it */
CF_API void cf_health_sent(struct cf_health *health, uint64_t agent, uint32_t n_tasks, int64_t now_ms); /* tasks were placed there */
CF_API void cf_health_result(struct cf_health *health, uint64_t agent, bool ok, uint32_t run_ms, uint32_t predicted_ms, int64_t now_ms); /* a task ended */
CF_API void cf_health_overdue(struct cf_health *health, uint64_t agent, uint32_t run_ms, uint32_t predicted_ms, int64_t now_ms); /* optional, once for each task: a task runs for several times its predicted time */
CF_API void cf_health_rescale(struct cf_health *health, uint64_t agent, double factor); /* its predicted times change by this factor from now on */
CF_API bool cf_health_tick(struct cf_health *health, int64_t now_ms); /* true: the state of a server changed */
CF_API enum cf_health_state cf_health_state(const struct cf_health *health, uint64_t agent); /* CF_HEALTH_HEALTHY if unknown */
CF_API uint32_t cf_health_weight_milli(const struct cf_health *health, uint64_t agent, int64_t now_ms); /* 0..1000 */
CF_API double cf_health_slowness(const struct cf_health *health, uint64_t agent); /* 1.0 is usual */

/* ---- Guarded workers (src/lib/guard.c) ------------------------------ */
/* A worker that is shared with a sister firm, whose load is not under our
 * control. It reports usage with a lag, and can throttle, checkpoint or stop
 * a task. No task starts twice: a stopped task may have run, and a
 * checkpointed task resumes on the same worker. */

enum cf_guard_state {
	CF_GUARD_UNKNOWN, /* never started here */
	CF_GUARD_RUNNING,
	CF_GUARD_THROTTLED,
	CF_GUARD_CHECKPOINTING, /* requested, not yet confirmed */
	CF_GUARD_CHECKPOINTED, /* can resume on this worker only */
	CF_GUARD_STOPPED, /* may have run; never starts again */
	CF_GUARD_ENDED,
};

struct cf_guard_task {
	struct cf_key key;
	uint32_t index;
	uint32_t cpu_milli, memory_mb; /* declared */
	bool can_checkpoint;
};

struct cf_guard_usage {
	uint32_t cpu_milli, memory_mb;
	int64_t measured_ms; /* time of the measurement, on the now_ms clock */
};

struct cf_guard_ops;

struct cf_guard_worker {
	/* First member: how to reach the worker. */
	const struct cf_guard_ops *ops;
};

/* Requests to the worker. They return false if it doesn't accept the
 * request, and nothing changes. */
struct cf_guard_ops {
	bool (*throttle)(struct cf_guard_worker *worker,
			 const struct cf_guard_task *task, uint32_t cpu_milli); /* upper limit; 0 lifts it */
	bool (*checkpoint)(struct cf_guard_worker *worker,
			   const struct cf_guard_task *task); /* confirmed by cf_guard_checkpointed */
	bool (*resume)(struct cf_guard_worker *worker,
		       const struct cf_guard_task *task); /* from its checkpoint */
	bool (*stop)(struct cf_guard_worker *worker,
		     const struct cf_guard_task *task); /* its work is lost */
};

struct cf_guard;

CF_API struct cf_guard *cf_guard_create(struct cf_guard_worker *worker, const struct cf_capacity *capacity, int64_t lag_ms); /* worker is borrowed; lag_ms is the lag of its reports */
CF_API void cf_guard_destroy(struct cf_guard *guard); /* NULL is allowed */
CF_API bool cf_guard_start(struct cf_guard *guard, const struct cf_guard_task *task, int64_t now_ms); /* false: it was started here before and must not start again */
CF_API bool cf_guard_end(struct cf_guard *guard, const struct cf_key *key, uint32_t index, int64_t now_ms); /* false: unknown, ended or stopped */
CF_API bool cf_guard_checkpointed(struct cf_guard *guard, const struct cf_key *key, uint32_t index, bool ok, int64_t now_ms); /* false: no checkpoint is in progress, e.g. because the task was stopped after a timeout */
CF_API bool cf_guard_report(struct cf_guard *guard, const struct cf_key *key, uint32_t index, const struct cf_guard_usage *usage); /* usage of a task; false: not active, or an older report */
CF_API bool cf_guard_report_other_usage(struct cf_guard *guard, const struct cf_guard_usage *usage); /* usage of the sister firm; false: an older report */
CF_API size_t cf_guard_tick(struct cf_guard *guard, int64_t now_ms); /* makes the decisions; call it a few times a second; returns the number of requests made */
CF_API enum cf_guard_state cf_guard_state(const struct cf_guard *guard, const struct cf_key *key, uint32_t index); /* state of a task */
CF_API void cf_guard_get_available(const struct cf_guard *guard, struct cf_capacity *available); /* capacity that new tasks may declare */

/* ---- Service-level burn (src/lib/burn.c) ---------------------------- */

struct cf_burn_class {
	char name[CF_NAME_SIZE];
	uint32_t target_ms, percentile_milli;
	uint64_t total, within, refused_not_run, failed; /* in the last hour */
	/* Median, and at the class's percentile. */
	uint32_t p50_ms, attained_ms;
	double budget_left; /* last hour; 1.0: unused, below 0: overspent */
	double burn_5min, burn_1h; /* 1.0 uses up the budget exactly */
};

struct cf_burn;

CF_API struct cf_burn *cf_burn_create(void); /* without classes */
CF_API void cf_burn_destroy(struct cf_burn *burn); /* NULL is allowed */
CF_API void cf_burn_set_classes(struct cf_burn *burn, const struct cf_admit_class *classes, size_t n_classes); /* classes that remain keep their history */
CF_API void cf_burn_record(struct cf_burn *burn, const char *class_name, uint32_t response_ms, bool ok, int64_t now_ms); /* a job was answered */
CF_API void cf_burn_refuse(struct cf_burn *burn, const char *class_name, const char *reason, int64_t now_ms); /* a job was refused */
CF_API size_t cf_burn_report(const struct cf_burn *burn, int64_t now_ms, struct cf_burn_class *classes, size_t max); /* number of classes */
CF_API char *cf_burn_json(const struct cf_burn *burn, int64_t now_ms); /* free with g_free */
CF_API char *cf_burn_text(const struct cf_burn *burn, int64_t now_ms); /* free with g_free */
CF_API char * cf_burn_html(const struct cf_burn *burn, int64_t now_ms); /* one page with inline SVG; free with g_free */

/* ---- Traces (src/lib/trace.c) --------------------------------------- */
/* Checks the events of all processes against the system's invariants. Each
 * line is one event in "key=value" fields; format in docs/PROOFS.md. */

struct cf_trace_fault {
	char invariant[CF_NAME_SIZE]; /* name of the check, as listed in docs/PROOFS.md */
	char file[256];
	uint64_t line; /* line of the first event that violates it */
	char message[256];
};

struct cf_trace_summary {
	uint64_t events, starts, double_starts, answers, complete, not_run, unknown;
};

struct cf_trace;

CF_API struct cf_trace *cf_trace_create(void); /* empty */
CF_API void cf_trace_destroy(struct cf_trace *trace); /* NULL is allowed */
CF_API bool cf_trace_add(struct cf_trace *trace, const char *file, uint64_t line, const char *text, GError **error); /* adds one event; files may come in any order */
/* Returns the number of violations found, of which at most max are stored in
 * faults. */
CF_API size_t cf_trace_check(struct cf_trace *trace, struct cf_trace_summary *summary, struct cf_trace_fault *faults, size_t max);

/* Replay of a recorded trace (src/lib/trace_replay.c): feeds the recorded
 * inputs of start gates and vote ledgers to new instances and compares
 * their decisions with the recorded ones. The lines of a file must be fed
 * in their order. */

struct cf_replay_summary {
	uint64_t decisions; /* number of decisions compared */
	uint64_t mismatches;
	uint64_t skipped; /* events whose gate or ledger was created before the trace began */
	char first[256]; /* describes the first mismatch */
};

struct cf_replay;

CF_API struct cf_replay *cf_replay_create(void); /* no events fed */
CF_API void cf_replay_destroy(struct cf_replay *replay); /* NULL is allowed */
CF_API bool cf_replay_feed(struct cf_replay *replay, const char *text, GError **error); /* replays one event; false: invalid line */
CF_API void cf_replay_get_summary(const struct cf_replay *replay, struct cf_replay_summary *summary); /* of the events fed so far */

/* clang-format on */

#endif
