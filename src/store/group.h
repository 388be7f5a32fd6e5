/*
 * group: this coordinator's replica of the replicated log. Connects the
 * library's log (cf_replog) to the data folder, through a disk thread with
 * group commit, and to the network links. Use it on the loop thread only;
 * callbacks run there too.
 */
#ifndef STORE_GROUP_H
#define STORE_GROUP_H

#include "chervilferry.h"
#include "net/loop.h"
#include "proto/wire.pb-c.h"

struct group;
struct store_ops; /* store/store.h */

#define GROUP_IDENTITY_SIZE 16

struct group_options {
	uint32_t id;
	const char *data_folder;
	const uint32_t *first_voters; /* used at the very first start only */
	uint32_t n_first_voters; /* 0: joins as a learner when it is added */
	uint32_t snapshot_every; /* entries between snapshots; 0: 2000 */
	uint64_t seed;
	int64_t election_ms; /* election timeout; 0: the log's default */
	struct store_ops *ops; /* file operations; NULL: the system's */
};

struct group_handlers {
	void (*apply)(void *arg, const struct cf_entry *entry);
	/* Returns the state to store in a snapshot. */
	GBytes *(*save)(void *arg);
	bool (*load)(void *arg, GBytes *snapshot, uint64_t index);
	void (*send)(void *arg, uint32_t to, const Cfw__LogMessage *message);
	void (*role)(void *arg, bool leader, uint32_t leader_id, uint64_t term);
	/* The disk failed or a snapshot could not be loaded; this member no
	 * longer votes. */
	void (*failed)(void *arg, const char *reason);
	/* Whether messages of a member with this disk identity are accepted.
	 * Detects a member whose disk was replaced. */
	bool (*accepts)(void *arg, uint32_t member,
			const uint8_t identity[GROUP_IDENTITY_SIZE]);
};

/* Recovers the state from the data folder. */
struct group *group_create(struct loop *loop, const struct group_options *o,
			   const struct group_handlers *handlers, void *arg,
			   GError **error);
void group_destroy(struct group *group); /* finishes pending writes */
void group_receive(struct group *group, const Cfw__LogMessage *message);
/* Returns the index of the proposed entry, or 0 if it was refused. */
uint64_t group_propose(struct group *group, GBytes *data, int64_t wall_ms);
uint64_t group_propose_members(struct group *group,
			       const struct cf_members *members,
			       int64_t wall_ms);
/* Call before a planned stop: a leader steps down, and the other members
 * elect a new one at once. */
void group_hand_over(struct group *group);
bool group_is_leader(const struct group *group);
uint32_t group_leader(const struct group *group); /* 0: unknown */
uint64_t group_term(const struct group *group);
uint64_t group_commit(const struct group *group);
uint64_t group_applied(const struct group *group);
/* See cf_replog_quorum_acked_ms; also INT64_MIN after a failure. */
int64_t group_quorum_ms(const struct group *group);
bool group_caught_up(const struct group *group, uint32_t member);
void group_get_members(const struct group *group, struct cf_members *members);
/* Identity of this member's disk. */
const uint8_t *group_identity(const struct group *group);
/* False after a failed write or a snapshot that could not be loaded. */
bool group_healthy(const struct group *group);

/* Small checksummed files of the coordinator in the data folder. Writes are
 * synced and replace the file atomically. store_get_file returns NULL
 * without an error if the file does not exist. */
bool store_put_file(const char *folder, const char *name, GBytes *data,
		    GError **error);
GBytes *store_get_file(const char *folder, const char *name, GError **error);
bool store_remove_file(const char *folder, const char *name, GError **error);

#endif
