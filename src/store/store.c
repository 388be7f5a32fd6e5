/*
 * Operations on an open data folder: appending to segments, saving
 * snapshots, and opening and closing the folder.
 */
#include "store/store.h"
#include "base/counters.h"
#include "store/group.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/random.h>
#include <unistd.h>

#define FOLDER_MODE 0750

struct store {
	struct store_ops *ops;
	char *folder;
	int lock_fd;
	uint8_t identity[STORE_IDENTITY_SIZE];
	GArray *segments; /* struct store_segment; writes go to the last one */
	int segment_fd;
	uint64_t segment_bytes;
	struct cf_hard_state state; /* of the last write */
	uint64_t snapshot_index;
	bool failed;
	struct counter *syncs, *written_bytes;
};

/* ---- Segments ------------------------------------------------------- */

static struct store_segment *current_segment(struct store *store)
{
	return &g_array_index(store->segments, struct store_segment,
			      store->segments->len - 1);
}

static bool write_frame(struct store *store, const struct store_write *write,
			GError **error)
{
	struct store_segment *segment = current_segment(store);
	GByteArray *frame = store_record_encode(write);
	char *path = store_segment_path(store->folder, segment->number);
	bool ok = store_write_all(store->ops, store->segment_fd, frame->data,
				  frame->len);

	if (!ok)
		store_set_io_error(error, "write", path);
	if (ok && store->ops->sync(store->ops, store->segment_fd) != 0)
		ok = store_set_io_error(error, "sync", path);
	if (ok) {
		counter_add(store->syncs, 1);
		counter_add(store->written_bytes, frame->len);
		store->segment_bytes += frame->len;
		store->state = write->state;
		if (write->n_entries)
			segment->last_index =
				MAX(segment->last_index,
				    write->entries[write->n_entries - 1].index);
	}
	g_byte_array_unref(frame);
	g_free(path);
	return ok;
}

static bool open_segment(struct store *store, uint64_t number, GError **error)
{
	char *path = store_segment_path(store->folder, number);
	int fd = store->ops->open(store->ops, path,
				  O_WRONLY | O_CREAT | O_APPEND);
	off_t size_bytes = fd < 0 ? -1 : lseek(fd, 0, SEEK_END);
	bool ok = size_bytes >= 0;

	if (!ok)
		store_set_io_error(error, "open", path);
	g_free(path);
	if (store->segment_fd >= 0)
		close(store->segment_fd);
	store->segment_fd = fd;
	store->segment_bytes = ok ? (uint64_t)size_bytes : 0;
	return ok;
}

/* A new segment begins with the hard state, so that older segments can be
 * deleted. */
static bool start_segment(struct store *store, GError **error)
{
	struct store_write write = { .state = store->state };
	struct store_segment segment = { .number = 1 };

	if (store->segments->len)
		segment.number = current_segment(store)->number + 1;
	if (!open_segment(store, segment.number, error))
		return false;
	g_array_append_val(store->segments, segment);
	return write_frame(store, &write, error) &&
	       store_sync_folder(store->ops, store->folder, error);
}

/* Deletes segments whose entries are all covered by the snapshot, oldest
 * first. Stops at a segment that cannot be deleted; the next start reads it
 * again. */
static void delete_covered_segments(struct store *store)
{
	while (store->segments->len > 1) {
		struct store_segment *oldest = &g_array_index(
			store->segments, struct store_segment, 0);
		char *path;
		bool removed;

		if (oldest->last_index > store->snapshot_index)
			return;
		path = store_segment_path(store->folder, oldest->number);
		removed = g_unlink(path) == 0 &&
			  store_sync_folder(store->ops, store->folder, NULL);
		g_free(path);
		if (!removed)
			return;
		g_array_remove_index(store->segments, 0);
	}
}

/* ---- Snapshots ------------------------------------------------------ */

static char *snapshot_name(uint64_t index)
{
	return g_strdup_printf("snapshot-%016" G_GINT64_MODIFIER "x", index);
}

static bool write_snapshot(struct store *store,
			   const struct cf_snapshot *snapshot, GError **error)
{
	char *name = snapshot_name(snapshot->index);
	GBytes *data = store_snapshot_encode(snapshot);
	bool ok =
		store_write_file(store->ops, store->folder, name, data, error);

	g_bytes_unref(data);
	g_free(name);
	return ok;
}

static void set_current_snapshot(struct store *store, uint64_t index)
{
	char *name = snapshot_name(store->snapshot_index);
	char *path = g_build_filename(store->folder, name, NULL);

	if (store->snapshot_index && store->snapshot_index != index)
		g_unlink(path);
	store->snapshot_index = index;
	delete_covered_segments(store);
	g_free(path);
	g_free(name);
}

bool store_save_snapshot(struct store *store,
			 const struct cf_snapshot *snapshot, GError **error)
{
	if (store->failed) {
		g_set_error(error, STORE_ERROR, STORE_ERROR_FAILED,
			    "%s: an earlier write failed", store->folder);
		return false;
	}
	if (snapshot->index <= store->snapshot_index)
		return true;
	if (!write_snapshot(store, snapshot, error) ||
	    !start_segment(store, error)) {
		store->failed = true;
		return false;
	}
	set_current_snapshot(store, snapshot->index);
	return true;
}

/* ---- Writes --------------------------------------------------------- */

/* Makes the snapshot durable before it resets the log to start after it. */
static bool write_received_snapshot(struct store *store,
				    const struct store_write *write,
				    GError **error)
{
	if (!write_snapshot(store, write->snapshot, error) ||
	    !start_segment(store, error) || !write_frame(store, write, error))
		return false;
	for (guint i = 0; i + 1 < store->segments->len; i++)
		g_array_index(store->segments, struct store_segment, i)
			.last_index = 0;
	set_current_snapshot(store, write->snapshot->index);
	return true;
}

bool store_append(struct store *store, const struct store_write *write,
		  GError **error)
{
	bool ok;

	if (store->failed) {
		g_set_error(error, STORE_ERROR, STORE_ERROR_FAILED,
			    "%s: an earlier write failed", store->folder);
		return false;
	}
	if (write->snapshot)
		ok = write_received_snapshot(store, write, error);
	else
		ok = (store->segment_bytes < STORE_SEGMENT_ROTATE_BYTES ||
		      start_segment(store, error)) &&
		     write_frame(store, write, error);
	store->failed = !ok;
	return ok;
}

/* ---- Opening and closing -------------------------------------------- */

static bool lock_folder(struct store *store, GError **error)
{
	char *path = g_build_filename(store->folder, "lock", NULL);
	bool ok;

	store->lock_fd = store->ops->open(store->ops, path, O_RDWR | O_CREAT);
	ok = store->lock_fd >= 0;
	if (!ok) {
		store_set_io_error(error, "open", path);
	} else if (flock(store->lock_fd, LOCK_EX | LOCK_NB) != 0) {
		g_set_error(error, STORE_ERROR, STORE_ERROR_LOCKED,
			    "%s: another process uses this folder", path);
		ok = false;
	}
	g_free(path);
	return ok;
}

/* Generates the identity at the first start. A folder that has a log but no
 * identity was tampered with and is refused. */
static bool load_identity(struct store *store, GError **error)
{
	GError *failure = NULL;
	GBytes *data = store_get_file(store->folder, "identity", &failure);
	size_t size_bytes = 0;
	const void *bytes = data ? g_bytes_get_data(data, &size_bytes) : NULL;
	bool ok = size_bytes == STORE_IDENTITY_SIZE;

	if (ok) {
		memcpy(store->identity, bytes, STORE_IDENTITY_SIZE);
	} else if (failure) {
		g_propagate_error(error, failure);
	} else if (data || store->segments->len) {
		g_set_error(error, STORE_ERROR, STORE_ERROR_CORRUPT,
			    "%s/identity: file is missing or not %d bytes long",
			    store->folder, STORE_IDENTITY_SIZE);
	} else if (getrandom(store->identity, STORE_IDENTITY_SIZE, 0) !=
		   STORE_IDENTITY_SIZE) {
		store_set_io_error(error, "get random bytes for",
				   store->folder);
	} else {
		data = g_bytes_new(store->identity, STORE_IDENTITY_SIZE);
		ok = store_write_file(store->ops, store->folder, "identity",
				      data, error);
	}
	g_bytes_unref(data);
	return ok;
}

static bool write_reset(struct store *store,
			const struct store_recovered *recovered, GError **error)
{
	struct store_write write = { .state = recovered->state,
				     .snapshot = &recovered->snapshot };

	return write_frame(store, &write, error);
}

/* Syncs what recovery read: an earlier process may have been killed between
 * its write and its sync, so the data may not be durable yet. */
static bool sync_recovered(struct store *store, GError **error)
{
	char *path;
	bool ok;

	if (!store->segments->len)
		return start_segment(store, error);
	if (!open_segment(store, current_segment(store)->number, error))
		return false;
	path = store_segment_path(store->folder,
				  current_segment(store)->number);
	ok = store->ops->sync(store->ops, store->segment_fd) == 0;
	if (!ok)
		store_set_io_error(error, "sync", path);
	g_free(path);
	return ok && store_sync_folder(store->ops, store->folder, error);
}

static bool open_folder(struct store *store, struct store_recovered *recovered,
			GError **error)
{
	bool needs_reset = false;

	if (g_mkdir_with_parents(store->folder, FOLDER_MODE) != 0)
		return store_set_io_error(error, "create", store->folder);
	if (!lock_folder(store, error) ||
	    !store_recover(store->folder, recovered, store->segments,
			   &needs_reset, error) ||
	    !load_identity(store, error))
		return false;
	store->state = recovered->state;
	store->snapshot_index = recovered->snapshot.index;
	if (!sync_recovered(store, error))
		return false;
	return !needs_reset || write_reset(store, recovered, error);
}

static void clear_entry(gpointer entry)
{
	g_bytes_unref(((struct cf_entry *)entry)->data);
}

struct store *store_open(const char *folder, struct store_ops *ops,
			 struct store_recovered *recovered, GError **error)
{
	struct store *store = g_new0(struct store, 1);

	store->ops = ops ? ops : &store_system_ops;
	store->folder = g_strdup(folder);
	store->syncs = counter_get("store_syncs_total", NULL,
				   "synced writes to the log on disk");
	store->written_bytes = counter_get("store_written_bytes_total", NULL,
					   "bytes of synced writes");
	store->lock_fd = -1;
	store->segment_fd = -1;
	store->segments =
		g_array_new(FALSE, FALSE, sizeof(struct store_segment));
	*recovered = (struct store_recovered){ 0 };
	recovered->entries = g_array_new(FALSE, FALSE, sizeof(struct cf_entry));
	g_array_set_clear_func(recovered->entries, clear_entry);
	if (open_folder(store, recovered, error))
		return store;
	store_clear_recovered(recovered);
	store_close(store);
	return NULL;
}

void store_close(struct store *store)
{
	if (!store)
		return;
	if (store->segment_fd >= 0)
		close(store->segment_fd);
	if (store->lock_fd >= 0)
		close(store->lock_fd);
	g_array_unref(store->segments);
	g_free(store->folder);
	g_free(store);
}

const uint8_t *store_identity(const struct store *store)
{
	return store->identity;
}

void store_clear_recovered(struct store_recovered *recovered)
{
	g_array_unref(recovered->entries);
	g_bytes_unref(recovered->snapshot.data);
}
