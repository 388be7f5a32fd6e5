/*
 * routes: which route a request takes, by its host and the longest
 * prefix of its path. Immutable after creation; any thread may look up.
 */
#ifndef LEASED_ROUTES_H
#define LEASED_ROUTES_H

#include "leased/formats.h"

struct routes;

struct routes *routes_create(const GArray *list, uint64_t version);
void routes_destroy(struct routes *routes); /* NULL is allowed */
uint64_t routes_version(const struct routes *routes);
/* host as in the request, with a port or not; NULL: there is none. */
const struct route *routes_find(const struct routes *routes, const char *host,
				const char *path);

#endif
