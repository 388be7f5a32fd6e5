/*
 * Tests of admission and shares on a virtual clock.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "chervilferry.h"

#define SLOTS 80
#define JOBS_MAX 100000

#define JOB(class_of_job, team_of_job, tasks, longest, work, deadline)         \
	{                                                                      \
		.class_name = (class_of_job), .team = (team_of_job),           \
		.n_tasks = (tasks), .longest_ms = (longest),                   \
		.work_ms = (work), .deadline_ms = (deadline)                   \
	}

static const struct cf_admit_class classes[] = {
	{ "price", 300, 99000 },
	{ "scan", 2000, 95000 },
};

static const struct cf_team teams[] = {
	{ "west", 250 },
	{ "east", 500 },
};

static struct cf_admitter *make_admitter(void)
{
	struct cf_admitter *admitter = cf_admitter_create(11);

	cf_admitter_set_classes(admitter, classes, G_N_ELEMENTS(classes), teams,
				G_N_ELEMENTS(teams));
	cf_admitter_set_capacity(admitter, SLOTS, 0);
	return admitter;
}

/* ---- One decision --------------------------------------------------- */

struct ask_case {
	const char *name;
	uint32_t jobs_before; /* running, of 200 ms */
	uint32_t waiting_before; /* of 200 ms */
	struct cf_admit_job job;
	enum cf_admit expected;
};

static const struct ask_case ask_cases[] = {
	{ "idle", 0, 0, JOB("price", "", 1, 100, 100, 0), CF_ADMIT_ACCEPTED },
	{ "idle, long job", 0, 0, JOB("price", "", 1, 9000, 9000, 0),
	  CF_ADMIT_ACCEPTED },
	{ "run time beyond the deadline", 0, 0,
	  JOB("price", "", 1, 500, 500, 400), CF_ADMIT_PAST_DEADLINE },
	{ "just within its deadline", 0, 0, JOB("price", "", 1, 500, 500, 500),
	  CF_ADMIT_ACCEPTED },
	{ "more work than slots by its deadline", 0, 0,
	  JOB("price", "", 120, 500, 60000, 600), CF_ADMIT_PAST_DEADLINE },
	{ "slots free", 79, 0, JOB("price", "", 1, 100, 100, 110),
	  CF_ADMIT_ACCEPTED },
	{ "short queue", 80, 10, JOB("price", "", 1, 100, 100, 0),
	  CF_ADMIT_ACCEPTED },
	{ "long queue", 80, 200, JOB("price", "", 1, 200, 200, 0),
	  CF_ADMIT_OVERLOADED },
	{ "long queue, near deadline", 80, 200,
	  JOB("price", "", 1, 100, 100, 120), CF_ADMIT_PAST_DEADLINE },
	{ "long queue of another class", 80, 200,
	  JOB("scan", "", 1, 100, 100, 0), CF_ADMIT_ACCEPTED },
	{ "unknown class", 0, 0, JOB("else", "none", 1, 100, 100, 0),
	  CF_ADMIT_ACCEPTED },
};

static void test_asks(void **state)
{
	static const struct cf_admit_job before =
		JOB("price", "", 1, 200, 200, 0);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(ask_cases); i++) {
		const struct ask_case *c = &ask_cases[i];
		struct cf_admitter *admitter = make_admitter();
		enum cf_admit verdict;
		uint32_t retry_ms;

		for (uint32_t n = 0; n < c->jobs_before; n++) {
			assert_int_equal(cf_admitter_admit(admitter, &before, 1,
							   &retry_ms),
					 CF_ADMIT_ACCEPTED);
			cf_admitter_started(admitter, &before, 1);
		}
		for (uint32_t n = 0; n < c->waiting_before; n++)
			cf_admitter_admit(admitter, &before, 1, &retry_ms);
		verdict = cf_admitter_admit(admitter, &c->job, 1, &retry_ms);
		if (verdict != c->expected)
			fail_msg("%s: verdict %d", c->name, (int)verdict);
		assert_true((retry_ms > 0) == (verdict != CF_ADMIT_ACCEPTED));
		cf_admitter_destroy(admitter);
	}
}

/* However a job proceeds, none of its work may remain counted after it
 * ended. Otherwise a job that needs all slots and has no time to wait would
 * be refused. */
static void test_account_is_closed(void **state)
{
	static const struct {
		const char *name;
		/* Of its 100 tasks, counted one by one. */
		uint32_t placed, ended;
		bool started;
	} cases[] = {
		{ "never placed", 0, 0, false },
		{ "placed all at once", 0, 0, true },
		{ "placed one by one", 100, 100, true },
		{ "ended together", 100, 0, true },
		{ "cancelled half placed", 50, 20, false },
		{ "half of the tasks counted one by one", 50, 50, true },
	};
	static const struct cf_admit_job probe =
		JOB("scan", "west", 80, 100, 8000, 100);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_admitter *admitter = make_admitter();
		uint32_t retry_ms;

		/* Any work left over in each round would fill the slots. */
		for (int round = 0; round < 10; round++) {
			struct cf_admit_job job =
				JOB("scan", "west", 100, 900, 90000, 0);

			cf_admitter_admit(admitter, &job, 1, &retry_ms);
			assert_int_equal(cf_admitter_admit(admitter, &probe, 2,
							   &retry_ms),
					 CF_ADMIT_PAST_DEADLINE);
			for (uint32_t n = 0; n < cases[i].placed; n++)
				cf_admitter_placed(admitter, &job, 900, 3);
			for (uint32_t n = 0; n < cases[i].ended; n++)
				cf_admitter_task_ended(admitter, &job, 900, 4);
			if (cases[i].started)
				cf_admitter_started(admitter, &job, 5);
			cf_admitter_ended(admitter, &job, cases[i].started,
					  true, 100, 6);
		}
		if (cf_admitter_admit(admitter, &probe, 7, &retry_ms) !=
		    CF_ADMIT_ACCEPTED)
			fail_msg("%s: still counted", cases[i].name);
		cf_admitter_destroy(admitter);
	}
}

static void test_no_capacity(void **state)
{
	static const struct cf_admit_job job = JOB("scan", "", 1, 100, 100, 0);
	struct cf_admitter *admitter = make_admitter();
	uint32_t retry_ms;

	(void)state;
	cf_admitter_set_capacity(admitter, 0, 5);
	assert_int_equal(cf_admitter_admit(admitter, &job, 6, &retry_ms),
			 CF_ADMIT_OVERLOADED);
	assert_in_range(retry_ms, 50, 15000);
	cf_admitter_destroy(admitter);
}

/* Callers that are refused at the same moment must be told to retry at
 * different times. */
static void test_retry_after_spreads(void **state)
{
	static const struct cf_admit_job job = JOB("price", "", 1, 200, 200, 0);
	struct cf_admitter *admitter = make_admitter();
	uint32_t by_second[16] = { 0 };
	uint32_t refused = 0;
	uint32_t retry_ms;

	(void)state;
	for (int i = 0; i < 2000; i++) {
		if (cf_admitter_admit(admitter, &job, 10, &retry_ms) ==
		    CF_ADMIT_ACCEPTED)
			continue;
		refused++;
		by_second[MIN(retry_ms / 1000, 15U)]++;
	}
	/* 80 slots can run 400 jobs a second. */
	assert_true(refused > 1500);
	for (size_t s = 0; s < 16; s++)
		assert_in_range(by_second[s], 0, 700);
	cf_admitter_destroy(admitter);
}

/* ---- Load over time ------------------------------------------------- */

struct source {
	const char *class_name;
	const char *team;
	uint32_t run_ms; /* one task for each job */
	double jobs_s[3]; /* before, in and after the burst */
	/* counted by phase */
	uint32_t asked[3], refused[3], answered[3], within[3];
};

#define SOURCE(class, team_of_job, ms, before, in, after)                      \
	{                                                                      \
		.class_name = (class), .team = (team_of_job), .run_ms = (ms),  \
		.jobs_s = {                                                    \
			(before),                                              \
			(in),                                                  \
			(after)                                                \
		}                                                              \
	}

struct load_job {
	struct cf_admit_job job;
	struct source *source;
	int phase;
	int64_t arrived_ms, end_ms;
	bool waiting;
};

struct load {
	struct cf_admitter *admitter;
	struct load_job *jobs; /* in progress */
	size_t n_jobs;
	uint32_t running;
	uint64_t busy_ms[3]; /* busy time of slots, by phase */
	int64_t phase_ends_ms[3];
};

static uint32_t class_target_ms(const char *class_name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(classes); i++) {
		if (g_str_equal(classes[i].name, class_name))
			return classes[i].target_ms;
	}
	return 0;
}

static void load_ask(struct load *load, struct source *source, int phase,
		     int64_t now_ms)
{
	struct load_job *job = &load->jobs[load->n_jobs];
	uint32_t retry_ms;

	*job = (struct load_job){
		.job = JOB(source->class_name, source->team, 1, source->run_ms,
			   source->run_ms, 0),
		.source = source,
		.phase = phase,
		.arrived_ms = now_ms,
		.waiting = true,
	};
	source->asked[phase]++;
	if (cf_admitter_admit(load->admitter, &job->job, now_ms, &retry_ms) ==
	    CF_ADMIT_ACCEPTED)
		load->n_jobs++;
	else
		source->refused[phase]++;
}

static void load_end(struct load *load, int64_t now_ms)
{
	for (size_t i = 0; i < load->n_jobs;) {
		struct load_job *job = &load->jobs[i];
		uint32_t response_ms = (uint32_t)(now_ms - job->arrived_ms);

		if (job->waiting || job->end_ms > now_ms) {
			i++;
			continue;
		}
		load->running--;
		cf_admitter_ended(load->admitter, &job->job, true, true,
				  response_ms, now_ms);
		job->source->answered[job->phase]++;
		if (response_ms <= class_target_ms(job->job.class_name))
			job->source->within[job->phase]++;
		*job = load->jobs[--load->n_jobs];
	}
}

static void load_start(struct load *load, int64_t now_ms)
{
	while (load->running < SLOTS) {
		struct load_job *best = NULL;
		int64_t best_urgency = INT64_MAX;

		for (size_t i = 0; i < load->n_jobs; i++) {
			struct load_job *job = &load->jobs[i];
			int64_t urgency;

			if (!job->waiting)
				continue;
			urgency =
				cf_admitter_order_key(load->admitter, &job->job,
						      job->arrived_ms, now_ms);
			if (best == NULL || urgency < best_urgency) {
				best = job;
				best_urgency = urgency;
			}
		}
		if (best == NULL)
			return;
		best->waiting = false;
		best->end_ms = now_ms + best->job.longest_ms;
		load->running++;
		cf_admitter_started(load->admitter, &best->job, now_ms);
	}
}

/* Phases: 10 s before, 10 s of burst, 10 s after. */
static void run_load(struct load *load, struct source *sources, size_t n)
{
	GRand *random = g_rand_new_with_seed(5);

	load->jobs = g_new0(struct load_job, JOBS_MAX);
	for (int64_t now = 0; now < 30000; now++) {
		int phase = (int)(now / 10000);

		for (size_t i = 0; i < n; i++) {
			int due = (int)(sources[i].jobs_s[phase] / 1000 +
					g_rand_double(random));

			for (int j = 0; j < due; j++)
				load_ask(load, &sources[i], phase, now);
		}
		load_end(load, now);
		load_start(load, now);
		load->busy_ms[phase] += load->running;
	}
	g_rand_free(random);
	g_free(load->jobs);
}

/* One class bursts to five times its load. Accepted jobs must keep their
 * target, the other class must not suffer, the slots must stay busy, and few
 * jobs may be refused after the burst. */
static void test_burst(void **state)
{
	struct source sources[] = {
		SOURCE("price", "", 100, 320, 1600, 320),
		SOURCE("scan", "", 800, 32, 32, 32),
	};
	struct load load = { .admitter = make_admitter() };

	(void)state;
	run_load(&load, sources, 2);
	for (int phase = 0; phase < 3; phase++) {
		print_message(
			"phase %d: busy %.3f, price %u asked %u refused "
			"%u within of %u, scan %u asked %u refused %u "
			"within of %u\n",
			phase, (double)load.busy_ms[phase] / (SLOTS * 10000.0),
			sources[0].asked[phase], sources[0].refused[phase],
			sources[0].within[phase], sources[0].answered[phase],
			sources[1].asked[phase], sources[1].refused[phase],
			sources[1].within[phase], sources[1].answered[phase]);
		/* answers within the target, of all accepted jobs */
		assert_true(sources[0].within[phase] * 100 >=
			    sources[0].answered[phase] * 99);
		assert_true(sources[1].within[phase] * 100 >=
			    sources[1].answered[phase] * 95);
	}
	assert_int_equal(sources[0].refused[0] + sources[1].refused[0], 0);
	assert_true(load.busy_ms[1] * 100 >= (uint64_t)SLOTS * 10000 * 90);
	/* The class without a burst is still served. */
	assert_true(sources[1].refused[1] * 10 <= sources[1].asked[1]);
	assert_true(sources[0].refused[2] * 20 <= sources[0].asked[2]);
	cf_admitter_destroy(load.admitter);
}

/* A team may borrow idle capacity and must return it when others wait. */
static void test_quota(void **state)
{
	struct source sources[] = {
		SOURCE("scan", "west", 200, 380, 800, 380),
		SOURCE("scan", "east", 200, 0, 190, 0),
	};
	struct load load = { .admitter = make_admitter() };
	uint32_t borrowed;

	(void)state;
	run_load(&load, sources, 2);
	for (int phase = 0; phase < 3; phase++)
		print_message(
			"phase %d: west %u of %u, east %u of %u\n", phase,
			sources[0].answered[phase], sources[0].asked[phase],
			sources[1].answered[phase], sources[1].asked[phase]);
	/* A team with a quota of 25 % uses 95 % of the capacity while it is
	 * idle. */
	assert_int_equal(sources[0].refused[0], 0);
	/* East is within its 50 % and gets nearly all that it requests. */
	assert_true(sources[1].refused[1] * 20 <= sources[1].asked[1]);
	borrowed = sources[0].answered[1];
	assert_true(borrowed > 0);
	assert_true(sources[0].refused[2] * 20 <= sources[0].asked[2]);
	cf_admitter_destroy(load.admitter);
}

/* ---- Shares --------------------------------------------------------- */

/* One class's answers become late: its share must rise, settle without
 * oscillation, and fall back afterwards. The other class must keep a part. */
static void test_shares_are_steady(void **state)
{
	static const struct cf_admit_job price =
		JOB("price", "", 6, 100, 600, 0);
	static const struct cf_admit_job scan = JOB("scan", "", 6, 100, 600, 0);
	struct cf_admitter *admitter = make_admitter();
	uint32_t last = 0;
	uint32_t direction_changes = 0;
	int direction = 1;
	uint32_t at_5s = 0;
	uint32_t at_15s = 0;
	uint32_t retry_ms;

	(void)state;
	for (int64_t now = 0; now < 30000; now += 10) {
		bool late = now >= 5000 && now < 15000;
		uint32_t share;

		cf_admitter_admit(admitter, &price, now, &retry_ms);
		cf_admitter_ended(admitter, &price, false, true,
				  late ? 900 : 100, now);
		cf_admitter_admit(admitter, &scan, now, &retry_ms);
		cf_admitter_ended(admitter, &scan, false, true, 100, now);
		share = cf_admitter_share_milli(admitter, "price");
		assert_in_range(
			share + cf_admitter_share_milli(admitter, "scan"), 999,
			1001);
		if (now == 4990)
			at_5s = share;
		if (now == 14990)
			at_15s = share;
		if (now > 5000 && share != last &&
		    (share > last) != (direction > 0)) {
			direction_changes++;
			direction = -direction;
		}
		last = share;
	}
	assert_in_range(at_5s, 450, 550);
	assert_in_range(at_15s, 700, 800);
	assert_in_range(last, 450, 600);
	assert_in_range(direction_changes, 0, 1); /* up, then down */
	cf_admitter_destroy(admitter);
}

/* A changed target must take effect within seconds. */
static void test_follows_target(void **state)
{
	static const struct cf_admit_job price =
		JOB("price", "", 1, 100, 100, 0);
	struct cf_admit_class changed[2] = { classes[0], classes[1] };
	struct cf_admitter *admitter = make_admitter();
	uint32_t before;
	uint32_t retry_ms;

	(void)state;
	for (int64_t now = 0; now < 8000; now += 10) {
		if (now == 4000) {
			before = cf_admitter_share_milli(admitter, "price");
			/* It is the only class with demand. */
			assert_in_range(before, 900, 1000);
			changed[0].target_ms = 50;
			cf_admitter_set_classes(admitter, changed, 2, NULL, 0);
		}
		cf_admitter_admit(admitter, &price, now, &retry_ms);
		cf_admitter_ended(admitter, &price, false, true, 100, now);
	}
	assert_true(cf_admitter_order_key(admitter, &price, 8000, 8000) <
		    cf_admitter_order_key(admitter,
					  &(struct cf_admit_job)JOB(
						  "scan", "", 1, 100, 100, 0),
					  8000, 8000));
	cf_admitter_destroy(admitter);
}

/* ---- Order ---------------------------------------------------------- */

struct order_case {
	const char *name;
	struct cf_admit_job first;
	int64_t first_waited_ms;
	struct cf_admit_job second;
	int64_t second_waited_ms;
};

static const struct order_case order_cases[] = {
	{ "shorter target", JOB("price", "", 1, 100, 100, 0), 0,
	  JOB("scan", "", 1, 100, 100, 0), 0 },
	{ "has waited longer", JOB("price", "", 1, 100, 100, 0), 50,
	  JOB("price", "", 1, 100, 100, 0), 0 },
	{ "longer run time", JOB("price", "", 1, 200, 200, 0), 0,
	  JOB("price", "", 1, 100, 100, 0), 0 },
	{ "earlier deadline", JOB("scan", "", 1, 100, 100, 150), 0,
	  JOB("price", "", 1, 100, 100, 0), 0 },
	{ "late jobs move back", JOB("price", "", 1, 100, 100, 0), 150,
	  JOB("price", "", 1, 100, 100, 0), 250 },
	{ "late jobs: shortest first", JOB("price", "", 1, 100, 100, 0), 250,
	  JOB("price", "", 1, 900, 900, 0), 250 },
	{ "late jobs gain priority", JOB("price", "", 1, 100, 100, 0), 1000,
	  JOB("price", "", 1, 100, 100, 0), 0 },
	{ "long late jobs gain priority too",
	  JOB("price", "", 1, 2000, 2000, 0), 3000,
	  JOB("price", "", 1, 100, 100, 0), 150 },
};

static void test_order(void **state)
{
	struct cf_admitter *admitter = make_admitter();
	const int64_t now_ms = 100000;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(order_cases); i++) {
		const struct order_case *c = &order_cases[i];
		int64_t first = cf_admitter_order_key(
			admitter, &c->first, now_ms - c->first_waited_ms,
			now_ms);
		int64_t second = cf_admitter_order_key(
			admitter, &c->second, now_ms - c->second_waited_ms,
			now_ms);

		if (first >= second)
			fail_msg("%s", c->name);
	}
	cf_admitter_destroy(admitter);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_asks),
		cmocka_unit_test(test_account_is_closed),
		cmocka_unit_test(test_no_capacity),
		cmocka_unit_test(test_retry_after_spreads),
		cmocka_unit_test(test_burst),
		cmocka_unit_test(test_quota),
		cmocka_unit_test(test_shares_are_steady),
		cmocka_unit_test(test_follows_target),
		cmocka_unit_test(test_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
