/*
 * store_record: encoding and decoding of frames and of the records and
 * snapshots that they contain.
 */
#include "store/log_message.h"
#include "store/store.h"

#include <string.h>
#include <xxhash.h>

#define MAGIC "CFR1"
#define MAGIC_SIZE 4

/* ---- Frames --------------------------------------------------------- */

static uint64_t checksum(const void *payload, size_t size_bytes)
{
	return XXH64(payload, size_bytes, size_bytes);
}

void store_frame_append(GByteArray *out, const void *payload, size_t size_bytes)
{
	uint32_t length = GUINT32_TO_LE((uint32_t)size_bytes);
	uint64_t sum = GUINT64_TO_LE(checksum(payload, size_bytes));

	g_assert(size_bytes <= STORE_FRAME_MAX_BYTES);
	g_byte_array_append(out, (const guint8 *)MAGIC, MAGIC_SIZE);
	g_byte_array_append(out, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(out, (const guint8 *)&sum, sizeof(sum));
	g_byte_array_append(out, payload, (guint)size_bytes);
}

enum store_frame store_frame_read(const uint8_t *data, size_t size_bytes,
				  const uint8_t **payload,
				  size_t *payload_bytes)
{
	uint32_t length;
	uint64_t sum;

	if (size_bytes < STORE_FRAME_HEADER_BYTES)
		return STORE_FRAME_TRUNCATED;
	memcpy(&length, data + MAGIC_SIZE, sizeof(length));
	memcpy(&sum, data + MAGIC_SIZE + sizeof(length), sizeof(sum));
	length = GUINT32_FROM_LE(length);
	if (memcmp(data, MAGIC, MAGIC_SIZE) != 0 ||
	    length > STORE_FRAME_MAX_BYTES)
		return STORE_FRAME_INVALID;
	if (length > size_bytes - STORE_FRAME_HEADER_BYTES)
		return STORE_FRAME_TRUNCATED;
	*payload = data + STORE_FRAME_HEADER_BYTES;
	*payload_bytes = length;
	if (GUINT64_FROM_LE(sum) != checksum(*payload, length))
		return STORE_FRAME_INVALID;
	return STORE_FRAME_VALID;
}

/* ---- Records -------------------------------------------------------- */

GByteArray *store_record_encode(const struct store_write *write)
{
	Cfw__StoreRecord record = CFW__STORE_RECORD__INIT;
	GByteArray *frame = g_byte_array_new();
	size_t size_bytes;
	uint8_t *payload;

	record.term = write->state.term;
	record.vote = write->state.vote;
	record.commit = write->state.commit;
	if (write->snapshot) {
		record.reset = true;
		record.reset_index = write->snapshot->index;
		record.reset_term = write->snapshot->term;
	}
	record.n_entries = write->n_entries;
	record.entries = log_entries_pack(write->entries, write->n_entries);
	size_bytes = cfw__store_record__get_packed_size(&record);
	payload = g_malloc(size_bytes + 1);
	cfw__store_record__pack(&record, payload);
	store_frame_append(frame, payload, size_bytes);
	g_free(payload);
	log_entries_free(record.entries, record.n_entries);
	return frame;
}

Cfw__StoreRecord *store_record_decode(const uint8_t *payload, size_t size_bytes)
{
	Cfw__StoreRecord *record =
		cfw__store_record__unpack(NULL, size_bytes, payload);

	if (!record)
		return NULL;
	for (size_t i = 0; i < record->n_entries; i++) {
		const Cfw__LogEntry *entry = record->entries[i];

		if (entry->kind <= CF_ENTRY_MEMBERS && entry->index &&
		    entry->index == record->entries[0]->index + i)
			continue;
		cfw__store_record__free_unpacked(record, NULL);
		return NULL;
	}
	return record;
}

/* ---- Snapshots ------------------------------------------------------ */

GBytes *store_snapshot_encode(const struct cf_snapshot *snapshot)
{
	Cfw__StoreSnapshot packed = CFW__STORE_SNAPSHOT__INIT;
	Cfw__Members members = CFW__MEMBERS__INIT;
	struct cf_members copy = snapshot->members;
	size_t size_bytes;
	uint8_t *data;

	log_members_pack(&copy, &members);
	packed.index = snapshot->index;
	packed.term = snapshot->term;
	packed.members = &members;
	log_bytes_pack(snapshot->data, &packed.data);
	size_bytes = cfw__store_snapshot__get_packed_size(&packed);
	data = g_malloc(size_bytes + 1);
	cfw__store_snapshot__pack(&packed, data);
	return g_bytes_new_take(data, size_bytes);
}

bool store_snapshot_decode(GBytes *data, struct cf_snapshot *snapshot)
{
	size_t size_bytes;
	const uint8_t *bytes = g_bytes_get_data(data, &size_bytes);
	Cfw__StoreSnapshot *packed =
		cfw__store_snapshot__unpack(NULL, size_bytes, bytes);
	bool ok = packed && packed->index &&
		  log_members_unpack(packed->members, &snapshot->members);

	if (ok) {
		snapshot->index = packed->index;
		snapshot->term = packed->term;
		snapshot->data =
			g_bytes_new(packed->data.data, packed->data.len);
	}
	if (packed)
		cfw__store_snapshot__free_unpacked(packed, NULL);
	return ok;
}
