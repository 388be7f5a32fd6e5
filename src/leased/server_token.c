/*
 * server_token: raises the fencing token of a backend server and records
 * whether the server accepted it; server_fence.c makes the decisions.
 */
#include "leased/server_internal.h"

#include "base/logger.h"

#include <inttypes.h>

static void log_token(const struct server *s, const char *why)
{
	log_event(LOG_INFO, "fence_raised",
		  "server=%s token=%" PRId64 " why=%s", s->report.name,
		  s->fence.token, why);
}

void server_raise_token(struct server *s, const char *why)
{
	server_fence_raise(&s->fence);
	log_token(s, why);
}

void server_token_refused(struct server *s, const struct call *call)
{
	switch (server_fence_refused(&s->fence, call->fence)) {
	case SERVER_FENCE_RAISED:
		counter_add(s->fence_refusals, 1);
		log_token(s, "refused");
		break;
	case SERVER_FENCE_EXHAUSTED:
		counter_add(s->fence_refusals, 1);
		log_event(LOG_ERROR, "fence_exhausted",
			  "server=%s token=%" PRId64, s->report.name,
			  s->fence.token);
		break;
	case SERVER_FENCE_OUTDATED:
		break;
	}
}

void server_token_polled(struct server *s, const struct call *call,
			 const struct http_answer *answer)
{
	int64_t clock_ms;

	if (answer->status == HTTP_STATUS_OK)
		server_fence_accepted(&s->fence, call->fence);
	else if (s->options.formats->read_start(answer->status, answer->body,
						answer->size_bytes,
						&clock_ms) == RUN_FENCED)
		server_token_refused(s, call);
}
