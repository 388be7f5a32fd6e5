/*
 * dispatcher_claim: claims keys at the coordinators and counts their votes. The
 * claims of one loop iteration share a request. Loop thread only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/trace_file.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

#define VOTES_TIMEOUT_MS 300
/* Limit for retries while there is no lease or later votes are possible. */
#define CLAIM_RETRY_TIMEOUT_MS 3000
#define CLAIM_RETRY_INTERVAL_MS 60
#define LINKS_MAX 32
#define RETRY_AFTER_MS 250

/* ---- Requests ---- */

static void fill_claim(const struct dispatcher *d, struct dispatcher_job *j,
		       Cfw__Claim *claim)
{
	cfw__claim__init(claim);
	claim->key.data = j->key.bytes;
	claim->key.len = CF_KEY_SIZE;
	claim->epoch = j->epoch;
	claim->owner = d->incarnation;
	if (j->prior_owners->len)
		claim->prior_owner = g_array_index(j->prior_owners, uint64_t,
						   j->prior_owners->len - 1);
}

static void open_ballot(struct dispatcher *d, struct dispatcher_job *j)
{
	struct cf_claim claim = { j->key, j->epoch, d->incarnation, 0 };
	const struct cf_view *views;
	size_t n = cf_config_views(session_config(d->session), &views);

	if (j->prior_owners->len)
		claim.prior_owner = g_array_index(j->prior_owners, uint64_t,
						  j->prior_owners->len - 1);
	cf_ballot_destroy(j->ballot);
	j->ballot = cf_ballot_create(&claim, views, n);
	j->ballot_view = n ? views[n - 1].number : 0;
}

static void flush_claims(void *arg)
{
	struct dispatcher *d = arg;
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__ClaimRequest request = CFW__CLAIM_REQUEST__INIT;
	struct link *links[LINKS_MAX];
	Cfw__Claim *claims = g_new(Cfw__Claim, d->claims->len + 1);
	Cfw__Claim **pointers = g_new(Cfw__Claim *, d->claims->len + 1);
	size_t n_links = session_links(d->session, links, LINKS_MAX), i;

	d->claim_flush_posted = false;
	request.seq = ++d->next_seq;
	request.claims = pointers;
	for (i = 0; i < d->claims->len; i++) {
		struct dispatcher_job *j = d->claims->pdata[i];

		fill_claim(d, j, &claims[i]);
		pointers[i] = &claims[i];
		j->claim_seq = request.seq;
	}
	request.n_claims = d->claims->len;
	envelope.body_case = CFW__ENVELOPE__BODY_CLAIM_REQUEST;
	envelope.claim_request = &request;
	for (i = 0; request.n_claims && i < n_links; i++)
		link_send(links[i], &envelope);
	counter_add(d->counters.claims, (int64_t)request.n_claims);
	g_ptr_array_set_size(d->claims, 0);
	g_free(claims);
	g_free(pointers);
}

static void queue_claim(struct dispatcher *d, struct dispatcher_job *j)
{
	open_ballot(d, j);
	j->claim_ms = clock_now_ms();
	j->claim_seq = 0;
	j->later_votes_possible = false;
	g_ptr_array_add(d->claims, j);
	if (d->claim_flush_posted)
		return;
	d->claim_flush_posted = true;
	loop_post(d->loop, flush_claims, d);
}

void claim_begin(struct dispatcher *d, struct dispatcher_job *j)
{
	j->phase = JOB_PHASE_CLAIMING;
	j->claim_begin_ms = clock_now_ms();
	queue_claim(d, j);
}

/* During a change of leader there is briefly no lease. */
void claim_wait_for_lease(struct dispatcher *d, struct dispatcher_job *j,
			  int64_t now_ms)
{
	(void)d;
	j->phase = JOB_PHASE_CLAIMING;
	j->claim_begin_ms = now_ms;
	j->claim_ms = now_ms;
}

void claim_discard(struct dispatcher *d, struct dispatcher_job *j)
{
	g_ptr_array_remove_fast(d->claims, j);
	cf_ballot_destroy(j->ballot);
	j->ballot = NULL;
	j->claim_seq = 0;
}

/* ---- Votes and outcomes ---- */

static const char *state_name(enum cf_claim_state state)
{
	static const char *const names[] = { "open", "won",    "owned",
					     "lost", "unsafe", "too-new" };

	return names[state];
}

static void trace_claim(const struct dispatcher_job *j,
			enum cf_claim_state state, uint64_t owner)
{
	char key[CF_KEY_TEXT_SIZE];

	cf_key_format(&j->key, key);
	trace_event("claim", "key=%s epoch=%u owner=%016" PRIx64 " state=%s",
		    key, j->epoch, owner, state_name(state));
}

static void handle_claim_won(struct dispatcher *d, struct dispatcher_job *j)
{
	j->owned = true;
	if (j->epoch) {
		adopt_claim_won(d, j);
		return;
	}
	if (j->gated)
		settle_send_open(d, j);
	jobs_admit(d, j);
}

/* Cancels tasks that were sent before the claim was decided. Agents hold them
 * until the claim is won. */
static void drop_gated_tasks(struct dispatcher *d, struct dispatcher_job *j)
{
	if (!j->gated)
		return;
	place_remove(d, j);
	if (cf_job_pending_count(j->job))
		settle_send_cancel(d, j);
	agents_release_job(d, j);
	cf_job_destroy(j->job);
	j->job = cf_job_create(&j->key, j->number, j->request->tasks->len);
	j->gated = false;
}

static void handle_claim_owned(struct dispatcher *d, struct dispatcher_job *j,
			       uint64_t owner)
{
	drop_gated_tasks(d, j);
	if (owner == d->incarnation) {
		/* This dispatcher ran the key and has dropped its answer. */
		jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "forgotten",
			    "the key ran here, and its answer is forgotten", 0);
		return;
	}
	if (peer_forward(d, j, owner))
		return;
	g_array_append_val(j->prior_owners, owner);
	adopt_begin(d, j);
}

static void handle_claim_unsafe(struct dispatcher *d, struct dispatcher_job *j)
{
	int64_t now_ms = clock_now_ms();

	/* Retry while votes may still come: during a change of leader no member
	 * votes for a moment, and a voter may not know of the fence yet. A
	 * voter that has lost its votes cannot recover them. If all missing
	 * votes are lost in this way, the answer is final at once. */
	if (j->later_votes_possible &&
	    now_ms - j->claim_begin_ms < CLAIM_RETRY_TIMEOUT_MS) {
		j->claim_ms = now_ms;
		return;
	}
	drop_gated_tasks(d, j);
	jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "no-claim",
		    "whether the key ran before cannot be ruled out",
		    RETRY_AFTER_MS);
}

static void apply_claim_state(struct dispatcher *d, struct dispatcher_job *j,
			      enum cf_claim_state state)
{
	uint64_t owner;

	if (state == CF_CLAIM_OPEN)
		return;
	owner = cf_ballot_owner(j->ballot);
	trace_claim(j, state, owner);
	/* Ignore later votes, since the claim is decided. */
	claim_discard(d, j);
	switch (state) {
	case CF_CLAIM_OPEN:
		break;
	case CF_CLAIM_WON:
		handle_claim_won(d, j);
		break;
	case CF_CLAIM_OWNED:
		handle_claim_owned(d, j, owner);
		break;
	case CF_CLAIM_LOST:
		drop_gated_tasks(d, j);
		jobs_finish(d, j, 409, CF_ANSWER_NOT_RUN, "split-vote",
			    "dispatchers raced for the key and none won; "
			    "use a new key",
			    RETRY_AFTER_MS);
		break;
	case CF_CLAIM_UNSAFE:
		handle_claim_unsafe(d, j);
		break;
	case CF_CLAIM_TOO_NEW:
		drop_gated_tasks(d, j);
		jobs_finish(d, j, 400, CF_ANSWER_NOT_RUN, "key-time",
			    "the time in Idempotency-Key lies ahead", 0);
		break;
	}
}

static void handle_vote(struct dispatcher *d, const Cfw__ClaimReply *reply,
			const Cfw__Vote *vote)
{
	struct cf_key key;
	struct dispatcher_job *j;

	if (vote->key.len != CF_KEY_SIZE)
		return;
	memcpy(key.bytes, vote->key.data, CF_KEY_SIZE);
	j = jobs_find(d, &key);
	if (!j || j->phase == JOB_PHASE_ENDED || !j->ballot ||
	    j->claim_seq != reply->seq || j->epoch != vote->epoch ||
	    vote->verdict > CF_VOTE_UNFENCED)
		return;
	/* A vote from another view does not count; a later vote may. */
	if (reply->not_voting || vote->verdict == CF_VOTE_UNFENCED ||
	    reply->view != j->ballot_view)
		j->later_votes_possible = true;
	apply_claim_state(
		d, j,
		cf_ballot_add(j->ballot, reply->member_id, reply->view,
			      (enum cf_vote)vote->verdict, vote->owner));
}

void claim_handle_reply(struct dispatcher *d, const Cfw__ClaimReply *reply)
{
	size_t i;

	for (i = 0; i < reply->n_votes; i++)
		handle_vote(d, reply, reply->votes[i]);
}

static void give_up_without_lease(struct dispatcher *d,
				  struct dispatcher_job *j, int64_t now_ms)
{
	if (now_ms - j->claim_begin_ms < CLAIM_RETRY_TIMEOUT_MS)
		return;
	drop_gated_tasks(d, j);
	jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "no-lease",
		    "not taken here; whether the key ran elsewhere "
		    "is not known",
		    RETRY_AFTER_MS);
}

void claim_tick(struct dispatcher *d, struct dispatcher_job *j, int64_t now_ms)
{
	if (!j->ballot) {
		if (!session_lease_held(d->session, now_ms))
			give_up_without_lease(d, j, now_ms);
		else if (now_ms - j->claim_ms >= CLAIM_RETRY_INTERVAL_MS)
			queue_claim(d, j);
		return;
	}
	if (j->claim_seq && now_ms - j->claim_ms >= VOTES_TIMEOUT_MS) {
		j->later_votes_possible = true;
		apply_claim_state(d, j, cf_ballot_close(j->ballot));
	}
}
