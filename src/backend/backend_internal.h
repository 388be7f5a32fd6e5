/*
 * backend_internal: what backend.c (life, announcing) and backend_task.c
 * (tasks) share. All of it belongs to the loop's thread.
 */
#ifndef ROLES_BACKEND_INTERNAL_H
#define ROLES_BACKEND_INTERNAL_H

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "roles/role.h"

enum behaviour {
	BEHAVE_ECHO,
	BEHAVE_FAIL,
	BEHAVE_SLOW,
	BEHAVE_GARBAGE,
	BEHAVE_NEVER,
	BEHAVE_CROSSED,
	BEHAVE_LATE,
};

struct backend {
	const struct settings *settings;
	struct loop *loop;
	GThread *thread;
	struct http_server *server;
	struct http_client *client; /* NULL: announces nowhere */
	char *announce_url, *leaving_url;
	char *announcement; /* its body */
	struct loop_timer *announce_timer;
	bool announce_in_flight; /* a call is under way */
	bool leaving;
	uint32_t leave_refusals; /* connections in a row */

	enum behaviour behaviour;
	int64_t slowness_milli;
	uint32_t slots;
	uint32_t running;
	GQueue waiting; /* struct task */
	char *last_answer; /* BEHAVE_CROSSED: of the task before */
	GHashTable *open_tasks; /* not ended, whatever their state */

	GMutex lock; /* of what backend_stop waits for */
	GCond changed;
	bool leave_done;
	bool idle; /* nothing runs that will end */
	uint32_t stuck; /* tasks that never end */
};

/* Any server thread: takes POST /v1/tasks. */
void backend_handle_request(void *arg, struct http_request *request);
bool backend_parse_behaviour(const char *text, enum behaviour *behaviour);
void backend_update_idle(struct backend *backend); /* loop thread */
uint32_t backend_drop_tasks(struct backend *backend); /* how many */

#endif
