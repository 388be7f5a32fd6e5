/*
 * dispatch_interference: which classes run at each server, how much they slow
 * a task down that is placed there, and how much that task slows them down.
 * interference_view.c decides which pairs of classes interfere.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define JUDGE_INTERVAL_MS 200
/* What a run has left to run on average, as a fraction of its run time. */
#define REMAINING_FRACTION 0.5
#define PERCENT 100
/* Weight of a run in the mean slowdown of its class. */
#define MEAN_GAIN 0.02

/* ---- Classes at a server -------------------------------------------- */

static struct server_class *find_class(struct dispatch_server *server,
				       const char *name)
{
	struct server_class *unused = NULL;

	for (size_t i = 0; i < SERVER_CLASSES_MAX; i++) {
		struct server_class *class = &server->classes[i];

		if (!strcmp(class->name, name))
			return class;
		if (!unused && !class->own && !class->reported)
			unused = class;
	}
	if (unused)
		g_strlcpy(unused->name, name, sizeof(unused->name));
	return unused;
}

void server_add_class(struct dispatch_server *server, const char *class_name)
{
	struct server_class *class = find_class(server, class_name);

	if (class)
		class->own++;
}

void server_remove_class(struct dispatch_server *server, const char *class_name)
{
	struct server_class *class = find_class(server, class_name);

	if (class && class->own)
		class->own--;
}

static uint32_t runs_of(const struct server_class *class)
{
	return MAX(class->own, class->reported);
}

/* ---- Reports -------------------------------------------------------- */

static struct dispatch_server *find_server(const struct dispatch *d,
					   uint64_t agent, const char *name)
{
	for (guint i = 0; i < d->servers->len; i++) {
		struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);

		if (server->agent->identity.incarnation == agent &&
		    !strcmp(server->state.name, name))
			return server;
	}
	return NULL;
}

void dispatch_update_interference(struct dispatch *d, uint64_t agent,
				  const char *name,
				  const struct interference_report *report,
				  int64_t now_ms)
{
	struct dispatch_server *server = find_server(d, agent, name);

	if (!server)
		return;
	for (size_t i = 0; i < SERVER_CLASSES_MAX; i++)
		server->classes[i].reported = 0;
	for (size_t i = 0; i < report->n_classes; i++) {
		struct server_class *class =
			find_class(server, report->classes[i].class_name);

		if (class)
			class->reported = report->classes[i].running;
	}
	if (report->n_slowdowns)
		interference_view_report(
			d->interference, server->id, server->state.service,
			report->slowdowns, report->n_slowdowns, now_ms);
}

/* ---- Slowdowns ------------------------------------------------------ */

/* ignored: number of own runs of class_name that don't count. */
static double slowdown_of(const struct dispatch *d,
			  const struct dispatch_server *server,
			  const char *class_name, uint32_t ignored)
{
	double factor = 1;

	if (!interference_view_count(d->interference))
		return 1;
	for (size_t i = 0; i < SERVER_CLASSES_MAX; i++) {
		const struct server_class *class = &server->classes[i];
		uint32_t runs = runs_of(class);

		if (runs &&
		    (runs > ignored || strcmp(class->name, class_name) != 0))
			factor *= interference_view_factor(
				d->interference, class_name, class->name);
	}
	return factor;
}

double server_interference(const struct dispatch *d,
			   const struct dispatch_server *server,
			   const struct dispatch_job *job)
{
	return slowdown_of(d, server, job->class->name, 0);
}

double run_interference(const struct dispatch *d,
			const struct dispatch_job *job,
			const struct dispatch_task *task)
{
	double now = slowdown_of(d, task->server, job->class->name, 1);

	return sqrt(MAX(task->interference, 1) * now);
}

void class_add_slowdown(struct dispatch_class *class, double factor)
{
	class->slowdown_log += MEAN_GAIN * (log(factor) - class->slowdown_log);
}

double class_slowdown(const struct dispatch_class *class)
{
	return exp(class->slowdown_log);
}

/* Mean predicted run time of the class's tasks that run now; 0: unknown. */
static double mean_run_ms(const struct dispatch_class *class)
{
	return class && class->running_cpu_milli > 0
		       ? class->running_work / (double)class->running_cpu_milli
		       : 0;
}

double server_harm_ms(const struct dispatch *d,
		      const struct dispatch_server *server,
		      const struct dispatch_job *job, int64_t now_ms)
{
	double slack_ms = (double)(job->target_start_ms - now_ms);
	double harm_ms = 0;

	if (!interference_view_count(d->interference) || slack_ms <= 0)
		return 0;
	for (size_t i = 0; i < SERVER_CLASSES_MAX; i++) {
		const struct server_class *there = &server->classes[i];
		const struct dispatch_class *class;
		double factor, left_ms;

		if (!runs_of(there))
			continue;
		/* Runs beside which the job's class runs already are slowed
		 * down in any case. */
		if (!strcmp(there->name, job->class->name))
			return 0;
		factor = interference_view_factor(d->interference, there->name,
						  job->class->name);
		if (factor <= 1)
			continue;
		class = g_hash_table_lookup(d->classes, there->name);
		if (!class || class->priority > job->class->priority)
			continue;
		left_ms = MIN(mean_run_ms(class) * REMAINING_FRACTION,
			      (double)job->predicted_ms);
		harm_ms += runs_of(there) * left_ms * (1 - 1 / factor);
	}
	return MIN(harm_ms, slack_ms);
}

/* ---- Judgement ------------------------------------------------------ */

static uint32_t count_servers(const void *arg, const char *service)
{
	const struct dispatch *d = arg;
	uint32_t n = 0;

	for (guint i = 0; i < d->servers->len; i++) {
		const struct dispatch_server *server =
			g_ptr_array_index(d->servers, i);

		n += server_is_usable(d, server) &&
		     !strcmp(server->state.service, service);
	}
	return n;
}

void interference_tick(struct dispatch *d, int64_t now_ms)
{
	g_autoptr(GArray) changes = NULL;

	if (now_ms - d->interference_ms < JUDGE_INTERVAL_MS)
		return;
	d->interference_ms = now_ms;
	changes = g_array_new(FALSE, FALSE, sizeof(struct interfering_pair));
	interference_view_tick(d->interference, count_servers, d, now_ms,
			       changes);
	for (guint i = 0; i < changes->len; i++) {
		const struct interfering_pair *pair =
			&g_array_index(changes, struct interfering_pair, i);

		log_event(LOG_INFO,
			  pair->interferes ? "interference_found"
					   : "interference_ended",
			  "class=%s beside=%s slower_percent=%.0f servers=%u",
			  pair->class_name, pair->beside,
			  (exp(pair->log) - 1) * PERCENT, pair->servers);
	}
}
