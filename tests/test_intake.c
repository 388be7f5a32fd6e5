/*
 * test_intake: what is refused or given up at the bounds of a door, as tables
 * of steps, and how the limits of a machine are divided among its doors.
 */
#include "base/counters.h"
#include "net/doors.h"
#include "net/intake.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define CONNECTIONS_MAX 3
#define BYTES_MAX 1000
#define ENTRIES 5
#define STEPS_MAX 12
#define MB 1000000ULL
#define CONNECTION_BYTES 65536 /* a buffer here and one in the kernel */

/* ---- Types ---- */

enum action {
	END,
	OPEN,
	CLOSE,
	WAIT,
	STOP, /* waiting */
	RESIZE,
	KEEP,
};

struct step {
	enum action action;
	int entry;
	uint64_t bytes;
	bool has_room; /* OPEN, RESIZE and KEEP */
	const char *given_up; /* all entries that are so far, such as "02" */
};

struct sequence {
	const char *name;
	struct step steps[STEPS_MAX];
};

struct peer {
	struct intake_entry entry;
	bool open;
	uint64_t answer_bytes; /* stay until the connection is closed */
};

/* ---- Tables ---- */

static const struct sequence sequences[] = {
	{ "the connection that has waited longest makes way",
	  { { OPEN, 0, 0, true, "" },
	    { OPEN, 1, 0, true, "" },
	    { OPEN, 2, 0, true, "" },
	    { WAIT, 0, 0, true, "" },
	    { OPEN, 3, 0, true, "1" } } },
	{ "what is worked on makes no way",
	  { { OPEN, 0, 0, true, "" },
	    { OPEN, 1, 0, true, "" },
	    { OPEN, 2, 0, true, "" },
	    { STOP, 0, 0, true, "" },
	    { STOP, 1, 0, true, "" },
	    { OPEN, 3, 0, true, "2" },
	    { STOP, 3, 0, true, "2" },
	    { OPEN, 4, 0, false, "2" } } },
	{ "a closed connection leaves room",
	  { { OPEN, 0, 0, true, "" },
	    { OPEN, 1, 0, true, "" },
	    { OPEN, 2, 0, true, "" },
	    { CLOSE, 1, 0, true, "" },
	    { OPEN, 3, 0, true, "" } } },
	{ "bytes of the one that has waited longest make way",
	  { { OPEN, 0, 0, true, "" },
	    { OPEN, 1, 0, true, "" },
	    { RESIZE, 1, 700, true, "" },
	    { RESIZE, 0, 300, true, "" },
	    { WAIT, 0, 0, true, "" },
	    { OPEN, 2, 0, true, "" },
	    { RESIZE, 2, 10, true, "1" },
	    { RESIZE, 2, 700, true, "1" },
	    { RESIZE, 2, 701, true, "01" } } },
	{ "one that is given up for itself has no room",
	  { { OPEN, 0, 0, true, "" }, { RESIZE, 0, 1001, false, "0" } } },
	{ "a connection that was given up keeps nothing more",
	  { { OPEN, 0, 0, true, "" },
	    { RESIZE, 0, 1000, true, "" },
	    { OPEN, 1, 0, true, "" },
	    { RESIZE, 1, 1, true, "0" },
	    { RESIZE, 0, 1, false, "0" },
	    { KEEP, 0, 0, false, "0" },
	    { WAIT, 0, 0, true, "0" },
	    { RESIZE, 1, 1000, true, "0" } } },
	{ "large requests find no room before small ones",
	  { { OPEN, 0, 0, true, "" },
	    { RESIZE, 0, 250, true, "" },
	    { KEEP, 0, 0, true, "" },
	    { OPEN, 1, 0, true, "" },
	    { RESIZE, 1, 188, true, "" },
	    { KEEP, 1, 0, false, "" },
	    { RESIZE, 1, 187, true, "" },
	    { KEEP, 1, 0, true, "" } } },
	{ "requests in progress make no way",
	  { { OPEN, 0, 0, true, "" },
	    { RESIZE, 0, 250, true, "" },
	    { KEEP, 0, 0, true, "" },
	    { OPEN, 1, 0, true, "" },
	    { RESIZE, 1, 750, true, "" },
	    { RESIZE, 1, 751, false, "1" } } },
	{ "an answer in place of its request",
	  { { OPEN, 0, 0, true, "" },
	    { RESIZE, 0, 250, true, "" },
	    { KEEP, 0, 0, true, "" },
	    { RESIZE, 0, 0, true, "" },
	    { RESIZE, 0, 900, true, "" },
	    { WAIT, 0, 0, true, "" },
	    { OPEN, 1, 0, true, "" },
	    { RESIZE, 1, 250, true, "0" },
	    { KEEP, 1, 0, true, "0" } } },
};

/* ---- Tests ---- */

static uint64_t give_up(struct intake_entry *entry)
{
	return ((struct peer *)entry)->answer_bytes;
}

static bool take_step(struct intake *intake, struct peer *peer,
		      const struct step *step)
{
	static const struct intake_ops ops = { give_up };

	switch (step->action) {
	case OPEN:
		peer->open = true;
		return intake_open(intake, &peer->entry, &ops, 0);
	case CLOSE:
		peer->open = false;
		intake_close(&peer->entry);
		return true;
	case WAIT:
		intake_wait(&peer->entry);
		return true;
	case STOP:
		intake_stop_waiting(&peer->entry);
		return true;
	case RESIZE:
		return intake_resize(&peer->entry, step->bytes, 0);
	case KEEP:
		return intake_keep(&peer->entry, 0);
	case END:
		break;
	}
	return false;
}

static void check_given_up(const struct sequence *sequence, int step,
			   const struct peer *peers)
{
	char given_up[ENTRIES + 1] = "";
	size_t n = 0;

	for (int i = 0; i < ENTRIES; i++)
		if (peers[i].entry.given_up)
			given_up[n++] = (char)('0' + i);
	if (g_strcmp0(given_up, sequence->steps[step].given_up))
		fail_msg("%s, step %d: \"%s\" given up", sequence->name, step,
			 given_up);
}

static void test_sequences(void **state)
{
	static const struct intake_limits limits = { CONNECTIONS_MAX,
						     BYTES_MAX };

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(sequences); k++) {
		const struct sequence *sequence = &sequences[k];
		struct intake *intake = intake_create("test", &limits);
		struct peer peers[ENTRIES] = { 0 };

		intake_lock(intake);
		for (int i = 0; i < STEPS_MAX && sequence->steps[i].action;
		     i++) {
			const struct step *step = &sequence->steps[i];

			if (take_step(intake, &peers[step->entry], step) !=
			    step->has_room)
				fail_msg("%s, step %d", sequence->name, i);
			check_given_up(sequence, i, peers);
		}
		for (int i = 0; i < ENTRIES; i++)
			if (peers[i].open)
				intake_close(&peers[i].entry);
		intake_unlock(intake);
		intake_destroy(intake);
		assert_int_equal(
			counter_value(gauge_get("door_connections",
						"door=\"test\"", NULL)),
			0);
		assert_int_equal(
			counter_value(gauge_get("door_held_bytes",
						"door=\"test\"", NULL)),
			0);
	}
}

/* An answer is freed only when its connection is closed; until then the sum
 * counts it, but nothing else has to make way for it. */
static void test_answers_leave_late(void **state)
{
	static const struct intake_limits limits = { CONNECTIONS_MAX,
						     BYTES_MAX };
	struct intake *intake = intake_create("late", &limits);
	struct counter *bytes =
		gauge_get("door_held_bytes", "door=\"late\"", NULL);
	static const struct intake_ops ops = { give_up };
	struct peer a = { .answer_bytes = 900 }, b = { 0 };

	(void)state;
	intake_lock(intake);
	assert_true(intake_open(intake, &a.entry, &ops, 0));
	assert_true(intake_resize(&a.entry, 900, 0));
	assert_true(intake_open(intake, &b.entry, &ops, 0));
	assert_true(intake_resize(&b.entry, 200, 0));
	assert_true(a.entry.given_up);
	assert_int_equal(counter_value(bytes), 1100);
	assert_true(intake_resize(&b.entry, 1000, 0));
	intake_close(&a.entry);
	assert_int_equal(counter_value(bytes), 1000);
	intake_close(&b.entry);
	intake_unlock(intake);
	intake_destroy(intake);
}

static const struct {
	struct machine_limits machine;
	enum door_division division;
	struct door_limits doors[DOOR_COUNT];
} machines[] = {
	/* The pages' machines: callers, backend servers, operators. */
	{ { 260 * MB, 4100 },
	  DOORS_FOR_REQUESTS,
	  { { 1084, 32500000, 16250000 },
	    { 433, 24375000, 0 },
	    { 216, 8125000, 8125000 } } },
	{ { 160 * MB, 4100 },
	  DOORS_FOR_REQUESTS,
	  { { 667, 20000000, 10000000 },
	    { 267, 15000000, 0 },
	    { 133, 5000000, 5000000 } } },
	{ { 128 * MB, 4096 },
	  DOORS_FOR_REQUESTS,
	  { { 533, 16000000, 8000000 },
	    { 213, 12000000, 0 },
	    { 106, 4000000, 4000000 } } },
	{ { 256 * MB, 4096 },
	  DOORS_FOR_LINKS,
	  { { 427, 32000000, 16000000 },
	    { 1067, 24000000, 0 },
	    { 213, 8000000, 8000000 } } },
	/* Few descriptors. */
	{ { 1000 * MB, 1024 },
	  DOORS_FOR_REQUESTS,
	  { { 386, 125000000, 62500000 },
	    { 154, 93750000, 0 },
	    { 77, 31250000, 31250000 } } },
	{ { 32 * MB, 128 },
	  DOORS_FOR_LINKS,
	  { { 19, 4000000, 2000000 },
	    { 48, 3000000, 0 },
	    { 9, 1000000, 1000000 } } },
};

/* All doors full at once, each buffer and each socket too, and each thread at
 * its largest request: an eighth of the memory is left for the process. */
static void test_the_sum_fits(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(machines); k++) {
		const struct machine_limits *machine = &machines[k].machine;
		struct door_limits doors[DOOR_COUNT];
		uint64_t connections = 0, bytes = 0;

		doors_divide(machine, machines[k].division, doors);
		for (int i = 0; i < DOOR_COUNT; i++) {
			connections += doors[i].connections_max;
			bytes += doors[i].held_max_bytes +
				 doors[i].parsed_max_bytes;
		}
		bytes +=
			doors[DOOR_LINKS].held_max_bytes; /* a frame, decoded */
		bytes += connections * CONNECTION_BYTES;
		assert_true(bytes <= machine->memory_bytes / 8 * 7);
		assert_true(connections <= machine->descriptors * 3 / 4);
	}
}

static void test_division(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(machines); k++) {
		struct door_limits doors[DOOR_COUNT];

		doors_divide(&machines[k].machine, machines[k].division, doors);
		for (int i = 0; i < DOOR_COUNT; i++) {
			assert_int_equal(doors[i].connections_max,
					 machines[k].doors[i].connections_max);
			assert_int_equal(doors[i].held_max_bytes,
					 machines[k].doors[i].held_max_bytes);
			assert_int_equal(doors[i].parsed_max_bytes,
					 machines[k].doors[i].parsed_max_bytes);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sequences),
		cmocka_unit_test(test_answers_leave_late),
		cmocka_unit_test(test_the_sum_fits),
		cmocka_unit_test(test_division),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
