/*
 * roster: the lease holders that a leader lists. Any thread.
 */
#ifndef ROLES_ROSTER_H
#define ROLES_ROSTER_H

#include "proto/wire.pb-c.h"

/* The entries of processes that can be connected to; *n: how many. The list is
 * freed with g_free(); the entries are the roster's. */
Cfw__RosterEntry **roster_list_usable(const Cfw__Roster *roster, size_t *n);

#endif
