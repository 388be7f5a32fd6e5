/*
 * test_replay: simulates recorded traces on a virtual clock with the real
 * admission, placement and health code, and compares the outcomes with
 * expected limits and with baseline policies.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "support/replay_run.h"

struct expected {
	const char *trace;
	double p50_max; /* median slowdown against the ideal response time */
	double lost_max; /* fraction of the tasks */
	double within_min; /* fraction of the answers that meet the target */
	double refused_max; /* fraction of the jobs */
};

static const struct expected expected[] = {
	{ "gestellwerk-steady", 1.1, 0, 0.99, 0 },
	{ "pathology-steady", 1.1, 0, 0.99, 0 },
	{ "gestellwerk-sizes-wrong", 1.1, 0, 0.99, 0.01 },
	{ "pathology-sizes-wrong", 1.1, 0, 0.99, 0.01 },
	{ "gestellwerk-straggler", 1.1, 0, 0.99, 0.01 },
	{ "pathology-straggler", 1.1, 0, 0.99, 0.01 },
	{ "gestellwerk-black-hole", 1.1, 0.01, 0.99, 0.01 },
	{ "pathology-black-hole", 1.1, 0.01, 0.99, 0.01 },
	{ "gestellwerk-cancellations", 1.1, 0, 0.99, 0.1 },
	{ "pathology-cancellations", 1.1, 0, 0.99, 0.1 },
	/* The three pairs of traces below demand more than the capacity:
	 * 2 times for 5 s of 30 s, 1.3 times for 12 s of 35 s, and 1.4 times
	 * for 20 s of 30 s. That much work can't be answered in time. */
	{ "gestellwerk-burst", 1.1, 0, 0.98, 0.25 },
	{ "pathology-burst", 1.1, 0, 0.98, 0.25 },
	{ "gestellwerk-data-centre", 1.1, 0, 0.98, 0.1 },
	{ "pathology-data-centre", 1.1, 0, 0.98, 0.1 },
	{ "gestellwerk-half-leaves", 1.5, 0, 0.97, 0.25 },
	{ "pathology-half-leaves", 1.5, 0, 0.97, 0.25 },
};

static struct replay *read_trace(const char *name)
{
	char *path = g_strdup_printf("bench/traces/%s.txt", name);
	GError *error = NULL;
	struct replay *replay = replay_read(path, &error);

	if (replay == NULL)
		fail_msg("%s", error->message);
	g_free(path);
	return replay;
}

static void test_expected_outcomes(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
		const struct expected *s = &expected[i];
		struct replay *replay = read_trace(s->trace);
		struct replay_outcome o;

		replay_simulate(replay, "finish", &o);
		assert_int_equal(o.answered + o.refused + o.failed + o.dropped,
				 o.jobs);
		if (o.p50 > s->p50_max ||
		    o.tasks_lost > s->lost_max * o.tasks ||
		    o.within < s->within_min * o.answered ||
		    o.refused > s->refused_max * o.jobs)
			fail_msg("%s: p50 %.2f, %u of %u tasks lost, %u of %u "
				 "within, %u of %u refused",
				 s->trace, o.p50, o.tasks_lost, o.tasks,
				 o.within, o.answered, o.refused, o.jobs);
		replay_destroy(replay);
	}
}

/* Every baseline has a longer tail (p99) and no more answers in time. */
static void test_beats_baselines(void **state)
{
	static const char *const baselines[] = { "random", "round-robin",
						 "least" };
	static const char *const traces[] = { "gestellwerk-steady",
					      "pathology-steady",
					      "gestellwerk-data-centre",
					      "pathology-data-centre" };

	(void)state;
	for (size_t t = 0; t < G_N_ELEMENTS(traces); t++) {
		struct replay *replay = read_trace(traces[t]);
		struct replay_outcome ours;

		replay_simulate(replay, "finish", &ours);
		for (size_t b = 0; b < G_N_ELEMENTS(baselines); b++) {
			struct replay_outcome theirs;

			replay_simulate(replay, baselines[b], &theirs);
			assert_true(ours.p99 < theirs.p99);
			assert_true(ours.within >= theirs.within);
		}
		replay_destroy(replay);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_expected_outcomes),
		cmocka_unit_test(test_beats_baselines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
