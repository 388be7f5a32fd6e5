/*
 * test_ended_runs: which of the runs that a server lists, and that its agent
 * doesn't have, come from an overtaken list and which have to be stopped.
 */
#include "leased/ended_runs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

enum event { GIVE_UP, LIST_END, RESTART };

static void apply(struct ended_runs *ended, enum event event,
		  const struct run_name *name, int64_t now_ms)
{
	if (event == GIVE_UP)
		ended_runs_add(ended, name, RUN_OUTCOME_NOT_STARTED, now_ms);
	else if (event == LIST_END)
		ended_runs_add_listed(ended, name, RUN_OUTCOME_DONE, now_ms);
	else
		ended_runs_server_restarted(ended);
}

/* A run that was given up and is carried out late must be stopped, a run in an
 * overtaken list need not be. */
static void test_only_listed_ends_excuse_a_run(void **state)
{
	static const struct {
		enum event events[3];
		size_t n;
		bool known, end_listed;
		enum run_outcome outcome;
	} cases[] = {
		{ { 0 }, 0, false, false, 0 },
		{ { GIVE_UP }, 1, true, false, RUN_OUTCOME_NOT_STARTED },
		{ { LIST_END }, 1, true, true, RUN_OUTCOME_DONE },
		{ { GIVE_UP, LIST_END },
		  2,
		  true,
		  true,
		  RUN_OUTCOME_NOT_STARTED },
		{ { LIST_END, LIST_END }, 2, true, true, RUN_OUTCOME_DONE },
		{ { LIST_END, RESTART }, 2, true, false, RUN_OUTCOME_DONE },
		{ { LIST_END, RESTART, LIST_END },
		  3,
		  true,
		  true,
		  RUN_OUTCOME_DONE },
		{ { LIST_END, GIVE_UP },
		  2,
		  true,
		  false,
		  RUN_OUTCOME_NOT_STARTED },
	};
	static const struct run_name name = { "a1", 3, 2 },
				     other = { "a1", 3, 1 };

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct ended_runs ended = { 0 };
		const struct ended_run *run;

		for (size_t k = 0; k < cases[i].n; k++)
			apply(&ended, cases[i].events[k], &name, 100);
		run = ended_runs_find(&ended, &name, 200);
		assert_int_equal(run != NULL, cases[i].known);
		assert_null(ended_runs_find(&ended, &other, 200));
		assert_null(ended_runs_find(&ended, &name,
					    100 + ENDED_RUNS_KEPT_MS));
		if (!run)
			continue;
		assert_int_equal(run->end_listed, cases[i].end_listed);
		assert_int_equal(run->outcome, cases[i].outcome);
		assert_int_equal(run->ended_ms, 100);
	}
}

static void test_the_newest_are_kept(void **state)
{
	struct ended_runs ended = { 0 };
	struct run_name name = { "a1", 0, 1 };

	(void)state;
	for (name.index = 0; name.index < ENDED_RUNS_MAX + 10; name.index++)
		ended_runs_add(&ended, &name, RUN_OUTCOME_DONE, 100);
	name.index = 9;
	assert_null(ended_runs_find(&ended, &name, 100));
	name.index = 10;
	assert_non_null(ended_runs_find(&ended, &name, 100));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_only_listed_ends_excuse_a_run),
		cmocka_unit_test(test_the_newest_are_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
