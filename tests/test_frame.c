/*
 * test_frame: bounds of the frame decoder.
 */
#include "net/frame.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define STARTS 3
#define FRAME_MAX_BYTES 65536

static GByteArray *make_frame(void)
{
	Cfw__Envelope envelope = CFW__ENVELOPE__INIT;
	Cfw__RunOrders orders = CFW__RUN_ORDERS__INIT;
	Cfw__RunStart start = CFW__RUN_START__INIT;
	Cfw__RunStart *starts[STARTS] = { &start, &start, &start };
	GByteArray *frame = g_byte_array_new();

	start.job = "5c0e7a21d94b36f8";
	start.server = "i-1";
	start.class_name = "r";
	start.spec.data = (uint8_t *)"200";
	start.spec.len = 3;
	orders.starts = starts;
	orders.n_starts = STARTS;
	envelope.body_case = CFW__ENVELOPE__BODY_RUN_ORDERS;
	envelope.run_orders = &orders;
	frame_append(frame, &envelope);
	return frame;
}

static enum frame_status decode(const GByteArray *frame,
				uint32_t frame_max_bytes,
				uint64_t decoded_max_bytes)
{
	struct frame_decoder *decoder = frame_decoder_create(1);
	Cfw__Envelope *envelope;
	enum frame_status status;

	frame_decoder_set_max(decoder, frame_max_bytes, decoded_max_bytes);
	frame_decoder_feed(decoder, frame->data, frame->len);
	assert_int_equal(frame_decoder_pending(decoder), frame->len);
	status = frame_decoder_next(decoder, &envelope);
	if (status == FRAME_OK)
		assert_int_equal(envelope->run_orders->n_starts, STARTS);
	if (status == FRAME_OK)
		assert_int_equal(frame_decoder_pending(decoder), 0);
	if (envelope)
		cfw__envelope__free_unpacked(envelope, NULL);
	frame_decoder_destroy(decoder);
	return status;
}

static void test_length(void **state)
{
	GByteArray *frame = make_frame();
	uint32_t size = frame->len - FRAME_HEADER_BYTES;

	(void)state;
	assert_int_equal(decode(frame, size, FRAME_MAX_BYTES), FRAME_OK);
	assert_int_equal(decode(frame, size - 1, FRAME_MAX_BYTES),
			 FRAME_TOO_LARGE);
	g_byte_array_unref(frame);
}

/* Guards against a decoder that uses what it couldn't allocate: the bound may
 * be met anywhere in the frame. */
static void test_decoded_size(void **state)
{
	GByteArray *frame = make_frame();
	uint64_t decoded_max_bytes = 0;

	(void)state;
	while (decode(frame, FRAME_MAX_BYTES, decoded_max_bytes) != FRAME_OK) {
		assert_int_equal(
			decode(frame, FRAME_MAX_BYTES, decoded_max_bytes),
			FRAME_TOO_LARGE);
		decoded_max_bytes++;
	}
	assert_true(decoded_max_bytes > STARTS * sizeof(Cfw__RunStart));
	g_byte_array_unref(frame);
}

static void test_clear(void **state)
{
	GByteArray *frame = make_frame();
	struct frame_decoder *decoder = frame_decoder_create(FRAME_MAX_BYTES);
	Cfw__Envelope *envelope;

	(void)state;
	frame_decoder_feed(decoder, frame->data, frame->len - 1);
	frame_decoder_clear(decoder);
	assert_int_equal(frame_decoder_pending(decoder), 0);
	assert_int_equal(frame_decoder_next(decoder, &envelope),
			 FRAME_INCOMPLETE);
	frame_decoder_destroy(decoder);
	g_byte_array_unref(frame);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_length),
		cmocka_unit_test(test_decoded_size),
		cmocka_unit_test(test_clear),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
