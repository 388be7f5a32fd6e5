/*
 * agent_peers: the dispatchers that an agent runs tasks for. It applies their
 * orders, requests the leases under which their runs may continue, and returns
 * the results. The runs of a dispatcher that reconnects before its lease ends
 * continue.
 */
#include "leased/agent_internal.h"

#include "base/logger.h"
#include "leased/leases.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* Results are kept this long for a dispatcher that reconnects. */
#define RECENT_RESULT_MS 3000
#define RECENT_RESULTS_MAX 2000
/* A disconnected dispatcher without a lease is removed after this time. */
#define PEER_EXPIRY_MS 10000

/* ---- Lifecycle ------------------------------------------------------ */

void agent_free_peer(gpointer data)
{
	struct peer *p = data;

	cf_lease_destroy(p->lease);
	g_array_unref(p->results);
	g_queue_free_full(p->recent, g_free);
	g_hash_table_destroy(p->sent_slowdowns);
	g_free(p);
}

static struct peer *find_peer(struct leased_agent *a, const struct link *link)
{
	uint64_t incarnation = link_peer(link)->incarnation;
	struct peer *p = g_hash_table_lookup(a->peers, &incarnation);

	return p && p->link == link ? p : NULL;
}

static struct peer *add_peer(struct leased_agent *a, struct link *link)
{
	struct peer *p = g_new0(struct peer, 1);

	p->incarnation = link_peer(link)->incarnation;
	g_strlcpy(p->name, link_peer(link)->name, sizeof(p->name));
	p->results = g_array_new(FALSE, FALSE, sizeof(struct run_result));
	p->recent = g_queue_new();
	p->sent_slowdowns =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->lease = cf_lease_create();
	g_hash_table_insert(a->peers, &p->incarnation, p);
	return p;
}

/* ---- Leases --------------------------------------------------------- */

static void request_lease(struct peer *p, int64_t now_ms)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__RunLeaseAsk request = CFW__RUN_LEASE_ASK__INIT;

	p->lease_requested_ms = now_ms;
	request.seq = cf_lease_request(p->lease, now_ms);
	envelope.body_case = CFW__ENVELOPE__BODY_RUN_LEASE_ASK;
	envelope.run_lease_ask = &request;
	link_send(p->link, &envelope);
}

static bool has_runs_of(const struct leased_agent *a, uint64_t dispatcher)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (run_table_has_dispatcher(server_runs(value), dispatcher))
			return true;
	return false;
}

/* Without runs, the lease is requested less often: it only has to be held
 * when the next start arrives. */
static bool lease_request_is_due(const struct leased_agent *a,
				 const struct peer *p, int64_t now_ms)
{
	if (!p->link || now_ms < p->lease_requested_ms + RUN_LEASE_RENEW_MS)
		return false;
	return now_ms >= p->lease_requested_ms + RUN_LEASE_RENEW_IDLE_MS ||
	       has_runs_of(a, p->incarnation);
}

void agent_request_leases(struct leased_agent *a, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *p = value;

		if (lease_request_is_due(a, p, now_ms))
			request_lease(p, now_ms);
	}
}

static void stop_runs_of(struct leased_agent *a, uint64_t dispatcher,
			 const struct run_name *kept, size_t n_kept)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		run_table_stop_others(server_runs(value), dispatcher, kept,
				      n_kept);
}

static void extend_leases(struct leased_agent *a, const struct peer *p)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		run_table_extend_lease(server_runs(value), p->incarnation,
				       cf_lease_end_ms(p->lease));
}

static void update_lease_state(struct leased_agent *a, struct peer *p,
			       int64_t now_ms)
{
	bool lease_held = cf_lease_held(p->lease, now_ms);

	if (lease_held == p->lease_held)
		return;
	p->lease_held = lease_held;
	log_event(lease_held ? LOG_INFO : LOG_WARN,
		  lease_held ? "run_lease_won" : "run_lease_lost",
		  "dispatcher=%s incarnation=%016" PRIx64 " connected=%d",
		  p->name, p->incarnation, p->link != NULL);
	if (lease_held)
		return;
	counter_add(a->lost_leases, 1);
	stop_runs_of(a, p->incarnation, NULL, 0);
}

void agent_expire_leases(struct leased_agent *a, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *p = value;

		update_lease_state(a, p, now_ms);
		while (p->recent->head &&
		       ((struct recent_result *)p->recent->head->data)
					       ->ended_ms +
				       RECENT_RESULT_MS <
			       now_ms)
			g_free(g_queue_pop_head(p->recent));
		if (!p->link && !p->lease_held &&
		    p->disconnected_ms + PEER_EXPIRY_MS < now_ms)
			g_hash_table_iter_remove(&iter);
	}
}

/* ---- Results -------------------------------------------------------- */

/* A job that crashes servers may be sent again to another dispatcher, so all
 * of them count its losses. The run number 0, which no run has, tells the
 * others that it isn't a run of theirs. */
static void tell_others_of_loss(struct leased_agent *a,
				const struct run_result *result)
{
	struct run_result foreign = *result;
	GHashTableIter iter;
	gpointer value;

	foreign.name.number = 0;
	g_hash_table_iter_init(&iter, a->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *p = value;

		if (p->link && p->incarnation != result->dispatcher)
			g_array_append_val(p->results, foreign);
	}
}

static void add_result(struct leased_agent *a, const struct run_result *result,
		       int64_t now_ms)
{
	struct peer *p = g_hash_table_lookup(a->peers, &result->dispatcher);
	struct recent_result recent = { *result, now_ms };
	bool is_lost = result->outcome == RUN_OUTCOME_LOST;

	log_event(LOG_INFO, "run_ended",
		  "job=%s index=%u number=%u outcome=%d run_ms=%u%s%s",
		  result->name.job, result->name.index, result->name.number,
		  result->outcome, result->run_ms, is_lost ? " doubt=" : "",
		  is_lost ? loss_doubt_name(result->doubt) : "");
	if (is_lost)
		tell_others_of_loss(a, result);
	if (!p)
		return;
	g_array_append_val(p->results, *result);
	g_queue_push_tail(p->recent, g_memdup2(&recent, sizeof(recent)));
	if (p->recent->length > RECENT_RESULTS_MAX)
		g_free(g_queue_pop_head(p->recent));
}

static void count_overrun(struct leased_agent *a,
			  const struct run_result *result, int64_t now_ms)
{
	uint32_t n_unlogged;

	if (lease_overruns_add(a->overruns, result->outlived_ms, now_ms,
			       &n_unlogged))
		log_event(LOG_WARN, "run_outlived_lease",
			  "job=%s index=%u number=%u by_ms=%" PRId64
			  " bound_ms=%d unlogged=%u",
			  result->name.job, result->name.index,
			  result->name.number, result->outlived_ms,
			  RUN_OUTLIVE_MAX_MS, n_unlogged);
}

void agent_collect_results(struct leased_agent *a, struct server *server)
{
	int64_t now_ms = loop_now_ms(a->loop);
	struct run_result result;

	while (run_table_pop_result(server_runs(server), &result)) {
		agent_count_result(a, server, &result, now_ms);
		count_overrun(a, &result, now_ms);
		add_result(a, &result, now_ms);
	}
	agent_count_losses(a, server, now_ms);
	agent_track_runs(a, server, now_ms);
}

static const struct run_result *find_recent(const struct peer *p,
					    const struct run_name *name)
{
	for (GList *l = p->recent->tail; l; l = l->prev) {
		const struct recent_result *recent = l->data;

		if (run_name_equal(&recent->result.name, name))
			return &recent->result;
	}
	return NULL;
}

/* ---- Orders --------------------------------------------------------- */

/* False if the name doesn't fit, so that no run of it can be told apart. */
static bool set_run_name(const char *job, uint32_t index, uint32_t number,
			 struct run_name *name)
{
	memset(name, 0, sizeof(*name));
	name->index = index;
	name->number = number;
	return g_strlcpy(name->job, job, sizeof(name->job)) < sizeof(name->job);
}

static void end_unstarted(struct leased_agent *a, const struct peer *p,
			  const struct run_name *name, enum run_outcome outcome,
			  int64_t now_ms)
{
	struct run_result result = { .dispatcher = p->incarnation,
				     .name = *name,
				     .outcome = outcome };

	add_result(a, &result, now_ms);
}

static void refuse_start(struct leased_agent *a, const struct peer *p,
			 const struct run_name *name, const char *reason,
			 int64_t now_ms)
{
	log_event(LOG_INFO, "run_not_taken",
		  "job=%s index=%u number=%u why=\"%s\"", name->job,
		  name->index, name->number, reason);
	end_unstarted(a, p, name, RUN_OUTCOME_NOT_STARTED, now_ms);
}

/* A dispatcher of an earlier version may send ids that its callers chose at
 * will. */
static void count_unusable(struct leased_agent *a, const struct peer *p,
			   const char *order, const char *field)
{
	uint32_t n_unlogged;

	counter_add(a->bad_orders, 1);
	if (wire_fault_is_logged(&a->order_faults, loop_now_ms(a->loop),
				 &n_unlogged))
		log_event(LOG_WARN, "run_order_unusable",
			  "dispatcher=%s order=%s field=%s unlogged=%u",
			  p->name, order, field, n_unlogged);
}

/* The dispatcher counts on the run until it gets a result. */
static void refuse_unusable_start(struct leased_agent *a, const struct peer *p,
				  const Cfw__RunStart *start, const char *field,
				  int64_t now_ms)
{
	struct run_name name;

	count_unusable(a, p, "start", field);
	if (set_run_name(start->job, start->index, start->number, &name))
		end_unstarted(a, p, &name, RUN_OUTCOME_UNREADABLE, now_ms);
}

static bool read_stop(struct leased_agent *a, const struct peer *p,
		      const char *order, const Cfw__RunStop *stop,
		      struct run_name *name)
{
	const char *field = wire_check_stop(stop);

	if (field)
		count_unusable(a, p, order, field);
	return !field &&
	       set_run_name(stop->job, stop->index, stop->number, name);
}

static void accept_start(struct leased_agent *a, struct peer *p,
			 const Cfw__RunStart *start, int64_t now_ms)
{
	struct server *server = g_hash_table_lookup(a->servers, start->server);
	struct run_request run = { .dispatcher = p->incarnation };
	const char *unusable_field = wire_check_start(start);

	p->received++;
	if (unusable_field) {
		refuse_unusable_start(a, p, start, unusable_field, now_ms);
		return;
	}
	set_run_name(start->job, start->index, start->number, &run.name);
	if (!p->lease_held) {
		refuse_start(a, p, &run.name, "dispatcher lease is not held",
			     now_ms);
		return;
	}
	if (!server || !agent_accepts(a, server, now_ms)) {
		refuse_start(a, p, &run.name, "server is not accepting runs",
			     now_ms);
		return;
	}
	run.spec = g_bytes_new(start->spec.data, start->spec.len);
	run.cpu_milli = start->cpu_milli;
	run.memory_mb = start->memory_mb;
	run.accelerators = start->accelerators;
	run.target_start_ms = now_ms + start->slack_ms;
	run.deadline_ms = now_ms + start->deadline_ms;
	run.lease_end_ms = cf_lease_end_ms(p->lease);
	run.expected_ms = start->expected_ms;
	run.losses = start->losses;
	run.lost_after_ms = start->lost_after_ms;
	g_strlcpy(run.class_name, start->class_name, sizeof(run.class_name));
	capacity_share_mark_used(server_capacity_share(server), p->incarnation);
	run_table_enqueue(server_runs(server), &run, now_ms);
	g_bytes_unref(run.spec);
}

static void stop_everywhere(struct leased_agent *a, uint64_t dispatcher,
			    const struct run_name *name)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		run_table_stop(server_runs(value), dispatcher, name);
}

static bool has_run(struct leased_agent *a, uint64_t dispatcher,
		    const struct run_name *name)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (run_table_has(server_runs(value), dispatcher, name))
			return true;
	return false;
}

/* A run whose name can't be used was never taken: its result is told now. */
static bool read_kept(struct leased_agent *a, const struct peer *p,
		      const Cfw__RunStop *run, struct run_name *name,
		      int64_t now_ms)
{
	if (read_stop(a, p, "kept", run, name))
		return true;
	if (set_run_name(run->job, run->index, run->number, name))
		end_unstarted(a, p, name, RUN_OUTCOME_UNREADABLE, now_ms);
	return false;
}

/* After a reconnect, the dispatcher lists the runs whose results it still
 * expects. All its other runs are stopped. Runs that go on are left alone,
 * results that it missed are sent again, and runs that never arrived are
 * reported as not started. */
static void resume(struct leased_agent *a, struct peer *p,
		   const Cfw__RunOrders *orders, int64_t now_ms)
{
	struct run_name *kept = g_new0(struct run_name, orders->n_kept + 1);
	size_t n_kept = 0;

	g_array_set_size(p->results, 0);
	for (size_t i = 0; i < orders->n_kept; i++)
		n_kept +=
			read_kept(a, p, orders->kept[i], &kept[n_kept], now_ms);
	stop_runs_of(a, p->incarnation, kept, n_kept);
	for (size_t i = 0; i < n_kept; i++) {
		const struct run_result *recent = find_recent(p, &kept[i]);

		if (has_run(a, p->incarnation, &kept[i]))
			continue;
		if (recent)
			g_array_append_val(p->results, *recent);
		else
			refuse_start(a, p, &kept[i],
				     "start order was not received", now_ms);
	}
	g_free(kept);
}

static void process_servers(struct leased_agent *a, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_process(value, now_ms);
		agent_collect_results(a, value);
	}
	agent_send_reports(a, now_ms);
}

static void apply_orders(struct leased_agent *a, struct peer *p,
			 const Cfw__RunOrders *orders)
{
	int64_t now_ms = loop_now_ms(a->loop);
	struct run_name name;

	update_lease_state(a, p, now_ms);
	agent_set_demand(a, p, orders->wants_room);
	if (orders->resume)
		resume(a, p, orders, now_ms);
	for (size_t i = 0; i < orders->n_starts; i++)
		accept_start(a, p, orders->starts[i], now_ms);
	for (size_t i = 0; i < orders->n_stops; i++) {
		if (read_stop(a, p, "stop", orders->stops[i], &name))
			stop_everywhere(a, p->incarnation, &name);
	}
	process_servers(a, now_ms);
}

/* ---- Handlers ------------------------------------------------------- */

static void up(void *arg, struct link *link)
{
	struct leased_agent *a = arg;
	uint64_t incarnation = link_peer(link)->incarnation;
	struct peer *p = g_hash_table_lookup(a->peers, &incarnation);
	struct link *old;

	if (session_link_up(a->session, link) ||
	    link_peer(link)->role != CFW__ROLE__ROLE_DISPATCHER)
		return;
	if (!p)
		p = add_peer(a, link);
	old = p->link;
	p->link = link;
	p->disconnected_ms = 0;
	p->received = 0;
	if (old)
		link_close(old);
	log_event(LOG_INFO, "dispatcher_connected",
		  "dispatcher=%s incarnation=%016" PRIx64, p->name,
		  p->incarnation);
	request_lease(p, loop_now_ms(a->loop));
	p->sent_digest = 0;
	g_hash_table_remove_all(p->sent_slowdowns);
	agent_send_reports(a, loop_now_ms(a->loop));
}

static void down(void *arg, struct link *link)
{
	struct leased_agent *a = arg;
	struct peer *p;

	if (session_link_down(a->session, link))
		return;
	p = find_peer(a, link);
	if (!p)
		return;
	p->link = NULL;
	agent_remove_participant(a, p->incarnation);
	p->disconnected_ms = loop_now_ms(a->loop);
	log_event(LOG_WARN, "dispatcher_lost",
		  "dispatcher=%s lease_left_ms=%" PRId64, p->name,
		  cf_lease_end_ms(p->lease) - p->disconnected_ms);
}

static void message(void *arg, struct link *link, const Cfw__Envelope *envelope)
{
	struct leased_agent *a = arg;
	struct peer *p;

	if (session_handle_message(a->session, link, envelope))
		return;
	p = find_peer(a, link);
	if (!p || agent_pass_cancel_on(a, p, envelope))
		return;
	if (envelope->body_case == CFW__ENVELOPE__BODY_RUN_ORDERS) {
		apply_orders(a, p, envelope->run_orders);
	} else if (envelope->body_case == CFW__ENVELOPE__BODY_RUN_LEASE) {
		cf_lease_grant(p->lease, envelope->run_lease->seq, RUN_LEASE_MS,
			       0, loop_now_ms(a->loop));
		extend_leases(a, p);
		update_lease_state(a, p, loop_now_ms(a->loop));
	}
}

const struct link_handlers agent_link_handlers = {
	.up = up,
	.message = message,
	.down = down,
};
