/*
 * coordinators: see coordinators.h.
 */
#include "support/coordinators.h"

#include "base/clock.h"
#include "verbs/operator.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#define POLL_US 20000

/* ---- A group of coordinators --------------------------------------- */

/* Ports chosen by the system. The sockets stay open until all ports are
 * known, so that no port is returned twice. */
static void choose_ports(uint16_t *ports, size_t n)
{
	int sockets[2 * FIXTURE_NODES_MAX];

	for (size_t i = 0; i < n; i++) {
		struct sockaddr_in address = { .sin_family = AF_INET };
		socklen_t size = sizeof(address);

		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		sockets[i] = socket(AF_INET, SOCK_STREAM, 0);
		assert_int_equal(bind(sockets[i], (struct sockaddr *)&address,
				      sizeof(address)),
				 0);
		getsockname(sockets[i], (struct sockaddr *)&address, &size);
		ports[i] = ntohs(address.sin_port);
	}
	for (size_t i = 0; i < n; i++)
		close(sockets[i]);
}

void fixture_start(struct group_fixture *c, size_t i, bool join)
{
	struct node *node = &c->nodes[i];
	g_autoptr(GString) errors = g_string_new(NULL);
	g_autoptr(GError) error = NULL;
	g_autofree char *id = g_strdup_printf("%zu", i + 1);
	g_autofree char *listen = g_strdup_printf("127.0.0.1:%u", node->port);
	char *argv[] = { "coordinator",
			 "--id",
			 id,
			 "--data",
			 node->folder,
			 "--listen",
			 listen,
			 "--admin",
			 node->admin,
			 join ? "--join" : "--first-members",
			 join ? c->join : c->first_members,
			 NULL };

	node->settings = settings_parse(FOR_COORDINATOR, G_N_ELEMENTS(argv) - 1,
					argv, errors);
	if (!node->settings)
		fail_msg("%s", errors->str);
	node->coordinator = coordinator_start(node->settings, &error);
	if (!node->coordinator)
		fail_msg("%s", error->message);
}

void fixture_stop(struct group_fixture *c, size_t i)
{
	struct node *node = &c->nodes[i];

	if (!node->coordinator)
		return;
	coordinator_stop(node->coordinator);
	settings_destroy(node->settings);
	node->coordinator = NULL;
}

void fixture_prepare(struct group_fixture *c, size_t n_first)
{
	GString *first = g_string_new(NULL);
	uint16_t ports[2 * FIXTURE_NODES_MAX];

	memset(c, 0, sizeof(*c));
	choose_ports(ports, G_N_ELEMENTS(ports));
	for (size_t i = 0; i < FIXTURE_NODES_MAX; i++) {
		struct node *node = &c->nodes[i];

		node->port = ports[2 * i];
		node->admin_port = ports[2 * i + 1];
		node->folder = g_dir_make_tmp("cf-test-XXXXXX", NULL);
		g_snprintf(node->admin, sizeof(node->admin), "127.0.0.1:%u",
			   node->admin_port);
		if (i < n_first) {
			c->servers[i] = node->admin;
			g_string_append_printf(first, "%s%zu=127.0.0.1:%u/%s",
					       i ? "," : "", i + 1, node->port,
					       node->admin);
		}
	}
	c->first_members = g_string_free(first, FALSE);
	c->join = g_strdup_printf("127.0.0.1:%u,127.0.0.1:%u", c->nodes[0].port,
				  c->nodes[1].port);
}

void fixture_empty_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		unlink(path);
	}
	if (dir)
		g_dir_close(dir);
}

void fixture_clear(struct group_fixture *c)
{
	for (size_t i = 0; i < FIXTURE_NODES_MAX; i++) {
		fixture_stop(c, i);
		fixture_empty_folder(c->nodes[i].folder);
		rmdir(c->nodes[i].folder);
		g_free(c->nodes[i].folder);
	}
	g_free(c->first_members);
	g_free(c->join);
}

/* ---- Requests ------------------------------------------------------ */

json_t *fixture_request(struct group_fixture *c, const char *method,
			const char *path, const char *body, uint32_t expected)
{
	struct operator_request request = { .timeout_ms = FIXTURE_WAIT_MS,
					    .servers = c->servers };
	json_t *answer = NULL;
	const char *why = NULL;
	uint32_t status = operator_send_request(&request, method, path, body,
						&answer, &why);

	if (status != expected)
		fail_msg("%s %s: status %u, expected %u: %s", method, path,
			 status, expected, why);
	return answer;
}

json_int_t fixture_set_class(struct group_fixture *c, const char *id,
			     uint32_t target, uint64_t base, uint32_t expected)
{
	struct operator_request r = { .verb = VERB_CLASS_SET,
				      .name = "a",
				      .target_ms = target,
				      .percentile_milli = 99000,
				      .base_revision = base };
	g_autofree char *body = operator_command_body(&r, id);
	json_t *answer =
		fixture_request(c, "POST", "/v1/commands", body, expected);
	json_int_t revision =
		json_integer_value(json_object_get(answer, "revision"));

	json_decref(answer);
	return revision;
}

json_int_t fixture_class_target(struct group_fixture *c)
{
	json_t *answer = fixture_request(c, "GET", "/v1/config", NULL, 200);
	json_t *first = json_array_get(json_object_get(answer, "classes"), 0);
	json_int_t target =
		json_integer_value(json_object_get(first, "target_ms"));

	json_decref(answer);
	return target;
}

json_int_t fixture_status(struct group_fixture *c, size_t i, const char *field)
{
	g_autofree char *text =
		operator_get_text(c->nodes[i].admin, "/v1/status", 2000);
	json_t *json = text ? json_loads(text, 0, NULL) : NULL;
	json_int_t value =
		json ? json_integer_value(json_object_get(json, field)) : -1;

	if (json)
		json_decref(json);
	return value;
}

void fixture_wait_revision(struct group_fixture *c, size_t i,
			   json_int_t revision)
{
	int64_t end_ms = clock_now_ms() + FIXTURE_WAIT_MS;

	while (fixture_status(c, i, "revision") < revision) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

size_t fixture_leader(struct group_fixture *c)
{
	int64_t end_ms = clock_now_ms() + FIXTURE_WAIT_MS;

	for (;;) {
		for (size_t i = 0; i < FIXTURE_NODES_MAX; i++) {
			if (c->nodes[i].coordinator &&
			    fixture_status(c, i, "leader") == (json_int_t)i + 1)
				return i;
		}
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

/* 1: the configuration lists the member as a voter; 0: as a non-voter;
 * -1: not at all. */
static int is_voter(struct group_fixture *c, json_int_t id)
{
	json_t *answer = fixture_request(c, "GET", "/v1/config", NULL, 200);
	int voter = -1;
	json_t *member;
	size_t i;

	json_array_foreach(json_object_get(answer, "members"), i, member)
	{
		if (json_integer_value(json_object_get(member, "id")) == id)
			voter = json_is_true(json_object_get(member, "voter"));
	}
	json_decref(answer);
	return voter;
}

void fixture_wait_voter(struct group_fixture *c, json_int_t id, int voter)
{
	int64_t end_ms = clock_now_ms() + FIXTURE_WAIT_MS;

	while (is_voter(c, id) != voter) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

static bool all_identities_known(struct group_fixture *c)
{
	g_autofree char *text = operator_get_text(
		c->nodes[fixture_leader(c)].admin, "/v1/status", 2000);
	json_t *json = text ? json_loads(text, 0, NULL) : NULL;
	json_t *members = json_object_get(json, "members");
	size_t known = 0;

	for (size_t i = 0; i < json_array_size(members); i++)
		known += json_is_true(json_object_get(
			json_array_get(members, i), "disk_known"));
	if (known != json_array_size(members))
		known = 0;
	if (json)
		json_decref(json);
	return known > 0;
}

void fixture_wait_identities(struct group_fixture *c)
{
	int64_t end_ms = clock_now_ms() + FIXTURE_WAIT_MS;

	while (!all_identities_known(c)) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}
