/*
 * loop: see loop.h. Each iteration waits, then handles sockets, posted
 * calls, timers and deferred calls in this order. Sockets come before
 * timers, so that data that arrived while the process was stopped is read
 * before a timeout fires.
 */
#include "net/loop.h"

#include "base/clock.h"
#include "base/mpsc.h"

#include <apr_general.h>
#include <stdatomic.h>

#define POLLSET_SIZE 8192
#define US_PER_MS 1000
#define WAIT_MAX_MS 1000

struct posted {
	struct mpsc_node node;
	loop_fn *fn;
	void *arg;
};

struct loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	GSequence *timers; /* struct loop_timer, earliest first */
	uint64_t next_order;
	int64_t now_ms;
	atomic_bool stopping;
	struct mpsc posted; /* from any thread */
	GQueue calls; /* struct posted, moved here from posted */
	GQueue deferred; /* struct posted */
	GPtrArray *destroyed_watches; /* freed at the end of the iteration */
};

struct loop_timer {
	struct loop *loop;
	loop_timer_fn *fn;
	void *arg;
	int64_t due_ms;
	int64_t every_ms;
	uint64_t order; /* timers due at the same time run in start order */
	GSequenceIter *iterator; /* NULL: stopped */
};

struct loop_watch {
	struct loop *loop;
	apr_pollfd_t descriptor;
	loop_watch_fn *fn; /* NULL: destroyed */
	void *arg;
	bool added;
};

/* ---- Create and destroy ---- */

static gpointer initialize_apr(gpointer unused)
{
	(void)unused;
	return GINT_TO_POINTER(apr_initialize() == APR_SUCCESS);
}

struct loop *loop_create(GError **error)
{
	static GOnce once = G_ONCE_INIT;
	struct loop *loop;
	apr_status_t status = APR_EGENERAL;

	loop = g_new0(struct loop, 1);
	if (g_once(&once, initialize_apr, NULL))
		status = apr_pool_create(&loop->pool, NULL);
	if (status == APR_SUCCESS)
		status = apr_pollset_create_ex(
			&loop->pollset, POLLSET_SIZE, loop->pool,
			APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY,
			APR_POLLSET_EPOLL);
	if (status != APR_SUCCESS) {
		char text[128];

		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "event loop: %s",
			    apr_strerror(status, text, sizeof(text)));
		if (loop->pool)
			apr_pool_destroy(loop->pool);
		g_free(loop);
		return NULL;
	}
	loop->timers = g_sequence_new(NULL);
	loop->destroyed_watches = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&loop->calls);
	g_queue_init(&loop->deferred);
	loop->now_ms = clock_now_ms();
	return loop;
}

/* Moves calls posted by other threads to the loop's own queue. */
static void collect_posted(struct loop *loop)
{
	struct mpsc_node *node = mpsc_take_all(&loop->posted);

	while (node) {
		struct mpsc_node *next = node->next;

		g_queue_push_tail(&loop->calls, node);
		node = next;
	}
}

void loop_destroy(struct loop *loop)
{
	if (!loop)
		return;
	collect_posted(loop);
	g_queue_clear_full(&loop->calls, g_free);
	g_queue_clear_full(&loop->deferred, g_free);
	g_ptr_array_free(loop->destroyed_watches, TRUE);
	g_sequence_free(loop->timers);
	apr_pollset_destroy(loop->pollset);
	apr_pool_destroy(loop->pool);
	g_free(loop);
}

int64_t loop_now_ms(const struct loop *loop)
{
	return loop->now_ms;
}

/* ---- Calls ---- */

static struct posted *make_call(loop_fn *fn, void *arg)
{
	struct posted *call = g_new(struct posted, 1);

	call->fn = fn;
	call->arg = arg;
	return call;
}

void loop_post(struct loop *loop, loop_fn *fn, void *arg)
{
	if (mpsc_push(&loop->posted, &make_call(fn, arg)->node))
		apr_pollset_wakeup(loop->pollset);
}

void loop_stop(struct loop *loop)
{
	atomic_store(&loop->stopping, true);
	apr_pollset_wakeup(loop->pollset);
}

void loop_defer(struct loop *loop, loop_fn *fn, void *arg)
{
	g_queue_push_tail(&loop->deferred, make_call(fn, arg));
}

static void remove_calls_in(GQueue *queue, const void *arg)
{
	GList *link = queue->head;

	while (link) {
		GList *next = link->next;
		struct posted *call = link->data;

		if (call->arg == arg) {
			g_queue_delete_link(queue, link);
			g_free(call);
		}
		link = next;
	}
}

void loop_cancel(struct loop *loop, const void *arg)
{
	collect_posted(loop);
	remove_calls_in(&loop->calls, arg);
	remove_calls_in(&loop->deferred, arg);
}

/* Runs the calls queued now. Calls that they add run in the next iteration. */
static void run_calls(GQueue *queue)
{
	for (guint n = queue->length; n > 0; n--) {
		struct posted *call = g_queue_pop_head(queue);

		if (!call)
			return; /* cancelled by an earlier call */
		call->fn(call->arg);
		g_free(call);
	}
}

/* ---- Timers ---- */

struct loop_timer *loop_timer_create(struct loop *loop, loop_timer_fn *fn,
				     void *arg)
{
	struct loop_timer *timer = g_new0(struct loop_timer, 1);

	timer->loop = loop;
	timer->fn = fn;
	timer->arg = arg;
	return timer;
}

static gint compare_timers(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct loop_timer *x = a;
	const struct loop_timer *y = b;

	(void)unused;
	if (x->due_ms != y->due_ms)
		return x->due_ms < y->due_ms ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static void insert_timer(struct loop_timer *timer, int64_t due_ms)
{
	timer->due_ms = due_ms;
	timer->order = timer->loop->next_order++;
	timer->iterator = g_sequence_insert_sorted(timer->loop->timers, timer,
						   compare_timers, NULL);
}

void loop_timer_start(struct loop_timer *timer, int64_t after_ms,
		      int64_t every_ms)
{
	loop_timer_stop(timer);
	timer->every_ms = every_ms;
	insert_timer(timer, clock_now_ms() + MAX(after_ms, 0));
}

void loop_timer_stop(struct loop_timer *timer)
{
	if (!timer->iterator)
		return;
	g_sequence_remove(timer->iterator);
	timer->iterator = NULL;
}

void loop_timer_destroy(struct loop_timer *timer)
{
	if (!timer)
		return;
	loop_timer_stop(timer);
	g_free(timer);
}

static struct loop_timer *first_timer(const struct loop *loop)
{
	GSequenceIter *first = g_sequence_get_begin_iter(loop->timers);

	return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static void run_timers(struct loop *loop)
{
	uint64_t order_end = loop->next_order;
	struct loop_timer *timer = first_timer(loop);

	while (timer && timer->due_ms <= loop->now_ms &&
	       timer->order < order_end) {
		int64_t every_ms = timer->every_ms;

		loop_timer_stop(timer);
		if (every_ms > 0)
			insert_timer(timer, loop->now_ms + every_ms);
		timer->fn(timer->arg, loop->now_ms);
		timer = first_timer(loop);
	}
}

/* ---- Sockets ---- */

struct loop_watch *loop_watch_create(struct loop *loop, apr_socket_t *socket,
				     loop_watch_fn *fn, void *arg)
{
	struct loop_watch *watch = g_new0(struct loop_watch, 1);

	watch->loop = loop;
	watch->fn = fn;
	watch->arg = arg;
	watch->descriptor.desc_type = APR_POLL_SOCKET;
	watch->descriptor.desc.s = socket;
	watch->descriptor.client_data = watch;
	return watch;
}

void loop_watch_set(struct loop_watch *watch, bool read, bool write)
{
	apr_int16_t events = (apr_int16_t)((read ? APR_POLLIN : 0) |
					   (write ? APR_POLLOUT : 0));

	if (events == watch->descriptor.reqevents)
		return;
	if (watch->added)
		apr_pollset_remove(watch->loop->pollset, &watch->descriptor);
	watch->descriptor.reqevents = events;
	watch->added = events != 0 &&
		       apr_pollset_add(watch->loop->pollset,
				       &watch->descriptor) == APR_SUCCESS;
}

void loop_watch_destroy(struct loop_watch *watch)
{
	if (!watch)
		return;
	loop_watch_set(watch, false, false);
	watch->fn = NULL;
	g_ptr_array_add(watch->loop->destroyed_watches, watch);
}

static void run_watch(struct loop_watch *watch, apr_int16_t events)
{
	bool failed = events & (APR_POLLERR | APR_POLLHUP | APR_POLLNVAL);
	apr_int16_t requested = watch->descriptor.reqevents;

	if (!watch->fn || !requested)
		return;
	watch->fn(watch->arg,
		  (requested & APR_POLLIN) && (failed || (events & APR_POLLIN)),
		  (requested & APR_POLLOUT) &&
			  (failed || (events & APR_POLLOUT)));
}

/* ---- Iterations ---- */

static int64_t wait_ms(struct loop *loop)
{
	const struct loop_timer *timer = first_timer(loop);
	int64_t left_ms = WAIT_MAX_MS;

	if (!g_queue_is_empty(&loop->deferred) ||
	    !g_queue_is_empty(&loop->calls))
		return 0;
	if (timer)
		left_ms = timer->due_ms - clock_now_ms();
	return CLAMP(left_ms, 0, WAIT_MAX_MS);
}

static void run_iteration(struct loop *loop)
{
	const apr_pollfd_t *ready = NULL;
	apr_int32_t n = 0;
	apr_status_t status = apr_pollset_poll(
		loop->pollset, wait_ms(loop) * US_PER_MS, &n, &ready);

	loop->now_ms = clock_now_ms();
	for (apr_int32_t i = 0; status == APR_SUCCESS && i < n; i++)
		run_watch(ready[i].client_data, ready[i].rtnevents);
	collect_posted(loop);
	run_calls(&loop->calls);
	run_timers(loop);
	run_calls(&loop->deferred);
	g_ptr_array_set_size(loop->destroyed_watches, 0);
}

void loop_run(struct loop *loop)
{
	while (!atomic_exchange(&loop->stopping, false))
		run_iteration(loop);
}
