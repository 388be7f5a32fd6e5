/*
 * dispatch: the decisions of a dispatcher whose jobs may be run more than
 * once: which jobs to admit, where and in which order to start their
 * tasks, which runs to move to another server, and what to answer callers.
 * It does no I/O and reads no clock: the current time is an argument, and
 * commands go to a sink. Not thread-safe.
 *
 *	struct dispatch *d = dispatch_create(&sink, "data-centre");
 *	dispatch_agent_connected(d, &agent, now_ms);
 *	dispatch_update_server(d, agent.incarnation, &state, now_ms);
 *	dispatch_submit(d, &request, now_ms);
 *	dispatch_handle_result(d, agent.incarnation, &result, now_ms);
 *	dispatch_tick(d, now_ms); // every DISPATCH_TICK_MS
 */
#ifndef LEASED_DISPATCH_H
#define LEASED_DISPATCH_H

#include "leased/containment.h"
#include "leased/interference.h"
#include "leased/run_table.h"

#define DISPATCH_TICK_MS 10

struct dispatch;
struct dispatch_sink;

enum job_verdict {
	JOB_VERDICT_COMPLETED,
	JOB_VERDICT_FAILED, /* runs of a task failed as often as they may */
	JOB_VERDICT_REFUSED, /* none of its tasks has run or will run */
	JOB_VERDICT_GIVEN_UP, /* tasks may have run; no more will start */
};

struct job_answer {
	enum job_verdict verdict;
	const char *reason; /* a static string */
	uint32_t retry_after_s; /* REFUSED only */
};

struct start_command {
	struct run_name name;
	const char *server;
	GBytes *spec;
	uint32_t cpu_milli, memory_mb, accelerators;
	/* From now: the latest start that meets the target, and the latest
	 * start that is allowed. */
	uint32_t slack_ms, deadline_ms;
	uint32_t expected_ms; /* run time on a server of average speed */
	const char *class_name;
	uint32_t losses; /* servers that crashed under the task */
	uint32_t lost_after_ms; /* age of its last run that was lost so */
};

struct dispatch_sink_ops {
	void (*start)(struct dispatch_sink *sink, uint64_t agent,
		      const struct start_command *command);
	void (*stop)(struct dispatch_sink *sink, uint64_t agent,
		     const struct run_name *name);
	void (*answer)(struct dispatch_sink *sink, void *caller,
		       const struct job_answer *answer);
	/* Agents offer scarce capacity first to dispatchers with demand. */
	void (*set_demand)(struct dispatch_sink *sink, bool has_demand);
};

struct dispatch_sink {
	const struct dispatch_sink_ops *ops; /* first member */
};

struct job_request {
	char id[LEASED_JOB_SIZE];
	struct route route; /* copied */
	struct job_spec spec; /* takes a reference to its bytes */
	int64_t arrived_ms;
	int64_t deadline_ms; /* when the caller stops waiting */
	void *caller; /* passed to the sink with the answer */
};

struct agent_identity {
	uint64_t incarnation;
	char name[CF_NAME_SIZE];
	char data_centre[CF_NAME_SIZE];
};

struct server_state {
	char name[CF_NAME_SIZE];
	char service[CF_NAME_SIZE];
	char kind[CF_NAME_SIZE]; /* machine type; empty: not reported */
	struct cf_capacity capacity;
	int64_t free_cpu_milli, free_memory_mb;
	int64_t offered_cpu_milli; /* part offered to this dispatcher */
	bool accepting;
	/* The last RUN_FAILURES_COUNTED_MAX jobs there failed. */
	bool fails_all;
	/* Natural logarithm of run time / expected run time, as its agent
	 * measured it, and the standard deviation of that; 0: not known. */
	double speed_log, speed_sd;
	int64_t speed_age_ms; /* of the newest run that was measured */
	/* Start commands that the agent has received on this connection. */
	uint64_t received;
};

/* What an agent reports about classes at a server. */
struct interference_report {
	const struct class_runs *classes; /* that run there */
	size_t n_classes;
	/* Replaces what was reported before, unless there are none. If nothing
	 * is known any more, there is one without samples. */
	const struct class_slowdown *slowdowns;
	size_t n_slowdowns;
};

struct dispatch_load {
	uint32_t jobs, waiting_tasks, sent_tasks, servers, usable_servers;
	uint32_t late_waiting_tasks; /* included in waiting_tasks */
	uint64_t
		late_jobs; /* that ever waited without a chance to be in time */
	uint64_t lost_runs; /* that ever were lost with their servers */
	/* Given up: servers crashed when a task was started there; as many may
	 * have crashed under one as may. */
	uint64_t crashing_jobs, doubtful_jobs;
	uint32_t remembered_jobs; /* ended ones whose run numbers are known */
	uint32_t speeds_known; /* servers whose speed was measured */
	uint32_t interfering_pairs;
	uint32_t contained_classes, suspect_tasks;
	uint64_t crashes_explained; /* that ever proved a class */
	uint64_t capacity_milli, free_milli;
};

struct dispatch *dispatch_create(struct dispatch_sink *sink,
				 const char *data_centre);
void dispatch_destroy(struct dispatch *d); /* sends no answers */
/* Containment is enabled at first. To be called before the first job. */
void dispatch_set_containment(struct dispatch *d, bool enabled);

/* Admits a job or refuses it at once. */
void dispatch_submit(struct dispatch *d, const struct job_request *request,
		     int64_t now_ms);
/* Predicted run time of the tasks of a job on an average server. */
uint32_t dispatch_predict_ms(const struct dispatch *d, const char *route,
			     uint32_t estimate_ms);
/* A caller has left. Its job is stopped if no other caller waits for it. */
void dispatch_abandon(struct dispatch *d, const char *id, void *caller,
		      int64_t now_ms);
/* Stops a job even if callers wait for it. Returns false if the job isn't in
 * progress, or if it came later than asked_ms, the time of the cancel. */
bool dispatch_cancel(struct dispatch *d, const char *id, int64_t asked_ms,
		     int64_t now_ms);
/* Aborts all jobs and answers all callers before the process exits. */
void dispatch_abort_all(struct dispatch *d, int64_t now_ms);
/* Whether the job is in progress, or its runs are still being stopped. */
bool dispatch_has_job(const struct dispatch *d, const char *id);
/* Number of jobs of a route of which no task was sent. */
uint32_t dispatch_count_unsent_jobs(const struct dispatch *d,
				    const char *route);

/* Called at the first connection and at each reconnection. */
void dispatch_agent_connected(struct dispatch *d,
			      const struct agent_identity *agent,
			      int64_t now_ms);
void dispatch_agent_disconnected(struct dispatch *d, uint64_t agent,
				 int64_t now_ms);
/* The dispatcher has granted the agent a new lease. */
void dispatch_agent_lease_granted(struct dispatch *d, uint64_t agent,
				  int64_t now_ms);
/* Sets which data centres are in service; with a NULL config all are. */
void dispatch_set_config(struct dispatch *d, const struct cf_config *config);
void dispatch_update_server(struct dispatch *d, uint64_t agent,
			    const struct server_state *state, int64_t now_ms);
/* Called after dispatch_update_server() of the same server. */
void dispatch_update_interference(struct dispatch *d, uint64_t agent,
				  const char *server,
				  const struct interference_report *report,
				  int64_t now_ms);
/* The last crash of the agent's server, this long ago; may repeat a known one.
 */
void dispatch_update_losses(struct dispatch *d, uint64_t agent,
			    const struct class_loss *losses, size_t n,
			    int64_t age_ms, int64_t now_ms);
/* Ends a report: servers of the agent that were not updated since the last
 * report accept no more work. */
void dispatch_finish_report(struct dispatch *d, uint64_t agent, int64_t now_ms);
/* Run number 0 stands for a lost run of another dispatcher. */
void dispatch_handle_result(struct dispatch *d, uint64_t agent,
			    const struct run_result *result, int64_t now_ms);
struct sent_run {
	struct run_name name;
	bool stopping; /* its stop was ordered */
};

/* Returns the runs sent to an agent whose results haven't come (struct
 * sent_run). After a reconnect the agent is sent the list: it stops every run
 * that is not on it and returns a result for every one that is. */
GArray *dispatch_list_runs(const struct dispatch *d, uint64_t agent);

bool dispatch_has_runs_at(const struct dispatch *d, uint64_t agent);
void dispatch_tick(struct dispatch *d, int64_t now_ms);
bool dispatch_can_serve(const struct dispatch *d); /* has a usable server */
/* True while tasks or jobs find too little free capacity. */
bool dispatch_has_demand(const struct dispatch *d);
void dispatch_get_load(const struct dispatch *d, struct dispatch_load *load);

#endif
