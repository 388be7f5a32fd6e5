/*
 * server_incarnation: tells whether a message of a backend server comes from
 * the incarnation that is known, from an earlier one or from a new one. Start
 * times order the incarnations only while the host's clock isn't set back, and
 * a report may arrive long after its sender has ended. The answer to a poll
 * that was sent after an incarnation became known can't come from an earlier
 * one. Two incarnations may even have the same start time; the server's own
 * clock, which starts anew, tells them apart. The module does no I/O and reads
 * no clock. It is not thread-safe.
 */
#ifndef LEASED_SERVER_INCARNATION_H
#define LEASED_SERVER_INCARNATION_H

#include <stdbool.h>
#include <stdint.h>

#define SERVER_EARLIER_INCARNATIONS_MAX 8

struct server_incarnation {
	int64_t start_time_ms;
	uint64_t seq; /* of the newest report */
	int64_t report_clock_ms; /* the server's clock in it */
	bool has_report; /* false: these two are not known */
	/* The server's clock in the newest list of the incarnation, and when on
	 * the agent's clock that poll was sent and answered. */
	int64_t clock_ms, clock_sent_ms, clock_read_ms;
	bool has_clock;
	/* Start times of earlier incarnations, in a ring. */
	int64_t earlier_ms[SERVER_EARLIER_INCARNATIONS_MAX];
	uint32_t n_earlier; /* total */
};

enum server_message {
	SERVER_MESSAGE_CURRENT,
	SERVER_MESSAGE_NEW, /* from a new incarnation */
	/* From an earlier incarnation, or from a new one; or an old message of
	 * the known one. The answer to another poll tells. */
	SERVER_MESSAGE_UNPROVEN,
};

/* A new incarnation was recognised; at first, the server became known. */
void server_incarnation_begin(struct server_incarnation *incarnation,
			      int64_t start_time_ms);
enum server_message
server_incarnation_check_report(const struct server_incarnation *incarnation,
				int64_t start_time_ms, uint64_t seq,
				int64_t clock_ms, int64_t now_ms);
void server_incarnation_reported(struct server_incarnation *incarnation,
				 uint64_t seq, int64_t clock_ms);
/* For the answer to a poll that was sent after the incarnation became known.
 * start_time_ms 0: not included. */
enum server_message
server_incarnation_check_lists(const struct server_incarnation *incarnation,
			       int64_t start_time_ms, int64_t clock_ms,
			       int64_t sent_ms);
/* Records the clock in a list of the known incarnation. */
void server_incarnation_listed(struct server_incarnation *incarnation,
			       int64_t clock_ms, int64_t sent_ms,
			       int64_t now_ms);

#endif
