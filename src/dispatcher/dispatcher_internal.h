/*
 * dispatcher_internal: what the files of the dispatcher share. Threads
 * of the HTTP server parse requests against the board, which is read
 * under RCU; all else belongs to the loop thread.
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

struct task_spec {
	GBytes *payload; /* JSON text */
	uint32_t cpu_milli, memory_mb, accelerators;
	uint32_t declared_ms; /* 0: none */
	uint32_t predicted_ms; /* set at placement */
	uint64_t agent; /* where it is, while sent_ms is set */
	int64_t sent_ms; /* 0: at no agent */
	bool counted; /* the admitter has it as placed */
	bool overdue; /* its health was told so */
};

/* A caller's job as it was read and found valid. */
struct job_request {
	struct cf_key key;
	char class_name[CF_NAME_SIZE];
	char team[CF_NAME_SIZE];
	uint32_t deadline_ms;
	GArray *tasks; /* struct task_spec */
	GBytes *body; /* as it came, to pass on */
	uint64_t body_hash;
};

/* Why a request was not taken. */
struct request_error {
	uint32_t status;
	const char *reason;
	char message[200];
};

/* What threads of the HTTP server may read; replaced, never changed. */
struct request_config_snapshot {
	GHashTable *classes; /* set of names */
	uint32_t tasks_max;
	uint32_t deadline_ms; /* of jobs that name none */
	bool ready; /* a configuration is known */
};

struct request_config {
	struct request_config_snapshot *snapshot; /* RCU */
	gint stopping; /* atomic */
};

void request_config_publish(struct request_config *request_config,
			    const struct cf_config *config,
			    const struct settings *settings); /* loop thread */
void request_config_destroy(struct request_config *request_config);

/* dispatcher_request.c, any thread. */
struct job_request *request_parse(struct request_config *request_config,
				  const char *key, const void *body,
				  size_t size_bytes,
				  struct request_error *error);
void request_free(struct job_request *request);

/* ---- Jobs ---- */

enum dispatcher_job_phase {
	JOB_PHASE_CLAIMING,
	JOB_PHASE_FORWARDED, /* the owner answers */
	JOB_PHASE_ADOPTING, /* the owner is dead */
	JOB_PHASE_PLACING, /* some task is not placed */
	JOB_PHASE_RUNNING,
	JOB_PHASE_STOPPING, /* waits for agents' fences */
	JOB_PHASE_ENDED, /* the answer is remembered */
};

/* Who waits for an answer: a caller here, or another dispatcher. */
struct waiter {
	struct http_request *request;
	uint64_t peer; /* incarnation of a dispatcher */
	uint64_t seq;
};

struct answer {
	uint32_t status;
	uint32_t retry_after_ms;
	bool ran_none; /* a resubmission may run it */
	GBytes *body;
};

/* An agent that would not start a task is not asked again for a while. */
struct refusal {
	uint64_t agent;
	uint32_t index;
	int64_t end_ms;
};

struct adoption; /* dispatcher_adopt.c */

struct dispatcher_job {
	struct cf_key key;
	uint64_t number; /* of this attempt */
	enum dispatcher_job_phase phase;
	struct job_request *request; /* NULL once ended */
	struct cf_job *job;
	GArray *waiters; /* struct waiter */
	int64_t arrived_ms, deadline_ms;
	/* claim */
	struct cf_ballot *ballot;
	uint64_t ballot_view; /* the newest that it counts */
	uint64_t claim_seq;
	int64_t claim_ms;
	uint32_t epoch;
	int64_t claim_begin_ms;
	bool later_votes_possible; /* from a voter that gave none */
	GArray *prior_owners; /* uint64_t, of the epochs before */
	bool owned; /* this dispatcher has the claim */
	struct adoption *adoption;
	uint64_t forwarded_to; /* incarnation */
	uint64_t forward_seq; /* 0: waits for a connection to it */
	int64_t forward_ms; /* it waits since then */
	/* placement */
	bool admitted, started, gated;
	struct cf_admit_job admit;
	GArray *refusals; /* struct refusal */
	uint32_t moves;
	int64_t retry_ms; /* not placed before */
	int64_t overdue_check_ms; /* when its tasks were last looked at */
	int64_t stop_ms;
	uint32_t stop_status;
	const char *stop_reason;
	/* end */
	struct answer answer;
	uint64_t body_hash;
	int64_t ended_ms;
	GList *memory; /* its place among the remembered */
};

/* ---- Agents ---- */

struct dispatcher_agent {
	uint64_t incarnation;
	char *name;
	char *address;
	struct link *link;
	size_t position; /* in dispatcher.places */
	Cfw__Load load;
	bool listed; /* on the newest roster */
	bool draining;
	uint64_t sent; /* tasks */
	uint32_t unreported_ms; /* predicted, of sends the load lacks */
	struct cf_capacity own_usage; /* by this dispatcher's tasks */
	uint32_t own_tasks; /* unsettled */
	int64_t disconnected_since_ms; /* when the connection went, 0: it is up
					*/
	GHashTable *jobs; /* set of struct djob with unsettled tasks here */
};

struct peer {
	uint64_t incarnation;
	char *address;
	struct link *link;
	bool listed;
};

struct dispatcher_counters {
	struct counter *jobs, *complete, *failed, *not_run, *resubmitted;
	struct counter *claims, *forwards, *adoptions, *moves, *queries;
	struct counter *cancels, *crossed, *forgotten, *tasks_sent;
	struct counter *in_progress, *waiting, *agents, *usable, *slots;
};

struct dispatcher {
	const struct settings *settings;
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

	GHashTable *jobs; /* struct cf_key -> struct djob */
	GPtrArray *active; /* struct djob that have not ended */
	GQueue *memory; /* ended djobs, oldest first */
	uint64_t memory_bytes;
	struct cf_ledger *forgotten; /* keys that ran here, unremembered */
	uint64_t next_number, next_seq;

	GPtrArray *claims; /* djobs to claim in this turn */
	bool claim_flush_posted;

	GHashTable *agents; /* incarnation -> struct dagent */
	GArray *placement_agents; /* struct cf_place_agent, by dagent.position
				   */
	GPtrArray *agents_by_position; /* struct dagent, the same order */
	GPtrArray *waiting; /* djobs with unplaced tasks */
	bool placement_posted;
	GHashTable *peers; /* incarnation -> struct peer */
	GHashTable
		*inbound_links; /* incarnation -> struct link of a dispatcher */
	GHashTable *lookups; /* seq -> struct lookup */
	int64_t first_roster_ms; /* of the first roster, 0 none */

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
void answer_send(struct dispatcher *d, const struct waiter *waiter,
		 const struct answer *answer);
/* An answer that is no job's. */
void answer_failed(struct dispatcher *d, const struct waiter *waiter,
		   uint32_t status, enum cf_job_answer outcome,
		   const char *reason, const char *message,
		   uint32_t retry_after_ms);

/* dispatcher_jobs.c: from submission to answer. */
void jobs_submit(struct dispatcher *d, struct job_request *request,
		 const struct waiter *waiter);
void jobs_cancel(struct dispatcher *d, const struct cf_key *key,
		 const struct waiter *waiter);
void jobs_look_up(struct dispatcher *d, const struct cf_key *key,
		  const struct waiter *waiter);
struct dispatcher_job *jobs_find(struct dispatcher *d,
				 const struct cf_key *key);
void jobs_finish(struct dispatcher *d, struct dispatcher_job *j,
		 uint32_t status, enum cf_job_answer outcome,
		 const char *reason, const char *message,
		 uint32_t retry_after_ms);
void jobs_finish_forwarded(struct dispatcher *d, struct dispatcher_job *j,
			   uint32_t status, uint32_t retry_after_ms,
			   const void *body, size_t size);
void jobs_stop(struct dispatcher *d, struct dispatcher_job *j, uint32_t status,
	       const char *reason); /* no more starts; ends soon */
void jobs_finish_if_ended(struct dispatcher *d,
			  struct dispatcher_job *j); /* ended? */
void jobs_tick(struct dispatcher *d, int64_t now_ms);
void jobs_free(gpointer job);
void jobs_admit(struct dispatcher *d,
		struct dispatcher_job *j); /* claim is won */

/* dispatcher_memory.c: answers kept, and keys whose answer is not. */
void memory_add(struct dispatcher *d, struct dispatcher_job *j, int64_t now_ms);
void memory_drop(struct dispatcher *d,
		 struct dispatcher_job *j); /* frees the job */
bool memory_answer_dropped(struct dispatcher *d, const struct cf_key *key);
void memory_tick(struct dispatcher *d, int64_t now_ms);

/* dispatcher_claim.c */
void claim_begin(struct dispatcher *d, struct dispatcher_job *j);
void claim_wait_for_lease(struct dispatcher *d, struct dispatcher_job *j,
			  int64_t now_ms);
void claim_discard(struct dispatcher *d,
		   struct dispatcher_job *j); /* no more votes */
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
void place_add(struct dispatcher *d,
	       struct dispatcher_job *j); /* has unplaced tasks */
void place_remove(struct dispatcher *d, struct dispatcher_job *j);
void place_schedule(struct dispatcher *d); /* pump in this turn */
void place_waiting_jobs(struct dispatcher *d);
void place_predict(struct dispatcher *d,
		   struct dispatcher_job *j); /* for admission too */
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
void agents_count_placed(struct dispatcher *d, struct dispatcher_job *j,
			 struct task_spec *task); /* with the admitter */
void agents_count_ended(struct dispatcher *d, struct dispatcher_job *j,
			uint32_t index);
void agents_report_overdue(struct dispatcher *d, struct dispatcher_job *j,
			   int64_t now_ms);
void agents_free(gpointer agent);

/* dispatcher_settle.c: what agents say of tasks. */
void settle_results(struct dispatcher *d, struct link *link,
		    const Cfw__Results *results);
void settle_query_reply(struct dispatcher *d, struct link *link,
			const Cfw__QueryReply *reply);
void settle_send_query(struct dispatcher *d, struct dispatcher_agent *a,
		       struct dispatcher_job *j);
void settle_agent_lost(struct dispatcher *d, struct dispatcher_agent *a);
void settle_send_cancel(struct dispatcher *d,
			struct dispatcher_job *j); /* at all agents */
void settle_send_open(struct dispatcher *d, struct dispatcher_job *j);

/* dispatcher_peer.c: other dispatchers. */
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
