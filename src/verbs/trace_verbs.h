/*
 * trace_verbs: reads event traces from files.
 */
#ifndef VERBS_TRACE_VERBS_H
#define VERBS_TRACE_VERBS_H

#include "chervilferry.h"

/* Adds the events of a file. Ignores an incomplete last line, which a
 * killed process leaves behind; stops at the first other invalid line and
 * sets *error. */
bool trace_read(struct cf_trace *trace, const char *path, GError **error);

/* Feeds the events of a file to the replay, in file order. */
bool trace_replay_file(struct cf_replay *replay, const char *path,
		       GError **error);

#endif
