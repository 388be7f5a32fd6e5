/*
 * admin: the HTTP interface for operators. Every role serves /healthz,
 * /readyz and /metrics, and may add its own routes.
 */
#ifndef NET_ADMIN_H
#define NET_ADMIN_H

#include "net/http_server.h"
#include "net/doors.h"

struct admin;
struct json_t;

typedef void admin_route_fn(void *arg, struct http_request *request);

/* The limits apply where they are below those of every admin interface. */
struct admin *admin_create(const char *address,
			   const struct door_limits *limits, GError **error);
/* Adds a route. Must be called before admin_start. */
void admin_route(struct admin *admin, const char *method, const char *path,
		 admin_route_fn *fn, void *arg);
bool admin_start(struct admin *admin, GError **error);
uint16_t admin_port(const struct admin *admin);
/* Sets what /readyz answers, and the reason if not ready. Any thread. */
void admin_set_ready(struct admin *admin, bool ready, const char *why);
void admin_destroy(struct admin *admin);

/* Replies {"reason":…,"message":…}. Used by all HTTP interfaces. */
void http_reply_error(struct http_request *request, uint32_t status,
		      const char *reason, const char *message);
/* Takes ownership of the body. If that is NULL, as it had a text that isn't
 * UTF-8, the status is 500. */
void http_reply_json(struct http_request *request, uint32_t status,
		     struct json_t *body);

#endif
