/*
 * lognet: deterministic simulation of a group of replicated logs with an
 * in-memory network and disks, driven by a seeded random generator. The
 * first violated invariant is described in "fault"; callers then stop the
 * run.
 */
#ifndef SUPPORT_LOGNET_H
#define SUPPORT_LOGNET_H

#include "chervilferry.h"

#define LOGNET_NODES_MAX 24
#define LOGNET_STEP_MS 10

/* State of a node that survives a crash of its process. */
struct lognet_disk {
	struct cf_hard_state state;
	struct cf_snapshot snapshot;
	GArray *entries; /* struct cf_entry, after the snapshot */
};

struct lognet_node {
	uint32_t id; /* index + 1 */
	bool alive, lost; /* lost: without its disk, never restarted */
	int64_t restart_ms;
	struct cf_replog *log;
	struct lognet_disk disk;
	struct cf_hard_state unsynced_state; /* before the last write */
	uint64_t unsynced_last;
	struct cf_replog_ready ready;
	bool disk_busy; /* the disk is writing "ready" */
	int64_t disk_done_ms;
	uint64_t applied, hash; /* hash: over all applied entries */
};

struct lognet_packet {
	struct cf_replog_message message;
	int64_t due_ms;
};

/* Probabilities are in thousandths. */
struct lognet_options {
	uint64_t seed;
	uint32_t n_voters;
	uint32_t drop, duplicate;
	int64_t delay_ms; /* maximum per message */
	int64_t disk_ms; /* maximum per write */
	uint64_t snapshot_every;
	bool lose_synced; /* a crash also loses the last synced write */
};

struct lognet {
	struct lognet_options options;
	uint64_t random;
	int64_t now_ms;
	struct lognet_node nodes[LOGNET_NODES_MAX];
	uint32_t n_nodes;
	GPtrArray *packets; /* struct lognet_packet */
	bool cut[LOGNET_NODES_MAX][LOGNET_NODES_MAX]; /* from, to */
	GArray *committed; /* uint64_t hash by index, [0] = 0 */
	GHashTable *leaders; /* term to id */
	/* (index, term) to a hash of the entry and the term before it */
	GHashTable *entries;
	/* Ring buffer of acknowledged revisions and their times. */
	int64_t acked_ms[64];
	uint64_t acked[64];
	uint32_t n_acked;
	uint64_t proposals, steps, crashes, disks_lost, snapshots, changes;
	char fault[200]; /* empty if no invariant is violated */
};

struct lognet *lognet_create(const struct lognet_options *options);
void lognet_destroy(struct lognet *net);
void lognet_step(struct lognet *net); /* advances time by LOGNET_STEP_MS */
uint64_t lognet_random(struct lognet *net, uint64_t below);
struct lognet_node *lognet_leader(struct lognet *net); /* or NULL */
struct lognet_node *lognet_add(struct lognet *net); /* empty disk */
void lognet_crash(struct lognet *net, struct lognet_node *node);
void lognet_restart(struct lognet *net, struct lognet_node *node);
void lognet_cut(struct lognet *net, uint32_t from, uint32_t to, bool cut);
void lognet_heal(struct lognet *net); /* removes all cuts, restarts all nodes */
uint64_t lognet_propose(struct lognet *net, struct lognet_node *node);
/* True if all live members have applied all entries of the leader. */
bool lognet_settled(struct lognet *net);

#endif
