/*
 * role: what main starts. Each takes its settings and returns the exit
 * status of the process (0 done, 1 failed, 2 bad use).
 */
#ifndef ROLES_ROLE_H
#define ROLES_ROLE_H

#include "base/settings.h"

/* Runs until SIGTERM or SIGINT, then stops gracefully. */
int coordinator_main(const struct settings *settings);
int dispatcher_main(const struct settings *settings);
int agent_main(const struct settings *settings);
int standalone_main(const struct settings *settings);
int backend_main(const struct settings *settings); /* stand-in server */
int load_main(const struct settings *settings);
int leased_dispatcher_main(const struct settings *settings);
int leased_agent_main(const struct settings *settings);

/* Operator verbs; argv[0] is the verb ("class", "status", ...). */
int operator_main(int argc, char **argv);
int trace_main(int argc, char **argv); /* trace check|replay */

/* The parts of a role that standalone also runs in its process. */
struct coordinator;
struct coordinator *coordinator_start(const struct settings *settings,
				      GError **error);
void coordinator_stop(struct coordinator *coordinator); /* graceful, waits */
struct dispatcher;
struct dispatcher *dispatcher_start(const struct settings *settings,
				    GError **error);
void dispatcher_stop(struct dispatcher *dispatcher);
struct agent;
struct agent *agent_start(const struct settings *settings, GError **error);
void agent_stop(struct agent *agent);
struct backend;
struct backend *backend_start(const struct settings *settings, GError **error);
void backend_stop(struct backend *backend); /* finishes what runs */
uint16_t backend_port(const struct backend *backend); /* of its tasks */

/* Where others reach this process, with the port in use; g_free it. */
char *role_address(const struct settings *settings, uint16_t port);
/* Opens the event trace that the settings name, if any. */
bool role_open_trace(const struct settings *settings, uint64_t incarnation,
		     GError **error);
GQuark role_error_quark(void);
void role_set_error(GError **error, const char *what, int status); /* APR's */
int role_start_failed(GError *error); /* logs it, gives the exit status */

/* Blocks SIGTERM and SIGINT in all threads (call before any is made)
 * and waits for one; SIGPIPE and SIGXFSZ are ignored. */
void role_block_signals(void);
void role_wait_for_stop(void);
/* What role_wait_for_stop calls when SIGHUP came; NULL: nothing. */
void role_set_reload_handler(void (*reload)(void *arg), void *arg);
/* How callers, operators and backend servers of the platform speak; set
 * once, before any role starts. */
struct formats;
void role_set_formats(const struct formats *formats);
const struct formats *role_formats(void);
void role_request_stop(void); /* as if SIGTERM had come; any thread */

#endif
