/*
 * agent_tasks: handles Dispatch, Open, Cancel and Query messages, offers
 * tasks to the start gate and starts them. Loop thread only.
 */
#include "agent/agent_internal.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/logger.h"
#include "agent/agent_trace.h"

#include <inttypes.h>
#include <string.h>

/* ---- Messages ---- */

static bool read_key(const ProtobufCBinaryData *data, struct cf_key *key)
{
	if (data->len != CF_KEY_SIZE)
		return false;
	memcpy(key->bytes, data->data, CF_KEY_SIZE);
	return true;
}

/* ---- Dispatch ---- */

static void fill_task(struct cf_task *task, const Cfw__Dispatch *dispatch,
		      const struct cf_key *key, const Cfw__Task *from,
		      int64_t now_ms)
{
	memset(task, 0, sizeof(*task));
	task->key = *key;
	task->index = from->index;
	task->dispatcher = dispatch->dispatcher;
	task->job = dispatch->job;
	g_strlcpy(task->class_name, dispatch->class_name,
		  sizeof(task->class_name));
	task->payload = g_bytes_new(from->payload.data, from->payload.len);
	task->cpu_milli = from->cpu_milli;
	task->memory_mb = from->memory_mb;
	task->accelerators = from->accelerators;
	task->predicted_ms = from->predicted_ms;
	task->slack_end_ms = now_ms + dispatch->slack_ms;
	task->deadline_ms = now_ms + dispatch->deadline_ms;
}

/* Returns the recorded outcome of a task that the gate already knows, in
 * place of a second offer. */
static struct task_end known_task_end(struct agent *agent,
				      const struct cf_key *key, uint32_t index,
				      bool fence, const char *message)
{
	struct task_end end = { .message = message };
	int64_t now_ms = clock_now_ms();
	enum cf_task_state state = cf_gate_query(agent->gate, key, index, fence,
						 &end.result, now_ms);

	agent_trace_query(key, index, fence, state, now_ms);
	switch (state) {
	case CF_TASK_DONE:
		end.outcome = CFW__TASK_OUTCOME__TASK_DONE;
		break;
	case CF_TASK_FAILED:
		end.outcome = CFW__TASK_OUTCOME__TASK_FAILED;
		break;
	case CF_TASK_GATED:
	case CF_TASK_QUEUED:
	case CF_TASK_RUNNING:
		end.outcome = CFW__TASK_OUTCOME__TASK_RUNNING;
		break;
	case CF_TASK_FENCED:
		end.outcome = CFW__TASK_OUTCOME__TASK_NOT_STARTED;
		break;
	case CF_TASK_DROPPED:
		end.outcome = CFW__TASK_OUTCOME__TASK_UNKNOWN;
		break;
	}
	return end;
}

/*
 * Returns the outcome of an offer that the gate refused and that therefore
 * never starts. A queued task with the same id that belongs to another
 * dispatcher is not affected. Neither is an earlier copy from the same
 * dispatcher; the result of that copy answers both.
 */
static struct task_end refused_task_end(struct agent *agent,
					const struct cf_key *key,
					uint32_t index, uint64_t dispatcher)
{
	const struct cf_task *task = cf_gate_find_task(agent->gate, key, index);
	struct task_end end = known_task_end(agent, key, index, false,
					     "seen before or fenced");
	struct task_id name = { *key, index };

	if (end.outcome == CFW__TASK_OUTCOME__TASK_RUNNING &&
	    !g_hash_table_contains(agent->batches, &name))
		end.outcome = CFW__TASK_OUTCOME__TASK_NOT_STARTED;
	else if (end.outcome == CFW__TASK_OUTCOME__TASK_RUNNING &&
		 task->dispatcher != dispatcher && !task->started_ms)
		end.outcome = CFW__TASK_OUTCOME__TASK_NOT_STARTED;
	return end;
}

static void offer_task(struct agent *agent, struct batch *batch,
		       const Cfw__Dispatch *dispatch, const Cfw__Task *from,
		       int64_t now_ms)
{
	struct cf_task task;
	struct task_id *name;
	struct task_end end;
	bool accepted;

	fill_task(&task, dispatch, &batch->key, from, now_ms);
	accepted = cf_gate_offer(agent->gate, &task, dispatch->gated,
				 dispatch->fifo, now_ms);
	agent_trace_offer(&task, dispatch->gated, dispatch->fifo, accepted,
			  now_ms);
	if (accepted) {
		name = g_new(struct task_id, 1);
		name->key = batch->key;
		name->index = from->index;
		g_hash_table_insert(agent->batches, name, batch);
		batch->pending++;
	} else {
		end = refused_task_end(agent, &batch->key, from->index,
				       dispatch->dispatcher);
		agent_add_result(batch, from->index, &end);
	}
	g_bytes_unref(task.payload);
}

static const char *refusal_reason(struct agent *agent,
				  const Cfw__Dispatch *dispatch, int64_t now_ms)
{
	struct cf_gate_load load;

	if (cf_config_is_fenced(session_config(agent->session),
				dispatch->dispatcher))
		return "the dispatcher is fenced";
	if (!agent_is_accepting(agent, now_ms))
		return "the agent takes no work";
	cf_gate_get_load(agent->gate, now_ms, &load);
	if ((int64_t)load.queued >
	    settings_number(agent->settings, "queue-max"))
		return "the queue is full";
	return NULL;
}

void agent_handle_dispatch(struct agent *agent, struct link *link,
			   const Cfw__Dispatch *dispatch)
{
	struct dispatch_sender *sender;
	struct cf_key key;
	struct batch *batch;
	int64_t now_ms = clock_now_ms();
	struct task_end refused = { CFW__TASK_OUTCOME__TASK_NOT_STARTED, NULL,
				    NULL, 0, 0 };
	size_t i;

	g_atomic_int_inc(&agent->dispatches);
	/* The dispatcher named in the message must be the sender. */
	if (dispatch->dispatcher != link_peer(link)->incarnation ||
	    !read_key(&dispatch->key, &key) || !dispatch->n_tasks) {
		counter_add(agent->counters.dropped, 1);
		return;
	}
	sender = agent_get_sender(agent, dispatch->dispatcher);
	/* The dispatcher also counts the tasks of its newest connection
	 * only. */
	if (sender->link == link)
		sender->received += dispatch->n_tasks;
	counter_add(agent->counters.offered, (int64_t)dispatch->n_tasks);
	g_atomic_int_add(&agent->in_progress, (gint)dispatch->n_tasks);
	batch = agent_batch_create(dispatch->dispatcher, dispatch->job, &key);
	refused.message = refusal_reason(agent, dispatch, now_ms);
	for (i = 0; i < dispatch->n_tasks; i++) {
		if (refused.message)
			agent_add_result(batch, dispatch->tasks[i]->index,
					 &refused);
		else
			offer_task(agent, batch, dispatch, dispatch->tasks[i],
				   now_ms);
	}
	if (!batch->pending)
		agent_flush_batch(agent, batch);
	agent_process_gate(agent);
}

void agent_handle_open(struct agent *agent, const Cfw__Open *open)
{
	struct cf_key key;

	if (!read_key(&open->key, &key))
		return;
	cf_gate_open(agent->gate, &key, open->dispatcher, open->job);
	agent_trace_job("open", &key, open->dispatcher, open->job, 0,
			clock_now_ms());
	agent_process_gate(agent);
}

/* ---- Cancel and query ---- */

/*
 * Answers a Cancel at once instead of waiting for running tasks, because
 * the dispatcher needs to know now which tasks will never start.
 */
static void reply_cancel(struct agent *agent, const Cfw__Cancel *cancel,
			 const struct cf_key *key)
{
	struct batch *batch;
	uint32_t indexes[CF_JOB_TASKS_MAX];
	size_t n, i;

	batch = agent_batch_create(cancel->dispatcher, cancel->job, key);
	n = cf_gate_known_indexes(agent->gate, key, indexes, CF_JOB_TASKS_MAX);
	for (i = 0; i < n; i++) {
		const struct cf_task *task =
			cf_gate_find_task(agent->gate, key, indexes[i]);
		struct task_end end;

		if (!task || task->dispatcher != cancel->dispatcher)
			continue;
		end = known_task_end(agent, key, indexes[i], true, "cancelled");
		agent_add_result(batch, indexes[i], &end);
	}
	g_atomic_int_add(&agent->in_progress, (gint)batch->results->len);
	agent_send_results(agent, batch);
	agent_batch_free(batch);
}

void agent_handle_cancel(struct agent *agent, struct link *link,
			 const Cfw__Cancel *cancel)
{
	struct cf_key key;
	uint32_t indexes[CF_JOB_TASKS_MAX];
	struct task_id name;
	int64_t now_ms = clock_now_ms();
	size_t n, i;

	if (cancel->dispatcher != link_peer(link)->incarnation ||
	    !read_key(&cancel->key, &key)) {
		counter_add(agent->counters.dropped, 1);
		return;
	}
	counter_add(agent->counters.cancels, 1);
	n = cf_gate_fence_job(agent->gate, &key, cancel->dispatcher,
			      cancel->job, now_ms, indexes, CF_JOB_TASKS_MAX);
	agent_trace_job("cancel", &key, cancel->dispatcher, cancel->job, n,
			now_ms);
	name.key = key;
	for (i = 0; i < n; i++) {
		struct batch *batch;

		agent_trace_fence(&key, indexes[i], NULL, now_ms);
		counter_add(agent->counters.fenced, 1);
		name.index = indexes[i];
		batch = g_hash_table_lookup(agent->batches, &name);
		if (!batch)
			continue;
		g_hash_table_remove(agent->batches, &name);
		g_atomic_int_add(&agent->in_progress, -1);
		if (!--batch->pending && !batch->results->len)
			agent_batch_free(batch);
		else if (!batch->pending)
			agent_flush_batch(agent, batch);
	}
	reply_cancel(agent, cancel, &key);
	agent_process_gate(agent);
}

static void query_task(struct agent *agent, struct batch *batch,
		       const Cfw__Query *query, uint32_t index)
{
	struct task_end end = known_task_end(
		agent, &batch->key, index, query->fence && !query->epoch, NULL);

	agent_add_result(batch, index, &end);
	/* A fenced task never produces a result, so it leaves its batch. */
	if (end.outcome == CFW__TASK_OUTCOME__TASK_NOT_STARTED)
		agent_task_ended(agent, &batch->key, index, &end);
}

static bool adopt_key(struct agent *agent, const struct cf_key *key,
		      uint64_t dispatcher, uint32_t epoch)
{
	int64_t now_ms = clock_now_ms();
	bool ok = cf_gate_adopt(agent->gate, key, dispatcher, epoch, now_ms);

	agent_trace_adopt(key, dispatcher, epoch, ok, now_ms);
	return ok;
}

static void seal_key(struct agent *agent, const struct cf_key *key)
{
	int64_t now_ms = clock_now_ms();

	cf_gate_seal(agent->gate, key, now_ms);
	agent_trace_seal(key, now_ms);
}

void agent_handle_query(struct agent *agent, struct link *link,
			const Cfw__Query *query)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__QueryReply reply = CFW__QUERY_REPLY__INIT;
	Cfw__Load load = CFW__LOAD__INIT;
	struct dispatch_sender *sender;
	struct batch *answer;
	struct cf_key key;
	uint32_t known[CF_JOB_TASKS_MAX];
	const uint32_t *indexes = query->indexes;
	size_t n = query->n_indexes, i;

	if (!read_key(&query->key, &key))
		return;
	/* A refused adoption gets no reply: without one, a dispatcher whose
	 * adoption has been superseded cannot run anything. */
	if (query->epoch &&
	    !adopt_key(agent, &key, link_peer(link)->incarnation, query->epoch))
		return;
	counter_add(agent->counters.queries, 1);
	sender = agent_get_sender(agent, link_peer(link)->incarnation);
	answer = agent_batch_create(link_peer(link)->incarnation, 0, &key);
	if (!n) {
		n = cf_gate_known_indexes(agent->gate, &key, known,
					  CF_JOB_TASKS_MAX);
		indexes = known;
		if (query->fence && !query->epoch)
			seal_key(agent, &key);
	}
	for (i = 0; i < n; i++)
		query_task(agent, answer, query, indexes[i]);
	reply.seq = query->seq;
	reply.key = query->key;
	reply.agent = agent->incarnation;
	reply.results = (Cfw__Result **)answer->results->pdata;
	reply.n_results = answer->results->len;
	agent_fill_load(agent, sender, &load);
	reply.load = &load;
	envelope.body_case = CFW__ENVELOPE__BODY_QUERY_REPLY;
	envelope.query_reply = &reply;
	link_send(link, &envelope);
	agent_batch_free(answer);
	agent_process_gate(agent);
}

/* Ends the tasks of a fenced dispatcher that the gate has fenced, because
 * they will never start. */
static void finish_fenced_tasks(struct agent *agent, uint64_t dispatcher)
{
	GArray *names = g_array_new(FALSE, FALSE, sizeof(struct task_id));
	struct task_end end = { CFW__TASK_OUTCOME__TASK_NOT_STARTED, NULL,
				"the dispatcher is fenced", 0, 0 };
	GHashTableIter iter;
	gpointer key, batch;
	guint i;

	g_hash_table_iter_init(&iter, agent->batches);
	while (g_hash_table_iter_next(&iter, &key, &batch))
		if (((struct batch *)batch)->dispatcher == dispatcher)
			g_array_append_val(names, *(struct task_id *)key);
	for (i = 0; i < names->len; i++) {
		const struct task_id *n =
			&g_array_index(names, struct task_id, i);

		if (known_task_end(agent, &n->key, n->index, false, NULL)
			    .outcome != CFW__TASK_OUTCOME__TASK_NOT_STARTED)
			continue;
		agent_trace_fence(&n->key, n->index, NULL, clock_now_ms());
		counter_add(agent->counters.fenced, 1);
		agent_task_ended(agent, &n->key, n->index, &end);
	}
	g_array_free(names, TRUE);
}

void agent_fence_dispatchers(struct agent *agent)
{
	const struct cf_config *config = session_config(agent->session);
	GHashTableIter iter;
	struct dispatch_sender *sender;
	int64_t now_ms = clock_now_ms();

	g_hash_table_iter_init(&iter, agent->senders);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&sender)) {
		uint64_t incarnation = sender->incarnation;

		if (!cf_config_is_fenced(config, incarnation))
			continue;
		agent_trace_fence_dispatcher(incarnation, now_ms);
		if (cf_gate_fence_dispatcher(agent->gate, incarnation, now_ms))
			finish_fenced_tasks(agent, incarnation);
	}
}

/* ---- Starts ---- */

static void start_task(struct agent *agent, const struct cf_task *task,
		       int64_t now_ms)
{
	agent_trace_start(task, settings_text(agent->settings, "data-centre"),
			  cf_config_revision(session_config(agent->session)),
			  now_ms);
	counter_add(agent->counters.started, 1);
	agent_backend_call(agent, task);
}

static void fence_task(struct agent *agent, const struct cf_task *task,
		       const struct cf_gate_permit *permit, int64_t now_ms)
{
	struct cf_key key = task->key;
	uint32_t index = task->index;
	struct task_end end = { CFW__TASK_OUTCOME__TASK_NOT_STARTED, NULL,
				"not started here", 0, 0 };

	agent_trace_fence(&key, index, permit, now_ms);
	counter_add(agent->counters.fenced, 1);
	agent_task_ended(agent, &key, index, &end);
}

void agent_process_gate(struct agent *agent)
{
	struct cf_gate_permit permit;
	struct cf_gate_load load;
	const struct cf_task *task;
	int64_t now_ms = clock_now_ms();
	const char *data_centre = settings_text(agent->settings, "data-centre");

	permit.lease_held = session_lease_held(agent->session, now_ms);
	permit.in_service = cf_config_in_service(session_config(agent->session),
						 data_centre);
	permit.draining =
		agent->admission.stopping || agent->admission.backend_leaving ||
		agent->admission.fenced || agent->admission.backend_refused ||
		!agent->admission.backend_url;
	while ((task = cf_gate_start(agent->gate, &permit, now_ms)))
		start_task(agent, task, now_ms);
	while ((task = cf_gate_fence_unstartable(agent->gate, &permit, now_ms)))
		fence_task(agent, task, &permit, now_ms);
	cf_gate_get_load(agent->gate, now_ms, &load);
	gauge_set(agent->counters.running, load.running);
	gauge_set(agent->counters.queued, load.queued);
}
