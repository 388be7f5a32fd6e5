/*
 * run_numbers: see run_numbers.h. The jobs are kept in the order in which they
 * ended, and forgotten in that order.
 */
#include "leased/run_numbers.h"

#include "leased/formats.h"

#include <glib.h>

/* ---- Constants ------------------------------------------------------ */

/* Far longer than agents keep results and than the runs of an agent that was
 * cut off or frozen are still being stopped. */
#define REMEMBERED_MS 60000
/* Beyond these, the job that ended first is forgotten: 1,000 jobs/s over
 * REMEMBERED_MS. */
#define REMEMBERED_JOBS_MAX 60000

/* ---- Types ---------------------------------------------------------- */

struct job_number {
	char job[LEASED_JOB_SIZE]; /* key */
	uint32_t number;
	int64_t expires_ms;
	GList link; /* in by_end */
};

struct run_numbers {
	GHashTable *jobs; /* id -> struct job_number */
	GQueue by_end; /* struct job_number, the one that ended first first */
};

/* ---- Lifecycle ------------------------------------------------------ */

struct run_numbers *run_numbers_create(void)
{
	struct run_numbers *numbers = g_new0(struct run_numbers, 1);

	numbers->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_queue_init(&numbers->by_end);
	return numbers;
}

void run_numbers_destroy(struct run_numbers *numbers)
{
	if (!numbers)
		return;
	g_hash_table_destroy(numbers->jobs);
	g_free(numbers);
}

/* ---- Memory --------------------------------------------------------- */

static void forget_oldest(struct run_numbers *numbers, int64_t now_ms)
{
	for (;;) {
		struct job_number *oldest = g_queue_peek_head(&numbers->by_end);

		if (!oldest ||
		    (oldest->expires_ms > now_ms &&
		     g_hash_table_size(numbers->jobs) < REMEMBERED_JOBS_MAX))
			return;
		g_queue_unlink(&numbers->by_end, &oldest->link);
		g_hash_table_remove(numbers->jobs, oldest->job);
	}
}

static struct job_number *add_job(struct run_numbers *numbers, const char *job)
{
	struct job_number *added = g_new0(struct job_number, 1);

	g_strlcpy(added->job, job, sizeof(added->job));
	added->link.data = added;
	g_hash_table_insert(numbers->jobs, added->job, added);
	return added;
}

void run_numbers_remember(struct run_numbers *numbers, const char *job,
			  uint32_t number, int64_t now_ms)
{
	struct job_number *known = g_hash_table_lookup(numbers->jobs, job);

	if (!number)
		return;
	if (known) {
		g_queue_unlink(&numbers->by_end, &known->link);
	} else {
		forget_oldest(numbers, now_ms);
		known = add_job(numbers, job);
	}
	known->number = MAX(known->number, number);
	known->expires_ms = now_ms + REMEMBERED_MS;
	g_queue_push_tail_link(&numbers->by_end, &known->link);
}

uint32_t run_numbers_last(const struct run_numbers *numbers, const char *job)
{
	const struct job_number *known =
		g_hash_table_lookup(numbers->jobs, job);

	return known ? known->number : 0;
}

uint32_t run_numbers_count(const struct run_numbers *numbers)
{
	return g_hash_table_size(numbers->jobs);
}
