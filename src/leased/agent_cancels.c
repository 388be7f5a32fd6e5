/*
 * agent_cancels: passes cancels of jobs on between dispatchers that can't reach
 * each other. The agent does nothing about the runs itself: only the job's
 * dispatcher can end the job.
 */
#include "leased/agent_internal.h"

/* Drops the message if the agent has no connection to that dispatcher: the one
 * that asks tries other agents. */
static void pass_on(struct leased_agent *a, uint64_t to,
		    const Cfw__Envelope *envelope)
{
	const struct peer *target = g_hash_table_lookup(a->peers, &to);

	if (target && target->link && link_send(target->link, envelope))
		counter_add(a->cancels_passed_on, 1);
}

bool agent_pass_cancel_on(struct leased_agent *a, const struct peer *from,
			  const Cfw__Envelope *received)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__JobCancel order;
	Cfw__JobCancelReply reply;

	envelope.body_case = received->body_case;
	if (received->body_case == CFW__ENVELOPE__BODY_JOB_CANCEL) {
		order = *received->job_cancel;
		order.from = from->incarnation;
		envelope.job_cancel = &order;
		pass_on(a, order.to, &envelope);
		return true;
	}
	if (received->body_case != CFW__ENVELOPE__BODY_JOB_CANCEL_REPLY)
		return false;
	reply = *received->job_cancel_reply;
	reply.from = from->incarnation;
	envelope.job_cancel_reply = &reply;
	pass_on(a, reply.to, &envelope);
	return true;
}
