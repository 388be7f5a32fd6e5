/*
 * settings_print: prints the settings table for --help and for
 * "chervilferry settings".
 */
#include "base/settings.h"

#include <jansson.h>
#include <stdlib.h>

static const char *const type_names[] = {
	"text",      "name", "number", "bool", "address",
	"addresses", "url",  "choice", "path",
};

static const struct {
	enum setting_role role;
	const char *name;
} role_names[] = {
	{ FOR_COORDINATOR, "coordinator" },
	{ FOR_DISPATCHER, "dispatcher" },
	{ FOR_AGENT, "agent" },
	{ FOR_OPERATOR, "operator" },
	{ FOR_LOAD, "load" },
	{ FOR_BACKEND, "backend" },
	{ FOR_STANDALONE, "standalone" },
};

/* Appends the allowed values, such as "1..64 ms" or "a|b", or nothing. */
static void append_range(const struct setting *setting, GString *out)
{
	if (setting->type == SETTING_NUMBER)
		g_string_append_printf(
			out, "%" G_GINT64_FORMAT "..%" G_GINT64_FORMAT,
			setting->min, setting->max);
	else if (setting->type == SETTING_CHOICE)
		g_string_append(out, setting->choices);
	if (setting->unit)
		g_string_append_printf(out, " %s", setting->unit);
}

void settings_print_help(enum setting_role role, const char *command,
			 GString *out)
{
	g_string_append_printf(out, "usage: chervilferry %s [FLAGS]\n\n",
			       command);
	for (size_t i = 0; i < settings_count; i++) {
		const struct setting *setting = &settings_table[i];
		GString *range;

		if (!(setting->roles & role))
			continue;
		range = g_string_new(NULL);
		append_range(setting, range);
		g_string_append_printf(out, "  --%-18s %s", setting->name,
				       setting->help);
		if (range->len)
			g_string_append_printf(out, " (%s)", range->str);
		if (setting->default_value)
			g_string_append_printf(out, " [%s]",
					       setting->default_value);
		else if (setting->required)
			g_string_append(out, " [required]");
		g_string_append_c(out, '\n');
		g_string_free(range, TRUE);
	}
	g_string_append(out, "\nEach flag may also be given as a variable, "
			     "--log-level as CHERVILFERRY_LOG_LEVEL.\n");
}

static json_t *setting_to_json(const struct setting *setting)
{
	json_t *roles = json_array();
	json_t *line = json_pack(
		"{s:s,s:s,s:b,s:s?,s:s?,s:s}", "name", setting->name, "type",
		type_names[setting->type], "required", (int)setting->required,
		"unit", setting->unit, "default", setting->default_value,
		"help", setting->help);

	for (size_t i = 0; i < G_N_ELEMENTS(role_names); i++)
		if (setting->roles & role_names[i].role)
			json_array_append_new(roles,
					      json_string(role_names[i].name));
	json_object_set_new(line, "roles", roles);
	if (setting->type == SETTING_NUMBER) {
		json_object_set_new(line, "min", json_integer(setting->min));
		json_object_set_new(line, "max", json_integer(setting->max));
	}
	if (setting->choices)
		json_object_set_new(line, "choices",
				    json_string(setting->choices));
	return line;
}

static void print_json(GString *out)
{
	json_t *all = json_array();
	char *text;

	for (size_t i = 0; i < settings_count; i++)
		json_array_append_new(all, setting_to_json(&settings_table[i]));
	text = json_dumps(all, JSON_INDENT(2));
	g_string_append_printf(out, "%s\n", text);
	free(text);
	json_decref(all);
}

void settings_print_table(GString *out, bool json)
{
	if (json) {
		print_json(out);
		return;
	}
	g_string_append_printf(out, "%-18s %-10s %-30s %-16s %s\n", "setting",
			       "type", "range", "default", "roles: meaning");
	for (size_t i = 0; i < settings_count; i++) {
		const struct setting *setting = &settings_table[i];
		const char *default_value = setting->default_value;
		GString *range = g_string_new(NULL);

		if (!default_value)
			default_value = setting->required ? "(required)" : "-";
		append_range(setting, range);
		g_string_append_printf(out, "%-18s %-10s %-30s %-16s",
				       setting->name, type_names[setting->type],
				       range->len ? range->str : "-",
				       default_value);
		for (size_t r = 0; r < G_N_ELEMENTS(role_names); r++)
			if (setting->roles & role_names[r].role)
				g_string_append_printf(out, " %s",
						       role_names[r].name);
		g_string_append_printf(out, ": %s\n", setting->help);
		g_string_free(range, TRUE);
	}
}
