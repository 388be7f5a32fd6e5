/*
 * test_dispatch_losses: a dispatcher's decisions about tasks under which
 * servers crash: when their job is given up, where they are retried and what
 * does not count. The last test simulates a load in which some jobs crash the
 * servers that start them.
 */
#include "base/logger.h"
#include "support/dispatch_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define AGENTS 2
#define SERVERS 8
#define STEPS_MAX 8
#define FAR_MS 100000
#define STARTS_MAX 40
#define WIDE_TASKS 8

/* ---- Support -------------------------------------------------------- */

struct recorder {
	struct dispatch_sink sink; /* first member */
	uint32_t starts, losses;
	struct run_name last;
	char server[CF_NAME_SIZE];
	uint64_t agent;
	bool repeated_server; /* a start went where the task had been */
	char servers[STARTS_MAX][CF_NAME_SIZE];
	uint32_t answers;
	struct job_answer answer;
};

static void record_start(struct dispatch_sink *sink, uint64_t agent,
			 const struct start_command *command)
{
	struct recorder *r = (struct recorder *)sink;

	assert_true(r->starts < STARTS_MAX);
	for (uint32_t i = 0; i < r->starts; i++)
		r->repeated_server |= !strcmp(r->servers[i], command->server);
	g_strlcpy(r->servers[r->starts], command->server, CF_NAME_SIZE);
	r->starts++;
	r->losses = command->losses;
	r->last = command->name;
	r->agent = agent;
}

static void record_stop(struct dispatch_sink *sink, uint64_t agent,
			const struct run_name *name)
{
	(void)sink;
	(void)agent;
	(void)name;
}

static void record_answer(struct dispatch_sink *sink, void *caller,
			  const struct job_answer *answer)
{
	struct recorder *r = (struct recorder *)sink;

	(void)caller;
	r->answers++;
	r->answer = *answer;
}

static void record_demand(struct dispatch_sink *sink, bool has_demand)
{
	(void)sink;
	(void)has_demand;
}

static void report_server(struct dispatch *d, uint64_t agent, int number,
			  bool accepting, int64_t now_ms)
{
	struct server_state state = { .service = "desk",
				      .capacity = { .cpu_milli = 1000,
						    .memory_mb = 10 },
				      .free_cpu_milli = 1000,
				      .offered_cpu_milli = 1000,
				      .free_memory_mb = 10,
				      .accepting = accepting,
				      .received = 100 };

	g_snprintf(state.name, sizeof(state.name), "s%d-%d", (int)agent,
		   number);
	dispatch_update_server(d, agent, &state, now_ms);
}

static void report_servers(struct dispatch *d, uint64_t agent, int64_t now_ms)
{
	for (int i = 0; i < SERVERS / AGENTS; i++)
		report_server(d, agent, i, true, now_ms);
	dispatch_finish_report(d, agent, now_ms);
}

static void connect_agent(struct dispatch *d, uint64_t agent, int64_t now_ms)
{
	struct agent_identity identity = { .incarnation = agent,
					   .data_centre = "dc" };

	dispatch_agent_connected(d, &identity, now_ms);
	report_servers(d, agent, now_ms);
}

static void submit_tasks(struct dispatch *d, struct recorder *r, const char *id,
			 uint32_t tasks, int64_t now_ms)
{
	struct job_request request = { .route = { .name = "r",
						  .service = "desk",
						  .target_ms = FAR_MS,
						  .stretch_milli = 1600,
						  .attempts_max = 2 },
				       .spec = { .n_tasks = tasks,
						 .cpu_milli = 1000 / tasks,
						 .memory_mb = 1,
						 .estimate_ms = 100 },
				       .arrived_ms = now_ms,
				       .deadline_ms = now_ms + FAR_MS,
				       .caller = r };

	g_strlcpy(request.id, id, sizeof(request.id));
	request.spec.spec = g_bytes_new("x", 1);
	dispatch_submit(d, &request, now_ms);
	g_bytes_unref(request.spec.spec);
}

static void submit(struct dispatch *d, struct recorder *r, int64_t now_ms)
{
	submit_tasks(d, r, "j", 1, now_ms);
}

static struct dispatch *create_dispatch(struct recorder *r)
{
	static const struct dispatch_sink_ops ops = { record_start, record_stop,
						      record_answer,
						      record_demand };
	struct dispatch *d;

	memset(r, 0, sizeof(*r));
	r->sink.ops = &ops;
	d = dispatch_create(&r->sink, "dc");
	for (uint64_t agent = 1; agent <= AGENTS; agent++)
		connect_agent(d, agent, 0);
	return d;
}

static void end_run(struct dispatch *d, const struct recorder *r,
		    enum run_outcome outcome, enum loss_doubt doubt,
		    uint32_t run_ms, int64_t now_ms)
{
	struct run_result result = { .name = r->last,
				     .outcome = outcome,
				     .doubt = doubt,
				     .run_ms = run_ms };

	dispatch_handle_result(d, r->agent, &result, now_ms);
}

/* ---- Losses of one task --------------------------------------------- */

enum step_kind {
	STEP_NONE,
	STEP_LOST,
	STEP_FAILED,
	STEP_STOPPED,
	STEP_NOT_STARTED,
	STEP_DONE,
	STEP_LOST_TWICE, /* the agent tells the same result again */
	STEP_RECONNECT, /* the agent reconnects and then tells of the loss */
	STEP_AGENT_LOST, /* and doesn't return */
	STEP_FOREIGN, /* lost under another dispatcher */
	STEP_UNANSWERED, /* lost before its start was answered */
	STEP_FOREIGN_UNANSWERED,
	STEP_UNTOLD, /* lost; an older agent tells no doubt */
	STEP_UNREADABLE, /* the server can't read the start */
	STEP_RESENT, /* the caller leaves and sends the job again */
	STEP_LATER,
	STEP_MUCH_LATER,
};

struct step {
	enum step_kind kind;
	uint32_t run_ms;
};

struct loss_case {
	const char *name;
	struct step steps[STEPS_MAX];
	uint32_t starts; /* in all */
	uint32_t losses; /* in the last start */
	uint32_t answers;
	enum job_verdict verdict;
};

static const struct loss_case confirmed_cases[] = {
	{ "two crashes at its start",
	  { { STEP_LOST, 0 }, { STEP_LOST, 100 } },
	  2,
	  1,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "two crashes after it had run for long",
	  { { STEP_LOST, 500 }, { STEP_LOST, 101 }, { STEP_DONE, 100 } },
	  3,
	  2,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "one crash at its start and one later",
	  { { STEP_LOST, 11 }, { STEP_LOST, 101 }, { STEP_DONE, 100 } },
	  3,
	  2,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "three crashes after it had run for long",
	  { { STEP_LOST, 500 }, { STEP_LOST, 500 }, { STEP_LOST, 500 } },
	  3,
	  2,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "crashes between runs that were stopped or didn't start",
	  { { STEP_LOST, 500 },
	    { STEP_STOPPED, 50 },
	    { STEP_LOST, 500 },
	    { STEP_NOT_STARTED, 0 },
	    { STEP_LOST, 500 } },
	  5,
	  2,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "a crash is no attempt",
	  { { STEP_LOST, 500 },
	    { STEP_FAILED, 20 },
	    { STEP_LOST, 500 },
	    { STEP_DONE, 100 } },
	  4,
	  2,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "an attempt is no crash",
	  { { STEP_FAILED, 5 }, { STEP_LOST, 5 }, { STEP_FAILED, 5 } },
	  3,
	  1,
	  1,
	  JOB_VERDICT_FAILED },
	{ "each crash counts once",
	  { { STEP_LOST_TWICE, 5 }, { STEP_DONE, 100 } },
	  2,
	  1,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "told after a reconnect",
	  { { STEP_RECONNECT, 5 }, { STEP_RECONNECT, 5 } },
	  2,
	  1,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "a lost agent can't tell of a crash",
	  { { STEP_LOST, 5 }, { STEP_AGENT_LOST, 0 }, { STEP_LOST, 5 } },
	  3,
	  1,
	  1,
	  JOB_VERDICT_GIVEN_UP },
};

static const struct loss_case doubtful_cases[] = {
	{ "two starts without an answer before a crash",
	  { { STEP_UNANSWERED, 5 },
	    { STEP_UNANSWERED, 100 },
	    { STEP_DONE, 100 } },
	  3,
	  2,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "one crash at its start and one before the answer",
	  { { STEP_LOST, 5 }, { STEP_UNANSWERED, 5 }, { STEP_DONE, 100 } },
	  3,
	  2,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "two crashes at its start and one before the answer",
	  { { STEP_LOST, 5 }, { STEP_UNANSWERED, 5 }, { STEP_LOST, 5 } },
	  3,
	  2,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "three starts without an answer before a crash",
	  { { STEP_UNANSWERED, 5 },
	    { STEP_UNANSWERED, 5 },
	    { STEP_UNANSWERED, 5 } },
	  3,
	  2,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "two late crashes and one before the answer",
	  { { STEP_LOST, 500 }, { STEP_LOST, 500 }, { STEP_UNANSWERED, 5 } },
	  3,
	  2,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "one late crash and two before the answer",
	  { { STEP_LOST, 500 },
	    { STEP_UNANSWERED, 5 },
	    { STEP_UNANSWERED, 5 } },
	  3,
	  2,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "losses that an older agent tells",
	  { { STEP_UNTOLD, 5 }, { STEP_UNTOLD, 5 }, { STEP_UNTOLD, 5 } },
	  3,
	  2,
	  1,
	  JOB_VERDICT_GIVEN_UP },
};

static void lose_agent(struct dispatch *d, uint64_t agent, int64_t *now_ms)
{
	dispatch_agent_disconnected(d, agent, *now_ms);
	for (int i = 0; i < 200; i++) {
		*now_ms += 10;
		dispatch_agent_lease_granted(d, AGENTS + 1 - agent, *now_ms);
		dispatch_tick(d, *now_ms);
	}
}

static enum loss_doubt doubt_of(enum step_kind kind)
{
	switch (kind) {
	case STEP_UNANSWERED:
	case STEP_FOREIGN_UNANSWERED:
		return LOSS_START_UNANSWERED;
	case STEP_UNTOLD:
		return LOSS_UNTOLD;
	default:
		return LOSS_CONFIRMED;
	}
}

static void take_step(struct dispatch *d, struct recorder *r,
		      const struct step *step, int64_t *now_ms)
{
	static const enum run_outcome outcomes[] = {
		[STEP_LOST] = RUN_OUTCOME_LOST,
		[STEP_FAILED] = RUN_OUTCOME_FAILED,
		[STEP_STOPPED] = RUN_OUTCOME_STOPPED,
		[STEP_NOT_STARTED] = RUN_OUTCOME_NOT_STARTED,
		[STEP_DONE] = RUN_OUTCOME_DONE,
		[STEP_LOST_TWICE] = RUN_OUTCOME_LOST,
		[STEP_RECONNECT] = RUN_OUTCOME_LOST,
		[STEP_FOREIGN] = RUN_OUTCOME_LOST,
		[STEP_UNANSWERED] = RUN_OUTCOME_LOST,
		[STEP_FOREIGN_UNANSWERED] = RUN_OUTCOME_LOST,
		[STEP_UNTOLD] = RUN_OUTCOME_LOST,
		[STEP_UNREADABLE] = RUN_OUTCOME_UNREADABLE,
	};
	enum loss_doubt doubt = doubt_of(step->kind);
	struct recorder before = *r;

	*now_ms += 10;
	if (step->kind == STEP_AGENT_LOST) {
		lose_agent(d, r->agent, now_ms);
		return;
	}
	if (step->kind == STEP_FOREIGN ||
	    step->kind == STEP_FOREIGN_UNANSWERED) {
		before.last.number = 0;
		g_strlcpy(before.last.job, "j", sizeof(before.last.job));
	}
	if (step->kind == STEP_LATER || step->kind == STEP_MUCH_LATER) {
		*now_ms += step->kind == STEP_LATER ? 40000 : 60000;
		return;
	}
	if (step->kind == STEP_RESENT) {
		dispatch_abandon(d, "j", r, *now_ms);
		end_run(d, &before, RUN_OUTCOME_STOPPED, doubt, 0, *now_ms);
		submit(d, r, *now_ms);
		return;
	}
	if (step->kind == STEP_RECONNECT) {
		dispatch_agent_disconnected(d, r->agent, *now_ms);
		connect_agent(d, r->agent, *now_ms);
	}
	for (uint64_t agent = 1; agent <= AGENTS; agent++)
		dispatch_agent_lease_granted(d, agent, *now_ms);
	end_run(d, &before, outcomes[step->kind], doubt, step->run_ms, *now_ms);
	if (step->kind == STEP_LOST_TWICE)
		end_run(d, &before, RUN_OUTCOME_LOST, doubt, step->run_ms,
			*now_ms);
	for (uint64_t agent = 1; agent <= AGENTS; agent++)
		report_servers(d, agent, *now_ms);
}

static void check_cases(const struct loss_case *cases, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct recorder r;
		struct dispatch *d = create_dispatch(&r);
		int64_t now_ms = 0;

		submit(d, &r, 0);
		for (int k = 0; cases[i].steps[k].kind; k++)
			take_step(d, &r, &cases[i].steps[k], &now_ms);
		if (r.starts != cases[i].starts ||
		    r.losses != cases[i].losses ||
		    r.answers != cases[i].answers ||
		    r.answer.verdict != cases[i].verdict)
			fail_msg("%s: %u starts, losses %u, %u answers, "
				 "verdict %d",
				 cases[i].name, r.starts, r.losses, r.answers,
				 r.answer.verdict);
		dispatch_destroy(d);
	}
}

/* Guards against tasks that crash server after server, and against giving up
 * those that only ran beside one. */
static void test_losses_of_a_task(void **state)
{
	(void)state;
	check_cases(confirmed_cases, G_N_ELEMENTS(confirmed_cases));
}

static const struct loss_case unreadable_cases[] = {
	{ "read by the second server",
	  { { STEP_UNREADABLE, 0 }, { STEP_DONE, 100 } },
	  2,
	  0,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "one refusal and one attempt",
	  { { STEP_UNREADABLE, 0 }, { STEP_FAILED, 5 }, { STEP_DONE, 100 } },
	  3,
	  0,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "read by none",
	  { { STEP_UNREADABLE, 0 }, { STEP_UNREADABLE, 0 } },
	  2,
	  0,
	  1,
	  JOB_VERDICT_GIVEN_UP },
};

/* Guards against "failed" for a job of which no run began, and against sending
 * its starts until the deadline. */
static void test_unreadable_starts_do_not_fail_a_job(void **state)
{
	(void)state;
	check_cases(unreadable_cases, G_N_ELEMENTS(unreadable_cases));
}

/* Guards against giving up a job after two losses of runs that may not have
 * been at work, and against starting its task for ever. */
static void test_unconfirmed_losses_end_a_job_later(void **state)
{
	(void)state;
	check_cases(doubtful_cases, G_N_ELEMENTS(doubtful_cases));
}

/* Guards against retries on servers that crashed under the task and are back
 * under their names: all of them, not only the last one. */
static void test_retries_avoid_the_servers(void **state)
{
	struct recorder r;
	struct dispatch *d = create_dispatch(&r);
	int64_t now_ms = 0;
	struct step lost = { STEP_LOST, 500 };

	(void)state;
	submit(d, &r, 0);
	take_step(d, &r, &lost, &now_ms);
	take_step(d, &r, &lost, &now_ms);
	assert_int_equal(r.starts, 3);
	assert_false(r.repeated_server);
	dispatch_destroy(d);
}

static const struct {
	const char *name;
	struct step before[3]; /* the job is sent */
	struct step after[STEPS_MAX];
	uint32_t starts, answers;
	enum job_verdict verdict;
} sent_again[] = {
	{ "lost, sent again and lost, sent again",
	  { { 0 } },
	  { { STEP_LOST, 5 },
	    { STEP_RESENT, 0 },
	    { STEP_LOST, 5 },
	    { STEP_RESENT, 0 } },
	  3,
	  3,
	  JOB_VERDICT_GIVEN_UP },
	{ "lost twice under another dispatcher",
	  { { STEP_FOREIGN, 5 }, { STEP_FOREIGN, 5 } },
	  { { 0 } },
	  0,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "lost under another dispatcher while it runs here",
	  { { STEP_FOREIGN, 5 } },
	  { { STEP_FOREIGN, 5 } },
	  1,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "lost three times, before the answer, and sent again",
	  { { 0 } },
	  { { STEP_UNANSWERED, 5 },
	    { STEP_UNANSWERED, 5 },
	    { STEP_UNANSWERED, 5 },
	    { STEP_RESENT, 0 } },
	  3,
	  2,
	  JOB_VERDICT_GIVEN_UP },
	{ "lost three times, before the answer, and sent again and again",
	  { { 0 } },
	  { { STEP_UNANSWERED, 5 },
	    { STEP_UNANSWERED, 5 },
	    { STEP_UNANSWERED, 5 },
	    { STEP_LATER, 0 },
	    { STEP_RESENT, 0 },
	    { STEP_LATER, 0 },
	    { STEP_RESENT, 0 } },
	  3,
	  3,
	  JOB_VERDICT_GIVEN_UP },
	{ "lost twice under another dispatcher, before the answer",
	  { { STEP_FOREIGN_UNANSWERED, 5 }, { STEP_FOREIGN_UNANSWERED, 5 } },
	  { { STEP_DONE, 100 } },
	  1,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "lost three times under another dispatcher, before the answer",
	  { { STEP_FOREIGN_UNANSWERED, 5 },
	    { STEP_FOREIGN_UNANSWERED, 5 },
	    { STEP_FOREIGN_UNANSWERED, 5 } },
	  { { 0 } },
	  0,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "lost here and there",
	  { { STEP_FOREIGN, 500 } },
	  { { STEP_LOST, 500 }, { STEP_DONE, 100 } },
	  2,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "lost long ago, and again now",
	  { { STEP_FOREIGN, 5 }, { STEP_MUCH_LATER, 0 } },
	  { { STEP_LOST, 5 }, { STEP_DONE, 100 } },
	  2,
	  1,
	  JOB_VERDICT_COMPLETED },
	{ "lost long ago while it ran, and again now",
	  { { 0 } },
	  { { STEP_LOST, 5 }, { STEP_MUCH_LATER, 0 }, { STEP_LOST, 5 } },
	  2,
	  1,
	  JOB_VERDICT_GIVEN_UP },
	{ "lost under another dispatcher long ago",
	  { { STEP_FOREIGN, 5 }, { STEP_FOREIGN, 5 }, { STEP_MUCH_LATER, 0 } },
	  { { STEP_DONE, 100 } },
	  1,
	  1,
	  JOB_VERDICT_COMPLETED },
};

/* Guards against a task that goes on crashing servers because its caller sends
 * the job again, here or to another dispatcher. */
static void test_losses_outlive_the_job(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sent_again); i++) {
		struct recorder r;
		struct dispatch *d = create_dispatch(&r);
		int64_t now_ms = 0;

		for (int k = 0; k < 3 && sent_again[i].before[k].kind; k++)
			take_step(d, &r, &sent_again[i].before[k], &now_ms);
		for (uint64_t agent = 1; agent <= AGENTS; agent++)
			dispatch_agent_lease_granted(d, agent, now_ms);
		submit(d, &r, now_ms);
		for (int k = 0; sent_again[i].after[k].kind; k++)
			take_step(d, &r, &sent_again[i].after[k], &now_ms);
		if (r.starts != sent_again[i].starts ||
		    r.answers != sent_again[i].answers ||
		    r.answer.verdict != sent_again[i].verdict)
			fail_msg("%s: %u starts, %u answers, verdict %d",
				 sent_again[i].name, r.starts, r.answers,
				 r.answer.verdict);
		dispatch_destroy(d);
	}
}

/* Guards against losses that another task gets, or that are read beyond the
 * job's tasks, because the job is sent again with fewer or more of them. */
static void test_losses_stay_with_their_task(void **state)
{
	static const uint32_t tasks[] = { 2, 4 };
	struct recorder r;
	struct dispatch *d = create_dispatch(&r);
	struct run_result lost = { .name = { .job = "j", .index = 3 },
				   .outcome = RUN_OUTCOME_LOST,
				   .doubt = LOSS_CONFIRMED,
				   .run_ms = 5 };

	(void)state;
	dispatch_handle_result(d, 1, &lost, 10);
	dispatch_handle_result(d, 1, &lost, 20);
	submit_tasks(d, &r, "j", tasks[0], 30);
	assert_int_equal(r.starts, tasks[0]);
	assert_int_equal(r.losses, 0);
	assert_int_equal(r.answers, 0);
	dispatch_abandon(d, "j", &r, 40);
	for (lost.name.index = 0; lost.name.index < tasks[0];
	     lost.name.index++) {
		struct run_result stopped = { .name = lost.name,
					      .outcome = RUN_OUTCOME_STOPPED };

		stopped.name.number = 1;
		for (uint64_t agent = 1; agent <= AGENTS; agent++)
			dispatch_handle_result(d, agent, &stopped, 50);
	}
	submit_tasks(d, &r, "j", tasks[1], 60);
	assert_int_equal(r.starts, tasks[0]);
	assert_int_equal(r.answers, 2);
	assert_int_equal(r.answer.verdict, JOB_VERDICT_GIVEN_UP);
	dispatch_destroy(d);
}

/* Sends a job of WIDE_TASKS tasks while the agent's first server is the only
 * one that accepts work. */
static void send_wide_job(struct dispatch *d, struct recorder *r,
			  const char *id, uint64_t agent, int64_t now_ms)
{
	uint32_t starts = r->starts;

	report_server(d, agent, 0, true, now_ms);
	for (uint64_t i = 1; i <= AGENTS; i++)
		dispatch_finish_report(d, i, now_ms);
	submit_tasks(d, r, id, WIDE_TASKS, now_ms);
	assert_int_equal(r->starts, starts + WIDE_TASKS);
}

static void end_wide_job(struct dispatch *d, const char *id, uint64_t agent,
			 enum run_outcome outcome, uint32_t run_ms,
			 int64_t now_ms)
{
	struct run_result result = { .outcome = outcome,
				     .doubt = LOSS_CONFIRMED,
				     .run_ms = run_ms };

	g_strlcpy(result.name.job, id, sizeof(result.name.job));
	result.name.number = 1;
	for (uint32_t i = 0; i < WIDE_TASKS; i++) {
		result.name.index = i;
		dispatch_handle_result(d, agent, &result, now_ms);
	}
}

/* Guards against a crashed server that is taken for a slow one when it is back,
 * as its runs seemed late until they were known to be lost. */
static void test_a_crash_is_not_slowness(void **state)
{
	struct recorder r;
	struct dispatch *d = create_dispatch(&r);

	(void)state;
	send_wide_job(d, &r, "w", 2, 0);
	end_wide_job(d, "w", 2, RUN_OUTCOME_DONE, 100, 100);
	send_wide_job(d, &r, "j", 1, 100);
	report_servers(d, 2, 101);
	report_server(d, 1, 0, false, 101);
	for (int64_t now_ms = 110; now_ms < 800; now_ms += DISPATCH_TICK_MS) {
		for (uint64_t agent = 1; agent <= AGENTS; agent++)
			dispatch_agent_lease_granted(d, agent, now_ms);
		dispatch_tick(d, now_ms);
	}
	end_wide_job(d, "j", 1, RUN_OUTCOME_LOST, 500, 800);
	assert_int_equal(r.starts, 3 * WIDE_TASKS);
	report_server(d, 1, 0, true, 800);
	submit_tasks(d, &r, "k", WIDE_TASKS, 800);
	assert_int_equal(r.starts, 4 * WIDE_TASKS);
	assert_string_equal(r.servers[3 * WIDE_TASKS], "s1-0");
	dispatch_destroy(d);
}

/* ---- Load ----------------------------------------------------------- */

/* Guards against crashes without end, and against jobs given up in masses
 * because they ran beside the cause. */
static void test_load_with_crashing_jobs(void **state)
{
	struct world_load load = { .classes = world_order_desk,
				   .factor = 0.6,
				   .arrivals_ms = 20000,
				   .n_servers = 11,
				   .crashing = 0.01,
				   .seed = 20261204 };
	struct world_result result;
	uint32_t failed = 0;

	(void)state;
	log_configure("test", "losses", LOG_ERROR, LOG_FORMAT_TEXT);
	for (size_t i = 0; i < load.n_servers; i++)
		load.servers[i].cpu_milli = 64000;
	world_simulate(&load, &result);
	for (size_t i = 0; i < WORLD_CLASSES; i++)
		failed += result.classes[i].failed;
	fprintf(stderr,
		"count: crashing=%u crashes=%u most=%u failed=%u given_up=%u "
		"innocent=%u\n",
		result.crashing_jobs, result.crashes, result.crashes_of_job_max,
		failed, result.crash_given_up, result.crash_given_up_innocent);
	assert_true(result.crashing_jobs > 3);
	assert_in_range(result.crashes_of_job_max, 1, 3);
	assert_int_equal(failed, 0);
	assert_true(result.crash_given_up - result.crash_given_up_innocent >
		    result.crashing_jobs / 2);
	assert_true(result.crash_given_up_innocent < result.crashing_jobs);
	assert_int_equal(result.overlapping_runs, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_losses_of_a_task),
		cmocka_unit_test(test_unconfirmed_losses_end_a_job_later),
		cmocka_unit_test(test_unreadable_starts_do_not_fail_a_job),
		cmocka_unit_test(test_retries_avoid_the_servers),
		cmocka_unit_test(test_losses_outlive_the_job),
		cmocka_unit_test(test_losses_stay_with_their_task),
		cmocka_unit_test(test_a_crash_is_not_slowness),
		cmocka_unit_test(test_load_with_crashing_jobs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
