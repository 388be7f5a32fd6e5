/*
 * Five coordinators, three of them seeds, of which each leads once and loses
 * two others' disks meanwhile. The seed draws who, when and in which order.
 * JOIN_SEED (default 1) and JOIN_SEEDS (how many, default 2) select the runs.
 */
#include "support/members.h"

#include "base/clock.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define COORDINATORS 5
#define LOSSES 2
#define PAUSE_MAX_MS 2000

static int number_from(const char *name, int otherwise)
{
	const char *text = getenv(name);

	return text ? (int)strtol(text, NULL, 10) : otherwise;
}

static void shuffle(GRand *random, int *numbers, int n)
{
	for (int i = n - 1; i > 0; i--) {
		int j = g_rand_int_range(random, 0, i + 1);
		int kept = numbers[i];

		numbers[i] = numbers[j];
		numbers[j] = kept;
	}
}

static void pause_randomly(GRand *random)
{
	g_usleep((gulong)g_rand_int_range(random, 0, PAUSE_MAX_MS) * 1000);
}

/* The second disk is lost before or after the first host is back. */
static void lose_disks(struct leased_system *s, GRand *random, const int *lost)
{
	for (int i = 0; i < LOSSES; i++) {
		proc_kill(members_proc(s, lost[i]));
		members_empty_disk(s, lost[i]);
		pause_randomly(random);
		proc_set(members_proc(s, lost[i]), "--first-start", "false");
		if (i || g_rand_boolean(random))
			proc_start(s->cluster, members_proc(s, lost[i]));
	}
	if (!members_proc(s, lost[0])->pid)
		proc_start(s->cluster, members_proc(s, lost[0]));
}

/* Waits until the hosts that lost their disks vote under new ids. */
static void wait_whole(struct leased_system *s, const int *lost,
		       const uint32_t *old_ids)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	for (int i = 0; i < LOSSES; i++) {
		uint32_t id = old_ids[i];

		while (members_find(s, members_wait_leader(s), lost[i], &id) !=
			       MEMBER_VOTER ||
		       id == old_ids[i])
			assert_true(clock_now_ms() < end_ms);
	}
	members_wait_voters(s, COORDINATORS);
}

static void run_seed(int seed)
{
	GRand *random = g_rand_new_with_seed((guint32)seed);
	struct leased_system *s = leased_system_begin_group(LOSSES);
	int leaders[COORDINATORS] = { 1, 2, 3, 4, 5 };
	uint32_t version = 1;

	for (int i = SYSTEM_COORDINATORS + 1; i <= COORDINATORS; i++)
		proc_start(s->cluster, leased_system_add_coordinator(s, i));
	shuffle(random, leaders, COORDINATORS);
	for (int i = 0; i < COORDINATORS; i++) {
		int others[COORDINATORS], n = 0;
		uint32_t ids[LOSSES];
		int64_t lost_ms;

		members_wait_voters(s, COORDINATORS);
		members_make_lead(s, leaders[i]);
		for (int k = 1; k <= COORDINATORS; k++)
			if (k != leaders[i])
				others[n++] = k;
		shuffle(random, others, n);
		leased_system_set_routes(s, ++version);
		for (int k = 0; k < LOSSES; k++)
			assert_int_equal(
				members_find(s, leaders[i], others[k], &ids[k]),
				MEMBER_VOTER);
		lost_ms = clock_now_ms();
		lose_disks(s, random, others);
		wait_whole(s, others, ids);
		leased_system_expect_routes(s, version);
		fprintf(stderr,
			"count: seed=%d leader=c%d lost=c%d,c%d whole_ms=%d\n",
			seed, leaders[i], others[0], others[1],
			(int)(clock_now_ms() - lost_ms));
	}
	leased_system_finish(s);
	g_rand_free(random);
}

/* Two of five voters were left for good after two disks were lost in turn while
 * a coordinator outside the seeds led. */
static void test_disks_lost_under_each_leader(void **state)
{
	int first = number_from("JOIN_SEED", 1);
	int seeds = number_from("JOIN_SEEDS", 2);

	(void)state;
	for (int seed = first; seed < first + seeds; seed++)
		run_seed(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_disks_lost_under_each_leader,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
