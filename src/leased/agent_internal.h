/*
 * agent_internal: what the files of the leased agent share. One loop
 * thread owns all of it.
 */
#ifndef LEASED_AGENT_INTERNAL_H
#define LEASED_AGENT_INTERNAL_H

#include "base/counters.h"
#include "base/settings.h"
#include "leased/server.h"
#include "net/admin.h"
#include "net/link.h"
#include "roles/session.h"

/* A dispatcher that this agent runs tasks for. */
struct peer {
	uint64_t incarnation;
	char name[CF_NAME_SIZE];
	struct link *link; /* NULL: lost */
	struct cf_lease *lease; /* for its runs; new for each connection */
	bool lease_held;
	bool wants_room; /* it finds too little; told to servers that join */
	int64_t lease_requested_ms; /* for the lease */
	uint64_t received; /* starts taken from it */
	uint64_t sent_digest; /* digest of the states that it knows; 0: none */
	GArray *results; /* struct run_result, to be sent */
	GQueue *recent; /* struct recent_result, newest last */
	int64_t disconnected_ms; /* when the connection ended; 0: it is up */
};

struct recent_result {
	struct run_result result;
	int64_t ended_ms;
};

struct leased_agent {
	const struct settings *settings;
	const struct formats *formats;
	uint64_t incarnation;
	struct loop *loop;
	GThread *thread;
	struct loop_timer *tick;
	struct loop_timer
		*turn_timer; /* runs while scarce room is offered in turn */
	struct link_hub *hub;
	struct session *session;
	struct admin *admin;
	struct http_server *control;
	struct http_client *client;
	char data_centre[CF_NAME_SIZE];
	int64_t previous_runs_end_ms; /* runs of an earlier life have ended then
				       */
	GHashTable *servers; /* name -> struct server */
	GHashTable *peers; /* incarnation -> struct peer */
	bool in_service;
	gint stopping, idle; /* atomic */
	struct counter *reports, *bad_reports, *lost_leases, *runs_gauge;
};

/* ---- Dispatchers (agent_peers.c) ------------------------------------ */

extern const struct link_handlers agent_link_handlers;

void agent_collect_results(struct leased_agent *a, struct server *server);
void agent_request_leases(struct leased_agent *a, int64_t now_ms);
/* Runs of dispatchers whose lease has ended are stopped. */
void agent_expire_leases(struct leased_agent *a, int64_t now_ms);
void agent_free_peer(gpointer peer);

/* ---- What they are told (agent_tell.c) ------------------------------ */

bool agent_accepts(const struct leased_agent *a, const struct server *server,
		   int64_t now_ms);
/* Sends results, and states that have changed. */
void agent_send_reports(struct leased_agent *a, int64_t now_ms);
void agent_set_demand(struct leased_agent *a, struct peer *p, bool wants_room);
/* This dispatcher gets no more turns at scarce room. */
void agent_remove_sharer(struct leased_agent *a, uint64_t dispatcher);

#endif
