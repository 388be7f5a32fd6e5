/*
 * server_fence: the fencing token of an agent's calls to one backend server. A
 * call without an answer may be carried out seconds later. The server does
 * nothing for a call with a lower token than it has seen, so a new token that
 * the server has accepted invalidates all earlier calls. The module decides
 * when to raise the token and when to announce it. It does no I/O and reads no
 * clock. It is not thread-safe.
 *
 * Tokens are times of day in milliseconds: an agent process has no disk to
 * count on, and its successor starts with a higher one. If the clock was set
 * back in between, the server refuses the token, which is then raised until
 * the server accepts it.
 */
#ifndef LEASED_SERVER_FENCE_H
#define LEASED_SERVER_FENCE_H

#include <stdbool.h>
#include <stdint.h>

struct server_fence {
	int64_t token; /* of calls from now on */
	bool accepted; /* the server has seen the token */
	uint32_t refusals; /* in a row, of tokens that were the newest */
	int64_t announced_ms; /* when the token was last announced; 0: never */
};

enum server_fence_refusal {
	SERVER_FENCE_OUTDATED, /* refused in favour of a token of this agent */
	SERVER_FENCE_RAISED,
	SERVER_FENCE_EXHAUSTED, /* the bound on raises has been reached */
};

/* token: higher than all tokens of this and of earlier agent processes, as far
 * as the time of day tells. */
void server_fence_init(struct server_fence *fence, int64_t token);
/* Invalidates all earlier calls, once the server accepts the new token: the
 * server was restarted, or its lease has expired. */
void server_fence_raise(struct server_fence *fence);
/* The server carried out a call with this token. */
void server_fence_accepted(struct server_fence *fence, int64_t token);
/* The server refused a call with this token as too low. */
enum server_fence_refusal server_fence_refused(struct server_fence *fence,
					       int64_t token);
/* True if a call that only announces the token has to be sent now. */
bool server_fence_is_announcement_due(const struct server_fence *fence,
				      int64_t now_ms);
void server_fence_announced(struct server_fence *fence, int64_t now_ms);

#endif
