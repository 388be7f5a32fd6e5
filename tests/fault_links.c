/*
 * fault_links: tests connections that are blackholed permanently while new
 * connections work, between each pair of roles and from an agent to its
 * backend server.
 */
#include "support/cluster.h"
#include "support/relay.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define WAIT_MS 20000
#define LOAD_WAIT_MS 60000
#define STARTS_BEFORE_FAULT 40
#define RELAY_PORT 6001
#define HEARTBEAT_MS 500
/* The documented timeout: three heartbeat intervals. */
#define HEARTBEAT_TIMEOUT_MS (3 * HEARTBEAT_MS)
/* Adds one heartbeat tick and the polling delay of this test. */
#define DETECT_MS (HEARTBEAT_TIMEOUT_MS + HEARTBEAT_MS + 500)
#define ANNOUNCE_US 300000

/* ---- Relays ---- */

struct relays {
	struct relay *all[4];
	int n;
};

static void open_relay(struct relays *r, struct cluster *c, const char *target,
		       char listen[40])
{
	snprintf(listen, 40, "%s:%d", c->ip, RELAY_PORT + r->n);
	r->all[r->n++] =
		relay_create(listen, cluster_address(c, target, "listen"));
}

/* Processes of this role reach the coordinators through relays. */
static void relay_coordinators(struct relays *r, struct cluster *c,
			       const char *role)
{
	GString *list = g_string_new(NULL);
	char name[16], listen[40];
	int i;

	for (i = 1; i <= c->n_coordinators; i++) {
		snprintf(name, sizeof(name), "c%d", i);
		open_relay(r, c, name, listen);
		g_string_append_printf(list, "%s%s", i > 1 ? "," : "", listen);
	}
	for (i = 0; i < c->n_procs; i++)
		if (!strcmp(c->procs[i].role, role))
			proc_set(&c->procs[i], "--coordinators", list->str);
	g_string_free(list, TRUE);
}

/* Coordinators reach each other through relays. Other processes reach them
 * directly. */
static void relay_members(struct relays *r, struct cluster *c)
{
	GString *list = g_string_new(NULL);
	char name[16], listen[40];
	int i;

	for (i = 1; i <= c->n_coordinators; i++) {
		snprintf(name, sizeof(name), "c%d", i);
		open_relay(r, c, name, listen);
		g_string_append_printf(list, "%s%d=%s/%s", i > 1 ? "," : "", i,
				       listen,
				       cluster_address(c, name, "admin"));
	}
	for (i = 0; i < c->n_coordinators; i++)
		proc_set(&c->procs[i], "--first-members", list->str);
	g_string_free(list, TRUE);
}

static void relay_advertised(struct relays *r, struct cluster *c,
			     const char *name)
{
	char listen[40];

	open_relay(r, c, name, listen);
	proc_set(cluster_proc(c, name), "--advertise", listen);
}

static void blackhole_relays(struct relays *r)
{
	int i;

	for (i = 0; i < r->n; i++)
		relay_blackhole_open(r->all[i], RELAY_BOTH);
}

static void close_relays(struct relays *r)
{
	while (r->n)
		relay_destroy(r->all[--r->n]);
}

/* ---- Waiting ---- */

static bool load_in_progress(struct cluster *c, void *arg)
{
	(void)arg;
	return cluster_metric(c, "a1",
			      "chervilferry_agent_tasks_started_total") >=
	       STARTS_BEFORE_FAULT;
}

struct detection {
	const char *name;
	int64_t before;
};

static int64_t timed_out_links(struct cluster *c, const char *name)
{
	return cluster_metric(
		c, name, "chervilferry_link_closed_total{reason=\"silent\"}");
}

static bool detected(struct cluster *c, void *arg)
{
	const struct detection *d = arg;

	return timed_out_links(c, d->name) > d->before;
}

/* ---- Between processes ---- */

struct pair_case {
	const char *name;
	const char *observers[2]; /* processes that must detect the blackhole */
	const char *role; /* reaches the coordinators through relays, or NULL */
	const char *advertised; /* process reached through a relay, or NULL */
	bool members;
	bool all_complete; /* no job may be refused during the fault */
};

static const struct pair_case pairs[] = {
	{ "dispatcher-agent", { "d1", "a1" }, NULL, "a1", false, true },
	{ "dispatcher-coordinator",
	  { "d1", "c1" },
	  "dispatcher",
	  NULL,
	  false,
	  false },
	{ "agent-coordinator", { "a1", "c1" }, "agent", NULL, false, false },
	{ "coordinator-coordinator", { "c1", "c2" }, NULL, NULL, true, false },
	{ "dispatcher-dispatcher", { "d1", "d2" }, NULL, "d2", false, true },
};

static void create_relays(struct relays *r, struct cluster *c,
			  const struct pair_case *p)
{
	if (p->role)
		relay_coordinators(r, c, p->role);
	if (p->members)
		relay_members(r, c);
	if (p->advertised)
		relay_advertised(r, c, p->advertised);
}

static void check_load(struct proc *load, bool all_complete)
{
	int64_t jobs, complete, unknown, not_run;

	/* Exit status 0 means that no answer is lost, partial or crossed. */
	assert_int_equal(proc_wait(load, LOAD_WAIT_MS), 0);
	jobs = cluster_load_field(load, "jobs");
	complete = cluster_load_field(load, "complete");
	unknown = cluster_load_field(load, "may_have_run");
	not_run = cluster_load_field(load, "not_run");
	fprintf(stderr, "count: jobs=%d complete=%d unknown=%d not_run=%d\n",
		(int)jobs, (int)complete, (int)unknown, (int)not_run);
	assert_int_equal(complete + unknown + not_run, jobs);
	if (all_complete)
		assert_int_equal(complete, jobs);
	assert_true(complete > jobs / 2);
}

static void check_and_destroy(struct cluster *c)
{
	struct cf_trace_summary summary;

	assert_int_equal(cluster_check(c, &summary), 0);
	assert_int_equal(summary.double_starts, 0);
	cluster_destroy(c);
}

static void test_pair(void **state)
{
	static const char *const args[] = {
		"--rate",  "40", "--duration-s",     "6",
		"--tasks", "4",  "--run-ms",         "60",
		"--seed",  "11", "--resubmit-milli", "200",
		NULL
	};
	static const struct cluster_options options = { .coordinators = 3,
							.dispatchers = 2,
							.agents = 3 };
	const struct pair_case *p = *state;
	struct cluster *c = cluster_create(&options);
	struct relays relays = { .n = 0 };
	struct detection seen[2];
	struct proc *load;
	int64_t begin_ms;
	int i;

	create_relays(&relays, c, p);
	cluster_start(c);
	load = cluster_load(c, args);
	assert_true(cluster_wait(c, load_in_progress, NULL, WAIT_MS));
	for (i = 0; i < 2; i++)
		seen[i] = (struct detection){
			p->observers[i], timed_out_links(c, p->observers[i])
		};
	begin_ms = clock_now_ms();
	blackhole_relays(&relays);
	for (i = 0; i < 2; i++) {
		int64_t took_ms;

		assert_true(cluster_wait(c, detected, &seen[i], WAIT_MS));
		took_ms = clock_now_ms() - begin_ms;
		fprintf(stderr, "count: %s: %s saw it after %d ms\n", p->name,
			seen[i].name, (int)took_ms);
		assert_true(took_ms <= DETECT_MS);
	}
	check_load(load, p->all_complete);
	close_relays(&relays);
	check_and_destroy(c);
}

/* ---- Between agent and backend server ---- */

/* Announces the relay's address to the agent as that of the backend server. */
struct announcer {
	char body[160];
	const char *agent;
	gint stop;
	GThread *thread;
};

static gpointer announce(gpointer data)
{
	struct announcer *a = data;

	while (!g_atomic_int_get(&a->stop)) {
		cluster_http(a->agent, "POST", "/v1/announce", NULL, a->body,
			     NULL, 2000);
		g_usleep(ANNOUNCE_US);
	}
	return NULL;
}

static struct relay *create_backend_relay(struct cluster *c,
					  struct announcer *a)
{
	struct proc *backend = cluster_proc(c, "b1");
	char listen[40];
	struct relay *relay;

	snprintf(listen, sizeof(listen), "%s:%d", c->ip, RELAY_PORT);
	relay = relay_create(listen, cluster_address(c, "b1", "serve"));
	/* The backend server must not announce its own address. */
	proc_set(backend, "--agent", "127.0.0.1:1");
	memset(a, 0, sizeof(*a));
	a->agent = cluster_address(c, "a1", "backend-listen");
	snprintf(a->body, sizeof(a->body),
		 "{\"url\":\"http://%s\",\"slots\":8}", listen);
	a->thread = g_thread_new("announcer", announce, a);
	return relay;
}

static uint32_t submit(struct cluster *c, int tasks, int run_ms,
		       int deadline_ms, char **answer)
{
	char *body = cluster_job_body("default", tasks, run_ms, deadline_ms);
	char text[CF_KEY_TEXT_SIZE];
	struct cf_key key;
	uint32_t status;

	cluster_key(&key, text);
	status = cluster_http(cluster_address(c, "d1", "http"), "POST",
			      "/v1/jobs", text, body, answer, WAIT_MS);
	g_free(body);
	return status;
}

static void test_backend_silent(void **state)
{
	static const struct cluster_options options = { .coordinators = 1,
							.dispatchers = 1,
							.agents = 1 };
	struct cluster *c = cluster_create(&options);
	struct announcer announcer;
	struct relay *relay = create_backend_relay(c, &announcer);
	char *answer = NULL;
	int64_t begin_ms;
	uint64_t accepted;

	(void)state;
	cluster_start(c);
	assert_int_equal(submit(c, 8, 50, 5000, &answer), 200);
	g_free(answer);
	accepted = relay_accepted(relay);
	relay_blackhole_open(relay, RELAY_BOTH);
	begin_ms = clock_now_ms();
	assert_int_equal(submit(c, 2, 20, 1500, &answer), 504);
	fprintf(stderr, "count: agent-backend: answered after %d ms: %s\n",
		(int)(clock_now_ms() - begin_ms), answer);
	assert_non_null(strstr(answer, "\"ran\":\"unknown\""));
	g_free(answer);
	/* All old connections are blackholed and must not be reused. */
	assert_int_equal(submit(c, 8, 20, 5000, &answer), 200);
	fprintf(stderr, "count: new connections=%d, whole again after %d ms\n",
		(int)(relay_accepted(relay) - accepted),
		(int)(clock_now_ms() - begin_ms));
	g_free(answer);
	g_atomic_int_set(&announcer.stop, 1);
	g_thread_join(announcer.thread);
	relay_destroy(relay);
	check_and_destroy(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		{ "dispatcher_agent", test_pair, NULL, cluster_teardown,
		  (void *)&pairs[0] },
		{ "dispatcher_coordinator", test_pair, NULL, cluster_teardown,
		  (void *)&pairs[1] },
		{ "agent_coordinator", test_pair, NULL, cluster_teardown,
		  (void *)&pairs[2] },
		{ "coordinator_coordinator", test_pair, NULL, cluster_teardown,
		  (void *)&pairs[3] },
		{ "dispatcher_dispatcher", test_pair, NULL, cluster_teardown,
		  (void *)&pairs[4] },
		cmocka_unit_test_teardown(test_backend_silent,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
