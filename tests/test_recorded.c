/*
 * Checks recorded traces of failure tests against their known outcomes. The
 * same traces with one event planted must fail the check.
 */
#include "chervilferry.h"
#include "verbs/trace_verbs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define FAULTS_MAX 8
#define FOLDER "tests/traces"
#define START                                                                  \
	"e=start key=018bcfe5-6800-7000-8000-000000000001 index=99 "           \
	"job=9 dispatcher=00000000000000d9 dc=dc1 rev=99 now=1"

/* ---- Cases ---- */

struct outcome {
	const char *folder;
	uint64_t starts, complete, not_run, unknown;
	uint64_t decisions; /* compared by the replay */
};

static const struct outcome outcomes[] = {
	/* An agent gets SIGTERM twice while a job of 30 tasks arrives. */
	{ "agent_stops", 30, 1, 0, 0, 93 },
};

/* A copy of an event from the trace, altered by one replacement. */
struct planted_event {
	const char *event; /* the first line with this text is copied */
	const char *from, *to; /* replaced in the copy; NULL: nothing */
	int64_t later_us; /* added to the time of the copy */
	const char *invariant; /* that the check must report as violated */
};

static const struct planted_event planted_event[] = {
	{ "e=start", NULL, NULL, 1, "start-once" },
	{ "e=run ", NULL, NULL, 1, "start-once" },
	{ "e=answer", "outcome=complete ran=all", "outcome=failed ran=none", 1,
	  "answer-whole" },
	{ "e=answer", "e=answer", "e=got whole=1 own=0", 1, "answer-own" },
	{ "e=answer", "e=answer", "e=got whole=0 own=1", 1, "answer-whole" },
	{ "e=stop_end", "in_progress=0", "in_progress=1", 1, "stop-clean" },
	{ "e=claim", "owner=", "owner=0000000000000001 was=", 1,
	  "claim-one-owner" },
	{ "e=vote", "owner=", "owner=0000000000000001 was=", 1, "vote-once" },
	{ "e=leaving", "e=leaving", START, 60000000, "leaving" },
};

/* ---- Helpers ---- */

struct lines {
	GPtrArray *text;
};

static struct lines read_lines(const char *folder)
{
	struct lines lines = { g_ptr_array_new_with_free_func(g_free) };
	char *path = g_build_filename(FOLDER, folder, NULL);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);
		char *all = NULL;
		char **split;

		assert_true(g_file_get_contents(file, &all, NULL, NULL));
		split = g_strsplit(all, "\n", -1);
		for (size_t i = 0; split[i]; i++)
			if (*split[i])
				g_ptr_array_add(lines.text, g_strdup(split[i]));
		g_strfreev(split);
		g_free(all);
		g_free(file);
	}
	g_dir_close(dir);
	g_free(path);
	return lines;
}

static size_t check(const struct lines *lines, const char *extra,
		    struct cf_trace_summary *summary,
		    struct cf_trace_fault *faults)
{
	struct cf_trace *trace = cf_trace_create();
	size_t n;
	guint i;

	for (i = 0; i < lines->text->len; i++)
		assert_true(cf_trace_add(trace, "recorded", i + 1,
					 lines->text->pdata[i], NULL));
	if (extra)
		assert_true(cf_trace_add(trace, "planted", 1, extra, NULL));
	n = cf_trace_check(trace, summary, faults, FAULTS_MAX);
	cf_trace_destroy(trace);
	return n;
}

/* ---- Tests ---- */

static void test_outcomes(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		const struct outcome *o = &outcomes[i];
		struct lines lines = read_lines(o->folder);
		struct cf_trace_summary s;
		struct cf_trace_fault faults[FAULTS_MAX];

		assert_int_equal(check(&lines, NULL, &s, faults), 0);
		assert_int_equal(s.starts, o->starts);
		assert_int_equal(s.double_starts, 0);
		assert_int_equal(s.complete, o->complete);
		assert_int_equal(s.not_run, o->not_run);
		assert_int_equal(s.unknown, o->unknown);
		g_ptr_array_unref(lines.text);
	}
}

static void test_replay(void **state)
{
	size_t i;
	guint k;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		struct lines lines = read_lines(outcomes[i].folder);
		struct cf_replay *replay = cf_replay_create();
		struct cf_replay_summary s;

		for (k = 0; k < lines.text->len; k++)
			assert_true(cf_replay_feed(replay, lines.text->pdata[k],
						   NULL));
		cf_replay_get_summary(replay, &s);
		if (s.mismatches)
			fail_msg("%s", s.first);
		assert_int_equal(s.decisions, outcomes[i].decisions);
		assert_int_equal(s.skipped, 0);
		cf_replay_destroy(replay);
		g_ptr_array_unref(lines.text);
	}
}

static char *replace(const char *text, const char *from, const char *to)
{
	const char *at = from ? strstr(text, from) : NULL;

	if (!from)
		return g_strdup(text);
	assert_non_null(at);
	/* If the replacement is one character longer, one character of the old
	 * value is dropped, so that a value keeps its 16 hex digits. */
	return g_strdup_printf(
		"%.*s%s%s", (int)(at - text), text, to,
		at + strlen(from) +
			(strlen(to) - strlen(from) == 1 && *to == 'o'));
}

static char *plant(const struct lines *lines, const struct planted_event *p)
{
	guint i;

	for (i = 0; i < lines->text->len; i++) {
		const char *line = lines->text->pdata[i];
		char *copy, *later;
		int64_t time_us;

		if (!strstr(line, p->event))
			continue;
		copy = replace(line, p->from, p->to);
		time_us = g_ascii_strtoll(copy + strlen("t="), NULL, 10);
		later = g_strdup_printf("t=%" G_GINT64_FORMAT "%s",
					time_us + p->later_us,
					strchr(copy, ' '));
		g_free(copy);
		return later;
	}
	fail_msg("no event %s", p->event);
	return NULL;
}

static void test_planted(void **state)
{
	struct lines lines = read_lines("agent_stops");
	size_t i, k, n;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(planted_event); i++) {
		struct cf_trace_fault faults[FAULTS_MAX];
		struct cf_trace_summary s;
		char *extra = plant(&lines, &planted_event[i]);
		bool found = false;

		n = check(&lines, extra, &s, faults);
		for (k = 0; k < n && k < FAULTS_MAX; k++)
			found = found || !strcmp(faults[k].invariant,
						 planted_event[i].invariant);
		if (!found)
			fail_msg("%s not found: %s", planted_event[i].invariant,
				 extra);
		g_free(extra);
	}
	g_ptr_array_unref(lines.text);
}

/* A replay must report a recorded decision that was altered. */
static void test_replay_differs(void **state)
{
	struct lines lines = read_lines("agent_stops");
	struct cf_replay *replay = cf_replay_create();
	struct cf_replay_summary s;
	bool altered = false;
	guint k;

	(void)state;
	for (k = 0; k < lines.text->len; k++) {
		const char *line = lines.text->pdata[k];
		char *fed = NULL;

		if (!altered && strstr(line, "e=vote"))
			fed = replace(line, "verdict=for", "verdict=abstain");
		altered = altered || fed;
		assert_true(cf_replay_feed(replay, fed ? fed : line, NULL));
		g_free(fed);
	}
	cf_replay_get_summary(replay, &s);
	assert_int_equal(s.mismatches, 1);
	cf_replay_destroy(replay);
	g_ptr_array_unref(lines.text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_outcomes),
		cmocka_unit_test(test_replay),
		cmocka_unit_test(test_planted),
		cmocka_unit_test(test_replay_differs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
