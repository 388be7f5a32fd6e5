/*
 * Tests of service-level burn: counts, windows and reports.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <jansson.h>
#include <math.h>
#include <string.h>

#include "chervilferry.h"

#define HOUR_MS INT64_C(3600000)

static const struct cf_admit_class price = { "price", 200, 99000 };

static struct cf_burn *make_burn(void)
{
	struct cf_burn *burn = cf_burn_create();

	cf_burn_set_classes(burn, &price, 1);
	return burn;
}

struct burn_case {
	const char *name;
	uint32_t within, late, failed, refused; /* all at one time */
	int64_t age_ms; /* how long ago */
	double burn_5min, burn_1h, budget_left;
};

static const struct burn_case burn_cases[] = {
	{ "nothing", 0, 0, 0, 0, 0, 0, 0, 1 },
	{ "all within", 1000, 0, 0, 0, 0, 0, 0, 1 },
	{ "budget exactly used up", 990, 10, 0, 0, 0, 1, 1, 0 },
	{ "late, failed and refused alike", 970, 10, 10, 10, 0, 3, 3, -2 },
	{ "before the short window", 990, 10, 0, 0, 600000, 0, 1, 0 },
	{ "before both windows", 900, 100, 0, 0, HOUR_MS + 60000, 0, 0, 1 },
	{ "only refusals", 0, 0, 0, 5, 0, 100, 100, -99 },
};

static void test_burn(void **state)
{
	const int64_t now_ms = 3 * HOUR_MS;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(burn_cases); i++) {
		const struct burn_case *c = &burn_cases[i];
		struct cf_burn *burn = make_burn();
		struct cf_burn_class class;
		int64_t then_ms = now_ms - c->age_ms;

		for (uint32_t n = 0; n < c->within; n++)
			cf_burn_record(burn, "price", 200, true, then_ms);
		for (uint32_t n = 0; n < c->late; n++)
			cf_burn_record(burn, "price", 201, true, then_ms);
		for (uint32_t n = 0; n < c->failed; n++)
			cf_burn_record(burn, "price", 1, false, then_ms);
		for (uint32_t n = 0; n < c->refused; n++)
			cf_burn_refuse(burn, "price", "overloaded", then_ms);
		assert_int_equal(cf_burn_report(burn, now_ms, &class, 1), 1);
		if (fabs(class.burn_5min - c->burn_5min) > 1e-6 ||
		    fabs(class.burn_1h - c->burn_1h) > 1e-6 ||
		    fabs(class.budget_left - c->budget_left) > 1e-6)
			fail_msg("%s: %g %g %g", c->name, class.burn_5min,
				 class.burn_1h, class.budget_left);
		cf_burn_destroy(burn);
	}
}

static void test_percentiles(void **state)
{
	struct cf_burn *burn = make_burn();
	struct cf_burn_class class;

	(void)state;
	for (uint32_t ms = 1; ms <= 1000; ms++)
		cf_burn_record(burn, "price", ms, true, 1000);
	cf_burn_record(burn, "unknown", 1, true, 1000);
	cf_burn_report(burn, 2000, &class, 1);
	assert_int_equal(class.total, 1000);
	assert_int_equal(class.within, 200);
	assert_in_range(class.p50_ms, 475, 525);
	assert_in_range(class.attained_ms, 940, 1040);
	cf_burn_destroy(burn);
}

/* A changed target must keep the history; a removed class must lose it. */
static void test_classes_change(void **state)
{
	struct cf_admit_class classes[2] = { price, { "scan", 900, 95000 } };
	struct cf_burn *burn = make_burn();
	struct cf_burn_class report[2];

	(void)state;
	cf_burn_record(burn, "price", 150, true, 1000);
	classes[0].target_ms = 100;
	cf_burn_set_classes(burn, classes, 2);
	cf_burn_record(burn, "price", 150, true, 1000);
	assert_int_equal(cf_burn_report(burn, 1000, report, 2), 2);
	assert_int_equal(report[0].total, 2);
	assert_int_equal(report[0].within, 1);
	assert_int_equal(report[0].target_ms, 100);
	cf_burn_set_classes(burn, &classes[1], 1);
	assert_int_equal(cf_burn_report(burn, 1000, report, 2), 1);
	assert_string_equal(report[0].name, "scan");
	cf_burn_destroy(burn);
}

static void test_reasons_are_bounded(void **state)
{
	struct cf_burn *burn = make_burn();
	char *text;

	(void)state;
	for (int i = 0; i < 40; i++) {
		char reason[16];

		g_snprintf(reason, sizeof(reason), "reason-%d", i);
		cf_burn_refuse(burn, "price", reason, 1000);
	}
	text = cf_burn_text(burn, 1000);
	assert_non_null(strstr(text, "refused reason-10: 1\n"));
	assert_null(strstr(text, "reason-11"));
	assert_non_null(strstr(text, "refused other: 29\n"));
	g_free(text);
	cf_burn_destroy(burn);
}

static void test_json(void **state)
{
	struct cf_burn *burn = make_burn();
	json_t *root;
	json_t *class;
	char *text;

	(void)state;
	cf_burn_record(burn, "price", 100, true, 1000);
	cf_burn_refuse(burn, "price", "od\"d\n", 1000);
	text = cf_burn_json(burn, 1000);
	root = json_loads(text, 0, NULL);
	assert_non_null(root);
	class = json_array_get(json_object_get(root, "classes"), 0);
	assert_string_equal(json_string_value(json_object_get(class, "class")),
			    "price");
	assert_int_equal(json_number_value(json_object_get(class, "target_ms")),
			 200);
	assert_int_equal(json_number_value(json_object_get(class, "burn_1h")),
			 50);
	assert_int_equal(json_integer_value(json_object_get(
				 json_object_get(class, "refused"), "od\"d\n")),
			 1);
	json_decref(root);
	g_free(text);
	cf_burn_destroy(burn);
}

/* Every page must be complete and need no network. */
static void test_html(void **state)
{
	static const struct {
		bool with_class, with_jobs;
		const char *expected;
		int plots;
	} cases[] = {
		{ false, false, "No classes are set", 0 },
		{ true, false, "No jobs in the last hour", 0 },
		{ true, true, "a&lt;b", 3 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_burn *burn = cases[i].with_class ? make_burn()
							   : cf_burn_create();
		int plots = 0;
		char *page;

		for (int64_t n = 0; cases[i].with_jobs && n < 100; n++) {
			cf_burn_record(burn, "price", 2u * (uint32_t)n, true,
				       n * 20000);
			cf_burn_refuse(burn, "price", "a<b", n * 20000);
		}
		page = cf_burn_html(burn, 2000000);
		assert_non_null(strstr(page, cases[i].expected));
		assert_null(strstr(page, "http"));
		assert_null(strstr(page, "nan"));
		assert_null(strstr(page, "inf"));
		assert_non_null(strstr(page, "</html>"));
		for (char *at = page; (at = strstr(at, "<svg")); at++)
			plots++;
		assert_int_equal(plots, cases[i].plots);
		g_free(page);
		cf_burn_destroy(burn);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_burn),
		cmocka_unit_test(test_percentiles),
		cmocka_unit_test(test_classes_change),
		cmocka_unit_test(test_reasons_are_bounded),
		cmocka_unit_test(test_json),
		cmocka_unit_test(test_html),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
