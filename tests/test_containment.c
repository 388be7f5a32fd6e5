/*
 * test_containment: which crashes prove a class guilty, when classes are
 * contained and where they run, and simulations in which tasks crash servers:
 * the other classes must still be served, and crashes without a guilty class
 * must not contain one.
 */
#include "leased/containment.h"
#include "support/many_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

/* ---- Evidence ------------------------------------------------------- */

static void test_summary_names_the_likely_run_of_a_class(void **state)
{
	static const struct {
		const char *name;
		struct lost_run runs[3];
		size_t n;
		uint32_t ran_ms;
		bool repeats;
	} cases[] = {
		{ "youngest",
		  { { "a", 40, 0, 0 }, { "a", 11, 0, 0 } },
		  1,
		  11,
		  false },
		{ "another class",
		  { { "a", 11, 0, 0 }, { "b", 9, 0, 0 } },
		  2,
		  11,
		  false },
		{ "long run", { { "a", 101, 0, 0 } }, 0, 0, false },
		{ "start after the crash", { { "a", 0, 0, 0 } }, 0, 0, false },
		{ "class of an old process",
		  { { "", 11, 0, 0 } },
		  0,
		  0,
		  false },
		{ "task repeats its loss",
		  { { "a", 11, 1, 13 }, { "a", 4, 0, 0 }, { "a", 2, 1, 50 } },
		  1,
		  11,
		  true },
		{ "task was lost at another age",
		  { { "a", 11, 1, 40 } },
		  1,
		  11,
		  false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct class_loss losses[CLASS_LOSSES_MAX] = { 0 };

		print_message("%s\n", cases[i].name);
		assert_int_equal(loss_summarize(cases[i].runs, 3, losses),
				 cases[i].n);
		assert_int_equal(losses[0].ran_ms, cases[i].ran_ms);
		assert_int_equal(losses[0].repeats, cases[i].repeats);
	}
}

/* ---- Contained classes ---------------------------------------------- */

#define STEPS_MAX 8

struct crash_step {
	int64_t crashed_ms, after_ms;
	const char *host; /* NULL: the steps end */
	struct class_loss losses[2];
	const char *contained; /* the classes, one letter each */
};

static const struct {
	const char *name;
	uint32_t classes; /* known ones */
	struct crash_step steps[STEPS_MAX];
} sequences[] = {
	{ "four crashes at one age, until 10 s after the last",
	  3,
	  { { 1000, 0, "h1", { { "a", 11, false }, { "b", 40, false } }, "" },
	    { 1300, 0, "h2", { { "a", 12, false }, { "b", 90, false } }, "" },
	    { 1600, 0, "h3", { { "a", 11, false }, { "b", 60, false } }, "" },
	    { 1600, 100, "h3", { { "a", 11, false } }, "" }, /* the same */
	    { 1900, 0, "h4", { { "a", 11, false }, { "b", 9, false } }, "a" },
	    { 9000, 0, "h1", { { "a", 11, false } }, "a" },
	    { 0, 18999, "", { { "", 0, false } }, "a" },
	    { 0, 19000, "", { { "", 0, false } }, "" } } },
	{ "a task that repeats its loss",
	  3,
	  { { 1000, 0, "h1", { { "a", 11, false }, { "b", 40, false } }, "" },
	    { 1900,
	      0,
	      "h2",
	      { { "a", 11, true }, { "b", 7, false } },
	      "a" } } },
	{ "other ages",
	  3,
	  { { 1000, 0, "h1", { { "a", 11, false } }, "" },
	    { 1300, 0, "h2", { { "a", 30, false } }, "" },
	    { 1600, 0, "h3", { { "a", 50, false } }, "" },
	    { 1900, 0, "h4", { { "a", 75, false } }, "" } } },
	{ "two classes explain as much",
	  4,
	  { { 1000, 0, "h1", { { "a", 11, false }, { "b", 40, false } }, "" },
	    { 1300, 0, "h2", { { "a", 11, false }, { "b", 40, false } }, "" },
	    { 1600, 0, "h3", { { "a", 11, false }, { "b", 40, false } }, "" },
	    { 1900, 0, "h4", { { "a", 11, false }, { "b", 40, false } }, "" },
	    { 2000,
	      0,
	      "h5",
	      { { "a", 11, false }, { "b", 70, false } },
	      "a" } } },
	{ "one host crashes again and again",
	  3,
	  { { 1000, 0, "h1", { { "a", 11, false } }, "" },
	    { 1600, 0, "h1", { { "a", 11, false } }, "" },
	    { 2200, 0, "h1", { { "a", 11, false } }, "" },
	    { 2800, 0, "h1", { { "a", 11, false } }, "" } } },
	{ "a rack without power",
	  3,
	  { { 1000, 0, "h1", { { "a", 11, false } }, "" },
	    { 1002, 0, "h2", { { "a", 11, false } }, "" },
	    { 1009, 0, "h3", { { "a", 11, false } }, "" },
	    { 1012, 0, "h4", { { "a", 11, false } }, "" } } },
	{ "most crashes have another cause",
	  3,
	  { { 1000, 0, "h1", { { "a", 11, false } }, "" },
	    { 1300, 0, "h2", { { "a", 11, false } }, "" },
	    { 1600, 0, "h3", { { "a", 80, false } }, "" },
	    { 1900, 0, "h4", { { "a", 60, false } }, "" },
	    { 2100, 0, "h5", { { "a", 30, false } }, "" },
	    { 2400, 0, "h6", { { "a", 11, false } }, "" },
	    { 2700, 0, "h7", { { "a", 11, false } }, "" } } },
	{ "crashes that lie far apart",
	  3,
	  { { 1000, 0, "h1", { { "a", 11, false } }, "" },
	    { 2000, 0, "h2", { { "a", 11, false } }, "" },
	    { 3500, 0, "h3", { { "a", 11, false } }, "" },
	    { 4500, 0, "h4", { { "a", 11, false } }, "" } } },
	{ "the only class",
	  1,
	  { { 1000, 0, "h1", { { "a", 11, false } }, "" },
	    { 1300, 0, "h2", { { "a", 11, false } }, "" },
	    { 1600, 0, "h3", { { "a", 11, false } }, "" },
	    { 1900, 0, "h4", { { "a", 11, false } }, "" } } },
};

static void run_step(struct containment *c, uint32_t classes,
		     const struct crash_step *step)
{
	g_autoptr(GArray) changes =
		g_array_new(FALSE, FALSE, sizeof(struct containment_change));
	size_t n = *step->losses[1].class_name ? 2 : 1;
	int64_t now_ms = step->crashed_ms + step->after_ms;

	if (*step->host)
		containment_add_crash(c, step->host, step->losses, n,
				      step->crashed_ms, now_ms);
	containment_tick(c, classes, now_ms, changes);
	assert_int_equal(containment_count(c), strlen(step->contained));
	if (*step->contained)
		assert_true(containment_has(c, step->contained));
}

static void test_only_the_cause_is_contained(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sequences); i++) {
		struct containment *c = containment_create();

		for (size_t k = 0; k < STEPS_MAX && sequences[i].steps[k].host;
		     k++) {
			print_message("%s, step %zu\n", sequences[i].name, k);
			run_step(c, sequences[i].classes,
				 &sequences[i].steps[k]);
		}
		containment_destroy(c);
	}
}

/* A host that is missing in one list must change the choice little. */
static void test_dispatchers_choose_the_same_hosts(void **state)
{
	char names[12][CF_NAME_SIZE];

	(void)state;
	for (size_t n = 1; n <= G_N_ELEMENTS(names); n++) {
		struct containment_host hosts[12] = { 0 }, fewer[12] = { 0 };
		size_t chosen = 0, same = 0;

		for (size_t i = 0; i < n; i++) {
			g_snprintf(names[i], CF_NAME_SIZE, "host-%zu", i);
			hosts[i].name = fewer[n - 1 - i].name = names[i];
			hosts[i].service = fewer[i].service = "desk";
		}
		containment_choose_hosts(hosts, n);
		containment_choose_hosts(fewer, n - 1);
		for (size_t i = 0; i < n; i++)
			chosen += hosts[i].chosen;
		for (size_t i = 0; i < n * n; i++)
			same += hosts[i / n].chosen && fewer[i % n].chosen &&
				hosts[i / n].name == fewer[i % n].name;
		assert_in_range(chosen, 1, MAX(1, (n + 1) / 3));
		assert_true(same + 2 >= chosen);
	}
}

/* ---- Simulations ---------------------------------------------------- */

#define BEGIN_MS 5000
#define END_MS 15000
#define CPU_MILLI 72000
#define SEEDS 5
#define RETRY_JITTER_S 3

struct crash_case {
	const char *name;
	uint32_t dispatchers;
	double poison, random_per_s;
	uint32_t rack;
	double others_min; /* served of the classes without such tasks */
	uint64_t contained_max_ms; /* in all seeds together */
};

static const struct crash_case crash_cases[] = {
	{ "one dispatcher, one job in ten crashes", 1, 0.1, 0, 0, 0.85,
	  100000 },
	{ "3 dispatchers, one job in ten crashes", 3, 0.1, 0, 0, 0.85, 100000 },
	{ "3 dispatchers, a crash every 2 s", 3, 0, 0.5, 0, 0.85, 10000 },
	{ "3 dispatchers, 4 servers crash at once", 3, 0, 0, 4, 0.85, 0 },
};

/* Sums over the seeds, as chance decides how many servers crash at first. */
struct crash_counts {
	uint32_t asked[2], served[2]; /* class with such tasks, others */
	uint32_t refused, refused_late; /* of that class */
	uint32_t retry_after_max_s;
	uint32_t crashes;
	uint64_t contained_ms;
};

static void simulate_seed(const struct crash_case *c, bool contains,
			  uint32_t seed, struct crash_counts *counts)
{
	struct many_load load = { .classes = world_order_desk,
				  .factor = 1.08,
				  .arrivals_ms = 25000,
				  .dispatchers = c->dispatchers,
				  .servers = 11,
				  .cpu_milli = CPU_MILLI,
				  .crash_fraction = c->poison,
				  .crash_from_ms = BEGIN_MS,
				  .crash_to_ms = END_MS,
				  .counted_from_ms = BEGIN_MS,
				  .counted_to_ms = END_MS,
				  .random_crashes_per_s = c->random_per_s,
				  .rack = c->rack,
				  .rack_crashes_ms = c->rack ? BEGIN_MS : 0,
				  .contains = contains,
				  .seed = seed };
	struct world_result result;

	many_simulate(&load, &result);
	for (size_t i = 0; i < WORLD_CLASSES; i++) {
		counts->asked[i > 0] += result.counted[i].asked;
		counts->served[i > 0] += world_served(&result.counted[i]);
	}
	counts->refused += result.classes[0].refused;
	counts->refused_late += result.classes[0].refused_late;
	counts->retry_after_max_s = MAX(counts->retry_after_max_s,
					result.classes[0].retry_after_max_s);
	counts->crashes += result.server_crashes;
	counts->contained_ms += result.contained_ms;
	assert_int_equal(result.overlapping_runs, 0);
	assert_int_equal(result.false_refusals, 0);
}

static struct crash_counts simulate(const struct crash_case *c, bool contains)
{
	struct crash_counts counts = { 0 };

	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		simulate_seed(c, contains, seed, &counts);
	fprintf(stderr,
		"count: %s, %s: stock served %u of %u, others %u of %u; "
		"crashes=%u contained_ms=%u stock refused=%u late=%u "
		"retry_after_max_s=%u\n",
		c->name, contains ? "with" : "without", counts.served[0],
		counts.asked[0], counts.served[1], counts.asked[1],
		counts.crashes, (uint32_t)counts.contained_ms, counts.refused,
		counts.refused_late, counts.retry_after_max_s);
	return counts;
}

static void test_other_classes_are_served(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(crash_cases); i++) {
		const struct crash_case *c = &crash_cases[i];
		struct crash_counts without = simulate(c, false);
		struct crash_counts with = simulate(c, true);

		assert_true(with.served[1] >= c->others_min * with.asked[1]);
		assert_true(with.contained_ms <= c->contained_max_ms);
		/* Refused at once, until the containment can end. */
		assert_true(!c->poison ||
			    with.refused_late * 20 < with.refused);
		assert_true(with.retry_after_max_s <=
			    CONTAIN_MS / 1000 + RETRY_JITTER_S);
		assert_true(with.served[0] + with.served[1] >=
			    (without.served[0] + without.served[1]) * 0.98);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_summary_names_the_likely_run_of_a_class),
		cmocka_unit_test(test_only_the_cause_is_contained),
		cmocka_unit_test(test_dispatchers_choose_the_same_hosts),
		cmocka_unit_test(test_other_classes_are_served),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
