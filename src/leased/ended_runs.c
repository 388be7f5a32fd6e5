/*
 * ended_runs: see ended_runs.h.
 */
#include "leased/ended_runs.h"

static bool is_kept(const struct ended_run *run, int64_t now_ms)
{
	return run->ended_ms && now_ms - run->ended_ms < ENDED_RUNS_KEPT_MS;
}

const struct ended_run *ended_runs_find(const struct ended_runs *ended,
					const struct run_name *name,
					int64_t now_ms)
{
	for (uint32_t i = 0; i < ENDED_RUNS_MAX; i++)
		if (is_kept(&ended->runs[i], now_ms) &&
		    run_name_equal(&ended->runs[i].name, name))
			return &ended->runs[i];
	return NULL;
}

/* Returns the run's entry, or a new one in place of the oldest. */
static struct ended_run *get_entry(struct ended_runs *ended,
				   const struct run_name *name, int64_t now_ms)
{
	const struct ended_run *known = ended_runs_find(ended, name, now_ms);
	uint32_t position = ended->next;

	if (known)
		return &ended->runs[known - ended->runs];
	ended->next = (ended->next + 1) % ENDED_RUNS_MAX;
	ended->runs[position] = (struct ended_run){ .name = *name };
	return &ended->runs[position];
}

void ended_runs_add(struct ended_runs *ended, const struct run_name *name,
		    enum run_outcome outcome, int64_t now_ms)
{
	struct ended_run *run = get_entry(ended, name, now_ms);

	run->outcome = outcome;
	run->end_listed = false;
	run->ended_ms = now_ms;
}

void ended_runs_add_listed(struct ended_runs *ended,
			   const struct run_name *name,
			   enum run_outcome outcome, int64_t now_ms)
{
	struct ended_run *run = get_entry(ended, name, now_ms);

	run->end_listed = true;
	if (run->ended_ms)
		return;
	run->outcome = outcome;
	run->ended_ms = now_ms;
}

void ended_runs_server_restarted(struct ended_runs *ended)
{
	for (uint32_t i = 0; i < ENDED_RUNS_MAX; i++)
		ended->runs[i].end_listed = false;
}
