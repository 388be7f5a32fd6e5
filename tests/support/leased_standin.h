/*
 * leased_standin: a simulated backend server (stand-in) that runs tasks under
 * a lease, like the servers of the users' platform. It starts and stops runs,
 * lists them, and ends all runs when its lease ends. The spec of a task is its
 * run time in ms. All stand-ins of a test record the start and end of each
 * run, so that overlapping runs of one task are detected.
 */
#ifndef SUPPORT_LEASED_STANDIN_H
#define SUPPORT_LEASED_STANDIN_H

#include <stdint.h>

struct standin;
struct standin_record; /* shared by the stand-ins of a test */

struct standin_record *standin_record_create(void);
void standin_record_destroy(struct standin_record *record);
/* Number of pairs of overlapping runs of the same task. */
uint32_t standin_overlapping_runs(struct standin_record *record);
uint32_t standin_runs(struct standin_record *record);
/* Number of runs of the tasks of one job. */
uint32_t standin_runs_of(struct standin_record *record, const char *job);

/* When the last run has ended; 0: a run that is not known to have ended. */
int64_t standin_last_end_ms(struct standin_record *record);
/* Stops are refused. Set before the first run. */
void standin_refuse_stops(struct standin_record *record);
/* From now on, all lists have entries of another writer. */
void standin_add_odd(struct standin_record *record);
/* The next n starts, at any stand-in, are refused with status 503. */
void standin_refuse_starts(struct standin_record *record, uint32_t n);
/* Polls are refused; and how many polls there were. */
void standin_refuse_polls(struct standin_record *record);
uint32_t standin_polls(const struct standin_record *record);
/* Calls of the kinds in the mask (1 << enum standin_call) are held at all
 * stand-ins, also at those that are created later; or carried out, but not
 * answered. */
void standin_hold_all(struct standin_record *record, uint32_t kinds);
void standin_mute_all(struct standin_record *record, uint32_t kinds);
/* Polls don't wait for a run to end. */
void standin_answer_polls_at_once(struct standin_record *record);
/* Number of runs whose start call came to a stand-in, whatever became of it. A
 * repeated call counts once, one that came after the crash doesn't count. */
uint32_t standin_starts(struct standin_record *record);
/* The stand-in where this task of the job runs now, or NULL. */
const struct standin *standin_running(struct standin_record *record,
				      const char *job, uint32_t index);

/* Runs with this label take factor times as long while a run with the other
 * label is at the same stand-in. Set before the first run. */
void standin_set_slowdown(struct standin_record *record, const char *label,
			  const char *beside, double factor);
/* Counts the ended runs with this label that began at from_ms or later, and
 * those of them that began while a run with the other label was at the same
 * stand-in. */
void standin_count_beside(struct standin_record *record, const char *label,
			  const char *beside, int64_t from_ms, uint32_t *runs,
			  uint32_t *beside_runs);

/* The stand-in listens at address and reports advertised_address to the
 * agent. */
struct standin *standin_create(struct standin_record *record, const char *name,
			       const char *address,
			       const char *advertised_address,
			       const char *agent_control);
/* Simulates a crash and a restart under the same name: all runs and all state
 * are lost, and the stand-in's clock starts anew. */
void standin_restart(struct standin *standin);
/* The same with a given start time, as after a change of the host's clock. */
void standin_restart_born(struct standin *standin, int64_t born_ms);
int64_t standin_born_ms(struct standin *standin);
/* The highest fencing token that it has seen; 0: none. */
int64_t standin_fence(struct standin *standin);
/* When its lease ends, on the clock of this host. */
int64_t standin_lease_end_ms(struct standin *standin);
uint16_t standin_port(const struct standin *standin);
/* The body of a new report; free with g_free. */
char *standin_report(struct standin *standin);

/* From now on, calls of the kinds in the mask (1 << enum standin_call) are
 * neither carried out nor answered. */
void standin_hold(struct standin *standin, uint32_t kinds);
uint32_t standin_held(struct standin *standin);
/* Carries out the held calls now, in the order in which they came. */
void standin_release(struct standin *standin);
/* A start is late if the stand-in's lease has expired, whatever the lease end
 * in the start itself. */
void standin_use_renewed_lease(struct standin *standin);
/* The same if the agent must know of it: the start was answered, and another
 * poll followed one that listed the run. */
const struct standin *standin_known_running(struct standin_record *record,
					    const char *job, uint32_t index);
/* Held calls and those without an answer. */
uint32_t standin_unanswered(struct standin *standin);
/* All runs succeed now. */
void standin_end_runs(struct standin *standin);
/* Ends all runs and drops the calls that have no answer. From now on, calls
 * have no effect. */
void standin_halt(struct standin *standin);
/* Also simulates a crash: connections are refused from then on. NULL is
 * allowed. */
void standin_destroy(struct standin *standin);

#endif
