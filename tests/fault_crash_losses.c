/*
 * What a job's caller is told when backend servers crash under its task, with
 * real processes: servers that crash before they answer a start, after an end
 * that no agent has heard of, or under a run that is known to be at work. A
 * crashed server is back after a while under another name, with a new start
 * time and the same address.
 */
#include "support/leased_system.h"

#include "base/clock.h"
#include "platform/standin.h"

#include <glib.h>
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define RUN_MS 300
#define LONG_RUN_MS 3000
#define ENDED_RUN_MS 1500
#define ENDED_WAIT_MS 20000
#define DOWN_MS 1000
#define POLL_US 1000
#define QUICK_MS 500
/* Less than it takes to lose a run, and more than a quick answer. */
#define SHORT_DEADLINE_MS 600
#define TRIES_MAX 20
#define QUICK_TRIES 4
/* Three crashes, and the two starts that the platform allows beyond them. */
#define STARTS_MAX 5

#define STARTS (1U << STANDIN_START)
#define STOPS (1U << STANDIN_STOP)
#define POLLS (1U << STANDIN_POLL)

/* ---- Types ---- */

struct caller {
	struct leased_system *system;
	const char *id;
	GThread *thread;
	int dispatcher;
	uint32_t run_ms, status;
	int64_t deadline_ms, took_ms;
	char *answer;
	gint done;
};

enum hidden_end {
	END_NONE,
	END_POLLS_HELD, /* the next poll gets no answer */
	END_HIDDEN, /* no run is left, and no answer has told so */
};

struct crasher {
	struct leased_system *system;
	/* Whether this server is to crash now. */
	bool (*is_due)(struct crasher *c, int i);
	uint32_t crashes, crashes_max;
	int64_t crashed_ms[SYSTEM_AGENTS];
	/* Of the runs that end before the crash. */
	bool cancels, crashes_at_once;
	enum hidden_end ends[SYSTEM_AGENTS];
	int64_t unanswered[SYSTEM_AGENTS]; /* the agent's count */
};

/* ---- Callers ---- */

static const char job_id[] = "00000000000000cc";

static gpointer submit(gpointer arg)
{
	struct caller *c = arg;
	int64_t sent_ms = clock_now_ms();

	c->status = leased_system_submit_one(c->system, c->dispatcher, c->id,
					     c->run_ms, c->deadline_ms,
					     &c->answer);
	c->took_ms = clock_now_ms() - sent_ms;
	g_atomic_int_set(&c->done, 1);
	return NULL;
}

static void caller_begin(struct caller *c, struct leased_system *s,
			 int dispatcher, uint32_t run_ms, int64_t deadline_ms)
{
	*c = (struct caller){ .system = s,
			      .id = job_id,
			      .dispatcher = dispatcher,
			      .run_ms = run_ms,
			      .deadline_ms = deadline_ms };
	c->thread = g_thread_new("caller", submit, c);
}

static void caller_end(struct caller *c)
{
	g_thread_join(c->thread);
	fprintf(stderr,
		"count: dispatcher=%d status=%u took_ms=%" PRId64
		" answer=%.120s\n",
		c->dispatcher, c->status, c->took_ms, c->answer);
}

static bool is_completed(const struct caller *c)
{
	return c->status == 200 && standin_is_completed(c->answer);
}

/* ---- Crashes ---- */

static bool has_unanswered(struct crasher *c, int i)
{
	return standin_unanswered(c->system->standins[i]) > 0;
}

static bool has_known_run(struct crasher *c, int i)
{
	return standin_known_running(c->system->record, job_id, 0) ==
	       c->system->standins[i];
}

/* Crashes the servers that are due, and starts those that were down long
 * enough. */
static void crasher_step(struct crasher *c)
{
	struct leased_system *s = c->system;

	for (int i = 0; i < SYSTEM_AGENTS; i++) {
		if (!s->standins[i]) {
			if (clock_now_ms() >= c->crashed_ms[i] + DOWN_MS)
				leased_system_start_server(s, i);
			continue;
		}
		if (c->crashes == c->crashes_max || !c->is_due(c, i))
			continue;
		leased_system_crash_unanswered(s, i);
		c->crashed_ms[i] = clock_now_ms();
		c->ends[i] = END_NONE;
		c->crashes++;
	}
	g_usleep(POLL_US);
}

static bool are_all_up(const struct leased_system *s)
{
	for (int i = 0; i < SYSTEM_AGENTS; i++)
		if (!s->standins[i] || !standin_fence(s->standins[i]))
			return false;
	return true;
}

/* Until all servers have accepted a fencing token, which precedes starts. */
static void crasher_wait_all_up(struct crasher *c)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	while (!are_all_up(c->system) && clock_now_ms() < end_ms)
		crasher_step(c);
}

static void crasher_finish(struct crasher *c)
{
	for (int i = 0; i < SYSTEM_AGENTS; i++)
		if (!c->system->standins[i])
			leased_system_start_server(c->system, i);
}

/* ---- Unanswered starts ---- */

/* Guards against a job ended for two starts that may never have begun. */
static void test_unanswered_starts_do_not_end_a_job(void **state)
{
	struct leased_system *s = leased_system_begin(true);
	struct crasher crasher = { .system = s,
				   .is_due = has_unanswered,
				   .crashes_max = 2 };
	struct caller caller;

	(void)state;
	standin_hold_all(s->record, STARTS);
	caller_begin(&caller, s, 0, RUN_MS, SYSTEM_DEADLINE_MS);
	while (!g_atomic_int_get(&caller.done)) {
		crasher_step(&crasher);
		if (crasher.crashes < crasher.crashes_max)
			continue;
		standin_hold_all(s->record, 0);
		for (int i = 0; i < SYSTEM_AGENTS; i++)
			if (s->standins[i])
				standin_release(s->standins[i]);
	}
	caller_end(&caller);
	fprintf(stderr, "count: unanswered: crashes=%u starts=%u runs=%u\n",
		crasher.crashes, standin_starts(s->record),
		standin_runs(s->record));
	crasher_finish(&crasher);
	leased_system_finish(s);
	assert_int_equal(crasher.crashes, crasher.crashes_max);
	assert_true(is_completed(&caller));
	g_free(caller.answer);
}

/* ---- Ended runs ---- */

static int64_t count_unanswered(struct leased_system *s, int i)
{
	char agent[16];

	snprintf(agent, sizeof(agent), "a%d", i + 1);
	return cluster_metric(s->cluster, agent,
			      "chervilferry_run_calls_unanswered_total");
}

/* Ends the run at this server so that its agent doesn't hear of it. */
static bool has_hidden_end(struct crasher *c, int i)
{
	struct leased_system *s = c->system;

	if (c->ends[i] == END_NONE && has_known_run(c, i)) {
		standin_hold(s->standins[i], POLLS);
		c->ends[i] = END_POLLS_HELD;
	} else if (c->ends[i] == END_POLLS_HELD && has_unanswered(c, i)) {
		c->unanswered[i] = count_unanswered(s, i);
		if (c->cancels)
			leased_system_cancel(s, 0, job_id);
		else
			standin_end_runs(s->standins[i]);
		c->ends[i] = END_HIDDEN;
	}
	return c->ends[i] == END_HIDDEN && !has_known_run(c, i) &&
	       (c->cancels || c->crashes_at_once ||
		count_unanswered(s, i) > c->unanswered[i]);
}

struct ended_case {
	const char *name;
	bool cancels;
	uint32_t crashes;
	bool crashes_at_once; /* before a call has timed out */
	bool completes; /* fewer losses than end a job, in doubt */
};

/* The stopped runs are lost within 100 ms of their starts, of which two end a
 * job; the others are older. */
static const struct ended_case ended_cases[] = {
	{ "stopped", true, 2, false, true },
	{ "succeeded", false, 3, false, false },
};

/* Sends the job again after each 504 or cancel, until all crashes have happened
 * and one try more was answered. */
static void send_until_crashed(struct crasher *crasher, struct caller *caller)
{
	int64_t end_ms = clock_now_ms() + ENDED_WAIT_MS;
	bool last = false;

	for (;;) {
		last = crasher->crashes == crasher->crashes_max;
		if (last)
			crasher_wait_all_up(crasher);
		caller_begin(caller, crasher->system, 0, ENDED_RUN_MS,
			     SYSTEM_DEADLINE_MS);
		while (!g_atomic_int_get(&caller->done))
			crasher_step(crasher);
		g_thread_join(caller->thread);
		if (is_completed(caller) || clock_now_ms() > end_ms ||
		    (last && caller->status == 504) ||
		    (caller->status == 200 &&
		     !strstr(caller->answer, "cancelled")))
			return;
		g_free(caller->answer);
	}
}

static void check_ended_runs(const struct ended_case *k)
{
	struct leased_system *s = leased_system_begin(true);
	struct crasher crasher = { .system = s,
				   .is_due = has_hidden_end,
				   .crashes_max = k->crashes,
				   .cancels = k->cancels,
				   .crashes_at_once = k->crashes_at_once };
	struct caller caller;

	standin_answer_polls_at_once(s->record);
	standin_mute_all(s->record, STOPS);
	send_until_crashed(&crasher, &caller);
	fprintf(stderr, "count: %s: crashes=%u status=%u answer=%.120s\n",
		k->name, crasher.crashes, caller.status, caller.answer);
	crasher_finish(&crasher);
	leased_system_finish(s);
	assert_int_equal(crasher.crashes, k->crashes);
	if (k->completes)
		assert_true(is_completed(&caller));
	else
		assert_true(caller.status == 504 || is_completed(&caller));
	g_free(caller.answer);
}

/* Guards against a job shown as failed for runs that had ended before the crash
 * of their server. */
static void test_ended_runs_do_not_fail_a_job(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(ended_cases); i++)
		check_ended_runs(&ended_cases[i]);
}

/* ---- Bound on starts ---- */

/* Guards against the same where the end is hidden for some milliseconds only.
 */
static void test_an_end_just_before_the_crash_does_not_fail_a_job(void **state)
{
	static const struct ended_case k = { "succeeded, crash at once", false,
					     2, true, false };

	(void)state;
	check_ended_runs(&k);
}

struct bound_case {
	const char *name;
	uint32_t held, muted; /* masks of calls */
	int64_t deadline_ms;
};

static const struct bound_case bound_cases[] = {
	{ "crash before the run begins", STARTS, 0, SYSTEM_DEADLINE_MS },
	{ "crash after the run has begun", 0, STARTS, SYSTEM_DEADLINE_MS },
	{ "more tries than crashes", STARTS, 0, SHORT_DEADLINE_MS },
};

/* Sends the job until it is refused quickly some times in a row, with servers
 * for it. Returns the number of quick answers at the end. */
static int send_repeatedly(struct leased_system *s, struct crasher *crasher,
			   int64_t deadline_ms, bool *as_allowed)
{
	int quick = 0;

	*as_allowed = true;
	for (int i = 0; i < TRIES_MAX && quick < QUICK_TRIES; i++) {
		struct caller caller;
		bool all_up = are_all_up(s);

		caller_begin(&caller, s, i % SYSTEM_DISPATCHERS, RUN_MS,
			     deadline_ms);
		while (!g_atomic_int_get(&caller.done))
			crasher_step(crasher);
		caller_end(&caller);
		g_free(caller.answer);
		/* 429: no server can be reached. */
		*as_allowed &= caller.status == 504 ||
			       (caller.status == 429 && !all_up);
		quick = caller.status == 504 && caller.took_ms < QUICK_MS
				? quick + 1
				: 0;
		if (quick)
			crasher_wait_all_up(crasher);
	}
	return quick;
}

static void check_bound(const struct bound_case *k)
{
	struct leased_system *s = leased_system_begin(true);
	struct crasher crasher = { .system = s,
				   .is_due = has_unanswered,
				   .crashes_max = UINT32_MAX };
	uint32_t starts;
	bool as_allowed;
	int quick;

	standin_hold_all(s->record, k->held);
	standin_mute_all(s->record, k->muted);
	quick = send_repeatedly(s, &crasher, k->deadline_ms, &as_allowed);
	starts = standin_starts(s->record);
	fprintf(stderr, "count: %s: crashes=%u starts=%u quick=%d\n", k->name,
		crasher.crashes, starts, quick);
	crasher_finish(&crasher);
	leased_system_finish(s);
	assert_true(as_allowed);
	assert_int_equal(quick, QUICK_TRIES);
	assert_in_range(starts, 2, STARTS_MAX);
}

/* Guards against a task that takes down server after server because none of
 * them answers its start. */
static void
test_a_task_that_crashes_servers_before_answering_is_bounded(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bound_cases); i++)
		check_bound(&bound_cases[i]);
}

/* ---- Confirmed losses ---- */

/* Guards against a job that is kept open, started on when it is sent again, or
 * told as failed although its task was only seen to crash servers. */
static void test_confirmed_losses_give_a_job_up(void **state)
{
	struct leased_system *s = leased_system_begin(true);
	struct crasher crasher = { .system = s,
				   .is_due = has_known_run,
				   .crashes_max = UINT32_MAX };
	struct caller caller, again;
	uint32_t crashes, starts, starts_again;

	(void)state;
	standin_answer_polls_at_once(s->record);
	caller_begin(&caller, s, 0, LONG_RUN_MS, SYSTEM_DEADLINE_MS);
	while (!g_atomic_int_get(&caller.done))
		crasher_step(&crasher);
	caller_end(&caller);
	crashes = crasher.crashes;
	crasher_finish(&crasher);
	starts = standin_starts(s->record);
	caller_begin(&again, s, 1, LONG_RUN_MS, SYSTEM_DEADLINE_MS);
	caller_end(&again);
	starts_again = standin_starts(s->record);
	fprintf(stderr, "count: confirmed: crashes=%u starts=%u, %u\n", crashes,
		starts, starts_again);
	g_free(again.answer);
	leased_system_finish(s);
	assert_int_equal(caller.status, 504);
	assert_in_range(crashes, 2, 3);
	g_free(caller.answer);
	assert_int_equal(again.status, 504);
	assert_int_equal(starts_again, starts);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(
			test_unanswered_starts_do_not_end_a_job,
			cluster_teardown),
		cmocka_unit_test_teardown(test_ended_runs_do_not_fail_a_job,
					  cluster_teardown),
		cmocka_unit_test_teardown(
			test_an_end_just_before_the_crash_does_not_fail_a_job,
			cluster_teardown),
		cmocka_unit_test_teardown(
			test_a_task_that_crashes_servers_before_answering_is_bounded,
			cluster_teardown),
		cmocka_unit_test_teardown(test_confirmed_losses_give_a_job_up,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
