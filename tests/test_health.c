/*
 * Tests of the health of backend servers, on a virtual clock.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "chervilferry.h"

#define SERVERS 10
#define BAD 3 /* the server that misbehaves */

static struct cf_health *make_health(uint32_t eject_max_milli)
{
	struct cf_health *health = cf_health_create(eject_max_milli);

	for (uint64_t agent = 1; agent <= SERVERS; agent++)
		cf_health_join(health, agent, 0);
	return health;
}

static void send_tasks(struct cf_health *health, uint64_t agent, int n, bool ok,
		       uint32_t run_ms, int64_t now_ms)
{
	for (int i = 0; i < n; i++) {
		cf_health_sent(health, agent, 1, now_ms);
		cf_health_result(health, agent, ok, run_ms, 100, now_ms);
	}
}

static void all_good(struct cf_health *health, int64_t now_ms)
{
	cf_health_tick(health, now_ms);
	for (uint64_t agent = 1; agent <= SERVERS; agent++)
		send_tasks(health, agent, 10, true, 100, now_ms);
}

static uint32_t count_state(const struct cf_health *health,
			    enum cf_health_state state)
{
	uint32_t n = 0;

	for (uint64_t agent = 1; agent <= SERVERS; agent++)
		n += cf_health_state(health, agent) == state;
	return n;
}

struct eject_case {
	const char *name;
	int bad_servers;
	int good_before; /* results of each bad server */
	int failures; /* consecutive failures of each bad server */
	uint32_t eject_max_milli;
	uint32_t ejected;
};

static const struct eject_case eject_cases[] = {
	{ "fails at once", 1, 0, 5, 300, 1 },
	{ "few failures are chance", 1, 0, 4, 300, 0 },
	{ "starts to fail after successes", 1, 50, 10, 300, 1 },
	{ "three bad", 3, 10, 10, 300, 3 },
	{ "capped", 5, 10, 10, 200, 2 },
	{ "all fail: the fault is in the work", 10, 10, 10, 300, 0 },
	{ "ejection is disabled", 1, 0, 20, 0, 0 },
};

static void test_ejects(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(eject_cases); i++) {
		const struct eject_case *c = &eject_cases[i];
		struct cf_health *health = make_health(c->eject_max_milli);
		uint32_t ejected;

		for (uint64_t agent = 1; agent <= SERVERS; agent++)
			send_tasks(health, agent,
				   agent <= (uint64_t)c->bad_servers
					   ? c->good_before
					   : 10,
				   true, 100, 10);
		for (int n = 0; n < c->failures; n++) {
			for (int agent = 1; agent <= c->bad_servers; agent++)
				send_tasks(health, (uint64_t)agent, 1, false, 1,
					   20);
		}
		ejected = count_state(health, CF_HEALTH_EJECTED);
		if (ejected != c->ejected)
			fail_msg("%s: %u ejected", c->name, ejected);
		cf_health_destroy(health);
	}
}

/* One server of ten fails every task within 1 ms. Tasks go to the server
 * with the fewest outstanding ones, so fast failures make the bad server
 * look idle and attract more tasks. It must lose at most 1 % of all tasks. */
static void test_black_hole_loses_few(void **state)
{
	struct cf_health *health = make_health(300);
	uint64_t done = 0;
	uint64_t lost = 0;

	(void)state;
	for (int64_t now = 10; now <= 60000; now += 10) {
		cf_health_tick(health, now);
		for (uint64_t agent = 1; agent <= SERVERS; agent++) {
			uint32_t weight =
				cf_health_weight_milli(health, agent, now);
			uint32_t slots = (8 * weight + 999) / 1000;

			if (agent == BAD) {
				send_tasks(health, agent, (int)slots, false, 1,
					   now);
				lost += slots;
			} else if (now % 200 == 0) {
				send_tasks(health, agent, (int)slots, true, 200,
					   now);
				done += slots;
			}
		}
	}
	if (lost * 100 > done + lost)
		fail_msg("%" G_GUINT64_FORMAT " lost of %" G_GUINT64_FORMAT,
			 lost, done + lost);
	cf_health_destroy(health);
}

/* Each ejection must last more than one and a half times as long as the one
 * before. A server returns through probation and slow start. */
static void test_way_back(void **state)
{
	struct cf_health *health = make_health(300);
	int64_t now = 10;
	int64_t last_ms = 0;

	(void)state;
	all_good(health, now);
	for (int round = 0; round < 4; round++) {
		int64_t out_ms;

		send_tasks(health, BAD, 10, false, 1, now);
		assert_int_equal(cf_health_state(health, BAD),
				 CF_HEALTH_EJECTED);
		assert_int_equal(cf_health_weight_milli(health, BAD, now), 0);
		out_ms = now;
		while (cf_health_state(health, BAD) == CF_HEALTH_EJECTED)
			cf_health_tick(health, now += 10);
		assert_true(now - out_ms > last_ms * 3 / 2);
		last_ms = now - out_ms;
		assert_in_range(cf_health_weight_milli(health, BAD, now), 1,
				125);
		send_tasks(health, BAD, 5, true, 100, now);
		assert_int_equal(cf_health_state(health, BAD),
				 CF_HEALTH_SLOW_START);
	}
	/* The full weight is reached within 10 s of the return. */
	cf_health_tick(health, now + 2000);
	assert_in_range(cf_health_weight_milli(health, BAD, now + 2000), 300,
			999);
	cf_health_tick(health, now + 9000);
	assert_int_equal(cf_health_weight_milli(health, BAD, now + 9000), 1000);
	cf_health_destroy(health);
}

static void test_probation_fails(void **state)
{
	struct cf_health *health = make_health(300);

	(void)state;
	all_good(health, 10);
	send_tasks(health, BAD, 10, false, 1, 10);
	cf_health_tick(health, 5000);
	assert_int_equal(cf_health_state(health, BAD), CF_HEALTH_PROBATION);
	/* Joining again does not end the probation. */
	cf_health_join(health, BAD, 5000);
	assert_int_equal(cf_health_state(health, BAD), CF_HEALTH_PROBATION);
	send_tasks(health, BAD, 1, false, 1, 5000);
	assert_int_equal(cf_health_state(health, BAD), CF_HEALTH_EJECTED);
	cf_health_destroy(health);
}

struct slow_case {
	const char *name;
	uint32_t run_ms; /* of the slow server; 100 is predicted */
	uint32_t others_ms;
	double min, max;
};

static const struct slow_case slow_cases[] = {
	{ "same as the peers", 100, 100, 0.9, 1.1 },
	{ "five times as slow", 500, 100, 4, 6 },
	{ "wrong prediction affects all", 1000, 1000, 0.9, 1.1 },
	{ "wrong prediction and twice as slow", 2000, 1000, 1.8, 2.2 },
	{ "faster", 50, 100, 0.45, 0.6 },
};

static void test_slowness(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(slow_cases); i++) {
		const struct slow_case *c = &slow_cases[i];
		struct cf_health *health = make_health(300);
		double slowness;

		for (int64_t n = 0; n < 40; n++) {
			for (uint64_t agent = 1; agent <= SERVERS; agent++)
				send_tasks(health, agent, 1, true,
					   agent == BAD ? c->run_ms
							: c->others_ms,
					   n * 100);
		}
		slowness = cf_health_slowness(health, BAD);
		if (slowness < c->min || slowness > c->max)
			fail_msg("%s: %g", c->name, slowness);
		cf_health_destroy(health);
	}
}

/* A straggler gets one task at a time until its results improve. */
static void test_straggler_recovers(void **state)
{
	struct cf_health *health = make_health(300);

	(void)state;
	for (uint64_t agent = 1; agent <= SERVERS; agent++)
		send_tasks(health, agent, 20, true, agent == BAD ? 500 : 100,
			   10);
	assert_int_equal(cf_health_weight_milli(health, BAD, 10), 100);
	send_tasks(health, BAD, 20, true, 100, 1000);
	assert_int_equal(cf_health_weight_milli(health, BAD, 1000), 1000);
	cf_health_destroy(health);
}

/* Overdue tasks must reveal a straggler that has given no result yet. */
static void test_overdue_before_results(void **state)
{
	struct cf_health *health = make_health(300);

	(void)state;
	for (uint64_t agent = 1; agent <= SERVERS; agent++)
		if (agent != BAD)
			send_tasks(health, agent, 10, true, 100, 10);
	for (int i = 0; i < 5; i++)
		cf_health_overdue(health, BAD, 300, 100, 300);
	cf_health_overdue(health, BAD, 300, 100, 300);
	assert_true(cf_health_slowness(health, BAD) > 2.5);
	cf_health_destroy(health);
}

/* A slow server without work must be tried again after a while. */
static void test_slowness_is_forgotten(void **state)
{
	struct cf_health *health = make_health(300);

	(void)state;
	for (uint64_t agent = 1; agent <= SERVERS; agent++)
		send_tasks(health, agent, 20, true, agent == BAD ? 500 : 100,
			   10);
	for (int64_t now = 10; now <= 120000; now += 100)
		cf_health_tick(health, now);
	assert_true(cf_health_slowness(health, BAD) < 1.1);
	/* One task shows whether it is still slow. */
	assert_int_equal(cf_health_weight_milli(health, BAD, 120000), 100);
	send_tasks(health, BAD, 1, true, 500, 120000);
	assert_true(cf_health_slowness(health, BAD) > 3);
	cf_health_destroy(health);
}

/* Overdue tasks must reveal a straggler before they end; a single one must
 * not. */
static void test_overdue(void **state)
{
	static const struct {
		uint32_t tasks;
		double min, max;
	} cases[] = { { 1, 1, 1 }, { 4, 1.5, 4 }, { 40, 3, 5 } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_health *health = make_health(300);
		double slowness;

		all_good(health, 10);
		for (uint32_t n = 0; n < cases[i].tasks; n++)
			cf_health_overdue(health, BAD, 400, 100, 20);
		slowness = cf_health_slowness(health, BAD);
		if (slowness < cases[i].min || slowness > cases[i].max)
			fail_msg("%u tasks: %g", cases[i].tasks, slowness);
		cf_health_destroy(health);
	}
}

static void test_slow_start(void **state)
{
	struct cf_health *health = make_health(300);

	(void)state;
	/* All servers are new, so no other could carry the load. */
	assert_int_equal(cf_health_weight_milli(health, 1, 0), 1000);
	cf_health_tick(health, 20000);
	assert_int_equal(count_state(health, CF_HEALTH_HEALTHY), SERVERS);
	cf_health_join(health, SERVERS + 1, 20000);
	assert_in_range(cf_health_weight_milli(health, SERVERS + 1, 20000), 1,
			500);
	assert_true(cf_health_tick(health, 29000));
	assert_int_equal(cf_health_weight_milli(health, SERVERS + 1, 29000),
			 1000);
	assert_false(cf_health_tick(health, 29100));
	cf_health_leave(health, SERVERS + 1);
	assert_int_equal(cf_health_state(health, SERVERS + 1),
			 CF_HEALTH_HEALTHY);
	cf_health_destroy(health);
}

/* When predictions begin to include that a server is slow, its health record
 * must follow. Otherwise the slowness counts twice. */
static void test_rescale(void **state)
{
	static const struct {
		int results; /* of the slow server */
		double factor; /* on its predictions */
		double slowness_min, slowness_max;
		uint32_t weight_min;
	} cases[] = {
		{ 40, 1, 2.9, 3.1, 0 }, /* probed */
		{ 40, 3, 1, 1, 1000 },    { 40, 1.5, 1.9, 2.1, 1000 },
		{ 40, 1.1, 2.6, 2.8, 0 }, /* still probed */
		{ 2, 3, 1, 1, 1000 }, /* too few results to judge by */
		{ 0, 3, 1, 1, 1000 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_health *health = make_health(300);
		double slowness;
		uint32_t weight;

		for (uint64_t agent = 1; agent <= SERVERS; agent++)
			send_tasks(health, agent,
				   agent == BAD ? cases[i].results : 40, true,
				   agent == BAD ? 300 : 100, 10);
		cf_health_rescale(health, BAD, cases[i].factor);
		slowness = cf_health_slowness(health, BAD);
		assert_true(slowness >= cases[i].slowness_min);
		assert_true(slowness <= cases[i].slowness_max);
		weight = cf_health_weight_milli(health, BAD, 20);
		assert_true(cases[i].weight_min ? weight == 1000
						: weight < 1000);
		cf_health_destroy(health);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ejects),
		cmocka_unit_test(test_black_hole_loses_few),
		cmocka_unit_test(test_way_back),
		cmocka_unit_test(test_probation_fails),
		cmocka_unit_test(test_slowness),
		cmocka_unit_test(test_straggler_recovers),
		cmocka_unit_test(test_overdue_before_results),
		cmocka_unit_test(test_slowness_is_forgotten),
		cmocka_unit_test(test_overdue),
		cmocka_unit_test(test_slow_start),
		cmocka_unit_test(test_rescale),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
