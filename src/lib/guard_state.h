/*
 * guard_state: the state of a worker and its tasks, which guard.c maintains
 * and guard_decide.c acts on. It is used by one thread at a time; no
 * function reads a clock.
 */
#ifndef LIB_GUARD_STATE_H
#define LIB_GUARD_STATE_H

#include "chervilferry.h"

struct guard_task {
	struct cf_guard_task task; /* first member */
	enum cf_guard_state state;
	uint64_t number; /* rank in the order of starts */
	int64_t changed_ms; /* time of the last change of state */
	int64_t ended_ms;
	uint32_t limit_milli; /* limit of a THROTTLED task */
	/* Processors used while not limited; initially as declared. */
	uint32_t unlimited_cpu_milli;
	/* Declared memory, or the greatest usage seen if that is more. */
	uint32_t peak_memory_mb;
	struct cf_guard_usage usage;
};

struct cf_guard {
	struct cf_guard_worker *worker;
	struct cf_capacity capacity;
	int64_t lag_ms;
	GHashTable *tasks; /* struct guard_task, by key and index */
	GPtrArray *active; /* not ended or stopped, in order of start */
	uint64_t started;
	struct cf_guard_usage other_usage;
	int64_t cpu_over_since_ms; /* INT64_MAX: within capacity */
	int64_t low_since_ms; /* INT64_MAX: usage is not low */
	int64_t purged_ms;
	size_t requests; /* made in this tick */
};

/* True if the task neither ended nor was stopped. */
bool guard_is_active(const struct guard_task *guard_task);

/* True if the task is checkpointed or about to be. */
bool guard_is_suspended(const struct guard_task *guard_task);

void guard_enter(struct guard_task *guard_task, enum cf_guard_state state,
		 int64_t now_ms);

/* Ends the guarding of the task; the state is CF_GUARD_ENDED or
 * CF_GUARD_STOPPED. */
void guard_leave(struct cf_guard *guard, struct guard_task *guard_task,
		 enum cf_guard_state state, int64_t now_ms);

/* Resources that the task uses, or will use once the last request has taken
 * effect. */
uint32_t guard_expected_cpu(const struct guard_task *guard_task);
uint32_t guard_expected_memory(const struct guard_task *guard_task);

/* Usage of all tasks and the sister firm, in milli-processors and MB. */
double guard_cpu_used(const struct cf_guard *guard);
double guard_memory_used(const struct cf_guard *guard);

#endif
