/*
 * leases: how long a run may outlive what keeps it alive. A dispatcher
 * keeps an agent's lease for its runs, the agent keeps the backend
 * server's. After any one of them is lost, the whole chain has ended
 * within RUN_END_MAX_MS, which is below the time after which a caller
 * without an answer sends its job again.
 */
#ifndef LEASED_LEASES_H
#define LEASED_LEASES_H

#define RUN_LEASE_MS 500 /* dispatcher to agent, from the agent's request */
#define RUN_LEASE_RENEW_MS 150 /* between an agent's requests */
#define RUN_LEASE_RENEW_IDLE_MS 200 /* the same while no run of it is there */
#define SERVER_LEASE_MS 650 /* agent to backend server */
#define SERVER_CLOCK_SLACK_MS 20 /* its clock may run 2 % slow */
#define RUN_STOP_MAX_MS 50 /* a stop takes at most so long */
#define RUN_END_MAX_MS                                                         \
	(RUN_LEASE_MS + SERVER_LEASE_MS + SERVER_CLOCK_SLACK_MS +              \
	 RUN_STOP_MAX_MS)

#endif
