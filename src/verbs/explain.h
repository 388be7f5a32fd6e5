/*
 * explain: the life of one request, from the collected logs of all
 * processes, and its cause in one line. Pure but for explain_main.
 */
#ifndef ROLES_EXPLAIN_H
#define ROLES_EXPLAIN_H

#include <glib.h>

/* Lines of any files, in any order; those that are no log lines are passed
 * over. Returns the lines of the request in order of time and, last, a line
 * "cause: …"; to be freed with g_free. */
char *explain_request(const char *id, char **lines);
int explain_main(int argc, char **argv); /* explain ID FILE... */

#endif
