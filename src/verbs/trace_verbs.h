/*
 * trace_verbs: reading event traces from files.
 */
#ifndef ROLES_TRACE_VERBS_H
#define ROLES_TRACE_VERBS_H

#include "chervilferry.h"

/* Adds a file's events. The half line that a killed process left at the
 * end is passed over; other bad lines are told in *error, once. */
bool trace_read(struct cf_trace *trace, const char *path, GError **error);

/* Feeds a file's events to the replay, in their order. */
bool trace_replay_file(struct cf_replay *replay, const char *path,
		       GError **error);

#endif
