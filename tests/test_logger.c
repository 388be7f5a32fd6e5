/*
 * test_logger: log lines in both formats, and the trace file.
 */
#include "base/counters.h"
#include "base/logger.h"
#include "base/trace_file.h"

#include <fcntl.h>
#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#define THREADS 4
#define EVENTS_PER_THREAD 5000

/* ---- Capturing standard error ---- */

static int saved_stderr;
static FILE *captured;

static void capture_stderr(void)
{
	captured = tmpfile();
	saved_stderr = dup(STDERR_FILENO);
	dup2(fileno(captured), STDERR_FILENO);
}

static char *restore_stderr(void)
{
	static char text[4096];
	size_t n;

	dup2(saved_stderr, STDERR_FILENO);
	close(saved_stderr);
	rewind(captured);
	n = fread(text, 1, sizeof(text) - 1, captured);
	text[n] = '\0';
	fclose(captured);
	return text;
}

/* ---- Tests ---- */

static void test_text_lines(void **state)
{
	char *text;

	(void)state;
	log_configure("agent", "a1", LOG_INFO, LOG_FORMAT_TEXT);
	capture_stderr();
	log_event(LOG_DEBUG, "hidden", NULL);
	log_event(LOG_WARN, "lease_lost", "leader=%s age_ms=%d", "x\ny", 12);
	text = restore_stderr();
	assert_null(strstr(text, "hidden"));
	assert_non_null(strstr(text, "Z warn role=agent name=a1 "
				     "event=lease_lost leader=x?y "
				     "age_ms=12\n"));
}

static void test_json_lines(void **state)
{
	static const struct {
		const char *fields, *key, *text;
		json_int_t number;
	} cases[] = {
		{ "a=1 b=two", "b", "two", 0 },
		{ "a=-5 b=two", "a", NULL, -5 },
		{ "a=\"two words\" b=3", "a", "two words", 0 },
		{ "a=\"two words\" b=3", "b", NULL, 3 },
		{ "a=\"open", "a", "open", 0 },
		{ "a= b=x", "a", "", 0 },
		{ "a=\xff", "a", "\xef\xbf\xbd", 0 },
		{ "loose", "message", "loose", 0 },
	};

	(void)state;
	log_configure("agent", "a1", LOG_INFO, LOG_FORMAT_JSON);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *line, *value;

		capture_stderr();
		log_event(LOG_INFO, "happened", "%s", cases[i].fields);
		line = json_loads(restore_stderr(), 0, NULL);
		assert_non_null(line);
		assert_string_equal(
			json_string_value(json_object_get(line, "event")),
			"happened");
		value = json_object_get(line, cases[i].key);
		if (cases[i].text)
			assert_string_equal(json_string_value(value),
					    cases[i].text);
		else
			assert_int_equal(json_integer_value(value),
					 cases[i].number);
		json_decref(line);
	}
}

static void test_level_and_format_names(void **state)
{
	enum log_level level;
	enum log_format format;

	(void)state;
	assert_true(log_parse_level("warn", &level));
	assert_int_equal(level, LOG_WARN);
	assert_false(log_parse_level("loud", &level));
	assert_false(log_parse_level(NULL, &level));
	assert_true(log_parse_format("json", &format));
	assert_false(log_parse_format("xml", &format));
}

static gpointer write_events(gpointer arg)
{
	for (int i = 0; i < EVENTS_PER_THREAD; i++)
		trace_event("start", "thread=%d index=%d", GPOINTER_TO_INT(arg),
			    i);
	return NULL;
}

static void test_trace_keeps_every_event_in_order(void **state)
{
	char path[] = "/tmp/test_logger_XXXXXX";
	GThread *threads[THREADS];
	char *text, **lines;
	int fd = mkstemp(path);

	(void)state;
	trace_event("before", NULL);
	assert_true(trace_open(path, "a1", 0xabcULL, NULL));
	for (int i = 0; i < THREADS; i++)
		threads[i] =
			g_thread_new("t", write_events, GINT_TO_POINTER(i));
	for (int i = 0; i < THREADS; i++)
		g_thread_join(threads[i]);
	trace_event("stop_end", NULL);
	trace_close();
	trace_event("after", NULL);
	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	assert_int_equal(g_strv_length(lines), THREADS * EVENTS_PER_THREAD + 2);
	for (int i = 0; i <= THREADS * EVENTS_PER_THREAD; i++) {
		char wanted[64];

		g_snprintf(wanted, sizeof(wanted),
			   " p=a1 i=0000000000000abc n=%d e=", i + 1);
		assert_true(g_str_has_prefix(lines[i], "t="));
		assert_non_null(strstr(lines[i], wanted));
	}
	g_strfreev(lines);
	g_free(text);
	close(fd);
	unlink(path);
}

static int count_events(const char *path)
{
	char *text;
	int n = 0;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	for (const char *at = text; (at = strchr(at, '\n')); at++)
		n++;
	g_free(text);
	return n;
}

/* Tools that read the trace file of a running process wait until the gauge
 * is 0; by then the file must contain all events. */
static void test_trace_gauge_counts_unwritten_events(void **state)
{
	struct counter *unwritten =
		gauge_get("trace_unwritten_events", NULL, NULL);
	char path[] = "/tmp/test_logger_XXXXXX";
	int fd = mkstemp(path);

	(void)state;
	assert_true(trace_open(path, "a1", 0xabcULL, NULL));
	for (int written = 0; written < EVENTS_PER_THREAD;) {
		trace_event("start", NULL);
		written++;
		while (counter_value(unwritten))
			g_thread_yield();
		assert_int_equal(count_events(path), written);
	}
	trace_close();
	assert_int_equal(counter_value(unwritten), 0);
	close(fd);
	unlink(path);
}

static void test_trace_open_error(void **state)
{
	GError *error = NULL;

	(void)state;
	assert_false(trace_open("/nowhere/x", "a1", 1, &error));
	assert_non_null(strstr(error->message, "/nowhere/x"));
	assert_false(trace_enabled());
	g_error_free(error);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_text_lines),
		cmocka_unit_test(test_json_lines),
		cmocka_unit_test(test_level_and_format_names),
		cmocka_unit_test(test_trace_keeps_every_event_in_order),
		cmocka_unit_test(test_trace_gauge_counts_unwritten_events),
		cmocka_unit_test(test_trace_open_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
