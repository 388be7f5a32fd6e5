/*
 * trace_fields: see trace_fields.h.
 */
#include "lib/trace_fields.h"

#include <string.h>

/* ---- Constants ---- */

#define DECIMAL 10
#define HEX 16

/* ---- Fields ---- */

bool trace_fail(struct trace_fields *fields, const char *name, const char *why)
{
	g_set_error(fields->error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
		    "field \"%s\" %s", name, why);
	return false;
}

const char *trace_find(struct trace_fields *fields, const char *name)
{
	for (size_t i = 0; i < fields->count; i++) {
		if (!strcmp(fields->names[i], name))
			return fields->values[i];
	}
	trace_fail(fields, name, "is missing");
	return NULL;
}

bool trace_number(struct trace_fields *fields, const char *name, guint base,
		  uint64_t max, uint64_t *number)
{
	const char *value = trace_find(fields, name);
	guint64 parsed;

	if (!value)
		return false;
	if (!g_ascii_string_to_unsigned(value, base, 0, max, &parsed, NULL))
		return trace_fail(fields, name,
				  "is not a number in the allowed range");
	*number = parsed;
	return true;
}

bool trace_u64(struct trace_fields *fields, const char *name, uint64_t *number)
{
	return trace_number(fields, name, DECIMAL, UINT64_MAX, number);
}

bool trace_u32(struct trace_fields *fields, const char *name, uint32_t *number)
{
	uint64_t wide;

	if (!trace_number(fields, name, DECIMAL, UINT32_MAX, &wide))
		return false;
	*number = (uint32_t)wide;
	return true;
}

bool trace_time(struct trace_fields *fields, const char *name, int64_t *time)
{
	uint64_t wide;

	if (!trace_number(fields, name, DECIMAL, INT64_MAX, &wide))
		return false;
	*time = (int64_t)wide;
	return true;
}

bool trace_incarnation(struct trace_fields *fields, const char *name,
		       uint64_t *incarnation)
{
	return trace_number(fields, name, HEX, UINT64_MAX, incarnation);
}

bool trace_key(struct trace_fields *fields, struct cf_key *key)
{
	const char *value = trace_find(fields, "key");

	if (!value)
		return false;
	return cf_key_parse(value, key) ||
	       trace_fail(fields, "key", "is not a UUIDv7");
}

/* Sets *is_word if the value of the field is this word, ignoring case. */
bool trace_word(struct trace_fields *fields, const char *name, const char *word,
		bool *is_word)
{
	const char *value = trace_find(fields, name);

	if (value)
		*is_word = !g_ascii_strcasecmp(value, word);
	return value;
}

bool trace_flag(struct trace_fields *fields, const char *name, bool *flag)
{
	uint64_t number;

	if (!trace_number(fields, name, DECIMAL, 1, &number))
		return false;
	*flag = number;
	return true;
}

/* ---- Lines ---- */

/* Splits the line in place. */
static bool split_line(char *line, struct trace_fields *fields)
{
	char *rest = NULL;

	for (char *word = strtok_r(line, " \r\n", &rest); word;
	     word = strtok_r(NULL, " \r\n", &rest)) {
		char *equals = strchr(word, '=');

		if (!equals || equals == word)
			return trace_fail(fields, word,
					  "does not have the form name=value");
		if (fields->count == TRACE_FIELDS_MAX)
			return trace_fail(
				fields, word,
				"exceeds the maximum number of fields");
		*equals = '\0';
		fields->names[fields->count] = word;
		fields->values[fields->count++] = equals + 1;
	}
	return true;
}

bool trace_split(const char *text, struct trace_fields *fields, GError **error)
{
	fields->error = error;
	fields->count = 0;
	if (g_strlcpy(fields->line, text, sizeof(fields->line)) >=
	    sizeof(fields->line))
		return trace_fail(fields, "line", "is too long");
	return split_line(fields->line, fields);
}
