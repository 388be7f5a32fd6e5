/*
 * dispatcher_internal: state and functions shared by the files of the leased
 * dispatcher process. One loop thread owns all of it; HTTP threads post to
 * the loop.
 */
#ifndef LEASED_DISPATCHER_INTERNAL_H
#define LEASED_DISPATCHER_INTERNAL_H

#include "base/counters.h"
#include "base/settings.h"
#include "leased/agent_subset.h"
#include "leased/cancel_rounds.h"
#include "leased/dispatch.h"
#include "leased/drain.h"
#include "leased/routes.h"
#include "leased/routes_reader.h"
#include "leased/start_hold.h"
#include "leased/wire_check.h"
#include "net/admin.h"
#include "net/link.h"
#include "roles/session.h"

#define VERDICT_COUNT 4
#define ANSWER_BUCKETS 10

/* An agent of the roster, with its connection if it is in the subset, and the
 * orders to send in this iteration of the loop. */
struct agent_link {
	struct leased_dispatcher *dispatcher;
	char *address;
	char *data_centre;
	struct link *link; /* NULL: not in the subset */
	int64_t dial_started_ms; /* 0 while connected */
	int64_t unselected_ms; /* when it left the subset; 0: is in it */
	uint64_t incarnation; /* of the agent last connected; 0: none */
	bool listed; /* on the newest roster */
	int64_t unlisted_ms;
	GPtrArray *starts; /* Cfw__RunStart, owned */
	GPtrArray *stops; /* Cfw__RunStop, owned */
	bool flush_due;
	bool sent_has_demand; /* value last sent to the agent */
};

struct leased_dispatcher {
	struct dispatch_sink sink; /* first member */
	const struct settings *settings;
	const struct formats *formats;
	uint64_t incarnation;
	struct loop *loop;
	GThread *thread;
	struct loop_timer *tick;
	struct link_hub *hub;
	struct session *session;
	struct admin *admin;
	struct http_server *http;
	struct dispatch *dispatch;
	struct start_hold *start_hold; /* jobs that wait for the start */
	struct dispatcher_cancels *cancels;
	char *address; /* where other dispatchers reach this one */
	struct routes *routes; /* NULL: none yet */
	struct routes_reader *routes_reader;
	uint64_t read_version; /* of the newest routes given to the reader */
	GPtrArray *links; /* struct agent_link */
	struct agent_subset *subset; /* the agents to connect to */
	int64_t selected_ms; /* when the subset was last selected */
	/* When a lease from the coordinators was last held, or a configuration
	 * last received. */
	int64_t coordinator_contact_ms;
	int64_t gauges_set_ms;
	/* Already in the counters. */
	uint64_t counted_late_jobs, counted_lost_runs, counted_crashing_jobs,
		counted_doubtful_jobs;
	bool was_ready;
	struct drain drain; /* valid while draining */
	bool draining;
	gint stopping; /* atomic */
	struct counter *verdicts[VERDICT_COUNT];
	struct counter *answer_buckets[VERDICT_COUNT][ANSWER_BUCKETS];
	struct counter *answer_sum_ms[VERDICT_COUNT];
	struct counter *no_route, *unready, *malformed, *bad_entries;
	struct wire_faults report_faults;
	struct counter *held_total, *held, *too_late;
	struct counter *late_jobs, *late_waiting, *lost_runs, *crashing_jobs,
		*doubtful_jobs;
	struct counter *jobs, *waiting, *sent, *servers, *usable, *free_milli;
	struct counter *remembered_jobs;
	struct counter *speeds_known;
	struct counter *agents_wanted, *agents_listed;
	struct counter *routes_version, *interfering_pairs;
	struct counter *contained_classes, *suspect_tasks;
	struct counter *crashes_explained;
	uint64_t counted_crashes_explained; /* already in the counter */
};

/* ---- Agents (dispatcher_agents.c) ----------------------------------- */

extern const struct link_handlers dispatcher_link_handlers;

void dispatcher_send_start(struct dispatch_sink *sink, uint64_t agent,
			   const struct start_command *command);
void dispatcher_send_stop(struct dispatch_sink *sink, uint64_t agent,
			  const struct run_name *name);
void dispatcher_send_demand(struct dispatch_sink *sink, bool has_demand);
/* Counts and logs an entry of another process's message that can't be used;
 * true if there is no such field. */
bool dispatcher_is_usable(struct leased_dispatcher *d, const struct link *link,
			  const char *entry, const char *unusable_field);
void dispatcher_apply_roster(struct leased_dispatcher *d,
			     const Cfw__Roster *roster);
void dispatcher_drop_unlisted(struct leased_dispatcher *d, int64_t now_ms);
/* Connects to the agents of the subset and closes other connections. */
void dispatcher_select_agents(struct leased_dispatcher *d, int64_t now_ms);
void dispatcher_adjust_subset(struct leased_dispatcher *d, int64_t now_ms);
/* Connects for a few seconds if the agent isn't in the subset. */
void dispatcher_connect_agent(struct leased_dispatcher *d, struct agent_link *a,
			      int64_t now_ms);
/* Number of agents to be connected to. */
uint32_t dispatcher_count_selected(const struct leased_dispatcher *d);

/* ---- Cancels (dispatcher_cancels.c) --------------------------------- */

struct dispatcher_cancels *
dispatcher_cancels_create(struct leased_dispatcher *d);
void dispatcher_cancels_apply_roster(struct dispatcher_cancels *c,
				     const Cfw__Roster *roster);
/* Cancels a job here and passes the cancel on to the other dispatchers. The
 * caller is answered with dispatcher_answer_cancel(). */
void dispatcher_cancels_request(struct dispatcher_cancels *c, const char *id,
				void *caller, int64_t deadline_ms);
void dispatcher_cancels_tick(struct dispatcher_cancels *c, int64_t now_ms);
/* Answers all callers before the process exits. */
void dispatcher_cancels_abort(struct dispatcher_cancels *c);
/* For connections that are neither to a coordinator nor to an agent; messages
 * of agents as well. */
void dispatcher_cancels_up(struct dispatcher_cancels *c, struct link *link);
void dispatcher_cancels_down(struct dispatcher_cancels *c, struct link *link);
void dispatcher_cancels_message(struct dispatcher_cancels *c, struct link *link,
				const Cfw__Envelope *envelope);

/* ---- States of servers (dispatcher_states.c) ------------------------ */

/* Takes over what an agent reports about a server. */
void dispatcher_apply_state(struct leased_dispatcher *d,
			    const struct agent_link *a,
			    const Cfw__ServerState *from);
/* Sets the metrics of containment. */
void dispatcher_count_losses(struct leased_dispatcher *d,
			     const struct dispatch_load *load);

/* ---- Callers (dispatcher_http.c) ------------------------------------ */

bool dispatcher_start_http(struct leased_dispatcher *d,
			   const struct door_limits *limits, GError **error);
void dispatcher_send_answer(struct dispatch_sink *sink, void *caller,
			    const struct job_answer *answer);
/* Stops a job that was here at that time. Returns false if it isn't in
 * progress. */
bool dispatcher_cancel_here(struct leased_dispatcher *d, const char *id,
			    int64_t asked_ms);
void dispatcher_answer_cancel(void *caller, enum cancel_verdict verdict);
/* Serves or refuses the held jobs whose wait is over. */
void dispatcher_release_held(struct leased_dispatcher *d);
/* Why requests can't be served now; NULL if they can. */
const char *dispatcher_unready_reason(const struct leased_dispatcher *d,
				      int64_t now_ms);

#endif
