/*
 * test_capacity_share: the free capacity of a server that is reported to each
 * dispatcher, and the rotation of turns while it is scarce.
 */
#include "leased/capacity_share.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define CAPACITY_MILLI 64000
#define SCARCE_MILLI 6400
#define DISPATCHERS 3
#define SIMULATED_MS 100

static struct capacity_share *make(uint64_t dispatchers)
{
	struct capacity_share *share = capacity_share_create(7);

	for (uint64_t i = 1; i <= dispatchers; i++)
		capacity_share_join(share, i, false);
	return share;
}

static int64_t reported(const struct capacity_share *share, uint64_t dispatcher,
			int64_t free_milli)
{
	return capacity_share_reported(share, dispatcher, free_milli,
				       CAPACITY_MILLI);
}

/* Returns how many dispatchers all of free_milli is reported to, and the last
 * of them in holder. */
static uint32_t count_reported(const struct capacity_share *share,
			       int64_t free_milli, uint64_t *holder)
{
	uint32_t n = 0;

	for (uint64_t i = 1; i <= DISPATCHERS; i++) {
		if (reported(share, i, free_milli) != free_milli)
			continue;
		n++;
		*holder = i;
	}
	return n;
}

static void test_reported_capacity(void **state)
{
	static const struct {
		uint64_t dispatchers;
		int64_t free_milli;
		/* Number of dispatchers to which all of it is reported. */
		uint32_t reported_all;
	} cases[] = {
		{ 3, 64000, 3 }, { 3, 20000, 3 }, { 3, 15999, 2 },
		{ 3, 7999, 1 },  { 3, 6400, 1 },  { 3, 0, 3 },
		{ 3, -500, 3 },  { 1, 6400, 3 }, /* 2 are unknown and get all */
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct capacity_share *share = make(cases[i].dispatchers);
		uint64_t holder;

		assert_int_equal(
			count_reported(share, cases[i].free_milli, &holder),
			cases[i].reported_all);
		capacity_share_destroy(share);
	}
}

/* Guards against a division by zero, and against capacity reported on a server
 * that has shrunk below what runs there. */
static void test_shrunk_to_nothing(void **state)
{
	static const int64_t free_milli[] = { 0, -1, -64000 };
	struct capacity_share *share = make(DISPATCHERS);

	(void)state;
	capacity_share_set_demand(share, 1, true);
	for (size_t i = 0; i < sizeof(free_milli) / sizeof(free_milli[0]);
	     i++) {
		capacity_share_rotate(share, free_milli[i], 0, 100);
		assert_false(
			capacity_share_is_rotating(share, free_milli[i], 0));
		for (uint64_t k = 1; k <= DISPATCHERS + 1; k++)
			assert_true(capacity_share_reported(
					    share, k, free_milli[i], 0) <= 0);
	}
	capacity_share_destroy(share);
}

/* The reported value never exceeds the free capacity, and small changes don't
 * alter it. */
static void test_plentiful_capacity_is_rounded_to_steps(void **state)
{
	struct capacity_share *share = make(DISPATCHERS);
	int64_t before = CAPACITY_MILLI, changes = 0;

	(void)state;
	for (int64_t free = CAPACITY_MILLI; free >= CAPACITY_MILLI / 4 * 3;
	     free -= 100) {
		int64_t now = reported(share, 1, free);

		assert_true(now <= free);
		changes += now != before;
		before = now;
	}
	assert_true(changes <= 32);
	capacity_share_destroy(share);
}

static void set_all_demand(struct capacity_share *share)
{
	for (uint64_t i = 1; i <= DISPATCHERS; i++)
		capacity_share_set_demand(share, i, true);
}

/* Without demand the turns don't rotate, so no update has to be sent. */
static void test_no_rotation_without_demand(void **state)
{
	struct capacity_share *share = make(DISPATCHERS);
	uint64_t first = 0, holder = 0;

	(void)state;
	count_reported(share, SCARCE_MILLI, &first);
	for (int64_t now_ms = 1; now_ms <= SIMULATED_MS; now_ms++) {
		capacity_share_rotate(share, SCARCE_MILLI, CAPACITY_MILLI,
				      now_ms);
		assert_false(capacity_share_is_rotating(share, SCARCE_MILLI,
							CAPACITY_MILLI));
		assert_int_equal(count_reported(share, SCARCE_MILLI, &holder),
				 1);
		assert_int_equal(holder, first);
	}
	capacity_share_destroy(share);
}

/* A dispatcher with demand gets the turn at once, whoever had it before. */
static void test_demand_gets_capacity_at_once(void **state)
{
	(void)state;
	for (uint64_t demander = 1; demander <= DISPATCHERS; demander++) {
		struct capacity_share *share = make(DISPATCHERS);
		uint64_t holder = 0;

		capacity_share_set_demand(share, demander, true);
		assert_int_equal(count_reported(share, SCARCE_MILLI, &holder),
				 1);
		assert_int_equal(holder, demander);
		capacity_share_set_demand(share, demander, false);
		assert_int_equal(count_reported(share, SCARCE_MILLI, &holder),
				 1);
		capacity_share_destroy(share);
	}
}

/* A new server gives the first turn to a dispatcher that already has demand. */
static void test_joining_with_demand(void **state)
{
	(void)state;
	for (uint64_t demander = 1; demander <= DISPATCHERS; demander++) {
		struct capacity_share *share = capacity_share_create(7);
		uint64_t holder = 0;

		for (uint64_t i = 1; i <= DISPATCHERS; i++)
			capacity_share_join(share, i, i == demander);
		assert_int_equal(count_reported(share, SCARCE_MILLI, &holder),
				 1);
		assert_int_equal(holder, demander);
		capacity_share_destroy(share);
	}
}

/* Dispatchers that use their turns get equal shares, one at a time. */
static void test_turns_rotate_evenly(void **state)
{
	struct capacity_share *share = make(DISPATCHERS);
	uint32_t turns[DISPATCHERS + 1] = { 0 };
	uint64_t holder = 0;

	(void)state;
	set_all_demand(share);
	for (int64_t now_ms = 1; now_ms <= 9 * SIMULATED_MS; now_ms++) {
		capacity_share_rotate(share, SCARCE_MILLI, CAPACITY_MILLI,
				      now_ms);
		assert_int_equal(count_reported(share, SCARCE_MILLI, &holder),
				 1);
		capacity_share_mark_used(share, holder);
		turns[holder]++;
	}
	for (int i = 1; i <= DISPATCHERS; i++)
		assert_in_range(turns[i], 2 * SIMULATED_MS, 4 * SIMULATED_MS);
	capacity_share_destroy(share);
}

/* A dispatcher that doesn't use its turns is skipped, but gets some later. */
static void test_unused_turns_are_skipped(void **state)
{
	struct capacity_share *share = make(DISPATCHERS);
	uint32_t turns[DISPATCHERS + 1] = { 0 };
	uint64_t holder = 0;

	(void)state;
	set_all_demand(share);
	for (int64_t now_ms = 1; now_ms <= 9 * SIMULATED_MS; now_ms++) {
		capacity_share_rotate(share, SCARCE_MILLI, CAPACITY_MILLI,
				      now_ms);
		count_reported(share, SCARCE_MILLI, &holder);
		if (holder == 2)
			capacity_share_mark_used(share, holder);
		turns[holder]++;
	}
	assert_true(turns[2] > turns[1] + turns[3]);
	assert_true(turns[1] > 0);
	assert_true(turns[3] > 0);
	capacity_share_destroy(share);
}

/* Different servers give their scarce capacity to different dispatchers. */
static void test_servers_prefer_different_dispatchers(void **state)
{
	uint32_t offers[DISPATCHERS + 1] = { 0 };

	(void)state;
	for (uint64_t server = 0; server < 300; server++) {
		struct capacity_share *share = capacity_share_create(server);
		uint64_t holder = 0;

		for (uint64_t i = 1; i <= DISPATCHERS; i++)
			capacity_share_join(share, i, false);
		assert_int_equal(count_reported(share, SCARCE_MILLI, &holder),
				 1);
		offers[holder]++;
		capacity_share_destroy(share);
	}
	for (int i = 1; i <= DISPATCHERS; i++)
		assert_in_range(offers[i], 50, 150);
}

static void test_dispatchers_leave(void **state)
{
	struct capacity_share *share = make(DISPATCHERS);
	uint64_t holder = 0;

	(void)state;
	count_reported(share, SCARCE_MILLI, &holder);
	capacity_share_leave(share, holder);
	capacity_share_leave(share, holder);
	for (uint64_t i = 1; i <= DISPATCHERS; i++)
		capacity_share_leave(share, i);
	capacity_share_rotate(share, SCARCE_MILLI, CAPACITY_MILLI, 99);
	assert_false(capacity_share_is_rotating(share, SCARCE_MILLI,
						CAPACITY_MILLI));
	capacity_share_join(share, 7, false);
	assert_int_equal(reported(share, 7, SCARCE_MILLI), SCARCE_MILLI);
	capacity_share_destroy(share);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shrunk_to_nothing),
		cmocka_unit_test(test_reported_capacity),
		cmocka_unit_test(test_plentiful_capacity_is_rounded_to_steps),
		cmocka_unit_test(test_no_rotation_without_demand),
		cmocka_unit_test(test_demand_gets_capacity_at_once),
		cmocka_unit_test(test_joining_with_demand),
		cmocka_unit_test(test_turns_rotate_evenly),
		cmocka_unit_test(test_unused_turns_are_skipped),
		cmocka_unit_test(test_servers_prefer_different_dispatchers),
		cmocka_unit_test(test_dispatchers_leave),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
