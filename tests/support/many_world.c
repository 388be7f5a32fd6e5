/*
 * many_world: see many_world.h. One millisecond a step; each message
 * takes MESSAGE_MS.
 */
#include "support/many_world.h"

#include "leased/room_share.h"
#include "leased/server_lease.h"
#include "support/world_jobs.h"

#include <glib.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define MESSAGE_MS 2
#define LEASE_EVERY_MS 100
#define TAIL_MS 8000 /* after the last arrival */
#define MEMORY_MB 100000
#define FAIL_MS 20 /* after its start, at a server that fails all */

/* ---- Types ---------------------------------------------------------- */

struct many;

struct mdispatcher {
	struct dispatch_sink sink; /* first member */
	struct many *many;
	uint32_t number;
	struct dispatch *dispatch;
};

struct mrun {
	struct run_name name;
	int64_t ends_ms;
};

struct mserver {
	struct run_table *table;
	GPtrArray *runs; /* struct mrun */
	GArray *ends; /* struct listed_run_end, not yet listed */
	uint64_t positions;
	uint64_t received[MANY_DISPATCHERS_MAX];
	/* What each dispatcher was told last. */
	struct server_state told[MANY_DISPATCHERS_MAX];
	struct server_backoff refusals;
	struct room_share *share;
	bool sheds, fails, changed;
};

enum mkind {
	M_START,
	M_STOP,
	M_STATE,
	M_WANT,
};

struct mmessage {
	enum mkind kind;
	int64_t due_ms;
	uint32_t dispatcher, server;
	struct run_request run; /* M_START */
	struct run_name name; /* M_STOP */
	struct server_state state; /* M_STATE */
	bool wants; /* M_WANT */
	GArray *results; /* struct run_result, M_STATE */
};

struct many {
	const struct many_load *load;
	struct world_result *result;
	struct mdispatcher dispatchers[MANY_DISPATCHERS_MAX];
	struct mserver servers[MANY_SERVERS_MAX];
	GRand *random;
	GHashTable *jobs; /* id -> struct world_job */
	GQueue *messages; /* struct mmessage, oldest first */
	int64_t now_ms;
	uint32_t next_job;
	double due[WORLD_CLASSES];
};

/* ---- Messages ------------------------------------------------------- */

static struct mmessage *post(struct many *m, enum mkind kind,
			     uint32_t dispatcher, uint32_t server)
{
	struct mmessage *message = g_new0(struct mmessage, 1);

	message->kind = kind;
	message->due_ms = m->now_ms + MESSAGE_MS;
	message->dispatcher = dispatcher;
	message->server = server;
	g_queue_push_tail(m->messages, message);
	return message;
}

static void free_message(gpointer data)
{
	struct mmessage *message = data;

	g_clear_pointer(&message->results, g_array_unref);
	if (message->run.spec)
		g_bytes_unref(message->run.spec);
	g_free(message);
}

static void start(struct dispatch_sink *sink, uint64_t agent,
		  const struct start_order *order)
{
	const struct mdispatcher *d = (const struct mdispatcher *)sink;
	struct mmessage *message =
		post(d->many, M_START, d->number, (uint32_t)agent - 1);

	message->run.name = order->name;
	message->run.dispatcher = d->number;
	message->run.spec = g_bytes_ref(order->spec);
	message->run.cpu_milli = order->cpu_milli;
	message->run.memory_mb = order->memory_mb;
	message->run.target_start_ms = d->many->now_ms + order->slack_ms;
	message->run.deadline_ms = d->many->now_ms + order->deadline_ms;
}

static void stop(struct dispatch_sink *sink, uint64_t agent,
		 const struct run_name *name)
{
	const struct mdispatcher *d = (const struct mdispatcher *)sink;

	post(d->many, M_STOP, d->number, (uint32_t)agent - 1)->name = *name;
}

static void answer(struct dispatch_sink *sink, void *caller,
		   const struct job_answer *given)
{
	const struct mdispatcher *d = (const struct mdispatcher *)sink;

	world_job_answered(caller, given, d->many->result, d->many->now_ms);
}

static void want(struct dispatch_sink *sink, bool wants_room)
{
	const struct mdispatcher *d = (const struct mdispatcher *)sink;

	for (uint32_t i = 0; i < d->many->load->servers; i++)
		post(d->many, M_WANT, d->number, i)->wants = wants_room;
}

/* ---- Servers -------------------------------------------------------- */

static void list_end(struct mserver *s, const struct mrun *run,
		     enum run_end_status end_status)
{
	struct listed_run_end end = { .position = ++s->positions,
				      .name = run->name,
				      .end_status = end_status };

	g_array_append_val(s->ends, end);
}

static void end_runs(const struct many *m, struct mserver *s)
{
	for (guint i = s->runs->len; i-- > 0;) {
		const struct mrun *run = g_ptr_array_index(s->runs, i);

		if (run->ends_ms > m->now_ms)
			continue;
		list_end(s, run, s->fails ? RUN_END_FAILED : RUN_END_DONE);
		g_ptr_array_remove_index_fast(s->runs, i);
	}
}

static void stop_runs(const struct many *m, struct mserver *s)
{
	struct run_name name;

	while (run_table_next_stop(s->table, m->now_ms, &name)) {
		for (guint i = s->runs->len; i-- > 0;) {
			const struct mrun *run = g_ptr_array_index(s->runs, i);

			if (!run_name_equal(&run->name, &name))
				continue;
			list_end(s, run, RUN_END_STOPPED);
			g_ptr_array_remove_index_fast(s->runs, i);
			m->result->stopped_runs++;
		}
		run_table_stop_acked(s->table, &name, m->now_ms);
	}
}

static void list_runs(const struct many *m, struct mserver *s)
{
	struct run_lists lists = { .clock_ms = m->now_ms, .ended = s->ends };
	g_autoptr(GArray)
		strangers = g_array_new(FALSE, FALSE, sizeof(struct run_name));

	if (!s->ends->len && !run_table_awaits_list(s->table))
		return;
	lists.running = g_array_new(FALSE, FALSE, sizeof(struct run_name));
	for (guint i = 0; i < s->runs->len; i++) {
		const struct mrun *run = g_ptr_array_index(s->runs, i);

		g_array_append_val(lists.running, run->name);
	}
	run_table_apply_lists(s->table, &lists, m->now_ms, m->now_ms,
			      strangers);
	g_array_unref(lists.running);
	g_array_set_size(s->ends, 0);
	s->changed = true;
}

static void begin_run(struct many *m, struct mserver *s,
		      const struct run_name *name)
{
	struct world_job *job = g_hash_table_lookup(m->jobs, name->job);
	struct mrun *run = g_new0(struct mrun, 1);

	run->name = *name;
	run->ends_ms =
		m->now_ms + (s->fails ? FAIL_MS : job->task_ms[name->index]);
	job->started = true;
	m->result->runs++;
	g_ptr_array_add(s->runs, run);
}

static void start_runs(struct many *m, struct mserver *s)
{
	const struct run_request *next;

	while (server_backoff_has_elapsed(&s->refusals, m->now_ms) &&
	       (next = run_table_next_start(s->table, m->now_ms))) {
		struct run_name name = next->name;
		bool refused = s->sheds &&
			       g_rand_double(m->random) < m->load->shed;

		if (refused)
			server_backoff_increase(&s->refusals, m->now_ms);
		else
			begin_run(m, s, &name);
		if (!refused)
			server_backoff_reset(&s->refusals);
		run_table_start_answered(s->table, &name,
					 refused ? RUN_UNHEALTHY : RUN_ACCEPTED,
					 m->now_ms);
		s->changed = true;
	}
}

/* As the agent does: nothing is told that would change no decision. */
static bool is_news(const struct server_state *told,
		    const struct server_state *state)
{
	return told->offered_cpu_milli != state->offered_cpu_milli ||
	       told->accepting != state->accepting ||
	       told->fails_all != state->fails_all ||
	       told->received != state->received;
}

static void fill_state(const struct many *m, uint32_t server,
		       uint32_t dispatcher, struct server_state *state)
{
	const struct mserver *s = &m->servers[server];
	struct run_load load;

	run_table_get_load(s->table, &load);
	g_snprintf(state->name, sizeof(state->name), "s%u", server);
	g_strlcpy(state->service, "desk", sizeof(state->service));
	state->capacity.cpu_milli = m->load->cpu_milli;
	state->capacity.memory_mb = MEMORY_MB;
	state->free_cpu_milli = load.free_cpu_milli;
	state->offered_cpu_milli = room_share_reported(
		s->share, dispatcher, load.free_cpu_milli, m->load->cpu_milli);
	state->free_memory_mb = load.free_memory_mb;
	state->accepting = server_backoff_has_elapsed(&s->refusals, m->now_ms);
	state->fails_all = load.failed_in_a_row >= RUN_FAILURES_COUNTED_MAX;
	state->received = s->received[dispatcher];
}

static void tell(struct many *m, uint32_t server, uint32_t dispatcher,
		 GArray *results)
{
	struct server_state *told = &m->servers[server].told[dispatcher];
	struct server_state state = { 0 };
	struct mmessage *message;

	fill_state(m, server, dispatcher, &state);
	if (!results->len && !is_news(told, &state)) {
		g_array_unref(results);
		return;
	}
	*told = state;
	m->result->states++;
	message = post(m, M_STATE, dispatcher, server);
	message->state = state;
	message->results = results;
}

static void tell_all(struct many *m, uint32_t server)
{
	struct mserver *s = &m->servers[server];
	GArray *results[MANY_DISPATCHERS_MAX];
	struct run_result result;

	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		results[i] =
			g_array_new(FALSE, FALSE, sizeof(struct run_result));
	while (run_table_pop_result(s->table, &result))
		g_array_append_val(results[result.dispatcher], result);
	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		tell(m, server, i, results[i]);
	s->changed = false;
}

static void run_servers(struct many *m)
{
	for (uint32_t i = 0; i < m->load->servers; i++) {
		struct mserver *s = &m->servers[i];
		struct run_load load;

		end_runs(m, s);
		stop_runs(m, s);
		list_runs(m, s);
		start_runs(m, s);
		if (s->refusals.until_ms == m->now_ms)
			s->changed = true;
		run_table_get_load(s->table, &load);
		room_share_rotate(s->share, load.free_cpu_milli,
				  m->load->cpu_milli, m->now_ms);
		s->changed |= room_share_is_rotating(
			s->share, load.free_cpu_milli, m->load->cpu_milli);
		if (s->changed)
			tell_all(m, i);
	}
}

/* ---- Delivery ------------------------------------------------------- */

static void take_start(struct many *m, const struct mmessage *message)
{
	struct mserver *s = &m->servers[message->server];

	s->received[message->dispatcher]++;
	room_share_mark_used(s->share, message->dispatcher);
	s->changed = true;
	run_table_enqueue(s->table, &message->run, m->now_ms);
}

static void take_state(struct many *m, const struct mmessage *message)
{
	struct dispatch *d = m->dispatchers[message->dispatcher].dispatch;
	uint64_t agent = message->server + 1;

	dispatch_take_state(d, agent, &message->state, m->now_ms);
	for (guint i = 0; i < message->results->len; i++)
		dispatch_take_end(
			d, agent,
			&g_array_index(message->results, struct run_result, i),
			m->now_ms);
	dispatch_states_told(d, agent, m->now_ms);
}

static void take_want(struct many *m, const struct mmessage *message)
{
	struct mserver *s = &m->servers[message->server];

	room_share_set_demand(s->share, message->dispatcher, message->wants);
	s->changed = true;
}

static void deliver(struct many *m)
{
	struct mmessage *message;

	while ((message = g_queue_peek_head(m->messages)) &&
	       message->due_ms <= m->now_ms) {
		g_queue_pop_head(m->messages);
		if (message->kind == M_START)
			take_start(m, message);
		else if (message->kind == M_STOP)
			run_table_stop(m->servers[message->server].table,
				       &message->name);
		else if (message->kind == M_WANT)
			take_want(m, message);
		else
			take_state(m, message);
		free_message(message);
	}
}

/* ---- Callers -------------------------------------------------------- */

static void submit(struct many *m, size_t class)
{
	struct world_job *job = world_job_create(m->random, m->load->classes,
						 class, 0, ++m->next_job,
						 m->now_ms);
	uint32_t more = m->load->busy ? m->load->busy - 1 : 0;
	uint32_t drawn = (uint32_t)g_rand_int_range(
		m->random, 0, (gint)(m->load->dispatchers + more));
	uint32_t to = drawn < m->load->dispatchers ? drawn : 0;
	struct job_order order;

	world_job_order(m->random, m->load->classes, job, &order);
	g_hash_table_insert(m->jobs, g_strdup(order.id), job);
	m->result->classes[class].asked++;
	m->result->classes[class].large_asked += job->large;
	dispatch_submit(m->dispatchers[to].dispatch, &order, m->now_ms);
	g_bytes_unref(order.spec.spec);
}

static void arrive(struct many *m)
{
	for (size_t i = 0; i < WORLD_CLASSES; i++)
		for (uint32_t n =
			     world_arrivals(m->random, &m->load->classes[i],
					    m->load->factor, &m->due[i]);
		     n > 0; n--)
			submit(m, i);
}

/* ---- Playing -------------------------------------------------------- */

static void open_server(struct many *m, uint32_t number)
{
	struct mserver *s = &m->servers[number];
	struct cf_capacity capacity = { .cpu_milli = m->load->cpu_milli,
					.memory_mb = MEMORY_MB };

	s->table = run_table_create();
	s->share = room_share_create(number);
	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		room_share_join(s->share, i, false);
	run_table_set_capacity(s->table, &capacity);
	s->runs = g_ptr_array_new_with_free_func(g_free);
	s->ends = g_array_new(FALSE, FALSE, sizeof(struct listed_run_end));
	s->sheds = number < m->load->shedding;
	s->fails = number < m->load->failing;
	s->changed = true;
}

static void open_dispatcher(struct many *m, uint32_t number)
{
	static const struct dispatch_sink_ops ops = { start, stop, answer,
						      want };
	struct mdispatcher *d = &m->dispatchers[number];

	d->sink.ops = &ops;
	d->many = m;
	d->number = number;
	d->dispatch = dispatch_create(&d->sink, "dc");
	for (uint32_t i = 0; i < m->load->servers; i++) {
		struct agent_identity agent = { .incarnation = i + 1 };

		g_strlcpy(agent.data_centre, "dc", sizeof(agent.data_centre));
		dispatch_agent_up(d->dispatch, &agent, 0);
	}
}

static void tick(struct many *m)
{
	for (uint32_t i = 0; i < m->load->dispatchers; i++) {
		struct dispatch *d = m->dispatchers[i].dispatch;

		for (uint32_t k = 0;
		     m->now_ms % LEASE_EVERY_MS == 0 && k < m->load->servers;
		     k++)
			dispatch_agent_granted(d, k + 1, m->now_ms);
		if (m->now_ms % DISPATCH_TICK_MS == i)
			dispatch_tick(d, m->now_ms);
	}
}

static void close_all(struct many *m)
{
	g_queue_free_full(m->messages, free_message);
	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		dispatch_destroy(m->dispatchers[i].dispatch);
	for (uint32_t i = 0; i < m->load->servers; i++) {
		run_table_destroy(m->servers[i].table);
		room_share_destroy(m->servers[i].share);
		g_ptr_array_unref(m->servers[i].runs);
		g_array_unref(m->servers[i].ends);
	}
	g_hash_table_destroy(m->jobs);
	g_rand_free(m->random);
}

void many_play(const struct many_load *load, struct world_result *result)
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
		open_server(m, i);
	for (uint32_t i = 0; i < load->dispatchers; i++)
		open_dispatcher(m, i);
	for (m->now_ms = 1; m->now_ms < load->length_ms + TAIL_MS;
	     m->now_ms++) {
		deliver(m);
		run_servers(m);
		if (m->now_ms < load->length_ms)
			arrive(m);
		tick(m);
	}
	close_all(m);
	g_free(m);
}
