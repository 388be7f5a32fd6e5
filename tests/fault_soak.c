/*
 * fault_soak: seeded random faults against the leased roles as real
 * processes, brought from outside them and overlapping: processes killed,
 * frozen, stopped and started again, all of them at once, disks lost or
 * full, connections silent one way or both, broken or slow, backend
 * servers that crash. Callers send again after 1.3 s without an answer;
 * an operator replaces the routes meanwhile.
 *
 * Checked, from what callers and backend servers see: no task has two
 * runs at the same time; a job that was refused never ran; every job is
 * done in the end; what was acknowledged to the operator is read back,
 * never anything older; with planned stops alone no request is cut off.
 *
 * SOAK_FIRST=N and SOAK_SEEDS=N choose other seeds than the regression
 * cases; SOAK_SEEDS=0 plays fresh ones for SOAK_SECONDS=N.
 */
#include "support/leased_system.h"

#include "base/clock.h"
#include "platform/standin.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define CALLERS 8
#define PLAY_MS 6000
#define FAULTS_MAX 7
#define FAULT_LONGEST_MS 2500
#define RESEND_MS 1300
#define REFUSED_MS 150
#define PAUSE_MS 5
#define TRIES_MAX 60
#define RUN_MIN_MS 20
#define RUN_MAX_MS 400
#define REFUSED_MAX 4000
#define CHANGE_EVERY_MS 150
#define SLOW_MS 15
#define STARTING_MS 1000

/* Seeds that have failed once, and what the cause was; the first ones
 * stand for the usual mix. */
static const struct regression {
	uint32_t seed;
	const char *cause;
} regressions[] = {
	{ 1, "none: overlapping faults" },
	{ 2, "none: overlapping faults" },
	{ 3, "none: planned stops only" },
	{ 202, "a start answered by a new life of a server before that life "
	       "was known was taken for ended: two runs at once" },
	{ 208, "the same" },
};

/* ---- The play ---- */

enum fault_kind {
	FAULT_KILL,
	FAULT_FREEZE,
	FAULT_STOP,
	FAULT_KILL_ALL,
	FAULT_KILL_COORDINATORS,
	FAULT_WIPE,
	FAULT_FULL_DISK,
	FAULT_SILENCE,
	FAULT_RESET,
	FAULT_SLOW,
	FAULT_SERVER_CRASH,
	FAULT_KINDS,
};

static const char *const fault_names[FAULT_KINDS] = {
	"kill",         "freeze",    "stop",    "kill all", "kill coordinators",
	"wipe",         "full disk", "silence", "reset",    "slow",
	"server crash",
};

struct fault {
	enum fault_kind kind;
	int64_t begin_ms, end_ms;
	int target; /* a process, or a relay */
	enum relay_way way;
	bool begun, over;
};

struct soak {
	struct leased_system *system;
	uint32_t seed;
	bool planned_only;
	struct fault faults[FAULTS_MAX];
	int n_faults;
	int held[CLUSTER_PROCS_MAX]; /* faults that hold a process down */
	int64_t started_ms[CLUSTER_PROCS_MAX];
	bool disk_lost;
	int64_t begin_ms;
	gint over; /* atomic: callers finish their last job */
	GMutex lock; /* of what follows */
	char refused[REFUSED_MAX][20];
	int n_refused;
	int jobs, completed, resent;
	char broken[200]; /* the first promise that was; empty: none */
};

static void tell_broken(struct soak *s, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void tell_broken(struct soak *s, const char *format, ...)
{
	va_list args;

	g_mutex_lock(&s->lock);
	va_start(args, format);
	if (!s->broken[0])
		g_vsnprintf(s->broken, sizeof(s->broken), format, args);
	va_end(args);
	g_mutex_unlock(&s->lock);
}

/* ---- Drawing ---- */

static void draw_fault(GRand *random, const struct soak *s, struct fault *f)
{
	f->kind = (enum fault_kind)g_rand_int_range(random, 0, FAULT_KINDS);
	if (s->planned_only)
		f->kind = FAULT_STOP;
	f->begin_ms = g_rand_int_range(random, 0, PLAY_MS);
	f->end_ms =
		f->begin_ms + g_rand_int_range(random, 50, FAULT_LONGEST_MS);
	f->target = g_rand_int_range(random, 0, s->system->cluster->n_procs);
	f->way = (enum relay_way)g_rand_int_range(random, RELAY_TO_TARGET,
						  RELAY_BOTH + 1);
}

static void draw(struct soak *s)
{
	GRand *random = g_rand_new_with_seed(s->seed);

	s->planned_only = s->seed % 6 == 3;
	s->n_faults = g_rand_int_range(random, 3, FAULTS_MAX + 1);
	for (int i = 0; i < s->n_faults; i++)
		draw_fault(random, s, &s->faults[i]);
	g_rand_free(random);
}

/* ---- Faults ---- */

static struct proc *proc_at(const struct soak *s, int i)
{
	return &s->system->cluster->procs[i];
}

static bool is_coordinator(const struct proc *p)
{
	return !strcmp(p->role, "coordinator");
}

static void start_again(struct soak *s, int i)
{
	s->started_ms[i] = clock_now_ms();
	proc_start(s->system->cluster, proc_at(s, i));
}

/* Down for the first one that holds it, up after the last. */
static void hold(struct soak *s, int i, bool planned)
{
	if (s->held[i]++)
		return;
	if (planned) {
		/* One that is only starting may end by the signal itself. */
		bool up = clock_now_ms() - s->started_ms[i] > STARTING_MS;

		if (proc_stop(proc_at(s, i)) != 0 && up)
			tell_broken(s, "%s: a planned stop ended badly",
				    proc_at(s, i)->name);
	} else {
		proc_kill(proc_at(s, i));
	}
}

static void release(struct soak *s, int i)
{
	if (--s->held[i] == 0)
		start_again(s, i);
}

static void for_group(struct soak *s, bool coordinators_only, bool begins)
{
	for (int i = 0; i < s->system->cluster->n_procs; i++) {
		if (coordinators_only && !is_coordinator(proc_at(s, i)))
			continue;
		if (begins)
			hold(s, i, false);
		else
			release(s, i);
	}
}

static void lose_disk(struct soak *s, struct proc *p)
{
	g_autofree char *folder =
		g_strdup_printf("%s/%s", s->system->cluster->folder, p->name);
	g_autofree char *aside = g_strdup_printf("%s-lost", folder);

	s->disk_lost = true;
	g_rename(folder, aside);
	proc_set(p, "--first-start", "false");
}

static void freeze(struct soak *s, int i, bool begins)
{
	if (s->held[i])
		return;
	if (begins)
		proc_freeze(proc_at(s, i));
	else
		proc_thaw(proc_at(s, i));
}

static void harm_relay(struct soak *s, const struct fault *f, bool begins)
{
	int i = f->target % (2 * SYSTEM_AGENTS);
	struct relay *relay =
		i < SYSTEM_AGENTS ? s->system->agent_relays[i]
				  : s->system->server_relays[i - SYSTEM_AGENTS];

	if (f->kind == FAULT_SLOW)
		relay_delay(relay, begins ? SLOW_MS : 0);
	else if (f->kind == FAULT_RESET)
		relay_reset_open(relay);
	else if (begins)
		relay_silence_all(relay, f->way);
	else
		relay_silence_all(relay, RELAY_NONE);
	/* What went silent stays so; new connections work. */
	if (f->kind == FAULT_SILENCE && !begins)
		relay_silence_open(relay, RELAY_BOTH);
}

/* One disk is all that the group bears. */
static void wipe(struct soak *s, struct fault *f)
{
	int i = f->target % SYSTEM_COORDINATORS;

	f->target = i;
	hold(s, i, false);
	if (!s->disk_lost && s->held[i] == 1)
		lose_disk(s, proc_at(s, i));
}

static void fill_disk(struct soak *s, struct fault *f, bool begins)
{
	struct proc *p = proc_at(s, f->target % SYSTEM_COORDINATORS);

	if (p->pid && proc_running(p))
		proc_limit_files(p, begins ? 1 : -1);
}

static void change(struct soak *s, struct fault *f, bool begins)
{
	switch (f->kind) {
	case FAULT_KILL:
	case FAULT_STOP:
		if (begins)
			hold(s, f->target, f->kind == FAULT_STOP);
		else
			release(s, f->target);
		break;
	case FAULT_FREEZE:
		freeze(s, f->target, begins);
		break;
	case FAULT_KILL_ALL:
	case FAULT_KILL_COORDINATORS:
		for_group(s, f->kind == FAULT_KILL_COORDINATORS, begins);
		break;
	case FAULT_WIPE:
		if (begins)
			wipe(s, f);
		else
			release(s, f->target);
		break;
	case FAULT_FULL_DISK:
		fill_disk(s, f, begins);
		break;
	case FAULT_SERVER_CRASH:
		if (begins)
			standin_restart(
				s->system->standins[f->target % SYSTEM_AGENTS]);
		break;
	default:
		harm_relay(s, f, begins);
		break;
	}
}

/* A process that ended by itself is started again, as on the platform. */
static void start_ended(struct soak *s)
{
	for (int i = 0; i < s->system->cluster->n_procs; i++) {
		struct proc *p = proc_at(s, i);

		if (s->held[i] || !p->pid || proc_running(p))
			continue;
		if (s->planned_only)
			tell_broken(s, "%s ended by itself", p->name);
		start_again(s, i);
	}
}

static bool step_faults(struct soak *s, int64_t at_ms)
{
	bool more = false;

	for (int i = 0; i < s->n_faults; i++) {
		struct fault *f = &s->faults[i];

		if (!f->begun && at_ms >= f->begin_ms) {
			f->begun = true;
			change(s, f, true);
		} else if (f->begun && !f->over && at_ms >= f->end_ms) {
			f->over = true;
			change(s, f, false);
		}
		more |= !f->over;
	}
	start_ended(s);
	return more || at_ms < PLAY_MS;
}

/* ---- Callers ---- */

struct caller {
	struct soak *soak;
	int number, made;
	GRand *random;
};

static void note(struct caller *c, int *count)
{
	g_mutex_lock(&c->soak->lock);
	(*count)++;
	g_mutex_unlock(&c->soak->lock);
}

static void note_refused(struct soak *s, const char *id)
{
	g_mutex_lock(&s->lock);
	if (s->n_refused < REFUSED_MAX)
		g_strlcpy(s->refused[s->n_refused++], id, 20);
	g_mutex_unlock(&s->lock);
}

static void new_id(struct caller *c, char id[20])
{
	snprintf(id, 20, "%08x%08x", (unsigned int)c->number,
		 (unsigned int)c->made++);
}

/* A refused job is asked for under a new id, so that a run of the refused
 * one would show. An earlier try without an answer may have run. */
static bool get_done(struct caller *c, int32_t run_ms)
{
	struct soak *s = c->soak;
	int unanswered = 0;
	char id[20];

	new_id(c, id);
	for (int i = 0; i < TRIES_MAX; i++) {
		g_autofree char *answer = NULL;
		uint32_t status = leased_system_submit(s->system, c->number + i,
						       id, (uint32_t)run_ms,
						       &answer);

		if (status == 200)
			return standin_is_completed(answer);
		if (status == 429 || status == 503) {
			if (!unanswered)
				note_refused(s, id);
			new_id(c, id);
			unanswered = 0;
			g_usleep(REFUSED_MS * 1000);
			continue;
		}
		unanswered++;
		note(c, &s->resent);
		if (s->planned_only && status == SYSTEM_NO_ANSWER)
			tell_broken(s, "a request of %s got no answer", id);
		g_usleep(RESEND_MS * 1000);
	}
	return false;
}

static gpointer run_caller(gpointer arg)
{
	struct caller *c = arg;
	struct soak *s = c->soak;

	while (!g_atomic_int_get(&s->over)) {
		note(c, &s->jobs);
		if (get_done(c, g_rand_int_range(c->random, RUN_MIN_MS,
						 RUN_MAX_MS)))
			note(c, &s->completed);
		else
			tell_broken(s, "a job of caller %d was not done",
				    c->number);
		g_usleep(PAUSE_MS * 1000);
	}
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
	tell_broken(o->soak, "version %u was acknowledged, c%d read: %.80s",
		    least, coordinator, answer);
}

static gpointer run_operator(gpointer arg)
{
	struct operator* o = arg;

	while (!g_atomic_int_get(&o->soak->over)) {
		int to = (int)(o->sent % SYSTEM_COORDINATORS) + 1;
		g_autofree char *routes = leased_system_routes(++o->sent);

		if (leased_system_call(o->soak->system, to, "control", "POST",
				       standin_set_routes_path, routes,
				       NULL) == 200)
			o->acknowledged = o->sent;
		read_back(o, (int)(o->sent / 2 % SYSTEM_COORDINATORS) + 1);
		g_usleep(CHANGE_EVERY_MS * 1000);
	}
	return NULL;
}

/* ---- One seed ---- */

static void check_refused(struct soak *s)
{
	for (int i = 0; i < s->n_refused; i++)
		if (standin_runs_of(s->system->record, s->refused[i]))
			tell_broken(s, "%s was refused and ran", s->refused[i]);
}

static void check_operator(struct soak *s, struct operator* o)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	for (int i = 0; clock_now_ms() < end_ms; i++) {
		g_autofree char *answer = NULL;

		if (leased_system_call(s->system, i % SYSTEM_COORDINATORS + 1,
				       "control", "GET",
				       standin_get_routes_path, NULL,
				       &answer) != 200) {
			g_usleep(REFUSED_MS * 1000);
			continue;
		}
		for (uint32_t v = o->acknowledged; v <= o->sent; v++)
			if (standin_has_version(answer, v))
				return;
		tell_broken(s, "read back in the end: %.80s", answer);
		return;
	}
	tell_broken(s, "no coordinator could tell the routes in the end");
}

static void tell_faults(const struct soak *s)
{
	for (int i = 0; i < s->n_faults; i++)
		fprintf(stderr, "seed %u: %s of %d from %d to %d ms (way %d)\n",
			s->seed, fault_names[s->faults[i].kind],
			s->faults[i].target, (int)s->faults[i].begin_ms,
			(int)s->faults[i].end_ms, (int)s->faults[i].way);
}

static void play_faults(struct soak *s)
{
	s->begin_ms = clock_now_ms();
	while (step_faults(s, clock_now_ms() - s->begin_ms))
		g_usleep(PAUSE_MS * 1000);
	for (int i = 0; i < SYSTEM_DISPATCHERS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "d%d", i + 1);
		cluster_wait_ready(s->system->cluster, name, SYSTEM_WAIT_MS);
	}
	g_atomic_int_set(&s->over, 1);
}

static void play(uint32_t seed)
{
	g_autofree struct soak *s = g_new0(struct soak, 1);
	struct operator operator= { .soak = s, .sent = 1, .acknowledged = 1 };
	struct caller callers[CALLERS] = { 0 };
	GThread *threads[CALLERS + 1];
	int64_t doubles;

	s->seed = seed;
	s->system = leased_system_begin(true);
	draw(s);
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = (struct caller){
			s, i + 1, 0, g_rand_new_with_seed(seed + (guint32)i)
		};
		threads[i] = g_thread_new("caller", run_caller, &callers[i]);
	}
	threads[CALLERS] = g_thread_new("operator", run_operator, &operator);
	play_faults(s);
	for (int i = 0; i <= CALLERS; i++)
		g_thread_join(threads[i]);
	for (int i = 0; i < CALLERS; i++)
		g_rand_free(callers[i].random);
	check_refused(s);
	check_operator(s, &operator);
	doubles = standin_doubles(s->system->record);
	fprintf(stderr,
		"count: seed=%u faults=%d%s jobs=%d completed=%d resent=%d "
		"refused=%d runs=%u doubles=%d changes=%u broken=\"%s\"\n",
		seed, s->n_faults, s->planned_only ? " planned" : "", s->jobs,
		s->completed, s->resent, s->n_refused,
		standin_runs(s->system->record),
		(int)doubles, operator.acknowledged, s->broken);
	if (doubles || s->broken[0])
		tell_faults(s);
	assert_int_equal(doubles, 0);
	assert_string_equal(s->broken, "");
	assert_true(s->jobs > CALLERS);
	leased_system_finish(s->system);
}

/* ---- Tests ---- */

static uint32_t from_environment(const char *name, uint32_t otherwise)
{
	const char *text = getenv(name);

	return text ? (uint32_t)g_ascii_strtoull(text, NULL, 10) : otherwise;
}

static void test_regressions(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(regressions); i++) {
		fprintf(stderr, "regression: %s\n", regressions[i].cause);
		play(regressions[i].seed);
	}
}

static void test_seeds(void **state)
{
	uint32_t first = from_environment("SOAK_FIRST", 100);
	uint32_t n = from_environment("SOAK_SEEDS", 2);
	int64_t end_ms = clock_now_ms() +
			 1000 * (int64_t)from_environment("SOAK_SECONDS", 0);

	(void)state;
	for (uint32_t i = 0; i < n; i++)
		play(first + i);
	while (!n && clock_now_ms() < end_ms)
		play(g_random_int());
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
