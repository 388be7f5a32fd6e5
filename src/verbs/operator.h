/*
 * operator: what the files of the operators' verbs share.
 */
#ifndef ROLES_OPERATOR_H
#define ROLES_OPERATOR_H

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

/* What the command line asked for. */
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
	uint64_t base_revision; /* 0: whatever is in force */
	int64_t timeout_ms;
	bool json;
	bool html;
	char **servers; /* admin addresses to ask, NULL-ended */
};

enum operator_parse {
	OPERATOR_RUN,
	OPERATOR_HELP, /* text holds it */
	OPERATOR_USAGE_ERROR, /* text says what is wrong */
};

/* ---- Command line (operator_args.c) --------------------------------- */

/* argv[0] is the verb; text gets help or every fault, a line each. */
enum operator_parse operator_parse(int argc, char **argv,
				   struct operator_request *request,
				   GString *text);
void operator_request_clear(struct operator_request *request);

/* ---- Requests (operator_client.c) ----------------------------------- */

/* The body of POST /v1/commands; free with g_free. */
char *operator_command_body(const struct operator_request *request,
			    const char *command_id);
/* Sends to any of the servers, follows the leader, and sends again until
 * an answer comes or the time is over. Returns the HTTP status, and the
 * answer's JSON in *answer (to be released, or NULL); 0: none came, and
 * *why says so (static). */
uint32_t operator_send_request(const struct operator_request *request,
			       const char *method, const char *path,
			       const char *body, json_t **answer,
			       const char **why);
/* Where a 421 sends the request: the leader's address, or NULL. */
const char *operator_redirect(uint32_t status, const json_t *answer);
/* One request to one server, its answer as text; NULL: none. */
char *operator_get_text(const char *server, const char *path,
			int64_t timeout_ms);

/* ---- Output (operator_print.c) -------------------------------------- */

/* What a list verb or status prints as text, from the server's JSON. */
void operator_print(enum operator_verb verb, const json_t *answer,
		    GString *out);

#endif
