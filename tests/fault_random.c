/*
 * fault_random: injects seeded random faults under load. Every three seconds
 * it kills, freezes or stops and restarts a random process, blackholes the
 * connections through a relay, or disables and enables a data centre.
 * The environment variables FAULT_SECONDS (default 20) and FAULT_SEED
 * (default 1) set the duration and the seed. At the end no invariant may be
 * violated, and each job of the load must have a correct answer.
 */
#include "support/cluster.h"
#include "support/relay.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define WAIT_MS 30000
#define LOAD_SLACK_MS 90000
#define FAULT_INTERVAL_MS 3000
#define FREEZE_MIN_MS 1000
#define FREEZE_MAX_MS 4000
#define RELAY_PORT 6001
#define COORDINATORS 3
#define DISPATCHERS 2
#define AGENTS 6
#define RELAYS (AGENTS + 1)

/* ---- Types ---- */

enum fault {
	FAULT_KILL,
	FAULT_FREEZE,
	FAULT_BLACKHOLE,
	FAULT_DATA_CENTRE,
	FAULT_STOP,
	FAULT_KINDS
};

static const char *const fault_names[] = { "kill", "freeze", "silence",
					   "data centre out", "planned stop" };

struct fault_run {
	struct cluster *c;
	GRand *random;
	struct relay *relays[RELAYS]; /* in front of each agent and d2 */
	int injected[FAULT_KINDS];
	int failed_stops; /* planned stops with a nonzero exit status */
};

/* ---- Set-up ---- */

static int64_t environment_integer(const char *name, int64_t otherwise)
{
	const char *text = getenv(name);

	return text ? g_ascii_strtoll(text, NULL, 10) : otherwise;
}

static void add_relay(struct fault_run *s, int i, const char *name)
{
	char listen[40];

	snprintf(listen, sizeof(listen), "%s:%d", s->c->ip, RELAY_PORT + i);
	s->relays[i] =
		relay_create(listen, cluster_address(s->c, name, "listen"));
	proc_set(cluster_proc(s->c, name), "--advertise", listen);
}

static void start_run(struct fault_run *s, int64_t seed)
{
	static const struct cluster_options options = {
		.coordinators = COORDINATORS,
		.dispatchers = DISPATCHERS,
		.agents = AGENTS
	};
	char name[16];
	int i;

	memset(s, 0, sizeof(*s));
	s->random = g_rand_new_with_seed((guint32)seed);
	s->c = cluster_create(&options);
	for (i = 0; i < AGENTS; i++) {
		snprintf(name, sizeof(name), "a%d", i + 1);
		add_relay(s, i, name);
	}
	add_relay(s, AGENTS, "d2");
	cluster_start(s->c);
}

static void end_run(struct fault_run *s)
{
	int i;

	for (i = 0; i < RELAYS; i++)
		relay_destroy(s->relays[i]);
	g_rand_free(s->random);
	cluster_destroy(s->c);
}

/* ---- Faults ---- */

static struct proc *random_proc(struct fault_run *s)
{
	int n = COORDINATORS + DISPATCHERS + 2 * AGENTS;

	return &s->c->procs[g_rand_int_range(s->random, 0, n)];
}

static void restart(struct fault_run *s, struct proc *p)
{
	proc_start(s->c, p);
	/* If a process failed to restart, later faults would test nothing. */
	if (strcmp(p->role, "backend") != 0)
		cluster_wait_ready(s->c, p->name, WAIT_MS);
}

static void freeze_temporarily(struct fault_run *s, struct proc *p)
{
	int ms = g_rand_int_range(s->random, FREEZE_MIN_MS, FREEZE_MAX_MS + 1);

	proc_freeze(p);
	g_usleep((gulong)ms * 1000);
	proc_thaw(p);
	/* A dispatcher that was declared failed while frozen exits on its own.
	 */
	if (proc_wait(p, FAULT_INTERVAL_MS) != -1 && !p->pid)
		restart(s, p);
}

static void blackhole_random_relay(struct fault_run *s, char text[32])
{
	int i = g_rand_int_range(s->random, 0, RELAYS);

	snprintf(text, 32, "relay %d", i);
	relay_blackhole_open(s->relays[i], RELAY_BOTH);
}

static void disable_and_enable_data_centre(struct fault_run *s, char text[32])
{
	snprintf(text, 32, "dc%d", g_rand_int_range(s->random, 1, 4));
	assert_true(cluster_data_centre(s->c, text, false));
	g_usleep(FAULT_INTERVAL_MS * 1000);
	assert_true(cluster_data_centre(s->c, text, true));
}

static void inject_fault(struct fault_run *s, enum fault fault)
{
	struct proc *p = random_proc(s);
	char text[32];

	g_strlcpy(text, p->name, sizeof(text));
	switch (fault) {
	case FAULT_KILL:
		proc_kill(p);
		restart(s, p);
		break;
	case FAULT_FREEZE:
		freeze_temporarily(s, p);
		break;
	case FAULT_BLACKHOLE:
		blackhole_random_relay(s, text);
		break;
	case FAULT_DATA_CENTRE:
		disable_and_enable_data_centre(s, text);
		break;
	case FAULT_STOP:
		if (proc_stop(p))
			s->failed_stops++;
		restart(s, p);
		break;
	case FAULT_KINDS:
	default:
		return;
	}
	s->injected[fault]++;
	fprintf(stderr, "count: %s of %s\n", fault_names[fault], text);
}

static void run_faults(struct fault_run *s, int64_t seconds)
{
	int64_t end_ms = clock_now_ms() + seconds * 1000;
	int64_t next_ms = clock_now_ms() + FAULT_INTERVAL_MS;

	while (next_ms < end_ms) {
		enum fault fault =
			(enum fault)g_rand_int_range(s->random, 0, FAULT_KINDS);
		int64_t now_ms = clock_now_ms();

		if (now_ms < next_ms)
			g_usleep((gulong)(next_ms - now_ms) * 1000);
		next_ms = MAX(next_ms, now_ms) + FAULT_INTERVAL_MS;
		inject_fault(s, fault);
	}
}

/* ---- The test ---- */

static void test_random_faults(void **state)
{
	int64_t seed = environment_integer("FAULT_SEED", 1);
	int64_t seconds = environment_integer("FAULT_SECONDS", 20);
	char duration[24], load_seed[24];
	const char *const args[] = { "--rate",
				     "60",
				     "--duration-s",
				     duration,
				     "--tasks",
				     "6",
				     "--run-ms",
				     "40",
				     "--run-spread",
				     "true",
				     "--seed",
				     load_seed,
				     "--resubmit-milli",
				     "100",
				     "--job-deadline-ms",
				     "10000",
				     NULL };
	struct cf_trace_summary summary;
	struct fault_run s;
	struct proc *load;
	int64_t jobs, complete, unknown, not_run;

	(void)state;
	snprintf(duration, sizeof(duration), "%d", (int)seconds);
	snprintf(load_seed, sizeof(load_seed), "%d", (int)seed);
	fprintf(stderr, "count: seed=%d seconds=%d\n", (int)seed, (int)seconds);
	start_run(&s, seed);
	load = cluster_load(s.c, args);
	run_faults(&s, seconds);
	proc_wait(load, seconds * 1000 + LOAD_SLACK_MS);
	assert_int_equal(load->pid, 0);
	jobs = cluster_load_field(load, "jobs");
	complete = cluster_load_field(load, "complete");
	unknown = cluster_load_field(load, "may_have_run");
	not_run = cluster_load_field(load, "not_run");
	fprintf(stderr,
		"count: jobs=%d complete=%d unknown=%d not_run=%d lost=%d "
		"partial=%d crossed=%d cut_off=%d\n",
		(int)jobs, (int)complete, (int)unknown, (int)not_run,
		(int)cluster_load_field(load, "lost"),
		(int)cluster_load_field(load, "partial"),
		(int)cluster_load_field(load, "crossed"), s.failed_stops);
	fprintf(stderr,
		"count: kills=%d freezes=%d silences=%d outs=%d stops=%d\n",
		s.injected[FAULT_KILL], s.injected[FAULT_FREEZE],
		s.injected[FAULT_BLACKHOLE], s.injected[FAULT_DATA_CENTRE],
		s.injected[FAULT_STOP]);
	assert_int_equal(cluster_check(s.c, &summary), 0);
	assert_int_equal(summary.double_starts, 0);
	assert_int_equal(cluster_load_field(load, "partial"), 0);
	assert_int_equal(cluster_load_field(load, "crossed"), 0);
	assert_int_equal(cluster_load_field(load, "lost"), 0);
	assert_int_equal(complete + unknown + not_run, jobs);
	assert_int_equal(s.failed_stops, 0);
	end_run(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_random_faults, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
