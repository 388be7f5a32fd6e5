/*
 * coordinator_leases: the leader grants leases to agents, dispatchers
 * and the other voters; a voter that is a follower renews its own lease.
 *
 * The leader grants a lease only if a quorum has acknowledged its messages
 * within the last QUORUM_MAX_AGE_MS. This ensures that the configuration
 * confirmed by the grant is in force.
 */
#include "coordinator/coordinator.h"

#include "base/clock.h"
#include "base/logger.h"

#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define RENEWALS_PER_LEASE 4
#define EXPIRE_BATCH_SIZE 64
/* What was sent is logged at most once in this time. */
#define COPIES_LOG_INTERVAL_MS 1000
#define HEX G_GINT64_MODIFIER "x"

/* ---- Leadership ---------------------------------------------------- */

/* A former leader may have granted leases until its last quorum was
 * QUORUM_MAX_AGE_MS old, so its leases can end that much later than those
 * granted when this leadership began. */
static bool former_leases_expired(const struct leadership *leadership,
				  int64_t now_ms)
{
	return cf_lease_table_settled(leadership->leases,
				      now_ms - QUORUM_MAX_AGE_MS);
}

/* Jobs with keys up to this time may have run on an agent that is no
 * longer listed. The clock that made a key may be ahead by the skew. */
static void record_departure(struct coordinator *c)
{
	c->leadership->last_departure_ms = clock_wall_ms() + CF_CLOCK_SKEW_MS;
}

void coordinator_begin_leadership(struct coordinator *c, int64_t now_ms)
{
	struct leadership *leadership = g_new0(struct leadership, 1);

	leadership->leases = cf_lease_table_create(c->lease_ms, now_ms);
	leadership->holders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	leadership->pending_fences = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	leadership->released = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	leadership->roster_version = 1;
	c->leadership = leadership;
	record_departure(c);
	gauge_set(c->counters.leading, 1);
	log_event(LOG_INFO, "office_begun", "term=%" G_GUINT64_FORMAT,
		  group_term(c->group));
}

void coordinator_end_leadership(struct coordinator *c)
{
	struct leadership *leadership = c->leadership;

	c->leadership = NULL;
	coordinator_fail_waiters(c, "leadership was lost: send it again");
	coordinator_fail_reads(c, "leadership was lost");
	cf_lease_table_destroy(leadership->leases);
	g_hash_table_destroy(leadership->holders);
	g_hash_table_destroy(leadership->pending_fences);
	g_hash_table_destroy(leadership->released);
	g_free(leadership);
	gauge_set(c->counters.leading, 0);
	gauge_set(c->counters.holders, 0);
	log_event(LOG_INFO, "office_ended", NULL);
}

/* Until the first view is applied, there is no configuration to confirm
 * and no view to claim jobs under, so nothing is granted. */
bool coordinator_may_grant(const struct coordinator *c, int64_t now_ms)
{
	const struct cf_view *views;

	return c->leadership && cf_config_views(c->config, &views) > 0 &&
	       !c->stopping && group_is_leader(c->group) &&
	       group_healthy(c->group) &&
	       group_quorum_ms(c->group) >= now_ms - QUORUM_MAX_AGE_MS;
}

/* ---- Answers ------------------------------------------------------- */

void coordinator_clear_grant_config(struct grant_config *config)
{
	if (config->message)
		cfw__configuration__free_unpacked(config->message, NULL);
	*config = (struct grant_config){ 0 };
}

static void count_copy(struct coordinator *c, const struct grant_config *copy)
{
	struct copies_sent *sent = &c->copies_sent;
	int64_t now_ms = loop_now_ms(c->loop);

	counter_add(c->counters.config_copies, 1);
	counter_add(c->counters.config_bytes, (int64_t)copy->bytes);
	sent->copies++;
	sent->bytes += copy->bytes;
	if (now_ms - sent->logged_ms < COPIES_LOG_INTERVAL_MS)
		return;
	log_event(LOG_INFO, "configuration_copies",
		  "copies=%" G_GUINT64_FORMAT " bytes=%" G_GUINT64_FORMAT
		  " revision=%" G_GUINT64_FORMAT " holders=%u",
		  sent->copies, sent->bytes, copy->revision,
		  g_hash_table_size(c->leadership->holders));
	*sent = (struct copies_sent){ .logged_ms = now_ms };
}

/* What the holder lacks of the configuration. */
static struct Cfw__Configuration *
copy_configuration(struct coordinator *c,
		   const struct Cfw__LeaseRequest *request)
{
	struct grant_config *copy =
		request->separate_routes ? &c->grant_settings : &c->grant_whole;
	uint64_t revision = cf_config_revision(c->config);
	g_autoptr(GBytes) bytes = NULL;
	const uint8_t *data;

	if (!copy->message || copy->revision != revision) {
		coordinator_clear_grant_config(copy);
		bytes = request->separate_routes
				? cf_config_pack_settings(c->config)
				: cf_config_pack(c->config);
		data = g_bytes_get_data(bytes, &copy->bytes);
		copy->message =
			cfw__configuration__unpack(NULL, copy->bytes, data);
		copy->revision = revision;
	}
	count_copy(c, copy);
	return copy->message;
}

static void send_grant(struct link *link, struct Cfw__LeaseGrant *grant)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;

	envelope.body_case = CFW__ENVELOPE__BODY_LEASE_GRANT;
	envelope.lease_grant = grant;
	link_send(link, &envelope);
}

/* A refusal that answers no request. Holders ask the named leader then. */
void coordinator_announce_leader(struct coordinator *c)
{
	struct Cfw__LeaseGrant grant = CFW__LEASE_GRANT__INIT;
	uint32_t leader = group_leader(c->group);
	const char *address = coordinator_member_address(c, leader, false);

	/* A member that was elected leads once it has applied its log. */
	if (!address || (leader == c->id && !c->leadership))
		return;
	grant.verdict = CFW__LEASE_VERDICT__LEASE_NOT_LEADER;
	grant.leader_address = (char *)address;
	for (guint i = 0; i < c->sessions->len; i++)
		send_grant(g_ptr_array_index(c->sessions, i), &grant);
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
		grant.configuration = copy_configuration(c, request);
	cf_config_routes(c->config, &grant.routes_version);
	if (request->role == CFW__ROLE__ROLE_DISPATCHER &&
	    (!same_leader ||
	     request->known_roster < c->leadership->roster_version))
		grant.roster = coordinator_build_roster(c);
	counter_add(c->counters.granted, 1);
	send_grant(link, &grant);
	coordinator_free_roster(grant.roster);
}

/* ---- Holders ------------------------------------------------------- */

static void roster_changed(struct coordinator *c)
{
	c->leadership->roster_version++;
	gauge_set(c->counters.holders,
		  g_hash_table_size(c->leadership->holders));
}

static void remove_holder(struct coordinator *c, uint64_t incarnation,
			  const char *event)
{
	struct holder *holder =
		g_hash_table_lookup(c->leadership->holders, &incarnation);

	if (!holder)
		return;
	log_event(LOG_INFO, event, "name=%s incarnation=%016" HEX, holder->name,
		  incarnation);
	if (holder->role == CFW__ROLE__ROLE_AGENT)
		record_departure(c);
	g_hash_table_remove(c->leadership->holders, &incarnation);
	roster_changed(c);
}

/* Copies the fields that the roster lists. */
static void parse_holder(const struct Cfw__LeaseRequest *request,
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

static void update_holder(struct coordinator *c,
			  const struct Cfw__LeaseRequest *request,
			  int64_t now_ms)
{
	struct holder update;
	struct holder *holder = g_hash_table_lookup(c->leadership->holders,
						    &request->incarnation);

	parse_holder(request, &update);
	if (!holder) {
		holder = g_memdup2(&update, sizeof(update));
		g_hash_table_insert(c->leadership->holders,
				    &holder->incarnation, holder);
		log_event(LOG_INFO, "holder_joined",
			  "name=%s role=%d incarnation=%016" HEX, holder->name,
			  holder->role, holder->incarnation);
		roster_changed(c);
	}
	if (!same_holder(holder, &update)) {
		*holder = update;
		roster_changed(c);
	}
	holder->renewed_ms = now_ms;
}

/* ---- Requests ------------------------------------------------------ */

/* Voters get no lease while a membership change in the log is not yet
 * applied: the new view's horizon counts from the proposal of the entry. */
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

/* A process whose lease expired while it was frozen or cut off gets a new
 * lease under the same incarnation. This is safe: it still has the records
 * of the tasks it started, and it applies all fences made in the meantime
 * before it starts anything under the new lease. */
static void renew(struct coordinator *c, uint64_t incarnation, int64_t now_ms)
{
	struct cf_lease_table *leases = c->leadership->leases;

	if (cf_lease_table_renew(leases, incarnation, now_ms))
		return;
	remove_holder(c, incarnation, "holder_expired");
	cf_lease_table_remove(leases, incarnation);
	cf_lease_table_renew(leases, incarnation, now_ms);
}

static void holder_request(struct coordinator *c, struct link *link,
			   const struct Cfw__LeaseRequest *request,
			   int64_t now_ms)
{
	struct leadership *leadership = c->leadership;

	if (request->leaving) {
		cf_lease_table_release(leadership->leases,
				       request->incarnation);
		g_hash_table_add(leadership->released,
				 g_memdup2(&request->incarnation,
					   sizeof(request->incarnation)));
		remove_holder(c, request->incarnation, "holder_left");
	}
	if (g_hash_table_contains(leadership->released,
				  &request->incarnation)) {
		refuse(c, link, request, CFW__LEASE_VERDICT__LEASE_RELEASED);
		return;
	}
	/* Its fence may be committed at any moment, so its lease must not be
	 * extended. */
	if (g_hash_table_contains(leadership->pending_fences,
				  &request->incarnation)) {
		counter_add(c->counters.refused, 1);
		return;
	}
	renew(c, request->incarnation, now_ms);
	update_holder(c, request, now_ms);
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

/* Agents that were known to a former leader but never contacted this one
 * may have held a lease until now, so now is recorded as a departure. */
static void update_settled(struct coordinator *c, int64_t now_ms)
{
	if (c->leadership->settled ||
	    !former_leases_expired(c->leadership, now_ms))
		return;
	c->leadership->settled = true;
	record_departure(c);
	c->leadership->roster_version++;
	log_event(LOG_INFO, "roster_settled", "holders=%u",
		  g_hash_table_size(c->leadership->holders));
}

void coordinator_expire_leases(struct coordinator *c, int64_t now_ms)
{
	uint64_t ended[EXPIRE_BATCH_SIZE];
	size_t n;

	if (!c->leadership)
		return;
	do {
		n = cf_lease_table_expire(c->leadership->leases, now_ms, ended,
					  EXPIRE_BATCH_SIZE);
		for (size_t i = 0; i < n; i++) {
			remove_holder(c, ended[i], "holder_expired");
			cf_lease_table_remove(c->leadership->leases, ended[i]);
		}
	} while (n == EXPIRE_BATCH_SIZE);
	update_settled(c, now_ms);
}

/* ---- Lease of a voter that is a follower ---------------------------- */

void coordinator_renew_voter_lease(struct coordinator *c, int64_t now_ms)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	struct Cfw__LeaseRequest request = CFW__LEASE_REQUEST__INIT;
	struct link *leader;

	if (c->leadership || now_ms < c->next_renewal_ms)
		return;
	leader = coordinator_link_to(c, group_leader(c->group));
	if (!leader)
		return;
	c->next_renewal_ms =
		now_ms + MIN(c->lease_ms, CF_LEASE_MS) / RENEWALS_PER_LEASE;
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
	if (grant->leader_address && *grant->leader_address &&
	    coordinator_waits_to_join(c))
		coordinator_add_contact(c, grant->leader_address);
	if (grant->verdict != CFW__LEASE_VERDICT__LEASE_GRANTED || !grant->seq)
		return;
	if (!cf_lease_grant(c->voter_lease, grant->seq,
			    MIN(grant->duration_ms, CF_LEASE_MS),
			    grant->revision, loop_now_ms(c->loop)))
		counter_add(c->counters.dropped, 1);
}
