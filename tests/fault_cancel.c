/*
 * A burst of cancellations: 1,000 jobs at once. Each caller gets exactly one
 * answer, each agent gets at most one message per job, and the capacity is free
 * afterwards.
 */
#include "support/cluster.h"

#include "base/clock.h"
#include "net/http_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define JOBS 1000
#define TASKS 2
/* Longer than it takes to answer all cancellations. */
#define RUN_MS 600
#define DEADLINE_MS 120000
#define WAIT_MS 60000
/* Jobs in progress when the cancellations are sent. */
#define WAITING_MIN (JOBS / 2)
#define NEW_RUN_MS 20
/* Running tasks finish, then a new job has the capacity for itself. Without the
 * cancellations it would wait for about 50 s of work. */
#define NEW_RESPONSE_MS (NEW_RUN_MS + RUN_MS + 1000)

/* ---- Types ---- */

struct call {
	char key[CF_KEY_TEXT_SIZE];
	char submit_url[80], cancel_url[120];
	gint submitted, cancelled; /* numbers of answers */
	uint32_t status, cancel_status;
	bool ran_none, complete;
};

struct wave {
	struct cluster *c;
	struct loop *loop;
	struct http_client *client;
	GThread *thread;
	struct call calls[JOBS];
	gint submits, cancels; /* numbers of answers, atomic */
};

static struct wave wave;

/* ---- Calls ---- */

static bool answer_contains(const struct http_answer *answer, const char *text)
{
	return answer->body &&
	       g_strstr_len(answer->body, (gssize)answer->size_bytes, text);
}

static void on_submitted(void *arg, const struct http_answer *answer)
{
	struct call *call = arg;

	call->submitted++;
	call->status = answer->result == HTTP_OK ? answer->status : 0;
	call->ran_none = answer_contains(answer, "\"ran\":\"none\"");
	call->complete = answer_contains(answer, "\"outcome\":\"complete\"");
	g_atomic_int_inc(&wave.submits);
}

static void on_cancelled(void *arg, const struct http_answer *answer)
{
	struct call *call = arg;

	call->cancelled++;
	call->cancel_status = answer->result == HTTP_OK ? answer->status : 0;
	g_atomic_int_inc(&wave.cancels);
}

static gpointer run_loop(gpointer loop)
{
	loop_run(loop);
	return NULL;
}

static void open_client(struct cluster *c)
{
	int i;

	memset(&wave, 0, sizeof(wave));
	wave.c = c;
	wave.loop = loop_create(NULL);
	wave.client = http_client_create(wave.loop, 0, NULL);
	wave.thread = g_thread_new("calls", run_loop, wave.loop);
	for (i = 0; i < JOBS; i++) {
		struct call *call = &wave.calls[i];
		const char *address =
			cluster_address(c, i % 2 ? "d1" : "d2", "http");
		struct cf_key key;

		cluster_key(&key, call->key);
		snprintf(call->submit_url, sizeof(call->submit_url),
			 "http://%s/v1/jobs", address);
		snprintf(call->cancel_url, sizeof(call->cancel_url),
			 "http://%s/v1/jobs/%s", address, call->key);
	}
}

static void close_client(void)
{
	loop_stop(wave.loop);
	g_thread_join(wave.thread);
	http_client_destroy(wave.client);
	loop_destroy(wave.loop);
}

static void submit_all(const char *body)
{
	int i;

	for (i = 0; i < JOBS; i++) {
		struct call *call = &wave.calls[i];
		char header[80];
		const char *headers[] = { header, NULL };
		struct http_call http = { .method = "POST",
					  .url = call->submit_url,
					  .body = body,
					  .size_bytes = strlen(body),
					  .headers = headers,
					  .timeout_ms = DEADLINE_MS };

		snprintf(header, sizeof(header), "Idempotency-Key: %s",
			 call->key);
		http_client_call(wave.client, &http, on_submitted, call);
	}
}

static void cancel_all(void)
{
	int i;

	for (i = 0; i < JOBS; i++) {
		struct http_call http = { .method = "DELETE",
					  .url = wave.calls[i].cancel_url,
					  .timeout_ms = DEADLINE_MS };

		http_client_call(wave.client, &http, on_cancelled,
				 &wave.calls[i]);
	}
}

/* ---- Counts ---- */

static int64_t sum(struct cluster *c, const char *role, const char *metric)
{
	int64_t n = 0;
	int i;

	for (i = 0; i < c->n_procs; i++)
		if (!strcmp(c->procs[i].role, role))
			n += cluster_metric(c, c->procs[i].name, metric);
	return n;
}

static bool all_jobs_received(struct cluster *c, void *jobs)
{
	return sum(c, "dispatcher", "chervilferry_jobs_total") ==
		       *(int64_t *)jobs &&
	       sum(c, "dispatcher", "chervilferry_jobs_in_progress") >=
		       WAITING_MIN;
}

static bool all_answered(struct cluster *c, void *arg)
{
	(void)c;
	(void)arg;
	return g_atomic_int_get(&wave.submits) == JOBS &&
	       g_atomic_int_get(&wave.cancels) == JOBS;
}

static bool nothing_queued(struct cluster *c, void *arg)
{
	(void)arg;
	return !sum(c, "agent", "chervilferry_agent_tasks_queued") &&
	       !sum(c, "agent", "chervilferry_agent_tasks_running");
}

/* Counts the pairs of a job and an agent that was sent tasks of the job. */
static guint count_pairs(struct cluster *c)
{
	GHashTable *pairs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint n;
	int d;

	for (d = 1; d <= c->n_dispatchers; d++) {
		char *path = g_strdup_printf("%s/d%d.trace", c->folder, d);
		char *text = NULL, **lines, **line;

		g_file_get_contents(path, &text, NULL, NULL);
		lines = g_strsplit(text ? text : "", "\n", -1);
		for (line = lines; *line; line++) {
			char *pair = strstr(*line, " e=send key=");
			char *end = pair ? strstr(pair, " index=") : NULL;

			if (end)
				g_hash_table_add(pairs,
						 g_strndup(pair, end - pair));
		}
		g_strfreev(lines);
		g_free(text);
		g_free(path);
	}
	n = g_hash_table_size(pairs);
	g_hash_table_destroy(pairs);
	return n;
}

static void check_answers(void)
{
	int complete = 0, none = 0, unknown = 0, i;

	for (i = 0; i < JOBS; i++) {
		const struct call *call = &wave.calls[i];

		assert_int_equal(call->submitted, 1);
		assert_int_equal(call->cancelled, 1);
		/* A cancellation is answered with the job's answer. */
		assert_int_equal(call->status, call->cancel_status);
		assert_int_not_equal(call->status, 0);
		complete += call->complete;
		none += call->ran_none;
		unknown += !call->complete && !call->ran_none;
	}
	fprintf(stderr, "count: jobs=%d complete=%d not_run=%d unknown=%d\n",
		JOBS, complete, none, unknown);
	assert_true(none >= WAITING_MIN / 2);
}

static int64_t time_new_job(struct cluster *c)
{
	char *body = cluster_job_body("default", 1, NEW_RUN_MS, 10000);
	int64_t begin_ms = clock_now_ms();
	char text[CF_KEY_TEXT_SIZE];
	struct cf_key key;

	cluster_key(&key, text);
	assert_int_equal(cluster_http(cluster_address(c, "d1", "http"), "POST",
				      "/v1/jobs", text, body, NULL, WAIT_MS),
			 200);
	g_free(body);
	return clock_now_ms() - begin_ms;
}

static bool class_known(struct cluster *c, void *arg)
{
	char *body = cluster_job_body("wave", 1, 1, 10000);
	bool known = true;
	int d;

	(void)arg;
	for (d = 0; d < c->n_dispatchers; d++) {
		char text[CF_KEY_TEXT_SIZE];
		struct cf_key key;

		cluster_key(&key, text);
		known &= cluster_http(
				 cluster_address(c, d ? "d2" : "d1", "http"),
				 "POST", "/v1/jobs", text, body, NULL,
				 WAIT_MS) == 200;
	}
	g_free(body);
	return known;
}

/* ---- Cancellation of all jobs ---- */

static void test_wave(void **state)
{
	static const struct cluster_options options = { .coordinators = 3,
							.dispatchers = 2,
							.agents = 3 };
	struct cluster *c = cluster_create(&options);
	char *body = cluster_job_body("wave", TASKS, RUN_MS, DEADLINE_MS);
	int64_t begin_ms, answered_ms, new_ms, cancels, received, started;
	struct cf_trace_summary summary;
	guint pairs;

	(void)state;
	cluster_start(c);
	/* A class with a high target, so that no job is refused. */
	assert_true(cluster_command(
		c,
		"{\"class_set\":{\"name\":\"wave\",\"target_ms\":60000,"
		"\"percentile_milli\":95000,\"idempotent\":false}}",
		NULL));
	assert_true(cluster_wait(c, class_known, NULL, WAIT_MS));
	open_client(c);
	received = JOBS + sum(c, "dispatcher", "chervilferry_jobs_total");
	submit_all(body);
	assert_true(cluster_wait(c, all_jobs_received, &received, WAIT_MS));
	begin_ms = clock_now_ms();
	cancel_all();
	assert_true(cluster_wait(c, all_answered, NULL, WAIT_MS));
	answered_ms = clock_now_ms() - begin_ms;
	started = sum(c, "agent", "chervilferry_agent_tasks_started_total");
	new_ms = time_new_job(c);
	fprintf(stderr, "count: all answered after %d ms, new job in %d ms\n",
		(int)answered_ms, (int)new_ms);
	assert_true(new_ms <= NEW_RESPONSE_MS);
	check_answers();
	assert_true(cluster_wait(c, nothing_queued, NULL, WAIT_MS));
	/* No task of a cancelled job starts after its caller is answered. */
	assert_int_equal(
		sum(c, "agent", "chervilferry_agent_tasks_started_total"),
		started + 1);
	cancels = sum(c, "dispatcher", "chervilferry_cancels_total");
	received = sum(c, "agent", "chervilferry_agent_cancels_total");
	close_client();
	assert_int_equal(cluster_check(c, &summary), 0);
	assert_int_equal(summary.double_starts, 0);
	pairs = count_pairs(c);
	fprintf(stderr, "count: cancel messages=%d taken=%d pairs sent=%d\n",
		(int)cancels, (int)received, (int)pairs);
	assert_true(cancels <= pairs);
	assert_int_equal(received, cancels);
	g_free(body);
	cluster_destroy(c);
}

/* ---- One job ---- */

static gpointer submit_one(gpointer data)
{
	struct call *call = data;
	char *body = cluster_job_body("default", 24, RUN_MS, 10000);
	char *answer = NULL;

	call->status = cluster_http(cluster_address(wave.c, "d1", "http"),
				    "POST", "/v1/jobs", call->key, body,
				    &answer, WAIT_MS);
	g_free(answer);
	g_free(body);
	return NULL;
}

static bool slots_busy(struct cluster *c, void *arg)
{
	(void)arg;
	return sum(c, "agent", "chervilferry_agent_tasks_running") >= 12;
}

static void test_one_message(void **state)
{
	static const struct cluster_options options = { .coordinators = 1,
							.dispatchers = 1,
							.agents = 3 };
	struct cluster *c = cluster_create(&options);
	struct call call = { .status = 0 };
	struct cf_key key;
	char path[60];
	GThread *caller;
	uint32_t status;

	(void)state;
	cluster_start(c);
	wave.c = c;
	cluster_key(&key, call.key);
	snprintf(path, sizeof(path), "/v1/jobs/%s", call.key);
	caller = g_thread_new("caller", submit_one, &call);
	assert_true(cluster_wait(c, slots_busy, NULL, WAIT_MS));
	status = cluster_http(cluster_address(c, "d1", "http"), "DELETE", path,
			      NULL, NULL, NULL, WAIT_MS);
	g_thread_join(caller);
	assert_int_equal(status, 409);
	assert_int_equal(call.status, 409);
	assert_true(cluster_wait(c, nothing_queued, NULL, WAIT_MS));
	fprintf(stderr, "count: one job, agents=3 cancel messages=%d\n",
		(int)cluster_metric(c, "d1", "chervilferry_cancels_total"));
	assert_int_equal(cluster_metric(c, "d1", "chervilferry_cancels_total"),
			 3);
	assert_int_equal(cluster_check(c, NULL), 0);
	cluster_destroy(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_wave, cluster_teardown),
		cmocka_unit_test_teardown(test_one_message, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
