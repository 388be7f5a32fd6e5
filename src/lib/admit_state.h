/*
 * admit_state: the state of an admitter, maintained by admit_account.c and
 * read by the decisions in admit.c. It is used by one thread at a time; no
 * function reads a clock.
 */
#ifndef LIB_ADMIT_STATE_H
#define LIB_ADMIT_STATE_H

#include "chervilferry.h"
#include "lib/admit_share.h"

/* Bounds of the fraction of the time left by its target that a job may spend
 * waiting. */
#define ADMIT_WAIT_FRACTION_MAX 0.4
#define ADMIT_WAIT_FRACTION_MIN 0.1

struct admit_work {
	double waiting_ms; /* predicted; accepted, not yet placed */
	double running_ms; /* predicted; placed on servers */
	uint32_t running_tasks;
};

struct admit_class {
	struct cf_admit_class class;
	struct admit_share share;
	struct admit_work work;
	double wait_fraction; /* of the waiting time that its target leaves */
};

struct admit_team {
	uint32_t share_milli;
	struct admit_work work;
};

struct cf_admitter {
	GHashTable *classes; /* name to struct admit_class */
	GHashTable *teams; /* name to struct admit_team */
	struct admit_share **shares; /* one for each class */
	uint32_t n_shares;
	struct admit_work total;
	uint32_t slots;
	GRand *random;
	int64_t last_step_ms;
	bool stepped;
	double overload; /* 0..1, see admit_share_overload */
	double retries_booked_until_ms; /* end of the time booked for retries */
};

/* Finds a job's team; NULL if it names none or an unknown one. */
struct admit_team *admit_find_team(const struct cf_admitter *admitter,
				   const struct cf_admit_job *job);

/* Recomputes the shares if the interval has passed. */
void admit_step(struct cf_admitter *admitter, int64_t now_ms);

/* Counts an accepted job, and removes one that ended. */
void admit_work_add_waiting(struct admit_work *work,
			    const struct cf_admit_job *job);
void admit_work_end(struct admit_work *work, const struct cf_admit_job *job,
		    bool was_started);

#endif
