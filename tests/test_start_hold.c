/*
 * test_start_hold: which jobs that arrive while a dispatcher starts are held,
 * for how long, and what becomes of them. Guards against refusals while routes
 * are on their way, against jobs that are held past the time their callers can
 * use, and against jobs that are held by a process that never gets ready.
 */
#include "leased/start_hold.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define STARTED_MS 5000
#define END_MS (STARTED_MS + START_HOLD_MS)
#define WAITS_MS 3000 /* a caller's usual time */

static enum start_verdict arrive(struct start_hold *hold, const char *id,
				 int64_t arrived_ms, int64_t waits_ms,
				 bool can_serve, int64_t now_ms)
{
	struct start_job job = { .id = id,
				 .arrived_ms = arrived_ms,
				 .deadline_ms = arrived_ms + waits_ms,
				 .caller = (void *)(uintptr_t)id };

	return start_hold_arrive(hold, &job, can_serve, now_ms);
}

static void test_arrival(void **state)
{
	static const struct {
		const char *name;
		int64_t arrived_ms, now_ms, waits_ms;
		uint32_t held; /* before it */
		bool served_before, can_serve;
		enum start_verdict expected;
	} cases[] = {
		{ "first moment", STARTED_MS, STARTED_MS, WAITS_MS, 0, false,
		  false, START_HELD },
		{ "last moment", END_MS - 1, END_MS - 1, WAITS_MS, 0, false,
		  false, START_HELD },
		{ "the second is over", END_MS, END_MS, WAITS_MS, 0, false,
		  false, START_PASS },
		{ "came within the second, handled after it", END_MS - 5,
		  END_MS + 5, WAITS_MS, 0, false, false, START_PASS },
		{ "ready", STARTED_MS + 9, STARTED_MS + 9, WAITS_MS, 0, false,
		  true, START_PASS },
		{ "unready again after it has served", STARTED_MS + 9,
		  STARTED_MS + 9, WAITS_MS, 0, true, false, START_PASS },
		{ "half of the caller's time is over", STARTED_MS + 9,
		  STARTED_MS + 29, 40, 0, false, false, START_REFUSED },
		{ "nearly half of it", STARTED_MS + 9, STARTED_MS + 28, 40, 0,
		  false, false, START_HELD },
		{ "the last place", STARTED_MS, STARTED_MS, WAITS_MS,
		  START_HOLD_JOBS_MAX - 1, false, false, START_HELD },
		{ "no place", STARTED_MS, STARTED_MS, WAITS_MS,
		  START_HOLD_JOBS_MAX, false, false, START_REFUSED },
		{ "no place is needed", STARTED_MS, STARTED_MS, WAITS_MS,
		  START_HOLD_JOBS_MAX, false, true, START_PASS },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct start_hold *hold = start_hold_create(STARTED_MS);
		enum start_verdict verdict;

		print_message("%s\n", cases[i].name);
		if (cases[i].served_before)
			arrive(hold, "0", STARTED_MS, WAITS_MS, true,
			       STARTED_MS);
		for (uint32_t n = 0; n < cases[i].held; n++)
			assert_int_equal(arrive(hold, "h", STARTED_MS, WAITS_MS,
						false, STARTED_MS),
					 START_HELD);
		verdict = arrive(hold, "a", cases[i].arrived_ms,
				 cases[i].waits_ms, cases[i].can_serve,
				 cases[i].now_ms);
		assert_int_equal(verdict, cases[i].expected);
		assert_int_equal(start_hold_count(hold),
				 cases[i].held + (verdict == START_HELD));
		start_hold_destroy(hold);
	}
}

/* Three jobs that arrive in the order a, b, c; b's caller waits 400 ms. */
static void test_release(void **state)
{
	static const struct {
		const char *name;
		int64_t now_ms;
		bool can_serve;
		const char *released;
		enum start_verdict verdict;
	} cases[] = {
		{ "too early", STARTED_MS + 201, false, "", START_REFUSED },
		{ "half of b's time", STARTED_MS + 202, false, "b",
		  START_REFUSED },
		{ "before the end", END_MS - 1, false, "b", START_REFUSED },
		{ "the end", END_MS, false, "abc", START_REFUSED },
		{ "ready", STARTED_MS + 100, true, "abc", START_PASS },
		/* The loop was late; the deadline of a and c is still far. */
		{ "ready after the end", END_MS + 1, true, "abc", START_PASS },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct start_hold *hold = start_hold_create(STARTED_MS);
		enum start_verdict verdict;
		char released[4] = "";
		const char *id;

		print_message("%s\n", cases[i].name);
		arrive(hold, "a", STARTED_MS + 1, WAITS_MS, false,
		       STARTED_MS + 1);
		arrive(hold, "b", STARTED_MS + 2, 400, false, STARTED_MS + 2);
		arrive(hold, "c", STARTED_MS + 3, WAITS_MS, false,
		       STARTED_MS + 3);
		while ((id = start_hold_next(hold, cases[i].can_serve,
					     cases[i].now_ms, &verdict))) {
			assert_int_equal(verdict, cases[i].verdict);
			snprintf(released + strlen(released), 2, "%s", id);
		}
		assert_string_equal(released, cases[i].released);
		assert_int_equal(start_hold_count(hold), 3 - strlen(released));
		start_hold_destroy(hold);
	}
}

static void test_removal(void **state)
{
	static const char a[] = "a", b[] = "b", c[] = "c";
	struct start_hold *hold = start_hold_create(STARTED_MS);
	enum start_verdict verdict;

	(void)state;
	arrive(hold, a, STARTED_MS, WAITS_MS, false, STARTED_MS);
	arrive(hold, b, STARTED_MS, WAITS_MS, false, STARTED_MS);
	arrive(hold, c, STARTED_MS, WAITS_MS, false, STARTED_MS);
	assert_true(start_hold_abandon(hold, b));
	assert_false(start_hold_abandon(hold, b));
	assert_null(start_hold_cancel(hold, "b"));
	assert_ptr_equal(start_hold_cancel(hold, "a"), a);
	assert_ptr_equal(start_hold_next(hold, true, STARTED_MS, &verdict), c);
	assert_null(start_hold_next(hold, true, STARTED_MS, &verdict));
	start_hold_destroy(hold);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_arrival),
		cmocka_unit_test(test_release),
		cmocka_unit_test(test_removal),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
