/*
 * cluster: starts, freezes and kills real processes of the binary for
 * failure tests. Each test uses its own loopback address, so that ports do
 * not collide between tests that run in parallel.
 */
#ifndef SUPPORT_CLUSTER_H
#define SUPPORT_CLUSTER_H

#include "chervilferry.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define CLUSTER_PROCS_MAX 64

/* A process that can be restarted after it has ended. */
struct proc {
	char name[32];
	char role[24];
	char *args[48]; /* flags after the role */
	int n_args;
	pid_t pid; /* 0: not running */
	int starts;
	int stop_kills; /* stops that the process did not follow in time */
	char log[256];
};

struct cluster {
	char ip[20];
	char folder[200]; /* data, logs and traces; removed at the end */
	struct proc procs[CLUSTER_PROCS_MAX];
	int n_procs;
	int n_coordinators, n_dispatchers, n_agents;
	/* If set, cluster_teardown() calls it before it destroys the cluster
	 * of a failed test. It ends the threads that use the cluster. */
	void (*end_threads)(void *arg);
	void *end_threads_arg;
};

struct cluster_options {
	int coordinators, dispatchers, agents;
	int slots; /* of each backend server; 0: 8 */
	const char *const *dispatcher_args; /* NULL-terminated, or NULL */
	const char *const *agent_args;
	const char *const *backend_args;
	const char *const *coordinator_args;
};

/* Configures coordinators c1.., dispatchers d1.., agents a1.. and a backend
 * server b1.. for each agent, in data centres dc1 to dc3 round robin and
 * with three agents per rack. Starts no process. */
struct cluster *cluster_create(const struct cluster_options *options);
/* Starts all processes, adds the class "default" and waits until all are
 * ready. */
void cluster_start(struct cluster *c);
/* Kills all running processes and removes their files. */
void cluster_destroy(struct cluster *c);

/* Teardown of a test: ends the threads of a failed test that use its cluster,
 * and destroys the cluster and the relays. cmocka prints the failed assertion
 * after that. */
int cluster_teardown(void **state);
extern struct cluster *cluster_running;

struct proc *cluster_proc(struct cluster *c, const char *name);
struct proc *cluster_add(struct cluster *c, const char *role, const char *name);
void proc_add(struct proc *p, const char *flag, const char *value);
/* Replaces the value of the flag, or adds the flag. */
void proc_set(struct proc *p, const char *flag, const char *value);
/* Sets NULL-terminated pairs of flag and value. */
void proc_set_args(struct proc *p, const char *const *args);
void proc_start(struct cluster *c, struct proc *p);
void proc_kill(struct proc *p); /* SIGKILL, reaped */
/* Sends SIGTERM and reaps. A process that has not ended after a minute is
 * killed. Returns the exit status, or -1 if the process was ended by a
 * signal. */
int proc_stop(struct proc *p);
void proc_terminate(struct proc *p); /* SIGTERM only */
/* Returns the exit status, or -1 if the process is still running or was ended
 * by a signal. */
int proc_wait(struct proc *p, int64_t wait_ms);
void proc_freeze(struct proc *p);
void proc_thaw(struct proc *p);
bool proc_running(struct proc *p);
/* Limits the size of files that the process writes. Larger writes fail with
 * EFBIG. -1 removes the limit. */
void proc_limit_file_size(struct proc *p, int64_t size_bytes);

/* "ip:port" of a process's interface: "listen", "admin", "http",
 * "backend-listen" or "serve". The string belongs to the cluster. */
const char *cluster_address(struct cluster *c, const char *name,
			    const char *interface);

/* Polls until done returns true. Returns false after wait_ms. */
bool cluster_wait(struct cluster *c, bool (*done)(struct cluster *c, void *arg),
		  void *arg, int64_t wait_ms);
bool cluster_ready(struct cluster *c, const char *name); /* /readyz is 200 */
void cluster_wait_ready(struct cluster *c, const char *name, int64_t wait_ms);
const char *cluster_leader(struct cluster *c); /* "c2", or NULL */
int64_t cluster_metric(struct cluster *c, const char *name, const char *metric);

/* Makes one HTTP call. The caller frees *answer with g_free. Returns the
 * status, or 0 if there was no response. */
uint32_t cluster_http(const char *address, const char *method, const char *path,
		      const char *key, const char *body, char **answer,
		      int64_t timeout_ms);

/* JSON body of a job with n tasks of run_ms each. */
char *cluster_job_body(const char *class_name, int n, int run_ms,
		       int deadline_ms);
void cluster_key(struct cf_key *key, char text[CF_KEY_TEXT_SIZE]);

/* Applies a change such as {"data_centre_set":{...}} at the leader. Retries at
 * all coordinators with the same command id. Returns true once applied.
 * revision may be NULL. */
bool cluster_command(struct cluster *c, const char *change, uint64_t *revision);
bool cluster_data_centre(struct cluster *c, const char *name, bool in_service);

/* Starts the load tool as a process of the cluster. */
struct proc *cluster_load(struct cluster *c, const char *const *args);
/* An integer field of the JSON report of an ended load process, or -1. */
int64_t cluster_load_field(struct proc *load, const char *field);
/* Prints the report and each incomplete answer in the traces to stderr. */
void cluster_print_load_failures(struct cluster *c, struct proc *load);

/* Checks and replays all traces. Prints faults and counts to stderr. Returns
 * the number of faults plus the number of replayed decisions that differ. */
size_t cluster_check(struct cluster *c, struct cf_trace_summary *summary);

#endif
