/*
 * session: the registration of a process with the coordinators. It keeps
 * connections to all of them, the lease from the leader, the current
 * configuration and the roster. Loop thread only.
 */
#ifndef ROLES_SESSION_H
#define ROLES_SESSION_H

#include "chervilferry.h"
#include "net/link.h"

struct session;

struct session_options {
	struct loop *loop;
	struct link_hub *hub;
	Cfw__Role role;
	uint64_t incarnation;
	const char *name;
	const char *data_centre;
	const char *rack; /* agents only, otherwise NULL */
	const char *address; /* where other processes reach this one */
	char **coordinators; /* NULL-terminated; initial addresses */
	bool routes; /* needs the operators' routes */
};

struct session_handlers {
	/* A newer configuration, or newer routes, apply. */
	void (*config)(void *arg);
	/* Without entries whose address can't be connected to. */
	void (*roster)(void *arg, const Cfw__Roster *roster);
	void (*lease)(void *arg, bool held); /* acquired or expired */
	void (*fenced)(void *arg); /* this incarnation must stop working */
};

typedef void session_fence_fn(void *arg, const Cfw__FenceReply *reply);

struct session *session_create(const struct session_options *options,
			       const struct session_handlers *handlers,
			       void *arg);
void session_destroy(struct session *session);

/* Requests a lease and starts renewing it. */
void session_begin(struct session *session);

/* These return true if the message or link belongs to the session. */
bool session_handle_message(struct session *session, struct link *link,
			    const Cfw__Envelope *envelope);
bool session_link_up(struct session *session, struct link *link);
bool session_link_down(struct session *session, struct link *link);

bool session_lease_held(const struct session *session, int64_t now_ms);
int64_t session_lease_end_ms(const struct session *session);
struct cf_config *session_config(struct session *session);
/* The process goes by this version of the routes now. */
void session_set_routes_applied(struct session *session, uint64_t version);
/* For how long routes that aren't applied yet have been known to be in force,
 * in ms; 0: none are. */
int64_t session_routes_behind_ms(const struct session *session, int64_t now_ms);
void session_set_draining(struct session *session, bool draining);
void session_set_capacity(struct session *session,
			  const struct cf_capacity *capacity);

/* Replaces the initial addresses; used on reload. */
void session_set_coordinators(struct session *session, char **addresses);

/* Releases the lease, which removes the process from the roster at once. */
void session_leave(struct session *session);

/* Asks the leader to fence a failed incarnation. fn is called once, with
 * NULL if there is no answer within a second. */
void session_fence(struct session *session, uint64_t incarnation,
		   session_fence_fn *fn, void *arg);

/* The connection to the member with this id; NULL if none is up. */
struct link *session_member_link(struct session *session, uint32_t member);

/* Lists the connections to coordinators that are up, members first. */
size_t session_links(struct session *session, struct link **links, size_t max);

#endif
