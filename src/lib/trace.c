/*
 * trace: merges the event traces of all processes of one machine by
 * their common monotonic clock and checks the system's invariants
 * against them.
 */
#include "lib/trace_centres.h"
#include "lib/trace_parse.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* ---- Constants ---- */

/* Time after which an accepted change must be in force everywhere. */
#define CHANGE_GRACE_US 3000000
#define STRINGS_BLOCK_BYTES 4096

/* ---- Types ---- */

/* Key of the hash tables. Unused fields are 0. */
struct table_key {
	struct cf_key key;
	uint64_t a, b;
};

/* Events seen so far of one job at its dispatcher. */
struct job_history {
	uint32_t tasks;
	const struct trace_record *start; /* the newest start */
	uint32_t starts; /* starts that reached a backend server */
	const struct trace_record *not_run; /* first answer "not run" */
	const struct trace_record *answer; /* first answer */
};

/* Events seen so far of one (key, index). */
struct index_history {
	bool started, ran, ended_ok;
	bool counted_double; /* counted in double_starts */
	uint64_t dispatcher, job; /* of the newest start */
};

struct cf_trace {
	GArray *records; /* struct trace_record */
	GStringChunk *strings;
};

struct check {
	struct cf_trace_summary *summary;
	struct cf_trace_fault *faults;
	size_t max, count;
	GHashTable *indexes; /* key, index -> struct index_history */
	GHashTable *jobs; /* dispatcher, job -> struct job_history */
	GHashTable *keys; /* key -> struct job_history, over all dispatchers */
	GHashTable *claims; /* key, epoch -> uint64_t owner */
	GHashTable *votes; /* key, voter, epoch -> uint64_t owner */
	struct trace_centres *centres;
	GHashTable *leaving; /* agent -> int64_t time_us; 0: it is back */
	GHashTable *configs; /* process -> uint64_t newest revision */
	GHashTable *start_revisions; /* agent -> uint64_t newest revision */
};

/* ---- Trace ---- */

struct cf_trace *cf_trace_create(void)
{
	struct cf_trace *trace = g_new0(struct cf_trace, 1);

	trace->records = g_array_new(FALSE, FALSE, sizeof(struct trace_record));
	trace->strings = g_string_chunk_new(STRINGS_BLOCK_BYTES);
	return trace;
}

void cf_trace_destroy(struct cf_trace *trace)
{
	if (!trace)
		return;
	g_array_free(trace->records, TRUE);
	g_string_chunk_free(trace->strings);
	g_free(trace);
}

bool cf_trace_add(struct cf_trace *trace, const char *file, uint64_t line,
		  const char *text, GError **error)
{
	struct trace_record record;

	if (!trace_parse(text, trace->strings, &record, error))
		return false;
	record.file = g_string_chunk_insert_const(trace->strings, file);
	record.line = line;
	g_array_append_val(trace->records, record);
	return true;
}

static gint compare_records(gconstpointer a, gconstpointer b)
{
	const struct trace_record *first = a, *second = b;

	if (first->time_us != second->time_us)
		return first->time_us < second->time_us ? -1 : 1;
	if (first->process != second->process)
		return first->process < second->process ? -1 : 1;
	if (first->number != second->number)
		return first->number < second->number ? -1 : 1;
	return first->line < second->line ? -1 : first->line > second->line;
}

/* ---- Tables ---- */

static guint table_key_hash(gconstpointer table_key)
{
	return (guint)XXH3_64bits(table_key, sizeof(struct table_key));
}

static gboolean table_key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct table_key)) == 0;
}

static GHashTable *table_create(void)
{
	return g_hash_table_new_full(table_key_hash, table_key_equal, g_free,
				     g_free);
}

/* Returns the value of the key. Adds a zeroed value if there is none. */
static void *get_or_add(GHashTable *table, const struct table_key *table_key,
			size_t size_bytes)
{
	void *value = g_hash_table_lookup(table, table_key);

	if (!value) {
		value = g_malloc0(size_bytes);
		g_hash_table_insert(
			table, g_memdup2(table_key, sizeof(*table_key)), value);
	}
	return value;
}

static struct job_history *get_job(struct check *check, uint64_t dispatcher,
				   uint64_t job)
{
	struct table_key table_key = { .a = dispatcher, .b = job };

	return get_or_add(check->jobs, &table_key, sizeof(struct job_history));
}

static struct job_history *get_key(struct check *check,
				   const struct cf_key *key)
{
	struct table_key table_key = { .key = *key };

	return get_or_add(check->keys, &table_key, sizeof(struct job_history));
}

static struct index_history *get_index(struct check *check,
				       const struct cf_key *key, uint32_t index)
{
	struct table_key table_key = { .key = *key, .a = index };

	return get_or_add(check->indexes, &table_key,
			  sizeof(struct index_history));
}

static uint64_t *get_number(GHashTable *table, uint64_t id)
{
	struct table_key table_key = { .a = id };

	return get_or_add(table, &table_key, sizeof(uint64_t));
}

/* ---- Violations ---- */

static void __attribute__((format(printf, 4, 5)))
add_fault(struct check *check, const char *invariant,
	  const struct trace_record *record, const char *format, ...)
{
	struct cf_trace_fault *fault;
	va_list args;

	if (check->count++ >= check->max)
		return;
	fault = &check->faults[check->count - 1];
	g_strlcpy(fault->invariant, invariant, sizeof(fault->invariant));
	g_strlcpy(fault->file, record->file, sizeof(fault->file));
	fault->line = record->line;
	va_start(args, format);
	g_vsnprintf(fault->message, sizeof(fault->message), format, args);
	va_end(args);
}

/* ---- Starts ---- */

static void check_started_once(struct check *check,
			       const struct trace_record *record, bool run)
{
	struct index_history *seen =
		get_index(check, &record->key, record->index);
	bool *before = run ? &seen->ran : &seen->started;
	char key[CF_KEY_TEXT_SIZE];

	if (*before) {
		cf_key_format(&record->key, key);
		add_fault(check, "start-once", record, "%s index %u %s twice",
			  key, record->index, run ? "ran" : "started");
		check->summary->double_starts += !seen->counted_double;
		seen->counted_double = true;
	}
	*before = true;
}

static void check_start_allowed(struct check *check,
				const struct trace_record *record)
{
	int64_t disabled_us;
	struct table_key agent = { .a = record->process };
	const int64_t *leaving_us = g_hash_table_lookup(check->leaving, &agent);

	if (trace_centres_is_out(check->centres, record->name, &disabled_us) &&
	    record->time_us > disabled_us + CHANGE_GRACE_US)
		add_fault(check, "data-centre-out", record,
			  "start in %s %" PRId64
			  " ms after it was taken out of service",
			  record->name, (record->time_us - disabled_us) / 1000);
	if (leaving_us && *leaving_us &&
	    record->time_us > *leaving_us + CHANGE_GRACE_US)
		add_fault(check, "leaving", record,
			  "start %" PRId64 " ms after the agent began to leave",
			  (record->time_us - *leaving_us) / 1000);
}

static void check_revision(struct check *check, GHashTable *table,
			   const struct trace_record *record)
{
	uint64_t *newest = get_number(table, record->process);

	if (record->revision < *newest)
		add_fault(check, "config-reverts", record,
			  "revision %" PRIu64 " after %" PRIu64,
			  record->revision, *newest);
	*newest = MAX(*newest, record->revision);
}

static void check_start(struct check *check, const struct trace_record *record)
{
	struct job_history *job = get_job(check, record->other, record->job);
	struct index_history *index =
		get_index(check, &record->key, record->index);

	check->summary->starts++;
	check_started_once(check, record, false);
	check_start_allowed(check, record);
	check_revision(check, check->start_revisions, record);
	if (job->not_run)
		add_fault(check, "not-run-true", record,
			  "start after the answer \"not run\" (%s line %" PRIu64
			  ")",
			  job->not_run->file, job->not_run->line);
	job->start = record;
	job->starts++;
	index->dispatcher = record->other;
	index->job = record->job;
}

/* The call never reached the backend server, so the task did not start. */
static void revert_start(struct check *check, const struct trace_record *record)
{
	struct index_history *index =
		get_index(check, &record->key, record->index);
	struct job_history *job;

	if (!index->started)
		return;
	index->started = false;
	job = get_job(check, index->dispatcher, index->job);
	job->starts--;
	check->summary->starts--;
}

/* ---- Answers ---- */

static void check_complete(struct check *check,
			   const struct trace_record *record,
			   const struct job_history *job)
{
	uint32_t tasks = job->tasks;

	if (!tasks)
		tasks = get_key(check, &record->key)->tasks;
	if (!tasks)
		add_fault(check, "answer-whole", record,
			  "complete answer to a job that was never submitted");
	for (uint32_t i = 0; i < tasks; i++) {
		if (get_index(check, &record->key, i)->ended_ok)
			continue;
		add_fault(check, "answer-whole", record,
			  "complete answer, but index %u of %u has not "
			  "succeeded",
			  i, tasks);
		return;
	}
}

static void check_answer(struct check *check, const struct trace_record *record)
{
	struct job_history *job = get_job(check, record->process, record->job);

	check->summary->answers++;
	check->summary->complete += record->complete;
	check->summary->not_run += !record->complete && record->ran_none;
	check->summary->unknown += !record->complete && !record->ran_none;
	if (record->complete)
		check_complete(check, record, job);
	if (job->answer && (job->answer->complete != record->complete ||
			    job->answer->ran_none != record->ran_none))
		add_fault(check, "answer-whole", record,
			  "answer differs from the first one (%s line %" PRIu64
			  ")",
			  job->answer->file, job->answer->line);
	if (!job->answer)
		job->answer = record;
	if (record->complete || !record->ran_none)
		return;
	if (job->starts)
		add_fault(check, "not-run-true", record,
			  "answer \"not run\" after a start (%s line %" PRIu64
			  ")",
			  job->start->file, job->start->line);
	if (!job->not_run)
		job->not_run = record;
}

static void check_client_answer(struct check *check,
				const struct trace_record *record)
{
	if (record->complete && !record->whole)
		add_fault(check, "answer-whole", record,
			  "the caller's complete answer lacks results");
	if (!record->own)
		add_fault(check, "answer-own", record,
			  "the caller got the answer of another job");
}

static void record_submit(struct check *check,
			  const struct trace_record *record)
{
	get_job(check, record->process, record->job)->tasks = record->tasks;
	get_key(check, &record->key)->tasks = record->tasks;
}

/* ---- Claims and configuration ---- */

static void check_owner(struct check *check, GHashTable *table,
			const struct table_key *table_key,
			const char *invariant,
			const struct trace_record *record)
{
	uint64_t *owner = get_or_add(table, table_key, sizeof(uint64_t));

	if (*owner && *owner != record->other)
		add_fault(check, invariant, record,
			  "epoch %u for %016" PRIx64 " after %016" PRIx64,
			  record->epoch, record->other, *owner);
	else
		*owner = record->other;
}

static void check_claim(struct check *check, const struct trace_record *record)
{
	struct table_key table_key = { .key = record->key, .a = record->epoch };

	if (record->won)
		check_owner(check, check->claims, &table_key, "claim-one-owner",
			    record);
}

static void check_vote(struct check *check, const struct trace_record *record)
{
	struct table_key table_key = { record->key, record->process,
				       record->epoch };

	if (record->voted)
		check_owner(check, check->votes, &table_key, "vote-once",
			    record);
}

static void record_leaving(struct check *check,
			   const struct trace_record *record)
{
	uint64_t *leaving_us = get_number(check->leaving, record->process);

	if (!*leaving_us)
		*leaving_us = (uint64_t)record->time_us;
}

/* ---- Check ---- */

static void check_record(struct check *check, const struct trace_record *record)
{
	switch (record->kind) {
	case TRACE_SUBMIT:
		record_submit(check, record);
		break;
	case TRACE_CLAIM:
		check_claim(check, record);
		break;
	case TRACE_ANSWER:
		check_answer(check, record);
		break;
	case TRACE_VOTE:
		check_vote(check, record);
		break;
	case TRACE_ACCEPT:
		trace_centres_accept(check->centres, record);
		break;
	case TRACE_CONFIG:
		check_revision(check, check->configs, record);
		break;
	case TRACE_START:
		check_start(check, record);
		break;
	case TRACE_END:
		if (record->ok)
			get_index(check, &record->key, record->index)
				->ended_ok = true;
		break;
	case TRACE_UNSTARTED:
		revert_start(check, record);
		break;
	case TRACE_LEAVING:
		record_leaving(check, record);
		break;
	case TRACE_BACK:
		*get_number(check->leaving, record->process) = 0;
		break;
	case TRACE_STOP_END:
		if (record->in_progress)
			add_fault(check, "stop-clean", record,
				  "the stop cut off %" PRIu64 " requests",
				  record->in_progress);
		break;
	case TRACE_RUN:
		check_started_once(check, record, true);
		break;
	case TRACE_GOT:
		check_client_answer(check, record);
		break;
	case TRACE_OTHER:
		break;
	}
}

size_t cf_trace_check(struct cf_trace *trace, struct cf_trace_summary *summary,
		      struct cf_trace_fault *faults, size_t max)
{
	struct check check = {
		.summary = summary,
		.faults = faults,
		.max = max,
		.indexes = table_create(),
		.jobs = table_create(),
		.keys = table_create(),
		.claims = table_create(),
		.votes = table_create(),
		.centres = trace_centres_create(),
		.leaving = table_create(),
		.configs = table_create(),
		.start_revisions = table_create(),
	};
	GHashTable *tables[] = { check.indexes, check.jobs,
				 check.keys,    check.claims,
				 check.votes,   check.leaving,
				 check.configs, check.start_revisions };

	*summary = (struct cf_trace_summary){ .events = trace->records->len };
	g_array_sort(trace->records, compare_records);
	for (guint i = 0; i < trace->records->len; i++)
		check_record(&check, &g_array_index(trace->records,
						    struct trace_record, i));
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		g_hash_table_destroy(tables[i]);
	trace_centres_destroy(check.centres);
	return check.count;
}
