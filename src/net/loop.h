/*
 * loop: a single-threaded event loop over an APR pollset. It handles
 * sockets, timers and calls posted from other threads. Only loop_post and
 * loop_stop may be called from other threads.
 */
#ifndef NET_LOOP_H
#define NET_LOOP_H

#include <apr_network_io.h>
#include <apr_poll.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct loop;
struct loop_timer;
struct loop_watch;

typedef void loop_fn(void *arg);
typedef void loop_timer_fn(void *arg, int64_t now_ms);
typedef void loop_watch_fn(void *arg, bool readable, bool writable);

struct loop *loop_create(GError **error);
/* Posted and deferred calls that have not run are dropped. */
void loop_destroy(struct loop *loop);
/* Runs until loop_stop is called. */
void loop_run(struct loop *loop);
/* May be called from any thread and from a signal handler. */
void loop_stop(struct loop *loop);
/* May be called from any thread. */
void loop_post(struct loop *loop, loop_fn *fn, void *arg);
/* Runs the call once at the end of this iteration, before the loop waits. */
void loop_defer(struct loop *loop, loop_fn *fn, void *arg);
/* Drops the posted and deferred calls with this argument that have not run.
 * Loop thread only, or any thread while the loop is not running. */
void loop_cancel(struct loop *loop, const void *arg);
/* Time at which this iteration stopped waiting. */
int64_t loop_now_ms(const struct loop *loop);

struct loop_timer *loop_timer_create(struct loop *loop, loop_timer_fn *fn,
				     void *arg);
/* Restarts a running timer. With every_ms 0 it fires once. */
void loop_timer_start(struct loop_timer *timer, int64_t after_ms,
		      int64_t every_ms);
void loop_timer_stop(struct loop_timer *timer);
void loop_timer_destroy(struct loop_timer *timer);

struct loop_watch *loop_watch_create(struct loop *loop, apr_socket_t *socket,
				     loop_watch_fn *fn, void *arg);
void loop_watch_set(struct loop_watch *watch, bool read, bool write);
void loop_watch_destroy(struct loop_watch *watch);

#endif
