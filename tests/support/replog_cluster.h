/*
 * replog_cluster: replicated logs joined by a network and disks that
 * live in memory, moved on by a seeded generator. Any broken promise is
 * written to "fault" and stops the run.
 */
#ifndef SUPPORT_REPLOG_CLUSTER_H
#define SUPPORT_REPLOG_CLUSTER_H

#include "chervilferry.h"

#define CLUSTER_NODES_MAX 24
#define CLUSTER_STEP_MS 10

/* What is left of a node when its process dies. */
struct cluster_disk {
	struct cf_hard_state state;
	struct cf_snapshot snapshot;
	GArray *entries; /* struct cf_entry, after the snapshot */
};

struct cluster_node {
	uint32_t id; /* index + 1 */
	bool alive, lost;
	int64_t restart_ms;
	struct cf_replog *log;
	struct cluster_disk disk;
	struct cf_hard_state unsynced_state; /* before the last write */
	uint64_t unsynced_last;
	struct cf_replog_ready ready;
	bool busy; /* the disk works on "ready" */
	int64_t done_ms;
	uint64_t applied, hash; /* state: hash over all applied entries */
};

struct cluster_packet {
	struct cf_replog_message message;
	int64_t due_ms;
};

/* Chances are in thousandths. */
struct cluster_options {
	uint64_t seed;
	uint32_t n_voters;
	uint32_t drop, duplicate;
	int64_t delay_ms; /* at most */
	int64_t disk_ms; /* at most */
	uint64_t snapshot_every;
	bool lose_synced; /* a crash loses the last write, though synced */
};

struct cluster {
	struct cluster_options options;
	uint64_t random;
	int64_t now_ms;
	struct cluster_node nodes[CLUSTER_NODES_MAX];
	uint32_t n_nodes;
	GPtrArray *packets; /* struct cluster_packet */
	bool cut[CLUSTER_NODES_MAX][CLUSTER_NODES_MAX]; /* from, to */
	GArray *committed; /* uint64_t hash by index, [0] = 0 */
	GHashTable *leaders; /* term to id */
	GHashTable *entries; /* (index, term) to hash with the term before */
	int64_t acked_ms[64]; /* when revisions were acknowledged, a ring */
	uint64_t acked[64];
	uint32_t n_acked;
	uint64_t proposals, steps, crashes, disks_lost, snapshots, changes;
	char fault[200]; /* empty: none */
};

struct cluster *cluster_create(const struct cluster_options *options);
void cluster_destroy(struct cluster *cluster);
void cluster_step(struct cluster *cluster); /* CLUSTER_STEP_MS go by */
uint64_t cluster_random(struct cluster *cluster, uint64_t below);
struct cluster_node *cluster_leader(struct cluster *cluster); /* or NULL */
struct cluster_node *cluster_add(struct cluster *cluster); /* empty disk */
void cluster_crash(struct cluster *cluster, struct cluster_node *node);
void cluster_restart(struct cluster *cluster, struct cluster_node *node);
void cluster_cut(struct cluster *cluster, uint32_t from, uint32_t to, bool cut);
void cluster_heal(struct cluster *cluster); /* no cuts, all restarted */
uint64_t cluster_propose(struct cluster *cluster, struct cluster_node *node);
bool cluster_settled(struct cluster *cluster); /* all members hold the same */

#endif
