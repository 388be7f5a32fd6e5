/*
 * coordinator_links: the coordinator's connections. Each member dials
 * every other member and sends log messages on the links that it dialled.
 * All other messages are answered on the link on which they arrived.
 */
#include "coordinator/coordinator.h"

#include "base/logger.h"

#include <string.h>

/* ---- Peers --------------------------------------------------------- */

static bool has_address(const GPtrArray *addresses, const char *address)
{
	for (guint i = 0; i < addresses->len; i++) {
		if (strcmp(g_ptr_array_index(addresses, i), address) == 0)
			return true;
	}
	return false;
}

static void add_address(GPtrArray *addresses, const char *address)
{
	if (!has_address(addresses, address))
		g_ptr_array_add(addresses, g_strdup(address));
}

static void add_members(const struct coordinator *c, GPtrArray *addresses,
			const struct cf_member *members, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (members[i].id != c->id)
			add_address(addresses, members[i].address);
	}
}

/* Addresses to dial: those of the members or, until the members are known,
 * those from the settings. With automatic membership also the seeds and the
 * contacts, because a coordinator there that isn't a member may know no other
 * way to the leader. */
static GPtrArray *find_addresses(const struct coordinator *c)
{
	GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
	const struct cf_member *members;
	size_t n = cf_config_members(c->config, &members);
	const struct cf_view *views;
	bool known = n && cf_config_views(c->config, &views);

	add_members(c, addresses, members, n);
	if (known && !c->target_voters)
		return addresses;
	if (!known)
		add_members(c, addresses,
			    (const struct cf_member *)(void *)
				    c->first_members->data,
			    c->first_members->len);
	for (char **join = c->join; join && *join; join++)
		add_address(addresses, *join);
	for (guint i = 0; i < c->contacts->len; i++)
		add_address(addresses, g_ptr_array_index(c->contacts, i));
	return addresses;
}

static bool is_dialled(const struct coordinator *c, const char *address)
{
	for (guint i = 0; i < c->peers->len; i++) {
		if (strcmp(link_address(g_ptr_array_index(c->peers, i)),
			   address) == 0)
			return true;
	}
	return false;
}

/* A former member that comes back may know only addresses where nobody
 * listens, so the members go on dialling it. */
static void keep_former_members(struct coordinator *c)
{
	g_autoptr(GPtrArray) addresses = find_addresses(c);

	for (guint i = 0; i < c->peers->len; i++) {
		const char *address =
			link_address(g_ptr_array_index(c->peers, i));

		if (!has_address(addresses, address))
			coordinator_add_contact(c, address);
	}
}

void coordinator_update_peers(struct coordinator *c)
{
	g_autoptr(GPtrArray) addresses = NULL;

	if (c->peers_revision == cf_config_revision(c->config) &&
	    !c->contacts_changed && (c->peers->len || c->peers_revision))
		return;
	c->peers_revision = cf_config_revision(c->config);
	keep_former_members(c);
	c->contacts_changed = false;
	addresses = find_addresses(c);
	for (guint i = c->peers->len; i-- > 0;) {
		struct link *link = g_ptr_array_index(c->peers, i);

		if (has_address(addresses, link_address(link)))
			continue;
		g_ptr_array_remove_index(c->peers, i);
		link_drop(link);
	}
	for (guint i = 0; i < addresses->len; i++) {
		const char *address = g_ptr_array_index(addresses, i);

		if (!is_dialled(c, address))
			g_ptr_array_add(c->peers, link_dial(c->hub, address));
	}
}

static struct link *find_link(const GPtrArray *links, uint32_t id)
{
	for (guint i = 0; i < links->len; i++) {
		struct link *link = g_ptr_array_index(links, i);

		if (link_is_up(link) && link_peer(link)->member_id == id)
			return link;
	}
	return NULL;
}

/* Falls back to a link dialled by the other member: a joining member knows
 * only the addresses of --join, and a restarted member dials before it is
 * dialled again. */
struct link *coordinator_link_to(const struct coordinator *c, uint32_t id)
{
	struct link *link = find_link(c->peers, id);

	return link ? link : find_link(c->accepted, id);
}

/* ---- Handlers ------------------------------------------------------ */

static void up(void *arg, struct link *link)
{
	struct coordinator *c = arg;

	if (link_peer(link)->role != CFW__ROLE__ROLE_COORDINATOR) {
		g_ptr_array_add(c->sessions, link);
		return;
	}
	if (!g_ptr_array_find(c->peers, link, NULL))
		g_ptr_array_add(c->accepted, link);
	/* It sends no log message if it knows only members that are gone. */
	if (cf_config_is_retired(c->config, link_peer(link)->member_id))
		coordinator_notify_removed(link);
	c->next_join_ms = 0; /* a joiner asks on the new link, too */
}

static void down(void *arg, struct link *link)
{
	struct coordinator *c = arg;

	g_ptr_array_remove_fast(c->accepted, link);
	g_ptr_array_remove_fast(c->sessions, link);
	coordinator_drop_waiters(c, link);
}

static void receive_log(struct coordinator *c, struct link *link,
			const struct Cfw__LogMessage *message)
{
	if (link_peer(link)->role != CFW__ROLE__ROLE_COORDINATOR ||
	    link_peer(link)->member_id != message->from ||
	    message->identity.len != GROUP_IDENTITY_SIZE) {
		counter_add(c->counters.dropped, 1);
		return;
	}
	/* Any member may tell: a retirement is final once it is applied. The
	 * removed member may not know the address of the present leader. */
	if (cf_config_is_retired(c->config, message->from)) {
		coordinator_notify_removed(link);
		return;
	}
	g_hash_table_replace(
		c->identities, GUINT_TO_POINTER(message->from),
		g_bytes_new(message->identity.data, message->identity.len));
	group_receive(c->group, message);
}

static void message(void *arg, struct link *link,
		    const struct Cfw__Envelope *envelope)
{
	struct coordinator *c = arg;

	if (c->stopping || c->rejoining)
		return;
	switch (envelope->body_case) {
	case CFW__ENVELOPE__BODY_LOG:
		receive_log(c, link, envelope->log);
		break;
	case CFW__ENVELOPE__BODY_LEASE_REQUEST:
		coordinator_lease_request(c, link, envelope->lease_request);
		break;
	case CFW__ENVELOPE__BODY_LEASE_GRANT:
		coordinator_lease_grant(c, envelope->lease_grant);
		break;
	case CFW__ENVELOPE__BODY_ROUTES_REQUEST:
		coordinator_routes_request(c, link, envelope->routes_request);
		break;
	case CFW__ENVELOPE__BODY_FENCE_REQUEST:
		coordinator_fence_request(c, link, envelope->fence_request);
		break;
	case CFW__ENVELOPE__BODY_JOIN:
		coordinator_join_request(c, link, envelope->join);
		break;
	case CFW__ENVELOPE__BODY_CLAIM_REQUEST:
		coordinator_claim_request(c, link, envelope->claim_request);
		break;
	default:
		counter_add(c->counters.dropped, 1);
		break;
	}
}

const struct link_handlers coordinator_link_handlers = {
	.up = up,
	.message = message,
	.down = down,
};
