/*
 * test_counters: concurrent additions, and the text format.
 */
#include "base/counters.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#define THREADS 4
#define ADDS_PER_THREAD 100000

static gpointer add_many(gpointer arg)
{
	for (int i = 0; i < ADDS_PER_THREAD; i++)
		counter_add(arg, 2);
	return NULL;
}

static void test_concurrent_adds(void **state)
{
	struct counter *counter = counter_get("adds_total", NULL, NULL);
	GThread *threads[THREADS];

	(void)state;
	for (int i = 0; i < THREADS; i++)
		threads[i] = g_thread_new("add", add_many, counter);
	for (int i = 0; i < THREADS; i++)
		g_thread_join(threads[i]);
	assert_int_equal(counter_value(counter), 2 * THREADS * ADDS_PER_THREAD);
}

static void test_same_arguments_return_same_counter(void **state)
{
	(void)state;
	assert_ptr_equal(counter_get("x_total", NULL, NULL),
			 counter_get("x_total", "", "late help"));
	assert_ptr_not_equal(counter_get("x_total", "kind=\"a\"", NULL),
			     counter_get("x_total", "kind=\"b\"", NULL));
}

static void test_families_are_printed_together(void **state)
{
	GString *out = g_string_new(NULL);

	(void)state;
	counter_add(counter_get("seen_total", "kind=\"b\"", "Things seen"), 5);
	counter_add(counter_get("seen_total", "kind=\"a\"", NULL), 3);
	gauge_set(gauge_get("seen", NULL, NULL), -7);
	counters_print(out);
	assert_non_null(strstr(out->str,
			       "# TYPE chervilferry_seen gauge\n"
			       "chervilferry_seen -7\n"
			       "# HELP chervilferry_seen_total Things seen\n"
			       "# TYPE chervilferry_seen_total counter\n"
			       "chervilferry_seen_total{kind=\"a\"} 3\n"
			       "chervilferry_seen_total{kind=\"b\"} 5\n"));
	g_string_free(out, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_concurrent_adds),
		cmocka_unit_test(test_same_arguments_return_same_counter),
		cmocka_unit_test(test_families_are_printed_together),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
