/*
 * routes_fetch: keeps the operators' routes of a lease holder current. The
 * leader tells with each lease which version is in force; what lies between is
 * fetched in parts, one request at a time, so that leases need not wait for it.
 * Changes are fetched one after the other; the document is fetched if the
 * leader no longer knows the change. What has come of either is kept when a
 * connection is lost. Loop thread only; sends nothing itself.
 */
#ifndef ROLES_ROUTES_FETCH_H
#define ROLES_ROUTES_FETCH_H

#include "chervilferry.h"
#include "proto/wire.pb-c.h"

struct routes_fetch;

/* Changes the routes of the configuration, which must outlive it. */
struct routes_fetch *routes_fetch_create(struct cf_config *config);
void routes_fetch_destroy(struct routes_fetch *fetch); /* NULL is allowed */

/* A leader has granted a lease while this version was in force. */
void routes_fetch_set_in_force(struct routes_fetch *fetch, uint64_t version,
			       int64_t now_ms);
/* Fills in the next request if one is due. What was requested before and isn't
 * answered within a second is requested again. */
bool routes_fetch_next(struct routes_fetch *fetch, int64_t now_ms,
		       Cfw__RoutesRequest *request);
/* The connection on which it was requested is lost, or no longer asked. */
void routes_fetch_forget_request(struct routes_fetch *fetch);
/* Returns true if the routes of the configuration are new and worth applying:
 * they are at least those in force when the fetch began. */
bool routes_fetch_take(struct routes_fetch *fetch, const Cfw__RoutesPart *part,
		       int64_t now_ms);

/* The holder goes by this version now. */
void routes_fetch_set_applied(struct routes_fetch *fetch, uint64_t version);
/* True if a newer version than that of the configuration is in force. */
bool routes_fetch_is_behind(const struct routes_fetch *fetch);
/* For how long a version that isn't applied yet has been known to be in force,
 * in ms; 0: none is. */
int64_t routes_fetch_behind_ms(const struct routes_fetch *fetch,
			       int64_t now_ms);

#endif
