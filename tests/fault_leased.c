/*
 * Jobs that may run again, by real processes: coordinators that find each
 * other by seeds, agents, dispatchers, and stand-ins for backend servers
 * that run under leases. Processes are killed, frozen and stopped while
 * callers send jobs, again after 1.3 s without an answer, as the users'
 * callers do. No task may have two runs at the same time, and every job
 * is answered whole.
 */
#include "support/cluster.h"
#include "support/leased_standin.h"

#include "base/clock.h"
#include "net/http_client.h"
#include "platform/standin.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define COORDINATORS 3
#define AGENTS 3
#define DISPATCHERS 2
#define WAIT_MS 30000
#define CALLERS 6
#define JOBS_A_CALLER 40
#define RESEND_US 1300000
#define REFUSED_US 200000
#define TRIES_MAX 30
#define STEP_US 700000
#define TASKS 3
#define RUN_MS 60
#define LONG_RUN_MS 2500 /* longer than a caller waits to send again */
#define DEADLINE_MS 8000
#define HOST "h.example"
#define PREFIX "/q/"

/* ---- Layout ---- */

struct system {
	struct cluster *cluster;
	struct standin_record *record;
	struct standin *standins[AGENTS];
	char seeds[200];
	char links[200]; /* the coordinators' addresses for processes */
};

static void add_address(struct system *s, struct proc *p, const char *flag,
			int base)
{
	char text[40];

	snprintf(text, sizeof(text), "%s:%d", s->cluster->ip,
		 base + (int)(p - s->cluster->procs));
	proc_add(p, flag, text);
}

static struct proc *add(struct system *s, const char *role, const char *prefix,
			int i)
{
	char name[16];
	struct proc *p;

	snprintf(name, sizeof(name), "%s%d", prefix, i);
	p = cluster_add(s->cluster, role, name);
	proc_add(p, "--data-centre", "dc1");
	add_address(s, p, "--listen", 21000);
	add_address(s, p, "--admin", 22000);
	return p;
}

/* All coordinators need one port between processes, as on hosts of their
 * own; here each has a loopback address of its own in its place. */
static void add_coordinator(struct system *s, int i, const char *first_start)
{
	char name[16], text[260];
	struct proc *p;

	snprintf(name, sizeof(name), "c%d", i);
	p = cluster_add(s->cluster, "coordinator", name);
	snprintf(text, sizeof(text), "127.0.%d.%d:21999", 100 + i,
		 (int)getpid() % 250 + 1);
	proc_add(p, "--listen", text);
	snprintf(text, sizeof(text), "127.0.%d.%d:22999", 100 + i,
		 (int)getpid() % 250 + 1);
	proc_add(p, "--control", text);
	add_address(s, p, "--admin", 22000);
	snprintf(text, sizeof(text), "%s/%s", s->cluster->folder, name);
	proc_add(p, "--data", text);
	proc_add(p, "--seeds", s->seeds);
	proc_add(p, "--seeds-port", "21999");
	proc_add(p, "--first-start", first_start);
	proc_add(p, "--election-ms", "300");
}

static void lay_out(struct system *s)
{
	int host = (int)getpid() % 250 + 1;

	for (int i = 1; i <= COORDINATORS; i++) {
		size_t n = strlen(s->seeds), m = strlen(s->links);

		snprintf(s->seeds + n, sizeof(s->seeds) - n,
			 "%s127.0.%d.%d:22999", i > 1 ? "," : "", 100 + i,
			 host);
		snprintf(s->links + m, sizeof(s->links) - m,
			 "%s127.0.%d.%d:21999", i > 1 ? "," : "", 100 + i,
			 host);
	}
	for (int i = 1; i <= COORDINATORS; i++)
		add_coordinator(s, i, "true");
	for (int i = 1; i <= AGENTS; i++) {
		struct proc *p = add(s, "leased-agent", "a", i);

		proc_add(p, "--coordinators", s->links);
		add_address(s, p, "--control", 23000);
	}
	for (int i = 1; i <= DISPATCHERS; i++) {
		struct proc *p = add(s, "leased-dispatcher", "d", i);

		proc_add(p, "--coordinators", s->links);
		add_address(s, p, "--http", 24000);
		proc_add(p, "--stop-wait-ms", "5000");
	}
}

/* ---- Calls ---- */

static uint32_t call(const char *address, const char *method, const char *path,
		     const char *body, char **answer, int64_t timeout_ms)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	g_autofree char *deadline = standin_deadline_line(DEADLINE_MS);
	const char *headers[] = { "Host: " HOST, deadline, NULL };
	struct http_call http = { .method = method,
				  .url = url,
				  .body = body,
				  .size_bytes = body ? strlen(body) : 0,
				  .headers = headers,
				  .timeout_ms = timeout_ms };
	struct http_answer got;

	http_call_now(&http, &got);
	if (answer)
		*answer = got.body ? g_strndup(got.body, got.size_bytes)
				   : g_strdup("");
	g_free((void *)(uintptr_t)got.body);
	return got.result == HTTP_OK ? got.status : 0;
}

/* Asks the coordinators in turn until one answers, with these routes if a
 * version is wanted. */
static void control(struct system *s, const char *method, const char *path,
		    const char *body, uint32_t version)
{
	int64_t end_ms = clock_now_ms() + WAIT_MS;

	for (int i = 0;; i++) {
		char name[16];
		g_autofree char *answer = NULL;
		uint32_t status;

		snprintf(name, sizeof(name), "c%d", i % COORDINATORS + 1);
		status = call(cluster_address(s->cluster, name, "control"),
			      method, path, body, &answer, 2000);
		if (status == 200 &&
		    (!version || standin_has_version(answer, version)))
			return;
		assert_true(clock_now_ms() < end_ms);
		g_usleep(50000);
	}
}

static void set_routes(struct system *s, uint32_t version)
{
	g_autofree char *routes =
		standin_write_routes(version, "desk", HOST, PREFIX, 4000);

	control(s, "POST", standin_set_routes_path, routes, 0);
}

static void expect_routes(struct system *s, uint32_t version)
{
	control(s, "GET", standin_get_routes_path, NULL, version);
}

static uint32_t submit(struct system *s, int dispatcher, const char *id,
		       uint32_t run_ms, char **answer)
{
	g_autofree char *body = standin_write_job(TASKS, 700, run_ms);
	g_autofree char *path = g_strdup_printf(PREFIX "%s", id);
	char name[16];

	snprintf(name, sizeof(name), "d%d", dispatcher % DISPATCHERS + 1);
	return call(cluster_address(s->cluster, name, "http"), "POST", path,
		    body, answer, DEADLINE_MS + 500);
}

static void start_all(struct system *s)
{
	for (int i = 0; i < s->cluster->n_procs; i++)
		proc_start(s->cluster, &s->cluster->procs[i]);
	for (int i = 0; i < AGENTS; i++) {
		char agent[16], name[16], address[40];

		snprintf(agent, sizeof(agent), "a%d", i + 1);
		snprintf(name, sizeof(name), "i-%d", i + 1);
		snprintf(address, sizeof(address), "%s:%d", s->cluster->ip,
			 25000 + i);
		s->standins[i] = standin_create(
			s->record, name, address,
			cluster_address(s->cluster, agent, "control"));
	}
	set_routes(s, 1);
	for (int i = 1; i <= DISPATCHERS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "d%d", i);
		cluster_wait_ready(s->cluster, name, WAIT_MS);
	}
}

static struct system *begin(void)
{
	const struct cluster_options none = { 0 };
	struct system *s = g_new0(struct system, 1);

	s->cluster = cluster_create(&none);
	s->record = standin_record_create();
	lay_out(s);
	start_all(s);
	return s;
}

static void finish(struct system *s)
{
	for (int i = 0; i < AGENTS; i++)
		standin_destroy(s->standins[i]);
	assert_int_equal(standin_doubles(s->record), 0);
	standin_record_destroy(s->record);
	cluster_destroy(s->cluster);
	g_free(s);
}

/* ---- Callers ---- */

struct caller {
	struct system *system;
	int number;
	int completed, resent, refused;
};

static bool get_done(struct caller *c, const char *id, int first)
{
	for (int i = 0; i < TRIES_MAX; i++) {
		g_autofree char *answer = NULL;
		uint32_t status =
			submit(c->system, first + i, id, RUN_MS, &answer);

		if (status == 200)
			return standin_is_completed(answer);
		if (status == 429 || status == 503) {
			c->refused++;
			g_usleep(REFUSED_US);
			continue;
		}
		c->resent++;
		g_usleep(RESEND_US);
	}
	return false;
}

static gpointer run_caller(gpointer arg)
{
	struct caller *c = arg;

	for (int i = 0; i < JOBS_A_CALLER; i++) {
		char id[20];

		snprintf(id, sizeof(id), "%08x%08x", c->number, i);
		c->completed += get_done(c, id, i);
	}
	return NULL;
}

struct trouble {
	const char *process;
	enum { KILL, FREEZE, TERM } kind;
};

static void bring(struct system *s, const struct trouble *trouble)
{
	struct proc *p = cluster_proc(s->cluster, trouble->process);

	switch (trouble->kind) {
	case KILL:
		proc_kill(p);
		g_usleep(STEP_US / 2);
		proc_start(s->cluster, p);
		break;
	case FREEZE:
		proc_freeze(p);
		g_usleep(STEP_US * 2);
		proc_thaw(p);
		break;
	case TERM:
		assert_int_equal(proc_stop(p), 0);
		proc_start(s->cluster, p);
		break;
	}
	g_usleep(STEP_US);
}

static void play(const struct trouble *troubles, size_t n)
{
	struct system *s = begin();
	struct caller callers[CALLERS] = { 0 };
	GThread *threads[CALLERS];
	int completed = 0, resent = 0, refused = 0;

	for (int i = 0; i < CALLERS; i++) {
		callers[i].system = s;
		callers[i].number = i + 1;
		threads[i] = g_thread_new("caller", run_caller, &callers[i]);
	}
	for (size_t i = 0; i < n; i++)
		bring(s, &troubles[i]);
	for (int i = 0; i < CALLERS; i++) {
		g_thread_join(threads[i]);
		completed += callers[i].completed;
		resent += callers[i].resent;
		refused += callers[i].refused;
	}
	fprintf(stderr,
		"count: jobs=%d completed=%d resent=%d refused=%d runs=%u "
		"doubles=%u\n",
		CALLERS * JOBS_A_CALLER, completed, resent, refused,
		standin_runs(s->record), standin_doubles(s->record));
	assert_int_equal(completed, CALLERS * JOBS_A_CALLER);
	finish(s);
}

/* ---- Tests ---- */

static void test_agents_lost(void **state)
{
	static const struct trouble troubles[] = {
		{ "a1", KILL }, { "a2", FREEZE }, { "a3", TERM }, { "a1", KILL }
	};

	(void)state;
	play(troubles, G_N_ELEMENTS(troubles));
}

static void test_dispatchers_lost(void **state)
{
	static const struct trouble troubles[] = {
		{ "d1", KILL }, { "d2", FREEZE }, { "d1", TERM }, { "d2", KILL }
	};

	(void)state;
	play(troubles, G_N_ELEMENTS(troubles));
}

static void test_coordinators_lost(void **state)
{
	static const struct trouble troubles[] = {
		{ "c1", KILL }, { "c2", KILL }, { "c3", FREEZE }, { "c1", TERM }
	};

	(void)state;
	play(troubles, G_N_ELEMENTS(troubles));
}

/* Runs that would go on for longer than a caller waits to send its job
 * again end with their dispatcher, before another one starts them. */
static gpointer submit_long(gpointer arg)
{
	g_autofree char *answer = NULL;

	submit(arg, 0, "00000000000000aa", LONG_RUN_MS, &answer);
	return NULL;
}

static void test_runs_end_with_their_dispatcher(void **state)
{
	static const bool frozen[] = { false, true };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(frozen); i++) {
		struct system *s = begin();
		struct proc *lost = cluster_proc(s->cluster, "d1");
		GThread *caller = g_thread_new("caller", submit_long, s);
		g_autofree char *answer = NULL;
		int64_t end_ms = clock_now_ms() + WAIT_MS;

		while (standin_runs(s->record) < TASKS) {
			assert_true(clock_now_ms() < end_ms);
			g_usleep(10000);
		}
		if (frozen[i])
			proc_freeze(lost);
		else
			proc_kill(lost);
		g_usleep(RESEND_US);
		assert_int_equal(
			submit(s, 1, "00000000000000aa", LONG_RUN_MS, &answer),
			200);
		assert_true(standin_is_completed(answer));
		assert_int_equal(standin_doubles(s->record), 0);
		if (frozen[i])
			proc_kill(lost);
		g_thread_join(caller);
		finish(s);
	}
}

/* A coordinator comes back with an empty disk and joins by itself; then
 * another one is lost, so that what was accepted needs the new one. */
static void test_empty_disk(void **state)
{
	struct system *s = begin();
	struct proc *lost = cluster_proc(s->cluster, "c3");
	g_autofree char *folder = g_strdup_printf("%s/c3", s->cluster->folder);
	g_autofree char *moved =
		g_strdup_printf("%s/c3-old", s->cluster->folder);
	g_autofree char *path = standin_take_out_path("dc9");

	(void)state;
	set_routes(s, 5);
	proc_kill(lost);
	assert_int_equal(rename(folder, moved), 0);
	proc_set(lost, "--first-start", "false");
	proc_start(s->cluster, lost);
	cluster_wait_ready(s->cluster, "c3", WAIT_MS);
	set_routes(s, 9);
	expect_routes(s, 9);
	/* c3 votes again once the group has made it a voter. */
	for (int64_t end_ms = clock_now_ms() + WAIT_MS;;) {
		g_autofree char *answer = NULL;

		call(cluster_address(s->cluster, "c3", "admin"), "GET",
		     "/v1/status", NULL, &answer, 2000);
		if (strstr(answer, "\"voter\":true,\"leaving\":false,"
				   "\"disk_known\":true") &&
		    !strstr(answer, "\"voter\":false") &&
		    !strstr(answer, "\"id\":3,"))
			break;
		assert_true(clock_now_ms() < end_ms);
		g_usleep(50000);
	}
	proc_kill(cluster_proc(s->cluster, "c1"));
	control(s, "POST", path, NULL, 0);
	expect_routes(s, 9);
	finish(s);
}

/* A coordinator whose disk takes no more bytes ends by itself and, started
 * again once there is room, votes: the group bears the next loss. */
static void test_full_disk(void **state)
{
	struct system *s = begin();
	struct proc *full = cluster_proc(s->cluster, "c3");
	int status = -1;

	(void)state;
	proc_limit_files(full, 1);
	for (uint32_t version = 2; status < 0 && version < 200; version++) {
		set_routes(s, version);
		status = proc_wait(full, 100);
	}
	assert_int_equal(status, 1);
	proc_start(s->cluster, full);
	cluster_wait_ready(s->cluster, "c3", WAIT_MS);
	proc_kill(cluster_proc(s->cluster, "c1"));
	set_routes(s, 900);
	expect_routes(s, 900);
	finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_agents_lost, cluster_teardown),
		cmocka_unit_test_teardown(test_dispatchers_lost,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_coordinators_lost,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_runs_end_with_their_dispatcher,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_empty_disk, cluster_teardown),
		cmocka_unit_test_teardown(test_full_disk, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
