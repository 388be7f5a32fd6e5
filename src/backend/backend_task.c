/*
 * backend_task: tasks of the stand-in backend server. A task waits for a
 * slot, runs on a timer for the time given in its payload, and is answered
 * according to the configured behaviour. The header "Start-Before"
 * (microseconds on CLOCK_BOOTTIME) is checked when the task starts; after
 * that time the answer is 412 and the task is not started.
 */
#include "backend/backend_internal.h"

#include "base/clock.h"
#include "base/trace_file.h"
#include "net/admin.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define SLOW_FACTOR 5
#define LATE_ANSWER_DELAY_MS 3000
#define RUN_MAX_MS 600000
#define MILLI_PER_UNIT 1000

struct task {
	struct backend *backend;
	struct http_request *request;
	char *key;
	int64_t index;
	int64_t run_ms;
	int64_t start_before_us; /* INT64_MAX: no limit */
	json_t *echo; /* NULL: none */
	struct loop_timer *timer;
	bool holds_slot;
	bool has_run; /* only its delayed answer remains */
};

bool backend_parse_behaviour(const char *text, enum behaviour *behaviour)
{
	static const char *const names[] = { "echo",    "fail",  "slow",
					     "garbage", "never", "crossed",
					     "late" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!g_strcmp0(names[i], text)) {
			*behaviour = (enum behaviour)i;
			return true;
		}
	}
	return false;
}

/* ---- Answers ---- */

static void start_waiting_tasks(struct backend *backend);

static void free_task(struct task *task)
{
	g_hash_table_remove(task->backend->open_tasks, task);
	loop_timer_destroy(task->timer);
	json_decref(task->echo);
	g_free(task->key);
	g_free(task);
}

static void release_slot(struct task *task)
{
	if (!task->holds_slot)
		return;
	task->holds_slot = false;
	task->backend->running--;
}

static void reply_json(struct http_request *request, uint32_t status,
		       const char *text)
{
	http_reply(request, status, "application/json", text, strlen(text),
		   NULL);
}

static void end_task(struct task *task)
{
	struct backend *backend = task->backend;

	release_slot(task);
	free_task(task);
	start_waiting_tasks(backend);
	backend_update_idle(backend);
}

static char *make_answer(const struct task *task)
{
	json_t *echo = task->echo ? json_incref(task->echo) : json_null();
	json_t *body = json_pack("{s:s,s:I,s:{s:o,s:I}}", "key", task->key,
				 "index", (json_int_t)task->index, "result",
				 "echo", echo, "index",
				 (json_int_t)task->index);
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	return text;
}

/* Sends the answer of the previous task. The first task gets an answer
 * that belongs to no task. */
static void send_crossed_answer(struct task *task)
{
	struct backend *backend = task->backend;
	char *own = make_answer(task);

	reply_json(task->request, 200,
		   backend->last_answer
			   ? backend->last_answer
			   : "{\"result\":{\"echo\":\"nobody\",\"index\":-1}}");
	free(backend->last_answer);
	backend->last_answer = own;
}

static void send_answer(struct task *task)
{
	char *text;

	switch (task->backend->behaviour) {
	case BEHAVIOUR_FAIL:
		http_reply_error(task->request, 500, "failed",
				 "this backend server fails every task");
		break;
	case BEHAVIOUR_GARBAGE:
		reply_json(task->request, 200, "{\"result\":\xff\xfe[}");
		break;
	case BEHAVIOUR_CROSSED:
		send_crossed_answer(task);
		break;
	default:
		text = make_answer(task);
		reply_json(task->request, 200, text);
		free(text);
	}
	end_task(task);
}

/* ---- Runs ---- */

static void on_run_timer(void *arg, int64_t now_ms)
{
	struct task *task = arg;
	enum behaviour behaviour = task->backend->behaviour;

	(void)now_ms;
	if (task->has_run) {
		send_answer(task);
		return;
	}
	task->has_run = true;
	trace_event("ran", "key=%s index=%" G_GINT64_FORMAT, task->key,
		    task->index);
	if (behaviour == BEHAVIOUR_NEVER)
		return; /* never answered; the task keeps its slot */
	if (behaviour == BEHAVIOUR_LATE)
		loop_timer_start(task->timer, LATE_ANSWER_DELAY_MS, 0);
	else
		send_answer(task);
}

static void refuse_late(struct task *task)
{
	http_reply_error(task->request, 412, "too_late",
			 "the time of Start-Before is over; not started");
	end_task(task);
}

static void start_task(struct task *task)
{
	struct backend *backend = task->backend;
	int64_t run_ms =
		task->run_ms * backend->slowness_milli / MILLI_PER_UNIT;

	if (clock_now_us() > task->start_before_us) {
		refuse_late(task);
		return;
	}
	trace_event("run", "key=%s index=%" G_GINT64_FORMAT, task->key,
		    task->index);
	backend->running++;
	task->holds_slot = true;
	if (backend->behaviour == BEHAVIOUR_SLOW)
		run_ms *= SLOW_FACTOR;
	if (backend->behaviour == BEHAVIOUR_FAIL)
		run_ms = 0;
	if (run_ms <= 0) {
		on_run_timer(task, 0);
		return;
	}
	loop_timer_start(task->timer, run_ms, 0);
}

static void start_waiting_tasks(struct backend *backend)
{
	while (backend->running < backend->slots) {
		struct task *task = g_queue_pop_head(&backend->waiting);

		if (!task)
			return;
		start_task(task);
	}
}

static void enqueue_task(void *arg)
{
	struct task *task = arg;
	struct backend *backend = task->backend;

	task->timer = loop_timer_create(backend->loop, on_run_timer, task);
	g_hash_table_add(backend->open_tasks, task);
	g_queue_push_tail(&backend->waiting, task);
	start_waiting_tasks(backend);
	backend_update_idle(backend);
}

uint32_t backend_drop_tasks(struct backend *backend)
{
	uint32_t n = g_hash_table_size(backend->open_tasks);
	GHashTableIter iter;
	gpointer key;

	g_queue_clear(&backend->waiting);
	g_hash_table_iter_init(&iter, backend->open_tasks);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct task *task = key;

		g_hash_table_iter_steal(&iter);
		http_reply_error(task->request, 503, "stopped",
				 "the backend server stopped");
		free_task(task);
	}
	return n;
}

/* ---- Requests, on threads of the HTTP server ---- */

/* Returns NULL, or a message about the invalid field. */
static const char *read_body(struct task *task, json_t *root)
{
	json_t *key = json_object_get(root, "key");
	json_t *index = json_object_get(root, "index");
	json_t *payload = json_object_get(root, "payload");
	json_t *run_ms = json_object_get(payload, "run_ms");

	if (!json_is_object(root))
		return "the body must be a JSON object";
	if (!json_is_string(key))
		return "key must be a string";
	if (!json_is_integer(index) || json_integer_value(index) < 0)
		return "index must be a number from 0";
	if (!payload)
		return "payload is missing";
	if (run_ms &&
	    (!json_is_integer(run_ms) || json_integer_value(run_ms) < 0 ||
	     json_integer_value(run_ms) > RUN_MAX_MS))
		return "payload.run_ms must be a number from 0 to 600000";
	task->key = g_strdup(json_string_value(key));
	task->index = json_integer_value(index);
	task->run_ms = json_integer_value(run_ms);
	task->echo = json_incref(json_object_get(payload, "echo"));
	return NULL;
}

static const char *read_start_before(struct task *task)
{
	const char *text = http_header(task->request, "Start-Before");

	task->start_before_us = INT64_MAX;
	if (text && !g_ascii_string_to_signed(text, 10, 0, INT64_MAX,
					      &task->start_before_us, NULL))
		return "Start-Before must be microseconds";
	return NULL;
}

void backend_handle_request(void *arg, struct http_request *request)
{
	struct task *task;
	const char *fault;
	size_t size;
	const char *body = http_body(request, &size);
	json_t *root;

	if (strcmp(http_path(request), "/v1/tasks") ||
	    strcmp(http_method(request), "POST")) {
		http_reply_error(request, 404, "not_found",
				 "only POST /v1/tasks is served");
		return;
	}
	task = g_new0(struct task, 1);
	task->backend = arg;
	task->request = request;
	root = json_loadb(body ? body : "", size, JSON_REJECT_DUPLICATES, NULL);
	fault = read_body(task, root);
	json_decref(root);
	if (!fault)
		fault = read_start_before(task);
	if (fault) {
		http_reply_error(request, 400, "invalid", fault);
		json_decref(task->echo);
		g_free(task->key);
		g_free(task);
		return;
	}
	loop_post(task->backend->loop, enqueue_task, task);
}
