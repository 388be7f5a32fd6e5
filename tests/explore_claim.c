/*
 * explore_claim: seeded random runs over ledgers, ballots, leases and views.
 * Messages are dropped, duplicated, delayed and reordered. Voters restart
 * with and without their votes, are cut off and are replaced. Clocks differ.
 * Two unfenced owners must never both win the same key.
 */
#include "support/claim_world.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define SEEDS 10000
#define STEPS 220

/* ---- Counts ---- */

static uint64_t states_seen[CF_CLAIM_TOO_NEW + 1];
static uint64_t adoptions_won, steps_done;

/* ---- Random choices ---- */

static uint32_t random_below(struct world *world, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(world->random, 0, (gint32)limit);
}

static bool chance(struct world *world, uint32_t percent)
{
	return random_below(world, 100) < percent;
}

/* Any two clocks differ by less than CF_CLOCK_SKEW_MS. */
static int64_t random_offset_ms(struct world *world)
{
	return random_below(world, CF_CLOCK_SKEW_MS);
}

/* ---- Members ---- */

static bool is_voter(const struct cf_view *view, uint32_t id)
{
	for (uint32_t i = 0; i < view->members.n_voters; i++) {
		if (view->members.voters[i] == id)
			return true;
	}
	return false;
}

static const struct cf_view *newest_view(const struct world *world)
{
	return &world->views[world->n_views - 1];
}

static void drop_saved(struct member *member)
{
	if (member->saved)
		g_bytes_unref(member->saved);
	member->saved = NULL;
}

static void boot_member(struct world *world, uint32_t id)
{
	struct member *member = &world->members[id];
	int64_t wall_ms = world->now_ms + member->offset_ms;

	member->ledger =
		cf_ledger_create(HORIZON_MS, wall_ms + CF_CLOCK_SKEW_MS);
	if (member->saved)
		assert_true(
			cf_ledger_load(member->ledger, member->saved, NULL));
	drop_saved(member);
	member->lease_end_ms = INT64_MIN;
}

static void stop_member(struct world *world, uint32_t id, bool clean)
{
	struct member *member = &world->members[id];

	if (clean)
		member->saved = cf_ledger_save(member->ledger);
	cf_ledger_destroy(member->ledger);
	member->ledger = NULL;
	(void)world;
}

/*
 * A grant extends the lease and carries the views and fences. The bound on
 * the lease counts from when the leader confirmed it.
 */
static void renew_member(struct world *world, uint32_t id)
{
	struct member *member = &world->members[id];

	if (!member->ledger || member->cut || !is_voter(newest_view(world), id))
		return;
	member->lease_end_ms = world->now_ms + LEASE_BOUND_MS;
	member->views_known = world->n_views;
	member->fences_known = world->n_fences;
}

static void change_view(struct world *world)
{
	struct cf_view view = *newest_view(world);
	struct cf_members *members = &view.members;
	uint32_t id = 1 + random_below(world, MEMBERS_MAX);

	if (world->n_views == VIEWS_MAX)
		return;
	if (is_voter(&view, id)) {
		uint32_t at = 0;

		/* Mostly voters that are cut off get replaced. */
		if (members->n_voters <= 3 ||
		    (!world->members[id].cut && chance(world, 70)))
			return;
		while (members->voters[at] != id)
			at++;
		members->voters[at] = members->voters[--members->n_voters];
	} else {
		if (members->n_voters >= 5 || world->members[id].cut)
			return;
		if (!world->members[id].ledger)
			boot_member(world, id);
		members->voters[members->n_voters++] = id;
	}
	view.number++;
	view.horizon_ms = world->now_ms + world->leader_offset_ms +
			  LEASE_BOUND_MS + VIEW_SKEW_MS;
	world->views[world->n_views++] = view;
}

static uint64_t random_dispatcher(struct world *world)
{
	return 1 + random_below(world, (uint32_t)world->n_dispatchers);
}

static void disturb_member(struct world *world)
{
	uint32_t id = 1 + random_below(world, MEMBERS_MAX);
	struct member *member = &world->members[id];

	if (chance(world, 10))
		world->dispatchers[random_dispatcher(world)].cut ^= true;
	if (chance(world, world->rates.cut))
		member->cut = !member->cut;
	else if (member->ledger)
		stop_member(world, id, chance(world, world->rates.clean));
	if (!member->ledger && chance(world, 70))
		boot_member(world, id);
}

/* ---- Dispatchers ---- */

static void fence_random_dispatcher(struct world *world)
{
	uint64_t id = random_dispatcher(world);

	if (world->dispatchers[id].fenced ||
	    world->n_dispatchers == DISPATCHERS_MAX)
		return;
	world->dispatchers[id].fenced = true;
	world->fences[world->n_fences++] = id;
	world->dispatchers[++world->n_dispatchers].views_known = world->n_views;
}

static void add_message(struct world *world, const struct message *message)
{
	uint32_t copies =
		chance(world, world->rates.drop) ? 0 : 1 + chance(world, 10);

	while (copies-- > 0 && world->n_messages < MESSAGES_MAX) {
		struct message *added = &world->messages[world->n_messages++];

		*added = *message;
		added->due_ms =
			world->now_ms +
			random_below(world, chance(world, world->rates.late)
						    ? 8000
						    : 300);
	}
}

static void add_key(struct world *world)
{
	struct key_state *state = &world->keys[world->n_keys++ % KEYS_MAX];
	/* A caller's clock may exceed the allowed skew. */
	int64_t ahead_ms = random_below(world, 2 * CF_CLOCK_SKEW_MS + 500);

	*state = (struct key_state){ 0 };
	cf_key_make(&state->key, world->now_ms + ahead_ms, 0, world->n_keys);
	/* Close the attempts on the key that used this slot before. */
	for (size_t i = 0; i < world->n_attempts; i++) {
		if (world->attempts[i].key == (world->n_keys - 1) % KEYS_MAX)
			world->attempts[i].closed = true;
	}
}

static void start_random_claim(struct world *world)
{
	struct attempt *attempt = &world->attempts[world->n_attempts];
	uint64_t id = random_dispatcher(world);
	struct dispatcher *owner = &world->dispatchers[id];
	size_t at;

	if (world->n_attempts == ATTEMPTS_MAX)
		return;
	if (!world->n_keys || chance(world, world->rates.new_key))
		add_key(world);
	at = random_below(world, (uint32_t)MIN(world->n_keys, KEYS_MAX));
	if (!owner->cut && chance(world, world->rates.refresh))
		owner->views_known = world->n_views;
	*attempt = (struct attempt){ .key = at };
	attempt->claim.key = world->keys[at].key;
	attempt->claim.owner = id;
	if (world->n_fences && chance(world, world->rates.adopt)) {
		attempt->claim.epoch = 1 + random_below(world, 3);
		attempt->claim.prior_owner =
			chance(world, 60)
				? world->keys[at].named
				: world->fences[random_below(
					  world, (uint32_t)world->n_fences)];
	}
	attempt->close_ms = world->now_ms + 50 + random_below(world, 3000);
	attempt->ballot = cf_ballot_create(&attempt->claim, world->views,
					   owner->views_known);
	for (uint32_t member = 1; member <= MEMBERS_MAX; member++) {
		struct message message = { .attempt = world->n_attempts,
					   .member = member };

		add_message(world, &message);
	}
	world->n_attempts++;
}

/* ---- Invariants ---- */

static void record_outcome(struct world *world, struct attempt *attempt,
			   enum cf_claim_state state)
{
	struct key_state *key = &world->keys[attempt->key];
	uint64_t id = attempt->claim.owner;

	if (attempt->closed || state == CF_CLAIM_OPEN)
		return;
	attempt->closed = true;
	states_seen[state]++;
	if (state == CF_CLAIM_LOST) {
		if (key->winner && key->winner != id &&
		    key->winner_epoch == attempt->claim.epoch)
			world->violation =
				"reported lost, but another owner has won";
		key->lost_by = id;
	}
	if (state == CF_CLAIM_OWNED)
		key->named = cf_ballot_owner(attempt->ballot);
	if (state != CF_CLAIM_WON)
		return;
	if (key->winner && key->winner != id) {
		if (key->winner_epoch == attempt->claim.epoch)
			world->violation = "two owners won the same epoch";
		else if (!world->dispatchers[id].fenced &&
			 !world->dispatchers[key->winner].fenced)
			world->violation = "two unfenced owners";
	}
	if (key->lost_by && key->lost_by != id && !attempt->claim.epoch)
		world->violation = "won after it was reported lost to another";
	adoptions_won += attempt->claim.epoch > 0;
	if (!key->winner || key->winner_epoch <= attempt->claim.epoch) {
		key->winner = id;
		key->winner_epoch = attempt->claim.epoch;
	}
}

/* ---- Messages ---- */

static bool knows_fence(const struct world *world, const struct member *member,
			uint64_t owner)
{
	for (size_t i = 0; i < member->fences_known; i++) {
		if (world->fences[i] == owner)
			return true;
	}
	return false;
}

static void answer_request(struct world *world, struct message message)
{
	struct member *member = &world->members[message.member];
	const struct cf_claim *claim = &world->attempts[message.attempt].claim;

	if (!member->ledger || !member->views_known)
		return;
	message.reply = true;
	message.view = world->views[member->views_known - 1].number;
	message.vote = cf_ledger_vote(
		member->ledger, claim, world->now_ms < member->lease_end_ms,
		knows_fence(world, member, claim->prior_owner),
		world->now_ms + member->offset_ms, &message.owner);
	add_message(world, &message);
}

static void deliver(struct world *world)
{
	for (size_t i = 0; i < world->n_messages;) {
		struct message message = world->messages[i];
		struct attempt *attempt = &world->attempts[message.attempt];

		if (message.due_ms > world->now_ms) {
			i++;
			continue;
		}
		world->messages[i] = world->messages[--world->n_messages];
		if (!message.reply)
			answer_request(world, message);
		else if (!attempt->closed)
			record_outcome(world, attempt,
				       cf_ballot_add(attempt->ballot,
						     message.member,
						     message.view, message.vote,
						     message.owner));
	}
}

static void close_due(struct world *world)
{
	for (size_t i = 0; i < world->n_attempts; i++) {
		struct attempt *attempt = &world->attempts[i];

		if (!attempt->closed && attempt->close_ms <= world->now_ms)
			record_outcome(world, attempt,
				       cf_ballot_close(attempt->ballot));
	}
}

/* ---- Runs ---- */

static void step(struct world *world)
{
	uint32_t action = random_below(world, 100);

	world->now_ms += chance(world, 1) ? random_below(world, 30000)
					  : random_below(world, 250);
	for (uint32_t id = 1; id <= MEMBERS_MAX; id++) {
		if (chance(world, 40))
			renew_member(world, id);
		if (world->members[id].ledger && chance(world, 5))
			cf_ledger_expire(world->members[id].ledger,
					 world->now_ms +
						 world->members[id].offset_ms);
	}
	if (action < 55)
		start_random_claim(world);
	if (chance(world, world->rates.disturb))
		disturb_member(world);
	if (chance(world, world->rates.change)) {
		for (uint32_t n = 1 + random_below(world, 8); n > 0; n--)
			change_view(world);
	}
	if (chance(world, world->rates.fence))
		fence_random_dispatcher(world);
	deliver(world);
	close_due(world);
	steps_done++;
}

static void draw_rates(struct world *world)
{
	struct rates *rates = &world->rates;

	rates->new_key = 1 + random_below(world, 30);
	rates->refresh = 5 + random_below(world, 95);
	rates->adopt = random_below(world, 90);
	rates->guess = random_below(world, 80);
	rates->disturb = random_below(world, 35);
	rates->cut = random_below(world, 101);
	rates->clean = random_below(world, 100);
	rates->change = chance(world, 50) ? random_below(world, 50) : 0;
	rates->fence = random_below(world, 15);
	rates->drop = random_below(world, 20);
	rates->late = random_below(world, 30);
}

static void setup_run(struct world *world, uint32_t seed)
{
	struct cf_view *first = &world->views[0];

	*world = (struct world){ .random = g_rand_new_with_seed(seed),
				 .now_ms = START_MS };
	draw_rates(world);
	world->leader_offset_ms = random_offset_ms(world);
	first->number = 1;
	first->horizon_ms = INT64_MIN;
	first->members.n_voters = chance(world, 70) ? 3 : 5;
	world->n_views = 1;
	world->n_dispatchers = 4;
	for (size_t i = 1; i <= world->n_dispatchers; i++)
		world->dispatchers[i].views_known = 1;
	for (uint32_t id = 1; id <= MEMBERS_MAX; id++) {
		world->members[id].offset_ms = random_offset_ms(world);
		if (id > first->members.n_voters)
			continue;
		first->members.voters[id - 1] = id;
		boot_member(world, id);
	}
	world->now_ms += VIEW_SKEW_MS;
	for (uint32_t id = 1; id <= MEMBERS_MAX; id++)
		renew_member(world, id);
}

static void teardown_run(struct world *world)
{
	for (size_t i = 0; i < world->n_attempts; i++)
		cf_ballot_destroy(world->attempts[i].ballot);
	for (uint32_t id = 1; id <= MEMBERS_MAX; id++) {
		cf_ledger_destroy(world->members[id].ledger);
		drop_saved(&world->members[id]);
	}
	g_rand_free(world->random);
}

static void test_never_two_owners(void **state)
{
	static struct world world;
	int64_t begin_us = g_get_monotonic_time();

	(void)state;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		setup_run(&world, seed);
		for (size_t i = 0; i < STEPS && !world.violation; i++)
			step(&world);
		if (world.violation)
			fail_msg("seed %u: %s", seed, world.violation);
		teardown_run(&world);
	}
	fprintf(stderr,
		"count: %d seeds, %" PRIu64 " steps, %" PRId64
		" steps/s; won %" PRIu64 " (adopted %" PRIu64 ") owned %" PRIu64
		" lost %" PRIu64 " unsafe %" PRIu64 " too new %" PRIu64 "\n",
		SEEDS, steps_done,
		(int64_t)steps_done * G_USEC_PER_SEC /
			MAX(g_get_monotonic_time() - begin_us, 1),
		states_seen[CF_CLAIM_WON], adoptions_won,
		states_seen[CF_CLAIM_OWNED], states_seen[CF_CLAIM_LOST],
		states_seen[CF_CLAIM_UNSAFE], states_seen[CF_CLAIM_TOO_NEW]);
	for (size_t i = CF_CLAIM_WON; i < G_N_ELEMENTS(states_seen); i++)
		assert_true(states_seen[i] > 0);
	assert_true(adoptions_won > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_never_two_owners),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
