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
 * are lost. */
void standin_restart(struct standin *standin);
/* Also simulates a crash: connections are refused from then on. NULL is
 * allowed. */
void standin_destroy(struct standin *standin);

#endif
