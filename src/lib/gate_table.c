/*
 * gate_table: records of keys with their indexes and jobs. A record that
 * has been idle for the gate's outcome_retention_ms is dropped. Results are
 * also dropped, oldest first, when they exceed RESULTS_MAX_BYTES.
 */
#include "lib/gate_table.h"

/* ---- Constants ---- */

/* Limit for the stored results of all tasks together. */
#define RESULTS_MAX_BYTES ((size_t)32 << 20)

/* ---- Entries ---- */

void gate_drop_bytes(GBytes **bytes)
{
	if (*bytes)
		g_bytes_unref(*bytes);
	*bytes = NULL;
}

void gate_drop_result(struct cf_gate *gate, struct gate_entry *entry)
{
	if (!entry->result_link)
		return;
	gate->results_bytes -= g_bytes_get_size(entry->result);
	g_queue_delete_link(gate->results, entry->result_link);
	entry->result_link = NULL;
	gate_drop_bytes(&entry->result);
}

void gate_store_result(struct cf_gate *gate, struct gate_entry *entry,
		       GBytes *result)
{
	if (!result)
		return;
	entry->result = g_bytes_ref(result);
	g_queue_push_tail(gate->results, entry);
	entry->result_link = g_queue_peek_tail_link(gate->results);
	gate->results_bytes += g_bytes_get_size(result);
	while (gate->results_bytes > RESULTS_MAX_BYTES &&
	       gate->results->length > 1)
		gate_drop_result(gate, g_queue_peek_head(gate->results));
}

static void entry_destroy(gpointer data)
{
	struct gate_entry *entry = data;

	gate_drop_bytes(&entry->task.payload);
	gate_drop_bytes(&entry->result);
	g_free(entry);
}

/* Returns the position of the index in the record, or where to insert it. */
static guint entry_position(const struct gate_record *record, uint32_t index)
{
	guint low = 0, high = record->entries->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		const struct gate_entry *entry = record->entries->pdata[middle];

		if (entry->task.index < index)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

struct gate_entry *gate_find_entry(const struct gate_record *record,
				   uint32_t index)
{
	guint position = entry_position(record, index);
	struct gate_entry *entry;

	if (position >= record->entries->len)
		return NULL;
	entry = record->entries->pdata[position];
	return entry->task.index == index ? entry : NULL;
}

struct gate_entry *gate_add_entry(struct gate_record *record, uint32_t index)
{
	struct gate_entry *entry = g_new0(struct gate_entry, 1);

	entry->record = record;
	entry->task.key = record->key;
	entry->task.index = index;
	entry->state = CF_TASK_FENCED;
	entry->fence_epoch = record->epoch;
	g_ptr_array_insert(record->entries, (gint)entry_position(record, index),
			   entry);
	return entry;
}

/* ---- Records ---- */

void gate_record_destroy(gpointer data)
{
	struct gate_record *record = data;

	g_ptr_array_free(record->entries, TRUE);
	g_array_free(record->jobs, TRUE);
	g_free(record);
}

struct gate_record *gate_find_record(const struct cf_gate *gate,
				     const struct cf_key *key)
{
	return g_hash_table_lookup(gate->records, key);
}

/* Restarts the retention time of a record without active tasks. */
void gate_touch(struct cf_gate *gate, struct gate_record *record,
		int64_t now_ms)
{
	if (record->idle) {
		g_queue_delete_link(gate->idle, record->idle);
		record->idle = NULL;
	}
	if (record->n_active)
		return;
	record->idle_ms = now_ms;
	g_queue_push_tail(gate->idle, record);
	record->idle = g_queue_peek_tail_link(gate->idle);
}

/* Returns NULL if the record of the key may have been dropped before. */
struct gate_record *gate_get_record(struct cf_gate *gate,
				    const struct cf_key *key, int64_t now_ms)
{
	struct gate_record *record = gate_find_record(gate, key);

	if (!record) {
		if (cf_key_time_ms(key) <= gate->dropped_until_ms)
			return NULL;
		record = g_new0(struct gate_record, 1);
		record->key = *key;
		record->entries = g_ptr_array_new_with_free_func(entry_destroy);
		record->jobs =
			g_array_new(FALSE, TRUE, sizeof(struct gate_job_flags));
		g_hash_table_insert(gate->records, &record->key, record);
	}
	gate_touch(gate, record, now_ms);
	return record;
}

struct gate_job_flags *gate_get_job_flags(struct gate_record *record,
					  uint64_t dispatcher, uint64_t job)
{
	struct gate_job_flags flags = { dispatcher, job, false, false };

	for (guint i = 0; i < record->jobs->len; i++) {
		struct gate_job_flags *seen =
			&g_array_index(record->jobs, struct gate_job_flags, i);

		if (seen->dispatcher == dispatcher && seen->job == job)
			return seen;
	}
	g_array_append_val(record->jobs, flags);
	return &g_array_index(record->jobs, struct gate_job_flags,
			      record->jobs->len - 1);
}

/* ---- Fences ---- */

bool gate_is_waiting(const struct gate_entry *entry)
{
	return entry->state == CF_TASK_GATED || entry->state == CF_TASK_QUEUED;
}

void gate_stop_waiting(struct cf_gate *gate, struct gate_entry *entry)
{
	g_sequence_remove(entry->waiting);
	entry->waiting = NULL;
	gate->waiting_ms -= entry->task.predicted_ms;
}

void gate_fence_entry(struct cf_gate *gate, struct gate_entry *entry,
		      int64_t now_ms)
{
	gate_stop_waiting(gate, entry);
	entry->state = CF_TASK_FENCED;
	entry->fence_epoch = entry->record->epoch;
	gate_drop_bytes(&entry->task.payload);
	entry->record->n_active--;
	gate_touch(gate, entry->record, now_ms);
}
