/*
 * fuzz_store_record: feeds arbitrary bytes to the decoder of log segments,
 * which are sequences of frames with one record each, and to the decoder
 * of a single record. Every decoded record must keep its term and its
 * number of entries when it is encoded and decoded again.
 */
#include "store/log_message.h"
#include "store/store.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_round_trip(const Cfw__StoreRecord *record)
{
	struct store_write write = { .state = { record->term, record->vote,
						record->commit } };
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct cf_entry));
	Cfw__StoreRecord *decoded;
	const uint8_t *payload;
	GByteArray *frame;
	size_t size;

	for (size_t i = 0; i < record->n_entries; i++) {
		struct cf_entry entry = log_entry_unpack(record->entries[i]);

		g_array_append_val(entries, entry);
	}
	write.entries = (const struct cf_entry *)(void *)entries->data;
	write.n_entries = entries->len;
	frame = store_record_encode(&write);
	g_assert(store_frame_read(frame->data, frame->len, &payload, &size) ==
		 STORE_FRAME_VALID);
	decoded = store_record_decode(payload, size);
	g_assert(decoded && decoded->term == record->term &&
		 decoded->n_entries == record->n_entries);
	cfw__store_record__free_unpacked(decoded, NULL);
	g_byte_array_unref(frame);
	for (guint i = 0; i < entries->len; i++) {
		GBytes *bytes = g_array_index(entries, struct cf_entry, i).data;

		g_bytes_unref(bytes);
	}
	g_array_unref(entries);
}

static void decode_record(const uint8_t *payload, size_t size)
{
	Cfw__StoreRecord *record = store_record_decode(payload, size);

	if (!record)
		return;
	check_round_trip(record);
	cfw__store_record__free_unpacked(record, NULL);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const uint8_t *payload;
	size_t payload_size;

	decode_record(data, size);
	while (store_frame_read(data, size, &payload, &payload_size) ==
	       STORE_FRAME_VALID) {
		decode_record(payload, payload_size);
		data += STORE_FRAME_HEADER_BYTES + payload_size;
		size -= STORE_FRAME_HEADER_BYTES + payload_size;
	}
	return 0;
}
