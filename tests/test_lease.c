/*
 * test_lease: tables of events for the holder's lease, the leader's lease
 * table and the retry budget.
 */
#include "chervilferry.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

/* ---- Holder ---- */

static void test_holder(void **state)
{
	/* Requests 1, 2, 3 were sent at 0, 500 and 1000 ms. */
	static const struct {
		const char *name;
		uint64_t seq, duration_ms, revision;
		int64_t now_ms;
		bool granted;
		int64_t end_ms;
	} cases[] = {
		{ "counted from the request", 1, 2000, 7, 1990, true, 2000 },
		{ "granted twice", 1, 2000, 7, 1991, false, 2000 },
		{ "not sent yet", 4, 2000, 7, 1991, false, 2000 },
		{ "sequence number 0", 0, 2000, 7, 1991, false, 2000 },
		{ "older revision", 2, 2000, 6, 1991, false, 2000 },
		{ "newer request", 3, 2000, 8, 1995, true, 3000 },
		{ "reordered reply", 2, 2000, 9, 1996, false, 3000 },
	};
	struct cf_lease *lease = cf_lease_create();

	(void)state;
	assert_false(cf_lease_held(lease, 0));
	assert_int_equal(cf_lease_end_ms(lease), INT64_MIN);
	for (int64_t sent_ms = 0; sent_ms <= 1000; sent_ms += 500)
		cf_lease_request(lease, sent_ms);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (cf_lease_grant(lease, cases[i].seq, cases[i].duration_ms,
				   cases[i].revision,
				   cases[i].now_ms) != cases[i].granted ||
		    cf_lease_end_ms(lease) != cases[i].end_ms)
			fail_msg("%s", cases[i].name);
	}
	assert_int_equal(cf_lease_revision(lease), 8);
	assert_true(cf_lease_held(lease, 2999));
	assert_false(cf_lease_held(lease, 3000));
	cf_lease_revoke(lease);
	assert_false(cf_lease_held(lease, 2000));
	assert_false(cf_lease_grant(lease, cf_lease_request(lease, 2000), 2000,
				    9, 2001));
	cf_lease_destroy(lease);
}

static void test_old_requests(void **state)
{
	struct cf_lease *lease = cf_lease_create();
	uint64_t first = cf_lease_request(lease, 0);
	uint64_t second = cf_lease_request(lease, 10);

	(void)state;
	assert_false(cf_lease_grant(lease, second, 2000, 1, 2010));
	for (int i = 0; i < 31; i++)
		cf_lease_request(lease, 100);
	assert_false(cf_lease_grant(lease, first, 2000, 1, 101));
	assert_true(cf_lease_grant(lease, second, 2000, 1, 101));
	assert_int_equal(cf_lease_end_ms(lease), 2010);
	cf_lease_destroy(lease);
}

/* ---- Leader ---- */

static void test_table(void **state)
{
	enum action { RENEW, RELEASE, CHECK_STATE };
	static const struct {
		enum action action;
		uint32_t holder;
		int64_t now_ms;
		bool renewed;
		enum cf_holder_state state;
	} cases[] = {
		{ CHECK_STATE, 1, 0, false, CF_HOLDER_NONE },
		{ RENEW, 1, 0, true, CF_HOLDER_ACTIVE },
		{ RENEW, 1, 1999, true, CF_HOLDER_ACTIVE },
		{ CHECK_STATE, 1, 3998, false, CF_HOLDER_ACTIVE },
		{ CHECK_STATE, 1, 3999, false, CF_HOLDER_ENDED },
		{ RENEW, 1, 3999, false, CF_HOLDER_ENDED },
		{ RENEW, 1, 9000, false, CF_HOLDER_ENDED },
		{ RENEW, 2, 9000, true, CF_HOLDER_ACTIVE },
		{ RELEASE, 2, 9001, false, CF_HOLDER_ENDED },
		{ RENEW, 2, 9002, false, CF_HOLDER_ENDED },
		{ RELEASE, 3, 9003, false, CF_HOLDER_ENDED },
		{ RENEW, 3, 9004, false, CF_HOLDER_ENDED },
		{ RENEW, 4, 9005, true, CF_HOLDER_ACTIVE },
	};
	struct cf_lease_table *table = cf_lease_table_create(2000, 0);
	uint64_t ended[8];

	(void)state;
	assert_false(cf_lease_table_settled(table, 1999));
	assert_true(cf_lease_table_settled(table, 2000));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (cases[i].action == RENEW)
			assert_int_equal(cf_lease_table_renew(table,
							      cases[i].holder,
							      cases[i].now_ms),
					 cases[i].renewed);
		else if (cases[i].action == RELEASE)
			cf_lease_table_release(table, cases[i].holder);
		assert_int_equal(cf_lease_table_state(table, cases[i].holder,
						      cases[i].now_ms),
				 cases[i].state);
	}
	assert_int_equal(cf_lease_table_expire(table, 9006, ended, 2), 2);
	assert_int_equal(cf_lease_table_expire(table, 9006, ended, 8), 1);
	assert_int_equal(cf_lease_table_expire(table, 11004, ended, 8), 0);
	assert_int_equal(cf_lease_table_expire(table, 11005, ended, 8), 1);
	assert_int_equal(ended[0], 4);
	cf_lease_table_destroy(table);
}

/* ---- Retries ---- */

static void test_retry(void **state)
{
	static const struct {
		uint32_t attempt, base_ms, max_ms, random, delay_ms;
	} cases[] = {
		{ 0, 10, 1000, 10, 10 },     { 0, 10, 1000, 11, 0 },
		{ 3, 10, 1000, 80, 80 },     { 10, 10, 1000, 1000, 1000 },
		{ 200, 10, 1000, 999, 999 }, { 5, 0, 1000, 77, 0 },
	};
	struct cf_retry_budget *budget = cf_retry_budget_create(100, 2);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(
			cf_retry_delay_ms(cases[i].attempt, cases[i].base_ms,
					  cases[i].max_ms, cases[i].random),
			cases[i].delay_ms);
	assert_true(cf_retry_budget_spend(budget));
	assert_true(cf_retry_budget_spend(budget));
	for (int i = 0; i < 10; i++) {
		assert_false(cf_retry_budget_spend(budget));
		cf_retry_budget_earn(budget);
	}
	assert_true(cf_retry_budget_spend(budget));
	for (int i = 0; i < 100; i++)
		cf_retry_budget_earn(budget);
	assert_true(cf_retry_budget_spend(budget));
	assert_true(cf_retry_budget_spend(budget));
	assert_false(cf_retry_budget_spend(budget));
	cf_retry_budget_destroy(budget);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_holder),
		cmocka_unit_test(test_old_requests),
		cmocka_unit_test(test_table),
		cmocka_unit_test(test_retry),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
