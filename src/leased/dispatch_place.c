/*
 * dispatch_place: placement, which decides where and in which order tasks
 * start; dispatch_order.c has the order. A task goes to the server on which it
 * is predicted to end soonest, among those that offer enough capacity to this
 * dispatcher. No task is sent to a server that offers too little, so that it
 * can still go to another one. While all servers are full, no job with many
 * tasks starves behind smaller ones.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define MILLI 1000
/* How much slower a server of this data centre may be and still be preferred
 * to one of another data centre. */
#define OTHER_DATA_CENTRE_PENALTY_MS 4.0
/* A full server compared with an empty one: other dispatchers may also send
 * tasks there. */
#define FULL_SERVER_PENALTY_MS 8.0
/* A server that the task failed on or was moved away from. */
#define AVOIDED_SERVER_PENALTY_MS 10000.0
/* A job reserves capacity after this fraction of the time between its arrival
 * and its target start. */
#define RESERVE_AFTER_FRACTION 0.3

/* ---- Choice of a server --------------------------------------------- */

static bool has_failed_on(const struct dispatch_task *task, uint64_t server)
{
	for (guint i = 0; task->failed_on && i < task->failed_on->len; i++)
		if (g_array_index(task->failed_on, uint64_t, i) == server)
			return true;
	return false;
}

static bool fits(const struct dispatch *d, const struct dispatch_server *server,
		 const struct dispatch_job *job, int64_t now_ms)
{
	uint32_t weight = cf_health_weight_milli(d->health, server->id, now_ms);
	int64_t cpu = job->spec.cpu_milli;
	int64_t allowed =
		(int64_t)server->state.capacity.cpu_milli * weight / MILLI;

	if (!weight || strcmp(server->state.service, job->route.service) != 0)
		return false;
	if (server->own_runs && server->own_cpu_milli + cpu > allowed)
		return false;
	return server_offered_cpu_milli(server) >= cpu &&
	       server_free_memory_mb(server) >= job->spec.memory_mb &&
	       server->state.capacity.accelerators >= job->spec.accelerators;
}

static double predicted_finish_ms(const struct dispatch *d,
				  const struct dispatch_server *server,
				  const struct dispatch_job *job,
				  const struct dispatch_task *task,
				  int64_t now_ms)
{
	double capacity = (double)server->state.capacity.cpu_milli;
	double used = 1 - (double)server_free_cpu_milli(server) / capacity;
	double finish = server_run_ms(d, server, job) +
			used * FULL_SERVER_PENALTY_MS +
			server_harm_ms(d, server, job, now_ms);

	if (strcmp(server->agent->identity.data_centre, d->data_centre) != 0)
		finish += OTHER_DATA_CENTRE_PENALTY_MS;
	if (task->avoided_server == server->id ||
	    has_failed_on(task, server->id))
		finish += AVOIDED_SERVER_PENALTY_MS;
	return finish;
}

static struct dispatch_server *choose_server(const struct dispatch *d,
					     const struct dispatch_job *job,
					     const struct dispatch_task *task,
					     int64_t now_ms)
{
	struct dispatch_server *best = NULL;
	double best_ms = 0;

	for (guint i = 0; i < d->servers->len; i++) {
		struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);
		double ms;

		if (!server_is_usable(d, server) ||
		    server_is_avoided(d, server, now_ms) ||
		    !fits(d, server, job, now_ms))
			continue;
		ms = predicted_finish_ms(d, server, job, task, now_ms);
		if (best && ms >= best_ms)
			continue;
		best = server;
		best_ms = ms;
	}
	return best;
}

/* ---- Sending -------------------------------------------------------- */

static void send_task(struct dispatch *d, struct dispatch_job *job,
		      struct dispatch_task *task,
		      struct dispatch_server *server, int64_t now_ms)
{
	struct start_command command = {
		.name = { .index = task->index, .number = ++task->number },
		.server = server->state.name,
		.spec = job->spec.spec,
		.cpu_milli = job->spec.cpu_milli,
		.memory_mb = job->spec.memory_mb,
		.accelerators = job->spec.accelerators,
		.slack_ms = (uint32_t)MAX(job->target_start_ms - now_ms, 0),
		.deadline_ms = (uint32_t)MAX(
			job->deadline_ms - job->predicted_ms / 2 - now_ms, 1),
		.expected_ms = job->predicted_ms,
		.class_name = job->class->name,
	};

	g_strlcpy(command.name.job, job->id, sizeof(command.name.job));
	if (!job->ever_sent)
		job->class->unsent_jobs--;
	job->ever_sent = true;
	job->n_waiting--;
	dispatch_job_lane(d, job)->queued_work -= dispatch_task_work(job);
	job->n_sent++;
	task->state = DISPATCH_TASK_SENT;
	task->server = server;
	task->sent_ms = now_ms;
	task->interference = server_interference(d, server, job);
	server->last_start_ms = now_ms;
	server_add_run(server, job);
	cf_health_sent(d->health, server->id, 1, now_ms);
	dispatch_charge_lane(d, job, now_ms);
	log_event(LOG_INFO, "run_sent",
		  "job=%s index=%u number=%u agent=%s server=%s "
		  "predicted_ms=%u waited_ms=%" PRId64
		  " free_cpu_milli=%" PRId64,
		  job->id, task->index, task->number,
		  server->agent->identity.name, server->state.name,
		  job->predicted_ms, now_ms - job->arrived_ms,
		  server_free_cpu_milli(server));
	d->sink->ops->start(d->sink, server->agent->identity.incarnation,
			    &command);
}

/* Sends the job's waiting tasks. Returns false if one fits no server. */
static bool place_job(struct dispatch *d, struct dispatch_job *job,
		      int64_t now_ms)
{
	for (uint32_t i = 0; i < job->spec.n_tasks && job->n_waiting; i++) {
		struct dispatch_task *task = &job->tasks[i];
		struct dispatch_server *server;

		if (task->state != DISPATCH_TASK_WAITING)
			continue;
		server = choose_server(d, job, task, now_ms);
		if (!server) {
			if (!job->is_late)
				dispatch_note_demand(d, now_ms);
			return false;
		}
		send_task(d, job, task, server, now_ms);
	}
	return true;
}

/* No other job may start before one that has waited this long for capacity.
 * Otherwise smaller jobs would keep taking the capacity that it needs. */
static bool reserves_capacity(const struct dispatch_job *job, int64_t now_ms)
{
	return !job->is_late &&
	       now_ms - job->arrived_ms >
		       (job->target_start_ms - job->arrived_ms) *
			       RESERVE_AFTER_FRACTION;
}

void dispatch_place_tasks(struct dispatch *d, int64_t now_ms)
{
	g_autoptr(GPtrArray) tried = g_ptr_array_new();
	struct dispatch_lane *lane;

	if (d->placing)
		return;
	d->placing = true;
	while ((lane = dispatch_next_lane(d, tried))) {
		struct dispatch_job *job =
			g_sequence_get(g_sequence_get_begin_iter(lane->queue));

		if (job->deadline_ms > now_ms && place_job(d, job, now_ms)) {
			dispatch_unqueue_job(job);
			continue;
		}
		g_ptr_array_add(tried, lane);
		if (reserves_capacity(job, now_ms))
			break;
	}
	d->placing = false;
}
