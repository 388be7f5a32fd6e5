/*
 * dispatcher_settle: processes task results from agents and settles tasks whose
 * agent is lost. Loop thread only.
 */
#include "dispatcher/dispatcher_internal.h"

#include "base/clock.h"
#include "base/counters.h"

#include <string.h>

/* ---- Constants ---- */

/* An agent that refused a task does not get it again for this long. */
#define REFUSAL_MS 1000
#define RETRY_BASE_MS 5
#define RETRY_MAX_MS 200
#define AGENTS_MAX 1024

/* ---- Task events ---- */

static void record_refusal(struct dispatcher_job *j, uint64_t agent,
			   uint32_t index)
{
	struct refusal refusal = { agent, index, clock_now_ms() + REFUSAL_MS };
	guint i;

	for (i = 0; i < j->refusals->len; i++) {
		struct refusal *r =
			&g_array_index(j->refusals, struct refusal, i);

		if (r->agent == agent && r->index == index) {
			*r = refusal;
			return;
		}
	}
	g_array_append_val(j->refusals, refusal);
}

/* Places a task again that is known not to have started. The job's first such
 * task is placed without delay; later ones wait for a backoff if the retry
 * budget is spent. */
static void move_task(struct dispatcher *d, struct dispatcher_job *j,
		      uint64_t agent, uint32_t index)
{
	uint32_t delay_ms = 0;

	record_refusal(j, agent, index);
	if (j->phase == JOB_PHASE_STOPPING)
		return;
	counter_add(d->counters.moves, 1);
	if (j->moves++ && !cf_retry_budget_spend(d->retries))
		delay_ms = cf_retry_delay_ms(j->moves, RETRY_BASE_MS,
					     RETRY_MAX_MS, clock_random());
	j->retry_ms = clock_now_ms() + delay_ms;
	place_add(d, j);
}

static enum cf_job_event event_from_outcome(Cfw__TaskOutcome outcome)
{
	switch (outcome) {
	case CFW__TASK_OUTCOME__TASK_DONE:
		return CF_EVENT_DONE;
	case CFW__TASK_OUTCOME__TASK_FAILED:
		return CF_EVENT_FAILED;
	case CFW__TASK_OUTCOME__TASK_NOT_STARTED:
		return CF_EVENT_FENCED;
	case CFW__TASK_OUTCOME__TASK_RUNNING:
		return CF_EVENT_RUNNING;
	default:
		return CF_EVENT_LOST;
	}
}

static void record_run(struct dispatcher *d, struct dispatcher_job *j,
		       uint64_t agent, const Cfw__Result *result,
		       enum cf_job_event event)
{
	const struct task_spec *task;

	if (event != CF_EVENT_DONE && event != CF_EVENT_FAILED)
		return;
	task = &g_array_index(j->request->tasks, struct task_spec,
			      result->index);
	cf_health_result(d->health, agent, event == CF_EVENT_DONE,
			 result->run_ms, task->predicted_ms, clock_now_ms());
	if (event == CF_EVENT_DONE)
		cf_predict_learn(d->predict, j->request->class_name,
				 task->declared_ms, result->run_ms);
}

/* Returns false if the job did not expect this event from this agent. */
static bool apply_result(struct dispatcher *d, struct dispatcher_job *j,
			 uint64_t agent, const Cfw__Result *result)
{
	enum cf_job_event event = event_from_outcome(result->outcome);
	struct dispatcher_agent *a = agents_find(d, agent);
	GBytes *payload = NULL;
	bool expected;

	/* Agents drop old results. Without a payload, only the end of the run
	 * is known. */
	if (event == CF_EVENT_DONE && result->payload.len)
		payload =
			g_bytes_new(result->payload.data, result->payload.len);
	/* A stopping job does not wait for running tasks. */
	if (event == CF_EVENT_RUNNING && j->phase == JOB_PHASE_STOPPING)
		event = CF_EVENT_LOST;
	expected = cf_job_event(j->job, result->index, agent, event, payload,
				result->message);
	if (payload)
		g_bytes_unref(payload);
	/* The task was reported as running before, so it may have run. */
	if (!expected && event == CF_EVENT_FENCED) {
		event = CF_EVENT_LOST;
		expected = cf_job_event(j->job, result->index, agent, event,
					NULL, result->message);
	}
	if (!expected)
		return false;
	record_run(d, j, agent, result, event);
	if (a && event != CF_EVENT_RUNNING)
		agents_task_settled(d, a, j, result->index);
	if (event == CF_EVENT_FENCED)
		move_task(d, j, agent, result->index);
	else if (event != CF_EVENT_RUNNING)
		agents_count_ended(d, j, result->index);
	return true;
}

static void apply_results(struct dispatcher *d, struct dispatcher_job *j,
			  uint64_t agent, Cfw__Result **results, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!apply_result(d, j, agent, results[i]))
			counter_add(d->counters.crossed, 1);
	jobs_finish_if_ended(d, j);
}

/* ---- Messages ---- */

static struct dispatcher_job *find_job(struct dispatcher *d,
				       const ProtobufCBinaryData *key)
{
	struct cf_key k;
	struct dispatcher_job *j;

	if (key->len != CF_KEY_SIZE)
		return NULL;
	memcpy(k.bytes, key->data, CF_KEY_SIZE);
	j = jobs_find(d, &k);
	return j && j->phase != JOB_PHASE_ENDED ? j : NULL;
}

void settle_results(struct dispatcher *d, struct link *link,
		    const Cfw__Results *results)
{
	struct dispatcher_agent *a = agents_find(d, results->agent);
	struct dispatcher_job *j = find_job(d, &results->key);

	if (results->dispatcher != d->incarnation ||
	    results->agent != link_peer(link)->incarnation) {
		counter_add(d->counters.crossed, 1);
		return;
	}
	if (a)
		agents_apply_load(d, a, results->load);
	/* Results that arrive after the end of the job are ignored. */
	if (j && j->number == results->job)
		apply_results(d, j, results->agent, results->results,
			      results->n_results);
}

void settle_query_reply(struct dispatcher *d, struct link *link,
			const Cfw__QueryReply *reply)
{
	struct dispatcher_agent *a = agents_find(d, reply->agent);
	struct dispatcher_job *j = find_job(d, &reply->key);

	/* An agent may only reply for itself. */
	if (reply->agent != link_peer(link)->incarnation) {
		counter_add(d->counters.crossed, 1);
		return;
	}
	if (a)
		agents_apply_load(d, a, reply->load);
	if (!j)
		return;
	if (j->phase == JOB_PHASE_ADOPTING)
		adopt_handle_reply(d, j, reply);
	else
		apply_results(d, j, reply->agent, reply->results,
			      reply->n_results);
}

/* ---- Queries and cancellations ---- */

void settle_send_query(struct dispatcher *d, struct dispatcher_agent *a,
		       struct dispatcher_job *j)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Query query = CFW__QUERY__INIT;
	uint32_t indexes[CF_JOB_TASKS_MAX];

	query.seq = ++d->next_seq;
	query.key.data = j->key.bytes;
	query.key.len = CF_KEY_SIZE;
	query.indexes = indexes;
	query.n_indexes = cf_job_pending_at(j->job, a->incarnation, indexes,
					    CF_JOB_TASKS_MAX);
	query.fence = true;
	if (!query.n_indexes)
		return;
	envelope.body_case = CFW__ENVELOPE__BODY_QUERY;
	envelope.query = &query;
	counter_add(d->counters.queries, 1);
	link_send(a->link, &envelope);
}

void settle_agent_lost(struct dispatcher *d, struct dispatcher_agent *a)
{
	GList *jobs = g_hash_table_get_keys(a->jobs), *l;

	for (l = jobs; l; l = l->next) {
		struct dispatcher_job *j = l->data;

		/* The end of a job above may have removed this one from the
		 * set. */
		if (!g_hash_table_contains(a->jobs, j))
			continue;
		cf_job_lose_agent(j->job, a->incarnation);
		g_hash_table_remove(a->jobs, j);
		jobs_finish_if_ended(d, j);
	}
	g_list_free(jobs);
	memset(&a->own_usage, 0, sizeof(a->own_usage));
	a->own_tasks = 0;
}

static void send_to_agents(struct dispatcher *d, struct dispatcher_job *j,
			   const Cfw__Envelope *envelope)
{
	uint64_t agents[AGENTS_MAX];
	size_t n = cf_job_agents(j->job, agents, AGENTS_MAX);

	while (n) {
		struct dispatcher_agent *a = agents_find(d, agents[--n]);

		if (a && link_send(a->link, envelope))
			counter_add(d->counters.cancels,
				    envelope->body_case ==
					    CFW__ENVELOPE__BODY_CANCEL);
	}
}

void settle_send_cancel(struct dispatcher *d, struct dispatcher_job *j)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Cancel cancel = CFW__CANCEL__INIT;

	cancel.dispatcher = d->incarnation;
	cancel.job = j->number;
	cancel.key.data = j->key.bytes;
	cancel.key.len = CF_KEY_SIZE;
	envelope.body_case = CFW__ENVELOPE__BODY_CANCEL;
	envelope.cancel = &cancel;
	send_to_agents(d, j, &envelope);
}

void settle_send_open(struct dispatcher *d, struct dispatcher_job *j)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Open open = CFW__OPEN__INIT;

	open.dispatcher = d->incarnation;
	open.job = j->number;
	open.key.data = j->key.bytes;
	open.key.len = CF_KEY_SIZE;
	envelope.body_case = CFW__ENVELOPE__BODY_OPEN;
	envelope.open = &open;
	send_to_agents(d, j, &envelope);
}
