/*
 * room_share: how much of a backend server's free room each dispatcher is
 * told of. All are told of plenty. What is scarce is offered to a few of
 * them at a time, the fewer the less there is, so that not all send a task
 * for the same room. Those that want room come first, in turn; one that
 * leaves its turn unused is passed over for a while. While nobody wants
 * any, the few stay the same, so that nothing has to be told. It answers
 * the load at which many dispatchers compete for the last room. Pure; one
 * thread at a time.
 *
 *	struct room_share *share = room_share_create(seed);
 *	room_share_join(share, dispatcher, wants);
 *	room_share_rotate(share, free_milli, capacity_milli, now_ms);
 *	told = room_share_reported(share, dispatcher, free_milli,
 *capacity_milli); room_share_mark_used(share, dispatcher); // a start of it
 *came
 */
#ifndef LEASED_ROOM_SHARE_H
#define LEASED_ROOM_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct room_share;

/* The seed, a server's own, orders the dispatchers, so that the servers
 * don't all offer to the same few. */
struct room_share *room_share_create(uint64_t seed);
void room_share_destroy(struct room_share *share); /* NULL is allowed */
/* Dispatchers by their incarnation; again, or one that isn't there: no
 * effect. Wants: see room_share_set_demand(). */
void room_share_join(struct room_share *share, uint64_t dispatcher,
		     bool has_demand);
void room_share_leave(struct room_share *share, uint64_t dispatcher);
/* Whether it has work that finds too little room. */
void room_share_set_demand(struct room_share *share, uint64_t dispatcher,
			   bool has_demand);
void room_share_mark_used(struct room_share *share, uint64_t dispatcher);
/* Passes the turn on when it is time to. */
void room_share_rotate(struct room_share *share, int64_t free_milli,
		       int64_t capacity_milli, int64_t now_ms);
/* Whether the room is offered in turn, as somebody wants it. */
bool room_share_is_rotating(const struct room_share *share, int64_t free_milli,
			    int64_t capacity_milli);
/* Free processors, in thousandths, that this dispatcher may count on;
 * of plenty in steps, so that not each change has to be told. */
int64_t room_share_reported(const struct room_share *share, uint64_t dispatcher,
			    int64_t free_milli, int64_t capacity_milli);

#endif
