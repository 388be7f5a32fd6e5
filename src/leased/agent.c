/*
 * agent: the process that runs beside a backend server whose tasks run under
 * a lease. The agent is the server's only caller. This file contains startup,
 * shutdown, the handling of server reports, and the periodic work.
 */
#include "leased/agent_internal.h"

#include "base/clock.h"
#include "base/logger.h"
#include "leased/leases.h"
#include "leased/reload.h"
#include "roles/role.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define TICK_MS 20
#define CONTROL_THREADS 1
#define CONTROL_CONNECTIONS_MAX 64
#define CONTROL_BODY_MAX_BYTES (4U << 20)
#define SERVER_CONNECTIONS_MAX 24
/* More than one, as single calls may be lost in the network. */
#define SERVER_UNANSWERED_CALLS_MAX 4
#define FLUSH_WAIT_MS 300
#define STOP_POLL_US 20000
#define HTTP_OK_STATUS 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404

/* ---- Reports of servers --------------------------------------------- */

struct posted_report {
	struct leased_agent *agent;
	struct http_request *request;
	struct server_report report;
	bool is_leaving;
};

static void server_changed(void *arg, struct server *server)
{
	struct leased_agent *a = arg;

	agent_collect_results(a, server);
	agent_send_reports(a, loop_now_ms(a->loop));
}

/* Higher than the tokens of an earlier process and than those that this one
 * used for a server of the same name before it was forgotten. */
static int64_t fence_token(const struct leased_agent *a, int64_t now_ms)
{
	return a->started_wall_ms + (now_ms - a->started_ms);
}

static void add_server(struct leased_agent *a,
		       const struct server_report *report, int64_t now_ms)
{
	struct server_options options = { .formats = a->formats,
					  .client = a->client,
					  .loop = a->loop,
					  .previous_runs_end_ms =
						  a->previous_runs_end_ms,
					  .fence_token = fence_token(a, now_ms),
					  .changed = server_changed,
					  .arg = a };
	struct server *server = server_create(&options, report, now_ms);

	g_hash_table_insert(a->servers, g_strdup(report->name), server);
	log_event(
		LOG_INFO, "server_joined",
		"server=%s service=%s address=%s cpu_milli=%u born_ms=%" PRId64,
		report->name, report->service, report->address,
		report->capacity.cpu_milli, report->start_time_ms);
	server_process(server, now_ms);
}

static void check_replaced(struct leased_agent *a,
			   const struct server_report *report, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		server_check_replaced(value, report, now_ms);
}

static void reply_ok(struct http_request *request)
{
	http_reply(request, HTTP_OK_STATUS, "application/json", "{}", 2, NULL);
}

static void apply_report(void *arg)
{
	struct posted_report *p = arg;
	struct leased_agent *a = p->agent;
	struct server *server = g_hash_table_lookup(a->servers, p->report.name);
	int64_t now_ms = loop_now_ms(a->loop);

	counter_add(a->reports, 1);
	if (!p->is_leaving)
		check_replaced(a, &p->report, now_ms);
	if (p->is_leaving) {
		if (server)
			server_mark_left(server);
	} else if (!server) {
		add_server(a, &p->report, now_ms);
	} else if (server_apply_report(server, &p->report, now_ms)) {
		server_process(server, now_ms);
	}
	reply_ok(p->request);
	agent_send_reports(a, now_ms);
	g_free(p);
}

static void post_report(struct leased_agent *a, struct http_request *request,
			const struct server_report *report, bool is_leaving)
{
	struct posted_report *p = g_new0(struct posted_report, 1);

	p->agent = a;
	p->request = request;
	p->report = *report;
	p->is_leaving = is_leaving;
	loop_post(a->loop, apply_report, p);
}

static void handle_control(void *arg, struct http_request *request)
{
	struct leased_agent *a = arg;
	struct control_request command;
	struct server_report report = { 0 };
	char error_text[128] = "";
	size_t size;
	const void *body = http_body(request, &size);

	a->formats->read_control(http_method(request), http_path(request),
				 &command);
	if (command.kind == CONTROL_DEREGISTER_SERVER) {
		g_strlcpy(report.name, command.subject, sizeof(report.name));
		post_report(a, request, &report, true);
	} else if (command.kind != CONTROL_SERVER_REPORT) {
		http_reply_error(request, HTTP_NOT_FOUND, "not_found",
				 "an agent has no such call");
	} else if (a->formats->read_server_report(command.subject, body, size,
						  &report, error_text)) {
		post_report(a, request, &report, false);
	} else {
		counter_add(a->bad_reports, 1);
		log_event(LOG_WARN, "report_unreadable", "server=%s why=\"%s\"",
			  command.subject, error_text);
		http_reply_error(request, HTTP_BAD_REQUEST, "invalid",
				 error_text);
	}
}

/* ---- Periodic work -------------------------------------------------- */

static bool process_servers(struct leased_agent *a, int64_t now_ms)
{
	bool idle = true;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct server *server = value;
		server_process(server, now_ms);
		agent_collect_results(a, server);
		idle = idle && run_table_is_idle(server_runs(server));
		if (server_is_expired(server, now_ms)) {
			log_event(LOG_INFO, "server_forgotten", "server=%s",
				  server_last_report(server)->name);
			g_hash_table_remove(a->interferences,
					    server_last_report(server)->name);
			g_hash_table_iter_remove(&iter);
		}
	}
	return idle;
}

static void on_turn_timer(void *arg, int64_t now_ms)
{
	agent_send_reports(arg, now_ms);
}

static void tick(void *arg, int64_t now_ms)
{
	struct leased_agent *a = arg;

	agent_expire_leases(a, now_ms);
	g_atomic_int_set(&a->idle, process_servers(a, now_ms));
	agent_request_leases(a, now_ms);
	agent_update_speeds(a, now_ms);
	agent_send_reports(a, now_ms);
}

/* ---- The coordinators ----------------------------------------------- */

static void return_queued(struct leased_agent *a)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		run_table_return_queued(server_runs(value));
}

static void config_changed(void *arg)
{
	struct leased_agent *a = arg;
	struct cf_config *config = session_config(a->session);
	bool in_service = cf_config_in_service(config, a->data_centre);

	if (in_service == a->in_service)
		return;
	a->in_service = in_service;
	log_event(LOG_INFO, "data_centre_service",
		  "data_centre=%s in_service=%d revision=%" G_GUINT64_FORMAT,
		  a->data_centre, in_service, cf_config_revision(config));
	if (!in_service)
		return_queued(a);
}

static void open_session(struct leased_agent *a)
{
	static const struct coordinators_handlers handlers = {
		.config = config_changed,
	};

	a->session = reload_open_session(a->settings, a->loop, a->hub,
					 CFW__ROLE__ROLE_AGENT, a->incarnation,
					 NULL, &handlers, a);
}

/* ---- Start and stop ------------------------------------------------- */

static struct leased_agent *create_empty(const struct settings *settings)
{
	struct leased_agent *a = g_new0(struct leased_agent, 1);

	a->settings = settings;
	a->formats = role_formats();
	a->incarnation = clock_random();
	a->in_service = true;
	a->started_ms = clock_now_ms();
	a->started_wall_ms = clock_wall_ms();
	a->previous_runs_end_ms = clock_now_ms() + SERVER_LEASE_MS +
				  SERVER_CLOCK_SLACK_MS + RUN_STOP_MAX_MS;
	g_strlcpy(a->data_centre, settings_text(settings, "data-centre"),
		  sizeof(a->data_centre));
	a->servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)server_destroy);
	a->speeds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  agent_free_speed);
	a->interferences = agent_create_interferences();
	a->losses = agent_create_losses();
	a->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 agent_free_peer);
	a->overruns = lease_overruns_create();
	a->reports = counter_get("server_reports_total", NULL,
				 "reports of backend servers");
	a->bad_reports = counter_get("server_reports_unreadable_total", NULL,
				     "reports of backend servers ignored");
	a->bad_orders = counter_get("run_orders_unusable_total", NULL,
				    "orders of dispatchers not followed");
	a->cancels_passed_on =
		counter_get("cancels_passed_on_total", NULL,
			    "cancels, and replies, between dispatchers");
	a->lost_leases = counter_get("run_leases_lost_total", NULL,
				     "dispatchers whose lease for runs ended");
	return a;
}

static bool open_all(struct leased_agent *a, GError **error)
{
	const struct settings *s = a->settings;
	struct link_options links = {
		.self = { .role = CFW__ROLE__ROLE_AGENT,
			  .name = settings_text(s, "name"),
			  .incarnation = a->incarnation,
			  .data_centre = a->data_centre },
		.heartbeat_ms = settings_number(s, "heartbeat-ms")
	};
	struct http_server_options control = {
		.address = settings_text(s, "control"),
		.threads = CONTROL_THREADS,
		.connections_max = CONTROL_CONNECTIONS_MAX,
		.body_max_bytes = CONTROL_BODY_MAX_BYTES,
		.door = "control"
	};
	struct door_limits doors[DOOR_COUNT];

	role_divide_doors(s, DOORS_FOR_REQUESTS, doors);
	links.connections_max = doors[DOOR_LINKS].connections_max;
	links.held_max_bytes = doors[DOOR_LINKS].held_max_bytes;
	control.connections_max =
		MIN(CONTROL_CONNECTIONS_MAX, doors[DOOR_MAIN].connections_max);
	control.held_max_bytes = doors[DOOR_MAIN].held_max_bytes;
	control.parsed_max_bytes = doors[DOOR_MAIN].parsed_max_bytes;
	a->loop = loop_create(error);
	if (!a->loop)
		return false;
	a->hub = link_hub_create(a->loop, &links, &agent_link_handlers, a);
	open_session(a);
	if (!link_hub_listen(a->hub, settings_text(s, "listen"), NULL, error))
		return false;
	a->client = http_client_create(a->loop, SERVER_CONNECTIONS_MAX, error);
	a->admin = admin_create(settings_text(s, "admin"), &doors[DOOR_ADMIN],
				error);
	if (!a->client || !a->admin)
		return false;
	http_client_set_timeouts_max(a->client, SERVER_UNANSWERED_CALLS_MAX);
	admin_set_ready(a->admin, true, NULL);
	if (!admin_start(a->admin, error))
		return false;
	if (!control.address) {
		g_set_error(error, role_error_quark(), 0,
			    "control: a value is required");
		return false;
	}
	a->control = http_server_create(&control, handle_control, a, error);
	return a->control != NULL;
}

static gpointer run(gpointer arg)
{
	struct leased_agent *a = arg;

	loop_run(a->loop);
	return NULL;
}

static void return_queued_for_stop(void *arg)
{
	return_queued(arg);
}

/* Waits for the runs to end before the process exits. */
static void wait_until_idle(struct leased_agent *a)
{
	int64_t end_ms =
		clock_now_ms() + settings_number(a->settings, "stop-wait-ms");

	g_atomic_int_set(&a->stopping, 1);
	loop_post(a->loop, return_queued_for_stop, a);
	g_usleep(STOP_POLL_US * 2);
	while (!g_atomic_int_get(&a->idle) && clock_now_ms() < end_ms)
		g_usleep(STOP_POLL_US);
}

static void shut_down(void *arg)
{
	struct leased_agent *a = arg;

	agent_send_reports(a, loop_now_ms(a->loop));
	session_leave(a->session);
	link_flush(a->hub, FLUSH_WAIT_MS);
	loop_stop(a->loop);
}

int leased_agent_main(const struct settings *settings)
{
	struct leased_agent *a = create_empty(settings);
	GError *error = NULL;

	if (!open_all(a, &error))
		return role_start_failed(error);
	a->turn_timer = loop_timer_create(a->loop, on_turn_timer, a);
	a->tick = loop_timer_create(a->loop, tick, a);
	loop_timer_start(a->tick, TICK_MS, TICK_MS);
	a->thread = g_thread_new("agent", run, a);
	reload_watch(settings, a->loop, a->session);
	log_event(LOG_INFO, "started", "listen=%s control=%s data_centre=%s",
		  settings_text(settings, "listen"),
		  settings_text(settings, "control"), a->data_centre);
	role_wait_for_stop();
	log_event(LOG_INFO, "stopping", NULL);
	wait_until_idle(a);
	loop_post(a->loop, shut_down, a);
	g_thread_join(a->thread);
	http_server_destroy(a->control);
	admin_destroy(a->admin);
	log_event(LOG_INFO, "stopped", NULL);
	return 0;
}
