/*
 * admin: see admin.h. One server thread. Routes are fixed once the
 * server has started, so they need no lock.
 */
#include "net/admin.h"

#include "base/counters.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define ADMIN_CONNECTIONS_MAX 256
#define ADMIN_BODY_MAX_BYTES (1U << 20)
#define STATUS_INTERNAL 500
#define TEXT_TYPE "text/plain; charset=utf-8"

struct route {
	char *method;
	char *path;
	admin_route_fn *fn;
	void *arg;
};

struct admin {
	char *address;
	struct door_limits limits;
	struct http_server *server;
	GPtrArray *routes;
	GMutex lock; /* guards the readiness fields below */
	bool ready;
	char *not_ready_reason;
};

void http_reply_json(struct http_request *request, uint32_t status,
		     json_t *body)
{
	static const char unwritable[] =
		"{\"reason\":\"internal\","
		"\"message\":\"the answer can't be written as JSON\"}";
	char *text = json_dumps(body, JSON_COMPACT);

	http_reply(request, text ? status : STATUS_INTERNAL, "application/json",
		   text ? text : unwritable, strlen(text ? text : unwritable),
		   NULL);
	free(text);
	json_decref(body);
}

void http_reply_error(struct http_request *request, uint32_t status,
		      const char *reason, const char *message)
{
	g_autofree char *valid = g_utf8_make_valid(message, -1);

	http_reply_json(
		request, status,
		json_pack("{s:s,s:s}", "reason", reason, "message", valid));
}

/* ---- Routes of every role ---- */

static void reply_text(struct http_request *request, uint32_t status,
		       const char *text)
{
	http_reply(request, status, TEXT_TYPE, text, strlen(text), NULL);
}

static void reply_health(void *arg, struct http_request *request)
{
	(void)arg;
	reply_text(request, 200, "ok\n");
}

static void reply_ready(void *arg, struct http_request *request)
{
	struct admin *admin = arg;
	char *text;
	bool ready;

	g_mutex_lock(&admin->lock);
	ready = admin->ready;
	text = ready ? g_strdup("ready\n")
		     : g_strdup_printf("not ready: %s\n",
				       admin->not_ready_reason);
	g_mutex_unlock(&admin->lock);
	reply_text(request, ready ? 200 : 503, text);
	g_free(text);
}

static void reply_metrics(void *arg, struct http_request *request)
{
	GString *out = g_string_new(NULL);

	(void)arg;
	counters_print(out);
	http_reply(request, 200, "text/plain; version=0.0.4", out->str,
		   out->len, NULL);
	g_string_free(out, TRUE);
}

/* ---- Create, start and destroy ---- */

static void free_route(gpointer data)
{
	struct route *route = data;

	g_free(route->method);
	g_free(route->path);
	g_free(route);
}

void admin_route(struct admin *admin, const char *method, const char *path,
		 admin_route_fn *fn, void *arg)
{
	struct route *route = g_new0(struct route, 1);

	route->method = g_strdup(method);
	route->path = g_strdup(path);
	route->fn = fn;
	route->arg = arg;
	g_ptr_array_add(admin->routes, route);
}

struct admin *admin_create(const char *address,
			   const struct door_limits *limits, GError **error)
{
	struct admin *admin = g_new0(struct admin, 1);

	(void)error; /* an invalid address is reported by admin_start */
	admin->address = g_strdup(address);
	admin->limits = *limits;
	admin->routes = g_ptr_array_new_with_free_func(free_route);
	admin->not_ready_reason = g_strdup("starting");
	g_mutex_init(&admin->lock);
	admin_route(admin, "GET", "/healthz", reply_health, admin);
	admin_route(admin, "GET", "/readyz", reply_ready, admin);
	admin_route(admin, "GET", "/metrics", reply_metrics, admin);
	return admin;
}

static void on_request(void *arg, struct http_request *request)
{
	struct admin *admin = arg;
	bool path_known = false;

	for (guint i = 0; i < admin->routes->len; i++) {
		struct route *route = g_ptr_array_index(admin->routes, i);

		if (strcmp(route->path, http_path(request)) != 0)
			continue;
		path_known = true;
		if (!strcmp(route->method, http_method(request))) {
			route->fn(route->arg, request);
			return;
		}
	}
	if (path_known)
		http_reply_error(request, 405, "method_not_allowed",
				 "the path knows other methods only");
	else
		http_reply_error(request, 404, "not_found",
				 "there is no such path");
}

bool admin_start(struct admin *admin, GError **error)
{
	struct http_server_options options = {
		.address = admin->address,
		.threads = 1,
		.connections_max = MIN(ADMIN_CONNECTIONS_MAX,
				       admin->limits.connections_max),
		.held_max_bytes = admin->limits.held_max_bytes,
		.parsed_max_bytes = admin->limits.parsed_max_bytes,
		.door = "admin",
		.body_max_bytes = ADMIN_BODY_MAX_BYTES,
	};

	admin->server = http_server_create(&options, on_request, admin, error);
	return admin->server != NULL;
}

uint16_t admin_port(const struct admin *admin)
{
	return admin->server ? http_server_port(admin->server) : 0;
}

void admin_set_ready(struct admin *admin, bool ready, const char *why)
{
	g_mutex_lock(&admin->lock);
	admin->ready = ready;
	g_free(admin->not_ready_reason);
	admin->not_ready_reason = g_strdup(why ? why : "");
	g_mutex_unlock(&admin->lock);
}

void admin_destroy(struct admin *admin)
{
	if (!admin)
		return;
	http_server_destroy(admin->server);
	g_ptr_array_unref(admin->routes);
	g_mutex_clear(&admin->lock);
	g_free(admin->not_ready_reason);
	g_free(admin->address);
	g_free(admin);
}
