/*
 * Planned stops and starts of leased dispatchers, with real processes. Callers
 * whose requests meet a dispatcher that starts or drains must get the answers
 * of their jobs, not refusals.
 */
#include "support/leased_system.h"

#include "base/clock.h"
#include "platform/standin.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define EARLY_CALLERS 8
#define RUN_MS 60
#define POLL_US 2000
#define US_PER_MS 1000
#define OPEN_CALLERS 24
/* From 20 ms to 2,895 ms. */
#define PAUSE_MIN_MS 20
#define PAUSE_STEP_MS 125
#define LONG_RUN_MS 3500
#define RESTART_ROUNDS 2

/* ---- Start ---- */

struct early_caller {
	struct leased_system *system;
	int number;
	uint32_t status;
	bool completed;
};

/* Submits a job as soon as dispatcher 1 accepts connections. */
static gpointer submit_early(gpointer arg)
{
	struct early_caller *c = arg;
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	do {
		g_autofree char *answer = NULL;
		char id[20];

		snprintf(id, sizeof(id), "%016x", 0xe0 + c->number);
		c->status =
			leased_system_submit(c->system, 0, id, RUN_MS, &answer);
		c->completed = c->status == 200 && standin_is_completed(answer);
		if (c->status != 200 && c->status != SYSTEM_NOT_CONNECTED)
			fprintf(stderr, "job %s: %u %s\n", id, c->status,
				answer);
	} while (c->status == SYSTEM_NOT_CONNECTED && clock_now_ms() < end_ms);
	return NULL;
}

static void signal_group(struct leased_system *s, const char *prefix, int n,
			 void (*send)(struct proc *p))
{
	for (int i = 1; i <= n; i++) {
		char name[16];

		snprintf(name, sizeof(name), "%s%d", prefix, i);
		send(cluster_proc(s->cluster, name));
	}
}

static void wait_for_held(struct leased_system *s, int64_t n)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	while (cluster_metric(s->cluster, "d1", "chervilferry_requests_held") !=
	       n) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

/* Submits a job to dispatcher 1 on a connection that the test can close. */
static int submit_raw(struct leased_system *s)
{
	g_auto(GStrv) address =
		g_strsplit(cluster_address(s->cluster, "d1", "http"), ":", 2);
	g_autofree char *body = standin_write_job(1, 100, RUN_MS);
	g_autofree char *text =
		g_strdup_printf("POST /q/leaver HTTP/1.1\r\nHost: h.example\r\n"
				"Content-Length: %zu\r\n\r\n%s",
				strlen(body), body);
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)g_ascii_strtoull(
					  address[1], NULL, 10)) };
	int descriptor = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(inet_pton(AF_INET, address[0], &to.sin_addr), 1);
	assert_int_equal(
		connect(descriptor, (struct sockaddr *)&to, sizeof(to)), 0);
	assert_int_equal(send(descriptor, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
	return descriptor;
}

/* A dispatcher that has just started holds jobs until it has routes and a
 * server can be reached; without that, it refuses them with 503. Frozen
 * coordinators delay the routes, and frozen agents the first server. The held
 * jobs must be served once these processes run again, except that of a caller
 * that has left. */
static void test_jobs_at_the_start(void **state)
{
	static const struct {
		const char *frozen;
		int n;
	} cases[] = { { "c", SYSTEM_COORDINATORS }, { "a", SYSTEM_AGENTS } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct leased_system *s = leased_system_begin(false);
		struct proc *dispatcher = cluster_proc(s->cluster, "d1");
		struct early_caller callers[EARLY_CALLERS] = { 0 };
		GThread *threads[EARLY_CALLERS];
		int leaver;

		proc_kill(dispatcher);
		signal_group(s, cases[i].frozen, cases[i].n, proc_freeze);
		for (int c = 0; c < EARLY_CALLERS; c++) {
			callers[c].system = s;
			callers[c].number = c;
			threads[c] = g_thread_new("caller", submit_early,
						  &callers[c]);
		}
		proc_start(s->cluster, dispatcher);
		wait_for_held(s, EARLY_CALLERS);
		leaver = submit_raw(s);
		wait_for_held(s, EARLY_CALLERS + 1);
		close(leaver);
		wait_for_held(s, EARLY_CALLERS);
		signal_group(s, cases[i].frozen, cases[i].n, proc_thaw);
		for (int c = 0; c < EARLY_CALLERS; c++)
			g_thread_join(threads[c]);
		for (int c = 0; c < EARLY_CALLERS; c++) {
			assert_int_equal(callers[c].status, 200);
			assert_true(callers[c].completed);
		}
		leased_system_finish(s);
	}
}

/* ---- Rolling restart ---- */

struct open_caller {
	struct leased_system *system;
	gint *stop; /* atomic */
	int number;
	uint32_t pause_ms;
	uint32_t completed, refused, unanswered, moved;
};

/* Sends one job on the caller's open connection, or to the other dispatcher if
 * this one accepts no connection. */
static void submit_one(struct open_caller *c, struct leased_caller *open,
		       const char *id)
{
	for (int i = 0; i < SYSTEM_DISPATCHERS; i++) {
		g_autofree char *answer = NULL;
		uint32_t status = leased_caller_submit(open, c->number + i, id,
						       RUN_MS, &answer);

		if (status == SYSTEM_NOT_CONNECTED) {
			c->moved++;
			continue;
		}
		if (status == 200 && standin_is_completed(answer))
			c->completed++;
		else if (status == SYSTEM_NO_ANSWER)
			c->unanswered++;
		else
			c->refused++;
		if (status != 200)
			fprintf(stderr, "job %s: %u %s\n", id, status, answer);
		return;
	}
	c->refused++;
}

static gpointer run_open_caller(gpointer arg)
{
	struct open_caller *c = arg;
	struct leased_caller *open = leased_caller_create(c->system);

	for (int i = 0; !g_atomic_int_get(c->stop); i++) {
		char id[20];

		/* Pauses first, so that the first jobs don't come at once. */
		g_usleep(c->pause_ms * US_PER_MS);
		snprintf(id, sizeof(id), "%08x%08x", c->number + 1, i);
		submit_one(c, open, id);
	}
	leased_caller_destroy(open);
	return NULL;
}

struct long_job {
	struct leased_system *system;
	int dispatcher;
	uint32_t status;
};

static gpointer submit_long(gpointer arg)
{
	struct long_job *job = arg;
	g_autofree char *answer = NULL;
	char id[20];

	snprintf(id, sizeof(id), "%016x", 0x10 + job->dispatcher);
	job->status = leased_system_submit(job->system, job->dispatcher, id,
					   LONG_RUN_MS, &answer);
	return NULL;
}

/* A stopped process must have closed its idle connections and ended without
 * aborting a job. If it waits for idle connections, it aborts in the end. */
static void check_phases(const struct proc *p)
{
	g_autofree char *log = NULL;

	assert_true(g_file_get_contents(p->log, &log, NULL, NULL));
	assert_non_null(strstr(log, "event=draining phase=closing"));
	assert_null(strstr(log, "event=draining phase=aborting"));
}

/* Restarts a dispatcher. A long job keeps the process for longer than load
 * balancers need to turn away from it. */
static void restart_dispatcher(struct leased_system *s, int dispatcher)
{
	struct long_job job = { .system = s, .dispatcher = dispatcher };
	GThread *thread = g_thread_new("long", submit_long, &job);
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;
	struct proc *p;
	char name[16];

	snprintf(name, sizeof(name), "d%d", dispatcher + 1);
	p = cluster_proc(s->cluster, name);
	while (!cluster_metric(s->cluster, name, "chervilferry_tasks_sent")) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
	/* Short jobs also count as sent, so give the long one a head start. */
	g_usleep(POLL_US * 25);
	assert_int_equal(proc_stop(p), 0);
	g_thread_join(thread);
	assert_int_equal(job.status, 200);
	check_phases(p);
	proc_start(s->cluster, p);
	cluster_wait_ready(s->cluster, name, SYSTEM_WAIT_MS);
}

/* Callers keep their connections open and use them again after pauses of up to
 * 3 s. During a rolling restart of the dispatchers, each of their jobs must be
 * served. Without closing idle connections, requests still come on them when
 * the process is about to exit. */
static void test_rolling_restart(void **state)
{
	struct leased_system *s = leased_system_begin(false);
	struct open_caller callers[OPEN_CALLERS] = { 0 };
	GThread *threads[OPEN_CALLERS];
	uint32_t completed = 0, refused = 0, unanswered = 0, moved = 0;
	gint stop = 0;

	(void)state;
	for (int i = 0; i < OPEN_CALLERS; i++) {
		callers[i].system = s;
		callers[i].stop = &stop;
		callers[i].number = i;
		callers[i].pause_ms =
			PAUSE_MIN_MS + (uint32_t)i * PAUSE_STEP_MS;
		threads[i] =
			g_thread_new("caller", run_open_caller, &callers[i]);
	}
	for (int round = 0; round < RESTART_ROUNDS; round++)
		for (int i = 0; i < SYSTEM_DISPATCHERS; i++)
			restart_dispatcher(s, i);
	g_atomic_int_set(&stop, 1);
	for (int i = 0; i < OPEN_CALLERS; i++) {
		g_thread_join(threads[i]);
		completed += callers[i].completed;
		refused += callers[i].refused;
		unanswered += callers[i].unanswered;
		moved += callers[i].moved;
	}
	fprintf(stderr,
		"count: completed=%u refused=%u unanswered=%u moved=%u\n",
		completed, refused, unanswered, moved);
	assert_true(completed >= OPEN_CALLERS);
	assert_int_equal(refused, 0);
	assert_int_equal(unanswered, 0);
	leased_system_finish(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_rolling_restart,
					  cluster_teardown),
		cmocka_unit_test_teardown(test_jobs_at_the_start,
					  cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
