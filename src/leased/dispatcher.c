/*
 * dispatcher: the process that accepts jobs whose tasks may be run again, for
 * backend servers that run under leases. This file contains startup, shutdown
 * and the periodic work; the decisions are in dispatch.h.
 */
#include "leased/dispatcher_internal.h"

#include "base/clock.h"
#include "base/logger.h"
#include "leased/reload.h"
#include "roles/role.h"

#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* After this long without a coordinator, the configuration may be stale. */
#define COORDINATOR_TIMEOUT_MS 15000
/* Routes are to be in force 2 s after they were acknowledged. A dispatcher
 * hears of them within a quarter of its lease. */
#define ROUTES_BEHIND_MAX_MS 1200
#define GAUGE_INTERVAL_MS 500
#define STOP_POLL_US 20000
#define US_PER_MS 1000

/* ---- Readiness ------------------------------------------------------ */

const char *dispatcher_unready_reason(const struct leased_dispatcher *d,
				      int64_t now_ms)
{
	if (!d->routes)
		return "no routes are known yet";
	if (now_ms - d->coordinator_contact_ms > COORDINATOR_TIMEOUT_MS)
		return "no coordinator was reached for long";
	if (session_routes_behind_ms(d->session, now_ms) > ROUTES_BEHIND_MAX_MS)
		return "newer routes are still being fetched or read";
	return NULL;
}

static void update_readiness(struct leased_dispatcher *d, int64_t now_ms)
{
	const char *reason = dispatcher_unready_reason(d, now_ms);
	bool ready;

	if (session_lease_held(d->session, now_ms))
		d->coordinator_contact_ms = now_ms;
	if (!reason && !dispatch_can_serve(d->dispatch))
		reason = "no backend server can be reached";
	if (g_atomic_int_get(&d->stopping))
		reason = "stopping";
	ready = !reason;
	if (ready == d->was_ready)
		return;
	d->was_ready = ready;
	log_event(LOG_INFO, ready ? "ready" : "not_ready", "why=\"%s\"",
		  reason ? reason : "");
	admin_set_ready(d->admin, ready, reason);
}

/* ---- Configuration -------------------------------------------------- */

/* Routes that can't be read, as those of a later version may be, leave the
 * earlier ones in force. */
static void use_routes(void *arg, struct routes *routes, const GError *error)
{
	struct leased_dispatcher *d = arg;

	if (!routes) {
		log_event(LOG_ERROR, "routes_unreadable", "why=\"%s\"",
			  error->message);
		session_set_routes_applied(d->session, d->read_version);
		return;
	}
	routes_destroy(d->routes);
	d->routes = routes;
	session_set_routes_applied(d->session, routes_version(routes));
	gauge_set(d->routes_version, (int64_t)routes_version(routes));
	log_event(LOG_INFO, "routes_in_force",
		  "version=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
		  " routes=%u",
		  routes_version(routes),
		  cf_config_revision(session_config(d->session)),
		  routes_count(routes));
}

static void read_routes(struct leased_dispatcher *d)
{
	uint64_t version;
	GBytes *document =
		cf_config_routes(session_config(d->session), &version);

	if (!document || version <= d->read_version)
		return;
	d->read_version = version;
	routes_reader_read(d->routes_reader, document);
}

static void config_changed(void *arg)
{
	struct leased_dispatcher *d = arg;

	d->coordinator_contact_ms = loop_now_ms(d->loop);
	read_routes(d);
	dispatch_set_config(d->dispatch, session_config(d->session));
	dispatcher_select_agents(d, loop_now_ms(d->loop));
}

static void roster_changed(void *arg, const Cfw__Roster *roster)
{
	struct leased_dispatcher *d = arg;

	dispatcher_apply_roster(d, roster);
	dispatcher_cancels_apply_roster(d->cancels, roster);
}

static void open_session(struct leased_dispatcher *d)
{
	static const struct coordinators_handlers handlers = {
		.config = config_changed,
		.roster = roster_changed,
	};

	d->session = reload_open_session(
		d->settings, d->loop, d->hub, CFW__ROLE__ROLE_DISPATCHER,
		d->incarnation, d->address, &handlers, d);
}

/* ---- Periodic work -------------------------------------------------- */

static void raise_counter(struct counter *counter, uint64_t *counted,
			  uint64_t total)
{
	counter_add(counter, (int64_t)(total - *counted));
	*counted = total;
}

static void set_gauges(struct leased_dispatcher *d, int64_t now_ms)
{
	struct dispatch_load load;

	if (now_ms < d->gauges_set_ms + GAUGE_INTERVAL_MS)
		return;
	d->gauges_set_ms = now_ms;
	dispatch_get_load(d->dispatch, &load);
	gauge_set(d->jobs, load.jobs);
	gauge_set(d->waiting, load.waiting_tasks);
	gauge_set(d->late_waiting, load.late_waiting_tasks);
	raise_counter(d->late_jobs, &d->counted_late_jobs, load.late_jobs);
	raise_counter(d->lost_runs, &d->counted_lost_runs, load.lost_runs);
	raise_counter(d->crashing_jobs, &d->counted_crashing_jobs,
		      load.crashing_jobs);
	raise_counter(d->doubtful_jobs, &d->counted_doubtful_jobs,
		      load.doubtful_jobs);
	gauge_set(d->sent, load.sent_tasks);
	gauge_set(d->remembered_jobs, load.remembered_jobs);
	gauge_set(d->servers, load.servers);
	gauge_set(d->usable, load.usable_servers);
	gauge_set(d->speeds_known, load.speeds_known);
	gauge_set(d->free_milli, (int64_t)load.free_milli);
	gauge_set(d->interfering_pairs, load.interfering_pairs);
	dispatcher_count_losses(d, &load);
}

static void tick(void *arg, int64_t now_ms)
{
	struct leased_dispatcher *d = arg;

	dispatch_tick(d->dispatch, now_ms);
	dispatcher_drop_unlisted(d, now_ms);
	dispatcher_adjust_subset(d, now_ms);
	dispatcher_release_held(d);
	dispatcher_cancels_tick(d->cancels, now_ms);
	update_readiness(d, now_ms);
	set_gauges(d, now_ms);
}

/* ---- Start ---------------------------------------------------------- */

static void get_answer_counters(struct leased_dispatcher *d)
{
	static const char *const names[VERDICT_COUNT] = { "completed", "failed",
							  "refused",
							  "given_up" };

	for (size_t v = 0; v < VERDICT_COUNT; v++) {
		g_autofree char *label =
			g_strdup_printf("verdict=\"%s\"", names[v]);
		int64_t bound_ms = 10;

		d->verdicts[v] = counter_get("jobs_answered_total", label,
					     "jobs answered");
		d->answer_sum_ms[v] =
			counter_get("job_answer_ms_sum", label,
				    "time from arrival to answer");
		for (size_t b = 0; b < ANSWER_BUCKETS; b++, bound_ms *= 2) {
			g_autofree char *bucket_label = g_strdup_printf(
				b + 1 < ANSWER_BUCKETS ? "%s,up_to_ms=\"%d\""
						       : "%s,up_to_ms=\"more\"",
				label, (int)bound_ms);

			d->answer_buckets[v][b] =
				counter_get("job_answer_ms", bucket_label,
					    "jobs by time to the answer");
		}
	}
}

static void get_counters(struct leased_dispatcher *d)
{
	get_answer_counters(d);
	d->no_route = counter_get("requests_without_route_total", NULL,
				  "requests that no route takes");
	d->unready = counter_get("requests_unready_total", NULL,
				 "requests that came before routes were known");
	d->malformed = counter_get("requests_malformed_total", NULL,
				   "requests that can't be read");
	d->bad_entries =
		counter_get("run_report_entries_unusable_total", NULL,
			    "entries of agents' reports that were left out");
	d->held_total =
		counter_get("requests_held_total", NULL,
			    "submissions held while the process started");
	d->too_late =
		counter_get("requests_too_late_total", NULL,
			    "submissions refused while the process stops, "
			    "because they could not end in time");
	d->held = gauge_get("requests_held", NULL,
			    "submissions held until the process can serve");
	d->jobs = gauge_get("jobs_open", NULL, "jobs not yet answered");
	d->waiting = gauge_get("tasks_waiting", NULL, "tasks not yet sent");
	d->late_waiting = gauge_get("late_tasks_waiting", NULL,
				    "tasks not yet sent that can't be in time");
	d->late_jobs = counter_get("jobs_late_total", NULL,
				   "jobs that waited without a chance to be "
				   "in time");
	d->lost_runs = counter_get("tasks_lost_total", NULL,
				   "runs of tasks lost with their server");
	d->crashing_jobs = counter_get("jobs_crashing_total", NULL,
				       "jobs given up because servers "
				       "crashed when a task was started there");
	d->doubtful_jobs = counter_get("jobs_crash_suspected_total", NULL,
				       "jobs given up because servers may have "
				       "crashed under a task");
	d->sent = gauge_get("tasks_sent", NULL, "tasks at servers");
	d->remembered_jobs =
		gauge_get("jobs_remembered", NULL,
			  "ended jobs whose run numbers are remembered");
	d->servers = gauge_get("servers_known", NULL, "servers known");
	d->usable = gauge_get("servers_usable", NULL, "servers that take work");
	d->speeds_known = gauge_get("servers_speed_known", NULL,
				    "servers whose speed was measured");
	d->free_milli = gauge_get("servers_free_cpu_milli", NULL,
				  "processors free by the newest reports");
	d->interfering_pairs =
		gauge_get("interfering_pairs", NULL,
			  "pairs of classes that slow each other down");
	d->contained_classes = gauge_get("classes_contained", NULL,
					 "classes that run on few servers "
					 "because they crash servers");
	d->suspect_tasks = gauge_get("tasks_contained", NULL,
				     "tasks that may have crashed a server");
	d->crashes_explained =
		counter_get("crashes_explained_total", NULL,
			    "crashes of servers that prove a class to be "
			    "the cause");
	d->agents_wanted =
		gauge_get("agents_wanted", NULL, "agents to be connected to");
	d->agents_listed =
		gauge_get("agents_listed", NULL, "agents on the roster");
	d->routes_version = gauge_get("routes_version", NULL,
				      "version of the routes in force");
}

static struct leased_dispatcher *create_empty(const struct settings *settings)
{
	static const struct dispatch_sink_ops ops = {
		.start = dispatcher_send_start,
		.stop = dispatcher_send_stop,
		.answer = dispatcher_send_answer,
		.set_demand = dispatcher_send_demand,
	};
	struct agent_subset_options subset = {
		.name = settings_text(settings, "name"),
		.data_centre = settings_text(settings, "data-centre"),
		.agents_min = (uint32_t)settings_number(settings, "agents-min"),
		.agents_max = (uint32_t)settings_number(settings, "agents-max"),
	};
	struct leased_dispatcher *d = g_new0(struct leased_dispatcher, 1);

	d->sink.ops = &ops;
	d->settings = settings;
	d->formats = role_formats();
	d->incarnation = clock_random();
	d->start_hold = start_hold_create(clock_now_ms());
	d->links = g_ptr_array_new();
	d->subset = agent_subset_create(&subset);
	d->dispatch = dispatch_create(&d->sink,
				      settings_text(settings, "data-centre"));
	dispatch_set_containment(d->dispatch,
				 settings_bool(settings, "containment"));
	get_counters(d);
	d->cancels = dispatcher_cancels_create(d);
	return d;
}

static bool open_all(struct leased_dispatcher *d, GError **error)
{
	const struct settings *s = d->settings;
	struct link_options links = {
		.self = { .role = CFW__ROLE__ROLE_DISPATCHER,
			  .name = settings_text(s, "name"),
			  .incarnation = d->incarnation,
			  .data_centre = settings_text(s, "data-centre") },
		.heartbeat_ms = settings_number(s, "heartbeat-ms")
	};
	struct door_limits doors[DOOR_COUNT];
	uint16_t port;

	role_divide_doors(s, DOORS_FOR_REQUESTS, doors);
	links.connections_max = doors[DOOR_LINKS].connections_max;
	links.held_max_bytes = doors[DOOR_LINKS].held_max_bytes;
	d->loop = loop_create(error);
	if (!d->loop)
		return false;
	d->hub = link_hub_create(d->loop, &links, &dispatcher_link_handlers, d);
	if (!link_hub_listen(d->hub, settings_text(s, "listen"), &port, error))
		return false;
	d->address = role_address(s, port);
	d->routes_reader =
		routes_reader_create(d->loop, d->formats, use_routes, d);
	open_session(d);
	d->admin = admin_create(settings_text(s, "admin"), &doors[DOOR_ADMIN],
				error);
	if (!d->admin)
		return false;
	admin_set_ready(d->admin, false, "starting");
	return admin_start(d->admin, error) &&
	       dispatcher_start_http(d, &doors[DOOR_MAIN], error);
}

static gpointer run(gpointer arg)
{
	struct leased_dispatcher *d = arg;

	loop_run(d->loop);
	return NULL;
}

/* ---- Stop ----------------------------------------------------------- */

static void begin_drain(void *arg)
{
	struct leased_dispatcher *d = arg;

	d->draining = true;
}

static void abort_all_jobs(void *arg)
{
	struct leased_dispatcher *d = arg;

	dispatch_abort_all(d->dispatch, loop_now_ms(d->loop));
	dispatcher_cancels_abort(d->cancels);
}

static void enter_phase(struct leased_dispatcher *d, enum drain_phase phase)
{
	static const char *const names[] = { "accepting", "closing", "aborting",
					     "ended" };

	log_event(LOG_INFO, "draining", "phase=%s requests=%u connections=%u",
		  names[phase], http_server_open_requests(d->http),
		  http_server_connections(d->http));
	if (phase == DRAIN_ACCEPTING) {
		http_server_close_after_answers(d->http);
	} else if (phase == DRAIN_CLOSING) {
		http_server_quiesce(d->http);
		http_server_close_idle(d->http);
	} else if (phase == DRAIN_ABORTING) {
		loop_post(d->loop, abort_all_jobs, d);
	}
}

static void drain_requests(struct leased_dispatcher *d)
{
	enum drain_phase phase = DRAIN_ACCEPTING, next;

	drain_begin(&d->drain, settings_number(d->settings, "stop-wait-ms"),
		    clock_now_ms());
	g_atomic_int_set(&d->stopping, 1);
	loop_post(d->loop, begin_drain, d);
	enter_phase(d, phase);
	while (phase != DRAIN_ENDED) {
		g_usleep(STOP_POLL_US);
		next = drain_next(&d->drain, http_server_connections(d->http),
				  clock_now_ms());
		if (next != phase)
			enter_phase(d, next);
		phase = next;
	}
}

static void shut_down(void *arg)
{
	struct leased_dispatcher *d = arg;

	session_leave(d->session);
	link_flush(d->hub, STOP_POLL_US / US_PER_MS);
	loop_stop(d->loop);
}

int leased_dispatcher_main(const struct settings *settings)
{
	struct leased_dispatcher *d = create_empty(settings);
	GError *error = NULL;

	if (!open_all(d, &error))
		return role_start_failed(error);
	d->tick = loop_timer_create(d->loop, tick, d);
	loop_timer_start(d->tick, DISPATCH_TICK_MS, DISPATCH_TICK_MS);
	d->thread = g_thread_new("dispatcher", run, d);
	reload_watch(settings, d->loop, d->session);
	log_event(LOG_INFO, "started", "http=%s data_centre=%s",
		  settings_text(settings, "http"),
		  settings_text(settings, "data-centre"));
	role_wait_for_stop();
	log_event(LOG_INFO, "stopping", NULL);
	drain_requests(d);
	http_server_destroy(d->http);
	loop_post(d->loop, shut_down, d);
	g_thread_join(d->thread);
	routes_reader_destroy(d->routes_reader);
	admin_destroy(d->admin);
	log_event(LOG_INFO, "stopped", NULL);
	return 0;
}
