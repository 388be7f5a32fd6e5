/*
 * gate_world: agents with their gates, and the messages between them and
 * dispatchers, for explore_gate. All chance comes from one seed.
 */
#ifndef SUPPORT_GATE_WORLD_H
#define SUPPORT_GATE_WORLD_H

#include "chervilferry.h"

/* ---- Constants ---- */

#define AGENTS 3
#define AGENT_INCARNATIONS_MAX 32
#define DISPATCHERS 12 /* incarnations */
#define KEYS 10
#define TASKS_MAX 3
#define JOBS 40
#define MESSAGES 512
#define START_MS 1000000
#define REMEMBER_MS 20000
#define CLAIM_HORIZON_MS 18000 /* REMEMBER_MS less the clock skew */

/* ---- Types ---- */

enum kind {
	OFFER,
	OPEN,
	CANCEL,
	QUERY, /* with fence */
	ADOPT,
	REPLY, /* what happened to a task */
	ADOPTED, /* what happened to each task of the key */
};

struct message {
	enum kind kind;
	size_t job;
	uint64_t agent; /* life */
	uint32_t index;
	bool held;
	/* Of the index, or of each when adopted. */
	enum cf_job_event events[TASKS_MAX];
	GBytes *results[TASKS_MAX];
	int64_t due_ms;
};

struct agent {
	struct cf_gate *gate;
	uint64_t incarnation;
	int64_t joined_ms;
	size_t fences_known;
};

struct key_state {
	struct cf_key key;
	uint32_t n_tasks, epoch;
	uint64_t owner;
	int64_t made_ms;
	size_t job; /* the owner's newest */
	uint32_t starts[TASKS_MAX];
};

struct job_state {
	struct cf_job *job;
	size_t key;
	uint64_t dispatcher;
	uint32_t epoch;
	bool waits_for[AGENT_INCARNATIONS_MAX]; /* adoption replies */
	bool adopting;
	bool incomplete; /* an agent that is gone can't be asked */
	bool found[TASKS_MAX]; /* by the adoption */
	bool started, answered;
};

struct rates {
	uint32_t drop, duplicate, late, held, cancel, restart, fence, dead,
		permit;
};

struct world {
	GRand *random;
	struct rates rates;
	int64_t now_ms;
	struct agent agents[AGENTS];
	uint64_t n_incarnations;
	bool fenced[DISPATCHERS + 1], dead[DISPATCHERS + 1];
	uint64_t fences[DISPATCHERS];
	size_t n_fences;
	uint64_t n_dispatchers;
	struct key_state keys[KEYS];
	size_t n_keys;
	struct job_state jobs[JOBS + 1]; /* from 1 */
	size_t n_jobs;
	struct message messages[MESSAGES];
	size_t n_messages;
	uint64_t starts;
	const char *violation;
};

/* ---- Functions ---- */

uint32_t world_below(struct world *world, uint32_t limit); /* from 0 */
bool world_chance(struct world *world, uint32_t percent);
void world_post(struct world *world, struct message message); /* or loses it */
GBytes *world_result_of(const struct key_state *key, uint32_t index);
void world_boot_agent(struct world *world, struct agent *agent);
void world_restart_agent(struct world *world, struct agent *agent);
void world_run_agent(struct world *world, struct agent *agent);
void world_finish_any(struct world *world, struct agent *agent);
void world_deliver_to_agent(struct world *world, const struct message *message);
bool world_is_live(const struct world *world,
		   uint64_t incarnation); /* an agent's */

#endif
