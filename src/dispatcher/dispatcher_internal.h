/*
 * dispatcher_internal: types and functions shared by the files of the
 * dispatcher. Threads of the HTTP server parse requests against the request
 * configuration, which they read under RCU. Only the loop thread uses
 * everything else.
 */
#ifndef ROLES_DISPATCHER_INTERNAL_H
#define ROLES_DISPATCHER_INTERNAL_H

#include "chervilferry.h"
#include "net/admin.h"
#include "net/link.h"
#include "roles/role.h"
#include "roles/session.h"

#include <apr_thread_proc.h>

/* ---- Requests ---- */

/* A task of a job and where it runs at present. */
struct task_spec {

	GBytes *payload; /* JSON text */
	uint32_t cpu_milli, memory_mb, accelerators;
	uint32_t declared_ms; /* run time stated by the caller, 0 if none */
	uint32_t predicted_ms; /* set before admission and placement */
	uint64_t agent; /* incarnation; valid while sent_ms is set */
	int64_t sent_ms; /* 0 if no agent has the task */
	bool placement_counted; /* reported to the admitter */
	bool overdue_reported; /* to the agent's health record */
};

/* A job that was parsed from a caller's request and is valid. */
struct job_request {
	struct cf_key key;
	char class_name[CF_NAME_SIZE];
	char team[CF_NAME_SIZE];
	uint32_t deadline_ms;
	GArray *tasks; /* struct task_spec */
	GBytes *body; /* unparsed, forwarded to other dispatchers */
	uint64_t body_hash;
};

/* Why a request was refused. */
struct request_error {
	uint32_t status;
	const char *reason;
	char message[200];
};

/* Configuration that the threads of the HTTP server read. It is never modified;
 * a new configuration replaces it. */
struct request_config_snapshot {
	GHashTable *classes; /* set of names */
	uint32_t tasks_max;
	uint32_t deadline_ms; /* default for jobs without a deadline */
	bool ready; /* the dispatcher has a configuration */
};

struct request_config {
	struct request_config_snapshot *snapshot; /* protected by RCU */
	gint stopping; /* atomic */
};

/* Called on the loop thread only. */
void request_config_publish(struct request_config *request_config,
			    const struct cf_config *config,
			    const struct settings *settings);
void request_config_destroy(struct request_config *request_config);

/* dispatcher_request.c; callable from any thread. */
struct job_request *request_parse(struct request_config *request_config,
				  const char *key, const void *body,
				  size_t size_bytes,
				  struct request_error *error);
void request_free(struct job_request *request);

/* ---- Jobs ---- */

enum dispatcher_job_phase {
	JOB_PHASE_CLAIMING,
	JOB_PHASE_FORWARDED, /* the key's owner will answer */
	JOB_PHASE_ADOPTING, /* takes the key over from a failed owner */
	JOB_PHASE_PLACING, /* at least one task is not placed */
	JOB_PHASE_RUNNING,
	JOB_PHASE_STOPPING, /* waits until agents fence its tasks */
	JOB_PHASE_ENDED, /* only the answer is kept */
};

/* Receiver of an answer: an HTTP caller or another dispatcher. */
struct waiter {
	struct http_request *request; /* NULL if the receiver is a peer */
	uint64_t peer; /* incarnation of a dispatcher */
	uint64_t seq; /* of the peer's request */
};

struct answer {
	uint32_t status;
	uint32_t retry_after_ms;
	bool ran_none; /* no task ran, so a resubmission may run it */
	GBytes *body;
};

/* An agent that did not start a task does not get it again until end_ms. */
struct refusal {
	uint64_t agent;
	uint32_t index;
	int64_t end_ms;
};

struct adoption; /* dispatcher_adopt.c */

struct dispatcher_job {
	struct cf_key key;
	uint64_t number; /* identifies this attempt to agents */
	enum dispatcher_job_phase phase;
	struct job_request *request; /* NULL after the end */
	struct cf_job *job;
	GArray *waiters; /* struct waiter */
	int64_t arrived_ms, deadline_ms;
	/* Claim of the key */
	struct cf_ballot *ballot;
	uint64_t ballot_view; /* newest view counted in the ballot */
	uint64_t claim_seq;
	int64_t claim_ms;
	uint32_t epoch;
	int64_t claim_begin_ms;
	bool later_votes_possible; /* a missing vote may still come */
	GArray *prior_owners; /* uint64_t, owners of earlier epochs */
	bool owned; /* this dispatcher holds the claim */
	struct adoption *adoption;
	uint64_t forwarded_to; /* incarnation of the owner */
	uint64_t forward_seq; /* 0 if not sent for lack of a connection */
	int64_t forward_ms; /* start of the wait for a connection */
	/* Placement */
	bool admitted, started;
	bool gated; /* agents hold its tasks until the claim is won */
	struct cf_admit_job admit;
	GArray *refusals; /* struct refusal */
	uint32_t moves; /* tasks placed again after an agent's refusal */
	int64_t retry_ms; /* earliest time of the next placement */
	int64_t overdue_check_ms; /* last search for overdue tasks */
	int64_t stop_ms;
	uint32_t stop_status;
	const char *stop_reason;
	/* End */
	struct answer answer;
	uint64_t body_hash;
	int64_t ended_ms;
	GList *memory; /* link in dispatcher.memory */
};

/* ---- Agents ---- */

struct dispatcher_agent {
	uint64_t incarnation;
	char *name;
	char *address;
	struct link *link;
	size_t position; /* in dispatcher.placement_agents */
	Cfw__Load load;
	bool listed; /* is on the newest roster */
	bool draining;
	uint64_t sent; /* tasks sent on this connection */
	/* Predicted run time of sent tasks that load does not include. */
	uint32_t unreported_ms;
	struct cf_capacity own_usage; /* by this dispatcher's tasks */
	uint32_t own_tasks; /* pending tasks of this dispatcher */
	int64_t disconnected_since_ms; /* 0 while the connection is up */
	/* Set of struct dispatcher_job with pending tasks here. */
	GHashTable *jobs;
};

/* Another dispatcher on the roster. */
struct peer {
	uint64_t incarnation;
	char *address;
	struct link *link;
	bool listed;
};

struct dispatcher_counters {
	struct counter *jobs, *complete, *failed, *not_run, *resubmitted;
	struct counter *claims, *forwards, *adoptions, *moves, *queries;
	struct counter *cancels, *crossed, *dropped_answers, *tasks_sent;
	struct counter *in_progress, *waiting, *agents, *usable, *slots;
};

struct dispatcher {
	const struct settings *settings;
	struct door_limits doors[DOOR_COUNT];
	uint64_t incarnation;
	struct loop *loop;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct link_hub *hub;
	struct session *session;
	struct admin *admin;
	struct http_server *http;
	struct loop_timer *timer;
	struct request_config request_config;
	struct dispatcher_counters counters;
	uint16_t port;
	gint session_left, unanswered, quiesced; /* atomic */
	bool stopping, fenced, failed, claim_along, fifo;

	GHashTable *jobs; /* struct cf_key -> struct dispatcher_job */
	GPtrArray *active; /* struct dispatcher_job that have not ended */
	GQueue *memory; /* ended jobs with their answers, oldest first */
	uint64_t memory_bytes;
	struct cf_ledger *dropped_keys; /* keys whose answers were dropped */
	uint64_t next_number, next_seq;

	GPtrArray *claims; /* jobs to claim with the next request */
	bool claim_flush_posted;

	GHashTable *agents; /* incarnation -> struct dispatcher_agent */
	GArray *placement_agents; /* struct cf_place_agent */
	GPtrArray *agents_by_position; /* struct dispatcher_agent, same order */
	GPtrArray *waiting; /* jobs with unplaced tasks */
	bool placement_posted;
	GHashTable *peers; /* incarnation -> struct peer */
	/* incarnation -> struct link that another dispatcher opened */
	GHashTable *inbound_links;
	GHashTable *lookups; /* seq -> struct lookup */
	int64_t first_roster_ms; /* arrival of the first roster, 0 before it */

	struct cf_placer *placer;
	struct cf_predict *predict;
	struct cf_admitter *admitter;
	struct cf_health *health;
	struct cf_burn *burn;
	struct cf_retry_budget *retries;
};

/* dispatcher_http.c */
bool dispatcher_open_http(struct dispatcher *d, GError **error);
void dispatcher_add_routes(struct dispatcher *d);
GBytes *answer_body(struct dispatcher_job *j, enum cf_job_answer outcome,
		    const char *reason, const char *message,
		    uint32_t retry_after_ms);
/* Replies to the caller, or to the dispatcher that forwarded its request. */
void answer_send(struct dispatcher *d, const struct waiter *waiter,
		 const struct answer *answer);
/* Sends a failure that is not the recorded answer of a job. */
void answer_failed(struct dispatcher *d, const struct waiter *waiter,
		   uint32_t status, enum cf_job_answer outcome,
		   const char *reason, const char *message,
		   uint32_t retry_after_ms);

/* dispatcher_jobs.c: lifecycle of a job from submission to answer. */
void jobs_submit(struct dispatcher *d, struct job_request *request,
		 const struct waiter *waiter);
void jobs_cancel(struct dispatcher *d, const struct cf_key *key,
		 const struct waiter *waiter);
void jobs_look_up(struct dispatcher *d, const struct cf_key *key,
		  const struct waiter *waiter);
struct dispatcher_job *jobs_find(struct dispatcher *d,
				 const struct cf_key *key);
/* Ends a job, answers its waiters and keeps the answer if the key is owned. */
void jobs_finish(struct dispatcher *d, struct dispatcher_job *j,
		 uint32_t status, enum cf_job_answer outcome,
		 const char *reason, const char *message,
		 uint32_t retry_after_ms);
/* Ends a forwarded job with the owner's answer. */
void jobs_finish_forwarded(struct dispatcher *d, struct dispatcher_job *j,
			   uint32_t status, uint32_t retry_after_ms,
			   const void *body, size_t size);
/* Starts no more tasks, cancels those at agents and ends the job shortly. */
void jobs_stop(struct dispatcher *d, struct dispatcher_job *j, uint32_t status,
	       const char *reason);
/* Ends the job if its outcome is known. */
void jobs_finish_if_ended(struct dispatcher *d, struct dispatcher_job *j);
void jobs_tick(struct dispatcher *d, int64_t now_ms);
void jobs_free(gpointer job);
/* Admits or refuses a job whose claim is won. */
void jobs_admit(struct dispatcher *d, struct dispatcher_job *j);

/* dispatcher_memory.c: stored answers, and keys with dropped answers. */
void memory_add(struct dispatcher *d, struct dispatcher_job *j, int64_t now_ms);
void memory_drop(struct dispatcher *d, struct dispatcher_job *j); /* frees j */
/* True if the key ran here and its answer is no longer kept. */
bool memory_answer_dropped(struct dispatcher *d, const struct cf_key *key);
void memory_tick(struct dispatcher *d, int64_t now_ms);

/* dispatcher_claim.c */
void claim_begin(struct dispatcher *d, struct dispatcher_job *j);
void claim_wait_for_lease(struct dispatcher *d, struct dispatcher_job *j,
			  int64_t now_ms);
/* Ignores all further votes for the job. */
void claim_discard(struct dispatcher *d, struct dispatcher_job *j);
void claim_handle_reply(struct dispatcher *d, const Cfw__ClaimReply *reply);
void claim_tick(struct dispatcher *d, struct dispatcher_job *j, int64_t now_ms);

/* dispatcher_adopt.c */
void adopt_begin(struct dispatcher *d, struct dispatcher_job *j);
void adopt_claim_won(struct dispatcher *d, struct dispatcher_job *j);
void adopt_handle_reply(struct dispatcher *d, struct dispatcher_job *j,
			const Cfw__QueryReply *reply);
void adopt_tick(struct dispatcher *d, struct dispatcher_job *j, int64_t now_ms);
void adopt_free(struct adoption *adoption);

/* dispatcher_place.c */
/* Queues a job with unplaced tasks for placement. */
void place_add(struct dispatcher *d, struct dispatcher_job *j);
void place_remove(struct dispatcher *d, struct dispatcher_job *j);
/* Posts a run of place_waiting_jobs to the loop. */
void place_schedule(struct dispatcher *d);
void place_waiting_jobs(struct dispatcher *d);
/* Predicts run times, which placement and admission use. */
void place_predict(struct dispatcher *d, struct dispatcher_job *j);
bool place_ever_fits(struct dispatcher *d, const struct dispatcher_job *j);

/* dispatcher_agents.c */
void agents_apply_roster(struct dispatcher *d, const Cfw__Roster *roster);
void agents_apply_load(struct dispatcher *d, struct dispatcher_agent *a,
		       const Cfw__Load *load);
void agents_refresh(struct dispatcher *d, struct dispatcher_agent *a);
void agents_refresh_all(struct dispatcher *d);
bool agents_link_up(struct dispatcher *d, struct link *link);
bool agents_link_down(struct dispatcher *d, struct link *link);
bool agents_all_up(struct dispatcher *d);
void agents_tick(struct dispatcher *d, int64_t now_ms);
struct dispatcher_agent *agents_find(struct dispatcher *d,
				     uint64_t incarnation);
void agents_task_sent(struct dispatcher *d, struct dispatcher_agent *a,
		      struct dispatcher_job *j, struct task_spec *task);
void agents_task_settled(struct dispatcher *d, struct dispatcher_agent *a,
			 struct dispatcher_job *j, uint32_t index);
void agents_release_job(struct dispatcher *d, struct dispatcher_job *j);
/* Reports a placed task to the admitter, once. */
void agents_count_placed(struct dispatcher *d, struct dispatcher_job *j,
			 struct task_spec *task);
void agents_count_ended(struct dispatcher *d, struct dispatcher_job *j,
			uint32_t index);
void agents_report_overdue(struct dispatcher *d, struct dispatcher_job *j,
			   int64_t now_ms);
void agents_free(gpointer agent);

/* dispatcher_settle.c: results and queries of tasks at agents. */
void settle_results(struct dispatcher *d, struct link *link,
		    const Cfw__Results *results);
void settle_query_reply(struct dispatcher *d, struct link *link,
			const Cfw__QueryReply *reply);
void settle_send_query(struct dispatcher *d, struct dispatcher_agent *a,
		       struct dispatcher_job *j);
void settle_agent_lost(struct dispatcher *d, struct dispatcher_agent *a);
/* Cancels the job at all agents that have tasks of it. */
void settle_send_cancel(struct dispatcher *d, struct dispatcher_job *j);
/* Lets agents start tasks that were sent before the claim was won. */
void settle_send_open(struct dispatcher *d, struct dispatcher_job *j);

/* dispatcher_peer.c: messages between dispatchers. */
void peer_apply_roster(struct dispatcher *d, const Cfw__Roster *roster);
bool peer_forward(struct dispatcher *d, struct dispatcher_job *j,
		  uint64_t owner);
void peer_handle_forward(struct dispatcher *d, struct link *link,
			 const Cfw__Forward *forward);
void peer_handle_reply(struct dispatcher *d, const Cfw__ForwardReply *reply);
void peer_forward_tick(struct dispatcher *d, struct dispatcher_job *j,
		       int64_t now_ms);
void peer_link_up(struct dispatcher *d, struct link *link);
void peer_link_down(struct dispatcher *d, struct link *link);
bool peer_query_all(struct dispatcher *d, const struct cf_key *key,
		    uint32_t method, const struct waiter *waiter);
void peer_tick(struct dispatcher *d, int64_t now_ms);
struct link *peer_any_link(struct dispatcher *d, uint64_t incarnation);
bool peer_listed(struct dispatcher *d, uint64_t incarnation);
void peer_free(gpointer peer);
void peer_lookup_free(gpointer lookup);

#endif
