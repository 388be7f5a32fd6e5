/*
 * dispatch_losses: the servers that crashed under the tasks of a job. They are
 * remembered after the job has ended, as its caller may send it again: a task
 * that crashes servers takes most of a second for each, and callers don't wait
 * for three. Losses under other dispatchers count too, as the caller may choose
 * another one.
 */
#include "leased/dispatch_internal.h"

#include "base/logger.h"

#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* A job that isn't sent again for this time starts without losses then. */
#define REMEMBERED_MS 60000
/* Beyond these, the losses of the job that expires next are forgotten. */
#define REMEMBERED_JOBS_MAX 2000

/* ---- Types ---------------------------------------------------------- */

struct task_losses {
	uint32_t index;
	struct loss_count count;
};

struct job_losses {
	char job[LEASED_JOB_SIZE]; /* key */
	int64_t expires_ms;
	GArray *tasks; /* struct task_losses */
};

/* ---- Memory --------------------------------------------------------- */

static void free_job_losses(gpointer data)
{
	struct job_losses *known = data;

	g_array_unref(known->tasks);
	g_free(known);
}

GHashTable *losses_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				     free_job_losses);
}

static void forget_expired(struct dispatch *d, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	const struct job_losses *oldest = NULL;

	g_hash_table_iter_init(&iter, d->losses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job_losses *known = value;

		if (known->expires_ms <= now_ms)
			g_hash_table_iter_remove(&iter);
		else if (!oldest || known->expires_ms < oldest->expires_ms)
			oldest = known;
	}
	if (oldest && g_hash_table_size(d->losses) >= REMEMBERED_JOBS_MAX)
		g_hash_table_remove(d->losses, oldest->job);
}

static struct job_losses *find_job_losses(struct dispatch *d, const char *job,
					  int64_t now_ms)
{
	struct job_losses *known = g_hash_table_lookup(d->losses, job);

	if (!known || known->expires_ms <= now_ms) {
		forget_expired(d, now_ms);
		known = g_new0(struct job_losses, 1);
		g_strlcpy(known->job, job, sizeof(known->job));
		known->tasks =
			g_array_new(FALSE, TRUE, sizeof(struct task_losses));
		g_hash_table_insert(d->losses, known->job, known);
	}
	known->expires_ms = now_ms + REMEMBERED_MS;
	return known;
}

static struct task_losses *find_task_losses(struct job_losses *known,
					    uint32_t index)
{
	struct task_losses added = { .index = index };

	for (guint i = 0; i < known->tasks->len; i++) {
		struct task_losses *task =
			&g_array_index(known->tasks, struct task_losses, i);

		if (task->index == index)
			return task;
	}
	g_array_append_val(known->tasks, added);
	return &g_array_index(known->tasks, struct task_losses,
			      known->tasks->len - 1);
}

void losses_restore(struct dispatch *d, struct dispatch_job *job,
		    int64_t now_ms)
{
	struct job_losses *known = g_hash_table_lookup(d->losses, job->id);

	if (!known || known->expires_ms <= now_ms)
		return;
	known->expires_ms = now_ms + REMEMBERED_MS;
	for (guint i = 0; i < known->tasks->len; i++) {
		const struct task_losses *from =
			&g_array_index(known->tasks, struct task_losses, i);

		if (from->index < job->spec.n_tasks)
			job->tasks[from->index].losses = from->count;
	}
}

/* ---- Losses --------------------------------------------------------- */

static void add_loss(struct loss_count *count, const struct run_result *lost)
{
	count->all++;
	count->suspect += lost->doubt == LOSS_CONFIRMED &&
			  lost->run_ms <= LOSS_SUSPECT_MS;
}

void losses_add(struct dispatch *d, const struct run_result *lost,
		int64_t now_ms)
{
	const struct run_name *name = &lost->name;
	struct dispatch_job *job = g_hash_table_lookup(d->jobs, name->job);
	struct task_losses *known = find_task_losses(
		find_job_losses(d, name->job, now_ms), name->index);
	struct dispatch_task *task;

	if (!job || name->index >= job->spec.n_tasks) {
		add_loss(&known->count, lost);
		return;
	}
	/* A job that lasts longer than losses are remembered keeps its own. */
	task = &job->tasks[name->index];
	add_loss(&task->losses, lost);
	known->count = task->losses;
	log_event(LOG_WARN, "task_lost",
		  "job=%s class=%s index=%u number=%u server=%s losses=%u "
		  "suspect=%u age_ms=%u doubt=%s",
		  job->id, job->class->name, task->index, name->number,
		  name->number && task->server ? task->server->state.name : "",
		  task->losses.all, task->losses.suspect, lost->run_ms,
		  loss_doubt_name(lost->doubt));
}

static bool crashed_servers(const struct dispatch_task *task)
{
	return task->losses.suspect >= TASK_SUSPECT_LOSSES_MAX;
}

/* Returns why the task isn't started again, or NULL. */
static const char *find_limit(const struct dispatch_task *task)
{
	if (crashed_servers(task))
		return "servers crashed when a task was started there";
	if (task->losses.all >= TASK_LOSSES_MAX)
		return "as many servers may have crashed under a task as may";
	return NULL;
}

bool losses_end_job(struct dispatch *d, struct dispatch_job *job)
{
	for (uint32_t i = 0; !job->ended && i < job->spec.n_tasks; i++) {
		const struct dispatch_task *task = &job->tasks[i];
		const char *reason = find_limit(task);

		if (!reason || task->state == DISPATCH_TASK_DONE)
			continue;
		if (crashed_servers(task))
			d->crashing_jobs++;
		else
			d->doubtful_jobs++;
		log_event(LOG_WARN, "task_given_up",
			  "job=%s class=%s index=%u losses=%u suspect=%u "
			  "reason=\"%s\"",
			  job->id, job->class->name, task->index,
			  task->losses.all, task->losses.suspect, reason);
		dispatch_end_job(d, job, JOB_VERDICT_GIVEN_UP, reason, 0);
		return true;
	}
	return false;
}

void losses_add_foreign(struct dispatch *d, const struct run_result *result,
			int64_t now_ms)
{
	struct dispatch_job *job =
		g_hash_table_lookup(d->jobs, result->name.job);

	losses_add(d, result, now_ms);
	if (job && losses_end_job(d, job))
		dispatch_free_job_if_finished(d, job, now_ms);
}
