/*
 * argtable2 parses the flags as strings. The values of flags and of
 * environment variables are then validated here against the table.
 */
#include "base/settings.h"

#include "base/address.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FLAG_ERRORS_MAX 64
#define NAME_LENGTH_MAX 63
#define VARIABLE_PREFIX "CHERVILFERRY_"

struct settings {
	char **values; /* one per table line; NULL: none */
	char ***lists; /* for SETTING_ADDRESSES, else NULL */
	char **arguments; /* positional, NULL-terminated */
};

/* ---- Validation of one value ---- */

static bool is_name(const char *text)
{
	size_t length = strlen(text);

	if (!length || length > NAME_LENGTH_MAX)
		return false;
	for (; *text; text++)
		if (!g_ascii_isalnum(*text) && !strchr("-_.", *text))
			return false;
	return true;
}

static bool is_address(const char *text)
{
	char host[ADDRESS_HOST_SIZE];
	uint16_t port;

	return address_parse(text, host, &port);
}

static bool is_address_list(const char *text)
{
	char **parts = g_strsplit(text, ",", -1);
	bool valid = parts[0] != NULL;

	for (size_t i = 0; parts[i]; i++)
		valid = valid && is_address(parts[i]);
	g_strfreev(parts);
	return valid;
}

static bool is_choice(const char *choices, const char *text)
{
	char **parts = g_strsplit(choices, "|", -1);
	bool found = g_strv_contains((const gchar *const *)parts, text);

	g_strfreev(parts);
	return found;
}

static bool is_valid(const struct setting *setting, const char *text)
{
	switch (setting->type) {
	case SETTING_TEXT:
	case SETTING_PATH:
		return *text && g_utf8_validate(text, -1, NULL);
	case SETTING_NAME:
		return is_name(text);
	case SETTING_NUMBER:
		return g_ascii_string_to_signed(text, 10, setting->min,
						setting->max, NULL, NULL);
	case SETTING_BOOL:
		return is_choice("true|false", text);
	case SETTING_ADDRESS:
		return is_address(text);
	case SETTING_ADDRESSES:
		return is_address_list(text);
	case SETTING_URL:
		return g_str_has_prefix(text, "http://") &&
		       is_address(text + strlen("http://"));
	case SETTING_CHOICE:
		return is_choice(setting->choices, text);
	}
	return false;
}

/* Describes the allowed values; the caller frees the result. */
static char *describe_allowed(const struct setting *setting)
{
	switch (setting->type) {
	case SETTING_TEXT:
		return g_strdup("text");
	case SETTING_PATH:
		return g_strdup("path");
	case SETTING_NAME:
		return g_strdup("1 to 63 of letters, digits, '-', '_', '.'");
	case SETTING_NUMBER:
		return g_strdup_printf(
			"%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT "%s%s",
			setting->min, setting->max, setting->unit ? " " : "",
			setting->unit ? setting->unit : "");
	case SETTING_BOOL:
		return g_strdup("true or false");
	case SETTING_ADDRESS:
		return g_strdup("IP:PORT");
	case SETTING_ADDRESSES:
		return g_strdup("IP:PORT,IP:PORT,...");
	case SETTING_URL:
		return g_strdup("http://IP:PORT");
	case SETTING_CHOICE:
		return g_strdup(setting->choices);
	}
	return g_strdup("");
}

/* ---- Flags ---- */

static char *variable_name(const struct setting *setting)
{
	char *upper = g_ascii_strup(setting->name, -1);
	char *name;

	g_strdelimit(upper, "-", '_');
	name = g_strconcat(VARIABLE_PREFIX, upper, NULL);
	g_free(upper);
	return name;
}

static const char *type_placeholder(const struct setting *setting)
{
	static const char *const words[] = {
		"TEXT",       "NAME", "N",    "true|false", "IP:PORT",
		"IP:PORT,..", "URL",  "WORD", "PATH",
	};

	if (setting->type == SETTING_CHOICE)
		return setting->choices;
	return words[setting->type];
}

/* The table for argtable2: one entry for each flag of the role, then the
 * positional arguments, then the end entry. */
struct flags {
	void **table;
	size_t n; /* number of flags */
	size_t *lines; /* index in settings_table of each flag */
};

static void flags_create(struct flags *flags, enum setting_role role, int argc)
{
	flags->table = g_new0(void *, settings_count + 2);
	flags->lines = g_new0(size_t, settings_count);
	flags->n = 0;
	for (size_t i = 0; i < settings_count; i++) {
		const struct setting *setting = &settings_table[i];
		struct arg_str *flag;

		if (!(setting->roles & role))
			continue;
		flag = arg_str0(NULL, setting->name, type_placeholder(setting),
				setting->help);
		if (setting->type == SETTING_BOOL)
			flag->hdr.flag |= ARG_HASOPTVALUE;
		flags->lines[flags->n] = i;
		flags->table[flags->n++] = flag;
	}
	flags->table[flags->n] = arg_strn(NULL, NULL, NULL, 0, argc + 1, NULL);
	flags->table[flags->n + 1] = arg_end(FLAG_ERRORS_MAX);
}

static void flags_destroy(struct flags *flags)
{
	arg_freetable(flags->table, flags->n + 2);
	g_free(flags->table);
	g_free(flags->lines);
}

static bool is_bool_flag(const char *word)
{
	for (size_t i = 0; i < settings_count; i++)
		if (settings_table[i].type == SETTING_BOOL &&
		    g_str_has_prefix(word, "--") &&
		    !strcmp(word + 2, settings_table[i].name))
			return true;
	return false;
}

/* argtable2 accepts an optional value only after "=", so "--json true" is
 * rewritten as "--json=true". */
static char **join_bool_flags_with_values(int argc, char **argv)
{
	GPtrArray *words = g_ptr_array_new();

	for (int i = 0; i < argc; i++) {
		bool joins = i > 0 && i + 1 < argc && is_bool_flag(argv[i]) &&
			     is_choice("true|false", argv[i + 1]);

		if (joins)
			g_ptr_array_add(words, g_strconcat(argv[i], "=",
							   argv[i + 1], NULL));
		else
			g_ptr_array_add(words, g_strdup(argv[i]));
		i += joins;
	}
	g_ptr_array_add(words, NULL);
	return (char **)g_ptr_array_free(words, FALSE);
}

/* Appends the errors that argtable2 found: unknown flags, flags without a
 * value and flags given twice. */
static void append_flag_errors(struct flags *flags, GString *errors)
{
	struct arg_end *end = flags->table[flags->n + 1];
	char *text = NULL;
	size_t size = 0;
	FILE *stream = open_memstream(&text, &size);
	char **lines;

	if (!stream)
		abort();
	arg_print_errors(stream, end, "setting");
	if (fclose(stream))
		abort();
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i]; i++)
		if (*lines[i])
			g_string_append_printf(errors, "%s\n", lines[i]);
	g_strfreev(lines);
	free(text);
}

/* ---- Values ---- */

static void append_value_error(GString *errors, const struct setting *setting,
			       const char *source, const char *value)
{
	char *allowed = describe_allowed(setting);

	if (value)
		g_string_append_printf(errors,
				       "%s: \"%s\" is not allowed: %s\n",
				       source, value, allowed);
	else
		g_string_append_printf(errors, "%s: a value is required: %s\n",
				       source, allowed);
	g_free(allowed);
}

static void set_value(struct settings *s, size_t i, const char *source,
		      const char *value, GString *errors)
{
	const struct setting *setting = &settings_table[i];

	if (!is_valid(setting, value)) {
		append_value_error(errors, setting, source, value);
		return;
	}
	g_free(s->values[i]);
	s->values[i] = g_strdup(value);
}

/* Uses the flag, else the environment variable, else keeps the default. */
static void read_setting(struct settings *s, size_t i,
			 const struct arg_str *flag, GString *errors)
{
	const struct setting *setting = &settings_table[i];
	char *variable = variable_name(setting);
	char *flag_name = g_strconcat("--", setting->name, NULL);
	const char *value = getenv(variable);
	const char *source = variable;

	if (flag->count > 0) {
		source = flag_name;
		value = flag->sval[0];
		if (setting->type == SETTING_BOOL && !*value)
			value = "true";
	}
	if (value && (*value || flag->count > 0))
		set_value(s, i, source, value, errors);
	else if (setting->required)
		append_value_error(errors, setting, flag_name, NULL);
	g_free(flag_name);
	g_free(variable);
}

static struct settings *create_with_defaults(void)
{
	struct settings *s = g_new0(struct settings, 1);

	s->values = g_new0(char *, settings_count);
	s->lists = g_new0(char **, settings_count);
	for (size_t i = 0; i < settings_count; i++)
		s->values[i] = g_strdup(settings_table[i].default_value);
	return s;
}

static void copy_arguments(struct settings *s, const struct arg_str *rest)
{
	s->arguments = g_new0(char *, (gsize)rest->count + 1);
	for (int i = 0; i < rest->count; i++)
		s->arguments[i] = g_strdup(rest->sval[i]);
}

struct settings *settings_parse(enum setting_role role, int argc, char **argv,
				GString *errors)
{
	struct settings *s = create_with_defaults();
	gsize errors_before = errors->len;
	char **words = join_bool_flags_with_values(argc, argv);
	struct flags flags;

	flags_create(&flags, role, argc);
	if (arg_parse((int)g_strv_length(words), words, flags.table) > 0)
		append_flag_errors(&flags, errors);
	for (size_t i = 0; i < flags.n; i++)
		read_setting(s, flags.lines[i], flags.table[i], errors);
	copy_arguments(s, flags.table[flags.n]);
	flags_destroy(&flags);
	g_strfreev(words);
	for (size_t i = 0; i < settings_count; i++)
		if (settings_table[i].type == SETTING_ADDRESSES && s->values[i])
			s->lists[i] = g_strsplit(s->values[i], ",", -1);
	if (errors->len == errors_before)
		return s;
	settings_destroy(s);
	return NULL;
}

void settings_destroy(struct settings *settings)
{
	if (!settings)
		return;
	for (size_t i = 0; i < settings_count; i++) {
		g_free(settings->values[i]);
		g_strfreev(settings->lists[i]);
	}
	g_free(settings->values);
	g_free(settings->lists);
	g_strfreev(settings->arguments);
	g_free(settings);
}

/* ---- Access ---- */

static size_t setting_index(const char *name)
{
	for (size_t i = 0; i < settings_count; i++)
		if (!strcmp(settings_table[i].name, name))
			return i;
	g_error("unknown setting %s", name);
}

const char *settings_text(const struct settings *s, const char *name)
{
	return s->values[setting_index(name)];
}

int64_t settings_number(const struct settings *s, const char *name)
{
	const char *text = settings_text(s, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

bool settings_bool(const struct settings *s, const char *name)
{
	return !g_strcmp0(settings_text(s, name), "true");
}

char **settings_list(const struct settings *s, const char *name)
{
	static char *none[] = { NULL };
	char **list = s->lists[setting_index(name)];

	return list ? list : none;
}

const char *settings_argument(const struct settings *s, size_t i)
{
	return i < g_strv_length(s->arguments) ? s->arguments[i] : NULL;
}
