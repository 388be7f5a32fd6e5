/*
 * routes_client: see routes_client.h.
 */
#include "roles/routes_client.h"

#include "roles/routes_fetch.h"

struct routes_client {
	struct cf_config *config;
	struct routes_fetch *fetch;
	const struct link *asked; /* where a part was requested last, or NULL */
	bool wanted;
	bool leader_sends_whole;
};

struct routes_client *routes_client_create(struct cf_config *config,
					   bool wanted)
{
	struct routes_client *client = g_new0(struct routes_client, 1);

	client->config = config;
	client->fetch = routes_fetch_create(config);
	client->wanted = wanted;
	return client;
}

void routes_client_destroy(struct routes_client *client)
{
	if (!client)
		return;
	routes_fetch_destroy(client->fetch);
	g_free(client);
}

void routes_client_granted(struct routes_client *client, uint64_t version,
			   int64_t now_ms)
{
	client->leader_sends_whole = !version;
	if (client->wanted)
		routes_fetch_set_in_force(client->fetch, version, now_ms);
}

void routes_client_request(struct routes_client *client, struct link *leader,
			   int64_t now_ms)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__RoutesRequest request = CFW__ROUTES_REQUEST__INIT;

	if (!leader || !link_is_up(leader))
		return;
	if (leader != client->asked)
		routes_fetch_forget_request(client->fetch);
	if (!routes_fetch_next(client->fetch, now_ms, &request))
		return;
	client->asked = leader;
	envelope.body_case = CFW__ENVELOPE__BODY_ROUTES_REQUEST;
	envelope.routes_request = &request;
	link_send(leader, &envelope);
}

bool routes_client_take(struct routes_client *client, const struct link *link,
			const Cfw__RoutesPart *part, int64_t now_ms)
{
	return link == client->asked &&
	       routes_fetch_take(client->fetch, part, now_ms);
}

bool routes_client_adopt(struct routes_client *client,
			 const Cfw__RouteTable *table)
{
	g_autoptr(GBytes) document = NULL;

	if (!table || !table->version)
		return false;
	document = g_bytes_new(table->document.data, table->document.len);
	return cf_config_set_routes(client->config, table->version, document);
}

void routes_client_link_down(struct routes_client *client,
			     const struct link *link)
{
	if (link == client->asked)
		client->asked = NULL;
}

bool routes_client_need_whole(const struct routes_client *client)
{
	return client->leader_sends_whole &&
	       routes_fetch_is_behind(client->fetch);
}

void routes_client_set_applied(struct routes_client *client, uint64_t version)
{
	routes_fetch_set_applied(client->fetch, version);
}

int64_t routes_client_behind_ms(const struct routes_client *client,
				int64_t now_ms)
{
	return routes_fetch_behind_ms(client->fetch, now_ms);
}
