/*
 * config_change: applies one change to the configuration. A change is
 * validated completely before it is made; a refusal names the field that
 * is at fault.
 */
#include "lib/config_state.h"

#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define SHARES_MAX_MILLI 1000

/* ---- Helpers ------------------------------------------------------- */

enum cf_command_status config_refuse(struct cf_command_result *result,
				     enum cf_command_status status,
				     const char *message)
{
	g_strlcpy(result->message, message, sizeof(result->message));
	result->status = status;
	return status;
}

bool config_has_id(const uint32_t *ids, uint32_t n, uint32_t id)
{
	for (uint32_t i = 0; i < n; i++) {
		if (ids[i] == id)
			return true;
	}
	return false;
}

/* ---- Changes ------------------------------------------------------- */

static enum cf_command_status set_class(struct cf_config *config,
					const struct Cfw__TaskClass *change,
					struct cf_command_result *result)
{
	const char *fault = config_check_class(change);
	struct cf_class task_class;
	guint at;

	if (fault)
		return config_refuse(result, CF_COMMAND_INVALID, fault);
	config_read_class(change, &task_class);
	if (config_find_name(config->classes, task_class.name, &at)) {
		g_array_index(config->classes, struct cf_class, at) =
			task_class;
		return CF_COMMAND_DONE;
	}
	if (config->classes->len >= CONFIG_CLASSES_MAX)
		return config_refuse(result, CF_COMMAND_INVALID,
				     "name: there are too many classes");
	g_array_insert_val(config->classes, at, task_class);
	return CF_COMMAND_DONE;
}

static enum cf_command_status
set_data_centre(struct cf_config *config, const struct Cfw__DataCentre *change,
		struct cf_command_result *result)
{
	const char *fault = config_check_data_centre(change);
	struct cf_data_centre dc = { .in_service = change->in_service };
	guint at;

	if (fault)
		return config_refuse(result, CF_COMMAND_INVALID, fault);
	g_strlcpy(dc.name, change->name, sizeof(dc.name));
	if (config_find_name(config->data_centres, dc.name, &at)) {
		g_array_index(config->data_centres, struct cf_data_centre, at) =
			dc;
		return CF_COMMAND_DONE;
	}
	if (config->data_centres->len >= CONFIG_DATA_CENTRES_MAX)
		return config_refuse(result, CF_COMMAND_INVALID,
				     "name: there are too many data centres");
	g_array_insert_val(config->data_centres, at, dc);
	return CF_COMMAND_DONE;
}

static uint32_t other_shares_milli(const struct cf_config *config,
				   const char *name)
{
	uint32_t sum = 0;

	for (guint i = 0; i < config->teams->len; i++) {
		const struct cf_team *team =
			&g_array_index(config->teams, struct cf_team, i);

		if (strcmp(team->name, name) != 0)
			sum += team->share_milli;
	}
	return sum;
}

static enum cf_command_status set_team(struct cf_config *config,
				       const struct Cfw__Team *change,
				       struct cf_command_result *result)
{
	const char *fault = config_check_team(change);
	struct cf_team team = { .share_milli = change->share_milli };
	guint at;

	if (fault)
		return config_refuse(result, CF_COMMAND_INVALID, fault);
	if (other_shares_milli(config, change->name) + team.share_milli >
	    SHARES_MAX_MILLI)
		return config_refuse(
			result, CF_COMMAND_INVALID,
			"share_milli: all teams' shares would add up "
			"to more than 1000");
	g_strlcpy(team.name, change->name, sizeof(team.name));
	if (config_find_name(config->teams, team.name, &at)) {
		g_array_index(config->teams, struct cf_team, at) = team;
		return CF_COMMAND_DONE;
	}
	if (config->teams->len >= CONFIG_TEAMS_MAX)
		return config_refuse(result, CF_COMMAND_INVALID,
				     "name: there are too many teams");
	g_array_insert_val(config->teams, at, team);
	return CF_COMMAND_DONE;
}

static enum cf_command_status remove_name(GArray *array, const char *name,
					  struct cf_command_result *result)
{
	const char *fault = config_check_name(name);
	guint at;

	if (fault)
		return config_refuse(result, CF_COMMAND_INVALID, fault);
	if (!config_find_name(array, name, &at))
		return config_refuse(result, CF_COMMAND_NOT_FOUND,
				     "name: there is none of this name");
	g_array_remove_index(array, at);
	return CF_COMMAND_DONE;
}

static bool is_voter(const struct cf_config *config, uint32_t id)
{
	const struct cf_view *newest;

	if (!config->views->len)
		return false;
	newest = &g_array_index(config->views, struct cf_view,
				config->views->len - 1);
	return config_has_id(newest->members.voters, newest->members.n_voters,
			     id);
}

static enum cf_command_status add_member(struct cf_config *config,
					 const struct Cfw__Member *change,
					 struct cf_command_result *result)
{
	const char *fault = config_check_member(change);
	struct cf_member member;
	guint at;

	if (fault)
		return config_refuse(result, CF_COMMAND_INVALID, fault);
	if (cf_config_is_retired(config, change->id))
		return config_refuse(
			result, CF_COMMAND_INVALID,
			"id: was a member's before, take a new one");
	if (config_find_member(config->members, change->id, &at))
		return config_refuse(result, CF_COMMAND_INVALID,
				     "id: is a member already");
	if (config->members->len >= CF_MEMBERS_MAX)
		return config_refuse(result, CF_COMMAND_INVALID,
				     "id: there are seven members already");
	config_read_member(change, &member);
	member.voter = is_voter(config, member.id);
	member.leaving = false;
	g_array_insert_val(config->members, at, member);
	return CF_COMMAND_DONE;
}

static enum cf_command_status remove_member(struct cf_config *config,
					    uint32_t id,
					    struct cf_command_result *result)
{
	struct cf_member *member;
	uint32_t remaining_voters = 0;
	guint at;

	if (!config_find_member(config->members, id, &at))
		return config_refuse(result, CF_COMMAND_NOT_FOUND,
				     "id: no member has it");
	for (guint i = 0; i < config->members->len; i++) {
		member = &g_array_index(config->members, struct cf_member, i);
		remaining_voters += member->id != id && member->voter &&
				    !member->leaving;
	}
	member = &g_array_index(config->members, struct cf_member, at);
	if (member->voter && !remaining_voters)
		return config_refuse(result, CF_COMMAND_INVALID,
				     "id: is the last voter");
	member->leaving = true;
	return CF_COMMAND_DONE;
}

static enum cf_command_status
register_identity(struct cf_config *config, const struct Cfw__Member *change,
		  struct cf_command_result *result)
{
	struct cf_member *member;
	guint at;

	if (!config_find_member(config->members, change->id, &at))
		return config_refuse(result, CF_COMMAND_NOT_FOUND,
				     "id: no member has it");
	member = &g_array_index(config->members, struct cf_member, at);
	if (change->identity.len != sizeof(member->identity))
		return config_refuse(result, CF_COMMAND_INVALID,
				     "identity: must have 16 bytes");
	if (member->has_identity)
		return config_refuse(result, CF_COMMAND_INVALID,
				     "identity: the member has one already");
	memcpy(member->identity, change->identity.data,
	       sizeof(member->identity));
	member->has_identity = true;
	return CF_COMMAND_DONE;
}

static enum cf_command_status add_fence(struct cf_config *config,
					uint64_t incarnation,
					struct cf_command_result *result)
{
	struct config_fence fence = { .incarnation = incarnation,
				      .wall_ms = config->wall_ms };

	if (!incarnation)
		return config_refuse(result, CF_COMMAND_INVALID,
				     "fence: must not be 0");
	if (!cf_config_is_fenced(config, incarnation))
		g_array_append_val(config->fences, fence);
	return CF_COMMAND_DONE;
}

/* A version that is not higher than the stored one counts as applied. */
static enum cf_command_status set_routes(struct cf_config *config,
					 const struct Cfw__RouteTable *change,
					 struct cf_command_result *result)
{
	g_autoptr(GBytes) document = NULL;

	if (!change->version || !change->document.len)
		return config_refuse(result, CF_COMMAND_INVALID,
				     "routes: need a version and a document");
	if (change->version <= config->routes_version)
		return CF_COMMAND_DONE;
	document = g_bytes_new(change->document.data, change->document.len);
	config_replace_routes(config, change->version, document, true);
	return CF_COMMAND_DONE;
}

enum cf_command_status config_change(struct cf_config *config,
				     const struct Cfw__Command *command,
				     struct cf_command_result *result)
{
	switch (command->change_case) {
	case CFW__COMMAND__CHANGE_CLASS_SET:
		return set_class(config, command->class_set, result);
	case CFW__COMMAND__CHANGE_CLASS_REMOVE:
		return remove_name(config->classes, command->class_remove,
				   result);
	case CFW__COMMAND__CHANGE_DATA_CENTRE_SET:
		return set_data_centre(config, command->data_centre_set,
				       result);
	case CFW__COMMAND__CHANGE_DATA_CENTRE_REMOVE:
		return remove_name(config->data_centres,
				   command->data_centre_remove, result);
	case CFW__COMMAND__CHANGE_TEAM_SET:
		return set_team(config, command->team_set, result);
	case CFW__COMMAND__CHANGE_TEAM_REMOVE:
		return remove_name(config->teams, command->team_remove, result);
	case CFW__COMMAND__CHANGE_MEMBER_ADD:
		return add_member(config, command->member_add, result);
	case CFW__COMMAND__CHANGE_MEMBER_REMOVE:
		return remove_member(config, command->member_remove, result);
	case CFW__COMMAND__CHANGE_MEMBER_IDENTITY:
		return register_identity(config, command->member_identity,
					 result);
	case CFW__COMMAND__CHANGE_ROUTES_SET:
		return set_routes(config, command->routes_set, result);
	case CFW__COMMAND__CHANGE_FENCE:
		return add_fence(config, command->fence, result);
	default:
		return config_refuse(result, CF_COMMAND_INVALID,
				     "change: none is named");
	}
}
