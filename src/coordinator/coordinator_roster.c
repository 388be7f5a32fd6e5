/*
 * coordinator_roster: builds the list of lease holders that is sent to
 * dispatchers, and fences holders whose lease has expired.
 */
#include "coordinator/coordinator.h"

#include "base/clock.h"

/* ---- Roster -------------------------------------------------------- */

static struct Cfw__RosterEntry *build_entry(struct holder *holder)
{
	struct Cfw__RosterEntry *entry = g_new(struct Cfw__RosterEntry, 1);

	cfw__roster_entry__init(entry);
	entry->role = holder->role;
	entry->incarnation = holder->incarnation;
	entry->name = holder->name;
	entry->data_centre = holder->data_centre;
	entry->rack = holder->rack;
	entry->address = holder->address;
	entry->draining = holder->draining;
	if (holder->role != CFW__ROLE__ROLE_AGENT)
		return entry;
	entry->capacity = g_new(struct Cfw__Capacity, 1);
	cfw__capacity__init(entry->capacity);
	entry->capacity->slots = holder->capacity.slots;
	entry->capacity->connections = holder->capacity.connections;
	entry->capacity->cpu_milli = holder->capacity.cpu_milli;
	entry->capacity->memory_mb = holder->capacity.memory_mb;
	entry->capacity->accelerators = holder->capacity.accelerators;
	return entry;
}

/* The strings point into the holders, so the roster must be freed before
 * a holder changes. */
struct Cfw__Roster *coordinator_build_roster(const struct coordinator *c)
{
	struct Cfw__Roster *roster = g_new(struct Cfw__Roster, 1);
	GHashTableIter iter;
	gpointer value;

	cfw__roster__init(roster);
	roster->version = c->leadership->roster_version;
	roster->settled = c->leadership->settled;
	roster->last_departure_ms = c->leadership->last_departure_ms;
	roster->entries = g_new0(struct Cfw__RosterEntry *,
				 g_hash_table_size(c->leadership->holders));
	g_hash_table_iter_init(&iter, c->leadership->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		roster->entries[roster->n_entries++] = build_entry(value);
	return roster;
}

void coordinator_free_roster(struct Cfw__Roster *roster)
{
	if (!roster)
		return;
	for (size_t i = 0; i < roster->n_entries; i++) {
		g_free(roster->entries[i]->capacity);
		g_free(roster->entries[i]);
	}
	g_free(roster->entries);
	g_free(roster);
}

/* ---- Fences -------------------------------------------------------- */

void coordinator_fence_answer(struct coordinator *c,
			      const struct waiter *waiter, bool fenced,
			      bool alive, const char *message)
{
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	struct Cfw__FenceReply reply = CFW__FENCE_REPLY__INIT;

	if (!waiter->link)
		return;
	reply.seq = waiter->seq;
	reply.fenced = fenced;
	reply.alive = alive;
	reply.revision = cf_config_revision(c->config);
	reply.message = (char *)message;
	if (fenced && c->leadership)
		reply.roster = coordinator_build_roster(c);
	envelope.body_case = CFW__ENVELOPE__BODY_FENCE_REPLY;
	envelope.fence_reply = &reply;
	link_send(waiter->link, &envelope);
	coordinator_free_roster(reply.roster);
}

static void propose_fence(struct coordinator *c, const struct waiter *waiter)
{
	struct Cfw__Command command = CFW__COMMAND__INIT;
	uint64_t incarnation = waiter->incarnation;

	command.change_case = CFW__COMMAND__CHANGE_FENCE;
	command.fence = incarnation;
	if (!coordinator_propose_own(c, &command, waiter)) {
		coordinator_fence_answer(c, waiter, false, false,
					 "not the leader");
		return;
	}
	if (c->leadership)
		g_hash_table_add(c->leadership->pending_fences,
				 g_memdup2(&incarnation, sizeof(incarnation)));
}

void coordinator_fence_request(struct coordinator *c, struct link *link,
			       const struct Cfw__FenceRequest *request)
{
	int64_t now_ms = loop_now_ms(c->loop);
	struct waiter waiter = { .link = link,
				 .seq = request->seq,
				 .incarnation = request->incarnation };

	if (!coordinator_may_grant(c, now_ms))
		coordinator_fence_answer(c, &waiter, false, false,
					 "not the leader");
	else if (cf_config_is_fenced(c->config, request->incarnation))
		coordinator_fence_answer(c, &waiter, true, false, "");
	else if (cf_lease_table_state(c->leadership->leases,
				      request->incarnation,
				      now_ms) == CF_HOLDER_ACTIVE)
		coordinator_fence_answer(c, &waiter, false, true,
					 "it holds a lease");
	else if (!c->leadership->settled)
		coordinator_fence_answer(
			c, &waiter, false, false,
			"leases of an earlier leader have not run out yet");
	else
		propose_fence(c, &waiter);
}
