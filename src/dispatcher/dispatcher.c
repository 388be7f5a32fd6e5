/*
 * dispatcher: the process on an entry host. It accepts jobs over HTTP, claims
 * their idempotency keys, places their tasks on agents and combines the results
 * into one complete answer.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/logger.h"
#include "base/trace_file.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

#define TICK_MS 20
/* Wait for connections to all agents before HTTP opens to callers. */
#define OPEN_TIMEOUT_MS 1000
#define STOP_POLL_MS 10
/* Time without open requests before the HTTP server counts as drained. */
#define STOP_IDLE_MS 100
#define LEAVE_WAIT_MS 100
#define EJECT_MAX_MILLI 300
#define RETRY_RATIO_MILLI 200
#define RETRY_BURST 200

/* ---- Messages ---- */

static void on_message(void *arg, struct link *link,
		       const Cfw__Envelope *envelope)
{
	struct dispatcher *d = arg;

	if (session_handle_message(d->session, link, envelope))
		return;
	switch (envelope->body_case) {
	case CFW__ENVELOPE__BODY_CLAIM_REPLY:
		claim_handle_reply(d, envelope->claim_reply);
		break;
	case CFW__ENVELOPE__BODY_RESULTS:
		settle_results(d, link, envelope->results);
		break;
	case CFW__ENVELOPE__BODY_QUERY_REPLY:
		settle_query_reply(d, link, envelope->query_reply);
		break;
	case CFW__ENVELOPE__BODY_LOAD:
		if (link_data(link))
			agents_apply_load(d, link_data(link), envelope->load);
		break;
	case CFW__ENVELOPE__BODY_FORWARD:
		peer_handle_forward(d, link, envelope->forward);
		break;
	case CFW__ENVELOPE__BODY_FORWARD_REPLY:
		peer_handle_reply(d, envelope->forward_reply);
		break;
	default:
		counter_add(d->counters.crossed, 1);
		break;
	}
}

static void on_up(void *arg, struct link *link)
{
	struct dispatcher *d = arg;

	if (!session_link_up(d->session, link) && !agents_link_up(d, link))
		peer_link_up(d, link);
}

static void on_down(void *arg, struct link *link)
{
	struct dispatcher *d = arg;

	if (!session_link_down(d->session, link) && !agents_link_down(d, link))
		peer_link_down(d, link);
}

/* ---- Session ---- */

static size_t list_classes(const struct cf_config *config,
			   struct cf_admit_class **out)
{
	const struct cf_class *classes;
	size_t n = cf_config_classes(config, &classes), i;

	*out = g_new0(struct cf_admit_class, n + 1);
	for (i = 0; i < n; i++) {
		g_strlcpy((*out)[i].name, classes[i].name, CF_NAME_SIZE);
		(*out)[i].target_ms = classes[i].target_ms;
		(*out)[i].percentile_milli = classes[i].percentile_milli;
	}
	return n;
}

static void on_config(void *arg)
{
	struct dispatcher *d = arg;
	const struct cf_config *config = session_config(d->session);
	const struct cf_team *teams;
	struct cf_admit_class *classes;
	size_t n_teams = cf_config_teams(config, &teams);
	size_t n = list_classes(config, &classes);

	request_config_publish(&d->request_config, config, d->settings);
	cf_admitter_set_classes(d->admitter, classes, n, teams, n_teams);
	cf_burn_set_classes(d->burn, classes, n);
	g_free(classes);
	agents_refresh_all(d);
	place_schedule(d);
}

/* Opens the HTTP server once this dispatcher can serve requests: when it is
 * connected to all agents on the roster, or after OPEN_TIMEOUT_MS with the
 * agents that it has reached by then. */
static void open_http_when_ready(struct dispatcher *d, int64_t now_ms)
{
	GError *error = NULL;

	if (d->http || d->stopping || !d->first_roster_ms)
		return;
	if (!agents_all_up(d) && now_ms - d->first_roster_ms < OPEN_TIMEOUT_MS)
		return;
	if (dispatcher_open_http(d, &error)) {
		log_event(LOG_INFO, "ready", "http=%u",
			  http_server_port(d->http));
		return;
	}
	log_event(LOG_ERROR, "start_failed", "reason=\"%s\"", error->message);
	g_clear_error(&error);
	d->failed = true;
	role_request_stop();
}

static void on_roster(void *arg, const Cfw__Roster *roster)
{
	struct dispatcher *d = arg;

	agents_apply_roster(d, roster);
	peer_apply_roster(d, roster);
	if (!d->first_roster_ms)
		d->first_roster_ms = clock_now_ms();
}

static void on_lease(void *arg, bool held)
{
	struct dispatcher *d = arg;

	admin_set_ready(d->admin, held && !d->stopping,
			held ? "stopping" : "no lease");
	place_schedule(d);
}

static void on_fenced(void *arg)
{
	struct dispatcher *d = arg;

	/* Other dispatchers may have adopted its keys, so the state of its jobs
	 * is no longer authoritative. */
	d->fenced = true;
	log_event(LOG_ERROR, "fenced", "incarnation=%016" PRIx64,
		  d->incarnation);
	while (d->active->len) {
		struct dispatcher_job *j = d->active->pdata[d->active->len - 1];

		jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "fenced",
			    "this dispatcher was taken for dead", 0);
	}
	role_request_stop();
}

static void on_tick(void *arg, int64_t now_ms)
{
	struct dispatcher *d = arg;

	agents_tick(d, now_ms);
	open_http_when_ready(d, now_ms);
	jobs_tick(d, now_ms);
	peer_tick(d, now_ms);
	place_schedule(d);
}

/* ---- Start and stop ---- */

static void *APR_THREAD_FUNC run_loop(apr_thread_t *thread, void *arg)
{
	struct dispatcher *d = arg;

	(void)thread;
	loop_run(d->loop);
	return NULL;
}

static void open_counters(struct dispatcher_counters *c)
{
	c->jobs = counter_get("jobs_total", NULL, "Jobs that were taken");
	c->complete = counter_get("jobs_ended_total", "answer=\"complete\"",
				  "Jobs by their answer");
	c->failed = counter_get("jobs_ended_total", "answer=\"unknown\"", NULL);
	c->not_run =
		counter_get("jobs_ended_total", "answer=\"not-run\"", NULL);
	c->resubmitted = counter_get("jobs_resubmitted_total", NULL,
				     "Resubmissions of a known key");
	c->claims = counter_get("claims_asked_total", NULL,
				"Claims put to the coordinators");
	c->forwards = counter_get("forwards_total", NULL,
				  "Requests passed to other dispatchers");
	c->adoptions = counter_get("adoptions_total", NULL,
				   "Keys taken over from dead owners");
	c->moves = counter_get("task_moves_total", NULL,
			       "Tasks fenced at an agent and placed again");
	c->queries =
		counter_get("queries_total", NULL, "Queries sent to agents");
	c->cancels = counter_get("cancels_total", NULL,
				 "Cancellations sent to agents");
	c->crossed = counter_get("messages_crossed_total", NULL,
				 "Answers that nothing here waits for");
	c->dropped_answers = counter_get("answers_forgotten_total", NULL,
					 "Kept answers dropped for room");
	c->tasks_sent =
		counter_get("tasks_sent_total", NULL, "Tasks sent to agents");
	c->in_progress =
		gauge_get("jobs_in_progress", NULL, "Jobs without an answer");
	c->waiting = gauge_get("jobs_waiting", NULL,
			       "Jobs with tasks that are not placed");
	c->agents = gauge_get("agents_known", NULL, "Agents on the roster");
	c->usable = gauge_get("agents_usable", NULL,
			      "Agents that may be sent tasks just now");
	c->slots = gauge_get("slots_usable", NULL,
			     "Slots of usable agents, without those that other "
			     "dispatchers' tasks take");
}

static struct link_hub *open_hub(struct dispatcher *d, GError **error)
{
	const struct settings *s = d->settings;
	struct link_options options = {
		.self = { CFW__ROLE__ROLE_DISPATCHER, settings_text(s, "name"),
			  d->incarnation, 0, settings_text(s, "data-centre") },
		.heartbeat_ms = settings_number(s, "heartbeat-ms"),
		.connections_max = d->doors[DOOR_LINKS].connections_max,
		.held_max_bytes = d->doors[DOOR_LINKS].held_max_bytes,
	};
	static const struct link_handlers handlers = { on_up, on_message,
						       on_down };
	struct link_hub *hub = link_hub_create(d->loop, &options, &handlers, d);

	if (!link_hub_listen(hub, settings_text(s, "listen"), &d->port,
			     error)) {
		link_hub_destroy(hub);
		return NULL;
	}
	return hub;
}

static void open_session(struct dispatcher *d)
{
	const struct settings *s = d->settings;
	static const struct session_handlers handlers = { on_config, on_roster,
							  on_lease, on_fenced };
	char *address = role_address(s, d->port);
	struct session_options options = {
		.loop = d->loop,
		.hub = d->hub,
		.role = CFW__ROLE__ROLE_DISPATCHER,
		.incarnation = d->incarnation,
		.name = settings_text(s, "name"),
		.data_centre = settings_text(s, "data-centre"),
		.address = address,
		.coordinators = settings_list(s, "coordinators"),
	};

	d->session = session_create(&options, &handlers, d);
	g_free(address);
}

static void open_tables(struct dispatcher *d)
{
	d->jobs = g_hash_table_new(cf_key_hash, cf_key_hash_equal);
	d->active = g_ptr_array_new();
	d->memory = g_queue_new();
	/* Kept longer than voters keep their votes, even if a voter's clock is
	 * behind by the permitted skew. */
	d->dropped_keys = cf_ledger_create(
		CF_LEDGER_HORIZON_MS + 2 * CF_CLOCK_SKEW_MS, 0);
	d->claims = g_ptr_array_new();
	d->waiting = g_ptr_array_new();
	d->agents = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  agents_free);
	d->placement_agents =
		g_array_new(FALSE, TRUE, sizeof(struct cf_place_agent));
	d->agents_by_position = g_ptr_array_new();
	d->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 peer_free);
	d->inbound_links = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	d->lookups = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   peer_lookup_free);
}

static void open_policy(struct dispatcher *d)
{
	const char *placer = settings_text(d->settings, "placer");
	uint64_t seed = (uint64_t)settings_number(d->settings, "seed");

	if (!seed)
		seed = clock_random();
	d->placer = cf_placer_create(placer, seed);
	d->predict = cf_predict_create();
	d->admitter = cf_admitter_create(seed);
	d->health = cf_health_create(EJECT_MAX_MILLI);
	d->burn = cf_burn_create();
	d->retries = cf_retry_budget_create(RETRY_RATIO_MILLI, RETRY_BURST);
	d->fifo = strcmp(placer, "finish") != 0;
	d->claim_along = !strcmp(settings_text(d->settings, "claim"), "along");
}

static bool open_all(struct dispatcher *d, GError **error)
{
	role_divide_doors(d->settings, DOORS_FOR_REQUESTS, d->doors);
	d->loop = loop_create(error);
	if (!d->loop)
		return false;
	d->hub = open_hub(d, error);
	if (!d->hub)
		return false;
	d->admin = admin_create(settings_text(d->settings, "admin"),
				&d->doors[DOOR_ADMIN], error);
	if (!d->admin)
		return false;
	dispatcher_add_routes(d);
	if (!admin_start(d->admin, error))
		return false;
	open_session(d);
	d->timer = loop_timer_create(d->loop, on_tick, d);
	loop_timer_start(d->timer, TICK_MS, TICK_MS);
	return true;
}

static void close_tables(struct dispatcher *d)
{
	GHashTableIter iter;
	struct dispatcher_job *j;

	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&j))
		jobs_free(j);
	g_hash_table_destroy(d->jobs);
	g_ptr_array_free(d->active, TRUE);
	g_queue_free(d->memory);
	cf_ledger_destroy(d->dropped_keys);
	g_ptr_array_free(d->claims, TRUE);
	g_ptr_array_free(d->waiting, TRUE);
	g_hash_table_destroy(d->agents);
	g_array_free(d->placement_agents, TRUE);
	g_ptr_array_free(d->agents_by_position, TRUE);
	g_hash_table_destroy(d->peers);
	g_hash_table_destroy(d->inbound_links);
	g_hash_table_destroy(d->lookups);
}

static void close_all(struct dispatcher *d)
{
	http_server_destroy(d->http);
	admin_destroy(d->admin);
	if (d->timer)
		loop_timer_destroy(d->timer);
	session_destroy(d->session);
	link_hub_destroy(d->hub);
	close_tables(d);
	loop_destroy(d->loop);
	cf_placer_destroy(d->placer);
	cf_predict_destroy(d->predict);
	cf_admitter_destroy(d->admitter);
	cf_health_destroy(d->health);
	cf_burn_destroy(d->burn);
	cf_retry_budget_destroy(d->retries);
	request_config_destroy(&d->request_config);
	apr_pool_destroy(d->pool);
	g_free(d);
}

static void begin_session(void *arg)
{
	struct dispatcher *d = arg;

	session_begin(d->session);
}

struct dispatcher *dispatcher_start(const struct settings *settings,
				    GError **error)
{
	struct dispatcher *d = g_new0(struct dispatcher, 1);
	apr_status_t status;

	d->settings = settings;
	d->incarnation = clock_random();
	apr_pool_create(&d->pool, NULL);
	open_counters(&d->counters);
	open_tables(d);
	open_policy(d);
	if (!role_open_trace(settings, d->incarnation, error) ||
	    !open_all(d, error)) {
		close_all(d);
		return NULL;
	}
	loop_post(d->loop, begin_session, d);
	status = apr_thread_create(&d->thread, NULL, run_loop, d, d->pool);
	if (status != APR_SUCCESS) {
		role_set_error(error, "thread", status);
		close_all(d);
		return NULL;
	}
	log_event(LOG_INFO, "started",
		  "incarnation=%016" PRIx64 " port=%u admin=%u", d->incarnation,
		  d->port, admin_port(d->admin));
	return d;
}

static void begin_stop(void *arg)
{
	struct dispatcher *d = arg;

	d->stopping = true;
	admin_set_ready(d->admin, false, "stopping");
	session_set_draining(d->session, true);
	if (d->http)
		http_server_quiesce(d->http);
	g_atomic_int_set(&d->quiesced, 1);
}

static void leave(void *arg)
{
	struct dispatcher *d = arg;

	session_leave(d->session);
	link_flush(d->hub, LEAVE_WAIT_MS);
	g_atomic_int_set(&d->session_left, 1);
}

/* Waits until requests in progress are answered after the HTTP server has
 * stopped accepting. Returns the number still open at end_ms. */
static int wait_for_requests(struct dispatcher *d, int64_t end_ms)
{
	int64_t idle_since_ms = clock_now_ms();
	int open;

	/* A keep-alive connection may carry one more request. */
	do {
		g_usleep(STOP_POLL_MS * 1000);
		open = g_atomic_int_get(&d->unanswered) +
		       !g_atomic_int_get(&d->quiesced);
		if (!open && d->http)
			open = (int)http_server_open_requests(d->http);
		if (open)
			idle_since_ms = clock_now_ms();
	} while (clock_now_ms() - idle_since_ms < STOP_IDLE_MS &&
		 clock_now_ms() < end_ms);
	return open;
}

void dispatcher_stop(struct dispatcher *d)
{
	int64_t end_ms =
		clock_now_ms() + settings_number(d->settings, "stop-wait-ms");
	int cut_off;
	apr_status_t status;

	trace_event("stop_begin", NULL);
	log_event(LOG_INFO, "stopping", NULL);
	loop_post(d->loop, begin_stop, d);
	cut_off = wait_for_requests(d, end_ms);
	loop_post(d->loop, leave, d);
	while (!g_atomic_int_get(&d->session_left))
		g_usleep(STOP_POLL_MS * 1000);
	loop_stop(d->loop);
	apr_thread_join(&status, d->thread);
	trace_event("stop_end", "in_progress=%d", cut_off);
	trace_close();
	log_event(LOG_INFO, "stopped", "in_progress=%d", cut_off);
	close_all(d);
}

int dispatcher_main(const struct settings *settings)
{
	GError *error = NULL;
	struct dispatcher *d = dispatcher_start(settings, &error);
	bool failed;

	if (!d)
		return role_start_failed(error);
	role_wait_for_stop();
	failed = d->fenced || d->failed;
	dispatcher_stop(d);
	return failed;
}
