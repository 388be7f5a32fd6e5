/*
 * soak_faults: injects seeded random faults into the processes, connections
 * and backend servers of a leased system from outside. Each fault lasts for a
 * while, and faults may overlap.
 */
#ifndef SUPPORT_SOAK_FAULTS_H
#define SUPPORT_SOAK_FAULTS_H

#include "support/leased_system.h"

struct soak_faults;

/* Draws the faults of a seed. No fault begins yet. */
struct soak_faults *soak_faults_create(struct leased_system *system,
				       uint32_t seed);
void soak_faults_destroy(struct soak_faults *faults);
/* Whether all faults are planned stops. */
bool soak_faults_planned_only(const struct soak_faults *faults);
/* Begins and ends the faults that are due at_ms after the start, and restarts
 * processes that have exited unexpectedly. Returns false when all faults are
 * over; processes that exit later are only restarted by further calls. */
bool soak_faults_step(struct soak_faults *faults, int64_t at_ms);
void soak_faults_print(const struct soak_faults *faults); /* to stderr */
uint32_t soak_faults_count(const struct soak_faults *faults);
/* Number of planned stops that became a kill after the grace time. */
uint32_t soak_faults_stop_kills(const struct soak_faults *faults);
/* Number of restarts of processes that exited unexpectedly. */
uint32_t soak_faults_restarts(const struct soak_faults *faults);
/* Describes the first planned stop that did not exit with status 0 or, by a
 * process that was not frozen, within the grace time. With planned stops only,
 * also the first process that exited unexpectedly. Empty if there was none. */
const char *soak_faults_violation(const struct soak_faults *faults);

#endif
