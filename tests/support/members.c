/*
 * members: see members.h.
 */
#include "support/members.h"

#include "base/clock.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define POLL_US 20000
#define LEADS_MAX 100
#define ID_FIELD "\"id\":"

/* The object of the member with this admin address in a status answer, or NULL.
 * Free it with g_free. */
static char *find_object(const char *status, const char *control)
{
	g_autofree char *field =
		g_strdup_printf("\"admin_address\":\"%s\"", control);
	const char *members = strstr(status, "\"members\":[");
	const char *at = members ? strstr(members, field) : NULL;
	const char *start = at, *end = at ? strchr(at, '}') : NULL;

	if (!end)
		return NULL;
	while (start > members && *start != '{')
		start--;
	return g_strndup(start, (gsize)(end - start));
}

struct proc *members_proc(struct leased_system *s, int number)
{
	char name[16];

	snprintf(name, sizeof(name), "c%d", number);
	return cluster_proc(s->cluster, name);
}

enum membership members_find(struct leased_system *s, int observer, int number,
			     uint32_t *id)
{
	g_autofree char *answer = NULL;
	g_autofree char *found = NULL;
	char name[16];

	snprintf(name, sizeof(name), "c%d", number);
	leased_system_call(s, observer, "admin", "GET", "/v1/status", NULL,
			   &answer);
	found = find_object(answer,
			    cluster_address(s->cluster, name, "control"));
	if (!found || strstr(found, "\"leaving\":true") ||
	    !strstr(found, "\"disk_known\":true"))
		return MEMBER_NOT_LISTED;
	if (id && strstr(found, ID_FIELD))
		*id = (uint32_t)strtoul(
			strstr(found, ID_FIELD) + strlen(ID_FIELD), NULL, 10);
	return strstr(found, "\"voter\":true") ? MEMBER_VOTER : MEMBER_LEARNER;
}

void members_wait(struct leased_system *s, int observer, int number,
		  enum membership expected)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	while (members_find(s, observer, number, NULL) != expected) {
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}

int members_wait_other_leader(struct leased_system *s, int excluded)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;

	for (int i = 0;; i++) {
		int number = i % s->coordinators + 1;
		g_autofree char *answer = NULL;

		assert_true(clock_now_ms() < end_ms);
		if (number == excluded ||
		    !proc_running(members_proc(s, number)))
			continue;
		leased_system_call(s, number, "admin", "GET", "/v1/status",
				   NULL, &answer);
		if (strstr(answer, "\"role\":\"leader\""))
			return number;
		g_usleep(POLL_US);
	}
}

int members_wait_leader(struct leased_system *s)
{
	return members_wait_other_leader(s, 0);
}

void members_make_lead(struct leased_system *s, int wanted)
{
	int leader = members_wait_leader(s);

	for (int i = 0; leader != wanted; i++) {
		struct proc *p = members_proc(s, leader);

		assert_true(i < LEADS_MAX);
		proc_freeze(p);
		leader = members_wait_other_leader(s, leader);
		proc_thaw(p);
	}
}

void members_empty_disk(struct leased_system *s, int number)
{
	g_autofree char *folder =
		g_strdup_printf("%s/c%d", s->cluster->folder, number);
	g_autoptr(GDir) files = g_dir_open(folder, 0, NULL);
	const char *name;

	while (files && (name = g_dir_read_name(files))) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
	}
}

void members_wait_voters(struct leased_system *s, int expected)
{
	int64_t end_ms = clock_now_ms() + SYSTEM_WAIT_MS;
	int64_t present = 0;

	while (present != expected) {
		char name[16];

		snprintf(name, sizeof(name), "c%d", members_wait_leader(s));
		present = cluster_metric(s->cluster, name,
					 "chervilferry_voters_present");
		assert_true(clock_now_ms() < end_ms);
		g_usleep(POLL_US);
	}
}
