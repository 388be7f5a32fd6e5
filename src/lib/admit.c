/*
 * admit: takes or refuses jobs at once, and orders those that wait.
 *
 * The wait of a job is predicted from the work of its class that waits
 * and the slots that its class can count on.
 * A job whose wait leaves it no way to its deadline is refused as late;
 * one that would wait beyond its class's target is refused as overload,
 * so that queues stay as short as the targets ask and what is taken
 * still counts. Shares come from burn (admit_share.h).
 *
 * Order: least slack first (earliest deadline first: Liu and Layland,
 * 1973). Jobs that can't meet their target any more stand back, the
 * shortest first, and come forward as they wait. Under overload, slots
 * are kept near the shares, so that a class within its share doesn't
 * wait out its slack behind one that asks for too much.
 */
#include "lib/admit_state.h"

static const double ROOM_PART_STEP = 0.06; /* off, for each late answer */
static const double ALL_WAIT_TIMES = 3; /* a class waits less than so */
static const double LONG_PART = 0.25; /* of a target that is below run time */
static const double CONTENDED_MS = 5; /* others wait so long: loans end */
static const double RETRY_LEAST_MS = 50;
static const double RETRY_MOST_MS = 10000;
static const double NO_CAPACITY_WAIT_MS = 1000;
static const uint32_t UNKNOWN_TARGET_MS = 1000;
static const double SHARE_SHIFT_MS = 3000; /* for a class without slots */
static const double AGEING = 2; /* a waiting job gains this a ms */
static const double STAND_BACK_TARGETS = 2; /* of a job that is late */

/* ---- Waits ---------------------------------------------------------- */

/* Until the first of the running tasks ends; 0 while slots are free. */
static double wait_slot_ms(const struct cf_admitter *admitter)
{
	const struct admit_work *all = &admitter->all;
	double residual_ms;

	if (all->running_tasks < admitter->slots)
		return 0;
	residual_ms = all->running_ms / 2 / all->running_tasks;
	return residual_ms / all->running_tasks;
}

/* Wait for all that waits now. */
static double wait_all_ms(const struct cf_admitter *admitter)
{
	if (admitter->slots == 0)
		return NO_CAPACITY_WAIT_MS;
	return admitter->all.waiting_ms / admitter->slots +
	       wait_slot_ms(admitter);
}

/* Wait for what waits of the class, on the slots that it can count on. */
static double wait_class_ms(const struct cf_admitter *admitter,
			    const struct admit_class *state)
{
	double slots;

	if (state == NULL || admitter->slots == 0)
		return wait_all_ms(admitter);
	slots = admit_share_slots(admitter->shares, admitter->n_shares,
				  &state->share, admitter->slots);
	return state->work.waiting_ms / MAX(slots, 1.0) +
	       wait_slot_ms(admitter);
}

/* Time from start to end when it has the capacity for itself. */
static double rest_ms(const struct cf_admitter *admitter,
		      const struct cf_admit_job *job)
{
	double spread_ms = (double)job->work_ms /
			   (admitter->slots > 0 ? admitter->slots : 1);

	return MAX((double)job->longest_ms, spread_ms);
}

/* The longest wait that the class's target leaves to the job. */
static double wait_room_ms(const struct admit_class *state, double rest)
{
	double target_ms = state != NULL ? state->class.target_ms
					 : UNKNOWN_TARGET_MS;

	double part = state != NULL ? state->room_part : ADMIT_ROOM_PART_MOST;

	return MAX(target_ms - rest, target_ms * LONG_PART) * part;
}

/* ---- Quotas --------------------------------------------------------- */

/* Does a team use more than its quota, with so much work more, while
 * others wait? What is idle it may borrow. */
static bool over_quota(const struct cf_admitter *admitter,
		       const struct admit_team *team, double more_ms)
{
	const struct admit_work *all = &admitter->all;
	double own_ms;
	double total_ms;

	if (team == NULL || admitter->slots == 0)
		return false;
	if ((all->waiting_ms - team->work.waiting_ms) / admitter->slots <
	    CONTENDED_MS)
		return false;
	own_ms = team->work.waiting_ms + team->work.running_ms + more_ms;
	total_ms = all->waiting_ms + all->running_ms + more_ms;
	return own_ms * 1000 > total_ms * team->share_milli;
}

/* A team within its quota waits for its own work only. */
static double wait_team_ms(const struct cf_admitter *admitter,
			   const struct admit_team *team, double wait_ms)
{
	double slots;

	if (team == NULL || admitter->slots == 0)
		return wait_ms;
	slots = (double)team->share_milli * admitter->slots / 1000;
	return MIN(wait_ms, team->work.waiting_ms / MAX(slots, 1.0) +
				    wait_slot_ms(admitter));
}

/* ---- Decisions ------------------------------------------------------ */

/* Refused work is booked one after the other, at the rate of the
 * capacity, so that callers return over the time in which there is room
 * for them; the jitter parts those that were refused together. */
static uint32_t retry_after(struct cf_admitter *admitter,
			    const struct cf_admit_job *job, double wait_ms,
			    int64_t now_ms)
{
	double slots = admitter->slots > 0 ? admitter->slots : 1;
	double room_at_ms = (double)now_ms + wait_ms;
	double most_ms = (double)now_ms + RETRY_MOST_MS;
	double after_ms;

	admitter->retry_until_ms = MAX(admitter->retry_until_ms, room_at_ms);
	admitter->retry_until_ms += job->work_ms / slots;
	admitter->retry_until_ms = MIN(admitter->retry_until_ms, most_ms);
	after_ms = admitter->retry_until_ms - (double)now_ms;
	after_ms = MAX(after_ms, RETRY_LEAST_MS);
	return (uint32_t)(after_ms *
			  g_rand_double_range(admitter->random, 0.75, 1.5));
}

enum cf_admit cf_admitter_ask(struct cf_admitter *admitter,
			      const struct cf_admit_job *job, int64_t now_ms,
			      uint32_t *retry_after_ms)
{
	struct admit_class *state =
		g_hash_table_lookup(admitter->classes, job->class_name);
	struct admit_team *team = admit_find_team(admitter, job);
	double rest = rest_ms(admitter, job);
	double all_ms;
	double wait_ms;
	enum cf_admit verdict = CF_ADMIT_RUN;

	admit_step(admitter, now_ms);
	all_ms = wait_all_ms(admitter);
	wait_ms = wait_class_ms(admitter, state);
	wait_ms = MIN(wait_ms, all_ms * ALL_WAIT_TIMES);
	wait_ms = wait_team_ms(admitter, team, wait_ms);
	*retry_after_ms = 0;
	if (state != NULL)
		state->share.asked_ms += job->work_ms;
	if (admitter->slots == 0 || wait_ms > wait_room_ms(state, rest) ||
	    over_quota(admitter, team, job->work_ms))
		verdict = CF_ADMIT_OVERLOADED;
	if (job->deadline_ms > 0 && wait_ms + rest > job->deadline_ms)
		verdict = CF_ADMIT_LATE;
	if (verdict != CF_ADMIT_RUN) {
		*retry_after_ms = retry_after(admitter, job, all_ms, now_ms);
		if (state != NULL && wait_ms > 0)
			admit_share_count(&state->share, 1);
		return verdict;
	}
	admit_work_wait(&admitter->all, job);
	if (state != NULL)
		admit_work_wait(&state->work, job);
	if (team != NULL)
		admit_work_wait(&team->work, job);
	return CF_ADMIT_RUN;
}

void cf_admitter_ended(struct cf_admitter *admitter,
		       const struct cf_admit_job *job, bool was_started,
		       bool ok, uint32_t response_ms, int64_t now_ms)
{
	struct admit_class *state =
		g_hash_table_lookup(admitter->classes, job->class_name);
	struct admit_team *team = admit_find_team(admitter, job);

	bool late;

	admit_step(admitter, now_ms);
	admit_work_end(&admitter->all, job, was_started);
	if (team != NULL)
		admit_work_end(&team->work, job, was_started);
	if (state == NULL)
		return;
	admit_work_end(&state->work, job, was_started);
	late = response_ms > state->class.target_ms;
	admit_share_count(&state->share, !ok || late);
	/* it was taken although its wait, or its run time, was longer than
	 * predicted: leave more room to the next ones */
	if (was_started && ok && late && wait_all_ms(admitter) > 0)
		state->room_part = MAX(state->room_part - ROOM_PART_STEP,
				       ADMIT_ROOM_PART_LEAST);
}

uint32_t cf_admitter_share_milli(const struct cf_admitter *admitter,
				 const char *class_name)
{
	const struct admit_class *state =
		g_hash_table_lookup(admitter->classes, class_name);

	return state != NULL ? (uint32_t)(state->share.share * 1000 + 0.5) : 0;
}

/* ---- Order ---------------------------------------------------------- */

/* Under overload the class that has fewer slots than its share goes
 * forward, and the one that has more goes back. */
static double share_shift_ms(const struct cf_admitter *admitter,
			     const struct admit_class *state)
{
	double part;
	double lack;

	if (state == NULL || admitter->all.running_tasks == 0)
		return 0;
	part = (double)state->work.running_tasks / admitter->all.running_tasks;
	lack = 1 - part / MAX(state->share.share, 0.001);
	return -SHARE_SHIFT_MS * admitter->overload * MAX(lack, -1.0);
}

int64_t cf_admitter_urgency(const struct cf_admitter *admitter,
			    const struct cf_admit_job *job, int64_t arrived_ms,
			    int64_t now_ms)
{
	const struct admit_class *state =
		g_hash_table_lookup(admitter->classes, job->class_name);
	double target_ms = state != NULL ? state->class.target_ms
					 : UNKNOWN_TARGET_MS;
	double waited_ms = (double)(now_ms - arrived_ms);
	double rest = rest_ms(admitter, job);
	double slack_ms;
	double shift_ms;

	if (job->deadline_ms > 0)
		target_ms = MIN(target_ms, (double)job->deadline_ms);
	slack_ms = target_ms - waited_ms - rest;
	shift_ms = share_shift_ms(admitter, state);
	if (over_quota(admitter, admit_find_team(admitter, job), 0))
		shift_ms += target_ms;
	if (slack_ms >= 0)
		return (int64_t)(slack_ms + shift_ms);
	return (int64_t)(STAND_BACK_TARGETS * target_ms + rest -
			 AGEING * waited_ms + shift_ms);
}
