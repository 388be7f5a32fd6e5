/*
 * gate: the start gate of an agent. It starts each (key, index) at most
 * once: the gate keeps a record of every task it was sent, a fenced task
 * stays fenced, and once the outcomes of a key have been dropped, the
 * gate rejects every unknown key that is as old as that key or older.
 *
 * outcome_retention_ms should be at least CF_LEDGER_HORIZON_MS +
 * CF_CLOCK_SKEW_MS. With less, the gate rejects keys that the vote ledgers
 * still accept.
 */
#include "lib/gate_table.h"

/* ---- Constants ---- */

/* Number of later tasks that may start ahead of a waiting task. */
#define BYPASS_MAX 8

/* ---- Construction ---- */

struct cf_gate *cf_gate_create(const struct cf_capacity *capacity,
			       int64_t outcome_retention_ms)
{
	struct cf_gate *gate = g_new0(struct cf_gate, 1);

	gate->capacity = *capacity;
	gate->outcome_retention_ms = outcome_retention_ms;
	gate->dropped_until_ms = INT64_MIN;
	gate->records = g_hash_table_new_full(cf_key_hash, cf_key_hash_equal,
					      NULL, gate_record_destroy);
	gate->fenced = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	gate->running = g_hash_table_new(NULL, NULL);
	gate->waiting = g_sequence_new(NULL);
	gate->idle = g_queue_new();
	gate->results = g_queue_new();
	return gate;
}

void cf_gate_destroy(struct cf_gate *gate)
{
	if (!gate)
		return;
	g_queue_free(gate->results);
	g_queue_free(gate->idle);
	g_sequence_free(gate->waiting);
	g_hash_table_destroy(gate->running);
	g_hash_table_destroy(gate->fenced);
	g_hash_table_destroy(gate->records);
	g_free(gate);
}

void cf_gate_set_capacity(struct cf_gate *gate,
			  const struct cf_capacity *capacity)
{
	gate->capacity = *capacity;
}

/* ---- Waiting ---- */

static gint compare_waiting(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct gate_entry *first = a, *second = b;

	(void)unused;
	if (first->rank_ms != second->rank_ms)
		return first->rank_ms < second->rank_ms ? -1 : 1;
	return first->arrival < second->arrival ? -1 : 1;
}

/* Only the adopter may offer tasks of an adopted key. It may also run
 * tasks that were fenced before the adoption and so never started. */
static bool may_accept(const struct gate_record *record,
		       const struct gate_entry *seen,
		       const struct cf_task *task)
{
	if (record->sealed)
		return false;
	if (record->epoch > 0 && task->dispatcher != record->owner)
		return false;
	return !seen || (seen->state == CF_TASK_FENCED &&
			 seen->fence_epoch < record->epoch);
}

bool cf_gate_offer(struct cf_gate *gate, const struct cf_task *task, bool gated,
		   bool fifo, int64_t now_ms)
{
	struct gate_record *record;
	struct gate_entry *entry;
	struct gate_job_flags *flags;

	if (g_hash_table_contains(gate->fenced, &task->dispatcher))
		return false;
	record = gate_get_record(gate, &task->key, now_ms);
	if (!record)
		return false;
	entry = gate_find_entry(record, task->index);
	flags = gate_get_job_flags(record, task->dispatcher, task->job);
	if (flags->cancelled || !may_accept(record, entry, task))
		return false;
	if (!entry)
		entry = gate_add_entry(record, task->index);
	entry->task = *task;
	if (task->payload)
		g_bytes_ref(task->payload);
	entry->task.queued_ms = now_ms;
	entry->task.started_ms = 0;
	entry->state = gated && !flags->opened ? CF_TASK_GATED : CF_TASK_QUEUED;
	entry->rank_ms = fifo ? now_ms : task->slack_end_ms;
	entry->arrival = gate->arrivals++;
	entry->bypassed = 0;
	entry->waiting = g_sequence_insert_sorted(gate->waiting, entry,
						  compare_waiting, NULL);
	gate->waiting_ms += task->predicted_ms;
	record->n_active++;
	gate_touch(gate, record, now_ms);
	return true;
}

size_t cf_gate_open(struct cf_gate *gate, const struct cf_key *key,
		    uint64_t dispatcher, uint64_t job)
{
	struct gate_record *record = gate_find_record(gate, key);
	size_t count = 0;

	if (!record)
		return 0;
	gate_get_job_flags(record, dispatcher, job)->opened = true;
	for (guint i = 0; i < record->entries->len; i++) {
		struct gate_entry *entry = record->entries->pdata[i];

		if (entry->state != CF_TASK_GATED ||
		    entry->task.dispatcher != dispatcher ||
		    entry->task.job != job)
			continue;
		entry->state = CF_TASK_QUEUED;
		count++;
	}
	return count;
}

/* ---- Starting ---- */

static bool has_capacity(uint32_t limit, uint32_t used, uint32_t need)
{
	return !limit || (uint64_t)used + need <= limit;
}

/* Whether the task fits beside the capacity in use. If used is NULL, the
 * agent is taken to be empty. */
static bool fits(const struct cf_gate *gate, const struct cf_task *task,
		 const struct cf_capacity *used)
{
	static const struct cf_capacity none;
	const struct cf_capacity *capacity = &gate->capacity;

	if (!used)
		used = &none;
	return used->slots < capacity->slots &&
	       has_capacity(capacity->connections, used->slots, 1) &&
	       has_capacity(capacity->cpu_milli, used->cpu_milli,
			    task->cpu_milli) &&
	       has_capacity(capacity->memory_mb, used->memory_mb,
			    task->memory_mb) &&
	       has_capacity(capacity->accelerators, used->accelerators,
			    task->accelerators);
}

static void start_entry(struct cf_gate *gate, struct gate_entry *entry,
			int64_t now_ms)
{
	gate_stop_waiting(gate, entry);
	entry->state = CF_TASK_RUNNING;
	entry->task.started_ms = now_ms;
	gate->used.slots++;
	gate->used.cpu_milli += entry->task.cpu_milli;
	gate->used.memory_mb += entry->task.memory_mb;
	gate->used.accelerators += entry->task.accelerators;
	g_hash_table_add(gate->running, entry);
}

/* Returns the first queued task that fits. A task that was bypassed
 * BYPASS_MAX times blocks later tasks until it fits, unless it could not
 * even run on an empty agent. */
static struct gate_entry *next_startable(struct cf_gate *gate, int64_t now_ms)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(gate->waiting);

	for (; !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		struct gate_entry *entry = g_sequence_get(iter);

		if (entry->state != CF_TASK_QUEUED ||
		    now_ms > entry->task.deadline_ms)
			continue;
		if (fits(gate, &entry->task, &gate->used))
			return entry;
		if (entry->bypassed >= BYPASS_MAX &&
		    fits(gate, &entry->task, NULL))
			return NULL;
	}
	return NULL;
}

static void count_bypassed(struct gate_entry *started)
{
	GSequenceIter *iter = started->waiting;

	while (!g_sequence_iter_is_begin(iter)) {
		struct gate_entry *entry;

		iter = g_sequence_iter_prev(iter);
		entry = g_sequence_get(iter);
		if (entry->state == CF_TASK_QUEUED)
			entry->bypassed++;
	}
}

const struct cf_task *cf_gate_start(struct cf_gate *gate,
				    const struct cf_gate_permit *permit,
				    int64_t now_ms)
{
	struct gate_entry *entry;

	if (!permit->lease_held || !permit->in_service || permit->draining)
		return NULL;
	if (gate->used.slots >= gate->capacity.slots)
		return NULL;
	entry = next_startable(gate, now_ms);
	if (!entry)
		return NULL;
	count_bypassed(entry);
	start_entry(gate, entry, now_ms);
	return &entry->task;
}

/* Returns NULL if the task is not running. */
static struct gate_entry *stop_running(struct cf_gate *gate,
				       const struct cf_key *key, uint32_t index)
{
	struct gate_record *record = gate_find_record(gate, key);
	struct gate_entry *entry = record ? gate_find_entry(record, index)
					  : NULL;

	if (!entry || entry->state != CF_TASK_RUNNING)
		return NULL;
	g_hash_table_remove(gate->running, entry);
	gate->used.slots--;
	gate->used.cpu_milli -= entry->task.cpu_milli;
	gate->used.memory_mb -= entry->task.memory_mb;
	gate->used.accelerators -= entry->task.accelerators;
	gate_drop_bytes(&entry->task.payload);
	record->n_active--;
	return entry;
}

bool cf_gate_finish(struct cf_gate *gate, const struct cf_key *key,
		    uint32_t index, bool ok, GBytes *result, int64_t now_ms)
{
	struct gate_entry *entry = stop_running(gate, key, index);

	if (!entry)
		return false;
	entry->state = ok ? CF_TASK_DONE : CF_TASK_FAILED;
	gate_store_result(gate, entry, result);
	gate_touch(gate, entry->record, now_ms);
	return true;
}

bool cf_gate_revert_start(struct cf_gate *gate, const struct cf_key *key,
			  uint32_t index, int64_t now_ms)
{
	struct gate_entry *entry = stop_running(gate, key, index);
	struct gate_record *record;

	if (!entry)
		return false;
	record = entry->record;
	g_ptr_array_remove(record->entries, entry);
	gate_touch(gate, record, now_ms);
	return true;
}

const struct cf_task *
cf_gate_fence_unstartable(struct cf_gate *gate,
			  const struct cf_gate_permit *permit, int64_t now_ms)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(gate->waiting);
	bool closed = permit->draining || !permit->in_service;

	for (; !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		struct gate_entry *entry = g_sequence_get(iter);
		bool never = gate->capacity.slots > 0 &&
			     !fits(gate, &entry->task, NULL);

		if (!closed && !never && now_ms <= entry->task.deadline_ms)
			continue;
		gate_fence_entry(gate, entry, now_ms);
		return &entry->task;
	}
	return NULL;
}

/* ---- Expiry and load ---- */

void cf_gate_expire(struct cf_gate *gate, int64_t now_ms)
{
	struct gate_record *record = g_queue_peek_head(gate->idle);

	while (record &&
	       now_ms - record->idle_ms >= gate->outcome_retention_ms) {
		gate->dropped_until_ms = MAX(gate->dropped_until_ms,
					     cf_key_time_ms(&record->key));
		for (guint i = 0; i < record->entries->len; i++)
			gate_drop_result(gate, record->entries->pdata[i]);
		g_queue_delete_link(gate->idle, record->idle);
		g_hash_table_remove(gate->records, &record->key);
		record = g_queue_peek_head(gate->idle);
	}
}

void cf_gate_get_load(const struct cf_gate *gate, int64_t now_ms,
		      struct cf_gate_load *load)
{
	uint64_t backlog_ms = gate->waiting_ms;
	GHashTableIter iter;
	gpointer data;

	g_hash_table_iter_init(&iter, gate->running);
	while (g_hash_table_iter_next(&iter, &data, NULL)) {
		const struct cf_task *task = &((struct gate_entry *)data)->task;
		int64_t end_ms = task->started_ms + task->predicted_ms;

		backlog_ms += (uint64_t)MAX(end_ms - now_ms, 0);
	}
	load->slots = gate->capacity.slots;
	load->running = gate->used.slots;
	load->queued = (uint32_t)g_sequence_get_length(gate->waiting);
	load->backlog_ms = (uint32_t)MIN(backlog_ms, UINT32_MAX);
}
