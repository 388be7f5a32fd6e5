/*
 * fuzz_config: feeds arbitrary bytes to the decoders of configurations,
 * snapshots, log entries and JSON commands. The first byte selects the
 * decoder.
 */
#include "chervilferry.h"
#include "verbs/command_json.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void apply_entry(struct cf_config *config, GBytes *bytes,
			enum cf_entry_kind kind)
{
	struct cf_entry entry = { .index = cf_config_revision(config) + 1,
				  .term = 1,
				  .kind = kind,
				  .wall_ms = 1,
				  .data = bytes };

	cf_config_apply(config, &entry, NULL);
}

/* Any configuration that was accepted can be saved and loaded again. */
static void check_round_trip(const struct cf_config *config)
{
	struct cf_config *copy = cf_config_create();
	g_autoptr(GBytes) saved = cf_config_save(config);

	if (!cf_config_load(copy, saved, NULL))
		g_error("a saved configuration could not be loaded");
	cf_config_destroy(copy);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct cf_config *config;
	g_autoptr(GBytes) bytes = NULL;
	GBytes *command;
	char fault[COMMAND_FAULT_SIZE];

	if (!size)
		return 0;
	config = cf_config_create();
	bytes = g_bytes_new(data + 1, size - 1);
	switch (data[0] % 5) {
	case 0:
		cf_config_adopt(config, data + 1, size - 1, NULL);
		break;
	case 1:
		cf_config_load(config, bytes, NULL);
		break;
	case 2:
		apply_entry(config, bytes, CF_ENTRY_COMMAND);
		break;
	case 3:
		apply_entry(config, bytes, CF_ENTRY_MEMBERS);
		break;
	default:
		command = command_from_json(data + 1, size - 1, fault);
		if (command) {
			apply_entry(config, command, CF_ENTRY_COMMAND);
			g_bytes_unref(command);
		}
		break;
	}
	check_round_trip(config);
	cf_config_destroy(config);
	return 0;
}
