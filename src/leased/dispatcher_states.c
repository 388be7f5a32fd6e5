/*
 * dispatcher_states: reads what agents report about backend servers: their
 * states, classes that slow each other down, and classes that lost runs.
 */
#include "leased/dispatcher_internal.h"

#define MILLI 1000.0

static void apply_interference(struct leased_dispatcher *d,
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

static void apply_losses(struct leased_dispatcher *d,
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

void dispatcher_apply_state(struct leased_dispatcher *d,
			    const struct agent_link *a,
			    const Cfw__ServerState *from)
{
	struct server_state state = {
		.free_cpu_milli = from->free_cpu_milli,
		.free_memory_mb = from->free_memory_mb,
		.offered_cpu_milli = from->offered_cpu_milli,
		.accepting = from->accepting,
		.fails_all = from->failed_in_a_row >= RUN_FAILURES_COUNTED_MAX,
		.speed_log = from->speed_log_milli / MILLI,
		.speed_sd = from->speed_sd_milli / MILLI,
		.speed_age_ms = from->speed_age_ms,
		.received = from->received
	};

	g_strlcpy(state.name, from->name, sizeof(state.name));
	g_strlcpy(state.service, from->service, sizeof(state.service));
	g_strlcpy(state.kind, from->kind, sizeof(state.kind));
	state.capacity.cpu_milli = from->cpu_milli;
	state.capacity.memory_mb = from->memory_mb;
	state.capacity.accelerators = from->accelerators;
	dispatch_update_server(d->dispatch, a->incarnation, &state,
			       loop_now_ms(d->loop));
	apply_interference(d, a, from);
	apply_losses(d, a, from);
}
