/*
 * replog_members: membership of the group. A change takes effect as soon as
 * it is in the log. At most one voter is added or removed at a time, so that
 * any majority of the old voters overlaps any majority of the new ones
 * (section 4.1 of Ongaro's thesis). A leader proposes changes only after it
 * has committed an entry of its own term.
 */
#include "lib/replog_internal.h"
#include "proto/wire.pb-c.h"

#include <string.h>

/* ---- Serialization -------------------------------------------------- */

GBytes *cf_members_pack(const struct cf_members *members)
{
	struct cf_members copy = *members;
	Cfw__Members packed = CFW__MEMBERS__INIT;
	size_t size_bytes;
	uint8_t *data;

	packed.voters = copy.voters;
	packed.n_voters = copy.n_voters;
	packed.learners = copy.learners;
	packed.n_learners = copy.n_learners;
	size_bytes = cfw__members__get_packed_size(&packed);
	data = g_malloc(size_bytes + 1);
	cfw__members__pack(&packed, data);
	return g_bytes_new_take(data, size_bytes);
}

bool cf_members_unpack(GBytes *data, struct cf_members *members)
{
	struct cf_members found = { 0 };
	size_t size_bytes = 0;
	const uint8_t *bytes = data ? g_bytes_get_data(data, &size_bytes)
				    : NULL;
	Cfw__Members *packed;
	bool ok;

	packed = bytes ? cfw__members__unpack(NULL, size_bytes, bytes) : NULL;
	if (!packed)
		return false;
	ok = packed->n_voters <= CF_MEMBERS_MAX &&
	     packed->n_learners <= CF_MEMBERS_MAX;
	for (size_t i = 0; ok && i < packed->n_voters; i++)
		found.voters[found.n_voters++] = packed->voters[i];
	for (size_t i = 0; ok && i < packed->n_learners; i++)
		found.learners[found.n_learners++] = packed->learners[i];
	cfw__members__free_unpacked(packed, NULL);
	if (!ok || !replog_members_valid(&found))
		return false;
	*members = found;
	return true;
}

/* ---- Member sets ---------------------------------------------------- */

static bool contains(const uint32_t *ids, uint32_t n, uint32_t id)
{
	for (uint32_t i = 0; i < n; i++)
		if (ids[i] == id)
			return true;
	return false;
}

bool replog_members_valid(const struct cf_members *members)
{
	const struct cf_members *m = members;

	if (!m->n_voters || m->n_voters > CF_MEMBERS_MAX ||
	    m->n_learners > CF_MEMBERS_MAX)
		return false;
	for (uint32_t i = 0; i < m->n_voters; i++)
		if (!m->voters[i] || contains(m->voters, i, m->voters[i]))
			return false;
	for (uint32_t i = 0; i < m->n_learners; i++)
		if (!m->learners[i] ||
		    contains(m->learners, i, m->learners[i]) ||
		    contains(m->voters, m->n_voters, m->learners[i]))
			return false;
	return true;
}

static uint32_t count_missing(const struct cf_members *from,
			      const struct cf_members *in)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < from->n_voters; i++)
		n += !contains(in->voters, in->n_voters, from->voters[i]);
	return n;
}

struct replog_peer *replog_peer(struct cf_replog *log, uint32_t id)
{
	for (size_t i = 0; i < log->n_peers; i++)
		if (log->peers[i].id == id)
			return &log->peers[i];
	return NULL;
}

const struct replog_peer *replog_self(const struct cf_replog *log)
{
	for (size_t i = 0; i < log->n_peers; i++)
		if (log->peers[i].id == log->id)
			return &log->peers[i];
	return NULL;
}

size_t replog_quorum(const struct cf_replog *log)
{
	return log->members.n_voters / 2 + 1;
}

/* ---- Current members ------------------------------------------------ */

static void add_peer(struct cf_replog *log, uint32_t id, bool voter,
		     const struct replog_peer *old, size_t n_old)
{
	struct replog_peer *peer = &log->peers[log->n_peers++];

	*peer = (struct replog_peer){ .id = id,
				      .next_index =
					      cf_replog_last_index(log) + 1,
				      .last_contact_ms = log->now_ms,
				      .acked_ms = INT64_MIN };
	for (size_t i = 0; i < n_old; i++)
		if (old[i].id == id)
			*peer = old[i];
	peer->voter = voter;
}

void replog_use_members(struct cf_replog *log, const struct cf_members *members,
			uint64_t index)
{
	struct replog_peer old[REPLOG_PEERS_MAX];
	size_t n_old = log->n_peers;

	memcpy(old, log->peers, sizeof(old));
	log->members = *members;
	log->members_index = index;
	log->n_peers = 0;
	for (uint32_t i = 0; i < members->n_voters; i++)
		add_peer(log, members->voters[i], true, old, n_old);
	for (uint32_t i = 0; i < members->n_learners; i++)
		add_peer(log, members->learners[i], false, old, n_old);
}

/*
 * Finds the members in effect at "index". Returns the index of their entry,
 * or that of the snapshot (0 without one).
 */
static uint64_t newest_members(const struct cf_replog *log, uint64_t index,
			       struct cf_members *members)
{
	for (uint64_t i = index; i > log->snapshot.index; i--) {
		const struct cf_entry *entry = replog_entry_at(log, i);

		if (entry->kind == CF_ENTRY_MEMBERS &&
		    cf_members_unpack(entry->data, members))
			return i;
	}
	*members = log->snapshot.members;
	return log->snapshot.index;
}

void replog_reload_members(struct cf_replog *log)
{
	struct cf_members members;
	uint64_t index =
		newest_members(log, cf_replog_last_index(log), &members);

	replog_use_members(log, &members, index);
}

struct cf_members replog_members_at(const struct cf_replog *log, uint64_t index)
{
	struct cf_members members;

	newest_members(log, index, &members);
	return members;
}

/* ---- Changes -------------------------------------------------------- */

uint64_t cf_replog_propose_members(struct cf_replog *log,
				   const struct cf_members *members,
				   int64_t wall_ms, int64_t now_ms)
{
	struct cf_entry entry = { .kind = CF_ENTRY_MEMBERS,
				  .term = log->state.term,
				  .wall_ms = wall_ms };

	log->now_ms = MAX(log->now_ms, now_ms);
	if (log->role != REPLOG_LEADER || !replog_members_valid(members))
		return 0;
	if (log->state.commit < log->term_start_index ||
	    log->members_index > log->state.commit)
		return 0;
	if (count_missing(members, &log->members) +
		    count_missing(&log->members, members) >
	    1)
		return 0;
	entry.index = cf_replog_last_index(log) + 1;
	entry.data = cf_members_pack(members);
	replog_append_entry(log, &entry);
	g_bytes_unref(entry.data);
	log->send_pending = true;
	return entry.index;
}
