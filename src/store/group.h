/*
 * group: this coordinator's seat in the replicated log: binds the
 * library's log to the data folder (a disk thread, group commit) and to
 * the links. Loop thread only; callbacks run on the loop thread.
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
	const uint32_t *first_voters; /* used on the very first start */
	uint32_t n_first_voters; /* 0: joins as a learner when added */
	uint32_t snapshot_every; /* entries between snapshots; 0: 2000 */
	uint64_t seed;
	int64_t election_ms; /* without a leader; 0: the log's default */
	struct store_ops *ops; /* file operations; NULL: the system's */
};

struct group_handlers {
	void (*apply)(void *arg, const struct cf_entry *entry);
	GBytes *(*save)(void *arg); /* state for a snapshot */
	bool (*load)(void *arg, GBytes *snapshot, uint64_t index);
	void (*send)(void *arg, uint32_t to, const Cfw__LogMessage *message);
	void (*role)(void *arg, bool leader, uint32_t leader_id, uint64_t term);
	void (*failed)(void *arg, const char *why); /* disk: no longer votes */
	/* May this member, with this disk, take part? Tells a replaced disk. */
	bool (*accepts)(void *arg, uint32_t member,
			const uint8_t identity[GROUP_IDENTITY_SIZE]);
};

struct group *group_create(struct loop *loop, const struct group_options *o,
			   const struct group_handlers *handlers, void *arg,
			   GError **error); /* recovers the data folder */
void group_destroy(struct group *group); /* syncs what is pending */
void group_receive(struct group *group, const Cfw__LogMessage *message);
uint64_t group_propose(struct group *group, GBytes *data,
		       int64_t wall_ms); /* index, or 0 */
uint64_t group_propose_members(struct group *group,
			       const struct cf_members *members,
			       int64_t wall_ms);
void group_hand_over(struct group *group); /* before a planned stop */
bool group_is_leader(const struct group *group);
uint32_t group_leader(const struct group *group); /* 0 unknown */
uint64_t group_term(const struct group *group);
uint64_t group_commit(const struct group *group);
uint64_t group_applied(const struct group *group);
int64_t
group_quorum_ms(const struct group *group); /* see cf_replog_quorum_acked_ms */
bool group_caught_up(const struct group *group, uint32_t member);
void group_get_members(const struct group *group, struct cf_members *members);
const uint8_t *group_identity(const struct group *group); /* of this disk */
bool group_healthy(const struct group *group); /* the disk works */

/* Small files of the coordinator in the data folder, synced and replaced
 * atomically, checksummed. NULL without error: there is none. */
bool store_put_file(const char *folder, const char *name, GBytes *data,
		    GError **error);
GBytes *store_get_file(const char *folder, const char *name, GError **error);
bool store_remove_file(const char *folder, const char *name, GError **error);

#endif
