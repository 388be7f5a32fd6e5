/*
 * backend: the stand-in backend server for tests, trials and measurements.
 * It announces itself to the agent on its host every second and notifies
 * the agent before it stops.
 */
#include "backend/backend_internal.h"

#include "base/address.h"
#include "base/clock.h"
#include "base/logger.h"
#include "base/trace_file.h"

#include <string.h>

#define ANNOUNCE_MS 1000
#define ANNOUNCE_TIMEOUT_MS 1000
#define LEAVE_RETRY_MS 100
/* After this many refused connections in a row the agent is not running,
 * so it sends no more tasks. */
#define LEAVE_REFUSALS_MAX 3
/* How long to wait for an agent that does not answer. */
#define LEAVE_TIMEOUT_US 3000000
/* How long to wait for running tasks. */
#define FINISH_TIMEOUT_US 60000000
/* How long the server must be idle before it stops. */
#define IDLE_LINGER_US 200000
#define POLL_US 5000
#define CALLS_MAX 2
#define TASK_CONNECTIONS_MIN 64
#define SERVER_THREADS 2

/* ---- Announcing ---- */

static void send_leave(void *arg, int64_t now_ms);

/* The leave notice waits for an announcement in flight, so that the agent
 * cannot receive the two in reverse order. */
static void on_announce_answered(void *arg, const struct http_answer *answer)
{
	struct backend *backend = arg;

	(void)answer; /* it is repeated every second */
	backend->announce_in_flight = false;
	if (backend->leaving)
		send_leave(backend, 0);
}

static void post_to_agent(struct backend *backend, const char *url,
			  const char *body, http_answer_fn *fn)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	struct http_call call = {
		.method = "POST",
		.url = url,
		.body = body,
		.size_bytes = strlen(body),
		.headers = headers,
		.timeout_ms = ANNOUNCE_TIMEOUT_MS,
	};

	http_client_call(backend->client, &call, fn, backend);
}

static void send_announcement(void *arg, int64_t now_ms)
{
	struct backend *backend = arg;

	(void)now_ms;
	if (backend->announce_in_flight)
		return;
	backend->announce_in_flight = true;
	post_to_agent(backend, backend->announce_url, backend->announcement,
		      on_announce_answered);
}

static void on_leave_answered(void *arg, const struct http_answer *answer)
{
	struct backend *backend = arg;
	bool refused = answer->result == HTTP_NOT_CONNECTED;

	backend->leave_refusals = refused ? backend->leave_refusals + 1 : 0;
	if (backend->leave_refusals < LEAVE_REFUSALS_MAX &&
	    (answer->result != HTTP_OK || answer->status != 200)) {
		loop_timer_destroy(backend->announce_timer);
		backend->announce_timer =
			loop_timer_create(backend->loop, send_leave, backend);
		loop_timer_start(backend->announce_timer, LEAVE_RETRY_MS, 0);
		return;
	}
	g_mutex_lock(&backend->lock);
	backend->leave_done = true;
	g_cond_signal(&backend->changed);
	g_mutex_unlock(&backend->lock);
}

static void send_leave(void *arg, int64_t now_ms)
{
	struct backend *backend = arg;

	(void)now_ms;
	post_to_agent(backend, backend->leaving_url, "{}", on_leave_answered);
}

static void begin_leaving(void *arg)
{
	struct backend *backend = arg;

	backend->leaving = true;
	loop_timer_stop(backend->announce_timer);
	if (!backend->announce_in_flight)
		send_leave(backend, 0);
}

void backend_update_idle(struct backend *backend)
{
	uint32_t stuck_tasks =
		backend->behaviour == BEHAVIOUR_NEVER ? backend->running : 0;

	g_mutex_lock(&backend->lock);
	backend->idle = backend->running == stuck_tasks &&
			!backend->waiting.length;
	backend->stuck_tasks = stuck_tasks;
	g_mutex_unlock(&backend->lock);
}

/* ---- Starting ---- */

static gpointer run_loop(gpointer arg)
{
	struct backend *backend = arg;

	loop_run(backend->loop);
	return NULL;
}

static void make_announcement(struct backend *backend)
{
	const struct settings *s = backend->settings;
	char host[ADDRESS_HOST_SIZE];
	uint16_t port;

	if (!address_parse(settings_text(s, "serve"), host, &port))
		g_error("invalid serve address in checked settings");
	backend->announcement = g_strdup_printf(
		"{\"url\":\"http://%s%s%s:%u\",\"slots\":%" G_GINT64_FORMAT
		",\"connections\":%" G_GINT64_FORMAT
		",\"cpu_milli\":%" G_GINT64_FORMAT
		",\"memory_mb\":%" G_GINT64_FORMAT
		",\"accelerators\":%" G_GINT64_FORMAT "}",
		strchr(host, ':') ? "[" : "", host,
		strchr(host, ':') ? "]" : "", backend_port(backend),
		settings_number(s, "slots"), settings_number(s, "connections"),
		settings_number(s, "cpu-milli"),
		settings_number(s, "memory-mb"),
		settings_number(s, "accelerators"));
}

static bool open_server(struct backend *backend, GError **error)
{
	int64_t connections = settings_number(backend->settings, "connections");
	struct http_server_options options = {
		.address = settings_text(backend->settings, "serve"),
		.threads = SERVER_THREADS,
		.connections_max =
			(uint32_t)MAX(connections, TASK_CONNECTIONS_MIN),
	};

	backend->server = http_server_create(&options, backend_handle_request,
					     backend, error);
	return backend->server != NULL;
}

static bool open_client(struct backend *backend, GError **error)
{
	const char *agent = settings_text(backend->settings, "agent");

	if (!agent)
		return true;
	backend->client = http_client_create(backend->loop, CALLS_MAX, error);
	if (!backend->client)
		return false;
	backend->announce_url = g_strdup_printf("http://%s/v1/announce", agent);
	backend->leaving_url = g_strdup_printf("http://%s/v1/leaving", agent);
	make_announcement(backend);
	backend->announce_timer =
		loop_timer_create(backend->loop, send_announcement, backend);
	loop_timer_start(backend->announce_timer, 0, ANNOUNCE_MS);
	return true;
}

static void free_backend(struct backend *backend)
{
	uint32_t unfinished_tasks;

	http_client_destroy(backend->client);
	unfinished_tasks = backend_drop_tasks(backend);
	trace_event("stop_end", "in_progress=%u",
		    unfinished_tasks -
			    MIN(unfinished_tasks, backend->stuck_tasks));
	http_server_destroy(backend->server);
	loop_timer_destroy(backend->announce_timer);
	loop_destroy(backend->loop);
	g_hash_table_destroy(backend->open_tasks);
	g_mutex_clear(&backend->lock);
	g_cond_clear(&backend->changed);
	g_free(backend->announce_url);
	g_free(backend->leaving_url);
	g_free(backend->announcement);
	g_free(backend->last_answer);
	g_free(backend);
}

struct backend *backend_start(const struct settings *settings, GError **error)
{
	struct backend *backend = g_new0(struct backend, 1);

	backend->settings = settings;
	backend->slots = (uint32_t)settings_number(settings, "slots");
	backend->slowness_milli = settings_number(settings, "slowness-milli");
	backend_parse_behaviour(settings_text(settings, "behaviour"),
				&backend->behaviour);
	backend->idle = true;
	g_mutex_init(&backend->lock);
	g_cond_init(&backend->changed);
	g_queue_init(&backend->waiting);
	backend->open_tasks = g_hash_table_new(NULL, NULL);
	backend->loop = loop_create(error);
	if (!backend->loop || !open_server(backend, error) ||
	    !open_client(backend, error)) {
		free_backend(backend);
		return NULL;
	}
	backend->thread = g_thread_new("backend", run_loop, backend);
	return backend;
}

uint16_t backend_port(const struct backend *backend)
{
	return http_server_port(backend->server);
}

/* ---- Stopping ---- */

static void wait_until_leave_done(struct backend *backend)
{
	gint64 end_us = g_get_monotonic_time() + LEAVE_TIMEOUT_US;

	g_mutex_lock(&backend->lock);
	while (!backend->leave_done)
		if (!g_cond_wait_until(&backend->changed, &backend->lock,
				       end_us))
			break;
	g_mutex_unlock(&backend->lock);
}

static bool is_finished(struct backend *backend)
{
	uint32_t open = http_server_open_requests(backend->server);
	bool finished;

	g_mutex_lock(&backend->lock);
	finished = backend->idle && open <= backend->stuck_tasks;
	g_mutex_unlock(&backend->lock);
	return finished;
}

/* Waits until the server has been idle for IDLE_LINGER_US, because the agent
 * may have sent a task just before it received the leave notice. */
static void wait_until_finished(struct backend *backend)
{
	gint64 end_us = g_get_monotonic_time() + FINISH_TIMEOUT_US;
	gint64 idle_since_us = g_get_monotonic_time();
	gint64 now_us = idle_since_us;

	while (now_us < end_us && now_us - idle_since_us < IDLE_LINGER_US) {
		g_usleep(POLL_US);
		now_us = g_get_monotonic_time();
		if (!is_finished(backend))
			idle_since_us = now_us;
	}
}

/* Notifies the agent first. Until the agent knows, it may still send tasks,
 * and the server runs them. */
void backend_stop(struct backend *backend)
{
	if (backend->client) {
		loop_post(backend->loop, begin_leaving, backend);
		wait_until_leave_done(backend);
	}
	http_server_quiesce(backend->server);
	wait_until_finished(backend);
	loop_stop(backend->loop);
	g_thread_join(backend->thread);
	free_backend(backend);
}

int backend_main(const struct settings *settings)
{
	GError *error = NULL;
	struct backend *backend;

	if (!role_open_trace(settings, clock_random(), &error))
		return role_start_failed(error);
	backend = backend_start(settings, &error);
	if (!backend) {
		trace_close();
		return role_start_failed(error);
	}
	log_event(LOG_INFO, "started", "port=%u", backend_port(backend));
	role_wait_for_stop();
	log_event(LOG_INFO, "stopping", NULL);
	trace_event("stop_begin", NULL);
	backend_stop(backend);
	trace_close();
	log_event(LOG_INFO, "stopped", NULL);
	return 0;
}
