/*
 * start_hold: see start_hold.h.
 */
#include "leased/start_hold.h"

#include <glib.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* The rest of the time is for running the job, or for its caller to turn to
 * another dispatcher. */
#define WAIT_DIVISOR 2

/* ---- Types ---------------------------------------------------------- */

struct held_job {
	char id[LEASED_JOB_SIZE];
	int64_t until_ms;
	void *caller;
};

struct start_hold {
	int64_t end_ms;
	bool has_served;
	GQueue jobs; /* struct held_job, in the order of arrival */
};

/* ---- Lifecycle ------------------------------------------------------ */

struct start_hold *start_hold_create(int64_t started_ms)
{
	struct start_hold *hold = g_new0(struct start_hold, 1);

	hold->end_ms = started_ms + START_HOLD_MS;
	g_queue_init(&hold->jobs);
	return hold;
}

void start_hold_destroy(struct start_hold *hold)
{
	if (!hold)
		return;
	g_queue_clear_full(&hold->jobs, g_free);
	g_free(hold);
}

/* ---- Decisions ------------------------------------------------------ */

bool start_hold_is_open(const struct start_hold *hold, int64_t now_ms)
{
	return !hold->has_served && now_ms < hold->end_ms;
}

enum start_verdict start_hold_arrive(struct start_hold *hold,
				     const struct start_job *job,
				     bool can_serve, int64_t now_ms)
{
	int64_t waits_ms = job->deadline_ms - job->arrived_ms;
	int64_t until_ms =
		MIN(hold->end_ms, job->arrived_ms + waits_ms / WAIT_DIVISOR);
	struct held_job *held;

	hold->has_served = hold->has_served || can_serve;
	if (!start_hold_is_open(hold, now_ms))
		return START_PASS;
	if (now_ms >= until_ms || hold->jobs.length >= START_HOLD_JOBS_MAX)
		return START_REFUSED;
	held = g_new0(struct held_job, 1);
	g_strlcpy(held->id, job->id, sizeof(held->id));
	held->until_ms = until_ms;
	held->caller = job->caller;
	g_queue_push_tail(&hold->jobs, held);
	return START_HELD;
}

static void *take(struct start_hold *hold, GList *link)
{
	struct held_job *held = link->data;
	void *caller = held->caller;

	g_free(held);
	g_queue_delete_link(&hold->jobs, link);
	return caller;
}

void *start_hold_next(struct start_hold *hold, bool can_serve, int64_t now_ms,
		      enum start_verdict *verdict)
{
	hold->has_served = hold->has_served || can_serve;
	*verdict = can_serve ? START_PASS : START_REFUSED;
	for (GList *i = hold->jobs.head; i; i = i->next) {
		const struct held_job *held = i->data;

		if (can_serve || now_ms >= held->until_ms)
			return take(hold, i);
	}
	return NULL;
}

bool start_hold_abandon(struct start_hold *hold, const void *caller)
{
	for (GList *i = hold->jobs.head; i; i = i->next) {
		if (((struct held_job *)i->data)->caller != caller)
			continue;
		take(hold, i);
		return true;
	}
	return false;
}

void *start_hold_cancel(struct start_hold *hold, const char *id)
{
	for (GList *i = hold->jobs.head; i; i = i->next)
		if (!strcmp(((struct held_job *)i->data)->id, id))
			return take(hold, i);
	return NULL;
}

uint32_t start_hold_count(const struct start_hold *hold)
{
	return hold->jobs.length;
}
