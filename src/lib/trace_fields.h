/*
 * trace_fields: splits a line of a trace into its key=value fields and
 * parses their values.
 */
#ifndef LIB_TRACE_FIELDS_H
#define LIB_TRACE_FIELDS_H

#include "chervilferry.h"

#define TRACE_FIELDS_MAX 32
#define TRACE_LINE_MAX_BYTES 4096

struct trace_fields {
	char line[TRACE_LINE_MAX_BYTES];
	char *names[TRACE_FIELDS_MAX];
	char *values[TRACE_FIELDS_MAX];
	size_t count;
	GError **error;
};

/* All of these return false (trace_find: NULL) and set *error if the field
 * is missing or invalid. */
bool trace_split(const char *text, struct trace_fields *fields, GError **error);
bool trace_fail(struct trace_fields *fields, const char *name,
		const char *why); /* always false */
const char *trace_find(struct trace_fields *fields, const char *name);
bool trace_number(struct trace_fields *fields, const char *name, guint base,
		  uint64_t max, uint64_t *number);
bool trace_u64(struct trace_fields *fields, const char *name, uint64_t *number);
bool trace_u32(struct trace_fields *fields, const char *name, uint32_t *number);
bool trace_time(struct trace_fields *fields, const char *name, int64_t *time);
bool trace_incarnation(struct trace_fields *fields, const char *name,
		       uint64_t *incarnation);
bool trace_key(struct trace_fields *fields, struct cf_key *key);
bool trace_word(struct trace_fields *fields, const char *name, const char *word,
		bool *is_word);
bool trace_flag(struct trace_fields *fields, const char *name, bool *flag);

#endif
