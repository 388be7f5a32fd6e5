/*
 * admin: the operators' HTTP interface that every role has: /healthz,
 * /readyz, /metrics, and routes that the role adds.
 */
#ifndef NET_ADMIN_H
#define NET_ADMIN_H

#include "net/http_server.h"

struct admin;

typedef void admin_route_fn(void *arg, struct http_request *request);

struct admin *admin_create(const char *address, GError **error);
void admin_route(struct admin *admin, const char *method, const char *path,
		 admin_route_fn *fn, void *arg); /* before admin_start */
bool admin_start(struct admin *admin, GError **error);
uint16_t admin_port(const struct admin *admin);
void admin_set_ready(struct admin *admin, bool ready,
		     const char *why); /* any thread */
void admin_destroy(struct admin *admin);

/* {"reason":…,"message":…} with the status; shared by all interfaces. */
void http_reply_error(struct http_request *request, uint32_t status,
		      const char *reason, const char *message);

#endif
