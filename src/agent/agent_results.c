/*
 * agent_results: collects the results of the tasks of one Dispatch and
 * sends them in one message. Loop thread only.
 */
#include "agent/agent_internal.h"

#include "base/clock.h"
#include "base/counters.h"

#include <string.h>
#include <xxhash.h>

/* ---- Task ids ---- */

guint agent_task_id_hash(gconstpointer name)
{
	const struct task_id *n = name;

	return (guint)XXH3_64bits_withSeed(n->key.bytes, CF_KEY_SIZE, n->index);
}

gboolean agent_task_id_equal(gconstpointer a, gconstpointer b)
{
	const struct task_id *x = a, *y = b;

	return x->index == y->index && cf_key_equal(&x->key, &y->key);
}

/* ---- Senders, batches and results ---- */

struct dispatch_sender *agent_get_sender(struct agent *agent,
					 uint64_t incarnation)
{
	struct dispatch_sender *sender;

	sender = g_hash_table_lookup(agent->senders, &incarnation);
	if (sender)
		return sender;
	sender = g_new0(struct dispatch_sender, 1);
	sender->incarnation = incarnation;
	sender->links = g_ptr_array_new();
	g_hash_table_insert(agent->senders, &sender->incarnation, sender);
	return sender;
}

void agent_sender_free(gpointer data)
{
	struct dispatch_sender *sender = data;

	g_ptr_array_free(sender->links, TRUE);
	g_free(sender);
}

static void free_result(gpointer result)
{
	cfw__result__free_unpacked(result, NULL);
}

void agent_batch_free(gpointer data)
{
	struct batch *batch = data;

	g_ptr_array_unref(batch->results);
	g_free(batch);
}

void agent_add_result(struct batch *batch, uint32_t index,
		      const struct task_end *end)
{
	Cfw__Result *result = malloc(sizeof(*result));
	gsize size = 0;
	const void *data = end->result ? g_bytes_get_data(end->result, &size)
				       : NULL;

	if (!result)
		g_error("out of memory");
	cfw__result__init(result);
	result->index = index;
	result->outcome = end->outcome;
	result->run_ms = end->run_ms;
	result->queued_ms = end->queued_ms;
	if (size) {
		result->payload.data = malloc(size);
		if (!result->payload.data)
			g_error("out of memory");
		memcpy(result->payload.data, data, size);
		result->payload.len = size;
	}
	if (end->message)
		result->message = strdup(end->message);
	g_ptr_array_add(batch->results, result);
}

void agent_send_results(struct agent *agent, struct batch *batch)
{
	struct dispatch_sender *sender =
		agent_get_sender(agent, batch->dispatcher);
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Results results = CFW__RESULTS__INIT;
	Cfw__Load load = CFW__LOAD__INIT;

	agent_fill_load(agent, sender, &load);
	results.dispatcher = batch->dispatcher;
	results.agent = agent->incarnation;
	results.job = batch->job;
	results.key.data = batch->key.bytes;
	results.key.len = CF_KEY_SIZE;
	results.results = (Cfw__Result **)batch->results->pdata;
	results.n_results = batch->results->len;
	results.load = &load;
	envelope.body_case = CFW__ENVELOPE__BODY_RESULTS;
	envelope.results = &results;
	/* If there is no connection, the dispatcher gets the results by a
	 * query on its next connection. */
	if (!sender->link || !link_send(sender->link, &envelope))
		counter_add(agent->counters.dropped, 1);
	g_atomic_int_add(&agent->in_progress, -(gint)batch->results->len);
	g_ptr_array_set_size(batch->results, 0);
}

struct batch *agent_batch_create(uint64_t dispatcher, uint64_t job,
				 const struct cf_key *key)
{
	struct batch *batch = g_new0(struct batch, 1);

	batch->dispatcher = dispatcher;
	batch->job = job;
	batch->key = *key;
	batch->results = g_ptr_array_new_with_free_func(free_result);
	return batch;
}

void agent_flush_batch(struct agent *agent, struct batch *batch)
{
	if (batch->pending) {
		agent_report_load(agent,
				  agent_get_sender(agent, batch->dispatcher));
		return;
	}
	agent_send_results(agent, batch);
	agent_batch_free(batch);
}

void agent_task_ended(struct agent *agent, const struct cf_key *key,
		      uint32_t index, const struct task_end *end)
{
	struct task_id name = { *key, index };
	struct batch *batch = g_hash_table_lookup(agent->batches, &name);

	if (!batch)
		return;
	g_hash_table_remove(agent->batches, &name);
	agent_add_result(batch, index, end);
	batch->pending--;
	agent_flush_batch(agent, batch);
}
