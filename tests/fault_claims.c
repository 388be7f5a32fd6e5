/*
 * Claims while the set of voters changes: voters lose their votes, a member is
 * replaced and another host fails directly afterwards, or votes split. A key
 * never has two owners, no task starts twice, and an answer "not run" is true.
 */
#include "support/calls.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define WAIT_MS 30000
#define RACES 30
#define CANCELS 60

/* ---- Helpers ---- */

static const char *const load_args[] = {
	"--rate",   "40", "--duration-s", "16",       "--tasks",          "3",
	"--run-ms", "15", "--seed",       "20261204", "--resubmit-milli", "400",
	NULL
};

static struct cluster *start(int dispatchers, const char *claim)
{
	const char *const args[] = { "--claim", claim, NULL };
	struct cluster_options options = { .coordinators = 3,
					   .dispatchers = dispatchers,
					   .agents = 3,
					   .dispatcher_args = args };
	struct cluster *c = cluster_create(&options);

	cluster_start(c);
	return c;
}

static void finish(struct cluster *c)
{
	struct cf_trace_summary summary;

	assert_int_equal(cluster_check(c, &summary), 0);
	assert_int_equal(summary.double_starts, 0);
	cluster_destroy(c);
}

static bool has_leader(struct cluster *c, void *arg)
{
	(void)arg;
	return cluster_leader(c) != NULL;
}

static const char *find_follower(struct cluster *c, const char *except)
{
	static const char *const names[] = { "c1", "c2", "c3" };
	const char *leader;
	size_t i;

	assert_true(cluster_wait(c, has_leader, NULL, WAIT_MS));
	leader = cluster_leader(c);
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		if (g_strcmp0(names[i], leader) != 0 &&
		    g_strcmp0(names[i], except) != 0 &&
		    cluster_proc(c, names[i])->pid)
			return names[i];
	fail_msg("no follower is running");
	return NULL;
}

static void restart(struct cluster *c, const char *name)
{
	proc_kill(cluster_proc(c, name));
	proc_start(c, cluster_proc(c, name));
	cluster_wait_ready(c, name, WAIT_MS);
}

/* During failures an answer may be "unknown". No answer is partial or belongs
 * to another job. */
static void check_load(struct cluster *c, struct proc *load)
{
	static const char *const fields[] = { "jobs", "complete", "not_run",
					      "may_have_run" };
	size_t i;

	(void)c;
	proc_wait(load, WAIT_MS);
	assert_false(proc_running(load));
	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		fprintf(stderr, "count: load %s=%d\n", fields[i],
			(int)cluster_load_field(load, fields[i]));
	assert_true(cluster_load_field(load, "jobs") > 100);
	assert_true(cluster_load_field(load, "complete") > 100);
	assert_int_equal(cluster_load_field(load, "partial"), 0);
	assert_int_equal(cluster_load_field(load, "crossed"), 0);
}

/* ---- One key at all dispatchers at once ---- */

struct race {
	struct call calls[3];
};

static void start_race(struct cluster *c, struct race *race, int first)
{
	static const char *const names[] = { "d1", "d2", "d3" };
	char key[CF_KEY_TEXT_SIZE];
	struct cf_key k;
	int i;

	cluster_key(&k, key);
	for (i = 0; i < 3; i++)
		call_init(&race->calls[i], c, names[i], "POST", key, NULL);
	for (i = 0; i < 3; i++)
		call_start(&race->calls[(first + i) % 3]);
}

/* Returns the number of complete answers, which must be identical. */
static int join_race(struct race *race)
{
	const struct call *complete = NULL;
	int i, n = 0;

	for (i = 0; i < 3; i++)
		call_join(&race->calls[i]);
	for (i = 0; i < 3; i++) {
		const struct call *call = &race->calls[i];

		assert_true(call->status != 0);
		if (call->status != 200) {
			assert_true(call_ran_unknown(call) ||
				    call_ran_none(call));
			continue;
		}
		assert_true(!complete || call_same_complete(complete, call));
		complete = call;
		n++;
	}
	/* No dispatcher may answer "not run" for a key that another one ran. */
	for (i = 0; i < 3; i++) {
		assert_false(complete && call_ran_none(&race->calls[i]));
		call_clear(&race->calls[i]);
	}
	return n;
}

static void test_votes_lost(void **state)
{
	struct cluster *c = start(3, *state);
	struct race races[RACES];
	int i, complete = 0;

	for (i = 0; i < RACES; i++) {
		/* Voters lose their votes while claims are being decided. */
		if (i % 6 == 3) {
			const char *name = find_follower(c, NULL);

			start_race(c, &races[i], i);
			restart(c, name);
			continue;
		}
		start_race(c, &races[i], i);
	}
	for (i = 0; i < RACES; i++)
		complete += join_race(&races[i]);
	fprintf(stderr, "count: races=%d complete answers=%d of %d\n", RACES,
		complete, 3 * RACES);
	finish(c);
}

/* ---- Member replaced, then another host lost ---- */

static struct proc *add_member(struct cluster *c)
{
	struct proc *p = cluster_add(c, "coordinator", "c4");
	char text[260], change[300], *join;

	proc_add(p, "--id", "4");
	snprintf(text, sizeof(text), "%s/c4", c->folder);
	proc_add(p, "--data", text);
	snprintf(text, sizeof(text), "%s:7090", c->ip);
	proc_add(p, "--listen", text);
	snprintf(text, sizeof(text), "%s:8090", c->ip);
	proc_add(p, "--admin", text);
	proc_add(p, "--data-centre", "dc1");
	join = g_strdup_printf("%s,%s", cluster_address(c, "c2", "listen"),
			       cluster_address(c, "c3", "listen"));
	proc_add(p, "--join", join);
	g_free(join);
	proc_start(c, p);
	snprintf(change, sizeof(change),
		 "{\"member_add\":{\"id\":4,\"address\":\"%s:7090\","
		 "\"admin_address\":\"%s:8090\"}}",
		 c->ip, c->ip);
	assert_true(cluster_command(c, change, NULL));
	return p;
}

struct member_wait {
	const char *at;
	int id;
	bool voter; /* false: waits until the member is removed */
};

static bool member_state_reached(struct cluster *c, void *arg)
{
	const struct member_wait *w = arg;
	char *answer = NULL, mark[40], *entry;
	bool voter;

	cluster_http(cluster_address(c, w->at, "admin"), "GET", "/v1/config",
		     NULL, NULL, &answer, WAIT_MS);
	snprintf(mark, sizeof(mark), "\"id\":%d,", w->id);
	entry = answer ? strstr(answer, mark) : NULL;
	voter = entry && strstr(entry, "\"voter\":true") &&
		strstr(entry, "\"voter\":true") < strchr(entry, '}');
	if (!answer)
		return false;
	g_free(answer);
	return w->voter ? voter : !entry;
}

static void test_member_replaced(void **state)
{
	struct cluster *c = start(2, *state);
	struct proc *load = cluster_load(c, load_args);
	struct member_wait added = { NULL, 4, true };
	struct member_wait removed = { NULL, 0, false };
	const char *lost = find_follower(c, NULL);
	const char *other = find_follower(c, lost);
	char change[60];

	/* One host fails and is replaced, then another one fails. */
	proc_kill(cluster_proc(c, lost));
	added.at = removed.at = cluster_leader(c) ? cluster_leader(c) : other;
	add_member(c);
	assert_true(cluster_wait(c, member_state_reached, &added, WAIT_MS));
	removed.id = lost[1] - '0';
	snprintf(change, sizeof(change), "{\"member_remove\":%d}", removed.id);
	assert_true(cluster_command(c, change, NULL));
	assert_true(cluster_wait(c, member_state_reached, &removed, WAIT_MS));
	proc_kill(cluster_proc(c, removed.at));
	fprintf(stderr, "count: %s replaced by c4, then %s lost\n", lost,
		removed.at);
	check_load(c, load);
	finish(c);
}

/* ---- Jobs cancelled on submission ---- */

static void test_cancelled_at_once(void **state)
{
	struct cluster *c = start(3, *state);
	char *body = cluster_job_body("default", 6, 10, 8000);
	struct call posts[CANCELS], deletes[CANCELS];
	int i, none = 0, unknown = 0;

	for (i = 0; i < CANCELS; i++) {
		char key[CF_KEY_TEXT_SIZE];
		struct cf_key k;

		cluster_key(&k, key);
		call_init(&posts[i], c, "d1", "POST", key, body);
		call_init(&deletes[i], c, i % 3 ? "d1" : "d2", "DELETE", key,
			  NULL);
		call_start(&posts[i]);
		call_start(&deletes[i]);
	}
	for (i = 0; i < CANCELS; i++) {
		call_join(&posts[i]);
		call_join(&deletes[i]);
		assert_true(posts[i].status != 0 && deletes[i].status != 0);
		none += call_ran_none(&posts[i]);
		unknown += call_ran_unknown(&posts[i]);
	}
	fprintf(stderr, "count: cancelled=%d not run=%d unknown=%d\n", CANCELS,
		none, unknown);
	/* All delayed dispatches have arrived by now. A job that was answered
	 * "not run" may run only for a resubmission, and only once. */
	for (i = 0; i < CANCELS; i++) {
		struct call again;

		call_init(&again, c, "d3", "POST", posts[i].key, body);
		call_run(&again);
		/* The owner holds the claim and no task ran, so this must run.
		 */
		if (call_ran_none(&posts[i]) && again.status != 200)
			fprintf(stderr, "again: %u %s\n", again.status,
				again.answer);
		assert_true(!call_ran_none(&posts[i]) || again.status == 200);
		call_clear(&again);
		call_clear(&posts[i]);
		call_clear(&deletes[i]);
	}
	g_free(body);
	finish(c);
}

int main(void)
{
	static char first[] = "first", along[] = "along";
	const struct CMUnitTest tests[] = {
		{ "votes_lost_first", test_votes_lost, NULL, cluster_teardown,
		  first },
		{ "votes_lost_along", test_votes_lost, NULL, cluster_teardown,
		  along },
		{ "member_replaced", test_member_replaced, NULL,
		  cluster_teardown, first },
		{ "cancelled_at_once_first", test_cancelled_at_once, NULL,
		  cluster_teardown, first },
		{ "cancelled_at_once_along", test_cancelled_at_once, NULL,
		  cluster_teardown, along },
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
