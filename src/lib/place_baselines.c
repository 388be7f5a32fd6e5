/*
 * place_baselines: simple placement policies for comparison. Each one places
 * every task at once on a usable agent that can run it, however long the
 * queue is there. None considers run times or health.
 */
#include "chervilferry.h"

#include "lib/place_policy.h"

struct baseline {
	struct cf_placer placer; /* first member */
	uint32_t (*choose)(struct baseline *baseline,
			   const struct cf_place_agent *agents, size_t n_agents,
			   const struct cf_place_task *task);
	GRand *random; /* NULL for round-robin */
	size_t next; /* round-robin: position to try first */
};

static bool eligible(const struct cf_place_agent *agent,
		     const struct cf_place_task *task)
{
	return agent->usable && place_fits_empty(agent, task);
}

/* ---- Choices -------------------------------------------------------- */

static uint32_t choose_random(struct baseline *baseline,
			      const struct cf_place_agent *agents,
			      size_t n_agents, const struct cf_place_task *task)
{
	uint32_t chosen = CF_PLACE_NONE;
	uint32_t seen = 0;

	for (size_t i = 0; i < n_agents; i++) {
		if (!eligible(&agents[i], task))
			continue;
		seen++;
		if (g_rand_double(baseline->random) * seen < 1)
			chosen = (uint32_t)i;
	}
	return chosen;
}

static uint32_t choose_next(struct baseline *baseline,
			    const struct cf_place_agent *agents,
			    size_t n_agents, const struct cf_place_task *task)
{
	for (size_t i = 0; i < n_agents; i++) {
		size_t agent = (baseline->next + i) % n_agents;

		if (!eligible(&agents[agent], task))
			continue;
		baseline->next = (agent + 1) % n_agents;
		return (uint32_t)agent;
	}
	return CF_PLACE_NONE;
}

static uint32_t choose_least(struct baseline *baseline,
			     const struct cf_place_agent *agents,
			     size_t n_agents, const struct cf_place_task *task)
{
	uint32_t chosen = CF_PLACE_NONE;
	uint64_t least = UINT64_MAX;
	uint32_t equal = 0;

	for (size_t i = 0; i < n_agents; i++) {
		uint64_t outstanding =
			(uint64_t)agents[i].used.slots + agents[i].queued;

		if (!eligible(&agents[i], task) || outstanding > least)
			continue;
		equal = outstanding < least ? 1 : equal + 1;
		least = outstanding;
		if (g_rand_double(baseline->random) * equal < 1)
			chosen = (uint32_t)i;
	}
	return chosen;
}

/* ---- Policies ------------------------------------------------------- */

static size_t baseline_place(struct cf_placer *placer,
			     struct cf_place_agent *agents, size_t n_agents,
			     struct cf_place_task *tasks, size_t n_tasks)
{
	struct baseline *baseline = (struct baseline *)placer;
	size_t placed = 0;

	for (size_t i = 0; i < n_tasks; i++) {
		uint32_t agent =
			baseline->choose(baseline, agents, n_agents, &tasks[i]);

		tasks[i].agent = CF_PLACE_NONE;
		if (agent == CF_PLACE_NONE)
			continue;
		place_assign(agents, agent, &tasks[i]);
		placed++;
	}
	return placed;
}

static void baseline_destroy(struct cf_placer *placer)
{
	struct baseline *baseline = (struct baseline *)placer;

	if (baseline->random != NULL)
		g_rand_free(baseline->random);
	g_free(baseline);
}

static const struct cf_placer_ops random_ops = {
	.name = "random",
	.place = baseline_place,
	.destroy = baseline_destroy,
};

static const struct cf_placer_ops round_robin_ops = {
	.name = "round-robin",
	.place = baseline_place,
	.destroy = baseline_destroy,
};

static const struct cf_placer_ops least_ops = {
	.name = "least",
	.place = baseline_place,
	.destroy = baseline_destroy,
};

struct cf_placer *place_random_create(uint64_t seed)
{
	struct baseline *baseline = g_new0(struct baseline, 1);

	baseline->placer.ops = &random_ops;
	baseline->choose = choose_random;
	baseline->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
	return &baseline->placer;
}

struct cf_placer *place_round_robin_create(void)
{
	struct baseline *baseline = g_new0(struct baseline, 1);

	baseline->placer.ops = &round_robin_ops;
	baseline->choose = choose_next;
	return &baseline->placer;
}

struct cf_placer *place_least_create(uint64_t seed)
{
	struct baseline *baseline = g_new0(struct baseline, 1);

	baseline->placer.ops = &least_ops;
	baseline->choose = choose_least;
	baseline->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
	return &baseline->placer;
}
