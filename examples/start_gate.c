/*
 * Start gate: a task starts at most once at an agent, and a task that was
 * fenced by a query never starts.
 */
#include <chervilferry.h>

#include <stdio.h>

int main(void)
{
	struct cf_capacity capacity = { .slots = 1, .connections = 1 };
	struct cf_gate_permit permit = { .lease_held = true,
					 .in_service = true };
	struct cf_gate *gate = cf_gate_create(&capacity, CF_LEDGER_HORIZON_MS);
	struct cf_task task = { .dispatcher = 1,
				.job = 1,
				.predicted_ms = 50,
				.slack_end_ms = 500,
				.deadline_ms = 1000 };
	const struct cf_task *started;
	enum cf_task_state fenced;
	bool ok;

	cf_key_make(&task.key, 1700000000000, 1, 2);
	task.payload = g_bytes_new_static("{}", 2);
	ok = cf_gate_offer(gate, &task, false, false, 0);
	task.index = 1;
	ok = ok && cf_gate_offer(gate, &task, false, false, 0);
	started = cf_gate_start(gate, &permit, 1);
	ok = ok && started;
	printf("started index %u\n", started ? started->index : 99);
	/* The only slot is in use, so index 1 is still queued and is fenced. */
	fenced = cf_gate_query(gate, &task.key, 1, true, NULL, 2);
	ok = ok && fenced == CF_TASK_FENCED;
	ok = ok && cf_gate_finish(gate, &task.key, 0, true, task.payload, 50);
	ok = ok && !cf_gate_start(gate, &permit, 51);
	printf("index 1 is fenced and never starts: %d\n", ok);
	g_bytes_unref(task.payload);
	cf_gate_destroy(gate);
	return ok ? 0 : 1;
}
