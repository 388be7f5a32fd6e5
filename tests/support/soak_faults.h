/*
 * soak_faults: seeded faults brought on the processes, connections and
 * backend servers of a leased system from outside, each for a while, some
 * beside each other.
 */
#ifndef SUPPORT_SOAK_FAULTS_H
#define SUPPORT_SOAK_FAULTS_H

#include "support/leased_system.h"

struct soak_faults;

/* Draws the faults of a seed; nothing begins yet. */
struct soak_faults *soak_faults_create(struct leased_system *system,
				       uint32_t seed);
void soak_faults_destroy(struct soak_faults *faults);
/* Whether all of them are planned stops. */
bool soak_faults_planned_only(const struct soak_faults *faults);
/* Begins and ends what is due at_ms after the start, and starts processes
 * that ended by themselves; false: all are over. */
bool soak_faults_step(struct soak_faults *faults, int64_t at_ms);
void soak_faults_print(const struct soak_faults *faults); /* on stderr */
uint32_t soak_faults_count(const struct soak_faults *faults);
/* A planned stop that ended badly, or a process that ended by itself with
 * planned stops alone; "": none. */
const char *soak_faults_violation(const struct soak_faults *faults);

#endif
