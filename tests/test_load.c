/*
 * test_load: the load tool's plans, its check of answers and its report.
 */
#include "load/load_internal.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

static struct settings *parse(const char *line)
{
	GString *errors = g_string_new(NULL);
	char **words = g_strsplit(line, " ", -1);
	struct settings *s = settings_parse(FOR_LOAD, (int)g_strv_length(words),
					    words, errors);

	assert_string_equal(errors->str, "");
	g_strfreev(words);
	g_string_free(errors, TRUE);
	return s;
}

/* ---- Plans ---- */

/* Formats the jobs of a plan as text, to compare plans. */
static char *describe(const char *line, uint64_t seed, int *n)
{
	struct settings *s = parse(line);
	struct load_plan *plan = load_plan_create(s, seed, NULL);
	GString *out = g_string_new(NULL);
	struct load_job *job;

	*n = 0;
	while ((job = load_plan_next(plan))) {
		g_string_append_printf(out, "%" G_GINT64_FORMAT " %s %u %u %u;",
				       job->planned_us, job->class_name,
				       job->n_tasks, job->ideal_ms,
				       job->resubmit);
		(*n)++;
		load_job_free(job);
	}
	load_plan_destroy(plan);
	settings_destroy(s);
	return g_string_free(out, FALSE);
}

static void test_same_seed_gives_same_plan(void **state)
{
	static const char line[] = "load --rate 100 --duration-s 20 --tasks 3 "
				   "--run-spread --resubmit-milli 500";
	int n, again;
	char *first = describe(line, 7, &n);
	char *second = describe(line, 7, &again);
	char *other = describe(line, 8, &again);

	(void)state;
	assert_string_equal(first, second);
	assert_string_not_equal(first, other);
	assert_in_range(n, 1800, 2200);
	g_free(first);
	g_free(second);
	g_free(other);
}

static void test_recorded_plans(void **state)
{
	static const struct {
		const char *text, *plan; /* NULL: rejected */
	} cases[] = {
		{ "# note\n5 a 3 10,20,5 900\n\n1 b 2 7 0 70,80\n",
		  "1000 b 2 7 0;5000 a 3 20 0;" },
		{ "", "" },
		{ "1 a 0 7 0\n", NULL },
		{ "1 a 2 7\n", NULL },
		{ "1 a 2 x 0\n", NULL },
		{ "-1 a 2 7 0\n", NULL },
		{ "1 a 2 7 0 1 1\n", NULL },
		{ "1 a 99999 7 0\n", NULL },
	};
	char path[] = "/tmp/test_load_XXXXXX";
	int fd = g_mkstemp(path);
	char *line = g_strconcat("load --play ", path, NULL);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct settings *s = parse(line);
		GError *error = NULL;
		struct load_plan *plan;
		int n;

		g_file_set_contents(path, cases[i].text, -1, NULL);
		plan = load_plan_create(s, 1, &error);
		assert_int_equal(plan != NULL, cases[i].plan != NULL);
		if (plan) {
			char *text = describe(line, 1, &n);

			assert_string_equal(text, cases[i].plan);
			g_free(text);
		} else {
			assert_non_null(strstr(error->message, "line 1"));
			g_error_free(error);
		}
		load_plan_destroy(plan);
		settings_destroy(s);
	}
	close(fd);
	g_unlink(path);
	g_free(line);
}

/* ---- Answers ---- */

#define RESULT(index, echo)                                                    \
	"{\"index\":" index ",\"result\":{\"echo\":\"" echo                    \
	"\",\"index\":" index "}}"
#define COMPLETE(results) "{\"outcome\":\"complete\",\"results\":[" results "]}"

static void test_answers_are_classified(void **state)
{
	static const struct {
		uint32_t status;
		const char *body;
		enum load_outcome outcome;
		bool all_results, own_results;
		const char *reason;
	} cases[] = {
		{ 200, COMPLETE(RESULT("0", "k/0") "," RESULT("1", "k/1")),
		  LOAD_COMPLETE, true, true, NULL },
		{ 200, COMPLETE(RESULT("1", "k/1") "," RESULT("0", "k/0")),
		  LOAD_COMPLETE, true, true, NULL },
		{ 200, COMPLETE(RESULT("0", "k/0")), LOAD_COMPLETE, false, true,
		  NULL },
		{ 200, COMPLETE(RESULT("0", "k/0") "," RESULT("0", "k/0")),
		  LOAD_COMPLETE, false, true, NULL },
		{ 200, COMPLETE(RESULT("0", "k/0") "," RESULT("1", "j/1")),
		  LOAD_COMPLETE, true, false, NULL },
		{ 200, COMPLETE(RESULT("0", "k/1") "," RESULT("1", "k/0")),
		  LOAD_COMPLETE, true, false, NULL },
		{ 200,
		  COMPLETE(RESULT("0", "k/0") "," RESULT("1", "k/1") "," RESULT(
			  "2", "k/2")),
		  LOAD_COMPLETE, false, true, NULL },
		{ 429,
		  "{\"outcome\":\"failed\",\"ran\":\"none\","
		  "\"reason\":\"busy\"}",
		  LOAD_NOT_RUN, false, false, "busy" },
		{ 504,
		  "{\"outcome\":\"failed\",\"ran\":\"unknown\","
		  "\"reason\":\"gone\"}",
		  LOAD_MAY_HAVE_RUN, false, false, "gone" },
		{ 503, "{\"reason\":\"stopped\"}", LOAD_LOST, false, false,
		  "status_503_without_outcome" },
		{ 500, COMPLETE(RESULT("0", "k/0") "," RESULT("1", "k/1")),
		  LOAD_LOST, false, false, "status_500_without_outcome" },
		{ 200, "", LOAD_LOST, false, false, NULL },
		{ 200, "{\"outcome\":\"complete\"}", LOAD_COMPLETE, false, true,
		  NULL },
	};
	struct load_job job = { .n_tasks = 2, .key_text = "k" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct load_verdict v;

		load_check_job(&job, cases[i].status, cases[i].body,
			       strlen(cases[i].body), &v);
		if (v.outcome != cases[i].outcome ||
		    v.all_results != cases[i].all_results ||
		    v.own_results != cases[i].own_results)
			fail_msg("case %zu: %d %d %d", i, v.outcome,
				 v.all_results, v.own_results);
		if (cases[i].reason)
			assert_string_equal(v.reason, cases[i].reason);
	}
}

/* ---- Report ---- */

static void test_report_counts_and_percentiles(void **state)
{
	struct settings *s = parse("load");
	struct load_plan *plan = load_plan_create(s, 1, NULL);
	struct load_report *report = load_report_create(9);
	GString *text = g_string_new(NULL);
	json_t *json;

	(void)state;
	for (uint32_t i = 1; i <= 100; i++) {
		struct load_sample sample = {
			.response_us = i * 1000,
			.ideal_ms = i == 100 ? 0 : 1,
			.class_index = load_report_class(report, "a"),
		};

		g_array_append_val(report->samples, sample);
	}
	report->jobs = 100;
	load_report_reason(report, "none", "busy");
	load_report_reason(report, "none", "busy");
	load_report_print(report, plan, true, text);
	json = json_loads(text->str, 0, NULL);
#define FIELD(name) json_integer_value(json_object_get(json, name))
	assert_int_equal(FIELD("jobs"), 100);
	assert_int_equal(FIELD("seed"), 9);
	assert_int_equal(FIELD("response_p50_us"), 50000);
	assert_int_equal(FIELD("response_p99_us"), 99000);
	assert_int_equal(FIELD("response_max_us"), 100000);
	assert_int_equal(FIELD("overhead_p50_us"), 49000);
	assert_int_equal(FIELD("slowdown_max_milli"), 99000);
#undef FIELD
	assert_non_null(strstr(text->str, "\"none busy\": 2"));
	json_decref(json);
	g_string_free(text, TRUE);
	load_report_destroy(report);
	load_plan_destroy(plan);
	settings_destroy(s);
}

static void test_metrics_are_summed_by_kind(void **state)
{
	static const char prefix[] =
		"chervilferry_link_messages_total{dir=\"out\",kind=\"";
	GHashTable *sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	char *text = g_strdup_printf(
		"# TYPE x counter\n%sopen\"} 5\n%sopen\"} 2\n%s\n"
		"chervilferry_link_messages_total{dir=\"in\",kind=\"open\"} 9"
		"\n",
		prefix, prefix, prefix);

	(void)state;
	load_metrics_parse(text, sums);
	assert_int_equal(g_hash_table_size(sums), 1);
	assert_int_equal(*(int64_t *)g_hash_table_lookup(sums, "open"), 7);
	g_hash_table_destroy(sums);
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_same_seed_gives_same_plan),
		cmocka_unit_test(test_recorded_plans),
		cmocka_unit_test(test_answers_are_classified),
		cmocka_unit_test(test_report_counts_and_percentiles),
		cmocka_unit_test(test_metrics_are_summed_by_kind),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
