/*
 * store: durable storage of one coordinator's replicated log, in a data
 * folder.
 *
 *   lock              locked by the process that uses the folder
 *   identity          16 random bytes, generated at the first start
 *   snapshot-INDEX    the newest snapshot
 *   log-NUMBER        segments of the log, in order
 *
 * Every file consists of frames: 4 bytes "CFR1", 4 bytes payload length
 * (little endian), 8 bytes XXH64 of the payload with the length as seed,
 * then the payload. Each synced write is one frame, so a torn write shows
 * up as an invalid last frame.
 *
 * Not thread-safe: only one thread at a time may use a store. After a
 * failed write or sync the store refuses further writes, because only a
 * restart can find out what reached the disk (Rebello et al., "Can
 * Applications Recover from fsync Failures?", 2020).
 */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include "chervilferry.h"
#include "proto/wire.pb-c.h"

#include <sys/types.h>

#define STORE_IDENTITY_SIZE 16
/* Size of a frame's header, which precedes the payload. */
#define STORE_FRAME_HEADER_BYTES 16
/* Largest payload of a frame. */
#define STORE_FRAME_MAX_BYTES ((size_t)256 << 20)
/* Size at which the next write starts a new segment. */
#define STORE_SEGMENT_ROTATE_BYTES ((uint64_t)4 << 20)

enum store_error {
	STORE_ERROR_IO, /* system call failed; the message has the reason */
	STORE_ERROR_CORRUPT, /* the message has the file and the offset */
	STORE_ERROR_LOCKED, /* another process uses the folder */
	STORE_ERROR_FAILED, /* an earlier write failed */
};

#define STORE_ERROR store_error_quark()
GQuark store_error_quark(void);

/* File operations; they return results and set errno as the system calls
 * of the same name do. */
struct store_ops {
	int (*open)(struct store_ops *ops, const char *path, int flags);
	ssize_t (*write)(struct store_ops *ops, int fd, const void *data,
			 size_t size_bytes);
	int (*sync)(struct store_ops *ops, int fd);
	int (*rename)(struct store_ops *ops, const char *from, const char *to);
};

/* The default operations, which call the system. */
extern struct store_ops store_system_ops;

/* State read from the data folder when it is opened. */
struct store_recovered {
	struct cf_hard_state state;
	struct cf_snapshot snapshot; /* index 0: none */
	GArray *entries; /* struct cf_entry, those after the snapshot */
	uint64_t truncated_bytes; /* length of a torn tail that was cut off */
};

/* One synced write. */
struct store_write {
	struct cf_hard_state state;
	/* From the leader, replaces the log; NULL: none. */
	const struct cf_snapshot *snapshot;
	/* They replace all entries from entries[0].index on. */
	const struct cf_entry *entries;
	size_t n_entries;
};

struct store;

/* Opens and locks the folder, creating it if needed. ops may be NULL for
 * the system's operations. The caller clears recovered. */
struct store *store_open(const char *folder, struct store_ops *ops,
			 struct store_recovered *recovered, GError **error);
void store_close(struct store *store); /* NULL is allowed */
/* Returns true once the write is synced. */
bool store_append(struct store *store, const struct store_write *write,
		  GError **error);
/* Saves a snapshot of applied entries and deletes the segments that it
 * covers. */
bool store_save_snapshot(struct store *store,
			 const struct cf_snapshot *snapshot, GError **error);
const uint8_t *store_identity(const struct store *store);
void store_clear_recovered(struct store_recovered *recovered);

/* ---- Frames and records (store_record.c) ---- */

enum store_frame {
	STORE_FRAME_VALID,
	STORE_FRAME_TRUNCATED, /* the data ends before the frame does */
	STORE_FRAME_INVALID, /* wrong magic, length or checksum */
};

void store_frame_append(GByteArray *out, const void *payload,
			size_t size_bytes);
enum store_frame store_frame_read(const uint8_t *data, size_t size_bytes,
				  const uint8_t **payload,
				  size_t *payload_bytes);
/* Returns a complete frame. */
GByteArray *store_record_encode(const struct store_write *write);
/* Returns NULL if the record is malformed; release the result with
 * cfw__store_record__free_unpacked. */
Cfw__StoreRecord *store_record_decode(const uint8_t *payload,
				      size_t size_bytes);
GBytes *store_snapshot_encode(const struct cf_snapshot *snapshot);
bool store_snapshot_decode(GBytes *data, struct cf_snapshot *snapshot);

/* ---- Files (store_file.c) ---- */

/* Sets STORE_ERROR_IO with the reason from errno, and returns false. */
bool store_set_io_error(GError **error, const char *what, const char *path);
/* Writes all bytes; on failure returns false and leaves errno set. */
bool store_write_all(struct store_ops *ops, int fd, const void *data,
		     size_t size_bytes);
bool store_sync_folder(struct store_ops *ops, const char *folder,
		       GError **error);
bool store_write_file(struct store_ops *ops, const char *folder,
		      const char *name, GBytes *data, GError **error);

/* ---- Recovery (store_recover.c) ---- */

struct store_segment {
	uint64_t number;
	uint64_t last_index; /* greatest index in it; 0: none needed */
};

/* Reads the snapshot and all segments. Sets needs_reset if the log on disk
 * does not reach the snapshot; the caller must then write a reset record
 * before any other record. */
bool store_recover(const char *folder, struct store_recovered *recovered,
		   GArray *segments, bool *needs_reset, GError **error);
char *store_segment_path(const char *folder, uint64_t number);

#endif
