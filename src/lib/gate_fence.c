/*
 * gate_fence: queries, fences, cancellation and adoption at an agent's
 * start gate. A fenced task has not started and never will.
 */
#include "lib/gate_table.h"

/* ---- Functions ---- */

enum cf_task_state cf_gate_query(struct cf_gate *gate, const struct cf_key *key,
				 uint32_t index, bool fence, GBytes **result,
				 int64_t now_ms)
{
	struct gate_record *record = gate_find_record(gate, key);
	struct gate_entry *entry;

	if (result)
		*result = NULL;
	if (!record && cf_key_time_ms(key) <= gate->dropped_until_ms)
		return CF_TASK_DROPPED;
	if (!record && !fence)
		return CF_TASK_GATED;
	if (!record)
		record = gate_get_record(gate, key, now_ms);
	entry = gate_find_entry(record, index);
	if (!entry && !fence)
		return record->sealed ? CF_TASK_FENCED : CF_TASK_GATED;
	if (!entry)
		entry = gate_add_entry(record, index);
	if (fence && gate_is_waiting(entry))
		gate_fence_entry(gate, entry, now_ms);
	else
		gate_touch(gate, record, now_ms);
	/* Fencing again what was fenced before the adoption binds the
	 * adopter too. */
	if (fence && entry->state == CF_TASK_FENCED)
		entry->fence_epoch = record->epoch;
	if (result)
		*result = entry->result;
	return entry->state;
}

const struct cf_task *cf_gate_find_task(const struct cf_gate *gate,
					const struct cf_key *key,
					uint32_t index)
{
	const struct gate_record *record = gate_find_record(gate, key);
	const struct gate_entry *entry = record ? gate_find_entry(record, index)
						: NULL;

	return entry && entry->task.dispatcher ? &entry->task : NULL;
}

size_t cf_gate_known_indexes(const struct cf_gate *gate,
			     const struct cf_key *key, uint32_t *indexes,
			     size_t max)
{
	const struct gate_record *record = gate_find_record(gate, key);
	size_t count = 0;

	while (record && count < max && count < record->entries->len) {
		const struct gate_entry *entry = record->entries->pdata[count];

		indexes[count++] = entry->task.index;
	}
	return count;
}

static void fence_record(struct cf_gate *gate, struct gate_record *record,
			 int64_t now_ms)
{
	for (guint i = 0; i < record->entries->len; i++) {
		if (gate_is_waiting(record->entries->pdata[i]))
			gate_fence_entry(gate, record->entries->pdata[i],
					 now_ms);
	}
}

void cf_gate_seal(struct cf_gate *gate, const struct cf_key *key,
		  int64_t now_ms)
{
	struct gate_record *record = gate_get_record(gate, key, now_ms);

	if (!record)
		return;
	record->sealed = true;
	fence_record(gate, record, now_ms);
}

bool cf_gate_adopt(struct cf_gate *gate, const struct cf_key *key,
		   uint64_t dispatcher, uint32_t epoch, int64_t now_ms)
{
	struct gate_record *record = gate_get_record(gate, key, now_ms);

	if (!record)
		return false;
	if (epoch < record->epoch ||
	    (epoch == record->epoch && dispatcher != record->owner))
		return false;
	if (epoch == record->epoch)
		return true;
	fence_record(gate, record, now_ms);
	record->epoch = epoch;
	record->owner = dispatcher;
	return true;
}

size_t cf_gate_fence_job(struct cf_gate *gate, const struct cf_key *key,
			 uint64_t dispatcher, uint64_t job, int64_t now_ms,
			 uint32_t *indexes, size_t max)
{
	struct gate_record *record = gate_get_record(gate, key, now_ms);
	size_t count = 0;

	if (!record)
		return 0;
	gate_get_job_flags(record, dispatcher, job)->cancelled = true;
	for (guint i = 0; i < record->entries->len; i++) {
		struct gate_entry *entry = record->entries->pdata[i];

		if (!gate_is_waiting(entry) || entry->task.job != job ||
		    entry->task.dispatcher != dispatcher)
			continue;
		gate_fence_entry(gate, entry, now_ms);
		if (count < max)
			indexes[count] = entry->task.index;
		count++;
	}
	return MIN(count, max);
}

size_t cf_gate_fence_dispatcher(struct cf_gate *gate, uint64_t dispatcher,
				int64_t now_ms)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(gate->waiting);
	size_t count = 0;

	if (!g_hash_table_contains(gate->fenced, &dispatcher))
		g_hash_table_add(gate->fenced,
				 g_memdup2(&dispatcher, sizeof(dispatcher)));
	while (!g_sequence_iter_is_end(iter)) {
		struct gate_entry *entry = g_sequence_get(iter);

		iter = g_sequence_iter_next(iter);
		if (entry->task.dispatcher != dispatcher)
			continue;
		gate_fence_entry(gate, entry, now_ms);
		count++;
	}
	return count;
}
