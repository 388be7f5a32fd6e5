/*
 * config_state: the fields of the configuration and the functions that
 * its source files share.
 */
#ifndef LIB_CONFIG_STATE_H
#define LIB_CONFIG_STATE_H

#include "chervilferry.h"
#include "proto/wire.pb-c.h"

#define CONFIG_COMMAND_ID_SIZE 16
#define CONFIG_CLASSES_MAX 1000
#define CONFIG_DATA_CENTRES_MAX 64
#define CONFIG_TEAMS_MAX 1000
#define CONFIG_SUBJECT_SIZE (CF_NAME_SIZE + 8)

struct config_fence {
	uint64_t incarnation;
	int64_t wall_ms; /* when the fence was added */
};

/* The result of a command, returned again if the command is resent. */
struct config_outcome {
	uint8_t command_id[CONFIG_COMMAND_ID_SIZE];
	struct cf_command_result result;
	int64_t wall_ms;
};

/* The newest revision that changed a subject. */
struct config_subject {
	char name[CONFIG_SUBJECT_SIZE]; /* "class/NAME", "members", ... */
	uint64_t revision;
	int64_t wall_ms;
};

/* How the routes of one version became the next. */
struct config_routes_change {
	uint64_t from_version, to_version;
	GBytes *change; /* document_change.h */
};

struct cf_config {
	uint64_t revision;
	GArray *classes; /* struct cf_class, by name */
	GArray *data_centres; /* struct cf_data_centre, by name */
	GArray *teams; /* struct cf_team, by name */
	GArray *members; /* struct cf_member, by id */
	GArray *views; /* struct cf_view, newest last */
	GArray *fences; /* struct config_fence, oldest first */
	uint64_t routes_version; /* 0: no routes yet */
	GBytes *routes; /* document as the operator sent it, or NULL */
	/* The fields below exist only in the state machine of the log.
	 * Agents and dispatchers don't receive them. */
	GQueue routes_changes; /* struct config_routes_change, oldest first */
	uint64_t routes_changes_bytes; /* of them together */
	GQueue outcomes; /* struct config_outcome, oldest first */
	GHashTable *outcome_by_id; /* command id -> struct config_outcome */
	GArray *subjects; /* struct config_subject, by name */
	uint64_t forgotten_revision; /* newest one of dropped subjects */
	int64_t wall_ms; /* greatest wall_ms of the applied entries */
	GArray *retired; /* uint32_t, ids of removed members */
};

/* Finds a name in a sorted array whose elements begin with their name. If
 * it returns false, *position is where the name has to be inserted. */
bool config_find_name(const GArray *array, const char *name, guint *position);
bool config_find_member(const GArray *members, uint32_t id, guint *position);
/* Returns false if the command id is already stored. */
bool config_add_outcome(struct cf_config *config,
			const struct config_outcome *outcome);

/* Replaces the routes. With record, keeps how they changed, for receivers that
 * have the version before (config_routes.c). */
void config_replace_routes(struct cf_config *config, uint64_t version,
			   GBytes *document, bool record);
void config_forget_routes_changes(struct cf_config *config);

bool config_has_id(const uint32_t *ids, uint32_t n, uint32_t id);

/* Applies a change (config_change.c), or refuses it with a message. */
enum cf_command_status config_change(struct cf_config *config,
				     const struct Cfw__Command *command,
				     struct cf_command_result *result);
enum cf_command_status config_refuse(struct cf_command_result *result,
				     enum cf_command_status status,
				     const char *message);

/* Validation (config_check.c). Returns NULL, or a text that says which
 * field is invalid and why. */
const char *config_check_name(const char *name);
const char *config_check_address(const char *address);
const char *config_check_class(const struct Cfw__TaskClass *task_class);
const char *config_check_data_centre(const struct Cfw__DataCentre *dc);
const char *config_check_team(const struct Cfw__Team *team);
const char *config_check_member(const struct Cfw__Member *member);

/* Copy a validated message (config_read.c). */
void config_read_class(const struct Cfw__TaskClass *from, struct cf_class *to);
void config_read_member(const struct Cfw__Member *from, struct cf_member *to);

#endif
