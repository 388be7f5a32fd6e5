/*
 * cluster: see cluster.h. Process configuration, waiting and traces.
 */
#include "cluster.h"

#include "base/clock.h"
#include "net/http_client.h"
#include "verbs/trace_verbs.h"

#include <glib/gstdio.h>
#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define POLL_US 10000
#define START_WAIT_MS 30000
#define PORT_LISTEN 7001
#define PORT_ADMIN 8001
#define PORT_HTTP 9001
#define HTTP_TIMEOUT_MS 2000
#define FAULTS_PRINTED_MAX 20
#define TRACE_WAIT_MS 10000

/* ---- Layout ---- */

static void choose_ip(char ip[20])
{
	/* Derives the loopback address from the process id. */
	unsigned int id = (unsigned int)getpid();

	snprintf(ip, 20, "127.%u.%u.%u", 1 + (id >> 16) % 200, (id >> 8) & 255,
		 1 + (id & 255) % 254);
}

struct proc *cluster_proc(struct cluster *c, const char *name)
{
	int i;

	for (i = 0; i < c->n_procs; i++)
		if (!strcmp(c->procs[i].name, name))
			return &c->procs[i];
	fail_msg("no process %s", name);
	return NULL;
}

struct proc *cluster_add(struct cluster *c, const char *role, const char *name)
{
	struct proc *p = &c->procs[c->n_procs++];
	char path[300];

	assert_true(c->n_procs <= CLUSTER_PROCS_MAX);
	g_strlcpy(p->name, name, sizeof(p->name));
	g_strlcpy(p->role, role, sizeof(p->role));
	snprintf(p->log, sizeof(p->log), "%s/%s.log", c->folder, name);
	if (strcmp(role, "load") != 0)
		proc_add(p, "--name", name);
	snprintf(path, sizeof(path), "%s/%s.trace", c->folder, name);
	proc_add(p, "--trace", path);
	return p;
}

const char *cluster_address(struct cluster *c, const char *name,
			    const char *interface)
{
	struct proc *p = cluster_proc(c, name);
	char flag[40];
	int i;

	snprintf(flag, sizeof(flag), "--%s", interface);
	for (i = 0; i + 1 < p->n_args; i += 2)
		if (!strcmp(p->args[i], flag))
			return p->args[i + 1];
	fail_msg("%s has no %s", name, flag);
	return NULL;
}

static void add_address(struct cluster *c, struct proc *p, const char *flag,
			int port)
{
	char text[40];

	snprintf(text, sizeof(text), "%s:%d", c->ip,
		 port + (int)(p - c->procs));
	proc_add(p, flag, text);
}

static void add_data_centre(struct proc *p, int i)
{
	char text[40];

	snprintf(text, sizeof(text), "dc%d", i % 3 + 1);
	proc_add(p, "--data-centre", text);
}

static char *member_list(struct cluster *c, int n, bool admin)
{
	GString *list = g_string_new(NULL);
	char name[16];
	int i;

	for (i = 1; i <= n; i++) {
		snprintf(name, sizeof(name), "c%d", i);
		if (i > 1)
			g_string_append_c(list, ',');
		if (admin)
			g_string_append_printf(
				list, "%d=%s/%s", i,
				cluster_address(c, name, "listen"),
				cluster_address(c, name, "admin"));
		else
			g_string_append(list,
					cluster_address(c, name, "listen"));
	}
	return g_string_free(list, FALSE);
}

static void add_coordinators(struct cluster *c, const struct cluster_options *o)
{
	char text[300], *list;
	int i;

	for (i = 1; i <= o->coordinators; i++) {
		struct proc *p;

		snprintf(text, sizeof(text), "c%d", i);
		p = cluster_add(c, "coordinator", text);
		snprintf(text, sizeof(text), "%d", i);
		proc_add(p, "--id", text);
		snprintf(text, sizeof(text), "%s/%s", c->folder, p->name);
		proc_add(p, "--data", text);
		add_address(c, p, "--listen", PORT_LISTEN);
		add_address(c, p, "--admin", PORT_ADMIN);
		add_data_centre(p, i - 1);
	}
	list = member_list(c, o->coordinators, true);
	for (i = 0; i < o->coordinators; i++) {
		proc_add(&c->procs[i], "--first-members", list);
		proc_set_args(&c->procs[i], o->coordinator_args);
	}
	g_free(list);
}

static void add_dispatchers(struct cluster *c, const struct cluster_options *o,
			    const char *coordinators)
{
	char text[40];
	int i;

	for (i = 1; i <= o->dispatchers; i++) {
		struct proc *p;

		snprintf(text, sizeof(text), "d%d", i);
		p = cluster_add(c, "dispatcher", text);
		proc_add(p, "--coordinators", coordinators);
		add_address(c, p, "--listen", PORT_LISTEN);
		add_address(c, p, "--admin", PORT_ADMIN);
		add_address(c, p, "--http", PORT_HTTP);
		add_data_centre(p, i - 1);
		proc_set_args(p, o->dispatcher_args);
	}
}

static void add_agents(struct cluster *c, const struct cluster_options *o,
		       const char *coordinators)
{
	char text[40];
	int i;

	for (i = 1; i <= o->agents; i++) {
		struct proc *p;

		snprintf(text, sizeof(text), "a%d", i);
		p = cluster_add(c, "agent", text);
		proc_add(p, "--coordinators", coordinators);
		add_address(c, p, "--listen", PORT_LISTEN);
		add_address(c, p, "--admin", PORT_ADMIN);
		add_address(c, p, "--backend-listen", PORT_HTTP);
		add_data_centre(p, i - 1);
		snprintf(text, sizeof(text), "rack%d", (i - 1) / 3 + 1);
		proc_add(p, "--rack", text);
		proc_set_args(p, o->agent_args);
		snprintf(text, sizeof(text), "b%d", i);
		p = cluster_add(c, "backend", text);
		add_address(c, p, "--serve", PORT_HTTP);
		snprintf(text, sizeof(text), "a%d", i);
		proc_add(p, "--agent",
			 cluster_address(c, text, "backend-listen"));
		snprintf(text, sizeof(text), "%d", o->slots ? o->slots : 8);
		proc_add(p, "--slots", text);
		proc_set_args(p, o->backend_args);
	}
}

struct cluster *cluster_create(const struct cluster_options *options)
{
	struct cluster *c = g_new0(struct cluster, 1);
	char *folder = g_dir_make_tmp("chervilferry-test-XXXXXX", NULL);
	char *coordinators;

	assert_non_null(folder);
	assert_null(cluster_running);
	cluster_running = c;
	g_strlcpy(c->folder, folder, sizeof(c->folder));
	g_free(folder);
	choose_ip(c->ip);
	c->n_coordinators = options->coordinators;
	c->n_dispatchers = options->dispatchers;
	c->n_agents = options->agents;
	add_coordinators(c, options);
	coordinators = member_list(c, options->coordinators, false);
	add_dispatchers(c, options, coordinators);
	add_agents(c, options, coordinators);
	g_free(coordinators);
	return c;
}

/* ---- Waiting ---- */

bool cluster_wait(struct cluster *c, bool (*done)(struct cluster *c, void *arg),
		  void *arg, int64_t wait_ms)
{
	int64_t end_ms = clock_now_ms() + wait_ms;

	while (!done(c, arg)) {
		if (clock_now_ms() >= end_ms)
			return false;
		g_usleep(POLL_US);
	}
	return true;
}

uint32_t cluster_http(const char *address, const char *method, const char *path,
		      const char *key, const char *body, char **answer,
		      int64_t timeout_ms)
{
	char *url = g_strdup_printf("http://%s%s", address, path);
	char header[80];
	const char *headers[] = { key ? header : NULL, NULL };
	struct http_call call = {
		.method = method,
		.url = url,
		.body = body,
		.size_bytes = body ? strlen(body) : 0,
		.headers = headers,
		.timeout_ms = timeout_ms,
	};
	struct http_answer got = { 0 };

	snprintf(header, sizeof(header), "Idempotency-Key: %s", key ? key : "");
	http_call_now(&call, &got);
	g_free(url);
	if (answer)
		*answer = got.body ? g_strndup(got.body, got.size_bytes) : NULL;
	g_free((void *)got.body);
	return got.result == HTTP_OK ? got.status : 0;
}

bool cluster_ready(struct cluster *c, const char *name)
{
	return cluster_http(cluster_address(c, name, "admin"), "GET", "/readyz",
			    NULL, NULL, NULL, HTTP_TIMEOUT_MS) == 200;
}

static bool is_ready(struct cluster *c, void *name)
{
	return cluster_ready(c, name);
}

void cluster_wait_ready(struct cluster *c, const char *name, int64_t wait_ms)
{
	if (!cluster_wait(c, is_ready, (void *)name, wait_ms))
		fail_msg("%s is not ready after %d ms", name, (int)wait_ms);
}

const char *cluster_leader(struct cluster *c)
{
	int i;

	for (i = 0; i < c->n_procs; i++) {
		struct proc *p = &c->procs[i];
		char *answer = NULL;
		json_t *root;
		bool leads;

		if (strcmp(p->role, "coordinator") != 0 || !p->pid)
			continue;
		cluster_http(cluster_address(c, p->name, "admin"), "GET",
			     "/v1/status", NULL, NULL, &answer, 500);
		root = json_loads(answer ? answer : "", 0, NULL);
		leads = !g_strcmp0("leader", json_string_value(json_object_get(
						     root, "role")));
		json_decref(root);
		g_free(answer);
		if (leads)
			return p->name;
	}
	return NULL;
}

int64_t cluster_metric(struct cluster *c, const char *name, const char *metric)
{
	char *text = NULL, *line;
	int64_t value = 0;
	char *start = g_strdup_printf("\n%s ", metric);

	cluster_http(cluster_address(c, name, "admin"), "GET", "/metrics", NULL,
		     NULL, &text, HTTP_TIMEOUT_MS);
	line = text ? strstr(text, start) : NULL;
	if (line)
		value = g_ascii_strtoll(line + strlen(start), NULL, 10);
	g_free(text);
	g_free(start);
	return value;
}

/* ---- Start ---- */

static bool agents_known(struct cluster *c, void *name)
{
	return cluster_metric(c, name, "chervilferry_agents_usable") >=
	       c->n_agents;
}

void cluster_start(struct cluster *c)
{
	int i;

	for (i = 0; i < c->n_procs; i++)
		proc_start(c, &c->procs[i]);
	assert_true(cluster_command(
		c,
		"{\"class_set\":{\"name\":\"default\",\"target_ms\":1000,"
		"\"percentile_milli\":95000,\"idempotent\":false}}",
		NULL));
	for (i = 0; i < c->n_procs; i++) {
		struct proc *p = &c->procs[i];

		if (!strcmp(p->role, "coordinator"))
			cluster_wait_ready(c, p->name, START_WAIT_MS);
		if (!strcmp(p->role, "dispatcher")) {
			cluster_wait_ready(c, p->name, START_WAIT_MS);
			if (!cluster_wait(c, agents_known, p->name,
					  START_WAIT_MS))
				fail_msg("%s has not found all agents",
					 p->name);
		}
	}
}

/* ---- Traces ---- */

static bool has_admin(const struct proc *p)
{
	for (int i = 0; i < p->n_args; i++)
		if (!strcmp(p->args[i], "--admin"))
			return true;
	return false;
}

static bool trace_is_written(struct cluster *c, void *name)
{
	return !cluster_metric(c, name, "chervilferry_trace_unwritten_events");
}

/* One process may write the answer to a caller before another process writes
 * the events that led to it. The traces are therefore read only when no
 * process has unwritten events. */
static void wait_for_traces(struct cluster *c)
{
	for (int i = 0; i < c->n_procs; i++) {
		struct proc *p = &c->procs[i];

		if (p->pid && has_admin(p))
			assert_true(cluster_wait(c, trace_is_written, p->name,
						 TRACE_WAIT_MS));
	}
}

static void read_traces(struct cluster *c, struct cf_trace *trace,
			struct cf_replay *replay)
{
	GDir *dir = g_dir_open(c->folder, 0, NULL);
	GError *error = NULL;
	const char *name;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir))) {
		char path[600];

		if (!g_str_has_suffix(name, ".trace"))
			continue;
		snprintf(path, sizeof(path), "%s/%s", c->folder, name);
		if (!trace_read(trace, path, &error) ||
		    !trace_replay_file(replay, path, &error)) {
			fprintf(stderr, "%s\n", error->message);
			g_clear_error(&error);
		}
	}
	g_dir_close(dir);
}

static void print_faults(const struct cf_trace_fault *faults, size_t n)
{
	size_t i;

	for (i = 0; i < n && i < FAULTS_PRINTED_MAX; i++)
		fprintf(stderr, "broken: %s: %s:%u: %s\n", faults[i].invariant,
			faults[i].file, (unsigned int)faults[i].line,
			faults[i].message);
}

static void print_counts(const struct cf_trace_summary *s,
			 const struct cf_replay_summary *r, size_t n)
{
	fprintf(stderr,
		"count: events=%u starts=%u doubles=%u answers=%u complete=%u "
		"not_run=%u unknown=%u broken=%u decisions=%u differ=%u\n",
		(unsigned int)s->events, (unsigned int)s->starts,
		(unsigned int)s->double_starts, (unsigned int)s->answers,
		(unsigned int)s->complete, (unsigned int)s->not_run,
		(unsigned int)s->unknown, (unsigned int)n,
		(unsigned int)r->decisions, (unsigned int)r->mismatches);
}

size_t cluster_check(struct cluster *c, struct cf_trace_summary *summary)
{
	struct cf_trace_summary own;
	struct cf_replay_summary replayed;
	struct cf_trace_fault faults[FAULTS_PRINTED_MAX];
	struct cf_trace *trace = cf_trace_create();
	struct cf_replay *replay = cf_replay_create();
	size_t n;

	if (!summary)
		summary = &own;
	wait_for_traces(c);
	read_traces(c, trace, replay);
	n = cf_trace_check(trace, summary, faults, FAULTS_PRINTED_MAX);
	cf_replay_get_summary(replay, &replayed);
	print_faults(faults, n);
	if (replayed.mismatches)
		fprintf(stderr, "broken: replay: %s\n", replayed.first);
	print_counts(summary, &replayed, n);
	/* Without events, the check would pass without checking anything. */
	assert_true(summary->events > 0);
	cf_trace_destroy(trace);
	cf_replay_destroy(replay);
	return n + replayed.mismatches;
}
