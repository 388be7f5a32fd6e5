/*
 * leased_standin: see leased_standin.h. Its state moves on whenever a
 * call comes; all times are of this host's steady clock.
 */
#include "support/leased_standin.h"

#include "base/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <glib.h>
#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define CPU_MILLI 8000
#define REPORT_US 200000
#define WAIT_STEP_US 2000
#define THREADS 6
#define LEASE_MOST_MS 1000
#define NAME_SIZE 64

/* ---- Types ---- */

struct interval {
	char task[NAME_SIZE];
	int64_t begin_ms, end_ms; /* end 0: it runs */
};

struct standin_record {
	GMutex lock;
	GPtrArray *intervals; /* struct interval */
};

struct srun {
	char task[NAME_SIZE];
	int64_t number, end_ms;
	struct interval *interval;
};

struct send_end {
	int64_t position, number;
	char task[NAME_SIZE];
	const char *how;
};

struct standin {
	struct standin_record *record;
	char *name, *address, *control;
	struct http_server *server;
	GThread *reporter;
	gint stopping;
	GMutex lock; /* of what follows */
	GPtrArray *runs; /* struct srun */
	GPtrArray *ends; /* struct send_end */
	GHashTable *refused; /* task -> highest number stopped or ended */
	int64_t lease_ms, positions, seq, born_ms;
};

/* ---- Record ---- */

struct standin_record *standin_record_create(void)
{
	struct standin_record *record = g_new0(struct standin_record, 1);

	g_mutex_init(&record->lock);
	record->intervals = g_ptr_array_new_with_free_func(g_free);
	return record;
}

void standin_record_destroy(struct standin_record *record)
{
	g_ptr_array_unref(record->intervals);
	g_mutex_clear(&record->lock);
	g_free(record);
}

static struct interval *begin(struct standin_record *record, const char *task,
			      int64_t now_ms)
{
	struct interval *interval = g_new0(struct interval, 1);

	g_strlcpy(interval->task, task, sizeof(interval->task));
	interval->begin_ms = now_ms;
	g_mutex_lock(&record->lock);
	g_ptr_array_add(record->intervals, interval);
	g_mutex_unlock(&record->lock);
	return interval;
}

static bool overlap(const struct interval *a, const struct interval *b)
{
	return !strcmp(a->task, b->task) &&
	       a->begin_ms < (b->end_ms ? b->end_ms : INT64_MAX) &&
	       b->begin_ms < (a->end_ms ? a->end_ms : INT64_MAX);
}

uint32_t standin_doubles(struct standin_record *record)
{
	uint32_t doubles = 0;

	g_mutex_lock(&record->lock);
	for (guint i = 0; i < record->intervals->len; i++)
		for (guint j = 0; j < i; j++)
			doubles += overlap(
				g_ptr_array_index(record->intervals, i),
				g_ptr_array_index(record->intervals, j));
	g_mutex_unlock(&record->lock);
	return doubles;
}

uint32_t standin_runs(struct standin_record *record)
{
	uint32_t n;

	g_mutex_lock(&record->lock);
	n = record->intervals->len;
	g_mutex_unlock(&record->lock);
	return n;
}

/* ---- Runs ---- */

static struct srun *find(struct standin *s, const char *task)
{
	for (guint i = 0; i < s->runs->len; i++) {
		struct srun *run = g_ptr_array_index(s->runs, i);

		if (!strcmp(run->task, task))
			return run;
	}
	return NULL;
}

static void refuse_up_to(struct standin *s, const char *task, int64_t number)
{
	int64_t *known = g_hash_table_lookup(s->refused, task);

	if (known && *known >= number)
		return;
	g_hash_table_replace(s->refused, g_strdup(task),
			     g_memdup2(&number, sizeof(number)));
}

static void end_run(struct standin *s, struct srun *run, const char *how,
		    int64_t at_ms)
{
	struct send_end *end = g_new0(struct send_end, 1);

	end->position = ++s->positions;
	end->number = run->number;
	end->how = how;
	g_strlcpy(end->task, run->task, sizeof(end->task));
	g_ptr_array_add(s->ends, end);
	refuse_up_to(s, run->task, run->number);
	g_mutex_lock(&s->record->lock);
	run->interval->end_ms = at_ms;
	g_mutex_unlock(&s->record->lock);
	g_ptr_array_remove(s->runs, run);
}

static void move_on(struct standin *s, int64_t now_ms)
{
	for (guint i = s->runs->len; i-- > 0;) {
		struct srun *run = g_ptr_array_index(s->runs, i);

		if (run->end_ms <= MIN(now_ms, s->lease_ms))
			end_run(s, run, "done", run->end_ms);
		else if (now_ms > s->lease_ms)
			end_run(s, run, "lapsed", s->lease_ms);
	}
}

static void renew(struct standin *s, const json_t *body, int64_t now_ms)
{
	int64_t until_ms = json_integer_value(json_object_get(body, "untilMs"));

	until_ms = MIN(until_ms, now_ms + LEASE_MOST_MS);
	s->lease_ms = MAX(s->lease_ms, until_ms);
}

static uint32_t start(struct standin *s, const json_t *body, int64_t now_ms)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t number = json_integer_value(json_object_get(body, "run"));
	int64_t until_ms = json_integer_value(json_object_get(body, "untilMs"));
	const int64_t *refused = g_hash_table_lookup(s->refused, task);
	struct srun *run;

	renew(s, body, now_ms);
	if (until_ms <= now_ms || (refused && *refused >= number))
		return 409;
	if (find(s, task))
		return 200;
	run = g_new0(struct srun, 1);
	g_strlcpy(run->task, task, sizeof(run->task));
	run->number = number;
	run->end_ms =
		now_ms + atoi(json_string_value(json_object_get(body, "spec")));
	run->interval = begin(s->record, task, now_ms);
	g_ptr_array_add(s->runs, run);
	return 200;
}

static uint32_t stop(struct standin *s, const json_t *body, int64_t now_ms)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t number = json_integer_value(json_object_get(body, "run"));
	struct srun *run = find(s, task);

	if (run && run->number <= number)
		end_run(s, run, "stopped", now_ms);
	refuse_up_to(s, task, number);
	return 200;
}

/* ---- Lists ---- */

static json_t *lists(struct standin *s, const json_t *body, int64_t now_ms)
{
	int64_t seen = json_integer_value(json_object_get(body, "lastSeen"));
	json_t *running = json_array(), *ended = json_array();

	for (guint i = s->ends->len; i-- > 0;) {
		const struct send_end *end = g_ptr_array_index(s->ends, i);

		if (end->position <= seen)
			g_ptr_array_remove_index(s->ends, i);
	}
	for (guint i = 0; i < s->ends->len; i++) {
		const struct send_end *end = g_ptr_array_index(s->ends, i);

		json_array_append_new(
			ended, json_pack("[I,s,I,s,s]", end->position,
					 end->task, end->number, end->how, ""));
	}
	for (guint i = 0; i < s->runs->len; i++) {
		const struct srun *run = g_ptr_array_index(s->runs, i);

		json_array_append_new(running, json_pack("[s,I,s,i]", run->task,
							 run->number, "", 0));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clockMs", now_ms, "born",
			 s->born_ms, "running", running, "ended", ended);
}

/* Waits for an end that the caller has not seen. */
static json_t *look(struct standin *s, const json_t *body)
{
	int64_t wait_ms = json_integer_value(json_object_get(body, "waitMs"));
	int64_t until_ms = clock_now_ms() + wait_ms;

	renew(s, body, clock_now_ms());
	for (;;) {
		int64_t now_ms = clock_now_ms();
		json_t *answer;

		move_on(s, now_ms);
		answer = lists(s, body, now_ms);
		if (now_ms >= until_ms ||
		    json_array_size(json_object_get(answer, "ended")))
			return answer;
		json_decref(answer);
		g_mutex_unlock(&s->lock);
		g_usleep(WAIT_STEP_US);
		g_mutex_lock(&s->lock);
	}
}

/* ---- HTTP ---- */

static void handle(void *arg, struct http_request *request)
{
	struct standin *s = arg;
	size_t size;
	const char *data = http_body(request, &size);
	json_t *body = json_loadb(data, size, 0, NULL);
	const char *path = http_path(request);
	uint32_t status = 200;
	json_t *answer = NULL;
	char *text;

	g_mutex_lock(&s->lock);
	move_on(s, clock_now_ms());
	if (!strcmp(path, "/run-start"))
		status = start(s, body, clock_now_ms());
	else if (!strcmp(path, "/run-stop"))
		status = stop(s, body, clock_now_ms());
	else
		answer = look(s, body);
	g_mutex_unlock(&s->lock);
	if (!answer)
		answer = json_pack("{s:I,s:s}", "clockMs", clock_now_ms(),
				   "reason", "old");
	text = json_dumps(answer, JSON_COMPACT);
	http_reply(request, status, "application/json", text, strlen(text),
		   NULL);
	free(text);
	json_decref(answer);
	json_decref(body);
}

static void report(struct standin *s)
{
	g_autofree char *url = g_strdup_printf(
		"http://%s/Instances.Heartbeat/%s", s->control, s->name);
	g_autofree char *body = g_strdup_printf(
		"{\"service\":\"desk\",\"addr\":\"%s\",\"zone\":\"dc1\","
		"\"state\":\"ready\",\"seq\":%d,\"clockMs\":%" G_GINT64_FORMAT
		",\"born\":%" G_GINT64_FORMAT ",\"capacity\":{\"cpu\":%d,"
		"\"memMb\":1000,\"gpu\":0},\"labels\":[\"a\",\"r1\"]}",
		s->address, (int)++s->seq, clock_now_ms(), s->born_ms,
		CPU_MILLI);
	struct http_call call = { .method = "POST",
				  .url = url,
				  .body = body,
				  .size_bytes = strlen(body),
				  .timeout_ms = 1000 };
	struct http_answer answer;

	http_call_now(&call, &answer);
	g_free((void *)(uintptr_t)answer.body);
}

static gpointer run_reporter(gpointer arg)
{
	struct standin *s = arg;

	while (!g_atomic_int_get(&s->stopping)) {
		report(s);
		g_usleep(REPORT_US);
	}
	return NULL;
}

/* ---- Life ---- */

struct standin *standin_create(struct standin_record *record, const char *name,
			       const char *address, const char *agent_control)
{
	struct standin *s = g_new0(struct standin, 1);
	struct http_server_options options = { .address = address,
					       .threads = THREADS };

	s->record = record;
	s->name = g_strdup(name);
	s->address = g_strdup(address);
	s->control = g_strdup(agent_control);
	s->born_ms = clock_wall_ms();
	g_mutex_init(&s->lock);
	s->runs = g_ptr_array_new_with_free_func(g_free);
	s->ends = g_ptr_array_new_with_free_func(g_free);
	s->refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->server = http_server_create(&options, handle, s, NULL);
	assert_non_null(s->server);
	s->reporter = g_thread_new("standin", run_reporter, s);
	return s;
}

void standin_destroy(struct standin *s)
{
	g_atomic_int_set(&s->stopping, 1);
	g_thread_join(s->reporter);
	http_server_destroy(s->server);
	g_ptr_array_unref(s->runs);
	g_ptr_array_unref(s->ends);
	g_hash_table_destroy(s->refused);
	g_mutex_clear(&s->lock);
	g_free(s->name);
	g_free(s->address);
	g_free(s->control);
	g_free(s);
}
