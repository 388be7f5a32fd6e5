/*
 * server_fence: see server_fence.h.
 */
#include "leased/server_fence.h"

/* An announcement without an answer is repeated after this time, or after the
 * longer one once no higher token is left. */
#define ANNOUNCE_INTERVAL_MS 20
#define ANNOUNCE_EXHAUSTED_INTERVAL_MS 1000
/* Doubled with each refusal in a row. A clock that was set back by a few
 * seconds costs two or three round trips. */
#define RAISE_INITIAL_MS 1000
/* The sum of 2^25 - 1 seconds is more than a year. */
#define REFUSALS_MAX 25

void server_fence_init(struct server_fence *fence, int64_t token)
{
	fence->token = token;
	fence->accepted = false;
	fence->refusals = 0;
	fence->announced_ms = 0;
}

void server_fence_raise(struct server_fence *fence)
{
	fence->token++;
	fence->accepted = false;
	fence->refusals = 0;
	fence->announced_ms = 0;
}

void server_fence_accepted(struct server_fence *fence, int64_t token)
{
	if (token != fence->token)
		return;
	fence->accepted = true;
	fence->refusals = 0;
}

enum server_fence_refusal server_fence_refused(struct server_fence *fence,
					       int64_t token)
{
	if (token != fence->token)
		return SERVER_FENCE_OUTDATED;
	fence->accepted = false;
	if (fence->refusals == REFUSALS_MAX)
		return SERVER_FENCE_EXHAUSTED;
	fence->token += (int64_t)RAISE_INITIAL_MS << fence->refusals;
	fence->refusals++;
	fence->announced_ms = 0;
	return SERVER_FENCE_RAISED;
}

bool server_fence_is_announcement_due(const struct server_fence *fence,
				      int64_t now_ms)
{
	int64_t interval_ms = fence->refusals == REFUSALS_MAX
				      ? ANNOUNCE_EXHAUSTED_INTERVAL_MS
				      : ANNOUNCE_INTERVAL_MS;

	return !fence->accepted &&
	       (!fence->announced_ms ||
		now_ms - fence->announced_ms >= interval_ms);
}

void server_fence_announced(struct server_fence *fence, int64_t now_ms)
{
	fence->announced_ms = now_ms;
}
