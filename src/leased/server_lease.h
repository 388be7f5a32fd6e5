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
	int64_t clock_ms; /* the server's, as it was at clock_read_ms or later
			   */
	int64_t clock_read_ms; /* INT64_MIN: never */
	int64_t expires_ms; /* own clock: all has ended then, if not renewed */
	int64_t answered_ms; /* when an answer came last */
	int64_t unanswered_since_ms; /* first call without an answer; 0: none */
};

void server_lease_init(struct server_lease *lease, int64_t now_ms);
/* The server's clock stood at clock_ms in an answer that came just now. */
void server_lease_answered(struct server_lease *lease, int64_t clock_ms,
			   int64_t now_ms);
void server_lease_unanswered(struct server_lease *lease, int64_t sent_ms);
/* The end of a lease to send now, on the server's clock; it is noted as
 * promised. 0: its clock is not known. */
int64_t server_lease_renew(struct server_lease *lease, int64_t now_ms);
/* No answer for long: it is not renewed, so that it ends. */
bool server_lease_is_unresponsive(const struct server_lease *lease,
				  int64_t now_ms);
bool server_lease_has_expired(const struct server_lease *lease, int64_t now_ms);
void server_lease_server_restarted(struct server_lease *lease);

/* What the agent's earlier life may have left running on a server: it has
 * ended by a time, or sooner if the server lists nothing of it. */
struct server_previous_runs {
	int64_t ends_ms;
	bool none_listed;
};

void server_previous_runs_listed(struct server_previous_runs *previous,
				 uint32_t n_unknown_runs);
bool server_previous_runs_have_ended(
	const struct server_previous_runs *previous, int64_t now_ms);

/* Starts that a server refused without having done anything: there is a
 * pause before the next one, longer with each refusal in a row. */
struct server_backoff {
	uint32_t consecutive;
	int64_t until_ms; /* the pause ends then */
};

void server_backoff_increase(struct server_backoff *backoff, int64_t now_ms);
void server_backoff_reset(struct server_backoff *backoff);
bool server_backoff_has_elapsed(const struct server_backoff *backoff,
				int64_t now_ms);

#endif
