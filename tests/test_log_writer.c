/*
 * test_log_writer: order of lines, limits, and a reader that does not read.
 */
#include "base/log_writer.h"

#include <fcntl.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#define FLUSH_MS 10000
#define BLOCKED_LINES 40000

static void test_lines_in_order(void **state)
{
	struct log_writer *writer;
	char text[64] = "";
	int pipe_fds[2];

	(void)state;
	assert_int_equal(pipe(pipe_fds), 0);
	writer = log_writer_create(pipe_fds[1]);
	assert_true(log_writer_add(writer, "one\n", false, 0));
	assert_true(log_writer_add(writer, "two\n", true, 0));
	log_writer_flush(writer, FLUSH_MS);
	assert_int_equal(read(pipe_fds[0], text, sizeof(text) - 1), 8);
	assert_string_equal(text, "one\ntwo\n");
	log_writer_destroy(writer);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

/* The limit on lines per second does not apply to important lines. */
static void test_bounds(void **state)
{
	struct log_writer *writer;
	int null = open("/dev/null", O_WRONLY);

	(void)state;
	writer = log_writer_create(null);
	for (uint32_t i = 0; i < LOG_MAX_LINES_PER_S; i++)
		assert_true(log_writer_add(writer, "x\n", false, 500));
	assert_false(log_writer_add(writer, "x\n", false, 999));
	assert_true(log_writer_add(writer, "x\n", true, 999));
	assert_true(log_writer_add(writer, "x\n", false, 1000));
	assert_int_equal(log_writer_dropped_lines(writer), 1);
	log_writer_destroy(writer);
	close(null);
}

/* Nothing reads from the pipe: adding a line must not block, memory stays
 * bounded, and dropped lines are counted. */
static void test_blocked_reader(void **state)
{
	static char line[129];
	struct log_writer *writer;
	uint64_t accepted = 0;
	int pipe_fds[2];

	(void)state;
	memset(line, 'x', 127);
	line[127] = '\n';
	assert_int_equal(pipe(pipe_fds), 0);
	writer = log_writer_create(pipe_fds[1]);
	for (int i = 0; i < BLOCKED_LINES; i++)
		accepted += log_writer_add(writer, line, true, i);
	assert_int_equal(accepted + log_writer_dropped_lines(writer),
			 BLOCKED_LINES);
	assert_true(log_writer_dropped_lines(writer) > 0);
	assert_true(accepted * 128 <= LOG_BUFFER_MAX_BYTES + 2 * 65536 + 8192);
	log_writer_destroy(writer);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lines_in_order),
		cmocka_unit_test(test_bounds),
		cmocka_unit_test(test_blocked_reader),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
