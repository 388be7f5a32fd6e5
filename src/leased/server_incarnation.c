/*
 * server_incarnation: see server_incarnation.h.
 */
#include "leased/server_incarnation.h"

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

enum server_message
server_incarnation_check_report(const struct server_incarnation *incarnation,
				int64_t start_time_ms, uint64_t seq)
{
	if (start_time_ms == incarnation->start_time_ms)
		return incarnation->has_report && seq <= incarnation->seq
			       ? SERVER_MESSAGE_UNPROVEN
			       : SERVER_MESSAGE_CURRENT;
	if (start_time_ms < incarnation->start_time_ms ||
	    is_earlier(incarnation, start_time_ms))
		return SERVER_MESSAGE_UNPROVEN;
	return SERVER_MESSAGE_NEW;
}

void server_incarnation_reported(struct server_incarnation *incarnation,
				 uint64_t seq)
{
	incarnation->seq = seq;
	incarnation->has_report = true;
}

enum server_message
server_incarnation_check_lists(const struct server_incarnation *incarnation,
			       int64_t start_time_ms)
{
	return start_time_ms && start_time_ms != incarnation->start_time_ms
		       ? SERVER_MESSAGE_NEW
		       : SERVER_MESSAGE_CURRENT;
}
