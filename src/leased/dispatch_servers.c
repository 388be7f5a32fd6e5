/*
 * dispatch_servers: agents and their backend servers as a dispatcher
 * knows them: what they last told, and what was sent there since.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"
#include "leased/leases.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define MILLI 1000U
#define QUIET_MS 400 /* it is about to lose its lease, or is cut off */
#define PROBE_EVERY_MS 2000 /* of a server that fails what it starts */
/* When more fail, the fault is the work or something that they share. */
#define AVOIDED_MOST_MILLI 300
#define AGENT_ENDED_MARGIN_MS 30 /* on top of the chain of leases */

/* ---- Rates ---------------------------------------------------------- */

double rate_now(const struct rate *rate, double period_ms, int64_t now_ms)
{
	return rate->per_ms * exp(-(double)(now_ms - rate->at_ms) / period_ms);
}

void rate_add(struct rate *rate, double amount, double period_ms,
	      int64_t now_ms)
{
	rate->per_ms = rate_now(rate, period_ms, now_ms) + amount / period_ms;
	rate->at_ms = now_ms;
}

/* ---- One server ----------------------------------------------------- */

bool server_is_usable(const struct dispatch *d, const struct dserver *server)
{
	return server->agent && server->agent->up && !server->agent->quiet &&
	       server->state.accepting &&
	       (!d->config ||
		cf_config_in_service(d->config,
				     server->agent->identity.data_centre));
}

int64_t server_free_cpu_milli(const struct dserver *server)
{
	return server->state.free_cpu_milli - server->pending_cpu_milli;
}

int64_t server_offered_cpu_milli(const struct dserver *server)
{
	return server->state.offered_cpu_milli - server->pending_cpu_milli;
}

int64_t server_free_memory_mb(const struct dserver *server)
{
	return server->state.free_memory_mb - server->pending_memory_mb;
}

void server_sent(struct dserver *server, const struct djob *job)
{
	struct unconfirmed *start = g_new0(struct unconfirmed, 1);

	start->position = ++server->agent->sent;
	start->server = server;
	start->cpu_milli = job->spec.cpu_milli;
	start->memory_mb = job->spec.memory_mb;
	g_queue_push_tail(server->agent->unconfirmed, start);
	server->pending_cpu_milli += start->cpu_milli;
	server->pending_memory_mb += start->memory_mb;
	server->own_runs++;
	server->own_cpu_milli += start->cpu_milli;
	job->class->running_cpu_milli += start->cpu_milli;
	job->class->running_work += dispatch_task_work(job);
}

static void confirm(struct dagent *agent, uint64_t received)
{
	struct unconfirmed *start;

	while ((start = g_queue_peek_head(agent->unconfirmed)) &&
	       start->position <= received) {
		start->server->pending_cpu_milli -= start->cpu_milli;
		start->server->pending_memory_mb -= start->memory_mb;
		g_free(g_queue_pop_head(agent->unconfirmed));
	}
}

/* ---- Agents --------------------------------------------------------- */

static struct dagent *find_agent(const struct dispatch *d, uint64_t agent)
{
	return g_hash_table_lookup(d->agents, &agent);
}

void dispatch_agent_up(struct dispatch *d,
		       const struct agent_identity *identity, int64_t now_ms)
{
	struct dagent *agent = find_agent(d, identity->incarnation);

	if (!agent) {
		agent = g_new0(struct dagent, 1);
		agent->identity = *identity;
		agent->servers = g_ptr_array_new();
		agent->unconfirmed = g_queue_new();
		g_hash_table_insert(d->agents, &agent->identity.incarnation,
				    agent);
	}
	confirm(agent, UINT64_MAX);
	agent->sent = 0;
	agent->up = true;
	agent->quiet = false;
	agent->lost_ms = 0;
	agent->granted_ms = now_ms;
	log_event(LOG_INFO, "agent_connected",
		  "agent=%s incarnation=%016" PRIx64 " data_centre=%s",
		  identity->name, identity->incarnation, identity->data_centre);
}

void dispatch_agent_granted(struct dispatch *d, uint64_t incarnation,
			    int64_t now_ms)
{
	struct dagent *agent = find_agent(d, incarnation);

	if (agent)
		agent->granted_ms = now_ms;
}

void dispatch_agent_down(struct dispatch *d, uint64_t incarnation,
			 int64_t now_ms)
{
	struct dagent *agent = find_agent(d, incarnation);

	if (!agent || !agent->up)
		return;
	agent->up = false;
	agent->lost_ms = now_ms;
	log_event(LOG_WARN, "agent_lost",
		  "agent=%s incarnation=%016" PRIx64
		  " its_runs_end_in_ms=%" PRId64,
		  agent->identity.name, incarnation,
		  agent->granted_ms + RUN_END_MAX_MS + AGENT_ENDED_MARGIN_MS -
			  now_ms);
}

void dispatch_set_config(struct dispatch *d, const struct cf_config *config)
{
	d->config = config;
}

bool dispatch_has_runs_at(const struct dispatch *d, uint64_t incarnation)
{
	const struct dagent *agent = find_agent(d, incarnation);

	for (guint i = 0; agent && i < agent->servers->len; i++) {
		const struct dserver *server =
			g_ptr_array_index(agent->servers, i);

		if (server->own_runs)
			return true;
	}
	return false;
}

/* ---- Servers that fail what they start ------------------------------ */

bool server_is_avoided(const struct dispatch *d, const struct dserver *server,
		       int64_t now_ms)
{
	return d->avoids_failing && server->state.fails_all &&
	       (server->own_runs || now_ms - server->tried_ms < PROBE_EVERY_MS);
}

static void count_failing(struct dispatch *d)
{
	uint32_t usable = 0, failing = 0;

	for (guint i = 0; i < d->servers->len; i++) {
		const struct dserver *server = g_ptr_array_index(d->servers, i);

		if (!server_is_usable(d, server))
			continue;
		usable++;
		failing += server->state.fails_all;
	}
	d->avoids_failing = failing * MILLI <= usable * AVOIDED_MOST_MILLI;
}

/* ---- What agents tell ----------------------------------------------- */

static struct dserver *find_server(const struct dagent *agent, const char *name)
{
	for (guint i = 0; i < agent->servers->len; i++) {
		struct dserver *server = g_ptr_array_index(agent->servers, i);

		if (!strcmp(server->state.name, name))
			return server;
	}
	return NULL;
}

static struct dserver *add_server(struct dispatch *d, struct dagent *agent,
				  int64_t now_ms)
{
	struct dserver *server = g_new0(struct dserver, 1);

	server->id = ++d->next_server;
	cf_health_add(d->health, server->id, now_ms);
	server->agent = agent;
	g_ptr_array_add(agent->servers, server);
	g_ptr_array_add(d->servers, server);
	return server;
}

void dispatch_take_state(struct dispatch *d, uint64_t incarnation,
			 const struct server_state *state, int64_t now_ms)
{
	struct dagent *agent = find_agent(d, incarnation);
	struct dserver *server;

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
	server->state = *state;
	server->told = true;
	confirm(agent, state->received);
}

void dispatch_states_told(struct dispatch *d, uint64_t incarnation,
			  int64_t now_ms)
{
	struct dagent *agent = find_agent(d, incarnation);

	for (guint i = 0; agent && i < agent->servers->len; i++) {
		struct dserver *server = g_ptr_array_index(agent->servers, i);

		if (!server->told)
			server->state.accepting = false;
		server->told = false;
	}
	dispatch_pump(d, now_ms);
}

/* ---- Ends ----------------------------------------------------------- */

void server_ended(struct dserver *server, const struct djob *job)
{
	job->class->running_cpu_milli -= job->spec.cpu_milli;
	job->class->running_work -= dispatch_task_work(job);
	server->own_runs--;
	server->own_cpu_milli -= job->spec.cpu_milli;
}

/* Every run that was sent there has ended. */
static void return_runs(struct dispatch *d, uint64_t agent, int64_t now_ms)
{
	g_autoptr(GArray) runs = dispatch_runs_at(d, agent, true);

	for (guint i = 0; i < runs->len; i++) {
		struct run_result result = { .name = g_array_index(
						     runs, struct run_name, i),
					     .outcome = RUN_OUTCOME_STOPPED };

		dispatch_take_end(d, agent, &result, now_ms);
	}
}

static void forget_agent(struct dispatch *d, struct dagent *agent,
			 int64_t now_ms)
{
	uint64_t incarnation = agent->identity.incarnation;

	log_event(LOG_WARN, "agent_gone",
		  "agent=%s incarnation=%016" PRIx64 " lost_ms=%" PRId64,
		  agent->identity.name, incarnation, now_ms - agent->lost_ms);
	return_runs(d, incarnation, now_ms);
	confirm(agent, UINT64_MAX);
	for (guint i = 0; i < agent->servers->len; i++) {
		struct dserver *server = g_ptr_array_index(agent->servers, i);

		cf_health_leave(d->health, server->id);
		g_ptr_array_remove(d->servers, server);
	}
	g_hash_table_remove(d->agents, &incarnation);
}

void servers_tick(struct dispatch *d, int64_t now_ms)
{
	g_autoptr(GPtrArray) gone = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	cf_health_tick(d->health, now_ms);
	count_failing(d);
	g_hash_table_iter_init(&iter, d->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dagent *agent = value;

		agent->quiet = now_ms - agent->granted_ms > QUIET_MS;
		if (!agent->up && now_ms >= agent->granted_ms + RUN_END_MAX_MS +
						    AGENT_ENDED_MARGIN_MS)
			g_ptr_array_add(gone, agent);
	}
	for (guint i = 0; i < gone->len; i++)
		forget_agent(d, g_ptr_array_index(gone, i), now_ms);
}
