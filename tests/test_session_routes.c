/*
 * test_session_routes: a session whose routes come late keeps its lease, and
 * takes them from a leader of either version. A stand-in coordinator leads.
 */
#include "net/link.h"
#include "roles/session.h"
#include "support/loop_until.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define HEARTBEAT_MS 500
#define LEASE_MS 2000
#define REVISION 5
#define ROUTES_VERSION 3

struct leader {
	struct link_hub *hub;
	bool earlier; /* sends routes with leases, as earlier versions do */
	int lease_requests, routes_requests;
	bool asked_for_whole;
};

struct process {
	struct link_hub *hub;
	struct session *session;
	bool lease_lost;
};

static void ignore_link(void *arg, struct link *link)
{
	(void)arg;
	(void)link;
}

static void grant(struct leader *leader, struct link *link,
		  const Cfw__LeaseRequest *request)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__LeaseGrant reply = CFW__LEASE_GRANT__INIT;
	Cfw__Configuration configuration = CFW__CONFIGURATION__INIT;
	Cfw__RouteTable routes = CFW__ROUTE_TABLE__INIT;

	leader->lease_requests++;
	leader->asked_for_whole |= !request->known_revision;
	reply.seq = request->seq;
	reply.duration_ms = LEASE_MS;
	reply.revision = REVISION;
	reply.leader_incarnation = 9;
	configuration.revision = REVISION;
	routes.version = ROUTES_VERSION;
	routes.document.data = (uint8_t *)"routes";
	routes.document.len = strlen("routes");
	if (request->known_revision < REVISION)
		reply.configuration = &configuration;
	if (leader->earlier)
		configuration.routes = &routes;
	else
		reply.routes_version = ROUTES_VERSION;
	envelope.body_case = CFW__ENVELOPE__BODY_LEASE_GRANT;
	envelope.lease_grant = &reply;
	link_send(link, &envelope);
}

/* Requests for routes get no answer. */
static void handle(void *arg, struct link *link, const Cfw__Envelope *received)
{
	struct leader *leader = arg;

	if (received->body_case == CFW__ENVELOPE__BODY_LEASE_REQUEST)
		grant(leader, link, received->lease_request);
	leader->routes_requests += received->body_case ==
				   CFW__ENVELOPE__BODY_ROUTES_REQUEST;
}

static void on_up(void *arg, struct link *link)
{
	session_link_up(((struct process *)arg)->session, link);
}

static void on_down(void *arg, struct link *link)
{
	session_link_down(((struct process *)arg)->session, link);
}

static void on_message(void *arg, struct link *link,
		       const Cfw__Envelope *envelope)
{
	session_handle_message(((struct process *)arg)->session, link,
			       envelope);
}

static void ignore_event(void *arg)
{
	(void)arg;
}

static void ignore_roster(void *arg, const Cfw__Roster *roster)
{
	(void)arg;
	(void)roster;
}

static void on_lease(void *arg, bool held)
{
	((struct process *)arg)->lease_lost |= !held;
}

static void open_process(struct process *p, struct loop *loop, uint16_t port)
{
	static const struct link_handlers links = { on_up, on_message,
						    on_down };
	static const struct session_handlers handlers = {
		ignore_event, ignore_roster, on_lease, ignore_event
	};
	struct link_options options = { .self = { CFW__ROLE__ROLE_DISPATCHER,
						  "d", 3, 0, "olten" },
					.heartbeat_ms = HEARTBEAT_MS };
	g_autofree char *address = g_strdup_printf("127.0.0.1:%u", port);
	char *coordinators[] = { address, NULL };
	struct session_options session = { .loop = loop,
					   .role = CFW__ROLE__ROLE_DISPATCHER,
					   .incarnation = 3,
					   .name = "d",
					   .data_centre = "olten",
					   .address = "",
					   .coordinators = coordinators,
					   .routes = true };

	p->hub = link_hub_create(loop, &options, &links, p);
	session.hub = p->hub;
	p->session = session_create(&session, &handlers, p);
	session_begin(p->session);
}

static bool has_asked_twice(void *arg)
{
	return ((struct leader *)arg)->routes_requests >= 2;
}

static bool has_routes(void *arg)
{
	struct process *p = arg;
	uint64_t version;

	cf_config_routes(session_config(p->session), &version);
	return version == ROUTES_VERSION;
}

/* Guards against a lease that is lost for the size of the routes (review/13),
 * and against routes that never come once an earlier version leads. */
static void test_late_routes_cost_no_lease(void **state)
{
	static const struct link_handlers links = { ignore_link, handle,
						    ignore_link };
	struct link_options options = { .self = { CFW__ROLE__ROLE_COORDINATOR,
						  "c", 9, 1, "olten" },
					.heartbeat_ms = HEARTBEAT_MS };
	struct loop *loop = loop_create(NULL);
	struct leader leader = { 0 };
	struct process p = { 0 };
	uint16_t port;

	(void)state;
	leader.hub = link_hub_create(loop, &options, &links, &leader);
	assert_true(link_hub_listen(leader.hub, "127.0.0.1:0", &port, NULL));
	open_process(&p, loop, port);
	assert_true(loop_until(loop, has_asked_twice, &leader));
	assert_true(session_lease_held(p.session, clock_now_ms()));
	assert_true(session_routes_behind_ms(p.session, clock_now_ms()) > 0);
	assert_true(leader.lease_requests > 1);
	leader.earlier = true;
	leader.asked_for_whole = false;
	assert_true(loop_until(loop, has_routes, &p));
	assert_true(leader.asked_for_whole);
	session_set_routes_applied(p.session, ROUTES_VERSION);
	assert_int_equal(session_routes_behind_ms(p.session, clock_now_ms()),
			 0);
	assert_false(p.lease_lost);
	session_destroy(p.session);
	link_hub_destroy(p.hub);
	link_hub_destroy(leader.hub);
	loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_routes_cost_no_lease),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
