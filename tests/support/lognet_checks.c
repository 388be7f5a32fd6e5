/*
 * lognet_checks: the disks of the nodes, and the invariants that are checked
 * whenever an entry is written or applied, or a leader confirms a revision.
 */
#include "lognet_internal.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* A leader serves its revision while its quorum contact is newer than this. */
#define CONFIRM_MS 500

/* ---- Checks --------------------------------------------------------- */

uint64_t lognet_hash_entry(uint64_t before, const struct cf_entry *entry)
{
	uint64_t head[4] = { before, entry->index, entry->term, entry->kind };
	size_t size = 0;
	const void *data = entry->data ? g_bytes_get_data(entry->data, &size)
				       : NULL;

	return XXH64(data ? data : "", size, XXH64(head, sizeof(head), 1));
}

void lognet_check_applied(struct lognet *net, struct lognet_node *node)
{
	GArray *committed = net->committed;

	if (node->applied < committed->len) {
		if (g_array_index(committed, uint64_t, node->applied) !=
		    node->hash)
			FAULT(net,
			      "node %u applied a different entry at index %lu",
			      node->id, (unsigned long)node->applied);
	} else if (node->applied == committed->len) {
		g_array_append_val(committed, node->hash);
	} else {
		FAULT(net,
		      "node %u applied index %lu, but the last committed is %u",
		      node->id, (unsigned long)node->applied,
		      committed->len - 1);
	}
}

/*
 * Log matching property: entries with the same index and term have the same
 * content and follow entries of the same term.
 */
static void check_entry(struct lognet *net, const struct cf_entry *entry,
			uint64_t term_before)
{
	gpointer key = GSIZE_TO_POINTER(entry->index << 24 | entry->term);
	gpointer hash = GSIZE_TO_POINTER(lognet_hash_entry(term_before, entry));
	gpointer found = g_hash_table_lookup(net->entries, key);

	if (!found)
		g_hash_table_insert(net->entries, key, hash);
	else if (found != hash)
		FAULT(net, "two different entries at index %lu of term %lu",
		      (unsigned long)entry->index, (unsigned long)entry->term);
}

void lognet_check_leader(struct lognet *net, struct lognet_node *node)
{
	uint64_t term = cf_replog_term(node->log);
	int64_t quorum_ms = cf_replog_quorum_acked_ms(node->log);
	gpointer key = GSIZE_TO_POINTER(term), id = GUINT_TO_POINTER(node->id);
	gpointer found = g_hash_table_lookup(net->leaders, key);

	if (cf_replog_leader(node->log) != node->id)
		return;
	if (!found)
		g_hash_table_insert(net->leaders, key, id);
	else if (found != id)
		FAULT(net, "two leaders in term %lu", (unsigned long)term);
	if (!cf_replog_is_leader(node->log) ||
	    quorum_ms < net->now_ms - CONFIRM_MS)
		return;
	for (uint32_t i = 0; i < MIN(net->n_acked, 64); i++)
		if (net->acked_ms[i] <= quorum_ms &&
		    net->acked[i] > node->applied)
			FAULT(net,
			      "leader %u confirms revision %lu, but %lu was "
			      "acknowledged",
			      node->id, (unsigned long)node->applied,
			      (unsigned long)net->acked[i]);
}

/* ---- Disks ---------------------------------------------------------- */

void lognet_clear_entry(gpointer entry)
{
	g_bytes_unref(((struct cf_entry *)entry)->data);
}

void lognet_init_disk(struct lognet_disk *disk)
{
	*disk = (struct lognet_disk){ 0 };
	disk->entries = g_array_new(FALSE, FALSE, sizeof(struct cf_entry));
	g_array_set_clear_func(disk->entries, lognet_clear_entry);
}

void lognet_clear_disk(struct lognet_disk *disk)
{
	g_array_unref(disk->entries);
	g_bytes_unref(disk->snapshot.data);
}

static void put_snapshot(struct lognet_disk *disk,
			 const struct cf_snapshot *snapshot)
{
	GBytes *old = disk->snapshot.data;

	disk->snapshot = *snapshot;
	g_bytes_ref(disk->snapshot.data);
	g_bytes_unref(old);
}

void lognet_persist(struct lognet *net, struct lognet_node *node)
{
	struct lognet_disk *disk = &node->disk;
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
			FAULT(net, "node %u persists with a gap", node->id);
			return;
		}
		g_array_set_size(disk->entries, at);
		if (at)
			before = g_array_index(disk->entries, struct cf_entry,
					       at - 1)
					 .term;
		check_entry(net, &entry, before);
		if (entry.data)
			g_bytes_ref(entry.data);
		g_array_append_val(disk->entries, entry);
	}
}

void lognet_take_snapshot(struct lognet *net, struct lognet_node *node)
{
	struct lognet_disk *disk = &node->disk;
	struct cf_snapshot snapshot = { .index = node->applied };
	uint64_t n = node->applied - disk->snapshot.index;
	uint64_t every = net->options.snapshot_every;

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
