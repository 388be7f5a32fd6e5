/*
 * loop_until: see loop_until.h.
 */
#include "support/loop_until.h"

#include "base/clock.h"

#define TIMEOUT_MS 30000

struct wait {
	struct loop *loop;
	bool (*condition)(void *arg);
	void *arg;
	int64_t end_ms;
	bool satisfied;
};

static void check(void *arg, int64_t now_ms)
{
	struct wait *wait = arg;

	wait->satisfied = wait->condition(wait->arg);
	if (wait->satisfied || now_ms > wait->end_ms)
		loop_stop(wait->loop);
}

bool loop_until(struct loop *loop, bool (*condition)(void *arg), void *arg)
{
	struct wait wait = { loop, condition, arg, clock_now_ms() + TIMEOUT_MS,
			     false };
	struct loop_timer *timer = loop_timer_create(loop, check, &wait);

	loop_timer_start(timer, 0, 1);
	loop_run(loop);
	loop_timer_destroy(timer);
	return wait.satisfied;
}
