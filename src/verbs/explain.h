/*
 * explain: collects the log lines of one request from the logs of all
 * processes and states the cause of its outcome in one line. Only
 * explain_main does I/O.
 */
#ifndef VERBS_EXPLAIN_H
#define VERBS_EXPLAIN_H

#include <glib.h>

/* The lines may come from several files, in any order; lines that are no
 * log lines are skipped. Returns the request's lines sorted by time,
 * followed by a line "cause: …". Free it with g_free. */
char *explain_request(const char *id, char **lines);
int explain_main(int argc, char **argv); /* explain ID FILE... */

#endif
