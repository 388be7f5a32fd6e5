/*
 * leased_system: the leased roles as real processes: coordinators that
 * find each other by seeds, agents, dispatchers, and stand-ins for backend
 * servers that run under leases; if wanted with relays before the agents
 * and the stand-ins, so that connections can be harmed.
 */
#ifndef SUPPORT_LEASED_SYSTEM_H
#define SUPPORT_LEASED_SYSTEM_H

#include "support/cluster.h"
#include "support/leased_standin.h"
#include "support/relay.h"

#define SYSTEM_COORDINATORS 3
#define SYSTEM_AGENTS 3
#define SYSTEM_DISPATCHERS 2
#define SYSTEM_TASKS 3 /* of a job */
#define SYSTEM_WAIT_MS 30000
#define SYSTEM_DEADLINE_MS 8000 /* that callers tell */

struct leased_system {
	struct cluster *cluster;
	struct standin_record *record;
	struct standin *standins[SYSTEM_AGENTS];
	/* Between dispatchers and an agent, an agent and its stand-in; NULL
	 * without relays. */
	struct relay *agent_relays[SYSTEM_AGENTS];
	struct relay *server_relays[SYSTEM_AGENTS];
	char seeds[200];
	char coordinator_addresses[200]; /* the coordinators' addresses for
					    processes */
};

/* All started, routes of version 1 in force, dispatchers ready. */
struct leased_system *leased_system_begin(bool relays);
/* No task may have had two runs at the same time. */
void leased_system_finish(struct leased_system *s);

#define SYSTEM_NO_ANSWER 0
#define SYSTEM_NOT_CONNECTED 1 /* nothing was sent */

/* A job of SYSTEM_TASKS tasks of run_ms each; the status, or one of the
 * two above. The answer is freed with g_free, also then. */
uint32_t leased_system_submit(struct leased_system *s, int dispatcher,
			      const char *id, uint32_t run_ms, char **answer);
/* A caller that keeps its connections open, one to each dispatcher, until
 * the process is gone. One thread at a time. */
struct leased_caller;
struct leased_caller *leased_caller_create(struct leased_system *s);
void leased_caller_destroy(struct leased_caller *caller);
uint32_t leased_caller_submit(struct leased_caller *caller, int dispatcher,
			      const char *id, uint32_t run_ms, char **answer);

/* Asks the coordinators in turn until one answers, with these routes if a
 * version is wanted; fails after SYSTEM_WAIT_MS. */
void leased_system_control(struct leased_system *s, const char *method,
			   const char *path, const char *body,
			   uint32_t version);
/* One call of one coordinator. */
uint32_t leased_system_call(struct leased_system *s, int coordinator,
			    const char *interface, const char *method,
			    const char *path, const char *body, char **answer);
void leased_system_set_routes(struct leased_system *s, uint32_t version);
char *leased_system_routes(uint32_t version); /* freed with g_free */
void leased_system_expect_routes(struct leased_system *s, uint32_t version);

#endif
