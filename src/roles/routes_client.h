/*
 * routes_client: keeps the operators' routes of a session current. Asks the
 * leader for them beside the lease, on the session's links.
 * Loop thread only.
 */
#ifndef ROLES_ROUTES_CLIENT_H
#define ROLES_ROUTES_CLIENT_H

#include "chervilferry.h"
#include "net/link.h"

struct routes_client;

/* Changes the routes of the configuration, which must outlive it. wanted: the
 * process needs routes; without it nothing is requested. */
struct routes_client *routes_client_create(struct cf_config *config,
					   bool wanted);
void routes_client_destroy(struct routes_client *client); /* NULL: nothing */

/* A lease was granted that names this version; 0: a leader of an earlier
 * version, which sends routes with the configuration. */
void routes_client_granted(struct routes_client *client, uint64_t version,
			   int64_t now_ms);
/* Asks for the next part of newer routes, if there are any. */
void routes_client_request(struct routes_client *client, struct link *leader,
			   int64_t now_ms);
/* Returns true if routes are new and worth applying. */
bool routes_client_take(struct routes_client *client, const struct link *link,
			const Cfw__RoutesPart *part, int64_t now_ms);
/* The same for routes that came with the configuration; NULL: none did. */
bool routes_client_adopt(struct routes_client *client,
			 const Cfw__RouteTable *table);
void routes_client_link_down(struct routes_client *client,
			     const struct link *link);
/* True if only the whole configuration brings the routes that lack, as the
 * leader sends none apart. */
bool routes_client_need_whole(const struct routes_client *client);

void routes_client_set_applied(struct routes_client *client, uint64_t version);
/* For how long routes that aren't applied yet have been known to be in force,
 * in ms; 0: none are. */
int64_t routes_client_behind_ms(const struct routes_client *client,
				int64_t now_ms);

#endif
