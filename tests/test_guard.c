/*
 * Tests of guarded workers: decisions about a fake worker that reports with
 * a lag, on a virtual clock.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "chervilferry.h"

#define TASKS 4
#define STEP_MS 100
#define LAG_MS 500
#define LAG_STEPS (LAG_MS / STEP_MS)

struct fake_task {
	struct cf_guard_task task;
	uint32_t used_milli, used_mb; /* without a limit */
	uint32_t limit_milli; /* 0: none */
	bool running;
	uint32_t starts, throttles, lifts, checkpoints, resumes, stops;
};

struct fake_worker {
	struct cf_guard_worker worker; /* first member */
	struct fake_task tasks[TASKS];
	/* Reports in flight. */
	struct cf_guard_usage in_flight[LAG_STEPS][TASKS];
	struct cf_guard_usage other_usage, other_in_flight[LAG_STEPS];
	bool never_confirms; /* confirms no checkpoint */
	bool refuses_checkpoints; /* accepts no checkpoint */
	struct cf_guard *guard;
	int64_t now_ms;
};

/* ---- The fake worker ------------------------------------------------ */

static struct fake_task *find_fake_task(struct cf_guard_worker *worker,
					const struct cf_guard_task *task)
{
	return &((struct fake_worker *)worker)->tasks[task->index];
}

static bool fake_throttle(struct cf_guard_worker *worker,
			  const struct cf_guard_task *task, uint32_t cpu_milli)
{
	struct fake_task *fake = find_fake_task(worker, task);

	assert_true(fake->running);
	fake->limit_milli = cpu_milli;
	fake->throttles += cpu_milli > 0;
	fake->lifts += cpu_milli == 0;
	return true;
}

static bool fake_checkpoint(struct cf_guard_worker *worker,
			    const struct cf_guard_task *task)
{
	struct fake_worker *fake = (struct fake_worker *)worker;

	if (fake->refuses_checkpoints)
		return false;
	assert_true(find_fake_task(worker, task)->running);
	find_fake_task(worker, task)->checkpoints++;
	return true;
}

static bool fake_resume(struct cf_guard_worker *worker,
			const struct cf_guard_task *task)
{
	struct fake_task *fake = find_fake_task(worker, task);

	assert_false(fake->running);
	assert_int_equal(fake->stops, 0);
	fake->running = true;
	fake->limit_milli = 0;
	fake->resumes++;
	return true;
}

static bool fake_stop(struct cf_guard_worker *worker,
		      const struct cf_guard_task *task)
{
	struct fake_task *fake = find_fake_task(worker, task);

	fake->running = false;
	fake->stops++;
	return true;
}

static const struct cf_guard_ops fake_ops = {
	.throttle = fake_throttle,
	.checkpoint = fake_checkpoint,
	.resume = fake_resume,
	.stop = fake_stop,
};

static void fake_confirm(struct fake_worker *fake)
{
	for (uint32_t i = 0; i < TASKS && !fake->never_confirms; i++) {
		struct fake_task *task = &fake->tasks[i];

		if (cf_guard_state(fake->guard, &task->task.key, i) !=
		    CF_GUARD_CHECKPOINTING)
			continue;
		task->running = false;
		cf_guard_checkpointed(fake->guard, &task->task.key, i, true,
				      fake->now_ms);
	}
}

/* Delivers what was measured one lag ago and takes a new measurement. */
static void fake_report(struct fake_worker *fake)
{
	size_t slot = (size_t)(fake->now_ms / STEP_MS) % LAG_STEPS;

	for (uint32_t i = 0; i < TASKS; i++) {
		struct fake_task *task = &fake->tasks[i];
		struct cf_guard_usage *usage = &fake->in_flight[slot][i];

		if (usage->measured_ms > 0)
			cf_guard_report(fake->guard, &task->task.key, i, usage);
		*usage = (struct cf_guard_usage){ .measured_ms = fake->now_ms };
		if (!task->running)
			continue;
		usage->cpu_milli =
			task->limit_milli > 0
				? MIN(task->used_milli, task->limit_milli)
				: task->used_milli;
		usage->memory_mb = task->used_mb;
	}
	if (fake->other_in_flight[slot].measured_ms > 0)
		cf_guard_report_other_usage(fake->guard,
					    &fake->other_in_flight[slot]);
	fake->other_usage.measured_ms = fake->now_ms;
	fake->other_in_flight[slot] = fake->other_usage;
}

static void run_until(struct fake_worker *fake, int64_t end_ms)
{
	while (fake->now_ms < end_ms) {
		fake->now_ms += STEP_MS;
		fake_confirm(fake);
		fake_report(fake);
		cf_guard_tick(fake->guard, fake->now_ms);
	}
}

/* Creates a worker with 32 cores and 128 GB, and four tasks that declare 4
 * cores and 16 GB each. */
static struct fake_worker *make_worker(bool can_checkpoint)
{
	static const struct cf_capacity capacity = { .slots = 8,
						     .cpu_milli = 32000,
						     .memory_mb = 128000 };
	struct fake_worker *fake = g_new0(struct fake_worker, 1);

	fake->worker.ops = &fake_ops;
	fake->guard = cf_guard_create(&fake->worker, &capacity, LAG_MS);
	for (uint32_t i = 0; i < TASKS; i++) {
		struct fake_task *task = &fake->tasks[i];

		task->task = (struct cf_guard_task){
			.index = i,
			.cpu_milli = 4000,
			.memory_mb = 16000,
			.can_checkpoint = can_checkpoint,
		};
		task->used_milli = 4000;
		task->used_mb = 16000;
		task->running = true;
		task->starts += cf_guard_start(fake->guard, &task->task, 0);
	}
	return fake;
}

static void destroy_worker(struct fake_worker *fake)
{
	cf_guard_destroy(fake->guard);
	g_free(fake);
}

static struct fake_task sum_tasks(const struct fake_worker *fake)
{
	struct fake_task sum = { 0 };

	for (uint32_t i = 0; i < TASKS; i++) {
		const struct fake_task *task = &fake->tasks[i];

		sum.starts += task->starts;
		sum.throttles += task->throttles > 0;
		sum.lifts += task->lifts;
		sum.checkpoints += task->checkpoints;
		sum.resumes += task->resumes;
		sum.stops += task->stops;
		sum.used_milli += task->running ? 1 : 0;
	}
	return sum;
}

/* ---- What happens --------------------------------------------------- */

struct guard_case {
	const char *name;
	uint32_t used_milli, used_mb; /* of task 2 */
	uint32_t others_milli, others_mb; /* from 2 s to 12 s */
	bool can_checkpoint, never_confirms, refuses_checkpoints;
	/* expected at 12 s */
	uint32_t throttled, checkpoints, stops;
	/* expected at 30 s */
	uint32_t lifts, resumes;
};

static const struct guard_case guard_cases[] = {
	{ .name = "all fits", .used_milli = 4000, .used_mb = 16000 },
	{ .name = "sister firm takes processors",
	  .used_milli = 4000,
	  .used_mb = 16000,
	  .others_milli = 24000,
	  .can_checkpoint = true,
	  .throttled = 3,
	  .lifts = 3 },
	{ .name = "declared processors are wrong",
	  .used_milli = 24000,
	  .used_mb = 16000,
	  .can_checkpoint = true,
	  .throttled = 1 },
	{ .name = "sister firm takes all processors",
	  .used_milli = 4000,
	  .used_mb = 16000,
	  .others_milli = 32000,
	  .can_checkpoint = true,
	  .throttled = 4,
	  .checkpoints = 4,
	  .resumes = 4 },
	{ .name = "sister firm takes memory",
	  .used_milli = 4000,
	  .used_mb = 16000,
	  .others_mb = 80000,
	  .can_checkpoint = true,
	  .checkpoints = 2,
	  .resumes = 2 },
	{ .name = "no checkpoint: the last started is stopped",
	  .used_milli = 4000,
	  .used_mb = 16000,
	  .others_mb = 70000,
	  .stops = 1 },
	{ .name = "declared memory is wrong: that task is suspended",
	  .used_milli = 4000,
	  .used_mb = 90000,
	  .can_checkpoint = true,
	  .checkpoints = 1 },
	{ .name = "checkpoint is never confirmed",
	  .used_milli = 4000,
	  .used_mb = 16000,
	  .others_mb = 70000,
	  .can_checkpoint = true,
	  .never_confirms = true,
	  .checkpoints = 1,
	  .stops = 1 },
	{ .name = "checkpoint is refused",
	  .used_milli = 4000,
	  .used_mb = 16000,
	  .others_mb = 70000,
	  .can_checkpoint = true,
	  .refuses_checkpoints = true,
	  .stops = 1 },
};

static void check_case(const struct guard_case *c)
{
	struct fake_worker *fake = make_worker(c->can_checkpoint);
	struct fake_task sum;

	fake->never_confirms = c->never_confirms;
	fake->refuses_checkpoints = c->refuses_checkpoints;
	run_until(fake, 2000);
	fake->tasks[2].used_milli = c->used_milli;
	fake->tasks[2].used_mb = c->used_mb;
	fake->other_usage.cpu_milli = c->others_milli;
	fake->other_usage.memory_mb = c->others_mb;
	run_until(fake, 12000);
	sum = sum_tasks(fake);
	if (sum.throttles != c->throttled ||
	    sum.checkpoints != c->checkpoints || sum.stops != c->stops)
		fail_msg("%s: %u throttled, %u checkpoints, %u stops", c->name,
			 sum.throttles, sum.checkpoints, sum.stops);
	assert_int_equal(sum.lifts + sum.resumes, 0);
	fake->other_usage.cpu_milli = 0;
	fake->other_usage.memory_mb = 0;
	run_until(fake, 30000);
	sum = sum_tasks(fake);
	if (sum.lifts != c->lifts || sum.resumes != c->resumes)
		fail_msg("%s: %u lifts, %u resumes", c->name, sum.lifts,
			 sum.resumes);
	assert_int_equal(sum.starts, TASKS);
	assert_int_equal(sum.stops, c->stops);
	destroy_worker(fake);
}

static void test_cases(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(guard_cases); i++)
		check_case(&guard_cases[i]);
}

/* A load that changes faster than the lag must cause few requests. */
static void test_hysteresis(void **state)
{
	struct fake_worker *fake = make_worker(true);
	struct fake_task sum;

	(void)state;
	for (int i = 0; i < 60; i++) {
		fake->other_usage.cpu_milli = i % 2 ? 24000 : 0;
		run_until(fake, fake->now_ms + 500);
	}
	sum = sum_tasks(fake);
	assert_int_equal(sum.checkpoints + sum.stops + sum.resumes, 0);
	assert_in_range(sum.throttles, 1, 4);
	assert_int_equal(sum.lifts, 0);
	destroy_worker(fake);
}

/* ---- Never twice ---------------------------------------------------- */

static void test_never_starts_twice(void **state)
{
	struct fake_worker *fake = make_worker(false);
	const struct cf_guard_task *last = &fake->tasks[TASKS - 1].task;
	const struct cf_guard_task *first = &fake->tasks[0].task;

	(void)state;
	assert_false(cf_guard_start(fake->guard, last, 1)); /* running */
	fake->other_usage.memory_mb = 70000;
	run_until(fake, 5000);
	assert_int_equal(cf_guard_state(fake->guard, &last->key, last->index),
			 CF_GUARD_STOPPED);
	assert_false(cf_guard_start(fake->guard, last, 5000));
	assert_false(cf_guard_end(fake->guard, &last->key, last->index, 5000));
	assert_true(cf_guard_end(fake->guard, &first->key, first->index, 5000));
	assert_false(
		cf_guard_end(fake->guard, &first->key, first->index, 5000));
	assert_false(cf_guard_start(fake->guard, first, 5000));
	assert_false(cf_guard_checkpointed(fake->guard, &first->key,
					   first->index, true, 5000));
	assert_int_equal(cf_guard_state(fake->guard, &first->key, 99),
			 CF_GUARD_UNKNOWN);
	destroy_worker(fake);
}

/* Older reports must change nothing. The available capacity must exclude
 * what tasks declare, what they use beyond that, and what suspended tasks
 * need to resume. */
static void test_room(void **state)
{
	struct fake_worker *fake = make_worker(true);
	struct cf_guard_usage usage = { 9000, 20000, 1000 };
	const struct cf_guard_usage old = { 1, 1, 900 };
	struct cf_capacity available;

	(void)state;
	cf_guard_get_available(fake->guard, &available);
	assert_int_equal(available.cpu_milli, 16000);
	assert_int_equal(available.memory_mb, 64000);
	assert_int_equal(available.slots, 4);
	assert_true(cf_guard_report(fake->guard, &fake->tasks[0].task.key, 0,
				    &usage));
	assert_false(cf_guard_report(fake->guard, &fake->tasks[0].task.key, 0,
				     &old));
	assert_false(cf_guard_report(fake->guard, &fake->tasks[0].task.key, 77,
				     &usage));
	usage.cpu_milli = 2000;
	assert_true(cf_guard_report_other_usage(fake->guard, &usage));
	assert_false(cf_guard_report_other_usage(fake->guard, &old));
	cf_guard_get_available(fake->guard, &available);
	assert_int_equal(available.cpu_milli, 32000 - 9000 - 12000 - 2000);
	assert_int_equal(available.memory_mb, 128000 - 20000 - 48000 - 20000);
	destroy_worker(fake);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_hysteresis),
		cmocka_unit_test(test_never_starts_twice),
		cmocka_unit_test(test_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
