/*
 * leased_routes: see leased_routes.h.
 */
#include "support/leased_routes.h"

#include "base/clock.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define POLL_US 5000
#define USABLE "chervilferry_servers_usable"
#define FIRST_JOB "00000000000000aa"

/* ---- Functions ---- */

void leased_routes_wait_metric(struct leased_system *s, const char *process,
			       const char *metric, int64_t value)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	while (cluster_metric(s->cluster, process, metric) != value) {
		if (clock_now_ms() >= end_ms)
			fail_msg("%s of %s is %d, not %d", metric, process,
				 (int)cluster_metric(s->cluster, process,
						     metric),
				 (int)value);
		g_usleep(POLL_US);
	}
}

struct leased_system *leased_routes_begin(const char *route)
{
	const char *const routes[] = { route, NULL };
	struct leased_system *s = leased_system_begin(true);
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	leased_system_set_named_routes(s, 2, routes);
	for (int i = 0; i < SYSTEM_DISPATCHERS; i++)
		while (leased_system_submit_named(s, i, route, FIRST_JOB, 1) !=
		       200)
			assert_true(clock_now_ms() < end_ms);
	leased_routes_wait_metric(s, "d1", USABLE, SYSTEM_AGENTS);
	leased_routes_wait_metric(s, "d2", USABLE, SYSTEM_AGENTS);
	return s;
}

void leased_routes_finish(struct leased_system *s)
{
	for (int i = 0; i < SYSTEM_AGENTS; i++)
		if (!s->standins[i])
			leased_system_start_server(s, i);
	leased_system_finish(s);
}
