/*
 * coordinator: a member of the replicated group that stores the
 * configuration, grants leases and votes on claims. This file contains
 * its start, its stop and its periodic work.
 */
#include "coordinator/coordinator.h"

#include "base/clock.h"
#include "base/logger.h"
#include "base/trace_file.h"

#include <stdlib.h>
#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define TICK_MS 50
#define DISK_RETRY_MS 1000
#define DISK_FAILS "the disk fails"
#define EXPIRE_INTERVAL_MS 1000
#define FLUSH_TIMEOUT_MS 500
#define STOPPED 1 /* queue item that signals completion; any non-zero value */

/* ---- Periodic work ------------------------------------------------- */

static void update_leadership(struct coordinator *c, int64_t now_ms)
{
	bool leading = group_is_leader(c->group);

	if (leading && !c->leadership)
		coordinator_begin_leadership(c, now_ms);
	else if (!leading && c->leadership)
		coordinator_end_leadership(c);
}

static void update_readiness(struct coordinator *c)
{
	const char *why = NULL;

	if (!group_healthy(c->group))
		why = DISK_FAILS;
	else if (!group_leader(c->group))
		why = coordinator_waits_to_join(c)
			      ? "it waits to be added to the group"
			      : "no leader is known";
	else if (clock_wall_ms() <= c->abstain_until_ms)
		why = "it does not vote yet on keys of now";
	if (why == c->why_not_ready)
		return;
	c->why_not_ready = why;
	admin_set_ready(c->admin, !why, why);
}

/* After a disk failure, only a restart with recovery shows what the disk
 * holds. A group with automatic membership must not wait for an operator:
 * this member would be missing when the next one fails. So it exits. */
static void check_disk(struct coordinator *c, int64_t now_ms)
{
	if (group_healthy(c->group) || !c->target_voters || c->exit_why ||
	    c->rejoining)
		return;
	if (!c->disk_failed_ms)
		c->disk_failed_ms = now_ms;
	if (now_ms - c->disk_failed_ms < DISK_RETRY_MS)
		return;
	c->exit_why = DISK_FAILS;
	log_event(LOG_ERROR, "ends_for_its_disk", "failed_ms=%" G_GINT64_FORMAT,
		  now_ms - c->disk_failed_ms);
	role_request_stop();
}

static void tick(void *arg, int64_t now_ms)
{
	struct coordinator *c = arg;

	if (c->stopping || c->rejoining)
		return;
	update_leadership(c, now_ms);
	update_readiness(c);
	check_disk(c, now_ms);
	coordinator_update_peers(c);
	coordinator_renew_voter_lease(c, now_ms);
	coordinator_expire_leases(c, now_ms);
	coordinator_expire_joiners(c, now_ms);
	coordinator_reconcile_members(c, now_ms);
	coordinator_send_join_request(c, now_ms);
	coordinator_answer_reads(c, now_ms);
	coordinator_report_redundancy(c, now_ms);
	gauge_set(c->counters.revision, (int64_t)cf_config_revision(c->config));
	if (now_ms < c->next_expiry_ms)
		return;
	c->next_expiry_ms = now_ms + EXPIRE_INTERVAL_MS;
	cf_ledger_expire(c->ledger, clock_wall_ms());
}

/* ---- Start --------------------------------------------------------- */

static void get_counters(struct coordinator_counters *counters)
{
	counters->granted = counter_get("lease_granted_total", NULL,
					"leases granted or renewed");
	counters->config_copies =
		counter_get("configuration_copies_total", NULL,
			    "Configurations sent with leases");
	counters->config_bytes =
		counter_get("configuration_copies_bytes_total", NULL,
			    "Bytes of configurations sent with leases");
	counters->routes_documents =
		counter_get("routes_fetches_total", "what=\"document\"",
			    "Fetches of routes that holders began");
	counters->routes_changes =
		counter_get("routes_fetches_total", "what=\"change\"",
			    "Fetches of routes that holders began");
	counters->routes_bytes = counter_get("routes_fetched_bytes_total", NULL,
					     "Bytes of routes sent to holders");
	counters->refused = counter_get("lease_refused_total", NULL,
					"lease requests not granted");
	counters->votes_for = counter_get("votes_total", "verdict=\"for\"",
					  "votes on claims");
	counters->votes_none =
		counter_get("votes_total", "verdict=\"none\"", NULL);
	counters->commands = counter_get("commands_total", NULL,
					 "configuration commands applied");
	counters->dropped = counter_get("coordinator_dropped_total", NULL,
					"messages that were not expected");
	counters->rejoins =
		counter_get("member_rejoins_total", NULL,
			    "times that this process joined as a new member");
	counters->joins_forwarded =
		counter_get("joins_forwarded_total", NULL,
			    "requests to join that were sent to the leader");
	counters->joiners =
		gauge_get("joiners_waiting", NULL,
			  "coordinators that asked to join and aren't members");
	counters->voters_meant =
		gauge_get("voters_meant", NULL,
			  "voters that the group should have; -1: not leading");
	counters->voters_present =
		gauge_get("voters_present", NULL,
			  "voters that could vote now; -1: not leading");
	counters->losses_borne = gauge_get(
		"losses_borne", NULL,
		"further losses of voters that are borne; -1: not leading");
	counters->leading =
		gauge_get("leading", NULL, "1 while this member leads");
	counters->holders = gauge_get("lease_holders", NULL,
				      "processes on the leader's roster");
	counters->revision = gauge_get("configuration_revision", NULL,
				       "revision that is applied here");
}

static struct coordinator *create_empty(const struct settings *settings)
{
	struct coordinator *c = g_new0(struct coordinator, 1);

	c->settings = settings;
	c->id = (uint32_t)settings_number(settings, "id");
	g_strlcpy(c->name, settings_text(settings, "name"), sizeof(c->name));
	g_strlcpy(c->data_centre, settings_text(settings, "data-centre"),
		  sizeof(c->data_centre));
	c->data_folder = g_strdup(settings_text(settings, "data"));
	c->lease_ms = (uint32_t)settings_number(settings, "lease-ms");
	c->join = g_strdupv(settings_list(settings, "join"));
	c->formats = role_formats();
	if (settings_text(settings, "control"))
		g_strlcpy(c->control_address,
			  settings_text(settings, "control"),
			  sizeof(c->control_address));
	c->contacts = g_ptr_array_new_with_free_func(g_free);
	coordinator_create_state(c);
	get_counters(&c->counters);
	return c;
}

static void destroy(struct coordinator *c)
{
	http_server_destroy(c->control);
	if (c->admin)
		admin_destroy(c->admin);
	if (c->tick)
		loop_timer_destroy(c->tick);
	coordinator_destroy_state(c);
	if (c->loop)
		loop_destroy(c->loop);
	g_ptr_array_unref(c->contacts);
	g_strfreev(c->join);
	g_free(c->data_folder);
	g_free(c);
}

static bool read_members(struct coordinator *c, const struct settings *settings,
			 GError **error)
{
	const char *text = settings_text(settings, "first-members");

	if (settings_list(settings, "seeds")[0])
		return coordinator_init_identity(c, settings, error);
	if (!c->id) {
		g_set_error(error, role_error_quark(), 0,
			    "id: required unless seeds are set");
		return false;
	}
	if (text && *text) {
		c->first_members = first_members_parse(text, c->id, error);
		return c->first_members != NULL;
	}
	c->first_members = g_array_new(FALSE, TRUE, sizeof(struct cf_member));
	if (c->join && c->join[0])
		return true;
	g_set_error(error, role_error_quark(), 0,
		    "first-members or join: one of them is required");
	return false;
}

bool coordinator_open_links(struct coordinator *c, GError **error)
{
	const struct settings *settings = c->settings;
	struct link_options options = {
		.self = { .role = CFW__ROLE__ROLE_COORDINATOR,
			  .name = c->name,
			  .incarnation = c->incarnation,
			  .member_id = c->id,
			  .data_centre = c->data_centre },
		.heartbeat_ms = settings_number(settings, "heartbeat-ms"),
		.connections_max = c->doors[DOOR_LINKS].connections_max,
		.held_max_bytes = c->doors[DOOR_LINKS].held_max_bytes
	};

	c->hub = link_hub_create(c->loop, &options, &coordinator_link_handlers,
				 c);
	return link_hub_listen(c->hub, settings_text(settings, "listen"),
			       &c->port, error);
}

static bool open_admin(struct coordinator *c, const struct settings *settings,
		       GError **error)
{
	c->admin = admin_create(settings_text(settings, "admin"),
				&c->doors[DOOR_ADMIN], error);
	if (!c->admin)
		return false;
	coordinator_add_routes(c);
	c->why_not_ready = "starting";
	admin_set_ready(c->admin, false, c->why_not_ready);
	return admin_start(c->admin, error);
}

/* Replaces port 0 in this member's own addresses by the port in use. */
static void fill_in_ports(struct coordinator *c)
{
	for (guint i = 0; i < c->first_members->len; i++) {
		struct cf_member *member =
			&g_array_index(c->first_members, struct cf_member, i);
		char *fields[] = { member->address, member->admin_address };
		uint16_t ports[] = { c->port, admin_port(c->admin) };

		for (int f = 0; f < 2 && member->id == c->id; f++) {
			char *colon = strrchr(fields[f], ':');

			if (colon && strcmp(colon, ":0") == 0)
				g_snprintf(colon,
					   CF_NAME_SIZE -
						   (gulong)(colon - fields[f]),
					   ":%u", ports[f]);
		}
	}
}

static bool open_group(struct coordinator *c, GError **error)
{
	const struct settings *settings = c->settings;
	uint32_t voters[CF_MEMBERS_MAX];
	struct group_options options = {
		.id = c->id,
		.data_folder = c->data_folder,
		.first_voters = voters,
		.n_first_voters = c->first_members->len,
		.snapshot_every =
			(uint32_t)settings_number(settings, "snapshot-every"),
		.seed = (uint64_t)settings_number(settings, "seed"),
		.election_ms = settings_number(settings, "election-ms")
	};

	for (guint i = 0; i < c->first_members->len; i++)
		voters[i] =
			g_array_index(c->first_members, struct cf_member, i).id;
	if (!options.seed)
		options.seed = clock_random();
	c->group = group_create(c->loop, &options, &coordinator_group_handlers,
				c, error);
	return c->group != NULL;
}

bool coordinator_open_replica(struct coordinator *c, GError **error)
{
	return role_open_trace(c->settings, c->incarnation, error) &&
	       open_group(c, error) &&
	       coordinator_open_ledger(c, clock_wall_ms(), error);
}

static gpointer run(gpointer arg)
{
	struct coordinator *c = arg;

	loop_run(c->loop);
	return NULL;
}

struct coordinator *coordinator_start(const struct settings *settings,
				      GError **error)
{
	struct coordinator *c = create_empty(settings);

	role_divide_doors(settings, DOORS_FOR_LINKS, c->doors);
	c->loop = loop_create(error);
	if (!c->loop || !read_members(c, settings, error) ||
	    !coordinator_open_links(c, error) ||
	    !open_admin(c, settings, error)) {
		destroy(c);
		return NULL;
	}
	fill_in_ports(c);
	if (!coordinator_open_replica(c, error) ||
	    !coordinator_open_control(c, error)) {
		destroy(c);
		return NULL;
	}
	c->tick = loop_timer_create(c->loop, tick, c);
	/* The first tick dials the other members. */
	loop_timer_start(c->tick, 0, TICK_MS);
	c->thread = g_thread_new("coordinator", run, c);
	return c;
}

uint16_t coordinator_port(const struct coordinator *c)
{
	return c->port;
}

uint16_t coordinator_admin_port(const struct coordinator *c)
{
	return admin_port(c->admin);
}

/* ---- Stop ---------------------------------------------------------- */

struct stop {
	struct coordinator *coordinator;
	GAsyncQueue *done;
};

/* After this, requests are refused and no votes are cast. */
static void stop_work(void *arg)
{
	struct stop *stop = arg;
	struct coordinator *c = stop->coordinator;

	c->stopping = true;
	if (c->leadership)
		coordinator_end_leadership(c);
	coordinator_fail_reads(c, "this coordinator is stopping");
	if (c->group && !c->rejoining) {
		group_hand_over(c->group);
		coordinator_save_ledger(c);
		link_flush(c->hub, FLUSH_TIMEOUT_MS);
	}
	g_async_queue_push(stop->done, GINT_TO_POINTER(STOPPED));
}

void coordinator_stop(struct coordinator *c)
{
	struct stop stop = { .coordinator = c, .done = g_async_queue_new() };
	g_autoptr(GError) error = NULL;

	trace_event("stop_begin", "in_progress=0");
	admin_set_ready(c->admin, false, "stopping");
	loop_post(c->loop, stop_work, &stop);
	g_async_queue_pop(stop.done);
	g_async_queue_unref(stop.done);
	/* The loop answers incoming requests until the servers are closed. */
	http_server_destroy(c->control);
	c->control = NULL;
	admin_destroy(c->admin);
	c->admin = NULL;
	loop_stop(c->loop);
	g_thread_join(c->thread);
	if (c->exit_removed && !coordinator_clear_folder(c, &error))
		log_event(LOG_ERROR, "disk_failed", "why=\"%s\"",
			  error->message);
	destroy(c);
	trace_event("stop_end", "in_progress=0");
	trace_close();
}

/* ---- Process ------------------------------------------------------- */

int coordinator_main(const struct settings *settings)
{
	GError *error = NULL;
	struct coordinator *c = coordinator_start(settings, &error);
	const char *exit_why;

	if (!c)
		return role_start_failed(error);
	log_event(LOG_INFO, "started", "id=%u port=%u admin_port=%u", c->id,
		  c->port, admin_port(c->admin));
	role_wait_for_stop();
	log_event(LOG_INFO, "stopping", NULL);
	exit_why = c->exit_why;
	coordinator_stop(c);
	if (!exit_why) {
		log_event(LOG_INFO, "stopped", NULL);
		return EXIT_SUCCESS;
	}
	log_event(LOG_ERROR, "stopped", "status=%d why=\"%s\"", EXIT_FAILURE,
		  exit_why);
	return EXIT_FAILURE;
}
