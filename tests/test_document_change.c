/*
 * test_document_change: changes between versions of a document give the later
 * one again, cost about what differs, and are refused if they are malformed.
 */
#include "lib/document_change.h"

#include "proto/wire.pb-c.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define LINES 400
#define SEEDS 200
#define EDITS_MAX 8
/* A line that is inserted, and what tells where it goes. */
#define EDIT_MAX_BYTES 200

/* Lines that agree in most of their text, as routes do. */
static GPtrArray *write_lines(guint n)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < n; i++)
		g_ptr_array_add(lines,
				g_strdup_printf("{\"name\":\"r-%u\",\"kind\":"
						"\"unsafe\",\"limitMs\":1500,"
						"\"service\":\"desk\"},",
						i * 7919));
	return lines;
}

static GBytes *join(const GPtrArray *lines)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < lines->len; i++)
		g_string_append(text, g_ptr_array_index(lines, i));
	return g_string_free_to_bytes(text);
}

static void edit(GPtrArray *lines, GRand *random)
{
	guint at = (guint)g_rand_int_range(random, 0, (gint32)lines->len);

	switch (g_rand_int_range(random, 0, 3)) {
	case 0:
		g_ptr_array_insert(lines, (gint)at,
				   g_strdup_printf("{\"name\":\"new-%u\"},",
						   g_rand_int(random)));
		break;
	case 1:
		if (lines->len > 1)
			g_ptr_array_remove_index(lines, at);
		break;
	default:
		g_free(lines->pdata[at]);
		lines->pdata[at] = g_strdup("{\"name\":\"other\"},");
		break;
	}
}

/* Returns the size of the change. */
static gsize expect_change(GBytes *from, GBytes *to)
{
	g_autoptr(GBytes) change = document_change_find(from, to);
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) result = document_change_apply(from, change, &error);

	if (!result)
		fail_msg("%s", error->message);
	assert_true(g_bytes_equal(result, to));
	return g_bytes_get_size(change);
}

/* Guards against a change that costs as much as the document. */
static void test_edits(void **state)
{
	(void)state;
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		g_autoptr(GRand) random = g_rand_new_with_seed(seed);
		g_autoptr(GPtrArray) lines = write_lines(LINES);
		g_autoptr(GBytes) from = join(lines), to = NULL;
		int n = g_rand_int_range(random, 0, EDITS_MAX + 1);

		for (int i = 0; i < n; i++)
			edit(lines, random);
		to = join(lines);
		assert_true(expect_change(from, to) <=
			    (gsize)(n + 1) * EDIT_MAX_BYTES);
	}
}

static void test_odd_documents(void **state)
{
	static const char *const texts[] = {
		"",
		"a",
		"0123456789012345678901234567890",
		"01234567890123456789012345678901",
		"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
		"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaab",
		"b01234567890123456789012345678901c"
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(texts); k++) {
			g_autoptr(GBytes) from =
				g_bytes_new_static(texts[i], strlen(texts[i]));
			g_autoptr(GBytes) to =
				g_bytes_new_static(texts[k], strlen(texts[k]));

			expect_change(from, to);
		}
}

static const struct bad_change {
	const char *what;
	uint32_t from_bytes, to_bytes, copy_at, copy_bytes;
	const char *insert, *error;
} bad_changes[] = {
	{ "another document", 5, 4, 0, 4, "", "from_bytes" },
	{ "a copy from behind the end", 4, 4, 5, 1, "", "copy_bytes" },
	{ "a copy over the end", 4, 5, 0, 5, "", "copy_bytes" },
	{ "a copy that wraps", 4, 4, 2, UINT32_MAX, "", "copy_bytes" },
	{ "too long", 4, 4, 0, 4, "x", "to_bytes" },
	{ "too short", 4, 6, 0, 4, "x", "to_hash" },
	{ "other bytes", 4, 5, 0, 4, "x", "to_hash" },
};

static void test_bad_changes(void **state)
{
	g_autoptr(GBytes) from = g_bytes_new_static("text", 4);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad_changes); i++) {
		const struct bad_change *bad = &bad_changes[i];
		Cfw__DocumentChange change = CFW__DOCUMENT_CHANGE__INIT;
		Cfw__DocumentPiece piece = CFW__DOCUMENT_PIECE__INIT;
		Cfw__DocumentPiece *pieces[] = { &piece };
		g_autoptr(GBytes) packed = NULL, result = NULL;
		g_autoptr(GError) error = NULL;
		uint8_t data[64];

		change.from_bytes = bad->from_bytes;
		change.to_bytes = bad->to_bytes;
		change.pieces = pieces;
		change.n_pieces = 1;
		piece.copy_at = bad->copy_at;
		piece.copy_bytes = bad->copy_bytes;
		piece.insert.data = (uint8_t *)(uintptr_t)bad->insert;
		piece.insert.len = strlen(bad->insert);
		packed = g_bytes_new(data,
				     cfw__document_change__pack(&change, data));
		result = document_change_apply(from, packed, &error);
		if (result || !strstr(error->message, bad->error))
			fail_msg("%s: %s", bad->what,
				 result ? "taken" : error->message);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_edits),
		cmocka_unit_test(test_odd_documents),
		cmocka_unit_test(test_bad_changes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
