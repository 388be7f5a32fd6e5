/*
 * world: see world.h.
 */
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* ---- Constants ------------------------------------------------------ */

#define BINARY "target/chervilferry"
#define BODY_MAX 65536
#define RUNS_MAX 256
#define ENDS_MAX 256
#define HOLD_MAX_MS 1000 /* maxHoldMs */
#define HEARTBEAT_MS 1500
#define HOST "nony24.example"
#define PREFIX "/lohu930/"

/* ---- State ---------------------------------------------------------- */

static char net[16];
static char work[64];
static FILE *record;
static int64_t begun_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct world_proc procs[WORLD_ROLES][WORLD_ROLE_MAX];
static const char *const role_letters[] = { "c", "d", "a" };

struct run {
	char task[64];
	char job[32];
	int64_t number, end_ms;
};

struct end {
	int64_t position, number;
	char task[64];
	const char *how;
};

struct runner {
	int i, listener;
	int64_t born_wall_ms, born_ms, until_ms, fence, seq;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct run runs[RUNS_MAX];
	int n_runs;
	struct end ends[ENDS_MAX];
	int n_ends;
	int64_t last_end;
};

static struct runner *runners[WORLD_ROLE_MAX];
static bool proxied;
static const char *volatile cut_name;
static char started_jobs[1024][32];
static int n_started;

/* ---- Time and record ------------------------------------------------ */

int64_t world_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void world_sleep_ms(int64_t ms)
{
	struct timespec left = { ms / 1000, ms % 1000 * 1000000 };

	while (nanosleep(&left, &left) && errno == EINTR)
		;
}

void world_note(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", (double)(world_now_ms() - begun_ms) / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

void world_begin(const char *record_path)
{
	char path[512], text[160];
	unsigned int id = (unsigned int)getpid();
	int fd;

	signal(SIGPIPE, SIG_IGN);
	begun_ms = world_now_ms();
	snprintf(net, sizeof(net), "127.%u.%u", 60 + (id >> 8) % 100, id & 255);
	snprintf(work, sizeof(work), "/tmp/review-XXXXXX");
	if (!mkdtemp(work))
		exit(2);
	record = fopen(record_path, "w");
	if (!record)
		exit(2);
	snprintf(path, sizeof(path), "%s/settings", work);
	snprintf(text, sizeof(text),
		 "coordinators=%s.11:8166,%s.12:8166,%s.13:8166\n", net, net,
		 net);
	fd = open(path, O_WRONLY | O_CREAT | O_TRUNC, 0600);
	if (fd < 0 || write(fd, text, strlen(text)) < 0)
		exit(2);
	close(fd);
}

static void remove_work(void)
{
	pid_t pid = fork();

	if (!pid) {
		execlp("rm", "rm", "-rf", work, (char *)NULL);
		_exit(1);
	}
	waitpid(pid, NULL, 0);
}

void world_end(void)
{
	for (int role = 0; role < WORLD_ROLES; role++)
		for (int i = 1; i < WORLD_ROLE_MAX; i++)
			if (procs[role][i].pid)
				world_kill((enum world_role)role, i);
	if (!getenv("KEEP"))
		remove_work();
}

/* ---- Processes ------------------------------------------------------ */

static void exec_role(enum world_role role, int i, bool first)
{
	char name[16], ip[32], centre[24], listen[48], admin[48], control[48];
	char http[48], seeds[96], data[96], log[96], settings[96];
	int fd;

	/* Nothing outlives this program. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	snprintf(name, sizeof(name), "%s%d", role_letters[role], i);
	snprintf(ip, sizeof(ip), "%s.%d%d", net, (int)role + 1, i);
	snprintf(centre, sizeof(centre), "zone%d", (i - 1) % 3 + 1);
	snprintf(listen, sizeof(listen), "%s:7720", ip);
	if (proxied && role == WORLD_COORDINATOR)
		snprintf(listen, sizeof(listen), "%s.6%d:7720", net, i);
	snprintf(admin, sizeof(admin), "%s:%d", ip,
		 role == WORLD_DISPATCHER ? 8167 : 7735);
	snprintf(control, sizeof(control), "%s:8166", ip);
	snprintf(http, sizeof(http), "%s:8161", ip);
	snprintf(seeds, sizeof(seeds), "%s.11:8166,%s.12:8166,%s.13:8166", net,
		 net, net);
	snprintf(data, sizeof(data), "%s/%s", work, name);
	snprintf(log, sizeof(log), "%s/%s.log", work, name);
	snprintf(settings, sizeof(settings), "%s/settings", work);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, 1);
	dup2(fd, 2);
	for (fd = 3; fd < 1024; fd++)
		close(fd);
	if (role == WORLD_COORDINATOR)
		execl(BINARY, BINARY, "coordinator", "--name", name,
		      "--heartbeat-ms", "300", "--data-centre", centre,
		      "--listen", listen, "--admin", admin, "--control",
		      control, "--data", data, "--seeds", seeds, "--seeds-port",
		      "7720", "--first-start", first ? "true" : "false",
		      "--losses-borne", "1", "--snapshot-every", "300",
		      "--election-ms", "300", (char *)NULL);
	else if (role == WORLD_DISPATCHER)
		execl(BINARY, BINARY, "leased-dispatcher", "--name", name,
		      "--heartbeat-ms", "300", "--data-centre", centre,
		      "--listen", listen, "--http", http, "--admin", admin,
		      "--coordinators", seeds, "--coordinators-port", "7720",
		      "--stop-wait-ms", "5000", "--reload-file", settings,
		      (char *)NULL);
	else
		execl(BINARY, BINARY, "leased-agent", "--name", name,
		      "--heartbeat-ms", "300", "--data-centre", centre,
		      "--listen", listen, "--admin", admin, "--control",
		      control, "--coordinators", seeds, "--coordinators-port",
		      "7720", "--stop-wait-ms", "4500", "--reload-file",
		      settings, (char *)NULL);
	_exit(127);
}

void world_start(enum world_role role, int i)
{
	struct world_proc *p = &procs[role][i];
	bool first = p->starts++ == 0;
	pid_t pid = fork();

	if (!pid)
		exec_role(role, i, first);
	p->pid = pid;
	world_note("%s%d is started", role_letters[role], i);
}

void world_signal(enum world_role role, int i, int signal)
{
	if (procs[role][i].pid)
		kill(procs[role][i].pid, signal);
}

static void end_proc(enum world_role role, int i, int signal)
{
	struct world_proc *p = &procs[role][i];

	if (!p->pid)
		return;
	kill(p->pid, signal);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
	world_note("%s%d has ended (%s)", role_letters[role], i,
		   signal == SIGKILL ? "SIGKILL" : "SIGTERM");
}

void world_stop(enum world_role role, int i)
{
	end_proc(role, i, SIGTERM);
}

void world_kill(enum world_role role, int i)
{
	end_proc(role, i, SIGKILL);
}

/* ---- HTTP ----------------------------------------------------------- */

static int connect_to(const char *address, int64_t timeout_ms)
{
	char host[32];
	const char *colon = strrchr(address, ':');
	struct sockaddr_in to = { .sin_family = AF_INET };
	struct timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
	inet_pton(AF_INET, host, &to.sin_addr);
	to.sin_port = htons((uint16_t)atoi(colon + 1));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to))) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t n = write(fd, data, size);

		if (n <= 0)
			return false;
		data += n;
		size -= (size_t)n;
	}
	return true;
}

/* Reads one message with a Content-Length. Returns the body's size, or -1. */
static int read_message(int fd, char *head, size_t head_size, char *body,
			size_t body_size, char *rest, size_t *n_rest)
{
	size_t n = *n_rest, length = 0, have;
	char *end, *field;

	memcpy(head, rest, n);
	head[n] = 0;
	while (!(end = strstr(head, "\r\n\r\n"))) {
		ssize_t got;

		if (n + 1 >= head_size)
			return -1;
		got = read(fd, head + n, head_size - n - 1);
		if (got <= 0)
			return -1;
		n += (size_t)got;
		head[n] = 0;
	}
	end += 4;
	field = strcasestr(head, "\r\nContent-Length:");
	if (field && field < end)
		length = (size_t)atol(field + 17);
	if (length + 1 > body_size)
		return -1;
	have = n - (size_t)(end - head);
	*n_rest = 0;
	if (have > length) {
		*n_rest = have - length;
		memcpy(rest, end + length, *n_rest);
		have = length;
	}
	memcpy(body, end, have);
	*end = 0;
	while (have < length) {
		ssize_t got = read(fd, body + have, length - have);

		if (got <= 0)
			return -1;
		have += (size_t)got;
	}
	body[length] = 0;
	return (int)length;
}

int world_call(const char *address, const char *method, const char *path,
	       const char *headers, const char *body, int64_t timeout_ms,
	       char *answer, size_t answer_size)
{
	static const size_t head_size = 8192;
	char *head = malloc(head_size), *text = malloc(BODY_MAX);
	char *rest = malloc(head_size);
	size_t n_rest = 0;
	int fd = connect_to(address, timeout_ms), status = WORLD_NO_ANSWER;
	int n;

	if (fd >= 0) {
		n = snprintf(text, BODY_MAX,
			     "%s %s HTTP/1.1\r\nHost: " HOST "\r\n"
			     "Content-Type: application/json\r\n"
			     "%sContent-Length: %zu\r\n\r\n%s",
			     method, path, headers, strlen(body), body);
		if (send_all(fd, text, (size_t)n) &&
		    read_message(fd, head, head_size, text, BODY_MAX, rest,
				 &n_rest) >= 0) {
			status = atoi(head + 9);
			if (answer)
				snprintf(answer, answer_size, "%s", text);
		}
		close(fd);
	}
	free(head);
	free(text);
	free(rest);
	return status;
}

/* ---- Proxy ---------------------------------------------------------- */

struct relay {
	int i, from, to;
	char name[16]; /* of the process that dialled */
};

/* The first message of a connection names the process that dialled. */
static void read_name(struct relay *r, const char *data, ssize_t size)
{
	static const char *const names[] = { "d1", "d2", "d3", "a1", "a2",
					     "a3", "c1", "c2", "c3" };

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		char field[4] = { 2, names[i][0], names[i][1], 0 };

		if (memmem(data, (size_t)size, field, 3))
			snprintf(r->name, sizeof(r->name), "%s", names[i]);
	}
}

static bool is_cut(const struct relay *r)
{
	const char *name = cut_name;

	return name && !strcmp(name, r->name);
}

static bool carry(struct relay *r, int from, int to)
{
	char data[65536];
	ssize_t n = read(from, data, sizeof(data));

	if (n <= 0)
		return false;
	if (!*r->name && from == r->from)
		read_name(r, data, n);
	/* What comes while it is cut off is lost, and the connection with it.
	 */
	return is_cut(r) || send_all(to, data, (size_t)n);
}

static void *relay(void *arg)
{
	struct relay *r = arg;
	struct pollfd fds[] = { { .fd = r->from, .events = POLLIN },
				{ .fd = r->to, .events = POLLIN } };
	bool was_cut = false, open = true;

	while (open) {
		poll(fds, 2, 20);
		was_cut |= is_cut(r);
		if (was_cut && !is_cut(r))
			break;
		if (fds[0].revents)
			open = carry(r, r->from, r->to);
		if (open && fds[1].revents)
			open = carry(r, r->to, r->from);
		/* An end isn't told either while it is cut off. */
		while (!open && is_cut(r))
			world_sleep_ms(20);
	}
	close(r->from);
	close(r->to);
	free(r);
	return NULL;
}

static void *accept_relays(void *arg)
{
	struct relay *listener = arg;
	char address[40];

	snprintf(address, sizeof(address), "%s.6%d:7720", net, listener->i);
	for (;;) {
		int on = 1;
		struct relay *r = calloc(1, sizeof(*r));
		pthread_t thread;

		r->from = accept4(listener->from, NULL, NULL, SOCK_CLOEXEC);
		r->to = r->from < 0 ? -1 : connect_to(address, 1000);
		if (r->from < 0 || r->to < 0) {
			if (r->from >= 0)
				close(r->from);
			free(r);
			continue;
		}
		setsockopt(r->from, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		pthread_create(&thread, NULL, relay, r);
		pthread_detach(thread);
	}
	return NULL;
}

void world_use_proxy(void)
{
	proxied = true;
	for (int i = 1; i <= 3; i++) {
		struct relay *listener = calloc(1, sizeof(*listener));
		struct sockaddr_in at = { .sin_family = AF_INET,
					  .sin_port = htons(7720) };
		char ip[24];
		pthread_t thread;

		snprintf(ip, sizeof(ip), "%s.1%d", net, i);
		inet_pton(AF_INET, ip, &at.sin_addr);
		listener->i = i;
		listener->from = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (bind(listener->from, (struct sockaddr *)&at, sizeof(at)) ||
		    listen(listener->from, 128))
			exit(2);
		pthread_create(&thread, NULL, accept_relays, listener);
	}
}

void world_cut(const char *name)
{
	cut_name = name;
	if (name)
		world_note("%s is cut off from the coordinators", name);
	else
		world_note("the cut has ended");
}

/* ---- Runners -------------------------------------------------------- */

static int64_t clock_of(const struct runner *r)
{
	return world_now_ms() - r->born_ms;
}

static int64_t number_of(const char *body, const char *key)
{
	char name[32];
	const char *at;

	snprintf(name, sizeof(name), "\"%s\":", key);
	at = strstr(body, name);
	return at ? atoll(at + strlen(name)) : 0;
}

static void text_of(const char *body, const char *key, char *out, size_t size)
{
	char name[32];
	const char *at, *end;

	snprintf(name, sizeof(name), "\"%s\":\"", key);
	at = strstr(body, name);
	out[0] = 0;
	if (!at)
		return;
	at += strlen(name);
	end = strchr(at, '"');
	snprintf(out, size, "%.*s", end ? (int)(end - at) : 0, at);
}

static void end_run(struct runner *r, int at, const char *how)
{
	struct end *end = &r->ends[r->n_ends++];

	end->position = ++r->last_end;
	end->number = r->runs[at].number;
	memcpy(end->task, r->runs[at].task, sizeof(end->task));
	end->how = how;
	world_note("runner %d: %s run %lld %s", r->i, r->runs[at].task,
		   (long long)r->runs[at].number, how);
	r->runs[at] = r->runs[--r->n_runs];
	pthread_cond_broadcast(&r->changed);
}

/* Ends the runs whose time has come, and all once the lease has ended. */
static void advance(struct runner *r)
{
	bool lapsed = r->n_runs && clock_of(r) >= r->until_ms;

	for (int i = r->n_runs - 1; i >= 0 && r->n_ends < ENDS_MAX; i--) {
		if (r->runs[i].end_ms <= clock_of(r))
			end_run(r, i, "done");
		else if (lapsed)
			end_run(r, i, "lapsed");
	}
}

static void raise_until(struct runner *r, int64_t until_ms)
{
	int64_t longest_ms = clock_of(r) + HOLD_MAX_MS;

	if (until_ms > longest_ms)
		until_ms = longest_ms;
	if (until_ms > r->until_ms)
		r->until_ms = until_ms;
}

static int find_run(const struct runner *r, const char *task)
{
	for (int i = 0; i < r->n_runs; i++)
		if (!strcmp(r->runs[i].task, task))
			return i;
	return -1;
}

static bool is_old(const struct runner *r, const char *task, int64_t number)
{
	for (int i = 0; i < r->n_ends; i++)
		if (!strcmp(r->ends[i].task, task) &&
		    number <= r->ends[i].number)
			return true;
	return false;
}

static const char *start_run(struct runner *r, const char *body)
{
	char task[64], spec[32];
	int64_t number = number_of(body, "run");
	int64_t until_ms = number_of(body, "untilMs");
	struct run *run;
	int at;

	text_of(body, "task", task, sizeof(task));
	text_of(body, "spec", spec, sizeof(spec));
	at = find_run(r, task);
	if (at >= 0 && r->runs[at].number == number)
		return NULL;
	if (until_ms <= clock_of(r))
		return "late";
	raise_until(r, until_ms);
	if (at >= 0 || is_old(r, task, number))
		return "old";
	if (r->n_runs == RUNS_MAX)
		return "room";
	run = &r->runs[r->n_runs++];
	snprintf(run->task, sizeof(run->task), "%s", task);
	snprintf(run->job, sizeof(run->job), "%.*s", (int)strcspn(task, "."),
		 task);
	run->number = number;
	run->end_ms = clock_of(r) + atoi(spec);
	pthread_mutex_lock(&record_lock);
	if (n_started < 1024)
		snprintf(started_jobs[n_started++], 32, "%s", run->job);
	pthread_mutex_unlock(&record_lock);
	world_note("runner %d: %s run %lld starts", r->i, task,
		   (long long)number);
	return NULL;
}

static void forget_ends(struct runner *r, int64_t last_seen)
{
	int kept = 0;

	/* Old ends stay known for a while, so that their numbers are refused;
	 * only the list leaves them out. */
	if (r->n_ends < ENDS_MAX - 32)
		return;
	for (int i = 0; i < r->n_ends; i++)
		if (r->ends[i].position > last_seen)
			r->ends[kept++] = r->ends[i];
	r->n_ends = kept;
}

static void wait_for_end(struct runner *r, int64_t wait_ms, int64_t last_seen)
{
	int64_t end_ms = world_now_ms() + wait_ms;

	while (r->last_end <= last_seen && world_now_ms() < end_ms) {
		struct timespec until;

		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += 5000000;
		until.tv_sec += until.tv_nsec / 1000000000;
		until.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&r->changed, &r->lock, &until);
		advance(r);
	}
}

static int write_lists(struct runner *r, int64_t last_seen, char *out,
		       size_t size)
{
	int n = snprintf(out, size,
			 "{\"clockMs\":%lld,\"born\":%lld,\"running\":[",
			 (long long)clock_of(r), (long long)r->born_wall_ms);
	bool first = true;

	for (int i = 0; i < r->n_runs; i++)
		n += snprintf(out + n, size - (size_t)n,
			      "%s[\"%s\",%lld,\"\",50,0]", i ? "," : "",
			      r->runs[i].task, (long long)r->runs[i].number);
	n += snprintf(out + n, size - (size_t)n, "],\"ended\":[");
	for (int i = 0; i < r->n_ends; i++) {
		if (r->ends[i].position <= last_seen)
			continue;
		n += snprintf(out + n, size - (size_t)n,
			      "%s[%lld,\"%s\",%lld,\"%s\",\"\"]",
			      first ? "" : ",", (long long)r->ends[i].position,
			      r->ends[i].task, (long long)r->ends[i].number,
			      r->ends[i].how);
		first = false;
	}
	return n + snprintf(out + n, size - (size_t)n, "]}");
}

/* A run that isn't there yet is refused from now on. */
static void refuse_up_to(struct runner *r, const char *task, int64_t number)
{
	struct end *end = &r->ends[r->n_ends++];

	end->position = 0;
	end->number = number;
	end->how = "stopped";
	memcpy(end->task, task, sizeof(end->task));
}

/* Carries out one call; returns the status. */
static int carry_out(struct runner *r, const char *head, const char *body,
		     char *out, size_t size)
{
	int64_t fence = number_of(body, "fence"), last_seen;
	const char *reason = NULL;
	char task[64];
	int at;

	advance(r);
	if (fence < r->fence) {
		reason = "fence";
	} else if (!strncmp(head, "POST /run-start ", 16)) {
		r->fence = fence;
		reason = start_run(r, body);
	} else if (!strncmp(head, "POST /run-stop ", 15)) {
		r->fence = fence;
		text_of(body, "task", task, sizeof(task));
		at = find_run(r, task);
		if (at >= 0 && r->runs[at].number <= number_of(body, "run"))
			end_run(r, at, "stopped");
		else if (at < 0 && r->n_ends < ENDS_MAX)
			refuse_up_to(r, task, number_of(body, "run"));
	} else {
		r->fence = fence;
		last_seen = number_of(body, "lastSeen");
		if (strstr(body, "\"untilMs\":"))
			raise_until(r, number_of(body, "untilMs"));
		forget_ends(r, last_seen);
		wait_for_end(r, number_of(body, "waitMs"), last_seen);
		write_lists(r, last_seen, out, size);
		return 200;
	}
	if (reason)
		snprintf(out, size, "{\"clockMs\":%lld,\"reason\":\"%s\"}",
			 (long long)clock_of(r), reason);
	else
		snprintf(out, size, "{\"clockMs\":%lld}",
			 (long long)clock_of(r));
	return reason ? 409 : 200;
}

struct connection {
	struct runner *runner;
	int fd;
};

static void *serve(void *arg)
{
	struct connection c = *(struct connection *)arg;
	char *head = malloc(8192), *body = malloc(BODY_MAX);
	char *out = malloc(BODY_MAX), *rest = malloc(8192), answer[160];
	size_t n_rest = 0;

	free(arg);
	while (read_message(c.fd, head, 8192, body, BODY_MAX, rest, &n_rest) >=
	       0) {
		int status, n;

		pthread_mutex_lock(&c.runner->lock);
		status = carry_out(c.runner, head, body, out, BODY_MAX);
		pthread_mutex_unlock(&c.runner->lock);
		n = snprintf(answer, sizeof(answer),
			     "HTTP/1.1 %d X\r\n"
			     "Content-Type: application/json\r\n"
			     "Content-Length: %zu\r\n\r\n",
			     status, strlen(out));
		if (!send_all(c.fd, answer, (size_t)n) ||
		    !send_all(c.fd, out, strlen(out)))
			break;
	}
	close(c.fd);
	free(head);
	free(body);
	free(out);
	free(rest);
	return NULL;
}

static void *accept_calls(void *arg)
{
	struct runner *r = arg;

	for (;;) {
		int on = 1, fd = accept4(r->listener, NULL, NULL, SOCK_CLOEXEC);
		struct connection *c;
		pthread_t thread;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = malloc(sizeof(*c));
		*c = (struct connection){ r, fd };
		pthread_create(&thread, NULL, serve, c);
		pthread_detach(thread);
	}
	return NULL;
}

static void *send_heartbeats(void *arg)
{
	struct runner *r = arg;
	char body[512], address[40], path[48];

	snprintf(address, sizeof(address), "%s.3%d:8166", net, r->i);
	snprintf(path, sizeof(path), "/Instances.Heartbeat/i-%d", r->i);
	for (;;) {
		int status;

		snprintf(body, sizeof(body),
			 "{\"service\":\"huvo11a\",\"addr\":\"%s.4%d:9000\","
			 "\"zone\":\"zone%d\",\"version\":\"v1\",\"slots\":8,"
			 "\"state\":\"ready\",\"coldLeftMs\":0,"
			 "\"capacity\":{\"cpu\":16000,\"memMb\":32768,"
			 "\"gpu\":0},\"labels\":[\"a\",\"r1-%d\"],"
			 "\"clockMs\":%lld,\"born\":%lld,\"seq\":%lld}",
			 net, r->i, (r->i - 1) % 3 + 1, r->i,
			 (long long)clock_of(r), (long long)r->born_wall_ms,
			 (long long)++r->seq);
		status = world_call(address, "POST", path, "", body, 1000, NULL,
				    0);
		world_sleep_ms(status == 200 ? HEARTBEAT_MS : 200);
	}
	return NULL;
}

static void *tick(void *arg)
{
	struct runner *r = arg;

	for (;;) {
		world_sleep_ms(5);
		pthread_mutex_lock(&r->lock);
		advance(r);
		pthread_mutex_unlock(&r->lock);
	}
	return NULL;
}

void world_start_runner(int i)
{
	struct runner *r = calloc(1, sizeof(*r));
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons(9000) };
	char ip[24];
	struct timespec wall;
	pthread_t thread;
	int on = 1;

	snprintf(ip, sizeof(ip), "%s.4%d", net, i);
	inet_pton(AF_INET, ip, &at.sin_addr);
	clock_gettime(CLOCK_REALTIME, &wall);
	r->i = i;
	r->born_ms = world_now_ms();
	r->born_wall_ms = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
	pthread_mutex_init(&r->lock, NULL);
	pthread_cond_init(&r->changed, NULL);
	r->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(r->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(r->listener, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(r->listener, 128)) {
		world_note("runner %d: %s", i, strerror(errno));
		world_end();
		exit(2);
	}
	runners[i] = r;
	pthread_create(&thread, NULL, accept_calls, r);
	pthread_create(&thread, NULL, send_heartbeats, r);
	pthread_create(&thread, NULL, tick, r);
}

bool world_is_running(const char *job)
{
	bool found = false;

	for (int i = 1; i < WORLD_ROLE_MAX; i++) {
		struct runner *r = runners[i];

		if (!r)
			continue;
		pthread_mutex_lock(&r->lock);
		advance(r);
		for (int k = 0; k < r->n_runs; k++)
			found |= !strcmp(r->runs[k].job, job);
		pthread_mutex_unlock(&r->lock);
	}
	return found;
}

int world_count_starts(const char *job)
{
	int n = 0;

	pthread_mutex_lock(&record_lock);
	for (int i = 0; i < n_started; i++)
		n += !strcmp(started_jobs[i], job);
	pthread_mutex_unlock(&record_lock);
	return n;
}

/* ---- Callers and the operator --------------------------------------- */

int world_submit(int dispatcher, const char *job, int run_ms,
		 int64_t deadline_ms)
{
	char address[40], path[64], headers[64], body[256], answer[256] = "";
	int status;

	snprintf(address, sizeof(address), "%s.2%d:8161", net, dispatcher);
	snprintf(path, sizeof(path), PREFIX "%s", job);
	snprintf(headers, sizeof(headers), "Deadline-Ms: %lld\r\n",
		 (long long)deadline_ms);
	snprintf(body, sizeof(body),
		 "{\"spec\":\"%d\",\"bestEffort\":true,\"steps\":[{\"count\":1,"
		 "\"cpu\":1000,\"memMb\":64,\"estimateMs\":%d}]}",
		 run_ms, run_ms);
	world_note("job %s is sent to d%d", job, dispatcher);
	status = world_call(address, "POST", path, headers, body,
			    deadline_ms + 1000, answer, sizeof(answer));
	world_note("job %s: d%d answers %d %s", job, dispatcher, status,
		   answer);
	return status;
}

int world_cancel(int dispatcher, const char *job)
{
	char address[40], path[64], answer[256] = "";
	int status;

	snprintf(address, sizeof(address), "%s.2%d:8161", net, dispatcher);
	snprintf(path, sizeof(path), PREFIX "%s", job);
	world_note("job %s: cancel is sent to d%d", job, dispatcher);
	status = world_call(address, "DELETE", path, "Deadline-Ms: 4000\r\n",
			    "", 4500, answer, sizeof(answer));
	world_note("job %s: d%d answers the cancel with %d", job, dispatcher,
		   status);
	return status;
}

static const char configuration[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" HOST "\","
	"\"pathPrefix\":\"" PREFIX "\",\"kind\":\"non_idempotent\","
	"\"timeoutMs\":60000,\"targetLatencyMs\":20000,\"priority\":0,"
	"\"service\":\"huvo11a\",\"maxAttempts\":4,\"stretch\":1.6}],"
	"\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\","
	"\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,"
	"\"coldPerS\":0.0,\"rejectsOverload\":true,\"standby\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static bool set_configuration(int64_t wait_ms)
{
	int64_t end_ms = world_now_ms() + wait_ms;
	char address[40];

	while (world_now_ms() < end_ms) {
		for (int i = 1; i <= 3; i++) {
			snprintf(address, sizeof(address), "%s.1%d:8166", net,
				 i);
			if (world_call(address, "POST", "/Config.Replace", "",
				       configuration, 1000, NULL, 0) == 200) {
				world_note("the configuration is "
					   "acknowledged by c%d",
					   i);
				return true;
			}
		}
		world_sleep_ms(100);
	}
	return false;
}

bool world_wait_ready(int dispatcher, int64_t wait_ms)
{
	int64_t end_ms = world_now_ms() + wait_ms;
	char address[40];

	snprintf(address, sizeof(address), "%s.2%d:8167", net, dispatcher);
	while (world_now_ms() < end_ms) {
		if (world_call(address, "GET", "/readyz", "", "", 500, NULL,
			       0) == 200)
			return true;
		world_sleep_ms(50);
	}
	return false;
}

/* The one that answers a read of the configuration; the others redirect. */
int world_leader(int64_t wait_ms)
{
	int64_t end_ms = world_now_ms() + wait_ms;
	char address[40];

	while (world_now_ms() < end_ms) {
		for (int i = 1; i <= 3; i++) {
			snprintf(address, sizeof(address), "%s.1%d:8166", net,
				 i);
			if (procs[WORLD_COORDINATOR][i].pid &&
			    world_call(address, "GET", "/Config.Read", "", "",
				       500, NULL, 0) == 200)
				return i;
		}
		world_sleep_ms(20);
	}
	return 0;
}

bool world_start_all(int n_dispatchers, int n_agents)
{
	for (int i = 1; i <= 3; i++)
		world_start(WORLD_COORDINATOR, i);
	for (int i = 1; i <= n_dispatchers; i++)
		world_start(WORLD_DISPATCHER, i);
	for (int i = 1; i <= n_agents; i++) {
		world_start(WORLD_AGENT, i);
		world_start_runner(i);
	}
	if (!set_configuration(10000))
		return false;
	for (int i = 1; i <= n_dispatchers; i++)
		if (!world_wait_ready(i, 10000))
			return false;
	return true;
}
