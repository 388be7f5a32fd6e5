/*
 * test_json_budget: what JSON values of a request may take: a body of many
 * small values is refused, wherever the budget ends in it, and the pages'
 * largest requests are read.
 */
#include "base/json_budget.h"
#include "platform/platform.h"
#include "platform/standin.h"

#include <glib.h>
#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define MB 1000000ULL
/* Of the pages' smallest machines. */
#define SIDE_PARSED_BYTES (8 * MB)
#define CORE_PARSED_BYTES (16 * MB)
#define ROUTES 2904 /* of the largest configuration that was played */
#define SMALL_PARSED_BYTES 9700 /* some documents as SMALL */
#define SMALL "[{\"a\":[1,2.5,\"three\",null,{\"b\":true}]},{\"c\":{}}]"

/* ---- Tests ---- */

static int set_up(void **state)
{
	(void)state;
	json_budget_install();
	return 0;
}

/* Guards against a parser that uses what it couldn't allocate. */
static void test_it_may_end_anywhere(void **state)
{
	uint64_t max_bytes = 0;
	json_t *root = NULL;

	(void)state;
	while (!root) {
		json_budget_begin(max_bytes++);
		root = json_loads(SMALL, 0, NULL);
		assert_int_equal(json_budget_end(), root == NULL);
	}
	assert_true(max_bytes > strlen(SMALL));
	json_decref(root);
}

static void test_many_values_are_refused(void **state)
{
	GString *body = g_string_new("[{}");

	(void)state;
	while (body->len < MB)
		g_string_append(body, ",{}");
	g_string_append(body, "]");
	json_budget_begin(SIDE_PARSED_BYTES);
	assert_null(json_loadb(body->str, body->len, 0, NULL));
	assert_true(json_budget_end());
	g_string_free(body, TRUE);
}

/* Freed values make room for others. */
static void test_only_what_is_kept_counts(void **state)
{
	(void)state;
	json_budget_begin(SMALL_PARSED_BYTES);
	for (int i = 0; i < 1000; i++) {
		json_t *root = json_loads(SMALL, 0, NULL);

		assert_non_null(root);
		json_decref(root);
	}
	assert_false(json_budget_end());
}

static void test_a_large_configuration_is_read(void **state)
{
	char **names = g_new0(char *, ROUTES + 1);
	g_autofree char *body = NULL;
	g_autoptr(GError) error = NULL;
	uint64_t version;
	GArray *routes;

	(void)state;
	for (int i = 0; i < ROUTES; i++)
		names[i] = g_strdup_printf("r-%07d", i);
	body = standin_write_named_routes(7, "desk", "nony24.example",
					  (const char *const *)names, 1500);
	json_budget_begin(CORE_PARSED_BYTES);
	routes = platform_formats.read_routes(body, strlen(body), &version,
					      &error);
	assert_false(json_budget_end());
	assert_non_null(routes);
	assert_int_equal(routes->len, ROUTES);
	g_array_unref(routes);
	json_budget_begin(MB / 2);
	assert_null(platform_formats.read_routes(body, strlen(body), &version,
						 &error));
	assert_true(json_budget_end());
	assert_non_null(error);
	g_strfreev(names);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_it_may_end_anywhere),
		cmocka_unit_test(test_many_values_are_refused),
		cmocka_unit_test(test_only_what_is_kept_counts),
		cmocka_unit_test(test_a_large_configuration_is_read),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}
