/*
 * load_internal: parts of the load tool. Plans are used by the sending
 * thread, the rest by the loop's thread.
 */
#ifndef ROLES_LOAD_INTERNAL_H
#define ROLES_LOAD_INTERNAL_H

#include "base/settings.h"
#include "chervilferry.h"

#include <glib.h>
#include <jansson.h>

/* ---- Planned jobs (load_plan.c) ---- */

struct load_job {
	int64_t planned_us; /* from the start of the run */
	char class_name[CF_NAME_SIZE];
	uint32_t n_tasks;
	uint32_t *run_ms; /* of each task */
	uint32_t *declared_ms; /* or NULL: none declared */
	uint32_t deadline_ms; /* 0: none */
	uint32_t ideal_ms; /* the longest task */
	bool resubmit; /* also sent to another dispatcher */
	uint32_t resubmit_after_ms;
	struct cf_key key;
	char key_text[CF_KEY_TEXT_SIZE];
};

struct load_plan;

/* Seeded Poisson arrivals, or the file that --play names. */
struct load_plan *load_plan_create(const struct settings *settings,
				   uint64_t seed, GError **error);
void load_plan_destroy(struct load_plan *plan); /* NULL allowed */
/* The next job in time, with a fresh key; NULL at the end. */
struct load_job *load_plan_next(struct load_plan *plan);
void load_job_free(struct load_job *job);
char *load_job_body(const struct load_job *job); /* for POST /v1/jobs */
char *load_task_body(const struct load_job *job); /* task 0, for --direct */
/* "# class NAME TARGET_MS ..." of a played file; 0: not told. */
uint32_t load_plan_target_ms(const struct load_plan *plan, const char *name);

/* ---- Answers (load_check.c) ---- */

enum load_outcome {
	LOAD_COMPLETE,
	LOAD_NOT_RUN, /* failed, ran none */
	LOAD_MAY_HAVE_RUN, /* failed, ran unknown */
	LOAD_LOST, /* no answer, or none that says what happened */
};

struct load_verdict {
	enum load_outcome outcome;
	bool all_results; /* complete: every index once */
	bool own_results; /* complete: every result is this job's */
	char reason[CF_NAME_SIZE]; /* of a failure */
	uint64_t results_hash; /* complete: to compare two answers */
};

void load_check_job(const struct load_job *job, uint32_t status,
		    const void *body, size_t size_bytes,
		    struct load_verdict *verdict);
/* A backend server's own answer: did it run, and is it this task's? */
bool load_check_task(const struct load_job *job, uint32_t status,
		     const void *body, size_t size_bytes);

/* ---- Messages of the processes (load_metrics.c) ---- */

/* Sent messages by kind, summed over processes; kind to int64_t. */
GHashTable *load_metrics_read(char *const *admins, uint32_t *n_failed);
void load_metrics_parse(const char *text, GHashTable *sums);

/* ---- Report (load_report.c) ---- */

struct load_sample {
	int64_t response_us; /* from the planned arrival */
	uint32_t ideal_ms;
	uint32_t class_index;
};

struct load_report {
	uint64_t seed;
	GPtrArray *classes; /* names */
	GArray *samples; /* struct load_sample, complete answers */
	GArray *direct; /* the same of direct calls */
	GHashTable *reasons; /* "none reason" or "unknown reason" to count */
	uint64_t jobs, tasks, complete, not_run, may_have_run, lost;
	uint64_t partial, crossed; /* complete answers that were wrong */
	uint64_t tried_again; /* another dispatcher: connection refused */
	uint64_t resent; /* another dispatcher: no answer came */
	uint64_t resubmitted, resubmit_mismatch, resubmit_refused;
	uint64_t direct_calls, direct_failed;
	int64_t late_max_us; /* worst delay of the tool's own sending */
	int64_t elapsed_us;
	GHashTable *messages; /* kind to count in the run, or NULL */
	uint32_t admins_failed;
};

struct load_report *load_report_create(uint64_t seed);
void load_report_destroy(struct load_report *report);
uint32_t load_report_class(struct load_report *report, const char *name);
void load_report_reason(struct load_report *report, const char *ran,
			const char *reason);
void load_report_print(const struct load_report *report,
		       const struct load_plan *plan, bool json, GString *out);

#endif
