/*
 * replay_run: simulates a recorded trace under a placement policy. The
 * policy "finish" is combined with admission, queues ordered by slack and
 * health weights; the baselines use none of these.
 */
#ifndef SUPPORT_REPLAY_RUN_H
#define SUPPORT_REPLAY_RUN_H

#include "replay.h"

#define REPLAY_CLASSES_MAX 16

struct replay_outcome {
	/* Slowdown of the answered jobs: their response time divided by the
	 * run time of the longest task plus a round trip. */
	double p50, p99;
	uint32_t jobs, answered, within, refused, failed, dropped;
	uint32_t tasks, tasks_lost;
	double busy; /* fraction of the usable slots in use while jobs arrive */
	uint32_t n_classes;
	struct {
		uint32_t asked, answered, within, refused;
	} classes[REPLAY_CLASSES_MAX];
};

/* The same trace and policy give the same outcome. */
void replay_simulate(const struct replay *replay, const char *policy,
		     struct replay_outcome *outcome);

#endif
