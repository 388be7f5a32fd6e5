/*
 * Planned stops and starts of leased dispatchers, with real processes. Callers
 * whose requests meet a dispatcher that starts or drains must get the answers
 * of their jobs, not refusals.
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

#define EARLY_CALLERS 8
#define RUN_MS 60
#define POLL_US 2000

/* ---- Start ---- */

struct early_caller {
	struct leased_system *system;
	int number;
	uint32_t status;
	bool completed;
};

/* Submits a job as soon as dispatcher 1 accepts connections. */
static gpointer submit_early(gpointer arg)
{
	struct early_caller *c = arg;
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	do {
		g_autofree char *answer = NULL;
		char id[20];

		snprintf(id, sizeof(id), "%016x", 0xe0 + c->number);
		c->status =
			leased_system_submit(c->system, 0, id, RUN_MS, &answer);
		c->completed = c->status == 200 && standin_is_completed(answer);
	} while (c->status == SYSTEM_NOT_CONNECTED && clock_now_ms() < end_ms);
	return NULL;
}

static void signal_group(struct leased_system *s, const char *prefix, int n,
			 void (*send)(struct proc *p))
{
	for (int i = 1; i <= n; i++) {
		char name[16];

		snprintf(name, sizeof(name), "%s%d", prefix, i);
		send(cluster_proc(s->cluster, name));
	}
}

static void wait_for_held(struct leased_system *s, int64_t n)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	while (cluster_metric(s->cluster, "d1", "chervilferry_requests_held") <
	       n) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

/* A dispatcher that has just started holds jobs until it has routes and a
 * server can be reached; without that, it refuses them with 503. Frozen
 * coordinators delay the routes, and frozen agents the first server. The held
 * jobs must be served once these processes run again. */
static void test_jobs_at_the_start(void **state)
{
	static const struct {
		const char *frozen;
		int n;
	} cases[] = { { "c", SYSTEM_COORDINATORS }, { "a", SYSTEM_AGENTS } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct leased_system *s = leased_system_begin(false);
		struct proc *dispatcher = cluster_proc(s->cluster, "d1");
		struct early_caller callers[EARLY_CALLERS] = { 0 };
		GThread *threads[EARLY_CALLERS];

		proc_kill(dispatcher);
		signal_group(s, cases[i].frozen, cases[i].n, proc_freeze);
		for (int c = 0; c < EARLY_CALLERS; c++) {
			callers[c].system = s;
			callers[c].number = c;
			threads[c] = g_thread_new("caller", submit_early,
						  &callers[c]);
		}
		proc_start(s->cluster, dispatcher);
		wait_for_held(s, EARLY_CALLERS);
		signal_group(s, cases[i].frozen, cases[i].n, proc_thaw);
		for (int c = 0; c < EARLY_CALLERS; c++) {
			g_thread_join(threads[c]);
			assert_int_equal(callers[c].status, 200);
			assert_true(callers[c].completed);
		}
		leased_system_finish(s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_jobs_at_the_start,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
