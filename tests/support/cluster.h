/*
 * cluster: real processes of the binary for failure tests: started,
 * frozen and killed by process id, on a loopback address of this test's
 * own, so that ports never collide between tests that run at once.
 */
#ifndef SUPPORT_CLUSTER_H
#define SUPPORT_CLUSTER_H

#include "chervilferry.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define CLUSTER_PROCS_MAX 64

/* A place for a process; it can be started again after its end. */
struct proc {
	char name[32];
	char role[24];
	char *args[48]; /* flags after the role */
	int n_args;
	pid_t pid; /* 0: not running */
	int starts;
	char log[256];
};

struct cluster {
	char ip[20];
	char folder[200]; /* data, logs and traces; removed at the end */
	struct proc procs[CLUSTER_PROCS_MAX];
	int n_procs;
	int n_coordinators, n_dispatchers, n_agents;
};

struct cluster_options {
	int coordinators, dispatchers, agents;
	int slots; /* of each backend server; 0: 8 */
	const char *const *dispatcher_args; /* NULL-ended, or NULL */
	const char *const *agent_args;
	const char *const *backend_args;
	const char *const *coordinator_args;
};

/* Lays out c1.., d1.., a1.., b1.. (a backend server beside each agent);
 * data centres dc1, dc2, dc3 in turn, racks of three. Starts nothing. */
struct cluster *cluster_create(const struct cluster_options *options);
void cluster_start(struct cluster *c); /* all, waits, class "default" */
void cluster_destroy(struct cluster *c); /* kills what runs, removes files */

/* A test's teardown: destroys the cluster that a failed test left. */
int cluster_teardown(void **state);
extern struct cluster *cluster_running;

struct proc *cluster_proc(struct cluster *c, const char *name);
struct proc *cluster_add(struct cluster *c, const char *role, const char *name);
void proc_add(struct proc *p, const char *flag, const char *value);
void proc_set(struct proc *p, const char *flag,
	      const char *value); /* replaces */
void proc_set_args(struct proc *p,
		   const char *const *args); /* NULL-ended pairs */
void proc_start(struct cluster *c, struct proc *p);
void proc_kill(struct proc *p); /* SIGKILL, reaped */
int proc_stop(struct proc *p); /* SIGTERM, reaped; exit status, -1 killed */
void proc_terminate(struct proc *p); /* SIGTERM only */
int proc_wait(struct proc *p, int64_t wait_ms); /* exit status; -1 none yet */
void proc_freeze(struct proc *p);
void proc_thaw(struct proc *p);
bool proc_running(struct proc *p);
/* No file of the process may grow beyond this: its writes then fail with
 * EFBIG; -1 lifts the limit. */
void proc_limit_file_size(struct proc *p, int64_t size_bytes);

/* "ip:port" of a process's interface: "listen", "admin", "http",
 * "backend-listen" or "serve"; the text lives as long as the cluster. */
const char *cluster_address(struct cluster *c, const char *name,
			    const char *interface);

/* Polls until done is true; the test fails after wait_ms. */
bool cluster_wait(struct cluster *c, bool (*done)(struct cluster *c, void *arg),
		  void *arg, int64_t wait_ms);
bool cluster_ready(struct cluster *c, const char *name); /* /readyz is 200 */
void cluster_wait_ready(struct cluster *c, const char *name, int64_t wait_ms);
const char *cluster_leader(struct cluster *c); /* "c2", or NULL */
int64_t cluster_metric(struct cluster *c, const char *name, const char *metric);

/* One HTTP call; the body is freed with g_free. Status 0: no answer. */
uint32_t cluster_http(const char *address, const char *method, const char *path,
		      const char *key, const char *body, char **answer,
		      int64_t timeout_ms);

/* A job of n tasks of run_ms each, with a fresh or given key. */
char *cluster_job_body(const char *class_name, int n, int run_ms,
		       int deadline_ms);
void cluster_key(struct cf_key *key, char text[CF_KEY_TEXT_SIZE]);

/* A change at the leader: {"data_centre_set":{...}}; true when done. The
 * revision may be NULL. Retries other coordinators, same command id. */
bool cluster_command(struct cluster *c, const char *change, uint64_t *revision);
bool cluster_data_centre(struct cluster *c, const char *name, bool in_service);

/* Runs the load tool as a process of the cluster. */
struct proc *cluster_load(struct cluster *c, const char *const *args);
/* Waits for it; its JSON report's integer field, or -1. */
int64_t cluster_load_field(struct proc *load, const char *field);
/* Prints the whole report and each answer that was not complete, from the
 * dispatchers' traces, on stderr. */
void cluster_print_load_failures(struct cluster *c, struct proc *load);

/* Checks and replays all traces; prints faults and counts on stderr;
 * number of faults and of replayed decisions that differ. */
size_t cluster_check(struct cluster *c, struct cf_trace_summary *summary);

#endif
