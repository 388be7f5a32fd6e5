/*
 * lognet: network, nodes and the simulation loop. See lognet.h.
 */
#include "lognet_internal.h"

#include <stdio.h>
#include <string.h>

/* ---- Random numbers ------------------------------------------------- */

/* SplitMix64 (Steele, Lea and Flood, 2014). */
uint64_t lognet_random(struct lognet *net, uint64_t below)
{
	uint64_t z = net->random += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return (z ^ (z >> 31)) % below;
}

static bool draw_chance(struct lognet *net, uint32_t thousandths)
{
	return thousandths && lognet_random(net, 1000) < thousandths;
}

/* ---- Network -------------------------------------------------------- */

static void free_packet(gpointer data)
{
	struct lognet_packet *packet = data;

	for (size_t i = 0; i < packet->message.n_entries; i++)
		lognet_clear_entry(&packet->message.entries[i]);
	g_free(packet->message.entries);
	g_bytes_unref(packet->message.snapshot);
	g_free(packet);
}

static void enqueue_packet(struct lognet *net,
			   const struct cf_replog_message *m)
{
	struct lognet_packet *packet = g_new0(struct lognet_packet, 1);

	packet->message = *m;
	packet->message.entries =
		g_memdup2(m->entries, m->n_entries * sizeof(m->entries[0]));
	for (size_t i = 0; i < m->n_entries; i++)
		if (m->entries[i].data)
			g_bytes_ref(m->entries[i].data);
	if (m->snapshot)
		g_bytes_ref(m->snapshot);
	packet->due_ms = net->now_ms + 1 +
			 (int64_t)lognet_random(net, net->options.delay_ms + 1);
	g_ptr_array_add(net->packets, packet);
}

static void send_message(struct lognet *net, const struct cf_replog_message *m)
{
	if (!m->to || m->to > net->n_nodes)
		return;
	if (net->cut[m->from - 1][m->to - 1] ||
	    draw_chance(net, net->options.drop))
		return;
	enqueue_packet(net, m);
	if (draw_chance(net, net->options.duplicate))
		enqueue_packet(net, m);
}

static void deliver(struct lognet *net)
{
	GPtrArray *packets = net->packets;

	for (guint i = 0; i < packets->len;) {
		struct lognet_packet *packet = packets->pdata[i];
		struct lognet_node *to = &net->nodes[packet->message.to - 1];

		if (packet->due_ms > net->now_ms) {
			i++;
			continue;
		}
		g_ptr_array_steal_index_fast(packets, i);
		if (to->alive)
			cf_replog_step(to->log, &packet->message, net->now_ms);
		free_packet(packet);
		net->steps++;
	}
}

/* ---- Nodes ---------------------------------------------------------- */

/*
 * The leader's appends and snapshots are sent before the sync, as in
 * src/store/group.c, unless the term or the vote is yet to be synced.
 */
static bool is_sent_before_sync(const struct lognet_node *node,
				const struct cf_replog_message *m)
{
	return node->ready.hard_state.term == node->disk.state.term &&
	       node->ready.hard_state.vote == node->disk.state.vote &&
	       (m->kind == CF_REPLOG_APPEND || m->kind == CF_REPLOG_SNAPSHOT);
}

static void send_ready(struct lognet *net, struct lognet_node *node, bool early)
{
	for (size_t i = 0; i < node->ready.n_messages; i++)
		if (is_sent_before_sync(node, &node->ready.messages[i]) ==
		    early)
			send_message(net, &node->ready.messages[i]);
}

static void apply(struct lognet *net, struct lognet_node *node)
{
	const struct cf_replog_ready *ready = &node->ready;

	if (ready->snapshot) {
		net->snapshots++;
		node->applied = ready->snapshot->index;
		memcpy(&node->hash,
		       g_bytes_get_data(ready->snapshot->data, NULL),
		       sizeof(node->hash));
		lognet_check_applied(net, node);
	}
	for (size_t i = 0; i < ready->n_committed; i++) {
		if (ready->committed[i].index != node->applied + 1)
			FAULT(net, "node %u applies %lu after %lu", node->id,
			      (unsigned long)ready->committed[i].index,
			      (unsigned long)node->applied);
		node->hash =
			lognet_hash_entry(node->hash, &ready->committed[i]);
		node->applied = ready->committed[i].index;
		lognet_check_applied(net, node);
	}
	if (ready->n_committed && cf_replog_leader(node->log) == node->id) {
		uint32_t slot = net->n_acked++ % 64;

		net->acked_ms[slot] = net->now_ms;
		net->acked[slot] = node->applied;
	}
}

static void finish_ready(struct lognet *net, struct lognet_node *node)
{
	send_ready(net, node, false);
	lognet_persist(net, node);
	apply(net, node);
	node->disk_busy = false;
	cf_replog_advance(node->log, net->now_ms);
	lognet_take_snapshot(net, node);
}

static void run_node(struct lognet *net, struct lognet_node *node)
{
	if (node->disk_busy && node->disk_done_ms <= net->now_ms)
		finish_ready(net, node);
	if (node->disk_busy || !cf_replog_has_ready(node->log))
		return;
	cf_replog_get_ready(node->log, &node->ready);
	node->disk_busy = true;
	node->disk_done_ms = net->now_ms;
	if (node->ready.must_sync)
		node->disk_done_ms +=
			(int64_t)lognet_random(net, net->options.disk_ms + 1);
	send_ready(net, node, true);
}

static void start_node(struct lognet *net, struct lognet_node *node)
{
	struct cf_replog_options options = {
		.id = node->id, .seed = lognet_random(net, UINT64_MAX)
	};

	if (node->id <= net->options.n_voters) {
		options.members.n_voters = net->options.n_voters;
		for (uint32_t i = 0; i < options.members.n_voters; i++)
			options.members.voters[i] = i + 1;
	}
	if (!node->disk.snapshot.index)
		node->disk.snapshot.members = options.members;
	node->log = cf_replog_create(&options, net->now_ms);
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
	node->disk_busy = false;
}

void lognet_crash(struct lognet *net, struct lognet_node *node)
{
	struct lognet_disk *disk = &node->disk;

	if (!node->alive)
		return;
	net->crashes++;
	if (net->options.lose_synced) {
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
	node->disk_busy = false;
}

void lognet_restart(struct lognet *net, struct lognet_node *node)
{
	if (!node->alive && !node->lost)
		start_node(net, node);
}

struct lognet_node *lognet_add(struct lognet *net)
{
	struct lognet_node *node;

	if (net->n_nodes == LOGNET_NODES_MAX)
		return NULL;
	node = &net->nodes[net->n_nodes++];
	node->id = net->n_nodes;
	lognet_init_disk(&node->disk);
	start_node(net, node);
	return node;
}

/* ---- Simulation ----------------------------------------------------- */

struct lognet *lognet_create(const struct lognet_options *options)
{
	struct lognet *net = g_new0(struct lognet, 1);
	uint64_t none = 0;

	net->options = *options;
	net->random = options->seed * 0x2545f4914f6cdd1d + 1;
	net->now_ms = 1000;
	net->packets = g_ptr_array_new();
	net->committed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(net->committed, none);
	net->leaders = g_hash_table_new(NULL, NULL);
	net->entries = g_hash_table_new(NULL, NULL);
	for (uint32_t i = 0; i < options->n_voters; i++)
		lognet_add(net);
	return net;
}

void lognet_destroy(struct lognet *net)
{
	for (uint32_t i = 0; i < net->n_nodes; i++) {
		lognet_crash(net, &net->nodes[i]);
		lognet_clear_disk(&net->nodes[i].disk);
	}
	for (guint i = 0; i < net->packets->len; i++)
		free_packet(net->packets->pdata[i]);
	g_ptr_array_unref(net->packets);
	g_array_unref(net->committed);
	g_hash_table_unref(net->leaders);
	g_hash_table_unref(net->entries);
	g_free(net);
}

void lognet_step(struct lognet *net)
{
	net->now_ms += LOGNET_STEP_MS;
	deliver(net);
	for (uint32_t i = 0; i < net->n_nodes; i++) {
		struct lognet_node *node = &net->nodes[i];

		if (!node->alive) {
			if (node->restart_ms && node->restart_ms <= net->now_ms)
				lognet_restart(net, node);
			continue;
		}
		cf_replog_tick(node->log, net->now_ms);
		run_node(net, node);
		lognet_check_leader(net, node);
		net->steps++;
	}
}

struct lognet_node *lognet_leader(struct lognet *net)
{
	struct lognet_node *best = NULL;

	for (uint32_t i = 0; i < net->n_nodes; i++) {
		struct lognet_node *node = &net->nodes[i];

		if (!node->alive || !cf_replog_is_leader(node->log))
			continue;
		if (!best ||
		    cf_replog_term(node->log) > cf_replog_term(best->log))
			best = node;
	}
	return best;
}

void lognet_cut(struct lognet *net, uint32_t from, uint32_t to, bool cut)
{
	net->cut[from - 1][to - 1] = cut;
}

void lognet_heal(struct lognet *net)
{
	memset(net->cut, 0, sizeof(net->cut));
	for (uint32_t i = 0; i < net->n_nodes; i++)
		lognet_restart(net, &net->nodes[i]);
}

uint64_t lognet_propose(struct lognet *net, struct lognet_node *node)
{
	uint64_t value = ++net->proposals;
	GBytes *data = g_bytes_new(&value, sizeof(value));
	uint64_t index =
		cf_replog_propose(node->log, data, net->now_ms, net->now_ms);

	g_bytes_unref(data);
	return index;
}

bool lognet_settled(struct lognet *net)
{
	struct lognet_node *leader = lognet_leader(net);
	struct cf_members m;

	if (!leader)
		return false;
	cf_replog_get_members(leader->log, &m);
	for (uint32_t i = 0; i < m.n_voters + m.n_learners; i++) {
		uint32_t id = i < m.n_voters ? m.voters[i]
					     : m.learners[i - m.n_voters];
		struct lognet_node *node = &net->nodes[id - 1];

		if (node->alive && node->applied != leader->applied)
			return false;
	}
	return leader->applied == cf_replog_last_index(leader->log);
}
