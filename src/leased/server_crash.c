/*
 * server_crash: see server_crash.h.
 */
#include "leased/server_crash.h"

#include <string.h>

void server_crash_call_failed(struct server_crash *crash,
			      const struct http_answer *answer, int64_t now_ms)
{
	bool connection_failed = answer->refused ||
				 answer->result == HTTP_BROKEN;

	if (!crash->failed_ms ||
	    (connection_failed && !crash->connection_failed))
		crash->failed_ms = now_ms;
	crash->connection_failed |= connection_failed;
	crash->refused |= answer->refused;
}

void server_crash_answered(struct server_crash *crash)
{
	crash->failed_ms = 0;
	crash->connection_failed = false;
	crash->refused = false;
}

bool server_crash_never_sent(const struct http_answer *answer)
{
	return answer->refused && answer->result == HTTP_NOT_CONNECTED;
}

bool server_crash_is_replacement(const struct server_report *server,
				 const struct server_report *other)
{
	return strcmp(server->name, other->name) != 0 &&
	       !strcmp(server->address, other->address) &&
	       other->start_time_ms > server->start_time_ms;
}

enum server_crash_evidence server_crash_get(const struct server_crash *crash)
{
	if (crash->replaced)
		return SERVER_CRASH_REPLACED;
	return crash->refused ? SERVER_CRASH_REFUSED : SERVER_CRASH_NONE;
}

void server_crash_lose_runs(const struct server_crash *crash,
			    enum server_crash_evidence evidence,
			    const struct server_report *server,
			    struct run_table *runs, int64_t now_ms)
{
	if (evidence == SERVER_CRASH_NONE || server->draining)
		return;
	run_table_server_crashed(runs,
				 crash->failed_ms ? crash->failed_ms : now_ms);
}
