/*
 * replay: see replay.h. bench/make_traces.py documents the format.
 */
#include "replay.h"

#include <stdio.h>
#include <string.h>

/* ---- Fields --------------------------------------------------------- */

static bool parse_number(const char *text, uint32_t *number)
{
	guint64 value;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(text, 10, 0, UINT32_MAX, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

/* Parses a list of exactly n numbers. Returns NULL if it is invalid. */
static uint32_t *parse_list(const char *text, uint32_t n)
{
	char **parts = g_strsplit(text, ",", -1);
	uint32_t *list = g_new0(uint32_t, n);
	bool ok = g_strv_length(parts) == n;

	for (uint32_t i = 0; ok && i < n; i++)
		ok = parse_number(parts[i], &list[i]);
	g_strfreev(parts);
	if (ok)
		return list;
	g_free(list);
	return NULL;
}

/* ---- Lines ---------------------------------------------------------- */

static bool parse_job(struct replay *replay, char **fields)
{
	struct replay_job job = { 0 };
	guint n = g_strv_length(fields);
	uint32_t at_ms;

	if (n < 5 || n > 6 || !parse_number(fields[0], &at_ms) ||
	    !parse_number(fields[2], &job.n_tasks) || job.n_tasks == 0 ||
	    job.n_tasks > CF_JOB_TASKS_MAX ||
	    !parse_number(fields[4], &job.deadline_ms))
		return false;
	job.at_ms = at_ms;
	g_strlcpy(job.class_name, fields[1], sizeof(job.class_name));
	job.run_ms = parse_list(fields[3], job.n_tasks);
	if (n == 6)
		job.declared_ms = parse_list(fields[5], job.n_tasks);
	g_array_append_val(replay->jobs, job);
	return job.run_ms != NULL && (n == 5 || job.declared_ms != NULL);
}

static bool parse_comment(struct replay *replay, char **fields)
{
	guint n = g_strv_length(fields);

	if (n == 4 && strcmp(fields[1], "servers") == 0)
		return parse_number(fields[2], &replay->servers) &&
		       parse_number(fields[3], &replay->slots);
	if (n == 5 && strcmp(fields[1], "class") == 0) {
		struct cf_admit_class class = { 0 };

		g_strlcpy(class.name, fields[2], sizeof(class.name));
		class.percentile_milli =
			(uint32_t)(g_ascii_strtod(fields[4], NULL) * 1000 +
				   0.5);
		g_array_append_val(replay->classes, class);
		return parse_number(fields[3],
				    &g_array_index(replay->classes,
						   struct cf_admit_class,
						   replay->classes->len - 1)
					     .target_ms);
	}
	if (n >= 5 && strcmp(fields[1], "event") == 0) {
		struct replay_event event = { 0 };
		uint32_t at_ms;

		if (!parse_number(fields[2], &at_ms))
			return false;
		event.at_ms = at_ms;
		g_strlcpy(event.what, fields[3], sizeof(event.what));
		g_strlcpy(event.detail, fields[4], sizeof(event.detail));
		g_array_append_val(replay->events, event);
	}
	return true;
}

static bool parse_line(struct replay *replay, const char *line)
{
	char **fields = g_strsplit(line, " ", -1);
	bool ok = line[0] == '#' ? parse_comment(replay, fields)
				 : parse_job(replay, fields);

	g_strfreev(fields);
	return ok;
}

/* ---- Files ---------------------------------------------------------- */

struct replay *replay_read(const char *path, GError **error)
{
	struct replay *replay;
	char *text;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, error))
		return NULL;
	replay = g_new0(struct replay, 1);
	replay->jobs = g_array_new(FALSE, FALSE, sizeof(struct replay_job));
	replay->events = g_array_new(FALSE, FALSE, sizeof(struct replay_event));
	replay->classes =
		g_array_new(FALSE, FALSE, sizeof(struct cf_admit_class));
	lines = g_strsplit(text, "\n", -1);
	for (guint i = 0; replay != NULL && lines[i] != NULL; i++) {
		if (lines[i][0] == '\0' || parse_line(replay, lines[i]))
			continue;
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
			    "%s:%u: not a valid line of a trace", path, i + 1);
		replay_destroy(replay);
		replay = NULL;
	}
	g_strfreev(lines);
	g_free(text);
	if (replay != NULL &&
	    (replay->jobs->len == 0 || replay->classes->len == 0 ||
	     replay->servers == 0 || replay->slots == 0 ||
	     replay->servers > REPLAY_SERVERS_MAX)) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
			    "%s: no jobs, classes or servers", path);
		replay_destroy(replay);
		replay = NULL;
	}
	return replay;
}

void replay_destroy(struct replay *replay)
{
	if (replay == NULL)
		return;
	for (guint i = 0; i < replay->jobs->len; i++) {
		struct replay_job *job =
			&g_array_index(replay->jobs, struct replay_job, i);

		g_free(job->run_ms);
		g_free(job->declared_ms);
	}
	g_array_free(replay->jobs, TRUE);
	g_array_free(replay->events, TRUE);
	g_array_free(replay->classes, TRUE);
	g_free(replay);
}
