/*
 * fault_bad_ids: job ids and names that can't be put into JSON come from a
 * caller, or from a dispatcher of another version. They are refused where they
 * arrive, and no process ends. The leased roles run as real processes.
 */
#include "support/leased_system.h"

#include "net/link.h"
#include "platform/standin.h"
#include "support/loop_until.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define RUN_MS 200
#define AGENT "a1"
#define SERVER "i-1-1" /* the one beside AGENT */
#define BAD_REQUEST 400
#define LONG_NAME                                                              \
	"0123456789012345678901234567890123456789012345678901234567890123"

/* ---- Support ---- */

static void expect_service(struct leased_system *s)
{
	for (int i = 0; i < SYSTEM_DISPATCHERS * 2; i++) {
		g_autofree char *answer = NULL;
		char id[20];

		snprintf(id, sizeof(id), "%016x", 0x50 + i);
		assert_int_equal(
			leased_system_submit(s, i, id, RUN_MS, &answer), 200);
		assert_true(standin_is_completed(answer));
	}
}

static void expect_all_running(struct leased_system *s)
{
	for (int i = 0; i < s->cluster->n_procs; i++)
		if (!proc_running(&s->cluster->procs[i]))
			fail_msg("%s has ended", s->cluster->procs[i].name);
}

/* ---- Callers ---- */

/* Guards against an id that reaches agents, which can't write it into the call
 * of a server and end by a signal, one after the other (review/5). */
static void test_odd_job_ids(void **state)
{
	static const char *const ids[] = { "5c0e7a21d94b36f%FF",
					   "%C3%28",
					   "%ED%A0%80",
					   "%C3%A9",
					   "a%0Ab",
					   "a%20b",
					   "a%22b",
					   "a.0.0.0",
					   "a%2Fb",
					   "5c0e7a21d94b36f85c0e7a21" };
	struct leased_system *s = leased_system_begin(false);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		g_autofree char *answer = NULL;
		uint32_t status =
			leased_system_submit(s, 0, ids[i], RUN_MS, &answer);

		expect_all_running(s);
		if (status != BAD_REQUEST || !strstr(answer, "\"id: "))
			fail_msg("%s: %u %s", ids[i], status, answer);
		assert_int_equal(leased_system_cancel(s, 0, ids[i]),
				 BAD_REQUEST);
	}
	assert_true(cluster_metric(s->cluster, "d1",
				   "chervilferry_requests_malformed_total") >=
		    (int64_t)G_N_ELEMENTS(ids));
	expect_service(s);
	expect_all_running(s);
	leased_system_finish(s);
}

/* ---- Dispatchers ---- */

/* A dispatcher of another version. */
struct stranger {
	struct link *link;
	bool served; /* the agent reports a server that takes runs */
	int held; /* leases granted */
	int unreadable; /* runs that the agent told it can't read */
	int other_ends;
};

static void on_link_up(void *arg, struct link *link)
{
	(void)arg;
	(void)link;
}

static void grant_lease(struct stranger *stranger, uint64_t seq)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__RunLease lease = CFW__RUN_LEASE__INIT;

	lease.seq = seq;
	envelope.body_case = CFW__ENVELOPE__BODY_RUN_LEASE;
	envelope.run_lease = &lease;
	stranger->held += link_send(stranger->link, &envelope);
}

static void on_message(void *arg, struct link *link,
		       const Cfw__Envelope *envelope)
{
	struct stranger *stranger = arg;
	const Cfw__RunReport *report = envelope->run_report;

	(void)link;
	if (envelope->body_case == CFW__ENVELOPE__BODY_RUN_LEASE_ASK)
		grant_lease(stranger, envelope->run_lease_ask->seq);
	if (envelope->body_case != CFW__ENVELOPE__BODY_RUN_REPORT)
		return;
	for (size_t i = 0; i < report->n_servers; i++)
		stranger->served |= report->servers[i]->accepting;
	for (size_t i = 0; i < report->n_ends; i++) {
		bool unreadable = report->ends[i]->outcome ==
				  CFW__RUN_OUTCOME__RUN_UNREADABLE;

		stranger->unreadable += unreadable;
		stranger->other_ends += !unreadable;
	}
}

static bool can_start(void *arg)
{
	struct stranger *stranger = arg;

	return stranger->served && stranger->held;
}

static void send_orders(struct stranger *stranger, Cfw__RunOrders *orders)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;

	envelope.body_case = CFW__ENVELOPE__BODY_RUN_ORDERS;
	envelope.run_orders = orders;
	assert_true(link_send(stranger->link, &envelope));
}

static void send_start(struct stranger *stranger, char *job, char *class_name,
		       const char *spec)
{
	Cfw__RunOrders orders = CFW__RUN_ORDERS__INIT;
	Cfw__RunStart start = CFW__RUN_START__INIT, *starts[] = { &start };

	start.job = job;
	start.number = 1;
	start.class_name = class_name;
	start.server = SERVER;
	start.spec.data = (uint8_t *)spec;
	start.spec.len = strlen(spec);
	start.cpu_milli = 1;
	start.memory_mb = 1;
	start.deadline_ms = SYSTEM_DEADLINE_MS;
	orders.starts = starts;
	orders.n_starts = 1;
	send_orders(stranger, &orders);
}

/* As after a new connection: a run that it counts on, and one to be stopped. */
static void send_resume(struct stranger *stranger, char *job)
{
	Cfw__RunOrders orders = CFW__RUN_ORDERS__INIT;
	Cfw__RunStop stop = CFW__RUN_STOP__INIT, *stops[] = { &stop };

	stop.job = job;
	stop.number = 1;
	orders.resume = true;
	orders.kept = orders.stops = stops;
	orders.n_kept = orders.n_stops = 1;
	send_orders(stranger, &orders);
}

static const struct {
	char *job, *class_name;
	const char *spec;
} bad_starts[] = {
	{ "5c0e7a21d94b36f\xff", "r", "200" },
	{ "\xc3\x28", "r", "200" },
	{ "a b\n", "r", "200" },
	{ "a.0.0.0", "r", "200" },
	{ "b1", "r\xff", "200" },
	{ "b2", LONG_NAME, "200" },
	{ "b3", "r", "200\xff" },
};

static bool are_all_refused(void *arg)
{
	struct stranger *stranger = arg;

	/* And the run that was listed after the reconnect. */
	return stranger->unreadable + stranger->other_ends >
	       (int)G_N_ELEMENTS(bad_starts);
}

/* Guards against an agent that ends by what a dispatcher of another version
 * sends, or follows a part of it: each order is refused, and its sender is
 * told. */
static void test_odd_orders(void **state)
{
	static const struct link_handlers handlers = { on_link_up, on_message,
						       on_link_up };
	struct leased_system *s = leased_system_begin(false);
	struct stranger stranger = { 0 };
	struct link_options options = { .self = { CFW__ROLE__ROLE_DISPATCHER,
						  "\xff\xfe", 77, 0, "\xff" } };
	struct loop *loop = loop_create(NULL);
	struct link_hub *hub =
		link_hub_create(loop, &options, &handlers, &stranger);

	(void)state;
	stranger.link =
		link_dial(hub, cluster_address(s->cluster, AGENT, "listen"));
	assert_true(loop_until(loop, can_start, &stranger));
	for (size_t i = 0; i < G_N_ELEMENTS(bad_starts); i++)
		send_start(&stranger, bad_starts[i].job,
			   bad_starts[i].class_name, bad_starts[i].spec);
	/* A name that is too long for a result is counted only. */
	send_start(&stranger, LONG_NAME, "r", "200");
	send_resume(&stranger, "c\xff");
	assert_true(loop_until(loop, are_all_refused, &stranger));
	expect_all_running(s);
	assert_int_equal(stranger.unreadable, G_N_ELEMENTS(bad_starts) + 1);
	assert_int_equal(stranger.other_ends, 0);
	assert_int_equal(
		cluster_metric(s->cluster, AGENT,
			       "chervilferry_run_orders_unusable_total"),
		G_N_ELEMENTS(bad_starts) + 3);
	expect_service(s);
	link_hub_destroy(hub);
	loop_destroy(loop);
	leased_system_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_odd_job_ids, cluster_teardown),
		cmocka_unit_test_teardown(test_odd_orders, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
