/*
 * coordinator_joiners: how a coordinator that isn't a member reaches the
 * leader. It asks on all links to other coordinators, dialled or accepted. A
 * member that doesn't lead forwards the request to the leader that it knows,
 * once, and names the leader when it is asked for a lease, so that the joiner
 * dials it. The leader keeps the requests and takes the next step for them as
 * soon as the last membership change is applied.
 */
#include "coordinator/coordinator.h"

#include "base/address.h"
#include "base/logger.h"

/* ---- Constants ----------------------------------------------------- */

#define JOIN_INTERVAL_MS 500
#define FORWARD_INTERVAL_MS 200 /* for each joiner */
#define JOINERS_MAX 16
/* A joiner that has not asked for six of its intervals is forgotten. */
#define JOINER_EXPIRY_MS 3000
#define CONTACTS_MAX 16

/* ---- Contacts ------------------------------------------------------ */

void coordinator_add_contact(struct coordinator *c, const char *address)
{
	char host[ADDRESS_HOST_SIZE];
	uint16_t port;
	guint i;

	if (!c->target_voters || !strcmp(address, c->link_address) ||
	    strlen(address) >= CF_NAME_SIZE ||
	    !address_parse(address, host, &port) ||
	    g_ptr_array_find_with_equal_func(c->contacts, address, g_str_equal,
					     &i))
		return;
	g_ptr_array_add(c->contacts, g_strdup(address));
	if (c->contacts->len > CONTACTS_MAX)
		g_ptr_array_remove_index(c->contacts, 0);
	c->contacts_changed = true;
}

/* ---- Requests of this coordinator ------------------------------------ */

bool coordinator_waits_to_join(const struct coordinator *c)
{
	return c->target_voters && !c->first_members->len &&
	       !cf_config_find_member(c->config, c->id);
}

/* Its answer names the leader, also by versions that don't forward requests to
 * join. No answer to sequence number 0 is taken as a lease. */
static bool ask_for_leader(struct coordinator *c, struct link *link)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	struct Cfw__LeaseRequest request = CFW__LEASE_REQUEST__INIT;

	request.role = CFW__ROLE__ROLE_COORDINATOR;
	request.incarnation = c->incarnation;
	request.name = c->name;
	request.data_centre = c->data_centre;
	envelope.body_case = CFW__ENVELOPE__BODY_LEASE_REQUEST;
	envelope.lease_request = &request;
	return link_send(link, &envelope);
}

static bool ask_to_join(struct coordinator *c, struct link *link)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	struct Cfw__JoinRequest request = CFW__JOIN_REQUEST__INIT;

	request.member_id = c->id;
	request.address = c->link_address;
	request.admin_address = c->control_address;
	envelope.body_case = CFW__ENVELOPE__BODY_JOIN;
	envelope.join = &request;
	return link_send(link, &envelope);
}

void coordinator_send_join_request(struct coordinator *c, int64_t now_ms)
{
	const GPtrArray *links[] = { c->peers, c->accepted };
	bool sent = false;

	if (now_ms < c->next_join_ms || !coordinator_waits_to_join(c))
		return;
	for (size_t l = 0; l < G_N_ELEMENTS(links); l++) {
		for (guint i = 0; i < links[l]->len; i++) {
			struct link *link = g_ptr_array_index(links[l], i);

			if (ask_to_join(c, link))
				sent |= ask_for_leader(c, link);
		}
	}
	if (sent)
		c->next_join_ms = now_ms + JOIN_INTERVAL_MS;
}

/* ---- Waiting joiners ----------------------------------------------- */

static struct joiner *find_joiner(struct coordinator *c,
				  const struct Cfw__JoinRequest *request)
{
	for (guint i = 0; i < c->joiners->len; i++) {
		struct joiner *joiner =
			&g_array_index(c->joiners, struct joiner, i);

		if (!strcmp(joiner->member.address, request->address))
			return joiner;
	}
	return NULL;
}

/* One for each address: a process that chose another id replaces the earlier
 * one. Returns NULL if the request is invalid or too many joiners wait. */
static struct joiner *note_joiner(struct coordinator *c,
				  const struct Cfw__JoinRequest *request,
				  int64_t now_ms)
{
	struct joiner *joiner = find_joiner(c, request);
	struct joiner added = { .first_ms = now_ms,
				.forwarded_ms = INT64_MIN,
				.proposed_ms = INT64_MIN };

	if (!*request->address || strlen(request->address) >= CF_NAME_SIZE ||
	    strlen(request->admin_address) >= CF_NAME_SIZE)
		return NULL;
	if (!joiner) {
		if (c->joiners->len >= JOINERS_MAX)
			return NULL;
		g_array_append_val(c->joiners, added);
		joiner = &g_array_index(c->joiners, struct joiner,
					c->joiners->len - 1);
	}
	joiner->member.id = request->member_id;
	g_strlcpy(joiner->member.address, request->address, CF_NAME_SIZE);
	g_strlcpy(joiner->member.admin_address, request->admin_address,
		  CF_NAME_SIZE);
	joiner->last_ms = now_ms;
	return joiner;
}

void coordinator_expire_joiners(struct coordinator *c, int64_t now_ms)
{
	for (guint i = c->joiners->len; i-- > 0;) {
		const struct joiner *joiner =
			&g_array_index(c->joiners, struct joiner, i);

		if (now_ms - joiner->last_ms >= JOINER_EXPIRY_MS ||
		    cf_config_find_member(c->config, joiner->member.id))
			g_array_remove_index(c->joiners, i);
	}
}

/* ---- Leader --------------------------------------------------------- */

void coordinator_propose_removal(struct coordinator *c, uint32_t id,
				 const char *why)
{
	struct Cfw__Command command = CFW__COMMAND__INIT;

	command.change_case = CFW__COMMAND__CHANGE_MEMBER_REMOVE;
	command.member_remove = id;
	c->leadership->member_change_index =
		coordinator_propose_own(c, &command, NULL);
	log_event(LOG_INFO, "member_removed", "id=%u why=\"%s\"", id, why);
}

static void propose_addition(struct coordinator *c, const struct joiner *joiner,
			     int64_t now_ms)
{
	struct Cfw__Command command = CFW__COMMAND__INIT;
	struct Cfw__Member member = CFW__MEMBER__INIT;

	member.id = joiner->member.id;
	member.address = (char *)joiner->member.address;
	member.admin_address = (char *)joiner->member.admin_address;
	command.change_case = CFW__COMMAND__CHANGE_MEMBER_ADD;
	command.member_add = &member;
	c->leadership->member_change_index =
		coordinator_propose_own(c, &command, NULL);
	log_event(LOG_INFO, "member_added",
		  "id=%u address=%s waited_ms=%" G_GINT64_FORMAT, member.id,
		  member.address, now_ms - joiner->first_ms);
}

/* Makes room in a full group: a learner that is gone would hold its place for
 * good, as only voters are replaced. A voter is removed if all are voters,
 * because no other member can take its place then. */
static bool remove_lost_member(struct coordinator *c, int64_t now_ms)
{
	const struct cf_member *members;
	size_t n = cf_config_members(c->config, &members);
	bool all_vote = true;

	for (size_t i = 0; i < n; i++)
		all_vote &= members[i].voter;
	for (size_t i = 0; i < n; i++) {
		if (members[i].voter != all_vote || members[i].leaving ||
		    !coordinator_is_unreachable(c, members[i].id, now_ms))
			continue;
		coordinator_propose_removal(
			c, members[i].id,
			"unreachable, another coordinator waits for its place");
		return true;
	}
	return false;
}

/* An addition that is refused isn't proposed again at once. */
static bool was_proposed(const struct joiner *joiner, int64_t now_ms)
{
	return joiner->proposed_ms != INT64_MIN &&
	       now_ms - joiner->proposed_ms < JOIN_INTERVAL_MS;
}

/* Proposes the next step for a joiner. A forwarded request may arrive late, so
 * a member at the same address is removed only if this leader has no link to
 * it. Returns false if there is nothing to propose. */
static bool admit(struct coordinator *c, struct joiner *joiner, int64_t now_ms)
{
	const struct cf_member *members;
	size_t n = cf_config_members(c->config, &members);

	if (cf_config_find_member(c->config, joiner->member.id) ||
	    cf_config_is_retired(c->config, joiner->member.id))
		return false;
	for (size_t i = 0; i < n; i++) {
		if (strcmp(members[i].address, joiner->member.address) != 0)
			continue;
		if (members[i].leaving || coordinator_link_to(c, members[i].id))
			return false;
		coordinator_propose_removal(
			c, members[i].id,
			"its host restarted with an empty disk");
		return true;
	}
	if (n >= CF_MEMBERS_MAX)
		return remove_lost_member(c, now_ms);
	if (was_proposed(joiner, now_ms))
		return false;
	joiner->proposed_ms = now_ms;
	propose_addition(c, joiner, now_ms);
	return true;
}

bool coordinator_admit_joiners(struct coordinator *c, int64_t now_ms)
{
	for (guint i = 0; i < c->joiners->len; i++) {
		if (admit(c, &g_array_index(c->joiners, struct joiner, i),
			  now_ms))
			return true;
	}
	return false;
}

/* ---- Requests of others ---------------------------------------------- */

/* An id that the settings fix can't be replaced here, so the process ends. */
static void handle_own_removal(struct coordinator *c)
{
	if (c->target_voters) {
		coordinator_begin_rejoin(c);
		return;
	}
	if (c->exit_removed)
		return;
	c->exit_removed = true;
	c->exit_why = "it was removed, and its id is fixed";
	log_event(LOG_WARN, "member_starts_over", "id=%u", c->id);
	role_request_stop();
}

/* Only what comes from the joiner itself is forwarded, so a request takes at
 * most one hop. The leader's own id can't be in it, as members are excluded. */
static void forward(struct coordinator *c, const struct link *from,
		    struct joiner *joiner,
		    const struct Cfw__JoinRequest *request, int64_t now_ms)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	struct link *leader = coordinator_link_to(c, group_leader(c->group));

	if (!leader || request->member_id == group_leader(c->group) ||
	    link_peer(from)->member_id != request->member_id ||
	    cf_config_find_member(c->config, request->member_id) ||
	    (joiner->forwarded_ms != INT64_MIN &&
	     now_ms - joiner->forwarded_ms < FORWARD_INTERVAL_MS))
		return;
	joiner->forwarded_ms = now_ms;
	envelope.body_case = CFW__ENVELOPE__BODY_JOIN;
	envelope.join = (struct Cfw__JoinRequest *)request;
	if (link_send(leader, &envelope))
		counter_add(c->counters.joins_forwarded, 1);
}

/* Ids are drawn at random, so another member may have this one. */
static bool is_taken(const struct coordinator *c,
		     const struct Cfw__JoinRequest *request)
{
	const struct cf_member *member =
		cf_config_find_member(c->config, request->member_id);

	return cf_config_is_retired(c->config, request->member_id) ||
	       request->member_id == c->id ||
	       (member && strcmp(member->address, request->address) != 0);
}

void coordinator_join_request(struct coordinator *c, struct link *link,
			      const struct Cfw__JoinRequest *request)
{
	int64_t now_ms = loop_now_ms(c->loop);
	bool own = link_peer(link)->member_id == request->member_id;
	struct joiner *joiner;

	/* A member that was removed gets its own id back, from a member. */
	if (request->member_id == c->id && !own) {
		handle_own_removal(c);
		return;
	}
	/* It can't be added under this id and has to choose another one. */
	if (is_taken(c, request)) {
		if (own)
			coordinator_notify_removed(link);
		return;
	}
	joiner = note_joiner(c, request, now_ms);
	if (!joiner) {
		counter_add(c->counters.dropped, 1);
		return;
	}
	if (!c->leadership)
		forward(c, link, joiner, request, now_ms);
	else if (c->leadership->member_change_index <= group_applied(c->group))
		admit(c, joiner, now_ms);
}
