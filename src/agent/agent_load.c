/*
 * agent_load: load reports to dispatchers. Each answer carries the current
 * load. The agent also sends a report of its own when the last one shows
 * more load than there is: a dispatcher that believes the agent is full
 * or not accepting sends no tasks, so no answer would correct it. A change
 * of accepting is reported in both directions. Loop thread only.
 */
#include "agent/agent_internal.h"

#include "base/clock.h"

/* ---- Constants ---- */

/* The agent is no longer full, or accepting has changed. */
#define URGENT_REPORT_INTERVAL_MS 50
/* The agent has fewer tasks than it last reported. */
#define REPORT_INTERVAL_MS 250

/* ---- Functions ---- */

void agent_fill_load(struct agent *agent, struct dispatch_sender *sender,
		     Cfw__Load *load)
{
	struct cf_gate_load gate;
	int64_t now_ms = clock_now_ms();

	cf_gate_get_load(agent->gate, now_ms, &gate);
	load->slots = gate.slots;
	load->running = gate.running;
	load->queued = gate.queued;
	load->backlog_ms = gate.backlog_ms;
	load->accepting = agent_is_accepting(agent, now_ms);
	load->received = sender->received;
	sender->reported.outstanding_tasks = gate.running + gate.queued;
	sender->reported.full = gate.queued || gate.running >= gate.slots;
	sender->reported.accepting = load->accepting;
	sender->reported_ms = now_ms;
}

/* When the next report is due; INT64_MAX if the last one still holds. */
static int64_t report_due_ms(struct agent *agent,
			     const struct dispatch_sender *sender,
			     int64_t now_ms)
{
	struct cf_gate_load gate;
	bool full;

	if (!sender->reported_ms)
		return 0;
	cf_gate_get_load(agent->gate, now_ms, &gate);
	full = gate.queued || gate.running >= gate.slots;
	if (agent_is_accepting(agent, now_ms) != sender->reported.accepting ||
	    (sender->reported.full && !full))
		return sender->reported_ms + URGENT_REPORT_INTERVAL_MS;
	if (gate.running + gate.queued < sender->reported.outstanding_tasks)
		return sender->reported_ms + REPORT_INTERVAL_MS;
	return INT64_MAX;
}

void agent_report_load(struct agent *agent, struct dispatch_sender *sender)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__Load load = CFW__LOAD__INIT;
	int64_t now_ms = clock_now_ms();

	if (!sender->link || now_ms < report_due_ms(agent, sender, now_ms))
		return;
	agent_fill_load(agent, sender, &load);
	envelope.body_case = CFW__ENVELOPE__BODY_LOAD;
	envelope.load = &load;
	link_send(sender->link, &envelope);
}

void agent_report_loads(struct agent *agent)
{
	GHashTableIter iter;
	struct dispatch_sender *sender;

	g_hash_table_iter_init(&iter, agent->senders);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&sender))
		agent_report_load(agent, sender);
}
