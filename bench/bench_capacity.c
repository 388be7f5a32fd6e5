/*
 * bench_capacity: measures the processor time, memory and traffic that
 * lease holders cause, in a group of real coordinator processes and in
 * the holders themselves.
 *   bench_capacity FOLDER COORDINATORS ADMINS
 * FOLDER contains the pid files c1.pid, c2.pid and c3.pid of the
 * coordinators. COORDINATORS and ADMINS are their link and admin
 * addresses, separated by commas. The holders are simulated: each is a
 * session with its own link hub, as in an agent, and all of them run in
 * this process. Prints one slope per line (see fit.h).
 */
#include "base/clock.h"
#include "base/counters.h"
#include "net/http_client.h"
#include "net/link.h"
#include "roles/session.h"

#include "fit.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* ---- Constants ----------------------------------------------------- */

#define COORDINATORS 3
#define HOLDERS_MAX 200
#define SETTLE_MS 2500
#define IDLE_MS 8000
#define CHANGES 10
#define CHANGE_EVERY_MS 300
/* Claim requests sent before waiting for replies. Each has one claim. */
#define CLAIM_BATCH 50
#define WAIT_TIMEOUT_MS 30000
#define NS_PER_US 1000.0
#define US_PER_S 1e6
/* IPv4 header 20, TCP header 20, TCP timestamp option 12. */
#define SEGMENT_HEADER_BYTES 52

/* ---- Types --------------------------------------------------------- */

struct holder {
	struct bench *bench;
	struct link_hub *hub;
	struct session *session;
};

struct usage {
	double cpu_us[COORDINATORS], own_cpu_us;
	double rss_bytes[COORDINATORS];
	int64_t at_us;
	int64_t grants, bytes_in, bytes_out, heartbeats;
};

struct bench {
	struct loop *loop;
	char **coordinators, **admins;
	pid_t pids[COORDINATORS];
	struct holder holders[HOLDERS_MAX];
	size_t n_holders;
	size_t leader; /* index of the coordinator last seen as leader */
	uint64_t revision; /* configuration revision of the latest change */
	uint64_t seq;
	int64_t replies, expected_replies;
};

/* Measured points of each quantity, over the number of holders. */
struct slopes {
	struct fit leader_idle, follower_idle, holder_idle;
	struct fit bytes_idle, bytes_wire, memory;
	struct fit change_leader, change_holder, change_time;
};

/* ---- Resource usage ------------------------------------------------------ */

static double process_cpu_us(pid_t pid)
{
	struct timespec used;
	clockid_t clock;

	if (clock_getcpuclockid(pid, &clock) || clock_gettime(clock, &used))
		return 0;
	return (double)used.tv_sec * US_PER_S +
	       (double)used.tv_nsec / NS_PER_US;
}

static double process_rss_bytes(pid_t pid)
{
	char path[64], *text = NULL;
	long pages = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	if (g_file_get_contents(path, &text, NULL, NULL))
		pages = strtol(strchr(text, ' '), NULL, 10);
	g_free(text);
	return (double)pages * (double)sysconf(_SC_PAGESIZE);
}

static int64_t message_count(const char *direction, const char *kind)
{
	char labels[96];

	g_snprintf(labels, sizeof(labels), "dir=\"%s\",kind=\"%s\"", direction,
		   kind);
	return counter_value(counter_get("link_messages_total", labels, NULL));
}

static void read_usage(const struct bench *b, struct usage *usage)
{
	for (size_t i = 0; i < COORDINATORS; i++) {
		usage->cpu_us[i] = process_cpu_us(b->pids[i]);
		usage->rss_bytes[i] = process_rss_bytes(b->pids[i]);
	}
	usage->own_cpu_us = process_cpu_us(getpid());
	usage->at_us = clock_now_us();
	usage->grants =
		counter_value(counter_get("lease_grants_total", NULL, NULL));
	usage->bytes_in = counter_value(
		counter_get("link_bytes_total", "dir=\"in\"", NULL));
	usage->bytes_out = counter_value(
		counter_get("link_bytes_total", "dir=\"out\"", NULL));
	usage->heartbeats = message_count("in", "heartbeat") +
			    message_count("out", "heartbeat");
}

/* ---- Waiting ------------------------------------------------------- */

struct wait {
	struct bench *bench;
	bool (*condition)(struct bench *bench);
	int64_t end_ms;
	bool held;
};

static void check_condition(void *arg, int64_t now_ms)
{
	struct wait *wait = arg;

	wait->held = wait->condition && wait->condition(wait->bench);
	if (wait->held || now_ms >= wait->end_ms)
		loop_stop(wait->bench->loop);
}

/* Runs the event loop until the condition holds or for_ms have passed.
 * Returns whether the condition held. */
static bool run_until(struct bench *b, bool (*condition)(struct bench *bench),
		      int64_t for_ms)
{
	struct wait wait = { b, condition, clock_now_ms() + for_ms, false };
	struct loop_timer *timer =
		loop_timer_create(b->loop, check_condition, &wait);

	loop_timer_start(timer, 0, 1);
	loop_run(b->loop);
	loop_timer_destroy(timer);
	return wait.held;
}

static void require(bool met, const char *what)
{
	if (met)
		return;
	fprintf(stderr, "bench_capacity: %s\n", what);
	exit(1);
}

/* ---- Holders ------------------------------------------------------- */

static void on_link_up(void *arg, struct link *link)
{
	struct holder *h = arg;

	session_link_up(h->session, link);
}

static void on_link_down(void *arg, struct link *link)
{
	struct holder *h = arg;

	session_link_down(h->session, link);
}

static void on_message(void *arg, struct link *link,
		       const Cfw__Envelope *envelope)
{
	struct holder *h = arg;

	if (envelope->body_case == CFW__ENVELOPE__BODY_CLAIM_REPLY)
		h->bench->replies++;
	else
		session_handle_message(h->session, link, envelope);
}

static void on_change(void *arg)
{
	(void)arg;
}

static void on_roster(void *arg, const Cfw__Roster *roster)
{
	(void)arg;
	(void)roster;
}

static void on_lease(void *arg, bool held)
{
	(void)arg;
	(void)held;
}

static void add_holder(struct bench *b, Cfw__Role role)
{
	static const struct link_handlers link_handlers = { on_link_up,
							    on_message,
							    on_link_down };
	static const struct session_handlers session_handlers = {
		on_change, on_roster, on_lease, on_change
	};
	struct holder *h = &b->holders[b->n_holders];
	struct cf_capacity capacity = { .slots = 8, .connections = 64 };
	g_autofree char *name = g_strdup_printf("agent%zu", b->n_holders);
	struct link_options options = { .self = { role, name, clock_random(), 0,
						  "dc1" } };
	struct session_options session = {
		.loop = b->loop,
		.role = role,
		.incarnation = options.self.incarnation,
		.name = name,
		.data_centre = "dc1",
		.rack = "rack1",
		.address = "127.0.0.1:9999",
		.coordinators = b->coordinators,
	};

	h->bench = b;
	h->hub = link_hub_create(b->loop, &options, &link_handlers, h);
	session.hub = h->hub;
	h->session = session_create(&session, &session_handlers, h);
	session_set_capacity(h->session, &capacity);
	session_begin(h->session);
	b->n_holders++;
}

static bool all_leases_held(struct bench *b)
{
	struct link *links[COORDINATORS];

	for (size_t i = 0; i < b->n_holders; i++)
		if (!session_lease_held(b->holders[i].session,
					clock_now_ms()) ||
		    session_links(b->holders[i].session, links, COORDINATORS) <
			    COORDINATORS)
			return false;
	return true;
}

static bool all_applied(struct bench *b)
{
	for (size_t i = 0; i < b->n_holders; i++)
		if (cf_config_revision(session_config(b->holders[i].session)) <
		    b->revision)
			return false;
	return true;
}

/* ---- Changes ------------------------------------------------------- */

/* Sets the target of a class at the current leader, which it finds by
 * trying the coordinators in turn. Returns the new revision. */
static uint64_t submit_change(struct bench *b, const char *name, int target_ms)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	g_autofree char *body = g_strdup_printf(
		"{\"command_id\":\"%016" G_GINT64_MODIFIER
		"x%016" G_GINT64_MODIFIER
		"x\",\"base_revision\":0,\"change\":{\"class_set\":{\"name\":"
		"\"%s\",\"target_ms\":%d,\"percentile_milli\":95000,"
		"\"idempotent\":false}}}",
		clock_random(), clock_random(), name, target_ms);

	for (int tries = 0; tries < 100; tries++) {
		g_autofree char *url = g_strdup_printf("http://%s/v1/commands",
						       b->admins[b->leader]);
		struct http_call call = {
			.method = "POST",
			.url = url,
			.body = body,
			.size_bytes = strlen(body),
			.headers = headers,
			.timeout_ms = 2000,
		};
		struct http_answer answer = { 0 };
		const char *revision_text = NULL;
		uint64_t revision = 0;

		http_call_now(&call, &answer);
		if (answer.result == HTTP_OK && answer.status == 200)
			revision_text = strstr(answer.body, "\"revision\":");
		if (revision_text)
			revision =
				g_ascii_strtoull(revision_text + 11, NULL, 10);
		g_free((void *)answer.body);
		if (revision)
			return revision;
		b->leader = (b->leader + 1) % COORDINATORS;
		g_usleep(20000);
	}
	require(false, "no coordinator took a change");
	return 0;
}

/* ---- Measurements over the number of holders ----------------------- */

static double follower_us(const struct bench *b, const struct usage *from,
			  const struct usage *to)
{
	double sum = 0;

	for (size_t i = 0; i < COORDINATORS; i++)
		if (i != b->leader)
			sum += to->cpu_us[i] - from->cpu_us[i];
	return sum / (COORDINATORS - 1);
}

/* Measures the idle load, which is lease renewals and heartbeats only.
 * *rate receives processor time per second. */
static void measure_idle(struct bench *b, struct slopes *s, struct usage *rate)
{
	struct usage from, to;
	double n = (double)b->n_holders, seconds, bytes, segments;

	read_usage(b, &from);
	run_until(b, NULL, IDLE_MS);
	read_usage(b, &to);
	seconds = (double)(to.at_us - from.at_us) / US_PER_S;
	for (size_t i = 0; i < COORDINATORS; i++)
		rate->cpu_us[i] = (to.cpu_us[i] - from.cpu_us[i]) / seconds;
	rate->own_cpu_us = (to.own_cpu_us - from.own_cpu_us) / seconds;
	bytes = (double)(to.bytes_in + to.bytes_out - from.bytes_in -
			 from.bytes_out) /
		seconds;
	segments = (double)(to.heartbeats - from.heartbeats +
			    2 * (to.grants - from.grants)) /
		   seconds;
	printf("idle holders=%zu renewals/s=%.1f heartbeats/s=%.1f "
	       "leader_us/s=%.0f follower_us/s=%.0f holders_us/s=%.0f\n",
	       b->n_holders, (double)(to.grants - from.grants) / seconds,
	       (double)(to.heartbeats - from.heartbeats) / seconds,
	       rate->cpu_us[b->leader], follower_us(b, &from, &to) / seconds,
	       rate->own_cpu_us);
	fit_add(&s->leader_idle, n, rate->cpu_us[b->leader]);
	fit_add(&s->follower_idle, n, follower_us(b, &from, &to) / seconds);
	fit_add(&s->holder_idle, n, rate->own_cpu_us);
	fit_add(&s->bytes_idle, n, bytes);
	/* Estimate: each message takes one segment, and its acknowledgement
	 * takes another. */
	fit_add(&s->bytes_wire, n, bytes + 2 * segments * SEGMENT_HEADER_BYTES);
	fit_add(&s->memory, n, to.rss_bytes[b->leader]);
}

static void measure_changes(struct bench *b, struct slopes *s,
			    const struct usage *rate)
{
	struct usage from, to;
	double n = (double)b->n_holders, seconds, worst_ms = 0;

	read_usage(b, &from);
	for (int i = 0; i < CHANGES; i++) {
		int64_t began_us = clock_now_us();

		b->revision = submit_change(b, "default", 1000 + i);
		require(run_until(b, all_applied, WAIT_TIMEOUT_MS),
			"a change did not come into force");
		worst_ms = MAX(worst_ms,
			       (double)(clock_now_us() - began_us) / 1000);
		run_until(b, NULL, CHANGE_EVERY_MS);
	}
	read_usage(b, &to);
	seconds = (double)(to.at_us - from.at_us) / US_PER_S;
	fit_add(&s->change_leader, n,
		(to.cpu_us[b->leader] - from.cpu_us[b->leader] -
		 seconds * rate->cpu_us[b->leader]) /
			CHANGES);
	fit_add(&s->change_holder, n,
		(to.own_cpu_us - from.own_cpu_us - seconds * rate->own_cpu_us) /
			CHANGES);
	fit_add(&s->change_time, n, worst_ms);
}

static void measure_size(struct bench *b, size_t n, struct slopes *s)
{
	struct usage rate;

	while (b->n_holders < n)
		add_holder(b, CFW__ROLE__ROLE_AGENT);
	require(run_until(b, all_leases_held, WAIT_TIMEOUT_MS),
		"no lease for all holders");
	run_until(b, NULL, SETTLE_MS);
	measure_idle(b, s, &rate);
	measure_changes(b, s, &rate);
}

/* ---- Claims -------------------------------------------------------- */

static void send_claim(struct bench *b, struct holder *h)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__ClaimRequest request = CFW__CLAIM_REQUEST__INIT;
	Cfw__Claim claim = CFW__CLAIM__INIT, *claims[] = { &claim };
	struct link *links[COORDINATORS];
	size_t n = session_links(h->session, links, COORDINATORS);
	struct cf_key key;

	cf_key_make(&key, clock_wall_ms(), clock_random(), clock_random());
	claim.key.data = key.bytes;
	claim.key.len = CF_KEY_SIZE;
	claim.owner = 1;
	request.seq = ++b->seq;
	request.claims = claims;
	request.n_claims = 1;
	envelope.body_case = CFW__ENVELOPE__BODY_CLAIM_REQUEST;
	envelope.claim_request = &request;
	for (size_t i = 0; i < n; i++)
		link_send(links[i], &envelope);
	b->expected_replies += (int64_t)n;
}

static bool all_replied(struct bench *b)
{
	return b->replies >= b->expected_replies;
}

/* Sends claims in batches. Memory is measured relative to its size before
 * the first claim. Processor time includes the idle load of the holders. */
static void measure_claims(struct bench *b)
{
	static const int sizes[] = { 5000, 10000, 20000, 40000 };
	struct fit cpu = { 0 }, own_cpu = { 0 }, bytes = { 0 }, memory = { 0 };
	struct usage baseline, from, to;
	double sent = 0;

	read_usage(b, &baseline);
	for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
		double n = sizes[k], cpu_us = 0, rss = 0;

		read_usage(b, &from);
		for (int i = 0; i < sizes[k]; i += CLAIM_BATCH) {
			for (int j = 0; j < CLAIM_BATCH; j++)
				send_claim(b, &b->holders[0]);
			require(run_until(b, all_replied, WAIT_TIMEOUT_MS),
				"claims were not answered");
		}
		read_usage(b, &to);
		sent += n;
		for (size_t i = 0; i < COORDINATORS; i++) {
			cpu_us +=
				(to.cpu_us[i] - from.cpu_us[i]) / COORDINATORS;
			rss += (to.rss_bytes[i] - baseline.rss_bytes[i]) /
			       COORDINATORS;
		}
		fit_add(&cpu, n, cpu_us);
		fit_add(&own_cpu, n, to.own_cpu_us - from.own_cpu_us);
		fit_add(&bytes, n,
			(double)(to.bytes_in + to.bytes_out - from.bytes_in -
				 from.bytes_out) /
				COORDINATORS);
		fit_add(&memory, sent, rss);
	}
	fit_print(&cpu, "claim_voter_cpu", "us/claim");
	fit_print(&own_cpu, "claim_asker_cpu", "us/claim, 3 voters");
	fit_print(&bytes, "claim_bytes", "B/claim/voter");
	fit_print(&memory, "claim_voter_rss", "B/vote");
}

/* ---- Main ---------------------------------------------------------- */

static void print_slopes(const struct slopes *s)
{
	fit_print(&s->leader_idle, "holder_leader_cpu", "us/s/holder");
	fit_print(&s->follower_idle, "holder_follower_cpu", "us/s/holder");
	fit_print(&s->holder_idle, "holder_own_cpu", "us/s/holder");
	fit_print(&s->bytes_idle, "holder_bytes", "B/s/holder");
	fit_print(&s->bytes_wire, "holder_bytes_tcpip_est", "B/s/holder");
	fit_print(&s->memory, "holder_leader_rss", "B/holder");
	fit_print(&s->change_leader, "change_leader_cpu", "us/change/holder");
	fit_print(&s->change_holder, "change_holder_cpu", "us/change/holder");
	fit_print(&s->change_time, "change_in_force_worst", "ms/holder");
}

static void read_pids(struct bench *b, const char *folder)
{
	for (size_t i = 0; i < COORDINATORS; i++) {
		g_autofree char *path =
			g_strdup_printf("%s/c%zu.pid", folder, i + 1);
		g_autofree char *text = NULL;

		require(g_file_get_contents(path, &text, NULL, NULL),
			"a pid file is missing");
		b->pids[i] = (pid_t)strtol(text, NULL, 10);
	}
}

int main(int argc, char **argv)
{
	static const size_t sizes[] = { 10, 50, 100, 200 };
	static struct bench b;
	static struct slopes slopes;

	require(argc == 4, "FOLDER COORDINATORS ADMINS");
	apr_initialize();
	read_pids(&b, argv[1]);
	b.coordinators = g_strsplit(argv[2], ",", 0);
	b.admins = g_strsplit(argv[3], ",", 0);
	b.loop = loop_create(NULL);
	require(b.loop != NULL, "no event loop");
	submit_change(&b, "default", 1000); /* finds the leader */
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_size(&b, sizes[i], &slopes);
	print_slopes(&slopes);
	measure_claims(&b);
	return 0;
}
