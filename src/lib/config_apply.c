/*
 * config_apply: the state machine of the replicated log. Each decision
 * depends only on the entries, with wall_ms of the entry as the present
 * time, so that all members that apply the same entries reach the same
 * state.
 *
 * A refused change alters nothing but the stored outcomes. The state
 * machine stores the newest revision of each subject (a class, a data
 * centre, a team, the membership), so that it can report a conflict for
 * a change that is based on an older revision.
 */
#include "lib/config_state.h"

#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define OUTCOME_KEEP_MS 3600000
#define OUTCOMES_MAX 4096
/* Applies to the revisions of removed classes, data centres and teams. */
#define SUBJECT_KEEP_MS 86400000
#define FENCE_KEEP_MS (CF_LEDGER_HORIZON_MS + 60000)
/* Longest time for which a voter that is cut off from the group may go on
 * voting in an old view. */
#define VIEW_LEASE_BOUND_MS 2500

/* ---- Expiry -------------------------------------------------------- */

static void drop_oldest_outcome(struct cf_config *config)
{
	struct config_outcome *outcome = g_queue_pop_head(&config->outcomes);
	GBytes *id =
		g_bytes_new_static(outcome->command_id, CONFIG_COMMAND_ID_SIZE);

	g_hash_table_remove(config->outcome_by_id, id);
	g_bytes_unref(id);
	g_free(outcome);
}

static void expire_outcomes(struct cf_config *config)
{
	const struct config_outcome *oldest;

	while ((oldest = g_queue_peek_head(&config->outcomes))) {
		if (config->outcomes.length <= OUTCOMES_MAX &&
		    oldest->wall_ms + OUTCOME_KEEP_MS > config->wall_ms)
			break;
		drop_oldest_outcome(config);
	}
}

static void expire_fences(struct cf_config *config)
{
	guint n = 0;

	while (n < config->fences->len &&
	       g_array_index(config->fences, struct config_fence, n).wall_ms +
			       FENCE_KEEP_MS <
		       config->wall_ms)
		n++;
	if (n)
		g_array_remove_range(config->fences, 0, n);
}

/* A view is needed as long as keys up to the horizon of its successor can
 * still be claimed. */
static void expire_views(struct cf_config *config)
{
	int64_t oldest_key_ms =
		config->wall_ms - CF_LEDGER_HORIZON_MS - CF_CLOCK_SKEW_MS;

	while (config->views->len > 1 &&
	       g_array_index(config->views, struct cf_view, 1).horizon_ms <
		       oldest_key_ms)
		g_array_remove_index(config->views, 0);
}

static bool subject_exists(const struct cf_config *config, const char *subject)
{
	const char *name = strchr(subject, '/');
	guint at;

	if (!name)
		return true;
	if (g_str_has_prefix(subject, "class/"))
		return config_find_name(config->classes, name + 1, &at);
	if (g_str_has_prefix(subject, "dc/"))
		return config_find_name(config->data_centres, name + 1, &at);
	return config_find_name(config->teams, name + 1, &at);
}

static void expire_subjects(struct cf_config *config)
{
	for (guint i = config->subjects->len; i-- > 0;) {
		const struct config_subject *subject = &g_array_index(
			config->subjects, struct config_subject, i);

		if (subject->wall_ms + SUBJECT_KEEP_MS >= config->wall_ms ||
		    subject_exists(config, subject->name))
			continue;
		config->forgotten_revision =
			MAX(config->forgotten_revision, subject->revision);
		g_array_remove_index(config->subjects, i);
	}
}

static void expire_old(struct cf_config *config)
{
	expire_outcomes(config);
	expire_fences(config);
	expire_views(config);
	expire_subjects(config);
}

/* ---- Outcomes and subjects ----------------------------------------- */

bool config_add_outcome(struct cf_config *config,
			const struct config_outcome *outcome)
{
	struct config_outcome *kept = g_memdup2(outcome, sizeof(*outcome));
	GBytes *id =
		g_bytes_new_static(kept->command_id, CONFIG_COMMAND_ID_SIZE);

	if (g_hash_table_contains(config->outcome_by_id, id)) {
		g_bytes_unref(id);
		g_free(kept);
		return false;
	}
	g_queue_push_tail(&config->outcomes, kept);
	g_hash_table_insert(config->outcome_by_id, id, kept);
	return true;
}

static const struct config_outcome *
find_outcome(const struct cf_config *config, const struct Cfw__Command *command)
{
	g_autoptr(GBytes) id = g_bytes_new_static(command->command_id.data,
						  command->command_id.len);

	return g_hash_table_lookup(config->outcome_by_id, id);
}

static uint64_t subject_revision(const struct cf_config *config,
				 const char *subject)
{
	guint at;

	if (!config_find_name(config->subjects, subject, &at))
		return config->forgotten_revision;
	return g_array_index(config->subjects, struct config_subject, at)
		.revision;
}

static void set_subject_revision(struct cf_config *config, const char *subject,
				 uint64_t revision)
{
	struct config_subject *found;
	guint at;

	if (!config_find_name(config->subjects, subject, &at)) {
		struct config_subject fresh = { 0 };

		g_strlcpy(fresh.name, subject, sizeof(fresh.name));
		g_array_insert_val(config->subjects, at, fresh);
	}
	found = &g_array_index(config->subjects, struct config_subject, at);
	found->revision = revision;
	found->wall_ms = config->wall_ms;
}

/* Writes the subject of a change. Returns false for changes without a
 * subject, such as a fence or an identity. */
static bool format_subject(const struct Cfw__Command *command,
			   char subject[CONFIG_SUBJECT_SIZE])
{
	const char *kind = "members";
	const char *name = NULL;

	switch (command->change_case) {
	case CFW__COMMAND__CHANGE_CLASS_SET:
		kind = "class/";
		name = command->class_set->name;
		break;
	case CFW__COMMAND__CHANGE_CLASS_REMOVE:
		kind = "class/";
		name = command->class_remove;
		break;
	case CFW__COMMAND__CHANGE_DATA_CENTRE_SET:
		kind = "dc/";
		name = command->data_centre_set->name;
		break;
	case CFW__COMMAND__CHANGE_DATA_CENTRE_REMOVE:
		kind = "dc/";
		name = command->data_centre_remove;
		break;
	case CFW__COMMAND__CHANGE_TEAM_SET:
		kind = "team/";
		name = command->team_set->name;
		break;
	case CFW__COMMAND__CHANGE_TEAM_REMOVE:
		kind = "team/";
		name = command->team_remove;
		break;
	case CFW__COMMAND__CHANGE_MEMBER_ADD:
	case CFW__COMMAND__CHANGE_MEMBER_REMOVE:
		break;
	default:
		return false;
	}
	g_snprintf(subject, CONFIG_SUBJECT_SIZE, "%s%s", kind,
		   name ? name : "");
	return true;
}

/* ---- Entries ------------------------------------------------------- */

static enum cf_command_status
check_base_revision(const struct cf_config *config,
		    const struct Cfw__Command *command,
		    struct cf_command_result *result)
{
	char subject[CONFIG_SUBJECT_SIZE];

	if (!command->base_revision)
		return CF_COMMAND_DONE;
	if (command->base_revision > config->revision)
		return config_refuse(result, CF_COMMAND_INVALID,
				     "base_revision: is not yet reached");
	if (!format_subject(command, subject))
		return CF_COMMAND_DONE;
	if (subject_revision(config, subject) > command->base_revision)
		return config_refuse(result, CF_COMMAND_CONFLICT,
				     "base_revision: it was changed since");
	return CF_COMMAND_DONE;
}

static void execute_command(struct cf_config *config,
			    const struct Cfw__Command *command, uint64_t index,
			    struct cf_command_result *result)
{
	char subject[CONFIG_SUBJECT_SIZE];

	result->status = check_base_revision(config, command, result);
	if (result->status == CF_COMMAND_DONE)
		result->status = config_change(config, command, result);
	if (result->status == CF_COMMAND_DONE) {
		config->revision = index;
		if (format_subject(command, subject))
			set_subject_revision(config, subject, index);
	}
	result->revision = config->revision;
}

static void apply_command(struct cf_config *config,
			  const struct cf_entry *entry,
			  struct cf_command_result *result)
{
	gsize size = 0;
	const uint8_t *data = entry->data ? g_bytes_get_data(entry->data, &size)
					  : NULL;
	struct Cfw__Command *command = cfw__command__unpack(NULL, size, data);
	const struct config_outcome *known;
	struct config_outcome outcome = { .wall_ms = config->wall_ms };

	result->revision = config->revision;
	if (!command) {
		config_refuse(result, CF_COMMAND_INVALID,
			      "command: not readable");
		return;
	}
	if (command->command_id.len != CONFIG_COMMAND_ID_SIZE) {
		config_refuse(result, CF_COMMAND_INVALID,
			      "command_id: must have 16 bytes");
		cfw__command__free_unpacked(command, NULL);
		return;
	}
	known = find_outcome(config, command);
	if (known) {
		*result = known->result;
	} else {
		execute_command(config, command, entry->index, result);
		memcpy(outcome.command_id, command->command_id.data,
		       CONFIG_COMMAND_ID_SIZE);
		outcome.result = *result;
		config_add_outcome(config, &outcome);
	}
	cfw__command__free_unpacked(command, NULL);
}

static bool read_members(const struct cf_entry *entry,
			 struct cf_members *members)
{
	gsize size = 0;
	const uint8_t *data = entry->data ? g_bytes_get_data(entry->data, &size)
					  : NULL;
	struct Cfw__Members *packed = cfw__members__unpack(NULL, size, data);
	bool ok = packed && packed->n_voters &&
		  packed->n_voters <= CF_MEMBERS_MAX &&
		  packed->n_learners <= CF_MEMBERS_MAX;

	memset(members, 0, sizeof(*members));
	for (size_t i = 0; ok && i < packed->n_voters; i++)
		members->voters[members->n_voters++] = packed->voters[i];
	for (size_t i = 0; ok && i < packed->n_learners; i++)
		members->learners[members->n_learners++] = packed->learners[i];
	if (packed)
		cfw__members__free_unpacked(packed, NULL);
	return ok;
}

static bool same_voters(const struct cf_members *a, const struct cf_members *b)
{
	if (a->n_voters != b->n_voters)
		return false;
	for (uint32_t i = 0; i < a->n_voters; i++) {
		if (!config_has_id(b->voters, b->n_voters, a->voters[i]))
			return false;
	}
	return true;
}

/* Updates the voter flags and removes leaving members that are no longer
 * part of the membership in the log. */
static void update_member_roles(struct cf_config *config,
				const struct cf_members *members)
{
	for (guint i = config->members->len; i-- > 0;) {
		struct cf_member *member =
			&g_array_index(config->members, struct cf_member, i);

		member->voter = config_has_id(members->voters,
					      members->n_voters, member->id);
		if (!member->leaving || member->voter ||
		    config_has_id(members->learners, members->n_learners,
				  member->id))
			continue;
		g_array_append_val(config->retired, member->id);
		g_array_remove_index(config->members, i);
	}
}

/* A change of the voters creates a view. A change of learners alone
 * doesn't, because learners have no vote. */
static void apply_members(struct cf_config *config,
			  const struct cf_entry *entry)
{
	struct cf_view view = { .number = entry->index };
	struct cf_view *newest = NULL;

	if (!read_members(entry, &view.members))
		return;
	if (config->views->len) {
		newest = &g_array_index(config->views, struct cf_view,
					config->views->len - 1);
		view.horizon_ms = config->wall_ms + VIEW_LEASE_BOUND_MS +
				  2 * CF_CLOCK_SKEW_MS;
	}
	if (newest && same_voters(&newest->members, &view.members))
		newest->members = view.members;
	else
		g_array_append_val(config->views, view);
	update_member_roles(config, &view.members);
	config->revision = entry->index;
}

void cf_config_apply(struct cf_config *config, const struct cf_entry *entry,
		     struct cf_command_result *result)
{
	struct cf_command_result local;

	if (!result)
		result = &local;
	memset(result, 0, sizeof(*result));
	config->wall_ms = MAX(config->wall_ms, entry->wall_ms);
	expire_old(config);
	if (entry->kind == CF_ENTRY_COMMAND)
		apply_command(config, entry, result);
	else if (entry->kind == CF_ENTRY_MEMBERS)
		apply_members(config, entry);
	result->revision = result->revision ? result->revision
					    : config->revision;
}
