/*
 * dispatch_place: placement, which decides where and in which order tasks
 * start; dispatch_order.c has the order. A task goes to the server on which it
 * is predicted to end soonest, among those that offer enough capacity to this
 * dispatcher. No task is sent to a server that offers too little, so that it
 * can still go to another one. While all servers are full, no job with many
 * tasks starves behind smaller ones.
 *
 * Where some servers are slower than others, a job waits for one on which it
 * can be in time, up to its target start. While the fast servers are nearly
 * full, jobs that are in time on slow ones go there and leave the fast ones to
 * the jobs that need them.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define MILLI 1000
/* Part of a server's capacity that late jobs leave free for jobs that can be in
 * time. Several dispatchers see the same free capacity. */
#define LATE_RESERVE_MILLI 100
/* How much slower a server of this data centre may be and still be preferred
 * to one of another data centre. */
#define OTHER_DATA_CENTRE_PENALTY_MS 4.0
/* A full server compared with an empty one: other dispatchers may also send
 * tasks there. */
#define FULL_SERVER_PENALTY_MS 8.0
/* A server that the task failed on, was lost with or was moved away from. */
#define AVOIDED_SERVER_PENALTY_MS 10000.0
/* A job reserves capacity after this fraction of the time between its arrival
 * and its target start. */
#define RESERVE_AFTER_FRACTION 0.3

/* While less than this fraction of the fast servers' processors is free, jobs
 * that meet their target on slow servers go there. */
#define FAST_SCARCE_BELOW 0.2
/* Such a job is expected to take at most this fraction of the time left to its
 * target, as its tasks differ. */
#define SLOW_SERVER_TIME_MAX 0.75
/* It prefers slow servers with at least this fraction of their processors free.
 * Fuller ones would be chosen by several dispatchers at once, and the runs
 * queue there. */
#define SLOW_SERVER_FREE_MIN 0.5
/* Most jobs with contained tasks that are tried at a time. */
#define CONTAINED_TRIES_MAX 16
/* Preference for a server; more than any run takes. */
#define PREFERENCE_MS 1000000.0

/* ---- Servers of different speed ------------------------------------- */

/* Counts what is free for all dispatchers: scarce capacity is offered to each
 * in turn. */
static bool is_fast_scarce(const struct dispatch *d)
{
	double capacity = 0, free = 0;

	for (guint i = 0; d->uneven && i < d->servers->len; i++) {
		const struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);

		if (server->speed >= SERVER_SLOW_SPEED ||
		    !server_is_usable(d, server))
			continue;
		capacity += (double)server->state.capacity.cpu_milli;
		free += (double)MAX(server_free_cpu_milli(server), 0);
	}
	return d->uneven && free < capacity * FAST_SCARCE_BELOW;
}

/* How long a task that starts now may run: until the job's target, or, if it
 * can't meet that any more, as long as its answer is of use. */
static double longest_run_ms(const struct dispatch_job *job, int64_t now_ms)
{
	if (job->is_late || now_ms >= job->target_start_ms)
		return (double)(job->useful_end_ms - now_ms);
	return (double)(job->target_start_ms + job->predicted_ms - now_ms);
}

static bool is_too_slow(const struct dispatch_server *server,
			const struct dispatch_job *job, int64_t now_ms)
{
	return server->speed > 1 &&
	       server_expected_ms(server, job) > longest_run_ms(job, now_ms);
}

/* Whether the job should use this server to spare faster ones. */
static bool spares_faster(const struct dispatch *d,
			  const struct dispatch_server *server,
			  const struct dispatch_job *job, int64_t now_ms)
{
	return d->fast_scarce && server->speed >= SERVER_SLOW_SPEED &&
	       (double)server_free_cpu_milli(server) >=
		       SLOW_SERVER_FREE_MIN *
			       server->state.capacity.cpu_milli &&
	       server_run_ms(d, server, job) <=
		       SLOW_SERVER_TIME_MAX * longest_run_ms(job, now_ms);
}

/* ---- Choice of a server --------------------------------------------- */

static bool has_failed_on(const struct dispatch_task *task, uint64_t server)
{
	for (guint i = 0; task->failed_on && i < task->failed_on->len; i++)
		if (g_array_index(task->failed_on, uint64_t, i) == server)
			return true;
	return false;
}

static bool was_lost_on(const struct dispatch_task *task, uint64_t server)
{
	for (uint32_t i = 0; i < MIN(task->n_lost_on, TASK_LOSSES_MAX); i++)
		if (task->lost_on[i] == server)
			return true;
	return false;
}

/* Whether the job's tasks can run there when there is room. */
static bool serves(const struct dispatch *d,
		   const struct dispatch_server *server,
		   const struct dispatch_job *job, int64_t now_ms)
{
	return server_is_usable(d, server) &&
	       !server_is_avoided(d, server, now_ms) &&
	       cf_health_weight_milli(d->health, server->id, now_ms) &&
	       !strcmp(server->state.service, job->route.service) &&
	       server->state.capacity.accelerators >= job->spec.accelerators;
}

static bool offers(const struct dispatch_server *server,
		   const struct dispatch_job *job)
{
	return server_offered_cpu_milli(server) >= job->spec.cpu_milli;
}

static bool has_room(const struct dispatch *d,
		     const struct dispatch_server *server,
		     const struct dispatch_job *job, int64_t now_ms)
{
	uint32_t weight = cf_health_weight_milli(d->health, server->id, now_ms);
	int64_t cpu = job->spec.cpu_milli;
	int64_t allowed =
		(int64_t)server->state.capacity.cpu_milli * weight / MILLI;

	if (server->own_runs && server->own_cpu_milli + cpu > allowed)
		return false;
	if (job->is_late)
		cpu += server->state.capacity.cpu_milli * LATE_RESERVE_MILLI /
		       MILLI;
	return server_offered_cpu_milli(server) >= cpu &&
	       server_free_memory_mb(server) >= job->spec.memory_mb;
}

static double predicted_finish_ms(const struct dispatch *d,
				  const struct dispatch_server *server,
				  const struct dispatch_job *job,
				  const struct dispatch_task *task,
				  int64_t now_ms)
{
	double capacity = MAX((double)server->state.capacity.cpu_milli, 1);
	double used = 1 - (double)server_free_cpu_milli(server) / capacity;
	double finish = server_run_ms(d, server, job) +
			used * FULL_SERVER_PENALTY_MS +
			server_harm_ms(d, server, job, now_ms) +
			contain_penalty_ms(d, server, job, task);

	if (strcmp(server->agent->identity.data_centre, d->data_centre) != 0)
		finish += OTHER_DATA_CENTRE_PENALTY_MS;
	if (task->avoided_server == server->id ||
	    has_failed_on(task, server->id) || was_lost_on(task, server->id))
		finish += AVOIDED_SERVER_PENALTY_MS;
	else if (spares_faster(d, server, job, now_ms))
		finish -= PREFERENCE_MS;
	return finish;
}

struct choice {
	struct dispatch_server *best; /* NULL: the task waits */
	double best_ms;
	bool waits_for_faster; /* the servers with room are too slow for it */
};

static void consider(struct choice *choice, struct dispatch_server *server,
		     double ms)
{
	if (choice->best && ms >= choice->best_ms)
		return;
	choice->best = server;
	choice->best_ms = ms;
}

/* Chooses among the servers on which the job can be in time. The others are
 * used only if none of these serves it, with or without room. */
static struct choice choose_server(const struct dispatch *d,
				   const struct dispatch_job *job,
				   const struct dispatch_task *task,
				   int64_t now_ms)
{
	struct choice in_time = { 0 }, too_slow = { 0 };
	bool can_be_in_time = false;

	for (guint i = 0; i < d->servers->len; i++) {
		struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);
		bool slow = is_too_slow(server, job, now_ms);

		/* In a shortage, most servers offer nothing. The health records
		 * are looked up for the others only. */
		if (!offers(server, job) && (can_be_in_time || slow))
			continue;
		if (!contain_allows(d, server, job, task) ||
		    !serves(d, server, job, now_ms))
			continue;
		can_be_in_time |= !slow;
		if (server->speed <= d->reserved_speed ||
		    !has_room(d, server, job, now_ms))
			continue;
		consider(slow ? &too_slow : &in_time, server,
			 predicted_finish_ms(d, server, job, task, now_ms));
	}
	if (!can_be_in_time)
		return too_slow;
	in_time.waits_for_faster = !in_time.best && too_slow.best;
	return in_time;
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
		.losses = task->losses.all,
		.lost_after_ms = task->lost_after_ms,
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
	task->expected_ms = server_expected_ms(server, job);
	task->speed_was_known = server->speed_known;
	task->interference = server_interference(d, server, job);
	server->last_start_ms = now_ms;
	server_add_run(server, job);
	server->suspects += task->suspect;
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

enum placement {
	PLACEMENT_ALL, /* no task waits any more */
	PLACEMENT_WAITS, /* one fits no server */
	PLACEMENT_WAITS_FOR_FASTER, /* one fits only servers too slow for it */
};

/* Sends the job's waiting tasks. Those that wait for one of the few servers for
 * contained tasks don't hold up the others. */
static enum placement place_job(struct dispatch *d, struct dispatch_job *job,
				int64_t now_ms)
{
	bool contained_wait = false;

	for (uint32_t i = 0; i < job->spec.n_tasks && job->n_waiting; i++) {
		struct dispatch_task *task = &job->tasks[i];
		struct choice choice;

		if (task->state != DISPATCH_TASK_WAITING ||
		    (contained_wait && contain_task(job, task)))
			continue;
		choice = choose_server(d, job, task, now_ms);
		if (!choice.best && contain_task(job, task)) {
			contained_wait = true;
			if (!job->is_late)
				dispatch_note_demand(d, now_ms);
			continue;
		}
		if (!choice.best) {
			if (!job->is_late)
				dispatch_note_demand(d, now_ms);
			return choice.waits_for_faster
				       ? PLACEMENT_WAITS_FOR_FASTER
				       : PLACEMENT_WAITS;
		}
		send_task(d, job, task, choice.best, now_ms);
	}
	return job->n_waiting ? PLACEMENT_WAITS : PLACEMENT_ALL;
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

/* Of servers with different speeds, a waiting job reserves those on which it
 * can be in time. The others stay free for jobs that can use them. */
static bool reserve_for(struct dispatch *d, const struct dispatch_job *job,
			enum placement placement, int64_t now_ms)
{
	if (!reserves_capacity(job, now_ms))
		return true;
	if (placement != PLACEMENT_WAITS_FOR_FASTER)
		return false;
	d->reserved_speed =
		MAX(d->reserved_speed,
		    MAX(longest_run_ms(job, now_ms) / job->predicted_ms, 1));
	return true;
}

/* The servers for contained tasks are of little use to other jobs, so jobs with
 * such tasks come first, and each is tried, as they wait for different servers.
 */
static void place_contained_jobs(struct dispatch *d, int64_t now_ms)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(d->contained.queue);

	for (uint32_t i = 0;
	     i < CONTAINED_TRIES_MAX && !g_sequence_iter_is_end(iter); i++) {
		struct dispatch_job *job = g_sequence_get(iter);

		iter = g_sequence_iter_next(iter);
		if (job->deadline_ms > now_ms &&
		    place_job(d, job, now_ms) == PLACEMENT_ALL)
			dispatch_unqueue_job(job);
	}
}

void dispatch_place_tasks(struct dispatch *d, int64_t now_ms)
{
	g_autoptr(GPtrArray) tried = g_ptr_array_new();
	struct dispatch_lane *lane;

	if (d->placing)
		return;
	d->placing = true;
	d->reserved_speed = 0;
	if (d->fast_counted_ms != now_ms)
		d->fast_scarce = is_fast_scarce(d);
	d->fast_counted_ms = now_ms;
	place_contained_jobs(d, now_ms);
	while ((lane = dispatch_next_lane(d, tried))) {
		struct dispatch_job *job =
			g_sequence_get(g_sequence_get_begin_iter(lane->queue));
		enum placement placement = PLACEMENT_WAITS;

		if (job->deadline_ms > now_ms)
			placement = place_job(d, job, now_ms);
		if (placement == PLACEMENT_ALL) {
			dispatch_unqueue_job(job);
			continue;
		}
		g_ptr_array_add(tried, lane);
		if (!reserve_for(d, job, placement, now_ms))
			break;
	}
	d->placing = false;
}
