/*
 * config_read: parses the configuration from a snapshot of the log's
 * state machine, or from the form that agents and dispatchers receive.
 * The input is validated completely before it replaces the current
 * configuration.
 */
#include "lib/config_state.h"

#include <string.h>

/* ---- Reading ------------------------------------------------------- */

void config_read_class(const struct Cfw__TaskClass *from, struct cf_class *to)
{
	memset(to, 0, sizeof(*to));
	g_strlcpy(to->name, from->name, sizeof(to->name));
	to->target_ms = from->target_ms;
	to->percentile_milli = from->percentile_milli;
	to->idempotent = from->idempotent;
}

void config_read_member(const struct Cfw__Member *from, struct cf_member *to)
{
	memset(to, 0, sizeof(*to));
	to->id = from->id;
	g_strlcpy(to->address, from->address, sizeof(to->address));
	g_strlcpy(to->admin_address, from->admin_address,
		  sizeof(to->admin_address));
	to->has_identity = from->identity.len == sizeof(to->identity);
	if (to->has_identity)
		memcpy(to->identity, from->identity.data, sizeof(to->identity));
	to->voter = from->voter;
	to->leaving = from->leaving;
}

/* Inserts in the order of names. A duplicate name is an error. */
static const char *insert_by_name(GArray *array, const void *element)
{
	guint at;

	if (config_find_name(array, element, &at))
		return "name: duplicate";
	g_array_insert_vals(array, at, element, 1);
	return NULL;
}

static const char *read_classes(struct cf_config *config,
				const struct Cfw__Configuration *from)
{
	const char *fault = from->n_classes > CONFIG_CLASSES_MAX
				    ? "classes: too many"
				    : NULL;

	for (size_t i = 0; !fault && i < from->n_classes; i++) {
		struct cf_class task_class;

		fault = config_check_class(from->classes[i]);
		if (fault)
			break;
		config_read_class(from->classes[i], &task_class);
		fault = insert_by_name(config->classes, &task_class);
	}
	return fault;
}

static const char *read_data_centres(struct cf_config *config,
				     const struct Cfw__Configuration *from)
{
	const char *fault = from->n_data_centres > CONFIG_DATA_CENTRES_MAX
				    ? "data_centres: too many"
				    : NULL;

	for (size_t i = 0; !fault && i < from->n_data_centres; i++) {
		const struct Cfw__DataCentre *read = from->data_centres[i];
		struct cf_data_centre dc = { .in_service = read->in_service };

		fault = config_check_data_centre(read);
		if (fault)
			break;
		g_strlcpy(dc.name, read->name, sizeof(dc.name));
		fault = insert_by_name(config->data_centres, &dc);
	}
	return fault;
}

static const char *read_teams(struct cf_config *config,
			      const struct Cfw__Configuration *from)
{
	const char *fault = from->n_teams > CONFIG_TEAMS_MAX ? "teams: too many"
							     : NULL;

	for (size_t i = 0; !fault && i < from->n_teams; i++) {
		const struct Cfw__Team *read = from->teams[i];
		struct cf_team team = { .share_milli = read->share_milli };

		fault = config_check_team(read);
		if (fault)
			break;
		g_strlcpy(team.name, read->name, sizeof(team.name));
		fault = insert_by_name(config->teams, &team);
	}
	return fault;
}

static const char *read_members(struct cf_config *config,
				const struct Cfw__Configuration *from)
{
	for (size_t i = 0; i < from->n_members; i++) {
		const char *fault = config_check_member(from->members[i]);
		struct cf_member member;
		guint at;

		if (fault)
			return fault;
		if (config_find_member(config->members, from->members[i]->id,
				       &at))
			return "members: duplicate id";
		config_read_member(from->members[i], &member);
		g_array_insert_val(config->members, at, member);
	}
	return NULL;
}

static const char *read_views(struct cf_config *config,
			      const struct Cfw__Configuration *from)
{
	uint64_t before = 0;

	for (size_t i = 0; i < from->n_views; i++) {
		const struct Cfw__View *read = from->views[i];
		struct cf_view view = { .number = read->number,
					.horizon_ms = read->horizon_ms };

		if (read->number <= before)
			return "views: not in order";
		if (!read->n_voters || read->n_voters > CF_MEMBERS_MAX)
			return "voters: must be 1..7";
		if (read->n_learners > CF_MEMBERS_MAX)
			return "learners: must be at most 7";
		before = read->number;
		view.members.n_voters = (uint32_t)read->n_voters;
		view.members.n_learners = (uint32_t)read->n_learners;
		memcpy(view.members.voters, read->voters,
		       read->n_voters * sizeof(uint32_t));
		if (read->n_learners)
			memcpy(view.members.learners, read->learners,
			       read->n_learners * sizeof(uint32_t));
		g_array_append_val(config->views, view);
	}
	return NULL;
}

static const char *read_configuration(struct cf_config *config,
				      const struct Cfw__Configuration *from)
{
	const char *fault = read_classes(config, from);

	if (!fault)
		fault = read_data_centres(config, from);
	if (!fault)
		fault = read_teams(config, from);
	if (!fault)
		fault = read_members(config, from);
	if (!fault)
		fault = read_views(config, from);
	for (size_t i = 0; !fault && i < from->n_fences; i++) {
		struct config_fence fence = {
			.incarnation = from->fences[i]->incarnation,
			.wall_ms = from->fences[i]->wall_ms
		};

		g_array_append_val(config->fences, fence);
	}
	if (from->routes && from->routes->version) {
		config->routes_version = from->routes->version;
		config->routes = g_bytes_new(from->routes->document.data,
					     from->routes->document.len);
	}
	config->revision = from->revision;
	return fault;
}

static const char *read_outcomes(struct cf_config *config,
				 const struct Cfw__ConfigSnapshot *from)
{
	for (size_t i = 0; i < from->n_outcomes; i++) {
		const struct Cfw__Outcome *read = from->outcomes[i];
		struct config_outcome outcome = { .wall_ms = read->wall_ms };

		if (read->command_id.len != CONFIG_COMMAND_ID_SIZE)
			return "command_id: must have 16 bytes";
		if (read->status > CF_COMMAND_NOT_FOUND)
			return "status: unknown";
		memcpy(outcome.command_id, read->command_id.data,
		       CONFIG_COMMAND_ID_SIZE);
		outcome.result.status = (enum cf_command_status)read->status;
		outcome.result.revision = read->revision;
		g_strlcpy(outcome.result.message, read->message,
			  sizeof(outcome.result.message));
		if (!config_add_outcome(config, &outcome))
			return "command_id: duplicate";
	}
	return NULL;
}

static const char *read_log_state(struct cf_config *config,
				  const struct Cfw__ConfigSnapshot *from)
{
	const char *fault = read_outcomes(config, from);

	for (size_t i = 0; !fault && i < from->n_subjects; i++) {
		const struct Cfw__Subject *read = from->subjects[i];
		struct config_subject subject = { .revision = read->revision,
						  .wall_ms = read->wall_ms };

		if (strlen(read->name) >= sizeof(subject.name))
			return "subjects: name too long";
		g_strlcpy(subject.name, read->name, sizeof(subject.name));
		fault = insert_by_name(config->subjects, &subject);
	}
	if (from->n_retired)
		g_array_append_vals(config->retired, from->retired,
				    (guint)from->n_retired);
	config->forgotten_revision = from->forgotten_revision;
	config->wall_ms = from->wall_ms;
	return fault;
}

static GQuark config_error_quark(void)
{
	return g_quark_from_static_string("cf-config");
}

/* Replaces the configuration by fresh if there is no fault. Frees fresh in
 * any case. */
static bool install_config(struct cf_config *config, struct cf_config *fresh,
			   const char *fault, GError **error)
{
	struct cf_config old = *config;

	if (fault) {
		cf_config_destroy(fresh);
		g_set_error(error, config_error_quark(), 0, "configuration: %s",
			    fault);
		return false;
	}
	*config = *fresh;
	*fresh = old;
	cf_config_destroy(fresh);
	return true;
}

bool cf_config_load(struct cf_config *config, GBytes *snapshot, GError **error)
{
	gsize size;
	const uint8_t *data = g_bytes_get_data(snapshot, &size);
	struct Cfw__ConfigSnapshot *read =
		cfw__config_snapshot__unpack(NULL, size, data);
	struct cf_config *fresh = cf_config_create();
	const char *fault = "snapshot: malformed";

	if (read && read->configuration) {
		fault = read_configuration(fresh, read->configuration);
		if (!fault)
			fault = read_log_state(fresh, read);
	}
	if (read)
		cfw__config_snapshot__free_unpacked(read, NULL);
	return install_config(config, fresh, fault, error);
}

/* Routes that came apart are kept. */
static void keep_newer_routes(const struct cf_config *from,
			      struct cf_config *fresh)
{
	if (from->routes && from->routes_version > fresh->routes_version)
		config_replace_routes(fresh, from->routes_version, from->routes,
				      false);
}

bool cf_config_adopt(struct cf_config *config, const void *data,
		     size_t size_bytes, GError **error)
{
	struct Cfw__Configuration *read =
		cfw__configuration__unpack(NULL, size_bytes, data);
	struct cf_config *fresh = cf_config_create();
	const char *fault = "malformed";

	if (read && read->revision <= config->revision)
		fault = "revision: not greater than the current one";
	else if (read)
		fault = read_configuration(fresh, read);
	if (read)
		cfw__configuration__free_unpacked(read, NULL);
	keep_newer_routes(config, fresh);
	return install_config(config, fresh, fault, error);
}
