/*
 * disk_queue: a thread that runs write jobs on a store one after another,
 * so that the loop thread never blocks on the disk. Call these functions on
 * the loop thread only; the outcome of a job is reported there too. The
 * data of a job must stay valid until its outcome.
 */
#ifndef STORE_DISK_QUEUE_H
#define STORE_DISK_QUEUE_H

#include "net/loop.h"
#include "store/store.h"

struct disk_queue;

struct disk_outcome {
	bool snapshot; /* true: a snapshot; false: an append */
	const struct cf_snapshot *saved; /* valid during the callback */
	const char *failure; /* reason, or NULL on success */
};

typedef void disk_done_fn(void *arg, const struct disk_outcome *outcome);

struct disk_queue *disk_queue_create(struct loop *loop, struct store *store,
				     disk_done_fn *done, void *arg);
void disk_queue_append(struct disk_queue *queue,
		       const struct store_write *write);
/* Takes ownership of the reference to the snapshot's data. */
void disk_queue_save(struct disk_queue *queue,
		     const struct cf_snapshot *snapshot);
/* Finishes all queued jobs; outcomes not reported by then are dropped. NULL
 * is allowed. */
void disk_queue_destroy(struct disk_queue *queue);

#endif
