/*
 * test_explain: explain_request finds the cause of each outcome that a
 * request can have.
 */
#include "verbs/explain.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#define LOG_PREFIX(second) "2026-12-04T06:49:" second ".000Z info "
#define FROM_D1 "role=leased-dispatcher name=d1 "
#define SENT(second, index, agent)                                             \
	LOG_PREFIX(second)                                                     \
	FROM_D1 "event=run_sent job=ab index=" index " number=1 agent=" agent  \
		" server=s-" agent "\n"
#define SETTLED(second, index, outcome)                                        \
	LOG_PREFIX(second)                                                     \
	FROM_D1 "event=run_settled job=ab index=" index                        \
		" number=1 agent=a1 server=s-a1 outcome=" outcome "\n"
#define ANSWERED(second, verdict, reason)                                      \
	LOG_PREFIX(second)                                                     \
	FROM_D1 "event=answered job=ab verdict=" verdict " reason=\"" reason   \
		"\" took_ms=9\n"

static void test_causes(void **state)
{
	static const struct {
		const char *logs, *cause;
	} cases[] = {
		{ LOG_PREFIX("01") FROM_D1
		  "event=job_arrived job=ab route=r\n" SENT("02", "0", "a1")
			  SETTLED("03", "0", "0")
				  ANSWERED("04", "0", "all ended well"),
		  "completed" },
		{ LOG_PREFIX("01") FROM_D1
		  "event=job_refused job=ab wait_ms=90 slack_ms=70 "
		  "free_cpu_milli=0\n" ANSWERED("01", "2", "too long"),
		  "not run: too long (predicted wait 90 ms, it could wait 70 "
		  "ms; 0 " },
		{ SENT("02", "0", "a1") SETTLED("03", "0", "1")
			  ANSWERED("04", "1", "often"),
		  "on s-a1 (task 0)" },
		{ SENT("02", "0", "a1") LOG_PREFIX("03") FROM_D1
		  "event=task_lost job=ab index=0 server=s-a1 losses=1 "
		  "age_ms=11\n" LOG_PREFIX("03") FROM_D1
		  "event=task_given_up job=ab index=0 losses=2\n" ANSWERED(
			  "04", "1", "servers crashed"),
		  "servers crashed under a task: s-a1 (task 0, 11 ms after "
		  "its start)\n" },
		{ SENT("02", "0", "a1") SETTLED("03", "0", "6") LOG_PREFIX("03")
			  FROM_D1
		  "event=task_lost job=ab index=0 server=s-a1 losses=1 "
		  "age_ms=11\n" LOG_PREFIX("03") FROM_D1
		  "event=task_given_up job=ab index=0 losses=2\n" ANSWERED(
			  "04", "3", "crashes"),
		  "given up, may have run: crashes; servers crashed under a "
		  "task: s-a1 (task 0, 11 ms after its start)\n" },
		{ SENT("02", "0", "a1") SETTLED("03", "0", "0")
			  SENT("02", "1", "a2") LOG_PREFIX("03") FROM_D1
		  "event=agent_lost agent=a2 incarnation=7\n" ANSWERED(
			  "04", "3", "its deadline has passed"),
		  "its deadline has passed; task 1 was at a2, which was lost" },
		{ SENT("02", "1", "a2") LOG_PREFIX("09") FROM_D1
		  "event=agent_lost agent=a2 incarnation=7\n" ANSWERED(
			  "04", "3", "late"),
		  "task 1 was at a2\n" },
		{ LOG_PREFIX("01") FROM_D1 "event=job_arrived job=ab route=r\n",
		  "d1 ended or was frozen" },
		{ LOG_PREFIX("01") FROM_D1
		  "event=request_refused job=ab status=503 "
		  "reason=unready why=\"no routes\"\n",
		  "not run: no routes" },
		{ "prefix 1.5 d1 " ANSWERED("04", "2", "full"), "full" },
		{ LOG_PREFIX("01") FROM_D1
		  "event=answered job=abc verdict=0 reason=x\n",
		  "no line of these logs" },
		{ "", "no line of these logs" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_auto(GStrv) lines = g_strsplit(cases[i].logs, "\n", -1);
		g_autofree char *text = explain_request("ab", lines);

		assert_non_null(strstr(text, cases[i].cause));
	}
}

static void test_lines_are_sorted_by_time(void **state)
{
	const char *logs = ANSWERED("04", "0", "x") SENT("02", "0", "a1")
		LOG_PREFIX("03") "role=leased-agent name=a1 event=run_ended "
				 "job=ab\n";
	g_auto(GStrv) lines = g_strsplit(logs, "\n", -1);
	g_autofree char *text = explain_request("ab", lines);
	const char *sent = strstr(text, "run_sent");
	const char *ended = strstr(text, "run_ended");
	const char *answered = strstr(text, "answered");

	(void)state;
	assert_true(sent && ended && answered);
	assert_true(sent < ended && ended < answered);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_causes),
		cmocka_unit_test(test_lines_are_sorted_by_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
