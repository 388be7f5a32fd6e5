/*
 * Backend servers that crash, with real processes: a simulated backend server
 * stops listening as soon as a certain task runs there, and is back under
 * another name after some seconds.
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

#define RUN_MS 800
#define DOWN_MS 2500
#define POLL_US 2000
#define CRASHES_MAX 10

struct caller {
	struct leased_system *system;
	const char *id;
	char *answer;
	uint32_t status;
	gint done;
};

static gpointer submit(gpointer arg)
{
	struct caller *c = arg;

	c->status =
		leased_system_submit(c->system, 0, c->id, RUN_MS, &c->answer);
	g_atomic_int_set(&c->done, 1);
	return NULL;
}

static void restart_servers(struct leased_system *s, const int64_t *crashed_ms)
{
	for (int i = 0; i < SYSTEM_AGENTS; i++)
		if (!s->standins[i] &&
		    clock_now_ms() >= crashed_ms[i] + DOWN_MS)
			leased_system_start_server(s, i);
}

/* Crashes each server on which the first task of the job runs, until the job
 * has its answer. Returns the number of crashes. */
static int crash_servers(struct leased_system *s, struct caller *c)
{
	int64_t crashed_ms[SYSTEM_AGENTS] = { 0 };
	int crashes = 0;

	while (!g_atomic_int_get(&c->done) && crashes < CRASHES_MAX) {
		const struct standin *at = standin_running(s->record, c->id, 0);

		for (int i = 0; at && i < SYSTEM_AGENTS; i++) {
			if (s->standins[i] != at)
				continue;
			leased_system_crash_server(s, i);
			crashed_ms[i] = clock_now_ms();
			crashes++;
		}
		restart_servers(s, crashed_ms);
		g_usleep(POLL_US);
	}
	for (int i = 0; i < SYSTEM_AGENTS; i++)
		if (!s->standins[i])
			leased_system_start_server(s, i);
	return crashes;
}

/* A job that crashes nothing completes, as soon as a server is back. */
static void run_calm_job(struct leased_system *s, int dispatcher)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;
	uint32_t status;

	do {
		g_autofree char *answer = NULL;

		status = leased_system_submit(s, dispatcher, "00000000000000ca",
					      RUN_MS, &answer);
		assert_true(status != 200 || standin_is_completed(answer));
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	} while (status != 200);
}

/* Guards against a task that crashes server after server, also when its job is
 * sent again to another dispatcher, and against other jobs that fail with it.
 */
static void test_crashing_task_is_given_up(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	struct caller c = { .system = s, .id = "00000000000000cc" };
	GThread *thread = g_thread_new("caller", submit, &c);
	int crashes = crash_servers(s, &c);
	uint32_t runs;
	int64_t sent_ms;
	g_autofree char *again = NULL;

	(void)state;
	g_thread_join(thread);
	runs = standin_runs_of(s->record, c.id);
	fprintf(stderr, "count: crashes=%d status=%u runs=%u answer=%s\n",
		crashes, c.status, runs, c.answer);
	assert_int_equal(c.status, 504);
	assert_in_range(crashes, 2, 3);
	run_calm_job(s, 1);
	sent_ms = clock_now_ms();
	assert_int_equal(leased_system_submit(s, 1, c.id, RUN_MS, &again), 504);
	assert_true(clock_now_ms() - sent_ms < 500);
	assert_int_equal(standin_runs_of(s->record, c.id), runs);
	g_free(c.answer);
	leased_system_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_crashing_task_is_given_up,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
