/*
 * leases: durations of the two leases that a run depends on. A dispatcher
 * grants an agent a lease for the dispatcher's runs; the agent renews the
 * backend server's lease. If a dispatcher or an agent is lost, all its runs
 * have ended within RUN_END_MAX_MS. This is less than the time after which a
 * caller without an answer submits its job again, so that the runs of the two
 * submissions don't overlap.
 *
 * The sum: a lost dispatcher's lease ends at the agent RUN_LEASE_MS after the
 * request. From then on the agent does not renew the server's lease while a run
 * of that dispatcher may be there and its stop isn't acknowledged
 * (server_lease.h), so that the last renewal ends SERVER_LEASE_MS +
 * SERVER_CLOCK_SLACK_MS later. No interval between ticks and no timeout of a
 * call adds to it. For a stop that a dispatcher orders and the server doesn't
 * acknowledge the same holds, counted from the order: each grant that reached
 * the agent before the order was requested before it.
 */
#ifndef LEASED_LEASES_H
#define LEASED_LEASES_H

/* Granted by a dispatcher to an agent, counted from the agent's request. */
#define RUN_LEASE_MS 500
/* Interval between an agent's requests to a dispatcher. */
#define RUN_LEASE_RENEW_MS 150
/* The same while the agent has no run of that dispatcher. */
#define RUN_LEASE_RENEW_IDLE_MS 200
/* Granted by an agent to a backend server. */
#define SERVER_LEASE_MS 650
/* The server's clock may run this much slow. */
#define SERVER_CLOCK_SLOW_PERCENT 2
/* What a lease of SERVER_LEASE_MS may take longer on such a clock, rounded up.
 */
#define SERVER_CLOCK_SLACK_MS 20
/* Upper bound on the time that a server takes to stop a run. */
#define RUN_STOP_MAX_MS 50
/* Upper bound on the time that a run outlives a lost dispatcher or agent. */
#define RUN_END_MAX_MS                                                         \
	(RUN_LEASE_MS + SERVER_LEASE_MS + SERVER_CLOCK_SLACK_MS +              \
	 RUN_STOP_MAX_MS)
/* Of this, after the end of the dispatcher's lease. */
#define RUN_OUTLIVE_MAX_MS (RUN_END_MAX_MS - RUN_LEASE_MS)

#endif
