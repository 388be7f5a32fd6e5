/*
 * leased_standin_record: what ran when at the stand-ins of a test, and which
 * runs slow each other down.
 */
#include "support/leased_standin_internal.h"

#include <inttypes.h>
#include <stddef.h>
#include <string.h>

/* ---- Record ---- */

struct standin_record *standin_record_create(void)
{
	struct standin_record *record = g_new0(struct standin_record, 1);

	g_mutex_init(&record->lock);
	record->intervals = g_ptr_array_new_with_free_func(g_free);
	record->starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return record;
}

void standin_record_destroy(struct standin_record *record)
{
	g_ptr_array_unref(record->intervals);
	g_hash_table_destroy(record->starts);
	g_mutex_clear(&record->lock);
	g_free(record);
}

struct interval *standin_begin_interval(struct standin_record *record,
					const struct standin *server,
					const struct standin_request *order,
					int64_t now_ms)
{
	struct interval *interval = g_new0(struct interval, 1);

	g_strlcpy(interval->task, order->task, sizeof(interval->task));
	g_strlcpy(interval->label, order->label, sizeof(interval->label));
	interval->server = server;
	interval->begin_ms = now_ms;
	g_mutex_lock(&record->lock);
	g_ptr_array_add(record->intervals, interval);
	g_mutex_unlock(&record->lock);
	return interval;
}

int64_t standin_last_end_ms(struct standin_record *record)
{
	int64_t last_ms = 0;

	g_mutex_lock(&record->lock);
	for (guint i = 0; i < record->intervals->len; i++) {
		const struct interval *interval =
			g_ptr_array_index(record->intervals, i);

		if (!interval->end_ms) {
			last_ms = 0;
			break;
		}
		last_ms = MAX(last_ms, interval->end_ms);
	}
	g_mutex_unlock(&record->lock);
	return last_ms;
}

void standin_refuse_stops(struct standin_record *record)
{
	record->refuses_stops = true;
}

void standin_add_odd(struct standin_record *record)
{
	record->adds_odd_entries = true;
}

void standin_refuse_starts(struct standin_record *record, uint32_t n)
{
	g_mutex_lock(&record->lock);
	record->starts_to_refuse = n;
	g_mutex_unlock(&record->lock);
}

void standin_hold_all(struct standin_record *record, uint32_t kinds)
{
	g_atomic_int_set(&record->held_kinds, (gint)kinds);
}

void standin_mute_all(struct standin_record *record, uint32_t kinds)
{
	g_atomic_int_set(&record->muted_kinds, (gint)kinds);
}

void standin_answer_polls_at_once(struct standin_record *record)
{
	g_atomic_int_set(&record->answers_polls_at_once, 1);
}

void standin_note_start(struct standin_record *record, const char *server,
			const struct standin_request *order)
{
	g_mutex_lock(&record->lock);
	g_hash_table_add(record->starts,
			 g_strdup_printf("%s %s %" PRId64, server, order->task,
					 order->number));
	g_mutex_unlock(&record->lock);
}

uint32_t standin_starts(struct standin_record *record)
{
	uint32_t n;

	g_mutex_lock(&record->lock);
	n = g_hash_table_size(record->starts);
	g_mutex_unlock(&record->lock);
	return n;
}

void standin_refuse_polls(struct standin_record *record)
{
	record->refuses_polls = true;
}

uint32_t standin_polls(const struct standin_record *record)
{
	return record->polls;
}

static bool overlap(const struct interval *a, const struct interval *b)
{
	return !strcmp(a->task, b->task) &&
	       a->begin_ms < (b->end_ms ? b->end_ms : INT64_MAX) &&
	       b->begin_ms < (a->end_ms ? a->end_ms : INT64_MAX);
}

uint32_t standin_overlapping_runs(struct standin_record *record)
{
	uint32_t overlaps = 0;

	g_mutex_lock(&record->lock);
	for (guint i = 0; i < record->intervals->len; i++)
		for (guint j = 0; j < i; j++)
			overlaps += overlap(
				g_ptr_array_index(record->intervals, i),
				g_ptr_array_index(record->intervals, j));
	g_mutex_unlock(&record->lock);
	return overlaps;
}

uint32_t standin_runs(struct standin_record *record)
{
	uint32_t n;

	g_mutex_lock(&record->lock);
	n = record->intervals->len;
	g_mutex_unlock(&record->lock);
	return n;
}

uint32_t standin_runs_of(struct standin_record *record, const char *job)
{
	uint32_t n = 0;

	g_mutex_lock(&record->lock);
	for (guint i = 0; i < record->intervals->len; i++) {
		const struct interval *run =
			g_ptr_array_index(record->intervals, i);

		n += g_str_has_prefix(run->task, job);
	}
	g_mutex_unlock(&record->lock);
	return n;
}

static const struct standin *find_running(struct standin_record *record,
					  const char *job, uint32_t index,
					  bool known)
{
	g_autofree char *end = g_strdup_printf(".%u", index);
	const struct standin *server = NULL;

	g_mutex_lock(&record->lock);
	for (guint i = 0; i < record->intervals->len; i++) {
		const struct interval *run =
			g_ptr_array_index(record->intervals, i);

		if (!run->end_ms && (run->poll_followed || !known) &&
		    g_str_has_prefix(run->task, job) &&
		    g_str_has_suffix(run->task, end))
			server = run->server;
	}
	g_mutex_unlock(&record->lock);
	return server;
}

const struct standin *standin_running(struct standin_record *record,
				      const char *job, uint32_t index)
{
	return find_running(record, job, index, false);
}

const struct standin *standin_known_running(struct standin_record *record,
					    const char *job, uint32_t index)
{
	return find_running(record, job, index, true);
}

/* ---- Labels ---- */

void standin_set_slowdown(struct standin_record *record, const char *label,
			  const char *beside, double factor)
{
	for (size_t i = 0; i < SLOWDOWNS_MAX; i++) {
		struct slowdown *slowdown = &record->slowdowns[i];

		if (slowdown->factor > 0)
			continue;
		g_strlcpy(slowdown->label, label, sizeof(slowdown->label));
		g_strlcpy(slowdown->beside, beside, sizeof(slowdown->beside));
		slowdown->factor = factor;
		return;
	}
}

static bool began_beside(const struct standin_record *record,
			 const struct interval *run, const char *label)
{
	for (guint i = 0; i < record->intervals->len; i++) {
		const struct interval *other =
			g_ptr_array_index(record->intervals, i);

		if (other != run && other->server == run->server &&
		    !strcmp(other->label, label) &&
		    other->begin_ms <= run->begin_ms &&
		    run->begin_ms < (other->end_ms ? other->end_ms : INT64_MAX))
			return true;
	}
	return false;
}

void standin_count_beside(struct standin_record *record, const char *label,
			  const char *beside, int64_t from_ms, uint32_t *runs,
			  uint32_t *beside_runs)
{
	*runs = 0;
	*beside_runs = 0;
	g_mutex_lock(&record->lock);
	for (guint i = 0; i < record->intervals->len; i++) {
		const struct interval *run =
			g_ptr_array_index(record->intervals, i);

		if (!run->end_ms || run->begin_ms < from_ms ||
		    strcmp(run->label, label) != 0)
			continue;
		(*runs)++;
		*beside_runs += began_beside(record, run, beside);
	}
	g_mutex_unlock(&record->lock);
}
