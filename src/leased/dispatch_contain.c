/*
 * dispatch_contain: applies containment to jobs and servers: which tasks are
 * contained, on which servers they may run, and when their jobs are refused
 * because none of these servers is up. containment.c decides which classes are
 * contained and which hosts run contained tasks.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* A crashed server is taken to be back after this time. */
#define SERVER_RETURN_MS 3000
/* Preference of other tasks for servers outside the contained set, and of a
 * suspect for a server without another suspect; longer than any run. */
#define CONTAINED_SERVER_PENALTY_MS 10000.0

/* ---- Contained tasks ------------------------------------------------ */

bool contain_task(const struct dispatch_job *job,
		  const struct dispatch_task *task)
{
	return task->suspect || job->class->contained;
}

bool contain_allows(const struct dispatch *d,
		    const struct dispatch_server *server,
		    const struct dispatch_job *job,
		    const struct dispatch_task *task)
{
	return !d->containing || server->agent->runs_contained ||
	       !contain_task(job, task);
}

double contain_penalty_ms(const struct dispatch *d,
			  const struct dispatch_server *server,
			  const struct dispatch_job *job,
			  const struct dispatch_task *task)
{
	if (!d->containing)
		return 0;
	/* Suspects that are lost together can't be told apart. */
	if (task->suspect)
		return server->suspects ? CONTAINED_SERVER_PENALTY_MS : 0;
	return server->agent->runs_contained && !job->class->contained
		       ? CONTAINED_SERVER_PENALTY_MS
		       : 0;
}

void dispatch_set_containment(struct dispatch *d, bool enabled)
{
	d->containment_disabled = !enabled;
}

/* Moves the job's waiting tasks to the lane that it belongs to. */
static void set_contained(struct dispatch *d, struct dispatch_job *job,
			  bool contained)
{
	bool queued = job->queue_entry != NULL;
	int32_t waiting = (int32_t)job->n_waiting;

	if (job->is_contained == contained)
		return;
	dispatch_unqueue_job(job);
	dispatch_count_waiting(d, job, -waiting);
	job->is_contained = contained;
	dispatch_count_waiting(d, job, waiting);
	if (queued)
		dispatch_queue_job(d, job);
}

void contain_note_loss(struct dispatch *d, struct dispatch_job *job,
		       struct dispatch_task *task, uint32_t ran_ms)
{
	task->lost_after_ms = ran_ms;
	if (d->containment_disabled || !loss_is_young(ran_ms) || job->ended)
		return;
	log_event(LOG_WARN, "task_suspected",
		  "job=%s route=%s index=%u agent=%s server=%s ran_ms=%u",
		  job->id, job->route.name, task->index,
		  task->server->agent->identity.name, task->server->state.name,
		  ran_ms);
	if (!task->suspect)
		d->suspects++;
	/* The run that was lost is removed from its server afterwards. */
	if (!task->suspect)
		task->server->suspects++;
	task->suspect = true;
	job->has_suspect = true;
	set_contained(d, job, true);
	contain_choose_servers(d);
}

/* ---- Servers that run contained tasks ------------------------------- */

static bool is_in_service(const struct dispatch *d,
			  const struct dispatch_agent *agent)
{
	return !d->config ||
	       cf_config_in_service(d->config, agent->identity.data_centre);
}

/* A crashed server stays in the set: another one in its place would be the
 * next to crash. */
void contain_choose_servers(struct dispatch *d)
{
	g_autofree struct containment_host *hosts = NULL;
	size_t n = 0;
	GHashTableIter iter;
	gpointer value;

	d->containing = d->suspects || containment_count(d->containment);
	if (!d->containing)
		return;
	hosts = g_new0(struct containment_host, g_hash_table_size(d->agents));
	g_hash_table_iter_init(&iter, d->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_agent *agent = value;
		const struct dispatch_server *server;

		agent->runs_contained = false;
		if (!agent->servers->len || !is_in_service(d, agent))
			continue;
		server = g_ptr_array_index(agent->servers,
					   agent->servers->len - 1);
		hosts[n].name = agent->identity.name;
		hosts[n].service = server->state.service;
		hosts[n++].data = agent;
	}
	containment_choose_hosts(hosts, n);
	for (size_t i = 0; i < n; i++)
		((struct dispatch_agent *)hosts[i].data)->runs_contained =
			hosts[i].chosen;
}

static int64_t usable_from_ms(const struct dispatch *d,
			      const struct dispatch_server *server,
			      int64_t now_ms)
{
	int64_t back_ms = server->last_usable_ms + SERVER_RETURN_MS;

	if (server_is_usable(d, server))
		return now_ms;
	return back_ms > now_ms ? back_ms : now_ms + SERVER_RETURN_MS;
}

/* When a server for contained tasks of the service is up: now, or when the
 * first of those that crashed is back. */
static int64_t set_usable_from_ms(const struct dispatch *d, const char *service,
				  int64_t now_ms)
{
	int64_t first_ms = now_ms + SERVER_RETURN_MS;

	for (guint i = 0; i < d->servers->len; i++) {
		const struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);

		if (server->agent->runs_contained &&
		    !strcmp(server->state.service, service))
			first_ms = MIN(first_ms,
				       usable_from_ms(d, server, now_ms));
	}
	return first_ms;
}

/* ---- Admission ------------------------------------------------------ */

bool contain_refuses(const struct dispatch *d, const struct dispatch_job *job,
		     int64_t now_ms)
{
	return job->class->contained && !job->ever_sent &&
	       set_usable_from_ms(d, job->route.service, now_ms) >
		       job->useful_start_ms;
}

int64_t contain_wait_ms(const struct dispatch *d,
			const struct dispatch_job *job, int64_t wait_ms,
			int64_t now_ms)
{
	int64_t up_ms, end_ms;

	if (!job->class->contained)
		return wait_ms;
	up_ms = set_usable_from_ms(d, job->route.service, now_ms) - now_ms;
	end_ms = containment_end_ms(d->containment, job->class->name) - now_ms;
	return CLAMP(wait_ms, MIN(up_ms, end_ms), MAX(end_ms, 0));
}

/* ---- Reports -------------------------------------------------------- */

static void log_change(const struct containment_change *change)
{
	log_event(
		LOG_WARN,
		change->contained ? "containment_began" : "containment_ended",
		"class=%s proofs=%u ran_ms=%u last_host=%s lasted_ms=%" PRId64,
		change->class_name, change->proofs, change->ran_ms,
		change->host, change->lasted_ms);
}

static void update_classes(struct dispatch *d, int64_t now_ms)
{
	g_autoptr(GArray) changes =
		g_array_new(FALSE, FALSE, sizeof(struct containment_change));

	containment_tick(d->containment, g_hash_table_size(d->classes), now_ms,
			 changes);
	for (guint i = 0; i < changes->len; i++) {
		const struct containment_change *change =
			&g_array_index(changes, struct containment_change, i);
		struct dispatch_class *class =
			g_hash_table_lookup(d->classes, change->class_name);

		if (class)
			class->contained = change->contained;
		log_change(change);
	}
}

void dispatch_update_losses(struct dispatch *d, uint64_t incarnation,
			    const struct class_loss *losses, size_t n,
			    int64_t age_ms, int64_t now_ms)
{
	const struct dispatch_agent *agent =
		g_hash_table_lookup(d->agents, &incarnation);

	if (!agent || d->containment_disabled)
		return;
	if (!containment_add_crash(d->containment, agent->identity.name, losses,
				   n, now_ms - age_ms, now_ms))
		return;
	update_classes(d, now_ms);
	contain_choose_servers(d);
}

/* ---- Periodic work -------------------------------------------------- */

static void note_usable_servers(struct dispatch *d, int64_t now_ms)
{
	for (guint i = 0; i < d->servers->len; i++) {
		struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);

		if (server_is_usable(d, server))
			server->last_usable_ms = now_ms;
	}
}

static uint32_t count_suspects(const struct dispatch_job *job)
{
	uint32_t n = 0;

	for (uint32_t i = 0; job->has_suspect && i < job->spec.n_tasks; i++)
		n += job->tasks[i].suspect &&
		     job->tasks[i].state != DISPATCH_TASK_DONE;
	return n;
}

/* Jobs that aren't contained any more, or are since the last tick, change their
 * lane. Those that wait for a server of the set in vain are refused. */
static void update_jobs(struct dispatch *d, int64_t now_ms)
{
	g_autoptr(GPtrArray) refused = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	d->suspects = 0;
	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_job *job = value;
		uint32_t suspects = job->ended ? 0 : count_suspects(job);

		if (job->ended)
			continue;
		d->suspects += suspects;
		set_contained(d, job, job->class->contained || suspects);
		if (contain_refuses(d, job, now_ms))
			g_ptr_array_add(refused, job);
	}
	for (guint i = 0; i < refused->len; i++) {
		struct dispatch_job *job = g_ptr_array_index(refused, i);

		dispatch_abort_job(d, job, CONTAINED_REFUSAL, now_ms);
		dispatch_free_job_if_finished(d, job, now_ms);
	}
}

void contain_tick(struct dispatch *d, int64_t now_ms)
{
	note_usable_servers(d, now_ms);
	if (!d->containing)
		return;
	update_classes(d, now_ms);
	contain_choose_servers(d);
	update_jobs(d, now_ms);
}
