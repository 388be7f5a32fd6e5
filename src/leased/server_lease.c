/*
 * server_lease: lease, clock and backoff of a server; see server_lease.h.
 */
#include "leased/server_lease.h"

#include "leased/leases.h"

#include <glib.h>

/* A server without answers for this long is unresponsive. */
#define UNRESPONSIVE_MS 300
/* Between polls of a server that does not answer. */
#define UNRESPONSIVE_POLL_INTERVAL_MS 150
/* After a poll without an answer: a server that is down refuses connections at
 * once, and polls would follow each other without a pause. */
#define UNANSWERED_POLL_INTERVAL_MS 20
/* Doubled with each consecutive refusal, up to BACKOFF_DOUBLINGS_MAX times. */
#define BACKOFF_INITIAL_MS 10
#define BACKOFF_DOUBLINGS_MAX 5

void server_lease_init(struct server_lease *lease, int64_t now_ms)
{
	lease->clock_ms = 0;
	lease->clock_read_ms = INT64_MIN;
	lease->expires_ms = now_ms;
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

int64_t server_lease_renew(struct server_lease *lease, int64_t now_ms)
{
	if (lease->clock_read_ms == INT64_MIN)
		return 0;
	lease->expires_ms =
		MAX(lease->expires_ms,
		    now_ms + SERVER_LEASE_MS + SERVER_CLOCK_SLACK_MS);
	return lease->clock_ms + (now_ms - lease->clock_read_ms) +
	       SERVER_LEASE_MS;
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

void server_lease_server_restarted(struct server_lease *lease)
{
	lease->clock_read_ms = INT64_MIN;
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
