/*
 * trace_parse: one line of an event trace into an event (format in
 * src/base/trace_file.h, events in docs/DESIGN.md "The trace").
 */
#ifndef LIB_TRACE_PARSE_H
#define LIB_TRACE_PARSE_H

#include "chervilferry.h"

enum trace_kind {
	TRACE_OTHER, /* says nothing about a promise */
	TRACE_SUBMIT,
	TRACE_CLAIM,
	TRACE_ANSWER,
	TRACE_VOTE,
	TRACE_ACCEPT,
	TRACE_CONFIG,
	TRACE_START,
	TRACE_END,
	TRACE_UNSTARTED,
	TRACE_LEAVING,
	TRACE_BACK,
	TRACE_STOP_END,
	TRACE_RUN,
	TRACE_GOT,
};

/* Fields that the kind has not are 0. Strings live with the chunk. */
struct trace_record {
	int64_t time_us; /* monotonic */
	uint64_t process; /* incarnation */
	uint64_t number; /* in its file */
	const char *file;
	uint64_t line;
	enum trace_kind kind;
	struct cf_key key;
	uint32_t index, epoch, tasks;
	uint64_t job;
	uint64_t other; /* dispatcher of a start, owner of a claim or vote */
	uint64_t revision;
	uint64_t in_progress;
	const char *name; /* data centre */
	bool won; /* claim */
	bool voted; /* vote: verdict "for" */
	bool of_data_centre; /* accept */
	bool in; /* accept: in service */
	bool ok; /* end */
	bool complete, none; /* answer, got: outcome complete; ran none */
	bool whole, own; /* got */
};

/* Names the field at fault in the error. Strings are kept in the chunk. */
bool trace_parse(const char *text, GStringChunk *strings,
		 struct trace_record *record, GError **error);

#endif
