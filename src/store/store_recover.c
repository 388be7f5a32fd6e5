/*
 * store_recover: reads the data folder when it is opened. An invalid frame
 * at the very end of the newest segment comes from an interrupted write
 * that was never acknowledged, and is truncated. An invalid frame anywhere
 * else is corruption, and recovery fails.
 */
#include "store/group.h"
#include "store/log_message.h"
#include "store/store.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define SEGMENT_PREFIX "log-"
#define SNAPSHOT_PREFIX "snapshot-"

/* State of the replay: recovered->entries follow the entry "base". */
struct replay {
	struct store_recovered *recovered;
	bool base_known;
	uint64_t base, base_term; /* base_term 0: unknown */
};

/* ---- Listing -------------------------------------------------------- */

char *store_segment_path(const char *folder, uint64_t number)
{
	return g_strdup_printf("%s/" SEGMENT_PREFIX "%016" G_GINT64_MODIFIER
			       "x",
			       folder, number);
}

static int compare_segments(gconstpointer a, gconstpointer b)
{
	uint64_t x = ((const struct store_segment *)a)->number;
	uint64_t y = ((const struct store_segment *)b)->number;

	return (x > y) - (x < y);
}

/* Parses the hexadecimal number after the prefix. */
static bool parse_name(const char *name, const char *prefix, uint64_t *number)
{
	char *end;

	if (!g_str_has_prefix(name, prefix))
		return false;
	*number = g_ascii_strtoull(name + strlen(prefix), &end, 16);
	return !*end && end != name + strlen(prefix);
}

/* Whether the file is left over from an interrupted write, or is an older
 * snapshot. */
static bool is_leftover(const char *name, uint64_t snapshot_index)
{
	uint64_t number;

	if (g_str_has_suffix(name, ".tmp"))
		return true;
	return parse_name(name, SNAPSHOT_PREFIX, &number) &&
	       number < snapshot_index;
}

static void remove_leftovers(const char *folder, uint64_t snapshot_index)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		if (is_leftover(name, snapshot_index))
			g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
}

static bool list_files(const char *folder, GArray *segments,
		       uint64_t *snapshot_index, GError **error)
{
	GDir *dir = g_dir_open(folder, 0, error);
	const char *name;
	uint64_t number;

	if (!dir)
		return false;
	while ((name = g_dir_read_name(dir))) {
		if (parse_name(name, SEGMENT_PREFIX, &number)) {
			struct store_segment segment = { .number = number };

			g_array_append_val(segments, segment);
		} else if (parse_name(name, SNAPSHOT_PREFIX, &number)) {
			*snapshot_index = MAX(*snapshot_index, number);
		}
	}
	g_dir_close(dir);
	g_array_sort(segments, compare_segments);
	return true;
}

static bool read_snapshot(const char *folder, uint64_t index,
			  struct cf_snapshot *snapshot, GError **error)
{
	char *name = g_strdup_printf(
		SNAPSHOT_PREFIX "%016" G_GINT64_MODIFIER "x", index);
	GBytes *data = store_get_file(folder, name, error);
	bool ok = data && store_snapshot_decode(data, snapshot);

	if (data && !ok)
		g_set_error(error, STORE_ERROR, STORE_ERROR_CORRUPT,
			    "%s/%s: malformed snapshot at offset %d", folder,
			    name, STORE_FRAME_HEADER_BYTES);
	g_bytes_unref(data);
	g_free(name);
	return ok;
}

/* ---- Replay --------------------------------------------------------- */

static void reset_log(struct replay *replay, uint64_t base, uint64_t term)
{
	g_array_set_size(replay->recovered->entries, 0);
	replay->base_known = true;
	replay->base = base;
	replay->base_term = term;
}

/* Returns false if entries are missing before this one. */
static bool replay_entry(struct replay *replay, const Cfw__LogEntry *packed)
{
	GArray *entries = replay->recovered->entries;
	struct cf_entry entry;

	if (!replay->base_known || packed->index <= replay->base)
		reset_log(replay, packed->index - 1, 0);
	if (packed->index > replay->base + entries->len + 1)
		return false;
	g_array_set_size(entries, packed->index - replay->base - 1);
	entry = log_entry_unpack(packed);
	g_array_append_val(entries, entry);
	return true;
}

static bool replay_record(struct replay *replay, const Cfw__StoreRecord *record,
			  struct store_segment *segment)
{
	struct cf_hard_state *state = &replay->recovered->state;

	state->term = record->term;
	state->vote = record->vote;
	state->commit = record->commit;
	if (record->reset)
		reset_log(replay, record->reset_index, record->reset_term);
	for (size_t i = 0; i < record->n_entries; i++) {
		if (!replay_entry(replay, record->entries[i]))
			return false;
		segment->last_index =
			MAX(segment->last_index, record->entries[i]->index);
	}
	return true;
}

static bool contains_valid_frame(const uint8_t *data, size_t size_bytes)
{
	const uint8_t *payload;
	size_t payload_bytes;

	for (size_t i = 0; i + STORE_FRAME_HEADER_BYTES <= size_bytes; i++)
		if (store_frame_read(data + i, size_bytes - i, &payload,
				     &payload_bytes) == STORE_FRAME_VALID)
			return true;
	return false;
}

static bool set_corrupt_error(const char *path, size_t offset,
			      const char *reason, GError **error)
{
	g_set_error(error, STORE_ERROR, STORE_ERROR_CORRUPT,
		    "%s: %s at offset %zu", path, reason, offset);
	return false;
}

static bool truncate_torn_tail(const char *path, size_t offset,
			       size_t size_bytes, struct replay *replay,
			       GError **error)
{
	if (truncate(path, (off_t)offset) != 0)
		return store_set_io_error(error, "truncate", path);
	replay->recovered->truncated_bytes = size_bytes - offset;
	return true;
}

static bool replay_frames(struct replay *replay, const char *path,
			  const uint8_t *data, size_t size_bytes, bool newest,
			  struct store_segment *segment, GError **error)
{
	const uint8_t *payload;
	size_t payload_bytes, at = 0;

	while (at < size_bytes) {
		enum store_frame frame = store_frame_read(
			data + at, size_bytes - at, &payload, &payload_bytes);
		Cfw__StoreRecord *record;
		bool ok;

		if (frame != STORE_FRAME_VALID) {
			if (!newest ||
			    contains_valid_frame(data + at + 1,
						 size_bytes - at - 1))
				return set_corrupt_error(
					path, at, "corrupt record", error);
			return truncate_torn_tail(path, at, size_bytes, replay,
						  error);
		}
		record = store_record_decode(payload, payload_bytes);
		if (!record)
			return set_corrupt_error(path, at, "malformed record",
						 error);
		ok = replay_record(replay, record, segment);
		cfw__store_record__free_unpacked(record, NULL);
		if (!ok)
			return set_corrupt_error(
				path, at, "entries missing before record",
				error);
		at += STORE_FRAME_HEADER_BYTES + payload_bytes;
	}
	return true;
}

static bool replay_segment(struct replay *replay, const char *folder,
			   struct store_segment *segment, bool newest,
			   GError **error)
{
	char *path = store_segment_path(folder, segment->number);
	char *contents = NULL;
	gsize length = 0;
	bool ok = g_file_get_contents(path, &contents, &length, error) &&
		  replay_frames(replay, path, (const uint8_t *)contents, length,
				newest, segment, error);

	g_free(contents);
	g_free(path);
	return ok;
}

/* ---- Combining log and snapshot ------------------------------------- */

/* Whether the replayed log contains the last entry that the snapshot
 * covers. */
static bool log_contains_snapshot_entry(const struct replay *replay)
{
	const struct cf_snapshot *snapshot = &replay->recovered->snapshot;
	const GArray *entries = replay->recovered->entries;
	uint64_t at = snapshot->index - replay->base;

	if (snapshot->index == replay->base)
		return !replay->base_term ||
		       replay->base_term == snapshot->term;
	return at <= entries->len &&
	       g_array_index(entries, struct cf_entry, at - 1).term ==
		       snapshot->term;
}

/* Drops the entries that the snapshot covers, or all entries if the log does
 * not contain the snapshot's last entry; then needs_reset is set. */
static bool combine_with_snapshot(struct replay *replay, const char *folder,
				  bool *needs_reset, GError **error)
{
	struct store_recovered *recovered = replay->recovered;
	uint64_t index = recovered->snapshot.index;

	*needs_reset = false;
	if (replay->base > index) {
		g_set_error(error, STORE_ERROR, STORE_ERROR_CORRUPT,
			    "%s: the log begins after entry %" G_GUINT64_FORMAT
			    ", but no snapshot covers that entry",
			    folder, replay->base);
		return false;
	}
	if (!index)
		return true;
	if (replay->base_known && log_contains_snapshot_entry(replay)) {
		g_array_remove_range(recovered->entries, 0,
				     (guint)(index - replay->base));
	} else {
		g_array_set_size(recovered->entries, 0);
		*needs_reset = true;
	}
	recovered->state.commit = MAX(recovered->state.commit, index);
	return true;
}

bool store_recover(const char *folder, struct store_recovered *recovered,
		   GArray *segments, bool *needs_reset, GError **error)
{
	struct replay replay = { .recovered = recovered };
	uint64_t snapshot_index = 0;

	if (!list_files(folder, segments, &snapshot_index, error))
		return false;
	if (snapshot_index &&
	    !read_snapshot(folder, snapshot_index, &recovered->snapshot, error))
		return false;
	if (snapshot_index && !segments->len)
		return set_corrupt_error(folder, 0, "snapshot without a log",
					 error);
	for (guint i = 0; i < segments->len; i++) {
		struct store_segment *segment =
			&g_array_index(segments, struct store_segment, i);

		if (i && segment->number != segment[-1].number + 1)
			return set_corrupt_error(folder, 0,
						 "a segment is missing", error);
		if (!replay_segment(&replay, folder, segment,
				    i + 1 == segments->len, error))
			return false;
	}
	if (!combine_with_snapshot(&replay, folder, needs_reset, error))
		return false;
	remove_leftovers(folder, snapshot_index);
	return true;
}
