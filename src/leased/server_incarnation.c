/*
 * server_incarnation: see server_incarnation.h.
 */
#include "leased/server_incarnation.h"

/* How far a server's clock may get ahead of the agent's. */
#define CLOCK_FAST_PERCENT 102
#define CLOCK_SLACK_MS 50
/* A server sends far fewer reports between two that arrive. */
#define SEQ_STEP_MAX 1000000

void server_incarnation_begin(struct server_incarnation *incarnation,
			      int64_t start_time_ms)
{
	if (incarnation->start_time_ms) {
		incarnation->earlier_ms[incarnation->n_earlier %
					SERVER_EARLIER_INCARNATIONS_MAX] =
			incarnation->start_time_ms;
		incarnation->n_earlier++;
	}
	incarnation->start_time_ms = start_time_ms;
	incarnation->has_report = false;
	incarnation->has_clock = false;
}

static bool is_earlier(const struct server_incarnation *incarnation,
		       int64_t start_time_ms)
{
	for (uint32_t i = 0;
	     i < incarnation->n_earlier && i < SERVER_EARLIER_INCARNATIONS_MAX;
	     i++)
		if (incarnation->earlier_ms[i] == start_time_ms)
			return true;
	return false;
}

/* Whether the clock in a report shows more than that of the known incarnation
 * can show now. Then an earlier one with the same start time sent it. */
static bool is_clock_ahead(const struct server_incarnation *incarnation,
			   int64_t clock_ms, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - incarnation->clock_sent_ms;

	return incarnation->has_clock &&
	       clock_ms > incarnation->clock_ms +
				  elapsed_ms * CLOCK_FAST_PERCENT / 100 +
				  CLOCK_SLACK_MS;
}

enum server_message
server_incarnation_check_report(const struct server_incarnation *incarnation,
				int64_t start_time_ms, uint64_t seq,
				int64_t clock_ms, int64_t now_ms)
{
	/* Both rise with each report of an incarnation. One with a number far
	 * ahead would make all later ones look outdated. */
	bool outdated = incarnation->has_report &&
			(seq <= incarnation->seq ||
			 seq - incarnation->seq > SEQ_STEP_MAX ||
			 clock_ms < incarnation->report_clock_ms);

	if (start_time_ms == incarnation->start_time_ms)
		return outdated || is_clock_ahead(incarnation, clock_ms, now_ms)
			       ? SERVER_MESSAGE_UNPROVEN
			       : SERVER_MESSAGE_CURRENT;
	if (start_time_ms < incarnation->start_time_ms ||
	    is_earlier(incarnation, start_time_ms))
		return SERVER_MESSAGE_UNPROVEN;
	return SERVER_MESSAGE_NEW;
}

void server_incarnation_reported(struct server_incarnation *incarnation,
				 uint64_t seq, int64_t clock_ms)
{
	incarnation->seq = seq;
	incarnation->report_clock_ms = clock_ms;
	incarnation->has_report = true;
}

enum server_message
server_incarnation_check_lists(const struct server_incarnation *incarnation,
			       int64_t start_time_ms, int64_t clock_ms,
			       int64_t sent_ms)
{
	if (start_time_ms && start_time_ms != incarnation->start_time_ms)
		return SERVER_MESSAGE_NEW;
	if (!incarnation->has_clock || clock_ms >= incarnation->clock_ms)
		return SERVER_MESSAGE_CURRENT;
	/* Answers may overtake each other, so the clock has gone back only if
	 * the poll was sent after the known reading had arrived. */
	return sent_ms > incarnation->clock_read_ms ? SERVER_MESSAGE_NEW
						    : SERVER_MESSAGE_UNPROVEN;
}

void server_incarnation_listed(struct server_incarnation *incarnation,
			       int64_t clock_ms, int64_t sent_ms,
			       int64_t now_ms)
{
	if (incarnation->has_clock && clock_ms < incarnation->clock_ms)
		return;
	incarnation->clock_ms = clock_ms;
	incarnation->clock_sent_ms = sent_ms;
	incarnation->clock_read_ms = now_ms;
	incarnation->has_clock = true;
}
