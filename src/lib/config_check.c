/*
 * config_check: validation of the configuration's fields. Each check
 * returns NULL if the value is valid, else a static text that names the
 * field.
 */
#include "lib/config_state.h"

#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define TARGET_MAX_MS 3600000
#define PERCENTILE_MIN_MILLI 1000
#define PERCENTILE_MAX_MILLI 99999
#define SHARE_MAX_MILLI 1000
#define MEMBER_ID_MAX 1000000
#define PORT_MAX 65535
#define IDENTITY_SIZE 16

/* ---- Functions ----------------------------------------------------- */

static bool is_name_char(char c)
{
	return g_ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
}

const char *config_check_name(const char *name)
{
	size_t length = name ? strlen(name) : 0;

	if (!length)
		return "name: must not be empty";
	if (length >= CF_NAME_SIZE)
		return "name: must have at most 63 characters";
	for (size_t i = 0; i < length; i++) {
		if (!is_name_char(name[i]))
			return "name: only letters, digits, '-', '_' and '.'";
	}
	return NULL;
}

const char *config_check_address(const char *address)
{
	size_t length = address ? strlen(address) : 0;
	const char *colon = address ? strrchr(address, ':') : NULL;
	g_autofree char *host = NULL;
	guint64 port;

	if (!colon || length >= CF_NAME_SIZE)
		return "must be ip:port";
	host = g_strndup(address, (gsize)(colon - address));
	if (!g_hostname_is_ip_address(host))
		return "must be ip:port";
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MAX, &port,
					NULL))
		return "must be ip:port with a port of 1..65535";
	return NULL;
}

const char *config_check_class(const struct Cfw__TaskClass *task_class)
{
	const char *fault = config_check_name(task_class->name);

	if (fault)
		return fault;
	if (task_class->target_ms < 1 || task_class->target_ms > TARGET_MAX_MS)
		return "target_ms: must be 1..3600000";
	if (task_class->percentile_milli < PERCENTILE_MIN_MILLI ||
	    task_class->percentile_milli > PERCENTILE_MAX_MILLI)
		return "percentile_milli: must be 1000..99999";
	return NULL;
}

const char *config_check_data_centre(const struct Cfw__DataCentre *dc)
{
	return config_check_name(dc->name);
}

const char *config_check_team(const struct Cfw__Team *team)
{
	const char *fault = config_check_name(team->name);

	if (fault)
		return fault;
	if (team->share_milli < 1 || team->share_milli > SHARE_MAX_MILLI)
		return "share_milli: must be 1..1000";
	return NULL;
}

const char *config_check_member(const struct Cfw__Member *member)
{
	if (member->id < 1 || member->id > MEMBER_ID_MAX)
		return "id: must be 1..1000000";
	if (config_check_address(member->address))
		return "address: must be ip:port";
	if (config_check_address(member->admin_address))
		return "admin_address: must be ip:port";
	if (member->identity.len && member->identity.len != IDENTITY_SIZE)
		return "identity: must have 16 bytes";
	return NULL;
}
