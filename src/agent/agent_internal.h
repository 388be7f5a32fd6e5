/*
 * agent_internal: types and functions shared by the files of the agent.
 * The loop thread owns all state. Announcements are the exception: they
 * arrive on a thread of the HTTP server and are posted to the loop.
 */
#ifndef ROLES_AGENT_INTERNAL_H
#define ROLES_AGENT_INTERNAL_H

#include "chervilferry.h"
#include "net/admin.h"
#include "net/http_client.h"
#include "net/link.h"
#include "roles/role.h"
#include "roles/session.h"

#include <apr_thread_proc.h>

/* Task outcomes are kept for as long as a claim may refer to their keys. */
#define AGENT_OUTCOME_RETENTION_MS (CF_LEDGER_HORIZON_MS + CF_CLOCK_SKEW_MS)

struct task_id {
	struct cf_key key;
	uint32_t index;
};

/* The tasks of one Dispatch. Their results are sent in one message. */
struct batch {
	uint64_t dispatcher;
	uint64_t job;
	struct cf_key key;
	uint32_t pending; /* tasks without a result */
	GPtrArray *results; /* Cfw__Result, owned */
};

/* The outcome of a task that ended or will never start. */
struct task_end {
	Cfw__TaskOutcome outcome;
	GBytes *result; /* borrowed, or NULL */
	const char *message; /* or NULL */
	uint32_t run_ms;
	uint32_t queued_ms;
};

/* A dispatcher that has connected or sent a message, by incarnation. */
struct dispatch_sender {
	uint64_t incarnation;
	GPtrArray *links; /* connections that are up, oldest first */
	struct link *link; /* connection in use, or NULL */
	uint64_t received; /* tasks received on link */
	struct {
		uint32_t outstanding_tasks; /* running and queued */
		bool full, accepting;
	} reported; /* the load that was last sent to it */
	int64_t reported_ms; /* 0: none sent on this connection */
};

/* State that decides whether the agent accepts and starts tasks. */
struct agent_admission {
	struct cf_capacity capacity;
	char *backend_url; /* NULL before the first announcement */
	int64_t announced_ms;
	bool backend_leaving;
	bool backend_refused; /* connection refused since last announced */
	bool stopping;
	bool fenced;
};

struct agent_counters {
	struct counter *offered, *started, *done, *failed, *fenced;
	struct counter *unstarted, *queries, *cancels, *dropped;
	struct counter *running, *queued;
};

struct agent {
	const struct settings *settings;
	struct door_limits doors[DOOR_COUNT];
	uint64_t incarnation;
	struct loop *loop;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct link_hub *hub;
	struct session *session;
	struct admin *admin;
	struct http_server *backend_server;
	struct http_client *client;
	struct cf_gate *gate;
	struct agent_admission admission;
	GHashTable *batches; /* struct task_id -> struct batch */
	GHashTable *senders; /* incarnation -> struct dispatch_sender */
	struct loop_timer *timer;
	struct agent_counters counters;
	uint16_t port, backend_port;
	gint in_progress; /* tasks with an unsent result, atomic */
	gint session_left; /* atomic */
	gint dispatches; /* Dispatch messages received, atomic */
	gint backend_calls; /* announcements being handled, atomic */
};

/* agent_tasks.c: handles messages from dispatchers and starts tasks. */
void agent_handle_dispatch(struct agent *agent, struct link *link,
			   const Cfw__Dispatch *dispatch);
void agent_handle_open(struct agent *agent, const Cfw__Open *open);
void agent_handle_cancel(struct agent *agent, struct link *link,
			 const Cfw__Cancel *cancel);
void agent_handle_query(struct agent *agent, struct link *link,
			const Cfw__Query *query);
/* Starts the tasks that may start and fences those that never can. */
void agent_process_gate(struct agent *agent);
void agent_fence_dispatchers(struct agent *agent);

/* agent_results.c: collects task outcomes into one Results message. */
struct batch *agent_batch_create(uint64_t dispatcher, uint64_t job,
				 const struct cf_key *key);
void agent_batch_free(gpointer batch);
void agent_add_result(struct batch *batch, uint32_t index,
		      const struct task_end *end);
void agent_send_results(struct agent *agent, struct batch *batch);
void agent_flush_batch(struct agent *agent,
		       struct batch *batch); /* sends if none is waited for */
void agent_task_ended(struct agent *agent, const struct cf_key *key,
		      uint32_t index, const struct task_end *end);
struct dispatch_sender *agent_get_sender(struct agent *agent,
					 uint64_t incarnation);
void agent_sender_free(gpointer sender);
guint agent_task_id_hash(gconstpointer name);
gboolean agent_task_id_equal(gconstpointer a, gconstpointer b);

/* agent_load.c: load reports to dispatchers. */
void agent_fill_load(struct agent *agent, struct dispatch_sender *sender,
		     Cfw__Load *load);
void agent_report_load(struct agent *agent,
		       struct dispatch_sender *sender); /* if one is due */
void agent_report_loads(struct agent *agent);

/* agent_backend.c: the backend server on this host. */
bool agent_backend_open(struct agent *agent, GError **error);
void agent_backend_call(struct agent *agent, const struct cf_task *task);
bool agent_is_accepting(const struct agent *agent, int64_t now_ms);
void agent_update_draining(struct agent *agent);

#endif
