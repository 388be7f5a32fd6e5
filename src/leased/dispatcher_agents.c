/*
 * dispatcher_agents: the connections to agents. Orders and lease grants are
 * sent; lease requests and reports are received. The orders of one loop
 * iteration are sent in one message.
 */
#include "leased/dispatcher_internal.h"

#include "base/clock.h"
#include "base/logger.h"

#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* An agent that is off the roster this long and not connected is dropped. */
#define UNLISTED_DROP_MS 10000
/* An agent that can't be reached for this long is replaced by another one. */
#define DIAL_TIMEOUT_MS 300
/* A connection outside the subset is closed after this time if no run needs
 * it. */
#define UNSELECTED_CLOSE_MS 5000
/* The subset is selected again periodically, as agents are lost and return. */
#define SELECT_INTERVAL_MS 250

/* ---- Lookup --------------------------------------------------------- */

/* Returns NULL if the connection is to a coordinator or a dispatcher. */
static struct agent_link *find_by_link(const struct link *link)
{
	return link_data(link);
}

static struct agent_link *find_by_agent(const struct leased_dispatcher *d,
					uint64_t incarnation)
{
	for (guint i = 0; i < d->links->len; i++) {
		struct agent_link *a = g_ptr_array_index(d->links, i);

		if (a->incarnation == incarnation)
			return a;
	}
	return NULL;
}

static struct agent_link *find_by_address(const struct leased_dispatcher *d,
					  const char *address)
{
	for (guint i = 0; i < d->links->len; i++) {
		struct agent_link *a = g_ptr_array_index(d->links, i);

		if (!strcmp(a->address, address))
			return a;
	}
	return NULL;
}

/* ---- Orders --------------------------------------------------------- */

static void free_start(gpointer data)
{
	Cfw__RunStart *start = data;

	g_free(start->job);
	g_free(start->server);
	g_free(start->class_name);
	g_free(start->spec.data);
	g_free(start);
}

static void free_stop(gpointer data)
{
	Cfw__RunStop *stop = data;

	g_free(stop->job);
	g_free(stop);
}

static void flush_orders(void *arg)
{
	struct agent_link *a = arg;
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__RunOrders orders = CFW__RUN_ORDERS__INIT;

	a->flush_due = false;
	orders.n_starts = a->starts->len;
	orders.starts = (Cfw__RunStart **)a->starts->pdata;
	orders.n_stops = a->stops->len;
	orders.stops = (Cfw__RunStop **)a->stops->pdata;
	envelope.body_case = CFW__ENVELOPE__BODY_RUN_ORDERS;
	envelope.run_orders = &orders;
	orders.wants_room = dispatch_has_demand(a->dispatcher->dispatch);
	/* What a lost connection did not deliver is sent on reconnect. */
	if (a->link && (orders.n_starts || orders.n_stops ||
			orders.wants_room != a->sent_has_demand))
		link_send(a->link, &envelope);
	a->sent_has_demand = orders.wants_room;
	g_ptr_array_set_size(a->starts, 0);
	g_ptr_array_set_size(a->stops, 0);
}

static void schedule_flush(struct agent_link *a)
{
	if (a->flush_due)
		return;
	a->flush_due = true;
	loop_defer(a->dispatcher->loop, flush_orders, a);
}

void dispatcher_send_start(struct dispatch_sink *sink, uint64_t agent,
			   const struct start_command *command)
{
	struct leased_dispatcher *d = (struct leased_dispatcher *)sink;
	struct agent_link *a = find_by_agent(d, agent);
	Cfw__RunStart *start;
	gsize size;
	const void *spec = g_bytes_get_data(command->spec, &size);

	if (!a || !a->link)
		return;
	start = g_new(Cfw__RunStart, 1);
	cfw__run_start__init(start);
	start->job = g_strdup(command->name.job);
	start->index = command->name.index;
	start->number = command->name.number;
	start->server = g_strdup(command->server);
	start->spec.data = g_memdup2(spec, size);
	start->spec.len = size;
	start->cpu_milli = command->cpu_milli;
	start->memory_mb = command->memory_mb;
	start->accelerators = command->accelerators;
	start->slack_ms = command->slack_ms;
	start->deadline_ms = command->deadline_ms;
	start->expected_ms = command->expected_ms;
	start->class_name = g_strdup(command->class_name);
	start->losses = command->losses;
	start->lost_after_ms = command->lost_after_ms;
	g_ptr_array_add(a->starts, start);
	schedule_flush(a);
}

static Cfw__RunStop *make_stop(const struct run_name *name)
{
	Cfw__RunStop *stop = g_new(Cfw__RunStop, 1);

	cfw__run_stop__init(stop);
	stop->job = g_strdup(name->job);
	stop->index = name->index;
	stop->number = name->number;
	return stop;
}

void dispatcher_send_stop(struct dispatch_sink *sink, uint64_t agent,
			  const struct run_name *name)
{
	struct leased_dispatcher *d = (struct leased_dispatcher *)sink;
	struct agent_link *a = find_by_agent(d, agent);

	if (!a || !a->link)
		return;
	g_ptr_array_add(a->stops, make_stop(name));
	schedule_flush(a);
}

void dispatcher_send_demand(struct dispatch_sink *sink, bool has_demand)
{
	struct leased_dispatcher *d = (struct leased_dispatcher *)sink;

	(void)has_demand; /* flush_orders() reads the value when it runs */
	for (guint i = 0; i < d->links->len; i++) {
		struct agent_link *a = g_ptr_array_index(d->links, i);

		if (a->link && link_is_up(a->link))
			schedule_flush(a);
	}
}

/* Lists all runs whose results haven't come. Those that are being stopped are
 * listed too, or a result that was lost with the connection never comes. */
static void send_resume(struct leased_dispatcher *d, struct agent_link *a)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__RunOrders orders = CFW__RUN_ORDERS__INIT;
	g_autoptr(GArray)
		runs = dispatch_list_runs(d->dispatch, a->incarnation);
	g_autoptr(GPtrArray) kept = g_ptr_array_new_with_free_func(free_stop);
	g_autoptr(GPtrArray) stops = g_ptr_array_new_with_free_func(free_stop);

	for (guint i = 0; i < runs->len; i++) {
		const struct sent_run *run =
			&g_array_index(runs, struct sent_run, i);

		g_ptr_array_add(kept, make_stop(&run->name));
		if (run->stopping)
			g_ptr_array_add(stops, make_stop(&run->name));
	}
	orders.resume = true;
	orders.wants_room = dispatch_has_demand(d->dispatch);
	a->sent_has_demand = orders.wants_room;
	orders.n_kept = kept->len;
	orders.kept = (Cfw__RunStop **)kept->pdata;
	orders.n_stops = stops->len;
	orders.stops = (Cfw__RunStop **)stops->pdata;
	envelope.body_case = CFW__ENVELOPE__BODY_RUN_ORDERS;
	envelope.run_orders = &orders;
	link_send(a->link, &envelope);
}

/* ---- Roster --------------------------------------------------------- */

static void add_agent(struct leased_dispatcher *d,
		      const Cfw__RosterEntry *entry)
{
	struct agent_link *a = g_new0(struct agent_link, 1);

	a->dispatcher = d;
	a->address = g_strdup(entry->address);
	a->data_centre = g_strdup(entry->data_centre);
	a->starts = g_ptr_array_new_with_free_func(free_start);
	a->stops = g_ptr_array_new_with_free_func(free_stop);
	a->listed = true;
	g_ptr_array_add(d->links, a);
	log_event(LOG_INFO, "agent_found", "address=%s data_centre=%s",
		  a->address, a->data_centre);
}

static void free_agent(struct leased_dispatcher *d, struct agent_link *a)
{
	loop_cancel(d->loop, a);
	if (a->link)
		link_drop(a->link);
	g_ptr_array_unref(a->starts);
	g_ptr_array_unref(a->stops);
	g_free(a->data_centre);
	g_free(a->address);
	g_free(a);
}

void dispatcher_apply_roster(struct leased_dispatcher *d,
			     const Cfw__Roster *roster)
{
	int64_t now_ms = loop_now_ms(d->loop);

	for (guint i = 0; i < d->links->len; i++) {
		struct agent_link *a = g_ptr_array_index(d->links, i);

		if (a->listed && roster->settled)
			a->unlisted_ms = now_ms;
		a->listed = a->listed && !roster->settled;
	}
	for (size_t i = 0; i < roster->n_entries; i++) {
		const Cfw__RosterEntry *entry = roster->entries[i];
		struct agent_link *a;

		if (entry->role != CFW__ROLE__ROLE_AGENT || !entry->address)
			continue;
		a = find_by_address(d, entry->address);
		if (a)
			a->listed = true;
		else
			add_agent(d, entry);
	}
	gauge_set(d->agents_listed, d->links->len);
	dispatcher_select_agents(d, now_ms);
}

void dispatcher_drop_unlisted(struct leased_dispatcher *d, int64_t now_ms)
{
	for (guint i = d->links->len; i-- > 0;) {
		struct agent_link *a = g_ptr_array_index(d->links, i);

		if (a->listed || (a->link && link_is_up(a->link)) ||
		    now_ms - a->unlisted_ms < UNLISTED_DROP_MS)
			continue;
		log_event(LOG_INFO, "agent_dropped", "address=%s", a->address);
		g_ptr_array_remove_index(d->links, i);
		free_agent(d, a);
	}
}

/* ---- Subset --------------------------------------------------------- */

void dispatcher_connect_agent(struct leased_dispatcher *d, struct agent_link *a,
			      int64_t now_ms)
{
	a->unselected_ms = 0;
	if (a->link)
		return;
	a->dial_started_ms = now_ms;
	a->link = link_dial(d->hub, a->address);
	link_set_data(a->link, a);
}

/* Keeps the connection while the agent has runs of this dispatcher, because
 * they would end with the connection. */
static void disconnect_agent(struct leased_dispatcher *d, struct agent_link *a,
			     int64_t now_ms)
{
	struct link *link = a->link;

	if (!link)
		return;
	if (!a->unselected_ms)
		a->unselected_ms = now_ms;
	if (now_ms - a->unselected_ms < UNSELECTED_CLOSE_MS ||
	    dispatch_has_runs_at(d->dispatch, a->incarnation))
		return;
	log_event(LOG_INFO, "agent_unwanted",
		  "address=%s data_centre=%s wanted=%u", a->address,
		  a->data_centre, agent_subset_size(d->subset));
	link_drop(link);
	a->link = NULL;
	a->incarnation = 0;
}

static void fill_candidate(const struct leased_dispatcher *d,
			   const struct agent_link *a, int64_t now_ms,
			   struct subset_candidate *candidate)
{
	const struct cf_config *config = session_config(d->session);

	candidate->address = a->address;
	candidate->data_centre = a->data_centre;
	candidate->in_service = cf_config_in_service(config, a->data_centre);
	candidate->unreachable = a->link && a->dial_started_ms &&
				 now_ms - a->dial_started_ms >= DIAL_TIMEOUT_MS;
}

void dispatcher_select_agents(struct leased_dispatcher *d, int64_t now_ms)
{
	guint n = d->links->len;
	g_autofree struct subset_candidate *candidates =
		g_new0(struct subset_candidate, n);
	g_autofree struct subset_candidate **order =
		g_new(struct subset_candidate *, n);

	d->selected_ms = now_ms;
	for (guint i = 0; i < n; i++) {
		fill_candidate(d, g_ptr_array_index(d->links, i), now_ms,
			       &candidates[i]);
		order[i] = &candidates[i];
	}
	agent_subset_select(d->subset, order, n);
	for (guint i = 0; i < n; i++) {
		struct agent_link *a = g_ptr_array_index(d->links, i);

		if (candidates[i].selected)
			dispatcher_connect_agent(d, a, now_ms);
		else
			disconnect_agent(d, a, now_ms);
	}
}

uint32_t dispatcher_count_selected(const struct leased_dispatcher *d)
{
	uint32_t n = 0;

	for (guint i = 0; i < d->links->len; i++) {
		const struct agent_link *a = g_ptr_array_index(d->links, i);

		n += a->link != NULL;
	}
	return n;
}

void dispatcher_adjust_subset(struct leased_dispatcher *d, int64_t now_ms)
{
	if (dispatch_has_demand(d->dispatch))
		agent_subset_report_shortage(d->subset, now_ms);
	if (agent_subset_tick(d->subset, now_ms)) {
		gauge_set(d->agents_wanted, agent_subset_size(d->subset));
		log_event(LOG_INFO, "agents_wanted",
			  "wanted=%u listed=%u wants_room=%d",
			  agent_subset_size(d->subset), d->links->len,
			  dispatch_has_demand(d->dispatch));
		dispatcher_select_agents(d, now_ms);
	} else if (now_ms - d->selected_ms >= SELECT_INTERVAL_MS) {
		dispatcher_select_agents(d, now_ms);
	}
}

/* ---- Messages ------------------------------------------------------- */

static void grant_lease(struct leased_dispatcher *d, struct agent_link *a,
			const Cfw__RunLeaseAsk *request)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__RunLease lease = CFW__RUN_LEASE__INIT;

	lease.seq = request->seq;
	envelope.body_case = CFW__ENVELOPE__BODY_RUN_LEASE;
	envelope.run_lease = &lease;
	/* The loop's time may be earlier than the request. */
	if (link_send(a->link, &envelope))
		dispatch_agent_lease_granted(d->dispatch, a->incarnation,
					     clock_now_ms());
}

bool dispatcher_is_usable(struct leased_dispatcher *d, const struct link *link,
			  const char *entry, const char *unusable_field)
{
	uint32_t n_unlogged;

	if (!unusable_field)
		return true;
	counter_add(d->bad_entries, 1);
	if (wire_fault_is_logged(&d->report_faults, loop_now_ms(d->loop),
				 &n_unlogged))
		log_event(LOG_WARN, "run_report_unusable",
			  "agent=%s entry=%s field=%s unlogged=%u",
			  link_peer(link)->name, entry, unusable_field,
			  n_unlogged);
	return false;
}

static void apply_report(struct leased_dispatcher *d,
			 const struct agent_link *a,
			 const Cfw__RunReport *report)
{
	int64_t now_ms = loop_now_ms(d->loop);

	for (size_t i = 0; i < report->n_servers; i++)
		if (dispatcher_is_usable(d, a->link, "server",
					 wire_check_state(report->servers[i])))
			dispatcher_apply_state(d, a, report->servers[i]);
	for (size_t i = 0; i < report->n_ends; i++) {
		const Cfw__RunEnd *end = report->ends[i];
		struct run_result result = {
			.name = { .index = end->index, .number = end->number },
			.outcome = (enum run_outcome)end->outcome,
			.doubt = (enum loss_doubt)end->doubt,
			.run_ms = end->run_ms
		};

		if (!dispatcher_is_usable(d, a->link, "end",
					  wire_check_end(end)))
			continue;
		g_strlcpy(result.name.job, end->job, sizeof(result.name.job));
		dispatch_handle_result(d->dispatch, a->incarnation, &result,
				       now_ms);
	}
	dispatch_finish_report(d->dispatch, a->incarnation, now_ms);
}

/* ---- Handlers ------------------------------------------------------- */

static void up(void *arg, struct link *link)
{
	struct leased_dispatcher *d = arg;
	struct agent_link *a;
	struct agent_identity identity = { 0 };
	int64_t now_ms = loop_now_ms(d->loop);

	if (session_link_up(d->session, link))
		return;
	a = find_by_link(link);
	if (!a) {
		dispatcher_cancels_up(d->cancels, link);
		return;
	}
	if (a->incarnation && a->incarnation != link_peer(link)->incarnation)
		dispatch_agent_disconnected(d->dispatch, a->incarnation,
					    now_ms);
	a->incarnation = link_peer(link)->incarnation;
	a->dial_started_ms = 0;
	identity.incarnation = a->incarnation;
	g_strlcpy(identity.name, link_peer(link)->name, sizeof(identity.name));
	g_strlcpy(identity.data_centre, link_peer(link)->data_centre,
		  sizeof(identity.data_centre));
	dispatch_agent_connected(d->dispatch, &identity, now_ms);
	send_resume(d, a);
}

static void down(void *arg, struct link *link)
{
	struct leased_dispatcher *d = arg;
	struct agent_link *a;

	if (session_link_down(d->session, link))
		return;
	a = find_by_link(link);
	if (!a) {
		dispatcher_cancels_down(d->cancels, link);
		return;
	}
	a->dial_started_ms = loop_now_ms(d->loop);
	if (a->incarnation)
		dispatch_agent_disconnected(d->dispatch, a->incarnation,
					    loop_now_ms(d->loop));
}

static void message(void *arg, struct link *link, const Cfw__Envelope *envelope)
{
	struct leased_dispatcher *d = arg;
	struct agent_link *a;

	if (session_handle_message(d->session, link, envelope))
		return;
	a = find_by_link(link);
	if (a && envelope->body_case == CFW__ENVELOPE__BODY_RUN_LEASE_ASK)
		grant_lease(d, a, envelope->run_lease_ask);
	else if (a && envelope->body_case == CFW__ENVELOPE__BODY_RUN_REPORT)
		apply_report(d, a, envelope->run_report);
	else
		dispatcher_cancels_message(d->cancels, link, envelope);
}

const struct link_handlers dispatcher_link_handlers = {
	.up = up,
	.message = message,
	.down = down,
};
