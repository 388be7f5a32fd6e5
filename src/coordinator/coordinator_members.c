/*
 * coordinator_members: parses the first members and reconciles the log's
 * membership with the configuration. An added member becomes a learner,
 * and a voter once it has caught up; a leaving member is removed. The
 * steps are derived from replicated state alone, so a new leader
 * continues where a crashed one stopped.
 */
#include "coordinator/coordinator.h"

#include "base/address.h"
#include "base/clock.h"

#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define REPROPOSE_INTERVAL_MS 100 /* after a pass without a proposal */
#define MEMBER_ID_MAX 1000000

/* ---- First members ------------------------------------------------- */

static bool parse_address(const char *text, char out[CF_NAME_SIZE])
{
	char host[ADDRESS_HOST_SIZE];
	uint16_t port;

	return g_strlcpy(out, text, CF_NAME_SIZE) < CF_NAME_SIZE &&
	       address_parse(text, host, &port);
}

static bool parse_member(const char *text, struct cf_member *member)
{
	g_auto(GStrv) id_rest = g_strsplit(text, "=", 2);
	g_auto(GStrv) addresses = NULL;
	guint64 id;

	memset(member, 0, sizeof(*member));
	if (g_strv_length(id_rest) != 2 ||
	    !g_ascii_string_to_unsigned(id_rest[0], 10, 1, MEMBER_ID_MAX, &id,
					NULL))
		return false;
	member->id = (uint32_t)id;
	addresses = g_strsplit(id_rest[1], "/", 2);
	return g_strv_length(addresses) == 2 &&
	       parse_address(addresses[0], member->address) &&
	       parse_address(addresses[1], member->admin_address);
}

static const struct cf_member *find_first_member(const GArray *members,
						 uint32_t id)
{
	for (guint i = 0; i < members->len; i++) {
		const struct cf_member *member =
			&g_array_index(members, struct cf_member, i);

		if (member->id == id)
			return member;
	}
	return NULL;
}

GArray *first_members_parse(const char *text, uint32_t own_id, GError **error)
{
	g_autoptr(GArray)
		members = g_array_new(FALSE, TRUE, sizeof(struct cf_member));
	g_auto(GStrv) parts = g_strsplit(text, ",", -1);

	for (char **part = parts; *part; part++) {
		struct cf_member member;

		if (!parse_member(g_strstrip(*part), &member) ||
		    find_first_member(members, member.id)) {
			g_set_error(error, role_error_quark(), 0,
				    "first-members: \"%s\" is not "
				    "ID=IP:PORT/IP:PORT with a unique ID",
				    *part);
			return NULL;
		}
		g_array_append_val(members, member);
	}
	if (members->len > CF_MEMBERS_MAX ||
	    !find_first_member(members, own_id)) {
		g_set_error(error, role_error_quark(), 0,
			    "first-members: at most %d members are "
			    "allowed and this member's id must be listed",
			    CF_MEMBERS_MAX);
		return NULL;
	}
	return g_steal_pointer(&members);
}

const char *coordinator_member_address(const struct coordinator *c, uint32_t id,
				       bool admin)
{
	const struct cf_member *member = cf_config_find_member(c->config, id);

	if (!member)
		member = find_first_member(c->first_members, id);
	if (!member)
		return NULL;
	return admin ? member->admin_address : member->address;
}

/* ---- Sets of members ----------------------------------------------- */

static bool remove_id(uint32_t *ids, uint32_t *n, uint32_t id)
{
	for (uint32_t i = 0; i < *n; i++) {
		if (ids[i] != id)
			continue;
		ids[i] = ids[--*n];
		return true;
	}
	return false;
}

static bool has_id(const uint32_t *ids, uint32_t n, uint32_t id)
{
	for (uint32_t i = 0; i < n; i++) {
		if (ids[i] == id)
			return true;
	}
	return false;
}

bool coordinator_view_is_stable(const struct coordinator *c)
{
	const struct cf_view *views;
	size_t n = cf_config_views(c->config, &views);
	const struct cf_members *applied;
	struct cf_members log_members;

	if (!n)
		return false;
	applied = &views[n - 1].members;
	group_get_members(c->group, &log_members);
	if (log_members.n_voters != applied->n_voters)
		return false;
	for (uint32_t i = 0; i < log_members.n_voters; i++) {
		if (!has_id(applied->voters, applied->n_voters,
			    log_members.voters[i]))
			return false;
	}
	return true;
}

/* ---- Steps --------------------------------------------------------- */

static bool propose_member(struct coordinator *c,
			   const struct cf_member *member)
{
	struct Cfw__Command command = CFW__COMMAND__INIT;
	struct Cfw__Member add = CFW__MEMBER__INIT;

	add.id = member->id;
	add.address = (char *)member->address;
	add.admin_address = (char *)member->admin_address;
	command.change_case = CFW__COMMAND__CHANGE_MEMBER_ADD;
	command.member_add = &add;
	c->leadership->member_change_index =
		coordinator_propose_own(c, &command, NULL);
	return true;
}

static bool register_first_members(struct coordinator *c)
{
	for (guint i = 0; i < c->first_members->len; i++) {
		const struct cf_member *first =
			&g_array_index(c->first_members, struct cf_member, i);

		if (!cf_config_find_member(c->config, first->id) &&
		    !cf_config_is_retired(c->config, first->id))
			return propose_member(c, first);
	}
	return false;
}

static const uint8_t *reported_identity(const struct coordinator *c,
					uint32_t id)
{
	GBytes *identity;

	if (id == c->id)
		return group_identity(c->group);
	identity = g_hash_table_lookup(c->identities, GUINT_TO_POINTER(id));
	return identity ? g_bytes_get_data(identity, NULL) : NULL;
}

static bool register_identity(struct coordinator *c)
{
	const struct cf_member *members;
	size_t n = cf_config_members(c->config, &members);

	for (size_t i = 0; i < n; i++) {
		const uint8_t *identity = reported_identity(c, members[i].id);
		struct Cfw__Command command = CFW__COMMAND__INIT;
		struct Cfw__Member member = CFW__MEMBER__INIT;

		if (members[i].has_identity || !identity)
			continue;
		member.id = members[i].id;
		member.identity.data = (uint8_t *)identity;
		member.identity.len = GROUP_IDENTITY_SIZE;
		command.change_case = CFW__COMMAND__CHANGE_MEMBER_IDENTITY;
		command.member_identity = &member;
		c->leadership->member_change_index =
			coordinator_propose_own(c, &command, NULL);
		return true;
	}
	return false;
}

bool coordinator_can_vote(const struct coordinator *c,
			  const struct cf_member *member)
{
	return member->has_identity && !member->leaving &&
	       group_caught_up(c->group, member->id) &&
	       coordinator_link_to(c, member->id);
}

/* Applies the next missing membership change to next; false: none. */
static bool next_member_change(const struct coordinator *c,
			       struct cf_members *next)
{
	const struct cf_member *members;
	size_t n = cf_config_members(c->config, &members);

	for (size_t i = 0; i < n; i++) {
		uint32_t id = members[i].id;

		if (members[i].leaving) {
			if (!remove_id(next->voters, &next->n_voters, id))
				remove_id(next->learners, &next->n_learners,
					  id);
			return next->n_voters > 0;
		}
		if (has_id(next->voters, next->n_voters, id))
			continue;
		if (!has_id(next->learners, next->n_learners, id)) {
			next->learners[next->n_learners++] = id;
			return true;
		}
		if (!coordinator_can_vote(c, &members[i]) ||
		    (c->target_voters && next->n_voters >= c->target_voters))
			continue;
		remove_id(next->learners, &next->n_learners, id);
		next->voters[next->n_voters++] = id;
		return true;
	}
	return false;
}

static void change_members(struct coordinator *c)
{
	const struct cf_view *views;
	struct cf_members members;

	group_get_members(c->group, &members);
	if (cf_config_views(c->config, &views) &&
	    !next_member_change(c, &members))
		return;
	c->leadership->member_change_index =
		group_propose_members(c->group, &members, clock_wall_ms());
}

void coordinator_reconcile_members(struct coordinator *c, int64_t now_ms)
{
	struct leadership *leadership = c->leadership;

	if (!leadership || c->stopping)
		return;
	if (leadership->member_change_index > group_applied(c->group))
		return;
	if (leadership->member_change_ms + REPROPOSE_INTERVAL_MS > now_ms &&
	    !leadership->member_change_index)
		return;
	leadership->member_change_index = 0;
	leadership->member_change_ms = now_ms;
	if (register_first_members(c) || register_identity(c) ||
	    coordinator_admit_joiners(c, now_ms) ||
	    coordinator_remove_unreachable(c, now_ms))
		return;
	change_members(c);
}
