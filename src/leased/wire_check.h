/*
 * wire_check: checks of what one leased process takes from another one or from
 * a caller, made once where it arrives. Texts that pass can be put into JSON,
 * and nothing of them is cut off.
 */
#ifndef LEASED_WIRE_CHECK_H
#define LEASED_WIRE_CHECK_H

#include "proto/wire.pb-c.h"

#include <stdbool.h>
#include <stdint.h>

#define JOB_ID_RULE "id: must be 1 to 23 letters, digits, '-' or '_'"

bool wire_is_job_id(const char *text);

/* These return the name of the first field that can't be used, or NULL. */
const char *wire_check_start(const Cfw__RunStart *start);
const char *wire_check_stop(const Cfw__RunStop *stop);
const char *wire_check_end(const Cfw__RunEnd *end);
const char *wire_check_state(const Cfw__ServerState *state);

/* What a process has left out, to limit the lines in its log. All zero at the
 * start. */
struct wire_faults {
	int64_t next_log_ms;
	uint32_t n_unlogged;
};

/* Returns true if this one is to be logged, together with n_unlogged others
 * since the last one that was. */
bool wire_fault_is_logged(struct wire_faults *faults, int64_t now_ms,
			  uint32_t *n_unlogged);

#endif
