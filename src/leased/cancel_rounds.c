/*
 * cancel_rounds: see cancel_rounds.h. Open cancels are kept, and forgotten, in
 * the order in which callers asked for them last.
 */
#include "leased/cancel_rounds.h"

#include "leased/formats.h"

#include <glib.h>

/* ---- Types ---------------------------------------------------------- */

/* Another dispatcher. */
struct peer {
	char *address; /* key */
	bool connected;
	bool listed;
	int64_t unlisted_ms; /* when it left the roster */
	GHashTable *unanswered; /* set of struct cancel */
};

struct waiting_caller {
	void *caller;
	int64_t end_ms; /* its answer is due */
};

/* A job that was cancelled, until all dispatchers have been told, and
 * CANCEL_KEEP_MS. */
struct cancel {
	char id[LEASED_JOB_SIZE]; /* key */
	uint64_t seq; /* of the last request */
	int64_t begun_ms, requested_ms; /* first and last request */
	bool found; /* here or by a peer */
	bool told; /* all have answered, and the callers were answered */
	uint32_t n_asked;
	uint32_t relays; /* attempts by way of agents */
	GPtrArray *missing; /* struct peer: no answer to the last request */
	GArray *callers; /* struct waiting_caller */
	GList link; /* in by_age */
};

struct cancel_rounds {
	struct cancel_sink *sink;
	GHashTable *peers; /* address -> struct peer */
	GHashTable *cancels; /* id -> struct cancel */
	GQueue by_age; /* struct cancel, the longest unasked first */
	GPtrArray *waited_for; /* struct cancel: those with callers */
	uint64_t last_seq;
	int64_t relayed_ms; /* when agents were last asked to pass on */
	bool settled; /* a complete roster has come */
	uint32_t n_told; /* cancels */
};

/* ---- Lifecycle ------------------------------------------------------ */

static void free_peer(gpointer data)
{
	struct peer *p = data;

	g_hash_table_destroy(p->unanswered);
	g_free(p->address);
	g_free(p);
}

static void free_cancel(gpointer data)
{
	struct cancel *c = data;

	g_ptr_array_unref(c->missing);
	g_array_unref(c->callers);
	g_free(c);
}

struct cancel_rounds *cancel_rounds_create(struct cancel_sink *sink)
{
	struct cancel_rounds *r = g_new0(struct cancel_rounds, 1);

	r->sink = sink;
	r->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	r->cancels = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_cancel);
	g_queue_init(&r->by_age);
	r->waited_for = g_ptr_array_new();
	return r;
}

void cancel_rounds_destroy(struct cancel_rounds *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->peers);
	g_hash_table_destroy(r->cancels);
	g_ptr_array_unref(r->waited_for);
	g_free(r);
}

/* ---- Answers -------------------------------------------------------- */

static bool holds_up(const struct cancel *c, const struct peer *p,
		     int64_t now_ms)
{
	return p->listed || now_ms < MAX(c->begun_ms, p->unlisted_ms) +
					     CANCEL_DEPARTED_WAIT_MS;
}

/* Also asked of a job that was found: it may have been sent to two dispatchers.
 */
static bool is_confirmed(const struct cancel_rounds *r, const struct cancel *c,
			 int64_t now_ms)
{
	for (guint i = 0; i < c->missing->len; i++)
		if (holds_up(c, g_ptr_array_index(c->missing, i), now_ms))
			return false;
	return r->settled;
}

static void fill_outcome(const struct cancel *c, enum cancel_verdict verdict,
			 struct cancel_outcome *outcome)
{
	outcome->verdict = verdict;
	outcome->asked = c->n_asked;
	outcome->unanswered = c->missing->len;
	outcome->missing = "";
	if (c->missing->len)
		outcome->missing =
			((struct peer *)g_ptr_array_index(c->missing, 0))
				->address;
}

/* Answers those that have waited until end_ms, or all if it is confirmed. */
static void answer_callers(struct cancel_rounds *r, struct cancel *c,
			   bool confirmed, int64_t end_ms)
{
	struct cancel_outcome outcome;

	fill_outcome(c,
		     !confirmed ? CANCEL_UNCONFIRMED
		     : c->found ? CANCEL_STOPPED
				: CANCEL_NOWHERE,
		     &outcome);
	for (guint i = c->callers->len; i-- > 0;) {
		struct waiting_caller waiting =
			g_array_index(c->callers, struct waiting_caller, i);

		if (!confirmed && waiting.end_ms > end_ms)
			continue;
		g_array_remove_index(c->callers, i);
		r->sink->ops->answer(r->sink, waiting.caller, c->id, &outcome);
	}
	if (!c->callers->len)
		g_ptr_array_remove_fast(r->waited_for, c);
}

static void forget(struct cancel_rounds *r, struct cancel *c)
{
	if (c->callers->len)
		answer_callers(r, c, false, INT64_MAX);
	for (guint i = 0; i < c->missing->len; i++)
		g_hash_table_remove(
			((struct peer *)g_ptr_array_index(c->missing, i))
				->unanswered,
			c);
	r->n_told -= c->told;
	g_queue_unlink(&r->by_age, &c->link);
	g_hash_table_remove(r->cancels, c->id);
}

static void set_told(struct cancel_rounds *r, struct cancel *c, bool told)
{
	r->n_told += told;
	r->n_told -= c->told;
	c->told = told;
}

static void settle(struct cancel_rounds *r, struct cancel *c, int64_t now_ms)
{
	if (c->callers->len)
		answer_callers(r, c, is_confirmed(r, c, now_ms), now_ms);
	set_told(r, c, !c->callers->len && !c->missing->len && r->settled);
}

/* ---- Peers ---------------------------------------------------------- */

static struct cancel_order make_order(const struct cancel *c, int64_t now_ms)
{
	struct cancel_order order = { .id = c->id,
				      .seq = c->seq,
				      .age_ms = (uint32_t)(now_ms -
							   c->requested_ms) };

	return order;
}

static void ask(struct cancel_rounds *r, const struct cancel *c,
		const struct peer *p, int64_t now_ms)
{
	struct cancel_order order = make_order(c, now_ms);

	if (p->connected)
		r->sink->ops->ask(r->sink, p->address, &order);
	else
		r->sink->ops->connect(r->sink, p->address);
}

static void expect_answer(struct cancel_rounds *r, struct cancel *c,
			  struct peer *p, int64_t now_ms)
{
	if (g_hash_table_add(p->unanswered, c))
		g_ptr_array_add(c->missing, p);
	set_told(r, c, false);
	ask(r, c, p, now_ms);
}

/* A dispatcher that was not known yet may have got a job before its cancel. */
static struct peer *add_peer(struct cancel_rounds *r, const char *address,
			     int64_t now_ms)
{
	struct peer *p = g_new0(struct peer, 1);

	p->address = g_strdup(address);
	p->unanswered = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(r->peers, p->address, p);
	for (GList *link = r->by_age.head; link; link = link->next) {
		((struct cancel *)link->data)->n_asked++;
		expect_answer(r, link->data, p, now_ms);
	}
	return p;
}

static void drop_departed(struct cancel_rounds *r, int64_t now_ms)
{
	GHashTableIter iter, cancels;
	gpointer value, c;

	g_hash_table_iter_init(&iter, r->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *p = value;

		if (p->listed || now_ms - p->unlisted_ms < CANCEL_DEPARTED_MS)
			continue;
		g_hash_table_iter_init(&cancels, p->unanswered);
		while (g_hash_table_iter_next(&cancels, &c, NULL))
			g_ptr_array_remove_fast(((struct cancel *)c)->missing,
						p);
		g_hash_table_iter_remove(&iter);
	}
}

void cancel_rounds_apply_roster(struct cancel_rounds *r,
				const char *const *addresses, size_t n,
				bool settled, int64_t now_ms)
{
	g_autoptr(GHashTable)
		listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	for (size_t i = 0; i < n; i++) {
		struct peer *p = g_hash_table_lookup(r->peers, addresses[i]);

		if (!p)
			p = add_peer(r, addresses[i], now_ms);
		p->listed = true;
		g_hash_table_add(listed, p->address);
	}
	r->settled = r->settled || settled;
	g_hash_table_iter_init(&iter, r->peers);
	while (settled && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *p = value;

		if (!p->listed || g_hash_table_contains(listed, p->address))
			continue;
		p->listed = false;
		p->unlisted_ms = now_ms;
	}
}

void cancel_rounds_peer_up(struct cancel_rounds *r, const char *address,
			   int64_t now_ms)
{
	struct peer *p = g_hash_table_lookup(r->peers, address);
	GHashTableIter iter;
	gpointer c;

	if (!p)
		return;
	p->connected = true;
	g_hash_table_iter_init(&iter, p->unanswered);
	while (g_hash_table_iter_next(&iter, &c, NULL))
		ask(r, c, p, now_ms);
}

void cancel_rounds_peer_down(struct cancel_rounds *r, const char *address)
{
	struct peer *p = g_hash_table_lookup(r->peers, address);

	if (p)
		p->connected = false;
}

/* An answer to an earlier request may be older than the last one. */
void cancel_rounds_peer_answered(struct cancel_rounds *r, const char *address,
				 const struct cancel_reply *reply,
				 int64_t now_ms)
{
	struct peer *p = g_hash_table_lookup(r->peers, address);
	struct cancel *c = g_hash_table_lookup(r->cancels, reply->id);

	if (!p || !c || !g_hash_table_contains(p->unanswered, c))
		return;
	c->found = c->found || reply->found;
	if (reply->seq != c->seq)
		return;
	g_hash_table_remove(p->unanswered, c);
	g_ptr_array_remove_fast(c->missing, p);
	settle(r, c, now_ms);
}

bool cancel_rounds_knows(const struct cancel_rounds *r, const char *address)
{
	return g_hash_table_contains(r->peers, address);
}

bool cancel_rounds_needs(const struct cancel_rounds *r, const char *address)
{
	const struct peer *p = g_hash_table_lookup(r->peers, address);

	return p && g_hash_table_size(p->unanswered);
}

/* ---- Cancels -------------------------------------------------------- */

static void forget_old(struct cancel_rounds *r, int64_t now_ms)
{
	struct cancel *oldest;

	while ((oldest = g_queue_peek_head(&r->by_age)) &&
	       (now_ms - oldest->requested_ms >=
			(oldest->told ? CANCEL_KEEP_MS : CANCEL_TELL_MS) ||
		g_hash_table_size(r->cancels) > CANCEL_OPEN_MAX))
		forget(r, oldest);
}

static struct cancel *find_or_add(struct cancel_rounds *r, const char *id,
				  int64_t now_ms)
{
	struct cancel *c = g_hash_table_lookup(r->cancels, id);

	if (c) {
		c->found = c->found && !c->told;
		g_queue_unlink(&r->by_age, &c->link);
	} else {
		c = g_new0(struct cancel, 1);
		g_strlcpy(c->id, id, sizeof(c->id));
		c->begun_ms = now_ms;
		c->missing = g_ptr_array_new();
		c->callers = g_array_new(FALSE, FALSE,
					 sizeof(struct waiting_caller));
		c->link.data = c;
		g_hash_table_insert(r->cancels, c->id, c);
	}
	g_queue_push_tail_link(&r->by_age, &c->link);
	c->requested_ms = now_ms;
	c->seq = ++r->last_seq;
	return c;
}

static void ask_all(struct cancel_rounds *r, struct cancel *c, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	c->n_asked = g_hash_table_size(r->peers);
	g_hash_table_iter_init(&iter, r->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		expect_answer(r, c, value, now_ms);
}

static void add_caller(struct cancel_rounds *r, struct cancel *c, void *caller,
		       int64_t deadline_ms, int64_t now_ms)
{
	struct waiting_caller waiting = { caller,
					  MIN(now_ms + CANCEL_WAIT_MS,
					      deadline_ms - CANCEL_MARGIN_MS) };

	if (!c->callers->len)
		g_ptr_array_add(r->waited_for, c);
	g_array_append_val(c->callers, waiting);
}

/* A job that is in progress here is acknowledged at once. The others are told
 * as well, for a try of it that was sent to one of them. */
void cancel_rounds_request(struct cancel_rounds *r, const char *id,
			   bool found_here, void *caller, int64_t deadline_ms,
			   int64_t now_ms)
{
	struct cancel *c = find_or_add(r, id, now_ms);
	struct cancel_outcome stopped;

	c->found = c->found || found_here;
	ask_all(r, c, now_ms);
	if (found_here) {
		fill_outcome(c, CANCEL_STOPPED, &stopped);
		r->sink->ops->answer(r->sink, caller, id, &stopped);
	} else {
		add_caller(r, c, caller, deadline_ms, now_ms);
	}
	settle(r, c, now_ms);
	forget_old(r, now_ms);
}

/* ---- Periodic work -------------------------------------------------- */

/* The newest first, as their callers still wait. */
static void relay_unanswered(struct cancel_rounds *r, int64_t now_ms)
{
	uint32_t left = CANCEL_RELAYS_MAX;

	if (now_ms - r->relayed_ms < CANCEL_RELAY_MS)
		return;
	r->relayed_ms = now_ms;
	for (GList *l = r->by_age.tail; l && left; l = l->prev) {
		struct cancel *c = l->data;
		struct cancel_order order = make_order(c, now_ms);

		if (order.age_ms < CANCEL_RELAY_MS)
			continue;
		for (guint i = 0; i < c->missing->len && left; i++, left--) {
			const struct peer *p = g_ptr_array_index(c->missing, i);

			r->sink->ops->relay(r->sink, p->address, &order,
					    c->relays);
		}
		c->relays++;
	}
}

void cancel_rounds_tick(struct cancel_rounds *r, int64_t now_ms)
{
	drop_departed(r, now_ms);
	forget_old(r, now_ms);
	relay_unanswered(r, now_ms);
	for (guint i = r->waited_for->len; i-- > 0;)
		settle(r, g_ptr_array_index(r->waited_for, i), now_ms);
}

void cancel_rounds_abort(struct cancel_rounds *r)
{
	while (r->waited_for->len)
		answer_callers(r, g_ptr_array_index(r->waited_for, 0), false,
			       INT64_MAX);
}

uint32_t cancel_rounds_open(const struct cancel_rounds *r)
{
	return g_hash_table_size(r->cancels) - r->n_told;
}
