/*
 * trace_parse: parses one line of an event trace. For the format see
 * src/base/trace_file.h, for the events docs/DESIGN.md "The trace".
 */
#ifndef LIB_TRACE_PARSE_H
#define LIB_TRACE_PARSE_H

#include "chervilferry.h"

enum trace_kind {
	TRACE_OTHER, /* not used by any check */
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

/* Fields that the kind doesn't use are 0. The strings are owned by the
 * string chunk that was passed to trace_parse. */
struct trace_record {
	int64_t time_us; /* monotonic */
	uint64_t process; /* incarnation of the process */
	uint64_t number; /* sequence number in the trace of its process */
	const char *file;
	uint64_t line;
	enum trace_kind kind;
	struct cf_key key;
	uint32_t index, epoch, tasks;
	uint64_t job;
	uint64_t other; /* start: dispatcher; claim, vote: owner */
	uint64_t revision;
	uint64_t in_progress;
	const char *name; /* data centre */
	bool won; /* claim: the owner won it */
	bool voted; /* vote: the verdict is "for" */
	bool changes_data_centre; /* accept: it changes a data centre */
	bool in_service; /* accept: the data centre is in service */
	bool led; /* accept: written by the leader */
	bool ok; /* end: the task succeeded */
	bool complete, ran_none; /* answer, got: outcome=complete; ran=none */
	bool whole; /* got: all results arrived */
	bool own; /* got: the results are the caller's own */
};

/* Returns false if the line is invalid; the error names the field. Strings
 * of the record are stored in the chunk. */
bool trace_parse(const char *text, GStringChunk *strings,
		 struct trace_record *record, GError **error);

#endif
