/*
 * leased_standin: a stand-in for a backend server that runs under a
 * lease, as the users' platform has it: starts, stops, lists, a lease
 * after whose end nothing runs. The spec of a task is its run time in ms.
 * All stand-ins of a test note when runs begin and end, so that two runs
 * of a task at the same time are found.
 */
#ifndef SUPPORT_LEASED_STANDIN_H
#define SUPPORT_LEASED_STANDIN_H

#include <stdint.h>

struct standin;
struct standin_record; /* shared by the stand-ins of a test */

struct standin_record *standin_record_create(void);
void standin_record_destroy(struct standin_record *record);
/* Pairs of runs of one task that overlap. */
uint32_t standin_overlapping_runs(struct standin_record *record);
uint32_t standin_runs(struct standin_record *record);
/* Runs of the tasks of one job. */
uint32_t standin_runs_of(struct standin_record *record, const char *job);

/* It listens at address and says that it is called at advertised_address. */
struct standin *standin_create(struct standin_record *record, const char *name,
			       const char *address,
			       const char *advertised_address,
			       const char *agent_control);
/* It crashes and starts again under its name: nothing runs, nothing of
 * before is known. */
void standin_restart(struct standin *standin);
void standin_destroy(struct standin *standin);

#endif
