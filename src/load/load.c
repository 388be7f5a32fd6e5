/*
 * load: open-loop load generator. It sends jobs at their planned times,
 * independent of the answers, and checks each answer. A separate thread
 * sleeps until the next planned arrival; answers are handled on the event
 * loop's thread. Response times are measured from the planned arrival, so
 * they include delays of the tool itself.
 */
#include "load/load_internal.h"

#include "base/clock.h"
#include "base/logger.h"
#include "base/trace_file.h"
#include "net/http_client.h"
#include "roles/role.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000
#define DEFAULT_DEADLINE_MS 30000
#define ANSWER_GRACE_MS 15000 /* wait for an answer after the deadline */
#define RESENDS_MAX 2 /* of a request that got no answer */
/* "direct" in ASCII; gives the baseline a random sequence of its own. */
#define DIRECT_SEED 0x64697265637400ULL
#define EXIT_WRONG_ANSWERS 1

/* ---- Types ---- */

struct load {
	const struct settings *settings;
	char **dispatchers;
	guint n_dispatchers;
	struct loop *loop;
	struct http_client *client;
	struct load_plan *plan;
	struct load_plan *direct_plan; /* NULL: no baseline */
	/* The sending thread counts jobs and tasks; all else in the report
	 * belongs to the loop thread during a run. */
	struct load_report *report;
	int64_t start_us;
	atomic_int n_active; /* pending jobs, plus 1 for the sending thread */
	_Atomic int64_t late_max_us;
	guint next_dispatcher; /* round robin, used by the sending thread */
};

/* A job that was sent and whose answers have not all arrived. */
struct pending_job {
	struct load *load;
	struct load_job *job;
	struct loop_timer *resubmit_timer; /* NULL: not resubmitted */
	int answers_pending;
	bool has_first_answer;
	struct load_verdict first_answer;
};

/* One request of a job: the original one or its resubmission. */
struct request {
	struct pending_job *pending_job;
	bool is_resubmission;
	guint dispatcher;
	guint consecutive_refusals; /* refused connections */
	guint resends;
};

/* ---- Completion ---- */

/* Stops the loop when no job is pending and the sending thread is done. */
static void release_active(struct load *load)
{
	if (atomic_fetch_sub(&load->n_active, 1) == 1)
		loop_stop(load->loop);
}

static void finish_job(struct pending_job *pending_job)
{
	struct load *load = pending_job->load;

	loop_timer_destroy(pending_job->resubmit_timer);
	load_job_free(pending_job->job);
	g_free(pending_job);
	release_active(load);
}

/* ---- Counting ---- */

static void trace_answer(const struct load_job *job,
			 const struct load_verdict *verdict)
{
	static const char *const ran[] = { "all", "none", "unknown",
					   "unknown" };
	static const char *const outcomes[] = { "complete", "failed", "failed",
						"lost" };

	/* A failed answer holds no results that could be another job's. */
	bool own_results = verdict->own_results ||
			   verdict->outcome != LOAD_COMPLETE;

	trace_event("got", "key=%s outcome=%s ran=%s whole=%d own=%d",
		    job->key_text, outcomes[verdict->outcome],
		    ran[verdict->outcome], verdict->all_results, own_results);
}

static void count_complete(struct load_report *report,
			   const struct load_job *job,
			   const struct load_verdict *verdict,
			   int64_t response_us)
{
	struct load_sample sample = {
		.response_us = response_us,
		.ideal_ms = job->ideal_ms,
		.class_index = load_report_class(report, job->class_name),
	};

	report->complete++;
	report->partial += !verdict->all_results;
	report->crossed += verdict->all_results && !verdict->own_results;
	g_array_append_val(report->samples, sample);
}

static void count_original_answer(struct pending_job *pending_job,
				  const struct load_verdict *verdict)
{
	struct load_report *report = pending_job->load->report;
	const struct load_job *job = pending_job->job;

	switch (verdict->outcome) {
	case LOAD_COMPLETE:
		count_complete(report, job, verdict,
			       clock_now_us() - pending_job->load->start_us -
				       job->planned_us);
		return;
	case LOAD_NOT_RUN:
		report->not_run++;
		load_report_reason(report, "none", verdict->reason);
		return;
	case LOAD_MAY_HAVE_RUN:
		report->may_have_run++;
		load_report_reason(report, "unknown", verdict->reason);
		return;
	case LOAD_LOST:
		report->lost++;
		load_report_reason(report, "unknown", verdict->reason);
		return;
	}
}

/* Checks that the answers to a job and its resubmission agree. */
static void compare_answers(struct load_report *report,
			    const struct load_verdict *a,
			    const struct load_verdict *b)
{
	bool both = a->outcome == LOAD_COMPLETE && b->outcome == LOAD_COMPLETE;

	if (both && a->results_hash != b->results_hash)
		report->resubmit_mismatch++;
	else if (!both && a->outcome != b->outcome)
		report->resubmit_refused++;
	if (b->outcome == LOAD_COMPLETE) {
		report->partial += !b->all_results;
		report->crossed += b->all_results && !b->own_results;
	}
}

/* The answer to the original request is counted; the resubmission's answer
 * is only compared with it. */
static void handle_verdict(struct request *request,
			   const struct load_verdict *verdict)
{
	struct pending_job *pending_job = request->pending_job;

	trace_answer(pending_job->job, verdict);
	if (!request->is_resubmission)
		count_original_answer(pending_job, verdict);
	if (pending_job->has_first_answer && request->is_resubmission)
		compare_answers(pending_job->load->report,
				&pending_job->first_answer, verdict);
	else if (pending_job->has_first_answer)
		compare_answers(pending_job->load->report, verdict,
				&pending_job->first_answer);
	pending_job->first_answer = *verdict;
	pending_job->has_first_answer = true;
	g_free(request);
	if (--pending_job->answers_pending == 0)
		finish_job(pending_job);
}

/* ---- Requests ---- */

static void send_request(struct request *request);

static bool retry_at_next(struct request *request,
			  const struct http_answer *answer)
{
	struct load *load = request->pending_job->load;
	struct load_report *report = load->report;

	if (answer->result == HTTP_NOT_CONNECTED) {
		if (++request->consecutive_refusals >= load->n_dispatchers)
			return false;
		report->tried_again++;
	} else {
		if (request->resends++ >= RESENDS_MAX)
			return false;
		request->consecutive_refusals = 0;
		report->resent++;
	}
	request->dispatcher = (request->dispatcher + 1) % load->n_dispatchers;
	send_request(request);
	return true;
}

static void on_job_answer(void *arg, const struct http_answer *answer)
{
	struct request *request = arg;
	struct load_verdict verdict;

	if (answer->result != HTTP_OK && retry_at_next(request, answer))
		return;
	if (answer->result == HTTP_OK) {
		load_check_job(request->pending_job->job, answer->status,
			       answer->body, answer->size_bytes, &verdict);
	} else {
		memset(&verdict, 0, sizeof(verdict));
		verdict.outcome = LOAD_LOST;
		g_strlcpy(verdict.reason,
			  answer->result == HTTP_NOT_CONNECTED ? "not_connected"
							       : "no_answer",
			  sizeof(verdict.reason));
		if (answer->result == HTTP_NOT_CONNECTED && !request->resends)
			verdict.outcome = LOAD_NOT_RUN;
	}
	handle_verdict(request, &verdict);
}

static void send_request(struct request *request)
{
	const struct load_job *job = request->pending_job->job;
	struct load *load = request->pending_job->load;
	char key[sizeof("Idempotency-Key: ") + CF_KEY_TEXT_SIZE];
	const char *headers[] = { "Content-Type: application/json", key, NULL };
	char *url = g_strdup_printf("http://%s/v1/jobs",
				    load->dispatchers[request->dispatcher]);
	char *body = load_job_body(job);
	uint32_t deadline_ms = job->deadline_ms ? job->deadline_ms
						: DEFAULT_DEADLINE_MS;
	struct http_call call = {
		.method = "POST",
		.url = url,
		.body = body,
		.size_bytes = strlen(body),
		.headers = headers,
		.timeout_ms = (int64_t)deadline_ms + ANSWER_GRACE_MS,
	};

	g_snprintf(key, sizeof(key), "Idempotency-Key: %s", job->key_text);
	http_client_call(load->client, &call, on_job_answer, request);
	g_free(body);
	g_free(url);
}

static struct request *make_request(struct pending_job *pending_job,
				    guint dispatcher, bool is_resubmission)
{
	struct request *request = g_new0(struct request, 1);

	request->pending_job = pending_job;
	request->dispatcher = dispatcher % pending_job->load->n_dispatchers;
	request->is_resubmission = is_resubmission;
	return request;
}

static void on_resubmit_time(void *arg, int64_t now_ms)
{
	struct request *request = arg;

	(void)now_ms;
	request->pending_job->load->report->resubmitted++;
	send_request(request);
}

/* Starts the timer of a resubmission. Runs on the loop's thread. */
static void plan_resubmission(void *arg)
{
	struct request *request = arg;
	struct pending_job *pending_job = request->pending_job;

	pending_job->resubmit_timer = loop_timer_create(
		pending_job->load->loop, on_resubmit_time, request);
	loop_timer_start(pending_job->resubmit_timer,
			 pending_job->job->resubmit_after_ms, 0);
}

static void send_job(struct load *load, struct load_job *job)
{
	struct pending_job *pending_job = g_new0(struct pending_job, 1);
	guint dispatcher = load->next_dispatcher++;
	bool resubmit = job->resubmit;

	pending_job->load = load;
	pending_job->job = job;
	pending_job->answers_pending = resubmit ? 2 : 1;
	load->report->jobs++;
	load->report->tasks += job->n_tasks;
	if (resubmit)
		loop_post(load->loop, plan_resubmission,
			  make_request(pending_job, dispatcher + 1, true));
	send_request(make_request(pending_job, dispatcher, false));
}

/* ---- Baseline: direct calls to the backend server ---- */

static void on_direct_answer(void *arg, const struct http_answer *answer)
{
	struct pending_job *pending_job = arg;
	struct load_report *report = pending_job->load->report;
	const struct load_job *job = pending_job->job;
	struct load_sample sample = {
		.response_us = clock_now_us() - pending_job->load->start_us -
			       job->planned_us,
		.ideal_ms = job->run_ms[0],
	};

	report->direct_calls++;
	if (answer->result == HTTP_OK &&
	    load_check_task(job, answer->status, answer->body,
			    answer->size_bytes))
		g_array_append_val(report->direct, sample);
	else
		report->direct_failed++;
	finish_job(pending_job);
}

static void send_direct(struct load *load, struct load_job *job)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	struct pending_job *pending_job = g_new0(struct pending_job, 1);
	char *url = g_strdup_printf("http://%s/v1/tasks",
				    settings_text(load->settings, "direct"));
	char *body = load_task_body(job);
	struct http_call call = {
		.method = "POST",
		.url = url,
		.body = body,
		.size_bytes = strlen(body),
		.headers = headers,
		.timeout_ms = DEFAULT_DEADLINE_MS + ANSWER_GRACE_MS,
	};

	pending_job->load = load;
	pending_job->job = job;
	http_client_call(load->client, &call, on_direct_answer, pending_job);
	g_free(body);
	g_free(url);
}

/* ---- The sending thread ---- */

static void wait_until(struct load *load, int64_t planned_us)
{
	int64_t late_us = clock_now_us() - load->start_us - planned_us;

	while (late_us < 0) {
		g_usleep((gulong)-late_us);
		late_us = clock_now_us() - load->start_us - planned_us;
	}
	if (late_us > atomic_load(&load->late_max_us))
		atomic_store(&load->late_max_us, late_us);
}

static void assign_key(struct load_job *job)
{
	cf_key_make(&job->key, clock_wall_ms(), clock_random(), clock_random());
	cf_key_format(&job->key, job->key_text);
}

static gpointer run_sender(gpointer arg)
{
	struct load *load = arg;
	struct load_job *job = load_plan_next(load->plan);
	struct load_job *direct =
		load->direct_plan ? load_plan_next(load->direct_plan) : NULL;

	while (job || direct) {
		bool is_direct = !job || (direct &&
					  direct->planned_us < job->planned_us);
		struct load_job *next = is_direct ? direct : job;

		wait_until(load, next->planned_us);
		assign_key(next);
		atomic_fetch_add(&load->n_active, 1);
		if (is_direct) {
			direct = load_plan_next(load->direct_plan);
			send_direct(load, next);
		} else {
			job = load_plan_next(load->plan);
			send_job(load, next);
		}
	}
	release_active(load);
	return NULL;
}

/* ---- The run ---- */

/* Subtracts the counters read before the run from those read after it. */
static void subtract_counts(GHashTable *after, GHashTable *before)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, after);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const int64_t *earlier = g_hash_table_lookup(before, key);

		if (earlier)
			*(int64_t *)value -= *earlier;
	}
}

static void run_plan(struct load *load)
{
	char **admins = settings_list(load->settings, "admins");
	struct load_report *report = load->report;
	GHashTable *before = NULL;
	GThread *sender;

	if (admins[0])
		before = load_metrics_read(admins, &report->admins_failed);
	atomic_store(&load->n_active, 1);
	load->start_us = clock_now_us();
	sender = g_thread_new("load-sender", run_sender, load);
	loop_run(load->loop);
	g_thread_join(sender);
	report->elapsed_us = clock_now_us() - load->start_us;
	report->late_max_us = atomic_load(&load->late_max_us);
	if (before) {
		report->messages =
			load_metrics_read(admins, &report->admins_failed);
		subtract_counts(report->messages, before);
		g_hash_table_destroy(before);
	}
}

static bool open_load(struct load *load, uint64_t seed, GError **error)
{
	load->dispatchers = settings_list(load->settings, "dispatchers");
	load->n_dispatchers = g_strv_length(load->dispatchers);
	if (!role_open_trace(load->settings, clock_random(), error))
		return false;
	load->plan = load_plan_create(load->settings, seed, error);
	if (!load->plan)
		return false;
	if (settings_text(load->settings, "direct")) {
		load->direct_plan = load_plan_create(load->settings,
						     seed ^ DIRECT_SEED, error);
		if (!load->direct_plan)
			return false;
	}
	load->loop = loop_create(error);
	if (!load->loop)
		return false;
	load->client = http_client_create(load->loop, 0, error);
	return load->client != NULL;
}

static bool has_wrong_answers(const struct load_report *report)
{
	return report->lost || report->partial || report->crossed ||
	       report->resubmit_mismatch;
}

int load_main(const struct settings *settings)
{
	uint64_t seed = (uint64_t)settings_number(settings, "seed");
	struct load load = { .settings = settings };
	GString *out = g_string_new(NULL);
	GError *error = NULL;
	int status = EXIT_WRONG_ANSWERS;

	if (!seed)
		seed = clock_random() >> 1;
	load.report = load_report_create(seed);
	if (open_load(&load, seed, &error)) {
		run_plan(&load);
		load_report_print(load.report, load.plan,
				  settings_bool(settings, "json"), out);
		fputs(out->str, stdout);
		fflush(stdout);
		if (!has_wrong_answers(load.report))
			status = 0;
	} else {
		role_start_failed(error);
	}
	http_client_destroy(load.client);
	loop_destroy(load.loop);
	load_plan_destroy(load.plan);
	load_plan_destroy(load.direct_plan);
	load_report_destroy(load.report);
	trace_close();
	g_string_free(out, TRUE);
	return status;
}
