/*
 * run_table: the runs of one backend server, as tracked by its agent:
 * queued, starting, running and stopping. The agent is the server's only
 * caller, so the free capacity computed here is exact. The module does no
 * I/O; the present time is an argument. It is not thread-safe.
 *
 * If a start call gets no answer, the run may begin at any moment, until a
 * stop is acknowledged, the server lists the run, or the server's lease has
 * expired.
 */
#ifndef LEASED_RUN_TABLE_H
#define LEASED_RUN_TABLE_H

#include "leased/containment.h"
#include "leased/formats.h"

struct ended_run;
struct run_table;

struct run_request {
	struct run_name name;
	uint64_t dispatcher; /* incarnation of the one that ordered the run */
	GBytes *spec; /* the table takes a reference */
	uint32_t cpu_milli, memory_mb, accelerators;
	int64_t target_start_ms; /* queued runs start in this order */
	int64_t deadline_ms; /* not started from then on */
	/* End of the dispatcher's lease; not started from then on. */
	int64_t lease_end_ms;
	uint32_t expected_ms; /* on a server of average speed; 0: unknown */
	char class_name[CF_NAME_SIZE]; /* empty: unknown */
	uint32_t losses; /* servers that crashed under the task */
	uint32_t lost_after_ms; /* age of its last run that was lost so */
};

enum run_outcome {
	RUN_OUTCOME_DONE,
	RUN_OUTCOME_FAILED,
	RUN_OUTCOME_STOPPED, /* it may have run; it has ended */
	RUN_OUTCOME_NOT_STARTED, /* it never ran and never will */
	RUN_OUTCOME_REFUSED, /* not started: the server refuses work */
	RUN_OUTCOME_STALE, /* not started: superseded by a higher number */
	RUN_OUTCOME_LOST, /* its server crashed while it may have run */
	RUN_OUTCOME_UNREADABLE, /* not started: its start was malformed */
};

/* Why it isn't certain that a run was at work when its server crashed. */
enum loss_doubt {
	LOSS_UNTOLD, /* an older agent doesn't say */
	LOSS_CONFIRMED, /* it was */
	LOSS_START_UNANSWERED, /* it may not have begun */
	LOSS_STOP_SENT, /* it may have been stopped before */
	LOSS_NOT_SEEN, /* not in the last moments: it may have ended */
	LOSS_CALLS_UNANSWERED, /* the same: the server ignored calls */
	LOSS_NOT_LISTED, /* the next incarnation may have begun it */
};

#define LOSS_DOUBTS (LOSS_NOT_LISTED + 1)

struct run_result {
	uint64_t dispatcher;
	struct run_name name;
	enum run_outcome outcome;
	enum loss_doubt doubt; /* RUN_OUTCOME_LOST */
	/* Until its end, or, if it was lost, until its server's crash. */
	uint32_t run_ms;
	/* Not sent to the dispatcher: of the request; for how long the run went
	 * on after its dispatcher's lease had ended. */
	uint32_t expected_ms;
	int64_t outlived_ms;
};

/* A run in progress. */
struct run_progress {
	char job[LEASED_JOB_SIZE];
	uint32_t ran_ms, expected_ms; /* so far; of the request */
};

/* A run that was lost with its server. */
struct run_loss {
	char class_name[CF_NAME_SIZE];
	uint32_t ran_ms; /* until the crash */
	uint32_t losses; /* servers that crashed under its task before */
	enum loss_doubt doubt;
};

/* What shows that a server's process crashed. */
struct crash_sign {
	int64_t crashed_ms; /* or shortly before */
	bool by_next_incarnation; /* which may have answered calls already */
	bool calls_unanswered; /* it left calls unanswered lately */
};

/* For logs and labels; also for values of newer agents. */
const char *loss_doubt_name(enum loss_doubt doubt);

#define RUN_FAILURES_COUNTED_MAX 4

struct run_load {
	/* Minus queued runs too. While one resource is exceeded, as the
	 * server's capacity has shrunk, no processors are free either. */
	int64_t free_cpu_milli, free_memory_mb;
	uint32_t running, queued;
	/* Consecutive failed jobs, of all dispatchers. Several failed tasks of
	 * one job count once, because they all fail if the job itself is
	 * faulty. At most RUN_FAILURES_COUNTED_MAX. */
	uint32_t failed_in_a_row;
};

struct run_table *run_table_create(void);
void run_table_destroy(struct run_table *table); /* NULL is allowed */
void run_table_set_capacity(struct run_table *table,
			    const struct cf_capacity *capacity);

/* Queues a run. A run that is in the table already is left unchanged. It isn't
 * started while the server has a run of its task for another dispatcher. */
void run_table_enqueue(struct run_table *table, const struct run_request *run,
		       int64_t now_ms);
/* Returns the next run to start and marks it as starting, or NULL if none can
 * start now. Queued runs past their deadline or the end of their dispatcher's
 * lease end as not started. */
const struct run_request *run_table_next_start(struct run_table *table,
					       int64_t now_ms);
/* Records the answer to a start call, or that no answer came. */
void run_table_start_answered(struct run_table *table,
			      const struct run_name *name,
			      enum run_refusal refusal, int64_t now_ms);
void run_table_start_unanswered(struct run_table *table,
				const struct run_name *name);
/* The start call was never sent: the run ends as not started. */
void run_table_start_not_sent(struct run_table *table,
			      const struct run_name *name, int64_t now_ms);

/* Runs of two dispatchers may have the same name. */
void run_table_stop(struct run_table *table, uint64_t dispatcher,
		    const struct run_name *name);
/* Stops all runs of a dispatcher except those listed in kept. */
void run_table_stop_others(struct run_table *table, uint64_t dispatcher,
			   const struct run_name *kept, size_t n_kept);
/* Ends all queued runs as not started: the server takes no more work. */
void run_table_return_queued(struct run_table *table);
/* Returns a run to which a stop has to be sent now; false if there is none. */
bool run_table_next_stop(struct run_table *table, int64_t now_ms,
			 struct run_name *name);
void run_table_stop_acked(struct run_table *table, const struct run_name *name,
			  int64_t now_ms);
/* True if a stop was acknowledged and no later list has shown the result. */
bool run_table_awaits_list(const struct run_table *table);
/* The age of the oldest unacknowledged stop request; 0 if there is none. */
int64_t run_table_stop_age_ms(const struct run_table *table, int64_t now_ms);

/* The dispatcher's lease was renewed. Runs that have to stop keep the lease end
 * of the time at which that was requested. */
void run_table_extend_lease(struct run_table *table, uint64_t dispatcher,
			    int64_t lease_end_ms);
/* True if the server's last list had runs that aren't in the table. */
bool run_table_has_unknown_runs(const struct run_table *table);
/* Until when the server's lease may be renewed: the earliest lease end of the
 * runs that may be there without an acknowledged stop. INT64_MIN: there are
 * unknown runs, which have to stop. INT64_MAX: no limit. */
int64_t run_table_renew_until_ms(const struct run_table *table);

/* Applies the server's lists from a poll that was sent at sent_ms. Running
 * runs that are not in the table are appended to unknown_runs. */
void run_table_apply_lists(struct run_table *table,
			   const struct run_lists *lists, int64_t sent_ms,
			   int64_t now_ms, GArray *unknown_runs);
/* The server process crashed. Runs that it may have had then are lost; each
 * still ends with the lease or with a list of the new incarnation. They are
 * appended to losses (struct run_loss), the youngest first. */
void run_table_server_crashed(struct run_table *table,
			      const struct crash_sign *sign, int64_t now_ms,
			      GArray *losses);
/* The server has not crashed after all. */
void run_table_server_answered(struct run_table *table);
/* Ends all runs: the server's lease has expired, so nothing runs there. */
void run_table_lease_expired(struct run_table *table, int64_t now_ms);
/* The server process was restarted some time before now. Runs that were
 * started may be running in the new incarnation and are stopped there. */
void run_table_server_restarted(struct run_table *table, int64_t now_ms);

/* What is known of a run that ended in the last seconds; NULL: nothing. */
const struct ended_run *run_table_find_ended(const struct run_table *table,
					     const struct run_name *name,
					     int64_t now_ms);
bool run_table_has(const struct run_table *table, uint64_t dispatcher,
		   const struct run_name *name);
bool run_table_has_dispatcher(const struct run_table *table,
			      uint64_t dispatcher);
bool run_table_is_idle(const struct run_table *table); /* it has no runs */
void run_table_get_load(const struct run_table *table, struct run_load *load);
/* Appends a struct run_progress for each run that is known to run and isn't
 * being stopped. */
void run_table_list_progress(const struct run_table *table, int64_t now_ms,
			     GArray *progress);
/* Appends the runs that use the server now (const struct run_request), valid
 * until the table changes. */
void run_table_list_running(const struct run_table *table, GPtrArray *requests);
/* Removes the oldest result; false if there is none. */
bool run_table_pop_result(struct run_table *table, struct run_result *result);
/* Returns the runs lost with the server since the last call (struct lost_run).
 * The caller releases the array. */
GArray *run_table_take_lost(struct run_table *table);

#endif
