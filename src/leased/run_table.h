/*
 * run_table: the runs of one backend server, as its agent knows them:
 * what waits for room, what is being started, runs, or is being stopped.
 * The agent is the server's only caller, so the room is exact. No I/O;
 * the present time is an argument; one thread at a time.
 *
 * A run of which a start got no answer may begin at any moment, until a
 * stop is acknowledged, the server lists it, or its lease has ended.
 */
#ifndef LEASED_RUN_TABLE_H
#define LEASED_RUN_TABLE_H

#include "leased/formats.h"

struct run_table;

struct run_request {
	struct run_name name;
	uint64_t dispatcher; /* incarnation that ordered it */
	GBytes *spec; /* the table holds a reference */
	uint32_t cpu_milli, memory_mb, accelerators;
	int64_t target_start_ms; /* order of waiting runs */
	int64_t deadline_ms; /* start none after it */
};

enum run_outcome {
	RUN_OUTCOME_DONE,
	RUN_OUTCOME_FAILED,
	RUN_OUTCOME_STOPPED, /* it may have run, and has ended */
	RUN_OUTCOME_NOT_STARTED, /* and never will */
	RUN_OUTCOME_REFUSED, /* the same: the server refuses work */
	RUN_OUTCOME_STALE, /* the same: a higher number ran there */
};

struct run_result {
	uint64_t dispatcher;
	struct run_name name;
	enum run_outcome outcome;
	uint32_t run_ms;
};

#define RUN_FAILURES_COUNTED_MAX 4

struct run_load {
	int64_t free_cpu_milli, free_memory_mb; /* less what waits, too */
	uint32_t running, queued;
	/* Jobs, of any dispatcher, that failed one after the other; tasks of
	 * one count once, as they fail alike if the fault is theirs. At most
	 * RUN_FAILURES_COUNTED_MAX. */
	uint32_t failed_in_a_row;
};

struct run_table *run_table_create(void);
void run_table_destroy(struct run_table *table); /* NULL is allowed */
void run_table_set_capacity(struct run_table *table,
			    const struct cf_capacity *capacity);

/* Takes an order; one that is there already changes nothing. */
void run_table_enqueue(struct run_table *table, const struct run_request *run,
		       int64_t now_ms);
/* The next run to start, which is then being started; NULL: none fits.
 * Runs whose deadline has passed get their result. */
const struct run_request *run_table_next_start(struct run_table *table,
					       int64_t now_ms);
/* What a start was answered; unknown: no answer came. */
void run_table_start_answered(struct run_table *table,
			      const struct run_name *name,
			      enum run_refusal refusal, int64_t now_ms);
void run_table_start_unanswered(struct run_table *table,
				const struct run_name *name);

void run_table_stop(struct run_table *table, const struct run_name *name);
/* Those of a dispatcher that are not among the names kept. */
void run_table_stop_others(struct run_table *table, uint64_t dispatcher,
			   const struct run_name *kept, size_t n_kept);
/* Waiting runs go back: the server takes no more. */
void run_table_return_queued(struct run_table *table);
/* A run that needs a stop sent now; false: none. */
bool run_table_next_stop(struct run_table *table, int64_t now_ms,
			 struct run_name *name);
void run_table_stop_acked(struct run_table *table, const struct run_name *name,
			  int64_t now_ms);
/* A stop was acknowledged, and no list has been seen since. */
bool run_table_awaits_list(const struct run_table *table);
/* How long the oldest unacknowledged stop has been wanted; 0: none. */
int64_t run_table_stop_age_ms(const struct run_table *table, int64_t now_ms);

/* The server's lists, of a look that was sent at sent_ms. Runs that it
 * lists and nobody ordered are appended to strangers. */
void run_table_apply_lists(struct run_table *table,
			   const struct run_lists *lists, int64_t sent_ms,
			   int64_t now_ms, GArray *unknown_runs);
/* The server's lease has ended: nothing runs there. */
void run_table_lease_expired(struct run_table *table, int64_t now_ms);
/* Another life of the server began, at some moment before now: what was
 * started may run in the new one, and is stopped there. */
void run_table_server_restarted(struct run_table *table, int64_t now_ms);

bool run_table_has(const struct run_table *table, const struct run_name *name);
bool run_table_has_dispatcher(const struct run_table *table,
			      uint64_t dispatcher);
bool run_table_is_idle(const struct run_table *table); /* no run at all */
void run_table_get_load(const struct run_table *table, struct run_load *load);
/* Results in the order in which they came; false: no more. */
bool run_table_pop_result(struct run_table *table, struct run_result *result);

#endif
