/*
 * main: entry point; runs the role or verb that the first argument names.
 */
#include "base/logger.h"
#include "platform/platform.h"
#include "verbs/explain.h"
#include "roles/role.h"

#include "base/clock.h"
#include "chervilferry.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_USAGE_ERROR 2

struct role {
	const char *name;
	enum setting_role settings;
	bool daemon; /* stops gracefully on SIGTERM */
	int (*run)(const struct settings *settings);
	const char *help;
};

static const struct role roles[] = {
	{ "coordinator", FOR_COORDINATOR, true, coordinator_main,
	  "replicates the configuration, grants leases, votes on claims" },
	{ "dispatcher", FOR_DISPATCHER, true, dispatcher_main,
	  "takes callers' jobs and answers them" },
	{ "agent", FOR_AGENT, true, agent_main,
	  "starts tasks at the backend server on its host" },
	{ "leased-dispatcher", FOR_LEASED_DISPATCHER, true,
	  leased_dispatcher_main,
	  "takes jobs that may run again, for servers that run under leases" },
	{ "leased-agent", FOR_LEASED_AGENT, true, leased_agent_main,
	  "starts such tasks at the backend server on its host" },
	{ "standalone", FOR_STANDALONE, true, standalone_main,
	  "all of these and a backend server in one process, for trying" },
	{ "backend", FOR_BACKEND, true, backend_main,
	  "a stand-in backend server, for tests" },
	{ "load", FOR_LOAD, false, load_main,
	  "sends jobs, checks the answers, prints response times" },
};

static const struct {
	const char *name, *help;
} verbs[] = {
	{ "class", "set, list and remove classes and their targets" },
	{ "data-centre", "take data centres out of service and in again" },
	{ "team", "set, list and remove the shares of teams" },
	{ "member", "add, remove and list coordinators" },
	{ "status", "show who is there and what is in force" },
	{ "burn", "show how fast classes use up their error budgets" },
};

/* ---- Texts ---- */

static void print_usage(FILE *out)
{
	fputs("usage: chervilferry ROLE|VERB [FLAGS]\n\nroles:\n", out);
	for (size_t i = 0; i < G_N_ELEMENTS(roles); i++)
		fprintf(out, "  %-18s %s\n", roles[i].name, roles[i].help);
	fputs("\noperators' verbs:\n", out);
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++)
		fprintf(out, "  %-18s %s\n", verbs[i].name, verbs[i].help);
	fputs("\nbesides:\n"
	      "  trace        check event traces against the promises\n"
	      "  explain      tell a request's life and cause from logs\n"
	      "  key          print a new job key\n"
	      "  settings     list every setting [--json]\n"
	      "  version      print the version\n\n"
	      "chervilferry ROLE|VERB --help tells its flags.\n",
	      out);
}

static void print_text(GString *text)
{
	fputs(text->str, stdout);
	g_string_free(text, TRUE);
}

static bool has_flag(int argc, char **argv, const char *flag)
{
	for (int i = 1; i < argc; i++)
		if (!strcmp(argv[i], flag))
			return true;
	return false;
}

/* ---- Roles ---- */

static void configure_log(const struct role *role, const struct settings *s)
{
	enum log_level level = LOG_INFO;
	enum log_format format = LOG_FORMAT_TEXT;

	log_parse_level(settings_text(s, "log-level"), &level);
	log_parse_format(settings_text(s, "log-format"), &format);
	log_configure(role->name, settings_text(s, "name"), level, format);
}

static int run_role(const struct role *role, int argc, char **argv)
{
	GString *text = g_string_new(NULL);
	struct settings *settings;
	int status;

	if (has_flag(argc, argv, "--help")) {
		settings_print_help(role->settings, role->name, text);
		print_text(text);
		return 0;
	}
	settings = settings_parse(role->settings, argc, argv, text);
	if (settings && settings_argument(settings, 0))
		g_string_append_printf(text, "%s: unexpected argument\n",
				       settings_argument(settings, 0));
	if (text->len) {
		fputs(text->str, stderr);
		g_string_free(text, TRUE);
		settings_destroy(settings);
		return EXIT_USAGE_ERROR;
	}
	g_string_free(text, TRUE);
	configure_log(role, settings);
	if (role->daemon) {
		role_block_signals();
		log_start_writer();
	}
	status = role->run(settings);
	if (role->daemon)
		log_stop_writer();
	settings_destroy(settings);
	return status;
}

/* ---- Verbs ---- */

static int run_settings(int argc, char **argv)
{
	GString *text = g_string_new(NULL);

	settings_print_table(text, has_flag(argc, argv, "--json"));
	print_text(text);
	return 0;
}

static int print_key(void)
{
	struct cf_key key;
	char text[CF_KEY_TEXT_SIZE];

	cf_key_make(&key, clock_wall_ms(), clock_random(), clock_random());
	cf_key_format(&key, text);
	puts(text);
	return 0;
}

static bool is_operator_verb(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++)
		if (!strcmp(verbs[i].name, name))
			return true;
	return false;
}

int main(int argc, char **argv)
{
	const char *name = argc > 1 ? argv[1] : "";

	role_set_formats(&platform_formats);
	if (apr_initialize() != APR_SUCCESS)
		return EXIT_FAILURE;
	for (size_t i = 0; i < G_N_ELEMENTS(roles); i++)
		if (!strcmp(roles[i].name, name))
			return run_role(&roles[i], argc - 1, argv + 1);
	if (is_operator_verb(name))
		return operator_main(argc - 1, argv + 1);
	if (!strcmp(name, "trace"))
		return trace_main(argc - 1, argv + 1);
	if (!strcmp(name, "explain"))
		return explain_main(argc - 1, argv + 1);
	if (!strcmp(name, "settings"))
		return run_settings(argc - 1, argv + 1);
	if (!strcmp(name, "key"))
		return print_key();
	if (!strcmp(name, "version") || !strcmp(name, "--version")) {
		puts(CF_VERSION);
		return 0;
	}
	if (!strcmp(name, "help") || !strcmp(name, "--help")) {
		print_usage(stdout);
		return 0;
	}
	if (*name)
		fprintf(stderr, "%s: unknown role or verb\n", name);
	print_usage(stderr);
	return EXIT_USAGE_ERROR;
}
