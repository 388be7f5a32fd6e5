/*
 * guard: keeps the tasks of a guarded worker, their usage and the requests
 * made about them; guard_decide.c makes the decisions.
 *
 * Usage reports arrive with a lag. A measurement taken before a request took
 * effect doesn't show that effect. Until a later measurement arrives,
 * the requested effect is assumed, so that the guard never reacts twice to
 * the same excess.
 */
#include "lib/guard_state.h"

#include <string.h>

/* Time from a request to its effect. */
static const int64_t REQUEST_EFFECT_MS = 200;

/* ---- Tasks ---------------------------------------------------------- */

static guint task_hash(gconstpointer data)
{
	const struct cf_guard_task *task = data;
	guint hash = task->index;

	for (size_t i = 0; i < CF_KEY_SIZE; i++)
		hash = hash * 31 + task->key.bytes[i];
	return hash;
}

static gboolean task_equal(gconstpointer a, gconstpointer b)
{
	const struct cf_guard_task *left = a;
	const struct cf_guard_task *right = b;

	return left->index == right->index &&
	       memcmp(&left->key, &right->key, sizeof(left->key)) == 0;
}

static struct guard_task *find(const struct cf_guard *guard,
			       const struct cf_key *key, uint32_t index)
{
	struct cf_guard_task task = { .key = *key, .index = index };

	return g_hash_table_lookup(guard->tasks, &task);
}

bool guard_is_active(const struct guard_task *guard_task)
{
	return guard_task->state != CF_GUARD_STOPPED &&
	       guard_task->state != CF_GUARD_ENDED;
}

bool guard_is_suspended(const struct guard_task *guard_task)
{
	return guard_task->state == CF_GUARD_CHECKPOINTING ||
	       guard_task->state == CF_GUARD_CHECKPOINTED;
}

void guard_enter(struct guard_task *guard_task, enum cf_guard_state state,
		 int64_t now_ms)
{
	guard_task->state = state;
	guard_task->changed_ms = now_ms;
}

void guard_leave(struct cf_guard *guard, struct guard_task *guard_task,
		 enum cf_guard_state state, int64_t now_ms)
{
	guard_enter(guard_task, state, now_ms);
	guard_task->ended_ms = now_ms;
	g_ptr_array_remove(guard->active, guard_task);
}

struct cf_guard *cf_guard_create(struct cf_guard_worker *worker,
				 const struct cf_capacity *capacity,
				 int64_t lag_ms)
{
	struct cf_guard *guard = g_new0(struct cf_guard, 1);

	guard->worker = worker;
	guard->capacity = *capacity;
	guard->lag_ms = lag_ms;
	guard->tasks =
		g_hash_table_new_full(task_hash, task_equal, NULL, g_free);
	guard->active = g_ptr_array_new();
	guard->other_usage.measured_ms = INT64_MIN;
	guard->cpu_over_since_ms = INT64_MAX;
	guard->low_since_ms = INT64_MAX;
	return guard;
}

void cf_guard_destroy(struct cf_guard *guard)
{
	if (guard == NULL)
		return;
	g_ptr_array_free(guard->active, TRUE);
	g_hash_table_destroy(guard->tasks);
	g_free(guard);
}

bool cf_guard_start(struct cf_guard *guard, const struct cf_guard_task *task,
		    int64_t now_ms)
{
	struct guard_task *guard_task;

	if (g_hash_table_contains(guard->tasks, task))
		return false;
	guard_task = g_new0(struct guard_task, 1);
	guard_task->task = *task;
	guard_task->number = ++guard->started;
	guard_task->unlimited_cpu_milli = task->cpu_milli;
	guard_task->peak_memory_mb = task->memory_mb;
	guard_task->usage.measured_ms = INT64_MIN;
	guard_enter(guard_task, CF_GUARD_RUNNING, now_ms);
	g_hash_table_insert(guard->tasks, guard_task, guard_task);
	g_ptr_array_add(guard->active, guard_task);
	return true;
}

bool cf_guard_end(struct cf_guard *guard, const struct cf_key *key,
		  uint32_t index, int64_t now_ms)
{
	struct guard_task *guard_task = find(guard, key, index);

	if (guard_task == NULL || !guard_is_active(guard_task))
		return false;
	guard_leave(guard, guard_task, CF_GUARD_ENDED, now_ms);
	return true;
}

bool cf_guard_checkpointed(struct cf_guard *guard, const struct cf_key *key,
			   uint32_t index, bool ok, int64_t now_ms)
{
	struct guard_task *guard_task = find(guard, key, index);

	if (guard_task == NULL || guard_task->state != CF_GUARD_CHECKPOINTING)
		return false;
	if (ok) {
		guard_enter(guard_task, CF_GUARD_CHECKPOINTED, now_ms);
		return true;
	}
	guard_task->task.can_checkpoint = false;
	guard_task->limit_milli = 0;
	guard_enter(guard_task, CF_GUARD_RUNNING, now_ms);
	return true;
}

enum cf_guard_state cf_guard_state(const struct cf_guard *guard,
				   const struct cf_key *key, uint32_t index)
{
	const struct guard_task *guard_task = find(guard, key, index);

	return guard_task != NULL ? guard_task->state : CF_GUARD_UNKNOWN;
}

/* ---- Usage ---------------------------------------------------------- */

bool cf_guard_report(struct cf_guard *guard, const struct cf_key *key,
		     uint32_t index, const struct cf_guard_usage *usage)
{
	struct guard_task *guard_task = find(guard, key, index);

	if (guard_task == NULL || !guard_is_active(guard_task) ||
	    usage->measured_ms <= guard_task->usage.measured_ms)
		return false;
	guard_task->usage = *usage;
	if (!guard_is_suspended(guard_task))
		guard_task->peak_memory_mb =
			MAX(guard_task->peak_memory_mb, usage->memory_mb);
	if (guard_task->state == CF_GUARD_RUNNING &&
	    usage->measured_ms >= guard_task->changed_ms + REQUEST_EFFECT_MS)
		guard_task->unlimited_cpu_milli = usage->cpu_milli;
	return true;
}

bool cf_guard_report_other_usage(struct cf_guard *guard,
				 const struct cf_guard_usage *usage)
{
	if (usage->measured_ms <= guard->other_usage.measured_ms)
		return false;
	guard->other_usage = *usage;
	return true;
}

/* Tells whether the usage was measured after the last request about the task
 * took effect. */
static bool is_measured_since_change(const struct guard_task *guard_task)
{
	return guard_task->usage.measured_ms >=
	       guard_task->changed_ms + REQUEST_EFFECT_MS;
}

/* Processors that the task uses, or will use once the last request has taken
 * effect. */
uint32_t guard_expected_cpu(const struct guard_task *guard_task)
{
	if (guard_is_suspended(guard_task))
		return 0;
	if (is_measured_since_change(guard_task))
		return guard_task->usage.cpu_milli;
	if (guard_task->state == CF_GUARD_THROTTLED)
		return guard_task->limit_milli;
	return guard_task->unlimited_cpu_milli;
}

uint32_t guard_expected_memory(const struct guard_task *guard_task)
{
	if (guard_is_suspended(guard_task))
		return 0;
	if (is_measured_since_change(guard_task))
		return guard_task->usage.memory_mb;
	return guard_task->peak_memory_mb;
}

double guard_cpu_used(const struct cf_guard *guard)
{
	double used = guard->other_usage.cpu_milli;

	for (guint i = 0; i < guard->active->len; i++)
		used += guard_expected_cpu(guard->active->pdata[i]);
	return used;
}

double guard_memory_used(const struct cf_guard *guard)
{
	double used = guard->other_usage.memory_mb;

	for (guint i = 0; i < guard->active->len; i++)
		used += guard_expected_memory(guard->active->pdata[i]);
	return used;
}

void cf_guard_get_available(const struct cf_guard *guard,
			    struct cf_capacity *available)
{
	double cpu = guard->other_usage.cpu_milli;
	double memory = guard->other_usage.memory_mb;

	*available = guard->capacity;
	for (guint i = 0; i < guard->active->len; i++) {
		const struct guard_task *guard_task = guard->active->pdata[i];

		/* Keep capacity for resuming the task and for lifting its
		 * limit. */
		cpu += MAX(guard_task->unlimited_cpu_milli,
			   guard_task->task.cpu_milli);
		memory += MAX(guard_expected_memory(guard_task),
			      guard_task->task.memory_mb);
	}
	available->cpu_milli = (uint32_t)MAX(available->cpu_milli - cpu, 0.0);
	available->memory_mb =
		(uint32_t)MAX(available->memory_mb - memory, 0.0);
	available->slots -= MIN(available->slots, guard->active->len);
}
