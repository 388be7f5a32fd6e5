/*
 * test_speed_view: the speeds of servers as a dispatcher combines them. Servers
 * whose speed isn't known, or isn't known well, must count as average unless
 * their kind is known; an old or lost report must lose its weight; and even
 * servers must all count as 1, so that decisions stay as they were.
 */
#include "leased/speed_view.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define SERVERS_MAX 8
#define REPORTED_MS 1000
/* Standard deviations after five runs and more, and after two. */
#define CERTAIN 0.1
#define FEW_RUNS 0.35

struct server {
	const char *kind;
	double log, sd; /* as reported */
	double factor; /* expected */
};

static const struct {
	const char *name;
	struct server servers[SERVERS_MAX];
	int64_t age_ms; /* of the reports */
	uint32_t known;
} cases[] = {
	{ "nothing is reported, as by agents of an older version",
	  { { "", 0, 0, 1 }, { "", 0, 0, 1 }, { "", 0, 0, 1 } },
	  0,
	  0 },
	{ "all are as slow",
	  { { "", 0.5, CERTAIN, 1 },
	    { "", 0.5, CERTAIN, 1 },
	    { "", 0.5, CERTAIN, 1 } },
	  0,
	  3 },
	{ "within two standard deviations of the average",
	  { { "", 0.15, CERTAIN, 1 },
	    { "", -0.15, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 } },
	  0,
	  3 },
	{ "of many even servers, one differs by chance",
	  { { "", 0.28, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 } },
	  0,
	  8 },
	{ "of many even servers, one is slow",
	  { { "", 0.8, CERTAIN, 2.014 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 },
	    { "", 0, CERTAIN, 1 } },
	  0,
	  8 },
	{ "one of three is slow",
	  { { "", -0.36, CERTAIN, 0.743 },
	    { "", -0.36, CERTAIN, 0.743 },
	    { "", 0.53, CERTAIN, 1.810 } },
	  0,
	  3 },
	{ "one server alone is the average",
	  { { "", 0.9, CERTAIN, 1 }, { "", 0, 0, 1 } },
	  0,
	  1 },
	{ "after a single run a server may seem slow by chance",
	  { { "", 0, CERTAIN, 1 }, { "", 0, CERTAIN, 1 }, { "", 0.9, 0.5, 1 } },
	  0,
	  3 },
	{ "an outlier neither moves the average far nor counts fully",
	  { { "", 0, CERTAIN, 0.779 },
	    { "", 0, CERTAIN, 0.779 },
	    { "", 0, CERTAIN, 0.779 },
	    { "", 3, CERTAIN, 2.718 } },
	  0,
	  4 },
	{ "unknown servers take after their kind",
	  { { "new", -0.3, CERTAIN, 0.741 },
	    { "new", -0.3, CERTAIN, 0.741 },
	    { "new", -0.3, CERTAIN, 0.741 },
	    { "new", 0, 0, 0.741 },
	    { "old", 0.3, CERTAIN, 1.350 },
	    { "old", 0.3, CERTAIN, 1.350 },
	    { "old", 0.3, CERTAIN, 1.350 },
	    { "old", 0, 0, 1.350 } },
	  0,
	  6 },
	{ "a server with few runs takes after its kind",
	  { { "new", -0.3, CERTAIN, 0.729 },
	    { "new", -0.3, CERTAIN, 0.729 },
	    { "new", -0.3, CERTAIN, 0.729 },
	    { "old", 0.3, CERTAIN, 1.328 },
	    { "old", 0.3, CERTAIN, 1.328 },
	    { "old", 0.3, CERTAIN, 1.328 },
	    { "old", 0.1163, FEW_RUNS, 1.328 } },
	  0,
	  7 },
	{ "kinds that don't agree tell nothing",
	  { { "a", -0.4, CERTAIN, 0.670 },
	    { "a", 0.4, CERTAIN, 1.492 },
	    { "a", -0.4, CERTAIN, 0.670 },
	    { "a", 0.4, CERTAIN, 1.492 },
	    { "a", 0, 0, 1 } },
	  0,
	  4 },
	{ "two servers don't make a kind known",
	  { { "a", 0.3, CERTAIN, 1.350 },
	    { "a", 0.3, CERTAIN, 1.350 },
	    { "a", 0, 0, 1 },
	    { "b", -0.3, CERTAIN, 0.741 },
	    { "b", -0.3, CERTAIN, 0.741 } },
	  0,
	  4 },
	{ "servers that report no kind are no kind",
	  { { "", 0.3, CERTAIN, 1.350 },
	    { "", 0.3, CERTAIN, 1.350 },
	    { "", 0.3, CERTAIN, 1.350 },
	    { "", 0, 0, 1 },
	    { "b", -0.3, CERTAIN, 0.741 },
	    { "b", -0.3, CERTAIN, 0.741 },
	    { "b", -0.3, CERTAIN, 0.741 } },
	  0,
	  6 },
	{ "reports of 40 s ago count no more",
	  { { "", -0.36, CERTAIN, 1 },
	    { "", -0.36, CERTAIN, 1 },
	    { "", 0.53, CERTAIN, 1 } },
	  40000,
	  0 },
};

static void report(struct speed_view *view, uint64_t id,
		   const struct server *server, int64_t now_ms)
{
	struct speed_report r = { .log = server->log, .sd = server->sd };

	g_strlcpy(r.kind, server->kind, sizeof(r.kind));
	speed_view_update(view, id, &r, now_ms);
}

static void check_factor(const struct speed_view *view, uint64_t id,
			 double factor)
{
	double is = speed_view_factor(view, id);

	print_message("  server %u: %.3f\n", (unsigned)id, is);
	assert_true(fabs(is - factor) < 0.002);
}

static void test_reports(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct speed_view *view = speed_view_create();

		print_message("%s\n", cases[i].name);
		for (uint64_t k = 0;
		     k < SERVERS_MAX && cases[i].servers[k].kind; k++)
			report(view, k, &cases[i].servers[k], REPORTED_MS);
		speed_view_refresh(view, REPORTED_MS + cases[i].age_ms);
		for (uint64_t k = 0;
		     k < SERVERS_MAX && cases[i].servers[k].kind; k++)
			check_factor(view, k, cases[i].servers[k].factor);
		assert_int_equal(speed_view_known(view), cases[i].known);
		speed_view_destroy(view);
	}
}

/* Two fast servers, then one that is slow, with reports of that one that
 * change. */
static const struct {
	const char *name;
	struct server last; /* the slow one's newest report */
	int64_t age_ms;
	bool removed;
	double factor;
	bool known;
} changes[] = {
	{ "unchanged", { "", 0.53, CERTAIN, 0 }, 0, false, 1.810, true },
	{ "its agent or its server was replaced",
	  { "", 0, 0, 0 },
	  0,
	  false,
	  1,
	  false },
	{ "it was removed", { "", 0.53, CERTAIN, 0 }, 0, true, 1, false },
	{ "it is as fast as the others now",
	  { "", -0.36, CERTAIN, 0 },
	  0,
	  false,
	  1,
	  true },
	/* Without this, a value at the limit would come and go. */
	{ "once known, it counts until it is within one deviation",
	  { "", 0.53, 0.4, 0 },
	  0,
	  false,
	  1.810,
	  false },
	{ "its connection is lost: it counts for a while",
	  { "", 0.53, CERTAIN, 0 },
	  10000,
	  false,
	  1.810,
	  false },
	{ "its connection is lost: then no more",
	  { "", 0.53, CERTAIN, 0 },
	  40000,
	  false,
	  1,
	  false },
};

static void test_changes(void **state)
{
	static const struct server fast = { "", -0.36, CERTAIN, 0 };
	static const struct server slow = { "", 0.53, CERTAIN, 0 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		struct speed_view *view = speed_view_create();
		int64_t now_ms = REPORTED_MS;

		print_message("%s\n", changes[i].name);
		report(view, 1, &fast, now_ms);
		report(view, 2, &fast, now_ms);
		report(view, 3, &slow, now_ms);
		speed_view_refresh(view, now_ms);
		check_factor(view, 3, 1.810);
		report(view, 3, &changes[i].last, now_ms);
		now_ms += changes[i].age_ms;
		report(view, 1, &fast, now_ms);
		report(view, 2, &fast, now_ms);
		if (changes[i].removed)
			speed_view_remove(view, 3);
		speed_view_refresh(view, now_ms);
		check_factor(view, 3, changes[i].factor);
		assert_int_equal(speed_view_is_known(view, 3),
				 changes[i].known);
		speed_view_destroy(view);
	}
}

/* A dispatcher that restarts must know the speeds with the first reports. */
static void test_dispatcher_restart(void **state)
{
	struct speed_view *view = speed_view_create();
	static const struct server fast = { "", -0.36, CERTAIN, 0 };
	static const struct server slow = { "", 0.53, CERTAIN, 0 };

	(void)state;
	speed_view_refresh(view, REPORTED_MS);
	check_factor(view, 3, 1);
	report(view, 1, &fast, REPORTED_MS);
	report(view, 2, &fast, REPORTED_MS);
	report(view, 3, &slow, REPORTED_MS);
	speed_view_refresh(view, REPORTED_MS);
	check_factor(view, 1, 0.743);
	check_factor(view, 3, 1.810);
	speed_view_destroy(view);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reports),
		cmocka_unit_test(test_changes),
		cmocka_unit_test(test_dispatcher_restart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
