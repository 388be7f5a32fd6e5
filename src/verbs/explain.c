/*
 * explain: see explain.h. Reads log lines in the text format only. Any
 * prefix that a log collector put before the timestamp is removed.
 */
#include "verbs/explain.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define EXIT_USAGE_ERROR 2
#define TIMESTAMP_LENGTH 24 /* "2026-12-04T06:49:47.183Z" */
#define FIELD_SIZE 160

enum verdict {
	VERDICT_COMPLETED,
	VERDICT_FAILED,
	VERDICT_REFUSED,
	VERDICT_GIVEN_UP,
	VERDICT_NONE,
};

/* ---- Lines ---------------------------------------------------------- */

/* Returns the start of the line's timestamp, or NULL if it is no log line. */
static const char *find_timestamp(const char *line)
{
	const char *role = strstr(line, " role=");
	const char *time;

	for (time = line; role && time + TIMESTAMP_LENGTH < role; time++)
		if (g_ascii_isdigit(*time) && time[4] == '-' &&
		    time[10] == 'T' && time[TIMESTAMP_LENGTH - 1] == 'Z')
			return time;
	return NULL;
}

/* Reads the value of a field. False: the line has no such field. */
static bool get_field(const char *line, const char *key, char out[FIELD_SIZE])
{
	g_autofree char *wanted = g_strdup_printf(" %s=", key);
	const char *at = strstr(line, wanted);
	size_t length;

	if (!at)
		return false;
	at += strlen(wanted);
	length = *at == '"' ? strcspn(++at, "\"") : strcspn(at, " ");
	g_strlcpy(out, at, MIN(length + 1, FIELD_SIZE));
	return true;
}

static bool is_event(const char *line, const char *event)
{
	char found[FIELD_SIZE];

	return get_field(line, "event", found) && !strcmp(found, event);
}

static bool has_value(const char *line, const char *key, const char *value)
{
	char found[FIELD_SIZE];

	return get_field(line, key, found) && !strcmp(found, value);
}

static gint compare_timestamps(gconstpointer a, gconstpointer b)
{
	return strncmp(*(char *const *)a, *(char *const *)b, TIMESTAMP_LENGTH);
}

static GPtrArray *find_job_lines(const char *id, char **lines)
{
	GPtrArray *found = g_ptr_array_new();

	for (size_t i = 0; lines[i]; i++) {
		const char *line = find_timestamp(lines[i]);

		if (line && has_value(line, "job", id))
			g_ptr_array_add(found, (char *)(uintptr_t)line);
	}
	g_ptr_array_sort(found, compare_timestamps);
	return found;
}

static const char *find_last_event(const GPtrArray *lines, const char *event)
{
	for (guint i = lines->len; i-- > 0;)
		if (is_event(g_ptr_array_index(lines, i), event))
			return g_ptr_array_index(lines, i);
	return NULL;
}

/* ---- Causes --------------------------------------------------------- */

static void add_refusal(const GPtrArray *lines, const char *reason,
			GString *out)
{
	const char *line = find_last_event(lines, "job_refused");
	char wait[FIELD_SIZE], slack[FIELD_SIZE], free_cpu[FIELD_SIZE];

	g_string_append_printf(out, "refused, not run: %s", reason);
	if (line && get_field(line, "wait_ms", wait) &&
	    get_field(line, "slack_ms", slack) &&
	    get_field(line, "free_cpu_milli", free_cpu))
		g_string_append_printf(out,
				       " (predicted wait %s ms, it could wait "
				       "%s ms; %s thousandths of a processor "
				       "free for its class)",
				       wait, slack, free_cpu);
}

static void add_failure(const GPtrArray *lines, GString *out)
{
	g_string_append(out, "a task failed as often as it may, on");
	for (guint i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);
		char server[FIELD_SIZE], index[FIELD_SIZE];

		if (is_event(line, "run_settled") &&
		    has_value(line, "outcome", "1") &&
		    get_field(line, "server", server) &&
		    get_field(line, "index", index))
			g_string_append_printf(out, " %s (task %s)", server,
					       index);
	}
}

static void add_losses(const GPtrArray *lines, GString *out)
{
	g_string_append(out, "servers crashed under a task:");
	for (guint i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);
		char server[FIELD_SIZE], index[FIELD_SIZE], age[FIELD_SIZE];

		if (is_event(line, "task_lost") &&
		    get_field(line, "server", server) &&
		    get_field(line, "index", index) &&
		    get_field(line, "age_ms", age))
			g_string_append_printf(
				out, " %s (task %s, %s ms after its start)",
				*server ? server : "under another dispatcher",
				index, age);
	}
}

static bool is_settled(const GPtrArray *lines, const char *sent)
{
	char index[FIELD_SIZE] = "", number[FIELD_SIZE] = "";

	get_field(sent, "index", index);
	get_field(sent, "number", number);
	for (guint i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);

		if (is_event(line, "run_settled") &&
		    has_value(line, "index", index) &&
		    has_value(line, "number", number))
			return true;
	}
	return false;
}

/* Whether a dispatcher lost this agent between two log lines. */
static bool agent_was_lost(char **all, const char *agent, const char *from,
			   const char *to)
{
	for (size_t i = 0; all[i]; i++) {
		const char *line = find_timestamp(all[i]);

		if (line && is_event(line, "agent_lost") &&
		    has_value(line, "agent", agent) &&
		    strncmp(line, from, TIMESTAMP_LENGTH) >= 0 &&
		    strncmp(line, to, TIMESTAMP_LENGTH) <= 0)
			return true;
	}
	return false;
}

static void add_pending_runs(const GPtrArray *lines, char **all,
			     const char *end, GString *out)
{
	for (guint i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);
		char agent[FIELD_SIZE], index[FIELD_SIZE];

		if (!is_event(line, "run_sent") || is_settled(lines, line) ||
		    !get_field(line, "agent", agent) ||
		    !get_field(line, "index", index))
			continue;
		g_string_append_printf(out, "; task %s was at %s%s", index,
				       agent,
				       agent_was_lost(all, agent, line, end)
					       ? ", which was lost meanwhile"
					       : "");
	}
}

static void add_missing_answer(const GPtrArray *lines, GString *out)
{
	const char *line = lines->len ? g_ptr_array_index(lines, 0) : NULL;
	char name[FIELD_SIZE];

	if (!line)
		g_string_append(out, "no line of these logs names it");
	else if (get_field(line, "name", name))
		g_string_append_printf(out,
				       "no answer in these logs: its process "
				       "%s ended or was frozen",
				       name);
}

static void add_cause(const GPtrArray *lines, char **all, GString *out)
{
	const char *answer = find_last_event(lines, "answered");
	const char *refusal = find_last_event(lines, "request_refused");
	char reason[FIELD_SIZE] = "", verdict[FIELD_SIZE] = "";
	enum verdict v = VERDICT_NONE;

	if (answer && get_field(answer, "verdict", verdict))
		v = (enum verdict)atoi(verdict);
	if (answer)
		get_field(answer, "reason", reason);
	else if (refusal)
		get_field(refusal, "why", reason);
	g_string_append(out, "cause: ");
	if (v == VERDICT_COMPLETED)
		g_string_append(out, "none, it was completed");
	else if (v == VERDICT_FAILED && find_last_event(lines, "task_given_up"))
		add_losses(lines, out);
	else if (v == VERDICT_FAILED)
		add_failure(lines, out);
	else if (v == VERDICT_REFUSED || (v == VERDICT_NONE && refusal))
		add_refusal(lines, reason, out);
	else if (v == VERDICT_GIVEN_UP)
		g_string_append_printf(out, "given up, may have run: %s",
				       reason);
	else
		add_missing_answer(lines, out);
	if (v == VERDICT_GIVEN_UP && find_last_event(lines, "task_given_up")) {
		g_string_append(out, "; ");
		add_losses(lines, out);
	}
	if (v == VERDICT_GIVEN_UP)
		add_pending_runs(lines, all, answer, out);
	g_string_append_c(out, '\n');
}

/* ---- Public functions ----------------------------------------------- */

char *explain_request(const char *id, char **lines)
{
	g_autoptr(GPtrArray) found = find_job_lines(id, lines);
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < found->len; i++)
		g_string_append_printf(out, "%s\n",
				       (char *)g_ptr_array_index(found, i));
	add_cause(found, lines, out);
	return g_string_free(out, FALSE);
}

int explain_main(int argc, char **argv)
{
	GString *text = g_string_new(NULL);
	g_auto(GStrv) lines = NULL;
	g_autofree char *explained = NULL;

	if (argc < 3) {
		fputs("usage: chervilferry explain ID FILE...\n", stderr);
		g_string_free(text, TRUE);
		return EXIT_USAGE_ERROR;
	}
	for (int i = 2; i < argc; i++) {
		g_autofree char *file = NULL;
		g_autoptr(GError) error = NULL;

		if (!g_file_get_contents(argv[i], &file, NULL, &error)) {
			fprintf(stderr, "%s\n", error->message);
			g_string_free(text, TRUE);
			return EXIT_FAILURE;
		}
		g_string_append(text, file);
		g_string_append_c(text, '\n');
	}
	lines = g_strsplit(text->str, "\n", -1);
	g_string_free(text, TRUE);
	explained = explain_request(argv[1], lines);
	fputs(explained, stdout);
	return EXIT_SUCCESS;
}
