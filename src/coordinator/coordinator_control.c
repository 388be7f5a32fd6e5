/*
 * coordinator_control: the platform's control interface for operators: it
 * sets routes and enables or disables data centres. Requests arrive on a
 * server thread; the loop proposes them as commands of the replicated
 * log.
 */
#include "coordinator/coordinator.h"

#include "base/clock.h"
#include "base/logger.h"

/* ---- Constants ----------------------------------------------------- */

#define CONTROL_THREADS 1
#define CONTROL_CONNECTIONS_MAX 512
#define CONTROL_BODY_MAX_BYTES (8U << 20)
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404

/* ---- Types --------------------------------------------------------- */

struct posted_request {
	struct coordinator *coordinator;
	struct http_request *request;
	struct control_request parsed;
	uint64_t version; /* of the routes */
};

/* ---- Loop thread ---------------------------------------------------- */

static void fill_routes_command(struct coordinator *c,
				const struct posted_request *p,
				struct Cfw__Command *command,
				struct Cfw__RouteTable *routes)
{
	size_t size;

	(void)c;
	cfw__route_table__init(routes);
	routes->version = p->version;
	routes->document.data = (uint8_t *)http_body(p->request, &size);
	routes->document.len = size;
	command->change_case = CFW__COMMAND__CHANGE_ROUTES_SET;
	command->routes_set = routes;
}

static void fill_data_centre_command(const struct posted_request *p,
				     struct Cfw__Command *command,
				     struct Cfw__DataCentre *dc)
{
	cfw__data_centre__init(dc);
	dc->name = (char *)p->parsed.subject;
	dc->in_service = p->parsed.kind == CONTROL_ENABLE_DATA_CENTRE;
	command->change_case = CFW__COMMAND__CHANGE_DATA_CENTRE_SET;
	command->data_centre_set = dc;
}

static void run_change(void *arg)
{
	struct posted_request *p = arg;
	struct coordinator *c = p->coordinator;
	struct waiter waiter = { .request = p->request };
	struct Cfw__Command command = CFW__COMMAND__INIT;
	struct Cfw__RouteTable routes;
	struct Cfw__DataCentre dc;

	if (p->parsed.kind == CONTROL_SET_ROUTES)
		fill_routes_command(c, p, &command, &routes);
	else
		fill_data_centre_command(p, &command, &dc);
	if (!coordinator_propose_own(c, &command, &waiter))
		coordinator_answer_not_leader(c, p->request,
					      "this member does not lead");
	g_free(p);
}

static void run_read(void *arg)
{
	struct posted_request *p = arg;
	struct coordinator *c = p->coordinator;
	struct pending_read *read;

	if (c->leadership && !c->stopping) {
		read = g_new0(struct pending_read, 1);
		read->request = p->request;
		read->routes = true;
		read->arrived_ms = loop_now_ms(c->loop);
		g_ptr_array_add(c->reads, read);
	} else {
		coordinator_answer_not_leader(c, p->request,
					      "this member does not lead");
	}
	g_free(p);
}

/* ---- Server thread -------------------------------------------------- */

static void post_to_loop(struct coordinator *c, struct http_request *request,
			 const struct control_request *parsed, uint64_t version,
			 loop_fn *fn)
{
	struct posted_request *p = g_new0(struct posted_request, 1);

	p->coordinator = c;
	p->request = request;
	p->parsed = *parsed;
	p->version = version;
	loop_post(c->loop, fn, p);
}

static void handle_set_routes(struct coordinator *c,
			      struct http_request *request,
			      const struct control_request *parsed)
{
	g_autoptr(GError) error = NULL;
	uint64_t version = 0;
	size_t size;
	const void *body = http_body(request, &size);
	GArray *routes = c->formats->read_routes(body, size, &version, &error);

	if (!routes) {
		log_event(LOG_WARN, "routes_refused", "why=\"%s\"",
			  error->message);
		http_reply_error(request, HTTP_BAD_REQUEST, "invalid",
				 error->message);
		return;
	}
	g_array_unref(routes);
	post_to_loop(c, request, parsed, version, run_change);
}

static void handle(void *arg, struct http_request *request)
{
	struct coordinator *c = arg;
	struct control_request parsed;

	c->formats->read_control(http_method(request), http_path(request),
				 &parsed);
	switch (parsed.kind) {
	case CONTROL_SET_ROUTES:
		handle_set_routes(c, request, &parsed);
		break;
	case CONTROL_GET_ROUTES:
		post_to_loop(c, request, &parsed, 0, run_read);
		break;
	case CONTROL_DISABLE_DATA_CENTRE:
	case CONTROL_ENABLE_DATA_CENTRE:
		post_to_loop(c, request, &parsed, 0, run_change);
		break;
	default:
		http_reply_error(request, HTTP_NOT_FOUND, "not_found",
				 "this interface has no such call");
		break;
	}
}

bool coordinator_open_control(struct coordinator *c, GError **error)
{
	struct http_server_options options = {
		.address = c->control_address,
		.threads = CONTROL_THREADS,
		.connections_max = MIN(CONTROL_CONNECTIONS_MAX,
				       c->doors[DOOR_MAIN].connections_max),
		.body_max_bytes = CONTROL_BODY_MAX_BYTES,
		.held_max_bytes = c->doors[DOOR_MAIN].held_max_bytes,
		.parsed_max_bytes = c->doors[DOOR_MAIN].parsed_max_bytes,
		.door = "control",
	};

	if (!*c->control_address)
		return true;
	c->control = http_server_create(&options, handle, c, error);
	return c->control != NULL;
}
