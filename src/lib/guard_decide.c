/*
 * guard_decide: keeps a worker's tasks within what the sister firm
 * leaves, and within what the worker has when declared sizes prove
 * wrong.
 *
 * Processors can be shared, so the answer there is to throttle, and
 * only an excess that lasts leads further; memory can't, so a task is
 * checkpointed, or stopped, at once. What was taken is given back one
 * task at a time, after usage was clearly lower for a while.
 */
#include "lib/guard_state.h"

static const double CPU_HIGH = 1.0; /* of capacity: act above */
static const double MEMORY_HIGH = 0.95;
static const double LOW = 0.85; /* of capacity: give back below */
static const int64_t RELAX_MS = 2000; /* low for so long and the lag */
static const int64_t LASTING_MS = 2000; /* throttling was not enough */
static const int64_t CHECKPOINT_MS = 5000; /* then it is given up */
static const int64_t FORGET_MS = 1200000; /* after a task ended */
static const uint32_t THROTTLE_PART = 4; /* at least 1/4 of declared */
static const uint32_t THROTTLE_LEAST_MILLI = 100;

/* Above 0 if processors or memory are used beyond a part of capacity; a
 * capacity of 0 is not counted. */
static double excess(uint32_t capacity, double used, double part)
{
	return capacity > 0 ? used - capacity * part : 0;
}

/* ---- Requests ------------------------------------------------------- */

static void throttle(struct cf_guard *guard, struct guarded *guarded,
		     uint32_t limit_milli, int64_t now_ms)
{
	const struct cf_guard_ops *ops = guard->worker->ops;

	if (!ops->throttle(guard->worker, &guarded->task, limit_milli))
		return;
	guard->requests++;
	guarded->limit_milli = limit_milli;
	guard_enter(guarded,
		    limit_milli > 0 ? CF_GUARD_THROTTLED : CF_GUARD_RUNNING,
		    now_ms);
}

static void stop(struct cf_guard *guard, struct guarded *guarded,
		 int64_t now_ms)
{
	if (!guard->worker->ops->stop(guard->worker, &guarded->task))
		return;
	guard->requests++;
	guard_leave(guard, guarded, CF_GUARD_STOPPED, now_ms);
}

/* Frees what the task holds: by a checkpoint if it can make one. */
static void put_away(struct cf_guard *guard, struct guarded *guarded,
		     int64_t now_ms)
{
	const struct cf_guard_ops *ops = guard->worker->ops;

	if (!guarded->task.can_checkpoint ||
	    !ops->checkpoint(guard->worker, &guarded->task)) {
		stop(guard, guarded, now_ms);
		return;
	}
	guard->requests++;
	guard_enter(guarded, CF_GUARD_CHECKPOINTING, now_ms);
}

static void resume(struct cf_guard *guard, struct guarded *guarded,
		   int64_t now_ms)
{
	if (!guard->worker->ops->resume(guard->worker, &guarded->task))
		return;
	guard->requests++;
	guarded->limit_milli = 0;
	guard_enter(guarded, CF_GUARD_RUNNING, now_ms);
}

/* ---- Taking --------------------------------------------------------- */

/* How far a task is beyond what was declared. */
static double beyond_declared(const struct guarded *guarded, bool memory)
{
	if (memory)
		return (double)guard_expected_memory(guarded) -
		       guarded->task.memory_mb;
	return (double)guard_expected_cpu(guarded) - guarded->task.cpu_milli;
}

/* The task to take from first: the one most beyond what it declared,
 * else the one that started last, as it loses least. NULL: none. */
static struct guarded *pick(const struct cf_guard *guard, bool memory)
{
	struct guarded *picked = NULL;

	for (guint i = 0; i < guard->active->len; i++) {
		struct guarded *guarded = guard->active->pdata[i];
		double beyond = MAX(beyond_declared(guarded, memory), 0.0);
		double most =
			picked != NULL
				? MAX(beyond_declared(picked, memory), 0.0)
				: 0;

		if (guard_is_away(guarded))
			continue;
		if (picked == NULL || beyond >= most)
			picked = guarded;
	}
	return picked;
}

static uint32_t least_limit(const struct guarded *guarded)
{
	return MAX(guarded->task.cpu_milli / THROTTLE_PART,
		   THROTTLE_LEAST_MILLI);
}

/* Throttles each task that is beyond a limit down to it, as long as
 * there is an excess. */
static void throttle_to(struct cf_guard *guard, bool declared, int64_t now_ms)
{
	for (guint i = guard->active->len; i-- > 0;) {
		struct guarded *guarded = guard->active->pdata[i];
		double over = excess(guard->capacity.cpu_milli,
				     guard_cpu_used(guard), CPU_HIGH);
		uint32_t expected = guard_expected_cpu(guarded);
		uint32_t floor = declared ? MAX(guarded->task.cpu_milli,
						THROTTLE_LEAST_MILLI)
					  : least_limit(guarded);

		if (over <= 0)
			return;
		if (guard_is_away(guarded) || expected <= floor)
			continue;
		throttle(guard, guarded,
			 (uint32_t)MAX(expected - over, (double)floor), now_ms);
	}
}

static void take_cpu(struct cf_guard *guard, int64_t now_ms)
{
	uint32_t capacity = guard->capacity.cpu_milli;
	guint most = guard->active->len;

	if (excess(capacity, guard_cpu_used(guard), CPU_HIGH) <= 0) {
		guard->cpu_over_ms = INT64_MAX;
		return;
	}
	guard->cpu_over_ms = MIN(guard->cpu_over_ms, now_ms);
	throttle_to(guard, true, now_ms);
	throttle_to(guard, false, now_ms);
	if (now_ms - guard->cpu_over_ms < LASTING_MS + guard->lag_ms)
		return;
	while (most-- > 0 &&
	       excess(capacity, guard_cpu_used(guard), CPU_HIGH) > 0) {
		struct guarded *guarded = pick(guard, false);

		if (guarded == NULL)
			return;
		put_away(guard, guarded, now_ms);
	}
}

static void take_memory(struct cf_guard *guard, int64_t now_ms)
{
	uint32_t capacity = guard->capacity.memory_mb;
	guint most = guard->active->len;

	while (most-- > 0 &&
	       excess(capacity, guard_memory_used(guard), MEMORY_HIGH) > 0) {
		struct guarded *guarded = pick(guard, true);

		if (guarded == NULL)
			return;
		put_away(guard, guarded, now_ms);
	}
}

/* A checkpoint that isn't confirmed still holds its memory. */
static void give_up_checkpoints(struct cf_guard *guard, int64_t now_ms)
{
	for (guint i = guard->active->len; i-- > 0;) {
		struct guarded *guarded = guard->active->pdata[i];

		if (guarded->state == CF_GUARD_CHECKPOINTING &&
		    now_ms >= guarded->changed_ms + CHECKPOINT_MS)
			stop(guard, guarded, now_ms);
	}
}

/* ---- Giving back ---------------------------------------------------- */

static bool fits_low(const struct cf_guard *guard, double more_cpu,
		     double more_memory)
{
	return excess(guard->capacity.cpu_milli,
		      guard_cpu_used(guard) + more_cpu, LOW) <= 0 &&
	       excess(guard->capacity.memory_mb,
		      guard_memory_used(guard) + more_memory, LOW) <= 0;
}

/* Gives one task back what it lost: limits first, then the oldest
 * checkpoint. False: there is nothing that fits. */
static bool give_back(struct cf_guard *guard, int64_t now_ms)
{
	for (guint i = 0; i < guard->active->len; i++) {
		struct guarded *guarded = guard->active->pdata[i];
		double more = (double)guarded->full_milli -
			      guard_expected_cpu(guarded);

		if (guarded->state != CF_GUARD_THROTTLED ||
		    !fits_low(guard, MAX(more, 0.0), 0))
			continue;
		throttle(guard, guarded, 0, now_ms);
		return true;
	}
	for (guint i = 0; i < guard->active->len; i++) {
		struct guarded *guarded = guard->active->pdata[i];

		if (guarded->state != CF_GUARD_CHECKPOINTED ||
		    !fits_low(guard, guarded->full_milli, guarded->full_mb))
			continue;
		resume(guard, guarded, now_ms);
		return true;
	}
	return false;
}

static void relax(struct cf_guard *guard, int64_t now_ms)
{
	if (!fits_low(guard, 0, 0)) {
		guard->low_ms = INT64_MAX;
		return;
	}
	guard->low_ms = MIN(guard->low_ms, now_ms);
	if (now_ms - guard->low_ms < RELAX_MS + guard->lag_ms)
		return;
	if (give_back(guard, now_ms)) /* its effect is to be seen first */
		guard->low_ms = now_ms;
}

/* ---- Time ----------------------------------------------------------- */

static gboolean is_forgotten(gpointer key, gpointer value, gpointer data)
{
	const struct guarded *guarded = value;
	const int64_t *now_ms = data;

	(void)key;
	return !guard_is_active(guarded) &&
	       *now_ms - guarded->ended_ms > FORGET_MS;
}

size_t cf_guard_tick(struct cf_guard *guard, int64_t now_ms)
{
	guard->requests = 0;
	give_up_checkpoints(guard, now_ms);
	take_memory(guard, now_ms);
	take_cpu(guard, now_ms);
	if (guard->requests == 0)
		relax(guard, now_ms);
	else
		guard->low_ms = INT64_MAX;
	if (now_ms - guard->forgot_ms >= 1000) {
		g_hash_table_foreach_remove(guard->tasks, is_forgotten,
					    &now_ms);
		guard->forgot_ms = now_ms;
	}
	return guard->requests;
}
