/*
 * dispatcher_adopt: takes over a key whose owner is dead. The leader
 * fences the owner, the claim's next epoch makes this dispatcher the
 * owner, and every agent on the roster read after the fence says what it
 * knows of the key and fences the rest. Loop thread only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/logger.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

#define ANSWER_WAIT_MS 1000 /* for agents' replies, from the query */
#define ASK_AGAIN_MS 50 /* while a task is running */
#define FENCE_AGAIN_MS 200 /* while the leader cannot tell yet */
#define EPOCHS_MAX 16

/* ---- Types ---- */

struct asked {
	uint64_t incarnation;
	bool sent, answered; /* in this round of queries */
};

struct adoption {
	GArray *agents; /* struct asked */
	GHashTable *done; /* index -> GBytes */
	GHashTable *running; /* set of indexes */
	bool querying, failed, missing;
	int64_t query_ms; /* the newest round */
	int64_t fence_ms; /* ask the leader again then, 0: asked */
	int64_t last_departure_ms;
};

/* The job may have ended before the leader answers. */
struct fence_wait {
	struct dispatcher *d;
	struct cf_key key;
	uint64_t number;
};

/* ---- Memory ---- */

static struct adoption *new_adoption(void)
{
	struct adoption *a = g_new0(struct adoption, 1);

	a->agents = g_array_new(FALSE, TRUE, sizeof(struct asked));
	a->done = g_hash_table_new_full(NULL, NULL, NULL,
					(GDestroyNotify)g_bytes_unref);
	a->running = g_hash_table_new(NULL, NULL);
	return a;
}

void adopt_free(struct adoption *a)
{
	if (!a)
		return;
	g_array_free(a->agents, TRUE);
	g_hash_table_destroy(a->done);
	g_hash_table_destroy(a->running);
	g_free(a);
}

/* ---- End ---- */

static void give_up(struct dispatcher *d, struct djob *j, const char *message)
{
	jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "owner-lost", message, 0);
}

/* What ran is known; the rest was fenced everywhere and may run here. */
static void run_rest(struct dispatcher *d, struct djob *j)
{
	struct adoption *a = j->adoption;
	GHashTableIter iter;
	gpointer index, result;
	const uint64_t former = 1; /* no agent's: results, not tasks, moved */

	g_hash_table_iter_init(&iter, a->done);
	while (g_hash_table_iter_next(&iter, &index, &result)) {
		cf_job_send(j->job, GPOINTER_TO_UINT(index), former);
		cf_job_event(j->job, GPOINTER_TO_UINT(index), former,
			     CF_EVENT_DONE, result, NULL);
	}
	adopt_free(a);
	j->adoption = NULL;
	j->phase = DJOB_RUNNING;
	if (cf_job_answer(j->job, NULL) != CF_ANSWER_NONE)
		jobs_check(d, j);
	else
		jobs_admit(d, j);
}

/* An agent's part that nobody can tell any more may have run. */
static bool is_unsure(const struct djob *j)
{
	return j->adoption->missing ||
	       j->adoption->last_departure_ms >=
		       cf_key_time_ms(&j->key) - CF_CLOCK_SKEW_MS;
}

static void conclude(struct dispatcher *d, struct djob *j)
{
	struct adoption *a = j->adoption;
	bool whole = g_hash_table_size(a->done) == j->request->tasks->len;

	if (a->failed)
		give_up(d, j, "a task failed at an earlier owner");
	else if (!whole && a->missing)
		give_up(d, j, "an agent cannot say what it ran");
	else if (!whole && is_unsure(j))
		give_up(d, j, "an agent left since; what it ran is unknown");
	else
		run_rest(d, j);
}

/* ---- Agents' answers ---- */

static void query_agent(struct dispatcher *d, struct djob *j,
			struct asked *asked)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Query query = CFW__QUERY__INIT;
	struct dagent *agent = agents_find(d, asked->incarnation);

	if (!agent) {
		/* It is gone, and cannot answer. */
		j->adoption->missing = true;
		asked->answered = true;
		return;
	}
	query.seq = ++d->next_seq;
	query.key.data = j->key.bytes;
	query.key.len = CF_KEY_SIZE;
	query.fence = true;
	query.epoch = j->epoch;
	envelope.body_case = CFW__ENVELOPE__BODY_QUERY;
	envelope.query = &query;
	asked->sent = !agent->down_ms && link_send(agent->link, &envelope);
	if (asked->sent)
		counter_add(d->counters.queries, 1);
}

static bool all_answered(const struct adoption *a)
{
	guint i;

	for (i = 0; i < a->agents->len; i++)
		if (!g_array_index(a->agents, struct asked, i).answered)
			return false;
	return true;
}

/* Those whose connection is not up yet are asked when it is. */
static void query_unsent(struct dispatcher *d, struct djob *j)
{
	GArray *agents = j->adoption->agents;
	guint i;

	for (i = 0; i < agents->len; i++) {
		struct asked *asked = &g_array_index(agents, struct asked, i);

		if (!asked->sent && !asked->answered)
			query_agent(d, j, asked);
	}
}

static void query_all(struct dispatcher *d, struct djob *j, int64_t now_ms)
{
	struct adoption *a = j->adoption;
	guint i;

	a->query_ms = now_ms;
	g_hash_table_remove_all(a->running);
	for (i = 0; i < a->agents->len; i++) {
		struct asked *asked =
			&g_array_index(a->agents, struct asked, i);

		asked->sent = false;
		asked->answered = false;
	}
	query_unsent(d, j);
}

/* Waits for what runs only while the answer can still become whole. */
static void check_answers(struct dispatcher *d, struct djob *j)
{
	struct adoption *a = j->adoption;
	guint running = g_hash_table_size(a->running);
	guint known = g_hash_table_size(a->done) + running;

	if (!all_answered(a))
		return;
	if (running && !a->failed &&
	    (known >= j->request->tasks->len || !is_unsure(j)))
		return;
	conclude(d, j);
}

/* Of a round that has lasted long enough. */
static void miss_silent(struct adoption *a)
{
	guint i;

	for (i = 0; i < a->agents->len; i++) {
		struct asked *asked =
			&g_array_index(a->agents, struct asked, i);

		a->missing |= !asked->answered;
		asked->answered = true;
	}
}

static void take_result(struct adoption *a, const Cfw__Result *result,
			uint32_t n_tasks)
{
	gpointer index = GUINT_TO_POINTER(result->index);

	if (result->index >= n_tasks)
		return;
	switch (result->outcome) {
	case CFW__TASK_OUTCOME__TASK_DONE:
		g_hash_table_replace(
			a->done, index,
			g_bytes_new(result->payload.data, result->payload.len));
		break;
	case CFW__TASK_OUTCOME__TASK_FAILED:
	case CFW__TASK_OUTCOME__TASK_UNKNOWN:
		a->failed = true;
		break;
	case CFW__TASK_OUTCOME__TASK_RUNNING:
		g_hash_table_add(a->running, index);
		break;
	default:
		break;
	}
}

void adopt_take_reply(struct dispatcher *d, struct djob *j,
		      const Cfw__QueryReply *reply)
{
	struct adoption *a = j->adoption;
	size_t i;
	guint k;

	if (!a || !a->querying)
		return;
	for (i = 0; i < reply->n_results; i++)
		take_result(a, reply->results[i], j->request->tasks->len);
	for (k = 0; k < a->agents->len; k++) {
		struct asked *asked =
			&g_array_index(a->agents, struct asked, k);

		if (asked->incarnation == reply->agent)
			asked->answered = true;
	}
	check_answers(d, j);
}

/* ---- Fence ---- */

static void ask_fence(struct dispatcher *d, struct djob *j);

static void keep_roster(struct adoption *a, const Cfw__Roster *roster)
{
	size_t i;

	a->last_departure_ms = roster->last_departure_ms;
	g_array_set_size(a->agents, 0);
	for (i = 0; i < roster->n_entries; i++) {
		struct asked asked = { roster->entries[i]->incarnation, false,
				       false };

		if (roster->entries[i]->role == CFW__ROLE__ROLE_AGENT)
			g_array_append_val(a->agents, asked);
	}
}

static void take_fence(void *arg, const Cfw__FenceReply *reply)
{
	struct fence_wait *wait = arg;
	struct dispatcher *d = wait->d;
	struct djob *j = jobs_find(d, &wait->key);
	uint64_t owner;

	if (!j || j->phase != DJOB_ADOPTING || j->number != wait->number) {
		g_free(wait);
		return;
	}
	g_free(wait);
	owner = g_array_index(j->owners, uint64_t, j->owners->len - 1);
	if (reply && reply->alive) {
		/* It came back: it has the answer, or will have it. */
		if (peer_forward(d, j, owner))
			g_array_set_size(j->owners, j->owners->len - 1);
		else
			j->adoption->fence_ms = clock_now_ms() + FENCE_AGAIN_MS;
		return;
	}
	/* The roster of a leader fresh in office may lack agents that the
	 * key ran at. */
	if (!reply || !reply->fenced || !reply->roster ||
	    !reply->roster->settled) {
		j->adoption->fence_ms = clock_now_ms() + FENCE_AGAIN_MS;
		return;
	}
	keep_roster(j->adoption, reply->roster);
	agents_take_roster(d, reply->roster);
	j->epoch++;
	claim_begin(d, j);
}

static void ask_fence(struct dispatcher *d, struct djob *j)
{
	struct fence_wait *wait = g_new0(struct fence_wait, 1);

	wait->d = d;
	wait->key = j->key;
	wait->number = j->number;
	j->adoption->fence_ms = 0;
	session_fence(d->session,
		      g_array_index(j->owners, uint64_t, j->owners->len - 1),
		      take_fence, wait);
}

/* ---- Public functions ---- */

void adopt_begin(struct dispatcher *d, struct djob *j)
{
	uint64_t owner = g_array_index(j->owners, uint64_t, j->owners->len - 1);

	if (j->epoch + 1 >= EPOCHS_MAX) {
		give_up(d, j, "too many owners were lost");
		return;
	}
	counter_add(d->counters.adoptions, 1);
	log_event(LOG_WARN, "job_adopted", "owner=%016" PRIx64 " epoch=%u",
		  owner, j->epoch + 1);
	j->phase = DJOB_ADOPTING;
	if (!j->adoption)
		j->adoption = new_adoption();
	ask_fence(d, j);
}

void adopt_won(struct dispatcher *d, struct djob *j)
{
	j->phase = DJOB_ADOPTING;
	j->adoption->querying = true;
	query_all(d, j, clock_now_ms());
	check_answers(d, j);
}

void adopt_tick(struct dispatcher *d, struct djob *j, int64_t now_ms)
{
	struct adoption *a = j->adoption;

	if (!a->querying) {
		if (a->fence_ms && now_ms >= a->fence_ms)
			ask_fence(d, j);
		return;
	}
	if (all_answered(a)) {
		if (now_ms - a->query_ms >= ASK_AGAIN_MS)
			query_all(d, j, now_ms);
	} else {
		query_unsent(d, j);
		if (now_ms - a->query_ms >= ANSWER_WAIT_MS)
			miss_silent(a);
	}
	check_answers(d, j);
}
