/*
 * dispatch: the decisions of a dispatcher whose jobs may run again: which
 * jobs it takes, what is started where and in which order, which runs
 * are moved, and what each caller is answered. No I/O and no clock: the
 * present time is an argument, and orders go to a sink. One thread.
 *
 *	struct dispatch *d = dispatch_create(&sink, "data-centre");
 *	dispatch_agent_up(d, &agent, now_ms);
 *	dispatch_take_state(d, agent.incarnation, &state, now_ms);
 *	dispatch_submit(d, &order, now_ms);
 *	dispatch_take_end(d, agent.incarnation, &result, now_ms);
 *	dispatch_tick(d, now_ms); // every DISPATCH_TICK_MS
 */
#ifndef LEASED_DISPATCH_H
#define LEASED_DISPATCH_H

#include "leased/run_table.h"

#define DISPATCH_TICK_MS 10

struct dispatch;
struct dispatch_sink;

enum job_verdict {
	JOB_VERDICT_COMPLETED,
	JOB_VERDICT_FAILED, /* a task failed as often as it may */
	JOB_VERDICT_REFUSED, /* no task of it has run or will */
	JOB_VERDICT_GIVEN_UP, /* a task may have run; none will any more */
};

struct job_answer {
	enum job_verdict verdict;
	const char *reason; /* a constant text */
	uint32_t retry_after_s; /* REFUSED only */
};

struct start_order {
	struct run_name name;
	const char *server;
	GBytes *spec;
	uint32_t cpu_milli, memory_mb, accelerators;
	uint32_t slack_ms; /* latest good start, from now */
	uint32_t deadline_ms; /* start none after it, from now */
};

struct dispatch_sink_ops {
	void (*start)(struct dispatch_sink *sink, uint64_t agent,
		      const struct start_order *order);
	void (*stop)(struct dispatch_sink *sink, uint64_t agent,
		     const struct run_name *name);
	void (*answer)(struct dispatch_sink *sink, void *caller,
		       const struct job_answer *answer);
	/* Agents offer scarce room first to dispatchers that want it. */
	void (*want)(struct dispatch_sink *sink, bool wants_room);
};

struct dispatch_sink {
	const struct dispatch_sink_ops *ops; /* first member */
};

struct job_order {
	char id[LEASED_JOB_SIZE];
	struct route route; /* copied */
	struct job_spec spec; /* the bytes are referenced */
	int64_t arrived_ms;
	int64_t deadline_ms; /* the caller waits no longer */
	void *caller; /* what the answer goes to */
};

struct agent_identity {
	uint64_t incarnation;
	char name[CF_NAME_SIZE];
	char data_centre[CF_NAME_SIZE];
};

struct server_state {
	char name[CF_NAME_SIZE];
	char service[CF_NAME_SIZE];
	struct cf_capacity capacity;
	int64_t free_cpu_milli, free_memory_mb;
	int64_t offered_cpu_milli; /* of what is free, to this dispatcher */
	bool accepting;
	bool fails_all; /* RUN_FAILURES_COUNTED_MAX jobs failed there, in a row
			 */
	uint64_t received; /* starts that the agent has taken from here */
};

struct dispatch_load {
	uint32_t jobs, waiting_tasks, sent_tasks, servers, usable_servers;
	uint64_t capacity_milli, free_milli;
};

struct dispatch *dispatch_create(struct dispatch_sink *sink,
				 const char *data_centre);
void dispatch_destroy(struct dispatch *d); /* answers nobody */

/* Takes a job, or answers at once that it is refused. */
void dispatch_submit(struct dispatch *d, const struct job_order *order,
		     int64_t now_ms);
/* This caller has left; its job stops if nobody else waits for it. */
void dispatch_abandon(struct dispatch *d, const char *id, void *caller,
		      int64_t now_ms);
/* Stops a job whoever waits for it; false: none is in progress. */
bool dispatch_cancel(struct dispatch *d, const char *id, int64_t now_ms);
/* Answers everybody now: the process ends. */
void dispatch_stop_all(struct dispatch *d, int64_t now_ms);
/* Jobs of a queue (a route's name) of which no task was sent. */
uint32_t dispatch_pending(const struct dispatch *d, const char *route);

void dispatch_agent_up(struct dispatch *d, const struct agent_identity *agent,
		       int64_t now_ms); /* also again */
void dispatch_agent_down(struct dispatch *d, uint64_t agent, int64_t now_ms);
/* The dispatcher's newest grant of a lease to it. */
void dispatch_agent_granted(struct dispatch *d, uint64_t agent, int64_t now_ms);
/* Whether a data centre is in service; NULL config: all are. */
void dispatch_set_config(struct dispatch *d, const struct cf_config *config);
void dispatch_take_state(struct dispatch *d, uint64_t agent,
			 const struct server_state *state, int64_t now_ms);
/* All servers of the agent were told; those it no longer has go. */
void dispatch_states_told(struct dispatch *d, uint64_t agent, int64_t now_ms);
void dispatch_take_end(struct dispatch *d, uint64_t agent,
		       const struct run_result *result, int64_t now_ms);
/* Runs at an agent (struct run_name): those that are counted on, to be told
 * after a reconnect, or also those that are being stopped. */
GArray *dispatch_runs_at(const struct dispatch *d, uint64_t agent,
			 bool stopping);

bool dispatch_has_runs_at(const struct dispatch *d, uint64_t agent);
void dispatch_tick(struct dispatch *d, int64_t now_ms);
bool dispatch_can_serve(const struct dispatch *d); /* any usable server */
bool dispatch_wants_room(const struct dispatch *d);
void dispatch_get_load(const struct dispatch *d, struct dispatch_load *load);

#endif
