/*
 * test_wire_check: texts that can't be put into JSON, or of which a part would
 * be cut off, are found before anything is done with them.
 */
#include "leased/wire_check.h"

#include "leased/formats.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#define TEXT_23 "abcdefghijklmnopqrstuvw"
#define TEXT_64 TEXT_23 TEXT_23 "abcdefghijklmnopqr"

/* A NULL field means that the text is usable. */
struct text_case {
	char *text;
	const char *field;
};

static void expect(const char *field, const struct text_case *c, size_t i)
{
	if (g_strcmp0(field, c->field) != 0)
		fail_msg("case %zu: %s in place of %s", i,
			 field ? field : "usable",
			 c->field ? c->field : "usable");
}

/* Guards against ids that end agents, as they can't be written into JSON
 * (review/5), and against ids that are cut off on the way. */
static void test_job_ids(void **state)
{
	static const struct {
		const char *id;
		bool usable;
	} cases[] = {
		{ "5c0e7a21d94b36f8", true },
		{ "5C0E7A21D94B36F8", true },
		{ "job-1_a", true },
		{ TEXT_23, true },
		{ TEXT_23 "x", false },
		{ "", false },
		{ "5c0e7a21d94b36f\xff", false },
		{ "\xc3\x28", false },
		{ "\xc3\xa9", false },
		{ "a.b", false },
		{ "a/b", false },
		{ "a b", false },
		{ "a\nb", false },
		{ "a\"b", false },
		{ "a%00b", false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		if (wire_is_job_id(cases[i].id) != cases[i].usable)
			fail_msg("case %zu", i);
}

/* Guards against orders of a dispatcher of another version that an agent
 * can't carry out, or under another name than the one ordered. */
static void test_orders(void **state)
{
	static const struct text_case jobs[] = { { "a", NULL },
						 { "a\xff", "job" },
						 { TEXT_23 "x", "job" } };
	static const struct text_case classes[] = {
		{ "", NULL },
		{ "r\xc3\xa9 \n", NULL },
		{ "r\xff", "class_name" },
		{ "\xed\xa0\x80", "class_name" },
		{ TEXT_64, "class_name" },
	};
	static const struct text_case specs[] = { { "", NULL },
						  { "a\xc3\xa9", NULL },
						  { "a\xc3", "spec" } };
	Cfw__RunStart start = CFW__RUN_START__INIT;
	Cfw__RunStop stop = CFW__RUN_STOP__INIT;

	(void)state;
	start.number = stop.number = 1;
	for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
		start.job = stop.job = jobs[i].text;
		expect(wire_check_start(&start), &jobs[i], i);
		expect(wire_check_stop(&stop), &jobs[i], i);
	}
	start.job = stop.job = "a";
	for (size_t i = 0; i < G_N_ELEMENTS(classes); i++) {
		start.class_name = classes[i].text;
		expect(wire_check_start(&start), &classes[i], i);
	}
	start.class_name = "";
	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
		start.spec.data = (uint8_t *)specs[i].text;
		start.spec.len = strlen(specs[i].text);
		expect(wire_check_start(&start), &specs[i], i);
	}
	start.spec.len = 0;
	start.server = "\xff";
	assert_string_equal(wire_check_start(&start), "server");
	start.server = "";
	start.number = stop.number = 0;
	assert_string_equal(wire_check_start(&start), "number");
	assert_string_equal(wire_check_stop(&stop), "number");
}

/* Guards against names from an agent of another version that a dispatcher cuts
 * off, so that they name another server or class. */
static void test_reports(void **state)
{
	static const struct text_case names[] = { { "i-1", NULL },
						  { "", "name" },
						  { "\xff", "name" },
						  { TEXT_64, "name" } };
	static const struct text_case classes[] = { { "", NULL },
						    { "\xff", "class_name" },
						    { TEXT_64, "class_name" } };
	Cfw__RunEnd end = CFW__RUN_END__INIT;
	Cfw__ServerState server = CFW__SERVER_STATE__INIT;
	Cfw__ClassSlowdown slowdown = CFW__CLASS_SLOWDOWN__INIT;
	Cfw__ClassSlowdown *slowdowns[] = { &slowdown };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		server.name = names[i].text;
		expect(wire_check_state(&server), &names[i], i);
	}
	server.name = "i-1";
	server.slowdowns = slowdowns;
	server.n_slowdowns = 1;
	for (size_t i = 0; i < G_N_ELEMENTS(classes); i++) {
		slowdown.beside = classes[i].text;
		expect(wire_check_state(&server), &classes[i], i);
	}
	server.service = "\xff";
	assert_string_equal(wire_check_state(&server), "service");
	server.service = "";
	server.kind = TEXT_64;
	assert_string_equal(wire_check_state(&server), "kind");
	end.job = "a";
	assert_null(wire_check_end(&end));
	end.job = "a\xff";
	assert_string_equal(wire_check_end(&end), "job");
}

/* Guards against a log that is filled by a peer that repeats its fault. */
static void test_log_lines(void **state)
{
	struct wire_faults faults = { 0 };
	uint32_t n_unlogged = 9;

	(void)state;
	assert_true(wire_fault_is_logged(&faults, 5000, &n_unlogged));
	assert_int_equal(n_unlogged, 0);
	assert_false(wire_fault_is_logged(&faults, 5001, &n_unlogged));
	assert_false(wire_fault_is_logged(&faults, 5999, &n_unlogged));
	assert_true(wire_fault_is_logged(&faults, 6000, &n_unlogged));
	assert_int_equal(n_unlogged, 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_job_ids),
		cmocka_unit_test(test_orders),
		cmocka_unit_test(test_reports),
		cmocka_unit_test(test_log_lines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
