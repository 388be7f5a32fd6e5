/*
 * trace_replay: feeds the recorded inputs of the start gate and the vote
 * ledger of each process to new instances, and compares their decisions
 * with the recorded ones.
 */
#include "lib/trace_fields.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

#define FENCED_MAX CF_JOB_TASKS_MAX

/* ---- Types ---- */

/* The replayed state of one incarnation of a process. */
struct process {
	char *name;
	struct cf_gate *gate;
	struct cf_ledger *ledger;
};

struct cf_replay {
	GHashTable *processes; /* incarnation -> struct process */
	GHashTable *newest; /* name -> its newest struct process, borrowed */
	struct cf_replay_summary summary;
};

struct replay_step {
	const char *event;
	bool (*replay)(struct cf_replay *replay, struct process *process,
		       struct trace_fields *fields);
};

/* ---- Processes ---- */

static void free_process(gpointer data)
{
	struct process *process = data;

	cf_gate_destroy(process->gate);
	cf_ledger_destroy(process->ledger);
	g_free(process->name);
	g_free(process);
}

static struct process *get_process(struct cf_replay *replay,
				   uint64_t incarnation, const char *name)
{
	struct process *process =
		g_hash_table_lookup(replay->processes, &incarnation);

	if (process)
		return process;
	process = g_new0(struct process, 1);
	process->name = g_strdup(name);
	g_hash_table_insert(replay->processes,
			    g_memdup2(&incarnation, sizeof(incarnation)),
			    process);
	return process;
}

/* ---- Comparison ---- */

static void __attribute__((format(printf, 4, 5)))
compare_decision(struct cf_replay *replay, struct trace_fields *fields,
		 bool same, const char *format, ...)
{
	struct cf_replay_summary *summary = &replay->summary;
	const char *event = trace_find(fields, "e");
	size_t used;
	va_list args;

	summary->decisions++;
	if (same || summary->mismatches++)
		return;
	g_snprintf(summary->first, sizeof(summary->first),
		   "%s n=%s %s: ", trace_find(fields, "p"),
		   trace_find(fields, "n"), event);
	used = strlen(summary->first);
	va_start(args, format);
	g_vsnprintf(summary->first + used, sizeof(summary->first) - used,
		    format, args);
	va_end(args);
}

/* ---- Start gate ---- */

static bool replay_gate(struct cf_replay *replay, struct process *process,
			struct trace_fields *f)
{
	struct cf_capacity c;
	int64_t outcome_retention_ms;

	(void)replay;
	if (!trace_u32(f, "slots", &c.slots) ||
	    !trace_u32(f, "connections", &c.connections) ||
	    !trace_u32(f, "cpu", &c.cpu_milli) ||
	    !trace_u32(f, "memory", &c.memory_mb) ||
	    !trace_u32(f, "accelerators", &c.accelerators) ||
	    !trace_time(f, "remember", &outcome_retention_ms))
		return false;
	if (process->gate)
		cf_gate_set_capacity(process->gate, &c);
	else
		process->gate = cf_gate_create(&c, outcome_retention_ms);
	return true;
}

static bool read_task(struct trace_fields *f, struct cf_task *task)
{
	return trace_key(f, &task->key) &&
	       trace_u32(f, "index", &task->index) &&
	       trace_incarnation(f, "dispatcher", &task->dispatcher) &&
	       trace_u64(f, "job", &task->job) &&
	       trace_u32(f, "cpu", &task->cpu_milli) &&
	       trace_u32(f, "memory", &task->memory_mb) &&
	       trace_u32(f, "accelerators", &task->accelerators) &&
	       trace_u32(f, "predicted", &task->predicted_ms) &&
	       trace_time(f, "slack_end", &task->slack_end_ms) &&
	       trace_time(f, "deadline", &task->deadline_ms);
}

static bool replay_offer(struct cf_replay *replay, struct process *process,
			 struct trace_fields *f)
{
	struct cf_task task = { 0 };
	bool gated, fifo, accepted, actual;
	int64_t now_ms;

	if (!read_task(f, &task) || !trace_flag(f, "held", &gated) ||
	    !trace_flag(f, "fifo", &fifo) ||
	    !trace_flag(f, "accepted", &accepted) ||
	    !trace_time(f, "now", &now_ms))
		return false;
	actual = cf_gate_offer(process->gate, &task, gated, fifo, now_ms);
	compare_decision(replay, f, actual == accepted,
			 "accepted is %d, recorded was %d", actual, accepted);
	return true;
}

static bool replay_open(struct cf_replay *replay, struct process *process,
			struct trace_fields *f)
{
	struct cf_key key;
	uint64_t dispatcher, job;

	(void)replay;
	if (!trace_key(f, &key) ||
	    !trace_incarnation(f, "dispatcher", &dispatcher) ||
	    !trace_u64(f, "job", &job))
		return false;
	cf_gate_open(process->gate, &key, dispatcher, job);
	return true;
}

static void compare_task(struct cf_replay *replay, struct trace_fields *f,
			 const struct cf_task *actual, const struct cf_key *key,
			 uint32_t index)
{
	compare_decision(replay, f,
			 actual && actual->index == index &&
				 cf_key_equal(&actual->key, key),
			 actual ? "the next task is another one, index %u"
				: "there is no next task%.0u",
			 actual ? actual->index : 0);
}

static bool replay_start(struct cf_replay *replay, struct process *process,
			 struct trace_fields *f)
{
	const struct cf_gate_permit permit = { true, true, false };
	struct cf_key key;
	uint32_t index;
	int64_t now_ms;

	if (!trace_key(f, &key) || !trace_u32(f, "index", &index) ||
	    !trace_time(f, "now", &now_ms))
		return false;
	compare_task(replay, f, cf_gate_start(process->gate, &permit, now_ms),
		     &key, index);
	return true;
}

static bool replay_end(struct cf_replay *replay, struct process *process,
		       struct trace_fields *f)
{
	struct cf_key key;
	uint32_t index;
	int64_t now_ms;
	bool ok;

	if (!trace_key(f, &key) || !trace_u32(f, "index", &index) ||
	    !trace_flag(f, "ok", &ok) || !trace_time(f, "now", &now_ms))
		return false;
	compare_decision(
		replay, f,
		cf_gate_finish(process->gate, &key, index, ok, NULL, now_ms),
		"index %u was not running", index);
	return true;
}

static bool replay_unstarted(struct cf_replay *replay, struct process *process,
			     struct trace_fields *f)
{
	struct cf_key key;
	uint32_t index;
	int64_t now_ms;

	if (!trace_key(f, &key) || !trace_u32(f, "index", &index) ||
	    !trace_time(f, "now", &now_ms))
		return false;
	compare_decision(
		replay, f,
		cf_gate_revert_start(process->gate, &key, index, now_ms),
		"index %u was not running", index);
	return true;
}

/* Replays only fences that the gate made by itself. Fences of a cancel or
 * a query are repeated by replaying that event. */
static bool replay_fence(struct cf_replay *replay, struct process *process,
			 struct trace_fields *f)
{
	struct cf_gate_permit permit;
	struct cf_key key;
	uint32_t index;
	int64_t now_ms;
	bool by_gate;

	if (!trace_word(f, "by", "gate", &by_gate))
		return false;
	if (!by_gate)
		return true;
	if (!trace_key(f, &key) || !trace_u32(f, "index", &index) ||
	    !trace_flag(f, "lease", &permit.lease_held) ||
	    !trace_flag(f, "service", &permit.in_service) ||
	    !trace_flag(f, "draining", &permit.draining) ||
	    !trace_time(f, "now", &now_ms))
		return false;
	compare_task(replay, f,
		     cf_gate_fence_unstartable(process->gate, &permit, now_ms),
		     &key, index);
	return true;
}

static bool replay_cancel(struct cf_replay *replay, struct process *process,
			  struct trace_fields *f)
{
	uint32_t indexes[FENCED_MAX];
	struct cf_key key;
	uint64_t dispatcher, job, fenced, actual;
	int64_t now_ms;

	if (!trace_key(f, &key) ||
	    !trace_incarnation(f, "dispatcher", &dispatcher) ||
	    !trace_u64(f, "job", &job) || !trace_u64(f, "fenced", &fenced) ||
	    !trace_time(f, "now", &now_ms))
		return false;
	actual = cf_gate_fence_job(process->gate, &key, dispatcher, job, now_ms,
				   indexes, FENCED_MAX);
	compare_decision(replay, f, actual == fenced,
			 "fenced %u tasks, recorded were %u",
			 (unsigned int)actual, (unsigned int)fenced);
	return true;
}

static bool replay_query(struct cf_replay *replay, struct process *process,
			 struct trace_fields *f)
{
	struct cf_key key;
	uint32_t index, state, actual;
	int64_t now_ms;
	bool fence;

	if (!trace_key(f, &key) || !trace_u32(f, "index", &index) ||
	    !trace_flag(f, "fence", &fence) || !trace_u32(f, "state", &state) ||
	    !trace_time(f, "now", &now_ms))
		return false;
	actual = cf_gate_query(process->gate, &key, index, fence, NULL, now_ms);
	compare_decision(replay, f, actual == state,
			 "state is %u, recorded was %u", actual, state);
	return true;
}

static bool replay_seal(struct cf_replay *replay, struct process *process,
			struct trace_fields *f)
{
	struct cf_key key;
	int64_t now_ms;

	(void)replay;
	if (!trace_key(f, &key) || !trace_time(f, "now", &now_ms))
		return false;
	cf_gate_seal(process->gate, &key, now_ms);
	return true;
}

static bool replay_adopt(struct cf_replay *replay, struct process *process,
			 struct trace_fields *f)
{
	struct cf_key key;
	uint64_t dispatcher;
	uint32_t epoch;
	int64_t now_ms;
	bool ok, actual;

	if (!trace_key(f, &key) ||
	    !trace_incarnation(f, "dispatcher", &dispatcher) ||
	    !trace_u32(f, "epoch", &epoch) || !trace_flag(f, "ok", &ok) ||
	    !trace_time(f, "now", &now_ms))
		return false;
	actual = cf_gate_adopt(process->gate, &key, dispatcher, epoch, now_ms);
	compare_decision(replay, f, actual == ok,
			 "adoption is %d, recorded was %d", actual, ok);
	return true;
}

static bool replay_fence_dispatcher(struct cf_replay *replay,
				    struct process *process,
				    struct trace_fields *f)
{
	uint64_t dispatcher;
	int64_t now_ms;

	(void)replay;
	if (!trace_incarnation(f, "dispatcher", &dispatcher) ||
	    !trace_time(f, "now", &now_ms))
		return false;
	cf_gate_fence_dispatcher(process->gate, dispatcher, now_ms);
	return true;
}

/* ---- Vote ledger ---- */

/* After a clean stop, the ledger of the previous incarnation is continued. */
static void inherit_ledger(struct cf_replay *replay, struct process *process)
{
	struct process *previous =
		g_hash_table_lookup(replay->newest, process->name);
	GBytes *saved;

	if (!previous || !previous->ledger)
		return;
	saved = cf_ledger_save(previous->ledger);
	process->ledger = cf_ledger_create(CF_LEDGER_HORIZON_MS, 0);
	cf_ledger_load(process->ledger, saved, NULL);
	g_bytes_unref(saved);
}

static bool replay_ledger(struct cf_replay *replay, struct process *process,
			  struct trace_fields *f)
{
	int64_t safe_after_ms;
	bool loaded;

	if (!trace_time(f, "safe_after", &safe_after_ms) ||
	    !trace_flag(f, "loaded", &loaded))
		return false;
	if (loaded)
		inherit_ledger(replay, process);
	else
		process->ledger =
			cf_ledger_create(CF_LEDGER_HORIZON_MS, safe_after_ms);
	g_hash_table_insert(replay->newest, process->name, process);
	return true;
}

static bool replay_vote(struct cf_replay *replay, struct process *process,
			struct trace_fields *f)
{
	static const char *const verdicts[] = { "for", "abstain", "too_old",
						"too_new", "unfenced" };
	struct cf_claim claim;
	uint64_t owner, actual_owner = 0;
	int64_t wall_ms;
	bool may, fenced, same;
	enum cf_vote actual;

	if (!trace_key(f, &claim.key) || !trace_u32(f, "epoch", &claim.epoch) ||
	    !trace_incarnation(f, "asker", &claim.owner) ||
	    !trace_incarnation(f, "prior", &claim.prior_owner) ||
	    !trace_incarnation(f, "owner", &owner) ||
	    !trace_flag(f, "may", &may) ||
	    !trace_flag(f, "prior_fenced", &fenced) ||
	    !trace_time(f, "wall", &wall_ms))
		return false;
	actual = cf_ledger_vote(process->ledger, &claim, may, fenced, wall_ms,
				&actual_owner);
	if (!trace_word(f, "verdict", verdicts[actual], &same))
		return false;
	compare_decision(replay, f, same && actual_owner == owner,
			 "the verdict is %s for %016" PRIx64, verdicts[actual],
			 actual_owner);
	return true;
}

/* ---- Lines ---- */

static const struct replay_step steps[] = {
	{ "gate", replay_gate },
	{ "ledger", replay_ledger },
	{ "vote", replay_vote },
	{ "offer", replay_offer },
	{ "open", replay_open },
	{ "start", replay_start },
	{ "end", replay_end },
	{ "unstarted", replay_unstarted },
	{ "fence", replay_fence },
	{ "cancel", replay_cancel },
	{ "query", replay_query },
	{ "seal", replay_seal },
	{ "adopt", replay_adopt },
	{ "fence_dispatcher", replay_fence_dispatcher },
};

static bool replay_line(struct cf_replay *replay, struct process *process,
			const char *event, struct trace_fields *fields)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		if (strcmp(steps[i].event, event) != 0)
			continue;
		/* The event that creates the gate or ledger is not in the
		 * trace, so that there is nothing to compare with. */
		if (!strcmp(event, "vote") ? !process->ledger
					   : i > 1 && !process->gate) {
			replay->summary.skipped++;
			return true;
		}
		return steps[i].replay(replay, process, fields);
	}
	return true;
}

/* ---- Public functions ---- */

struct cf_replay *cf_replay_create(void)
{
	struct cf_replay *replay = g_new0(struct cf_replay, 1);

	replay->processes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, free_process);
	replay->newest = g_hash_table_new(g_str_hash, g_str_equal);
	return replay;
}

void cf_replay_destroy(struct cf_replay *replay)
{
	if (!replay)
		return;
	g_hash_table_destroy(replay->newest);
	g_hash_table_destroy(replay->processes);
	g_free(replay);
}

bool cf_replay_feed(struct cf_replay *replay, const char *text, GError **error)
{
	struct trace_fields fields;
	uint64_t incarnation;
	const char *event, *name;

	if (!trace_split(text, &fields, error) ||
	    !trace_incarnation(&fields, "i", &incarnation))
		return false;
	name = trace_find(&fields, "p");
	event = name ? trace_find(&fields, "e") : NULL;
	if (!event || !trace_find(&fields, "n"))
		return false;
	return replay_line(replay, get_process(replay, incarnation, name),
			   event, &fields);
}

void cf_replay_get_summary(const struct cf_replay *replay,
			   struct cf_replay_summary *summary)
{
	*summary = replay->summary;
}
