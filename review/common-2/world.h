/*
 * world: a small deployment on loopback for the scripts of this review. It
 * starts the project's programs with the commands of deploy/system.toml as
 * separate processes, and plays backend servers (runners), callers and the
 * operator as the users' pages say. Addresses: coordinator i 127.X.Y.1i,
 * dispatcher i 127.X.Y.2i, agent i 127.X.Y.3i, runner i 127.X.Y.4i.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define WORLD_ROLE_MAX 8
#define WORLD_NO_ANSWER 0

enum world_role {
	WORLD_COORDINATOR,
	WORLD_DISPATCHER,
	WORLD_AGENT,
	WORLD_ROLES
};

struct world_proc {
	pid_t pid; /* 0: not running */
	int starts;
};

/* To be called before the first start: all connections between processes and
 * the coordinators go through a proxy, which can cut one process off. The proxy
 * has the coordinators' addresses; they listen at 127.X.Y.6i. */
void world_use_proxy(void);
/* From now on, the proxy carries nothing of this process (its name) any more,
 * in silence; NULL: it carries all, and resets the connections that it had cut.
 */
void world_cut(const char *name);

/* Opens the record and chooses a loopback net. */
void world_begin(const char *record_path);
/* Ends all processes that were started. */
void world_end(void);
void world_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t world_now_ms(void);
void world_sleep_ms(int64_t ms);

void world_start(enum world_role role, int i);
void world_signal(enum world_role role, int i, int signal);
/* Sends SIGTERM and waits. */
void world_stop(enum world_role role, int i);
/* SIGKILL, and waits. */
void world_kill(enum world_role role, int i);
/* Starts the processes of a small deployment, sets the configuration, and waits
 * until dispatchers 1 to n_dispatchers are ready. Returns false if they don't
 * become ready. */
bool world_start_all(int n_dispatchers, int n_agents);
bool world_wait_ready(int dispatcher, int64_t wait_ms);
/* The coordinator that says that it leads; 0: none within the time. */
int world_leader(int64_t wait_ms);

/* A runner of the agent with the same number. */
void world_start_runner(int i);
/* Whether any run of the task with this job's id is at work, and how many runs
 * of it began. */
bool world_is_running(const char *job);
int world_count_starts(const char *job);

/* One HTTP call; returns the status, or WORLD_NO_ANSWER. */
int world_call(const char *address, const char *method, const char *path,
	       const char *headers, const char *body, int64_t timeout_ms,
	       char *answer, size_t answer_size);
/* Hands in a job of one task that runs run_ms, and waits for the answer. */
int world_submit(int dispatcher, const char *job, int run_ms,
		 int64_t deadline_ms);
int world_cancel(int dispatcher, const char *job);

#endif
