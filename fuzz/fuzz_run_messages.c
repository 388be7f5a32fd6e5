/*
 * fuzz_run_messages: feeds arbitrary bytes to the checks of what leased
 * processes take from each other, and of job ids in paths. What a check lets
 * through must be writable into the calls of a backend server. The first byte
 * selects the check.
 */
#include "leased/wire_check.h"
#include "platform/platform.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void write_stop(const char *job)
{
	struct run_name name = { .number = 1 };
	struct run_call call;

	if (g_strlcpy(name.job, job, sizeof(name.job)) >= sizeof(name.job))
		g_error("an id that is cut off was accepted");
	if (!platform_write_stop(&name, 1, &call))
		g_error("a stop that can't be written was accepted");
	run_call_clear(&call);
}

static void write_start(const Cfw__RunStart *start)
{
	struct run_name name = { .index = start->index,
				 .number = start->number };
	GBytes *spec = g_bytes_new(start->spec.data, start->spec.len);
	struct run_call call;

	g_strlcpy(name.job, start->job, sizeof(name.job));
	if (!platform_write_start(&name, spec, 1, 1, &call))
		g_error("a start that can't be written was accepted");
	run_call_clear(&call);
	g_bytes_unref(spec);
}

static void read_orders(const Cfw__RunOrders *orders)
{
	for (size_t i = 0; i < orders->n_starts; i++)
		if (!wire_check_start(orders->starts[i]))
			write_start(orders->starts[i]);
	for (size_t i = 0; i < orders->n_stops; i++)
		if (!wire_check_stop(orders->stops[i]))
			write_stop(orders->stops[i]->job);
	for (size_t i = 0; i < orders->n_kept; i++)
		if (!wire_check_stop(orders->kept[i]))
			write_stop(orders->kept[i]->job);
}

static void read_report(const Cfw__RunReport *report)
{
	for (size_t i = 0; i < report->n_servers; i++) {
		const Cfw__ServerState *server = report->servers[i];

		if (!wire_check_state(server) &&
		    (strlen(server->name) >= CF_NAME_SIZE ||
		     !g_utf8_validate(server->name, -1, NULL)))
			g_error("an unusable name was accepted");
	}
	for (size_t i = 0; i < report->n_ends; i++)
		if (!wire_check_end(report->ends[i]))
			write_stop(report->ends[i]->job);
}

static void read_envelope(const uint8_t *data, size_t size)
{
	Cfw__Envelope *envelope = cfw__envelope__unpack(NULL, size, data);

	if (!envelope)
		return;
	if (envelope->body_case == CFW__ENVELOPE__BODY_RUN_ORDERS)
		read_orders(envelope->run_orders);
	else if (envelope->body_case == CFW__ENVELOPE__BODY_RUN_REPORT)
		read_report(envelope->run_report);
	cfw__envelope__free_unpacked(envelope, NULL);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autofree char *id = NULL;

	if (!size)
		return 0;
	if (data[0] % 2) {
		read_envelope(data + 1, size - 1);
		return 0;
	}
	id = g_strndup((const char *)data + 1, size - 1);
	if (wire_is_job_id(id))
		write_stop(id);
	return 0;
}
