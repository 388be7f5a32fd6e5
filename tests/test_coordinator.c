/*
 * test_coordinator: coordinators on loopback, in this process: what an
 * accepted change outlives, how the leader is found, and how members
 * are added and removed. Every wait is for a condition.
 */
#include "base/clock.h"
#include "base/logger.h"
#include "base/settings.h"
#include "roles/coordinator.h"
#include "roles/operator.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#define NODES_MAX 4
#define WAIT_MS 30000
#define POLL_US 20000

/* ---- A group of coordinators --------------------------------------- */

struct node {
	uint16_t port, admin_port;
	char admin[CF_NAME_SIZE];
	char *folder;
	struct settings *settings;
	struct coordinator *coordinator;
};

struct cluster {
	struct node nodes[NODES_MAX];
	char *first_members;
	char *join;
	char *servers[NODES_MAX + 1];
};

/* Ports that the system chose; held until all are known. */
static void choose_ports(uint16_t *ports, size_t n)
{
	int sockets[2 * NODES_MAX];

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

static void start_node(struct cluster *c, size_t i, bool join)
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

static void stop_node(struct cluster *c, size_t i)
{
	struct node *node = &c->nodes[i];

	if (!node->coordinator)
		return;
	coordinator_stop(node->coordinator);
	settings_destroy(node->settings);
	node->coordinator = NULL;
}

static void prepare(struct cluster *c, size_t n_first)
{
	GString *first = g_string_new(NULL);
	uint16_t ports[2 * NODES_MAX];

	memset(c, 0, sizeof(*c));
	choose_ports(ports, G_N_ELEMENTS(ports));
	for (size_t i = 0; i < NODES_MAX; i++) {
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

static void remove_folder(char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		unlink(path);
	}
	if (dir)
		g_dir_close(dir);
	rmdir(folder);
	g_free(folder);
}

static void clear(struct cluster *c)
{
	for (size_t i = 0; i < NODES_MAX; i++) {
		stop_node(c, i);
		remove_folder(c->nodes[i].folder);
	}
	g_free(c->first_members);
	g_free(c->join);
}

/* ---- Requests ------------------------------------------------------ */

static json_t *ask(struct cluster *c, const char *method, const char *path,
		   const char *body, uint32_t expected)
{
	struct operator_request request = { .timeout_ms = WAIT_MS,
					    .servers = c->servers };
	json_t *answer = NULL;
	const char *why = NULL;
	uint32_t status =
		operator_ask(&request, method, path, body, &answer, &why);

	if (status != expected)
		fail_msg("%s %s: %u in place of %u, %s", method, path, status,
			 expected, why);
	return answer;
}

static json_int_t set_class(struct cluster *c, const char *id, uint32_t target,
			    uint64_t base, uint32_t expected)
{
	struct operator_request r = { .verb = VERB_CLASS_SET,
				      .name = "a",
				      .target_ms = target,
				      .percentile_milli = 99000,
				      .base_revision = base };
	g_autofree char *body = operator_command_body(&r, id);
	json_t *answer = ask(c, "POST", "/v1/commands", body, expected);
	json_int_t revision =
		json_integer_value(json_object_get(answer, "revision"));

	json_decref(answer);
	return revision;
}

static json_int_t class_target(struct cluster *c)
{
	json_t *answer = ask(c, "GET", "/v1/config", NULL, 200);
	json_t *first = json_array_get(json_object_get(answer, "classes"), 0);
	json_int_t target =
		json_integer_value(json_object_get(first, "target_ms"));

	json_decref(answer);
	return target;
}

/* A number of one node's own status; -1: it does not answer. */
static json_int_t status_of(struct cluster *c, size_t i, const char *field)
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

static void wait_for_revision(struct cluster *c, size_t i, json_int_t revision)
{
	int64_t end_ms = clock_now_ms() + WAIT_MS;

	while (status_of(c, i, "revision") < revision) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

static size_t find_leader(struct cluster *c)
{
	int64_t end_ms = clock_now_ms() + WAIT_MS;

	for (;;) {
		for (size_t i = 0; i < NODES_MAX; i++) {
			if (c->nodes[i].coordinator &&
			    status_of(c, i, "leader") == (json_int_t)i + 1)
				return i;
		}
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

/* Whether the configuration lists a member as a voter; -1: not at all. */
static int is_voter(struct cluster *c, json_int_t id)
{
	json_t *answer = ask(c, "GET", "/v1/config", NULL, 200);
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

static void wait_for_voter(struct cluster *c, json_int_t id, int voter)
{
	int64_t end_ms = clock_now_ms() + WAIT_MS;

	while (is_voter(c, id) != voter) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

#define ID_1 "00000000000000000000000000000001"
#define ID_2 "00000000000000000000000000000002"
#define ID_3 "00000000000000000000000000000003"
#define ID_4 "00000000000000000000000000000004"

/* ---- Tests --------------------------------------------------------- */

static void test_one_member_keeps_what_it_accepted(void **state)
{
	struct cluster c;
	json_int_t revision;

	(void)state;
	prepare(&c, 1);
	start_node(&c, 0, false);
	revision = set_class(&c, ID_1, 100, 0, 200);
	assert_int_equal(set_class(&c, ID_1, 100, 0, 200), revision);
	set_class(&c, ID_2, 200, 0, 200);
	set_class(&c, ID_3, 300, (uint64_t)revision, 409);
	set_class(&c, ID_4, 0, 0, 400);
	stop_node(&c, 0);
	start_node(&c, 0, false);
	assert_int_equal(class_target(&c), 200);
	assert_int_equal(set_class(&c, ID_1, 100, 0, 200), revision);
	assert_int_equal(class_target(&c), 200);
	clear(&c);
}

static void test_leader_is_replaced(void **state)
{
	struct cluster c;
	json_int_t revision;
	size_t leader;

	(void)state;
	prepare(&c, 3);
	for (size_t i = 0; i < 3; i++)
		start_node(&c, i, false);
	revision = set_class(&c, ID_1, 100, 0, 200);
	leader = find_leader(&c);
	stop_node(&c, leader);
	/* the answer was lost: the resend meets another leader */
	assert_int_equal(set_class(&c, ID_1, 100, 0, 200), revision);
	revision = set_class(&c, ID_2, 200, 0, 200);
	start_node(&c, leader, false);
	wait_for_revision(&c, leader, revision);
	assert_int_equal(class_target(&c), 200);
	clear(&c);
}

static void change_member(struct cluster *c, enum operator_verb verb, size_t i,
			  const char *id)
{
	struct operator_request r = { .verb = verb,
				      .member_id = (uint32_t)i + 1 };
	g_autofree char *body = NULL;

	g_snprintf(r.address, sizeof(r.address), "127.0.0.1:%u",
		   c->nodes[i].port);
	g_strlcpy(r.admin_address, c->nodes[i].admin, sizeof(r.admin_address));
	body = operator_command_body(&r, id);
	json_decref(ask(c, "POST", "/v1/commands", body, 200));
}

static void test_member_is_replaced(void **state)
{
	struct cluster c;
	json_int_t revision;

	(void)state;
	prepare(&c, 3);
	for (size_t i = 0; i < 3; i++)
		start_node(&c, i, false);
	wait_for_voter(&c, 3, 1); /* the first members are registered */
	revision = set_class(&c, ID_1, 100, 0, 200);
	stop_node(&c, 2);
	change_member(&c, VERB_MEMBER_REMOVE, 2, ID_2);
	wait_for_voter(&c, 3, -1);
	start_node(&c, 3, true);
	change_member(&c, VERB_MEMBER_ADD, 3, ID_3);
	wait_for_voter(&c, 4, 1);
	wait_for_revision(&c, 3, revision);
	/* a second one is lost right after the repair */
	stop_node(&c, 0);
	c.servers[0] = c.nodes[3].admin;
	assert_int_equal(class_target(&c), 100);
	set_class(&c, ID_4, 400, 0, 200);
	assert_int_equal(class_target(&c), 400);
	clear(&c);
}

static int setup(void **state)
{
	(void)state;
	apr_initialize();
	log_configure("test", "test", LOG_ERROR, LOG_FORMAT_TEXT);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_member_keeps_what_it_accepted),
		cmocka_unit_test(test_leader_is_replaced),
		cmocka_unit_test(test_member_is_replaced),
	};

	return cmocka_run_group_tests(tests, setup, NULL);
}
