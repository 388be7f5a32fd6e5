/*
 * run_table_internal: declarations shared by the files of the run table.
 */
#ifndef LEASED_RUN_TABLE_INTERNAL_H
#define LEASED_RUN_TABLE_INTERNAL_H

#include "leased/ended_runs.h"
#include "leased/run_table.h"

enum run_state {
	RUN_QUEUED,
	RUN_STARTING, /* the start call is in progress */
	RUN_RUNNING,
	RUN_STOPPING, /* no stop has been acknowledged yet */
	RUN_STOPPED, /* stop acknowledged; its end is not listed yet */
};

struct run {
	struct run_request request;
	enum run_state state;
	bool stop_requested; /* during the start call */
	bool may_have_started; /* a start call was sent */
	int64_t queued_ms;
	int64_t start_sent_ms;
	int64_t started_ms; /* start acknowledged or run first listed; 0: not */
	int64_t seen_ms; /* the same, of the last time; 0: never */
	bool listed; /* as running, by the server's present incarnation */
	int64_t lost_ms; /* when its server crashed; 0: it hasn't */
	enum loss_doubt loss_doubt; /* of that crash */
	int64_t stop_requested_ms;
	int64_t stop_sent_ms;
	int64_t stop_acked_ms;
	uint32_t polls_missing; /* consecutive polls that didn't list it */
};

struct run_table {
	struct cf_capacity capacity;
	GPtrArray *runs; /* struct run, by target start */
	GQueue results; /* struct run_result */
	bool unknown_listed; /* the last list had runs not in the table */
	struct ended_runs ended;
	GArray *lost; /* struct lost_run */
	uint32_t failed_in_a_row; /* see struct run_load */
	char failed_job[LEASED_JOB_SIZE]; /* the last job that failed */
	int64_t next_start_ms; /* no start is sent before */
	int64_t now_ms; /* time of the latest call; stop requests use it */
};

struct run *run_table_at(const struct run_table *table, guint i);
/* The run of this name that the server may have, else a queued one. At most one
 * run of a name is started at a time. NULL: there is none. */
struct run *run_table_find(const struct run_table *table,
			   const struct run_name *name, guint *position);
/* How long this run, which has ended by now, outlived its dispatcher's lease.
 */
int64_t run_outlived_ms(const struct run *run, int64_t now_ms);
/* The outcome of a run that may have begun and has ended without its own
 * doing. */
enum run_outcome run_table_cut_outcome(const struct run *run);
/* Time from the start of a lost run, or from the start call if that has no
 * answer, to the crash. */
uint32_t run_table_lost_after_ms(const struct run *run);
/* Removes the run at this position and queues its result. */
void run_table_finish_at(struct run_table *table, guint position,
			 enum run_outcome outcome, int64_t now_ms);

#endif
