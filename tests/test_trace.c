/*
 * test_trace: tests of the trace parser with valid and invalid lines, and of
 * the trace check with traces that contain at most one violation each, which
 * the check must find and name.
 */
#include "chervilferry.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define K "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
#define D "p=d1 i=00000000000000d1 n=1 "
#define AGENT "p=a1 i=00000000000000a1 n=1 "
#define OTHER "p=a2 i=00000000000000a2 n=1 "
#define COORD "p=c1 i=00000000000000c1 n=1 "
#define LOAD "p=l1 i=00000000000000e1 n=1 "
#define START(index, rev)                                                      \
	"e=start key=" K " index=" index                                       \
	" job=7 dispatcher=00000000000000d1 dc=olten rev=" rev
#define SUBMIT "t=1 w=1 " D "e=submit key=" K " job=7 tasks=2 class=x"
#define ANSWER "e=answer key=" K " job=7 "
#define OUT "e=accept rev=9 change=dc name=olten in=0"
#define IN "e=accept rev=10 change=dc name=olten in=1"
#define FOLLOWER "p=c2 i=00000000000000c2 n=1 "
#define LINES_MAX 8
#define FAULTS_MAX 4
/* Each job has eight events, which makes a million. */
#define JOBS_LARGE 125000

/* ---- Lines ---- */

static void test_lines(void **state)
{
	static const struct {
		const char *text;
		const char *field; /* field that the error names; NULL: valid */
	} cases[] = {
		{ "t=5 w=6 " AGENT START("0", "4"), NULL },
		{ "t=5 w=6 " AGENT START("0", "4") "\n", NULL },
		{ "t=5 w=6 " AGENT "e=fence key=" K " index=1", NULL },
		{ "t=5 w=6 " AGENT "e=leaving", NULL },
		{ "t=5 w=6 " AGENT "e=brand_new x=y", NULL },
		{ "", "t" },
		{ "w=6 " AGENT "e=leaving", "t" },
		{ "t=-5 " AGENT "e=leaving", "t" },
		{ "t=5 p=a i=xyz n=1 e=leaving", "i" },
		{ "t=5 p=a i=a1 e=leaving", "n" },
		{ "t=5 p=a i=a1 n=1", "e" },
		{ "t=5 p=a i=a1 n=1 e=run key=1 index=0", "key" },
		{ "t=5 p=a i=a1 n=1 e=run key=" K " index=4294967296",
		  "index" },
		{ "t=5 p=a i=a1 n=1 e=end key=" K " index=0 ok=2", "ok" },
		{ "t=5 p=a i=a1 n=1 e=accept rev=1 change=dc in=0", "name" },
		{ "t=5 p=a i=a1 n=1 e=leaving torn", "torn" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_trace *trace = cf_trace_create();
		GError *error = NULL;
		bool added = cf_trace_add(trace, "f", 1, cases[i].text, &error);
		char *quoted = g_strdup_printf("\"%s\"", cases[i].field);

		if (added != !cases[i].field ||
		    (error && !strstr(error->message, quoted)))
			fail_msg("%s: %s", cases[i].text,
				 error ? error->message : "taken");
		g_free(quoted);
		g_clear_error(&error);
		cf_trace_destroy(trace);
	}
}

/* ---- Violations ---- */

struct trace_case {
	const char *name;
	const char *lines[LINES_MAX];
	const char *invariant; /* violated check; NULL: none */
	uint64_t line; /* number of the violating line, from 1 */
};

static const struct trace_case trace_cases[] = {
	{ "valid trace",
	  { SUBMIT, "t=10 " AGENT START("0", "4"),
	    "t=10 " OTHER START("1", "4"),
	    "t=20 " AGENT "e=end key=" K " index=0 ok=1",
	    "t=21 " OTHER "e=end key=" K " index=1 ok=1",
	    "t=30 " D ANSWER "outcome=complete ran=all reason=",
	    "t=31 " LOAD "e=got key=" K
	    " outcome=complete ran=all whole=1 own=1" },
	  NULL,
	  0 },
	{ "double start",
	  { "t=10 " AGENT START("0", "4"), "t=10 " OTHER START("1", "4"),
	    "t=20 " OTHER START("0", "4") },
	  "start-once",
	  3 },
	{ "double start, files out of order",
	  { "t=20 " AGENT START("0", "4"), "t=10 " OTHER START("0", "4") },
	  "start-once",
	  1 },
	{ "double run",
	  { "t=10 " AGENT "e=run key=" K " index=0",
	    "t=11 " OTHER "e=run key=" K " index=0" },
	  "start-once",
	  2 },
	{ "not run, but started before",
	  { SUBMIT, "t=10 " AGENT START("0", "4"),
	    "t=20 " D ANSWER "outcome=failed ran=none reason=late" },
	  "not-run-true",
	  3 },
	{ "not run, but started after",
	  { SUBMIT, "t=20 " D ANSWER "outcome=failed ran=none reason=late",
	    "t=30 " AGENT START("0", "4") },
	  "not-run-true",
	  3 },
	{ "not run of another job",
	  { "t=20 " D "e=answer key=" K " job=6 outcome=failed ran=none",
	    "t=30 " AGENT START("0", "4") },
	  NULL,
	  0 },
	{ "index without an end",
	  { SUBMIT, "t=10 " AGENT START("0", "4"),
	    "t=20 " AGENT "e=end key=" K " index=0 ok=1",
	    "t=30 " D ANSWER "outcome=complete ran=all" },
	  "answer-whole",
	  4 },
	{ "ended after the answer",
	  { SUBMIT, "t=20 " AGENT "e=end key=" K " index=0 ok=1",
	    "t=40 " AGENT "e=end key=" K " index=1 ok=1",
	    "t=30 " D ANSWER "outcome=complete ran=all" },
	  "answer-whole",
	  4 },
	{ "two answers",
	  { SUBMIT, "t=20 " D ANSWER "outcome=failed ran=unknown",
	    "t=30 " D ANSWER "outcome=failed ran=none" },
	  "answer-whole",
	  3 },
	{ "caller's answer is partial",
	  { "t=31 " LOAD "e=got key=" K
	    " outcome=complete ran=all whole=0 own=1" },
	  "answer-whole",
	  1 },
	{ "answer of another job",
	  { "t=31 " LOAD "e=got key=" K
	    " outcome=complete ran=all whole=1 own=0" },
	  "answer-own",
	  1 },
	{ "start within the grace period",
	  { "t=1000 " COORD OUT, "t=3001000 " AGENT START("0", "9") },
	  NULL,
	  0 },
	{ "start in a disabled data centre",
	  { "t=1000 " COORD OUT, "t=3001001 " AGENT START("0", "9") },
	  "data-centre-out",
	  2 },
	{ "data centre disabled twice",
	  { "t=1000 " COORD OUT, "t=2000000 " COORD OUT,
	    "t=3001001 " AGENT START("0", "9") },
	  "data-centre-out",
	  3 },
	{ "data centre enabled again",
	  { "t=1000 " COORD OUT, "t=4000000 " COORD IN,
	    "t=4000001 " AGENT START("0", "10") },
	  NULL,
	  0 },
	{ "enabled again, recorded by a follower only",
	  { "t=1000 " COORD OUT " led=1", "t=4000000 " FOLLOWER IN " led=0",
	    "t=4000001 " AGENT START("0", "10") },
	  NULL,
	  0 },
	{ "disabled, recorded by a follower only: within a lease and the grace",
	  { "t=1000 " FOLLOWER OUT " led=0",
	    "t=5001000 " AGENT START("0", "9") },
	  NULL,
	  0 },
	{ "disabled, recorded by a follower only: later",
	  { "t=1000 " FOLLOWER OUT " led=0",
	    "t=5001001 " AGENT START("0", "9") },
	  "data-centre-out",
	  2 },
	{ "disabled, recorded by a follower, then by the leader",
	  { "t=1000 " FOLLOWER OUT " led=0", "t=2000 " COORD OUT " led=1",
	    "t=3002001 " AGENT START("0", "9") },
	  "data-centre-out",
	  3 },
	{ "an old change read from the log after a restart",
	  { "t=1000 " COORD OUT " led=1", "t=2000 " COORD IN " led=1",
	    "t=3000 " FOLLOWER OUT " led=0",
	    "t=9000000 " AGENT START("0", "10") },
	  NULL,
	  0 },
	{ "leaving",
	  { "t=1000 " AGENT "e=leaving", "t=3001000 " AGENT START("0", "9"),
	    "t=3001001 " OTHER START("1", "9") },
	  NULL,
	  0 },
	{ "start while leaving",
	  { "t=1000 " AGENT "e=leaving", "t=3001001 " AGENT START("0", "9") },
	  "leaving",
	  2 },
	{ "older revision of the same agent",
	  { "t=1 " AGENT "e=config rev=5", "t=2 " OTHER "e=config rev=4",
	    "t=3 " AGENT "e=config rev=4" },
	  "config-reverts",
	  3 },
	{ "start with an older revision",
	  { "t=1 " AGENT START("0", "5"), "t=3 " AGENT START("1", "4") },
	  "config-reverts",
	  2 },
	{ "requests cut off by a stop",
	  { "t=1 " AGENT "e=stop_begin in_progress=2",
	    "t=2 " AGENT "e=stop_end in_progress=1" },
	  "stop-clean",
	  2 },
	{ "two owners",
	  { "t=1 " D "e=claim key=" K " epoch=0 owner=d1 state=won",
	    "t=2 " D "e=claim key=" K " epoch=0 owner=d2 state=owned",
	    "t=3 " D "e=claim key=" K " epoch=1 owner=d2 state=won",
	    "t=4 " D "e=claim key=" K " epoch=0 owner=d2 state=won" },
	  "claim-one-owner",
	  4 },
	{ "two votes",
	  { "t=1 " COORD "e=vote key=" K " epoch=0 owner=d1 verdict=for view=1",
	    "t=2 " COORD "e=vote key=" K " epoch=1 owner=d2 verdict=for view=1",
	    "t=3 " COORD "e=vote key=" K
	    " epoch=0 owner=d2 verdict=abstain view=1",
	    "t=4 " COORD "e=vote key=" K
	    " epoch=0 owner=d2 verdict=for view=1" },
	  "vote-once",
	  4 },
};

static void test_detects_each_violation(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(trace_cases); i++) {
		const struct trace_case *each = &trace_cases[i];
		struct cf_trace *trace = cf_trace_create();
		struct cf_trace_fault faults[FAULTS_MAX];
		struct cf_trace_summary summary;
		GError *error = NULL;
		size_t count;

		for (size_t n = 0; n < LINES_MAX && each->lines[n]; n++) {
			if (!cf_trace_add(trace, "f", n + 1, each->lines[n],
					  &error))
				fail_msg("%s: %s", each->name, error->message);
		}
		count = cf_trace_check(trace, &summary, faults, FAULTS_MAX);
		if (count != (each->invariant ? 1 : 0) ||
		    (count &&
		     (strcmp(faults[0].invariant, each->invariant) != 0 ||
		      faults[0].line != each->line)))
			fail_msg("%s: %zu found, %s line %" PRIu64, each->name,
				 count, count ? faults[0].invariant : "",
				 count ? faults[0].line : 0);
		cf_trace_destroy(trace);
	}
}

static void test_summary(void **state)
{
	static const char *const lines[] = {
		SUBMIT,
		"t=10 " AGENT START("0", "4"),
		"t=11 " OTHER START("0", "4"),
		"t=20 " D ANSWER "outcome=failed ran=unknown",
		"t=21 " D "e=answer key=" K " job=8 outcome=failed ran=none",
		"t=22 " OTHER START("0", "4"),
	};
	struct cf_trace *trace = cf_trace_create();
	struct cf_trace_fault fault;
	struct cf_trace_summary summary;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		assert_true(cf_trace_add(trace, "f", i, lines[i], NULL));
	/* Violations that don't fit into the array are still counted. */
	assert_int_equal(cf_trace_check(trace, &summary, &fault, 1), 2);
	assert_int_equal(summary.events, 6);
	assert_int_equal(summary.starts, 3);
	assert_int_equal(summary.double_starts, 1);
	assert_int_equal(summary.answers, 2);
	assert_int_equal(summary.not_run, 1);
	assert_int_equal(summary.unknown, 1);
	/* The check doesn't change the trace, so it can be repeated. */
	assert_int_equal(cf_trace_check(trace, &summary, &fault, 1), 2);
	cf_trace_destroy(trace);
}

/* ---- Size ---- */

static void test_million_events(void **state)
{
	static const struct {
		const char *before, *after;
	} forms[] = {
		{ D "e=submit", "tasks=2" },
		{ AGENT "e=start", "index=0 dispatcher=d1 dc=olten rev=4" },
		{ OTHER "e=start", "index=1 dispatcher=d1 dc=olten rev=4" },
		{ AGENT "e=run", "index=0" },
		{ AGENT "e=end", "index=0 ok=1" },
		{ OTHER "e=end", "index=1 ok=1" },
		{ D "e=answer", "outcome=complete ran=all" },
		{ LOAD "e=got", "outcome=complete ran=all whole=1 own=1" },
	};
	struct cf_trace *trace = cf_trace_create();
	struct cf_trace_summary summary;
	char text[CF_KEY_TEXT_SIZE], line[256];
	int64_t begin_us = g_get_monotonic_time();

	(void)state;
	for (size_t job = 0; job < JOBS_LARGE; job++) {
		struct cf_key key;

		cf_key_make(&key, 1000, 0, job);
		cf_key_format(&key, text);
		for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
			g_snprintf(line, sizeof(line),
				   "t=%zu %s key=%s job=%zu %s", job * 10 + i,
				   forms[i].before, text, job, forms[i].after);
			assert_true(cf_trace_add(trace, "f", i, line, NULL));
		}
	}
	assert_int_equal(cf_trace_check(trace, &summary, NULL, 0), 0);
	assert_int_equal(summary.events, 8 * JOBS_LARGE);
	assert_int_equal(summary.complete, JOBS_LARGE);
	fprintf(stderr, "count: %" PRIu64 " trace events in %" PRId64 " ms\n",
		summary.events, (g_get_monotonic_time() - begin_us) / 1000);
	cf_trace_destroy(trace);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lines),
		cmocka_unit_test(test_detects_each_violation),
		cmocka_unit_test(test_summary),
		cmocka_unit_test(test_million_events),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
