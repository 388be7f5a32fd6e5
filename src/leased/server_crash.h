/*
 * server_crash: whether a backend server's process has crashed, as its agent
 * can tell. Silence alone does not show that: a server that is cut off, frozen
 * or late is silent too. The module does no I/O and reads no clock. It is not
 * thread-safe.
 */
#ifndef LEASED_SERVER_CRASH_H
#define LEASED_SERVER_CRASH_H

#include "leased/run_table.h"
#include "net/http_client.h"

enum server_crash_evidence {
	SERVER_CRASH_NONE,
	SERVER_CRASH_REFUSED, /* its host refuses connections; no answer since
			       */
	SERVER_CRASH_RESTARTED, /* it has a newer start time */
	SERVER_CRASH_REPLACED, /* a newer server reports from its address */
};

struct server_crash {
	/* Since the last answer: when the first connection failed, or, if none
	 * has, when the first call timed out; 0: neither. */
	int64_t failed_ms;
	bool connection_failed;
	bool refused; /* a connection was refused since the last answer */
	/* When a call last timed out, also before the last answer; 0: never. */
	int64_t timed_out_ms;
	bool has_left; /* it announced that it leaves, which is no crash */
	int64_t replaced_ms; /* when that was first seen; 0: it isn't */
};

/* Records a call that ended without an answer. */
void server_crash_call_failed(struct server_crash *crash,
			      const struct http_answer *answer, int64_t now_ms);
void server_crash_answered(struct server_crash *crash);
/* Records that the server is gone if the other report shows it. The start times
 * tell a replacement from a late report of a predecessor. */
void server_crash_check_report(struct server_crash *crash,
			       const struct server_report *server,
			       const struct server_report *other,
			       int64_t now_ms);
/* Whether the call was not even sent, as a refused connection shows. Of a
 * connect timeout that is true too, but there the server may be reachable
 * again at once, and would be tried again and again. */
bool server_crash_never_sent(const struct http_answer *answer);
enum server_crash_evidence server_crash_get(const struct server_crash *crash);
/* Marks the runs that the server may have had as lost, as of the time at which
 * the crash first showed. Without evidence it does nothing, nor for a server
 * that drains or left: it ends its runs by itself. */
void server_crash_lose_runs(const struct server_crash *crash,
			    enum server_crash_evidence evidence,
			    const struct server_report *server,
			    struct run_table *runs, int64_t now_ms);

#endif
