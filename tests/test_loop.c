/*
 * test_loop: tests posted calls, deferred calls and timers of the loop.
 */
#include "net/loop.h"
#include "support/loop_until.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define THREADS 4
#define POSTS_PER_THREAD 20000

struct poster {
	struct loop *loop;
	int number;
};

struct post {
	int thread, number;
};

static struct {
	int next[THREADS]; /* next number expected from each thread */
	int n, out_of_order;
} posts;

static void count_post(void *arg)
{
	struct post *post = arg;

	if (posts.next[post->thread]++ != post->number)
		posts.out_of_order++;
	posts.n++;
	g_free(post);
}

static gpointer run_poster(gpointer arg)
{
	struct poster *poster = arg;

	for (int i = 0; i < POSTS_PER_THREAD; i++) {
		struct post *post = g_new(struct post, 1);

		post->thread = poster->number;
		post->number = i;
		loop_post(poster->loop, count_post, post);
	}
	return NULL;
}

static bool all_posted(void *arg)
{
	(void)arg;
	return posts.n == THREADS * POSTS_PER_THREAD;
}

static void test_posts_from_threads_arrive_in_order(void **state)
{
	struct loop *loop = loop_create(NULL);
	struct poster posters[THREADS];
	GThread *threads[THREADS];

	(void)state;
	for (int i = 0; i < THREADS; i++) {
		posters[i] = (struct poster){ loop, i };
		threads[i] = g_thread_new("poster", run_poster, &posters[i]);
	}
	assert_true(loop_until(loop, all_posted, NULL));
	for (int i = 0; i < THREADS; i++)
		g_thread_join(threads[i]);
	assert_int_equal(posts.out_of_order, 0);
	loop_destroy(loop);
}

static GString *order;

static void record(void *arg)
{
	g_string_append_c(order, *(const char *)arg);
}

static void record_timer(void *arg, int64_t now_ms)
{
	(void)now_ms;
	record(arg);
}

static bool all_recorded(void *arg)
{
	return order->len >= *(const gsize *)arg;
}

static void test_timers_run_by_time_then_by_start(void **state)
{
	static const struct {
		const char *name;
		int64_t after_ms;
	} cases[] = { { "d", 20 }, { "b", 5 }, { "a", 0 },
		      { "e", 20 }, { "c", 5 }, { "f", 25 } };
	struct loop *loop = loop_create(NULL);
	struct loop_timer *timers[G_N_ELEMENTS(cases)];
	gsize wanted = G_N_ELEMENTS(cases);

	(void)state;
	order = g_string_new(NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		timers[i] = loop_timer_create(loop, record_timer,
					      (void *)cases[i].name);
		loop_timer_start(timers[i], cases[i].after_ms, 0);
	}
	assert_true(loop_until(loop, all_recorded, &wanted));
	assert_string_equal(order->str, "abcdef");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		loop_timer_destroy(timers[i]);
	g_string_free(order, TRUE);
	loop_destroy(loop);
}

struct repeating {
	struct loop_timer *timer;
	int runs;
};

static void stop_at_five(void *arg, int64_t now_ms)
{
	struct repeating *repeating = arg;

	(void)now_ms;
	if (++repeating->runs == 5)
		loop_timer_stop(repeating->timer);
}

static void test_repeating_timer_stops_itself(void **state)
{
	struct loop *loop = loop_create(NULL);
	struct repeating repeating = { 0 };
	struct loop_timer *last;
	gsize wanted = 1;

	(void)state;
	order = g_string_new(NULL);
	repeating.timer = loop_timer_create(loop, stop_at_five, &repeating);
	loop_timer_start(repeating.timer, 1, 1);
	last = loop_timer_create(loop, record_timer, "x");
	loop_timer_start(last, 100, 0);
	assert_true(loop_until(loop, all_recorded, &wanted));
	assert_int_equal(repeating.runs, 5);
	loop_timer_destroy(repeating.timer);
	loop_timer_destroy(last);
	g_string_free(order, TRUE);
	loop_destroy(loop);
}

static void test_deferred_calls_run_last_and_can_be_cancelled(void **state)
{
	struct loop *loop = loop_create(NULL);
	gsize wanted = 2;

	(void)state;
	order = g_string_new(NULL);
	loop_defer(loop, record, "2");
	loop_defer(loop, record, "x");
	loop_post(loop, record, "1");
	loop_post(loop, record, "x");
	loop_cancel(loop, "x");
	assert_true(loop_until(loop, all_recorded, &wanted));
	assert_string_equal(order->str, "12");
	g_string_free(order, TRUE);
	loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_posts_from_threads_arrive_in_order),
		cmocka_unit_test(test_timers_run_by_time_then_by_start),
		cmocka_unit_test(test_repeating_timer_stops_itself),
		cmocka_unit_test(
			test_deferred_calls_run_last_and_can_be_cancelled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
