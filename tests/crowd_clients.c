/*
 * Crowds of clients that don't behave, one at each door of running processes.
 * The process lives, its memory and descriptors stay under those of its
 * machine, and one ordinary request at the same door is answered beside the
 * crowd and after it. The machine is made small by settings, so that a small
 * crowd is enough. Nothing here depends on the speed of the machine.
 */
#include "support/crowd.h"
#include "support/leased_system.h"

#include "base/clock.h"
#include "net/http_client.h"
#include "platform/standin.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define MACHINE_MEMORY_MB 64
#define MACHINE_DESCRIPTORS 600
/* Of the machine's, for files outside of the disk folder. */
#define RESERVED_DESCRIPTORS 200
#define KIB_PER_MB 1024
#define KIB 1024UL
#define MIB (1024UL * KIB)
/* The pages' largest body of a caller. */
#define BODY_MAX (256 * KIB)
#define HTTP_WAIT_MS 8000
#define RUN_MS 20
#define HOST_LINE "Host: h.example\r\n"
#define JOB_PATH "/q/%d"
/* One task of a fifth of a second. */
#define JOB_RUN_MS 200
#define JOB_CPU_MILLI 100
/* A job that is sent again while it runs. */
#define JOINED "00000000000000ab"
#define JOINED_RUN_MS 12000
#define JOINED_DEADLINE_MS 40000
#define SENT "chervilferry_tasks_sent"
#define REFUSED "chervilferry_door_refused_total{door=\"callers\"}"
#define METRIC_POLL_US 5000

/* ---- Types ---- */

struct door {
	const char *process, *interface;
	/* Sends an ordinary request; true if it was answered. */
	bool (*answers)(struct leased_system *s, const struct door *door);
	/* The path of its largest requests, where the plan names none. */
	char *(*path)(void);
};

struct crowd_case {
	const char *name;
	const struct door *door;
	struct crowd_plan plan;
};

/* ---- Ordinary requests ---- */

static bool serves_job(struct leased_system *s, const struct door *door)
{
	static int n_jobs;
	g_autofree char *id = g_strdup_printf("00000000beef%04x", ++n_jobs);
	g_autofree char *answer = NULL;
	uint32_t status = leased_system_submit(s, door->process[1] - '1', id,
					       RUN_MS, &answer);

	if (status != 200)
		fprintf(stderr, "job %s: status %u %s\n", id, status, answer);
	return status == 200;
}

static bool is_answered(struct leased_system *s, const struct door *door,
			const char *interface, const char *path)
{
	uint32_t status = cluster_http(
		cluster_address(s->cluster, door->process, interface), "GET",
		path, NULL, NULL, NULL, HTTP_WAIT_MS);

	if (!status)
		fprintf(stderr, "%s: no answer\n", path);
	return status != 0;
}

/* Backend servers go on reporting there, or no job would be served. */
static bool takes_reports(struct leased_system *s, const struct door *door)
{
	static const struct door callers = { .process = "d1" };

	return is_answered(s, door, "control", "/nothing") &&
	       serves_job(s, &callers);
}

static bool shows_routes(struct leased_system *s, const struct door *door)
{
	leased_system_expect_routes(s, 1);
	return is_answered(s, door, "control", standin_get_routes_path);
}

static bool is_healthy(struct leased_system *s, const struct door *door)
{
	return is_answered(s, door, "admin", "/healthz");
}

/* ---- Paths ---- */

static char *report_path(void)
{
	return standin_report_path("i-crowd");
}

static char *routes_path(void)
{
	return g_strdup(standin_set_routes_path);
}

/* ---- Cases ---- */

static const struct door callers = { "d1", "http", serves_job, NULL };
static const struct door agent_control = { "a1", "control", takes_reports,
					   report_path };
static const struct door operators = { "c1", "control", shows_routes,
				       routes_path };
static const struct door dispatcher_admin = { "d1", "admin", is_healthy, NULL };
static const struct door coordinator_admin = { "c1", "admin", is_healthy,
					       NULL };
static const struct door agent_admin = { "a1", "admin", is_healthy, NULL };
static const struct door dispatcher_links = { "d1", "listen", serves_job,
					      NULL };
static const struct door agent_links = { "a1", "listen", takes_reports, NULL };
static const struct door coordinator_links = { "c1", "listen", shows_routes,
					       NULL };

#define POST .method = "POST", .lines = HOST_LINE
/* JSON that takes far more memory than bytes. */
#define MANY_VALUES .body = "[", .unit = "{},"
#define VALUES_BYTES (1900 * KIB)
#define ADMIN_VALUES_BYTES (480 * KIB)
#define ENTRIES_BYTES (2900 * KIB)

/* The crowds of the callers' door at another one. */
#define SAME_CROWDS(name, door)                                                \
	{ name "_chunks_of_one_byte",                                          \
	  &(door),                                                             \
	  { CROWD_CHUNKS, POST, .path = "/x", .connections = 80,               \
	    .chunk_bytes = 1, .send_bytes = MIB } },                           \
		{ name "_chunks_without_end",                                  \
		  &(door),                                                     \
		  { CROWD_CHUNKS, POST, .path = "/x", .connections = 20,       \
		    .chunk_bytes = 64 * KIB, .send_bytes = 40 * MIB } },       \
		{ name "_length_over_limit",                                   \
		  &(door),                                                     \
		  { CROWD_LENGTH, POST, .path = "/x", .connections = 40,       \
		    .announced_bytes = 10 * MIB,                               \
		    .send_bytes = 10 * MIB - 4 * KIB } },                      \
		{ name "_headers_half",                                        \
		  &(door),                                                     \
		  { CROWD_HEADERS, POST, .path = "/x", .connections = 600,     \
		    .send_bytes = 12 * KIB } },                                \
		{ name "_body_begun",                                          \
		  &(door),                                                     \
		  { CROWD_LENGTH, POST, .path = "/x", .connections = 600,      \
		    .announced_bytes = 9000, .send_bytes = 1000 } },           \
		{ name "_silent",                                              \
		  &(door),                                                     \
		  { CROWD_SILENT, .connections = 600 } },                      \
	{                                                                      \
		name "_answers_never_read", &(door),                           \
		{                                                              \
			CROWD_UNREAD, .method = "GET", .lines = HOST_LINE,     \
				      .path = "/metrics", .connections = 300,  \
				      .send_bytes = MIB                        \
		}                                                              \
	}

/* A name of a test, a door, a form, the connections, and what they send. */
static const struct crowd_case cases[] = {
	{ "callers_chunks_large",
	  &callers,
	  { CROWD_CHUNKS, POST, .path = JOB_PATH, .connections = 20,
	    .chunk_bytes = 64 * KIB, .send_bytes = 7 * MIB } },
	{ "callers_chunks_legal",
	  &callers,
	  { CROWD_CHUNKS, POST, .path = JOB_PATH, .connections = 400,
	    .chunk_bytes = 64 * KIB, .send_bytes = BODY_MAX } },
	{ "callers_chunks_of_one_byte",
	  &callers,
	  { CROWD_CHUNKS, POST, .path = JOB_PATH, .connections = 300,
	    .chunk_bytes = 1, .send_bytes = BODY_MAX } },
	{ "callers_chunks_without_end",
	  &callers,
	  { CROWD_CHUNKS, POST, .path = JOB_PATH, .connections = 20,
	    .chunk_bytes = 64 * KIB, .send_bytes = 40 * MIB } },
	{ "callers_length_all_but_4_kib",
	  &callers,
	  { CROWD_LENGTH, POST, .path = JOB_PATH, .connections = 400,
	    .announced_bytes = BODY_MAX, .send_bytes = BODY_MAX - 4 * KIB } },
	{ "callers_length_of_1_gib",
	  &callers,
	  { CROWD_LENGTH, POST, .path = JOB_PATH, .connections = 300,
	    .announced_bytes = 1024 * MIB, .send_bytes = MIB } },
	{ "callers_length_over_limit",
	  &callers,
	  { CROWD_LENGTH, POST, .path = JOB_PATH, .connections = 60,
	    .announced_bytes = 7 * MIB, .send_bytes = 7 * MIB - 4 * KIB } },
	{ "callers_whole_bodies",
	  &callers,
	  { CROWD_WHOLE, POST, .path = JOB_PATH, .connections = 400,
	    .announced_bytes = BODY_MAX, .send_bytes = BODY_MAX } },
	{ "callers_many_values",
	  &callers,
	  { CROWD_WHOLE, POST, .path = JOB_PATH, .connections = 20,
	    .announced_bytes = BODY_MAX, .send_bytes = BODY_MAX,
	    MANY_VALUES } },
	{ "callers_headers_half",
	  &callers,
	  { CROWD_HEADERS, POST, .path = JOB_PATH, .connections = 600,
	    .send_bytes = 12 * KIB } },
	{ "callers_headers_without_end",
	  &callers,
	  { CROWD_HEADERS, POST, .path = JOB_PATH, .connections = 600,
	    .send_bytes = MIB } },
	{ "callers_body_begun",
	  &callers,
	  { CROWD_LENGTH, POST, .path = JOB_PATH, .connections = 600,
	    .announced_bytes = 9000, .send_bytes = 1000 } },
	{ "callers_silent", &callers, { CROWD_SILENT, .connections = 600 } },
	{ "callers_length_again",
	  &callers,
	  { CROWD_LENGTH, POST, .path = JOB_PATH, .connections = 400,
	    .announced_bytes = BODY_MAX, .send_bytes = BODY_MAX - 4 * KIB,
	    .reopens = true } },
	{ "callers_body_begun_again",
	  &callers,
	  { CROWD_LENGTH, POST, .path = JOB_PATH, .connections = 600,
	    .announced_bytes = 9000, .send_bytes = 1000, .reopens = true } },
	{ "callers_answers_unread",
	  &callers,
	  { CROWD_UNREAD, .method = "GET", .lines = HOST_LINE, .path = JOB_PATH,
	    .connections = 300, .send_bytes = MIB } },
	{ "agent_control_length_all_but_4_kib",
	  &agent_control,
	  { CROWD_LENGTH, POST, .path = "/x", .connections = 60,
	    .announced_bytes = 4 * MIB, .send_bytes = 4 * MIB - 4 * KIB } },
	{ "agent_control_whole_bodies",
	  &agent_control,
	  { CROWD_WHOLE, POST, .path = "/x", .connections = 60,
	    .announced_bytes = 4 * MIB, .send_bytes = 4 * MIB } },
	{ "agent_control_chunks_large",
	  &agent_control,
	  { CROWD_CHUNKS, POST, .path = "/x", .connections = 60,
	    .chunk_bytes = 64 * KIB, .send_bytes = 7 * MIB } },
	{ "agent_control_many_values",
	  &agent_control,
	  { CROWD_WHOLE, POST, .connections = 5,
	    .announced_bytes = VALUES_BYTES, .send_bytes = VALUES_BYTES,
	    MANY_VALUES } },
	{ "operators_length_all_but_4_kib",
	  &operators,
	  { CROWD_LENGTH, POST, .path = "/x", .connections = 150,
	    .announced_bytes = MIB, .send_bytes = MIB - 4 * KIB } },
	{ "operators_chunks_large",
	  &operators,
	  { CROWD_CHUNKS, POST, .path = "/x", .connections = 40,
	    .chunk_bytes = 64 * KIB, .send_bytes = 7 * MIB } },
	{ "operators_whole_bodies",
	  &operators,
	  { CROWD_WHOLE, POST, .path = "/x", .connections = 60,
	    .announced_bytes = MIB, .send_bytes = MIB } },
	{ "operators_many_values",
	  &operators,
	  { CROWD_WHOLE, POST, .connections = 5,
	    .announced_bytes = VALUES_BYTES, .send_bytes = VALUES_BYTES,
	    MANY_VALUES } },
	{ "coordinator_admin_many_values",
	  &coordinator_admin,
	  { CROWD_WHOLE, POST, .path = "/v1/commands", .connections = 5,
	    .announced_bytes = ADMIN_VALUES_BYTES,
	    .send_bytes = ADMIN_VALUES_BYTES, MANY_VALUES } },
	{ "dispatcher_admin_length_all_but_4_kib",
	  &dispatcher_admin,
	  { CROWD_LENGTH, POST, .path = "/x", .connections = 100,
	    .announced_bytes = MIB, .send_bytes = MIB - 4 * KIB } },
	{ "dispatcher_admin_answers_unread",
	  &dispatcher_admin,
	  { CROWD_UNREAD, .method = "GET", .lines = HOST_LINE,
	    .path = "/metrics", .connections = 100, .send_bytes = MIB } },
	{ "coordinator_admin_chunks_large",
	  &coordinator_admin,
	  { CROWD_CHUNKS, POST, .path = "/x", .connections = 100,
	    .chunk_bytes = 64 * KIB, .send_bytes = MIB } },
	{ "agent_admin_chunks_large",
	  &agent_admin,
	  { CROWD_CHUNKS, POST, .path = "/x", .connections = 100,
	    .chunk_bytes = 64 * KIB, .send_bytes = MIB } },
	SAME_CROWDS("agent_control", agent_control),
	SAME_CROWDS("operators", operators),
	SAME_CROWDS("dispatcher_admin", dispatcher_admin),
	SAME_CROWDS("coordinator_admin", coordinator_admin),
	SAME_CROWDS("agent_admin", agent_admin),
	{ "dispatcher_links_first_frame",
	  &dispatcher_links,
	  { CROWD_FRAME, .connections = 40, .announced_bytes = 8 * MIB,
	    .send_bytes = 4 * MIB } },
	{ "dispatcher_links_frame",
	  &dispatcher_links,
	  { CROWD_FRAME_AFTER_HELLO, .connections = 40,
	    .announced_bytes = 8 * MIB, .send_bytes = 4 * MIB } },
	{ "agent_links_frame",
	  &agent_links,
	  { CROWD_FRAME_AFTER_HELLO, .connections = 40,
	    .announced_bytes = 8 * MIB, .send_bytes = 4 * MIB } },
	{ "dispatcher_links_many_entries",
	  &dispatcher_links,
	  { CROWD_ENTRIES, .connections = 3,
	    .announced_bytes = ENTRIES_BYTES } },
	{ "agent_links_many_entries",
	  &agent_links,
	  { CROWD_ENTRIES, .connections = 3,
	    .announced_bytes = ENTRIES_BYTES } },
	{ "coordinator_links_many_entries",
	  &coordinator_links,
	  { CROWD_ENTRIES, .connections = 3,
	    .announced_bytes = ENTRIES_BYTES } },
	{ "coordinator_links_first_frame",
	  &coordinator_links,
	  { CROWD_FRAME, .connections = 40, .announced_bytes = 8 * MIB,
	    .send_bytes = 4 * MIB } },
	{ "coordinator_links_frame",
	  &coordinator_links,
	  { CROWD_FRAME_AFTER_HELLO, .connections = 40,
	    .announced_bytes = 8 * MIB, .send_bytes = 4 * MIB } },
	{ "dispatcher_links_silent_again",
	  &dispatcher_links,
	  { CROWD_SILENT, .connections = 600, .reopens = true } },
};

/* ---- The test of a case ---- */

/* Processes that don't know the settings yet ignore the variables. */
static struct leased_system *begin_on_small_machines(void)
{
	g_setenv("CHERVILFERRY_MEMORY_LIMIT_MB", G_STRINGIFY(MACHINE_MEMORY_MB),
		 TRUE);
	g_setenv("CHERVILFERRY_DESCRIPTORS_LIMIT",
		 G_STRINGIFY(MACHINE_DESCRIPTORS), TRUE);
	return leased_system_begin(false);
}

/* The machine's descriptors less those reserved. */
static void limit_descriptors(const struct proc *p)
{
	const rlim_t n = MACHINE_DESCRIPTORS - RESERVED_DESCRIPTORS;
	const struct rlimit limit = { n, n };

	assert_int_equal(prlimit(p->pid, RLIMIT_NOFILE, &limit, NULL), 0);
}

static void expect_bounds(struct leased_system *s, const struct proc *p,
			  const struct crowd *crowd)
{
	int64_t peak_kib = crowd_peak_kib(p->pid);

	fprintf(stderr,
		"count: %s peak %d MB, %d descriptors, %d MB sent, %d of "
		"the crowd closed\n",
		p->name, (int)(peak_kib / KIB_PER_MB),
		(int)crowd_open_descriptors(p->pid),
		(int)(crowd_sent_bytes(crowd) / MIB), (int)crowd_closed(crowd));
	for (int i = 0; i < s->cluster->n_procs; i++)
		assert_true(proc_running(&s->cluster->procs[i]));
	assert_true(peak_kib > 0);
	assert_true(peak_kib < MACHINE_MEMORY_MB * KIB_PER_MB);
	assert_true(crowd_open_descriptors(p->pid) <
		    MACHINE_DESCRIPTORS - RESERVED_DESCRIPTORS);
}

/* Ends the crowd of a failed test. */
static void end_crowd(void *arg)
{
	crowd_end(arg);
}

static void test_crowd(void **state)
{
	const struct crowd_case *c = *state;
	g_autofree char *job = standin_write_job(1, JOB_CPU_MILLI, JOB_RUN_MS);
	g_autofree char *path = c->door->path ? c->door->path() : NULL;
	struct crowd_plan plan = c->plan;
	struct leased_system *s = begin_on_small_machines();
	struct proc *p = cluster_proc(s->cluster, c->door->process);
	struct crowd *crowd;

	if (!plan.path)
		plan.path = path;
	if (plan.form == CROWD_WHOLE && !plan.body)
		plan.body = job;
	limit_descriptors(p);
	assert_true(c->door->answers(s, c->door));
	crowd = crowd_begin(cluster_address(s->cluster, c->door->process,
					    c->door->interface),
			    &plan);
	s->end_callers = end_crowd;
	s->end_callers_arg = crowd;
	expect_bounds(s, p, crowd);
	assert_true(c->door->answers(s, c->door));
	expect_bounds(s, p, crowd);
	s->end_callers = NULL;
	crowd_end(crowd);
	assert_true(c->door->answers(s, c->door));
	leased_system_finish(s);
}

/* ---- What a refusal promises ---- */

struct submission {
	struct leased_system *system;
	char *body;
	GThread *thread;
	uint32_t status;
};

/* Hands in the job JOINED. */
static gpointer submit(gpointer arg)
{
	struct submission *submission = arg;
	g_autofree char *deadline = standin_deadline_header(JOINED_DEADLINE_MS);
	g_autofree char *url = g_strdup_printf(
		"http://%s/q/" JOINED,
		cluster_address(submission->system->cluster, "d1", "http"));
	const char *headers[] = { "Host: h.example", deadline, NULL };
	const struct http_call call = { .method = "POST",
					.url = url,
					.body = submission->body,
					.size_bytes = strlen(submission->body),
					.headers = headers,
					.timeout_ms = JOINED_DEADLINE_MS };
	struct http_answer answer;

	http_call_now(&call, &answer);
	submission->status = answer.result == HTTP_OK ? answer.status : 0;
	g_free((void *)(uintptr_t)answer.body);
	return NULL;
}

static void wait_metric(struct leased_system *s, const char *metric,
			int64_t at_least)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	while (cluster_metric(s->cluster, "d1", metric) < at_least) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(METRIC_POLL_US);
	}
}

/* Guards against "never runs" for a job that is in progress, because it was
 * sent again while there was no room for the request. */
static void test_a_job_in_progress_is_joined(void **state)
{
	struct leased_system *s = begin_on_small_machines();
	g_autofree char *job =
		standin_write_job(1, JOB_CPU_MILLI, JOINED_RUN_MS);
	g_autofree char *filler = g_strnfill(BODY_MAX - strlen(job), ' ');
	struct submission first = { .system = s, .body = job };
	struct submission again = { .system = s,
				    .body = g_strconcat(job, filler, NULL) };
	const struct crowd_plan plan = { CROWD_WHOLE,
					 POST,
					 .path = JOB_PATH,
					 .connections = 100,
					 .announced_bytes = BODY_MAX,
					 .send_bytes = BODY_MAX,
					 .body = job };
	struct crowd *crowd;
	int64_t refused;

	(void)state;
	first.thread = g_thread_new("first", submit, &first);
	wait_metric(s, SENT, 1);
	crowd = crowd_begin(cluster_address(s->cluster, "d1", "http"), &plan);
	s->end_callers = end_crowd;
	s->end_callers_arg = crowd;
	wait_metric(s, REFUSED, 1);
	refused = cluster_metric(s->cluster, "d1", REFUSED);
	again.thread = g_thread_new("again", submit, &again);
	wait_metric(s, REFUSED, refused + 1);
	g_thread_join(first.thread);
	g_thread_join(again.thread);
	assert_int_equal(first.status, 200);
	assert_int_equal(again.status, 200);
	assert_int_equal(standin_runs_of(s->record, JOINED), 1);
	s->end_callers = NULL;
	crowd_end(crowd);
	g_free(again.body);
	leased_system_finish(s);
}

int main(void)
{
	struct CMUnitTest tests[G_N_ELEMENTS(cases) + 1];

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].name,
			.test_func = test_crowd,
			.teardown_func = cluster_teardown,
			.initial_state = (void *)&cases[i],
		};
	tests[G_N_ELEMENTS(cases)] =
		(struct CMUnitTest)cmocka_unit_test_teardown(
			test_a_job_in_progress_is_joined, cluster_teardown);
	cmocka_set_test_filter(g_getenv("CROWD"));
	return _cmocka_run_group_tests("crowds", tests, G_N_ELEMENTS(tests),
				       NULL, NULL);
}
