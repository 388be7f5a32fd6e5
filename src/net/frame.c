/*
 * frame: see frame.h. Consumed bytes are removed only when new bytes
 * are fed, so that the rest of a burst of frames is moved only once.
 */
#include "net/frame.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* An empty buffer larger than this is freed. */
#define IDLE_BUFFER_MAX_BYTES 262144

struct frame_decoder {
	GByteArray *bytes;
	size_t consumed; /* decoded bytes at the front */
	uint32_t frame_max_bytes;
	uint64_t decoded_max_bytes;
};

/* What decoding of one frame may still allocate. */
struct budget {
	uint64_t left_bytes;
	bool met;
};

struct frame_decoder *frame_decoder_create(uint32_t frame_max_bytes)
{
	struct frame_decoder *decoder = g_new0(struct frame_decoder, 1);

	decoder->bytes = g_byte_array_new();
	decoder->frame_max_bytes = frame_max_bytes;
	decoder->decoded_max_bytes = UINT64_MAX;
	return decoder;
}

void frame_decoder_destroy(struct frame_decoder *decoder)
{
	if (!decoder)
		return;
	g_byte_array_unref(decoder->bytes);
	g_free(decoder);
}

void frame_decoder_feed(struct frame_decoder *decoder, const void *data,
			size_t size_bytes)
{
	size_t left = decoder->bytes->len - decoder->consumed;

	if (!left && decoder->bytes->len > IDLE_BUFFER_MAX_BYTES) {
		g_byte_array_unref(decoder->bytes);
		decoder->bytes = g_byte_array_new();
	} else if (decoder->consumed) {
		memmove(decoder->bytes->data,
			decoder->bytes->data + decoder->consumed, left);
		g_byte_array_set_size(decoder->bytes, (guint)left);
	}
	decoder->consumed = 0;
	if (size_bytes)
		g_byte_array_append(decoder->bytes, data, (guint)size_bytes);
}

void frame_decoder_set_max(struct frame_decoder *decoder,
			   uint32_t frame_max_bytes, uint64_t decoded_max_bytes)
{
	decoder->frame_max_bytes = frame_max_bytes;
	decoder->decoded_max_bytes = decoded_max_bytes;
}

size_t frame_decoder_pending(const struct frame_decoder *decoder)
{
	return decoder->bytes->len - decoder->consumed;
}

void frame_decoder_clear(struct frame_decoder *decoder)
{
	g_byte_array_unref(decoder->bytes);
	decoder->bytes = g_byte_array_new();
	decoder->consumed = 0;
}

static void *allocate(void *data, size_t size_bytes)
{
	struct budget *budget = data;

	budget->met = budget->met || size_bytes > budget->left_bytes;
	if (budget->met)
		return NULL;
	budget->left_bytes -= size_bytes;
	return malloc(size_bytes);
}

static void release(void *data, void *memory)
{
	(void)data;
	free(memory);
}

/* The envelope can be freed without an allocator. */
static Cfw__Envelope *unpack(const struct frame_decoder *decoder,
			     const uint8_t *frame, uint32_t size,
			     bool *too_large)
{
	struct budget budget = { .left_bytes = decoder->decoded_max_bytes };
	ProtobufCAllocator allocator = { allocate, release, &budget };
	Cfw__Envelope *envelope =
		cfw__envelope__unpack(&allocator, size, frame);

	*too_large = budget.met;
	return envelope;
}

enum frame_status frame_decoder_next(struct frame_decoder *decoder,
				     Cfw__Envelope **envelope)
{
	size_t left = decoder->bytes->len - decoder->consumed;
	const uint8_t *at;
	bool too_large;
	uint32_t size;

	*envelope = NULL;
	if (left < FRAME_HEADER_BYTES)
		return FRAME_INCOMPLETE;
	at = decoder->bytes->data + decoder->consumed;
	memcpy(&size, at, sizeof(size));
	size = ntohl(size);
	if (size > decoder->frame_max_bytes)
		return FRAME_TOO_LARGE;
	if (!size)
		return FRAME_INVALID;
	if (left - FRAME_HEADER_BYTES < size)
		return FRAME_INCOMPLETE;
	*envelope = unpack(decoder, at + FRAME_HEADER_BYTES, size, &too_large);
	if (!*envelope)
		return too_large ? FRAME_TOO_LARGE : FRAME_INVALID;
	if ((*envelope)->body_case == CFW__ENVELOPE__BODY__NOT_SET) {
		cfw__envelope__free_unpacked(*envelope, NULL);
		*envelope = NULL;
		return FRAME_INVALID;
	}
	decoder->consumed += FRAME_HEADER_BYTES + size;
	return FRAME_OK;
}

size_t frame_append(GByteArray *out, const Cfw__Envelope *envelope)
{
	size_t size = cfw__envelope__get_packed_size(envelope);
	uint32_t header = htonl((uint32_t)size);
	guint at = out->len;

	g_byte_array_set_size(out, at + FRAME_HEADER_BYTES + (guint)size);
	memcpy(out->data + at, &header, sizeof(header));
	cfw__envelope__pack(envelope, out->data + at + FRAME_HEADER_BYTES);
	return FRAME_HEADER_BYTES + size;
}
