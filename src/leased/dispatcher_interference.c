/*
 * dispatcher_interference: reads what agents report about classes that slow
 * each other down.
 */
#include "leased/dispatcher_internal.h"

#define MILLI 1000.0

void dispatcher_apply_interference(struct leased_dispatcher *d,
				   const struct agent_link *a,
				   const Cfw__ServerState *from)
{
	size_t n = from->n_classes, m = from->n_slowdowns;
	g_autofree struct class_runs *classes = g_new0(struct class_runs, n);
	g_autofree struct class_slowdown *slowdowns =
		g_new0(struct class_slowdown, m);
	struct interference_report report = { classes, n, slowdowns, m };

	for (size_t i = 0; i < n; i++) {
		classes[i].running = from->classes[i]->running;
		g_strlcpy(classes[i].class_name, from->classes[i]->class_name,
			  CF_NAME_SIZE);
	}
	for (size_t i = 0; i < m; i++) {
		const Cfw__ClassSlowdown *slowdown = from->slowdowns[i];

		slowdowns[i].log = slowdown->log_milli / MILLI;
		slowdowns[i].samples = slowdown->samples;
		g_strlcpy(slowdowns[i].class_name, slowdown->class_name,
			  CF_NAME_SIZE);
		g_strlcpy(slowdowns[i].beside, slowdown->beside, CF_NAME_SIZE);
	}
	dispatch_update_interference(d->dispatch, a->incarnation, from->name,
				     &report, loop_now_ms(d->loop));
}
