/*
 * test_leased_config: routes in the configuration. The highest version wins
 * regardless of order and repetition; the routes survive a restart, a snapshot
 * and an adoption; and a request is matched to its route.
 */
#include "leased/routes.h"
#include "proto/wire.pb-c.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

/* ---- Support ---- */

static enum cf_command_status set(struct cf_config *config, uint64_t index,
				  uint64_t version, const char *document)
{
	Cfw__Command command = CFW__COMMAND__INIT;
	Cfw__RouteTable routes = CFW__ROUTE_TABLE__INIT;
	uint8_t id[16] = { (uint8_t)index };
	struct cf_entry entry = { .index = index,
				  .kind = CF_ENTRY_COMMAND,
				  .wall_ms = (int64_t)index };
	struct cf_command_result result;
	uint8_t data[512];

	routes.version = version;
	routes.document.data = (uint8_t *)(uintptr_t)document;
	routes.document.len = strlen(document);
	command.command_id.data = id;
	command.command_id.len = sizeof(id);
	command.change_case = CFW__COMMAND__CHANGE_ROUTES_SET;
	command.routes_set = &routes;
	entry.data = g_bytes_new(data, cfw__command__pack(&command, data));
	cf_config_apply(config, &entry, &result);
	g_bytes_unref(entry.data);
	return result.status;
}

static void assert_routes(const struct cf_config *config, uint64_t version,
			  const char *document)
{
	uint64_t held;
	GBytes *routes = cf_config_routes(config, &held);
	gsize size;
	const char *data;

	assert_int_equal(held, version);
	if (!document) {
		assert_null(routes);
		return;
	}
	data = g_bytes_get_data(routes, &size);
	assert_int_equal(size, strlen(document));
	assert_memory_equal(data, document, size);
}

/* ---- Versions ---- */

static void test_the_highest_version_wins(void **state)
{
	static const struct {
		uint64_t version;
		const char *document;
		enum cf_command_status status;
		uint64_t held;
		const char *held_document;
	} steps[] = {
		{ 5, "five", CF_COMMAND_DONE, 5, "five" },
		{ 5, "five", CF_COMMAND_DONE, 5, "five" }, /* repeated */
		{ 5, "other", CF_COMMAND_DONE, 5, "five" }, /* concurrent */
		{ 3, "three", CF_COMMAND_DONE, 5, "five" }, /* older */
		{ 9, "nine", CF_COMMAND_DONE, 9, "nine" },
		{ 5, "five", CF_COMMAND_DONE, 9, "nine" },
		{ 0, "zero", CF_COMMAND_INVALID, 9, "nine" },
		{ 10, "", CF_COMMAND_INVALID, 9, "nine" },
	};
	struct cf_config *config = cf_config_create();

	(void)state;
	assert_routes(config, 0, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		assert_int_equal(
			set(config, i + 1, steps[i].version, steps[i].document),
			steps[i].status);
		assert_routes(config, steps[i].held, steps[i].held_document);
	}
	cf_config_destroy(config);
}

static void test_snapshot_and_adoption_keep_routes(void **state)
{
	struct cf_config *config = cf_config_create();
	struct cf_config *loaded = cf_config_create();
	struct cf_config *adopter = cf_config_create();
	GBytes *saved, *packed;
	gsize size;
	const void *data;

	(void)state;
	set(config, 1, 7, "seven");
	saved = cf_config_save(config);
	assert_true(cf_config_load(loaded, saved, NULL));
	assert_routes(loaded, 7, "seven");
	packed = cf_config_pack(config);
	data = g_bytes_get_data(packed, &size);
	assert_true(cf_config_adopt(adopter, data, size, NULL));
	assert_routes(adopter, 7, "seven");
	/* The same or an older version changes nothing. */
	assert_false(cf_config_adopt(adopter, data, size, NULL));
	set(loaded, 2, 6, "six");
	assert_routes(loaded, 7, "seven");
	g_bytes_unref(saved);
	g_bytes_unref(packed);
	cf_config_destroy(config);
	cf_config_destroy(loaded);
	cf_config_destroy(adopter);
}

/* ---- Route lookup ---- */

static void add(GArray *list, const char *name, const char *host,
		const char *prefix)
{
	struct route route = { .timeout_ms = 1 };

	g_strlcpy(route.name, name, sizeof(route.name));
	g_strlcpy(route.host, host, sizeof(route.host));
	g_strlcpy(route.prefix, prefix, sizeof(route.prefix));
	g_array_append_val(list, route);
}

static void test_longest_prefix_of_the_host(void **state)
{
	static const struct {
		const char *host, *path, *name; /* NULL: no route */
	} cases[] = {
		{ "a.example", "/x/1", "short" },
		{ "A.Example:8080", "/x/1", "short" },
		{ "a.example", "/x/long/1", "long" },
		{ "a.example", "/y/1", NULL },
		{ "b.example", "/x/1", "other" },
		{ "c.example", "/x/1", NULL },
		{ "", "/x/1", NULL },
	};
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct route));
	struct routes *routes;

	(void)state;
	add(list, "short", "a.example", "/x/");
	add(list, "long", "a.example", "/x/long/");
	add(list, "other", "b.example", "/x/");
	routes = routes_create(list, 3);
	g_array_unref(list);
	assert_int_equal(routes_version(routes), 3);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct route *found =
			routes_find(routes, cases[i].host, cases[i].path);

		if (!cases[i].name)
			assert_null(found);
		else
			assert_string_equal(found->name, cases[i].name);
	}
	routes_destroy(routes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_the_highest_version_wins),
		cmocka_unit_test(test_snapshot_and_adoption_keep_routes),
		cmocka_unit_test(test_longest_prefix_of_the_host),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
