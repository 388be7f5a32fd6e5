/*
 * leased_system: runs the leased roles as real processes: coordinators that
 * find each other through seeds, agents, dispatchers, and simulated backend
 * servers (stand-ins) that run tasks under leases. Optional relays in front of
 * the agents and the stand-ins let a test disturb connections.
 */
#ifndef SUPPORT_LEASED_SYSTEM_H
#define SUPPORT_LEASED_SYSTEM_H

#include "support/cluster.h"
#include "support/leased_standin.h"
#include "support/relay.h"

#define SYSTEM_COORDINATORS 3
#define SYSTEM_AGENTS 3
#define SYSTEM_DISPATCHERS 2
#define SYSTEM_TASKS 3 /* per job */
#define SYSTEM_WAIT_MS 30000
#define SYSTEM_DEADLINE_MS 8000 /* sent by callers in the deadline header */

struct leased_system {
	struct cluster *cluster;
	struct standin_record *record;
	struct standin *standins[SYSTEM_AGENTS];
	int lives[SYSTEM_AGENTS]; /* of the stand-ins */
	/* Relays between the dispatchers and an agent, and between an agent and
	 * its stand-in; NULL without relays. */
	struct relay *agent_relays[SYSTEM_AGENTS];
	struct relay *server_relays[SYSTEM_AGENTS];
	int coordinators; /* configured ones, from 1 */
	char losses_borne[8]; /* empty: the default */
	char seeds[200];
	char coordinator_addresses[200]; /* for --coordinators */
	/* If set, it ends the test's own threads when the test has failed. */
	void (*end_callers)(void *arg);
	void *end_callers_arg;
};

/* Starts everything, sets routes with version 1, and waits until the
 * dispatchers are ready. */
struct leased_system *leased_system_begin(bool relays);
/* Starts only the coordinators that are seeds, and sets routes with version
 * 1. */
struct leased_system *leased_system_begin_group(int losses_borne);
/* Stops everything. Fails if runs of one task overlapped. */
void leased_system_finish(struct leased_system *s);

/* Configures one more coordinator, which joins the group when it is started.
 * Its number is the next one after SYSTEM_COORDINATORS. */
struct proc *leased_system_add_coordinator(struct leased_system *s, int number);

/* Crashes a stand-in, and starts it again under another name. */
void leased_system_crash_server(struct leased_system *s, int i);
/* Crashes a stand-in and its relay: calls in progress get no answer, and
 * connections are refused. Only with relays. */
void leased_system_crash_unanswered(struct leased_system *s, int i);
void leased_system_start_server(struct leased_system *s, int i);

#define SYSTEM_NO_ANSWER 0
#define SYSTEM_NOT_CONNECTED 1 /* the request was not sent */

/* Submits a job of SYSTEM_TASKS tasks that run for run_ms each. Returns the
 * HTTP status or one of the two values above. Free the answer with g_free in
 * all cases. */
uint32_t leased_system_submit(struct leased_system *s, int dispatcher,
			      const char *id, uint32_t run_ms, char **answer);
/* The same with one task and another deadline. */
uint32_t leased_system_submit_one(struct leased_system *s, int dispatcher,
				  const char *id, uint32_t run_ms,
				  int64_t deadline_ms, char **answer);
/* Returns the HTTP status of the answer to the cancel. */
uint32_t leased_system_cancel(struct leased_system *s, int dispatcher,
			      const char *id);
/* The same for a job of a named route. */
uint32_t leased_system_cancel_named(struct leased_system *s, int dispatcher,
				    const char *name, const char *id);
/* Sets one route for each name (ends with NULL). */
void leased_system_set_named_routes(struct leased_system *s, uint32_t version,
				    const char *const *names);
/* Submits a job of one task to a named route; the stand-in gets the name as the
 * task's label. Returns what leased_system_submit() returns. */
uint32_t leased_system_submit_named(struct leased_system *s, int dispatcher,
				    const char *name, const char *id,
				    uint32_t run_ms);
/* The same for a caller that breaks its connection off after wait_ms. */
uint32_t leased_system_submit_within(struct leased_system *s, int dispatcher,
				     const char *name, const char *id,
				     uint32_t run_ms, int64_t wait_ms);
/* A caller that keeps one connection to each dispatcher open until that
 * process has exited. One thread at a time. */
struct leased_caller;
struct leased_caller *leased_caller_create(struct leased_system *s);
void leased_caller_destroy(struct leased_caller *caller);
uint32_t leased_caller_submit(struct leased_caller *caller, int dispatcher,
			      const char *id, uint32_t run_ms, char **answer);

/* Sends the request to the coordinators in turn until one answers with status
 * 200. If version is not 0, the answer must also contain the routes of that
 * version. Fails after SYSTEM_WAIT_MS. */
void leased_system_control(struct leased_system *s, const char *method,
			   const char *path, const char *body,
			   uint32_t version);
/* Sends one request to one coordinator. */
uint32_t leased_system_call(struct leased_system *s, int coordinator,
			    const char *interface, const char *method,
			    const char *path, const char *body, char **answer);
void leased_system_set_routes(struct leased_system *s, uint32_t version);
char *leased_system_routes(uint32_t version); /* free with g_free */
void leased_system_expect_routes(struct leased_system *s, uint32_t version);

#endif
