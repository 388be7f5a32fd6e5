/*
 * lab: see lab.h.
 */
#define _GNU_SOURCE
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
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

#define PROGRAM "target/chervilferry"
#define HOST "nony24.example"
#define PREFIX "/lohu930/"
#define SERVICE "huvo11a"
#define HEARTBEAT_MS 1500
#define MAX_HOLD_MS 1000
#define RUNNER_CPU 64000
#define TASK_CPU 6200
#define MEMORY_FRONT "260"
#define MEMORY_SIDE "128"
#define MEMORY_CORE "256"
#define LIMIT_S 110

static struct {
	FILE *record;
	pthread_mutex_t lock;
	int64_t zero_ms;
	char folder[200], reload[256];
	char seeds[200];
	struct lab_proc procs[LAB_HOSTS_MAX];
	int n_procs;
	struct lab_runner runners[LAB_HOSTS_MAX];
	int n_runners;
	struct lab_run runs[LAB_RUNS_MAX];
	int n_runs;
} lab = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* ---- Time and record ------------------------------------------------ */

int64_t lab_now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void lab_sleep_until(int64_t at_ms)
{
	int64_t left_ms;

	while ((left_ms = at_ms - lab_now_ms()) > 0)
		usleep((useconds_t)(left_ms > 100 ? 100 : left_ms) * 1000);
}

void lab_zero(void)
{
	lab.zero_ms = lab_now_ms();
}

int64_t lab_since_zero(int64_t at_ms)
{
	return at_ms - lab.zero_ms;
}

void lab_say(const char *format, ...)
{
	double s = (double)(lab_now_ms() - lab.zero_ms) / 1000;
	va_list args;

	pthread_mutex_lock(&lab.lock);
	fprintf(lab.record, "%8.3f s  ", s);
	va_start(args, format);
	vfprintf(lab.record, format, args);
	va_end(args);
	fputc('\n', lab.record);
	fflush(lab.record);
	pthread_mutex_unlock(&lab.lock);
}

bool lab_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

static void remove_folder(void)
{
	pid_t pid;

	if (!lab.folder[0] || getenv("KEEP"))
		return;
	pid = fork();
	if (!pid) {
		execlp("rm", "rm", "-rf", lab.folder, (char *)NULL);
		_exit(1);
	}
	waitpid(pid, NULL, 0);
}

void lab_finish(int status, const char *format, ...)
{
	static const char *const words[] = { "held", "BROKEN", "not run" };
	char text[1000];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	if (lab.record)
		lab_say("%s: %s", words[status], text);
	printf("%s: %s\n", words[status], text);
	fflush(stdout);
	for (int i = 0; i < lab.n_procs; i++)
		if (lab.procs[i].pid)
			kill(lab.procs[i].pid, SIGKILL);
	for (int i = 0; i < lab.n_procs; i++)
		if (lab.procs[i].pid)
			waitpid(lab.procs[i].pid, NULL, 0);
	remove_folder();
	_exit(status);
}

static void *watch_limit(void *arg)
{
	(void)arg;
	sleep(LIMIT_S);
	lab_finish(LAB_NOT_RUN, "it took longer than %d s", LIMIT_S);
}

void lab_begin(const char *record)
{
	const char *tmp = getenv("TMPDIR");
	pthread_t thread;

	lab.record = fopen(record, "w");
	if (!lab.record) {
		fprintf(stderr, "cannot write the record\n");
		exit(LAB_NOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	lab_zero();
	snprintf(lab.folder, sizeof(lab.folder), "%s/lab-XXXXXX",
		 tmp && *tmp ? tmp : "/tmp");
	if (!mkdtemp(lab.folder))
		lab_finish(LAB_NOT_RUN, "no temporary folder");
	if (access(PROGRAM, X_OK))
		lab_finish(LAB_NOT_RUN, "%s isn't built", PROGRAM);
	pthread_create(&thread, NULL, watch_limit, NULL);
	lab_say("with%s the disruption", lab_trouble() ? "" : "out");
}

/* ---- Sockets -------------------------------------------------------- */

static struct sockaddr_in address_of(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

static int listen_on(const char *ip, int port)
{
	struct sockaddr_in a = address_of(ip, port);
	int on = 1, s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(s, (struct sockaddr *)&a, sizeof(a)) || listen(s, 128)) {
		close(s);
		return -1;
	}
	return s;
}

static bool wait_for(int s, short events, int64_t end_ms)
{
	struct pollfd p = { .fd = s, .events = events };
	int64_t left_ms = end_ms - lab_now_ms();

	return left_ms > 0 && poll(&p, 1, (int)left_ms) > 0;
}

static int dial(const char *ip, int port, int64_t end_ms)
{
	struct sockaddr_in a = address_of(ip, port);
	int fault = 0, on = 1;
	socklen_t size = sizeof(fault);
	int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(s, (struct sockaddr *)&a, sizeof(a)) &&
	    (errno != EINPROGRESS || !wait_for(s, POLLOUT, end_ms) ||
	     getsockopt(s, SOL_SOCKET, SO_ERROR, &fault, &size) || fault)) {
		close(s);
		return -1;
	}
	return s;
}

static bool send_all(int s, const char *data, size_t size, int64_t end_ms)
{
	while (size) {
		ssize_t n = send(s, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno == EAGAIN && wait_for(s, POLLOUT, end_ms))
			continue;
		if (n <= 0)
			return false;
		data += n;
		size -= (size_t)n;
	}
	return true;
}

/* Reads a message with a Content-Length (or none) into buffer. Returns the
 * offset of its body, 0 at the end of the connection or too late. */
static size_t read_message(int s, char *buffer, size_t max, size_t *size,
			   int64_t end_ms)
{
	*size = 0;
	for (;;) {
		char *end = NULL, *length;
		size_t body;
		ssize_t n;

		buffer[*size] = 0;
		if (*size)
			end = strstr(buffer, "\r\n\r\n");
		if (end) {
			body = (size_t)(end - buffer) + 4;
			length = strcasestr(buffer, "\r\nContent-Length:");
			if (!length || length > end ||
			    *size - body >= strtoul(length + 17, NULL, 10))
				return body;
		}
		if (*size + 1 >= max || !wait_for(s, POLLIN, end_ms))
			return 0;
		n = recv(s, buffer + *size, max - 1 - *size, MSG_DONTWAIT);
		if (n < 0 && errno == EAGAIN)
			continue;
		if (n <= 0)
			return 0;
		*size += (size_t)n;
	}
}

int lab_call(const char *ip, int port, const char *method, const char *path,
	     const char *headers, const char *body, int64_t timeout_ms,
	     char answer[LAB_BODY_MAX])
{
	int64_t end_ms = lab_now_ms() + timeout_ms;
	char *text = malloc(2 * LAB_BODY_MAX);
	int s = dial(ip, port, end_ms), status = 0;
	size_t size, at = 0;

	if (answer)
		answer[0] = 0;
	size = (size_t)snprintf(text, 2 * LAB_BODY_MAX,
				"%s %s HTTP/1.1\r\n%s"
				"Content-Type: application/json\r\n"
				"Content-Length: %zu\r\n\r\n%s",
				method, path, headers ? headers : "",
				body ? strlen(body) : 0, body ? body : "");
	if (s >= 0 && send_all(s, text, size, end_ms))
		at = read_message(s, text, 2 * LAB_BODY_MAX, &size, end_ms);
	if (at)
		status = atoi(text + strcspn(text, " "));
	if (at && answer)
		snprintf(answer, LAB_BODY_MAX, "%s%s",
			 status == 307 ? text : "",
			 status == 307 ? "" : text + at);
	if (s >= 0)
		close(s);
	free(text);
	return status;
}

/* ---- JSON ------------------------------------------------------------ */

/* Position of the value of a key at any depth, or NULL. */
static const char *find_value(const char *json, const char *key)
{
	char quoted[40];
	const char *at = json;

	snprintf(quoted, sizeof(quoted), "\"%s\"", key);
	while ((at = strstr(at, quoted))) {
		at += strlen(quoted);
		at += strspn(at, " ");
		if (*at == ':')
			return at + 1 + strspn(at + 1, " ");
	}
	return NULL;
}

static int64_t read_number(const char *json, const char *key)
{
	const char *at = find_value(json, key);

	return at ? strtoll(at, NULL, 10) : 0;
}

static void read_text(const char *json, const char *key, char *out, size_t max)
{
	const char *at = find_value(json, key);

	out[0] = 0;
	if (at && *at == '"')
		snprintf(out, max, "%.*s", (int)strcspn(at + 1, "\""), at + 1);
}

/* ---- Runners --------------------------------------------------------- */

static int64_t clock_of(const struct lab_runner *r)
{
	return lab_now_ms() - r->clock_base_ms;
}

static void end_run(struct lab_runner *r, int at, const char *how)
{
	struct lab_run *run = &lab.runs[r->runs[at]];

	run->ended_ms = lab_now_ms();
	snprintf(run->how, sizeof(run->how), "%s", how);
	if (r->n_kept < 512) {
		r->ended[r->n_kept].n = ++r->n_ended;
		r->ended[r->n_kept++].run = r->runs[at];
	}
	r->runs[at] = r->runs[--r->n_runs];
	lab_say("%s: run %s/%ld ended %s", r->name, run->task, run->number,
		how);
}

static void update_runs(struct lab_runner *r)
{
	bool lapsed = r->n_runs && clock_of(r) >= r->lease_ms;

	for (int i = r->n_runs; i-- > 0;) {
		const struct lab_run *run = &lab.runs[r->runs[i]];

		if (lab_now_ms() >= run->began_ms + run->work_ms)
			end_run(r, i, "done");
		else if (lapsed)
			end_run(r, i, "lapsed");
	}
}

static int find_run(const struct lab_runner *r, const char *task)
{
	for (int i = 0; i < r->n_runs; i++)
		if (!strcmp(lab.runs[r->runs[i]].task, task))
			return i;
	return -1;
}

/* The highest number of the task that has ended or was stopped here. */
static long highest_ended(const struct lab_runner *r, const char *task)
{
	long highest = 0;

	for (int i = 0; i < lab.n_runs; i++) {
		const struct lab_run *run = &lab.runs[i];

		if (run->ended_ms && !strcmp(run->task, task) &&
		    !strcmp(run->runner, r->name) && run->number > highest)
			highest = run->number;
	}
	return highest;
}

static const char *start_run(struct lab_runner *r, const char *body)
{
	char task[64], spec[64];
	long number = (long)read_number(body, "run");
	int64_t until_ms = read_number(body, "untilMs");
	int64_t fence = read_number(body, "fence");
	struct lab_run *run;
	int known;

	read_text(body, "task", task, sizeof(task));
	read_text(body, "spec", spec, sizeof(spec));
	if (fence < r->fence)
		return "fence";
	r->fence = fence;
	if (until_ms > clock_of(r) + MAX_HOLD_MS)
		until_ms = clock_of(r) + MAX_HOLD_MS;
	if (until_ms > r->lease_ms)
		r->lease_ms = until_ms;
	known = find_run(r, task);
	if (known >= 0 && lab.runs[r->runs[known]].number == number)
		return NULL;
	if (number <= highest_ended(r, task) ||
	    (known >= 0 && lab.runs[r->runs[known]].number > number))
		return "old";
	if (until_ms <= clock_of(r))
		return "late";
	if ((r->n_runs + 1) * TASK_CPU > RUNNER_CPU || r->n_runs == 256 ||
	    lab.n_runs == LAB_RUNS_MAX)
		return "room";
	run = &lab.runs[lab.n_runs];
	*run = (struct lab_run){ .number = number,
				 .began_ms = lab_now_ms(),
				 .work_ms = atoi(spec) };
	snprintf(run->task, sizeof(run->task), "%s", task);
	snprintf(run->runner, sizeof(run->runner), "%s", r->name);
	r->runs[r->n_runs++] = lab.n_runs++;
	lab_say("%s: run %s/%ld began, %d ms of work", r->name, task, number,
		(int)run->work_ms);
	return NULL;
}

static const char *stop_run(struct lab_runner *r, const char *body)
{
	long number = (long)read_number(body, "run");
	int64_t fence = read_number(body, "fence");
	struct lab_run *stopped;
	char task[64];
	int known;

	read_text(body, "task", task, sizeof(task));
	if (fence < r->fence)
		return "fence";
	r->fence = fence;
	known = find_run(r, task);
	if (known >= 0 && lab.runs[r->runs[known]].number == number) {
		end_run(r, known, "stopped");
	} else if (number > highest_ended(r, task) &&
		   lab.n_runs < LAB_RUNS_MAX) {
		/* One that isn't there yet will be rejected. */
		stopped = &lab.runs[lab.n_runs++];
		*stopped = (struct lab_run){ .number = number };
		snprintf(stopped->task, sizeof(stopped->task), "%s", task);
		snprintf(stopped->runner, sizeof(stopped->runner), "%s",
			 r->name);
		stopped->began_ms = stopped->ended_ms = lab_now_ms();
		snprintf(stopped->how, sizeof(stopped->how), "never ran");
	}
	return NULL;
}

static void write_lists(struct lab_runner *r, char *out, size_t max)
{
	size_t n = (size_t)snprintf(out, max,
				    "{\"clockMs\":%lld,\"born\":%lld,"
				    "\"running\":[",
				    (long long)clock_of(r),
				    (long long)r->born_ms);

	for (int i = 0; i < r->n_runs; i++) {
		const struct lab_run *run = &lab.runs[r->runs[i]];

		n += (size_t)snprintf(out + n, max - n,
				      "%s[\"%s\",%ld,\"\",50,%d]",
				      i ? "," : "", run->task, run->number,
				      TASK_CPU);
	}
	n += (size_t)snprintf(out + n, max - n, "],\"ended\":[");
	for (int i = 0; i < r->n_kept; i++) {
		const struct lab_run *run = &lab.runs[r->ended[i].run];

		n += (size_t)snprintf(out + n, max - n,
				      "%s[%ld,\"%s\",%ld,\"%s\",\"\"]",
				      i ? "," : "", r->ended[i].n, run->task,
				      run->number, run->how);
	}
	snprintf(out + n, max - n, "]}");
}

static bool forget_ended(struct lab_runner *r, long last_seen)
{
	int kept = 0;

	for (int i = 0; i < r->n_kept; i++)
		if (r->ended[i].n > last_seen)
			r->ended[kept++] = r->ended[i];
	r->n_kept = kept;
	return kept > 0;
}

/* Holds the answer until a run ends or wait_ms is over. */
static const char *hold(struct lab_runner *r, const char *body, char *out,
			size_t max)
{
	int64_t until_ms = read_number(body, "untilMs");
	int64_t fence = read_number(body, "fence");
	int64_t wait_ms = read_number(body, "waitMs");
	int64_t end_ms = lab_now_ms() + (wait_ms > 2000 ? 2000 : wait_ms);
	long n_ended;

	if (fence < r->fence)
		return "fence";
	r->fence = fence;
	if (until_ms > clock_of(r) + MAX_HOLD_MS)
		until_ms = clock_of(r) + MAX_HOLD_MS;
	if (until_ms > r->lease_ms)
		r->lease_ms = until_ms;
	n_ended = forget_ended(r, (long)read_number(body, "lastSeen"))
			  ? -1
			  : r->n_ended;
	while (n_ended == r->n_ended && lab_now_ms() < end_ms) {
		pthread_mutex_unlock(&r->lock);
		usleep(2000);
		pthread_mutex_lock(&r->lock);
		update_runs(r);
	}
	write_lists(r, out, max);
	return NULL;
}

struct served {
	struct lab_runner *runner;
	int socket;
};

static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;

/* Returns false if the call gets no answer. */
static bool serve_call(struct lab_runner *r, const char *text,
		       const char *body, char *out, size_t max)
{
	const char *reason = NULL, *expected;
	char *lists = calloc(1, LAB_BODY_MAX);
	int status = 200;
	bool answered = true;

	pthread_mutex_lock(&r->lock);
	pthread_mutex_lock(&runs_lock);
	update_runs(r);
	pthread_mutex_unlock(&runs_lock);
	expected = strcasestr(text, "\r\nExpect-Instance:");
	if (expected) {
		expected += 18;
		expected += strspn(expected, " ");
	}
	if (expected && strncmp(expected, r->name, strlen(r->name)) != 0) {
		status = 421;
	} else if (!strncmp(text, "POST /run-start ", 16)) {
		if (r->mute_starts > 0) {
			r->mute_starts--;
			answered = false;
		} else {
			pthread_mutex_lock(&runs_lock);
			reason = start_run(r, body);
			pthread_mutex_unlock(&runs_lock);
		}
	} else if (!strncmp(text, "POST /run-stop ", 15)) {
		pthread_mutex_lock(&runs_lock);
		reason = stop_run(r, body);
		pthread_mutex_unlock(&runs_lock);
	} else if (!strncmp(text, "POST /hold ", 11)) {
		reason = hold(r, body, lists, LAB_BODY_MAX);
	} else if (strncmp(text, "GET /health ", 12) != 0) {
		status = 404;
	}
	if (reason)
		status = 409;
	if (!lists[0] && reason)
		snprintf(lists, LAB_BODY_MAX,
			 "{\"clockMs\":%lld,\"born\":%lld,\"reason\":\"%s\"}",
			 (long long)clock_of(r), (long long)r->born_ms,
			 reason);
	else if (!lists[0])
		snprintf(lists, LAB_BODY_MAX,
			 "{\"clockMs\":%lld,\"born\":%lld}",
			 (long long)clock_of(r), (long long)r->born_ms);
	pthread_mutex_unlock(&r->lock);
	snprintf(out, max,
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 status, strlen(lists), lists);
	free(lists);
	return answered;
}

static void *serve_connection(void *arg)
{
	struct served *served = arg;
	char *in = malloc(LAB_BODY_MAX), *out = malloc(2 * LAB_BODY_MAX);
	int on = 1;
	size_t size, body;

	setsockopt(served->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while ((body = read_message(served->socket, in, LAB_BODY_MAX, &size,
				    lab_now_ms() + 60000)) &&
	       serve_call(served->runner, in, in + body, out,
			  2 * LAB_BODY_MAX) &&
	       send_all(served->socket, out, strlen(out), lab_now_ms() + 5000))
		;
	close(served->socket);
	free(in);
	free(out);
	free(served);
	return NULL;
}

static void *serve_runner(void *arg)
{
	struct lab_runner *r = arg;

	for (;;) {
		int s = accept4(r->listener, NULL, NULL, SOCK_CLOEXEC);
		struct served *served;
		pthread_t thread;

		if (s < 0)
			continue;
		served = calloc(1, sizeof(*served));
		served->runner = r;
		served->socket = s;
		pthread_create(&thread, NULL, serve_connection, served);
		pthread_detach(thread);
	}
	return NULL;
}

static void beat(struct lab_runner *r)
{
	char path[80], body[600];

	pthread_mutex_lock(&r->lock);
	snprintf(path, sizeof(path), "/Instances.Heartbeat/%s", r->name);
	snprintf(body, sizeof(body),
		 "{\"service\":\"" SERVICE "\",\"addr\":\"%s:%d\","
		 "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
		 "\"state\":\"%s\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":%d,"
		 "\"memMb\":131072,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
		 "\"clockMs\":%lld,\"seq\":%ld,\"born\":%lld}",
		 r->ip, PORT_APP, r->zone, r->draining ? "draining" : "ready",
		 RUNNER_CPU, (long long)clock_of(r), ++r->seq,
		 (long long)r->born_ms);
	pthread_mutex_unlock(&r->lock);
	lab_call(r->agent_ip, PORT_CONTROL, "POST", path, "Host: agent\r\n",
		 body, 1000, NULL);
}

static void *send_beats(void *arg)
{
	for (;;) {
		beat(arg);
		usleep(HEARTBEAT_MS * 1000);
	}
	return NULL;
}

/* Ends and lapses happen at their time, whoever asks. */
static void *run_runner(void *arg)
{
	struct lab_runner *r = arg;

	for (;;) {
		pthread_mutex_lock(&r->lock);
		pthread_mutex_lock(&runs_lock);
		update_runs(r);
		pthread_mutex_unlock(&runs_lock);
		pthread_mutex_unlock(&r->lock);
		usleep(3000);
	}
	return NULL;
}

static void start_runner(const struct lab_proc *agent, int i)
{
	struct lab_runner *r = &lab.runners[lab.n_runners++];

	snprintf(r->name, sizeof(r->name), "i-%08x", 0x7f3a91c0 + i);
	memcpy(r->ip, agent->ip, sizeof(r->ip));
	memcpy(r->agent_ip, agent->ip, sizeof(r->agent_ip));
	memcpy(r->zone, agent->zone, sizeof(r->zone));
	pthread_mutex_init(&r->lock, NULL);
	r->clock_base_ms = lab_now_ms() - 1000;
	r->born_ms = wall_ms();
	r->listener = listen_on(r->ip, PORT_APP);
	if (r->listener < 0)
		lab_finish(LAB_NOT_RUN, "a port isn't free");
	pthread_create(&r->server, NULL, serve_runner, r);
	pthread_create(&r->beats, NULL, send_beats, r);
	pthread_create(&r->ends, NULL, run_runner, r);
}

/* ---- Processes ------------------------------------------------------- */

static struct lab_proc *nth(enum lab_role role, int i)
{
	for (int p = 0; p < lab.n_procs; p++)
		if (lab.procs[p].role == role && !i--)
			return &lab.procs[p];
	lab_finish(LAB_NOT_RUN, "no such process");
}

struct lab_proc *lab_coordinator(int i)
{
	return nth(LAB_COORDINATOR, i);
}

struct lab_proc *lab_agent(int i)
{
	return nth(LAB_AGENT, i);
}

struct lab_proc *lab_dispatcher(int i)
{
	return nth(LAB_DISPATCHER, i);
}

struct lab_runner *lab_runner(int i)
{
	return &lab.runners[i];
}

/* The commands of deploy/system.toml with the placeholders filled in; the
 * reload file and the data folder are in the temporary folder. */
static void fill_command(const struct lab_proc *p, char *out, size_t max)
{
	const char *ip = p->ip;

	if (p->role == LAB_DISPATCHER)
		snprintf(out, max,
			 PROGRAM " leased-dispatcher --name %s --heartbeat-ms "
			 "300 --data-centre %s --listen %s:%d --http %s:%d "
			 "--admin %s:%d --coordinators %s --coordinators-port "
			 "%d --stop-wait-ms 5000 --memory-limit-mb "
			 MEMORY_FRONT " --descriptors-limit 4100 "
			 "--reload-file %s",
			 p->name, p->zone, ip, PORT_LINKS, ip, PORT_FRONT, ip,
			 PORT_READY, lab.seeds, PORT_LINKS, lab.reload);
	else if (p->role == LAB_AGENT)
		snprintf(out, max,
			 PROGRAM " leased-agent --name %s --heartbeat-ms 300 "
			 "--data-centre %s --listen %s:%d --admin %s:%d "
			 "--control %s:%d --coordinators %s "
			 "--coordinators-port %d --stop-wait-ms 4500 "
			 "--memory-limit-mb " MEMORY_SIDE
			 " --descriptors-limit 4096 --reload-file %s",
			 p->name, p->zone, ip, PORT_LINKS, ip, PORT_ADMIN, ip,
			 PORT_CONTROL, lab.seeds, PORT_LINKS, lab.reload);
	else
		snprintf(out, max,
			 PROGRAM " coordinator --name %s --heartbeat-ms 300 "
			 "--data-centre %s --listen %s:%d --admin %s:%d "
			 "--control %s:%d --data %s/%s --seeds %s "
			 "--seeds-port %d --first-start %s --losses-borne 1 "
			 "--memory-limit-mb " MEMORY_CORE
			 " --descriptors-limit 4096 --snapshot-every 300 "
			 "--election-ms 300",
			 p->name, p->zone, ip, PORT_LINKS, ip, PORT_ADMIN, ip,
			 PORT_CONTROL, lab.folder, p->name, lab.seeds,
			 PORT_LINKS, p->starts ? "false" : "true");
}

static void log_path(const struct lab_proc *p, char out[300])
{
	snprintf(out, 300, "%s/%s.log", lab.folder, p->name);
}

void lab_start(struct lab_proc *p)
{
	char command[2000], path[300], *args[80];
	int n = 0, log;

	fill_command(p, command, sizeof(command));
	log_path(p, path);
	lab_say("start: %s", command);
	for (char *word = strtok(command, " "); word; word = strtok(NULL, " "))
		args[n++] = word;
	args[n] = NULL;
	p->starts++;
	p->pid = fork();
	if (p->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	log = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(log, 1);
	dup2(log, 2);
	execv(args[0], args);
	_exit(127);
}

void lab_signal_only(struct lab_proc *p, int number)
{
	static const struct {
		int number;
		const char *name;
	} names[] = { { SIGKILL, "SIGKILL" },
		      { SIGTERM, "SIGTERM" },
		      { SIGSTOP, "SIGSTOP (freeze)" },
		      { SIGCONT, "SIGCONT (thaw)" } };

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (names[i].number == number)
			lab_say("%s: %s", p->name, names[i].name);
	kill(p->pid, number);
}

bool lab_reap(struct lab_proc *p)
{
	if (p->pid && waitpid(p->pid, NULL, WNOHANG) == p->pid) {
		p->pid = 0;
		lab_say("%s has ended", p->name);
	}
	return !p->pid;
}

void lab_signal(struct lab_proc *p, int number)
{
	lab_signal_only(p, number);
	if (number != SIGKILL && number != SIGTERM)
		return;
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
	lab_say("%s has ended", p->name);
}

bool lab_is_ready(const struct lab_proc *p)
{
	return lab_call(p->ip, PORT_READY, "GET", "/readyz", "Host: r\r\n",
			NULL, 500, NULL) == 200;
}

void lab_wait_ready(const struct lab_proc *p, int64_t wait_ms)
{
	int64_t end_ms = lab_now_ms() + wait_ms;

	while (!lab_is_ready(p)) {
		if (lab_now_ms() >= end_ms)
			lab_finish(LAB_NOT_RUN, "%s isn't ready", p->name);
		usleep(20000);
	}
	lab_say("%s is ready", p->name);
}

double lab_metric(const struct lab_proc *p, const char *name)
{
	char *text = malloc(LAB_BODY_MAX), *at = text;
	double value = -1;

	lab_call(p->ip, p->role == LAB_DISPATCHER ? PORT_READY : PORT_ADMIN,
		 "GET", "/metrics", "Host: m\r\n", NULL, 500, text);
	while ((at = strstr(at, name))) {
		at += strlen(name);
		if ((*at != ' ' && *at != '{') ||
		    (at - strlen(name) > text &&
		     at[-(long)strlen(name) - 1] != '\n'))
			continue;
		value = atof(at + strcspn(at, " "));
		break;
	}
	free(text);
	return value;
}

bool lab_log_has(const struct lab_proc *p, const char *a, const char *b)
{
	char path[300], line[4000];
	bool found = false;
	FILE *log;

	log_path(p, path);
	log = fopen(path, "r");
	while (log && !found && fgets(line, sizeof(line), log))
		found = strstr(line, a) && strstr(line, b);
	if (log)
		fclose(log);
	return found;
}

/* ---- Deployment ------------------------------------------------------ */

static void add_proc(enum lab_role role, const char *class, const char *zone,
		     int number, int host)
{
	struct lab_proc *p = &lab.procs[lab.n_procs++];
	unsigned int pid = (unsigned int)getpid();

	p->role = role;
	snprintf(p->name, sizeof(p->name), "%s-%s-%d", class, zone, number);
	snprintf(p->zone, sizeof(p->zone), "%s", zone);
	snprintf(p->ip, sizeof(p->ip), "127.%u.%u.%d", 64 + (pid >> 8) % 128,
		 pid & 255, host);
}

static const char *const zones[] = { "ch-olten", "ch-aarau", "ch-langenthal" };

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-3hwrr6x\",\"host\":\"" HOST
	"\",\"pathPrefix\":\"" PREFIX
	"\",\"kind\":\"non_idempotent\",\"timeoutMs\":1500,"
	"\"targetLatencyMs\":60,\"priority\":0,\"service\":\"" SERVICE
	"\",\"maxAttempts\":4,\"stretch\":1.6}],\"services\":[{\"name\":\""
	SERVICE
	"\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\","
	"\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,"
	"\"rejectsOverload\":true,\"standby\":false}],\"limits\":{"
	"\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static void set_config(void)
{
	int64_t end_ms = lab_now_ms() + 15000;

	for (int i = 0; lab_now_ms() < end_ms; i = (i + 1) % 3) {
		int status = lab_call(lab_coordinator(i)->ip, PORT_CONTROL,
				      "POST", "/Config.Replace",
				      "Host: control\r\n", config, 1000, NULL);

		if (status == 200) {
			lab_say("configuration 7 acknowledged by %s",
				lab_coordinator(i)->name);
			return;
		}
		usleep(50000);
	}
	lab_finish(LAB_NOT_RUN, "no coordinator took the configuration");
}

static void write_reload_file(void)
{
	FILE *file;

	snprintf(lab.reload, sizeof(lab.reload), "%s/settings", lab.folder);
	file = fopen(lab.reload, "w");
	if (!file)
		lab_finish(LAB_NOT_RUN, "cannot write the settings");
	fprintf(file, "coordinators=%s\n", lab.seeds);
	fclose(file);
}

void lab_deploy(int agents, int dispatchers)
{
	int host = 1, s;

	for (int i = 0; i < 3; i++)
		add_proc(LAB_COORDINATOR, "core", zones[i], 1, host++);
	for (int i = 0; i < agents; i++)
		add_proc(LAB_AGENT, "side", zones[i % 3], i / 3 + 1, host++);
	for (int i = 0; i < dispatchers; i++)
		add_proc(LAB_DISPATCHER, "front", zones[i % 3], i / 3 + 1,
			 host++);
	for (int i = 0; i < 3; i++)
		snprintf(lab.seeds + strlen(lab.seeds),
			 sizeof(lab.seeds) - strlen(lab.seeds), "%s%s:%d",
			 i ? "," : "", lab.procs[i].ip, PORT_CONTROL);
	for (int i = 0; i < lab.n_procs; i++) {
		s = listen_on(lab.procs[i].ip, PORT_LINKS);
		if (s < 0)
			lab_finish(LAB_NOT_RUN, "a port isn't free");
		close(s);
	}
	write_reload_file();
	for (int i = 0; i < lab.n_procs; i++)
		lab_start(&lab.procs[i]);
	/* A runner stands on the machine of its agent. */
	for (int i = 0; i < agents; i++)
		start_runner(lab_agent(i), i);
	set_config();
	for (int i = 0; i < dispatchers; i++)
		lab_wait_ready(lab_dispatcher(i), 15000);
	for (int i = 0; i < dispatchers; i++)
		for (int64_t end_ms = lab_now_ms() + 10000;
		     lab_metric(lab_dispatcher(i),
				"chervilferry_servers_usable") < agents;
		     usleep(50000))
			if (lab_now_ms() > end_ms)
				lab_finish(LAB_NOT_RUN,
					   "not all runners are known");
}

/* ---- Clients --------------------------------------------------------- */

int lab_submit(const struct lab_proc *dispatcher, const char *id, int tasks,
	       int64_t work_ms, int64_t deadline_ms, char answer[LAB_BODY_MAX])
{
	char path[80], headers[120], body[300], *text = malloc(LAB_BODY_MAX);
	int status;

	snprintf(path, sizeof(path), PREFIX "%s", id);
	snprintf(headers, sizeof(headers),
		 "Host: " HOST "\r\nDeadline-Ms: %d\r\n", (int)deadline_ms);
	snprintf(body, sizeof(body),
		 "{\"spec\":\"%d\",\"bestEffort\":true,\"steps\":[{\"count\":"
		 "%d,\"cpu\":%d,\"memMb\":64,\"estimateMs\":%d}]}",
		 (int)work_ms, tasks, TASK_CPU, (int)work_ms);
	lab_say("POST %s to %s: %d tasks of %d ms, Deadline-Ms %d", path,
		dispatcher->name, tasks, (int)work_ms, (int)deadline_ms);
	status = lab_call(dispatcher->ip, PORT_FRONT, "POST", path, headers,
			  body, deadline_ms, text);
	lab_say("POST %s to %s: %s%d %s", path, dispatcher->name,
		status ? "" : "no answer ", status, text);
	if (answer)
		snprintf(answer, LAB_BODY_MAX, "%s", text);
	free(text);
	return status;
}

int lab_cancel(const struct lab_proc *dispatcher, const char *id,
	       int64_t deadline_ms)
{
	char path[80], headers[120], *text = malloc(LAB_BODY_MAX);
	int status;

	snprintf(path, sizeof(path), PREFIX "%s", id);
	snprintf(headers, sizeof(headers),
		 "Host: " HOST "\r\nDeadline-Ms: %d\r\n", (int)deadline_ms);
	lab_say("DELETE %s to %s", path, dispatcher->name);
	status = lab_call(dispatcher->ip, PORT_FRONT, "DELETE", path, headers,
			  NULL, deadline_ms, text);
	lab_say("DELETE %s to %s: %s%d %s", path, dispatcher->name,
		status ? "" : "no answer ", status, text);
	free(text);
	return status;
}

int lab_runs_of(const char *id, struct lab_run *out, int max)
{
	int n = 0;

	pthread_mutex_lock(&runs_lock);
	for (int i = 0; i < lab.n_runs && n < max; i++)
		if (!strncmp(lab.runs[i].task, id, strlen(id)) &&
		    strcmp(lab.runs[i].how, "never ran") != 0)
			out[n++] = lab.runs[i];
	pthread_mutex_unlock(&runs_lock);
	return n;
}

void lab_say_runs(const char *id)
{
	struct lab_run runs[200];
	int n = lab_runs_of(id, runs, 200);

	for (int i = 0; i < n; i++)
		lab_say("run %s/%ld on %s: %.3f s to %.3f s, %s", runs[i].task,
			runs[i].number, runs[i].runner,
			(double)lab_since_zero(runs[i].began_ms) / 1000,
			runs[i].ended_ms
				? (double)lab_since_zero(runs[i].ended_ms) /
					  1000
				: -1.0,
			runs[i].ended_ms ? runs[i].how : "goes on");
}
