/*
 * many_internal: types and functions shared by the files of many_world.
 */
#ifndef SUPPORT_MANY_INTERNAL_H
#define SUPPORT_MANY_INTERNAL_H

#include "leased/capacity_share.h"
#include "leased/server_lease.h"
#include "leased/speed_estimate.h"
#include "support/many_interference.h"
#include "support/many_world.h"
#include "support/speed_observer.h"

#include <glib.h>

#define MANY_MEMORY_MB 100000

/* ---- Types ---------------------------------------------------------- */

struct many;

struct many_dispatcher {
	struct dispatch_sink sink; /* first member */
	struct many *many;
	uint32_t number;
	struct dispatch *dispatch;
};

struct many_run {
	struct run_name name;
	struct many_pace pace;
	int64_t started_ms, ends_ms;
	int64_t crashes_ms; /* when it crashes its server; 0: never */
	uint32_t losses, lost_after_ms;
};

struct many_server {
	struct run_table *table;
	struct many_estimate *estimate;
	GPtrArray *runs; /* struct many_run */
	GArray *ends; /* struct listed_run_end, not in a list yet */
	uint64_t positions;
	uint64_t received[MANY_DISPATCHERS_MAX];
	/* The state that was last reported to each dispatcher. */
	struct server_state last_reported[MANY_DISPATCHERS_MAX];
	struct server_backoff refusals;
	struct capacity_share *share;
	struct speed_estimate *speed;
	int32_t speed_steps[MANY_DISPATCHERS_MAX]; /* last reported */
	double factor; /* on the times of runs that start now */
	bool refuses_starts, fails, changed;
	struct many_crash *crash;
};

enum many_message_kind {
	MANY_MESSAGE_START,
	MANY_MESSAGE_STOP,
	MANY_MESSAGE_STATE,
	MANY_MESSAGE_DEMAND,
};

struct many_message {
	enum many_message_kind kind;
	int64_t due_ms;
	uint32_t dispatcher, server;
	struct run_request run; /* MANY_MESSAGE_START */
	struct run_name name; /* MANY_MESSAGE_STOP */
	struct server_state state; /* MANY_MESSAGE_STATE */
	struct many_estimate_report *estimate; /* MANY_MESSAGE_STATE */
	bool demand; /* MANY_MESSAGE_DEMAND */
	GArray *results; /* struct run_result, MANY_MESSAGE_STATE */
};

struct many {
	const struct many_load *load;
	struct world_result *result;
	struct many_dispatcher dispatchers[MANY_DISPATCHERS_MAX];
	struct many_server servers[MANY_SERVERS_MAX];
	GRand *random;
	GHashTable *jobs; /* id -> struct world_job */
	GQueue *messages; /* struct many_message, oldest first */
	struct speed_observer *observer; /* of the first dispatcher */
	int64_t now_ms;
	uint32_t next_job;
	double arrivals_due[WORLD_CLASSES];
};

/* ---- Messages (many_world.c) ---------------------------------------- */

struct many_message *many_post(struct many *m, enum many_message_kind kind,
			       uint32_t dispatcher, uint32_t server);

/* ---- Crashes (many_crash.c) ----------------------------------------- */

struct many_crash *many_crash_create(void);
void many_crash_destroy(struct many_crash *crash);
/* Crashes the server if it is time, lets its agent notice, and brings the
 * server back. */
void many_crash_step(struct many *m, uint32_t server);
bool many_crash_is_down(const struct many_crash *crash);
/* Whether the agent has noticed. */
bool many_crash_is_known(const struct many_crash *crash);
/* How often the server has come back, which is part of its name. */
uint32_t many_crash_returns(const struct many_crash *crash);
/* Whether a task of the job at this time crashes its server. */
bool many_crash_is_poison(struct many *m, size_t class);
/* Changes a result of a run that was lost with the server. */
void many_crash_settle(struct many *m, uint32_t server,
		       struct run_result *result);
/* What the last crash ended, and when it was noticed; 0: never. */
int64_t many_crash_report(const struct many *m, uint32_t server,
			  const struct class_loss **losses, size_t *n);
/* Whether there was a crash that the dispatcher wasn't told of. */
bool many_crash_is_due(const struct many *m, uint32_t server,
		       uint32_t dispatcher);
void many_crash_reported(struct many *m, uint32_t server, uint32_t dispatcher);

/* ---- Servers (many_servers.c) --------------------------------------- */

void many_create_server(struct many *m, uint32_t number);
void many_destroy_server(struct many *m, uint32_t number);
/* One millisecond of all servers and their agents. */
void many_run_servers(struct many *m);

#endif
