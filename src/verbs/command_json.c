/*
 * command_json: see command_json.h.
 */
#include "verbs/command_json.h"

#include "proto/wire.pb-c.h"

#include <string.h>

/* ---- Types --------------------------------------------------------- */

enum field_type {
	FIELD_TEXT,
	FIELD_UINT32,
	FIELD_UINT64,
	FIELD_BOOL,
	FIELD_OBJECT,
};

/* A field of a JSON object and the destination of its value. */
struct field {
	const char *name;
	enum field_type type;
	bool optional;
	void *value; /* char **, uint32_t *, uint64_t *, protobuf_c_boolean *
			or json_t ** */
};

/* A command with storage for every kind of change. Strings point into the
 * parsed JSON. */
struct change {
	struct Cfw__Command command;
	struct Cfw__TaskClass task_class;
	struct Cfw__DataCentre data_centre;
	struct Cfw__Team team;
	struct Cfw__Member member;
	uint8_t command_id[COMMAND_ID_SIZE];
};

/* ---- Fields -------------------------------------------------------- */

static bool fail(char *fault, const char *name, const char *what)
{
	g_snprintf(fault, COMMAND_FAULT_SIZE, "%.60s: %s", name, what);
	return false;
}

static bool read_number(const struct field *field, json_t *json, char *fault)
{
	json_int_t number;

	if (!json_is_integer(json))
		return fail(fault, field->name, "must be a whole number");
	number = json_integer_value(json);
	if (number < 0 || (field->type == FIELD_UINT32 && number > UINT32_MAX))
		return fail(fault, field->name, "is out of range");
	if (field->type == FIELD_UINT32)
		*(uint32_t *)field->value = (uint32_t)number;
	else
		*(uint64_t *)field->value = (uint64_t)number;
	return true;
}

static bool read_field(const struct field *field, json_t *json, char *fault)
{
	switch (field->type) {
	case FIELD_TEXT:
		if (!json_is_string(json))
			return fail(fault, field->name, "must be a text");
		*(const char **)field->value = json_string_value(json);
		return true;
	case FIELD_BOOL:
		if (!json_is_boolean(json))
			return fail(fault, field->name,
				    "must be true or false");
		*(protobuf_c_boolean *)field->value = json_is_true(json);
		return true;
	case FIELD_OBJECT:
		if (!json_is_object(json))
			return fail(fault, field->name, "must be an object");
		*(json_t **)field->value = json;
		return true;
	default:
		return read_number(field, json, fault);
	}
}

static bool read_object(json_t *object, const struct field *fields, size_t n,
			char *fault)
{
	const char *name;
	json_t *json;
	size_t known = 0;

	for (size_t i = 0; i < n; i++) {
		json = json_object_get(object, fields[i].name);
		if (json && !read_field(&fields[i], json, fault))
			return false;
		if (!json && !fields[i].optional)
			return fail(fault, fields[i].name, "is missing");
		known += json != NULL;
	}
	if (known == json_object_size(object))
		return true;
	json_object_foreach(object, name, json)
	{
		size_t i = 0;

		while (i < n && strcmp(fields[i].name, name) != 0)
			i++;
		if (i == n)
			return fail(fault, name, "is unknown");
	}
	return true;
}

/* ---- Changes ------------------------------------------------------- */

static bool read_class(struct change *c, json_t *json, char *fault)
{
	struct Cfw__TaskClass *to = &c->task_class;
	const struct field fields[] = {
		{ "name", FIELD_TEXT, false, &to->name },
		{ "target_ms", FIELD_UINT32, false, &to->target_ms },
		{ "percentile_milli", FIELD_UINT32, false,
		  &to->percentile_milli },
		{ "idempotent", FIELD_BOOL, true, &to->idempotent },
	};

	cfw__task_class__init(to);
	c->command.class_set = to;
	return read_object(json, fields, G_N_ELEMENTS(fields), fault);
}

static bool read_data_centre(struct change *c, json_t *json, char *fault)
{
	struct Cfw__DataCentre *to = &c->data_centre;
	const struct field fields[] = {
		{ "name", FIELD_TEXT, false, &to->name },
		{ "in_service", FIELD_BOOL, false, &to->in_service },
	};

	cfw__data_centre__init(to);
	c->command.data_centre_set = to;
	return read_object(json, fields, G_N_ELEMENTS(fields), fault);
}

static bool read_team(struct change *c, json_t *json, char *fault)
{
	struct Cfw__Team *to = &c->team;
	const struct field fields[] = {
		{ "name", FIELD_TEXT, false, &to->name },
		{ "share_milli", FIELD_UINT32, false, &to->share_milli },
	};

	cfw__team__init(to);
	c->command.team_set = to;
	return read_object(json, fields, G_N_ELEMENTS(fields), fault);
}

static bool read_member(struct change *c, json_t *json, char *fault)
{
	struct Cfw__Member *to = &c->member;
	const struct field fields[] = {
		{ "id", FIELD_UINT32, false, &to->id },
		{ "address", FIELD_TEXT, false, &to->address },
		{ "admin_address", FIELD_TEXT, false, &to->admin_address },
	};

	cfw__member__init(to);
	c->command.member_add = to;
	return read_object(json, fields, G_N_ELEMENTS(fields), fault);
}

static bool read_change(struct change *c, json_t *json, char *fault)
{
	static const struct {
		const char *name;
		Cfw__Command__ChangeCase kind;
		bool (*read)(struct change *c, json_t *json, char *fault);
	} kinds[] = {
		{ "class_set", CFW__COMMAND__CHANGE_CLASS_SET, read_class },
		{ "class_remove", CFW__COMMAND__CHANGE_CLASS_REMOVE, NULL },
		{ "data_centre_set", CFW__COMMAND__CHANGE_DATA_CENTRE_SET,
		  read_data_centre },
		{ "data_centre_remove", CFW__COMMAND__CHANGE_DATA_CENTRE_REMOVE,
		  NULL },
		{ "team_set", CFW__COMMAND__CHANGE_TEAM_SET, read_team },
		{ "team_remove", CFW__COMMAND__CHANGE_TEAM_REMOVE, NULL },
		{ "member_add", CFW__COMMAND__CHANGE_MEMBER_ADD, read_member },
		{ "member_remove", CFW__COMMAND__CHANGE_MEMBER_REMOVE, NULL },
	};
	const char *name = json_object_iter_key(json_object_iter(json));
	json_t *value = json_object_iter_value(json_object_iter(json));
	struct field field = { .name = name, .type = FIELD_TEXT };

	if (json_object_size(json) != 1)
		return fail(fault, "change", "must hold one change");
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, name) != 0)
			continue;
		c->command.change_case = kinds[i].kind;
		if (kinds[i].read && !json_is_object(value))
			return fail(fault, name, "must be an object");
		if (kinds[i].read)
			return kinds[i].read(c, value, fault);
		/* The string members of the protobuf oneof share storage. */
		field.value = &c->command.class_remove;
		if (kinds[i].kind == CFW__COMMAND__CHANGE_MEMBER_REMOVE) {
			field.type = FIELD_UINT32;
			field.value = &c->command.member_remove;
		}
		return read_field(&field, value, fault);
	}
	return fail(fault, name, "is not a known change");
}

static bool read_command_id(const char *text, uint8_t id[COMMAND_ID_SIZE])
{
	if (strlen(text) != COMMAND_ID_TEXT_SIZE - 1)
		return false;
	for (size_t i = 0; i < COMMAND_ID_SIZE; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		id[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static bool read_command(struct change *c, json_t *json, char *fault)
{
	const char *id = NULL;
	json_t *change = NULL;
	const struct field fields[] = {
		{ "command_id", FIELD_TEXT, false, &id },
		{ "base_revision", FIELD_UINT64, true,
		  &c->command.base_revision },
		{ "change", FIELD_OBJECT, false, &change },
	};

	if (!json_is_object(json))
		return fail(fault, "body", "must be an object");
	if (!read_object(json, fields, G_N_ELEMENTS(fields), fault))
		return false;
	if (!read_command_id(id, c->command_id))
		return fail(fault, "command_id", "must be 32 hex digits");
	c->command.command_id.data = c->command_id;
	c->command.command_id.len = COMMAND_ID_SIZE;
	return read_change(c, change, fault);
}

GBytes *command_from_json(const void *body, size_t size_bytes,
			  char fault[COMMAND_FAULT_SIZE])
{
	json_error_t error;
	json_t *json = json_loadb(body ? body : "", body ? size_bytes : 0,
				  JSON_REJECT_DUPLICATES, &error);
	struct change c = { .command = CFW__COMMAND__INIT };
	uint8_t *data = NULL;
	size_t size = 0;

	if (!json) {
		g_snprintf(fault, COMMAND_FAULT_SIZE, "body: %s at byte %d",
			   error.text, error.position);
		return NULL;
	}
	if (read_command(&c, json, fault)) {
		size = cfw__command__get_packed_size(&c.command);
		data = g_malloc(size + 1);
		cfw__command__pack(&c.command, data);
	}
	json_decref(json);
	return data ? g_bytes_new_take(data, size) : NULL;
}

/* ---- Writing ------------------------------------------------------- */

const char *command_status_name(enum cf_command_status status)
{
	static const char *const names[] = {
		[CF_COMMAND_DONE] = "done",
		[CF_COMMAND_CONFLICT] = "conflict",
		[CF_COMMAND_INVALID] = "invalid",
		[CF_COMMAND_NOT_FOUND] = "not_found",
	};

	return names[status];
}

static json_t *classes_to_json(const struct cf_config *config)
{
	const struct cf_class *classes;
	size_t n = cf_config_classes(config, &classes);
	json_t *array = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			array,
			json_pack("{s:s,s:I,s:I,s:b}", "name", classes[i].name,
				  "target_ms", (json_int_t)classes[i].target_ms,
				  "percentile_milli",
				  (json_int_t)classes[i].percentile_milli,
				  "idempotent", (int)classes[i].idempotent));
	return array;
}

static json_t *data_centres_to_json(const struct cf_config *config)
{
	const struct cf_data_centre *data_centres;
	size_t n = cf_config_data_centres(config, &data_centres);
	json_t *array = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			array, json_pack("{s:s,s:b}", "name",
					 data_centres[i].name, "in_service",
					 (int)data_centres[i].in_service));
	return array;
}

static json_t *teams_to_json(const struct cf_config *config)
{
	const struct cf_team *teams;
	size_t n = cf_config_teams(config, &teams);
	json_t *array = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			array, json_pack("{s:s,s:I}", "name", teams[i].name,
					 "share_milli",
					 (json_int_t)teams[i].share_milli));
	return array;
}

static json_t *members_to_json(const struct cf_config *config)
{
	const struct cf_member *members;
	size_t n = cf_config_members(config, &members);
	json_t *array = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			array, json_pack("{s:I,s:s,s:s,s:b,s:b}", "id",
					 (json_int_t)members[i].id, "address",
					 members[i].address, "admin_address",
					 members[i].admin_address, "voter",
					 (int)members[i].voter, "leaving",
					 (int)members[i].leaving));
	return array;
}

json_t *config_to_json(const struct cf_config *config)
{
	const struct cf_view *views;
	size_t n_views = cf_config_views(config, &views);
	uint64_t view = n_views ? views[n_views - 1].number : 0;

	return json_pack("{s:I,s:o,s:o,s:o,s:o,s:I}", "revision",
			 (json_int_t)cf_config_revision(config), "classes",
			 classes_to_json(config), "data_centres",
			 data_centres_to_json(config), "teams",
			 teams_to_json(config), "members",
			 members_to_json(config), "view", (json_int_t)view);
}
