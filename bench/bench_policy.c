/*
 * bench_policy: simulates recorded traces with the decision library, a
 * virtual clock and simulated servers, and prints the results of each
 * placement policy.
 *   bench_policy TRACE...
 * The last columns show, for each class, the percentage of answers within
 * the target and the number of refusals.
 */
#include "chervilferry.h"

#include <stdio.h>

#include "../tests/support/replay_run.h"

static void print_outcome(const char *policy,
			  const struct replay_outcome *outcome)
{
	printf("  %-12s p50 %5.2f p99 %6.2f  within %5u late %4u refused %4u "
	       "failed %4u  tasks lost %5.2f%%  busy %.3f ",
	       policy, outcome->p50, outcome->p99, outcome->within,
	       outcome->answered - outcome->within, outcome->refused,
	       outcome->failed, 100.0 * outcome->tasks_lost / outcome->tasks,
	       outcome->busy);
	for (uint32_t i = 0; i < outcome->n_classes; i++)
		printf(" %.1f%%(-%u)",
		       100.0 * outcome->classes[i].within /
			       MAX(outcome->classes[i].answered, 1U),
		       outcome->classes[i].refused);
	printf("\n");
}

static bool simulate_trace(const char *path)
{
	static const char *const policies[] = { "finish", "least",
						"round-robin", "random" };
	GError *error = NULL;
	struct replay *replay = replay_read(path, &error);

	if (replay == NULL) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return false;
	}
	printf("%s\n", path);
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		struct replay_outcome outcome;

		replay_simulate(replay, policies[i], &outcome);
		print_outcome(policies[i], &outcome);
	}
	replay_destroy(replay);
	return true;
}

int main(int argc, char **argv)
{
	bool ok = argc > 1;

	for (int i = 1; i < argc; i++)
		ok = simulate_trace(argv[i]) && ok;
	return ok ? 0 : 1;
}
