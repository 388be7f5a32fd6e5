/*
 * agent_losses: what was lost when the backend server on this host last
 * crashed. All dispatchers are told, so that together the crashes of several
 * hosts show which class causes them.
 */
#include "leased/agent_internal.h"

#include "base/logger.h"

/* ---- Constants ------------------------------------------------------ */

/* A crash is reported this long: to dispatchers that connect meanwhile too. */
#define REPORTED_MS 2000

/* ---- Types ---------------------------------------------------------- */

struct agent_losses {
	int64_t crashed_ms; /* 0: never */
	struct class_loss losses[CLASS_LOSSES_MAX];
	size_t n;
	uint32_t crashes; /* so far */
};

struct agent_losses *agent_create_losses(void)
{
	return g_new0(struct agent_losses, 1);
}

/* ---- Crashes -------------------------------------------------------- */

void agent_count_losses(struct leased_agent *a, struct server *server,
			int64_t now_ms)
{
	g_autoptr(GArray) lost = run_table_take_lost(server_runs(server));
	struct agent_losses *losses = a->losses;

	if (!lost->len)
		return;
	losses->n = loss_summarize((const struct lost_run *)lost->data,
				   lost->len, losses->losses);
	losses->crashed_ms = now_ms;
	losses->crashes++;
	for (size_t i = 0; i < losses->n; i++)
		log_event(LOG_INFO, "class_lost",
			  "server=%s class=%s ran_ms=%u repeats=%d",
			  server_last_report(server)->name,
			  losses->losses[i].class_name,
			  losses->losses[i].ran_ms, losses->losses[i].repeats);
}

/* ---- Reports -------------------------------------------------------- */

/* The entries are allocated as one block, to which the first points. */
void agent_fill_losses(const struct leased_agent *a, int64_t now_ms,
		       Cfw__ServerState *state)
{
	struct agent_losses *losses = a->losses;
	Cfw__ClassLoss *entries;

	if (!losses->n || now_ms - losses->crashed_ms >= REPORTED_MS)
		return;
	entries = g_new(Cfw__ClassLoss, losses->n);
	state->losses = g_new(Cfw__ClassLoss *, losses->n);
	state->n_losses = losses->n;
	for (size_t i = 0; i < losses->n; i++) {
		cfw__class_loss__init(&entries[i]);
		entries[i].class_name = losses->losses[i].class_name;
		entries[i].age_ms = (uint32_t)(now_ms - losses->crashed_ms);
		entries[i].ran_ms = losses->losses[i].ran_ms;
		entries[i].repeats = losses->losses[i].repeats;
		state->losses[i] = &entries[i];
	}
}

void agent_clear_losses(Cfw__ServerState *state)
{
	if (state->n_losses)
		g_free(state->losses[0]);
	g_free(state->losses);
}

uint32_t agent_count_crashes(const struct leased_agent *a)
{
	return a->losses->crashes;
}
