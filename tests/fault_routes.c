/*
 * fault_routes: many routes reach the dispatchers of a deployment as what
 * changed, and in parts. The leased roles run as real processes.
 */
#include "support/leased_routes.h"

#include "base/clock.h"
#include "platform/standin.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define ROUTES 3000
#define VERSION "chervilferry_routes_version"
#define BYTES_OUT "chervilferry_link_bytes_total{dir=\"out\"}"
#define DOCUMENTS "chervilferry_routes_fetches_total{what=\"document\"}"
#define POLL_US 5000
#define CHANGES 4
/* The log of each other coordinator takes a whole document. */
#define OTHER_COORDINATORS (SYSTEM_COORDINATORS - 1)

/* ---- Support ---- */

/* Routes that differ in one name, so in one place, from version to version. */
static size_t set_routes(struct leased_system *s, uint32_t version)
{
	g_autofree char **names = g_new0(char *, ROUTES + 1);
	g_autofree char *text = NULL;

	for (uint32_t i = 0; i < ROUTES; i++)
		names[i] = g_strdup_printf("route-%05u-%u", i,
					   i == ROUTES / 2 ? version : 0);
	text = standin_write_named_routes(version, "desk", "h.example",
					  (const char *const *)names, 1000);
	leased_system_control(s, "POST", standin_set_routes_path, text, 0);
	for (uint32_t i = 0; i < ROUTES; i++)
		g_free(names[i]);
	return strlen(text);
}

static void wait_version(struct leased_system *s, uint32_t version)
{
	leased_routes_wait_metric(s, "d1", VERSION, version);
	leased_routes_wait_metric(s, "d2", VERSION, version);
}

static int64_t sum_of_coordinators(struct leased_system *s, const char *metric)
{
	int64_t sum = 0;

	for (int i = 1; i <= SYSTEM_COORDINATORS; i++) {
		char name[8];

		snprintf(name, sizeof(name), "c%d", i);
		sum += cluster_metric(s->cluster, name, metric);
	}
	return sum;
}

/* ---- Tests ---- */

/* Guards against a change of one route that costs the whole configuration for
 * every process (review/13): agents need no routes, and dispatchers the change
 * only. */
static void test_a_change_costs_what_changed(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	size_t document_bytes = set_routes(s, 2);
	int64_t before, sent;

	(void)state;
	wait_version(s, 2);
	before = sum_of_coordinators(s, BYTES_OUT);
	for (uint32_t i = 1; i <= CHANGES; i++) {
		set_routes(s, 2 + i);
		wait_version(s, 2 + i);
	}
	sent = sum_of_coordinators(s, BYTES_OUT) - before;
	print_message("count: document=%zu bytes_a_change=%d\n", document_bytes,
		      (int)(sent / CHANGES));
	assert_true(sent < (int64_t)((OTHER_COORDINATORS + 1) * CHANGES *
				     document_bytes));
	leased_system_finish(s);
}

static void freeze_dispatcher(struct leased_system *s)
{
	proc_freeze(cluster_proc(s->cluster, "d1"));
}

static void thaw_dispatcher(struct leased_system *s)
{
	proc_thaw(cluster_proc(s->cluster, "d1"));
}

static void kill_dispatcher(struct leased_system *s)
{
	proc_kill(cluster_proc(s->cluster, "d1"));
}

static void start_dispatcher(struct leased_system *s)
{
	proc_start(s->cluster, cluster_proc(s->cluster, "d1"));
}

static void kill_coordinator(struct leased_system *s)
{
	proc_kill(cluster_proc(s->cluster, "c1"));
}

static void start_coordinator(struct leased_system *s)
{
	proc_start(s->cluster, cluster_proc(s->cluster, "c1"));
}

static const struct absence {
	const char *who;
	void (*begin)(struct leased_system *s);
	void (*end)(struct leased_system *s);
	int documents; /* sent whole to those who come back */
} absences[] = {
	{ "a dispatcher is frozen", freeze_dispatcher, thaw_dispatcher, 0 },
	{ "a dispatcher is killed", kill_dispatcher, start_dispatcher, 1 },
	{ "a coordinator is killed", kill_coordinator, start_coordinator, 0 },
};

/* Guards against dispatchers that stay behind, or are all sent the document
 * again, when they or a coordinator were away while routes changed. */
static void test_who_was_away_catches_up(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	uint32_t version = 2;

	(void)state;
	set_routes(s, version);
	wait_version(s, version);
	for (size_t i = 0; i < G_N_ELEMENTS(absences); i++) {
		const struct absence *absence = &absences[i];
		int64_t before;

		print_message("case: %s\n", absence->who);
		absence->begin(s);
		before = sum_of_coordinators(s, DOCUMENTS);
		for (int n = 0; n < CHANGES; n++)
			set_routes(s, ++version);
		absence->end(s);
		wait_version(s, version);
		assert_true(sum_of_coordinators(s, DOCUMENTS) <=
			    before + absence->documents);
	}
	leased_system_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_a_change_costs_what_changed,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_who_was_away_catches_up,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
