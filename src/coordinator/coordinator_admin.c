/*
 * coordinator_admin: the coordinator's HTTP admin interface. Requests
 * arrive on server threads and are processed on the loop.
 */
#include "coordinator/coordinator.h"

#include "base/clock.h"
#include "verbs/command_json.h"

/* ---- Constants ----------------------------------------------------- */

#define READ_TIMEOUT_MS 3000
#define HTTP_OK_STATUS 200
#define HTTP_REDIRECT 307
#define ADMIN_PATH_PREFIX "/v1/"
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_MISDIRECTED 421
#define HTTP_UNAVAILABLE 503

/* ---- Types --------------------------------------------------------- */

struct posted_request {
	struct coordinator *coordinator;
	struct http_request *request;
	GBytes *command; /* or NULL */
};

/* ---- Answers ------------------------------------------------------- */

void coordinator_answer_command(struct http_request *request,
				const struct cf_command_result *result)
{
	static const uint32_t statuses[] = {
		[CF_COMMAND_DONE] = HTTP_OK_STATUS,
		[CF_COMMAND_CONFLICT] = HTTP_CONFLICT,
		[CF_COMMAND_INVALID] = HTTP_BAD_REQUEST,
		[CF_COMMAND_NOT_FOUND] = HTTP_NOT_FOUND,
	};
	const char *name = command_status_name(result->status);
	json_int_t revision = (json_int_t)result->revision;
	json_t *json;

	if (result->status == CF_COMMAND_DONE)
		json = json_pack("{s:s,s:I}", "status", name, "revision",
				 revision);
	else
		json = json_pack("{s:s,s:s,s:s,s:I}", "status", name, "reason",
				 name, "message", result->message, "revision",
				 revision);
	http_reply_json(request, statuses[result->status], json);
}

/* Clients of the control interface follow redirects. */
static void redirect(struct http_request *request, const char *address)
{
	g_autofree char *location = g_strdup_printf(
		"Location: http://%s%s", address, http_path(request));
	const char *headers[] = { location, NULL };

	http_reply(request, HTTP_REDIRECT, NULL, NULL, 0, headers);
}

/* Control interface: redirects to the leader. Admin interface: replies 421
 * with the leader's address. Both: 503 if the leader is unknown or is this
 * member. */
void coordinator_answer_not_leader(struct coordinator *c,
				   struct http_request *request,
				   const char *why)
{
	uint32_t leader = c->group ? group_leader(c->group) : 0;
	const char *address =
		leader && leader != c->id
			? coordinator_member_address(c, leader, true)
			: NULL;
	json_t *json;

	if (address &&
	    !g_str_has_prefix(http_path(request), ADMIN_PATH_PREFIX)) {
		redirect(request, address);
		return;
	}
	json = json_pack("{s:s,s:s}", "reason", "not_leader", "message", why);
	if (address)
		json_object_set_new(json, "leader_admin", json_string(address));
	http_reply_json(request, address ? HTTP_MISDIRECTED : HTTP_UNAVAILABLE,
			json);
}

/* ---- Commands ------------------------------------------------------ */

static void run_command(void *arg)
{
	struct posted_request *posted_request = arg;
	struct coordinator *c = posted_request->coordinator;
	struct waiter waiter = { .request = posted_request->request };

	if (!coordinator_propose(c, posted_request->command, &waiter))
		coordinator_answer_not_leader(c, posted_request->request,
					      "this member does not lead");
	g_bytes_unref(posted_request->command);
	g_free(posted_request);
}

static void post_to_loop(struct coordinator *c, struct http_request *request,
			 GBytes *command, loop_fn *fn)
{
	struct posted_request *posted_request =
		g_new0(struct posted_request, 1);

	posted_request->coordinator = c;
	posted_request->request = request;
	posted_request->command = command;
	loop_post(c->loop, fn, posted_request);
}

static void post_command(void *arg, struct http_request *request)
{
	char fault[COMMAND_FAULT_SIZE];
	size_t size = 0;
	const void *body = http_body(request, &size);
	GBytes *command = command_from_json(body, size, fault);

	if (command)
		post_to_loop(arg, request, command, run_command);
	else
		http_reply_error(request, HTTP_BAD_REQUEST, "invalid", fault);
}

/* ---- Reads --------------------------------------------------------- */

static void run_read(void *arg)
{
	struct posted_request *posted_request = arg;
	struct coordinator *c = posted_request->coordinator;
	struct pending_read *read;

	if (c->leadership && !c->stopping) {
		read = g_new0(struct pending_read, 1);
		read->request = posted_request->request;
		read->arrived_ms = loop_now_ms(c->loop);
		g_ptr_array_add(c->reads, read);
	} else {
		coordinator_answer_not_leader(c, posted_request->request,
					      "this member does not lead");
	}
	g_free(posted_request);
}

static void get_config(void *arg, struct http_request *request)
{
	post_to_loop(arg, request, NULL, run_read);
}

static void answer_routes(const struct coordinator *c,
			  struct http_request *request)
{
	uint64_t version;
	GBytes *routes = cf_config_routes(c->config, &version);
	gsize size;
	const void *data;

	if (!routes) {
		http_reply_error(request, HTTP_UNAVAILABLE, "no_routes",
				 "no routes were set yet");
		return;
	}
	data = g_bytes_get_data(routes, &size);
	http_reply(request, HTTP_OK_STATUS, "application/json", data, size,
		   NULL);
}

/* A quorum that acknowledged this leader after the read arrived proves
 * that there was no other leader when the read arrived. */
void coordinator_answer_reads(struct coordinator *c, int64_t now_ms)
{
	for (guint i = c->reads->len; i-- > 0;) {
		struct pending_read *read = g_ptr_array_index(c->reads, i);

		if (group_quorum_ms(c->group) > read->arrived_ms &&
		    read->routes)
			answer_routes(c, read->request);
		else if (group_quorum_ms(c->group) > read->arrived_ms)
			http_reply_json(read->request, HTTP_OK_STATUS,
					config_to_json(c->config));
		else if (now_ms - read->arrived_ms > READ_TIMEOUT_MS)
			coordinator_answer_not_leader(c, read->request,
						      "no quorum was heard");
		else
			continue;
		g_ptr_array_remove_index(c->reads, i);
	}
}

void coordinator_fail_reads(struct coordinator *c, const char *why)
{
	for (guint i = 0; i < c->reads->len; i++) {
		struct pending_read *read = g_ptr_array_index(c->reads, i);

		coordinator_answer_not_leader(c, read->request, why);
	}
	g_ptr_array_set_size(c->reads, 0);
}

/* ---- Status -------------------------------------------------------- */

static json_t *members_status(const struct coordinator *c)
{
	const struct cf_member *members;
	size_t n = cf_config_members(c->config, &members);
	json_t *array = json_array();

	for (size_t i = 0; i < n; i++) {
		uint32_t id = members[i].id;
		json_t *member =
			json_pack("{s:I,s:s,s:s,s:b,s:b,s:b,s:b}", "id",
				  (json_int_t)id, "address", members[i].address,
				  "admin_address", members[i].admin_address,
				  "voter", (int)members[i].voter, "leaving",
				  (int)members[i].leaving, "disk_known",
				  (int)members[i].has_identity, "connected",
				  id == c->id || coordinator_link_to(c, id));

		if (c->leadership)
			json_object_set_new(
				member, "caught_up",
				json_boolean(id == c->id ||
					     group_caught_up(c->group, id)));
		json_array_append_new(array, member);
	}
	return array;
}

/* What another process told of itself may not be UTF-8, or was cut off within a
 * character. */
static json_t *told_text(const char *text)
{
	g_autofree char *valid = g_utf8_make_valid(text, -1);

	return json_string(valid);
}

static json_t *roster_status(const struct coordinator *c)
{
	json_t *array = json_array();
	GHashTableIter iter;
	gpointer value;

	if (!c->leadership)
		return array;
	g_hash_table_iter_init(&iter, c->leadership->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct holder *holder = value;
		bool agent = holder->role == CFW__ROLE__ROLE_AGENT;
		char incarnation[17];

		g_snprintf(incarnation, sizeof(incarnation),
			   "%016" G_GINT64_MODIFIER "x", holder->incarnation);
		json_array_append_new(
			array,
			json_pack("{s:o,s:s,s:s,s:o,s:o,s:o,s:b,s:I,s:I}",
				  "name", told_text(holder->name), "role",
				  agent ? "agent" : "dispatcher", "incarnation",
				  incarnation, "data_centre",
				  told_text(holder->data_centre), "rack",
				  told_text(holder->rack), "address",
				  told_text(holder->address), "draining",
				  (int)holder->draining, "slots",
				  (json_int_t)holder->capacity.slots, "age_ms",
				  (json_int_t)(loop_now_ms(c->loop) -
					       holder->renewed_ms)));
	}
	return array;
}

static json_t *status_to_json(const struct coordinator *c)
{
	uint32_t leader = group_leader(c->group);
	const char *leader_admin = coordinator_member_address(c, leader, true);
	json_t *json = json_pack(
		"{s:s,s:s,s:I,s:s,s:I,s:s,s:I,s:I,s:I,s:I,s:b,s:b,s:o,s:o}",
		"name", c->name, "role", c->leadership ? "leader" : "follower",
		"id", (json_int_t)c->id, "data_centre", c->data_centre,
		"leader", (json_int_t)leader, "leader_admin",
		leader_admin ? leader_admin : "", "term",
		(json_int_t)group_term(c->group), "commit",
		(json_int_t)group_commit(c->group), "applied",
		(json_int_t)group_applied(c->group), "revision",
		(json_int_t)cf_config_revision(c->config), "disk_healthy",
		(int)group_healthy(c->group), "roster_settled",
		(int)(c->leadership && c->leadership->settled), "members",
		members_status(c), "roster", roster_status(c));

	json_object_set_new(
		json, "votes_held",
		json_integer((json_int_t)cf_ledger_size(c->ledger)));
	return json;
}

static void run_status(void *arg)
{
	struct posted_request *posted_request = arg;
	struct coordinator *c = posted_request->coordinator;

	if (c->group) {
		http_reply_json(posted_request->request, HTTP_OK_STATUS,
				status_to_json(c));
	} else {
		coordinator_answer_not_leader(c, posted_request->request,
					      c->why_not_ready);
	}
	g_free(posted_request);
}

static void get_status(void *arg, struct http_request *request)
{
	post_to_loop(arg, request, NULL, run_status);
}

void coordinator_add_routes(struct coordinator *c)
{
	admin_route(c->admin, "POST", "/v1/commands", post_command, c);
	admin_route(c->admin, "GET", "/v1/config", get_config, c);
	admin_route(c->admin, "GET", "/v1/status", get_status, c);
}
