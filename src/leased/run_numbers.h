/*
 * run_numbers: the highest run number that each recent job of a dispatcher has
 * used. A job that is sent again under its id continues from there, so that the
 * name of a run (job, index, number) never stands for two runs: agents and
 * backend servers tell runs apart by their names. The module does no I/O; the
 * present time is an argument. It is not thread-safe.
 */
#ifndef LEASED_RUN_NUMBERS_H
#define LEASED_RUN_NUMBERS_H

#include <stdint.h>

struct run_numbers;

struct run_numbers *run_numbers_create(void);
void run_numbers_destroy(struct run_numbers *numbers); /* NULL is allowed */
/* The job has ended, and this is the highest number that its runs had. 0, of a
 * job without runs, changes nothing. */
void run_numbers_remember(struct run_numbers *numbers, const char *job,
			  uint32_t number, int64_t now_ms);
/* Returns 0 if none is remembered. */
uint32_t run_numbers_last(const struct run_numbers *numbers, const char *job);
uint32_t run_numbers_count(const struct run_numbers *numbers); /* of jobs */

#endif
