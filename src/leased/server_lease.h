/*
 * server_lease: what an agent knows of a backend server's clock, how long
 * everything on it may still run, and when the next start may go there.
 * Pure; one thread at a time.
 */
#ifndef LEASED_SERVER_LEASE_H
#define LEASED_SERVER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

struct server_lease {
	int64_t clock_ms; /* the server's, as it was at heard_ms or later */
	int64_t heard_ms; /* INT64_MIN: never */
	int64_t promised_ms; /* own clock: all has ended then, if not renewed */
	int64_t answered_ms; /* when an answer came last */
	int64_t silent_since_ms; /* first call without an answer; 0: none */
};

void server_lease_init(struct server_lease *lease, int64_t now_ms);
/* The server's clock stood at clock_ms in an answer that came just now. */
void server_lease_heard(struct server_lease *lease, int64_t clock_ms,
			int64_t now_ms);
void server_lease_unanswered(struct server_lease *lease, int64_t sent_ms);
/* The end of a lease to send now, on the server's clock; it is noted as
 * promised. 0: its clock is not known. */
int64_t server_lease_renew(struct server_lease *lease, int64_t now_ms);
/* No answer for long: it is not renewed, so that it ends. */
bool server_lease_is_silent(const struct server_lease *lease, int64_t now_ms);
bool server_lease_has_ended(const struct server_lease *lease, int64_t now_ms);
void server_lease_new_life(struct server_lease *lease);

/* What the agent's earlier life may have left running on a server: it has
 * ended by a time, or sooner if the server lists nothing of it. */
struct server_past {
	int64_t ends_ms;
	bool listed_none;
};

void server_past_listed(struct server_past *past, uint32_t strangers);
bool server_past_is_over(const struct server_past *past, int64_t now_ms);

/* Starts that a server refused without having done anything: there is a
 * pause before the next one, longer with each refusal in a row. */
struct server_refusals {
	uint32_t in_a_row;
	int64_t until_ms; /* the pause ends then */
};

void server_refusals_add(struct server_refusals *refusals, int64_t now_ms);
void server_refusals_clear(struct server_refusals *refusals);
bool server_refusals_over(const struct server_refusals *refusals,
			  int64_t now_ms);

#endif
