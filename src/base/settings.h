/*
 * settings: a single table defines the command-line flags, the
 * CHERVILFERRY_* environment variables, their validation, the help text and
 * the output of "chervilferry settings". A flag overrides an environment
 * variable, which overrides the default.
 */
#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum setting_type {
	SETTING_TEXT,
	SETTING_NAME, /* 1 to 63 letters, digits, '-', '_', '.' */
	SETTING_NUMBER, /* int64 from min to max */
	SETTING_BOOL,
	SETTING_ADDRESS, /* ip:port, port 0 allowed */
	SETTING_ADDRESSES, /* comma-separated ip:port */
	SETTING_URL, /* http://ip:port */
	SETTING_CHOICE, /* one of choices, "a|b|c" */
	SETTING_PATH,
};

/* Bits for the roles that accept a setting. */
enum setting_role {
	FOR_COORDINATOR = 1 << 0,
	FOR_DISPATCHER = 1 << 1,
	FOR_AGENT = 1 << 2,
	FOR_OPERATOR = 1 << 3,
	FOR_LOAD = 1 << 4,
	FOR_BACKEND = 1 << 5,
	FOR_STANDALONE = 1 << 6,
	FOR_LEASED_DISPATCHER = 1 << 7,
	FOR_LEASED_AGENT = 1 << 8,
};

struct setting {
	const char *name; /* flag without dashes, e.g. "lease-ms" */
	enum setting_type type;
	unsigned int roles; /* enum setting_role bits */
	bool required;
	int64_t min, max; /* for SETTING_NUMBER */
	const char *unit; /* "ms", "bytes", ... or NULL */
	const char *default_value; /* as text; NULL: none */
	const char *choices; /* for SETTING_CHOICE */
	const char *help;
};

struct settings;

extern const struct setting settings_table[];
extern const size_t settings_count;

/* Reads and validates the flags and environment variables of one role. On
 * failure appends all errors to errors, one per line, and returns NULL. */
struct settings *settings_parse(enum setting_role role, int argc, char **argv,
				GString *errors);
void settings_destroy(struct settings *settings);
const char *settings_text(const struct settings *s, const char *name);
int64_t settings_number(const struct settings *s, const char *name);
bool settings_bool(const struct settings *s, const char *name);
/* Returns a NULL-terminated list that the settings own. */
char **settings_list(const struct settings *s, const char *name);
/* Returns the positional argument i, or NULL if there are fewer. */
const char *settings_argument(const struct settings *s, size_t i);
void settings_print_help(enum setting_role role, const char *command,
			 GString *out);
void settings_print_table(GString *out, bool json);

#endif
