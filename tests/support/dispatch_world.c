/*
 * dispatch_world: see dispatch_world.h. Each step is one millisecond.
 */
#include "support/world_jobs.h"

#include <glib.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define REPORT_INTERVAL_MS 20
#define LEASE_RENEWAL_MS 100
#define STOP_DELAY_MS 30
/* The simulation goes on this long after the last arrival. */
#define DRAIN_MS 8000
#define FAIL_DELAY_MS 20
/* From the start of a crashing task to the crash, from there until its agent
 * tells of the lost runs, and until the server is back. */
#define CRASH_DELAY_MS 11
#define LOSS_DELAY_MS 700
#define DOWN_MS 3000

/* ---- Types ---------------------------------------------------------- */

struct world_run {
	struct run_name name;
	struct world_job *job;
	size_t server;
	uint32_t cpu_milli;
	int64_t started_ms, ends_ms;
	int64_t stop_ms; /* 0: none */
	int64_t crash_ms; /* 0: never */
	int64_t lost_ms; /* when its server crashed; 0: not */
	bool fails, never_started;
};

struct world {
	struct dispatch_sink sink; /* first member */
	const struct world_load *load;
	struct world_result *result;
	struct dispatch *dispatch;
	GRand *random;
	GHashTable *jobs; /* id -> struct world_job */
	GPtrArray *runs; /* struct world_run */
	uint64_t received[12];
	int64_t down_until_ms[12];
	int64_t now_ms;
	uint32_t next_job;
	uint64_t crash_given_up; /* as the dispatcher counts them */
	double arrivals_due[WORLD_CLASSES];
};

/* ---- Servers -------------------------------------------------------- */

static bool is_faulty(const struct world *w, size_t server)
{
	const struct world_server *s = &w->load->servers[server];

	return s->to_ms > s->from_ms && w->now_ms >= s->from_ms &&
	       w->now_ms < s->to_ms;
}

static bool is_lost(const struct world *w, size_t server)
{
	return w->load->servers[server].lost && is_faulty(w, server);
}

static bool is_down(const struct world *w, size_t server)
{
	return w->now_ms < w->down_until_ms[server];
}

static int64_t used_milli(const struct world *w, size_t server)
{
	int64_t used = 0;

	for (guint i = 0; i < w->runs->len; i++) {
		const struct world_run *run = g_ptr_array_index(w->runs, i);

		if (run->server == server)
			used += run->cpu_milli;
	}
	return used;
}

static void end_run(struct world *w, guint position, enum run_outcome outcome)
{
	struct world_run *run = g_ptr_array_index(w->runs, position);
	struct run_result result = {
		.name = run->name,
		.outcome = outcome,
		.doubt = LOSS_CONFIRMED,
		.run_ms = (uint32_t)((run->lost_ms ? run->lost_ms : w->now_ms) -
				     run->started_ms)
	};
	uint64_t agent = run->server + 1;

	run->job->running[run->name.index]--;
	w->result->stopped_runs += outcome == RUN_OUTCOME_STOPPED;
	g_ptr_array_remove_index_fast(w->runs, position);
	g_free(run);
	if (!is_lost(w, agent - 1))
		dispatch_handle_result(w->dispatch, agent, &result, w->now_ms);
}

static void start(struct dispatch_sink *sink, uint64_t agent,
		  const struct start_command *command)
{
	struct world *w = (struct world *)sink;
	size_t server = agent - 1;
	const struct world_server *s = &w->load->servers[server];
	struct world_job *job = g_hash_table_lookup(w->jobs, command->name.job);
	struct world_run *run = g_new0(struct world_run, 1);
	double slowness = is_faulty(w, server) && s->slowness ? s->slowness : 1;

	w->received[server]++;
	if (is_lost(w, server)) {
		g_free(run);
		return;
	}
	run->name = command->name;
	run->job = job;
	run->server = server;
	run->cpu_milli = command->cpu_milli;
	run->started_ms = w->now_ms;
	run->ends_ms = w->now_ms +
		       (int64_t)(job->task_ms[command->name.index] * slowness);
	if (is_faulty(w, server) && s->hangs)
		run->ends_ms = INT64_MAX;
	run->fails = job->poison || (is_faulty(w, server) && s->fails);
	if (run->fails)
		run->ends_ms = w->now_ms + FAIL_DELAY_MS;
	run->never_started = is_down(w, server);
	if (run->never_started)
		run->ends_ms = w->now_ms + 1;
	else if (job->crashing && !command->name.index)
		run->crash_ms = w->now_ms + CRASH_DELAY_MS;
	job->started = true;
	w->result->runs++;
	w->result->overlapping_runs += job->running[command->name.index]++ > 0;
	g_ptr_array_add(w->runs, run);
}

static void stop(struct dispatch_sink *sink, uint64_t agent,
		 const struct run_name *name)
{
	struct world *w = (struct world *)sink;

	(void)agent;
	for (guint i = 0; i < w->runs->len; i++) {
		struct world_run *run = g_ptr_array_index(w->runs, i);

		if (run_name_equal(&run->name, name))
			run->stop_ms = w->now_ms + STOP_DELAY_MS;
	}
}

/* The runs of a lost agent end with its lease. */
static bool lease_has_ended(const struct world *w, const struct world_run *run)
{
	return is_lost(w, run->server) &&
	       w->now_ms >= w->load->servers[run->server].from_ms + 1150;
}

static enum run_outcome own_outcome(const struct world_run *run)
{
	if (run->lost_ms)
		return RUN_OUTCOME_LOST;
	if (run->never_started)
		return RUN_OUTCOME_NOT_STARTED;
	return run->fails ? RUN_OUTCOME_FAILED : RUN_OUTCOME_DONE;
}

/* The run crashes its server: all runs there are lost. */
static void crash_server(struct world *w, const struct world_run *cause)
{
	w->down_until_ms[cause->server] = w->now_ms + DOWN_MS;
	w->result->crashes++;
	cause->job->crashes++;
	w->result->crashes_of_job_max =
		MAX(w->result->crashes_of_job_max, cause->job->crashes);
	for (guint i = 0; i < w->runs->len; i++) {
		struct world_run *run = g_ptr_array_index(w->runs, i);

		if (run->server != cause->server || run->lost_ms)
			continue;
		run->lost_ms = w->now_ms;
		run->ends_ms = w->now_ms + LOSS_DELAY_MS;
	}
}

static void crash_servers(struct world *w)
{
	for (guint i = 0; i < w->runs->len; i++) {
		const struct world_run *run = g_ptr_array_index(w->runs, i);

		if (run->crash_ms == w->now_ms && !run->lost_ms)
			crash_server(w, run);
	}
}

static void run_servers(struct world *w)
{
	crash_servers(w);
	for (guint i = w->runs->len; i-- > 0;) {
		struct world_run *run = g_ptr_array_index(w->runs, i);

		if (w->now_ms >= run->ends_ms)
			end_run(w, i, own_outcome(run));
		else if (run->lost_ms)
			continue;
		else if ((run->stop_ms && w->now_ms >= run->stop_ms) ||
			 lease_has_ended(w, run))
			end_run(w, i, RUN_OUTCOME_STOPPED);
	}
}

static void report(struct world *w, size_t server)
{
	const struct world_server *s = &w->load->servers[server];
	struct server_state state = { .capacity = { .cpu_milli = s->cpu_milli,
						    .memory_mb = 100000 },
				      .free_memory_mb = 100000,
				      .accepting = !is_down(w, server),
				      .received = w->received[server] };

	g_snprintf(state.name, sizeof(state.name), "s%zu", server);
	g_strlcpy(state.service, "desk", sizeof(state.service));
	state.free_cpu_milli = s->cpu_milli - used_milli(w, server);
	state.offered_cpu_milli = state.free_cpu_milli;
	dispatch_update_server(w->dispatch, server + 1, &state, w->now_ms);
	dispatch_finish_report(w->dispatch, server + 1, w->now_ms);
}

static void connect_servers(struct world *w)
{
	for (size_t i = 0; i < w->load->n_servers; i++) {
		struct agent_identity agent = { .incarnation = i + 1 };

		g_strlcpy(agent.data_centre, "dc", sizeof(agent.data_centre));
		dispatch_agent_connected(w->dispatch, &agent, w->now_ms);
		report(w, i);
	}
}

static void send_reports(struct world *w)
{
	for (size_t i = 0; i < w->load->n_servers; i++) {
		if (is_lost(w, i)) {
			dispatch_agent_disconnected(w->dispatch, i + 1,
						    w->now_ms);
			continue;
		}
		if (w->now_ms % LEASE_RENEWAL_MS == 0)
			dispatch_agent_lease_granted(w->dispatch, i + 1,
						     w->now_ms);
		if (w->now_ms % REPORT_INTERVAL_MS == 0)
			report(w, i);
	}
}

/* ---- Callers -------------------------------------------------------- */

/* Counts the job if the dispatcher gives it up because of crashes. */
static void count_crash_given_up(struct world *w, const struct world_job *job)
{
	struct dispatch_load load;
	uint64_t given_up;

	dispatch_get_load(w->dispatch, &load);
	given_up = load.crashing_jobs + load.doubtful_jobs;
	if (given_up == w->crash_given_up)
		return;
	w->crash_given_up = given_up;
	w->result->crash_given_up++;
	w->result->crash_given_up_innocent += !job->crashing;
}

static void answer(struct dispatch_sink *sink, void *caller,
		   const struct job_answer *reply)
{
	struct world *w = (struct world *)sink;

	count_crash_given_up(w, caller);
	world_job_answered(caller, reply, w->result, w->now_ms);
}

/* No other dispatcher competes for the servers here, so demand has no effect.
 */
static void set_demand(struct dispatch_sink *sink, bool has_demand)
{
	(void)sink;
	(void)has_demand;
}

static void submit(struct world *w, size_t class)
{
	struct world_job *job = world_job_create(w->random, w->load->classes,
						 class, w->load->poison,
						 ++w->next_job, w->now_ms);
	struct job_request request;

	job->crashing = w->load->crashing > 0 &&
			g_rand_double(w->random) < w->load->crashing;
	w->result->crashing_jobs += job->crashing;
	world_job_request(w->random, w->load->classes, job, &request);
	g_hash_table_insert(w->jobs, g_strdup(request.id), job);
	w->result->classes[class].asked++;
	w->result->classes[class].large_asked += job->large;
	dispatch_submit(w->dispatch, &request, w->now_ms);
	g_bytes_unref(request.spec.spec);
}

static void submit_arrivals(struct world *w)
{
	for (size_t i = 0; i < WORLD_CLASSES; i++)
		for (uint32_t n = world_arrivals(
			     w->random, &w->load->classes[i], w->load->factor,
			     &w->arrivals_due[i]);
		     n > 0; n--)
			submit(w, i);
}

/* ---- Simulation ----------------------------------------------------- */

void world_simulate(const struct world_load *load, struct world_result *result)
{
	static const struct dispatch_sink_ops ops = { start, stop, answer,
						      set_demand };
	struct world w = { .sink = { &ops }, .load = load, .result = result };

	memset(result, 0, sizeof(*result));
	w.random = g_rand_new_with_seed(load->seed);
	w.jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				       world_job_destroy);
	w.runs = g_ptr_array_new();
	w.dispatch = dispatch_create(&w.sink, "dc");
	connect_servers(&w);
	for (w.now_ms = 1; w.now_ms < load->arrivals_ms + DRAIN_MS;
	     w.now_ms++) {
		run_servers(&w);
		send_reports(&w);
		if (w.now_ms < load->arrivals_ms)
			submit_arrivals(&w);
		if (w.now_ms % DISPATCH_TICK_MS == 0)
			dispatch_tick(w.dispatch, w.now_ms);
	}
	dispatch_destroy(w.dispatch);
	for (guint i = 0; i < w.runs->len; i++)
		g_free(g_ptr_array_index(w.runs, i));
	g_ptr_array_unref(w.runs);
	g_hash_table_destroy(w.jobs);
	g_rand_free(w.random);
}
