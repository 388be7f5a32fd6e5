/*
 * reload: settings that may change while a process runs. They stand in
 * the file of --reload-file, one NAME=VALUE a line: "coordinators".
 */
#ifndef LEASED_RELOAD_H
#define LEASED_RELOAD_H

#include "base/settings.h"

/* The coordinators' addresses: the file's, else the setting's, with the
 * port of coordinators-port. NULL-ended, for g_strfreev. */
char **reload_coordinators(const struct settings *settings);
/* Calls fn on a thread of its own whenever the file changes. */
void reload_watch(const struct settings *settings, void (*fn)(void *arg),
		  void *arg);

#endif
