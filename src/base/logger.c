/*
 * Each line is formatted completely and then written by one call.
 */
#include "base/logger.h"

#include "base/clock.h"
#include "base/log_writer.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LOG_NAME_SIZE 64
#define MS_PER_S 1000

static const char *const level_names[] = { "debug", "info", "warn", "error" };
static const char *const format_names[] = { "text", "json" };

static char log_role[LOG_NAME_SIZE] = "process";
static char log_name[LOG_NAME_SIZE] = "node";
static struct log_writer *writer; /* NULL: write to standard error */
static enum log_level min_level = LOG_INFO;
static enum log_format line_format = LOG_FORMAT_TEXT;

void log_configure(const char *role, const char *name, enum log_level level,
		   enum log_format format)
{
	g_strlcpy(log_role, role, sizeof(log_role));
	g_strlcpy(log_name, name ? name : "node", sizeof(log_name));
	min_level = level;
	line_format = format;
}

void log_start_writer(void)
{
	if (!writer)
		writer = log_writer_create(STDOUT_FILENO);
}

void log_stop_writer(void)
{
	struct log_writer *stopped = writer;

	writer = NULL;
	log_writer_destroy(stopped);
}

static bool index_of_name(const char *const *names, size_t n, const char *text,
			  int *found)
{
	for (size_t i = 0; i < n; i++) {
		if (!g_strcmp0(names[i], text)) {
			*found = (int)i;
			return true;
		}
	}
	return false;
}

bool log_parse_level(const char *text, enum log_level *level)
{
	int found;

	if (!index_of_name(level_names, G_N_ELEMENTS(level_names), text,
			   &found))
		return false;
	*level = (enum log_level)found;
	return true;
}

bool log_parse_format(const char *text, enum log_format *format)
{
	int found;

	if (!index_of_name(format_names, G_N_ELEMENTS(format_names), text,
			   &found))
		return false;
	*format = (enum log_format)found;
	return true;
}

bool log_enabled(enum log_level level)
{
	return level >= min_level;
}

/* ---- Lines ---- */

static char *format_wall_time(void)
{
	int64_t wall_ms = clock_wall_ms();
	time_t seconds = (time_t)(wall_ms / MS_PER_S);
	struct tm utc;
	char text[32];

	gmtime_r(&seconds, &utc);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
	return g_strdup_printf("%s.%03dZ", text, (int)(wall_ms % MS_PER_S));
}

/* Prevents text from outside, such as a request, from forging a log line
 * with a line break. */
static void replace_control_characters(char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			*text = '?';
}

static json_t *to_json_value(const char *text)
{
	int64_t number;
	char *valid;
	json_t *value;

	if (g_ascii_string_to_signed(text, 10, INT64_MIN, INT64_MAX, &number,
				     NULL))
		return json_integer(number);
	valid = g_utf8_make_valid(text, -1);
	value = json_string(valid);
	g_free(valid);
	return value;
}

/* Parses one key=value or key="value" field, adds it to the JSON line and
 * returns the rest of the text. Text without "=" becomes "message". */
static const char *add_field(json_t *line, const char *text)
{
	const char *equals = strchr(text, '=');
	const char *end;
	char *key, *value;

	if (!equals) {
		json_object_set_new(line, "message", to_json_value(text));
		return text + strlen(text);
	}
	key = g_strndup(text, (gsize)(equals - text));
	text = equals + 1;
	if (*text == '"') {
		end = strchr(++text, '"');
		if (!end)
			end = text + strlen(text);
		value = g_strndup(text, (gsize)(end - text));
		if (*end)
			end++;
	} else {
		end = text + strcspn(text, " ");
		value = g_strndup(text, (gsize)(end - text));
	}
	json_object_set_new(line, key, to_json_value(value));
	g_free(key);
	g_free(value);
	return end;
}

static char *format_json_line(const char *time, enum log_level level,
			      const char *event, const char *fields)
{
	json_t *line = json_pack("{s:s,s:s,s:s,s:s,s:s}", "time", time, "level",
				 level_names[level], "role", log_role, "name",
				 log_name, "event", event);
	char *dumped, *text;

	while (*fields) {
		fields = add_field(line, fields);
		fields += strspn(fields, " ");
	}
	dumped = json_dumps(line, JSON_COMPACT);
	text = g_strdup_printf("%s\n", dumped ? dumped : "{}");
	free(dumped);
	json_decref(line);
	return text;
}

/* Warnings and errors count as important lines, which the writer drops last
 * because they report failures. */
static void write_line(enum log_level level, const char *text)
{
	size_t left = strlen(text);

	if (writer) {
		log_writer_add(writer, text, level >= LOG_WARN, clock_now_ms());
		return;
	}

	while (left) {
		ssize_t n = write(STDERR_FILENO, text, left);

		if (n <= 0)
			return;
		text += n;
		left -= (size_t)n;
	}
}

void log_event(enum log_level level, const char *event, const char *fields, ...)
{
	char *text = NULL;
	char *time, *line;
	va_list args;

	if (!log_enabled(level))
		return;
	if (fields) {
		va_start(args, fields);
		text = g_strdup_vprintf(fields, args);
		va_end(args);
		replace_control_characters(text);
	}
	time = format_wall_time();
	if (line_format == LOG_FORMAT_JSON)
		line = format_json_line(time, level, event, text ? text : "");
	else
		line = g_strdup_printf("%s %s role=%s name=%s event=%s%s%s\n",
				       time, level_names[level], log_role,
				       log_name, event, text ? " " : "",
				       text ? text : "");
	write_line(level, line);
	g_free(line);
	g_free(time);
	g_free(text);
}
