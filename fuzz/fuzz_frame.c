/*
 * fuzz_frame: the decoder of frames between processes. The first byte
 * says in which pieces the rest arrives; whatever the pieces, the same
 * messages must come out, and they must encode and decode again.
 */
#include "net/frame.h"

#include <stdlib.h>
#include <string.h>

#define FRAME_MAX_BYTES 65536

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_again(const Cfw__Envelope *envelope)
{
	struct frame_decoder *decoder = frame_decoder_create(UINT32_MAX);
	GByteArray *bytes = g_byte_array_new();
	Cfw__Envelope *again;

	frame_append(bytes, envelope);
	frame_decoder_feed(decoder, bytes->data, bytes->len);
	if (frame_decoder_next(decoder, &again) != FRAME_OK ||
	    again->body_case != envelope->body_case)
		abort();
	cfw__envelope__free_unpacked(again, NULL);
	g_byte_array_unref(bytes);
	frame_decoder_destroy(decoder);
}

/* Decodes all; the number of whole frames before the end or a fault. */
static size_t decode(const uint8_t *data, size_t size, size_t piece,
		     enum frame_status *status)
{
	struct frame_decoder *decoder = frame_decoder_create(FRAME_MAX_BYTES);
	size_t n = 0;

	*status = FRAME_MORE;
	for (size_t at = 0; at < size && *status == FRAME_MORE; at += piece) {
		Cfw__Envelope *envelope;

		frame_decoder_feed(decoder, data + at, MIN(piece, size - at));
		while ((*status = frame_decoder_next(decoder, &envelope)) ==
		       FRAME_OK) {
			n++;
			check_again(envelope);
			cfw__envelope__free_unpacked(envelope, NULL);
		}
	}
	frame_decoder_destroy(decoder);
	return n;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	enum frame_status whole_status, piece_status;
	size_t whole, pieces;

	if (!size)
		return 0;
	whole = decode(data + 1, size - 1, size, &whole_status);
	pieces = decode(data + 1, size - 1, (size_t)data[0] + 1, &piece_status);
	if (whole != pieces || whole_status != piece_status)
		abort();
	return 0;
}
