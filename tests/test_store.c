/*
 * test_store: recovery of the data folder after torn writes, corruption,
 * disk errors and restarts.
 */
#include "store/group.h"
#include "store/store.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#define PAYLOAD_BYTES 24

/* File operations that fail with the given errno. */
struct failing_ops {
	struct store_ops ops;
	int write_errno, sync_errno, rename_errno; /* 0: no failure */
	size_t short_bytes; /* written before the write fails */
};

/* ---- Failing disk --------------------------------------------------- */

static int fault(int error_number)
{
	errno = error_number;
	return -1;
}

static int failing_open(struct store_ops *ops, const char *path, int flags)
{
	(void)ops;
	return store_system_ops.open(&store_system_ops, path, flags);
}

static ssize_t failing_write(struct store_ops *ops, int fd, const void *data,
			     size_t size_bytes)
{
	struct failing_ops *failing = (struct failing_ops *)ops;

	if (!failing->write_errno)
		return write(fd, data, size_bytes);
	if (!failing->short_bytes)
		return fault(failing->write_errno);
	size_bytes = MIN(size_bytes, failing->short_bytes);
	failing->short_bytes = 0;
	return write(fd, data, size_bytes);
}

static int failing_sync(struct store_ops *ops, int fd)
{
	struct failing_ops *failing = (struct failing_ops *)ops;

	return failing->sync_errno ? fault(failing->sync_errno) : fsync(fd);
}

static int failing_rename(struct store_ops *ops, const char *from,
			  const char *to)
{
	struct failing_ops *failing = (struct failing_ops *)ops;

	return failing->rename_errno ? fault(failing->rename_errno)
				     : rename(from, to);
}

static const struct failing_ops working = {
	.ops = { failing_open, failing_write, failing_sync, failing_rename }
};

/* ---- Helpers -------------------------------------------------------- */

static int make_folder(void **state)
{
	*state = g_dir_make_tmp("store-XXXXXX", NULL);
	return *state ? 0 : -1;
}

static int remove_folder(void **state)
{
	GDir *dir = g_dir_open(*state, 0, NULL);
	const char *name;

	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(*state, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(*state);
	g_free(*state);
	return 0;
}

static struct store *open_store(const char *folder, struct store_ops *ops,
				struct store_recovered *found)
{
	GError *error = NULL;
	struct store *store = store_open(folder, ops, found, &error);

	if (error)
		fail_msg("%s", error->message);
	return store;
}

/* Writes entries from..to of one term in a single synced write. */
static bool append(struct store *store, uint64_t from, uint64_t to,
		   uint64_t term, GError **error)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct cf_entry));
	struct store_write write = { .state = { term, 2, from - 1 } };
	bool ok;

	for (uint64_t i = from; i <= to; i++) {
		struct cf_entry entry = { .index = i,
					  .term = term,
					  .kind = CF_ENTRY_COMMAND };
		char text[PAYLOAD_BYTES];

		memset(text, 'a' + (int)(i % 26), sizeof(text));
		entry.data = g_bytes_new(text, sizeof(text));
		g_array_append_val(entries, entry);
	}
	write.entries = (const struct cf_entry *)(void *)entries->data;
	write.n_entries = entries->len;
	ok = store_append(store, &write, error);
	for (guint i = 0; i < entries->len; i++)
		g_bytes_unref(g_array_index(entries, struct cf_entry, i).data);
	g_array_unref(entries);
	return ok;
}

static uint64_t last_index(const struct store_recovered *found)
{
	return found->snapshot.index + found->entries->len;
}

static struct cf_snapshot make_snapshot(uint64_t index, uint64_t term)
{
	struct cf_snapshot snapshot = { .index = index, .term = term };

	snapshot.members.voters[0] = 1;
	snapshot.members.n_voters = 1;
	snapshot.data = g_bytes_new("state", 5);
	return snapshot;
}

static void expect_open_error(const char *folder, const char *part, int code)
{
	struct store_recovered found;
	GError *error = NULL;

	assert_null(store_open(folder, NULL, &found, &error));
	assert_true(g_error_matches(error, STORE_ERROR, code));
	if (!strstr(error->message, part))
		fail_msg("\"%s\" lacks \"%s\"", error->message, part);
	g_error_free(error);
}

/* ---- Cases ---------------------------------------------------------- */

static void test_first_start_and_restart(void **state)
{
	struct store_recovered found;
	uint8_t identity[STORE_IDENTITY_SIZE];
	struct store *store = open_store(*state, NULL, &found);

	assert_int_equal(last_index(&found), 0);
	assert_int_equal(found.state.term, 0);
	store_clear_recovered(&found);
	memcpy(identity, store_identity(store), sizeof(identity));
	assert_true(append(store, 1, 5, 1, NULL));
	/* Replaces entries 4 and 5. */
	assert_true(append(store, 4, 6, 2, NULL));
	expect_open_error(*state, "another process", STORE_ERROR_LOCKED);
	store_close(store);

	store = open_store(*state, NULL, &found);
	assert_memory_equal(identity, store_identity(store), sizeof(identity));
	assert_int_equal(found.state.term, 2);
	assert_int_equal(found.state.vote, 2);
	assert_int_equal(last_index(&found), 6);
	for (guint i = 0; i < found.entries->len; i++) {
		const struct cf_entry *entry =
			&g_array_index(found.entries, struct cf_entry, i);

		assert_int_equal(entry->index, i + 1);
		assert_int_equal(entry->term, i < 3 ? 1 : 2);
		assert_int_equal(g_bytes_get_size(entry->data), PAYLOAD_BYTES);
	}
	store_clear_recovered(&found);
	store_close(store);
}

/* Truncates the segment to every length that an interrupted last write can
 * leave. Recovery must drop that write only, and appending must work. */
static void test_torn_tail(void **state)
{
	struct store_recovered found;
	struct store *store = open_store(*state, NULL, &found);
	char *path = store_segment_path(*state, 1), *whole;
	gsize before, after;

	store_clear_recovered(&found);
	assert_true(append(store, 1, 3, 1, NULL));
	g_file_get_contents(path, &whole, &before, NULL);
	g_free(whole);
	assert_true(append(store, 4, 6, 1, NULL));
	store_close(store);
	g_file_get_contents(path, &whole, &after, NULL);
	for (gsize size = before; size <= after; size++) {
		g_file_set_contents(path, whole, (gssize)size, NULL);
		store = open_store(*state, NULL, &found);
		assert_int_equal(last_index(&found), size == after ? 6 : 3);
		assert_int_equal(found.truncated_bytes,
				 size == after ? 0 : size - before);
		store_clear_recovered(&found);
		assert_true(append(store, 4, 4, 2, NULL));
		store_close(store);
		store = open_store(*state, NULL, &found);
		assert_int_equal(last_index(&found), 4);
		store_clear_recovered(&found);
		store_close(store);
	}
	g_free(whole);
	g_free(path);
}

/* A flipped bit in the last record is taken for a torn write. Before the last
 * record it is corruption: opening must fail and report the file and the
 * offset of the record. */
static void test_corrupt_record(void **state)
{
	struct store_recovered found;
	struct store *store = open_store(*state, NULL, &found);
	char *path = store_segment_path(*state, 1), *whole;
	gsize first, second, size;

	store_clear_recovered(&found);
	g_file_get_contents(path, &whole, &first, NULL);
	g_free(whole);
	assert_true(append(store, 1, 3, 1, NULL));
	g_file_get_contents(path, &whole, &second, NULL);
	g_free(whole);
	assert_true(append(store, 4, 6, 1, NULL));
	store_close(store);
	g_file_get_contents(path, &whole, &size, NULL);
	for (gsize at = first; at < second; at++) {
		char *offset = g_strdup_printf(
			"%s: corrupt record at offset %zu", path, first);

		whole[at] ^= 0x10;
		g_file_set_contents(path, whole, (gssize)size, NULL);
		expect_open_error(*state, offset, STORE_ERROR_CORRUPT);
		whole[at] ^= 0x10;
		g_free(offset);
	}
	g_free(whole);
	g_free(path);
}

static void test_failing_disk(void **state)
{
	static const struct {
		const char *what;
		struct failing_ops fault;
	} cases[] = {
		{ "disk full", { .write_errno = ENOSPC } },
		{ "disk full in the middle",
		  { .write_errno = ENOSPC, .short_bytes = 30 } },
		{ "read-only", { .write_errno = EROFS } },
		{ "write error", { .write_errno = EIO, .short_bytes = 1 } },
		{ "failed sync", { .sync_errno = EIO } },
	};
	uint64_t last = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct failing_ops ops = working;
		struct store_recovered found;
		struct store *store = open_store(*state, &ops.ops, &found);
		GError *error = NULL;
		int error_number = cases[i].fault.write_errno
					   ? cases[i].fault.write_errno
					   : cases[i].fault.sync_errno;

		/* A write may reach the disk even though its sync
		 * reported an error. */
		assert_in_range(last_index(&found), last, last + 1);
		last = last_index(&found);
		store_clear_recovered(&found);
		assert_true(append(store, last + 1, last + 2, 1, NULL));
		last += 2;
		ops.write_errno = cases[i].fault.write_errno;
		ops.sync_errno = cases[i].fault.sync_errno;
		ops.short_bytes = cases[i].fault.short_bytes;
		assert_false(append(store, last + 1, last + 1, 1, &error));
		assert_non_null(
			strstr(error->message, g_strerror(error_number)));
		g_clear_error(&error);
		memcpy(&ops, &working, sizeof(ops));
		assert_false(append(store, last + 1, last + 1, 1, &error));
		assert_true(g_error_matches(error, STORE_ERROR,
					    STORE_ERROR_FAILED));
		g_clear_error(&error);
		store_close(store);
	}
}

static void test_snapshot_deletes_segments(void **state)
{
	struct store_recovered found;
	struct store *store = open_store(*state, NULL, &found);
	struct cf_snapshot snapshot = make_snapshot(8, 1);
	char *first = store_segment_path(*state, 1);
	struct failing_ops ops = working;
	GError *error = NULL;

	store_clear_recovered(&found);
	assert_true(append(store, 1, 8, 1, NULL));
	assert_true(store_save_snapshot(store, &snapshot, NULL));
	assert_false(g_file_test(first, G_FILE_TEST_EXISTS));
	assert_true(append(store, 9, 10, 1, NULL));
	store_close(store);

	store = open_store(*state, &ops.ops, &found);
	assert_int_equal(found.snapshot.index, 8);
	assert_int_equal(g_bytes_get_size(found.snapshot.data), 5);
	assert_int_equal(found.entries->len, 2);
	store_clear_recovered(&found);
	g_bytes_unref(snapshot.data);
	snapshot = make_snapshot(10, 1);
	ops.rename_errno = ENOSPC;
	assert_false(store_save_snapshot(store, &snapshot, &error));
	g_clear_error(&error);
	store_close(store);

	store = open_store(*state, NULL, &found);
	assert_int_equal(found.snapshot.index, 8);
	assert_int_equal(last_index(&found), 10);
	store_clear_recovered(&found);
	store_close(store);
	g_bytes_unref(snapshot.data);
	g_free(first);
}

/* A snapshot received from the leader replaces a log that does not contain
 * its last entry, also if the process ends after writing the snapshot file
 * and before writing the reset record to the log. */
static void test_received_snapshot(void **state)
{
	struct cf_snapshot snapshot = make_snapshot(20, 3);
	struct store_write write = { .state = { 3, 0, 20 },
				     .snapshot = &snapshot };
	GBytes *data = store_snapshot_encode(&snapshot);

	for (int cut_short = 0; cut_short < 2; cut_short++) {
		struct store_recovered found;
		char *folder = g_build_filename(
			*state, cut_short ? "cut" : "whole", NULL);
		struct store *store = open_store(folder, NULL, &found);

		store_clear_recovered(&found);
		assert_true(append(store, 1, 30, 1, NULL));
		if (cut_short)
			assert_true(store_put_file(folder,
						   "snapshot-0000000000000014",
						   data, NULL));
		else
			assert_true(store_append(store, &write, NULL));
		for (int restart = 0; restart < 2; restart++) {
			store_close(store);
			store = open_store(folder, NULL, &found);
			assert_int_equal(found.snapshot.index, 20);
			assert_int_equal(found.entries->len, restart);
			store_clear_recovered(&found);
			assert_true(append(store, 21, 21, 3, NULL));
		}
		store_close(store);
		remove_folder((void **)&folder);
	}
	g_bytes_unref(data);
	g_bytes_unref(snapshot.data);
}

static void test_missing_files(void **state)
{
	struct store_recovered found;
	struct store *store = open_store(*state, NULL, &found);
	struct cf_snapshot snapshot = make_snapshot(3, 1);
	char *path =
		g_build_filename(*state, "snapshot-0000000000000003", NULL);
	char *identity = g_build_filename(*state, "identity", NULL);

	store_clear_recovered(&found);
	assert_true(append(store, 1, 3, 1, NULL));
	assert_true(store_save_snapshot(store, &snapshot, NULL));
	assert_true(append(store, 4, 4, 1, NULL));
	store_close(store);
	g_unlink(identity);
	expect_open_error(*state, "identity", STORE_ERROR_CORRUPT);
	g_file_set_contents(path, "garbage", 7, NULL);
	expect_open_error(*state, path, STORE_ERROR_CORRUPT);
	g_unlink(path);
	expect_open_error(*state, "no snapshot", STORE_ERROR_CORRUPT);
	g_bytes_unref(snapshot.data);
	g_free(path);
	g_free(identity);
}

static void test_leftover_files_removed(void **state)
{
	static const struct {
		const char *name;
		bool stays;
	} cases[] = {
		{ "snapshot-0000000000000002", false },
		{ "snapshot-0000000000000003", true },
		{ "snapshot-0000000000000009.tmp", false },
		{ "ledger", true },
	};
	struct store_recovered found;
	struct store *store = open_store(*state, NULL, &found);
	struct cf_snapshot snapshot = make_snapshot(3, 1);

	store_clear_recovered(&found);
	assert_true(append(store, 1, 3, 1, NULL));
	assert_true(store_save_snapshot(store, &snapshot, NULL));
	store_close(store);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_build_filename(*state, cases[i].name, NULL);

		if (i != 1)
			g_file_set_contents(path, "half", 4, NULL);
		g_free(path);
	}
	store = open_store(*state, NULL, &found);
	assert_int_equal(found.snapshot.index, 3);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_build_filename(*state, cases[i].name, NULL);

		assert_int_equal(g_file_test(path, G_FILE_TEST_EXISTS),
				 cases[i].stays);
		g_free(path);
	}
	store_clear_recovered(&found);
	store_close(store);
	g_bytes_unref(snapshot.data);
}

static void test_small_files(void **state)
{
	GBytes *data = g_bytes_new("votes", 5), *read;
	GError *error = NULL;

	assert_null(store_get_file(*state, "ledger", &error));
	assert_null(error);
	assert_true(store_put_file(*state, "ledger", data, NULL));
	read = store_get_file(*state, "ledger", NULL);
	assert_true(g_bytes_equal(read, data));
	assert_true(store_remove_file(*state, "ledger", NULL));
	assert_true(store_remove_file(*state, "ledger", NULL));
	assert_null(store_get_file(*state, "ledger", &error));
	assert_null(error);
	g_bytes_unref(data);
	g_bytes_unref(read);
}

#define CASE(test)                                                             \
	cmocka_unit_test_setup_teardown(test, make_folder, remove_folder)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_first_start_and_restart),
		CASE(test_torn_tail),
		CASE(test_corrupt_record),
		CASE(test_failing_disk),
		CASE(test_snapshot_deletes_segments),
		CASE(test_received_snapshot),
		CASE(test_missing_files),
		CASE(test_leftover_files_removed),
		CASE(test_small_files),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
