/*
 * reload: the session of a leased process with the coordinators, and the
 * settings that may change at run time. These are read from the file given by
 * --reload-file, one NAME=VALUE per line. The only one is "coordinators".
 */
#ifndef LEASED_RELOAD_H
#define LEASED_RELOAD_H

#include "base/settings.h"
#include "roles/session.h"

struct coordinators_handlers {
	void (*config)(void *arg); /* a newer configuration is active */
	void (*roster)(void *arg, const Cfw__Roster *roster); /* may be NULL */
};

/* Opens a session with the coordinators given in the settings. role and
 * incarnation are those of the process that owns the hub; address is where
 * others reach it, NULL for that of the settings. */
struct session *
reload_open_session(const struct settings *settings, struct loop *loop,
		    struct link_hub *hub, Cfw__Role role, uint64_t incarnation,
		    const char *address,
		    const struct coordinators_handlers *handlers, void *arg);
/* Reads the coordinators again on SIGHUP and when the file changes. The
 * loop and the session must exist until the process ends. */
void reload_watch(const struct settings *settings, struct loop *loop,
		  struct session *session);

#endif
