/*
 * dispatcher_losses: reads what agents report about the crash of their server,
 * and sets the metrics of containment.
 */
#include "leased/dispatcher_internal.h"

void dispatcher_apply_losses(struct leased_dispatcher *d,
			     const struct agent_link *a,
			     const Cfw__ServerState *from)
{
	size_t n = from->n_losses;
	g_autofree struct class_loss *losses = g_new0(struct class_loss, n);

	if (!n)
		return;
	for (size_t i = 0; i < n; i++) {
		losses[i].ran_ms = from->losses[i]->ran_ms;
		losses[i].repeats = from->losses[i]->repeats;
		g_strlcpy(losses[i].class_name, from->losses[i]->class_name,
			  CF_NAME_SIZE);
	}
	dispatch_update_losses(d->dispatch, a->incarnation, losses, n,
			       from->losses[0]->age_ms, loop_now_ms(d->loop));
}

void dispatcher_count_losses(struct leased_dispatcher *d,
			     const struct dispatch_load *load)
{
	gauge_set(d->contained_classes, load->contained_classes);
	gauge_set(d->suspect_tasks, load->suspect_tasks);
	counter_add(d->crashes_explained,
		    (int64_t)(load->crashes_explained -
			      d->counted_crashes_explained));
	d->counted_crashes_explained = load->crashes_explained;
}
