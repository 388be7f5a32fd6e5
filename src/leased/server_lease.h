/*
 * server_lease: an agent's view of one backend server: its clock, the time
 * until which runs may continue there without a renewal of the lease, and the
 * backoff before the next start. The module does no I/O and reads no clock. It
 * is not thread-safe.
 */
#ifndef LEASED_SERVER_LEASE_H
#define LEASED_SERVER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* Between polls of a server that answers and has no runs. */
#define SERVER_IDLE_POLL_INTERVAL_MS 1000

struct server_lease {
	/* At clock_read_ms the server's clock showed this or a later time. */
	int64_t clock_ms;
	int64_t clock_read_ms; /* INT64_MIN: never */
	/* On the agent's clock: all runs have ended by then if the lease isn't
	 * renewed. */
	int64_t expires_ms;
	int64_t granted_end_ms; /* on the server's clock; 0: none */
	bool expiring; /* not renewed until it has expired */
	bool crashed; /* set by the owner: not renewed either */
	int64_t answered_ms; /* time of the last answer */
	int64_t unanswered_since_ms; /* first call without an answer; 0: none */
	int64_t call_failed_ms; /* see server_lease_may_renew; 0: none */
};

void server_lease_init(struct server_lease *lease, int64_t now_ms);
/* Records an answer that arrived at now_ms and carried the server's clock. */
void server_lease_answered(struct server_lease *lease, int64_t clock_ms,
			   int64_t now_ms);
void server_lease_unanswered(struct server_lease *lease, int64_t sent_ms);
/* Returns the lease end to send to the server now, on the server's clock, and
 * extends expires_ms accordingly. 0: the server's clock is unknown. */
int64_t server_lease_renew(struct server_lease *lease, int64_t now_ms);
/* A call was given up without an answer, at now_ms. */
void server_lease_call_failed(struct server_lease *lease, int64_t now_ms);
/* The known incarnation answered a poll that was sent at sent_ms. */
void server_lease_poll_answered(struct server_lease *lease, int64_t sent_ms);
/* False after a failed call, until a poll that was sent later is answered: the
 * server may have begun anew, and a renewal computed from the clock that it had
 * before would last far too long. */
bool server_lease_may_renew(const struct server_lease *lease);
/* True if calls have stayed unanswered for long. The lease of an unresponsive
 * server is not renewed, so that it expires. */
bool server_lease_is_unresponsive(const struct server_lease *lease,
				  int64_t now_ms);
/* Time from the start of a poll to the start of the next one, which follows
 * once the first has ended. idle: the server has no runs. */
int64_t server_lease_poll_interval_ms(const struct server_lease *lease,
				      bool idle, int64_t now_ms);
bool server_lease_has_expired(const struct server_lease *lease, int64_t now_ms);
/* Returns true if the lease is left to expire from now on: the server is
 * unresponsive, or a stop has been unacknowledged for long. stop_age_ms: of the
 * oldest unacknowledged stop; 0: none. idle: the server has no runs. */
bool server_lease_begin_expiry(struct server_lease *lease, int64_t stop_age_ms,
			       bool idle, int64_t now_ms);
/* Returns true if a lease that was left to expire has expired. It is renewed
 * again from then on, or once the reason is gone. */
bool server_lease_end_expiry(struct server_lease *lease, int64_t stop_age_ms,
			     int64_t now_ms);
/* The next three functions take the time renew_until_ms from which the lease
 * may not be renewed, as run_table_renew_until_ms computes it. The rule: a
 * renewal keeps all runs of the server alive, so none is sent once a run there
 * that isn't known to end by itself or by an acknowledged stop has outlived its
 * dispatcher's lease. A run that has to stop counts with the lease end of the
 * time when the stop was requested. So a stop that is acknowledged soon doesn't
 * interrupt the renewals, and one that isn't ends the run with the server's
 * lease, within RUN_END_MAX_MS. */

/* Whether a start may be sent: the lease can be renewed with it, or enough of
 * what was granted is left. */
bool server_lease_allows_start(const struct server_lease *lease,
			       int64_t renew_until_ms, int64_t now_ms);
/* Return the lease end to send with a poll or a start, on the server's clock.
 * With a poll, 0: the lease is not renewed. A start that doesn't renew the
 * lease carries the end that was granted last. */
int64_t server_lease_for_poll(struct server_lease *lease, bool idle,
			      int64_t renew_until_ms, int64_t now_ms);
int64_t server_lease_for_start(struct server_lease *lease,
			       int64_t renew_until_ms, int64_t now_ms);
/* Discards the clock of the server's previous incarnation. */
void server_lease_server_restarted(struct server_lease *lease);

/* Runs that the agent's previous incarnation may have left on a server. They
 * have ended at ends_ms, or earlier if the server lists no unknown run. */
struct server_previous_runs {
	int64_t ends_ms;
	bool none_listed;
};

void server_previous_runs_listed(struct server_previous_runs *previous,
				 uint32_t n_unknown_runs);
bool server_previous_runs_have_ended(
	const struct server_previous_runs *previous, int64_t now_ms);

/* Exponential backoff after a server refused starts without side effects. */
struct server_backoff {
	uint32_t consecutive; /* refused starts */
	int64_t until_ms; /* no start is sent before */
};

void server_backoff_increase(struct server_backoff *backoff, int64_t now_ms);
void server_backoff_reset(struct server_backoff *backoff);
bool server_backoff_has_elapsed(const struct server_backoff *backoff,
				int64_t now_ms);

#endif
