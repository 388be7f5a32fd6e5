#include "store/disk_queue.h"

/* ---- Types ---------------------------------------------------------- */

enum disk_work {
	DISK_APPEND,
	DISK_SNAPSHOT,
	DISK_STOP,
};

struct disk_job {
	struct disk_queue *queue;
	enum disk_work work;
	struct store_write write; /* its pointers belong to the caller */
	struct cf_snapshot snapshot;
	char *failure; /* reason, or NULL on success */
};

struct disk_queue {
	struct loop *loop;
	struct store *store;
	disk_done_fn *done;
	void *arg;
	GThread *thread;
	GAsyncQueue *jobs; /* struct disk_job */
	GPtrArray *unfinished; /* jobs whose outcome was not reported yet */
};

/* ---- Jobs ----------------------------------------------------------- */

static struct disk_job *new_job(struct disk_queue *queue, enum disk_work work)
{
	struct disk_job *job = g_new0(struct disk_job, 1);

	job->queue = queue;
	job->work = work;
	return job;
}

static void free_job(struct disk_job *job)
{
	g_bytes_unref(job->snapshot.data);
	g_free(job->failure);
	g_free(job);
}

static void push_job(struct disk_queue *queue, struct disk_job *job)
{
	g_ptr_array_add(queue->unfinished, job);
	g_async_queue_push(queue->jobs, job);
}

static void on_done(void *arg)
{
	struct disk_job *job = arg;
	struct disk_outcome outcome = { .snapshot = job->work == DISK_SNAPSHOT,
					.saved = &job->snapshot,
					.failure = job->failure };

	g_ptr_array_remove_fast(job->queue->unfinished, job);
	job->queue->done(job->queue->arg, &outcome);
	free_job(job);
}

/* ---- Thread --------------------------------------------------------- */

static void run_job(struct disk_job *job)
{
	GError *error = NULL;

	if (job->work == DISK_APPEND)
		store_append(job->queue->store, &job->write, &error);
	else
		store_save_snapshot(job->queue->store, &job->snapshot, &error);
	if (error)
		job->failure = g_strdup(error->message);
	g_clear_error(&error);
}

static gpointer disk_thread(gpointer arg)
{
	struct disk_queue *queue = arg;

	for (;;) {
		struct disk_job *job = g_async_queue_pop(queue->jobs);

		if (job->work == DISK_STOP) {
			free_job(job);
			return NULL;
		}
		run_job(job);
		loop_post(queue->loop, on_done, job);
	}
}

/* ---- Public functions ----------------------------------------------- */

struct disk_queue *disk_queue_create(struct loop *loop, struct store *store,
				     disk_done_fn *done, void *arg)
{
	struct disk_queue *queue = g_new0(struct disk_queue, 1);

	queue->loop = loop;
	queue->store = store;
	queue->done = done;
	queue->arg = arg;
	queue->jobs = g_async_queue_new();
	queue->unfinished = g_ptr_array_new();
	queue->thread = g_thread_new("disk", disk_thread, queue);
	return queue;
}

void disk_queue_append(struct disk_queue *queue,
		       const struct store_write *write)
{
	struct disk_job *job = new_job(queue, DISK_APPEND);

	job->write = *write;
	push_job(queue, job);
}

void disk_queue_save(struct disk_queue *queue,
		     const struct cf_snapshot *snapshot)
{
	struct disk_job *job = new_job(queue, DISK_SNAPSHOT);

	job->snapshot = *snapshot;
	push_job(queue, job);
}

void disk_queue_destroy(struct disk_queue *queue)
{
	if (!queue)
		return;
	g_async_queue_push(queue->jobs, new_job(queue, DISK_STOP));
	g_thread_join(queue->thread);
	for (guint i = 0; i < queue->unfinished->len; i++) {
		loop_cancel(queue->loop,
			    g_ptr_array_index(queue->unfinished, i));
		free_job(g_ptr_array_index(queue->unfinished, i));
	}
	g_async_queue_unref(queue->jobs);
	g_ptr_array_unref(queue->unfinished);
	g_free(queue);
}
