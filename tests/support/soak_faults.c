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

#define FAULT_WINDOW_MS 6000
#define FAULTS_MIN 3
#define FAULTS_MAX 7
#define FAULT_DURATION_MIN_MS 50
#define FAULT_DURATION_MAX_MS 2500
/* One in so many seeds has planned stops only. */
#define PLANNED_ONLY_MODULUS 6
#define RELAY_DELAY_MS 15
#define STARTUP_MS 1000
/* The time after which the platform kills a process that does not follow a
 * stop: graceS in the users' example of a settings file. */
#define GRACE_MS 6000

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
	FAULT_KIND_COUNT,
};

static const char *const fault_names[FAULT_KIND_COUNT] = {
	"kill",         "freeze",    "stop",    "kill all", "kill coordinators",
	"wipe",         "full disk", "silence", "reset",    "slow",
	"server crash",
};

struct fault {
	enum fault_kind kind;
	int64_t begin_ms, end_ms;
	int target; /* index of a process or a relay */
	enum relay_direction way;
	bool begun, over;
};

struct process_state {
	int holds; /* number of faults that hold the process down */
	int64_t started_ms;
	bool frozen;
	int64_t stop_ms; /* time of the planned stop in progress, or 0 */
	bool stop_while_starting;
	bool stop_while_frozen; /* frozen during a part of the stop */
};

struct soak_faults {
	struct leased_system *system;
	bool planned_only;
	struct fault faults[FAULTS_MAX];
	int n_faults;
	struct process_state processes[CLUSTER_PROCS_MAX];
	uint32_t stop_kills;
	uint32_t restarts; /* of processes that exited unexpectedly */
	bool disk_lost;
	char violation[120];
};

static void record_violation(struct soak_faults *s, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void record_violation(struct soak_faults *s, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	if (!s->violation[0])
		g_vsnprintf(s->violation, sizeof(s->violation), format, args);
	va_end(args);
}

/* ---- Drawing ---- */

static void draw_fault(GRand *random, const struct soak_faults *s,
		       struct fault *f)
{
	f->kind =
		(enum fault_kind)g_rand_int_range(random, 0, FAULT_KIND_COUNT);
	if (s->planned_only)
		f->kind = FAULT_STOP;
	f->begin_ms = g_rand_int_range(random, 0, FAULT_WINDOW_MS);
	f->end_ms = f->begin_ms + g_rand_int_range(random,
						   FAULT_DURATION_MIN_MS,
						   FAULT_DURATION_MAX_MS);
	f->target = g_rand_int_range(random, 0, s->system->cluster->n_procs);
	f->way = (enum relay_direction)g_rand_int_range(random, RELAY_TO_TARGET,
							RELAY_BOTH + 1);
}

static void draw_faults(struct soak_faults *s, uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);

	s->planned_only = seed % PLANNED_ONLY_MODULUS == 3;
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

static void restart_process(struct soak_faults *s, int i)
{
	s->processes[i].started_ms = clock_now_ms();
	s->processes[i].frozen = false;
	proc_start(s->system->cluster, proc_at(s, i));
}

static void kill_process(struct soak_faults *s, int i)
{
	s->processes[i].stop_ms = 0;
	proc_kill(proc_at(s, i));
}

static void begin_stop(struct soak_faults *s, int i)
{
	struct process_state *state = &s->processes[i];

	if (state->stop_ms || !proc_at(s, i)->pid)
		return;
	state->stop_ms = clock_now_ms();
	state->stop_while_starting = state->stop_ms - state->started_ms <=
				     STARTUP_MS;
	state->stop_while_frozen = state->frozen;
	proc_terminate(proc_at(s, i));
}

/* Kills a process that has not followed its stop within the grace time, as the
 * platform does. Only a process that was frozen meanwhile may need that. */
static void follow_stop(struct soak_faults *s, int i)
{
	struct process_state *state = &s->processes[i];
	struct proc *p = proc_at(s, i);
	int status;

	if (!state->stop_ms)
		return;
	status = proc_wait(p, 0);
	if (p->pid) {
		if (clock_now_ms() - state->stop_ms < GRACE_MS)
			return;
		s->stop_kills++;
		kill_process(s, i);
		if (!state->stop_while_frozen)
			record_violation(
				s, "%s: a planned stop took more than %d ms",
				p->name, GRACE_MS);
		return;
	}
	state->stop_ms = 0;
	/* A process that is still starting may be ended by the signal itself,
	 * so its status is not checked. */
	if (status != 0 && !state->stop_while_starting)
		record_violation(
			s, "%s: a planned stop did not exit with status 0",
			p->name);
}

/* Faults that overlap may hold the same process down. The first one ends the
 * process, and a kill also ends a process that is being stopped. */
static void add_hold(struct soak_faults *s, int i, bool planned)
{
	s->processes[i].holds++;
	if (!planned)
		kill_process(s, i);
	else if (s->processes[i].holds == 1)
		begin_stop(s, i);
}

/* The last fault to be released starts the process again, or restart_exited()
 * does once the process has followed its stop. */
static void release_hold(struct soak_faults *s, int i)
{
	if (--s->processes[i].holds == 0 && !proc_at(s, i)->pid)
		restart_process(s, i);
}

static void hold_group(struct soak_faults *s, bool coordinators_only,
		       bool begins)
{
	for (int i = 0; i < s->system->cluster->n_procs; i++) {
		if (coordinators_only && !is_coordinator(proc_at(s, i)))
			continue;
		if (begins)
			add_hold(s, i, false);
		else
			release_hold(s, i);
	}
}

static void remove_disk(struct soak_faults *s, struct proc *p)
{
	g_autofree char *folder =
		g_strdup_printf("%s/%s", s->system->cluster->folder, p->name);
	g_autofree char *moved_folder = g_strdup_printf("%s-lost", folder);

	s->disk_lost = true;
	g_rename(folder, moved_folder);
	proc_set(p, "--first-start", "false");
}

static void set_frozen(struct soak_faults *s, int i, bool begins)
{
	struct process_state *state = &s->processes[i];

	if (!proc_at(s, i)->pid)
		return;
	state->frozen = begins;
	state->stop_while_frozen |= begins;
	if (begins)
		proc_freeze(proc_at(s, i));
	else
		proc_thaw(proc_at(s, i));
}

static void disturb_relay(struct soak_faults *s, const struct fault *f,
			  bool begins)
{
	int i = f->target % (2 * SYSTEM_AGENTS);
	struct relay *relay =
		i < SYSTEM_AGENTS ? s->system->agent_relays[i]
				  : s->system->server_relays[i - SYSTEM_AGENTS];

	if (f->kind == FAULT_SLOW)
		relay_delay(relay, begins ? RELAY_DELAY_MS : 0);
	else if (f->kind == FAULT_RESET)
		relay_reset_open(relay);
	else if (begins)
		relay_blackhole_all(relay, f->way);
	else
		relay_blackhole_all(relay, RELAY_NONE);
	/* Connections that were blocked stay blocked; new ones work. */
	if (f->kind == FAULT_SILENCE && !begins)
		relay_blackhole_open(relay, RELAY_BOTH);
}

/* Removes at most one disk, as the group of coordinators can't survive the loss
 * of two. */
static void wipe_disk(struct soak_faults *s, struct fault *f)
{
	int i = f->target % SYSTEM_COORDINATORS;

	f->target = i;
	add_hold(s, i, false);
	if (!s->disk_lost && s->processes[i].holds == 1)
		remove_disk(s, proc_at(s, i));
}

static void fill_disk(struct soak_faults *s, struct fault *f, bool begins)
{
	int i = f->target % SYSTEM_COORDINATORS;
	struct proc *p = proc_at(s, i);

	/* A process that is being stopped must still exit with status 0. */
	if (begins && s->processes[i].stop_ms)
		return;
	if (p->pid && proc_running(p))
		proc_limit_file_size(p, begins ? 1 : -1);
}

static void switch_fault(struct soak_faults *s, struct fault *f, bool begins)
{
	switch (f->kind) {
	case FAULT_KILL:
	case FAULT_STOP:
		if (begins)
			add_hold(s, f->target, f->kind == FAULT_STOP);
		else
			release_hold(s, f->target);
		break;
	case FAULT_FREEZE:
		set_frozen(s, f->target, begins);
		break;
	case FAULT_KILL_ALL:
	case FAULT_KILL_COORDINATORS:
		hold_group(s, f->kind == FAULT_KILL_COORDINATORS, begins);
		break;
	case FAULT_WIPE:
		if (begins)
			wipe_disk(s, f);
		else
			release_hold(s, f->target);
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
		disturb_relay(s, f, begins);
		break;
	}
}

/* Restarts processes that have exited unexpectedly, as the platform does, and
 * those that have followed a stop after its fault was over. */
static void restart_exited(struct soak_faults *s)
{
	for (int i = 0; i < s->system->cluster->n_procs; i++) {
		struct process_state *state = &s->processes[i];
		struct proc *p = proc_at(s, i);
		bool stopping = state->stop_ms;

		follow_stop(s, i);
		if (state->holds || state->stop_ms || proc_running(p))
			continue;
		if (!stopping)
			s->restarts++;
		if (s->planned_only && !stopping)
			record_violation(s, "%s exited unexpectedly", p->name);
		restart_process(s, i);
	}
}

static bool stops_in_progress(const struct soak_faults *s)
{
	for (int i = 0; i < s->system->cluster->n_procs; i++)
		if (s->processes[i].stop_ms)
			return true;
	return false;
}

bool soak_faults_step(struct soak_faults *s, int64_t at_ms)
{
	bool pending = false;

	for (int i = 0; i < s->n_faults; i++) {
		struct fault *f = &s->faults[i];

		if (!f->begun && at_ms >= f->begin_ms) {
			f->begun = true;
			switch_fault(s, f, true);
		} else if (f->begun && !f->over && at_ms >= f->end_ms) {
			f->over = true;
			switch_fault(s, f, false);
		}
		pending |= !f->over;
	}
	restart_exited(s);
	return pending || stops_in_progress(s) || at_ms < FAULT_WINDOW_MS;
}

/* ---- Lifecycle ---- */

struct soak_faults *soak_faults_create(struct leased_system *system,
				       uint32_t seed)
{
	struct soak_faults *s = g_new0(struct soak_faults, 1);

	s->system = system;
	draw_faults(s, seed);
	return s;
}

void soak_faults_destroy(struct soak_faults *s)
{
	g_free(s);
}

/* ---- Queries ---- */

bool soak_faults_planned_only(const struct soak_faults *s)
{
	return s->planned_only;
}

uint32_t soak_faults_count(const struct soak_faults *s)
{
	return (uint32_t)s->n_faults;
}

uint32_t soak_faults_stop_kills(const struct soak_faults *s)
{
	return s->stop_kills;
}

uint32_t soak_faults_restarts(const struct soak_faults *s)
{
	return s->restarts;
}

const char *soak_faults_violation(const struct soak_faults *s)
{
	return s->violation;
}

void soak_faults_print(const struct soak_faults *s)
{
	for (int i = 0; i < s->n_faults; i++)
		fprintf(stderr, "fault: %s of %d from %d to %d ms (way %d)\n",
			fault_names[s->faults[i].kind], s->faults[i].target,
			(int)s->faults[i].begin_ms, (int)s->faults[i].end_ms,
			(int)s->faults[i].way);
}
