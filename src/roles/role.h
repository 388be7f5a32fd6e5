/*
 * role: entry points of the roles. Each one takes its settings and returns
 * the exit status of the process (0 success, 1 failure, 2 usage error).
 */
#ifndef ROLES_ROLE_H
#define ROLES_ROLE_H

#include "base/settings.h"
#include "net/doors.h"

/* Each runs until SIGTERM or SIGINT, then stops gracefully. */
int coordinator_main(const struct settings *settings);
int dispatcher_main(const struct settings *settings);
int agent_main(const struct settings *settings);
int standalone_main(const struct settings *settings);
int backend_main(const struct settings *settings); /* stand-in server */
int load_main(const struct settings *settings);
int leased_dispatcher_main(const struct settings *settings);
int leased_agent_main(const struct settings *settings);

/* Operator commands; argv[0] is the command ("class", "status", ...). */
int operator_main(int argc, char **argv);
int trace_main(int argc, char **argv); /* trace check|replay */

/* Start and stop functions that standalone uses to run several roles in
 * one process. */
struct coordinator;
struct coordinator *coordinator_start(const struct settings *settings,
				      GError **error);
void coordinator_stop(struct coordinator *coordinator); /* graceful; blocks */
struct dispatcher;
struct dispatcher *dispatcher_start(const struct settings *settings,
				    GError **error);
void dispatcher_stop(struct dispatcher *dispatcher);
struct agent;
struct agent *agent_start(const struct settings *settings, GError **error);
void agent_stop(struct agent *agent);
struct backend;
struct backend *backend_start(const struct settings *settings, GError **error);
void backend_stop(struct backend *backend); /* lets running tasks end */
uint16_t backend_port(const struct backend *backend); /* serves tasks */

/* The address under which other processes reach this one: the advertised
 * address if set, else the listen address with the port in use. Free it
 * with g_free. */
char *role_address(const struct settings *settings, uint16_t port);
/* Reads the limits of the process and divides them among its doors. Logs the
 * result. */
void role_divide_doors(const struct settings *settings,
		       enum door_division division,
		       struct door_limits doors[DOOR_COUNT]);
/* Opens the event trace file if the settings name one. */
bool role_open_trace(const struct settings *settings, uint64_t incarnation,
		     GError **error);
GQuark role_error_quark(void);
/* Sets an error from an APR status code. */
void role_set_error(GError **error, const char *what, int status);
/* Logs and frees the error; returns the exit status. */
int role_start_failed(GError *error);

/* Blocks SIGTERM, SIGINT and SIGHUP in all threads and ignores SIGPIPE and
 * SIGXFSZ; call it before any thread is created. role_wait_for_stop then
 * waits for SIGTERM or SIGINT. */
void role_block_signals(void);
void role_wait_for_stop(void);
/* Sets the function that role_wait_for_stop calls on SIGHUP; NULL: none. */
void role_set_reload_handler(void (*reload)(void *arg), void *arg);
/* The formats that the platform's callers, operators and backend servers
 * use. Set once, before any role starts. */
struct formats;
void role_set_formats(const struct formats *formats);
const struct formats *role_formats(void);
void role_request_stop(void); /* sends SIGTERM; any thread */

#endif
