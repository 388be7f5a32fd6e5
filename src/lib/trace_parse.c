/*
 * trace_parse: splits a line at spaces into key=value fields. The kind
 * of the event determines which fields are required. Other fields are
 * ignored.
 */
#include "lib/trace_parse.h"

#include "lib/trace_fields.h"

#include <string.h>

/* ---- Constants ---- */

/* CF_VOTE_FOR, in traces that write enum cf_vote as a number. */
#define VERDICT_FOR "0"

/* ---- Types ---- */

struct event_parser {
	const char *name;
	enum trace_kind kind;
	bool (*parse)(struct trace_fields *fields, GStringChunk *strings,
		      struct trace_record *record);
};

/* ---- Events ---- */

static bool parse_submit(struct trace_fields *fields, GStringChunk *strings,
			 struct trace_record *record)
{
	(void)strings;
	return trace_key(fields, &record->key) &&
	       trace_u64(fields, "job", &record->job) &&
	       trace_u32(fields, "tasks", &record->tasks);
}

static bool parse_claim(struct trace_fields *fields, GStringChunk *strings,
			struct trace_record *record)
{
	(void)strings;
	return trace_key(fields, &record->key) &&
	       trace_u32(fields, "epoch", &record->epoch) &&
	       trace_incarnation(fields, "owner", &record->other) &&
	       trace_word(fields, "state", "won", &record->won);
}

static bool parse_vote(struct trace_fields *fields, GStringChunk *strings,
		       struct trace_record *record)
{
	bool is_zero = false;

	(void)strings;
	if (!trace_key(fields, &record->key) ||
	    !trace_u32(fields, "epoch", &record->epoch) ||
	    !trace_incarnation(fields, "owner", &record->other) ||
	    !trace_word(fields, "verdict", "for", &record->voted) ||
	    !trace_word(fields, "verdict", VERDICT_FOR, &is_zero))
		return false;
	record->voted = record->voted || is_zero;
	return true;
}

static bool parse_answer(struct trace_fields *fields, GStringChunk *strings,
			 struct trace_record *record)
{
	(void)strings;
	return trace_key(fields, &record->key) &&
	       trace_u64(fields, "job", &record->job) &&
	       trace_word(fields, "outcome", "complete", &record->complete) &&
	       trace_word(fields, "ran", "none", &record->ran_none);
}

static bool parse_accept(struct trace_fields *fields, GStringChunk *strings,
			 struct trace_record *record)
{
	const char *name;

	if (!trace_u64(fields, "rev", &record->revision) ||
	    !trace_word(fields, "change", "dc", &record->changes_data_centre))
		return false;
	if (!record->changes_data_centre)
		return true;
	name = trace_find(fields, "name");
	if (!name)
		return false;
	record->name = g_string_chunk_insert_const(strings, name);
	/* Earlier versions wrote the event at the leader only. */
	record->led = true;
	return trace_flag(fields, "in", &record->in_service) &&
	       (!trace_find(fields, "led") ||
		trace_flag(fields, "led", &record->led));
}

static bool parse_config(struct trace_fields *fields, GStringChunk *strings,
			 struct trace_record *record)
{
	(void)strings;
	return trace_u64(fields, "rev", &record->revision);
}

static bool parse_start(struct trace_fields *fields, GStringChunk *strings,
			struct trace_record *record)
{
	const char *name;

	if (!trace_key(fields, &record->key) ||
	    !trace_u32(fields, "index", &record->index) ||
	    !trace_u64(fields, "job", &record->job) ||
	    !trace_incarnation(fields, "dispatcher", &record->other) ||
	    !trace_u64(fields, "rev", &record->revision))
		return false;
	name = trace_find(fields, "dc");
	if (name)
		record->name = g_string_chunk_insert_const(strings, name);
	return name;
}

static bool parse_end(struct trace_fields *fields, GStringChunk *strings,
		      struct trace_record *record)
{
	(void)strings;
	return trace_key(fields, &record->key) &&
	       trace_u32(fields, "index", &record->index) &&
	       trace_flag(fields, "ok", &record->ok);
}

static bool parse_stop_end(struct trace_fields *fields, GStringChunk *strings,
			   struct trace_record *record)
{
	(void)strings;
	return trace_u64(fields, "in_progress", &record->in_progress);
}

static bool parse_run(struct trace_fields *fields, GStringChunk *strings,
		      struct trace_record *record)
{
	(void)strings;
	return trace_key(fields, &record->key) &&
	       trace_u32(fields, "index", &record->index);
}

static bool parse_got(struct trace_fields *fields, GStringChunk *strings,
		      struct trace_record *record)
{
	(void)strings;
	return trace_key(fields, &record->key) &&
	       trace_word(fields, "outcome", "complete", &record->complete) &&
	       trace_word(fields, "ran", "none", &record->ran_none) &&
	       trace_flag(fields, "whole", &record->whole) &&
	       trace_flag(fields, "own", &record->own);
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

bool trace_parse(const char *text, GStringChunk *strings,
		 struct trace_record *record, GError **error)
{
	struct trace_fields fields;
	const char *event;

	*record = (struct trace_record){ 0 };
	if (!trace_split(text, &fields, error) ||
	    !trace_time(&fields, "t", &record->time_us) ||
	    !trace_incarnation(&fields, "i", &record->process) ||
	    !trace_u64(&fields, "n", &record->number))
		return false;
	event = trace_find(&fields, "e");
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
