/*
 * guard_state: what guard.c keeps of a worker and its tasks, and
 * guard_decide.c acts on. One thread at a time; no clock.
 */
#ifndef LIB_GUARD_STATE_H
#define LIB_GUARD_STATE_H

#include "chervilferry.h"

struct guarded {
	struct cf_guard_task task; /* first member */
	enum cf_guard_state state;
	uint64_t number; /* order of starts */
	int64_t changed_ms; /* of the last request about it */
	int64_t ended_ms;
	uint32_t limit_milli; /* of THROTTLED */
	uint32_t full_milli; /* processors it used without a limit */
	uint32_t full_mb; /* memory it used at most */
	struct cf_guard_usage usage;
};

struct cf_guard {
	struct cf_guard_worker *worker;
	struct cf_capacity capacity;
	int64_t lag_ms;
	GHashTable *tasks; /* struct guarded, by key and index */
	GPtrArray *active; /* those not ended or stopped, by start */
	uint64_t started;
	struct cf_guard_usage others;
	int64_t cpu_over_ms; /* since when, INT64_MAX: it is not */
	int64_t low_ms; /* since when, INT64_MAX: it is not */
	int64_t forgot_ms;
	size_t requests; /* of this tick */
};

/* Neither ended nor stopped. */
bool guard_is_active(const struct guarded *guarded);

/* Checkpointed, or about to be. */
bool guard_is_away(const struct guarded *guarded);

void guard_enter(struct guarded *guarded, enum cf_guard_state state,
		 int64_t now_ms);

/* Ends the task's time here: CF_GUARD_ENDED or CF_GUARD_STOPPED. */
void guard_leave(struct cf_guard *guard, struct guarded *guarded,
		 enum cf_guard_state state, int64_t now_ms);

/* What a task uses, or will when the last request is in effect. */
uint32_t guard_expected_cpu(const struct guarded *guarded);
uint32_t guard_expected_memory(const struct guarded *guarded);

/* Used by all tasks and the sister firm, in milli and MB. */
double guard_cpu_used(const struct cf_guard *guard);
double guard_memory_used(const struct cf_guard *guard);

#endif
