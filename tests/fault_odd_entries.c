/*
 * fault_odd_entries: another writer leaves odd entries among those of the
 * backend servers: nested too deeply, with numbers that are too large, with
 * ports out of range. Each process that reads them goes on running and follows
 * the other entries. The leased roles run as real processes.
 */
#include "support/leased_system.h"

#include "base/clock.h"
#include "platform/standin.h"
#include "roles/session.h"
#include "support/loop_until.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define JOBS 20
#define RUN_MS 400
#define ODD_REPORT_EVERY_US 20000
#define CALL_TIMEOUT_MS 1000
#define NESTED_DEPTH 100000
#define BAD_REQUEST 400
#define STRANGER_PORT 30077
/* In one report: two servers and the end of a run. */
#define ODD_RUN_ENTRIES 3

/* ---- Support ---- */

/* All jobs complete, each task in one run: none was lost on the way. */
static void expect_service(struct leased_system *s)
{
	uint32_t before = standin_runs(s->record);

	for (int i = 0; i < JOBS; i++) {
		g_autofree char *answer = NULL;
		char id[20];

		snprintf(id, sizeof(id), "%08x%08x", before, i);
		assert_int_equal(
			leased_system_submit(s, i, id, RUN_MS, &answer), 200);
		assert_true(standin_is_completed(answer));
	}
	assert_int_equal(standin_runs(s->record) - before, JOBS * SYSTEM_TASKS);
}

static void expect_all_running(struct leased_system *s)
{
	for (int i = 0; i < s->cluster->n_procs; i++)
		if (!proc_running(&s->cluster->procs[i]))
			fail_msg("%s has ended", s->cluster->procs[i].name);
}

static char *read_log(struct leased_system *s, const char *process)
{
	char *log = NULL;

	assert_true(g_file_get_contents(cluster_proc(s->cluster, process)->log,
					&log, NULL, NULL));
	return log;
}

/* ---- Lists ---- */

/* Guards against a list that is refused for one odd entry: the server's lease
 * ends, and all its runs with it. */
static void test_odd_entries_in_lists(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	g_autofree char *log = NULL;

	(void)state;
	standin_add_odd(s->record);
	expect_service(s);
	expect_all_running(s);
	log = read_log(s, "a1");
	assert_non_null(strstr(log, "event=list_entries_unreadable"));
	leased_system_finish(s);
}

/* ---- Reports ---- */

static uint32_t send_report(struct leased_system *s, const char *agent,
			    const char *server, const char *body)
{
	g_autofree char *path = standin_report_path(server);

	return cluster_http(cluster_address(s->cluster, agent, "control"),
			    "POST", path, NULL, body, NULL, CALL_TIMEOUT_MS);
}

struct writer {
	struct leased_system *system;
	gint stopping; /* atomic */
	uint32_t sent, refused;
};

static void send_odd_reports(struct writer *w, int i)
{
	static const char *const ports[] = { "70000", "0", "-1",
					     "99999999999999999999", "" };
	char agent[16], server[16];
	g_autofree char *nested = g_strnfill(NESTED_DEPTH, '[');
	const char *bodies[] = { nested, "{\"seq\":99999999999999999999}",
				 "{\"capacity\":1e999}", "\xff\xfe", "{}" };

	snprintf(agent, sizeof(agent), "a%d", i + 1);
	snprintf(server, sizeof(server), "i-%d-1", i + 1);
	for (size_t k = 0; k < G_N_ELEMENTS(ports); k++, w->sent++) {
		g_autofree char *body = standin_set_report_port(
			standin_report(w->system->standins[i]), ports[k]);

		w->refused += send_report(w->system, agent, server, body) ==
			      BAD_REQUEST;
	}
	for (size_t k = 0; k < G_N_ELEMENTS(bodies); k++, w->sent++)
		w->refused += send_report(w->system, agent,
					  k % 2 ? server : "i-odd",
					  bodies[k]) == BAD_REQUEST;
}

static gpointer run_writer(gpointer arg)
{
	struct writer *w = arg;

	while (!g_atomic_int_get(&w->stopping)) {
		for (int i = 0; i < SYSTEM_AGENTS; i++)
			send_odd_reports(w, i);
		g_usleep(ODD_REPORT_EVERY_US);
	}
	return NULL;
}

/* Guards against a report from which an agent takes an address that nobody can
 * call: its calls fail, and the server's runs end with its lease. */
static void test_odd_reports(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	struct writer writer = { .system = s };
	GThread *thread = g_thread_new("writer", run_writer, &writer);

	(void)state;
	expect_service(s);
	g_atomic_int_set(&writer.stopping, 1);
	g_thread_join(thread);
	expect_all_running(s);
	print_message("count: reports=%u refused=%u\n", writer.sent,
		      writer.refused);
	assert_true(writer.sent > 0);
	assert_int_equal(writer.refused, writer.sent);
	leased_system_finish(s);
}

/* ---- The roster ---- */

/* A process of another version that registers itself as an agent. */
struct stranger {
	struct leased_system *system;
	const char *name, *data_centre, *address;
	struct link_hub *hub;
	struct session *session;
};

static void send_odd_run_report(struct link *link)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__RunReport report = CFW__RUN_REPORT__INIT;
	Cfw__ServerState odd = CFW__SERVER_STATE__INIT, large = odd;
	Cfw__ServerState *servers[] = { &odd, &large };
	Cfw__RunEnd end = CFW__RUN_END__INIT, *ends[] = { &end };
	g_autofree char *long_name = g_strnfill(NESTED_DEPTH, 'i');

	odd.name = odd.service = odd.kind = "\xff\xfe";
	large.name = long_name;
	odd.accepting = large.accepting = true;
	end.job = long_name;
	report.servers = servers;
	report.n_servers = G_N_ELEMENTS(servers);
	report.ends = ends;
	report.n_ends = G_N_ELEMENTS(ends);
	envelope.body_case = CFW__ENVELOPE__BODY_RUN_REPORT;
	envelope.run_report = &report;
	link_send(link, &envelope);
}

static void on_link_up(void *arg, struct link *link)
{
	struct stranger *stranger = arg;

	if (!session_link_up(stranger->session, link))
		send_odd_run_report(link);
}

static void on_link_down(void *arg, struct link *link)
{
	session_link_down(((struct stranger *)arg)->session, link);
}

static void on_message(void *arg, struct link *link,
		       const Cfw__Envelope *envelope)
{
	session_handle_message(((struct stranger *)arg)->session, link,
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

static void register_stranger(struct stranger *stranger, struct loop *loop)
{
	static const struct link_handlers links = { on_link_up, on_message,
						    on_link_down };
	static const struct session_handlers handlers = {
		ignore_event, ignore_roster, ignore_lease, ignore_event
	};
	struct link_options options = { .self = { CFW__ROLE__ROLE_AGENT,
						  stranger->name, 77, 0,
						  stranger->data_centre } };
	g_auto(GStrv) coordinators =
		g_strsplit(stranger->system->coordinator_addresses, ",", -1);
	struct session_options session = { .loop = loop,
					   .role = CFW__ROLE__ROLE_AGENT,
					   .incarnation = 77,
					   .name = stranger->name,
					   .data_centre = stranger->data_centre,
					   .address = stranger->address,
					   .coordinators = coordinators };
	struct cf_capacity capacity = { .slots = UINT32_MAX,
					.connections = UINT32_MAX,
					.cpu_milli = UINT32_MAX,
					.memory_mb = UINT32_MAX,
					.accelerators = UINT32_MAX };

	stranger->hub = link_hub_create(loop, &options, &links, stranger);
	link_hub_listen(stranger->hub, stranger->address, NULL, NULL);
	session.hub = stranger->hub;
	stranger->session = session_create(&session, &handlers, stranger);
	session_set_capacity(stranger->session, &capacity);
	session_begin(stranger->session);
}

static void unregister_stranger(struct stranger *stranger, struct loop *loop)
{
	session_destroy(stranger->session);
	link_hub_destroy(stranger->hub);
	loop_destroy(loop);
}

static bool have_all_logged(const struct stranger *stranger, const char *event)
{
	for (int i = 1; i <= SYSTEM_DISPATCHERS; i++) {
		g_autofree char *log = NULL;
		char name[16];

		snprintf(name, sizeof(name), "d%d", i);
		log = read_log(stranger->system, name);
		if (!strstr(log, event))
			return false;
	}
	return true;
}

static bool is_left_out_by_all(void *arg)
{
	return have_all_logged(arg, "event=roster_entries_unusable");
}

/* How many coordinators list the address in their status. */
static int count_listing(struct leased_system *s, const char *address)
{
	int n = 0;

	for (int i = 1; i <= SYSTEM_COORDINATORS; i++) {
		g_autofree char *answer = NULL;

		leased_system_call(s, i, "admin", "GET", "/v1/status", NULL,
				   &answer);
		n += strstr(answer, address) != NULL;
	}
	return n;
}

/* Guards against an entry of the roster that its readers end of or can't follow
 * the others for, or that operators don't see in the leader's status. */
static void test_odd_entry_in_the_roster(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	struct stranger stranger = { .system = s,
				     .name = "\xff\xfe",
				     .data_centre = "\xff",
				     .address = "127.0.0.1:99999" };
	struct loop *loop = loop_create(NULL);

	(void)state;
	register_stranger(&stranger, loop);
	assert_true(loop_until(loop, is_left_out_by_all, &stranger));
	assert_int_equal(count_listing(s, stranger.address), 1);
	for (int i = 1; i <= SYSTEM_COORDINATORS; i++) {
		g_autofree char *answer = NULL;

		assert_int_equal(leased_system_call(s, i, "admin", "GET",
						    "/v1/status", NULL,
						    &answer),
				 200);
	}
	expect_service(s);
	expect_all_running(s);
	unregister_stranger(&stranger, loop);
	leased_system_finish(s);
}

static bool are_reports_left_out_by_all(void *arg)
{
	return have_all_logged(arg, "event=run_report_unusable");
}

/* Guards against a dispatcher that ends by the names in an agent's report, or
 * counts on servers whose names are cut off. */
static void test_odd_run_reports(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	g_autofree char *address =
		g_strdup_printf("%s:%d", s->cluster->ip, STRANGER_PORT);
	struct stranger stranger = { .system = s,
				     .name = "\xff\xfe",
				     .data_centre = "x",
				     .address = address };
	struct loop *loop = loop_create(NULL);

	(void)state;
	register_stranger(&stranger, loop);
	assert_true(loop_until(loop, are_reports_left_out_by_all, &stranger));
	expect_service(s);
	expect_all_running(s);
	assert_int_equal(
		cluster_metric(s->cluster, "d1",
			       "chervilferry_run_report_entries_unusable_"
			       "total"),
		ODD_RUN_ENTRIES);
	unregister_stranger(&stranger, loop);
	leased_system_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_odd_entries_in_lists,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_odd_reports, cluster_teardown),
		cmocka_unit_test_teardown(test_odd_entry_in_the_roster,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_odd_run_reports,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
