/*
 * group: see group.h. The loop thread runs the replicated log. The log does
 * no I/O itself: it returns its pending work as one batch, called a "ready",
 * with the state and entries to sync, the messages to send and the committed
 * entries to apply. A disk thread writes and syncs one ready at a time.
 * Proposals that arrive meanwhile go into the next ready, so one sync covers
 * many proposals (group commit).
 */
#include "store/group.h"
#include "base/clock.h"
#include "store/disk_queue.h"
#include "store/log_message.h"
#include "store/store.h"

#include <string.h>

#define TICK_MS 20
/* Entries between snapshots. */
#define DEFAULT_SNAPSHOT_EVERY 2000
#define HEARTBEATS_PER_ELECTION_TIMEOUT 6
/* File with the members of the first start. */
#define FIRST_MEMBERS_FILE "members"

struct group {
	struct loop *loop;
	struct loop_timer *timer;
	struct group_handlers handlers;
	void *arg;
	uint32_t id, snapshot_every;
	struct store *store;
	struct cf_replog *log;

	struct cf_replog_ready ready;
	bool write_in_progress; /* the disk thread writes "ready" */
	bool processing_ready; /* prevents recursion from callbacks */
	struct cf_hard_state synced_state; /* last one on the disk */

	uint64_t applied, applied_term;
	struct cf_members applied_members;
	uint64_t snapshot_index;
	bool snapshot_in_progress;

	bool healthy;
	/* Arguments of the last call of the role handler. */
	bool reported_is_leader;
	uint32_t reported_leader_id;
	uint64_t reported_term;

	struct disk_queue *disk;
};

static void process_ready(struct group *group);

/* ---- Processing one ready ------------------------------------------- */

/* The leader may send entries before its own sync finishes, provided that
 * its term and vote are already on disk: it counts itself towards the
 * quorum only after the sync. */
static bool can_send_before_sync(const struct group *group,
				 const struct cf_replog_message *message)
{
	if (group->ready.hard_state.term != group->synced_state.term ||
	    group->ready.hard_state.vote != group->synced_state.vote)
		return false;
	return message->kind == CF_REPLOG_APPEND ||
	       message->kind == CF_REPLOG_SNAPSHOT;
}

static void send_messages(struct group *group, bool before_sync)
{
	for (size_t i = 0; i < group->ready.n_messages; i++) {
		const struct cf_replog_message *message =
			&group->ready.messages[i];
		struct log_packed packed;

		if (can_send_before_sync(group, message) != before_sync)
			continue;
		log_message_pack(message, store_identity(group->store),
				 GROUP_IDENTITY_SIZE, &packed);
		group->handlers.send(group->arg, message->to, &packed.message);
		log_packed_clear(&packed);
	}
}

static void mark_failed(struct group *group, const char *reason)
{
	if (!group->healthy)
		return;
	group->healthy = false;
	loop_timer_stop(group->timer);
	group->handlers.failed(group->arg, reason);
}

static bool load_snapshot(struct group *group,
			  const struct cf_snapshot *snapshot)
{
	if (!group->handlers.load(group->arg, snapshot->data, snapshot->index))
		return false;
	group->applied = snapshot->index;
	group->applied_term = snapshot->term;
	group->applied_members = snapshot->members;
	group->snapshot_index = snapshot->index;
	return true;
}

static void apply_committed(struct group *group)
{
	for (size_t i = 0; i < group->ready.n_committed; i++) {
		const struct cf_entry *entry = &group->ready.committed[i];

		if (entry->kind == CF_ENTRY_MEMBERS)
			cf_members_unpack(entry->data, &group->applied_members);
		group->applied = entry->index;
		group->applied_term = entry->term;
		group->handlers.apply(group->arg, entry);
	}
}

static void take_snapshot(struct group *group)
{
	struct cf_snapshot snapshot = { .index = group->applied,
					.term = group->applied_term,
					.members = group->applied_members };

	if (group->snapshot_in_progress || !group->healthy ||
	    group->applied - group->snapshot_index < group->snapshot_every)
		return;
	snapshot.data = group->handlers.save(group->arg);
	group->snapshot_in_progress = true;
	disk_queue_save(group->disk, &snapshot);
}

static void finish_ready(struct group *group)
{
	const struct cf_snapshot *snapshot = group->ready.snapshot;

	group->write_in_progress = false;
	if (group->ready.must_sync)
		group->synced_state = group->ready.hard_state;
	send_messages(group, false);
	if (snapshot && !load_snapshot(group, snapshot))
		mark_failed(
			group,
			"cannot load the snapshot received from the leader");
	if (group->healthy)
		apply_committed(group);
	cf_replog_advance(group->log, clock_now_ms());
	take_snapshot(group);
}

/* ---- The log -------------------------------------------------------- */

static void report_role(struct group *group)
{
	bool leader = group_is_leader(group);
	uint32_t leader_id = group_leader(group);
	uint64_t term = cf_replog_term(group->log);

	if (leader == group->reported_is_leader &&
	    leader_id == group->reported_leader_id &&
	    term == group->reported_term)
		return;
	group->reported_is_leader = leader;
	group->reported_leader_id = leader_id;
	group->reported_term = term;
	group->handlers.role(group->arg, leader, leader_id, term);
}

static void begin_ready(struct group *group)
{
	struct store_write write;

	cf_replog_get_ready(group->log, &group->ready);
	send_messages(group, true);
	if (!group->ready.must_sync) {
		finish_ready(group);
		return;
	}
	write.state = group->ready.hard_state;
	write.snapshot = group->ready.snapshot;
	write.entries = group->ready.entries;
	write.n_entries = group->ready.n_entries;
	group->write_in_progress = true;
	disk_queue_append(group->disk, &write);
}

/* Callbacks may propose and so call this function again; the inner call
 * returns and the loop of the outermost call handles the new work. */
static void process_ready(struct group *group)
{
	if (group->processing_ready)
		return;
	group->processing_ready = true;
	while (group->healthy && !group->write_in_progress &&
	       cf_replog_has_ready(group->log))
		begin_ready(group);
	report_role(group);
	group->processing_ready = false;
}

static void on_tick(void *arg, int64_t now_ms)
{
	struct group *group = arg;

	if (!group->healthy)
		return;
	cf_replog_tick(group->log, now_ms);
	process_ready(group);
}

static void free_group(struct group *group)
{
	cf_replog_destroy(group->log);
	store_close(group->store);
	g_free(group);
}

static void handle_outcome(struct group *group,
			   const struct disk_outcome *outcome)
{
	if (outcome->failure) {
		mark_failed(group, outcome->failure);
		return;
	}
	if (!group->healthy)
		return;
	group->processing_ready = true;
	if (!outcome->snapshot) {
		finish_ready(group);
	} else {
		group->snapshot_in_progress = false;
		group->snapshot_index =
			MAX(group->snapshot_index, outcome->saved->index);
		cf_replog_compact(group->log, outcome->saved->index,
				  outcome->saved->data);
	}
	group->processing_ready = false;
}

static void on_written(void *arg, const struct disk_outcome *outcome)
{
	struct group *group = arg;

	handle_outcome(group, outcome);
	process_ready(group);
}

/* ---- Creation and destruction --------------------------------------- */

/* The members of the first start are saved in a file and stay in force
 * until the first snapshot, even if the settings are changed meanwhile. */
static bool load_first_members(const struct group_options *o, bool fresh,
			       struct cf_members *members, GError **error)
{
	GBytes *data =
		store_get_file(o->data_folder, FIRST_MEMBERS_FILE, error);
	bool ok;

	*members = (struct cf_members){ 0 };
	if (data) {
		if (g_bytes_get_size(data))
			cf_members_unpack(data, members);
		g_bytes_unref(data);
		return true;
	}
	if ((error && *error) || !fresh)
		return !error || !*error;
	for (uint32_t i = 0; i < MIN(o->n_first_voters, CF_MEMBERS_MAX); i++)
		members->voters[members->n_voters++] = o->first_voters[i];
	data = cf_members_pack(members);
	ok = store_put_file(o->data_folder, FIRST_MEMBERS_FILE, data, error);
	g_bytes_unref(data);
	return ok;
}

static bool restore_log(struct group *group, const struct group_options *o,
			const struct store_recovered *found, GError **error)
{
	struct cf_replog_options options = {
		.id = o->id,
		.seed = o->seed,
		.election_ms = o->election_ms,
		.heartbeat_ms = o->election_ms / HEARTBEATS_PER_ELECTION_TIMEOUT
	};
	bool fresh = !found->state.term && !found->snapshot.index;

	if (!load_first_members(o, fresh, &options.members, error))
		return false;
	group->applied_members = options.members;
	if (found->snapshot.index && !load_snapshot(group, &found->snapshot)) {
		g_set_error(error, STORE_ERROR, STORE_ERROR_CORRUPT,
			    "%s: cannot load the snapshot", o->data_folder);
		return false;
	}
	group->log = cf_replog_create(&options, clock_now_ms());
	cf_replog_restore(group->log, &found->state, &found->snapshot,
			  (const struct cf_entry *)(void *)found->entries->data,
			  found->entries->len);
	group->synced_state = found->state;
	return true;
}

struct group *group_create(struct loop *loop, const struct group_options *o,
			   const struct group_handlers *handlers, void *arg,
			   GError **error)
{
	struct group *group = g_new0(struct group, 1);
	struct store_recovered found;
	GError *failure = NULL;

	group->loop = loop;
	group->handlers = *handlers;
	group->arg = arg;
	group->id = o->id;
	group->snapshot_every = o->snapshot_every ? o->snapshot_every
						  : DEFAULT_SNAPSHOT_EVERY;
	group->healthy = true;
	group->store = store_open(o->data_folder, o->ops, &found, &failure);
	if (group->store) {
		restore_log(group, o, &found, &failure);
		store_clear_recovered(&found);
	}
	if (failure) {
		g_propagate_error(error, failure);
		free_group(group);
		return NULL;
	}
	group->disk = disk_queue_create(loop, group->store, on_written, group);
	group->timer = loop_timer_create(loop, on_tick, group);
	loop_timer_start(group->timer, 0, TICK_MS);
	return group;
}

void group_destroy(struct group *group)
{
	if (!group)
		return;
	loop_timer_destroy(group->timer);
	disk_queue_destroy(group->disk);
	free_group(group);
}

/* ---- Messages and proposals ----------------------------------------- */

void group_receive(struct group *group, const Cfw__LogMessage *message)
{
	struct cf_replog_message m;

	if (!group->healthy || message->identity.len != GROUP_IDENTITY_SIZE ||
	    !group->handlers.accepts(group->arg, message->from,
				     message->identity.data) ||
	    !log_message_unpack(message, &m))
		return;
	cf_replog_step(group->log, &m, clock_now_ms());
	log_message_clear(&m);
	process_ready(group);
}

uint64_t group_propose(struct group *group, GBytes *data, int64_t wall_ms)
{
	uint64_t index;

	if (!group->healthy)
		return 0;
	index = cf_replog_propose(group->log, data, wall_ms, clock_now_ms());
	process_ready(group);
	return index;
}

uint64_t group_propose_members(struct group *group,
			       const struct cf_members *members,
			       int64_t wall_ms)
{
	uint64_t index;

	if (!group->healthy)
		return 0;
	index = cf_replog_propose_members(group->log, members, wall_ms,
					  clock_now_ms());
	process_ready(group);
	return index;
}

void group_hand_over(struct group *group)
{
	if (!group->healthy)
		return;
	cf_replog_hand_over(group->log, clock_now_ms());
	process_ready(group);
}

/* ---- Queries -------------------------------------------------------- */

bool group_is_leader(const struct group *group)
{
	return group->healthy && cf_replog_is_leader(group->log);
}

uint32_t group_leader(const struct group *group)
{
	return group->healthy ? cf_replog_leader(group->log) : 0;
}

uint64_t group_term(const struct group *group)
{
	return cf_replog_term(group->log);
}

uint64_t group_commit(const struct group *group)
{
	return cf_replog_commit_index(group->log);
}

uint64_t group_applied(const struct group *group)
{
	return group->applied;
}

int64_t group_quorum_ms(const struct group *group)
{
	return group->healthy ? cf_replog_quorum_acked_ms(group->log)
			      : INT64_MIN;
}

bool group_caught_up(const struct group *group, uint32_t member)
{
	return cf_replog_caught_up(group->log, member);
}

void group_get_members(const struct group *group, struct cf_members *members)
{
	cf_replog_get_members(group->log, members);
}

const uint8_t *group_identity(const struct group *group)
{
	return store_identity(group->store);
}

bool group_healthy(const struct group *group)
{
	return group->healthy;
}
