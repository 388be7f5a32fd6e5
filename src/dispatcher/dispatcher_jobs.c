/*
 * dispatcher_jobs: lifecycle of a job from submission to answer. Loop thread
 * only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/trace_file.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

/* Wait for agents' answers to a cancellation. */
#define FENCE_TIMEOUT_MS 250
/* Retry-After of answers for which no better estimate exists. */
#define RETRY_AFTER_MS 250
#define STATUS_INVALID 400
#define STATUS_CANCELLED 409

/* ---- Table of jobs ---- */

struct dispatcher_job *jobs_find(struct dispatcher *d, const struct cf_key *key)
{
	return g_hash_table_lookup(d->jobs, key);
}

void jobs_free(gpointer data)
{
	struct dispatcher_job *j = data;

	request_free(j->request);
	cf_job_destroy(j->job);
	cf_ballot_destroy(j->ballot);
	adopt_free(j->adoption);
	g_array_free(j->waiters, TRUE);
	g_array_free(j->prior_owners, TRUE);
	g_array_free(j->refusals, TRUE);
	if (j->answer.body)
		g_bytes_unref(j->answer.body);
	g_free(j);
}

static struct dispatcher_job *
add_job(struct dispatcher *d, struct job_request *request, int64_t now_ms)
{
	struct dispatcher_job *j = g_new0(struct dispatcher_job, 1);

	j->key = request->key;
	j->number = ++d->next_number;
	j->request = request;
	j->body_hash = request->body_hash;
	j->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	j->prior_owners = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	j->refusals = g_array_new(FALSE, FALSE, sizeof(struct refusal));
	j->arrived_ms = now_ms;
	j->deadline_ms = now_ms + request->deadline_ms;
	j->job = cf_job_create(&j->key, j->number, request->tasks->len);
	g_hash_table_insert(d->jobs, &j->key, j);
	g_ptr_array_add(d->active, j);
	counter_add(d->counters.jobs, 1);
	return j;
}

/* ---- End of a job ---- */

static void answer_waiters(struct dispatcher *d, struct dispatcher_job *j)
{
	guint i;

	for (i = 0; i < j->waiters->len; i++)
		answer_send(d, &g_array_index(j->waiters, struct waiter, i),
			    &j->answer);
	g_array_set_size(j->waiters, 0);
}

static void count_answer(struct dispatcher *d, struct dispatcher_job *j,
			 enum cf_job_answer outcome, const char *reason,
			 int64_t now_ms)
{
	bool ok = outcome == CF_ANSWER_COMPLETE;
	bool by_caller = !ok && (j->answer.status == STATUS_INVALID ||
				 j->answer.status == STATUS_CANCELLED);
	uint32_t response_ms = (uint32_t)(now_ms - j->arrived_ms);
	char key[CF_KEY_TEXT_SIZE];

	cf_key_format(&j->key, key);
	trace_event("answer",
		    "key=%s job=%" PRIu64 " outcome=%s ran=%s reason=%s", key,
		    j->number, ok ? "complete" : "failed",
		    ok                             ? "all"
		    : outcome == CF_ANSWER_NOT_RUN ? "none"
						   : "unknown",
		    reason);
	counter_add(ok                             ? d->counters.complete
		    : outcome == CF_ANSWER_NOT_RUN ? d->counters.not_run
						   : d->counters.failed,
		    1);
	/* Cancelled and invalid requests do not consume the error budget. */
	if (by_caller)
		response_ms = 0;
	else if (outcome == CF_ANSWER_NOT_RUN)
		cf_burn_refuse(d->burn, j->request->class_name, reason, now_ms);
	else
		cf_burn_record(d->burn, j->request->class_name, response_ms, ok,
			       now_ms);
	if (j->admitted)
		cf_admitter_ended(d->admitter, &j->admit, j->started,
				  ok || by_caller, response_ms, now_ms);
	j->admitted = false;
}

/* Frees the job's state except its answer and cancels tasks that still run,
 * since nothing reads their results any more. */
static void release_job(struct dispatcher *d, struct dispatcher_job *j)
{
	place_remove(d, j);
	/* A stopping job has already cancelled its tasks at the agents. */
	if (cf_job_pending_count(j->job) && j->phase != JOB_PHASE_STOPPING)
		settle_send_cancel(d, j);
	agents_release_job(d, j);
	g_ptr_array_remove_fast(d->active, j);
	j->phase = JOB_PHASE_ENDED;
	request_free(j->request);
	j->request = NULL;
	cf_job_destroy(j->job);
	j->job = NULL;
	claim_discard(d, j);
	adopt_free(j->adoption);
	j->adoption = NULL;
}

void jobs_finish(struct dispatcher *d, struct dispatcher_job *j,
		 uint32_t status, enum cf_job_answer outcome,
		 const char *reason, const char *message,
		 uint32_t retry_after_ms)
{
	int64_t now_ms = clock_now_ms();

	/* Without a lease, another dispatcher may have adopted the key. */
	if (outcome == CF_ANSWER_NOT_RUN && j->owned &&
	    !session_lease_held(d->session, now_ms)) {
		outcome = CF_ANSWER_UNKNOWN;
		message = "the lease ran out; another may have run the key";
	}
	j->answer.status = status;
	j->answer.retry_after_ms = retry_after_ms;
	j->answer.ran_none = outcome == CF_ANSWER_NOT_RUN;
	j->answer.body =
		answer_body(j, outcome, reason, message, retry_after_ms);
	count_answer(d, j, outcome, reason, now_ms);
	release_job(d, j);
	answer_waiters(d, j);
	/* Without the claim this is not the final answer for the key, so it is
	 * not kept for resubmissions. */
	if (j->owned)
		memory_add(d, j, now_ms);
	else
		memory_drop(d, j);
}

void jobs_finish_forwarded(struct dispatcher *d, struct dispatcher_job *j,
			   uint32_t status, uint32_t retry_after_ms,
			   const void *body, size_t size)
{
	j->answer.status = status;
	j->answer.retry_after_ms = retry_after_ms;
	j->answer.body = g_bytes_new(body, size);
	release_job(d, j);
	answer_waiters(d, j);
	memory_drop(d, j);
}

static uint32_t status_from_outcome(enum cf_job_answer outcome,
				    const struct dispatcher_job *j)
{
	switch (outcome) {
	case CF_ANSWER_COMPLETE:
		return 200;
	case CF_ANSWER_FAILED:
		return 502;
	case CF_ANSWER_NONE:
	case CF_ANSWER_NOT_RUN:
	case CF_ANSWER_UNKNOWN:
		break;
	}
	return j->stop_status ? j->stop_status : 503;
}

void jobs_finish_if_ended(struct dispatcher *d, struct dispatcher_job *j)
{
	const char *message = NULL;
	enum cf_job_answer outcome = cf_job_answer(j->job, &message);
	const char *reason = j->stop_reason ? j->stop_reason : "lost";

	if (outcome == CF_ANSWER_NONE)
		return;
	if (outcome == CF_ANSWER_COMPLETE)
		reason = "complete";
	else if (outcome == CF_ANSWER_FAILED)
		reason = "task-failed";
	jobs_finish(d, j, status_from_outcome(outcome, j), outcome, reason,
		    message, outcome == CF_ANSWER_NOT_RUN ? RETRY_AFTER_MS : 0);
}

void jobs_stop(struct dispatcher *d, struct dispatcher_job *j, uint32_t status,
	       const char *reason)
{
	if (j->phase == JOB_PHASE_STOPPING)
		return;
	j->stop_status = status;
	j->stop_reason = reason;
	j->stop_ms = clock_now_ms();
	/* Without the claim, another attempt may be running elsewhere. Until an
	 * adoption completes, tasks of an earlier owner may be running. */
	if (!j->owned || j->adoption) {
		jobs_finish(d, j, status, CF_ANSWER_UNKNOWN, reason,
			    "whether it ran is not known here", RETRY_AFTER_MS);
		return;
	}
	j->phase = JOB_PHASE_STOPPING;
	place_remove(d, j);
	cf_job_stop(j->job, reason);
	settle_send_cancel(d, j);
	jobs_finish_if_ended(d, j);
}

/* ---- Submission ---- */

static void add_waiter(struct dispatcher_job *j, const struct waiter *waiter)
{
	g_array_append_val(j->waiters, *waiter);
}

/* Sends the stored answer. "Not run" is certain only while this dispatcher
 * holds its lease, since another could have adopted the key after its end. */
static void send_remembered_answer(struct dispatcher *d,
				   struct dispatcher_job *j,
				   const struct waiter *waiter)
{
	if (!j->answer.ran_none ||
	    session_lease_held(d->session, clock_now_ms()))
		answer_send(d, waiter, &j->answer);
	else
		answer_failed(d, waiter, 503, CF_ANSWER_UNKNOWN, "no-lease",
			      "the lease ran out; another may have run the key",
			      RETRY_AFTER_MS);
}

static void resubmit(struct dispatcher *d, struct dispatcher_job *j,
		     struct job_request *request, const struct waiter *waiter)
{
	counter_add(d->counters.resubmitted, 1);
	if (j->body_hash != request->body_hash)
		answer_failed(d, waiter, 409, CF_ANSWER_NOT_RUN, "key-reused",
			      "Idempotency-Key was used with another body", 0);
	else if (j->phase == JOB_PHASE_ENDED)
		send_remembered_answer(d, j, waiter);
	else if (j->phase == JOB_PHASE_FORWARDED && waiter->peer)
		answer_failed(d, waiter, 503, CF_ANSWER_UNKNOWN, "no-claim",
			      "votes name another owner here", RETRY_AFTER_MS);
	else
		add_waiter(j, waiter);
	request_free(request);
}

static void trace_submit(const struct dispatcher_job *j)
{
	char key[CF_KEY_TEXT_SIZE];

	cf_key_format(&j->key, key);
	trace_event("submit", "key=%s job=%" PRIu64 " tasks=%u class=%s", key,
		    j->number, j->request->tasks->len, j->request->class_name);
}

static void begin_job(struct dispatcher *d, struct dispatcher_job *j)
{
	int64_t now_ms = clock_now_ms();
	uint32_t max = (uint32_t)settings_number(d->settings, "jobs-max");

	trace_submit(j);
	/* Clocks may differ by CF_CLOCK_SKEW_MS, and voters accept keys that
	 * are ahead of their clocks by the same amount. A key that is ahead by
	 * at most the sum may have run. */
	if (cf_key_time_ms(&j->key) > clock_wall_ms() + 2 * CF_CLOCK_SKEW_MS) {
		jobs_finish(d, j, STATUS_INVALID, CF_ANSWER_NOT_RUN, "key-time",
			    "the time in Idempotency-Key lies ahead", 0);
		return;
	}
	if (memory_answer_dropped(d, &j->key)) {
		jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "forgotten",
			    "the key ran here, and its answer is forgotten", 0);
		return;
	}
	if (d->active->len > max) {
		jobs_finish(d, j, 429, CF_ANSWER_UNKNOWN, "busy",
			    "not taken here; whether the key ran elsewhere "
			    "is not known",
			    RETRY_AFTER_MS);
		return;
	}
	if (!session_lease_held(d->session, now_ms)) {
		claim_wait_for_lease(d, j, now_ms);
		return;
	}
	claim_begin(d, j);
	if (d->claim_along) {
		j->gated = true;
		/* Placement orders the job among the waiting jobs before
		 * admission. */
		j->admit.class_name = j->request->class_name;
		j->admit.team = j->request->team;
		place_predict(d, j);
		place_add(d, j);
	}
}

void jobs_submit(struct dispatcher *d, struct job_request *request,
		 const struct waiter *waiter)
{
	struct dispatcher_job *j = jobs_find(d, &request->key);
	bool owned = false;

	if (j && j->phase == JOB_PHASE_ENDED && j->answer.ran_none &&
	    j->body_hash == request->body_hash &&
	    session_lease_held(d->session, clock_now_ms())) {
		/* This dispatcher still holds the claim and no task ran, so the
		 * job may run now. */
		owned = true;
		memory_drop(d, j);
		j = NULL;
	}
	if (j) {
		resubmit(d, j, request, waiter);
		return;
	}
	j = add_job(d, request, clock_now_ms());
	add_waiter(j, waiter);
	if (!owned) {
		begin_job(d, j);
		return;
	}
	trace_submit(j);
	j->owned = true;
	jobs_admit(d, j);
}

/* Answers "not run", unless tasks may have run because they were sent with the
 * claim or run by an earlier owner. */
static void refuse_job(struct dispatcher *d, struct dispatcher_job *j,
		       uint32_t status, const char *reason, const char *message,
		       uint32_t retry_after_ms)
{
	cf_job_stop(j->job, reason);
	if (cf_job_answer(j->job, NULL) == CF_ANSWER_NOT_RUN)
		jobs_finish(d, j, status, CF_ANSWER_NOT_RUN, reason, message,
			    retry_after_ms);
	else
		jobs_stop(d, j, status, reason);
}

/* Counts tasks that were sent to agents before the claim was decided. */
static void count_tasks_already_sent(struct dispatcher *d,
				     struct dispatcher_job *j)
{
	guint i;

	for (i = 0; i < j->request->tasks->len; i++) {
		struct task_spec *task =
			&g_array_index(j->request->tasks, struct task_spec, i);

		if (task->sent_ms)
			agents_count_placed(d, j, task);
	}
}

void jobs_admit(struct dispatcher *d, struct dispatcher_job *j)
{
	int64_t now_ms = clock_now_ms();
	uint32_t retry_after_ms = 0;
	enum cf_admit admit;

	place_predict(d, j);
	if (!place_ever_fits(d, j)) {
		refuse_job(d, j, STATUS_INVALID, "never-fits",
			   "a task needs more than any worker has", 0);
		return;
	}
	admit = cf_admitter_admit(d->admitter, &j->admit, now_ms,
				  &retry_after_ms);
	if (admit == CF_ADMIT_ACCEPTED) {
		j->admitted = true;
		count_tasks_already_sent(d, j);
		cf_retry_budget_earn(d->retries);
		place_add(d, j);
		return;
	}
	if (admit == CF_ADMIT_PAST_DEADLINE)
		refuse_job(d, j, 503, "late",
			   "it cannot meet its deadline just now",
			   MAX(retry_after_ms, 1));
	else
		refuse_job(d, j, 429, "overloaded",
			   "its class or team is over its share",
			   MAX(retry_after_ms, 1));
}

/* ---- Cancellation and lookup ---- */

static void answer_pending(struct dispatcher *d, const struct waiter *waiter)
{
	static const char text[] = "{\"outcome\":\"pending\"}";
	struct answer answer = { .status = 202 };

	answer.body = g_bytes_new_static(text, sizeof(text) - 1);
	answer_send(d, waiter, &answer);
	g_bytes_unref(answer.body);
}

static void answer_unknown_key(struct dispatcher *d,
			       const struct waiter *waiter)
{
	answer_failed(d, waiter, 404, CF_ANSWER_UNKNOWN, "unknown-key",
		      "no dispatcher remembers this key", 0);
}

void jobs_cancel(struct dispatcher *d, const struct cf_key *key,
		 const struct waiter *waiter)
{
	struct dispatcher_job *j = jobs_find(d, key);

	if (!j || j->phase == JOB_PHASE_FORWARDED) {
		if (waiter->peer || !peer_query_all(d, key, 1, waiter))
			answer_unknown_key(d, waiter);
		return;
	}
	if (j->phase == JOB_PHASE_ENDED) {
		send_remembered_answer(d, j, waiter);
		return;
	}
	add_waiter(j, waiter);
	jobs_stop(d, j, STATUS_CANCELLED, "cancelled");
}

void jobs_look_up(struct dispatcher *d, const struct cf_key *key,
		  const struct waiter *waiter)
{
	struct dispatcher_job *j = jobs_find(d, key);

	if (j && j->phase == JOB_PHASE_ENDED)
		send_remembered_answer(d, j, waiter);
	else if (j)
		answer_pending(d, waiter);
	else if (waiter->peer || !peer_query_all(d, key, 2, waiter))
		answer_unknown_key(d, waiter);
}

/* ---- Timer ---- */

static void tick_job(struct dispatcher *d, struct dispatcher_job *j,
		     int64_t now_ms)
{
	uint64_t agents[256];
	size_t n;

	if (j->phase == JOB_PHASE_STOPPING) {
		if (now_ms - j->stop_ms < FENCE_TIMEOUT_MS)
			return;
		n = cf_job_agents(j->job, agents, 256);
		while (n)
			cf_job_lose_agent(j->job, agents[--n]);
		jobs_finish_if_ended(d, j);
		return;
	}
	if (now_ms >= j->deadline_ms) {
		jobs_stop(d, j, 504, "deadline");
		return;
	}
	agents_report_overdue(d, j, now_ms);
	if (j->phase == JOB_PHASE_CLAIMING)
		claim_tick(d, j, now_ms);
	else if (j->phase == JOB_PHASE_ADOPTING)
		adopt_tick(d, j, now_ms);
	else if (j->phase == JOB_PHASE_FORWARDED)
		peer_forward_tick(d, j, now_ms);
}

void jobs_tick(struct dispatcher *d, int64_t now_ms)
{
	guint i = d->active->len;

	/* Iterates from the end, since a job that ends is removed from the
	 * array. */
	while (i--)
		if (i < d->active->len)
			tick_job(d, d->active->pdata[i], now_ms);
	memory_tick(d, now_ms);
	gauge_set(d->counters.in_progress, d->active->len);
	gauge_set(d->counters.waiting, d->waiting->len);
}
