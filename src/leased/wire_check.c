/*
 * wire_check: see wire_check.h. Strings of the wire format aren't checked when
 * a message is unpacked: they may have any bytes but NUL, and any length.
 */
#include "leased/wire_check.h"

#include "leased/formats.h"

#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* Not more than one line is logged in this time. */
#define LOG_INTERVAL_MS 1000

/* ---- Texts ---------------------------------------------------------- */

/* Callers choose 16 hexadecimal digits. Longer ids and other letters have been
 * accepted since the first version and do no harm. Bytes that aren't ASCII
 * can't be sent on in JSON; '.' separates the parts of a task id. */
bool wire_is_job_id(const char *text)
{
	size_t length =
		strspn(text, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-_");

	return length && length < LEASED_JOB_SIZE && !text[length];
}

/* Names come from reports of servers and from routes, which are JSON. */
static bool is_name(const char *text)
{
	return g_utf8_validate(text, -1, NULL) && strlen(text) < CF_NAME_SIZE;
}

/* ---- Orders --------------------------------------------------------- */

const char *wire_check_start(const Cfw__RunStart *start)
{
	if (!wire_is_job_id(start->job))
		return "job";
	if (!start->number) /* no run has it */
		return "number";
	if (!is_name(start->server))
		return "server";
	if (!is_name(start->class_name))
		return "class_name";
	if (!g_utf8_validate_len((const char *)start->spec.data,
				 start->spec.len, NULL))
		return "spec";
	return NULL;
}

const char *wire_check_stop(const Cfw__RunStop *stop)
{
	if (!wire_is_job_id(stop->job))
		return "job";
	return stop->number ? NULL : "number";
}

/* ---- Reports -------------------------------------------------------- */

const char *wire_check_end(const Cfw__RunEnd *end)
{
	return wire_is_job_id(end->job) ? NULL : "job";
}

static bool are_classes_named(const Cfw__ServerState *state)
{
	bool named = true;

	for (size_t i = 0; i < state->n_classes; i++)
		named = named && is_name(state->classes[i]->class_name);
	for (size_t i = 0; i < state->n_slowdowns; i++)
		named = named && is_name(state->slowdowns[i]->class_name) &&
			is_name(state->slowdowns[i]->beside);
	for (size_t i = 0; i < state->n_losses; i++)
		named = named && is_name(state->losses[i]->class_name);
	return named;
}

const char *wire_check_state(const Cfw__ServerState *state)
{
	if (!*state->name || !is_name(state->name))
		return "name";
	if (!is_name(state->service))
		return "service";
	if (!is_name(state->kind))
		return "kind";
	return are_classes_named(state) ? NULL : "class_name";
}

/* ---- Log lines ------------------------------------------------------ */

bool wire_fault_is_logged(struct wire_faults *faults, int64_t now_ms,
			  uint32_t *n_unlogged)
{
	if (now_ms < faults->next_log_ms) {
		faults->n_unlogged++;
		return false;
	}
	*n_unlogged = faults->n_unlogged;
	faults->n_unlogged = 0;
	faults->next_log_ms = now_ms + LOG_INTERVAL_MS;
	return true;
}
