/*
 * test_cancel_rounds: when a cancel is acknowledged, and what is kept of it
 * until all dispatchers have been told.
 */
#include "leased/cancel_rounds.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- World ---- */

#define PEERS 2
#define NONE (-1)
#define DEADLINE_MS 100000

static const char *const addresses[PEERS] = { "10.0.0.1:1", "10.0.0.2:1" };

struct world {
	struct cancel_sink sink; /* first member */
	struct cancel_rounds *rounds;
	uint32_t asked[PEERS], connects[PEERS], relays[PEERS];
	uint32_t attempt; /* of the last relay */
	uint64_t seq[PEERS]; /* of the last order */
	uint32_t age_ms[PEERS];
	uint32_t answers;
	int verdict; /* of the last answer */
};

static int number_of(const char *address)
{
	return !strcmp(address, addresses[1]);
}

static void on_ask(struct cancel_sink *sink, const char *address,
		   const struct cancel_order *order)
{
	struct world *w = (struct world *)sink;
	int i = number_of(address);

	w->asked[i]++;
	w->seq[i] = order->seq;
	w->age_ms[i] = order->age_ms;
}

static void on_relay(struct cancel_sink *sink, const char *address,
		     const struct cancel_order *order, uint32_t attempt)
{
	struct world *w = (struct world *)sink;
	int i = number_of(address);

	w->relays[i]++;
	w->seq[i] = order->seq;
	w->age_ms[i] = order->age_ms;
	w->attempt = attempt;
}

static void on_connect(struct cancel_sink *sink, const char *address)
{
	((struct world *)sink)->connects[number_of(address)]++;
}

static void on_answer(struct cancel_sink *sink, void *caller, const char *id,
		      const struct cancel_outcome *outcome)
{
	struct world *w = (struct world *)sink;

	(void)caller;
	assert_true(*id);
	assert_true(outcome->unanswered <= outcome->asked);
	w->answers++;
	w->verdict = (int)outcome->verdict;
}

static void world_begin(struct world *w)
{
	static const struct cancel_sink_ops ops = { .ask = on_ask,
						    .relay = on_relay,
						    .connect = on_connect,
						    .answer = on_answer };

	memset(w, 0, sizeof(*w));
	w->sink.ops = &ops;
	w->verdict = NONE;
	w->rounds = cancel_rounds_create(&w->sink);
}

static void answer(struct world *w, int peer, uint64_t seq, bool found,
		   int64_t now_ms)
{
	struct cancel_reply reply = { .id = "j", .seq = seq, .found = found };

	cancel_rounds_peer_answered(w->rounds, addresses[peer], &reply, now_ms);
}

/* ---- Steps ---- */

enum step_kind {
	ROSTER, /* the first n addresses, settled */
	UNSETTLED, /* the same, not settled */
	UP,
	DOWN,
	CANCEL, /* n: it was found here */
	FOUND, /* peer n answers the last order */
	NOT_FOUND,
	STALE, /* peer n answers the order before it */
	TICK,
	ABORT,
};

struct step {
	int64_t at_ms;
	enum step_kind kind;
	int n;
	/* After the step. */
	uint32_t answers;
	int verdict;
	uint32_t open;
};

static void take(struct world *w, const struct step *s)
{
	struct cancel_rounds *r = w->rounds;

	switch (s->kind) {
	case ROSTER:
	case UNSETTLED:
		cancel_rounds_apply_roster(r, addresses, (size_t)s->n,
					   s->kind == ROSTER, s->at_ms);
		break;
	case UP:
		cancel_rounds_peer_up(r, addresses[s->n], s->at_ms);
		break;
	case DOWN:
		cancel_rounds_peer_down(r, addresses[s->n]);
		break;
	case CANCEL:
		cancel_rounds_request(r, "j", s->n, w, DEADLINE_MS, s->at_ms);
		break;
	case FOUND:
	case NOT_FOUND:
		answer(w, s->n, w->seq[s->n], s->kind == FOUND, s->at_ms);
		break;
	case STALE:
		answer(w, s->n, w->seq[s->n] - 1, false, s->at_ms);
		break;
	case TICK:
		cancel_rounds_tick(r, s->at_ms);
		break;
	case ABORT:
		cancel_rounds_abort(r);
		break;
	}
}

#define STEPS_MAX 12

struct sequence {
	const char *what;
	struct step steps[STEPS_MAX]; /* a step without a kind after them */
	int n;
};

#define STEPS(...)                                                             \
	.steps = { __VA_ARGS__ },                                              \
	.n = sizeof((struct step[]){ __VA_ARGS__ }) / sizeof(struct step)

#define S CANCEL_STOPPED
#define N CANCEL_NOWHERE
#define U CANCEL_UNCONFIRMED
#define WAIT CANCEL_WAIT_MS
#define GONE CANCEL_DEPARTED_WAIT_MS

/* Guards against acknowledgements that aren't true, and against callers that
 * wait for nothing. */
static const struct sequence sequences[] = {
	{ "no other dispatcher",
	  STEPS({ 0, ROSTER, 0, 0, NONE, 0 }, { 1, CANCEL, 0, 1, N, 0 }) },
	{ "found here is acknowledged at once, the others are told",
	  STEPS({ 0, ROSTER, 1, 0, NONE, 0 }, { 0, UP, 0, 0, NONE, 0 },
		{ 1, CANCEL, 1, 1, S, 1 }, { 2, NOT_FOUND, 0, 1, S, 0 }) },
	{ "found elsewhere, after all answers",
	  STEPS({ 0, ROSTER, 2, 0, NONE, 0 }, { 0, UP, 0, 0, NONE, 0 },
		{ 0, UP, 1, 0, NONE, 0 }, { 1, CANCEL, 0, 0, NONE, 1 },
		{ 2, FOUND, 0, 0, NONE, 1 }, { 3, NOT_FOUND, 1, 1, S, 0 }) },
	{ "found nowhere, after all answers",
	  STEPS({ 0, ROSTER, 2, 0, NONE, 0 }, { 0, UP, 0, 0, NONE, 0 },
		{ 0, UP, 1, 0, NONE, 0 }, { 1, CANCEL, 0, 0, NONE, 1 },
		{ 2, NOT_FOUND, 0, 0, NONE, 1 },
		{ 3, NOT_FOUND, 1, 1, N, 0 }) },
	{ "one doesn't answer",
	  STEPS({ 0, ROSTER, 1, 0, NONE, 0 }, { 0, UP, 0, 0, NONE, 0 },
		{ 1, CANCEL, 0, 0, NONE, 1 }, { WAIT, TICK, 0, 0, NONE, 1 },
		{ WAIT + 1, TICK, 0, 1, U, 1 }) },
	{ "found, and another one doesn't answer",
	  STEPS({ 0, ROSTER, 2, 0, NONE, 0 }, { 0, UP, 0, 0, NONE, 0 },
		{ 1, CANCEL, 0, 0, NONE, 1 }, { 2, FOUND, 0, 0, NONE, 1 },
		{ WAIT + 1, TICK, 0, 1, U, 1 }) },
	{ "it is told after a reconnect",
	  STEPS({ 0, ROSTER, 1, 0, NONE, 0 }, { 1, CANCEL, 0, 0, NONE, 1 },
		{ WAIT + 1, TICK, 0, 1, U, 1 }, { 9000, UP, 0, 1, U, 1 },
		{ 9001, FOUND, 0, 1, U, 0 }) },
	{ "it leaves the roster",
	  STEPS({ 0, ROSTER, 1, 0, NONE, 0 }, { 1, CANCEL, 0, 0, NONE, 1 },
		{ 100, ROSTER, 0, 0, NONE, 1 },
		{ 99 + GONE, TICK, 0, 0, NONE, 1 },
		{ 100 + GONE, TICK, 0, 1, N, 1 } /* it is told if it returns */,
		{ 900, UP, 0, 1, N, 1 }, { 901, FOUND, 0, 1, N, 0 }) },
	{ "it left the roster before and answers",
	  STEPS({ 0, ROSTER, 1, 0, NONE, 0 }, { 1, ROSTER, 0, 0, NONE, 0 },
		{ 5000, CANCEL, 0, 0, NONE, 1 }, { 5001, UP, 0, 0, NONE, 1 },
		{ 5002, FOUND, 0, 1, S, 0 }) },
	{ "it left the roster long before",
	  STEPS({ 0, ROSTER, 1, 0, NONE, 0 }, { 1, ROSTER, 0, 0, NONE, 0 },
		{ 1 + CANCEL_DEPARTED_MS, TICK, 0, 0, NONE, 0 },
		{ 2 + CANCEL_DEPARTED_MS, CANCEL, 0, 1, N, 0 }) },
	{ "an unsettled roster removes none",
	  STEPS({ 0, ROSTER, 1, 0, NONE, 0 }, { 1, UNSETTLED, 0, 0, NONE, 0 },
		{ 2, CANCEL, 0, 0, NONE, 1 }, { 900, TICK, 0, 0, NONE, 1 }) },
	{ "no settled roster yet",
	  STEPS({ 0, UNSETTLED, 0, 0, NONE, 0 }, { 1, CANCEL, 0, 0, NONE, 1 },
		{ 2, ROSTER, 1, 0, NONE, 1 }, { 3, UP, 0, 0, NONE, 1 },
		{ 4, FOUND, 0, 1, S, 0 }) },
	{ "an answer to an earlier request",
	  STEPS({ 0, ROSTER, 1, 0, NONE, 0 }, { 0, UP, 0, 0, NONE, 0 },
		{ 1, CANCEL, 0, 0, NONE, 1 }, { 2, CANCEL, 0, 0, NONE, 1 },
		{ 3, STALE, 0, 0, NONE, 1 }, { 4, NOT_FOUND, 0, 2, N, 0 }) },
	{ "the process stops",
	  STEPS({ 0, ROSTER, 1, 0, NONE, 0 }, { 1, CANCEL, 0, 0, NONE, 1 },
		{ 2, CANCEL, 0, 0, NONE, 1 }, { 3, ABORT, 0, 2, U, 1 }) },
	{ "one that comes on the roster just after it",
	  STEPS({ 0, ROSTER, 0, 0, NONE, 0 }, { 1, CANCEL, 0, 1, N, 0 },
		{ CANCEL_KEEP_MS, ROSTER, 1, 1, N, 1 },
		{ CANCEL_KEEP_MS, UP, 0, 1, N, 1 },
		{ CANCEL_KEEP_MS, FOUND, 0, 1, N, 0 },
		{ CANCEL_KEEP_MS + 1, TICK, 0, 1, N, 0 },
		{ CANCEL_KEEP_MS + 2, ROSTER, 2, 1, N, 0 }) },
	{ "a repetition doesn't tell what was found before",
	  STEPS({ 0, ROSTER, 0, 0, NONE, 0 }, { 1, CANCEL, 1, 1, S, 0 },
		{ 2, CANCEL, 0, 2, N, 0 }) },
	{ "nothing is kept for longer than it is of use",
	  STEPS({ 0, ROSTER, 1, 0, NONE, 0 }, { 1, CANCEL, 1, 1, S, 1 },
		{ CANCEL_TELL_MS, TICK, 0, 1, S, 1 },
		{ CANCEL_TELL_MS + 1, TICK, 0, 1, S, 0 }) },
};

static void test_sequences(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sequences); i++) {
		const struct sequence *q = &sequences[i];
		struct world w;

		world_begin(&w);
		for (int k = 0; k < q->n; k++) {
			const struct step *s = &q->steps[k];

			take(&w, s);
			if (w.answers != s->answers ||
			    w.verdict != s->verdict ||
			    cancel_rounds_open(w.rounds) != s->open)
				fail_msg("%s, step %d: %u answers, verdict %d, "
					 "%u open",
					 q->what, k, w.answers, w.verdict,
					 cancel_rounds_open(w.rounds));
		}
		cancel_rounds_destroy(w.rounds);
	}
}

/* Guards against cancels that reach a try of the job that came later: an order
 * that waited for a connection tells how long. */
static void test_age_and_cost(void **state)
{
	struct world w;

	(void)state;
	world_begin(&w);
	cancel_rounds_apply_roster(w.rounds, addresses, 2, true, 0);
	cancel_rounds_peer_up(w.rounds, addresses[0], 0);
	cancel_rounds_request(w.rounds, "j", false, &w, DEADLINE_MS, 1000);
	cancel_rounds_request(w.rounds, "j", false, &w, DEADLINE_MS, 1200);
	assert_int_equal(w.asked[0], 2);
	assert_int_equal(w.age_ms[0], 0);
	assert_int_equal(w.asked[1], 0);
	assert_int_equal(w.connects[0], 0);
	assert_true(w.connects[1] > 0);
	assert_true(cancel_rounds_needs(w.rounds, addresses[1]));
	cancel_rounds_peer_up(w.rounds, addresses[1], 1900);
	assert_int_equal(w.asked[1], 1);
	assert_int_equal(w.age_ms[1], 700);
	answer(&w, 1, w.seq[1], false, 1901);
	assert_false(cancel_rounds_needs(w.rounds, addresses[1]));
	cancel_rounds_destroy(w.rounds);
}

/* Guards against callers that get no answer at all. */
static void test_an_answer_comes_before_the_deadline(void **state)
{
	struct world w;

	(void)state;
	world_begin(&w);
	cancel_rounds_apply_roster(w.rounds, addresses, 1, true, 0);
	cancel_rounds_request(w.rounds, "j", false, &w, 500, 0);
	cancel_rounds_tick(w.rounds, 500 - CANCEL_MARGIN_MS - 1);
	assert_int_equal(w.answers, 0);
	cancel_rounds_tick(w.rounds, 500 - CANCEL_MARGIN_MS);
	assert_int_equal(w.answers, 1);
	assert_int_equal(w.verdict, CANCEL_UNCONFIRMED);
	cancel_rounds_destroy(w.rounds);
}

/* Guards against cancels that don't arrive because the dispatchers can't reach
 * each other, and against a flood of messages for them. */
static void test_agents_are_asked_to_pass_it_on(void **state)
{
	struct world w;

	(void)state;
	world_begin(&w);
	cancel_rounds_apply_roster(w.rounds, addresses, 2, true, 0);
	cancel_rounds_peer_up(w.rounds, addresses[0], 0);
	cancel_rounds_request(w.rounds, "j", false, &w, DEADLINE_MS, 1000);
	answer(&w, 0, w.seq[0], false, 1001);
	cancel_rounds_tick(w.rounds, 999 + CANCEL_RELAY_MS);
	assert_int_equal(w.relays[1], 0);
	cancel_rounds_tick(w.rounds, 1000 + 2 * CANCEL_RELAY_MS);
	assert_int_equal(w.relays[1], 1);
	assert_int_equal(w.attempt, 0);
	assert_int_equal(w.age_ms[1], 2 * CANCEL_RELAY_MS);
	cancel_rounds_tick(w.rounds, 1001 + 2 * CANCEL_RELAY_MS);
	assert_int_equal(w.relays[1], 1);
	cancel_rounds_tick(w.rounds, 1000 + 3 * CANCEL_RELAY_MS);
	assert_int_equal(w.attempt, 1);
	answer(&w, 1, w.seq[1], true, 1001 + 3 * CANCEL_RELAY_MS);
	assert_int_equal(w.verdict, CANCEL_STOPPED);
	assert_int_equal(w.relays[0], 0);
	for (int i = 0; i < 2 * CANCEL_RELAYS_MAX; i++) {
		char id[16];

		snprintf(id, sizeof(id), "%d", i);
		cancel_rounds_request(w.rounds, id, false, &w, DEADLINE_MS,
				      9000);
	}
	w.relays[0] = w.relays[1] = 0;
	cancel_rounds_tick(w.rounds, 9000 + CANCEL_RELAY_MS);
	assert_int_equal(w.relays[0] + w.relays[1], CANCEL_RELAYS_MAX);
	cancel_rounds_destroy(w.rounds);
}

/* Guards against memory that grows while a dispatcher can't be reached; the
 * caller of a cancel that is forgotten still gets its answer. */
static void test_memory_is_bounded(void **state)
{
	struct world w;

	(void)state;
	world_begin(&w);
	cancel_rounds_apply_roster(w.rounds, addresses, 1, true, 0);
	for (int i = 0; i < CANCEL_OPEN_MAX + 7; i++) {
		char id[16];

		snprintf(id, sizeof(id), "%d", i);
		cancel_rounds_request(w.rounds, id, false, &w, DEADLINE_MS, 1);
	}
	assert_int_equal(cancel_rounds_open(w.rounds), CANCEL_OPEN_MAX);
	assert_int_equal(w.answers, 7);
	assert_int_equal(w.verdict, CANCEL_UNCONFIRMED);
	cancel_rounds_destroy(w.rounds);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sequences),
		cmocka_unit_test(test_age_and_cost),
		cmocka_unit_test(test_an_answer_comes_before_the_deadline),
		cmocka_unit_test(test_agents_are_asked_to_pass_it_on),
		cmocka_unit_test(test_memory_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
