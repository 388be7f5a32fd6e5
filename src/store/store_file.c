/*
 * store_file: small checksummed files that are replaced atomically: the new
 * contents are written to a temporary file and synced, the file is renamed,
 * and the folder is synced.
 */
#include "store/group.h"
#include "store/store.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <unistd.h>

#define FILE_MODE 0640

/* ---- Default file operations ---------------------------------------- */

static int system_open(struct store_ops *ops, const char *path, int flags)
{
	(void)ops;
	return open(path, flags | O_CLOEXEC, FILE_MODE);
}

static ssize_t system_write(struct store_ops *ops, int fd, const void *data,
			    size_t size_bytes)
{
	(void)ops;
	return write(fd, data, size_bytes);
}

static int system_sync(struct store_ops *ops, int fd)
{
	(void)ops;
	return fsync(fd);
}

static int system_rename(struct store_ops *ops, const char *from,
			 const char *to)
{
	(void)ops;
	return rename(from, to);
}

struct store_ops store_system_ops = { system_open, system_write, system_sync,
				      system_rename };

/* ---- Errors --------------------------------------------------------- */

G_DEFINE_QUARK(store - error - quark, store_error)

bool store_set_io_error(GError **error, const char *what, const char *path)
{
	g_set_error(error, STORE_ERROR, STORE_ERROR_IO, "%s %s: %s", what, path,
		    g_strerror(errno));
	return false;
}

/* ---- Writing -------------------------------------------------------- */

bool store_write_all(struct store_ops *ops, int fd, const void *data,
		     size_t size_bytes)
{
	const uint8_t *at = data;

	while (size_bytes) {
		ssize_t n = ops->write(ops, fd, at, size_bytes);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		size_bytes -= (size_t)n;
	}
	return true;
}

bool store_sync_folder(struct store_ops *ops, const char *folder,
		       GError **error)
{
	int fd = ops->open(ops, folder, O_RDONLY | O_DIRECTORY);
	bool ok;

	if (fd < 0)
		return store_set_io_error(error, "open", folder);
	ok = ops->sync(ops, fd) == 0;
	if (!ok)
		store_set_io_error(error, "sync", folder);
	close(fd);
	return ok;
}

static bool write_synced(struct store_ops *ops, const char *path,
			 const GByteArray *frame, GError **error)
{
	int fd = ops->open(ops, path, O_WRONLY | O_CREAT | O_TRUNC);
	bool ok;

	if (fd < 0)
		return store_set_io_error(error, "create", path);
	ok = store_write_all(ops, fd, frame->data, frame->len);
	if (!ok)
		store_set_io_error(error, "write", path);
	if (ok && ops->sync(ops, fd) != 0)
		ok = store_set_io_error(error, "sync", path);
	close(fd);
	return ok;
}

bool store_write_file(struct store_ops *ops, const char *folder,
		      const char *name, GBytes *data, GError **error)
{
	char *path = g_build_filename(folder, name, NULL);
	char *temp_path = g_strconcat(path, ".tmp", NULL);
	GByteArray *frame = g_byte_array_new();
	size_t size_bytes;
	const void *payload = g_bytes_get_data(data, &size_bytes);
	bool ok;

	store_frame_append(frame, payload, size_bytes);
	ok = write_synced(ops, temp_path, frame, error);
	if (ok && ops->rename(ops, temp_path, path) != 0)
		ok = store_set_io_error(error, "rename", temp_path);
	if (!ok)
		g_unlink(temp_path);
	ok = ok && store_sync_folder(ops, folder, error);
	g_byte_array_unref(frame);
	g_free(temp_path);
	g_free(path);
	return ok;
}

/* ---- Small files of the coordinator --------------------------------- */

bool store_put_file(const char *folder, const char *name, GBytes *data,
		    GError **error)
{
	return store_write_file(&store_system_ops, folder, name, data, error);
}

static GBytes *read_frame(const char *path, const char *contents, gsize length,
			  GError **error)
{
	const uint8_t *payload;
	size_t size_bytes;

	if (store_frame_read((const uint8_t *)contents, length, &payload,
			     &size_bytes) != STORE_FRAME_VALID ||
	    STORE_FRAME_HEADER_BYTES + size_bytes != length) {
		g_set_error(error, STORE_ERROR, STORE_ERROR_CORRUPT,
			    "%s: corrupt at offset 0", path);
		return NULL;
	}
	return g_bytes_new(payload, size_bytes);
}

GBytes *store_get_file(const char *folder, const char *name, GError **error)
{
	char *path = g_build_filename(folder, name, NULL);
	GError *failure = NULL;
	char *contents = NULL;
	GBytes *data = NULL;
	gsize length = 0;

	if (g_file_get_contents(path, &contents, &length, &failure))
		data = read_frame(path, contents, length, error);
	else if (g_error_matches(failure, G_FILE_ERROR, G_FILE_ERROR_NOENT))
		g_clear_error(&failure);
	else
		g_propagate_error(error, failure);
	g_free(contents);
	g_free(path);
	return data;
}

bool store_remove_file(const char *folder, const char *name, GError **error)
{
	char *path = g_build_filename(folder, name, NULL);
	bool ok = unlink(path) == 0 || errno == ENOENT;

	if (!ok)
		store_set_io_error(error, "remove", path);
	g_free(path);
	return ok && store_sync_folder(&store_system_ops, folder, error);
}
