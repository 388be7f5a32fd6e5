/*
 * many_crash: crashes of the servers of many_world. A crash ends all runs of
 * the server. Its agent notices it later, judges which class was the cause, and
 * the server comes back under another name.
 */
#include "support/many_internal.h"

#include "support/world_jobs.h"

#include <string.h>

/* ---- Constants ------------------------------------------------------ */

#define MS_PER_S 1000
/* The agent's connections are refused. */
#define NOTICED_AFTER_MS 40
/* The server's lease has ended, and the results of its runs are sent. */
#define SETTLED_AFTER_MS 680
#define DOWN_MS 3300
/* The agent takes the runs of a crash to have lasted up to this much longer. */
#define AGE_ERROR_MS 20

/* ---- Types ---------------------------------------------------------- */

struct crashed_run {
	struct run_name name;
	struct lost_run lost;
};

struct many_crash {
	int64_t crashed_ms, known_ms, settled_ms, back_ms; /* 0: it is up */
	uint32_t returns;
	GArray *runs; /* struct crashed_run */
	struct class_loss losses[CLASS_LOSSES_MAX]; /* of the last crash */
	size_t n_losses;
	int64_t noticed_ms; /* when that was noticed; 0: never */
	int64_t told_ms[MANY_DISPATCHERS_MAX]; /* the same, as reported */
};

struct many_crash *many_crash_create(void)
{
	struct many_crash *crash = g_new0(struct many_crash, 1);

	crash->runs = g_array_new(FALSE, FALSE, sizeof(struct crashed_run));
	return crash;
}

void many_crash_destroy(struct many_crash *crash)
{
	g_array_unref(crash->runs);
	g_free(crash);
}

bool many_crash_is_down(const struct many_crash *crash)
{
	return crash->crashed_ms != 0;
}

bool many_crash_is_known(const struct many_crash *crash)
{
	return crash->known_ms != 0;
}

uint32_t many_crash_returns(const struct many_crash *crash)
{
	return crash->returns;
}

/* ---- Crashes -------------------------------------------------------- */

bool many_crash_is_poison(struct many *m, size_t class)
{
	const struct many_load *load = m->load;

	return load->crash_fraction > 0 && class == load->crash_class &&
	       m->now_ms >= load->crash_from_ms &&
	       m->now_ms < load->crash_to_ms &&
	       g_rand_double(m->random) < load->crash_fraction;
}

static bool crashes_now(struct many *m, uint32_t server)
{
	const struct many_load *load = m->load;
	const struct many_server *s = &m->servers[server];

	if (load->rack_crashes_ms == m->now_ms && server < load->rack)
		return true;
	if (load->random_crashes_per_s > 0 && m->now_ms < load->arrivals_ms &&
	    g_rand_double(m->random) <
		    load->random_crashes_per_s / load->servers / MS_PER_S)
		return true;
	for (guint i = 0; i < s->runs->len; i++) {
		const struct many_run *run = g_ptr_array_index(s->runs, i);

		if (run->crashes_ms && m->now_ms >= run->crashes_ms)
			return true;
	}
	return false;
}

static void crash_server(struct many *m, struct many_server *s)
{
	struct many_crash *crash = s->crash;

	uint32_t error_ms =
		(uint32_t)g_rand_int_range(m->random, 0, AGE_ERROR_MS + 1);

	crash->crashed_ms = m->now_ms;
	crash->back_ms = m->now_ms + DOWN_MS;
	m->result->server_crashes++;
	g_array_set_size(crash->runs, 0);
	for (guint i = 0; i < s->runs->len; i++) {
		const struct many_run *run = g_ptr_array_index(s->runs, i);
		struct crashed_run lost = { .name = run->name };

		lost.lost.ran_ms =
			(uint32_t)(m->now_ms - run->started_ms) + error_ms;
		lost.lost.losses = run->losses;
		lost.lost.lost_after_ms = run->lost_after_ms;
		g_strlcpy(lost.lost.class_name,
			  m->load->classes[run->pace.class].name, CF_NAME_SIZE);
		g_array_append_val(crash->runs, lost);
	}
	g_ptr_array_set_size(s->runs, 0);
	g_array_set_size(s->ends, 0);
}

static void notice(struct many *m, struct many_server *s)
{
	struct many_crash *crash = s->crash;
	g_autoptr(GArray)
		lost = g_array_new(FALSE, FALSE, sizeof(struct lost_run));

	crash->known_ms = m->now_ms;
	for (guint i = 0; i < crash->runs->len; i++)
		g_array_append_val(
			lost,
			g_array_index(crash->runs, struct crashed_run, i).lost);
	crash->n_losses = loss_summarize((const struct lost_run *)lost->data,
					 lost->len, crash->losses);
	crash->noticed_ms = m->now_ms;
	s->changed = true;
}

void many_crash_step(struct many *m, uint32_t server)
{
	struct many_server *s = &m->servers[server];
	struct many_crash *crash = s->crash;

	if (!crash->crashed_ms) {
		if (crashes_now(m, server))
			crash_server(m, s);
	} else if (!crash->known_ms &&
		   m->now_ms >= crash->crashed_ms + NOTICED_AFTER_MS) {
		notice(m, s);
	} else if (!crash->settled_ms &&
		   m->now_ms >= crash->crashed_ms + SETTLED_AFTER_MS) {
		crash->settled_ms = m->now_ms;
		run_table_lease_expired(s->table, m->now_ms);
		s->changed = true;
	} else if (m->now_ms >= crash->back_ms) {
		crash->crashed_ms = crash->known_ms = crash->settled_ms = 0;
		crash->returns++;
		s->changed = true;
	}
	if (crash->known_ms)
		run_table_return_queued(s->table);
}

/* ---- Results and reports -------------------------------------------- */

/* Starts that came after the crash were refused by the host. */
void many_crash_settle(struct many *m, uint32_t server,
		       struct run_result *result)
{
	const struct many_crash *crash = m->servers[server].crash;
	struct world_job *job = g_hash_table_lookup(m->jobs, result->name.job);

	if (crash->settled_ms != m->now_ms ||
	    result->outcome != RUN_OUTCOME_STOPPED)
		return;
	result->outcome = RUN_OUTCOME_NOT_STARTED;
	for (guint i = 0; i < crash->runs->len; i++) {
		const struct crashed_run *run =
			&g_array_index(crash->runs, struct crashed_run, i);

		if (!run_name_equal(&run->name, &result->name))
			continue;
		result->outcome = RUN_OUTCOME_LOST;
		result->doubt = LOSS_CONFIRMED;
		result->run_ms = run->lost.ran_ms;
		job->lost_twice |= run->lost.losses &&
				   loss_is_young(run->lost.ran_ms);
	}
}

int64_t many_crash_report(const struct many *m, uint32_t server,
			  const struct class_loss **losses, size_t *n)
{
	const struct many_crash *crash = m->servers[server].crash;

	*losses = crash->losses;
	*n = crash->n_losses;
	return crash->noticed_ms;
}

bool many_crash_is_due(const struct many *m, uint32_t server,
		       uint32_t dispatcher)
{
	const struct many_crash *crash = m->servers[server].crash;

	return crash->told_ms[dispatcher] != crash->noticed_ms;
}

void many_crash_reported(struct many *m, uint32_t server, uint32_t dispatcher)
{
	struct many_crash *crash = m->servers[server].crash;

	crash->told_ms[dispatcher] = crash->noticed_ms;
}
