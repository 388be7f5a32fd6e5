/*
 * speed_observer: see speed_observer.h.
 */
#include "support/speed_observer.h"

#include "leased/speed_view.h"

#include <glib.h>

/* ---- Constants ------------------------------------------------------ */

/* A server with at least this factor seems slow. */
#define SLOW_FACTOR 1.25
/* Of the slow servers, and of the others, that have to be judged rightly. */
#define KNOWN_FRACTION 0.9

/* ---- Types ---------------------------------------------------------- */

struct speed_observer {
	const struct many_load *load;
	struct speed_view *view;
};

/* ---- Observation ---------------------------------------------------- */

double many_server_factor(const struct many_load *load, uint32_t server,
			  int64_t now_ms)
{
	double factor = 1;

	if (load->slow_every)
		factor = server % load->slow_every ? load->fast_factor
						   : load->slow_factor;
	/* Every fifth server, beginning with the second. */
	if (load->turned_from_ms && now_ms >= load->turned_from_ms &&
	    server % 5 == 1 && server / 5 < load->turned)
		factor *= load->turned_factor;
	return factor;
}

struct speed_observer *speed_observer_create(const struct many_load *load)
{
	struct speed_observer *o = g_new0(struct speed_observer, 1);

	o->load = load;
	o->view = speed_view_create();
	return o;
}

void speed_observer_destroy(struct speed_observer *o)
{
	speed_view_destroy(o->view);
	g_free(o);
}

void speed_observer_update(struct speed_observer *o, uint32_t server,
			   const struct server_state *state, int64_t now_ms)
{
	struct speed_report report = { .log = state->speed_log,
				       .sd = state->speed_sd };

	speed_view_update(o->view, server, &report, now_ms);
}

static bool are_known(const struct speed_observer *o)
{
	uint32_t slow = 0, right = 0, mistaken = 0;

	for (uint32_t i = 0; i < o->load->servers; i++) {
		bool is_slow = i % o->load->slow_every == 0;
		bool seems_slow = speed_view_factor(o->view, i) >= SLOW_FACTOR;

		slow += is_slow;
		right += is_slow && seems_slow;
		mistaken += !is_slow && seems_slow;
	}
	return right >= slow * KNOWN_FRACTION &&
	       mistaken <= (o->load->servers - slow) * (1 - KNOWN_FRACTION);
}

void speed_observer_check(struct speed_observer *o, struct world_result *result,
			  uint32_t jobs, int64_t now_ms)
{
	if (!o->load->slow_every || result->jobs_until_known)
		return;
	speed_view_refresh(o->view, now_ms);
	if (!are_known(o))
		return;
	result->jobs_until_known = jobs;
	result->ms_until_known = now_ms;
}
