/*
 * server_lease: see server_lease.h.
 */
#include "leased/server_lease.h"

#include "leased/leases.h"

#include <glib.h>

#define SILENT_MS 300
#define REFUSED_PAUSE_MS 10 /* doubled with each refusal in a row */
#define REFUSED_DOUBLINGS_MAX 5

void server_lease_init(struct server_lease *lease, int64_t now_ms)
{
	lease->clock_ms = 0;
	lease->heard_ms = INT64_MIN;
	lease->promised_ms = now_ms;
	lease->answered_ms = now_ms;
	lease->silent_since_ms = 0;
}

void server_lease_heard(struct server_lease *lease, int64_t clock_ms,
			int64_t now_ms)
{
	lease->clock_ms = clock_ms;
	lease->heard_ms = now_ms;
	lease->answered_ms = now_ms;
	lease->silent_since_ms = 0;
}

void server_lease_unanswered(struct server_lease *lease, int64_t sent_ms)
{
	if (sent_ms > lease->answered_ms && !lease->silent_since_ms)
		lease->silent_since_ms = sent_ms;
}

int64_t server_lease_renew(struct server_lease *lease, int64_t now_ms)
{
	if (lease->heard_ms == INT64_MIN)
		return 0;
	lease->promised_ms =
		MAX(lease->promised_ms,
		    now_ms + SERVER_LEASE_MS + SERVER_CLOCK_SLACK_MS);
	return lease->clock_ms + (now_ms - lease->heard_ms) + SERVER_LEASE_MS;
}

bool server_lease_is_silent(const struct server_lease *lease, int64_t now_ms)
{
	return lease->silent_since_ms &&
	       now_ms - lease->silent_since_ms >= SILENT_MS;
}

bool server_lease_has_ended(const struct server_lease *lease, int64_t now_ms)
{
	return now_ms >= lease->promised_ms;
}

void server_lease_new_life(struct server_lease *lease)
{
	lease->heard_ms = INT64_MIN;
	lease->silent_since_ms = 0;
}

/* ---- The agent's earlier life ---------------------------------------- */

void server_past_listed(struct server_past *past, uint32_t strangers)
{
	past->listed_none |= strangers == 0;
}

bool server_past_is_over(const struct server_past *past, int64_t now_ms)
{
	return past->listed_none || now_ms >= past->ends_ms;
}

/* ---- Refused starts ------------------------------------------------- */

void server_refusals_add(struct server_refusals *refusals, int64_t now_ms)
{
	uint32_t doublings = MIN(refusals->in_a_row, REFUSED_DOUBLINGS_MAX);

	refusals->in_a_row++;
	refusals->until_ms = now_ms + ((int64_t)REFUSED_PAUSE_MS << doublings);
}

void server_refusals_clear(struct server_refusals *refusals)
{
	refusals->in_a_row = 0;
	refusals->until_ms = 0;
}

bool server_refusals_over(const struct server_refusals *refusals,
			  int64_t now_ms)
{
	return now_ms >= refusals->until_ms;
}
