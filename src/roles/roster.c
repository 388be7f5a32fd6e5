/*
 * roster: see roster.h.
 */
#include "roles/roster.h"

#include "base/address.h"

#include <glib.h>

static bool is_usable(const Cfw__RosterEntry *entry)
{
	char host[ADDRESS_HOST_SIZE];
	uint16_t port;

	return address_parse(entry->address, host, &port) && port;
}

Cfw__RosterEntry **roster_list_usable(const Cfw__Roster *roster, size_t *n)
{
	Cfw__RosterEntry **usable =
		g_new(Cfw__RosterEntry *, roster->n_entries);

	*n = 0;
	for (size_t i = 0; i < roster->n_entries; i++)
		if (is_usable(roster->entries[i]))
			usable[(*n)++] = roster->entries[i];
	return usable;
}
