/*
 * store: the durable log of one member in a data folder.
 *
 *   lock              held by the process that uses the folder
 *   identity          16 random bytes, made at the first start
 *   snapshot-INDEX    newest snapshot
 *   log-NUMBER        segments of the log, in order
 *
 * All files are frames: 4 bytes "CFR1", 4 bytes length (little endian),
 * 8 bytes XXH64 of the payload seeded with its length, the payload. A
 * synced write is one frame, so that a torn write is a bad last frame.
 *
 * One thread at a time. After a failed write or sync nothing more is
 * written: what is on the disk is only known after a new start (Rebello
 * et al., "Can Applications Recover from fsync Failures?", 2020).
 */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include "chervilferry.h"
#include "proto/wire.pb-c.h"

#include <sys/types.h>

#define STORE_IDENTITY_SIZE 16
#define STORE_FRAME_HEADER_BYTES 16 /* bytes before the payload */
#define STORE_FRAME_MAX_BYTES ((size_t)256 << 20) /* bytes of payload */
#define STORE_SEGMENT_ROTATE_BYTES ((uint64_t)4 << 20) /* begins another one   \
							*/

enum store_error {
	STORE_ERROR_IO, /* the message has the system's reason */
	STORE_ERROR_CORRUPT, /* file and offset are in the message */
	STORE_ERROR_LOCKED, /* another process uses the folder */
	STORE_ERROR_FAILED, /* an earlier write failed */
};

#define STORE_ERROR store_error_quark()
GQuark store_error_quark(void);

/* File operations: results and errno as of the system calls. */
struct store_ops {
	int (*open)(struct store_ops *ops, const char *path, int flags);
	ssize_t (*write)(struct store_ops *ops, int fd, const void *data,
			 size_t size_bytes);
	int (*sync)(struct store_ops *ops, int fd);
	int (*rename)(struct store_ops *ops, const char *from, const char *to);
};

extern struct store_ops store_system_ops;

/* What was found at the start. */
struct store_recovered {
	struct cf_hard_state state;
	struct cf_snapshot snapshot; /* index 0: none */
	GArray *entries; /* struct cf_entry, after the snapshot */
	uint64_t truncated_bytes; /* of a torn tail */
};

/* One synced write. */
struct store_write {
	struct cf_hard_state state;
	const struct cf_snapshot *snapshot; /* received; the log restarts */
	const struct cf_entry *entries; /* replace from entries[0].index */
	size_t n_entries;
};

struct store;

struct store *store_open(const char *folder, struct store_ops *ops,
			 struct store_recovered *recovered,
			 GError **error); /* NULL ops: the system's */
void store_close(struct store *store); /* NULL is allowed */
bool store_append(struct store *store, const struct store_write *write,
		  GError **error); /* synced when true */
bool store_save_snapshot(struct store *store,
			 const struct cf_snapshot *snapshot,
			 GError **error); /* of applied entries; trims */
const uint8_t *store_identity(const struct store *store);
void store_clear_recovered(struct store_recovered *recovered);

/* ---- Frames and records (store_record.c) ---- */

enum store_frame {
	STORE_FRAME_VALID,
	STORE_FRAME_TRUNCATED, /* ends before its length says so */
	STORE_FRAME_INVALID, /* no frame, or the checksum differs */
};

void store_frame_append(GByteArray *out, const void *payload,
			size_t size_bytes);
enum store_frame store_frame_read(const uint8_t *data, size_t size_bytes,
				  const uint8_t **payload,
				  size_t *payload_bytes);
GByteArray *store_record_encode(const struct store_write *write); /* a frame */
Cfw__StoreRecord *
store_record_decode(const uint8_t *payload,
		    size_t size_bytes); /* NULL: malformed; free_unpacked */
GBytes *store_snapshot_encode(const struct cf_snapshot *snapshot);
bool store_snapshot_decode(GBytes *data, struct cf_snapshot *snapshot);

/* ---- Files (store_file.c) ---- */

bool store_set_io_error(
	GError **error, const char *what,
	const char *path); /* sets STORE_ERROR_IO from errno; false */
bool store_write_all(struct store_ops *ops, int fd, const void *data,
		     size_t size_bytes); /* errno when false */
bool store_sync_folder(struct store_ops *ops, const char *folder,
		       GError **error);
bool store_write_file(struct store_ops *ops, const char *folder,
		      const char *name, GBytes *data, GError **error);

/* ---- Recovery (store_recover.c) ---- */

struct store_segment {
	uint64_t number;
	uint64_t last_index; /* greatest index that it holds, 0 none */
};

/* Reads all files; needs_reset tells that the log on disk does not lead
 * up to the snapshot, and a reset must be written before anything else. */
bool store_recover(const char *folder, struct store_recovered *recovered,
		   GArray *segments, bool *needs_reset, GError **error);
char *store_segment_path(const char *folder, uint64_t number);

#endif
