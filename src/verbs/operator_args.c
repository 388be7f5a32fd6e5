/*
 * operator_args: parses the command line of the operators' verbs. The
 * parser and the help texts share one table of verbs.
 */
#include "verbs/operator.h"

#include "base/address.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define TIMEOUT_MS 10000
#define TIMEOUT_MAX_MS 600000
#define TARGET_MAX_MS 3600000
#define PERCENTILE_MIN 1.0
#define PERCENTILE_MAX 99.999
#define SHARE_MAX_MILLI 1000
#define MEMBER_ID_MAX 1000000
#define ERRORS_MAX 20
#define COORDINATORS_VARIABLE "CHERVILFERRY_ADMIN"
#define DISPATCHERS_VARIABLE "CHERVILFERRY_DISPATCHER_ADMIN"

/* Which arguments a verb takes. */
#define TAKES_NAME (1u << 0)
#define TAKES_CLASS (1u << 1)
#define TAKES_SHARE (1u << 2)
#define TAKES_ID (1u << 3)
#define TAKES_ADDRESSES (1u << 4)
#define TAKES_BASE (1u << 5)
#define TAKES_COORDINATORS (1u << 6)
#define TAKES_DISPATCHERS (1u << 7)
#define TAKES_CHANGE (TAKES_BASE | TAKES_COORDINATORS)

/* ---- Types --------------------------------------------------------- */

struct verb {
	const char *noun;
	const char *action; /* NULL: the verb has no action */
	enum operator_verb verb;
	unsigned int takes;
	const char *help;
};

/* The arguments of one verb; arguments that it doesn't take are NULL. */
struct arguments {
	struct arg_str *name;
	struct arg_str *id;
	struct arg_str *target;
	struct arg_str *percentile;
	struct arg_lit *idempotent;
	struct arg_str *share;
	struct arg_str *address;
	struct arg_str *admin_address;
	struct arg_str *base;
	struct arg_str *servers;
	struct arg_str *timeout;
	struct arg_lit *html;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
	void *table[16];
	int n;
};

/* ---- Module state -------------------------------------------------- */

static const struct verb verbs[] = {
	{ "class", "set", VERB_CLASS_SET,
	  TAKES_NAME | TAKES_CLASS | TAKES_CHANGE,
	  "creates a class of work or changes its target" },
	{ "class", "list", VERB_CLASS_LIST, TAKES_COORDINATORS,
	  "lists the classes" },
	{ "class", "remove", VERB_CLASS_REMOVE, TAKES_NAME | TAKES_CHANGE,
	  "removes a class" },
	{ "data-centre", "out", VERB_DATA_CENTRE_OUT, TAKES_NAME | TAKES_CHANGE,
	  "takes a data centre out of service" },
	{ "data-centre", "in", VERB_DATA_CENTRE_IN, TAKES_NAME | TAKES_CHANGE,
	  "takes a data centre into service" },
	{ "data-centre", "list", VERB_DATA_CENTRE_LIST, TAKES_COORDINATORS,
	  "lists the data centres that were ever taken out or in" },
	{ "team", "set", VERB_TEAM_SET, TAKES_NAME | TAKES_SHARE | TAKES_CHANGE,
	  "sets a team's share of capacity" },
	{ "team", "list", VERB_TEAM_LIST, TAKES_COORDINATORS,
	  "lists the teams" },
	{ "team", "remove", VERB_TEAM_REMOVE, TAKES_NAME | TAKES_CHANGE,
	  "removes a team" },
	{ "member", "add", VERB_MEMBER_ADD,
	  TAKES_ID | TAKES_ADDRESSES | TAKES_CHANGE,
	  "adds a coordinator that was started with --join" },
	{ "member", "remove", VERB_MEMBER_REMOVE, TAKES_ID | TAKES_CHANGE,
	  "removes a coordinator for good" },
	{ "member", "list", VERB_MEMBER_LIST, TAKES_COORDINATORS,
	  "lists the coordinators" },
	{ "status", NULL, VERB_STATUS, TAKES_COORDINATORS,
	  "shows the leader, members and who holds a lease" },
	{ "burn", NULL, VERB_BURN, TAKES_DISPATCHERS,
	  "reports how the classes' error budgets burn" },
	{ "settings", NULL, VERB_SETTINGS, 0, "lists every setting" },
};

/* ---- Argument table ------------------------------------------------ */

static void *add(struct arguments *a, void *argument)
{
	a->table[a->n++] = argument;
	return argument;
}

static void add_change_arguments(struct arguments *a, unsigned int takes)
{
	if (takes & TAKES_NAME)
		a->name = add(a, arg_str1(NULL, NULL, "NAME", "its name"));
	if (takes & TAKES_ID)
		a->id = add(a, arg_str1(NULL, NULL, "ID",
					"member number, never used twice"));
	if (takes & TAKES_CLASS) {
		a->target = add(a, arg_str1(NULL, "target-ms", "N",
					    "answer within this, 1..3600000"));
		a->percentile =
			add(a, arg_str1(NULL, "percentile", "P",
					"for this part of jobs, 1..99.999 %"));
		a->idempotent = add(a, arg_lit0(NULL, "idempotent",
						"a task may run twice"));
	}
	if (takes & TAKES_SHARE)
		a->share = add(a, arg_str1(NULL, "share-milli", "N",
					   "thousandths of capacity, 1..1000"));
	if (takes & TAKES_ADDRESSES) {
		a->address = add(a, arg_str1(NULL, "address", "IP:PORT",
					     "its --listen"));
		a->admin_address = add(a, arg_str1(NULL, "admin-address",
						   "IP:PORT", "its --admin"));
	}
	if (takes & TAKES_BASE)
		a->base = add(a, arg_str0(NULL, "base-revision", "N",
					  "refuse if changed since"));
}

static void add_arguments(struct arguments *a, unsigned int takes)
{
	memset(a, 0, sizeof(*a));
	add_change_arguments(a, takes);
	if (takes & TAKES_COORDINATORS)
		a->servers =
			add(a, arg_str0(NULL, "coordinators", "IP:PORT,...",
					"admin addresses; "
					"or " COORDINATORS_VARIABLE));
	if (takes & TAKES_DISPATCHERS) {
		a->servers = add(a, arg_str0(NULL, "dispatchers", "IP:PORT,...",
					     "admin addresses; "
					     "or " DISPATCHERS_VARIABLE));
		a->html = add(a, arg_lit0(NULL, "html", "a page with plots"));
	}
	if (a->servers)
		a->timeout = add(a, arg_str0(NULL, "timeout-ms", "N",
					     "longest wait, default 10000"));
	a->json = add(a, arg_lit0(NULL, "json", "print JSON"));
	a->help = add(a, arg_lit0(NULL, "help", "print this"));
	a->end = add(a, arg_end(ERRORS_MAX));
}

/* argtable2 prints only to a FILE, hence the memory stream. */
static void print_help(const struct verb *verb, struct arguments *a,
		       GString *text)
{
	char *buffer = NULL;
	size_t size = 0;
	FILE *stream = open_memstream(&buffer, &size);

	if (!stream)
		return;
	fprintf(stream, "usage: chervilferry %s%s%s", verb->noun,
		verb->action ? " " : "", verb->action ? verb->action : "");
	arg_print_syntax(stream, a->table, "\n");
	fprintf(stream, "%s\n\n", verb->help);
	arg_print_glossary(stream, a->table, "  %-28s %s\n");
	fprintf(stream, "\nexit status: 0 done, 1 refused or failed, "
			"2 bad use\n");
	fclose(stream);
	g_string_append(text, buffer);
	free(buffer);
}

static void print_errors(const struct arguments *a, GString *text)
{
	char *buffer = NULL;
	size_t size = 0;
	FILE *stream = open_memstream(&buffer, &size);

	if (!stream)
		return;
	arg_print_errors(stream, a->end, "chervilferry");
	fclose(stream);
	g_string_append(text, buffer);
	free(buffer);
}

/* ---- Values -------------------------------------------------------- */

static void fault(GString *text, const char *name, const char *what)
{
	g_string_append_printf(text, "%s: %s\n", name, what);
}

static uint64_t read_number(const struct arg_str *arg, const char *name,
			    uint64_t min, uint64_t max, uint64_t default_value,
			    GString *text)
{
	guint64 number = 0;

	if (!arg || !arg->count)
		return default_value;
	if (!g_ascii_string_to_unsigned(arg->sval[0], 10, min, max, &number,
					NULL))
		g_string_append_printf(text,
				       "%s: must be a whole number of "
				       "%" G_GUINT64_FORMAT
				       "..%" G_GUINT64_FORMAT "\n",
				       name, min, max);
	return number;
}

static uint32_t read_percentile(const struct arg_str *arg, GString *text)
{
	char *end = NULL;
	double percentile;

	if (!arg || !arg->count)
		return 0;
	percentile = g_ascii_strtod(arg->sval[0], &end);
	if (end == arg->sval[0] || *end || !(percentile >= PERCENTILE_MIN) ||
	    !(percentile <= PERCENTILE_MAX)) {
		fault(text, "--percentile", "must be 1..99.999");
		return 0;
	}
	return (uint32_t)(percentile * 1000 + 0.5);
}

static void read_name(const struct arg_str *arg, char name[CF_NAME_SIZE],
		      GString *text)
{
	if (!arg || !arg->count)
		return;
	if (!*arg->sval[0] || strlen(arg->sval[0]) >= CF_NAME_SIZE ||
	    !g_str_is_ascii(arg->sval[0]))
		fault(text, "NAME",
		      "must be 1..63 letters, digits, '-', '_' or '.'");
	else
		g_strlcpy(name, arg->sval[0], CF_NAME_SIZE);
}

static bool is_address(const char *address)
{
	char host[ADDRESS_HOST_SIZE];
	uint16_t port;

	return strlen(address) < CF_NAME_SIZE &&
	       address_parse(address, host, &port) && port;
}

static void read_address(const struct arg_str *arg, const char *name,
			 char address[CF_NAME_SIZE], GString *text)
{
	if (!arg || !arg->count)
		return;
	if (is_address(arg->sval[0]))
		g_strlcpy(address, arg->sval[0], CF_NAME_SIZE);
	else
		fault(text, name, "must be ip:port");
}

static char **read_servers(const struct arg_str *arg, const char *flag,
			   const char *variable, GString *text)
{
	const char *list = arg->count ? arg->sval[0] : g_getenv(variable);
	char **servers;

	if (!list || !*list) {
		g_string_append_printf(text, "%s: required unless %s is set\n",
				       flag, variable);
		return NULL;
	}
	servers = g_strsplit(list, ",", -1);
	for (char **server = servers; *server; server++) {
		if (!is_address(*server)) {
			fault(text, flag, "must be ip:port,...");
			break;
		}
	}
	return servers;
}

static void read_arguments(const struct verb *verb, const struct arguments *a,
			   struct operator_request *r, GString *text)
{
	bool burn = verb->takes & TAKES_DISPATCHERS;

	r->verb = verb->verb;
	r->json = a->json->count > 0;
	r->html = a->html && a->html->count > 0;
	r->idempotent = a->idempotent && a->idempotent->count > 0;
	read_name(a->name, r->name, text);
	r->member_id =
		(uint32_t)read_number(a->id, "ID", 1, MEMBER_ID_MAX, 0, text);
	r->target_ms = (uint32_t)read_number(a->target, "--target-ms", 1,
					     TARGET_MAX_MS, 0, text);
	r->percentile_milli = read_percentile(a->percentile, text);
	r->share_milli = (uint32_t)read_number(a->share, "--share-milli", 1,
					       SHARE_MAX_MILLI, 0, text);
	read_address(a->address, "--address", r->address, text);
	read_address(a->admin_address, "--admin-address", r->admin_address,
		     text);
	r->base_revision =
		read_number(a->base, "--base-revision", 0, INT64_MAX, 0, text);
	r->timeout_ms = (int64_t)read_number(a->timeout, "--timeout-ms", 1,
					     TIMEOUT_MAX_MS, TIMEOUT_MS, text);
	if (a->servers)
		r->servers = read_servers(
			a->servers, burn ? "--dispatchers" : "--coordinators",
			burn ? DISPATCHERS_VARIABLE : COORDINATORS_VARIABLE,
			text);
}

/* ---- Parsing ------------------------------------------------------- */

static void list_verbs(const char *noun, GString *text)
{
	bool known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++)
		known |= strcmp(verbs[i].noun, noun) == 0;
	g_string_append(text, "usage:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
		const struct verb *verb = &verbs[i];

		if (known && strcmp(verb->noun, noun) != 0)
			continue;
		g_string_append_printf(text, "  chervilferry %s%s%s ...  %s\n",
				       verb->noun, verb->action ? " " : "",
				       verb->action ? verb->action : "",
				       verb->help);
	}
}

static const struct verb *find_verb(int argc, char **argv)
{
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (strcmp(verbs[i].noun, argv[0]) != 0)
			continue;
		if (!verbs[i].action ||
		    (argc > 1 && strcmp(verbs[i].action, argv[1]) == 0))
			return &verbs[i];
	}
	return NULL;
}

enum operator_parse operator_parse(int argc, char **argv,
				   struct operator_request *request,
				   GString *text)
{
	const struct verb *verb = find_verb(argc, argv);
	enum operator_parse outcome = OPERATOR_RUN;
	struct arguments a;
	int skip;
	int errors;

	memset(request, 0, sizeof(*request));
	if (!verb) {
		list_verbs(argv[0], text);
		return argc > 1 && strcmp(argv[1], "--help") == 0
			       ? OPERATOR_HELP
			       : OPERATOR_USAGE_ERROR;
	}
	skip = verb->action ? 1 : 0;
	add_arguments(&a, verb->takes);
	errors = arg_parse(argc - skip, argv + skip, a.table);
	if (a.help->count) {
		print_help(verb, &a, text);
		outcome = OPERATOR_HELP;
	} else if (errors) {
		print_errors(&a, text);
		outcome = OPERATOR_USAGE_ERROR;
	} else {
		read_arguments(verb, &a, request, text);
		if (text->len)
			outcome = OPERATOR_USAGE_ERROR;
	}
	arg_freetable(a.table, (size_t)a.n);
	return outcome;
}

void operator_request_clear(struct operator_request *request)
{
	g_strfreev(request->servers);
	request->servers = NULL;
}
