/*
 * fence_calls: see fence_calls.h.
 */
#include "roles/fence_calls.h"

#define FENCE_TIMEOUT_MS 1000

struct fence_call {
	uint64_t seq;
	int64_t end_ms;
	session_fence_fn *fn;
	void *arg;
};

struct fence_calls {
	uint64_t next_seq;
	GArray *calls; /* struct fence_call */
};

struct fence_calls *fence_calls_create(void)
{
	struct fence_calls *calls = g_new0(struct fence_calls, 1);

	calls->calls = g_array_new(FALSE, FALSE, sizeof(struct fence_call));
	return calls;
}

void fence_calls_destroy(struct fence_calls *calls)
{
	g_array_free(calls->calls, TRUE);
	g_free(calls);
}

uint64_t fence_calls_add(struct fence_calls *calls, session_fence_fn *fn,
			 void *arg, int64_t now_ms)
{
	struct fence_call call = { ++calls->next_seq, now_ms + FENCE_TIMEOUT_MS,
				   fn, arg };

	g_array_append_val(calls->calls, call);
	return call.seq;
}

void fence_calls_reply(struct fence_calls *calls, const Cfw__FenceReply *reply)
{
	for (guint i = 0; i < calls->calls->len; i++) {
		struct fence_call call =
			g_array_index(calls->calls, struct fence_call, i);

		if (call.seq != reply->seq)
			continue;
		g_array_remove_index(calls->calls, i);
		call.fn(call.arg, reply);
		return;
	}
}

void fence_calls_expire(struct fence_calls *calls, int64_t now_ms)
{
	guint i = 0;

	while (i < calls->calls->len) {
		struct fence_call call =
			g_array_index(calls->calls, struct fence_call, i);

		if (call.end_ms > now_ms) {
			i++;
			continue;
		}
		g_array_remove_index(calls->calls, i);
		call.fn(call.arg, NULL);
	}
}
