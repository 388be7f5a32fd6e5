/*
 * many_world: see many_world.h. Each step is one millisecond; each message
 * is delivered after MESSAGE_DELAY_MS.
 */
#include "support/many_world.h"

#include "leased/capacity_share.h"
#include "leased/server_lease.h"
#include "support/many_interference.h"
#include "support/world_jobs.h"

#include <glib.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define MESSAGE_DELAY_MS 2
#define LEASE_RENEWAL_MS 100
/* The simulation goes on this long after the last arrival. */
#define DRAIN_MS 8000
#define MEMORY_MB 100000
/* Run time at a server that fails all tasks. */
#define FAIL_DELAY_MS 20

/* ---- Types ---------------------------------------------------------- */

struct many;

struct many_dispatcher {
	struct dispatch_sink sink; /* first member */
	struct many *many;
	uint32_t number;
	struct dispatch *dispatch;
};

struct many_run {
	struct run_name name;
	struct many_pace pace;
	int64_t ends_ms;
};

struct many_server {
	struct run_table *table;
	struct many_estimate *estimate;
	GPtrArray *runs; /* struct many_run */
	GArray *ends; /* struct listed_run_end, not in a list yet */
	uint64_t positions;
	uint64_t received[MANY_DISPATCHERS_MAX];
	/* The state that was last reported to each dispatcher. */
	struct server_state last_reported[MANY_DISPATCHERS_MAX];
	struct server_backoff refusals;
	struct capacity_share *share;
	bool refuses_starts, fails, changed;
};

enum many_message_kind {
	MANY_MESSAGE_START,
	MANY_MESSAGE_STOP,
	MANY_MESSAGE_STATE,
	MANY_MESSAGE_DEMAND,
};

struct many_message {
	enum many_message_kind kind;
	int64_t due_ms;
	uint32_t dispatcher, server;
	struct run_request run; /* MANY_MESSAGE_START */
	struct run_name name; /* MANY_MESSAGE_STOP */
	struct server_state state; /* MANY_MESSAGE_STATE */
	struct many_estimate_report *estimate; /* MANY_MESSAGE_STATE */
	bool demand; /* MANY_MESSAGE_DEMAND */
	GArray *results; /* struct run_result, MANY_MESSAGE_STATE */
};

struct many {
	const struct many_load *load;
	struct world_result *result;
	struct many_dispatcher dispatchers[MANY_DISPATCHERS_MAX];
	struct many_server servers[MANY_SERVERS_MAX];
	GRand *random;
	GHashTable *jobs; /* id -> struct world_job */
	GQueue *messages; /* struct many_message, oldest first */
	int64_t now_ms;
	uint32_t next_job;
	double arrivals_due[WORLD_CLASSES];
};

/* ---- Messages ------------------------------------------------------- */

static struct many_message *post(struct many *m, enum many_message_kind kind,
				 uint32_t dispatcher, uint32_t server)
{
	struct many_message *message = g_new0(struct many_message, 1);

	message->kind = kind;
	message->due_ms = m->now_ms + MESSAGE_DELAY_MS;
	message->dispatcher = dispatcher;
	message->server = server;
	g_queue_push_tail(m->messages, message);
	return message;
}

static void free_message(gpointer data)
{
	struct many_message *message = data;

	g_clear_pointer(&message->results, g_array_unref);
	many_estimate_free_report(message->estimate);
	if (message->run.spec)
		g_bytes_unref(message->run.spec);
	g_free(message);
}

static void start(struct dispatch_sink *sink, uint64_t agent,
		  const struct start_command *command)
{
	const struct many_dispatcher *d = (const struct many_dispatcher *)sink;
	struct many_message *message = post(d->many, MANY_MESSAGE_START,
					    d->number, (uint32_t)agent - 1);

	message->run.name = command->name;
	message->run.dispatcher = d->number;
	message->run.spec = g_bytes_ref(command->spec);
	message->run.cpu_milli = command->cpu_milli;
	message->run.memory_mb = command->memory_mb;
	message->run.expected_ms = command->expected_ms;
	g_strlcpy(message->run.class_name, command->class_name, CF_NAME_SIZE);
	message->run.target_start_ms = d->many->now_ms + command->slack_ms;
	message->run.deadline_ms = d->many->now_ms + command->deadline_ms;
}

static void stop(struct dispatch_sink *sink, uint64_t agent,
		 const struct run_name *name)
{
	const struct many_dispatcher *d = (const struct many_dispatcher *)sink;

	post(d->many, MANY_MESSAGE_STOP, d->number, (uint32_t)agent - 1)->name =
		*name;
}

static void answer(struct dispatch_sink *sink, void *caller,
		   const struct job_answer *reply)
{
	const struct many_dispatcher *d = (const struct many_dispatcher *)sink;

	world_job_answered(caller, reply, d->many->result, d->many->now_ms);
}

static void set_demand(struct dispatch_sink *sink, bool has_demand)
{
	const struct many_dispatcher *d = (const struct many_dispatcher *)sink;

	for (uint32_t i = 0; i < d->many->load->servers; i++)
		post(d->many, MANY_MESSAGE_DEMAND, d->number, i)->demand =
			has_demand;
}

/* ---- Servers -------------------------------------------------------- */

static void list_end(struct many_server *s, const struct many_run *run,
		     enum run_end_status end_status)
{
	struct listed_run_end end = { .position = ++s->positions,
				      .name = run->name,
				      .end_status = end_status };

	g_array_append_val(s->ends, end);
}

static void slow_down_runs(const struct many *m, struct many_server *s)
{
	for (guint i = 0; m->load->n_slowdowns && i < s->runs->len; i++) {
		struct many_run *run = g_ptr_array_index(s->runs, i);

		for (guint k = 0; k < s->runs->len; k++) {
			const struct many_run *other =
				g_ptr_array_index(s->runs, k);

			if (k != i)
				many_pace_add(&run->pace, &other->pace);
		}
		run->ends_ms += many_pace_delay(&run->pace, m->load);
	}
}

static void end_runs(const struct many *m, struct many_server *s)
{
	slow_down_runs(m, s);
	for (guint i = s->runs->len; i-- > 0;) {
		const struct many_run *run = g_ptr_array_index(s->runs, i);

		if (run->ends_ms > m->now_ms)
			continue;
		list_end(s, run, s->fails ? RUN_END_FAILED : RUN_END_DONE);
		g_ptr_array_remove_index_fast(s->runs, i);
	}
}

static void stop_runs(const struct many *m, struct many_server *s)
{
	struct run_name name;

	while (run_table_next_stop(s->table, m->now_ms, &name)) {
		for (guint i = s->runs->len; i-- > 0;) {
			const struct many_run *run =
				g_ptr_array_index(s->runs, i);

			if (!run_name_equal(&run->name, &name))
				continue;
			list_end(s, run, RUN_END_STOPPED);
			g_ptr_array_remove_index_fast(s->runs, i);
			m->result->stopped_runs++;
		}
		run_table_stop_acked(s->table, &name, m->now_ms);
	}
}

static void list_runs(const struct many *m, struct many_server *s)
{
	struct run_lists lists = { .clock_ms = m->now_ms, .ended = s->ends };
	g_autoptr(GArray)
		strangers = g_array_new(FALSE, FALSE, sizeof(struct run_name));

	if (!s->ends->len && !run_table_awaits_list(s->table))
		return;
	lists.running = g_array_new(FALSE, FALSE, sizeof(struct run_name));
	for (guint i = 0; i < s->runs->len; i++) {
		const struct many_run *run = g_ptr_array_index(s->runs, i);

		g_array_append_val(lists.running, run->name);
	}
	run_table_apply_lists(s->table, &lists, m->now_ms, m->now_ms,
			      strangers);
	g_array_unref(lists.running);
	g_array_set_size(s->ends, 0);
	s->changed = true;
}

static void start_run(struct many *m, struct many_server *s,
		      const struct run_name *name)
{
	struct world_job *job = g_hash_table_lookup(m->jobs, name->job);
	struct many_run *run = g_new0(struct many_run, 1);

	run->name = *name;
	run->pace.class = job->class;
	run->ends_ms = m->now_ms +
		       (s->fails ? FAIL_DELAY_MS : job->task_ms[name->index]);
	job->started = true;
	m->result->runs++;
	g_ptr_array_add(s->runs, run);
}

static void start_runs(struct many *m, struct many_server *s)
{
	const struct run_request *next;

	while (server_backoff_has_elapsed(&s->refusals, m->now_ms) &&
	       (next = run_table_next_start(s->table, m->now_ms))) {
		struct run_name name = next->name;
		bool refused = s->refuses_starts &&
			       g_rand_double(m->random) <
				       m->load->refused_fraction;

		if (refused)
			server_backoff_increase(&s->refusals, m->now_ms);
		else
			start_run(m, s, &name);
		if (!refused)
			server_backoff_reset(&s->refusals);
		run_table_start_answered(s->table, &name,
					 refused ? RUN_UNHEALTHY : RUN_ACCEPTED,
					 m->now_ms);
		s->changed = true;
	}
}

/* Like the agent, reports only changes that can affect decisions. */
static bool state_has_changed(const struct server_state *last_reported,
			      const struct server_state *state)
{
	return last_reported->offered_cpu_milli != state->offered_cpu_milli ||
	       last_reported->accepting != state->accepting ||
	       last_reported->fails_all != state->fails_all ||
	       last_reported->received != state->received;
}

static void fill_state(const struct many *m, uint32_t server,
		       uint32_t dispatcher, struct server_state *state)
{
	const struct many_server *s = &m->servers[server];
	struct run_load load;

	run_table_get_load(s->table, &load);
	g_snprintf(state->name, sizeof(state->name), "s%u", server);
	g_strlcpy(state->service, "desk", sizeof(state->service));
	state->capacity.cpu_milli = m->load->cpu_milli;
	state->capacity.memory_mb = MEMORY_MB;
	state->free_cpu_milli = load.free_cpu_milli;
	state->offered_cpu_milli = capacity_share_reported(
		s->share, dispatcher, load.free_cpu_milli, m->load->cpu_milli);
	state->free_memory_mb = load.free_memory_mb;
	state->accepting = server_backoff_has_elapsed(&s->refusals, m->now_ms);
	state->fails_all = load.failed_in_a_row >= RUN_FAILURES_COUNTED_MAX;
	state->received = s->received[dispatcher];
}

static void report_state(struct many *m, uint32_t server, uint32_t dispatcher,
			 GArray *results)
{
	struct server_state *last_reported =
		&m->servers[server].last_reported[dispatcher];
	struct server_state state = { 0 };
	struct many_message *message;
	struct many_estimate_report *estimate = NULL;

	if (!m->load->ignores_interference)
		estimate = many_estimate_report(m->servers[server].estimate,
						dispatcher, m->now_ms);
	fill_state(m, server, dispatcher, &state);
	if (!results->len && !many_estimate_is_due(estimate) &&
	    !state_has_changed(last_reported, &state)) {
		many_estimate_free_report(estimate);
		g_array_unref(results);
		return;
	}
	*last_reported = state;
	m->result->states++;
	message = post(m, MANY_MESSAGE_STATE, dispatcher, server);
	message->state = state;
	message->estimate = estimate;
	message->results = results;
}

static void report_to_all(struct many *m, uint32_t server)
{
	struct many_server *s = &m->servers[server];
	GArray *results[MANY_DISPATCHERS_MAX];
	struct run_result result;

	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		results[i] =
			g_array_new(FALSE, FALSE, sizeof(struct run_result));
	while (run_table_pop_result(s->table, &result)) {
		m->result->run_ms += result.run_ms;
		many_estimate_result(s->estimate, &result, m->now_ms);
		g_array_append_val(results[result.dispatcher], result);
	}
	many_estimate_runs(s->estimate, s->table, m->load, m->now_ms);
	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		report_state(m, server, i, results[i]);
	s->changed = false;
}

static void run_servers(struct many *m)
{
	for (uint32_t i = 0; i < m->load->servers; i++) {
		struct many_server *s = &m->servers[i];
		struct run_load load;

		end_runs(m, s);
		stop_runs(m, s);
		list_runs(m, s);
		start_runs(m, s);
		if (s->refusals.until_ms == m->now_ms)
			s->changed = true;
		run_table_get_load(s->table, &load);
		capacity_share_rotate(s->share, load.free_cpu_milli,
				      m->load->cpu_milli, m->now_ms);
		s->changed |= capacity_share_is_rotating(
			s->share, load.free_cpu_milli, m->load->cpu_milli);
		if (s->changed)
			report_to_all(m, i);
	}
}

/* ---- Delivery ------------------------------------------------------- */

static void receive_start(struct many *m, const struct many_message *message)
{
	struct many_server *s = &m->servers[message->server];

	s->received[message->dispatcher]++;
	capacity_share_mark_used(s->share, message->dispatcher);
	s->changed = true;
	run_table_enqueue(s->table, &message->run, m->now_ms);
}

static void receive_state(struct many *m, const struct many_message *message)
{
	struct dispatch *d = m->dispatchers[message->dispatcher].dispatch;
	uint64_t agent = message->server + 1;

	dispatch_update_server(d, agent, &message->state, m->now_ms);
	many_estimate_apply(message->estimate, d, agent, message->state.name,
			    m->now_ms);
	for (guint i = 0; i < message->results->len; i++)
		dispatch_handle_result(
			d, agent,
			&g_array_index(message->results, struct run_result, i),
			m->now_ms);
	dispatch_finish_report(d, agent, m->now_ms);
}

static void receive_demand(struct many *m, const struct many_message *message)
{
	struct many_server *s = &m->servers[message->server];

	capacity_share_set_demand(s->share, message->dispatcher,
				  message->demand);
	s->changed = true;
}

static void deliver(struct many *m)
{
	struct many_message *message;

	while ((message = g_queue_peek_head(m->messages)) &&
	       message->due_ms <= m->now_ms) {
		g_queue_pop_head(m->messages);
		if (message->kind == MANY_MESSAGE_START)
			receive_start(m, message);
		else if (message->kind == MANY_MESSAGE_STOP)
			run_table_stop(m->servers[message->server].table,
				       &message->name);
		else if (message->kind == MANY_MESSAGE_DEMAND)
			receive_demand(m, message);
		else
			receive_state(m, message);
		free_message(message);
	}
}

/* ---- Callers -------------------------------------------------------- */

static void submit(struct many *m, size_t class)
{
	struct world_job *job = world_job_create(m->random, m->load->classes,
						 class, 0, ++m->next_job,
						 m->now_ms);
	uint32_t more =
		m->load->first_load_factor ? m->load->first_load_factor - 1 : 0;
	uint32_t drawn = (uint32_t)g_rand_int_range(
		m->random, 0, (gint)(m->load->dispatchers + more));
	uint32_t to = drawn < m->load->dispatchers ? drawn : 0;
	struct job_request request;

	world_job_request(m->random, m->load->classes, job, &request);
	g_hash_table_insert(m->jobs, g_strdup(request.id), job);
	m->result->classes[class].asked++;
	m->result->classes[class].large_asked += job->large;
	dispatch_submit(m->dispatchers[to].dispatch, &request, m->now_ms);
	g_bytes_unref(request.spec.spec);
}

static void submit_arrivals(struct many *m)
{
	for (size_t i = 0; i < WORLD_CLASSES; i++)
		for (uint32_t n = world_arrivals(
			     m->random, &m->load->classes[i], m->load->factor,
			     &m->arrivals_due[i]);
		     n > 0; n--)
			submit(m, i);
}

/* ---- Simulation ----------------------------------------------------- */

static void create_server(struct many *m, uint32_t number)
{
	struct many_server *s = &m->servers[number];
	struct cf_capacity capacity = { .cpu_milli = m->load->cpu_milli,
					.memory_mb = MEMORY_MB };

	s->table = run_table_create();
	s->estimate = many_estimate_create();
	s->share = capacity_share_create(number);
	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		capacity_share_join(s->share, i, false);
	run_table_set_capacity(s->table, &capacity);
	s->runs = g_ptr_array_new_with_free_func(g_free);
	s->ends = g_array_new(FALSE, FALSE, sizeof(struct listed_run_end));
	s->refuses_starts = number < m->load->refusing;
	s->fails = number < m->load->failing;
	s->changed = true;
}

static void create_dispatcher(struct many *m, uint32_t number)
{
	static const struct dispatch_sink_ops ops = { start, stop, answer,
						      set_demand };
	struct many_dispatcher *d = &m->dispatchers[number];

	d->sink.ops = &ops;
	d->many = m;
	d->number = number;
	d->dispatch = dispatch_create(&d->sink, "dc");
	for (uint32_t i = 0; i < m->load->servers; i++) {
		struct agent_identity agent = { .incarnation = i + 1 };

		g_strlcpy(agent.data_centre, "dc", sizeof(agent.data_centre));
		dispatch_agent_connected(d->dispatch, &agent, 0);
	}
}

static void tick(struct many *m)
{
	for (uint32_t i = 0; i < m->load->dispatchers; i++) {
		struct dispatch *d = m->dispatchers[i].dispatch;

		for (uint32_t k = 0;
		     m->now_ms % LEASE_RENEWAL_MS == 0 && k < m->load->servers;
		     k++)
			dispatch_agent_lease_granted(d, k + 1, m->now_ms);
		if (m->now_ms % DISPATCH_TICK_MS == i)
			dispatch_tick(d, m->now_ms);
	}
}

static void destroy_all(struct many *m)
{
	g_queue_free_full(m->messages, free_message);
	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		dispatch_destroy(m->dispatchers[i].dispatch);
	for (uint32_t i = 0; i < m->load->servers; i++) {
		run_table_destroy(m->servers[i].table);
		many_estimate_destroy(m->servers[i].estimate);
		capacity_share_destroy(m->servers[i].share);
		g_ptr_array_unref(m->servers[i].runs);
		g_array_unref(m->servers[i].ends);
	}
	g_hash_table_destroy(m->jobs);
	g_rand_free(m->random);
}

void many_simulate(const struct many_load *load, struct world_result *result)
{
	struct many *m = g_new0(struct many, 1);

	memset(result, 0, sizeof(*result));
	m->load = load;
	m->result = result;
	m->random = g_rand_new_with_seed(load->seed);
	m->messages = g_queue_new();
	m->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					world_job_destroy);
	for (uint32_t i = 0; i < load->servers; i++)
		create_server(m, i);
	for (uint32_t i = 0; i < load->dispatchers; i++)
		create_dispatcher(m, i);
	for (m->now_ms = 1; m->now_ms < load->arrivals_ms + DRAIN_MS;
	     m->now_ms++) {
		deliver(m);
		run_servers(m);
		if (m->now_ms < load->arrivals_ms)
			submit_arrivals(m);
		tick(m);
	}
	destroy_all(m);
	g_free(m);
}
