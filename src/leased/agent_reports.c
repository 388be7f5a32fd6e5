/*
 * agent_reports: the agent's reports to dispatchers. Results are sent at once.
 * The states of the backend servers are sent when they have changed for that
 * dispatcher.
 */
#include "leased/agent_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* ---- Constants ------------------------------------------------------ */

/* Between updates while scarce capacity is offered to dispatchers in turn. */
#define TURN_INTERVAL_MS 8
#define MILLI 1000

/* ---- Capacity ------------------------------------------------------- */

bool agent_accepts(const struct leased_agent *a, const struct server *server,
		   int64_t now_ms)
{
	return a->in_service && !g_atomic_int_get(&a->stopping) &&
	       server_accepting(server, now_ms);
}

void agent_remove_participant(struct leased_agent *a, uint64_t dispatcher)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		capacity_share_leave(server_capacity_share(value), dispatcher);
}

void agent_set_demand(struct leased_agent *a, struct peer *p, bool has_demand)
{
	GHashTableIter iter;
	gpointer value;

	p->has_demand = has_demand;
	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		capacity_share_set_demand(server_capacity_share(value),
					  p->incarnation, has_demand);
}

/* Returns true while capacity is scarce and offered in turn, so that the turn
 * has to be updated again soon. */
static bool update_turn(struct server *server, int64_t now_ms)
{
	const struct server_report *report = server_last_report(server);
	struct run_load load;

	run_table_get_load(server_runs(server), &load);
	capacity_share_rotate(server_capacity_share(server),
			      load.free_cpu_milli, report->capacity.cpu_milli,
			      now_ms);
	return capacity_share_is_rotating(server_capacity_share(server),
					  load.free_cpu_milli,
					  report->capacity.cpu_milli);
}

static void update_turns(struct leased_agent *a, int64_t now_ms)
{
	bool again = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		again |= update_turn(value, now_ms);
	if (again)
		loop_timer_start(a->turn_timer, TURN_INTERVAL_MS, 0);
}

/* ---- States --------------------------------------------------------- */

static void fill_state(const struct leased_agent *a, struct peer *p,
		       struct server *server, int64_t now_ms,
		       Cfw__ServerState *state)
{
	const struct server_report *report = server_last_report(server);
	struct capacity_share *share = server_capacity_share(server);
	struct run_load load;
	struct speed speed;

	capacity_share_join(share, p->incarnation, p->has_demand);
	run_table_get_load(server_runs(server), &load);
	cfw__server_state__init(state);
	state->name = (char *)report->name;
	state->service = (char *)report->service;
	state->kind = (char *)report->kind;
	state->cpu_milli = report->capacity.cpu_milli;
	state->memory_mb = report->capacity.memory_mb;
	state->accelerators = report->capacity.accelerators;
	state->free_cpu_milli = (int32_t)load.free_cpu_milli;
	state->offered_cpu_milli = (int32_t)capacity_share_reported(
		share, p->incarnation, load.free_cpu_milli,
		report->capacity.cpu_milli);
	state->free_memory_mb = (int32_t)load.free_memory_mb;
	state->running = load.running;
	state->queued = load.queued;
	state->failed_in_a_row = load.failed_in_a_row;
	state->accepting = agent_accepts(a, server, now_ms);
	state->received = p->received;
	agent_get_speed(a, report->name, now_ms, &speed);
	state->speed_log_milli = (int32_t)lround(speed.log * MILLI);
	state->speed_sd_milli = (uint32_t)lround(speed.sd * MILLI);
	state->speed_age_ms = (uint32_t)MIN(speed.age_ms, UINT32_MAX);
	agent_fill_interference(a, p, now_ms, state);
	agent_fill_losses(a, now_ms, state);
}

static Cfw__ServerState *fill_states(const struct leased_agent *a,
				     struct peer *p, int64_t now_ms,
				     Cfw__RunReport *report)
{
	guint n = g_hash_table_size(a->servers);
	Cfw__ServerState *states = g_new(Cfw__ServerState, n);
	GHashTableIter iter;
	gpointer value;

	report->servers = g_new(Cfw__ServerState *, n);
	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		Cfw__ServerState *state = &states[report->n_servers];

		fill_state(a, p, value, now_ms, state);
		report->servers[report->n_servers++] = state;
	}
	return states;
}

/* Hash of the fields that a dispatcher's decisions depend on; never 0. */
static uint64_t report_digest(const struct leased_agent *a,
			      const Cfw__RunReport *report, int64_t now_ms)
{
	XXH64_hash_t sum = 1 + agent_count_crashes(a);

	for (size_t i = 0; i < report->n_servers; i++) {
		const Cfw__ServerState *state = report->servers[i];
		const int64_t fields[] = {
			state->cpu_milli,
			state->memory_mb,
			state->accelerators,
			state->offered_cpu_milli,
			state->accepting,
			(int64_t)state->received,
			state->failed_in_a_row == RUN_FAILURES_COUNTED_MAX,
			agent_speed_step(a, state->name, now_ms)
		};

		sum = XXH64(state->name, strlen(state->name), sum);
		sum = XXH64(fields, sizeof(fields), sum);
	}
	return sum | 1;
}

/* ---- Reports -------------------------------------------------------- */

static Cfw__RunEnd *fill_ends(const struct peer *p, Cfw__RunReport *report)
{
	Cfw__RunEnd *ends = g_new(Cfw__RunEnd, p->results->len);

	report->n_ends = p->results->len;
	report->ends = g_new(Cfw__RunEnd *, p->results->len);
	for (guint i = 0; i < p->results->len; i++) {
		struct run_result *result =
			&g_array_index(p->results, struct run_result, i);

		cfw__run_end__init(&ends[i]);
		ends[i].job = result->name.job;
		ends[i].index = result->name.index;
		ends[i].number = result->name.number;
		ends[i].outcome = (Cfw__RunOutcome)result->outcome;
		ends[i].run_ms = result->run_ms;
		ends[i].doubt = (Cfw__LossDoubt)result->doubt;
		report->ends[i] = &ends[i];
	}
	return ends;
}

static void send_report(struct leased_agent *a, struct peer *p, int64_t now_ms)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__RunReport report = CFW__RUN_REPORT__INIT;
	Cfw__ServerState *states;
	uint64_t sum;
	Cfw__RunEnd *ends;

	p->slowdowns_due = false;
	states = fill_states(a, p, now_ms, &report);
	sum = report_digest(a, &report, now_ms);
	ends = fill_ends(p, &report);
	envelope.body_case = CFW__ENVELOPE__BODY_RUN_REPORT;
	envelope.run_report = &report;
	if ((report.n_ends || p->slowdowns_due || sum != p->sent_digest) &&
	    link_send(p->link, &envelope)) {
		agent_slowdowns_sent(p, now_ms);
		g_array_set_size(p->results, 0);
		p->sent_digest = sum;
	}
	for (size_t i = 0; i < report.n_servers; i++) {
		agent_clear_interference(report.servers[i]);
		agent_clear_losses(report.servers[i]);
	}
	g_free(report.servers);
	g_free(report.ends);
	g_free(states);
	g_free(ends);
}

void agent_send_reports(struct leased_agent *a, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	update_turns(a, now_ms);
	g_hash_table_iter_init(&iter, a->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *p = value;

		if (p->link)
			send_report(a, p, now_ms);
	}
}
