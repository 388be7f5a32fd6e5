/*
 * guard_state: what guard.c keeps of a worker and its tasks, and
 * guard_decide.c acts on. One thread at a time; no clock.
 */
#ifndef LIB_GUARD_STATE_H
#define LIB_GUARD_STATE_H

#include "chervilferry.h"

struct guard_task {
	struct cf_guard_task task; /* first member */
	enum cf_guard_state state;
	uint64_t number; /* order of starts */
	int64_t changed_ms; /* of the last request about it */
	int64_t ended_ms;
	uint32_t limit_milli; /* of THROTTLED */
	uint32_t unlimited_cpu_milli; /* processors it used without a limit */
	uint32_t peak_memory_mb; /* memory it used at most */
	struct cf_guard_usage usage;
};

struct cf_guard {
	struct cf_guard_worker *worker;
	struct cf_capacity capacity;
	int64_t lag_ms;
	GHashTable *tasks; /* struct guarded, by key and index */
	GPtrArray *active; /* those not ended or stopped, by start */
	uint64_t started;
	struct cf_guard_usage other_usage;
	int64_t cpu_over_since_ms; /* since when, INT64_MAX: it is not */
	int64_t low_since_ms; /* since when, INT64_MAX: it is not */
	int64_t purged_ms;
	size_t requests; /* of this tick */
};

/* Neither ended nor stopped. */
bool guard_is_active(const struct guard_task *guard_task);

/* Checkpointed, or about to be. */
bool guard_is_suspended(const struct guard_task *guard_task);

void guard_enter(struct guard_task *guard_task, enum cf_guard_state state,
		 int64_t now_ms);

/* Ends the task's time here: CF_GUARD_ENDED or CF_GUARD_STOPPED. */
void guard_leave(struct cf_guard *guard, struct guard_task *guard_task,
		 enum cf_guard_state state, int64_t now_ms);

/* What a task uses, or will when the last request is in effect. */
uint32_t guard_expected_cpu(const struct guard_task *guard_task);
uint32_t guard_expected_memory(const struct guard_task *guard_task);

/* Used by all tasks and the sister firm, in milli and MB. */
double guard_cpu_used(const struct cf_guard *guard);
double guard_memory_used(const struct cf_guard *guard);

#endif
