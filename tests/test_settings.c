/*
 * test_settings: flags, environment variables, defaults and error messages.
 */
#include "base/address.h"
#include "base/settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

static struct settings *parse(enum setting_role role, const char *line,
			      GString *errors)
{
	char **words = g_strsplit(line, " ", -1);
	struct settings *s =
		settings_parse(role, (int)g_strv_length(words), words, errors);

	g_strfreev(words);
	return s;
}

static void test_values_come_from_flag_variable_default(void **state)
{
	static const struct {
		const char *variable, *line, *level;
	} cases[] = {
		{ NULL, "load", "info" },
		{ "warn", "load", "warn" },
		{ "warn", "load --log-level=debug", "debug" },
		{ "warn", "load --log-level debug", "debug" },
		{ "", "load", "info" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *errors = g_string_new(NULL);
		struct settings *s;

		if (cases[i].variable)
			setenv("CHERVILFERRY_LOG_LEVEL", cases[i].variable, 1);
		s = parse(FOR_LOAD, cases[i].line, errors);
		unsetenv("CHERVILFERRY_LOG_LEVEL");
		assert_string_equal(errors->str, "");
		assert_string_equal(settings_text(s, "log-level"),
				    cases[i].level);
		settings_destroy(s);
		g_string_free(errors, TRUE);
	}
}

static void test_types_lists_and_arguments(void **state)
{
	GString *errors = g_string_new(NULL);
	struct settings *s =
		parse(FOR_LOAD,
		      "load one --rate 250 --json two --run-spread false "
		      "--dispatchers 127.0.0.1:1,[::1]:2",
		      errors);

	(void)state;
	assert_string_equal(errors->str, "");
	assert_int_equal(settings_number(s, "rate"), 250);
	assert_true(settings_bool(s, "json"));
	assert_false(settings_bool(s, "run-spread"));
	assert_string_equal(settings_list(s, "dispatchers")[1], "[::1]:2");
	assert_null(settings_list(s, "dispatchers")[2]);
	assert_string_equal(settings_argument(s, 0), "one");
	assert_string_equal(settings_argument(s, 1), "two");
	assert_null(settings_argument(s, 2));
	assert_null(settings_text(s, "play"));
	assert_int_equal(settings_number(s, "lease-ms"), 2000);
	settings_destroy(s);
	g_string_free(errors, TRUE);
}

/* Each error names the setting, its value and the allowed values. */
static void test_errors_name_setting_and_value(void **state)
{
	static const struct {
		enum setting_role role;
		const char *line, *expected_errors[3];
	} cases[] = {
		{ FOR_LOAD,
		  "load --rate=0",
		  { "--rate: \"0\" is not allowed: 1 to 100000 jobs/s" } },
		{ FOR_LOAD, "load --rate=1e9", { "--rate: \"1e9\"" } },
		{ FOR_LOAD,
		  "load --rate=99999999999999999999",
		  { "--rate: \"99999999999999999999\"" } },
		{ FOR_LOAD, "load --rate=-1", { "--rate: \"-1\"" } },
		{ FOR_LOAD, "load --rate=", { "--rate: \"\"" } },
		{ FOR_LOAD, "load --json=maybe", { "true or false" } },
		{ FOR_LOAD, "load --class=a/b", { "--class: \"a/b\"" } },
		{ FOR_LOAD,
		  "load --log-level=loud",
		  { "debug|info|warn|error" } },
		{ FOR_LOAD, "load --direct=host:1", { "IP:PORT" } },
		{ FOR_LOAD,
		  "load --dispatchers=127.0.0.1:1,,127.0.0.1:2",
		  { "--dispatchers" } },
		{ FOR_LOAD,
		  "load --rate=0 --tasks=0 --direct=x",
		  { "--rate", "--tasks", "--direct" } },
		{ FOR_LOAD, "load --lease-ms=5000", { "--lease-ms" } },
		{ FOR_LOAD,
		  "load --unknown --rate=x",
		  { "--unknown", "--rate" } },
		{ FOR_AGENT,
		  "agent",
		  { "--coordinators: a value is required" } },
		{ FOR_COORDINATOR,
		  "coordinator --id 0",
		  { "--id: \"0\"", "--data: a value is required" } },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *errors = g_string_new(NULL);
		struct settings *s =
			parse(cases[i].role, cases[i].line, errors);

		if (s)
			fail_msg("accepted: %s", cases[i].line);
		for (size_t f = 0; f < 3 && cases[i].expected_errors[f]; f++)
			if (!strstr(errors->str, cases[i].expected_errors[f]))
				fail_msg("%s: %s", cases[i].line, errors->str);
		g_string_free(errors, TRUE);
	}
}

static void test_errors_name_environment_variable(void **state)
{
	GString *errors = g_string_new(NULL);

	(void)state;
	setenv("CHERVILFERRY_HEARTBEAT_MS", "49", 1);
	setenv("CHERVILFERRY_COORDINATORS", "nowhere", 1);
	assert_null(parse(FOR_AGENT, "agent", errors));
	unsetenv("CHERVILFERRY_HEARTBEAT_MS");
	unsetenv("CHERVILFERRY_COORDINATORS");
	assert_non_null(strstr(errors->str, "CHERVILFERRY_HEARTBEAT_MS: "
					    "\"49\" is not allowed: 50 to "
					    "10000 ms"));
	assert_non_null(strstr(errors->str, "CHERVILFERRY_COORDINATORS: "
					    "\"nowhere\""));
	g_string_free(errors, TRUE);
}

/* Every setting has a help text, a consistent range, no default if it is
 * required, and appears in --help and in both printed tables. */
static void test_table_is_valid(void **state)
{
	GString *text = g_string_new(NULL);
	GString *json = g_string_new(NULL);

	(void)state;
	settings_print_table(text, false);
	settings_print_table(json, true);
	for (size_t i = 0; i < settings_count; i++) {
		const struct setting *setting = &settings_table[i];
		GString *help = g_string_new(NULL);

		assert_non_null(setting->help);
		assert_true(!setting->required || !setting->default_value);
		assert_true(setting->type != SETTING_NUMBER ||
			    setting->min <= setting->max);
		settings_print_help(setting->roles & -setting->roles, "x",
				    help);
		assert_non_null(strstr(help->str, setting->name));
		assert_non_null(strstr(text->str, setting->name));
		assert_non_null(strstr(json->str, setting->name));
		g_string_free(help, TRUE);
	}
	g_string_free(text, TRUE);
	g_string_free(json, TRUE);
}

static void test_addresses(void **state)
{
	static const struct {
		const char *text, *host; /* host NULL: invalid */
		uint16_t port;
	} cases[] = {
		{ "127.0.0.1:0", "127.0.0.1", 0 },
		{ "[::1]:65535", "::1", 65535 },
		{ "127.0.0.1:65536", NULL, 0 },
		{ "127.0.0.1", NULL, 0 },
		{ "127.0.0.1:", NULL, 0 },
		{ "::1:80", NULL, 0 },
		{ "localhost:80", NULL, 0 },
		{ ":80", NULL, 0 },
		{ "", NULL, 0 },
		{ "300.0.0.1:80", NULL, 0 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char host[ADDRESS_HOST_SIZE];
		uint16_t port;
		bool valid = address_parse(cases[i].text, host, &port);

		assert_int_equal(valid, cases[i].host != NULL);
		if (!valid)
			continue;
		assert_string_equal(host, cases[i].host);
		assert_int_equal(port, cases[i].port);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_values_come_from_flag_variable_default),
		cmocka_unit_test(test_types_lists_and_arguments),
		cmocka_unit_test(test_errors_name_setting_and_value),
		cmocka_unit_test(test_errors_name_environment_variable),
		cmocka_unit_test(test_table_is_valid),
		cmocka_unit_test(test_addresses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
