/*
 * cancel_rounds: decides when a cancel is acknowledged. A job may be in
 * progress at any dispatcher, and only that one can stop it, so each cancel is
 * passed on to all others. A caller is told that no job has the id only once
 * all of them have said so.
 *
 * Dispatchers that can't be reached are told once they can be, for
 * CANCEL_TELL_MS. One that doesn't answer soon is asked by way of agents as
 * well. A cancel that is repeated in that time asks the others again, because
 * the job may have been sent to one of them in between, but takes no more
 * memory.
 *
 * The module does no I/O and reads no clock. It is not thread-safe.
 *
 *	struct cancel_rounds *rounds = cancel_rounds_create(&sink);
 *	cancel_rounds_apply_roster(rounds, addresses, n, settled, now_ms);
 *	cancel_rounds_request(rounds, id, found_here, caller, deadline_ms,
 *			      now_ms);
 *	cancel_rounds_peer_up(rounds, address, now_ms); // asks it
 *	cancel_rounds_peer_answered(rounds, address, &reply, now_ms);
 *	cancel_rounds_tick(rounds, now_ms);
 */
#ifndef LEASED_CANCEL_ROUNDS_H
#define LEASED_CANCEL_ROUNDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Callers who state no deadline wait this long; a job ends with its last one,
 * also at a dispatcher that was frozen. */
#define CANCEL_TELL_MS 30000
/* A dispatcher that comes on the roster is told of cancels of this time: it may
 * have got the job before the others knew of it. The roster comes with the
 * renewals of a lease, at the latest after its end. */
#define CANCEL_KEEP_MS 2000
/* A caller gets its answer after this time at the latest. Enough for the lease
 * of a dispatcher that was lost to end. */
#define CANCEL_WAIT_MS 2500
/* The answer is sent this long before the caller's deadline. */
#define CANCEL_MARGIN_MS 15
/* A dispatcher that left the roster may have been cut off from the coordinators
 * only, or frozen. It is asked for as long. */
#define CANCEL_DEPARTED_MS CANCEL_TELL_MS
/* It doesn't hold up an answer for longer than this. */
#define CANCEL_DEPARTED_WAIT_MS 500
/* Dispatchers that haven't answered are asked by way of agents, first after
 * this time and then each time that it has passed. */
#define CANCEL_RELAY_MS 100
/* Orders sent by way of agents each time. */
#define CANCEL_RELAYS_MAX 100
/* Cancels of which a dispatcher has to be told; the oldest is forgotten first.
 * 300 cancels a second while one dispatcher can't be reached. */
#define CANCEL_OPEN_MAX 10000

struct cancel_rounds;
struct cancel_sink;

enum cancel_verdict {
	CANCEL_STOPPED, /* it was in progress here or elsewhere */
	CANCEL_NOWHERE, /* no dispatcher has it */
	CANCEL_UNCONFIRMED, /* some dispatcher hasn't answered */
};

struct cancel_outcome {
	enum cancel_verdict verdict;
	uint32_t asked, unanswered; /* other dispatchers */
	const char *missing; /* address of an unanswered one, or "" */
};

struct cancel_order {
	const char *id;
	uint64_t seq; /* the reply has the same */
	uint32_t age_ms; /* since the last cancel by a caller */
};

struct cancel_reply {
	const char *id;
	uint64_t seq;
	bool found;
};

struct cancel_sink_ops {
	/* Called only while the peer is connected. */
	void (*ask)(struct cancel_sink *sink, const char *address,
		    const struct cancel_order *order);
	/* Asks by way of agents; attempt counts from 0. */
	void (*relay)(struct cancel_sink *sink, const char *address,
		      const struct cancel_order *order, uint32_t attempt);
	/* A peer that isn't connected has to be asked. */
	void (*connect)(struct cancel_sink *sink, const char *address);
	/* Called once for each caller. */
	void (*answer)(struct cancel_sink *sink, void *caller, const char *id,
		       const struct cancel_outcome *outcome);
};

struct cancel_sink {
	const struct cancel_sink_ops *ops; /* first member */
};

struct cancel_rounds *cancel_rounds_create(struct cancel_sink *sink);
void cancel_rounds_destroy(struct cancel_rounds *rounds); /* answers nobody */

/* The addresses of the other dispatchers. Those that are missing on a settled
 * roster have departed. Until the first settled one, no cancel is confirmed. */
void cancel_rounds_apply_roster(struct cancel_rounds *rounds,
				const char *const *addresses, size_t n,
				bool settled, int64_t now_ms);
/* Cancels a job for a caller, who waits until deadline_ms. found_here: it was
 * in progress here and is being stopped. The answer may be sent before the call
 * returns. */
void cancel_rounds_request(struct cancel_rounds *rounds, const char *id,
			   bool found_here, void *caller, int64_t deadline_ms,
			   int64_t now_ms);

void cancel_rounds_peer_up(struct cancel_rounds *rounds, const char *address,
			   int64_t now_ms);
void cancel_rounds_peer_down(struct cancel_rounds *rounds, const char *address);
void cancel_rounds_peer_answered(struct cancel_rounds *rounds,
				 const char *address,
				 const struct cancel_reply *reply,
				 int64_t now_ms);
/* False once a dispatcher has left for good. */
bool cancel_rounds_knows(const struct cancel_rounds *rounds,
			 const char *address);
/* True if a peer has to be connected to, as an answer of it is missing. */
bool cancel_rounds_needs(const struct cancel_rounds *rounds,
			 const char *address);
void cancel_rounds_tick(struct cancel_rounds *rounds, int64_t now_ms);
/* Answers all callers before the process exits. */
void cancel_rounds_abort(struct cancel_rounds *rounds);
/* Number of cancels of which not all dispatchers have been told. */
uint32_t cancel_rounds_open(const struct cancel_rounds *rounds);

#endif
