/*
 * replay_run: what a placement policy makes of a recorded trace. The
 * policy "finish" comes with admission, order by slack and health; the
 * baselines with none of them.
 */
#ifndef SUPPORT_REPLAY_RUN_H
#define SUPPORT_REPLAY_RUN_H

#include "replay.h"

#define REPLAY_CLASSES_MAX 16

struct replay_outcome {
	/* response beside the longest task's own time and a round trip, of
	 * the jobs that were answered */
	double p50, p99;
	uint32_t jobs, answered, within, refused, failed, dropped;
	uint32_t tasks, tasks_lost;
	double busy; /* part of the usable slots, while jobs came */
	uint32_t n_classes;
	struct {
		uint32_t asked, answered, within, refused;
	} classes[REPLAY_CLASSES_MAX];
};

/* The same trace and policy give the same outcome. */
void replay_simulate(const struct replay *replay, const char *policy,
		     struct replay_outcome *outcome);

#endif
