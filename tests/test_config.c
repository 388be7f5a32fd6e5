/*
 * test_config: tests of the log's state machine: concurrent changes, resent
 * commands, refusals, views and their horizons, snapshots, and the
 * configuration that agents and dispatchers receive.
 */
#include "chervilferry.h"
#include "proto/wire.pb-c.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <cmocka.h>

#define START_MS 1700000000000
#define LEASE_BOUND_MS 2500

/* ---- Entries ------------------------------------------------------- */

struct log {
	struct cf_config *config;
	uint64_t index;
	int64_t wall_ms;
};

static struct cf_command_result apply(struct log *log, enum cf_entry_kind kind,
				      GBytes *data)
{
	struct cf_command_result result;
	struct cf_entry entry = { .index = ++log->index,
				  .term = 1,
				  .kind = kind,
				  .wall_ms = log->wall_ms,
				  .data = data };

	cf_config_apply(log->config, &entry, &result);
	g_bytes_unref(data);
	return result;
}

static struct cf_command_result
command(struct log *log, uint8_t id, uint64_t base, struct Cfw__Command *change)
{
	uint8_t data[512];
	uint8_t *id_bytes = g_malloc0(16);
	size_t size;

	id_bytes[0] = id;
	change->command_id.data = id_bytes;
	change->command_id.len = 16;
	change->base_revision = base;
	size = cfw__command__pack(change, data);
	change->command_id.data = NULL;
	g_free(id_bytes);
	return apply(log, CF_ENTRY_COMMAND, g_bytes_new(data, size));
}

static struct cf_command_result set_class(struct log *log, uint8_t id,
					  uint64_t base, const char *name,
					  uint32_t target_ms,
					  uint32_t percentile_milli)
{
	struct Cfw__TaskClass task_class = CFW__TASK_CLASS__INIT;
	struct Cfw__Command change = CFW__COMMAND__INIT;

	task_class.name = (char *)name;
	task_class.target_ms = target_ms;
	task_class.percentile_milli = percentile_milli;
	change.change_case = CFW__COMMAND__CHANGE_CLASS_SET;
	change.class_set = &task_class;
	return command(log, id, base, &change);
}

static struct cf_command_result set_dc(struct log *log, uint8_t id,
				       uint64_t base, const char *name, bool in)
{
	struct Cfw__DataCentre dc = CFW__DATA_CENTRE__INIT;
	struct Cfw__Command change = CFW__COMMAND__INIT;

	dc.name = (char *)name;
	dc.in_service = in;
	change.change_case = CFW__COMMAND__CHANGE_DATA_CENTRE_SET;
	change.data_centre_set = &dc;
	return command(log, id, base, &change);
}

static struct cf_command_result set_team(struct log *log, uint8_t id,
					 const char *name, uint32_t share)
{
	struct Cfw__Team team = CFW__TEAM__INIT;
	struct Cfw__Command change = CFW__COMMAND__INIT;

	team.name = (char *)name;
	team.share_milli = share;
	change.change_case = CFW__COMMAND__CHANGE_TEAM_SET;
	change.team_set = &team;
	return command(log, id, 0, &change);
}

static struct cf_command_result remove_class(struct log *log, uint8_t id,
					     uint64_t base, const char *name)
{
	struct Cfw__Command change = CFW__COMMAND__INIT;

	change.change_case = CFW__COMMAND__CHANGE_CLASS_REMOVE;
	change.class_remove = (char *)name;
	return command(log, id, base, &change);
}

static struct cf_command_result add_member(struct log *log, uint8_t id,
					   uint32_t member, const char *address)
{
	struct Cfw__Member m = CFW__MEMBER__INIT;
	struct Cfw__Command change = CFW__COMMAND__INIT;

	m.id = member;
	m.address = (char *)address;
	m.admin_address = "127.0.0.1:9000";
	change.change_case = CFW__COMMAND__CHANGE_MEMBER_ADD;
	change.member_add = &m;
	return command(log, id, 0, &change);
}

static struct cf_command_result remove_member(struct log *log, uint8_t id,
					      uint32_t member)
{
	struct Cfw__Command change = CFW__COMMAND__INIT;

	change.change_case = CFW__COMMAND__CHANGE_MEMBER_REMOVE;
	change.member_remove = member;
	return command(log, id, 0, &change);
}

static struct cf_command_result fence(struct log *log, uint8_t id,
				      uint64_t incarnation)
{
	struct Cfw__Command change = CFW__COMMAND__INIT;

	change.change_case = CFW__COMMAND__CHANGE_FENCE;
	change.fence = incarnation;
	return command(log, id, 0, &change);
}

static void apply_members(struct log *log, uint32_t *voters, size_t n_voters,
			  uint32_t *learners, size_t n_learners)
{
	struct Cfw__Members m = CFW__MEMBERS__INIT;
	uint8_t data[128];

	m.voters = voters;
	m.n_voters = n_voters;
	m.learners = learners;
	m.n_learners = n_learners;
	apply(log, CF_ENTRY_MEMBERS,
	      g_bytes_new(data, cfw__members__pack(&m, data)));
}

static int setup(void **state)
{
	struct log *log = g_new0(struct log, 1);

	log->config = cf_config_create();
	log->wall_ms = START_MS;
	*state = log;
	return 0;
}

static int teardown(void **state)
{
	struct log *log = *state;

	cf_config_destroy(log->config);
	g_free(log);
	return 0;
}

/* ---- Concurrent changes and resends -------------------------------- */

static void test_concurrent_changes(void **state)
{
	static const struct {
		uint64_t id, base;
		const char *name;
		uint32_t target_ms;
		enum cf_command_status status;
		uint64_t revision;
		uint64_t in_force_ms;
	} cases[] = {
		{ 1, 0, "a", 100, CF_COMMAND_DONE, 1, 100 },
		{ 2, 1, "a", 200, CF_COMMAND_DONE, 2, 200 },
		/* Another change that is also based on revision 1. */
		{ 3, 1, "a", 300, CF_COMMAND_CONFLICT, 2, 200 },
		/* Resent commands get their first result again. */
		{ 2, 1, "a", 200, CF_COMMAND_DONE, 2, 200 },
		{ 3, 1, "a", 300, CF_COMMAND_CONFLICT, 2, 200 },
		/* A change to another subject doesn't conflict. */
		{ 4, 1, "b", 400, CF_COMMAND_DONE, 6, 400 },
		{ 5, 6, "a", 500, CF_COMMAND_DONE, 7, 500 },
		/* A late resend must not restore the older value. */
		{ 2, 1, "a", 200, CF_COMMAND_DONE, 2, 500 },
		{ 6, 99, "a", 600, CF_COMMAND_INVALID, 7, 500 },
	};
	struct log *log = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_command_result result =
			set_class(log, (uint8_t)cases[i].id, cases[i].base,
				  cases[i].name, cases[i].target_ms, 99000);
		const struct cf_class *found =
			cf_config_find_class(log->config, cases[i].name);

		assert_int_equal(result.status, cases[i].status);
		assert_int_equal(result.revision, cases[i].revision);
		assert_int_equal(found->target_ms, cases[i].in_force_ms);
	}
}

static void test_removed_subject_conflicts(void **state)
{
	struct log *log = *state;
	uint64_t base = set_class(log, 1, 0, "a", 100, 99000).revision;

	assert_int_equal(remove_class(log, 2, base, "a").status,
			 CF_COMMAND_DONE);
	assert_int_equal(set_class(log, 3, base, "a", 9, 99000).status,
			 CF_COMMAND_CONFLICT);
	assert_int_equal(remove_class(log, 4, 0, "a").status,
			 CF_COMMAND_NOT_FOUND);
	/* Also after the revision of the removal was dropped. */
	log->wall_ms += 172800000;
	assert_int_equal(set_class(log, 5, base, "a", 9, 99000).status,
			 CF_COMMAND_CONFLICT);
	assert_null(cf_config_find_class(log->config, "a"));
}

static void test_outcome_expires(void **state)
{
	struct log *log = *state;

	set_class(log, 1, 0, "a", 100, 99000);
	set_class(log, 2, 0, "a", 200, 99000);
	log->wall_ms += 3600000 - 1;
	assert_int_equal(set_class(log, 1, 0, "a", 100, 99000).revision, 1);
	log->wall_ms += 2;
	assert_int_equal(set_class(log, 1, 0, "a", 100, 99000).revision, 4);
}

/* ---- Refusals ------------------------------------------------------ */

static void test_class_fields(void **state)
{
	static const struct {
		const char *name;
		uint32_t target_ms, percentile_milli;
		const char *field; /* invalid field; NULL: valid */
	} cases[] = {
		{ "", 100, 99000, "name" },
		{ "a b", 100, 99000, "name" },
		{ "a\xff", 100, 99000, "name" },
		{ "a/b", 100, 99000, "name" },
		{ "a23456789012345678901234567890123456789012345678901234567890"
		  "1234",
		  100, 99000, "name" },
		{ "a", 0, 99000, "target_ms" },
		{ "a", 3600001, 99000, "target_ms" },
		{ "a", 100, 999, "percentile_milli" },
		{ "a", 100, 100000, "percentile_milli" },
		{ "a-b_c.1", 3600000, 99999, NULL },
		{ "z", 1, 1000, NULL },
	};
	struct log *log = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint64_t before = cf_config_revision(log->config);
		struct cf_command_result result = set_class(
			log, (uint8_t)(i + 1), 0, cases[i].name,
			cases[i].target_ms, cases[i].percentile_milli);

		if (!cases[i].field) {
			assert_int_equal(result.status, CF_COMMAND_DONE);
			continue;
		}
		assert_int_equal(result.status, CF_COMMAND_INVALID);
		assert_true(g_str_has_prefix(result.message, cases[i].field));
		assert_int_equal(cf_config_revision(log->config), before);
	}
}

static void test_team_shares(void **state)
{
	static const struct {
		const char *name;
		uint32_t share;
		enum cf_command_status status;
	} cases[] = {
		{ "a", 600, CF_COMMAND_DONE },
		{ "b", 401, CF_COMMAND_INVALID },
		{ "b", 400, CF_COMMAND_DONE },
		{ "a", 601, CF_COMMAND_INVALID },
		{ "a", 500, CF_COMMAND_DONE },
		{ "c", 0, CF_COMMAND_INVALID },
		{ "c", UINT32_MAX, CF_COMMAND_INVALID },
		{ "c", 100, CF_COMMAND_DONE },
	};
	struct log *log = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cf_command_result result = set_team(
			log, (uint8_t)(i + 1), cases[i].name, cases[i].share);

		assert_int_equal(result.status, cases[i].status);
		if (result.status == CF_COMMAND_INVALID)
			assert_true(g_str_has_prefix(result.message,
						     "share_milli"));
	}
}

static void test_malformed_command(void **state)
{
	struct log *log = *state;
	struct cf_command_result result =
		apply(log, CF_ENTRY_COMMAND, g_bytes_new("\xff\xff\xff", 3));

	assert_int_equal(result.status, CF_COMMAND_INVALID);
	assert_int_equal(cf_config_revision(log->config), 0);
}

/* ---- Data centres and fences --------------------------------------- */

static void test_data_centres(void **state)
{
	struct log *log = *state;

	assert_true(cf_config_in_service(log->config, "olten"));
	set_dc(log, 1, 0, "olten", false);
	assert_false(cf_config_in_service(log->config, "olten"));
	assert_true(cf_config_in_service(log->config, "aarau"));
	assert_int_equal(set_dc(log, 2, 1, "olten", true).status,
			 CF_COMMAND_DONE);
	assert_int_equal(set_dc(log, 3, 1, "olten", false).status,
			 CF_COMMAND_CONFLICT);
	assert_true(cf_config_in_service(log->config, "olten"));
}

static void test_fences_last_for_the_ledger_horizon(void **state)
{
	struct log *log = *state;

	assert_int_equal(fence(log, 1, 77).status, CF_COMMAND_DONE);
	assert_true(cf_config_is_fenced(log->config, 77));
	assert_false(cf_config_is_fenced(log->config, 78));
	assert_int_equal(fence(log, 2, 0).status, CF_COMMAND_INVALID);
	log->wall_ms += CF_LEDGER_HORIZON_MS;
	fence(log, 3, 78);
	assert_true(cf_config_is_fenced(log->config, 77));
	log->wall_ms += CF_LEDGER_HORIZON_MS;
	fence(log, 4, 79);
	assert_false(cf_config_is_fenced(log->config, 77));
	assert_true(cf_config_is_fenced(log->config, 78));
}

/* ---- Members and views --------------------------------------------- */

static void test_views(void **state)
{
	struct log *log = *state;
	const struct cf_view *views;
	uint32_t voters[] = { 1, 2, 3, 4 };
	uint32_t learner[] = { 4 };

	apply_members(log, voters, 3, NULL, 0);
	assert_int_equal(cf_config_views(log->config, &views), 1);
	assert_int_equal(views[0].number, 1);
	/* Adding a learner doesn't create a view. */
	apply_members(log, voters, 3, learner, 1);
	assert_int_equal(cf_config_views(log->config, &views), 1);
	assert_int_equal(views[0].members.n_learners, 1);
	apply_members(log, voters, 4, NULL, 0);
	assert_int_equal(cf_config_views(log->config, &views), 2);
	assert_int_equal(views[1].number, 3);
	assert_int_equal(views[1].horizon_ms,
			 START_MS + LEASE_BOUND_MS + 2 * CF_CLOCK_SKEW_MS);
	/* A leader whose clock is behind must not lower the horizon. */
	log->wall_ms -= 60000;
	apply_members(log, voters + 1, 3, NULL, 0);
	assert_int_equal(cf_config_views(log->config, &views), 3);
	assert_true(views[2].horizon_ms >= views[1].horizon_ms);
	log->wall_ms += 60000 + CF_LEDGER_HORIZON_MS + 10000;
	fence(log, 1, 1);
	assert_int_equal(cf_config_views(log->config, &views), 1);
	assert_int_equal(views[0].number, 4);
}

static void test_member_add_and_remove(void **state)
{
	struct log *log = *state;
	uint32_t voters[] = { 1, 2 };
	uint32_t learner[] = { 2 };

	assert_int_equal(add_member(log, 1, 1, "127.0.0.1:1").status,
			 CF_COMMAND_DONE);
	apply_members(log, voters, 1, NULL, 0);
	assert_true(cf_config_find_member(log->config, 1)->voter);
	assert_int_equal(remove_member(log, 2, 1).status, CF_COMMAND_INVALID);
	assert_int_equal(add_member(log, 3, 2, "nowhere").status,
			 CF_COMMAND_INVALID);
	assert_int_equal(add_member(log, 4, 2, "127.0.0.1:2").status,
			 CF_COMMAND_DONE);
	assert_false(cf_config_find_member(log->config, 2)->voter);
	apply_members(log, voters, 1, learner, 1);
	apply_members(log, voters, 2, NULL, 0);
	assert_true(cf_config_find_member(log->config, 2)->voter);
	assert_int_equal(remove_member(log, 5, 1).status, CF_COMMAND_DONE);
	assert_true(cf_config_find_member(log->config, 1)->leaving);
	apply_members(log, learner, 1, NULL, 0);
	assert_null(cf_config_find_member(log->config, 1));
	assert_true(cf_config_is_retired(log->config, 1));
	/* The id of a removed member can't be used again. */
	assert_int_equal(add_member(log, 6, 1, "127.0.0.1:1").status,
			 CF_COMMAND_INVALID);
}

/* ---- Serialisation ------------------------------------------------- */

static void fill_config(struct log *log)
{
	uint32_t voters[] = { 1, 2, 3 };

	add_member(log, 1, 1, "127.0.0.1:1");
	apply_members(log, voters, 3, NULL, 0);
	set_class(log, 2, 0, "b", 200, 99000);
	set_class(log, 3, 0, "a", 100, 99500);
	set_dc(log, 4, 0, "olten", false);
	set_team(log, 5, "t", 300);
	fence(log, 6, 42);
	set_class(log, 7, 1, "a", 900, 99000);
}

static void test_snapshot_keeps_all(void **state)
{
	struct log *log = *state;
	struct log copy = { .config = cf_config_create() };
	g_autoptr(GBytes) saved = NULL;
	g_autoptr(GBytes) again = NULL;

	fill_config(log);
	saved = cf_config_save(log->config);
	assert_true(cf_config_load(copy.config, saved, NULL));
	again = cf_config_save(copy.config);
	assert_true(g_bytes_equal(saved, again));
	/* The copy treats further commands as the original does. */
	copy.index = log->index;
	copy.wall_ms = log->wall_ms;
	assert_int_equal(set_class(&copy, 3, 0, "a", 1, 99000).revision,
			 set_class(log, 3, 0, "a", 1, 99000).revision);
	assert_int_equal(set_class(&copy, 8, 1, "b", 1, 99000).status,
			 CF_COMMAND_CONFLICT);
	cf_config_destroy(copy.config);
}

static void test_adopt_only_newer(void **state)
{
	struct log *log = *state;
	struct cf_config *agent = cf_config_create();
	g_autoptr(GBytes) older = NULL;
	g_autoptr(GBytes) newer = NULL;
	gsize size;
	const uint8_t *data;

	fill_config(log);
	older = cf_config_pack(log->config);
	set_dc(log, 9, 0, "olten", true);
	newer = cf_config_pack(log->config);
	data = g_bytes_get_data(newer, &size);
	assert_true(cf_config_adopt(agent, data, size, NULL));
	assert_true(cf_config_is_fenced(agent, 42));
	assert_int_equal(cf_config_find_class(agent, "b")->target_ms, 200);
	assert_false(cf_config_adopt(agent, data, size, NULL));
	data = g_bytes_get_data(older, &size);
	assert_false(cf_config_adopt(agent, data, size, NULL));
	assert_true(cf_config_in_service(agent, "olten"));
	assert_int_equal(cf_config_revision(agent),
			 cf_config_revision(log->config));
	cf_config_destroy(agent);
}

static void test_malformed_input_changes_nothing(void **state)
{
	struct log *log = *state;
	struct cf_config *agent = cf_config_create();
	g_autoptr(GBytes) packed = NULL;
	g_autoptr(GBytes) saved = NULL;
	g_autofree uint8_t *bytes = NULL;
	gsize size;

	fill_config(log);
	packed = cf_config_pack(log->config);
	size = g_bytes_get_size(packed);
	bytes = g_memdup2(g_bytes_get_data(packed, NULL), size);
	for (gsize cut = 0; cut < size; cut++) {
		g_autoptr(GError) error = NULL;

		if (cf_config_adopt(agent, bytes, cut, &error)) {
			/* Data that ends between two fields is still valid. */
			cf_config_destroy(agent);
			agent = cf_config_create();
			continue;
		}
		assert_non_null(error);
		assert_int_equal(cf_config_revision(agent), 0);
	}
	saved = g_bytes_new("\x0a\xff", 2);
	assert_false(cf_config_load(log->config, saved, NULL));
	assert_non_null(cf_config_find_class(log->config, "a"));
	cf_config_destroy(agent);
}

#define CASE(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_concurrent_changes),
		CASE(test_removed_subject_conflicts),
		CASE(test_outcome_expires),
		CASE(test_class_fields),
		CASE(test_team_shares),
		CASE(test_malformed_command),
		CASE(test_data_centres),
		CASE(test_fences_last_for_the_ledger_horizon),
		CASE(test_views),
		CASE(test_member_add_and_remove),
		CASE(test_snapshot_keeps_all),
		CASE(test_adopt_only_newer),
		CASE(test_malformed_input_changes_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
