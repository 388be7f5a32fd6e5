/*
 * admit_account: the classes, teams and capacity of an admitter, and the
 * queued and running work of each.
 */
#include "lib/admit_state.h"

#include <math.h>
#include <string.h>

/* Interval between two computations of the shares. */
static const int64_t SHARE_STEP_MS = 50;
/* Time constant of the wait fraction's recovery. */
static const double WAIT_FRACTION_RECOVERY_MS = 4000;

/* ---- Work ----------------------------------------------------------- */

static void subtract_floored(double *work_ms, double amount_ms)
{
	*work_ms = MAX(*work_ms - amount_ms, 0.0);
}

void admit_work_add_waiting(struct admit_work *work,
			    const struct cf_admit_job *job)
{
	work->waiting_ms += job->work_ms;
}

static void work_move(struct admit_work *work, uint32_t tasks, double work_ms)
{
	subtract_floored(&work->waiting_ms, work_ms);
	work->running_ms += work_ms;
	work->running_tasks += tasks;
}

static void work_finish(struct admit_work *work, uint32_t tasks, double work_ms)
{
	subtract_floored(&work->running_ms, work_ms);
	work->running_tasks -= MIN(work->running_tasks, tasks);
}

/* Counts as placed all tasks that were not counted one by one. */
static void work_start(struct admit_work *work, const struct cf_admit_job *job)
{
	work_move(work, job->n_tasks - MIN(job->placed_tasks, job->n_tasks),
		  job->work_ms - MIN(job->placed_ms, job->work_ms));
}

void admit_work_end(struct admit_work *work, const struct cf_admit_job *job,
		    bool was_started)
{
	uint32_t tasks = was_started ? job->n_tasks : job->placed_tasks;
	uint32_t work_ms = was_started ? job->work_ms : job->placed_ms;

	subtract_floored(&work->waiting_ms,
			 job->work_ms - MIN(work_ms, job->work_ms));
	work_finish(work, tasks - MIN(job->ended_tasks, tasks),
		    work_ms - MIN(job->ended_ms, work_ms));
}

/* ---- Classes, teams and capacity ------------------------------------ */

struct cf_admitter *cf_admitter_create(uint64_t seed)
{
	struct cf_admitter *admitter = g_new0(struct cf_admitter, 1);

	admitter->classes =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	admitter->teams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	admitter->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
	return admitter;
}

void cf_admitter_destroy(struct cf_admitter *admitter)
{
	if (admitter == NULL)
		return;
	g_hash_table_destroy(admitter->classes);
	g_hash_table_destroy(admitter->teams);
	g_rand_free(admitter->random);
	g_free(admitter->shares);
	g_free(admitter);
}

static void set_class(GHashTable *classes, struct admit_class *old,
		      const struct cf_admit_class *class)
{
	struct admit_class *state = g_new0(struct admit_class, 1);

	if (old != NULL)
		*state = *old;
	else
		state->wait_fraction = ADMIT_WAIT_FRACTION_MAX;
	state->class = *class;
	admit_share_set(&state->share, class->percentile_milli);
	g_hash_table_replace(classes, state->class.name, state);
}

static void set_team(GHashTable *teams, const struct admit_team *old,
		     const struct cf_team *team)
{
	struct admit_team *state = g_new0(struct admit_team, 1);

	if (old != NULL)
		*state = *old;
	state->share_milli = team->share_milli;
	g_hash_table_replace(teams, g_strdup(team->name), state);
}

static void step_shares(struct cf_admitter *admitter, int64_t elapsed_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, admitter->classes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admit_class *state = value;

		state->share.waiting_ms = state->work.waiting_ms;
		state->wait_fraction +=
			(ADMIT_WAIT_FRACTION_MAX - state->wait_fraction) *
			(1 -
			 exp(-(double)elapsed_ms / WAIT_FRACTION_RECOVERY_MS));
	}
	admit_share_step(admitter->shares, admitter->n_shares, admitter->slots,
			 elapsed_ms);
	admitter->overload = admit_share_overload(
		admitter->shares, admitter->n_shares, admitter->slots);
}

static void list_shares(struct cf_admitter *admitter)
{
	GHashTableIter iter;
	gpointer value;

	admitter->n_shares = 0;
	admitter->shares = g_renew(struct admit_share *, admitter->shares,
				   g_hash_table_size(admitter->classes) + 1);
	g_hash_table_iter_init(&iter, admitter->classes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admit_class *state = value;

		admitter->shares[admitter->n_shares++] = &state->share;
	}
	step_shares(admitter, 1);
}

void cf_admitter_set_classes(struct cf_admitter *admitter,
			     const struct cf_admit_class *classes,
			     size_t n_classes, const struct cf_team *teams,
			     size_t n_teams)
{
	GHashTable *new_classes =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTable *new_teams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (size_t i = 0; i < n_classes; i++)
		set_class(
			new_classes,
			g_hash_table_lookup(admitter->classes, classes[i].name),
			&classes[i]);
	for (size_t i = 0; i < n_teams; i++)
		set_team(new_teams,
			 g_hash_table_lookup(admitter->teams, teams[i].name),
			 &teams[i]);
	g_hash_table_destroy(admitter->classes);
	g_hash_table_destroy(admitter->teams);
	admitter->classes = new_classes;
	admitter->teams = new_teams;
	list_shares(admitter);
}

void admit_step(struct cf_admitter *admitter, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - admitter->last_step_ms;

	if (admitter->stepped && elapsed_ms < SHARE_STEP_MS)
		return;
	if (admitter->stepped)
		step_shares(admitter, elapsed_ms);
	admitter->stepped = true;
	admitter->last_step_ms = now_ms;
}

void cf_admitter_set_capacity(struct cf_admitter *admitter, uint32_t slots,
			      int64_t now_ms)
{
	admit_step(admitter, now_ms);
	admitter->slots = slots;
}

/* ---- Jobs in progress ----------------------------------------------- */

struct admit_team *admit_find_team(const struct cf_admitter *admitter,
				   const struct cf_admit_job *job)
{
	if (job->team == NULL || job->team[0] == '\0')
		return NULL;
	return g_hash_table_lookup(admitter->teams, job->team);
}

void cf_admitter_placed(struct cf_admitter *admitter, struct cf_admit_job *job,
			uint32_t work_ms, int64_t now_ms)
{
	struct admit_class *state =
		g_hash_table_lookup(admitter->classes, job->class_name);
	struct admit_team *team = admit_find_team(admitter, job);

	admit_step(admitter, now_ms);
	work_move(&admitter->total, 1, work_ms);
	if (state != NULL)
		work_move(&state->work, 1, work_ms);
	if (team != NULL)
		work_move(&team->work, 1, work_ms);
	job->placed_tasks++;
	job->placed_ms += work_ms;
}

void cf_admitter_task_ended(struct cf_admitter *admitter,
			    struct cf_admit_job *job, uint32_t work_ms,
			    int64_t now_ms)
{
	struct admit_class *state =
		g_hash_table_lookup(admitter->classes, job->class_name);
	struct admit_team *team = admit_find_team(admitter, job);

	admit_step(admitter, now_ms);
	work_finish(&admitter->total, 1, work_ms);
	if (state != NULL)
		work_finish(&state->work, 1, work_ms);
	if (team != NULL)
		work_finish(&team->work, 1, work_ms);
	job->ended_tasks++;
	job->ended_ms += work_ms;
}

void cf_admitter_started(struct cf_admitter *admitter,
			 const struct cf_admit_job *job, int64_t now_ms)
{
	struct admit_class *state =
		g_hash_table_lookup(admitter->classes, job->class_name);
	struct admit_team *team = admit_find_team(admitter, job);

	admit_step(admitter, now_ms);
	work_start(&admitter->total, job);
	if (state != NULL)
		work_start(&state->work, job);
	if (team != NULL)
		work_start(&team->work, job);
}
