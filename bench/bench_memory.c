/*
 * bench_memory: measures the memory per stored item (class, team, vote,
 * queued task, ended task) in the coordination library, and the cost of
 * configuration snapshots. Memory is read from the allocator (mallinfo2).
 * Prints one slope per line, over the number of items (see fit.h).
 */
#include "chervilferry.h"
#include "base/clock.h"
#include "proto/wire.pb-c.h"

#include "fit.h"

#include <malloc.h>
#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define WALL_MS INT64_C(1790000000000)
#define PAYLOAD_BYTES 200
#define RESULT_BYTES 100
#define TASKS_PER_JOB 20
#define SNAPSHOT_ROUNDS 20

/* ---- Helpers ------------------------------------------------------ */

static double bytes_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

static void make_key(struct cf_key *key, uint64_t i)
{
	uint64_t random = i * UINT64_C(0x9e3779b97f4a7c15);

	cf_key_make(key, WALL_MS, random, ~random);
}

/* ---- Configuration ------------------------------------------------- */

static void apply_command(struct cf_config *config, Cfw__Command *command,
			  uint64_t i)
{
	uint8_t id[16] = { 0 };
	struct cf_entry entry = { .index = cf_config_revision(config) + 1,
				  .term = 1,
				  .kind = CF_ENTRY_COMMAND,
				  .wall_ms = WALL_MS };
	size_t size;
	uint8_t *data;

	memcpy(id, &i, sizeof(i));
	command->command_id.data = id;
	command->command_id.len = sizeof(id);
	size = cfw__command__get_packed_size(command);
	data = g_malloc(size);
	cfw__command__pack(command, data);
	entry.data = g_bytes_new_take(data, size);
	cf_config_apply(config, &entry, NULL);
	g_bytes_unref(entry.data);
	command->command_id.data = NULL;
}

static void set_class(struct cf_config *config, uint64_t i)
{
	Cfw__Command command = CFW__COMMAND__INIT;
	Cfw__TaskClass class = CFW__TASK_CLASS__INIT;
	char name[32];

	g_snprintf(name, sizeof(name), "class-%u", (unsigned int)i);
	class.name = name;
	class.target_ms = 1000;
	class.percentile_milli = 95000;
	command.change_case = CFW__COMMAND__CHANGE_CLASS_SET;
	command.class_set = &class;
	apply_command(config, &command, i);
}

static void set_team(struct cf_config *config, uint64_t i)
{
	Cfw__Command command = CFW__COMMAND__INIT;
	Cfw__Team team = CFW__TEAM__INIT;
	char name[32];

	g_snprintf(name, sizeof(name), "team-%u", (unsigned int)i);
	team.name = name;
	team.share_milli = 8;
	command.change_case = CFW__COMMAND__CHANGE_TEAM_SET;
	command.team_set = &team;
	apply_command(config, &command, i);
}

typedef void set_fn(struct cf_config *config, uint64_t i);

static void measure_config(const char *what, set_fn *set)
{
	static const uint64_t sizes[] = { 10, 50, 120 };
	struct fit memory = { 0 }, packed = { 0 };
	g_autofree char *memory_name = g_strdup_printf("%s_memory", what);
	g_autofree char *packed_name = g_strdup_printf("%s_packed", what);

	for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
		double before = bytes_in_use();
		struct cf_config *config = cf_config_create();
		GBytes *bytes;

		for (uint64_t i = 0; i < sizes[k]; i++)
			set(config, i);
		fit_add(&memory, (double)sizes[k], bytes_in_use() - before);
		bytes = cf_config_pack(config);
		fit_add(&packed, (double)sizes[k],
			(double)g_bytes_get_size(bytes));
		g_bytes_unref(bytes);
		cf_config_destroy(config);
	}
	fit_print(&memory, memory_name, "B, with its outcome");
	fit_print(&packed, packed_name, "B in a grant");
}

/* Measures snapshots over the number of changes whose outcome the
 * configuration remembers. The changes cycle through 100 classes. */
static void measure_snapshot(void)
{
	static const uint64_t sizes[] = { 200, 1000, 4000 };
	struct fit bytes = { 0 }, save = { 0 }, load = { 0 };

	for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
		struct cf_config *config = cf_config_create();
		struct cf_config *copy = cf_config_create();
		GBytes *saved = NULL;
		int64_t began_us, save_us, load_us;

		for (uint64_t i = 0; i < sizes[k]; i++) {
			Cfw__Command command = CFW__COMMAND__INIT;
			Cfw__TaskClass class = CFW__TASK_CLASS__INIT;
			char name[32];

			g_snprintf(name, sizeof(name), "class-%u",
				   (unsigned int)(i % 100));
			class.name = name;
			class.target_ms = 1 + (uint32_t)i;
			class.percentile_milli = 95000;
			command.change_case = CFW__COMMAND__CHANGE_CLASS_SET;
			command.class_set = &class;
			apply_command(config, &command, i);
		}
		began_us = clock_now_us();
		for (int i = 0; i < SNAPSHOT_ROUNDS; i++) {
			g_clear_pointer(&saved, g_bytes_unref);
			saved = cf_config_save(config);
		}
		save_us = clock_now_us() - began_us;
		began_us = clock_now_us();
		for (int i = 0; i < SNAPSHOT_ROUNDS; i++)
			cf_config_load(copy, saved, NULL);
		load_us = clock_now_us() - began_us;
		fit_add(&bytes, (double)sizes[k],
			(double)g_bytes_get_size(saved));
		fit_add(&save, (double)sizes[k],
			(double)save_us / SNAPSHOT_ROUNDS);
		fit_add(&load, (double)sizes[k],
			(double)load_us / SNAPSHOT_ROUNDS);
		g_bytes_unref(saved);
		cf_config_destroy(copy);
		cf_config_destroy(config);
	}
	fit_print(&bytes, "snapshot_bytes", "B/remembered change");
	fit_print(&save, "snapshot_save_cpu", "us/remembered change");
	fit_print(&load, "snapshot_load_cpu", "us/remembered change");
}

/* ---- Ledger and gate ----------------------------------------------- */

static void measure_ledger(void)
{
	static const uint64_t sizes[] = { 20000, 100000, 400000 };
	struct fit memory = { 0 }, cpu = { 0 };

	for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
		double before = bytes_in_use();
		struct cf_ledger *ledger =
			cf_ledger_create(CF_LEDGER_HORIZON_MS, 0);
		int64_t began_us = clock_now_us();

		for (uint64_t i = 0; i < sizes[k]; i++) {
			struct cf_claim claim = { .owner = 1 + i % 10 };
			uint64_t owner;
			uint64_t random = i * UINT64_C(0x9e3779b97f4a7c15);

			/* Spreads the key times evenly over 10 minutes. */
			cf_key_make(
				&claim.key,
				WALL_MS - CF_LEDGER_HORIZON_MS + 1 +
					(int64_t)(i *
						  (CF_LEDGER_HORIZON_MS - 2) /
						  sizes[k]),
				random, ~random);
			cf_ledger_vote(ledger, &claim, true, false, WALL_MS,
				       &owner);
		}
		fit_add(&cpu, (double)sizes[k],
			(double)(clock_now_us() - began_us));
		fit_add(&memory, (double)sizes[k], bytes_in_use() - before);
		cf_ledger_destroy(ledger);
	}
	fit_print(&memory, "vote_memory", "B/vote");
	fit_print(&cpu, "vote_cpu", "us/vote, in the ledger");
}

static void offer_task(struct cf_gate *gate, uint64_t i, struct cf_task *task)
{
	static const char payload[PAYLOAD_BYTES];

	memset(task, 0, sizeof(*task));
	make_key(&task->key, i / TASKS_PER_JOB);
	task->index = (uint32_t)(i % TASKS_PER_JOB);
	task->dispatcher = 1;
	task->job = 1 + i / TASKS_PER_JOB;
	g_strlcpy(task->class_name, "default", sizeof(task->class_name));
	task->payload = g_bytes_new(payload, sizeof(payload));
	task->predicted_ms = 100;
	task->slack_end_ms = 1000 + (int64_t)i % 100;
	task->deadline_ms = INT64_MAX / 2;
	cf_gate_offer(gate, task, false, false, 1);
	g_bytes_unref(task->payload);
}

static void measure_queued(void)
{
	static const uint64_t sizes[] = { 1000, 5000, 20000 };
	struct fit memory = { 0 };

	for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
		const struct cf_capacity capacity = { .slots = 1 };
		double before = bytes_in_use();
		struct cf_gate *gate =
			cf_gate_create(&capacity, CF_LEDGER_HORIZON_MS);
		struct cf_task task;

		for (uint64_t i = 0; i < sizes[k]; i++)
			offer_task(gate, i, &task);
		fit_add(&memory, (double)sizes[k], bytes_in_use() - before);
		cf_gate_destroy(gate);
	}
	fit_print(&memory, "queued_task_memory", "B, payload 200 B");
}

static void run_task(struct cf_gate *gate, uint64_t i)
{
	static const char result[RESULT_BYTES];
	const struct cf_gate_permit permit = { true, true, false };
	GBytes *bytes = g_bytes_new(result, sizeof(result));
	struct cf_task task;

	offer_task(gate, i, &task);
	cf_gate_start(gate, &permit, 1);
	cf_gate_finish(gate, &task.key, task.index, true, bytes, 1);
	g_bytes_unref(bytes);
}

static void measure_gate(void)
{
	static const uint64_t sizes[] = { 2000, 20000, 100000 };
	struct fit memory = { 0 }, cpu = { 0 };

	for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
		const struct cf_capacity capacity = { .slots = 8 };
		double before = bytes_in_use();
		struct cf_gate *gate =
			cf_gate_create(&capacity, CF_LEDGER_HORIZON_MS);
		int64_t began_us = clock_now_us();

		for (uint64_t i = 0; i < sizes[k]; i++)
			run_task(gate, i);
		fit_add(&cpu, (double)sizes[k],
			(double)(clock_now_us() - began_us));
		fit_add(&memory, (double)sizes[k], bytes_in_use() - before);
		cf_gate_destroy(gate);
	}
	fit_print(&memory, "gate_record_memory", "B/ended task, result 100 B");
	fit_print(&cpu, "gate_cpu", "us/task, in the gate");
}

int main(void)
{
	measure_config("class", set_class);
	measure_config("team", set_team);
	measure_snapshot();
	measure_ledger();
	measure_queued();
	measure_gate();
	return 0;
}
