/*
 * dispatch_servers: a dispatcher's records of agents and backend servers: the
 * state that they last reported and the starts sent to them since.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"
#include "leased/leases.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define MILLI 1000U
/* An agent whose lease is this old is about to lose it or is disconnected. */
#define LEASE_STALE_MS 400
/* A server that fails all its tasks gets one task per interval as a probe. */
#define PROBE_INTERVAL_MS 2000
/* Failing servers are avoided only up to this part of the usable ones. If more
 * fail, the fault is likely in the tasks or in something they share. */
#define FAILING_MAX_MILLI 300
/* Added to RUN_END_MAX_MS, the time by which leases end the runs of a lost
 * agent. */
#define RUN_END_MARGIN_MS 30

/* ---- Rates ---------------------------------------------------------- */

double rate_now(const struct rate *rate, double period_ms, int64_t now_ms)
{
	return rate->per_ms *
	       exp(-(double)(now_ms - rate->updated_ms) / period_ms);
}

void rate_add(struct rate *rate, double amount, double period_ms,
	      int64_t now_ms)
{
	rate->per_ms = rate_now(rate, period_ms, now_ms) + amount / period_ms;
	rate->updated_ms = now_ms;
}

/* ---- One server ----------------------------------------------------- */

bool server_is_usable(const struct dispatch *d,
		      const struct dispatch_server *server)
{
	return server->agent && server->agent->connected &&
	       !server->agent->lease_stale && server->state.accepting &&
	       (!d->config ||
		cf_config_in_service(d->config,
				     server->agent->identity.data_centre));
}

int64_t server_free_cpu_milli(const struct dispatch_server *server)
{
	return server->state.free_cpu_milli - server->pending_cpu_milli;
}

int64_t server_offered_cpu_milli(const struct dispatch_server *server)
{
	return server->state.offered_cpu_milli - server->pending_cpu_milli;
}

int64_t server_free_memory_mb(const struct dispatch_server *server)
{
	return server->state.free_memory_mb - server->pending_memory_mb;
}

double server_expected_ms(const struct dispatch_server *server,
			  const struct dispatch_job *job)
{
	return job->predicted_ms * server->speed;
}

double server_run_ms(const struct dispatch *d,
		     const struct dispatch_server *server,
		     const struct dispatch_job *job)
{
	return server_expected_ms(server, job) *
	       cf_health_slowness(d->health, server->id) *
	       server_interference(d, server, job);
}

void server_add_run(struct dispatch_server *server,
		    const struct dispatch_job *job)
{
	struct pending_start *start = g_new0(struct pending_start, 1);

	start->position = ++server->agent->starts_sent;
	start->server = server;
	start->cpu_milli = job->spec.cpu_milli;
	start->memory_mb = job->spec.memory_mb;
	g_queue_push_tail(server->agent->pending_starts, start);
	server->pending_cpu_milli += start->cpu_milli;
	server->pending_memory_mb += start->memory_mb;
	server->own_runs++;
	server_add_class(server, job->class->name);
	server->own_cpu_milli += start->cpu_milli;
	job->class->running_cpu_milli += start->cpu_milli;
	job->class->running_work += dispatch_task_work(job);
}

static void acknowledge_starts(struct dispatch_agent *agent, uint64_t received)
{
	struct pending_start *start;

	while ((start = g_queue_peek_head(agent->pending_starts)) &&
	       start->position <= received) {
		start->server->pending_cpu_milli -= start->cpu_milli;
		start->server->pending_memory_mb -= start->memory_mb;
		g_free(g_queue_pop_head(agent->pending_starts));
	}
}

/* ---- Agents --------------------------------------------------------- */

static struct dispatch_agent *find_agent(const struct dispatch *d,
					 uint64_t agent)
{
	return g_hash_table_lookup(d->agents, &agent);
}

void dispatch_agent_connected(struct dispatch *d,
			      const struct agent_identity *identity,
			      int64_t now_ms)
{
	struct dispatch_agent *agent = find_agent(d, identity->incarnation);

	if (!agent) {
		agent = g_new0(struct dispatch_agent, 1);
		agent->identity = *identity;
		agent->servers = g_ptr_array_new();
		agent->pending_starts = g_queue_new();
		g_hash_table_insert(d->agents, &agent->identity.incarnation,
				    agent);
	}
	acknowledge_starts(agent, UINT64_MAX);
	agent->starts_sent = 0;
	agent->connected = true;
	agent->lease_stale = false;
	agent->disconnected_ms = 0;
	agent->lease_granted_ms = now_ms;
	log_event(LOG_INFO, "agent_connected",
		  "agent=%s incarnation=%016" PRIx64 " data_centre=%s",
		  identity->name, identity->incarnation, identity->data_centre);
}

void dispatch_agent_lease_granted(struct dispatch *d, uint64_t incarnation,
				  int64_t now_ms)
{
	struct dispatch_agent *agent = find_agent(d, incarnation);

	if (agent)
		agent->lease_granted_ms = now_ms;
}

void dispatch_agent_disconnected(struct dispatch *d, uint64_t incarnation,
				 int64_t now_ms)
{
	struct dispatch_agent *agent = find_agent(d, incarnation);

	if (!agent || !agent->connected)
		return;
	agent->connected = false;
	agent->disconnected_ms = now_ms;
	log_event(LOG_WARN, "agent_lost",
		  "agent=%s incarnation=%016" PRIx64
		  " its_runs_end_in_ms=%" PRId64,
		  agent->identity.name, incarnation,
		  agent->lease_granted_ms + RUN_END_MAX_MS + RUN_END_MARGIN_MS -
			  now_ms);
}

void dispatch_set_config(struct dispatch *d, const struct cf_config *config)
{
	d->config = config;
}

bool dispatch_has_runs_at(const struct dispatch *d, uint64_t incarnation)
{
	const struct dispatch_agent *agent = find_agent(d, incarnation);

	for (guint i = 0; agent && i < agent->servers->len; i++) {
		const struct dispatch_server *server =
			g_ptr_array_index(agent->servers, i);

		if (server->own_runs)
			return true;
	}
	return false;
}

/* ---- Failing servers ------------------------------------------------ */

bool server_is_avoided(const struct dispatch *d,
		       const struct dispatch_server *server, int64_t now_ms)
{
	return d->avoids_failing && server->state.fails_all &&
	       (server->own_runs ||
		now_ms - server->last_start_ms < PROBE_INTERVAL_MS);
}

static void update_avoidance(struct dispatch *d)
{
	uint32_t usable = 0, failing = 0;

	for (guint i = 0; i < d->servers->len; i++) {
		const struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);

		if (!server_is_usable(d, server))
			continue;
		usable++;
		failing += server->state.fails_all;
	}
	d->avoids_failing = failing * MILLI <= usable * FAILING_MAX_MILLI;
}

/* ---- Speeds --------------------------------------------------------- */

static void record_speed(struct dispatch *d, struct dispatch_server *server,
			 const struct server_state *state, int64_t now_ms)
{
	struct speed_report report = { .log = state->speed_log,
				       .sd = state->speed_sd };

	g_strlcpy(report.kind, state->kind, sizeof(report.kind));
	if (server->state.speed_sd > 0 && state->speed_sd <= 0)
		server->speed_reset = true;
	if (state->speed_sd > 0)
		server->speed_measured_ms = now_ms - state->speed_age_ms;
	speed_view_update(d->speeds, server->id, &report, now_ms);
}

/* The health records compare runs with what was expected on their server, so
 * they follow a change of its speed. A replaced server's don't: what they hold
 * is not about the new one. */
static void apply_speeds(struct dispatch *d, int64_t now_ms)
{
	speed_view_refresh(d->speeds, now_ms);
	d->uneven = false;
	for (guint i = 0; i < d->servers->len; i++) {
		struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);
		double speed = speed_view_factor(d->speeds, server->id);

		if (speed != server->speed && !server->speed_reset)
			cf_health_rescale(d->health, server->id,
					  speed / server->speed);
		server->speed_reset = false;
		server->speed = speed;
		server->speed_known =
			speed_view_is_known(d->speeds, server->id);
		d->uneven |= speed >= SERVER_SLOW_SPEED;
	}
}

/* ---- Reports of agents ---------------------------------------------- */

static struct dispatch_server *find_server(const struct dispatch_agent *agent,
					   const char *name)
{
	for (guint i = 0; i < agent->servers->len; i++) {
		struct dispatch_server *server =
			g_ptr_array_index(agent->servers, i);

		if (!strcmp(server->state.name, name))
			return server;
	}
	return NULL;
}

static struct dispatch_server *
add_server(struct dispatch *d, struct dispatch_agent *agent, int64_t now_ms)
{
	struct dispatch_server *server = g_new0(struct dispatch_server, 1);

	server->id = ++d->next_server;
	cf_health_add(d->health, server->id, now_ms);
	server->agent = agent;
	server->speed = 1;
	g_ptr_array_add(agent->servers, server);
	g_ptr_array_add(d->servers, server);
	return server;
}

void dispatch_update_server(struct dispatch *d, uint64_t incarnation,
			    const struct server_state *state, int64_t now_ms)
{
	struct dispatch_agent *agent = find_agent(d, incarnation);
	struct dispatch_server *server;
	int64_t offered_milli;
	bool could_accept;

	if (!agent)
		return;
	server = find_server(agent, state->name);
	if (!server)
		server = add_server(d, agent, now_ms);
	if (server->state.fails_all != state->fails_all)
		log_event(LOG_INFO, "server_fails_all",
			  "agent=%s server=%s fails_all=%d",
			  agent->identity.name, state->name, state->fails_all);
	if (server->state.accepting != state->accepting)
		log_event(LOG_INFO, "server_accepting",
			  "agent=%s server=%s accepting=%d",
			  agent->identity.name, state->name, state->accepting);
	record_speed(d, server, state, now_ms);
	offered_milli = server_offered_cpu_milli(server);
	could_accept = server->state.accepting;
	server->state = *state;
	server->reported = true;
	acknowledge_starts(agent, state->received);
	server->offers_more |= server_offered_cpu_milli(server) >
				       offered_milli ||
			       (state->accepting && !could_accept);
}

void dispatch_finish_report(struct dispatch *d, uint64_t incarnation,
			    int64_t now_ms)
{
	struct dispatch_agent *agent = find_agent(d, incarnation);

	bool offers_more = false;

	for (guint i = 0; agent && i < agent->servers->len; i++) {
		struct dispatch_server *server =
			g_ptr_array_index(agent->servers, i);

		if (!server->reported)
			server->state.accepting = false;
		offers_more |= server->offers_more;
		server->reported = false;
		server->offers_more = false;
	}
	if (offers_more)
		dispatch_place_tasks(d, now_ms);
}

/* ---- Ended runs and lost agents ------------------------------------- */

void server_remove_run(struct dispatch_server *server,
		       const struct dispatch_job *job)
{
	job->class->running_cpu_milli -= job->spec.cpu_milli;
	job->class->running_work -= dispatch_task_work(job);
	server->own_runs--;
	server_remove_class(server, job->class->name);
	server->own_cpu_milli -= job->spec.cpu_milli;
}

/* Queues the tasks of a lost agent again, after its lease has ended and with
 * it every run that was sent there. Whether a server crashed under one of them
 * isn't known, so that none counts as a loss. */
static void requeue_runs(struct dispatch *d, uint64_t agent, int64_t now_ms)
{
	g_autoptr(GArray) runs = dispatch_list_runs(d, agent);

	for (guint i = 0; i < runs->len; i++) {
		struct run_result result = {
			.name = g_array_index(runs, struct sent_run, i).name,
			.outcome = RUN_OUTCOME_STOPPED
		};

		dispatch_handle_result(d, agent, &result, now_ms);
	}
}

static void remove_agent(struct dispatch *d, struct dispatch_agent *agent,
			 int64_t now_ms)
{
	uint64_t incarnation = agent->identity.incarnation;

	log_event(LOG_WARN, "agent_gone",
		  "agent=%s incarnation=%016" PRIx64 " lost_ms=%" PRId64,
		  agent->identity.name, incarnation,
		  now_ms - agent->disconnected_ms);
	requeue_runs(d, incarnation, now_ms);
	acknowledge_starts(agent, UINT64_MAX);
	for (guint i = 0; i < agent->servers->len; i++) {
		struct dispatch_server *server =
			g_ptr_array_index(agent->servers, i);

		cf_health_leave(d->health, server->id);
		speed_view_remove(d->speeds, server->id);
		interference_view_report(d->interference, server->id, "", NULL,
					 0, now_ms);
		g_ptr_array_remove(d->servers, server);
	}
	g_hash_table_remove(d->agents, &incarnation);
}

void servers_tick(struct dispatch *d, int64_t now_ms)
{
	g_autoptr(GPtrArray) expired = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	cf_health_tick(d->health, now_ms);
	apply_speeds(d, now_ms);
	update_avoidance(d);
	interference_tick(d, now_ms);
	g_hash_table_iter_init(&iter, d->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_agent *agent = value;

		agent->lease_stale = now_ms - agent->lease_granted_ms >
				     LEASE_STALE_MS;
		if (!agent->connected && now_ms >= agent->lease_granted_ms +
							   RUN_END_MAX_MS +
							   RUN_END_MARGIN_MS)
			g_ptr_array_add(expired, agent);
	}
	for (guint i = 0; i < expired->len; i++)
		remove_agent(d, g_ptr_array_index(expired, i), now_ms);
}
