/*
 * proc: see cluster.h. Starts, signals and reaps a process of a cluster.
 */
#include "cluster.h"
#include "relay.h"

#include "base/clock.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define STOP_WAIT_MS 60000
#define POLL_US 5000

/* ---- Module state ---- */

struct cluster *cluster_running;

/* ---- Arguments ---- */

void proc_add(struct proc *p, const char *flag, const char *value)
{
	assert_true(p->n_args + 3 < (int)G_N_ELEMENTS(p->args));
	p->args[p->n_args++] = g_strdup(flag);
	p->args[p->n_args++] = g_strdup(value);
}

void proc_set(struct proc *p, const char *flag, const char *value)
{
	int i;

	for (i = 0; i + 1 < p->n_args; i += 2) {
		if (strcmp(p->args[i], flag) != 0)
			continue;
		g_free(p->args[i + 1]);
		p->args[i + 1] = g_strdup(value);
		return;
	}
	proc_add(p, flag, value);
}

void proc_set_args(struct proc *p, const char *const *args)
{
	for (; args && args[0]; args += 2)
		proc_set(p, args[0], args[1]);
}

/* Writes each pair as "--flag=value", or as "--flag" if the value is "true". */
static void fill_argv(struct proc *p, char **argv)
{
	char own[64];
	const char *binary;
	int i, n = 0;

	/* Lets one process run another version, such as
	 * CHERVILFERRY_BINARY_c1. */
	snprintf(own, sizeof(own), "CHERVILFERRY_BINARY_%s", p->name);
	binary = getenv(own) ? getenv(own) : getenv("CHERVILFERRY_BINARY");

	argv[n++] = g_strdup(binary ? binary : "build/chervilferry");
	argv[n++] = g_strdup(p->role);
	for (i = 0; i + 1 < p->n_args; i += 2)
		argv[n++] = strcmp(p->args[i + 1], "true")
				    ? g_strdup_printf("%s=%s", p->args[i],
						      p->args[i + 1])
				    : g_strdup(p->args[i]);
	argv[n] = NULL;
}

/* ---- Start and stop ---- */

/* Runs in the child. The kernel kills it when the test process ends. */
static void run_child(const struct proc *p, char **argv)
{
	int log = open(p->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	int null_input = open("/dev/null", O_RDONLY);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(null_input, 0);
	dup2(log, 1);
	dup2(log, 2);
	execv(argv[0], argv);
	_exit(127);
}

void proc_start(struct cluster *c, struct proc *p)
{
	char *argv[64];
	int i;

	(void)c;
	assert_int_equal(p->pid, 0);
	fill_argv(p, argv);
	p->pid = fork();
	if (!p->pid)
		run_child(p, argv);
	for (i = 0; argv[i]; i++)
		g_free(argv[i]);
	if (p->pid < 0)
		fail_msg("%s: %s", p->name, strerror(errno));
	p->starts++;
}

int proc_wait(struct proc *p, int64_t wait_ms)
{
	int64_t end_ms = clock_now_ms() + wait_ms;
	int status;

	while (p->pid) {
		if (waitpid(p->pid, &status, WNOHANG) == p->pid) {
			p->pid = 0;
			return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
		}
		if (clock_now_ms() >= end_ms)
			return -1;
		g_usleep(POLL_US);
	}
	return -1;
}

void proc_kill(struct proc *p)
{
	if (!p->pid)
		return;
	kill(p->pid, SIGKILL);
	proc_wait(p, STOP_WAIT_MS);
}

void proc_terminate(struct proc *p)
{
	if (p->pid)
		kill(p->pid, SIGTERM);
}

int proc_stop(struct proc *p)
{
	int status;

	proc_terminate(p);
	status = proc_wait(p, STOP_WAIT_MS);
	if (p->pid) {
		p->stop_kills++;
		proc_kill(p);
	}
	return status;
}

void proc_freeze(struct proc *p)
{
	if (p->pid)
		kill(p->pid, SIGSTOP);
}

void proc_thaw(struct proc *p)
{
	if (p->pid)
		kill(p->pid, SIGCONT);
}

bool proc_running(struct proc *p)
{
	return p->pid && proc_wait(p, 0) == -1 && p->pid;
}

void proc_limit_file_size(struct proc *p, int64_t size_bytes)
{
	struct rlimit limit;

	assert_int_equal(prlimit(p->pid, RLIMIT_FSIZE, NULL, &limit), 0);
	limit.rlim_cur = size_bytes < 0 ? limit.rlim_max : (rlim_t)size_bytes;
	assert_int_equal(prlimit(p->pid, RLIMIT_FSIZE, &limit, NULL), 0);
}

/* ---- Cluster teardown ---- */

static void remove_tree(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *inner = g_build_filename(path, name, NULL);

		remove_tree(inner);
		g_free(inner);
	}
	if (dir)
		g_dir_close(dir);
	g_remove(path);
}

void cluster_destroy(struct cluster *c)
{
	int i, k;

	cluster_running = NULL;
	for (i = 0; i < c->n_procs; i++) {
		proc_kill(&c->procs[i]);
		for (k = 0; k < c->procs[i].n_args; k++)
			g_free(c->procs[i].args[k]);
	}
	if (!getenv("CHERVILFERRY_KEEP"))
		remove_tree(c->folder);
	g_free(c);
}

int cluster_teardown(void **state)
{
	(void)state;
	if (cluster_running && cluster_running->end_threads)
		cluster_running->end_threads(cluster_running->end_threads_arg);
	if (cluster_running)
		cluster_destroy(cluster_running);
	relay_destroy_all();
	return 0;
}
