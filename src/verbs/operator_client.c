/*
 * operator_client: sends requests to the coordinators. All retries of a
 * change carry the same command id, so a change is applied once even if
 * its response was lost.
 */
#include "verbs/operator.h"

#include "base/clock.h"
#include "net/http_client.h"

#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define CALL_TIMEOUT_MS 3000
#define RETRY_DELAY_US 100000UL
#define HTTP_MISDIRECTED 421
#define HTTP_UNKNOWN_END 504 /* the coordinator ended */
#define HTTP_UNAVAILABLE 503

/* ---- Bodies -------------------------------------------------------- */

static json_t *build_change(const struct operator_request *r)
{
	switch (r->verb) {
	case VERB_CLASS_SET:
		return json_pack("{s:{s:s,s:I,s:I,s:b}}", "class_set", "name",
				 r->name, "target_ms", (json_int_t)r->target_ms,
				 "percentile_milli",
				 (json_int_t)r->percentile_milli, "idempotent",
				 (int)r->idempotent);
	case VERB_CLASS_REMOVE:
		return json_pack("{s:s}", "class_remove", r->name);
	case VERB_DATA_CENTRE_OUT:
	case VERB_DATA_CENTRE_IN:
		return json_pack("{s:{s:s,s:b}}", "data_centre_set", "name",
				 r->name, "in_service",
				 r->verb == VERB_DATA_CENTRE_IN);
	case VERB_TEAM_SET:
		return json_pack("{s:{s:s,s:I}}", "team_set", "name", r->name,
				 "share_milli", (json_int_t)r->share_milli);
	case VERB_TEAM_REMOVE:
		return json_pack("{s:s}", "team_remove", r->name);
	case VERB_MEMBER_ADD:
		return json_pack("{s:{s:I,s:s,s:s}}", "member_add", "id",
				 (json_int_t)r->member_id, "address",
				 r->address, "admin_address", r->admin_address);
	case VERB_MEMBER_REMOVE:
		return json_pack("{s:I}", "member_remove",
				 (json_int_t)r->member_id);
	default:
		return NULL;
	}
}

char *operator_command_body(const struct operator_request *request,
			    const char *command_id)
{
	json_t *change = build_change(request);
	json_t *body;
	char *text;
	char *copy;

	if (!change)
		return NULL;
	body = json_pack("{s:s,s:I,s:o}", "command_id", command_id,
			 "base_revision", (json_int_t)request->base_revision,
			 "change", change);
	text = json_dumps(body, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(body);
	return copy;
}

/* ---- Calls --------------------------------------------------------- */

static void call(const char *server, const char *method, const char *path,
		 const char *body, int64_t timeout_ms,
		 struct http_answer *answer)
{
	static const char *const json_type[] = {
		"Content-Type: application/json", NULL
	};
	g_autofree char *url = g_strdup_printf("http://%s%s", server, path);
	struct http_call c = { .method = method,
			       .url = url,
			       .body = body,
			       .size_bytes = body ? strlen(body) : 0,
			       .headers = body ? json_type : NULL,
			       .timeout_ms = timeout_ms };

	memset(answer, 0, sizeof(*answer));
	http_call_now(&c, answer);
}

char *operator_get_text(const char *server, const char *path,
			int64_t timeout_ms)
{
	struct http_answer answer;
	char *text = NULL;

	call(server, "GET", path, NULL, timeout_ms, &answer);
	if (answer.result == HTTP_OK && answer.status == 200)
		text = g_strndup(answer.body ? answer.body : "",
				 answer.size_bytes);
	g_free((void *)answer.body);
	return text;
}

const char *operator_redirect(uint32_t status, const json_t *answer)
{
	if (status != HTTP_MISDIRECTED)
		return NULL;
	return json_string_value(json_object_get(answer, "leader_admin"));
}

/* One attempt at one server. Returns 0 if it sent no JSON response. */
static uint32_t try_server(const char *server, const char *method,
			   const char *path, const char *body,
			   int64_t timeout_ms, json_t **answer)
{
	struct http_answer got;
	uint32_t status = 0;

	*answer = NULL;
	call(server, method, path, body, timeout_ms, &got);
	if (got.result == HTTP_OK && got.body)
		*answer = json_loadb(got.body, got.size_bytes, 0, NULL);
	if (*answer)
		status = got.status;
	g_free((void *)got.body);
	return status;
}

/* Commands carry an id, so one that may have been applied can be sent again. */
static bool is_worth_another(uint32_t status)
{
	return status == HTTP_MISDIRECTED || status == HTTP_UNAVAILABLE ||
	       status == HTTP_UNKNOWN_END;
}

uint32_t operator_send_request(const struct operator_request *request,
			       const char *method, const char *path,
			       const char *body, json_t **answer,
			       const char **why)
{
	int64_t end_ms = clock_now_ms() + request->timeout_ms;
	g_autofree char *leader = NULL;
	size_t next = 0;

	*why = "no coordinator answered in time; a change may have been "
	       "applied";
	for (;;) {
		int64_t left_ms = end_ms - clock_now_ms();
		const char *server = leader ? leader : request->servers[next];
		uint32_t status;
		char *redirect;

		if (left_ms <= 0)
			return 0;
		status = try_server(server, method, path, body,
				    MIN(left_ms, CALL_TIMEOUT_MS), answer);
		if (status && !is_worth_another(status))
			return status;
		redirect = g_strdup(operator_redirect(status, *answer));
		if (*answer)
			json_decref(*answer);
		*answer = NULL;
		if (status)
			*why = "no coordinator is the leader; a change may "
			       "have been applied";
		if (!redirect || leader) {
			if (!request->servers[++next])
				next = 0;
			g_usleep(RETRY_DELAY_US);
		}
		g_free(leader);
		leader = redirect;
	}
}
