/*
 * calls: callers of a cluster's dispatchers, several at once, each on a
 * thread of its own.
 */
#ifndef SUPPORT_CALLS_H
#define SUPPORT_CALLS_H

#include "cluster.h"

/* One request and its answer; freed with call_clear. */
struct call {
	char address[40];
	char method[8];
	char key[CF_KEY_TEXT_SIZE];
	char *body; /* POST only */
	uint32_t status; /* 0: no answer */
	char *answer;
	GThread *thread;
};

/* Lays out a request for the dispatcher; body NULL: a job of one task. */
void call_init(struct call *call, struct cluster *c, const char *dispatcher,
	       const char *method, const char *key, const char *body);
void call_start(struct call *call);
void call_join(struct call *call);
void call_run(struct call *call); /* starts and joins */
void call_clear(struct call *call);

bool call_answer_contains(const struct call *call,
			  const char *text); /* in the answer */
bool call_ran_none(const struct call *call);
bool call_ran_unknown(const struct call *call);
/* Both answers are 200 and the same, byte for byte. */
bool call_same_complete(const struct call *a, const struct call *b);

/* Sums a counter over the processes of a role that run. */
int64_t cluster_sum(struct cluster *c, const char *role, const char *metric);
/* Waits until as many tasks have started at all agents together. */
void cluster_wait_starts(struct cluster *c, int64_t starts);

#endif
