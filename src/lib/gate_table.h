/*
 * gate_table: the records of the start gate, shared by gate.c (offers
 * and starts) and gate_fence.c (queries and fences).
 */
#ifndef LIB_GATE_TABLE_H
#define LIB_GATE_TABLE_H

#include "chervilferry.h"

/* ---- Types ---- */

struct gate_record;

/* State of one (key, index). */
struct gate_entry {
	struct cf_task task;
	struct gate_record *record;
	enum cf_task_state state;
	uint32_t fence_epoch; /* epoch of the record at the time of the fence */
	uint32_t bypassed; /* later tasks that started ahead of this one */
	int64_t rank_ms; /* tasks with a lower rank start first */
	uint64_t arrival; /* breaks ties in rank_ms */
	GSequenceIter *waiting; /* in gate->waiting, if gated or queued */
	GList *result_link; /* link in gate->results while a result is stored */
	GBytes *result;
};

/* Calls that have arrived for one job of a key. */
struct gate_job_flags {
	uint64_t dispatcher, job;
	bool opened, cancelled;
};

/* State of one key. */
struct gate_record {
	struct cf_key key;
	GPtrArray *entries; /* struct gate_entry, sorted by index */
	GArray *jobs; /* struct gate_job_flags */
	bool sealed; /* no further index may start */
	uint32_t epoch; /* epoch of the newest adoption; 0: never adopted */
	uint64_t owner; /* incarnation of the adopter */
	uint32_t n_active; /* entries that are gated, queued or running */
	int64_t idle_ms; /* last use, if no entry is active */
	GList *idle; /* link in gate->idle, if no entry is active */
};

struct cf_gate {
	struct cf_capacity capacity, used; /* used.slots: tasks running */
	int64_t outcome_retention_ms;
	/* Records of keys created up to this time may have been dropped. */
	int64_t dropped_until_ms;
	GHashTable *records; /* struct cf_key -> struct gate_record */
	GHashTable *fenced; /* set of fenced dispatcher incarnations */
	GHashTable *running; /* set of struct gate_entry */
	GSequence *waiting; /* struct gate_entry, in the order of starting */
	GQueue *idle; /* struct gate_record, longest idle first */
	GQueue *results; /* struct gate_entry, oldest first */
	size_t results_bytes;
	uint64_t waiting_ms; /* predicted run time of all waiting tasks */
	uint64_t arrivals; /* accepted offers so far */
};

/* ---- Entries ---- */

struct gate_entry *gate_find_entry(const struct gate_record *record,
				   uint32_t index); /* NULL: not found */
struct gate_entry *gate_add_entry(struct gate_record *record,
				  uint32_t index); /* state: CF_TASK_FENCED */
bool gate_is_waiting(const struct gate_entry *entry); /* gated or queued */
void gate_stop_waiting(struct cf_gate *gate, struct gate_entry *entry);
void gate_fence_entry(struct cf_gate *gate, struct gate_entry *entry,
		      int64_t now_ms); /* the entry must be waiting */
/* Drops the oldest results if they exceed the limit. */
void gate_store_result(struct cf_gate *gate, struct gate_entry *entry,
		       GBytes *result);
void gate_drop_result(struct cf_gate *gate, struct gate_entry *entry);
void gate_drop_bytes(GBytes **bytes); /* unrefs *bytes, sets it to NULL */

/* ---- Records ---- */

struct gate_record *
gate_find_record(const struct cf_gate *gate,
		 const struct cf_key *key); /* NULL: not found */
/* Adds the record if missing. Returns NULL if the record of the key may have
 * been dropped before. */
struct gate_record *gate_get_record(struct cf_gate *gate,
				    const struct cf_key *key, int64_t now_ms);
struct gate_job_flags *gate_get_job_flags(struct gate_record *record,
					  uint64_t dispatcher,
					  uint64_t job); /* added if missing */
void gate_touch(struct cf_gate *gate, struct gate_record *record,
		int64_t now_ms); /* restarts the retention time if idle */
void gate_record_destroy(gpointer record);

#endif
