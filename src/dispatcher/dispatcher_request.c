/*
 * dispatcher_request: parses a caller's job and checks it against the request
 * configuration, which is read under RCU. Callable from any thread.
 */
#include "dispatcher/dispatcher_internal.h"

#include <jansson.h>
#include <string.h>
#include <urcu-bp.h>
#include <xxhash.h>

/* ---- Constants ---- */

#define STATUS_INVALID 400
#define STATUS_UNAVAILABLE 503
#define AMOUNT_MAX 100000000
#define RUN_MAX_MS 3600000

/* ---- Request configuration ---- */

static void free_snapshot(struct request_config_snapshot *snapshot)
{
	if (!snapshot)
		return;
	g_hash_table_destroy(snapshot->classes);
	g_free(snapshot);
}

void request_config_publish(struct request_config *request_config,
			    const struct cf_config *config,
			    const struct settings *settings)
{
	struct request_config_snapshot *snapshot = g_new0(
					       struct request_config_snapshot,
					       1),
				       *old;
	const struct cf_class *classes;
	size_t n = cf_config_classes(config, &classes), i;

	snapshot->classes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < n; i++)
		g_hash_table_add(snapshot->classes, g_strdup(classes[i].name));
	snapshot->tasks_max = (uint32_t)settings_number(settings, "tasks-max");
	snapshot->deadline_ms =
		(uint32_t)settings_number(settings, "deadline-ms");
	snapshot->ready = cf_config_revision(config) > 0;
	old = request_config->snapshot;
	rcu_assign_pointer(request_config->snapshot, snapshot);
	synchronize_rcu();
	free_snapshot(old);
}

void request_config_destroy(struct request_config *request_config)
{
	free_snapshot(request_config->snapshot);
	request_config->snapshot = NULL;
}

/* ---- JSON fields ---- */

static bool refuse(struct request_error *error, uint32_t status,
		   const char *reason, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

static bool refuse(struct request_error *error, uint32_t status,
		   const char *reason, const char *format, ...)
{
	va_list args;

	error->status = status;
	error->reason = reason;
	va_start(args, format);
	g_vsnprintf(error->message, sizeof(error->message), format, args);
	va_end(args);
	return false;
}

static bool invalid(struct request_error *error, const char *field,
		    const char *must)
{
	return refuse(error, STATUS_INVALID, "invalid", "%s %s", field, must);
}

static bool check_fields(json_t *object, const char *const *names,
			 const char *where, struct request_error *error)
{
	const char *field;
	json_t *value;

	json_object_foreach(object, field, value)
	{
		if (!g_strv_contains(names, field))
			return refuse(error, STATUS_INVALID, "invalid",
				      "%s has an unknown field \"%.40s\"",
				      where, field);
	}
	return true;
}

static bool read_amount(json_t *object, const char *name, int64_t min,
			int64_t max, uint32_t *value, const char *where,
			struct request_error *error)
{
	json_t *field = json_object_get(object, name);

	if (!field)
		return true;
	if (!json_is_integer(field) || json_integer_value(field) < min ||
	    json_integer_value(field) > max)
		return refuse(error, STATUS_INVALID, "invalid",
			      "%s%s must be an integer from %" G_GINT64_FORMAT
			      " to %" G_GINT64_FORMAT,
			      where, name, min, max);
	*value = (uint32_t)json_integer_value(field);
	return true;
}

static bool read_name(json_t *root, const char *name, bool required,
		      char out[CF_NAME_SIZE], struct request_error *error)
{
	json_t *field = json_object_get(root, name);
	const char *text = json_string_value(field);

	if (!field && !required)
		return true;
	if (!text || !*text || json_string_length(field) >= CF_NAME_SIZE ||
	    strlen(text) != json_string_length(field))
		return invalid(error, name,
			       "must be a string of 1 to 63 bytes");
	g_strlcpy(out, text, CF_NAME_SIZE);
	return true;
}

/* ---- Tasks ---- */

static bool read_task(json_t *from, size_t index, struct task_spec *task,
		      struct request_error *error)
{
	static const char *const names[] = { "payload",     "cpu_milli",
					     "memory_mb",   "accelerators",
					     "declared_ms", NULL };
	json_t *payload = json_object_get(from, "payload");
	char where[32], *text;

	g_snprintf(where, sizeof(where), "tasks[%zu].", index);
	if (!json_is_object(from))
		return refuse(error, STATUS_INVALID, "invalid",
			      "tasks[%zu] must be an object", index);
	if (!check_fields(from, names, where, error))
		return false;
	if (!payload)
		return refuse(error, STATUS_INVALID, "invalid",
			      "tasks[%zu].payload is missing", index);
	if (!read_amount(from, "cpu_milli", 0, AMOUNT_MAX, &task->cpu_milli,
			 where, error) ||
	    !read_amount(from, "memory_mb", 0, AMOUNT_MAX, &task->memory_mb,
			 where, error) ||
	    !read_amount(from, "accelerators", 0, AMOUNT_MAX,
			 &task->accelerators, where, error) ||
	    !read_amount(from, "declared_ms", 0, RUN_MAX_MS, &task->declared_ms,
			 where, error))
		return false;
	text = json_dumps(payload, JSON_COMPACT | JSON_ENCODE_ANY);
	task->payload =
		g_bytes_new_with_free_func(text, strlen(text), free, text);
	return true;
}

static void clear_task(gpointer data)
{
	struct task_spec *task = data;

	if (task->payload)
		g_bytes_unref(task->payload);
}

static bool read_tasks(json_t *root, uint32_t tasks_max,
		       struct job_request *request, struct request_error *error)
{
	json_t *tasks = json_object_get(root, "tasks");
	size_t n = json_array_size(tasks), i;

	if (!json_is_array(tasks))
		return invalid(error, "tasks", "must be an array");
	if (!n || n > tasks_max)
		return refuse(error, STATUS_INVALID, "invalid",
			      "tasks must hold 1 to %u tasks, not %zu",
			      tasks_max, n);
	for (i = 0; i < n; i++) {
		struct task_spec task = { 0 };
		bool ok = read_task(json_array_get(tasks, i), i, &task, error);

		g_array_append_val(request->tasks, task);
		if (!ok)
			return false;
	}
	return true;
}

/* ---- Requests ---- */

static bool read_root(const struct request_config_snapshot *snapshot,
		      json_t *root, struct job_request *request,
		      struct request_error *error)
{
	static const char *const names[] = { "class", "team", "deadline_ms",
					     "tasks", NULL };

	if (!json_is_object(root))
		return invalid(error, "body", "must be a JSON object");
	request->deadline_ms = snapshot->deadline_ms;
	if (!check_fields(root, names, "body", error) ||
	    !read_name(root, "class", true, request->class_name, error) ||
	    !read_name(root, "team", false, request->team, error) ||
	    !read_amount(root, "deadline_ms", 1, RUN_MAX_MS,
			 &request->deadline_ms, "", error))
		return false;
	if (!g_hash_table_contains(snapshot->classes, request->class_name))
		return refuse(error, STATUS_INVALID, "unknown-class",
			      "class \"%s\" is not known", request->class_name);
	return read_tasks(root, snapshot->tasks_max, request, error);
}

static bool read_body(struct request_config *request_config, const void *body,
		      size_t size, struct job_request *request,
		      struct request_error *error)
{
	json_error_t json_error;
	json_t *root = json_loadb(body ? body : "", size,
				  JSON_REJECT_DUPLICATES | JSON_DECODE_ANY,
				  &json_error);
	const struct request_config_snapshot *snapshot;
	bool ok;

	if (!root)
		return refuse(error, STATUS_INVALID, "invalid",
			      "body is not JSON: %.120s (line %d)",
			      json_error.text, json_error.line);
	rcu_read_lock();
	snapshot = rcu_dereference(request_config->snapshot);
	if (!snapshot || !snapshot->ready)
		ok = refuse(error, STATUS_UNAVAILABLE, "not-ready",
			    "no configuration is known yet");
	else
		ok = read_root(snapshot, root, request, error);
	rcu_read_unlock();
	json_decref(root);
	return ok;
}

struct job_request *request_parse(struct request_config *request_config,
				  const char *key, const void *body,
				  size_t size_bytes,
				  struct request_error *error)
{
	struct job_request *request;

	memset(error, 0, sizeof(*error));
	request = g_new0(struct job_request, 1);
	request->tasks = g_array_new(FALSE, TRUE, sizeof(struct task_spec));
	g_array_set_clear_func(request->tasks, clear_task);
	request->body = g_bytes_new(body, size_bytes);
	request->body_hash = XXH3_64bits(body ? body : "", size_bytes);
	if (!key || !cf_key_parse(key, &request->key))
		invalid(error, "Idempotency-Key", "header must be a UUIDv7");
	else if (read_body(request_config, body, size_bytes, request, error))
		return request;
	request_free(request);
	return NULL;
}

void request_free(struct job_request *request)
{
	if (!request)
		return;
	g_array_free(request->tasks, TRUE);
	g_bytes_unref(request->body);
	g_free(request);
}
