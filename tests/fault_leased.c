/*
 * Process faults in the leased roles. The tests use real processes:
 * coordinators that find each other through seeds, agents, dispatchers, and
 * simulated backend servers that run tasks under leases. Processes are killed,
 * frozen and stopped while callers submit jobs. A caller without an answer
 * sends its job again after 1.3 s, as the users' callers do. Runs of one task
 * must never overlap, and every job must complete with all its tasks.
 */
#include "support/leased_system.h"

#include "base/clock.h"
#include "leased/leases.h"
#include "platform/standin.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define CALLER_COUNT 6
#define JOBS_PER_CALLER 40
#define RESEND_US 1300000
#define REFUSAL_BACKOFF_US 200000
#define TRIES_MAX 30
#define FAULT_INTERVAL_US 700000
#define RUN_MS 60
#define LONG_RUN_MS 2500 /* longer than RESEND_US */
#define LOG_BYTES_MAX 4096

/* ---- Callers ---- */

struct caller {
	struct leased_system *system;
	int number;
	int completed, resent, refused;
};

static bool submit_until_done(struct caller *c, const char *id, int first)
{
	for (int i = 0; i < TRIES_MAX; i++) {
		g_autofree char *answer = NULL;
		uint32_t status = leased_system_submit(c->system, first + i, id,
						       RUN_MS, &answer);

		if (status == 200)
			return standin_is_completed(answer);
		if (status == 429 || status == 503) {
			c->refused++;
			g_usleep(REFUSAL_BACKOFF_US);
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

	for (int i = 0; i < JOBS_PER_CALLER; i++) {
		char id[20];

		snprintf(id, sizeof(id), "%08x%08x", c->number, i);
		c->completed += submit_until_done(c, id, i);
	}
	return NULL;
}

struct process_fault {
	const char *process;
	enum { KILL, FREEZE, TERM } kind;
};

static void inject_fault(struct leased_system *s,
			 const struct process_fault *process_fault)
{
	struct proc *p = cluster_proc(s->cluster, process_fault->process);

	switch (process_fault->kind) {
	case KILL:
		proc_kill(p);
		g_usleep(FAULT_INTERVAL_US / 2);
		proc_start(s->cluster, p);
		break;
	case FREEZE:
		proc_freeze(p);
		g_usleep(FAULT_INTERVAL_US * 2);
		proc_thaw(p);
		break;
	case TERM:
		assert_int_equal(proc_stop(p), 0);
		proc_start(s->cluster, p);
		break;
	}
	g_usleep(FAULT_INTERVAL_US);
}

static void run_with_faults(const struct process_fault *faults, size_t n)
{
	struct leased_system *s = leased_system_begin(false);
	struct caller callers[CALLER_COUNT] = { 0 };
	GThread *threads[CALLER_COUNT];
	int completed = 0, resent = 0, refused = 0;

	for (int i = 0; i < CALLER_COUNT; i++) {
		callers[i].system = s;
		callers[i].number = i + 1;
		threads[i] = g_thread_new("caller", run_caller, &callers[i]);
	}
	for (size_t i = 0; i < n; i++)
		inject_fault(s, &faults[i]);
	for (int i = 0; i < CALLER_COUNT; i++) {
		g_thread_join(threads[i]);
		completed += callers[i].completed;
		resent += callers[i].resent;
		refused += callers[i].refused;
	}
	fprintf(stderr,
		"count: jobs=%d completed=%d resent=%d refused=%d runs=%u "
		"doubles=%u\n",
		CALLER_COUNT * JOBS_PER_CALLER, completed, resent, refused,
		standin_runs(s->record), standin_overlapping_runs(s->record));
	assert_int_equal(completed, CALLER_COUNT * JOBS_PER_CALLER);
	leased_system_finish(s);
}

/* ---- Tests ---- */

static void test_agents_lost(void **state)
{
	static const struct process_fault faults[] = {
		{ "a1", KILL }, { "a2", FREEZE }, { "a3", TERM }, { "a1", KILL }
	};

	(void)state;
	run_with_faults(faults, G_N_ELEMENTS(faults));
}

static void test_dispatchers_lost(void **state)
{
	static const struct process_fault faults[] = {
		{ "d1", KILL }, { "d2", FREEZE }, { "d1", TERM }, { "d2", KILL }
	};

	(void)state;
	run_with_faults(faults, G_N_ELEMENTS(faults));
}

static void test_coordinators_lost(void **state)
{
	static const struct process_fault faults[] = {
		{ "c1", KILL }, { "c2", KILL }, { "c3", FREEZE }, { "c1", TERM }
	};

	(void)state;
	run_with_faults(faults, G_N_ELEMENTS(faults));
}

/* When a dispatcher is lost, its runs must end before another dispatcher starts
 * the same tasks. The runs take longer than the caller waits before it sends
 * its job again, so they overlap if they don't end with their dispatcher. */
static gpointer submit_long(gpointer arg)
{
	g_autofree char *answer = NULL;

	leased_system_submit(arg, 0, "00000000000000aa", LONG_RUN_MS, &answer);
	return NULL;
}

static void test_runs_end_with_their_dispatcher(void **state)
{
	static const struct {
		bool frozen, refuses_stops;
	} cases[] = {
		{ false, false },
		{ true, false },
		{ false, true },
		{ true, true },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct leased_system *s = leased_system_begin(false);
		struct proc *lost = cluster_proc(s->cluster, "d1");
		GThread *caller = g_thread_new("caller", submit_long, s);
		g_autofree char *answer = NULL;
		int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;
		int64_t lost_ms;

		if (cases[i].refuses_stops)
			standin_refuse_stops(s->record);
		while (standin_runs(s->record) < SYSTEM_TASKS) {
			assert_true(clock_now_ms() < end_ms);
			g_usleep(10000);
		}
		if (cases[i].frozen)
			proc_freeze(lost);
		else
			proc_kill(lost);
		lost_ms = clock_now_ms();
		g_usleep(RESEND_US);
		print_message("count: the last run ended %d ms after the "
			      "dispatcher\n",
			      (int)(standin_last_end_ms(s->record) - lost_ms));
		assert_true(standin_last_end_ms(s->record) > 0);
		/* The clocks of these servers aren't slow. */
		assert_true(standin_last_end_ms(s->record) <=
			    lost_ms + RUN_LEASE_MS + SERVER_LEASE_MS);
		assert_int_equal(leased_system_submit(s, 1, "00000000000000aa",
						      LONG_RUN_MS, &answer),
				 200);
		assert_true(standin_is_completed(answer));
		assert_int_equal(standin_overlapping_runs(s->record), 0);
		if (cases[i].frozen)
			proc_kill(lost);
		g_thread_join(caller);
		leased_system_finish(s);
	}
}

/* A coordinator restarts with an empty disk and rejoins without help. Then
 * another coordinator is lost, so that accepted changes can only be read and
 * made with the vote of the one that rejoined. */
static void test_empty_disk(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	struct proc *lost = cluster_proc(s->cluster, "c3");
	g_autofree char *folder = g_strdup_printf("%s/c3", s->cluster->folder);
	g_autofree char *moved =
		g_strdup_printf("%s/c3-old", s->cluster->folder);
	g_autofree char *path = standin_disable_path("dc9");

	(void)state;
	leased_system_set_routes(s, 5);
	proc_kill(lost);
	assert_int_equal(rename(folder, moved), 0);
	proc_set(lost, "--first-start", "false");
	proc_start(s->cluster, lost);
	cluster_wait_ready(s->cluster, "c3", SYSTEM_WAIT_MS);
	leased_system_set_routes(s, 9);
	leased_system_expect_routes(s, 9);
	/* Wait until the group has made c3 a voter again. */
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

/* A coordinator whose disk is full exits with status 1. Restarted with free
 * space, it votes again, so that the group survives the loss of another one. */
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

/* Guards against a process that exits with status 1 after a last line that
 * doesn't tell why. */
static void test_last_line_tells_the_full_disk(void **state)
{
	struct leased_system *s = leased_system_begin_group(1);
	struct proc *full = cluster_proc(s->cluster, "c3");
	g_autofree char *log = NULL;
	int status = -1;

	(void)state;
	/* Only errors are logged, so that the limit leaves room for them. */
	assert_int_equal(proc_stop(full), 0);
	assert_int_equal(g_remove(full->log), 0);
	proc_set(full, "--log-level", "error");
	proc_start(s->cluster, full);
	cluster_wait_ready(s->cluster, "c3", SYSTEM_WAIT_MS);
	proc_limit_file_size(full, LOG_BYTES_MAX);
	for (uint32_t version = 2; status < 0 && version < 200; version++) {
		leased_system_set_routes(s, version);
		status = proc_wait(full, 100);
	}
	assert_int_equal(status, 1);
	assert_true(g_file_get_contents(full->log, &log, NULL, NULL));
	assert_true(g_str_has_suffix(
		log, "event=stopped status=1 why=\"the disk fails\"\n"));
	leased_system_finish(s);
}

/* A dispatcher that has no routes yet must log the job id of each request that
 * it refuses. */
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
	/* A separate thread writes the log, so the line may come later. */
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
		cmocka_unit_test_teardown(test_last_line_tells_the_full_disk,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_a_refusal_names_its_request,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
