/*
 * dispatcher_memory: answers stored for resubmissions, and keys whose
 * answers were dropped. Loop thread only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"

/* ---- Constants ---- */

/* Size that is counted for a stored job besides its answer. */
#define JOB_MEMORY_BYTES 512

/* ---- Keys with dropped answers ---- */

/* Records that the key ran here. Voters would vote for this dispatcher again,
 * so it must itself refuse to run the key after the answer is dropped. */
static void record_dropped_key(struct dispatcher *d, struct dispatcher_job *j)
{
	struct cf_claim claim = { j->key, 0, d->incarnation, 0 };
	int64_t wall_ms = MAX(clock_wall_ms(), cf_key_time_ms(&j->key));
	uint64_t owner;

	/* wall_ms is at least the key's time, so that a key from a clock that
	 * is ahead is recorded too. */
	cf_ledger_vote(d->dropped_keys, &claim, true, false, wall_ms, &owner);
}

bool memory_answer_dropped(struct dispatcher *d, const struct cf_key *key)
{
	struct cf_claim claim = { *key, 0, d->incarnation, 0 };
	uint64_t owner = 0;

	cf_ledger_vote(d->dropped_keys, &claim, false, false, clock_wall_ms(),
		       &owner);
	return owner != 0;
}

/* Drops an ended job and frees its key for another attempt. */
void memory_drop(struct dispatcher *d, struct dispatcher_job *j)
{
	if (j->owned && !j->answer.ran_none)
		record_dropped_key(d, j);
	if (j->memory) {
		d->memory_bytes -=
			JOB_MEMORY_BYTES + g_bytes_get_size(j->answer.body);
		g_queue_delete_link(d->memory, j->memory);
	}
	g_hash_table_remove(d->jobs, &j->key);
	jobs_free(j);
}

void memory_add(struct dispatcher *d, struct dispatcher_job *j, int64_t now_ms)
{
	uint64_t max = (uint64_t)settings_number(d->settings, "remember-bytes");

	j->ended_ms = now_ms;
	g_queue_push_tail(d->memory, j);
	j->memory = g_queue_peek_tail_link(d->memory);
	d->memory_bytes += JOB_MEMORY_BYTES + g_bytes_get_size(j->answer.body);
	while (d->memory_bytes > max && d->memory->length > 1) {
		counter_add(d->counters.dropped_answers, 1);
		memory_drop(d, g_queue_peek_head(d->memory));
	}
}

void memory_tick(struct dispatcher *d, int64_t now_ms)
{
	int64_t retention_ms = settings_number(d->settings, "remember-ms");
	struct dispatcher_job *oldest;

	while ((oldest = g_queue_peek_head(d->memory)) &&
	       now_ms - oldest->ended_ms > retention_ms)
		memory_drop(d, oldest);
	cf_ledger_expire(d->dropped_keys, clock_wall_ms());
}
