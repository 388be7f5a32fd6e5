/*
 * Interference with real processes: at the simulated backend servers, runs of
 * class "a" take twice as long while a run of class "b" is at the same server.
 * The dispatchers must find that pair and then keep the two classes apart, as
 * there is capacity for both.
 */
#include "support/leased_system.h"

#include "base/clock.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define CALLERS_A 6
#define CALLERS_B 2
#define CALLERS (CALLERS_A + CALLERS_B)
#define RUN_A_MS 80
#define RUN_B_MS 400
#define PAUSE_US 60000
#define SLOWDOWN 2.0
/* Runs of class a that are counted after the pair was found. */
#define RUNS_AFTER 300
#define FIND_WAIT_MS 60000

struct caller {
	struct leased_system *system;
	int number;
	const char *name;
	uint32_t run_ms;
	gint *stopping;
};

static gpointer run_caller(gpointer arg)
{
	const struct caller *c = arg;

	for (int i = 0; !g_atomic_int_get(c->stopping); i++) {
		char id[20];

		snprintf(id, sizeof(id), "%08x%08x", c->number, i);
		leased_system_submit_named(c->system, i + c->number, c->name,
					   id, c->run_ms);
		g_usleep(PAUSE_US);
	}
	return NULL;
}

static bool has_found(const struct leased_system *s, const char *process)
{
	g_autofree char *log = NULL;

	return g_file_get_contents(cluster_proc(s->cluster, process)->log, &log,
				   NULL, NULL) &&
	       strstr(log, "event=interference_found class=a beside=b");
}

static double fraction_beside(const struct leased_system *s, const char *when,
			      int64_t from_ms, uint32_t *runs)
{
	uint32_t beside;

	standin_count_beside(s->record, "a", "b", from_ms, runs, &beside);
	fprintf(stderr,
		"count: %s: %u runs of class a, %u began beside class b\n",
		when, *runs, beside);
	return *runs ? (double)beside / *runs : 0;
}

static void test_interfering_classes_are_kept_apart(void **state)
{
	static const char *const names[] = { "a", "b", NULL };
	struct leased_system *s = leased_system_begin(false);
	struct caller callers[CALLERS];
	GThread *threads[CALLERS];
	gint stopping = 0;
	double before, after;
	int64_t begin_ms = clock_now_ms(), found_ms;
	uint32_t runs = 0;

	(void)state;
	standin_set_slowdown(s->record, "a", "b", SLOWDOWN);
	leased_system_set_named_routes(s, 2, names);
	for (int i = 0; i < CALLERS; i++) {
		bool is_a = i < CALLERS_A;

		callers[i] = (struct caller){ s, i + 1, is_a ? "a" : "b",
					      is_a ? RUN_A_MS : RUN_B_MS,
					      &stopping };
		threads[i] = g_thread_new("caller", run_caller, &callers[i]);
	}
	while (!has_found(s, "d1") || !has_found(s, "d2")) {
		if (clock_now_ms() >= begin_ms + FIND_WAIT_MS)
			fraction_beside(s, "not found", begin_ms, &runs);
		assert_true(clock_now_ms() < begin_ms + FIND_WAIT_MS);
		g_usleep(50000);
	}
	found_ms = clock_now_ms();
	before = fraction_beside(s, "until found", begin_ms, &runs);
	runs = 0;
	while (runs < RUNS_AFTER) {
		uint32_t beside;

		assert_true(clock_now_ms() < found_ms + SYSTEM_WAIT_MS);
		g_usleep(50000);
		standin_count_beside(s->record, "a", "b", found_ms, &runs,
				     &beside);
	}
	fprintf(stderr, "count: found after %d ms\n",
		(int)(found_ms - begin_ms));
	after = fraction_beside(s, "after that", found_ms, &runs);
	g_atomic_int_set(&stopping, 1);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(threads[i]);
	assert_true(after < before / 2);
	leased_system_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(
			test_interfering_classes_are_kept_apart,
			cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
