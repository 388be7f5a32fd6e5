/*
 * operator: interface between the files of the operators' verbs.
 */
#ifndef VERBS_OPERATOR_H
#define VERBS_OPERATOR_H

#include "chervilferry.h"
#include "verbs/command_json.h"

#include <glib.h>

enum operator_verb {
	VERB_CLASS_SET,
	VERB_CLASS_LIST,
	VERB_CLASS_REMOVE,
	VERB_DATA_CENTRE_OUT,
	VERB_DATA_CENTRE_IN,
	VERB_DATA_CENTRE_LIST,
	VERB_TEAM_SET,
	VERB_TEAM_LIST,
	VERB_TEAM_REMOVE,
	VERB_MEMBER_ADD,
	VERB_MEMBER_REMOVE,
	VERB_MEMBER_LIST,
	VERB_STATUS,
	VERB_BURN,
	VERB_SETTINGS,
};

/* The parsed command line. */
struct operator_request {
	enum operator_verb verb;
	char name[CF_NAME_SIZE];
	uint32_t target_ms;
	uint32_t percentile_milli;
	bool idempotent;
	uint32_t share_milli;
	uint32_t member_id;
	char address[CF_NAME_SIZE];
	char admin_address[CF_NAME_SIZE];
	uint64_t base_revision; /* 0: apply to any revision */
	int64_t timeout_ms;
	bool json;
	bool html;
	char **servers; /* admin addresses, NULL-terminated */
};

enum operator_parse {
	OPERATOR_RUN,
	OPERATOR_HELP, /* text holds the help */
	OPERATOR_USAGE_ERROR, /* text holds the errors */
};

/* ---- Command line (operator_args.c) --------------------------------- */

/* argv[0] is the verb. Writes the help, or one line per error, to text. */
enum operator_parse operator_parse(int argc, char **argv,
				   struct operator_request *request,
				   GString *text);
void operator_request_clear(struct operator_request *request);

/* ---- Requests (operator_client.c) ----------------------------------- */

/* The body of POST /v1/commands; free with g_free. */
char *operator_command_body(const struct operator_request *request,
			    const char *command_id);
/* Sends a request to any of the servers, follows redirects to the leader,
 * and retries until a server answers or the timeout expires. Returns the
 * HTTP status and, in *answer, the JSON of the response (or NULL), which
 * the caller releases. Returns 0 if no server answered; *why is then a
 * static string that gives the reason. */
uint32_t operator_send_request(const struct operator_request *request,
			       const char *method, const char *path,
			       const char *body, json_t **answer,
			       const char **why);
/* The leader's admin address in a 421 response, or NULL. */
const char *operator_redirect(uint32_t status, const json_t *answer);
/* Sends one GET to one server. Returns the response body, or NULL. */
char *operator_get_text(const char *server, const char *path,
			int64_t timeout_ms);

/* ---- Output (operator_print.c) -------------------------------------- */

/* Formats the server's JSON as the text output of a list verb or status. */
void operator_print(enum operator_verb verb, const json_t *answer,
		    GString *out);

#endif
