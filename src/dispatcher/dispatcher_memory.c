/*
 * dispatcher_memory: answers kept for resubmissions, and the keys whose
 * answers had to go. Loop thread only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"

/* ---- Constants ---- */

#define JOB_MEMORY_BYTES 512 /* of a remembered job besides its answer */

/* ---- Keys whose answer is gone ---- */

/* Voters would vote for this dispatcher again: it must know itself that
 * the key ran here once its answer is gone. */
static void record_dropped_key(struct dispatcher *d, struct dispatcher_job *j)
{
	struct cf_claim claim = { j->key, 0, d->incarnation, 0 };
	int64_t wall_ms = MAX(clock_wall_ms(), cf_key_time_ms(&j->key));
	uint64_t owner;

	/* A key from a clock that is ahead is noted all the same. */
	cf_ledger_vote(d->forgotten, &claim, true, false, wall_ms, &owner);
}

bool memory_answer_dropped(struct dispatcher *d, const struct cf_key *key)
{
	struct cf_claim claim = { *key, 0, d->incarnation, 0 };
	uint64_t owner = 0;

	cf_ledger_vote(d->forgotten, &claim, false, false, clock_wall_ms(),
		       &owner);
	return owner != 0;
}

/* Drops an ended job; its key is free for another attempt. */
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
		counter_add(d->counters.forgotten, 1);
		memory_drop(d, g_queue_peek_head(d->memory));
	}
}

void memory_tick(struct dispatcher *d, int64_t now_ms)
{
	int64_t keep_ms = settings_number(d->settings, "remember-ms");
	struct dispatcher_job *oldest;

	while ((oldest = g_queue_peek_head(d->memory)) &&
	       now_ms - oldest->ended_ms > keep_ms)
		memory_drop(d, oldest);
	cf_ledger_expire(d->forgotten, clock_wall_ms());
}
