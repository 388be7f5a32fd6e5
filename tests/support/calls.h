/*
 * calls: concurrent HTTP requests to the dispatchers of a test cluster, each on
 * a separate thread.
 */
#ifndef SUPPORT_CALLS_H
#define SUPPORT_CALLS_H

#include "cluster.h"

/* One request and its answer. Free it with call_clear. */
struct call {
	char address[40];
	char method[8];
	char key[CF_KEY_TEXT_SIZE];
	char *body; /* POST only */
	uint32_t status; /* HTTP status, 0 without an answer */
	char *answer;
	GThread *thread;
};

/* Prepares a request. A POST with a NULL body submits a job with one task. */
void call_init(struct call *call, struct cluster *c, const char *dispatcher,
	       const char *method, const char *key, const char *body);
void call_start(struct call *call);
void call_join(struct call *call);
void call_run(struct call *call); /* waits for the answer */
void call_clear(struct call *call);

bool call_answer_contains(const struct call *call, const char *text);
bool call_ran_none(const struct call *call);
bool call_ran_unknown(const struct call *call);
/* Returns true if both answers have status 200 and identical bytes. */
bool call_same_complete(const struct call *a, const struct call *b);

/* Sums a counter over all running processes of a role. */
int64_t cluster_sum(struct cluster *c, const char *role, const char *metric);
/* Waits until this many tasks have started at all agents in total. */
void cluster_wait_starts(struct cluster *c, int64_t starts);

#endif
