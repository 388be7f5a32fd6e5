/*
 * agent_load: what dispatchers are told of this agent's load, also when
 * no result goes to them. All on the loop thread.
 */
#include "roles/agent_internal.h"

#include "base/clock.h"

/* ---- Constants ---- */

#define LOAD_INTERVAL_MS 50 /* between unasked load reports */

/* ---- Functions ---- */

void agent_fill_load(struct agent *agent, const struct caller_link *caller,
		     Cfw__Load *load)
{
	struct cf_gate_load gate;
	int64_t now_ms = clock_now_ms();

	cf_gate_get_load(agent->gate, now_ms, &gate);
	load->slots = gate.slots;
	load->running = gate.running;
	load->queued = gate.queued;
	load->backlog_ms = gate.backlog_ms;
	load->accepting = agent_accepting(agent, now_ms);
	load->received = caller->received;
}

static void send_load(struct caller_link *caller, Cfw__Load *load)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;

	caller->load_sent_ms = clock_now_ms();
	envelope.body_case = CFW__ENVELOPE__BODY_LOAD;
	envelope.load = load;
	link_send(caller->link, &envelope);
}

void agent_tell_load(struct agent *agent, struct caller_link *caller)
{
	Cfw__Load load = CFW__LOAD__INIT;

	if (!caller->link)
		return;
	agent_fill_load(agent, caller, &load);
	send_load(caller, &load);
}

/*
 * A dispatcher that was told that nothing is accepted here sends nothing
 * more, so that no results would tell it when that is over.
 */
void agent_tell_accepting(struct agent *agent, int64_t now_ms)
{
	bool accepting = agent_accepting(agent, now_ms);
	GHashTableIter iter;
	gpointer caller;

	if (accepting == agent->board.told_accepting)
		return;
	agent->board.told_accepting = accepting;
	g_hash_table_iter_init(&iter, agent->callers);
	while (g_hash_table_iter_next(&iter, NULL, &caller))
		agent_tell_load(agent, caller);
}

/*
 * A batch that is still waiting for its slowest task keeps its finished
 * slots hidden from the dispatcher; tell it, though not often.
 */
void agent_tell_free_slots(struct agent *agent, struct caller_link *caller)
{
	Cfw__Load load = CFW__LOAD__INIT;
	int64_t now_ms = clock_now_ms();

	if (!caller->link || now_ms - caller->load_sent_ms < LOAD_INTERVAL_MS)
		return;
	agent_fill_load(agent, caller, &load);
	if (load.queued || load.running + 1 < load.slots)
		return;
	send_load(caller, &load);
}
