/*
 * admit: decides at once whether to accept a job, and orders the jobs that
 * wait.
 *
 * The waiting time of a job is predicted from the queued work of its class
 * and the number of slots that the class can count on (see admit_share.h). A
 * job whose predicted wait and run time go past its deadline is refused with
 * CF_ADMIT_PAST_DEADLINE. A job whose predicted wait exceeds a fraction of
 * the time that its target leaves for waiting is refused with
 * CF_ADMIT_OVERLOADED. Each late answer lowers this fraction; it recovers
 * within seconds.
 *
 * Waiting jobs are ordered by least slack, a form of earliest deadline first
 * (Liu and Layland, 1973). Jobs that can no longer meet their target are
 * moved back, shortest first, and regain priority as they wait. Under
 * overload the slots in use are kept close to the shares, so that a class
 * within its share doesn't use up its slack waiting behind a class that
 * exceeds its own.
 */
#include "lib/admit_state.h"

/* Subtracted from the wait fraction for each late answer. */
static const double WAIT_FRACTION_STEP = 0.06;
/* Upper bound of a class's wait, as a multiple of the wait for all queued
 * work. */
static const double CLASS_WAIT_MAX_FACTOR = 3;
/* Least part of the target counted as time to wait, for jobs whose run time
 * takes up most of the target or exceeds it. */
static const double LONG_TASK_WAIT_FRACTION = 0.25;
/* Other teams' wait above which idle capacity may no longer be borrowed. */
static const double CONTENTION_WAIT_MS = 5;
static const double RETRY_MIN_MS = 50;
static const double RETRY_MAX_MS = 10000;
static const double NO_CAPACITY_WAIT_MS = 1000;
static const uint32_t DEFAULT_TARGET_MS = 1000;
/* Correction under full overload for a class that has no slots. */
static const double SHARE_CORRECTION_MS = 3000;
/* Priority that a late job gains per millisecond of waiting. */
static const double AGING_RATE = 2;
/* Penalty of a late job, in multiples of its target. */
static const double LATE_PENALTY_TARGETS = 2;

/* ---- Waits ---------------------------------------------------------- */

/* Time until the first running task ends; 0 while slots are free. */
static double slot_wait_ms(const struct cf_admitter *admitter)
{
	const struct admit_work *total = &admitter->total;
	double residual_ms;

	if (total->running_tasks < admitter->slots)
		return 0;
	residual_ms = total->running_ms / 2 / total->running_tasks;
	return residual_ms / total->running_tasks;
}

/* Predicted wait for all queued work. */
static double total_wait_ms(const struct cf_admitter *admitter)
{
	if (admitter->slots == 0)
		return NO_CAPACITY_WAIT_MS;
	return admitter->total.waiting_ms / admitter->slots +
	       slot_wait_ms(admitter);
}

/* Predicted wait for the queued work of the class, on the slots that it can
 * count on. */
static double class_wait_ms(const struct cf_admitter *admitter,
			    const struct admit_class *state)
{
	double slots;

	if (state == NULL || admitter->slots == 0)
		return total_wait_ms(admitter);
	slots = admit_share_slots(admitter->shares, admitter->n_shares,
				  &state->share, admitter->slots);
	return state->work.waiting_ms / MAX(slots, 1.0) +
	       slot_wait_ms(admitter);
}

/* Predicted time from start to end if the job has the whole capacity. */
static double service_time_ms(const struct cf_admitter *admitter,
			      const struct cf_admit_job *job)
{
	double spread_ms = (double)job->work_ms /
			   (admitter->slots > 0 ? admitter->slots : 1);

	return MAX((double)job->longest_ms, spread_ms);
}

/* Longest predicted wait at which a job of the class is accepted. */
static double wait_limit_ms(const struct admit_class *state, double service_ms)
{
	double target_ms = state != NULL ? state->class.target_ms
					 : DEFAULT_TARGET_MS;

	double fraction = state != NULL ? state->wait_fraction
					: ADMIT_WAIT_FRACTION_MAX;

	return MAX(target_ms - service_ms,
		   target_ms * LONG_TASK_WAIT_FRACTION) *
	       fraction;
}

/* ---- Quotas --------------------------------------------------------- */

/* Tells whether the team, with extra_ms of further work, exceeds its quota
 * while other teams wait. A team may borrow idle capacity. */
static bool over_quota(const struct cf_admitter *admitter,
		       const struct admit_team *team, double extra_ms)
{
	const struct admit_work *total = &admitter->total;
	double team_ms;
	double total_ms;

	if (team == NULL || admitter->slots == 0)
		return false;
	if ((total->waiting_ms - team->work.waiting_ms) / admitter->slots <
	    CONTENTION_WAIT_MS)
		return false;
	team_ms = team->work.waiting_ms + team->work.running_ms + extra_ms;
	total_ms = total->waiting_ms + total->running_ms + extra_ms;
	return team_ms * 1000 > total_ms * team->share_milli;
}

/* A team within its quota waits only for its own work. */
static double team_wait_ms(const struct cf_admitter *admitter,
			   const struct admit_team *team, double wait_ms)
{
	double slots;

	if (team == NULL || admitter->slots == 0)
		return wait_ms;
	slots = (double)team->share_milli * admitter->slots / 1000;
	return MIN(wait_ms, team->work.waiting_ms / MAX(slots, 1.0) +
				    slot_wait_ms(admitter));
}

/* ---- Decisions ------------------------------------------------------ */

/* Chooses the time after which a refused caller should retry. Refused work
 * is booked one job after the other at the rate of the capacity, so that
 * callers return over the time in which capacity becomes free. The jitter
 * separates callers that were refused at the same moment. */
static uint32_t choose_retry_after_ms(struct cf_admitter *admitter,
				      const struct cf_admit_job *job,
				      double wait_ms, int64_t now_ms)
{
	double slots = admitter->slots > 0 ? admitter->slots : 1;
	double free_at_ms = (double)now_ms + wait_ms;
	double latest_ms = (double)now_ms + RETRY_MAX_MS;
	double after_ms;

	admitter->retries_booked_until_ms =
		MAX(admitter->retries_booked_until_ms, free_at_ms);
	admitter->retries_booked_until_ms += job->work_ms / slots;
	admitter->retries_booked_until_ms =
		MIN(admitter->retries_booked_until_ms, latest_ms);
	after_ms = admitter->retries_booked_until_ms - (double)now_ms;
	after_ms = MAX(after_ms, RETRY_MIN_MS);
	return (uint32_t)(after_ms *
			  g_rand_double_range(admitter->random, 0.75, 1.5));
}

enum cf_admit cf_admitter_admit(struct cf_admitter *admitter,
				const struct cf_admit_job *job, int64_t now_ms,
				uint32_t *retry_after_ms)
{
	struct admit_class *state =
		g_hash_table_lookup(admitter->classes, job->class_name);
	struct admit_team *team = admit_find_team(admitter, job);
	double service_ms = service_time_ms(admitter, job);
	double queue_ms;
	double wait_ms;
	enum cf_admit verdict = CF_ADMIT_ACCEPTED;

	admit_step(admitter, now_ms);
	queue_ms = total_wait_ms(admitter);
	wait_ms = class_wait_ms(admitter, state);
	wait_ms = MIN(wait_ms, queue_ms * CLASS_WAIT_MAX_FACTOR);
	wait_ms = team_wait_ms(admitter, team, wait_ms);
	*retry_after_ms = 0;
	if (state != NULL)
		state->share.requested_ms += job->work_ms;
	if (admitter->slots == 0 ||
	    wait_ms > wait_limit_ms(state, service_ms) ||
	    over_quota(admitter, team, job->work_ms))
		verdict = CF_ADMIT_OVERLOADED;
	if (job->deadline_ms > 0 && wait_ms + service_ms > job->deadline_ms)
		verdict = CF_ADMIT_PAST_DEADLINE;
	if (verdict != CF_ADMIT_ACCEPTED) {
		*retry_after_ms =
			choose_retry_after_ms(admitter, job, queue_ms, now_ms);
		if (state != NULL && wait_ms > 0)
			admit_share_count(&state->share, 1);
		return verdict;
	}
	admit_work_add_waiting(&admitter->total, job);
	if (state != NULL)
		admit_work_add_waiting(&state->work, job);
	if (team != NULL)
		admit_work_add_waiting(&team->work, job);
	return CF_ADMIT_ACCEPTED;
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
	admit_work_end(&admitter->total, job, was_started);
	if (team != NULL)
		admit_work_end(&team->work, job, was_started);
	if (state == NULL)
		return;
	admit_work_end(&state->work, job, was_started);
	late = response_ms > state->class.target_ms;
	admit_share_count(&state->share, !ok || late);
	/* The wait or the run time was longer than predicted: accept less
	 * waiting for the next jobs. */
	if (was_started && ok && late && total_wait_ms(admitter) > 0)
		state->wait_fraction =
			MAX(state->wait_fraction - WAIT_FRACTION_STEP,
			    ADMIT_WAIT_FRACTION_MIN);
}

uint32_t cf_admitter_share_milli(const struct cf_admitter *admitter,
				 const char *class_name)
{
	const struct admit_class *state =
		g_hash_table_lookup(admitter->classes, class_name);

	return state != NULL ? (uint32_t)(state->share.share * 1000 + 0.5) : 0;
}

/* ---- Order ---------------------------------------------------------- */

/* Under overload, raises the priority of classes that use less than their
 * share of the slots and lowers that of classes that use more. */
static double share_correction_ms(const struct cf_admitter *admitter,
				  const struct admit_class *state)
{
	double fraction;
	double deficit;

	if (state == NULL || admitter->total.running_tasks == 0)
		return 0;
	fraction = (double)state->work.running_tasks /
		   admitter->total.running_tasks;
	deficit = 1 - fraction / MAX(state->share.share, 0.001);
	return -SHARE_CORRECTION_MS * admitter->overload * MAX(deficit, -1.0);
}

int64_t cf_admitter_order_key(const struct cf_admitter *admitter,
			      const struct cf_admit_job *job,
			      int64_t arrived_ms, int64_t now_ms)
{
	const struct admit_class *state =
		g_hash_table_lookup(admitter->classes, job->class_name);
	double target_ms = state != NULL ? state->class.target_ms
					 : DEFAULT_TARGET_MS;
	double waited_ms = (double)(now_ms - arrived_ms);
	double service_ms = service_time_ms(admitter, job);
	double slack_ms;
	double correction_ms;

	if (job->deadline_ms > 0)
		target_ms = MIN(target_ms, (double)job->deadline_ms);
	slack_ms = target_ms - waited_ms - service_ms;
	correction_ms = share_correction_ms(admitter, state);
	if (over_quota(admitter, admit_find_team(admitter, job), 0))
		correction_ms += target_ms;
	if (slack_ms >= 0)
		return (int64_t)(slack_ms + correction_ms);
	return (int64_t)(LATE_PENALTY_TARGETS * target_ms + service_ms -
			 AGING_RATE * waited_ms + correction_ms);
}
