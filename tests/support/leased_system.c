/*
 * leased_system: see leased_system.h.
 */
#include "support/leased_system.h"

#include "base/clock.h"
#include "net/http_client.h"
#include "platform/standin.h"

#include <curl/curl.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define STOP_WAIT_MS "5000"
/* Coordinator 1 uses 127.211.x.y, coordinator 2 uses 127.212.x.y, etc. */
#define LOOPBACK_NET_BASE 210
#define COORDINATOR_PORT 21999
#define CONTROL_PORT 22999
#define LISTEN_BASE 21000
#define ADMIN_BASE 22000
#define CONTROL_BASE 23000
#define HTTP_BASE 24000
#define SERVER_BASE 25000
#define AGENT_RELAY_BASE 26000
#define SERVER_RELAY_BASE 27000
#define HOST "h.example"
#define PREFIX "/q/"
#define TASK_CPU_MILLI 700
#define ROUTE_TIMEOUT_MS 4000
#define CALL_SLACK_MS 500
#define CONTROL_WAIT_MS 2000
#define CANCEL_WAIT_MAX_MS 4000 /* ackTimeoutMs of the callers */
#define CONTROL_PAUSE_US 50000

/* ---- Layout ---- */

static void add_address(struct leased_system *s, struct proc *p,
			const char *flag, int base)
{
	char text[40];

	snprintf(text, sizeof(text), "%s:%d", s->cluster->ip,
		 base + (int)(p - s->cluster->procs));
	proc_add(p, flag, text);
}

static struct proc *add(struct leased_system *s, const char *role,
			const char *prefix, int i)
{
	char name[16];
	struct proc *p;

	snprintf(name, sizeof(name), "%s%d", prefix, i);
	p = cluster_add(s->cluster, role, name);
	proc_add(p, "--data-centre", "dc1");
	add_address(s, p, "--listen", LISTEN_BASE);
	add_address(s, p, "--admin", ADMIN_BASE);
	return p;
}

/* The addresses depend on the process id, so that tests that run at the same
 * time don't conflict. */
static void coordinator_address(int i, int port, char address[40])
{
	unsigned int id = (unsigned int)getpid();

	snprintf(address, 40, "127.%d.%u.%u:%d", LOOPBACK_NET_BASE + i,
		 (id >> 8) & 255, 1 + (id & 255) % 254, port);
}

static void append(char *list, size_t size, const char *address)
{
	if (list[0])
		g_strlcat(list, ",", size);
	g_strlcat(list, address, size);
}

/* All coordinators must use the same port for connections between processes.
 * In production, each one has a host of its own; here each one has a loopback
 * address of its own. */
static struct proc *add_coordinator(struct leased_system *s, int i,
				    const char *first_start)
{
	char name[16], text[260];
	struct proc *p;

	snprintf(name, sizeof(name), "c%d", i);
	p = cluster_add(s->cluster, "coordinator", name);
	coordinator_address(i, COORDINATOR_PORT, text);
	proc_add(p, "--listen", text);
	coordinator_address(i, CONTROL_PORT, text);
	proc_add(p, "--control", text);
	add_address(s, p, "--admin", ADMIN_BASE);
	snprintf(text, sizeof(text), "%s/%s", s->cluster->folder, name);
	proc_add(p, "--data", text);
	proc_add(p, "--seeds", s->seeds);
	proc_add(p, "--seeds-port", G_STRINGIFY(COORDINATOR_PORT));
	proc_add(p, "--first-start", first_start);
	proc_add(p, "--election-ms", "300");
	if (s->losses_borne[0])
		proc_add(p, "--losses-borne", s->losses_borne);
	return p;
}

struct proc *leased_system_add_coordinator(struct leased_system *s, int number)
{
	s->coordinators = MAX(s->coordinators, number);
	return add_coordinator(s, number, "false");
}

static void add_seeds(struct leased_system *s)
{
	for (int i = 1; i <= SYSTEM_COORDINATORS; i++) {
		char address[40];

		coordinator_address(i, CONTROL_PORT, address);
		append(s->seeds, sizeof(s->seeds), address);
		coordinator_address(i, COORDINATOR_PORT, address);
		append(s->coordinator_addresses,
		       sizeof(s->coordinator_addresses), address);
	}
	for (int i = 1; i <= SYSTEM_COORDINATORS; i++)
		add_coordinator(s, i, "true");
	s->coordinators = SYSTEM_COORDINATORS;
}

static void configure_processes(struct leased_system *s)
{
	add_seeds(s);
	for (int i = 1; i <= SYSTEM_AGENTS; i++) {
		struct proc *p = add(s, "leased-agent", "a", i);

		proc_add(p, "--coordinators", s->coordinator_addresses);
		add_address(s, p, "--control", CONTROL_BASE);
	}
	for (int i = 1; i <= SYSTEM_DISPATCHERS; i++) {
		struct proc *p = add(s, "leased-dispatcher", "d", i);

		proc_add(p, "--coordinators", s->coordinator_addresses);
		add_address(s, p, "--http", HTTP_BASE);
		proc_add(p, "--stop-wait-ms", STOP_WAIT_MS);
	}
}

/* ---- Calls ---- */

static uint32_t send_with_deadline(const char *address, const char *method,
				   const char *path, const char *body,
				   char **answer, int64_t deadline_ms,
				   int64_t timeout_ms)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	g_autofree char *deadline = standin_deadline_header(deadline_ms);
	const char *headers[] = { "Host: " HOST, deadline, NULL };
	struct http_call http = { .method = method,
				  .url = url,
				  .body = body,
				  .size_bytes = body ? strlen(body) : 0,
				  .headers = headers,
				  .timeout_ms = timeout_ms };
	struct http_answer response;

	http_call_now(&http, &response);
	if (answer)
		*answer = response.body ? g_strndup(response.body,
						    response.size_bytes)
					: g_strdup("");
	g_free((void *)(uintptr_t)response.body);
	if (response.result == HTTP_NOT_CONNECTED)
		return SYSTEM_NOT_CONNECTED;
	return response.result == HTTP_OK ? response.status : SYSTEM_NO_ANSWER;
}

static uint32_t send_call(const char *address, const char *method,
			  const char *path, const char *body, char **answer,
			  int64_t timeout_ms)
{
	return send_with_deadline(address, method, path, body, answer,
				  SYSTEM_DEADLINE_MS, timeout_ms);
}

uint32_t leased_system_call(struct leased_system *s, int coordinator,
			    const char *interface, const char *method,
			    const char *path, const char *body, char **answer)
{
	char name[16];

	snprintf(name, sizeof(name), "c%d", coordinator);
	return send_call(cluster_address(s->cluster, name, interface), method,
			 path, body, answer, CONTROL_WAIT_MS);
}

void leased_system_control(struct leased_system *s, const char *method,
			   const char *path, const char *body, uint32_t version)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	for (int i = 0;; i++) {
		g_autofree char *answer = NULL;
		uint32_t status = leased_system_call(s, i % s->coordinators + 1,
						     "control", method, path,
						     body, &answer);

		if (status == 200 &&
		    (!version || standin_has_version(answer, version)))
			return;
		assert_true(clock_now_ms() < end_ms);
		g_usleep(CONTROL_PAUSE_US);
	}
}

char *leased_system_routes(uint32_t version)
{
	return standin_write_routes(version, "desk", HOST, PREFIX,
				    ROUTE_TIMEOUT_MS);
}

void leased_system_set_routes(struct leased_system *s, uint32_t version)
{
	g_autofree char *routes = leased_system_routes(version);

	leased_system_control(s, "POST", standin_set_routes_path, routes, 0);
}

void leased_system_expect_routes(struct leased_system *s, uint32_t version)
{
	leased_system_control(s, "GET", standin_get_routes_path, NULL, version);
}

/* ---- Callers with persistent connections ---- */

struct leased_caller {
	struct leased_system *system;
	CURL *handles[SYSTEM_DISPATCHERS];
	struct curl_slist *headers;
};

struct leased_caller *leased_caller_create(struct leased_system *s)
{
	struct leased_caller *caller = g_new0(struct leased_caller, 1);
	g_autofree char *deadline = standin_deadline_header(SYSTEM_DEADLINE_MS);

	caller->system = s;
	for (int i = 0; i < SYSTEM_DISPATCHERS; i++)
		caller->handles[i] = curl_easy_init();
	caller->headers = curl_slist_append(NULL, "Host: " HOST);
	caller->headers = curl_slist_append(caller->headers, deadline);
	caller->headers = curl_slist_append(caller->headers, "Expect:");
	return caller;
}

void leased_caller_destroy(struct leased_caller *caller)
{
	for (int i = 0; i < SYSTEM_DISPATCHERS; i++)
		curl_easy_cleanup(caller->handles[i]);
	curl_slist_free_all(caller->headers);
	g_free(caller);
}

static size_t keep_answer(char *data, size_t one, size_t n, void *answer)
{
	g_string_append_len(answer, data, (gssize)(one * n));
	return one * n;
}

/* Prevents libcurl from sending a request a second time on its own. It does
 * that when a persistent connection ends before the answer. */
struct single_upload {
	const char *body;
	size_t size, sent;
	bool rewound;
};

static size_t send_once(char *buffer, size_t one, size_t n, void *arg)
{
	struct single_upload *single_upload = arg;
	size_t size = MIN(one * n, single_upload->size - single_upload->sent);

	if (single_upload->rewound)
		return CURL_READFUNC_ABORT;
	memcpy(buffer, single_upload->body + single_upload->sent, size);
	single_upload->sent += size;
	return size;
}

static int refuse_rewind(void *arg, curl_off_t offset, int origin)
{
	(void)offset;
	(void)origin;
	((struct single_upload *)arg)->rewound = true;
	return CURL_SEEKFUNC_FAIL;
}

/* libcurl opens a new connection if the persistent one was closed before the
 * request was sent. */
uint32_t leased_caller_submit(struct leased_caller *caller, int dispatcher,
			      const char *id, uint32_t run_ms, char **answer)
{
	int to = dispatcher % SYSTEM_DISPATCHERS;
	CURL *curl = caller->handles[to];
	g_autofree char *body =
		standin_write_job(SYSTEM_TASKS, TASK_CPU_MILLI, run_ms);
	struct single_upload single_upload = { body, strlen(body), 0, false };
	g_autofree char *url = NULL;
	GString *response = g_string_new(NULL);
	char name[16];
	long status = 0;
	CURLcode outcome;

	snprintf(name, sizeof(name), "d%d", to + 1);
	url = g_strdup_printf(
		"http://%s" PREFIX "%s",
		cluster_address(caller->system->cluster, name, "http"), id);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, caller->headers);
	curl_easy_setopt(curl, CURLOPT_POST, 1L);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)single_upload.size);
	curl_easy_setopt(curl, CURLOPT_READFUNCTION, send_once);
	curl_easy_setopt(curl, CURLOPT_READDATA, &single_upload);
	curl_easy_setopt(curl, CURLOPT_SEEKFUNCTION, refuse_rewind);
	curl_easy_setopt(curl, CURLOPT_SEEKDATA, &single_upload);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
			 (long)(SYSTEM_DEADLINE_MS + CALL_SLACK_MS));
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, keep_answer);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	outcome = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	*answer = g_string_free(response, FALSE);
	if (outcome == CURLE_COULDNT_CONNECT)
		return SYSTEM_NOT_CONNECTED;
	return outcome == CURLE_OK ? (uint32_t)status : SYSTEM_NO_ANSWER;
}

/* ---- Single submissions and startup ---- */

static uint32_t submit(struct leased_system *s, int dispatcher, const char *id,
		       uint32_t tasks, uint32_t run_ms, int64_t deadline_ms,
		       char **answer)
{
	g_autofree char *body =
		standin_write_job(tasks, TASK_CPU_MILLI, run_ms);
	g_autofree char *path = g_strdup_printf(PREFIX "%s", id);
	char name[16];

	snprintf(name, sizeof(name), "d%d",
		 dispatcher % SYSTEM_DISPATCHERS + 1);
	return send_with_deadline(cluster_address(s->cluster, name, "http"),
				  "POST", path, body, answer, deadline_ms,
				  deadline_ms + CALL_SLACK_MS);
}

uint32_t leased_system_submit(struct leased_system *s, int dispatcher,
			      const char *id, uint32_t run_ms, char **answer)
{
	return submit(s, dispatcher, id, SYSTEM_TASKS, run_ms,
		      SYSTEM_DEADLINE_MS, answer);
}

uint32_t leased_system_submit_one(struct leased_system *s, int dispatcher,
				  const char *id, uint32_t run_ms,
				  int64_t deadline_ms, char **answer)
{
	return submit(s, dispatcher, id, 1, run_ms, deadline_ms, answer);
}

static uint32_t cancel(struct leased_system *s, int dispatcher,
		       const char *path)
{
	char name[16];

	snprintf(name, sizeof(name), "d%d",
		 dispatcher % SYSTEM_DISPATCHERS + 1);
	return send_call(cluster_address(s->cluster, name, "http"), "DELETE",
			 path, NULL, NULL, CANCEL_WAIT_MAX_MS);
}

uint32_t leased_system_cancel(struct leased_system *s, int dispatcher,
			      const char *id)
{
	g_autofree char *path = g_strdup_printf(PREFIX "%s", id);

	return cancel(s, dispatcher, path);
}

uint32_t leased_system_cancel_named(struct leased_system *s, int dispatcher,
				    const char *name, const char *id)
{
	g_autofree char *path = g_strdup_printf("/%s/%s", name, id);

	return cancel(s, dispatcher, path);
}

void leased_system_set_named_routes(struct leased_system *s, uint32_t version,
				    const char *const *names)
{
	g_autofree char *routes = standin_write_named_routes(
		version, "desk", HOST, names, ROUTE_TIMEOUT_MS);

	leased_system_control(s, "POST", standin_set_routes_path, routes, 0);
}

uint32_t leased_system_submit_named(struct leased_system *s, int dispatcher,
				    const char *name, const char *id,
				    uint32_t run_ms)
{
	return leased_system_submit_within(s, dispatcher, name, id, run_ms,
					   SYSTEM_DEADLINE_MS + CALL_SLACK_MS);
}

uint32_t leased_system_submit_within(struct leased_system *s, int dispatcher,
				     const char *name, const char *id,
				     uint32_t run_ms, int64_t wait_ms)
{
	g_autofree char *body =
		standin_write_labelled_job(1, TASK_CPU_MILLI, run_ms, name);
	g_autofree char *path = g_strdup_printf("/%s/%s", name, id);
	char process[16];

	snprintf(process, sizeof(process), "d%d",
		 dispatcher % SYSTEM_DISPATCHERS + 1);
	return send_call(cluster_address(s->cluster, process, "http"), "POST",
			 path, body, NULL, wait_ms);
}

static void address_at(const struct leased_system *s, int base, int i,
		       char address[40])
{
	snprintf(address, 40, "%s:%d", s->cluster->ip, base + i);
}

static void add_server_relay(struct leased_system *s, int i)
{
	char address[40], target[40];

	address_at(s, SERVER_RELAY_BASE, i, address);
	address_at(s, SERVER_BASE, i, target);
	s->server_relays[i] = relay_create(address, target);
}

void leased_system_start_server(struct leased_system *s, int i)
{
	char agent[16], name[40], address[40], advertised[40];

	snprintf(agent, sizeof(agent), "a%d", i + 1);
	snprintf(name, sizeof(name), "i-%d-%d", i + 1, ++s->lives[i]);
	if (s->agent_relays[i] && !s->server_relays[i])
		add_server_relay(s, i);
	address_at(s, SERVER_BASE, i, address);
	address_at(s, s->server_relays[i] ? SERVER_RELAY_BASE : SERVER_BASE, i,
		   advertised);
	s->standins[i] =
		standin_create(s->record, name, address, advertised,
			       cluster_address(s->cluster, agent, "control"));
}

void leased_system_crash_server(struct leased_system *s, int i)
{
	standin_destroy(s->standins[i]);
	s->standins[i] = NULL;
}

void leased_system_crash_unanswered(struct leased_system *s, int i)
{
	relay_crash(s->server_relays[i]);
	s->server_relays[i] = NULL;
	standin_halt(s->standins[i]);
	leased_system_crash_server(s, i);
}

/* Adds the relay between the dispatchers and an agent, and the one between the
 * agent and its backend server. */
static void add_relays(struct leased_system *s, int i)
{
	char name[16], address[40];
	struct proc *agent;

	snprintf(name, sizeof(name), "a%d", i + 1);
	agent = cluster_proc(s->cluster, name);
	address_at(s, AGENT_RELAY_BASE, i, address);
	s->agent_relays[i] = relay_create(
		address, cluster_address(s->cluster, name, "listen"));
	proc_add(agent, "--advertise", address);
	add_server_relay(s, i);
}

/* A relay that no dispatcher uses would disturb nothing. */
static void wait_for_relayed_links(struct leased_system *s)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	for (int i = 0; s->agent_relays[0] && i < SYSTEM_AGENTS; i++)
		while (relay_accepted(s->agent_relays[i]) <
		       SYSTEM_DISPATCHERS) {
			assert_true(clock_now_ms() < end_ms);
			g_usleep(CONTROL_PAUSE_US);
		}
}

static void start_all(struct leased_system *s)
{
	for (int i = 0; i < s->cluster->n_procs; i++)
		proc_start(s->cluster, &s->cluster->procs[i]);
	for (int i = 0; i < SYSTEM_AGENTS; i++)
		leased_system_start_server(s, i);
	leased_system_set_routes(s, 1);
	for (int i = 1; i <= SYSTEM_DISPATCHERS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "d%d", i);
		cluster_wait_ready(s->cluster, name, SYSTEM_WAIT_MS);
	}
	wait_for_relayed_links(s);
}

/* Without it, the stand-ins of a failed test would use the cluster that is
 * destroyed, and keep the ports that the next test needs. */
static void end_threads(void *arg)
{
	struct leased_system *s = arg;

	if (s->end_callers)
		s->end_callers(s->end_callers_arg);
	for (int i = 0; i < SYSTEM_AGENTS; i++)
		if (s->standins[i])
			standin_destroy(s->standins[i]);
}

struct leased_system *leased_system_begin(bool relays)
{
	const struct cluster_options none = { 0 };
	struct leased_system *s = g_new0(struct leased_system, 1);

	s->cluster = cluster_create(&none);
	s->cluster->end_threads = end_threads;
	s->cluster->end_threads_arg = s;
	s->record = standin_record_create();
	configure_processes(s);
	for (int i = 0; relays && i < SYSTEM_AGENTS; i++)
		add_relays(s, i);
	start_all(s);
	return s;
}

struct leased_system *leased_system_begin_group(int losses_borne)
{
	const struct cluster_options none = { 0 };
	struct leased_system *s = g_new0(struct leased_system, 1);

	s->cluster = cluster_create(&none);
	s->record = standin_record_create();
	g_snprintf(s->losses_borne, sizeof(s->losses_borne), "%d",
		   losses_borne);
	add_seeds(s);
	for (int i = 0; i < s->cluster->n_procs; i++)
		proc_start(s->cluster, &s->cluster->procs[i]);
	leased_system_set_routes(s, 1);
	return s;
}

void leased_system_finish(struct leased_system *s)
{
	for (int i = 0; i < SYSTEM_AGENTS && s->standins[i]; i++) {
		standin_destroy(s->standins[i]);
		s->standins[i] = NULL;
	}
	assert_int_equal(standin_overlapping_runs(s->record), 0);
	standin_record_destroy(s->record);
	cluster_destroy(s->cluster);
	for (int i = 0; s->agent_relays[0] && i < SYSTEM_AGENTS; i++) {
		relay_destroy(s->agent_relays[i]);
		relay_destroy(s->server_relays[i]);
	}
	g_free(s);
}
