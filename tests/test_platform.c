/*
 * test_platform: the adapter parses valid messages of the platform and
 * rejects invalid and truncated ones with an error that names the field.
 */
#include "platform/platform.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#define ROUTE(name, place, service, timeout)                                   \
	"{\"name\":\"" name                                                    \
	"\",\"host\":\"A.example\",\"pathPrefix\":\"" place                    \
	"\",\"service\":\"" service "\",\"timeoutMs\":" timeout                \
	",\"targetLatencyMs\":60,\"maxAttempts\":3,\"stretch\":1.6}"
#define ROUTES(version, list)                                                  \
	"{\"version\":" version ",\"routes\":[" list                           \
	"],\"services\":[{\"name\":\"s\"}]}"

/* ---- Calls ---- */

static void test_control_calls(void **state)
{
	static const struct {
		const char *method, *path;
		enum control_kind kind;
		const char *subject;
	} cases[] = {
		{ "POST", "/Config.Replace", CONTROL_SET_ROUTES, "" },
		{ "GET", "/Config.Replace", CONTROL_UNKNOWN, "" },
		{ "GET", "/Config.Read", CONTROL_GET_ROUTES, "" },
		{ "GET", "/Config.Reads", CONTROL_UNKNOWN, "" },
		{ "POST", "/Evacuation.Begin/z", CONTROL_DISABLE_DATA_CENTRE,
		  "z" },
		{ "POST", "/Evacuation.Finish/z", CONTROL_ENABLE_DATA_CENTRE,
		  "z" },
		{ "POST", "/Evacuation.Begin/", CONTROL_UNKNOWN, "" },
		{ "POST", "/Instances.Heartbeat/i-1", CONTROL_SERVER_REPORT,
		  "i-1" },
		{ "POST", "/Instances.Deregister/i-1",
		  CONTROL_DEREGISTER_SERVER, "i-1" },
		{ "POST", "/", CONTROL_UNKNOWN, "" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct control_request request;

		platform_read_control(cases[i].method, cases[i].path, &request);
		assert_int_equal(request.kind, cases[i].kind);
		if (request.kind != CONTROL_UNKNOWN)
			assert_string_equal(request.subject, cases[i].subject);
	}
}

/* ---- Routes ---- */

static void test_routes(void **state)
{
	static const struct {
		const char *text, *fault; /* NULL: valid */
	} cases[] = {
		{ ROUTES("7", ROUTE("r", "/a/", "s", "1500")), NULL },
		{ ROUTES("7", ""), NULL },
		{ ROUTES("0", ROUTE("r", "/a/", "s", "1500")), "version" },
		{ ROUTES("\"7\"", ""), "version" },
		{ ROUTES("7", ROUTE("r", "/a/", "t", "1500")), "service" },
		{ ROUTES("7", ROUTE("r", "/a/", "s", "0")), "timeoutMs" },
		{ ROUTES("7", ROUTE("r", "/a/", "s", "\"9\"")), "timeoutMs" },
		{ ROUTES("7", ROUTE("r", "a/", "s", "1500")), "pathPrefix" },
		{ ROUTES("7", ROUTE("", "/a/", "s", "1500")), "name" },
		{ ROUTES("7", ROUTE("r", "/a/", "s",
				    "1500") "," ROUTE("q", "/a/", "s", "1500")),
		  "same host and prefix" },
		{ "{\"version\":7,\"routes\":[", "JSON" },
		{ "{\"version\":7,\"services\":[]}", "routes" },
		{ "{\"version\":7,\"routes\":[]}", "services" },
		{ "[]", "version" },
		{ "", "JSON" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GError) error = NULL;
		uint64_t version = 0;
		GArray *routes = platform_read_routes(
			cases[i].text, strlen(cases[i].text), &version, &error);

		if (cases[i].fault) {
			assert_null(routes);
			assert_non_null(strstr(error->message, cases[i].fault));
			continue;
		}
		assert_non_null(routes);
		assert_int_equal(version, 7);
		g_array_unref(routes);
	}
}

static void test_fields_of_a_route(void **state)
{
	const char *text = ROUTES("7", ROUTE("r", "/a/", "s", "1500"));
	uint64_t version;
	GArray *routes =
		platform_read_routes(text, strlen(text), &version, NULL);
	const struct route *route = &g_array_index(routes, struct route, 0);

	(void)state;
	assert_string_equal(route->host, "a.example");
	assert_int_equal(route->timeout_ms, 1500);
	assert_int_equal(route->target_ms, 60);
	assert_int_equal(route->stretch_milli, 1600);
	assert_int_equal(route->attempts_max, 3);
	g_array_unref(routes);
}

/* ---- Jobs ---- */

static void test_jobs(void **state)
{
	static const struct {
		const char *text;
		enum job_refusal refusal;
		const char *fault;
	} cases[] = {
		{ "{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":3,"
		  "\"cpu\":500,\"memMb\":64,\"estimateMs\":90}]}",
		  JOB_ACCEPTED, "" },
		{ "{\"spec\":\"x\",\"steps\":[{\"count\":3}]}", JOB_UNSUPPORTED,
		  "bestEffort" },
		{ "{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":1}"
		  ",{\"count\":1,\"after\":[0]}]}",
		  JOB_UNSUPPORTED, "steps" },
		{ "{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":2,"
		  "\"gang\":true}]}",
		  JOB_UNSUPPORTED, "gang" },
		{ "{\"spec\":\"x\",\"bestEffort\":true,\"repeats\":2,"
		  "\"steps\":[{\"count\":2}]}",
		  JOB_UNSUPPORTED, "repeats" },
		{ "{\"spec\":\"x\",\"bestEffort\":true,\"longRunning\":false,"
		  "\"steps\":[{\"count\":2,\"gang\":false,\"requires\":\"\"}]}",
		  JOB_ACCEPTED, "" },
		{ "{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":0}"
		  "]}",
		  JOB_MALFORMED, "count" },
		{ "{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":2,"
		  "\"cpu\":-1}]}",
		  JOB_MALFORMED, "cpu" },
		{ "{\"spec\":7,\"bestEffort\":true,\"steps\":[{\"count\":2}]}",
		  JOB_MALFORMED, "spec" },
		{ "{\"spec\":\"x\",\"bestEffort\":true}", JOB_MALFORMED,
		  "steps" },
		{ "{\"spec\":\"x\"", JOB_MALFORMED, "body" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct job_spec spec;
		char fault[128] = "";

		assert_int_equal(platform_read_job(cases[i].text,
						   strlen(cases[i].text), &spec,
						   fault),
				 cases[i].refusal);
		assert_non_null(strstr(fault, cases[i].fault));
		if (cases[i].refusal == JOB_ACCEPTED)
			g_bytes_unref(spec.spec);
	}
}

/* ---- Servers ---- */

#define REPORT(state, seq, capacity)                                           \
	"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","          \
	"\"state\":" state ",\"seq\":" seq ",\"clockMs\":5,\"born\":9,"        \
	"\"capacity\":" capacity ",\"labels\":[\"b\",\"r1\"]}"
#define CAPACITY "{\"cpu\":16000,\"memMb\":100,\"gpu\":0}"

static void test_reports(void **state)
{
	static const struct {
		const char *text, *fault; /* NULL: valid */
		bool draining, no_room;
	} cases[] = {
		{ REPORT("\"ready\"", "4", CAPACITY), NULL, false, false },
		{ REPORT("\"draining\"", "4", "{\"cpu\":0,\"memMb\":0}"), NULL,
		  true, true },
		{ REPORT("\"ready\"", "4", "{\"cpu\":-1,\"memMb\":9}"),
		  "capacity", false, false },
		{ REPORT("\"draining\"", "4", CAPACITY), NULL, true, false },
		{ REPORT("\"other\"", "4", CAPACITY), "state", false, false },
		{ REPORT("7", "4", CAPACITY), "state", false, false },
		{ REPORT("\"ready\"", "\"4\"", CAPACITY), "seq", false, false },
		{ REPORT("\"ready\"", "4", "{}"), "capacity", false, false },
		{ REPORT("\"ready\"", "4", "7"), "capacity", false, false },
		{ "{}", "service", false, false },
		{ "\xff\xfe", "body", false, false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct server_report report;
		char fault[128] = "";
		bool valid = platform_read_server_report("i-1", cases[i].text,
							 strlen(cases[i].text),
							 &report, fault);

		if (cases[i].fault) {
			assert_false(valid);
			assert_non_null(strstr(fault, cases[i].fault));
			continue;
		}
		assert_true(valid);
		assert_string_equal(report.name, "i-1");
		assert_string_equal(report.kind, "b");
		assert_int_equal(report.draining, cases[i].draining);
		assert_int_equal(report.capacity.cpu_milli,
				 cases[i].no_room ? 0 : 16000);
		assert_int_equal(report.start_time_ms, 9);
	}
}

/* Guards against a kind that is cut off within a character: dispatchers would
 * leave the server out, as its kind isn't UTF-8. */
static void test_long_kind(void **state)
{
	g_autofree char *kind = g_strnfill(CF_NAME_SIZE - 2, 'b');
	g_autofree char *text = g_strdup_printf(
		"{\"service\":\"s\",\"addr\":\"127.0.0.1:1\",\"zone\":\"z\","
		"\"state\":\"ready\",\"seq\":4,\"clockMs\":1,\"born\":9,"
		"\"capacity\":{\"cpu\":1,\"memMb\":1},"
		"\"labels\":[\"%s\xc3\xa9\"]}",
		kind);
	struct server_report report;
	char fault[128] = "";

	(void)state;
	assert_true(platform_read_server_report("i-1", text, strlen(text),
						&report, fault));
	assert_string_equal(report.kind, kind);
}

static void test_start_answers(void **state)
{
	static const struct {
		uint32_t status;
		const char *text;
		enum run_refusal refusal;
		int64_t clock_ms; /* -1: not reported */
	} cases[] = {
		{ 200, "{\"clockMs\":5}", RUN_ACCEPTED, 5 },
		{ 409, "{\"clockMs\":5,\"reason\":\"room\"}", RUN_NO_CAPACITY,
		  5 },
		{ 409, "{\"clockMs\":5,\"reason\":\"late\"}", RUN_LEASE_EXPIRED,
		  5 },
		{ 409, "{\"clockMs\":5,\"reason\":\"old\"}", RUN_STALE, 5 },
		{ 409, "{\"clockMs\":5,\"reason\":\"fence\"}", RUN_FENCED, 5 },
		{ 409, "{\"clockMs\":99999999999999999999,\"reason\":\"old\"}",
		  RUN_STALE, -1 },
		{ 409, "{\"clockMs\":9223372036854775807,\"reason\":\"old\"}",
		  RUN_STALE, -1 },
		{ 409, "", RUN_UNHEALTHY, -1 },
		{ 400, "{}", RUN_MALFORMED, -1 },
		{ 421, "", RUN_OTHER_INCARNATION, -1 },
		{ 429, "", RUN_UNHEALTHY, -1 },
		{ 503, "", RUN_UNHEALTHY, -1 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t clock_ms = -1;

		assert_int_equal(
			platform_read_start(cases[i].status, cases[i].text,
					    strlen(cases[i].text), &clock_ms),
			cases[i].refusal);
		assert_int_equal(clock_ms, cases[i].clock_ms);
	}
}

static void test_lists(void **state)
{
	static const struct {
		const char *text;
		bool valid;
		guint running, ended;
	} cases[] = {
		{ "{\"clockMs\":5,\"born\":9,\"running\":[[\"ab.0.0.3\",2,\"\","
		  "41]],\"ended\":[[58,\"ab.0.0.9\",1,\"done\",\"\"],"
		  "[59,\"ab.0.0.8\",1,\"lapsed\",\"\"]]}",
		  true, 1, 2 },
		{ "{\"clockMs\":5,\"running\":[],\"ended\":[]}", true, 0, 0 },
		{ "{\"running\":[],\"ended\":[]}", false, 0, 0 },
		{ "{\"clockMs\":5,\"running\":[],\"ended\":[", false, 0, 0 },
		{ "{\"clockMs\":-1,\"running\":[],\"ended\":[]}", false, 0, 0 },
		{ "{\"clockMs\":99999999999999999999,\"running\":[],\"ended\":["
		  "]}",
		  false, 0, 0 },
		{ "{\"clockMs\":5,\"running\":7,\"ended\":[]}", false, 0, 0 },
		{ "", false, 0, 0 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct run_lists lists;

		assert_int_equal(platform_read_lists(cases[i].text,
						     strlen(cases[i].text),
						     &lists),
				 cases[i].valid);
		if (!cases[i].valid)
			continue;
		assert_int_equal(lists.running->len, cases[i].running);
		assert_int_equal(lists.ended->len, cases[i].ended);
		run_lists_clear(&lists);
	}
}

#define GOOD_RUN "[\"ab.0.0.3\",2,\"\",41]"
#define GOOD_END "[58,\"ab.0.0.9\",1,\"done\",\"\"]"
#define LARGE "99999999999999999999"

/* Guards against an odd entry of another writer that makes the whole list
 * unreadable: the server's lease ends, and all its runs with it. */
static void test_odd_entries_of_lists(void **state)
{
	static const struct {
		const char *run, *end;
		guint running, ended; /* the entries that stay */
	} cases[] = {
		{ "7", "7", 1, 1 },
		{ "null", "{}", 1, 1 },
		{ "[]", "[]", 1, 1 },
		{ "[\"ab.3\",2]", "[57,\"ab.3\",1,\"done\"]", 1, 1 },
		{ "[\"a\\u0000.0.0.3\",2]", "[57,\"\xff.0.0.9\",1,\"done\"]", 1,
		  1 },
		{ "[" LARGE ",2]", "[57,\"ab.0.0.8\",1," LARGE "]", 1, 1 },
		{ "[\"ab.0.0.4\",2,\"\"," LARGE "]",
		  "[57,\"ab.0.0.8\",1,\"done\",1e999]", 2, 2 },
		{ "[\"ab.0.0.4\",-1e999]",
		  "[" LARGE ",\"ab.0.0.8\",1,\"done\"]", 2, 1 },
		{ "[\"ab.0.0." LARGE "\",2]", "[-57,\"ab.0.0.8\",1,\"done\"]",
		  1, 1 },
		{ "[\"ab.0.0.4\",4294967298]",
		  "[57,\"ab.0.0.8\",4294967297,\"done\"]", 2, 1 },
		{ "[\"ab.0.0.4\",002]", "[057,\"ab.0.0.8\",1,\"done\"]", 2, 1 },
		{ "[\"ab.0.0.4\",\"2\"]", "[57,\"ab.0.0.8\",1,\"other\"]", 2,
		  1 },
		{ "[\"ab.1.0.4\",2]", "[57,\"ab.1.0.8\",1,\"failed\"]", 1, 1 },
		{ "[\"ab.0.1.4\",2]", "[57,\"ab.0.1.8\",1,\"failed\"]", 1, 1 },
		{ "[\"ab.x..4\",2]", "[57,\"ab.x..8\",1,\"failed\"]", 1, 1 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"clockMs\":5,\"running\":[%s," GOOD_RUN
			"],\"ended\":[%s," GOOD_END "]}",
			cases[i].run, cases[i].end);
		struct run_lists lists;
		const struct run_name *run;

		if (!platform_read_lists(text, strlen(text), &lists))
			fail_msg("unreadable: %s", text);
		assert_int_equal(lists.clock_ms, 5);
		assert_int_equal(lists.running->len, cases[i].running);
		assert_int_equal(lists.ended->len, cases[i].ended);
		assert_int_equal(lists.n_unreadable,
				 4 - cases[i].running - cases[i].ended);
		run = &g_array_index(lists.running, struct run_name,
				     cases[i].running - 1);
		assert_int_equal(run->index, 3);
		assert_int_equal(run->number, 2);
		run_lists_clear(&lists);
	}
}

/* A nested value, deeper than the JSON library reads. */
static char *nest(size_t depth)
{
	g_autofree char *open = g_strnfill(depth, '[');
	g_autofree char *close = g_strnfill(depth, ']');

	return g_strconcat(open, close, NULL);
}

static void test_nested_entries_of_lists(void **state)
{
	static const size_t depths[] = { 15, 100, 2048, 100000 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(depths); i++) {
		g_autofree char *nested = nest(depths[i]);
		g_autofree char *text = g_strdup_printf(
			"{\"clockMs\":5,\"running\":[%s," GOOD_RUN
			",[\"ab.0.0.4\",2,\"\",%s]],\"ended\":[" GOOD_END
			",%s]}",
			nested, nested, nested);
		struct run_lists lists;

		assert_true(platform_read_lists(text, strlen(text), &lists));
		assert_int_equal(lists.running->len, 2);
		assert_int_equal(lists.ended->len, 1);
		run_lists_clear(&lists);
	}
}

/* Guards against an odd entry from which an agent takes an address that nobody
 * can call, or a number with which no later report is believed. */
static void test_odd_reports(void **state)
{
	static const struct {
		const char *name, *address, *seq, *clock, *cpu;
		const char *fault; /* NULL: valid */
	} cases[] = {
		{ "i-1", "10.0.0.1:80", "4", "5", "16000", NULL },
		{ "i-1", "[fd00::1]:65535", "4", "5", "0", NULL },
		{ "i-1", "host.example:1", "4", "5", "16000", NULL },
		{ "i-1", "10.0.0.1:65536", "4", "5", "16000", "addr" },
		{ "i-1", "10.0.0.1:0", "4", "5", "16000", "addr" },
		{ "i-1", "10.0.0.1:-1", "4", "5", "16000", "addr" },
		{ "i-1", "10.0.0.1:" LARGE, "4", "5", "16000", "addr" },
		{ "i-1", "10.0.0.1:", "4", "5", "16000", "addr" },
		{ "i-1", "10.0.0.1", "4", "5", "16000", "addr" },
		{ "i-1", ":80", "4", "5", "16000", "addr" },
		{ "i-1", "u@10.0.0.1:80", "4", "5", "16000", "addr" },
		{ "i-1", "10.0.0.1/a:80", "4", "5", "16000", "addr" },
		{ "i-1", "10.0.0.1 :80", "4", "5", "16000", "addr" },
		{ "i-1", "10.0.0.1:80", LARGE, "5", "16000", "seq" },
		{ "i-1", "10.0.0.1:80", "9223372036854775807", "5", "16000",
		  "seq" },
		{ "i-1", "10.0.0.1:80", "4", "9223372036854775807", "16000",
		  "clockMs" },
		{ "i-1", "10.0.0.1:80", "4", "1e999", "16000", "clockMs" },
		{ "i-1", "10.0.0.1:80", "4", "5", "2147483647", "capacity" },
		{ "i-1", "10.0.0.1:80", "4", "5", LARGE, "capacity" },
		{ "i-1\r\nX: y", "10.0.0.1:80", "4", "5", "16000", "id" },
		{ "i 1", "10.0.0.1:80", "4", "5", "16000", "id" },
		{ "\xff", "10.0.0.1:80", "4", "5", "16000", "id" },
	};
	g_autofree char *nested = nest(100000);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"service\":\"s\",\"addr\":\"%s\",\"zone\":\"z\","
			"\"state\":\"ready\",\"note\":%s,\"seq\":%s,"
			"\"clockMs\":%s,\"born\":9,"
			"\"capacity\":{\"cpu\":%s,\"memMb\":9}}",
			cases[i].address, nested, cases[i].seq, cases[i].clock,
			cases[i].cpu);
		struct server_report report;
		char fault[128] = "";
		bool valid = platform_read_server_report(
			cases[i].name, text, strlen(text), &report, fault);

		if (valid != !cases[i].fault)
			fail_msg("case %d: %s", (int)i, fault);
		if (cases[i].fault)
			if (!g_str_has_prefix(fault, cases[i].fault))
				fail_msg("case %d: %s", (int)i, fault);
	}
}

static void test_start_and_poll_bodies(void **state)
{
	struct run_name name = { .job = "5c0e7a21d94b36f8",
				 .index = 17,
				 .number = 2 };
	struct run_call call;
	GBytes *spec = g_bytes_new("a\"b", 3);

	(void)state;
	platform_write_start(&name, spec, 486000, 7, &call);
	assert_string_equal(call.path, "/run-start");
	assert_non_null(strstr(call.body, "\"5c0e7a21d94b36f8.0.0.17\""));
	assert_non_null(strstr(call.body, "a\\\"b"));
	assert_non_null(strstr(call.body, "\"untilMs\":486000"));
	assert_non_null(strstr(call.body, "\"fence\":7"));
	run_call_clear(&call);
	platform_write_stop(&name, 8, &call);
	assert_non_null(strstr(call.body, "\"fence\":8"));
	run_call_clear(&call);
	platform_write_poll(0, 9, 57, 100, &call);
	assert_non_null(strstr(call.body, "\"fence\":9"));
	assert_null(strstr(call.body, "untilMs"));
	assert_non_null(strstr(call.body, "\"lastSeen\":57"));
	run_call_clear(&call);
	g_bytes_unref(spec);
}

/* Guards against a call that is made from a text which the JSON library has
 * refused: the process ended by a signal (review/5). */
static void test_calls_of_odd_texts(void **state)
{
	static const struct {
		struct run_name name;
		const char *spec;
		bool start, stop;
	} cases[] = {
		{ { "5c0e7a21d94b36f8", 0, 1 }, "a", true, true },
		{ { "5c0e7a21d94b36f\xff", 0, 1 }, "a", false, false },
		{ { "\xc3\x28", 0, 1 }, "a", false, false },
		{ { "\xed\xa0\x80", 0, 1 }, "a", false, false },
		{ { "5c0e7a21d94b36f8", 0, 1 }, "a\xff", false, true },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GBytes *spec =
			g_bytes_new(cases[i].spec, strlen(cases[i].spec));
		struct run_call call;

		assert_int_equal(
			platform_write_start(&cases[i].name, spec, 1, 1, &call),
			cases[i].start);
		assert_int_equal(call.body != NULL, cases[i].start);
		run_call_clear(&call);
		assert_int_equal(platform_write_stop(&cases[i].name, 1, &call),
				 cases[i].stop);
		assert_int_equal(call.body != NULL, cases[i].stop);
		run_call_clear(&call);
		g_bytes_unref(spec);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_control_calls),
		cmocka_unit_test(test_routes),
		cmocka_unit_test(test_fields_of_a_route),
		cmocka_unit_test(test_jobs),
		cmocka_unit_test(test_reports),
		cmocka_unit_test(test_long_kind),
		cmocka_unit_test(test_start_answers),
		cmocka_unit_test(test_lists),
		cmocka_unit_test(test_odd_entries_of_lists),
		cmocka_unit_test(test_nested_entries_of_lists),
		cmocka_unit_test(test_odd_reports),
		cmocka_unit_test(test_start_and_poll_bodies),
		cmocka_unit_test(test_calls_of_odd_texts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
