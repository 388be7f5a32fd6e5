/*
 * cutoff: see cutoff.h.
 */
#include "support/cutoff.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define PORT_RELAY 6001

/* ---- Types ---- */

struct cutoff {
	struct cluster *cluster;
	struct relay *relays[CF_MEMBERS_MAX]; /* of c1, c2, .. */
};

/* ---- Layout ---- */

static void set_all(struct cluster *c, const char *flag, const char *value,
		    bool coordinators)
{
	int i;

	for (i = 0; i < c->n_procs; i++) {
		const char *role = c->procs[i].role;
		bool is_coordinator = !strcmp(role, "coordinator");

		if (is_coordinator == coordinators &&
		    (coordinators || !strcmp(role, "dispatcher") ||
		     !strcmp(role, "agent")))
			proc_set(&c->procs[i], flag, value);
	}
}

struct cutoff *cutoff_create(struct cluster *c)
{
	struct cutoff *cutoff = g_new0(struct cutoff, 1);
	GString *members = g_string_new(NULL);
	GString *addresses = g_string_new(NULL);
	char own[40];
	int i;

	cutoff->cluster = c;
	for (i = 0; i < c->n_coordinators; i++) {
		const char *name = c->procs[i].name;

		snprintf(own, sizeof(own), "%s:%d", c->ip, PORT_RELAY + i);
		cutoff->relays[i] =
			relay_create(own, cluster_address(c, name, "listen"));
		g_string_append_printf(members, "%s%d=%s/%s", i ? "," : "",
				       i + 1, own,
				       cluster_address(c, name, "admin"));
		g_string_append_printf(addresses, "%s%s", i ? "," : "", own);
	}
	set_all(c, "--first-members", members->str, true);
	set_all(c, "--coordinators", addresses->str, false);
	g_string_free(members, TRUE);
	g_string_free(addresses, TRUE);
	return cutoff;
}

void cutoff_destroy(struct cutoff *cutoff)
{
	int i;

	for (i = 0; i < cutoff->cluster->n_coordinators; i++)
		relay_destroy(cutoff->relays[i]);
	g_free(cutoff);
}

/* ---- Cuts ---- */

void cutoff_peer(struct cutoff *cutoff, const char *coordinator,
		 bool block_incoming, bool block_outgoing)
{
	struct cluster *c = cutoff->cluster;
	int target_directions = (block_incoming ? RELAY_TO_TARGET : 0) |
				(block_outgoing ? RELAY_FROM_TARGET : 0);
	int caller_directions = (block_incoming ? RELAY_FROM_TARGET : 0) |
				(block_outgoing ? RELAY_TO_TARGET : 0);
	int i, k;

	for (i = 0; i < c->n_coordinators; i++) {
		if (strcmp(c->procs[i].name, coordinator) != 0) {
			relay_blackhole_caller(
				cutoff->relays[i], coordinator,
				(enum relay_direction)caller_directions);
			continue;
		}
		for (k = 0; k < c->n_coordinators; k++)
			if (k != i)
				relay_blackhole_caller(
					cutoff->relays[i], c->procs[k].name,
					(enum relay_direction)
						target_directions);
	}
}

void cutoff_caller(struct cutoff *cutoff, const char *name,
		   const char *coordinator, bool cut)
{
	struct cluster *c = cutoff->cluster;
	int i;

	for (i = 0; i < c->n_coordinators; i++)
		if (!coordinator || !strcmp(c->procs[i].name, coordinator))
			relay_blackhole_caller(cutoff->relays[i], name,
					       cut ? RELAY_BOTH : RELAY_NONE);
}
