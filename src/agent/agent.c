/*
 * agent: the process that runs beside a backend server. It registers the
 * server with the coordinators under a lease, passes each task through
 * the start gate, calls the server over HTTP and drains it on stop.
 */
#include "agent/agent_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/logger.h"
#include "base/trace_file.h"
#include "agent/agent_trace.h"

#include <inttypes.h>

/* ---- Constants ---- */

#define TICK_MS 20
#define STOP_POLL_MS 10
#define LEAVE_FLUSH_MS 100
/* After the agent has announced that it leaves, it waits for this long
 * without a Dispatch. By then every dispatcher has received the notice,
 * and no Dispatch is still in transit. */
#define STOP_QUIET_MS 500

/* ---- Messages ---- */

static void set_sender_link(struct dispatch_sender *sender, struct link *link)
{
	sender->link = link;
	sender->received = 0;
	sender->reported_ms = 0;
}

/* A dispatcher sends on one connection at a time. Older connections of
 * the same dispatcher can stay up for a moment, or be dead without this
 * side having noticed. Replies go to the connection used last. */
static void select_sender_link(struct agent *agent, struct link *link)
{
	const struct link_identity *peer = link_peer(link);
	struct dispatch_sender *sender;

	if (peer->role != CFW__ROLE__ROLE_DISPATCHER)
		return;
	sender = agent_get_sender(agent, peer->incarnation);
	if (sender->link != link)
		set_sender_link(sender, link);
}

static void on_message(void *arg, struct link *link,
		       const Cfw__Envelope *envelope)
{
	struct agent *agent = arg;

	if (session_handle_message(agent->session, link, envelope))
		return;
	select_sender_link(agent, link);
	switch (envelope->body_case) {
	case CFW__ENVELOPE__BODY_DISPATCH:
		agent_handle_dispatch(agent, link, envelope->dispatch);
		break;
	case CFW__ENVELOPE__BODY_OPEN:
		agent_handle_open(agent, envelope->open);
		break;
	case CFW__ENVELOPE__BODY_CANCEL:
		agent_handle_cancel(agent, link, envelope->cancel);
		break;
	case CFW__ENVELOPE__BODY_QUERY:
		agent_handle_query(agent, link, envelope->query);
		break;
	default:
		counter_add(agent->counters.dropped, 1);
		break;
	}
}

static void on_up(void *arg, struct link *link)
{
	struct agent *agent = arg;
	const struct link_identity *peer = link_peer(link);
	struct dispatch_sender *sender;

	if (session_link_up(agent->session, link) ||
	    peer->role != CFW__ROLE__ROLE_DISPATCHER)
		return;
	sender = agent_get_sender(agent, peer->incarnation);
	g_ptr_array_add(sender->links, link);
	if (!sender->link)
		set_sender_link(sender, link);
}

static struct link *newest_link(const struct dispatch_sender *sender)
{
	guint n = sender->links->len;

	return n ? sender->links->pdata[n - 1] : NULL;
}

static void on_down(void *arg, struct link *link)
{
	struct agent *agent = arg;
	GHashTableIter iter;
	struct dispatch_sender *sender;

	session_link_down(agent->session, link);
	g_hash_table_iter_init(&iter, agent->senders);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&sender))
		if (g_ptr_array_remove(sender->links, link) &&
		    sender->link == link)
			set_sender_link(sender, newest_link(sender));
}

/* ---- Session ---- */

static void on_config(void *arg)
{
	struct agent *agent = arg;

	agent_fence_dispatchers(agent);
	agent_process_gate(agent);
}

static void on_roster(void *arg, const Cfw__Roster *roster)
{
	(void)arg;
	(void)roster; /* an agent connects to no roster entry */
}

static void on_lease(void *arg, bool held)
{
	struct agent *agent = arg;

	admin_set_ready(agent->admin, held && !agent->admission.stopping,
			held ? "stopping" : "no lease");
	agent_process_gate(agent);
}

static void on_fenced(void *arg)
{
	struct agent *agent = arg;

	agent->admission.fenced = true;
	log_event(LOG_ERROR, "fenced", "incarnation=%016" PRIx64,
		  agent->incarnation);
	agent_process_gate(agent);
}

static void on_tick(void *arg, int64_t now_ms)
{
	struct agent *agent = arg;

	agent_update_draining(agent);
	cf_gate_expire(agent->gate, now_ms);
	agent_process_gate(agent);
	agent_report_loads(agent);
}

/* ---- Start and stop ---- */

static void *APR_THREAD_FUNC run_loop(apr_thread_t *thread, void *arg)
{
	struct agent *agent = arg;

	(void)thread;
	loop_run(agent->loop);
	return NULL;
}

static void open_counters(struct agent_counters *c)
{
	c->offered = counter_get("agent_tasks_offered_total", NULL,
				 "Tasks that dispatchers sent");
	c->started = counter_get("agent_tasks_started_total", NULL,
				 "Tasks that passed the start gate");
	c->done = counter_get("agent_tasks_done_total", NULL,
			      "Tasks that ended with a result");
	c->failed = counter_get("agent_tasks_failed_total", NULL,
				"Tasks that ran and failed");
	c->fenced = counter_get("agent_tasks_fenced_total", NULL,
				"Tasks that will never start here");
	c->unstarted = counter_get("agent_tasks_unstarted_total", NULL,
				   "Calls that never reached the server");
	c->queries = counter_get("agent_queries_total", NULL,
				 "Queries of dispatchers");
	c->cancels = counter_get("agent_cancels_total", NULL,
				 "Cancellations of dispatchers");
	c->dropped = counter_get("agent_messages_dropped_total", NULL,
				 "Messages that could not be used or sent");
	c->running = gauge_get("agent_tasks_running", NULL, "Tasks that run");
	c->queued = gauge_get("agent_tasks_queued", NULL, "Tasks that wait");
}

static struct link_hub *open_hub(struct agent *agent, GError **error)
{
	const struct settings *s = agent->settings;
	struct link_options options = {
		.self = { CFW__ROLE__ROLE_AGENT, settings_text(s, "name"),
			  agent->incarnation, 0,
			  settings_text(s, "data-centre") },
		.heartbeat_ms = settings_number(s, "heartbeat-ms"),
		.connections_max = agent->doors[DOOR_LINKS].connections_max,
		.held_max_bytes = agent->doors[DOOR_LINKS].held_max_bytes,
	};
	static const struct link_handlers handlers = { on_up, on_message,
						       on_down };
	struct link_hub *hub =
		link_hub_create(agent->loop, &options, &handlers, agent);

	if (!link_hub_listen(hub, settings_text(s, "listen"), &agent->port,
			     error)) {
		link_hub_destroy(hub);
		return NULL;
	}
	return hub;
}

static void open_session(struct agent *agent)
{
	const struct settings *s = agent->settings;
	static const struct session_handlers handlers = { on_config, on_roster,
							  on_lease, on_fenced };
	char *address = role_address(s, agent->port);
	struct session_options options = {
		.loop = agent->loop,
		.hub = agent->hub,
		.role = CFW__ROLE__ROLE_AGENT,
		.incarnation = agent->incarnation,
		.name = settings_text(s, "name"),
		.data_centre = settings_text(s, "data-centre"),
		.rack = settings_text(s, "rack"),
		.address = address,
		.coordinators = settings_list(s, "coordinators"),
	};

	agent->session = session_create(&options, &handlers, agent);
	g_free(address);
}

static bool open_all(struct agent *agent, GError **error)
{
	const struct settings *s = agent->settings;
	struct cf_capacity none = { 0 };

	role_divide_doors(s, DOORS_FOR_REQUESTS, agent->doors);
	agent->loop = loop_create(error);
	if (!agent->loop)
		return false;
	agent->hub = open_hub(agent, error);
	if (!agent->hub)
		return false;
	agent->client = http_client_create(agent->loop, 0, error);
	if (!agent->client)
		return false;
	agent->admin = admin_create(settings_text(s, "admin"),
				    &agent->doors[DOOR_ADMIN], error);
	if (!agent->admin || !admin_start(agent->admin, error))
		return false;
	agent->gate = cf_gate_create(&none, AGENT_OUTCOME_RETENTION_MS);
	agent_trace_gate(&none, AGENT_OUTCOME_RETENTION_MS);
	agent->batches = g_hash_table_new_full(
		agent_task_id_hash, agent_task_id_equal, g_free, NULL);
	agent->senders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, agent_sender_free);
	open_session(agent);
	agent->timer = loop_timer_create(agent->loop, on_tick, agent);
	loop_timer_start(agent->timer, TICK_MS, TICK_MS);
	return agent_backend_open(agent, error);
}

static void close_all(struct agent *agent)
{
	http_server_destroy(agent->backend_server);
	http_client_destroy(agent->client);
	admin_destroy(agent->admin);
	if (agent->timer)
		loop_timer_destroy(agent->timer);
	session_destroy(agent->session);
	link_hub_destroy(agent->hub);
	if (agent->batches)
		g_hash_table_destroy(agent->batches);
	if (agent->senders)
		g_hash_table_destroy(agent->senders);
	cf_gate_destroy(agent->gate);
	loop_destroy(agent->loop);
	g_free(agent->admission.backend_url);
	apr_pool_destroy(agent->pool);
	g_free(agent);
}

struct agent *agent_start(const struct settings *settings, GError **error)
{
	struct agent *agent = g_new0(struct agent, 1);
	apr_status_t status;

	agent->settings = settings;
	agent->incarnation = clock_random();
	apr_pool_create(&agent->pool, NULL);
	open_counters(&agent->counters);
	if (!role_open_trace(settings, agent->incarnation, error) ||
	    !open_all(agent, error)) {
		close_all(agent);
		return NULL;
	}
	status = apr_thread_create(&agent->thread, NULL, run_loop, agent,
				   agent->pool);
	if (status != APR_SUCCESS) {
		role_set_error(error, "thread", status);
		close_all(agent);
		return NULL;
	}
	log_event(LOG_INFO, "started",
		  "incarnation=%016" PRIx64 " port=%u backend_port=%u admin=%u",
		  agent->incarnation, agent->port, agent->backend_port,
		  admin_port(agent->admin));
	return agent;
}

static void begin_stop(void *arg)
{
	struct agent *agent = arg;

	agent->admission.stopping = true;
	trace_event("leaving", "who=agent");
	admin_set_ready(agent->admin, false, "stopping");
	agent_update_draining(agent);
	agent_process_gate(agent);
}

static void leave_session(void *arg)
{
	struct agent *agent = arg;

	session_leave(agent->session);
	link_flush(agent->hub, LEAVE_FLUSH_MS);
	g_atomic_int_set(&agent->session_left, 1);
}

/* Waits until no task is in progress and no Dispatch has arrived for
 * STOP_QUIET_MS, at most until end_ms. Returns the tasks still in progress. */
static int wait_until_drained(struct agent *agent, int64_t end_ms)
{
	int64_t quiet_since_ms = clock_now_ms();
	gint seen = g_atomic_int_get(&agent->dispatches);
	int64_t now_ms;
	int in_progress;

	do {
		gint dispatches;

		g_usleep(STOP_POLL_MS * 1000);
		now_ms = clock_now_ms();
		dispatches = g_atomic_int_get(&agent->dispatches);
		in_progress = g_atomic_int_get(&agent->in_progress);
		if (dispatches != seen)
			quiet_since_ms = now_ms;
		seen = dispatches;
	} while (now_ms < end_ms &&
		 (in_progress || now_ms - quiet_since_ms < STOP_QUIET_MS));
	return in_progress;
}

void agent_stop(struct agent *agent)
{
	int64_t end_ms = clock_now_ms() +
			 settings_number(agent->settings, "stop-wait-ms");
	int unfinished_tasks;
	apr_status_t status;

	trace_event("stop_begin", NULL);
	log_event(LOG_INFO, "stopping", NULL);
	loop_post(agent->loop, begin_stop, agent);
	unfinished_tasks = wait_until_drained(agent, end_ms);
	loop_post(agent->loop, leave_session, agent);
	while (!g_atomic_int_get(&agent->session_left) ||
	       g_atomic_int_get(&agent->backend_calls))
		g_usleep(STOP_POLL_MS * 1000);
	loop_stop(agent->loop);
	apr_thread_join(&status, agent->thread);
	trace_event("stop_end", "in_progress=%d", unfinished_tasks);
	trace_close();
	log_event(LOG_INFO, "stopped", "in_progress=%d", unfinished_tasks);
	close_all(agent);
}

int agent_main(const struct settings *settings)
{
	GError *error = NULL;
	struct agent *agent = agent_start(settings, &error);

	if (!agent)
		return role_start_failed(error);
	role_wait_for_stop();
	agent_stop(agent);
	return 0;
}
