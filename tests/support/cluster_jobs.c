/*
 * cluster_jobs: see cluster.h. Submits jobs, applies configuration
 * changes and runs the load tool.
 */
#include "cluster.h"

#include "base/clock.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* ---- Constants ---- */

#define POLL_US 10000
#define COMMAND_WAIT_MS 30000
#define HTTP_TIMEOUT_MS 2000

/* ---- Jobs and changes ---- */

char *cluster_job_body(const char *class_name, int n, int run_ms,
		       int deadline_ms)
{
	GString *body = g_string_new(NULL);
	int i;

	g_string_printf(body,
			"{\"class\":\"%s\",\"deadline_ms\":%d,\"tasks\":[",
			class_name, deadline_ms);
	for (i = 0; i < n; i++)
		g_string_append_printf(
			body, "%s{\"payload\":{\"run_ms\":%d,\"echo\":\"%d\"}}",
			i ? "," : "", run_ms, i);
	g_string_append(body, "]}");
	return g_string_free(body, FALSE);
}

void cluster_key(struct cf_key *key, char text[CF_KEY_TEXT_SIZE])
{
	cf_key_make(key, clock_wall_ms(), clock_random(), clock_random());
	cf_key_format(key, text);
}

static bool try_command(struct cluster *c, const char *body, uint64_t *revision)
{
	int i;

	for (i = 0; i < c->n_coordinators; i++) {
		char *answer = NULL;
		json_t *root;
		uint32_t status;

		if (!c->procs[i].pid)
			continue;
		status = cluster_http(
			cluster_address(c, c->procs[i].name, "admin"), "POST",
			"/v1/commands", NULL, body, &answer, HTTP_TIMEOUT_MS);
		root = json_loads(answer ? answer : "", 0, NULL);
		if (revision)
			*revision = (uint64_t)json_integer_value(
				json_object_get(root, "revision"));
		json_decref(root);
		g_free(answer);
		if (status == 200)
			return true;
	}
	return false;
}

bool cluster_command(struct cluster *c, const char *change, uint64_t *revision)
{
	int64_t end_ms = clock_now_ms() + COMMAND_WAIT_MS;
	char *body = g_strdup_printf("{\"command_id\":\"%016" G_GINT64_MODIFIER
				     "x%016" G_GINT64_MODIFIER
				     "x\",\"base_revision\":0,\"change\":%s}",
				     clock_random(), clock_random(), change);
	bool done;

	while (!(done = try_command(c, body, revision)) &&
	       clock_now_ms() < end_ms)
		g_usleep(POLL_US);
	g_free(body);
	return done;
}

bool cluster_data_centre(struct cluster *c, const char *name, bool in_service)
{
	char change[160];

	snprintf(change, sizeof(change),
		 "{\"data_centre_set\":{\"name\":\"%s\",\"in_service\":%s}}",
		 name, in_service ? "true" : "false");
	return cluster_command(c, change, NULL);
}

/* ---- Load ---- */

struct proc *cluster_load(struct cluster *c, const char *const *args)
{
	GString *list = g_string_new(NULL);
	char name[16];
	struct proc *p;
	int i;

	snprintf(name, sizeof(name), "load%d", c->n_procs);
	p = cluster_add(c, "load", name);
	for (i = 0; i < c->n_procs; i++)
		if (!strcmp(c->procs[i].role, "dispatcher"))
			g_string_append_printf(
				list, "%s%s", list->len ? "," : "",
				cluster_address(c, c->procs[i].name, "http"));
	proc_add(p, "--dispatchers", list->str);
	proc_add(p, "--json", "true");
	proc_set_args(p, args);
	g_string_free(list, TRUE);
	proc_start(c, p);
	return p;
}

static void print_incomplete_answers(const char *path)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i]; i++)
		if (strstr(lines[i], " e=answer ") &&
		    !strstr(lines[i], "outcome=complete"))
			fprintf(stderr, "%s: %s\n", path, lines[i]);
}

void cluster_print_load_failures(struct cluster *c, struct proc *load)
{
	g_autofree char *text = NULL;
	GDir *dir = g_dir_open(c->folder, 0, NULL);
	const char *name;

	if (g_file_get_contents(load->log, &text, NULL, NULL))
		fprintf(stderr, "load: %s\n", text);
	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(c->folder, name, NULL);

		if (g_str_has_suffix(name, ".trace"))
			print_incomplete_answers(path);
	}
	if (dir)
		g_dir_close(dir);
}

int64_t cluster_load_field(struct proc *load, const char *field)
{
	char *text = NULL, *start;
	json_t *root;
	int64_t value = -1;

	if (!g_file_get_contents(load->log, &text, NULL, NULL))
		return -1;
	start = strchr(text, '{');
	root = json_loads(start ? start : "", JSON_DISABLE_EOF_CHECK, NULL);
	if (json_is_integer(json_object_get(root, field)))
		value = json_integer_value(json_object_get(root, field));
	json_decref(root);
	g_free(text);
	return value;
}
