/*
 * frame: encodes and decodes frames, each a 4-byte length in network byte
 * order followed by an Envelope. Does no I/O. Not thread-safe.
 */
#ifndef NET_FRAME_H
#define NET_FRAME_H

#include "proto/wire.pb-c.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#define FRAME_HEADER_BYTES 4

enum frame_status {
	FRAME_OK,
	FRAME_INCOMPLETE, /* more bytes are needed */
	FRAME_TOO_LARGE, /* its length, or its decoded size, exceeds the limit
			  */
	FRAME_INVALID, /* empty, or not an Envelope with a known body */
};

struct frame_decoder;

struct frame_decoder *frame_decoder_create(uint32_t frame_max_bytes);
void frame_decoder_destroy(struct frame_decoder *decoder); /* NULL allowed */
void frame_decoder_feed(struct frame_decoder *decoder, const void *data,
			size_t size_bytes);
/* Applies to frames that are decoded from now on. A decoded envelope takes more
 * than its frame, some ninety times as much for many empty entries; it is
 * bounded for itself. */
void frame_decoder_set_max(struct frame_decoder *decoder,
			   uint32_t frame_max_bytes,
			   uint64_t decoded_max_bytes);
/* Bytes that were fed and not decoded yet. */
size_t frame_decoder_pending(const struct frame_decoder *decoder);
/* Forgets these bytes and frees them. */
void frame_decoder_clear(struct frame_decoder *decoder);
/* On FRAME_OK the caller frees *envelope with cfw__envelope__free_unpacked.
 * After FRAME_TOO_LARGE or FRAME_INVALID only destroy is allowed. */
enum frame_status frame_decoder_next(struct frame_decoder *decoder,
				     Cfw__Envelope **envelope);

/* Appends a frame to out. Returns its size in bytes including the header. */
size_t frame_append(GByteArray *out, const Cfw__Envelope *envelope);

#endif
