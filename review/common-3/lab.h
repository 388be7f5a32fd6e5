/*
 * lab: a small deployment of the project's own processes on loopback
 * addresses, with stand-ins for clients, runners and the operator. Each host
 * has a loopback address of its own, so that all use the same ports, as on the
 * users' machines. Nothing of the project is linked into it.
 */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_HELD 0 /* exit status: the rule held */
#define LAB_BROKEN 1 /* it was broken */
#define LAB_NOT_RUN 2 /* the case couldn't run */

#define LAB_HOSTS_MAX 24
#define LAB_RUNS_MAX 4000
#define LAB_BODY_MAX 65536

#define PORT_LINKS 7720
#define PORT_ADMIN 7721
#define PORT_FRONT 8161
#define PORT_CONTROL 8166
#define PORT_READY 8167
#define PORT_APP 8080

enum lab_role { LAB_COORDINATOR, LAB_AGENT, LAB_DISPATCHER };

struct lab_proc {
	char name[32], ip[24], zone[24];
	enum lab_role role;
	pid_t pid; /* 0: not running */
	int starts;
};

/* One run of a task on a runner, as the runner saw it. */
struct lab_run {
	char task[64];
	long number;
	char runner[32];
	int64_t began_ms, ended_ms; /* 0: goes on */
	int64_t work_ms;
	char how[12];
};

struct lab_runner {
	char name[32], ip[24], zone[24], agent_ip[24];
	pthread_t server, beats, ends;
	int listener;
	pthread_mutex_t lock;
	int64_t born_ms, clock_base_ms;
	int64_t lease_ms; /* on its clock */
	int64_t fence;
	long n_ended, last_seen, seq;
	bool draining;
	int runs[256], n_runs; /* indexes into lab_runs: at work */
	struct { long n; int run; } ended[512];
	int n_kept;
	long mute_starts; /* the next n starts get no answer, aren't done */
};

/* Times are of CLOCK_BOOTTIME. */
int64_t lab_now_ms(void);
void lab_sleep_until(int64_t at_ms);
/* A line for record.txt, with the time since lab_zero(). */
void lab_say(const char *format, ...) __attribute__((format(printf, 1, 2)));
void lab_zero(void);
int64_t lab_since_zero(int64_t at_ms);
bool lab_trouble(void); /* false: TROUBLE=0 */
/* Ends all processes, and exits. */
void lab_finish(int status, const char *format, ...)
	__attribute__((format(printf, 2, 3), noreturn));

/* Creates the temporary folder and the record. */
void lab_begin(const char *record);
/* Starts coordinators, one in each of three zones, agents with a runner each,
 * and dispatchers; sets the configuration and waits until all are ready. */
void lab_deploy(int agents, int dispatchers);
struct lab_proc *lab_coordinator(int i);
struct lab_proc *lab_agent(int i);
struct lab_proc *lab_dispatcher(int i);
struct lab_runner *lab_runner(int i);
void lab_start(struct lab_proc *p);
/* Sends a signal; after SIGKILL and SIGTERM it waits for the end. */
void lab_signal(struct lab_proc *p, int number);
void lab_signal_only(struct lab_proc *p, int number); /* doesn't wait */
bool lab_reap(struct lab_proc *p); /* whether it has ended */
bool lab_is_ready(const struct lab_proc *p); /* dispatchers */
void lab_wait_ready(const struct lab_proc *p, int64_t wait_ms);
/* Value of a counter or gauge of a process, or -1. */
double lab_metric(const struct lab_proc *p, const char *name);
/* The line of the process's log that has both texts, or false. */
bool lab_log_has(const struct lab_proc *p, const char *a, const char *b);

/* Returns the status, 0 if there was no answer. answer may be NULL. */
int lab_call(const char *ip, int port, const char *method, const char *path,
	     const char *headers, const char *body, int64_t timeout_ms,
	     char answer[LAB_BODY_MAX]);
/* A job of n tasks, each with work_ms of work. */
int lab_submit(const struct lab_proc *dispatcher, const char *id, int tasks,
	       int64_t work_ms, int64_t deadline_ms,
	       char answer[LAB_BODY_MAX]);
int lab_cancel(const struct lab_proc *dispatcher, const char *id,
	       int64_t deadline_ms);
/* Copies the runs of a job's tasks; returns their number. */
int lab_runs_of(const char *id, struct lab_run *out, int max);
void lab_say_runs(const char *id);

#endif
