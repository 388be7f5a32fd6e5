/*
 * Disks of coordinators that fill up, or hold a damaged log. A member
 * whose disk fails takes no part and says why; what was acknowledged is
 * not lost; a damaged log is refused by name, a torn tail is cut.
 */
#include "support/cluster.h"
#include "support/observe.h"

#include "base/clock.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define WAIT_MS 30000
#define STARTS_AFTER 150
#define CHANGES_BEFORE 40
#define SHORT_MS 1500
#define VOTES "chervilferry_votes_total{verdict=\"for\"}"

/* ---- Helpers ---- */

static const char *const load_args[] = { "--rate",   "40",      "--duration-s",
					 "8",        "--tasks", "4",
					 "--run-ms", "20",      "--seed",
					 "20261204", NULL };

/* Errors only, so that the log stays smaller than the limit on files. */
static struct cluster *start(int acknowledged)
{
	static const char *const args[] = { "--log-level", "error", NULL };
	static const struct cluster_options options = {
		.coordinators = 3,
		.dispatchers = 2,
		.agents = 3,
		.coordinator_args = args,
	};
	struct cluster *c = cluster_create(&options);
	int i;

	cluster_start(c);
	for (i = 1; i <= acknowledged; i++)
		observe_set_target(c, "kept", i);
	return c;
}

/* The newest segment of a coordinator's log. */
static void find_segment(struct cluster *c, const char *name, char path[500],
			 int64_t *size_bytes)
{
	char folder[300];
	const char *found;
	GStatBuf info;
	GDir *dir;

	path[0] = '\0';
	snprintf(folder, sizeof(folder), "%s/%s", c->folder, name);
	dir = g_dir_open(folder, 0, NULL);
	while ((found = g_dir_read_name(dir))) {
		char each[500];

		snprintf(each, sizeof(each), "%s/%s", folder, found);
		if (g_str_has_prefix(found, "log-") && strcmp(each, path) > 0)
			g_strlcpy(path, each, 500);
	}
	g_dir_close(dir);
	assert_int_equal(g_stat(path, &info), 0);
	*size_bytes = info.st_size;
}

static bool log_has(const struct proc *p, const char *text)
{
	char *log = NULL;
	bool found;

	g_file_get_contents(p->log, &log, NULL, NULL);
	found = log && strstr(log, text);
	g_free(log);
	return found;
}

/* ---- A disk that is full ---- */

static void fill_disk(struct cluster *c, struct proc *p)
{
	char path[500];
	int64_t size_bytes;

	find_segment(c, p->name, path, &size_bytes);
	proc_limit_file_size(p, size_bytes + 10);
}

static bool says_why(struct cluster *c, void *name)
{
	char *answer = NULL;
	uint32_t status = cluster_http(cluster_address(c, name, "admin"), "GET",
				       "/readyz", NULL, NULL, &answer,
				       SHORT_MS);
	bool said = status == 503 && answer && strstr(answer, "the disk fails");

	g_free(answer);
	return said;
}

static bool has_started(struct cluster *c, void *arg)
{
	return observe_starts(c) >= *(int64_t *)arg;
}

/* It must not vote while the others go on. */
static void check_takes_no_part(struct cluster *c, struct proc *p)
{
	int64_t votes = cluster_metric(c, p->name, VOTES);
	int64_t until = observe_starts(c) + STARTS_AFTER;
	const char *leader = observe_wait_leader(c, WAIT_MS);

	assert_string_not_equal(leader, p->name);
	assert_true(cluster_wait(c, has_started, &until, WAIT_MS));
	assert_true(votes > 0);
	assert_int_equal(cluster_metric(c, p->name, VOTES), votes);
	assert_int_equal(observe_status(c, p->name, "disk_healthy"), 0);
	assert_true(log_has(p, "disk_failed"));
	assert_true(log_has(p, "File too large"));
}

static void check_load(struct cluster *c, struct proc *load)
{
	proc_wait(load, WAIT_MS);
	fprintf(stderr,
		"count: jobs=%d complete=%d not_run=%d may_have_run=%d "
		"lost=%d\n",
		(int)cluster_load_field(load, "jobs"),
		(int)cluster_load_field(load, "complete"),
		(int)cluster_load_field(load, "not_run"),
		(int)cluster_load_field(load, "may_have_run"),
		(int)cluster_load_field(load, "lost"));
	assert_true(cluster_load_field(load, "jobs") > 250);
	assert_int_equal(cluster_load_field(load, "complete"),
			 cluster_load_field(load, "jobs"));
	assert_int_equal(cluster_check(c, NULL), 0);
}

static void test_full(void **state)
{
	bool of_leader = *(bool *)*state;
	struct cluster *c = start(CHANGES_BEFORE);
	struct proc *load = cluster_load(c, load_args);
	int64_t until = STARTS_AFTER;
	const char *leader;
	struct proc *p;
	int i;

	assert_true(cluster_wait(c, has_started, &until, WAIT_MS));
	leader = observe_wait_leader(c, WAIT_MS);
	p = &c->procs[0];
	if (of_leader != !strcmp(leader, p->name))
		p = of_leader ? cluster_proc(c, leader) : &c->procs[1];
	fill_disk(c, p);
	for (i = 1; i <= 5; i++)
		observe_set_target(c, "kept", 1000 + i);
	assert_true(cluster_wait(c, says_why, p->name, WAIT_MS));
	check_takes_no_part(c, p);
	assert_int_equal(observe_target(c, "kept"), 1005);
	/* With room again it comes back by a new start. */
	proc_kill(p);
	proc_start(c, p);
	cluster_wait_ready(c, p->name, WAIT_MS);
	fprintf(stderr, "count: full=%s acknowledged=%d lost=0\n",
		of_leader ? "leader" : "follower", CHANGES_BEFORE + 5);
	check_load(c, load);
	cluster_destroy(c);
}

/* Two of three: nothing more is acknowledged, and nothing is lost. */
static void test_two_full(void **state)
{
	struct cluster *c = start(CHANGES_BEFORE);
	char id[OBSERVE_ID_SIZE];
	int i, acknowledged = 0;

	(void)state;
	for (i = 0; i < 2; i++)
		fill_disk(c, &c->procs[i]);
	for (i = 0; i < 9; i++) {
		observe_make_id(id);
		acknowledged +=
			observe_command(c, c->procs[i % 3].name, id, 0,
					"{\"class_set\":{\"name\":\"kept\","
					"\"target_ms\":5000,"
					"\"percentile_milli\":95000}}",
					NULL, SHORT_MS) == 200;
	}
	assert_int_equal(acknowledged, 0);
	for (i = 0; i < 2; i++)
		assert_true(
			cluster_wait(c, says_why, c->procs[i].name, WAIT_MS));
	for (i = 0; i < 3; i++) {
		proc_kill(&c->procs[i]);
		proc_start(c, &c->procs[i]);
	}
	observe_wait_leader(c, WAIT_MS);
	/* The unacknowledged ones may have been made, or not. */
	i = (int)observe_target(c, "kept");
	fprintf(stderr, "count: full=two acknowledged_then=%d target=%d\n",
		acknowledged, i);
	assert_true(i == CHANGES_BEFORE || i == 5000);
	assert_int_equal(cluster_check(c, NULL), 0);
	cluster_destroy(c);
}

/* ---- A damaged log ---- */

static void flip_byte(const char *path, int64_t at)
{
	int fd = open(path, O_RDWR);
	uint8_t byte;

	assert_int_equal(pread(fd, &byte, 1, at), 1);
	byte ^= 0xff;
	assert_int_equal(pwrite(fd, &byte, 1, at), 1);
	close(fd);
}

/* The beginning of a record whose write was never synced: the records
 * before it are whole, as they were acknowledged. */
static void add_torn_record(const char *path, int64_t size_bytes)
{
	int fd = open(path, O_RDWR);
	uint8_t begin[20];

	assert_int_equal(pread(fd, begin, sizeof(begin), 0), sizeof(begin));
	assert_int_equal(pwrite(fd, begin, sizeof(begin), size_bytes),
			 sizeof(begin));
	close(fd);
}

static bool has_revision(struct cluster *c, void *arg)
{
	const uint64_t *revision = arg;

	return observe_status(c, "c3", "revision") >= (int64_t)*revision;
}

static void test_damaged(void **state)
{
	struct cluster *c = start(CHANGES_BEFORE);
	struct proc *p = cluster_proc(c, "c3");
	uint64_t revision;
	char path[500];
	int64_t size_bytes;

	(void)state;
	/* Killed in the middle of a write. */
	proc_kill(p);
	find_segment(c, p->name, path, &size_bytes);
	add_torn_record(path, size_bytes);
	revision = observe_set_target(c, "kept", 77);
	proc_start(c, p);
	assert_true(cluster_wait(c, has_revision, &revision, WAIT_MS));
	cluster_wait_ready(c, p->name, WAIT_MS);
	/* What was synced long ago is no longer what was written. */
	assert_int_equal(proc_stop(p), 0);
	find_segment(c, p->name, path, &size_bytes);
	flip_byte(path, size_bytes / 2);
	proc_start(c, p);
	assert_int_equal(proc_wait(p, WAIT_MS), 1);
	assert_true(log_has(p, path));
	/* The others go on; the member is replaced by an operator. */
	assert_true(observe_set_target(c, "kept", 78) > revision);
	assert_int_equal(observe_target(c, "kept"), 78);
	fprintf(stderr, "count: torn_tail=started corrupt=refused\n");
	assert_int_equal(cluster_check(c, NULL), 0);
	cluster_destroy(c);
}

int main(void)
{
	static bool yes = true, no = false;
	const struct CMUnitTest tests[] = {
		{ "full_follower", test_full, NULL, cluster_teardown, &no },
		{ "full_leader", test_full, NULL, cluster_teardown, &yes },
		cmocka_unit_test_teardown(test_two_full, cluster_teardown),
		cmocka_unit_test_teardown(test_damaged, cluster_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
