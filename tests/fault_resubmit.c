/*
 * Resubmissions with real processes: at another dispatcher, at the same time,
 * after an answer was dropped, with a key from a wrong clock, and after the
 * owner was killed or frozen. No task starts twice, and every answer that says
 * whether tasks ran is true.
 */
#include "support/calls.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define WAIT_MS 20000
#define RACES 20
#define BIG_BYTES 300000

/* ---- Helpers ---- */

static struct cluster *start(int dispatchers, int slots)
{
	struct cluster_options options = { .coordinators = 3,
					   .dispatchers = dispatchers,
					   .agents = 3,
					   .slots = slots };
	struct cluster *c = cluster_create(&options);

	cluster_start(c);
	return c;
}

static void new_key(char key[CF_KEY_TEXT_SIZE])
{
	struct cf_key k;

	cluster_key(&k, key);
}

static void new_key_with_offset(int64_t offset_ms, char key[CF_KEY_TEXT_SIZE])
{
	struct cf_key k;

	cf_key_make(&k, clock_wall_ms() + offset_ms, clock_random(),
		    clock_random());
	cf_key_format(&k, key);
}

static bool is_time_reached(struct cluster *c, void *end_ms)
{
	(void)c;
	return clock_now_ms() > *(int64_t *)end_ms;
}

static bool is_settled(struct cluster *c, void *arg)
{
	const char *leader = cluster_leader(c);
	char *answer = NULL;
	bool settled;

	(void)arg;
	if (!leader)
		return false;
	cluster_http(cluster_address(c, leader, "admin"), "GET", "/v1/status",
		     NULL, NULL, &answer, WAIT_MS);
	settled = answer && strstr(answer, "\"roster_settled\":true");
	g_free(answer);
	return settled;
}

/* Waits until voters and the leader can decide on every key made from now on
 * and on some slightly older ones. */
static void wait_past_clock_skew(struct cluster *c)
{
	int64_t end_ms;

	assert_true(cluster_wait(c, is_settled, NULL, WAIT_MS));
	end_ms = clock_now_ms() + 2 * CF_CLOCK_SKEW_MS;
	assert_true(cluster_wait(c, is_time_reached, &end_ms, WAIT_MS));
}

/* Sends a request and waits for its answer. */
static struct call call_now(struct cluster *c, const char *dispatcher,
			    const char *method, const char *key,
			    const char *body)
{
	struct call call;

	call_init(&call, c, dispatcher, method, key, body);
	call_run(&call);
	return call;
}

static void print_call(const char *what, const struct call *call)
{
	fprintf(stderr, "count: %s: status=%u answer=%.110s\n", what,
		call->status, call->answer ? call->answer : "");
}

static void finish(struct cluster *c, uint64_t starts)
{
	struct cf_trace_summary summary;

	assert_int_equal(cluster_check(c, &summary), 0);
	assert_int_equal(summary.double_starts, 0);
	if (starts)
		assert_int_equal(summary.starts, starts);
	cluster_destroy(c);
}

/* ---- Running owner ---- */

static void check_in_progress(struct cluster *c)
{
	char *body = cluster_job_body("default", 4, 400, 10000);
	char key[CF_KEY_TEXT_SIZE];
	struct call first, second, remembered, lookup, late, other;

	new_key(key);
	call_init(&first, c, "d1", "POST", key, body);
	call_init(&second, c, "d2", "POST", key, body);
	call_start(&first);
	cluster_wait_starts(c, 4);
	call_start(&second);
	lookup = call_now(c, "d2", "GET", key, NULL);
	assert_int_equal(lookup.status, 202);
	call_join(&first);
	call_join(&second);
	remembered = call_now(c, "d2", "POST", key, body);
	late = call_now(c, "d2", "DELETE", key, NULL);
	other = call_now(c, "d2", "POST", key, NULL);
	print_call("in progress at another dispatcher", &second);
	print_call("another body", &other);
	assert_true(call_same_complete(&first, &second));
	assert_true(call_same_complete(&first, &remembered));
	assert_true(call_same_complete(&first, &late));
	assert_int_equal(other.status, 409);
	assert_true(call_answer_contains(&other, "key-reused"));
	call_clear(&first);
	call_clear(&second);
	call_clear(&remembered);
	call_clear(&lookup);
	call_clear(&late);
	call_clear(&other);
	g_free(body);
}

static void check_same_instant(struct cluster *c)
{
	struct call calls[RACES][2];
	char key[CF_KEY_TEXT_SIZE];
	int i, same = 0;

	for (i = 0; i < RACES; i++) {
		new_key(key);
		call_init(&calls[i][0], c, "d1", "POST", key, NULL);
		call_init(&calls[i][1], c, "d2", "POST", key, NULL);
		call_start(&calls[i][i % 2]);
		call_start(&calls[i][!(i % 2)]);
	}
	for (i = 0; i < RACES; i++) {
		call_join(&calls[i][0]);
		call_join(&calls[i][1]);
		same += call_same_complete(&calls[i][0], &calls[i][1]);
		if (calls[i][0].status != 200)
			print_call("race", &calls[i][0]);
		if (calls[i][1].status != 200)
			print_call("race", &calls[i][1]);
		call_clear(&calls[i][0]);
		call_clear(&calls[i][1]);
	}
	fprintf(stderr, "count: same time: %d of %d with identical answers\n",
		same, RACES);
	assert_int_equal(same, RACES);
}

static void check_cancel(struct cluster *c)
{
	char *body = cluster_job_body("default", 2, 3000, 10000);
	int64_t before = cluster_sum(c, "agent",
				     "chervilferry_agent_tasks_started_total");
	char key[CF_KEY_TEXT_SIZE];
	struct call first, cancel;

	new_key(key);
	call_init(&first, c, "d1", "POST", key, body);
	call_start(&first);
	cluster_wait_starts(c, before + 2);
	cancel = call_now(c, "d2", "DELETE", key, NULL);
	call_join(&first);
	print_call("cancelled at another dispatcher", &cancel);
	assert_int_equal(cancel.status, 409);
	assert_true(call_ran_unknown(&cancel));
	assert_string_equal(first.answer, cancel.answer);
	call_clear(&first);
	call_clear(&cancel);
	g_free(body);
}

struct clock_case {
	const char *name;
	int64_t offset_ms;
	uint32_t status;
	const char *ran; /* expected "ran" field; NULL: complete */
};

static const struct clock_case clock_cases[] = {
	{ "far ahead", 60000, 400, "\"ran\":\"none\"" },
	{ "a little ahead", 1500, 200, NULL },
	{ "a little behind", -1500, 200, NULL },
	{ "older than any vote", -1200000, 503, "\"ran\":\"unknown\"" },
};

static void check_clocks(struct cluster *c)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(clock_cases); i++) {
		const struct clock_case *k = &clock_cases[i];
		char key[CF_KEY_TEXT_SIZE];
		struct call a, b;

		new_key_with_offset(k->offset_ms, key);
		a = call_now(c, "d1", "POST", key, NULL);
		b = call_now(c, "d2", "POST", key, NULL);
		print_call(k->name, &a);
		assert_int_equal(a.status, k->status);
		assert_int_equal(b.status, k->status);
		assert_true(!k->ran || call_answer_contains(&a, k->ran));
		assert_true(!k->ran || call_answer_contains(&b, k->ran));
		assert_true(k->ran || call_same_complete(&a, &b));
		call_clear(&a);
		call_clear(&b);
	}
}

static void test_owner_lives(void **state)
{
	struct cluster *c = start(2, 8);

	(void)state;
	check_in_progress(c);
	check_same_instant(c);
	check_cancel(c);
	wait_past_clock_skew(c);
	check_clocks(c);
	finish(c, 4 + RACES + 2 + 2);
}

/* ---- Dropped answers ---- */

struct forgotten {
	const char *dispatcher, *key, *body;
};

static bool is_forgotten(struct cluster *c, void *arg)
{
	const struct forgotten *f = arg;
	struct call call = call_now(c, f->dispatcher, "POST", f->key, f->body);
	bool gone = call.status == 503 && call_ran_unknown(&call) &&
		    call_answer_contains(&call, "\"forgotten\"");

	assert_true(gone || call.status == 200);
	call_clear(&call);
	return gone;
}

static char *big_body(void)
{
	char *text = g_strnfill(BIG_BYTES, 'x');
	char *body = g_strdup_printf(
		"{\"class\":\"default\",\"tasks\":[{\"payload\":"
		"{\"run_ms\":5,\"echo\":\"%s\"}}]}",
		text);

	g_free(text);
	return body;
}

static void test_forgotten(void **state)
{
	static const struct cluster_options options = { .coordinators = 3,
							.dispatchers = 2,
							.agents = 2 };
	struct cluster *c = cluster_create(&options);
	char keys[6][CF_KEY_TEXT_SIZE], *body = big_body();
	struct forgotten by_time = { "d1", keys[0], NULL };
	struct forgotten by_size = { "d2", keys[1], body };
	struct call call;
	int i;

	(void)state;
	proc_set(cluster_proc(c, "d1"), "--remember-ms", "1000");
	proc_set(cluster_proc(c, "d2"), "--remember-bytes", "1048576");
	cluster_start(c);
	for (i = 0; i < 6; i++) {
		new_key(keys[i]);
		call = call_now(c, i ? "d2" : "d1", "POST", keys[i],
				i ? body : NULL);
		assert_int_equal(call.status, 200);
		call_clear(&call);
	}
	assert_true(cluster_wait(c, is_forgotten, &by_time, WAIT_MS));
	assert_true(is_forgotten(c, &by_size));
	by_time.dispatcher = "d2";
	by_size.dispatcher = "d1";
	assert_true(is_forgotten(c, &by_time));
	assert_true(is_forgotten(c, &by_size));
	fprintf(stderr, "count: dropped by age and by size, none re-run\n");
	g_free(body);
	finish(c, 6);
}

/* ---- Killed owner ---- */

static bool has_adopted(struct cluster *c, void *arg)
{
	(void)c;
	(void)arg;
	return cluster_metric(c, "d2", "chervilferry_adoptions_total") > 0;
}

/* Kills the owner while some tasks run and others wait at agents or are not
 * placed yet. */
static void test_owner_killed(void **state)
{
	struct cluster *c = start(3, 1);
	char *body = cluster_job_body("default", 7, 500, 20000);
	char key[CF_KEY_TEXT_SIZE], ended[CF_KEY_TEXT_SIZE];
	struct call first, second, third, before, after;
	int64_t begin_ms;

	(void)state;
	wait_past_clock_skew(c);
	new_key(ended);
	before = call_now(c, "d1", "POST", ended, NULL);
	new_key(key);
	call_init(&first, c, "d1", "POST", key, body);
	call_init(&second, c, "d2", "POST", key, body);
	call_init(&third, c, "d3", "POST", key, body);
	call_start(&first);
	cluster_wait_starts(c, 4);
	proc_kill(cluster_proc(c, "d1"));
	begin_ms = clock_now_ms();
	call_start(&second);
	call_start(&third);
	call_join(&first);
	call_join(&second);
	call_join(&third);
	after = call_now(c, "d3", "POST", ended, NULL);
	print_call("owner killed", &second);
	fprintf(stderr, "count: adopted and completed in %d ms\n",
		(int)(clock_now_ms() - begin_ms));
	assert_true(call_same_complete(&second, &third));
	assert_true(call_same_complete(&before, &after));
	assert_int_equal(first.status, 0);
	call_clear(&first);
	call_clear(&second);
	call_clear(&third);
	call_clear(&before);
	call_clear(&after);
	g_free(body);
	finish(c, 8);
}

static void test_owner_and_agent_killed(void **state)
{
	struct cluster *c = start(2, 2);
	char *body = cluster_job_body("default", 6, 4000, 20000);
	char key[CF_KEY_TEXT_SIZE];
	struct call first, second, again;
	int64_t begin_ms;

	(void)state;
	new_key(key);
	call_init(&first, c, "d1", "POST", key, body);
	call_init(&second, c, "d2", "POST", key, body);
	call_start(&first);
	cluster_wait_starts(c, 6);
	proc_kill(cluster_proc(c, "a1"));
	proc_kill(cluster_proc(c, "d1"));
	call_start(&second);
	assert_true(cluster_wait(c, has_adopted, NULL, WAIT_MS));
	begin_ms = clock_now_ms();
	call_join(&first);
	call_join(&second);
	print_call("owner and an agent killed", &second);
	fprintf(stderr, "count: answered \"unknown\" %d ms after adoption\n",
		(int)(clock_now_ms() - begin_ms));
	again = call_now(c, "d2", "POST", key, body);
	assert_int_equal(second.status, 503);
	assert_true(call_ran_unknown(&second));
	assert_true(call_ran_unknown(&again));
	call_clear(&first);
	call_clear(&second);
	call_clear(&again);
	g_free(body);
	finish(c, 6);
}

/* ---- Frozen owner ---- */

static void test_owner_frozen(void **state)
{
	struct cluster *c = start(2, 1);
	struct proc *owner = cluster_proc(c, "d1");
	char *body = cluster_job_body("default", 6, 400, 15000);
	char key[CF_KEY_TEXT_SIZE];
	struct call first, second;

	(void)state;
	wait_past_clock_skew(c);
	new_key(key);
	call_init(&first, c, "d1", "POST", key, body);
	call_init(&second, c, "d2", "POST", key, body);
	call_start(&first);
	cluster_wait_starts(c, 3);
	proc_freeze(owner);
	call_start(&second);
	call_join(&second);
	proc_thaw(owner);
	call_join(&first);
	print_call("owner frozen", &second);
	print_call("owner's own caller", &first);
	assert_int_equal(second.status, 200);
	assert_false(call_ran_none(&first));
	assert_int_equal(proc_wait(owner, WAIT_MS), 1);
	call_clear(&first);
	call_clear(&second);
	g_free(body);
	finish(c, 6);
}

static bool no_agent_usable(struct cluster *c, void *name)
{
	return !cluster_metric(c, name, "chervilferry_agents_usable");
}

/* The owner answers "not run" and is frozen while another dispatcher adopts and
 * runs the job. When it resumes, it must neither answer "not run" again nor run
 * the job. */
static void test_frozen_after_refusal(void **state)
{
	static const char *const centres[] = { "dc1", "dc2", "dc3" };
	struct cluster *c = start(2, 4);
	struct proc *owner = cluster_proc(c, "d1");
	char key[CF_KEY_TEXT_SIZE];
	struct call first, second, late[3];
	int i;

	(void)state;
	wait_past_clock_skew(c);
	for (i = 0; i < 3; i++)
		assert_true(cluster_data_centre(c, centres[i], false));
	assert_true(cluster_wait(c, no_agent_usable, "d1", WAIT_MS));
	new_key(key);
	first = call_now(c, "d1", "POST", key, NULL);
	assert_true(call_ran_none(&first));
	proc_freeze(owner);
	for (i = 0; i < 3; i++)
		assert_true(cluster_data_centre(c, centres[i], true));
	second = call_now(c, "d2", "POST", key, NULL);
	call_init(&late[0], c, "d1", "GET", key, NULL);
	call_init(&late[1], c, "d1", "DELETE", key, NULL);
	call_init(&late[2], c, "d1", "POST", key, NULL);
	for (i = 0; i < 3; i++)
		call_start(&late[i]);
	proc_thaw(owner);
	print_call("refused, then adopted", &second);
	assert_int_equal(second.status, 200);
	for (i = 0; i < 3; i++) {
		call_join(&late[i]);
		print_call(late[i].method, &late[i]);
		assert_false(call_ran_none(&late[i]));
		call_clear(&late[i]);
	}
	call_clear(&first);
	call_clear(&second);
	finish(c, 1);
}

/* ---- Restarts of agents and coordinators ---- */

static void restart(struct cluster *c, const char *name, bool clean)
{
	struct proc *p = cluster_proc(c, name);

	if (clean)
		assert_int_equal(proc_stop(p), 0);
	else
		proc_kill(p);
	proc_start(c, p);
	cluster_wait_ready(c, name, WAIT_MS);
}

static void check_remembered(struct cluster *c, const struct call *first)
{
	struct call same = call_now(c, "d1", "POST", first->key, first->body);
	struct call other = call_now(c, "d2", "POST", first->key, first->body);

	assert_true(call_same_complete(first, &same));
	/* Voters that lost their votes cannot name the owner, so the answer may
	 * be "unknown". */
	if (other.status != 200)
		print_call("at the other dispatcher", &other);
	assert_true(call_same_complete(first, &other) ||
		    call_ran_unknown(&other));
	call_clear(&same);
	call_clear(&other);
}

static bool job_completes(struct cluster *c, void *arg)
{
	struct call call;
	char key[CF_KEY_TEXT_SIZE];
	bool ok;

	new_key(key);
	call = call_now(c, arg, "POST", key, NULL);
	ok = call.status == 200;
	call_clear(&call);
	return ok;
}

static void test_restarts(void **state)
{
	struct cluster *c = start(2, 4);
	char key[CF_KEY_TEXT_SIZE], name[8];
	struct call first;
	int i;

	(void)state;
	new_key(key);
	first = call_now(c, "d1", "POST", key, NULL);
	assert_int_equal(first.status, 200);
	for (i = 1; i <= 3; i++) {
		snprintf(name, sizeof(name), "a%d", i);
		restart(c, name, false);
		check_remembered(c, &first);
	}
	for (i = 0; i < 6; i++) {
		snprintf(name, sizeof(name), "c%d", i % 3 + 1);
		restart(c, name, i < 3);
		check_remembered(c, &first);
	}
	for (i = 1; i <= 3; i++) {
		snprintf(name, sizeof(name), "c%d", i);
		proc_kill(cluster_proc(c, name));
	}
	for (i = 1; i <= 3; i++) {
		snprintf(name, sizeof(name), "c%d", i);
		proc_start(c, cluster_proc(c, name));
	}
	check_remembered(c, &first);
	assert_true(cluster_wait(c, job_completes, "d1", WAIT_MS));
	assert_true(cluster_wait(c, job_completes, "d2", WAIT_MS));
	check_remembered(c, &first);
	fprintf(stderr, "count: 3 agents, 6 coordinators, then all at once\n");
	call_clear(&first);
	finish(c, 0);
}

static void test_agent_killed(void **state)
{
	struct cluster *c = start(2, 2);
	char *body = cluster_job_body("default", 6, 2000, 15000);
	char key[CF_KEY_TEXT_SIZE];
	struct call first, same, other;

	(void)state;
	new_key(key);
	call_init(&first, c, "d1", "POST", key, body);
	call_start(&first);
	cluster_wait_starts(c, 6);
	restart(c, "a2", false);
	call_join(&first);
	same = call_now(c, "d1", "POST", key, body);
	other = call_now(c, "d2", "POST", key, body);
	print_call("agent killed with tasks running", &first);
	assert_true(call_ran_unknown(&first));
	assert_string_equal(first.answer, same.answer);
	assert_string_equal(first.answer, other.answer);
	call_clear(&first);
	call_clear(&same);
	call_clear(&other);
	g_free(body);
	finish(c, 6);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_owner_lives, cluster_teardown),
		cmocka_unit_test_teardown(test_forgotten, cluster_teardown),
		cmocka_unit_test_teardown(test_owner_killed, cluster_teardown),
		cmocka_unit_test_teardown(test_owner_and_agent_killed,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_owner_frozen, cluster_teardown),
		cmocka_unit_test_teardown(test_frozen_after_refusal,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_agent_killed, cluster_teardown),
		cmocka_unit_test_teardown(test_restarts, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
