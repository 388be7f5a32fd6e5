/*
 * gate_table: what the start gate remembers, shared by its two parts,
 * gate.c (offers and starts) and gate_fence.c (query and fence).
 */
#ifndef LIB_GATE_TABLE_H
#define LIB_GATE_TABLE_H

#include "chervilferry.h"

/* ---- Types ---- */

struct gate_record;

/* One (key, index). */
struct gate_entry {
	struct cf_task task;
	struct gate_record *record;
	enum cf_task_state state;
	uint32_t fence_epoch; /* of the record when it was fenced */
	uint32_t bypassed;
	int64_t rank_ms;
	uint64_t arrival;
	GSequenceIter *waiting; /* while held or queued */
	GList *result_link; /* in the gate's results, while one is kept */
	GBytes *result;
};

/* What is known of one job of a key. */
struct gate_job_flags {
	uint64_t dispatcher, job;
	bool opened, cancelled;
};

/* All of one key. */
struct gate_record {
	struct cf_key key;
	GPtrArray *entries; /* by index */
	GArray *jobs; /* struct gate_job_flags */
	bool sealed;
	uint32_t epoch; /* of the newest adoption */
	uint64_t owner; /* who adopted it */
	uint32_t n_active; /* held, queued or running */
	int64_t idle_ms; /* last touched, when nothing is active */
	GList *idle; /* in the gate's idle list */
};

struct cf_gate {
	struct cf_capacity capacity, used; /* used.slots: running tasks */
	int64_t remember_ms;
	int64_t forgotten_ms; /* key time up to which keys were forgotten */
	GHashTable *records; /* struct cf_key -> struct gate_record */
	GHashTable *fenced; /* incarnations of dispatchers */
	GHashTable *running; /* set of struct gate_entry */
	GSequence *waiting; /* struct gate_entry, in starting order */
	GQueue *idle; /* struct gate_record, longest idle first */
	GQueue *results; /* struct gate_entry, oldest first */
	size_t results_bytes;
	uint64_t waiting_ms; /* predicted work that waits */
	uint64_t arrivals;
};

/* ---- Entries ---- */

struct gate_entry *gate_find_entry(const struct gate_record *record,
				   uint32_t index); /* or NULL */
struct gate_entry *gate_add_entry(struct gate_record *record,
				  uint32_t index); /* fenced */
bool gate_is_waiting(const struct gate_entry *entry); /* held or queued */
void gate_stop_waiting(struct cf_gate *gate, struct gate_entry *entry);
void gate_fence_entry(struct cf_gate *gate, struct gate_entry *entry,
		      int64_t now_ms); /* a waiting one */
void gate_store_result(struct cf_gate *gate, struct gate_entry *entry,
		       GBytes *result); /* drops the oldest if too many */
void gate_drop_result(struct cf_gate *gate, struct gate_entry *entry);
void gate_drop_bytes(GBytes **bytes); /* unless NULL; then NULL */

/* ---- Records ---- */

struct gate_record *gate_find_record(const struct cf_gate *gate,
				     const struct cf_key *key); /* or NULL */
struct gate_record *
gate_get_record(struct cf_gate *gate, const struct cf_key *key,
		int64_t now_ms); /* NULL: the key may have been forgotten */
struct gate_job_flags *
gate_get_job_flags(struct gate_record *record, uint64_t dispatcher,
		   uint64_t job); /* added if it is new */
void gate_touch(struct cf_gate *gate, struct gate_record *record,
		int64_t now_ms); /* to be remembered anew if idle */
void gate_record_destroy(gpointer record);

#endif
