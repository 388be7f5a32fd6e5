/*
 * dispatcher_cancels: passes cancels on to other dispatchers, over connections
 * of their own or by way of agents. The connections are opened when a cancel
 * has to be passed on and closed when they have been idle for a while: with 51
 * dispatchers, permanent ones would carry more heartbeats than all else. Loop
 * thread only.
 */
#include "leased/dispatcher_internal.h"

#include "base/clock.h"
#include "base/logger.h"

#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* Cancels tend to come in groups. */
#define LINK_IDLE_MS 10000
/* Agents that are asked in one attempt to pass a cancel on, and attempts with
 * the same ones: a connection may have to be opened first. */
#define RELAY_AGENTS 3
#define RELAY_REPEATS 2
/* Orders under which a job was found; the others' copies come within moments.
 */
#define FOUND_REMEMBERED 256

/* ---- Types ---------------------------------------------------------- */

/* Another dispatcher, as the roster tells it. */
struct cancel_link {
	char *address;
	char *name, *data_centre;
	uint64_t incarnation;
	struct link *link; /* NULL: not needed */
	int64_t needed_ms; /* when it was last needed */
};

/* An order may come over several connections: all get the same reply. */
struct found_order {
	char id[LEASED_JOB_SIZE];
	uint64_t from, seq;
};

struct dispatcher_cancels {
	struct cancel_sink sink; /* first member */
	struct leased_dispatcher *dispatcher;
	struct cancel_rounds *rounds;
	GPtrArray *links; /* struct cancel_link */
	struct found_order found[FOUND_REMEMBERED];
	uint32_t next_found; /* place of the oldest one */
	struct counter *outcomes[CANCEL_UNCONFIRMED + 1];
	struct counter *asked, *relayed, *received, *open, *known;
};

static const char *const outcome_names[] = { "stopped", "nowhere",
					     "unconfirmed" };

/* ---- Connections ---------------------------------------------------- */

static void free_link(gpointer data)
{
	struct cancel_link *l = data;

	if (l->link)
		link_drop(l->link);
	g_free(l->address);
	g_free(l->name);
	g_free(l->data_centre);
	g_free(l);
}

static struct cancel_link *find_by_address(const struct dispatcher_cancels *c,
					   const char *address)
{
	for (guint i = 0; i < c->links->len; i++) {
		struct cancel_link *l = g_ptr_array_index(c->links, i);

		if (!strcmp(l->address, address))
			return l;
	}
	return NULL;
}

static struct cancel_link *find_by_link(const struct dispatcher_cancels *c,
					const struct link *link)
{
	for (guint i = 0; i < c->links->len; i++) {
		struct cancel_link *l = g_ptr_array_index(c->links, i);

		if (l->link == link)
			return l;
	}
	return NULL;
}

static struct cancel_link *
find_by_incarnation(const struct dispatcher_cancels *c, uint64_t incarnation)
{
	for (guint i = 0; i < c->links->len; i++) {
		struct cancel_link *l = g_ptr_array_index(c->links, i);

		if (l->incarnation == incarnation)
			return l;
	}
	return NULL;
}

static void report_up(struct dispatcher_cancels *c, const struct cancel_link *l)
{
	/* Addresses are used again: an agent may be there by now. */
	if (l->link && link_is_up(l->link) &&
	    link_peer(l->link)->role == CFW__ROLE__ROLE_DISPATCHER)
		cancel_rounds_peer_up(c->rounds, l->address,
				      loop_now_ms(c->dispatcher->loop));
}

static void connect_peer(struct cancel_sink *sink, const char *address)
{
	struct dispatcher_cancels *c = (struct dispatcher_cancels *)sink;
	struct cancel_link *l = find_by_address(c, address);

	if (!l)
		return;
	if (!l->link)
		l->link = link_dial(c->dispatcher->hub, address);
	l->needed_ms = loop_now_ms(c->dispatcher->loop);
	report_up(c, l);
}

static void close_idle_links(struct dispatcher_cancels *c, int64_t now_ms)
{
	for (guint i = c->links->len; i-- > 0;) {
		struct cancel_link *l = g_ptr_array_index(c->links, i);

		if (cancel_rounds_needs(c->rounds, l->address))
			l->needed_ms = now_ms;
		if (l->link && now_ms - l->needed_ms >= LINK_IDLE_MS) {
			cancel_rounds_peer_down(c->rounds, l->address);
			link_drop(l->link);
			l->link = NULL;
		}
		if (!l->link && !cancel_rounds_knows(c->rounds, l->address))
			g_ptr_array_remove_index_fast(c->links, i);
	}
}

/* ---- Sink ----------------------------------------------------------- */

static void fill_message(Cfw__JobCancel *message,
			 const struct cancel_order *order)
{
	message->job = (char *)(uintptr_t)order->id;
	message->seq = order->seq;
	message->age_ms = order->age_ms;
}

/* The agents (struct agent_link) that the other dispatcher selects, those first
 * that it prefers. */
static GPtrArray *agents_of(struct leased_dispatcher *d,
			    const struct cancel_link *l)
{
	struct agent_subset_options options = {
		.name = l->name,
		.data_centre = l->data_centre,
		.agents_min =
			(uint32_t)settings_number(d->settings, "agents-min"),
	};
	struct agent_subset *subset = agent_subset_create(&options);
	guint n = d->links->len;
	g_autofree struct subset_candidate *candidates =
		g_new0(struct subset_candidate, n);
	g_autofree struct subset_candidate **order =
		g_new(struct subset_candidate *, n);
	GPtrArray *agents = g_ptr_array_new();

	for (guint i = 0; i < n; i++) {
		const struct agent_link *a = g_ptr_array_index(d->links, i);

		candidates[i].address = a->address;
		candidates[i].data_centre = a->data_centre;
		candidates[i].in_service = cf_config_in_service(
			session_config(d->session), a->data_centre);
		order[i] = &candidates[i];
	}
	agent_subset_select(subset, order, n);
	for (guint i = 0; i < n; i++)
		if (order[i]->selected)
			g_ptr_array_add(agents, g_ptr_array_index(
							d->links,
							order[i] - candidates));
	agent_subset_destroy(subset);
	return agents;
}

/* The agents that the other dispatcher prefers are connected to it, as long as
 * it can reach them. */
static void relay(struct cancel_sink *sink, const char *address,
		  const struct cancel_order *order, uint32_t attempt)
{
	struct dispatcher_cancels *c = (struct dispatcher_cancels *)sink;
	const struct cancel_link *l = find_by_address(c, address);
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__JobCancel message = CFW__JOB_CANCEL__INIT;
	g_autoptr(GPtrArray) agents = NULL;
	guint first = attempt / RELAY_REPEATS * RELAY_AGENTS;

	if (!l)
		return;
	fill_message(&message, order);
	message.to = l->incarnation;
	envelope.body_case = CFW__ENVELOPE__BODY_JOB_CANCEL;
	envelope.job_cancel = &message;
	agents = agents_of(c->dispatcher, l);
	for (guint i = 0; i < MIN(RELAY_AGENTS, agents->len); i++) {
		struct agent_link *a =
			g_ptr_array_index(agents, (first + i) % agents->len);

		dispatcher_connect_agent(c->dispatcher, a,
					 loop_now_ms(c->dispatcher->loop));
		if (link_is_up(a->link) && link_send(a->link, &envelope))
			counter_add(c->relayed, 1);
	}
}

static void ask(struct cancel_sink *sink, const char *address,
		const struct cancel_order *order)
{
	struct dispatcher_cancels *c = (struct dispatcher_cancels *)sink;
	const struct cancel_link *l = find_by_address(c, address);
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__JobCancel message = CFW__JOB_CANCEL__INIT;

	if (!l || !l->link)
		return;
	fill_message(&message, order);
	envelope.body_case = CFW__ENVELOPE__BODY_JOB_CANCEL;
	envelope.job_cancel = &message;
	link_send(l->link, &envelope);
	counter_add(c->asked, 1);
}

static void answer(struct cancel_sink *sink, void *caller, const char *id,
		   const struct cancel_outcome *outcome)
{
	struct dispatcher_cancels *c = (struct dispatcher_cancels *)sink;

	counter_add(c->outcomes[outcome->verdict], 1);
	log_event(outcome->verdict == CANCEL_UNCONFIRMED ? LOG_WARN : LOG_INFO,
		  "cancel_answered",
		  "job=%s outcome=%s dispatchers=%u unanswered=%u missing=%s",
		  id, outcome_names[outcome->verdict], outcome->asked,
		  outcome->unanswered, outcome->missing);
	dispatcher_answer_cancel(caller, outcome->verdict);
}

/* ---- Messages ------------------------------------------------------- */

static bool was_found(const struct dispatcher_cancels *c,
		      const struct found_order *order)
{
	for (size_t i = 0; i < FOUND_REMEMBERED; i++)
		if (c->found[i].seq == order->seq &&
		    c->found[i].from == order->from &&
		    !strcmp(c->found[i].id, order->id))
			return true;
	return false;
}

/* Returns true if the job was in progress here when the order first came. */
static bool carry_out(struct dispatcher_cancels *c, const struct link *link,
		      const Cfw__JobCancel *message)
{
	struct found_order order = {
		.from = message->from ? message->from
				      : link_peer(link)->incarnation,
		.seq = message->seq
	};

	g_strlcpy(order.id, message->job, sizeof(order.id));
	if (was_found(c, &order))
		return true;
	/* The loop's time may be earlier than the arrival of a job. */
	if (!dispatcher_cancel_here(c->dispatcher, order.id,
				    clock_now_ms() - message->age_ms))
		return false;
	log_event(LOG_INFO, "cancel_received", "job=%s over=%s", order.id,
		  link_peer(link)->name);
	c->found[c->next_found] = order;
	c->next_found = (c->next_found + 1) % FOUND_REMEMBERED;
	return true;
}

static void handle_order(struct dispatcher_cancels *c, struct link *link,
			 const Cfw__JobCancel *order)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__JobCancelReply reply = CFW__JOB_CANCEL_REPLY__INIT;

	if (!dispatcher_is_usable(c->dispatcher, link, "cancel",
				  wire_is_job_id(order->job) ? NULL : "job"))
		return;
	reply.job = order->job;
	reply.seq = order->seq;
	reply.to = order->from;
	reply.found = carry_out(c, link, order);
	envelope.body_case = CFW__ENVELOPE__BODY_JOB_CANCEL_REPLY;
	envelope.job_cancel_reply = &reply;
	counter_add(c->received, 1);
	link_send(link, &envelope);
}

static void handle_reply(struct dispatcher_cancels *c, const struct link *link,
			 const Cfw__JobCancelReply *message)
{
	const struct cancel_link *l =
		message->from ? find_by_incarnation(c, message->from)
			      : find_by_link(c, link);
	struct cancel_reply reply = { .id = message->job,
				      .seq = message->seq,
				      .found = message->found };

	if (l)
		cancel_rounds_peer_answered(c->rounds, l->address, &reply,
					    loop_now_ms(c->dispatcher->loop));
}

void dispatcher_cancels_message(struct dispatcher_cancels *c, struct link *link,
				const Cfw__Envelope *envelope)
{
	if (envelope->body_case == CFW__ENVELOPE__BODY_JOB_CANCEL)
		handle_order(c, link, envelope->job_cancel);
	else if (envelope->body_case == CFW__ENVELOPE__BODY_JOB_CANCEL_REPLY)
		handle_reply(c, link, envelope->job_cancel_reply);
}

void dispatcher_cancels_up(struct dispatcher_cancels *c, struct link *link)
{
	const struct cancel_link *l = find_by_link(c, link);

	if (l)
		report_up(c, l);
}

void dispatcher_cancels_down(struct dispatcher_cancels *c, struct link *link)
{
	const struct cancel_link *l = find_by_link(c, link);

	if (l)
		cancel_rounds_peer_down(c->rounds, l->address);
}

/* ---- Roster and callers --------------------------------------------- */

static void note_dispatcher(struct dispatcher_cancels *c,
			    const Cfw__RosterEntry *entry)
{
	struct cancel_link *l = find_by_address(c, entry->address);

	if (!l) {
		l = g_new0(struct cancel_link, 1);
		l->address = g_strdup(entry->address);
		g_ptr_array_add(c->links, l);
	}
	g_free(l->name);
	g_free(l->data_centre);
	l->name = g_strdup(entry->name);
	l->data_centre = g_strdup(entry->data_centre);
	l->incarnation = entry->incarnation;
}

void dispatcher_cancels_apply_roster(struct dispatcher_cancels *c,
				     const Cfw__Roster *roster)
{
	struct leased_dispatcher *d = c->dispatcher;
	g_autofree const char **addresses =
		g_new0(const char *, roster->n_entries + 1);
	size_t n = 0;

	for (size_t i = 0; i < roster->n_entries; i++) {
		const Cfw__RosterEntry *entry = roster->entries[i];

		/* An earlier process of this one's address is gone. */
		if (entry->role != CFW__ROLE__ROLE_DISPATCHER ||
		    entry->incarnation == d->incarnation ||
		    !strcmp(entry->address, d->address))
			continue;
		note_dispatcher(c, entry);
		addresses[n++] = entry->address;
	}
	cancel_rounds_apply_roster(c->rounds, addresses, n, roster->settled,
				   loop_now_ms(d->loop));
}

void dispatcher_cancels_request(struct dispatcher_cancels *c, const char *id,
				void *caller, int64_t deadline_ms)
{
	struct leased_dispatcher *d = c->dispatcher;

	cancel_rounds_request(c->rounds, id,
			      dispatcher_cancel_here(d, id, clock_now_ms()),
			      caller, deadline_ms, loop_now_ms(d->loop));
}

void dispatcher_cancels_tick(struct dispatcher_cancels *c, int64_t now_ms)
{
	cancel_rounds_tick(c->rounds, now_ms);
	close_idle_links(c, now_ms);
	gauge_set(c->known, c->links->len);
	gauge_set(c->open, cancel_rounds_open(c->rounds));
}

void dispatcher_cancels_abort(struct dispatcher_cancels *c)
{
	cancel_rounds_abort(c->rounds);
}

/* ---- Lifecycle ------------------------------------------------------ */

struct dispatcher_cancels *
dispatcher_cancels_create(struct leased_dispatcher *d)
{
	static const struct cancel_sink_ops ops = { .ask = ask,
						    .relay = relay,
						    .connect = connect_peer,
						    .answer = answer };
	struct dispatcher_cancels *c = g_new0(struct dispatcher_cancels, 1);

	c->sink.ops = &ops;
	c->dispatcher = d;
	c->rounds = cancel_rounds_create(&c->sink);
	c->links = g_ptr_array_new_with_free_func(free_link);
	for (size_t i = 0; i < G_N_ELEMENTS(outcome_names); i++) {
		g_autofree char *label =
			g_strdup_printf("outcome=\"%s\"", outcome_names[i]);

		c->outcomes[i] = counter_get("cancels_total", label,
					     "cancels of callers answered");
	}
	c->asked = counter_get("cancels_passed_on_total", NULL,
			       "cancels sent to another dispatcher");
	c->relayed = counter_get("cancels_relayed_total", NULL,
				 "cancels sent by way of an agent");
	c->received = counter_get("cancels_received_total", NULL,
				  "cancels got from another dispatcher");
	c->open = gauge_get("cancels_open", NULL,
			    "cancels that other dispatchers are still told");
	c->known = gauge_get("dispatchers_known", NULL,
			     "other dispatchers that are told of cancels");
	return c;
}
