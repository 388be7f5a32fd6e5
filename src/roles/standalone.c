/*
 * standalone: runs a coordinator, a dispatcher, an agent and an echo
 * backend server in one process on loopback, for trying out the system.
 * It keeps no data after it ends.
 */
#include "roles/role.h"

#include "base/clock.h"
#include "chervilferry.h"
#include "base/logger.h"
#include "net/http_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* ---- Constants ---- */

#define LOOPBACK_ADDRESS "127.0.0.1"
#define COORDINATOR LOOPBACK_ADDRESS ":8101"
#define COORDINATOR_ADMIN LOOPBACK_ADDRESS ":8100"
#define DISPATCHER_ADMIN LOOPBACK_ADDRESS ":8201"
#define AGENT_BACKEND LOOPBACK_ADDRESS ":8301"
#define AGENT_ADMIN LOOPBACK_ADDRESS ":8300"
#define ARGS_MAX 16
#define VOTE_DELAY_US ((gulong)CF_CLOCK_SKEW_MS * 1000)
#define CLASS_WAIT_MS 10000
#define CLASS_POLL_US 50000

/* ---- Types ---- */

struct components {
	struct settings *coordinator_settings, *dispatcher_settings;
	struct settings *agent_settings, *backend_settings;
	struct coordinator *coordinator;
	struct dispatcher *dispatcher;
	struct agent *agent;
	struct backend *backend;
};

/* ---- Settings of the components ---- */

static struct settings *parse(enum setting_role role, const char *const *args)
{
	char *argv[ARGS_MAX];
	int argc = 0;
	GString *errors = g_string_new(NULL);
	struct settings *settings;

	argv[argc++] = (char *)"standalone";
	while (args[argc - 1]) {
		argv[argc] = (char *)args[argc - 1];
		argc++;
	}
	argv[argc] = NULL;
	settings = settings_parse(role, argc, argv, errors);
	if (!settings)
		fputs(errors->str, stderr);
	g_string_free(errors, TRUE);
	return settings;
}

static bool parse_all(struct components *p, const struct settings *settings,
		      const char *data)
{
	const char *const coordinator[] = { "--id",
					    "1",
					    "--data",
					    data,
					    "--listen",
					    COORDINATOR,
					    "--admin",
					    COORDINATOR_ADMIN,
					    "--first-members",
					    "1=" COORDINATOR
					    "/" COORDINATOR_ADMIN,
					    NULL };
	const char *const dispatcher[] = { "--coordinators",
					   COORDINATOR,
					   "--http",
					   settings_text(settings, "http"),
					   "--admin",
					   DISPATCHER_ADMIN,
					   NULL };
	const char *const agent[] = { "--coordinators",
				      COORDINATOR,
				      "--backend-listen",
				      AGENT_BACKEND,
				      "--admin",
				      AGENT_ADMIN,
				      NULL };
	const char *const backend[] = { "--agent", AGENT_BACKEND, NULL };

	p->coordinator_settings = parse(FOR_COORDINATOR, coordinator);
	p->dispatcher_settings = parse(FOR_DISPATCHER, dispatcher);
	p->agent_settings = parse(FOR_AGENT, agent);
	p->backend_settings = parse(FOR_BACKEND, backend);
	return p->coordinator_settings && p->dispatcher_settings &&
	       p->agent_settings && p->backend_settings;
}

/* ---- Default class ---- */

static bool create_default_class(void)
{
	static const char format[] =
		"{\"command_id\":\"%016" G_GINT64_MODIFIER
		"x%016" G_GINT64_MODIFIER "x\",\"base_revision\":0,"
		"\"change\":{\"class_set\":{\"name\":\"default\","
		"\"target_ms\":1000,\"percentile_milli\":95000,"
		"\"idempotent\":false}}}";
	char *body = g_strdup_printf(format, clock_random(), clock_random());
	struct http_call call = {
		.method = "POST",
		.url = "http://" COORDINATOR_ADMIN "/v1/commands",
		.body = body,
		.size_bytes = strlen(body),
		.timeout_ms = 2000,
	};
	struct http_answer answer = { 0 };
	bool ok;

	http_call_now(&call, &answer);
	ok = answer.result == HTTP_OK && answer.status == 200;
	g_free((void *)answer.body);
	g_free(body);
	return ok;
}

static bool wait_for_default_class(void)
{
	int64_t end_ms = clock_now_ms() + CLASS_WAIT_MS;

	/* A new voter does not vote on keys created before its start plus
	 * the clock skew; see docs/DESIGN.md. */
	g_usleep(VOTE_DELAY_US);
	while (!create_default_class()) {
		if (clock_now_ms() >= end_ms)
			return false;
		g_usleep(CLASS_POLL_US);
	}
	return true;
}

/* ---- Start and stop ---- */

static bool start_all(struct components *p, GError **error)
{
	p->coordinator = coordinator_start(p->coordinator_settings, error);
	if (!p->coordinator)
		return false;
	p->agent = agent_start(p->agent_settings, error);
	if (!p->agent)
		return false;
	p->backend = backend_start(p->backend_settings, error);
	if (!p->backend)
		return false;
	p->dispatcher = dispatcher_start(p->dispatcher_settings, error);
	return p->dispatcher != NULL;
}

/* Stops the dispatcher first, because its jobs in progress need the other
 * components. */
static void stop_all(struct components *p)
{
	if (p->dispatcher)
		dispatcher_stop(p->dispatcher);
	if (p->backend)
		backend_stop(p->backend);
	if (p->agent)
		agent_stop(p->agent);
	if (p->coordinator)
		coordinator_stop(p->coordinator);
	settings_destroy(p->dispatcher_settings);
	settings_destroy(p->backend_settings);
	settings_destroy(p->agent_settings);
	settings_destroy(p->coordinator_settings);
}

static void remove_directory(const char *directory)
{
	GDir *dir = g_dir_open(directory, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(directory, name, NULL);

		unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	rmdir(directory);
}

int standalone_main(const struct settings *settings)
{
	struct components components = { 0 };
	GError *error = NULL;
	char *data = g_dir_make_tmp("chervilferry-XXXXXX", &error);
	int status = 1;

	if (!data)
		return role_start_failed(error);
	if (!parse_all(&components, settings, data)) {
		status = 2;
	} else if (!start_all(&components, &error)) {
		status = role_start_failed(error);
	} else if (!wait_for_default_class()) {
		log_event(LOG_ERROR, "start_failed",
			  "reason=\"the coordinator did not accept the default "
			  "class\"");
	} else {
		log_event(LOG_INFO, "ready", "http=%s class=default",
			  settings_text(settings, "http"));
		role_wait_for_stop();
		status = 0;
	}
	stop_all(&components);
	remove_directory(data);
	g_free(data);
	return status;
}
