/*
 * command_json: converts configuration changes from JSON and the
 * configuration to JSON, for the operators' HTTP interface. Parsing is
 * strict: unknown, missing and duplicate fields are errors, and the
 * message names the field.
 *
 * {"command_id":"<32 hex digits>","base_revision":7,
 *  "change":{"class_set":{"name":"a","target_ms":300,...}}}
 */
#ifndef VERBS_COMMAND_JSON_H
#define VERBS_COMMAND_JSON_H

#include "chervilferry.h"

#include <jansson.h>

#define COMMAND_ID_SIZE 16
#define COMMAND_ID_TEXT_SIZE 33
#define COMMAND_FAULT_SIZE 160

/* Returns a packed Cfw__Command, or NULL with a message in fault. */
GBytes *command_from_json(const void *body, size_t size_bytes,
			  char fault[COMMAND_FAULT_SIZE]);
json_t *config_to_json(const struct cf_config *config);
const char *command_status_name(enum cf_command_status status);

#endif
