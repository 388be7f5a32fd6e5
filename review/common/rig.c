/*
 * rig: see rig.h. Runners are HTTP servers with a thread for each connection;
 * everything that they hold is guarded by one lock.
 */
#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <microhttpd.h>
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

/* ---- Constants ------------------------------------------------------- */

#define PORT_LINK 7720
#define PORT_ADMIN 7721
#define PORT_FRONT 8161
#define PORT_CONTROL 8166
#define PORT_READY 8167
#define PORT_APP 8080
#define RELAY_SHIFT 100
#define RELAY_CORE 100 /* numbers of relays to the core, above this */
#define HEARTBEAT_MS 1500
#define HOLD_MAX_MS 1000
#define STOP_TAKES_MS 10 /* stopMs is 50 */
#define CAPACITY_CPU 64000
#define HOST "nony24.example"
#define PREFIX "/lohu930/"
#define SERVICE "order-desk"
#define RUNS_MAX 20000
#define TEXT 256
#define PROCS_MAX (2 * RIG_ZONES + RIG_RUNNERS + RIG_CORES_MAX)
#define ARGS_MAX 40

static const char *const zone_names[RIG_ZONES] = { "ch-olten", "ch-aarau",
						   "ch-langenthal" };

/* As in the small deployment: 4, 4 and 3. */
static const char *zone_of(int runner)
{
	return zone_names[(runner - 1) / 4];
}

/* ---- Types ------------------------------------------------------------ */

struct proc {
	char name[16];
	char *args[ARGS_MAX];
	int n_args;
	pid_t pid;
	int exits; /* by itself, counted by rig_restart_exited() */
};

struct end {
	int number; /* N */
	int run; /* index into runs */
};

struct runner {
	int index; /* 1.. */
	char id[32], ip[32];
	bool up;
	int incarnation;
	int64_t born_wall, born_ms;
	int seq;
	int64_t fence, lease_end; /* lease_end on the runner's clock */
	struct end ends[RUNS_MAX];
	int n_ends, next_end;
	int first_run; /* runs before this one are of earlier incarnations */
	struct MHD_Daemon *daemon;
	int64_t next_beat;
};

struct run {
	struct rig_run r;
	int64_t due_ms, stop_at;
	bool fails; /* ends "failed", through the task's own fault */
	int incarnation;
	bool stopped_only; /* a stop of a run that isn't there */
};

struct pipe_pair {
	int a, b;
	int relay;
	bool silent, reset, used;
};

/* ---- State ------------------------------------------------------------ */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct timespec epoch;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder[TEXT];
static int net_a, net_b;
static struct proc procs[PROCS_MAX];
static int n_procs;
static struct runner runners[RIG_RUNNERS + 1];
static struct run runs[RUNS_MAX];
static int n_runs;
static int shed_left;
static struct pipe_pair pairs[512];
static bool finishing;
static bool direct; /* no relays between fronts and the others */
static int live_cores[RIG_CORES_MAX], n_live_cores;
static bool quiet; /* runs aren't recorded one by one */

/* ---- Time and record --------------------------------------------------- */

int64_t rig_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (now.tv_sec - epoch.tv_sec) * 1000LL +
	       (now.tv_nsec - epoch.tv_nsec) / 1000000;
}

static void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, (ms % 1000) * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

void rig_sleep_until(int64_t ms)
{
	while (rig_now() < ms)
		sleep_ms(ms - rig_now());
}

static int64_t wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

void rig_record(const char *format, ...)
{
	va_list list;

	pthread_mutex_lock(&record_lock);
	if (record_file) {
		fprintf(record_file, "%7lld ms  ", (long long)rig_now());
		va_start(list, format);
		vfprintf(record_file, format, list);
		va_end(list);
		fputc('\n', record_file);
		fflush(record_file);
	}
	pthread_mutex_unlock(&record_lock);
}

bool rig_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

/* ---- Addresses ---------------------------------------------------------- */

/* Hosts: core 111.., side 121.., front 141.. A front reaches the core and the
 * agents through relays at these numbers and 100 more; see run_relay(). */
static void ip_of(const char *kind, int i, char out[32])
{
	int base = kind[0] == 'c'   ? (i > RIG_ZONES ? 150 : 110)
		   : kind[0] == 's' ? 120
				    : 140;

	snprintf(out, 32, "127.%d.%d.%d", net_a, net_b, base + i);
}

static void relay_ip_of(const char *kind, int i, char out[32])
{
	snprintf(out, 32, "127.%d.%d.%d", net_a, net_b,
		 RELAY_SHIFT + (kind[0] == 'c' ? 110 : 120) + i);
}

static struct sockaddr_in address_of(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

static int listen_at(const char *ip, int port)
{
	struct sockaddr_in a = address_of(ip, port);
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 512)) {
		close(fd);
		return -1;
	}
	return fd;
}

static int connect_to(const char *ip, int port, int timeout_ms)
{
	struct sockaddr_in a = address_of(ip, port);
	int on = 1, fault = 0;
	socklen_t size = sizeof(fault);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = { .fd = fd, .events = POLLOUT };

	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) &&
	    (errno != EINPROGRESS || poll(&p, 1, timeout_ms) != 1 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &fault, &size) || fault)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

static void close_with_reset(int fd)
{
	struct linger l = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

static void choose_network(void)
{
	for (int i = 0; i < 200; i++) {
		char ip[32];
		int fd;

		net_a = 65 + (int)((getpid() + i * 7) % 120);
		net_b = 1 + (int)((getpid() / 120 + i) % 250);
		ip_of("core", 1, ip);
		fd = listen_at(ip, PORT_LINK);
		if (fd < 0)
			continue;
		close(fd);
		return;
	}
	rig_abort("no free addresses");
}

/* ---- Processes ---------------------------------------------------------- */

static void add_arg(struct proc *p, const char *format, ...)
{
	char text[512];
	va_list list;

	va_start(list, format);
	vsnprintf(text, sizeof(text), format, list);
	va_end(list);
	p->args[p->n_args++] = strdup(text);
}

static struct proc *add_proc(const char *role, const char *name)
{
	struct proc *p = &procs[n_procs++];

	snprintf(p->name, sizeof(p->name), "%s", name);
	add_arg(p, "target/chervilferry");
	add_arg(p, "%s", role);
	return p;
}

static void start_proc(struct proc *p)
{
	char log[TEXT * 2];

	snprintf(log, sizeof(log), "%s/%s.log", folder, p->name);
	p->pid = fork();
	if (p->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* It doesn't outlive this program. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execv(p->args[0], p->args);
		_exit(127);
	}
	if (p->pid < 0)
		rig_abort("fork");
}

static struct proc *find_proc(const char *name)
{
	for (int i = 0; i < n_procs; i++)
		if (!strcmp(procs[i].name, name))
			return &procs[i];
	rig_abort("no such process");
}

void rig_signal(const char *process, int signal_number)
{
	struct proc *p = find_proc(process);

	rig_record("signal %d to %s", signal_number, process);
	if (p->pid > 0)
		kill(p->pid, signal_number);
}

void rig_kill(const char *process)
{
	struct proc *p = find_proc(process);

	rig_signal(process, SIGKILL);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
}

static void empty_folder(const char *path)
{
	char command[TEXT * 2];

	/* Only files that this case made, in its own temporary folder. */
	snprintf(command, sizeof(command), "rm -rf '%s'/*", path);
	if (system(command))
		rig_record("could not empty %s", path);
}

void rig_restart(const char *process, bool wipe)
{
	struct proc *p = find_proc(process);

	for (int i = 0; i + 1 < p->n_args; i++) {
		if (!strcmp(p->args[i], "--first-start"))
			p->args[i + 1] = strdup("false");
		if (wipe && !strcmp(p->args[i], "--data"))
			empty_folder(p->args[i + 1]);
	}
	rig_record("start of %s%s", process, wipe ? " with an empty disk" : "");
	start_proc(p);
}

static bool stopping; /* signals of this program, not ends by itself */

int rig_restart_exited(void)
{
	int n = 0;

	for (int i = 0; i < n_procs && !stopping; i++) {
		struct proc *p = &procs[i];
		int status;

		if (p->pid <= 0 || waitpid(p->pid, &status, WNOHANG) != p->pid)
			continue;
		p->exits++;
		n++;
		if (WIFSIGNALED(status))
			rig_record("%s ended by itself, by signal %d", p->name,
				   WTERMSIG(status));
		else
			rig_record("%s ended by itself, with status %d",
				   p->name, WEXITSTATUS(status));
		p->pid = 0;
		sleep_ms(100);
		rig_restart(p->name, false);
	}
	return n;
}

int rig_exits(int index, const char **process)
{
	if (index >= n_procs)
		return -1;
	*process = procs[index].name;
	return procs[index].exits;
}

static void stop_all(void)
{
	stopping = true;
	finishing = true;
	for (int i = 0; i < n_procs; i++)
		if (procs[i].pid > 0) {
			kill(procs[i].pid, SIGCONT);
			kill(procs[i].pid, SIGKILL);
		}
	for (int i = 0; i < n_procs; i++)
		if (procs[i].pid > 0)
			waitpid(procs[i].pid, NULL, 0);
	if (folder[0] && !getenv("KEEP")) {
		empty_folder(folder);
		rmdir(folder);
	}
}

void rig_abort(const char *why)
{
	rig_record("could not run: %s", why);
	fprintf(stderr, "could not run: %s\n", why);
	stop_all();
	_exit(2);
}

void rig_finish(bool broken)
{
	rig_record("%s", broken ? "the rule was broken" : "the rule held");
	printf("%s\n", broken ? "broken" : "held");
	fflush(stdout);
	stop_all();
	_exit(broken ? 1 : 0);
}

/* As deploy/reload.conf is filled in. */
static void write_settings(const char *name, const char *seeds)
{
	char path[TEXT * 2];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s", folder, name);
	f = fopen(path, "w");
	if (!f)
		rig_abort("settings file");
	fprintf(f, "coordinators=%s\n", seeds);
	fclose(f);
}

/* The commands of deploy/system.toml. */
static struct proc *add_core(int i, const char *seeds, bool first_start)
{
	char name[16], ip[32];
	struct proc *p;

	snprintf(name, sizeof(name), "core%d", i);
	ip_of("core", i, ip);
	p = add_proc("coordinator", name);
	add_arg(p, "--name");
	add_arg(p, "%s", name);
	add_arg(p, "--heartbeat-ms");
	add_arg(p, "300");
	add_arg(p, "--data-centre");
	add_arg(p, "%s", zone_names[(i - 1) % RIG_ZONES]);
	add_arg(p, "--listen");
	add_arg(p, "%s:%d", ip, PORT_LINK);
	add_arg(p, "--admin");
	add_arg(p, "%s:%d", ip, PORT_ADMIN);
	add_arg(p, "--control");
	add_arg(p, "%s:%d", ip, PORT_CONTROL);
	add_arg(p, "--data");
	add_arg(p, "%s/%s", folder, name);
	mkdir(p->args[p->n_args - 1], 0700);
	add_arg(p, "--seeds");
	add_arg(p, "%s", seeds);
	add_arg(p, "--seeds-port");
	add_arg(p, "%d", PORT_LINK);
	add_arg(p, "--first-start");
	add_arg(p, first_start ? "true" : "false");
	add_arg(p, "--losses-borne");
	add_arg(p, "1");
	add_arg(p, "--snapshot-every");
	add_arg(p, "300");
	add_arg(p, "--election-ms");
	add_arg(p, "300");
	live_cores[n_live_cores++] = i;
	return p;
}

static void add_all(void)
{
	char seeds[TEXT] = "", front_seeds[TEXT] = "", ip[32], name[16];

	for (int i = 1; i <= RIG_ZONES; i++) {
		ip_of("core", i, ip);
		snprintf(seeds + strlen(seeds), sizeof(seeds) - strlen(seeds),
			 "%s%s:%d", i > 1 ? "," : "", ip, PORT_CONTROL);
		if (!direct)
			relay_ip_of("core", i, ip);
		snprintf(front_seeds + strlen(front_seeds),
			 sizeof(front_seeds) - strlen(front_seeds), "%s%s:%d",
			 i > 1 ? "," : "", ip, PORT_CONTROL);
	}
	for (int i = 1; i <= RIG_ZONES; i++)
		add_core(i, seeds, true);
	for (int i = 1; i <= RIG_ZONES; i++) {
		struct proc *p;

		snprintf(name, sizeof(name), "front%d", i);
		ip_of("front", i, ip);
		p = add_proc("leased-dispatcher", name);
		add_arg(p, "--name");
		add_arg(p, "%s", name);
		add_arg(p, "--heartbeat-ms");
		add_arg(p, "300");
		add_arg(p, "--data-centre");
		add_arg(p, "%s", zone_names[i - 1]);
		add_arg(p, "--listen");
		add_arg(p, "%s:%d", ip, PORT_LINK);
		add_arg(p, "--http");
		add_arg(p, "%s:%d", ip, PORT_FRONT);
		add_arg(p, "--admin");
		add_arg(p, "%s:%d", ip, PORT_READY);
		add_arg(p, "--coordinators");
		add_arg(p, "%s", front_seeds);
		add_arg(p, "--coordinators-port");
		add_arg(p, "%d", PORT_LINK);
		add_arg(p, "--stop-wait-ms");
		add_arg(p, "5000");
		add_arg(p, "--reload-file");
		add_arg(p, "%s/front-settings", folder);
	}
	for (int i = 1; i <= RIG_RUNNERS; i++) {
		struct proc *p;

		snprintf(name, sizeof(name), "agent%d", i);
		ip_of("side", i, ip);
		p = add_proc("leased-agent", name);
		add_arg(p, "--name");
		add_arg(p, "%s", name);
		add_arg(p, "--heartbeat-ms");
		add_arg(p, "300");
		add_arg(p, "--data-centre");
		add_arg(p, "%s", zone_of(i));
		add_arg(p, "--listen");
		add_arg(p, "%s:%d", ip, PORT_LINK);
		add_arg(p, "--admin");
		add_arg(p, "%s:%d", ip, PORT_ADMIN);
		add_arg(p, "--control");
		add_arg(p, "%s:%d", ip, PORT_CONTROL);
		add_arg(p, "--coordinators");
		add_arg(p, "%s", seeds);
		add_arg(p, "--coordinators-port");
		add_arg(p, "%d", PORT_LINK);
		add_arg(p, "--stop-wait-ms");
		add_arg(p, "4500");
		add_arg(p, "--reload-file");
		add_arg(p, "%s/settings", folder);
	}
	write_settings("settings", seeds);
	write_settings("front-settings", front_seeds);
}

/* ---- HTTP calls ---------------------------------------------------------- */

static bool write_all(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t n = send(fd, data, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		size -= (size_t)n;
	}
	return true;
}

static bool send_request(int fd, const char *method, const char *path,
			 const char *host, const char *extra, const char *body)
{
	char *text;
	bool ok;
	int n = asprintf(&text,
			 "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
			 "application/json\r\nContent-Length: %zu\r\n%s\r\n%s",
			 method, path, host, body ? strlen(body) : 0, extra,
			 body ? body : "");

	ok = n > 0 && write_all(fd, text, (size_t)n);
	free(text);
	return ok;
}

/* Returns the status, 0: none until then, -1: the connection ended. */
static int read_response(int fd, int64_t until_ms, char *headers,
			 int headers_size, char *body, int body_size)
{
	static const size_t max = 1 << 20;
	char *text = calloc(1, max), *end, *length;
	size_t have = 0, want = 0;
	int status = 0;

	for (;;) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		int64_t left = until_ms - rig_now();
		ssize_t n;

		if (left <= 0 || poll(&p, 1, (int)left) != 1)
			break;
		n = recv(fd, text + have, max - 1 - have, 0);
		if (n <= 0) {
			status = -1;
			break;
		}
		have += (size_t)n;
		end = strstr(text, "\r\n\r\n");
		if (!end)
			continue;
		length = strcasestr(text, "content-length:");
		want = (size_t)(end - text) + 4 +
		       (length && length < end ? strtoul(length + 15, NULL, 10)
					       : 0);
		if (have < want)
			continue;
		status = atoi(text + 9);
		if (headers)
			snprintf(headers, (size_t)headers_size, "%.*s",
				 (int)(end - text), text);
		if (body)
			snprintf(body, (size_t)body_size, "%s", end + 4);
		break;
	}
	free(text);
	return status;
}

void rig_send(struct rig_client *client, int front, const char *method,
	      const char *id, const char *body, int deadline_ms)
{
	char ip[32], path[TEXT], extra[TEXT];

	ip_of("front", front, ip);
	snprintf(path, sizeof(path), PREFIX "%s", id);
	snprintf(extra, sizeof(extra), "Deadline-Ms: %d\r\n", deadline_ms);
	client->descriptor = connect_to(ip, PORT_FRONT, 1000);
	if (client->descriptor < 0) {
		rig_record("%s %s to front%d: no connection", method, id,
			   front);
		return;
	}
	if (!quiet)
		rig_record("%s %s to front%d, Deadline-Ms %d", method, id,
			   front, deadline_ms);
	if (!send_request(client->descriptor, method, path, HOST, extra, body))
		rig_record("%s %s to front%d: could not be sent", method, id,
			   front);
}

void rig_send_reset(int front, const char *method, const char *id)
{
	char ip[32];
	int fd;

	ip_of("front", front, ip);
	fd = connect_to(ip, PORT_FRONT, 1000);
	rig_record("%s %s to front%d: the connection is reset before the "
		   "front has read anything",
		   method, id, front);
	if (fd >= 0)
		close_with_reset(fd);
}

int rig_response(struct rig_client *client, int64_t until_ms, char *body,
		 int size)
{
	if (client->descriptor < 0)
		return -1;
	return read_response(client->descriptor, until_ms, NULL, 0, body, size);
}

void rig_reset(struct rig_client *client)
{
	if (client->descriptor >= 0)
		close_with_reset(client->descriptor);
	client->descriptor = -1;
}

void rig_close(struct rig_client *client)
{
	if (client->descriptor >= 0)
		close(client->descriptor);
	client->descriptor = -1;
}

char *rig_job(int count, int cpu, int estimate_ms, const char *spec)
{
	char *text;

	if (asprintf(&text,
		     "{\"spec\":\"%s\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
		     "\"memMb\":64,\"estimateMs\":%d}],\"bestEffort\":true}",
		     spec, count, cpu, estimate_ms) < 0)
		rig_abort("memory");
	return text;
}

char *rig_config(int version)
{
	char *text;

	if (asprintf(&text,
		     "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":"
		     "\"" HOST "\",\"pathPrefix\":\"" PREFIX "\",\"kind\":"
		     "\"non_idempotent\",\"timeoutMs\":1500,"
		     "\"targetLatencyMs\":60,\"priority\":0,\"service\":"
		     "\"" SERVICE "\",\"maxAttempts\":3,\"stretch\":1.6}],"
		     "\"services\":[{\"name\":\"" SERVICE "\",\"healthPath\":"
		     "\"/health\",\"maxConns\":64,\"protocol\":\"h1\","
		     "\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,"
		     "\"rejectsOverload\":true,\"standby\":false}],"
		     "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
		     "262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
		     "15000}}",
		     version) < 0)
		rig_abort("memory");
	return text;
}

int rig_control(const char *method, const char *path, const char *body,
		int64_t until_ms, char *answer, int size)
{
	int status = 0, core = 0;
	char target[64] = "";

	while (rig_now() < until_ms) {
		char ip[32], headers[2048] = "", *at;
		int port = PORT_CONTROL, fd;

		ip_of("core", live_cores[core % n_live_cores], ip);
		if (target[0]) {
			char *colon = strchr(target, ':');

			snprintf(ip, sizeof(ip), "%.*s", (int)(colon - target),
				 target);
			port = atoi(colon + 1);
			target[0] = '\0';
		}
		fd = connect_to(ip, port, 1000);
		status = -1;
		if (fd >= 0 && send_request(fd, method, path, ip, "", body))
			status = read_response(fd, rig_now() + 1000, headers,
					       sizeof(headers), answer, size);
		if (fd >= 0)
			close(fd);
		if (status >= 200 && status < 300)
			return status;
		at = status == 307 ? strstr(headers, "Location: http://")
				   : NULL;
		if (at) {
			sscanf(at + 17, "%63[^/]", target);
			continue;
		}
		core++;
		sleep_ms(100);
	}
	return status;
}

/* ---- Changes of the core ------------------------------------------------- */

void rig_direct(void)
{
	direct = true;
}

static void seeds_of(const int *cores, char *text, size_t size)
{
	text[0] = '\0';
	for (int i = 0; i < RIG_ZONES; i++) {
		char ip[32];

		ip_of("core", cores[i], ip);
		snprintf(text + strlen(text), size - strlen(text), "%s%s:%d",
			 i ? "," : "", ip, PORT_CONTROL);
	}
}

void rig_core_start(int core, const int *seeds)
{
	char text[TEXT];

	seeds_of(seeds, text, sizeof(text));
	rig_record("start of core%d at an address of its own, empty", core);
	start_proc(add_core(core, text, false));
}

void rig_core_stop(int core)
{
	char name[16];
	struct proc *p;

	snprintf(name, sizeof(name), "core%d", core);
	p = find_proc(name);
	rig_signal(name, SIGTERM);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
	for (int i = 0; i < n_live_cores; i++)
		if (live_cores[i] == core)
			live_cores[i] = live_cores[--n_live_cores];
	rig_record("%s has ended and doesn't come back", name);
}

void rig_name_seeds(const int *cores)
{
	char text[TEXT];

	seeds_of(cores, text, sizeof(text));
	write_settings("settings", text);
	write_settings("front-settings", text);
	rig_record("the settings name the seeds core%d, core%d, core%d",
		   cores[0], cores[1], cores[2]);
}

/* Members as the leader tells them on its admin address. */
int rig_members(int *cores, bool *votes, int max, int *leader)
{
	static char body[1 << 16];
	int n = 0;

	for (int c = 0; c < n_live_cores; c++) {
		char ip[32];
		int fd, status = -1;
		json_t *json, *member;
		size_t i;

		ip_of("core", live_cores[c], ip);
		fd = connect_to(ip, PORT_ADMIN, 300);
		if (fd >= 0 &&
		    send_request(fd, "GET", "/v1/status", ip, "", NULL))
			status = read_response(fd, rig_now() + 500, NULL, 0,
					       body, sizeof(body));
		if (fd >= 0)
			close(fd);
		json = status == 200 ? json_loads(body, 0, NULL) : NULL;
		if (!json ||
		    strcmp(json_string_value(json_object_get(json, "role")),
			   "leader") != 0) {
			json_decref(json);
			continue;
		}
		*leader = live_cores[c];
		json_array_foreach(json_object_get(json, "members"), i, member)
		{
			const char *address = json_string_value(
				json_object_get(member, "address"));
			int last = 0;

			if (n == max || !address ||
			    sscanf(address, "%*d.%*d.%*d.%d", &last) != 1)
				continue;
			votes[n] =
				json_is_true(json_object_get(member, "voter"));
			cores[n++] = last > 150 ? last - 150 : last - 110;
		}
		json_decref(json);
		return n;
	}
	return 0;
}

int rig_get(int front, const char *path, int *status_out)
{
	char ip[32];
	int fd, status = -1;

	ip_of("front", front, ip);
	fd = connect_to(ip, PORT_FRONT, 500);
	if (fd >= 0 && send_request(fd, "GET", path, HOST, "", NULL))
		status = read_response(fd, rig_now() + 1000, NULL, 0, NULL, 0);
	if (fd >= 0)
		close(fd);
	*status_out = status;
	rig_record("GET %s at front%d: %d", path, front, status);
	return status;
}

/* ---- Runners ------------------------------------------------------------ */

static int64_t clock_of(const struct runner *r)
{
	return rig_now() - r->born_ms;
}

static void end_run(struct runner *r, struct run *run, const char *how)
{
	run->r.ended_ms = rig_now();
	snprintf(run->r.how, sizeof(run->r.how), "%s", how);
	r->ends[r->n_ends].number = ++r->next_end;
	r->ends[r->n_ends++].run = (int)(run - runs);
	if (!quiet)
		rig_record("runner%d: %s run %d ended %s", r->index,
			   run->r.task, run->r.number, how);
	pthread_cond_broadcast(&changed);
}

static bool is_here(const struct runner *r, const struct run *run)
{
	return run->r.runner == r->index && run->incarnation == r->incarnation;
}

static struct run *find_run(struct runner *r, const char *task, int number)
{
	for (int i = r->first_run; i < n_runs; i++)
		if (is_here(r, &runs[i]) && runs[i].r.number == number &&
		    !strcmp(runs[i].r.task, task))
			return &runs[i];
	return NULL;
}

/* "Any run that is not higher than a run stopped or ended there". */
static bool is_old(struct runner *r, const char *task, int number)
{
	for (int i = r->first_run; i < n_runs; i++)
		if (is_here(r, &runs[i]) && runs[i].r.number >= number &&
		    !strcmp(runs[i].r.task, task) &&
		    (runs[i].r.ended_ms || runs[i].stopped_only))
			return true;
	return false;
}

static void extend_lease(struct runner *r, int64_t until)
{
	int64_t most = clock_of(r) + HOLD_MAX_MS;

	if (until > most)
		until = most;
	if (until > r->lease_end)
		r->lease_end = until;
}

static json_t *base_answer(const struct runner *r)
{
	return json_pack("{s:I,s:I}", "clockMs", (json_int_t)clock_of(r),
			 "born", (json_int_t)r->born_wall);
}

static int refuse(json_t *answer, const char *reason)
{
	json_object_set_new(answer, "reason", json_string(reason));
	return 409;
}

/* "fail=3" in a spec: the task with index 3 fails. */
static bool fails(const char *task, const char *spec)
{
	const char *wanted = strstr(spec, "fail=");
	const char *index = strrchr(task, '.');

	return wanted && index && atoi(wanted + 5) == atoi(index + 1);
}

static int start_task(struct runner *r, json_t *body, json_t *answer)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	int number = (int)json_integer_value(json_object_get(body, "run"));
	int64_t until = json_integer_value(json_object_get(body, "untilMs"));
	int64_t fence = json_integer_value(json_object_get(body, "fence"));
	struct run *run;

	if (!task || !spec || number < 1)
		return 400;
	if (fence < r->fence)
		return refuse(answer, "fence");
	r->fence = fence;
	if (until <= clock_of(r))
		return refuse(answer, "late");
	extend_lease(r, until);
	if (is_old(r, task, number))
		return refuse(answer, "old");
	if (find_run(r, task, number))
		return 200;
	if (n_runs == RUNS_MAX)
		return 429;
	run = &runs[n_runs++];
	memset(run, 0, sizeof(*run));
	snprintf(run->r.task, sizeof(run->r.task), "%s", task);
	run->r.number = number;
	run->r.runner = r->index;
	run->r.began_ms = rig_now();
	run->due_ms =
		rig_now() +
		(strstr(spec, "ms=") ? atoi(strstr(spec, "ms=") + 3) : 100);
	run->fails = fails(task, spec);
	run->incarnation = r->incarnation;
	if (!quiet)
		rig_record("runner%d: %s run %d begins", r->index, task,
			   number);
	pthread_cond_broadcast(&changed);
	return 200;
}

static int stop_task(struct runner *r, json_t *body, json_t *answer)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int number = (int)json_integer_value(json_object_get(body, "run"));
	int64_t fence = json_integer_value(json_object_get(body, "fence"));
	struct run *run;

	if (!task)
		return 400;
	if (fence < r->fence)
		return refuse(answer, "fence");
	r->fence = fence;
	run = find_run(r, task, number);
	if (run && !run->r.ended_ms && !run->stop_at)
		run->stop_at = rig_now() + STOP_TAKES_MS;
	if (!run && n_runs < RUNS_MAX) {
		run = &runs[n_runs++];
		memset(run, 0, sizeof(*run));
		snprintf(run->r.task, sizeof(run->r.task), "%s", task);
		run->r.number = number;
		run->r.runner = r->index;
		run->incarnation = r->incarnation;
		run->stopped_only = true;
	}
	return 200;
}

static void fill_lists(struct runner *r, int64_t seen, json_t *answer)
{
	json_t *running = json_array(), *ended = json_array();
	int n = 0;

	for (int i = r->first_run; i < n_runs; i++) {
		struct run *run = &runs[i];

		if (is_here(r, run) && !run->r.ended_ms && !run->stopped_only)
			json_array_append_new(running, json_pack("[s,i,s,i,i]",
								 run->r.task,
								 run->r.number,
								 "", 50, 1000));
	}
	for (int i = 0; i < r->n_ends && n < 500; i++) {
		struct run *run = &runs[r->ends[i].run];

		if (r->ends[i].number <= seen)
			continue;
		json_array_append_new(ended,
				      json_pack("[i,s,i,s,s]",
						r->ends[i].number, run->r.task,
						run->r.number, run->r.how, ""));
		n++;
	}
	json_object_set_new(answer, "running", running);
	json_object_set_new(answer, "ended", ended);
}

static bool has_news(const struct runner *r, int64_t seen)
{
	return r->n_ends && r->ends[r->n_ends - 1].number > seen;
}

static int hold(struct runner *r, json_t *body, json_t *answer)
{
	int64_t fence = json_integer_value(json_object_get(body, "fence"));
	int64_t seen = json_integer_value(json_object_get(body, "lastSeen"));
	int64_t until = json_integer_value(json_object_get(body, "untilMs"));
	int64_t wait = json_integer_value(json_object_get(body, "waitMs"));
	int64_t end_ms = rig_now() + (wait > 2000 ? 2000 : wait);
	int incarnation = r->incarnation;

	if (fence < r->fence)
		return refuse(answer, "fence");
	r->fence = fence;
	if (until)
		extend_lease(r, until);
	while (!has_news(r, seen) && rig_now() < end_ms && r->up &&
	       r->incarnation == incarnation) {
		struct timespec t;

		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_nsec += 5000000;
		if (t.tv_nsec >= 1000000000) {
			t.tv_sec++;
			t.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&changed, &lock, &t);
	}
	json_object_set_new(answer, "clockMs", json_integer(clock_of(r)));
	fill_lists(r, seen, answer);
	return 200;
}

struct posted {
	char *data;
	size_t size;
};

static enum MHD_Result answer_json(struct MHD_Connection *connection,
				   int status, json_t *answer)
{
	char *text = json_dumps(answer, JSON_COMPACT);
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(connection, (unsigned int)status, response);
	MHD_destroy_response(response);
	json_decref(answer);
	return result;
}

static enum MHD_Result on_call(void *arg, struct MHD_Connection *connection,
			       const char *url, const char *method,
			       const char *version, const char *data,
			       size_t *size, void **context)
{
	struct runner *r = arg;
	struct posted *posted = *context;
	const char *expected = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, "Expect-Instance");
	json_t *body, *answer;
	int status = 404;

	(void)version;
	if (!posted) {
		*context = calloc(1, sizeof(*posted));
		return MHD_YES;
	}
	if (*size) {
		posted->data = realloc(posted->data, posted->size + *size + 1);
		memcpy(posted->data + posted->size, data, *size);
		posted->size += *size;
		posted->data[posted->size] = '\0';
		*size = 0;
		return MHD_YES;
	}
	body = json_loadb(posted->data ? posted->data : "", posted->size, 0,
			  NULL);
	pthread_mutex_lock(&lock);
	answer = base_answer(r);
	if (!strcmp(method, "GET")) {
		status = !strcmp(url, "/health") ? 200 : 404;
	} else if (expected && strcmp(expected, r->id) != 0) {
		status = 421;
	} else if (!strcmp(url, "/run-start")) {
		if (shed_left > 0) {
			shed_left--;
			status = 503;
			rig_record("runner%d: 503 to a start: %s", r->index,
				   posted->data);
			pthread_cond_broadcast(&changed);
		} else {
			status = start_task(r, body, answer);
			if (status != 200 && !quiet)
				rig_record("runner%d: %d to a start: %s",
					   r->index, status, posted->data);
		}
	} else if (!strcmp(url, "/run-stop")) {
		status = stop_task(r, body, answer);
	} else if (!strcmp(url, "/hold")) {
		status = hold(r, body, answer);
	}
	pthread_mutex_unlock(&lock);
	json_decref(body);
	return answer_json(connection, status, answer);
}

static void on_completed(void *arg, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	struct posted *posted = *context;

	(void)arg;
	(void)connection;
	(void)code;
	if (posted)
		free(posted->data);
	free(posted);
	*context = NULL;
}

static void listen_runner(struct runner *r)
{
	int fd = listen_at(r->ip, PORT_APP);

	if (fd < 0)
		rig_abort("a runner's address is in use");
	r->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, on_call, r, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_END);
	if (!r->daemon)
		rig_abort("a runner could not listen");
}

static void begin_incarnation(struct runner *r)
{
	pthread_mutex_lock(&lock);
	r->incarnation++;
	r->born_ms = rig_now();
	r->born_wall = wall_ms();
	r->seq = 0;
	r->fence = 0;
	r->lease_end = 0;
	r->n_ends = r->next_end = 0;
	r->first_run = n_runs;
	r->next_beat = rig_now();
	r->up = true;
	pthread_mutex_unlock(&lock);
}

static void beat(struct runner *r)
{
	char path[TEXT], body[1024];
	int fd, status = -1;

	pthread_mutex_lock(&lock);
	snprintf(path, sizeof(path), "/Instances.Heartbeat/%s", r->id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"" SERVICE "\",\"addr\":\"%s:%d\",\"zone\":"
		 "\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		 "\"coldLeftMs\":0,\"capacity\":{\"cpu\":%d,\"memMb\":131072,"
		 "\"gpu\":0},\"labels\":[\"a\",\"r1-%d\"],\"clockMs\":%lld,"
		 "\"seq\":%d,\"born\":%lld}",
		 r->ip, PORT_APP, zone_of(r->index), CAPACITY_CPU,
		 (r->index - 1) / 3, (long long)clock_of(r), ++r->seq,
		 (long long)r->born_wall);
	pthread_mutex_unlock(&lock);
	fd = connect_to(r->ip, PORT_CONTROL, 500);
	if (fd >= 0 && send_request(fd, "POST", path, r->ip, "", body))
		status = read_response(fd, rig_now() + 1000, NULL, 0, NULL, 0);
	if (fd >= 0)
		close(fd);
	r->next_beat = rig_now() + (status == 200 ? HEARTBEAT_MS : 200);
}

static void *run_beats(void *arg)
{
	struct runner *r = arg;

	while (!finishing) {
		if (r->up && rig_now() >= r->next_beat)
			beat(r);
		sleep_ms(5);
	}
	return NULL;
}

static void *run_tasks(void *arg)
{
	(void)arg;
	while (!finishing) {
		pthread_mutex_lock(&lock);
		for (int k = 1; k <= RIG_RUNNERS; k++) {
			struct runner *r = &runners[k];
			bool over = r->up && clock_of(r) >= r->lease_end;

			for (int i = r->first_run; r->up && i < n_runs; i++) {
				struct run *run = &runs[i];

				if (!is_here(r, run) || run->r.ended_ms ||
				    run->stopped_only)
					continue;
				if (over)
					end_run(r, run, "lapsed");
				else if (run->stop_at &&
					 rig_now() >= run->stop_at)
					end_run(r, run, "stopped");
				else if (rig_now() >= run->due_ms)
					end_run(r, run,
						run->fails ? "failed" : "done");
			}
		}
		pthread_mutex_unlock(&lock);
		sleep_ms(1);
	}
	return NULL;
}

void rig_shed_starts(int count)
{
	pthread_mutex_lock(&lock);
	shed_left = count;
	pthread_mutex_unlock(&lock);
}

void rig_quiet(void)
{
	quiet = true;
}

int rig_runs(const char *prefix, struct rig_run *out, int max)
{
	int n = 0;

	pthread_mutex_lock(&lock);
	for (int i = 0; i < n_runs && n < max; i++)
		if (!runs[i].stopped_only &&
		    !strncmp(runs[i].r.task, prefix, strlen(prefix)))
			out[n++] = runs[i].r;
	pthread_mutex_unlock(&lock);
	return n;
}

int rig_wait_run(const char *prefix, int64_t from_ms, int64_t until_ms)
{
	while (rig_now() < until_ms) {
		static struct rig_run list[RUNS_MAX];
		int n = rig_runs(prefix, list, RUNS_MAX);

		for (int i = 0; i < n; i++)
			if (list[i].began_ms >= from_ms)
				return list[i].runner;
		sleep_ms(1);
	}
	return 0;
}

int rig_overlaps(int slack_ms)
{
	static struct rig_run list[RUNS_MAX];
	int n = rig_runs("", list, RUNS_MAX), found = 0;
	int64_t now = rig_now();

	for (int i = 0; i < n; i++) {
		for (int j = i + 1; j < n; j++) {
			int64_t a = list[i].ended_ms ? list[i].ended_ms : now;
			int64_t b = list[j].ended_ms ? list[j].ended_ms : now;
			int64_t from = list[i].began_ms > list[j].began_ms
					       ? list[i].began_ms
					       : list[j].began_ms;
			int64_t to = a < b ? a : b;

			if (strcmp(list[i].task, list[j].task) != 0 ||
			    to - from <= slack_ms)
				continue;
			found++;
			rig_record("TWICE: %s ran as run %d at runner%d and "
				   "as run %d at runner%d at the same time, "
				   "from %lld to %lld ms",
				   list[i].task, list[i].number, list[i].runner,
				   list[j].number, list[j].runner,
				   (long long)from, (long long)to);
		}
	}
	return found;
}

/* ---- Relays -------------------------------------------------------------- */

/*
 * The agents tell the coordinators their listening addresses, and these tell
 * them to the fronts. Like a router that translates addresses, the relay
 * between a front and the core replaces these addresses, and those of the
 * core, by the addresses of the relays. All have the same length.
 */
static void translate(char *data, size_t size)
{
	char start[32];
	size_t n = (size_t)snprintf(start, sizeof(start), "127.%d.%d.", net_a,
				    net_b);

	for (size_t i = 0; i + n + 8 <= size; i++)
		if (!memcmp(data + i, start, n) && data[i + n] == '1' &&
		    !memcmp(data + i + n + 3, ":7720", 5))
			data[i + n] += RELAY_SHIFT / 100;
}

/* Whether the data may end within an address. */
static bool is_cut(const char *data, size_t size)
{
	return size > 20 && memmem(data + size - 20, 20, "127.", 4);
}

static bool forward(int from, int to, bool translated)
{
	static __thread char data[262144];
	ssize_t n = recv(from, data, sizeof(data) / 2, 0);

	if (n <= 0)
		return false;
	if (translated) {
		struct pollfd p = { .fd = from, .events = POLLIN };

		while (is_cut(data, (size_t)n) &&
		       (size_t)n + 4096 < sizeof(data) && poll(&p, 1, 3) == 1) {
			ssize_t more = recv(from, data + n, 4096, 0);

			if (more <= 0)
				break;
			n += more;
		}
		translate(data, (size_t)n);
	}
	return write_all(to, data, (size_t)n);
}

static void *run_pair(void *arg)
{
	struct pipe_pair *pair = arg;

	while (!finishing && !pair->reset) {
		struct pollfd p[2] = { { .fd = pair->a, .events = POLLIN },
				       { .fd = pair->b, .events = POLLIN } };

		if (pair->silent) {
			sleep_ms(5);
			continue;
		}
		if (poll(p, 2, 5) < 1)
			continue;
		if (pair->silent || pair->reset)
			continue;
		if ((p[0].revents && !forward(pair->a, pair->b, false)) ||
		    (p[1].revents && !forward(pair->b, pair->a, !pair->relay)))
			break;
	}
	close_with_reset(pair->a);
	close_with_reset(pair->b);
	pair->used = false;
	return NULL;
}

/* Numbers from 1: to that agent; above RELAY_CORE: to a member of the core. */
static void *run_relay(void *arg)
{
	int number = (int)(intptr_t)arg, listener;
	const char *kind = number > RELAY_CORE ? "core" : "side";
	char ip[32], target[32];

	relay_ip_of(kind, number % RELAY_CORE, ip);
	ip_of(kind, number % RELAY_CORE, target);
	listener = listen_at(ip, PORT_LINK);
	if (listener < 0)
		rig_abort("a relay could not listen");
	while (!finishing) {
		int a = accept4(listener, NULL, NULL, SOCK_CLOEXEC), on = 1, b;
		struct pipe_pair *pair = NULL;
		pthread_t thread;

		if (a < 0)
			continue;
		setsockopt(a, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		b = connect_to(target, PORT_LINK, 1000);
		for (int i = 0; b >= 0 && i < 512 && !pair; i++)
			if (!pairs[i].used)
				pair = &pairs[i];
		if (!pair) {
			close_with_reset(a);
			continue;
		}
		*pair = (struct pipe_pair){
			a,     b,     number > RELAY_CORE ? 0 : number,
			false, false, true
		};
		pthread_create(&thread, NULL, run_pair, pair);
		pthread_detach(thread);
	}
	return NULL;
}

static void mark_links(int agent, bool silent)
{
	int n = 0;

	for (int i = 0; i < 512; i++) {
		if (!pairs[i].used || pairs[i].relay != agent ||
		    pairs[i].silent)
			continue;
		n++;
		if (silent)
			pairs[i].silent = true;
		else
			pairs[i].reset = true;
	}
	rig_record("%d connections to agent%d %s", n, agent,
		   silent ? "go silent" : "are reset");
}

void rig_links_reset(int agent)
{
	mark_links(agent, false);
}

void rig_links_silence(int agent)
{
	mark_links(agent, true);
}

int rig_tasks_sent(int front)
{
	static char body[1 << 18];
	char ip[32], *at = NULL;
	int fd, status = -1;

	ip_of("front", front, ip);
	fd = connect_to(ip, PORT_READY, 500);
	if (fd >= 0 && send_request(fd, "GET", "/metrics", ip, "", NULL))
		status = read_response(fd, rig_now() + 1000, NULL, 0, body,
				       sizeof(body));
	if (fd >= 0)
		close(fd);
	if (status == 200)
		at = strstr(body, "\nchervilferry_tasks_sent ");
	return at ? atoi(strchr(at, ' ') + 1) : -1;
}

/* ---- Start ----------------------------------------------------------------
 */

static void start_thread(void *(*fn)(void *), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, fn, arg))
		rig_abort("no thread");
	pthread_detach(thread);
}

static void wait_ready(int front)
{
	char ip[32];
	int64_t end = rig_now() + 20000;

	ip_of("front", front, ip);
	while (rig_now() < end) {
		int fd = connect_to(ip, PORT_READY, 500), status = -1;

		/* deploy/wire.toml maps the readiness call to this one. */
		if (fd >= 0 && send_request(fd, "GET", "/readyz", ip, "", NULL))
			status = read_response(fd, rig_now() + 500, NULL, 0,
					       NULL, 0);
		if (fd >= 0)
			close(fd);
		if (status == 200)
			return;
		sleep_ms(100);
	}
	rig_abort("a front didn't become ready");
}

static void on_deadline(int number)
{
	(void)number;
	rig_abort("it took too long");
}

void rig_begin(void)
{
	const char *tmp = getenv("TMPDIR");
	char *config = rig_config(3);

	clock_gettime(CLOCK_MONOTONIC, &epoch);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_deadline);
	alarm(110);
	record_file =
		fopen(getenv("RECORD") ? getenv("RECORD") : "record.txt", "w");
	snprintf(folder, sizeof(folder), "%s/review-XXXXXX",
		 tmp ? tmp : "/tmp");
	if (!mkdtemp(folder)) {
		folder[0] = '\0';
		rig_abort("no temporary folder");
	}
	choose_network();
	add_all();
	for (int i = 1; i <= RIG_RUNNERS; i++)
		start_thread(run_relay, (void *)(intptr_t)i);
	for (int i = 1; i <= RIG_ZONES; i++)
		start_thread(run_relay, (void *)(intptr_t)(RELAY_CORE + i));
	for (int i = 0; i < n_procs; i++)
		start_proc(&procs[i]);
	for (int i = 1; i <= RIG_RUNNERS; i++) {
		struct runner *r = &runners[i];

		r->index = i;
		snprintf(r->id, sizeof(r->id), "i-7f3a91%02d", i);
		ip_of("side", i, r->ip);
		begin_incarnation(r);
		listen_runner(r);
		start_thread(run_beats, r);
	}
	start_thread(run_tasks, NULL);
	if (rig_control("POST", "/Config.Replace", config, 15000, NULL, 0) !=
	    200)
		rig_abort("the configuration wasn't acknowledged");
	rig_record("configuration 3 acknowledged");
	free(config);
	for (int i = 1; i <= RIG_ZONES; i++)
		wait_ready(i);
	/* All runners are known to all fronts, and speeds are even. */
	rig_sleep_until(rig_now() + 2000);
	rig_record("ready");
}
