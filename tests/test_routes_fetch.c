/*
 * test_routes_fetch: how a lease holder fetches routes in parts, and what a
 * coordinator sends it.
 */
#include "coordinator/routes_sender.h"
#include "roles/routes_fetch.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define PART_BYTES 100
#define DOCUMENT_BYTES 450
#define ANSWER_TIMEOUT_MS 1000
#define VERSIONS_MAX 8

/* Holds the log's state, so it knows how routes changed. */
struct world {
	struct cf_config *leader, *holder;
	struct routes_fetch *fetch;
	struct routes_sender *sender;
	GBytes *documents[VERSIONS_MAX + 1];
	uint64_t index;
	int64_t now_ms;
	int requests, documents_begun;
};

static void set_routes(struct world *w, uint64_t version)
{
	Cfw__Command command = CFW__COMMAND__INIT;
	Cfw__RouteTable routes = CFW__ROUTE_TABLE__INIT;
	struct cf_entry entry = { .index = ++w->index,
				  .kind = CF_ENTRY_COMMAND };
	uint8_t id[16] = { (uint8_t)version }, data[2 * DOCUMENT_BYTES];
	uint8_t document[DOCUMENT_BYTES];

	for (int i = 0; i < DOCUMENT_BYTES; i++)
		document[i] = (uint8_t)(i * i >> 3);
	document[DOCUMENT_BYTES / 2] = (uint8_t)version;
	w->documents[version] = g_bytes_new(document, sizeof(document));
	routes.version = version;
	routes.document.data = document;
	routes.document.len = sizeof(document);
	command.command_id.data = id;
	command.command_id.len = sizeof(id);
	command.change_case = CFW__COMMAND__CHANGE_ROUTES_SET;
	command.routes_set = &routes;
	entry.data = g_bytes_new(data, cfw__command__pack(&command, data));
	cf_config_apply(w->leader, &entry, NULL);
	g_bytes_unref(entry.data);
}

static void begin(struct world *w)
{
	*w = (struct world){ .leader = cf_config_create(),
			     .holder = cf_config_create(),
			     .now_ms = 1000 };
	w->fetch = routes_fetch_create(w->holder);
	w->sender = routes_sender_create(PART_BYTES);
	set_routes(w, 1);
	routes_fetch_set_in_force(w->fetch, 1, w->now_ms);
}

static void finish(struct world *w)
{
	routes_fetch_destroy(w->fetch);
	routes_sender_destroy(w->sender);
	cf_config_destroy(w->leader);
	cf_config_destroy(w->holder);
	for (size_t i = 0; i < G_N_ELEMENTS(w->documents); i++)
		g_clear_pointer(&w->documents[i], g_bytes_unref);
}

/* Serves one request. Returns true if routes are to be applied. */
static bool serve(struct world *w, const Cfw__RoutesRequest *request)
{
	Cfw__RoutesPart part = CFW__ROUTES_PART__INIT;

	routes_sender_answer(w->sender, w->leader, request, w->now_ms, &part);
	w->requests++;
	w->documents_begun += part.whole && !part.offset;
	return routes_fetch_take(w->fetch, &part, w->now_ms);
}

/* Serves up to max requests. Returns how often routes were to be applied. */
static int serve_many(struct world *w, int max)
{
	Cfw__RoutesRequest request = CFW__ROUTES_REQUEST__INIT;
	int applied = 0;

	while (max-- && routes_fetch_next(w->fetch, w->now_ms, &request))
		applied += serve(w, &request);
	return applied;
}

static void expect_version(struct world *w, uint64_t expected)
{
	uint64_t version;
	GBytes *routes = cf_config_routes(w->holder, &version);

	assert_int_equal(version, expected);
	assert_true(g_bytes_equal(routes, w->documents[expected]));
	assert_false(routes_fetch_is_behind(w->fetch));
}

static void change_to(struct world *w, uint64_t first, uint64_t last)
{
	for (uint64_t version = first; version <= last; version++)
		set_routes(w, version);
	routes_fetch_set_in_force(w->fetch, last, w->now_ms);
}

static void test_document_then_changes(void **state)
{
	struct world w;

	(void)state;
	begin(&w);
	assert_int_equal(serve_many(&w, INT32_MAX), 1);
	assert_int_equal(w.requests, (DOCUMENT_BYTES - 1) / PART_BYTES + 1);
	expect_version(&w, 1);
	change_to(&w, 2, 5);
	assert_int_equal(serve_many(&w, INT32_MAX), 1);
	expect_version(&w, 5);
	assert_int_equal(w.documents_begun, 1);
	finish(&w);
}

/* Guards against a fetch that begins anew with each lost connection. */
static void test_resumes_on_another_connection(void **state)
{
	Cfw__RoutesRequest lost = CFW__ROUTES_REQUEST__INIT;
	struct world w;

	(void)state;
	begin(&w);
	serve_many(&w, 2);
	assert_true(routes_fetch_next(w.fetch, w.now_ms, &lost));
	assert_int_equal(lost.offset, 2 * PART_BYTES);
	assert_int_equal(serve_many(&w, INT32_MAX), 0); /* one at a time */
	routes_fetch_forget_request(w.fetch);
	assert_int_equal(serve_many(&w, INT32_MAX), 1);
	assert_int_equal(w.documents_begun, 1);
	expect_version(&w, 1);
	assert_false(serve(&w, &lost)); /* late */
	expect_version(&w, 1);
	finish(&w);
}

static void test_unanswered_request_is_repeated(void **state)
{
	Cfw__RoutesRequest request = CFW__ROUTES_REQUEST__INIT;
	struct world w;

	(void)state;
	begin(&w);
	assert_true(routes_fetch_next(w.fetch, w.now_ms, &request));
	w.now_ms += ANSWER_TIMEOUT_MS - 1;
	assert_false(routes_fetch_next(w.fetch, w.now_ms, &request));
	w.now_ms++;
	assert_int_equal(serve_many(&w, INT32_MAX), 1);
	expect_version(&w, 1);
	finish(&w);
}

/* Guards against routes that change faster than a document is fetched: then it
 * would never be whole, or never be applied. */
static void test_changes_during_a_fetch(void **state)
{
	struct world w;

	(void)state;
	begin(&w);
	for (uint64_t version = 2; version <= VERSIONS_MAX; version++) {
		assert_int_equal(serve_many(&w, 1), version == 6);
		change_to(&w, version, version);
	}
	assert_int_equal(w.documents_begun, 1);
	/* At what was in force when the document had come, and at the newest.
	 */
	assert_int_equal(serve_many(&w, INT32_MAX), 2);
	expect_version(&w, VERSIONS_MAX);
	finish(&w);
}

/* Guards against a document for each of many holders that begin to fetch while
 * routes change, and against one that is cut off by the others. */
static void test_holders_that_begin_during_changes(void **state)
{
	Cfw__RoutesRequest first = CFW__ROUTES_REQUEST__INIT, other = first;
	Cfw__RoutesPart part = CFW__ROUTES_PART__INIT, late = part;
	struct world w;

	(void)state;
	begin(&w);
	routes_sender_answer(w.sender, w.leader, &first, w.now_ms, &part);
	first.version = part.version;
	first.offset = part.data.len;
	first.whole = true;
	for (uint64_t version = 2; version <= VERSIONS_MAX; version++) {
		change_to(&w, version, version);
		part = late;
		routes_sender_answer(w.sender, w.leader, &other, w.now_ms,
				     &part);
		assert_int_equal(part.version, 1);
	}
	routes_sender_answer(w.sender, w.leader, &first, w.now_ms, &late);
	assert_int_equal(late.version, 1);
	assert_int_equal(late.offset, PART_BYTES);
	finish(&w);
}

/* Guards against routes that stay wrong: a change that doesn't fit what is here
 * is replaced by the document. */
static void test_change_that_does_not_fit(void **state)
{
	g_autoptr(GBytes) other = g_bytes_new_static("other", 5);
	struct world w;

	(void)state;
	begin(&w);
	cf_config_set_routes(w.holder, 1, other);
	change_to(&w, 2, 2);
	assert_int_equal(serve_many(&w, INT32_MAX), 1);
	assert_int_equal(w.documents_begun, 1);
	expect_version(&w, 2);
	finish(&w);
}

/* Guards against a holder that is taken for late because routes keep changing,
 * though it applies each version soon. */
static void test_behind(void **state)
{
	struct world w;

	(void)state;
	begin(&w);
	w.now_ms += 700;
	assert_int_equal(routes_fetch_behind_ms(w.fetch, w.now_ms), 700);
	change_to(&w, 2, 2);
	serve_many(&w, INT32_MAX);
	expect_version(&w, 2);
	assert_int_equal(routes_fetch_behind_ms(w.fetch, w.now_ms), 700);
	routes_fetch_set_applied(w.fetch, 1);
	w.now_ms += 300;
	assert_int_equal(routes_fetch_behind_ms(w.fetch, w.now_ms), 300);
	change_to(&w, 3, 3);
	w.now_ms += 100;
	routes_fetch_set_applied(w.fetch, 2);
	assert_int_equal(routes_fetch_behind_ms(w.fetch, w.now_ms), 100);
	routes_fetch_set_applied(w.fetch, 3);
	assert_int_equal(routes_fetch_behind_ms(w.fetch, w.now_ms), 0);
	finish(&w);
}

/* Guards against a holder that refuses work for ever, because it went by a
 * version before it was told that this is in force: a document was newer than
 * the lease, or came from a leader of an earlier version. */
static void test_applied_before_it_is_told(void **state)
{
	struct world w;

	(void)state;
	begin(&w);
	set_routes(&w, 2);
	assert_int_equal(serve_many(&w, INT32_MAX), 1);
	expect_version(&w, 2);
	routes_fetch_set_applied(w.fetch, 2);
	routes_fetch_set_in_force(w.fetch, 2, w.now_ms);
	assert_int_equal(routes_fetch_behind_ms(w.fetch, w.now_ms + 1), 0);
	change_to(&w, 3, 3);
	assert_int_equal(routes_fetch_behind_ms(w.fetch, w.now_ms + 1), 1);
	finish(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_document_then_changes),
		cmocka_unit_test(test_resumes_on_another_connection),
		cmocka_unit_test(test_unanswered_request_is_repeated),
		cmocka_unit_test(test_changes_during_a_fetch),
		cmocka_unit_test(test_holders_that_begin_during_changes),
		cmocka_unit_test(test_change_that_does_not_fit),
		cmocka_unit_test(test_behind),
		cmocka_unit_test(test_applied_before_it_is_told),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
