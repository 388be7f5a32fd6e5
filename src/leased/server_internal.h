/*
 * server_internal: state and functions shared by the files of the client of a
 * backend server. One loop thread owns all of it.
 */
#ifndef LEASED_SERVER_INTERNAL_H
#define LEASED_SERVER_INTERNAL_H

#include "base/counters.h"
#include "leased/server.h"
#include "leased/server_crash.h"
#include "leased/server_fence.h"
#include "leased/server_incarnation.h"
#include "leased/server_lease.h"

#define HTTP_STATUS_OK 200

struct server {
	struct server_options options;
	struct server_report report;
	struct run_table *runs;
	struct capacity_share *share;
	struct server_lease lease;
	struct server_crash crash;
	struct server_fence fence;
	struct server_incarnation incarnation;
	/* Of the newest report that may come from a new incarnation. */
	char unproven_address[CF_NAME_SIZE];
	bool verify_open; /* a CALL_VERIFY is in flight */
	char *url; /* "http://ip:port" */
	char *incarnation_header;
	uint64_t last_end_position; /* of the newest end that was processed */
	uint32_t open_calls; /* in flight */
	bool poll_open; /* a CALL_POLL is in flight */
	bool poll_refused; /* the last poll that was answered */
	int64_t poll_now_sent_ms; /* last CALL_POLL_NOW */
	bool has_left; /* the server announced that it leaves */
	int64_t last_report_ms;
	int64_t poll_sent_ms; /* last CALL_POLL */
	struct server_backoff backoff;
	struct server_previous_runs previous_runs;
	uint64_t restarts; /* of the server, as seen by this agent */
	struct counter *starts, *unanswered, *expirations, *fence_refusals;
	struct counter *unknown_runs_stopped, *runs_in_stale_lists;
	struct counter *list_entries_unreadable, *calls_unwritable;
	uint32_t n_unreadable; /* entries of the last list */
};

enum call_kind {
	CALL_START,
	CALL_STOP,
	CALL_POLL, /* may wait at the server for a run to end */
	CALL_POLL_NOW, /* is answered at once */
	CALL_VERIFY, /* the same, to the address in an unproven report */
};

struct call {
	struct server *server;
	enum call_kind kind;
	struct run_name name;
	int64_t sent_ms;
	int64_t fence; /* fencing token */
	uint64_t restarts; /* of the server when the call was sent */
};

/* ---- Lifecycle (server_create.c) -------------------------------------- */

/* The address and the start time in the report are used from now on. */
void server_set_address(struct server *server);

/* ---- Fencing token (server_token.c) --------------------------------- */

/* Invalidates all calls sent so far; why: for the log. */
void server_raise_token(struct server *server, const char *why);
/* The server refused this call because of its token. */
void server_token_refused(struct server *server, const struct call *call);
/* Records whether a poll's token was accepted or refused. */
void server_token_polled(struct server *server, const struct call *call,
			 const struct http_answer *answer);

/* ---- Lists (server_lists.c) ------------------------------------------ */

/* unknown_runs: struct run_name, listed as running but not in the table. Stops
 * them and returns their number, without those that have been listed as ended:
 * the list was overtaken by a newer one. */
uint32_t server_stop_unknown_runs(struct server *server,
				  const GArray *unknown_runs, int64_t now_ms);

/* Counts entries that were left out of a list. */
void server_count_unreadable(struct server *server, uint32_t n);

/* ---- Calls (server.c) ------------------------------------------------ */

void server_send_stop(struct server *server, const struct run_name *name,
		      int64_t now_ms);

#endif
