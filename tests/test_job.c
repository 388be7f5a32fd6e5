/*
 * Tests of one job: tables of events and the expected state.
 */
#include "chervilferry.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define STEPS_MAX 8
#define X 0x10
#define Y 0x20

/* ---- Types ---- */

enum step_kind { END, SEND, EVENT, LOSE, STOP };

struct step {
	enum step_kind kind;
	uint32_t index;
	uint64_t agent;
	enum cf_job_event event;
	bool accepted; /* SEND and EVENT only */
};

struct job_case {
	const char *name;
	uint32_t n_tasks;
	struct step steps[STEPS_MAX];
	enum cf_job_answer answer;
	uint32_t pending;
	size_t unplaced;
};

#define DONE CF_EVENT_DONE
#define FAILED CF_EVENT_FAILED
#define FENCED CF_EVENT_FENCED
#define RUNNING CF_EVENT_RUNNING
#define LOST CF_EVENT_LOST

/* ---- Cases ---- */

static const struct job_case cases[] = {
	{ "fresh", 2, { { END } }, CF_ANSWER_NONE, 0, 2 },
	{ "complete",
	  2,
	  { { SEND, 0, X, 0, true },
	    { SEND, 1, Y, 0, true },
	    { EVENT, 1, Y, DONE, true },
	    { EVENT, 0, X, DONE, true } },
	  CF_ANSWER_COMPLETE,
	  0,
	  0 },
	{ "partial result gives no answer",
	  2,
	  { { SEND, 0, X, 0, true }, { EVENT, 0, X, DONE, true } },
	  CF_ANSWER_NONE,
	  0,
	  1 },
	{ "events from wrong agents or tasks",
	  2,
	  { { SEND, 0, X, 0, true },
	    { EVENT, 0, Y, DONE, false },
	    { EVENT, 1, X, DONE, false },
	    { EVENT, 2, X, DONE, false },
	    { EVENT, 0, X, DONE, true },
	    { EVENT, 0, X, DONE, false },
	    { EVENT, 0, X, FAILED, false } },
	  CF_ANSWER_NONE,
	  0,
	  1 },
	{ "sent twice",
	  1,
	  { { SEND, 0, X, 0, true },
	    { SEND, 0, Y, 0, false },
	    { SEND, 1, Y, 0, false } },
	  CF_ANSWER_NONE,
	  1,
	  0 },
	{ "failure at once",
	  2,
	  { { SEND, 0, X, 0, true },
	    { SEND, 1, Y, 0, true },
	    { EVENT, 0, X, FAILED, true } },
	  CF_ANSWER_FAILED,
	  1,
	  0 },
	{ "first answer stays",
	  2,
	  { { SEND, 0, X, 0, true },
	    { SEND, 1, Y, 0, true },
	    { EVENT, 0, X, FAILED, true },
	    { EVENT, 1, Y, LOST, true },
	    { SEND, 1, X, 0, false } },
	  CF_ANSWER_FAILED,
	  0,
	  0 },
	{ "loss at once",
	  2,
	  { { SEND, 0, X, 0, true },
	    { SEND, 1, Y, 0, true },
	    { LOSE, 0, X, 0, false } },
	  CF_ANSWER_UNKNOWN,
	  1,
	  0 },
	{ "loss of an unrelated agent",
	  1,
	  { { SEND, 0, X, 0, true }, { LOSE, 0, Y, 0, false } },
	  CF_ANSWER_NONE,
	  1,
	  0 },
	{ "fenced task moves to another agent",
	  1,
	  { { SEND, 0, X, 0, true },
	    { EVENT, 0, X, FENCED, true },
	    { EVENT, 0, X, DONE, false },
	    { SEND, 0, Y, 0, true },
	    { EVENT, 0, X, FENCED, false },
	    { EVENT, 0, Y, DONE, true } },
	  CF_ANSWER_COMPLETE,
	  0,
	  0 },
	{ "running can't be fenced",
	  1,
	  { { SEND, 0, X, 0, true },
	    { EVENT, 0, X, RUNNING, true },
	    { EVENT, 0, X, FENCED, false } },
	  CF_ANSWER_NONE,
	  1,
	  0 },
	{ "stopped before a send",
	  2,
	  { { STOP, 0, 0, 0, true }, { SEND, 0, X, 0, false } },
	  CF_ANSWER_NOT_RUN,
	  0,
	  0 },
	{ "stopped job waits for fences",
	  2,
	  { { SEND, 0, X, 0, true },
	    { SEND, 1, Y, 0, true },
	    { STOP, 0, 0, 0, true },
	    { EVENT, 0, X, FENCED, true },
	    { SEND, 0, Y, 0, false } },
	  CF_ANSWER_NONE,
	  1,
	  0 },
	{ "stopped, all fenced",
	  2,
	  { { SEND, 0, X, 0, true },
	    { SEND, 1, Y, 0, true },
	    { STOP, 0, 0, 0, true },
	    { EVENT, 0, X, FENCED, true },
	    { EVENT, 1, Y, FENCED, true },
	    { EVENT, 1, Y, DONE, false } },
	  CF_ANSWER_NOT_RUN,
	  0,
	  0 },
	{ "stopped, but ran",
	  2,
	  { { SEND, 0, X, 0, true },
	    { SEND, 1, Y, 0, true },
	    { STOP, 0, 0, 0, true },
	    { EVENT, 0, X, DONE, true } },
	  CF_ANSWER_UNKNOWN,
	  1,
	  0 },
	{ "stopped after a result",
	  2,
	  { { SEND, 0, X, 0, true },
	    { EVENT, 0, X, DONE, true },
	    { STOP, 0, 0, 0, true } },
	  CF_ANSWER_UNKNOWN,
	  0,
	  0 },
	{ "stopped while running",
	  1,
	  { { SEND, 0, X, 0, true },
	    { EVENT, 0, X, RUNNING, true },
	    { STOP, 0, 0, 0, true } },
	  CF_ANSWER_UNKNOWN,
	  1,
	  0 },
	{ "stopped, lost agent",
	  1,
	  { { SEND, 0, X, 0, true },
	    { STOP, 0, 0, 0, true },
	    { LOSE, 0, X, 0, false } },
	  CF_ANSWER_UNKNOWN,
	  0,
	  0 },
	{ "stopped, then the last result arrives",
	  1,
	  { { SEND, 0, X, 0, true },
	    { STOP, 0, 0, 0, true },
	    { EVENT, 0, X, DONE, true } },
	  CF_ANSWER_COMPLETE,
	  0,
	  0 },
};

/* ---- Tests ---- */

static bool take_step(struct cf_job *job, const struct step *step,
		      GBytes *result)
{
	switch (step->kind) {
	case SEND:
		return cf_job_send(job, step->index, step->agent) ==
		       step->accepted;
	case EVENT:
		return cf_job_event(job, step->index, step->agent, step->event,
				    step->event == DONE ? result : NULL,
				    "why") == step->accepted;
	case LOSE:
		cf_job_lose_agent(job, step->agent);
		return true;
	case STOP:
		cf_job_stop(job, "stopped");
		return true;
	default:
		return true;
	}
}

static void test_cases(void **state)
{
	const struct cf_key key = { { 1 } };
	GBytes *result = g_bytes_new_static("r", 1);
	uint32_t indexes[8];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct job_case *each = &cases[i];
		struct cf_job *job = cf_job_create(&key, 1, each->n_tasks);
		const char *message;

		for (size_t s = 0; s < STEPS_MAX; s++) {
			if (!take_step(job, &each->steps[s], result))
				fail_msg("%s: step %zu", each->name, s);
		}
		if (cf_job_answer(job, &message) != each->answer ||
		    cf_job_pending_count(job) != each->pending ||
		    cf_job_unplaced(job, indexes, 8) != each->unplaced)
			fail_msg("%s: answer %d", each->name,
				 cf_job_answer(job, NULL));
		assert_non_null(message);
		for (uint32_t n = 0; n <= each->n_tasks; n++)
			assert_int_equal(cf_job_result(job, n) != NULL,
					 each->answer == CF_ANSWER_COMPLETE &&
						 n < each->n_tasks);
		cf_job_destroy(job);
	}
	g_bytes_unref(result);
}

static void test_agents(void **state)
{
	const struct cf_key key = { { 1 } };
	struct cf_job *job = cf_job_create(&key, 1, 4);
	uint64_t agents[4];
	uint32_t indexes[4];

	(void)state;
	cf_job_send(job, 0, X);
	cf_job_send(job, 1, Y);
	cf_job_send(job, 3, X);
	assert_int_equal(cf_job_agents(job, agents, 4), 2);
	assert_int_equal(cf_job_pending_at(job, X, indexes, 4), 2);
	assert_int_equal(indexes[1], 3);
	assert_int_equal(cf_job_pending_at(job, X, indexes, 1), 1);
	assert_int_equal(cf_job_unplaced(job, indexes, 4), 1);
	assert_int_equal(indexes[0], 2);
	/* Without the result of a task the job can't be answered as
	 * complete. */
	assert_true(cf_job_event(job, 1, Y, DONE, NULL, NULL));
	assert_int_equal(cf_job_answer(job, NULL), CF_ANSWER_UNKNOWN);
	cf_job_destroy(job);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_agents),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
