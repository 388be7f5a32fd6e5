/*
 * test_drain: the phases of a planned stop and the jobs that are still run.
 * Guards against a process that refuses jobs that could end, that accepts jobs
 * that it would abort, or that exits while a connection is in use.
 */
#include "leased/drain.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define BEGAN_MS 70000
#define WAIT_MS 5000
#define ABORT_MS 300

/* Lets a process that polls each millisecond go on from one time to another. */
static void run_until(struct drain *drain, uint32_t connections,
		      int64_t from_ms, int64_t to_ms)
{
	for (int64_t now_ms = from_ms; now_ms <= to_ms; now_ms++) {
		enum drain_phase phase;

		do {
			phase = drain->phase;
		} while (drain_next(drain, connections, now_ms) != phase);
	}
}

static void test_phases(void **state)
{
	static const struct {
		const char *name;
		int64_t wait_ms, at_ms; /* at_ms: since the stop began */
		uint32_t connections;
		enum drain_phase phase;
	} cases[] = {
		{ "begin", WAIT_MS, 0, 9, DRAIN_ACCEPTING },
		/* A balancer may send a request to a process without any. */
		{ "no connection yet", WAIT_MS, 2199, 0, DRAIN_ACCEPTING },
		{ "balancers are gone", WAIT_MS, 2200, 9, DRAIN_CLOSING },
		{ "and so are callers", WAIT_MS, 2200, 0, DRAIN_ENDED },
		{ "the last answer", WAIT_MS, 4000, 0, DRAIN_ENDED },
		{ "one in use", WAIT_MS, 4999, 1, DRAIN_CLOSING },
		{ "time is over", WAIT_MS, 5000, 1, DRAIN_ABORTING },
		{ "all are answered", WAIT_MS, 5001, 0, DRAIN_ENDED },
		{ "one is stuck", WAIT_MS, 5299, 1, DRAIN_ABORTING },
		{ "before SIGKILL", WAIT_MS, 5300, 1, DRAIN_ENDED },
		{ "a short wait", 100, 2199, 1, DRAIN_ACCEPTING },
		{ "a short wait is over", 100, 2200, 1, DRAIN_ABORTING },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct drain drain;

		print_message("%s\n", cases[i].name);
		drain_begin(&drain, cases[i].wait_ms, BEGAN_MS);
		run_until(&drain, cases[i].connections, BEGAN_MS,
			  BEGAN_MS + cases[i].at_ms);
		assert_int_equal(drain.phase, cases[i].phase);
	}
}

/* Guards against a pause of the process that jumps over the aborting of jobs:
 * they would be answered by whoever doesn't know what has run (review/11). */
static void test_a_pause_skips_no_phase(void **state)
{
	(void)state;
	for (int64_t from_ms = 0; from_ms <= WAIT_MS + ABORT_MS; from_ms += 50)
		for (int64_t for_ms = 50; for_ms <= 2 * WAIT_MS; for_ms += 50) {
			int64_t now_ms = BEGAN_MS + from_ms + for_ms;
			struct drain drain;

			drain_begin(&drain, WAIT_MS, BEGAN_MS);
			run_until(&drain, 1, BEGAN_MS, BEGAN_MS + from_ms - 1);
			if (drain.phase >= DRAIN_ABORTING)
				continue;
			run_until(&drain, 1, now_ms, now_ms);
			if (now_ms < drain.abort_ms)
				continue;
			assert_int_equal(drain.phase, DRAIN_ABORTING);
			run_until(&drain, 1, now_ms, now_ms + ABORT_MS - 1);
			assert_int_equal(drain.phase, DRAIN_ABORTING);
			run_until(&drain, 1, now_ms, now_ms + ABORT_MS);
			assert_int_equal(drain.phase, DRAIN_ENDED);
		}
}

static void test_jobs_that_are_run(void **state)
{
	static const struct {
		const char *name;
		int64_t at_ms;
		uint32_t predicted_ms;
		bool run;
	} cases[] = {
		{ "short, at once", 0, 60, true },
		{ "short, after the limit of 2.5 s of earlier versions", 2600,
		  60, true },
		{ "short, nearly at the end", 4798, 60, true },
		{ "short, too late", 4799, 60, false },
		{ "long, in time", 3370, 900, true },
		{ "long, too late", 3371, 900, false },
		{ "very long, at once", 0, 2882, true },
		{ "too long at any time", 0, 2883, false },
		{ "when jobs are aborted", 5000, 1, false },
		{ "huge", 0, UINT32_MAX, false },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct drain drain;

		print_message("%s\n", cases[i].name);
		drain_begin(&drain, WAIT_MS, BEGAN_MS);
		assert_int_equal(drain_can_run(&drain, cases[i].predicted_ms,
					       BEGAN_MS + cases[i].at_ms),
				 cases[i].run);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_phases),
		cmocka_unit_test(test_a_pause_skips_no_phase),
		cmocka_unit_test(test_jobs_that_are_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
