/*
 * world_jobs: random jobs of a simulated load and the answers to their callers.
 * Shared by dispatch_world and many_world.
 */
#ifndef SUPPORT_WORLD_JOBS_H
#define SUPPORT_WORLD_JOBS_H

#include "support/dispatch_world.h"

struct world_job {
	uint32_t number;
	size_t class;
	bool poison, large, answered, started;
	bool lost_twice; /* a young run of one task, with its server */
	bool crashing; /* its first task crashes its server */
	uint32_t crashes;
	uint32_t tasks, work_ms;
	int64_t arrived_ms, objective_ms;
	uint32_t *task_ms; /* run times on a healthy server */
	uint32_t *running; /* current number of runs of each task */
};

/* Draws how many jobs of the class arrive in this millisecond. */
uint32_t world_arrivals(GRand *random, const struct world_class *class,
			double factor, double *arrivals_due);
/* Creates a job of a class; poison is the probability that its tasks always
 * fail. */
struct world_job *world_job_create(GRand *random,
				   const struct world_class *classes,
				   size_t class, double poison, uint32_t number,
				   int64_t now_ms);
void world_job_destroy(gpointer job);
/* Fills in the request to a dispatcher. The caller must release the spec's
 * bytes. */
void world_job_request(GRand *random, const struct world_class *classes,
		       struct world_job *job, struct job_request *request);
/* Counts the answer in the tally of the job's class. */
void world_job_answered(struct world_job *job, const struct job_answer *answer,
			struct world_result *result, int64_t now_ms);

#endif
