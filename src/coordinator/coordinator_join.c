/*
 * coordinator_join: automatic membership. The seeds form the group when
 * the whole system starts for the first time. Later, a coordinator that
 * has no id on its disk chooses a new one and asks the leader to add it
 * (coordinator_joiners.c); it votes only after it has caught up. The leader
 * removes
 *  - the member that had the same address before: its disk is lost;
 *  - an unreachable voter, if another member is ready to vote.
 * A removed member that comes back empties its data folder and joins as a
 * new member (coordinator_rejoin.c).
 */
#include "coordinator/coordinator.h"

#include "base/address.h"
#include "base/clock.h"
#include "base/logger.h"

#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define IDENTITY_FILE "member-id" /* "ID FIRST-MEMBERS" */
/* Marks the folder of a removed member until it has a new id. */
#define REJOIN_FILE "rejoin"
#define NEW_ID_MIN 1000 /* above the ids of the first members */
#define NEW_ID_MAX 1000000
#define UNREACHABLE_TIMEOUT_MS 3000 /* until a voter may be replaced */

/* ---- This member's identity ----------------------------------------- */

static char *with_port(const char *address, int64_t port)
{
	const char *colon = strrchr(address, ':');

	return g_strdup_printf("%.*s:%" G_GINT64_FORMAT, (int)(colon - address),
			       address, port);
}

static char *first_members_text(char **seeds, int64_t port)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; seeds[i]; i++) {
		g_autofree char *address = with_port(seeds[i], port);

		g_string_append_printf(text, "%s%u=%s/%s", i ? "," : "", i + 1,
				       address, seeds[i]);
	}
	return g_string_free(text, FALSE);
}

static uint32_t seed_position(char **seeds, const char *address)
{
	for (uint32_t i = 0; seeds[i]; i++) {
		if (!strcmp(seeds[i], address))
			return i + 1;
	}
	return 0;
}

static uint32_t new_id(void)
{
	return NEW_ID_MIN +
	       (uint32_t)(clock_random() % (NEW_ID_MAX - NEW_ID_MIN));
}

static void create_identity(struct coordinator *c,
			    const struct settings *settings,
			    char **first_members)
{
	char **seeds = settings_list(settings, "seeds");
	uint32_t position = seed_position(seeds, c->control_address);

	if (settings_bool(settings, "first-start") && position) {
		c->id = position;
		*first_members = first_members_text(
			seeds, settings_number(settings, "seeds-port"));
		return;
	}
	c->id = new_id();
	*first_members = g_strdup("");
}

static bool load_identity(struct coordinator *c, char **first_members,
			  GError **error)
{
	GError *read_error = NULL;
	g_autoptr(GBytes) stored =
		store_get_file(c->data_folder, IDENTITY_FILE, &read_error);
	g_autofree char *text = NULL;
	gsize size;
	const char *data;
	char *rest;

	if (read_error) {
		g_propagate_error(error, read_error);
		return false;
	}
	if (!stored)
		return true;
	data = g_bytes_get_data(stored, &size);
	text = g_strndup(data, size);
	c->id = (uint32_t)strtoul(text, &rest, 10);
	*first_members = g_strdup(*rest ? rest + 1 : rest);
	return true;
}

static bool save_identity(const struct coordinator *c,
			  const char *first_members, GError **error)
{
	char *text = g_strdup_printf("%u %s", c->id, first_members);
	g_autoptr(GBytes) data = g_bytes_new_take(text, strlen(text));

	return store_put_file(c->data_folder, IDENTITY_FILE, data, error);
}

/* ---- Change of identity ---------------------------------------------- */

bool coordinator_mark_rejoin(const struct coordinator *c, GError **error)
{
	g_autofree char *text = g_strdup_printf("%u", c->id);
	g_autoptr(GBytes) data = g_bytes_new(text, strlen(text));

	return store_put_file(c->data_folder, REJOIN_FILE, data, error);
}

/* The mark is removed only after the emptied folder and the new id have been
 * synced, so that a crash at any point leads here again. A folder without the
 * old log but with the old id could otherwise vote twice. */
bool coordinator_renew_identity(struct coordinator *c, GError **error)
{
	uint32_t old_id = c->id;

	if (!coordinator_clear_folder(c, error))
		return false;
	while (c->id == old_id || !c->id)
		c->id = new_id();
	c->first_members = g_array_new(FALSE, TRUE, sizeof(struct cf_member));
	return save_identity(c, "", error) &&
	       store_remove_file(c->data_folder, REJOIN_FILE, error);
}

/* Completes a change of identity that a crash interrupted. */
static bool finish_rejoin(struct coordinator *c, GError **error)
{
	g_autofree char *mark =
		g_build_filename(c->data_folder, REJOIN_FILE, NULL);

	if (!g_file_test(mark, G_FILE_TEST_EXISTS))
		return true;
	if (!coordinator_renew_identity(c, error))
		return false;
	g_clear_pointer(&c->first_members, g_array_unref);
	return true;
}

/* ---- Start ------------------------------------------------------------ */

static void set_join_addresses(struct coordinator *c,
			       const struct settings *settings)
{
	char **seeds = settings_list(settings, "seeds");
	int64_t port = settings_number(settings, "seeds-port");
	GPtrArray *join = g_ptr_array_new();

	for (size_t i = 0; seeds[i]; i++) {
		if (strcmp(seeds[i], c->control_address) != 0)
			g_ptr_array_add(join, with_port(seeds[i], port));
	}
	g_ptr_array_add(join, NULL);
	g_strfreev(c->join);
	c->join = (char **)g_ptr_array_free(join, FALSE);
}

bool coordinator_init_identity(struct coordinator *c,
			       const struct settings *settings, GError **error)
{
	g_autofree char *first_members = NULL;

	if (g_mkdir_with_parents(c->data_folder, 0755)) {
		g_set_error(error, role_error_quark(), 0,
			    "data: cannot create the folder %s",
			    c->data_folder);
		return false;
	}
	if (!finish_rejoin(c, error))
		return false;
	c->id = 0; /* read from the folder, not from the settings */
	if (!load_identity(c, &first_members, error))
		return false;
	if (!c->id) {
		create_identity(c, settings, &first_members);
		if (!save_identity(c, first_members, error))
			return false;
	}
	c->target_voters =
		1 + 2 * (uint32_t)settings_number(settings, "losses-borne");
	g_strlcpy(c->link_address, settings_text(settings, "listen"),
		  sizeof(c->link_address));
	set_join_addresses(c, settings);
	if (*first_members)
		c->first_members =
			first_members_parse(first_members, c->id, error);
	else
		c->first_members =
			g_array_new(FALSE, TRUE, sizeof(struct cf_member));
	log_event(LOG_INFO, "identity", "id=%u first_members=%s", c->id,
		  *first_members ? first_members : "none");
	return c->first_members != NULL;
}

/* ---- Unreachable voters ----------------------------------------------- */

bool coordinator_is_unreachable(struct coordinator *c, uint32_t id,
				int64_t now_ms)
{
	gpointer key = GUINT_TO_POINTER(id);
	int64_t *since_ms = g_hash_table_lookup(c->unreachable, key);

	if (id == c->id || coordinator_link_to(c, id)) {
		g_hash_table_remove(c->unreachable, key);
		return false;
	}
	if (!since_ms) {
		since_ms = g_memdup2(&now_ms, sizeof(now_ms));
		g_hash_table_insert(c->unreachable, key, since_ms);
	}
	return now_ms - *since_ms >= UNREACHABLE_TIMEOUT_MS;
}

bool coordinator_remove_unreachable(struct coordinator *c, int64_t now_ms)
{
	const struct cf_member *members;
	size_t n = cf_config_members(c->config, &members);
	uint32_t voters = 0, unreachable_voter = 0;
	bool has_spare = false;

	if (!c->target_voters)
		return false;
	for (size_t i = 0; i < n; i++) {
		bool unreachable =
			coordinator_is_unreachable(c, members[i].id, now_ms);

		if (members[i].leaving)
			continue;
		voters += members[i].voter;
		if (members[i].voter && unreachable)
			unreachable_voter = members[i].id;
		if (!members[i].voter && coordinator_can_vote(c, &members[i]))
			has_spare = true;
	}
	if (!unreachable_voter || !has_spare || voters < c->target_voters)
		return false;
	coordinator_propose_removal(c, unreachable_voter,
				    "unreachable, another member replaces it");
	return true;
}

/* ---- A member that was removed --------------------------------------- */

void coordinator_notify_removed(struct link *link)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	struct Cfw__JoinRequest notice = CFW__JOIN_REQUEST__INIT;

	notice.member_id = link_peer(link)->member_id;
	envelope.body_case = CFW__ENVELOPE__BODY_JOIN;
	envelope.join = &notice;
	link_send(link, &envelope);
}

bool coordinator_clear_folder(const struct coordinator *c, GError **error)
{
	g_autoptr(GDir) folder = g_dir_open(c->data_folder, 0, error);
	const char *name;

	while (folder && (name = g_dir_read_name(folder))) {
		g_autofree char *path =
			g_build_filename(c->data_folder, name, NULL);

		if (strcmp(name, REJOIN_FILE) != 0 && g_unlink(path)) {
			g_set_error(error, role_error_quark(), 0,
				    "cannot remove %s", path);
			return false;
		}
	}
	return folder != NULL;
}
