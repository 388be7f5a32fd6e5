/*
 * gate_world: simulated agents with their start gates, and the messages
 * between them and the dispatchers, for explore_gate. All random choices
 * derive from one seed.
 */
#ifndef SUPPORT_GATE_WORLD_H
#define SUPPORT_GATE_WORLD_H

#include "chervilferry.h"

/* ---- Constants ---- */

#define AGENTS 3
#define AGENT_INCARNATIONS_MAX 32
/* Number of dispatcher incarnations. */
#define DISPATCHERS 12
#define KEYS 10
#define TASKS_MAX 3
#define JOBS 40
#define MESSAGES 512
#define START_MS 1000000
#define REMEMBER_MS 20000
/* REMEMBER_MS less the clock skew. */
#define CLAIM_HORIZON_MS 18000

/* ---- Types ---- */

enum kind {
	OFFER,
	OPEN,
	CANCEL,
	QUERY, /* query with fence set */
	ADOPT,
	REPLY, /* state of one task */
	ADOPTED, /* state of each task of the key */
};

struct message {
	enum kind kind;
	size_t job;
	uint64_t agent; /* incarnation */
	uint32_t index;
	bool gated;
	/* For the index; for ADOPTED, one entry per index. */
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
	size_t job; /* newest job of the owner */
	uint32_t starts[TASKS_MAX];
};

struct job_state {
	struct cf_job *job;
	size_t key;
	uint64_t dispatcher;
	uint32_t epoch;
	/* Agents that have not yet replied to the adoption. */
	bool waits_for[AGENT_INCARNATIONS_MAX];
	bool adopting;
	bool incomplete; /* an agent that may have run tasks is gone */
	bool found[TASKS_MAX]; /* reported in an adoption reply */
	bool started, answered;
};

/* Probabilities in percent. */
struct rates {
	uint32_t drop, duplicate, late, gated, cancel, restart, fence, dead,
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

uint32_t world_below(struct world *world, uint32_t limit); /* 0..limit - 1 */
bool world_chance(struct world *world, uint32_t percent);
void world_post(struct world *world,
		struct message message); /* may drop, duplicate or delay it */
GBytes *world_result_of(const struct key_state *key, uint32_t index);
void world_boot_agent(struct world *world, struct agent *agent);
void world_restart_agent(struct world *world, struct agent *agent);
void world_run_agent(struct world *world, struct agent *agent);
void world_finish_any(struct world *world, struct agent *agent);
void world_deliver_to_agent(struct world *world, const struct message *message);
/* Whether an agent has this incarnation now. */
bool world_is_live(const struct world *world, uint64_t incarnation);

#endif
