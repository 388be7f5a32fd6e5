/*
 * dispatch_internal: types and functions shared by the dispatch_*.c files.
 */
#ifndef LEASED_DISPATCH_INTERNAL_H
#define LEASED_DISPATCH_INTERNAL_H

#include "leased/dispatch.h"
#include "leased/interference_view.h"
#include "leased/run_numbers.h"
#include "leased/speed_view.h"

#include <math.h>

/* ---- Rates ---------------------------------------------------------- */

/* Time constant of the arrival rates. */
#define ARRIVAL_PERIOD_MS 1000

/* A rate per millisecond, averaged with exponential decay. */
struct rate {
	double per_ms;
	int64_t updated_ms;
};

void rate_add(struct rate *rate, double amount, double period_ms,
	      int64_t now_ms);
double rate_now(const struct rate *rate, double period_ms, int64_t now_ms);

/* ---- Servers -------------------------------------------------------- */

/* A server whose run times are this many times the average is slow. */
#define SERVER_SLOW_SPEED 1.25

#define SERVER_CLASSES_MAX 8

/* Runs of a class at a server: those of this dispatcher, including starts that
 * are not reported yet, and all of them as last reported. */
struct server_class {
	char name[CF_NAME_SIZE]; /* empty: unused */
	uint32_t own, reported;
};

struct dispatch_server {
	uint64_t id; /* key in the health records */
	struct dispatch_agent *agent; /* NULL: both are gone */
	struct server_state state;
	/* Taken by sent starts that the agent's reports don't include yet. */
	int64_t pending_cpu_milli, pending_memory_mb;
	uint32_t own_runs;
	int64_t own_cpu_milli;
	/* Jobs with runs here, and those of them with late runs. Recounted in
	 * each tick, by job rather than by run: the tasks of one job take
	 * similar times, so several late ones are not independent evidence. */
	uint32_t jobs, late_jobs;
	const struct dispatch_job *last_counted_job, *last_late_job;
	int64_t last_success_ms; /* when a run last succeeded */
	int64_t last_start_ms; /* when a task was last sent */
	double speed; /* factor on run times at a server of average speed */
	bool speed_known; /* measured by enough runs */
	int64_t speed_measured_ms; /* end of the newest run that was measured */
	/* Its speed has to be measured anew, as it has been replaced. */
	bool speed_reset;
	bool reported; /* included in the report that is being read */
	bool offers_more; /* than before that report */
	uint32_t suspects; /* runs of suspect tasks here */
	int64_t last_usable_ms;
	/* Further classes than these are not tracked. */
	struct server_class classes[SERVER_CLASSES_MAX];
};

struct pending_start {
	uint64_t position; /* in the sequence of starts sent to the agent */
	struct dispatch_server *server;
	uint32_t cpu_milli, memory_mb;
};

struct dispatch_agent {
	struct agent_identity identity;
	GPtrArray *servers; /* struct dispatch_server */
	bool connected;
	bool lease_stale; /* no lease renewal for LEASE_STALE_MS */
	int64_t disconnected_ms; /* when the connection was lost */
	int64_t lease_granted_ms; /* start of the newest lease it may hold */
	uint64_t starts_sent; /* on this connection */
	GQueue *pending_starts; /* struct pending_start, oldest first */
	bool runs_contained; /* its server may run contained tasks */
};

/* ---- Jobs ----------------------------------------------------------- */

enum dispatch_task_state {
	DISPATCH_TASK_WAITING,
	DISPATCH_TASK_SENT,
	DISPATCH_TASK_DONE,
};

/* A task under which this many servers may have crashed is given up, with its
 * job. That it was the cause isn't shown, so the job hasn't failed. */
#define TASK_LOSSES_MAX 3
/* The same for confirmed crashes within LOSS_SUSPECT_MS of the start of its
 * run. A task that was just started is the likelier cause of a crash than one
 * that had run for long, which may only have run beside the cause. */
#define TASK_SUSPECT_LOSSES_MAX 2
#define LOSS_SUSPECT_MS 100

/* Servers that crashed while a run of the task may have been at work there. */
struct loss_count {
	uint32_t all;
	/* The run was at work, and within LOSS_SUSPECT_MS of its start. */
	uint32_t suspect;
};

struct dispatch_task {
	uint32_t index;
	enum dispatch_task_state state;
	/* Of the newest run; before the first one, the highest number of an
	 * earlier try of the job. */
	uint32_t number;
	uint32_t failures, moves;
	uint32_t unreadable_starts; /* refused by servers as malformed */
	struct loss_count losses;
	uint32_t lost_after_ms; /* age of its last run that was lost so */
	bool suspect; /* it may have crashed a server */
	uint64_t lost_on[TASK_LOSSES_MAX]; /* ids of those where it was sent */
	uint32_t n_lost_on;
	bool stopping; /* a stop command was sent */
	bool overdue_reported;
	struct dispatch_server *server; /* DISPATCH_TASK_SENT */
	uint64_t avoided_server; /* server that it last left without success */
	int64_t sent_ms;
	double expected_ms; /* run time as expected when it was sent */
	bool speed_was_known; /* of its server, when it was sent */
	double interference; /* server_interference() when it was sent */
	GArray *failed_on; /* uint64_t server ids, or NULL */
};

/* Jobs that wait for capacity in one order. Work is processors times run time,
 * in thousandths of a processor x ms. */
struct dispatch_lane {
	/* struct dispatch_job with waiting tasks, most urgent first */
	GSequence *queue;
	double queued_work; /* predicted work of waiting tasks */
	double virtual_time; /* work started divided by the lane's share */
};

struct dispatch_class {
	char name[CF_NAME_SIZE];
	uint32_t priority; /* of the route last seen; 0 is the most urgent */
	struct dispatch_lane lane; /* jobs that can still meet their target */
	struct rate arrival_rate; /* work that arrives per ms */
	double running_work; /* predicted work of tasks at servers */
	int64_t running_cpu_milli;
	uint32_t unsent_jobs; /* jobs of which no task was sent */
	bool contained; /* runs on few servers, see containment.h */
	/* Mean logarithm by which known interference has slowed its runs. */
	double slowdown_log;
};

struct dispatch_job {
	char id[LEASED_JOB_SIZE];
	struct route route;
	struct job_spec spec;
	struct dispatch_class *class;
	GPtrArray *callers;
	int64_t arrived_ms, deadline_ms;
	/* Latest start of its last task that meets its target. */
	int64_t target_start_ms;
	/* Latest start of its first task with which its answer is of use and
	 * its caller has time left to act on a refusal. */
	int64_t useful_start_ms;
	int64_t useful_end_ms; /* its answer is of no use afterwards */
	bool is_late; /* waits in the lane of late jobs */
	bool is_contained; /* waits in the lane of contained jobs */
	bool has_suspect; /* one of its tasks is or was suspect */
	uint32_t predicted_ms; /* on an average server, without interference */
	double slowdown; /* factor that its class had when the job arrived */
	/* Longest successful run so far, at average speed; 0: none. */
	uint32_t slowest_ms;
	struct dispatch_task *tasks;
	uint32_t n_waiting, n_sent, n_done;
	bool ever_sent; /* a start was sent, so a task may have run */
	bool ended; /* answered, but its runs may still be ending */
	GSequenceIter *queue_entry; /* NULL: no task waits */
};

struct dispatch {
	struct dispatch_sink *sink;
	char data_centre[CF_NAME_SIZE];
	const struct cf_config *config;
	GHashTable *jobs; /* id -> struct dispatch_job */
	GHashTable *classes; /* name -> struct dispatch_class */
	GHashTable *losses; /* job id -> struct job_losses */
	struct run_numbers *numbers; /* of jobs that have ended */
	GHashTable *agents; /* incarnation -> struct dispatch_agent */
	GPtrArray *servers; /* struct dispatch_server */
	uint64_t next_server;
	struct cf_predict *predict;
	struct cf_health *health;
	struct speed_view *speeds;
	bool uneven; /* some servers are slow (SERVER_SLOW_SPEED) */
	bool fast_scarce; /* the others have little free capacity */
	int64_t fast_counted_ms; /* when that was last determined */
	/* Servers of at most this speed are reserved for a job that waits for
	 * one; 0: none. Set during dispatch_place_tasks(). */
	double reserved_speed;
	struct interference_view *interference;
	int64_t interference_ms; /* when it was last judged */
	struct containment *containment;
	bool containment_disabled;
	bool containing; /* some class or task is contained */
	uint32_t suspects; /* unfinished suspect tasks */
	struct dispatch_lane contained; /* jobs with contained tasks */
	struct dispatch_lane late; /* jobs that can't meet their target */
	uint64_t late_jobs; /* that ever were in it */
	struct rate in_time_rate; /* work of jobs admitted to be in time */
	uint64_t lost_runs; /* with their servers */
	uint64_t crashing_jobs, doubtful_jobs; /* see struct dispatch_load */
	double virtual_time; /* of the lane served last */
	bool placing; /* dispatch_place_tasks() is running */
	/* Set while few servers fail all their tasks. If many do, the fault is
	 * likely in the tasks or in something the servers share. */
	bool avoids_failing;
	bool has_demand;
	int64_t last_demand_ms; /* when capacity was last short */
};

/* ---- Jobs (dispatch_jobs.c) ----------------------------------------- */

void dispatch_end_job(struct dispatch *d, struct dispatch_job *job,
		      enum job_verdict verdict, const char *reason,
		      uint32_t retry_after_s);
void dispatch_free_job_if_finished(struct dispatch *d, struct dispatch_job *job,
				   int64_t now_ms);
void dispatch_abort_job(struct dispatch *d, struct dispatch_job *job,
			const char *reason, int64_t now_ms);

/* ---- Losses (dispatch_losses.c) ------------------------------------- */

GHashTable *losses_create(void);
/* Applies the losses of an earlier submission of the job. */
void losses_restore(struct dispatch *d, struct dispatch_job *job,
		    int64_t now_ms);
/* Counts a lost run. */
void losses_add(struct dispatch *d, const struct run_result *lost,
		int64_t now_ms);
/* The same for a run of another dispatcher. */
void losses_add_foreign(struct dispatch *d, const struct run_result *result,
			int64_t now_ms);
/* Gives the job up if a task has lost too many servers; returns whether it has.
 */
bool losses_end_job(struct dispatch *d, struct dispatch_job *job);

/* ---- Order (dispatch_order.c) --------------------------------------- */

/* The class's share of the starts, from 0 to 1. */
double dispatch_class_share(const struct dispatch *d,
			    const struct dispatch_class *class, int64_t now_ms);
void dispatch_lane_init(struct dispatch_lane *lane);
void dispatch_lane_clear(struct dispatch_lane *lane);
/* The lane that the job waits in. */
struct dispatch_lane *dispatch_job_lane(struct dispatch *d,
					const struct dispatch_job *job);
void dispatch_queue_job(struct dispatch *d, struct dispatch_job *job);
void dispatch_unqueue_job(struct dispatch_job *job);
/* Adds tasks to the waiting ones; a negative number removes them. */
void dispatch_count_waiting(struct dispatch *d, struct dispatch_job *job,
			    int32_t tasks);
/* Predicted work of one task of the job. */
double dispatch_task_work(const struct dispatch_job *job);
/* Moves a job of which nothing was sent to the lane of late jobs. */
void dispatch_make_late(struct dispatch *d, struct dispatch_job *job,
			int64_t now_ms);
/* Returns the lane with waiting jobs that is served next, among those not
 * tried in this round; NULL if there is none. */
struct dispatch_lane *dispatch_next_lane(struct dispatch *d, GPtrArray *tried);
/* Counts a start of a task against the share of the job's lane. */
void dispatch_charge_lane(struct dispatch *d, const struct dispatch_job *job,
			  int64_t now_ms);

/* ---- Admission (dispatch_admit.c) ----------------------------------- */

/* Returns whether the job is admitted, in time or late; if not, sets the reason
 * and when to retry. */
bool admit_job(struct dispatch *d, struct dispatch_job *job, int64_t now_ms,
	       const char **reason, uint32_t *retry_after_s);
uint32_t admit_retry_after_s(const struct dispatch *d,
			     const struct dispatch_job *job, int64_t now_ms);

/* ---- Servers (dispatch_servers.c) ----------------------------------- */

bool server_is_usable(const struct dispatch *d,
		      const struct dispatch_server *server);
int64_t server_free_cpu_milli(const struct dispatch_server *server);
int64_t server_offered_cpu_milli(const struct dispatch_server *server);
int64_t server_free_memory_mb(const struct dispatch_server *server);
/* Run time of a task of the job on this server by the measured speed. Slow runs
 * are judged by it. */
double server_expected_ms(const struct dispatch_server *server,
			  const struct dispatch_job *job);
/* Predicted run time of a task of the job on this server: the expected one,
 * longer if its runs were slower than expected lately or if runs there slow it
 * down. */
double server_run_ms(const struct dispatch *d,
		     const struct dispatch_server *server,
		     const struct dispatch_job *job);
void server_add_run(struct dispatch_server *server,
		    const struct dispatch_job *job);
void server_remove_run(struct dispatch_server *server,
		       const struct dispatch_job *job);
/* The server fails all its tasks and isn't due for its next probe. */
bool server_is_avoided(const struct dispatch *d,
		       const struct dispatch_server *server, int64_t now_ms);
void servers_tick(struct dispatch *d, int64_t now_ms);

/* ---- Interference (dispatch_interference.c) ------------------------- */

void server_add_class(struct dispatch_server *server, const char *class_name);
void server_remove_class(struct dispatch_server *server,
			 const char *class_name);
/* How many times as long a task of the job takes there because of what runs
 * there; 1 if no pair of classes is known to interfere. */
double server_interference(const struct dispatch *d,
			   const struct dispatch_server *server,
			   const struct dispatch_job *job);
/* The same for a run that is at its server: the mean of what runs there now and
 * what ran there when it was sent. */
double run_interference(const struct dispatch *d,
			const struct dispatch_job *job,
			const struct dispatch_task *task);
/* Counts the slowdown of a run that has ended in the mean of its class. */
void class_add_slowdown(struct dispatch_class *class, double factor);
/* How many times as long runs of the class have taken lately because of known
 * interference. Where capacity is short, classes can't be kept apart, and
 * admission has to count on that. */
double class_slowdown(const struct dispatch_class *class);
/* How much longer what runs there takes if a task of the job starts there. At
 * most the time that the job can lose without missing its target. */
double server_harm_ms(const struct dispatch *d,
		      const struct dispatch_server *server,
		      const struct dispatch_job *job, int64_t now_ms);
void interference_tick(struct dispatch *d, int64_t now_ms);

/* ---- Containment (dispatch_contain.c) ------------------------------- */

#define CONTAINED_REFUSAL "its class may crash servers and none for it is up"

/* Whether the task may run on few servers only. */
bool contain_task(const struct dispatch_job *job,
		  const struct dispatch_task *task);
/* Whether the task may run there. */
bool contain_allows(const struct dispatch *d,
		    const struct dispatch_server *server,
		    const struct dispatch_job *job,
		    const struct dispatch_task *task);
/* How much later the task may end elsewhere for that to be preferred. */
double contain_penalty_ms(const struct dispatch *d,
			  const struct dispatch_server *server,
			  const struct dispatch_job *job,
			  const struct dispatch_task *task);
/* The task's run was lost with its server after this time. Called while the
 * task is still at the server. */
void contain_note_loss(struct dispatch *d, struct dispatch_job *job,
		       struct dispatch_task *task, uint32_t ran_ms);
void contain_choose_servers(struct dispatch *d);
/* The job's class is contained, nothing of the job was sent, and no server for
 * it will be up before its useful start. */
bool contain_refuses(const struct dispatch *d, const struct dispatch_job *job,
		     int64_t now_ms);
/* A predicted wait of a refused job. If its class is contained, at least until
 * a server for it is up and at most until the containment can end. */
int64_t contain_wait_ms(const struct dispatch *d,
			const struct dispatch_job *job, int64_t wait_ms,
			int64_t now_ms);
void contain_tick(struct dispatch *d, int64_t now_ms);

/* ---- Placement (dispatch_place.c) ----------------------------------- */

/* Starts as many waiting tasks as fit. */
void dispatch_place_tasks(struct dispatch *d, int64_t now_ms);

/* ---- Demand (dispatch_demand.c) ------------------------------------- */

/* Records that a task or a job found too little free capacity. */
void dispatch_note_demand(struct dispatch *d, int64_t now_ms);
/* Ends the demand once capacity was not short for DEMAND_HOLD_MS. */
void dispatch_expire_demand(struct dispatch *d, int64_t now_ms);

/* ---- Late runs (dispatch_late.c) ------------------------------------ */

/* Stops runs that take far longer than predicted, to run them elsewhere, while
 * there is time left for another run. */
void dispatch_move_late_runs(struct dispatch *d, int64_t now_ms);

#endif
