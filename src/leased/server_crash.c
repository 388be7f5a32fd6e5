/*
 * server_crash: see server_crash.h.
 */
#include "leased/server_crash.h"

#include "base/counters.h"
#include "base/logger.h"

#include <inttypes.h>
#include <string.h>

/* Bounds the log line of a server with many runs. */
#define LOGGED_RUNS_MAX 5
/* A server that left a call unanswered may do so with others for this long. */
#define UNANSWERED_LATELY_MS 2000

void server_crash_call_failed(struct server_crash *crash,
			      const struct http_answer *answer, int64_t now_ms)
{
	bool connection_failed = answer->refused ||
				 answer->result == HTTP_BROKEN;

	if (!connection_failed)
		crash->timed_out_ms = now_ms;
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

static bool is_replacement(const struct server_report *server,
			   const struct server_report *other)
{
	return strcmp(server->name, other->name) != 0 &&
	       !strcmp(server->address, other->address) &&
	       other->start_time_ms > server->start_time_ms;
}

void server_crash_check_report(struct server_crash *crash,
			       const struct server_report *server,
			       const struct server_report *other,
			       int64_t now_ms)
{
	if (!crash->replaced_ms && is_replacement(server, other))
		crash->replaced_ms = crash->failed_ms ? crash->failed_ms
						      : now_ms;
}

enum server_crash_evidence server_crash_get(const struct server_crash *crash)
{
	if (crash->replaced_ms)
		return SERVER_CRASH_REPLACED;
	return crash->refused ? SERVER_CRASH_REFUSED : SERVER_CRASH_NONE;
}

/* Lists the youngest runs, one of which likely caused the crash, as
 * "class:age:losses:doubt". */
static char *format_youngest(const GArray *losses)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < losses->len && i < LOGGED_RUNS_MAX; i++) {
		const struct run_loss *loss =
			&g_array_index(losses, struct run_loss, i);

		g_string_append_printf(text, "%s%s:%u:%u:%s", i ? " " : "",
				       loss->class_name, loss->ran_ms,
				       loss->losses,
				       loss_doubt_name(loss->doubt));
	}
	return g_string_free(text, FALSE);
}

/* Returns how many of them are confirmed. */
static uint32_t count_losses(const GArray *losses)
{
	uint32_t n_of[LOSS_DOUBTS] = { 0 };

	for (guint i = 0; i < losses->len; i++)
		n_of[g_array_index(losses, struct run_loss, i).doubt]++;
	for (int doubt = 0; doubt < LOSS_DOUBTS; doubt++) {
		g_autofree char *label =
			g_strdup_printf("doubt=\"%s\"", loss_doubt_name(doubt));

		counter_add(counter_get("runs_lost_total", label,
					"runs lost with their backend server"),
			    n_of[doubt]);
	}
	return n_of[LOSS_CONFIRMED];
}

static void report_losses(enum server_crash_evidence evidence,
			  const char *server, const GArray *losses,
			  int64_t ago_ms)
{
	static const char *const names[] = {
		[SERVER_CRASH_REFUSED] = "refused",
		[SERVER_CRASH_RESTARTED] = "restarted",
		[SERVER_CRASH_REPLACED] = "replaced",
	};
	g_autofree char *youngest = format_youngest(losses);
	g_autofree char *label =
		g_strdup_printf("evidence=\"%s\"", names[evidence]);

	counter_add(counter_get("servers_lost_total", label,
				"backend servers that crashed with runs"),
		    1);
	log_event(LOG_WARN, "server_lost",
		  "server=%s evidence=%s runs=%u confirmed=%u ago_ms=%" PRId64
		  " youngest=\"%s\"",
		  server, names[evidence], losses->len, count_losses(losses),
		  ago_ms, youngest);
}

/* What replaced a server answers in its place, which is no sign of life. */
static int64_t first_sign_ms(const struct server_crash *crash, int64_t now_ms)
{
	if (crash->replaced_ms)
		return crash->replaced_ms;
	return crash->failed_ms ? crash->failed_ms : now_ms;
}

void server_crash_lose_runs(const struct server_crash *crash,
			    enum server_crash_evidence evidence,
			    const struct server_report *server,
			    struct run_table *runs, int64_t now_ms)
{
	g_autoptr(GArray)
		losses = g_array_new(FALSE, FALSE, sizeof(struct run_loss));
	struct crash_sign sign = {
		.crashed_ms = first_sign_ms(crash, now_ms),
		.by_next_incarnation = evidence == SERVER_CRASH_RESTARTED,
		.calls_unanswered = crash->timed_out_ms &&
				    now_ms - crash->timed_out_ms <
					    UNANSWERED_LATELY_MS
	};

	if (evidence == SERVER_CRASH_NONE || crash->has_left ||
	    server->draining)
		return;
	run_table_server_crashed(runs, &sign, now_ms, losses);
	if (losses->len)
		report_losses(evidence, server->name, losses,
			      now_ms - sign.crashed_ms);
}
