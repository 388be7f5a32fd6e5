/*
 * coordinator_leases: the leader grants leases to agents, dispatchers
 * and the other voters; a voter that does not lead renews its own.
 *
 * The leader grants only if a quorum acknowledged what it sent within
 * the last QUORUM_FRESH_MS, so that what it confirms is in force.
 */
#include "coordinator/coordinator.h"

#include "base/clock.h"
#include "base/logger.h"

#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define RENEWALS_A_LEASE 4
#define EXPIRED_AT_ONCE 64
#define HEX G_GINT64_MODIFIER "x"

/* ---- Office -------------------------------------------------------- */

/* An earlier leader may have granted until its quorum was no longer
 * fresh: leases of its end that much after ours begins. */
static bool is_settled(const struct office *office, int64_t now_ms)
{
	return cf_lease_table_settled(office->leases, now_ms - QUORUM_FRESH_MS);
}

/* Keys up to this time may have run on an agent that is not listed; a
 * key's clock may be ahead of ours by the skew. */
static void note_departure(struct coordinator *c)
{
	c->office->last_departure_ms = clock_wall_ms() + CF_CLOCK_SKEW_MS;
}

void coordinator_begin_office(struct coordinator *c, int64_t now_ms)
{
	struct office *office = g_new0(struct office, 1);

	office->leases = cf_lease_table_create(c->lease_ms, now_ms);
	office->holders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	office->fencing = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, NULL);
	office->left = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	office->roster_version = 1;
	c->office = office;
	note_departure(c);
	gauge_set(c->counters.leading, 1);
	log_event(LOG_INFO, "office_begun", "term=%" G_GUINT64_FORMAT,
		  group_term(c->group));
}

void coordinator_end_office(struct coordinator *c)
{
	struct office *office = c->office;

	c->office = NULL;
	coordinator_fail_waiters(c, "leadership was lost: send it again");
	coordinator_fail_reads(c, "leadership was lost");
	cf_lease_table_destroy(office->leases);
	g_hash_table_destroy(office->holders);
	g_hash_table_destroy(office->fencing);
	g_hash_table_destroy(office->left);
	g_free(office);
	gauge_set(c->counters.leading, 0);
	gauge_set(c->counters.holders, 0);
	log_event(LOG_INFO, "office_ended", NULL);
}

/* Before the first view is applied there is no configuration to confirm
 * and nobody could claim under it. */
bool coordinator_may_grant(const struct coordinator *c, int64_t now_ms)
{
	const struct cf_view *views;

	return c->office && cf_config_views(c->config, &views) > 0 &&
	       !c->stopping && group_is_leader(c->group) &&
	       group_healthy(c->group) &&
	       group_quorum_ms(c->group) >= now_ms - QUORUM_FRESH_MS;
}

/* ---- Answers ------------------------------------------------------- */

static struct Cfw__Configuration *packed_configuration(struct coordinator *c)
{
	uint64_t revision = cf_config_revision(c->config);
	g_autoptr(GBytes) packed = NULL;
	gsize size;
	const uint8_t *data;

	if (c->packed && c->packed_revision == revision)
		return c->packed;
	if (c->packed)
		cfw__configuration__free_unpacked(c->packed, NULL);
	packed = cf_config_pack(c->config);
	data = g_bytes_get_data(packed, &size);
	c->packed = cfw__configuration__unpack(NULL, size, data);
	c->packed_revision = revision;
	return c->packed;
}

static void send_grant(struct link *link, struct Cfw__LeaseGrant *grant)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;

	envelope.body_case = CFW__ENVELOPE__BODY_LEASE_GRANT;
	envelope.lease_grant = grant;
	link_send(link, &envelope);
}

static void refuse(struct coordinator *c, struct link *link,
		   const struct Cfw__LeaseRequest *request,
		   Cfw__LeaseVerdict verdict)
{
	struct Cfw__LeaseGrant grant = CFW__LEASE_GRANT__INIT;
	const char *leader =
		coordinator_member_address(c, group_leader(c->group), false);

	grant.seq = request->seq;
	grant.verdict = verdict;
	if (leader)
		grant.leader_address = (char *)leader;
	counter_add(c->counters.refused, 1);
	send_grant(link, &grant);
}

static void grant_lease(struct coordinator *c, struct link *link,
			const struct Cfw__LeaseRequest *request,
			uint32_t duration_ms)
{
	struct Cfw__LeaseGrant grant = CFW__LEASE_GRANT__INIT;
	const char *leader = coordinator_member_address(c, c->id, false);
	bool same_leader = request->known_leader == c->incarnation;

	grant.seq = request->seq;
	grant.verdict = CFW__LEASE_VERDICT__LEASE_GRANTED;
	grant.duration_ms = duration_ms;
	grant.revision = cf_config_revision(c->config);
	grant.leader_incarnation = c->incarnation;
	if (leader)
		grant.leader_address = (char *)leader;
	if (request->role != CFW__ROLE__ROLE_COORDINATOR &&
	    request->known_revision < grant.revision)
		grant.configuration = packed_configuration(c);
	if (request->role == CFW__ROLE__ROLE_DISPATCHER &&
	    (!same_leader || request->known_roster < c->office->roster_version))
		grant.roster = coordinator_build_roster(c);
	counter_add(c->counters.granted, 1);
	send_grant(link, &grant);
	coordinator_free_roster(grant.roster);
}

/* ---- Holders ------------------------------------------------------- */

static void roster_changed(struct coordinator *c)
{
	c->office->roster_version++;
	gauge_set(c->counters.holders, g_hash_table_size(c->office->holders));
}

static void remove_holder(struct coordinator *c, uint64_t incarnation,
			  const char *event)
{
	struct holder *holder =
		g_hash_table_lookup(c->office->holders, &incarnation);

	if (!holder)
		return;
	log_event(LOG_INFO, event, "name=%s incarnation=%016" HEX, holder->name,
		  incarnation);
	if (holder->role == CFW__ROLE__ROLE_AGENT)
		note_departure(c);
	g_hash_table_remove(c->office->holders, &incarnation);
	roster_changed(c);
}

/* Everything of the request that the roster shows. */
static void read_holder(const struct Cfw__LeaseRequest *request,
			struct holder *holder)
{
	memset(holder, 0, sizeof(*holder));
	holder->role = request->role;
	holder->incarnation = request->incarnation;
	g_strlcpy(holder->name, request->name, sizeof(holder->name));
	g_strlcpy(holder->data_centre, request->data_centre,
		  sizeof(holder->data_centre));
	g_strlcpy(holder->rack, request->rack, sizeof(holder->rack));
	g_strlcpy(holder->address, request->address, sizeof(holder->address));
	holder->draining = request->draining;
	if (!request->capacity)
		return;
	holder->capacity.slots = request->capacity->slots;
	holder->capacity.connections = request->capacity->connections;
	holder->capacity.cpu_milli = request->capacity->cpu_milli;
	holder->capacity.memory_mb = request->capacity->memory_mb;
	holder->capacity.accelerators = request->capacity->accelerators;
}

static bool same_capacity(const struct cf_capacity *a,
			  const struct cf_capacity *b)
{
	return a->slots == b->slots && a->connections == b->connections &&
	       a->cpu_milli == b->cpu_milli && a->memory_mb == b->memory_mb &&
	       a->accelerators == b->accelerators;
}

static bool same_holder(const struct holder *a, const struct holder *b)
{
	return a->role == b->role && a->draining == b->draining &&
	       !strcmp(a->name, b->name) &&
	       !strcmp(a->data_centre, b->data_centre) &&
	       !strcmp(a->rack, b->rack) && !strcmp(a->address, b->address) &&
	       same_capacity(&a->capacity, &b->capacity);
}

static void keep_holder(struct coordinator *c,
			const struct Cfw__LeaseRequest *request, int64_t now_ms)
{
	struct holder read;
	struct holder *kept =
		g_hash_table_lookup(c->office->holders, &request->incarnation);

	read_holder(request, &read);
	if (!kept) {
		kept = g_memdup2(&read, sizeof(read));
		g_hash_table_insert(c->office->holders, &kept->incarnation,
				    kept);
		log_event(LOG_INFO, "holder_joined",
			  "name=%s role=%d incarnation=%016" HEX, kept->name,
			  kept->role, kept->incarnation);
		roster_changed(c);
	}
	if (!same_holder(kept, &read)) {
		*kept = read;
		roster_changed(c);
	}
	kept->renewed_ms = now_ms;
}

/* ---- Requests ------------------------------------------------------ */

/* Voters get no lease while the log holds a membership that is not yet
 * applied: the view's horizon counts from the entry's proposal. */
static void voter_request(struct coordinator *c, struct link *link,
			  const struct Cfw__LeaseRequest *request)
{
	uint32_t duration_ms = MIN(c->lease_ms, CF_LEASE_MS);

	if (link_peer(link)->role == CFW__ROLE__ROLE_COORDINATOR &&
	    coordinator_view_is_stable(c))
		grant_lease(c, link, request, duration_ms);
	else
		counter_add(c->counters.refused, 1);
}

/* One that was frozen or cut off comes back as it is: it still knows
 * what it started, and has taken what was fenced since before it starts
 * anything under the new lease. */
static void renew(struct coordinator *c, uint64_t incarnation, int64_t now_ms)
{
	struct cf_lease_table *leases = c->office->leases;

	if (cf_lease_table_renew(leases, incarnation, now_ms))
		return;
	remove_holder(c, incarnation, "holder_expired");
	cf_lease_table_forget(leases, incarnation);
	cf_lease_table_renew(leases, incarnation, now_ms);
}

static void holder_request(struct coordinator *c, struct link *link,
			   const struct Cfw__LeaseRequest *request,
			   int64_t now_ms)
{
	struct office *office = c->office;

	if (request->leaving) {
		cf_lease_table_release(office->leases, request->incarnation);
		g_hash_table_add(office->left,
				 g_memdup2(&request->incarnation,
					   sizeof(request->incarnation)));
		remove_holder(c, request->incarnation, "holder_left");
	}
	if (g_hash_table_contains(office->left, &request->incarnation)) {
		refuse(c, link, request, CFW__LEASE_VERDICT__LEASE_RELEASED);
		return;
	}
	/* Its fence may be committed at any moment: no longer lease now. */
	if (g_hash_table_contains(office->fencing, &request->incarnation)) {
		counter_add(c->counters.refused, 1);
		return;
	}
	renew(c, request->incarnation, now_ms);
	keep_holder(c, request, now_ms);
	grant_lease(c, link, request, c->lease_ms);
}

void coordinator_lease_request(struct coordinator *c, struct link *link,
			       const struct Cfw__LeaseRequest *request)
{
	int64_t now_ms = loop_now_ms(c->loop);

	if (!request->incarnation ||
	    request->incarnation != link_peer(link)->incarnation) {
		counter_add(c->counters.dropped, 1);
		return;
	}
	if (!coordinator_may_grant(c, now_ms))
		refuse(c, link, request, CFW__LEASE_VERDICT__LEASE_NOT_LEADER);
	else if (cf_config_is_fenced(c->config, request->incarnation))
		refuse(c, link, request, CFW__LEASE_VERDICT__LEASE_FENCED);
	else if (request->role == CFW__ROLE__ROLE_COORDINATOR)
		voter_request(c, link, request);
	else if (request->role == CFW__ROLE__ROLE_AGENT ||
		 request->role == CFW__ROLE__ROLE_DISPATCHER)
		holder_request(c, link, request, now_ms);
	else
		counter_add(c->counters.dropped, 1);
}

/* Agents that a former leader knew and that never came to this one may
 * have been lost until the moment that settles it. */
static void settle(struct coordinator *c, int64_t now_ms)
{
	if (c->office->settled || !is_settled(c->office, now_ms))
		return;
	c->office->settled = true;
	note_departure(c);
	c->office->roster_version++;
	log_event(LOG_INFO, "roster_settled", "holders=%u",
		  g_hash_table_size(c->office->holders));
}

void coordinator_expire_leases(struct coordinator *c, int64_t now_ms)
{
	uint64_t ended[EXPIRED_AT_ONCE];
	size_t n;

	if (!c->office)
		return;
	do {
		n = cf_lease_table_expire(c->office->leases, now_ms, ended,
					  EXPIRED_AT_ONCE);
		for (size_t i = 0; i < n; i++) {
			remove_holder(c, ended[i], "holder_expired");
			cf_lease_table_forget(c->office->leases, ended[i]);
		}
	} while (n == EXPIRED_AT_ONCE);
	settle(c, now_ms);
}

/* ---- A voter's own lease ------------------------------------------- */

void coordinator_renew_voter_lease(struct coordinator *c, int64_t now_ms)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	struct Cfw__LeaseRequest request = CFW__LEASE_REQUEST__INIT;
	struct link *leader;

	if (c->office || now_ms < c->next_renewal_ms)
		return;
	leader = coordinator_link_to(c, group_leader(c->group));
	if (!leader)
		return;
	c->next_renewal_ms =
		now_ms + MIN(c->lease_ms, CF_LEASE_MS) / RENEWALS_A_LEASE;
	request.seq = cf_lease_request(c->voter_lease, now_ms);
	request.role = CFW__ROLE__ROLE_COORDINATOR;
	request.incarnation = c->incarnation;
	request.name = c->name;
	request.data_centre = c->data_centre;
	request.known_revision = cf_config_revision(c->config);
	envelope.body_case = CFW__ENVELOPE__BODY_LEASE_REQUEST;
	envelope.lease_request = &request;
	link_send(leader, &envelope);
}

void coordinator_lease_grant(struct coordinator *c,
			     const struct Cfw__LeaseGrant *grant)
{
	if (grant->verdict != CFW__LEASE_VERDICT__LEASE_GRANTED)
		return;
	if (!cf_lease_grant(c->voter_lease, grant->seq,
			    MIN(grant->duration_ms, CF_LEASE_MS),
			    grant->revision, loop_now_ms(c->loop)))
		counter_add(c->counters.dropped, 1);
}
