/*
 * role: helpers for starting and stopping that all roles share.
 */
#include "roles/role.h"

#include "base/logger.h"
#include "base/trace_file.h"

#include <apr_errno.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define BYTES_PER_MB 1000000

char *role_address(const struct settings *settings, uint16_t port)
{
	const char *advertised = settings_text(settings, "advertise");
	const char *listen_address = settings_text(settings, "listen");
	const char *colon = strrchr(listen_address, ':');

	if (advertised)
		return g_strdup(advertised);
	return g_strdup_printf("%.*s:%u", (int)(colon - listen_address),
			       listen_address, port);
}

void role_divide_doors(const struct settings *settings,
		       enum door_division division,
		       struct door_limits doors[DOOR_COUNT])
{
	struct machine_limits machine;

	doors_read_machine(&machine);
	if (settings_text(settings, "memory-limit-mb"))
		machine.memory_bytes =
			(uint64_t)settings_number(settings, "memory-limit-mb") *
			BYTES_PER_MB;
	if (settings_text(settings, "descriptors-limit"))
		machine.descriptors = (uint32_t)settings_number(
			settings, "descriptors-limit");
	doors_divide(&machine, division, doors);
	log_event(LOG_INFO, "doors",
		  "memory_mb=%u descriptors=%u main_connections=%u "
		  "main_bytes=%" G_GUINT64_FORMAT " links_connections=%u "
		  "links_bytes=%" G_GUINT64_FORMAT " admin_connections=%u "
		  "admin_bytes=%" G_GUINT64_FORMAT,
		  (uint32_t)(machine.memory_bytes / BYTES_PER_MB),
		  machine.descriptors, doors[DOOR_MAIN].connections_max,
		  doors[DOOR_MAIN].held_max_bytes,
		  doors[DOOR_LINKS].connections_max,
		  doors[DOOR_LINKS].held_max_bytes,
		  doors[DOOR_ADMIN].connections_max,
		  doors[DOOR_ADMIN].held_max_bytes);
}

bool role_open_trace(const struct settings *settings, uint64_t incarnation,
		     GError **error)
{
	const char *path = settings_text(settings, "trace");

	if (!path)
		return true;
	return trace_open(path, settings_text(settings, "name"), incarnation,
			  error);
}

GQuark role_error_quark(void)
{
	return g_quark_from_static_string("role");
}

void role_set_error(GError **error, const char *what, int status)
{
	char text[120];

	apr_strerror(status, text, sizeof(text));
	g_set_error(error, role_error_quark(), status, "%s: %s", what, text);
}

int role_start_failed(GError *error)
{
	log_event(LOG_ERROR, "start_failed", "reason=\"%s\"",
		  error ? error->message : "unknown");
	g_clear_error(&error);
	return 1;
}

static const struct formats *platform_formats;

void role_set_formats(const struct formats *formats)
{
	platform_formats = formats;
}

const struct formats *role_formats(void)
{
	return platform_formats;
}

void role_request_stop(void)
{
	kill(getpid(), SIGTERM);
}
