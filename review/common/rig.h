/*
 * rig: a small deployment on loopback for the cases of the review: the
 * project's programs as separate processes, and stand-ins for what the users'
 * pages describe: runners (PROTOCOL.md, "Running tasks"), clients, and a relay
 * that can reset or silence connections. All times are in ms of the steady
 * clock since rig_begin().
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stdint.h>

#define RIG_ZONES 3
#define RIG_CORES_MAX 60 /* members of the core in all */
#define RIG_RUNNERS 11 /* and as many agents: 4, 4 and 3 in the zones */

/* ---- The whole deployment -------------------------------------------- */

/* Starts a coordinator and a dispatcher in each zone, the agents, and a runner
 * beside each agent; sets a configuration and waits until all fronts
 * are ready. Ends the process with status 2 if that fails. */
void rig_begin(void);
/* Ends everything that was started, writes the verdict to the record and
 * exits: 1 if broken, else 0. */
void rig_finish(bool broken) __attribute__((noreturn));
/* The case couldn't run: ends everything and exits with 2. */
void rig_abort(const char *why) __attribute__((noreturn));
bool rig_trouble(void); /* false: TROUBLE=0 */

int64_t rig_now(void);
void rig_sleep_until(int64_t ms);
/* One line in record.txt, with the time. */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Processes: "front1", "agent2", "core3", ... */
void rig_signal(const char *process, int signal_number);
/* SIGKILL, and waits for its end. */
void rig_kill(const char *process);
/* Starts it again with the command that it had. A coordinator is told that
 * it isn't the first start; wipe: its folder is emptied before. */
void rig_restart(const char *process, bool wipe);
/* Starts processes that ended by themselves again, as the platform does after
 * a short delay. Returns how many there were. */
int rig_restart_exited(void);
/* How often a process (from 0) has ended by itself; -1: there are no more. */
int rig_exits(int index, const char **process);

/* ---- Clients and operators -------------------------------------------- */

struct rig_client {
	int descriptor; /* -1: closed */
};

/* Sends a request to a front (1..RIG_ZONES) over a new connection. */
void rig_send(struct rig_client *client, int front, const char *method,
	      const char *id, const char *body, int deadline_ms);
/* Waits for the response until the time given. Returns the status, 0 if none
 * came, -1 if the connection ended before. */
int rig_response(struct rig_client *client, int64_t until_ms, char *body,
		 int size);
/* Closes the connection with a reset, or in order. */
void rig_reset(struct rig_client *client);
void rig_close(struct rig_client *client);
/* The same, but the connection is reset before the front has read the
 * request. */
void rig_send_reset(int front, const char *method, const char *id);
/* A whole job with count tasks. spec: "ms=300", the time that each takes, or
 * "ms=300 fail=3", of which the one with index 3 then fails. */
char *rig_job(int count, int cpu, int estimate_ms, const char *spec);
/* Sends a call to the control addresses in turn until one acknowledges it. */
int rig_control(const char *method, const char *path, const char *body,
		int64_t until_ms, char *answer, int size);
char *rig_config(int version);

/* ---- Changes of the core ----------------------------------------------- */

/* Before rig_begin(): fronts reach the others without relays. */
void rig_direct(void);
/* One more member of the core, from RIG_ZONES + 1, at an address of its own
 * with an empty disk; its settings name three others. */
void rig_core_start(int core, const int *seeds);
/* SIGTERM; it doesn't come back. */
void rig_core_stop(int core);
/* The settings files name these from now on. */
void rig_name_seeds(const int *cores);
/* The members of the group, which of them vote, and who leads. Returns their
 * number, 0: nobody leads. */
int rig_members(int *cores, bool *votes, int max, int *leader);
/* Asks a front for the count of a queue. */
int rig_get(int front, const char *path, int *status);

/* ---- Runners ----------------------------------------------------------- */

/* One run that a runner began. */
struct rig_run {
	char task[64];
	int number;
	int runner; /* 1..RIG_RUNNERS */
	int64_t began_ms, ended_ms; /* ended_ms 0: still runs */
	char how[16];
};

/* The next starts, at whatever runners, are answered with 503 and not carried
 * out. */
void rig_shed_starts(int count);
/* Requests and runs aren't recorded one by one; the case does it. */
void rig_quiet(void);
/* Tasks that a front counts as being at runners (its metrics), -1: unknown. */
int rig_tasks_sent(int front);
/* Copies up to max runs of tasks that begin with the prefix. */
int rig_runs(const char *prefix, struct rig_run *runs, int max);
/* Waits until a run with this prefix has begun after from_ms. Returns its
 * runner, 0: none until then. */
int rig_wait_run(const char *prefix, int64_t from_ms, int64_t until_ms);
/* Pairs of runs of one task that overlapped by more than slack_ms. Writes each
 * to the record. */
int rig_overlaps(int slack_ms);

/* ---- Connections between dispatchers and agents ------------------------ */

void rig_links_reset(int agent); /* all of this agent's */
void rig_links_silence(int agent); /* those that are open, for good */

#endif
