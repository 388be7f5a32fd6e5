/*
 * test_server_incarnation: which incarnation of a backend server a report or a
 * list comes from.
 */
#include "leased/server_incarnation.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

/* The host's clock was set back between 9000 and 5000. */
static void begin(struct server_incarnation *incarnation)
{
	server_incarnation_begin(incarnation, 1000);
	server_incarnation_begin(incarnation, 9000);
	server_incarnation_reported(incarnation, 70, 7000);
	server_incarnation_begin(incarnation, 5000);
	server_incarnation_listed(incarnation, 300, 20000, 20010);
}

/* A late report of an earlier incarnation must not be taken for a new one, and
 * a smaller start time is no proof that it is late. */
static void test_reports(void **state)
{
	static const struct {
		const char *what;
		int64_t start_time_ms;
		uint64_t seq;
		int64_t clock_ms;
		enum server_message message;
	} cases[] = {
		{ "newer", 5000, 4, 1300, SERVER_MESSAGE_CURRENT },
		{ "delayed", 5000, 4, 100, SERVER_MESSAGE_CURRENT },
		{ "same start, restarted", 5000, 4, 89,
		  SERVER_MESSAGE_UNPROVEN },
		{ "same start, before", 5000, 71, 8000,
		  SERVER_MESSAGE_UNPROVEN },
		{ "the same again", 5000, 3, 1300, SERVER_MESSAGE_UNPROVEN },
		{ "older", 5000, 2, 1300, SERVER_MESSAGE_UNPROVEN },
		{ "far ahead", 5000, 1000004, 1300, SERVER_MESSAGE_UNPROVEN },
		{ "late, from before", 9000, 71, 1300,
		  SERVER_MESSAGE_UNPROVEN },
		{ "late, the first one", 1000, 9, 1300,
		  SERVER_MESSAGE_UNPROVEN },
		{ "clock set back", 4000, 1, 1300, SERVER_MESSAGE_UNPROVEN },
		{ "restarted", 6000, 1, 1300, SERVER_MESSAGE_NEW },
		{ "restarted later", 9001, 1, 1300, SERVER_MESSAGE_NEW },
	};
	struct server_incarnation incarnation = { 0 };

	(void)state;
	begin(&incarnation);
	/* seq starts anew; that of the earlier incarnation doesn't count. */
	assert_int_equal(server_incarnation_check_report(&incarnation, 5000, 3,
							 1300, 21000),
			 SERVER_MESSAGE_CURRENT);
	server_incarnation_reported(&incarnation, 3, 90);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(server_incarnation_check_report(
					 &incarnation, cases[i].start_time_ms,
					 cases[i].seq, cases[i].clock_ms,
					 21000),
				 cases[i].message);
}

static void test_lists_prove_the_incarnation(void **state)
{
	static const struct {
		int64_t start_time_ms, clock_ms, sent_ms;
		enum server_message message;
	} cases[] = {
		{ 0, 1300, 21000, SERVER_MESSAGE_CURRENT },
		{ 5000, 1300, 21000, SERVER_MESSAGE_CURRENT },
		{ 4000, 1300, 21000, SERVER_MESSAGE_NEW },
		{ 6000, 1300, 21000, SERVER_MESSAGE_NEW },
		{ 9000, 1300, 21000, SERVER_MESSAGE_NEW },
		/* The clock went back, or the answer was overtaken. */
		{ 5000, 299, 20011, SERVER_MESSAGE_NEW },
		{ 0, 299, 20011, SERVER_MESSAGE_NEW },
		{ 5000, 299, 20010, SERVER_MESSAGE_UNPROVEN },
		{ 5000, 300, 20011, SERVER_MESSAGE_CURRENT },
	};
	struct server_incarnation incarnation = { 0 };

	(void)state;
	begin(&incarnation);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(server_incarnation_check_lists(
					 &incarnation, cases[i].start_time_ms,
					 cases[i].clock_ms, cases[i].sent_ms),
				 cases[i].message);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reports),
		cmocka_unit_test(test_lists_prove_the_incarnation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
