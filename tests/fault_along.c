/*
 * Tasks that are sent at the same time as the claim: every job completes, and
 * no task starts twice.
 */
#include "support/cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>

#include <cmocka.h>

#define LOAD_WAIT_MS 30000

static void claim_along_completes_all_jobs(void **state)
{
	static const char *const args[] = { "--claim", "along", NULL };
	static const char *const load_args[] = {
		"--rate",   "30", "--duration-s", "3",        "--tasks", "2",
		"--run-ms", "20", "--seed",       "20261204", NULL
	};
	static const struct cluster_options options = { .coordinators = 3,
							.dispatchers = 2,
							.agents = 3,
							.dispatcher_args =
								args };
	struct cluster *c = cluster_create(&options);
	struct cf_trace_summary summary;
	struct proc *load;
	int64_t jobs, complete;

	(void)state;
	cluster_start(c);
	load = cluster_load(c, load_args);
	proc_wait(load, LOAD_WAIT_MS);
	jobs = cluster_load_field(load, "jobs");
	complete = cluster_load_field(load, "complete");
	fprintf(stderr, "count: jobs=%d complete=%d\n", (int)jobs,
		(int)complete);
	assert_true(jobs > 50);
	assert_int_equal(complete, jobs);
	assert_int_equal(cluster_check(c, &summary), 0);
	assert_int_equal(summary.double_starts, 0);
	cluster_destroy(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(claim_along_completes_all_jobs,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
