/*
 * server: client of one backend server that runs tasks under a lease. It
 * starts and stops runs, polls the lists of running and ended runs, and
 * renews the lease while that is allowed. run_table.c and server_lease.c
 * hold the state and make the decisions. Loop thread only.
 */
#ifndef LEASED_SERVER_H
#define LEASED_SERVER_H

#include "leased/capacity_share.h"
#include "leased/run_table.h"
#include "net/http_client.h"

struct server;

struct server_options {
	const struct formats *formats;
	struct http_client *client;
	struct loop *loop;
	/* By this time, runs started by an earlier agent process have ended. */
	int64_t previous_runs_end_ms;
	/* First fencing token (server_fence.h). */
	int64_t fence_token;
	/* Called when results are available or the state may have changed. */
	void (*changed)(void *arg, struct server *server);
	void *arg;
};

struct server *server_create(const struct server_options *options,
			     const struct server_report *report,
			     int64_t now_ms);
void server_destroy(struct server *server); /* no call may be in flight */
/* Applies a report sent by the server. Returns false if the report is older
 * than the last one. */
bool server_apply_report(struct server *server,
			 const struct server_report *report, int64_t now_ms);
/* Another server has reported. If it has taken this one's address, this one
 * has crashed. */
void server_check_replaced(struct server *server,
			   const struct server_report *other, int64_t now_ms);
/* The server announced that it leaves. */
void server_mark_left(struct server *server);
const struct server_report *server_last_report(const struct server *server);
struct run_table *server_runs(struct server *server);
struct capacity_share *server_capacity_share(struct server *server);
bool server_accepting(const struct server *server, int64_t now_ms);
/* Whether the server can be removed: it has no runs, has sent no report for a
 * long time and, unless it announced that it leaves, has not answered either.
 */
bool server_is_expired(const struct server *server, int64_t now_ms);
/* Sends the starts, stops and polls that are due. Call it after each change
 * and periodically. */
void server_process(struct server *server, int64_t now_ms);

#endif
