/*
 * coordinator_routes: answers the requests of holders for the operators'
 * routes. A holder asks for one part at a time, so what is queued for it stays
 * small whatever the size of the routes, and its lease never waits behind more
 * than one part.
 */
#include "coordinator/coordinator.h"

#include "base/logger.h"

static void count_fetch(struct coordinator *c, const struct link *link,
			const struct Cfw__RoutesRequest *request,
			const struct Cfw__RoutesPart *part)
{
	counter_add(part->whole ? c->counters.routes_documents
				: c->counters.routes_changes,
		    1);
	log_event(LOG_INFO, "routes_sent",
		  "peer=%s known=%" G_GUINT64_FORMAT
		  " version=%" G_GUINT64_FORMAT
		  " whole=%s bytes=%" G_GUINT64_FORMAT,
		  link_peer(link)->name, request->known_version, part->version,
		  part->whole ? "true" : "false", part->total_bytes);
}

void coordinator_routes_request(struct coordinator *c, struct link *link,
				const struct Cfw__RoutesRequest *request)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	struct Cfw__RoutesPart part = CFW__ROUTES_PART__INIT;

	routes_sender_answer(c->routes_sender, c->config, request,
			     loop_now_ms(c->loop), &part);
	if (part.version && !part.offset)
		count_fetch(c, link, request, &part);
	counter_add(c->counters.routes_bytes, (int64_t)part.data.len);
	envelope.body_case = CFW__ENVELOPE__BODY_ROUTES_PART;
	envelope.routes_part = &part;
	link_send(link, &envelope);
}
