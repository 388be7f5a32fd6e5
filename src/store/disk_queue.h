/*
 * disk_queue: a thread that writes to a store, one job after another, so
 * that the loop never waits for the disk. Loop thread only; the outcome of
 * a job comes on the loop. Jobs borrow what they write.
 */
#ifndef STORE_DISK_QUEUE_H
#define STORE_DISK_QUEUE_H

#include "net/loop.h"
#include "store/store.h"

struct disk_queue;

struct disk_outcome {
	bool snapshot; /* it was one; else an append */
	const struct cf_snapshot *saved; /* the snapshot, borrowed */
	const char *failure; /* why it failed, or NULL */
};

typedef void disk_done_fn(void *arg, const struct disk_outcome *outcome);

struct disk_queue *disk_queue_create(struct loop *loop, struct store *store,
				     disk_done_fn *done, void *arg);
void disk_queue_append(struct disk_queue *queue,
		       const struct store_write *write);
/* Takes over the reference to the snapshot's data. */
void disk_queue_save(struct disk_queue *queue,
		     const struct cf_snapshot *snapshot);
/* Finishes what was given; outcomes that have not come come no more. */
void disk_queue_destroy(struct disk_queue *queue); /* NULL is allowed */

#endif
