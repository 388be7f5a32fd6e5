/*
 * run_table_internal: what the files of the run table share.
 */
#ifndef LEASED_RUN_TABLE_INTERNAL_H
#define LEASED_RUN_TABLE_INTERNAL_H

#include "leased/run_table.h"

enum run_state {
	RUN_QUEUED,
	RUN_STARTING, /* the call is under way */
	RUN_RUNNING,
	RUN_STOPPING, /* a stop has to be acknowledged */
	RUN_STOPPED, /* acknowledged; its end is not listed yet */
};

struct run {
	struct run_request request;
	enum run_state state;
	bool stop_requested; /* while it is being started */
	bool may_have_started; /* a start was sent */
	int64_t started_ms; /* when the start was acknowledged */
	int64_t stop_requested_ms;
	int64_t stop_sent_ms;
	int64_t stop_acked_ms;
	uint32_t polls_missing;
};

struct run_table {
	struct cf_capacity capacity;
	GPtrArray *runs; /* struct run; waiting ones sorted by good start */
	GQueue results; /* struct run_result */
	uint32_t failed_in_a_row; /* see struct run_load */
	char failed_job[LEASED_JOB_SIZE]; /* the last of them */
	int64_t next_start_ms; /* no start before */
	int64_t now_ms; /* of the newest call, for stops */
};

struct run *run_table_at(const struct run_table *table, guint i);
struct run *run_table_find(const struct run_table *table,
			   const struct run_name *name, guint *position);
/* Ends the run at this position: its result is kept, the run is gone. */
void run_table_finish_at(struct run_table *table, guint position,
			 enum run_outcome outcome, int64_t now_ms);

#endif
