/*
 * test_gate: tests of the start gate. Each case of the table is a sequence
 * of calls with their expected results.
 */
#include "chervilferry.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define D 0xd
#define E 0xe
#define REMEMBER_MS INT64_C(1000)
#define DEADLINE_MS 500
#define STEPS_MAX 10

static const struct cf_gate_permit open_permit = { true, true, false };

/* ---- Types ---- */

enum call {
	NOTHING,
	OFFER,
	HOLD, /* offers a gated task */
	OPEN,
	START, /* expect: the index, or NONE */
	FINISH,
	UNSTART,
	QUERY, /* expect: enum cf_task_state */
	FENCE, /* query with fence set */
	SEAL,
	CANCEL, /* expect: number of fenced tasks */
	DISPATCHER, /* fences a dispatcher; expect: number of fenced tasks */
	ADOPT,
	EXPIRE,
};

#define NONE 99

struct step {
	enum call call;
	uint64_t dispatcher;
	uint64_t job; /* ADOPT: the epoch */
	uint32_t index;
	int64_t now_ms;
	uint32_t expect;
};

struct gate_case {
	const char *name;
	struct step steps[STEPS_MAX];
};

/* ---- Cases ---- */

static const struct gate_case cases[] = {
	{ "starts once",
	  { { OFFER, D, 1, 0, 0, true },
	    { OFFER, D, 1, 0, 0, false },
	    { START, 0, 0, 0, 0, 0 },
	    { START, 0, 0, 0, 0, NONE },
	    { OFFER, E, 7, 0, 1, false },
	    { FINISH, 0, 0, 0, 2, true },
	    { FINISH, 0, 0, 0, 2, false },
	    { OFFER, D, 2, 0, 3, false },
	    { QUERY, 0, 0, 0, 3, CF_TASK_DONE } } },
	{ "no start after the record was dropped",
	  { { OFFER, D, 1, 0, 0, true },
	    { START, 0, 0, 0, 0, 0 },
	    { EXPIRE, 0, 0, 0, REMEMBER_MS, 0 },
	    { QUERY, 0, 0, 0, REMEMBER_MS, CF_TASK_RUNNING },
	    { FINISH, 0, 0, 0, 10, true },
	    { EXPIRE, 0, 0, 0, REMEMBER_MS + 9, 0 },
	    { QUERY, 0, 0, 0, REMEMBER_MS + 9, CF_TASK_DONE },
	    { EXPIRE, 0, 0, 0, 3 * REMEMBER_MS, 0 },
	    { OFFER, D, 1, 0, 3 * REMEMBER_MS, false },
	    { FENCE, 0, 0, 0, 3 * REMEMBER_MS, CF_TASK_DROPPED } } },
	{ "held until it is opened",
	  { { HOLD, D, 1, 0, 0, true },
	    { START, 0, 0, 0, 0, NONE },
	    { OPEN, E, 1, 0, 0, 0 },
	    { OPEN, D, 2, 0, 0, 0 },
	    { START, 0, 0, 0, 0, NONE },
	    { OPEN, D, 1, 0, 0, 1 },
	    { START, 0, 0, 0, 0, 0 } } },
	{ "opened before it arrives",
	  { { OFFER, D, 1, 0, 0, true },
	    { OPEN, D, 1, 0, 0, 0 },
	    { HOLD, D, 1, 1, 0, true },
	    { START, 0, 0, 0, 0, 0 },
	    { START, 0, 0, 0, 0, 1 } } },
	{ "fence of a queued task",
	  { { OFFER, D, 1, 0, 0, true },
	    { FENCE, 0, 0, 0, 0, CF_TASK_FENCED },
	    { START, 0, 0, 0, 0, NONE },
	    { OFFER, D, 1, 0, 0, false } } },
	{ "fence before the offer arrives",
	  { { FENCE, 0, 0, 1, 0, CF_TASK_FENCED },
	    { OFFER, D, 1, 1, 0, false },
	    { START, 0, 0, 0, 0, NONE },
	    { OFFER, D, 1, 2, 0, true } } },
	{ "fence of a running task",
	  { { OFFER, D, 1, 0, 0, true },
	    { START, 0, 0, 0, 0, 0 },
	    { FENCE, 0, 0, 0, 0, CF_TASK_RUNNING },
	    { FINISH, 0, 0, 0, 1, true } } },
	{ "reverted start is offered again",
	  { { OFFER, D, 1, 0, 0, true },
	    { UNSTART, 0, 0, 0, 0, false },
	    { START, 0, 0, 0, 0, 0 },
	    { UNSTART, 0, 0, 0, 1, true },
	    { UNSTART, 0, 0, 0, 1, false },
	    { FINISH, 0, 0, 0, 1, false },
	    { OFFER, D, 1, 0, 1, true },
	    { START, 0, 0, 0, 1, 0 } } },
	{ "fence after a reverted start",
	  { { OFFER, D, 1, 0, 0, true },
	    { START, 0, 0, 0, 0, 0 },
	    { UNSTART, 0, 0, 0, 1, true },
	    { QUERY, 0, 0, 0, 1, CF_TASK_GATED },
	    { FENCE, 0, 0, 0, 1, CF_TASK_FENCED },
	    { OFFER, D, 1, 0, 1, false } } },
	{ "query without fence",
	  { { QUERY, 0, 0, 0, 0, CF_TASK_GATED },
	    { OFFER, D, 1, 0, 0, true },
	    { QUERY, 0, 0, 0, 0, CF_TASK_QUEUED },
	    { START, 0, 0, 0, 0, 0 } } },
	{ "cancel, also of later offers",
	  { { OFFER, D, 1, 0, 0, true },
	    { HOLD, D, 1, 1, 0, true },
	    { START, 0, 0, 0, 0, 0 },
	    { CANCEL, D, 1, 0, 0, 1 },
	    { OFFER, D, 1, 2, 0, false },
	    { OPEN, D, 1, 0, 0, 0 },
	    { START, 0, 0, 0, 0, NONE },
	    { OFFER, D, 2, 2, 0, true } } },
	{ "cancel before the offer arrives",
	  { { CANCEL, D, 1, 0, 0, 0 },
	    { OFFER, D, 1, 0, 0, false },
	    { START, 0, 0, 0, 0, NONE } } },
	{ "sealed",
	  { { OFFER, D, 1, 0, 0, true },
	    { SEAL, 0, 0, 0, 0, 0 },
	    { START, 0, 0, 0, 0, NONE },
	    { OFFER, D, 1, 1, 0, false },
	    { QUERY, 0, 0, 1, 0, CF_TASK_FENCED } } },
	{ "dispatcher fenced",
	  { { OFFER, D, 1, 0, 0, true },
	    { OFFER, E, 1, 1, 0, true },
	    { DISPATCHER, D, 0, 0, 0, 1 },
	    { OFFER, D, 1, 2, 0, false },
	    { START, 0, 0, 0, 0, 1 },
	    { START, 0, 0, 0, 0, NONE } } },
	{ "adopted",
	  { { OFFER, D, 1, 0, 0, true },
	    { ADOPT, E, 1, 0, 0, true },
	    { START, 0, 0, 0, 0, NONE },
	    { OFFER, D, 1, 1, 0, false },
	    { OFFER, E, 5, 0, 0, true },
	    { OFFER, E, 5, 0, 0, false },
	    { START, 0, 0, 0, 0, 0 },
	    { ADOPT, D, 2, 0, 0, true },
	    { OFFER, D, 2, 0, 0, false } } },
	{ "adoption of an older epoch",
	  { { ADOPT, D, 2, 0, 0, true },
	    { ADOPT, E, 1, 0, 0, false },
	    { ADOPT, E, 2, 0, 0, false },
	    { ADOPT, D, 2, 0, 0, true },
	    { OFFER, E, 1, 0, 0, false },
	    { OFFER, D, 1, 0, 0, true } } },
	/* Found by explore_gate, seed 963. */
	{ "fence by the adopter after an older fence",
	  { { FENCE, 0, 0, 0, 0, CF_TASK_FENCED },
	    { ADOPT, E, 1, 0, 0, true },
	    { FENCE, 0, 0, 0, 0, CF_TASK_FENCED },
	    { OFFER, E, 5, 0, 0, false } } },
	{ "deadline",
	  { { OFFER, D, 1, 0, 0, true },
	    { START, 0, 0, 0, DEADLINE_MS + 1, NONE },
	    { START, 0, 0, 0, DEADLINE_MS, 0 } } },
};

/* ---- Calls ---- */

static struct cf_task make_task(uint64_t dispatcher, uint64_t job,
				uint32_t index)
{
	struct cf_task task = { .index = index,
				.dispatcher = dispatcher,
				.job = job,
				.predicted_ms = 10,
				.slack_end_ms = index,
				.deadline_ms = DEADLINE_MS };

	cf_key_make(&task.key, 5000, 0, 0);
	return task;
}

static uint32_t start(struct cf_gate *gate, int64_t now_ms)
{
	const struct cf_task *task = cf_gate_start(gate, &open_permit, now_ms);

	return task ? task->index : NONE;
}

static uint32_t do_call(struct cf_gate *gate, const struct step *step)
{
	struct cf_task task =
		make_task(step->dispatcher, step->job, step->index);
	uint32_t indexes[4];

	switch (step->call) {
	case OFFER:
	case HOLD:
		return cf_gate_offer(gate, &task, step->call == HOLD, false,
				     step->now_ms);
	case OPEN:
		return (uint32_t)cf_gate_open(gate, &task.key, step->dispatcher,
					      step->job);
	case START:
		return start(gate, step->now_ms);
	case FINISH:
		return cf_gate_finish(gate, &task.key, step->index, true, NULL,
				      step->now_ms);
	case UNSTART:
		return cf_gate_revert_start(gate, &task.key, step->index,
					    step->now_ms);
	case QUERY:
	case FENCE:
		return cf_gate_query(gate, &task.key, step->index,
				     step->call == FENCE, NULL, step->now_ms);
	case SEAL:
		cf_gate_seal(gate, &task.key, step->now_ms);
		return 0;
	case CANCEL:
		return (uint32_t)cf_gate_fence_job(gate, &task.key,
						   step->dispatcher, step->job,
						   step->now_ms, indexes, 4);
	case DISPATCHER:
		return (uint32_t)cf_gate_fence_dispatcher(
			gate, step->dispatcher, step->now_ms);
	case ADOPT:
		return cf_gate_adopt(gate, &task.key, step->dispatcher,
				     (uint32_t)step->job, step->now_ms);
	case EXPIRE:
		cf_gate_expire(gate, step->now_ms);
		return 0;
	default:
		return 0;
	}
}

/* ---- Tests ---- */

static void test_cases(void **state)
{
	static const struct cf_capacity capacity = { .slots = 4 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_gate *gate = cf_gate_create(&capacity, REMEMBER_MS);

		for (size_t s = 0; s < STEPS_MAX; s++) {
			const struct step *step = &cases[i].steps[s];
			uint32_t got = do_call(gate, step);

			if (step->call != NOTHING && got != step->expect)
				fail_msg("%s: step %zu gave %u", cases[i].name,
					 s, got);
		}
		cf_gate_destroy(gate);
	}
}

static void test_permit(void **state)
{
	static const struct {
		struct cf_gate_permit permit;
		bool starts, takes;
	} each[] = {
		{ { true, true, false }, true, false },
		{ { false, true, false }, false, false },
		{ { true, false, false }, false, true },
		{ { true, true, true }, false, true },
	};
	static const struct cf_capacity capacity = { .slots = 1 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(each); i++) {
		struct cf_gate *gate = cf_gate_create(&capacity, REMEMBER_MS);
		struct cf_task task = make_task(D, 1, 0);

		cf_gate_offer(gate, &task, false, false, 0);
		assert_int_equal(cf_gate_fence_unstartable(
					 gate, &each[i].permit, 0) != NULL,
				 each[i].takes);
		assert_int_equal(cf_gate_start(gate, &each[i].permit, 0) !=
					 NULL,
				 each[i].starts);
		cf_gate_destroy(gate);
	}
}

/* A large task waits behind small ones, which may bypass it only a limited
 * number of times. A task that exceeds the capacity never starts. */
static void test_capacity(void **state)
{
	static const struct cf_capacity capacity = { .slots = 8,
						     .cpu_milli = 4000 };
	struct cf_gate *gate = cf_gate_create(&capacity, REMEMBER_MS);
	struct cf_task task;
	struct cf_gate_load load;
	uint32_t small = 0;

	(void)state;
	for (uint32_t i = 0; i < 40; i++) {
		task = make_task(D, 1, i);
		task.cpu_milli = i == 1 ? 4000 : 1000;
		cf_gate_offer(gate, &task, false, false, 0);
	}
	task = make_task(D, 1, 40);
	task.cpu_milli = 4001;
	cf_gate_offer(gate, &task, false, false, 0);
	assert_int_equal(
		cf_gate_fence_unstartable(gate, &open_permit, 0)->index, 40);
	assert_int_equal(start(gate, 0), 0);
	/* Small tasks end one at a time until the large one is not bypassed
	 * any more. */
	while (small < 30) {
		uint32_t index = start(gate, 0);

		if (index == NONE)
			break;
		assert_int_not_equal(index, 1);
		cf_gate_finish(gate, &task.key, index, true, NULL, 0);
		small++;
	}
	assert_in_range(small, 1, 29);
	cf_gate_finish(gate, &task.key, 0, true, NULL, 0);
	assert_int_equal(start(gate, 0), 1);
	assert_int_equal(start(gate, 0), NONE);
	cf_gate_get_load(gate, 4, &load);
	assert_int_equal(load.running, 1);
	assert_int_equal(load.queued, 40 - 2 - small);
	assert_int_equal(load.backlog_ms, load.queued * 10 + 6);
	cf_gate_destroy(gate);
}

static void test_order(void **state)
{
	static const struct cf_capacity capacity = { .slots = 8 };
	static const int64_t slack_end_ms[] = { 30, 10, 20 };
	static const uint32_t orders[2][3] = { { 1, 2, 0 }, { 0, 1, 2 } };

	(void)state;
	for (int fifo = 0; fifo < 2; fifo++) {
		struct cf_gate *gate = cf_gate_create(&capacity, REMEMBER_MS);

		for (uint32_t i = 0; i < 3; i++) {
			struct cf_task task = make_task(D, 1, i);

			task.slack_end_ms = slack_end_ms[i];
			cf_gate_offer(gate, &task, false, fifo, i);
		}
		for (size_t i = 0; i < 3; i++)
			assert_int_equal(start(gate, 5), orders[fifo][i]);
		cf_gate_destroy(gate);
	}
}

static void test_results(void **state)
{
	static const struct cf_capacity capacity = { .slots = 1 };
	struct cf_gate *gate = cf_gate_create(&capacity, REMEMBER_MS);
	GBytes *large = g_bytes_new_take(g_malloc0(12 << 20), 12 << 20);
	GBytes *result;
	struct cf_task task;

	(void)state;
	for (uint32_t i = 0; i < 4; i++) {
		task = make_task(D, 1, i);
		cf_gate_offer(gate, &task, false, false, 0);
		assert_int_equal(start(gate, 0), i);
		cf_gate_finish(gate, &task.key, i, true, large, 0);
	}
	/* The oldest result was dropped, but its state is still known. */
	assert_int_equal(cf_gate_query(gate, &task.key, 0, true, &result, 0),
			 CF_TASK_DONE);
	assert_null(result);
	cf_gate_query(gate, &task.key, 3, true, &result, 0);
	assert_ptr_equal(result, large);
	assert_int_equal(
		cf_gate_known_indexes(gate, &task.key, (uint32_t[4]){ 0 }, 4),
		4);
	g_bytes_unref(large);
	cf_gate_destroy(gate);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),    cmocka_unit_test(test_permit),
		cmocka_unit_test(test_capacity), cmocka_unit_test(test_order),
		cmocka_unit_test(test_results),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
