/*
 * replay_live: the jobs, tasks and simulated servers of a trace during its
 * simulation; shared by replay_live.c and replay_run.c.
 */
#ifndef SUPPORT_REPLAY_LIVE_H
#define SUPPORT_REPLAY_LIVE_H

#include "chervilferry.h"

#include "replay.h"

/* One-way delay between the dispatcher and a server. */
#define ONE_WAY_MS 1

enum replay_task_state {
	REPLAY_WAITING, /* waits at the dispatcher */
	REPLAY_SENT,
	REPLAY_ENDED, /* ended; its result is in transit */
	REPLAY_COMPLETED, /* its result has arrived */
};

struct replay_active_job;

struct replay_task {
	struct replay_active_job *job;
	uint32_t index;
	uint32_t run_ms, declared_ms, predicted_ms;
	enum replay_task_state state;
	uint32_t server;
	bool running;
	bool ok;
	bool overdue; /* reported to cf_health */
	int64_t sent_ms, started_ms, end_ms;
};

struct replay_active_job {
	const struct replay_job *recorded;
	struct cf_admit_job admitted;
	struct replay_task *tasks;
	uint32_t n_waiting, n_completed;
	bool started, failed, dropped;
};

struct replay_server {
	GPtrArray *tasks; /* sent but not completed, in the order of sending */
	uint32_t running;
	double slowness;
	bool fails, disabled;
};

/* Simulation of one trace under one placement policy. */
struct replay_run {
	const struct replay *replay;
	struct cf_predict *predict;
	struct cf_admitter *admitter;
	struct cf_health *health;
	struct cf_placer *placer;
	/* Use admission, queues ordered by slack, and health weights. */
	bool full_policy;
	struct replay_server servers[REPLAY_SERVERS_MAX];
	GPtrArray *waiting; /* struct replay_active_job with unplaced tasks */
	GArray *slowdowns; /* double, of answered jobs */
	GPtrArray *jobs;
	int64_t now_ms;
	int64_t change_ms; /* time of the first event, or the middle */
	uint64_t busy_ms, usable_ms; /* summed over slots while jobs arrive */
	uint32_t refused, failed, dropped, within, answered, lost, tasks;
	uint32_t *class_asked, *class_answered, *class_within, *class_refused;
};

/* Admits or refuses a recorded job when it arrives. */
void replay_arrive(struct replay_run *run, const struct replay_job *recorded);

/* Completes the unsent tasks of a failed or cancelled job. */
void replay_drop(struct replay_run *run, struct replay_active_job *job);

/* Ends, completes and starts tasks of a server at run->now_ms. */
void replay_step_server(struct replay_run *run, struct replay_server *server);

/* Disables a server. Its queued tasks are fenced and wait at the dispatcher
 * again. */
void replay_disable_server(struct replay_run *run,
			   struct replay_server *server);

#endif
