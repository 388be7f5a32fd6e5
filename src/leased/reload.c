/*
 * reload: see reload.h. A file that can't be read, or a value that is no
 * list of addresses, changes nothing and is logged.
 */
#include "leased/reload.h"

#include "base/address.h"
#include "base/logger.h"

#include <string.h>
#include <sys/stat.h>

/* ---- Constants ------------------------------------------------------ */

#define WATCH_US 1000000
#define COORDINATORS_KEY "coordinators="

/* ---- Reading -------------------------------------------------------- */

static char *read_value(const char *path, const char *key)
{
	g_autofree char *text = NULL;
	g_autoptr(GError) error = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		log_event(LOG_WARN, "reload_failed", "why=\"%s\"",
			  error->message);
		return NULL;
	}
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i]; i++)
		if (g_str_has_prefix(lines[i], key))
			return g_strdup(g_strstrip(lines[i]) + strlen(key));
	return NULL;
}

static bool are_addresses(char **list)
{
	char host[ADDRESS_HOST_SIZE];
	uint16_t port;

	for (size_t i = 0; list[i]; i++)
		if (!address_parse(list[i], host, &port))
			return false;
	return list[0] != NULL;
}

static void set_ports(char **list, int64_t port)
{
	for (size_t i = 0; port && list[i]; i++) {
		char *old = list[i];
		const char *colon = strrchr(old, ':');

		list[i] = g_strdup_printf("%.*s:%" G_GINT64_FORMAT,
					  (int)(colon - old), old, port);
		g_free(old);
	}
}

char **reload_coordinators(const struct settings *settings)
{
	const char *path = settings_text(settings, "reload-file");
	g_autofree char *value = path ? read_value(path, COORDINATORS_KEY)
				      : NULL;
	char **list = value ? g_strsplit(value, ",", -1) : NULL;

	if (list && !are_addresses(list)) {
		log_event(LOG_WARN, "reload_failed",
			  "why=\"coordinators: not IP:PORT,IP:PORT,...\"");
		g_clear_pointer(&list, g_strfreev);
	}
	if (!list)
		list = g_strdupv(settings_list(settings, "coordinators"));
	set_ports(list, settings_number(settings, "coordinators-port"));
	return list;
}

/* ---- Watching ------------------------------------------------------- */

struct watch {
	char *path;
	void (*fn)(void *arg);
	void *arg;
};

static int64_t changed_ns(const char *path)
{
	struct stat status;

	if (stat(path, &status))
		return 0;
	return (int64_t)status.st_mtim.tv_sec * 1000000000 +
	       status.st_mtim.tv_nsec + status.st_size;
}

static gpointer watch_file(gpointer data)
{
	struct watch *w = data;
	int64_t seen_ns = changed_ns(w->path);

	for (;;) {
		int64_t now_ns;

		g_usleep(WATCH_US);
		now_ns = changed_ns(w->path);
		if (!now_ns || now_ns == seen_ns)
			continue;
		seen_ns = now_ns;
		log_event(LOG_INFO, "reload", "cause=file");
		w->fn(w->arg);
	}
	return NULL;
}

void reload_watch(const struct settings *settings, void (*fn)(void *arg),
		  void *arg)
{
	const char *path = settings_text(settings, "reload-file");
	struct watch *w;

	if (!path)
		return;
	w = g_new0(struct watch, 1);
	w->path = g_strdup(path);
	w->fn = fn;
	w->arg = arg;
	g_thread_unref(g_thread_new("reload", watch_file, w));
}
