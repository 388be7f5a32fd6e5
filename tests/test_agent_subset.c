/*
 * test_agent_subset: the agents that a dispatcher connects to. A dispatcher
 * prefers its own data centre, each agent is selected by some dispatchers, none
 * by far more than the mean, and agents that are lost or in a data centre out
 * of service are replaced.
 */
#include "leased/agent_subset.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define AGENTS 240
#define DATA_CENTRES 5
#define DISPATCHERS 51
#define NAME_SIZE 32

struct fleet {
	char addresses[AGENTS][NAME_SIZE];
	char data_centres[AGENTS][NAME_SIZE];
	struct subset_candidate candidates[AGENTS];
	struct subset_candidate *order[AGENTS];
};

static void make_fleet(struct fleet *f)
{
	memset(f, 0, sizeof(*f));
	for (size_t i = 0; i < AGENTS; i++) {
		struct subset_candidate *c = &f->candidates[i];

		snprintf(f->addresses[i], NAME_SIZE, "10.%zu.0.%zu:7000",
			 i % DATA_CENTRES, i);
		snprintf(f->data_centres[i], NAME_SIZE, "dc%zu",
			 i % DATA_CENTRES);
		c->address = f->addresses[i];
		c->data_centre = f->data_centres[i];
		c->in_service = true;
		f->order[i] = c;
	}
}

static struct agent_subset *make(uint32_t number, uint32_t min, uint32_t max)
{
	char name[NAME_SIZE], data_centre[NAME_SIZE];
	struct agent_subset_options options = { .name = name,
						.data_centre = data_centre,
						.agents_min = min,
						.agents_max = max };

	snprintf(name, sizeof(name), "dispatcher%u", number);
	snprintf(data_centre, sizeof(data_centre), "dc%u",
		 number % DATA_CENTRES);
	return agent_subset_create(&options);
}

static uint32_t count_selected(const struct fleet *f, const char *data_centre)
{
	uint32_t n = 0;

	for (size_t i = 0; i < AGENTS; i++)
		n += f->candidates[i].selected &&
		     (!data_centre ||
		      !strcmp(f->candidates[i].data_centre, data_centre));
	return n;
}

static void test_selected_agents(void **state)
{
	static const struct {
		const char *name;
		uint32_t size;
		uint32_t unreachable_local; /* first agents of dc0 */
		bool local_out_of_service;
		uint32_t selected, local;
	} cases[] = {
		{ "fewer than local agents", 30, 0, false, 30, 30 },
		{ "all local agents and some others", 64, 0, false, 64, 48 },
		{ "more than all agents", 500, 0, false, 240, 48 },
		{ "unreachable agents stay selected, others are added", 64, 20,
		  false, 84, 48 },
		{ "local data centre out of service", 64, 0, true, 64, 0 },
		{ "out of service and unreachable", 64, 20, true, 64, 0 },
		{ "out of service, but the subset has places left", 500, 0,
		  true, 240, 48 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct agent_subset *subset =
			make(0, cases[i].size, cases[i].size);
		struct fleet f;

		make_fleet(&f);
		for (size_t k = 0; k < AGENTS; k++) {
			bool local = k % DATA_CENTRES == 0;

			f.candidates[k].in_service =
				!local || !cases[i].local_out_of_service;
			f.candidates[k].unreachable =
				local &&
				k / DATA_CENTRES < cases[i].unreachable_local;
		}
		agent_subset_select(subset, f.order, AGENTS);
		fprintf(stderr, "case: %s\n", cases[i].name);
		assert_int_equal(count_selected(&f, NULL), cases[i].selected);
		assert_int_equal(count_selected(&f, "dc0"), cases[i].local);
		agent_subset_destroy(subset);
	}
}

/* Returns the number of links of all dispatchers, and the fewest and most at
 * one agent. */
static uint32_t count_links(uint32_t size, uint32_t *least, uint32_t *most)
{
	uint32_t at[AGENTS] = { 0 };
	uint32_t all = 0;

	for (uint32_t i = 0; i < DISPATCHERS; i++) {
		struct agent_subset *subset = make(i, size, size);
		struct fleet f;

		make_fleet(&f);
		agent_subset_select(subset, f.order, AGENTS);
		for (size_t k = 0; k < AGENTS; k++)
			at[k] += f.candidates[k].selected;
		agent_subset_destroy(subset);
	}
	*least = UINT32_MAX;
	*most = 0;
	for (size_t k = 0; k < AGENTS; k++) {
		all += at[k];
		*least = at[k] < *least ? at[k] : *least;
		*most = at[k] > *most ? at[k] : *most;
	}
	return all;
}

static void test_links_grow_with_dispatchers(void **state)
{
	static const struct {
		uint32_t size, links, least, most;
	} cases[] = {
		{ 48, DISPATCHERS * 48, 10, 11 }, /* only its own data centre */
		{ 64, DISPATCHERS * 64, 10, 26 }, /* twice the mean of 13 */
		{ 128, DISPATCHERS * 128, 13, 54 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint32_t least, most;

		assert_int_equal(count_links(cases[i].size, &least, &most),
				 cases[i].links);
		assert_in_range(least, cases[i].least, UINT32_MAX);
		assert_in_range(most, 0, cases[i].most);
	}
}

static void test_lost_agent_replaces_one_other(void **state)
{
	struct agent_subset *subset = make(0, 64, 64);
	struct fleet before, after;
	uint32_t changed = 0;

	(void)state;
	make_fleet(&before);
	make_fleet(&after);
	agent_subset_select(subset, before.order, AGENTS);
	after.candidates[0].in_service = false;
	agent_subset_select(subset, after.order, AGENTS);
	for (size_t i = 0; i < AGENTS; i++)
		changed += before.candidates[i].selected !=
			   after.candidates[i].selected;
	assert_int_equal(changed, 2);
	agent_subset_destroy(subset);
}

static void test_size_follows_shortage(void **state)
{
	struct agent_subset *subset = make(0, 64, 100);
	int64_t now_ms = 100000;
	uint32_t largest = 0;

	(void)state;
	for (int i = 0; i < 100; i++, now_ms += 10) {
		agent_subset_report_shortage(subset, now_ms);
		agent_subset_tick(subset, now_ms);
	}
	assert_int_equal(agent_subset_size(subset), 100);
	for (int i = 0; i < 400; i++, now_ms += 10) {
		agent_subset_tick(subset, now_ms);
		largest = agent_subset_size(subset);
	}
	/* The shortage may recur, so the subset doesn't shrink yet. */
	assert_int_equal(largest, 100);
	for (int i = 0; i < 1500; i++, now_ms += 10)
		agent_subset_tick(subset, now_ms);
	assert_int_equal(agent_subset_size(subset), 64);
	agent_subset_destroy(subset);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_selected_agents),
		cmocka_unit_test(test_links_grow_with_dispatchers),
		cmocka_unit_test(test_lost_agent_replaces_one_other),
		cmocka_unit_test(test_size_follows_shortage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
