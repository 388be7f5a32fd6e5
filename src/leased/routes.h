/*
 * routes: finds the route of a request by its host and the longest matching
 * path prefix. A table is immutable after creation, so lookups are
 * thread-safe.
 */
#ifndef LEASED_ROUTES_H
#define LEASED_ROUTES_H

#include "leased/formats.h"

struct routes;

struct routes *routes_create(const GArray *list, uint64_t version);
void routes_destroy(struct routes *routes); /* NULL is allowed */
uint64_t routes_version(const struct routes *routes);
uint32_t routes_count(const struct routes *routes);
/* host is taken from the request, with or without a port. Returns NULL if no
 * route matches. */
const struct route *routes_find(const struct routes *routes, const char *host,
				const char *path);

#endif
