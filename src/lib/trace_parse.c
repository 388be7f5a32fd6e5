/*
 * trace_parse: a line is split at spaces into key=value fields; the kind
 * of the event says which must be there. Others are passed over.
 */
#include "lib/trace_parse.h"

#include <string.h>

/* ---- Constants ---- */

#define FIELDS_MAX 32
#define LINE_MAX_BYTES 4096
#define DECIMAL 10
#define HEX 16
#define VERDICT_FOR "0" /* enum cf_vote, where it is written as a number */

/* ---- Types ---- */

struct fields {
	char *names[FIELDS_MAX];
	char *values[FIELDS_MAX];
	size_t count;
	GError **error;
};

struct event_parser {
	const char *name;
	enum trace_kind kind;
	bool (*parse)(struct fields *fields, GStringChunk *strings,
		      struct trace_record *record);
};

/* ---- Fields ---- */

static bool fail(struct fields *fields, const char *name, const char *why)
{
	g_set_error(fields->error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
		    "field \"%s\" %s", name, why);
	return false;
}

static const char *find(struct fields *fields, const char *name)
{
	for (size_t i = 0; i < fields->count; i++) {
		if (!strcmp(fields->names[i], name))
			return fields->values[i];
	}
	fail(fields, name, "is missing");
	return NULL;
}

static bool get_number(struct fields *fields, const char *name, guint base,
		       uint64_t max, uint64_t *number)
{
	const char *value = find(fields, name);
	guint64 parsed;

	if (!value)
		return false;
	if (!g_ascii_string_to_unsigned(value, base, 0, max, &parsed, NULL))
		return fail(fields, name, "is no number in its range");
	*number = parsed;
	return true;
}

static bool get_u64(struct fields *fields, const char *name, uint64_t *number)
{
	return get_number(fields, name, DECIMAL, UINT64_MAX, number);
}

static bool get_u32(struct fields *fields, const char *name, uint32_t *number)
{
	uint64_t wide;

	if (!get_number(fields, name, DECIMAL, UINT32_MAX, &wide))
		return false;
	*number = (uint32_t)wide;
	return true;
}

static bool get_incarnation(struct fields *fields, const char *name,
			    uint64_t *incarnation)
{
	return get_number(fields, name, HEX, UINT64_MAX, incarnation);
}

static bool get_key(struct fields *fields, struct trace_record *record)
{
	const char *value = find(fields, "key");

	if (!value)
		return false;
	return cf_key_parse(value, &record->key) ||
	       fail(fields, "key", "is no UUIDv7");
}

/* Is the field's value this word? */
static bool get_word(struct fields *fields, const char *name, const char *word,
		     bool *is_word)
{
	const char *value = find(fields, name);

	if (value)
		*is_word = !g_ascii_strcasecmp(value, word);
	return value;
}

static bool get_flag(struct fields *fields, const char *name, bool *flag)
{
	uint64_t number;

	if (!get_number(fields, name, DECIMAL, 1, &number))
		return false;
	*flag = number;
	return true;
}

/* ---- Events ---- */

static bool parse_submit(struct fields *fields, GStringChunk *strings,
			 struct trace_record *record)
{
	(void)strings;
	return get_key(fields, record) &&
	       get_u64(fields, "job", &record->job) &&
	       get_u32(fields, "tasks", &record->tasks);
}

static bool parse_claim(struct fields *fields, GStringChunk *strings,
			struct trace_record *record)
{
	(void)strings;
	return get_key(fields, record) &&
	       get_u32(fields, "epoch", &record->epoch) &&
	       get_incarnation(fields, "owner", &record->other) &&
	       get_word(fields, "state", "won", &record->won);
}

static bool parse_vote(struct fields *fields, GStringChunk *strings,
		       struct trace_record *record)
{
	bool is_zero = false;

	(void)strings;
	if (!get_key(fields, record) ||
	    !get_u32(fields, "epoch", &record->epoch) ||
	    !get_incarnation(fields, "owner", &record->other) ||
	    !get_word(fields, "verdict", "for", &record->voted) ||
	    !get_word(fields, "verdict", VERDICT_FOR, &is_zero))
		return false;
	record->voted = record->voted || is_zero;
	return true;
}

static bool parse_answer(struct fields *fields, GStringChunk *strings,
			 struct trace_record *record)
{
	(void)strings;
	return get_key(fields, record) &&
	       get_u64(fields, "job", &record->job) &&
	       get_word(fields, "outcome", "complete", &record->complete) &&
	       get_word(fields, "ran", "none", &record->none);
}

static bool parse_accept(struct fields *fields, GStringChunk *strings,
			 struct trace_record *record)
{
	const char *name;

	if (!get_u64(fields, "rev", &record->revision) ||
	    !get_word(fields, "change", "dc", &record->of_data_centre))
		return false;
	if (!record->of_data_centre)
		return true;
	name = find(fields, "name");
	if (!name)
		return false;
	record->name = g_string_chunk_insert_const(strings, name);
	return get_flag(fields, "in", &record->in);
}

static bool parse_config(struct fields *fields, GStringChunk *strings,
			 struct trace_record *record)
{
	(void)strings;
	return get_u64(fields, "rev", &record->revision);
}

static bool parse_start(struct fields *fields, GStringChunk *strings,
			struct trace_record *record)
{
	const char *name;

	if (!get_key(fields, record) ||
	    !get_u32(fields, "index", &record->index) ||
	    !get_u64(fields, "job", &record->job) ||
	    !get_incarnation(fields, "dispatcher", &record->other) ||
	    !get_u64(fields, "rev", &record->revision))
		return false;
	name = find(fields, "dc");
	if (name)
		record->name = g_string_chunk_insert_const(strings, name);
	return name;
}

static bool parse_end(struct fields *fields, GStringChunk *strings,
		      struct trace_record *record)
{
	(void)strings;
	return get_key(fields, record) &&
	       get_u32(fields, "index", &record->index) &&
	       get_flag(fields, "ok", &record->ok);
}

static bool parse_stop_end(struct fields *fields, GStringChunk *strings,
			   struct trace_record *record)
{
	(void)strings;
	return get_u64(fields, "in_progress", &record->in_progress);
}

static bool parse_run(struct fields *fields, GStringChunk *strings,
		      struct trace_record *record)
{
	(void)strings;
	return get_key(fields, record) &&
	       get_u32(fields, "index", &record->index);
}

static bool parse_got(struct fields *fields, GStringChunk *strings,
		      struct trace_record *record)
{
	(void)strings;
	return get_key(fields, record) &&
	       get_word(fields, "outcome", "complete", &record->complete) &&
	       get_word(fields, "ran", "none", &record->none) &&
	       get_flag(fields, "whole", &record->whole) &&
	       get_flag(fields, "own", &record->own);
}

static const struct event_parser parsers[] = {
	{ "submit", TRACE_SUBMIT, parse_submit },
	{ "claim", TRACE_CLAIM, parse_claim },
	{ "answer", TRACE_ANSWER, parse_answer },
	{ "vote", TRACE_VOTE, parse_vote },
	{ "accept", TRACE_ACCEPT, parse_accept },
	{ "config", TRACE_CONFIG, parse_config },
	{ "start", TRACE_START, parse_start },
	{ "end", TRACE_END, parse_end },
	{ "unstarted", TRACE_UNSTARTED, parse_run },
	{ "leaving", TRACE_LEAVING, NULL },
	{ "back", TRACE_BACK, NULL },
	{ "stop_end", TRACE_STOP_END, parse_stop_end },
	{ "run", TRACE_RUN, parse_run },
	{ "got", TRACE_GOT, parse_got },
};

/* ---- Lines ---- */

/* Cuts the line up in place. */
static bool split(char *line, struct fields *fields)
{
	char *rest = NULL;

	for (char *word = strtok_r(line, " \r\n", &rest); word;
	     word = strtok_r(NULL, " \r\n", &rest)) {
		char *equals = strchr(word, '=');

		if (!equals || equals == word)
			return fail(fields, word, "has no name=value form");
		if (fields->count == FIELDS_MAX)
			return fail(fields, word, "is one field too many");
		*equals = '\0';
		fields->names[fields->count] = word;
		fields->values[fields->count++] = equals + 1;
	}
	return true;
}

bool trace_parse(const char *text, GStringChunk *strings,
		 struct trace_record *record, GError **error)
{
	char line[LINE_MAX_BYTES];
	struct fields fields = { .error = error };
	uint64_t time_us;
	const char *event;

	*record = (struct trace_record){ 0 };
	if (g_strlcpy(line, text, sizeof(line)) >= sizeof(line))
		return fail(&fields, "line", "is too long");
	if (!split(line, &fields) ||
	    !get_number(&fields, "t", DECIMAL, INT64_MAX, &time_us) ||
	    !get_incarnation(&fields, "i", &record->process) ||
	    !get_u64(&fields, "n", &record->number))
		return false;
	record->time_us = (int64_t)time_us;
	event = find(&fields, "e");
	if (!event)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(parsers); i++) {
		if (strcmp(parsers[i].name, event) != 0)
			continue;
		record->kind = parsers[i].kind;
		return !parsers[i].parse ||
		       parsers[i].parse(&fields, strings, record);
	}
	return true;
}
