/*
 * reload: see reload.h. A file that can't be read, or a value that is not a
 * list of addresses, is logged and ignored.
 */
#include "leased/reload.h"

#include "base/address.h"
#include "base/logger.h"
#include "roles/role.h"

#include <string.h>
#include <sys/stat.h>

/* ---- Constants ------------------------------------------------------ */

#define WATCH_INTERVAL_US 1000000
#define NS_PER_S 1000000000
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

/* Returns the coordinators of the reload file, or else of the setting. If
 * coordinators-port is set, it replaces their ports. */
static char **read_coordinators(const struct settings *settings)
{
	const char *path = settings_text(settings, "reload-file");
	g_autofree char *value = path ? read_value(path, COORDINATORS_KEY)
				      : NULL;
	char **list = value ? g_strsplit(value, ",", -1) : NULL;

	if (list && !are_addresses(list)) {
		log_event(LOG_WARN, "reload_failed",
			  "why=\"coordinators: expected IP:PORT,IP:PORT,...\"");
		g_clear_pointer(&list, g_strfreev);
	}
	if (!list)
		list = g_strdupv(settings_list(settings, "coordinators"));
	set_ports(list, settings_number(settings, "coordinators-port"));
	return list;
}

/* ---- Session -------------------------------------------------------- */

struct session_adapter {
	struct coordinators_handlers handlers;
	void *arg;
};

static void config_changed(void *arg)
{
	struct session_adapter *a = arg;

	a->handlers.config(a->arg);
}

static void roster_changed(void *arg, const Cfw__Roster *roster)
{
	struct session_adapter *a = arg;

	if (a->handlers.roster)
		a->handlers.roster(a->arg, roster);
}

static void lease_changed(void *arg, bool held)
{
	(void)arg;
	(void)held;
}

static void fenced(void *arg)
{
	(void)arg;
	log_event(LOG_ERROR, "fenced", NULL);
	role_request_stop();
}

struct session *
reload_open_session(const struct settings *settings, struct loop *loop,
		    struct link_hub *hub, Cfw__Role role, uint64_t incarnation,
		    const char *address,
		    const struct coordinators_handlers *handlers, void *arg)
{
	static const struct session_handlers session_callbacks = {
		.config = config_changed,
		.roster = roster_changed,
		.lease = lease_changed,
		.fenced = fenced,
	};
	g_auto(GStrv) coordinators = read_coordinators(settings);
	const char *advertised = settings_text(settings, "advertise");
	const char *set = advertised ? advertised
				     : settings_text(settings, "listen");
	struct session_adapter *a = g_new0(struct session_adapter, 1);
	struct session_options options = {
		.loop = loop,
		.hub = hub,
		.role = role,
		.incarnation = incarnation,
		.name = settings_text(settings, "name"),
		.data_centre = settings_text(settings, "data-centre"),
		.address = address ? address : set,
		.coordinators = coordinators,
		.routes = role == CFW__ROLE__ROLE_DISPATCHER
	};
	struct session *session;

	a->handlers = *handlers;
	a->arg = arg;
	session = session_create(&options, &session_callbacks, a);
	session_begin(session);
	return session;
}

/* ---- Watching ------------------------------------------------------- */

struct watch {
	const struct settings *settings;
	struct loop *loop;
	struct session *session;
};

static void reload_on_loop(void *arg)
{
	struct watch *w = arg;
	g_auto(GStrv) coordinators = read_coordinators(w->settings);

	session_set_coordinators(w->session, coordinators);
}

static void reload(void *arg)
{
	struct watch *w = arg;

	loop_post(w->loop, reload_on_loop, w);
}

static int64_t file_stamp_ns(const char *path)
{
	struct stat status;

	if (stat(path, &status))
		return 0;
	return (int64_t)status.st_mtim.tv_sec * NS_PER_S +
	       status.st_mtim.tv_nsec + status.st_size;
}

static gpointer watch_file(gpointer data)
{
	struct watch *w = data;
	const char *path = settings_text(w->settings, "reload-file");
	int64_t last_stamp_ns = file_stamp_ns(path);

	for (;;) {
		int64_t stamp_ns;

		g_usleep(WATCH_INTERVAL_US);
		stamp_ns = file_stamp_ns(path);
		if (!stamp_ns || stamp_ns == last_stamp_ns)
			continue;
		last_stamp_ns = stamp_ns;
		log_event(LOG_INFO, "reload", "cause=file");
		reload(w);
	}
	return NULL;
}

void reload_watch(const struct settings *settings, struct loop *loop,
		  struct session *session)
{
	struct watch *w = g_new0(struct watch, 1);

	w->settings = settings;
	w->loop = loop;
	w->session = session;
	role_set_reload_handler(reload, w);
	if (settings_text(settings, "reload-file"))
		g_thread_unref(g_thread_new("reload", watch_file, w));
}
