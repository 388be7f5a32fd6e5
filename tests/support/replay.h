/*
 * replay: reads a recorded trace of jobs for a simulation.
 */
#ifndef SUPPORT_REPLAY_H
#define SUPPORT_REPLAY_H

#include "chervilferry.h"

#define REPLAY_SERVERS_MAX 64

struct replay_job {
	int64_t at_ms;
	char class_name[CF_NAME_SIZE];
	uint32_t n_tasks;
	uint32_t *run_ms; /* actual run time of each task */
	uint32_t *declared_ms; /* declared run time of each task, or NULL */
	uint32_t deadline_ms; /* 0: none */
};

struct replay_event {
	int64_t at_ms;
	char what[CF_NAME_SIZE]; /* slow, fail, out, in, leave, cancel */
	char detail[CF_NAME_SIZE]; /* the rest of the line */
};

struct replay {
	GArray *jobs; /* struct replay_job, in order of time */
	GArray *events; /* struct replay_event, in order of time */
	GArray *classes; /* struct cf_admit_class */
	uint32_t servers, slots;
};

/* Returns NULL on error; the error names the line. */
struct replay *replay_read(const char *path, GError **error);
void replay_destroy(struct replay *replay);

#endif
