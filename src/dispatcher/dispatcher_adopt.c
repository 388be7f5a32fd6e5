/*
 * dispatcher_adopt: takes over a key whose owner has failed. The leader fences
 * the owner, and a claim at the next epoch makes this dispatcher the owner.
 * Then every agent on the roster that was read after the fence reports what it
 * knows of the key's tasks and fences all others. Loop thread only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/logger.h"

#include <inttypes.h>
#include <string.h>

/* ---- Constants ---- */

/* Wait for agents' replies, from the start of a round of queries. */
#define QUERY_TIMEOUT_MS 1000
/* Interval of query rounds while a task of the key is running. */
#define QUERY_INTERVAL_MS 50
/* Interval of fence requests while the leader cannot decide yet. */
#define FENCE_RETRY_MS 200
#define EPOCHS_MAX 16

/* ---- Types ---- */

struct agent_query {
	uint64_t incarnation;
	bool sent, answered; /* in this round of queries */
};

struct adoption {
	GArray *agents; /* struct agent_query */
	GHashTable *done; /* index -> GBytes */
	GHashTable *running; /* set of indexes */
	bool querying, failed, agent_missing;
	int64_t query_ms; /* start of the newest round */
	int64_t fence_retry_ms; /* next request, 0 while one is pending */
	int64_t last_departure_ms;
};

/* Context of a fence request. It names the job by key and number, since the job
 * may end before the leader replies. */
struct fence_wait {
	struct dispatcher *d;
	struct cf_key key;
	uint64_t number;
};

/* ---- Allocation ---- */

static struct adoption *new_adoption(void)
{
	struct adoption *a = g_new0(struct adoption, 1);

	a->agents = g_array_new(FALSE, TRUE, sizeof(struct agent_query));
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

static void fail_adoption(struct dispatcher *d, struct dispatcher_job *j,
			  const char *message)
{
	jobs_finish(d, j, 503, CF_ANSWER_UNKNOWN, "owner-lost", message, 0);
}

/* Records the results of tasks that ran. All agents have fenced the remaining
 * tasks, so these may run here. */
static void run_remaining_tasks(struct dispatcher *d, struct dispatcher_job *j)
{
	struct adoption *a = j->adoption;
	GHashTableIter iter;
	gpointer index, result;
	/* No agent's incarnation: only results are adopted, not tasks. */
	const uint64_t no_agent = 1;

	g_hash_table_iter_init(&iter, a->done);
	while (g_hash_table_iter_next(&iter, &index, &result)) {
		cf_job_send(j->job, GPOINTER_TO_UINT(index), no_agent);
		cf_job_event(j->job, GPOINTER_TO_UINT(index), no_agent,
			     CF_EVENT_DONE, result, NULL);
	}
	adopt_free(a);
	j->adoption = NULL;
	j->phase = JOB_PHASE_RUNNING;
	if (cf_job_answer(j->job, NULL) != CF_ANSWER_NONE)
		jobs_finish_if_ended(d, j);
	else
		jobs_admit(d, j);
}

/* Returns true if an agent that left or did not answer may have run tasks of
 * the key. */
static bool outcome_uncertain(const struct dispatcher_job *j)
{
	return j->adoption->agent_missing ||
	       j->adoption->last_departure_ms >=
		       cf_key_time_ms(&j->key) - CF_CLOCK_SKEW_MS;
}

static void finish_adoption(struct dispatcher *d, struct dispatcher_job *j)
{
	struct adoption *a = j->adoption;
	bool complete = g_hash_table_size(a->done) == j->request->tasks->len;

	if (a->failed)
		fail_adoption(d, j, "a task failed at an earlier owner");
	else if (!complete && a->agent_missing)
		fail_adoption(d, j, "an agent cannot say what it ran");
	else if (!complete && outcome_uncertain(j))
		fail_adoption(d, j,
			      "an agent left since; what it ran is unknown");
	else
		run_remaining_tasks(d, j);
}

/* ---- Agents' answers ---- */

static void query_agent(struct dispatcher *d, struct dispatcher_job *j,
			struct agent_query *agent_query)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Query query = CFW__QUERY__INIT;
	struct dispatcher_agent *agent =
		agents_find(d, agent_query->incarnation);

	if (!agent) {
		/* The agent is gone and cannot answer. */
		j->adoption->agent_missing = true;
		agent_query->answered = true;
		return;
	}
	query.seq = ++d->next_seq;
	query.key.data = j->key.bytes;
	query.key.len = CF_KEY_SIZE;
	query.fence = true;
	query.epoch = j->epoch;
	envelope.body_case = CFW__ENVELOPE__BODY_QUERY;
	envelope.query = &query;
	agent_query->sent = !agent->disconnected_since_ms &&
			    link_send(agent->link, &envelope);
	if (agent_query->sent)
		counter_add(d->counters.queries, 1);
}

static bool all_answered(const struct adoption *a)
{
	guint i;

	for (i = 0; i < a->agents->len; i++)
		if (!g_array_index(a->agents, struct agent_query, i).answered)
			return false;
	return true;
}

/* Queries the agents that were not connected before. */
static void query_unsent(struct dispatcher *d, struct dispatcher_job *j)
{
	GArray *agents = j->adoption->agents;
	guint i;

	for (i = 0; i < agents->len; i++) {
		struct agent_query *agent_query =
			&g_array_index(agents, struct agent_query, i);

		if (!agent_query->sent && !agent_query->answered)
			query_agent(d, j, agent_query);
	}
}

static void query_all(struct dispatcher *d, struct dispatcher_job *j,
		      int64_t now_ms)
{
	struct adoption *a = j->adoption;
	guint i;

	a->query_ms = now_ms;
	g_hash_table_remove_all(a->running);
	for (i = 0; i < a->agents->len; i++) {
		struct agent_query *agent_query =
			&g_array_index(a->agents, struct agent_query, i);

		agent_query->sent = false;
		agent_query->answered = false;
	}
	query_unsent(d, j);
}

/* Waits for running tasks only while a complete answer is still possible. */
static void check_answers(struct dispatcher *d, struct dispatcher_job *j)
{
	struct adoption *a = j->adoption;
	guint running = g_hash_table_size(a->running);
	guint known = g_hash_table_size(a->done) + running;

	if (!all_answered(a))
		return;
	if (running && !a->failed &&
	    (known >= j->request->tasks->len || !outcome_uncertain(j)))
		return;
	finish_adoption(d, j);
}

/* Counts agents that did not answer before the timeout as missing. */
static void mark_unanswered_missing(struct adoption *a)
{
	guint i;

	for (i = 0; i < a->agents->len; i++) {
		struct agent_query *agent_query =
			&g_array_index(a->agents, struct agent_query, i);

		a->agent_missing |= !agent_query->answered;
		agent_query->answered = true;
	}
}

static void apply_result(struct adoption *a, const Cfw__Result *result,
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

void adopt_handle_reply(struct dispatcher *d, struct dispatcher_job *j,
			const Cfw__QueryReply *reply)
{
	struct adoption *a = j->adoption;
	size_t i;
	guint k;

	if (!a || !a->querying)
		return;
	for (i = 0; i < reply->n_results; i++)
		apply_result(a, reply->results[i], j->request->tasks->len);
	for (k = 0; k < a->agents->len; k++) {
		struct agent_query *agent_query =
			&g_array_index(a->agents, struct agent_query, k);

		if (agent_query->incarnation == reply->agent)
			agent_query->answered = true;
	}
	check_answers(d, j);
}

/* ---- Fence ---- */

static void request_fence(struct dispatcher *d, struct dispatcher_job *j);

static void store_queried_agents(struct adoption *a, const Cfw__Roster *roster)
{
	size_t i;

	a->last_departure_ms = roster->last_departure_ms;
	g_array_set_size(a->agents, 0);
	for (i = 0; i < roster->n_entries; i++) {
		struct agent_query agent_query = {
			roster->entries[i]->incarnation, false, false
		};

		if (roster->entries[i]->role == CFW__ROLE__ROLE_AGENT)
			g_array_append_val(a->agents, agent_query);
	}
}

static void handle_fence_reply(void *arg, const Cfw__FenceReply *reply)
{
	struct fence_wait *wait = arg;
	struct dispatcher *d = wait->d;
	struct dispatcher_job *j = jobs_find(d, &wait->key);
	uint64_t owner;

	if (!j || j->phase != JOB_PHASE_ADOPTING || j->number != wait->number) {
		g_free(wait);
		return;
	}
	g_free(wait);
	owner = g_array_index(j->prior_owners, uint64_t,
			      j->prior_owners->len - 1);
	if (reply && reply->alive) {
		/* The owner is running and has the answer or will have it. */
		if (peer_forward(d, j, owner))
			g_array_set_size(j->prior_owners,
					 j->prior_owners->len - 1);
		else
			j->adoption->fence_retry_ms =
				clock_now_ms() + FENCE_RETRY_MS;
		return;
	}
	/* The roster of a new leader may lack agents that ran the key until it
	 * is settled. */
	if (!reply || !reply->fenced || !reply->roster ||
	    !reply->roster->settled) {
		j->adoption->fence_retry_ms = clock_now_ms() + FENCE_RETRY_MS;
		return;
	}
	store_queried_agents(j->adoption, reply->roster);
	agents_apply_roster(d, reply->roster);
	j->epoch++;
	claim_begin(d, j);
}

static void request_fence(struct dispatcher *d, struct dispatcher_job *j)
{
	struct fence_wait *wait = g_new0(struct fence_wait, 1);

	wait->d = d;
	wait->key = j->key;
	wait->number = j->number;
	j->adoption->fence_retry_ms = 0;
	session_fence(d->session,
		      g_array_index(j->prior_owners, uint64_t,
				    j->prior_owners->len - 1),
		      handle_fence_reply, wait);
}

/* ---- Public functions ---- */

void adopt_begin(struct dispatcher *d, struct dispatcher_job *j)
{
	uint64_t owner = g_array_index(j->prior_owners, uint64_t,
				       j->prior_owners->len - 1);

	if (j->epoch + 1 >= EPOCHS_MAX) {
		fail_adoption(d, j, "too many owners were lost");
		return;
	}
	counter_add(d->counters.adoptions, 1);
	log_event(LOG_WARN, "job_adopted", "owner=%016" PRIx64 " epoch=%u",
		  owner, j->epoch + 1);
	j->phase = JOB_PHASE_ADOPTING;
	if (!j->adoption)
		j->adoption = new_adoption();
	request_fence(d, j);
}

void adopt_claim_won(struct dispatcher *d, struct dispatcher_job *j)
{
	j->phase = JOB_PHASE_ADOPTING;
	j->adoption->querying = true;
	query_all(d, j, clock_now_ms());
	check_answers(d, j);
}

void adopt_tick(struct dispatcher *d, struct dispatcher_job *j, int64_t now_ms)
{
	struct adoption *a = j->adoption;

	if (!a->querying) {
		if (a->fence_retry_ms && now_ms >= a->fence_retry_ms)
			request_fence(d, j);
		return;
	}
	if (all_answered(a)) {
		if (now_ms - a->query_ms >= QUERY_INTERVAL_MS)
			query_all(d, j, now_ms);
	} else {
		query_unsent(d, j);
		if (now_ms - a->query_ms >= QUERY_TIMEOUT_MS)
			mark_unanswered_missing(a);
	}
	check_answers(d, j);
}
