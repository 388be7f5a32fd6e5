/*
 * backend_internal: shared by backend.c (start, stop, announcements) and
 * backend_task.c (tasks). The loop thread owns all state that the lock
 * does not protect.
 */
#ifndef ROLES_BACKEND_INTERNAL_H
#define ROLES_BACKEND_INTERNAL_H

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "roles/role.h"

enum behaviour {
	BEHAVIOUR_ECHO,
	BEHAVIOUR_FAIL,
	BEHAVIOUR_SLOW,
	BEHAVIOUR_GARBAGE,
	BEHAVIOUR_NEVER,
	BEHAVIOUR_CROSSED,
	BEHAVIOUR_LATE,
};

struct backend {
	const struct settings *settings;
	struct loop *loop;
	GThread *thread;
	struct http_server *server;
	struct http_client *client; /* NULL: no announcements */
	char *announce_url, *leaving_url;
	char *announcement; /* request body */
	struct loop_timer *announce_timer;
	bool announce_in_flight;
	bool leaving;
	uint32_t leave_refusals; /* consecutive refused connections */

	enum behaviour behaviour;
	int64_t slowness_milli;
	uint32_t slots;
	uint32_t running;
	GQueue waiting; /* struct task */
	char *last_answer; /* BEHAVIOUR_CROSSED: of the previous task */
	GHashTable *open_tasks; /* waiting, running or not yet answered */

	GMutex lock; /* protects the fields below */
	GCond changed;
	bool leave_done;
	bool idle; /* only stuck tasks run, and none wait */
	uint32_t stuck_tasks; /* tasks that never end */
};

/* Handles POST /v1/tasks; called on any thread of the HTTP server. */
void backend_handle_request(void *arg, struct http_request *request);
bool backend_parse_behaviour(const char *text, enum behaviour *behaviour);
void backend_update_idle(struct backend *backend); /* loop thread */
/* Answers all open tasks with 503; returns how many there were. */
uint32_t backend_drop_tasks(struct backend *backend);

#endif
