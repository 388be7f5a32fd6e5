/*
 * many_servers: the backend servers of many_world and their agents.
 */
#include "support/many_internal.h"
#include "support/world_jobs.h"

/* ---- Constants ------------------------------------------------------ */

/* Run time at a server that fails all tasks. */
#define FAIL_DELAY_MS 20
#define AGENT_TICK_MS 20
/* A task that crashes its server does so after this time. */
#define CRASH_AFTER_MS 11

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
		      const struct run_request *request)
{
	const struct run_name *name = &request->name;
	struct world_job *job = g_hash_table_lookup(m->jobs, name->job);
	struct many_run *run = g_new0(struct many_run, 1);

	run->name = *name;
	run->started_ms = m->now_ms;
	run->losses = request->losses;
	run->lost_after_ms = request->lost_after_ms;
	run->crashes_ms =
		job->poison && !name->index ? m->now_ms + CRASH_AFTER_MS : 0;
	run->pace.class = job->class;
	run->ends_ms =
		m->now_ms +
		(s->fails ? FAIL_DELAY_MS
			  : (int64_t)(job->task_ms[name->index] * s->factor));
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
		bool refused;

		if (many_crash_is_down(s->crash)) {
			run_table_start_unanswered(s->table, &name);
			continue;
		}
		refused = s->refuses_starts &&
			  g_rand_double(m->random) < m->load->refused_fraction;

		if (refused)
			server_backoff_increase(&s->refusals, m->now_ms);
		else
			start_run(m, s, next);
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
	       last_reported->received != state->received ||
	       strcmp(last_reported->name, state->name) != 0;
}

static void fill_state(const struct many *m, uint32_t server,
		       uint32_t dispatcher, struct server_state *state)
{
	const struct many_server *s = &m->servers[server];
	struct run_load load;
	struct speed speed;

	run_table_get_load(s->table, &load);
	g_snprintf(state->name, sizeof(state->name), "s%u-%u", server,
		   many_crash_returns(s->crash));
	g_strlcpy(state->service, "desk", sizeof(state->service));
	state->capacity.cpu_milli = m->load->cpu_milli;
	state->capacity.memory_mb = MANY_MEMORY_MB;
	state->free_cpu_milli = load.free_cpu_milli;
	state->offered_cpu_milli = capacity_share_reported(
		s->share, dispatcher, load.free_cpu_milli, m->load->cpu_milli);
	state->free_memory_mb = load.free_memory_mb;
	state->accepting =
		server_backoff_has_elapsed(&s->refusals, m->now_ms) &&
		!many_crash_is_known(s->crash);
	state->fails_all = load.failed_in_a_row >= RUN_FAILURES_COUNTED_MAX;
	state->received = s->received[dispatcher];
	if (m->load->hides_speed)
		return;
	speed_estimate_get(s->speed, m->now_ms, &speed);
	state->speed_log = speed.log;
	state->speed_sd = speed.sd;
	state->speed_age_ms = speed.age_ms;
}

static void report_state(struct many *m, uint32_t server, uint32_t dispatcher,
			 GArray *results)
{
	struct many_server *s = &m->servers[server];
	struct server_state *last_reported = &s->last_reported[dispatcher];
	struct server_state state = { 0 };
	struct many_message *message;
	int32_t step = m->load->hides_speed
			       ? SPEED_STEP_UNKNOWN
			       : speed_estimate_step(s->speed, m->now_ms);
	struct many_estimate_report *estimate = NULL;

	if (!m->load->ignores_interference)
		estimate = many_estimate_report(s->estimate, dispatcher,
						m->now_ms);
	fill_state(m, server, dispatcher, &state);
	if (!results->len && !many_estimate_is_due(estimate) &&
	    !many_crash_is_due(m, server, dispatcher) &&
	    step == s->speed_steps[dispatcher] &&
	    !state_has_changed(last_reported, &state)) {
		many_estimate_free_report(estimate);
		g_array_unref(results);
		return;
	}
	s->speed_steps[dispatcher] = step;
	*last_reported = state;
	m->result->states++;
	message = many_post(m, MANY_MESSAGE_STATE, dispatcher, server);
	message->state = state;
	message->estimate = estimate;
	message->results = results;
	many_crash_reported(m, server, dispatcher);
}

static void report_to_all(struct many *m, uint32_t server)
{
	struct many_server *s = &m->servers[server];
	GArray *results[MANY_DISPATCHERS_MAX];
	struct run_result result;
	const uint32_t n = m->load->dispatchers;

	for (uint32_t i = 0; i < n; i++)
		results[i] =
			g_array_new(FALSE, FALSE, sizeof(struct run_result));
	while (run_table_pop_result(s->table, &result)) {
		many_crash_settle(m, server, &result);
		m->result->run_ms += result.run_ms;
		many_estimate_result(s->estimate, s->speed, &result, m->now_ms);
		g_array_append_val(results[result.dispatcher], result);
	}
	many_estimate_runs(s->estimate, s->table, m->load, m->now_ms);
	for (uint32_t i = 0; i < n; i++)
		report_state(m, server, i, results[i]);
	s->changed = false;
}

/* Like the agent in each of its ticks. */
static void watch_runs(struct many *m, struct many_server *s)
{
	g_autoptr(GArray) progress =
		g_array_new(FALSE, FALSE, sizeof(struct run_progress));

	run_table_list_progress(s->table, m->now_ms, progress);
	speed_estimate_watch(s->speed,
			     (const struct run_progress *)progress->data,
			     progress->len);
	s->changed = true;
}

void many_run_servers(struct many *m)
{
	for (uint32_t i = 0; i < m->load->servers; i++) {
		struct many_server *s = &m->servers[i];
		struct run_load load;

		many_crash_step(m, i);
		if (!many_crash_is_down(s->crash)) {
			end_runs(m, s);
			stop_runs(m, s);
			list_runs(m, s);
		}
		s->factor = many_server_factor(m->load, i, m->now_ms);
		start_runs(m, s);
		if (s->refusals.until_ms == m->now_ms)
			s->changed = true;
		run_table_get_load(s->table, &load);
		capacity_share_rotate(s->share, load.free_cpu_milli,
				      m->load->cpu_milli, m->now_ms);
		s->changed |= capacity_share_is_rotating(
			s->share, load.free_cpu_milli, m->load->cpu_milli);
		if (m->now_ms % AGENT_TICK_MS == i % AGENT_TICK_MS)
			watch_runs(m, s);
		if (s->changed)
			report_to_all(m, i);
	}
}

void many_create_server(struct many *m, uint32_t number)
{
	struct many_server *s = &m->servers[number];
	struct cf_capacity capacity = { .cpu_milli = m->load->cpu_milli,
					.memory_mb = MANY_MEMORY_MB };

	s->table = run_table_create();
	s->share = capacity_share_create(number);
	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		capacity_share_join(s->share, i, false);
	run_table_set_capacity(s->table, &capacity);
	s->runs = g_ptr_array_new_with_free_func(g_free);
	s->ends = g_array_new(FALSE, FALSE, sizeof(struct listed_run_end));
	s->refuses_starts = number < m->load->refusing;
	s->fails = number < m->load->failing;
	s->speed = speed_estimate_create();
	s->estimate = many_estimate_create();
	s->crash = many_crash_create();
	for (uint32_t i = 0; i < m->load->dispatchers; i++)
		s->speed_steps[i] = SPEED_STEP_UNKNOWN;
	s->changed = true;
}

void many_destroy_server(struct many *m, uint32_t number)
{
	struct many_server *s = &m->servers[number];

	run_table_destroy(s->table);
	capacity_share_destroy(s->share);
	speed_estimate_destroy(s->speed);
	many_estimate_destroy(s->estimate);
	many_crash_destroy(s->crash);
	g_ptr_array_unref(s->runs);
	g_array_unref(s->ends);
}
