/*
 * coordinator_log: connects the coordinator to the replicated log. It
 * proposes commands, applies committed entries to the configuration and
 * answers the callers that wait for an entry.
 */
#include "coordinator/coordinator.h"

#include "base/clock.h"
#include "base/logger.h"
#include "base/trace_file.h"

#include <string.h>

/* ---- Constants ----------------------------------------------------- */

#define COMMAND_ID_SIZE 16

/* ---- Waiters ------------------------------------------------------- */

static void answer_waiter(struct coordinator *c, const struct waiter *waiter,
			  const struct cf_command_result *result)
{
	if (waiter->request)
		coordinator_answer_command(waiter->request, result);
	else
		coordinator_fence_answer(c, waiter,
					 result->status == CF_COMMAND_DONE,
					 false, result->message);
}

static void answer_waiters(struct coordinator *c, GBytes *id,
			   const struct cf_command_result *result)
{
	GPtrArray *waiters = g_hash_table_lookup(c->waiters, id);

	if (!waiters)
		return;
	for (guint i = 0; i < waiters->len; i++)
		answer_waiter(c, g_ptr_array_index(waiters, i), result);
	g_hash_table_remove(c->waiters, id);
}

void coordinator_fail_waiters(struct coordinator *c, const char *why)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->waiters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GPtrArray *waiters = value;

		for (guint i = 0; i < waiters->len; i++) {
			struct waiter *waiter = g_ptr_array_index(waiters, i);

			if (waiter->request)
				coordinator_answer_not_leader(
					c, waiter->request, why);
			else
				coordinator_fence_answer(c, waiter, false,
							 false, why);
		}
		g_hash_table_iter_remove(&iter);
	}
}

void coordinator_drop_waiters(struct coordinator *c, const struct link *link)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->waiters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GPtrArray *waiters = value;

		for (guint i = waiters->len; i-- > 0;) {
			struct waiter *waiter = g_ptr_array_index(waiters, i);

			if (waiter->link == link)
				g_ptr_array_remove_index(waiters, i);
		}
	}
}

/* ---- Proposals ----------------------------------------------------- */

static void add_waiter(struct coordinator *c, const uint8_t *command_id,
		       const struct waiter *waiter)
{
	g_autoptr(GBytes) id = g_bytes_new(command_id, COMMAND_ID_SIZE);
	GPtrArray *waiters = g_hash_table_lookup(c->waiters, id);

	if (!waiters) {
		waiters = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(c->waiters, g_bytes_ref(id), waiters);
	}
	g_ptr_array_add(waiters, g_memdup2(waiter, sizeof(*waiter)));
}

uint64_t coordinator_propose(struct coordinator *c, GBytes *command,
			     const struct waiter *waiter)
{
	gsize size;
	const uint8_t *data = g_bytes_get_data(command, &size);
	struct Cfw__Command *read = cfw__command__unpack(NULL, size, data);
	uint64_t index = 0;

	if (read && read->command_id.len == COMMAND_ID_SIZE && c->leadership &&
	    !c->stopping)
		index = group_propose(c->group, command, clock_wall_ms());
	if (index && waiter)
		add_waiter(c, read->command_id.data, waiter);
	if (read)
		cfw__command__free_unpacked(read, NULL);
	return index;
}

uint64_t coordinator_propose_own(struct coordinator *c,
				 struct Cfw__Command *command,
				 const struct waiter *waiter)
{
	uint64_t random[2] = { clock_random(), clock_random() };
	g_autoptr(GBytes) packed = NULL;
	uint8_t *data;
	size_t size;

	command->command_id.data = (uint8_t *)random;
	command->command_id.len = sizeof(random);
	size = cfw__command__get_packed_size(command);
	data = g_malloc(size + 1);
	cfw__command__pack(command, data);
	packed = g_bytes_new_take(data, size);
	return coordinator_propose(c, packed, waiter);
}

/* ---- Applying ------------------------------------------------------ */

struct change_description {
	const char *kind; /* NULL: not reported */
	const char *name;
	int in_service; /* of a data centre; -1: does not apply */
};

static struct change_description
describe_change(const struct Cfw__Command *command, char number[16])
{
	struct change_description change = { .in_service = -1 };
	uint32_t id = 0;

	switch (command->change_case) {
	case CFW__COMMAND__CHANGE_CLASS_SET:
		return (struct change_description){ "class",
						    command->class_set->name,
						    -1 };
	case CFW__COMMAND__CHANGE_CLASS_REMOVE:
		return (struct change_description){ "class",
						    command->class_remove, -1 };
	case CFW__COMMAND__CHANGE_DATA_CENTRE_SET:
		return (struct change_description){
			"dc", command->data_centre_set->name,
			command->data_centre_set->in_service
		};
	case CFW__COMMAND__CHANGE_DATA_CENTRE_REMOVE:
		return (struct change_description){ "dc",
						    command->data_centre_remove,
						    1 };
	case CFW__COMMAND__CHANGE_TEAM_SET:
		return (struct change_description){ "team",
						    command->team_set->name,
						    -1 };
	case CFW__COMMAND__CHANGE_TEAM_REMOVE:
		return (struct change_description){ "team",
						    command->team_remove, -1 };
	case CFW__COMMAND__CHANGE_MEMBER_ADD:
		id = command->member_add->id;
		break;
	case CFW__COMMAND__CHANGE_MEMBER_REMOVE:
		id = command->member_remove;
		break;
	default:
		return change;
	}
	g_snprintf(number, 16, "%u", id);
	return (struct change_description){ "member", number, -1 };
}

/* Called before the waiters are answered: the trace check relies on the
 * "accept" event being written before any caller sees the answer. Every member
 * writes it, as the leader that proposed a change may be lost before it
 * applies it. */
static void log_change(const struct coordinator *c,
		       const struct Cfw__Command *command,
		       const struct cf_command_result *result)
{
	char number[16];
	struct change_description change = describe_change(command, number);

	if (result->status != CF_COMMAND_DONE || !change.kind)
		return;
	log_event(LOG_INFO, "configuration_changed",
		  "revision=%" G_GUINT64_FORMAT " change=%s name=%s",
		  result->revision, change.kind, change.name);
	if (change.in_service < 0)
		trace_event("accept",
			    "rev=%" G_GUINT64_FORMAT " change=%s name=%s",
			    result->revision, change.kind, change.name);
	else
		trace_event("accept",
			    "rev=%" G_GUINT64_FORMAT
			    " change=%s name=%s in=%d led=%d",
			    result->revision, change.kind, change.name,
			    change.in_service, c->leadership != NULL);
}

static void finish_command(struct coordinator *c, const struct cf_entry *entry,
			   const struct cf_command_result *result)
{
	gsize size = 0;
	const uint8_t *data = entry->data ? g_bytes_get_data(entry->data, &size)
					  : NULL;
	struct Cfw__Command *command = cfw__command__unpack(NULL, size, data);
	g_autoptr(GBytes) id = NULL;

	counter_add(c->counters.commands, 1);
	if (!command)
		return;
	id = g_bytes_new(command->command_id.data, command->command_id.len);
	/* A retried command returns its first result and changes nothing. */
	if (result->revision == entry->index)
		log_change(c, command, result);
	if (command->change_case == CFW__COMMAND__CHANGE_FENCE) {
		log_event(LOG_INFO, "fenced",
			  "incarnation=%016" G_GINT64_MODIFIER "x",
			  command->fence);
		if (c->leadership)
			g_hash_table_remove(c->leadership->pending_fences,
					    &command->fence);
	}
	answer_waiters(c, id, result);
	cfw__command__free_unpacked(command, NULL);
}

static void trace_revision(const struct coordinator *c, uint64_t before)
{
	uint64_t revision = cf_config_revision(c->config);

	if (revision != before)
		trace_event("config", "rev=%" G_GUINT64_FORMAT, revision);
}

static void apply(void *arg, const struct cf_entry *entry)
{
	struct coordinator *c = arg;
	uint64_t before = cf_config_revision(c->config);
	struct cf_command_result result;

	cf_config_apply(c->config, entry, &result);
	trace_revision(c, before);
	if (entry->kind == CF_ENTRY_COMMAND)
		finish_command(c, entry, &result);
	else if (entry->kind == CF_ENTRY_MEMBERS)
		log_event(LOG_INFO, "members_changed",
			  "revision=%" G_GUINT64_FORMAT, entry->index);
}

static GBytes *save(void *arg)
{
	struct coordinator *c = arg;

	return cf_config_save(c->config);
}

static bool load(void *arg, GBytes *snapshot, uint64_t index)
{
	struct coordinator *c = arg;
	g_autoptr(GError) error = NULL;
	uint64_t before = cf_config_revision(c->config);

	if (!cf_config_load(c->config, snapshot, &error)) {
		log_event(LOG_ERROR, "snapshot_refused",
			  "index=%" G_GUINT64_FORMAT " why=\"%s\"", index,
			  error->message);
		return false;
	}
	trace_revision(c, before);
	return true;
}

/* ---- Group callbacks ----------------------------------------------- */

static void send_log(void *arg, uint32_t to,
		     const struct Cfw__LogMessage *message)
{
	struct coordinator *c = arg;
	struct link *link = coordinator_link_to(c, to);
	struct Cfw__Envelope envelope = CFW__ENVELOPE__INIT;

	if (!link)
		return;
	envelope.body_case = CFW__ENVELOPE__BODY_LOG;
	envelope.log = (struct Cfw__LogMessage *)message;
	link_send(link, &envelope);
}

static void role_changed(void *arg, bool leader, uint32_t leader_id,
			 uint64_t term)
{
	struct coordinator *c = arg;

	log_event(LOG_INFO, leader ? "leading" : "following",
		  "leader=%u term=%" G_GUINT64_FORMAT, leader_id, term);
	if (!leader && c->leadership)
		coordinator_end_leadership(c);
	/* Not left to the next tick: until then, requests are refused. */
	if (leader && !c->leadership && !c->stopping)
		coordinator_begin_leadership(c, loop_now_ms(c->loop));
	if (leader_id && !c->stopping)
		coordinator_announce_leader(c);
}

static void disk_failed(void *arg, const char *why)
{
	struct coordinator *c = arg;

	log_event(LOG_ERROR, "disk_failed", "why=\"%s\"", why);
	if (c->leadership)
		coordinator_end_leadership(c);
}

/* Accepts a member's messages only with the disk identity that it was
 * registered with. A member with an empty disk has lost its votes and log
 * entries, so it must not count towards a quorum. */
static bool accepts(void *arg, uint32_t id,
		    const uint8_t identity[GROUP_IDENTITY_SIZE])
{
	struct coordinator *c = arg;
	const struct cf_member *member = cf_config_find_member(c->config, id);

	if (!member)
		return !cf_config_is_retired(c->config, id);
	return !member->has_identity ||
	       memcmp(member->identity, identity, GROUP_IDENTITY_SIZE) == 0;
}

const struct group_handlers coordinator_group_handlers = {
	.apply = apply,
	.save = save,
	.load = load,
	.send = send_log,
	.role = role_changed,
	.failed = disk_failed,
	.accepts = accepts,
};
