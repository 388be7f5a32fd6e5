/*
 * fault_soak: injects seeded random faults into the leased roles, which run as
 * real processes. The faults come from outside the processes and may overlap:
 * - processes are killed, frozen, stopped and restarted, also all at once;
 * - disks are lost or full;
 * - connections are silent in one or both directions, reset, or slow;
 * - backend servers crash.
 * Callers keep their connections open until the process has exited, and send a
 * job again after 1.3 s without an answer. Meanwhile, an operator replaces the
 * routes.
 *
 * The test checks what callers and backend servers observe:
 * - runs of one task never overlap;
 * - a refused job never ran;
 * - every job completes in the end;
 * - a change acknowledged to the operator is read back, and nothing older;
 * - with planned stops only, no request is cut off.
 *
 * SOAK_FIRST=N and SOAK_SEEDS=N select other seeds than the regression cases.
 * SOAK_SEEDS=0 runs random seeds for SOAK_SECONDS=N.
 */
#include "support/leased_system.h"
#include "support/soak_faults.h"

#include "base/clock.h"
#include "platform/standin.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define CALLER_COUNT 8
#define RESEND_MS 1300
#define REFUSAL_BACKOFF_MS 150
#define STEP_INTERVAL_MS 5
#define US_PER_MS 1000
#define TRIES_MAX 60
#define RUN_MIN_MS 20
#define RUN_MAX_MS 400
#define REFUSED_MAX 4000
#define CHANGE_INTERVAL_MS 150

/* Seeds that have failed before, with the cause. The first three stand for the
 * usual mix of faults. */
static const struct regression {
	uint32_t seed;
	const char *cause;
} regressions[] = {
	{ 1, "none: overlapping faults" },
	{ 2, "none: overlapping faults" },
	{ 3, "none: planned stops only" },
	{ 202, "a start accepted by a restarted server, before the agent knew "
	       "of the restart, was treated as ended: overlapping runs" },
	{ 208, "same as seed 202" },
	{ 3813496650, "none: a disk was full at the end; the test did not "
		      "start the coordinator again that had exited" },
	{ 5021, "none: a stop of a frozen process, for which the test waited "
		"before it would thaw the process" },
};

/* ---- State ---- */

struct soak {
	struct leased_system *system;
	struct soak_faults *faults;
	int64_t begin_ms; /* of the faults */
	bool planned_only;
	GThread *threads[CALLER_COUNT + 1]; /* callers and the operator */
	gint running; /* atomic; number of threads that have not ended */
	gint stopping; /* atomic; callers finish their last job, then stop */
	gint abandoned; /* atomic; callers give up their last job */
	GMutex lock; /* protects the fields below */
	char refused[REFUSED_MAX][20];
	int n_refused;
	int jobs, completed, resent;
	char violation[200]; /* first violated guarantee; empty if none */
};

static void record_violation(struct soak *s, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void record_violation(struct soak *s, const char *format, ...)
{
	va_list args;

	g_mutex_lock(&s->lock);
	va_start(args, format);
	if (!s->violation[0])
		g_vsnprintf(s->violation, sizeof(s->violation), format, args);
	va_end(args);
	g_mutex_unlock(&s->lock);
}

/* ---- Callers ---- */

struct caller {
	struct soak *soak;
	struct leased_caller *connections;
	int number, jobs_created;
	GRand *random;
};

static void increment(struct caller *c, int *count)
{
	g_mutex_lock(&c->soak->lock);
	(*count)++;
	g_mutex_unlock(&c->soak->lock);
}

static void record_refused(struct soak *s, const char *id)
{
	g_mutex_lock(&s->lock);
	if (s->n_refused < REFUSED_MAX)
		g_strlcpy(s->refused[s->n_refused++], id, 20);
	g_mutex_unlock(&s->lock);
}

static void new_id(struct caller *c, char id[20])
{
	snprintf(id, 20, "%08x%08x", (unsigned int)c->number,
		 (unsigned int)c->jobs_created++);
}

/* After a refusal, the job is submitted under a new id, so that a run of the
 * refused job can be detected. If an earlier try got no answer, the job may
 * have run, and its refusal is not recorded. */
static bool submit_until_done(struct caller *c, int32_t run_ms)
{
	struct soak *s = c->soak;
	int unanswered = 0;
	char id[20];

	new_id(c, id);
	for (int i = 0; i < TRIES_MAX && !g_atomic_int_get(&s->abandoned);
	     i++) {
		g_autofree char *answer = NULL;
		uint32_t status =
			leased_caller_submit(c->connections, c->number + i, id,
					     (uint32_t)run_ms, &answer);

		if (status == 200)
			return standin_is_completed(answer);
		if (status == 429 || status == 503) {
			if (!unanswered)
				record_refused(s, id);
			new_id(c, id);
			unanswered = 0;
			g_usleep(REFUSAL_BACKOFF_MS * US_PER_MS);
			continue;
		}
		unanswered++;
		increment(c, &s->resent);
		if (s->planned_only && status == SYSTEM_NO_ANSWER)
			record_violation(
				s, "a request for job %s got no answer", id);
		g_usleep(RESEND_MS * US_PER_MS);
	}
	return false;
}

static gpointer run_caller(gpointer arg)
{
	struct caller *c = arg;
	struct soak *s = c->soak;

	while (!g_atomic_int_get(&s->stopping)) {
		increment(c, &s->jobs);
		if (submit_until_done(c, g_rand_int_range(c->random, RUN_MIN_MS,
							  RUN_MAX_MS)))
			increment(c, &s->completed);
		else
			record_violation(s,
					 "a job of caller %d was not completed",
					 c->number);
		g_usleep(STEP_INTERVAL_MS * US_PER_MS);
	}
	g_atomic_int_add(&s->running, -1);
	return NULL;
}

/* ---- The operator ---- */

struct operator
{
	struct soak *soak;
	uint32_t sent, acknowledged;
};

static void read_back(struct operator* o, int coordinator)
{
	uint32_t least = o->acknowledged;
	g_autofree char *answer = NULL;

	if (leased_system_call(o->soak->system, coordinator, "control", "GET",
			       standin_get_routes_path, NULL, &answer) != 200)
		return;
	for (uint32_t version = least; version <= o->sent; version++)
		if (standin_has_version(answer, version))
			return;
	record_violation(o->soak,
			 "version %u was acknowledged, but c%d returned: %.80s",
			 least, coordinator, answer);
}

static gpointer run_operator(gpointer arg)
{
	struct operator* o = arg;

	while (!g_atomic_int_get(&o->soak->stopping)) {
		int to = (int)(o->sent % SYSTEM_COORDINATORS) + 1;
		g_autofree char *routes = leased_system_routes(++o->sent);

		if (leased_system_call(o->soak->system, to, "control", "POST",
				       standin_set_routes_path, routes,
				       NULL) == 200)
			o->acknowledged = o->sent;
		read_back(o, (int)(o->sent / 2 % SYSTEM_COORDINATORS) + 1);
		g_usleep(CHANGE_INTERVAL_MS * US_PER_MS);
	}
	g_atomic_int_add(&o->soak->running, -1);
	return NULL;
}

/* ---- One seed ---- */

static void check_refused(struct soak *s)
{
	for (int i = 0; i < s->n_refused; i++)
		if (standin_runs_of(s->system->record, s->refused[i]))
			record_violation(s, "job %s was refused but ran",
					 s->refused[i]);
}

/* Begins and ends the faults that are due, and starts the processes that have
 * exited. Returns false when all faults are over. Processes may still exit
 * after that: the effect of a full disk shows at the next write. */
static bool step(struct soak *s)
{
	return soak_faults_step(s->faults, clock_now_ms() - s->begin_ms);
}

static void check_operator(struct soak *s, struct operator* o)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	for (int i = 0; clock_now_ms() < end_ms; i++) {
		g_autofree char *answer = NULL;

		step(s);
		if (leased_system_call(s->system, i % SYSTEM_COORDINATORS + 1,
				       "control", "GET",
				       standin_get_routes_path, NULL,
				       &answer) != 200) {
			g_usleep(REFUSAL_BACKOFF_MS * US_PER_MS);
			continue;
		}
		for (uint32_t v = o->acknowledged; v <= o->sent; v++)
			if (standin_has_version(answer, v))
				return;
		record_violation(s, "unexpected routes at the end: %.80s",
				 answer);
		return;
	}
	record_violation(s, "no coordinator returned the routes at the end");
}

static void wait_dispatcher(struct soak *s, int number)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;
	char name[16];

	snprintf(name, sizeof(name), "d%d", number);
	while (!cluster_ready(s->system->cluster, name)) {
		if (clock_now_ms() >= end_ms)
			fail_msg("%s is not ready after %d ms", name,
				 SYSTEM_WAIT_MS);
		step(s);
		g_usleep(STEP_INTERVAL_MS * US_PER_MS);
	}
}

static void run_faults(struct soak *s)
{
	s->begin_ms = clock_now_ms();
	while (step(s))
		g_usleep(STEP_INTERVAL_MS * US_PER_MS);
	for (int i = 1; i <= SYSTEM_DISPATCHERS; i++)
		wait_dispatcher(s, i);
	g_atomic_int_set(&s->stopping, 1);
	while (g_atomic_int_get(&s->running)) {
		step(s);
		g_usleep(STEP_INTERVAL_MS * US_PER_MS);
	}
}

static void join_threads(struct soak *s)
{
	for (int i = 0; i <= CALLER_COUNT; i++)
		g_thread_join(s->threads[i]);
}

/* A failed assertion leaves run_seed() while the threads run. What they use is
 * static or on the heap, and the teardown waits for them. */
static void abandon(void *arg)
{
	struct soak *s = arg;

	g_atomic_int_set(&s->abandoned, 1);
	g_atomic_int_set(&s->stopping, 1);
	join_threads(s);
}

static void run_seed(uint32_t seed)
{
	static struct caller callers[CALLER_COUNT];
	static struct operator operator;
	struct soak *s = g_new0(struct soak, 1);
	int64_t overlaps;

	operator=(struct operator){ .soak = s, .sent = 1, .acknowledged = 1 };
	s->system = leased_system_begin(true);
	s->faults = soak_faults_create(s->system, seed);
	s->planned_only = soak_faults_planned_only(s->faults);
	s->running = CALLER_COUNT + 1;
	for (int i = 0; i < CALLER_COUNT; i++) {
		callers[i] = (struct caller){ .soak = s, .number = i + 1 };
		callers[i].connections = leased_caller_create(s->system);
		callers[i].random = g_rand_new_with_seed(seed + (guint32)i);
		s->threads[i] = g_thread_new("caller", run_caller, &callers[i]);
	}
	s->threads[CALLER_COUNT] =
		g_thread_new("operator", run_operator, &operator);
	s->system->end_callers_arg = s;
	s->system->end_callers = abandon;
	run_faults(s);
	join_threads(s);
	s->system->end_callers = NULL;
	for (int i = 0; i < CALLER_COUNT; i++) {
		g_rand_free(callers[i].random);
		leased_caller_destroy(callers[i].connections);
	}
	check_refused(s);
	check_operator(s, &operator);
	if (soak_faults_violation(s->faults)[0])
		record_violation(s, "%s", soak_faults_violation(s->faults));
	overlaps = standin_overlapping_runs(s->system->record);
	fprintf(stderr,
		"count: seed=%u faults=%u%s jobs=%d completed=%d resent=%d "
		"refused=%d runs=%u doubles=%d changes=%u stop_kills=%u "
		"restarts=%u broken=\"%s\"\n",
		seed, soak_faults_count(s->faults),
		s->planned_only ? " planned" : "", s->jobs, s->completed,
		s->resent, s->n_refused, standin_runs(s->system->record),
		(int)overlaps, operator.acknowledged,
		soak_faults_stop_kills(s->faults),
		soak_faults_restarts(s->faults), s->violation);
	if (overlaps || s->violation[0])
		soak_faults_print(s->faults);
	assert_int_equal(overlaps, 0);
	assert_string_equal(s->violation, "");
	assert_true(s->jobs > CALLER_COUNT);
	soak_faults_destroy(s->faults);
	leased_system_finish(s->system);
	g_free(s);
}

/* ---- Tests ---- */

static uint32_t environment_number(const char *name, uint32_t default_value)
{
	const char *text = getenv(name);

	return text ? (uint32_t)g_ascii_strtoull(text, NULL, 10)
		    : default_value;
}

static void test_regressions(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(regressions); i++) {
		fprintf(stderr, "regression: %s\n", regressions[i].cause);
		run_seed(regressions[i].seed);
	}
}

static void test_seeds(void **state)
{
	uint32_t first = environment_number("SOAK_FIRST", 100);
	uint32_t n = environment_number("SOAK_SEEDS", 2);
	int64_t end_ms = clock_now_ms() +
			 1000 * (int64_t)environment_number("SOAK_SECONDS", 0);

	(void)state;
	for (uint32_t i = 0; i < n; i++)
		run_seed(first + i);
	while (!n && clock_now_ms() < end_ms)
		run_seed(g_random_int());
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_regressions, cluster_teardown),
		cmocka_unit_test_teardown(test_seeds, cluster_teardown),
	};

	if (getenv("SOAK_FIRST") || getenv("SOAK_SECONDS"))
		cmocka_set_test_filter("test_seeds");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
