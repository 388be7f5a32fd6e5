/*
 * dispatch_internal: what the files of the dispatcher's decisions share.
 */
#ifndef LEASED_DISPATCH_INTERNAL_H
#define LEASED_DISPATCH_INTERNAL_H

#include "leased/dispatch.h"

#include <math.h>

/* ---- Rates ---------------------------------------------------------- */

/* An exponentially ageing sum of amounts a millisecond. */
#define ARRIVAL_PERIOD_MS 1000 /* over which arriving work is measured */

struct rate {
	double per_ms;
	int64_t updated_ms;
};

void rate_add(struct rate *rate, double amount, double period_ms,
	      int64_t now_ms);
double rate_now(const struct rate *rate, double period_ms, int64_t now_ms);

/* ---- Servers -------------------------------------------------------- */

struct dispatch_server {
	uint64_t id; /* for health */
	struct dispatch_agent *agent; /* NULL: it is gone, and this one too */
	struct server_state state;
	int64_t pending_cpu_milli, pending_memory_mb; /* sent, not yet told */
	uint32_t own_runs;
	int64_t own_cpu_milli;
	/* Counted anew in each tick: one job's tasks take alike, so they are
	 * no evidence beside each other. */
	uint32_t jobs, late_jobs; /* with runs here; far beyond prediction */
	const struct dispatch_job *last_counted_job,
		*last_late_job; /* the last of each */
	int64_t last_success_ms; /* when one last ended well */
	int64_t last_start_ms; /* when a task was last sent there */
	bool reported; /* by the report that is being read */
};

struct unacked_start {
	uint64_t position; /* of the start among those sent to the agent */
	struct dispatch_server *server;
	uint32_t cpu_milli, memory_mb;
};

struct dispatch_agent {
	struct agent_identity identity;
	GPtrArray *servers; /* struct dserver */
	bool connected;
	bool lease_stale; /* it has asked for no lease for long */
	int64_t disconnected_ms; /* when it went down */
	int64_t lease_granted_ms; /* newest lease that it may hold began then */
	uint64_t starts_sent; /* starts on this connection */
	GQueue *unacked_starts; /* struct unconfirmed, oldest first */
};

/* ---- Jobs ----------------------------------------------------------- */

enum dispatch_task_state {
	DISPATCH_TASK_WAITING,
	DISPATCH_TASK_SENT,
	DISPATCH_TASK_DONE,
};

struct dispatch_task {
	uint32_t index;
	enum dispatch_task_state state;
	uint32_t number; /* of the newest start */
	uint32_t failures, moves;
	bool stopping; /* a stop was sent */
	bool overdue_reported;
	struct dispatch_server *server; /* DISPATCH_TASK_SENT */
	uint64_t avoided_server; /* server that it was moved away from */
	int64_t sent_ms;
	GArray *failed_on; /* uint64_t ids of servers, or NULL */
};

/* Work is processors times run time: thousandths of a processor x ms. */
struct dispatch_class {
	char name[CF_NAME_SIZE];
	GSequence *queue; /* struct djob with waiting tasks, urgent first */
	struct rate arrival_rate; /* work that arrives, a ms */
	double queued_work; /* of waiting tasks */
	double running_work; /* of tasks at servers, as predicted */
	int64_t running_cpu_milli;
	double virtual_time; /* work started, divided by the class's share */
	uint32_t unsent_jobs;
};

struct dispatch_job {
	char id[LEASED_JOB_SIZE];
	struct route route;
	struct job_spec spec;
	struct dispatch_class *class;
	GPtrArray *callers;
	int64_t arrived_ms, deadline_ms;
	int64_t target_start_ms; /* the last task should start before */
	uint32_t predicted_ms;
	uint32_t slowest_ms; /* of its tasks that have ended well; 0: none */
	struct dispatch_task *tasks;
	uint32_t n_waiting, n_sent, n_done;
	bool ever_sent; /* a start went out that may have been carried out */
	bool ended; /* answered; waits for its runs to end */
	GSequenceIter
		*queue_entry; /* in its class's queue; NULL: nothing waits */
};

struct dispatch {
	struct dispatch_sink *sink;
	char data_centre[CF_NAME_SIZE];
	const struct cf_config *config;
	GHashTable *jobs; /* id -> struct djob */
	GHashTable *classes; /* name -> struct dclass */
	GHashTable *agents; /* incarnation -> struct dagent */
	GPtrArray *servers; /* struct dserver */
	uint64_t next_server;
	struct cf_predict *predict;
	struct cf_health *health;
	double virtual_time; /* of the class that was served last */
	bool placing;
	bool avoids_failing; /* few enough servers fail all they start */
	bool has_demand;
	int64_t last_demand_ms; /* when a task or a job last found too little
				 */
};

/* ---- Jobs (dispatch_jobs.c) ----------------------------------------- */

void dispatch_end_job(struct dispatch *d, struct dispatch_job *job,
		      enum job_verdict verdict, const char *reason,
		      uint32_t retry_after_s);
void dispatch_free_job_if_finished(struct dispatch *d,
				   struct dispatch_job *job);
void dispatch_queue_job(struct dispatch *d, struct dispatch_job *job);
void dispatch_unqueue_job(struct dispatch_job *job);
void dispatch_count_waiting(struct dispatch_job *job,
			    int32_t tasks); /* more or less */
double
dispatch_task_work(const struct dispatch_job *job); /* of one of its tasks */
void dispatch_give_up(struct dispatch *d, struct dispatch_job *job,
		      const char *reason, int64_t now_ms);

/* ---- Admission (dispatch_admit.c) ----------------------------------- */

/* The class's part of all work that arrives, 0 to 1. */
double admit_share(const struct dispatch *d, const struct dispatch_class *class,
		   int64_t now_ms);
/* Takes the job or tells why not. */
bool admit_job(struct dispatch *d, const struct dispatch_job *job,
	       int64_t now_ms, const char **reason, uint32_t *retry_after_s);
uint32_t admit_retry_after_s(const struct dispatch *d,
			     const struct dispatch_job *job, int64_t now_ms);

/* ---- Servers (dispatch_servers.c) ----------------------------------- */

bool server_is_usable(const struct dispatch *d,
		      const struct dispatch_server *server);
int64_t server_free_cpu_milli(const struct dispatch_server *server);
int64_t server_offered_cpu_milli(const struct dispatch_server *server);
int64_t server_free_memory_mb(const struct dispatch_server *server);
void server_add_run(struct dispatch_server *server,
		    const struct dispatch_job *job);
void server_remove_run(struct dispatch_server *server,
		       const struct dispatch_job *job);
/* It fails what is started there and isn't to be tried again yet. */
bool server_is_avoided(const struct dispatch *d,
		       const struct dispatch_server *server, int64_t now_ms);
void servers_tick(struct dispatch *d, int64_t now_ms);

/* ---- Placing (dispatch_place.c) ------------------------------------- */

void dispatch_place_tasks(struct dispatch *d,
			  int64_t now_ms); /* starts what it can */
/* A task or a job found too little room. */
void dispatch_note_demand(struct dispatch *d, int64_t now_ms);
void dispatch_expire_demand(struct dispatch *d, int64_t now_ms);
/* Runs far beyond their prediction are moved while there is time. */
void dispatch_move_late_runs(struct dispatch *d, int64_t now_ms);

#endif
