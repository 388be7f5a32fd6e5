/*
 * test_session: how often a process renews its lease. A stand-in
 * coordinator grants each request at once.
 */
#include "net/link.h"
#include "roles/session.h"
#include "support/loop_until.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define HEARTBEAT_MS 500
#define LEASE_MS 2000
#define RENEWALS 4
#define RENEW_INTERVAL_MS (LEASE_MS / 4)

/* The stand-in coordinator, which is the leader. */
struct leader {
	struct loop *loop;
	struct link_hub *hub;
	bool settled; /* it knows all lease holders */
	int requests;
	int64_t times_ms[RENEWALS + 1]; /* when the first requests arrived */
};

static void ignore_link(void *arg, struct link *link)
{
	(void)arg;
	(void)link;
}

static void handle_lease_request(void *arg, struct link *link,
				 const Cfw__Envelope *received)
{
	struct leader *leader = arg;
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__LeaseGrant reply = CFW__LEASE_GRANT__INIT;
	Cfw__Roster roster = CFW__ROSTER__INIT;

	if (received->body_case != CFW__ENVELOPE__BODY_LEASE_REQUEST)
		return;
	if (leader->requests <= RENEWALS)
		leader->times_ms[leader->requests] = clock_now_ms();
	leader->requests++;
	roster.version = (uint64_t)leader->requests;
	roster.settled = leader->settled;
	reply.seq = received->lease_request->seq;
	reply.verdict = CFW__LEASE_VERDICT__LEASE_GRANTED;
	reply.duration_ms = LEASE_MS;
	reply.leader_incarnation = 9;
	reply.roster = &roster;
	envelope.body_case = CFW__ENVELOPE__BODY_LEASE_GRANT;
	envelope.lease_grant = &reply;
	link_send(link, &envelope);
}

/* ---- The process under test ----------------------------------------- */

struct process {
	struct link_hub *hub;
	struct session *session;
};

static void on_link_up(void *arg, struct link *link)
{
	session_link_up(((struct process *)arg)->session, link);
}

static void on_link_down(void *arg, struct link *link)
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

static void ignore_lease(void *arg, bool held)
{
	(void)arg;
	(void)held;
}

static void open_process(struct process *p, struct loop *loop, uint16_t port)
{
	static const struct link_handlers links = { on_link_up, on_message,
						    on_link_down };
	static const struct session_handlers handlers = {
		ignore_event, ignore_roster, ignore_lease, ignore_event
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
					   .coordinators = coordinators };

	p->hub = link_hub_create(loop, &options, &links, p);
	session.hub = p->hub;
	p->session = session_create(&session, &handlers, p);
	session_begin(p->session);
}

static bool has_renewed(void *arg)
{
	return ((struct leader *)arg)->requests > RENEWALS;
}

/* A new leader collects the lease holders step by step. Until its roster is
 * settled, each answer may list more of them, so processes renew sooner. */
static void test_renews_faster_until_roster_settled(void **state)
{
	static const struct {
		bool settled;
	} cases[] = { { true }, { false } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		static const struct link_handlers links = {
			ignore_link, handle_lease_request, ignore_link
		};
		struct leader leader = { .settled = cases[i].settled };
		struct link_options options = {
			.self = { CFW__ROLE__ROLE_COORDINATOR, "c", 9, 1,
				  "olten" },
			.heartbeat_ms = HEARTBEAT_MS
		};
		struct process process = { 0 };
		uint16_t port;
		int64_t elapsed_ms;

		leader.loop = loop_create(NULL);
		leader.hub =
			link_hub_create(leader.loop, &options, &links, &leader);
		assert_true(link_hub_listen(leader.hub, "127.0.0.1:0", &port,
					    NULL));
		open_process(&process, leader.loop, port);
		assert_true(loop_until(leader.loop, has_renewed, &leader));
		elapsed_ms = leader.times_ms[RENEWALS] - leader.times_ms[0];
		if (cases[i].settled)
			assert_true(elapsed_ms >=
				    (RENEWALS - 1) * RENEW_INTERVAL_MS);
		else
			assert_true(elapsed_ms <
				    (RENEWALS - 1) * RENEW_INTERVAL_MS);
		session_destroy(process.session);
		link_hub_destroy(process.hub);
		link_hub_destroy(leader.hub);
		loop_destroy(leader.loop);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_renews_faster_until_roster_settled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
