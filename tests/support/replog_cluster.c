/*
 * replog_cluster: see the header.
 */
#include "replog_cluster.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define CONFIRM_MS 500 /* a leader's revision is as fresh as this */

/* ---- Chance --------------------------------------------------------- */

/* SplitMix64 (Steele, Lea and Flood, 2014). */
uint64_t cluster_random(struct cluster *cluster, uint64_t below)
{
	uint64_t z = cluster->random += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return (z ^ (z >> 31)) % below;
}

static bool happens(struct cluster *cluster, uint32_t thousandths)
{
	return thousandths && cluster_random(cluster, 1000) < thousandths;
}

/* ---- Checks --------------------------------------------------------- */

#define FAULT(cluster, ...)                                                    \
	do {                                                                   \
		if (!(cluster)->fault[0])                                      \
			snprintf((cluster)->fault, sizeof((cluster)->fault),   \
				 __VA_ARGS__);                                 \
	} while (0)

static uint64_t hash_entry(uint64_t before, const struct cf_entry *entry)
{
	uint64_t head[4] = { before, entry->index, entry->term, entry->kind };
	size_t size = 0;
	const void *data = entry->data ? g_bytes_get_data(entry->data, &size)
				       : NULL;

	return XXH64(data ? data : "", size, XXH64(head, sizeof(head), 1));
}

static void check_applied(struct cluster *cluster, struct cluster_node *node)
{
	GArray *committed = cluster->committed;

	if (node->applied < committed->len) {
		if (g_array_index(committed, uint64_t, node->applied) !=
		    node->hash)
			FAULT(cluster, "node %u applied another entry %lu",
			      node->id, (unsigned long)node->applied);
	} else if (node->applied == committed->len) {
		g_array_append_val(committed, node->hash);
	} else {
		FAULT(cluster, "node %u applied %lu of %u", node->id,
		      (unsigned long)node->applied, committed->len - 1);
	}
}

/* Log matching: an index and a term have one content and one entry
 * before it. */
static void check_entry(struct cluster *cluster, const struct cf_entry *entry,
			uint64_t term_before)
{
	gpointer key = GSIZE_TO_POINTER(entry->index << 24 | entry->term);
	gpointer hash = GSIZE_TO_POINTER(hash_entry(term_before, entry));
	gpointer found = g_hash_table_lookup(cluster->entries, key);

	if (!found)
		g_hash_table_insert(cluster->entries, key, hash);
	else if (found != hash)
		FAULT(cluster, "two entries %lu of term %lu",
		      (unsigned long)entry->index, (unsigned long)entry->term);
}

static void check_leader(struct cluster *cluster, struct cluster_node *node)
{
	uint64_t term = cf_replog_term(node->log);
	int64_t quorum_ms = cf_replog_quorum_ms(node->log);
	gpointer key = GSIZE_TO_POINTER(term), id = GUINT_TO_POINTER(node->id);
	gpointer found = g_hash_table_lookup(cluster->leaders, key);

	if (cf_replog_leader(node->log) != node->id)
		return;
	if (!found)
		g_hash_table_insert(cluster->leaders, key, id);
	else if (found != id)
		FAULT(cluster, "two leaders in term %lu", (unsigned long)term);
	if (!cf_replog_is_leader(node->log) ||
	    quorum_ms < cluster->now_ms - CONFIRM_MS)
		return;
	for (uint32_t i = 0; i < MIN(cluster->n_acked, 64); i++)
		if (cluster->acked_ms[i] <= quorum_ms &&
		    cluster->acked[i] > node->applied)
			FAULT(cluster,
			      "leader %u confirms revision %lu after %lu",
			      node->id, (unsigned long)node->applied,
			      (unsigned long)cluster->acked[i]);
}

/* ---- Disks ---------------------------------------------------------- */

static void clear_entry(gpointer entry)
{
	g_clear_pointer(&((struct cf_entry *)entry)->data, g_bytes_unref);
}

static void init_disk(struct cluster_disk *disk)
{
	*disk = (struct cluster_disk){ 0 };
	disk->entries = g_array_new(FALSE, FALSE, sizeof(struct cf_entry));
	g_array_set_clear_func(disk->entries, clear_entry);
}

static void clear_disk(struct cluster_disk *disk)
{
	g_array_unref(disk->entries);
	g_clear_pointer(&disk->snapshot.data, g_bytes_unref);
}

static void put_snapshot(struct cluster_disk *disk,
			 const struct cf_snapshot *snapshot)
{
	GBytes *old = disk->snapshot.data;

	disk->snapshot = *snapshot;
	g_bytes_ref(disk->snapshot.data);
	g_clear_pointer(&old, g_bytes_unref);
}

static void persist(struct cluster *cluster, struct cluster_node *node)
{
	struct cluster_disk *disk = &node->disk;
	const struct cf_replog_ready *ready = &node->ready;

	if (!ready->must_sync)
		return;
	node->unsynced_state = disk->state;
	node->unsynced_last = disk->snapshot.index + disk->entries->len;
	disk->state = ready->hard_state;
	if (ready->snapshot) {
		put_snapshot(disk, ready->snapshot);
		g_array_set_size(disk->entries, 0);
	}
	for (size_t i = 0; i < ready->n_entries; i++) {
		struct cf_entry entry = ready->entries[i];
		uint64_t at = entry.index - disk->snapshot.index - 1;
		uint64_t before = disk->snapshot.term;

		if (at > disk->entries->len) {
			FAULT(cluster, "node %u persists with a gap", node->id);
			return;
		}
		g_array_set_size(disk->entries, at);
		if (at)
			before = g_array_index(disk->entries, struct cf_entry,
					       at - 1)
					 .term;
		check_entry(cluster, &entry, before);
		if (entry.data)
			g_bytes_ref(entry.data);
		g_array_append_val(disk->entries, entry);
	}
}

static void take_snapshot(struct cluster *cluster, struct cluster_node *node)
{
	struct cluster_disk *disk = &node->disk;
	struct cf_snapshot snapshot = { .index = node->applied };
	uint64_t n = node->applied - disk->snapshot.index;
	uint64_t every = cluster->options.snapshot_every;

	if (!every || n < every || n > disk->entries->len)
		return;
	snapshot.term =
		g_array_index(disk->entries, struct cf_entry, n - 1).term;
	snapshot.data = g_bytes_new(&node->hash, sizeof(node->hash));
	snapshot.members = disk->snapshot.members;
	for (uint64_t i = 0; i < n; i++) {
		struct cf_entry *entry =
			&g_array_index(disk->entries, struct cf_entry, i);

		if (entry->kind == CF_ENTRY_MEMBERS)
			cf_members_unpack(entry->data, &snapshot.members);
	}
	put_snapshot(disk, &snapshot);
	g_array_remove_range(disk->entries, 0, n);
	cf_replog_compact(node->log, node->applied, snapshot.data);
	g_bytes_unref(snapshot.data);
}

/* ---- Network -------------------------------------------------------- */

static void free_packet(gpointer data)
{
	struct cluster_packet *packet = data;

	for (size_t i = 0; i < packet->message.n_entries; i++)
		clear_entry(&packet->message.entries[i]);
	g_free(packet->message.entries);
	g_clear_pointer(&packet->message.snapshot, g_bytes_unref);
	g_free(packet);
}

static void post(struct cluster *cluster, const struct cf_replog_message *m)
{
	struct cluster_packet *packet = g_new0(struct cluster_packet, 1);

	packet->message = *m;
	packet->message.entries =
		g_memdup2(m->entries, m->n_entries * sizeof(m->entries[0]));
	for (size_t i = 0; i < m->n_entries; i++)
		if (m->entries[i].data)
			g_bytes_ref(m->entries[i].data);
	if (m->snapshot)
		g_bytes_ref(m->snapshot);
	packet->due_ms =
		cluster->now_ms + 1 +
		(int64_t)cluster_random(cluster, cluster->options.delay_ms + 1);
	g_ptr_array_add(cluster->packets, packet);
}

static void send_message(struct cluster *cluster,
			 const struct cf_replog_message *m)
{
	if (!m->to || m->to > cluster->n_nodes)
		return;
	if (cluster->cut[m->from - 1][m->to - 1] ||
	    happens(cluster, cluster->options.drop))
		return;
	post(cluster, m);
	if (happens(cluster, cluster->options.duplicate))
		post(cluster, m);
}

static void deliver(struct cluster *cluster)
{
	GPtrArray *packets = cluster->packets;

	for (guint i = 0; i < packets->len;) {
		struct cluster_packet *packet = packets->pdata[i];
		struct cluster_node *to =
			&cluster->nodes[packet->message.to - 1];

		if (packet->due_ms > cluster->now_ms) {
			i++;
			continue;
		}
		g_ptr_array_steal_index_fast(packets, i);
		if (to->alive)
			cf_replog_step(to->log, &packet->message,
				       cluster->now_ms);
		free_packet(packet);
		cluster->steps++;
	}
}

/* ---- Nodes ---------------------------------------------------------- */

/* Sent before the sync, as the store's group does. */
static bool goes_early(const struct cluster_node *node,
		       const struct cf_replog_message *m)
{
	return node->ready.hard_state.term == node->disk.state.term &&
	       node->ready.hard_state.vote == node->disk.state.vote &&
	       (m->kind == CF_REPLOG_APPEND || m->kind == CF_REPLOG_SNAPSHOT);
}

static void send_ready(struct cluster *cluster, struct cluster_node *node,
		       bool early)
{
	for (size_t i = 0; i < node->ready.n_messages; i++)
		if (goes_early(node, &node->ready.messages[i]) == early)
			send_message(cluster, &node->ready.messages[i]);
}

static void apply(struct cluster *cluster, struct cluster_node *node)
{
	const struct cf_replog_ready *ready = &node->ready;

	if (ready->snapshot) {
		cluster->snapshots++;
		node->applied = ready->snapshot->index;
		memcpy(&node->hash,
		       g_bytes_get_data(ready->snapshot->data, NULL),
		       sizeof(node->hash));
		check_applied(cluster, node);
	}
	for (size_t i = 0; i < ready->n_committed; i++) {
		if (ready->committed[i].index != node->applied + 1)
			FAULT(cluster, "node %u applies %lu after %lu",
			      node->id,
			      (unsigned long)ready->committed[i].index,
			      (unsigned long)node->applied);
		node->hash = hash_entry(node->hash, &ready->committed[i]);
		node->applied = ready->committed[i].index;
		check_applied(cluster, node);
	}
	if (ready->n_committed && cf_replog_leader(node->log) == node->id) {
		uint32_t slot = cluster->n_acked++ % 64;

		cluster->acked_ms[slot] = cluster->now_ms;
		cluster->acked[slot] = node->applied;
	}
}

static void finish_ready(struct cluster *cluster, struct cluster_node *node)
{
	send_ready(cluster, node, false);
	persist(cluster, node);
	apply(cluster, node);
	node->busy = false;
	cf_replog_advance(node->log, cluster->now_ms);
	take_snapshot(cluster, node);
}

static void run_node(struct cluster *cluster, struct cluster_node *node)
{
	if (node->busy && node->done_ms <= cluster->now_ms)
		finish_ready(cluster, node);
	if (node->busy || !cf_replog_has_ready(node->log))
		return;
	cf_replog_get_ready(node->log, &node->ready);
	node->busy = true;
	node->done_ms = cluster->now_ms;
	if (node->ready.must_sync)
		node->done_ms += (int64_t)cluster_random(
			cluster, cluster->options.disk_ms + 1);
	send_ready(cluster, node, true);
}

static void start_node(struct cluster *cluster, struct cluster_node *node)
{
	struct cf_replog_options options = {
		.id = node->id, .seed = cluster_random(cluster, UINT64_MAX)
	};

	if (node->id <= cluster->options.n_voters) {
		options.members.n_voters = cluster->options.n_voters;
		for (uint32_t i = 0; i < options.members.n_voters; i++)
			options.members.voters[i] = i + 1;
	}
	if (!node->disk.snapshot.index)
		node->disk.snapshot.members = options.members;
	node->log = cf_replog_create(&options, cluster->now_ms);
	cf_replog_restore(
		node->log, &node->disk.state, &node->disk.snapshot,
		(const struct cf_entry *)(void *)node->disk.entries->data,
		node->disk.entries->len);
	node->applied = node->disk.snapshot.index;
	node->hash = 0;
	if (node->disk.snapshot.data)
		memcpy(&node->hash,
		       g_bytes_get_data(node->disk.snapshot.data, NULL),
		       sizeof(node->hash));
	node->alive = true;
	node->busy = false;
}

void cluster_crash(struct cluster *cluster, struct cluster_node *node)
{
	struct cluster_disk *disk = &node->disk;

	if (!node->alive)
		return;
	cluster->crashes++;
	if (cluster->options.lose_synced) {
		disk->state = node->unsynced_state;
		if (node->unsynced_last >= disk->snapshot.index &&
		    node->unsynced_last <
			    disk->snapshot.index + disk->entries->len)
			g_array_set_size(disk->entries,
					 node->unsynced_last -
						 disk->snapshot.index);
	}
	cf_replog_destroy(node->log);
	node->log = NULL;
	node->alive = false;
	node->busy = false;
}

void cluster_restart(struct cluster *cluster, struct cluster_node *node)
{
	if (!node->alive && !node->lost)
		start_node(cluster, node);
}

struct cluster_node *cluster_add(struct cluster *cluster)
{
	struct cluster_node *node;

	if (cluster->n_nodes == CLUSTER_NODES_MAX)
		return NULL;
	node = &cluster->nodes[cluster->n_nodes++];
	node->id = cluster->n_nodes;
	init_disk(&node->disk);
	start_node(cluster, node);
	return node;
}

/* ---- Whole ---------------------------------------------------------- */

struct cluster *cluster_create(const struct cluster_options *options)
{
	struct cluster *cluster = g_new0(struct cluster, 1);
	uint64_t none = 0;

	cluster->options = *options;
	cluster->random = options->seed * 0x2545f4914f6cdd1d + 1;
	cluster->now_ms = 1000;
	cluster->packets = g_ptr_array_new();
	cluster->committed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(cluster->committed, none);
	cluster->leaders = g_hash_table_new(NULL, NULL);
	cluster->entries = g_hash_table_new(NULL, NULL);
	for (uint32_t i = 0; i < options->n_voters; i++)
		cluster_add(cluster);
	return cluster;
}

void cluster_destroy(struct cluster *cluster)
{
	for (uint32_t i = 0; i < cluster->n_nodes; i++) {
		cluster_crash(cluster, &cluster->nodes[i]);
		clear_disk(&cluster->nodes[i].disk);
	}
	for (guint i = 0; i < cluster->packets->len; i++)
		free_packet(cluster->packets->pdata[i]);
	g_ptr_array_unref(cluster->packets);
	g_array_unref(cluster->committed);
	g_hash_table_unref(cluster->leaders);
	g_hash_table_unref(cluster->entries);
	g_free(cluster);
}

void cluster_step(struct cluster *cluster)
{
	cluster->now_ms += CLUSTER_STEP_MS;
	deliver(cluster);
	for (uint32_t i = 0; i < cluster->n_nodes; i++) {
		struct cluster_node *node = &cluster->nodes[i];

		if (!node->alive) {
			if (node->restart_ms &&
			    node->restart_ms <= cluster->now_ms)
				cluster_restart(cluster, node);
			continue;
		}
		cf_replog_tick(node->log, cluster->now_ms);
		run_node(cluster, node);
		check_leader(cluster, node);
		cluster->steps++;
	}
}

struct cluster_node *cluster_leader(struct cluster *cluster)
{
	struct cluster_node *best = NULL;

	for (uint32_t i = 0; i < cluster->n_nodes; i++) {
		struct cluster_node *node = &cluster->nodes[i];

		if (!node->alive || !cf_replog_is_leader(node->log))
			continue;
		if (!best ||
		    cf_replog_term(node->log) > cf_replog_term(best->log))
			best = node;
	}
	return best;
}

void cluster_cut(struct cluster *cluster, uint32_t from, uint32_t to, bool cut)
{
	cluster->cut[from - 1][to - 1] = cut;
}

void cluster_heal(struct cluster *cluster)
{
	memset(cluster->cut, 0, sizeof(cluster->cut));
	for (uint32_t i = 0; i < cluster->n_nodes; i++)
		cluster_restart(cluster, &cluster->nodes[i]);
}

uint64_t cluster_propose(struct cluster *cluster, struct cluster_node *node)
{
	uint64_t value = ++cluster->proposals;
	GBytes *data = g_bytes_new(&value, sizeof(value));
	uint64_t index = cf_replog_propose(node->log, data, cluster->now_ms,
					   cluster->now_ms);

	g_bytes_unref(data);
	return index;
}

bool cluster_settled(struct cluster *cluster)
{
	struct cluster_node *leader = cluster_leader(cluster);
	struct cf_members m;

	if (!leader)
		return false;
	cf_replog_get_members(leader->log, &m);
	for (uint32_t i = 0; i < m.n_voters + m.n_learners; i++) {
		uint32_t id = i < m.n_voters ? m.voters[i]
					     : m.learners[i - m.n_voters];
		struct cluster_node *node = &cluster->nodes[id - 1];

		if (node->alive && node->applied != leader->applied)
			return false;
	}
	return leader->applied == cf_replog_last(leader->log);
}
