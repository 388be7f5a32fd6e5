/*
 * loop: one thread's event loop over an APR pollset: sockets, timers
 * and calls posted from other threads. Everything but loop_post and
 * loop_stop belongs to the loop's own thread.
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
void loop_destroy(struct loop *loop); /* posted calls are dropped */
void loop_run(struct loop *loop); /* until loop_stop */
void loop_stop(struct loop *loop); /* any thread, also signal */
void loop_post(struct loop *loop, loop_fn *fn, void *arg); /* any thread */
/* Runs once at the end of this turn, before the loop waits again. */
void loop_defer(struct loop *loop, loop_fn *fn, void *arg);
/* Drops what was posted or deferred with this argument and has not run.
 * Loop thread, or any while the loop does not run. */
void loop_cancel(struct loop *loop, const void *arg);
int64_t loop_now_ms(const struct loop *loop); /* at this turn's begin */

struct loop_timer *loop_timer_create(struct loop *loop, loop_timer_fn *fn,
				     void *arg);
void loop_timer_start(struct loop_timer *timer, int64_t after_ms,
		      int64_t every_ms); /* every 0: once */
void loop_timer_stop(struct loop_timer *timer);
void loop_timer_destroy(struct loop_timer *timer);

struct loop_watch *loop_watch_create(struct loop *loop, apr_socket_t *socket,
				     loop_watch_fn *fn, void *arg);
void loop_watch_set(struct loop_watch *watch, bool read, bool write);
void loop_watch_destroy(struct loop_watch *watch);

#endif
