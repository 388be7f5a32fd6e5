/*
 * fuzz_frame: feeds arbitrary bytes to the decoder of frames between
 * processes. The first byte sets the size of the pieces in which the rest
 * arrives. The piece size must change neither the number of decoded
 * messages nor the final status, and every decoded message must encode
 * and decode again.
 */
#include "net/frame.h"

#include <stdbool.h>
#include <stdlib.h>

#define FRAME_MAX_BYTES 65536

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool has_unknown(const ProtobufCMessage *message);

/* Reports whether a message field contains unknown fields. Skips members
 * of a oneof that are not selected, because they are unset. */
static bool field_has_unknown(const ProtobufCMessage *message,
			      const ProtobufCFieldDescriptor *field)
{
	const uint8_t *base = (const uint8_t *)message;
	const void *member = base + field->offset;
	size_t n = 1;

	if (field->type != PROTOBUF_C_TYPE_MESSAGE)
		return false;
	if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) {
		const void *selected_id = base + field->quantifier_offset;

		if (*(const uint32_t *)selected_id != field->id)
			return false;
	}
	if (field->label == PROTOBUF_C_LABEL_REPEATED) {
		const void *count = base + field->quantifier_offset;

		n = *(const size_t *)count;
		member = *(const void *const *)member;
	}
	for (size_t i = 0; i < n; i++) {
		const ProtobufCMessage *inner =
			((const ProtobufCMessage *const *)member)[i];

		if (inner && has_unknown(inner))
			return true;
	}
	return false;
}

static bool has_unknown(const ProtobufCMessage *message)
{
	const ProtobufCMessageDescriptor *kind = message->descriptor;

	if (message->n_unknown_fields)
		return true;
	for (unsigned int i = 0; i < kind->n_fields; i++)
		if (field_has_unknown(message, &kind->fields[i]))
			return true;
	return false;
}

/* Messages with unknown fields are encoded but not decoded again:
 * protobuf-c accepts field number 0 encoded in two bytes, writes it in one
 * byte, and then rejects its own output. */
static void check_round_trip(const Cfw__Envelope *envelope)
{
	struct frame_decoder *decoder = frame_decoder_create(UINT32_MAX);
	GByteArray *bytes = g_byte_array_new();
	Cfw__Envelope *decoded;

	if (!protobuf_c_message_check(&envelope->base))
		abort();
	if (frame_append(bytes, envelope) != bytes->len)
		abort();
	if (has_unknown(&envelope->base)) {
		g_byte_array_unref(bytes);
		frame_decoder_destroy(decoder);
		return;
	}
	frame_decoder_feed(decoder, bytes->data, bytes->len);
	if (frame_decoder_next(decoder, &decoded) != FRAME_OK ||
	    decoded->body_case != envelope->body_case)
		abort();
	cfw__envelope__free_unpacked(decoded, NULL);
	g_byte_array_unref(bytes);
	frame_decoder_destroy(decoder);
}

/* Decodes all input, fed in pieces of piece_size bytes. Returns the number
 * of valid frames before the end of the input or the first invalid frame. */
static size_t decode(const uint8_t *data, size_t size, size_t piece_size,
		     enum frame_status *status)
{
	struct frame_decoder *decoder = frame_decoder_create(FRAME_MAX_BYTES);
	size_t n = 0;

	*status = FRAME_INCOMPLETE;
	for (size_t position = 0;
	     position < size && *status == FRAME_INCOMPLETE;
	     position += piece_size) {
		Cfw__Envelope *envelope;

		frame_decoder_feed(decoder, data + position,
				   MIN(piece_size, size - position));
		while ((*status = frame_decoder_next(decoder, &envelope)) ==
		       FRAME_OK) {
			n++;
			check_round_trip(envelope);
			cfw__envelope__free_unpacked(envelope, NULL);
		}
	}
	frame_decoder_destroy(decoder);
	return n;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	enum frame_status whole_status, piece_status;
	size_t whole_count, pieces_count;

	if (!size)
		return 0;
	whole_count = decode(data + 1, size - 1, size, &whole_status);
	pieces_count =
		decode(data + 1, size - 1, (size_t)data[0] + 1, &piece_status);
	if (whole_count != pieces_count || whole_status != piece_status)
		abort();
	return 0;
}
