/*
 * test_operator: the operators' command line and the JSON of configuration
 * changes: which input is accepted, and which field an error names.
 */
#include "chervilferry.h"
#include "proto/wire.pb-c.h"
#include "coordinator/coordinator.h"
#include "verbs/operator.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <cmocka.h>

#define ARGUMENTS_MAX 12
#define COMMAND_ID "00112233445566778899aabbccddeeff"

/* ---- Command line -------------------------------------------------- */

struct parse_case {
	char *argv[ARGUMENTS_MAX];
	enum operator_parse outcome;
	const char *text; /* part of the help or error; NULL: any */
};

#define COORDINATORS "--coordinators=127.0.0.1:1"

static const struct parse_case parse_cases[] = {
	{ { "class", "set", "a", "--target-ms=300", "--percentile=99.5",
	    COORDINATORS },
	  OPERATOR_RUN,
	  NULL },
	{ { "class", "set", "a", "--percentile=99", COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "target-ms" },
	{ { "class", "set", "--target-ms=1", "--percentile=99", COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "NAME" },
	{ { "class", "set", "a", "--target-ms=0", "--percentile=99",
	    COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "--target-ms" },
	{ { "class", "set", "a", "--target-ms=-1", "--percentile=99",
	    COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "--target-ms" },
	{ { "class", "set", "a", "--target-ms=99999999999999999999",
	    "--percentile=99", COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "--target-ms" },
	{ { "class", "set", "a", "--target-ms=3", "--percentile=100",
	    COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "--percentile" },
	{ { "class", "set", "a", "--target-ms=3", "--percentile=nan",
	    COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "--percentile" },
	{ { "class", "set", "--help" }, OPERATOR_HELP, "--target-ms" },
	{ { "class", "--help" }, OPERATOR_HELP, "class remove" },
	{ { "class" }, OPERATOR_USAGE_ERROR, "class list" },
	{ { "class", "frob" }, OPERATOR_USAGE_ERROR, "class list" },
	{ { "class", "list" }, OPERATOR_USAGE_ERROR, "CHERVILFERRY_ADMIN" },
	{ { "class", "list", "--coordinators=x" },
	  OPERATOR_USAGE_ERROR,
	  "--coordinators" },
	{ { "class", "list", COORDINATORS, "--frob" },
	  OPERATOR_USAGE_ERROR,
	  "frob" },
	{ { "class", "list", "extra", COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "extra" },
	{ { "data-centre", "out", "olten", COORDINATORS, "--json" },
	  OPERATOR_RUN,
	  NULL },
	{ { "data-centre", "in", "olten", COORDINATORS, "--base-revision=7" },
	  OPERATOR_RUN,
	  NULL },
	{ { "data-centre", "in", "olten", COORDINATORS, "--base-revision=x" },
	  OPERATOR_USAGE_ERROR,
	  "--base-revision" },
	{ { "team", "set", "t", "--share-milli=1001", COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "--share-milli" },
	{ { "member", "add", "4", "--address=127.0.0.1:4",
	    "--admin-address=127.0.0.1:5", COORDINATORS },
	  OPERATOR_RUN,
	  NULL },
	{ { "member", "add", "4", "--address=host:4",
	    "--admin-address=127.0.0.1:5", COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "--address" },
	{ { "member", "remove", "0", COORDINATORS },
	  OPERATOR_USAGE_ERROR,
	  "ID" },
	{ { "status", COORDINATORS, "--timeout-ms=0" },
	  OPERATOR_USAGE_ERROR,
	  "--timeout-ms" },
	{ { "burn", "--dispatchers=127.0.0.1:1,127.0.0.1:2" },
	  OPERATOR_RUN,
	  NULL },
	{ { "burn" }, OPERATOR_USAGE_ERROR, "--dispatchers" },
	{ { "settings", "--json" }, OPERATOR_RUN, NULL },
};

static void test_arguments(void **state)
{
	(void)state;
	g_unsetenv("CHERVILFERRY_ADMIN");
	for (size_t i = 0; i < G_N_ELEMENTS(parse_cases); i++) {
		g_autoptr(GString) text = g_string_new(NULL);
		char *argv[ARGUMENTS_MAX + 1] = { NULL };
		struct operator_request request;
		int argc = 0;

		for (; parse_cases[i].argv[argc]; argc++)
			argv[argc] = parse_cases[i].argv[argc];
		assert_int_equal(operator_parse(argc, argv, &request, text),
				 parse_cases[i].outcome);
		if (parse_cases[i].text)
			assert_non_null(strstr(text->str, parse_cases[i].text));
		operator_request_clear(&request);
	}
}

static void test_argument_values(void **state)
{
	char *argv[] = { "class",
			 "set",
			 "price-check",
			 "--target-ms=300",
			 "--percentile=99.5",
			 "--idempotent",
			 "--base-revision=7",
			 NULL };
	g_autoptr(GString) text = g_string_new(NULL);
	struct operator_request r;

	(void)state;
	g_setenv("CHERVILFERRY_ADMIN", "127.0.0.1:1,127.0.0.1:2", TRUE);
	assert_int_equal(operator_parse(7, argv, &r, text), OPERATOR_RUN);
	g_unsetenv("CHERVILFERRY_ADMIN");
	assert_string_equal(r.name, "price-check");
	assert_int_equal(r.target_ms, 300);
	assert_int_equal(r.percentile_milli, 99500);
	assert_true(r.idempotent);
	assert_int_equal(r.base_revision, 7);
	assert_string_equal(r.servers[1], "127.0.0.1:2");
	operator_request_clear(&r);
}

/* ---- JSON ---------------------------------------------------------- */

#define CLASS_FIELDS "\"name\":\"a\",\"target_ms\":3,\"percentile_milli\":99000"
#define COMMAND(change)                                                        \
	"{\"command_id\":\"" COMMAND_ID "\",\"change\":" change "}"

static void test_command_json(void **state)
{
	static const struct {
		const char *body;
		const char *field; /* named in the error; NULL: accepted */
	} cases[] = {
		{ COMMAND("{\"class_set\":{" CLASS_FIELDS "}}"), NULL },
		{ COMMAND("{\"class_remove\":\"a\"}"), NULL },
		{ COMMAND("{\"member_remove\":3}"), NULL },
		{ COMMAND("{\"data_centre_set\":{\"name\":\"a\","
			  "\"in_service\":false}}"),
		  NULL },
		{ COMMAND("{\"data_centre_set\":{\"name\":\"a\","
			  "\"in_service\":0}}"),
		  "in_service" },
		{ COMMAND("{\"class_set\":{" CLASS_FIELDS ",\"x\":1}}"), "x" },
		{ COMMAND("{\"class_set\":{\"name\":\"a\"}}"), "target_ms" },
		{ COMMAND("{\"class_set\":{\"name\":\"a\",\"target_ms\":-1,"
			  "\"percentile_milli\":1}}"),
		  "target_ms" },
		{ COMMAND("{\"class_set\":{\"name\":\"a\",\"target_ms\":"
			  "4294967296,\"percentile_milli\":1}}"),
		  "target_ms" },
		{ COMMAND("{\"class_set\":{\"name\":\"a\",\"target_ms\":1.5,"
			  "\"percentile_milli\":1}}"),
		  "target_ms" },
		{ COMMAND("{\"class_set\":{\"name\":7,\"target_ms\":1,"
			  "\"percentile_milli\":1}}"),
		  "name" },
		{ COMMAND("{\"class_set\":7}"), "class_set" },
		{ COMMAND("{\"fence\":7}"), "fence" },
		{ COMMAND("{}"), "change" },
		{ COMMAND("{\"class_remove\":\"a\",\"team_remove\":\"b\"}"),
		  "change" },
		{ "{\"change\":{\"class_remove\":\"a\"}}", "command_id" },
		{ "{\"command_id\":\"00\",\"change\":{\"class_remove\":\"a\"}}",
		  "command_id" },
		{ "{\"command_id\":\"" COMMAND_ID
		  "\",\"command_id\":\"" COMMAND_ID "\"}",
		  "body" },
		{ "{\"command_id\":\"\xff\"}", "body" },
		{ "[]", "body" },
		{ "", "body" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char fault[COMMAND_FAULT_SIZE] = "";
		GBytes *command = command_from_json(
			cases[i].body, strlen(cases[i].body), fault);

		if (!cases[i].field) {
			assert_non_null(command);
			g_bytes_unref(command);
			continue;
		}
		assert_null(command);
		assert_true(g_str_has_prefix(fault, cases[i].field));
	}
}

/* The coordinator accepts the body that each verb sends. */
static void test_command_bodies_are_accepted(void **state)
{
	static const struct {
		enum operator_verb verb;
		Cfw__Command__ChangeCase change;
	} cases[] = {
		{ VERB_CLASS_SET, CFW__COMMAND__CHANGE_CLASS_SET },
		{ VERB_CLASS_REMOVE, CFW__COMMAND__CHANGE_CLASS_REMOVE },
		{ VERB_DATA_CENTRE_OUT, CFW__COMMAND__CHANGE_DATA_CENTRE_SET },
		{ VERB_DATA_CENTRE_IN, CFW__COMMAND__CHANGE_DATA_CENTRE_SET },
		{ VERB_TEAM_SET, CFW__COMMAND__CHANGE_TEAM_SET },
		{ VERB_TEAM_REMOVE, CFW__COMMAND__CHANGE_TEAM_REMOVE },
		{ VERB_MEMBER_ADD, CFW__COMMAND__CHANGE_MEMBER_ADD },
		{ VERB_MEMBER_REMOVE, CFW__COMMAND__CHANGE_MEMBER_REMOVE },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct operator_request r = { .verb = cases[i].verb,
					      .name = "a",
					      .member_id = 4,
					      .address = "127.0.0.1:1",
					      .admin_address = "127.0.0.1:2" };
		g_autofree char *body = operator_command_body(&r, COMMAND_ID);
		char fault[COMMAND_FAULT_SIZE];
		g_autoptr(GBytes)
			packed = command_from_json(body, strlen(body), fault);
		struct Cfw__Command *command;

		assert_non_null(packed);
		command = cfw__command__unpack(NULL, g_bytes_get_size(packed),
					       g_bytes_get_data(packed, NULL));
		assert_int_equal(command->change_case, cases[i].change);
		if (cases[i].change == CFW__COMMAND__CHANGE_DATA_CENTRE_SET)
			assert_int_equal(command->data_centre_set->in_service,
					 cases[i].verb == VERB_DATA_CENTRE_IN);
		cfw__command__free_unpacked(command, NULL);
	}
}

static void test_redirects(void **state)
{
	static const struct {
		uint32_t status;
		const char *json;
		const char *to;
	} cases[] = {
		{ 421, "{\"leader_admin\":\"127.0.0.1:9\"}", "127.0.0.1:9" },
		{ 421, "{}", NULL },
		{ 503, "{\"leader_admin\":\"127.0.0.1:9\"}", NULL },
		{ 421, "{\"leader_admin\":9}", NULL },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *json = json_loads(cases[i].json, 0, NULL);
		const char *to = operator_redirect(cases[i].status, json);

		if (cases[i].to)
			assert_string_equal(to, cases[i].to);
		else
			assert_null(to);
		json_decref(json);
	}
}

/* ---- First members ------------------------------------------------- */

static void test_first_members(void **state)
{
	static const struct {
		const char *text;
		guint n; /* 0: rejected */
	} cases[] = {
		{ "1=127.0.0.1:1/127.0.0.1:2", 1 },
		{ "1=127.0.0.1:0/127.0.0.1:0", 1 },
		{ "1=127.0.0.1:1/127.0.0.1:2, 2=127.0.0.1:3/127.0.0.1:4", 2 },
		{ "2=127.0.0.1:1/127.0.0.1:2", 0 },
		{ "1=127.0.0.1:1/127.0.0.1:2,1=127.0.0.1:3/127.0.0.1:4", 0 },
		{ "1=127.0.0.1:1", 0 },
		{ "1=host:1/127.0.0.1:2", 0 },
		{ "0=127.0.0.1:1/127.0.0.1:2", 0 },
		{ "", 0 },
		{ ",", 0 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GError) error = NULL;
		GArray *members = first_members_parse(cases[i].text, 1, &error);

		if (cases[i].n) {
			assert_non_null(members);
			assert_int_equal(members->len, cases[i].n);
			g_array_unref(members);
			continue;
		}
		assert_null(members);
		assert_true(g_str_has_prefix(error->message, "first-members"));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_arguments),
		cmocka_unit_test(test_argument_values),
		cmocka_unit_test(test_command_json),
		cmocka_unit_test(test_command_bodies_are_accepted),
		cmocka_unit_test(test_redirects),
		cmocka_unit_test(test_first_members),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
