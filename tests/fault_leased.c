/*
 * Jobs that may run again, by real processes: coordinators that find each
 * other by seeds, agents, dispatchers, and stand-ins for backend servers
 * that run under leases. Processes are killed, frozen and stopped while
 * callers send jobs, again after 1.3 s without an answer, as the users'
 * callers do. No task may have two runs at the same time, and every job
 * is answered whole.
 */
#include "support/leased_system.h"

#include "base/clock.h"
#include "platform/standin.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define CALLERS 6
#define JOBS_A_CALLER 40
#define RESEND_US 1300000
#define REFUSED_US 200000
#define TRIES_MAX 30
#define STEP_US 700000
#define RUN_MS 60
#define LONG_RUN_MS 2500 /* longer than a caller waits to send again */

/* ---- Callers ---- */

struct caller {
	struct leased_system *system;
	int number;
	int completed, resent, refused;
};

static bool get_done(struct caller *c, const char *id, int first)
{
	for (int i = 0; i < TRIES_MAX; i++) {
		g_autofree char *answer = NULL;
		uint32_t status = leased_system_submit(c->system, first + i, id,
						       RUN_MS, &answer);

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

static void bring(struct leased_system *s, const struct trouble *trouble)
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
	struct leased_system *s = leased_system_begin(false);
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
	leased_system_finish(s);
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

	leased_system_submit(arg, 0, "00000000000000aa", LONG_RUN_MS, &answer);
	return NULL;
}

static void test_runs_end_with_their_dispatcher(void **state)
{
	static const bool frozen[] = { false, true };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(frozen); i++) {
		struct leased_system *s = leased_system_begin(false);
		struct proc *lost = cluster_proc(s->cluster, "d1");
		GThread *caller = g_thread_new("caller", submit_long, s);
		g_autofree char *answer = NULL;
		int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

		while (standin_runs(s->record) < SYSTEM_TASKS) {
			assert_true(clock_now_ms() < end_ms);
			g_usleep(10000);
		}
		if (frozen[i])
			proc_freeze(lost);
		else
			proc_kill(lost);
		g_usleep(RESEND_US);
		assert_int_equal(leased_system_submit(s, 1, "00000000000000aa",
						      LONG_RUN_MS, &answer),
				 200);
		assert_true(standin_is_completed(answer));
		assert_int_equal(standin_doubles(s->record), 0);
		if (frozen[i])
			proc_kill(lost);
		g_thread_join(caller);
		leased_system_finish(s);
	}
}

/* A coordinator comes back with an empty disk and joins by itself; then
 * another one is lost, so that what was accepted needs the new one. */
static void test_empty_disk(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	struct proc *lost = cluster_proc(s->cluster, "c3");
	g_autofree char *folder = g_strdup_printf("%s/c3", s->cluster->folder);
	g_autofree char *moved =
		g_strdup_printf("%s/c3-old", s->cluster->folder);
	g_autofree char *path = standin_take_out_path("dc9");

	(void)state;
	leased_system_set_routes(s, 5);
	proc_kill(lost);
	assert_int_equal(rename(folder, moved), 0);
	proc_set(lost, "--first-start", "false");
	proc_start(s->cluster, lost);
	cluster_wait_ready(s->cluster, "c3", SYSTEM_WAIT_MS);
	leased_system_set_routes(s, 9);
	leased_system_expect_routes(s, 9);
	/* c3 votes again once the group has made it a voter. */
	for (int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;;) {
		g_autofree char *answer = NULL;

		leased_system_call(s, 3, "admin", "GET", "/v1/status", NULL,
				   &answer);
		if (strstr(answer, "\"voter\":true,\"leaving\":false,"
				   "\"disk_known\":true") &&
		    !strstr(answer, "\"voter\":false") &&
		    !strstr(answer, "\"id\":3,"))
			break;
		assert_true(clock_now_ms() < end_ms);
		g_usleep(50000);
	}
	proc_kill(cluster_proc(s->cluster, "c1"));
	leased_system_control(s, "POST", path, NULL, 0);
	leased_system_expect_routes(s, 9);
	leased_system_finish(s);
}

/* A coordinator whose disk takes no more bytes ends by itself and, started
 * again once there is room, votes: the group bears the next loss. */
static void test_full_disk(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	struct proc *full = cluster_proc(s->cluster, "c3");
	int status = -1;

	(void)state;
	proc_limit_file_size(full, 1);
	for (uint32_t version = 2; status < 0 && version < 200; version++) {
		leased_system_set_routes(s, version);
		status = proc_wait(full, 100);
	}
	assert_int_equal(status, 1);
	proc_start(s->cluster, full);
	cluster_wait_ready(s->cluster, "c3", SYSTEM_WAIT_MS);
	proc_kill(cluster_proc(s->cluster, "c1"));
	leased_system_set_routes(s, 900);
	leased_system_expect_routes(s, 900);
	leased_system_finish(s);
}

/* A dispatcher that knows no routes yet says in its log which request it
 * refused. */
static void test_a_refusal_names_its_request(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	struct proc *dispatcher = cluster_proc(s->cluster, "d1");
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;
	g_autofree char *log = NULL;
	uint32_t status;

	(void)state;
	for (int i = 0; i < SYSTEM_COORDINATORS; i++)
		proc_kill(&s->cluster->procs[i]);
	proc_kill(dispatcher);
	proc_start(s->cluster, dispatcher);
	do {
		g_autofree char *answer = NULL;

		status = leased_system_submit(s, 0, "00000000000000bb", RUN_MS,
					      &answer);
		assert_true(clock_now_ms() < end_ms);
	} while (status == SYSTEM_NOT_CONNECTED || status == SYSTEM_NO_ANSWER);
	assert_int_equal(status, 503);
	/* The line is written by a thread of its own. */
	while (!log || !strstr(log, "event=request_refused "
				    "job=00000000000000bb status=503")) {
		g_clear_pointer(&log, g_free);
		assert_true(
			g_file_get_contents(dispatcher->log, &log, NULL, NULL));
		assert_true(clock_now_ms() < end_ms);
		g_thread_yield();
	}
	leased_system_finish(s);
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
		cmocka_unit_test_teardown(test_a_refusal_names_its_request,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
