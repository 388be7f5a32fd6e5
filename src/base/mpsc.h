/*
 * mpsc: a lock-free intrusive queue with many producers and one consumer.
 * The consumer takes all nodes at once, oldest first. It is a Treiber stack
 * (1986) that is reversed when it is taken. Embed struct mpsc_node in the
 * queued type.
 */
#ifndef BASE_MPSC_H
#define BASE_MPSC_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>

struct mpsc_node {
	struct mpsc_node *next;
};

struct mpsc {
	_Atomic(struct mpsc_node *) head;
};

/* May be called by any thread. Returns true if the queue was empty, in which
 * case the caller must wake the consumer. */
static inline bool mpsc_push(struct mpsc *queue, struct mpsc_node *node)
{
	struct mpsc_node *head = atomic_load(&queue->head);

	do {
		node->next = head;
	} while (!atomic_compare_exchange_weak(&queue->head, &head, node));
	return !head;
}

/* For the consumer only. Returns all nodes, oldest first, or NULL. */
static inline struct mpsc_node *mpsc_take_all(struct mpsc *queue)
{
	struct mpsc_node *node = atomic_exchange(&queue->head, NULL);
	struct mpsc_node *oldest = NULL;

	while (node) {
		struct mpsc_node *next = node->next;

		node->next = oldest;
		oldest = node;
		node = next;
	}
	return oldest;
}

#endif
