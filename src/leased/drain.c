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
	drain->phase = DRAIN_ACCEPTING;
	drain->close_ms = now_ms + ACCEPT_MS;
	drain->abort_ms = now_ms + MAX(wait_ms, ACCEPT_MS);
}

static enum drain_phase begin_aborting(struct drain *drain, int64_t now_ms)
{
	drain->end_ms = now_ms + ABORT_MS;
	return DRAIN_ABORTING;
}

enum drain_phase drain_next(struct drain *drain, uint32_t connections,
			    int64_t now_ms)
{
	switch (drain->phase) {
	case DRAIN_ACCEPTING:
		/* The backlog is served before the process may exit. */
		if (now_ms >= drain->close_ms)
			drain->phase = DRAIN_CLOSING;
		break;
	case DRAIN_CLOSING:
		if (!connections)
			drain->phase = DRAIN_ENDED;
		else if (now_ms >= drain->abort_ms)
			drain->phase = begin_aborting(drain, now_ms);
		break;
	case DRAIN_ABORTING:
		if (!connections || now_ms >= drain->end_ms)
			drain->phase = DRAIN_ENDED;
		break;
	case DRAIN_ENDED:
		break;
	}
	return drain->phase;
}

bool drain_can_run(const struct drain *drain, uint32_t predicted_ms,
		   int64_t now_ms)
{
	int64_t needed_ms =
		(int64_t)(RUN_TIME_FACTOR * (double)predicted_ms) + MARGIN_MS;

	return now_ms + needed_ms <= drain->abort_ms;
}
