/*
 * guard: the tasks of a guarded worker, what they use, and what was
 * asked of them; guard_decide.c decides.
 *
 * Reports come with a lag: what was measured before a request took
 * effect says nothing about it. Until a later measurement comes, the
 * effect asked for is taken as given, so the same excess is never
 * answered twice.
 */
#include "lib/guard_state.h"

#include <string.h>

static const int64_t EFFECT_MS = 200; /* from a request to its effect */

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

static struct guarded *find(const struct cf_guard *guard,
			    const struct cf_key *key, uint32_t index)
{
	struct cf_guard_task task = { .key = *key, .index = index };

	return g_hash_table_lookup(guard->tasks, &task);
}

bool guard_is_active(const struct guarded *guarded)
{
	return guarded->state != CF_GUARD_STOPPED &&
	       guarded->state != CF_GUARD_ENDED;
}

bool guard_is_away(const struct guarded *guarded)
{
	return guarded->state == CF_GUARD_CHECKPOINTING ||
	       guarded->state == CF_GUARD_CHECKPOINTED;
}

void guard_enter(struct guarded *guarded, enum cf_guard_state state,
		 int64_t now_ms)
{
	guarded->state = state;
	guarded->changed_ms = now_ms;
}

void guard_leave(struct cf_guard *guard, struct guarded *guarded,
		 enum cf_guard_state state, int64_t now_ms)
{
	guard_enter(guarded, state, now_ms);
	guarded->ended_ms = now_ms;
	g_ptr_array_remove(guard->active, guarded);
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
	guard->others.measured_ms = INT64_MIN;
	guard->cpu_over_ms = INT64_MAX;
	guard->low_ms = INT64_MAX;
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
	struct guarded *guarded;

	if (g_hash_table_contains(guard->tasks, task))
		return false;
	guarded = g_new0(struct guarded, 1);
	guarded->task = *task;
	guarded->number = ++guard->started;
	guarded->full_milli = task->cpu_milli;
	guarded->full_mb = task->memory_mb;
	guarded->usage.measured_ms = INT64_MIN;
	guard_enter(guarded, CF_GUARD_RUNNING, now_ms);
	g_hash_table_insert(guard->tasks, guarded, guarded);
	g_ptr_array_add(guard->active, guarded);
	return true;
}

bool cf_guard_end(struct cf_guard *guard, const struct cf_key *key,
		  uint32_t index, int64_t now_ms)
{
	struct guarded *guarded = find(guard, key, index);

	if (guarded == NULL || !guard_is_active(guarded))
		return false;
	guard_leave(guard, guarded, CF_GUARD_ENDED, now_ms);
	return true;
}

bool cf_guard_checkpointed(struct cf_guard *guard, const struct cf_key *key,
			   uint32_t index, bool ok, int64_t now_ms)
{
	struct guarded *guarded = find(guard, key, index);

	if (guarded == NULL || guarded->state != CF_GUARD_CHECKPOINTING)
		return false;
	if (ok) {
		guard_enter(guarded, CF_GUARD_CHECKPOINTED, now_ms);
		return true;
	}
	guarded->task.can_checkpoint = false;
	guarded->limit_milli = 0;
	guard_enter(guarded, CF_GUARD_RUNNING, now_ms);
	return true;
}

enum cf_guard_state cf_guard_state(const struct cf_guard *guard,
				   const struct cf_key *key, uint32_t index)
{
	const struct guarded *guarded = find(guard, key, index);

	return guarded != NULL ? guarded->state : CF_GUARD_UNKNOWN;
}

/* ---- Usage ---------------------------------------------------------- */

bool cf_guard_report(struct cf_guard *guard, const struct cf_key *key,
		     uint32_t index, const struct cf_guard_usage *usage)
{
	struct guarded *guarded = find(guard, key, index);

	if (guarded == NULL || !guard_is_active(guarded) ||
	    usage->measured_ms <= guarded->usage.measured_ms)
		return false;
	guarded->usage = *usage;
	if (!guard_is_away(guarded))
		guarded->full_mb = MAX(guarded->full_mb, usage->memory_mb);
	if (guarded->state == CF_GUARD_RUNNING &&
	    usage->measured_ms >= guarded->changed_ms + EFFECT_MS)
		guarded->full_milli = usage->cpu_milli;
	return true;
}

bool cf_guard_report_others(struct cf_guard *guard,
			    const struct cf_guard_usage *usage)
{
	if (usage->measured_ms <= guard->others.measured_ms)
		return false;
	guard->others = *usage;
	return true;
}

/* Was it measured after the last request about the task took effect? */
static bool is_known(const struct guarded *guarded)
{
	return guarded->usage.measured_ms >= guarded->changed_ms + EFFECT_MS;
}

/* Processors that a task uses, or will when the last request is in
 * effect. */
uint32_t guard_expected_cpu(const struct guarded *guarded)
{
	if (guard_is_away(guarded))
		return 0;
	if (is_known(guarded))
		return guarded->usage.cpu_milli;
	if (guarded->state == CF_GUARD_THROTTLED)
		return guarded->limit_milli;
	return guarded->full_milli;
}

uint32_t guard_expected_memory(const struct guarded *guarded)
{
	if (guard_is_away(guarded))
		return 0;
	if (is_known(guarded))
		return guarded->usage.memory_mb;
	return guarded->full_mb;
}

double guard_cpu_used(const struct cf_guard *guard)
{
	double used = guard->others.cpu_milli;

	for (guint i = 0; i < guard->active->len; i++)
		used += guard_expected_cpu(guard->active->pdata[i]);
	return used;
}

double guard_memory_used(const struct cf_guard *guard)
{
	double used = guard->others.memory_mb;

	for (guint i = 0; i < guard->active->len; i++)
		used += guard_expected_memory(guard->active->pdata[i]);
	return used;
}

void cf_guard_get_room(const struct cf_guard *guard, struct cf_capacity *room)
{
	double cpu = guard->others.cpu_milli;
	double memory = guard->others.memory_mb;

	*room = guard->capacity;
	for (guint i = 0; i < guard->active->len; i++) {
		const struct guarded *guarded = guard->active->pdata[i];

		/* room to resume, and to lift a limit, is kept */
		cpu += MAX(guarded->full_milli, guarded->task.cpu_milli);
		memory += MAX(guard_expected_memory(guarded),
			      guarded->task.memory_mb);
	}
	room->cpu_milli = (uint32_t)MAX(room->cpu_milli - cpu, 0.0);
	room->memory_mb = (uint32_t)MAX(room->memory_mb - memory, 0.0);
	room->slots -= MIN(room->slots, guard->active->len);
}
