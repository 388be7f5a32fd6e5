/*
 * agent_internal: state and functions shared by the files of the leased
 * agent. One loop thread owns all of it.
 */
#ifndef LEASED_AGENT_INTERNAL_H
#define LEASED_AGENT_INTERNAL_H

#include "base/counters.h"
#include "base/settings.h"
#include "leased/interference.h"
#include "leased/lease_overruns.h"
#include "leased/server.h"
#include "leased/speed_estimate.h"
#include "leased/wire_check.h"
#include "net/admin.h"
#include "net/link.h"
#include "roles/session.h"

/* A dispatcher that this agent runs tasks for. */
struct peer {
	uint64_t incarnation;
	char name[CF_NAME_SIZE];
	struct link *link; /* NULL while disconnected */
	struct cf_lease *lease; /* its runs may continue while it is held */
	bool lease_held;
	/* It has work for which it finds too little free capacity. Servers that
	 * join later need to know, too. */
	bool has_demand;
	int64_t lease_requested_ms; /* last lease request */
	uint64_t received; /* starts received on this connection */
	uint64_t sent_digest; /* of the last states sent; 0: none */
	GHashTable *sent_slowdowns; /* server -> struct sent_slowdowns */
	/* The report that is being filled has new slowdowns or classes. */
	bool slowdowns_due;
	GArray *results; /* struct run_result, not yet sent */
	GQueue *recent; /* struct recent_result, newest last */
	int64_t disconnected_ms; /* 0 while connected */
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
	/* Runs while scarce capacity is offered to dispatchers in turn. */
	struct loop_timer *turn_timer;
	struct link_hub *hub;
	struct session *session;
	struct admin *admin;
	struct http_server *control;
	struct http_client *client;
	char data_centre[CF_NAME_SIZE];
	/* By this time, runs started by an earlier agent process have ended. */
	int64_t previous_runs_end_ms;
	/* Of the process's start, on the monotonic clock and as time of day. */
	int64_t started_ms, started_wall_ms;
	GHashTable *servers; /* name -> struct server */
	GHashTable *speeds; /* name -> struct agent_speed */
	GHashTable *interferences; /* server -> struct server_interference */
	struct agent_losses *losses;
	GHashTable *peers; /* incarnation -> struct peer */
	bool in_service;
	gint stopping, idle; /* atomic */
	struct counter *reports, *bad_reports, *bad_orders, *cancels_passed_on,
		*lost_leases, *runs_gauge;
	struct wire_faults order_faults;
	struct lease_overruns *overruns;
};

/* ---- Dispatchers (agent_peers.c) ------------------------------------ */

extern const struct link_handlers agent_link_handlers;

void agent_collect_results(struct leased_agent *a, struct server *server);
void agent_request_leases(struct leased_agent *a, int64_t now_ms);
/* Stops the runs of dispatchers whose lease has ended. */
void agent_expire_leases(struct leased_agent *a, int64_t now_ms);
void agent_free_peer(gpointer peer);

/* ---- Speeds of servers (agent_speeds.c) ----------------------------- */

void agent_free_speed(gpointer speed);
/* Counts a run that has ended at this server. */
void agent_count_speed(struct leased_agent *a, const struct server *server,
		       const struct run_result *result, int64_t now_ms);
/* Considers the runs in progress, logs changes and sets the gauges. */
void agent_update_speeds(struct leased_agent *a, int64_t now_ms);
void agent_get_speed(const struct leased_agent *a, const char *server,
		     int64_t now_ms, struct speed *speed);
/* As speed_estimate_step. */
int32_t agent_speed_step(const struct leased_agent *a, const char *server,
			 int64_t now_ms);

/* ---- Reports to dispatchers (agent_reports.c) -------------------------- */

bool agent_accepts(const struct leased_agent *a, const struct server *server,
		   int64_t now_ms);
/* Sends new results, and server states that have changed. */
void agent_send_reports(struct leased_agent *a, int64_t now_ms);
void agent_set_demand(struct leased_agent *a, struct peer *p, bool has_demand);
/* Stops offering scarce capacity to this dispatcher. */
void agent_remove_participant(struct leased_agent *a, uint64_t dispatcher);

/* ---- Crashes of the server (agent_losses.c) ------------------------- */

struct agent_losses *agent_create_losses(void);
/* Takes over the runs that were lost with the server since the last call. */
void agent_count_losses(struct leased_agent *a, struct server *server,
			int64_t now_ms);
/* Adds what the last crash ended to a state, unless that is long ago. */
void agent_fill_losses(const struct leased_agent *a, int64_t now_ms,
		       Cfw__ServerState *state);
void agent_clear_losses(Cfw__ServerState *state);
/* Number of crashes with losses so far. */
uint32_t agent_count_crashes(const struct leased_agent *a);

/* ---- Interference (agent_interference.c) ----------------------------- */

GHashTable *agent_create_interferences(void);
/* Counts a result, before it is removed from what runs. */
void agent_count_result(struct leased_agent *a, struct server *server,
			const struct run_result *result, int64_t now_ms);
/* Takes over what runs at the server now. */
void agent_track_runs(struct leased_agent *a, struct server *server,
		      int64_t now_ms);
/* Adds classes and slowdowns to a state, if any pair is suspected. */
void agent_fill_interference(const struct leased_agent *a, struct peer *p,
			     int64_t now_ms, Cfw__ServerState *state);
/* The report with the filled states was sent. */
void agent_slowdowns_sent(struct peer *p, int64_t now_ms);
void agent_clear_interference(Cfw__ServerState *state);

/* ---- Cancels (agent_cancels.c) -------------------------------------- */

/* Passes the cancel of a job, or a reply to one, on to another dispatcher.
 * Returns false if it is another message. */
bool agent_pass_cancel_on(struct leased_agent *a, const struct peer *from,
			  const Cfw__Envelope *received);

#endif
