/*
 * many_world: see many_world.h. Each step is one millisecond; each message
 * is delivered after MESSAGE_DELAY_MS. many_servers.c has the servers.
 */
#include "support/many_internal.h"

#include "base/logger.h"
#include "support/world_jobs.h"

#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define MESSAGE_DELAY_MS 2
#define LEASE_RENEWAL_MS 100
/* The simulation goes on this long after the last arrival. */
#define DRAIN_MS 8000

/* ---- Messages ------------------------------------------------------- */

struct many_message *many_post(struct many *m, enum many_message_kind kind,
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
	struct many_message *message = many_post(
		d->many, MANY_MESSAGE_START, d->number, (uint32_t)agent - 1);

	message->run.name = command->name;
	message->run.dispatcher = d->number;
	message->run.spec = g_bytes_ref(command->spec);
	message->run.cpu_milli = command->cpu_milli;
	message->run.memory_mb = command->memory_mb;
	message->run.target_start_ms = d->many->now_ms + command->slack_ms;
	message->run.deadline_ms = d->many->now_ms + command->deadline_ms;
	message->run.lease_end_ms = INT64_MAX;
	message->run.expected_ms = command->expected_ms;
	message->run.losses = command->losses;
	message->run.lost_after_ms = command->lost_after_ms;
	g_strlcpy(message->run.class_name, command->class_name,
		  sizeof(message->run.class_name));
}

static void stop(struct dispatch_sink *sink, uint64_t agent,
		 const struct run_name *name)
{
	const struct many_dispatcher *d = (const struct many_dispatcher *)sink;

	many_post(d->many, MANY_MESSAGE_STOP, d->number, (uint32_t)agent - 1)
		->name = *name;
}

static void count_answer(struct many *m, const struct world_job *job,
			 const struct job_answer *reply)
{
	struct world_tally *tally = &m->result->counted[job->class];

	if (job->poison || job->arrived_ms < m->load->counted_from_ms ||
	    job->arrived_ms >= m->load->counted_to_ms)
		return;
	tally->asked++;
	if (reply->verdict != JOB_VERDICT_COMPLETED)
		return;
	if (m->now_ms - job->arrived_ms <= job->objective_ms)
		tally->in_target++;
	else
		tally->late++;
}

static void answer(struct dispatch_sink *sink, void *caller,
		   const struct job_answer *reply)
{
	const struct many_dispatcher *d = (const struct many_dispatcher *)sink;

	world_job_answered(caller, reply, d->many->result, d->many->now_ms);
	count_answer(d->many, caller, reply);
}

static void set_demand(struct dispatch_sink *sink, bool has_demand)
{
	const struct many_dispatcher *d = (const struct many_dispatcher *)sink;

	for (uint32_t i = 0; i < d->many->load->servers; i++)
		many_post(d->many, MANY_MESSAGE_DEMAND, d->number, i)->demand =
			has_demand;
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
	const struct class_loss *losses;
	int64_t crashed_ms;
	size_t n;

	dispatch_update_server(d, agent, &message->state, m->now_ms);
	if (message->dispatcher == 0)
		speed_observer_update(m->observer, message->server,
				      &message->state, m->now_ms);
	many_estimate_apply(message->estimate, d, agent, message->state.name,
			    m->now_ms);
	crashed_ms = many_crash_report(m, message->server, &losses, &n);
	if (crashed_ms)
		dispatch_update_losses(d, agent, losses, n,
				       m->now_ms - crashed_ms, m->now_ms);
	for (guint i = 0; i < message->results->len; i++) {
		const struct run_result *result =
			&g_array_index(message->results, struct run_result, i);
		const struct world_job *job =
			g_hash_table_lookup(m->jobs, result->name.job);

		dispatch_handle_result(d, agent, result, m->now_ms);
		/* Tasks that crash servers don't get a third one. */
		if (job->lost_twice)
			dispatch_cancel(d, result->name.job, m->now_ms,
					m->now_ms);
	}
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
				       message->dispatcher, &message->name);
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

	job->poison = many_crash_is_poison(m, class);
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

static void create_dispatcher(struct many *m, uint32_t number)
{
	static const struct dispatch_sink_ops ops = { start, stop, answer,
						      set_demand };
	struct many_dispatcher *d = &m->dispatchers[number];

	d->sink.ops = &ops;
	d->many = m;
	d->number = number;
	d->dispatch = dispatch_create(&d->sink, "dc");
	dispatch_set_containment(d->dispatch, m->load->contains);
	for (uint32_t i = 0; i < m->load->servers; i++) {
		struct agent_identity agent = { .incarnation = i + 1 };

		g_snprintf(agent.name, sizeof(agent.name), "agent-%u", i);
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
	if (m->now_ms % DISPATCH_TICK_MS == 0) {
		struct dispatch_load load;

		dispatch_get_load(m->dispatchers[0].dispatch, &load);
		m->result->contained_ms +=
			load.contained_classes * DISPATCH_TICK_MS;
	}
}

static void destroy_all(struct many *m)
{
	g_queue_free_full(m->messages, free_message);
	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		dispatch_destroy(m->dispatchers[i].dispatch);
	for (uint32_t i = 0; i < m->load->servers; i++)
		many_destroy_server(m, i);
	speed_observer_destroy(m->observer);
	g_hash_table_destroy(m->jobs);
	g_rand_free(m->random);
}

void many_simulate(const struct many_load *load, struct world_result *result)
{
	struct many *m = g_new0(struct many, 1);

	/* Millions of lines would take most of the time. */
	log_configure("test", "many", LOG_ERROR, LOG_FORMAT_TEXT);
	memset(result, 0, sizeof(*result));
	m->load = load;
	m->result = result;
	m->random = g_rand_new_with_seed(load->seed);
	m->messages = g_queue_new();
	m->observer = speed_observer_create(load);
	m->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					world_job_destroy);
	for (uint32_t i = 0; i < load->servers; i++)
		many_create_server(m, i);
	for (uint32_t i = 0; i < load->dispatchers; i++)
		create_dispatcher(m, i);
	for (m->now_ms = 1; m->now_ms < load->arrivals_ms + DRAIN_MS;
	     m->now_ms++) {
		deliver(m);
		many_run_servers(m);
		if (m->now_ms < load->arrivals_ms)
			submit_arrivals(m);
		tick(m);
		if (m->now_ms % DISPATCH_TICK_MS == 0)
			speed_observer_check(m->observer, result, m->next_job,
					     m->now_ms);
	}
	destroy_all(m);
	g_free(m);
}
