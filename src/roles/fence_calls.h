/*
 * fence_calls: requests to fence a failed incarnation that wait for the
 * leader's reply. Each callback is called once, with the reply, or with NULL
 * if none came in time. Loop thread only.
 */
#ifndef ROLES_FENCE_CALLS_H
#define ROLES_FENCE_CALLS_H

#include "roles/session.h"

struct fence_calls;

struct fence_calls *fence_calls_create(void);
void fence_calls_destroy(struct fence_calls *calls); /* calls nothing back */
/* Returns the number under which the request must be sent. */
uint64_t fence_calls_add(struct fence_calls *calls, session_fence_fn *fn,
			 void *arg, int64_t now_ms);
void fence_calls_reply(struct fence_calls *calls, const Cfw__FenceReply *reply);
void fence_calls_expire(struct fence_calls *calls, int64_t now_ms);

#endif
