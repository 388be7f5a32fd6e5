/*
 * reload: a leased process's session with the coordinators, and settings
 * that may change while it runs. They stand in the file of --reload-file,
 * one NAME=VALUE a line: "coordinators".
 */
#ifndef LEASED_RELOAD_H
#define LEASED_RELOAD_H

#include "base/settings.h"
#include "roles/session.h"

/* What a process reacts to. */
struct coordinators_handlers {
	void (*config)(void *arg); /* a newer configuration is in force */
	void (*roster)(void *arg, const Cfw__Roster *roster); /* or NULL */
};

/* A session with the coordinators of the settings, from now on. The role
 * and the incarnation are those of the hub's process. */
struct session *
reload_open_session(const struct settings *settings, struct loop *loop,
		    struct link_hub *hub, Cfw__Role role, uint64_t incarnation,
		    const struct coordinators_handlers *handlers, void *arg);
/* SIGHUP, or a change of the file: the coordinators are read again. Before
 * the loop runs; the session must outlive it. */
void reload_watch(const struct settings *settings, struct loop *loop,
		  struct session *session);

#endif
