#include "store/log_message.h"

#include <string.h>

/* ---- Packing -------------------------------------------------------- */

void log_bytes_pack(GBytes *bytes, ProtobufCBinaryData *packed)
{
	size_t size_bytes = 0;

	/* The cast drops const: protobuf-c only reads the data it packs. */
	packed->data = bytes ? (uint8_t *)g_bytes_get_data(bytes, &size_bytes)
			     : NULL;
	packed->len = size_bytes;
}

void log_members_pack(struct cf_members *members, Cfw__Members *packed)
{
	packed->voters = members->voters;
	packed->n_voters = members->n_voters;
	packed->learners = members->learners;
	packed->n_learners = members->n_learners;
}

Cfw__LogEntry **log_entries_pack(const struct cf_entry *entries,
				 size_t n_entries)
{
	Cfw__LogEntry **packed = g_new0(Cfw__LogEntry *, n_entries);

	for (size_t i = 0; i < n_entries; i++) {
		packed[i] = g_new(Cfw__LogEntry, 1);
		cfw__log_entry__init(packed[i]);
		packed[i]->index = entries[i].index;
		packed[i]->term = entries[i].term;
		packed[i]->kind = entries[i].kind;
		packed[i]->wall_ms = entries[i].wall_ms;
		log_bytes_pack(entries[i].data, &packed[i]->data);
	}
	return packed;
}

void log_entries_free(Cfw__LogEntry **packed, size_t n_entries)
{
	for (size_t i = 0; i < n_entries; i++)
		g_free(packed[i]);
	g_free(packed);
}

void log_message_pack(const struct cf_replog_message *message,
		      const uint8_t *identity, size_t identity_bytes,
		      struct log_packed *packed)
{
	Cfw__LogMessage *m = &packed->message;

	cfw__log_message__init(m);
	m->kind = message->kind;
	m->from = message->from;
	m->to = message->to;
	m->term = message->term;
	m->index = message->index;
	m->log_term = message->log_term;
	m->commit = message->commit;
	m->reject = message->reject;
	m->hint = message->hint;
	m->sent_ms = message->sent_ms;
	m->n_entries = message->n_entries;
	m->entries = log_entries_pack(message->entries, message->n_entries);
	log_bytes_pack(message->snapshot, &m->snapshot);
	m->identity.data = (uint8_t *)identity;
	m->identity.len = identity_bytes;
	if (message->kind != CF_REPLOG_SNAPSHOT)
		return;
	cfw__members__init(&packed->members);
	packed->members_copy = message->members;
	log_members_pack(&packed->members_copy, &packed->members);
	m->members = &packed->members;
}

void log_packed_clear(struct log_packed *packed)
{
	log_entries_free(packed->message.entries, packed->message.n_entries);
}

/* ---- Unpacking ------------------------------------------------------ */

bool log_members_unpack(const Cfw__Members *packed, struct cf_members *members)
{
	struct cf_members found = { 0 };

	if (!packed || packed->n_voters > CF_MEMBERS_MAX ||
	    packed->n_learners > CF_MEMBERS_MAX)
		return false;
	for (size_t i = 0; i < packed->n_voters; i++)
		found.voters[found.n_voters++] = packed->voters[i];
	for (size_t i = 0; i < packed->n_learners; i++)
		found.learners[found.n_learners++] = packed->learners[i];
	*members = found;
	return true;
}

struct cf_entry log_entry_unpack(const Cfw__LogEntry *packed)
{
	struct cf_entry entry = { .index = packed->index,
				  .term = packed->term,
				  .kind = (enum cf_entry_kind)packed->kind,
				  .wall_ms = packed->wall_ms };

	if (packed->data.len)
		entry.data = g_bytes_new(packed->data.data, packed->data.len);
	return entry;
}

static bool is_valid(const Cfw__LogMessage *packed)
{
	if (packed->kind > CF_REPLOG_NO_LEADER_REPLY || !packed->from ||
	    !packed->to)
		return false;
	for (size_t i = 0; i < packed->n_entries; i++)
		if (packed->entries[i]->kind > CF_ENTRY_MEMBERS)
			return false;
	return true;
}

bool log_message_unpack(const Cfw__LogMessage *packed,
			struct cf_replog_message *message)
{
	struct cf_replog_message m = {
		.kind = (enum cf_replog_kind)packed->kind,
		.from = packed->from,
		.to = packed->to,
		.term = packed->term,
		.index = packed->index,
		.log_term = packed->log_term,
		.commit = packed->commit,
		.reject = packed->reject,
		.hint = packed->hint,
		.sent_ms = packed->sent_ms,
		.n_entries = packed->n_entries
	};

	if (!is_valid(packed))
		return false;
	if (m.kind == CF_REPLOG_SNAPSHOT &&
	    !log_members_unpack(packed->members, &m.members))
		return false;
	m.entries = g_new0(struct cf_entry, packed->n_entries);
	for (size_t i = 0; i < packed->n_entries; i++)
		m.entries[i] = log_entry_unpack(packed->entries[i]);
	if (m.kind == CF_REPLOG_SNAPSHOT)
		m.snapshot = g_bytes_new(packed->snapshot.data,
					 packed->snapshot.len);
	*message = m;
	return true;
}

void log_message_clear(struct cf_replog_message *message)
{
	for (size_t i = 0; i < message->n_entries; i++)
		g_bytes_unref(message->entries[i].data);
	g_free(message->entries);
	g_bytes_unref(message->snapshot);
	memset(message, 0, sizeof(*message));
}
