/*
 * server: the calls to one backend server that runs under a lease: it
 * starts and stops runs, looks at what runs and has ended, and renews
 * the lease while it may. What it holds is decided in run_table.c and
 * server_lease.c. Loop thread only.
 */
#ifndef LEASED_SERVER_H
#define LEASED_SERVER_H

#include "leased/room_share.h"
#include "leased/run_table.h"
#include "net/http_client.h"

struct server;

struct server_options {
	const struct formats *formats;
	struct http_client *client;
	struct loop *loop;
	int64_t previous_runs_end_ms; /* runs of the agent's earlier life: by
					 then */
	/* Results are there, or its state has changed. */
	void (*changed)(void *arg, struct server *server);
	void *arg;
};

struct server *server_create(const struct server_options *options,
			     const struct server_report *report,
			     int64_t now_ms);
void server_destroy(struct server *server); /* no call may be under way */
/* A report of it; false: older than what is known. */
bool server_apply_report(struct server *server,
			 const struct server_report *report, int64_t now_ms);
void server_mark_left(struct server *server, int64_t now_ms); /* it said so */
const struct server_report *server_last_report(const struct server *server);
struct run_table *server_runs(struct server *server);
struct room_share *server_capacity_share(struct server *server);
bool server_accepting(const struct server *server, int64_t now_ms);
bool server_is_expired(const struct server *server,
		       int64_t now_ms); /* silent for long, nothing left */
/* Does what is due: starts, stops, looks. After each change and often. */
void server_process(struct server *server, int64_t now_ms);

#endif
