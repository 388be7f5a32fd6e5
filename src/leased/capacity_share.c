/*
 * capacity_share: shares scarce capacity between dispatchers; see
 * capacity_share.h.
 */
#include "leased/capacity_share.h"

#include <xxhash.h>

/* ---- Constants ------------------------------------------------------ */

/* Free capacity below this fraction of the total is scarce. */
#define SCARCE_BELOW_MILLI 700
#define MILLI 1000
/* Plentiful capacity is reported in steps of 1/32 of the total. */
#define REPORTED_STEPS 32
/* One dispatcher has its turn, and up to this many more at the same time, in
 * proportion to the free fraction of the total. */
#define TURN_HOLDERS_MAX 8
/* Covers a message to the dispatcher, its reply, and one iteration of each
 * event loop. */
#define TURN_DURATION_MS 8
/* A dispatcher that didn't use its turn is skipped for this long. */
#define UNUSED_TURN_SKIP_MS 50

/* ---- Types ---------------------------------------------------------- */

struct participant {
	uint64_t dispatcher;
	uint64_t rank; /* sort key: hash of the dispatcher and the seed */
	bool has_demand; /* it needs more capacity than is reported to it */
	bool turn_used; /* it ordered a start in its present turn */
	int64_t skipped_until_ms; /* 0: not skipped */
};

struct capacity_share {
	uint64_t seed;
	GArray *participants; /* struct participant, by rank */
	guint turn_position; /* the participant whose turn ends next */
	int64_t turn_started_ms;
};

/* ---- Lifecycle ------------------------------------------------------ */

struct capacity_share *capacity_share_create(uint64_t seed)
{
	struct capacity_share *share = g_new0(struct capacity_share, 1);

	share->seed = seed;
	share->participants =
		g_array_new(FALSE, FALSE, sizeof(struct participant));
	return share;
}

void capacity_share_destroy(struct capacity_share *share)
{
	if (!share)
		return;
	g_array_unref(share->participants);
	g_free(share);
}

/* ---- Dispatchers ---------------------------------------------------- */

static struct participant *participant_at(const struct capacity_share *share,
					  guint i)
{
	return &g_array_index(share->participants, struct participant, i);
}

static bool find(const struct capacity_share *share, uint64_t dispatcher,
		 guint *position)
{
	for (guint i = 0; i < share->participants->len; i++) {
		if (participant_at(share, i)->dispatcher != dispatcher)
			continue;
		*position = i;
		return true;
	}
	return false;
}

void capacity_share_join(struct capacity_share *share, uint64_t dispatcher,
			 bool has_demand)
{
	struct participant participant = {
		.dispatcher = dispatcher,
		.has_demand = has_demand,
		.rank = XXH64(&dispatcher, sizeof(dispatcher), share->seed),
	};
	guint position;

	if (find(share, dispatcher, &position))
		return;
	position = 0;
	while (position < share->participants->len &&
	       participant_at(share, position)->rank < participant.rank)
		position++;
	g_array_insert_val(share->participants, position, participant);
}

void capacity_share_leave(struct capacity_share *share, uint64_t dispatcher)
{
	guint position;

	if (!find(share, dispatcher, &position))
		return;
	g_array_remove_index(share->participants, position);
	if (share->turn_position > position)
		share->turn_position--;
	if (share->turn_position >= share->participants->len)
		share->turn_position = 0;
}

void capacity_share_set_demand(struct capacity_share *share,
			       uint64_t dispatcher, bool has_demand)
{
	guint position;

	if (find(share, dispatcher, &position))
		participant_at(share, position)->has_demand = has_demand;
}

void capacity_share_mark_used(struct capacity_share *share, uint64_t dispatcher)
{
	guint position;

	if (!find(share, dispatcher, &position))
		return;
	participant_at(share, position)->skipped_until_ms = 0;
	participant_at(share, position)->turn_used = true;
}

/* ---- Turns ---------------------------------------------------------- */

static bool is_scarce(int64_t free_milli, int64_t capacity_milli)
{
	return free_milli * MILLI < capacity_milli * SCARCE_BELOW_MILLI;
}

/* The number of participants that may have their turn at the same time. */
static guint count_turn_holders(int64_t free_milli, int64_t capacity_milli)
{
	return 1 +
	       (guint)(free_milli * TURN_HOLDERS_MAX / MAX(capacity_milli, 1));
}

/* Visits the participants with demand, or those without, in order from
 * turn_position. n is the number of turns still available; it is decremented
 * for each participant that takes one. Skipped participants take none. */
static bool has_turn_among(const struct capacity_share *share, guint position,
			   bool has_demand, guint *n)
{
	guint next = share->turn_position;

	for (guint i = 0; *n > 0 && i < share->participants->len; i++) {
		const struct participant *participant =
			participant_at(share, next);

		if (participant->has_demand == has_demand) {
			if (next == position)
				return true;
			*n -= !participant->skipped_until_ms;
		}
		next = (next + 1) % share->participants->len;
	}
	return false;
}

static bool has_turn(const struct capacity_share *share, guint position,
		     guint n)
{
	return has_turn_among(share, position, true, &n) ||
	       has_turn_among(share, position, false, &n);
}

static bool any_has_demand(const struct capacity_share *share)
{
	for (guint i = 0; i < share->participants->len; i++)
		if (participant_at(share, i)->has_demand)
			return true;
	return false;
}

static void clear_expired_skips(struct capacity_share *share, int64_t now_ms)
{
	for (guint i = 0; i < share->participants->len; i++)
		if (participant_at(share, i)->skipped_until_ms <= now_ms)
			participant_at(share, i)->skipped_until_ms = 0;
}

/* Returns the next participant that has demand and isn't skipped, or simply
 * the next one if there is none. */
static guint next_turn(const struct capacity_share *share)
{
	guint n = share->participants->len;

	if (!n)
		return 0;
	for (guint step = 1; step <= n; step++) {
		guint next = (share->turn_position + step) % n;

		if (participant_at(share, next)->has_demand &&
		    !participant_at(share, next)->skipped_until_ms)
			return next;
	}
	return (share->turn_position + 1) % n;
}

bool capacity_share_is_rotating(const struct capacity_share *share,
				int64_t free_milli, int64_t capacity_milli)
{
	return share->participants->len > 1 && free_milli > 0 &&
	       is_scarce(free_milli, capacity_milli) && any_has_demand(share);
}

void capacity_share_rotate(struct capacity_share *share, int64_t free_milli,
			   int64_t capacity_milli, int64_t now_ms)
{
	struct participant *previous;

	if (!capacity_share_is_rotating(share, free_milli, capacity_milli)) {
		share->turn_started_ms = now_ms;
		return;
	}
	if (now_ms - share->turn_started_ms < TURN_DURATION_MS)
		return;
	clear_expired_skips(share, now_ms);
	previous = participant_at(share, share->turn_position);
	if (!previous->turn_used)
		previous->skipped_until_ms = now_ms + UNUSED_TURN_SKIP_MS;
	previous->turn_used = false;
	share->turn_position = next_turn(share);
	share->turn_started_ms = now_ms;
}

int64_t capacity_share_reported(const struct capacity_share *share,
				uint64_t dispatcher, int64_t free_milli,
				int64_t capacity_milli)
{
	int64_t step_milli = MAX(capacity_milli / REPORTED_STEPS, 1);
	guint position;

	if (!is_scarce(free_milli, capacity_milli))
		return free_milli - free_milli % step_milli;
	if (free_milli <= 0 || !find(share, dispatcher, &position) ||
	    has_turn(share, position,
		     count_turn_holders(free_milli, capacity_milli)))
		return free_milli;
	return 0;
}
