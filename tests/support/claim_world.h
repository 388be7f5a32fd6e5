/*
 * claim_world: state of the simulation in explore_claim: voters,
 * dispatchers, views and messages.
 */
#ifndef SUPPORT_CLAIM_WORLD_H
#define SUPPORT_CLAIM_WORLD_H

#include "chervilferry.h"

/* ---- Constants ---- */

#define MEMBERS_MAX 7 /* ids of possible voters, from 1 */
#define DISPATCHERS_MAX 24 /* dispatcher incarnations per run */
#define KEYS_MAX 6
#define ATTEMPTS_MAX 160
#define MESSAGES_MAX 512
#define START_MS 1000000000
#define LEASE_BOUND_MS 2500
#define HORIZON_MS 40000
/* One clock skew from caller to voter, one from voter to leader. */
#define VIEW_SKEW_MS (INT64_C(2) * CF_CLOCK_SKEW_MS)
#define VIEWS_MAX 64

/* ---- Types ---- */

struct member {
	struct cf_ledger *ledger; /* NULL while down */
	GBytes *saved; /* ledger saved at a clean stop */
	int64_t offset_ms; /* wall clock minus true time */
	int64_t lease_end_ms;
	size_t views_known, fences_known;
	bool cut;
};

struct dispatcher {
	size_t views_known;
	bool fenced;
	bool cut; /* learns of no new views */
};

struct key_state {
	struct cf_key key;
	uint64_t winner; /* owner of the highest epoch won */
	uint32_t winner_epoch;
	uint64_t named; /* owner named by the last ballot that ended as OWNED */
	uint64_t lost_by; /* owner whose claim of epoch 0 ended as LOST */
};

struct attempt {
	struct cf_ballot *ballot;
	struct cf_claim claim;
	size_t key;
	int64_t close_ms;
	bool closed;
};

struct message {
	bool reply;
	size_t attempt;
	uint32_t member;
	int64_t due_ms;
	uint64_t view, owner;
	enum cf_vote vote;
};

/* In percent. Drawn for each seed, so that runs differ in character. */
struct rates {
	uint32_t new_key, refresh, adopt, guess, disturb, cut, clean, change,
		fence, drop, late;
};

struct world {
	GRand *random;
	struct rates rates;
	int64_t now_ms; /* true time */
	int64_t leader_offset_ms;
	struct cf_view views[VIEWS_MAX]; /* committed ones, newest last */
	size_t n_views;
	uint64_t fences[DISPATCHERS_MAX];
	size_t n_fences;
	struct member members[MEMBERS_MAX + 1];
	struct dispatcher dispatchers[DISPATCHERS_MAX + 1];
	size_t n_dispatchers;
	struct key_state keys[KEYS_MAX];
	size_t n_keys;
	struct attempt attempts[ATTEMPTS_MAX];
	size_t n_attempts;
	struct message messages[MESSAGES_MAX];
	size_t n_messages;
	const char *violation;
};

#endif
