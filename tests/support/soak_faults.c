/*
 * soak_faults: see soak_faults.h.
 */
#include "support/soak_faults.h"

#include "base/clock.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* ---- Constants ---- */

#define PLAY_MS 6000
#define FAULTS_MIN 3
#define FAULTS_MAX 7
#define FAULT_SHORTEST_MS 50
#define FAULT_LONGEST_MS 2500
#define PLANNED_ONE_IN 6 /* seeds with planned stops alone */
#define SLOW_MS 15
#define STARTING_MS 1000

/* ---- Types ---- */

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
	enum relay_direction way;
	bool begun, over;
};

struct soak_faults {
	struct leased_system *system;
	bool planned_only;
	struct fault faults[FAULTS_MAX];
	int n_faults;
	int held[CLUSTER_PROCS_MAX]; /* faults that hold a process down */
	int64_t started_ms[CLUSTER_PROCS_MAX];
	bool disk_lost;
	char broken[120];
};

static void tell_broken(struct soak_faults *s, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void tell_broken(struct soak_faults *s, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	if (!s->broken[0])
		g_vsnprintf(s->broken, sizeof(s->broken), format, args);
	va_end(args);
}

/* ---- Drawing ---- */

static void draw_fault(GRand *random, const struct soak_faults *s,
		       struct fault *f)
{
	f->kind = (enum fault_kind)g_rand_int_range(random, 0, FAULT_KINDS);
	if (s->planned_only)
		f->kind = FAULT_STOP;
	f->begin_ms = g_rand_int_range(random, 0, PLAY_MS);
	f->end_ms = f->begin_ms + g_rand_int_range(random, FAULT_SHORTEST_MS,
						   FAULT_LONGEST_MS);
	f->target = g_rand_int_range(random, 0, s->system->cluster->n_procs);
	f->way = (enum relay_direction)g_rand_int_range(random, RELAY_TO_TARGET,
							RELAY_BOTH + 1);
}

static void draw(struct soak_faults *s, uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);

	s->planned_only = seed % PLANNED_ONE_IN == 3;
	s->n_faults = g_rand_int_range(random, FAULTS_MIN, FAULTS_MAX + 1);
	for (int i = 0; i < s->n_faults; i++)
		draw_fault(random, s, &s->faults[i]);
	g_rand_free(random);
}

/* ---- Faults ---- */

static struct proc *proc_at(const struct soak_faults *s, int i)
{
	return &s->system->cluster->procs[i];
}

static bool is_coordinator(const struct proc *p)
{
	return !strcmp(p->role, "coordinator");
}

static void start_again(struct soak_faults *s, int i)
{
	s->started_ms[i] = clock_now_ms();
	proc_start(s->system->cluster, proc_at(s, i));
}

/* Down for the first one that holds it, up after the last. */
static void hold(struct soak_faults *s, int i, bool planned)
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

static void release(struct soak_faults *s, int i)
{
	if (--s->held[i] == 0)
		start_again(s, i);
}

static void for_group(struct soak_faults *s, bool coordinators_only,
		      bool begins)
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

static void lose_disk(struct soak_faults *s, struct proc *p)
{
	g_autofree char *folder =
		g_strdup_printf("%s/%s", s->system->cluster->folder, p->name);
	g_autofree char *aside = g_strdup_printf("%s-lost", folder);

	s->disk_lost = true;
	g_rename(folder, aside);
	proc_set(p, "--first-start", "false");
}

static void freeze(struct soak_faults *s, int i, bool begins)
{
	if (s->held[i])
		return;
	if (begins)
		proc_freeze(proc_at(s, i));
	else
		proc_thaw(proc_at(s, i));
}

static void harm_relay(struct soak_faults *s, const struct fault *f,
		       bool begins)
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
		relay_blackhole_all(relay, f->way);
	else
		relay_blackhole_all(relay, RELAY_NONE);
	/* What went silent stays so; new connections work. */
	if (f->kind == FAULT_SILENCE && !begins)
		relay_blackhole_open(relay, RELAY_BOTH);
}

/* One disk is all that the group bears. */
static void wipe(struct soak_faults *s, struct fault *f)
{
	int i = f->target % SYSTEM_COORDINATORS;

	f->target = i;
	hold(s, i, false);
	if (!s->disk_lost && s->held[i] == 1)
		lose_disk(s, proc_at(s, i));
}

static void fill_disk(struct soak_faults *s, struct fault *f, bool begins)
{
	struct proc *p = proc_at(s, f->target % SYSTEM_COORDINATORS);

	if (p->pid && proc_running(p))
		proc_limit_file_size(p, begins ? 1 : -1);
}

static void change(struct soak_faults *s, struct fault *f, bool begins)
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
static void start_ended(struct soak_faults *s)
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

bool soak_faults_step(struct soak_faults *s, int64_t at_ms)
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

/* ---- Life ---- */

struct soak_faults *soak_faults_create(struct leased_system *system,
				       uint32_t seed)
{
	struct soak_faults *s = g_new0(struct soak_faults, 1);

	s->system = system;
	draw(s, seed);
	return s;
}

void soak_faults_destroy(struct soak_faults *s)
{
	g_free(s);
}

/* ---- Questions ---- */

bool soak_faults_planned_only(const struct soak_faults *s)
{
	return s->planned_only;
}

uint32_t soak_faults_count(const struct soak_faults *s)
{
	return (uint32_t)s->n_faults;
}

const char *soak_faults_broken(const struct soak_faults *s)
{
	return s->broken;
}

void soak_faults_tell(const struct soak_faults *s)
{
	for (int i = 0; i < s->n_faults; i++)
		fprintf(stderr, "fault: %s of %d from %d to %d ms (way %d)\n",
			fault_names[s->faults[i].kind], s->faults[i].target,
			(int)s->faults[i].begin_ms, (int)s->faults[i].end_ms,
			(int)s->faults[i].way);
}
