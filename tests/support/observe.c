/*
 * observe: see observe.h.
 */
#include "support/observe.h"

#include "base/clock.h"

#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define CALL_MS 4000
#define DECIDE_MS 30000
#define POLL_US 20000

/* ---- Calls ---- */

static json_t *get_json(struct cluster *c, const char *name, const char *path)
{
	char *answer = NULL;
	json_t *root;

	cluster_http(cluster_address(c, name, "admin"), "GET", path, NULL, NULL,
		     &answer, CALL_MS);
	root = json_loads(answer ? answer : "", 0, NULL);
	g_free(answer);
	return root;
}

void observe_make_id(char id[OBSERVE_ID_SIZE])
{
	snprintf(id, OBSERVE_ID_SIZE,
		 "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
		 clock_random(), clock_random());
}

uint32_t observe_command(struct cluster *c, const char *coordinator,
			 const char *id, uint64_t base, const char *change,
			 uint64_t *revision, int64_t timeout_ms)
{
	char *body = g_strdup_printf(
		"{\"command_id\":\"%s\",\"base_revision\":%" G_GUINT64_FORMAT
		",\"change\":%s}",
		id, base, change);
	char *answer = NULL;
	uint32_t status = cluster_http(cluster_address(c, coordinator, "admin"),
				       "POST", "/v1/commands", NULL, body,
				       &answer, timeout_ms);
	json_t *root = json_loads(answer ? answer : "", 0, NULL);

	if (revision)
		*revision = (uint64_t)json_integer_value(
			json_object_get(root, "revision"));
	json_decref(root);
	g_free(answer);
	g_free(body);
	return status;
}

uint32_t observe_command_anywhere(struct cluster *c, const char *id,
				  uint64_t base, const char *change,
				  uint64_t *revision)
{
	int64_t end_ms = clock_now_ms() + DECIDE_MS;
	uint32_t status = 0;
	int i;

	while (clock_now_ms() < end_ms) {
		for (i = 0; i < c->n_procs; i++) {
			if (strcmp(c->procs[i].role, "coordinator") != 0 ||
			    !c->procs[i].pid)
				continue;
			status = observe_command(c, c->procs[i].name, id, base,
						 change, revision, CALL_MS);
			if (status == 200 || status == 409 || status == 400)
				return status;
		}
		g_usleep(POLL_US);
	}
	return status;
}

uint64_t observe_set_target(struct cluster *c, const char *class_name,
			    int target_ms)
{
	char id[OBSERVE_ID_SIZE], change[200];
	uint64_t revision = 0;

	observe_make_id(id);
	snprintf(change, sizeof(change),
		 "{\"class_set\":{\"name\":\"%s\",\"target_ms\":%d,"
		 "\"percentile_milli\":95000}}",
		 class_name, target_ms);
	assert_int_equal(observe_command_anywhere(c, id, 0, change, &revision),
			 200);
	return revision;
}

/* ---- Status ---- */

static int64_t find_target(json_t *root, const char *class_name)
{
	json_t *classes = json_object_get(root, "classes"), *each;
	size_t i;

	json_array_foreach(classes, i, each)
	{
		if (!g_strcmp0(json_string_value(json_object_get(each, "name")),
			       class_name))
			return json_integer_value(
				json_object_get(each, "target_ms"));
	}
	return -1;
}

int64_t observe_target(struct cluster *c, const char *class_name)
{
	int64_t end_ms = clock_now_ms() + DECIDE_MS, target = -1;
	int i;

	while (target < 0 && clock_now_ms() < end_ms) {
		for (i = 0; i < c->n_procs && target < 0; i++) {
			json_t *root;

			if (strcmp(c->procs[i].role, "coordinator") != 0 ||
			    !c->procs[i].pid)
				continue;
			root = get_json(c, c->procs[i].name, "/v1/config");
			target = find_target(root, class_name);
			json_decref(root);
		}
		g_usleep(POLL_US);
	}
	return target;
}

int64_t observe_status(struct cluster *c, const char *coordinator,
		       const char *field)
{
	json_t *root = get_json(c, coordinator, "/v1/status");
	json_t *value = json_object_get(root, field);
	int64_t number = -1;

	if (json_is_integer(value))
		number = json_integer_value(value);
	else if (json_is_boolean(value))
		number = json_is_true(value);
	json_decref(root);
	return number;
}

static json_t *leader_status(struct cluster *c)
{
	const char *leader = cluster_leader(c);

	return leader ? get_json(c, leader, "/v1/status") : NULL;
}

bool observe_on_roster(struct cluster *c, const char *name)
{
	json_t *root = leader_status(c), *each;
	bool found = !root; /* no answer: the roster is unknown */
	size_t i;

	json_array_foreach(json_object_get(root, "roster"), i, each)
	{
		if (!g_strcmp0(json_string_value(json_object_get(each, "name")),
			       name))
			found = true;
	}
	json_decref(root);
	return found;
}

static bool member_has(struct cluster *c, int id, const char *field)
{
	json_t *root = leader_status(c), *each;
	bool found = false;
	size_t i;

	json_array_foreach(json_object_get(root, "members"), i, each)
	{
		if (json_integer_value(json_object_get(each, "id")) == id &&
		    (!field || json_is_true(json_object_get(each, field))))
			found = true;
	}
	json_decref(root);
	return found;
}

bool observe_is_voter(struct cluster *c, int id)
{
	return member_has(c, id, "voter") && member_has(c, id, "disk_known");
}

bool observe_is_member(struct cluster *c, int id)
{
	return member_has(c, id, NULL);
}

static bool has_agreed_leader(struct cluster *c, void *arg)
{
	const char **leader = arg;
	int64_t id;
	int i, votes = 0, n = 0;

	*leader = cluster_leader(c);
	if (!*leader)
		return false;
	id = observe_status(c, *leader, "id");
	for (i = 0; i < c->n_coordinators; i++) {
		n++;
		if (c->procs[i].pid)
			votes += observe_status(c, c->procs[i].name,
						"leader") == id;
	}
	return votes > n / 2;
}

const char *observe_wait_leader(struct cluster *c, int64_t wait_ms)
{
	const char *leader = NULL;

	if (!cluster_wait(c, has_agreed_leader, &leader, wait_ms))
		fail_msg("no agreed leader after %d ms", (int)wait_ms);
	return leader;
}

int64_t observe_task_starts(struct cluster *c)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < c->n_procs; i++)
		if (!strcmp(c->procs[i].role, "agent") && c->procs[i].pid)
			sum += observe_count(c, c->procs[i].name, "start", 0,
					     NULL, NULL);
	return sum;
}

/* ---- Traces ---- */

static uint64_t number_after(const char *line, const char *field, int base)
{
	const char *found = strstr(line, field);

	return found ? g_ascii_strtoull(found + strlen(field), NULL,
					(guint)base)
		     : 0;
}

GArray *observe_events(struct cluster *c, const char *name, const char *event)
{
	GArray *events =
		g_array_new(FALSE, TRUE, sizeof(struct observed_event));
	char path[300], pattern[40], *text = NULL, **lines;
	uint64_t incarnation = 0;
	int i, incarnation_index = -1;

	snprintf(path, sizeof(path), "%s/%s.trace", c->folder, name);
	snprintf(pattern, sizeof(pattern), " e=%s", event);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return events;
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] && lines[i + 1]; i++) {
		uint64_t by = number_after(lines[i], " i=", 16);
		const char *found = strstr(lines[i], pattern);
		char next = found ? found[strlen(pattern)] : 'x';
		struct observed_event seen = { 0 };

		incarnation_index += by != incarnation;
		incarnation = by;
		if (next != ' ' && next != '\0')
			continue;
		seen.time_us = (int64_t)number_after(lines[i], "t=", 10);
		seen.incarnation_index = incarnation_index;
		seen.revision = number_after(lines[i], " rev=", 10);
		g_array_append_val(events, seen);
	}
	g_strfreev(lines);
	g_free(text);
	return events;
}

int observe_count(struct cluster *c, const char *name, const char *event,
		  int64_t after_us, int64_t *first_us, int64_t *last_us)
{
	GArray *events = observe_events(c, name, event);
	int n = 0;
	guint i;

	for (i = 0; i < events->len; i++) {
		int64_t time_us =
			g_array_index(events, struct observed_event, i).time_us;

		if (time_us <= after_us)
			continue;
		if (!n++ && first_us)
			*first_us = time_us;
		if (last_us)
			*last_us = time_us;
	}
	g_array_unref(events);
	return n;
}

int observe_reverts(struct cluster *c, const char *name)
{
	GArray *events = observe_events(c, name, "config");
	uint64_t newest = 0;
	int reverts = 0;
	guint i;

	for (i = 0; i < events->len; i++) {
		uint64_t revision =
			g_array_index(events, struct observed_event, i)
				.revision;

		reverts += revision < newest;
		newest = MAX(newest, revision);
	}
	g_array_unref(events);
	return reverts;
}

int64_t observe_applied_us(struct cluster *c, const char *name,
			   uint64_t revision)
{
	GArray *events = observe_events(c, name, "config");
	int64_t time_us = -1;
	guint i;

	for (i = 0; i < events->len && time_us < 0; i++) {
		struct observed_event *seen =
			&g_array_index(events, struct observed_event, i);

		if (seen->revision >= revision)
			time_us = seen->time_us;
	}
	g_array_unref(events);
	return time_us;
}
