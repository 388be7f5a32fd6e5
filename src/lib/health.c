/*
 * health: decides how much work each backend server gets.
 *
 * A server that fails far more tasks than its peers is ejected for a time
 * that doubles with each ejection (exponential backoff). It then gets one
 * slot's work on probation, and after that its weight rises gradually. Envoy
 * and Finagle call these mechanisms outlier detection and slow start. The
 * number of ejected servers is capped: when many servers fail, the fault
 * lies in the work or in something that they share. Slowness is measured
 * relative to the median of the peers, so that a wrong prediction, which
 * affects all servers alike, makes none of them count as slow.
 */
#include "chervilferry.h"

#include <math.h>
#include <stdlib.h>

static const uint32_t EJECT_FAILURES = 5; /* consecutive failures */
/* Failure rate of recent tasks at which a server may be ejected. */
static const double EJECT_RATE = 0.5;
/* Recent tasks needed to judge by the rate. */
static const double EJECT_RATE_TASKS_MIN = 10;
/* A server is ejected only if its failure rate exceeds the peers' median by
 * this. */
static const double EJECT_RATE_MARGIN = 0.3;
/* Each recent task counts this fraction of the one after it. */
static const double RECENT_DECAY = 0.95;
static const int64_t EJECT_MS = 2000; /* length of the first ejection */
static const int64_t EJECT_MAX_MS = 60000;
/* After this time in a healthy state, one ejection is taken off the count. */
static const int64_t EJECTION_DECAY_MS = 60000;
/* Tasks that must succeed on probation. */
static const uint32_t PROBATION_TASKS = 5;
static const uint32_t PROBATION_WEIGHT = 100;
/* Weight at the start of the slow start, in 1/1000. */
static const uint32_t SLOW_START_WEIGHT = 250;
static const int64_t SLOW_START_MS = 4000; /* time until the full weight */
/* Weight of the newest task in the average. */
static const double SLOWNESS_STEP = 0.05;
/* Weight of a task that is much slower than the peers. */
static const double SLOWNESS_STEP_OUTLIER = 0.15;
/* Such a task takes three times as long; this is the logarithm. */
static const double OUTLIER_LOG_RATIO = 1.1;
/* A smaller ratio to the peers is taken as chance. */
static const double SLOWNESS_NOISE = 1.4;
static const uint32_t RESULTS_MIN = 5; /* Results needed to judge by. */
/* Slowness from which a server gets one task at a time. */
static const double PROBE_SLOWNESS = 2.5;
/* Logarithm of the greatest ratio counted. */
static const double LOG_RATIO_MAX = 3.0;
/* Time constant with which slowness decays while no result arrives. */
static const double SLOWNESS_DECAY_MS = 30000;
static const double SLOWNESS_MAX = 20;

struct server {
	uint64_t agent;
	enum cf_health_state state;
	int64_t since_ms; /* start of the state */
	int64_t until_ms; /* EJECTED: end of the ejection */
	uint32_t ejections; /* recent ejections; each doubles the next one */
	int64_t ejections_decayed_ms;
	uint32_t consecutive_failures;
	double recent_tasks; /* decaying number of tasks */
	double recent_failed;
	uint32_t probation_successes;
	uint32_t results;
	double log_ratio; /* decaying mean of log(run time / predicted) */
	double peers_log_ratio; /* median when slowness was computed */
	double slowness;
	bool probed; /* slow by its last result: gets one slot's work */
	int64_t last_result_ms; /* time of the last result */
};

struct cf_health {
	uint32_t eject_max_milli;
	GHashTable *servers; /* agent to struct server */
	bool changed;
	int64_t ticked_ms;
};

/* ---- Servers -------------------------------------------------------- */

struct cf_health *cf_health_create(uint32_t eject_max_milli)
{
	struct cf_health *health = g_new0(struct cf_health, 1);

	health->eject_max_milli = MIN(eject_max_milli, 1000U);
	health->servers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	return health;
}

void cf_health_destroy(struct cf_health *health)
{
	if (health == NULL)
		return;
	g_hash_table_destroy(health->servers);
	g_free(health);
}

static struct server *find(const struct cf_health *health, uint64_t agent)
{
	return g_hash_table_lookup(health->servers, &agent);
}

static void enter_state(struct cf_health *health, struct server *server,
			enum cf_health_state state, int64_t now_ms)
{
	server->state = state;
	server->since_ms = now_ms;
	server->probation_successes = 0;
	health->changed = true;
}

static struct server *add(struct cf_health *health, uint64_t agent,
			  int64_t now_ms)
{
	struct server *server = g_new0(struct server, 1);

	server->agent = agent;
	server->slowness = 1.0;
	server->ejections_decayed_ms = now_ms;
	server->last_result_ms = now_ms;
	g_hash_table_insert(health->servers, &server->agent, server);
	return server;
}

void cf_health_join(struct cf_health *health, uint64_t agent, int64_t now_ms)
{
	struct server *server = find(health, agent);

	if (server == NULL) {
		server = add(health, agent, now_ms);
	} else if (server->state == CF_HEALTH_EJECTED ||
		   server->state == CF_HEALTH_PROBATION) {
		return; /* Joining again must not cut an ejection short. */
	}
	enter_state(health, server, CF_HEALTH_SLOW_START, now_ms);
}

void cf_health_add(struct cf_health *health, uint64_t agent, int64_t now_ms)
{
	if (find(health, agent) == NULL)
		add(health, agent, now_ms);
}

void cf_health_leave(struct cf_health *health, uint64_t agent)
{
	g_hash_table_remove(health->servers, &agent);
}

void cf_health_sent(struct cf_health *health, uint64_t agent, uint32_t n_tasks,
		    int64_t now_ms)
{
	struct server *server = find(health, agent);

	/* A server that was sent no work for a while has no recent result even
	 * if it is healthy, so the age counts from the latest send. */
	if (server != NULL && n_tasks > 0)
		server->last_result_ms = MAX(server->last_result_ms, now_ms);
}

/* ---- Medians -------------------------------------------------------- */

static int compare_values(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double failure_rate(const struct server *server)
{
	return server->recent_tasks > 0
		       ? server->recent_failed / server->recent_tasks
		       : 0;
}

enum measure {
	MEASURE_FAILURES,
	MEASURE_LOG_RATIO,
};

/* Median over all servers with enough results, except one; 0 if there are
 * none. */
static double median_of_peers(const struct cf_health *health,
			      const struct server *excluded,
			      enum measure measure)
{
	double *values = g_new(double, g_hash_table_size(health->servers) + 1);
	size_t n = 0;
	double median = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, health->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct server *server = value;

		if (server == excluded || server->results < RESULTS_MIN)
			continue;
		values[n++] = measure == MEASURE_FAILURES ? failure_rate(server)
							  : server->log_ratio;
	}
	qsort(values, n, sizeof(*values), compare_values);
	if (n > 0)
		median = (values[(n - 1) / 2] + values[n / 2]) / 2;
	g_free(values);
	return median;
}

static bool has_peers(const struct cf_health *health,
		      const struct server *excluded)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, health->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct server *server = value;

		if (server != excluded && server->results >= RESULTS_MIN)
			return true;
	}
	return false;
}

/* ---- Ejection ------------------------------------------------------- */

/* At least one server may be ejected if there are others. */
static bool may_eject(const struct cf_health *health)
{
	uint32_t n = g_hash_table_size(health->servers);
	uint32_t most =
		(uint32_t)((uint64_t)n * health->eject_max_milli / 1000);
	uint32_t out = 0;
	GHashTableIter iter;
	gpointer value;

	if (n < 2 || health->eject_max_milli == 0)
		return false;
	g_hash_table_iter_init(&iter, health->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct server *server = value;

		out += server->state == CF_HEALTH_EJECTED ||
		       server->state == CF_HEALTH_PROBATION;
	}
	return out < MAX(most, 1U);
}

static void eject(struct cf_health *health, struct server *server,
		  int64_t now_ms)
{
	int64_t length_ms = EJECT_MS << MIN(server->ejections, 10U);

	enter_state(health, server, CF_HEALTH_EJECTED, now_ms);
	server->until_ms = now_ms + MIN(length_ms, EJECT_MAX_MS);
	server->ejections++;
	server->ejections_decayed_ms = now_ms;
	server->consecutive_failures = 0;
	server->recent_tasks = 0;
	server->recent_failed = 0;
}

static bool fails_more_than_peers(const struct cf_health *health,
				  const struct server *server)
{
	double others;

	if (server->consecutive_failures < EJECT_FAILURES &&
	    (server->recent_tasks < EJECT_RATE_TASKS_MIN * 0.75 ||
	     failure_rate(server) < EJECT_RATE))
		return false;
	others = median_of_peers(health, server, MEASURE_FAILURES);
	return failure_rate(server) > others + EJECT_RATE_MARGIN;
}

static void count_result(struct cf_health *health, struct server *server,
			 bool ok, int64_t now_ms)
{
	server->recent_tasks = server->recent_tasks * RECENT_DECAY + 1;
	server->recent_failed =
		server->recent_failed * RECENT_DECAY + (ok ? 0 : 1);
	server->consecutive_failures = ok ? 0
					  : server->consecutive_failures + 1;
	switch (server->state) {
	case CF_HEALTH_EJECTED: /* The task was sent before the ejection. */
		break;
	case CF_HEALTH_PROBATION:
		if (!ok)
			eject(health, server, now_ms);
		else if (++server->probation_successes >= PROBATION_TASKS)
			enter_state(health, server, CF_HEALTH_SLOW_START,
				    now_ms);
		break;
	case CF_HEALTH_HEALTHY:
	case CF_HEALTH_SLOW_START:
		if (!ok && fails_more_than_peers(health, server) &&
		    may_eject(health))
			eject(health, server, now_ms);
		break;
	}
}

/* ---- Slowness ------------------------------------------------------- */

static void update_slowness(const struct cf_health *health,
			    struct server *server)
{
	double slowness;

	if (server->results < RESULTS_MIN || !has_peers(health, server))
		return;
	server->peers_log_ratio =
		median_of_peers(health, server, MEASURE_LOG_RATIO);
	slowness = exp(server->log_ratio - server->peers_log_ratio);
	server->slowness = CLAMP(slowness, 1 / SLOWNESS_MAX, SLOWNESS_MAX);
	server->probed = slowness >= PROBE_SLOWNESS;
}

/* A single task far slower than the peers may be chance, but several show a
 * straggler. They weigh more, so that few tasks are lost to it. */
static void learn_slowness(const struct cf_health *health,
			   struct server *server, uint32_t run_ms,
			   uint32_t predicted_ms)
{
	double ratio = log(MAX(run_ms, 1U) / (double)MAX(predicted_ms, 1U));
	double median = median_of_peers(health, server, MEASURE_LOG_RATIO);
	double step = MAX(SLOWNESS_STEP, 1.0 / (server->results + 1));

	ratio = CLAMP(ratio, -LOG_RATIO_MAX, LOG_RATIO_MAX);
	if (server->results >= RESULTS_MIN &&
	    ratio - median > OUTLIER_LOG_RATIO)
		step = MAX(step, SLOWNESS_STEP_OUTLIER);
	server->log_ratio += (ratio - server->log_ratio) * step;
	update_slowness(health, server);
}

void cf_health_result(struct cf_health *health, uint64_t agent, bool ok,
		      uint32_t run_ms, uint32_t predicted_ms, int64_t now_ms)
{
	struct server *server = find(health, agent);

	if (server == NULL)
		return;
	server->last_result_ms = now_ms;
	if (ok) /* The run time of a failed task doesn't show the speed. */
		learn_slowness(health, server, run_ms, predicted_ms);
	server->results++;
	count_result(health, server, ok, now_ms);
}

void cf_health_overdue(struct cf_health *health, uint64_t agent,
		       uint32_t run_ms, uint32_t predicted_ms, int64_t now_ms)
{
	struct server *server = find(health, agent);

	if (server == NULL)
		return;
	server->last_result_ms = now_ms;
	learn_slowness(health, server, run_ms, predicted_ms);
	server->results++;
}

/* Earlier results are compared with the new predictions. Otherwise a slowness
 * that these include would count twice until new results replace the old. */
void cf_health_rescale(struct cf_health *health, uint64_t agent, double factor)
{
	struct server *server = find(health, agent);

	if (server == NULL || server->results == 0)
		return;
	server->log_ratio -= log(factor);
	if (server->results >= RESULTS_MIN)
		server->slowness /= factor;
	server->probed &= exp(server->log_ratio - server->peers_log_ratio) >=
			  PROBE_SLOWNESS;
}

/* ---- Time ----------------------------------------------------------- */

static void tick_state(struct cf_health *health, struct server *server,
		       int64_t now_ms)
{
	if (server->state == CF_HEALTH_EJECTED && now_ms >= server->until_ms)
		enter_state(health, server, CF_HEALTH_PROBATION, now_ms);
	if (server->state == CF_HEALTH_SLOW_START &&
	    now_ms >= server->since_ms + SLOW_START_MS)
		enter_state(health, server, CF_HEALTH_HEALTHY, now_ms);
	if (server->state == CF_HEALTH_HEALTHY && server->ejections > 0 &&
	    now_ms >= server->ejections_decayed_ms + EJECTION_DECAY_MS) {
		server->ejections--;
		server->ejections_decayed_ms = now_ms;
	}
}

/* Lets the slowness of a server without results decay towards 1, so that
 * placement tries it again. */
static void tick_slowness(struct server *server, int64_t elapsed_ms,
			  int64_t now_ms)
{
	double keep = exp(-(double)elapsed_ms / SLOWNESS_DECAY_MS);

	if (now_ms - server->last_result_ms < 1000)
		return;
	server->slowness = exp(log(server->slowness) * keep);
}

bool cf_health_tick(struct cf_health *health, int64_t now_ms)
{
	int64_t elapsed_ms = health->ticked_ms > 0 ? now_ms - health->ticked_ms
						   : 0;
	bool changed;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, health->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tick_state(health, value, now_ms);
		tick_slowness(value, elapsed_ms, now_ms);
	}
	health->ticked_ms = now_ms;
	changed = health->changed;
	health->changed = false;
	return changed;
}

/* ---- Queries -------------------------------------------------------- */

enum cf_health_state cf_health_state(const struct cf_health *health,
				     uint64_t agent)
{
	const struct server *server = find(health, agent);

	return server != NULL ? server->state : CF_HEALTH_HEALTHY;
}

static bool any_healthy(const struct cf_health *health)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, health->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct server *server = value;

		if (server->state == CF_HEALTH_HEALTHY)
			return true;
	}
	return false;
}

/* A slow start is useful only while healthy servers carry the load. */
static uint32_t slow_start_weight(const struct cf_health *health,
				  const struct server *server, int64_t now_ms)
{
	int64_t warmed_ms = CLAMP(now_ms - server->since_ms, 0, SLOW_START_MS);

	if (!any_healthy(health) && server->ejections == 0)
		return 1000;
	return SLOW_START_WEIGHT + (uint32_t)((1000 - SLOW_START_WEIGHT) *
					      warmed_ms / SLOW_START_MS);
}

uint32_t cf_health_weight_milli(const struct cf_health *health, uint64_t agent,
				int64_t now_ms)
{
	const struct server *server = find(health, agent);

	if (server == NULL)
		return 1000;
	switch (server->state) {
	case CF_HEALTH_EJECTED:
		return 0;
	case CF_HEALTH_PROBATION:
		return PROBATION_WEIGHT;
	case CF_HEALTH_SLOW_START:
	case CF_HEALTH_HEALTHY:
		break;
	}
	/* The slowness decays while the server gets no work, so only a
	 * result can show that it is fast again. */
	if (server->probed)
		return PROBATION_WEIGHT;
	return server->state == CF_HEALTH_SLOW_START
		       ? slow_start_weight(health, server, now_ms)
		       : 1000;
}

double cf_health_slowness(const struct cf_health *health, uint64_t agent)
{
	const struct server *server = find(health, agent);

	if (server == NULL || (server->slowness < SLOWNESS_NOISE &&
			       server->slowness > 1 / SLOWNESS_NOISE))
		return 1.0;
	return server->slowness;
}
