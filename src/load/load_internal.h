/*
 * load_internal: interface between the files of the load tool. The sending
 * thread uses the plans and counts jobs and tasks; the event loop's thread
 * uses everything else.
 */
#ifndef LOAD_INTERNAL_H
#define LOAD_INTERNAL_H

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
	uint32_t *declared_ms; /* of each task; NULL: none declared */
	uint32_t deadline_ms; /* 0: none */
	uint32_t ideal_ms; /* run time of the longest task */
	bool resubmit; /* send it to a second dispatcher too */
	uint32_t resubmit_after_ms;
	struct cf_key key;
	char key_text[CF_KEY_TEXT_SIZE];
};

struct load_plan;

/* Poisson arrivals generated from the seed, or the jobs in the --play file. */
struct load_plan *load_plan_create(const struct settings *settings,
				   uint64_t seed, GError **error);
void load_plan_destroy(struct load_plan *plan); /* NULL allowed */
/* The next job by arrival time, without a key yet; NULL at the end. */
struct load_job *load_plan_next(struct load_plan *plan);
void load_job_free(struct load_job *job);
char *load_job_body(const struct load_job *job); /* for POST /v1/jobs */
char *load_task_body(const struct load_job *job); /* task 0, for --direct */
/* The target in a line "# class NAME TARGET_MS ..." of the --play file;
 * 0: none is given. */
uint32_t load_plan_target_ms(const struct load_plan *plan, const char *name);

/* ---- Answers (load_check.c) ---- */

enum load_outcome {
	LOAD_COMPLETE,
	LOAD_NOT_RUN, /* failed with ran=none: no task was started */
	LOAD_MAY_HAVE_RUN, /* failed with ran=unknown */
	LOAD_LOST, /* no answer, or one without an outcome */
};

struct load_verdict {
	enum load_outcome outcome;
	/* These describe an answer with the outcome LOAD_COMPLETE. */
	bool all_results; /* it has each task index exactly once */
	bool own_results; /* each result belongs to this job */
	char reason[CF_NAME_SIZE]; /* of a failure */
	uint64_t results_hash; /* to compare two complete answers */
};

void load_check_job(const struct load_job *job, uint32_t status,
		    const void *body, size_t size_bytes,
		    struct load_verdict *verdict);
/* Checks a backend server's answer: the task ran and the result is its own. */
bool load_check_task(const struct load_job *job, uint32_t status,
		     const void *body, size_t size_bytes);

/* ---- Message counters (load_metrics.c) ---- */

/* Messages sent, summed over the processes: a map from kind to int64_t. */
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
	GArray *samples; /* struct load_sample of complete answers */
	GArray *direct; /* struct load_sample of direct calls */
	GHashTable *reasons; /* counts by "none REASON" or "unknown REASON" */
	uint64_t jobs, tasks, complete, not_run, may_have_run, lost;
	uint64_t partial; /* complete answers with missing or extra results */
	uint64_t crossed; /* complete answers with another job's results */
	uint64_t tried_again; /* sent elsewhere after a refused connection */
	uint64_t resent; /* sent elsewhere after no answer came */
	uint64_t resubmitted, resubmit_mismatch, resubmit_refused;
	uint64_t direct_calls, direct_failed;
	int64_t late_max_us; /* longest delay of a send behind its plan */
	int64_t elapsed_us;
	GHashTable *messages; /* maps kinds to counts of this run; or NULL */
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
