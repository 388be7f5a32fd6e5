/*
 * place: chooses the agent that runs a task, by earliest predicted finish.
 *
 * The tasks of a job are placed longest first (Graham, "Bounds on
 * multiprocessing timing anomalies", 1969), each on the agent where it would
 * finish first. Tasks are bound late: only to a free slot, or to a queue
 * where the wait is a small part of the task's run time. Otherwise the task
 * stays at the dispatcher, which can still send it to any agent. Load
 * reports are stale when several dispatchers place tasks, so the agent is
 * drawn at random, weighted by free slots, from those that are about equally
 * good. With many agents only a sample is compared (Mitzenmacher, "The power
 * of two choices", 2001).
 */
#include "chervilferry.h"

#include <string.h>

#include "lib/place_policy.h"

/* A task joins a queue only if its wait there is below 1/4 of its run time. */
static const uint32_t QUEUE_WAIT_DIVISOR = 4;
/* A task waits at the dispatcher only if the best agent would finish it this
 * many times faster than the best one that can take it now. */
static const double DEFER_GAIN = 1.5;
/* Agents tie if they finish later than the best by less than this part of
 * the run time, or by less than TIE_MIN_US if that is more. */
static const double TIE_RUN_TIME_FRACTION = 1.0 / 32;
static const double TIE_MIN_US = 200; /* See TIE_RUN_TIME_FRACTION. */
/* With more agents, only a sample is compared. */
static const size_t FULL_SCAN_AGENTS_MAX = 64;
static const size_t SAMPLE_AGENTS = 32;

struct finish_placer {
	struct cf_placer placer; /* first member */
	GRand *random;
	uint32_t *candidates; /* positions in the array of agents */
	double *finish_us; /* of each candidate */
	size_t candidates_max; /* allocated size of both arrays */
};

/* ---- Resources ------------------------------------------------------ */

/* A capacity of 0 means that the resource is not limited. */
static bool resource_fits(uint32_t capacity, uint32_t used, uint32_t wanted)
{
	return capacity == 0 || (uint64_t)used + wanted <= capacity;
}

bool place_fits_empty(const struct cf_place_agent *agent,
		      const struct cf_place_task *task)
{
	const struct cf_capacity *capacity = &agent->capacity;

	return capacity->slots > 0 &&
	       resource_fits(capacity->cpu_milli, 0, task->cpu_milli) &&
	       resource_fits(capacity->memory_mb, 0, task->memory_mb) &&
	       task->accelerators <= capacity->accelerators;
}

bool place_fits_now(const struct cf_place_agent *agent,
		    const struct cf_place_task *task)
{
	const struct cf_capacity *capacity = &agent->capacity;
	const struct cf_capacity *used = &agent->used;

	return resource_fits(capacity->connections, used->connections, 1) &&
	       resource_fits(capacity->cpu_milli, used->cpu_milli,
			     task->cpu_milli) &&
	       resource_fits(capacity->memory_mb, used->memory_mb,
			     task->memory_mb) &&
	       (uint64_t)used->accelerators + task->accelerators <=
		       MAX(capacity->accelerators, used->accelerators);
}

bool cf_place_ever_fits(const struct cf_place_agent *agents, size_t n_agents,
			const struct cf_place_task *task)
{
	for (size_t i = 0; i < n_agents; i++) {
		if (place_fits_empty(&agents[i], task))
			return true;
	}
	return false;
}

/* ---- Assignment ----------------------------------------------------- */

static double run_us(const struct cf_place_agent *agent,
		     const struct cf_place_task *task)
{
	double slowness = agent->slowness > 0 ? agent->slowness : 1.0;

	return task->predicted_ms * slowness * 1000;
}

void place_assign(struct cf_place_agent *agents, uint32_t agent,
		  struct cf_place_task *task)
{
	struct cf_place_agent *chosen_agent = &agents[agent];

	if (chosen_agent->used.slots < chosen_agent->capacity.slots)
		chosen_agent->used.slots++;
	else
		chosen_agent->queued++;
	chosen_agent->used.connections++;
	chosen_agent->used.cpu_milli += task->cpu_milli;
	chosen_agent->used.memory_mb += task->memory_mb;
	chosen_agent->used.accelerators += task->accelerators;
	chosen_agent->backlog_ms +=
		(uint32_t)(run_us(chosen_agent, task) / 1000);
	task->agent = agent;
}

/* ---- Earliest finish ------------------------------------------------ */

/* Slots that the agent's health weight allows; at least one while the weight
 * is above 0. */
static uint32_t slots_allowed(const struct cf_place_agent *agent)
{
	uint64_t slots = agent->capacity.slots;

	return (uint32_t)((slots * MIN(agent->weight_milli, 1000U) + 999) /
			  1000);
}

static uint32_t slots_free(const struct cf_place_agent *agent)
{
	uint32_t allowed = slots_allowed(agent);
	uint32_t chosen_agent = agent->used.slots + agent->queued;

	return chosen_agent < allowed ? allowed - chosen_agent : 0;
}

static double wait_us(const struct cf_place_agent *agent,
		      const struct cf_place_task *task)
{
	if (slots_free(agent) > 0)
		return 0;
	/* Tasks that run longer than predicted have no backlog left but
	 * still hold their slots. */
	return MAX(agent->backlog_ms, task->predicted_ms) * 1000.0 /
	       MAX(agent->capacity.slots, 1U);
}

static double finish_us(const struct cf_place_agent *agent,
			const struct cf_place_task *task)
{
	return wait_us(agent, task) + run_us(agent, task) +
	       2.0 * agent->distance_us;
}

/* Tells whether the task may be sent there now, or would wait too long. */
static bool can_bind(const struct cf_place_agent *agent,
		     const struct cf_place_task *task)
{
	if (!place_fits_now(agent, task))
		return false;
	if (slots_free(agent) > 0)
		return true;
	if (agent->weight_milli < 1000)
		return false;
	return agent->queued < agent->capacity.slots &&
	       wait_us(agent, task) <=
		       task->predicted_ms * 1000.0 / QUEUE_WAIT_DIVISOR;
}

static void reserve_candidates(struct finish_placer *finish, size_t n_agents)
{
	if (finish->candidates_max >= n_agents)
		return;
	finish->candidates = g_renew(uint32_t, finish->candidates, n_agents);
	finish->finish_us = g_renew(double, finish->finish_us, n_agents);
	finish->candidates_max = n_agents;
}

static size_t add_candidate(struct finish_placer *finish,
			    const struct cf_place_agent *agents, uint32_t agent,
			    const struct cf_place_task *task, size_t n)
{
	const struct cf_place_agent *candidate = &agents[agent];

	if (!candidate->usable || slots_allowed(candidate) == 0 ||
	    !place_fits_empty(candidate, task))
		return n;
	finish->candidates[n] = agent;
	finish->finish_us[n] = finish_us(candidate, task);
	return n + 1;
}

static size_t add_all_candidates(struct finish_placer *finish,
				 const struct cf_place_agent *agents,
				 size_t n_agents,
				 const struct cf_place_task *task)
{
	size_t n = 0;

	for (size_t i = 0; i < n_agents; i++)
		n = add_candidate(finish, agents, (uint32_t)i, task, n);
	return n;
}

static size_t add_sampled_candidates(struct finish_placer *finish,
				     const struct cf_place_agent *agents,
				     size_t n_agents,
				     const struct cf_place_task *task)
{
	size_t first =
		(size_t)g_rand_int_range(finish->random, 0, (gint32)n_agents);
	size_t stride = n_agents / SAMPLE_AGENTS;
	size_t n = 0;

	for (size_t i = 0; i < SAMPLE_AGENTS; i++) {
		size_t agent = (first + i * stride) % n_agents;

		n = add_candidate(finish, agents, (uint32_t)agent, task, n);
	}
	return n;
}

/* Returns the latest finish time at which a task is bound, or a negative
 * value if it should wait at the dispatcher. The best agent that can take
 * the task is used unless the predicted finish at another one is far earlier.
 * This bounds the capacity that stays idle when the information about servers
 * is wrong. */
static double finish_limit_us(const struct finish_placer *finish,
			      const struct cf_place_agent *agents, size_t n,
			      const struct cf_place_task *task)
{
	double best = G_MAXDOUBLE;
	double best_bindable = G_MAXDOUBLE;

	for (size_t i = 0; i < n; i++) {
		best = MIN(best, finish->finish_us[i]);
		if (can_bind(&agents[finish->candidates[i]], task))
			best_bindable =
				MIN(best_bindable, finish->finish_us[i]);
	}
	if (best_bindable > best * DEFER_GAIN)
		return -1;
	return best_bindable + MAX(TIE_MIN_US, task->predicted_ms * 1000.0 *
						       TIE_RUN_TIME_FRACTION);
}

/* Draws an agent at random, weighted by free slots, from those that can take
 * the task and are about as good as the best. Agents with a queue are drawn
 * only if none has a free slot. */
static uint32_t choose_by_free_slots(struct finish_placer *finish,
				     const struct cf_place_agent *agents,
				     size_t n, const struct cf_place_task *task)
{
	double limit = finish_limit_us(finish, agents, n, task);
	uint32_t chosen = CF_PLACE_NONE;
	double weight = 0;
	bool free = false;

	for (size_t i = 0; i < n; i++) {
		const struct cf_place_agent *agent =
			&agents[finish->candidates[i]];
		uint32_t slots = slots_free(agent);

		if (finish->finish_us[i] > limit || !can_bind(agent, task) ||
		    (free && slots == 0))
			continue;
		/* Drop the agents without a free slot that were seen so far. */
		if (!free && slots > 0) {
			free = true;
			weight = 0;
		}
		weight += MAX(slots, 1U);
		if (g_rand_double(finish->random) * weight <= MAX(slots, 1U))
			chosen = finish->candidates[i];
	}
	return chosen;
}

static uint32_t choose(struct finish_placer *finish,
		       const struct cf_place_agent *agents, size_t n_agents,
		       const struct cf_place_task *task)
{
	uint32_t chosen = CF_PLACE_NONE;
	size_t n;

	if (n_agents > FULL_SCAN_AGENTS_MAX) {
		n = add_sampled_candidates(finish, agents, n_agents, task);
		chosen = choose_by_free_slots(finish, agents, n, task);
	}
	if (chosen == CF_PLACE_NONE) {
		n = add_all_candidates(finish, agents, n_agents, task);
		chosen = choose_by_free_slots(finish, agents, n, task);
	}
	return chosen;
}

static gint compare_longest_first(gconstpointer a, gconstpointer b,
				  gpointer data)
{
	const struct cf_place_task *tasks = data;
	size_t left = *(const size_t *)a;
	size_t right = *(const size_t *)b;

	if (tasks[left].predicted_ms != tasks[right].predicted_ms)
		return tasks[left].predicted_ms > tasks[right].predicted_ms ? -1
									    : 1;
	return left < right ? -1 : left > right;
}

/* Tells whether both tasks get the same decision if nothing was placed in
 * between. */
static bool same_needs(const struct cf_place_task *task,
		       const struct cf_place_task *other)
{
	return other != NULL && task->predicted_ms == other->predicted_ms &&
	       task->cpu_milli == other->cpu_milli &&
	       task->memory_mb == other->memory_mb &&
	       task->accelerators == other->accelerators;
}

static size_t finish_place(struct cf_placer *placer,
			   struct cf_place_agent *agents, size_t n_agents,
			   struct cf_place_task *tasks, size_t n_tasks)
{
	struct finish_placer *finish = (struct finish_placer *)placer;
	size_t *order = g_new(size_t, n_tasks + 1);
	/* The last task that found no agent. */
	const struct cf_place_task *unplaced = NULL;
	size_t placed = 0;

	reserve_candidates(finish, n_agents);
	for (size_t i = 0; i < n_tasks; i++)
		order[i] = i;
	g_qsort_with_data(order, (gint)n_tasks, sizeof(*order),
			  compare_longest_first, tasks);
	for (size_t i = 0; i < n_tasks; i++) {
		struct cf_place_task *task = &tasks[order[i]];
		uint32_t agent = CF_PLACE_NONE;

		if (!same_needs(task, unplaced))
			agent = choose(finish, agents, n_agents, task);
		task->agent = CF_PLACE_NONE;
		if (agent == CF_PLACE_NONE) {
			unplaced = task;
			continue;
		}
		place_assign(agents, agent, task);
		unplaced = NULL;
		placed++;
	}
	g_free(order);
	return placed;
}

static void finish_destroy(struct cf_placer *placer)
{
	struct finish_placer *finish = (struct finish_placer *)placer;

	g_rand_free(finish->random);
	g_free(finish->candidates);
	g_free(finish->finish_us);
	g_free(finish);
}

static const struct cf_placer_ops finish_ops = {
	.name = "finish",
	.place = finish_place,
	.destroy = finish_destroy,
};

struct cf_placer *place_finish_create(uint64_t seed)
{
	struct finish_placer *finish = g_new0(struct finish_placer, 1);

	finish->placer.ops = &finish_ops;
	finish->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
	return &finish->placer;
}

/* ---- Public interface ----------------------------------------------- */

struct cf_placer *cf_placer_create(const char *policy, uint64_t seed)
{
	if (strcmp(policy, "finish") == 0)
		return place_finish_create(seed);
	if (strcmp(policy, "random") == 0)
		return place_random_create(seed);
	if (strcmp(policy, "round-robin") == 0)
		return place_round_robin_create();
	if (strcmp(policy, "least") == 0)
		return place_least_create(seed);
	return NULL;
}

void cf_placer_destroy(struct cf_placer *placer)
{
	if (placer != NULL)
		placer->ops->destroy(placer);
}

size_t cf_placer_place(struct cf_placer *placer, struct cf_place_agent *agents,
		       size_t n_agents, struct cf_place_task *tasks,
		       size_t n_tasks)
{
	return placer->ops->place(placer, agents, n_agents, tasks, n_tasks);
}
