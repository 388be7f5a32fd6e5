/*
 * crowd: many connections to one address, whose clients don't behave: requests
 * or frames that stop short of their end, or never end, and answers that
 * nobody reads.
 */
#ifndef SUPPORT_CROWD_H
#define SUPPORT_CROWD_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum crowd_form {
	CROWD_SILENT, /* no byte is sent */
	CROWD_HEADERS, /* header lines without end */
	CROWD_LENGTH, /* a body of announced length */
	CROWD_CHUNKS, /* a chunked body without end */
	CROWD_WHOLE, /* a whole request; its answer is read */
	CROWD_UNREAD, /* whole requests; no answer is read */
	CROWD_FRAME, /* a frame between processes, as the first one */
	CROWD_FRAME_AFTER_HELLO,
	CROWD_ENTRIES, /* a whole frame of many empty entries, after a Hello */
};

struct crowd_plan {
	enum crowd_form form;
	const char *method, *path; /* requests; "%d" is the connection */
	const char *lines; /* further header lines, each with its end */
	/* CROWD_WHOLE: how the body begins; filled up to send_bytes with this
	 * unit again and again, or with spaces. */
	const char *body, *unit;
	uint32_t connections;
	/* Announced length of the body, or of the frame. */
	uint64_t announced_bytes;
	uint64_t chunk_bytes; /* CROWD_CHUNKS */
	/* Sent by each connection: of the body, else of the header lines, the
	 * requests or the frame. */
	uint64_t send_bytes;
	/* A connection that the server closes is opened again at once, until
	 * the crowd ends. */
	bool reopens;
};

struct crowd;

/* Connects to "ip:port", and sends until each connection has sent all of its
 * part, was closed, or could send nothing for some time, and until the server
 * has read what arrived, or reads no further. */
struct crowd *crowd_begin(const char *address, const struct crowd_plan *plan);
/* Closes what is still open. Threads: the one that began it. */
void crowd_end(struct crowd *crowd);
uint32_t crowd_closed(const struct crowd *crowd); /* by the server */
uint64_t crowd_sent_bytes(const struct crowd *crowd);

/* Of a process: the largest memory that it has held, in KiB, and the number of
 * descriptors that it has open. */
int64_t crowd_peak_kib(pid_t pid);
int64_t crowd_open_descriptors(pid_t pid);

#endif
