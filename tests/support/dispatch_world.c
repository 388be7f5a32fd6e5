/*
 * dispatch_world: see dispatch_world.h. One millisecond a step.
 */
#include "support/dispatch_world.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define STRETCH_MILLI 1600
#define TARGET_MS 60
#define ATTEMPTS 3
#define REPORT_EVERY_MS 20
#define LEASE_EVERY_MS 100
#define STOP_TAKES_MS 30
#define WORK_SPREAD 0.4
#define ESTIMATE_SPREAD 0.4
#define UNEVEN 0.15
#define WIDTH_SPREAD 0.4
#define LARGE_TENTH 1.28 /* standard deviations above the mean */
#define TAIL_MS 8000 /* after the last arrival */
#define FAIL_AFTER_MS 20

const struct world_class world_order_desk[WORLD_CLASSES] = {
	{ "stock", 34.4, 8, 60, 6200 },
	{ "quote", 6.25, 4, 900, 6200 },
	{ "slot", 100.0, 2, 200, 6200 },
};

/* ---- Types ---------------------------------------------------------- */

struct wjob {
	uint32_t number;
	size_t class;
	bool poison, large, answered, started;
	uint32_t tasks, work_ms;
	int64_t arrived_ms, objective_ms;
	uint32_t *task_ms; /* run time on a sound server */
	uint32_t *running; /* runs of each task just now */
};

struct wrun {
	struct run_name name;
	struct wjob *job;
	size_t server;
	uint32_t cpu_milli;
	int64_t started_ms, ends_ms;
	int64_t stop_ms; /* 0: none */
	bool fails;
};

struct world {
	struct dispatch_sink sink; /* first member */
	const struct world_load *load;
	struct world_result *result;
	struct dispatch *dispatch;
	GRand *random;
	GHashTable *jobs; /* id -> struct wjob */
	GPtrArray *runs; /* struct wrun */
	uint64_t received[12];
	int64_t now_ms;
	uint32_t next_job;
	double due[WORLD_CLASSES];
};

/* ---- Chance --------------------------------------------------------- */

static double normal(GRand *random)
{
	double sum = 0;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(random);
	return sum - 6;
}

static double around(GRand *random, double mean, double spread)
{
	return mean * exp(spread * normal(random));
}

/* ---- Servers -------------------------------------------------------- */

static bool is_off(const struct world *w, size_t server)
{
	const struct world_server *s = &w->load->servers[server];

	return s->to_ms > s->from_ms && w->now_ms >= s->from_ms &&
	       w->now_ms < s->to_ms;
}

static bool is_lost(const struct world *w, size_t server)
{
	return w->load->servers[server].lost && is_off(w, server);
}

static int64_t used_milli(const struct world *w, size_t server)
{
	int64_t used = 0;

	for (guint i = 0; i < w->runs->len; i++) {
		const struct wrun *run = g_ptr_array_index(w->runs, i);

		if (run->server == server)
			used += run->cpu_milli;
	}
	return used;
}

static void end_run(struct world *w, guint position, enum run_outcome outcome)
{
	struct wrun *run = g_ptr_array_index(w->runs, position);
	struct run_result result = { .name = run->name,
				     .outcome = outcome,
				     .run_ms = (uint32_t)(w->now_ms -
							  run->started_ms) };
	uint64_t agent = run->server + 1;

	run->job->running[run->name.index]--;
	w->result->stopped_runs += outcome == RUN_OUTCOME_STOPPED;
	g_ptr_array_remove_index_fast(w->runs, position);
	g_free(run);
	if (!is_lost(w, agent - 1))
		dispatch_take_end(w->dispatch, agent, &result, w->now_ms);
}

static void start(struct dispatch_sink *sink, uint64_t agent,
		  const struct start_order *order)
{
	struct world *w = (struct world *)sink;
	size_t server = agent - 1;
	const struct world_server *s = &w->load->servers[server];
	struct wjob *job = g_hash_table_lookup(w->jobs, order->name.job);
	struct wrun *run = g_new0(struct wrun, 1);
	double slowness = is_off(w, server) && s->slowness ? s->slowness : 1;

	w->received[server]++;
	if (is_lost(w, server)) {
		g_free(run);
		return;
	}
	run->name = order->name;
	run->job = job;
	run->server = server;
	run->cpu_milli = order->cpu_milli;
	run->started_ms = w->now_ms;
	run->ends_ms = w->now_ms +
		       (int64_t)(job->task_ms[order->name.index] * slowness);
	if (is_off(w, server) && s->hangs)
		run->ends_ms = INT64_MAX;
	run->fails = job->poison || (is_off(w, server) && s->fails);
	if (run->fails)
		run->ends_ms = w->now_ms + FAIL_AFTER_MS;
	job->started = true;
	w->result->runs++;
	w->result->doubles += job->running[order->name.index]++ > 0;
	g_ptr_array_add(w->runs, run);
}

static void stop(struct dispatch_sink *sink, uint64_t agent,
		 const struct run_name *name)
{
	struct world *w = (struct world *)sink;

	(void)agent;
	for (guint i = 0; i < w->runs->len; i++) {
		struct wrun *run = g_ptr_array_index(w->runs, i);

		if (run_name_equal(&run->name, name))
			run->stop_ms = w->now_ms + STOP_TAKES_MS;
	}
}

/* A lost agent's runs end with their lease. */
static bool lease_is_over(const struct world *w, const struct wrun *run)
{
	return is_lost(w, run->server) &&
	       w->now_ms >= w->load->servers[run->server].from_ms + 1150;
}

static void run_servers(struct world *w)
{
	for (guint i = w->runs->len; i-- > 0;) {
		struct wrun *run = g_ptr_array_index(w->runs, i);

		if (w->now_ms >= run->ends_ms)
			end_run(w, i,
				run->fails ? RUN_OUTCOME_FAILED
					   : RUN_OUTCOME_DONE);
		else if ((run->stop_ms && w->now_ms >= run->stop_ms) ||
			 lease_is_over(w, run))
			end_run(w, i, RUN_OUTCOME_STOPPED);
	}
}

static void report(struct world *w, size_t server)
{
	const struct world_server *s = &w->load->servers[server];
	struct server_state state = { .capacity = { .cpu_milli = s->cpu_milli,
						    .memory_mb = 100000 },
				      .free_memory_mb = 100000,
				      .accepting = true,
				      .received = w->received[server] };

	g_snprintf(state.name, sizeof(state.name), "s%zu", server);
	g_strlcpy(state.service, "desk", sizeof(state.service));
	state.free_cpu_milli = s->cpu_milli - used_milli(w, server);
	dispatch_take_state(w->dispatch, server + 1, &state, w->now_ms);
	dispatch_states_told(w->dispatch, server + 1, w->now_ms);
}

static void connect_servers(struct world *w)
{
	for (size_t i = 0; i < w->load->n_servers; i++) {
		struct agent_identity agent = { .incarnation = i + 1 };

		g_strlcpy(agent.data_centre, "dc", sizeof(agent.data_centre));
		dispatch_agent_up(w->dispatch, &agent, w->now_ms);
		report(w, i);
	}
}

static void talk(struct world *w)
{
	for (size_t i = 0; i < w->load->n_servers; i++) {
		if (is_lost(w, i)) {
			dispatch_agent_down(w->dispatch, i + 1, w->now_ms);
			continue;
		}
		if (w->now_ms % LEASE_EVERY_MS == 0)
			dispatch_agent_granted(w->dispatch, i + 1, w->now_ms);
		if (w->now_ms % REPORT_EVERY_MS == 0)
			report(w, i);
	}
}

/* ---- Callers -------------------------------------------------------- */

static void answer(struct dispatch_sink *sink, void *caller,
		   const struct job_answer *given)
{
	struct world *w = (struct world *)sink;
	struct wjob *job = caller;
	struct world_tally *tally = &w->result->classes[job->class];
	int64_t took_ms = w->now_ms - job->arrived_ms;

	job->answered = true;
	switch (given->verdict) {
	case JOB_VERDICT_COMPLETED:
		tally->in_aim += took_ms <= job->objective_ms;
		tally->late += took_ms > job->objective_ms;
		tally->large_served += job->large;
		break;
	case JOB_VERDICT_FAILED:
		tally->failed++;
		break;
	case JOB_VERDICT_REFUSED:
		tally->refused++;
		tally->refused_late += took_ms > job->objective_ms / 4;
		w->result->false_refusals += job->started;
		break;
	default:
		tally->given_up++;
		break;
	}
}

static struct wjob *make_job(struct world *w, size_t class)
{
	const struct world_class *c = &w->load->classes[class];
	struct wjob *job = g_new0(struct wjob, 1);
	double width = normal(w->random);
	uint32_t longest_ms = 0;

	job->number = ++w->next_job;
	job->class = class;
	job->arrived_ms = w->now_ms;
	job->poison = g_rand_double(w->random) < w->load->poison;
	job->large = width > LARGE_TENTH;
	job->tasks =
		(uint32_t)MAX(1, lround(c->tasks * exp(WIDTH_SPREAD * width)));
	job->work_ms = (uint32_t)around(w->random, c->work_ms, WORK_SPREAD);
	job->task_ms = g_new0(uint32_t, job->tasks);
	job->running = g_new0(uint32_t, job->tasks);
	for (uint32_t i = 0; i < job->tasks; i++) {
		job->task_ms[i] =
			(uint32_t)around(w->random, job->work_ms, UNEVEN);
		longest_ms = MAX(longest_ms, job->task_ms[i]);
	}
	job->objective_ms =
		(int64_t)longest_ms * STRETCH_MILLI / 1000 + TARGET_MS;
	return job;
}

static void submit(struct world *w, size_t class)
{
	struct wjob *job = make_job(w, class);
	struct job_order order = { .arrived_ms = w->now_ms,
				   .deadline_ms = w->now_ms + 1500 +
						  2 * job->objective_ms,
				   .caller = job };

	g_snprintf(order.id, sizeof(order.id), "%u", job->number);
	g_strlcpy(order.route.service, "desk", sizeof(order.route.service));
	g_strlcpy(order.route.name, w->load->classes[class].name,
		  sizeof(order.route.name));
	order.route.target_ms = TARGET_MS;
	order.route.stretch_milli = STRETCH_MILLI;
	order.route.attempts_max = ATTEMPTS;
	order.spec.spec = g_bytes_new("x", 1);
	order.spec.n_tasks = job->tasks;
	order.spec.cpu_milli = w->load->classes[class].cpu_milli;
	order.spec.memory_mb = 64;
	order.spec.estimate_ms =
		(uint32_t)around(w->random, job->work_ms, ESTIMATE_SPREAD);
	g_hash_table_insert(w->jobs, g_strdup(order.id), job);
	w->result->classes[class].asked++;
	w->result->classes[class].large_asked += job->large;
	dispatch_submit(w->dispatch, &order, w->now_ms);
	g_bytes_unref(order.spec.spec);
}

static void arrive(struct world *w)
{
	for (size_t i = 0; i < WORLD_CLASSES; i++) {
		double per_ms =
			w->load->classes[i].jobs_per_s * w->load->factor / 1000;

		w->due[i] += -log(1 - g_rand_double(w->random)) * per_ms;
		for (; w->due[i] >= 1; w->due[i]--)
			submit(w, i);
	}
}

/* ---- Playing -------------------------------------------------------- */

static void free_job(gpointer data)
{
	struct wjob *job = data;

	g_free(job->task_ms);
	g_free(job->running);
	g_free(job);
}

void world_play(const struct world_load *load, struct world_result *result)
{
	static const struct dispatch_sink_ops ops = { start, stop, answer };
	struct world w = { .sink = { &ops }, .load = load, .result = result };

	memset(result, 0, sizeof(*result));
	w.random = g_rand_new_with_seed(load->seed);
	w.jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				       free_job);
	w.runs = g_ptr_array_new();
	w.dispatch = dispatch_create(&w.sink, "dc");
	connect_servers(&w);
	for (w.now_ms = 1; w.now_ms < load->length_ms + TAIL_MS; w.now_ms++) {
		run_servers(&w);
		talk(&w);
		if (w.now_ms < load->length_ms)
			arrive(&w);
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

uint32_t world_served(const struct world_tally *tally)
{
	return tally->in_aim + tally->late;
}
