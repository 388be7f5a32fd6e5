/*
 * test_backend: the stand-in backend server's behaviours, its slots, the
 * header "Start-Before", announcements and the leave notice.
 */
#include "base/clock.h"
#include "base/trace_file.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "roles/role.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

static struct settings *settings;

static struct backend *start(const char *line)
{
	GString *errors = g_string_new(NULL);
	char **words = g_strsplit(line, " ", -1);
	struct backend *backend;

	settings = settings_parse(FOR_BACKEND, (int)g_strv_length(words), words,
				  errors);
	assert_string_equal(errors->str, "");
	backend = backend_start(settings, NULL);
	assert_non_null(backend);
	g_strfreev(words);
	g_string_free(errors, TRUE);
	return backend;
}

static void stop(struct backend *backend)
{
	backend_stop(backend);
	settings_destroy(settings);
}

/* Returns the HTTP status, 0 if there was no answer. Free answer_text with
 * g_free. */
static uint32_t post(struct backend *backend, const char *body,
		     const char *header, char **answer_text)
{
	const char *headers[] = { header, NULL };
	char *url = g_strdup_printf("http://127.0.0.1:%u/v1/tasks",
				    backend_port(backend));
	struct http_call call = {
		.method = "POST",
		.url = url,
		.body = body,
		.size_bytes = strlen(body),
		.headers = headers,
		.timeout_ms = 30000,
	};
	struct http_answer answer;

	http_call_now(&call, &answer);
	*answer_text =
		g_strndup(answer.body ? answer.body : "", answer.size_bytes);
	g_free((void *)answer.body);
	g_free(url);
	return answer.result == HTTP_OK ? answer.status : 0;
}

#define TASK(rest) "{\"key\":\"k\",\"index\":3,\"class\":\"c\"" rest "}"

static void test_answers(void **state)
{
	static const struct {
		const char *flags, *body, *header;
		uint32_t status;
		const char *answer;
	} cases[] = {
		{ "backend",
		  TASK(",\"payload\":{\"run_ms\":1,\"echo\":[1,\"x\"]}"), NULL,
		  200,
		  "{\"key\":\"k\",\"index\":3,\"result\":"
		  "{\"echo\":[1,\"x\"],\"index\":3}}" },
		{ "backend", TASK(",\"payload\":{}"), NULL, 200,
		  "\"echo\":null" },
		{ "backend", TASK(",\"payload\":{}"), "Start-Before: 5", 412,
		  "too_late" },
		{ "backend", TASK(",\"payload\":{}"),
		  "Start-Before: 9223372036854775807", 200, "result" },
		{ "backend", TASK(",\"payload\":{}"), "Start-Before: x", 400,
		  "Start-Before" },
		{ "backend", TASK(""), NULL, 400, "payload" },
		{ "backend", TASK(",\"payload\":{\"run_ms\":-1}"), NULL, 400,
		  "payload.run_ms" },
		{ "backend", "{\"index\":1,\"payload\":{}}", NULL, 400, "key" },
		{ "backend", "{\"key\":\"k\",\"index\":-1,\"payload\":{}}",
		  NULL, 400, "index" },
		{ "backend", "[", NULL, 400, "JSON" },
		{ "backend", "", NULL, 400, "JSON" },
		{ "backend --behaviour fail", TASK(",\"payload\":{}"), NULL,
		  500, "failed" },
		{ "backend --behaviour garbage", TASK(",\"payload\":{}"), NULL,
		  200, "[" },
		{ "backend --behaviour crossed", TASK(",\"payload\":{}"), NULL,
		  200, "nobody" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct backend *backend = start(cases[i].flags);
		char *text;
		uint32_t status =
			post(backend, cases[i].body, cases[i].header, &text);

		if (status != cases[i].status || !strstr(text, cases[i].answer))
			fail_msg("case %zu: %u %s", i, status, text);
		g_free(text);
		stop(backend);
	}
}

static void test_crossed_returns_previous_answer(void **state)
{
	struct backend *backend = start("backend --behaviour crossed");
	char *text;

	(void)state;
	post(backend, TASK(",\"payload\":{\"echo\":\"first\"}"), NULL, &text);
	g_free(text);
	post(backend, TASK(",\"payload\":{\"echo\":\"second\"}"), NULL, &text);
	assert_non_null(strstr(text, "first"));
	g_free(text);
	stop(backend);
}

struct long_post {
	struct backend *backend;
	const char *header;
	uint32_t status;
};

static gpointer post_long(gpointer arg)
{
	struct long_post *long_post = arg;
	char *text;

	long_post->status = post(long_post->backend,
				 TASK(",\"payload\":{\"run_ms\":300}"),
				 long_post->header, &text);
	g_free(text);
	return NULL;
}

/* There is one slot for two tasks of 300 ms. Start-Before (250 ms from now)
 * has passed when the second one gets the slot. */
static void test_start_before_checked_at_start(void **state)
{
	struct backend *backend = start("backend --slots 1");
	char header[64];
	struct long_post long_post[2];
	GThread *threads[2];

	(void)state;
	g_snprintf(header, sizeof(header), "Start-Before: %" G_GINT64_FORMAT,
		   clock_now_us() + 250000);
	for (int i = 0; i < 2; i++) {
		long_post[i] = (struct long_post){ backend, header, 0 };
		threads[i] = g_thread_new("post", post_long, &long_post[i]);
	}
	for (int i = 0; i < 2; i++)
		g_thread_join(threads[i]);
	assert_true(long_post[0].status == 412 || long_post[1].status == 412);
	stop(backend);
}

/* ---- Stand-in agent ---- */

static atomic_int announced, left, after_leaving;
static GMutex lock;
static char *announcement;

static void handle_notice(void *arg, struct http_request *request)
{
	size_t size;
	const char *body = http_body(request, &size);

	(void)arg;
	if (!strcmp(http_path(request), "/v1/leaving")) {
		atomic_fetch_add(&left, 1);
	} else {
		g_mutex_lock(&lock);
		g_free(announcement);
		announcement = g_strndup(body, size);
		g_mutex_unlock(&lock);
		atomic_fetch_add(&announced, 1);
		if (atomic_load(&left))
			atomic_fetch_add(&after_leaving, 1);
	}
	http_reply(request, 200, NULL, "{}", 2, NULL);
}

static void wait_for(atomic_int *value)
{
	int64_t end_ms = clock_now_ms() + 30000;

	while (!atomic_load(value) && clock_now_ms() < end_ms)
		g_usleep(1000);
	assert_true(atomic_load(value));
}

static void wait_for_event(const char *trace, const char *event)
{
	int64_t end_ms = clock_now_ms() + 30000;
	bool found = false;

	while (!found && clock_now_ms() < end_ms) {
		char *text = NULL;

		g_usleep(1000);
		g_file_get_contents(trace, &text, NULL, NULL);
		found = text && strstr(text, event);
		g_free(text);
	}
	assert_true(found);
}

static void test_announces_leaves_and_finishes(void **state)
{
	struct http_server_options options = { .address = "127.0.0.1:0" };
	struct http_server *agent =
		http_server_create(&options, handle_notice, NULL, NULL);
	char *line = g_strdup_printf("backend --slots 2 --agent 127.0.0.1:%u",
				     http_server_port(agent));
	struct long_post long_post = { start(line), NULL, 0 };
	char trace[] = "/tmp/test_backend_XXXXXX";
	int fd = g_mkstemp(trace);
	GThread *thread;
	char url[64];

	(void)state;
	wait_for(&announced);
	g_snprintf(url, sizeof(url), "\"url\":\"http://127.0.0.1:%u\"",
		   backend_port(long_post.backend));
	g_mutex_lock(&lock);
	assert_non_null(strstr(announcement, url));
	assert_non_null(strstr(announcement, "\"slots\":2"));
	g_mutex_unlock(&lock);
	assert_true(trace_open(trace, "b1", 1, NULL));
	thread = g_thread_new("post", post_long, &long_post);
	wait_for_event(trace, " e=run ");
	stop(long_post.backend);
	g_thread_join(thread);
	assert_int_equal(long_post.status, 200);
	wait_for_event(trace, " e=stop_end in_progress=0");
	trace_close();
	close(fd);
	g_unlink(trace);
	assert_int_equal(atomic_load(&left), 1);
	assert_int_equal(atomic_load(&after_leaving), 0);
	http_server_destroy(agent);
	g_free(announcement);
	g_free(line);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers),
		cmocka_unit_test(test_crossed_returns_previous_answer),
		cmocka_unit_test(test_start_before_checked_at_start),
		cmocka_unit_test(test_announces_leaves_and_finishes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
