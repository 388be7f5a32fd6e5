/*
 * session: see session.h. Lease requests go to the last known leader. If
 * that coordinator does not answer, or is not the leader and names no
 * other, the session tries the next coordinator, round robin.
 */
#include "roles/session.h"
#include "roles/fence_calls.h"
#include "roles/member_links.h"
#include "roles/roster.h"
#include "roles/routes_client.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/logger.h"
#include "base/trace_file.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

#define RENEW_MS (CF_LEASE_MS / 4)
/* Renewal interval while a new leader still collects the lease holders. */
#define RENEW_UNSETTLED_MS 150
/* The next coordinator is tried after this long without an answer. */
#define ANSWER_TIMEOUT_MS 300
#define TICK_MS 50
/* Limits the requests when two coordinators name each other as the leader. The
 * other members may name a leader before it grants, so one is not enough. */
#define REDIRECTS_PER_TICK 3

/* ---- Types ---- */

struct session {
	struct session_options options;
	struct session_handlers handlers;
	void *arg;
	char *name, *data_centre, *rack, *address;
	struct member_links *links;
	struct loop_timer *timer;
	struct cf_lease *lease;
	struct cf_config *config;
	struct cf_capacity capacity;
	uint64_t roster_version;
	uint64_t roster_leader;
	bool roster_unsettled; /* of the newest roster */
	int64_t requested_ms; /* newest request, INT64_MIN: none */
	int64_t lease_lost_ms; /* when the lease last expired, 0: never */
	bool answered;
	bool no_leader; /* no known leader: retry every TICK_MS */
	/* Requests sent at once on a redirect since the last tick. */
	uint32_t redirects;
	bool started, draining, left, lease_was_held, fenced;
	struct fence_calls *fence_calls;
	struct routes_client *routes;
	size_t n_unusable; /* entries of the newest roster */
	struct counter *grants, *refusals;
};

/* ---- Lease ---- */

static void fill_capacity(const struct cf_capacity *from, Cfw__Capacity *to)
{
	to->slots = from->slots;
	to->connections = from->connections;
	to->cpu_milli = from->cpu_milli;
	to->memory_mb = from->memory_mb;
	to->accelerators = from->accelerators;
}

static void send_request(struct session *s, bool leaving)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__LeaseRequest request = CFW__LEASE_REQUEST__INIT;
	Cfw__Capacity capacity = CFW__CAPACITY__INIT;
	struct link *leader = member_links_leader(s->links);
	int64_t now_ms = clock_now_ms();

	if (!leader)
		return;
	request.seq = cf_lease_request(s->lease, now_ms);
	request.role = s->options.role;
	request.incarnation = s->options.incarnation;
	request.name = s->name;
	request.data_centre = s->data_centre;
	request.rack = s->rack;
	request.address = s->address;
	request.known_revision = routes_client_need_whole(s->routes)
					 ? 0
					 : cf_config_revision(s->config);
	request.known_roster = s->roster_version;
	request.known_leader = s->roster_leader;
	request.draining = s->draining;
	request.leaving = leaving;
	request.separate_routes = true;
	fill_capacity(&s->capacity, &capacity);
	request.capacity = &capacity;
	envelope.body_case = CFW__ENVELOPE__BODY_LEASE_REQUEST;
	envelope.lease_request = &request;
	s->requested_ms = now_ms;
	s->answered = !link_send(leader, &envelope);
	if (s->answered)
		member_links_advance(s->links);
}

static void request_routes(struct session *s, int64_t now_ms)
{
	routes_client_request(s->routes, member_links_leader(s->links), now_ms);
}

static void enter_fenced(struct session *s)
{
	s->fenced = true;
	cf_lease_revoke(s->lease);
	s->handlers.fenced(s->arg);
}

static void update_lease_state(struct session *s, int64_t now_ms)
{
	bool held = cf_lease_held(s->lease, now_ms);

	if (held == s->lease_was_held)
		return;
	s->lease_was_held = held;
	if (!held)
		s->lease_lost_ms = now_ms;
	log_event(held ? LOG_INFO : LOG_WARN, held ? "lease_won" : "lease_lost",
		  "revision=%" PRIu64, cf_config_revision(s->config));
	trace_event("lease", "held=%d", held);
	s->handlers.lease(s->arg, held);
}

static int64_t renew_after_ms(const struct session *s)
{
	if (s->no_leader)
		return TICK_MS;
	return s->roster_unsettled ? RENEW_UNSETTLED_MS : RENEW_MS;
}

static void tick(void *arg, int64_t now_ms)
{
	struct session *s = arg;
	int64_t waited_ms;

	s->redirects = 0;
	update_lease_state(s, now_ms);
	fence_calls_expire(s->fence_calls, now_ms);
	if (!s->started || s->left || s->fenced)
		return;
	if (s->lease_was_held && !s->no_leader) {
		member_links_drop_gone(s->links);
		request_routes(s, now_ms);
	}
	waited_ms = s->requested_ms == INT64_MIN ? INT64_MAX
						 : now_ms - s->requested_ms;
	if (!s->answered && waited_ms >= ANSWER_TIMEOUT_MS) {
		s->no_leader = true;
		member_links_advance(s->links);
		send_request(s, false);
		return;
	}
	if (s->answered && waited_ms >= renew_after_ms(s))
		send_request(s, false);
}

/* ---- Answers ---- */

static bool adopt_settings(struct session *s,
			   const Cfw__Configuration *configuration)
{
	size_t size = cfw__configuration__get_packed_size(configuration);
	g_autofree uint8_t *data = g_malloc(size ? size : 1);

	cfw__configuration__pack(configuration, data);
	if (!cf_config_adopt(s->config, data, size, NULL))
		return false;
	trace_event("config", "rev=%" PRIu64, cf_config_revision(s->config));
	/* Covers members that joined after the settings were written. */
	member_links_set_members(s->links, configuration->members,
				 configuration->n_members);
	return true;
}

static void apply_configuration(struct session *s,
				const Cfw__Configuration *configuration)
{
	/* They may come with a revision that is known already. */
	bool routes_are_new =
		routes_client_adopt(s->routes, configuration->routes);
	bool settings_are_new = adopt_settings(s, configuration);

	if (routes_are_new || settings_are_new)
		s->handlers.config(s->arg);
}

static void handle_routes_part(struct session *s, const struct link *link,
			       const Cfw__RoutesPart *part)
{
	int64_t now_ms = clock_now_ms();

	if (routes_client_take(s->routes, link, part, now_ms))
		s->handlers.config(s->arg);
	request_routes(s, now_ms);
}

static void log_unusable(struct session *s, size_t n_unusable)
{
	if (n_unusable != s->n_unusable)
		log_event(LOG_WARN, "roster_entries_unusable",
			  "entries=%zu before=%zu", n_unusable, s->n_unusable);
	s->n_unusable = n_unusable;
}

static void apply_roster(struct session *s, const Cfw__LeaseGrant *grant)
{
	Cfw__Roster roster = *grant->roster;
	g_autofree Cfw__RosterEntry **usable =
		roster_list_usable(grant->roster, &roster.n_entries);

	log_unusable(s, grant->roster->n_entries - roster.n_entries);
	roster.entries = usable;
	s->roster_version = roster.version;
	s->roster_unsettled = !roster.settled;
	s->roster_leader = grant->leader_incarnation;
	s->handlers.roster(s->arg, &roster);
}

/* Asks the coordinator that was named as the leader, at once unless a request
 * is on its way there. */
static void follow_redirect(struct session *s, struct link *leader)
{
	bool asked = leader == member_links_leader(s->links) && !s->answered;

	member_links_set_leader(s->links, leader);
	s->no_leader = true;
	if (asked || s->redirects >= REDIRECTS_PER_TICK || !s->started ||
	    !link_is_up(leader))
		return;
	s->redirects++;
	send_request(s, false);
}

/* A leader that has just been elected, and members that learn of it, announce
 * it by a refusal that answers no request (seq 0). */
static void handle_not_leader(struct session *s, const struct link *source,
			      const Cfw__LeaseGrant *grant)
{
	struct link *before = member_links_leader(s->links), *leader = NULL;

	if (grant->leader_address && *grant->leader_address)
		leader = member_links_add(s->links, grant->leader_address,
					  source);
	if (!grant->seq) {
		if (leader && (leader != before || s->no_leader))
			follow_redirect(s, leader);
		return;
	}
	counter_add(s->refusals, 1);
	s->answered = true;
	if (leader && leader != before) {
		follow_redirect(s, leader);
		return;
	}
	if (!leader)
		member_links_advance(s->links);
	s->no_leader = true;
}

static void handle_grant(struct session *s, struct link *link,
			 const Cfw__LeaseGrant *grant)
{
	int64_t now_ms = clock_now_ms();

	if (s->left || s->fenced)
		return;
	if (grant->verdict == CFW__LEASE_VERDICT__LEASE_NOT_LEADER) {
		handle_not_leader(s, link, grant);
		return;
	}
	s->answered = true;
	if (grant->verdict == CFW__LEASE_VERDICT__LEASE_FENCED) {
		cf_lease_revoke(s->lease);
		update_lease_state(s, now_ms);
		enter_fenced(s);
		return;
	}
	/* Fences older than the ledger horizon are dropped, so this
	 * incarnation may have been fenced without a record of it. */
	if (s->lease_lost_ms &&
	    now_ms - s->lease_lost_ms >= CF_LEDGER_HORIZON_MS) {
		enter_fenced(s);
		return;
	}
	if (grant->verdict != CFW__LEASE_VERDICT__LEASE_GRANTED) {
		handle_not_leader(s, link, grant);
		return;
	}
	if (grant->configuration)
		apply_configuration(s, grant->configuration);
	/* A lease is valid only with the configuration it was granted for. */
	if (cf_config_revision(s->config) < grant->revision ||
	    !cf_lease_grant(s->lease, grant->seq, grant->duration_ms,
			    grant->revision, now_ms))
		return;
	counter_add(s->grants, 1);
	if (member_links_has(s->links, link))
		member_links_set_leader(s->links, link);
	s->no_leader = false;
	if (grant->roster)
		apply_roster(s, grant);
	update_lease_state(s, now_ms);
	routes_client_granted(s->routes, grant->routes_version, now_ms);
	request_routes(s, now_ms);
}

/* ---- Public functions ---- */

struct session *session_create(const struct session_options *options,
			       const struct session_handlers *handlers,
			       void *arg)
{
	struct session *s = g_new0(struct session, 1);

	s->options = *options;
	s->handlers = *handlers;
	s->arg = arg;
	s->name = g_strdup(options->name);
	s->data_centre = g_strdup(options->data_centre);
	s->rack = g_strdup(options->rack ? options->rack : "");
	s->address = g_strdup(options->address);
	s->lease = cf_lease_create();
	s->config = cf_config_create();
	s->requested_ms = INT64_MIN;
	s->answered = true;
	s->no_leader = true;
	s->fence_calls = fence_calls_create();
	s->routes = routes_client_create(s->config, options->routes);
	s->grants = counter_get("lease_grants_total", NULL,
				"Lease renewals that were granted");
	s->refusals = counter_get("lease_not_leader_total", NULL,
				  "Lease requests that met no leader");
	s->links = member_links_create(options->hub);
	member_links_set_seeds(s->links, options->coordinators);
	s->timer = loop_timer_create(options->loop, tick, s);
	loop_timer_start(s->timer, TICK_MS, TICK_MS);
	return s;
}

void session_destroy(struct session *s)
{
	if (!s)
		return;
	loop_timer_destroy(s->timer);
	cf_lease_destroy(s->lease);
	routes_client_destroy(s->routes);
	cf_config_destroy(s->config);
	fence_calls_destroy(s->fence_calls);
	member_links_destroy(s->links);
	g_free(s->name);
	g_free(s->data_centre);
	g_free(s->rack);
	g_free(s->address);
	g_free(s);
}

void session_begin(struct session *s)
{
	if (s->started)
		return;
	s->started = true;
	send_request(s, false);
}

bool session_handle_message(struct session *s, struct link *link,
			    const Cfw__Envelope *envelope)
{
	switch (envelope->body_case) {
	case CFW__ENVELOPE__BODY_LEASE_GRANT:
		handle_grant(s, link, envelope->lease_grant);
		return true;
	case CFW__ENVELOPE__BODY_FENCE_REPLY:
		fence_calls_reply(s->fence_calls, envelope->fence_reply);
		return true;
	case CFW__ENVELOPE__BODY_ROUTES_PART:
		handle_routes_part(s, link, envelope->routes_part);
		return true;
	default:
		return false;
	}
}

bool session_link_up(struct session *s, struct link *link)
{
	if (!member_links_has(s->links, link))
		return false;
	if (s->started && !s->left && !s->fenced && !s->lease_was_held &&
	    (s->answered || s->no_leader)) {
		member_links_set_leader(s->links, link);
		send_request(s, false);
	}
	return true;
}

bool session_link_down(struct session *s, struct link *link)
{
	if (!member_links_has(s->links, link))
		return false;
	routes_client_link_down(s->routes, link);
	if (link == member_links_leader(s->links)) {
		s->answered = true;
		s->requested_ms = INT64_MIN;
		member_links_advance(s->links);
	}
	return true;
}

bool session_lease_held(const struct session *s, int64_t now_ms)
{
	return cf_lease_held(s->lease, now_ms);
}

int64_t session_lease_end_ms(const struct session *s)
{
	return cf_lease_end_ms(s->lease);
}

struct cf_config *session_config(struct session *s)
{
	return s->config;
}

void session_set_routes_applied(struct session *s, uint64_t version)
{
	routes_client_set_applied(s->routes, version);
}

int64_t session_routes_behind_ms(const struct session *s, int64_t now_ms)
{
	return routes_client_behind_ms(s->routes, now_ms);
}

void session_set_draining(struct session *s, bool draining)
{
	if (s->draining == draining)
		return;
	s->draining = draining;
	if (s->started && !s->left)
		send_request(s, false);
}

void session_set_capacity(struct session *s, const struct cf_capacity *capacity)
{
	if (!memcmp(&s->capacity, capacity, sizeof(*capacity)))
		return;
	s->capacity = *capacity;
	if (s->started && !s->left)
		send_request(s, false);
}

void session_set_coordinators(struct session *s, char **addresses)
{
	member_links_set_seeds(s->links, addresses);
}

struct link *session_member_link(struct session *s, uint32_t member)
{
	return member_links_find_member(s->links, member);
}

size_t session_links(struct session *s, struct link **links, size_t max)
{
	return member_links_list_up(s->links, links, max);
}

void session_leave(struct session *s)
{
	if (!s->started || s->left)
		return;
	send_request(s, true);
	s->left = true;
	cf_lease_revoke(s->lease);
}

void session_fence(struct session *s, uint64_t incarnation,
		   session_fence_fn *fn, void *arg)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__FenceRequest request = CFW__FENCE_REQUEST__INIT;
	struct link *leader = member_links_leader(s->links);

	if (!leader || !link_is_up(leader)) {
		fn(arg, NULL);
		return;
	}
	request.seq = fence_calls_add(s->fence_calls, fn, arg, clock_now_ms());
	request.incarnation = incarnation;
	envelope.body_case = CFW__ENVELOPE__BODY_FENCE_REQUEST;
	envelope.fence_request = &request;
	link_send(leader, &envelope);
}
