/*
 * member_links: the connections of a session to coordinators, which of them
 * stay, and which one is asked. Loop thread only.
 *
 * A link is named if the seeds of the settings in force or the members of the
 * newest configuration list its address. Named links stay. The others are
 * spares: former members, former seeds, and coordinators that only a redirect
 * named. The leader's link is never dropped.
 */
#ifndef ROLES_MEMBER_LINKS_H
#define ROLES_MEMBER_LINKS_H

#include "net/link.h"

struct member_links;

struct member_links *member_links_create(struct link_hub *hub);
/* The hub drops the links. */
void member_links_destroy(struct member_links *links);

/* Dials the seeds of the settings. They replace those set before; an empty list
 * changes nothing, because without a seed a process that is cut off has no way
 * back once the members it knows are gone. */
void member_links_set_seeds(struct member_links *links, char **addresses);
void member_links_set_members(struct member_links *links,
			      Cfw__Member *const *members, size_t n);

/* The link to an address named by a redirect, dialled if it is new. At the
 * limit of spares it takes the place of another; never of source, on which the
 * redirect came. */
struct link *member_links_add(struct member_links *links, const char *address,
			      const struct link *source);

/* Drops the spares that have no connection to a coordinator. To be called while
 * a leader is known, whose configuration tells that nobody needs them. */
void member_links_drop_gone(struct member_links *links);

/* The coordinator to ask; NULL if there is none at all. */
struct link *member_links_leader(const struct member_links *links);
void member_links_set_leader(struct member_links *links, struct link *link);
/* Asks the next coordinator that is connected, else the next one. */
void member_links_advance(struct member_links *links);

bool member_links_has(const struct member_links *links,
		      const struct link *link);
/* The connection to the member with this id; NULL if none is up. */
struct link *member_links_find_member(const struct member_links *links,
				      uint32_t member);
/* Lists the connections that are up, those to members first. */
size_t member_links_list_up(const struct member_links *links, struct link **up,
			    size_t max);

#endif
