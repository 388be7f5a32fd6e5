/*
 * bench_dots: what the start gate would keep if it named tasks by dots
 * (dispatcher incarnation, job number) under one bounded vector, after
 * "Dotted Version Vectors" (Preguica and others, 2010), in place of one
 * record for each caller's key. Jobs end out of order; the vector keeps
 * runs of ended job numbers for each dispatcher.
 */
#include "chervilferry.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

/* ---- Constants ---- */

#define DISPATCHERS 8
#define STARTS 35000 /* of one agent within the ledger's horizon */
#define OUT_OF_ORDER 200 /* jobs of a dispatcher that are in progress */
#define SEED 20261204

/* ---- Types ---- */

struct run {
	uint64_t first, last;
};

/* ---- Dots ---- */

/* Adds an ended job number; neighbouring runs grow together. */
static void end_job(GArray *runs, uint64_t number)
{
	guint i = 0;
	struct run run = { number, number };

	while (i < runs->len &&
	       g_array_index(runs, struct run, i).last + 1 < number)
		i++;
	if (i < runs->len &&
	    g_array_index(runs, struct run, i).last + 1 == number)
		g_array_index(runs, struct run, i).last = number;
	else if (i < runs->len &&
		 g_array_index(runs, struct run, i).first == number + 1)
		g_array_index(runs, struct run, i).first = number;
	else
		g_array_insert_val(runs, i, run);
	if (i + 1 < runs->len &&
	    g_array_index(runs, struct run, i).last + 1 ==
		    g_array_index(runs, struct run, i + 1).first) {
		g_array_index(runs, struct run, i).last =
			g_array_index(runs, struct run, i + 1).last;
		g_array_remove_index(runs, i + 1);
	}
}

/* Every agent sees only the jobs that came to it: `share` of them. */
static guint most_runs(GRand *random, unsigned int share)
{
	GArray *runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	uint64_t open[OUT_OF_ORDER], next = 1;
	guint most = 0, i;

	for (i = 0; i < OUT_OF_ORDER; i++)
		open[i] = next++ * share;
	for (i = 0; i < STARTS / DISPATCHERS; i++) {
		guint32 k = g_rand_int_range(random, 0, OUT_OF_ORDER);

		end_job(runs, open[k]);
		open[k] = next++ * share;
		most = MAX(most, runs->len);
	}
	g_array_free(runs, TRUE);
	return most;
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
	guint all = most_runs(random, 1), some = most_runs(random, 79);

	printf("keys: %zu bytes for %d ended starts\n", gate_bytes(), STARTS);
	printf("dots, if every job came to this agent: at most %u runs a "
	       "dispatcher, %zu bytes for %d dispatchers\n",
	       all, all * sizeof(struct run) * DISPATCHERS, DISPATCHERS);
	printf("dots, if each 79th job came to it: at most %u runs, %zu "
	       "bytes\n",
	       some, some * sizeof(struct run) * DISPATCHERS);
	g_rand_free(random);
	return 0;
}
