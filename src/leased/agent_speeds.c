/*
 * agent_speeds: the speeds of the agent's backend servers: feeds the estimates,
 * logs clear changes, and shows the speeds as gauges.
 */
#include "leased/agent_internal.h"

#include "base/logger.h"

#include <inttypes.h>
#include <math.h>

/* ---- Constants ------------------------------------------------------ */

#define MILLI 1000
/* A speed is logged when it has changed by a quarter since it was last logged.
 */
#define LOGGED_CHANGE 0.25

/* ---- Types ---------------------------------------------------------- */

struct agent_speed {
	struct speed_estimate *estimate;
	struct counter *gauge;
	double logged; /* factor; 1 if nothing was logged */
};

/* ---- Lifecycle ------------------------------------------------------ */

void agent_free_speed(gpointer data)
{
	struct agent_speed *s = data;

	gauge_set(s->gauge, 0);
	speed_estimate_destroy(s->estimate);
	g_free(s);
}

static struct agent_speed *find_speed(const struct leased_agent *a,
				      const char *server)
{
	return g_hash_table_lookup(a->speeds, server);
}

/* Returns the record of the server's present incarnation. */
static struct agent_speed *get_speed(struct leased_agent *a,
				     const struct server *server)
{
	const struct server_report *report = server_last_report(server);
	struct agent_speed *s = find_speed(a, report->name);

	if (!s) {
		g_autofree char *label =
			g_strdup_printf("server=\"%s\"", report->name);

		s = g_new0(struct agent_speed, 1);
		s->estimate = speed_estimate_create();
		s->gauge = gauge_get("server_speed_milli", label,
				     "run time / expected run time; 0: not "
				     "known");
		s->logged = 1;
		g_hash_table_insert(a->speeds, g_strdup(report->name), s);
	}
	speed_estimate_set_server(s->estimate, report->start_time_ms,
				  report->kind);
	return s;
}

/* ---- Runs ----------------------------------------------------------- */

void agent_count_speed(struct leased_agent *a, const struct server *server,
		       const struct run_result *result, int64_t now_ms)
{
	speed_estimate_add(get_speed(a, server)->estimate, result, now_ms);
}

static void watch_runs(struct agent_speed *s, struct server *server,
		       int64_t now_ms)
{
	g_autoptr(GArray) progress =
		g_array_new(FALSE, FALSE, sizeof(struct run_progress));

	run_table_list_progress(server_runs(server), now_ms, progress);
	speed_estimate_watch(s->estimate,
			     (const struct run_progress *)progress->data,
			     progress->len);
}

/* ---- Periodic work -------------------------------------------------- */

static void show_speed(struct agent_speed *s, const char *server,
		       int64_t now_ms)
{
	struct speed speed;
	double factor;

	speed_estimate_get(s->estimate, now_ms, &speed);
	factor = speed.sd > 0 ? exp(speed.log) : 1;
	gauge_set(s->gauge, speed.sd > 0 ? lround(factor * MILLI) : 0);
	if (fabs(factor / s->logged - 1) < LOGGED_CHANGE)
		return;
	log_event(LOG_INFO, "server_speed",
		  "server=%s speed_milli=%ld before_milli=%ld sd_milli=%ld "
		  "age_ms=%" PRId64,
		  server, lround(factor * MILLI), lround(s->logged * MILLI),
		  lround(speed.sd * MILLI), speed.age_ms);
	s->logged = factor;
}

static gboolean is_gone(gpointer name, gpointer value, gpointer agent)
{
	const struct leased_agent *a = agent;

	(void)value;
	return !g_hash_table_contains(a->servers, name);
}

void agent_update_speeds(struct leased_agent *a, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer name, server;

	g_hash_table_foreach_remove(a->speeds, is_gone, a);
	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, &name, &server)) {
		struct agent_speed *s = get_speed(a, server);

		watch_runs(s, server, now_ms);
		show_speed(s, name, now_ms);
	}
}

/* ---- Reports -------------------------------------------------------- */

void agent_get_speed(const struct leased_agent *a, const char *server,
		     int64_t now_ms, struct speed *speed)
{
	const struct agent_speed *s = find_speed(a, server);

	*speed = (struct speed){ 0 };
	if (s)
		speed_estimate_get(s->estimate, now_ms, speed);
}

int32_t agent_speed_step(const struct leased_agent *a, const char *server,
			 int64_t now_ms)
{
	struct agent_speed *s = find_speed(a, server);

	return s ? speed_estimate_step(s->estimate, now_ms)
		 : SPEED_STEP_UNKNOWN;
}
