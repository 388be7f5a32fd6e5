/*
 * coordinator_rejoin: the state of a coordinator that belongs to its
 * identity as a member, and the change to a new identity within the process.
 *
 * A member that learns that it was removed discards its log, votes and
 * configuration, and joins again under a new id with an empty data folder.
 * Its event loop and HTTP servers keep running, so that operators get an
 * answer meanwhile. All of this runs on the loop thread. It blocks on the
 * disk, which is acceptable because the member takes part in nothing then.
 */
#include "coordinator/coordinator.h"

#include "base/clock.h"
#include "base/logger.h"
#include "base/trace_file.h"

/* ---- State of an identity -------------------------------------------- */

void coordinator_create_state(struct coordinator *c)
{
	c->incarnation = clock_random();
	c->config = cf_config_create();
	c->voter_lease = cf_lease_create();
	c->peers = g_ptr_array_new();
	c->accepted = g_ptr_array_new();
	c->sessions = g_ptr_array_new();
	c->joiners = g_array_new(FALSE, TRUE, sizeof(struct joiner));
	c->reads = g_ptr_array_new_with_free_func(g_free);
	c->unreachable = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					       NULL, g_free);
	c->identities = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL,
					      (GDestroyNotify)g_bytes_unref);
	c->waiters = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					   (GDestroyNotify)g_bytes_unref,
					   (GDestroyNotify)g_ptr_array_unref);
	c->peers_revision = 0;
	c->routes_sender = routes_sender_create(ROUTES_PART_MAX_BYTES);
	c->next_join_ms = 0;
	c->next_renewal_ms = 0;
	c->next_expiry_ms = 0;
	c->abstain_until_ms = 0;
}

void coordinator_destroy_state(struct coordinator *c)
{
	if (c->leadership)
		coordinator_end_leadership(c);
	g_clear_pointer(&c->group, group_destroy);
	g_clear_pointer(&c->hub, link_hub_destroy);
	g_clear_pointer(&c->ledger, cf_ledger_destroy);
	coordinator_clear_grant_config(&c->grant_settings);
	coordinator_clear_grant_config(&c->grant_whole);
	g_clear_pointer(&c->routes_sender, routes_sender_destroy);
	g_clear_pointer(&c->first_members, g_array_unref);
	g_clear_pointer(&c->peers, g_ptr_array_unref);
	g_clear_pointer(&c->accepted, g_ptr_array_unref);
	g_clear_pointer(&c->sessions, g_ptr_array_unref);
	g_clear_pointer(&c->joiners, g_array_unref);
	g_clear_pointer(&c->reads, g_ptr_array_unref);
	g_clear_pointer(&c->unreachable, g_hash_table_destroy);
	g_clear_pointer(&c->identities, g_hash_table_destroy);
	g_clear_pointer(&c->waiters, g_hash_table_destroy);
	g_clear_pointer(&c->voter_lease, cf_lease_destroy);
	g_clear_pointer(&c->config, cf_config_destroy);
}

/* ---- Change of identity ---------------------------------------------- */

/* Without a replica, every request is answered 503 until the process has
 * stopped. The next process repeats the change of identity: the data folder
 * either has the mark or still holds the removed member. */
static void stop_after_failure(struct coordinator *c, const GError *error)
{
	log_event(LOG_ERROR, "rejoin_failed", "why=\"%s\"",
		  error ? error->message : "unknown");
	c->why_not_ready = "it was removed and could not join again";
	admin_set_ready(c->admin, false, c->why_not_ready);
	coordinator_fail_reads(c, c->why_not_ready);
	g_clear_pointer(&c->group, group_destroy);
	c->exit_why = c->why_not_ready;
	role_request_stop();
}

static bool open_new_state(struct coordinator *c, GError **error)
{
	uint32_t old_id = c->id;

	coordinator_create_state(c);
	if (!coordinator_renew_identity(c, error) ||
	    !coordinator_open_links(c, error) ||
	    !coordinator_open_replica(c, error))
		return false;
	log_event(LOG_INFO, "member_rejoins", "old_id=%u id=%u", old_id, c->id);
	return true;
}

/* Deferred to the end of a loop iteration, when no callback of the replica
 * or of a link is on the stack. */
static void rejoin(void *arg)
{
	struct coordinator *c = arg;
	g_autoptr(GError) error = NULL;

	if (c->stopping)
		return;
	if (!coordinator_mark_rejoin(c, &error)) {
		stop_after_failure(c, error);
		return;
	}
	c->why_not_ready = "it was removed and joins again";
	admin_set_ready(c->admin, false, c->why_not_ready);
	coordinator_fail_reads(c, c->why_not_ready);
	trace_close();
	for (guint i = 0; i < c->peers->len; i++)
		coordinator_add_contact(
			c, link_address(g_ptr_array_index(c->peers, i)));
	coordinator_destroy_state(c);
	if (open_new_state(c, &error)) {
		counter_add(c->counters.rejoins, 1);
		c->rejoining = false;
		return;
	}
	stop_after_failure(c, error);
}

void coordinator_begin_rejoin(struct coordinator *c)
{
	if (c->rejoining || c->stopping)
		return;
	c->rejoining = true;
	log_event(LOG_WARN, "member_starts_over", "id=%u", c->id);
	loop_defer(c->loop, rejoin, c);
}
