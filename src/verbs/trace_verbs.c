/*
 * trace_verbs: "chervilferry trace check FILE..." merges the traces of
 * all processes and reports the first event that violates each invariant.
 * "chervilferry trace replay FILE..." feeds recorded events to the decision
 * code and compares its decisions with the recorded ones.
 */
#include "verbs/trace_verbs.h"

#include "roles/role.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- Constants ---- */

#define FAULTS_PRINTED_MAX 20
#define EXIT_VIOLATION 1
#define EXIT_USAGE_ERROR 2

/* ---- Reading ---- */

typedef bool line_fn(void *arg, const char *path, uint64_t number,
		     const char *line, GError **error);

/* Calls fn for each line. Ignores an incomplete last line, which a killed
 * process leaves behind. */
static bool for_each_line(const char *path, line_fn *fn, void *arg,
			  GError **error)
{
	FILE *file = fopen(path, "r");
	char *line = NULL;
	size_t size = 0;
	uint64_t number = 0;
	ssize_t got;
	bool ok = true;

	if (!file) {
		g_set_error(error, role_error_quark(), errno, "%s: %s", path,
			    g_strerror(errno));
		return false;
	}
	while (ok && (got = getline(&line, &size, file)) > 0) {
		if (line[got - 1] != '\n')
			break;
		line[got - 1] = '\0';
		number++;
		if (*line)
			ok = fn(arg, path, number, line, error);
	}
	free(line);
	fclose(file);
	return ok;
}

static bool add_line(void *trace, const char *path, uint64_t number,
		     const char *line, GError **error)
{
	return cf_trace_add(trace, path, number, line, error);
}

static bool feed_line(void *replay, const char *path, uint64_t number,
		      const char *line, GError **error)
{
	(void)path;
	(void)number;
	return cf_replay_feed(replay, line, error);
}

bool trace_read(struct cf_trace *trace, const char *path, GError **error)
{
	return for_each_line(path, add_line, trace, error);
}

bool trace_replay_file(struct cf_replay *replay, const char *path,
		       GError **error)
{
	return for_each_line(path, feed_line, replay, error);
}

/* ---- Check ---- */

static void print_faults(const struct cf_trace_fault *faults, size_t n)
{
	size_t i;

	for (i = 0; i < n && i < FAULTS_PRINTED_MAX; i++)
		printf("broken: %s: %s:%" PRIu64 ": %s\n", faults[i].invariant,
		       faults[i].file, faults[i].line, faults[i].message);
}

static void print_summary(const struct cf_trace_summary *s, size_t n)
{
	printf("%" PRIu64 " events, %" PRIu64 " starts, %" PRIu64
	       " doubles, %" PRIu64 " answers: %" PRIu64 " complete, %" PRIu64
	       " not run, %" PRIu64 " unknown; %zu broken promises\n",
	       s->events, s->starts, s->double_starts, s->answers, s->complete,
	       s->not_run, s->unknown, n);
}

static int check_files(int n_files, char **files)
{
	struct cf_trace *trace = cf_trace_create();
	struct cf_trace_summary summary;
	struct cf_trace_fault faults[FAULTS_PRINTED_MAX];
	GError *error = NULL;
	size_t n;
	int i;

	for (i = 0; i < n_files; i++) {
		if (trace_read(trace, files[i], &error))
			continue;
		fprintf(stderr, "%s\n", error->message);
		g_clear_error(&error);
		cf_trace_destroy(trace);
		return EXIT_USAGE_ERROR;
	}
	n = cf_trace_check(trace, &summary, faults, FAULTS_PRINTED_MAX);
	print_faults(faults, n);
	print_summary(&summary, n);
	cf_trace_destroy(trace);
	return n ? EXIT_VIOLATION : 0;
}

/* ---- Replay ---- */

static int replay_files(int n_files, char **files)
{
	struct cf_replay *replay = cf_replay_create();
	struct cf_replay_summary s;
	GError *error = NULL;
	int i, status = 0;

	for (i = 0; i < n_files && !error; i++)
		trace_replay_file(replay, files[i], &error);
	cf_replay_get_summary(replay, &s);
	if (error) {
		fprintf(stderr, "%s: %s\n", files[i - 1], error->message);
		g_clear_error(&error);
		status = EXIT_USAGE_ERROR;
	} else {
		if (s.mismatches)
			printf("differs: %s\n", s.first);
		printf("%" PRIu64 " decisions compared, %" PRIu64
		       " differ, %" PRIu64 " events passed over\n",
		       s.decisions, s.mismatches, s.skipped);
		status = s.mismatches ? EXIT_VIOLATION : 0;
	}
	cf_replay_destroy(replay);
	return status;
}

int trace_main(int argc, char **argv)
{
	if (argc > 2 && !strcmp(argv[1], "replay"))
		return replay_files(argc - 2, argv + 2);
	if (argc > 2 && !strcmp(argv[1], "check"))
		return check_files(argc - 2, argv + 2);
	fputs("usage: chervilferry trace check|replay FILE...\n", stderr);
	return EXIT_USAGE_ERROR;
}
