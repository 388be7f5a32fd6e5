/*
 * trace: merges the event traces of all processes of one machine by
 * their common monotonic clock and checks the promises over them.
 */
#include "lib/trace_parse.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* ---- Constants ---- */

#define GRACE_US 3000000 /* until an accepted change must be in force */
#define STRINGS_BLOCK_BYTES 4096

/* ---- Types ---- */

/* Names what an event is about; unused parts are 0. */
struct subject {
	struct cf_key key;
	uint64_t a, b;
};

/* What is known of one job at its dispatcher. */
struct job_seen {
	uint32_t tasks;
	const struct trace_record *start; /* its newest */
	uint32_t starts; /* that reached a backend server */
	const struct trace_record *not_run; /* the answer that said so */
	const struct trace_record *answer; /* its first */
};

/* What is known of one (key, index). */
struct index_seen {
	bool started, ran, ended_ok, doubled;
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
	GHashTable *indexes; /* key, index -> struct index_seen */
	GHashTable *jobs; /* dispatcher, job -> struct job_seen */
	GHashTable *keys; /* key -> struct job_seen, of any dispatcher */
	GHashTable *claims; /* key, epoch -> struct subject of the owner */
	GHashTable *votes; /* key, voter and epoch -> the same */
	GHashTable *outs; /* data centre -> int64_t time_us it went out */
	GHashTable *leaving; /* agent -> int64_t time_us */
	GHashTable *configs; /* process -> uint64_t revision in force */
	GHashTable *start_revisions; /* agent -> uint64_t */
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

static guint subject_hash(gconstpointer subject)
{
	return (guint)XXH3_64bits(subject, sizeof(struct subject));
}

static gboolean subject_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct subject)) == 0;
}

static GHashTable *subject_table(void)
{
	return g_hash_table_new_full(subject_hash, subject_equal, g_free,
				     g_free);
}

/* The value of the subject, zeroed when it is new. */
static void *see(GHashTable *table, const struct subject *subject,
		 size_t size_bytes)
{
	void *value = g_hash_table_lookup(table, subject);

	if (!value) {
		value = g_malloc0(size_bytes);
		g_hash_table_insert(table, g_memdup2(subject, sizeof(*subject)),
				    value);
	}
	return value;
}

static struct job_seen *see_job(struct check *check, uint64_t dispatcher,
				uint64_t job)
{
	struct subject subject = { .a = dispatcher, .b = job };

	return see(check->jobs, &subject, sizeof(struct job_seen));
}

static struct job_seen *see_key(struct check *check, const struct cf_key *key)
{
	struct subject subject = { .key = *key };

	return see(check->keys, &subject, sizeof(struct job_seen));
}

static struct index_seen *see_index(struct check *check,
				    const struct cf_key *key, uint32_t index)
{
	struct subject subject = { .key = *key, .a = index };

	return see(check->indexes, &subject, sizeof(struct index_seen));
}

static uint64_t *see_number(GHashTable *table, uint64_t id)
{
	struct subject subject = { .a = id };

	return see(table, &subject, sizeof(uint64_t));
}

/* ---- Faults ---- */

static void __attribute__((format(printf, 4, 5)))
add_fault(struct check *check, const char *promise,
	  const struct trace_record *record, const char *format, ...)
{
	struct cf_trace_fault *fault;
	va_list args;

	if (check->count++ >= check->max)
		return;
	fault = &check->faults[check->count - 1];
	g_strlcpy(fault->promise, promise, sizeof(fault->promise));
	g_strlcpy(fault->file, record->file, sizeof(fault->file));
	fault->line = record->line;
	va_start(args, format);
	g_vsnprintf(fault->message, sizeof(fault->message), format, args);
	va_end(args);
}

/* ---- Starts ---- */

static void check_double(struct check *check, const struct trace_record *record,
			 bool run)
{
	struct index_seen *seen = see_index(check, &record->key, record->index);
	bool *before = run ? &seen->ran : &seen->started;
	char key[CF_KEY_TEXT_SIZE];

	if (*before) {
		cf_key_format(&record->key, key);
		add_fault(check, "start-once", record, "%s index %u %s twice",
			  key, record->index, run ? "ran" : "started");
		check->summary->doubles += !seen->doubled;
		seen->doubled = true;
	}
	*before = true;
}

static void check_place(struct check *check, const struct trace_record *record)
{
	const int64_t *out_us = g_hash_table_lookup(check->outs, record->name);
	struct subject agent = { .a = record->process };
	const int64_t *left_us = g_hash_table_lookup(check->leaving, &agent);

	if (out_us && record->time_us > *out_us + GRACE_US)
		add_fault(check, "data-centre-out", record,
			  "start in %s %" PRId64 " ms after it went out",
			  record->name, (record->time_us - *out_us) / 1000);
	if (left_us && *left_us && record->time_us > *left_us + GRACE_US)
		add_fault(check, "leaving", record,
			  "start %" PRId64 " ms after the agent was leaving",
			  (record->time_us - *left_us) / 1000);
}

static void check_revision(struct check *check, GHashTable *table,
			   const struct trace_record *record)
{
	uint64_t *newest = see_number(table, record->process);

	if (record->revision < *newest)
		add_fault(check, "config-reverts", record,
			  "revision %" PRIu64 " after %" PRIu64,
			  record->revision, *newest);
	*newest = MAX(*newest, record->revision);
}

static void check_start(struct check *check, const struct trace_record *record)
{
	struct job_seen *job = see_job(check, record->other, record->job);
	struct index_seen *index =
		see_index(check, &record->key, record->index);

	check->summary->starts++;
	check_double(check, record, false);
	check_place(check, record);
	check_revision(check, check->start_revisions, record);
	if (job->not_run)
		add_fault(check, "not-run-true", record,
			  "start after the answer not run, %s line %" PRIu64,
			  job->not_run->file, job->not_run->line);
	job->start = record;
	job->starts++;
	index->dispatcher = record->other;
	index->job = record->job;
}

/* The call never reached the backend server: it did not start. */
static void note_unstarted(struct check *check,
			   const struct trace_record *record)
{
	struct index_seen *index =
		see_index(check, &record->key, record->index);
	struct job_seen *job;

	if (!index->started)
		return;
	index->started = false;
	job = see_job(check, index->dispatcher, index->job);
	job->starts--;
	check->summary->starts--;
}

/* ---- Answers ---- */

static void check_whole(struct check *check, const struct trace_record *record,
			const struct job_seen *job)
{
	uint32_t tasks = job->tasks;

	if (!tasks)
		tasks = see_key(check, &record->key)->tasks;
	if (!tasks)
		add_fault(check, "answer-whole", record,
			  "complete answer to a job without a submit");
	for (uint32_t i = 0; i < tasks; i++) {
		if (see_index(check, &record->key, i)->ended_ok)
			continue;
		add_fault(check, "answer-whole", record,
			  "complete answer, but index %u of %u has not ended "
			  "well",
			  i, tasks);
		return;
	}
}

static void check_answer(struct check *check, const struct trace_record *record)
{
	struct job_seen *job = see_job(check, record->process, record->job);

	check->summary->answers++;
	check->summary->complete += record->complete;
	check->summary->not_run += !record->complete && record->none;
	check->summary->unknown += !record->complete && !record->none;
	if (record->complete)
		check_whole(check, record, job);
	if (job->answer && (job->answer->complete != record->complete ||
			    job->answer->none != record->none))
		add_fault(check, "answer-whole", record,
			  "differs from the first answer, %s line %" PRIu64,
			  job->answer->file, job->answer->line);
	if (!job->answer)
		job->answer = record;
	if (record->complete || !record->none)
		return;
	if (job->starts)
		add_fault(check, "not-run-true", record,
			  "answer not run after a start, %s line %" PRIu64,
			  job->start->file, job->start->line);
	if (!job->not_run)
		job->not_run = record;
}

static void check_got(struct check *check, const struct trace_record *record)
{
	if (record->complete && !record->whole)
		add_fault(check, "answer-whole", record,
			  "the caller's complete answer is not whole");
	if (!record->own)
		add_fault(check, "answer-own", record,
			  "the caller's answer is not its own");
}

static void note_submit(struct check *check, const struct trace_record *record)
{
	see_job(check, record->process, record->job)->tasks = record->tasks;
	see_key(check, &record->key)->tasks = record->tasks;
}

/* ---- Claims and configuration ---- */

static void check_owner(struct check *check, GHashTable *table,
			const struct subject *subject, const char *promise,
			const struct trace_record *record)
{
	uint64_t *owner = see(table, subject, sizeof(uint64_t));

	if (*owner && *owner != record->other)
		add_fault(check, promise, record,
			  "epoch %u for %016" PRIx64 " after %016" PRIx64,
			  record->epoch, record->other, *owner);
	else
		*owner = record->other;
}

static void check_claim(struct check *check, const struct trace_record *record)
{
	struct subject subject = { .key = record->key, .a = record->epoch };

	if (record->won)
		check_owner(check, check->claims, &subject, "claim-one-owner",
			    record);
}

static void check_vote(struct check *check, const struct trace_record *record)
{
	struct subject subject = { record->key, record->process,
				   record->epoch };

	if (record->voted)
		check_owner(check, check->votes, &subject, "vote-once", record);
}

static void note_accept(struct check *check, const struct trace_record *record)
{
	if (!record->of_data_centre)
		return;
	if (record->in)
		g_hash_table_remove(check->outs, record->name);
	else if (!g_hash_table_contains(check->outs, record->name))
		g_hash_table_insert(
			check->outs, (gpointer)record->name,
			g_memdup2(&record->time_us, sizeof(record->time_us)));
}

static void note_leaving(struct check *check, const struct trace_record *record)
{
	uint64_t *left_us = see_number(check->leaving, record->process);

	if (!*left_us)
		*left_us = (uint64_t)record->time_us;
}

/* ---- Check ---- */

static void check_record(struct check *check, const struct trace_record *record)
{
	switch (record->kind) {
	case TRACE_SUBMIT:
		note_submit(check, record);
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
		note_accept(check, record);
		break;
	case TRACE_CONFIG:
		check_revision(check, check->configs, record);
		break;
	case TRACE_START:
		check_start(check, record);
		break;
	case TRACE_END:
		if (record->ok)
			see_index(check, &record->key, record->index)
				->ended_ok = true;
		break;
	case TRACE_UNSTARTED:
		note_unstarted(check, record);
		break;
	case TRACE_LEAVING:
		note_leaving(check, record);
		break;
	case TRACE_BACK:
		*see_number(check->leaving, record->process) = 0;
		break;
	case TRACE_STOP_END:
		if (record->in_progress)
			add_fault(check, "stop-clean", record,
				  "%" PRIu64 " requests were cut off",
				  record->in_progress);
		break;
	case TRACE_RUN:
		check_double(check, record, true);
		break;
	case TRACE_GOT:
		check_got(check, record);
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
		.indexes = subject_table(),
		.jobs = subject_table(),
		.keys = subject_table(),
		.claims = subject_table(),
		.votes = subject_table(),
		.outs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      g_free),
		.leaving = subject_table(),
		.configs = subject_table(),
		.start_revisions = subject_table(),
	};
	GHashTable *tables[] = { check.indexes,        check.jobs,
				 check.keys,           check.claims,
				 check.votes,          check.outs,
				 check.leaving,        check.configs,
				 check.start_revisions };

	*summary = (struct cf_trace_summary){ .events = trace->records->len };
	g_array_sort(trace->records, compare_records);
	for (guint i = 0; i < trace->records->len; i++)
		check_record(&check, &g_array_index(trace->records,
						    struct trace_record, i));
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		g_hash_table_destroy(tables[i]);
	return check.count;
}
