/*
 * room_share: see room_share.h.
 */
#include "leased/room_share.h"

#include <xxhash.h>

/* ---- Constants ------------------------------------------------------ */

#define PLENTY_MILLI 700 /* of the capacity: so much is no one's alone */
#define MILLI 1000
#define STEPS 32 /* of the capacity, in which plenty is told */
#define HOLDERS 8 /* turns beside each other if all were free */
#define TURN_MS 8 /* a message there, one back, and a turn of each loop */
#define PASSED_OVER_MS 50 /* after a turn that was left unused */

/* ---- Types ---------------------------------------------------------- */

struct sharer {
	uint64_t dispatcher;
	uint64_t rank; /* its place in the order */
	bool wants; /* more than it is offered */
	bool used; /* its turn */
	int64_t passed_until_ms; /* 0: it is not passed over */
};

struct room_share {
	uint64_t seed;
	GArray *sharers; /* struct sharer, by rank */
	guint turn; /* position of the one whose turn ends next */
	int64_t since_ms; /* it has been so */
};

/* ---- Life ----------------------------------------------------------- */

struct room_share *room_share_create(uint64_t seed)
{
	struct room_share *share = g_new0(struct room_share, 1);

	share->seed = seed;
	share->sharers = g_array_new(FALSE, FALSE, sizeof(struct sharer));
	return share;
}

void room_share_destroy(struct room_share *share)
{
	if (!share)
		return;
	g_array_unref(share->sharers);
	g_free(share);
}

/* ---- Dispatchers ---------------------------------------------------- */

static struct sharer *at(const struct room_share *share, guint i)
{
	return &g_array_index(share->sharers, struct sharer, i);
}

static bool find(const struct room_share *share, uint64_t dispatcher,
		 guint *position)
{
	for (guint i = 0; i < share->sharers->len; i++) {
		if (at(share, i)->dispatcher != dispatcher)
			continue;
		*position = i;
		return true;
	}
	return false;
}

void room_share_join(struct room_share *share, uint64_t dispatcher, bool wants)
{
	struct sharer sharer = {
		.dispatcher = dispatcher,
		.wants = wants,
		.rank = XXH64(&dispatcher, sizeof(dispatcher), share->seed),
	};
	guint position;

	if (find(share, dispatcher, &position))
		return;
	position = 0;
	while (position < share->sharers->len &&
	       at(share, position)->rank < sharer.rank)
		position++;
	g_array_insert_val(share->sharers, position, sharer);
}

void room_share_leave(struct room_share *share, uint64_t dispatcher)
{
	guint position;

	if (!find(share, dispatcher, &position))
		return;
	g_array_remove_index(share->sharers, position);
	if (share->turn > position)
		share->turn--;
	if (share->turn >= share->sharers->len)
		share->turn = 0;
}

void room_share_want(struct room_share *share, uint64_t dispatcher, bool wants)
{
	guint position;

	if (find(share, dispatcher, &position))
		at(share, position)->wants = wants;
}

void room_share_used(struct room_share *share, uint64_t dispatcher)
{
	guint position;

	if (!find(share, dispatcher, &position))
		return;
	at(share, position)->passed_until_ms = 0;
	at(share, position)->used = true;
}

/* ---- Turns ---------------------------------------------------------- */

static bool is_scarce(int64_t free_milli, int64_t capacity_milli)
{
	return free_milli * MILLI < capacity_milli * PLENTY_MILLI;
}

/* How many may have their turn beside each other. */
static guint holders(int64_t free_milli, int64_t capacity_milli)
{
	return 1 + (guint)(free_milli * HOLDERS / MAX(capacity_milli, 1));
}

/* Goes through those that want room, or through those that don't, from
 * the one whose turn it is; n: how many may still have theirs. */
static bool is_among(const struct room_share *share, guint position, bool wants,
		     guint *n)
{
	guint next = share->turn;

	for (guint i = 0; *n > 0 && i < share->sharers->len; i++) {
		const struct sharer *sharer = at(share, next);

		if (sharer->wants == wants) {
			if (next == position)
				return true;
			*n -= !sharer->passed_until_ms;
		}
		next = (next + 1) % share->sharers->len;
	}
	return false;
}

static bool has_turn(const struct room_share *share, guint position, guint n)
{
	return is_among(share, position, true, &n) ||
	       is_among(share, position, false, &n);
}

static bool is_wanted(const struct room_share *share)
{
	for (guint i = 0; i < share->sharers->len; i++)
		if (at(share, i)->wants)
			return true;
	return false;
}

static void forgive(struct room_share *share, int64_t now_ms)
{
	for (guint i = 0; i < share->sharers->len; i++)
		if (at(share, i)->passed_until_ms <= now_ms)
			at(share, i)->passed_until_ms = 0;
}

/* The next one that wants room and isn't passed over, or the next one. */
static guint next_turn(const struct room_share *share)
{
	guint n = share->sharers->len;

	if (!n)
		return 0;
	for (guint step = 1; step <= n; step++) {
		guint next = (share->turn + step) % n;

		if (at(share, next)->wants && !at(share, next)->passed_until_ms)
			return next;
	}
	return (share->turn + 1) % n;
}

bool room_share_in_turns(const struct room_share *share, int64_t free_milli,
			 int64_t capacity_milli)
{
	return share->sharers->len > 1 && free_milli > 0 &&
	       is_scarce(free_milli, capacity_milli) && is_wanted(share);
}

void room_share_turn(struct room_share *share, int64_t free_milli,
		     int64_t capacity_milli, int64_t now_ms)
{
	struct sharer *before;

	if (!room_share_in_turns(share, free_milli, capacity_milli)) {
		share->since_ms = now_ms;
		return;
	}
	if (now_ms - share->since_ms < TURN_MS)
		return;
	forgive(share, now_ms);
	before = at(share, share->turn);
	if (!before->used)
		before->passed_until_ms = now_ms + PASSED_OVER_MS;
	before->used = false;
	share->turn = next_turn(share);
	share->since_ms = now_ms;
}

int64_t room_share_told(const struct room_share *share, uint64_t dispatcher,
			int64_t free_milli, int64_t capacity_milli)
{
	int64_t step_milli = MAX(capacity_milli / STEPS, 1);
	guint position;

	if (!is_scarce(free_milli, capacity_milli))
		return free_milli - free_milli % step_milli;
	if (free_milli <= 0 || !find(share, dispatcher, &position) ||
	    has_turn(share, position, holders(free_milli, capacity_milli)))
		return free_milli;
	return 0;
}
