/*
 * bench_dots: compares the memory of two ways for the start gate to
 * remember ended tasks. At present it keeps one record for each caller's
 * key. The alternative identifies tasks by dots (dispatcher incarnation,
 * job number) in one bounded vector, after "Dotted Version Vectors"
 * (Preguica and others, 2010). Jobs end out of order, so the vector
 * stores intervals of ended job numbers for each dispatcher.
 */
#include "chervilferry.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

/* ---- Constants ---- */

#define DISPATCHERS 8
/* Starts at one agent within the horizon of the claim ledger. */
#define STARTS 35000
/* Concurrent jobs per dispatcher. They end in random order. */
#define JOBS_IN_PROGRESS 200
#define SEED 20261204

/* ---- Types ---- */

struct interval {
	uint64_t first, last;
};

/* ---- Dots ---- */

/* Adds the number of an ended job and merges adjacent intervals. */
static void add_ended_job(GArray *intervals, uint64_t number)
{
	guint i = 0;
	struct interval interval = { number, number };

	while (i < intervals->len &&
	       g_array_index(intervals, struct interval, i).last + 1 < number)
		i++;
	if (i < intervals->len &&
	    g_array_index(intervals, struct interval, i).last + 1 == number)
		g_array_index(intervals, struct interval, i).last = number;
	else if (i < intervals->len &&
		 g_array_index(intervals, struct interval, i).first ==
			 number + 1)
		g_array_index(intervals, struct interval, i).first = number;
	else
		g_array_insert_val(intervals, i, interval);
	if (i + 1 < intervals->len &&
	    g_array_index(intervals, struct interval, i).last + 1 ==
		    g_array_index(intervals, struct interval, i + 1).first) {
		g_array_index(intervals, struct interval, i).last =
			g_array_index(intervals, struct interval, i + 1).last;
		g_array_remove_index(intervals, i + 1);
	}
}

/* Returns the largest number of intervals that one dispatcher needs. An
 * agent sees only the jobs sent to it: every job_stride-th job number. */
static guint max_intervals(GRand *random, unsigned int job_stride)
{
	GArray *intervals = g_array_new(FALSE, FALSE, sizeof(struct interval));
	uint64_t in_progress[JOBS_IN_PROGRESS], next = 1;
	guint max_len = 0, i;

	for (i = 0; i < JOBS_IN_PROGRESS; i++)
		in_progress[i] = next++ * job_stride;
	for (i = 0; i < STARTS / DISPATCHERS; i++) {
		guint32 k = g_rand_int_range(random, 0, JOBS_IN_PROGRESS);

		add_ended_job(intervals, in_progress[k]);
		in_progress[k] = next++ * job_stride;
		max_len = MAX(max_len, intervals->len);
	}
	g_array_free(intervals, TRUE);
	return max_len;
}

/* ---- Keys ---- */

static size_t gate_bytes(void)
{
	struct cf_capacity capacity = { .slots = 8, .connections = 64 };
	struct cf_gate_permit permit = { true, true, false };
	struct cf_gate *gate = cf_gate_create(&capacity, CF_LEDGER_HORIZON_MS);
	struct cf_task task = { .dispatcher = 1, .deadline_ms = INT64_MAX };
	size_t before = mallinfo2().uordblks, after;
	uint32_t i;

	for (i = 0; i < STARTS; i++) {
		cf_key_make(&task.key, 1700000000000 + i, i, i);
		task.job = i + 1;
		cf_gate_offer(gate, &task, false, false, 1);
		cf_gate_start(gate, &permit, 1);
		cf_gate_finish(gate, &task.key, 0, true, NULL, 2);
	}
	after = mallinfo2().uordblks;
	cf_gate_destroy(gate);
	return after - before;
}

int main(void)
{
	GRand *random = g_rand_new_with_seed(SEED);
	guint every_job = max_intervals(random, 1),
	      every_79th_job = max_intervals(random, 79);

	printf("keys: %zu bytes for %d ended starts\n", gate_bytes(), STARTS);
	printf("dots, if every job came to this agent: at most %u runs a "
	       "dispatcher, %zu bytes for %d dispatchers\n",
	       every_job, every_job * sizeof(struct interval) * DISPATCHERS,
	       DISPATCHERS);
	printf("dots, if each 79th job came to it: at most %u runs, %zu "
	       "bytes\n",
	       every_79th_job,
	       every_79th_job * sizeof(struct interval) * DISPATCHERS);
	g_rand_free(random);
	return 0;
}
