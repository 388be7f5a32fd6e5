/*
 * test_dispatch_verdicts: what a job's caller is told, against what backend
 * servers said of its runs. Plays jobs whose runs end in a random way each.
 */
#include "base/logger.h"
#include "leased/dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

/* ---- Constants ------------------------------------------------------ */

#define SEEDS 5000
#define AGENTS 3
#define SERVERS_PER_AGENT 4
#define TASKS_MAX 4
#define ATTEMPTS_MAX 4
#define RUNS_MAX 64
#define TOLD_MAX 16
#define STEPS_MAX 60
#define STEP_MS 10
#define DEADLINE_MS 100000
#define SHORT_DEADLINE_MS 300
/* Losses younger than LOSS_SUSPECT_MS and older ones. */
#define LOSS_AGE_MAX_MS 200

/* ---- Types ---------------------------------------------------------- */

struct sent {
	uint64_t agent;
	struct run_name name;
};

struct told {
	uint64_t agent;
	struct run_result result;
};

struct play {
	struct dispatch_sink sink; /* first member */
	struct dispatch *dispatch;
	GRand *random;
	int64_t now_ms;
	struct sent open[RUNS_MAX]; /* runs that haven't ended */
	uint32_t n_open;
	uint32_t tasks, attempts;
	bool is_full; /* no server takes work */
	struct told told[TOLD_MAX]; /* the latest ends, of all submissions */
	uint32_t n_told;
	/* Of this submission. */
	uint32_t starts;
	uint32_t failed[TASKS_MAX]; /* ends "failed" */
	bool done[TASKS_MAX];
	bool answered;
	struct job_answer answer;
	uint32_t n_verdicts[JOB_VERDICT_GIVEN_UP + 1]; /* over all seeds */
};

/* ---- Dispatcher's calls --------------------------------------------- */

static void on_start(struct dispatch_sink *sink, uint64_t agent,
		     const struct start_command *command)
{
	struct play *p = (struct play *)sink;

	assert_true(p->n_open < RUNS_MAX);
	p->open[p->n_open++] = (struct sent){ agent, command->name };
	p->starts++;
}

static void on_stop(struct dispatch_sink *sink, uint64_t agent,
		    const struct run_name *name)
{
	(void)sink;
	(void)agent;
	(void)name;
}

static void on_answer(struct dispatch_sink *sink, void *caller,
		      const struct job_answer *answer)
{
	struct play *p = (struct play *)sink;

	(void)caller;
	p->answered = true;
	p->answer = *answer;
	p->n_verdicts[answer->verdict]++;
}

static void on_demand(struct dispatch_sink *sink, bool has_demand)
{
	(void)sink;
	(void)has_demand;
}

/* ---- Servers -------------------------------------------------------- */

static void report_servers(struct play *p)
{
	for (uint64_t agent = 1; agent <= AGENTS; agent++) {
		dispatch_agent_lease_granted(p->dispatch, agent, p->now_ms);
		for (int i = 0; i < SERVERS_PER_AGENT; i++) {
			struct server_state state = {
				.service = "desk",
				.capacity = { .cpu_milli = 8000,
					      .memory_mb = 100 },
				.free_cpu_milli = 8000,
				.offered_cpu_milli = 8000,
				.free_memory_mb = 100,
				.accepting = !p->is_full,
				.received = RUNS_MAX
			};

			g_snprintf(state.name, sizeof(state.name), "s%d-%d",
				   (int)agent, i);
			dispatch_update_server(p->dispatch, agent, &state,
					       p->now_ms);
		}
		dispatch_finish_report(p->dispatch, agent, p->now_ms);
	}
}

static void connect_agents(struct play *p)
{
	for (uint64_t agent = 1; agent <= AGENTS; agent++) {
		struct agent_identity identity = { .incarnation = agent,
						   .data_centre = "dc" };

		g_snprintf(identity.name, sizeof(identity.name), "a%d",
			   (int)agent);
		dispatch_agent_connected(p->dispatch, &identity, p->now_ms);
	}
	report_servers(p);
}

/* ---- Steps ---------------------------------------------------------- */

static void submit(struct play *p)
{
	struct job_request request = {
		.id = "j",
		.route = { .name = "r",
			   .service = "desk",
			   .target_ms = DEADLINE_MS,
			   .stretch_milli = 1600,
			   .attempts_max = p->attempts },
		.spec = { .n_tasks = p->tasks,
			  .cpu_milli = 100,
			  .memory_mb = 1,
			  .estimate_ms = 100 },
		.arrived_ms = p->now_ms,
		.deadline_ms = p->now_ms +
			       (p->is_full ? SHORT_DEADLINE_MS : DEADLINE_MS),
		.caller = p
	};

	p->starts = 0;
	p->answered = false;
	memset(p->failed, 0, sizeof(p->failed));
	memset(p->done, 0, sizeof(p->done));
	request.spec.spec = g_bytes_new("x", 1);
	dispatch_submit(p->dispatch, &request, p->now_ms);
	g_bytes_unref(request.spec.spec);
}

/* For one job in six no server takes work. */
static void submit_next(struct play *p)
{
	p->is_full = !g_rand_int_range(p->random, 0, 6);
	report_servers(p);
	submit(p);
}

static struct run_result random_end(struct play *p)
{
	static const enum run_outcome outcomes[] = {
		RUN_OUTCOME_DONE,    RUN_OUTCOME_FAILED,
		RUN_OUTCOME_FAILED,  RUN_OUTCOME_LOST,
		RUN_OUTCOME_LOST,    RUN_OUTCOME_LOST,
		RUN_OUTCOME_STOPPED, RUN_OUTCOME_NOT_STARTED,
		RUN_OUTCOME_REFUSED, RUN_OUTCOME_UNREADABLE
	};
	struct run_result result = {
		.outcome = outcomes[g_rand_int_range(p->random, 0,
						     G_N_ELEMENTS(outcomes))],
		.run_ms = (uint32_t)g_rand_int_range(p->random, 0,
						     LOSS_AGE_MAX_MS)
	};

	if (result.outcome == RUN_OUTCOME_LOST)
		result.doubt = (enum loss_doubt)g_rand_int_range(
			p->random, LOSS_CONFIRMED, LOSS_DOUBTS);
	return result;
}

/* Ends an open run; its result may arrive twice. */
static void end_run(struct play *p, uint32_t position)
{
	struct run_result result = random_end(p);
	struct sent run = p->open[position];
	uint32_t index = run.name.index;

	p->open[position] = p->open[--p->n_open];
	result.name = run.name;
	if (p->answered)
		result.outcome = RUN_OUTCOME_STOPPED;
	p->failed[index] += result.outcome == RUN_OUTCOME_FAILED;
	p->done[index] |= result.outcome == RUN_OUTCOME_DONE;
	p->told[p->n_told++ % TOLD_MAX] = (struct told){ run.agent, result };
	dispatch_handle_result(p->dispatch, run.agent, &result, p->now_ms);
	if (g_rand_boolean(p->random))
		dispatch_handle_result(p->dispatch, run.agent, &result,
				       p->now_ms);
}

/* A server crashes under a run of the job at another dispatcher. */
static void lose_foreign(struct play *p)
{
	struct run_result result = { .name = { .job = "j" },
				     .outcome = RUN_OUTCOME_LOST,
				     .doubt = LOSS_CONFIRMED,
				     .run_ms = 5 };

	dispatch_handle_result(p->dispatch, 1, &result, p->now_ms);
}

/* An end is told again after the task was sent again, perhaps by another
 * submission. */
static void repeat_end(struct play *p)
{
	const struct told *told;

	if (!p->n_told)
		return;
	told = &p->told[g_rand_int_range(p->random, 0,
					 (gint32)MIN(p->n_told, TOLD_MAX))];
	dispatch_handle_result(p->dispatch, told->agent, &told->result,
			       p->now_ms);
}

/* Tells of a failed run that this dispatcher hasn't sent: by an agent that it
 * wasn't sent to, or without a number. */
static void tell_of_another_run(struct play *p)
{
	struct run_result result = { .outcome = RUN_OUTCOME_FAILED };
	uint64_t agent;

	if (!p->n_open)
		return;
	result.name = p->open[0].name;
	agent = p->open[0].agent;
	if (g_rand_boolean(p->random))
		agent = agent % AGENTS + 1;
	else
		result.name.number = 0;
	dispatch_handle_result(p->dispatch, agent, &result, p->now_ms);
}

static void take_step(struct play *p)
{
	p->now_ms += STEP_MS;
	if (!g_rand_int_range(p->random, 0, 5))
		repeat_end(p);
	if (!g_rand_int_range(p->random, 0, 5))
		tell_of_another_run(p);
	if (!g_rand_int_range(p->random, 0, 20))
		lose_foreign(p);
	else if (p->n_open)
		end_run(p, (uint32_t)g_rand_int_range(p->random, 0,
						      (gint32)p->n_open));
	report_servers(p);
	dispatch_tick(p->dispatch, p->now_ms);
}

/* ---- Checks --------------------------------------------------------- */

static uint32_t most_failed(const struct play *p)
{
	uint32_t most = 0;

	for (uint32_t i = 0; i < p->tasks; i++)
		most = MAX(most, p->failed[i]);
	return most;
}

static uint32_t count_done(const struct play *p)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->tasks; i++)
		n += p->done[i];
	return n;
}

static void check_answer(const struct play *p, uint32_t seed)
{
	enum job_verdict verdict = p->answer.verdict;

	if (!p->answered)
		return;
	if ((verdict == JOB_VERDICT_FAILED) != (most_failed(p) == p->attempts))
		fail_msg("seed %u: verdict %d, a task failed %u of %u times "
			 "(%s)",
			 seed, verdict, most_failed(p), p->attempts,
			 p->answer.reason);
	if ((verdict == JOB_VERDICT_COMPLETED) != (count_done(p) == p->tasks))
		fail_msg("seed %u: verdict %d, %u of %u tasks done", seed,
			 verdict, count_done(p), p->tasks);
	if (verdict == JOB_VERDICT_REFUSED && p->starts)
		fail_msg("seed %u: refused after %u starts", seed, p->starts);
}

static void play_seed(struct play *p, uint32_t seed)
{
	p->random = g_rand_new_with_seed(seed);
	p->dispatch = dispatch_create(&p->sink, "dc");
	p->n_open = 0;
	p->n_told = 0;
	p->now_ms = 1;
	p->tasks = (uint32_t)g_rand_int_range(p->random, 1, TASKS_MAX + 1);
	p->attempts =
		(uint32_t)g_rand_int_range(p->random, 1, ATTEMPTS_MAX + 1);
	connect_agents(p);
	submit_next(p);
	for (int i = 0; i < STEPS_MAX; i++) {
		take_step(p);
		check_answer(p, seed);
		if (!p->answered || p->n_open)
			continue;
		if (!p->starts && p->answer.verdict != JOB_VERDICT_REFUSED)
			break;
		submit_next(p);
	}
	dispatch_destroy(p->dispatch);
	g_rand_free(p->random);
}

/* Guards against a job told as failed, completed or refused though its runs
 * ended otherwise. */
static void test_verdicts_follow_the_ends_of_runs(void **state)
{
	static const struct dispatch_sink_ops ops = { on_start, on_stop,
						      on_answer, on_demand };
	struct play p = { .sink.ops = &ops };

	(void)state;
	log_configure("test", "verdicts", LOG_ERROR, LOG_FORMAT_TEXT);
	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		play_seed(&p, seed);
	fprintf(stderr,
		"count: completed=%u failed=%u refused=%u given_up=%u\n",
		p.n_verdicts[JOB_VERDICT_COMPLETED],
		p.n_verdicts[JOB_VERDICT_FAILED],
		p.n_verdicts[JOB_VERDICT_REFUSED],
		p.n_verdicts[JOB_VERDICT_GIVEN_UP]);
	assert_true(p.n_verdicts[JOB_VERDICT_COMPLETED] > SEEDS / 10);
	assert_true(p.n_verdicts[JOB_VERDICT_FAILED] > SEEDS / 10);
	assert_true(p.n_verdicts[JOB_VERDICT_REFUSED] > SEEDS / 10);
	assert_true(p.n_verdicts[JOB_VERDICT_GIVEN_UP] > SEEDS / 10);
}

/* Guards against a job told as failed by a limit of attempts that a later
 * configuration has raised, with which it was sent again. */
static void test_a_raised_limit_holds_for_a_joined_job(void **state)
{
	static const struct dispatch_sink_ops ops = { on_start, on_stop,
						      on_answer, on_demand };
	struct play p = {
		.sink.ops = &ops, .tasks = 1, .attempts = 1, .now_ms = 1
	};
	struct run_result failed = { .outcome = RUN_OUTCOME_FAILED };

	(void)state;
	p.dispatch = dispatch_create(&p.sink, "dc");
	connect_agents(&p);
	submit(&p);
	assert_int_equal(p.n_open, 1);
	p.attempts = 2;
	submit(&p);
	for (uint32_t i = 0; i < p.attempts; i++) {
		assert_false(p.answered);
		assert_int_equal(p.n_open, i + 1);
		failed.name = p.open[i].name;
		dispatch_handle_result(p.dispatch, p.open[i].agent, &failed,
				       p.now_ms);
	}
	assert_true(p.answered);
	assert_int_equal(p.answer.verdict, JOB_VERDICT_FAILED);
	dispatch_destroy(p.dispatch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_raised_limit_holds_for_a_joined_job),
		cmocka_unit_test(test_verdicts_follow_the_ends_of_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
