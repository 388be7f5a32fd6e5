/*
 * replog_ready: proposals, and the batches of work ("ready") for the
 * embedder.
 *
 * A ready holds copies, so that another thread can persist it while this
 * log keeps processing messages.
 */
#include "lib/replog_internal.h"

/* ---- Proposals ------------------------------------------------------ */

uint64_t cf_replog_propose(struct cf_replog *log, GBytes *data, int64_t wall_ms,
			   int64_t now_ms)
{
	struct cf_entry entry = { .kind = CF_ENTRY_COMMAND,
				  .term = log->state.term,
				  .wall_ms = wall_ms,
				  .data = data };

	log->now_ms = MAX(log->now_ms, now_ms);
	if (log->role != REPLOG_LEADER)
		return 0;
	entry.index = cf_replog_last_index(log) + 1;
	replog_append_entry(log, &entry);
	log->send_pending = true;
	return entry.index;
}

/* ---- Ready ---------------------------------------------------------- */

static bool state_changed(const struct cf_replog *log)
{
	return log->state.term != log->reported_state.term ||
	       log->state.vote != log->reported_state.vote ||
	       log->state.commit != log->reported_state.commit;
}

bool cf_replog_has_ready(const struct cf_replog *log)
{
	if (log->ready_outstanding)
		return false;
	return log->messages->len || log->send_pending ||
	       log->snapshot_pending || state_changed(log) ||
	       log->persisted_index < cf_replog_last_index(log) ||
	       log->delivered_index < log->state.commit;
}

static void fill_entries(struct cf_replog *log, struct cf_replog_ready *ready)
{
	uint64_t last = cf_replog_last_index(log);

	replog_copy_entries(log, log->persisted_index + 1, last,
			    log->ready_entries);
	log->ready_last = last;
	ready->entries = (const struct cf_entry *)log->ready_entries->data;
	ready->n_entries = log->ready_entries->len;
}

static void fill_committed(struct cf_replog *log, struct cf_replog_ready *ready)
{
	replog_copy_entries(log, log->delivered_index + 1, log->state.commit,
			    log->ready_committed);
	log->delivered_index = MAX(log->delivered_index, log->state.commit);
	log->ready_applied = log->delivered_index;
	ready->committed = (const struct cf_entry *)log->ready_committed->data;
	ready->n_committed = log->ready_committed->len;
}

static void fill_messages(struct cf_replog *log, struct cf_replog_ready *ready)
{
	GArray *messages = log->messages;

	log->messages = log->ready_messages;
	log->ready_messages = messages;
	ready->messages = (const struct cf_replog_message *)messages->data;
	ready->n_messages = messages->len;
}

void cf_replog_get_ready(struct cf_replog *log, struct cf_replog_ready *ready)
{
	bool voted = log->state.term != log->reported_state.term ||
		     log->state.vote != log->reported_state.vote;

	g_assert(!log->ready_outstanding);
	log->ready_outstanding = true;
	if (log->role == REPLOG_LEADER && log->send_pending)
		replog_send_all(log, false);
	*ready = (struct cf_replog_ready){ .hard_state = log->state };
	ready->hard_state_changed = state_changed(log);
	log->reported_state = log->state;
	if (log->snapshot_pending) {
		replog_copy_snapshot(&log->ready_snapshot, &log->snapshot);
		log->snapshot_pending = false;
		ready->snapshot = &log->ready_snapshot;
	}
	fill_entries(log, ready);
	fill_committed(log, ready);
	fill_messages(log, ready);
	ready->must_sync = voted || ready->n_entries || ready->snapshot;
}

void cf_replog_advance(struct cf_replog *log, int64_t now_ms)
{
	struct replog_peer *self;

	g_assert(log->ready_outstanding);
	log->now_ms = MAX(log->now_ms, now_ms);
	log->ready_outstanding = false;
	log->persisted_index = MAX(log->persisted_index, log->ready_last);
	log->applied_index = MAX(log->applied_index, log->ready_applied);
	g_array_set_size(log->ready_entries, 0);
	g_array_set_size(log->ready_committed, 0);
	g_array_set_size(log->ready_messages, 0);
	replog_clear_snapshot(&log->ready_snapshot);
	if (log->role != REPLOG_LEADER)
		return;
	self = replog_peer(log, log->id);
	if (self)
		self->match_index = log->persisted_index;
	replog_update_commit(log);
}

/* ---- Snapshots ------------------------------------------------------ */

void cf_replog_compact(struct cf_replog *log, uint64_t index, GBytes *snapshot)
{
	struct cf_snapshot taken = { .index = index, .data = snapshot };

	if (index <= log->snapshot.index || index > log->applied_index)
		return;
	replog_term_at(log, index, &taken.term);
	taken.members = replog_members_at(log, index);
	g_array_remove_range(log->entries, 0, index - log->snapshot.index);
	replog_copy_snapshot(&log->snapshot, &taken);
}
