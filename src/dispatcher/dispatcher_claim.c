/*
 * dispatcher_claim: asks the coordinators for keys, those of one turn of
 * the loop together, and counts the votes. Loop thread only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/trace_file.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

#define VOTES_WAIT_MS 300
#define PATIENCE_MS 3000 /* while votes may still come */
#define TRY_AGAIN_MS 60
#define LINKS_MAX 32
#define RETRY_AFTER_MS 250

/* ---- Asking ---- */

static void fill_claim(const struct dispatcher *d, struct djob *j,
		       Cfw__Claim *claim)
{
	cfw__claim__init(claim);
	claim->key.data = j->key.bytes;
	claim->key.len = CF_KEY_SIZE;
	claim->epoch = j->epoch;
	claim->owner = d->incarnation;
	if (j->owners->len)
		claim->prior_owner =
			g_array_index(j->owners, uint64_t, j->owners->len - 1);
}

static void open_ballot(struct dispatcher *d, struct djob *j)
{
	struct cf_claim claim = { j->key, j->epoch, d->incarnation, 0 };
	const struct cf_view *views;
	size_t n = cf_config_views(session_config(d->session), &views);

	if (j->owners->len)
		claim.prior_owner =
			g_array_index(j->owners, uint64_t, j->owners->len - 1);
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

	d->claims_posted = false;
	request.seq = ++d->next_seq;
	request.claims = pointers;
	for (i = 0; i < d->claims->len; i++) {
		struct djob *j = d->claims->pdata[i];

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

static void queue_claim(struct dispatcher *d, struct djob *j)
{
	open_ballot(d, j);
	j->claim_ms = clock_now_ms();
	j->claim_seq = 0;
	j->votes_may_come = false;
	g_ptr_array_add(d->claims, j);
	if (d->claims_posted)
		return;
	d->claims_posted = true;
	loop_post(d->loop, flush_claims, d);
}

void claim_begin(struct dispatcher *d, struct djob *j)
{
	j->phase = DJOB_CLAIMING;
	j->claim_begin_ms = clock_now_ms();
	queue_claim(d, j);
}

/* Between two leaders there is no lease for a moment. */
void claim_wait_for_lease(struct dispatcher *d, struct djob *j, int64_t now_ms)
{
	(void)d;
	j->phase = DJOB_CLAIMING;
	j->claim_begin_ms = now_ms;
	j->claim_ms = now_ms;
}

void claim_forget(struct dispatcher *d, struct djob *j)
{
	g_ptr_array_remove_fast(d->claims, j);
	cf_ballot_destroy(j->ballot);
	j->ballot = NULL;
	j->claim_seq = 0;
}

/* ---- Verdicts ---- */

static const char *state_name(enum cf_claim_state state)
{
	static const char *const names[] = { "open", "won",    "owned",
					     "lost", "unsafe", "too-new" };

	return names[state];
}

static void trace_claim(const struct djob *j, enum cf_claim_state state,
			uint64_t owner)
{
	char key[CF_KEY_TEXT_SIZE];

	cf_key_format(&j->key, key);
	trace_event("claim", "key=%s epoch=%u owner=%016" PRIx64 " state=%s",
		    key, j->epoch, owner, state_name(state));
}

static void won(struct dispatcher *d, struct djob *j)
{
	j->owned = true;
	if (j->epoch) {
		adopt_won(d, j);
		return;
	}
	if (j->gated)
		settle_open(d, j);
	jobs_admit(d, j);
}

/* Tasks that went along with the claim are held at agents: drop them. */
static void drop_held(struct dispatcher *d, struct djob *j)
{
	if (!j->gated)
		return;
	place_remove(d, j);
	if (cf_job_unsettled(j->job))
		settle_cancel(d, j);
	agents_release_job(d, j);
	cf_job_destroy(j->job);
	j->job = cf_job_create(&j->key, j->number, j->request->tasks->len);
	j->gated = false;
}

static void owned_elsewhere(struct dispatcher *d, struct djob *j,
			    uint64_t owner)
{
	drop_held(d, j);
	if (owner == d->incarnation) {
		/* Ours, and forgotten: its answer went with the memory. */
		jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "forgotten",
			    "the key ran here, and its answer is forgotten", 0);
		return;
	}
	if (peer_forward(d, j, owner))
		return;
	g_array_append_val(j->owners, owner);
	adopt_begin(d, j);
}

static void unsafe(struct dispatcher *d, struct djob *j)
{
	int64_t now_ms = clock_now_ms();

	/* Between two leaders nobody votes for a moment, and a voter may not
	 * have heard of the fence yet. One that forgot will not remember:
	 * then the answer is final, at once. */
	if (j->votes_may_come && now_ms - j->claim_begin_ms < PATIENCE_MS) {
		j->claim_ms = now_ms;
		return;
	}
	drop_held(d, j);
	jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "no-claim",
		    "whether the key ran before cannot be ruled out",
		    RETRY_AFTER_MS);
}

static void decide(struct dispatcher *d, struct djob *j,
		   enum cf_claim_state state)
{
	uint64_t owner;

	if (state == CF_CLAIM_OPEN)
		return;
	owner = cf_ballot_owner(j->ballot);
	trace_claim(j, state, owner);
	/* Later votes must not decide again. */
	claim_forget(d, j);
	switch (state) {
	case CF_CLAIM_OPEN:
		break;
	case CF_CLAIM_WON:
		won(d, j);
		break;
	case CF_CLAIM_OWNED:
		owned_elsewhere(d, j, owner);
		break;
	case CF_CLAIM_LOST:
		drop_held(d, j);
		jobs_finish(d, j, 409, CF_ANSWER_NOT_RUN, "split-vote",
			    "dispatchers raced for the key and none won; "
			    "use a new key",
			    RETRY_AFTER_MS);
		break;
	case CF_CLAIM_UNSAFE:
		unsafe(d, j);
		break;
	case CF_CLAIM_TOO_NEW:
		drop_held(d, j);
		jobs_finish(d, j, 400, CF_ANSWER_NOT_RUN, "key-time",
			    "the time in Idempotency-Key lies ahead", 0);
		break;
	}
}

static void take_vote(struct dispatcher *d, const Cfw__ClaimReply *reply,
		      const Cfw__Vote *vote)
{
	struct cf_key key;
	struct djob *j;

	if (vote->key.len != CF_KEY_SIZE)
		return;
	memcpy(key.bytes, vote->key.data, CF_KEY_SIZE);
	j = jobs_find(d, &key);
	if (!j || j->phase == DJOB_ENDED || !j->ballot ||
	    j->claim_seq != reply->seq || j->epoch != vote->epoch ||
	    vote->verdict > CF_VOTE_UNFENCED)
		return;
	/* A vote of another view counts as none; the next one may count. */
	if (reply->not_voting || vote->verdict == CF_VOTE_UNFENCED ||
	    reply->view != j->ballot_view)
		j->votes_may_come = true;
	decide(d, j,
	       cf_ballot_add(j->ballot, reply->member_id, reply->view,
			     (enum cf_vote)vote->verdict, vote->owner));
}

void claim_take_reply(struct dispatcher *d, const Cfw__ClaimReply *reply)
{
	size_t i;

	for (i = 0; i < reply->n_votes; i++)
		take_vote(d, reply, reply->votes[i]);
}

static void give_up_without_lease(struct dispatcher *d, struct djob *j,
				  int64_t now_ms)
{
	if (now_ms - j->claim_begin_ms < PATIENCE_MS)
		return;
	drop_held(d, j);
	jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "no-lease",
		    "not taken here; whether the key ran elsewhere "
		    "is not known",
		    RETRY_AFTER_MS);
}

void claim_tick(struct dispatcher *d, struct djob *j, int64_t now_ms)
{
	if (!j->ballot) {
		if (!session_lease_held(d->session, now_ms))
			give_up_without_lease(d, j, now_ms);
		else if (now_ms - j->claim_ms >= TRY_AGAIN_MS)
			queue_claim(d, j);
		return;
	}
	if (j->claim_seq && now_ms - j->claim_ms >= VOTES_WAIT_MS) {
		j->votes_may_come = true;
		decide(d, j, cf_ballot_close(j->ballot));
	}
}
