/*
 * dispatcher_jobs: a job from its submission to its answer, and answers
 * kept for resubmissions. Loop thread only.
 */
#include "roles/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/trace_file.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

#define FENCE_WAIT_MS 250 /* for agents' answers to a cancellation */
#define RETRY_AFTER_MS 250 /* where nothing better is known */
#define STATUS_INVALID 400
#define STATUS_CANCELLED 409
#define JOB_MEMORY_BYTES 512 /* of a remembered job besides its answer */

/* ---- Table of jobs ---- */

struct djob *jobs_find(struct dispatcher *d, const struct cf_key *key)
{
	return g_hash_table_lookup(d->jobs, key);
}

void jobs_free(gpointer data)
{
	struct djob *j = data;

	request_free(j->request);
	cf_job_destroy(j->job);
	cf_ballot_destroy(j->ballot);
	adopt_free(j->adoption);
	g_array_free(j->waiters, TRUE);
	g_array_free(j->owners, TRUE);
	g_array_free(j->refused_by, TRUE);
	if (j->answer.body)
		g_bytes_unref(j->answer.body);
	g_free(j);
}

static struct djob *add_job(struct dispatcher *d, struct job_request *request,
			    int64_t now_ms)
{
	struct djob *j = g_new0(struct djob, 1);

	j->key = request->key;
	j->number = ++d->next_number;
	j->request = request;
	j->body_hash = request->body_hash;
	j->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	j->owners = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	j->refused_by = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	j->arrived_ms = now_ms;
	j->deadline_ms = now_ms + request->deadline_ms;
	j->job = cf_job_create(&j->key, j->number, request->tasks->len);
	g_hash_table_insert(d->jobs, &j->key, j);
	g_ptr_array_add(d->active, j);
	counter_add(d->counters.jobs, 1);
	return j;
}

/* Voters would vote for this dispatcher again: it must know itself that
 * the key ran here once its answer is gone. */
static void note_forgotten(struct dispatcher *d, struct djob *j)
{
	struct cf_claim claim = { j->key, 0, d->incarnation, 0 };
	uint64_t owner;

	cf_ledger_vote(d->forgotten, &claim, true, false, clock_wall_ms(),
		       &owner);
}

static bool was_forgotten(struct dispatcher *d, const struct cf_key *key)
{
	struct cf_claim claim = { *key, 0, d->incarnation, 0 };
	uint64_t owner = 0;

	cf_ledger_vote(d->forgotten, &claim, false, false, clock_wall_ms(),
		       &owner);
	return owner != 0;
}

/* Drops an ended job; its key is free for another attempt. */
static void forget(struct dispatcher *d, struct djob *j)
{
	if (j->owned && !j->answer.ran_none)
		note_forgotten(d, j);
	if (j->memory) {
		d->memory_bytes -=
			JOB_MEMORY_BYTES + g_bytes_get_size(j->answer.body);
		g_queue_delete_link(d->memory, j->memory);
	}
	g_hash_table_remove(d->jobs, &j->key);
	jobs_free(j);
}

static void remember(struct dispatcher *d, struct djob *j, int64_t now_ms)
{
	uint64_t max = (uint64_t)settings_number(d->settings, "remember-bytes");

	j->ended_ms = now_ms;
	g_queue_push_tail(d->memory, j);
	j->memory = g_queue_peek_tail_link(d->memory);
	d->memory_bytes += JOB_MEMORY_BYTES + g_bytes_get_size(j->answer.body);
	while (d->memory_bytes > max && d->memory->length > 1) {
		counter_add(d->counters.forgotten, 1);
		forget(d, g_queue_peek_head(d->memory));
	}
}

static void expire_memory(struct dispatcher *d, int64_t now_ms)
{
	int64_t keep_ms = settings_number(d->settings, "remember-ms");
	struct djob *oldest;

	while ((oldest = g_queue_peek_head(d->memory)) &&
	       now_ms - oldest->ended_ms > keep_ms)
		forget(d, oldest);
}

/* ---- End of a job ---- */

static void answer_waiters(struct dispatcher *d, struct djob *j)
{
	guint i;

	for (i = 0; i < j->waiters->len; i++)
		answer_send(d, &g_array_index(j->waiters, struct waiter, i),
			    &j->answer);
	g_array_set_size(j->waiters, 0);
}

static void count_answer(struct dispatcher *d, struct djob *j,
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
	/* What the caller asked for or got wrong spends no error budget. */
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

/* Whatever still runs for the job has no reader any more. */
static void release(struct dispatcher *d, struct djob *j)
{
	place_remove(d, j);
	if (cf_job_unsettled(j->job))
		settle_cancel(d, j);
	agents_release_job(d, j);
	g_ptr_array_remove_fast(d->active, j);
	j->phase = DJOB_ENDED;
	request_free(j->request);
	j->request = NULL;
	cf_job_destroy(j->job);
	j->job = NULL;
	claim_forget(d, j);
	adopt_free(j->adoption);
	j->adoption = NULL;
}

void jobs_finish(struct dispatcher *d, struct djob *j, uint32_t status,
		 enum cf_job_answer outcome, const char *reason,
		 const char *message, uint32_t retry_after_ms)
{
	int64_t now_ms = clock_now_ms();

	j->answer.status = status;
	j->answer.retry_after_ms = retry_after_ms;
	j->answer.ran_none = outcome == CF_ANSWER_NOT_RUN;
	j->answer.body =
		answer_body(j, outcome, reason, message, retry_after_ms);
	count_answer(d, j, outcome, reason, now_ms);
	release(d, j);
	answer_waiters(d, j);
	/* Without the claim this is not the key's answer, only ours. */
	if (j->owned)
		remember(d, j, now_ms);
	else
		forget(d, j);
}

void jobs_finish_raw(struct dispatcher *d, struct djob *j, uint32_t status,
		     uint32_t retry_after_ms, const void *body, size_t size)
{
	j->answer.status = status;
	j->answer.retry_after_ms = retry_after_ms;
	j->answer.body = g_bytes_new(body, size);
	release(d, j);
	answer_waiters(d, j);
	forget(d, j);
}

static uint32_t status_of(enum cf_job_answer outcome, const struct djob *j)
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

void jobs_check(struct dispatcher *d, struct djob *j)
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
	jobs_finish(d, j, status_of(outcome, j), outcome, reason, message,
		    outcome == CF_ANSWER_NOT_RUN ? RETRY_AFTER_MS : 0);
}

void jobs_stop(struct dispatcher *d, struct djob *j, uint32_t status,
	       const char *reason)
{
	if (j->phase == DJOB_STOPPING)
		return;
	j->stop_status = status;
	j->stop_reason = reason;
	j->stop_ms = clock_now_ms();
	/* Without the claim another attempt may be running elsewhere, and
	 * until an adoption is done an earlier owner's tasks may be. */
	if (!j->owned || j->adoption) {
		jobs_finish(d, j, status, CF_ANSWER_UNKNOWN, reason,
			    "whether it ran is not known here", RETRY_AFTER_MS);
		return;
	}
	j->phase = DJOB_STOPPING;
	place_remove(d, j);
	cf_job_stop(j->job, reason);
	settle_cancel(d, j);
	jobs_check(d, j);
}

/* ---- Submission ---- */

static void wait_for(struct djob *j, const struct waiter *waiter)
{
	g_array_append_val(j->waiters, *waiter);
}

/* An answer that is no job's: the key is in use with another body. */
static void answer_reused(struct dispatcher *d, const struct waiter *waiter)
{
	struct answer answer = { .status = 409 };

	answer.body = answer_body(NULL, CF_ANSWER_NOT_RUN, "key-reused",
				  "Idempotency-Key was used with another body",
				  0);
	answer_send(d, waiter, &answer);
	g_bytes_unref(answer.body);
}

static void resubmit(struct dispatcher *d, struct djob *j,
		     struct job_request *request, const struct waiter *waiter)
{
	counter_add(d->counters.resubmitted, 1);
	if (j->body_hash != request->body_hash)
		answer_reused(d, waiter);
	else if (j->phase == DJOB_ENDED)
		answer_send(d, waiter, &j->answer);
	else
		wait_for(j, waiter);
	request_free(request);
}

static void trace_submit(const struct djob *j)
{
	char key[CF_KEY_TEXT_SIZE];

	cf_key_format(&j->key, key);
	trace_event("submit", "key=%s job=%" PRIu64 " tasks=%u class=%s", key,
		    j->number, j->request->tasks->len, j->request->class_name);
}

static void begin(struct dispatcher *d, struct djob *j)
{
	int64_t now_ms = clock_now_ms();
	uint32_t max = (uint32_t)settings_number(d->settings, "jobs-max");

	trace_submit(j);
	if (cf_key_time_ms(&j->key) > clock_wall_ms() + CF_CLOCK_SKEW_MS) {
		jobs_finish(d, j, STATUS_INVALID, CF_ANSWER_NOT_RUN, "key-time",
			    "the time in Idempotency-Key lies ahead", 0);
		return;
	}
	if (was_forgotten(d, &j->key)) {
		jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "forgotten",
			    "the key ran here, and its answer is forgotten", 0);
		return;
	}
	if (d->active->len > max || !session_held(d->session, now_ms)) {
		bool full = d->active->len > max;

		jobs_finish(d, j, full ? 429 : 503, CF_ANSWER_UNKNOWN,
			    full ? "busy" : "no-lease",
			    "not taken here; whether the key ran elsewhere "
			    "is not known",
			    RETRY_AFTER_MS);
		return;
	}
	claim_begin(d, j);
	if (d->along) {
		j->gated = true;
		place_predict(d, j);
		place_add(d, j);
	}
}

void jobs_submit(struct dispatcher *d, struct job_request *request,
		 const struct waiter *waiter)
{
	struct djob *j = jobs_find(d, &request->key);
	bool owned = false;

	if (j && j->phase == DJOB_ENDED && j->answer.ran_none &&
	    j->body_hash == request->body_hash) {
		/* The claim is ours still, and nothing ran: try again. */
		owned = true;
		forget(d, j);
		j = NULL;
	}
	if (j) {
		resubmit(d, j, request, waiter);
		return;
	}
	j = add_job(d, request, clock_now_ms());
	wait_for(j, waiter);
	if (!owned) {
		begin(d, j);
		return;
	}
	trace_submit(j);
	j->owned = true;
	jobs_admit(d, j);
}

static void fill_admit(struct djob *j)
{
	struct cf_admit_job *admit = &j->admit;
	GArray *tasks = j->request->tasks;
	guint i;

	admit->class_name = j->request->class_name;
	admit->team = j->request->team;
	admit->n_tasks = tasks->len;
	admit->longest_ms = 0;
	admit->work_ms = 0;
	for (i = 0; i < tasks->len; i++) {
		uint32_t ms =
			g_array_index(tasks, struct task_spec, i).predicted_ms;

		admit->longest_ms = MAX(admit->longest_ms, ms);
		admit->work_ms += ms;
	}
	admit->deadline_ms = (uint32_t)(j->deadline_ms - j->arrived_ms);
}

/* Tasks may travel while the claim is decided. */
static void count_sent_before(struct dispatcher *d, struct djob *j)
{
	guint i;

	for (i = 0; i < j->request->tasks->len; i++) {
		struct task_spec *task =
			&g_array_index(j->request->tasks, struct task_spec, i);

		if (task->sent_ms)
			agents_count_placed(d, j, task);
	}
}

void jobs_admit(struct dispatcher *d, struct djob *j)
{
	int64_t now_ms = clock_now_ms();
	uint32_t retry_after_ms = 0;
	enum cf_admit admit;

	place_predict(d, j);
	fill_admit(j);
	if (!place_ever_fits(d, j)) {
		jobs_finish(d, j, STATUS_INVALID, CF_ANSWER_NOT_RUN,
			    "never-fits",
			    "a task needs more than any worker has", 0);
		return;
	}
	admit = cf_admitter_ask(d->admitter, &j->admit, now_ms,
				&retry_after_ms);
	if (admit == CF_ADMIT_RUN) {
		j->admitted = true;
		count_sent_before(d, j);
		cf_retry_budget_earn(d->retries);
		place_add(d, j);
		return;
	}
	if (cf_job_unsettled(j->job)) {
		jobs_stop(d, j, 503, "overloaded");
		return;
	}
	jobs_finish(d, j, admit == CF_ADMIT_LATE ? 503 : 429, CF_ANSWER_NOT_RUN,
		    admit == CF_ADMIT_LATE ? "late" : "overloaded",
		    admit == CF_ADMIT_LATE
			    ? "it cannot meet its deadline just now"
			    : "its class or team is over its share",
		    MAX(retry_after_ms, 1));
}

/* ---- Cancellation and look-up ---- */

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
	struct answer answer = { .status = 404 };

	answer.body = answer_body(NULL, CF_ANSWER_UNKNOWN, "unknown-key",
				  "no dispatcher remembers this key", 0);
	answer_send(d, waiter, &answer);
	g_bytes_unref(answer.body);
}

void jobs_cancel(struct dispatcher *d, const struct cf_key *key,
		 const struct waiter *waiter)
{
	struct djob *j = jobs_find(d, key);

	if (!j || j->phase == DJOB_FORWARDED) {
		if (waiter->peer || !peer_ask_all(d, key, 1, waiter))
			answer_unknown_key(d, waiter);
		return;
	}
	if (j->phase == DJOB_ENDED) {
		answer_send(d, waiter, &j->answer);
		return;
	}
	wait_for(j, waiter);
	jobs_stop(d, j, STATUS_CANCELLED, "cancelled");
}

void jobs_look_up(struct dispatcher *d, const struct cf_key *key,
		  const struct waiter *waiter)
{
	struct djob *j = jobs_find(d, key);

	if (j && j->phase == DJOB_ENDED)
		answer_send(d, waiter, &j->answer);
	else if (j)
		answer_pending(d, waiter);
	else if (waiter->peer || !peer_ask_all(d, key, 2, waiter))
		answer_unknown_key(d, waiter);
}

/* ---- Time ---- */

static void tick_job(struct dispatcher *d, struct djob *j, int64_t now_ms)
{
	uint64_t agents[256];
	size_t n;

	if (j->phase == DJOB_STOPPING) {
		if (now_ms - j->stop_ms < FENCE_WAIT_MS)
			return;
		n = cf_job_agents(j->job, agents, 256);
		while (n)
			cf_job_lose_agent(j->job, agents[--n]);
		jobs_check(d, j);
		return;
	}
	if (now_ms >= j->deadline_ms) {
		jobs_stop(d, j, 504, "deadline");
		return;
	}
	agents_find_overdue(d, j, now_ms);
	if (j->phase == DJOB_CLAIMING)
		claim_tick(d, j, now_ms);
	else if (j->phase == DJOB_ADOPTING)
		adopt_tick(d, j, now_ms);
}

void jobs_tick(struct dispatcher *d, int64_t now_ms)
{
	guint i = d->active->len;

	/* From the end, since a job that ends leaves the array. */
	while (i--)
		if (i < d->active->len)
			tick_job(d, d->active->pdata[i], now_ms);
	expire_memory(d, now_ms);
	cf_ledger_expire(d->forgotten, clock_wall_ms());
	gauge_set(d->counters.in_progress, d->active->len);
	gauge_set(d->counters.waiting, d->waiting->len);
}
