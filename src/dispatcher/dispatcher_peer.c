/*
 * dispatcher_peer: requests between dispatchers. A resubmission is forwarded to
 * the key's owner. Cancellations and lookups of keys that are unknown here go
 * to all other dispatchers. Loop thread only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"

#include <string.h>

/* ---- Constants ---- */

#define METHOD_SUBMIT 0
#define METHOD_CANCEL 1
#define METHOD_LOOK_UP 2
#define LOOKUP_TIMEOUT_MS 500
#define RETRY_AFTER_MS 500
/* Wait for a connection to the owner or for its removal from the roster. */
#define OWNER_CONNECT_TIMEOUT_MS 4000
#define STATUS_UNKNOWN_KEY 404

/* ---- Types ---- */

/* A cancellation or lookup that was sent to other dispatchers. */
struct lookup {
	uint64_t seq;
	struct waiter waiter;
	uint32_t waiting; /* number of peers without an answer */
	int64_t end_ms;
};

/* ---- Peers ---- */

void peer_free(gpointer data)
{
	struct peer *peer = data;

	g_free(peer->address);
	g_free(peer);
}

void peer_lookup_free(gpointer lookup)
{
	g_free(lookup);
}

static void add_peer(struct dispatcher *d, const Cfw__RosterEntry *entry)
{
	struct peer *peer = g_hash_table_lookup(d->peers, &entry->incarnation);

	if (entry->role != CFW__ROLE__ROLE_DISPATCHER ||
	    entry->incarnation == d->incarnation)
		return;
	if (!peer) {
		peer = g_new0(struct peer, 1);
		peer->incarnation = entry->incarnation;
		peer->address = g_strdup(entry->address);
		peer->link = link_dial(d->hub, entry->address);
		g_hash_table_insert(d->peers, &peer->incarnation, peer);
	}
	peer->listed = true;
}

static gboolean drop_unlisted(gpointer key, gpointer value, gpointer settled)
{
	struct peer *peer = value;

	(void)key;
	if (peer->listed || !settled)
		return FALSE;
	link_drop(peer->link);
	return TRUE;
}

void peer_apply_roster(struct dispatcher *d, const Cfw__Roster *roster)
{
	GHashTableIter iter;
	struct peer *peer;
	size_t i;

	g_hash_table_iter_init(&iter, d->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		peer->listed = false;
	for (i = 0; i < roster->n_entries; i++)
		add_peer(d, roster->entries[i]);
	g_hash_table_foreach_remove(d->peers, drop_unlisted,
				    GINT_TO_POINTER(roster->settled));
}

static struct link *outbound_link(struct dispatcher *d, uint64_t incarnation)
{
	struct peer *peer = g_hash_table_lookup(d->peers, &incarnation);

	if (!peer || !link_is_up(peer->link) ||
	    link_peer(peer->link)->incarnation != incarnation)
		return NULL;
	return peer->link;
}

/* A dispatcher may send requests before it is on the roster here. Then only its
 * own connection to this dispatcher exists. */
struct link *peer_any_link(struct dispatcher *d, uint64_t incarnation)
{
	struct link *link = outbound_link(d, incarnation);

	return link ? link
		    : g_hash_table_lookup(d->inbound_links, &incarnation);
}

bool peer_listed(struct dispatcher *d, uint64_t incarnation)
{
	return g_hash_table_lookup(d->peers, &incarnation) != NULL;
}

/* ---- Forwarding ---- */

static bool send_forward(struct dispatcher *d, struct link *link, uint64_t seq,
			 const struct cf_key *key, uint32_t method,
			 GBytes *body)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Forward forward = CFW__FORWARD__INIT;
	gsize size = 0;

	forward.seq = seq;
	forward.key.data = (uint8_t *)key->bytes;
	forward.key.len = CF_KEY_SIZE;
	forward.method = method;
	if (body)
		forward.body.data = (uint8_t *)g_bytes_get_data(body, &size);
	forward.body.len = size;
	envelope.body_case = CFW__ENVELOPE__BODY_FORWARD;
	envelope.forward = &forward;
	counter_add(d->counters.forwards, 1);
	return link_send(link, &envelope);
}

static void forward_job(struct dispatcher *d, struct dispatcher_job *j)
{
	struct link *link = outbound_link(d, j->forwarded_to);

	if (!link)
		return;
	j->forward_seq = ++d->next_seq;
	if (!send_forward(d, link, j->forward_seq, &j->key, METHOD_SUBMIT,
			  j->request->body))
		j->forward_seq = 0;
}

/* Refuses peers that wait for the job. Otherwise two dispatchers whose votes
 * name each other as owner would wait for each other forever. */
static void refuse_peer_waiters(struct dispatcher *d, struct dispatcher_job *j)
{
	guint i = j->waiters->len;

	while (i--) {
		struct waiter waiter =
			g_array_index(j->waiters, struct waiter, i);

		if (!waiter.peer)
			continue;
		g_array_remove_index(j->waiters, i);
		answer_failed(d, &waiter, 503, CF_ANSWER_UNKNOWN, "no-claim",
			      "votes name another owner here", RETRY_AFTER_MS);
	}
}

/*
 * Forwards a job to the key's owner. Returns false and leaves the job unchanged
 * if the owner is not on the roster. If there is no connection to the owner
 * yet, the job is sent as soon as there is one.
 */
bool peer_forward(struct dispatcher *d, struct dispatcher_job *j,
		  uint64_t owner)
{
	if (!peer_listed(d, owner))
		return false;
	j->phase = JOB_PHASE_FORWARDED;
	j->forwarded_to = owner;
	j->forward_seq = 0;
	j->forward_ms = clock_now_ms();
	refuse_peer_waiters(d, j);
	forward_job(d, j);
	return true;
}

/* Forwards again over a new connection, or adopts the key if its owner has left
 * the roster. */
void peer_forward_tick(struct dispatcher *d, struct dispatcher_job *j,
		       int64_t now_ms)
{
	if (!peer_listed(d, j->forwarded_to)) {
		g_array_append_val(j->prior_owners, j->forwarded_to);
		adopt_begin(d, j);
		return;
	}
	if (!j->forward_seq)
		forward_job(d, j);
	if (!j->forward_seq &&
	    now_ms - j->forward_ms >= OWNER_CONNECT_TIMEOUT_MS)
		jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "owner-unreachable",
			    "the dispatcher that has the key cannot be reached",
			    RETRY_AFTER_MS);
}

bool peer_query_all(struct dispatcher *d, const struct cf_key *key,
		    uint32_t method, const struct waiter *waiter)
{
	struct lookup *lookup = g_new0(struct lookup, 1);
	GHashTableIter iter;
	struct peer *peer;

	lookup->seq = ++d->next_seq;
	lookup->waiter = *waiter;
	lookup->end_ms = clock_now_ms() + LOOKUP_TIMEOUT_MS;
	g_hash_table_iter_init(&iter, d->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		if (outbound_link(d, peer->incarnation) &&
		    send_forward(d, peer->link, lookup->seq, key, method, NULL))
			lookup->waiting++;
	if (!lookup->waiting) {
		g_free(lookup);
		return false;
	}
	g_hash_table_insert(d->lookups, &lookup->seq, lookup);
	return true;
}

/* ---- Answers ---- */

static void finish_lookup(struct dispatcher *d, struct lookup *lookup,
			  uint32_t status, const void *body, size_t size)
{
	struct answer answer = { .status = status };

	answer.body = g_bytes_new(body, size);
	answer_send(d, &lookup->waiter, &answer);
	g_bytes_unref(answer.body);
	g_hash_table_remove(d->lookups, &lookup->seq);
}

static void handle_lookup_reply(struct dispatcher *d, struct lookup *lookup,
				const Cfw__ForwardReply *reply)
{
	lookup->waiting--;
	if (reply->status != STATUS_UNKNOWN_KEY || !lookup->waiting)
		finish_lookup(d, lookup, reply->status, reply->body.data,
			      reply->body.len);
}

void peer_handle_reply(struct dispatcher *d, const Cfw__ForwardReply *reply)
{
	struct lookup *lookup = g_hash_table_lookup(d->lookups, &reply->seq);
	guint i;

	if (lookup) {
		handle_lookup_reply(d, lookup, reply);
		return;
	}
	for (i = 0; i < d->active->len; i++) {
		struct dispatcher_job *j = d->active->pdata[i];

		if (j->phase != JOB_PHASE_FORWARDED ||
		    j->forward_seq != reply->seq)
			continue;
		jobs_finish_forwarded(d, j, reply->status,
				      reply->retry_after_ms, reply->body.data,
				      reply->body.len);
		return;
	}
}

void peer_handle_forward(struct dispatcher *d, struct link *link,
			 const Cfw__Forward *forward)
{
	struct waiter waiter = { NULL, link_peer(link)->incarnation,
				 forward->seq };
	struct request_error error;
	struct job_request *request;
	struct cf_key key;
	char text[CF_KEY_TEXT_SIZE];

	if (forward->key.len != CF_KEY_SIZE)
		return;
	memcpy(key.bytes, forward->key.data, CF_KEY_SIZE);
	if (forward->method == METHOD_CANCEL) {
		jobs_cancel(d, &key, &waiter);
		return;
	}
	if (forward->method == METHOD_LOOK_UP) {
		jobs_look_up(d, &key, &waiter);
		return;
	}
	cf_key_format(&key, text);
	request = request_parse(&d->request_config, text, forward->body.data,
				forward->body.len, &error);
	if (request)
		jobs_submit(d, request, &waiter);
	else
		answer_failed(d, &waiter, error.status, CF_ANSWER_UNKNOWN,
			      error.reason, error.message, 0);
}

/* ---- Connections ---- */

void peer_link_up(struct dispatcher *d, struct link *link)
{
	const struct link_identity *from = link_peer(link);

	if (from->role != CFW__ROLE__ROLE_DISPATCHER)
		return;
	g_hash_table_replace(
		d->inbound_links,
		g_memdup2(&from->incarnation, sizeof(from->incarnation)), link);
}

void peer_link_down(struct dispatcher *d, struct link *link)
{
	uint64_t incarnation = link_peer(link)->incarnation;
	struct peer *peer = g_hash_table_lookup(d->peers, &incarnation);
	guint i;

	if (g_hash_table_lookup(d->inbound_links, &incarnation) == link)
		g_hash_table_remove(d->inbound_links, &incarnation);
	if (!peer || peer->link != link)
		return;
	for (i = 0; i < d->active->len; i++) {
		struct dispatcher_job *j = d->active->pdata[i];

		if (j->phase != JOB_PHASE_FORWARDED ||
		    j->forwarded_to != incarnation)
			continue;
		j->forward_seq = 0;
		j->forward_ms = clock_now_ms();
	}
}

/* ---- Timer ---- */

void peer_tick(struct dispatcher *d, int64_t now_ms)
{
	static const char text[] =
		"{\"outcome\":\"failed\",\"ran\":\"unknown\","
		"\"reason\":\"unknown-key\","
		"\"message\":\"no dispatcher that answers knows the key\"}";
	GHashTableIter iter;
	struct lookup *lookup;
	GPtrArray *expired = g_ptr_array_new();
	guint i;

	g_hash_table_iter_init(&iter, d->lookups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&lookup))
		if (now_ms >= lookup->end_ms)
			g_ptr_array_add(expired, lookup);
	for (i = 0; i < expired->len; i++)
		finish_lookup(d, expired->pdata[i], STATUS_UNKNOWN_KEY, text,
			      sizeof(text) - 1);
	g_ptr_array_free(expired, TRUE);
}
