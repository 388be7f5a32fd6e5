/*
 * ended_runs: the runs of one backend server that ended for its agent in the
 * last seconds, and whether the server has listed their end. A run that the
 * server lists as running although its end was listed before comes from an
 * older list that was overtaken. Any other one has to be stopped. The module
 * does no I/O and reads no clock. It is not thread-safe.
 */
#ifndef LEASED_ENDED_RUNS_H
#define LEASED_ENDED_RUNS_H

#include "leased/run_table.h"

#define ENDED_RUNS_MAX 256
#define ENDED_RUNS_KEPT_MS 10000

struct ended_run {
	struct run_name name;
	enum run_outcome outcome;
	bool end_listed; /* by the present incarnation of the server */
	int64_t ended_ms; /* 0: unused */
};

struct ended_runs {
	struct ended_run runs[ENDED_RUNS_MAX]; /* ring */
	uint32_t next;
};

/* The run was removed from the agent's table with this outcome. */
void ended_runs_add(struct ended_runs *ended, const struct run_name *name,
		    enum run_outcome outcome, int64_t now_ms);
/* The server listed the end of a run that may be known or not. */
void ended_runs_add_listed(struct ended_runs *ended,
			   const struct run_name *name,
			   enum run_outcome outcome, int64_t now_ms);
/* A new incarnation may carry out old starts: no end has been listed. */
void ended_runs_server_restarted(struct ended_runs *ended);
/* NULL: not known, or no longer. */
const struct ended_run *ended_runs_find(const struct ended_runs *ended,
					const struct run_name *name,
					int64_t now_ms);

#endif
