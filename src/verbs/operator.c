/*
 * operator: runs the operators' verbs. Exit status: 0 success, 1 refused
 * or failed (the reason is on standard error), 2 usage error.
 */
#include "verbs/operator.h"

#include "base/clock.h"
#include "base/settings.h"
#include "roles/role.h"

#include <stdio.h>

/* ---- Constants ----------------------------------------------------- */

#define EXIT_DONE 0
#define EXIT_REFUSED 1
#define EXIT_USAGE_ERROR 2
#define HTTP_OK_STATUS 200
#define BURN_TIMEOUT_MS 3000

/* ---- Output -------------------------------------------------------- */

static int print_refusal(uint32_t status, const json_t *answer, const char *why)
{
	const char *reason =
		json_string_value(json_object_get(answer, "reason"));
	const char *message =
		json_string_value(json_object_get(answer, "message"));

	if (!status)
		fprintf(stderr, "chervilferry: failed: %s\n", why);
	else
		fprintf(stderr, "chervilferry: %s: %s\n",
			reason ? reason : "refused", message ? message : "");
	return EXIT_REFUSED;
}

static void print_json(const json_t *answer)
{
	json_dumpf(answer, stdout, JSON_INDENT(2));
	printf("\n");
}

static int finish(const struct operator_request *request, uint32_t status,
		  json_t *answer, const char *why)
{
	g_autoptr(GString) out = g_string_new(NULL);
	int code = EXIT_DONE;

	if (request->json && answer) {
		print_json(answer);
	} else if (status == HTTP_OK_STATUS) {
		operator_print(request->verb, answer, out);
		fputs(out->str, stdout);
	}
	if (status != HTTP_OK_STATUS)
		code = print_refusal(status, answer, why);
	if (answer)
		json_decref(answer);
	return code;
}

/* ---- Verbs --------------------------------------------------------- */

static int run_change(const struct operator_request *request)
{
	char id[COMMAND_ID_TEXT_SIZE];
	g_autofree char *body = NULL;
	json_t *answer = NULL;
	const char *why = NULL;
	uint32_t status;

	g_snprintf(id, sizeof(id),
		   "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
		   clock_random(), clock_random());
	body = operator_command_body(request, id);
	status = operator_send_request(request, "POST", "/v1/commands", body,
				       &answer, &why);
	return finish(request, status, answer, why);
}

static int run_list(const struct operator_request *request)
{
	json_t *answer = NULL;
	const char *why = NULL;
	uint32_t status = operator_send_request(request, "GET", "/v1/config",
						NULL, &answer, &why);

	return finish(request, status, answer, why);
}

/* Prefers the leader's status, which is the most complete. Without a
 * leader, prints the status of the coordinator that answered. */
static int run_status(const struct operator_request *request)
{
	json_t *answer = NULL;
	const char *why = NULL;
	uint32_t status = operator_send_request(request, "GET", "/v1/status",
						NULL, &answer, &why);
	const char *leader =
		json_string_value(json_object_get(answer, "leader_admin"));
	g_autofree char *text = NULL;
	json_t *leader_answer;

	if (leader && *leader)
		text = operator_get_text(leader, "/v1/status",
					 request->timeout_ms);
	leader_answer = text ? json_loads(text, 0, NULL) : NULL;
	if (leader_answer) {
		json_decref(answer);
		answer = leader_answer;
	}
	return finish(request, status, answer, why);
}

static int run_burn(const struct operator_request *request)
{
	const char *path = request->html   ? "/v1/burn?format=html"
			   : request->json ? "/v1/burn?format=json"
					   : "/v1/burn?format=text";
	int code = EXIT_DONE;

	for (char **server = request->servers; *server; server++) {
		g_autofree char *text = operator_get_text(
			*server, path,
			MIN(request->timeout_ms, BURN_TIMEOUT_MS));

		if (!text) {
			fprintf(stderr,
				"chervilferry: failed: dispatcher %s "
				"did not answer\n",
				*server);
			code = EXIT_REFUSED;
			continue;
		}
		if (!request->json && !request->html)
			printf("dispatcher %s\n", *server);
		printf("%s\n", text);
	}
	return code;
}

static int run_settings(const struct operator_request *request)
{
	g_autoptr(GString) out = g_string_new(NULL);

	settings_print_table(out, request->json);
	fputs(out->str, stdout);
	return EXIT_DONE;
}

static int run(const struct operator_request *request)
{
	switch (request->verb) {
	case VERB_CLASS_LIST:
	case VERB_DATA_CENTRE_LIST:
	case VERB_TEAM_LIST:
	case VERB_MEMBER_LIST:
		return run_list(request);
	case VERB_STATUS:
		return run_status(request);
	case VERB_BURN:
		return run_burn(request);
	case VERB_SETTINGS:
		return run_settings(request);
	default:
		return run_change(request);
	}
}

int operator_main(int argc, char **argv)
{
	g_autoptr(GString) text = g_string_new(NULL);
	struct operator_request request;
	int code = EXIT_DONE;

	switch (operator_parse(argc, argv, &request, text)) {
	case OPERATOR_HELP:
		fputs(text->str, stdout);
		break;
	case OPERATOR_USAGE_ERROR:
		fputs(text->str, stderr);
		code = EXIT_USAGE_ERROR;
		break;
	case OPERATOR_RUN:
		code = run(&request);
		break;
	}
	operator_request_clear(&request);
	return code;
}
