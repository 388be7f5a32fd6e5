/*
 * replay_active_job: the jobs, tasks and fake servers of a trace that is
 * being played; shared by replay_active_job.c and replay_run.c.
 */
#ifndef SUPPORT_REPLAY_LIVE_H
#define SUPPORT_REPLAY_LIVE_H

#include "chervilferry.h"

#include "replay.h"

#define ONE_WAY_MS 1 /* between the dispatcher and a server */

enum replay_task_state {
	REPLAY_WAITING, /* at the dispatcher */
	REPLAY_SENT,
	REPLAY_ENDED, /* and its result is on its way */
	REPLAY_COMPLETED,
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
	bool overdue; /* told to health */
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
	GPtrArray *tasks; /* sent and not settled, in order of sending */
	uint32_t running;
	double slowness;
	bool fails, disabled;
};

/* One trace under one policy. */
struct replay_run {
	const struct replay *replay;
	struct cf_predict *predict;
	struct cf_admitter *admitter;
	struct cf_health *health;
	struct cf_placer *placer;
	bool full_policy; /* agents order by slack, health counts */
	struct replay_server servers[REPLAY_SERVERS_MAX];
	GPtrArray *waiting; /* struct replay_active_job with unplaced tasks */
	GArray *slowdowns; /* double, of answered jobs */
	GPtrArray *jobs;
	int64_t now_ms;
	int64_t change_ms; /* first event, or the middle */
	uint64_t busy_ms, usable_ms; /* slots, while jobs arrive */
	uint32_t refused, failed, dropped, within, answered, lost, tasks;
	uint32_t *class_asked, *class_answered, *class_within, *class_refused;
};

/* A recorded job comes in. */
void replay_arrive(struct replay_run *run, const struct replay_job *recorded);

/* What a failed or cancelled job has not sent is settled. */
void replay_drop(struct replay_run *run, struct replay_active_job *job);

/* Ends, settles and starts tasks of a server at run->now_ms. */
void replay_step_server(struct replay_run *run, struct replay_server *server);

/* Its queued tasks are fenced and wait at the dispatcher again. */
void replay_disable_server(struct replay_run *run,
			   struct replay_server *server);

#endif
