/*
 * frame: 4 bytes of length in network order, then an Envelope. No I/O:
 * bytes go in, messages come out. One thread at a time.
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
	FRAME_INCOMPLETE, /* not whole yet: feed more bytes */
	FRAME_TOO_LARGE, /* announces more than the limit */
	FRAME_INVALID, /* empty, or no Envelope with a known body */
};

struct frame_decoder;

struct frame_decoder *frame_decoder_create(uint32_t frame_max_bytes);
void frame_decoder_destroy(struct frame_decoder *decoder); /* NULL allowed */
void frame_decoder_feed(struct frame_decoder *decoder, const void *data,
			size_t size_bytes);
/* FRAME_OK: *envelope is the caller's to free with
 * cfw__envelope__free_unpacked. After a fault only destroy is allowed. */
enum frame_status frame_decoder_next(struct frame_decoder *decoder,
				     Cfw__Envelope **envelope);

/* Appends a frame to out; the bytes that it has with its header. */
size_t frame_append(GByteArray *out, const Cfw__Envelope *envelope);

#endif
