/*
 * guard_decide: keeps a worker's tasks within the capacity that the
 * sister firm leaves free, and within the worker's capacity when declared
 * sizes prove wrong.
 *
 * Processors can be shared, so tasks are throttled first, and suspended or
 * stopped only if the excess lasts. Memory can't be shared, so a task is
 * checkpointed or stopped at once. After usage has been clearly lower for a
 * while, restrictions are lifted one task at a time.
 */
#include "lib/guard_state.h"

/* Fraction of capacity above which tasks are throttled. */
static const double CPU_HIGH = 1.0;
/* Fraction of capacity above which tasks are suspended. */
static const double MEMORY_HIGH = 0.95;
/* Fraction of capacity below which restrictions are lifted. */
static const double USAGE_LOW = 0.85;
/* Usage must be low for this time plus the lag. */
static const int64_t RESTORE_DELAY_MS = 2000;
/* Tasks are suspended if an excess outlasts this time plus the lag. */
static const int64_t THROTTLE_GRACE_MS = 2000;
/* A task whose checkpoint isn't confirmed within this time is stopped. */
static const int64_t CHECKPOINT_TIMEOUT_MS = 5000;
/* How long the record of an ended task is kept. */
static const int64_t ENDED_RETENTION_MS = 1200000;
/* A limit is at least 1/4 of the declared processors. */
static const uint32_t THROTTLE_DIVISOR = 4;
static const uint32_t THROTTLE_MIN_MILLI = 100;

/* Returns how much usage exceeds a fraction of the capacity; above 0 means
 * excess. A capacity of 0 is not limited. */
static double excess(uint32_t capacity, double used, double part)
{
	return capacity > 0 ? used - capacity * part : 0;
}

/* ---- Requests ------------------------------------------------------- */

static void throttle(struct cf_guard *guard, struct guard_task *guard_task,
		     uint32_t limit_milli, int64_t now_ms)
{
	const struct cf_guard_ops *ops = guard->worker->ops;

	if (!ops->throttle(guard->worker, &guard_task->task, limit_milli))
		return;
	guard->requests++;
	guard_task->limit_milli = limit_milli;
	guard_enter(guard_task,
		    limit_milli > 0 ? CF_GUARD_THROTTLED : CF_GUARD_RUNNING,
		    now_ms);
}

static void stop(struct cf_guard *guard, struct guard_task *guard_task,
		 int64_t now_ms)
{
	if (!guard->worker->ops->stop(guard->worker, &guard_task->task))
		return;
	guard->requests++;
	guard_leave(guard, guard_task, CF_GUARD_STOPPED, now_ms);
}

/* Frees the task's resources, by a checkpoint if it supports one, else by
 * stopping it. */
static void suspend_or_stop(struct cf_guard *guard,
			    struct guard_task *guard_task, int64_t now_ms)
{
	const struct cf_guard_ops *ops = guard->worker->ops;

	if (!guard_task->task.can_checkpoint ||
	    !ops->checkpoint(guard->worker, &guard_task->task)) {
		stop(guard, guard_task, now_ms);
		return;
	}
	guard->requests++;
	guard_enter(guard_task, CF_GUARD_CHECKPOINTING, now_ms);
}

static void resume(struct cf_guard *guard, struct guard_task *guard_task,
		   int64_t now_ms)
{
	if (!guard->worker->ops->resume(guard->worker, &guard_task->task))
		return;
	guard->requests++;
	guard_task->limit_milli = 0;
	guard_enter(guard_task, CF_GUARD_RUNNING, now_ms);
}

/* ---- Reducing usage ------------------------------------------------- */

/* How far the task exceeds its declared size. */
static double beyond_declared(const struct guard_task *guard_task, bool memory)
{
	if (memory)
		return (double)guard_expected_memory(guard_task) -
		       guard_task->task.memory_mb;
	return (double)guard_expected_cpu(guard_task) -
	       guard_task->task.cpu_milli;
}

/* Selects the task to restrict first: the one that exceeds its declared size
 * most, else the one that started last, because it loses the least work.
 * Returns NULL if there is none. */
static struct guard_task *select_victim(const struct cf_guard *guard,
					bool memory)
{
	struct guard_task *victim = NULL;

	for (guint i = 0; i < guard->active->len; i++) {
		struct guard_task *guard_task = guard->active->pdata[i];
		double beyond = MAX(beyond_declared(guard_task, memory), 0.0);
		double victim_beyond =
			victim != NULL
				? MAX(beyond_declared(victim, memory), 0.0)
				: 0;

		if (guard_is_suspended(guard_task))
			continue;
		if (victim == NULL || beyond >= victim_beyond)
			victim = guard_task;
	}
	return victim;
}

static uint32_t min_limit_milli(const struct guard_task *guard_task)
{
	return MAX(guard_task->task.cpu_milli / THROTTLE_DIVISOR,
		   THROTTLE_MIN_MILLI);
}

/* While there is an excess, throttles each task that is above its declared
 * size, or above its least limit if declared is false, down to that value. */
static void throttle_to(struct cf_guard *guard, bool declared, int64_t now_ms)
{
	for (guint i = guard->active->len; i-- > 0;) {
		struct guard_task *guard_task = guard->active->pdata[i];
		double over = excess(guard->capacity.cpu_milli,
				     guard_cpu_used(guard), CPU_HIGH);
		uint32_t expected = guard_expected_cpu(guard_task);
		uint32_t floor = declared ? MAX(guard_task->task.cpu_milli,
						THROTTLE_MIN_MILLI)
					  : min_limit_milli(guard_task);

		if (over <= 0)
			return;
		if (guard_is_suspended(guard_task) || expected <= floor)
			continue;
		throttle(guard, guard_task,
			 (uint32_t)MAX(expected - over, (double)floor), now_ms);
	}
}

static void reduce_cpu(struct cf_guard *guard, int64_t now_ms)
{
	uint32_t capacity = guard->capacity.cpu_milli;
	guint actions_max = guard->active->len;

	if (excess(capacity, guard_cpu_used(guard), CPU_HIGH) <= 0) {
		guard->cpu_over_since_ms = INT64_MAX;
		return;
	}
	guard->cpu_over_since_ms = MIN(guard->cpu_over_since_ms, now_ms);
	throttle_to(guard, true, now_ms);
	throttle_to(guard, false, now_ms);
	if (now_ms - guard->cpu_over_since_ms <
	    THROTTLE_GRACE_MS + guard->lag_ms)
		return;
	while (actions_max-- > 0 &&
	       excess(capacity, guard_cpu_used(guard), CPU_HIGH) > 0) {
		struct guard_task *guard_task = select_victim(guard, false);

		if (guard_task == NULL)
			return;
		suspend_or_stop(guard, guard_task, now_ms);
	}
}

static void reduce_memory(struct cf_guard *guard, int64_t now_ms)
{
	uint32_t capacity = guard->capacity.memory_mb;
	guint actions_max = guard->active->len;

	while (actions_max-- > 0 &&
	       excess(capacity, guard_memory_used(guard), MEMORY_HIGH) > 0) {
		struct guard_task *guard_task = select_victim(guard, true);

		if (guard_task == NULL)
			return;
		suspend_or_stop(guard, guard_task, now_ms);
	}
}

/* Stops tasks whose checkpoint isn't confirmed, as they still hold their
 * memory. */
static void stop_unconfirmed_checkpoints(struct cf_guard *guard, int64_t now_ms)
{
	for (guint i = guard->active->len; i-- > 0;) {
		struct guard_task *guard_task = guard->active->pdata[i];

		if (guard_task->state == CF_GUARD_CHECKPOINTING &&
		    now_ms >= guard_task->changed_ms + CHECKPOINT_TIMEOUT_MS)
			stop(guard, guard_task, now_ms);
	}
}

/* ---- Lifting restrictions ------------------------------------------- */

static bool fits_below_low(const struct cf_guard *guard, double more_cpu,
			   double more_memory)
{
	return excess(guard->capacity.cpu_milli,
		      guard_cpu_used(guard) + more_cpu, USAGE_LOW) <= 0 &&
	       excess(guard->capacity.memory_mb,
		      guard_memory_used(guard) + more_memory, USAGE_LOW) <= 0;
}

/* Lifts the restrictions of one task: limits first, then the oldest
 * checkpoint. Returns false if no restricted task fits. */
static bool restore_one(struct cf_guard *guard, int64_t now_ms)
{
	for (guint i = 0; i < guard->active->len; i++) {
		struct guard_task *guard_task = guard->active->pdata[i];
		double more = (double)guard_task->unlimited_cpu_milli -
			      guard_expected_cpu(guard_task);

		if (guard_task->state != CF_GUARD_THROTTLED ||
		    !fits_below_low(guard, MAX(more, 0.0), 0))
			continue;
		throttle(guard, guard_task, 0, now_ms);
		return true;
	}
	for (guint i = 0; i < guard->active->len; i++) {
		struct guard_task *guard_task = guard->active->pdata[i];

		if (guard_task->state != CF_GUARD_CHECKPOINTED ||
		    !fits_below_low(guard, guard_task->unlimited_cpu_milli,
				    guard_task->peak_memory_mb))
			continue;
		resume(guard, guard_task, now_ms);
		return true;
	}
	return false;
}

static void restore_when_low(struct cf_guard *guard, int64_t now_ms)
{
	if (!fits_below_low(guard, 0, 0)) {
		guard->low_since_ms = INT64_MAX;
		return;
	}
	guard->low_since_ms = MIN(guard->low_since_ms, now_ms);
	if (now_ms - guard->low_since_ms < RESTORE_DELAY_MS + guard->lag_ms)
		return;
	/* Wait for its effect before lifting the next. */
	if (restore_one(guard, now_ms))
		guard->low_since_ms = now_ms;
}

/* ---- Time ----------------------------------------------------------- */

static gboolean is_expired(gpointer key, gpointer value, gpointer data)
{
	const struct guard_task *guard_task = value;
	const int64_t *now_ms = data;

	(void)key;
	return !guard_is_active(guard_task) &&
	       *now_ms - guard_task->ended_ms > ENDED_RETENTION_MS;
}

size_t cf_guard_tick(struct cf_guard *guard, int64_t now_ms)
{
	guard->requests = 0;
	stop_unconfirmed_checkpoints(guard, now_ms);
	reduce_memory(guard, now_ms);
	reduce_cpu(guard, now_ms);
	if (guard->requests == 0)
		restore_when_low(guard, now_ms);
	else
		guard->low_since_ms = INT64_MAX;
	if (now_ms - guard->purged_ms >= 1000) {
		g_hash_table_foreach_remove(guard->tasks, is_expired, &now_ms);
		guard->purged_ms = now_ms;
	}
	return guard->requests;
}
