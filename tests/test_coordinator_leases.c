/*
 * test_coordinator_leases: a coordinator's answers to requests for
 * leases, fences and votes, sent over links as agents and dispatchers
 * send them.
 */
#include "base/clock.h"
#include "base/logger.h"
#include "support/coordinators.h"
#include "support/loop_until.h"

#include <apr_general.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <cmocka.h>

/* ---- Client --------------------------------------------------------- */

struct client {
	struct link_hub *hub;
	struct link *link;
	Cfw__Role role;
	uint64_t incarnation;
	uint64_t seq;
	int64_t renew_ms; /* while it waits for a fence reply */
	Cfw__Envelope *answer; /* newest answer, a copy */
	Cfw__Envelope *fence_answer; /* newest fence reply, a copy */
	uint64_t known_revision, known_roster, known_leader;
	bool draining, leaving;
};

static struct loop *loop;

static void up(void *arg, struct link *link)
{
	(void)arg;
	(void)link;
}

/* A coordinator that names the leader without having been asked. */
static bool is_announcement(const Cfw__Envelope *envelope)
{
	return envelope->body_case == CFW__ENVELOPE__BODY_LEASE_GRANT &&
	       envelope->lease_grant->verdict ==
		       CFW__LEASE_VERDICT__LEASE_NOT_LEADER &&
	       !envelope->lease_grant->seq;
}

static void message(void *arg, struct link *link, const Cfw__Envelope *envelope)
{
	struct client *a = arg;
	bool fence = envelope->body_case == CFW__ENVELOPE__BODY_FENCE_REPLY;
	Cfw__Envelope **to = fence ? &a->fence_answer : &a->answer;
	size_t size = cfw__envelope__get_packed_size(envelope);
	g_autofree uint8_t *data = NULL;

	(void)link;
	if (is_announcement(envelope))
		return;
	data = g_malloc(size + 1);
	cfw__envelope__pack(envelope, data);
	if (*to)
		cfw__envelope__free_unpacked(*to, NULL);
	*to = cfw__envelope__unpack(NULL, size, data);
}

static const struct link_handlers handlers = { .up = up,
					       .message = message,
					       .down = up };

static bool is_up(void *arg)
{
	struct client *a = arg;

	return link_is_up(a->link);
}

static bool is_answered(void *arg)
{
	struct client *a = arg;

	return a->answer != NULL;
}

static bool is_renewal_due(void *arg)
{
	struct client *a = arg;

	return a->fence_answer || clock_now_ms() >= a->renew_ms;
}

static void open_client_at(struct client *a, struct group_fixture *c,
			   size_t node, Cfw__Role role, uint64_t incarnation)
{
	struct link_options options = { .self = { .role = role,
						  .name = "client",
						  .incarnation = incarnation,
						  .data_centre = "dc" } };
	g_autofree char *address =
		g_strdup_printf("127.0.0.1:%u", c->nodes[node].port);

	memset(a, 0, sizeof(*a));
	a->role = role;
	a->incarnation = incarnation;
	a->hub = link_hub_create(loop, &options, &handlers, a);
	a->link = link_dial(a->hub, address);
	assert_true(loop_until(loop, is_up, a));
}

static void open_client(struct client *a, struct group_fixture *c,
			Cfw__Role role, uint64_t incarnation)
{
	open_client_at(a, c, 0, role, incarnation);
}

static void close_client(struct client *a)
{
	link_hub_destroy(a->hub);
	if (a->answer)
		cfw__envelope__free_unpacked(a->answer, NULL);
	if (a->fence_answer)
		cfw__envelope__free_unpacked(a->fence_answer, NULL);
}

static Cfw__Envelope *exchange(struct client *a, const Cfw__Envelope *envelope)
{
	if (a->answer)
		cfw__envelope__free_unpacked(a->answer, NULL);
	a->answer = NULL;
	assert_true(link_send(a->link, envelope));
	assert_true(loop_until(loop, is_answered, a));
	return a->answer;
}

static const Cfw__LeaseGrant *request_lease(struct client *a)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__LeaseRequest request = CFW__LEASE_REQUEST__INIT;
	Cfw__Capacity capacity = CFW__CAPACITY__INIT;
	const Cfw__LeaseGrant *grant;

	capacity.slots = 8;
	request.seq = ++a->seq;
	request.role = a->role;
	request.incarnation = a->incarnation;
	request.name = "client";
	request.data_centre = "dc";
	request.rack = "r";
	request.address = "127.0.0.1:7";
	request.known_revision = a->known_revision;
	request.known_roster = a->known_roster;
	request.known_leader = a->known_leader;
	request.draining = a->draining;
	request.leaving = a->leaving;
	request.capacity = &capacity;
	envelope.body_case = CFW__ENVELOPE__BODY_LEASE_REQUEST;
	envelope.lease_request = &request;
	grant = exchange(a, &envelope)->lease_grant;
	assert_int_equal(grant->seq, a->seq);
	if (grant->configuration)
		a->known_revision = grant->configuration->revision;
	if (grant->roster) {
		a->known_roster = grant->roster->version;
		a->known_leader = grant->leader_incarnation;
	}
	return grant;
}

/* Retries until granted: a new leader refuses until a quorum has answered
 * it. */
static const Cfw__LeaseGrant *obtain_lease(struct client *a)
{
	int64_t end_ms = clock_now_ms() + FIXTURE_WAIT_MS;
	const Cfw__LeaseGrant *grant = request_lease(a);

	while (grant->verdict == CFW__LEASE_VERDICT__LEASE_NOT_LEADER) {
		assert_true(clock_now_ms() < end_ms);
		grant = request_lease(a);
	}
	assert_int_equal(grant->verdict, CFW__LEASE_VERDICT__LEASE_GRANTED);
	return grant;
}

/* Renews its own lease until the reply comes, as processes do. The fence is
 * committed first, which may take longer than a lease on a slow disk. */
static const Cfw__FenceReply *request_fence(struct client *a,
					    uint64_t incarnation)
{
	int64_t end_ms = clock_now_ms() + FIXTURE_WAIT_MS;
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__FenceRequest request = CFW__FENCE_REQUEST__INIT;

	request.seq = ++a->seq;
	request.incarnation = incarnation;
	envelope.body_case = CFW__ENVELOPE__BODY_FENCE_REQUEST;
	envelope.fence_request = &request;
	if (a->fence_answer)
		cfw__envelope__free_unpacked(a->fence_answer, NULL);
	a->fence_answer = NULL;
	assert_true(link_send(a->link, &envelope));
	for (;;) {
		a->renew_ms = clock_now_ms() + CF_LEASE_MS / 4;
		assert_true(loop_until(loop, is_renewal_due, a));
		if (a->fence_answer)
			return a->fence_answer->fence_reply;
		assert_true(clock_now_ms() < end_ms);
		request_lease(a);
	}
}

static const Cfw__Vote *request_vote(struct client *a, const struct cf_key *key,
				     uint64_t owner)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__ClaimRequest request = CFW__CLAIM_REQUEST__INIT;
	Cfw__Claim claim = CFW__CLAIM__INIT;
	Cfw__Claim *claims[] = { &claim };
	const Cfw__ClaimReply *reply;

	claim.key.data = (uint8_t *)key->bytes;
	claim.key.len = CF_KEY_SIZE;
	claim.owner = owner;
	request.seq = ++a->seq;
	request.n_claims = 1;
	request.claims = claims;
	envelope.body_case = CFW__ENVELOPE__BODY_CLAIM_REQUEST;
	envelope.claim_request = &request;
	reply = exchange(a, &envelope)->claim_reply;
	assert_int_equal(reply->n_votes, 1);
	return reply->votes[0];
}

/* Requests votes on new keys with the current time until one is voted for;
 * returns that key. */
static struct cf_key obtain_vote(struct client *a, uint64_t owner)
{
	int64_t end_ms = clock_now_ms() + FIXTURE_WAIT_MS;
	struct cf_key key;

	do {
		assert_true(clock_now_ms() < end_ms);
		cf_key_make(&key, clock_wall_ms(), a->seq, 1);
	} while (request_vote(a, &key, owner)->verdict != CF_VOTE_FOR);
	return key;
}

/* Waits until the roster has n entries and, if requested, is settled. keep,
 * if not NULL, renews its lease meanwhile. */
static const Cfw__LeaseGrant *
wait_for_roster(struct client *a, struct client *keep, size_t n, bool settled)
{
	int64_t end_ms = clock_now_ms() + FIXTURE_WAIT_MS;
	const Cfw__LeaseGrant *grant;

	do {
		assert_true(clock_now_ms() < end_ms);
		if (keep)
			obtain_lease(keep);
		a->known_roster = 0;
		grant = obtain_lease(a);
	} while (grant->roster->n_entries != n ||
		 (settled && !grant->roster->settled));
	return grant;
}

/* ---- Leases -------------------------------------------------------- */

static void test_lease_and_roster(void **state)
{
	struct group_fixture c;
	struct client dispatcher, agent;
	const Cfw__LeaseGrant *grant;
	int64_t before_ms;

	(void)state;
	fixture_prepare(&c, 1);
	fixture_start(&c, 0, false);
	open_client(&dispatcher, &c, CFW__ROLE__ROLE_DISPATCHER, 11);
	open_client(&agent, &c, CFW__ROLE__ROLE_AGENT, 22);
	grant = obtain_lease(&dispatcher);
	assert_non_null(grant->configuration);
	assert_int_equal(grant->roster->n_entries, 1);
	assert_int_equal(grant->duration_ms, CF_LEASE_MS);
	/* An agent gets the configuration but no roster. */
	grant = obtain_lease(&agent);
	assert_non_null(grant->configuration);
	assert_null(grant->roster);
	assert_null(obtain_lease(&agent)->configuration);
	wait_for_roster(&dispatcher, &agent, 2, false);
	agent.draining = true;
	obtain_lease(&agent);
	grant = obtain_lease(&dispatcher);
	assert_non_null(grant->roster);
	before_ms = clock_wall_ms();
	agent.leaving = true;
	assert_int_equal(request_lease(&agent)->verdict,
			 CFW__LEASE_VERDICT__LEASE_RELEASED);
	/* A delayed request must not obtain the lease again. */
	agent.leaving = false;
	assert_int_equal(request_lease(&agent)->verdict,
			 CFW__LEASE_VERDICT__LEASE_RELEASED);
	grant = obtain_lease(&dispatcher);
	assert_int_equal(grant->roster->n_entries, 1);
	assert_true(grant->roster->last_departure_ms >=
		    before_ms + CF_CLOCK_SKEW_MS);
	close_client(&agent);
	close_client(&dispatcher);
	fixture_clear(&c);
}

static void test_expired_holder_comes_back(void **state)
{
	struct group_fixture c;
	struct client dispatcher, agent;

	(void)state;
	fixture_prepare(&c, 1);
	fixture_start(&c, 0, false);
	open_client(&dispatcher, &c, CFW__ROLE__ROLE_DISPATCHER, 11);
	open_client(&agent, &c, CFW__ROLE__ROLE_AGENT, 22);
	wait_for_roster(&dispatcher, &agent, 2, false);
	wait_for_roster(&dispatcher, NULL, 1, false); /* no renewal */
	wait_for_roster(&dispatcher, &agent, 2, false);
	close_client(&agent);
	close_client(&dispatcher);
	fixture_clear(&c);
}

/* ---- Fences -------------------------------------------------------- */

static void test_fence(void **state)
{
	struct group_fixture c;
	struct client owner, adopter;
	const Cfw__FenceReply *reply;
	int64_t renewed_ms;

	(void)state;
	fixture_prepare(&c, 1);
	fixture_start(&c, 0, false);
	open_client(&owner, &c, CFW__ROLE__ROLE_DISPATCHER, 11);
	open_client(&adopter, &c, CFW__ROLE__ROLE_DISPATCHER, 22);
	obtain_lease(&adopter);
	renewed_ms = clock_now_ms();
	obtain_lease(&owner);
	reply = request_fence(&adopter, owner.incarnation);
	if (clock_now_ms() - renewed_ms < CF_LEASE_MS) {
		assert_true(reply->alive);
		assert_false(reply->fenced);
	}
	/* An unknown process may hold a lease from a former leader. */
	reply = request_fence(&adopter, 33);
	assert_true(!reply->fenced || reply->roster->settled);
	assert_false(reply->alive);
	wait_for_roster(&adopter, NULL, 1, true);
	reply = request_fence(&adopter, owner.incarnation);
	assert_true(reply->fenced);
	assert_non_null(reply->roster);
	assert_int_equal(reply->roster->n_entries, 1);
	assert_int_equal(request_lease(&owner)->verdict,
			 CFW__LEASE_VERDICT__LEASE_FENCED);
	assert_true(request_fence(&adopter, owner.incarnation)->fenced);
	close_client(&owner);
	close_client(&adopter);
	fixture_clear(&c);
}

/* ---- Claims -------------------------------------------------------- */

static void test_votes_outlive_a_clean_stop_only(void **state)
{
	struct group_fixture c;
	struct client a;
	struct cf_key key;
	g_autofree char *ledger = NULL;

	(void)state;
	fixture_prepare(&c, 1);
	ledger = g_build_filename(c.nodes[0].folder, LEDGER_FILE, NULL);
	fixture_start(&c, 0, false);
	open_client(&a, &c, CFW__ROLE__ROLE_DISPATCHER, 11);
	key = obtain_vote(&a, 11);
	assert_int_equal(request_vote(&a, &key, 12)->owner, 11);
	close_client(&a);
	fixture_stop(&c, 0);
	assert_true(g_file_test(ledger, G_FILE_TEST_EXISTS));
	fixture_start(&c, 0, false);
	assert_false(g_file_test(ledger, G_FILE_TEST_EXISTS));
	open_client(&a, &c, CFW__ROLE__ROLE_DISPATCHER, 11);
	obtain_vote(&a, 11); /* wait until it votes */
	assert_int_equal(request_vote(&a, &key, 12)->owner, 11);
	close_client(&a);
	/* As after a crash, no votes were saved. */
	fixture_stop(&c, 0);
	assert_int_equal(g_remove(ledger), 0);
	fixture_start(&c, 0, false);
	open_client(&a, &c, CFW__ROLE__ROLE_DISPATCHER, 11);
	obtain_vote(&a, 11);
	assert_int_equal(request_vote(&a, &key, 12)->verdict, CF_VOTE_ABSTAIN);
	close_client(&a);
	fixture_clear(&c);
}

/* A voter without contact to a leader stops voting when its lease ends:
 * the other members may have formed a view without it. */
static void test_cut_off_voter_stops(void **state)
{
	int64_t end_ms = clock_now_ms() + 2 * FIXTURE_WAIT_MS;
	struct group_fixture c;
	struct client clients[3];
	struct cf_key key;
	enum cf_vote verdict;

	(void)state;
	fixture_prepare(&c, 3);
	for (size_t i = 0; i < 3; i++)
		fixture_start(&c, i, false);
	for (size_t i = 0; i < 3; i++) {
		open_client_at(&clients[i], &c, i, CFW__ROLE__ROLE_DISPATCHER,
			       11);
		obtain_vote(&clients[i], 11);
	}
	for (size_t i = 0; i < 2; i++) {
		close_client(&clients[i]);
		fixture_stop(&c, i);
	}
	do {
		assert_true(clock_now_ms() < end_ms);
		cf_key_make(&key, clock_wall_ms(), clients[2].seq, 2);
		verdict = request_vote(&clients[2], &key, 11)->verdict;
	} while (verdict == CF_VOTE_FOR);
	assert_int_equal(verdict, CF_VOTE_ABSTAIN);
	close_client(&clients[2]);
	fixture_clear(&c);
}

static int setup(void **state)
{
	(void)state;
	apr_initialize();
	log_configure("test", "test", LOG_INFO, LOG_FORMAT_TEXT);
	loop = loop_create(NULL);
	return loop ? 0 : 1;
}

static int teardown(void **state)
{
	(void)state;
	loop_destroy(loop);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lease_and_roster),
		cmocka_unit_test(test_expired_holder_comes_back),
		cmocka_unit_test(test_fence),
		cmocka_unit_test(test_votes_outlive_a_clean_stop_only),
		cmocka_unit_test(test_cut_off_voter_stops),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
