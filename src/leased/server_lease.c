/*
 * server_lease: lease, clock and backoff of a server; see server_lease.h.
 */
#include "leased/server_lease.h"

#include "leased/leases.h"

#include <glib.h>

/* A server without answers for this long is unresponsive. */
#define UNRESPONSIVE_MS 300
/* After a stop is unacknowledged for this long, the lease is left to expire. */
#define STOP_ACK_TIMEOUT_MS 150
/* Between polls of a server that does not answer. */
#define UNRESPONSIVE_POLL_INTERVAL_MS 150
/* After a poll without an answer: a server that is down refuses connections at
 * once, and polls would follow each other without a pause. */
#define UNANSWERED_POLL_INTERVAL_MS 20
/* Left of a lease that can't be renewed now when a start is sent: longer than
 * most runs take. */
#define START_LEASE_MIN_MS 300
/* Doubled with each consecutive refusal, up to BACKOFF_DOUBLINGS_MAX times. */
#define BACKOFF_INITIAL_MS 10
#define BACKOFF_DOUBLINGS_MAX 5

void server_lease_init(struct server_lease *lease, int64_t now_ms)
{
	lease->clock_ms = 0;
	lease->clock_read_ms = INT64_MIN;
	lease->expires_ms = now_ms;
	lease->granted_end_ms = 0;
	lease->expiring = false;
	lease->crashed = false;
	lease->answered_ms = now_ms;
	lease->unanswered_since_ms = 0;
	lease->call_failed_ms = 0;
}

void server_lease_answered(struct server_lease *lease, int64_t clock_ms,
			   int64_t now_ms)
{
	lease->clock_ms = clock_ms;
	lease->clock_read_ms = now_ms;
	lease->answered_ms = now_ms;
	lease->unanswered_since_ms = 0;
}

void server_lease_unanswered(struct server_lease *lease, int64_t sent_ms)
{
	if (sent_ms > lease->answered_ms && !lease->unanswered_since_ms)
		lease->unanswered_since_ms = sent_ms;
}

/* What the server's clock shows at least, if it is as slow as it may be. */
static int64_t clock_at_least_ms(const struct server_lease *lease,
				 int64_t now_ms)
{
	int64_t age_ms = now_ms - lease->clock_read_ms;

	return lease->clock_ms + age_ms -
	       age_ms * SERVER_CLOCK_SLOW_PERCENT / 100;
}

int64_t server_lease_renew(struct server_lease *lease, int64_t now_ms)
{
	if (lease->clock_read_ms == INT64_MIN)
		return 0;
	lease->expires_ms =
		MAX(lease->expires_ms,
		    now_ms + SERVER_LEASE_MS + SERVER_CLOCK_SLACK_MS);
	lease->granted_end_ms =
		clock_at_least_ms(lease, now_ms) + SERVER_LEASE_MS;
	return lease->granted_end_ms;
}

void server_lease_call_failed(struct server_lease *lease, int64_t now_ms)
{
	lease->call_failed_ms = now_ms;
}

void server_lease_poll_answered(struct server_lease *lease, int64_t sent_ms)
{
	if (sent_ms >= lease->call_failed_ms)
		lease->call_failed_ms = 0;
}

bool server_lease_may_renew(const struct server_lease *lease)
{
	return !lease->call_failed_ms;
}

bool server_lease_is_unresponsive(const struct server_lease *lease,
				  int64_t now_ms)
{
	return lease->unanswered_since_ms &&
	       now_ms - lease->unanswered_since_ms >= UNRESPONSIVE_MS;
}

int64_t server_lease_poll_interval_ms(const struct server_lease *lease,
				      bool idle, int64_t now_ms)
{
	if (server_lease_is_unresponsive(lease, now_ms))
		return UNRESPONSIVE_POLL_INTERVAL_MS;
	if (idle)
		return SERVER_IDLE_POLL_INTERVAL_MS;
	return lease->unanswered_since_ms ? UNANSWERED_POLL_INTERVAL_MS : 0;
}

bool server_lease_has_expired(const struct server_lease *lease, int64_t now_ms)
{
	return now_ms >= lease->expires_ms;
}

static bool must_expire(const struct server_lease *lease, int64_t stop_age_ms,
			int64_t now_ms)
{
	return lease->crashed || server_lease_is_unresponsive(lease, now_ms) ||
	       stop_age_ms > STOP_ACK_TIMEOUT_MS;
}

bool server_lease_begin_expiry(struct server_lease *lease, int64_t stop_age_ms,
			       bool idle, int64_t now_ms)
{
	if (lease->expiring || idle || !must_expire(lease, stop_age_ms, now_ms))
		return false;
	lease->expiring = true;
	return true;
}

bool server_lease_end_expiry(struct server_lease *lease, int64_t stop_age_ms,
			     int64_t now_ms)
{
	bool expired = lease->expiring &&
		       server_lease_has_expired(lease, now_ms);

	if (expired ||
	    (!stop_age_ms && !must_expire(lease, stop_age_ms, now_ms)))
		lease->expiring = false;
	return expired;
}

static bool may_renew(const struct server_lease *lease, int64_t renew_until_ms,
		      int64_t now_ms)
{
	return server_lease_may_renew(lease) &&
	       lease->clock_read_ms != INT64_MIN && !lease->expiring &&
	       !lease->crashed &&
	       !server_lease_is_unresponsive(lease, now_ms) &&
	       now_ms < renew_until_ms;
}

bool server_lease_allows_start(const struct server_lease *lease,
			       int64_t renew_until_ms, int64_t now_ms)
{
	return may_renew(lease, renew_until_ms, now_ms) ||
	       (lease->granted_end_ms &&
		lease->expires_ms - now_ms >= START_LEASE_MIN_MS);
}

int64_t server_lease_for_poll(struct server_lease *lease, bool idle,
			      int64_t renew_until_ms, int64_t now_ms)
{
	if (idle || !may_renew(lease, renew_until_ms, now_ms))
		return 0;
	return server_lease_renew(lease, now_ms);
}

int64_t server_lease_for_start(struct server_lease *lease,
			       int64_t renew_until_ms, int64_t now_ms)
{
	if (!may_renew(lease, renew_until_ms, now_ms))
		return lease->granted_end_ms;
	return server_lease_renew(lease, now_ms);
}

void server_lease_server_restarted(struct server_lease *lease)
{
	lease->clock_read_ms = INT64_MIN;
	lease->granted_end_ms = 0;
	lease->unanswered_since_ms = 0;
	lease->call_failed_ms = 0;
}

/* ---- Runs of the agent's previous incarnation ----------------------- */

void server_previous_runs_listed(struct server_previous_runs *previous,
				 uint32_t n_unknown_runs)
{
	previous->none_listed |= n_unknown_runs == 0;
}

bool server_previous_runs_have_ended(
	const struct server_previous_runs *previous, int64_t now_ms)
{
	return previous->none_listed || now_ms >= previous->ends_ms;
}

/* ---- Backoff after refused starts ----------------------------------- */

void server_backoff_increase(struct server_backoff *backoff, int64_t now_ms)
{
	uint32_t doublings = MIN(backoff->consecutive, BACKOFF_DOUBLINGS_MAX);

	backoff->consecutive++;
	backoff->until_ms = now_ms + ((int64_t)BACKOFF_INITIAL_MS << doublings);
}

void server_backoff_reset(struct server_backoff *backoff)
{
	backoff->consecutive = 0;
	backoff->until_ms = 0;
}

bool server_backoff_has_elapsed(const struct server_backoff *backoff,
				int64_t now_ms)
{
	return now_ms >= backoff->until_ms;
}
