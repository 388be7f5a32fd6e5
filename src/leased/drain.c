/*
 * drain: see drain.h.
 */
#include "leased/drain.h"

#include <glib.h>

/* ---- Constants ------------------------------------------------------ */

/* A load balancer stops sending after two failed checks, 1 s apart. */
#define ACCEPT_MS 2200
/* For the answers of jobs that are aborted. */
#define ABORT_MS 300
/* A slow server may take nearly twice the time on an average one. */
#define RUN_TIME_FACTOR 1.7
/* For waiting in the queue, starting the tasks and answering. */
#define MARGIN_MS 100

/* ---- Decisions ------------------------------------------------------ */

void drain_begin(struct drain *drain, int64_t wait_ms, int64_t now_ms)
{
	drain->close_ms = now_ms + ACCEPT_MS;
	drain->abort_ms = now_ms + MAX(wait_ms, ACCEPT_MS);
	drain->end_ms = drain->abort_ms + ABORT_MS;
}

enum drain_phase drain_phase(const struct drain *drain, uint32_t connections,
			     int64_t now_ms)
{
	if (now_ms < drain->close_ms)
		return DRAIN_ACCEPTING;
	if (!connections || now_ms >= drain->end_ms)
		return DRAIN_ENDED;
	return now_ms < drain->abort_ms ? DRAIN_CLOSING : DRAIN_ABORTING;
}

bool drain_can_run(const struct drain *drain, uint32_t predicted_ms,
		   int64_t now_ms)
{
	int64_t needed_ms =
		(int64_t)(RUN_TIME_FACTOR * (double)predicted_ms) + MARGIN_MS;

	return now_ms + needed_ms <= drain->abort_ms;
}
